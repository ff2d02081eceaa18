//! Batching of commands at a session proxy: each request is sent at most once, and each caller gets the answer to its
//! own request.

use milletturn_coordination::command_batcher::{CommandBatch, OnAbandon};
use milletturn_coordination::{CommandBatcher, WaiterId, bounds};
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

/// Queues a request of 100 bytes for each waiter. The request is the waiter's id plus 100.
fn enqueue(batcher: &mut CommandBatcher<u64>, waiters: impl IntoIterator<Item = u64>) {
    for waiter in waiters {
        batcher
            .enqueue(WaiterId(waiter), 100 + waiter, 100, OnAbandon::Drop)
            .expect("capacity");
    }
}

fn next_batch(batcher: &mut CommandBatcher<u64>) -> CommandBatch<u64> {
    batcher.next_batch().expect("a batch")
}

#[test]
fn requests_that_arrive_during_a_batch_go_with_the_next_one() {
    let mut batcher = CommandBatcher::default();
    enqueue(&mut batcher, [1]);
    assert_eq!(
        next_batch(&mut batcher),
        CommandBatch {
            number: 1,
            requests: vec![101]
        },
        "a lone request is sent at once"
    );
    enqueue(&mut batcher, [2, 3]);
    assert_eq!(
        batcher.next_batch(),
        None,
        "one batch is in flight at a time"
    );
    assert_eq!(batcher.complete(1, vec!["a"]), [(WaiterId(1), Some("a"))]);
    assert_eq!(
        next_batch(&mut batcher),
        CommandBatch {
            number: 2,
            requests: vec![102, 103]
        }
    );
    assert_eq!(
        batcher.complete(2, vec!["b", "c"]),
        [(WaiterId(2), Some("b")), (WaiterId(3), Some("c"))]
    );
    assert_eq!(batcher.next_batch(), None);
}

#[test]
fn answers_to_an_abandoned_batch_are_discarded() {
    let mut batcher = CommandBatcher::default();
    enqueue(&mut batcher, [1, 2]);
    let first = next_batch(&mut batcher);
    assert_eq!(batcher.fail(first.number), [WaiterId(1), WaiterId(2)]);
    enqueue(&mut batcher, [3, 4]);
    let second = next_batch(&mut batcher);
    assert_eq!(batcher.complete(first.number, vec!["a", "b"]), []);
    assert_eq!(
        batcher.complete(second.number, vec!["c", "d"]),
        [(WaiterId(3), Some("c")), (WaiterId(4), Some("d"))]
    );
    assert_eq!(
        batcher.complete(second.number, vec!["c", "d"]),
        [],
        "answers that arrive twice are discarded"
    );
}

#[test]
fn answers_in_the_wrong_number_leave_all_outcomes_unknown() {
    for answers in [vec![], vec!["a"], vec!["a", "b", "c"]] {
        let mut batcher = CommandBatcher::default();
        enqueue(&mut batcher, [1, 2]);
        let batch = next_batch(&mut batcher);
        assert_eq!(
            batcher.complete(batch.number, answers),
            [(WaiterId(1), None), (WaiterId(2), None)]
        );
    }
}

#[test]
fn an_abandoned_open_is_dropped_and_an_abandoned_close_is_sent() {
    let mut batcher = CommandBatcher::default();
    enqueue(&mut batcher, [1, 2]);
    batcher
        .enqueue(WaiterId(3), 103, 100, OnAbandon::Send)
        .expect("capacity");
    batcher.abandon(WaiterId(1));
    batcher.abandon(WaiterId(3));
    let batch = next_batch(&mut batcher);
    assert_eq!(batch.requests, [102, 103]);
    batcher.abandon(WaiterId(2));
    assert_eq!(
        batcher.complete(batch.number, vec!["a", "b"]),
        [],
        "no caller waits any more"
    );
}

#[test]
fn a_batch_is_within_its_bounds_and_in_order_of_arrival() {
    let mut batcher = CommandBatcher::default();
    let max = bounds::MAX_BATCH_LEN as u64;
    enqueue(&mut batcher, 0..max + 2);
    let batch = next_batch(&mut batcher);
    assert_eq!(batch.requests, (100..100 + max).collect::<Vec<_>>());
    batcher.fail(batch.number);
    // Three more requests, no two of which fit into one batch.
    for waiter in 1_000..1_003 {
        let bytes = bounds::MAX_BATCH_BYTES / 2 + 1;
        batcher
            .enqueue(WaiterId(waiter), waiter, bytes, OnAbandon::Drop)
            .expect("capacity");
    }
    let mut batches = Vec::new();
    while let Some(batch) = batcher.next_batch() {
        batcher.fail(batch.number);
        batches.push(batch.requests);
    }
    assert_eq!(
        batches,
        [vec![100 + max, 101 + max, 1_000], vec![1_001], vec![1_002]]
    );
    let mut enqueue = |bytes| batcher.enqueue(WaiterId(9), 9, bytes, OnAbandon::Drop);
    assert!(
        enqueue(bounds::MAX_BATCH_BYTES + 1).is_err(),
        "a request longer than the limit of a batch is rejected"
    );
    assert!(enqueue(bounds::MAX_BATCH_BYTES).is_ok());
}

#[test]
fn queued_requests_are_bounded() {
    let mut batcher = CommandBatcher::default();
    enqueue(&mut batcher, 0..bounds::MAX_PROXY_WAITERS as u64);
    let one_more =
        |batcher: &mut CommandBatcher<u64>| batcher.enqueue(WaiterId(9_999), 0, 1, OnAbandon::Drop);
    assert!(one_more(&mut batcher).is_err());
    batcher.abandon(WaiterId(0));
    assert!(one_more(&mut batcher).is_ok());
}

#[derive(Debug, Clone)]
enum Step {
    Enqueue { bytes: usize, on_abandon: OnAbandon },
    Abandon(usize),
    NextBatch,
    Complete,
    CompletePartially,
    Fail,
}

fn on_abandon() -> impl Strategy<Value = OnAbandon> {
    prop_oneof![Just(OnAbandon::Drop), Just(OnAbandon::Send)]
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => (1..bounds::MAX_BATCH_BYTES, on_abandon())
            .prop_map(|(bytes, on_abandon)| Step::Enqueue { bytes, on_abandon }),
        1 => (0..50_usize).prop_map(Step::Abandon),
        3 => Just(Step::NextBatch),
        2 => Just(Step::Complete),
        1 => Just(Step::CompletePartially),
        1 => Just(Step::Fail),
    ];
    prop::collection::vec(step, 0..200)
}

proptest! {
    /// In any order of steps, each request is sent at most once, and the queue is empty at the end. Each caller that
    /// still waits gets exactly one answer: the one to its own request, or `None` if the outcome is unknown.
    #[test]
    fn each_request_has_one_outcome(steps in steps()) {
        let mut batcher: CommandBatcher<u64> = CommandBatcher::default();
        let (mut waiter, mut sent) = (0, BTreeSet::new());
        let mut waiting: BTreeSet<u64> = BTreeSet::new();
        let mut bytes_of: BTreeMap<u64, usize> = BTreeMap::new();
        let mut in_flight: Option<CommandBatch<u64>> = None;
        let end = [Step::Complete, Step::NextBatch].into_iter().cycle().take(500);
        for step in steps.into_iter().chain(end) {
            match step {
                Step::Enqueue { bytes, on_abandon } => {
                    waiter += 1;
                    batcher.enqueue(WaiterId(waiter), waiter, bytes, on_abandon).expect("capacity");
                    waiting.insert(waiter);
                    bytes_of.insert(waiter, bytes);
                }
                Step::Abandon(index) => {
                    let Some(&waiter) = waiting.iter().nth(index) else { continue };
                    batcher.abandon(WaiterId(waiter));
                    waiting.remove(&waiter);
                }
                Step::NextBatch => {
                    let Some(batch) = batcher.next_batch() else { continue };
                    prop_assert!(in_flight.is_none() && !batch.requests.is_empty());
                    let bytes: usize = batch.requests.iter().map(|request| bytes_of[request]).sum();
                    prop_assert!(bytes <= bounds::MAX_BATCH_BYTES);
                    for request in &batch.requests {
                        prop_assert!(sent.insert(*request), "{} was sent twice", request);
                    }
                    in_flight = Some(batch);
                }
                Step::Complete | Step::CompletePartially | Step::Fail => {
                    let Some(CommandBatch { number, requests }) = in_flight.take() else { continue };
                    let answered: Vec<(WaiterId, Option<u64>)> = match step {
                        Step::Complete => batcher.complete(number, requests.clone()),
                        Step::CompletePartially => batcher.complete(number, requests[1..].to_vec()),
                        _ => batcher.fail(number).into_iter().map(|waiter| (waiter, None)).collect(),
                    };
                    for (WaiterId(waiter), answer) in answered {
                        prop_assert!(requests.contains(&waiter) && waiting.remove(&waiter));
                        let expected = matches!(step, Step::Complete).then_some(waiter);
                        prop_assert_eq!(answer, expected);
                    }
                }
            }
        }
        prop_assert!(waiting.is_empty(), "{:?} were never answered", waiting);
        prop_assert_eq!(batcher.queued(), 0);
    }
}
