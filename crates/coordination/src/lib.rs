//! The replicated state machine of the coordination service, and the lease logic of the leader and of lease holders.
//!
//! - [`state`]: the replicated state: sessions, resources and fencing tokens. It applies commands and returns outcomes,
//!   and never reads a clock.
//! - [`command`]: the commands of the replicated log, their outcomes, and the reasons for a rejection.
//! - [`lease_table`]: the leader's record of when each session's lease expires. Only the leading coordinator keeps one.
//! - [`lease_holder`]: the member's own view of its lease and of the time until which it may write.
//! - [`fencing`]: the check at the receiver of a write, which rejects tokens lower than the highest one seen.
//! - [`heartbeat_batcher`]: how a session proxy batches heartbeats and returns each response to the right caller.
//! - [`command_batcher`]: how a session proxy batches commands into one entry of the log.
//! - [`batching`]: code that the two batchers share.
//! - [`ids`], [`time`], [`bounds`]: typed identifiers, timestamps and durations, and upper bounds.
//!
//! This crate does no I/O and reads no clock. `crates/coordinator`, `crates/session-proxy` and `crates/member` do the
//! I/O and pass timestamps in. `docs/design/coordination.md` explains the design.

pub mod batching;
pub mod bounds;
pub mod command;
pub mod command_batcher;
pub mod fencing;
pub mod heartbeat_batcher;
pub mod ids;
pub mod lease_holder;
pub mod lease_table;
pub mod state;
pub mod time;

pub use command::{Command, CommandOutcome, MemberInfo, Rejection};
pub use command_batcher::CommandBatcher;
pub use fencing::FencingGuard;
pub use heartbeat_batcher::HeartbeatBatcher;
pub use ids::{FencingToken, LeaderTerm, PRE_RESTORE_SESSION, SessionId, WaiterId};
pub use lease_holder::{LeaseHolder, Permission};
pub use lease_table::{Heartbeat, LeaseTable};
pub use state::CoordinationState;
pub use time::{LeaseTiming, Micros, Timestamp};
