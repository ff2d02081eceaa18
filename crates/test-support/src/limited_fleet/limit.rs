//! A destination's limit: what it serves, what refusals use up, and what they tell.

use super::seconds;
use milletturn_policy::{MILLISECOND, Micros, Outcome};
use rand_pcg::Pcg32;
use rand_pcg::rand_core::{RngCore, SeedableRng};

/// How a destination limits calls, and what its answers tell of that.
#[derive(Debug, Clone, Copy)]
pub struct Limiting {
    /// Answers tell the limit, and what is left of it.
    pub reports: bool,
    /// It counts calls in windows of this length. None: a token bucket.
    pub window: Option<Micros>,
    /// Refused calls use it up too, up to as much as is saved up.
    pub debt: bool,
    /// Part of the refusals that tell a wait.
    pub tells_wait: f64,
    /// Told waits lie evenly between these; they say nothing of when a call will be served.
    pub waits: (Micros, Micros),
    /// Part of all calls that is refused with no limit behind it.
    pub noise: f64,
    /// From the first of these times since the start up to the second, the limit is this part of itself.
    pub change: Option<(Micros, Micros, f64)>,
}

impl Limiting {
    /// Answers tell limit and remaining share, and refused calls use it up.
    #[must_use]
    pub fn reported() -> Self {
        Limiting {
            reports: true,
            window: None,
            debt: true,
            tells_wait: 0.0,
            waits: (0, 0),
            noise: 0.0,
            change: None,
        }
    }

    /// Refusals are the only word, and use the limit up too: half of them tell a wait, which says nothing of when a
    /// call will be served.
    #[must_use]
    pub fn refusals() -> Self {
        let waits = (1300 * MILLISECOND, 1400 * MILLISECOND);
        Limiting {
            reports: false,
            tells_wait: 0.5,
            waits,
            ..Limiting::reported()
        }
    }
}

/// One destination's limit in play.
#[derive(Debug)]
pub struct Limit {
    how: Limiting,
    rate: f64,
    saves: Micros,
    tokens: f64,
    window_from: Micros,
    random: Pcg32,
}

impl Limit {
    /// One of so many calls a second that saves up for so long, with nothing used at `now`.
    #[must_use]
    pub fn new(how: Limiting, rate: f64, saves: Micros, now: Micros, seed: u64) -> Self {
        let mut new = Limit {
            how,
            rate,
            saves,
            tokens: 0.0,
            window_from: now,
            random: Pcg32::seed_from_u64(seed),
        };
        new.tokens = new.depth(0);
        new
    }

    /// Calls a second so long after the start.
    #[must_use]
    pub fn rate(&self, since: Micros) -> f64 {
        let changed = |(from, until, _): &(Micros, Micros, f64)| (*from..*until).contains(&since);
        self.rate
            * self
                .how
                .change
                .filter(changed)
                .map_or(1.0, |(_, _, part)| part)
    }

    fn depth(&self, since: Micros) -> f64 {
        (self.rate(since) * seconds(self.how.window.unwrap_or(self.saves))).max(1.0)
    }

    /// Lets a step of time pass that ends at `now`.
    pub fn pass(&mut self, now: Micros, since: Micros, step: Micros) {
        let depth = self.depth(since);
        match self.how.window {
            Some(window) if now - self.window_from >= window => {
                (self.tokens, self.window_from) = (depth, now);
            }
            Some(_) => {}
            None => self.tokens = (self.tokens + self.rate(since) * seconds(step)).min(depth),
        }
    }

    /// What is left of all that can be saved up.
    #[must_use]
    pub fn left(&self, since: Micros) -> f64 {
        self.tokens / self.depth(since)
    }

    /// How a call ends that comes now.
    pub fn call(&mut self, since: Micros) -> Outcome {
        let depth = self.depth(since);
        let served = self.tokens >= 1.0 && (self.how.noise <= 0.0 || self.roll() >= self.how.noise);
        if served || self.how.debt {
            self.tokens = (self.tokens - 1.0).max(-depth);
        }
        if served {
            return Outcome::Success;
        }
        let (least, most) = self.how.waits;
        let tells = self.how.tells_wait > 0.0 && self.roll() < self.how.tells_wait;
        let wait = tells.then(|| least + ((most - least) as f64 * self.roll()) as Micros);
        Outcome::Rejected { retry_after: wait }
    }

    fn roll(&mut self) -> f64 {
        f64::from(self.random.next_u32()) / f64::from(u32::MAX)
    }
}
