//! The ramp before a destination that returns cold holds for the sum of all senders, not for each alone.

use milletturn_policy::SECOND;
use milletturn_test_support::cold_fleet::{RecoveryScenario, simulate};

/// One that does 40 calls a second when it is warm, and of which the senders know for 10 s.
fn case(senders: usize, skew: f64, seed: u64) -> RecoveryScenario {
    let well = 10 * SECOND;
    RecoveryScenario {
        sender_count: senders,
        capacity_per_s: 40.0,
        load_ratio: 0.9,
        skew,
        reports_limit: false,
        restarts_on_recovery: false,
        healthy_time: well,
        seed,
    }
}

/// It does not fall, nor is it left cold for nothing.
fn holds(case: RecoveryScenario) {
    let seen = simulate(case);
    assert!(
        !seen.collapsed && seen.capacity_used > 0.4,
        "{case:?}: {seen:?}"
    );
}

#[test]
fn a_fleet_that_is_told_a_limit_stays_within_what_a_cold_destination_takes() {
    // 200 seeds of each are played by `cargo bench --bench cold`; the table is in docs/design/fleet.md
    for senders in [1, 3, 10, 20, 30, 100] {
        for (skew, seed) in (0..3).flat_map(|seed| [(1.0, seed), (2.0, seed)]) {
            holds(RecoveryScenario {
                reports_limit: true,
                ..case(senders, skew, seed)
            });
        }
    }
}

#[test]
fn a_fleet_that_knows_no_limit_stays_within_it_too() {
    // Each dated the return by its own trials, and some sent all they held as to a warm one 1 s too early: at 10 to 30
    // senders most returns fell. And the sum of the best rates of senders that seldom call was more than all together
    // had ever been served.
    for senders in [1, 3, 10, 20, 30, 100] {
        for (skew, seed) in (0..8).flat_map(|seed| [(1.0, seed), (2.0, seed)]) {
            holds(case(senders, skew, seed));
        }
    }
}

#[test]
fn what_a_fleet_knows_of_long_ago_is_no_more_than_it_was_served() {
    // the longer a sender calls, the further its best 2 s are by chance above what it is usually served
    for senders in [10, 30, 100] {
        for (skew, seed) in (0..3).flat_map(|seed| [(1.0, seed), (2.0, seed)]) {
            holds(RecoveryScenario {
                healthy_time: 100 * SECOND,
                ..case(senders, skew, seed)
            });
        }
    }
}
