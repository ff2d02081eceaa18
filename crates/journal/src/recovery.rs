//! Recovery: reading the journal file at the start. An incomplete last record, which a kill during a write can leave,
//! is reported here and truncated by `FileJournal`. Damaged bytes before intact records are skipped. Each unfinished
//! message is then presumed to have an attempt that may have run, because the lost records may have been those of
//! attempts.

use crate::codec::{MAGIC, MAX_RECORD_BYTES, decode};
use crate::live_messages::LiveMessages;
use crate::records::Record;
use milletturn_engine::JournalError;
use std::io::Read;

/// Size of the part of the file that is in memory at once. Larger than a record, so that most records are not moved in
/// memory before they are decoded.
const WINDOW_BYTES: usize = 4 * MAX_RECORD_BYTES;

/// What was found when the journal file was opened.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Recovery {
    /// True if no file existed and a new one was created.
    pub created: bool,
    /// Number of intact records.
    pub records: usize,
    /// Bytes truncated at the end of the file: a record that was only partly written when the process was killed.
    pub torn_bytes: usize,
    /// Damaged bytes that were skipped. Only the first start that finds the damage reports them.
    pub damaged_bytes: usize,
}

/// Applies the records of a journal file to `live`. Returns what was found, and the size of the file in bytes.
///
/// # Errors
/// When the file can't be read.
pub(crate) fn replay(
    file: impl Read,
    live: &mut LiveMessages,
) -> Result<(Recovery, u64), JournalError> {
    let mut recovery = Recovery::default();
    let mut window = ReadWindow::new(file);
    let mut unreadable = Unreadable::default();
    while window.fill()? {
        let unread = window.unread();
        let Some((record, length)) = decode(unread) else {
            unreadable.add_byte(unread.starts_with(&MAGIC));
            window.consume(1);
            continue;
        };
        recovery.damaged_bytes += std::mem::take(&mut unreadable).bytes;
        if matches!(record, Record::DamageBefore) {
            // an earlier start has already reported the damage before this marker
            recovery.damaged_bytes = 0;
        }
        recovery.records += 1;
        window.consume(length);
        live.apply(record, length as u64);
    }
    // a kill leaves only one record incomplete, so more than one unreadable record means damage
    if unreadable.contains_another_record {
        recovery.damaged_bytes += unreadable.bytes;
    } else {
        recovery.torn_bytes = unreadable.bytes;
    }
    Ok((recovery, window.bytes_read))
}

/// The unreadable bytes since the last intact record.
#[derive(Default)]
struct Unreadable {
    bytes: usize,
    /// Whether a record begins behind the first of the bytes.
    contains_another_record: bool,
}

impl Unreadable {
    fn add_byte(&mut self, begins_record: bool) {
        self.contains_another_record |= begins_record && self.bytes > 0;
        self.bytes += 1;
    }
}

/// Reads a file piece by piece: a file may be larger than the memory that the process may use.
struct ReadWindow<R> {
    file: R,
    buffer: Vec<u8>,
    /// Start of the unread bytes in the buffer.
    position: usize,
    bytes_read: u64,
    /// Whether the whole file has been read.
    is_at_end: bool,
}

impl<R: Read> ReadWindow<R> {
    fn new(file: R) -> Self {
        ReadWindow {
            file,
            buffer: Vec::new(),
            position: 0,
            bytes_read: 0,
            is_at_end: false,
        }
    }

    /// Reads until the unread bytes hold the longest possible record, or up to the end of the file. Returns false if
    /// no byte is left.
    fn fill(&mut self) -> Result<bool, JournalError> {
        if !self.is_at_end && self.unread().len() < MAX_RECORD_BYTES {
            self.buffer.drain(..self.position);
            self.position = 0;
            let missing = (WINDOW_BYTES - self.buffer.len()) as u64;
            let read = (&mut self.file)
                .take(missing)
                .read_to_end(&mut self.buffer)
                .map_err(JournalError::Write)?;
            self.bytes_read += read as u64;
            self.is_at_end = (read as u64) < missing;
        }
        Ok(!self.unread().is_empty())
    }

    fn unread(&self) -> &[u8] {
        &self.buffer[self.position..]
    }

    fn consume(&mut self, bytes: usize) {
        self.position += bytes;
    }
}
