//! The last snapshot of the state in the store.

use super::tables::{SNAPSHOT_KEY, put};
use super::{RaftStorage, RaftStorageError};
use crate::ReplicaId;
use openraft::{BasicNode, SnapshotMeta};
use serde::{Deserialize, Serialize};

/// A snapshot of the coordination state as it is stored. Both parts are also sent to replicas that need a snapshot.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StoredSnapshot {
    /// The last entry that the snapshot covers, and the membership of the group at that entry.
    pub meta: SnapshotMeta<ReplicaId, BasicNode>,
    /// The state as JSON.
    #[serde(rename = "data")]
    pub state_json: String,
}

impl RaftStorage {
    /// The last saved snapshot, or `None` if none was saved yet.
    ///
    /// # Errors
    /// If the snapshot can't be read.
    pub fn snapshot(&self) -> Result<Option<StoredSnapshot>, RaftStorageError> {
        self.get(SNAPSHOT_KEY)
    }

    /// Replaces the saved snapshot and syncs the new one to disk.
    ///
    /// # Errors
    /// If the write failed; the stored snapshot may be the old or the new one.
    pub fn save_snapshot(&self, snapshot: &StoredSnapshot) -> Result<(), RaftStorageError> {
        self.write_values(|values| put(values, SNAPSHOT_KEY, snapshot))
    }
}
