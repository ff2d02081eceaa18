//! Synchronization of the shard map from a source through a replica to a sender, and the rejection of malformed
//! requests.

mod common;

use common::run;
use milletturn_coordination_protocol::Client;
use milletturn_coordination_protocol::server::{ConnectionLimit, Server};
use milletturn_coordination_protocol::shard_map::{
    CatchUpError, MAX_SYNC_REQUEST_BYTES, SHARD_MAP_PATH, ShardMapHandler, SyncRound,
    UpdatePublisher, catch_up,
};
use milletturn_shard_map::{Change, Endpoint, Operation};
use milletturn_shard_map::{
    LeaderTerm, Limits, ShardCount, ShardId, ShardMapReplica, ShardMapSource, SyncRequest,
};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

const GROUP: &str = "north";
const TIME_LIMIT: Duration = Duration::from_secs(60);

fn shard_count() -> ShardCount {
    ShardCount::new(1_024).expect("a valid shard count")
}

fn limits() -> Limits {
    Limits::new(6_000, 17, 64 << 20, 8)
}

fn put(number: u64, port: u16) -> Change {
    let endpoint = Endpoint {
        uid: format!("t-{number}").into(),
        destination: number,
        address: ([10, 0, 0, 1], port).into(),
        zone: "a".into(),
        kind: "one".into(),
        draining: false,
        weight: 1_000,
    };
    Change {
        destination: number,
        operations: vec![Operation::Put(endpoint)],
    }
}

fn source() -> ShardMapSource {
    let mut source = ShardMapSource::new(shard_count(), limits(), LeaderTerm(1));
    for number in 0..5_000 {
        source.propose(put(number, 80)).expect("valid");
    }
    source
}

/// An empty replica that is subscribed to these shards.
fn replica(subscribed: impl Iterator<Item = ShardId>) -> Rc<RefCell<ShardMapReplica>> {
    let mut replica = ShardMapReplica::new(shard_count(), limits());
    replica.subscribe(subscribed);
    Rc::new(RefCell::new(replica))
}

/// Serves a source or a replica. Returns its address, and the task that serves it until it is aborted.
async fn serve<T: UpdatePublisher>(publisher: &Rc<RefCell<T>>) -> (String, JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("bound").to_string();
    let handler = Rc::new(ShardMapHandler::new(GROUP, publisher.clone()));
    let serving = tokio::task::spawn_local(async move {
        Server::new("shard map", ConnectionLimit::new(64), handler)
            .serve(listener)
            .await;
    });
    (address, serving)
}

fn assert_in_sync(replica: &Rc<RefCell<ShardMapReplica>>, source: &Rc<RefCell<ShardMapSource>>) {
    let (replica, source) = (replica.borrow(), source.borrow());
    for shard in replica.subscribed() {
        let (local, remote) = (
            replica.shard(shard).expect("subscribed"),
            source.shard(shard).expect("an existing shard"),
        );
        assert_eq!(
            (local.endpoints(), local.version()),
            (remote.endpoints(), remote.version()),
            "{shard:?}"
        );
    }
}

/// Sends the bytes, and returns all bytes that the server sends until it closes the connection. If `close` is set, the
/// sending side of the connection is closed after the bytes.
async fn response(address: &str, bytes: &[u8], close: bool) -> String {
    let mut stream = TcpStream::connect(address).await.expect("reached");
    stream.write_all(bytes).await.expect("written");
    if close {
        stream.shutdown().await.expect("closed");
    }
    let mut text = Vec::new();
    stream.read_to_end(&mut text).await.expect("read");
    String::from_utf8_lossy(&text).into_owned()
}

fn call(group: &str, version: &str, body: &str, length: usize) -> Vec<u8> {
    format!(
        "POST {SHARD_MAP_PATH} HTTP/1.1\r\nhost: x\r\nconnection: close\r\nmilletturn-group: {group}\r\n\
         milletturn-wire: {version}\r\ncontent-length: {length}\r\n\r\n{body}"
    )
    .into_bytes()
}

#[test]
fn changes_reach_a_sender_from_the_source_through_a_replica() {
    run(async {
        let source = Rc::new(RefCell::new(source()));
        let middle = replica(shard_count().shards());
        let sender = replica((0..12).map(ShardId));
        let ((source_addr, _), (middle_addr, _)) = (serve(&source).await, serve(&middle).await);
        let mut source_client = Client::new(source_addr, GROUP);
        let mut middle_client = Client::new(middle_addr, GROUP);
        catch_up(&mut source_client, &middle, TIME_LIMIT)
            .await
            .expect("from the source");
        assert_in_sync(&middle, &source);
        catch_up(&mut middle_client, &sender, TIME_LIMIT)
            .await
            .expect("from the replica");
        assert_in_sync(&sender, &source);

        let target = (0..)
            .find(|number| shard_count().shard_of(*number) == ShardId(3))
            .expect("a destination in shard 3");
        source.borrow_mut().propose(put(target, 81)).expect("valid");
        let round = catch_up(&mut source_client, &middle, TIME_LIMIT)
            .await
            .expect("from the source");
        assert!(round.applied >= 1 && round.requests <= 4, "{round:?}");
        let round = catch_up(&mut middle_client, &sender, TIME_LIMIT)
            .await
            .expect("from the replica");
        assert_eq!(
            round,
            SyncRound {
                requests: 1,
                applied: 1,
                ignored: 0
            },
            "the one change"
        );
        assert_in_sync(&sender, &source);
        let round = catch_up(&mut middle_client, &sender, TIME_LIMIT)
            .await
            .expect("from the replica");
        assert_eq!(
            round,
            SyncRound {
                requests: 1,
                applied: 0,
                ignored: 0
            },
            "nothing is new"
        );

        // a new leader term is synchronized too
        source
            .borrow_mut()
            .assume_leadership(LeaderTerm(2))
            .expect("a later term");
        catch_up(&mut source_client, &middle, TIME_LIMIT)
            .await
            .expect("from the source");
        catch_up(&mut middle_client, &sender, TIME_LIMIT)
            .await
            .expect("from the replica");
        assert_in_sync(&sender, &source);
    });
}

#[test]
fn a_lost_or_a_stale_replica_does_not_change_a_sender() {
    run(async {
        let source = Rc::new(RefCell::new(source()));
        let (middle, other) = (
            replica(shard_count().shards()),
            replica(shard_count().shards()),
        );
        let sender = replica((0..12).map(ShardId));
        let (source_addr, _) = serve(&source).await;
        let (middle_addr, serving) = serve(&middle).await;
        let (other_addr, _) = serve(&other).await;
        let mut source_client = Client::new(source_addr, GROUP);
        for replica in [&middle, &other] {
            catch_up(&mut source_client, replica, TIME_LIMIT)
                .await
                .expect("from the source");
        }
        for number in 0..5_000 {
            source.borrow_mut().propose(put(number, 81)).expect("valid");
        }
        catch_up(&mut source_client, &middle, TIME_LIMIT)
            .await
            .expect("from the source");
        let mut middle_client = Client::new(middle_addr, GROUP);
        catch_up(&mut middle_client, &sender, TIME_LIMIT)
            .await
            .expect("from the replica");
        assert_in_sync(&sender, &source);
        serving.abort();
        let _aborted = serving.await;
        let before = sender.borrow().clone();
        // the replica runs in the test's own process, so stopping it may leave its connections open. A new client has
        // no open connection, and its next one is refused, as if the replica's process had ended
        let mut middle_client = Client::new(middle_client.address().to_string(), GROUP);
        let error = catch_up(&mut middle_client, &sender, TIME_LIMIT)
            .await
            .expect_err("the replica is stopped");
        assert!(matches!(error, CatchUpError::Client(_)), "{error}");
        // the other replica is behind the sender, and returns no outdated updates
        let round = catch_up(&mut Client::new(other_addr, GROUP), &sender, TIME_LIMIT)
            .await
            .expect("answered");
        assert_eq!(
            (round.applied, *sender.borrow() == before),
            (0, true),
            "{round:?}"
        );
        catch_up(&mut source_client, &other, TIME_LIMIT)
            .await
            .expect("from the source");
        assert_in_sync(&other, &source);
    });
}

/// A valid request and several malformed ones, each with the expected status and a part of the expected body of its
/// response.
fn calls(valid: &str) -> Vec<(Vec<u8>, &'static str, &'static str)> {
    let other_shard_count = valid.replace("1024", "512");
    let beyond_last_shard = valid.replace("\"count\":1024", "\"count\":1025");
    let too_long = format!("{}{valid}", " ".repeat(MAX_SYNC_REQUEST_BYTES));
    let post = |body: &str| call(GROUP, "1", body, body.len());
    let to = |group, version| call(group, version, valid, valid.len());
    vec![
        (to(GROUP, "1"), "200", "parts"),
        (to("south", "1"), "409", "this is group"),
        (to(GROUP, "2"), "409", "version 1 of the wire"),
        (
            post(&other_shard_count),
            "409",
            "1024 ranges here and 512 there",
        ),
        (
            post(&beyond_last_shard),
            "409",
            "a range that does not exist",
        ),
        (post(&too_long), "413", "longer than"),
        (post(&valid[..20]), "400", "EOF"),
        (post("\u{7f}\u{0}"), "400", "expected value"),
        (post("{\"span\":{\"ranges\":0}}"), "400", "0 ranges"),
    ]
}

#[test]
fn malformed_requests_are_rejected_and_change_nothing() {
    run(async {
        let source = Rc::new(RefCell::new(source()));
        let (address, _) = serve(&source).await;
        let before = source.borrow().clone();
        let request = SyncRequest::Span {
            shard_count: shard_count(),
            first: 0,
            count: 1_024,
            digest: Default::default(),
        };
        let valid = serde_json::to_string(&request).expect("written");
        for (bytes, status, expected) in calls(&valid) {
            let answer = response(&address, &bytes, false).await;
            assert!(
                answer.starts_with(&format!("HTTP/1.1 {status}")) && answer.contains(expected),
                "{expected}: {answer}"
            );
        }
        // the client disconnects before it has sent the whole body
        let answer = response(&address, &call(GROUP, "1", &valid[..20], valid.len()), true).await;
        assert!(!answer.contains("200"), "{answer}");
        assert_eq!(*source.borrow(), before);
        let mut client = Client::new(address, GROUP);
        let sender = replica((0..12).map(ShardId));
        catch_up(&mut client, &sender, TIME_LIMIT)
            .await
            .expect("as before");
        assert_in_sync(&sender, &source);
    });
}

#[test]
fn a_publisher_with_ever_differing_digests_gets_a_bounded_number_of_requests() {
    /// Responds to each span with digests that never match the replica's, so that the replica always has more to
    /// request.
    struct MismatchingPublisher;
    impl UpdatePublisher for MismatchingPublisher {
        fn updates(
            &self,
            request: &SyncRequest,
        ) -> Result<Vec<milletturn_shard_map::Update>, milletturn_shard_map::sync::SyncError>
        {
            let digests = vec![milletturn_shard_map::Digest(7); 16];
            Ok(match request {
                SyncRequest::Span { .. } => {
                    vec![milletturn_shard_map::Update::SpanDigests {
                        term: LeaderTerm(9),
                        first: 0,
                        part_length: 64,
                        digests,
                    }]
                }
                SyncRequest::Shards { .. } => Vec::new(),
            })
        }
    }
    run(async {
        let middle = replica(shard_count().shards());
        let (address, _) = serve(&Rc::new(RefCell::new(source()))).await;
        catch_up(&mut Client::new(address, GROUP), &middle, TIME_LIMIT)
            .await
            .expect("from the source");
        let digests = |middle: &Rc<RefCell<ShardMapReplica>>| {
            let middle = middle.borrow();
            let all: Vec<_> = middle
                .subscribed()
                .map(|shard| middle.shard(shard).expect("subscribed").digest())
                .collect();
            all
        };
        let before = digests(&middle);
        let (address, _) = serve(&Rc::new(RefCell::new(MismatchingPublisher))).await;
        let ended = catch_up(&mut Client::new(address, GROUP), &middle, TIME_LIMIT).await;
        assert!(
            matches!(ended, Err(CatchUpError::Unfinished(1_024))),
            "{ended:?}"
        );
        assert_eq!(digests(&middle), before);
    });
}
