//! Renders the table of operational events (restarts, releases, outages) with their effects, computed from the plan and
//! the measured slopes.

use super::data::Data;
use super::format::{amount, digits, integer, table};
use super::plan::{DAY_S, DEFAULT_LEASE_S, MAX_SENDER_CORES, PLAN, SENDERS_PER_RACK};

/// Formats a measured quantity at the given size, multiplied by `times`: bold if measured, in italics if derived. A
/// quantity that was not measured gives "not run yet".
fn value_text(
    data: &Data,
    (role, quantity, axis): (&str, &str, &str),
    size: f64,
    times: f64,
    unit: &str,
) -> String {
    let value = data
        .find(role, quantity, axis)
        .and_then(|slope| slope.at(size));
    match value {
        Some(value) if value.measured && times == 1.0 => {
            format!("**{}**", amount(value.amount, unit))
        }
        Some(value) => format!("*{}*", amount(value.amount * times, unit)),
        None => "not run yet".into(),
    }
}

/// Outage of the given number of senders at the same time.
struct SenderOutage {
    senders: f64,
}

impl SenderOutage {
    fn scope_text(&self) -> String {
        let (senders, held) = (self.senders, self.senders * PLAN.pending_per_sender());
        format!(
            "*{}* {}, *{}* destinations without a server, *{}* events held in their folders",
            integer(senders),
            if senders == 1.0 { "sender" } else { "senders" },
            integer(senders * PLAN.destinations_per_sender()),
            amount(held, "")
        )
    }

    fn event_rate_text(&self) -> String {
        format!(
            "*{}* events/s have to be taken by others",
            integer(self.senders * PLAN.events_per_s_per_sender())
        )
    }
}

/// Renders the table of operational events, one row each.
pub(super) fn event_table(data: &Data) -> String {
    let ready = |senders: f64| {
        value_text(
            data,
            ("restart", "ready", "messages held"),
            PLAN.pending_per_sender(),
            senders,
            "s",
        )
    };
    let entry_bytes = data
        .find("list.watch", "wire", "destinations")
        .and_then(super::data::Slope::slope_per_unit);
    let derived_text = |value: Option<f64>, unit: &str| match value {
        Some(value) => format!("*{}*", amount(value, unit)),
        None => "not run yet".to_string(),
    };
    let one = SenderOutage { senders: 1.0 };
    let (rack, zone, region) = (
        SenderOutage {
            senders: SENDERS_PER_RACK,
        },
        SenderOutage {
            senders: PLAN.senders_per_zone(),
        },
        SenderOutage {
            senders: PLAN.senders_per_region(),
        },
    );
    let session_ends_per_day = PLAN.machine_failures_per_day + PLAN.restarts_per_day;
    let missed_changes = PLAN.changes_per_s() * PLAN.partition_s;
    let entry = value_text(
        data,
        ("coordinator.leader", "entry", "entries"),
        1.0,
        1.0,
        "s",
    );
    let rows = [
        (
            "ordinary day",
            format!(
                "*{}* ends of sessions, *{}* changes",
                integer(session_ends_per_day),
                integer(PLAN.changes_per_day)
            ),
            format!(
                "one end every *{}*, one change every *{}*; *{}* destinations change their server",
                amount(DAY_S / session_ends_per_day, "s"),
                amount(1.0 / PLAN.changes_per_s(), "s"),
                integer(session_ends_per_day * PLAN.destinations_per_sender())
            ),
            format!(
                "a lease (*{}*) and {} for each",
                amount(DEFAULT_LEASE_S, "s"),
                ready(1.0)
            ),
            format!(
                "of a failed machine: its *{}* held events are out of reach until it is back",
                integer(PLAN.pending_per_sender())
            ),
        ),
        (
            "restart of one sender",
            one.scope_text(),
            format!(
                "{} of journal read back",
                value_text(
                    data,
                    ("journal", "disk", "messages held"),
                    PLAN.pending_per_sender(),
                    1.0,
                    "B"
                )
            ),
            format!("{} until ready", ready(1.0)),
            format!(
                "{} meanwhile; {} of memory at most",
                one.event_rate_text(),
                value_text(
                    data,
                    ("restart", "peak", "messages held"),
                    PLAN.pending_per_sender(),
                    1.0,
                    "B"
                )
            ),
        ),
        (
            "release",
            format!("all *{}* senders, a zone at a time", integer(PLAN.senders)),
            format!(
                "*{}* rounds of *{}* senders",
                integer(PLAN.zones),
                integer(PLAN.senders_per_zone())
            ),
            format!(
                "{} in all, if nothing but the starts takes time",
                ready(PLAN.zones)
            ),
            format!("as a zone, announced: {}", zone.event_rate_text()),
        ),
        (
            "rack or switch (40 senders: assumed)",
            rack.scope_text(),
            format!("*{}* ends of leases at once", integer(SENDERS_PER_RACK)),
            format!(
                "a lease (*{}*), then until it is back",
                amount(DEFAULT_LEASE_S, "s")
            ),
            rack.event_rate_text(),
        ),
        (
            "zone",
            zone.scope_text(),
            format!(
                "*{}* ends of leases at an instant, an entry of the log each ({entry})",
                integer(PLAN.senders_per_zone())
            ),
            format!(
                "a lease (*{}*), then until the zone is back",
                amount(DEFAULT_LEASE_S, "s")
            ),
            format!(
                "{}: *{} %* more for each of the rest",
                zone.event_rate_text(),
                digits(100.0 * PLAN.senders_per_zone() / (PLAN.senders - PLAN.senders_per_zone()))
            ),
        ),
        (
            "region cut off for an hour",
            format!(
                "*{}* senders, *{}* destinations",
                integer(PLAN.senders_per_region()),
                integer(region.senders * PLAN.destinations_per_sender())
            ),
            format!(
                "*{}* changes missed; {} for each of its senders to catch up if it hears all; about *{}* of these changes are its own",
                integer(missed_changes),
                derived_text(entry_bytes.map(|bytes| missed_changes * bytes), "B"),
                amount(
                    missed_changes * PLAN.destinations_per_sender() / PLAN.destinations,
                    ""
                )
            ),
            format!(
                "*{}*, and {} of bytes at 6 KB/s behind it",
                amount(PLAN.partition_s, "s"),
                derived_text(
                    entry_bytes.map(|bytes| missed_changes * bytes / PLAN.control_bytes_per_s),
                    "s"
                )
            ),
            "no new owners there; what it owns rests when its leases end; delivery goes on"
                .to_string(),
        ),
        (
            "control lost (all machines of it)",
            format!("*{}* sessions, no change in force", integer(PLAN.senders)),
            format!(
                "*{}* sessions opened again, an entry of the log each ({entry})",
                integer(PLAN.senders)
            ),
            format!(
                "at least {} at one core of the leader, by the cost of an entry",
                derived_text(
                    data.find("coordinator.leader", "entry", "entries")
                        .and_then(|slope| slope.at(1.0))
                        .map(|entry| entry.amount * PLAN.senders / MAX_SENDER_CORES),
                    "s"
                )
            ),
            "delivery goes on with what each sender knew last".to_string(),
        ),
    ];
    let rows: Vec<Vec<String>> = rows
        .into_iter()
        .map(|(event, a, b, c, d)| vec![event.to_string(), a, b, c, d])
        .collect();
    table(
        &[
            "event",
            "what moves",
            "how much",
            "how long",
            "the worst instant",
        ],
        &rows,
    )
}
