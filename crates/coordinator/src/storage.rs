//! The persistent store of a coordinator: its identity, its vote, the Raft log and the last snapshot.
//!
//! The store is an embedded database (`redb`) in one file with checksummed pages. A commit is synced to disk before the
//! call returns, except that of the committed position, which may be lost.
//!
//! A failed write ends the coordinator: the contents of the disk after a failed sync are unknown, so the process must
//! not continue with them.
//!
//! - `error`: why the store can't be used.
//! - `tables`: the tables and keys of the store, and access to single values.
//! - `vote`: the vote and the committed position.
//! - `log`: the entries of the Raft log.
//! - `snapshot`: the last snapshot of the state.

mod error;
mod log;
mod snapshot;
mod tables;
mod vote;

pub use error::RaftStorageError;
pub use snapshot::StoredSnapshot;

use crate::ReplicaId;
use milletturn_coordination::CoordinationState;
use redb::Database;
use serde::{Deserialize, Serialize};
use std::path::Path;
use std::sync::Arc;
use tables::{FILE_NAME, IDENTITY_KEY, INITIAL_STATE_KEY, put};

/// The replica to which a store belongs; written once, when the store is created.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaIdentity {
    /// The name of the group.
    pub group: String,
    /// The replica's number, unique in its group.
    pub id: ReplicaId,
    /// The replicas with which the group was founded.
    #[serde(rename = "founders")]
    pub founding_replicas: Vec<ReplicaId>,
    /// Identifies the initial state of the group; the same for all replicas of the group: `new`, or the generation and
    /// the digest of the restored backup.
    pub origin: String,
}

/// The open store of a coordinator. Clones share the same database.
#[derive(Debug, Clone)]
pub struct RaftStorage {
    database: Arc<Database>,
}

impl RaftStorage {
    /// Creates the store of a founding replica with the group's initial state.
    ///
    /// # Errors
    /// If the folder already has a store, or can't be written.
    pub fn bootstrap(
        folder: &Path,
        identity: &ReplicaIdentity,
        initial_state: &CoordinationState,
    ) -> Result<(), RaftStorageError> {
        let path = folder.join(FILE_NAME);
        if path.exists() {
            let ReplicaIdentity { group, id, .. } = Self::open_file(&path)?.identity()?;
            return Err(RaftStorageError::AlreadyExists { path, id, group });
        }
        std::fs::create_dir_all(folder).map_err(|source| RaftStorageError::File {
            path: folder.into(),
            source,
        })?;
        // the store has a temporary name until it is complete, so that an interrupted bootstrap leaves no usable store
        let unfinished = folder.join(format!("{FILE_NAME}.new"));
        match std::fs::remove_file(&unfinished) {
            Err(source) if source.kind() != std::io::ErrorKind::NotFound => {
                return Err(RaftStorageError::File {
                    path: unfinished,
                    source,
                });
            }
            _ => {}
        }
        let storage = Self {
            database: Arc::new(Database::create(&unfinished)?),
        };
        storage.write_values(|values| {
            put(values, INITIAL_STATE_KEY, initial_state)?;
            put(values, IDENTITY_KEY, identity)
        })?;
        drop(storage);
        std::fs::rename(&unfinished, &path)
            .and_then(|()| std::fs::File::open(folder)?.sync_all())
            .map_err(|source| RaftStorageError::File { path, source })
    }

    /// Opens the store of this replica.
    ///
    /// # Errors
    /// If there is no store, it belongs to another replica, another process has it open, or it can't be read.
    pub fn open(folder: &Path, group: &str, id: ReplicaId) -> Result<Self, RaftStorageError> {
        let path = folder.join(FILE_NAME);
        if !path.exists() {
            return Err(RaftStorageError::NotFound { path });
        }
        let storage = Self::open_file(&path)?;
        let identity = storage.identity()?;
        if identity.group != group || identity.id != id {
            return Err(RaftStorageError::OtherReplica {
                path,
                id: identity.id,
                group: identity.group,
            });
        }
        Ok(storage)
    }

    fn open_file(path: &Path) -> Result<Self, RaftStorageError> {
        let storage = Self {
            database: Arc::new(Database::open(path)?),
        };
        storage.create_tables()?;
        Ok(storage)
    }

    /// The replica to which the store belongs.
    ///
    /// # Errors
    /// If the identity can't be read.
    pub fn identity(&self) -> Result<ReplicaIdentity, RaftStorageError> {
        let missing = || serde::de::Error::custom("no identity");
        self.get(IDENTITY_KEY)?
            .ok_or_else(|| RaftStorageError::Format(missing()))
    }

    /// The group's initial state: empty, or restored from a backup.
    ///
    /// # Errors
    /// If the state can't be read.
    pub fn initial_state(&self) -> Result<CoordinationState, RaftStorageError> {
        Ok(self.get(INITIAL_STATE_KEY)?.unwrap_or_default())
    }
}
