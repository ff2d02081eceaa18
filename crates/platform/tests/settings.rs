//! Conversion of the platform's settings to those of the decision module.

use milletturn_platform::config::{SOCKET_SLACK, settings_of};
use milletturn_policy::MILLISECOND;

#[test]
fn the_wait_per_key_includes_the_time_until_an_endpoint_notices_an_aborted_call() {
    for (turn_gap, expected_ms) in [
        (serde_json::json!(0.0), 0),
        (serde_json::json!(0.7), 700),
        (serde_json::Value::Null, 0),
    ] {
        let value = serde_json::json!({
            "balancers": 1,
            "caps": {"maxOpen": 50, "mostTries": 12},
            "classes": [{"name": "a", "aim": 4.0, "deadline": 20.0, "effect": "idempotent"}],
            "specifics": {"callSlots": 8},
            "safety": {"stopSendingWithin": 1.0, "cold": 11.0, "startCapacity": 0.18, "fallMultiple": 2.0,
                       "fall": 3.0, "turnGap": turn_gap}
        });
        let (settings, _) = settings_of(&value).expect("valid settings");
        assert_eq!(
            settings.safety.ordered_key_backoff,
            expected_ms * MILLISECOND + SOCKET_SLACK
        );
        assert!(
            settings.notifications_enabled,
            "outcomes are reported by notifications"
        );
    }
}
