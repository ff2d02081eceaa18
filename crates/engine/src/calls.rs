//! Calls to endpoints: attempts are gathered into bundles, and each bundle becomes one call of the transport.

use crate::engine::Engine;
use crate::message::Attempt;
use crate::observer::EngineEvent;
use crate::transport::Call;
use milletturn_policy::{Effect, EndpointId, Event, MessageId, Micros, Outcome};
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

/// One attempt of one message. A snapshot holds it in this form.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct AttemptRef {
    /// The message.
    pub message_id: MessageId,
    /// The attempt's place among those of the message.
    pub attempt: usize,
}

/// A call in flight.
pub(crate) struct OutstandingCall {
    /// Takes the positions in the call that are cancelled.
    pub cancellations: mpsc::UnboundedSender<usize>,
    /// The attempt at each position.
    pub attempts: Vec<AttemptRef>,
    /// How many of them have not ended.
    pub remaining: usize,
}

/// Attempts of one turn to one endpoint that share a call.
pub(crate) struct Bundle {
    endpoint: EndpointId,
    /// The earliest expiry among them: they share one fate, and an answer behind that counts for none.
    expires: Micros,
    attempts: Vec<AttemptRef>,
    size_bytes: usize,
}

impl Bundle {
    /// Joins the first bundle to the same endpoint that has room, or becomes the last of the bundles.
    fn join(self, bundles: &mut Vec<Bundle>, max_attempts: usize, max_bytes: usize) {
        let fitting = bundles.iter_mut().find(|bundle| {
            bundle.endpoint == self.endpoint
                && bundle.attempts.len() < max_attempts
                && bundle.size_bytes + self.size_bytes <= max_bytes
        });
        match fitting {
            Some(bundle) => {
                bundle.attempts.extend(self.attempts);
                bundle.expires = bundle.expires.min(self.expires);
                bundle.size_bytes += self.size_bytes;
            }
            None => bundles.push(self),
        }
    }
}

/// A call that asks whether it may still start.
pub(crate) struct StartRequest {
    /// The number of the call.
    pub call: u64,
    /// Gets the time by which its last byte must be written.
    pub reply: oneshot::Sender<Instant>,
}

impl Engine {
    /// Starts an attempt: the journal gets it first, then it joins a bundle. One that the journal can't take, or
    /// whose endpoint is not listed any more, ends as never sent.
    pub(crate) fn send(
        &mut self,
        now: Micros,
        message_id: MessageId,
        endpoint: EndpointId,
        expires: Micros,
        bundles: &mut Vec<Bundle>,
    ) {
        let Some(message) = self.messages.get_mut(message_id) else {
            return;
        };
        let attempt = message.attempts.len();
        let route = self.endpoints.route(endpoint);
        let (uid, bundle_max) = route
            .map(|route| (route.uid.clone(), route.bundle_max))
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
        if bundle_max == 0 {
            return self.finish_unsent(attempt_ref, endpoint);
        }
        // a message that is not open was dropped in this very turn
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
        let single = Bundle {
            endpoint,
            expires,
            attempts: vec![attempt_ref],
            size_bytes,
        };
        single.join(bundles, bundle_max, max_call_bytes);
    }

    /// Ends an attempt that never left: the decision module hears of it in a turn of its own.
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
        let closed = !message.open;
        self.events.push(Event::AttemptEnded {
            message: message_id,
            attempt,
            endpoint,
            outcome,
            latency: 0,
            message_closed: closed,
            report: Vec::new(),
            ambiguous: false,
        });
        self.remove_if_finished(message_id);
    }

    /// Makes one call of a bundle.
    pub(crate) fn start_call(&mut self, bundle: Bundle) {
        let number = self.next_call;
        self.next_call += 1;
        let route = self.endpoints.route(bundle.endpoint);
        let Some(address) = route.map(|route| route.address) else {
            for attempt_ref in bundle.attempts {
                self.finish_unsent(attempt_ref, bundle.endpoint);
            }
            return;
        };
        // positions in the call and in `attempts` must agree, or outcomes would go to other messages
        let (mut items, mut attempts) = (Vec::new(), Vec::new());
        let mut at_most_once = false;
        for attempt_ref in bundle.attempts {
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
            cancellations,
            remaining: attempts.len(),
            attempts,
        };
        self.calls.insert(number, outstanding);
        let call = Call {
            number,
            endpoint: bundle.endpoint,
            address,
            items,
            at_most_once,
            expires: self.clock.instant(bundle.expires),
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
            // a call that has just ended reports its outcome anyway
            let _ = call.cancellations.send(attempt.position);
        }
    }

    /// Tells the calls that ask whether they may still start. The attempts of a call start together: one that must
    /// not start keeps the others from it.
    pub(crate) fn answer_start_requests(&mut self, now: Micros) {
        for request in std::mem::take(&mut self.start_requests) {
            let Some(call) = self.calls.get(&request.call) else {
                continue;
            };
            let latest_ends = call
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
            if let Some(write_by) = latest_ends.and_then(|times| times.into_iter().min()) {
                // a call that has just ended needs no reply
                let _ = request.reply.send(self.clock.instant(write_by));
            }
        }
    }
}
