//! A simulated destination system that records which messages take effect, and drops a repeated message within its
//! deduplication window.

use std::collections::BTreeMap;

/// Records how often each message takes effect. Times are microseconds of any monotonic clock.
pub struct EffectRecorder {
    /// Deduplication window of each message, microseconds: a repeat is dropped for this long after the execution that
    /// took effect. Zero means that no repeat is dropped.
    window_us_of: Box<dyn Fn(&str) -> i64>,
    last_effect_at: BTreeMap<String, i64>,
    effect_counts: BTreeMap<String, u32>,
}

impl EffectRecorder {
    /// A recorder whose `window_us_of` gives each message's deduplication window in microseconds.
    pub fn new(window_us_of: impl Fn(&str) -> i64 + 'static) -> Self {
        EffectRecorder {
            window_us_of: Box::new(window_us_of),
            last_effect_at: BTreeMap::new(),
            effect_counts: BTreeMap::new(),
        }
    }

    /// Executes a message at the time `now`. Returns true if it takes effect, false if it is dropped as a repeat.
    pub fn execute(&mut self, name: &str, now: i64) -> bool {
        if self
            .last_effect_at
            .get(name)
            .is_some_and(|&at| now - at < (self.window_us_of)(name))
        {
            return false;
        }
        self.last_effect_at.insert(name.to_string(), now);
        *self.effect_counts.entry(name.to_string()).or_default() += 1;
        true
    }

    /// Number of times that the message took effect.
    #[must_use]
    pub fn effect_count(&self, name: &str) -> u32 {
        self.effect_counts.get(name).copied().unwrap_or(0)
    }

    /// Names of the messages that took effect more than once.
    #[must_use]
    pub fn duplicated(&self) -> Vec<&str> {
        self.effect_counts
            .iter()
            .filter(|(_, count)| **count > 1)
            .map(|(name, _)| name.as_str())
            .collect()
    }

    /// Names of the messages that took effect.
    pub fn message_names(&self) -> impl Iterator<Item = String> {
        self.effect_counts.keys().cloned()
    }

    /// Number of different messages that took effect.
    #[must_use]
    pub fn message_count(&self) -> usize {
        self.effect_counts.len()
    }
}
