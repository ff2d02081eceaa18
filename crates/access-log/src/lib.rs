//! The access log of a group of senders: a record for each step of a message, and a summary of all senders' logs.
//!
//! Each sender writes its records to its own log. One sender of a hundred makes about one call per second, too few to
//! show how the whole group treats a destination, so the records of all logs are summed by destination and interval.
//!
//! - [`AccessRecord`]: one record, as it is written and read.
//! - [`AccessLogObserver`]: writes the records of one sender.
//! - [`AccessLogSummary`]: sums the records of all senders.

mod observer;
mod record;
mod summary;

pub use observer::AccessLogObserver;
pub use record::{AbandonReason, AccessEvent, AccessRecord, AttemptOutcome};
pub use summary::{AccessLogSummary, IntervalTotals, SummaryRow};
