//! Ends of attempts and messages: what is recorded in the journal, reported to the observer and notified to clients.

use crate::calls::AttemptRef;
use crate::dead_letter_sink::EndReason;
use crate::engine::Engine;
use crate::ingress::Notification;
use crate::journal::{Ending, MessageEnd};
use crate::message::Attempt;
use crate::observer::EngineEvent;
use crate::shared_str::SharedStr;
use crate::transport::AttemptEnd;
use milletturn_policy::{Effect, Event, MessageId, Micros, Outcome};

/// What ended a message, other than the decision module.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum EndOrigin {
    /// The last client of the message disconnected; no notification is needed.
    Client,
    /// A response of an endpoint; the client may have to be notified.
    Endpoint,
}

impl Engine {
    /// Handles the end of an attempt. Reports about unknown calls, and repeated reports about one attempt, are
    /// ignored.
    pub(crate) fn on_attempt_ended(&mut self, end: AttemptEnd) {
        let Some(attempt_ref) = self.finish_position(&end) else {
            return;
        };
        let (message_id, attempt_index) = (attempt_ref.message_id, attempt_ref.attempt);
        let now = self.clock.now();
        let Some(message) = self.messages.get_mut(message_id) else {
            return;
        };
        let Some(attempt) = Attempt::in_flight_at(&mut message.attempts, attempt_index) else {
            return;
        };
        let (endpoint, latency) = (attempt.endpoint, now - attempt.sent_at);
        attempt.finish(end.outcome, latency);
        attempt.may_have_run |= end.ambiguous;
        self.observer.observe(&EngineEvent::AttemptEnded {
            id: &message.item.id,
            uid: &attempt.uid,
            attempt: attempt_index,
            call: end.call,
            cause: end.cause,
            destination: message.destination,
            outcome: end.outcome,
            latency,
            report: &end.report,
            connection_use: end.connection_use,
        });
        if end.outcome.never_ran() && !end.ambiguous && message.open {
            let written = self.journal.record_never_ran(message_id.0, attempt_index);
            self.check_journal(written);
        }
        if end.message_closed {
            if end.outcome == Outcome::Success {
                self.on_delivered(message_id, now);
            }
            self.end(message_id, EndOrigin::Endpoint);
        }
        self.events.push(Event::AttemptEnded {
            message: message_id,
            attempt: attempt_index,
            endpoint,
            outcome: end.outcome,
            latency,
            message_closed: self.messages.get_open(message_id).is_none(),
            report: end.report,
            ambiguous: end.ambiguous,
        });
        self.remove_if_finished(message_id);
    }

    /// Counts one attempt of a call as ended, forgets the call after its last one, and returns which attempt it was.
    /// `None` for an unknown call or position.
    fn finish_position(&mut self, end: &AttemptEnd) -> Option<AttemptRef> {
        let call = self.calls.get_mut(&end.call)?;
        let attempt_ref = *call.attempts.get(end.position)?;
        call.remaining = call.remaining.saturating_sub(1);
        if call.remaining == 0 {
            self.calls.remove(&end.call);
        }
        Some(attempt_ref)
    }

    /// Records the id of a delivered message, so that a repeated submission is recognised, and reports the delivery to
    /// the observer if the message was still open.
    fn on_delivered(&mut self, message_id: MessageId, now: Micros) {
        let Some(message) = self.messages.get(message_id) else {
            return;
        };
        self.delivered.push(message.item.id.clone());
        if message.open {
            self.observer.observe(&EngineEvent::Delivered {
                id: message.item.id.as_str(),
                class: message.class,
                destination: message.destination,
                age: now - message.accepted_at,
            });
        }
    }

    /// Ends a message that needs no further attempt. If an endpoint's response ended the message and notifications of
    /// delivered messages are enabled, the client is notified. The end of a redriven message is recorded for the
    /// dead-letter store, and its client is not notified.
    pub(crate) fn end(&mut self, message_id: MessageId, origin: EndOrigin) {
        let Some(message) = self.messages.get_open_mut(message_id) else {
            return;
        };
        let redriven = message.redriven;
        if redriven || self.notify_delivered && origin == EndOrigin::Endpoint {
            let (ending, reason) = match message.is_delivered() {
                true => (Ending::Delivered, EndReason::Delivered),
                false => (Ending::Failed, EndReason::Rejected),
            };
            let end = MessageEnd {
                ending,
                reason,
                at: self.clock.now(),
            };
            message.end = Some(end);
            let (id, class) = (message.item.id.clone(), message.class);
            let written = self.journal.record_end(message_id.0, end);
            self.check_journal(written);
            if !redriven {
                // no ordering key: an endpoint's response ended the message, so the decision module frees the key once
                // it has handled the ends of the message's attempts, without waiting for an acknowledgement
                self.notify(message_id, id, class, ending, None);
            }
            self.close(message_id);
        } else if self.close(message_id) {
            self.release(message_id);
        }
    }

    /// Marks a message as ended; returns `false` if the message is not open.
    pub(crate) fn close(&mut self, message_id: MessageId) -> bool {
        let closed = self.messages.close(message_id);
        if closed {
            self.remove_if_finished(message_id);
        }
        closed
    }

    /// Removes a message from the table if the message and its attempts have ended, and offers it to the dead-letter
    /// store.
    pub(crate) fn remove_if_finished(&mut self, message_id: MessageId) {
        if let Some(message) = self.messages.take_finished(message_id)
            && message.end.is_some()
        {
            let class = self.classes.name(message.class);
            self.store_ended(message_id, class, message);
        }
    }

    /// Handles the decision module's decision to end a message undelivered: records the end in the journal, and
    /// notifies the client unless the message was redriven.
    pub(crate) fn abandon(&mut self, message_id: MessageId, ending: Ending) {
        let (now, max_attempts) = (self.clock.now(), self.max_attempts);
        let Some(message) = self.messages.get_open_mut(message_id) else {
            return;
        };
        let reason = message.end_reason(ending, now, max_attempts);
        let end = MessageEnd {
            ending,
            reason,
            at: now,
        };
        message.end = Some(end);
        let (id, redriven) = (message.item.id.clone(), message.redriven);
        let (class, ordering_key) = (message.class, message.ordering_key);
        let must_not_run_again = ending == Ending::Failed
            && !redriven
            && message.may_have_run()
            && self.classes.effect(class) == Some(Effect::Unsafe);
        if must_not_run_again {
            self.may_have_run.push(id.clone());
        }
        let event = EngineEvent::Abandoned {
            id: id.as_str(),
            class,
            destination: message.destination,
            ending,
            reason,
            never_attempted: !message.attempts.iter().any(Attempt::was_sent),
            age: now - message.accepted_at,
        };
        let written = self.journal.record_end(message_id.0, end);
        self.check_journal(written);
        self.observer.observe(&event);
        if !redriven {
            self.notify(message_id, id, class, ending, ordering_key);
        }
        self.close(message_id);
    }

    /// Sends a notification. `ordering_key` is given if the next message with that key must wait until this
    /// notification is acknowledged.
    pub(crate) fn notify(
        &mut self,
        message_id: MessageId,
        id: SharedStr,
        class: usize,
        ending: Ending,
        ordering_key: Option<u64>,
    ) {
        if let Some(key) = ordering_key {
            self.unacknowledged_keys.insert(message_id, key);
        }
        // sending fails only when the process ends, because the receiver exists until then
        let _ = self.notifications.send(Notification {
            number: message_id.0,
            id,
            class,
            ending,
        });
    }
}
