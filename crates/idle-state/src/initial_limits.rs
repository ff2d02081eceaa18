//! How far old measurements are relied on: the limits that a destination starts with when it is used again.

use crate::{DestinationState, Micros};

const SECOND: Micros = 1_000_000;

/// Measurements older than this are stale. An hour is far beyond any outage that still lasts, and short beside the
/// weeks between two messages of a small destination: a shorter time treats a quiet evening as if it were a quarter, a
/// longer one relies on a limit that a deployment has changed meanwhile.
pub const STALE_AFTER: Micros = 3_600 * SECOND;
/// Calls a second that stale measurements allow at first, to be grown by successes: each may add half of what is there,
/// so that 200 a second are reached after some ten. Higher serves a burst sooner, lower meets a new limit more gently.
const STALE_RATE: f64 = 4.0;
/// Calls in flight at once where the measurements are stale.
const STALE_WINDOW: f64 = 4.0;

/// The limits that a destination starts with when it is used again.
#[derive(Debug, Clone, PartialEq)]
pub struct InitialLimits {
    /// The measurements are recent: the limits are those of before.
    pub is_fresh: bool,
    /// Calls a second; infinite where nothing bounds them.
    pub rate: f64,
    /// Calls in flight.
    pub window: f64,
}

/// The limits to start with at `now`, by the time since the last call. A `Retry-After` is no measurement: it binds to
/// its end, whatever its age.
#[must_use]
pub fn initial_limits(known: &DestinationState, now: Micros) -> InitialLimits {
    let is_fresh = now - known.last_sent < STALE_AFTER;
    if is_fresh {
        return InitialLimits {
            is_fresh,
            rate: known.rate,
            window: known.window,
        };
    }
    // the limit may be lower by now: it is found again from below, never by a burst
    InitialLimits {
        is_fresh,
        rate: known.rate.min(STALE_RATE),
        window: known.window.min(STALE_WINDOW),
    }
}
