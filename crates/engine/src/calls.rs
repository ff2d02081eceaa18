//! Calls to endpoints: the attempts of a turn are grouped into batches, and each batch becomes one call of the
//! transport.

use crate::engine::Engine;
use crate::message::Attempt;
use crate::observer::EngineEvent;
use crate::transport::Call;
use milletturn_policy::{Effect, EndpointId, Event, MessageId, Micros, Outcome};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

/// Identifies one attempt of one message. Snapshots contain this type, so the order of its fields is part of their
/// format.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct AttemptRef {
    pub message_id: MessageId,
    /// The attempt's index among those of the message.
    pub attempt: usize,
}

/// Where a call of this process goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct CallTarget {
    pub endpoint: EndpointId,
    pub address: SocketAddr,
}

/// A call in flight.
pub(crate) struct OutstandingCall {
    /// Where the call goes; `None` for a call of another process.
    pub target: Option<CallTarget>,
    /// Passes the positions of cancelled attempts to the transport.
    pub cancellations: mpsc::UnboundedSender<usize>,
    /// The attempt at each position of the call.
    pub attempts: Vec<AttemptRef>,
    /// How many of the attempts have not ended.
    pub remaining: usize,
}

/// Attempts of one turn that go to one endpoint in one call.
pub(crate) struct Batch {
    endpoint: EndpointId,
    /// The earliest expiry among the attempts, at which the call times out. The attempts share one response, so a
    /// response after this time counts for none of them.
    expires_at: Micros,
    attempts: Vec<AttemptRef>,
    size_bytes: usize,
}

impl Batch {
    /// Merges this batch into the first one to the same endpoint that stays within both limits, or appends it to
    /// `batches`.
    fn merge_into(self, batches: &mut Vec<Batch>, max_attempts: usize, max_bytes: usize) {
        let fitting = batches.iter_mut().find(|batch| {
            batch.endpoint == self.endpoint
                && batch.attempts.len() < max_attempts
                && batch.size_bytes + self.size_bytes <= max_bytes
        });
        match fitting {
            Some(batch) => {
                batch.attempts.extend(self.attempts);
                batch.expires_at = batch.expires_at.min(self.expires_at);
                batch.size_bytes += self.size_bytes;
            }
            None => batches.push(self),
        }
    }
}

/// A call's request for permission to start, sent because its connection took long to open.
pub(crate) struct StartRequest {
    /// The call's number.
    pub call: u64,
    /// Receives the time by which the last byte of the request must be written; dropped if the call must not start.
    pub reply: oneshot::Sender<Instant>,
}

impl Engine {
    /// Starts an attempt: records it in the journal, then adds it to a batch. The attempt ends as unsent if the journal
    /// can't record it, if its endpoint is no longer listed, or if its message is no longer open.
    pub(crate) fn send(
        &mut self,
        now: Micros,
        message_id: MessageId,
        endpoint: EndpointId,
        expires_at: Micros,
        batches: &mut Vec<Batch>,
    ) {
        let Some(message) = self.messages.get_mut(message_id) else {
            return;
        };
        let attempt = message.attempts.len();
        let route = self.endpoints.route(endpoint);
        let (uid, max_batch_size) = route
            .map(|route| (route.uid.clone(), route.max_batch_size))
            .unwrap_or_default();
        message
            .attempts
            .push(Attempt::start(endpoint, uid.clone(), now));
        let size_bytes = self.transport.item_bytes(&message.item);
        let (open, destination, id) = (message.open, message.destination, message.item.id.clone());
        let attempt_ref = AttemptRef {
            message_id,
            attempt,
        };
        if max_batch_size == 0 {
            return self.finish_unsent(attempt_ref, endpoint);
        }
        // the message may have ended earlier in this turn, for example because the journal could not record its
        // acceptance: its attempt gets neither a journal entry nor a call
        let written = open.then(|| self.journal.record_attempt(message_id.0, &uid, now));
        if !written.is_some_and(|written| self.check_journal(written)) {
            return self.finish_unsent(attempt_ref, endpoint);
        }
        let max_call_bytes = self.transport.max_call_bytes();
        self.observer.observe(&EngineEvent::AttemptStarted {
            id: &id,
            destination,
            uid: &uid,
            attempt,
            at: now,
        });
        let single = Batch {
            endpoint,
            expires_at,
            attempts: vec![attempt_ref],
            size_bytes,
        };
        single.merge_into(batches, max_batch_size, max_call_bytes);
    }

    /// Ends an attempt that was not sent, and queues the event for the decision module's next turn.
    fn finish_unsent(&mut self, attempt_ref: AttemptRef, endpoint: EndpointId) {
        let AttemptRef {
            message_id,
            attempt,
        } = attempt_ref;
        let Some(message) = self.messages.get_mut(message_id) else {
            return;
        };
        let outcome = Outcome::Unsent { no_slot: false };
        if let Some(attempt) = message.attempts.get_mut(attempt) {
            attempt.finish(outcome, 0);
        }
        let message_closed = !message.open;
        self.events.push(Event::AttemptEnded {
            message: message_id,
            attempt,
            endpoint,
            outcome,
            latency: 0,
            message_closed,
            report: Vec::new(),
            ambiguous: false,
        });
        self.remove_if_finished(message_id);
    }

    /// Starts one call that carries all attempts of a batch.
    pub(crate) fn start_call(&mut self, batch: Batch) {
        let number = self.next_call;
        self.next_call += 1;
        let route = self.endpoints.route(batch.endpoint);
        let Some(address) = route.map(|route| route.address) else {
            for attempt_ref in batch.attempts {
                self.finish_unsent(attempt_ref, batch.endpoint);
            }
            return;
        };
        // each message must have the same position in `items` and `attempts`, or outcomes would be assigned to the
        // wrong messages
        let (mut items, mut attempts) = (Vec::new(), Vec::new());
        let mut at_most_once = false;
        for attempt_ref in batch.attempts {
            let Some(message) = self.messages.get_mut(attempt_ref.message_id) else {
                continue;
            };
            if let Some(attempt) = message.attempts.get_mut(attempt_ref.attempt) {
                (attempt.call, attempt.position) = (number, items.len());
            }
            items.push(message.item.clone());
            attempts.push(attempt_ref);
            at_most_once |= self.classes.effect(message.class) == Some(Effect::Unsafe);
        }
        if items.is_empty() {
            return;
        }
        let (cancellations, cancelled) = mpsc::unbounded_channel();
        let outstanding = OutstandingCall {
            target: Some(CallTarget {
                endpoint: batch.endpoint,
                address,
            }),
            cancellations,
            remaining: attempts.len(),
            attempts,
        };
        self.calls.insert(number, outstanding);
        let call = Call {
            number,
            endpoint: batch.endpoint,
            address,
            items,
            at_most_once,
            expires: self.clock.instant(batch.expires_at),
        };
        self.transport.start(call, cancelled);
    }

    /// Cancels an attempt that is in flight.
    pub(crate) fn cancel(&mut self, message_id: MessageId, attempt: usize) {
        let attempt = self
            .messages
            .get(message_id)
            .and_then(|message| message.attempts.get(attempt))
            .filter(|attempt| attempt.in_flight);
        let Some(attempt) = attempt else {
            return;
        };
        if let Some(call) = self.calls.get(&attempt.call) {
            // sending fails if the call has just ended, and then its outcome is reported without the cancellation
            let _ = call.cancellations.send(attempt.position);
        }
    }

    /// Whether the endpoint is still listed at this address.
    fn is_current(&self, target: CallTarget) -> bool {
        self.endpoints
            .route(target.endpoint)
            .is_some_and(|route| route.address == target.address)
    }

    /// Replies to calls that ask whether they may still start. The attempts of a call start together: the call must
    /// not start if any of its attempts must not, and the reply is the earliest of their write deadlines. Nor must it
    /// start at an address that its endpoint no longer has: another process may be there by now.
    pub(crate) fn reply_to_start_requests(&mut self, now: Micros) {
        for request in std::mem::take(&mut self.start_requests) {
            let Some(call) = self.calls.get(&request.call) else {
                continue;
            };
            if !call.target.is_some_and(|target| self.is_current(target)) {
                continue;
            }
            let write_deadlines = call
                .attempts
                .iter()
                .map(|attempt_ref| {
                    self.decision_module.write_deadline(
                        now,
                        attempt_ref.message_id,
                        attempt_ref.attempt,
                    )
                })
                .collect::<Option<Vec<_>>>();
            if let Some(write_by) = write_deadlines.and_then(|times| times.into_iter().min()) {
                // sending fails if the call has just ended, which needs no reply
                let _ = request.reply.send(self.clock.instant(write_by));
            }
        }
    }
}
