//! The journal port: a durable record of accepted messages, their attempts and their ends.

use crate::EndReason;
use crate::shared_str::stable_hash;
use bytes::Bytes;
use milletturn_policy::{Effect, Micros};
use std::collections::BTreeMap;
use std::io;
use thiserror::Error;

/// Why a journal entry was not written.
#[derive(Debug, Error)]
pub enum JournalError {
    /// Unfinished messages use all the space that the settings give the journal.
    #[error("no room left in the journal")]
    Full,
    /// Writing to the file or other storage failed.
    #[error("the journal can't be written: {0}")]
    Write(#[source] io::Error),
    /// The entry could not be encoded.
    #[error("the journal can't be written: {0}")]
    Encode(#[source] postcard::Error),
}

/// How a message ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// Ended as failed: an attempt may have run, so resubmitting the message may deliver it twice.
    Failed,
    /// Returned to the client undelivered; resubmitting the message is harmless.
    Returned {
        /// The retry-after delay that the client is advised to observe before it resubmits, in milliseconds; `None` if
        /// none is advised.
        after_ms: Option<u64>,
    },
    /// Delivered. The journal records this end for redriven messages, until the dead-letter store has stored
    /// the end, and for all messages if notifications of delivered messages are enabled.
    Delivered,
}

/// How, why and when a message ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MessageEnd {
    /// How the message ended.
    pub ending: Ending,
    /// Why the message ended.
    pub reason: EndReason,
    /// When the message ended, Unix time in microseconds.
    pub at: Micros,
}

/// A message as it was accepted. Times are Unix time in microseconds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Accepted {
    /// The id that the client gave the message.
    pub id: String,
    /// The idempotency key, by which the destination drops duplicates.
    pub key: Option<String>,
    /// The name of the message's class. The journal holds the name because positions may differ in the next process.
    pub class: String,
    /// The class's rule for duplicate deliveries when the message was accepted. The message keeps this effect even if
    /// the class has another one in the next process. `None` in a journal that did not record it.
    pub effect: Option<Effect>,
    /// The message's subject, if its class delivers the messages of a subject in order.
    pub subject: Option<String>,
    /// The name of the message's tenant.
    pub tenant: Option<String>,
    /// The message's destination.
    pub destination: u64,
    /// When the client submitted the message; for a redriven message, when the redrive was accepted.
    pub accepted_at: Micros,
    /// When the message expires.
    pub deadline: Micros,
    /// The message's body. The engine and the journal share one buffer.
    pub body: Bytes,
}

/// The start of one attempt of a message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AttemptStarted {
    /// The endpoint's name; empty for an attempt that is presumed because the journal was damaged.
    pub uid: String,
    /// When the attempt was sent, Unix time in microseconds.
    pub sent_at: Micros,
    /// The outcome proved that the destination did not process the attempt; false while the outcome is unknown.
    pub never_ran: bool,
}

/// The journal's record of a message that is not finished.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Unfinished {
    /// The message as it was accepted.
    pub accepted: Accepted,
    /// The message's attempts, in order.
    pub attempts: Vec<AttemptStarted>,
    /// The end of a message whose notification is not acknowledged or which the dead-letter store has not stored;
    /// `None` for an open message.
    pub end: Option<MessageEnd>,
    /// The message was redriven from the dead-letter store.
    pub redriven: bool,
    /// Number of attempts at the start of `attempts` that were made before the latest redrive; 0 if the message was
    /// not redriven.
    pub prior_attempts: usize,
}

/// An at-most-once message that has ended and may have run, so that its client must not submit it again.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecentlyEnded {
    /// The id that the client gave the message.
    pub id: String,
    /// Whether the message is known to be delivered.
    pub is_delivered: bool,
}

impl Unfinished {
    /// What the client of an ended message is told if it submits the message again; `None` if the message may run then.
    #[must_use]
    pub fn recently_ended(&self) -> Option<RecentlyEnded> {
        let may_have_run = self.attempts.iter().any(|attempt| !attempt.never_ran);
        let is_returned = self
            .end
            .is_some_and(|end| matches!(end.ending, Ending::Returned { .. }));
        let is_at_most_once = self.accepted.effect == Some(Effect::Unsafe);
        let must_not_run_again = is_at_most_once && may_have_run && !is_returned && !self.redriven;
        must_not_run_again.then(|| RecentlyEnded {
            id: self.accepted.id.clone(),
            is_delivered: self.end.is_some_and(|end| end.ending == Ending::Delivered),
        })
    }
}

/// Records what the engine must know after a crash.
///
/// An entry counts as written when it survives a SIGKILL at any later instant. Messages are identified by the numbers
/// that the engine assigns.
pub trait Journal {
    /// The messages that earlier processes left unfinished, by number.
    fn unfinished(&self) -> BTreeMap<u64, Unfinished>;
    /// At-most-once messages that ended lately and may have run, oldest first. A journal that does not keep them returns
    /// none.
    fn recently_ended(&self) -> Vec<RecentlyEnded> {
        Vec::new()
    }
    /// Records a message; the client may be told that the message is accepted once this has succeeded.
    ///
    /// # Errors
    /// When the entry is not written; the journal is unchanged then.
    fn record_accepted(&mut self, number: u64, accepted: Accepted) -> Result<(), JournalError>;
    /// Records in a single entry that a message was redriven from the dead-letter store, with the earlier attempt that
    /// the redrive could duplicate.
    ///
    /// # Errors
    /// As [`Journal::record_accepted`].
    fn record_redrive(
        &mut self,
        number: u64,
        accepted: Accepted,
        uncertain_attempt: Option<AttemptStarted>,
    ) -> Result<(), JournalError>;
    /// Records an attempt that goes to the endpoint named `uid` and is sent at `sent_at` (Unix time in microseconds).
    /// The call that carries the attempt may start once this has succeeded.
    ///
    /// # Errors
    /// As [`Journal::record_accepted`].
    fn record_attempt(
        &mut self,
        number: u64,
        uid: &str,
        sent_at: Micros,
    ) -> Result<(), JournalError>;
    /// Records that the destination did not process an attempt, given by its index among the message's attempts. An
    /// attempt without this entry may have run.
    ///
    /// # Errors
    /// As [`Journal::record_accepted`].
    fn record_never_ran(&mut self, number: u64, attempt: usize) -> Result<(), JournalError>;
    /// Records how a message ended, while the notification has yet to be acknowledged or the dead-letter store has yet
    /// to store the message.
    ///
    /// # Errors
    /// As [`Journal::record_accepted`].
    fn record_end(&mut self, number: u64, end: MessageEnd) -> Result<(), JournalError>;
    /// Records that a message is finished, so that the journal may drop it.
    ///
    /// # Errors
    /// As [`Journal::record_accepted`]; [`Journal::retry`] writes the entry later.
    fn record_finished(&mut self, number: u64) -> Result<(), JournalError>;
    /// Retries the [`Journal::record_finished`] entries that could not be written.
    ///
    /// # Errors
    /// When writing fails again.
    fn retry(&mut self) -> Result<(), JournalError>;
}

impl Accepted {
    /// Messages with the same ordering key are delivered one at a time; `None` for a message without a subject.
    pub(crate) fn ordering_key(&self) -> Option<u64> {
        self.subject
            .as_deref()
            .map(|subject| stable_hash(subject.as_bytes()))
    }
}
