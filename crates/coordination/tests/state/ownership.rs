//! Ownership of resources: claims, tokens, and the rejection of former owners.

use super::{
    LEADER_TERM, acquire, apply, claim, expire, open, open_command, release, revoke, write,
};
use milletturn_coordination::state::EventKind;
use milletturn_coordination::{CommandOutcome, CoordinationState, LeaderTerm, Rejection, bounds};

#[test]
fn repeated_commands_open_no_second_session_and_grant_no_second_token() {
    let mut state = CoordinationState::default();
    let one = open(&mut state, "n1", 7);
    assert_eq!(open(&mut state, "n1", 7), one);
    assert_eq!(
        apply(&mut state, open_command("n1", 8)),
        CommandOutcome::Rejected(Rejection::NameTaken {
            name: "n1".into(),
            session: one
        }),
        "a second process may not use the name while the first one's session is open"
    );
    let token = acquire(&mut state, one, "w");
    assert_eq!(acquire(&mut state, one, "w"), token);
    assert_eq!(write(&mut state, one, token, 1, "a"), CommandOutcome::Done);
    assert_eq!(
        write(&mut state, one, token, 1, "a"),
        CommandOutcome::Done,
        "a repeated write succeeds without effect"
    );
    assert!(matches!(
        write(&mut state, one, token, 1, "b"),
        CommandOutcome::Rejected(Rejection::OutOfOrder { last: 1, .. })
    ));
    assert!(matches!(
        write(&mut state, one, token, 3, "c"),
        CommandOutcome::Rejected(Rejection::OutOfOrder { last: 1, .. })
    ));
    assert_eq!(
        claim(&mut state, one, "w"),
        CommandOutcome::Claimed {
            token,
            writes: 1,
            checkpoint: "a".into()
        },
        "an owner whose response was lost learns its last write"
    );
    let is_write = |kind| matches!(kind, EventKind::Written(_));
    let writes = state.history().filter(|event| is_write(event.kind)).count();
    assert_eq!(writes, 1);
}

fn is_fenced(outcome: &CommandOutcome) -> bool {
    matches!(outcome, CommandOutcome::Rejected(Rejection::Fenced { .. }))
}

#[test]
fn a_former_owner_is_fenced_and_the_next_one_continues() {
    let mut state = CoordinationState::default();
    let (one, two) = (open(&mut state, "n1", 1), open(&mut state, "n2", 2));
    let first = acquire(&mut state, one, "w");
    let outcome = write(&mut state, one, first, 1, "half");
    assert_eq!(outcome, CommandOutcome::Done);
    assert_eq!(
        claim(&mut state, two, "w"),
        CommandOutcome::Rejected(Rejection::ResourceOwned {
            resource: "w".into(),
            owner: "n1".into(),
            token: first
        })
    );
    expire(&mut state, one, LEADER_TERM);
    let second = first.next();
    assert_eq!(
        claim(&mut state, two, "w"),
        CommandOutcome::Claimed {
            token: second,
            writes: 0,
            checkpoint: "half".into()
        },
        "the next owner gets the checkpoint of the previous one"
    );
    assert_eq!(
        write(&mut state, one, first, 2, "late"),
        CommandOutcome::Rejected(Rejection::Fenced {
            resource: "w".into(),
            token: first,
            current: second
        })
    );
    // The new token belongs to the next owner, so the former one can't write under it either.
    assert!(is_fenced(&write(&mut state, one, second, 1, "late")));
    // Releasing or revoking the old token does not affect the next owner.
    release(&mut state, one, "w", first);
    revoke(&mut state, "w", first);
    assert_eq!(state.resources()["w"].owner, Some(two));
    assert_eq!(
        claim(&mut state, one, "w"),
        CommandOutcome::Rejected(Rejection::SessionNotFound { session: one })
    );
    // An operator revokes the current token.
    revoke(&mut state, "w", second);
    assert_eq!(state.resources()["w"].owner, None);
    assert!(is_fenced(&write(&mut state, two, second, 1, "late")));
    assert_eq!(acquire(&mut state, two, "w"), second.next());
}

#[test]
fn an_evicted_resource_returns_with_a_higher_token_than_before() {
    let mut state = CoordinationState::default();
    let one = open(&mut state, "n1", 1);
    let mut highest = 0.into();
    for _ in 0..5 {
        highest = acquire(&mut state, one, "w");
        release(&mut state, one, "w", highest);
    }
    for number in 0..2 * bounds::MAX_RESOURCES {
        let name = format!("other {number}");
        for _ in 0..6 {
            let token = acquire(&mut state, one, &name);
            release(&mut state, one, &name, token);
        }
    }
    assert!(!state.resources().contains_key("w"));
    assert_eq!(state.resources().len(), bounds::MAX_RESOURCES);
    assert!(acquire(&mut state, one, "w") > highest);
    assert!(state.history().count() <= bounds::MAX_HISTORY_EVENTS);
}

#[test]
fn an_expiry_determined_in_an_earlier_leader_term_ends_no_session() {
    let mut state = CoordinationState::default();
    let one = open(&mut state, "n1", 1);
    let earlier = LeaderTerm(LEADER_TERM.0 - 2);
    assert_eq!(
        expire(&mut state, one, earlier),
        CommandOutcome::Rejected(Rejection::StaleLeaderTerm {
            leader_term: earlier,
            current: LEADER_TERM
        })
    );
    assert!(state.sessions().contains_key(&one));
}
