//! What becomes of a message behind its end: the journal holds it until its notification is confirmed and the
//! archive has stored it.

use crate::archive::{ArchivedMessage, AttemptRecord};
use crate::engine::Engine;
use crate::ingress::is_internal_class;
use crate::journal::{Ending, MessageEnd};
use crate::message::{Attempt, Message};
use milletturn_policy::{Event, MessageId};

/// What the journal waits for before it releases an ended message: both must be true.
pub(crate) struct PendingRelease {
    /// Its notification is confirmed, or none is due.
    notified: bool,
    /// The archive has stored it.
    archived: bool,
    /// The message itself, while the archive has had no room for it.
    unarchived: Option<Box<ArchivedMessage>>,
}

impl Engine {
    /// A message that had ended before this process started: its notification and its archiving are pending again.
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
        self.archive_ended(message_id, class, message);
    }

    /// Hands a message that has ended, as have its attempts, to the archive if that wants it.
    pub(crate) fn archive_ended(&mut self, message_id: MessageId, class: String, message: Message) {
        let Some(end) = message.end else { return };
        let wanted = !is_internal_class(&class)
            && self
                .archive
                .as_ref()
                .is_some_and(|archive| message.redriven || archive.wants(end.ending));
        // the notification may have been confirmed while an attempt was in flight
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
        let archived = Box::new(archived_message(message_id, class, message, end));
        let unarchived = self.offer_to_archive(archived);
        let pending = PendingRelease {
            notified,
            archived: false,
            unarchived,
        };
        self.pending_release.insert(message_id, pending);
    }

    /// Hands a message to the archive; gives it back while that has no room.
    fn offer_to_archive(&mut self, message: Box<ArchivedMessage>) -> Option<Box<ArchivedMessage>> {
        let archive = self.archive.as_mut()?;
        archive.store(message).err()
    }

    /// Offers the archive once more what it had no room for, the oldest first, until it has none again.
    pub(crate) fn retry_archive(&mut self) {
        let waiting: Vec<MessageId> = self
            .pending_release
            .iter()
            .filter(|(_, pending)| pending.unarchived.is_some())
            .map(|(&message_id, _)| message_id)
            .collect();
        for message_id in waiting {
            let Some(message) = self
                .pending_release
                .get_mut(&message_id)
                .and_then(|pending| pending.unarchived.take())
            else {
                continue;
            };
            let unarchived = self.offer_to_archive(message);
            let archive_is_full = unarchived.is_some();
            if let Some(pending) = self.pending_release.get_mut(&message_id) {
                pending.unarchived = unarchived;
            }
            if archive_is_full {
                return;
            }
        }
    }

    /// The notification of a message is confirmed.
    pub(crate) fn on_notified(&mut self, message_id: MessageId) {
        let has_archive = self.archive.is_some();
        if let Some(key) = self.unconfirmed_keys.remove(&message_id) {
            self.events.push(Event::Notification {
                message: message_id,
                key,
                acknowledged: true,
            });
        }
        if let Some(pending) = self.pending_release.get_mut(&message_id) {
            pending.notified = true;
            self.release_if_settled(message_id);
        } else if has_archive && self.messages.contains(message_id) {
            // an attempt is in flight: the archive gets the message when that ends
            let pending = PendingRelease {
                notified: true,
                archived: false,
                unarchived: None,
            };
            self.pending_release.insert(message_id, pending);
        } else {
            self.release(message_id);
        }
    }

    /// The archive has stored a message.
    pub(crate) fn on_archived(&mut self, message_id: MessageId) {
        if let Some(pending) = self.pending_release.get_mut(&message_id) {
            pending.archived = true;
            self.release_if_settled(message_id);
        }
    }

    fn release_if_settled(&mut self, message_id: MessageId) {
        if self
            .pending_release
            .get(&message_id)
            .is_some_and(|pending| pending.notified && pending.archived)
        {
            self.pending_release.remove(&message_id);
            self.release(message_id);
        }
    }

    /// Lets the journal drop a message of which nothing is due any more; what can't be written is tried again.
    pub(crate) fn release(&mut self, message_id: MessageId) {
        let written = self.journal.record_finished(message_id.0);
        self.check_journal(written);
    }
}

/// A message as the archive gets it.
fn archived_message(
    message_id: MessageId,
    class: String,
    message: Message,
    end: MessageEnd,
) -> ArchivedMessage {
    let attempts = message
        .attempts
        .iter()
        .skip(message.prior_attempts)
        .map(attempt_record)
        .collect();
    ArchivedMessage {
        number: message_id.0,
        id: message.item.id,
        key: message.item.key,
        class,
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
