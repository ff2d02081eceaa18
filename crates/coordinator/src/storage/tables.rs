//! The tables and keys of the store, and access to single values. The names are part of the on-disk format and must not
//! change.

use super::{RaftStorage, RaftStorageError};
use redb::{ReadableDatabase, TableDefinition};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// The store's file in the state folder.
pub(super) const FILE_NAME: &str = "steward.redb";

/// Entries of the Raft log by their index, as JSON.
pub(super) const LOG_TABLE: TableDefinition<'_, u64, &[u8]> = TableDefinition::new("log");
/// Single values by their key, as JSON.
pub(super) const VALUES_TABLE: TableDefinition<'_, &str, &[u8]> =
    TableDefinition::new("one of each");

pub(super) const INITIAL_STATE_KEY: &str = "first book";
pub(super) const IDENTITY_KEY: &str = "identity";
pub(super) const VOTE_KEY: &str = "vote";
pub(super) const COMMITTED_KEY: &str = "committed";
pub(super) const PURGED_KEY: &str = "purged";
pub(super) const SNAPSHOT_KEY: &str = "snapshot";

/// The table of single values, open for writing.
pub(super) type ValuesTable<'a> = redb::Table<'a, &'static str, &'static [u8]>;

/// Writes a value under its key.
pub(super) fn put(
    values: &mut ValuesTable<'_>,
    key: &str,
    value: &impl Serialize,
) -> Result<(), RaftStorageError> {
    values.insert(key, serde_json::to_vec(value)?.as_slice())?;
    Ok(())
}

impl RaftStorage {
    /// Creates the tables that don't exist yet.
    pub(super) fn create_tables(&self) -> Result<(), RaftStorageError> {
        let transaction = self.database.begin_write()?;
        transaction.open_table(LOG_TABLE)?;
        transaction.open_table(VALUES_TABLE)?;
        Ok(transaction.commit()?)
    }

    /// The value under a key, or `None` if the key is missing.
    pub(super) fn get<T: DeserializeOwned>(
        &self,
        key: &str,
    ) -> Result<Option<T>, RaftStorageError> {
        let transaction = self.database.begin_read()?;
        let values = transaction.open_table(VALUES_TABLE)?;
        let Some(value) = values.get(key)? else {
            return Ok(None);
        };
        Ok(Some(serde_json::from_slice(value.value())?))
    }

    /// Changes single values in one transaction and syncs it to disk.
    pub(super) fn write_values(
        &self,
        change: impl FnOnce(&mut ValuesTable<'_>) -> Result<(), RaftStorageError>,
    ) -> Result<(), RaftStorageError> {
        let transaction = self.database.begin_write()?;
        change(&mut transaction.open_table(VALUES_TABLE)?)?;
        Ok(transaction.commit()?)
    }
}
