//! One record of the access log, as it is written and read.

use serde::{Deserialize, Serialize};

/// The text before the JSON object of each record.
pub(crate) const RECORD_PREFIX: &str = "trace ";

/// One step of a message at one sender, with its time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AccessRecord {
    /// When it happened: Unix time in microseconds.
    #[serde(rename = "at")]
    pub at_us: u64,
    /// What happened.
    #[serde(flatten)]
    pub event: AccessEvent,
}

/// What happened, and to which destination.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "snake_case")]
pub enum AccessEvent {
    /// A message was accepted.
    #[serde(rename = "taken")]
    Accepted {
        /// The message's id; empty in records of older senders.
        #[serde(default, skip_serializing_if = "String::is_empty")]
        id: String,
        /// Its destination.
        #[serde(rename = "to")]
        destination: u64,
    },
    /// A message was rejected on arrival.
    #[serde(rename = "turned_away")]
    Rejected {
        /// The message's id; empty in records of older senders.
        #[serde(default, skip_serializing_if = "String::is_empty")]
        id: String,
        /// Its destination.
        #[serde(rename = "to")]
        destination: u64,
    },
    /// An attempt began.
    #[serde(rename = "sent")]
    AttemptStarted {
        /// The message's id.
        #[serde(default)]
        id: String,
        /// Its destination.
        #[serde(rename = "to")]
        destination: u64,
        /// The attempt's number among the message's, from 0.
        attempt: usize,
    },
    /// An attempt ended.
    #[serde(rename = "ended")]
    AttemptEnded {
        /// The message's id.
        #[serde(default)]
        id: String,
        /// The attempt's number among the message's, from 0.
        #[serde(default)]
        attempt: usize,
        /// The endpoint's name.
        #[serde(default)]
        uid: String,
        /// The number of the call, new for each of a process; several messages may share it.
        #[serde(default)]
        call: u64,
        /// What the outcome is derived from, such as `answer 503` or `no head`.
        #[serde(default)]
        cause: String,
        /// The Retry-After of a rejection, in microseconds.
        #[serde(rename = "wait", default, skip_serializing_if = "Option::is_none")]
        retry_after_us: Option<u64>,
        /// The message's destination.
        #[serde(rename = "to")]
        destination: u64,
        /// How it ended.
        #[serde(rename = "how")]
        outcome: AttemptOutcome,
        /// The figures of the load report in its response.
        report: Vec<f64>,
        /// The number of its connection, new for each of a process.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        connection: Option<u64>,
        /// The call's place among those of its connection, from 1.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        call_on_connection: Option<u64>,
        /// Time from the last byte of the request to the first byte behind it, in microseconds.
        #[serde(
            rename = "response_after",
            default,
            skip_serializing_if = "Option::is_none"
        )]
        response_after_us: Option<u64>,
        /// What ties the response to the call, such as `first call`.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        attributed_by: Option<String>,
    },
    /// A connection to an endpoint was closed.
    #[serde(rename = "closed")]
    ConnectionClosed {
        /// The endpoint's name, empty if it is not listed any more.
        uid: String,
        /// The connection's number.
        connection: u64,
        /// How many calls it carried.
        calls: u64,
        /// Why, such as `evicted` or `unsolicited data`.
        #[serde(rename = "why")]
        reason: String,
        /// The status of the response that came while no call was out.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        unsolicited_status: Option<u16>,
        /// Time from the last request to what came while no call was out, in microseconds.
        #[serde(
            rename = "unsolicited_after",
            default,
            skip_serializing_if = "Option::is_none"
        )]
        unsolicited_after_us: Option<u64>,
    },
    /// A message was delivered.
    Delivered {
        /// The message's id; empty in records of older senders.
        #[serde(default, skip_serializing_if = "String::is_empty")]
        id: String,
        /// Its destination.
        #[serde(rename = "to")]
        destination: u64,
        /// Its age in microseconds, since it was accepted.
        #[serde(rename = "age")]
        age_us: u64,
    },
    /// A message was given up.
    GivenUp {
        /// The message's id; empty in records of older senders.
        #[serde(default, skip_serializing_if = "String::is_empty")]
        id: String,
        /// Its destination.
        #[serde(rename = "to")]
        destination: u64,
        /// Its age in microseconds, since it was accepted.
        #[serde(rename = "age")]
        age_us: u64,
        /// Why it was given up.
        #[serde(rename = "why", default)]
        reason: GiveUpReason,
        /// Whether no call of it was ever begun.
        #[serde(rename = "untried", default)]
        never_attempted: bool,
    },
    /// An endpoint sent a Retry-After, in any response; the first bytes of the response are enough.
    #[serde(rename = "told_wait")]
    RetryAfter {
        /// The endpoint's name.
        uid: String,
        /// The delay from now on, in microseconds.
        #[serde(rename = "wait")]
        delay_us: u64,
    },
    /// The decision module logged something.
    #[serde(rename = "remark")]
    PolicyLog {
        /// The text of the log entry.
        text: String,
    },
}

/// Why a message was given up.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum GiveUpReason {
    /// Its deadline passed.
    #[serde(rename = "time_up")]
    DeadlineExceeded,
    /// It was rejected after it had been accepted, before its deadline.
    #[serde(rename = "turned_away")]
    Rejected,
    /// All its attempts were used.
    #[serde(rename = "attempts_used")]
    AttemptsExhausted,
    /// It failed before its deadline, and with attempts left.
    #[serde(rename = "no_repeat")]
    NotRetryable,
    /// A record of an older sender does not say.
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
    /// The endpoint rejected it, for now.
    #[serde(rename = "refused")]
    Rejected,
    /// Anything else, but for what never left the sender.
    Failed,
    /// It was cancelled, or never sent.
    #[serde(rename = "none")]
    NotSent,
}

impl AccessRecord {
    /// Reads a line of a log, if that is a record; what stands before the prefix is not looked at.
    ///
    /// The line may be any text; what is no record gives none.
    #[must_use]
    pub fn parse(line: &str) -> Option<Self> {
        let (_, object) = line.split_once(RECORD_PREFIX)?;
        serde_json::from_str(object.trim_end()).ok()
    }
}

impl AccessEvent {
    /// The destination that it is counted for; a Retry-After and a closed connection are counted for none.
    pub(crate) fn destination(&self) -> Option<u64> {
        match self {
            AccessEvent::Accepted { destination, .. }
            | AccessEvent::Rejected { destination, .. }
            | AccessEvent::AttemptStarted { destination, .. }
            | AccessEvent::AttemptEnded { destination, .. }
            | AccessEvent::Delivered { destination, .. }
            | AccessEvent::GivenUp { destination, .. } => Some(*destination),
            AccessEvent::ConnectionClosed { .. } | AccessEvent::RetryAfter { .. } => None,
            AccessEvent::PolicyLog { text } => destination_in_log(text),
        }
    }
}

/// The destination in a log entry of the decision module such as "destination 4 sick: shut".
fn destination_in_log(text: &str) -> Option<u64> {
    text.strip_prefix("destination ")?
        .split(' ')
        .next()?
        .parse()
        .ok()
}
