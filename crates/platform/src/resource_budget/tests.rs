use super::ResourceBudget;

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
        // clients with an open request occupy up to a third of the descriptors
        let client_connections =
            ResourceBudget::new(descriptors, 32_000_000, 40).client_connections;
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
