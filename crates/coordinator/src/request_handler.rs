//! Handles HTTP requests of members, session proxies, operators and other replicas.
//!
//! The error messages in responses are part of the protocol and must not change.

use crate::leadership::{Leadership, LeadershipError};
use crate::settings::Settings;
use crate::{RaftTypes, ReplicaId};
use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use milletturn_coordination::{Command, CommandOutcome, CoordinationState, LeaderTerm, bounds};
use milletturn_coordination_protocol::messages::{
    APPEND_ENTRIES_PATH, BACKUP_FORMAT, BACKUP_PATH, Backup, BatchedRequest, COMMAND_BATCH_PATH,
    COMMAND_PATH, CommandBatchRequest, CoordinatorStatus, ErrorResponse, HEARTBEAT_BATCH_PATH,
    HEARTBEAT_PATH, HeartbeatBatchRequest, INSTALL_SNAPSHOT_PATH, MAX_BODY_BYTES, MAX_CALL_BYTES,
    MAX_COMMAND_BATCH_BYTES, OPEN_SESSION_PATH, ORIGIN_HEADER, OpenSession, STATE_PATH,
    STATUS_PATH, StateView, VOTE_PATH,
};
use milletturn_coordination_protocol::server::{
    CallError, Handler, HandlerResult, header, read_json, to_json,
};
use openraft::ServerState;
use openraft::raft::{AppendEntriesRequest, InstallSnapshotRequest, VoteRequest};
use std::rc::Rc;

/// Limit on open connections: one for each member that connects directly, and 64 for session proxies, the other
/// replicas and operators.
pub const MAX_CONNECTIONS: usize = bounds::MAX_DIRECT_MEMBERS + 64;
/// Path prefix of the Raft calls between replicas.
const CONSENSUS_PREFIX: &str = "/consensus/";
/// Number of heartbeat intervals without a quorum after which a leader reports the role `cut off`.
const CUT_OFF_HEARTBEATS: u32 = 10;

/// Handles the requests to one replica.
pub struct RequestHandler {
    /// The coordinator's settings; requests use the group, the id, the lease and the heartbeat interval.
    pub settings: Settings,
    /// Identifies the initial state of the group. Raft calls of a replica with a different origin are rejected.
    pub origin: String,
    /// The leadership of this replica, through which all reads and writes go.
    pub leadership: Rc<Leadership>,
}

impl Handler for RequestHandler {
    fn group(&self) -> &str {
        &self.settings.group
    }

    fn coordinator_id(&self) -> Option<u64> {
        Some(self.settings.id)
    }

    async fn handle(&self, request: Request<Incoming>) -> HandlerResult {
        let path = request.uri().path().to_string();
        if path.starts_with(CONSENSUS_PREFIX)
            && header(&request, ORIGIN_HEADER) != Some(&self.origin)
        {
            let message = format!(
                "this group began with book {}, the caller's with another",
                self.origin
            );
            return Err(CallError::rejected(StatusCode::CONFLICT, message));
        }
        let is_read = matches!(path.as_str(), STATE_PATH | STATUS_PATH | BACKUP_PATH);
        let expected_method = if is_read { Method::GET } else { Method::POST };
        if request.method() != expected_method {
            let message = "another method";
            return Err(CallError::rejected(StatusCode::METHOD_NOT_ALLOWED, message));
        }
        match path.as_str() {
            STATUS_PATH => to_json(&self.status()),
            STATE_PATH => self.state_view().await,
            BACKUP_PATH => self.backup().await,
            OPEN_SESSION_PATH => self.open_session(request).await,
            HEARTBEAT_PATH => self.heartbeat(request).await,
            HEARTBEAT_BATCH_PATH => self.heartbeat_batch(request).await,
            COMMAND_PATH => self.command(request).await,
            COMMAND_BATCH_PATH => self.command_batch(request).await,
            APPEND_ENTRIES_PATH => self.append_entries(request).await,
            VOTE_PATH => self.vote(request).await,
            INSTALL_SNAPSHOT_PATH => self.install_snapshot(request).await,
            _ => Err(CallError::rejected(StatusCode::NOT_FOUND, "no such path")),
        }
    }
}

/// Read-only requests of operators.
impl RequestHandler {
    /// The status of this replica from its local state, without asking a quorum.
    fn status(&self) -> CoordinatorStatus {
        let metrics = self.leadership.raft.metrics().borrow().clone();
        // a leader that was cut off keeps the state `Leader` until it learns of a later term, so the age of the last
        // quorum acknowledgement decides
        let cut_off_after = self.settings.heartbeat_interval * CUT_OFF_HEARTBEATS;
        let quorum_age_ms = metrics.millis_since_quorum_ack;
        let is_cut_off = metrics.state == ServerState::Leader
            && quorum_age_ms.is_none_or(|age| u128::from(age) > cut_off_after.as_millis());
        let role = if is_cut_off {
            "cut off".to_string()
        } else {
            format!("{:?}", metrics.state).to_lowercase()
        };
        CoordinatorStatus {
            group: self.settings.group.clone(),
            coordinator: self.settings.id,
            version: env!("CARGO_PKG_VERSION").to_string(),
            role,
            leader: metrics.current_leader,
            leader_term: LeaderTerm(metrics.current_term),
            last_applied: metrics.last_applied.map_or(0, |applied| applied.index),
            voters: metrics.membership_config.voter_ids().collect(),
            quorum_age_ms,
        }
    }

    async fn state_view(&self) -> HandlerResult {
        self.confirm_leadership().await?;
        let view = self.leadership.state_machine.read(|state| StateView {
            group: self.settings.group.clone(),
            leader: self.settings.id,
            sessions: state.sessions().clone(),
            resources: state.resources().clone(),
            history: state.history().cloned().collect(),
        });
        to_json(&view)
    }

    async fn backup(&self) -> HandlerResult {
        self.confirm_leadership().await?;
        let state = self.leadership.state_machine.read(CoordinationState::clone);
        to_json(&Backup {
            format: BACKUP_FORMAT,
            group: self.settings.group.clone(),
            state,
        })
    }

    async fn confirm_leadership(&self) -> Result<(), CallError> {
        let confirmed = self.leadership.confirm_leadership().await;
        confirmed.map_err(|error| to_call_error(&error, false))
    }
}

/// Requests of members and session proxies, and write requests of operators.
impl RequestHandler {
    async fn open_session(&self, request: Request<Incoming>) -> HandlerResult {
        let request: OpenSession = read_json(request, MAX_CALL_BYTES).await?;
        self.write(self.open_command(request)).await
    }

    async fn heartbeat(&self, request: Request<Incoming>) -> HandlerResult {
        let heartbeat = read_json(request, MAX_CALL_BYTES).await?;
        let served = self.leadership.serve_heartbeat(heartbeat).await;
        to_json(&served.map_err(|error| to_call_error(&error, false))?)
    }

    async fn heartbeat_batch(&self, request: Request<Incoming>) -> HandlerResult {
        let HeartbeatBatchRequest { heartbeats } = read_json(request, MAX_CALL_BYTES).await?;
        if heartbeats.len() > bounds::MAX_BATCH_LEN {
            let message = format!(
                "{} renewals in one call: {} at most",
                heartbeats.len(),
                bounds::MAX_BATCH_LEN
            );
            return Err(CallError::rejected(StatusCode::BAD_REQUEST, message));
        }
        let served = self.leadership.serve_heartbeat_batch(&heartbeats).await;
        to_json(&served.map_err(|error| to_call_error(&error, false))?)
    }

    async fn command(&self, request: Request<Incoming>) -> HandlerResult {
        let command = allowed_command(read_json(request, MAX_CALL_BYTES).await?)?;
        self.write(command).await
    }

    async fn command_batch(&self, request: Request<Incoming>) -> HandlerResult {
        let CommandBatchRequest { requests } = read_json(request, MAX_COMMAND_BATCH_BYTES).await?;
        if !(1..=bounds::MAX_BATCH_LEN).contains(&requests.len()) {
            let message = format!(
                "{} wishes in one call: from 1 to {} are allowed",
                requests.len(),
                bounds::MAX_BATCH_LEN
            );
            return Err(CallError::rejected(StatusCode::BAD_REQUEST, message));
        }
        let to_command = |request| match request {
            BatchedRequest::OpenSession(request) => Ok(self.open_command(request)),
            BatchedRequest::Command(command) => allowed_command(command),
        };
        let commands = requests
            .into_iter()
            .map(to_command)
            .collect::<Result<Vec<_>, _>>()?;
        match self.commit(Command::Batch { commands }).await? {
            CommandOutcome::Batch(outcomes) => to_json(&outcomes),
            outcome => Err(CallError::rejected(
                StatusCode::INTERNAL_SERVER_ERROR,
                format!("one answer to all: {outcome:?}"),
            )),
        }
    }

    fn open_command(&self, request: OpenSession) -> Command {
        Command::OpenSession {
            member: request.member,
            nonce: request.nonce,
            lease: self.settings.lease_timing.lease,
        }
    }

    async fn write(&self, command: Command) -> HandlerResult {
        to_json(&self.commit(command).await?)
    }

    async fn commit(&self, command: Command) -> Result<CommandOutcome, CallError> {
        let written = self.leadership.write(command).await;
        written.map_err(|error| to_call_error(&error, true))
    }
}

/// Raft calls between replicas.
impl RequestHandler {
    async fn append_entries(&self, request: Request<Incoming>) -> HandlerResult {
        let call: AppendEntriesRequest<RaftTypes> = read_json(request, MAX_BODY_BYTES).await?;
        to_json(&self.leadership.raft.append_entries(call).await)
    }

    async fn vote(&self, request: Request<Incoming>) -> HandlerResult {
        let call: VoteRequest<ReplicaId> = read_json(request, MAX_CALL_BYTES).await?;
        to_json(&self.leadership.raft.vote(call).await)
    }

    async fn install_snapshot(&self, request: Request<Incoming>) -> HandlerResult {
        let call: InstallSnapshotRequest<RaftTypes> = read_json(request, MAX_BODY_BYTES).await?;
        to_json(&self.leadership.raft.install_snapshot(call).await)
    }
}

/// Returns the command if members and operators may submit it. Rejects commands that only the leader itself may create.
fn allowed_command(command: Command) -> Result<Command, CallError> {
    match command {
        Command::OpenSession { .. } | Command::ExpireSession { .. } | Command::Batch { .. } => {
            Err(CallError::rejected(
                StatusCode::FORBIDDEN,
                "only the leading steward writes this",
            ))
        }
        command => Ok(command),
    }
}

fn to_call_error(error: &LeadershipError, may_have_happened: bool) -> CallError {
    let (status, leader, may_have_happened) = match error {
        LeadershipError::NotLeader { leader } => (StatusCode::MISDIRECTED_REQUEST, *leader, false),
        LeadershipError::NoQuorum => (StatusCode::SERVICE_UNAVAILABLE, None, may_have_happened),
    };
    CallError {
        status,
        body: ErrorResponse {
            message: error.to_string(),
            leader,
            may_have_happened,
        },
    }
}
