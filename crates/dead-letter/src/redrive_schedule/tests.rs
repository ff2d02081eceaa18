//! Tests of the redrive schedule: which messages rules cover, when they release redrives, and at which rate.

use super::{Candidate, MAX_DESTINATIONS, RedriveRule, RedriveSchedule};
use milletturn_engine::EndReason;
use milletturn_policy::{Micros, SECOND};

fn rule() -> RedriveRule {
    RedriveRule {
        name: "r".into(),
        classes: vec!["licence".into()],
        destinations: Vec::new(),
        reasons: vec![EndReason::DeadlineExceeded],
        min_healthy: 10 * SECOND,
        max_redrives: 2,
        max_age: 1000 * SECOND,
        per_second: 2.0,
    }
}

fn candidate() -> Candidate<'static> {
    Candidate {
        class: "licence",
        destination: 7,
        reason: EndReason::DeadlineExceeded,
        accepted_at: 0,
        redrives: 0,
    }
}

#[test]
fn a_rule_covers_only_messages_that_match_all_its_conditions() {
    let (rule, good) = (rule(), candidate());
    assert!(rule.covers(&good, SECOND));
    for bad in [
        Candidate {
            class: "order",
            ..candidate()
        },
        Candidate {
            reason: EndReason::NotRetryable,
            ..candidate()
        },
        Candidate {
            redrives: 2,
            ..candidate()
        },
    ] {
        assert!(!rule.covers(&bad, SECOND), "{bad:?}");
    }
    assert!(!rule.covers(&good, 1001 * SECOND), "too old");
    assert!(
        !RedriveRule {
            destinations: vec![8],
            ..rule
        }
        .covers(&good, SECOND)
    );
}

#[test]
fn a_destination_must_have_been_healthy_for_the_time_of_the_rule() {
    let mut schedule = RedriveSchedule::new(vec![rule()]);
    schedule.on_attempt_end(7, false, 100 * SECOND);
    schedule.on_attempt_end(7, true, 101 * SECOND);
    assert!(schedule.try_acquire(&candidate(), 109 * SECOND).is_none());
    assert!(schedule.try_acquire(&candidate(), 110 * SECOND).is_some());
    schedule.on_attempt_end(7, false, 111 * SECOND);
    assert!(
        schedule.try_acquire(&candidate(), 120 * SECOND).is_none(),
        "the destination failed again"
    );
}

#[test]
fn a_destination_whose_last_attempt_failed_gets_one_message_as_a_probe() {
    let mut schedule = RedriveSchedule::new(vec![rule()]);
    schedule.on_attempt_end(7, false, 100 * SECOND);
    assert!(schedule.try_acquire(&candidate(), 200 * SECOND).is_some());
    assert!(
        schedule.try_acquire(&candidate(), 300 * SECOND).is_none(),
        "the probe has no result yet"
    );
    schedule.on_attempt_end(7, true, 301 * SECOND);
    assert!(schedule.try_acquire(&candidate(), 302 * SECOND).is_some());
}

#[test]
fn the_rate_of_a_rule_is_limited() {
    let mut schedule = RedriveSchedule::new(vec![rule()]);
    schedule.on_attempt_end(7, true, 0);
    let mut released = 0;
    for step in 0..100 {
        released += usize::from(
            schedule
                .try_acquire(&candidate(), step * SECOND / 10)
                .is_some(),
        );
    }
    assert!(
        (19..=22).contains(&released),
        "{released} redrives in 10 s at 2 per second"
    );
}

#[test]
fn the_number_of_remembered_destinations_is_bounded() {
    let mut schedule = RedriveSchedule::new(vec![rule()]);
    (0..MAX_DESTINATIONS as u64 + 50)
        .for_each(|id| schedule.on_attempt_end(id, true, id as Micros));
    assert_eq!(schedule.health.len(), MAX_DESTINATIONS);
    assert!(!schedule.health.contains_key(&0));
}

#[test]
fn a_redrive_that_ends_without_an_attempt_blocks_no_other() {
    let mut schedule = RedriveSchedule::new(vec![rule()]);
    schedule.on_attempt_end(7, false, 0);
    let candidate = candidate();
    let healthy_at = 100 * SECOND;
    assert!(schedule.try_acquire(&candidate, healthy_at).is_some());
    assert!(
        schedule
            .try_acquire(&candidate, healthy_at + 10 * SECOND)
            .is_none(),
        "only one probe at a time"
    );
    schedule.on_redrive_end(7);
    assert!(
        schedule
            .try_acquire(&candidate, healthy_at + 20 * SECOND)
            .is_some()
    );
}
