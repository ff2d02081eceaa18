//! The requests of a replica that catches up, and the updates that it gets from the source or another replica.
//!
//! A request describes the state of the replica, either by one sum of digests for a span of shards, or by the version
//! and digest of each shard. If the sum for a span differs, the response has the digests of the span's parts. For each
//! single shard that differs, the response has the missed changes, a snapshot, or only the version if the endpoints are
//! the same. This is the anti-entropy of Dynamo with sums of digests in place of a Merkle tree.

use crate::change::Operation;
use crate::digest::Digest;
use crate::endpoint::Endpoint;
use crate::limits;
use crate::shard::{ShardCount, ShardId, Span};
use crate::shard_replica::ShardReplica;
use crate::version::{LeaderTerm, ShardVersion, VersionedChange};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A request of a replica for the updates that it lacks.
///
/// The request contains the number of shards, since the meaning of a shard's id depends on that number.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SyncRequest {
    /// Requests the updates of these shards, at most [`limits::MAX_REQUEST_SHARDS`].
    #[serde(rename = "each")]
    Shards {
        /// The number of all shards.
        #[serde(rename = "ranges")]
        shard_count: ShardCount,
        /// The versions of these shards at the requesting replica.
        #[serde(rename = "stands")]
        versions: Vec<ShardVersion>,
    },
    /// Compares a span of shards by the sum of their digests.
    Span {
        /// The number of all shards.
        #[serde(rename = "ranges")]
        shard_count: ShardCount,
        /// The first shard of the span.
        first: u32,
        /// The number of shards in the span.
        count: u32,
        /// The sum of the shards' [versioned digests](ShardReplica::versioned_digest) at the requesting replica.
        digest: Digest,
    },
}

/// A message to a replica: a change as it happens, or part of a response to a [`SyncRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Update {
    /// One change to a shard.
    Change(VersionedChange),
    /// A new version of a shard whose endpoints the replica already has.
    #[serde(rename = "stand")]
    Version(ShardVersion),
    /// A shard with all of its endpoints, which replace those of the replica.
    #[serde(rename = "whole")]
    Snapshot {
        /// The shard, and the version and digest of these endpoints.
        #[serde(rename = "stand")]
        version: ShardVersion,
        /// The shard's endpoints, ordered by destination and name.
        #[serde(rename = "rows")]
        endpoints: Vec<Endpoint>,
    },
    /// The shards of a span are the same on both sides.
    #[serde(rename = "same")]
    SpanMatches {
        /// The newest term known to the responding side. All shards of the span have versions of this term there.
        term: LeaderTerm,
        /// The first shard of the span.
        first: u32,
        /// The number of shards in the span.
        count: u32,
        /// The sum of the shards' versioned digests.
        digest: Digest,
    },
    /// The shards of a span differ; the digests of its parts show where.
    #[serde(rename = "parts")]
    SpanDigests {
        /// The newest term known to the responding side. All shards of the span have versions of this term there.
        term: LeaderTerm,
        /// The first shard of the span.
        first: u32,
        /// The number of shards in each part; the last may have fewer.
        #[serde(rename = "each")]
        part_length: u32,
        /// The sum of the versioned digests of each part, in order.
        digests: Vec<Digest>,
    },
}

impl Update {
    /// The term of the leader whose state the update describes.
    #[must_use]
    pub fn term(&self) -> LeaderTerm {
        match self {
            Update::Change(change) => change.version.term,
            Update::Version(version) | Update::Snapshot { version, .. } => version.version.term,
            Update::SpanMatches { term, .. } | Update::SpanDigests { term, .. } => *term,
        }
    }

    /// The size of the update's endpoints or operations in bytes, as computed by [`Endpoint::size_bytes`] and
    /// [`Operation::size_bytes`]; 0 if it has none.
    fn size_bytes(&self) -> usize {
        match self {
            Update::Change(change) => {
                let operations = &change.change.operations;
                operations.iter().map(Operation::size_bytes).sum()
            }
            Update::Snapshot { endpoints, .. } => endpoints.iter().map(Endpoint::size_bytes).sum(),
            Update::Version(_) | Update::SpanMatches { .. } | Update::SpanDigests { .. } => 0,
        }
    }
}

/// The reason for rejecting a request. The messages are part of the protocol's error responses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum SyncError {
    /// The two sides have different shard counts, so a shard id does not stand for the same destinations on both.
    #[error("there are {local} ranges here and {remote} there")]
    ShardCountMismatch {
        /// The number of shards on this side.
        local: u32,
        /// The number of shards on the requesting side.
        remote: u32,
    },
    /// More than [`limits::MAX_REQUEST_SHARDS`] shards in one request.
    #[error("{0} ranges in one question, and {max} is the most", max = limits::MAX_REQUEST_SHARDS)]
    TooManyShards(usize),
    /// A shard or a span beyond the last shard, or an empty span.
    #[error("a range that does not exist")]
    UnknownShard,
}

/// The stored shards of a source or a replica, by id.
pub(crate) type ShardReplicas = BTreeMap<ShardId, ShardReplica>;

/// The sum of the versioned digests of a span; `None` unless all of its shards are stored with a version of this term.
pub(crate) fn digest_of_span(
    shards: &ShardReplicas,
    shard_count: ShardCount,
    term: LeaderTerm,
    span: Span,
) -> Option<Digest> {
    let mut sum = Digest::default();
    for id in shard_count.shards_in(span) {
        let shard = shards
            .get(&id)
            .filter(|shard| shard.version().term == term)?;
        sum = sum.with(shard.versioned_digest(id));
    }
    Some(sum)
}

/// The version and digest of a shard in the form that is sent.
pub(crate) fn shard_version(id: ShardId, shard: &ShardReplica) -> ShardVersion {
    ShardVersion {
        shard: id,
        version: shard.version(),
        digest: shard.digest(),
    }
}

/// The updates with which a source or replica that stores `shards` responds to a request.
///
/// Shards that are not stored, or not confirmed under `newest_term`, are left out, since another peer may have newer
/// data.
pub(crate) fn respond(
    shards: &ShardReplicas,
    shard_count: ShardCount,
    newest_term: LeaderTerm,
    request: &SyncRequest,
) -> Result<Vec<Update>, SyncError> {
    let (SyncRequest::Shards {
        shard_count: remote,
        ..
    }
    | SyncRequest::Span {
        shard_count: remote,
        ..
    }) = request;
    if *remote != shard_count {
        return Err(SyncError::ShardCountMismatch {
            local: shard_count.count(),
            remote: remote.count(),
        });
    }
    match request {
        SyncRequest::Shards { versions, .. } => {
            if versions.len() > limits::MAX_REQUEST_SHARDS {
                return Err(SyncError::TooManyShards(versions.len()));
            }
            if versions
                .iter()
                .any(|version| !shard_count.contains(version.shard))
            {
                return Err(SyncError::UnknownShard);
            }
            Ok(shard_updates(shards, newest_term, versions))
        }
        SyncRequest::Span {
            first,
            count,
            digest,
            ..
        } => {
            let is_in_bounds = first
                .checked_add(*count)
                .is_some_and(|end| end <= shard_count.count());
            if *count == 0 || !is_in_bounds {
                return Err(SyncError::UnknownShard);
            }
            let span = Span {
                first: *first,
                count: *count,
            };
            let update = span_update(shards, shard_count, newest_term, span, *digest);
            Ok(update.into_iter().collect())
        }
    }
}

/// The updates of these shards. The response ends with the shard that makes it reach [`limits::MAX_RESPONSE_BYTES`].
fn shard_updates(
    shards: &ShardReplicas,
    newest_term: LeaderTerm,
    versions: &[ShardVersion],
) -> Vec<Update> {
    let (mut updates, mut size_bytes) = (Vec::new(), 0);
    for remote in versions {
        if size_bytes >= limits::MAX_RESPONSE_BYTES {
            break;
        }
        let of_shard = updates_of_shard(shards, newest_term, remote);
        size_bytes += of_shard.iter().map(Update::size_bytes).sum::<usize>();
        updates.extend(of_shard);
    }
    updates
}

/// The updates that bring a shard from the remote version to the local one.
fn updates_of_shard(
    shards: &ShardReplicas,
    newest_term: LeaderTerm,
    remote: &ShardVersion,
) -> Vec<Update> {
    let shard = shards
        .get(&remote.shard)
        .filter(|shard| shard.version().term == newest_term);
    let Some(shard) = shard else {
        return Vec::new();
    };
    let local = shard_version(remote.shard, shard);
    // a requesting side that is ahead or equal gets nothing, so that no replica moves to an older version
    if remote.version > local.version || *remote == local {
        return Vec::new();
    }
    if remote.digest == local.digest {
        return vec![Update::Version(local)];
    }
    match shard.changes_since(remote.version.number, remote.digest) {
        Some(changes) => changes.into_iter().map(Update::Change).collect(),
        None => vec![Update::Snapshot {
            version: local,
            endpoints: shard.endpoints().to_vec(),
        }],
    }
}

/// Compares the local sum of a span's digests with the remote one. Returns that the span matches if the sums are equal,
/// and the digests of its parts otherwise; `None` if not all shards of the span are stored under the newest term.
fn span_update(
    shards: &ShardReplicas,
    shard_count: ShardCount,
    newest_term: LeaderTerm,
    span: Span,
    remote: Digest,
) -> Option<Update> {
    let Span { first, count } = span;
    let local = digest_of_span(shards, shard_count, newest_term, span)?;
    if local == remote {
        return Some(Update::SpanMatches {
            term: newest_term,
            first,
            count,
            digest: remote,
        });
    }
    let part_length = count.div_ceil(limits::SPAN_PARTS).max(1);
    let digests = (first..first + count)
        .step_by(part_length as usize)
        .map(|part_first| {
            let part = Span {
                first: part_first,
                count: part_length.min(first + count - part_first),
            };
            digest_of_span(shards, shard_count, newest_term, part)
        })
        .collect::<Option<Vec<Digest>>>()?;
    Some(Update::SpanDigests {
        term: newest_term,
        first,
        part_length,
        digests,
    })
}
