//! The entries of the Raft log in the store.

use super::tables::{LOG_TABLE, PURGED_KEY, VALUES_TABLE, put};
use super::{RaftStorage, RaftStorageError};
use crate::{RaftTypes, ReplicaId};
use openraft::{Entry, LogId};
use redb::{ReadableDatabase, ReadableTable};
use std::ops::{Bound, RangeBounds};

impl RaftStorage {
    /// The last purged entry, or `None` if none was purged. The log begins with the entry after it.
    ///
    /// # Errors
    /// If the store can't be read.
    pub fn last_purged(&self) -> Result<Option<LogId<ReplicaId>>, RaftStorageError> {
        self.get(PURGED_KEY)
    }

    /// The ID of the last entry in the log, or `None` if the log is empty.
    ///
    /// # Errors
    /// If the store can't be read.
    pub fn last_log_id(&self) -> Result<Option<LogId<ReplicaId>>, RaftStorageError> {
        let transaction = self.database.begin_read()?;
        let log = transaction.open_table(LOG_TABLE)?;
        let Some((_, entry)) = log.last()? else {
            return Ok(None);
        };
        let entry: Entry<RaftTypes> = serde_json::from_slice(entry.value())?;
        Ok(Some(entry.log_id))
    }

    /// The entries whose index is in this range.
    ///
    /// # Errors
    /// If they can't be read.
    pub fn entries(
        &self,
        range: impl RangeBounds<u64>,
    ) -> Result<Vec<Entry<RaftTypes>>, RaftStorageError> {
        let transaction = self.database.begin_read()?;
        let log = transaction.open_table(LOG_TABLE)?;
        let bounds: (Bound<u64>, Bound<u64>) =
            (range.start_bound().cloned(), range.end_bound().cloned());
        let mut entries = Vec::new();
        for entry in log.range(bounds)? {
            entries.push(serde_json::from_slice(entry?.1.value())?);
        }
        Ok(entries)
    }

    /// Appends entries and syncs them to disk.
    ///
    /// # Errors
    /// If the write failed; the entries may or may not be on disk.
    pub fn append(&self, entries: &[Entry<RaftTypes>]) -> Result<(), RaftStorageError> {
        let transaction = self.database.begin_write()?;
        {
            let mut log = transaction.open_table(LOG_TABLE)?;
            for entry in entries {
                log.insert(entry.log_id.index, serde_json::to_vec(entry)?.as_slice())?;
            }
        }
        Ok(transaction.commit()?)
    }

    /// Removes the entry at index `from` and all later ones.
    ///
    /// # Errors
    /// If the write failed; the entries may or may not be removed.
    pub fn truncate(&self, from: u64) -> Result<(), RaftStorageError> {
        let transaction = self.database.begin_write()?;
        transaction
            .open_table(LOG_TABLE)?
            .retain_in(from.., |_, _| false)?;
        Ok(transaction.commit()?)
    }

    /// Removes the entries up to and including `up_to`. The caller must have saved a snapshot that covers all of them.
    ///
    /// # Errors
    /// If the write failed; the entries may or may not be removed.
    pub fn purge(&self, up_to: LogId<ReplicaId>) -> Result<(), RaftStorageError> {
        let transaction = self.database.begin_write()?;
        transaction
            .open_table(LOG_TABLE)?
            .retain_in(..=up_to.index, |_, _| false)?;
        put(
            &mut transaction.open_table(VALUES_TABLE)?,
            PURGED_KEY,
            &up_to,
        )?;
        Ok(transaction.commit()?)
    }
}
