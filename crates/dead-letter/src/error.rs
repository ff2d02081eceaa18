//! Errors of the dead-letter store and of operations on its messages.

use crate::redrive_decision::Denial;
use milletturn_engine::RedriveOutcome;
use std::path::PathBuf;
use thiserror::Error;

/// An error of the store: its file can't be used, or its thread does not respond.
#[derive(Debug, Error)]
pub enum StoreError {
    /// The file is damaged.
    #[error("the store {path} is damaged: {problem}", path = path.display())]
    Damaged {
        /// The store's file.
        path: PathBuf,
        /// What is damaged, and how.
        problem: String,
    },
    /// The file belongs to a newer version of this program, or to another program.
    #[error("the store {path} is not one that this version can read: {found}", path = path.display())]
    Unsupported {
        /// The store's file.
        path: PathBuf,
        /// The application id and version that were found in the file.
        found: String,
    },
    /// The file can't be created.
    #[error("the store {path} can't be created: {source}", path = path.display())]
    Create {
        /// The store's file.
        path: PathBuf,
        /// The file system's error.
        source: std::io::Error,
    },
    /// SQLite failed.
    #[error("the store can't be used: {0}")]
    Database(#[from] rusqlite::Error),
    /// A row has values that this program never writes, or a checksum that does not match.
    #[error("the store's row {number} can't be read: {problem}")]
    InvalidRow {
        /// Number of the row's message; 0 if the number can't be read.
        number: u64,
        /// What is wrong with the row.
        problem: String,
    },
    /// The store's thread does not run or did not reply, or its job queue stayed full.
    #[error("the store can't be used; see the log")]
    Unavailable,
}

/// Why a message may not be redriven or resolved now; the store itself works.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum Rejection {
    /// The store holds no such message.
    #[error("there is no such message")]
    NotFound,
    /// A redrive of the message is in progress.
    #[error("it is being sent again already")]
    InProgress,
    /// An operator has resolved the message.
    #[error("it has been settled")]
    Resolved,
    /// The redrive is not allowed, or the message can't be marked as not run because it was delivered. The [`Denial`]
    /// gives the reason.
    #[error("{0}")]
    Denied(Denial),
    /// The engine did not accept the redrive.
    #[error("{}", describe_redrive_outcome(*.0))]
    Engine(RedriveOutcome),
}

/// Why a message was not redriven or resolved.
#[derive(Debug, Error)]
pub enum RedriveError {
    /// The message may not be redriven or resolved now.
    #[error(transparent)]
    Rejected(#[from] Rejection),
    /// The store's file could not be read or written, or the store's thread did not reply.
    #[error(transparent)]
    Store(#[from] StoreError),
}

/// Text for operators that says why the engine did not accept a redrive.
fn describe_redrive_outcome(outcome: RedriveOutcome) -> &'static str {
    match outcome {
        RedriveOutcome::InFlight => {
            "a call of it is not over, or its end is not told yet; try again shortly"
        }
        RedriveOutcome::Busy => "fresh messages take up the room; try again later",
        RedriveOutcome::NoCapacity => "the ledger has no room; try again later",
        RedriveOutcome::TooLate => "its key's window ended before it could be sent",
        RedriveOutcome::Accepted => "it has been taken",
    }
}
