//! The stable matching of shards and senders by deferred acceptance (Gale and Shapley).

use super::Assignment;
use super::score::Score;
use crate::shard::ShardId;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

/// The state of a matching in progress, in which shards propose to senders in descending order of score.
pub(super) struct Matching<'a> {
    assignment: &'a Assignment,
    replication_factor: usize,
    max_replicas_per_zone: usize,
    /// The zone number of each sender, by the sender's index.
    zones: Vec<u32>,
    /// The maximum number of shards of each sender, by the sender's index.
    capacities: Vec<usize>,
    /// The shards that each sender has accepted so far, with the lowest score on top of the heap.
    shards_of_sender: Vec<BinaryHeap<Reverse<(Score, u16)>>>,
    /// The senders that have accepted each shard so far.
    senders_of_shard: Vec<Vec<Score>>,
    /// The scores with all senders, for each shard that used up its cached scores.
    all_scores: BTreeMap<usize, Vec<Score>>,
    /// Shards still to be matched: at first all of them, later those that a sender displaced for a higher score.
    pending: Vec<usize>,
}

impl<'a> Matching<'a> {
    pub(super) fn new(assignment: &'a Assignment) -> Self {
        let senders = &assignment.senders;
        let zone_names: BTreeSet<&str> = senders
            .iter()
            .flatten()
            .map(|sender| &*sender.zone)
            .collect();
        let zone_numbers: BTreeMap<&str, u32> = zone_names.into_iter().zip(0..).collect();
        let zones = senders
            .iter()
            .map(|sender| {
                sender
                    .as_ref()
                    .map_or(0, |sender| zone_numbers[&*sender.zone])
            })
            .collect();
        let shards_per_weight = assignment.membership.shards_per_weight() as usize;
        let capacities = senders
            .iter()
            .map(|sender| {
                sender
                    .as_ref()
                    .map_or(0, |sender| usize::from(sender.weight))
            })
            .map(|weight| weight * shards_per_weight)
            .collect();
        let shard_count = assignment.shard_count.count() as usize;
        Self {
            assignment,
            replication_factor: assignment.membership.replication_factor(),
            max_replicas_per_zone: assignment.membership.max_replicas_per_zone(),
            zones,
            capacities,
            shards_of_sender: vec![BinaryHeap::new(); senders.len()],
            senders_of_shard: vec![Vec::new(); shard_count],
            all_scores: BTreeMap::new(),
            pending: (0..shard_count).collect(),
        }
    }

    /// Matches all shards, and returns the indices of each shard's senders in descending order of score.
    pub(super) fn run(mut self) -> Vec<Vec<u32>> {
        while let Some(shard) = self.pending.pop() {
            self.match_shard(shard);
        }
        self.senders_of_shard
            .into_iter()
            .map(|scores| scores.iter().map(|score| score.sender).collect())
            .collect()
    }

    /// Finds the highest-scored senders that accept a shard, within the limit for each zone.
    fn match_shard(&mut self, shard: usize) {
        let mut chosen: Vec<Score> = Vec::with_capacity(self.replication_factor);
        let mut rank = 0;
        while chosen.len() < self.replication_factor {
            let Some(score) = self.score_at(shard, rank) else {
                break;
            };
            rank += 1;
            if self.is_zone_full(&chosen, score) {
                continue;
            }
            let is_matched = self.senders_of_shard[shard]
                .iter()
                .any(|matched| matched.sender == score.sender);
            if is_matched || self.propose(shard, score) {
                chosen.push(score);
            }
        }
        self.senders_of_shard[shard] = chosen;
    }

    /// The shard's score at a rank, where 0 is the highest; `None` past the last sender.
    fn score_at(&mut self, shard: usize, rank: usize) -> Option<Score> {
        let scores = self
            .all_scores
            .get(&shard)
            .unwrap_or(&self.assignment.top_scores[shard]);
        if let Some(score) = scores.get(rank) {
            return Some(*score);
        }
        let sender_count = self.assignment.sender_by_name.len();
        if scores.len() >= sender_count {
            return None;
        }
        // the cached scores are used up, so the scores with all senders are computed
        let scores = self
            .assignment
            .best_scores(ShardId(shard as u16), sender_count);
        let score = scores.get(rank).copied();
        self.all_scores.insert(shard, scores);
        score
    }

    fn is_zone_full(&self, chosen: &[Score], score: Score) -> bool {
        let zone = self.zones[score.sender as usize];
        let in_zone = chosen
            .iter()
            .filter(|other| self.zones[other.sender as usize] == zone)
            .count();
        in_zone >= self.max_replicas_per_zone
    }

    /// Proposes a shard to a sender, and returns whether the sender accepts.
    ///
    /// A sender at capacity accepts only a score above its lowest one, and rejects the shard with that lowest score.
    fn propose(&mut self, shard: usize, score: Score) -> bool {
        let sender = score.sender as usize;
        let accepted = &mut self.shards_of_sender[sender];
        if accepted.len() >= self.capacities[sender] {
            let Some(&Reverse((lowest, other))) = accepted.peek() else {
                return false;
            };
            if (score, shard as u16) <= (lowest, other) {
                return false;
            }
            accepted.pop();
            self.senders_of_shard[usize::from(other)]
                .retain(|matched| matched.sender != score.sender);
            self.pending.push(usize::from(other));
        }
        accepted.push(Reverse((score, shard as u16)));
        self.senders_of_shard[shard].push(score);
        true
    }
}
