//! Verification of the whole file.

use super::DeadLetterStore;
use crate::error::StoreError;
use crate::row::{self, Row};

/// All valid message numbers are below this bound: they are assigned one by one from 1, and never get that high.
const MAX_NUMBER: i64 = 1 << 62;

impl DeadLetterStore {
    /// Reads the whole file, and verifies its structure, the checksum of each row, and the number of rows.
    ///
    /// # Errors
    /// [`StoreError::Damaged`] at the first damage that is found, or [`StoreError::Database`] when the file can't be
    /// read for another reason, such as a lock.
    pub fn verify(&self) -> Result<(), StoreError> {
        self.verify_contents().map_err(|error| match error {
            StoreError::Database(error @ rusqlite::Error::SqliteFailure(..)) => {
                self.classify(error.into())
            }
            StoreError::Database(other) => self.damaged(other.to_string()),
            other => self.classify(other),
        })
    }

    fn verify_contents(&self) -> Result<(), StoreError> {
        let structure: String =
            self.connection
                .query_row("PRAGMA integrity_check(1)", [], |row| row.get(0))?;
        if structure != "ok" {
            return Err(self.damaged(structure));
        }
        let mut statement = self.connection.prepare(row::SELECT_ALL)?;
        let mut rows = statement.query([])?;
        let mut count: i64 = 0;
        while let Some(sql_row) = rows.next()? {
            Row::read(sql_row)?.verify()?;
            count += 1;
        }
        let expected: i64 = self.connection.query_row(
            "SELECT value FROM meta WHERE name = 'count'",
            [],
            |row| row.get(0),
        )?;
        if expected != count {
            return Err(self.damaged(format!("{expected} messages should be there, {count} are")));
        }
        Ok(())
    }

    /// The greatest message number in the store; 0 if the store is empty.
    ///
    /// # Errors
    /// When the file can't be read, or holds a number that no message can have.
    pub fn last_number(&self) -> Result<u64, StoreError> {
        let last: Option<i64> = self
            .connection
            .query_row("SELECT max(number) FROM message", [], |row| row.get(0))
            .map_err(|error| self.classify(error.into()))?;
        match u64::try_from(last.unwrap_or(0)) {
            Ok(last) if last < MAX_NUMBER as u64 => Ok(last),
            _ => {
                let problem = format!("message number {} is out of range", last.unwrap_or(0));
                Err(self.damaged(problem))
            }
        }
    }
}
