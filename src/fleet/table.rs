//! Formats the tables that `milletturn fleet` prints for people.

use crate::columns::columns;
use milletturn_coordination::state::EventKind;
use milletturn_coordination_protocol::messages::{CoordinatorStatus, StateView};

/// Number of latest events that the table shows.
const MAX_EVENTS: usize = 20;

/// One row for each coordinator: its reported status, or why it did not respond.
pub(super) fn status(replies: &[(String, Result<CoordinatorStatus, String>)]) -> String {
    let mut rows = vec![row([
        "STEWARD", "ADDRESS", "ROLE", "LEADER", "REIGN", "APPLIED", "VERSION",
    ])];
    for (address, status) in replies {
        rows.push(match status {
            Ok(status) => vec![
                status.coordinator.to_string(),
                address.clone(),
                status.role.clone(),
                status
                    .leader
                    .map_or("-".to_string(), |leader| leader.to_string()),
                status.leader_term.to_string(),
                status.last_applied.to_string(),
                status.version.clone(),
            ],
            Err(why) => vec![
                "-".to_string(),
                address.clone(),
                format!("no answer: {why}"),
            ],
        });
    }
    columns(&rows)
}

/// One row for each open session.
pub(super) fn members(state: &StateView) -> String {
    let mut rows = vec![row([
        "SESSION", "NAME", "ZONE", "SERVES", "VERSION", "OWNS",
    ])];
    for (id, session) in &state.sessions {
        let owns = state
            .resources
            .values()
            .filter(|resource| resource.owner == Some(*id))
            .count();
        let info = &session.member;
        rows.push(vec![
            id.to_string(),
            info.name.clone(),
            dash_if_empty(&info.zone),
            dash_if_empty(&info.role),
            info.version.clone(),
            owns.to_string(),
        ]);
    }
    columns(&rows)
}

/// One row for each selected resource, followed by the latest events.
pub(super) fn resources(state: &StateView, is_selected: impl Fn(&str) -> bool) -> String {
    let mut rows = vec![row(["WORK", "TERM", "OWNER", "ACTS"])];
    for (name, resource) in state.resources.iter().filter(|(name, _)| is_selected(name)) {
        let owner = resource.owner.and_then(|owner| state.sessions.get(&owner));
        let owner = owner.map_or("-".to_string(), |session| session.member.name.clone());
        rows.push(vec![
            name.clone(),
            resource.token.to_string(),
            owner,
            resource.writes.to_string(),
        ]);
    }
    columns(&rows) + &events(state, is_selected)
}

/// The latest events except writes, which are frequent and do not change the owner.
fn events(state: &StateView, is_selected: impl Fn(&str) -> bool) -> String {
    let mut rows = vec![row(["EVENT", "WORK", "TERM", "MEMBER", "WHAT"])];
    let events: Vec<_> = state
        .history
        .iter()
        .filter(|event| {
            is_selected(&event.resource) && !matches!(event.kind, EventKind::Written(_))
        })
        .collect();
    for event in &events[events.len().saturating_sub(MAX_EVENTS)..] {
        rows.push(vec![
            event.number.to_string(),
            event.resource.clone(),
            event.token.to_string(),
            event.member.clone(),
            kind_label(event.kind).to_string(),
        ]);
    }
    columns(&rows)
}

/// The table's label for a kind of event; scripts read these labels.
fn kind_label(kind: EventKind) -> &'static str {
    match kind {
        EventKind::Acquired => "owned",
        EventKind::Written(_) => "acted",
        EventKind::Released => "released",
        EventKind::Expired => "lost",
        EventKind::Revoked => "freed",
        EventKind::Fenced => "fenced",
    }
}

fn row<const COLUMNS: usize>(cells: [&str; COLUMNS]) -> Vec<String> {
    cells.map(str::to_string).to_vec()
}

/// Replaces an empty cell by a dash.
fn dash_if_empty(text: &str) -> String {
    if text.is_empty() {
        "-".to_string()
    } else {
        text.to_string()
    }
}
