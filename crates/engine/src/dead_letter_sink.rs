//! The dead-letter port: stores messages that ended undelivered (dead letters), and requests their redrive.
//!
//! A message that ends undelivered stays in the journal until the dead-letter store has reported
//! [`Input::Stored`](crate::Input::Stored) for its number, so that at every instant the message is in the journal or in
//! the store. [`Input::Redrive`](crate::Input::Redrive) moves a message back: a single journal entry records it under
//! its old number, and from then on the journal, not the store, is responsible for the message. When the redrive ends,
//! delivered or not, the journal keeps the message until the store has stored that end.

use crate::{Ending, SharedStr};
use bytes::Bytes;
use milletturn_policy::{Class, Effect, Micros, Outcome};
use tokio::sync::oneshot;

/// Why a message ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum EndReason {
    /// The reason is unknown, because the end was recorded by an older version that did not store reasons.
    Unknown,
    /// The message's deadline passed.
    DeadlineExceeded,
    /// An attempt may have run, and the class of the message allows no retry.
    NotRetryable,
    /// The message used all the attempts that the settings allow.
    AttemptsExhausted,
    /// The decision module returned the message to its client before the deadline, for example because there was no
    /// capacity, no such destination or no route; or an endpoint's response ended the message without delivering it.
    Rejected,
    /// The message was delivered. Only a redriven message is stored with this reason.
    Delivered,
}

/// One attempt of an ended message. Times are Unix time in microseconds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AttemptRecord {
    /// The endpoint's name; empty for an attempt that is presumed because the journal was damaged.
    pub uid: String,
    /// When the attempt was sent.
    pub sent_at: Micros,
    /// How the attempt ended; `None` if the process that made the attempt ended first.
    pub outcome: Option<Outcome>,
    /// Time from the start of the attempt to its end, in microseconds.
    pub latency: Option<Micros>,
    /// The destination may have processed the attempt; false only if it certainly did not.
    pub may_have_run: bool,
}

/// A message that has ended, in the form in which the dead-letter store receives it. Times are Unix time in
/// microseconds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndedMessage {
    /// The message's number, never used for another message.
    pub number: u64,
    /// The id that the client gave the message.
    pub id: SharedStr,
    /// The idempotency key, by which the destination drops duplicates.
    pub key: Option<SharedStr>,
    /// The name of the message's class.
    pub class: String,
    /// The effect that the class had when the message was accepted; `None` if it is unknown.
    pub effect: Option<Effect>,
    /// The message's destination.
    pub destination: u64,
    /// The message's body.
    pub body: Bytes,
    /// When the client submitted the message; for a redriven message, when the redrive was accepted.
    pub accepted_at: Micros,
    /// When the message expired, or would have expired.
    pub deadline: Micros,
    /// When the message ended.
    pub ended_at: Micros,
    /// How the message ended.
    pub ending: Ending,
    /// Why the message ended.
    pub reason: EndReason,
    /// The message's attempts in order; for a redriven message, only those of the latest redrive.
    pub attempts: Vec<AttemptRecord>,
    /// The message was redriven from the dead-letter store.
    pub redriven: bool,
}

/// Stores messages that have ended.
///
/// No method may block: an implementation writes to its storage on another thread or task.
pub trait DeadLetterSink {
    /// Whether messages with this ending are stored. Not called for redriven messages, which are always stored.
    fn should_store(&self, ending: Ending) -> bool;
    /// Tells the classes of new settings. Called at each reload, before a message of these classes is accepted.
    fn set_classes(&mut self, classes: &[Class]);
    /// Takes a message to store. [`Input::Stored`](crate::Input::Stored) follows once the message is stored
    /// durably. The same number may be passed again after a restart, and must be stored only once.
    ///
    /// # Errors
    /// Returns the message while the store has no capacity; the engine offers it again later.
    fn store(&mut self, ended: Box<EndedMessage>) -> Result<(), Box<EndedMessage>>;
}

/// The earliest attempt of a message that may have run: the destination's deduplication window for the message's
/// idempotency key starts with it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UncertainAttempt {
    /// The endpoint's name.
    pub uid: String,
    /// When the attempt was sent, Unix time in microseconds.
    pub sent_at: Micros,
}

/// A message in the dead-letter store to redrive.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RedriveOrder {
    /// The number under which the message was first accepted.
    pub number: u64,
    /// The id that the client gave the message.
    pub id: SharedStr,
    /// The idempotency key, by which the destination drops duplicates.
    pub key: Option<SharedStr>,
    /// The name of the message's class.
    pub class: String,
    /// The message's destination.
    pub destination: u64,
    /// The message's body.
    pub body: Bytes,
    /// The strictest effect that the message's class has had since the message was accepted. If the class has a stricter
    /// one by now, that one applies.
    pub effect: Effect,
    /// The attempt that the redrive could duplicate; `None` if no attempt can have run, or an operator accepted the risk
    /// of a duplicate.
    pub uncertain_attempt: Option<UncertainAttempt>,
}

/// A redrive order, with the channel for its outcome.
#[derive(Debug)]
pub struct RedriveRequest {
    /// The message to redrive.
    pub order: RedriveOrder,
    /// Receives exactly one outcome.
    pub reply: oneshot::Sender<RedriveOutcome>,
}

/// Whether a redrive was accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RedriveOutcome {
    /// The journal holds the message again; its end will be passed to [`DeadLetterSink::store`].
    Accepted,
    /// The original message or an earlier redrive is not finished: a call is in flight, the notification of the end is
    /// not acknowledged, or the dead-letter store has not stored the end yet.
    InFlight,
    /// New messages or other redrives use the capacity; the redrive may be requested again later.
    Busy,
    /// The journal could not record the redrive; it may be requested again later.
    NoCapacity,
    /// The deduplication window of the idempotency key ends before a call could arrive, or the settings no longer
    /// have the class.
    TooLate,
}
