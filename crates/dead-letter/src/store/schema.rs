//! Creates and configures the database, checks its version, and sets damaged files aside.

use super::{DeadLetterStore, PAGE_BYTES, StoreLimits};
use crate::error::StoreError;
use crate::row;
use rusqlite::{Connection, OpenFlags};
use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Version of the tables, stored in `user_version`. A file of another version is not opened. Version 1 is the first,
/// so there are no migrations.
const VERSION: i64 = 1;
/// "MTUD" in `application_id`, which marks the file as a store of this program.
const APPLICATION: i64 = 0x4d54_5544;
/// SQLite's page cache, in KiB: enough for the interior B-tree pages of 100,000 rows, and small compared with the
/// sender's memory.
const CACHE_KIB: i64 = 1024;
/// How long SQLite waits for a lock on the file: in a command while the sender writes, and in the sender while a
/// command reads.
const BUSY_TIMEOUT: Duration = Duration::from_secs(2);
/// The smallest size limit of the database, in pages.
const MIN_PAGES: i64 = 16;
/// Maximum number of damaged files that are kept beside the store.
const MAX_SET_ASIDE: u32 = 3;

/// Renames a damaged file and its rollback journal, so that a new file can be created; returns the new path. The
/// damaged file is kept for an operator to inspect.
///
/// # Errors
/// When the file can't be renamed, or three damaged files exist already that no operator has removed.
pub fn set_aside(path: &Path) -> io::Result<PathBuf> {
    for number in 1..=MAX_SET_ASIDE {
        let aside = path.with_extension(format!("damaged-{number}"));
        if aside.exists() {
            continue;
        }
        std::fs::rename(path, &aside)?;
        return match std::fs::rename(rollback_journal(path), rollback_journal(&aside)) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => Err(error),
            _ => Ok(aside),
        };
    }
    Err(io::Error::new(
        io::ErrorKind::AlreadyExists,
        "three damaged stores have been set aside already",
    ))
}

/// The path at which SQLite keeps the rollback journal of a database.
fn rollback_journal(path: &Path) -> PathBuf {
    let mut name = path.as_os_str().to_owned();
    name.push("-journal");
    PathBuf::from(name)
}

/// Creates the database under a temporary name and renames it when it is complete.
pub(super) fn create(path: &Path, limits: StoreLimits) -> Result<(), StoreError> {
    let failed = |source: io::Error| StoreError::Create {
        path: path.to_path_buf(),
        source,
    };
    let temporary_path = path.with_extension("new");
    match std::fs::remove_file(&temporary_path) {
        Err(error) if error.kind() != io::ErrorKind::NotFound => return Err(failed(error)),
        _ => {}
    }
    drop(DeadLetterStore::open_existing(&temporary_path, limits)?);
    std::fs::rename(&temporary_path, path).map_err(failed)
}

/// Configures the connection, creates the tables if there are none, and checks the file's version.
pub(super) fn prepare(store: &DeadLetterStore) -> Result<(), StoreError> {
    let connection = &store.connection;
    connection.busy_timeout(BUSY_TIMEOUT)?;
    connection.pragma_update(None, "page_size", PAGE_BYTES as i64)?;
    connection.pragma_update(None, "auto_vacuum", "INCREMENTAL")?;
    connection.pragma_update(None, "trusted_schema", false)?;
    connection.pragma_update(None, "cell_size_check", true)?;
    connection.pragma_update(None, "cache_size", -CACHE_KIB)?;
    connection.pragma_update(None, "temp_store", "MEMORY")?;
    // no sync is needed to survive kill -9; NORMAL also keeps the file consistent through most power failures
    connection.pragma_update(None, "synchronous", "NORMAL")?;
    connection.pragma_update_and_check(None, "journal_mode", "TRUNCATE", |_| Ok(()))?;
    let tables: i64 =
        connection.query_row("SELECT count(*) FROM sqlite_schema", [], |row| row.get(0))?;
    if tables == 0 {
        create_tables(connection)?;
    }
    check_version(store)?;
    let pages = i64::try_from(store.limits.max_bytes / PAGE_BYTES).unwrap_or(i64::MAX);
    connection.pragma_update_and_check(None, "max_page_count", pages.max(MIN_PAGES), |_| Ok(()))?;
    Ok(())
}

fn create_tables(connection: &Connection) -> Result<(), StoreError> {
    connection.execute_batch(&format!(
        "BEGIN IMMEDIATE;
         PRAGMA application_id = {APPLICATION};
         PRAGMA user_version = {VERSION};
         {}
         CREATE TABLE meta (name TEXT PRIMARY KEY, value INTEGER NOT NULL) WITHOUT ROWID;
         INSERT INTO meta VALUES ('count', 0);
         COMMIT;",
        row::TABLE
    ))?;
    Ok(())
}

pub(super) fn connect_read_only(path: &Path) -> Result<Connection, StoreError> {
    let flags = OpenFlags::SQLITE_OPEN_READ_ONLY | OpenFlags::SQLITE_OPEN_NO_MUTEX;
    Ok(Connection::open_with_flags(path, flags)?)
}

pub(super) fn configure_read_only(connection: &Connection) -> Result<(), StoreError> {
    Ok(connection.busy_timeout(BUSY_TIMEOUT)?)
}

/// Checks that the file was written by this program and has the supported version.
pub(super) fn check_version(store: &DeadLetterStore) -> Result<(), StoreError> {
    let read = |name| {
        store
            .connection
            .pragma_query_value(None, name, |row| row.get::<_, i64>(0))
    };
    let (application, version) = (read("application_id")?, read("user_version")?);
    if application == APPLICATION && version == VERSION {
        return Ok(());
    }
    Err(StoreError::Unsupported {
        path: store.path.clone(),
        found: format!("application {application:#x}, version {version}"),
    })
}
