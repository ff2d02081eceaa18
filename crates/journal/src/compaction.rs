//! Compaction: the unfinished messages are written to a new file, which is then renamed over the old one. The old file
//! is kept until the rename, so that a kill at any moment loses nothing.

use crate::file_journal::FileJournal;
use milletturn_engine::JournalError;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::Path;

impl FileJournal {
    /// Replaces the file by one that holds only the unfinished messages.
    ///
    /// # Errors
    /// [`JournalError::Full`] when the old and the new file together would exceed the size limit;
    /// [`JournalError::Write`] when the new file can't be written or renamed. The old file is kept in both cases.
    pub(crate) fn compact(&mut self) -> Result<(), JournalError> {
        // this check comes first because encoding costs more, and a full journal tries to compact whenever a message is
        // finished
        if self.size + self.live.bytes() > self.max_bytes_of_both() {
            return Err(JournalError::Full);
        }
        let bytes = self.live.encode()?;
        self.replace(&bytes)
    }

    /// Compacts the file and clears the list of finished messages whose records could not be written: the compacted
    /// file no longer contains these messages, so their records are not needed.
    ///
    /// # Errors
    /// As [`FileJournal::compact`].
    pub(crate) fn compact_finished(&mut self) -> Result<(), JournalError> {
        self.compact()?;
        self.unrecorded.clear();
        Ok(())
    }

    /// Replaces the journal file by a new one with the given content.
    ///
    /// # Errors
    /// As [`FileJournal::compact`].
    pub(crate) fn replace(&mut self, bytes: &[u8]) -> Result<(), JournalError> {
        let new_path = self.path.with_extension("new");
        if self.size + bytes.len() as u64 > self.max_bytes_of_both() {
            return Err(JournalError::Full);
        }
        match write_and_rename(&new_path, &self.path, bytes) {
            Ok(file) => {
                self.file = file;
                self.size = bytes.len() as u64;
                self.broken = false;
                Ok(())
            }
            Err(error) => {
                // an error of this removal is ignored: the write error is reported, and the next start removes the file
                let _ = fs::remove_file(&new_path);
                Err(JournalError::Write(error))
            }
        }
    }

    /// Maximum size of the old and the new file together. If the old file is already larger than `max_bytes`, which
    /// happens when the setting was lowered, its size is the maximum and there is no space for a new file.
    fn max_bytes_of_both(&self) -> u64 {
        self.max_bytes.max(self.size)
    }
}

fn write_and_rename(new_path: &Path, path: &Path, bytes: &[u8]) -> io::Result<File> {
    let mut file = OpenOptions::new()
        .append(true)
        .create_new(true)
        .open(new_path)?;
    file.write_all(bytes)?;
    fs::rename(new_path, path)?;
    Ok(file)
}
