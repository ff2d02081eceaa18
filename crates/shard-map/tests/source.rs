//! The changes that a source rejects, and the versions that it assigns to accepted ones.

mod common;

use common::{change_of, empty_source, endpoint, put, remove, shard_count};
use milletturn_shard_map::{
    Change, ChangeError, Digest, Endpoint, LeaderTerm, Limits, Operation, ShardCount, ShardId,
    ShardMapSource, Version,
};
use proptest::prelude::*;

fn source() -> ShardMapSource {
    let mut source = empty_source(shard_count(64), 1);
    source.propose(put(7, "seven", 80)).expect("valid");
    source.propose(put(8, "eight", 80)).expect("valid");
    source
}

/// Changes that are invalid by themselves, with the expected errors.
fn invalid_changes() -> Vec<(Change, ChangeError)> {
    let put_second = |endpoint| {
        let valid = Operation::Put(endpoint_of_seven("valid"));
        change_of(7, vec![valid, Operation::Put(endpoint)])
    };
    let mut long_name = endpoint_of_seven("new");
    long_name.uid = "x".repeat(129).into();
    let mut control_character = endpoint_of_seven("new");
    control_character.zone = "a\nb".into();
    let mut unspecified = endpoint_of_seven("new");
    unspecified.address = ([0, 0, 0, 0], 80).into();
    let portless = endpoint(7, "new", 0);
    let too_many = (0..65)
        .map(|n| Operation::Put(endpoint_of_seven(&format!("n{n}"))))
        .collect();
    let addresses = [unspecified.address, portless.address];
    vec![
        (change_of(7, vec![]), ChangeError::Empty),
        (put_second(long_name), ChangeError::InvalidName),
        (put_second(control_character), ChangeError::InvalidName),
        (put_second(endpoint_of_seven("")), ChangeError::InvalidName),
        (
            put_second(unspecified),
            ChangeError::InvalidAddress(addresses[0]),
        ),
        (
            put_second(portless),
            ChangeError::InvalidAddress(addresses[1]),
        ),
        (
            put_second(endpoint(9, "nine", 80)),
            ChangeError::DestinationMismatch(9),
        ),
        (
            put_second(endpoint_of_seven("valid")),
            ChangeError::DuplicateEndpoint("valid".into()),
        ),
        (change_of(7, too_many), ChangeError::TooManyOperations(65)),
    ]
}

/// Changes that conflict with the endpoints in the source, with the expected errors.
fn conflicting_changes() -> Vec<(Change, ChangeError)> {
    let after_valid = |operation| {
        let valid = Operation::Put(endpoint_of_seven("valid"));
        change_of(7, vec![valid, operation])
    };
    vec![
        (
            after_valid(Operation::Put(endpoint_of_seven("eight"))),
            ChangeError::OwnedByOtherDestination {
                uid: "eight".into(),
                destination: 8,
            },
        ),
        (
            after_valid(Operation::Remove("eight".into())),
            ChangeError::UnknownEndpoint("eight".into()),
        ),
        (
            after_valid(Operation::Remove("none".into())),
            ChangeError::UnknownEndpoint("none".into()),
        ),
    ]
}

fn endpoint_of_seven(uid: &str) -> Endpoint {
    endpoint(7, uid, 80)
}

#[test]
fn rejected_change_leaves_the_source_unchanged() {
    for (change, expected) in [invalid_changes(), conflicting_changes()].concat() {
        let mut source = source();
        let before = source.clone();
        let error = source.propose(change.clone()).expect_err("rejected");
        assert_eq!(error, expected, "{change:?}: {error}");
        assert_eq!(source, before, "{error}");
    }
}

#[test]
fn sizes_of_a_shard_and_of_the_list_are_bounded() {
    let endpoint_bytes = endpoint(7, "a", 80).size_bytes();
    let mut source = ShardMapSource::new(
        shard_count(1),
        Limits::new(endpoint_bytes, 2, endpoint_bytes * 100, 0),
        LeaderTerm(1),
    );
    source.propose(put(7, "a", 80)).expect("fits");
    source.propose(put(8, "b", 80)).expect("fits");
    let before = source.clone();
    assert_eq!(
        source.propose(put(9, "c", 80)),
        Err(ChangeError::ShardTooLarge {
            required_bytes: 3 * endpoint_bytes,
            max_bytes: 2 * endpoint_bytes
        })
    );
    assert_eq!(source, before);
    source.propose(remove(7, "a")).expect("makes it smaller");
    source.propose(put(9, "c", 80)).expect("fits again");

    let mut source = ShardMapSource::new(
        shard_count(64),
        Limits::new(endpoint_bytes, 50, 2 * endpoint_bytes, 0),
        LeaderTerm(1),
    );
    source.propose(put(7, "a", 80)).expect("fits");
    source.propose(put(8, "b", 80)).expect("fits");
    let before = source.clone();
    assert_eq!(
        source.propose(put(9, "c", 80)),
        Err(ChangeError::ListTooLarge {
            required_bytes: 3 * endpoint_bytes,
            max_bytes: 2 * endpoint_bytes
        })
    );
    assert_eq!(source, before);
}

#[test]
fn source_that_is_not_the_leader_rejects_changes() {
    let mut source = source();
    source.observe_term(LeaderTerm(1));
    source
        .propose(put(9, "nine", 80))
        .expect("the observed term is the source's own");
    source.observe_term(LeaderTerm(2));
    let before = source.clone();
    assert_eq!(
        source.propose(put(10, "ten", 80)),
        Err(ChangeError::NotLeader)
    );
    assert_eq!(source, before);
    source
        .assume_leadership(LeaderTerm(1))
        .expect_err("an earlier term");
    assert_eq!(source, before);
    source
        .assume_leadership(LeaderTerm(3))
        .expect("a later term");
    let change = source.propose(put(10, "ten", 80)).expect("the leader");
    assert_eq!(
        change.version,
        Version {
            term: LeaderTerm(3),
            number: 1
        }
    );
}

#[test]
fn versions_of_a_shard_are_consecutive() {
    let mut source = empty_source(shard_count(1), 4);
    let mut digest = Digest::default();
    for n in 1..=20u64 {
        let change = source.propose(put(n, &format!("u{n}"), 80)).expect("valid");
        assert_eq!(
            change.version,
            Version {
                term: LeaderTerm(4),
                number: n
            }
        );
        digest = digest.with(endpoint(n, &format!("u{n}"), 80).digest());
        assert_eq!(change.digest_after, digest);
    }
    let shard = source.shard(ShardId(0)).expect("the only shard");
    assert_eq!((shard.digest(), shard.endpoints().len()), (digest, 20));
}

#[test]
fn destinations_hash_to_fixed_shards() {
    // processes of different versions run side by side, so neither the hash nor the arithmetic may change
    let shard_count = ShardCount::default();
    let shards: Vec<u16> = [0, 1, 2, 1_000_000, u64::MAX]
        .map(|n| shard_count.shard_of(n).0)
        .into();
    assert_eq!(shards, FIXED_SHARDS);
    assert_eq!(shard_count.count(), 65_536);
    ShardCount::new(0).expect_err("zero shards");
    ShardCount::new(65_537).expect_err("too many");
}

const FIXED_SHARDS: [u16; 5] = [51_067, 12_220, 8_326, 11_303, 20_753];

proptest! {
    #[test]
    fn serialized_endpoint_is_never_longer_than_its_size_bound(
        uid in "[^\\p{Cc}]{1,40}", zone in "[\"\\\\a-zé]{0,60}", destination: u64, weight: u64, port: u16, ip: u128,
        draining: bool,
    ) {
        let mut endpoint = endpoint(destination, &uid, port);
        endpoint.zone = zone.into();
        endpoint.weight = weight;
        endpoint.draining = draining;
        endpoint.address = (std::net::Ipv6Addr::from(ip), port).into();
        let text = serde_json::to_string(&endpoint).expect("written");
        prop_assert!(text.len() <= endpoint.size_bytes(), "{} {}", text.len(), endpoint.size_bytes());
        let read: Endpoint = serde_json::from_str(&text).expect("read");
        prop_assert_eq!(read.digest(), endpoint.digest());
    }
}
