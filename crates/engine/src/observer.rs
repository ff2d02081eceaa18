//! The observer port: events of the engine for logs, metrics and tests. Observers change nothing.

use crate::{
    ArrivalOutcome, CloseReason, ConnectionUse, EndCause, EndReason, Ending, JournalError,
    SharedStr, UnsolicitedData,
};
use milletturn_policy::{Micros, Outcome};

/// One event of the engine. Times are module time in microseconds, which is Unix time.
#[derive(Debug)]
pub enum EngineEvent<'a> {
    /// The names of the classes, by the positions that other events carry: at the start, and when they change.
    Classes(&'a [String]),
    /// A message was accepted.
    Accepted {
        /// The message's id.
        id: &'a str,
        /// Position of its class.
        class: usize,
        /// Its destination.
        destination: u64,
        /// When its client handed it in.
        at: Micros,
    },
    /// A message was rejected at its arrival.
    Rejected {
        /// The message's id; empty where a server rejected it before it was read.
        id: &'a str,
        /// Position of its class.
        class: usize,
        /// Its destination.
        destination: u64,
        /// When.
        at: Micros,
        /// The reply to its client.
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
        /// Its index among the message's attempts, from 0.
        attempt: usize,
        /// When.
        at: Micros,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The message's id.
        id: &'a SharedStr,
        /// The endpoint's name.
        uid: &'a str,
        /// Its index among the message's attempts, from 0.
        attempt: usize,
        /// The number of the call, unique in this process; several messages may share a call.
        call: u64,
        /// What the transport observed.
        cause: EndCause,
        /// The message's destination.
        destination: u64,
        /// The outcome that decisions go by.
        outcome: Outcome,
        /// Time since its start.
        latency: Micros,
        /// The endpoint's load report, or empty.
        report: &'a [f64],
        /// Where on a connection its response came; `None` for an attempt that got no connection.
        connection_use: Option<ConnectionUse>,
    },
    /// A connection to an endpoint was closed, or given up after it had been closed by the peer.
    ConnectionClosed {
        /// The endpoint's name, empty if it is not listed any more.
        uid: &'a str,
        /// The connection's number, unique in this process.
        connection: u64,
        /// How many calls it carried.
        calls: u64,
        /// Why.
        reason: CloseReason,
        /// What came on it while no call was out.
        unsolicited: Option<UnsolicitedData>,
    },
    /// An endpoint asked for a pause.
    RetryAfter {
        /// The endpoint's name, empty if it is not listed any more.
        uid: &'a str,
        /// The pause, from now on.
        wait: Micros,
    },
    /// A message was delivered.
    Delivered {
        /// The message's id.
        id: &'a str,
        /// Position of its class.
        class: usize,
        /// Its destination.
        destination: u64,
        /// Time since it was handed in.
        age: Micros,
    },
    /// An accepted message was given up.
    Abandoned {
        /// The message's id.
        id: &'a str,
        /// Position of its class.
        class: usize,
        /// Its destination.
        destination: u64,
        /// How it ended.
        ending: Ending,
        /// Why.
        reason: EndReason,
        /// No call was ever started for it.
        never_attempted: bool,
        /// Time since it was handed in.
        age: Micros,
    },
    /// A log line of the decision module.
    PolicyLog(&'a str),
    /// The journal could not be written.
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
