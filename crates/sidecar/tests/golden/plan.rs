//! The plan that is derived from a configuration with all settings.

use milletturn_config::check_documents;
use milletturn_config::document::Document;
use milletturn_dead_letter::redrive_schedule::RedriveRule;
use milletturn_policy::{Effect, ValueDecay};
use milletturn_sidecar::plan::Plan;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

fn all_settings() -> Plan {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../config/tests/golden/all.toml");
    let text = std::fs::read_to_string(&path).expect("the golden file is readable");
    let documents = check_documents(vec![Document::parse(
        Path::new("/etc/milletturn/all.toml"),
        text,
    )]);
    assert!(
        documents[0].findings.is_empty(),
        "{:?}",
        documents[0].findings
    );
    Plan::from_document(&documents[0]).expect("the plan is derived")
}

fn address(text: &str) -> SocketAddr {
    text.parse().expect("a valid address")
}

#[test]
fn a_file_with_all_settings_gives_the_same_process_plan() {
    let plan = all_settings();
    assert_eq!(
        (plan.name.as_str(), plan.state_folder.as_path()),
        ("all-keys", Path::new("/etc/milletturn/all.state"))
    );
    assert_eq!(
        (plan.ingress_address, plan.outcomes_address),
        (address("127.0.0.1:7003"), address("127.0.0.1:7103"))
    );
    assert_eq!(plan.admin_address, Some(address("127.0.0.1:7203")));
    assert_eq!(plan.kinds, ["1", "5"]);
    assert_eq!(
        (
            plan.journal_max_bytes,
            plan.store_reserved_bytes,
            plan.outcome_log_max_bytes
        ),
        (41_000_000, 15_000_000, 2_000_000)
    );
    assert_eq!(
        (plan.idle_timeout, plan.connect_timeout),
        (Duration::from_secs(7), Duration::from_millis(400))
    );
    assert_eq!(
        plan.endpoints_file.as_deref(),
        Some(Path::new("/etc/milletturn/endpoints.toml"))
    );
}

#[test]
fn a_file_with_all_settings_gives_the_same_endpoints_and_callback() {
    let plan = all_settings();
    let endpoints: Vec<_> = plan
        .fixed_endpoints
        .iter()
        .map(|one| {
            (
                one.uid.as_str(),
                one.destination,
                one.kind.as_str(),
                one.weight,
            )
        })
        .collect();
    assert_eq!(
        endpoints,
        [
            ("acme/127.0.0.1:9001", 7, "5", 10.0),
            ("acme/127.0.0.1:9002", 7, "5", 10.0),
            ("lab/127.0.0.1:9003", 9, "1", 10.0),
            ("callback/127.0.0.1:9100", u64::MAX, "1", 0.0),
        ]
    );
    let callback = plan.callback.expect("a callback is configured");
    assert_eq!(
        (callback.class, callback.destination, callback.time_to_live),
        (3, u64::MAX, 60_000_000)
    );
}

#[test]
fn a_file_with_all_settings_gives_the_same_decision_settings() {
    let settings = all_settings().settings;
    assert_eq!(
        (
            settings.call_slots,
            settings.max_pending,
            settings.max_attempts
        ),
        (50, 500, 9)
    );
    assert!(!settings.hedging_enabled);
    assert_eq!(
        (
            settings.max_client_retry_after,
            settings.idle_connection_timeout
        ),
        (8_000_000, 7_000_000)
    );
    assert_eq!(
        (settings.weight_trust, settings.value_decay),
        (1.0, ValueDecay::Halving)
    );
    let safety = &settings.safety;
    assert_eq!(
        (safety.drain_grace, safety.slow_start),
        (1_500_000, 12_000_000)
    );
    assert_eq!(
        (
            safety.initial_capacity,
            safety.overload_multiple,
            safety.overload_window
        ),
        (0.2, 2.5, 4_000_000)
    );
}

#[test]
fn a_file_with_all_settings_gives_the_same_classes_and_kinds() {
    let settings = all_settings().settings;
    let classes: Vec<_> = settings
        .classes
        .iter()
        .map(|class| {
            (
                class.name.as_str(),
                class.effect,
                class.latency_objective,
                class.deadline,
                class.priority_weight,
                class.late_value_share,
            )
        })
        .collect();
    let keyed = Effect::Keyed {
        window: 30_000_000,
        zone_only: false,
    };
    assert_eq!(
        classes,
        [
            ("notice", keyed, 3_000_000, 15_000_000, 2.5, 0.25),
            ("order", Effect::Unsafe, 4_000_000, 20_000_000, 1.0, 0.3),
            (
                "update",
                Effect::Repeatable,
                2_000_000,
                10_000_000,
                1.0,
                0.3
            ),
            (
                "outcome:callback",
                Effect::Repeatable,
                1_000_000,
                60_000_000,
                1.0,
                1.0
            ),
        ]
    );
    let kinds: Vec<_> = settings
        .kinds
        .iter()
        .map(|kind| (kind.name.as_str(), kind.max_batch_size))
        .collect();
    assert_eq!(kinds, [("1", 1), ("5", 5)]);
}

#[test]
fn a_file_with_all_settings_gives_the_same_dead_letter_store() {
    let store = all_settings()
        .dead_letter_store
        .expect("a dead-letter store is configured");
    assert_eq!(
        (store.max_bytes, store.max_messages, store.max_age),
        (5_000_000, 20_000, 1_209_600_000_000)
    );
    assert_eq!((store.store_returned, store.clients_retry), (true, false));
    let [
        RedriveRule {
            name,
            classes,
            destinations,
            min_healthy,
            max_redrives,
            max_age,
            per_second,
            reasons,
        },
    ] = &store.rules[..]
    else {
        panic!("expected one redrive rule: {:?}", store.rules);
    };
    assert_eq!(
        (name.as_str(), &classes[..], &destinations[..]),
        ("nightly", &["notice".to_string()][..], &[7][..])
    );
    assert_eq!(
        (*min_healthy, *max_redrives, *max_age),
        (90_000_000, 2, 43_200_000_000)
    );
    assert_eq!((*per_second, reasons.len()), (0.5, 1));
    assert_eq!(reasons[0], milletturn_engine::EndReason::DeadlineExceeded);
}
