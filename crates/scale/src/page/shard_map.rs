//! Rows of the table of the shard map.

use super::data::Data;
use super::plan::PLAN;
use super::roles::{
    CONTROL_BYTES_BUDGET, CONTROL_MEMORY_BUDGET, START_BUDGET, changes_per_s, destinations, senders,
};
use super::rows::Row;

/// Returns the rows of the shard map, whose state machines were measured without a network between them.
pub(super) fn rows(data: &Data) -> Vec<Row> {
    let all = ("destinations", PLAN.destinations);
    let assign = |name, quantity, unit| {
        Row::slope(
            data,
            name,
            ("shard-map.assign", quantity, "senders"),
            senders,
            unit,
        )
    };
    let missed = |name, role, quantity, unit| {
        Row::slope(
            data,
            name,
            (role, quantity, "missed changes"),
            |_| MISSED_CHANGES,
            unit,
        )
    };
    let replica = |name, quantity, size, unit| {
        Row::slope(
            data,
            name,
            ("shard-map.replica", quantity, "destinations"),
            size,
            unit,
        )
    };
    vec![
        assign("who serves what, from nothing: processor time", "cpu", "s")
            .budget(PLAN.max_propagation_s, "plan: in force"),
        assign("memory of it, at a machine of control", "resident", "B"),
        assign("shards of a sender, in the mean", "load.mean", "ranges"),
        assign("shards of the fullest sender", "load.most", "ranges"),
        assign(
            "destinations of the fullest sender",
            "destinations.most",
            "",
        ),
        assign("copies that nobody serves", "short", ""),
        assign("a sender is lost: processor time", "loss.cpu", "s")
            .budget(PLAN.max_propagation_s, "plan: in force"),
        assign("copies that it served", "loss.lost", ""),
        assign("copies that move", "loss.moves", ""),
        assign("a sender comes: processor time", "join.cpu", "s")
            .budget(PLAN.max_propagation_s, "plan: in force"),
        assign("copies that move", "join.moves", ""),
        assign("a zone is lost: processor time", "zone.cpu", "s")
            .budget(PLAN.max_propagation_s, "plan: in force"),
        assign("copies that it served", "zone.lost", ""),
        assign("copies that move", "zone.moves", ""),
        assign(
            "a fifth is lost, and places become more: copies that the fifth served",
            "places.lost",
            "",
        ),
        assign("copies that move", "places.moves", ""),
        replica(
            "memory of a sender's copy of its part, three times the destinations",
            "resident",
            destinations_of_three,
            "B",
        )
        .per_unit_only()
        .budget(CONTROL_MEMORY_BUDGET.0, CONTROL_MEMORY_BUDGET.1),
        replica(
            "memory of a session proxy's copy of all, beside the changes that it keeps",
            "resident",
            destinations,
            "B",
        )
        .grows_with(all.0, all.1),
        replica("processor time to read all", "cpu", destinations, "s")
            .budget(START_BUDGET.0, START_BUDGET.1)
            .grows_with(all.0, all.1),
        replica(
            "bytes of a change",
            "change.wire",
            destinations_of_three,
            "B",
        ),
        replica(
            "bytes a second of a sender's changes",
            "change.wire",
            destinations_of_three,
            "B/s",
        )
        .times(changes_per_sender)
        .budget(CONTROL_BYTES_BUDGET.0, CONTROL_BYTES_BUDGET.1),
        replica(
            "bytes a second of a sender's questions, four in 17 s",
            "check.wire",
            destinations_of_three,
            "B/s",
        )
        .times(|_| 4.0 / PLAN.max_propagation_s)
        .budget(CONTROL_BYTES_BUDGET.0, CONTROL_BYTES_BUDGET.1),
        missed(
            "bytes of a sender's part, from nothing",
            "shard-map.sender",
            "first.wire",
            "B",
        )
        .budget(
            PLAN.control_bytes_per_s * PLAN.max_propagation_s,
            "plan: 17 s at 6 KB/s",
        ),
        missed(
            "the same, of the fullest of 200",
            "shard-map.sender",
            "first.most",
            "B",
        )
        .budget(
            PLAN.control_bytes_per_s * PLAN.max_propagation_s,
            "plan: 17 s at 6 KB/s",
        ),
        missed(
            "2,000 changes missed: bytes of a sender, both ways",
            "shard-map.sender",
            "missed.wire",
            "B",
        )
        .budget(
            PLAN.control_bytes_per_s * PLAN.max_propagation_s,
            "plan: 17 s at 6 KB/s",
        ),
        missed(
            "the same, of the one with most of 200",
            "shard-map.sender",
            "missed.most",
            "B",
        )
        .budget(
            PLAN.control_bytes_per_s * PLAN.max_propagation_s,
            "plan: 17 s at 6 KB/s",
        ),
        missed(
            "the same of a session proxy that holds all, both ways",
            "shard-map.session-proxy",
            "missed.wire",
            "B",
        ),
        missed(
            "its questions",
            "shard-map.session-proxy",
            "missed.questions",
            "",
        ),
        missed(
            "these changes alone",
            "shard-map.session-proxy",
            "missed.changes",
            "B",
        ),
        missed(
            "processor time of both sides",
            "shard-map.session-proxy",
            "missed.cpu",
            "s",
        )
        .budget(PLAN.max_propagation_s, "plan: in force"),
    ]
}

/// Number of changes that a region misses during a partition of one hour.
const MISSED_CHANGES: f64 = 2_000.0;

/// Returns the destinations of one sender if each destination is served by three senders.
fn destinations_of_three(_: f64) -> f64 {
    3.0 * PLAN.destinations_per_sender()
}

/// Returns the changes per second that one sender receives if each change goes to three senders.
fn changes_per_sender(share: f64) -> f64 {
    changes_per_s(share) * 3.0 / senders(share)
}
