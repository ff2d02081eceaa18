//! Builders for endpoints, changes, memberships, sources and replicas, shared by the tests of this package.
#![allow(dead_code, reason = "each test program uses only some of the builders")]

use milletturn_shard_map::sync::SyncError;
use milletturn_shard_map::{
    Assignment, Change, Endpoint, LeaderTerm, Limits, Member, Membership, Operation, ShardCount,
    ShardId, ShardMapReplica, ShardMapSource, ShardReplica, ShardVersion, SyncRequest, Update,
};
use std::collections::BTreeMap;
use std::ops::Range;

pub(crate) fn endpoint(destination: u64, uid: &str, port: u16) -> Endpoint {
    Endpoint {
        uid: uid.into(),
        destination,
        address: ([10, 0, 0, 1], port).into(),
        zone: "zone-1".into(),
        kind: "standard".into(),
        draining: false,
        weight: 2_700,
    }
}

/// An endpoint with no field at its default value, whose strings have a quote and a non-ASCII letter.
pub(crate) fn full_endpoint() -> Endpoint {
    Endpoint {
        uid: "endpoint-\"7\"".into(),
        destination: 18_446_744_073_709_551_615,
        address: "[2001:db8::17]:8443".parse().expect("an address"),
        zone: "zone-é".into(),
        kind: "fragile".into(),
        draining: true,
        weight: 2_718,
    }
}

/// A change of one destination with these operations.
pub(crate) fn change_of(destination: u64, operations: Vec<Operation>) -> Change {
    Change {
        destination,
        operations,
    }
}

/// A change that adds or replaces one endpoint.
pub(crate) fn put(destination: u64, uid: &str, port: u16) -> Change {
    let operation = Operation::Put(endpoint(destination, uid, port));
    change_of(destination, vec![operation])
}

pub(crate) fn remove(destination: u64, uid: &str) -> Change {
    change_of(destination, vec![Operation::Remove(uid.into())])
}

pub(crate) fn shard_count(count: u32) -> ShardCount {
    ShardCount::new(count).expect("a valid shard count")
}

/// Limits for a link of 6 KB/s and 17 s, with a total of 64 MiB and a history of 8 changes.
pub(crate) fn limits() -> Limits {
    Limits::new(6_000, 17, 64 << 20, 8)
}

/// `count` senders of weight 1, distributed evenly over `zones` zones.
pub(crate) fn members(count: usize, zones: usize) -> BTreeMap<Box<str>, Member> {
    let member = |n: usize| {
        let zone = format!("zone-{}", n % zones).into();
        (format!("sender-{n}").into(), Member { zone, weight: 1 })
    };
    (0..count).map(member).collect()
}

/// The first membership of a term, without members.
pub(crate) fn empty_membership(term: u64, replication_factor: u8) -> Membership {
    Membership::new(LeaderTerm(term), replication_factor).expect("a valid replication factor")
}

pub(crate) fn membership(
    count: usize,
    zones: usize,
    replication_factor: u8,
    shards: u32,
) -> Membership {
    empty_membership(1, replication_factor)
        .with_members(members(count, zones), shard_count(shards))
        .expect("valid members")
}

/// An empty source that is the leader of this term.
pub(crate) fn empty_source(shard_count: ShardCount, term: u64) -> ShardMapSource {
    ShardMapSource::new(shard_count, limits(), LeaderTerm(term))
}

/// A source with one endpoint for each of the given number of destinations.
pub(crate) fn filled_source(shard_count: ShardCount, destinations: u64) -> ShardMapSource {
    let mut source = empty_source(shard_count, 1);
    for n in 0..destinations {
        source.propose(put(n, &format!("u{n}"), 80)).expect("valid");
    }
    source
}

/// Makes the source the leader of a later term.
pub(crate) fn assume_leadership(source: &mut ShardMapSource, term: u64) {
    source
        .assume_leadership(LeaderTerm(term))
        .expect("a later term");
}

/// Proposes one change for each port, which moves the destination's endpoint to that port.
pub(crate) fn port_changes(
    source: &mut ShardMapSource,
    destination: u64,
    ports: Range<u16>,
) -> Vec<Update> {
    let uid = format!("u{destination}");
    ports
        .map(|port| Update::Change(source.propose(put(destination, &uid, port)).expect("valid")))
        .collect()
}

pub(crate) fn replica(shard_count: ShardCount) -> ShardMapReplica {
    ShardMapReplica::new(shard_count, limits())
}

/// A replica of all shards that has caught up with the source.
pub(crate) fn synced_replica(source: &ShardMapSource) -> ShardMapReplica {
    let mut replica = replica(source.shard_count());
    replica.subscribe(source.shard_count().shards());
    catch_up(&mut replica, |request| source.respond(request));
    assert_in_sync(&replica, source);
    replica
}

/// Sends requests and applies the responses until no request is left; returns the number of requests.
pub(crate) fn catch_up(
    replica: &mut ShardMapReplica,
    respond: impl Fn(&SyncRequest) -> Result<Vec<Update>, SyncError>,
) -> usize {
    let (mut requests, mut sent) = (replica.sync_requests(), 0);
    while let Some(request) = requests.pop() {
        sent += 1;
        assert!(sent < 10_000, "the replica does not stop sending requests");
        for update in respond(&request).expect("a valid request") {
            if let Ok(outcome) = replica.apply(update) {
                requests.extend(outcome.requests);
            }
        }
    }
    sent
}

/// Asserts that all subscribed shards of the replica have the endpoints and versions of the source.
pub(crate) fn assert_in_sync(replica: &ShardMapReplica, source: &ShardMapSource) {
    for id in replica.subscribed() {
        let local = replica.shard(id).expect("subscribed");
        let remote = source.shard(id).expect("an existing shard");
        assert_eq!(local.endpoints(), remote.endpoints(), "{id:?}");
        assert_eq!(local.version(), remote.version(), "{id:?}");
    }
}

pub(crate) fn version_of(id: ShardId, shard: &ShardReplica) -> ShardVersion {
    ShardVersion {
        shard: id,
        version: shard.version(),
        digest: shard.digest(),
    }
}

pub(crate) fn snapshot_of(id: ShardId, shard: &ShardReplica) -> Update {
    Update::Snapshot {
        version: version_of(id, shard),
        endpoints: shard.endpoints().to_vec(),
    }
}

/// The next version of the membership, without these members.
pub(crate) fn without_members(membership: &Membership, names: &[&str], shards: u32) -> Membership {
    let mut members = membership.members().clone();
    for name in names {
        members.remove(*name).expect("a member");
    }
    membership
        .with_members(members, shard_count(shards))
        .expect("valid members")
}

pub(crate) fn assignment(membership: &Membership, shards: u32) -> Assignment {
    Assignment::new(shard_count(shards), membership.clone())
}

/// The names of the senders of each shard, in descending order of score.
pub(crate) fn senders_by_shard(assignment: &Assignment, shards: u32) -> Vec<Vec<String>> {
    let names = |id| assignment.senders_of(id).map(str::to_string).collect();
    shard_count(shards).shards().map(names).collect()
}
