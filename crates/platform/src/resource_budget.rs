//! Divides the limits of file descriptors and memory among the parts of a sender.

#[cfg(test)]
mod tests;

use crate::notifications::MAX_POSTS;
use milletturn_engine::MAX_BODY_BYTES;

/// Memory of the process without connections and messages: the pages of the program, the runtime and the tables.
const PROCESS_BYTES: u64 = 8_000_000;
/// Memory of a client connection with an incomplete request: the read buffer, a copy of the head, and the task.
const CLIENT_CONNECTION_BYTES: u64 = 40_000;
/// Memory of a connection to an endpoint: the read and write buffers, and the task.
const ENDPOINT_CONNECTION_BYTES: u64 = 24_000;
/// Memory of an unfinished message in addition to its body.
pub const MESSAGE_BYTES: u64 = 4_000;
/// Unfinished messages may take up at least the memory limit divided by this number.
const MIN_UNFINISHED_DIVISOR: u64 = 8;

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
    /// Maximum memory of all unfinished messages, each with [`MESSAGE_BYTES`] in addition to its body, in bytes.
    pub max_unfinished_bytes: u64,
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
        let connection_memory = memory_bytes.saturating_sub(PROCESS_BYTES) / 4;
        let client_connections = (available * 2 / 5)
            .min(to_usize(connection_memory / CLIENT_CONNECTION_BYTES))
            .max(1);
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
        let max_endpoint_connections = to_usize(connection_memory / ENDPOINT_CONNECTION_BYTES);
        let idle_connections = idle_connections
            .min(max_endpoint_connections.saturating_sub(call_slots))
            .max(1);
        let body_bytes = to_usize(memory_bytes / 8).clamp(2 * MAX_BODY_BYTES, 64 << 20);
        let endpoint_connections_in_use = idle_connections + call_slots.min(endpoint_connections);
        let connection_bytes = client_connections as u64 * CLIENT_CONNECTION_BYTES
            + endpoint_connections_in_use as u64 * ENDPOINT_CONNECTION_BYTES;
        let max_unfinished_bytes = memory_bytes
            .saturating_sub(PROCESS_BYTES + body_bytes as u64 + connection_bytes)
            .max(memory_bytes / MIN_UNFINISHED_DIVISOR);
        ResourceBudget {
            client_connections,
            extra_connections,
            endpoint_connections,
            idle_connections,
            body_bytes,
            max_unfinished_bytes,
        }
    }
}

fn to_usize(value: u64) -> usize {
    usize::try_from(value).unwrap_or(usize::MAX)
}
