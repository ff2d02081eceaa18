//! Changes, versions and snapshots that a replica applies or ignores, by its checks of term, version and digest.

mod common;

use common::{
    assert_in_sync, assume_leadership, catch_up, change_of, endpoint, filled_source, port_changes,
    replica, shard_count, snapshot_of, synced_replica, version_of,
};
use milletturn_shard_map::replica::{ApplyError, ApplyOutcome};
use milletturn_shard_map::{
    LeaderTerm, Operation, ShardId, ShardVersion, SyncRequest, Update, Version, VersionedChange,
};

#[test]
fn changes_apply_once_and_in_order_and_missing_ones_are_requested() {
    let mut source = filled_source(shard_count(1), 3);
    let mut replica = synced_replica(&source);
    let changes = port_changes(&mut source, 1, 100..104);
    assert_eq!(
        replica.apply(changes[0].clone()).expect("next").updates,
        [changes[0].clone()]
    );
    assert_eq!(
        replica.apply(changes[0].clone()),
        Err(ApplyError::NotNewer),
        "the same change again"
    );
    let outcome = replica.apply(changes[2].clone()).expect("a gap");
    assert!(
        outcome.updates.is_empty() && outcome.requests.len() == 1,
        "a gap: {outcome:?}"
    );
    assert_eq!(
        replica.apply(changes[3].clone()).expect("a gap"),
        ApplyOutcome::default(),
        "the gap is requested only once"
    );
    assert_eq!(replica.stale_count(), 1);
    assert_eq!(
        replica.endpoints(1).expect("subscribed")[0].address.port(),
        100,
        "no change is applied out of order"
    );
    // the response has the missing changes and no snapshot
    let response = source.respond(&outcome.requests[0]).expect("valid");
    assert_eq!(response, changes[1..]);
    for update in response {
        replica.apply(update).expect("in order");
    }
    assert_in_sync(&replica, &source);
    assert_eq!(replica.stale_count(), 0);
}

#[test]
fn endpoint_of_another_shard_is_not_applied() {
    let shard_count = shard_count(64);
    let source = filled_source(shard_count, 1);
    let mut replica = synced_replica(&source);
    let shard = shard_count.shard_of(0);
    let other = (1..)
        .map(|n| shard_count.shard_of(n))
        .find(|other| *other != shard)
        .expect("another shard");
    let moved = endpoint(0, "u0", 99);
    let digest = moved.digest();
    let version = |number| Version {
        term: LeaderTerm(1),
        number,
    };
    let snapshot = Update::Snapshot {
        version: ShardVersion {
            shard: other,
            version: version(9),
            digest,
        },
        endpoints: vec![moved.clone()],
    };
    assert_eq!(replica.apply(snapshot), Err(ApplyError::InvalidContent));
    let change = VersionedChange {
        shard: other,
        version: version(1),
        digest_after: digest,
        change: change_of(0, vec![Operation::Put(moved)]),
    };
    assert_eq!(
        replica.apply(Update::Change(change)),
        Err(ApplyError::InvalidContent)
    );
    let endpoints = replica.shard(shard).expect("subscribed").endpoints();
    assert_eq!(endpoints.len(), 1);
}

#[test]
fn change_that_follows_another_state_is_not_applied() {
    // the change has the next number, but the source that made it had an uncommitted change before
    let mut source = filled_source(shard_count(1), 3);
    let mut other = source.clone();
    let mut replica = synced_replica(&source);
    port_changes(&mut other, 2, 500..501);
    let committed = port_changes(&mut source, 1, 100..102);
    let uncommitted = port_changes(&mut other, 2, 501..502);
    replica.apply(committed[0].clone()).expect("next");
    let outcome = replica.apply(uncommitted[0].clone()).expect("a gap");
    assert!(outcome.updates.is_empty(), "{outcome:?}");
    replica.apply(committed[1].clone()).expect("next");
    assert_in_sync(&replica, &source);
}

#[test]
fn change_whose_result_has_another_digest_is_not_applied() {
    let mut source = filled_source(shard_count(1), 3);
    let mut replica = synced_replica(&source);
    let Update::Change(mut change) = port_changes(&mut source, 1, 100..101).remove(0) else {
        unreachable!()
    };
    let more = Operation::Put(endpoint(1, "more", 7));
    change.change.operations.push(more);
    let outcome = replica.apply(Update::Change(change)).expect("a gap");
    assert!(
        outcome.updates.is_empty() && outcome.requests.len() == 1,
        "{outcome:?}"
    );
    assert_eq!(
        replica.endpoints(1).expect("subscribed").len(),
        1,
        "no operation of the change is applied"
    );
}

#[test]
fn updates_of_an_earlier_term_are_ignored_even_with_higher_numbers() {
    let mut source = filled_source(shard_count(16), 100);
    let mut deposed = source.clone();
    let mut replica = synced_replica(&source);
    assume_leadership(&mut source, 2);
    let new = port_changes(&mut source, 5, 100..101);
    replica
        .apply(new[0].clone())
        .expect("next, under the new term");
    let before = replica.clone();
    for update in port_changes(&mut deposed, 6, 200..220) {
        assert_eq!(
            replica.apply(update),
            Err(ApplyError::StaleTerm {
                term: LeaderTerm(1),
                newest: LeaderTerm(2)
            })
        );
    }
    assert_eq!(replica, before);
    // the replica also ignores the snapshots of the deposed leader
    for request in replica.sync_requests() {
        for update in deposed.respond(&request).expect("valid") {
            replica.apply(update).expect_err("an earlier term");
        }
    }
    assert_eq!(replica, before);
    catch_up(&mut replica, |request| source.respond(request));
    assert_in_sync(&replica, &source);
}

#[test]
fn uncommitted_changes_of_an_earlier_term_are_undone() {
    let mut source = filled_source(shard_count(4), 40);
    let mut deposed = source.clone();
    let mut replica = synced_replica(&source);
    for update in port_changes(&mut deposed, 6, 200..203) {
        replica.apply(update).expect("the newest known term");
    }
    assume_leadership(&mut source, 2);
    let new = port_changes(&mut source, 6, 300..301);
    let outcome = replica.apply(new[0].clone()).expect("a gap");
    assert!(
        outcome.updates.is_empty(),
        "the change has a number that was assigned before: {outcome:?}"
    );
    catch_up(&mut replica, |request| source.respond(request));
    assert_in_sync(&replica, &source);
    assert_eq!(
        replica.endpoints(6).expect("subscribed")[0].address.port(),
        300
    );
}

#[test]
fn peer_with_outdated_state_moves_no_replica_backwards() {
    let mut source = filled_source(shard_count(32), 100);
    let outdated = synced_replica(&source);
    for n in 0..50 {
        port_changes(&mut source, n, 100..103);
    }
    let mut replica = synced_replica(&source);
    let before = replica.clone();
    let requests = [replica.sync_requests(), outdated.sync_requests()];
    for request in requests.into_iter().flatten() {
        for update in outdated.respond(&request).expect("valid") {
            if let Ok(outcome) = replica.apply(update) {
                assert!(outcome.updates.is_empty(), "{outcome:?}");
            }
        }
    }
    assert_eq!(replica, before);
    // the outdated peer does not respond for shards of which it has an older version
    for id in replica.shard_count().shards() {
        let request = SyncRequest::Shards {
            shard_count: replica.shard_count(),
            versions: vec![version_of(id, replica.shard(id).expect("subscribed"))],
        };
        assert_eq!(outdated.respond(&request).expect("valid"), []);
    }
    // versions and snapshots of the outdated peer are ignored, even if they were not requested
    for id in replica.shard_count().shards() {
        let shard = outdated.shard(id).expect("subscribed");
        replica
            .apply(Update::Version(version_of(id, shard)))
            .expect_err("not a newer version");
        replica
            .apply(snapshot_of(id, shard))
            .expect_err("not a newer version");
    }
    assert_eq!(replica, before);
}

#[test]
fn session_proxy_sends_nothing_unconfirmed_under_the_newest_term() {
    let mut source = filled_source(shard_count(32), 100);
    let mut proxy = synced_replica(&source);
    let mut sender = replica(shard_count(32));
    sender.subscribe((0..4).map(ShardId));
    assume_leadership(&mut source, 2);
    // the session proxy learns of the new term from one shard; its other shards are unconfirmed
    let shard = source.shard(ShardId(0)).expect("an existing shard");
    proxy
        .apply(Update::Version(version_of(ShardId(0), shard)))
        .expect("confirms one shard");
    let updates: Vec<Update> = sender
        .sync_requests()
        .iter()
        .flat_map(|request| proxy.respond(request).expect("valid"))
        .collect();
    assert!(
        updates.iter().all(|update| update.term() == LeaderTerm(2)),
        "{updates:?}"
    );
    catch_up(&mut proxy, |request| source.respond(request));
    catch_up(&mut sender, |request| proxy.respond(request));
    assert_in_sync(&sender, &source);
}

#[test]
fn conflicting_versions_of_two_sources_with_one_term_are_detected() {
    let mut source = filled_source(shard_count(1), 3);
    let mut other = source.clone();
    let mut replica = synced_replica(&source);
    let change = port_changes(&mut source, 1, 100..101).remove(0);
    port_changes(&mut other, 1, 200..201);
    replica.apply(change).expect("next");
    let conflicting = other.shard(ShardId(0)).expect("an existing shard");
    assert_eq!(
        replica.apply(Update::Version(version_of(ShardId(0), conflicting))),
        Err(ApplyError::ConflictingVersion)
    );
    assert_eq!(
        replica.apply(snapshot_of(ShardId(0), conflicting)),
        Err(ApplyError::ConflictingVersion)
    );
    assert_in_sync(&replica, &source);
    // a later term resolves the conflict
    assume_leadership(&mut other, 2);
    catch_up(&mut replica, |request| other.respond(request));
    assert_in_sync(&replica, &other);
}
