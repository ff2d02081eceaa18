//! How descriptors and memory are shared out.

use crate::notifications::POSTS;
use milletturn_engine::MAX_BODY_BYTES;

/// How the limits are shared out. Every descriptor and every byte of a body that is being read comes from here,
/// so that no part can starve another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResourceBudget {
    /// Connections from clients. They hold a third of all descriptors for requests at most.
    pub client_connections: usize,
    /// Beside these, new ones that wait for a place at once, and as many closed ones that are read to their end.
    pub extra_connections: usize,
    /// Connections to endpoints, those of calls, of answers being read to their end, and idle ones.
    pub endpoint_connections: usize,
    /// Idle ones among these.
    pub idle_connections: usize,
    /// Bytes of clients' bodies that are being read.
    pub body_bytes: usize,
}

impl ResourceBudget {
    /// Standard streams, the poll and its waker, signals, listener, journal (two files while it is compacted),
    /// configuration, the watch and a call that waits beside it; the posts of notices, and one that is being closed.
    /// They are set aside before the first client comes, so that a full door keeps nobody from discovery.
    const REST: usize = 18 + POSTS + 1;

    /// The shares of so many descriptors and bytes, for a sender with so many slots for calls.
    #[must_use]
    pub fn new(sockets: usize, memory: u64, slots: usize) -> Self {
        let room = sockets.saturating_sub(Self::REST);
        let client_connections = (room * 2 / 5).max(1);
        // half of a tenth, in two parts
        let extra_connections = (room / 10 / 4).max(1);
        // a tenth stays free: a closed socket counts until its task has run. Of a small number it is more: those beside,
        // and one that is accepted before it waits for a place
        let free = (room / 10).max(2 * extra_connections + 1);
        let endpoint_connections = room.saturating_sub(free + client_connections).max(1);
        // calls come first; a quarter of the connections may be idle even where slots are many
        let idle_connections = endpoint_connections
            .saturating_sub(slots)
            .max(endpoint_connections / 4);
        let body_bytes = usize::try_from(memory / 8).unwrap_or(usize::MAX);
        ResourceBudget {
            client_connections,
            extra_connections,
            endpoint_connections,
            idle_connections,
            body_bytes: body_bytes.clamp(2 * MAX_BODY_BYTES, 64 << 20),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::ResourceBudget;

    #[test]
    fn the_parts_never_exceed_the_descriptors() {
        // guards against shares that are each sound and together too much: 256 once had to bear 128 clients,
        // 200 idle connections and the calls
        for sockets in [50, 64, 256, 384, 1024, 65_536] {
            for slots in [3, 40, 120, 2000] {
                let budget = ResourceBudget::new(sockets, 32_000_000, slots);
                assert!(
                    budget.client_connections
                        + 2 * budget.extra_connections
                        + 1
                        + budget.endpoint_connections
                        + ResourceBudget::REST
                        <= sockets,
                    "{sockets}: {budget:?}"
                );
                assert!(
                    budget.idle_connections > 0
                        && budget.idle_connections <= budget.endpoint_connections,
                    "{sockets}: {budget:?}"
                );
            }
            // clients may hold a third of the descriptors for requests
            let client_connections =
                ResourceBudget::new(sockets, 32_000_000, 40).client_connections;
            assert!(
                sockets < 256 || client_connections > sockets / 3,
                "{sockets}: {client_connections}"
            );
        }
        assert_eq!(
            ResourceBudget::new(256, 32_000_000, 40).body_bytes,
            4_000_000
        );
    }
}
