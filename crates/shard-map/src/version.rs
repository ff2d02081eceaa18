//! Versions of a shard, and changes with the version that each leads to.

use crate::change::Change;
use crate::digest::Digest;
use crate::shard::ShardId;
use serde::{Deserialize, Serialize};
use std::fmt;

/// The term of the leader that assigned a version; each new leader has a higher term, as in Raft.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct LeaderTerm(pub u64);

impl fmt::Display for LeaderTerm {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// The version of a shard or of a membership.
///
/// Versions are ordered by term, then by number. A later term takes precedence even with a lower number: if the later
/// leader lacks a change of an earlier leader, that change was never committed.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Version {
    /// The term of the leader that assigned the number, or of a later leader that confirmed it.
    pub term: LeaderTerm,
    /// The number of changes so far; 0 before the first one.
    pub number: u64,
}

/// A change to a shard, with the version that it leads to.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct VersionedChange {
    /// The shard to which the change applies.
    #[serde(rename = "range")]
    pub shard: ShardId,
    /// The shard's version once the change is applied.
    #[serde(rename = "position")]
    pub version: Version,
    /// The digest of the shard's endpoints once the change is applied. A replica whose endpoints would have a different
    /// digest does not apply the change.
    #[serde(rename = "after")]
    pub digest_after: Digest,
    /// The operations on the endpoints of one destination.
    pub change: Change,
}

/// The version of one shard, with the digest of its endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ShardVersion {
    /// The shard whose version this is.
    #[serde(rename = "range")]
    pub shard: ShardId,
    /// The version that was assigned with the last change, or confirmed by a later leader.
    #[serde(rename = "position")]
    pub version: Version,
    /// The digest of the shard's endpoints at this version.
    pub digest: Digest,
}
