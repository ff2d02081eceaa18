//! Recovery from the journal: a new engine resumes the unfinished messages of an earlier process.

use crate::engine::Engine;
use crate::journal::{Accepted, AttemptStarted, RecentlyEnded, Unfinished};
use crate::message::{Attempt, Message};
use crate::observer::EngineEvent;
use crate::shared_str::SharedStr;
use crate::transport::CallItem;
use milletturn_policy::{
    Class, Effect, EndpointId, Event, MessageId, Micros, NewMessage, PastAttempt, SECOND,
};

/// Latency objective and deadline, in microseconds, of a class that the settings no longer have. Each message of the
/// class has its own deadline from the journal, so these values affect only the priority of these messages relative to
/// others and the random delay of the first calls after a restart.
const REMOVED_CLASS_TIME: Micros = 20 * SECOND;

impl Engine {
    /// Remembers the ids of messages that must not run again, which the journal keeps for some time after their end.
    pub(crate) fn remember_recently_ended(&mut self) {
        for ended in self.journal.recently_ended() {
            self.remember_ended(&ended);
        }
    }

    /// Remembers the id of a message that must not run again.
    pub(crate) fn remember_ended(&mut self, ended: &RecentlyEnded) {
        let Ok(id) = SharedStr::new(ended.id.as_bytes()) else {
            return;
        };
        match ended.is_delivered {
            true => self.delivered.push(id),
            false => self.may_have_run.push(id),
        }
    }

    /// Resumes the messages in the journal. Open messages are passed to the decision module. For ended messages, the
    /// client is notified again, and the message is offered to the dead-letter store again.
    pub(crate) fn resume_unfinished(&mut self) {
        let unfinished = self.journal.unfinished();
        let now = self.clock.now();
        for (number, unfinished) in unfinished {
            self.messages.advance_past(number);
            self.resume_message(MessageId(number), unfinished, now);
        }
    }

    /// Resumes one message; a message with an invalid id or key is skipped.
    fn resume_message(&mut self, message_id: MessageId, mut unfinished: Unfinished, now: Micros) {
        let ended = unfinished.end.and_then(|_| unfinished.recently_ended());
        let Some(item) = recovered_item(&mut unfinished.accepted) else {
            return;
        };
        if let Some(ended) = ended {
            self.remember_ended(&ended);
        }
        let accepted = unfinished.accepted;
        let class = self.recovered_class(&accepted);
        let past_attempts: Vec<PastAttempt> = unfinished
            .attempts
            .iter()
            .map(|sent| self.past_attempt(sent, now))
            .collect();
        let (destination, deadline) = (accepted.destination, accepted.deadline);
        let mut message = Message {
            attempts: prior_attempts(&past_attempts, &unfinished.attempts),
            redriven: unfinished.redriven,
            prior_attempts: unfinished.prior_attempts,
            ordering_key: accepted.ordering_key(),
            ..Message::new(item, class, destination, accepted.accepted_at, deadline)
        };
        if let Some(end) = unfinished.end {
            (message.open, message.end) = (false, Some(end));
            self.resume_ended(message_id, accepted.class, message, end);
            return;
        }
        let new_message = NewMessage {
            key: message.ordering_key,
            tenant: accepted
                .tenant
                .as_deref()
                .and_then(|name| self.decision_module.tenant_index(name)),
            deferred: unfinished.redriven,
            ..NewMessage::new(message_id, class, destination, deadline - now)
        };
        self.events.push(Event::Resumed {
            message: new_message,
            attempts: past_attempts,
        });
        if unfinished.redriven {
            self.messages.insert(message_id, message);
        } else {
            self.messages.insert_with_id(message_id, message);
        }
    }

    /// Converts an attempt from the journal into the decision module's form.
    fn past_attempt(&self, sent: &AttemptStarted, now: Micros) -> PastAttempt {
        PastAttempt {
            endpoint: self
                .endpoints
                .by_uid(&sent.uid)
                // the endpoint is no longer listed; the decision module treats its zone as unknown
                .unwrap_or(EndpointId(u32::MAX)),
            // an attempt in the future means that the clock was set back: how much of the key's deduplication window
            // has passed is unknown, and time 0 makes the window count as over
            sent_at: if sent.sent_at > now { 0 } else { sent.sent_at },
            may_have_run: !sent.never_ran,
        }
    }

    /// The position of a recovered message's class. If the current settings lack the class, or give it another
    /// effect, the message keeps the effect under which it was accepted.
    fn recovered_class(&mut self, accepted: &Accepted) -> usize {
        match accepted.effect {
            Some(effect) => {
                self.class_with_effect(&accepted.class, effect, accepted.subject.is_some())
            }
            None => self.classes.position(&accepted.class),
        }
    }

    /// The position of the class with this name, and with this effect whatever effect the current settings give it. If
    /// the settings lack the class, its messages are ordered if `ordered_if_removed`.
    pub(crate) fn class_with_effect(
        &mut self,
        name: &str,
        effect: Effect,
        ordered_if_removed: bool,
    ) -> usize {
        let position = self.classes.position(name);
        let present = self.classes.all().get(position).cloned();
        if present.as_ref().map(|class| class.effect) == Some(effect) {
            return position;
        }
        let removed_class = || Class {
            ordered: ordered_if_removed,
            ..Class::new(name, effect, REMOVED_CLASS_TIME, REMOVED_CLASS_TIME)
        };
        let class = Class {
            effect,
            ..present.unwrap_or_else(removed_class)
        };
        let (position, is_new) = self.classes.add_recovered(&class);
        if is_new {
            self.decision_module.add_class(class);
            self.observer
                .observe(&EngineEvent::Classes(self.classes.names()));
        }
        position
    }
}

/// Moves the id, key and body of a message from the journal into a call item; `None` if the id or key is invalid.
fn recovered_item(accepted: &mut Accepted) -> Option<CallItem> {
    let id = SharedStr::new(accepted.id.as_bytes()).ok()?;
    let key = accepted
        .key
        .as_deref()
        .map(|key| SharedStr::new(key.as_bytes()))
        .transpose()
        .ok()?;
    let body = std::mem::take(&mut accepted.body);
    Some(CallItem { id, key, body })
}

/// The engine's form of the attempts from the journal, in the same order.
fn prior_attempts(past: &[PastAttempt], sent: &[AttemptStarted]) -> Vec<Attempt> {
    past.iter()
        .zip(sent)
        .map(|(past, sent)| {
            Attempt::prior(past.endpoint, &sent.uid, past.sent_at, past.may_have_run)
        })
        .collect()
}
