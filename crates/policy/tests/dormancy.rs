//! Destinations that hear from nobody for long: what binds is kept, what is old is trusted less.

#![expect(
    clippy::too_many_lines,
    reason = "scenarios of this file have not had their turn yet"
)]

mod common;

use common::*;
use milletturn_policy::*;

const HOUR: Micros = 3_600 * SECOND;

/// One sender, destinations 0 to `count`, an endpoint each.
fn rig(count: u32) -> Rig {
    Rig::new(
        settings(200),
        (0..count).map(|n| entry(n, u64::from(n))).collect(),
    )
}

/// Hands a message in, and ends its call well after 10 ms.
fn call(rig: &mut Rig, id: u64, destination: u64) {
    rig.tell(vec![message(id, FREE, destination)]);
    rig.run(rig.now + 10 * MILLISECOND);
    if rig.sends.iter().any(|send| send.1 == id) {
        rig.end(id, Outcome::Success, 10 * MILLISECOND);
    }
}

/// Turns that have nothing to do with it, until all that is idle has been looked at.
fn idle(rig: &mut Rig, span: Micros, turns: usize) {
    rig.run(rig.now + span);
    (0..turns).for_each(|_| _ = rig.tell(vec![Event::Alarm]));
}

#[test]
fn one_that_is_never_called_is_only_listed_and_one_that_idles_is_packed() {
    let mut rig = rig(1_000);
    assert_eq!(rig.sender.scope_counts(), (0, 0));
    (0..20).for_each(|n| call(&mut rig, n, n));
    assert_eq!(rig.sender.scope_counts(), (20, 0));
    idle(&mut rig, 299 * SECOND, 30);
    assert_eq!(rig.sender.scope_counts(), (20, 0), "not before its time");
    idle(&mut rig, 2 * SECOND, 30);
    assert_eq!(rig.sender.scope_counts(), (0, 20));
    call(&mut rig, 100, 3);
    assert_eq!(rig.sender.scope_counts(), (1, 19));
}

#[test]
fn a_told_wait_outlasts_all_that_is_forgotten() {
    let mut rig = rig(50);
    (0..50).for_each(|n| call(&mut rig, n, n));
    let begun = rig.now;
    rig.tell(vec![Event::RetryAfter {
        endpoint: EndpointId(7),
        retry_after: 30 * 24 * HOUR,
    }]);
    for day in 1..30u64 {
        let span = begun + day as Micros * 24 * HOUR - rig.now;
        idle(&mut rig, span, 60);
        assert!(rig.sender.scope_counts().1 >= 49, "packed");
        call(&mut rig, 1_000 + day, 7);
        assert!(
            rig.sends_of(1_000 + day).is_empty(),
            "sent on day {day} of the wait"
        );
    }
    let span = begun + 30 * 24 * HOUR + SECOND - rig.now;
    idle(&mut rig, span, 60);
    call(&mut rig, 2_000, 7);
    rig.run(rig.now + 30 * SECOND);
    assert_eq!(rig.sends_of(2_000).len(), 1, "after the wait");
}

#[test]
fn a_new_limit_behind_weeks_of_quiet_is_met_without_a_burst() {
    for (quiet, least, most) in [(HOUR / 2, 40, 200), (14 * 24 * HOUR, 1, 8)] {
        let mut rig = rig(10);
        (0..50).for_each(|id| call(&mut rig, id, 3));
        idle(&mut rig, quiet, 60);
        assert_eq!(rig.sender.scope_counts(), (0, 1));
        let before = rig.sends.len();
        rig.tell((0..100).map(|id| message(1_000 + id, FREE, 3)).collect());
        rig.run(rig.now + SECOND);
        let sent = rig.sends.len() - before;
        assert!(
            (least..=most).contains(&sent),
            "{sent} in the first second after {quiet}"
        );
    }
}

#[test]
fn one_that_was_away_is_still_away_when_it_comes_up_again() {
    let mut rig = rig(10);
    (0..20).for_each(|id| call(&mut rig, id, 3));
    for id in 100..106 {
        rig.tell(vec![message(id, FREE, 3)]);
        rig.run(rig.now + 10 * MILLISECOND);
        if rig.sends.iter().any(|send| send.1 == id) {
            rig.end(id, Outcome::NoConnection, 10 * MILLISECOND);
        }
        rig.tell(vec![Event::Cancelled(MessageId(id))]);
    }
    assert_eq!(rig.sender.ejected_endpoint_count(), 1);
    idle(&mut rig, HOUR / 2, 60);
    assert_eq!(
        (
            rig.sender.scope_counts(),
            rig.sender.ejected_endpoint_count()
        ),
        ((0, 1), 1)
    );
    let before = rig.sends.len();
    rig.tell((0..50).map(|id| message(1_000 + id, FREE, 3)).collect());
    assert!(rig.sends.len() - before <= 2, "a trial, not all");
}

#[test]
fn what_the_list_drops_leaves_nothing_behind() {
    // a day of replacements: each endpoint goes with a call out, half of them with their destination, and late answers
    // come from those that are gone
    let mut rig = rig(4);
    for round in 0..500u64 {
        let (old, new) = (round as u32 + 3, round as u32 + 4);
        let destination = if round % 2 == 0 { round + 4 } else { 1 };
        rig.tell(vec![message(
            round,
            FREE,
            if round % 2 == 0 { 1 } else { round + 3 },
        )]);
        let gone = EndpointEntry {
            status: EndpointStatus::Removed,
            ..entry(old, if round % 2 == 1 { round + 3 } else { 1 })
        };
        let entries = vec![gone, entry(new, destination)];
        rig.tell(vec![Event::EndpointList {
            kind: EndpointListKind::Changes,
            entries,
        }]);
        rig.run(rig.now + 200 * MILLISECOND);
        rig.tell(vec![Event::Cancelled(MessageId(round))]);
        let calls = rig.sends.split_off(0);
        let late = |call: &(Micros, u64, u32, usize)| {
            ended(call.1, call.3, call.2, Outcome::TimedOut, 200 * MILLISECOND)
        };
        rig.tell(calls.iter().map(late).collect());
        rig.tell(vec![Event::RetryAfter {
            endpoint: EndpointId(old),
            retry_after: MILLISECOND,
        }]);
    }
    rig.run(rig.now + 61 * SECOND);
    let entries = vec![entry(0, 0)];
    rig.tell(vec![Event::EndpointList {
        kind: EndpointListKind::Full,
        entries,
    }]);
    // calls that were never answered end with their time; what they held goes with the next news
    for _ in 0..3 {
        rig.run(rig.now + 61 * SECOND);
        rig.tell(vec![Event::EndpointList {
            kind: EndpointListKind::Changes,
            entries: Vec::new(),
        }]);
    }
    let (live, packed) = rig.sender.scope_counts();
    assert!(
        live + packed <= 1,
        "{live} and {packed} units of destinations that are gone"
    );
    // a destination that has been gone for a minute is as one that never was
    rig.tell(vec![message(9_999, FREE, 1)]);
    assert!(rig.refused(9_999));
}

#[test]
fn a_return_goes_on_behind_a_quiet_that_is_shorter_than_it() {
    let mut settings = settings(200);
    settings.safety.slow_start = 2_000 * SECOND;
    let mut rig = Rig::new(settings, vec![entry(3, 3)]);
    (0..50).for_each(|id| call(&mut rig, id, 3));
    let away = rig.sends.len();
    rig.tell(vec![message(100, FREE, 3)]);
    while rig.sends.len() < away + 6 {
        rig.run(rig.now + 10 * MILLISECOND);
        rig.end(100, Outcome::NoConnection, 10 * MILLISECOND);
    }
    rig.run(rig.now + 10 * SECOND);
    rig.end(100, Outcome::Success, 10 * MILLISECOND);
    idle(&mut rig, HOUR / 10, 60);
    assert_eq!(rig.sender.scope_counts(), (0, 1));
    // by its first answer behind the quiet it is as cold as it was
    call(&mut rig, 200, 3);
    let before = rig.sends.len();
    rig.tell((300..350).map(|id| message(id, FREE, 3)).collect());
    for _ in 0..500 {
        rig.run(rig.now + 10 * MILLISECOND);
        for id in 300..350 {
            if !rig.sends_of(id).is_empty() {
                rig.end(id, Outcome::Success, 10 * MILLISECOND);
            }
        }
    }
    assert!(
        rig.sends.len() - before < 10,
        "{} in 5 s",
        rig.sends.len() - before
    );
}
