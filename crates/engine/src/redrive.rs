//! Redrives: archived messages that come back to be delivered once more.

use crate::archive::{RedriveOrder, RedriveOutcome, RedriveRequest, UncertainAttempt};
use crate::engine::Engine;
use crate::journal::{Accepted, AttemptStarted};
use crate::message::{Attempt, Message};
use crate::transport::CallItem;
use milletturn_policy::{
    EndpointId, Event, MILLISECOND, MessageId, Micros, NewMessage, PastAttempt,
};

/// Redrives take up at most this part of the messages that may be open: one in so many.
const REDRIVE_SHARE: usize = 8;
/// No redrive is accepted while more than this part of the messages that may be open is: one in so many. Fresh
/// messages come first.
const BUSY_SHARE: usize = 2;
/// A redrive with less time than this before its key's window ends would arrive behind it: the decision module's
/// own margin, and the way of a call. In microseconds.
const MIN_TIME_TO_DELIVER: Micros = 100 * MILLISECOND;

impl Engine {
    /// An archived message is to be redriven.
    pub(crate) fn on_redrive(&mut self, request: RedriveRequest) {
        let outcome = self.redrive(request.order);
        // a caller that no longer waits finds the message where the journal has it
        let _ = request.reply.send(outcome);
    }

    fn redrive(&mut self, order: RedriveOrder) -> RedriveOutcome {
        let message_id = MessageId(order.number);
        if self.messages.contains(message_id) || self.pending_release.contains_key(&message_id) {
            return RedriveOutcome::InFlight;
        }
        let max_redrives = (self.max_open_messages / REDRIVE_SHARE).max(1);
        let busy_from = self.max_open_messages.div_ceil(BUSY_SHARE);
        if self.messages.open_redrives() >= max_redrives || self.messages.open_count() >= busy_from
        {
            return RedriveOutcome::Busy;
        }
        let class = self.classes.position(&order.class);
        let now = self.clock.now();
        let Some(deadline) = self.redrive_deadline(class, order.uncertain_attempt.as_ref(), now)
        else {
            return RedriveOutcome::TooLate;
        };
        let accepted = Accepted {
            id: order.id.to_string(),
            key: order.key.as_ref().map(ToString::to_string),
            class: order.class,
            effect: self.classes.effect(class),
            // redriven long after its turn: it stands in no other message's way
            subject: None,
            tenant: None,
            destination: order.destination,
            accepted_at: now,
            deadline,
            body: order.body.to_vec(),
        };
        let uncertain = order.uncertain_attempt.map(|attempt| AttemptStarted {
            uid: attempt.uid,
            sent_at: attempt.sent_at,
            never_ran: false,
        });
        let written = self
            .journal
            .record_redrive(message_id.0, accepted, uncertain.clone());
        if !self.check_journal(written) {
            return RedriveOutcome::NoCapacity;
        }
        let item = CallItem {
            id: order.id,
            key: order.key,
            body: order.body,
        };
        let message = Message::new(item, class, order.destination, now, deadline);
        self.resume_redriven(message_id, message, uncertain);
        RedriveOutcome::Accepted
    }

    /// Adds a message that the journal holds as redriven, and tells the decision module of it.
    fn resume_redriven(
        &mut self,
        message_id: MessageId,
        mut message: Message,
        uncertain: Option<AttemptStarted>,
    ) {
        let mut past_attempts = Vec::new();
        if let Some(sent) = uncertain {
            let endpoint = self
                .endpoints
                .by_uid(&sent.uid)
                .unwrap_or(EndpointId(u32::MAX));
            message
                .attempts
                .push(Attempt::prior(endpoint, &sent.uid, sent.sent_at, true));
            past_attempts.push(PastAttempt {
                endpoint,
                sent: sent.sent_at,
                may_have_run: true,
            });
        }
        message.redriven = true;
        message.prior_attempts = past_attempts.len();
        message.clients = 0;
        let time_left = message.deadline - message.accepted_at;
        let new_message = NewMessage {
            deferred: true,
            ..NewMessage::new(message_id, message.class, message.destination, time_left)
        };
        self.messages.insert(message_id, message);
        self.events.push(Event::Resumed {
            message: new_message,
            attempts: past_attempts,
        });
    }

    /// When a redrive would expire; `None` for a class that is not known any more, or where the key's window ends
    /// before anything could arrive.
    fn redrive_deadline(
        &self,
        class: usize,
        uncertain_attempt: Option<&UncertainAttempt>,
        now: Micros,
    ) -> Option<Micros> {
        let max_time = self.classes.deadline(class)?;
        match self.key_window_left(class, uncertain_attempt, now) {
            None => Some(now + max_time),
            Some(left) if left < MIN_TIME_TO_DELIVER => None,
            Some(left) => Some(now + left.min(max_time)),
        }
    }

    /// What is left of a key's window, where an attempt may have run and the class has a window. A clock that
    /// stands before that attempt has been set back: how much of the window has passed is unknown, and none counts
    /// as left.
    fn key_window_left(
        &self,
        class: usize,
        uncertain_attempt: Option<&UncertainAttempt>,
        now: Micros,
    ) -> Option<Micros> {
        let sent_at = uncertain_attempt?.sent_at;
        let window = self.classes.key_window(class)?;
        Some(if sent_at > now {
            0
        } else {
            sent_at + window - now
        })
    }
}
