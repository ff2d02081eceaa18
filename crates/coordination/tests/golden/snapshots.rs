//! The JSON form of snapshots, which backups contain too.

use super::{
    AFTER_RESTORE, LEADER_TERM, LEASE, LONG_LEASE, STATE, claim, member_info, open, read_state,
    write,
};
use milletturn_coordination::state::{Event, EventKind, LeasesVersion, Resource, Session};
use milletturn_coordination::{
    Command, CommandOutcome, CoordinationState, FencingToken, LeaderTerm, Micros,
    PRE_RESTORE_SESSION, Rejection, SessionId,
};
use std::collections::BTreeMap;

const RESTORED_STATE: &str = include_str!("data/restored-state.json");
const STATE_IN_USE_AFTER_RESTORE: &str = include_str!("data/state-in-use-after-restore.json");
const STATE_BEFORE_BATCHES: &str = include_str!("data/state-before-batches.json");

/// A state with open sessions that have different leases, owned and unowned resources, and an event of each kind.
fn populated_state() -> CoordinationState {
    let mut state = CoordinationState::default();
    let commands = [
        open("n1", 11, LEASE),
        open("n2", 12, LONG_LEASE),
        open("n3", 13, LEASE),
        claim(1, "w"),
        write(1, "w", 1, 1, "first"),
        write(1, "w", 1, 2, "second"),
        Command::Release {
            session: SessionId(1),
            resource: "w".to_string(),
            token: FencingToken(1),
        },
        claim(2, "w"),
        Command::Revoke {
            resource: "w".to_string(),
            token: FencingToken(2),
        },
        write(2, "w", 2, 1, "late"),
        claim(3, "v"),
        write(3, "v", 1, 1, "third"),
        Command::ExpireSession {
            session: SessionId(3),
            leader_term: LeaderTerm(6),
        },
        write(3, "v", 1, 2, "late"),
        Command::Batch {
            commands: vec![claim(2, "w"), claim(1, "u \"ü\""), open("n4", 14, LEASE)],
        },
        write(2, "w", 3, 1, "fourth"),
    ];
    for command in commands {
        state.apply(command, LEADER_TERM);
    }
    state
}

fn event(number: u64, resource: &str, token: u64, member: &str, kind: EventKind) -> Event {
    Event {
        number,
        resource: resource.to_string(),
        token: FencingToken(token),
        member: member.to_string(),
        kind,
    }
}

/// The events of [`populated_state`].
fn populated_events() -> Vec<Event> {
    vec![
        event(1, "w", 1, "n1", EventKind::Acquired),
        event(2, "w", 1, "n1", EventKind::Written(1)),
        event(3, "w", 1, "n1", EventKind::Written(2)),
        event(4, "w", 1, "n1", EventKind::Released),
        event(5, "w", 2, "n2", EventKind::Acquired),
        event(6, "w", 2, "n2", EventKind::Revoked),
        event(7, "w", 2, "n2", EventKind::Fenced),
        event(8, "v", 1, "n3", EventKind::Acquired),
        event(9, "v", 1, "n3", EventKind::Written(1)),
        event(10, "v", 1, "n3", EventKind::Expired),
        event(11, "v", 1, "session 3", EventKind::Fenced),
        event(12, "w", 3, "n2", EventKind::Acquired),
        event(13, "u \"ü\"", 1, "n1", EventKind::Acquired),
        event(14, "w", 3, "n2", EventKind::Written(1)),
    ]
}

fn resource(token: u64, owner: Option<u64>, writes: u64, checkpoint: &str) -> Resource {
    Resource {
        token: FencingToken(token),
        owner: owner.map(SessionId),
        writes,
        checkpoint: checkpoint.to_string(),
    }
}

fn open_session(name: &str, nonce: u64, lease: Micros) -> Session {
    Session {
        member: member_info(name),
        nonce,
        lease,
    }
}

fn version(last_session: u64, open_sessions: usize, in_restore_grace: bool) -> LeasesVersion {
    LeasesVersion {
        last_session: SessionId(last_session),
        open_sessions,
        in_restore_grace,
    }
}

#[test]
fn a_snapshot_has_an_unchanged_json_form() {
    let state = read_state(STATE);
    let sessions = BTreeMap::from([
        (SessionId(1), open_session("n1", 11, LEASE)),
        (SessionId(2), open_session("n2", 12, LONG_LEASE)),
        (SessionId(4), open_session("n4", 14, LEASE)),
    ]);
    let resources = BTreeMap::from([
        ("u \"ü\"".to_string(), resource(1, Some(1), 0, "")),
        ("v".to_string(), resource(1, None, 1, "third")),
        ("w".to_string(), resource(3, Some(2), 1, "fourth")),
    ]);
    assert_eq!(state.sessions(), &sessions);
    assert_eq!(state.resources(), &resources);
    assert_eq!(
        state.history().cloned().collect::<Vec<_>>(),
        populated_events()
    );
    assert_eq!(state.generation(), 0);
    let leases = [
        (SessionId(1), LEASE),
        (SessionId(2), LONG_LEASE),
        (SessionId(4), LEASE),
    ];
    assert_eq!(state.leases().collect::<Vec<_>>(), leases);
    assert_eq!(state.leases_version(), version(4, 3, false));
    assert!(state.batching_enabled());
    assert_eq!(
        state,
        populated_state(),
        "the same commands produce the same state"
    );
}

#[test]
fn a_snapshot_that_predates_batches_is_read_with_batching_disabled() {
    let state: CoordinationState = serde_json::from_str(STATE_BEFORE_BATCHES).expect("a state");
    assert!(!state.batching_enabled());
    let with_batching_field =
        STATE_BEFORE_BATCHES.replace(r#""resting":null}"#, r#""resting":null,"several":false}"#);
    assert_eq!(
        serde_json::to_string(&state).expect("serializable"),
        with_batching_field
    );
    assert_eq!(
        with_batching_field.replace(r#""several":false"#, r#""several":true"#),
        STATE,
        "the two snapshots differ only in the batching field"
    );
}

#[test]
fn a_restored_snapshot_has_an_unchanged_json_form() {
    let state = read_state(RESTORED_STATE);
    assert!(state.sessions().is_empty());
    let resources = BTreeMap::from([
        ("u \"ü\"".to_string(), resource(AFTER_RESTORE, None, 0, "")),
        ("v".to_string(), resource(AFTER_RESTORE, None, 0, "third")),
        ("w".to_string(), resource(AFTER_RESTORE, None, 0, "fourth")),
    ]);
    assert_eq!(state.resources(), &resources);
    let mut events = populated_events();
    events.push(event(15, "u \"ü\"", 1, "n1", EventKind::Expired));
    events.push(event(16, "w", 3, "n2", EventKind::Expired));
    assert_eq!(state.history().cloned().collect::<Vec<_>>(), events);
    assert_eq!(state.generation(), 2);
    assert_eq!(
        state.leases().collect::<Vec<_>>(),
        [(PRE_RESTORE_SESSION, LONG_LEASE)]
    );
    assert_eq!(state.leases_version(), version(AFTER_RESTORE, 0, true));
    assert!(!state.batching_enabled());
    assert_eq!(
        state,
        read_state(STATE)
            .restored(2, LEASE)
            .expect("a higher generation")
    );
}

/// The commands that were applied to the restored state.
fn commands_after_restore() -> [Command; 6] {
    let id = AFTER_RESTORE + 1;
    [
        open("n1", 21, LEASE),
        claim(id, "w"),
        end_grace_period(LeaderTerm(1)),
        claim(id, "w"),
        write(id, "w", AFTER_RESTORE + 1, 1, "fifth"),
        claim(id, "new"),
    ]
}

fn end_grace_period(leader_term: LeaderTerm) -> Command {
    Command::ExpireSession {
        session: PRE_RESTORE_SESSION,
        leader_term,
    }
}

#[test]
fn a_snapshot_taken_after_commands_on_a_restored_state_has_an_unchanged_json_form() {
    let state = read_state(STATE_IN_USE_AFTER_RESTORE);
    let id = AFTER_RESTORE + 1;
    let token = AFTER_RESTORE + 1;
    assert_eq!(
        state.sessions(),
        &BTreeMap::from([(SessionId(id), open_session("n1", 21, LEASE))])
    );
    let resources = state.resources();
    assert_eq!(resources["w"], resource(token, Some(id), 1, "fifth"));
    assert_eq!(resources["new"], resource(token, Some(id), 0, ""));
    assert_eq!(resources["v"], resource(AFTER_RESTORE, None, 0, "third"));
    assert_eq!(resources.len(), 4);
    let mut events = read_state(RESTORED_STATE)
        .history()
        .cloned()
        .collect::<Vec<_>>();
    let kinds = [
        ("w", EventKind::Acquired),
        ("w", EventKind::Written(1)),
        ("new", EventKind::Acquired),
    ];
    for (number, (resource, kind)) in (AFTER_RESTORE + 1..).zip(kinds) {
        events.push(event(number, resource, token, "n1", kind));
    }
    assert_eq!(state.history().cloned().collect::<Vec<_>>(), events);
    assert_eq!(state.generation(), 2);
    assert_eq!(state.leases().collect::<Vec<_>>(), [(SessionId(id), LEASE)]);
    assert_eq!(state.leases_version(), version(id, 1, false));
    let mut replayed = read_state(RESTORED_STATE);
    for command in commands_after_restore() {
        replayed.apply(command, LeaderTerm(1));
    }
    assert_eq!(state, replayed, "the same commands produce the same state");
}

fn opened(id: u64) -> CommandOutcome {
    CommandOutcome::SessionOpened {
        session: SessionId(id),
        lease: LEASE,
    }
}

/// The outcome of the first claim of a resource.
fn claimed(token: u64) -> CommandOutcome {
    CommandOutcome::Claimed {
        token: FencingToken(token),
        writes: 0,
        checkpoint: String::new(),
    }
}

/// Covers counters without accessors: the next session id, token and event number of a state that was read.
#[test]
fn numbering_continues_after_a_snapshot_is_read() {
    let mut state = read_state(STATE);
    assert_eq!(state.apply(open("n5", 1, LEASE), LEADER_TERM), opened(5));
    assert_eq!(state.apply(claim(5, "new"), LEADER_TERM), claimed(1));
    assert_eq!(
        state.history().last(),
        Some(&event(15, "new", 1, "n5", EventKind::Acquired))
    );
    let mut state = read_state(RESTORED_STATE);
    let next = AFTER_RESTORE + 1;
    assert_eq!(state.apply(open("n5", 1, LEASE), LEADER_TERM), opened(next));
    assert_eq!(
        state.apply(claim(next, "new"), LEADER_TERM),
        CommandOutcome::Rejected(Rejection::RestoreGracePeriod)
    );
    state.apply(end_grace_period(LEADER_TERM), LEADER_TERM);
    assert_eq!(state.apply(claim(next, "new"), LEADER_TERM), claimed(next));
    let acquired = event(next, "new", next, "n5", EventKind::Acquired);
    assert_eq!(state.history().last(), Some(&acquired));
}
