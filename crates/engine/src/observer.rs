//! The observer port: events of the engine for logs, metrics and tests. Observers do not influence the engine.

use crate::{
    ArrivalOutcome, CloseReason, ConnectionUse, EndCause, EndReason, Ending, JournalError,
    SharedStr, UnsolicitedData,
};
use milletturn_policy::{Micros, Outcome};

/// One event of the engine. Times are Unix time as shown by the engine's [`Clock`](crate::Clock). Times and durations
/// are in microseconds.
#[derive(Debug)]
pub enum EngineEvent<'a> {
    /// The names of the classes. The `class` of other events is an index into this list. Reported at the start and
    /// whenever the classes change.
    Classes(&'a [String]),
    /// A message was accepted.
    Accepted {
        /// The message's id.
        id: &'a str,
        /// Position of the message's class.
        class: usize,
        /// The message's destination.
        destination: u64,
        /// When the client submitted the message.
        at: Micros,
    },
    /// A message was rejected at its arrival.
    Rejected {
        /// The message's id; empty if a server rejected the message before the engine received it.
        id: &'a str,
        /// Position of the message's class.
        class: usize,
        /// The message's destination.
        destination: u64,
        /// When the client submitted the message; for one rejected before the decision module received it, when it
        /// was rejected.
        at: Micros,
        /// The reply to the client.
        outcome: ArrivalOutcome,
    },
    /// An attempt started.
    AttemptStarted {
        /// The message's id.
        id: &'a SharedStr,
        /// The message's destination.
        destination: u64,
        /// The endpoint's name.
        uid: &'a str,
        /// Index of the attempt among the message's attempts, from 0.
        attempt: usize,
        /// When the attempt started.
        at: Micros,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The message's id.
        id: &'a SharedStr,
        /// The endpoint's name.
        uid: &'a str,
        /// Index of the attempt among the message's attempts, from 0.
        attempt: usize,
        /// The number of the call, unique in this process; several messages may share a call.
        call: u64,
        /// What the transport observed.
        cause: EndCause,
        /// The message's destination.
        destination: u64,
        /// The outcome as the decision module receives it.
        outcome: Outcome,
        /// Time since the start of the attempt.
        latency: Micros,
        /// The load report in the endpoint's response; empty if there is none.
        report: &'a [f64],
        /// The connection that carried the attempt; `None` for an attempt that got no connection.
        connection_use: Option<ConnectionUse>,
    },
    /// A connection to an endpoint was closed, by either side.
    ConnectionClosed {
        /// The endpoint's name; empty if the endpoint is no longer listed.
        uid: &'a str,
        /// The connection's number, unique in this process.
        connection: u64,
        /// How many calls the connection carried.
        calls: u64,
        /// Why the connection was closed.
        reason: CloseReason,
        /// Data that arrived while the connection had no call in flight.
        unsolicited: Option<UnsolicitedData>,
    },
    /// An endpoint demanded a retry-after delay.
    RetryAfter {
        /// The endpoint's name; empty if the endpoint is no longer listed.
        uid: &'a str,
        /// How long to wait from now on, in microseconds.
        retry_after: Micros,
    },
    /// A message was delivered.
    Delivered {
        /// The message's id.
        id: &'a str,
        /// Position of the message's class.
        class: usize,
        /// The message's destination.
        destination: u64,
        /// Time since the client submitted the message or, for a redriven message, since the redrive was accepted.
        age: Micros,
    },
    /// The decision module ended an accepted message undelivered.
    Abandoned {
        /// The message's id.
        id: &'a str,
        /// Position of the message's class.
        class: usize,
        /// The message's destination.
        destination: u64,
        /// How the message ended.
        ending: Ending,
        /// Why the message ended.
        reason: EndReason,
        /// No attempt of the message counts as sent: there was none, or each ended with [`Outcome::Unsent`].
        never_attempted: bool,
        /// Time since the client submitted the message or, for a redriven message, since the redrive was accepted.
        age: Micros,
    },
    /// A log line of the decision module.
    PolicyLog(&'a str),
    /// A journal entry could not be written.
    JournalFailed(&'a JournalError),
}

/// Observes the engine's events.
pub trait Observer {
    /// Called for each event as it happens, on the engine's thread: it must return quickly.
    fn observe(&mut self, event: &EngineEvent<'_>);
}

/// An observer that ignores all events.
#[derive(Debug, Default, Clone, Copy)]
pub struct NoopObserver;

impl Observer for NoopObserver {
    fn observe(&mut self, _: &EngineEvent<'_>) {}
}
