//! The platform's settings as the decisions get them.

use milletturn_platform::config::{SOCKET_SLACK, settings_of};
use milletturn_policy::MILLISECOND;

#[test]
fn a_key_rests_until_the_far_side_can_have_seen_that_a_call_was_left() {
    for (told, rest) in [
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
                       "fall": 3.0, "turnGap": told}
        });
        let (settings, _) = settings_of(&value).expect("sound");
        assert_eq!(
            settings.safety.ordered_key_backoff,
            rest * MILLISECOND + SOCKET_SLACK
        );
        assert!(settings.notifications_enabled, "ends are told by notices");
    }
}
