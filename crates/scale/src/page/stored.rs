//! Rows of the tables of the journal, the dead-letter store and the metrics of a sender.

use super::data::Data;
use super::plan::PLAN;
use super::roles::{START_BUDGET, destinations, pending, senders};
use super::rows::Row;

/// Returns the rows of the journal. In these rows, a share of the plan is a fraction of the messages pending in one
/// sender.
pub(super) fn journal(data: &Data) -> Vec<Row> {
    let one = ("messages held by one sender", PLAN.pending_per_sender());
    let axis = "messages held";
    let mut rows = vec![Row::plan("messages held by one sender", pending, "")];
    if let Some(max_pending) = data
        .find("limits.held", "most", "bound")
        .and_then(|slope| slope.points.first())
    {
        rows.push(
            Row::plan("messages that a sidecar may be told to hold", pending, "")
                .budget(max_pending.value, "`limits.held`, measured")
                .grows_with(one.0, one.1),
        );
    }
    rows.extend([
        Row::slope(
            data,
            "journal on disk, bodies of 256 B",
            ("journal", "disk", axis),
            pending,
            "B",
        ),
        Row::slope(
            data,
            "memory of the journal",
            ("journal", "resident", axis),
            pending,
            "B",
        ),
        Row::slope(
            data,
            "processor time to write them down",
            ("journal", "cpu", axis),
            pending,
            "s",
        ),
        Row::slope(
            data,
            "memory of the whole sender behind a start",
            ("restart", "resident", axis),
            pending,
            "B",
        ),
        Row::slope(
            data,
            "most memory in a start",
            ("restart", "peak", axis),
            pending,
            "B",
        ),
        Row::slope(
            data,
            "start to ready, time on the wall",
            ("restart", "ready", axis),
            pending,
            "s",
        )
        .budget(START_BUDGET.0, START_BUDGET.1)
        .grows_with(one.0, one.1),
        Row::slope(
            data,
            "start to ready, processor time",
            ("restart", "cpu", axis),
            pending,
            "s",
        )
        .budget(START_BUDGET.0, START_BUDGET.1)
        .grows_with(one.0, one.1),
        Row::slope(
            data,
            "of it: the journal is read and written anew",
            ("journal.open", "cpu", axis),
            pending,
            "s",
        ),
        Row::slope(
            data,
            "of it: the engine takes them back",
            ("journal.open", "resume.cpu", axis),
            pending,
            "s",
        ),
        Row::slope(
            data,
            "cores in the three seconds behind it",
            ("restart", "beside", axis),
            pending,
            "core",
        ),
        Row::slope(
            data,
            "the sender stands still while the journal is written anew",
            ("journal.compact", "stall", axis),
            pending,
            "s",
        ),
        Row::plan(
            "hours of all events for destinations that are down",
            |share| PLAN.pending_events * share / (PLAN.events_per_s * PLAN.down_share),
            "s",
        ),
    ]);
    rows
}

/// Returns the rows of the dead-letter store.
pub(super) fn dead_letters(data: &Data) -> Vec<Row> {
    let axis = "messages kept";
    vec![
        Row::plan("messages kept, if all that is held ends there", pending, ""),
        Row::slope(
            data,
            "file, bodies of 256 B",
            ("dead-letter", "disk", axis),
            pending,
            "B",
        ),
        Row::slope(
            data,
            "memory",
            ("dead-letter", "resident", axis),
            pending,
            "B",
        ),
        Row::slope(
            data,
            "processor time to keep them, 64 a transaction",
            ("dead-letter", "cpu", axis),
            pending,
            "s",
        ),
        Row::slope(
            data,
            "processor time to open it, before ready",
            ("dead-letter", "open.cpu", axis),
            pending,
            "s",
        )
        .budget(START_BUDGET.0, START_BUDGET.1)
        .grows_with("messages kept by one sender", PLAN.pending_per_sender()),
        Row::slope(
            data,
            "processor time to check it, on its thread",
            ("dead-letter", "check.cpu", axis),
            pending,
            "s",
        ),
    ]
}

/// Returns the rows of the metrics of a sender.
pub(super) fn metrics(data: &Data) -> Vec<Row> {
    vec![
        Row::slope(
            data,
            "the sender stands still for a look at what is listed",
            ("list.engine", "look.cpu", "destinations"),
            destinations,
            "s",
        ),
        Row::slope(
            data,
            "bytes of a scrape beside all destinations",
            ("figures", "scrape", "destinations"),
            destinations,
            "B",
        ),
        Row::slope(
            data,
            "processor time of a scrape beside all destinations",
            ("figures", "cpu", "destinations"),
            destinations,
            "s",
        ),
        Row::slope(
            data,
            "bytes of a scrape with 256 classes",
            ("figures", "scrape", "classes"),
            |_| 256.0,
            "B",
        ),
        Row::slope(
            data,
            "bytes of one scrape of all senders",
            ("figures", "scrape", "destinations"),
            destinations,
            "B",
        )
        .times(senders),
        Row::no_mechanism("figures by destination"),
        Row::no_mechanism(
            "figures of the fleet as a whole, beside `milletturn access-log` over logs",
        ),
    ]
}
