//! The sequential test by itself, and refusals that follow the load or do not.

use milletturn_policy::outage_evidence::OutageEvidence;
use milletturn_policy::rejection_correlation::{RateAdvice, RejectionCorrelation};
use milletturn_policy::{MILLISECOND, SECOND};

#[test]
fn the_run_that_is_needed_follows_from_what_is_usual() {
    for (share, run) in [(0.0, 3), (0.1, 6), (0.3, 11)] {
        let mut odds = OutageEvidence::default();
        let mut owed = 0.0;
        for _ in 0..2_000 {
            owed += share;
            if owed >= 1.0 {
                owed -= 1.0;
                odds.record_failure(1.0, 0.0);
            } else {
                odds.record_success(true, 100.0);
            }
        }
        odds.set_evidence(0.0);
        let found = (1..100)
            .find(|_| odds.record_failure(1.0, 0.0) >= 13.5)
            .expect("found");
        assert!((run..=run + 2).contains(&found), "{share}: {found}");
    }
}

#[test]
fn what_led_to_an_outage_is_not_usual() {
    let mut odds = OutageEvidence::default();
    (0..100).for_each(|_| odds.record_success(true, 100.0));
    let usual = odds.baseline_rate();
    (0..50).for_each(|_| _ = odds.record_failure(1.0, 0.0));
    odds.exclude_outage_from_baseline();
    odds.record_success(true, 20.0);
    assert!(odds.baseline_rate() <= usual);
}

/// Refusals at random with this share, and one of every call above `limit` calls a second, at an offered rate. Gives the
/// calls a second that went out and the share of them that was refused.
fn offered(rate: f64, noise: f64, limit: f64, seconds: i64) -> (f64, f64) {
    let mut refusals = RejectionCorrelation::default();
    let (mut pace, mut tokens, mut now, mut state) = (f64::INFINITY, 0.0, 0, 7u64);
    let (mut room, mut all, mut bad, mut served) = (0.0f64, 0.0, 0.0, rate.min(limit));
    let step = 2 * MILLISECOND;
    let part = step as f64 / SECOND as f64;
    while now < seconds * SECOND {
        now += step;
        // successes a second, over the last second or so
        served -= served * part;
        tokens = (tokens + pace.min(rate) * part).min(2.0);
        room = (room + limit * part).min(limit / 4.0);
        while tokens >= 1.0 {
            tokens -= 1.0;
            state = state
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1_442_695_040_888_963_407);
            let roll = (state >> 33) as f64 / (1u64 << 31) as f64;
            let refused = room < 1.0 || roll < noise;
            room -= f64::from(u8::from(!refused));
            (all, bad) = (all + 1.0, bad + f64::from(u8::from(refused)));
            served += f64::from(u8::from(!refused));
            match refusals.on_response(refused, now - step, now, pace, served) {
                RateAdvice::Reduce => pace = pace.min(rate) * 0.8,
                RateAdvice::HalveForProbe => pace = pace.min(rate) / 2.0,
                RateAdvice::Restore(before) => pace = before,
                RateAdvice::Keep if !refused && !refusals.is_probing_rate() => pace += 0.25,
                RateAdvice::Keep => {}
            }
        }
    }
    (all / seconds as f64, bad / all)
}

#[test]
fn refusals_that_do_not_follow_the_load_leave_the_pace() {
    for noise in [0.02, 0.05, 0.1, 0.2, 0.3] {
        let (pace, share) = offered(400.0, noise, 1e9, 60);
        assert!(pace >= 0.9 * 400.0, "{noise}: {pace}");
        assert!((share - noise).abs() < 0.02, "{noise}: {share}");
    }
}

#[test]
fn refusals_of_a_limit_hold_the_pace_at_it() {
    for (limit, noise) in [
        (300.0, 0.0),
        (200.0, 0.0),
        (100.0, 0.0),
        (300.0, 0.05),
        (200.0, 0.1),
    ] {
        let (pace, share) = offered(400.0, noise, limit, 60);
        // noise blurs where the limit is
        assert!(
            pace <= (1.15 + 3.0 * noise) * limit && pace >= 0.6 * limit,
            "{limit}, {noise}: {pace}"
        );
        assert!(share < 2.2 * noise + 0.12, "{limit}, {noise}: {share}");
    }
}
