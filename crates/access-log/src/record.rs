//! The records of the access log, as they are written and read.

use serde::{Deserialize, Serialize};

/// The text before the JSON object of each record.
pub(crate) const RECORD_PREFIX: &str = "trace ";

/// One record of the access log: an event at one sender, with its time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AccessRecord {
    /// Time of the event, as Unix time in microseconds.
    #[serde(rename = "at")]
    pub at_us: u64,
    /// The event, whose fields are written next to the time.
    #[serde(flatten)]
    pub event: AccessEvent,
}

/// A logged event, in most cases a step in the processing of one message.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "snake_case")]
pub enum AccessEvent {
    /// A message was accepted.
    #[serde(rename = "taken")]
    Accepted {
        /// Id of the message; empty in records of older senders.
        #[serde(default, skip_serializing_if = "String::is_empty")]
        id: String,
        /// Name of the class whose settings apply to the message; empty in records of older senders.
        #[serde(default, skip_serializing_if = "String::is_empty")]
        class: String,
        /// Destination of the message, by number.
        #[serde(rename = "to")]
        destination: u64,
    },
    /// A message was rejected on arrival.
    #[serde(rename = "turned_away")]
    Rejected {
        /// Id of the message; empty in records of older senders.
        #[serde(default, skip_serializing_if = "String::is_empty")]
        id: String,
        /// Destination of the message, by number.
        #[serde(rename = "to")]
        destination: u64,
    },
    /// An attempt began.
    #[serde(rename = "sent")]
    AttemptStarted {
        /// Id of the message; empty in records of older senders.
        #[serde(default)]
        id: String,
        /// Destination of the message, by number.
        #[serde(rename = "to")]
        destination: u64,
        /// Number of the attempt among those of the message, from 0.
        attempt: usize,
    },
    /// An attempt ended.
    #[serde(rename = "ended")]
    AttemptEnded {
        /// Id of the message; empty in records of older senders.
        #[serde(default)]
        id: String,
        /// Number of the attempt among those of the message, from 0.
        #[serde(default)]
        attempt: usize,
        /// Name of the endpoint; empty in records of older senders.
        #[serde(default)]
        uid: String,
        /// Number of the call, unique within the process; the attempts of a batch share one call.
        #[serde(default)]
        call: u64,
        /// What ended the attempt, such as `answer 503` or `no head`.
        #[serde(default)]
        cause: String,
        /// The retry-after delay that a rejection demanded, in microseconds; `None` if there was none.
        #[serde(rename = "wait", default, skip_serializing_if = "Option::is_none")]
        retry_after_us: Option<u64>,
        /// Destination of the message, by number.
        #[serde(rename = "to")]
        destination: u64,
        /// How the attempt ended.
        #[serde(rename = "how")]
        outcome: AttemptOutcome,
        /// Values of the load report in the response, in the order of the settings; empty if there was no report.
        report: Vec<f64>,
        /// Number of the connection, unique within the process; `None` if the attempt got no connection.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        connection: Option<u64>,
        /// Number of the call among those on the connection, from 1.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        call_on_connection: Option<u64>,
        /// Time in microseconds from the last byte of the request to the first byte received after it; `None` if the
        /// request was not written completely or nothing was received.
        #[serde(
            rename = "response_after",
            default,
            skip_serializing_if = "Option::is_none"
        )]
        response_after_us: Option<u64>,
        /// Why the response is attributed to the call, such as `first call`; `None` if no response is.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        attributed_by: Option<String>,
    },
    /// A connection to an endpoint was closed.
    #[serde(rename = "closed")]
    ConnectionClosed {
        /// Name of the endpoint; empty if the endpoint is not listed any more.
        uid: String,
        /// Number of the connection, unique within the process.
        connection: u64,
        /// Number of calls that the connection carried.
        calls: u64,
        /// Why the connection was closed, such as `evicted` or `unsolicited data`.
        #[serde(rename = "why")]
        reason: String,
        /// Status of a response that no call requested, because it was received while no call was in flight on the
        /// connection, or after the end of another response. `None` if there was no such response.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        unsolicited_status: Option<u16>,
        /// Time in microseconds from the last byte of the last request to the first data that no call requested; `None`
        /// if there was no such data.
        #[serde(
            rename = "unsolicited_after",
            default,
            skip_serializing_if = "Option::is_none"
        )]
        unsolicited_after_us: Option<u64>,
    },
    /// A message was delivered.
    Delivered {
        /// Id of the message; empty in records of older senders.
        #[serde(default, skip_serializing_if = "String::is_empty")]
        id: String,
        /// Destination of the message, by number.
        #[serde(rename = "to")]
        destination: u64,
        /// Microseconds since the client submitted the message or, for a redriven message, since the redrive was
        /// accepted.
        #[serde(rename = "age")]
        age_us: u64,
    },
    /// A message was abandoned.
    #[serde(rename = "given_up")]
    Abandoned {
        /// Id of the message; empty in records of older senders.
        #[serde(default, skip_serializing_if = "String::is_empty")]
        id: String,
        /// Destination of the message, by number.
        #[serde(rename = "to")]
        destination: u64,
        /// Microseconds since the client submitted the message or, for a redriven message, since the redrive was
        /// accepted.
        #[serde(rename = "age")]
        age_us: u64,
        /// Why the message was abandoned.
        #[serde(rename = "why", default)]
        reason: AbandonReason,
        /// True if no attempt of the message counts as sent: there was none, or each ended unsent.
        #[serde(rename = "untried", default)]
        never_attempted: bool,
    },
    /// An endpoint sent a Retry-After in any response, even in one of which only the first bytes were received.
    #[serde(rename = "told_wait")]
    RetryAfter {
        /// Name of the endpoint.
        uid: String,
        /// Microseconds to wait from the time of the record.
        #[serde(rename = "wait")]
        delay_us: u64,
    },
    /// The decision module wrote a log entry.
    #[serde(rename = "remark")]
    PolicyLog {
        /// The text of the log entry.
        text: String,
    },
}

/// Why a message was abandoned.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AbandonReason {
    /// The deadline of the message passed.
    #[serde(rename = "time_up")]
    DeadlineExceeded,
    /// The message was rejected after it had been accepted, before its deadline.
    #[serde(rename = "turned_away")]
    Rejected,
    /// All attempts that the message may have were made.
    #[serde(rename = "attempts_used")]
    AttemptsExhausted,
    /// The message failed before its deadline with attempts left, but may not be retried.
    #[serde(rename = "no_repeat")]
    NotRetryable,
    /// The record states no reason. Records written by older senders never state one.
    #[default]
    Unknown,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptOutcome {
    /// The endpoint accepted the message.
    #[serde(rename = "ok")]
    Success,
    /// The endpoint rejected the message for now; a later attempt may succeed.
    #[serde(rename = "refused")]
    Rejected,
    /// The endpoint responded with an error, the call timed out, no connection could be opened, or the connection
    /// broke.
    Failed,
    /// The attempt was cancelled, or is known not to have run: it never left the sender, or the endpoint responded that
    /// it did not run it.
    #[serde(rename = "none")]
    NotSent,
}

impl AccessRecord {
    /// Parses a line of a log. Text before the record prefix `trace ` is ignored.
    ///
    /// Any text may be passed; `None` is returned for a line that is not a record.
    #[must_use]
    pub fn parse(line: &str) -> Option<Self> {
        let (_, object) = line.split_once(RECORD_PREFIX)?;
        serde_json::from_str(object.trim_end()).ok()
    }
}

impl AccessEvent {
    /// The destination for which the event is counted. `None` for events that are not counted by destination, such as
    /// a Retry-After or a closed connection.
    pub(crate) fn destination(&self) -> Option<u64> {
        match self {
            AccessEvent::Accepted { destination, .. }
            | AccessEvent::Rejected { destination, .. }
            | AccessEvent::AttemptStarted { destination, .. }
            | AccessEvent::AttemptEnded { destination, .. }
            | AccessEvent::Delivered { destination, .. }
            | AccessEvent::Abandoned { destination, .. } => Some(*destination),
            AccessEvent::ConnectionClosed { .. } | AccessEvent::RetryAfter { .. } => None,
            AccessEvent::PolicyLog { text } => destination_in_log(text),
        }
    }
}

/// The number of the destination in a log entry of the decision module, such as 4 in "destination 4 sick: shut".
fn destination_in_log(text: &str) -> Option<u64> {
    text.strip_prefix("destination ")?
        .split(' ')
        .next()?
        .parse()
        .ok()
}
