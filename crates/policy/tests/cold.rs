//! A destination in the slow start after an outage does not collapse under the calls of all senders together, and the
//! senders use more than 0.4 of its capacity.

use milletturn_policy::SECOND;
use milletturn_test_support::cold_fleet::{RecoveryScenario, simulate};

/// A destination that processes 40 calls per second at full capacity and is healthy for 10 s before it fails.
fn scenario(senders: usize, skew: f64, seed: u64) -> RecoveryScenario {
    let healthy_time = 10 * SECOND;
    RecoveryScenario {
        sender_count: senders,
        capacity_per_s: 40.0,
        load_ratio: 0.9,
        skew,
        reports_limit: false,
        restarts_on_recovery: false,
        healthy_time,
        seed,
    }
}

/// Asserts that the destination does not collapse, and that the senders use more than 0.4 of its capacity.
fn assert_no_collapse(scenario: RecoveryScenario) {
    let result = simulate(scenario);
    assert!(
        !result.collapsed && result.capacity_used > 0.4,
        "{scenario:?}: {result:?}"
    );
}

#[test]
fn a_fleet_with_a_reported_limit_does_not_overload_a_destination_in_slow_start() {
    // `cargo bench --bench cold` runs 200 seeds of each case; the results are in docs/design/fleet.md
    for senders in [1, 3, 10, 20, 30, 100] {
        for (skew, seed) in (0..3).flat_map(|seed| [(1.0, seed), (2.0, seed)]) {
            assert_no_collapse(RecoveryScenario {
                reports_limit: true,
                ..scenario(senders, skew, seed)
            });
        }
    }
}

#[test]
fn a_fleet_without_a_reported_limit_does_not_overload_a_destination_in_slow_start() {
    // Guards against two faults. First, each sender estimated the time of the recovery from its own probes, and some
    // ended slow start 1 s too early and sent all pending messages: with 10 to 30 senders the destination collapsed in
    // most runs. Second, the highest rates of senders that call rarely added up to more than the destination had ever
    // served to all of them together.
    for senders in [1, 3, 10, 20, 30, 100] {
        for (skew, seed) in (0..8).flat_map(|seed| [(1.0, seed), (2.0, seed)]) {
            assert_no_collapse(scenario(senders, skew, seed));
        }
    }
}

#[test]
fn rates_learned_over_a_long_time_do_not_exceed_what_was_served() {
    // A sender remembers the highest rate at which its calls succeeded over 2 s. The longer it runs, the further this
    // maximum exceeds its usual rate, by chance. Guards against senders whose maxima together exceed the rate that the
    // destination served.
    for senders in [10, 30, 100] {
        for (skew, seed) in (0..3).flat_map(|seed| [(1.0, seed), (2.0, seed)]) {
            assert_no_collapse(RecoveryScenario {
                healthy_time: 100 * SECOND,
                ..scenario(senders, skew, seed)
            });
        }
    }
}
