//! The journal port: what must outlast the process.

use crate::EndReason;
use crate::shared_str::stable_hash;
use milletturn_policy::{Effect, Micros};
use std::collections::BTreeMap;
use std::io;
use thiserror::Error;

/// Why a journal entry was not written.
#[derive(Debug, Error)]
pub enum JournalError {
    /// Unfinished messages take up all the room that the settings give.
    #[error("no room left in the journal")]
    Full,
    /// The file or another medium failed.
    #[error("the journal can't be written: {0}")]
    Write(#[source] io::Error),
    /// The entry could not be encoded.
    #[error("the journal can't be written: {0}")]
    Encode(#[source] postcard::Error),
}

/// How a message ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// Given up; nothing is promised of a repeat.
    Failed,
    /// Returned to its client: handing it in again is harmless.
    Returned {
        /// The wait that its client is advised, in milliseconds.
        after_ms: Option<u64>,
    },
    /// Delivered. The journal holds this end of a redriven message until the archive has stored it, and of others
    /// where delivered messages are notified too.
    Delivered,
}

/// How, why and when a message ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MessageEnd {
    /// How it ended.
    pub ending: Ending,
    /// Why it ended.
    pub reason: EndReason,
    /// When, Unix time in microseconds.
    pub at: Micros,
}

/// A message as it was accepted. Times are Unix time in microseconds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Accepted {
    /// The id that its client gave it.
    pub id: String,
    /// Its idempotency key, by which its destination drops repeats.
    pub key: Option<String>,
    /// The name of its class: positions may differ in the next process.
    pub class: String,
    /// What a repeated delivery of it does, as its class said then: the message keeps that, whatever the name means
    /// in the next process. `None` in a journal that did not record it.
    pub effect: Option<Effect>,
    /// Its subject, where its class keeps order.
    pub subject: Option<String>,
    /// The name of its tenant.
    pub tenant: Option<String>,
    /// Its destination.
    pub destination: u64,
    /// When it was handed in; for a redriven message, when the redrive was accepted.
    pub accepted_at: Micros,
    /// When it expires.
    pub deadline: Micros,
    /// The body.
    pub body: Vec<u8>,
}

/// The start of one attempt of a message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AttemptStarted {
    /// The endpoint's name.
    pub uid: String,
    /// When it was sent, Unix time in microseconds.
    pub sent_at: Micros,
    /// Its outcome has proved that it never ran.
    pub never_ran: bool,
}

/// What the journal holds of a message that is not finished.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Unfinished {
    /// The message as it was accepted.
    pub accepted: Accepted,
    /// Its attempts, in order.
    pub attempts: Vec<AttemptStarted>,
    /// Its end, while its notification is not confirmed or the archive has not stored it; `None` for an open one.
    pub end: Option<MessageEnd>,
    /// It was redriven from the archive.
    pub redriven: bool,
    /// How many of the first attempts are from before that redrive.
    pub prior_attempts: usize,
}

/// Records what the engine must know after a crash. An entry counts as written when it outlasts a SIGKILL at any
/// later instant. Messages go by the numbers that the engine gives them.
pub trait Journal {
    /// What earlier processes left unfinished, by number of message.
    fn unfinished(&self) -> BTreeMap<u64, Unfinished>;
    /// Records a message; its acceptance may be promised once this has succeeded.
    ///
    /// # Errors
    /// When the entry is not written; nothing has changed then. The same holds for all the others.
    fn record_accepted(&mut self, number: u64, accepted: Accepted) -> Result<(), JournalError>;
    /// Records by one entry that a message came back from the archive, with the attempt that a further one could
    /// repeat.
    ///
    /// # Errors
    /// As [`Journal::record_accepted`].
    fn record_redrive(
        &mut self,
        number: u64,
        accepted: Accepted,
        uncertain_attempt: Option<AttemptStarted>,
    ) -> Result<(), JournalError>;
    /// Records an attempt; its call may start once this has succeeded.
    ///
    /// # Errors
    /// As [`Journal::record_accepted`].
    fn record_attempt(
        &mut self,
        number: u64,
        uid: &str,
        sent_at: Micros,
    ) -> Result<(), JournalError>;
    /// Records that an attempt never ran. An attempt without this entry may have run.
    ///
    /// # Errors
    /// As [`Journal::record_accepted`].
    fn record_never_ran(&mut self, number: u64, attempt: usize) -> Result<(), JournalError>;
    /// Records how a message ended; its notification, or its storing in the archive, is still due.
    ///
    /// # Errors
    /// As [`Journal::record_accepted`].
    fn record_end(&mut self, number: u64, end: MessageEnd) -> Result<(), JournalError>;
    /// Records that a message is finished, so that the journal may drop it.
    ///
    /// # Errors
    /// As [`Journal::record_accepted`]; the entry is written later by [`Journal::retry`].
    fn record_finished(&mut self, number: u64) -> Result<(), JournalError>;
    /// Tries again to record which messages are finished, where that failed.
    ///
    /// # Errors
    /// When that fails again.
    fn retry(&mut self) -> Result<(), JournalError>;
}

impl Accepted {
    /// The key by which its class keeps order; `None` for a message without a subject.
    pub(crate) fn ordering_key(&self) -> Option<u64> {
        self.subject
            .as_deref()
            .map(|subject| stable_hash(subject.as_bytes()))
    }
}
