//! Compaction: the unfinished messages are written to a new file, which is then renamed over the old one. The old file
//! is kept until the rename, so that a kill at any moment loses nothing.

use crate::file_journal::FileJournal;
use crate::live_messages::LiveMessages;
use milletturn_engine::JournalError;
use std::fs::{self, File, OpenOptions};
use std::io::{BufWriter, Write};
use std::path::Path;

impl FileJournal {
    /// Replaces the file by one that holds only the unfinished messages.
    ///
    /// # Errors
    /// [`JournalError::Full`] when the old and the new file together would exceed the size limit;
    /// [`JournalError::Write`] when the new file can't be written or renamed. The old file is kept in both cases.
    pub(crate) fn compact(&mut self) -> Result<(), JournalError> {
        self.replace(&[])
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

    /// Replaces the journal file by one that holds the unfinished messages, followed by the encoded `last_record`.
    ///
    /// # Errors
    /// As [`FileJournal::compact`].
    pub(crate) fn replace(&mut self, last_record: &[u8]) -> Result<(), JournalError> {
        let new_path = self.path.with_extension("new");
        let max_new_size = self.live.bytes() + last_record.len() as u64;
        if self.size + max_new_size > self.max_bytes_of_both() {
            return Err(JournalError::Full);
        }
        match write_and_rename(&new_path, &self.path, &self.live, last_record) {
            Ok((file, size)) => {
                self.file = file;
                self.size = size;
                self.broken = false;
                Ok(())
            }
            Err(error) => {
                // an error of this removal is ignored: the write error is reported, and the next start removes the file
                let _ = fs::remove_file(&new_path);
                Err(error)
            }
        }
    }

    /// Maximum size of the old and the new file together. If the old file is already larger than `max_bytes`, which
    /// happens when the setting was lowered, its size is the maximum and there is no space for a new file.
    fn max_bytes_of_both(&self) -> u64 {
        self.max_bytes.max(self.size)
    }
}

/// Writes the new file, and returns it with its size in bytes. It is written message by message: an encoded copy of all
/// messages would take as much memory again.
fn write_and_rename(
    new_path: &Path,
    path: &Path,
    live: &LiveMessages,
    last_record: &[u8],
) -> Result<(File, u64), JournalError> {
    let file = OpenOptions::new()
        .append(true)
        .create_new(true)
        .open(new_path)
        .map_err(JournalError::Write)?;
    let mut writer = BufWriter::new(file);
    let size = live.write_to(&mut writer)? + last_record.len() as u64;
    writer.write_all(last_record).map_err(JournalError::Write)?;
    let file = writer
        .into_inner()
        .map_err(|error| JournalError::Write(error.into_error()))?;
    fs::rename(new_path, path).map_err(JournalError::Write)?;
    Ok((file, size))
}
