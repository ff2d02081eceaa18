//! The ramp before a destination that returns cold holds for the sum of all senders, not for each alone.

use milletturn_stand_ins::cold_fleet::{Return, play};

#[test]
fn a_fleet_that_is_told_a_limit_stays_within_what_a_cold_destination_takes() {
    // 200 seeds of each are played by `cargo bench --bench cold`; the table is in docs/design/fleet.md
    for senders in [1, 3, 10, 20, 30, 100] {
        for skew in [1.0, 2.0] {
            for seed in 0..3 {
                let case =
                    Return { senders, capacity: 40.0, load: 0.9, skew, told: true, restart: false, seed };
                let seen = play(case);
                assert!(!seen.fell, "{case:?}: {seen:?}");
                // nor is it left cold for nothing
                assert!(seen.used > 0.4, "{case:?}: {seen:?}");
            }
        }
    }
}

#[test]
fn few_senders_that_know_no_limit_stay_within_it_too() {
    for (senders, seed) in (0..3).flat_map(|seed| [(1, seed), (3, seed)]) {
        let case =
            Return { senders, capacity: 40.0, load: 0.9, skew: 1.0, told: false, restart: false, seed };
        let seen = play(case);
        assert!(!seen.fell && seen.used > 0.4, "{case:?}: {seen:?}");
    }
}
