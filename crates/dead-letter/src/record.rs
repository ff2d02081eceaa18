//! Dead letters as commands show them and programs read them: records, summaries, filters and statistics.
//!
//! All times are Unix time in microseconds. The JSON keys and the texts of states, reasons and endings are stored and
//! sent; they stay as they are.

use milletturn_engine::{EndReason, Ending};
use milletturn_policy::{Micros, Outcome};
use serde::{Deserialize, Serialize};

/// The state of a dead letter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum State {
    /// Neither delivered nor resolved; somebody has to act on it.
    #[serde(rename = "kept")]
    Unresolved,
    /// A redrive has been requested; the journal may have it already.
    #[serde(rename = "ordered")]
    RedriveRequested,
    /// The journal has accepted the redrive: the message is being sent again.
    #[serde(rename = "out")]
    Redriving,
    /// Delivered by a redrive, or by an attempt whose answer came late.
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

    /// True if nobody has to act on the message any more.
    #[must_use]
    pub fn is_resolved(self) -> bool {
        matches!(self, State::Delivered | State::Resolved)
    }

    /// The text that the file, the commands and their JSON have for the state.
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

    /// The state that a text names, if any.
    #[must_use]
    pub fn parse(text: &str) -> Option<State> {
        State::ALL.into_iter().find(|state| state.as_str() == text)
    }
}

/// Reasons of an end with the text that files and commands have for them.
const REASONS: [(EndReason, &str); 6] = [
    (EndReason::Unknown, "unknown"),
    (EndReason::DeadlineExceeded, "time-up"),
    (EndReason::NotRetryable, "no-repeat"),
    (EndReason::AttemptsExhausted, "attempts-used"),
    (EndReason::Rejected, "turned-away"),
    (EndReason::Delivered, "delivered"),
];

/// The text of a reason.
#[must_use]
pub fn reason_text(reason: EndReason) -> &'static str {
    REASONS
        .iter()
        .find(|(known, _)| *known == reason)
        .map_or("unknown", |(_, text)| text)
}

/// The reason that a text names, if any.
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
    /// The endpoint's name.
    pub endpoint: String,
    /// When it was sent.
    pub sent_at: Micros,
    /// How it ended; `None` where the process ended first.
    pub outcome: Option<String>,
    /// Time from its start to its end, in microseconds.
    pub latency: Option<Micros>,
    /// Nothing proves that it never ran.
    pub may_have_run: bool,
}

/// One round of attempts: the first after the message was handed in, or that of a redrive.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Round {
    /// When the engine accepted the message for this round.
    #[serde(rename = "taken_at")]
    pub accepted_at: Micros,
    /// When the round ended.
    pub ended_at: Micros,
    /// How it ended: `failed`, `returned` or `delivered`.
    pub ending: String,
    /// Why it ended, as [`reason_text`] has it.
    pub reason: String,
    /// Its attempts, in order.
    pub attempts: Vec<Attempt>,
}

/// An entry of a message's audit log: something that was done to it in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditEntry {
    /// When it was done.
    pub at: Micros,
    /// What was done.
    #[serde(rename = "what")]
    pub action: String,
    /// Who did it: the name of a rule or of an operator.
    #[serde(rename = "who")]
    pub actor: String,
    /// Why it was done.
    #[serde(rename = "why")]
    pub reason: String,
}

/// A dead letter without its history and body, as a list shows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// The message's number.
    pub number: u64,
    /// The id that its client gave it.
    pub id: String,
    /// Its idempotency key, by which the destination drops repeats.
    pub key: Option<String>,
    /// The name of its class.
    pub class: String,
    /// Its destination.
    pub destination: u64,
    /// Its state.
    pub state: State,
    /// Why it ended last, as [`reason_text`] has it.
    pub reason: String,
    /// How it ended last: `failed`, `returned` or `delivered`.
    pub ending: String,
    /// When it was first accepted.
    #[serde(rename = "taken_at")]
    pub accepted_at: Micros,
    /// When it ended last.
    pub ended_at: Micros,
    /// Until when its first round could deliver it.
    pub deadline: Micros,
    /// How often it was redriven.
    #[serde(rename = "resends")]
    pub redrives: u32,
    /// When the first attempt was sent that may have run and that no operator has confirmed not to have run.
    #[serde(rename = "first_risk")]
    pub first_uncertain_at: Option<Micros>,
    /// An operator has confirmed that it did not run.
    #[serde(rename = "stated")]
    pub confirmed_not_run: bool,
    /// Bytes of its body; `None` once that was dropped to free space.
    pub body_bytes: Option<u64>,
}

/// All that the store has of a dead letter.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// What a list shows of it.
    #[serde(flatten)]
    pub summary: Summary,
    /// Its rounds of attempts, in order.
    pub rounds: Vec<Round>,
    /// What was done to it in the store, in order.
    #[serde(rename = "notes")]
    pub audit_log: Vec<AuditEntry>,
    /// Its body in base64, where that was asked for.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub body_base64: Option<String>,
}

/// Whether a record has the body of its message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyMode {
    /// With the body, in base64.
    Include,
    /// Without it.
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

/// Which messages a command is about. All conditions must be met; one that is absent matches every message.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Filter {
    /// These numbers only; empty matches all.
    pub numbers: Vec<u64>,
    /// The destination.
    pub destination: Option<u64>,
    /// The name of the class.
    pub class: Option<String>,
    /// Why it ended last, as [`reason_text`] has it.
    pub reason: Option<String>,
    /// The state.
    pub state: Option<State>,
    /// First accepted before this time.
    pub before: Option<Micros>,
    /// First accepted at this time or after it.
    pub since: Option<Micros>,
    /// Whether an attempt may have run.
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

/// The text of an ending.
#[must_use]
pub fn ending_text(ending: Ending) -> &'static str {
    match ending {
        Ending::Failed => "failed",
        Ending::Returned { .. } => "returned",
        Ending::Delivered => "delivered",
    }
}

/// The ending that a text names, if any; the Retry-After of a returned message is not stored.
#[must_use]
pub fn parse_ending(text: &str) -> Option<Ending> {
    match text {
        "failed" => Some(Ending::Failed),
        "returned" => Some(Ending::Returned { after_ms: None }),
        "delivered" => Some(Ending::Delivered),
        _ => None,
    }
}

/// The text of an attempt's outcome.
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

/// What the store holds, and what it may hold.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stats {
    /// Messages by state, in the order of [`State::ALL`].
    pub by_state: [u64; 5],
    /// Bytes that the file uses.
    pub bytes: u64,
    /// Bytes that the file may use.
    #[serde(rename = "bytes_most")]
    pub max_bytes: u64,
    /// Messages that the store may hold.
    #[serde(rename = "count_most")]
    pub max_messages: u64,
    /// When the oldest unresolved message was first accepted.
    #[serde(rename = "oldest_kept")]
    pub oldest_unresolved: Option<Micros>,
    /// Unresolved messages older than the age that the settings give.
    #[serde(rename = "over_age")]
    pub past_max_age: u64,
    /// New failures wait in the journal because the store is full.
    pub full: bool,
}

impl Stats {
    /// Messages in the store.
    #[must_use]
    pub fn count(&self) -> u64 {
        self.by_state.iter().sum()
    }
}
