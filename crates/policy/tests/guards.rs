//! Regression tests for failures that were found in simulated runs. None of them needs the simulator.

#![expect(
    clippy::too_many_lines,
    reason = "each test spells out its whole scenario"
)]

mod common;
use common::*;
use milletturn_policy::*;

fn two_destinations() -> Vec<EndpointEntry> {
    vec![entry(1, 7), entry(2, 8)]
}

/// Completes 20 calls of 100 ms each, so that the sender knows the latency of both destinations.
fn warm_up(harness: &mut Harness) {
    for id in 1000..1020 {
        harness.handle(vec![message(id, REPEATABLE, 7 + id % 2)]);
        harness.now += 100 * MILLISECOND;
        harness.end_attempt(id, Outcome::Success, 100 * MILLISECOND);
    }
}

#[test]
fn calls_to_an_unresponsive_destination_are_cancelled() {
    // Guards against calls without a response that each occupy a call slot until they expire and so fill all slots.
    let mut harness = Harness::new(settings(8), two_destinations());
    warm_up(&mut harness);
    harness.handle((0..8).map(|id| message(id, REPEATABLE, 7)).collect());
    let sent_messages: Vec<u64> = harness
        .sends
        .iter()
        .filter(|send| send.1 < 8)
        .map(|send| send.1)
        .collect();
    assert!(sent_messages.len() >= 2);
    harness.run_until(harness.now + 4 * SECOND);
    assert!(
        sent_messages
            .iter()
            .all(|&id| harness.cancel_count(id) == 1),
        "all calls without a response are cancelled"
    );
}

#[test]
fn unsafe_calls_are_cancelled_only_when_call_slots_are_scarce() {
    // Guards against unsafe calls to an unresponsive destination that occupy call slots until their distant deadlines.
    for (slots, scarce) in [(4, true), (40, false)] {
        let mut harness = Harness::new(
            settings(slots),
            (1..=3).map(|n| entry(n, u64::from(n))).collect(),
        );
        harness.handle((1..=3).map(|n| message(n, UNSAFE, n)).collect());
        assert_eq!(harness.sends.len(), 3);
        harness.run_until(START + 10 * SECOND);
        let cancelled: usize = (1..=3).map(|id| harness.cancel_count(id)).sum();
        assert_eq!(cancelled > 0, scarce, "{slots} slots");
    }
}

#[test]
fn unsafe_messages_wait_while_a_destination_is_unresponsive() {
    // Guards against losing unsafe messages that are sent in the first second in which a destination is unresponsive.
    let mut harness = Harness::new(settings(40), two_destinations());
    warm_up(&mut harness);
    harness.handle(vec![message(1, REPEATABLE, 7)]);
    harness.run_until(harness.now + 500 * MILLISECOND);
    harness.handle(vec![message(2, UNSAFE, 7), message(3, UNSAFE, 8)]);
    assert_eq!(
        harness.send_times(2).len(),
        0,
        "destination 7 has not responded for 500 ms"
    );
    assert_eq!(harness.send_times(3).len(), 1);
    harness.end_attempt(1, Outcome::Success, 500 * MILLISECOND);
    assert_eq!(harness.send_times(2).len(), 1);
}

#[test]
fn slow_destinations_together_use_at_most_half_of_the_call_slots() {
    // Guards against slow destinations that still respond occasionally and gradually occupy every call slot.
    let mut harness = Harness::new(settings(8), vec![entry(1, 7), entry(2, 8), entry(3, 9)]);
    warm_up(&mut harness);
    harness.handle((0..30).map(|id| message(id, UNSAFE, 7 + id % 2)).collect());
    for step in 0..40 {
        harness.run_until(harness.now + 300 * MILLISECOND);
        // each destination completes one call every 1.5 s: slow, yet never unresponsive
        if step % 5 == 4 {
            for endpoint in [1, 2] {
                let last_call = harness
                    .sends
                    .iter()
                    .filter(|s| s.1 < 30 && s.2 == endpoint)
                    .map(|s| s.1)
                    .next_back();
                if let Some(id) = last_call {
                    harness.end_attempt(id, Outcome::Success, 1_500 * MILLISECOND);
                }
            }
        }
    }
    harness.handle(vec![message(90, REPEATABLE, 9)]);
    assert_eq!(
        harness.send_times(90).len(),
        1,
        "a healthy destination gets a call slot"
    );
}

#[test]
fn hedged_requests_of_one_message_do_not_make_its_destination_unresponsive() {
    let mut harness = Harness::new(settings(40), (1..=5).map(|n| entry(n, 7)).collect());
    harness.handle(vec![message(1, REPEATABLE, 7)]);
    harness.run_until(START + 3_900 * MILLISECOND);
    assert!(
        harness
            .count_actions(|action| matches!(action, Action::Log(text) if text.contains("silent")))
            == 0
    );
}

#[test]
fn one_rejected_call_after_a_pause_does_not_keep_the_rate_low() {
    // Guards against a rate that falls to the demand at the time of the rejection and does not recover.
    let mut harness = Harness::new(settings(40), two_destinations());
    for id in 1000..1040 {
        harness.handle(vec![message(id, REPEATABLE, 7)]);
        harness.now += 100 * MILLISECOND;
        harness.end_attempt(id, Outcome::Success, 100 * MILLISECOND);
    }
    harness.run_until(harness.now + 5 * SECOND); // a pause, so that no call was served recently
    harness.handle(vec![message(1, REPEATABLE, 7)]);
    harness.end_attempt(1, Outcome::Rejected { retry_after: None }, MILLISECOND);
    let start = harness.now;
    harness.handle((100..140).map(|id| message(id, REPEATABLE, 7)).collect());
    while harness.now < start + 3 * SECOND {
        let calls: Vec<_> = harness
            .sends
            .iter()
            .filter(|s| s.0 == harness.now && s.1 < 1000)
            .copied()
            .collect();
        harness.now += 20 * MILLISECOND;
        let ends = calls
            .iter()
            .map(|s| ended(s.1, s.3, s.2, Outcome::Success, 20 * MILLISECOND))
            .collect();
        harness.handle(ends);
    }
    let sent = harness
        .sends
        .iter()
        .filter(|s| s.1 >= 100 && s.1 < 200)
        .count();
    assert!(
        sent >= 12,
        "{sent} in 3 s at a destination that served 10 per second"
    );
}

#[test]
fn a_sender_with_most_of_the_traffic_exceeds_its_even_share_of_a_reported_limit() {
    // Guards against a sender that has most of the traffic and keeps to its even share while other senders use little.
    let mut settings = settings(40);
    settings.senders = 8;
    settings.report_limit_index = Some(0);
    let mut harness = Harness::new(settings, two_destinations());
    harness.handle((0..400).map(|id| message(id, REPEATABLE, 7)).collect());
    let mut counts = [0usize; 2];
    for step in 0..500 {
        let calls: Vec<_> = harness
            .sends
            .iter()
            .filter(|s| s.0 == harness.now)
            .copied()
            .collect();
        counts[usize::from(step >= 50)] +=
            usize::from((25..50).contains(&step) || step >= 475) * calls.len();
        harness.now += 40 * MILLISECOND;
        let ends = calls.iter().map(|s| {
            with_report(
                ended(s.1, s.3, s.2, Outcome::Success, 40 * MILLISECOND),
                &[16.0],
            )
        });
        let ends = ends.collect();
        harness.handle(ends);
    }
    // between 1 s and 2 s the sender is still near its share of 2 calls per second, in the last second near the whole
    // limit of 16
    assert!(counts[0] <= 8, "starts from the even share: {counts:?}");
    assert!(
        counts[1] >= 10 && counts[1] <= 17,
        "grows, but not past the limit: {counts:?}"
    );
}

#[test]
fn a_failing_destination_gets_probes_only_and_recovers_by_slow_start() {
    let mut harness = Harness::new(settings(40), two_destinations());
    warm_up(&mut harness);
    harness.handle((0..200).map(|id| message(id, REPEATABLE, 7)).collect());
    let fail_until = harness.now + 10 * SECOND;
    let test_end = fail_until + 20 * SECOND;
    while harness.now < test_end {
        let calls: Vec<_> = harness
            .sends
            .iter()
            .filter(|s| s.0 == harness.now && s.1 < 200)
            .copied()
            .collect();
        harness.now += 20 * MILLISECOND;
        let result = if harness.now < fail_until {
            Outcome::Error
        } else {
            Outcome::Success
        };
        let ends = calls
            .iter()
            .map(|s| ended(s.1, s.3, s.2, result, 20 * MILLISECOND))
            .collect();
        harness.handle(ends);
    }
    let within = |from: Micros, to: Micros| {
        harness
            .sends
            .iter()
            .filter(|s| s.1 < 200 && s.0 >= from && s.0 < to)
            .count()
    };
    let probes = within(fail_until - 6 * SECOND, fail_until);
    assert!(
        (2..=4).contains(&probes),
        "one call per overload window: {probes}"
    );
    let at_slow_start = within(fail_until, fail_until + 4 * SECOND);
    let at_full_rate = within(fail_until + 10 * SECOND, fail_until + 14 * SECOND);
    assert!(
        at_slow_start <= 16 && at_full_rate > 2 * at_slow_start,
        "{at_slow_start} in slow start, {at_full_rate} after it"
    );
}

#[test]
fn messages_for_an_unresponsive_destination_are_rejected_when_too_many_are_pending() {
    let mut small = settings(8);
    small.max_pending = 20;
    let mut harness = Harness::new(small, two_destinations());
    harness.handle((0..8).map(|id| message(id, REPEATABLE, 7)).collect());
    harness.run_until(START + 6 * SECOND);
    harness.handle((20..34).map(|id| message(id, REPEATABLE, 7)).collect());
    harness.run_until(harness.now + SECOND);
    let rejected = (0..40).filter(|&id| harness.was_rejected(id)).count();
    assert!(rejected >= 4, "{rejected} rejected");
}

#[test]
fn a_batch_of_messages_fills_one_call() {
    let mut harness = Harness::new(
        settings(4),
        vec![EndpointEntry {
            kind: 2,
            ..entry(1, 7)
        }],
    );
    harness.handle((0..5).map(|id| message(id, REPEATABLE, 7)).collect());
    assert_eq!(
        harness.sends.len(),
        5,
        "one call at a time at first, with a batch of five"
    );
    harness.handle((5..8).map(|id| message(id, REPEATABLE, 7)).collect());
    assert_eq!(harness.sends.len(), 5);
}

#[test]
fn a_run_of_rejections_opens_the_circuit_once_and_the_rate_recovers_within_seconds() {
    // Guards against a slow start for a throttled destination that has rejected all calls for 2 s.
    let mut harness = Harness::new(settings(40), two_destinations());
    for id in 1000..1080 {
        harness.handle(vec![message(id, REPEATABLE, 7)]);
        harness.now += 50 * MILLISECOND;
        harness.end_attempt(id, Outcome::Success, 50 * MILLISECOND);
    }
    harness.handle((0..300).map(|id| message(id, REPEATABLE, 7)).collect());
    let accepts_from = harness.now + 2 * SECOND;
    let mut sent = 0;
    while harness.now < accepts_from + 6 * SECOND {
        let calls: Vec<_> = harness
            .sends
            .iter()
            .filter(|s| s.0 == harness.now && s.1 < 300)
            .copied()
            .collect();
        harness.now += 20 * MILLISECOND;
        let result = if harness.now < accepts_from {
            Outcome::Rejected { retry_after: None }
        } else {
            Outcome::Success
        };
        sent += if harness.now > accepts_from + 2 * SECOND {
            calls.len()
        } else {
            0
        };
        let ends = calls
            .iter()
            .map(|s| ended(s.1, s.3, s.2, result, 20 * MILLISECOND))
            .collect();
        harness.handle(ends);
    }
    assert_eq!(
        harness.count_actions(|a| matches!(a, Action::Log(text) if text.contains("shut"))),
        1
    );
    assert!(
        sent >= 30,
        "{sent} in 4 s at a destination that served up to 20 per second"
    );
}

#[test]
fn a_batch_is_filled_before_another_endpoint_gets_a_call() {
    // Guards against opening a second call, at another endpoint, for a message that fits into the first call's batch.
    let entries = (1..=3)
        .map(|n| EndpointEntry {
            kind: 2,
            ..entry(n, 7)
        })
        .collect();
    let mut harness = Harness::new(settings(40), entries);
    harness.handle((0..5).map(|id| message(id, REPEATABLE, 7)).collect());
    assert!(
        harness.sends.len() == 5
            && harness
                .sends
                .iter()
                .all(|send| send.2 == harness.sends[0].2)
    );
}

#[test]
fn a_class_that_fails_at_one_endpoint_is_sent_to_the_other() {
    // Guards against continuing to send a class to an endpoint that fails only that class: since calls of the other
    // class succeed there, neither the endpoint nor the destination counts as unhealthy.
    let mut harness = Harness::new(settings(8), vec![entry(1, 7), entry(2, 7)]);
    for id in 1000..1012 {
        harness.handle(vec![message(id, REPEATABLE, 7)]);
        harness.now += 100 * MILLISECOND;
        harness.end_attempt(id, Outcome::Success, 100 * MILLISECOND);
    }
    let (failing_endpoint, mut ended_calls) = (harness.sends[0].2, harness.sends.len());
    let mut lost = [0, 0];
    for step in 0..80u64 {
        // the failing endpoint fails each unsafe message and delivers the others
        harness.handle(vec![
            message(step, UNSAFE, 7),
            message(500 + step, REPEATABLE, 7),
        ]);
        let calls = harness.sends[ended_calls..].to_vec();
        ended_calls = harness.sends.len();
        harness.run_until(harness.now + 100 * MILLISECOND);
        let fails = |call: &(Micros, u64, u32, usize)| call.1 < 500 && call.2 == failing_endpoint;
        lost[usize::from(step >= 40)] += calls.iter().filter(|call| fails(call)).count();
        let outcome = |call| {
            if fails(call) {
                Outcome::Error
            } else {
                Outcome::Success
            }
        };
        harness.handle(
            calls
                .iter()
                .map(|c| ended(c.1, c.3, c.2, outcome(c), 100 * MILLISECOND))
                .collect(),
        );
    }
    let unsafe_sends = harness.sends.iter().filter(|send| send.1 < 500).count();
    assert!(unsafe_sends >= 60, "{unsafe_sends} unsafe messages sent");
    assert!(
        lost[0] >= 1 && lost[1] <= 8,
        "lost to the failing endpoint: {lost:?}"
    );
}

#[test]
fn connection_resets_alone_do_not_eject_a_destination() {
    // Guards against ejecting healthy destinations because of connection resets. In one run a third of the calls was
    // reset, and 15 healthy destinations received only probes.
    let mut harness = Harness::new(settings(8), two_destinations());
    warm_up(&mut harness);
    for id in 0..60 {
        harness.handle(vec![message(id, REPEATABLE, 7)]);
        harness.now += 100 * MILLISECOND;
        // five resets in a row, then five successes
        let outcome = if id % 10 < 5 {
            Outcome::Reset
        } else {
            Outcome::Success
        };
        harness.end_attempt(id, outcome, 100 * MILLISECOND);
        harness.handle(vec![Event::MessageCancelled(MessageId(id))]); // no retry
    }
    assert_eq!(
        harness
            .count_actions(|action| matches!(action, Action::Log(text) if text.contains("sick"))),
        0
    );
    // without any success the destination counts as down
    for id in 100..130 {
        harness.handle(vec![message(id, REPEATABLE, 7)]);
        harness.now += 100 * MILLISECOND;
        if !harness.send_times(id).is_empty() {
            harness.end_attempt(id, Outcome::Reset, 100 * MILLISECOND);
        }
        harness.handle(vec![Event::MessageCancelled(MessageId(id))]);
    }
    assert_eq!(
        harness
            .count_actions(|action| matches!(action, Action::Log(text) if text.contains("sick"))),
        1
    );
}

#[test]
fn an_unsafe_message_without_other_traffic_is_sent_after_a_long_delay() {
    // Guards against holding back unsafe messages forever: a destination that had failed and recovered with a poor
    // success rate no longer received unsafe messages unless it had other traffic. Found by the tests that kill
    // processes.
    let mut harness = Harness::new(settings(8), two_destinations());
    warm_up(&mut harness);
    let mut open = Vec::new();
    for id in 0..6 {
        harness.handle(vec![message(id, REPEATABLE, 7)]);
        open.push(id);
        harness.now += 10 * SECOND;
        // a message that is pending because its destination has just been ejected is sent with the next one
        let (sent, waiting) = open
            .into_iter()
            .partition(|id| harness.sends.iter().any(|send| send.1 == *id));
        open = waiting;
        for id in sent {
            harness.end_attempt(id, Outcome::Error, 100 * MILLISECOND);
            harness.handle(vec![Event::MessageCancelled(MessageId(id))]);
        }
    }
    open.into_iter()
        .for_each(|id| _ = harness.handle(vec![Event::MessageCancelled(MessageId(id))]));
    assert!(
        harness
            .count_actions(|action| matches!(action, Action::Log(text) if text.contains("sick")))
            > 0
    );
    harness.handle(vec![message(10, REPEATABLE, 7)]);
    harness.run_until(harness.now + 5 * SECOND);
    harness.end_attempt(10, Outcome::Success, 100 * MILLISECOND);
    let from = harness.now;
    harness.handle(vec![message(20, UNSAFE, 7)]);
    harness.run_until(from + 4 * SECOND);
    assert_eq!(harness.send_times(20).len(), 0, "not immediately");
    harness.run_until(from + 25 * SECOND);
    assert_eq!(harness.send_times(20).len(), 1, "after the delay");
}

#[test]
fn a_call_overtaken_by_later_ones_is_cancelled_and_a_slow_one_is_not() {
    // Guards against calls on dead connections that occupy call slots until they expire: since other calls to the same
    // endpoint succeeded, they were not cancelled. In one run they occupied a sixth of all slots.
    for overtaken in [true, false] {
        let mut harness = Harness::new(settings(8), two_destinations());
        warm_up(&mut harness);
        // In the first case, calls that are sent after message 1 succeed while it has no response. In the second case,
        // only the two calls that were sent before it succeed. They take long, but no call overtakes another one, so the
        // endpoint is only slow.
        harness.handle(vec![message(50, KEYED, 7), message(51, KEYED, 7)]);
        harness.run_until(harness.now + 10 * MILLISECOND);
        harness.handle(vec![message(1, KEYED, 7)]);
        let started = harness.now;
        for id in 2..20 {
            harness.run_until(harness.now + 100 * MILLISECOND);
            match (overtaken, id) {
                (true, _) => {
                    harness.handle(vec![message(id, KEYED, 7)]);
                    harness.end_attempt(id, Outcome::Success, 0);
                }
                (false, 8 | 16) => {
                    harness.end_attempt(49 + id / 8, Outcome::Success, SECOND);
                }
                _ => {}
            }
            if harness.cancel_count(1) > 0 {
                break;
            }
        }
        let after = harness.now - started;
        assert_eq!(harness.cancel_count(1) > 0, overtaken, "after {after}");
        if overtaken {
            assert!(
                (1_500 * MILLISECOND..1_800 * MILLISECOND).contains(&after),
                "after {after}"
            );
            harness.end_attempt(1, Outcome::Cancelled, after);
            harness.run_until(harness.now + SECOND);
            assert_eq!(
                harness.send_times(1).len(),
                2,
                "it is retried within its deduplication window"
            );
        }
    }
}
