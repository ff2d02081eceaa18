//! The engine's state of one message and its attempts.

use crate::dead_letter_sink::EndReason;
use crate::journal::{Ending, MessageEnd};
use crate::transport::CallItem;
use milletturn_policy::{EndpointId, MILLISECOND, Micros, Outcome};
use std::sync::Arc;

/// Margin before a message's deadline, in microseconds. The decision module ends an expiring message within this
/// margin, so an end within the margin or later counts as caused by the deadline.
const DEADLINE_MARGIN: Micros = 50 * MILLISECOND;

/// One attempt to deliver a message.
pub(crate) struct Attempt {
    /// The endpoint that the attempt goes to.
    pub endpoint: EndpointId,
    /// The endpoint's name.
    pub uid: Arc<str>,
    /// When the attempt started, in the decision module's time (microseconds).
    pub sent_at: Micros,
    /// The number of the call that carries the attempt; `u64::MAX` before the call starts.
    pub call: u64,
    /// The message's position in that call.
    pub position: usize,
    /// The attempt has not ended.
    pub in_flight: bool,
    /// `None` while the attempt is in flight, and for an attempt that was read from the journal or made before the
    /// latest redrive.
    pub outcome: Option<Outcome>,
    /// Time from the start of the attempt to its end, in microseconds.
    pub latency: Option<Micros>,
    /// The destination may have processed the attempt; false only if it certainly did not.
    pub may_have_run: bool,
}

impl Attempt {
    /// An attempt that starts now.
    pub(crate) fn start(endpoint: EndpointId, uid: Arc<str>, sent_at: Micros) -> Self {
        Attempt {
            endpoint,
            uid,
            sent_at,
            call: u64::MAX,
            position: 0,
            in_flight: true,
            outcome: None,
            latency: None,
            may_have_run: true,
        }
    }

    /// An attempt that was read from the journal at the start, or made before the latest redrive. Its outcome is not
    /// known.
    pub(crate) fn prior(
        endpoint: EndpointId,
        uid: &str,
        sent_at: Micros,
        may_have_run: bool,
    ) -> Self {
        Attempt {
            in_flight: false,
            may_have_run,
            ..Attempt::start(endpoint, uid.into(), sent_at)
        }
    }

    /// The attempt at an index, if that attempt is in flight.
    pub(crate) fn in_flight_at(attempts: &mut [Attempt], index: usize) -> Option<&mut Attempt> {
        attempts.get_mut(index).filter(|attempt| attempt.in_flight)
    }

    /// Whether the attempt counts as sent: false only if its outcome is [`Outcome::Unsent`]. True while the attempt is
    /// in flight and if its outcome is unknown.
    pub(crate) fn was_sent(&self) -> bool {
        !matches!(self.outcome, Some(Outcome::Unsent { .. }))
    }

    /// Records the outcome of the attempt.
    pub(crate) fn finish(&mut self, outcome: Outcome, latency: Micros) {
        self.in_flight = false;
        self.may_have_run = !outcome.never_ran();
        self.outcome = Some(outcome);
        self.latency = Some(latency);
    }
}

/// A message, from its acceptance until the message and all its attempts have ended.
pub(crate) struct Message {
    /// The id, idempotency key and body, which calls carry.
    pub item: CallItem,
    /// Position of the message's class in the class table.
    pub class: usize,
    pub destination: u64,
    /// Hash of the message's subject; `None` for a message without a subject. Messages with the same ordering key are
    /// delivered one at a time if their class keeps order.
    pub ordering_key: Option<u64>,
    /// When the client submitted the message, or when its redrive was accepted, in the decision module's time
    /// (microseconds).
    pub accepted_at: Micros,
    /// When the message expires, in the decision module's time (microseconds).
    pub deadline: Micros,
    /// The message has no final outcome yet.
    pub open: bool,
    /// Number of clients that submitted the message, less those that disconnected before they received an outcome. A
    /// disconnection that makes it zero ends the message, unless the message may have run. A message recovered from the journal starts with one, so
    /// that a client that resubmits it and disconnects does not end it.
    pub clients: usize,
    /// The message's attempts in order, including those made before this process started.
    pub attempts: Vec<Attempt>,
    /// The message was redriven from the dead-letter store.
    pub redriven: bool,
    /// Number of attempts at the start of `attempts` that were made before the latest redrive; 0 if the message was
    /// not redriven.
    pub prior_attempts: usize,
    /// The end of the message; `None` while the message is open, and for an end that the journal need not record.
    pub end: Option<MessageEnd>,
}

impl Message {
    /// An open message with one client and no attempts.
    pub(crate) fn new(
        item: CallItem,
        class: usize,
        destination: u64,
        accepted_at: Micros,
        deadline: Micros,
    ) -> Self {
        Message {
            item,
            class,
            destination,
            ordering_key: None,
            accepted_at,
            deadline,
            open: true,
            clients: 1,
            attempts: Vec::new(),
            redriven: false,
            prior_attempts: 0,
            end: None,
        }
    }

    /// Whether the message has ended and no attempt is in flight.
    pub(crate) fn is_finished(&self) -> bool {
        !self.open && self.attempts.iter().all(|attempt| !attempt.in_flight)
    }

    /// Whether the destination may have processed an attempt of the message since it was accepted.
    pub(crate) fn may_have_run(&self) -> bool {
        self.attempts
            .iter()
            .skip(self.prior_attempts)
            .any(|attempt| attempt.may_have_run)
    }

    /// Whether an attempt of the message succeeded.
    pub(crate) fn is_delivered(&self) -> bool {
        self.attempts
            .iter()
            .any(|attempt| attempt.outcome == Some(Outcome::Success))
    }

    /// Why the decision module ended the message, inferred from the deadline, the attempts and the ending.
    pub(crate) fn end_reason(&self, ending: Ending, now: Micros, max_attempts: usize) -> EndReason {
        if now + DEADLINE_MARGIN >= self.deadline {
            return EndReason::DeadlineExceeded;
        }
        match ending {
            Ending::Delivered => EndReason::Delivered,
            Ending::Returned { .. } => EndReason::Rejected,
            Ending::Failed if self.attempts.len() >= max_attempts => EndReason::AttemptsExhausted,
            Ending::Failed => EndReason::NotRetryable,
        }
    }
}
