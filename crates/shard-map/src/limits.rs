//! Limits on stored and transmitted data, with the reason for each.

/// Maximum length of the name of an endpoint, a zone or a kind, in bytes; the same as in the coordination service.
pub const MAX_NAME_BYTES: usize = 128;

/// Maximum number of operations in one change. A change concerns one destination, which normally has only a few
/// endpoints.
pub const MAX_CHANGE_OPERATIONS: usize = 64;

/// Maximum number of changes that a shard keeps for replicas that catch up.
///
/// A replica that missed more changes gets a snapshot of the shard, whose size is bounded by [`Limits::shard_bytes`]. At
/// 0.56 changes a second over 65,536 shards, eight changes of one shard cover eleven days. Eight changes of 200 bytes
/// take 1.6 KB, less than the endpoints of the 26 destinations that a shard has on average.
pub const MAX_HISTORY: usize = 8;

/// Maximum number of shards in one request. Each takes at most 131 bytes of JSON, so a request has at most 68 KB.
pub const MAX_REQUEST_SHARDS: usize = 512;

/// Target size of the endpoints in one response, in bytes as computed by
/// [`Endpoint::size_bytes`](crate::Endpoint::size_bytes). No shard is added to a response that has reached this size.
///
/// Shards that are left out get no update, and the replica requests them again when it next synchronizes. The response
/// to a request for 512 shards of the planned size has 3 MB; without this limit, one for 512 shards of the maximum size
/// would have 52 MB.
pub const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// Number of parts into which a span of shards is divided to find those that differ. With 16 parts, three responses of
/// 16 digests each narrow 65,536 shards down to 16, which one more request then compares shard by shard.
pub const SPAN_PARTS: u32 = 16;

/// Maximum number of members in a membership, equal to the maximum number of sessions of the coordination service.
pub const MAX_MEMBERS: usize = 32_768;

/// Maximum weight of a member; computing a member's score takes one hash for each unit of weight.
pub const MAX_MEMBER_WEIGHT: u8 = 16;

/// Maximum number of senders that serve one shard.
pub const MAX_REPLICATION_FACTOR: usize = 8;

/// Limits on the data that one replica or source stores.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Limits {
    /// Maximum size of the endpoints of one shard, in bytes as computed by
    /// [`Endpoint::size_bytes`](crate::Endpoint::size_bytes).
    pub shard_bytes: usize,
    /// Maximum size of all endpoints together, in bytes.
    pub total_bytes: usize,
    /// Number of changes kept for each shard; 0 at a sender, since no replica catches up from a sender.
    pub history: usize,
}

impl Limits {
    /// Limits with which the snapshot of a shard can be sent within `seconds` over a link of `bytes_per_second`.
    ///
    /// `history` is capped at [`MAX_HISTORY`].
    #[must_use]
    pub fn new(
        bytes_per_second: usize,
        seconds: usize,
        total_bytes: usize,
        history: usize,
    ) -> Self {
        Self {
            shard_bytes: bytes_per_second.saturating_mul(seconds),
            total_bytes,
            history: history.min(MAX_HISTORY),
        }
    }
}
