//! Anti-entropy over spans of shards: compares sums of digests to find the shards that differ.

use super::{ApplyError, ApplyOutcome, ShardMapReplica};
use crate::digest::Digest;
use crate::limits;
use crate::shard::{ShardId, Span};
use crate::sync::{self, Update};
use crate::version::Version;

impl ShardMapReplica {
    /// Confirms the shards of a span under the newest term, since a peer has the same sum of digests.
    ///
    /// The confirmed sum must match the current digests; the shards may have changed since the request.
    pub(super) fn confirm_span(
        &mut self,
        span: Span,
        confirmed: Digest,
    ) -> Result<ApplyOutcome, ApplyError> {
        let mut sum = Digest::default();
        for id in self.shard_count.shards_in(span) {
            let shard = self.shards.get(&id).ok_or(ApplyError::NotSubscribed)?;
            sum = sum.with(shard.versioned_digest(id));
        }
        if sum != confirmed {
            return Err(ApplyError::NotNewer);
        }
        let mut updates = Vec::new();
        for id in self.shard_count.shards_in(span) {
            self.stale.remove(&id);
            if let Some(shard) = self.shards.get_mut(&id)
                && shard.version().term < self.newest_term
            {
                shard.set_version(Version {
                    term: self.newest_term,
                    ..shard.version()
                });
                updates.push(Update::Version(sync::shard_version(id, shard)));
            }
        }
        Ok(ApplyOutcome {
            updates,
            requests: Vec::new(),
        })
    }

    /// Requests the parts of a span that differ or are unconfirmed. A differing part of at most [`limits::SPAN_PARTS`] shards
    /// is requested shard by shard, any other part by the sum of its digests.
    pub(super) fn compare_parts(
        &mut self,
        first: u32,
        part_length: u32,
        remote_digests: &[Digest],
    ) -> Result<ApplyOutcome, ApplyError> {
        let is_valid = part_length > 0
            && remote_digests.len() <= limits::SPAN_PARTS as usize
            && first < self.shard_count.count();
        if !is_valid {
            return Err(ApplyError::InvalidSpan);
        }
        let mut requests = Vec::new();
        let mut differing: Vec<ShardId> = Vec::new();
        for (index, remote) in remote_digests.iter().enumerate() {
            let part_first = first.saturating_add(part_length.saturating_mul(index as u32));
            let part = Span {
                first: part_first,
                count: part_length.min(self.shard_count.count().saturating_sub(part_first)),
            };
            if part.count == 0 {
                return Err(ApplyError::InvalidSpan);
            }
            let (local, is_confirmed) = self.part_digest(part)?;
            if local == *remote && is_confirmed {
                continue;
            }
            if part.count <= limits::SPAN_PARTS && local != *remote {
                differing.extend(self.shard_count.shards_in(part));
            } else {
                requests.push(self.span_request(part, local));
            }
        }
        requests.extend(self.shard_requests(differing.into_iter()));
        Ok(ApplyOutcome {
            updates: Vec::new(),
            requests,
        })
    }

    /// The sum of the versioned digests of a part, and whether all of its shards are confirmed under the newest term.
    fn part_digest(&self, part: Span) -> Result<(Digest, bool), ApplyError> {
        let (mut sum, mut is_confirmed) = (Digest::default(), true);
        for id in self.shard_count.shards_in(part) {
            let shard = self.shards.get(&id).ok_or(ApplyError::NotSubscribed)?;
            sum = sum.with(shard.versioned_digest(id));
            is_confirmed &= shard.version().term == self.newest_term;
        }
        Ok((sum, is_confirmed))
    }
}
