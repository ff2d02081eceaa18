//! The replicated state machine: tokens only increase, a repeated command changes nothing, and the writes of former
//! owners are rejected.

mod batches;
mod limits;
mod ownership;
mod restore;

use milletturn_coordination::{
    Command, CommandOutcome, CoordinationState, FencingToken, LeaderTerm, MemberInfo, Micros,
    SessionId,
};

const LEASE: Micros = Micros(9_000_000);
const LEADER_TERM: LeaderTerm = LeaderTerm(4);

fn apply(state: &mut CoordinationState, command: Command) -> CommandOutcome {
    state.apply(command, LEADER_TERM)
}

fn open_command(name: &str, nonce: u64) -> Command {
    Command::OpenSession {
        member: MemberInfo {
            name: name.into(),
            zone: "a".into(),
            version: "0.1.0".into(),
            role: "sender".into(),
        },
        nonce,
        lease: LEASE,
    }
}

fn open(state: &mut CoordinationState, name: &str, nonce: u64) -> SessionId {
    match apply(state, open_command(name, nonce)) {
        CommandOutcome::SessionOpened {
            session,
            lease: LEASE,
        } => session,
        other => panic!("{other:?}"),
    }
}

fn claim_command(session: SessionId, resource: &str) -> Command {
    Command::Claim {
        session,
        resource: resource.into(),
    }
}

fn claim(state: &mut CoordinationState, session: SessionId, resource: &str) -> CommandOutcome {
    apply(state, claim_command(session, resource))
}

/// Claims a resource, which must succeed, and returns the token.
fn acquire(state: &mut CoordinationState, session: SessionId, resource: &str) -> FencingToken {
    match claim(state, session, resource) {
        CommandOutcome::Claimed { token, .. } => token,
        other => panic!("{other:?}"),
    }
}

fn release(state: &mut CoordinationState, session: SessionId, resource: &str, token: FencingToken) {
    let resource = resource.into();
    apply(
        state,
        Command::Release {
            session,
            resource,
            token,
        },
    );
}

fn revoke(state: &mut CoordinationState, resource: &str, token: FencingToken) {
    let resource = resource.into();
    apply(state, Command::Revoke { resource, token });
}

fn expire(
    state: &mut CoordinationState,
    session: SessionId,
    leader_term: LeaderTerm,
) -> CommandOutcome {
    apply(
        state,
        Command::ExpireSession {
            session,
            leader_term,
        },
    )
}

/// A write on behalf of the resource `w`.
fn write_command(
    session: SessionId,
    token: FencingToken,
    number: u64,
    checkpoint: &str,
) -> Command {
    Command::FencedWrite {
        session,
        resource: "w".into(),
        token,
        number,
        checkpoint: checkpoint.into(),
    }
}

fn write(
    state: &mut CoordinationState,
    session: SessionId,
    token: FencingToken,
    number: u64,
    checkpoint: &str,
) -> CommandOutcome {
    apply(state, write_command(session, token, number, checkpoint))
}
