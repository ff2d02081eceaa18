//! How long a holder may rely on its lease when the leader's clock runs at a different rate.

use milletturn_coordination::{LeaseTiming, Micros};

#[test]
fn a_lease_ends_at_a_holder_with_a_slow_clock_before_it_ends_at_the_leader() {
    for clock_error_ppm in [0, 1, 20_000, 500_000] {
        for lease in [0, 1, 999, 9_000_000, u64::MAX] {
            let timing = LeaseTiming {
                lease: Micros(lease),
                clock_error_ppm,
            };
            let passed =
                u128::from(timing.holder_duration().0) * (1_000_000 + u128::from(clock_error_ppm));
            assert!(passed <= u128::from(lease) * 1_000_000, "{timing:?}");
        }
    }
    let timing = LeaseTiming {
        lease: Micros::from_millis(9_000),
        clock_error_ppm: 20_000,
    };
    assert_eq!(timing.holder_duration(), Micros(8_823_529));
}
