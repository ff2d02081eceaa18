//! Messages that a sender resumes after a restart are still attempted.

#![expect(
    clippy::too_many_lines,
    reason = "each test spells out its whole scenario"
)]

mod common;
use common::*;
use milletturn_policy::*;

/// The decision module of a new process that has just received this endpoint list.
fn restarted(settings: &Settings, seed: u64, entries: Vec<EndpointEntry>) -> Harness {
    let mut harness = Harness::new(settings.clone(), vec![]);
    harness.sender = Sender::new(settings.clone(), seed).expect("valid settings");
    harness.handle(vec![Event::EndpointList {
        list_kind: EndpointListKind::Full,
        entries,
    }]);
    harness
}

/// The event that a message without attempts is resumed. `time_left` is the time until its deadline, negative if the
/// deadline has passed.
fn resumed(id: u64, time_left: Micros) -> Event {
    Event::Resumed {
        message: NewMessage::new(MessageId(id), REPEATABLE, 7, time_left),
        attempts: vec![],
    }
}

#[test]
fn resumed_messages_without_attempts_are_sent_before_newer_messages() {
    // Guards against starvation: past their latency objective, resumed messages have a lower priority than any new
    // message, and new messages keep arriving.
    const RESUMED: u64 = 12;
    for seed in 0..20 {
        let mut harness = restarted(&settings(2), seed, vec![entry(1, 7), entry(2, 7)]);
        harness.handle(
            (0..RESUMED)
                .map(|id| resumed(id, 2_400 * MILLISECOND))
                .collect(),
        );
        let (mut next_id, mut ended) = (100, 0);
        for step in 0..240 {
            harness.run_until(START + step * 10 * MILLISECOND);
            harness.handle(vec![message(next_id, REPEATABLE, 7)]);
            next_id += 1;
            while let Some(&(_, id, ..)) = harness
                .sends
                .get(ended)
                .filter(|send| send.0 + 100 * MILLISECOND <= harness.now)
            {
                ended += 1;
                harness.end_attempt(id, Outcome::Success, 100 * MILLISECOND);
            }
        }
        let without_attempt = (0..RESUMED)
            .filter(|&id| harness.send_times(id).is_empty())
            .count();
        assert_eq!(without_attempt, 0, "seed {seed}: of {RESUMED}");
        let new_sends = harness.sends.iter().filter(|send| send.1 >= 100).count();
        assert!(
            new_sends >= 8,
            "seed {seed}: new messages are sent afterwards, {new_sends}"
        );
    }
}

#[test]
fn the_stagger_delay_after_a_restart_leaves_time_for_a_call() {
    // The first call after a restart is delayed by up to three quarters of the latency objective, here 1.5 s, and the
    // message has 0.4 s left.
    let mut settings = settings(4);
    (
        settings.report_remaining_index,
        settings.report_limit_index,
        settings.senders,
        settings.max_pending,
    ) = (Some(0), Some(1), 300, 4);
    for seed in 0..100 {
        let mut harness = restarted(&settings, seed, vec![entry(1, 7)]);
        harness.handle(vec![resumed(1, 400 * MILLISECOND)]);
        harness.run_until(START + SECOND);
        assert_eq!(harness.send_times(1).len(), 1, "seed {seed}");
    }
}

#[test]
fn resumed_messages_beyond_the_pending_limit_are_not_shed_before_an_attempt() {
    // The limit on pending messages is lower in the new process than the number that the earlier one accepted, and the
    // destination is down at first, which is when excess messages are shed.
    for seed in 0..20 {
        let mut settings = settings(4);
        settings.max_pending = 5;
        let mut harness = restarted(&settings, seed, vec![entry(1, 7), entry(2, 7)]);
        harness.handle((0..12).map(|id| resumed(id, 9 * SECOND)).collect());
        let mut ended = 0;
        for step in 0..170 {
            harness.run_until(START + step * 50 * MILLISECOND);
            while let Some((at, id, ..)) = harness
                .sends
                .get(ended)
                .copied()
                .filter(|send| send.0 + 40 * MILLISECOND <= harness.now)
            {
                ended += 1;
                let is_down = at < START + 500 * MILLISECOND;
                harness.end_attempt(
                    id,
                    if is_down {
                        Outcome::NoConnection
                    } else {
                        Outcome::Success
                    },
                    harness.now - at,
                );
            }
        }
        let shed = (0..12)
            .filter(|&id| harness.send_times(id).is_empty() && harness.was_rejected(id))
            .count();
        assert_eq!(shed, 0, "seed {seed}");
    }
}

#[test]
fn the_stagger_delay_after_a_restart_leaves_time_for_a_later_message_with_less_time() {
    // The destination's first message has 9 s left until its deadline, and the second one only 0.4 s.
    let mut settings = settings(4);
    (
        settings.report_remaining_index,
        settings.report_limit_index,
        settings.senders,
        settings.max_pending,
    ) = (Some(0), Some(1), 300, 4);
    for seed in 0..100 {
        let mut harness = restarted(&settings, seed, vec![entry(1, 7)]);
        harness.handle(vec![resumed(1, 9 * SECOND), resumed(2, 400 * MILLISECOND)]);
        harness.run_until(START + SECOND);
        assert_eq!(harness.send_times(2).len(), 1, "seed {seed}");
    }
}

#[test]
fn an_expired_first_message_does_not_make_senders_start_together() {
    // Guards against 300 senders that all send at the same time because their first message has already expired.
    let mut settings = settings(4);
    (
        settings.report_remaining_index,
        settings.report_limit_index,
        settings.senders,
        settings.max_pending,
    ) = (Some(0), Some(1), 300, 4);
    let mut immediate = 0;
    for seed in 0..100 {
        let mut harness = restarted(&settings, seed, vec![entry(1, 7)]);
        harness.handle(vec![resumed(1, -SECOND), resumed(2, 9 * SECOND)]);
        harness.run_until(START + 9 * SECOND);
        assert!(harness.send_times(1).is_empty());
        immediate += usize::from(harness.send_times(2)[0] < 50 * MILLISECOND);
    }
    assert!(immediate < 20, "{immediate} of 100 start within 50 ms");
}

/// The event that a keyed message, which was sent `age` before the restart, is resumed with this time left until its
/// deadline.
fn resumed_after_send(id: u64, age: Micros, time_left: Micros) -> Event {
    let past = PastAttempt {
        endpoint: EndpointId(1),
        sent_at: START - age,
        may_have_run: true,
    };
    Event::Resumed {
        message: NewMessage::new(MessageId(id), KEYED, 7, time_left),
        attempts: vec![past],
    }
}

/// Settings with a deduplication window of 1 s for the keyed class.
fn one_second_window() -> Settings {
    let mut settings = settings(4);
    settings.classes[KEYED].effect = Effect::Keyed {
        window: SECOND,
        zone_only: false,
    };
    settings
}

#[test]
fn a_message_in_flight_at_a_kill_is_retried_only_within_its_window() {
    for age in [0, 300, 800, 960, 980, 1_000, 1_500].map(|age| age * MILLISECOND) {
        for outcome in [
            None,
            Some(Outcome::Reset),
            Some(Outcome::Rejected { retry_after: None }),
            Some(Outcome::TimedOut),
        ] {
            let mut harness = Harness::new(one_second_window(), vec![entry(1, 7), entry(2, 7)]);
            harness.handle(vec![resumed_after_send(1, age, 15 * SECOND)]);
            let mut ended_calls = 0;
            for _ in 0..200 {
                harness.run_until(harness.now + 50 * MILLISECOND);
                // checks that each call may be written only within the deduplication window, and ends it with
                // `outcome`, if any
                while let Some(send) = harness.sends.get(ended_calls).copied() {
                    ended_calls += 1;
                    let until = harness
                        .sender
                        .write_deadline(send.0, MessageId(1), send.3 + 1);
                    assert!(
                        until.is_none_or(|until| until < START - age + SECOND),
                        "{age} {outcome:?}"
                    );
                    if let Some(outcome) = outcome {
                        let end = ended(1, send.3 + 1, send.2, outcome, 40 * MILLISECOND);
                        harness.handle(vec![end]);
                    }
                }
            }
            let sends = harness.send_times(1);
            assert!(
                sends.iter().all(|&at| at < SECOND - age),
                "{age} {outcome:?}: {sends:?}"
            );
            assert!(
                !harness.was_rejected(1),
                "{age} {outcome:?}: it may have been executed, so no client may be asked to retry"
            );
            assert_eq!(
                sends.is_empty(),
                age > 970 * MILLISECOND,
                "{age} {outcome:?}: {sends:?}"
            );
        }
    }
}

#[test]
fn the_stagger_delay_after_a_restart_leaves_time_within_the_deduplication_window() {
    // With a latency objective of 2 s the first call may be delayed by 1.5 s. The deduplication window ends in 0.7 s.
    let mut settings = one_second_window();
    (
        settings.report_remaining_index,
        settings.report_limit_index,
        settings.senders,
        settings.max_pending,
    ) = (Some(0), Some(1), 300, 4);
    for seed in 0..100 {
        let mut harness = restarted(&settings, seed, vec![entry(1, 7)]);
        harness.handle(vec![resumed_after_send(1, 300 * MILLISECOND, 15 * SECOND)]);
        harness.run_until(START + 3 * SECOND);
        assert_eq!(harness.send_times(1).len(), 1, "seed {seed}");
    }
}
