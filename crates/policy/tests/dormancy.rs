//! Destinations that have been idle for long: their state is packed, retry-after delays still apply, and old
//! measurements count less.

#![expect(
    clippy::too_many_lines,
    reason = "each test spells out its whole scenario"
)]

mod common;

use common::*;
use milletturn_policy::*;

const HOUR: Micros = 3_600 * SECOND;

/// A sender with destinations 0 to `count - 1`, each with one endpoint.
fn new_harness(count: u32) -> Harness {
    Harness::new(
        settings(200),
        (0..count).map(|n| entry(n, u64::from(n))).collect(),
    )
}

/// Submits a message, and ends its call successfully after 10 ms if it is sent by then.
fn complete_call(harness: &mut Harness, id: u64, destination: u64) {
    harness.handle(vec![message(id, REPEATABLE, destination)]);
    harness.run_until(harness.now + 10 * MILLISECOND);
    if harness.sends.iter().any(|send| send.1 == id) {
        harness.end_attempt(id, Outcome::Success, 10 * MILLISECOND);
    }
}

/// Advances the time by `span`, and then runs `turns` turns that have an alarm as their only event. Each turn inspects
/// some idle destinations.
fn stay_idle(harness: &mut Harness, span: Micros, turns: usize) {
    harness.run_until(harness.now + span);
    (0..turns).for_each(|_| _ = harness.handle(vec![Event::Alarm]));
}

#[test]
fn a_destination_takes_state_from_its_first_call_on_and_is_packed_when_idle() {
    let mut harness = new_harness(1_000);
    assert_eq!(harness.sender.scope_counts(), (0, 0));
    (0..20).for_each(|n| complete_call(&mut harness, n, n));
    assert_eq!(harness.sender.scope_counts(), (20, 0));
    stay_idle(&mut harness, 299 * SECOND, 30);
    assert_eq!(
        harness.sender.scope_counts(),
        (20, 0),
        "not before the idle time is over"
    );
    stay_idle(&mut harness, 2 * SECOND, 30);
    assert_eq!(harness.sender.scope_counts(), (0, 20));
    complete_call(&mut harness, 100, 3);
    assert_eq!(harness.sender.scope_counts(), (1, 19));
}

#[test]
fn a_retry_after_delay_of_thirty_days_outlasts_packing() {
    let mut harness = new_harness(50);
    (0..50).for_each(|n| complete_call(&mut harness, n, n));
    let started = harness.now;
    harness.handle(vec![Event::RetryAfter {
        endpoint: EndpointId(7),
        retry_after: 30 * 24 * HOUR,
    }]);
    for day in 1..30u64 {
        let span = started + day as Micros * 24 * HOUR - harness.now;
        stay_idle(&mut harness, span, 60);
        assert!(harness.sender.scope_counts().1 >= 49, "packed");
        complete_call(&mut harness, 1_000 + day, 7);
        assert!(
            harness.send_times(1_000 + day).is_empty(),
            "sent on day {day} of the retry-after delay"
        );
    }
    let span = started + 30 * 24 * HOUR + SECOND - harness.now;
    stay_idle(&mut harness, span, 60);
    complete_call(&mut harness, 2_000, 7);
    harness.run_until(harness.now + 30 * SECOND);
    assert_eq!(
        harness.send_times(2_000).len(),
        1,
        "after the retry-after delay"
    );
}

#[test]
fn after_two_idle_weeks_the_old_rate_causes_no_burst() {
    for (idle_time, min, max) in [(HOUR / 2, 40, 200), (14 * 24 * HOUR, 1, 8)] {
        let mut harness = new_harness(10);
        (0..50).for_each(|id| complete_call(&mut harness, id, 3));
        stay_idle(&mut harness, idle_time, 60);
        assert_eq!(harness.sender.scope_counts(), (0, 1));
        let before = harness.sends.len();
        harness.handle(
            (0..100)
                .map(|id| message(1_000 + id, REPEATABLE, 3))
                .collect(),
        );
        harness.run_until(harness.now + SECOND);
        let sent = harness.sends.len() - before;
        assert!(
            (min..=max).contains(&sent),
            "{sent} in the first second after {idle_time}"
        );
    }
}

#[test]
fn an_ejected_destination_is_still_ejected_after_it_was_packed() {
    let mut harness = new_harness(10);
    (0..20).for_each(|id| complete_call(&mut harness, id, 3));
    for id in 100..106 {
        harness.handle(vec![message(id, REPEATABLE, 3)]);
        harness.run_until(harness.now + 10 * MILLISECOND);
        if harness.sends.iter().any(|send| send.1 == id) {
            harness.end_attempt(id, Outcome::NoConnection, 10 * MILLISECOND);
        }
        harness.handle(vec![Event::MessageCancelled(MessageId(id))]);
    }
    assert_eq!(harness.sender.ejected_endpoint_count(), 1);
    stay_idle(&mut harness, HOUR / 2, 60);
    assert_eq!(
        (
            harness.sender.scope_counts(),
            harness.sender.ejected_endpoint_count()
        ),
        ((0, 1), 1)
    );
    let before = harness.sends.len();
    harness.handle(
        (0..50)
            .map(|id| message(1_000 + id, REPEATABLE, 3))
            .collect(),
    );
    assert!(
        harness.sends.len() - before <= 2,
        "probes, not all messages"
    );
}

#[test]
fn removed_endpoints_and_destinations_leave_no_state_behind() {
    // Each endpoint is removed while a call to it is in flight, and the call ends after the removal. Half of the
    // endpoints are removed together with their destination.
    let mut harness = new_harness(4);
    for round in 0..500u64 {
        let (old, new) = (round as u32 + 3, round as u32 + 4);
        let destination = if round % 2 == 0 { round + 4 } else { 1 };
        harness.handle(vec![message(
            round,
            REPEATABLE,
            if round % 2 == 0 { 1 } else { round + 3 },
        )]);
        let removed = EndpointEntry {
            status: EndpointStatus::Removed,
            ..entry(old, if round % 2 == 1 { round + 3 } else { 1 })
        };
        let entries = vec![removed, entry(new, destination)];
        harness.handle(vec![Event::EndpointList {
            list_kind: EndpointListKind::Changes,
            entries,
        }]);
        harness.run_until(harness.now + 200 * MILLISECOND);
        harness.handle(vec![Event::MessageCancelled(MessageId(round))]);
        let calls = harness.sends.split_off(0);
        let late_end = |call: &(Micros, u64, u32, usize)| {
            ended(call.1, call.3, call.2, Outcome::TimedOut, 200 * MILLISECOND)
        };
        harness.handle(calls.iter().map(late_end).collect());
        harness.handle(vec![Event::RetryAfter {
            endpoint: EndpointId(old),
            retry_after: MILLISECOND,
        }]);
    }
    harness.run_until(harness.now + 61 * SECOND);
    let entries = vec![entry(0, 0)];
    harness.handle(vec![Event::EndpointList {
        list_kind: EndpointListKind::Full,
        entries,
    }]);
    // calls without a response end at their deadline, and the next list update removes the state that they kept
    for _ in 0..3 {
        harness.run_until(harness.now + 61 * SECOND);
        harness.handle(vec![Event::EndpointList {
            list_kind: EndpointListKind::Changes,
            entries: Vec::new(),
        }]);
    }
    let (live, packed) = harness.sender.scope_counts();
    assert!(
        live + packed <= 1,
        "{live} live and {packed} packed health scopes of removed destinations"
    );
    // a destination removed a minute ago is treated like one that never existed
    harness.handle(vec![message(9_999, REPEATABLE, 1)]);
    assert!(harness.was_rejected(9_999));
}

#[test]
fn slow_start_continues_after_an_idle_time_shorter_than_it() {
    let mut settings = settings(200);
    settings.safety.slow_start = 2_000 * SECOND;
    let mut harness = Harness::new(settings, vec![entry(3, 3)]);
    (0..50).for_each(|id| complete_call(&mut harness, id, 3));
    let sent_before_outage = harness.sends.len();
    harness.handle(vec![message(100, REPEATABLE, 3)]);
    while harness.sends.len() < sent_before_outage + 6 {
        harness.run_until(harness.now + 10 * MILLISECOND);
        harness.end_attempt(100, Outcome::NoConnection, 10 * MILLISECOND);
    }
    harness.run_until(harness.now + 10 * SECOND);
    harness.end_attempt(100, Outcome::Success, 10 * MILLISECOND);
    stay_idle(&mut harness, HOUR / 10, 60);
    assert_eq!(harness.sender.scope_counts(), (0, 1));
    // after its first response the destination is as far in slow start as before the idle time
    complete_call(&mut harness, 200, 3);
    let before = harness.sends.len();
    harness.handle((300..350).map(|id| message(id, REPEATABLE, 3)).collect());
    for _ in 0..500 {
        harness.run_until(harness.now + 10 * MILLISECOND);
        for id in 300..350 {
            if !harness.send_times(id).is_empty() {
                harness.end_attempt(id, Outcome::Success, 10 * MILLISECOND);
            }
        }
    }
    assert!(
        harness.sends.len() - before < 10,
        "{} in 5 s",
        harness.sends.len() - before
    );
}
