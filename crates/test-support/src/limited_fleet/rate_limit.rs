//! A destination's rate limit: which calls it serves or rejects, and what its responses report about the limit.

use super::seconds;
use milletturn_policy::{MILLISECOND, Micros, Outcome};
use rand_pcg::Pcg32;
use rand_pcg::rand_core::{RngCore, SeedableRng};

/// How a destination limits calls, and what its responses report about the limit.
#[derive(Debug, Clone, Copy)]
pub struct LimitPolicy {
    /// Whether responses report the limit and what is left of it.
    pub reports_limit: bool,
    /// Length of the fixed windows in which calls are counted; `None` means a token bucket.
    pub window: Option<Micros>,
    /// Whether rejected calls consume the limit too. The number of calls left can then become negative, but not
    /// below minus the number of calls that a full bucket or an unused window lets through.
    pub rejections_consume: bool,
    /// Fraction of the rejections that carry a `Retry-After`.
    pub retry_after_share: f64,
    /// Range of the retry-after delays, which are uniformly distributed and unrelated to when a call will be served.
    pub retry_after_range: (Micros, Micros),
    /// Fraction of all calls that is rejected at random, independently of the limit.
    pub random_rejection_share: f64,
    /// Temporary change of the limit: from the first time after the start up to the second, it is multiplied by the
    /// third value.
    pub temporary_change: Option<(Micros, Micros, f64)>,
}

impl LimitPolicy {
    /// Responses report the limit and its remaining share, and rejected calls use up the limit.
    #[must_use]
    pub fn reported() -> Self {
        LimitPolicy {
            reports_limit: true,
            window: None,
            rejections_consume: true,
            retry_after_share: 0.0,
            retry_after_range: (0, 0),
            random_rejection_share: 0.0,
            temporary_change: None,
        }
    }

    /// The limit shows only in rejections, which use up the limit too. Half of them carry a `Retry-After`
    /// that is unrelated to when a call will be served.
    #[must_use]
    pub fn rejections_only() -> Self {
        let retry_after_range = (1300 * MILLISECOND, 1400 * MILLISECOND);
        LimitPolicy {
            reports_limit: false,
            retry_after_share: 0.5,
            retry_after_range,
            ..LimitPolicy::reported()
        }
    }
}

/// State of one destination's rate limit.
#[derive(Debug)]
pub struct RateLimit {
    policy: LimitPolicy,
    calls_per_s: f64,
    /// Time in which an empty token bucket fills up.
    fill_time: Micros,
    tokens: f64,
    window_from: Micros,
    random: Pcg32,
}

impl RateLimit {
    /// A limit of `calls_per_s` whose token bucket fills up within `fill_time` and is full at `now`.
    #[must_use]
    pub fn new(
        policy: LimitPolicy,
        calls_per_s: f64,
        fill_time: Micros,
        now: Micros,
        seed: u64,
    ) -> Self {
        let mut limit = RateLimit {
            policy,
            calls_per_s,
            fill_time,
            tokens: 0.0,
            window_from: now,
            random: Pcg32::seed_from_u64(seed),
        };
        limit.tokens = limit.depth(0);
        limit
    }

    /// The limit at this time after the start, calls per second.
    #[must_use]
    pub fn rate_at(&self, elapsed: Micros) -> f64 {
        let is_in_force =
            |(from, until, _): &(Micros, Micros, f64)| (*from..*until).contains(&elapsed);
        self.calls_per_s
            * self
                .policy
                .temporary_change
                .filter(is_in_force)
                .map_or(1.0, |(_, _, factor)| factor)
    }

    /// Number of calls that a full bucket or an unused window lets through.
    fn depth(&self, elapsed: Micros) -> f64 {
        (self.rate_at(elapsed) * seconds(self.policy.window.unwrap_or(self.fill_time))).max(1.0)
    }

    /// Refills the token bucket for the `step` that ends at `now`, or begins a new fixed window if the current one is
    /// over. `elapsed` is the time since the start.
    pub fn advance(&mut self, now: Micros, elapsed: Micros, step: Micros) {
        let depth = self.depth(elapsed);
        match self.policy.window {
            Some(window) if now - self.window_from >= window => {
                (self.tokens, self.window_from) = (depth, now);
            }
            Some(_) => {}
            None => self.tokens = (self.tokens + self.rate_at(elapsed) * seconds(step)).min(depth),
        }
    }

    /// Remaining share of the bucket or window, negative while rejected calls have consumed more than was left.
    #[must_use]
    pub fn remaining_share(&self, elapsed: Micros) -> f64 {
        self.tokens / self.depth(elapsed)
    }

    /// Serves or rejects a call that arrives at the time `elapsed` after the start.
    pub fn handle_call(&mut self, elapsed: Micros) -> Outcome {
        let depth = self.depth(elapsed);
        let is_served = self.tokens >= 1.0
            && (self.policy.random_rejection_share <= 0.0
                || self.random_fraction() >= self.policy.random_rejection_share);
        if is_served || self.policy.rejections_consume {
            self.tokens = (self.tokens - 1.0).max(-depth);
        }
        if is_served {
            return Outcome::Success;
        }
        let (min_delay, max_delay) = self.policy.retry_after_range;
        let has_retry_after = self.policy.retry_after_share > 0.0
            && self.random_fraction() < self.policy.retry_after_share;
        let retry_after = has_retry_after.then(|| {
            min_delay + ((max_delay - min_delay) as f64 * self.random_fraction()) as Micros
        });
        Outcome::Rejected { retry_after }
    }

    fn random_fraction(&mut self) -> f64 {
        f64::from(self.random.next_u32()) / f64::from(u32::MAX)
    }
}
