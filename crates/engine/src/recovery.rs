//! The start of an engine from its journal: unfinished messages of an earlier process go on.

use crate::engine::Engine;
use crate::journal::{Accepted, AttemptStarted, Unfinished};
use crate::message::{Attempt, Message};
use crate::shared_str::SharedStr;
use crate::transport::CallItem;
use milletturn_policy::{
    Class, EndpointId, Event, MessageId, Micros, NewMessage, PastAttempt, SECOND,
};

/// Latency objective and longest delivery of a class that the settings no longer have, in microseconds. They only
/// order its messages among others, as each of them has a deadline of its own.
const REMOVED_CLASS_TIME: Micros = 20 * SECOND;

impl Engine {
    /// Resumes what the journal holds: open messages go back to the decision module, and for ended ones the
    /// notification and the archiving are pending again.
    pub(crate) fn resume_unfinished(&mut self) {
        let unfinished = self.journal.unfinished();
        let now = self.clock.now();
        for (number, unfinished) in unfinished {
            self.messages.advance_past(number);
            self.resume_message(MessageId(number), unfinished, now);
        }
    }

    /// Resumes one message; one whose id or key is not valid is skipped.
    fn resume_message(&mut self, message_id: MessageId, mut unfinished: Unfinished, now: Micros) {
        let Some(item) = recovered_item(&mut unfinished.accepted) else {
            return;
        };
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

    /// An attempt from the journal, as the decision module takes it.
    fn past_attempt(&self, sent: &AttemptStarted, now: Micros) -> PastAttempt {
        PastAttempt {
            endpoint: self
                .endpoints
                .by_uid(&sent.uid)
                .unwrap_or(EndpointId(u32::MAX)),
            // after a clock was set back, nothing is known of a key's window
            sent: if sent.sent_at > now { 0 } else { sent.sent_at },
            may_have_run: !sent.never_ran,
        }
    }

    /// The position of a recovered message's class. Where the class's name means another effect now, or nothing,
    /// the message keeps the effect under which it was accepted.
    fn recovered_class(&mut self, accepted: &Accepted) -> usize {
        let position = self.classes.position(&accepted.class);
        let present = self.classes.all().get(position).cloned();
        let Some(effect) = accepted
            .effect
            .filter(|effect| present.as_ref().map(|class| class.effect) != Some(*effect))
        else {
            return position;
        };
        let ordered = accepted.subject.is_some();
        let removed_class = || Class {
            ordered,
            ..Class::new(
                &accepted.class,
                effect,
                REMOVED_CLASS_TIME,
                REMOVED_CLASS_TIME,
            )
        };
        let class = Class {
            effect,
            ..present.unwrap_or_else(removed_class)
        };
        let (position, is_new) = self.classes.add_recovered(&class);
        if is_new {
            self.decision_module.add_class(class);
        }
        position
    }
}

/// What calls carry of a message from the journal, whose body is taken out; `None` if its id or key is not valid.
fn recovered_item(accepted: &mut Accepted) -> Option<CallItem> {
    let id = SharedStr::new(accepted.id.as_bytes()).ok()?;
    let key = accepted
        .key
        .as_deref()
        .map(|key| SharedStr::new(key.as_bytes()))
        .transpose()
        .ok()?;
    let body = std::mem::take(&mut accepted.body).into();
    Some(CallItem { id, key, body })
}

/// The engine's records of attempts from the journal, in the same order.
fn prior_attempts(past: &[PastAttempt], sent: &[AttemptStarted]) -> Vec<Attempt> {
    past.iter()
        .zip(sent)
        .map(|(past, sent)| Attempt::prior(past.endpoint, &sent.uid, past.sent, past.may_have_run))
        .collect()
}
