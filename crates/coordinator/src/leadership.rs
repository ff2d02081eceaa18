//! The work of the group's leader: serving heartbeats and expiring leases.
//!
//! A replica knows for certain that it leads only after a quorum has confirmed its leadership, as in Raft's
//! linearizable reads. Every operation that depends on the leadership waits for this confirmation before it responds.
//!
//! - `heartbeats`: serves one heartbeat or a batch with a single request to a quorum.
//! - `lease_expiry`: ends sessions whose lease has expired.

mod heartbeats;
mod lease_expiry;

use crate::state_machine::StateMachine;
use crate::{Raft, ReplicaId};
use milletturn_coordination::state::LeasesVersion;
use milletturn_coordination::{
    Command, CommandOutcome, CoordinationState, LeaderTerm, LeaseTable, Micros, SessionId,
};
use milletturn_coordination_protocol::clock::now;
use milletturn_logging::log;
use openraft::error::ForwardToLeader;
use openraft::{BasicNode, ServerState};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{MissedTickBehavior, interval, timeout};

/// Longest wait for a quorum. A caller that gets no confirmation in this time tries another replica.
pub const QUORUM_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval between two checks for expired leases; a lease may end late by up to this interval.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Does the leader's work on this replica: tracks Raft elections and, while the replica leads, serves heartbeats and
/// expires leases.
pub struct Leadership {
    /// The Raft instance of this replica.
    pub raft: Raft,
    /// The coordination state as applied on this replica.
    pub state_machine: StateMachine,
    lease_table: RefCell<LeaseTable>,
    /// Version of the set of leases with which the lease table was last synchronized.
    tracked_version: Cell<LeasesVersion>,
}

/// Why this replica can't do the leader's work. The messages are sent in the protocol's error bodies and must not
/// change.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum LeadershipError {
    /// Another replica leads, or none does.
    #[error("another steward leads, or none does yet; ask that one")]
    NotLeader {
        /// The leader, if this replica knows it.
        leader: Option<ReplicaId>,
    },
    /// No quorum answered within [`QUORUM_TIMEOUT`].
    #[error("no majority of the stewards answers this one; ask another")]
    NoQuorum,
}

impl LeadershipError {
    /// Converts the `ForwardToLeader` part of an `openraft` error; `None` means that no quorum answered.
    fn from_forward(forward: Option<&ForwardToLeader<ReplicaId, BasicNode>>) -> Self {
        forward.map_or(Self::NoQuorum, |forward| Self::NotLeader {
            leader: forward.leader_id,
        })
    }
}

/// All leases of a state: those of open sessions, and one that stands for all leases from before a restore until it
/// has expired.
fn collect_leases(state: &CoordinationState) -> Vec<(SessionId, Micros)> {
    state.leases().collect()
}

impl Leadership {
    /// Creates the leadership of a replica that does not lead yet.
    #[must_use]
    pub fn new(raft: Raft, state_machine: StateMachine) -> Rc<Self> {
        Rc::new(Self {
            raft,
            state_machine,
            lease_table: RefCell::default(),
            tracked_version: Cell::default(),
        })
    }

    /// Tracks Raft elections until Raft stops: assumes the leadership when this replica is elected, steps down when it
    /// no longer leads, and expires leases while it leads.
    pub async fn run(self: Rc<Self>) {
        let mut ticks = interval(LEASE_CHECK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut metrics = self.raft.metrics();
        loop {
            tokio::select! {
                _ = ticks.tick() => {}
                changed = metrics.changed() => if changed.is_err() { return },
            }
            let local_term = self.local_leader_term();
            let tracked_term = self.lease_table.borrow().leader_term();
            match local_term {
                None if tracked_term.is_some() => self.lease_table.borrow_mut().step_down(),
                None => {}
                Some(term) if tracked_term != Some(term) => self.assume_leadership(term).await,
                Some(_) => self.expire_leases().await,
            }
        }
    }

    /// The term in which this replica leads according to its own Raft state, which may be out of date. `None` if it
    /// does not lead.
    fn local_leader_term(&self) -> Option<LeaderTerm> {
        let metrics = self.raft.metrics().borrow().clone();
        (metrics.state == ServerState::Leader).then_some(LeaderTerm(metrics.current_term))
    }

    /// The error for callers, naming the leader if this replica knows one.
    fn not_leader(&self) -> LeadershipError {
        LeadershipError::NotLeader {
            leader: self.raft.metrics().borrow().current_leader,
        }
    }

    /// Confirms with a quorum that this replica leads, and waits until its state contains every entry that was
    /// committed before the call (a linearizable read).
    ///
    /// # Errors
    /// [`LeadershipError::NotLeader`] if this replica does not lead, and [`LeadershipError::NoQuorum`] if no quorum
    /// confirms the leadership within [`QUORUM_TIMEOUT`].
    pub async fn confirm_leadership(&self) -> Result<(), LeadershipError> {
        if self.local_leader_term().is_none() {
            return Err(self.not_leader());
        }
        match timeout(QUORUM_TIMEOUT, self.raft.ensure_linearizable()).await {
            Ok(Ok(_)) => Ok(()),
            Ok(Err(error)) => Err(LeadershipError::from_forward(error.forward_to_leader())),
            Err(_) => Err(LeadershipError::NoQuorum),
        }
    }

    /// Writes a command to the log, and waits until the command is committed and applied.
    ///
    /// # Errors
    /// If the command was not committed, or if it is unknown whether it was: after [`LeadershipError::NoQuorum`] the
    /// command may still be committed later.
    pub async fn write(&self, command: Command) -> Result<CommandOutcome, LeadershipError> {
        match timeout(QUORUM_TIMEOUT, self.raft.client_write(command)).await {
            Ok(Ok(response)) => Ok(response.data),
            Ok(Err(error)) => Err(LeadershipError::from_forward(error.forward_to_leader())),
            Err(_) => Err(LeadershipError::NoQuorum),
        }
    }

    /// Restarts all leases at their full length once a quorum has confirmed the term, since the last heartbeats that an
    /// earlier leader confirmed are unknown.
    async fn assume_leadership(&self, term: LeaderTerm) {
        self.lease_table.borrow_mut().step_down();
        if self.confirm_leadership().await.is_ok() && self.local_leader_term() == Some(term) {
            let leases = self.state_machine.read(collect_leases);
            log(format_args!(
                "coordinator: elected leader, leader term {term}; {} leases restarted",
                leases.len()
            ));
            // the default version makes `track_sessions` read again, which finds sessions opened since the read above
            self.tracked_version.set(LeasesVersion::default());
            self.lease_table
                .borrow_mut()
                .become_leader(term, now(), leases);
        }
    }

    /// Synchronizes the lease table with the open sessions if their set has changed: adds new ones, removes ended ones.
    fn track_sessions(&self) {
        let changed = self.state_machine.read(|state| {
            let version = state.leases_version();
            (self.tracked_version.replace(version) != version).then(|| collect_leases(state))
        });
        if let Some(leases) = changed {
            self.lease_table.borrow_mut().track(now(), leases);
        }
    }
}
