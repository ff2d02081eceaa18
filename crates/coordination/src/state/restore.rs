//! Restoring the state from a backup after everything written since the backup was lost.

use super::{CoordinationState, EventKind, FencingToken, Micros, SessionId, SessionTable};
use crate::bounds;
use std::collections::BTreeMap;

/// The generation given for a restore is not higher than the backup's, or has reached the limit.
#[derive(thiserror::Error)]
#[error(
    "the backup is of generation {backup}: a restore needs a higher one than any before, below {limit}, not {requested}"
)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RestoreError {
    /// The generation of the backup.
    pub backup: u64,
    /// The generation given for the restore.
    pub requested: u64,
    /// The exclusive upper bound on generations.
    pub limit: u64,
}

impl CoordinationState {
    /// Returns the initial state of a new group of coordinators that continues from this state, which was read from a
    /// backup.
    ///
    /// The changes made after the backup are unknown. Therefore:
    ///
    /// - All sessions and ownerships end.
    /// - All tokens increase beyond any that the lost state may have granted.
    /// - No resource is granted until all leases of the lost state have expired. The longest of them is taken to be
    ///   `lease`, or the longest one in the backup if that is longer.
    ///
    /// `generation` must be higher than that of any earlier restore, from this backup or another.
    ///
    /// # Errors
    /// If the generation is not above the backup's, or not below [`MAX_GENERATIONS`](bounds::MAX_GENERATIONS).
    pub fn restored(&self, generation: u64, lease: Micros) -> Result<Self, RestoreError> {
        if generation <= self.generation || generation >= bounds::MAX_GENERATIONS {
            return Err(RestoreError {
                backup: self.generation,
                requested: generation,
                limit: bounds::MAX_GENERATIONS,
            });
        }
        let longest_lease = self.leases().map(|(_, lease)| lease).max();
        let mut state = self.clone();
        // Ends each session while its member's name is still known, so that the history names it with each lost
        // resource.
        for &session in self.sessions().keys() {
            state.end_session(session, EventKind::Expired);
        }
        let floor = generation * bounds::GENERATION_STRIDE;
        state.sessions = SessionTable::new(BTreeMap::new(), SessionId(floor));
        state.resources.restart_tokens(FencingToken(floor));
        state.history.restart_numbers(floor);
        state.generation = generation;
        state.restore_grace = Some(longest_lease.unwrap_or_default().max(lease));
        // The coordinators of the new group may run an older version that cannot read batches.
        state.batching_enabled = false;
        Ok(state)
    }
}
