//! Connections that senders hold open to a destination, which accepts a limited number of them.

use milletturn_policy::{EndpointId, Micros};
use std::collections::BTreeMap;

/// The open connections of all senders to one destination. Each call needs one, and idle ones stay open for a while.
#[derive(Debug)]
pub(super) struct ConnectionTable {
    max_connections: usize,
    idle_timeout: Micros,
    busy: usize,
    /// For each sender, the times since which its idle connections are idle, oldest first.
    idle_since: BTreeMap<usize, Vec<Micros>>,
}

impl ConnectionTable {
    /// A destination that accepts `max_connections` connections and closes each after `idle_timeout` without a call.
    pub(super) fn new(max_connections: usize, idle_timeout: Micros) -> Self {
        ConnectionTable {
            max_connections,
            idle_timeout,
            busy: 0,
            idle_since: BTreeMap::new(),
        }
    }

    /// Takes a connection for a call of this sender: the one that went idle last, or a new one. Returns false if the
    /// sender has no idle connection and the destination accepts no more.
    pub(super) fn try_acquire(&mut self, sender: usize, now: Micros) -> bool {
        let idle_timeout = self.idle_timeout;
        self.idle_since.retain(|_, since| {
            since.retain(|at| now - at < idle_timeout);
            !since.is_empty()
        });
        let reuses_connection = self
            .idle_since
            .get_mut(&sender)
            .and_then(Vec::pop)
            .is_some();
        let open = self.busy + self.idle_since.values().map(Vec::len).sum::<usize>();
        let acquired = reuses_connection || open < self.max_connections;
        self.busy += usize::from(acquired);
        acquired
    }

    /// Marks the connection of a finished call as idle.
    pub(super) fn release(&mut self, sender: usize, now: Micros) {
        self.busy -= 1;
        self.idle_since.entry(sender).or_default().push(now);
    }

    /// Closes the idle connections of this sender.
    pub(super) fn close_idle(&mut self, sender: usize) {
        self.idle_since.remove(&sender);
    }
}

/// Index of the destination to which an endpoint belongs.
pub(super) fn destination_index(endpoint: EndpointId) -> usize {
    endpoint.0 as usize - 1
}
