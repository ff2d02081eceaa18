//! Rows of the tables of a sender's data path and control plane, the coordinators, the session proxies and discovery.

use super::data::Data;
use super::plan::{
    DEFAULT_CALL_S, DEFAULT_CONNECTION_IDLE_S, DEFAULT_LEASE_S, DEFAULT_SOCKETS,
    DESTINATION_STATE_IDLE_S, MAX_SENDER_CORES, PLAN,
};
use super::rows::Row;
use milletturn_coordination::bounds::{
    MAX_DIRECT_MEMBERS, MAX_PROXY_WAITERS, MAX_RESOURCES, MAX_SESSIONS,
};

pub(super) const CONTROL_MEMORY_BUDGET: (f64, &str) =
    (PLAN.control_memory_bytes, "plan: control of a sender");
const CONTROL_CORES_BUDGET: (f64, &str) = (PLAN.control_cores, "plan: control of a sender");
pub(super) const CONTROL_BYTES_BUDGET: (f64, &str) =
    (PLAN.control_bytes_per_s, "plan: control of a sender");
const SENDER_CORES_BUDGET: (f64, &str) = (MAX_SENDER_CORES, "the program uses one");
pub(super) const START_BUDGET: (f64, &str) = (PLAN.max_start_s, "users: start to ready");

/// Returns the number of destinations at `share`, a fraction of the planned size.
pub(super) fn destinations(share: f64) -> f64 {
    PLAN.destinations * share
}

/// Returns the number of senders at `share`, a fraction of the planned size.
pub(super) fn senders(share: f64) -> f64 {
    PLAN.senders * share
}

/// Returns the number of messages pending in one sender at `share`, a fraction of the planned number.
pub(super) fn pending(share: f64) -> f64 {
    PLAN.pending_per_sender() * share
}

fn events_per_s(_: f64) -> f64 {
    PLAN.events_per_s_per_sender()
}

fn destinations_per_sender(_: f64) -> f64 {
    PLAN.destinations_per_sender()
}

pub(super) fn changes_per_s(share: f64) -> f64 {
    PLAN.changes_per_s() * share
}

/// Returns the number of destinations that a sender calls within the given time, in seconds, if each sender serves all.
fn active_destinations(share: f64, span: f64) -> f64 {
    (PLAN.events_per_s_per_sender() * span).min(destinations(share))
}

/// Returns the rows of a sender's data path.
pub(super) fn path(data: &Data) -> Vec<Row> {
    let all = ("destinations", PLAN.destinations);
    vec![
        Row::plan("events a second", events_per_s, "events/s"),
        Row::plan(
            "destinations of a sender, if each is served by one",
            destinations_per_sender,
            "",
        ),
        Row::plan(
            "of these down",
            |_| PLAN.destinations_per_sender() * PLAN.down_share,
            "",
        ),
        Row::plan(
            "seconds until a sender meets a destination again, if it serves all",
            |share| destinations(share) / PLAN.events_per_s_per_sender(),
            "s",
        ),
        Row::slope(
            data,
            "processor for the events",
            ("path", "cpu", "messages a second"),
            events_per_s,
            "core",
        )
        .budget(SENDER_CORES_BUDGET.0, SENDER_CORES_BUDGET.1)
        .grows_with(
            "events a second of one sender",
            PLAN.events_per_s_per_sender(),
        ),
        Row::slope(
            data,
            "memory with these events",
            ("path", "resident", "messages a second"),
            events_per_s,
            "B",
        ),
        Row::slope(
            data,
            "processor for turns beside calls that last 250 ms (two turns an event)",
            ("turn", "cpu", "calls out"),
            |_| PLAN.events_per_s_per_sender() * DEFAULT_CALL_S,
            "core",
        )
        .times(|_| 2.0 * PLAN.events_per_s_per_sender())
        .budget(SENDER_CORES_BUDGET.0, SENDER_CORES_BUDGET.1),
        Row::slope(
            data,
            "a turn beside 4,000 calls at silent endpoints",
            ("turn", "cpu", "calls out"),
            |_| 4_000.0,
            "s",
        ),
        Row::slope(
            data,
            "a turn beside held messages of destinations that are gone",
            ("turn", "cpu", "messages held"),
            pending,
            "s",
        ),
        Row::slope(
            data,
            "connections to destinations in use, if it serves its part",
            ("path.sockets", "descriptors", "destinations in use"),
            destinations_per_sender,
            "descriptors",
        )
        .budget(DEFAULT_SOCKETS, "`limits.sockets` as it comes")
        .grows_with("destinations of one sender", PLAN.destinations_per_sender()),
        Row::slope(
            data,
            "connections within the 5 s that they are kept, if it serves all",
            ("path.sockets", "descriptors", "destinations in use"),
            |share| active_destinations(share, DEFAULT_CONNECTION_IDLE_S),
            "descriptors",
        )
        .budget(DEFAULT_SOCKETS, "`limits.sockets` as it comes")
        .grows_with(all.0, all.1),
        Row::slope(
            data,
            "memory of connections in use, if it serves its part",
            ("path.sockets", "resident", "destinations in use"),
            destinations_per_sender,
            "B",
        )
        .per_unit_only(),
        Row::slope(
            data,
            "memory of destinations called within 300 s, if it serves its part",
            ("destination.used", "resident", "destinations in use"),
            destinations_per_sender,
            "B",
        )
        .per_unit_only(),
        Row::slope(
            data,
            "memory of destinations called within 300 s, if it serves all",
            ("destination.used", "resident", "destinations in use"),
            |share| active_destinations(share, DESTINATION_STATE_IDLE_S),
            "B",
        )
        .budget(CONTROL_MEMORY_BUDGET.0, CONTROL_MEMORY_BUDGET.1)
        .grows_with(all.0, all.1),
    ]
}

/// Returns the rows of a sender's control plane: its endpoint list, the changes to it, and its session.
pub(super) fn control(data: &Data) -> Vec<Row> {
    let all = ("destinations", PLAN.destinations);
    let rate = ("changes a day", PLAN.changes_per_day);
    vec![
        Row::slope(
            data,
            "memory of the list, if each sender has all",
            ("list.engine", "resident", "destinations"),
            destinations,
            "B",
        )
        .budget(CONTROL_MEMORY_BUDGET.0, CONTROL_MEMORY_BUDGET.1)
        .grows_with(all.0, all.1),
        Row::slope(
            data,
            "memory of the list, if it has its part",
            ("list.engine", "resident", "destinations"),
            destinations_per_sender,
            "B",
        )
        .per_unit_only()
        .budget(CONTROL_MEMORY_BUDGET.0, CONTROL_MEMORY_BUDGET.1),
        Row::slope(
            data,
            "processor time of the first list, all of it",
            ("list.engine", "cpu", "destinations"),
            destinations,
            "s",
        )
        .budget(START_BUDGET.0, START_BUDGET.1)
        .grows_with(all.0, all.1),
        Row::slope(
            data,
            "start to ready on a file of all",
            ("list.file", "ready", "destinations"),
            destinations,
            "s",
        )
        .budget(START_BUDGET.0, START_BUDGET.1)
        .grows_with(all.0, all.1),
        Row::slope(
            data,
            "bytes of the whole list as discovery tells it",
            ("list.watch", "wire", "destinations"),
            destinations,
            "B",
        ),
        Row::slope(
            data,
            "time for the whole list at 6 KB/s",
            ("list.watch", "wire", "destinations"),
            destinations,
            "s",
        )
        .times(|_| 1.0 / PLAN.control_bytes_per_s)
        .budget(PLAN.max_propagation_s, "plan: in force")
        .grows_with(all.0, all.1),
        Row::slope(
            data,
            "time for its part of the list at 6 KB/s",
            ("list.watch", "wire", "destinations"),
            destinations_per_sender,
            "s",
        )
        .per_unit_only()
        .times(|_| 1.0 / PLAN.control_bytes_per_s)
        .budget(PLAN.max_propagation_s, "plan: in force"),
        Row::slope(
            data,
            "bytes a second of changes, if each sender hears all",
            ("list.watch", "wire", "destinations"),
            |_| 1.0,
            "B/s",
        )
        .per_unit_only()
        .times(changes_per_s)
        .budget(CONTROL_BYTES_BUDGET.0, CONTROL_BYTES_BUDGET.1)
        .grows_with(rate.0, rate.1),
        Row::slope(
            data,
            "processor for changes told one by one, if it hears all",
            ("list.engine", "change.cpu", "destinations"),
            destinations,
            "core",
        )
        .times(changes_per_s)
        .budget(CONTROL_CORES_BUDGET.0, CONTROL_CORES_BUDGET.1)
        .grows_with(rate.0, rate.1),
        Row::slope(
            data,
            "processor for changes told as whole lists",
            ("list.engine", "whole.cpu", "destinations"),
            destinations,
            "core",
        )
        .times(changes_per_s)
        .budget(CONTROL_CORES_BUDGET.0, CONTROL_CORES_BUDGET.1)
        .grows_with("destinations and changes", PLAN.destinations),
        Row::slope(
            data,
            "processor for changes of a file that is read whole",
            ("list.file", "change.cpu", "destinations"),
            destinations,
            "core",
        )
        .times(changes_per_s)
        .budget(CONTROL_CORES_BUDGET.0, CONTROL_CORES_BUDGET.1)
        .grows_with("destinations and changes", PLAN.destinations),
        Row::at_largest_size(
            data,
            "processor of the session, in a process of its own",
            ("sender.session, real", "cpu", "senders"),
            "core",
        )
        .budget(CONTROL_CORES_BUDGET.0, CONTROL_CORES_BUDGET.1),
        Row::at_largest_size(
            data,
            "requests of the session a second",
            ("sender", "session_messages", "senders"),
            "/s",
        ),
        Row::at_largest_size(
            data,
            "bytes a second of the session, out",
            ("sender", "session_bytes_out", "senders"),
            "B/s",
        )
        .budget(CONTROL_BYTES_BUDGET.0, CONTROL_BYTES_BUDGET.1),
        Row::at_largest_size(
            data,
            "bytes a second of the session, in",
            ("sender", "session_bytes_in", "senders"),
            "B/s",
        )
        .budget(CONTROL_BYTES_BUDGET.0, CONTROL_BYTES_BUDGET.1),
    ]
}

/// Returns the rows of the leader and the followers of the coordination service.
pub(super) fn coordinator(data: &Data) -> Vec<Row> {
    let all = ("senders", PLAN.senders);
    vec![
        Row::plan("sessions", senders, "")
            .budget(
                MAX_SESSIONS as f64,
                "`milletturn-coordination` `bounds::MAX_SESSIONS`",
            )
            .grows_with(all.0, all.1),
        Row::plan("members, if none has a session proxy", senders, "")
            .budget(
                MAX_DIRECT_MEMBERS as f64,
                "`milletturn-coordination` `bounds::MAX_DIRECT_MEMBERS`",
            )
            .grows_with(all.0, all.1),
        Row::plan("resources, one for each destination", destinations, "")
            .budget(
                MAX_RESOURCES as f64,
                "`milletturn-coordination` `bounds::MAX_RESOURCES`",
            )
            .grows_with("destinations", PLAN.destinations),
        Row::plan(
            "heartbeats a second, four in each lease of 9 s",
            |share| senders(share) * 4.0 / DEFAULT_LEASE_S,
            "/s",
        ),
        Row::slope(
            data,
            "processor of the leader, members behind session proxies",
            ("coordinator.leader", "cpu", "sessions"),
            senders,
            "core",
        )
        .budget(SENDER_CORES_BUDGET.0, SENDER_CORES_BUDGET.1)
        .grows_with(all.0, all.1),
        Row::slope(
            data,
            "memory of the leader, members behind session proxies",
            ("coordinator.leader", "resident", "sessions"),
            senders,
            "B",
        ),
        Row::slope(
            data,
            "processor of the leader, no session proxies",
            ("coordinator.leader", "cpu", "senders"),
            senders,
            "core",
        )
        .budget(SENDER_CORES_BUDGET.0, SENDER_CORES_BUDGET.1)
        .grows_with(all.0, all.1),
        Row::slope(
            data,
            "memory of the leader",
            ("coordinator.leader", "resident", "senders"),
            senders,
            "B",
        ),
        Row::slope(
            data,
            "requests a second of members, at the leader",
            ("coordinator.leader", "asked_by_senders", "senders"),
            senders,
            "/s",
        ),
        Row::slope(
            data,
            "bytes a second from members, at the leader",
            ("coordinator.leader", "bytes_from_senders", "senders"),
            senders,
            "B/s",
        ),
        Row::slope(
            data,
            "bytes a second to members, at the leader",
            ("coordinator.leader", "bytes_to_senders", "senders"),
            senders,
            "B/s",
        ),
        Row::slope(
            data,
            "bytes a second to the other coordinators, at the leader",
            ("coordinator.leader", "bytes_to_coordinators", "senders"),
            senders,
            "B/s",
        ),
        Row::slope(
            data,
            "bytes a second written, at the leader",
            ("coordinator.leader", "disk", "senders"),
            senders,
            "B/s",
        ),
        Row::slope(
            data,
            "descriptors of the leader",
            ("coordinator.leader", "descriptors", "senders"),
            senders,
            "",
        ),
        Row::slope(
            data,
            "processor of each other coordinator",
            ("coordinator.follower", "cpu", "senders"),
            senders,
            "core",
        )
        .budget(SENDER_CORES_BUDGET.0, SENDER_CORES_BUDGET.1)
        .grows_with(all.0, all.1),
        Row::plan(
            "ends of sessions on an ordinary day",
            |share| (PLAN.machine_failures_per_day + PLAN.restarts_per_day) * share,
            "/day",
        ),
    ]
}

/// Returns the rows of the session proxies and the other components between coordinators and senders.
pub(super) fn session_proxies(data: &Data) -> Vec<Row> {
    // these quantities were measured with eight session proxies
    let session_proxy = |name, quantity, unit| {
        Row::slope(
            data,
            name,
            ("session-proxy", quantity, "sessions"),
            senders,
            unit,
        )
    };
    vec![
        // milletturn-shard-map implements the next three mechanisms (see the table `shard-map`), and
        // milletturn-coordination-protocol has a call for them, but no process of the product uses either crate for
        // this purpose
        Row::no_mechanism("a service that tells who serves which destination"),
        Row::no_mechanism("a wire for numbered changes to a sender"),
        Row::no_mechanism("a wire for digests of shards, to catch up"),
        session_proxy(
            "heartbeats of members (`milletturn-session-proxy`, `coordination::HeartbeatBatcher`): processor of each of 8",
            "cpu",
            "core",
        )
        .budget(SENDER_CORES_BUDGET.0, SENDER_CORES_BUDGET.1),
        session_proxy("memory of each of 8 session proxies", "resident", "B"),
        session_proxy("descriptors of each of 8 session proxies", "descriptors", "")
            .budget(MAX_PROXY_WAITERS as f64, "`milletturn-coordination` `bounds::MAX_PROXY_WAITERS`"),
        session_proxy("messages a second of each of 8 session proxies", "messages", "/s"),
        Row::plan(
            "senders of one machine, all 19 up",
            |share| senders(share) / PLAN.control_machines,
            "",
        ),
        Row::plan(
            "senders of one machine, three away",
            |share| senders(share) / (PLAN.control_machines - PLAN.max_machines_down),
            "",
        ),
        Row::plan(
            "bytes a second out of one machine at 6 KB/s a sender, three away",
            |share| senders(share) * PLAN.control_bytes_per_s / (PLAN.control_machines - PLAN.max_machines_down),
            "B/s",
        ),
        Row::plan(
            "deliveries of changes a second, if each goes to each sender",
            |share| changes_per_s(share) * senders(share),
            "/s",
        ),
        Row::plan(
            "deliveries of changes a second, if each goes to three servers",
            |share| changes_per_s(share) * 3.0,
            "/s",
        ),
    ]
}

/// Returns the rows of discovery, which distributes the endpoint lists.
pub(super) fn discovery(data: &Data) -> Vec<Row> {
    let all = ("destinations", PLAN.destinations);
    let mut rows = vec![
        Row::plan("destinations of one list", destinations, ""),
        Row::slope(
            data,
            "bytes of one list",
            ("list.watch", "wire", "destinations"),
            destinations,
            "B",
        ),
        Row::slope(
            data,
            "bytes of one file of endpoints",
            ("list.file", "wire", "destinations"),
            destinations,
            "B",
        ),
        Row::slope(
            data,
            "whole lists for all senders, after all lost their watches",
            ("list.watch", "wire", "destinations"),
            destinations,
            "B",
        )
        .times(senders),
        Row::slope(
            data,
            "bytes a second of changes to all senders",
            ("list.watch", "wire", "destinations"),
            |_| 1.0,
            "B/s",
        )
        .per_unit_only()
        .times(|share| changes_per_s(share) * senders(share)),
    ];
    for (name, role) in [
        (
            "destinations that one line of a watch may have",
            "list.watch",
        ),
        ("destinations that one file may have", "list.file"),
    ] {
        if let Some(max_size) = data
            .find(role, "most", "bound")
            .and_then(|slope| slope.points.first())
        {
            let source = if role == "list.watch" {
                "`milletturn-platform` `Feed`, measured"
            } else {
                "`milletturn-sidecar` `endpoints`, measured"
            };
            rows.push(
                Row::plan(name, destinations, "")
                    .budget(max_size.value, source)
                    .grows_with(all.0, all.1),
            );
        }
    }
    for (name, quantity, unit) in [
        (
            "processor of a stand-in source, a watch for each sender",
            "cpu",
            "core",
        ),
        ("messages a second out of it", "messages", "/s"),
    ] {
        rows.push(Row::slope(
            data,
            name,
            ("stand-in.discovery", quantity, "senders"),
            senders,
            unit,
        ));
    }
    rows
}
