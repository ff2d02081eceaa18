//! At-most-once messages that have ended and may have run. Their clients may submit them again, also after a restart, and
//! they must not run a second time.

use crate::codec::encode;
use crate::records::{Record, StoredRecentlyEnded};
use milletturn_engine::{JournalError, Unfinished};
use std::collections::VecDeque;

/// Maximum number of messages. At 120 messages per second these are the messages of the last 34 seconds, longer than any
/// client waits before it resubmits.
const MAX_MESSAGES: usize = 4096;
/// Messages in one record, which keeps a record of the longest ids below the limit for a record.
const MESSAGES_PER_RECORD: usize = 256;
/// Bytes of a message in a record in addition to its id: the length of the id, and whether it was delivered.
const ENTRY_BYTES: u64 = 3;
/// Bytes of a record in addition to its messages: the frame, the variant and the number of messages.
const RECORD_BYTES: u64 = 16;

/// The messages that ended last, within a limit on the bytes that a compacted file needs for them.
#[derive(Debug, Default)]
pub(crate) struct RecentlyEndedMessages {
    messages: VecDeque<StoredRecentlyEnded>,
    entry_bytes: u64,
    max_entry_bytes: u64,
}

impl RecentlyEndedMessages {
    pub(crate) fn new(max_entry_bytes: u64) -> Self {
        RecentlyEndedMessages {
            max_entry_bytes,
            ..RecentlyEndedMessages::default()
        }
    }

    /// Adds a message that is finished, if it must not run again.
    pub(crate) fn add(&mut self, message: &Unfinished) {
        if let Some(ended) = message.recently_ended() {
            self.push(StoredRecentlyEnded {
                id: ended.id,
                is_delivered: ended.is_delivered,
            });
        }
    }

    /// Adds messages of a record, oldest first.
    pub(crate) fn extend(&mut self, messages: Vec<StoredRecentlyEnded>) {
        for message in messages {
            self.push(message);
        }
    }

    fn push(&mut self, message: StoredRecentlyEnded) {
        self.entry_bytes += entry_bytes(&message);
        self.messages.push_back(message);
        while self.messages.len() > MAX_MESSAGES || self.entry_bytes > self.max_entry_bytes {
            let Some(oldest) = self.messages.pop_front() else {
                return;
            };
            self.entry_bytes -= entry_bytes(&oldest);
        }
    }

    /// The messages, oldest first.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &StoredRecentlyEnded> {
        self.messages.iter()
    }

    /// Upper bound for the bytes that a compacted file needs for the messages.
    pub(crate) fn max_bytes(&self) -> u64 {
        let records = self.messages.len().div_ceil(MESSAGES_PER_RECORD) as u64;
        self.entry_bytes + records * RECORD_BYTES
    }

    /// The encoded records for a compacted file.
    ///
    /// # Errors
    /// When a record can't be encoded.
    pub(crate) fn encode(&self) -> Result<Vec<Vec<u8>>, JournalError> {
        let messages: Vec<StoredRecentlyEnded> = self.messages.iter().cloned().collect();
        messages
            .chunks(MESSAGES_PER_RECORD)
            .map(|chunk| encode(&Record::RecentlyEnded(chunk.to_vec())))
            .collect()
    }
}

fn entry_bytes(message: &StoredRecentlyEnded) -> u64 {
    message.id.len() as u64 + ENTRY_BYTES
}
