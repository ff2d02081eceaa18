//! The messages of the coordination service, the paths to which they are sent, and the headers and bounds of a call.
//!
//! Members, session proxies and coordinators of different versions communicate, so the JSON must not change; the tests
//! in `tests/golden.rs` check that. A field whose JSON name differs from its Rust name has a `serde(rename)` attribute.

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
/// Request header between coordinators with the identifier of the initial state of the caller's group. Coordinators
/// that started from different states would get different results from the same commands, so a coordinator rejects
/// Raft calls with an identifier other than its own.
pub const ORIGIN_HEADER: &str = "milletturn-origin";
/// Header with the number of a call on its connection, from 1 on, which the response repeats. HTTP/1.1 matches
/// responses to requests by order alone, so without the number a duplicate of an earlier response would be taken for
/// the response to the current call.
pub const CALL_HEADER: &str = "milletturn-call";
/// Response header with the number of the responding coordinator.
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
/// answered with their outcomes in the same order.
pub const COMMAND_BATCH_PATH: &str = "/v1/write-all";
/// Returns the status and the counts of a session proxy: `GET`, answered with a [`SessionProxyStatus`]. Only session
/// proxies serve this path.
pub const SESSION_PROXY_STATUS_PATH: &str = "/v1/relay";
/// Writes a command: `POST` of a [`Command`], answered with a
/// [`CommandOutcome`](milletturn_coordination::CommandOutcome).
pub const COMMAND_PATH: &str = "/v1/order";
/// Returns a view of the replicated state, confirmed by a quorum: `GET`, answered with a [`StateView`].
pub const STATE_PATH: &str = "/v1/book";
/// Returns the status of one coordinator from its local state, without asking a quorum: `GET`, answered with a
/// [`CoordinatorStatus`].
pub const STATUS_PATH: &str = "/v1/status";
/// Returns the whole replicated state, confirmed by a quorum: `GET`, answered with a [`Backup`].
pub const BACKUP_PATH: &str = "/v1/backup";
/// Raft's `AppendEntries` between coordinators.
pub const APPEND_ENTRIES_PATH: &str = "/consensus/append";
/// Raft's `RequestVote` between coordinators.
pub const VOTE_PATH: &str = "/consensus/vote";
/// Raft's `InstallSnapshot` between coordinators.
pub const INSTALL_SNAPSHOT_PATH: &str = "/consensus/snapshot";

/// Largest body of a call by a member or an operator, of a heartbeat batch and of a vote request. A command whose
/// strings all have their largest size takes about 2 KB.
pub const MAX_CALL_BYTES: usize = 16 * 1024;
/// Largest body of a call to [`COMMAND_BATCH_PATH`]: the requests, and 64 bytes for the JSON around them.
pub const MAX_COMMAND_BATCH_BYTES: usize = bounds::MAX_BATCH_BYTES + 64;
/// Largest body of a call between coordinators and of any response. A full state whose strings all have their largest
/// size fits.
pub const MAX_BODY_BYTES: usize = 32 * 1024 * 1024;

/// A request to open a session.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenSession {
    /// The member that opens the session.
    #[serde(rename = "about")]
    pub member: MemberInfo,
    /// A random number that identifies the request. Retries of the request repeat it, so that a retry opens no second
    /// session.
    pub nonce: u64,
}

/// A heartbeat of one session.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatRequest {
    /// The session whose lease is to be renewed.
    pub session: SessionId,
    /// Whether the lease had expired by the holder's own clock when the holder sent the heartbeat. If so, the holder has
    /// received no confirmation of a request that it sent within the preceding lease duration.
    #[serde(rename = "run_out")]
    pub holder_expired: bool,
}

/// The response to a heartbeat: the lease was renewed, or the coordinators rejected the heartbeat.
pub type HeartbeatResponse = Result<HeartbeatAccepted, milletturn_coordination::Rejection>;

/// Confirmation that a session's lease was renewed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatAccepted {
    /// The resources that the session owns in the replicated state, with their fencing tokens.
    #[serde(rename = "owns")]
    pub owned: Vec<(String, FencingToken)>,
}

/// A session proxy's batch of at most [`MAX_BATCH_LEN`](bounds::MAX_BATCH_LEN) heartbeats.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatBatchRequest {
    /// Each session once, and whether its lease had expired by the holder's own clock when the heartbeat was sent.
    #[serde(rename = "renewals")]
    pub heartbeats: Vec<(SessionId, bool)>,
}

/// The outcome of a batch of heartbeats. A session in neither list was not renewed and may or may not have ended; its
/// next heartbeat tells which.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatBatchResponse {
    /// The shortest lease of the renewed sessions; `None` if no session was renewed.
    pub shortest_lease: Option<Micros>,
    /// Sessions whose lease was renewed, with the resources that each owns and their fencing tokens.
    #[serde(rename = "held")]
    pub renewed: Vec<(SessionId, Vec<(String, FencingToken)>)>,
    /// Sessions that have ended.
    #[serde(rename = "over")]
    pub ended: Vec<SessionId>,
}

/// One request of a session proxy's batch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BatchedRequest {
    /// A request to open a session, as in the body of a call to [`OPEN_SESSION_PATH`].
    #[serde(rename = "open")]
    OpenSession(OpenSession),
    /// A command, as in the body of a call to [`COMMAND_PATH`].
    #[serde(rename = "order")]
    Command(Command),
}

/// A session proxy's batch of at most [`MAX_BATCH_LEN`](bounds::MAX_BATCH_LEN) requests. Their JSON, including one byte
/// between each two, takes at most [`MAX_BATCH_BYTES`](bounds::MAX_BATCH_BYTES).
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommandBatchRequest {
    /// The requests in the order of their arrival at the session proxy.
    #[serde(rename = "wishes")]
    pub requests: Vec<BatchedRequest>,
}

/// The status of a session proxy: its current connections and waiting heartbeats, and counters since its start.
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
    /// Connections rejected because `max_connections` were open.
    #[serde(rename = "turned_away")]
    pub rejected_connections: u64,
    /// Heartbeats received from members, without those rejected because the queue was full.
    #[serde(rename = "renewals")]
    pub heartbeats: u64,
    /// Batches of heartbeats that were sent to the coordinators.
    #[serde(rename = "batches")]
    pub heartbeat_batches: u64,
    /// Heartbeat batches that no coordinator answered within the time limit of the call.
    #[serde(rename = "unanswered")]
    pub unanswered_heartbeat_batches: u64,
    /// Commands and requests to open a session that were received from members, without those that could not be queued.
    #[serde(rename = "writes")]
    pub commands: u64,
    /// Batches of commands and requests to open a session that were sent to the coordinators.
    #[serde(rename = "write_batches")]
    pub command_batches: u64,
    /// Command batches that no coordinator answered within the time limit of the call.
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
    /// The number of the leading coordinator.
    pub leader: u64,
    /// Open sessions.
    pub sessions: BTreeMap<SessionId, Session>,
    /// Resources by name, owned or not.
    #[serde(rename = "works")]
    pub resources: BTreeMap<String, Resource>,
    /// The latest events, oldest first.
    pub history: Vec<Event>,
}

/// A backup of the replicated state, which contains everything that a restore needs.
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

/// The status of one coordinator from its local state, which may be out of date.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CoordinatorStatus {
    /// The group's name.
    pub group: String,
    /// The number of this coordinator.
    #[serde(rename = "steward")]
    pub coordinator: u64,
    /// The program's version.
    pub version: String,
    /// `leader`, `follower`, `candidate`, `learner`, or `cut off` for a leader without a quorum.
    pub role: String,
    /// The number of the leading coordinator, if this one knows it.
    pub leader: Option<u64>,
    /// The latest leader term that this coordinator knows.
    #[serde(rename = "reign")]
    pub leader_term: LeaderTerm,
    /// The log index of the last entry that this coordinator has applied; 0 if none.
    #[serde(rename = "applied")]
    pub last_applied: u64,
    /// The numbers of the coordinators that vote.
    pub voters: Vec<u64>,
    /// Milliseconds since a quorum last acknowledged this coordinator as the leader. `None` if it does not lead, or if
    /// no quorum has acknowledged it yet.
    #[serde(rename = "majority_heard")]
    pub quorum_age_ms: Option<u64>,
}

/// The body of every response with a status other than 200: why the call failed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorResponse {
    /// The human-readable reason for the error.
    #[serde(rename = "why")]
    pub message: String,
    /// The number of the leading coordinator, if the responding coordinator does not lead and knows which one does.
    pub leader: Option<u64>,
    /// Whether the call may have been executed despite the error.
    pub may_have_happened: bool,
}
