//! Which effects the classes have and have had, so that a message is judged by those that applied since it was accepted.
//!
//! A class keeps its name when a reload or a restart gives it another effect. A message that was accepted as one that must
//! never run twice keeps that promise, whatever its class allows later; and one that was accepted before its class became
//! stricter is judged by the stricter effect too.

use milletturn_policy::{Effect, Micros, SECOND};
use std::collections::BTreeMap;

/// The time until which an effect is in force that has not been replaced.
pub(crate) const STILL_IN_FORCE: Micros = Micros::MAX;
/// How long a former effect is kept at least. A message that is not in the store yet may have been accepted before: it lives
/// for seven days at most, and waits in the journal for longer while the store is full.
const MIN_RETENTION: Micros = 30 * 86_400 * SECOND;
/// Maximum number of former effects. If there are more, messages accepted while the oldest of them was in force count as
/// messages that must never run twice.
const MAX_FORMER_EFFECTS: usize = 256;

/// An effect of a class, and until when it was in force. Times are Unix time in microseconds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct EffectPeriod {
    /// Name of the class.
    pub(crate) class: String,
    pub(crate) effect: Effect,
    /// When the effect was replaced; [`STILL_IN_FORCE`] for the current one.
    pub(crate) until: Micros,
}

/// The current effects of the classes, and the former ones.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct EffectHistory {
    /// The effect of each class in the current settings, by its name.
    current: BTreeMap<String, Effect>,
    former: Vec<EffectPeriod>,
    /// Messages accepted until this time count as messages that must never run twice.
    unsafe_until: Micros,
}

impl EffectHistory {
    /// Restores a history from [`EffectHistory::periods`] and [`EffectHistory::unsafe_until`].
    pub(crate) fn restore(periods: Vec<EffectPeriod>, unsafe_until: Micros) -> Self {
        let (current, former): (Vec<_>, Vec<_>) = periods
            .into_iter()
            .partition(|period| period.until == STILL_IN_FORCE);
        EffectHistory {
            current: current
                .into_iter()
                .map(|period| (period.class, period.effect))
                .collect(),
            former,
            unsafe_until,
        }
    }

    /// The effect of each class in the current settings, by its name.
    pub(crate) fn current(&self) -> &BTreeMap<String, Effect> {
        &self.current
    }

    /// Applies the effects of new settings at `now`. Returns false if they are the current ones.
    pub(crate) fn replace(&mut self, effects: BTreeMap<String, Effect>, now: Micros) -> bool {
        if effects == self.current {
            return false;
        }
        for (class, effect) in std::mem::replace(&mut self.current, effects) {
            if self.current.get(&class) != Some(&effect) {
                self.former
                    .retain(|period| period.class != class || period.effect != effect);
                self.former.push(EffectPeriod {
                    class,
                    effect,
                    until: now,
                });
            }
        }
        self.limit_former();
        true
    }

    /// Records the effect under which a message was accepted, if the history does not hold one as strict for that time: the
    /// message may come from a process without a store, or from an earlier version. Returns whether anything was recorded.
    pub(crate) fn record_accepted(
        &mut self,
        class: &str,
        effect: Effect,
        accepted_at: Micros,
    ) -> bool {
        let former = self
            .former
            .iter()
            .filter(|period| period.class == class && period.until >= accepted_at)
            .map(|period| period.effect);
        let mut known = former.chain(self.current.get(class).copied());
        let is_known = known.any(|known| known.stricter(effect) == known);
        if is_known || accepted_at <= self.unsafe_until {
            return false;
        }
        self.former
            .retain(|period| period.class != class || period.effect != effect);
        self.former.push(EffectPeriod {
            class: class.to_string(),
            effect,
            until: accepted_at,
        });
        self.limit_former();
        true
    }

    fn limit_former(&mut self) {
        self.former.sort_by_key(|period| period.until);
        let excess = self.former.len().saturating_sub(MAX_FORMER_EFFECTS);
        for period in self.former.drain(..excess) {
            self.unsafe_until = self.unsafe_until.max(period.until);
        }
    }

    /// Forgets the effects that were replaced more than [`MIN_RETENTION`] ago and before the oldest message in the store
    /// was accepted; `None` if there is no message.
    pub(crate) fn forget_unused(&mut self, oldest_accepted_at: Option<Micros>, now: Micros) {
        let oldest = oldest_accepted_at.unwrap_or(now).min(now - MIN_RETENTION);
        self.former.retain(|period| period.until >= oldest);
    }

    /// The strictest effect that the class has had since a message was accepted; `None` if the current settings don't
    /// have the class.
    pub(crate) fn effect_since(&self, class: &str, accepted_at: Micros) -> Option<Effect> {
        let current = *self.current.get(class)?;
        if accepted_at <= self.unsafe_until {
            return Some(Effect::Unsafe);
        }
        let former = self
            .former
            .iter()
            .filter(|period| period.class == class && period.until >= accepted_at);
        Some(former.fold(current, |strictest, period| {
            strictest.stricter(period.effect)
        }))
    }

    /// All effects with their periods, current and former ones.
    pub(crate) fn periods(&self) -> Vec<EffectPeriod> {
        let current = self.current.iter().map(|(class, effect)| EffectPeriod {
            class: class.clone(),
            effect: *effect,
            until: STILL_IN_FORCE,
        });
        current.chain(self.former.iter().cloned()).collect()
    }

    /// Messages accepted until this time count as messages that must never run twice.
    pub(crate) fn unsafe_until(&self) -> Micros {
        self.unsafe_until
    }
}

#[cfg(test)]
mod tests;
