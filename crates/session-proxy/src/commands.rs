//! Commands and requests to open a session: batched, sent to the leading coordinator as one entry of the Raft log, with
//! one response for each waiting member.

use crate::heartbeats::ATTEMPTS_PER_BATCH;
use crate::service::unavailable;
use crate::waiters::Waiters;
use milletturn_coordination::command_batcher::{CommandBatch, OnAbandon};
use milletturn_coordination::{Command, CommandBatcher, CommandOutcome, WaiterId};
use milletturn_coordination_protocol::messages::{
    BatchedRequest, COMMAND_BATCH_PATH, CommandBatchRequest,
};
use milletturn_coordination_protocol::server::{HandlerResult, to_json};
use milletturn_logging::RateLimitedLog;
use milletturn_member::{CoordinatorClient, RequestError};
use std::cell::{Cell, RefCell};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Forwards commands and requests to open a session to the coordinators in batches.
#[derive(Debug, Default)]
pub(crate) struct CommandForwarder {
    batcher: RefCell<CommandBatcher<BatchedRequest>>,
    /// The requests that wait for an outcome; `None` means that the command may or may not have been executed.
    waiters: Waiters<Option<CommandOutcome>>,
    queued: Notify,
    received: Cell<u64>,
    unanswered_batches: Cell<u64>,
}

/// Counts since the start of the forwarder, for the status of the session proxy.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CommandCounts {
    pub(crate) received: u64,
    pub(crate) batches: u64,
    pub(crate) unanswered_batches: u64,
}

/// A request that waits for its outcome. Dropping the guard, as when the member disconnects, abandons the request.
struct WaitingCommand<'a> {
    forwarder: &'a CommandForwarder,
    id: WaiterId,
}

impl Drop for WaitingCommand<'_> {
    fn drop(&mut self) {
        self.forwarder.waiters.remove(self.id);
        self.forwarder.batcher.borrow_mut().abandon(self.id);
    }
}

impl CommandForwarder {
    /// Queues a request, and waits for its outcome.
    pub(crate) async fn forward(&self, request: BatchedRequest) -> HandlerResult {
        // plus one byte for the separator between the requests of a batch
        let bytes = to_json(&request)?.len() + 1;
        let id = self.waiters.next_id();
        // a member that closes its session is about to exit and may not wait for the response, so its command is sent
        // anyway; the caller of any other abandoned request may no longer want it to be executed
        let on_abandon = match request {
            BatchedRequest::Command(Command::CloseSession { .. }) => OnAbandon::Send,
            _ => OnAbandon::Drop,
        };
        let queued = self
            .batcher
            .borrow_mut()
            .enqueue(id, request, bytes, on_abandon);
        queued.map_err(|full| unavailable(full.to_string(), false))?;
        self.received.update(|count| count + 1);
        let outcome = self.waiters.add(id);
        let _waiting = WaitingCommand {
            forwarder: self,
            id,
        };
        self.queued.notify_one();
        match outcome.await {
            Ok(Some(outcome)) => to_json(&outcome),
            // the command may have been executed, so the response must not say that it failed
            Ok(None) | Err(_) => {
                let message = "no steward has answered the relay in time";
                Err(unavailable(message, true))
            }
        }
    }

    /// Sends batches one after the other until the future is dropped. `call_timeout` is called before each batch and
    /// returns its time limit; `name` is the prefix of each log line.
    pub(crate) async fn run(
        &self,
        mut client: CoordinatorClient,
        call_timeout: impl Fn() -> Duration,
        name: &str,
    ) {
        let faults = RateLimitedLog::default();
        loop {
            let next = self.batcher.borrow_mut().next_batch();
            let Some(batch) = next else {
                self.queued.notified().await;
                continue;
            };
            let (number, count) = (batch.number, batch.requests.len());
            match send(&mut client, batch, call_timeout()).await {
                Ok(outcomes) => self.complete(number, outcomes),
                Err(error) => {
                    faults.log(format_args!(
                        "{name}: {count} session opens and commands were not answered: {error}"
                    ));
                    self.fail(number);
                }
            }
        }
    }

    fn complete(&self, number: u64, outcomes: Vec<CommandOutcome>) {
        let outcomes = self.batcher.borrow_mut().complete(number, outcomes);
        self.waiters.complete(outcomes);
    }

    fn fail(&self, number: u64) {
        self.unanswered_batches.update(|count| count + 1);
        let failed = self.batcher.borrow_mut().fail(number);
        self.waiters
            .complete(failed.into_iter().map(|id| (id, None)));
    }

    pub(crate) fn counts(&self) -> CommandCounts {
        CommandCounts {
            received: self.received.get(),
            batches: self.batcher.borrow().batches_sent(),
            unanswered_batches: self.unanswered_batches.get(),
        }
    }
}

async fn send(
    client: &mut CoordinatorClient,
    batch: CommandBatch<BatchedRequest>,
    time_limit: Duration,
) -> Result<Vec<CommandOutcome>, RequestError> {
    let request = CommandBatchRequest {
        requests: batch.requests,
    };
    client.set_attempt_timeout(time_limit / ATTEMPTS_PER_BATCH);
    let deadline = Instant::now() + time_limit;
    client
        .request(COMMAND_BATCH_PATH, Some(&request), deadline)
        .await
}
