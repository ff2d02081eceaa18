//! Retention of messages that have ended: the journal holds each one until its notification is acknowledged and the
//! dead-letter store has stored it.

use crate::dead_letter_sink::{AttemptRecord, EndedMessage};
use crate::engine::Engine;
use crate::ingress::is_internal_class;
use crate::journal::{Ending, MessageEnd};
use crate::message::{Attempt, Message};
use milletturn_policy::{Effect, Event, MessageId};

/// Progress of an ended message that the journal must still hold. The journal may drop the message once `notified` and
/// `stored` are both true.
pub(crate) struct PendingRelease {
    /// The message's notification is acknowledged, or none is needed.
    notified: bool,
    /// The dead-letter store has stored the message.
    stored: bool,
    /// The message, while the dead-letter store has no capacity for it; `None` before the message is offered to the
    /// store and after the store has taken it.
    unstored: Option<Box<EndedMessage>>,
}

impl Engine {
    /// Resumes a message that had ended before this process started: notifies its client again and offers the message
    /// to the dead-letter store again.
    pub(crate) fn resume_ended(
        &mut self,
        message_id: MessageId,
        class: String,
        message: Message,
        end: MessageEnd,
    ) {
        if !message.redriven && (end.ending != Ending::Delivered || self.notify_delivered) {
            let ordering_key = message.ordering_key;
            if let Some(key) = ordering_key {
                self.events.push(Event::Notification {
                    message: message_id,
                    key,
                    acknowledged: false,
                });
            }
            let id = message.item.id.clone();
            self.notify(message_id, id, message.class, end.ending, ordering_key);
        }
        self.store_ended(message_id, class, message);
    }

    /// Offers a message to the dead-letter store if the message was redriven or the store keeps messages with its
    /// ending, but never a message of an internal class. Any other message may be dropped from the journal once its
    /// notification is acknowledged. The message and its attempts must have ended.
    pub(crate) fn store_ended(&mut self, message_id: MessageId, class: String, message: Message) {
        let Some(end) = message.end else { return };
        let wanted = !is_internal_class(&class)
            && self
                .dead_letters
                .as_ref()
                .is_some_and(|sink| message.redriven || sink.should_store(end.ending));
        // the notification may have been acknowledged while an attempt was in flight
        let notified = message.redriven
            || self
                .pending_release
                .remove(&message_id)
                .is_some_and(|pending| pending.notified);
        if !wanted {
            if notified {
                self.release(message_id);
            }
            return;
        }
        let effect = self.classes.effect(message.class);
        let ended = Box::new(ended_message(message_id, class, effect, message, end));
        let unstored = self.offer_to_store(ended);
        let pending = PendingRelease {
            notified,
            stored: false,
            unstored,
        };
        self.pending_release.insert(message_id, pending);
    }

    /// Passes a message to the dead-letter store; returns the message if the store has no capacity.
    fn offer_to_store(&mut self, message: Box<EndedMessage>) -> Option<Box<EndedMessage>> {
        let sink = self.dead_letters.as_mut()?;
        sink.store(message).err()
    }

    /// Retries the messages that the dead-letter store rejected for lack of capacity, oldest first, until it rejects
    /// one.
    pub(crate) fn retry_store(&mut self) {
        let unstored_ids: Vec<MessageId> = self
            .pending_release
            .iter()
            .filter(|(_, pending)| pending.unstored.is_some())
            .map(|(&message_id, _)| message_id)
            .collect();
        for message_id in unstored_ids {
            let Some(message) = self
                .pending_release
                .get_mut(&message_id)
                .and_then(|pending| pending.unstored.take())
            else {
                continue;
            };
            let unstored = self.offer_to_store(message);
            let store_is_full = unstored.is_some();
            if let Some(pending) = self.pending_release.get_mut(&message_id) {
                pending.unstored = unstored;
            }
            if store_is_full {
                return;
            }
        }
    }

    /// Handles the acknowledgement of a message's notification.
    pub(crate) fn on_notified(&mut self, message_id: MessageId) {
        let has_store = self.dead_letters.is_some();
        if let Some(key) = self.unacknowledged_keys.remove(&message_id) {
            self.events.push(Event::Notification {
                message: message_id,
                key,
                acknowledged: true,
            });
        }
        if let Some(pending) = self.pending_release.get_mut(&message_id) {
            pending.notified = true;
            self.release_if_complete(message_id);
        } else if has_store && self.messages.contains(message_id) {
            // an attempt is in flight: the message is offered to the dead-letter store when that attempt ends
            let pending = PendingRelease {
                notified: true,
                stored: false,
                unstored: None,
            };
            self.pending_release.insert(message_id, pending);
        } else {
            self.release(message_id);
        }
    }

    /// Handles the dead-letter store's report that it has stored a message.
    pub(crate) fn on_stored(&mut self, message_id: MessageId) {
        if let Some(pending) = self.pending_release.get_mut(&message_id) {
            pending.stored = true;
            self.release_if_complete(message_id);
        }
    }

    fn release_if_complete(&mut self, message_id: MessageId) {
        if self
            .pending_release
            .get(&message_id)
            .is_some_and(|pending| pending.notified && pending.stored)
        {
            self.pending_release.remove(&message_id);
            self.release(message_id);
        }
    }

    /// Lets the journal drop a message that needs no further work. If the entry can't be written, the journal retries
    /// it later.
    pub(crate) fn release(&mut self, message_id: MessageId) {
        let written = self.journal.record_finished(message_id.0);
        self.check_journal(written);
    }
}

/// Converts a message into the form in which the dead-letter store receives it.
fn ended_message(
    message_id: MessageId,
    class: String,
    effect: Option<Effect>,
    message: Message,
    end: MessageEnd,
) -> EndedMessage {
    let attempts = message
        .attempts
        .iter()
        .skip(message.prior_attempts)
        .map(attempt_record)
        .collect();
    EndedMessage {
        number: message_id.0,
        id: message.item.id,
        key: message.item.key,
        class,
        effect,
        destination: message.destination,
        body: message.item.body,
        accepted_at: message.accepted_at,
        deadline: message.deadline,
        ended_at: end.at,
        ending: end.ending,
        reason: end.reason,
        attempts,
        redriven: message.redriven,
    }
}

fn attempt_record(attempt: &Attempt) -> AttemptRecord {
    AttemptRecord {
        uid: attempt.uid.to_string(),
        sent_at: attempt.sent_at,
        outcome: attempt.outcome,
        latency: attempt.latency,
        may_have_run: attempt.may_have_run,
    }
}
