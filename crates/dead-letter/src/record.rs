//! The records, summaries, filters and statistics of dead letters that operators' commands and programs read.
//!
//! All times are Unix time in microseconds. The JSON keys and the texts of states, reasons and endings are
//! stored in files and sent over the control socket, so they must not change.

use milletturn_engine::{EndReason, Ending};
use milletturn_policy::{Micros, Outcome};
use serde::{Deserialize, Serialize};

/// The state of a dead letter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum State {
    /// Neither delivered nor resolved: a rule or an operator has to act on it.
    #[serde(rename = "kept")]
    Unresolved,
    /// A redrive has been requested; the journal may or may not have recorded the redrive yet.
    #[serde(rename = "ordered")]
    RedriveRequested,
    /// The journal has recorded the redrive, and the message is being sent again.
    #[serde(rename = "out")]
    Redriving,
    /// Delivered by a redrive, or by an attempt whose response came after the message had ended.
    #[serde(rename = "delivered")]
    Delivered,
    /// Resolved by an operator.
    #[serde(rename = "settled")]
    Resolved,
}

impl State {
    /// All states, in the order of [`Stats::by_state`].
    pub const ALL: [State; 5] = [
        State::Unresolved,
        State::RedriveRequested,
        State::Redriving,
        State::Delivered,
        State::Resolved,
    ];

    /// True if no rule or operator has to act on the message any more.
    #[must_use]
    pub fn is_resolved(self) -> bool {
        matches!(self, State::Delivered | State::Resolved)
    }

    /// The state's text in the store's file, in commands and in JSON.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            State::Unresolved => "kept",
            State::RedriveRequested => "ordered",
            State::Redriving => "out",
            State::Delivered => "delivered",
            State::Resolved => "settled",
        }
    }

    /// The state with this text; `None` for an unknown text.
    #[must_use]
    pub fn parse(text: &str) -> Option<State> {
        State::ALL.into_iter().find(|state| state.as_str() == text)
    }
}

/// The reasons why messages end, with their texts in the store's file, in settings and in commands.
const REASONS: [(EndReason, &str); 6] = [
    (EndReason::Unknown, "unknown"),
    (EndReason::DeadlineExceeded, "time-up"),
    (EndReason::NotRetryable, "no-repeat"),
    (EndReason::AttemptsExhausted, "attempts-used"),
    (EndReason::Rejected, "turned-away"),
    (EndReason::Delivered, "delivered"),
];

/// The text of a reason in the store's file, in settings and in commands.
#[must_use]
pub fn reason_text(reason: EndReason) -> &'static str {
    REASONS
        .iter()
        .find(|(known, _)| *known == reason)
        .map_or("unknown", |(_, text)| text)
}

/// The reason with this text; `None` for an unknown text.
#[must_use]
pub fn parse_reason(text: &str) -> Option<EndReason> {
    REASONS
        .iter()
        .find(|(_, known)| *known == text)
        .map(|&(reason, _)| reason)
}

/// One attempt to deliver a message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attempt {
    /// Name of the endpoint that the attempt was sent to; empty for an attempt that is presumed because the journal was
    /// damaged.
    pub endpoint: String,
    /// When the attempt was sent.
    pub sent_at: Micros,
    /// How the attempt ended, as [`outcome_text`] writes it; `None` if the sender's process ended first.
    pub outcome: Option<String>,
    /// Time from the attempt's start to its end, in microseconds; `None` if it was not recorded.
    pub latency: Option<Micros>,
    /// True unless it is certain that the destination did not process the attempt.
    pub may_have_run: bool,
}

/// One round of attempts to deliver a message: the first round, which follows the client's submission, or the round of
/// a redrive.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Round {
    /// When the engine accepted the message for this round.
    #[serde(rename = "taken_at")]
    pub accepted_at: Micros,
    /// When the round ended.
    pub ended_at: Micros,
    /// How the round ended: `failed`, `returned` or `delivered`.
    pub ending: String,
    /// Why the round ended, as [`reason_text`] writes it.
    pub reason: String,
    /// The attempts of the round, in the order in which they were sent.
    pub attempts: Vec<Attempt>,
}

/// An entry of a message's audit log: one action on the message in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditEntry {
    /// Time of the action.
    pub at: Micros,
    /// The action, as a short text.
    #[serde(rename = "what")]
    pub action: String,
    /// Who did it: the name of a rule or an operator; `restart` for a correction after a restart of the sender;
    /// `sender` if the engine did not accept a redrive.
    #[serde(rename = "who")]
    pub actor: String,
    /// Why the action was taken.
    #[serde(rename = "why")]
    pub reason: String,
}

/// A dead letter without its attempt history and body, as an entry of a list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// The message's number, which identifies the message in the journal and in the store.
    pub number: u64,
    /// The id that the client gave to the message.
    pub id: String,
    /// Idempotency key by which the destination recognizes repeated requests; `None` if the message has no key.
    pub key: Option<String>,
    /// Name of the message's class.
    pub class: String,
    /// Number of the message's destination.
    pub destination: u64,
    /// State of the message in the store.
    pub state: State,
    /// Why the last round ended, as [`reason_text`] writes it.
    pub reason: String,
    /// How the last round ended: `failed`, `returned` or `delivered`.
    pub ending: String,
    /// When the engine first accepted the message.
    #[serde(rename = "taken_at")]
    pub accepted_at: Micros,
    /// When the last round ended.
    pub ended_at: Micros,
    /// Deadline of the first round of attempts.
    pub deadline: Micros,
    /// Number of redrives so far.
    #[serde(rename = "resends")]
    pub redrives: u32,
    /// When the first attempt that the destination may have processed was sent; `None` if there is none. Attempts that
    /// an operator has confirmed not to have run don't count. 0 if the time is unknown because it was recorded in a
    /// damaged file that was set aside.
    #[serde(rename = "first_risk")]
    pub first_uncertain_at: Option<Micros>,
    /// True if an operator has confirmed that the message did not run, or that its client does not resubmit it.
    #[serde(rename = "stated")]
    pub confirmed_not_run: bool,
    /// Size of the body in bytes; `None` once the body was dropped to free space.
    pub body_bytes: Option<u64>,
}

/// Everything that the store holds about a dead letter.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The message without history and body.
    #[serde(flatten)]
    pub summary: Summary,
    /// Rounds of attempts, oldest first.
    pub rounds: Vec<Round>,
    /// Actions on the message in the store, oldest first.
    #[serde(rename = "notes")]
    pub audit_log: Vec<AuditEntry>,
    /// The message's body in base64, if the request asked for bodies.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub body_base64: Option<String>,
}

/// Whether a record includes the body of its message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyMode {
    /// The record has the body, in base64.
    Include,
    /// The record has no body.
    Omit,
}

impl BodyMode {
    /// Includes the bodies if a request asks for them.
    #[must_use]
    pub fn from_requested(bodies: bool) -> Self {
        if bodies {
            BodyMode::Include
        } else {
            BodyMode::Omit
        }
    }
}

/// Selects the messages that a command applies to. All conditions must be met; an absent condition matches every
/// message.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Filter {
    /// Numbers of the messages; an empty list matches all.
    pub numbers: Vec<u64>,
    /// Number of the destination.
    pub destination: Option<u64>,
    /// Name of the class.
    pub class: Option<String>,
    /// Why the last round ended, as [`reason_text`] writes it.
    pub reason: Option<String>,
    /// State of the message in the store.
    pub state: Option<State>,
    /// Matches messages that were first accepted before this time.
    pub before: Option<Micros>,
    /// Matches messages that were first accepted at this time or later.
    pub since: Option<Micros>,
    /// Whether the destination may have processed an attempt at the message.
    pub may_have_run: Option<bool>,
}

impl Filter {
    /// True if the message meets all conditions.
    #[must_use]
    pub fn matches(&self, summary: &Summary) -> bool {
        (self.numbers.is_empty() || self.numbers.contains(&summary.number))
            && self
                .destination
                .is_none_or(|destination| destination == summary.destination)
            && self
                .class
                .as_ref()
                .is_none_or(|class| *class == summary.class)
            && self
                .reason
                .as_ref()
                .is_none_or(|reason| *reason == summary.reason)
            && self.state.is_none_or(|state| state == summary.state)
            && self
                .before
                .is_none_or(|before| summary.accepted_at < before)
            && self.since.is_none_or(|since| summary.accepted_at >= since)
            && self
                .may_have_run
                .is_none_or(|expected| expected == summary.first_uncertain_at.is_some())
    }
}

/// The text of an ending in the store's file and in commands.
#[must_use]
pub fn ending_text(ending: Ending) -> &'static str {
    match ending {
        Ending::Failed => "failed",
        Ending::Returned { .. } => "returned",
        Ending::Delivered => "delivered",
    }
}

/// The ending with this text; `None` for an unknown text. The retry-after delay of a returned message is not stored.
#[must_use]
pub fn parse_ending(text: &str) -> Option<Ending> {
    match text {
        "failed" => Some(Ending::Failed),
        "returned" => Some(Ending::Returned { after_ms: None }),
        "delivered" => Some(Ending::Delivered),
        _ => None,
    }
}

/// The text of an attempt's outcome in the store's file and in commands.
#[must_use]
pub fn outcome_text(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Success => "success",
        Outcome::Error => "error",
        Outcome::Rejected { .. } => "refused",
        Outcome::TimedOut => "timed-out",
        Outcome::NoConnection => "no-connection",
        Outcome::Reset => "reset",
        Outcome::Cancelled => "cancelled",
        Outcome::Unsent { .. } => "unsent",
    }
}

/// Statistics of the store: its content and its limits.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stats {
    /// Number of messages by state, in the order of [`State::ALL`].
    pub by_state: [u64; 5],
    /// Size of the file's pages that are in use, in bytes.
    pub bytes: u64,
    /// Maximum size of the file, in bytes.
    #[serde(rename = "bytes_most")]
    pub max_bytes: u64,
    /// Maximum number of messages in the store.
    #[serde(rename = "count_most")]
    pub max_messages: u64,
    /// When the oldest message that is neither delivered nor resolved was first accepted; `None` if there is none.
    #[serde(rename = "oldest_kept")]
    pub oldest_unresolved: Option<Micros>,
    /// Number of messages that are neither delivered nor resolved, and were first accepted longer ago than the maximum
    /// age in the settings.
    #[serde(rename = "over_age")]
    pub past_max_age: u64,
    /// True if newly failed messages wait in the journal because the store is full.
    pub full: bool,
}

impl Stats {
    /// Number of messages in the store, in all states.
    #[must_use]
    pub fn count(&self) -> u64 {
        self.by_state.iter().sum()
    }
}
