//! The messages that rules may still redrive, by destination, with a round-robin order of destinations.

use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of candidates. Messages beyond this bound are not redriven by rule until the next start, when the
/// store is searched again.
const MAX_CANDIDATES: usize = 200_000;

/// The numbers of the messages that rules may still redrive.
#[derive(Debug, Default)]
pub(crate) struct RedriveCandidates {
    by_destination: BTreeMap<u64, BTreeSet<u64>>,
    count: usize,
    /// The destination that was served last; the next pass over the destinations begins with the one after it.
    last_served: u64,
}

impl RedriveCandidates {
    /// Adds a message, unless [`MAX_CANDIDATES`] is reached.
    pub(crate) fn insert(&mut self, destination: u64, number: u64) {
        if self.count < MAX_CANDIDATES
            && self
                .by_destination
                .entry(destination)
                .or_default()
                .insert(number)
        {
            self.count += 1;
        }
    }

    /// Removes a message if it is a candidate.
    pub(crate) fn remove(&mut self, destination: u64, number: u64) {
        if let Some(numbers) = self.by_destination.get_mut(&destination) {
            self.count -= usize::from(numbers.remove(&number));
            if numbers.is_empty() {
                self.by_destination.remove(&destination);
            }
        }
    }

    /// The destination's candidate with the lowest number.
    pub(crate) fn first(&self, destination: u64) -> Option<u64> {
        self.by_destination.get(&destination)?.first().copied()
    }

    /// The destinations in round-robin order; the one that was served last comes last.
    pub(crate) fn destinations_in_order(&self) -> Vec<u64> {
        let after = self
            .by_destination
            .range(self.last_served.saturating_add(1)..);
        let wrapped = self.by_destination.range(..=self.last_served);
        after
            .chain(wrapped)
            .map(|(&destination, _)| destination)
            .collect()
    }

    /// Records that a message to the destination is redriven, so that the next pass begins with other destinations.
    pub(crate) fn mark_served(&mut self, destination: u64) {
        self.last_served = destination;
    }
}
