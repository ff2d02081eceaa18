//! The records of the outcome log, one JSON object per line.

use milletturn_engine::{Ending, Notification};
use serde::{Deserialize, Serialize};

/// The final outcome of one message, as the application reads it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// Position in the log; cursors increase from one outcome to the next. A reader that requests the outcomes after a
    /// cursor acknowledges all outcomes up to and including it.
    pub cursor: u64,
    /// The number that the sender gave the message.
    pub number: u64,
    /// The id that the application gave the message.
    pub id: String,
    /// `delivered`, `returned` (the message may safely be submitted again) or `failed`.
    pub state: String,
    /// For a returned message: how long to wait before resubmitting it, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub after_ms: Option<u64>,
}

/// An outcome that is not acknowledged yet. Many are in memory at once, so the form is compact.
#[derive(Debug)]
pub(super) struct PendingOutcome {
    pub(super) cursor: u64,
    pub(super) number: u64,
    pub(super) id: Box<str>,
    ending: Ending,
}

impl PendingOutcome {
    /// The outcome that a notification of the engine reports, at a cursor.
    pub(super) fn from_notification(cursor: u64, notification: &Notification) -> Self {
        PendingOutcome {
            cursor,
            number: notification.number,
            id: notification.id.as_str().into(),
            ending: notification.ending,
        }
    }

    /// The compact form of an outcome; `None` if its state is unknown.
    pub(super) fn from_outcome(outcome: &Outcome) -> Option<Self> {
        let ending = match outcome.state.as_str() {
            "delivered" => Ending::Delivered,
            "failed" => Ending::Failed,
            "returned" => Ending::Returned {
                after_ms: outcome.after_ms,
            },
            _ => return None,
        };
        Some(PendingOutcome {
            cursor: outcome.cursor,
            number: outcome.number,
            id: outcome.id.as_str().into(),
            ending,
        })
    }

    pub(super) fn to_outcome(&self) -> Outcome {
        let (state, after_ms) = match self.ending {
            Ending::Delivered => ("delivered", None),
            Ending::Failed => ("failed", None),
            Ending::Returned { after_ms } => ("returned", after_ms),
        };
        Outcome {
            cursor: self.cursor,
            number: self.number,
            id: self.id.to_string(),
            state: state.to_string(),
            after_ms,
        }
    }

    pub(super) fn to_record(&self) -> Record {
        Record::Outcome(self.to_outcome())
    }
}

impl Outcome {
    /// The outcome as a line of JSON, with its line feed.
    pub(crate) fn to_json_line(&self) -> String {
        serde_json::to_string(self)
            .map(|text| text + "\n")
            .unwrap_or_default()
    }
}

/// One line of the log's file.
#[derive(Serialize, Deserialize)]
#[serde(untagged)]
pub(super) enum Record {
    /// A final outcome.
    Outcome(Outcome),
    /// All outcomes up to a cursor have been acknowledged.
    Acknowledgement {
        /// The last acknowledged cursor.
        #[serde(rename = "acked")]
        cursor: u64,
        /// Numbers of recently acknowledged messages; empty except in the first record of a rewritten file.
        #[serde(rename = "recent")]
        message_numbers: Vec<u64>,
    },
}
