//! Guards the serialized forms and fixed limits of this package against changes, since earlier builds use the same ones.
//!
//! Each line of `golden/messages.txt` has a label, a tab and the JSON text that an earlier build wrote. A test parses the
//! text, compares the result with a value that is built field by field, and compares the value's own JSON text with the
//! golden one byte for byte.

mod common;

use common::{empty_membership, endpoint, full_endpoint, shard_count};
use milletturn_shard_map::limits;
use milletturn_shard_map::sync::SyncError;
use milletturn_shard_map::{
    Change, Digest, Endpoint, LeaderTerm, Limits, Member, Membership, Operation, ShardCount,
    ShardId, ShardVersion, SyncRequest, Update, Version, VersionedChange,
};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::collections::BTreeMap;
use std::fmt::Debug;

const MESSAGES: &str = include_str!("golden/messages.txt");

fn text_of(label: &str) -> &'static str {
    let prefix = format!("{label}\t");
    let mut found = MESSAGES
        .lines()
        .filter_map(|text| text.strip_prefix(prefix.as_str()));
    let text = found
        .next()
        .unwrap_or_else(|| panic!("no golden text for {label}"));
    assert!(found.next().is_none(), "two golden texts for {label}");
    text
}

/// Checks that the golden text of this label parses as the value, and that the value serializes to the same text.
fn check<T: Serialize + DeserializeOwned + PartialEq + Debug>(label: &str, value: &T) {
    let text = text_of(label);
    assert_eq!(
        serde_json::to_string(value).expect("written"),
        text,
        "{label} serializes to the golden text"
    );
    assert_eq!(
        serde_json::from_str::<T>(text).expect("read"),
        *value,
        "the golden text of {label} parses to the same value"
    );
}

fn full_change() -> Change {
    Change {
        destination: 42,
        operations: vec![
            Operation::Put(endpoint(42, "endpoint-1", 8_080)),
            Operation::Remove("endpoint-2".into()),
        ],
    }
}

fn versioned_change() -> VersionedChange {
    VersionedChange {
        shard: ShardId(40_007),
        version: Version {
            term: LeaderTerm(5),
            number: 11,
        },
        digest_after: Digest(0x0123_4567_89ab_cdef_0011_2233_4455_6677),
        change: full_change(),
    }
}

fn shard_version() -> ShardVersion {
    ShardVersion {
        shard: ShardId(65_535),
        version: Version {
            term: LeaderTerm(6),
            number: 12,
        },
        digest: Digest(0xfedc_ba98_7654_3210_8899_aabb_ccdd_eeff),
    }
}

#[test]
fn endpoints_changes_versions_and_digests_have_an_unchanged_json_form() {
    check("row", &full_endpoint());
    check("row ipv4", &endpoint(7, "endpoint-1", 80));
    let without_defaults: Endpoint =
        serde_json::from_str(text_of("row without defaults")).expect("read");
    assert_eq!(
        without_defaults,
        Endpoint {
            draining: false,
            weight: 0,
            ..endpoint(7, "endpoint-1", 80)
        }
    );
    check("step put", &Operation::Put(full_endpoint()));
    check("step remove", &Operation::Remove("endpoint-9".into()));
    check("change", &full_change());
    check(
        "position",
        &Version {
            term: LeaderTerm(5),
            number: 11,
        },
    );
    check("range", &ShardId(40_007));
    check("ranges", &ShardCount::default());
    check("ranges few", &shard_count(64));
    check("digest", &Digest(0x0123_4567_89ab_cdef_0011_2233_4455_6677));
    check("digest zero", &Digest::default());
    check("numbered", &versioned_change());
    check("stand", &shard_version());
}

#[test]
fn requests_have_an_unchanged_json_form() {
    check(
        "ask each",
        &SyncRequest::Shards {
            shard_count: shard_count(1_024),
            versions: vec![shard_version(), shard_version()],
        },
    );
    check(
        "ask each none",
        &SyncRequest::Shards {
            shard_count: ShardCount::default(),
            versions: vec![],
        },
    );
    let digest = Digest(0x0123_4567_89ab_cdef_0011_2233_4455_6677);
    check(
        "ask span",
        &SyncRequest::Span {
            shard_count: ShardCount::default(),
            first: 4_096,
            count: 256,
            digest,
        },
    );
}

#[test]
fn updates_have_an_unchanged_json_form() {
    check("told change", &Update::Change(versioned_change()));
    check("told stand", &Update::Version(shard_version()));
    check(
        "told whole",
        &Update::Snapshot {
            version: shard_version(),
            endpoints: vec![full_endpoint(), endpoint(7, "endpoint-1", 80)],
        },
    );
    let digest = Digest(0x0123_4567_89ab_cdef_0011_2233_4455_6677);
    check(
        "told same",
        &Update::SpanMatches {
            term: LeaderTerm(9),
            first: 16,
            count: 32,
            digest,
        },
    );
    let digests = vec![digest, Digest::default()];
    check(
        "told parts",
        &Update::SpanDigests {
            term: LeaderTerm(9),
            first: 16,
            part_length: 8,
            digests,
        },
    );
    check(
        "answer",
        &vec![
            Update::Version(shard_version()),
            Update::Change(versioned_change()),
        ],
    );
}

/// The responding side sends these messages as the reason in an error response.
#[test]
fn error_texts_of_rejected_requests_are_unchanged() {
    assert_eq!(
        SyncError::ShardCountMismatch {
            local: 64,
            remote: 32
        }
        .to_string(),
        text_of("bad ask other ranges")
    );
    assert_eq!(
        SyncError::TooManyShards(513).to_string(),
        text_of("bad ask too many")
    );
    assert_eq!(
        SyncError::UnknownShard.to_string(),
        text_of("bad ask no such range")
    );
    assert_eq!(
        serde_json::from_str::<ShardCount>("0")
            .expect_err("zero shards")
            .to_string(),
        text_of("no ranges")
    );
    assert_eq!(
        serde_json::from_str::<Digest>("\"0\"")
            .expect_err("too short")
            .to_string(),
        text_of("no digest")
    );
}

fn two_members() -> BTreeMap<Box<str>, Member> {
    BTreeMap::from([
        (
            "sender-a".into(),
            Member {
                zone: "north".into(),
                weight: 2,
            },
        ),
        (
            "sender-b".into(),
            Member {
                zone: "south".into(),
                weight: 16,
            },
        ),
    ])
}

#[test]
fn memberships_have_an_unchanged_json_form() {
    check(
        "member",
        &Member {
            zone: "north".into(),
            weight: 2,
        },
    );
    let first = empty_membership(3, 2);
    check("membership empty", &first);
    let next = first
        .with_members(two_members(), shard_count(64))
        .expect("valid");
    check("membership", &next);
    let read: Membership = serde_json::from_str(text_of("membership")).expect("read");
    let version = Version {
        term: LeaderTerm(3),
        number: 1,
    };
    assert_eq!(read.version(), version);
    assert_eq!(read.replication_factor(), 2);
    assert_eq!(read.shards_per_weight(), 9);
    assert_eq!(read.members(), &two_members());
    let mut raised = next;
    raised.raise_term(LeaderTerm(8));
    check("membership led", &raised);
}

/// Limits that all processes must have in common.
#[test]
fn limits_are_unchanged() {
    let numbers = [
        limits::MAX_NAME_BYTES,
        limits::MAX_CHANGE_OPERATIONS,
        limits::MAX_HISTORY,
        limits::MAX_REQUEST_SHARDS,
        limits::MAX_RESPONSE_BYTES,
        limits::MAX_MEMBERS,
        limits::MAX_REPLICATION_FACTOR,
    ];
    assert_eq!(numbers, [128, 64, 8, 512, 4 << 20, 32_768, 8]);
    assert_eq!(
        (
            limits::SPAN_PARTS,
            limits::MAX_MEMBER_WEIGHT,
            ShardCount::MAX
        ),
        (16, 16, 65_536)
    );
    assert_eq!(
        Limits::new(6_000, 17, 9, 12),
        Limits {
            shard_bytes: 102_000,
            total_bytes: 9,
            history: 8
        }
    );
}
