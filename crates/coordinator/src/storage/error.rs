//! Errors of the coordinator's store.

use crate::ReplicaId;
use std::path::PathBuf;

/// Why a coordinator's store can't be used.
#[derive(Debug, thiserror::Error)]
pub enum RaftStorageError {
    /// The state folder has no store.
    #[error(
        "{path}: no coordinator's disk. For a new group: `milletturn coordinator --config FILE --found`, once on \
         each machine. If this coordinator has lost its disk, never do that: an empty disk has forgotten its votes"
    )]
    NotFound {
        /// The expected file of the store.
        path: PathBuf,
    },
    /// The folder already has a store.
    #[error(
        "{path}: already holds the data of coordinator {id} of group {group:?}; a new store would lose its votes and acknowledged entries"
    )]
    AlreadyExists {
        /// The store's file.
        path: PathBuf,
        /// The replica to which the store belongs.
        id: ReplicaId,
        /// The group of that replica.
        group: String,
    },
    /// The store belongs to another replica.
    #[error(
        "{path}: belongs to coordinator {id} of group {group:?}, which is not the one in the settings"
    )]
    OtherReplica {
        /// The store's file.
        path: PathBuf,
        /// The replica to which the store belongs.
        id: ReplicaId,
        /// The group of that replica.
        group: String,
    },
    /// A file or folder can't be created, removed or renamed.
    #[error("{path}: {source}")]
    File {
        /// The file or folder.
        path: PathBuf,
        /// The operating system's error.
        source: std::io::Error,
    },
    /// The embedded database reported an error.
    #[error("the coordinator's store: {0}")]
    Store(#[from] redb::Error),
    /// A stored value can't be parsed, or a value can't be serialized.
    #[error("the coordinator's store holds a value that can't be parsed: {0}")]
    Format(#[from] serde_json::Error),
}

macro_rules! from_store_errors {
    ($($error:ident)*) => {
        $(impl From<redb::$error> for RaftStorageError {
            fn from(error: redb::$error) -> Self {
                RaftStorageError::Store(error.into())
            }
        })*
    };
}
from_store_errors!(DatabaseError TransactionError TableError StorageError CommitError SetDurabilityError);
