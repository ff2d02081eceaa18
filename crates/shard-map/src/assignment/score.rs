//! Scores of pairs of a shard and a sender, by weighted rendezvous hashing.

use crate::shard::ShardId;
use xxhash_rust::xxh3::xxh3_64;

/// A sender that may serve shards, with the precomputed hash of its name.
#[derive(Debug, Clone)]
pub(super) struct Sender {
    pub(super) name: Box<str>,
    pub(super) zone: Box<str>,
    pub(super) weight: u8,
    pub(super) name_hash: u64,
}

/// The score of a shard with a sender, ordered by value and, if values are equal, by the hash of the sender's name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Score {
    value: u64,
    name_hash: u64,
    /// The sender's index in the assignment.
    pub(super) sender: u32,
}

impl Sender {
    pub(super) fn new(name: &str, zone: &str, weight: u8) -> Self {
        Self {
            name: name.into(),
            zone: zone.into(),
            weight,
            name_hash: xxh3_64(name.as_bytes()),
        }
    }

    /// Computes the score with a shard: the maximum of one hash for each unit of the sender's weight.
    ///
    /// The sender's probability of having the highest score of all is therefore proportional to its weight.
    pub(super) fn score(&self, index: u32, shard: ShardId) -> Score {
        let mut bytes = [0; 11];
        bytes[..8].copy_from_slice(&self.name_hash.to_le_bytes());
        bytes[8..10].copy_from_slice(&shard.0.to_le_bytes());
        let draws = (0..self.weight).map(|draw| {
            bytes[10] = draw;
            xxh3_64(&bytes)
        });
        Score {
            value: draws.max().unwrap_or(0),
            name_hash: self.name_hash,
            sender: index,
        }
    }
}
