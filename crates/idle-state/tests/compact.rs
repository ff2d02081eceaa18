//! Properties that the compact form must keep, checked with random states.

use milletturn_idle_state::{CompactState, DestinationState, Health, STALE_AFTER, initial_limits};
use proptest::prelude::*;

fn states() -> impl Strategy<Value = DestinationState> {
    let at = 0i64..4_000_000_000_000_000;
    let health = prop_oneof![
        Just(Health::Healthy),
        (any::<bool>(), at.clone()).prop_map(|(unresponsive, since)| Health::Ejected {
            unresponsive,
            since
        }),
        at.clone().prop_map(|since| Health::Recovering { since }),
    ];
    let rate = prop_oneof![Just(f64::INFINITY), 0.0..1e5f64];
    let duration = proptest::option::of(0i64..100_000_000_000);
    let times = (at.clone(), at.clone(), at.clone(), at);
    let rates = (rate.clone(), rate, 0.0..1e3f64);
    let limit = proptest::option::of(0.001..1e5f64);
    let durations = (duration.clone(), duration);
    let counts = (0.0..1e3f64, any::<u64>());
    (times, health, limit, rates, durations, counts).prop_map(
        |(times, health, announced_limit, rates, durations, (evidence, sent))| DestinationState {
            retry_after_until: times.0,
            health,
            unhealthy_since: times.1,
            first_seen_at: times.2,
            last_sent_at: times.3,
            calls_sent: sent,
            announced_limit,
            fair_share: rates.2,
            rate_limit: rates.0,
            best_rate: rates.1,
            concurrency_window: rates.2,
            typical_latency: durations.0,
            hedge_delay: durations.1,
            failures: (evidence, 200.0),
            rejections: (evidence, 1000.0),
            outage_evidence: evidence,
        },
    )
}

proptest! {
    #[test]
    fn no_limit_is_lost_or_raised(original in states()) {
        let compact = CompactState::from(&original);
        let expanded = compact.expand();
        prop_assert_eq!(expanded.retry_after_until, original.retry_after_until);
        prop_assert_eq!(expanded.health, original.health);
        prop_assert_eq!(compact.is_ejected(), matches!(original.health, Health::Ejected { .. }));
        for (after, before) in [(expanded.rate_limit, original.rate_limit), (expanded.best_rate, original.best_rate)] {
            prop_assert!(after <= before && (after >= before * (1.0 - 2e-7) || before < 1e-30), "{} {}", after, before);
        }
        prop_assert_eq!(expanded.announced_limit.is_some(), original.announced_limit.is_some());
        prop_assert!(expanded.announced_limit <= original.announced_limit);
        // a delay that is measured from the last call must not become shorter
        prop_assert!(
            expanded.last_sent_at >= original.last_sent_at
                && expanded.last_sent_at < original.last_sent_at + 1_000_000
        );
        // compacting the expanded state again gives the same compact form
        prop_assert_eq!(CompactState::from(&expanded), compact);
    }

    #[test]
    fn stale_limits_are_no_higher_than_fresh_ones(original in states(), age in 0i64..10 * STALE_AFTER) {
        let now = original.last_sent_at + age;
        let limits = initial_limits(&original, now);
        prop_assert_eq!(limits.is_fresh, age < STALE_AFTER);
        prop_assert!(
            limits.rate_limit <= original.rate_limit
                && limits.concurrency_window <= original.concurrency_window
        );
        prop_assert!(limits.is_fresh || limits.rate_limit <= 4.0);
    }
}

#[test]
fn the_compact_form_takes_tens_of_bytes() {
    assert_eq!(std::mem::size_of::<CompactState>(), 88);
}
