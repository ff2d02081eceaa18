//! Checks that a state folder belongs to a sidecar and can be written, and locks it.

use super::CheckMode;
use milletturn_config::codes::Code;
use std::fs::{self, File, TryLockError};
use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Name of the lock file.
const LOCK_FILE: &str = "lock";
/// Prefixes of the file names in a sidecar's state folder. A file with any other name means that the folder belongs to
/// another program.
const KNOWN_PREFIXES: [&str; 6] = [
    "journal",
    "outcomes",
    "undelivered",
    "clock",
    LOCK_FILE,
    "milletturn",
];
/// File systems whose content is lost when the machine restarts.
const TEMPORARY_FILE_SYSTEMS: [&str; 2] = ["tmpfs", "ramfs"];

/// The lock on a state folder, released when the value is dropped or the process ends.
#[derive(Debug)]
pub struct StateFolderLock {
    _file: File,
}

/// Why a state folder can't be used.
#[derive(Debug, Error)]
pub(super) enum StateFolderError {
    /// The folder or its lock file can't be created, read or written.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The folder is absent, and its nearest existing ancestor, which the error names, is read-only.
    #[error("{} can't be written", .0.display())]
    ParentNotWritable(PathBuf),
    /// The folder contains a file that no sidecar writes; the error names the file.
    #[error("it contains {0}, which is not a file of a sidecar")]
    ForeignFile(String),
    /// Another process holds the lock.
    #[error("it is locked by a running sender")]
    Locked,
}

impl StateFolderError {
    /// The code of the finding that reports the error.
    pub(super) fn code(&self) -> Code {
        match self {
            StateFolderError::Io(_) | StateFolderError::ParentNotWritable(_) => {
                Code::StateFolderNotWritable
            }
            StateFolderError::ForeignFile(_) => Code::StateFolderNotOwned,
            StateFolderError::Locked => Code::StateFolderLocked,
        }
    }
}

/// Checks a state folder and locks it. In [`CheckMode::ReadOnly`] a folder without a lock file isn't locked, and one
/// that is absent but could be created is not an error.
pub(super) fn lock(
    folder: &Path,
    mode: CheckMode,
) -> Result<Option<StateFolderLock>, StateFolderError> {
    if mode == CheckMode::Start {
        fs::create_dir_all(folder)?;
    }
    let entries = match fs::read_dir(folder) {
        Err(error) if error.kind() == io::ErrorKind::NotFound => {
            check_can_be_created(folder)?;
            return Ok(None);
        }
        other => other?,
    };
    for entry in entries.flatten() {
        let name = entry.file_name().to_string_lossy().into_owned();
        if !KNOWN_PREFIXES.iter().any(|prefix| name.starts_with(prefix)) {
            return Err(StateFolderError::ForeignFile(name));
        }
    }
    let path = folder.join(LOCK_FILE);
    if mode == CheckMode::ReadOnly && !path.exists() {
        return Ok(None);
    }
    lock_file(&path).map(Some)
}

/// Checks that the nearest existing ancestor of an absent folder isn't read-only.
fn check_can_be_created(folder: &Path) -> Result<(), StateFolderError> {
    let parent = folder
        .ancestors()
        .find(|ancestor| ancestor.is_dir())
        .unwrap_or(Path::new("."));
    if fs::metadata(parent)?.permissions().readonly() {
        return Err(StateFolderError::ParentNotWritable(parent.to_path_buf()));
    }
    Ok(())
}

fn lock_file(path: &Path) -> Result<StateFolderLock, StateFolderError> {
    let file = File::options()
        .create(true)
        .truncate(false)
        .write(true)
        .open(path)?;
    match file.try_lock() {
        Ok(()) => Ok(StateFolderLock { _file: file }),
        Err(TryLockError::WouldBlock) => Err(StateFolderError::Locked),
        Err(TryLockError::Error(error)) => Err(error.into()),
    }
}

/// The type of a folder's file system if its content is lost at a restart of the machine; `None` for any other file
/// system, and if the type can't be determined. The type is read from `/proc/self/mountinfo`; proc(5) describes the
/// file's format.
pub(super) fn temporary_file_system(folder: &Path) -> Option<String> {
    let real_path = milletturn_config::neighbours::resolve_links(folder);
    let mounts = fs::read_to_string("/proc/self/mountinfo").ok()?;
    let mounts_above = mounts.lines().filter_map(|mount| {
        let mut fields = mount.split(' ');
        let mount_point = fields.nth(4)?;
        let file_system = fields.skip_while(|field| *field != "-").nth(1)?;
        real_path
            .starts_with(mount_point)
            .then_some((mount_point.len(), file_system))
    });
    let (_, file_system) = mounts_above.max_by_key(|(length, _)| *length)?;
    TEMPORARY_FILE_SYSTEMS
        .contains(&file_system)
        .then(|| file_system.to_string())
}
