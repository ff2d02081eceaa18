//! The six rules and the copy schedule, by scripted events.

#![expect(
    clippy::too_many_lines,
    reason = "scenarios of this file have not had their turn yet"
)]

mod common;
use common::*;
use milletturn_policy::*;

fn pool(count: u32) -> Vec<EndpointEntry> {
    (1..=count).map(|endpoint| entry(endpoint, 7)).collect()
}

#[test]
fn copies_go_at_0_d_2d_4d_and_the_first_success_cancels_the_rest() {
    let mut rig = Rig::new(settings(40), pool(5));
    rig.tell(vec![message(1, FREE, 7)]);
    rig.run(T0 + 4_500 * MILLISECOND);
    assert_eq!(rig.sends_of(1), [0, SECOND, 2 * SECOND, 4 * SECOND]);
    let mut endpoints: Vec<u32> = rig.sends.iter().map(|send| send.2).collect();
    endpoints.sort_unstable();
    endpoints.dedup();
    assert_eq!(endpoints.len(), 4, "each copy goes to an untried endpoint");
    let before = rig.cancels(1);
    let (_, _, endpoint, attempt) = rig.sends[1];
    rig.tell(vec![ended(1, attempt, endpoint, Outcome::Success, SECOND)]);
    let cancelled_now = rig.cancels(1) - before;
    assert!(
        cancelled_now >= 3,
        "the three others are called off, {cancelled_now} were"
    );
    rig.run(T0 + 40 * SECOND);
    assert_eq!(rig.sends_of(1).len(), 4, "nothing goes out after the end");
}

#[test]
fn copy_offset_follows_the_latency_seen() {
    let mut rig = Rig::new(settings(40), pool(3));
    for id in 10..30 {
        rig.tell(vec![message(id, FREE, 7)]);
        rig.now += 200 * MILLISECOND;
        rig.end(id, Outcome::Success, 200 * MILLISECOND);
    }
    let start = rig.now - T0;
    rig.tell(vec![message(1, FREE, 7)]);
    rig.run(rig.now + 500 * MILLISECOND);
    assert_eq!(
        rig.sends_of(1),
        [start, start + 200 * MILLISECOND, start + 400 * MILLISECOND]
    );
}

#[test]
fn no_copy_without_an_untried_endpoint_an_attempt_or_permission() {
    let mut rig = Rig::new(settings(40), pool(1));
    rig.tell(vec![message(1, FREE, 7)]);
    rig.run(T0 + 3 * SECOND);
    assert_eq!(rig.sends_of(1).len(), 1);

    let mut few = settings(40);
    few.max_attempts = 2;
    let mut rig = Rig::new(few, pool(4));
    rig.tell(vec![message(1, FREE, 7)]);
    rig.run(T0 + 3 * SECOND);
    assert_eq!(rig.sends_of(1).len(), 2);

    let mut none = settings(40);
    none.hedging_enabled = false;
    let mut rig = Rig::new(none, pool(4));
    rig.tell(vec![message(1, FREE, 7)]);
    rig.run(T0 + 3 * SECOND);
    assert_eq!(rig.sends_of(1).len(), 1);

    let mut rig = Rig::new(settings(40), pool(4));
    let mut late = NewMessage::new(MessageId(1), FREE, 7, SECOND);
    late.resubmitted = true;
    rig.tell(vec![Event::Accepted(late)]);
    rig.run(T0 + 3 * SECOND);
    assert_eq!(rig.sends_of(1).len(), 1, "no time was left for a copy");
}

#[test]
fn a_copy_skipped_at_the_ceiling_does_not_double_the_wait() {
    // 12 slots: six copies at most. Four messages make four copies at 1 s and want four more at 2 s.
    let entries = (0..16).map(|n| entry(n, u64::from(n / 4))).collect();
    let mut rig = Rig::new(settings(12), entries);
    rig.tell((0..4).map(|id| message(id, FREE, id)).collect());
    rig.run(T0 + 2_500 * MILLISECOND);
    assert_eq!(rig.sends.len(), 10, "4 first attempts and 6 copies");
    let waiting: Vec<u64> = (0..4).filter(|&id| rig.sends_of(id).len() == 2).collect();
    assert_eq!(waiting.len(), 2);
    let done = (0..4)
        .find(|id| !waiting.contains(id))
        .expect("one has two copies");
    let calls: Vec<_> = rig
        .sends
        .iter()
        .filter(|send| send.1 == done)
        .copied()
        .collect();
    let outcome = |n: usize| {
        if n == 0 {
            Outcome::Success
        } else {
            Outcome::Cancelled
        }
    };
    rig.tell(
        calls
            .iter()
            .map(|call| ended(done, call.3, call.2, outcome(call.3), SECOND))
            .collect(),
    );
    for &id in &waiting {
        assert_eq!(
            rig.sends_of(id),
            [0, SECOND, 2_500 * MILLISECOND],
            "at once when there is room"
        );
    }
}

#[test]
fn an_unsafe_message_that_may_have_run_only_fails() {
    for outcome in [
        Outcome::Error,
        Outcome::TimedOut,
        Outcome::Reset,
        Outcome::Cancelled,
    ] {
        let mut rig = Rig::new(settings(40), pool(3));
        rig.tell(vec![message(1, UNSAFE, 7)]);
        rig.run(T0 + 300 * MILLISECOND);
        rig.end(1, outcome, 300 * MILLISECOND);
        rig.run(T0 + 40 * SECOND);
        assert_eq!(rig.sends_of(1).len(), 1, "{outcome:?}");
        assert!(rig.failed(1) && !rig.refused(1), "{outcome:?}");
    }
}

#[test]
fn an_unsafe_message_goes_again_when_it_never_ran() {
    for outcome in [
        Outcome::Rejected { retry_after: None },
        Outcome::NoConnection,
        Outcome::Unsent { no_slot: true },
    ] {
        let mut rig = Rig::new(settings(40), pool(3));
        rig.tell(vec![message(1, UNSAFE, 7)]);
        rig.end(1, outcome, MILLISECOND);
        rig.run(T0 + 3 * SECOND);
        assert_eq!(rig.sends_of(1).len(), 2, "{outcome:?}");
    }
}

#[test]
fn a_rejection_that_may_be_a_copy_counts_as_a_run() {
    let mut rig = Rig::new(settings(40), pool(3));
    rig.tell(vec![message(1, UNSAFE, 7), message(2, KEYED, 7)]);
    for id in [1, 2] {
        let (endpoint, attempt) = rig.last_send(id);
        let refused = Outcome::Rejected { retry_after: None };
        rig.tell(vec![ambiguous(ended(
            id,
            attempt,
            endpoint,
            refused,
            MILLISECOND,
        ))]);
    }
    rig.run(T0 + 40 * SECOND);
    assert_eq!(rig.sends_of(1).len(), 1, "it must not run twice");
    assert!(rig.failed(1) && !rig.refused(1));
    let sends = rig.sends_of(2);
    assert!(sends.len() > 1, "its key is remembered for a while");
    let window = 12 * SECOND;
    assert!(
        sends.iter().all(|&at| at <= window),
        "and not beyond its window: {sends:?}"
    );
}

#[test]
fn a_keyed_message_stays_in_its_zone_and_window() {
    let mut far = entry(2, 7);
    far.zone = 1;
    let mut rig = Rig::new(settings(40), vec![entry(1, 7), far]);
    rig.tell(vec![message(1, KEYED, 7)]);
    rig.run(T0 + 3 * SECOND);
    assert_eq!(
        rig.sends_of(1).len(),
        1,
        "the only untried endpoint is in another zone"
    );
    rig.end(1, Outcome::Error, SECOND);
    rig.run(T0 + 30 * SECOND);
    assert!(
        rig.sends
            .iter()
            .all(|send| send.2 == rig.sends[0].2 && send.0 < T0 + 6 * SECOND)
    );
    assert!(!rig.refused(1), "it may have run and its group is one zone");
}

#[test]
fn a_keyed_window_that_closes_stops_the_copies_and_the_message_fails() {
    let mut short = settings(40);
    short.classes[KEYED].effect = Effect::Keyed {
        window: 1_500 * MILLISECOND,
        zone_only: true,
    };
    let mut rig = Rig::new(short, pool(4));
    rig.tell(vec![message(1, KEYED, 7)]);
    rig.run(T0 + 5 * SECOND);
    assert_eq!(
        rig.sends_of(1),
        [0, SECOND],
        "the copy due at 2 s falls out of the window"
    );
    let calls: Vec<_> = rig.sends.clone();
    rig.tell(
        calls
            .iter()
            .map(|c| ended(1, c.3, c.2, Outcome::TimedOut, 5 * SECOND))
            .collect(),
    );
    assert!(rig.failed(1));
}

#[test]
fn nothing_goes_to_a_draining_or_dropped_endpoint() {
    let mut rig = Rig::new(settings(40), pool(2));
    rig.tell(vec![message(1, FREE, 7)]);
    let (used, _) = rig.last_send(1);
    let other = 3 - used;
    let mut drains = entry(other, 7);
    drains.status = EndpointStatus::Draining;
    rig.tell(vec![Event::EndpointList {
        kind: EndpointListKind::Changes,
        entries: vec![drains],
    }]);
    rig.run(T0 + 3 * SECOND);
    assert_eq!(rig.sends_of(1).len(), 1, "no copy to the draining endpoint");
    rig.tell(vec![Event::EndpointList {
        kind: EndpointListKind::Full,
        entries: Vec::new(),
    }]);
    rig.end(1, Outcome::Error, SECOND);
    rig.tell(vec![message(2, FREE, 7)]);
    rig.run(T0 + 60 * SECOND);
    assert_eq!(rig.sends.len(), 1, "an empty list leaves no endpoint");
    assert!(rig.refused(1) && rig.refused(2));
    let known = rig.sends.len();
    rig.tell(vec![
        Event::EndpointList {
            kind: EndpointListKind::Full,
            entries: pool(2),
        },
        message(3, FREE, 7),
    ]);
    assert_eq!(
        rig.sends.len(),
        known + 1,
        "a list that names it again counts"
    );
}

#[test]
fn a_told_wait_binds_the_destination_or_the_one_route() {
    let wait = Outcome::Rejected {
        retry_after: Some(2 * SECOND),
    };
    let mut rig = Rig::new(settings(40), pool(3));
    rig.tell(vec![message(1, FREE, 7), message(2, UNSAFE, 7)]);
    rig.now += 10 * MILLISECOND;
    let told = rig.now;
    rig.end(1, wait, 10 * MILLISECOND);
    rig.end(2, Outcome::Rejected { retry_after: None }, 10 * MILLISECOND);
    rig.tell(vec![message(3, FREE, 7)]);
    rig.run(told + 10 * SECOND);
    let early: Vec<_> = rig.sends[2..]
        .iter()
        .filter(|send| send.0 < told + 2 * SECOND)
        .collect();
    assert!(early.is_empty(), "{early:?}");
    assert!(rig.sends.len() > 2, "they go when the wait is over");

    let routes = (1..=2)
        .map(|n| EndpointEntry {
            kind: 1,
            ..entry(n, 7)
        })
        .collect();
    let mut rig = Rig::new(settings(40), routes);
    rig.tell(vec![message(1, FREE, 7)]);
    let (used, _) = rig.last_send(1);
    rig.end(1, wait, 10 * MILLISECOND);
    rig.run(T0 + SECOND);
    assert_eq!(rig.last_send(1).0, 3 - used, "the other route is free");
}

fn with_key(id: u64, key: u64) -> Event {
    let mut new = NewMessage::new(MessageId(id), ORDERED, 7, 30 * SECOND);
    new.key = Some(key);
    Event::Accepted(new)
}

#[test]
fn messages_of_a_key_go_in_turn_and_the_key_rests_after_an_unsure_end() {
    let mut rig = Rig::new(settings(40), pool(1));
    rig.tell(vec![with_key(1, 5), with_key(2, 5), with_key(3, 6)]);
    assert_eq!(
        (
            rig.sends_of(1).len(),
            rig.sends_of(2).len(),
            rig.sends_of(3).len()
        ),
        (1, 0, 1)
    );
    rig.now += 50 * MILLISECOND;
    rig.end(1, Outcome::Success, 50 * MILLISECOND);
    assert_eq!(
        rig.sends_of(2).len(),
        1,
        "its turn comes at once after a sure end"
    );
    rig.tell(vec![with_key(4, 5)]);
    rig.now += 50 * MILLISECOND;
    rig.tell(vec![Event::Cancelled(MessageId(2))]);
    assert_eq!(
        rig.sends_of(4).len(),
        0,
        "an attempt of the earlier one is still out"
    );
    let rests = rig.now;
    rig.end(2, Outcome::Cancelled, 50 * MILLISECOND);
    rig.run(rests + SECOND);
    let sent = rig.sends_of(4)[0] + T0;
    assert!(sent >= rests + 100 * MILLISECOND && sent < rests + 200 * MILLISECOND);
}

#[test]
fn every_message_ends_once_before_its_deadline() {
    let mut rig = Rig::new(settings(8), pool(2));
    let mut events: Vec<Event> = (0..30).map(|id| message(id, id as usize % 3, 7)).collect();
    events.push(message(100, FREE, 999));
    events.push(message(101, 57, 7));
    rig.tell(events);
    rig.run(T0 + 60 * SECOND);
    for id in (0..30).chain([100, 101]) {
        let ends: Vec<Micros> = rig
            .log
            .iter()
            .filter(|(_, action)| match action {
                Action::Fail(m) | Action::Reject { message: m, .. } => m.0 == id,
                _ => false,
            })
            .map(|(at, _)| *at)
            .collect();
        assert_eq!(ends.len(), 1, "message {id}");
        assert!(ends[0] <= T0 + 30 * SECOND, "message {id}");
        assert!(
            rig.sends_of(id).iter().all(|&at| at + T0 <= ends[0]),
            "message {id} sent after its end"
        );
    }
}

#[test]
fn late_and_unknown_news_is_ignored() {
    let mut rig = Rig::new(settings(8), pool(2));
    rig.tell(vec![message(1, FREE, 7)]);
    rig.run(T0 + 1_200 * MILLISECOND);
    let (endpoint, attempt) = rig.last_send(1);
    assert_eq!(attempt, 1);
    rig.tell(vec![ended(1, 0, 3 - endpoint, Outcome::Success, SECOND)]);
    let sends = rig.sends.len();
    rig.tell(vec![
        ended(1, 1, endpoint, Outcome::Success, SECOND), // a called-off copy that succeeds all the same
        ended(1, 1, endpoint, Outcome::TimedOut, SECOND),
        ended(77, 0, 99, Outcome::Success, SECOND),
        Event::Cancelled(MessageId(1)),
        Event::Cancelled(MessageId(78)),
        Event::ResponseStarted {
            message: MessageId(79),
            attempt: 4,
        },
        Event::Probed {
            endpoint: EndpointId(99),
            outcome: Outcome::TimedOut,
            report: vec![],
        },
        Event::GossipReceived {
            from: 3,
            bytes: vec![1, 2, 3],
        },
        Event::EndpointListFailed,
        Event::EndpointList {
            kind: EndpointListKind::Changes,
            entries: Vec::new(),
        },
        Event::Alarm,
    ]);
    rig.run(T0 + 40 * SECOND);
    assert_eq!(rig.sends.len(), sends);
    assert!(
        !rig.failed(1) && !rig.refused(1),
        "a success needs no answer"
    );
}

#[test]
fn the_last_time_out_at_the_deadline_is_answered() {
    let mut rig = Rig::new(settings(8), pool(1));
    rig.tell(vec![message(1, UNSAFE, 7)]);
    rig.now = T0 + 30 * SECOND;
    let actions = rig.end(1, Outcome::TimedOut, 30 * SECOND);
    assert!(actions.contains(&Action::Fail(MessageId(1))));
}

#[test]
fn discovery_is_asked_for_at_once_and_again_with_growing_rests() {
    let mut asks = settings(8);
    asks.list_requires_subscription = true;
    let mut rig = Rig::new(asks, pool(1));
    let subscribed = |rig: &Rig| -> Vec<Micros> {
        rig.log
            .iter()
            .filter(|(_, action)| *action == Action::Subscribe)
            .map(|(at, _)| at - T0)
            .collect()
    };
    assert_eq!(subscribed(&rig), [0]);
    for _ in 0..4 {
        rig.tell(vec![Event::EndpointListFailed]);
        rig.run(rig.now + 8 * SECOND);
    }
    let times = subscribed(&rig);
    assert_eq!(times.len(), 5);
    let rest = |n: usize| times[n] - (n as i64 - 1) * 8 * SECOND;
    assert!(rest(1) > 100 * MILLISECOND && rest(1) < SECOND, "{times:?}");
    assert!(rest(4) > SECOND && rest(4) < 6 * SECOND, "{times:?}");
}

#[test]
fn no_copy_starts_with_less_time_left_than_a_call_takes() {
    let mut rig = Rig::new(settings(40), pool(3));
    for id in 10..30 {
        rig.tell(vec![message(id, FREE, 7)]);
        rig.now += 400 * MILLISECOND;
        rig.end(id, Outcome::Success, 400 * MILLISECOND);
    }
    for (id, left, copies) in [(1, 700, 1), (2, 900, 2)] {
        let new = NewMessage::new(MessageId(id), FREE, 7, left * MILLISECOND);
        rig.tell(vec![Event::Accepted(new)]);
        rig.run(rig.now + 600 * MILLISECOND);
        assert_eq!(rig.sends_of(id).len(), copies, "{left} ms left");
        rig.end(id, Outcome::Success, 600 * MILLISECOND);
    }
}

#[test]
fn a_key_window_counts_from_an_overlapped_first_attempt_that_never_ran() {
    // Found on a freshly drawn day: the first attempt found no connection after its copy had started.
    let mut rig = Rig::new(settings(40), pool(2));
    rig.tell(vec![message(1, KEYED, 7)]);
    rig.run(T0 + 1_100 * MILLISECOND);
    let calls = rig.sends.clone();
    assert_eq!(calls.len(), 2);
    rig.tell(vec![ended(
        1,
        0,
        calls[0].2,
        Outcome::NoConnection,
        1_100 * MILLISECOND,
    )]);
    rig.run(T0 + 5_980 * MILLISECOND);
    rig.tell(vec![ended(
        1,
        1,
        calls[1].2,
        Outcome::Cancelled,
        5 * SECOND,
    )]);
    rig.run(T0 + 20 * SECOND);
    assert_eq!(
        rig.sends_of(1).len(),
        2,
        "nothing goes after the first window"
    );
}

#[test]
fn a_call_that_has_not_begun_is_kept_back_by_what_came_meanwhile() {
    // seen on the split day: connections that came up after a second carried calls into waits told in between
    let begun = |rig: &Rig, id| rig.sender.write_deadline(rig.now, MessageId(id), 0);
    let fresh = || {
        let mut rig = Rig::new(settings(40), pool(1));
        rig.tell(vec![message(1, FREE, 7)]);
        rig
    };
    let mut rig = fresh();
    let end = T0 + 30 * SECOND;
    assert!(
        begun(&rig, 1).is_some_and(|by| by < end && by > end - SECOND),
        "up to its time"
    );
    assert_eq!(
        rig.sender.write_deadline(rig.now, MessageId(1), 1),
        None,
        "there is no such attempt"
    );
    rig.tell(vec![Event::RetryAfter {
        endpoint: EndpointId(1),
        retry_after: SECOND,
    }]);
    assert_eq!(begun(&rig, 1), None, "a wait was told");
    rig.now += 1_100 * MILLISECOND;
    assert!(begun(&rig, 1).is_some(), "the wait is over");

    let mut rig = fresh();
    let draining = EndpointEntry {
        status: EndpointStatus::Draining,
        ..entry(1, 7)
    };
    rig.tell(vec![Event::EndpointList {
        kind: EndpointListKind::Changes,
        entries: vec![draining],
    }]);
    assert_eq!(begun(&rig, 1), None, "the endpoint drains");

    let mut rig = fresh();
    rig.tell(vec![Event::Cancelled(MessageId(1))]);
    assert_eq!(begun(&rig, 1), None, "the message is over");
}

#[test]
fn a_repeat_begins_before_its_key_is_forgotten() {
    // a repeat sent inside the window whose connection takes a second would run outside it
    let mut rig = Rig::new(settings(40), pool(1));
    rig.tell(vec![message(1, KEYED, 7)]);
    rig.now = T0 + 5_500 * MILLISECOND;
    rig.end(1, Outcome::Reset, SECOND);
    rig.run(T0 + 5_900 * MILLISECOND);
    assert_eq!(rig.sends_of(1).len(), 2, "inside the window of 6 s");
    let begun = |now| rig.sender.write_deadline(now, MessageId(1), 1);
    let by = begun(rig.now).expect("still inside");
    assert!(
        by <= T0 + 6 * SECOND && by > T0 + 5_900 * MILLISECOND,
        "{by}"
    );
    assert_eq!(begun(by), None);
}
