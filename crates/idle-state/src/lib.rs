//! The state that is kept of an idle destination (one that currently gets no calls), and the limits with which calls to
//! it start again. The compact form takes up tens of bytes; the state of a destination in use takes up kilobytes. This
//! package reads no clock and does no I/O.
//!
//! | value | precision in the compact form |
//! | --- | --- |
//! | end of a `Retry-After`, start of an ejection or a recovery | exact |
//! | first seen, last change from healthy to ejected, last call | rounded up to whole seconds |
//! | limits, rates, windows, counts | rounded down to 24 bits of precision (one part in 16 million), so that no limit is higher than the original one |
//! | latencies | whole microseconds, 71 minutes at most |
//! | the individual latencies and times of successes from which latencies and rates are computed | not kept |

mod compact;
mod initial_limits;

pub use compact::{CompactState, DestinationState, Health};
pub use initial_limits::{InitialLimits, STALE_AFTER, initial_limits};

/// A point in time (Unix time) or a duration, in microseconds.
pub type Micros = i64;
