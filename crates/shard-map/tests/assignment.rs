//! The assignment of shards to senders: the same for all processes, in different zones, and a stable matching.

mod common;

use common::{
    assignment, empty_membership, members, membership, senders_by_shard, shard_count,
    without_members,
};
use milletturn_shard_map::assignment::Reassignment;
use milletturn_shard_map::{Assignment, LeaderTerm, Member, ShardId};
use proptest::prelude::*;
use rand_pcg::Pcg64;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

/// Asserts that senders stay within their capacity and zones within their limit, and that no sender with free capacity
/// could serve a shard that has too few senders.
fn assert_stable(assignment: &Assignment, count: u32) {
    let membership = assignment.membership();
    let zone = |name: &str| &membership.members()[name].zone;
    let capacity = |name: &str| {
        usize::from(membership.members()[name].weight) * membership.shards_per_weight() as usize
    };
    let in_zone_of = |names: &[String], name: &str| {
        let same_zone = names.iter().filter(|other| zone(other) == zone(name));
        same_zone.count()
    };
    let loads = assignment.loads();
    for (name, load) in &loads {
        assert!(*load <= capacity(name), "{name} has {load}");
    }
    let wanted = membership
        .replication_factor()
        .min(membership.members().len());
    for names in &senders_by_shard(assignment, count) {
        assert_eq!(
            names.iter().collect::<BTreeSet<_>>().len(),
            names.len(),
            "{names:?}"
        );
        for name in names {
            let same_zone = in_zone_of(names, name);
            assert!(same_zone <= membership.max_replicas_per_zone(), "{names:?}");
        }
        if names.len() < wanted {
            // each other sender is at capacity, or its zone has the maximum number of replicas of the shard
            for (free, load) in &loads {
                let same_zone = in_zone_of(names, free);
                let serves = names.iter().any(|name| name == free);
                assert!(
                    *load >= capacity(free)
                        || same_zone >= membership.max_replicas_per_zone()
                        || serves,
                    "{free} {names:?}"
                );
            }
        }
    }
}

#[test]
fn updated_assignment_equals_one_computed_from_the_same_membership() {
    let count = 2_048;
    let mut random = Pcg64::seed_from_u64(7);
    let mut current = membership(100, 7, 3, count);
    let mut updated = assignment(&current, count);
    for step in 0..40 {
        let mut members = current.members().clone();
        for _ in 0..random.next_u32() % 4 {
            let names: Vec<Box<str>> = members.keys().cloned().collect();
            members.remove(&names[random.next_u32() as usize % names.len()]);
        }
        for n in 0..random.next_u32() % 4 {
            let member = Member {
                zone: format!("zone-{}", random.next_u32() % 8).into(),
                weight: 1 + (n % 3) as u8,
            };
            members.insert(format!("new-{step}-{n}").into(), member);
        }
        current = current
            .with_members(members, shard_count(count))
            .expect("valid");
        updated.update(current.clone());
        let fresh = assignment(&current, count);
        assert_eq!(
            senders_by_shard(&updated, count),
            senders_by_shard(&fresh, count),
            "step {step}"
        );
        assert_stable(&fresh, count);
        assert_eq!(fresh.unassigned_replicas(), 0);
    }
}

#[test]
fn cached_scores_are_correct_after_many_senders_are_replaced() {
    // 5 % to 60 % of the senders are replaced at once, so that few cached scores of a shard are left, and scores of new
    // senders are inserted among them
    let count = 512;
    let mut random = Pcg64::seed_from_u64(11);
    let mut current = membership(80, 6, 3, count);
    let mut updated = assignment(&current, count);
    for step in 0..24 {
        let mut members = current.members().clone();
        let percent = [30, 10, 60, 5][step % 4];
        members.retain(|_, _| random.next_u32() % 100 >= percent);
        while members.len() < 80 {
            let zone = format!("zone-{}", random.next_u32() % 6).into();
            members.insert(
                format!("new-{step}-{}", members.len()).into(),
                Member { zone, weight: 1 },
            );
        }
        current = current
            .with_members(members, shard_count(count))
            .expect("valid");
        updated.update(current.clone());
        assert_eq!(
            senders_by_shard(&updated, count),
            senders_by_shard(&assignment(&current, count), count),
            "{step}"
        );
    }
}

#[test]
fn update_with_an_older_or_equal_membership_changes_nothing() {
    let count = 512;
    let old = membership(40, 5, 3, count);
    let new = without_members(&old, &["sender-3"], count);
    let mut assignment = assignment(&new, count);
    let before = senders_by_shard(&assignment, count);
    assert_eq!(assignment.update(old.clone()), Reassignment::default());
    assert_eq!(assignment.update(new.clone()), Reassignment::default());
    assert_eq!(senders_by_shard(&assignment, count), before);
    let mut known = new.clone();
    assert!(!known.replace_if_newer(old.clone()) && known == new);
    // a membership of a later term is newer even if its version number is lower
    let mut raised = old;
    raised.raise_term(LeaderTerm(2));
    assert!(known.replace_if_newer(raised));
}

#[test]
fn older_membership_still_names_two_current_senders_after_one_loss() {
    // removing one sender changes at most one of the three senders of a shard
    let count = 2_048;
    let old = membership(100, 7, 3, count);
    let before = assignment(&old, count);
    let after = assignment(&without_members(&old, &["sender-3"], count), count);
    for shard in shard_count(count).shards() {
        let names: Vec<&str> = before.senders_of(shard).collect();
        let remaining = names
            .iter()
            .filter(|name| after.senders_of(shard).any(|other| other == **name))
            .count();
        assert!(remaining >= 2, "{shard:?}: {names:?}");
    }
}

#[test]
fn replicas_of_a_shard_are_in_different_zones_if_there_are_enough() {
    let count = 512;
    for (zones, max_per_zone) in [(7, 1), (3, 1), (2, 2), (1, 3)] {
        let assignment = assignment(&membership(42, zones, 3, count), count);
        assert_stable(&assignment, count);
        assert_eq!(
            assignment.membership().max_replicas_per_zone(),
            max_per_zone
        );
        assert_eq!(assignment.unassigned_replicas(), 0, "{zones} zones");
    }
    // after the loss of one zone of three, each shard still has all its replicas in the other two
    let all = membership(42, 3, 3, count);
    let lost: Vec<String> = (0..42).step_by(3).map(|n| format!("sender-{n}")).collect();
    let lost: Vec<&str> = lost.iter().map(String::as_str).collect();
    let remaining = assignment(&without_members(&all, &lost, count), count);
    assert_stable(&remaining, count);
    assert_eq!(remaining.unassigned_replicas(), 0);
}

#[test]
fn each_shard_has_a_sender_until_the_last_sender_leaves() {
    let count = 256;
    let mut current = membership(9, 4, 3, count);
    let mut assignment = assignment(&current, count);
    for n in 0..8 {
        current = without_members(&current, &[&format!("sender-{n}")], count);
        assignment.update(current.clone());
        assert_stable(&assignment, count);
        assert!(
            shard_count(count)
                .shards()
                .all(|shard| assignment.senders_of(shard).next().is_some())
        );
    }
    current = without_members(&current, &["sender-8"], count);
    assignment.update(current.clone());
    assert!(
        assignment.senders_of(ShardId(0)).next().is_none(),
        "no sender is left"
    );
    current = current
        .with_members(members(9, 4), shard_count(count))
        .expect("valid");
    assignment.update(current);
    assert_eq!(assignment.unassigned_replicas(), 0);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]
    #[test]
    fn matching_of_any_small_membership_is_stable(
        group in proptest::collection::btree_map("[a-z]{1,6}", (0u8..5, 1u8..=16), 0..24), replication_factor in 1u8..=5,
        lost in 0usize..24,
    ) {
        let count = 96;
        let all: BTreeMap<Box<str>, Member> = group
            .iter()
            .map(|(name, (zone, weight))| {
                (name.as_str().into(), Member { zone: format!("zone-{zone}").into(), weight: *weight })
            })
            .collect();
        let first = empty_membership(1, replication_factor).with_members(all.clone(), shard_count(count)).expect("valid");
        let mut updated = assignment(&first, count);
        assert_stable(&updated, count);
        let mut fewer = all.clone();
        if let Some(name) = all.keys().nth(lost) {
            fewer.remove(name);
        }
        let next = first.with_members(fewer, shard_count(count)).expect("valid");
        updated.update(next.clone());
        assert_stable(&updated, count);
        prop_assert_eq!(senders_by_shard(&updated, count), senders_by_shard(&assignment(&next, count), count));
    }
}
