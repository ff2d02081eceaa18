//! Golden data of the calls between coordinators, from both sides: the requests sent and the responses given.

use crate::support::{
    assert_golden, golden_text, log_entries, log_id, snapshot_meta, state, stored_membership,
};
use milletturn_coordination::CoordinationState;
use milletturn_coordination_protocol::server::{ConnectionLimit, Server};
use milletturn_coordinator::leadership::Leadership;
use milletturn_coordinator::peers::{PeerClient, PeerNetwork};
use milletturn_coordinator::raft_log::RaftLog;
use milletturn_coordinator::request_handler::{MAX_CONNECTIONS, RequestHandler};
use milletturn_coordinator::settings::Settings;
use milletturn_coordinator::state_machine::StateMachine;
use milletturn_coordinator::storage::{RaftStorage, ReplicaIdentity};
use milletturn_coordinator::{Raft, RaftTypes};
use openraft::error::{RPCError, RaftError};
use openraft::network::{RPCOption, RaftNetwork, RaftNetworkFactory};
use openraft::raft::{
    AppendEntriesRequest, AppendEntriesResponse, InstallSnapshotRequest, InstallSnapshotResponse,
    VoteRequest, VoteResponse,
};
use openraft::{BasicNode, Config, Vote};
use std::collections::BTreeMap;
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tempfile::TempDir;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::LocalSet;

const TIMEOUT: Duration = Duration::from_secs(60);
const ORIGIN: &str = "1-0badcafe";

fn append_request() -> AppendEntriesRequest<RaftTypes> {
    AppendEntriesRequest {
        vote: Vote::new_committed(5, 2),
        prev_log_id: None,
        entries: log_entries(0),
        leader_commit: Some(log_id(14)),
    }
}

fn vote_request() -> VoteRequest<u64> {
    VoteRequest::new(Vote::new(5, 2), Some(log_id(0)))
}

fn snapshot_request(offset: u64) -> InstallSnapshotRequest<RaftTypes> {
    InstallSnapshotRequest {
        vote: Vote::new_committed(5, 2),
        meta: snapshot_meta(40),
        offset,
        data: serde_json::to_vec(&state()).expect("text"),
        done: true,
    }
}

/// Responds to each call in turn with the given replies, and returns the requests received.
async fn record(listener: TcpListener, replies: Vec<String>) -> Vec<String> {
    let mut requests = Vec::new();
    let (mut stream, _) = listener.accept().await.expect("a caller");
    for reply in replies {
        let mut bytes = Vec::new();
        loop {
            let text = String::from_utf8_lossy(&bytes);
            if let Some((head, body)) = text.split_once("\r\n\r\n") {
                let length = head
                    .lines()
                    .find_map(|line| line.strip_prefix("content-length: "));
                if length.and_then(|length| length.parse().ok()) == Some(body.len()) {
                    break;
                }
            }
            let count = stream.read_buf(&mut bytes).await.expect("a request");
            assert_ne!(count, 0, "the caller closed the connection");
        }
        let request = String::from_utf8(bytes).expect("text");
        let call = request
            .lines()
            .find(|line| line.starts_with("milletturn-call: "));
        let (status, body) = reply.split_once(' ').expect("a status");
        let answer = format!(
            "HTTP/1.1 {status} X\r\n{}\r\ncontent-length: {}\r\n\r\n{body}",
            call.expect("a call number"),
            body.len()
        );
        requests.push(request);
        stream.write_all(answer.as_bytes()).await.expect("answered");
    }
    requests
}

async fn peer(address: String) -> PeerClient {
    // the address in the caller's settings takes precedence over the one in the group's membership
    let addresses = BTreeMap::from([(3, address)]);
    let mut peers = PeerNetwork {
        group: "harbour".into(),
        origin: ORIGIN.into(),
        addresses,
    };
    peers.new_client(3, &BasicNode::new("10.0.0.3:7301")).await
}

#[test]
fn calls_to_another_replica_equal_the_golden_data_and_each_reply_is_read() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("bound").to_string();
        let replies = golden_text("replies-to-peer.txt")
            .lines()
            .map(String::from)
            .collect::<Vec<_>>();
        let recording = tokio::task::spawn_local(record(listener, replies));
        let mut peer = peer(address.clone()).await;
        check_replies_that_succeed(&mut peer).await;
        check_replies_that_fail(&mut peer).await;
        let requests = recording.await.expect("recorded").join("\n----\n");
        assert_golden(
            "requests-of-peer.txt",
            &requests.replace(&address, "ADDRESS").replace('\r', ""),
        );
    });
}

fn option() -> RPCOption {
    RPCOption::new(TIMEOUT)
}

async fn check_replies_that_succeed(peer: &mut PeerClient) {
    for expected in [
        AppendEntriesResponse::Success,
        AppendEntriesResponse::PartialSuccess(Some(log_id(7))),
        AppendEntriesResponse::Conflict,
        AppendEntriesResponse::HigherVote(Vote::new(6, 1)),
    ] {
        let appended = peer.append_entries(append_request(), option()).await;
        assert_eq!(appended.expect("a reply"), expected);
    }
    let vote = peer.vote(vote_request(), option()).await.expect("a reply");
    let expected = VoteResponse {
        vote: Vote::new(5, 2),
        vote_granted: true,
        last_log_id: Some(log_id(1)),
    };
    assert_eq!(vote, expected);
    let installed = peer.install_snapshot(snapshot_request(0), option()).await;
    let expected = InstallSnapshotResponse {
        vote: Vote::new_committed(5, 2),
    };
    assert_eq!(installed.expect("a reply"), expected);
}

async fn check_replies_that_fail(peer: &mut PeerClient) {
    let mismatch = peer.install_snapshot(snapshot_request(0), option()).await;
    let mismatch = mismatch.expect_err("an error");
    let RPCError::RemoteError(remote) = mismatch else {
        panic!("{mismatch}")
    };
    let RaftError::APIError(error) = remote.source else {
        panic!("{}", remote.source)
    };
    let openraft::error::InstallSnapshotError::SnapshotMismatch(error) = error;
    assert_eq!((error.expect.offset, error.got.offset), (0, 9));
    let fatal = peer.vote(vote_request(), option()).await;
    let fatal = fatal.expect_err("an error");
    assert!(
        matches!(&fatal, RPCError::RemoteError(remote)
            if remote.target == 3 && matches!(remote.source, RaftError::Fatal(_))),
        "{fatal}"
    );
    let rejected = peer.vote(vote_request(), option()).await;
    let rejected = rejected.expect_err("an error");
    assert!(matches!(rejected, RPCError::Unreachable(_)), "{rejected}");
    assert!(rejected.to_string().contains("another book"), "{rejected}");
}

/// Sends a request as plain text; returns the response's head without its date, and its body.
async fn call(address: &str, method: &str, path: &str, headers: &str, body: &str) -> String {
    let mut stream = TcpStream::connect(address).await.expect("connected");
    let length = body.len();
    let request = format!(
        "{method} {path} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n{headers}content-length: {length}\r\n\r\n{body}"
    );
    stream.write_all(request.as_bytes()).await.expect("sent");
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).await.expect("a reply");
    let text = String::from_utf8(bytes).expect("text").replace('\r', "");
    let lines: Vec<&str> = text
        .lines()
        .filter(|line| !line.starts_with("date: "))
        .collect();
    format!("> {method} {path}\n{}\n", lines.join("\n"))
}

/// A running replica that never starts an election by itself.
async fn replica(folder: &Path) -> (StateMachine, RaftStorage, String) {
    let identity = ReplicaIdentity {
        group: "harbour".into(),
        id: 3,
        founding_replicas: Vec::new(),
        origin: ORIGIN.into(),
    };
    RaftStorage::bootstrap(folder, &identity, &CoordinationState::default()).expect("bootstrapped");
    let storage = RaftStorage::open(folder, "harbour", 3).expect("opened");
    let state_machine = StateMachine::open(storage.clone()).expect("opened");
    let config = Config {
        cluster_name: "harbour".into(),
        enable_tick: false,
        // the intervals are longer than the test runs, so that a vote for another candidate is rejected throughout
        heartbeat_interval: 30_000,
        election_timeout_min: 60_000,
        election_timeout_max: 120_000,
        ..Config::default()
    };
    let config = Arc::new(config.validate().expect("a valid configuration"));
    let peers = PeerNetwork {
        group: "harbour".into(),
        origin: ORIGIN.into(),
        addresses: BTreeMap::new(),
    };
    let log = RaftLog {
        storage: storage.clone(),
    };
    let raft = Raft::new(3, config, peers, log, state_machine.clone())
        .await
        .expect("Raft starts");
    let text = golden_text("steward.toml").replacen("id = 2", "id = 3", 1);
    let settings = Settings::parse(&folder.join("steward.toml"), &text).expect("valid settings");
    let leadership = Leadership::new(raft, state_machine.clone());
    let handler = Rc::new(RequestHandler {
        settings,
        origin: ORIGIN.into(),
        leadership,
    });
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("bound").to_string();
    let limit = ConnectionLimit::new(MAX_CONNECTIONS);
    tokio::task::spawn_local(Server::new("coordinator", limit, handler).serve(listener));
    (state_machine, storage, address)
}

fn body(request: &impl serde::Serialize) -> String {
    serde_json::to_string(request).expect("text")
}

fn headers(origin: &str) -> String {
    format!("milletturn-group: harbour\r\nmilletturn-wire: 1\r\nmilletturn-origin: {origin}\r\n")
}

/// The bodies of an append, a vote and a snapshot request. Checks that the golden file of outgoing calls contains them.
fn golden_bodies() -> (String, String, String) {
    let bodies = [
        body(&append_request()),
        body(&vote_request()),
        body(&snapshot_request(0)),
    ];
    for text in &bodies {
        assert!(
            golden_text("requests-of-peer.txt").contains(text.as_str()),
            "{text}"
        );
    }
    let [append, vote, snapshot] = bodies;
    (append, vote, snapshot)
}

#[test]
fn responses_to_another_replica_equal_the_golden_data() {
    run(async {
        let folder = TempDir::new().expect("a folder");
        let (state_machine, storage, address) = replica(folder.path()).await;
        let valid_headers = headers(ORIGIN);
        let mut replies = String::new();
        let (append, vote, snapshot) = golden_bodies();
        let (later_vote, mismatch) = (
            body(&VoteRequest::new(Vote::new(6u64, 1), None)),
            body(&snapshot_request(9)),
        );
        for (method, path, headers, body) in [
            ("POST", "/consensus/vote", &valid_headers, &vote),
            ("POST", "/consensus/append", &valid_headers, &append),
            // a vote for another candidate is rejected during the leader's lease
            ("POST", "/consensus/vote", &valid_headers, &later_vote),
            ("POST", "/consensus/snapshot", &valid_headers, &mismatch),
            (
                "POST",
                "/consensus/append",
                &valid_headers,
                &String::from("{}"),
            ),
            ("GET", "/consensus/append", &valid_headers, &String::new()),
            ("POST", "/consensus/append", &headers("new"), &append),
            ("POST", "/consensus/nothing", &valid_headers, &append),
        ] {
            replies.push_str(&call(&address, method, path, headers, body).await);
        }
        // the appended entries are committed, and Raft applies them asynchronously
        while state_machine.read(|current| current != &state()) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        assert_eq!(storage.entries(..).expect("read"), log_entries(0));
        assert_eq!(
            storage.vote().expect("read"),
            Some(Vote::new_committed(5, 2))
        );
        replies.push_str(
            &call(
                &address,
                "POST",
                "/consensus/snapshot",
                &valid_headers,
                &snapshot,
            )
            .await,
        );
        assert_golden("replies-of-replica.txt", &replies);
        let stored = storage.snapshot().expect("read").expect("a snapshot");
        assert_eq!(
            (stored.meta.last_log_id, stored.meta.last_membership),
            (Some(log_id(40)), stored_membership(0))
        );
        assert_eq!(stored.state_json.as_bytes(), snapshot_request(0).data);
    });
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let within = async { tokio::time::timeout(TIMEOUT, test).await.expect("in time") };
    LocalSet::new().block_on(&runtime, within);
}
