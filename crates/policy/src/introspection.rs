//! What the module shows of itself. It decides nothing.

use crate::state::Health;
use crate::state::Sender;

impl Sender {
    /// One that makes its books anew in each turn and looks at each message: the same actions, at more cost. For tests.
    #[must_use]
    pub fn without_incremental_scheduling(mut self) -> Self {
        self.shortcuts = false;
        self
    }

    /// Looks that all turns so far have taken, at messages, calls and groups of messages.
    #[must_use]
    pub fn work_steps(&self) -> u64 {
        self.agenda.steps
    }

    /// Destinations (routes, where they are apart) that are known in full, and packed.
    #[must_use]
    pub fn scope_counts(&self) -> (usize, usize) {
        (self.units.len(), self.dormant.len())
    }

    /// Listed endpoints that take calls, of units that are taken for gone: they get trials only.
    #[must_use]
    pub fn ejected_endpoint_count(&self) -> usize {
        let sick = |id| match self.units.get(&id) {
            Some(unit) => matches!(unit.health, Health::Ejected { .. }),
            None => self
                .dormant
                .get(&id)
                .is_some_and(milletturn_idle_state::CompactState::is_ejected),
        };
        self.endpoints
            .iter()
            .filter(|(id, known)| known.serving && sick(self.unit_of(**id)))
            .count()
    }
}
