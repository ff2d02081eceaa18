//! The clock of the decision module.

use milletturn_policy::Micros;
use std::time::Duration;
use tokio::time::Instant;

/// The time that the decision module sees: Unix time in microseconds, read from the host once at the start and
/// advanced by the monotonic clock.
///
/// Steps of the wall clock while the process runs have no effect.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
    unix_at_start: Micros,
}

impl Clock {
    /// Creates a clock whose current time is `unix` microseconds.
    #[must_use]
    pub fn new(unix: Micros) -> Self {
        Clock {
            start: Instant::now(),
            unix_at_start: unix,
        }
    }

    /// The clock's time at an instant; an instant before the clock's start counts as the start.
    #[must_use]
    pub fn at(&self, instant: Instant) -> Micros {
        self.unix_at_start
            + Micros::try_from(instant.saturating_duration_since(self.start).as_micros())
                .unwrap_or(0)
    }

    /// The clock's current time.
    #[must_use]
    pub fn now(&self) -> Micros {
        self.at(Instant::now())
    }

    /// The instant at which the clock shows the time `at`; a time before the clock's start counts as the start.
    #[must_use]
    pub fn instant(&self, at: Micros) -> Instant {
        self.start + Duration::from_micros(u64::try_from(at - self.unix_at_start).unwrap_or(0))
    }
}
