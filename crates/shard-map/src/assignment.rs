//! The assignment of shards to senders, computed from a membership alone, so that all processes with the same membership
//! compute the same assignment.
//!
//! Each pair of a shard and a sender has a score, computed by hashing (rendezvous hashing, also called highest random
//! weight). A shard prefers the senders with which it has the highest scores, in different zones. A sender that exceeds
//! its capacity rejects the shards with which it has the lowest scores, and they continue with their next best senders.
//! Since both sides rank by the same score, there is only one stable matching (Gale and Shapley), whatever the order of
//! the steps. A membership change that keeps the capacity per unit of weight therefore moves only the shards of the
//! senders that changed, and the shards that are displaced or find a better sender as a result.
//!
//! The assignment only advises clients where to submit a message; it is not a permission to deliver. A client with an
//! older membership may submit to a sender that no longer serves the shard; that sender accepts the message as well.

mod matching;
mod score;

use crate::membership::Membership;
use crate::shard::{ShardCount, ShardId};
use matching::Matching;
use score::{Score, Sender};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// Number of the highest scores that are cached for each shard.
///
/// A shard needs only a few senders, plus some in place of those at capacity. All scores are computed for a shard that
/// needs more than the cached ones.
const CACHED_SCORES: usize = 16;

/// The senders of each shard for one membership.
#[derive(Debug, Clone)]
pub struct Assignment {
    shard_count: ShardCount,
    membership: Membership,
    /// The senders by index. The index of a removed sender is free, and the next one that is added gets it.
    senders: Vec<Option<Sender>>,
    sender_by_name: BTreeMap<Box<str>, u32>,
    /// The highest scores of each shard, in descending order.
    top_scores: Vec<Vec<Score>>,
    /// The indices of the senders that serve each shard, in descending order of score.
    senders_of_shard: Vec<Vec<u32>>,
}

/// The number of assignments that a new membership changed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Reassignment {
    /// The number of pairs of a shard and a sender that serves it now and did not before.
    pub gained: usize,
    /// The number of pairs of a shard and a sender that no longer serves it.
    pub lost: usize,
}

impl Assignment {
    /// Computes the assignment of all shards to the senders of a membership.
    #[must_use]
    pub fn new(shard_count: ShardCount, membership: Membership) -> Self {
        let senders: Vec<Sender> = membership
            .members()
            .iter()
            .map(|(name, member)| Sender::new(name, &member.zone, member.weight))
            .collect();
        let mut assignment = Self {
            shard_count,
            membership,
            senders: Vec::new(),
            sender_by_name: BTreeMap::new(),
            top_scores: vec![Vec::new(); shard_count.count() as usize],
            senders_of_shard: Vec::new(),
        };
        for sender in senders {
            assignment.add_sender(sender);
        }
        for shard in shard_count.shards() {
            assignment.top_scores[usize::from(shard.0)] =
                assignment.best_scores(shard, CACHED_SCORES);
        }
        assignment.senders_of_shard = Matching::new(&assignment).run();
        assignment
    }

    /// Adds a sender at the first free index, and returns the index.
    fn add_sender(&mut self, sender: Sender) -> u32 {
        let free = self
            .senders
            .iter()
            .position(Option::is_none)
            .unwrap_or(self.senders.len());
        if free == self.senders.len() {
            self.senders.push(None);
        }
        self.sender_by_name.insert(sender.name.clone(), free as u32);
        self.senders[free] = Some(sender);
        free as u32
    }

    /// The `count` highest scores of a shard, in descending order; fewer if there are fewer senders.
    fn best_scores(&self, shard: ShardId, count: usize) -> Vec<Score> {
        let mut scores: Vec<Score> = Vec::with_capacity(self.senders.len().min(2 * count + 1));
        let mut lowest = None;
        for (index, sender) in self.senders.iter().enumerate() {
            let Some(sender) = sender else { continue };
            let score = sender.score(index as u32, shard);
            if lowest.is_some_and(|lowest| score < lowest) {
                continue;
            }
            scores.push(score);
            if scores.len() > 2 * count {
                sort_and_truncate(&mut scores, count);
                lowest = scores.last().copied();
            }
        }
        sort_and_truncate(&mut scores, count);
        scores
    }

    /// Changes to a newer membership; one that is older or the same changes nothing.
    ///
    /// Scores are computed only for senders that were added, removed or changed, except for shards with too few cached
    /// scores left.
    pub fn update(&mut self, membership: Membership) -> Reassignment {
        if !membership.is_newer_than(&self.membership) {
            return Reassignment::default();
        }
        let before = self.name_hashes();
        let count_before = self.sender_by_name.len();
        let removed = self.remove_departed(&membership);
        let mut added = Vec::new();
        for (name, member) in membership.members() {
            if !self.sender_by_name.contains_key(name) {
                added.push(self.add_sender(Sender::new(name, &member.zone, member.weight)));
            }
        }
        self.membership = membership;
        for shard in self.shard_count.shards() {
            self.update_scores(shard, &removed, &added, count_before);
        }
        self.senders_of_shard = Matching::new(self).run();
        reassignment(&before, &self.name_hashes())
    }

    /// Removes the senders that are absent from this membership or have a different zone or weight there; returns their
    /// indices.
    fn remove_departed(&mut self, membership: &Membership) -> BTreeSet<u32> {
        let (members, senders) = (membership.members(), &mut self.senders);
        let mut removed = BTreeSet::new();
        self.sender_by_name.retain(|name, index| {
            let sender = senders[*index as usize].as_ref();
            let is_unchanged = sender
                .zip(members.get(name))
                .is_some_and(|(sender, member)| {
                    sender.zone == member.zone && sender.weight == member.weight
                });
            if !is_unchanged {
                senders[*index as usize] = None;
                removed.insert(*index);
            }
            is_unchanged
        });
        removed
    }

    /// Brings the cached scores of a shard up to date with the senders that were removed and added.
    fn update_scores(
        &mut self,
        shard: ShardId,
        removed: &BTreeSet<u32>,
        added: &[u32],
        count_before: usize,
    ) {
        let mut scores = std::mem::take(&mut self.top_scores[usize::from(shard.0)]);
        // if not all scores were cached, only new scores above the lowest cached one are sure to be among the highest
        let lowest = scores
            .last()
            .filter(|_| scores.len() < count_before)
            .copied();
        scores.retain(|score| !removed.contains(&score.sender));
        for &index in added {
            let sender = self.senders[index as usize].as_ref();
            let score = sender.map(|sender| sender.score(index, shard));
            scores.extend(score.filter(|score| lowest.is_none_or(|lowest| *score > lowest)));
        }
        sort_and_truncate(&mut scores, CACHED_SCORES);
        if scores.len() < (CACHED_SCORES / 2).min(self.sender_by_name.len()) {
            scores = self.best_scores(shard, CACHED_SCORES);
        }
        self.top_scores[usize::from(shard.0)] = scores;
    }

    /// The names of the senders that serve a shard, in descending order of score.
    pub fn senders_of(&self, shard: ShardId) -> impl Iterator<Item = &str> {
        let indices = self.senders_of_shard.get(usize::from(shard.0));
        indices
            .into_iter()
            .flatten()
            .filter_map(|&index| self.senders.get(index as usize)?.as_ref())
            .map(|sender| &*sender.name)
    }

    /// The shards that a sender serves, in ascending order; none for an unknown sender.
    #[must_use]
    pub fn shards_of(&self, name: &str) -> Vec<ShardId> {
        let Some(index) = self.sender_by_name.get(name) else {
            return Vec::new();
        };
        self.shard_count
            .shards()
            .filter(|shard| self.senders_of_shard[usize::from(shard.0)].contains(index))
            .collect()
    }

    /// The number of shards that each sender serves, by name.
    #[must_use]
    pub fn loads(&self) -> BTreeMap<&str, usize> {
        let mut loads: BTreeMap<&str, usize> = self
            .sender_by_name
            .keys()
            .map(|name| (&**name, 0))
            .collect();
        for shard in self.shard_count.shards() {
            for name in self.senders_of(shard) {
                *loads.entry(name).or_default() += 1;
            }
        }
        loads
    }

    /// The number of shard replicas to which no sender is assigned, because the limits on senders and zones allow none.
    ///
    /// With fewer senders than the replication factor, each shard is expected to have one replica for each sender.
    #[must_use]
    pub fn unassigned_replicas(&self) -> usize {
        let wanted = self
            .membership
            .replication_factor()
            .min(self.sender_by_name.len());
        self.senders_of_shard
            .iter()
            .map(|senders| wanted - senders.len().min(wanted))
            .sum()
    }

    /// The membership from which the assignment was computed.
    #[must_use]
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// The senders of each shard as hashes of their names, which unlike indices are not reused by other senders.
    fn name_hashes(&self) -> Vec<Vec<u64>> {
        let name_hash = |index: &u32| {
            let sender = self.senders[*index as usize].as_ref();
            sender.map(|sender| sender.name_hash)
        };
        self.senders_of_shard
            .iter()
            .map(|senders| senders.iter().filter_map(name_hash).collect())
            .collect()
    }
}

/// Sorts scores in descending order, and drops all but the first `count`.
fn sort_and_truncate(scores: &mut Vec<Score>, count: usize) {
    scores.sort_unstable_by_key(|score| Reverse(*score));
    scores.truncate(count);
}

fn reassignment(before: &[Vec<u64>], after: &[Vec<u64>]) -> Reassignment {
    let mut changes = Reassignment::default();
    for (before, after) in before.iter().zip(after) {
        changes.gained += after.iter().filter(|hash| !before.contains(hash)).count();
        changes.lost += before.iter().filter(|hash| !after.contains(hash)).count();
    }
    changes
}
