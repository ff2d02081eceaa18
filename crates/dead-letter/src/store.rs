//! The store's file: an SQLite database with one row for each message.
//!
//! The database uses a rollback journal instead of a write-ahead log: SQLite silently ignores a write-ahead log from
//! the first damaged frame on, so transactions committed after that frame would be lost without an error. Each row
//! carries a checksum over all its columns, and the database stores the number of its rows, so that a flipped bit or a
//! lost page is found before any message is sent from the file.
//!
//! - this module: opening the file, and reading and changing single rows;
//! - `schema`: creation, versions and settings of the database, and the renaming of a damaged file;
//! - `effects`: the effects that the classes have and have had;
//! - `integrity`: verification of the whole file;
//! - `query`: lists of messages, and statistics;
//! - `save`: new messages and the ends of their redrives;
//! - `prune`: freeing space;
//! - `reconcile`: agreement with the journal after a restart.

mod effects;
mod integrity;
mod prune;
mod query;
mod reconcile;
mod save;
mod schema;

pub use self::query::Page;
pub use self::save::SaveOutcome;
pub use self::schema::set_aside;

use crate::error::StoreError;
use crate::record::{BodyMode, Record};
use crate::row::{self, Row};
use milletturn_policy::Micros;
use rusqlite::{Connection, ErrorCode, OptionalExtension};
use std::path::{Path, PathBuf};

/// Size of a page of the database, in bytes.
const PAGE_BYTES: u64 = 4096;

/// Limits of the store's size and of the age of resolved messages.
#[derive(Debug, Clone, Copy)]
pub struct StoreLimits {
    /// Maximum size of the file, in bytes.
    pub max_bytes: u64,
    /// Maximum number of messages.
    pub max_messages: u64,
    /// Delivered and resolved messages are pruned this many microseconds after their last round of attempts ended, or
    /// earlier if the store is full.
    pub max_age: Micros,
}

/// The open store of dead letters.
#[derive(Debug)]
pub struct DeadLetterStore {
    connection: Connection,
    path: PathBuf,
    limits: StoreLimits,
}

impl DeadLetterStore {
    /// Opens the file, or creates it. Its rows are not verified: see [`DeadLetterStore::verify`].
    ///
    /// # Errors
    /// When the file is damaged, is not a database of this program, or can't be opened or created.
    pub fn open(path: &Path, limits: StoreLimits) -> Result<Self, StoreError> {
        // SQLite treats a file shorter than a page as a new database. This program renames a new database to its
        // final name only when it is complete, so a shorter file has been truncated.
        match std::fs::metadata(path) {
            Ok(metadata) if metadata.len() < PAGE_BYTES => {
                let problem = format!("it was cut to {} bytes", metadata.len());
                return Err(StoreError::Damaged {
                    path: path.to_path_buf(),
                    problem,
                });
            }
            Ok(_) => {}
            Err(_) => schema::create(path, limits)?,
        }
        DeadLetterStore::open_existing(path, limits)
    }

    fn open_existing(path: &Path, limits: StoreLimits) -> Result<Self, StoreError> {
        let store = DeadLetterStore {
            connection: Connection::open(path)?,
            path: path.to_path_buf(),
            limits,
        };
        schema::prepare(&store).map_err(|error| store.classify(error))?;
        Ok(store)
    }

    /// Opens the file read-only, while no sender runs.
    ///
    /// # Errors
    /// When there is no file, or it is damaged, is not a database of this program, or can't be opened.
    pub fn open_read_only(path: &Path) -> Result<Self, StoreError> {
        let store = DeadLetterStore {
            connection: schema::connect_read_only(path)?,
            path: path.to_path_buf(),
            limits: StoreLimits {
                max_bytes: u64::MAX,
                max_messages: u64::MAX,
                max_age: Micros::MAX,
            },
        };
        schema::configure_read_only(&store.connection)?;
        schema::check_version(&store).map_err(|error| store.classify(error))?;
        Ok(store)
    }

    /// Converts errors that indicate a damaged file to [`StoreError::Damaged`]; returns other errors unchanged.
    fn classify(&self, error: StoreError) -> StoreError {
        match error {
            StoreError::Database(rusqlite::Error::SqliteFailure(code, message))
                if matches!(
                    code.code,
                    ErrorCode::DatabaseCorrupt | ErrorCode::NotADatabase
                ) =>
            {
                self.damaged(message.unwrap_or_else(|| code.to_string()))
            }
            StoreError::InvalidRow { number, problem } => {
                self.damaged(format!("row {number}: {problem}"))
            }
            other => other,
        }
    }

    fn damaged(&self, problem: String) -> StoreError {
        StoreError::Damaged {
            path: self.path.clone(),
            problem,
        }
    }

    /// The row with this number, with its body; `None` if there is no such row.
    ///
    /// # Errors
    /// When the row can't be read, or its checksum does not match.
    pub fn row(&self, number: u64) -> Result<Option<Row>, StoreError> {
        read_row(&self.connection, number)
    }

    /// Everything that the store holds about a message; `None` if the store does not hold it.
    ///
    /// # Errors
    /// When the row can't be read, or its checksum does not match.
    pub fn record(&self, number: u64, body: BodyMode) -> Result<Option<Record>, StoreError> {
        Ok(self.row(number)?.map(|row| row.into_record(body)))
    }

    /// Reads a row, passes it to the function `change`, and writes the changed row, all in one transaction. If the
    /// function returns `None`, nothing is written. Returns the function's result, or `None` if there is no such row.
    ///
    /// # Errors
    /// When the row can't be read or written; then nothing has changed.
    pub fn change<T>(
        &mut self,
        number: u64,
        change: impl FnOnce(&mut Row) -> Option<T>,
    ) -> Result<Option<T>, StoreError> {
        let transaction = self.connection.transaction()?;
        let Some(mut row) = read_row(&transaction, number)? else {
            return Ok(None);
        };
        let Some(result) = change(&mut row) else {
            return Ok(None);
        };
        save::trim_history(&mut row);
        row.update(&transaction)?;
        transaction.commit()?;
        Ok(Some(result))
    }
}

/// Reads one row and verifies its checksum.
fn read_row(connection: &Connection, number: u64) -> Result<Option<Row>, StoreError> {
    let Ok(key) = i64::try_from(number) else {
        return Ok(None);
    };
    let mut statement = connection.prepare_cached(row::SELECT_ONE)?;
    let found = statement
        .query_row([key], |sql_row| Ok(Row::read(sql_row)))
        .optional()?;
    let Some(row) = found.transpose()? else {
        return Ok(None);
    };
    row.verify()?;
    Ok(Some(row))
}
