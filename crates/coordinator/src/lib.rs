//! One replica of the coordination service. A group of 1, 3, 5 or 7 coordinators replicates the state by consensus.
//!
//! The consensus algorithm is Raft (D. Ongaro, J. Ousterhout: In Search of an Understandable Consensus Algorithm,
//! 2014), implemented by the crate `openraft`. The coordination state and the rules of leases are in
//! `milletturn-coordination`.
//!
//! - [`settings`]: the settings file of a coordinator.
//! - [`storage`]: the persistent data, synced to disk before a write is acknowledged.
//! - [`raft_log`] and [`state_machine`]: the Raft log, and the state that results from its entries.
//! - [`peers`]: calls to the other replicas.
//! - [`leadership`]: the leader's work: serving heartbeats and expiring leases.
//! - [`request_handler`]: handles requests of members, session proxies, operators and other replicas.
//! - [`service`]: bootstraps, starts and runs a coordinator.

pub mod leadership;
pub mod peers;
pub mod raft_log;
pub mod request_handler;
pub mod service;
pub mod settings;
pub mod state_machine;
pub mod storage;

use milletturn_coordination::{Command, CommandOutcome};
use std::io::Cursor;

openraft::declare_raft_types!(
    /// The types for `openraft`: log entries are commands for the coordination state, responses are the outcomes of the
    /// commands, and replicas are identified by number.
    pub RaftTypes:
        D = Command,
        R = CommandOutcome,
);

/// The Raft instance that a replica runs.
pub type Raft = openraft::Raft<RaftTypes>;
/// The number of a replica, unique in its group.
pub type ReplicaId = u64;
