//! The compact form of destinations that get no calls: tens of bytes in place of the kilobytes of one in use, and
//! how far what it remembers may still be relied on. A pure library: no clock, no I/O.
//!
//! | value | how the compact form holds it |
//! | --- | --- |
//! | end of a `Retry-After`, start of an ejection or a recovery | exactly |
//! | first seen, last healthy, last called | rounded up to whole seconds |
//! | limits, rates, windows, counts | rounded down to 24 bits of precision (one part in 16 million), so that nothing allows more than before |
//! | latencies | whole microseconds, 71 minutes at most |
//! | single latencies and service times behind those figures | not at all |

mod compact;
mod initial_limits;

pub use compact::{CompactState, DestinationState, Health};
pub use initial_limits::{InitialLimits, STALE_AFTER, initial_limits};

/// A point in time (Unix time) or a duration, in microseconds.
pub type Micros = i64;
