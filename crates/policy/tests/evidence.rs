//! Tests the outage evidence and the rejection correlation in isolation.

use milletturn_policy::outage_evidence::OutageEvidence;
use milletturn_policy::rejection_correlation::{RateAdvice, RejectionCorrelation};
use milletturn_policy::{MILLISECOND, SECOND};

#[test]
fn the_failures_needed_for_an_outage_grow_with_the_baseline_rate() {
    for (share, min_run) in [(0.0, 3), (0.1, 6), (0.3, 11)] {
        let mut evidence = OutageEvidence::default();
        let mut failures_due = 0.0;
        for _ in 0..2_000 {
            failures_due += share;
            if failures_due >= 1.0 {
                failures_due -= 1.0;
                evidence.record_failure(1.0, 0.0);
            } else {
                evidence.record_success(true, 100.0);
            }
        }
        evidence.set_evidence(0.0);
        let found = (1..100)
            .find(|_| evidence.record_failure(1.0, 0.0) >= 13.5)
            .expect("an outage is found");
        assert!((min_run..=min_run + 2).contains(&found), "{share}: {found}");
    }
}

#[test]
fn failures_of_an_outage_are_excluded_from_the_baseline() {
    let mut evidence = OutageEvidence::default();
    (0..100).for_each(|_| evidence.record_success(true, 100.0));
    let baseline = evidence.baseline_rate();
    (0..50).for_each(|_| _ = evidence.record_failure(1.0, 0.0));
    evidence.exclude_outage_from_baseline();
    evidence.record_success(true, 20.0);
    assert!(evidence.baseline_rate() <= baseline);
}

/// Simulates calls at an offered rate. A share `noise` of them is rejected at random, and all above `limit` calls per
/// second are rejected too. Returns the calls sent per second and the share of them that was rejected.
fn simulate(offered_rate: f64, noise: f64, limit: f64, duration_s: i64) -> (f64, f64) {
    let mut correlation = RejectionCorrelation::default();
    let (mut allowed_rate, mut tokens, mut now, mut state) = (f64::INFINITY, 0.0, 0, 7u64);
    let (mut limit_tokens, mut calls, mut rejected_calls, mut served) =
        (0.0f64, 0.0, 0.0, offered_rate.min(limit));
    let step = 2 * MILLISECOND;
    let step_s = step as f64 / SECOND as f64;
    while now < duration_s * SECOND {
        now += step;
        // moving average of successes per second, over about the last second
        served -= served * step_s;
        tokens = (tokens + allowed_rate.min(offered_rate) * step_s).min(2.0);
        limit_tokens = (limit_tokens + limit * step_s).min(limit / 4.0);
        while tokens >= 1.0 {
            tokens -= 1.0;
            state = state
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1_442_695_040_888_963_407);
            let random_fraction = (state >> 33) as f64 / (1u64 << 31) as f64;
            let rejected = limit_tokens < 1.0 || random_fraction < noise;
            limit_tokens -= f64::from(u8::from(!rejected));
            (calls, rejected_calls) = (calls + 1.0, rejected_calls + f64::from(u8::from(rejected)));
            served += f64::from(u8::from(!rejected));
            match correlation.on_response(rejected, now - step, now, allowed_rate, served) {
                RateAdvice::Reduce => allowed_rate = allowed_rate.min(offered_rate) * 0.8,
                RateAdvice::HalveForProbe => allowed_rate = allowed_rate.min(offered_rate) / 2.0,
                RateAdvice::Restore(before) => allowed_rate = before,
                RateAdvice::Keep if !rejected && !correlation.is_probing_rate() => {
                    allowed_rate += 0.25;
                }
                RateAdvice::Keep => {}
            }
        }
    }
    (calls / duration_s as f64, rejected_calls / calls)
}

#[test]
fn rejections_that_do_not_follow_the_load_do_not_reduce_the_rate() {
    for noise in [0.02, 0.05, 0.1, 0.2, 0.3] {
        let (rate, share) = simulate(400.0, noise, 1e9, 60);
        assert!(rate >= 0.9 * 400.0, "{noise}: {rate}");
        assert!((share - noise).abs() < 0.02, "{noise}: {share}");
    }
}

#[test]
fn rejections_by_a_limit_bring_the_rate_to_the_limit() {
    for (limit, noise) in [
        (300.0, 0.0),
        (200.0, 0.0),
        (100.0, 0.0),
        (300.0, 0.05),
        (200.0, 0.1),
    ] {
        let (rate, share) = simulate(400.0, noise, limit, 60);
        // random rejections make the limit harder to find
        assert!(
            rate <= (1.15 + 3.0 * noise) * limit && rate >= 0.6 * limit,
            "{limit}, {noise}: {rate}"
        );
        assert!(share < 2.2 * noise + 0.12, "{limit}, {noise}: {share}");
    }
}
