//! The authoritative copy of the endpoint list, which validates changes and assigns versions under a leader's term.
//!
//! The source does not make changes durable itself. The process that runs it must commit each change and store it on
//! disk before it sends the change to any replica, as the coordination service does with its own log entries. The
//! process takes the term from the coordination service.

use crate::change::{Change, ChangeError, Operation};
use crate::limits::Limits;
use crate::shard::{ShardCount, ShardId};
use crate::shard_replica::ShardReplica;
use crate::sync::{self, ShardReplicas, SyncError, SyncRequest, Update};
use crate::version::{LeaderTerm, Version, VersionedChange};
use std::collections::BTreeMap;

/// The authoritative endpoint list.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ShardMapSource {
    shard_count: ShardCount,
    limits: Limits,
    term: LeaderTerm,
    is_leader: bool,
    shards: ShardReplicas,
    /// The destination of each endpoint by name. Names are unique in the whole list, since senders identify endpoints by
    /// them.
    destination_by_uid: BTreeMap<Box<str>, u64>,
    size_bytes: usize,
}

/// Error for assuming leadership under a term that is not above the source's own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("term {requested} is not above the known term {known}")]
pub struct StaleTerm {
    /// The term under which leadership was to be assumed.
    pub requested: LeaderTerm,
    /// The source's own term.
    pub known: LeaderTerm,
}

impl ShardMapSource {
    /// Creates an empty list, with the source as leader of this term.
    #[must_use]
    pub fn new(shard_count: ShardCount, limits: Limits, term: LeaderTerm) -> Self {
        let empty = |id| {
            let mut shard = ShardReplica::default();
            shard.set_version(Version { term, number: 0 });
            (id, shard)
        };
        Self {
            shard_count,
            limits,
            term,
            is_leader: true,
            shards: shard_count.shards().map(empty).collect(),
            destination_by_uid: BTreeMap::new(),
            size_bytes: 0,
        }
    }

    /// Becomes the leader of a later term, with the list as stored in this source.
    ///
    /// The caller must ensure that the list contains all committed changes.
    ///
    /// # Errors
    /// [`StaleTerm`] if the term is not above that of this source.
    pub fn assume_leadership(&mut self, term: LeaderTerm) -> Result<(), StaleTerm> {
        if term <= self.term {
            return Err(StaleTerm {
                requested: term,
                known: self.term,
            });
        }
        (self.term, self.is_leader) = (term, true);
        for shard in self.shards.values_mut() {
            shard.set_version(Version {
                term,
                ..shard.version()
            });
        }
        Ok(())
    }

    /// Records that a leader of this term exists; if the term is above its own, the source rejects all further changes.
    pub fn observe_term(&mut self, term: LeaderTerm) {
        if term > self.term {
            self.is_leader = false;
        }
    }

    /// The term of which this source is the leader, or was before it was deposed.
    #[must_use]
    pub fn term(&self) -> LeaderTerm {
        self.term
    }

    /// Validates a change, applies it and assigns it a version.
    ///
    /// # Errors
    /// [`ChangeError`] with the reason for the rejection; the list then stays unchanged, and no version is used.
    pub fn propose(&mut self, change: Change) -> Result<VersionedChange, ChangeError> {
        if !self.is_leader {
            return Err(ChangeError::NotLeader);
        }
        change.validate()?;
        self.check_ownership(&change)?;
        let id = self.shard_count.shard_of(change.destination);
        let limits = self.limits;
        let shard = self.shards.entry(id).or_default();
        let bytes_before = shard.size_bytes();
        let others_bytes = self.size_bytes - bytes_before;
        let check_size = |shard_bytes| {
            // a change that does not enlarge the shard is never rejected for its size
            if shard_bytes <= bytes_before {
                return Ok(());
            }
            check_limits(&limits, shard_bytes, others_bytes + shard_bytes)
        };
        let versioned = shard.assign_version(id, self.term, change, &limits, check_size)?;
        // never `None`: `check_ownership` found each endpoint to remove in `destination_by_uid`, so the shard has it
        let versioned = versioned.ok_or(ChangeError::UnknownEndpoint("".into()))?;
        self.size_bytes = others_bytes + shard.size_bytes();
        self.record_ownership(&versioned.change);
        Ok(versioned)
    }

    /// Checks that no endpoint to put belongs to another destination, and that each endpoint to remove belongs to the
    /// change's destination.
    fn check_ownership(&self, change: &Change) -> Result<(), ChangeError> {
        for operation in &change.operations {
            let uid = operation.uid();
            let owner = self.destination_by_uid.get(uid).copied();
            match (operation, owner) {
                (Operation::Put(_), Some(destination)) if destination != change.destination => {
                    return Err(ChangeError::OwnedByOtherDestination {
                        uid: uid.into(),
                        destination,
                    });
                }
                (Operation::Remove(_), owner) if owner != Some(change.destination) => {
                    return Err(ChangeError::UnknownEndpoint(uid.into()));
                }
                _ => {}
            }
        }
        Ok(())
    }

    fn record_ownership(&mut self, change: &Change) {
        for operation in &change.operations {
            match operation {
                Operation::Put(endpoint) => {
                    self.destination_by_uid
                        .insert(endpoint.uid.clone(), change.destination);
                }
                Operation::Remove(uid) => {
                    self.destination_by_uid.remove(uid);
                }
            }
        }
    }

    /// The updates with which the source responds to a replica's request.
    ///
    /// # Errors
    /// [`SyncError`] if the request is invalid.
    pub fn respond(&self, request: &SyncRequest) -> Result<Vec<Update>, SyncError> {
        sync::respond(&self.shards, self.shard_count, self.term, request)
    }

    /// The state of a shard; `None` if its number is not below the number of shards.
    #[must_use]
    pub fn shard(&self, id: ShardId) -> Option<&ShardReplica> {
        self.shards.get(&id)
    }

    /// The number of shards into which destinations are hashed.
    #[must_use]
    pub fn shard_count(&self) -> ShardCount {
        self.shard_count
    }

    /// The size of all endpoints in bytes, as computed by [`Endpoint::size_bytes`](crate::Endpoint::size_bytes).
    #[must_use]
    pub fn size_bytes(&self) -> usize {
        self.size_bytes
    }
}

fn check_limits(
    limits: &Limits,
    shard_bytes: usize,
    total_bytes: usize,
) -> Result<(), ChangeError> {
    if shard_bytes > limits.shard_bytes {
        return Err(ChangeError::ShardTooLarge {
            required_bytes: shard_bytes,
            max_bytes: limits.shard_bytes,
        });
    }
    if total_bytes > limits.total_bytes {
        return Err(ChangeError::ListTooLarge {
            required_bytes: total_bytes,
            max_bytes: limits.total_bytes,
        });
    }
    Ok(())
}
