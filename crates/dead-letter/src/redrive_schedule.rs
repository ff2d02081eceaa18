//! Redrives by rule: which messages are redriven, when, and at which rate. Does no I/O and gets the time as a
//! parameter.

use milletturn_engine::EndReason;
use milletturn_policy::{Micros, SECOND};
use std::collections::BTreeMap;

/// Maximum number of destinations whose health is remembered when attempts end. Beyond it, an attempt at a new
/// destination evicts the one whose last attempt is the oldest, which then counts as never attempted.
const MAX_DESTINATIONS: usize = 10_000;
/// Maximum time for which one refill of a rule's token bucket adds tokens, in microseconds.
const MAX_REFILL: Micros = 3600 * SECOND;

/// A rule by which messages are redriven. An empty list matches every message.
#[derive(Debug, Clone, PartialEq)]
pub struct RedriveRule {
    /// The rule's name, for the audit log of the messages that it redrives.
    pub name: String,
    /// Names of the classes that the rule covers.
    pub classes: Vec<String>,
    /// Numbers of the destinations that the rule covers.
    pub destinations: Vec<u64>,
    /// The rule covers messages whose last round ended for one of these reasons.
    pub reasons: Vec<EndReason>,
    /// Minimum time since the last failed or rejected attempt at the destination, in microseconds.
    pub min_healthy: Micros,
    /// The rule does not cover messages that have been redriven this many times, by operators or by rules.
    pub max_redrives: u32,
    /// Messages first accepted longer ago than this, in microseconds, are not redriven.
    pub max_age: Micros,
    /// Maximum rate of redrives by this rule, per second.
    pub per_second: f64,
}

/// The properties of a message that rules check.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate<'a> {
    /// Name of the message's class.
    pub class: &'a str,
    /// Number of the message's destination.
    pub destination: u64,
    /// Why the last round ended.
    pub reason: EndReason,
    /// When the engine first accepted the message, Unix time in microseconds.
    pub accepted_at: Micros,
    /// Number of redrives so far.
    pub redrives: u32,
}

impl RedriveRule {
    /// True if the rule covers this message, whatever the destination's health and the rule's rate limit are now.
    #[must_use]
    pub fn covers(&self, candidate: &Candidate<'_>, now: Micros) -> bool {
        let class = self.classes.iter().any(|class| class == candidate.class);
        (self.classes.is_empty() || class)
            && (self.destinations.is_empty() || self.destinations.contains(&candidate.destination))
            && (self.reasons.is_empty() || self.reasons.contains(&candidate.reason))
            && candidate.redrives < self.max_redrives
            && now - candidate.accepted_at <= self.max_age
    }
}

/// The health of a destination, from the ends of attempts.
#[derive(Debug, Clone, Copy, Default)]
struct DestinationHealth {
    last_attempt_at: Micros,
    /// When an attempt last failed or was rejected; `None` if none did.
    failed_at: Option<Micros>,
    last_succeeded: bool,
    /// True if a redrive was released as a probe, because the last attempt failed or there was none, and the probe has
    /// not ended yet.
    probing: bool,
}

/// The token bucket that limits the rate of a rule.
#[derive(Debug, Clone, Copy)]
struct TokenBucket {
    tokens: f64,
    refilled_at: Micros,
}

impl TokenBucket {
    fn refill(&mut self, per_second: f64, now: Micros) {
        let elapsed = now.saturating_sub(self.refilled_at).clamp(0, MAX_REFILL);
        let seconds = elapsed as f64 / SECOND as f64;
        self.tokens = (self.tokens + seconds * per_second).min(per_second.max(1.0));
        self.refilled_at = now;
    }

    fn try_take(&mut self) -> bool {
        let available = self.tokens >= 1.0;
        if available {
            self.tokens -= 1.0;
        }
        available
    }
}

/// The rules with their rate limits, and the health of destinations as the ends of attempts show it.
#[derive(Debug)]
pub struct RedriveSchedule {
    rules: Vec<(RedriveRule, TokenBucket)>,
    health: BTreeMap<u64, DestinationHealth>,
}

impl RedriveSchedule {
    /// Creates a schedule; the rules are tried in the given order.
    #[must_use]
    pub fn new(rules: Vec<RedriveRule>) -> Self {
        let initial_bucket = TokenBucket {
            tokens: 1.0,
            refilled_at: Micros::MIN,
        };
        RedriveSchedule {
            rules: rules
                .into_iter()
                .map(|rule| (rule, initial_bucket))
                .collect(),
            health: BTreeMap::new(),
        }
    }

    /// True if there are no rules.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rules.is_empty()
    }

    /// Records that an attempt at a destination ended; the attempts of all messages count, not only those of redrives.
    pub fn on_attempt_end(&mut self, destination: u64, succeeded: bool, now: Micros) {
        if !self.health.contains_key(&destination) && self.health.len() >= MAX_DESTINATIONS {
            let oldest = self
                .health
                .iter()
                .min_by_key(|(_, health)| health.last_attempt_at)
                .map(|(&destination, _)| destination);
            oldest.and_then(|destination| self.health.remove(&destination));
        }
        let health = self.health.entry(destination).or_default();
        health.last_attempt_at = now;
        health.probing = false;
        health.last_succeeded = succeeded;
        if !succeeded {
            health.failed_at = Some(now);
        }
    }

    /// Returns the first rule by which this message may be redriven now, and takes one token of that rule.
    ///
    /// A message may be redriven once [`RedriveRule::min_healthy`] has passed since the last failed attempt at its
    /// destination, or immediately if no attempt has failed. If the last attempt at the destination failed, or there
    /// has been none, only one message at a time is redriven to it, as a probe.
    pub fn try_acquire(&mut self, candidate: &Candidate<'_>, now: Micros) -> Option<&RedriveRule> {
        let health = self
            .health
            .get(&candidate.destination)
            .copied()
            .unwrap_or_default();
        for (rule, bucket) in &mut self.rules {
            let healthy = health
                .failed_at
                .is_none_or(|failed_at| now - failed_at >= rule.min_healthy);
            if !healthy || health.probing && !health.last_succeeded || !rule.covers(candidate, now)
            {
                continue;
            }
            bucket.refill(rule.per_second, now);
            if !bucket.try_take() {
                continue;
            }
            let health = self.health.entry(candidate.destination).or_default();
            health.probing = !health.last_succeeded;
            return Some(rule);
        }
        None
    }

    /// Records that a redrive to a destination ended or was not accepted. The next message may then be a probe, even if
    /// no attempt showed the destination's health: otherwise a redrive that ends without an attempt would block all
    /// others to the destination.
    pub fn on_redrive_end(&mut self, destination: u64) {
        if let Some(health) = self.health.get_mut(&destination) {
            health.probing = false;
        }
    }

    /// True if any rule covers the message, whatever the destination's health and the rate limits are now.
    #[must_use]
    pub fn covers(&self, candidate: &Candidate<'_>, now: Micros) -> bool {
        self.rules
            .iter()
            .any(|(rule, _)| rule.covers(candidate, now))
    }
}

#[cfg(test)]
mod tests;
