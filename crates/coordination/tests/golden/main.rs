//! Golden files written by an earlier build, whose types and fields had other names: log entries, outcomes, snapshots
//! and a fencing guard. The current code must read the same values from them and write identical text. A coordinator
//! stores and sends all of them as compact JSON.

mod commands;
mod fencing;
mod snapshots;

use milletturn_coordination::{
    Command, CoordinationState, FencingToken, LeaderTerm, MemberInfo, Micros, SessionId,
};

const STATE: &str = include_str!("data/state.json");

const LEASE: Micros = Micros(9_000_000);
const LONG_LEASE: Micros = Micros(12_000_000);
const LEADER_TERM: LeaderTerm = LeaderTerm(6);
/// The base of session ids, tokens and event numbers after a restore with generation 2: `2 << 40`.
const AFTER_RESTORE: u64 = 2_199_023_255_552;

fn member_info(name: &str) -> MemberInfo {
    MemberInfo {
        name: name.to_string(),
        zone: "zone-a".to_string(),
        version: "0.1.0".to_string(),
        role: "sender".to_string(),
    }
}

fn open(name: &str, nonce: u64, lease: Micros) -> Command {
    Command::OpenSession {
        member: member_info(name),
        nonce,
        lease,
    }
}

fn write(id: u64, resource: &str, token: u64, number: u64, checkpoint: &str) -> Command {
    Command::FencedWrite {
        session: SessionId(id),
        resource: resource.to_string(),
        token: FencingToken(token),
        number,
        checkpoint: checkpoint.to_string(),
    }
}

fn claim(id: u64, resource: &str) -> Command {
    Command::Claim {
        session: SessionId(id),
        resource: resource.to_string(),
    }
}

/// Parses a state and checks that it is serialized to the same text.
fn read_state(text: &str) -> CoordinationState {
    let state: CoordinationState = serde_json::from_str(text).expect("a state");
    assert_eq!(serde_json::to_string(&state).expect("serializable"), text);
    state
}
