//! Redrives: messages in the dead-letter store whose delivery is attempted again.

use crate::dead_letter_sink::{RedriveOrder, RedriveOutcome, RedriveRequest, UncertainAttempt};
use crate::engine::Engine;
use crate::journal::{Accepted, AttemptStarted};
use crate::message::{Attempt, Message};
use crate::transport::CallItem;
use milletturn_policy::{
    Effect, EndpointId, Event, MILLISECOND, MessageId, Micros, NewMessage, PastAttempt,
};

/// The maximum number of open redrives is the limit on open messages divided by this number, but at least one.
const REDRIVE_CAPACITY_DIVISOR: usize = 8;
/// No redrive is accepted while the number of open messages is at least the limit on open messages divided by this
/// number, so that new messages have precedence.
const BUSY_DIVISOR: usize = 2;
/// The least time, in microseconds, that must be left of the idempotency key's deduplication window for a redrive to
/// be accepted. With less, the message could reach the destination after the window has ended: the decision module
/// keeps a safety margin before the window's end, and the call takes time to arrive.
const MIN_TIME_TO_DELIVER: Micros = 100 * MILLISECOND;

impl Engine {
    /// Handles a request to redrive a message, and replies to it.
    pub(crate) fn on_redrive(&mut self, request: RedriveRequest) {
        let outcome = self.redrive(request.order);
        // a caller that no longer waits needs no reply: the journal records whether the redrive was accepted
        let _ = request.reply.send(outcome);
    }

    fn redrive(&mut self, order: RedriveOrder) -> RedriveOutcome {
        let message_id = MessageId(order.number);
        if self.messages.contains(message_id) || self.pending_release.contains_key(&message_id) {
            return RedriveOutcome::InFlight;
        }
        let max_redrives = (self.max_open_messages / REDRIVE_CAPACITY_DIVISOR).max(1);
        let min_open_when_busy = self.max_open_messages.div_ceil(BUSY_DIVISOR);
        if self.messages.open_redrives() >= max_redrives
            || self.messages.open_count() >= min_open_when_busy
        {
            return RedriveOutcome::Busy;
        }
        // the effect may have changed since the store decided on the redrive
        let current = self.classes.position(&order.class);
        let Some(current_effect) = self.classes.effect(current) else {
            return RedriveOutcome::TooLate;
        };
        let effect = current_effect.stricter(order.effect);
        let class = self.class_with_effect(&order.class, effect, false);
        let uncertain_attempt = order
            .uncertain_attempt
            .filter(|_| effect != Effect::Repeatable);
        let now = self.clock.now();
        let Some(deadline) = self.redrive_deadline(class, uncertain_attempt.as_ref(), now) else {
            return RedriveOutcome::TooLate;
        };
        let accepted = Accepted {
            id: order.id.to_string(),
            key: order.key.as_ref().map(ToString::to_string),
            class: order.class,
            effect: Some(effect),
            // no subject: messages that followed this one may have been delivered already, so its place in the order is
            // lost, and it must not delay other messages
            subject: None,
            tenant: None,
            destination: order.destination,
            accepted_at: now,
            deadline,
            body: order.body.clone(),
        };
        let uncertain = uncertain_attempt.map(|attempt| AttemptStarted {
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

    /// Adds a message whose redrive is recorded in the journal to the table, and passes it to the decision module.
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
                sent_at: sent.sent_at,
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

    /// When a redrive that is accepted now expires; `None` if the settings no longer have the class, or if the
    /// deduplication window of the idempotency key ends before a call could arrive.
    fn redrive_deadline(
        &self,
        class: usize,
        uncertain_attempt: Option<&UncertainAttempt>,
        now: Micros,
    ) -> Option<Micros> {
        let max_delivery_time = self.classes.deadline(class)?;
        match self.deduplication_time_left(class, uncertain_attempt, now) {
            None => Some(now + max_delivery_time),
            Some(left) if left < MIN_TIME_TO_DELIVER => None,
            Some(left) => Some(now + left.min(max_delivery_time)),
        }
    }

    /// The time left, in microseconds, of the idempotency key's deduplication window; `None` if there is no attempt
    /// that the redrive could duplicate, or if the class has no window. If `now` is before the attempt, the clock was
    /// set back: how much of the window has passed is unknown, so the result is zero.
    fn deduplication_time_left(
        &self,
        class: usize,
        uncertain_attempt: Option<&UncertainAttempt>,
        now: Micros,
    ) -> Option<Micros> {
        let sent_at = uncertain_attempt?.sent_at;
        let window = self.classes.deduplication_window(class)?;
        Some(if sent_at > now {
            0
        } else {
            sent_at + window - now
        })
    }
}
