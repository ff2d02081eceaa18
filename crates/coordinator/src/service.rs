//! Bootstraps, starts and runs a coordinator.

use crate::leadership::Leadership;
use crate::peers::PeerNetwork;
use crate::raft_log::RaftLog;
use crate::request_handler::{MAX_CONNECTIONS, RequestHandler};
use crate::settings::Settings;
use crate::state_machine::StateMachine;
use crate::storage::{RaftStorage, RaftStorageError, ReplicaIdentity};
use crate::{Raft, ReplicaId};
use milletturn_coordination::CoordinationState;
use milletturn_coordination::state::RestoreError;
use milletturn_coordination_protocol::messages::{BACKUP_FORMAT, Backup};
use milletturn_coordination_protocol::server::{ConnectionLimit, Server};
use milletturn_logging::log;
use openraft::error::{Fatal, InitializeError, RaftError};
use openraft::{BasicNode, Config, ConfigError, SnapshotPolicy};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use tokio::net::TcpListener;
use tokio::task::JoinSet;

/// Number of log entries from one snapshot to the next. A restart applies at most this many, which takes milliseconds.
const SNAPSHOT_INTERVAL: u64 = 2_000;
/// Number of log entries that are kept although the last snapshot covers them, so that a replica that was down for a
/// short time catches up from the log and needs no snapshot.
const LOG_RETENTION: u64 = 500;
/// Time limit for sending and installing one chunk of a snapshot.
const SNAPSHOT_TIMEOUT_MS: u64 = 5_000;
/// Size of a snapshot chunk. On the wire each byte is a JSON number, which takes up to four characters with its comma.
const SNAPSHOT_CHUNK_BYTES: u64 = 1 << 20;

/// Why a coordinator can't run.
#[derive(Debug, thiserror::Error)]
pub enum CoordinatorError {
    /// The persistent store can't be used.
    #[error(transparent)]
    Storage(#[from] RaftStorageError),
    /// The backup can't be parsed.
    #[error("the backup can't be read, and nothing was restored: {0}")]
    Backup(#[source] serde_json::Error),
    /// The backup belongs to another group, or has an unsupported format.
    #[error("the backup is of group {group:?}, format {format}; nothing was restored")]
    OtherBackup {
        /// The group whose state the backup contains.
        group: String,
        /// The backup's format; only [`BACKUP_FORMAT`] can be restored.
        format: u32,
    },
    /// The generation given for the restore is not valid for this backup.
    #[error(transparent)]
    Generation(#[from] RestoreError),
    /// Listening on the address failed.
    #[error("{address}: {source}")]
    Listen {
        /// The listen address from the settings.
        address: String,
        /// The operating system's error.
        source: std::io::Error,
    },
    /// Raft can't start or has stopped, usually because the disk failed.
    #[error(
        "the consensus has stopped: {0}. What this coordinator had acknowledged is on its disk; start it again"
    )]
    Stopped(#[source] ConsensusError),
}

/// Why Raft has stopped or can't start.
#[derive(Debug, thiserror::Error)]
pub enum ConsensusError {
    /// The timeouts in the Raft configuration contradict each other.
    #[error(transparent)]
    Config(#[from] Box<ConfigError>),
    /// A fatal error of Raft, usually because the disk failed.
    #[error(transparent)]
    Fatal(#[from] Box<Fatal<ReplicaId>>),
    /// The first entry of a new group could not be written.
    #[error(transparent)]
    Initialize(Box<RaftError<ReplicaId, InitializeError<ReplicaId, BasicNode>>>),
    /// The Raft task ended without reporting a fatal error.
    #[error("the Raft task ended without an error")]
    Ended,
}

/// A backup with which a new group starts, in place of an empty state.
#[derive(Debug, Clone, Copy)]
pub struct Restore<'a> {
    /// The bytes of the backup; the same for each founding replica.
    pub backup: &'a [u8],
    /// The number of this restore, at least 1 and higher than that of any earlier restore; the same for each founding
    /// replica.
    pub generation: u64,
}

/// Creates a coordinator's store for a new group, empty or restored from a backup.
///
/// # Errors
/// If the folder already has a store or can't be written, or the backup is not valid for this group.
pub fn bootstrap(
    settings: &Settings,
    restore: Option<Restore<'_>>,
) -> Result<ReplicaIdentity, CoordinatorError> {
    let (initial_state, origin) = match restore {
        None => (CoordinationState::default(), "new".to_string()),
        Some(restore) => restored_state(settings, restore)?,
    };
    let identity = ReplicaIdentity {
        group: settings.group.clone(),
        id: settings.id,
        founding_replicas: settings.replicas.keys().copied().collect(),
        origin,
    };
    RaftStorage::bootstrap(&settings.state_folder, &identity, &initial_state)?;
    Ok(identity)
}

/// The state restored from a backup under a new generation, and the origin that identifies this state.
fn restored_state(
    settings: &Settings,
    Restore { backup, generation }: Restore<'_>,
) -> Result<(CoordinationState, String), CoordinatorError> {
    let digest = crc32fast::hash(backup);
    let backup: Backup = serde_json::from_slice(backup).map_err(CoordinatorError::Backup)?;
    if backup.format != BACKUP_FORMAT || backup.group != settings.group {
        return Err(CoordinatorError::OtherBackup {
            group: backup.group,
            format: backup.format,
        });
    }
    let state = backup
        .state
        .restored(generation, settings.lease_timing.lease)?;
    Ok((state, format!("{generation}-{digest:08x}")))
}

/// Runs a coordinator until Raft stops, usually because the disk failed. Has to run on a `LocalSet`. Dropping the
/// future stops the coordinator and its tasks; no acknowledged write is lost.
///
/// # Errors
/// Why the coordinator can't start, or has stopped.
pub async fn run(settings: Settings) -> Result<(), CoordinatorError> {
    let storage = RaftStorage::open(&settings.state_folder, &settings.group, settings.id)?;
    let identity = storage.identity()?;
    let state_machine = StateMachine::open(storage.clone())?;
    let listen_error = |source| CoordinatorError::Listen {
        address: settings.listen_address.clone(),
        source,
    };
    let listener = TcpListener::bind(&settings.listen_address)
        .await
        .map_err(listen_error)?;
    let raft = start_raft(&settings, &identity, storage, state_machine.clone())
        .await
        .map_err(CoordinatorError::Stopped)?;
    let address = listener.local_addr().map_err(listen_error)?;
    log(format_args!(
        "coordinator {} of {}: listens on {address}",
        settings.id, settings.group
    ));
    let leadership = Leadership::new(raft.clone(), state_machine);
    let handler = RequestHandler {
        settings,
        origin: identity.origin,
        leadership: leadership.clone(),
    };
    let limit = ConnectionLimit::new(MAX_CONNECTIONS);
    let server = Server::new("coordinator", limit, Rc::new(handler));
    let mut tasks = JoinSet::new();
    tasks.spawn_local(leadership.run());
    tasks.spawn_local(server.serve(listener));
    Err(CoordinatorError::Stopped(wait_until_stopped(&raft).await))
}

/// Starts Raft. A founding replica also writes the first log entry, with the group's membership.
async fn start_raft(
    settings: &Settings,
    identity: &ReplicaIdentity,
    storage: RaftStorage,
    state_machine: StateMachine,
) -> Result<Raft, ConsensusError> {
    let config = Arc::new(raft_config(settings).validate().map_err(Box::new)?);
    let peers = PeerNetwork {
        group: settings.group.clone(),
        origin: identity.origin.clone(),
        addresses: settings.replicas.clone(),
    };
    let raft = Raft::new(
        settings.id,
        config,
        peers,
        RaftLog { storage },
        state_machine,
    )
    .await
    .map_err(Box::new)?;
    if !identity.founding_replicas.is_empty() {
        // each founding replica writes the same first entry; `NotAllowed` means that this replica already has a log
        // entry or a vote, as after a restart
        let nodes: BTreeMap<_, _> = identity
            .founding_replicas
            .iter()
            .map(|id| (*id, BasicNode::default()))
            .collect();
        match raft.initialize(nodes).await {
            Ok(()) | Err(RaftError::APIError(InitializeError::NotAllowed(_))) => {}
            Err(error) => return Err(ConsensusError::Initialize(Box::new(error))),
        }
    }
    Ok(raft)
}

fn raft_config(settings: &Settings) -> Config {
    let heartbeat_ms = u64::try_from(settings.heartbeat_interval.as_millis()).unwrap_or(u64::MAX);
    Config {
        cluster_name: settings.group.clone(),
        heartbeat_interval: heartbeat_ms,
        election_timeout_min: heartbeat_ms * 5,
        election_timeout_max: heartbeat_ms * 10,
        install_snapshot_timeout: SNAPSHOT_TIMEOUT_MS,
        snapshot_policy: SnapshotPolicy::LogsSinceLast(SNAPSHOT_INTERVAL),
        max_in_snapshot_log_to_keep: LOG_RETENTION,
        snapshot_max_chunk_size: SNAPSHOT_CHUNK_BYTES,
        ..Config::default()
    }
}

async fn wait_until_stopped(raft: &Raft) -> ConsensusError {
    let mut metrics = raft.metrics();
    loop {
        if let Err(fatal) = &metrics.borrow().running_state {
            return Box::new(fatal.clone()).into();
        }
        if metrics.changed().await.is_err() {
            return ConsensusError::Ended;
        }
    }
}
