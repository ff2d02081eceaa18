//! The archive port: stores messages that ended undelivered (dead letters), and requests their redrive.
//!
//! A message that ends undelivered stays in the journal until the archive has reported
//! [`Input::Archived`](crate::Input::Archived) for its number, so that at every instant at least one of them has it.
//! A redrive goes the other way, by [`Input::Redrive`](crate::Input::Redrive): the journal takes the message back
//! under its old number by one entry, and that entry alone decides where the message is. When the redrive ends,
//! delivered or not, the journal holds it again until the archive has stored that end.

use crate::{Ending, SharedStr};
use bytes::Bytes;
use milletturn_policy::{Micros, Outcome};
use tokio::sync::oneshot;

/// Why a message ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum EndReason {
    /// Not recorded: an older version wrote the end.
    Unknown,
    /// Its deadline passed.
    DeadlineExceeded,
    /// An attempt may have run, and its class allows no further one.
    NotRetryable,
    /// It used all the attempts that a message may have.
    AttemptsExhausted,
    /// It was rejected before its deadline: no capacity, no such destination, or no route.
    Rejected,
    /// It was delivered. Only a redriven message is archived with this reason.
    Delivered,
}

/// One attempt of an archived message. Times are Unix time in microseconds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AttemptRecord {
    /// The endpoint's name; empty for an attempt that is presumed because the journal was damaged.
    pub uid: String,
    /// When it was sent.
    pub sent_at: Micros,
    /// How it ended; `None` where the process ended first.
    pub outcome: Option<Outcome>,
    /// Time from its start to its end, in microseconds.
    pub latency: Option<Micros>,
    /// Nothing proves that it never ran.
    pub may_have_run: bool,
}

/// A message that has ended, as the archive gets it. Times are Unix time in microseconds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ArchivedMessage {
    /// Its number, never used for another message.
    pub number: u64,
    /// The id that its client gave it.
    pub id: SharedStr,
    /// Its idempotency key, by which its destination drops repeats.
    pub key: Option<SharedStr>,
    /// The name of its class.
    pub class: String,
    /// Its destination.
    pub destination: u64,
    /// The body.
    pub body: Bytes,
    /// When it was handed in; for a redriven message, when the redrive was accepted.
    pub accepted_at: Micros,
    /// When it expired, or would have.
    pub deadline: Micros,
    /// When it ended.
    pub ended_at: Micros,
    /// How it ended.
    pub ending: Ending,
    /// Why it ended.
    pub reason: EndReason,
    /// Its attempts in order; for a redriven message, those of this redrive only.
    pub attempts: Vec<AttemptRecord>,
    /// It was redriven from the archive.
    pub redriven: bool,
}

/// Stores messages that have ended. No method may block: an implementation writes to its medium elsewhere.
pub trait Archive {
    /// Whether messages that end like this are to be stored.
    fn wants(&self, ending: Ending) -> bool;
    /// Takes a message to store. [`Input::Archived`](crate::Input::Archived) follows once it is safe. The same
    /// number may come again after a restart, and must be stored once.
    ///
    /// # Errors
    /// Gives the message back while there is no room; it is offered again later.
    fn store(&mut self, ended: Box<ArchivedMessage>) -> Result<(), Box<ArchivedMessage>>;
}

/// The earliest attempt of a message that may have run, from which the window of its key counts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UncertainAttempt {
    /// The endpoint's name.
    pub uid: String,
    /// When it was sent, Unix time in microseconds.
    pub sent_at: Micros,
}

/// An archived message to redrive.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RedriveOrder {
    /// Its number.
    pub number: u64,
    /// The id that its client gave it.
    pub id: SharedStr,
    /// Its idempotency key, by which its destination drops repeats.
    pub key: Option<SharedStr>,
    /// The name of its class.
    pub class: String,
    /// Its destination.
    pub destination: u64,
    /// The body.
    pub body: Bytes,
    /// The attempt that a further one could repeat; `None` if the message never ran, may be repeated, or an operator
    /// accepted the repeat.
    pub uncertain_attempt: Option<UncertainAttempt>,
}

/// A redrive order with the way for its outcome.
#[derive(Debug)]
pub struct RedriveRequest {
    /// The message to redrive.
    pub order: RedriveOrder,
    /// Gets the one outcome.
    pub reply: oneshot::Sender<RedriveOutcome>,
}

/// Whether a redrive was accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RedriveOutcome {
    /// The journal holds the message; its end goes to [`Archive::store`].
    Accepted,
    /// A call of the original, or of an earlier redrive, is in flight, or its end is not archived yet.
    InFlight,
    /// Fresh messages, or other redrives, use the capacity; it may be requested again later.
    Busy,
    /// The journal has no room; it may be requested again later.
    NoCapacity,
    /// The key's window ends before anything could arrive, or the class is not known any more.
    TooLate,
}
