//! Limits of a replica and its requests: subscriptions, capacity, size of a response, and invalid requests.

mod common;

use common::{
    assert_in_sync, catch_up, empty_source, endpoint, filled_source, put, replica, shard_count,
    snapshot_of, synced_replica,
};
use milletturn_shard_map::replica::ApplyError;
use milletturn_shard_map::sync::SyncError;
use milletturn_shard_map::{
    Digest, LeaderTerm, Limits, ShardId, ShardMapReplica, ShardVersion, SyncRequest, Update,
    Version,
};

#[test]
fn sender_stores_subscribed_shards_and_drops_all_others() {
    let source = filled_source(shard_count(64), 1_000);
    let mut replica = replica(shard_count(64));
    replica.subscribe([ShardId(3), ShardId(9)]);
    catch_up(&mut replica, |request| source.respond(request));
    assert_in_sync(&replica, &source);
    let size_bytes = |shards: &[u16]| -> usize {
        shards
            .iter()
            .map(|&id| {
                source
                    .shard(ShardId(id))
                    .expect("an existing shard")
                    .size_bytes()
            })
            .sum()
    };
    assert_eq!(replica.size_bytes(), size_bytes(&[3, 9]));
    let other = source.shard(ShardId(4)).expect("an existing shard");
    assert_eq!(
        replica.apply(snapshot_of(ShardId(4), other)),
        Err(ApplyError::NotSubscribed)
    );
    replica.subscribe([ShardId(9), ShardId(11)]);
    catch_up(&mut replica, |request| source.respond(request));
    assert_eq!(
        replica.subscribed().collect::<Vec<_>>(),
        [ShardId(9), ShardId(11)]
    );
    assert_eq!(replica.size_bytes(), size_bytes(&[9, 11]));
    assert_in_sync(&replica, &source);
}

#[test]
fn replica_rejects_updates_beyond_its_size_limits() {
    let source = filled_source(shard_count(1), 10);
    let endpoint_bytes = endpoint(0, "u0", 80).size_bytes();
    let small_total = Limits::new(6_000, 17, 9 * endpoint_bytes, 0);
    let small_shard = Limits::new(9 * endpoint_bytes, 1, 64 << 20, 0);
    for limits in [small_total, small_shard] {
        let mut replica = ShardMapReplica::new(shard_count(1), limits);
        replica.subscribe([ShardId(0)]);
        let response = source.respond(&replica.sync_requests()[0]).expect("valid");
        assert_eq!(
            replica.apply(response[0].clone()),
            Err(ApplyError::CapacityExceeded)
        );
        assert_eq!(replica.size_bytes(), 0);
        // the same limits hold for single changes
        let mut source = empty_source(shard_count(1), 1);
        for n in 0..9 {
            let change = source.propose(put(n, &format!("u{n}"), 80)).expect("valid");
            replica.apply(Update::Change(change)).expect("fits");
        }
        let change = source.propose(put(9, "u9", 80)).expect("valid");
        assert_eq!(
            replica.apply(Update::Change(change)),
            Err(ApplyError::CapacityExceeded)
        );
        assert_eq!(
            (replica.size_bytes(), replica.stale_count()),
            (9 * endpoint_bytes, 1)
        );
    }
}

#[test]
fn response_size_is_bounded_and_the_remainder_is_requested_again() {
    // fills 64 shards to their maximum of about 100 KB each
    let mut source = empty_source(shard_count(64), 1);
    for n in 0..40_000 {
        // a full shard rejects the change, which is not a failure here
        let _full = source.propose(put(n, &format!("{n}{}", "u".repeat(100)), 80));
    }
    assert!(source.size_bytes() > 6_000_000);
    let mut replica = replica(shard_count(64));
    replica.subscribe(shard_count(64).shards().take(63));
    let (mut rounds, mut requests) = (0, replica.sync_requests());
    let has_empty_shard = |replica: &ShardMapReplica| {
        let mut ids = replica.subscribed();
        ids.any(|id| {
            replica
                .shard(id)
                .expect("subscribed")
                .endpoints()
                .is_empty()
        })
    };
    while has_empty_shard(&replica) {
        rounds += 1;
        assert!(
            rounds <= 2,
            "each response but the last fills the maximum size"
        );
        let response = source.respond(&requests[0]).expect("valid");
        let text = serde_json::to_string(&response).expect("written");
        assert!(text.len() < (4 << 20) + 102_000, "{}", text.len());
        for update in response {
            replica.apply(update).expect("a snapshot");
        }
        requests = replica.sync_requests();
    }
    assert_in_sync(&replica, &source);
    assert_eq!(rounds, 2);
}

#[test]
fn invalid_request_is_rejected_with_a_reason() {
    let source = filled_source(shard_count(64), 10);
    let version = |id| ShardVersion {
        shard: ShardId(id),
        version: Version::default(),
        digest: Digest::default(),
    };
    let shards = |count, versions| SyncRequest::Shards {
        shard_count: shard_count(count),
        versions,
    };
    let span = |first, count| SyncRequest::Span {
        shard_count: shard_count(64),
        first,
        count,
        digest: Digest::default(),
    };
    let mismatch = SyncError::ShardCountMismatch {
        local: 64,
        remote: 32,
    };
    assert_eq!(source.respond(&shards(32, vec![])), Err(mismatch));
    assert_eq!(
        source.respond(&shards(64, vec![version(64)])),
        Err(SyncError::UnknownShard)
    );
    assert_eq!(
        source.respond(&shards(64, vec![version(0); 513])),
        Err(SyncError::TooManyShards(513))
    );
    for (first, count) in [
        (0, 65),
        (64, 1),
        (1, u32::MAX),
        (u32::MAX, u32::MAX),
        (0, 0),
    ] {
        assert_eq!(
            source.respond(&span(first, count)),
            Err(SyncError::UnknownShard),
            "{first} {count}"
        );
    }
}

#[test]
fn digests_of_an_invalid_span_leave_the_replica_unchanged() {
    let source = filled_source(shard_count(64), 10);
    let mut replica = synced_replica(&source);
    let before = replica.clone();
    for (first, part_length, parts) in [
        (0, 0, 1),
        (0, 4, 17),
        (64, 1, 1),
        (0, 60, 3),
        (u32::MAX, u32::MAX, 2),
    ] {
        let update = Update::SpanDigests {
            term: LeaderTerm(1),
            first,
            part_length,
            digests: vec![Digest::default(); parts],
        };
        assert_eq!(replica.apply(update), Err(ApplyError::InvalidSpan));
    }
    assert_eq!(replica, before);
}
