//! Golden data of the protocol: every message, path, header and status as they are on the wire. Members, coordinators
//! and session proxies of different versions communicate, so a renamed field or type in the source must not change
//! them.

mod common;

use common::run;
use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use milletturn_coordination::state::{Event, EventKind, Resource, Session};
use milletturn_coordination::{
    Command, CommandOutcome, CoordinationState, FencingToken, LeaderTerm, MemberInfo, Micros,
    Rejection, SessionId,
};
use milletturn_coordination_protocol::Client;
use milletturn_coordination_protocol::messages::{
    self, Backup, BatchedRequest, CommandBatchRequest, CoordinatorStatus, ErrorResponse,
    HeartbeatAccepted, HeartbeatBatchRequest, HeartbeatBatchResponse, HeartbeatRequest,
    OpenSession, SessionProxyStatus, StateView,
};
use milletturn_coordination_protocol::server::{
    CallError, ConnectionLimit, Handler, HandlerResult, Server, read_json, to_json,
};
use milletturn_coordination_protocol::shard_map::{self, ShardMapHandler};
use milletturn_shard_map::{
    Change, Digest, Endpoint, LeaderTerm as PublisherTerm, Limits, Operation, ShardCount, ShardId,
    ShardMapSource, ShardVersion, SyncRequest, Update, Version, VersionedChange,
};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Debug;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// The lines of a golden file, each of which has a name, a space, and the JSON or message of that name.
struct Golden {
    texts: BTreeMap<&'static str, &'static str>,
    seen: BTreeSet<&'static str>,
}

impl Golden {
    fn read(text: &'static str) -> Self {
        let texts = text
            .lines()
            .filter_map(|line| line.split_once(' '))
            .collect();
        Self {
            texts,
            seen: BTreeSet::new(),
        }
    }

    /// Checks that a value is serialized to the golden JSON, and that the golden JSON is parsed to the value.
    fn assert_text<T: Serialize + DeserializeOwned + PartialEq + Debug>(
        &mut self,
        name: &'static str,
        value: &T,
    ) {
        let written = serde_json::to_string(value).expect("serializable");
        let text = self
            .texts
            .get(name)
            .unwrap_or_else(|| panic!("no text for {name}"));
        assert_eq!(written, *text, "{name}: written");
        let parsed: T =
            serde_json::from_str(text).unwrap_or_else(|error| panic!("{name}: {error}"));
        assert_eq!(parsed, *value, "{name}: read");
        assert!(self.seen.insert(name), "{name} twice");
    }

    fn assert_all_seen(&self) {
        let all: BTreeSet<&str> = self.texts.keys().copied().collect();
        assert_eq!(self.seen, all);
    }
}

fn member_info() -> MemberInfo {
    MemberInfo {
        name: "sender-1".to_string(),
        zone: "east".to_string(),
        version: "0.1.0".to_string(),
        role: "sender".to_string(),
    }
}

fn open_session() -> OpenSession {
    OpenSession {
        member: member_info(),
        nonce: 18_446_744_073_709_551_615,
    }
}

fn fenced_write() -> Command {
    Command::FencedWrite {
        session: SessionId(7),
        resource: "list".to_string(),
        token: FencingToken(3),
        number: 2,
        checkpoint: "row \"12\"".to_string(),
    }
}

/// Each kind of command, once.
fn commands() -> Vec<(&'static str, Command)> {
    let list = || "list".to_string();
    vec![
        (
            "entry-open",
            Command::OpenSession {
                member: member_info(),
                nonce: 11,
                lease: Micros(9_000_000),
            },
        ),
        (
            "entry-close",
            Command::CloseSession {
                session: SessionId(7),
            },
        ),
        (
            "entry-expire",
            Command::ExpireSession {
                session: SessionId(7),
                leader_term: LeaderTerm(4),
            },
        ),
        (
            "entry-claim",
            Command::Claim {
                session: SessionId(7),
                resource: list(),
            },
        ),
        (
            "entry-release",
            Command::Release {
                session: SessionId(7),
                resource: list(),
                token: FencingToken(3),
            },
        ),
        (
            "entry-free",
            Command::Revoke {
                resource: list(),
                token: FencingToken(3),
            },
        ),
        ("entry-act", fenced_write()),
        (
            "entry-all",
            Command::Batch {
                commands: vec![
                    Command::CloseSession {
                        session: SessionId(7),
                    },
                    fenced_write(),
                ],
            },
        ),
    ]
}

/// Each kind of rejection, once.
fn rejections() -> Vec<(&'static str, Rejection)> {
    let mut rejections = ownership_rejections();
    rejections.extend(bound_rejections());
    rejections
}

/// The rejections about sessions and resources.
fn ownership_rejections() -> Vec<(&'static str, Rejection)> {
    let list = || "list".to_string();
    vec![
        (
            "refusal-no-session",
            Rejection::SessionNotFound {
                session: SessionId(7),
            },
        ),
        (
            "refusal-reign-over",
            Rejection::StaleLeaderTerm {
                leader_term: LeaderTerm(4),
                current: LeaderTerm(5),
            },
        ),
        ("refusal-resting", Rejection::RestoreGracePeriod),
        (
            "refusal-name-taken",
            Rejection::NameTaken {
                name: "sender-1".to_string(),
                session: SessionId(7),
            },
        ),
        (
            "refusal-taken",
            Rejection::ResourceOwned {
                resource: list(),
                owner: "sender-2".to_string(),
                token: FencingToken(3),
            },
        ),
        (
            "refusal-fenced",
            Rejection::Fenced {
                resource: list(),
                token: FencingToken(3),
                current: FencingToken(5),
            },
        ),
        (
            "refusal-out-of-order",
            Rejection::OutOfOrder {
                resource: list(),
                token: FencingToken(3),
                number: 9,
                last: 2,
            },
        ),
    ]
}

/// The rejections that name neither a resource nor a session.
fn bound_rejections() -> Vec<(&'static str, Rejection)> {
    vec![
        ("refusal-nested", Rejection::NestedBatch),
        (
            "refusal-full",
            Rejection::LimitReached {
                what: "sessions".to_string(),
                limit: 32_768,
            },
        ),
        (
            "refusal-bad-text",
            Rejection::InvalidLength {
                what: "the zone".to_string(),
                bytes: 129,
                limit: 128,
            },
        ),
    ]
}

/// A state in which no collection is empty.
fn state() -> CoordinationState {
    let mut state = CoordinationState::default();
    let other = MemberInfo {
        name: "sender-2".to_string(),
        ..member_info()
    };
    state.apply(
        Command::OpenSession {
            member: member_info(),
            nonce: 11,
            lease: Micros(9_000_000),
        },
        LeaderTerm(4),
    );
    state.apply(
        Command::OpenSession {
            member: other,
            nonce: 12,
            lease: Micros(8_000_000),
        },
        LeaderTerm(4),
    );
    let claim = |session, resource: &str| Command::Claim {
        session: SessionId(session),
        resource: resource.to_string(),
    };
    state.apply(
        Command::Batch {
            commands: vec![claim(1, "list"), claim(2, "limits")],
        },
        LeaderTerm(4),
    );
    let write = |number| Command::FencedWrite {
        session: SessionId(1),
        resource: "list".to_string(),
        token: FencingToken(1),
        number,
        checkpoint: format!("row {number}"),
    };
    state.apply(write(1), LeaderTerm(4));
    state.apply(write(2), LeaderTerm(4));
    state.apply(
        Command::Revoke {
            resource: "list".to_string(),
            token: FencingToken(1),
        },
        LeaderTerm(4),
    );
    state.apply(write(3), LeaderTerm(4));
    state
}

fn state_view() -> StateView {
    let session = Session {
        member: member_info(),
        nonce: 11,
        lease: Micros(9_000_000),
    };
    let resource = |owner| Resource {
        token: FencingToken(3),
        owner,
        writes: 2,
        checkpoint: "row 12".to_string(),
    };
    let kinds = [
        EventKind::Acquired,
        EventKind::Written(2),
        EventKind::Released,
        EventKind::Expired,
        EventKind::Revoked,
        EventKind::Fenced,
    ];
    let event = |(index, kind)| Event {
        number: index as u64 + 1,
        resource: "list".to_string(),
        token: FencingToken(3),
        member: "sender-1".to_string(),
        kind,
    };
    StateView {
        group: "north".to_string(),
        leader: 2,
        sessions: BTreeMap::from([(SessionId(7), session)]),
        resources: BTreeMap::from([
            ("limits".to_string(), resource(None)),
            ("list".to_string(), resource(Some(SessionId(7)))),
        ]),
        history: kinds.into_iter().enumerate().map(event).collect(),
    }
}

fn status(leader: Option<u64>, quorum_age_ms: Option<u64>) -> CoordinatorStatus {
    CoordinatorStatus {
        group: "north".to_string(),
        coordinator: 1,
        version: "0.1.0".to_string(),
        role: "cut off".to_string(),
        leader,
        leader_term: milletturn_coordination::LeaderTerm(4),
        last_applied: 99,
        voters: vec![1, 2, 3],
        quorum_age_ms,
    }
}

fn session_proxy_status() -> SessionProxyStatus {
    SessionProxyStatus {
        group: "north".to_string(),
        name: "relay-1".to_string(),
        connections: 1,
        max_connections: 2,
        rejected_connections: 3,
        heartbeats: 4,
        heartbeat_batches: 5,
        unanswered_heartbeat_batches: 6,
        commands: 7,
        command_batches: 8,
        unanswered_command_batches: 9,
        waiting_heartbeats: 10,
    }
}

#[test]
fn every_message_of_the_service_has_its_golden_json() {
    let mut golden = Golden::read(include_str!("golden/messages.txt"));
    check_sessions(&mut golden);
    check_heartbeat_batches(&mut golden);
    check_commands_and_outcomes(&mut golden);
    check_views_and_errors(&mut golden);
    golden.assert_all_seen();
}

fn owned_resources() -> Vec<(String, FencingToken)> {
    vec![
        ("limits".to_string(), FencingToken(5)),
        ("list".to_string(), FencingToken(3)),
    ]
}

fn check_sessions(golden: &mut Golden) {
    golden.assert_text("opening", &open_session());
    golden.assert_text(
        "renewal",
        &HeartbeatRequest {
            session: SessionId(7),
            holder_expired: false,
        },
    );
    golden.assert_text(
        "renewal-run-out",
        &HeartbeatRequest {
            session: SessionId(7),
            holder_expired: true,
        },
    );
    golden.assert_text(
        "renewed",
        &HeartbeatAccepted {
            owned: owned_resources(),
        },
    );
    let answers: [Result<HeartbeatAccepted, Rejection>; 2] = [
        Ok(HeartbeatAccepted { owned: Vec::new() }),
        Err(Rejection::SessionNotFound {
            session: SessionId(7),
        }),
    ];
    golden.assert_text("renewal-held", &answers[0]);
    golden.assert_text("renewal-over", &answers[1]);
}

fn check_heartbeat_batches(golden: &mut Golden) {
    golden.assert_text(
        "renewals",
        &HeartbeatBatchRequest {
            heartbeats: vec![(SessionId(7), false), (SessionId(9), true)],
        },
    );
    let renewed = vec![
        (SessionId(7), owned_resources()),
        (SessionId(8), Vec::new()),
    ];
    golden.assert_text(
        "renewed-all",
        &HeartbeatBatchResponse {
            shortest_lease: Some(Micros(9_000_000)),
            renewed,
            ended: vec![SessionId(9), SessionId(10)],
        },
    );
    let none = HeartbeatBatchResponse {
        shortest_lease: None,
        renewed: Vec::new(),
        ended: Vec::new(),
    };
    golden.assert_text("renewed-all-none", &none);
}

fn check_commands_and_outcomes(golden: &mut Golden) {
    for (name, command) in commands() {
        golden.assert_text(name, &command);
    }
    for (name, rejection) in rejections() {
        golden.assert_text(name, &rejection);
    }
    golden.assert_text(
        "answer-opened",
        &CommandOutcome::SessionOpened {
            session: SessionId(7),
            lease: Micros(9_000_000),
        },
    );
    golden.assert_text(
        "answer-owned",
        &CommandOutcome::Claimed {
            token: FencingToken(3),
            writes: 2,
            checkpoint: "row 12".to_string(),
        },
    );
    golden.assert_text("answer-done", &CommandOutcome::Done);
    golden.assert_text(
        "answer-each",
        &CommandOutcome::Batch(vec![
            CommandOutcome::Done,
            CommandOutcome::Rejected(Rejection::NestedBatch),
        ]),
    );
    golden.assert_text(
        "answer-refused",
        &CommandOutcome::Rejected(Rejection::SessionNotFound {
            session: SessionId(7),
        }),
    );
    let requests = vec![
        BatchedRequest::OpenSession(open_session()),
        BatchedRequest::Command(fenced_write()),
    ];
    golden.assert_text("wishes", &CommandBatchRequest { requests });
}

fn check_views_and_errors(golden: &mut Golden) {
    golden.assert_text("relay-status", &session_proxy_status());
    golden.assert_text("look", &state_view());
    golden.assert_text(
        "backup",
        &Backup {
            format: 1,
            group: "north".to_string(),
            state: state(),
        },
    );
    golden.assert_text("status", &status(Some(2), Some(40)));
    golden.assert_text("status-unknown", &status(None, None));
    let error = ErrorResponse {
        message: "ask that one".to_string(),
        leader: Some(2),
        may_have_happened: false,
    };
    golden.assert_text("trouble", &error);
    golden.assert_text(
        "trouble-unknown",
        &ErrorResponse {
            leader: None,
            may_have_happened: true,
            ..error
        },
    );
}

fn shard_count() -> ShardCount {
    ShardCount::new(1_024).expect("a valid shard count")
}

fn endpoint() -> Endpoint {
    Endpoint {
        uid: "t-5".into(),
        destination: 5,
        address: ([10, 0, 0, 1], 80).into(),
        zone: "a".into(),
        kind: "one".into(),
        draining: true,
        weight: 1_500,
    }
}

fn shard_version() -> ShardVersion {
    ShardVersion {
        shard: ShardId(3),
        version: Version {
            term: PublisherTerm(4),
            number: 12,
        },
        digest: Digest(1 << 100),
    }
}

#[test]
fn every_message_of_the_shard_map_has_its_golden_json() {
    let mut golden = Golden::read(include_str!("golden/shard_map.txt"));
    golden.assert_text(
        "ask-each",
        &SyncRequest::Shards {
            shard_count: shard_count(),
            versions: vec![shard_version()],
        },
    );
    golden.assert_text(
        "ask-span",
        &SyncRequest::Span {
            shard_count: shard_count(),
            first: 16,
            count: 64,
            digest: Digest(u128::MAX),
        },
    );
    let numbered = VersionedChange {
        shard: ShardId(3),
        version: Version {
            term: PublisherTerm(4),
            number: 12,
        },
        digest_after: Digest(7),
        change: Change {
            destination: 5,
            operations: vec![Operation::Put(endpoint()), Operation::Remove("t-6".into())],
        },
    };
    golden.assert_text("told-change", &Update::Change(numbered));
    golden.assert_text("told-stand", &Update::Version(shard_version()));
    golden.assert_text(
        "told-whole",
        &Update::Snapshot {
            version: shard_version(),
            endpoints: vec![endpoint()],
        },
    );
    golden.assert_text(
        "told-same",
        &Update::SpanMatches {
            term: PublisherTerm(4),
            first: 16,
            count: 64,
            digest: Digest(0),
        },
    );
    let digests = vec![Digest(1), Digest(2)];
    golden.assert_text(
        "told-parts",
        &Update::SpanDigests {
            term: PublisherTerm(4),
            first: 16,
            part_length: 32,
            digests,
        },
    );
    golden.assert_all_seen();
}

/// `milletturn fleet hold` prints these messages as part of its JSON, so they must not change.
#[test]
fn each_rejection_keeps_its_message() {
    let golden = Golden::read(include_str!("golden/rejections.txt"));
    for (name, rejection) in rejections() {
        assert_eq!(rejection.to_string(), golden.texts[name], "{name}");
    }
    assert_eq!(golden.texts.len(), rejections().len());
}

#[test]
fn paths_headers_and_bounds_are_unchanged() {
    let paths = [
        (messages::OPEN_SESSION_PATH, "/v1/open"),
        (messages::HEARTBEAT_PATH, "/v1/renew"),
        (messages::HEARTBEAT_BATCH_PATH, "/v1/renew-all"),
        (messages::COMMAND_BATCH_PATH, "/v1/write-all"),
        (messages::SESSION_PROXY_STATUS_PATH, "/v1/relay"),
        (messages::COMMAND_PATH, "/v1/order"),
        (messages::STATE_PATH, "/v1/book"),
        (messages::STATUS_PATH, "/v1/status"),
        (messages::BACKUP_PATH, "/v1/backup"),
        (messages::APPEND_ENTRIES_PATH, "/consensus/append"),
        (messages::VOTE_PATH, "/consensus/vote"),
        (messages::INSTALL_SNAPSHOT_PATH, "/consensus/snapshot"),
        (shard_map::SHARD_MAP_PATH, "/v1/catalog"),
    ];
    for (path, expected) in paths {
        assert_eq!(path, expected);
    }
    let headers = [
        messages::VERSION_HEADER,
        messages::GROUP_HEADER,
        messages::ORIGIN_HEADER,
        messages::COORDINATOR_HEADER,
    ];
    assert_eq!(
        headers,
        [
            "milletturn-wire",
            "milletturn-group",
            "milletturn-origin",
            "milletturn-steward"
        ]
    );
    assert_eq!(
        (messages::PROTOCOL_VERSION, messages::BACKUP_FORMAT),
        ("1", 1)
    );
    let bounds = [
        messages::MAX_CALL_BYTES,
        messages::MAX_COMMAND_BATCH_BYTES,
        messages::MAX_BODY_BYTES,
        shard_map::MAX_SYNC_REQUEST_BYTES,
    ];
    assert_eq!(bounds, [16_384, 65_600, 33_554_432, 82_432]);
}

/// Responds to each path that the tests request with a different result or error. The field is the coordinator's id;
/// with `None`, the responses have no id, as those of a session proxy.
struct Coordinator(Option<u64>);

impl Handler for Coordinator {
    fn group(&self) -> &str {
        "north"
    }

    fn coordinator_id(&self) -> Option<u64> {
        self.0
    }

    async fn handle(&self, request: Request<Incoming>) -> HandlerResult {
        match request.uri().path() {
            messages::STATUS_PATH => to_json(&status(Some(2), None)),
            messages::COMMAND_PATH => {
                let command: Command = read_json(request, messages::MAX_CALL_BYTES).await?;
                assert_eq!(command, fenced_write());
                to_json(&CommandOutcome::Done)
            }
            messages::STATE_PATH => {
                let message = "another steward leads".to_string();
                let body = ErrorResponse {
                    message,
                    leader: Some(2),
                    may_have_happened: false,
                };
                Err(CallError {
                    status: StatusCode::MISDIRECTED_REQUEST,
                    body,
                })
            }
            _ => Err(CallError::rejected(StatusCode::NOT_FOUND, "no such path")),
        }
    }
}

async fn open<H: Handler>(handler: H) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("bound").to_string();
    tokio::task::spawn_local(async move {
        Server::new("test", ConnectionLimit::new(4), Rc::new(handler))
            .serve(listener)
            .await;
    });
    address
}

/// Sends the bytes, and returns the response without its date and with line feeds as line ends.
async fn response_to(address: &str, bytes: &str) -> String {
    let mut stream = TcpStream::connect(address).await.expect("reached");
    stream.write_all(bytes.as_bytes()).await.expect("written");
    let mut text = Vec::new();
    stream.read_to_end(&mut text).await.expect("read");
    let text = String::from_utf8(text).expect("text").replace("\r\n", "\n");
    text.split_inclusive('\n')
        .filter(|line| !line.starts_with("date: "))
        .collect()
}

fn call(method: &str, path: &str, group: &str, version: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "{method} {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\nmilletturn-group: {group}\r\n\
         milletturn-wire: {version}\r\ncontent-length: {length}\r\n\r\n{body}"
    )
}

/// A source of a shard map with one endpoint.
fn shard_map_source() -> ShardMapSource {
    let limits = Limits::new(6_000, 17, 64 << 20, 8);
    let mut source = ShardMapSource::new(shard_count(), limits, PublisherTerm(1));
    let change = Change {
        destination: 5,
        operations: vec![Operation::Put(endpoint())],
    };
    source.propose(change).expect("valid");
    source
}

/// Requests to the service: two valid ones, and then some that are rejected.
fn service_calls() -> Vec<String> {
    let command = serde_json::to_string(&fenced_write()).expect("written");
    let long = format!("{command}{}", " ".repeat(messages::MAX_CALL_BYTES));
    let post = |body: &str| call("POST", messages::COMMAND_PATH, "north", "1", body);
    let get = |path, group, version| call("GET", path, group, version, "");
    vec![
        get(messages::STATUS_PATH, "north", "1"),
        post(&command),
        post(&command[..9]),
        post(&long),
        get(messages::STATE_PATH, "north", "1"),
        get("/v1/other", "north", "1"),
        get(messages::STATUS_PATH, "south", "1"),
        get(messages::STATUS_PATH, "north", "2"),
        "GET /v1/status HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n".to_string(),
    ]
}

/// Requests to the shard map: a valid one, and then some that are rejected.
fn shard_map_calls() -> Vec<String> {
    let span = |count| {
        let request = SyncRequest::Span {
            shard_count: shard_count(),
            first: 0,
            count,
            digest: Digest(1),
        };
        serde_json::to_string(&request).expect("written")
    };
    let other_shard_count = span(1_024).replace("\"ranges\":1024", "\"ranges\":512");
    let post = |body: &str| call("POST", shard_map::SHARD_MAP_PATH, "north", "1", body);
    vec![
        post(&span(4)),
        post(&span(2_000)),
        post(&other_shard_count),
        call("GET", shard_map::SHARD_MAP_PATH, "north", "1", ""),
        call("GET", "/v1/open", "north", "1", ""),
    ]
}

#[test]
fn responses_of_the_server_equal_the_golden_data() {
    run(async {
        let coordinator = open(Coordinator(Some(3))).await;
        let proxy = open(Coordinator(None)).await;
        let source = Rc::new(RefCell::new(shard_map_source()));
        let shards = open(ShardMapHandler::new("north", source)).await;
        let mut calls: Vec<(&str, String)> = Vec::new();
        calls.extend(
            service_calls()
                .into_iter()
                .map(|call| (&*coordinator, call)),
        );
        let status = call("GET", messages::STATUS_PATH, "north", "1", "");
        calls.insert(1, (&*proxy, status));
        calls.extend(shard_map_calls().into_iter().map(|call| (&*shards, call)));
        let mut answers = String::new();
        for (address, call) in &calls {
            answers.push_str(&response_to(address, call).await);
            answers.push_str("\n----\n");
        }
        assert_eq!(answers, include_str!("golden/answers.txt"));
    });
}

#[test]
fn requests_of_the_client_equal_the_golden_data() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("bound").to_string();
        let serving = tokio::task::spawn_local(async move {
            let mut requests = String::new();
            for answer in [
                "HTTP/1.1 200 OK\r\nmilletturn-steward: 3\r\ncontent-length: 6\r\n\r\n\"done\"",
                "HTTP/1.1 421 Misdirected Request\r\ncontent-length: 51\r\n\r\n\
                 {\"why\":\"ask 2\",\"leader\":2,\"may_have_happened\":true}",
            ] {
                let (mut stream, _) = listener.accept().await.expect("a call");
                let mut bytes = vec![0; 4_096];
                let count = stream.read(&mut bytes).await.expect("read");
                requests.push_str(&String::from_utf8_lossy(&bytes[..count]).replace("\r\n", "\n"));
                requests.push_str("\n----\n");
                stream.write_all(answer.as_bytes()).await.expect("written");
            }
            requests
        });
        let time_limit = Duration::from_secs(20);
        let mut client = Client::new(&address, "north").with_origin("f00d");
        let reply = client
            .call::<CommandOutcome>(messages::COMMAND_PATH, Some(&fenced_write()), time_limit)
            .await
            .expect("answered");
        assert_eq!(
            (reply.coordinator, reply.result),
            (Some(3), Ok(CommandOutcome::Done))
        );
        let mut client = Client::new(&address, "north");
        let reply = client
            .call::<CoordinatorStatus>(messages::STATUS_PATH, None::<&()>, time_limit)
            .await
            .expect("answered");
        let error = ErrorResponse {
            message: "ask 2".to_string(),
            leader: Some(2),
            may_have_happened: true,
        };
        assert_eq!((reply.coordinator, reply.result), (None, Err(error)));
        let requests = serving.await.expect("served").replace(&address, "ADDRESS");
        assert_eq!(requests, include_str!("golden/requests.txt"));
    });
}
