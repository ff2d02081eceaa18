//! The history of a leased resource and the writes that processes report, with checks of their invariants.

use crate::process::Process;
use milletturn_coordination::state::{self, EventKind};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

/// An event in the coordination service's history of a resource.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// The event's number in the order of all events.
    pub number: u64,
    /// The fencing token that the member was granted, lost, or sent with its write.
    pub token: u64,
    /// The name of the member that the event concerns.
    pub member: String,
    /// The kind of the event, such as an acquisition, a write or an expiry of the lease.
    pub kind: EventKind,
}

impl Event {
    /// Parses a line of `milletturn fleet work --format json`; `None` if the line is not an event.
    #[must_use]
    pub fn parse(line: &Value) -> Option<Self> {
        let event: state::Event = serde_json::from_value(line.get("event")?.clone()).ok()?;
        Some(Self {
            number: event.number,
            token: event.token.0,
            member: event.member,
            kind: event.kind,
        })
    }
}

/// A fenced write that a process reported as successful.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReportedWrite {
    /// The fencing token with which the write was made.
    pub token: u64,
    /// The write's number among the writes with the same token, counted from 1.
    pub number: u64,
}

/// The current owner of the resource while events are replayed.
#[derive(Debug)]
struct Owner<'a> {
    token: u64,
    member: &'a str,
    writes: u64,
}

/// Checks that a resource has one owner at a time.
///
/// - The numbers of events increase.
/// - The token of each acquisition is above all earlier tokens, and no member owns the resource when it is acquired.
/// - Each write is made by the current owner with its token. The writes with one token are numbered consecutively
///   from 1.
///
/// For a write that the service rejected ([`EventKind::Fenced`]), only the event's number is checked.
///
/// # Errors
/// A message with the first event that violates a rule.
pub fn check_single_owner(events: &[Event]) -> Result<(), String> {
    let mut last_number = 0;
    let mut owner: Option<Owner<'_>> = None;
    let mut highest_token = 0;
    for event in events {
        if event.number <= last_number {
            return Err(format!(
                "event {event:?} does not follow event {last_number}"
            ));
        }
        last_number = event.number;
        match event.kind {
            EventKind::Acquired => {
                if owner.is_some() || event.token <= highest_token {
                    return Err(format!(
                        "acquired while owned by {owner:?}, highest token {highest_token}: {event:?}"
                    ));
                }
                highest_token = event.token;
                owner = Some(Owner {
                    token: event.token,
                    member: &event.member,
                    writes: 0,
                });
            }
            EventKind::Written(number) => match &mut owner {
                Some(owner)
                    if owner.token == event.token
                        && owner.member == event.member
                        && number == owner.writes + 1 =>
                {
                    owner.writes = number;
                }
                _ => {
                    return Err(format!(
                        "not the next write of the owner {owner:?}: {event:?}"
                    ));
                }
            },
            EventKind::Released | EventKind::Expired | EventKind::Revoked => owner = None,
            EventKind::Fenced => {}
        }
    }
    Ok(())
}

/// Checks that the history has each write at most once, and that each write that a member reported is in the history
/// under the name of that member.
///
/// `reported` has the name of each member with its writes.
///
/// # Errors
/// A message with the first write that violates a rule.
pub fn check_reported_writes(
    events: &[Event],
    reported: &[(String, BTreeSet<ReportedWrite>)],
) -> Result<(), String> {
    let mut writers = BTreeMap::new();
    for event in events {
        if let EventKind::Written(number) = event.kind {
            let token = event.token;
            let write = ReportedWrite { token, number };
            if writers.insert(write, &event.member).is_some() {
                return Err(format!("write is twice in the history: {event:?}"));
            }
        }
    }
    for (name, writes) in reported {
        for write in writes {
            if writers.get(write) != Some(&name) {
                return Err(format!(
                    "{name} reported {write:?}; the history has {:?}",
                    writers.get(write)
                ));
            }
        }
    }
    Ok(())
}

/// Checks that a process sent each write before its lease expired, by the times that the process itself reports.
///
/// # Errors
/// A message with the first line that reports a write at or after the expiry.
pub fn check_writes_within_lease(process: &Process) -> Result<(), String> {
    for line in process.lines() {
        let Ok(line) = serde_json::from_str::<Value>(&line) else {
            continue;
        };
        if let (Some(sent_us), Some(safe_until_us)) =
            (line["at_us"].as_u64(), line["last_safe_us"].as_u64())
            && sent_us >= safe_until_us
        {
            return Err(format!("{}: {line}", process.name));
        }
    }
    Ok(())
}

/// The writes that a process reported as successful.
#[must_use]
pub fn writes_of(process: &Process) -> BTreeSet<ReportedWrite> {
    let read = |line: &String| {
        let line: Value = serde_json::from_str(line).ok()?;
        Some(ReportedWrite {
            token: line["term"].as_u64()?,
            number: line["acted"].as_u64()?,
        })
    };
    process.lines().iter().filter_map(read).collect()
}

/// Whether a line of `milletturn fleet hold --format json` reports a successful write.
#[must_use]
pub fn is_write(line: &str) -> bool {
    line.contains("\"acted\"")
}

/// Whether a line of `milletturn fleet hold --format json` reports that a session was opened.
#[must_use]
pub fn is_join(line: &str) -> bool {
    line.contains("\"joined\"")
}

/// The number of sessions that a process reported as opened.
#[must_use]
pub fn join_count(process: &Process) -> usize {
    process.lines().iter().filter(|line| is_join(line)).count()
}

/// The highest token of a write that a process reported; 0 if the process reported none.
#[must_use]
pub fn highest_token(process: &Process) -> u64 {
    writes_of(process).last().map_or(0, |write| write.token)
}

/// The number of writes that a process reported with a token above the given one.
#[must_use]
pub fn writes_above(process: &Process, token: u64) -> usize {
    let writes = writes_of(process);
    writes.iter().filter(|write| write.token > token).count()
}
