//! The messages of the coordination service, the paths to which they are sent, and the headers and bounds of a call.
//!
//! Names in the JSON are older than the names of the types: each field that differs carries its name on the wire.
//! Members, session proxies and coordinators of two versions talk with each other, so the JSON may not change
//! (`tests/golden.rs`).

use milletturn_coordination::state::{Event, Resource, Session};
use milletturn_coordination::{
    Command, CoordinationState, FencingToken, LeaderTerm, MemberInfo, Micros, SessionId, bounds,
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The version of the protocol; a server of another version rejects the call.
pub const PROTOCOL_VERSION: &str = "1";
/// Request header with the [`PROTOCOL_VERSION`] of the caller.
pub const VERSION_HEADER: &str = "milletturn-wire";
/// Request header with the name of the group that the call is meant for.
pub const GROUP_HEADER: &str = "milletturn-group";
/// Request header between coordinators: which initial state the caller's group was founded with. Coordinators that
/// were founded with different states would make different states of the same commands.
pub const ORIGIN_HEADER: &str = "milletturn-origin";
/// Header with the number of a call on its connection, from 1: the response repeats it. HTTP/1.1 goes by order alone, and a
/// second copy of an earlier response would be taken for that of the present call.
pub const CALL_HEADER: &str = "milletturn-call";
/// Response header with the number of the coordinator that answers.
pub const COORDINATOR_HEADER: &str = "milletturn-steward";

/// Opens a session: `POST` of an [`OpenSession`], answered with a
/// [`CommandOutcome`](milletturn_coordination::CommandOutcome).
pub const OPEN_SESSION_PATH: &str = "/v1/open";
/// Keeps a session alive: `POST` of a [`HeartbeatRequest`], answered with a [`HeartbeatResponse`].
pub const HEARTBEAT_PATH: &str = "/v1/renew";
/// Keeps the sessions of a session proxy's members alive: `POST` of a [`HeartbeatBatchRequest`], answered with a
/// [`HeartbeatBatchResponse`].
pub const HEARTBEAT_BATCH_PATH: &str = "/v1/renew-all";
/// Writes the commands of a session proxy's members as one entry of the log: `POST` of a [`CommandBatchRequest`],
/// answered with the outcome of each, in their order.
pub const COMMAND_BATCH_PATH: &str = "/v1/write-all";
/// Shows what a session proxy has counted: `GET`, answered with a [`SessionProxyStatus`]. Only session proxies serve it.
pub const SESSION_PROXY_STATUS_PATH: &str = "/v1/relay";
/// Writes a command: `POST` of a [`Command`], answered with a
/// [`CommandOutcome`](milletturn_coordination::CommandOutcome).
pub const COMMAND_PATH: &str = "/v1/order";
/// Shows the replicated state as a majority confirms it: `GET`, answered with a [`StateView`].
pub const STATE_PATH: &str = "/v1/book";
/// Shows what one coordinator knows by itself, without a majority: `GET`, answered with a [`CoordinatorStatus`].
pub const STATUS_PATH: &str = "/v1/status";
/// Returns the whole replicated state as a majority confirms it: `GET`, answered with a [`Backup`].
pub const BACKUP_PATH: &str = "/v1/backup";
/// Raft's `AppendEntries` between coordinators.
pub const APPEND_ENTRIES_PATH: &str = "/consensus/append";
/// Raft's `RequestVote` between coordinators.
pub const VOTE_PATH: &str = "/consensus/vote";
/// Raft's `InstallSnapshot` between coordinators.
pub const INSTALL_SNAPSHOT_PATH: &str = "/consensus/snapshot";

/// Largest body of a call by a member or an operator: a command with every text at its bound takes some 2 KB.
pub const MAX_CALL_BYTES: usize = 16 * 1024;
/// Largest body of a call to [`COMMAND_BATCH_PATH`]: the requests, and what surrounds them.
pub const MAX_COMMAND_BATCH_BYTES: usize = bounds::MAX_BATCH_BYTES + 64;
/// Largest body between coordinators, and of a response: a full state with every text at its bound.
pub const MAX_BODY_BYTES: usize = 32 * 1024 * 1024;

/// A request to open a session.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenSession {
    /// The member that asks.
    #[serde(rename = "about")]
    pub member: MemberInfo,
    /// Drawn at random once for each session wanted, and sent again with each retry, so that a retry opens no second
    /// session.
    pub nonce: u64,
}

/// A heartbeat of one session.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatRequest {
    /// The session to be kept alive.
    pub session: SessionId,
    /// Whether the lease has already expired by the holder's own count, since no response reached it in time.
    #[serde(rename = "run_out")]
    pub holder_expired: bool,
}

/// The response to a heartbeat: the session is alive, or the coordinators have rejected it.
pub type HeartbeatResponse = Result<HeartbeatAccepted, milletturn_coordination::Rejection>;

/// Confirmation that a session's lease was renewed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatAccepted {
    /// The resources that the session owns in the replicated state, with their fencing tokens.
    #[serde(rename = "owns")]
    pub owned: Vec<(String, FencingToken)>,
}

/// Heartbeats that a session proxy has batched: [`MAX_BATCH_LEN`](bounds::MAX_BATCH_LEN) at most.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatBatchRequest {
    /// Each session once, and whether its lease had expired by the holder's own count when it last asked.
    #[serde(rename = "renewals")]
    pub heartbeats: Vec<(SessionId, bool)>,
}

/// What became of a batch of heartbeats. For a session in neither list the coordinators can't say yet: its next
/// heartbeat finds out.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatBatchResponse {
    /// The shortest lease of the renewed sessions; none if none was renewed.
    pub shortest_lease: Option<Micros>,
    /// Sessions whose lease was renewed, with the resources that each owns and their fencing tokens.
    #[serde(rename = "held")]
    pub renewed: Vec<(SessionId, Vec<(String, FencingToken)>)>,
    /// Sessions that have ended.
    #[serde(rename = "over")]
    pub ended: Vec<SessionId>,
}

/// One request among those that a session proxy sends as a batch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BatchedRequest {
    /// As a call to [`OPEN_SESSION_PATH`].
    #[serde(rename = "open")]
    OpenSession(OpenSession),
    /// As a call to [`COMMAND_PATH`].
    #[serde(rename = "order")]
    Command(Command),
}

/// Requests that a session proxy has batched: [`MAX_BATCH_LEN`](bounds::MAX_BATCH_LEN) at most, in
/// [`MAX_BATCH_BYTES`](bounds::MAX_BATCH_BYTES) bytes with one byte between each two.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommandBatchRequest {
    /// In the order in which they came.
    #[serde(rename = "wishes")]
    pub requests: Vec<BatchedRequest>,
}

/// What a session proxy has counted since its start.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionProxyStatus {
    /// The group's name.
    pub group: String,
    /// The session proxy's name.
    pub name: String,
    /// Connections of members that are open now.
    pub connections: u64,
    /// The most connections that may be open at once.
    #[serde(rename = "places")]
    pub max_connections: u64,
    /// Connections rejected because that many were open.
    #[serde(rename = "turned_away")]
    pub rejected_connections: u64,
    /// Heartbeats that members have sent.
    #[serde(rename = "renewals")]
    pub heartbeats: u64,
    /// Calls to the coordinators that carried those heartbeats.
    #[serde(rename = "batches")]
    pub heartbeat_batches: u64,
    /// Heartbeat batches that no coordinator answered in time.
    #[serde(rename = "unanswered")]
    pub unanswered_heartbeat_batches: u64,
    /// Session opens and commands that members have sent.
    #[serde(rename = "writes")]
    pub commands: u64,
    /// Calls to the coordinators that carried those.
    #[serde(rename = "write_batches")]
    pub command_batches: u64,
    /// Command batches that no coordinator answered in time.
    #[serde(rename = "writes_unanswered")]
    pub unanswered_command_batches: u64,
    /// Heartbeats whose members wait for a response now.
    #[serde(rename = "waiting")]
    pub waiting_heartbeats: u64,
}

/// The replicated state at one moment, for operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateView {
    /// The group's name.
    pub group: String,
    /// The number of the coordinator that leads.
    pub leader: u64,
    /// Open sessions.
    pub sessions: BTreeMap<SessionId, Session>,
    /// Resources by name, owned or not.
    #[serde(rename = "works")]
    pub resources: BTreeMap<String, Resource>,
    /// The latest events, oldest first.
    pub history: Vec<Event>,
}

/// A backup of the replicated state: all that a restore needs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Backup {
    /// The version of this format, [`BACKUP_FORMAT`].
    #[serde(rename = "form")]
    pub format: u32,
    /// The group's name.
    pub group: String,
    /// The replicated state.
    #[serde(rename = "book")]
    pub state: CoordinationState,
}

/// The version of the backup format that this program writes.
pub const BACKUP_FORMAT: u32 = 1;

/// What one coordinator knows by itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CoordinatorStatus {
    /// The group's name.
    pub group: String,
    /// The number of this coordinator.
    #[serde(rename = "steward")]
    pub coordinator: u64,
    /// The program's version.
    pub version: String,
    /// `leader`, `follower`, `candidate` or `learner`; `cut off`: a leader without a majority.
    pub role: String,
    /// The coordinator that leads, as far as this one knows.
    pub leader: Option<u64>,
    /// The leader term that this coordinator is in.
    #[serde(rename = "reign")]
    pub leader_term: LeaderTerm,
    /// The log index of the last entry that was applied here.
    #[serde(rename = "applied")]
    pub last_applied: u64,
    /// The numbers of the coordinators that vote.
    pub voters: Vec<u64>,
    /// Milliseconds since a majority last answered this coordinator, if it leads.
    #[serde(rename = "majority_heard")]
    pub quorum_age_ms: Option<u64>,
}

/// The body of every response but 200: why the call was not done.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorResponse {
    /// What is wrong and what to do, for people.
    #[serde(rename = "why")]
    pub message: String,
    /// The number of the coordinator that leads, if the call went to another one that knows it.
    pub leader: Option<u64>,
    /// Whether the call may have been done all the same.
    pub may_have_happened: bool,
}
