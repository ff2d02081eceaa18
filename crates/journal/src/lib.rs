//! The write-ahead journal: the engine's [`Journal`](milletturn_engine::Journal) in a file that outlasts the process.
//!
//! | module | contents |
//! | --- | --- |
//! | `file_journal` | the open file: appending records within the size limit |
//! | `recovery` | reading the file at the start, even if its last record is incomplete or some bytes are damaged |
//! | `compaction` | replacing the file by one that holds only the unfinished messages |
//! | `live_messages` | the unfinished messages, and the bytes that a compacted file needs for them |
//! | `recently_ended` | at-most-once messages that have ended and may have run |
//! | `records` | the stored form of each record |
//! | `codec` | the framing of a record: magic, length, checksum, payload |

mod codec;
mod compaction;
mod file_journal;
mod live_messages;
mod recently_ended;
mod records;
mod recovery;

pub use file_journal::{FileJournal, UnfinishedLimit};
pub use recovery::Recovery;
