//! The state of the modelled cluster, its messages, the scenarios, and the mutations of the code under test.

use milletturn_coordination::command_batcher::CommandBatch;
use milletturn_coordination::heartbeat_batcher::{BatchResponse, HeartbeatBatch};
use milletturn_coordination::{
    Command, CommandBatcher, CommandOutcome, CoordinationState, FencingGuard, FencingToken,
    Heartbeat, HeartbeatBatcher, LeaderTerm, LeaseHolder, LeaseTable, MemberInfo, Micros,
    SessionId, Timestamp, WaiterId,
};
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};

/// Advance of each member's clock per tick. The first member's clock is slow by the full error that leases allow for;
/// the second member's clock and those of the coordinators are accurate.
const RATES: [u64; 2] = [1, 2];
pub(crate) const CLOCK_ERROR_PPM: u32 = 1_000_000;
/// Two ticks of an accurate clock.
pub(crate) const LEASE: Micros = Micros(4);

/// A safeguard that a run of the checker leaves out; `None` leaves out nothing. Without a safeguard, the checker must
/// find a violated property.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Mutation {
    None,
    /// A new leader counts leases from timestamp 0 instead of its election, so they expire at once.
    LeasesExpireAtElection,
    /// A holder counts its lease from when the response arrives instead of when the heartbeat was sent.
    LeaseCountedFromResponse,
    /// A holder assumes that its clock runs at the same rate as the leader's.
    ClockErrorIgnored,
    /// The receiver does not store its guard, which is lost when the receiver restarts.
    GuardNotDurable,
    /// The backup is used unchanged, so tokens and session ids continue from its numbers.
    RestoreWithoutTokenJump,
    /// A restored state grants resources before the leases from before the restore have expired.
    RestoreWithoutGracePeriod,
    /// A proxy gives a response to all heartbeats of a session, including those that arrived after the batch was sent.
    ProxyAnswersLaterCallers,
    /// A proxy gives the outcomes of an abandoned batch to the callers of the next one, which is in flight.
    ProxyAcceptsLateResponses,
    /// A proxy assigns outcomes by the order in which the remaining callers arrived, not by position in the batch.
    ProxyIgnoresBatchPositions,
    /// A member draws a new nonce for each attempt to open the same session.
    NewNoncePerAttempt,
    /// A member that repeats its request to open a session counts its lease from the last attempt. The coordinator may
    /// have opened the session at the first attempt and counts the lease from then.
    LeaseCountedFromLastOpen,
}

/// The part of the system that a run of the checker varies; the other parts do not vary in that run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Scenario {
    /// Elections, delayed messages and clock drift, without writes.
    Leases,
    /// Writes that arrive late, and a receiver that restarts.
    Fencing,
    /// A backup, and a restore after everything written since the backup was lost.
    Restore,
    /// Heartbeats batched by a proxy. A member stops waiting for a response and sends another heartbeat, or the proxy
    /// restarts.
    ProxiedHeartbeats,
    /// Requests to open sessions, batched by a proxy. The proxy abandons batches, and members retry.
    ProxiedOpens,
}

/// The model of a cluster in one scenario, with the given mutation.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ClusterModel {
    pub(crate) scenario: Scenario,
    pub(crate) mutation: Mutation,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum Message {
    Open {
        member: usize,
        sent: Timestamp,
        nonce: u64,
    },
    Opened {
        member: usize,
        sent: Timestamp,
        session: SessionId,
    },
    Heartbeat {
        member: usize,
        sent: Timestamp,
        heartbeat: Heartbeat,
    },
    Renewed {
        member: usize,
        sent: Timestamp,
        session: SessionId,
        claimed: Option<FencingToken>,
    },
    /// A heartbeat from a member to the proxy.
    ProxiedHeartbeat {
        member: usize,
        sent: Timestamp,
        heartbeat: Heartbeat,
    },
    /// A batch from the proxy to the coordinators, with the process incarnation that sent it. The response is delivered
    /// only to that incarnation, since its connection closes with the process.
    HeartbeatBatch(u8, HeartbeatBatch),
    BatchResponse {
        proxy_incarnation: u8,
        number: u64,
        response: BatchResponse,
    },
    /// A request to open a session, from a member to the proxy.
    ProxiedOpen {
        member: usize,
        sent: Timestamp,
        nonce: u64,
    },
    /// A batch of requests to open sessions, from the proxy to the coordinators.
    CommandBatch(CommandBatch<ProxiedOpen>),
    /// The response to a batch of requests to open sessions, by position; `None` for a rejected request.
    CommandOutcomes {
        number: u64,
        sessions: Vec<Option<SessionId>>,
    },
    /// A claim that a member sends right after its session was opened.
    Claim {
        member: usize,
        session: SessionId,
    },
    Claimed {
        member: usize,
        session: SessionId,
        token: FencingToken,
    },
    Expire {
        session: SessionId,
        leader_term: LeaderTerm,
    },
    Write {
        member: usize,
        token: FencingToken,
    },
}

impl Message {
    /// Whether this is the given member's request to open a session, its heartbeat, or the response to either.
    pub(crate) fn belongs_to(&self, requester: usize) -> bool {
        match self {
            Message::Open { member, .. }
            | Message::Heartbeat { member, .. }
            | Message::ProxiedHeartbeat { member, .. }
            | Message::Opened { member, .. }
            | Message::Renewed { member, .. }
            | Message::ProxiedOpen { member, .. } => *member == requester,
            Message::Expire { .. }
            | Message::Write { .. }
            | Message::CommandBatch(..)
            | Message::CommandOutcomes { .. }
            | Message::Claim { .. }
            | Message::Claimed { .. }
            | Message::HeartbeatBatch(..)
            | Message::BatchResponse { .. } => false,
        }
    }
}

/// A request to open a session, as queued at the proxy: the member that sent it, and its nonce.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct ProxiedOpen {
    pub(crate) member: usize,
    pub(crate) nonce: u64,
}

/// A member's call to the proxy with a heartbeat.
#[derive(Debug, Clone, Copy, Hash)]
pub(crate) struct ProxyCall {
    pub(crate) member: usize,
    pub(crate) sent: Timestamp,
    pub(crate) session: SessionId,
    /// Whether the member still waits for the response.
    pub(crate) is_waiting: bool,
}

#[derive(Debug, Clone)]
pub(crate) struct ClusterState {
    pub(crate) now: u64,
    pub(crate) coordination: CoordinationState,
    pub(crate) backup: Option<CoordinationState>,
    pub(crate) restored: bool,
    pub(crate) tables: [LeaseTable; 2],
    pub(crate) leader: usize,
    pub(crate) leader_term: LeaderTerm,
    pub(crate) holders: [LeaseHolder; 2],
    pub(crate) in_transit: BTreeSet<Message>,
    /// The receiver's guard in memory.
    pub(crate) guard: FencingGuard,
    /// The receiver's guard on disk.
    pub(crate) saved_guard: FencingGuard,
    /// The highest token of all admitted writes, and the member that wrote last.
    pub(crate) last_write: (FencingToken, usize),
    /// Whether a write was admitted after one with a higher token, or after another member's with the same token.
    pub(crate) out_of_order: bool,
    pub(crate) guard_restarts: u8,
    pub(crate) heartbeat_batcher: HeartbeatBatcher,
    pub(crate) proxy_restarts: u8,
    pub(crate) heartbeats_at_proxy: BTreeMap<WaiterId, ProxyCall>,
    pub(crate) last_waiter: WaiterId,
    /// The number of abandoned calls and batches.
    pub(crate) abandoned: u8,
    pub(crate) command_batcher: CommandBatcher<ProxiedOpen>,
    /// The requests to open a session that wait at the proxy, each with its member and the time from which the member
    /// counts the lease.
    pub(crate) opens_at_proxy: BTreeMap<WaiterId, (usize, Timestamp)>,
    /// Whether a request to open a session was rejected, which happens only if an earlier session of the same member
    /// has its name.
    pub(crate) locked_out: bool,
    /// When each member first sent its request to open a session.
    pub(crate) first_sent: [Option<Timestamp>; 2],
}

/// Hashes every field except parts of the coordination state. The event history is left out because it does not affect
/// later steps. The last session id, the minimum token and whether batches are enabled are left out too.
impl Hash for ClusterState {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        let hash_state = |state: &CoordinationState, hasher: &mut H| {
            (state.sessions(), state.resources(), state.generation()).hash(hasher);
            state.leases().for_each(|lease| lease.hash(hasher));
        };
        hash_state(&self.coordination, hasher);
        self.backup
            .iter()
            .for_each(|state| hash_state(state, hasher));
        (self.now, self.backup.is_some(), self.restored).hash(hasher);
        (&self.tables, self.leader, self.leader_term).hash(hasher);
        (&self.holders, &self.in_transit).hash(hasher);
        (&self.guard, &self.saved_guard).hash(hasher);
        (self.last_write, self.out_of_order, self.guard_restarts).hash(hasher);
        (&self.heartbeat_batcher, self.proxy_restarts).hash(hasher);
        (&self.heartbeats_at_proxy, self.last_waiter, self.abandoned).hash(hasher);
        (&self.command_batcher, &self.opens_at_proxy).hash(hasher);
        (self.locked_out, self.first_sent).hash(hasher);
    }
}

/// Compares the hashed fields only, as the checker does when it decides whether it has visited a state.
impl PartialEq for ClusterState {
    fn eq(&self, other: &Self) -> bool {
        let digest = |state: &Self| {
            let mut hasher = DefaultHasher::new();
            state.hash(&mut hasher);
            hasher.finish()
        };
        digest(self) == digest(other)
    }
}

impl ClusterState {
    /// The cluster before the first event. `clock_error_ppm` is the error that the members' lease holders allow for.
    pub(crate) fn new(clock_error_ppm: u32) -> Self {
        Self {
            now: 0,
            coordination: CoordinationState::default(),
            backup: None,
            restored: false,
            tables: [LeaseTable::default(), LeaseTable::default()],
            leader: 0,
            leader_term: LeaderTerm(0),
            holders: [
                LeaseHolder::new(clock_error_ppm),
                LeaseHolder::new(clock_error_ppm),
            ],
            in_transit: BTreeSet::new(),
            guard: FencingGuard::default(),
            saved_guard: FencingGuard::default(),
            last_write: (FencingToken(0), 0),
            out_of_order: false,
            guard_restarts: 0,
            heartbeat_batcher: HeartbeatBatcher::new(Micros::ZERO),
            proxy_restarts: 0,
            heartbeats_at_proxy: BTreeMap::new(),
            last_waiter: WaiterId(0),
            abandoned: 0,
            command_batcher: CommandBatcher::default(),
            opens_at_proxy: BTreeMap::new(),
            locked_out: false,
            first_sent: [None; 2],
        }
    }

    pub(crate) fn member_clock(&self, member: usize) -> Timestamp {
        Timestamp(100 + self.now * RATES[member])
    }

    pub(crate) fn coordinator_clock(&self) -> Timestamp {
        Timestamp(100 + self.now * RATES[1])
    }

    /// The token under which a member may write now.
    pub(crate) fn permitted_token(&self, member: usize) -> Option<FencingToken> {
        self.holders[member]
            .permission("w", self.member_clock(member))
            .map(|permission| permission.token)
    }

    pub(crate) fn is_open(&self, session: SessionId) -> bool {
        self.coordination.sessions().contains_key(&session)
    }

    /// Applies a command in the current leader's term.
    pub(crate) fn apply(&mut self, command: Command) -> CommandOutcome {
        self.coordination.apply(command, self.leader_term)
    }

    /// Claims the resource for a session. Returns the token if the session owns the resource afterwards.
    pub(crate) fn claim(&mut self, session: SessionId) -> Option<FencingToken> {
        let resource = "w".into();
        match self.apply(Command::Claim { session, resource }) {
            CommandOutcome::Claimed { token, .. } => Some(token),
            _ => None,
        }
    }

    /// Brings the leader's lease table up to date with the sessions of the state.
    pub(crate) fn track(&mut self) {
        let now = self.coordinator_clock();
        self.tables[self.leader].track(now, self.coordination.leases());
    }

    /// Processes a heartbeat at the leader. Returns whether the lease was extended.
    pub(crate) fn renew(&mut self, heartbeat: Heartbeat) -> bool {
        let now = self.coordinator_clock();
        let table = &mut self.tables[self.leader];
        table
            .begin_heartbeat(heartbeat)
            .is_some_and(|pending| table.confirm_heartbeat(pending, now))
    }

    /// Assigns the id of the next call at the proxy.
    pub(crate) fn next_waiter(&mut self) -> WaiterId {
        self.last_waiter = self.last_waiter.next();
        self.last_waiter
    }

    pub(crate) fn elect(&mut self, coordinator: usize, mutation: Mutation) {
        self.leader = coordinator;
        self.leader_term = self.leader_term.next();
        let now = if mutation == Mutation::LeasesExpireAtElection {
            Timestamp(0)
        } else {
            self.coordinator_clock()
        };
        let leases = self.coordination.leases();
        self.tables[coordinator].become_leader(self.leader_term, now, leases);
    }
}

pub(crate) fn member_info(member: usize) -> MemberInfo {
    MemberInfo {
        name: format!("n{member}"),
        zone: String::new(),
        version: String::new(),
        role: String::new(),
    }
}

pub(crate) fn open_command(member: usize, nonce: u64) -> Command {
    Command::OpenSession {
        member: member_info(member),
        nonce,
        lease: LEASE,
    }
}
