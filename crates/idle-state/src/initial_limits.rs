//! The limits with which calls to an idle destination start again, depending on the age of its measurements.

use crate::{DestinationState, Micros};

const SECOND: Micros = 1_000_000;

/// Time after the last call, in microseconds, from which the measurements of a destination are stale. An hour is far
/// longer than any outage that may still be in progress, and short compared to the weeks between two messages of a
/// small destination. A shorter time would discard the measurements after one evening without messages; a longer one
/// would rely on limits that a deployment of the destination may have changed since.
pub const STALE_AFTER: Micros = 3_600 * SECOND;
/// Maximum initial rate, in calls per second, if the measurements are stale. Each success may raise the rate by half,
/// so that 200 calls per second are reached after about ten successes. A higher value serves a burst sooner; a lower
/// one causes fewer rejections if the destination has lowered its limit.
const MAX_STALE_RATE: f64 = 4.0;
/// Maximum initial number of calls in flight, if the measurements are stale.
const MAX_STALE_WINDOW: f64 = 4.0;

/// The limits with which calls to an idle destination start again.
#[derive(Debug, Clone, PartialEq)]
pub struct InitialLimits {
    /// True if the measurements are not stale, so that the limits are the same as at the last call.
    pub is_fresh: bool,
    /// Maximum calls per second; infinite if there is no limit.
    pub rate_limit: f64,
    /// Maximum calls in flight.
    pub concurrency_window: f64,
}

/// The limits to start with at `now`, depending on the time since the last call. A `Retry-After` is not affected: it
/// applies until its end, whatever its age.
#[must_use]
pub fn initial_limits(state: &DestinationState, now: Micros) -> InitialLimits {
    let is_fresh = now - state.last_sent_at < STALE_AFTER;
    if is_fresh {
        return InitialLimits {
            is_fresh,
            rate_limit: state.rate_limit,
            concurrency_window: state.concurrency_window,
        };
    }
    // the destination may have lowered its limit: start low and let successes raise the rate, without a burst
    InitialLimits {
        is_fresh,
        rate_limit: state.rate_limit.min(MAX_STALE_RATE),
        concurrency_window: state.concurrency_window.min(MAX_STALE_WINDOW),
    }
}
