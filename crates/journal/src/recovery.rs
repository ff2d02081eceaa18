//! Recovery: reading the journal file at the start. An incomplete last record, which a kill during a write can leave,
//! is reported here and truncated by `FileJournal`. Damaged bytes before intact records are skipped. Each unfinished
//! message is then presumed to have an attempt that may have run, because the lost records may have been those of
//! attempts.

use crate::codec::{MAGIC, decode};
use crate::live_messages::LiveMessages;
use crate::records::Record;

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

/// Applies the records in the content of a journal file to `live`.
pub(crate) fn replay(bytes: &[u8], live: &mut LiveMessages) -> Recovery {
    let mut recovery = Recovery::default();
    let (mut at, mut unreadable) = (0, 0);
    while at < bytes.len() {
        let Some((record, length)) = decode(&bytes[at..]) else {
            (at, unreadable) = (at + 1, unreadable + 1);
            continue;
        };
        recovery.damaged_bytes += std::mem::take(&mut unreadable);
        if matches!(record, Record::DamageBefore) {
            // an earlier start has already reported the damage before this marker
            recovery.damaged_bytes = 0;
        }
        recovery.records += 1;
        at += length;
        live.apply(record, length as u64);
    }
    let tail = &bytes[bytes.len() - unreadable..];
    if contains_another_record(tail) {
        recovery.damaged_bytes += unreadable;
    } else {
        recovery.torn_bytes = unreadable;
    }
    recovery
}

/// True if another record begins inside the unreadable tail. A kill leaves only one record incomplete, so more than one
/// unreadable record means damage.
fn contains_another_record(tail: &[u8]) -> bool {
    (1..tail.len()).any(|from| tail[from..].starts_with(&MAGIC))
}
