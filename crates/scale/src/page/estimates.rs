//! Renders the table that compares the capacity estimates in the original issue with the figures computed from the plan
//! and the records.

use super::data::Data;
use super::format::{amount, integer, table};
use super::plan::PLAN;

/// Renders the table of estimates.
pub(super) fn estimate_table(data: &Data) -> String {
    let value_at = |role: &str, quantity: &str, axis: &str, size: f64, unit: &str| {
        let value = data
            .find(role, quantity, axis)
            .and_then(|slope| slope.at(size));
        match value {
            Some(value) if value.measured => format!("**{}**", amount(value.amount, unit)),
            Some(value) => format!("*{}*", amount(value.amount, unit)),
            None => "not run yet".to_string(),
        }
    };
    let per_unit = |role: &str, quantity: &str, axis: &str, unit: &str| {
        let slope = data
            .find(role, quantity, axis)
            .and_then(super::data::Slope::slope_per_unit);
        slope.map_or("not run yet".to_string(), |slope| {
            format!("*{}*", amount(slope, unit))
        })
    };
    let transfer_time = |role: &str| {
        let bytes = data
            .find(role, "wire", "destinations")
            .and_then(|slope| slope.amount(PLAN.destinations));
        bytes.map_or("not run yet".to_string(), |bytes| {
            format!("*{}*", amount(bytes / PLAN.control_bytes_per_s, "s"))
        })
    };
    let down = PLAN.destinations * PLAN.down_share;
    let rows = [
        (
            "a sender that serves all meets each once in 98 minutes",
            format!(
                "*{}*",
                amount(PLAN.destinations / PLAN.events_per_s_per_sender(), "s")
            ),
        ),
        (
            "the list costs 2.4 KB each, 4 GB",
            format!(
                "{} in the engine ({} each); {} each in a sender that has read a file of them",
                value_at(
                    "list.engine",
                    "resident",
                    "destinations",
                    PLAN.destinations,
                    "B"
                ),
                per_unit("list.engine", "resident", "destinations", "B"),
                per_unit("list.file", "resident", "destinations", "B")
            ),
        ),
        (
            "79,900 destinations down take 216,000 events/s; the backlog is 31 hours of that, 1.5 million a sender",
            format!(
                "*{}*, *{}* events/s, *{}*, *{}*",
                integer(down),
                integer(PLAN.events_per_s * PLAN.down_share),
                amount(
                    PLAN.pending_events / (PLAN.events_per_s * PLAN.down_share),
                    "s"
                ),
                integer(PLAN.pending_per_sender())
            ),
        ),
        (
            "a restart with 1.5 million against 10 s to ready",
            format!(
                "{} on the wall, {} of processor time, {} of memory at most",
                value_at(
                    "restart",
                    "ready",
                    "messages held",
                    PLAN.pending_per_sender(),
                    "s"
                ),
                value_at(
                    "restart",
                    "cpu",
                    "messages held",
                    PLAN.pending_per_sender(),
                    "s"
                ),
                value_at(
                    "restart",
                    "peak",
                    "messages held",
                    PLAN.pending_per_sender(),
                    "B"
                )
            ),
        ),
        (
            "16,000 members cost the leader 3.4 cores",
            value_at("coordinator.leader", "cpu", "senders", PLAN.senders, "core"),
        ),
        (
            "a whole list is 100 MB, five hours at 6 KB/s",
            format!(
                "{} in discovery's form, {}; {} as a file, {}",
                value_at("list.watch", "wire", "destinations", PLAN.destinations, "B"),
                transfer_time("list.watch"),
                value_at("list.file", "wire", "destinations", PLAN.destinations, "B"),
                transfer_time("list.file")
            ),
        ),
        (
            "8,900 deliveries of changes a second",
            format!("*{}*", amount(PLAN.changes_per_s() * PLAN.senders, "/s")),
        ),
        (
            "5 MB/s and 842 senders a machine",
            format!(
                "*{}*, *{}*; three away: *{}*, *{}*",
                amount(
                    PLAN.senders * PLAN.control_bytes_per_s / PLAN.control_machines,
                    "B/s"
                ),
                integer(PLAN.senders / PLAN.control_machines),
                amount(
                    PLAN.senders * PLAN.control_bytes_per_s
                        / (PLAN.control_machines - PLAN.max_machines_down),
                    "B/s"
                ),
                integer(PLAN.senders / (PLAN.control_machines - PLAN.max_machines_down))
            ),
        ),
        (
            "a zone: 516 senders, 55,000 destinations, 774 million events",
            format!(
                "*{}*, *{}*, *{}*",
                integer(PLAN.senders_per_zone()),
                integer(PLAN.senders_per_zone() * PLAN.destinations_per_sender()),
                integer(PLAN.senders_per_zone() * PLAN.pending_per_sender())
            ),
        ),
    ];
    let rows: Vec<Vec<String>> = rows
        .into_iter()
        .map(|(sum, found)| vec![sum.to_string(), found])
        .collect();
    table(&["the issue's sum", "by plan and figures"], &rows)
}
