//! Implements `openraft`'s log storage interface on the coordinator's store.

use crate::storage::{RaftStorage, RaftStorageError};
use crate::{RaftTypes, ReplicaId};
use openraft::storage::{LogFlushed, RaftLogStorage};
use openraft::{
    Entry, LogId, LogState, OptionalSend, RaftLogReader, StorageError, StorageIOError, Vote,
};
use std::fmt::Debug;
use std::ops::RangeBounds;

/// The Raft log and vote of a replica.
#[derive(Debug, Clone)]
pub struct RaftLog {
    /// The store in which the log and the vote are kept.
    pub storage: RaftStorage,
}

pub(crate) fn read_error(error: &RaftStorageError) -> StorageError<ReplicaId> {
    StorageIOError::read(error).into()
}

pub(crate) fn write_error(error: &RaftStorageError) -> StorageError<ReplicaId> {
    StorageIOError::write(error).into()
}

/// Runs a job in tokio's pool of blocking threads, so that its waits for the disk do not delay the other tasks of the
/// runtime.
pub(crate) async fn run_blocking<T: Send + 'static>(
    storage: &RaftStorage,
    job: impl FnOnce(&RaftStorage) -> Result<T, RaftStorageError> + Send + 'static,
) -> Result<T, StorageError<ReplicaId>> {
    let storage = storage.clone();
    match tokio::task::spawn_blocking(move || job(&storage)).await {
        Ok(result) => result.map_err(|error| write_error(&error)),
        Err(error) => Err(StorageIOError::write(&error).into()),
    }
}

impl RaftLogReader<RaftTypes> for RaftLog {
    async fn try_get_log_entries<RB: RangeBounds<u64> + Clone + Debug + OptionalSend>(
        &mut self,
        range: RB,
    ) -> Result<Vec<Entry<RaftTypes>>, StorageError<ReplicaId>> {
        self.storage
            .entries(range)
            .map_err(|error| read_error(&error))
    }
}

impl RaftLogStorage<RaftTypes> for RaftLog {
    type LogReader = Self;

    async fn get_log_state(&mut self) -> Result<LogState<RaftTypes>, StorageError<ReplicaId>> {
        let read = || -> Result<_, RaftStorageError> {
            let last_purged = self.storage.last_purged()?;
            let last = self.storage.last_log_id()?;
            Ok(LogState {
                last_purged_log_id: last_purged,
                last_log_id: last.or(last_purged),
            })
        };
        read().map_err(|error| read_error(&error))
    }

    async fn get_log_reader(&mut self) -> Self {
        self.clone()
    }

    async fn save_vote(&mut self, vote: &Vote<ReplicaId>) -> Result<(), StorageError<ReplicaId>> {
        let vote = *vote;
        run_blocking(&self.storage, move |storage| storage.save_vote(&vote)).await
    }

    async fn read_vote(&mut self) -> Result<Option<Vote<ReplicaId>>, StorageError<ReplicaId>> {
        self.storage.vote().map_err(|error| read_error(&error))
    }

    async fn save_committed(
        &mut self,
        committed: Option<LogId<ReplicaId>>,
    ) -> Result<(), StorageError<ReplicaId>> {
        self.storage
            .save_committed(committed)
            .map_err(|error| write_error(&error))
    }

    async fn read_committed(
        &mut self,
    ) -> Result<Option<LogId<ReplicaId>>, StorageError<ReplicaId>> {
        self.storage.committed().map_err(|error| read_error(&error))
    }

    async fn append<I>(
        &mut self,
        entries: I,
        callback: LogFlushed<RaftTypes>,
    ) -> Result<(), StorageError<ReplicaId>>
    where
        I: IntoIterator<Item = Entry<RaftTypes>> + OptionalSend,
        I::IntoIter: OptionalSend,
    {
        let entries: Vec<_> = entries.into_iter().collect();
        let appended = run_blocking(&self.storage, move |storage| storage.append(&entries)).await;
        let flushed = match &appended {
            Ok(()) => Ok(()),
            Err(error) => Err(std::io::Error::other(error.to_string())),
        };
        callback.log_io_completed(flushed);
        appended
    }

    async fn truncate(&mut self, log_id: LogId<ReplicaId>) -> Result<(), StorageError<ReplicaId>> {
        run_blocking(&self.storage, move |storage| storage.truncate(log_id.index)).await
    }

    async fn purge(&mut self, log_id: LogId<ReplicaId>) -> Result<(), StorageError<ReplicaId>> {
        run_blocking(&self.storage, move |storage| storage.purge(log_id)).await
    }
}
