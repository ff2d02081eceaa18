//! The state of one shard: its endpoints, its version and its most recent changes.

use crate::change::{Change, Operation};
use crate::digest::Digest;
use crate::endpoint::Endpoint;
use crate::limits::Limits;
use crate::shard::ShardId;
use crate::version::{LeaderTerm, Version, VersionedChange};
use std::collections::VecDeque;

/// The result of applying a change to a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ApplyStatus {
    /// The change was applied.
    Applied,
    /// The change does not follow the current version, or the resulting endpoints do not have the change's digest.
    Gap,
    /// The shard with the change applied would exceed the size limits.
    CapacityExceeded,
}

/// A shard's endpoints, with its version and the most recent changes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct ShardReplica {
    version: Version,
    content: Content,
    /// The most recent changes, oldest first.
    history: VecDeque<HistoryEntry>,
}

/// Endpoints, with their total digest and size.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
struct Content {
    /// Ordered by destination and name.
    endpoints: Vec<Endpoint>,
    digest: Digest,
    size_bytes: usize,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct HistoryEntry {
    digest_before: Digest,
    change: VersionedChange,
}

impl ShardReplica {
    /// Creates a shard with these endpoints and no history; `None` if they are not strictly ordered by destination and name.
    #[must_use]
    pub fn new(version: Version, endpoints: Vec<Endpoint>) -> Option<Self> {
        if !endpoints.is_sorted_by(|a, b| sort_key(a) < sort_key(b)) {
            return None;
        }
        let digest = endpoints.iter().fold(Digest::default(), |sum, endpoint| {
            sum.with(endpoint.digest())
        });
        let size_bytes = endpoints.iter().map(Endpoint::size_bytes).sum();
        let content = Content {
            endpoints,
            digest,
            size_bytes,
        };
        Some(ShardReplica {
            version,
            content,
            history: VecDeque::new(),
        })
    }

    /// The version that was assigned with the last applied change, or confirmed by a later leader.
    #[must_use]
    pub fn version(&self) -> Version {
        self.version
    }

    /// The digest of all endpoints of the shard.
    #[must_use]
    pub fn digest(&self) -> Digest {
        self.content.digest
    }

    /// A digest of the shard's id, its endpoints and the number of its version.
    ///
    /// Two replicas with the same versioned digest can apply the same next change. The term is not included.
    #[must_use]
    pub fn versioned_digest(&self, shard: ShardId) -> Digest {
        let mut bytes = [0; 26];
        bytes[..2].copy_from_slice(&shard.0.to_le_bytes());
        bytes[2..10].copy_from_slice(&self.version.number.to_le_bytes());
        bytes[10..].copy_from_slice(&self.content.digest.0.to_le_bytes());
        Digest::of(&bytes)
    }

    /// The endpoints of the shard, ordered by destination and name.
    #[must_use]
    pub fn endpoints(&self) -> &[Endpoint] {
        &self.content.endpoints
    }

    /// The endpoints of one destination; empty if it has none.
    #[must_use]
    pub fn endpoints_of(&self, destination: u64) -> &[Endpoint] {
        let endpoints = &self.content.endpoints;
        let from = endpoints.partition_point(|endpoint| endpoint.destination < destination);
        let to = endpoints.partition_point(|endpoint| endpoint.destination <= destination);
        &endpoints[from..to]
    }

    /// The size of all endpoints of the shard in bytes, as computed by [`Endpoint::size_bytes`].
    #[must_use]
    pub fn size_bytes(&self) -> usize {
        self.content.size_bytes
    }

    /// Sets the version without changing the endpoints, for example when a later leader confirms them under its own
    /// term.
    pub fn set_version(&mut self, version: Version) {
        self.version = version;
    }

    /// Applies a change and assigns it the next version under this term; `None` if an endpoint to remove does not exist.
    ///
    /// `check_size` is called with the size in bytes that the shard would have, and rejects it with an error.
    ///
    /// # Errors
    /// The error of `check_size`; the shard then stays unchanged.
    pub fn assign_version<E>(
        &mut self,
        shard: ShardId,
        term: LeaderTerm,
        change: Change,
        limits: &Limits,
        check_size: impl FnOnce(usize) -> Result<(), E>,
    ) -> Result<Option<VersionedChange>, E> {
        let Some(content) = self.content.with_change(&change) else {
            return Ok(None);
        };
        check_size(content.size_bytes)?;
        let version = Version {
            term,
            number: self.version.number + 1,
        };
        let change = VersionedChange {
            shard,
            version,
            digest_after: content.digest,
            change,
        };
        self.advance(content, change.clone(), limits);
        Ok(Some(change))
    }

    /// Applies a change if it has the next version number and no earlier term than the shard, and if the resulting
    /// endpoints have the digest [`VersionedChange::digest_after`].
    ///
    /// `fits` is called with the size in bytes that the shard would have, and returns whether that is allowed. A change that
    /// is not applied leaves the shard unchanged.
    pub fn apply(
        &mut self,
        change: &VersionedChange,
        limits: &Limits,
        fits: impl FnOnce(usize) -> bool,
    ) -> ApplyStatus {
        let is_next = self.version.number.checked_add(1) == Some(change.version.number);
        if !is_next || change.version.term < self.version.term {
            return ApplyStatus::Gap;
        }
        let content = self.content.with_change(&change.change);
        let Some(content) = content.filter(|content| content.digest == change.digest_after) else {
            return ApplyStatus::Gap;
        };
        if !fits(content.size_bytes) {
            return ApplyStatus::CapacityExceeded;
        }
        self.advance(content, change.clone(), limits);
        ApplyStatus::Applied
    }

    /// Replaces the content with the result of a change, and adds the change to the history for replicas that catch up.
    fn advance(&mut self, content: Content, change: VersionedChange, limits: &Limits) {
        let digest_before = std::mem::replace(&mut self.content, content).digest;
        self.version = change.version;
        if limits.history > 0 {
            self.history.push_back(HistoryEntry {
                digest_before,
                change,
            });
            while self.history.len() > limits.history {
                self.history.pop_front();
            }
        }
    }

    /// The changes since the state with this version number and digest; `None` if the history does not have all of them.
    ///
    /// Also `None` if one of them has an earlier term than the shard, since a replica that knows the later term would ignore
    /// that change.
    #[must_use]
    pub fn changes_since(&self, number: u64, digest: Digest) -> Option<Vec<VersionedChange>> {
        let from = self
            .history
            .iter()
            .position(|entry| entry.change.version.number == number.saturating_add(1))?;
        let changes = self.history.range(from..).map(|entry| &entry.change);
        let is_complete = self.history[from].digest_before == digest
            && changes
                .clone()
                .all(|change| change.version.term == self.version.term);
        is_complete.then(|| changes.cloned().collect())
    }
}

impl Content {
    /// The content with a change applied; `None` if an endpoint to remove does not exist.
    fn with_change(&self, change: &Change) -> Option<Content> {
        let mut content = self.clone();
        for operation in &change.operations {
            let key = (change.destination, operation.uid());
            let found = content
                .endpoints
                .binary_search_by(|endpoint| sort_key(endpoint).cmp(&key));
            if let Ok(index) = found {
                let replaced = &content.endpoints[index];
                content.digest = content.digest.without(replaced.digest());
                content.size_bytes -= replaced.size_bytes();
            }
            match (operation, found) {
                (Operation::Put(endpoint), found) => {
                    content.digest = content.digest.with(endpoint.digest());
                    content.size_bytes += endpoint.size_bytes();
                    match found {
                        Ok(index) => content.endpoints[index] = endpoint.clone(),
                        Err(index) => content.endpoints.insert(index, endpoint.clone()),
                    }
                }
                (Operation::Remove(_), Ok(index)) => {
                    content.endpoints.remove(index);
                }
                (Operation::Remove(_), Err(_)) => return None,
            }
        }
        Some(content)
    }
}

fn sort_key(endpoint: &Endpoint) -> (u64, &str) {
    (endpoint.destination, &endpoint.uid)
}
