//! Validation of a membership, and the capacity of its members.

mod common;

use common::{empty_membership, members, membership, shard_count};
use milletturn_shard_map::membership::MembershipError;
use milletturn_shard_map::{LeaderTerm, Member, Membership};
use std::collections::BTreeMap;

#[test]
fn capacity_of_members_stays_between_1_1_and_1_5_times_the_need() {
    let count = 4_096;
    let first = membership(1_000, 31, 3, count);
    assert_eq!(
        first.shards_per_weight(),
        16,
        "1.25 times the mean of 12.3 shards"
    );
    let resized = |from: &Membership, to: usize| {
        from.with_members(members(to, 31), shard_count(count))
            .expect("valid")
    };
    let few = resized(&first, 846);
    assert_eq!(few.shards_per_weight(), 16, "1.1 times the need");
    let fewest = resized(&few, 844);
    assert_eq!(fewest.shards_per_weight(), 19);
    assert_eq!(
        resized(&fewest, 846).shards_per_weight(),
        19,
        "the capacity of 19 is kept while it is within the range"
    );
    assert_eq!(resized(&fewest, 970).shards_per_weight(), 19);
    assert_eq!(
        resized(&fewest, 971).shards_per_weight(),
        16,
        "more than 1.5 times the need"
    );
}

#[test]
fn invalid_membership_is_rejected_with_a_reason() {
    let first = empty_membership(1, 3);
    assert_eq!(
        Membership::new(LeaderTerm(1), 0).expect_err("zero senders for each shard"),
        MembershipError::ReplicationFactor(0)
    );
    assert_eq!(
        Membership::new(LeaderTerm(1), 9).expect_err("too many senders for each shard"),
        MembershipError::ReplicationFactor(9)
    );
    let with_member = |name: &str, zone: &str, weight| {
        let zone = zone.into();
        let members = BTreeMap::from([(name.into(), Member { zone, weight })]);
        first.with_members(members, shard_count(64))
    };
    assert_eq!(with_member("", "z", 1), Err(MembershipError::InvalidName));
    assert_eq!(
        with_member("a", &"z".repeat(129), 1),
        Err(MembershipError::InvalidName)
    );
    assert_eq!(with_member("a", "z", 0), Err(MembershipError::Weight(0)));
    assert_eq!(with_member("a", "z", 17), Err(MembershipError::Weight(17)));
    assert_eq!(
        first.with_members(members(32_769, 3), shard_count(64)),
        Err(MembershipError::TooManyMembers(32_769))
    );
    let text = r#"{"term":1,"number":2,"copies":0,"places":1,"members":{}}"#;
    assert!(
        serde_json::from_str::<Membership>(text)
            .expect_err("zero senders for each shard")
            .to_string()
            .contains("copies")
    );
}
