use super::{CLIENT_CONNECTION_BYTES, ENDPOINT_CONNECTION_BYTES, PROCESS_BYTES, ResourceBudget};

#[test]
fn shares_never_exceed_the_descriptor_limit() {
    // Guards against shares that are each reasonable but together exceed the limit: a limit of 256 descriptors was
    // once divided into 128 clients, 200 idle connections and the calls.
    for descriptors in [50, 64, 256, 384, 1024, 65_536] {
        for call_slots in [3, 40, 120, 2000] {
            let budget = ResourceBudget::new(descriptors, 32_000_000, call_slots);
            assert!(
                budget.client_connections
                    + 2 * budget.extra_connections
                    + 1
                    + budget.endpoint_connections
                    + ResourceBudget::RESERVED_DESCRIPTORS
                    <= descriptors,
                "{descriptors}: {budget:?}"
            );
            assert!(
                budget.idle_connections > 0
                    && budget.idle_connections <= budget.endpoint_connections,
                "{descriptors}: {budget:?}"
            );
        }
        // clients with an open request occupy up to a third of the descriptors, if there is memory for them
        let client_connections =
            ResourceBudget::new(descriptors, 4_000_000_000, 40).client_connections;
        assert!(
            descriptors < 256 || client_connections > descriptors / 3,
            "{descriptors}: {client_connections}"
        );
    }
    assert_eq!(
        ResourceBudget::new(256, 32_000_000, 40).body_bytes,
        4_000_000
    );
}

#[test]
fn shares_never_exceed_the_memory_limit() {
    // Guards against connections and messages that are each within a limit, but need more memory together: 600 clients
    // that stopped half way through their requests once brought a process with 32 MB to 48 MB.
    for memory_bytes in [16_000_000, 32_000_000, 64_000_000, 192_000_000] {
        for descriptors in [64, 256, 512, 1024, 65_536] {
            let budget = ResourceBudget::new(descriptors, memory_bytes, 40);
            let call_slots = 40.min(budget.endpoint_connections);
            let connection_bytes = budget.client_connections as u64 * CLIENT_CONNECTION_BYTES
                + (budget.idle_connections + call_slots) as u64 * ENDPOINT_CONNECTION_BYTES;
            let total_bytes = PROCESS_BYTES
                + budget.body_bytes as u64
                + connection_bytes
                + budget.max_unfinished_bytes;
            assert!(
                total_bytes <= memory_bytes,
                "{memory_bytes}, {descriptors}: {total_bytes}, {budget:?}"
            );
        }
    }
}

#[test]
fn the_memory_of_a_large_deployment_does_not_limit_its_connections() {
    for call_slots in [8, 40, 120] {
        let limited = ResourceBudget::new(1024, 192_000_000, call_slots);
        let unlimited = ResourceBudget::new(1024, 64_000_000_000, call_slots);
        assert_eq!(
            (limited.client_connections, limited.idle_connections),
            (unlimited.client_connections, unlimited.idle_connections)
        );
        // the journal's file may have 3 MB there
        assert!(limited.max_unfinished_bytes > 100_000_000, "{limited:?}");
    }
}
