//! The JSON form of log entries and of their outcomes.

use super::{
    AFTER_RESTORE, LEADER_TERM, LEASE, LONG_LEASE, STATE, claim, member_info, open, read_state,
    write,
};
use milletturn_coordination::batching::QueueFull;
use milletturn_coordination::{
    Command, CommandOutcome, CoordinationState, FencingToken, LeaderTerm, MemberInfo,
    PRE_RESTORE_SESSION, Rejection, SessionId,
};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::fmt::Debug;

const COMMANDS: &str = include_str!("data/commands.jsonl");
const OUTCOMES: &str = include_str!("data/outcomes.jsonl");
const ERROR_TEXTS: &str = include_str!("data/texts.txt");
const REJECTED_TEXTS: &str = include_str!("data/rejected-texts.jsonl");

/// Commands of each kind, a batch of all of them, and an empty batch.
fn commands() -> Vec<Command> {
    let each_kind = vec![
        Command::OpenSession {
            member: MemberInfo {
                name: "n1".into(),
                zone: "".into(),
                version: "0.2".into(),
                role: "".into(),
            },
            nonce: u64::MAX,
            lease: LEASE,
        },
        open("n2 \"zwei\" ü", 17, LONG_LEASE),
        Command::CloseSession {
            session: SessionId(1),
        },
        Command::ExpireSession {
            session: SessionId(2),
            leader_term: LeaderTerm(7),
        },
        Command::ExpireSession {
            session: PRE_RESTORE_SESSION,
            leader_term: LeaderTerm(8),
        },
        claim(3, "limit https://a.example/x"),
        Command::Release {
            session: SessionId(3),
            resource: "w".to_string(),
            token: FencingToken(4),
        },
        Command::Revoke {
            resource: "w".to_string(),
            token: FencingToken(AFTER_RESTORE + 1),
        },
        write(3, "w", 5, 6, "half way\n"),
    ];
    let batch = Command::Batch {
        commands: each_kind.clone(),
    };
    each_kind
        .into_iter()
        .chain([
            batch,
            Command::Batch {
                commands: Vec::new(),
            },
        ])
        .collect()
}

fn rejections() -> Vec<Rejection> {
    vec![
        Rejection::SessionNotFound {
            session: SessionId(9),
        },
        Rejection::StaleLeaderTerm {
            leader_term: LeaderTerm(3),
            current: LeaderTerm(5),
        },
        Rejection::RestoreGracePeriod,
        Rejection::NameTaken {
            name: "n1".to_string(),
            session: SessionId(12),
        },
        Rejection::ResourceOwned {
            resource: "w".to_string(),
            owner: "n1".to_string(),
            token: FencingToken(13),
        },
        Rejection::Fenced {
            resource: "w".to_string(),
            token: FencingToken(14),
            current: FencingToken(15),
        },
        Rejection::OutOfOrder {
            resource: "w".to_string(),
            token: FencingToken(16),
            number: 17,
            last: 18,
        },
        Rejection::NestedBatch,
        Rejection::LimitReached {
            what: "sessions".to_string(),
            limit: 32_768,
        },
        Rejection::InvalidLength {
            what: "the member's name".to_string(),
            bytes: 129,
            limit: 128,
        },
    ]
}

fn outcomes() -> Vec<CommandOutcome> {
    let mut each_kind = vec![
        CommandOutcome::SessionOpened {
            session: SessionId(1),
            lease: LEASE,
        },
        CommandOutcome::Claimed {
            token: FencingToken(2),
            writes: 3,
            checkpoint: "half way\n".to_string(),
        },
        CommandOutcome::Done,
    ];
    each_kind.extend(rejections().into_iter().map(CommandOutcome::Rejected));
    let all = CommandOutcome::Batch(each_kind.clone());
    each_kind
        .into_iter()
        .chain([all, CommandOutcome::Batch(Vec::new())])
        .collect()
}

/// Checks that each line is parsed to the value at the same index, and that the value is serialized to that line.
fn assert_serialized<T: Debug + PartialEq + Serialize + DeserializeOwned>(
    text: &str,
    values: &[T],
) {
    assert_eq!(text.lines().count(), values.len());
    for (line, value) in text.lines().zip(values) {
        let read: T = serde_json::from_str(line).expect(line);
        assert_eq!(&read, value, "{line}");
        assert_eq!(serde_json::to_string(value).expect("serializable"), line);
    }
}

#[test]
fn log_entries_of_each_kind_have_an_unchanged_json_form() {
    assert_serialized(COMMANDS, &commands());
}

#[test]
fn outcomes_and_rejections_of_each_kind_have_an_unchanged_json_form() {
    assert_serialized(OUTCOMES, &outcomes());
}

/// Error texts are sent in responses and printed by commands, so they must not change.
#[test]
fn error_texts_are_unchanged() {
    let restore = CoordinationState::default().restored(0, LEASE);
    let texts = rejections()
        .iter()
        .map(ToString::to_string)
        .chain([
            QueueFull.to_string(),
            restore
                .expect_err("the generation is not higher")
                .to_string(),
        ])
        .collect::<Vec<_>>();
    assert_eq!(texts, ERROR_TEXTS.lines().collect::<Vec<_>>());
}

/// Checks the texts with which the state machine rejects invalid commands. Operators' commands and members print them,
/// so they must not change.
#[test]
fn rejections_of_invalid_commands_have_unchanged_texts() {
    let long = "x".repeat(513);
    let opening = |change: fn(&mut MemberInfo, &str)| {
        let mut member = member_info("n9");
        change(&mut member, &long);
        Command::OpenSession {
            member,
            nonce: 1,
            lease: LEASE,
        }
    };
    let commands = [
        opening(|member, _| member.name.clear()),
        opening(|member, long| member.zone = long.to_string()),
        opening(|member, long| member.version = long.to_string()),
        opening(|member, long| member.role = long.to_string()),
        claim(1, ""),
        write(1, "w", 1, 1, &long),
        Command::Batch {
            commands: vec![claim(1, "w"); 513],
        },
        Command::Batch {
            commands: vec![Command::Batch {
                commands: Vec::new(),
            }],
        },
        write(1, "unknown", 1, 1, ""),
        open("n1", 12, LEASE),
        claim(9, "w"),
        claim(1, "w"),
        Command::ExpireSession {
            session: SessionId(1),
            leader_term: LeaderTerm(5),
        },
        write(2, "w", 3, 5, ""),
    ];
    let mut state = read_state(STATE);
    let outcomes = commands.map(|command| state.apply(command, LEADER_TERM));
    assert_serialized(REJECTED_TEXTS, &outcomes);
}
