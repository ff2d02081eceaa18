//! Messages that clients submit: admission, the journal entry and the reply to the client.

use crate::endings::EndOrigin;
use crate::engine::Engine;
use crate::ingress::{Arrival, ArrivalOutcome};
use crate::journal::Accepted;
use crate::message::Message;
use crate::observer::EngineEvent;
use crate::shared_str::{SharedStr, stable_hash};
use crate::transport::CallItem;
use milletturn_policy::{Action, Event, MessageId, Micros, NewMessage};
use tokio::sync::oneshot;

/// A message that arrived since the last turn; its client is waiting for the outcome.
pub(crate) struct PendingArrival {
    arrival: Arrival,
    /// When the client submitted the message, in the decision module's time (microseconds).
    submitted_at: Micros,
}

/// Another submission of a message that is already open; its client is waiting for the outcome too.
pub(crate) struct DuplicateArrival {
    message_id: MessageId,
    id: SharedStr,
    reply: oneshot::Sender<ArrivalOutcome>,
}

impl Engine {
    /// Handles a submission. A new message is admitted and passed to the decision module in the next turn, or rejected
    /// if too many messages are open. A submission that repeats an open message gets its reply in the next turn; one
    /// that repeats a message which has ended recently, and must not run again, gets its reply at once.
    pub(crate) fn on_arrival(&mut self, arrival: Arrival) {
        // a dropped receiver means that the client disconnected: the server also reports that by
        // `Input::ClientDisconnected`, so failures to send a reply are ignored below
        if let Some(message_id) = self.messages.find(&arrival.id) {
            if let Some(message) = self.messages.get_mut(message_id) {
                message.clients += 1;
            }
            self.duplicates.push(DuplicateArrival {
                message_id,
                id: arrival.id,
                reply: arrival.reply,
            });
        } else if self.delivered.contains(&arrival.id) {
            let _ = arrival.reply.send(ArrivalOutcome::AlreadyDelivered);
        } else if self.may_have_run.contains(&arrival.id) {
            let _ = arrival.reply.send(ArrivalOutcome::Failed);
        } else if self.messages.open_count() >= self.max_open_messages {
            let outcome = ArrivalOutcome::Rejected { retry_after: None };
            self.observe_rejected(
                arrival.id.as_str(),
                arrival.class,
                arrival.destination,
                outcome,
            );
            let _ = arrival.reply.send(outcome);
        } else {
            self.admit(arrival);
        }
    }

    fn admit(&mut self, arrival: Arrival) {
        let message_id = self.messages.allocate();
        let submitted_at = self.clock.at(arrival.submitted_at);
        let deadline = submitted_at + arrival.time_to_live;
        let ordering_key = arrival
            .subject
            .as_ref()
            .map(|subject| stable_hash(subject.as_str().as_bytes()));
        let (class, destination) = (arrival.class, arrival.destination);
        let new_message = NewMessage {
            key: ordering_key,
            tenant: arrival
                .tenant
                .as_ref()
                .and_then(|name| self.decision_module.tenant_index(name.as_str())),
            resubmitted: arrival.resubmitted,
            from_lost_sender: arrival.from_lost_sender,
            ..NewMessage::new(message_id, class, destination, deadline - self.clock.now())
        };
        self.events.push(Event::Accepted(new_message));
        let item = CallItem {
            id: arrival.id.clone(),
            key: arrival.key.clone(),
            body: arrival.body.clone(),
        };
        let message = Message {
            ordering_key,
            ..Message::new(item, class, destination, submitted_at, deadline)
        };
        self.messages.insert_with_id(message_id, message);
        let pending = PendingArrival {
            arrival,
            submitted_at,
        };
        self.arrivals.insert(message_id, pending);
    }

    /// Handles the disconnection of a client before it received the outcome of its message. The message is dropped when
    /// no other client waits for it, unless it may have run: its client may submit it again, and it must be known then.
    pub(crate) fn on_client_disconnected(&mut self, id: &SharedStr) {
        let Some(message_id) = self.messages.find(id) else {
            return;
        };
        let Some(message) = self.messages.get_mut(message_id) else {
            return;
        };
        message.clients = message.clients.saturating_sub(1);
        if message.clients == 0 && !message.may_have_run() {
            self.events.push(Event::MessageCancelled(message_id));
            self.end(message_id, EndOrigin::Client);
        }
    }

    /// Replies to the clients whose messages arrived since the last turn. A client is told that its message is accepted
    /// only after the journal has recorded the message. A message that the decision module ends in the turn of its
    /// arrival is not accepted.
    pub(crate) fn reply_to_arrivals(&mut self, actions: &[Action]) {
        for (message_id, pending) in std::mem::take(&mut self.arrivals) {
            let ended_at_once = outcome_in(actions, message_id);
            // a message is no longer open if its client has disconnected
            if let Some(message) = self.messages.get_open(message_id) {
                let ordering_key = message.ordering_key;
                self.reply_to_arrival(message_id, ordering_key, pending, ended_at_once);
            }
        }
        for duplicate in std::mem::take(&mut self.duplicates) {
            let is_open = self.messages.get_open(duplicate.message_id).is_some();
            let _ = duplicate.reply.send(match is_open {
                true => ArrivalOutcome::Accepted,
                false if self.delivered.contains(&duplicate.id) => ArrivalOutcome::AlreadyDelivered,
                false => ArrivalOutcome::Rejected { retry_after: None },
            });
        }
    }

    fn reply_to_arrival(
        &mut self,
        message_id: MessageId,
        ordering_key: Option<u64>,
        pending: PendingArrival,
        ended_at_once: Option<ArrivalOutcome>,
    ) {
        // the reply itself reports this end to the client. No notification follows, so the decision module is told at
        // once that the end is acknowledged, which frees the ordering key
        let notified_key = ordering_key.filter(|_| ended_at_once.is_some());
        self.events
            .extend(notified_key.map(|key| Event::Notification {
                message: message_id,
                key,
                acknowledged: true,
            }));
        let outcome = ended_at_once.unwrap_or_else(|| self.record_accepted(message_id, &pending));
        let PendingArrival {
            arrival,
            submitted_at: at,
        } = pending;
        let (class, destination) = (arrival.class, arrival.destination);
        self.observer.observe(&match outcome {
            ArrivalOutcome::Accepted => EngineEvent::Accepted {
                id: arrival.id.as_str(),
                class,
                destination,
                at,
            },
            _ => EngineEvent::Rejected {
                id: arrival.id.as_str(),
                class,
                destination,
                at,
                outcome,
            },
        });
        if outcome != ArrivalOutcome::Accepted {
            self.close(message_id);
            if outcome == ArrivalOutcome::NoCapacity {
                self.events.push(Event::MessageCancelled(message_id));
            }
        }
        // if this fails, the client has disconnected, which the server reports
        let _ = arrival.reply.send(outcome);
    }

    /// Records an arrival in the journal, and returns the reply for the client: accepted, or no capacity if the entry
    /// could not be written.
    fn record_accepted(
        &mut self,
        message_id: MessageId,
        pending: &PendingArrival,
    ) -> ArrivalOutcome {
        let arrival = &pending.arrival;
        let accepted = Accepted {
            id: arrival.id.to_string(),
            key: arrival.key.as_ref().map(SharedStr::to_string),
            class: self.classes.name(arrival.class),
            effect: self.classes.effect(arrival.class),
            subject: arrival.subject.as_ref().map(SharedStr::to_string),
            tenant: arrival.tenant.as_ref().map(SharedStr::to_string),
            destination: arrival.destination,
            accepted_at: pending.submitted_at,
            deadline: pending.submitted_at + arrival.time_to_live,
            body: arrival.body.clone(),
        };
        let written = self.journal.record_accepted(message_id.0, accepted);
        if self.check_journal(written) {
            ArrivalOutcome::Accepted
        } else {
            ArrivalOutcome::NoCapacity
        }
    }

    /// Reports a rejection to the observer, with the current time.
    pub(crate) fn observe_rejected(
        &mut self,
        id: &str,
        class: usize,
        destination: u64,
        outcome: ArrivalOutcome,
    ) {
        let at = self.clock.now();
        self.observer.observe(&EngineEvent::Rejected {
            id,
            class,
            destination,
            at,
            outcome,
        });
    }
}

/// How the decision module ended a message in the turn of its arrival; `None` if the message stays open.
fn outcome_in(actions: &[Action], message_id: MessageId) -> Option<ArrivalOutcome> {
    actions.iter().find_map(|action| match action {
        Action::Reject {
            message,
            retry_after,
        } if *message == message_id => Some(ArrivalOutcome::Rejected {
            retry_after: *retry_after,
        }),
        Action::Fail(message) if *message == message_id => Some(ArrivalOutcome::Failed),
        _ => None,
    })
}
