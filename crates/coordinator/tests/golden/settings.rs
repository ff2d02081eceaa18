//! Golden data of the settings file: every key, the defaults, and the errors for missing and unknown keys.

use crate::support::golden_text;
use milletturn_coordination::{LeaseTiming, Micros};
use milletturn_coordinator::settings::Settings;
use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;

fn replicas() -> BTreeMap<u64, String> {
    (1..=3)
        .map(|id| (id, format!("10.0.0.{id}:7301")))
        .collect()
}

#[test]
fn every_key_of_the_file_is_read() {
    let settings = Settings::parse(
        Path::new("/etc/harbour/steward.toml"),
        &golden_text("steward.toml"),
    );
    let expected = Settings {
        group: "harbour".into(),
        id: 2,
        listen_address: "10.0.0.2:7301".into(),
        state_folder: "/etc/harbour/steward".into(),
        lease_timing: LeaseTiming {
            lease: Micros(12_500_000),
            clock_error_ppm: 15_000,
        },
        heartbeat_interval: Duration::from_millis(250),
        replicas: replicas(),
    };
    assert_eq!(settings.expect("valid settings"), expected);
}

#[test]
fn omitted_keys_have_their_defaults() {
    let full = golden_text("steward.toml");
    let optional = |line: &&str| {
        ["lease", "clock_error", "heartbeat"]
            .iter()
            .all(|key| !line.starts_with(key))
    };
    let text: Vec<&str> = full.lines().filter(optional).collect();
    assert_eq!(text.len() + 3, full.lines().count());
    let settings =
        Settings::parse(Path::new("steward.toml"), &text.join("\n")).expect("valid settings");
    assert_eq!(
        settings.lease_timing,
        LeaseTiming {
            lease: Micros(9_000_000),
            clock_error_ppm: 20_000
        }
    );
    assert_eq!(settings.heartbeat_interval, Duration::from_millis(200));
    assert_eq!(settings.replicas, replicas());
}

#[test]
fn a_missing_or_unknown_key_is_named_in_the_error() {
    let full = golden_text("steward.toml");
    for key in ["group", "id", "listen", "state"] {
        let text: Vec<&str> = full
            .lines()
            .filter(|line| !line.starts_with(&format!("{key} =")))
            .collect();
        let error = Settings::parse(Path::new("f"), &text.join("\n"))
            .expect_err("incomplete")
            .to_string();
        assert!(error.contains(&format!("missing field `{key}`")), "{error}");
    }
    let unknown =
        Settings::parse(Path::new("f"), &format!("reign = 1\n{full}")).expect_err("unknown");
    assert!(
        unknown.to_string().contains("unknown field `reign`"),
        "{unknown}"
    );
    let replicas = Settings::parse(Path::new("f"), &full.replace("[[steward]]", "[[replica]]"));
    assert!(
        replicas
            .expect_err("unknown")
            .to_string()
            .contains("unknown field `replica`")
    );
}
