//! The outcome log: final outcomes in a file of JSON lines, each kept until the application has acknowledged it.
//!
//! An outcome is written before the journal removes its message, so after a crash between the two the engine repeats
//! the notification. Repeated notifications are recognized by the message's number and stored once. If a crash cut the
//! last line short, the line is dropped, and the engine repeats that notification too.

mod record;
#[cfg(test)]
mod tests;

pub use record::Outcome;

use milletturn_engine::Notification;
use record::{PendingOutcome, Record};
use std::collections::{BTreeSet, VecDeque};
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Name of the file in the state folder.
const FILE_NAME: &str = "outcomes";
/// Maximum number of acknowledged messages whose numbers are kept to recognize repeated notifications. A notification
/// can be repeated only until the journal has removed the message.
const MAX_REMEMBERED_NUMBERS: usize = 4096;
/// Files smaller than this, or smaller than half of the log's size limit if that is less, are not rewritten.
const MIN_REWRITE_BYTES: u64 = 64 * 1024;
/// Upper bound of the size of one outcome's line, in bytes: an id of up to 256 bytes and the other fields.
const MAX_RECORD_BYTES: u64 = 400;
/// Typical size of an outcome's line, in bytes, used to estimate how much of the file is acknowledged.
const TYPICAL_RECORD_BYTES: u64 = 128;

/// Memory of one pending outcome without its id, in bytes: the outcome, its place in a queue that doubles as it grows, and
/// its number in a set.
const PENDING_OUTCOME_BYTES: u64 = 140;

/// Why the outcome log can't be used.
#[derive(Debug, Error)]
pub enum OutcomeLogError {
    /// The file can't be read or written.
    #[error("{path}: {source}", path = path.display())]
    Io {
        /// The log's file.
        path: PathBuf,
        /// The operating system's error.
        source: io::Error,
    },
    /// A complete line, that is, one with its line feed, can't be parsed, so an outcome or an acknowledgement would be
    /// missing.
    #[error("{path}: line {line_number} is damaged; set the file aside to start without it", path = path.display())]
    Damaged {
        /// The log's file.
        path: PathBuf,
        /// The line's number, from 1.
        line_number: usize,
    },
}

/// A log of final outcomes, open for appending.
#[derive(Debug)]
pub struct OutcomeLog {
    path: PathBuf,
    file: File,
    size_bytes: u64,
    max_bytes: u64,
    /// Outcomes that aren't acknowledged yet, in ascending order of their cursors.
    pending: VecDeque<PendingOutcome>,
    /// Memory of the pending outcomes, in bytes.
    pending_bytes: u64,
    /// Maximum memory of the pending outcomes, in bytes.
    max_pending_bytes: u64,
    /// Message numbers of the pending outcomes.
    pending_numbers: BTreeSet<u64>,
    /// Message numbers of recently acknowledged outcomes, oldest first.
    acknowledged_numbers: VecDeque<u64>,
    acknowledged_cursor: u64,
    next_cursor: u64,
}

impl OutcomeLog {
    /// Opens the log in a state folder. Its file may grow to `max_bytes`.
    ///
    /// # Errors
    /// When the file can't be read or opened, or a complete line in it can't be parsed.
    pub fn open(folder: &Path, max_bytes: u64) -> Result<Self, OutcomeLogError> {
        let path = folder.join(FILE_NAME);
        let io_error = |source| OutcomeLogError::Io {
            path: path.clone(),
            source,
        };
        let bytes = match fs::read(&path) {
            Err(error) if error.kind() == io::ErrorKind::NotFound => Vec::new(),
            other => other.map_err(io_error)?,
        };
        let complete_length = bytes
            .iter()
            .rposition(|&byte| byte == b'\n')
            .map_or(0, |position| position + 1);
        let file = OpenOptions::new()
            .append(true)
            .create(true)
            .open(&path)
            .map_err(io_error)?;
        file.set_len(complete_length as u64).map_err(io_error)?;
        let mut log = OutcomeLog {
            file,
            size_bytes: complete_length as u64,
            max_bytes,
            pending: VecDeque::new(),
            pending_bytes: 0,
            max_pending_bytes: u64::MAX,
            pending_numbers: BTreeSet::new(),
            acknowledged_numbers: VecDeque::new(),
            acknowledged_cursor: 0,
            next_cursor: 1,
            path,
        };
        log.replay(&bytes[..complete_length])?;
        Ok(log)
    }

    /// Applies the records of a stored file.
    fn replay(&mut self, bytes: &[u8]) -> Result<(), OutcomeLogError> {
        let lines = bytes.split_inclusive(|&byte| byte == b'\n');
        for (index, line) in lines.enumerate() {
            match serde_json::from_slice(line) {
                Ok(Record::Outcome(outcome)) => match PendingOutcome::from_outcome(&outcome) {
                    Some(pending) => self.insert_pending(pending),
                    None => return Err(self.damaged(index)),
                },
                Ok(Record::Acknowledgement {
                    cursor,
                    message_numbers,
                }) => {
                    self.acknowledged_numbers.extend(message_numbers);
                    self.remove_acknowledged(cursor);
                }
                Err(_) => return Err(self.damaged(index)),
            }
        }
        Ok(())
    }

    /// The error for a line that can't be parsed; `index` counts from 0.
    fn damaged(&self, index: usize) -> OutcomeLogError {
        OutcomeLogError::Damaged {
            path: self.path.clone(),
            line_number: index + 1,
        }
    }

    /// Limits the memory of the pending outcomes from now on. Those that exceed the limit already are kept.
    pub fn limit_pending(&mut self, max_bytes: u64) {
        self.max_pending_bytes = max_bytes;
    }

    /// A number greater than that of any pending or recently acknowledged message; 0 if there are none.
    #[must_use]
    pub fn first_free_number(&self) -> u64 {
        self.pending_numbers
            .iter()
            .chain(&self.acknowledged_numbers)
            .max()
            .map_or(0, |last| last + 1)
    }

    /// The pending outcomes after a cursor, at most `max_count`.
    #[must_use]
    pub fn after(&self, cursor: u64, max_count: usize) -> Vec<Outcome> {
        let first = self.pending.partition_point(|one| one.cursor <= cursor);
        self.pending
            .iter()
            .skip(first)
            .take(max_count)
            .map(PendingOutcome::to_outcome)
            .collect()
    }

    /// The cursor up to which all outcomes have been acknowledged.
    #[must_use]
    pub fn acknowledged_cursor(&self) -> u64 {
        self.acknowledged_cursor
    }

    /// The latest pending outcome of the message with this id.
    #[must_use]
    pub fn find_by_id(&self, id: &str) -> Option<Outcome> {
        let found = self.pending.iter().rev().find(|one| one.id.as_ref() == id);
        found.map(PendingOutcome::to_outcome)
    }

    /// The cursor of the last outcome written; 0 if none has been written.
    #[must_use]
    pub fn last_cursor(&self) -> u64 {
        self.next_cursor - 1
    }

    fn insert_pending(&mut self, outcome: PendingOutcome) {
        self.next_cursor = self.next_cursor.max(outcome.cursor + 1);
        self.pending_numbers.insert(outcome.number);
        self.pending_bytes += memory_of(outcome.id.len());
        let position = self
            .pending
            .partition_point(|one| one.cursor < outcome.cursor);
        self.pending.insert(position, outcome);
    }

    fn remove_acknowledged(&mut self, cursor: u64) {
        self.acknowledged_cursor = self.acknowledged_cursor.max(cursor);
        self.next_cursor = self.next_cursor.max(cursor + 1);
        let acknowledged = self.pending.partition_point(|one| one.cursor <= cursor);
        for outcome in self.pending.drain(..acknowledged) {
            self.pending_numbers.remove(&outcome.number);
            self.pending_bytes -= memory_of(outcome.id.len());
            self.acknowledged_numbers.push_back(outcome.number);
        }
        if self.pending.is_empty() {
            self.pending.shrink_to_fit();
        }
        while self.acknowledged_numbers.len() > MAX_REMEMBERED_NUMBERS {
            self.acknowledged_numbers.pop_front();
        }
    }

    fn is_known(&self, number: u64) -> bool {
        self.pending_numbers.contains(&number) || self.acknowledged_numbers.contains(&number)
    }

    fn io_error(&self, source: io::Error) -> OutcomeLogError {
        OutcomeLogError::Io {
            path: self.path.clone(),
            source,
        }
    }

    fn write_records(
        &mut self,
        records: impl IntoIterator<Item = Record>,
    ) -> Result<(), OutcomeLogError> {
        let text = to_lines(records).map_err(|error| self.io_error(io::Error::other(error)))?;
        if let Err(error) = self.file.write_all(&text) {
            // remove a partly written line, so that the next record starts on a new one
            let _ = self.file.set_len(self.size_bytes);
            return Err(self.io_error(error));
        }
        self.size_bytes += text.len() as u64;
        Ok(())
    }

    /// Appends the outcomes that notifications report, and returns the numbers of all messages whose outcomes are
    /// stored. Outcomes that are stored already aren't written again; those that would exceed a limit are left out.
    ///
    /// # Errors
    /// When the file can't be written; none of the outcomes is stored then.
    pub fn append(&mut self, notifications: &[Notification]) -> Result<Vec<u64>, OutcomeLogError> {
        self.rewrite_if_mostly_acknowledged()?;
        let mut stored_numbers = Vec::new();
        let mut new_outcomes = Vec::new();
        let mut size_bytes = self.size_bytes;
        let mut pending_bytes = self.pending_bytes;
        for notification in notifications {
            if !self.is_known(notification.number) {
                size_bytes += MAX_RECORD_BYTES;
                pending_bytes += memory_of(notification.id.as_str().len());
                if size_bytes > self.max_bytes || pending_bytes > self.max_pending_bytes {
                    continue;
                }
                let cursor = self.next_cursor + new_outcomes.len() as u64;
                new_outcomes.push(PendingOutcome::from_notification(cursor, notification));
            }
            stored_numbers.push(notification.number);
        }
        self.write_records(new_outcomes.iter().map(PendingOutcome::to_record))?;
        for outcome in new_outcomes {
            self.insert_pending(outcome);
        }
        Ok(stored_numbers)
    }

    /// Acknowledges all outcomes up to a cursor. A cursor that is acknowledged already, or greater than that of the
    /// last outcome, has no effect.
    ///
    /// # Errors
    /// When the file can't be written; the outcomes stay pending, and the reader can retry with the same cursor.
    pub fn acknowledge(&mut self, cursor: u64) -> Result<(), OutcomeLogError> {
        if cursor <= self.acknowledged_cursor || cursor >= self.next_cursor {
            return Ok(());
        }
        self.write_records([Record::Acknowledgement {
            cursor,
            message_numbers: Vec::new(),
        }])?;
        self.remove_acknowledged(cursor);
        self.rewrite_if_mostly_acknowledged()
    }

    /// Replaces the file by one that holds the acknowledged cursor, the remembered numbers and the pending outcomes.
    /// Does nothing if the file is small (see [`MIN_REWRITE_BYTES`]), or if the pending outcomes are estimated to take
    /// up more than half of it. The new file is written beside the old one and then renamed.
    fn rewrite_if_mostly_acknowledged(&mut self) -> Result<(), OutcomeLogError> {
        let pending_bytes = self.pending.len() as u64 * TYPICAL_RECORD_BYTES;
        let min_bytes = MIN_REWRITE_BYTES.min(self.max_bytes / 2);
        if self.size_bytes < min_bytes || self.size_bytes < 2 * pending_bytes {
            return Ok(());
        }
        let acknowledgement = Record::Acknowledgement {
            cursor: self.acknowledged_cursor,
            message_numbers: self.acknowledged_numbers.iter().copied().collect(),
        };
        let pending = std::mem::take(&mut self.pending);
        let records =
            std::iter::once(acknowledgement).chain(pending.iter().map(PendingOutcome::to_record));
        let rewritten = self.replace_file(records);
        self.pending = pending;
        rewritten
    }

    /// Replaces the file by one with these records. The old file stays in use if the new one can't be written.
    fn replace_file(
        &mut self,
        records: impl IntoIterator<Item = Record>,
    ) -> Result<(), OutcomeLogError> {
        let new_path = self.path.with_extension("new");
        let new_file = File::create(&new_path).map_err(|error| self.io_error(error))?;
        let old_file = std::mem::replace(&mut self.file, new_file);
        let old_size_bytes = std::mem::take(&mut self.size_bytes);
        let written = self
            .write_records(records)
            .and_then(|()| fs::rename(&new_path, &self.path).map_err(|error| self.io_error(error)));
        if written.is_err() {
            (self.file, self.size_bytes) = (old_file, old_size_bytes);
        }
        written
    }
}

/// Memory of a pending outcome whose id has this length, in bytes.
fn memory_of(id_length: usize) -> u64 {
    PENDING_OUTCOME_BYTES + id_length as u64
}

/// The records as lines of JSON.
fn to_lines(records: impl IntoIterator<Item = Record>) -> serde_json::Result<Vec<u8>> {
    let mut text = Vec::new();
    for record in records {
        serde_json::to_writer(&mut text, &record)?;
        text.push(b'\n');
    }
    Ok(text)
}
