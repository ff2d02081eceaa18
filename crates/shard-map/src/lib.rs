//! The sharded endpoint list: which sender serves which destination, and how the list is replicated.
//!
//! - [`shard`]: hashing of destinations into a fixed number of shards.
//! - [`digest`]: additive 128-bit digests for anti-entropy.
//! - [`endpoint`]: one endpoint of the list.
//! - [`change`]: atomic changes to the endpoints of one destination, and the reasons for rejecting one.
//! - [`version`]: versions of a shard, and changes with the version that each leads to.
//! - [`shard_replica`]: the state of one shard: endpoints, version and recent changes.
//! - [`source`]: the authoritative copy; validates changes and assigns versions under a leader's term.
//! - [`replica`]: a copy of some shards at a session proxy or a sender; applies changes in order, detects gaps and
//!   catches up.
//! - [`sync`]: the requests of a replica that catches up, and the updates in the response.
//! - [`membership`]: the versioned set of senders.
//! - [`assignment`]: the senders that serve each shard, computed from a membership alone.
//!
//! The crate consists of state machines that do no I/O and read no clock. `docs/design/shard-map.md` explains the design.

pub mod assignment;
pub mod change;
pub mod digest;
pub mod endpoint;
pub mod limits;
pub mod membership;
pub mod replica;
pub mod shard;
pub mod shard_replica;
pub mod source;
pub mod sync;
pub mod version;

pub use assignment::Assignment;
pub use change::{Change, ChangeError, Operation};
pub use digest::Digest;
pub use endpoint::Endpoint;
pub use limits::Limits;
pub use membership::{Member, Membership};
pub use replica::ShardMapReplica;
pub use shard::{ShardCount, ShardId};
pub use shard_replica::ShardReplica;
pub use source::ShardMapSource;
pub use sync::{SyncRequest, Update};
pub use version::{LeaderTerm, ShardVersion, Version, VersionedChange};
