//! The values whose serialized forms the golden files contain, and functions that read those files.

use milletturn_coordination::{
    Command, CoordinationState, FencingToken, LeaderTerm, MemberInfo, Micros, SessionId,
};
use milletturn_coordinator::{RaftTypes, ReplicaId};
use openraft::{BasicNode, CommittedLeaderId, LogId, Membership, SnapshotMeta, StoredMembership};
use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};

/// The lease of every session in the golden data.
pub(crate) const LEASE: Micros = Micros(9_000_000);

/// The path of a golden file.
pub(crate) fn golden(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden/data")
        .join(name)
}

/// The text of a golden file.
pub(crate) fn golden_text(name: &str) -> String {
    std::fs::read_to_string(golden(name)).expect("golden data")
}

/// Checks that a text equals a golden file, line by line, so that a failure shows the differing line.
pub(crate) fn assert_golden(name: &str, text: &str) {
    let expected = golden_text(name);
    for (number, (expected_line, line)) in expected.lines().zip(text.lines()).enumerate() {
        assert_eq!(line, expected_line, "{name}, line {}", number + 1);
    }
    assert_eq!(text, expected, "{name}");
}

pub(crate) fn log_id(index: u64) -> LogId<ReplicaId> {
    LogId::new(CommittedLeaderId::new(5, 2), index)
}

pub(crate) fn member(name: &str) -> MemberInfo {
    MemberInfo {
        name: name.into(),
        zone: "north".into(),
        version: "0.1.0".into(),
        role: "sender".into(),
    }
}

fn open(name: &str, nonce: u64) -> Command {
    Command::OpenSession {
        member: member(name),
        nonce,
        lease: LEASE,
    }
}

fn close(session: u64) -> Command {
    Command::CloseSession {
        session: SessionId(session),
    }
}

fn expire(session: u64, leader_term: u64) -> Command {
    Command::ExpireSession {
        session: SessionId(session),
        leader_term: LeaderTerm(leader_term),
    }
}

fn claim(session: u64, resource: &str) -> Command {
    Command::Claim {
        session: SessionId(session),
        resource: resource.to_string(),
    }
}

fn release(session: u64, resource: &str, token: u64) -> Command {
    Command::Release {
        session: SessionId(session),
        resource: resource.to_string(),
        token: FencingToken(token),
    }
}

fn revoke(resource: &str, token: u64) -> Command {
    Command::Revoke {
        resource: resource.to_string(),
        token: FencingToken(token),
    }
}

fn write(session: u64, resource: &str, token: u64, number: u64, checkpoint: &str) -> Command {
    Command::FencedWrite {
        session: SessionId(session),
        resource: resource.to_string(),
        token: FencingToken(token),
        number,
        checkpoint: checkpoint.to_string(),
    }
}

/// Each kind of command as an entry of its own, and each except a batch inside a batch. They are ordered so that the
/// state accepts most of them.
pub(crate) fn commands() -> Vec<Command> {
    vec![
        open("sender-1", 0x1234_5678_9abc_def0),
        open("sender-2", u64::MAX),
        claim(1, "outlet/7"),
        write(1, "outlet/7", 1, 1, "page 3"),
        release(1, "outlet/7", 1),
        claim(1, "outlet/7"),
        write(1, "outlet/7", 1, 2, "late"),
        revoke("outlet/7", 2),
        claim(2, "outlet/7"),
        claim(1, "zone \"ä\""),
        expire(2, 5),
        close(7),
        Command::Batch {
            commands: vec![
                open("sender-3", 3),
                claim(3, "outlet/8"),
                write(3, "outlet/8", 1, 1, ""),
                release(3, "outlet/8", 1),
                revoke("outlet/8", 1),
                expire(3, 4),
                close(3),
            ],
        },
    ]
}

/// The state after all commands were applied under the leader term 5.
pub(crate) fn state() -> CoordinationState {
    let mut state = CoordinationState::default();
    for command in commands() {
        state.apply(command, LeaderTerm(5));
    }
    state
}

/// Three voting replicas, one of them with an address in the membership, and a fourth replica that does not vote.
pub(crate) fn membership() -> Membership<ReplicaId, BasicNode> {
    let voters = BTreeSet::from([1, 2, 3]);
    let nodes = (1..=4).map(|id| {
        (
            id,
            BasicNode::new(if id == 3 { "10.0.0.3:7301" } else { "" }),
        )
    });
    Membership::new(vec![voters], nodes.collect::<BTreeMap<_, _>>())
}

pub(crate) fn stored_membership(index: u64) -> StoredMembership<ReplicaId, BasicNode> {
    StoredMembership::new(Some(log_id(index)), membership())
}

pub(crate) fn snapshot_meta(index: u64) -> SnapshotMeta<ReplicaId, BasicNode> {
    SnapshotMeta {
        last_log_id: Some(log_id(index)),
        last_membership: stored_membership(0),
        snapshot_id: format!("5-{index}"),
    }
}

/// Raft log entries from this index on: a blank one, a membership, and each command.
pub(crate) fn log_entries(from: u64) -> Vec<openraft::Entry<RaftTypes>> {
    use openraft::EntryPayload::{Blank, Membership, Normal};
    let payloads = [Membership(membership()), Blank]
        .into_iter()
        .chain(commands().into_iter().map(Normal));
    (from..)
        .zip(payloads)
        .map(|(index, payload)| openraft::Entry {
            log_id: log_id(index),
            payload,
        })
        .collect()
}
