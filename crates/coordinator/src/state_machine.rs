//! The replicated state machine: applies committed log entries to the coordination state.

use crate::raft_log::{read_error, run_blocking, write_error};
use crate::storage::{RaftStorage, RaftStorageError, StoredSnapshot};
use crate::{RaftTypes, ReplicaId};
use milletturn_coordination::{CommandOutcome, CoordinationState, LeaderTerm};
use openraft::storage::RaftStateMachine;
use openraft::{BasicNode, Entry, EntryPayload, LogId, OptionalSend, RaftSnapshotBuilder};
use openraft::{Snapshot, SnapshotMeta, StorageError, StoredMembership};
use std::io::Cursor;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The coordination state of a replica and the position of the last applied log entry. Clones share the same state.
#[derive(Debug, Clone)]
pub struct StateMachine {
    storage: RaftStorage,
    applied: Arc<Mutex<AppliedState>>,
}

/// The coordination state and the membership after the last applied entry.
#[derive(Debug, Default)]
struct AppliedState {
    state: CoordinationState,
    last_applied: Option<LogId<ReplicaId>>,
    membership: StoredMembership<ReplicaId, BasicNode>,
}

impl StateMachine {
    /// Loads the stored snapshot, or the group's initial state if there is none. Raft then applies the later log
    /// entries.
    ///
    /// # Errors
    /// If the snapshot can't be read.
    pub fn open(storage: RaftStorage) -> Result<Self, RaftStorageError> {
        let applied = match storage.snapshot()? {
            Some(StoredSnapshot { meta, state_json }) => AppliedState {
                state: serde_json::from_str(&state_json)?,
                last_applied: meta.last_log_id,
                membership: meta.last_membership,
            },
            None => AppliedState {
                state: storage.initial_state()?,
                ..AppliedState::default()
            },
        };
        Ok(Self {
            storage,
            applied: Arc::new(Mutex::new(applied)),
        })
    }

    /// Reads the state of this replica, which may be behind the leader's.
    pub fn read<T>(&self, read: impl FnOnce(&CoordinationState) -> T) -> T {
        read(&self.lock().state)
    }

    fn lock(&self) -> MutexGuard<'_, AppliedState> {
        // a poisoned lock is used anyway: no code is expected to panic while it holds the lock, and a restart would
        // rebuild the state from the snapshot and the log
        self.applied.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl RaftSnapshotBuilder<RaftTypes> for StateMachine {
    async fn build_snapshot(&mut self) -> Result<Snapshot<RaftTypes>, StorageError<ReplicaId>> {
        let stored = {
            let applied = self.lock();
            let index = applied.last_applied.map_or(0, |log_id| log_id.index);
            let term = applied
                .last_applied
                .map_or(0, |log_id| log_id.leader_id.term);
            StoredSnapshot {
                meta: SnapshotMeta {
                    last_log_id: applied.last_applied,
                    last_membership: applied.membership.clone(),
                    snapshot_id: format!("{term}-{index}"),
                },
                state_json: serde_json::to_string(&applied.state)
                    .map_err(|error| write_error(&error.into()))?,
            }
        };
        let snapshot = to_raft_snapshot(&stored);
        run_blocking(&self.storage, move |storage| storage.save_snapshot(&stored)).await?;
        Ok(snapshot)
    }
}

fn to_raft_snapshot(stored: &StoredSnapshot) -> Snapshot<RaftTypes> {
    Snapshot {
        meta: stored.meta.clone(),
        snapshot: Box::new(Cursor::new(stored.state_json.clone().into_bytes())),
    }
}

impl RaftStateMachine<RaftTypes> for StateMachine {
    type SnapshotBuilder = Self;

    async fn applied_state(
        &mut self,
    ) -> Result<
        (
            Option<LogId<ReplicaId>>,
            StoredMembership<ReplicaId, BasicNode>,
        ),
        StorageError<ReplicaId>,
    > {
        let applied = self.lock();
        Ok((applied.last_applied, applied.membership.clone()))
    }

    async fn apply<I>(&mut self, entries: I) -> Result<Vec<CommandOutcome>, StorageError<ReplicaId>>
    where
        I: IntoIterator<Item = Entry<RaftTypes>> + OptionalSend,
        I::IntoIter: OptionalSend,
    {
        let mut applied = self.lock();
        let mut outcomes = Vec::new();
        for entry in entries {
            applied.last_applied = Some(entry.log_id);
            outcomes.push(match entry.payload {
                EntryPayload::Blank => CommandOutcome::Done,
                EntryPayload::Normal(command) => {
                    let leader_term = LeaderTerm(entry.log_id.leader_id.term);
                    applied.state.apply(command, leader_term)
                }
                EntryPayload::Membership(membership) => {
                    applied.membership = StoredMembership::new(Some(entry.log_id), membership);
                    CommandOutcome::Done
                }
            });
        }
        Ok(outcomes)
    }

    async fn get_snapshot_builder(&mut self) -> Self {
        self.clone()
    }

    async fn begin_receiving_snapshot(
        &mut self,
    ) -> Result<Box<Cursor<Vec<u8>>>, StorageError<ReplicaId>> {
        Ok(Box::new(Cursor::new(Vec::new())))
    }

    async fn install_snapshot(
        &mut self,
        meta: &SnapshotMeta<ReplicaId, BasicNode>,
        snapshot: Box<Cursor<Vec<u8>>>,
    ) -> Result<(), StorageError<ReplicaId>> {
        let not_text = |error: std::string::FromUtf8Error| {
            let error =
                serde::de::Error::custom(format!("received snapshot is not UTF-8: {error}"));
            write_error(&RaftStorageError::Format(error))
        };
        let state_json = String::from_utf8(snapshot.into_inner()).map_err(not_text)?;
        let state: CoordinationState =
            serde_json::from_str(&state_json).map_err(|error| write_error(&error.into()))?;
        let stored = StoredSnapshot {
            meta: meta.clone(),
            state_json,
        };
        run_blocking(&self.storage, move |storage| storage.save_snapshot(&stored)).await?;
        *self.lock() = AppliedState {
            state,
            last_applied: meta.last_log_id,
            membership: meta.last_membership.clone(),
        };
        Ok(())
    }

    async fn get_current_snapshot(
        &mut self,
    ) -> Result<Option<Snapshot<RaftTypes>>, StorageError<ReplicaId>> {
        let stored = self
            .storage
            .snapshot()
            .map_err(|error| read_error(&error))?;
        Ok(stored.as_ref().map(to_raft_snapshot))
    }
}
