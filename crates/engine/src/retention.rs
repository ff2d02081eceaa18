//! Retention of messages that have ended: the journal holds each one until its notification is confirmed and the
//! archive has stored it.

use crate::archive::{ArchivedMessage, AttemptRecord};
use crate::engine::Engine;
use crate::ingress::is_internal_class;
use crate::journal::{Ending, MessageEnd};
use crate::message::{Attempt, Message};
use milletturn_policy::{Event, MessageId};

/// What must still happen before the journal may drop an ended message: `notified` and `archived` must both be true.
pub(crate) struct PendingRelease {
    /// The message's notification is confirmed, or none is needed.
    notified: bool,
    /// The archive has stored the message.
    archived: bool,
    /// The message itself, until the archive has capacity to take it.
    unarchived: Option<Box<ArchivedMessage>>,
}

impl Engine {
    /// Resumes a message that had ended before this process started: notifies its client again and offers the message
    /// to the archive again.
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

    /// Offers a message to the archive if the archive wants it. The message and its attempts must have ended.
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

    /// Passes a message to the archive; returns the message if the archive has no capacity.
    fn offer_to_archive(&mut self, message: Box<ArchivedMessage>) -> Option<Box<ArchivedMessage>> {
        let archive = self.archive.as_mut()?;
        archive.store(message).err()
    }

    /// Offers the messages again that the archive had no capacity for, oldest first, until the archive rejects one.
    pub(crate) fn retry_archive(&mut self) {
        let unarchived_ids: Vec<MessageId> = self
            .pending_release
            .iter()
            .filter(|(_, pending)| pending.unarchived.is_some())
            .map(|(&message_id, _)| message_id)
            .collect();
        for message_id in unarchived_ids {
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

    /// Handles the confirmation of a message's notification.
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
            self.release_if_complete(message_id);
        } else if has_archive && self.messages.contains(message_id) {
            // an attempt is in flight: the message is offered to the archive when that attempt ends
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

    /// Handles the archive's report that it has stored a message.
    pub(crate) fn on_archived(&mut self, message_id: MessageId) {
        if let Some(pending) = self.pending_release.get_mut(&message_id) {
            pending.archived = true;
            self.release_if_complete(message_id);
        }
    }

    fn release_if_complete(&mut self, message_id: MessageId) {
        if self
            .pending_release
            .get(&message_id)
            .is_some_and(|pending| pending.notified && pending.archived)
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

/// Converts a message into the form in which the archive stores it.
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
