//! Compact destination states as earlier builds wrote them into the snapshot of a hot restart.

use milletturn_idle_state::{CompactState, DestinationState, Health};

/// Four encoded compact states, one for each kind of health, without separators.
const COMPACT: &[u8] = include_bytes!("golden/compact.bin");

const AT: i64 = 1_700_000_000_000_000;

/// The states encoded in `COMPACT`. Their values are chosen so that the compact form keeps them exactly.
fn states() -> [DestinationState; 4] {
    let healthy = DestinationState {
        retry_after_until: 0,
        health: Health::Healthy,
        unhealthy_since: 0,
        first_seen_at: AT,
        last_sent_at: AT + 7_000_000,
        calls_sent: 12,
        announced_limit: None,
        fair_share: 0.0,
        rate_limit: f64::INFINITY,
        best_rate: 12.5,
        concurrency_window: 8.0,
        typical_latency: None,
        hedge_delay: None,
        failures: (0.0, 12.0),
        rejections: (0.0, 11.0),
        outage_evidence: 0.0,
    };
    let ejected = DestinationState {
        retry_after_until: AT + 1_234_567,
        health: Health::Ejected {
            unresponsive: false,
            since: AT + 1,
        },
        unhealthy_since: AT + 2_000_000,
        announced_limit: Some(40.25),
        fair_share: 20.125,
        rate_limit: 3.5,
        typical_latency: Some(25_001),
        hedge_delay: Some(70_002),
        failures: (5.5, 9.75),
        rejections: (1.25, 8.5),
        outage_evidence: 2.75,
        calls_sent: u64::from(u32::MAX),
        ..healthy.clone()
    };
    let unresponsive = DestinationState {
        health: Health::Ejected {
            unresponsive: true,
            since: AT + 2,
        },
        ..ejected.clone()
    };
    let recovering = DestinationState {
        health: Health::Recovering { since: AT + 3 },
        ..ejected.clone()
    };
    [healthy, ejected, unresponsive, recovering]
}

#[test]
fn each_value_is_read_back_and_written_as_the_same_bytes() {
    let mut bytes = COMPACT;
    for state in states() {
        let (compact, remaining) =
            postcard::take_from_bytes::<CompactState>(bytes).expect("a compact state");
        bytes = remaining;
        assert_eq!(compact.expand(), state);
        assert_eq!(compact, CompactState::from(&state));
        assert_eq!(compact.retry_after_until(), state.retry_after_until);
        assert_eq!(compact.last_sent_at(), state.last_sent_at);
        assert_eq!(
            compact.is_ejected(),
            matches!(state.health, Health::Ejected { .. })
        );
    }
    assert!(bytes.is_empty());
    let written: Vec<u8> = states()
        .iter()
        .flat_map(|state| postcard::to_allocvec(&CompactState::from(state)).expect("encoded"))
        .collect();
    assert_eq!(written, COMPACT);
}
