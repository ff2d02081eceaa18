//! How long a sender waits before it contacts discovery again. Performs no I/O and reads no clock.
//!
//! When discovery fails, all senders lose their watches at the same time, and with short delays all would retry
//! together. Requests that queue for longer than their caller waits are served after the caller has disconnected, so
//! discovery would be fully loaded without serving anyone (metastable failure: Bronson and others, Metastable Failures
//! in Distributed Systems, HotOS 2021). Delays after a rejection therefore grow with the number of senders, and each is
//! random (M. Brooker, Exponential Backoff and Jitter, 2015).
//!
//! An unreachable discovery service has no queue that a request could lengthen. Delays after such a failure stay short,
//! so that once discovery is back, a sender receives changes within [`MAX_UPDATE_DELAY`].

#[cfg(test)]
mod tests;

use rand_pcg::Pcg32;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use std::time::Duration;

/// Maximum time until a sender receives a change, from the time when discovery has the change and can be reached.
const MAX_UPDATE_DELAY: Duration = Duration::from_millis(6000);
/// A watch counts as failed after this time without a list update or keep-alive, and a request that opens one counts as
/// failed after this time without a response. Discovery sends an empty line as a keep-alive every 2 s.
pub(crate) const WATCH_INACTIVITY_TIMEOUT: Duration = Duration::from_millis(3000);
/// Longest delay after a failure to reach discovery, and after a first rejection.
pub(crate) const MAX_SHORT_DELAY: Duration = Duration::from_millis(1900);
/// Time within which a healthy discovery service on the same machine responds. Also the time limit of a request with
/// notifications.
pub(crate) const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1000);
/// Reserve for socket delays of 50 ms and for a busy machine.
const TIMING_SLACK: Duration = Duration::from_millis(100);
// Worst case: discovery comes back just after it sent its last keep-alive, or just after it received a request that it
// will never answer. The sender then waits for each of these times in full, one after the other.
const _: () = assert!(
    WATCH_INACTIVITY_TIMEOUT.as_millis()
        + MAX_SHORT_DELAY.as_millis()
        + RESPONSE_TIMEOUT.as_millis()
        + TIMING_SLACK.as_millis()
        <= MAX_UPDATE_DELAY.as_millis()
);
const _: () = assert!(
    MIN_DELAY.as_millis() <= DEFAULT_MAX_DELAY.as_millis()
        && DEFAULT_MAX_DELAY.as_millis() <= MAX_SHORT_DELAY.as_millis()
);

/// Shortest delay after any failure.
pub(crate) const MIN_DELAY: Duration = Duration::from_millis(50);
/// Longest delay while few senders share one discovery service; with more senders, [`MAX_DELAY_ROUNDS`] raises the
/// limit.
pub(crate) const DEFAULT_MAX_DELAY: Duration = Duration::from_millis(1000);
/// Delay per sender that shares the discovery service: all senders together send at most one request in this time.
/// Smaller values let senders reconnect sooner to a service with spare capacity; larger values let an overloaded
/// service recover.
const TIME_PER_SENDER: Duration = Duration::from_millis(80);
/// Longest delay after rejections, as a multiple of the time in which every sender sends one request.
const MAX_DELAY_ROUNDS: u32 = 4;

/// Why a request to discovery or a watch failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// Discovery could not be reached or did not respond in time, or the response ended early, was silent for too long
    /// or could not be parsed completely.
    Unreachable,
    /// Discovery responded with an error status.
    Rejected,
}

/// The retry delays of one sender towards discovery.
#[derive(Debug)]
pub struct DiscoveryBackoff {
    random: Pcg32,
    /// Time in which every sender sends one request.
    time_per_round: Duration,
    /// Number of failures to reach discovery since the last success.
    unreachable_failures: u32,
    /// Number of rejections since the last success.
    rejections: u32,
}

impl DiscoveryBackoff {
    /// Creates the backoff of one sender. `senders` is the number of senders that share one discovery, and `seed` must
    /// differ between them. With `is_pushed`, the list comes from a local process that serves this sender alone;
    /// `senders` is then ignored, because the other senders put no load on that process, and each change of the list
    /// must be received within 6 s, however many senders there are.
    #[must_use]
    pub fn new(senders: u32, is_pushed: bool, seed: u64) -> Self {
        let senders = if is_pushed { 1 } else { senders };
        DiscoveryBackoff {
            random: Pcg32::seed_from_u64(seed),
            time_per_round: TIME_PER_SENDER * senders,
            unreachable_failures: 0,
            rejections: 0,
        }
    }

    /// Records a success: the next failure counts as the first one.
    pub fn reset(&mut self) {
        (self.unreachable_failures, self.rejections) = (0, 0);
    }

    /// How long an unanswered request is kept waiting in discovery's queue: as long as the longest delay after
    /// rejections.
    #[must_use]
    pub fn max_queue_wait(&self) -> Duration {
        DEFAULT_MAX_DELAY.max(self.time_per_round * MAX_DELAY_ROUNDS)
    }

    /// The random delay before the retry after a failure, at least 50 ms. It is at most 1.9 s after a failure to reach
    /// discovery or a first rejection. From the second rejection on, it is at most 1 s or the time in which every
    /// sender sends four requests, whichever is longer.
    pub fn next_delay(&mut self, failure: Failure) -> Duration {
        let (failures, limit) = match failure {
            Failure::Unreachable => (&mut self.unreachable_failures, MAX_SHORT_DELAY),
            Failure::Rejected if self.rejections == 0 => (&mut self.rejections, MAX_SHORT_DELAY),
            Failure::Rejected => (&mut self.rejections, Duration::MAX),
        };
        let backoff = self
            .time_per_round
            .saturating_mul(1 << failures.saturating_sub(1).min(16));
        let limit = backoff
            .min(DEFAULT_MAX_DELAY.max(self.time_per_round * MAX_DELAY_ROUNDS))
            .min(limit);
        let fraction = f64::from(self.random.next_u32()) / f64::from(u32::MAX);
        // All senders lose their watches at the same moment, so the first delays are spread over the whole range.
        let fraction = if *failures <= 1 {
            fraction
        } else {
            0.5 + 0.5 * fraction
        };
        *failures = failures.saturating_add(1);
        limit.mul_f64(fraction).max(MIN_DELAY)
    }
}
