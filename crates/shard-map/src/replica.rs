//! A copy of some shards at a session proxy or a sender.
//!
//! Three independent checks protect a replica:
//!
//! - **Term**: an update with an earlier term than the newest known one is ignored.
//! - **Version**: the version of a shard only grows, and a change applies only if its number is the next one.
//! - **Digest**: a change applies only if the resulting endpoints have the digest in the change, and a snapshot only if
//!   its endpoints have the digest in the snapshot.
//!
//! A replica therefore ignores the outdated updates of a peer that lags behind, repeats updates or was restored from an
//! old backup.
//!
//! Changes that arrive out of order are not stored. A change that leaves a gap marks the shard as stale, and the replica
//! requests the missing changes.

mod spans;

use crate::digest::Digest;
use crate::endpoint::Endpoint;
use crate::limits::{self, Limits};
use crate::shard::{ShardCount, ShardId, Span};
use crate::shard_replica::{ApplyStatus, ShardReplica};
use crate::sync::{self, ShardReplicas, SyncError, SyncRequest, Update};
use crate::version::{LeaderTerm, ShardVersion, VersionedChange};
use std::collections::BTreeSet;

/// The result of applying an update.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ApplyOutcome {
    /// The updates to forward to the replicas that get their data from this one.
    pub updates: Vec<Update>,
    /// The requests to send now, for data that is missing here.
    pub requests: Vec<SyncRequest>,
}

/// The reason for ignoring an update. The endpoints stay unchanged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum ApplyError {
    /// The update comes from an earlier leader than the newest known one.
    #[error("update has term {term}, but the newest known term is {newest}")]
    StaleTerm {
        /// The term of the update.
        term: LeaderTerm,
        /// The newest term known to the replica.
        newest: LeaderTerm,
    },
    /// The shard already has the version of the update or a later one, or the update confirms a span whose shards here
    /// have changed since the request.
    #[error("the shard already has the version of the update or a later one")]
    NotNewer,
    /// The update has the version of the shard but other endpoints: two sources assigned versions under the same term. Only
    /// a later term resolves the conflict.
    #[error("update has the version of the shard but different endpoints")]
    ConflictingVersion,
    /// The replica is not subscribed to the shard of the update.
    #[error("not subscribed to the shard of the update")]
    NotSubscribed,
    /// The endpoints of the update do not match its digest, are unordered or invalid, or belong to another shard.
    #[error("endpoints of the update are invalid or do not match its shard or digest")]
    InvalidContent,
    /// The shard or the whole replica would exceed its size limit. The shard keeps its previous endpoints.
    #[error("update exceeds the size limits of the replica")]
    CapacityExceeded,
    /// The update has digests of empty parts, of parts beyond the last shard, or of too many parts.
    #[error("update names an invalid span of shards")]
    InvalidSpan,
}

/// A copy of the shards to which the process is subscribed.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ShardMapReplica {
    shard_count: ShardCount,
    limits: Limits,
    newest_term: LeaderTerm,
    shards: ShardReplicas,
    /// Subscribed shards that are known to have missed updates.
    stale: BTreeSet<ShardId>,
    size_bytes: usize,
}

impl ShardMapReplica {
    /// Creates a replica that is not subscribed to any shard yet.
    #[must_use]
    pub fn new(shard_count: ShardCount, limits: Limits) -> Self {
        Self {
            shard_count,
            limits,
            newest_term: LeaderTerm::default(),
            shards: ShardReplicas::new(),
            stale: BTreeSet::new(),
            size_bytes: 0,
        }
    }

    /// Replaces the subscriptions with these shards, and drops the data of all others.
    ///
    /// A sender subscribes to the shards that it serves or has messages for; a session proxy subscribes to all shards.
    pub fn subscribe(&mut self, shards: impl IntoIterator<Item = ShardId>) {
        let subscribed: BTreeSet<ShardId> = shards
            .into_iter()
            .filter(|id| self.shard_count.contains(*id))
            .collect();
        self.shards.retain(|id, _| subscribed.contains(id));
        self.stale.retain(|id| subscribed.contains(id));
        for id in subscribed {
            self.shards.entry(id).or_default();
        }
        self.size_bytes = self.shards.values().map(ShardReplica::size_bytes).sum();
    }

    /// The requests that detect missed updates, including a missed update after which no other follows.
    ///
    /// The caller sends them periodically and on each new connection. A replica of all shards compares the sum of all
    /// digests in one request. A replica compares each shard instead if it has only some shards, if there are at most
    /// [`limits::SPAN_PARTS`] shards, or if it knows no leader's term yet.
    #[must_use]
    pub fn sync_requests(&self) -> Vec<SyncRequest> {
        let span = self.shard_count.full_span();
        let has_all = self.shards.len() as u32 == span.count;
        let sum = sync::digest_of_span(&self.shards, self.shard_count, self.newest_term, span);
        if has_all && limits::SPAN_PARTS < span.count && self.newest_term > LeaderTerm::default() {
            // the sum is `None` if a shard is not confirmed under the newest term. The default digest is then sent: in
            // practice it differs from every sum, so that the response has the digests of the parts
            return vec![self.span_request(span, sum.unwrap_or_default())];
        }
        self.shard_requests(self.shards.keys().copied())
    }

    fn span_request(&self, span: Span, digest: Digest) -> SyncRequest {
        SyncRequest::Span {
            shard_count: self.shard_count,
            first: span.first,
            count: span.count,
            digest,
        }
    }

    fn shard_requests(&self, shards: impl Iterator<Item = ShardId>) -> Vec<SyncRequest> {
        let versions: Vec<ShardVersion> = shards
            .filter_map(|id| Some(sync::shard_version(id, self.shards.get(&id)?)))
            .collect();
        versions
            .chunks(limits::MAX_REQUEST_SHARDS)
            .map(|part| SyncRequest::Shards {
                shard_count: self.shard_count,
                versions: part.to_vec(),
            })
            .collect()
    }

    /// Applies an update. A change that leaves a gap is not applied, and marks the shard as stale; the outcome then has
    /// a request for the shard, unless the shard was stale already.
    ///
    /// # Errors
    /// [`ApplyError`] with the reason for ignoring the update; the endpoints stay unchanged.
    pub fn apply(&mut self, update: Update) -> Result<ApplyOutcome, ApplyError> {
        let term = update.term();
        if term < self.newest_term {
            return Err(ApplyError::StaleTerm {
                term,
                newest: self.newest_term,
            });
        }
        self.newest_term = term;
        match update {
            Update::Change(change) => self.apply_change(change),
            Update::Version(version) => self.apply_version(version),
            Update::Snapshot { version, endpoints } => self.apply_snapshot(version, endpoints),
            Update::SpanMatches {
                first,
                count,
                digest,
                ..
            } => self.confirm_span(Span { first, count }, digest),
            Update::SpanDigests {
                first,
                part_length,
                digests,
                ..
            } => self.compare_parts(first, part_length, &digests),
        }
    }

    fn apply_change(&mut self, change: VersionedChange) -> Result<ApplyOutcome, ApplyError> {
        let id = change.shard;
        let shard = self.shards.get_mut(&id).ok_or(ApplyError::NotSubscribed)?;
        if change.version <= shard.version() {
            return Err(ApplyError::NotNewer);
        }
        let is_of_shard = self.shard_count.shard_of(change.change.destination) == id;
        if !is_of_shard || change.change.validate().is_err() {
            return Err(ApplyError::InvalidContent);
        }
        let (limits, others_bytes) = (self.limits, self.size_bytes - shard.size_bytes());
        let fits = |shard_bytes| {
            shard_bytes <= limits.shard_bytes && others_bytes + shard_bytes <= limits.total_bytes
        };
        match shard.apply(&change, &limits, fits) {
            ApplyStatus::Applied => {}
            ApplyStatus::Gap => return Ok(self.mark_stale(id)),
            ApplyStatus::CapacityExceeded => {
                self.stale.insert(id);
                return Err(ApplyError::CapacityExceeded);
            }
        }
        self.size_bytes = others_bytes + shard.size_bytes();
        self.stale.remove(&id);
        Ok(ApplyOutcome {
            updates: vec![Update::Change(change)],
            requests: Vec::new(),
        })
    }

    /// Marks a shard as having missed an update. The outcome requests the shard unless it was stale already; then the
    /// periodic requests of [`ShardMapReplica::sync_requests`] detect the missed update.
    fn mark_stale(&mut self, id: ShardId) -> ApplyOutcome {
        let requests = if self.stale.insert(id) {
            self.shard_requests([id].into_iter())
        } else {
            Vec::new()
        };
        ApplyOutcome {
            updates: Vec::new(),
            requests,
        }
    }

    fn apply_version(&mut self, version: ShardVersion) -> Result<ApplyOutcome, ApplyError> {
        let shard = self
            .shards
            .get_mut(&version.shard)
            .ok_or(ApplyError::NotSubscribed)?;
        check_newer(&version, shard)?;
        if version.digest != shard.digest() {
            return Ok(self.mark_stale(version.shard));
        }
        shard.set_version(version.version);
        self.stale.remove(&version.shard);
        Ok(ApplyOutcome {
            updates: vec![Update::Version(version)],
            requests: Vec::new(),
        })
    }

    fn apply_snapshot(
        &mut self,
        version: ShardVersion,
        endpoints: Vec<Endpoint>,
    ) -> Result<ApplyOutcome, ApplyError> {
        let id = version.shard;
        let before = self.shards.get(&id).ok_or(ApplyError::NotSubscribed)?;
        check_newer(&version, before)?;
        let is_valid = endpoints.iter().all(|endpoint| {
            self.shard_count.shard_of(endpoint.destination) == id && endpoint.validate().is_ok()
        });
        let shard = ShardReplica::new(version.version, endpoints)
            .filter(|shard| is_valid && shard.digest() == version.digest)
            .ok_or(ApplyError::InvalidContent)?;
        let size_bytes = self.size_bytes - before.size_bytes() + shard.size_bytes();
        if shard.size_bytes() > self.limits.shard_bytes || size_bytes > self.limits.total_bytes {
            return Err(ApplyError::CapacityExceeded);
        }
        self.shards.insert(id, shard);
        self.size_bytes = size_bytes;
        self.stale.remove(&id);
        Ok(ApplyOutcome {
            updates: vec![Update::Version(version)],
            requests: Vec::new(),
        })
    }

    /// The updates with which this replica responds to another replica's request, for example a session proxy's replica
    /// to that of a sender.
    ///
    /// Shards that are not yet confirmed under the newest term are left out.
    ///
    /// # Errors
    /// [`SyncError`] if the request is invalid.
    pub fn respond(&self, request: &SyncRequest) -> Result<Vec<Update>, SyncError> {
        sync::respond(&self.shards, self.shard_count, self.newest_term, request)
    }

    /// The state of a shard; `None` if the replica is not subscribed to it.
    #[must_use]
    pub fn shard(&self, id: ShardId) -> Option<&ShardReplica> {
        self.shards.get(&id)
    }

    /// The endpoints of a destination; `None` if the replica is not subscribed to its shard.
    #[must_use]
    pub fn endpoints(&self, destination: u64) -> Option<&[Endpoint]> {
        let shard = self.shards.get(&self.shard_count.shard_of(destination))?;
        Some(shard.endpoints_of(destination))
    }

    /// The number of all shards, subscribed or not.
    #[must_use]
    pub fn shard_count(&self) -> ShardCount {
        self.shard_count
    }

    /// The subscribed shards, in ascending order.
    pub fn subscribed(&self) -> impl Iterator<Item = ShardId> {
        self.shards.keys().copied()
    }

    /// The number of subscribed shards that are known to have missed updates.
    #[must_use]
    pub fn stale_count(&self) -> usize {
        self.stale.len()
    }

    /// The newest leader's term known to the replica.
    #[must_use]
    pub fn term(&self) -> LeaderTerm {
        self.newest_term
    }

    /// The size of all stored endpoints in bytes, as computed by [`Endpoint::size_bytes`].
    #[must_use]
    pub fn size_bytes(&self) -> usize {
        self.size_bytes
    }
}

/// Checks that a version is later than the shard's own.
fn check_newer(version: &ShardVersion, shard: &ShardReplica) -> Result<(), ApplyError> {
    if version.version == shard.version() && version.digest != shard.digest() {
        return Err(ApplyError::ConflictingVersion);
    }
    if version.version <= shard.version() {
        return Err(ApplyError::NotNewer);
    }
    Ok(())
}
