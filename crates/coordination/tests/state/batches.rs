//! Several commands in one entry of the log.

use super::{LEADER_TERM, LEASE, apply, claim_command, open, open_command, write_command};
use milletturn_coordination::{
    Command, CommandOutcome, CoordinationState, FencingToken, LeaderTerm, Rejection, SessionId,
    bounds,
};

/// Commands of two members, three of which are rejected: a name that is taken, an empty name, and an owned resource.
fn mixed_commands() -> Vec<Command> {
    let (one, two) = (SessionId(1), SessionId(2));
    vec![
        open_command("n1", 1),
        open_command("n2", 2),
        open_command("n1", 3),
        open_command("", 4),
        claim_command(one, "w"),
        claim_command(two, "w"),
        write_command(one, FencingToken(1), 1, "a"),
        Command::CloseSession { session: two },
    ]
}

fn opened(session: u64) -> CommandOutcome {
    CommandOutcome::SessionOpened {
        session: SessionId(session),
        lease: LEASE,
    }
}

#[test]
fn commands_of_a_batch_have_the_outcomes_that_they_would_have_alone() {
    let (mut together, mut alone) = (CoordinationState::default(), CoordinationState::default());
    let outcomes: Vec<CommandOutcome> = mixed_commands()
        .into_iter()
        .map(|command| apply(&mut alone, command))
        .collect();
    assert!(matches!(
        outcomes[2],
        CommandOutcome::Rejected(Rejection::NameTaken {
            session: SessionId(1),
            ..
        })
    ));
    assert!(matches!(
        outcomes[3],
        CommandOutcome::Rejected(Rejection::InvalidLength { .. })
    ));
    assert!(matches!(
        outcomes[5],
        CommandOutcome::Rejected(Rejection::ResourceOwned { .. })
    ));
    assert!(
        !together.batching_enabled(),
        "a majority may not be able to read batches"
    );
    let commands = mixed_commands();
    assert_eq!(
        apply(&mut together, Command::Batch { commands }),
        CommandOutcome::Batch(outcomes)
    );
    assert!(together.batching_enabled() && !alone.batching_enabled());
    assert_eq!(
        (together.sessions(), together.resources()),
        (alone.sessions(), alone.resources())
    );
    assert!(together.history().eq(alone.history()));
}

#[test]
fn session_opens_repeated_in_a_batch_open_no_second_session() {
    let mut state = CoordinationState::default();
    let opens = |names: &[(&str, u64)]| Command::Batch {
        commands: (names.iter())
            .map(|&(name, nonce)| open_command(name, nonce))
            .collect(),
    };
    let first = apply(&mut state, opens(&[("n1", 1), ("n2", 2)]));
    assert_eq!(first, CommandOutcome::Batch(vec![opened(1), opened(2)]));
    // The response was lost, so both commands are sent again in a batch with a third one, and one of them twice.
    let repeated = apply(
        &mut state,
        opens(&[("n3", 3), ("n2", 2), ("n1", 1), ("n2", 2)]),
    );
    assert_eq!(
        repeated,
        CommandOutcome::Batch(vec![opened(3), opened(2), opened(1), opened(2)])
    );
    assert_eq!(state.sessions().len(), 3);
}

#[test]
fn batches_are_bounded_and_contain_no_batch() {
    let mut state = CoordinationState::default();
    let nested = Command::Batch {
        commands: vec![
            Command::Batch {
                commands: vec![open_command("n1", 1)],
            },
            open_command("n1", 1),
        ],
    };
    let outcomes = vec![CommandOutcome::Rejected(Rejection::NestedBatch), opened(1)];
    assert_eq!(apply(&mut state, nested), CommandOutcome::Batch(outcomes));
    let before = state.clone();
    let close = Command::CloseSession {
        session: SessionId(1),
    };
    let too_many = Command::Batch {
        commands: vec![close; bounds::MAX_BATCH_LEN + 1],
    };
    assert!(matches!(
        apply(&mut state, too_many),
        CommandOutcome::Rejected(Rejection::LimitReached { .. })
    ));
    assert_eq!(state, before, "no command of a rejected batch is applied");
}

/// A coordinator that lost and regained the leadership doesn't know which heartbeats another leader confirmed in
/// between. An expiry that it determined in its earlier term is therefore rejected, in a batch as well as alone.
#[test]
fn an_expiry_determined_in_an_earlier_leader_term_is_rejected_in_a_batch() {
    let mut state = CoordinationState::default();
    let session = open(&mut state, "n1", 1);
    let earlier = LeaderTerm(LEADER_TERM.0 - 1);
    let commands = [earlier, LEADER_TERM].map(|leader_term| Command::ExpireSession {
        session,
        leader_term,
    });
    let batch = Command::Batch {
        commands: commands.to_vec(),
    };
    let CommandOutcome::Batch(outcomes) = apply(&mut state, batch) else {
        panic!("expected one outcome per command");
    };
    let stale = Rejection::StaleLeaderTerm {
        leader_term: earlier,
        current: LEADER_TERM,
    };
    assert_eq!(
        outcomes,
        [CommandOutcome::Rejected(stale), CommandOutcome::Done]
    );
}

#[test]
fn log_entries_of_earlier_versions_and_batches_are_written_unchanged() {
    let earlier = [
        r#"{"open":{"about":{"name":"n","zone":"","version":"","serves":""},"nonce":1,"lease":9}}"#,
        r#"{"close":{"session":1}}"#,
        r#"{"expire":{"session":1,"reign":2}}"#,
        r#"{"claim":{"session":1,"work":"w"}}"#,
        r#"{"release":{"session":1,"work":"w","term":1}}"#,
        r#"{"free":{"work":"w","term":1}}"#,
        r#"{"act":{"session":1,"work":"w","term":1,"number":1,"cursor":""}}"#,
    ];
    for text in earlier {
        let command: Command = serde_json::from_str(text).expect(text);
        assert_eq!(
            serde_json::to_string(&command).expect("written"),
            text,
            "written so that a coordinator of an earlier version reads the entry"
        );
    }
    let batch = format!(r#"{{"all":{{"entries":[{}]}}}}"#, earlier.join(","));
    let command: Command = serde_json::from_str(&batch).expect("a batch");
    assert_eq!(serde_json::to_string(&command).expect("written"), batch);
}
