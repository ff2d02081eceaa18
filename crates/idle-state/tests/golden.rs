//! Compact destination states as earlier builds wrote them into the snapshot of a hot restart.

use milletturn_idle_state::{CompactState, DestinationState, Health};

/// Four encoded compact states, one for each kind of health, without separators.
const COMPACT: &[u8] = include_bytes!("golden/compact.bin");

const AT: i64 = 1_700_000_000_000_000;

/// The states encoded in `COMPACT`. Their values are chosen so that the compact form keeps them exactly.
fn states() -> [DestinationState; 4] {
    let healthy = DestinationState {
        wait_until: 0,
        health: Health::Healthy,
        unhealthy_since: 0,
        first_seen: AT,
        last_sent: AT + 7_000_000,
        sent: 12,
        announced_limit: None,
        share: 0.0,
        rate: f64::INFINITY,
        best_rate: 12.5,
        window: 8.0,
        typical_latency: None,
        hedge_after: None,
        failures: (0.0, 12.0),
        rejections: (0.0, 11.0),
        outage_evidence: 0.0,
    };
    let ejected = DestinationState {
        wait_until: AT + 1_234_567,
        health: Health::Ejected {
            unresponsive: false,
            since: AT + 1,
        },
        unhealthy_since: AT + 2_000_000,
        announced_limit: Some(40.25),
        share: 20.125,
        rate: 3.5,
        typical_latency: Some(25_001),
        hedge_after: Some(70_002),
        failures: (5.5, 9.75),
        rejections: (1.25, 8.5),
        outage_evidence: 2.75,
        sent: u64::from(u32::MAX),
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
        assert_eq!(compact.wait_until(), state.wait_until);
        assert_eq!(compact.last_sent(), state.last_sent);
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
