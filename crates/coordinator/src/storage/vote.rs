//! The vote of a replica, and the position up to which it knows the log to be committed, in the store.

use super::tables::{COMMITTED_KEY, VALUES_TABLE, VOTE_KEY, put};
use super::{RaftStorage, RaftStorageError};
use crate::ReplicaId;
use openraft::{LogId, Vote};
use redb::Durability;

impl RaftStorage {
    /// The last saved vote, or `None` if this replica has not voted yet.
    ///
    /// # Errors
    /// If the vote can't be read.
    pub fn vote(&self) -> Result<Option<Vote<ReplicaId>>, RaftStorageError> {
        self.get(VOTE_KEY)
    }

    /// Saves a vote and syncs it to disk.
    ///
    /// # Errors
    /// If the write failed; the vote may or may not be on disk.
    pub fn save_vote(&self, vote: &Vote<ReplicaId>) -> Result<(), RaftStorageError> {
        self.write_values(|values| put(values, VOTE_KEY, vote))
    }

    /// The last entry that is known to be committed; later entries may be committed too.
    ///
    /// # Errors
    /// If the position can't be read.
    pub fn committed(&self) -> Result<Option<LogId<ReplicaId>>, RaftStorageError> {
        Ok(self.get(COMMITTED_KEY)?.flatten())
    }

    /// Saves the position of the last entry that is known to be committed, without a sync: the position reaches the
    /// disk with the next synced write. Losing the position makes the next start slower but loses no data.
    ///
    /// # Errors
    /// If the store reports an error.
    pub fn save_committed(
        &self,
        committed: Option<LogId<ReplicaId>>,
    ) -> Result<(), RaftStorageError> {
        let mut transaction = self.database.begin_write()?;
        transaction.set_durability(Durability::None)?;
        put(
            &mut transaction.open_table(VALUES_TABLE)?,
            COMMITTED_KEY,
            &committed,
        )?;
        Ok(transaction.commit()?)
    }
}
