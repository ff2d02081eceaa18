//! Fits and plots of the results, and the counters of the small run.

use super::discovery::Form;
use super::real::Reals;
use super::rig::{Parts, Rig};
use super::sheet::{Other, Sheet, other};
use super::slopes::{DESTINATIONS, LIST_BUSY, LIST_STILL, Plan, set_of, stewards};
use crate::Error;
use serde_json::json;
use std::path::Path;
use std::time::Duration;

/// The code that causes a quantity to grow, by role and quantity.
const TERMS: [(&str, &str, &str); 17] = [
    (
        "steward.leader",
        "cpu",
        "Throne::renew (crates/steward/src/reign.rs): each renewal asks the majority once, rebuilds the map of all \
         sessions (Leases::seen) and walks all works: n renewals a lease over n sessions",
    ),
    (
        "steward.leader",
        "resident",
        "a connection and a counted lease for each session (door.rs, leases.rs)",
    ),
    (
        "steward.leader",
        "descriptors",
        "a connection for each session (door.rs, PLACES)",
    ),
    (
        "steward.leader",
        "disk",
        "nothing is written for a renewal (reign.rs)",
    ),
    (
        "steward.leader",
        "asked_by_senders",
        "Member::keep: RENEWALS in a lease (crates/member/src/member.rs)",
    ),
    (
        "steward.leader",
        "bytes_from_senders",
        "one renewal of some 260 bytes, four in a lease (line.rs)",
    ),
    (
        "steward.leader",
        "bytes_to_senders",
        "one answer for each renewal, with the works it owns (door.rs)",
    ),
    (
        "steward.leader",
        "asked_between_stewards",
        "Throne::confirm: each renewal asks every other steward (reign.rs)",
    ),
    (
        "steward.leader",
        "bytes_to_stewards",
        "Throne::confirm: each renewal asks every other steward (reign.rs)",
    ),
    (
        "steward.leader",
        "bytes_from_stewards",
        "Throne::confirm: each renewal asks every other steward (reign.rs)",
    ),
    (
        "steward.follower",
        "cpu",
        "answers the leader's question of each renewal (Throne::confirm)",
    ),
    ("steward.follower", "resident", "the book (machine.rs)"),
    (
        "steward.follower",
        "descriptors",
        "connections of the other stewards, and of senders that asked here first",
    ),
    (
        "sender",
        "cpu",
        "agent::watch and Member::keep: one watch and one session, whoever else there is",
    ),
    (
        "sender",
        "resident",
        "one watch and one session; the list itself is not kept by a hollow sender",
    ),
    (
        "stand-in.discovery",
        "cpu",
        "each change is written to each watch; the stand-in's own, no product's",
    ),
    (
        "stand-in.discovery",
        "messages",
        "each change and each sign of life goes to each watch",
    ),
];

/// Fits all quantities along their axes.
pub fn fits(sheet: &mut Sheet) {
    let setups = [stewards(3, 9), stewards(3, 2), stewards(5, 9)].map(set_of);
    let kinds = [LIST_STILL, LIST_BUSY].map(|kind| other([("kind", json!(kind))]));
    for (role, quantity, term) in TERMS {
        for set in setups.iter().chain(&kinds) {
            sheet.fit(role, quantity, "senders", set, term);
        }
        sheet.fit(role, quantity, "changes/s", &Other::new(), term);
    }
    for (quantity, term) in [
        (
            "list_messages",
            "agent::watch: a line for each change, a sign of life every 2 s",
        ),
        (
            "list_bytes_in",
            "agent::watch: some 190 bytes for each change of one endpoint",
        ),
        (
            "cpu",
            "Feed::take and parse_list for each change (crates/platform/src/feed.rs, list.rs)",
        ),
    ] {
        sheet.fit("sender", quantity, "changes/s", &Other::new(), term);
    }
    for (quantity, term) in [
        (
            "list_bytes",
            "discovery's form: some 150 bytes for each endpoint",
        ),
        (
            "list_cpu",
            "Feed::take and parse_list: each entry is read as a JSON value, then as a target",
        ),
        (
            "list_time",
            "Feed::take and parse_list; on a shared machine, wall time",
        ),
    ] {
        sheet.fit(
            "sender",
            quantity,
            "destinations",
            &other([("one_line", json!(false))]),
            term,
        );
    }
}

/// Draws the plots.
///
/// # Errors
/// A file can't be written.
pub fn plots(sheet: &Sheet, folder: &Path) -> Result<(), Error> {
    std::fs::create_dir_all(folder).map_err(Error::io(folder.display().to_string()))?;
    let [nine, two, five] = [stewards(3, 9), stewards(3, 2), stewards(5, 9)].map(set_of);
    let [still, busy] = [LIST_STILL, LIST_BUSY].map(|kind| other([("kind", json!(kind))]));
    let pieces = other([("one_line", json!(false))]);
    let none = Other::new();
    sheet.plot(
        &folder.join("fleet-sessions-cpu.svg"),
        "Stewards: processor time by senders with a session",
        "senders",
        "core",
        &[
            ("leader, lease 9 s", "steward.leader", "cpu", &nine),
            ("follower, lease 9 s", "steward.follower", "cpu", &nine),
            ("leader, lease 2 s", "steward.leader", "cpu", &two),
            ("leader of five, lease 9 s", "steward.leader", "cpu", &five),
        ],
    )?;
    sheet.plot(
        &folder.join("fleet-sessions-bytes.svg"),
        "Stewards: bytes by senders with a session, lease 9 s",
        "senders",
        "bytes/s",
        &[
            (
                "leader, from senders",
                "steward.leader",
                "bytes_from_senders",
                &nine,
            ),
            (
                "leader, to senders",
                "steward.leader",
                "bytes_to_senders",
                &nine,
            ),
            (
                "leader, to stewards",
                "steward.leader",
                "bytes_to_stewards",
                &nine,
            ),
            (
                "leader, from stewards",
                "steward.leader",
                "bytes_from_stewards",
                &nine,
            ),
        ],
    )?;
    sheet.plot(
        &folder.join("fleet-senders-cpu.svg"),
        "One sender: processor time for the list's watch by senders",
        "senders",
        "core",
        &[
            ("no change", "sender", "cpu", &still),
            ("5.6 changes a second", "sender", "cpu", &busy),
        ],
    )?;
    sheet.plot(
        &folder.join("fleet-rates-bytes.svg"),
        "One sender: the list's bytes by changes",
        "changes/s",
        "bytes/s",
        &[("bytes in", "sender", "list_bytes_in", &none)],
    )?;
    sheet.plot(
        &folder.join("fleet-destinations.svg"),
        "One sender: its first list by destinations",
        "destinations",
        "core s",
        &[("processor time", "sender", "list_cpu", &pieces)],
    )
}

/// Counters of the small run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Small {
    /// Simulated senders still running at the end.
    pub senders: u64,
    /// Changes that were published.
    pub published: u64,
    /// Changes that simulated senders received, all together.
    pub heard: u64,
    /// Destinations that some sender lacked at the end.
    pub lost: u64,
    /// Changes or lines received twice.
    pub doubled: u64,
    /// Lines received after a newer one.
    pub wrong_order: u64,
    /// Sessions that simulated senders opened.
    pub joined: u64,
    /// Sessions that ended without the sender closing them.
    pub left: u64,
    /// Sessions in the coordination state, of simulated and real senders.
    pub book: u64,
    /// Watches that were opened, by simulated and real senders.
    pub watches: u64,
    /// Messages that real senders accepted.
    pub taken: u64,
    /// Messages that the endpoint received.
    pub delivered: u64,
    /// Session requests that coordinators received.
    pub requests: u64,
}

/// Runs the small fleet and returns its counters.
///
/// # Errors
/// A process does not start or ends early.
pub fn small(plan: &Plan, hollow: u64, real: u64, rate: f64) -> Result<Small, Error> {
    let setup = stewards(3, 9);
    let form = Form {
        destinations: DESTINATIONS,
        piece: DESTINATIONS,
    };
    let mut rig = Rig::start(
        &plan.programs,
        Parts {
            form,
            ..plan.parts(hollow, hollow, Some(setup))
        },
    )?;
    rig.begin(0..hollow)?;
    let group = rig
        .stewards
        .as_ref()
        .ok_or_else(|| Error::Wrong("no stewards".into()))?;
    let (discovery, addresses) = (rig.discovery.addresses[0], group.addresses(0));
    let numbers = hollow..hollow + real;
    let reals = Reals::start(
        &plan.programs.sender,
        &rig.config,
        numbers,
        discovery,
        &addresses,
    )?;
    let clients = reals.hand_in(rig.ways.handle(), Duration::from_millis(20), DESTINATIONS);
    let joined = rig.herd.report(&rig.discovery)?.joined;
    let (before, _, published) = rig.span(plan.span, rate)?;
    rig.until_all(hollow, hollow)?;
    let after = rig.read()?;
    clients.iter().for_each(tokio::task::AbortHandle::abort);
    // the last message of a client may still be accepted after the client ended; only messages counted as accepted are
    // awaited
    super::process::until("what was taken on is delivered", || {
        Ok(rig.endpoint.seen().0 >= reals.handed().1)
    })?;
    let report = rig.herd.report(&rig.discovery)?;
    let group = rig
        .stewards
        .as_ref()
        .ok_or_else(|| Error::Wrong("no stewards".into()))?;
    let mut book = 0;
    super::process::until("the book is shown", || {
        book = group.look().map_or(0, |look| look.sessions.len() as u64);
        Ok(book > 0)
    })?;
    let passed = (after.stewards.iter().zip(&before.stewards))
        .fold(super::meter::Passed::default(), |sum, (after, before)| {
            sum + (after.1 - before.1)
        });
    Ok(Small {
        senders: report.senders,
        published,
        heard: report.in_force.values().sum(),
        lost: report.lost,
        doubled: report.doubled,
        wrong_order: report.wrong_order,
        joined: joined + report.joined,
        left: report.left,
        book,
        watches: rig.discovery.watches(),
        taken: reals.handed().1,
        delivered: rig.endpoint.seen().0,
        requests: passed.asked,
    })
}
