//! Counts of the sender's state and work, for operators and tests, and the switch that tests use to turn
//! incremental scheduling off.

use crate::state::Health;
use crate::state::Sender;

impl Sender {
    /// A sender that rebuilds its schedule in each turn and checks each message: the same actions, at a
    /// higher cost. Tests compare both.
    #[must_use]
    pub fn without_incremental_scheduling(mut self) -> Self {
        self.incremental_scheduling = false;
        self
    }

    /// Work done by all turns so far, in messages, queues and calls handled.
    #[must_use]
    pub fn work_steps(&self) -> u64 {
        self.scheduler.work_steps
    }

    /// Number of health scopes with full state, and of idle scopes with compact state.
    #[must_use]
    pub fn scope_counts(&self) -> (usize, usize) {
        (self.scopes.len(), self.idle_scopes.len())
    }

    /// Number of serving endpoints that belong to ejected health scopes, which get only probes.
    #[must_use]
    pub fn ejected_endpoint_count(&self) -> usize {
        let is_ejected = |id| match self.scopes.get(&id) {
            Some(scope) => matches!(scope.health, Health::Ejected { .. }),
            None => self
                .idle_scopes
                .get(&id)
                .is_some_and(milletturn_idle_state::CompactState::is_ejected),
        };
        self.endpoints
            .iter()
            .filter(|(id, endpoint)| endpoint.serving && is_ejected(self.scope_of(**id)))
            .count()
    }
}
