//! A client system that records what takes effect, and drops repeats of a key inside its window.

use std::collections::BTreeMap;

/// Records effects. Times are microseconds on any clock that does not go back.
pub struct EffectRecorder {
    /// For so long a repeat of a message is dropped, counted from the run that took effect; zero: never.
    window_of: Box<dyn Fn(&str) -> i64>,
    last: BTreeMap<String, i64>,
    counts: BTreeMap<String, u32>,
}

impl EffectRecorder {
    /// A client system with such windows, by the message's name.
    pub fn new(window_of: impl Fn(&str) -> i64 + 'static) -> Self {
        EffectRecorder {
            window_of: Box::new(window_of),
            last: BTreeMap::new(),
            counts: BTreeMap::new(),
        }
    }

    /// A message runs; true if it takes effect, false if it is dropped as a repeat.
    pub fn execute(&mut self, name: &str, now: i64) -> bool {
        if self
            .last
            .get(name)
            .is_some_and(|&at| now - at < (self.window_of)(name))
        {
            return false;
        }
        self.last.insert(name.to_string(), now);
        *self.counts.entry(name.to_string()).or_default() += 1;
        true
    }

    /// How often a message took effect.
    #[must_use]
    pub fn effect_count(&self, name: &str) -> u32 {
        self.counts.get(name).copied().unwrap_or(0)
    }

    /// Those that took effect more than once.
    #[must_use]
    pub fn duplicated(&self) -> Vec<&str> {
        self.counts
            .iter()
            .filter(|(_, count)| **count > 1)
            .map(|(name, _)| name.as_str())
            .collect()
    }

    /// The messages that took effect.
    pub fn message_names(&self) -> impl Iterator<Item = String> {
        self.counts.keys().cloned()
    }

    /// How many messages took effect.
    #[must_use]
    pub fn message_count(&self) -> usize {
        self.counts.len()
    }
}
