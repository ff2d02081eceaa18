//! Guards digests, responses and assignments against changes: those of a fixed map and a fixed membership must be the
//! ones that an earlier build computed and that `golden/map.txt` and `golden/assignment.txt` contain.

mod common;

use common::{
    assume_leadership, change_of, empty_membership, empty_source, endpoint, full_endpoint, members,
    put, remove, replica, shard_count, version_of,
};
use milletturn_shard_map::{
    Assignment, Digest, Member, Operation, ShardCount, ShardId, ShardMapReplica, ShardMapSource,
    SyncRequest, Update, Version,
};
use serde::Serialize;
use std::fmt::Write;

const MAP: &str = include_str!("golden/map.txt");
const ASSIGNMENT: &str = include_str!("golden/assignment.txt");

/// A map in which some destinations have several endpoints, and some endpoints were changed, drained or removed.
fn fixed_map() -> ShardMapSource {
    let mut source = empty_source(shard_count(64), 3);
    for destination in 0..200u64 {
        for n in 0..1 + destination % 3 {
            let uid = format!("d{destination}-e{n}");
            let port = 1_000 + (destination * 7 + n) as u16;
            source.propose(put(destination, &uid, port)).expect("valid");
        }
    }
    for destination in (0..200u64).step_by(9) {
        let uid = format!("d{destination}-e0");
        let mut drained = endpoint(destination, &uid, 9_000);
        drained.draining = true;
        drained.weight = destination;
        drained.address = format!("[2001:db8::{destination:x}]:443")
            .parse()
            .expect("an address");
        let drain = change_of(destination, vec![Operation::Put(drained)]);
        source.propose(drain).expect("valid");
    }
    for destination in (2..200u64).step_by(6) {
        source
            .propose(remove(destination, &format!("d{destination}-e1")))
            .expect("valid");
    }
    assume_leadership(&mut source, 4);
    source.propose(put(17, "d17-e0", 7_777)).expect("valid");
    source
}

/// The results of a test as text, to be compared line by line with a golden file.
#[derive(Default)]
struct Transcript(String);

impl Transcript {
    fn record(&mut self, text: &str) {
        writeln!(self.0, "{text}").expect("in memory");
    }

    fn record_json(&mut self, label: &str, value: &impl Serialize) {
        let text = serde_json::to_string(value).expect("written");
        self.record(&format!("{label} {text}"));
    }
}

fn record_digests(transcript: &mut Transcript) {
    for endpoint in [full_endpoint(), endpoint(7, "endpoint-1", 80)] {
        transcript.record(&format!(
            "row digest {} size {}",
            endpoint.digest(),
            endpoint.size_bytes()
        ));
    }
    transcript.record(&format!("digest of bytes {}", Digest::of(b"shard")));
    for destination in [0, 1, 2, 41, 1_000_000, u64::MAX] {
        transcript.record(&format!(
            "destination {destination} range {} of 65536, {} of 1000",
            ShardCount::default().shard_of(destination).0,
            shard_count(1_000).shard_of(destination).0
        ));
    }
}

fn record_source(transcript: &mut Transcript, source: &ShardMapSource) {
    transcript.record(&format!("size {}", source.size_bytes()));
    for id in source.shard_count().shards() {
        let shard = source.shard(id).expect("an existing shard");
        let Version { term, number } = shard.version();
        transcript.record(&format!(
            "range {} term {term} number {number} rows {} size {} digest {} mark {}",
            id.0,
            shard.endpoints().len(),
            shard.size_bytes(),
            shard.digest(),
            shard.versioned_digest(id)
        ));
    }
}

/// Records the requests and updates with which an empty replica of all shards catches up by snapshots.
fn record_first_sync(transcript: &mut Transcript, source: &ShardMapSource) -> ShardMapReplica {
    let mut replica = replica(shard_count(64));
    replica.subscribe(shard_count(64).shards());
    let mut requests = replica.sync_requests();
    while let Some(request) = requests.pop() {
        transcript.record_json("ask", &request);
        for update in source.respond(&request).expect("valid") {
            transcript.record_json("told", &update);
            requests.extend(replica.apply(update).expect("applied").requests);
        }
    }
    transcript.record_json("check", &replica.sync_requests());
    replica
}

fn record_responses(
    transcript: &mut Transcript,
    label: &str,
    requests: &[SyncRequest],
    source: &ShardMapSource,
) {
    for request in requests {
        let response = source.respond(request).expect("valid");
        transcript.record_json(label, &response);
    }
}

/// The request of a replica for the updates of one shard.
fn request_for(replica: &ShardMapReplica, id: ShardId) -> [SyncRequest; 1] {
    let shard = replica.shard(id).expect("subscribed");
    [SyncRequest::Shards {
        shard_count: replica.shard_count(),
        versions: vec![version_of(id, shard)],
    }]
}

/// Compares digests and sizes of endpoints, shards and spans, and the responses that contain them.
#[test]
fn digests_and_responses_of_a_fixed_map_are_unchanged() {
    let mut transcript = Transcript::default();
    record_digests(&mut transcript);
    let mut source = fixed_map();
    record_source(&mut transcript, &source);
    let mut replica = record_first_sync(&mut transcript, &source);
    // the replica lacks one change
    let missed = source.propose(put(17, "d17-e1", 1_117)).expect("valid");
    transcript.record_json("missed", &missed);
    let request = request_for(&replica, missed.shard);
    record_responses(&mut transcript, "caught up", &request, &source);
    let requests = replica.sync_requests();
    record_responses(&mut transcript, "parts", &requests, &source);
    replica.apply(Update::Change(missed)).expect("next");
    let requests = replica.sync_requests();
    record_responses(&mut transcript, "equal", &requests, &source);
    // the same endpoints, confirmed under a later term
    assume_leadership(&mut source, 5);
    let request = request_for(&replica, ShardId(3));
    record_responses(&mut transcript, "confirmed", &request, &source);
    assert_equal_by_line(&transcript.0, MAP);
}

fn assert_equal_by_line(written: &str, golden: &str) {
    for (number, (written, golden)) in written.lines().zip(golden.lines()).enumerate() {
        assert_eq!(written, golden, "line {}", number + 1);
    }
    assert_eq!(written, golden);
}

/// Compares the senders of each shard, in order, for a first membership and after each of three changes to it.
#[test]
fn assignments_of_a_fixed_membership_are_unchanged() {
    let count = 256;
    let mut written = String::new();
    let mut all = members(40, 5);
    for n in 0..10 {
        all.get_mut(format!("sender-{}", n * 4).as_str())
            .expect("a member")
            .weight = 1 + n as u8 % 4;
    }
    let mut current = empty_membership(2, 3)
        .with_members(all.clone(), shard_count(count))
        .expect("valid");
    let mut assignment = Assignment::new(shard_count(count), current.clone());
    record_assignment(&mut written, "first", &assignment);
    all.remove("sender-11");
    all.insert(
        "sender-new".into(),
        Member {
            zone: "zone-9".into(),
            weight: 3,
        },
    );
    all.get_mut("sender-7").expect("a member").zone = "zone-0".into();
    current = current
        .with_members(all.clone(), shard_count(count))
        .expect("valid");
    writeln!(written, "{:?}", assignment.update(current.clone()).gained).expect("in memory");
    record_assignment(&mut written, "changed", &assignment);
    all.retain(|name, member| &*member.zone != "zone-3" || &**name == "sender-3");
    current = current
        .with_members(all.clone(), shard_count(count))
        .expect("valid");
    let moved = assignment.update(current.clone());
    writeln!(written, "gained {} lost {}", moved.gained, moved.lost).expect("in memory");
    record_assignment(&mut written, "zone gone", &assignment);
    all.retain(|name, _| ["sender-0", "sender-1"].contains(&&**name));
    current = current
        .with_members(all, shard_count(count))
        .expect("valid");
    let moved = assignment.update(current);
    writeln!(written, "gained {} lost {}", moved.gained, moved.lost).expect("in memory");
    record_assignment(&mut written, "two left", &assignment);
    assert_equal_by_line(&written, ASSIGNMENT);
}

fn record_assignment(written: &mut String, title: &str, assignment: &Assignment) {
    let membership = serde_json::to_string(assignment.membership()).expect("written");
    writeln!(
        written,
        "{title} short {} {membership}",
        assignment.unassigned_replicas()
    )
    .expect("in memory");
    writeln!(written, "loads {:?}", assignment.loads()).expect("in memory");
    for id in shard_count(256).shards() {
        let names: Vec<&str> = assignment.senders_of(id).collect();
        writeln!(written, "{} {}", id.0, names.join(" ")).expect("in memory");
    }
    let first = assignment
        .shards_of("sender-0")
        .iter()
        .map(|id| id.0.to_string())
        .collect::<Vec<_>>();
    writeln!(written, "sender-0 {}", first.join(" ")).expect("in memory");
}
