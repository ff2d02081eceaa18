//! Batching of heartbeats at a session proxy: when a batch is sent, what it contains, and who gets its outcomes.

use milletturn_coordination::batching::QueueFull;
use milletturn_coordination::heartbeat_batcher::{
    BatchResponse, HeartbeatBatch, HeartbeatOutcome, NextStep,
};
use milletturn_coordination::{
    FencingToken, Heartbeat, HeartbeatBatcher, Micros, SessionId, Timestamp, WaiterId, bounds,
};
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

const MAX_DELAY: Micros = Micros::from_millis(100);

fn at(millis: u64) -> Timestamp {
    Timestamp(1_000_000).after(Micros::from_millis(millis))
}

fn next_batch(batcher: &mut HeartbeatBatcher, now: Timestamp) -> HeartbeatBatch {
    match batcher.next_step(now) {
        NextStep::Send(batch) => batch,
        other => panic!("expected a batch, got {other:?}"),
    }
}

/// A response that renews these sessions. Each owns the resource `w` under a token equal to its session id.
fn renewed(sessions: impl IntoIterator<Item = u64>) -> BatchResponse {
    BatchResponse {
        renewed: sessions
            .into_iter()
            .map(|session| (SessionId(session), vec![owned(session)]))
            .collect(),
        ..BatchResponse::default()
    }
}

fn owned(token: u64) -> (String, FencingToken) {
    ("w".to_string(), FencingToken(token))
}

fn heartbeat(session: u64) -> Heartbeat {
    Heartbeat {
        session: SessionId(session),
        holder_expired: false,
    }
}

fn expired_heartbeat(session: u64) -> Heartbeat {
    Heartbeat {
        holder_expired: true,
        ..heartbeat(session)
    }
}

#[test]
fn a_response_is_only_for_heartbeats_that_arrived_before_its_batch_was_sent() {
    let mut batcher = HeartbeatBatcher::new(MAX_DELAY);
    batcher
        .enqueue(heartbeat(7), WaiterId(1))
        .expect("capacity");
    let first = next_batch(&mut batcher, at(0));
    // The member has no response to its first call yet, and sends another heartbeat, from which it counts its lease.
    batcher
        .enqueue(heartbeat(7), WaiterId(2))
        .expect("capacity");
    assert_eq!(
        batcher.complete(first.number, &renewed([7])),
        [(WaiterId(1), HeartbeatOutcome::Renewed(vec![owned(7)]))]
    );
    let second = next_batch(&mut batcher, at(100));
    assert_eq!(second.heartbeats, [heartbeat(7)]);
    assert_eq!(
        batcher.complete(first.number, &renewed([7])),
        [],
        "a response that arrives twice is discarded"
    );
    assert_eq!(
        batcher.fail(second.number),
        [(WaiterId(2), HeartbeatOutcome::Unknown)]
    );
    assert_eq!(batcher.waiting(), 0);
}

#[test]
fn a_batch_has_only_the_last_heartbeat_of_each_session() {
    let mut batcher = HeartbeatBatcher::new(MAX_DELAY);
    batcher
        .enqueue(expired_heartbeat(7), WaiterId(1))
        .expect("capacity");
    batcher
        .enqueue(heartbeat(8), WaiterId(2))
        .expect("capacity");
    batcher
        .enqueue(heartbeat(7), WaiterId(3))
        .expect("capacity");
    let batch = next_batch(&mut batcher, at(0));
    assert_eq!(batch.heartbeats, [heartbeat(7), heartbeat(8)]);
    let response = BatchResponse {
        ended: vec![SessionId(8)],
        ..renewed([7])
    };
    let outcomes: BTreeMap<_, _> = batcher
        .complete(batch.number, &response)
        .into_iter()
        .collect();
    let extended = HeartbeatOutcome::Renewed(vec![owned(7)]);
    assert_eq!(
        outcomes,
        BTreeMap::from([
            (WaiterId(1), extended.clone()),
            (WaiterId(3), extended),
            (WaiterId(2), HeartbeatOutcome::SessionEnded)
        ])
    );
}

#[test]
fn a_heartbeat_without_a_waiter_is_not_sent() {
    let mut batcher = HeartbeatBatcher::new(MAX_DELAY);
    batcher
        .enqueue(heartbeat(7), WaiterId(1))
        .expect("capacity");
    batcher.abandon(SessionId(7), WaiterId(1));
    assert_eq!(
        (batcher.next_step(at(0)), batcher.waiting()),
        (NextStep::Idle, 0)
    );
    batcher
        .enqueue(heartbeat(7), WaiterId(2))
        .expect("capacity");
    let batch = next_batch(&mut batcher, at(0));
    batcher.abandon(SessionId(7), WaiterId(2));
    assert_eq!(batcher.complete(batch.number, &renewed([7])), []);
    assert_eq!(batcher.waiting(), 0);
}

#[test]
fn one_batch_is_in_flight_and_the_next_is_delayed_by_a_fraction_of_the_lease() {
    let mut batcher = HeartbeatBatcher::new(MAX_DELAY);
    batcher
        .enqueue(heartbeat(1), WaiterId(1))
        .expect("capacity");
    let first = next_batch(&mut batcher, at(0));
    batcher
        .enqueue(heartbeat(2), WaiterId(2))
        .expect("capacity");
    assert_eq!(
        batcher.next_step(at(500)),
        NextStep::Idle,
        "no second batch is sent while the coordinator has not responded"
    );
    batcher.complete(
        first.number,
        &BatchResponse {
            shortest_lease: Some(Micros::from_millis(9_000)),
            ..renewed([1])
        },
    );
    let second = next_batch(&mut batcher, at(500));
    batcher
        .enqueue(heartbeat(3), WaiterId(3))
        .expect("capacity");
    assert_eq!(
        batcher.call_timeout(),
        Micros::from_millis(2_250),
        "a quarter of 9 s"
    );
    batcher.complete(
        second.number,
        &BatchResponse {
            shortest_lease: Some(Micros::from_millis(640)),
            ..renewed([2])
        },
    );
    assert_eq!(batcher.call_timeout(), Micros::from_millis(160));
    assert_eq!(
        batcher.next_step(at(501)),
        NextStep::WaitUntil(at(510)),
        "a lease of 640 ms gives a delay of 10 ms"
    );
    assert_eq!(next_batch(&mut batcher, at(510)).heartbeats, [heartbeat(3)]);
}

#[test]
fn a_full_batch_is_sent_at_once_in_order_of_arrival() {
    let mut batcher = HeartbeatBatcher::new(MAX_DELAY);
    batcher
        .enqueue(heartbeat(u64::MAX), WaiterId(0))
        .expect("capacity");
    let first = next_batch(&mut batcher, at(0));
    batcher.complete(first.number, &BatchResponse::default());
    // Two more sessions than a batch may have, in descending order of their ids.
    let sessions: Vec<u64> = (0..bounds::MAX_BATCH_LEN as u64 + 2).rev().collect();
    for &session in &sessions {
        batcher
            .enqueue(heartbeat(session), WaiterId(10_000 + session))
            .expect("capacity");
    }
    let batch = next_batch(&mut batcher, at(1));
    assert_eq!(
        batch
            .heartbeats
            .iter()
            .map(|heartbeat| heartbeat.session.0)
            .collect::<Vec<_>>(),
        sessions[..bounds::MAX_BATCH_LEN]
    );
    batcher.complete(batch.number, &BatchResponse::default());
    assert_eq!(batcher.next_step(at(1)), NextStep::WaitUntil(at(101)));
    assert_eq!(
        next_batch(&mut batcher, at(101)).heartbeats,
        [heartbeat(1), heartbeat(0)]
    );
}

#[test]
fn waiters_are_bounded() {
    let mut batcher = HeartbeatBatcher::new(MAX_DELAY);
    for waiter in 0..bounds::MAX_PROXY_WAITERS as u64 {
        batcher
            .enqueue(heartbeat(waiter % 3), WaiterId(waiter))
            .expect("capacity");
    }
    assert_eq!(
        batcher.enqueue(heartbeat(9), WaiterId(u64::MAX)),
        Err(QueueFull)
    );
    batcher.abandon(SessionId(0), WaiterId(0));
    assert_eq!(batcher.enqueue(heartbeat(9), WaiterId(u64::MAX)), Ok(()));
}

#[derive(Debug, Clone)]
enum Step {
    Enqueue(u64),
    Abandon(usize),
    Advance(u64),
    Complete,
    Fail,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => (1..9_u64).prop_map(Step::Enqueue),
        1 => (0..50_usize).prop_map(Step::Abandon),
        3 => (0..200_u64).prop_map(Step::Advance),
        2 => Just(Step::Complete),
        1 => Just(Step::Fail),
    ];
    prop::collection::vec(step, 0..200)
}

proptest! {
    /// In any order of steps, each call is answered once or abandoned by its caller, no call is answered with the
    /// outcome of a batch that was sent before the call arrived, and no caller is left waiting.
    #[test]
    fn each_heartbeat_has_one_outcome(steps in steps()) {
        let mut batcher = HeartbeatBatcher::new(MAX_DELAY);
        let (mut now, mut waiter) = (0, 0);
        let mut waiting: BTreeMap<u64, u64> = BTreeMap::new();
        let mut in_flight: Option<(u64, BTreeSet<u64>)> = None;
        for step in steps.into_iter().chain([Step::Advance(1_000), Step::Complete, Step::Advance(1_000), Step::Complete]) {
            match step {
                Step::Enqueue(session) => {
                    waiter += 1;
                    batcher.enqueue(heartbeat(session), WaiterId(waiter)).expect("capacity");
                    waiting.insert(waiter, session);
                }
                Step::Abandon(index) => {
                    let Some((&waiter, &session)) = waiting.iter().nth(index) else { continue };
                    batcher.abandon(SessionId(session), WaiterId(waiter));
                    waiting.remove(&waiter);
                }
                Step::Advance(elapsed) => {
                    now += elapsed;
                    if let NextStep::Send(batch) = batcher.next_step(at(now)) {
                        prop_assert!(in_flight.is_none());
                        prop_assert!(!batch.heartbeats.is_empty());
                        in_flight = Some((batch.number, waiting.keys().copied().collect()));
                    }
                }
                Step::Complete | Step::Fail => {
                    let Some((number, before)) = in_flight.take() else { continue };
                    let outcomes = match step {
                        Step::Complete => batcher.complete(number, &renewed(1..9)),
                        _ => batcher.fail(number),
                    };
                    for (waiter, _) in outcomes {
                        prop_assert!(before.contains(&waiter.0), "{} arrived after the batch was sent", waiter);
                        prop_assert!(waiting.remove(&waiter.0).is_some(), "{} was answered twice", waiter);
                    }
                }
            }
            prop_assert_eq!(batcher.waiting(), waiting.len());
        }
        prop_assert_eq!(batcher.waiting(), 0);
    }
}
