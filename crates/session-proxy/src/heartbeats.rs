//! Heartbeats: batched, sent to the leading coordinator one batch at a time, with one response for each waiting member.

use crate::service::unavailable;
use crate::waiters::Waiters;
use milletturn_coordination::heartbeat_batcher::{
    BatchResponse, HeartbeatBatch, HeartbeatOutcome, NextStep,
};
use milletturn_coordination::{
    Heartbeat, HeartbeatBatcher, Micros, Rejection, SessionId, WaiterId,
};
use milletturn_coordination_protocol::clock::now;
use milletturn_coordination_protocol::messages::{
    HEARTBEAT_BATCH_PATH, HeartbeatAccepted, HeartbeatBatchRequest, HeartbeatBatchResponse,
    HeartbeatRequest, HeartbeatResponse,
};
use milletturn_coordination_protocol::server::{HandlerResult, to_json};
use milletturn_logging::RateLimitedLog;
use milletturn_member::{CoordinatorClient, RequestError};
use std::cell::{Cell, RefCell};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, timeout};

/// Number of coordinators that can be called one after the other within the time limit of a batch. If the leader is
/// unresponsive, the next coordinator is therefore called while the members still wait.
pub(crate) const ATTEMPTS_PER_BATCH: u32 = 3;

/// Forwards heartbeats to the coordinators in batches.
#[derive(Debug)]
pub(crate) struct HeartbeatForwarder {
    batcher: RefCell<HeartbeatBatcher>,
    waiters: Waiters<HeartbeatOutcome>,
    queued: Notify,
    received: Cell<u64>,
    unanswered_batches: Cell<u64>,
}

/// The forwarder's counters since its start, and the current number of waiting heartbeats, for the session proxy's
/// status.
#[derive(Debug, Clone, Copy)]
pub(crate) struct HeartbeatCounts {
    pub(crate) received: u64,
    pub(crate) batches: u64,
    pub(crate) unanswered_batches: u64,
    pub(crate) waiting: u64,
}

/// A heartbeat that waits for its outcome. Dropping the guard, as when the member disconnects, abandons the heartbeat.
struct WaitingHeartbeat<'a> {
    forwarder: &'a HeartbeatForwarder,
    session: SessionId,
    id: WaiterId,
}

impl Drop for WaitingHeartbeat<'_> {
    fn drop(&mut self) {
        self.forwarder.waiters.remove(self.id);
        let mut batcher = self.forwarder.batcher.borrow_mut();
        batcher.abandon(self.session, self.id);
    }
}

impl HeartbeatForwarder {
    /// Creates a forwarder that delays a heartbeat by at most `max_delay` to batch it with others, not counting the
    /// wait for the response to an earlier batch.
    pub(crate) fn new(max_delay: Micros) -> Self {
        Self {
            batcher: RefCell::new(HeartbeatBatcher::new(max_delay)),
            waiters: Waiters::default(),
            queued: Notify::new(),
            received: Cell::new(0),
            unanswered_batches: Cell::new(0),
        }
    }

    /// Queues a heartbeat, and waits for its outcome.
    pub(crate) async fn forward(&self, request: HeartbeatRequest) -> HandlerResult {
        let HeartbeatRequest {
            session,
            holder_expired,
        } = request;
        let id = self.waiters.next_id();
        let heartbeat = Heartbeat {
            session,
            holder_expired,
        };
        let queued = self.batcher.borrow_mut().enqueue(heartbeat, id);
        queued.map_err(|full| unavailable(full.to_string(), false))?;
        self.received.update(|count| count + 1);
        let outcome = self.waiters.add(id);
        let _waiting = WaitingHeartbeat {
            forwarder: self,
            session,
            id,
        };
        self.queued.notify_one();
        let response: HeartbeatResponse = match outcome.await {
            Ok(HeartbeatOutcome::Renewed(owned)) => Ok(HeartbeatAccepted { owned }),
            Ok(HeartbeatOutcome::SessionEnded) => Err(Rejection::SessionNotFound { session }),
            Ok(HeartbeatOutcome::Unknown) | Err(_) => {
                let message = "no steward has answered the relay in time";
                return Err(unavailable(message, false));
            }
        };
        to_json(&response)
    }

    /// Sends batches one after the other until the future is dropped; `name` is the prefix of each log line.
    pub(crate) async fn run(&self, mut client: CoordinatorClient, name: &str) {
        let faults = RateLimitedLog::default();
        loop {
            let next = self.batcher.borrow_mut().next_step(now());
            match next {
                NextStep::Send(batch) => {
                    let (number, count) = (batch.number, batch.heartbeats.len());
                    match self.send(&mut client, batch).await {
                        Ok(response) => self.complete(number, response),
                        Err(error) => {
                            faults.log(format_args!(
                                "{name}: {count} heartbeats were not answered: {error}"
                            ));
                            self.fail(number);
                        }
                    }
                }
                NextStep::Idle => self.queued.notified().await,
                NextStep::WaitUntil(due) => {
                    let delay = Duration::from_micros(due.since(now()).0);
                    // wakes up early for each new heartbeat, since a full batch is sent at once
                    let _ = timeout(delay, self.queued.notified()).await;
                }
            }
        }
    }

    async fn send(
        &self,
        client: &mut CoordinatorClient,
        batch: HeartbeatBatch,
    ) -> Result<HeartbeatBatchResponse, RequestError> {
        let heartbeats = batch.heartbeats.iter();
        let request = HeartbeatBatchRequest {
            heartbeats: heartbeats
                .map(|heartbeat| (heartbeat.session, heartbeat.holder_expired))
                .collect(),
        };
        let time_limit = self.call_timeout();
        client.set_attempt_timeout(time_limit / ATTEMPTS_PER_BATCH);
        let deadline = Instant::now() + time_limit;
        client
            .request(HEARTBEAT_BATCH_PATH, Some(&request), deadline)
            .await
    }

    fn complete(&self, number: u64, response: HeartbeatBatchResponse) {
        let response = BatchResponse {
            shortest_lease: response.shortest_lease,
            renewed: response.renewed.into_iter().collect(),
            ended: response.ended,
        };
        let outcomes = self.batcher.borrow_mut().complete(number, &response);
        self.waiters.complete(outcomes);
    }

    fn fail(&self, number: u64) {
        self.unanswered_batches.update(|count| count + 1);
        let outcomes = self.batcher.borrow_mut().fail(number);
        self.waiters.complete(outcomes);
    }

    /// Time limit for a batch: a quarter of the shortest lease in the coordinators' responses so far, at most 2.3 s.
    pub(crate) fn call_timeout(&self) -> Duration {
        Duration::from_micros(self.batcher.borrow().call_timeout().0)
    }

    pub(crate) fn counts(&self) -> HeartbeatCounts {
        let batcher = self.batcher.borrow();
        HeartbeatCounts {
            received: self.received.get(),
            batches: batcher.batches_sent(),
            unanswered_batches: self.unanswered_batches.get(),
            waiting: batcher.waiting() as u64,
        }
    }
}
