//! Batches the commands that a session proxy forwards: those that open or close a session, and all others that are
//! written to the log.
//!
//! A batch goes to the leading coordinator in one call and becomes one entry of its log, while each command has its own
//! outcome. One batch is in flight at a time, and commands that arrive meanwhile go with the next one. A lone command
//! is therefore sent at once, and when many members connect at the same time, hundreds of commands cost the
//! coordinators one log entry. The batcher uses no clock.
//!
//! If a batch gets no response, each of its commands may or may not have been written, so its callers
//! are never told that their commands were rejected. Each command is idempotent ([`Command`](crate::Command)), so a
//! caller may retry it at this proxy or another one.

use crate::batching::{InFlightSlot, QueueFull};
use crate::bounds;
use crate::ids::WaiterId;
use std::collections::VecDeque;

/// Requests that go to the coordinators in one call; the response has their answers in the same order.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CommandBatch<R> {
    /// The number of the batch within this process; the first one has number 1.
    pub number: u64,
    /// The requests in order of arrival.
    pub requests: Vec<R>,
}

/// What happens to a queued request when its caller stops waiting for the answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum OnAbandon {
    /// The request is dropped, since its caller may no longer want the effect. For example, no member would send
    /// heartbeats for a session that is opened after its caller stopped waiting.
    Drop,
    /// The request is sent anyway. For example, a member that closes its session is about to exit and may not wait for
    /// the answer.
    Send,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct QueuedRequest<R> {
    /// `None` if the caller no longer waits.
    waiter: Option<WaiterId>,
    request: R,
    bytes: usize,
    on_abandon: OnAbandon,
}

/// Batches the commands that members send to a session proxy. `R` is the type of a request, which the batcher does not
/// inspect.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct CommandBatcher<R> {
    queued: VecDeque<QueuedRequest<R>>,
    /// The callers by position in the batch; `None` if the caller no longer waits.
    in_flight: InFlightSlot<Vec<Option<WaiterId>>>,
}

impl<R> Default for CommandBatcher<R> {
    fn default() -> Self {
        Self {
            queued: VecDeque::new(),
            in_flight: InFlightSlot::default(),
        }
    }
}

impl<R> CommandBatcher<R> {
    /// Queues a member's request; `bytes` is its serialized size.
    ///
    /// # Errors
    /// [`QueueFull`] if [`MAX_PROXY_WAITERS`](bounds::MAX_PROXY_WAITERS) requests are queued, or if the request is
    /// longer than [`MAX_BATCH_BYTES`](bounds::MAX_BATCH_BYTES).
    pub fn enqueue(
        &mut self,
        waiter: WaiterId,
        request: R,
        bytes: usize,
        on_abandon: OnAbandon,
    ) -> Result<(), QueueFull> {
        if self.queued.len() >= bounds::MAX_PROXY_WAITERS || bytes > bounds::MAX_BATCH_BYTES {
            return Err(QueueFull);
        }
        self.queued.push_back(QueuedRequest {
            waiter: Some(waiter),
            request,
            bytes,
            on_abandon,
        });
        Ok(())
    }

    /// Removes a caller that no longer waits. Its request, if still queued, is dropped or sent as [`OnAbandon`] says.
    pub fn abandon(&mut self, waiter: WaiterId) {
        let position = (self.queued.iter()).position(|queued| queued.waiter == Some(waiter));
        if let Some(position) = position {
            match self.queued[position].on_abandon {
                OnAbandon::Send => self.queued[position].waiter = None,
                OnAbandon::Drop => {
                    self.queued.remove(position);
                }
            }
        }
        for in_flight in self.in_flight.waiters_mut().into_iter().flatten() {
            in_flight.take_if(|other| *other == waiter);
        }
    }

    /// Takes the next batch from the queue. Returns `None` if a batch is in flight or nothing is queued.
    ///
    /// The batch has as many requests as fit into [`MAX_BATCH_LEN`](bounds::MAX_BATCH_LEN) and
    /// [`MAX_BATCH_BYTES`](bounds::MAX_BATCH_BYTES).
    pub fn next_batch(&mut self) -> Option<CommandBatch<R>> {
        if self.in_flight.is_taken() || self.queued.is_empty() {
            return None;
        }
        let (mut requests, mut waiters, mut bytes) = (Vec::new(), Vec::new(), 0);
        while requests.len() < bounds::MAX_BATCH_LEN
            && let Some(next) = self
                .queued
                .pop_front_if(|next| bytes + next.bytes <= bounds::MAX_BATCH_BYTES)
        {
            bytes += next.bytes;
            requests.push(next.request);
            waiters.push(next.waiter);
        }
        let number = self.in_flight.send(waiters);
        Some(CommandBatch { number, requests })
    }

    /// Matches the coordinators' answers to a batch with the waiting callers. The answer is `None` if the outcome
    /// of the command is unknown.
    ///
    /// The answers to an abandoned batch are discarded. If there are more or fewer answers than requests, none can be
    /// assigned to its request, and all outcomes are unknown.
    pub fn complete<A>(&mut self, number: u64, answers: Vec<A>) -> Vec<(WaiterId, Option<A>)> {
        let waiters = self.in_flight.finish(number).unwrap_or_default();
        let is_complete = answers.len() == waiters.len();
        let mut answers = answers.into_iter().filter(|_| is_complete);
        let answered = waiters.into_iter().map(|waiter| (waiter, answers.next()));
        answered
            .filter_map(|(waiter, answer)| Some((waiter?, answer)))
            .collect()
    }

    /// Abandons a batch that no coordinator has answered within the call's time limit. Returns the callers that still
    /// wait for it. The outcomes of their commands are unknown.
    pub fn fail(&mut self, number: u64) -> Vec<WaiterId> {
        let waiters = self.in_flight.finish(number).unwrap_or_default();
        waiters.into_iter().flatten().collect()
    }

    /// The number of queued requests, without those in flight.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.queued.len()
    }

    /// The number of batches taken from this batcher so far.
    #[must_use]
    pub fn batches_sent(&self) -> u64 {
        self.in_flight.batches_sent()
    }
}
