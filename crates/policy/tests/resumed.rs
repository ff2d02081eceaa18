//! What a restart finds taken on and untried is still tried.

#![expect(
    clippy::too_many_lines,
    reason = "scenarios of this file have not had their turn yet"
)]

mod common;
use common::*;
use milletturn_policy::*;

/// A module of a new process that has just heard of these endpoints.
fn restarted(told: &Settings, seed: u64, entries: Vec<EndpointEntry>) -> Rig {
    let mut rig = Rig::new(told.clone(), vec![]);
    rig.sender = Sender::new(told.clone(), seed).expect("settings make sense");
    rig.tell(vec![Event::EndpointList {
        kind: EndpointListKind::Full,
        entries,
    }]);
    rig
}

fn resumed(id: u64, left: Micros) -> Event {
    Event::Resumed {
        message: NewMessage::new(MessageId(id), FREE, 7, left),
        attempts: vec![],
    }
}

#[test]
fn untried_messages_of_an_earlier_life_get_a_call_before_all_that_came_since() {
    // long past their aim they are worth less than any fresh one, and fresh ones never cease
    const OWED: u64 = 12;
    for seed in 0..20 {
        let mut rig = restarted(&settings(2), seed, vec![entry(1, 7), entry(2, 7)]);
        rig.tell(
            (0..OWED)
                .map(|id| resumed(id, 2_400 * MILLISECOND))
                .collect(),
        );
        let (mut next, mut ended) = (100, 0);
        for step in 0..240 {
            rig.run(T0 + step * 10 * MILLISECOND);
            rig.tell(vec![message(next, FREE, 7)]);
            next += 1;
            while let Some(&(_, id, ..)) = rig
                .sends
                .get(ended)
                .filter(|send| send.0 + 100 * MILLISECOND <= rig.now)
            {
                ended += 1;
                rig.end(id, Outcome::Success, 100 * MILLISECOND);
            }
        }
        let untried = (0..OWED).filter(|&id| rig.sends_of(id).is_empty()).count();
        assert_eq!(untried, 0, "seed {seed}: of {OWED}");
        let fresh = rig.sends.iter().filter(|send| send.1 >= 100).count();
        assert!(fresh >= 8, "seed {seed}: then the others go on, {fresh}");
    }
}

#[test]
fn the_rest_behind_a_start_leaves_time_for_a_call() {
    // three quarters of the aim are 1.5 s, and this one has 0.4 s left
    let mut told = settings(4);
    (
        told.report_remaining_index,
        told.report_limit_index,
        told.senders,
        told.max_pending,
    ) = (Some(0), Some(1), 300, 4);
    for seed in 0..100 {
        let mut rig = restarted(&told, seed, vec![entry(1, 7)]);
        rig.tell(vec![resumed(1, 400 * MILLISECOND)]);
        rig.run(T0 + SECOND);
        assert_eq!(rig.sends_of(1).len(), 1, "seed {seed}");
    }
}

#[test]
fn more_than_may_be_held_are_not_shed_before_their_call() {
    // the settings of the new life let fewer be held than the earlier one took on, and the destination is away at
    // first: what is too much is shed there
    for seed in 0..20 {
        let mut told = settings(4);
        told.max_pending = 5;
        let mut rig = restarted(&told, seed, vec![entry(1, 7), entry(2, 7)]);
        rig.tell((0..12).map(|id| resumed(id, 9 * SECOND)).collect());
        let mut ended = 0;
        for step in 0..170 {
            rig.run(T0 + step * 50 * MILLISECOND);
            while let Some((at, id, ..)) = rig
                .sends
                .get(ended)
                .copied()
                .filter(|send| send.0 + 40 * MILLISECOND <= rig.now)
            {
                ended += 1;
                let away = at < T0 + 500 * MILLISECOND;
                rig.end(
                    id,
                    if away {
                        Outcome::NoConnection
                    } else {
                        Outcome::Success
                    },
                    rig.now - at,
                );
            }
        }
        let shed = (0..12)
            .filter(|&id| rig.sends_of(id).is_empty() && rig.refused(id))
            .count();
        assert_eq!(shed, 0, "seed {seed}");
    }
}

#[test]
fn the_rest_behind_a_start_leaves_time_for_a_later_one_with_less() {
    // the first of the destination has all its time, the next one 0.4 s
    let mut told = settings(4);
    (
        told.report_remaining_index,
        told.report_limit_index,
        told.senders,
        told.max_pending,
    ) = (Some(0), Some(1), 300, 4);
    for seed in 0..100 {
        let mut rig = restarted(&told, seed, vec![entry(1, 7)]);
        rig.tell(vec![resumed(1, 9 * SECOND), resumed(2, 400 * MILLISECOND)]);
        rig.run(T0 + SECOND);
        assert_eq!(rig.sends_of(2).len(), 1, "seed {seed}");
    }
}

#[test]
fn one_whose_time_was_up_brings_no_senders_together() {
    // guards against 300 senders that all begin at once since the first of their messages was over
    let mut told = settings(4);
    (
        told.report_remaining_index,
        told.report_limit_index,
        told.senders,
        told.max_pending,
    ) = (Some(0), Some(1), 300, 4);
    let mut at_once = 0;
    for seed in 0..100 {
        let mut rig = restarted(&told, seed, vec![entry(1, 7)]);
        rig.tell(vec![resumed(1, -SECOND), resumed(2, 9 * SECOND)]);
        rig.run(T0 + 9 * SECOND);
        assert!(rig.sends_of(1).is_empty());
        at_once += usize::from(rig.sends_of(2)[0] < 50 * MILLISECOND);
    }
    assert!(at_once < 20, "{at_once} of 100 begin within 50 ms");
}

/// One of a keyed class whose window is a second, sent so long before the restart that reads it.
fn under_way(id: u64, age: Micros, left: Micros) -> Event {
    let past = PastAttempt {
        endpoint: EndpointId(1),
        sent: T0 - age,
        may_have_run: true,
    };
    Event::Resumed {
        message: NewMessage::new(MessageId(id), KEYED, 7, left),
        attempts: vec![past],
    }
}

fn a_second_for_repeats() -> Settings {
    let mut told = settings(4);
    told.classes[KEYED].effect = Effect::Keyed {
        window: SECOND,
        zone_only: false,
    };
    told
}

#[test]
fn what_was_under_way_at_a_kill_goes_again_only_within_a_window_of_a_second() {
    for age in [0, 300, 800, 960, 980, 1_000, 1_500].map(|age| age * MILLISECOND) {
        for outcome in [
            None,
            Some(Outcome::Reset),
            Some(Outcome::Rejected { retry_after: None }),
            Some(Outcome::TimedOut),
        ] {
            let mut rig = Rig::new(a_second_for_repeats(), vec![entry(1, 7), entry(2, 7)]);
            rig.tell(vec![under_way(1, age, 15 * SECOND)]);
            let mut answered = 0;
            for _ in 0..200 {
                rig.run(rig.now + 50 * MILLISECOND);
                // each call that is out ends like this, the next is written only while that is legal
                while let Some(send) = rig.sends.get(answered).copied() {
                    answered += 1;
                    let until = rig.sender.write_deadline(send.0, MessageId(1), send.3 + 1);
                    assert!(
                        until.is_none_or(|until| until < T0 - age + SECOND),
                        "{age} {outcome:?}"
                    );
                    if let Some(outcome) = outcome {
                        let end = ended(1, send.3 + 1, send.2, outcome, 40 * MILLISECOND);
                        rig.tell(vec![end]);
                    }
                }
            }
            let sends = rig.sends_of(1);
            assert!(
                sends.iter().all(|&at| at < SECOND - age),
                "{age} {outcome:?}: {sends:?}"
            );
            assert!(
                !rig.refused(1),
                "{age} {outcome:?}: it may have run, no client may be told to come again"
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
fn the_rest_behind_a_start_leaves_time_within_the_window_for_repeats() {
    // an aim of 2 s lets the first call rest 1.5 s, and the window has 0.7 s left
    let mut told = a_second_for_repeats();
    (
        told.report_remaining_index,
        told.report_limit_index,
        told.senders,
        told.max_pending,
    ) = (Some(0), Some(1), 300, 4);
    for seed in 0..100 {
        let mut rig = restarted(&told, seed, vec![entry(1, 7)]);
        rig.tell(vec![under_way(1, 300 * MILLISECOND, 15 * SECOND)]);
        rig.run(T0 + 3 * SECOND);
        assert_eq!(rig.sends_of(1).len(), 1, "seed {seed}");
    }
}
