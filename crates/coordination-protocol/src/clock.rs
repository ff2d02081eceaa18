//! The clock by which all processes measure leases.

use milletturn_coordination::Timestamp;
use rustix::time::{ClockId, clock_gettime};

/// The current time of `CLOCK_BOOTTIME`, which also advances while the machine is suspended and is never set. Times of
/// different machines or boots can't be compared.
#[must_use]
pub fn now() -> Timestamp {
    let time = clock_gettime(ClockId::Boottime);
    let micros = time
        .tv_sec
        .saturating_mul(1_000_000)
        .saturating_add(time.tv_nsec / 1_000);
    Timestamp(u64::try_from(micros).unwrap_or(0))
}
