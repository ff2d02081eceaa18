//! Timestamps and durations on one machine's clock, and the clock drift between machines that leases allow for.
//!
//! A [`Timestamp`] may only be compared with others of the same machine and the same boot.

use serde::{Deserialize, Serialize};

/// A duration in microseconds, serialized as a plain number.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Micros(pub u64);

impl Micros {
    /// A duration of zero microseconds.
    pub const ZERO: Self = Self(0);

    /// Converts milliseconds, saturating at the largest duration.
    #[must_use]
    pub const fn from_millis(count: u64) -> Self {
        Self(count.saturating_mul(1_000))
    }
}

/// Microseconds on a monotonic clock that keeps running while the machine is suspended and cannot be set
/// (`CLOCK_BOOTTIME`).
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Timestamp(pub u64);

impl Timestamp {
    /// The timestamp that lies `duration` after this one, saturating at the largest.
    #[must_use]
    pub const fn after(self, duration: Micros) -> Self {
        Self(self.0.saturating_add(duration.0))
    }

    /// The time elapsed since `earlier`; zero if `earlier` is in fact later than this timestamp.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Micros {
        Micros(self.0.saturating_sub(earlier.0))
    }
}

/// The duration of a lease and the clock drift that it allows for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseTiming {
    /// How long after the last confirmed heartbeat the leader waits before it considers the lease expired.
    pub lease: Micros,
    /// By how many parts per million one machine's clock may run faster than another's.
    pub clock_error_ppm: u32,
}

impl LeaseTiming {
    /// How long the holder may rely on the lease, counted from a time before it sent the request that granted or
    /// renewed the lease.
    ///
    /// This duration is shorter than the lease by the clock error, so that it ends before the leader's lease even if
    /// the holder's clock is slow by the full error (C. Gray, D. Cheriton: Leases, SOSP 1989).
    #[must_use]
    pub const fn holder_duration(&self) -> Micros {
        let lease = self.lease.0 as u128 * 1_000_000;
        // The quotient is at most the lease, so the cast to u64 does not truncate.
        Micros((lease / (1_000_000 + self.clock_error_ppm as u128)) as u64)
    }
}
