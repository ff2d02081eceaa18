//! The versioned set of senders that serve shards.
//!
//! The leader of the coordination service creates memberships; all other processes only replace an older one
//! with a newer one.

use crate::limits;
use crate::shard::ShardCount;
use crate::version::{LeaderTerm, Version};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// A sender that may serve shards.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Member {
    /// The name of the zone in which the sender runs.
    pub zone: Box<str>,
    /// The sender's share of the work relative to other members, 1 to [`limits::MAX_MEMBER_WEIGHT`].
    #[serde(rename = "shares")]
    pub weight: u8,
}

/// The senders that may serve shards, and the number of senders for each shard.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(try_from = "SerializedMembership", into = "SerializedMembership")]
pub struct Membership {
    version: Version,
    replication_factor: u8,
    /// The maximum number of shards that a member serves for each unit of its weight.
    shards_per_weight: u32,
    members: BTreeMap<Box<str>, Member>,
}

/// The reason for rejecting a membership.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum MembershipError {
    /// A replication factor of 0, or above [`limits::MAX_REPLICATION_FACTOR`].
    #[error("{0} copies of each shard: the number must be from 1 to {max}", max = limits::MAX_REPLICATION_FACTOR)]
    ReplicationFactor(u8),
    /// More than [`limits::MAX_MEMBERS`] members.
    #[error("{0} members, more than the maximum of {max}", max = limits::MAX_MEMBERS)]
    TooManyMembers(usize),
    /// A member whose name or zone is empty or longer than [`limits::MAX_NAME_BYTES`].
    #[error(
        "a name or a zone is empty or longer than {} bytes",
        limits::MAX_NAME_BYTES
    )]
    InvalidName,
    /// A member with a weight of 0, or above [`limits::MAX_MEMBER_WEIGHT`].
    #[error("a member has {0} shares: the number must be from 1 to {max}", max = limits::MAX_MEMBER_WEIGHT)]
    Weight(u8),
}

impl Membership {
    /// The first membership of a term, without members.
    ///
    /// # Errors
    /// [`MembershipError::ReplicationFactor`] for a factor of 0 or above [`limits::MAX_REPLICATION_FACTOR`].
    pub fn new(term: LeaderTerm, replication_factor: u8) -> Result<Self, MembershipError> {
        if replication_factor == 0
            || usize::from(replication_factor) > limits::MAX_REPLICATION_FACTOR
        {
            return Err(MembershipError::ReplicationFactor(replication_factor));
        }
        Ok(Self {
            version: Version { term, number: 0 },
            replication_factor,
            shards_per_weight: 0,
            members: BTreeMap::new(),
        })
    }

    /// The next version of the membership, with these members in place of the previous ones.
    ///
    /// The capacity per unit of weight is computed as 1.25 times the mean number of shard replicas per unit of weight.
    /// It is then kept while the total capacity of the members is between 1.1 and 1.5 times the number of shard
    /// replicas. Each change of the capacity per unit of weight moves shards of senders that did not change themselves.
    /// Without this range, the capacity would change once an hour with 16,000 senders.
    ///
    /// # Errors
    /// [`MembershipError`] for too many members, or a member with an invalid name, zone or weight.
    pub fn with_members(
        &self,
        members: BTreeMap<Box<str>, Member>,
        shard_count: ShardCount,
    ) -> Result<Self, MembershipError> {
        validate(&members)?;
        let total_weight: u64 = members
            .values()
            .map(|member| u64::from(member.weight))
            .sum();
        let needed = u64::from(shard_count.count()) * u64::from(self.replication_factor);
        let capacity = total_weight * u64::from(self.shards_per_weight);
        let is_in_range = capacity * 10 >= needed * 11 && capacity * 2 <= needed * 3;
        let shards_per_weight = if is_in_range {
            self.shards_per_weight
        } else {
            (needed * 5).div_ceil(4 * total_weight.max(1)) as u32
        };
        Ok(Self {
            version: Version {
                number: self.version.number + 1,
                ..self.version
            },
            replication_factor: self.replication_factor,
            shards_per_weight,
            members,
        })
    }

    /// Whether this membership has a later version than the other one.
    #[must_use]
    pub fn is_newer_than(&self, other: &Self) -> bool {
        self.version > other.version
    }

    /// Replaces this membership with the other one if the other is newer, and returns whether it was replaced.
    pub fn replace_if_newer(&mut self, other: Self) -> bool {
        let is_newer = other.is_newer_than(self);
        if is_newer {
            *self = other;
        }
        is_newer
    }

    /// Sets the term to that of a later leader; an earlier term changes nothing.
    pub fn raise_term(&mut self, term: LeaderTerm) {
        self.version.term = self.version.term.max(term);
    }

    /// The version, by which memberships are ordered.
    #[must_use]
    pub fn version(&self) -> Version {
        self.version
    }

    /// The number of senders that serve each shard, in different zones if there are enough zones.
    #[must_use]
    pub fn replication_factor(&self) -> usize {
        usize::from(self.replication_factor)
    }

    /// The maximum number of shards that a member serves for each unit of its weight.
    #[must_use]
    pub fn shards_per_weight(&self) -> u32 {
        self.shards_per_weight
    }

    /// All members, by name.
    #[must_use]
    pub fn members(&self) -> &BTreeMap<Box<str>, Member> {
        &self.members
    }

    /// The number of zones that have members.
    #[must_use]
    pub fn zone_count(&self) -> usize {
        let zones: BTreeSet<_> = self.members.values().map(|member| &member.zone).collect();
        zones.len()
    }

    /// The maximum number of senders of one zone that serve the same shard; 1 if there are at least as many zones as the
    /// replication factor.
    #[must_use]
    pub fn max_replicas_per_zone(&self) -> usize {
        self.replication_factor().div_ceil(self.zone_count().max(1))
    }
}

fn validate(members: &BTreeMap<Box<str>, Member>) -> Result<(), MembershipError> {
    if members.len() > limits::MAX_MEMBERS {
        return Err(MembershipError::TooManyMembers(members.len()));
    }
    let is_valid_name = |name: &str| !name.is_empty() && name.len() <= limits::MAX_NAME_BYTES;
    for (name, member) in members {
        if !is_valid_name(name) || !is_valid_name(&member.zone) {
            return Err(MembershipError::InvalidName);
        }
        if member.weight == 0 || member.weight > limits::MAX_MEMBER_WEIGHT {
            return Err(MembershipError::Weight(member.weight));
        }
    }
    Ok(())
}

/// The serialized form of a membership, not yet validated when it is read.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct SerializedMembership {
    term: LeaderTerm,
    number: u64,
    #[serde(rename = "copies")]
    replication_factor: u8,
    #[serde(rename = "places")]
    shards_per_weight: u32,
    members: BTreeMap<Box<str>, Member>,
}

impl TryFrom<SerializedMembership> for Membership {
    type Error = MembershipError;

    fn try_from(serialized: SerializedMembership) -> Result<Self, MembershipError> {
        let SerializedMembership {
            term,
            number,
            replication_factor,
            shards_per_weight,
            members,
        } = serialized;
        let empty = Self::new(term, replication_factor)?;
        validate(&members)?;
        Ok(Self {
            version: Version { term, number },
            shards_per_weight,
            members,
            ..empty
        })
    }
}

impl From<Membership> for SerializedMembership {
    fn from(membership: Membership) -> SerializedMembership {
        let Membership {
            version: Version { term, number },
            replication_factor,
            shards_per_weight,
            members,
        } = membership;
        SerializedMembership {
            term,
            number,
            replication_factor,
            shards_per_weight,
            members,
        }
    }
}
