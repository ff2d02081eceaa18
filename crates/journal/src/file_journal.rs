//! The open journal file: appends records and keeps the file small enough to be compacted.
//!
//! Each record is written by one unbuffered write, so that it survives a SIGKILL of the process without a sync. The
//! file is compacted before it grows so large that the old and the compacted file together would exceed the size limit.

use crate::codec::encode;
use crate::live_messages::LiveMessages;
use crate::records::Record;
use crate::recovery::{Recovery, replay};
use milletturn_engine::{
    Accepted, AttemptStarted, Journal, JournalError, MessageEnd, RecentlyEnded, Unfinished,
};
use milletturn_policy::Micros;
use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// Bytes reserved for the record of one attempt, attempt outcome or message end. The record of an attempt needs no more
/// if the endpoint's name has at most 30 bytes.
const MAX_SMALL_RECORD_BYTES: u64 = 64;
/// At most the size limit divided by this number is reserved for the records of messages that are already accepted.
const MAX_RESERVE_DIVISOR: u64 = 4;
/// The ids of recently ended messages take up at most the size limit divided by this number.
const RECENTLY_ENDED_DIVISOR: u64 = 32;
/// Bytes of the size limit that are set aside for the folder's own blocks and for rounding two files up to whole
/// blocks of 512 bytes.
const ROUNDING_BYTES: u64 = 4 * 1024;
/// A file of at most this many bytes is too small to be worth compacting when it is opened.
const SMALL_FILE_BYTES: u64 = 256 * 1024;

/// The write-ahead journal of one sender, in a file named `journal`.
#[derive(Debug)]
pub struct FileJournal {
    pub(crate) path: PathBuf,
    pub(crate) file: File,
    /// Size of the file in bytes.
    pub(crate) size: u64,
    /// Maximum total size of the folder's files in bytes: the configured limit less [`ROUNDING_BYTES`].
    pub(crate) max_bytes: u64,
    /// Bytes that the records of new messages may not use, because they are reserved for the attempts, outcomes and
    /// ends of messages that are already accepted.
    reserved_bytes: u64,
    pub(crate) live: LiveMessages,
    unfinished_limit: UnfinishedLimit,
    /// Numbers of the finished messages whose [`Record::Finished`] could not be written yet.
    pub(crate) unrecorded: Vec<u64>,
    /// True after a failed write whose partial record could not be truncated. Appends fail until a compaction has
    /// replaced the file.
    pub(crate) broken: bool,
}

/// Limit of the memory of unfinished messages, which the journal holds in memory as well as in its file. New messages
/// are rejected while it is reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UnfinishedLimit {
    /// Maximum memory of all messages in bytes.
    pub bytes: u64,
    /// Memory of one message in bytes, in addition to what its records take up in the file.
    pub bytes_per_message: u64,
}

impl UnfinishedLimit {
    /// No limit other than the size of the file.
    pub const NONE: UnfinishedLimit = UnfinishedLimit {
        bytes: u64::MAX,
        bytes_per_message: 0,
    };
}

impl FileJournal {
    /// Opens the journal in `folder`, or creates it, and reads the unfinished messages.
    ///
    /// `max_bytes` limits the folder's files together. `max_small_records` is the largest number of records of
    /// attempts, outcomes and ends that the messages in flight at one time may need; space is reserved for them.
    ///
    /// # Errors
    /// When the folder or the file can't be read or written. A damaged file is no error: [`Recovery`] reports damage.
    pub fn open(
        folder: &Path,
        max_bytes: u64,
        max_small_records: u64,
    ) -> Result<(Self, Recovery), JournalError> {
        fs::create_dir_all(folder).map_err(JournalError::Write)?;
        let path = folder.join("journal");
        // a process that was killed during a compaction may have left an incomplete new file
        match fs::remove_file(folder.join("journal.new")) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => {
                return Err(JournalError::Write(error));
            }
            _ => {}
        }
        let mut live = LiveMessages::new(max_bytes / RECENTLY_ENDED_DIVISOR);
        let (recovery, size) = match File::open(&path) {
            Err(error) if error.kind() == io::ErrorKind::NotFound => {
                let created = Recovery {
                    created: true,
                    ..Recovery::default()
                };
                (created, 0)
            }
            found => replay(found.map_err(JournalError::Write)?, &mut live)?,
        };
        let file = OpenOptions::new()
            .append(true)
            .create(true)
            .open(&path)
            .map_err(JournalError::Write)?;
        let mut journal = FileJournal {
            path,
            file,
            size,
            max_bytes: max_bytes.saturating_sub(ROUNDING_BYTES),
            reserved_bytes: max_small_records
                .saturating_mul(MAX_SMALL_RECORD_BYTES)
                .min(max_bytes / MAX_RESERVE_DIVISOR),
            live,
            unfinished_limit: UnfinishedLimit::NONE,
            unrecorded: Vec::new(),
            broken: false,
        };
        journal.repair(&recovery)?;
        Ok((journal, recovery))
    }

    /// Limits the memory of unfinished messages from now on. Messages that exceed the limit already are kept.
    pub fn limit_unfinished(&mut self, limit: UnfinishedLimit) {
        self.unfinished_limit = limit;
    }

    /// Appends the record of a new message, unless the unfinished messages have reached their limit.
    fn append_message(&mut self, record: Record) -> Result<(), JournalError> {
        let limit = self.unfinished_limit;
        let overhead = limit.bytes_per_message * self.live.count() as u64;
        if self.live.bytes() + overhead >= limit.bytes {
            return Err(JournalError::Full);
        }
        self.append(record, self.reserved_bytes)
    }

    /// Truncates an incomplete last record, and compacts a file that is damaged or larger than [`SMALL_FILE_BYTES`].
    fn repair(&mut self, recovery: &Recovery) -> Result<(), JournalError> {
        if recovery.torn_bytes > 0 {
            self.size -= recovery.torn_bytes as u64;
            self.file.set_len(self.size).map_err(JournalError::Write)?;
        }
        let compacted = if recovery.damaged_bytes > 0 {
            self.mark_damage()
        } else if self.size > SMALL_FILE_BYTES {
            self.compact()
        } else {
            Ok(())
        };
        match compacted {
            // without space for a second file, the file stays as it is; it is compacted later, when enough of its
            // messages have finished
            Ok(()) | Err(JournalError::Full) => Ok(()),
            Err(error) => Err(error),
        }
    }

    /// Appends a [`Record::DamageBefore`], so that the next start does not report the same damage, and compacts the
    /// file.
    fn mark_damage(&mut self) -> Result<(), JournalError> {
        // this one record fits into `ROUNDING_BYTES` even if the folder is full
        let marker = encode(&Record::DamageBefore)?;
        self.file.write_all(&marker).map_err(JournalError::Write)?;
        self.size += marker.len() as u64;
        let replaced = self.replace(&marker);
        self.live.presume_attempts()?;
        replaced
    }

    /// Appends a record, if `reserved_bytes` are still free after it. If the record does not fit, but would fit into a
    /// compacted file, compacts the file first.
    fn append(&mut self, record: Record, reserved_bytes: u64) -> Result<(), JournalError> {
        if self.broken {
            return Err(JournalError::Full);
        }
        let bytes = encode(&record)?;
        let length = bytes.len() as u64;
        // with this record, the file and a compacted copy of it, which contains the record too, must together stay
        // within the limit
        let fits =
            |size: u64| size + self.live.bytes() + 2 * length + reserved_bytes <= self.max_bytes;
        if !fits(self.size) {
            if !fits(self.live.bytes()) {
                return Err(JournalError::Full);
            }
            self.compact()?;
        }
        if let Err(error) = self.file.write_all(&bytes) {
            self.broken = self.file.set_len(self.size).is_err();
            return Err(JournalError::Write(error));
        }
        self.size += length;
        self.live.apply(record, length);
        Ok(())
    }
}

impl Journal for FileJournal {
    fn unfinished(&self) -> BTreeMap<u64, Unfinished> {
        self.live.unfinished()
    }

    fn recently_ended(&self) -> Vec<RecentlyEnded> {
        self.live.recently_ended()
    }

    fn record_accepted(&mut self, number: u64, accepted: Accepted) -> Result<(), JournalError> {
        self.append_message(Record::accepted(number, accepted))
    }

    fn record_redrive(
        &mut self,
        number: u64,
        accepted: Accepted,
        prior_attempt: Option<AttemptStarted>,
    ) -> Result<(), JournalError> {
        self.append_message(Record::redriven(number, accepted, prior_attempt))
    }

    fn record_attempt(
        &mut self,
        number: u64,
        uid: &str,
        sent_at: Micros,
    ) -> Result<(), JournalError> {
        let attempt = AttemptStarted {
            uid: uid.to_string(),
            sent_at,
            never_ran: false,
        };
        self.append(Record::AttemptStarted(number, attempt), 0)
    }

    fn record_never_ran(&mut self, number: u64, attempt: usize) -> Result<(), JournalError> {
        let record = Record::AttemptOutcome {
            message: number,
            attempt: attempt as u32,
            never_ran: true,
        };
        self.append(record, 0)
    }

    fn record_end(&mut self, number: u64, end: MessageEnd) -> Result<(), JournalError> {
        self.append(Record::Ended(number, end), 0)
    }

    fn record_finished(&mut self, number: u64) -> Result<(), JournalError> {
        if !self.live.contains(number) {
            return Ok(());
        }
        let written = self.append(Record::Finished(number), 0);
        if written.is_err() {
            // the message needs no further work: a compacted file leaves it out, and may fit where the record did not
            self.live.apply(Record::Finished(number), 0);
            self.unrecorded.push(number);
            return self.compact_finished();
        }
        written
    }

    fn retry(&mut self) -> Result<(), JournalError> {
        for number in std::mem::take(&mut self.unrecorded) {
            if self.append(Record::Finished(number), 0).is_err() {
                self.unrecorded.push(number);
            }
        }
        if self.unrecorded.is_empty() {
            Ok(())
        } else {
            self.compact_finished()
        }
    }
}
