//! The requests and responses of the control socket.
//!
//! Their JSON must not change, because commands of an earlier build talk to a sender of a newer one.

use crate::record::{Filter, Record, Stats, Summary};
use milletturn_policy::Micros;
use serde::{Deserialize, Serialize};

/// A request of an operator's command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "do", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Request {
    /// Lists the summaries of messages.
    List {
        /// Selects the messages.
        filter: Filter,
        /// Maximum number of messages; `None` for no limit.
        limit: Option<usize>,
    },
    /// Reads the complete records of messages.
    Records {
        /// Selects the messages.
        filter: Filter,
        /// Whether the records include the bodies.
        bodies: bool,
    },
    /// Redrives messages.
    #[serde(rename = "resend")]
    Redrive {
        /// Selects the messages.
        filter: Filter,
        /// Name of the operator, for the audit log.
        #[serde(rename = "who")]
        actor: String,
        /// Why the messages are redriven, for the audit log.
        #[serde(rename = "why")]
        reason: String,
        /// If true, nothing is sent or changed: the answer only tells for each message whether a redrive is allowed.
        dry_run: bool,
    },
    /// Resolves messages.
    #[serde(rename = "settle")]
    Resolve {
        /// Selects the messages.
        filter: Filter,
        /// True if the messages did not run and may be redriven; false if the operator has dealt with them outside the
        /// sender.
        did_not_run: bool,
        /// Name of the operator, for the audit log.
        #[serde(rename = "who")]
        actor: String,
        /// Why the messages are resolved, for the audit log.
        #[serde(rename = "why")]
        reason: String,
    },
    /// Reads the store's statistics.
    Stats,
}

/// One line of the server's answer to a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Response {
    /// The summary of one message, in answer to [`Request::List`].
    Summary(Summary),
    /// The complete record of one message, in answer to [`Request::Records`].
    Record(Box<Record>),
    /// The result for one message, in answer to [`Request::Redrive`] or [`Request::Resolve`].
    Done {
        /// Number of the message.
        number: u64,
        /// The redrive must start before this Unix time in microseconds, because the deduplication window of the
        /// message's idempotency key ends 100 ms after it; `None` if there is no time limit, and for a message that was
        /// resolved or rejected.
        until: Option<Micros>,
        /// Why the message was not redriven or resolved; `None` if it was.
        #[serde(rename = "declined")]
        rejection: Option<String>,
    },
    /// The store's statistics.
    Stats(Stats),
    /// The last line of a complete answer.
    End {
        /// Number of messages in the answer.
        count: usize,
        /// Number of messages in the answer that were not redriven or resolved.
        #[serde(rename = "declined")]
        rejected: usize,
    },
    /// The last line of an answer that ended early, with the error.
    Error(String),
}

impl Response {
    /// True if this is the last line of an answer.
    #[must_use]
    pub fn is_last(&self) -> bool {
        matches!(self, Response::End { .. } | Response::Error(_))
    }
}
