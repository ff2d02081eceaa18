//! The most recent events of the state, which show operators who owned which resource.

use super::FencingToken;
use crate::bounds;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// A change of ownership, a write, or a write rejected for its token.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Event {
    /// The sequence number of the event, counted from 1. After a restore, numbering continues above all numbers that
    /// the lost state may have assigned.
    pub number: u64,
    /// The resource's name.
    #[serde(rename = "work")]
    pub resource: String,
    /// The token that the member was granted, lost, or sent with its write.
    #[serde(rename = "term")]
    pub token: FencingToken,
    /// The member's name, or a text such as `session 3` if its session has already ended.
    pub member: String,
    /// What happened to the resource.
    #[serde(rename = "what")]
    pub kind: EventKind,
}

/// What an [`Event`] reports about the member that is named in [`Event::member`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum EventKind {
    /// The member became the owner.
    #[serde(rename = "owned")]
    Acquired,
    /// A write of the member was applied, with this number under its token.
    #[serde(rename = "acted")]
    Written(u64),
    /// The member released the resource or closed its session.
    #[serde(rename = "released")]
    Released,
    /// The member lost the resource because its lease expired, or because the state was restored from a backup.
    #[serde(rename = "lost")]
    Expired,
    /// An operator revoked the member's ownership.
    #[serde(rename = "freed")]
    Revoked,
    /// A write of the member was rejected because its token was not the current one.
    #[serde(rename = "fenced")]
    Fenced,
}

/// The most recent events, at most [`MAX_HISTORY_EVENTS`](bounds::MAX_HISTORY_EVENTS).
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub(super) struct EventHistory {
    events: VecDeque<Event>,
    /// The number of the last event. If a restored state has no new event yet, its generation times
    /// [`GENERATION_STRIDE`](bounds::GENERATION_STRIDE); 0 initially.
    last: u64,
}

impl EventHistory {
    pub(super) fn new(events: VecDeque<Event>, last: u64) -> Self {
        Self { events, last }
    }

    pub(super) fn all(&self) -> &VecDeque<Event> {
        &self.events
    }

    /// The number of the last event. If a restored state has no new event yet, its generation times
    /// [`GENERATION_STRIDE`](bounds::GENERATION_STRIDE); 0 initially.
    pub(super) fn last(&self) -> u64 {
        self.last
    }

    /// Appends an event, and drops the oldest one if the history is full.
    pub(super) fn record(
        &mut self,
        resource: &str,
        token: FencingToken,
        member: &str,
        kind: EventKind,
    ) {
        self.last += 1;
        if self.events.len() >= bounds::MAX_HISTORY_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back(Event {
            number: self.last,
            resource: resource.to_string(),
            token,
            member: member.to_string(),
            kind,
        });
    }

    /// Restarts the numbering after a restore: the next event gets the number `last + 1`.
    pub(super) fn restart_numbers(&mut self, last: u64) {
        self.last = last;
    }
}
