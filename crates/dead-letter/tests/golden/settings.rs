//! Tests of the settings file: `deploy/undelivered.toml` has the expected values, and each key of `settings.toml` sets
//! the field that belongs to it.

use super::golden_text;
use milletturn_dead_letter::config::Config;
use milletturn_engine::EndReason;
use milletturn_policy::{MILLISECOND, SECOND};
use std::path::Path;

#[test]
fn the_settings_file_in_deploy_is_read_with_its_values() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/undelivered.toml");
    let config = Config::read(&path).expect("valid settings");
    assert_eq!(config.file, "undelivered.db");
    assert_eq!(
        (config.max_bytes, config.max_messages),
        (64_000_000, 100_000)
    );
    assert_eq!(config.max_age, 30 * 86_400 * SECOND);
    assert_eq!((config.store_returned, config.clients_retry), (false, true));
    let [rule] = &config.rules[..] else {
        panic!("{:?}", config.rules)
    };
    assert_eq!(
        (
            rule.name.as_str(),
            rule.classes.len(),
            rule.destinations.len()
        ),
        ("never-ran", 0, 0)
    );
    assert_eq!(
        rule.reasons,
        [
            EndReason::DeadlineExceeded,
            EndReason::AttemptsExhausted,
            EndReason::Rejected
        ]
    );
    assert_eq!(
        (rule.min_healthy, rule.max_age),
        (60 * SECOND, 86_400 * SECOND)
    );
    assert_eq!((rule.max_redrives, rule.per_second), (3, 1.0));
}

#[test]
fn every_key_of_the_settings_is_read_under_its_name() {
    let config =
        Config::parse(Path::new("u.toml"), &golden_text("settings.toml")).expect("valid settings");
    assert_eq!(
        (config.file.as_str(), config.max_bytes, config.max_messages),
        ("other.db", 1_500_000, 77)
    );
    assert_eq!(config.max_age, 43_200 * SECOND);
    assert_eq!((config.store_returned, config.clients_retry), (true, false));
    let [rule] = &config.rules[..] else {
        panic!("{:?}", config.rules)
    };
    assert_eq!(
        (rule.name.as_str(), rule.classes.clone()),
        ("every-key", vec!["licence".to_string()])
    );
    assert_eq!(rule.destinations, [7, 8]);
    assert_eq!(
        rule.reasons[..4],
        [
            EndReason::DeadlineExceeded,
            EndReason::NotRetryable,
            EndReason::AttemptsExhausted,
            EndReason::Rejected
        ]
    );
    assert_eq!(
        rule.reasons[4..],
        [EndReason::Unknown, EndReason::Delivered]
    );
    assert_eq!(
        (rule.min_healthy, rule.max_age),
        (1_500 * MILLISECOND, 90 * SECOND)
    );
    assert_eq!((rule.max_redrives, rule.per_second), (5, 0.25));
}
