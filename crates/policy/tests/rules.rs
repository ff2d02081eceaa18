//! Checks with scripted events that attempts follow the rules for retries, deadlines, endpoints and deduplication
//! windows, and that hedged requests are sent on schedule.

#![expect(
    clippy::too_many_lines,
    reason = "each test spells out its whole scenario"
)]

mod common;
use common::*;
use milletturn_policy::*;

/// Endpoints 1 to `count` of destination 7.
fn pool(count: u32) -> Vec<EndpointEntry> {
    (1..=count).map(|endpoint| entry(endpoint, 7)).collect()
}

#[test]
fn hedged_requests_follow_at_1_2_and_4_delays_and_the_first_success_cancels_the_others() {
    let mut harness = Harness::new(settings(40), pool(5));
    harness.handle(vec![message(1, REPEATABLE, 7)]);
    harness.run_until(START + 4_500 * MILLISECOND);
    assert_eq!(harness.send_times(1), [0, SECOND, 2 * SECOND, 4 * SECOND]);
    let mut endpoints: Vec<u32> = harness.sends.iter().map(|send| send.2).collect();
    endpoints.sort_unstable();
    endpoints.dedup();
    assert_eq!(
        endpoints.len(),
        4,
        "each hedged request goes to an endpoint not tried before"
    );
    let before = harness.cancel_count(1);
    let (_, _, endpoint, attempt) = harness.sends[1];
    harness.handle(vec![ended(1, attempt, endpoint, Outcome::Success, SECOND)]);
    let cancelled_now = harness.cancel_count(1) - before;
    assert!(
        cancelled_now >= 3,
        "the three others are cancelled, not only {cancelled_now}"
    );
    harness.run_until(START + 40 * SECOND);
    assert_eq!(
        harness.send_times(1).len(),
        4,
        "nothing is sent after the message has ended"
    );
}

#[test]
fn the_hedging_delay_follows_the_measured_latency() {
    let mut harness = Harness::new(settings(40), pool(3));
    for id in 10..30 {
        harness.handle(vec![message(id, REPEATABLE, 7)]);
        harness.now += 200 * MILLISECOND;
        harness.end_attempt(id, Outcome::Success, 200 * MILLISECOND);
    }
    let start = harness.now - START;
    harness.handle(vec![message(1, REPEATABLE, 7)]);
    harness.run_until(harness.now + 500 * MILLISECOND);
    assert_eq!(
        harness.send_times(1),
        [start, start + 200 * MILLISECOND, start + 400 * MILLISECOND]
    );
}

#[test]
fn hedging_requires_an_untried_endpoint_a_remaining_attempt_the_setting_and_time() {
    let mut harness = Harness::new(settings(40), pool(1));
    harness.handle(vec![message(1, REPEATABLE, 7)]);
    harness.run_until(START + 3 * SECOND);
    assert_eq!(harness.send_times(1).len(), 1);

    let mut two_attempts = settings(40);
    two_attempts.max_attempts = 2;
    let mut harness = Harness::new(two_attempts, pool(4));
    harness.handle(vec![message(1, REPEATABLE, 7)]);
    harness.run_until(START + 3 * SECOND);
    assert_eq!(harness.send_times(1).len(), 2);

    let mut without_hedging = settings(40);
    without_hedging.hedging_enabled = false;
    let mut harness = Harness::new(without_hedging, pool(4));
    harness.handle(vec![message(1, REPEATABLE, 7)]);
    harness.run_until(START + 3 * SECOND);
    assert_eq!(harness.send_times(1).len(), 1);

    let mut harness = Harness::new(settings(40), pool(4));
    let mut resubmitted = NewMessage::new(MessageId(1), REPEATABLE, 7, SECOND);
    resubmitted.resubmitted = true;
    harness.handle(vec![Event::Accepted(resubmitted)]);
    harness.run_until(START + 3 * SECOND);
    assert_eq!(
        harness.send_times(1).len(),
        1,
        "no time is left for a hedged request"
    );
}

#[test]
fn a_hedged_request_skipped_for_lack_of_slots_is_sent_once_one_is_free() {
    // With 12 slots at most six are used for hedged requests. Four messages are hedged at 1 s and again at 2 s, so that
    // two of the later requests must wait. Guards against doubling their delay, which would send them at 4 s.
    let entries = (0..16).map(|n| entry(n, u64::from(n / 4))).collect();
    let mut harness = Harness::new(settings(12), entries);
    harness.handle((0..4).map(|id| message(id, REPEATABLE, id)).collect());
    harness.run_until(START + 2_500 * MILLISECOND);
    assert_eq!(
        harness.sends.len(),
        10,
        "4 first attempts and 6 hedged requests"
    );
    let waiting: Vec<u64> = (0..4)
        .filter(|&id| harness.send_times(id).len() == 2)
        .collect();
    assert_eq!(waiting.len(), 2);
    let done = (0..4)
        .find(|id| !waiting.contains(id))
        .expect("one has two hedged requests");
    let calls: Vec<_> = harness
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
    harness.handle(
        calls
            .iter()
            .map(|call| ended(done, call.3, call.2, outcome(call.3), SECOND))
            .collect(),
    );
    for &id in &waiting {
        assert_eq!(
            harness.send_times(id),
            [0, SECOND, 2_500 * MILLISECOND],
            "as soon as a slot is free"
        );
    }
}

#[test]
fn an_unsafe_message_that_may_have_been_executed_fails_without_a_retry() {
    for outcome in [
        Outcome::Error,
        Outcome::TimedOut,
        Outcome::Reset,
        Outcome::Cancelled,
    ] {
        let mut harness = Harness::new(settings(40), pool(3));
        harness.handle(vec![message(1, UNSAFE, 7)]);
        harness.run_until(START + 300 * MILLISECOND);
        harness.end_attempt(1, outcome, 300 * MILLISECOND);
        harness.run_until(START + 40 * SECOND);
        assert_eq!(harness.send_times(1).len(), 1, "{outcome:?}");
        assert!(
            harness.has_failed(1) && !harness.was_rejected(1),
            "{outcome:?}"
        );
    }
}

#[test]
fn an_unsafe_message_that_was_never_executed_is_retried() {
    for outcome in [
        Outcome::Rejected { retry_after: None },
        Outcome::NoConnection,
        Outcome::Unsent { no_slot: true },
    ] {
        let mut harness = Harness::new(settings(40), pool(3));
        harness.handle(vec![message(1, UNSAFE, 7)]);
        harness.end_attempt(1, outcome, MILLISECOND);
        harness.run_until(START + 3 * SECOND);
        assert_eq!(harness.send_times(1).len(), 2, "{outcome:?}");
    }
}

#[test]
fn an_ambiguous_rejection_counts_as_a_possible_execution() {
    let mut harness = Harness::new(settings(40), pool(3));
    harness.handle(vec![message(1, UNSAFE, 7), message(2, KEYED, 7)]);
    for id in [1, 2] {
        let (endpoint, attempt) = harness.last_send(id);
        let rejected = Outcome::Rejected { retry_after: None };
        harness.handle(vec![with_ambiguous_response(ended(
            id,
            attempt,
            endpoint,
            rejected,
            MILLISECOND,
        ))]);
    }
    harness.run_until(START + 40 * SECOND);
    assert_eq!(
        harness.send_times(1).len(),
        1,
        "it must not be executed twice"
    );
    assert!(harness.has_failed(1) && !harness.was_rejected(1));
    let sends = harness.send_times(2);
    assert!(sends.len() > 1, "it is retried while its key is remembered");
    let window = 12 * SECOND;
    assert!(
        sends.iter().all(|&at| at <= window),
        "and not after its deduplication window: {sends:?}"
    );
}

#[test]
fn a_keyed_message_is_retried_only_in_its_zone_and_window() {
    let mut far = entry(2, 7);
    far.zone = 1;
    let mut harness = Harness::new(settings(40), vec![entry(1, 7), far]);
    harness.handle(vec![message(1, KEYED, 7)]);
    harness.run_until(START + 3 * SECOND);
    assert_eq!(
        harness.send_times(1).len(),
        1,
        "the only untried endpoint is in another zone"
    );
    harness.end_attempt(1, Outcome::Error, SECOND);
    harness.run_until(START + 30 * SECOND);
    assert!(
        harness
            .sends
            .iter()
            .all(|send| send.2 == harness.sends[0].2 && send.0 < START + 6 * SECOND)
    );
    assert!(
        !harness.was_rejected(1),
        "it may have been executed, and keys are known within one zone only"
    );
}

#[test]
fn no_hedged_request_is_sent_after_the_deduplication_window_and_the_message_fails() {
    let mut short_window = settings(40);
    short_window.classes[KEYED].effect = Effect::Keyed {
        window: 1_500 * MILLISECOND,
        zone_only: true,
    };
    let mut harness = Harness::new(short_window, pool(4));
    harness.handle(vec![message(1, KEYED, 7)]);
    harness.run_until(START + 5 * SECOND);
    assert_eq!(
        harness.send_times(1),
        [0, SECOND],
        "the hedged request due at 2 s is outside of the window"
    );
    let calls: Vec<_> = harness.sends.clone();
    harness.handle(
        calls
            .iter()
            .map(|c| ended(1, c.3, c.2, Outcome::TimedOut, 5 * SECOND))
            .collect(),
    );
    assert!(harness.has_failed(1));
}

#[test]
fn nothing_is_sent_to_a_draining_or_removed_endpoint() {
    let mut harness = Harness::new(settings(40), pool(2));
    harness.handle(vec![message(1, REPEATABLE, 7)]);
    let (used, _) = harness.last_send(1);
    let other = 3 - used;
    let mut draining = entry(other, 7);
    draining.status = EndpointStatus::Draining;
    harness.handle(vec![Event::EndpointList {
        list_kind: EndpointListKind::Changes,
        entries: vec![draining],
    }]);
    harness.run_until(START + 3 * SECOND);
    assert_eq!(
        harness.send_times(1).len(),
        1,
        "no hedged request to the draining endpoint"
    );
    harness.handle(vec![Event::EndpointList {
        list_kind: EndpointListKind::Full,
        entries: Vec::new(),
    }]);
    harness.end_attempt(1, Outcome::Error, SECOND);
    harness.handle(vec![message(2, REPEATABLE, 7)]);
    harness.run_until(START + 60 * SECOND);
    assert_eq!(
        harness.sends.len(),
        1,
        "an empty list removes all endpoints"
    );
    assert!(harness.was_rejected(1) && harness.was_rejected(2));
    let sent_before = harness.sends.len();
    harness.handle(vec![
        Event::EndpointList {
            list_kind: EndpointListKind::Full,
            entries: pool(2),
        },
        message(3, REPEATABLE, 7),
    ]);
    assert_eq!(
        harness.sends.len(),
        sent_before + 1,
        "a list that names the endpoints again restores them"
    );
}

#[test]
fn a_retry_after_delay_applies_to_the_destination_or_to_a_separate_route() {
    let with_retry_after = Outcome::Rejected {
        retry_after: Some(2 * SECOND),
    };
    let mut harness = Harness::new(settings(40), pool(3));
    harness.handle(vec![message(1, REPEATABLE, 7), message(2, UNSAFE, 7)]);
    harness.now += 10 * MILLISECOND;
    let received_at = harness.now;
    harness.end_attempt(1, with_retry_after, 10 * MILLISECOND);
    harness.end_attempt(2, Outcome::Rejected { retry_after: None }, 10 * MILLISECOND);
    harness.handle(vec![message(3, REPEATABLE, 7)]);
    harness.run_until(received_at + 10 * SECOND);
    let early: Vec<_> = harness.sends[2..]
        .iter()
        .filter(|send| send.0 < received_at + 2 * SECOND)
        .collect();
    assert!(early.is_empty(), "{early:?}");
    assert!(
        harness.sends.len() > 2,
        "they are sent after the retry-after delay"
    );

    let routes = (1..=2)
        .map(|n| EndpointEntry {
            kind: 1,
            ..entry(n, 7)
        })
        .collect();
    let mut harness = Harness::new(settings(40), routes);
    harness.handle(vec![message(1, REPEATABLE, 7)]);
    let (used, _) = harness.last_send(1);
    harness.end_attempt(1, with_retry_after, 10 * MILLISECOND);
    harness.run_until(START + SECOND);
    assert_eq!(
        harness.last_send(1).0,
        3 - used,
        "the retry-after delay does not apply to the other route"
    );
}

/// The event that a message of the ordered class with this key has been accepted.
fn ordered_message(id: u64, key: u64) -> Event {
    let mut new = NewMessage::new(MessageId(id), ORDERED, 7, 30 * SECOND);
    new.key = Some(key);
    Event::Accepted(new)
}

#[test]
fn messages_of_a_key_are_sent_in_order_with_a_backoff_after_an_uncertain_end() {
    let mut harness = Harness::new(settings(40), pool(1));
    harness.handle(vec![
        ordered_message(1, 5),
        ordered_message(2, 5),
        ordered_message(3, 6),
    ]);
    assert_eq!(
        (
            harness.send_times(1).len(),
            harness.send_times(2).len(),
            harness.send_times(3).len()
        ),
        (1, 0, 1)
    );
    harness.now += 50 * MILLISECOND;
    harness.end_attempt(1, Outcome::Success, 50 * MILLISECOND);
    assert_eq!(
        harness.send_times(2).len(),
        1,
        "the next one is sent immediately after a certain end"
    );
    harness.handle(vec![ordered_message(4, 5)]);
    harness.now += 50 * MILLISECOND;
    harness.handle(vec![Event::MessageCancelled(MessageId(2))]);
    assert_eq!(
        harness.send_times(4).len(),
        0,
        "an attempt of the earlier message is still in flight"
    );
    let backoff_begins = harness.now;
    harness.end_attempt(2, Outcome::Cancelled, 50 * MILLISECOND);
    harness.run_until(backoff_begins + SECOND);
    let sent = harness.send_times(4)[0] + START;
    assert!(
        sent >= backoff_begins + 100 * MILLISECOND && sent < backoff_begins + 200 * MILLISECOND
    );
}

#[test]
fn every_message_ends_once_before_its_deadline() {
    let mut harness = Harness::new(settings(8), pool(2));
    let mut events: Vec<Event> = (0..30).map(|id| message(id, id as usize % 3, 7)).collect();
    events.push(message(100, REPEATABLE, 999));
    events.push(message(101, 57, 7));
    harness.handle(events);
    harness.run_until(START + 60 * SECOND);
    for id in (0..30).chain([100, 101]) {
        let ends: Vec<Micros> = harness
            .action_log
            .iter()
            .filter(|(_, action)| match action {
                Action::Fail(m) | Action::Reject { message: m, .. } => m.0 == id,
                _ => false,
            })
            .map(|(at, _)| *at)
            .collect();
        assert_eq!(ends.len(), 1, "message {id}");
        assert!(ends[0] <= START + 30 * SECOND, "message {id}");
        assert!(
            harness
                .send_times(id)
                .iter()
                .all(|&at| at + START <= ends[0]),
            "message {id} sent after its end"
        );
    }
}

#[test]
fn late_and_unknown_events_are_ignored() {
    let mut harness = Harness::new(settings(8), pool(2));
    harness.handle(vec![message(1, REPEATABLE, 7)]);
    harness.run_until(START + 1_200 * MILLISECOND);
    let (endpoint, attempt) = harness.last_send(1);
    assert_eq!(attempt, 1);
    harness.handle(vec![ended(1, 0, 3 - endpoint, Outcome::Success, SECOND)]);
    let sends = harness.sends.len();
    harness.handle(vec![
        ended(1, 1, endpoint, Outcome::Success, SECOND), // a cancelled attempt that succeeds after all
        ended(1, 1, endpoint, Outcome::TimedOut, SECOND),
        ended(77, 0, 99, Outcome::Success, SECOND),
        Event::MessageCancelled(MessageId(1)),
        Event::MessageCancelled(MessageId(78)),
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
            list_kind: EndpointListKind::Changes,
            entries: Vec::new(),
        },
        Event::Alarm,
    ]);
    harness.run_until(START + 40 * SECOND);
    assert_eq!(harness.sends.len(), sends);
    assert!(
        !harness.has_failed(1) && !harness.was_rejected(1),
        "a success is not reported by an action"
    );
}

#[test]
fn a_timeout_at_the_deadline_fails_the_message() {
    let mut harness = Harness::new(settings(8), pool(1));
    harness.handle(vec![message(1, UNSAFE, 7)]);
    harness.now = START + 30 * SECOND;
    let actions = harness.end_attempt(1, Outcome::TimedOut, 30 * SECOND);
    assert!(actions.contains(&Action::Fail(MessageId(1))));
}

#[test]
fn the_endpoint_list_is_requested_at_once_and_retried_with_growing_backoff() {
    let mut settings = settings(8);
    settings.list_requires_subscription = true;
    let mut harness = Harness::new(settings, pool(1));
    let subscribe_times = |harness: &Harness| -> Vec<Micros> {
        harness
            .action_log
            .iter()
            .filter(|(_, action)| *action == Action::Subscribe)
            .map(|(at, _)| at - START)
            .collect()
    };
    assert_eq!(subscribe_times(&harness), [0]);
    for _ in 0..4 {
        harness.handle(vec![Event::EndpointListFailed]);
        harness.run_until(harness.now + 8 * SECOND);
    }
    let times = subscribe_times(&harness);
    assert_eq!(times.len(), 5);
    let backoff = |n: usize| times[n] - (n as i64 - 1) * 8 * SECOND;
    assert!(
        backoff(1) > 100 * MILLISECOND && backoff(1) < SECOND,
        "{times:?}"
    );
    assert!(backoff(4) > SECOND && backoff(4) < 6 * SECOND, "{times:?}");
}

#[test]
fn no_hedged_request_is_sent_with_less_time_left_than_a_call_takes() {
    let mut harness = Harness::new(settings(40), pool(3));
    for id in 10..30 {
        harness.handle(vec![message(id, REPEATABLE, 7)]);
        harness.now += 400 * MILLISECOND;
        harness.end_attempt(id, Outcome::Success, 400 * MILLISECOND);
    }
    for (id, left_ms, sends) in [(1, 700, 1), (2, 900, 2)] {
        let new = NewMessage::new(MessageId(id), REPEATABLE, 7, left_ms * MILLISECOND);
        harness.handle(vec![Event::Accepted(new)]);
        harness.run_until(harness.now + 600 * MILLISECOND);
        assert_eq!(harness.send_times(id).len(), sends, "{left_ms} ms left");
        harness.end_attempt(id, Outcome::Success, 600 * MILLISECOND);
    }
}

#[test]
fn the_deduplication_window_starts_at_a_never_executed_first_attempt_if_a_hedge_overlaps() {
    // Guards against counting the deduplication window from the hedged request when the first attempt fails to connect
    // after the hedged request was sent.
    let mut harness = Harness::new(settings(40), pool(2));
    harness.handle(vec![message(1, KEYED, 7)]);
    harness.run_until(START + 1_100 * MILLISECOND);
    let calls = harness.sends.clone();
    assert_eq!(calls.len(), 2);
    harness.handle(vec![ended(
        1,
        0,
        calls[0].2,
        Outcome::NoConnection,
        1_100 * MILLISECOND,
    )]);
    harness.run_until(START + 5_980 * MILLISECOND);
    harness.handle(vec![ended(
        1,
        1,
        calls[1].2,
        Outcome::Cancelled,
        5 * SECOND,
    )]);
    harness.run_until(START + 20 * SECOND);
    assert_eq!(
        harness.send_times(1).len(),
        2,
        "nothing is sent after the window of the first attempt"
    );
}

#[test]
fn a_connecting_call_is_not_written_after_a_retry_after_a_drain_or_the_messages_end() {
    // Guards against a connection that takes a second to open and then carries a call that may no longer start, for
    // example because of a Retry-After received in that second.
    let write_deadline =
        |harness: &Harness, id| harness.sender.write_deadline(harness.now, MessageId(id), 0);
    let with_one_call = || {
        let mut harness = Harness::new(settings(40), pool(1));
        harness.handle(vec![message(1, REPEATABLE, 7)]);
        harness
    };
    let mut harness = with_one_call();
    let end = START + 30 * SECOND;
    assert!(
        write_deadline(&harness, 1).is_some_and(|by| by < end && by > end - SECOND),
        "until shortly before its deadline"
    );
    assert_eq!(
        harness.sender.write_deadline(harness.now, MessageId(1), 1),
        None,
        "there is no such attempt"
    );
    harness.handle(vec![Event::RetryAfter {
        endpoint: EndpointId(1),
        retry_after: SECOND,
    }]);
    assert_eq!(
        write_deadline(&harness, 1),
        None,
        "a Retry-After was received"
    );
    harness.now += 1_100 * MILLISECOND;
    assert!(
        write_deadline(&harness, 1).is_some(),
        "the retry-after delay is over"
    );

    let mut harness = with_one_call();
    let draining = EndpointEntry {
        status: EndpointStatus::Draining,
        ..entry(1, 7)
    };
    harness.handle(vec![Event::EndpointList {
        list_kind: EndpointListKind::Changes,
        entries: vec![draining],
    }]);
    assert_eq!(write_deadline(&harness, 1), None, "the endpoint drains");

    let mut harness = with_one_call();
    harness.handle(vec![Event::MessageCancelled(MessageId(1))]);
    assert_eq!(write_deadline(&harness, 1), None, "the message has ended");
}

#[test]
fn a_retry_must_begin_before_its_deduplication_window_ends() {
    // Guards against a retry that is sent within the deduplication window and executed after its end, since connecting
    // takes a second.
    let mut harness = Harness::new(settings(40), pool(1));
    harness.handle(vec![message(1, KEYED, 7)]);
    harness.now = START + 5_500 * MILLISECOND;
    harness.end_attempt(1, Outcome::Reset, SECOND);
    harness.run_until(START + 5_900 * MILLISECOND);
    assert_eq!(harness.send_times(1).len(), 2, "within the window of 6 s");
    let write_deadline = |now| harness.sender.write_deadline(now, MessageId(1), 1);
    let until = write_deadline(harness.now).expect("within the window");
    assert!(
        until <= START + 6 * SECOND && until > START + 5_900 * MILLISECOND,
        "{until}"
    );
    assert_eq!(write_deadline(until), None);
}
