//! Hashing of destinations into a fixed number of shards.

use serde::{Deserialize, Serialize};
use std::num::NonZeroU32;
use xxhash_rust::xxh3::xxh3_64;

/// The number of shards, which must be the same in all processes that exchange updates.
///
/// Destinations are hashed by XXH3 with seed 0. The hash function never changes, so that a destination has the same
/// shard on every machine and in every version of the program.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "u32", into = "u32")]
pub struct ShardCount(NonZeroU32);

/// The number of one shard, counted from 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ShardId(pub u16);

/// Error for a shard count outside 1 to [`ShardCount::MAX`]. The message is part of the protocol's error responses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("{0} ranges: there are 1 to 65,536")]
pub struct InvalidShardCount(pub u32);

/// A contiguous range of shards.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Span {
    /// The number of the first shard.
    pub(crate) first: u32,
    /// The number of shards in the span.
    pub(crate) count: u32,
}

impl ShardCount {
    /// The largest number of shards, and the default.
    ///
    /// With 1.7 million destinations, each shard has 26 on average, which take 3.5 KB in a discovery response. A sender
    /// has 12 shards. At 6 KB/s they arrive within 7 s, and 17 s are allowed: 29 shards would arrive within that time,
    /// and 31 would take 18 s.
    ///
    /// A quarter as many shards would need fewer digests, but would leave each of 16,000 senders only three shards on
    /// average. Without the capacity limit of members, the fullest sender would then by chance have 12, four times the
    /// average.
    pub const MAX: u32 = 1 << 16;

    /// Creates a count of 1 to [`ShardCount::MAX`] shards.
    ///
    /// # Errors
    /// [`InvalidShardCount`] for 0, or for more than [`ShardCount::MAX`].
    pub fn new(count: u32) -> Result<Self, InvalidShardCount> {
        NonZeroU32::new(count)
            .filter(|count| count.get() <= Self::MAX)
            .map(ShardCount)
            .ok_or(InvalidShardCount(count))
    }

    /// The count as an integer, 1 to [`ShardCount::MAX`].
    #[must_use]
    pub fn count(self) -> u32 {
        self.0.get()
    }

    /// The shard to which a destination belongs, by its hash.
    #[must_use]
    pub fn shard_of(self, destination: u64) -> ShardId {
        let hash = u128::from(xxh3_64(&destination.to_le_bytes()));
        // the product's upper 64 bits are below the count of at most 65,536, and so fit into 16 bits
        ShardId(((hash * u128::from(self.count())) >> 64) as u16)
    }

    /// All shards, in order.
    pub fn shards(self) -> impl Iterator<Item = ShardId> {
        self.span(0, self.count())
    }

    /// The `count` shards from `first` on, ending early at the last shard.
    pub fn span(self, first: u32, count: u32) -> impl Iterator<Item = ShardId> {
        let end = first.saturating_add(count).min(self.count());
        (first..end).map(|number| ShardId(number as u16))
    }

    /// Whether the shard's number is below the count.
    #[must_use]
    pub fn contains(self, shard: ShardId) -> bool {
        u32::from(shard.0) < self.count()
    }

    pub(crate) fn full_span(self) -> Span {
        Span {
            first: 0,
            count: self.count(),
        }
    }

    pub(crate) fn shards_in(self, span: Span) -> impl Iterator<Item = ShardId> {
        self.span(span.first, span.count)
    }
}

impl Default for ShardCount {
    fn default() -> Self {
        // equals `MAX`; unlike `NonZeroU32::new`, the addition returns no `Option`
        ShardCount(NonZeroU32::MIN.saturating_add(Self::MAX - 1))
    }
}

impl TryFrom<u32> for ShardCount {
    type Error = InvalidShardCount;

    fn try_from(count: u32) -> Result<Self, InvalidShardCount> {
        Self::new(count)
    }
}

impl From<ShardCount> for u32 {
    fn from(shard_count: ShardCount) -> u32 {
        shard_count.count()
    }
}
