//! How a replica catches up: its requests, and the changes, snapshots and sums of digests in the responses.

mod common;

use common::{
    assert_in_sync, assume_leadership, catch_up, filled_source, port_changes, put, remove,
    shard_count, synced_replica,
};
use milletturn_shard_map::replica::ApplyError;
use milletturn_shard_map::{ShardCount, Update};

#[test]
fn replica_that_missed_more_changes_than_the_history_has_gets_a_snapshot() {
    let mut source = filled_source(shard_count(1), 3);
    let mut replica = synced_replica(&source);
    let missed = port_changes(&mut source, 1, 100..109);
    assert_eq!(missed.len(), 9);
    let response = source.respond(&replica.sync_requests()[0]).expect("valid");
    assert!(
        matches!(response[..], [Update::Snapshot { .. }]),
        "{response:?}"
    );
    let before = replica.clone();
    // a truncated snapshot, or one with an endpoint twice, is not applied
    let Update::Snapshot { version, endpoints } = &response[0] else {
        unreachable!()
    };
    let cut = Update::Snapshot {
        version: *version,
        endpoints: endpoints[1..].to_vec(),
    };
    assert_eq!(replica.apply(cut), Err(ApplyError::InvalidContent));
    let repeated = Update::Snapshot {
        version: *version,
        endpoints: [&endpoints[..], &endpoints[2..]].concat(),
    };
    assert_eq!(replica.apply(repeated), Err(ApplyError::InvalidContent));
    // the digest does not depend on the order of endpoints, but the binary search needs them sorted
    let reversed = Update::Snapshot {
        version: *version,
        endpoints: endpoints.iter().rev().cloned().collect(),
    };
    assert_eq!(replica.apply(reversed), Err(ApplyError::InvalidContent));
    assert_eq!(replica, before);
    replica.apply(response[0].clone()).expect("a snapshot");
    assert_in_sync(&replica, &source);
}

#[test]
fn response_has_a_snapshot_in_place_of_changes_of_an_earlier_term() {
    // a replica that knows the newer term would ignore changes of the earlier one, and request them again and again
    let mut source = filled_source(shard_count(1), 3);
    let mut replica = synced_replica(&source);
    port_changes(&mut source, 1, 100..102);
    assume_leadership(&mut source, 2);
    let response = source.respond(&replica.sync_requests()[0]).expect("valid");
    assert!(
        matches!(response[..], [Update::Snapshot { .. }]),
        "{response:?}"
    );
    port_changes(&mut source, 1, 102..103);
    let response = source.respond(&replica.sync_requests()[0]).expect("valid");
    assert!(
        matches!(response[..], [Update::Snapshot { .. }]),
        "{response:?}"
    );
    replica.apply(response[0].clone()).expect("a snapshot");
    assert_in_sync(&replica, &source);
}

#[test]
fn replica_with_an_uncommitted_change_gets_a_snapshot() {
    // the replica's last change comes from another source and was never committed, so the changes in this source's
    // history cannot be applied to the replica's endpoints
    let mut source = filled_source(shard_count(1), 3);
    let mut other = source.clone();
    let mut replica = synced_replica(&source);
    replica
        .apply(port_changes(&mut other, 2, 500..501).remove(0))
        .expect("next");
    port_changes(&mut source, 1, 100..103);
    let response = source.respond(&replica.sync_requests()[0]).expect("valid");
    assert!(
        matches!(response[..], [Update::Snapshot { .. }]),
        "{response:?}"
    );
    replica.apply(response[0].clone()).expect("a snapshot");
    assert_in_sync(&replica, &source);
}

#[test]
fn confirmation_of_an_outdated_sum_is_ignored() {
    let mut source = filled_source(shard_count(64), 200);
    let mut replica = synced_replica(&source);
    let request = replica.sync_requests().remove(0);
    let response = source.respond(&request).expect("valid");
    assert!(
        matches!(response[..], [Update::SpanMatches { .. }]),
        "{response:?}"
    );
    assume_leadership(&mut source, 2);
    let late = source.respond(&request).expect("valid").remove(0);
    // before the response arrives, the replica applies a change of the old term
    let mut deposed = filled_source(shard_count(64), 200);
    replica
        .apply(port_changes(&mut deposed, 9, 100..101).remove(0))
        .expect("next");
    replica
        .apply(late)
        .expect_err("the sum has changed since the request");
    catch_up(&mut replica, |request| source.respond(request));
    assert_in_sync(&replica, &source);
}

#[test]
fn put_and_removal_that_cancel_out_still_count_as_changes() {
    // the two changes leave the endpoints as they were but raise the shard's version by two; a replica that lacks them
    // must not apply the next change, although it has the same endpoints as the source
    let mut source = filled_source(shard_count(64), 100);
    let mut replica = synced_replica(&source);
    let _lost = source.propose(put(5, "brief", 80)).expect("valid");
    let _lost = source.propose(remove(5, "brief")).expect("valid");
    let mut other = replica.clone();
    catch_up(&mut replica, |request| source.respond(request));
    assert_in_sync(&replica, &source);
    let next = port_changes(&mut source, 5, 100..101).remove(0);
    replica.apply(next.clone()).expect("next");
    assert_in_sync(&replica, &source);
    // at a replica that did not catch up, the change fits the endpoints but its number is not the next one
    let outcome = other.apply(next).expect("a gap");
    assert!(
        outcome.updates.is_empty() && outcome.requests.len() == 1,
        "{outcome:?}"
    );
}

#[test]
fn session_proxy_finds_differing_shards_in_few_requests() {
    let mut source = filled_source(ShardCount::default(), 2_000);
    let mut proxy = synced_replica(&source);
    assert_eq!(
        catch_up(&mut proxy, |request| source.respond(request)),
        1,
        "nothing differs"
    );
    port_changes(&mut source, 77, 100..104);
    // three requests narrow 65,536 shards down to 16, each by a factor of 16; the fourth names each of these 16 shards
    assert_eq!(catch_up(&mut proxy, |request| source.respond(request)), 4);
    assert_in_sync(&proxy, &source);
    // after a new term without changes, one request confirms all shards
    assume_leadership(&mut source, 2);
    assert_eq!(catch_up(&mut proxy, |request| source.respond(request)), 1);
    assert_in_sync(&proxy, &source);
    // after a new term that the session proxy knows from one change: one request for all shards, then one for each of
    // 16 parts
    assume_leadership(&mut source, 3);
    proxy
        .apply(port_changes(&mut source, 77, 104..105).remove(0))
        .expect("next");
    assert_eq!(catch_up(&mut proxy, |request| source.respond(request)), 17);
    assert_in_sync(&proxy, &source);
}
