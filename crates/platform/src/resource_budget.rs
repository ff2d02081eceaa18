//! Divides the limits of file descriptors and memory among the parts of a sender.

#[cfg(test)]
mod tests;

use crate::notifications::MAX_POSTS;
use milletturn_engine::MAX_BODY_BYTES;

/// How the file descriptors and memory of a sender are divided among its parts. Every descriptor and every byte of a
/// request body that is being read counts against the limit of one part, so that no part can starve another. The
/// descriptors that are reserved for everything else are not listed here.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResourceBudget {
    /// Maximum number of open connections from clients. Clients with an open request occupy up to a third of all
    /// descriptors, so the limit is larger than that.
    pub client_connections: usize,
    /// Maximum number of new client connections that wait for a slot, in addition to `client_connections`. The same
    /// number again may be closing, with their remaining input being read.
    pub extra_connections: usize,
    /// Maximum number of connections to endpoints: with a call, with a response that is still being read, or idle.
    pub endpoint_connections: usize,
    /// Maximum number of idle connections among `endpoint_connections`.
    pub idle_connections: usize,
    /// Maximum total size of client request bodies that are being read, in bytes.
    pub body_bytes: usize,
}

impl ResourceBudget {
    /// Descriptors for everything else: standard streams, the I/O poller and its waker, signals, listener, journal (two
    /// files while it is compacted), configuration, the watch and an earlier watch request that is still queued, the
    /// requests with notifications, and one connection that is being closed. They are reserved from the start, so that
    /// a server with all its slots in use still leaves descriptors for discovery.
    const RESERVED_DESCRIPTORS: usize = 18 + MAX_POSTS + 1;

    /// Divides the given limits, for a sender that makes at most `call_slots` calls at once.
    #[must_use]
    pub fn new(max_descriptors: usize, memory_bytes: u64, call_slots: usize) -> Self {
        let available = max_descriptors.saturating_sub(Self::RESERVED_DESCRIPTORS);
        let client_connections = (available * 2 / 5).max(1);
        // half of a tenth, divided equally between waiting and closing connections
        let extra_connections = (available / 10 / 4).max(1);
        // A tenth stays unassigned, because a closed socket counts until its task has run. With a small limit the
        // reserve is larger: it covers the waiting and closing connections, and one that is accepted before it waits
        // for a slot.
        let reserve = (available / 10).max(2 * extra_connections + 1);
        let endpoint_connections = available
            .saturating_sub(reserve + client_connections)
            .max(1);
        // Calls have priority, but a quarter of the connections may be idle even with many call slots.
        let idle_connections = endpoint_connections
            .saturating_sub(call_slots)
            .max(endpoint_connections / 4);
        let body_bytes = usize::try_from(memory_bytes / 8).unwrap_or(usize::MAX);
        ResourceBudget {
            client_connections,
            extra_connections,
            endpoint_connections,
            idle_connections,
            body_bytes: body_bytes.clamp(2 * MAX_BODY_BYTES, 64 << 20),
        }
    }
}
