//! Measures a fleet whose sessions go through session proxies: the cost of each role by the number of sessions, and
//! what happens when a session proxy is killed at the largest size.

use super::discovery::Form;
use super::relays::Relays;
use super::rig::{Parts, Rig};
use super::sheet::{Place, Sheet, other};
use super::slopes::{Plan, stewards};
use crate::Error;
use crate::figures::{Fault, Line};
use serde_json::json;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Lease duration in seconds.
const LEASE: u64 = 9;
/// Number of senders started together.
const CHUNK: u64 = 1_000;
/// Longest wait until the sessions of one size are open; a loaded machine opens a few hundred sessions a second.
const BEGIN: Duration = Duration::from_secs(120);
/// Pause between the last opened session and the measurement, in which every session renews once.
const SETTLE: Duration = Duration::from_secs(LEASE / 2);
/// Number of resources that the coordination state holds; with more senders than this, none claims a resource.
const WORKS: u64 = milletturn_coordination::bounds::MAX_RESOURCES as u64;

/// Configuration of a run besides its sizes.
#[derive(Debug, Clone, Copy)]
pub struct Shape {
    /// Number of session proxies.
    pub relays: usize,
    /// Simulated senders in one process.
    pub each: u64,
    /// Destinations of the list. The list is not part of what is measured; a full list of 1,000 takes 17 ms of
    /// processor time.
    pub destinations: u64,
    /// Whether the largest size goes through three fault scenarios (a zone, all coordination, a release) instead of
    /// losing one session proxy.
    pub faults: bool,
}

/// Opens sessions through the session proxies and measures each size; afterwards runs the fault scenarios or kills a
/// session proxy.
///
/// # Errors
/// A process does not start or ends early.
pub fn run(plan: &Plan, sheet: &mut Sheet, shape: Shape) -> Result<(), Error> {
    let Shape {
        relays,
        each,
        destinations,
        faults,
    } = shape;
    let Some(&most) = plan.senders.iter().max() else {
        return Ok(());
    };
    let parts = plan.parts(most, most, Some(stewards(3, LEASE)));
    let works = most <= WORKS;
    let form = Form {
        destinations,
        ..parts.form
    };
    let mut rig = Rig::start(
        &plan.programs,
        Parts {
            relays,
            works,
            each,
            form,
            ..parts
        },
    )?;
    let (mut begun, mut last) = (0, None);
    for &senders in &plan.senders {
        if Instant::now() > plan.until {
            eprintln!("time is up: left out: {senders} sessions behind relays");
            break;
        }
        let place = Place {
            axis: "sessions",
            at: senders as f64,
            other: other([
                ("lease_s", json!(LEASE)),
                ("stewards", json!(3)),
                ("relays", json!(relays)),
            ]),
        };
        let opening = Instant::now();
        while begun < senders {
            let next = (begun + CHUNK).min(senders);
            let numbers: Vec<u64> = (begun..next).collect();
            rig.herd.begin(&numbers)?;
            begun = next;
            if !opened(&mut rig, begun, opening)? {
                let report = rig.herd.report(&rig.discovery)?;
                eprintln!(
                    "{senders} sessions behind relays are never open; refused {:?}",
                    report.refusals
                );
                sheet.point("fleet", "never_open", "count", &place, senders as f64);
                return Ok(());
            }
        }
        sheet.point(
            "fleet",
            "opening",
            "s",
            &place,
            opening.elapsed().as_secs_f64(),
        );
        // a sender that is still reading its first list renews late
        known(&mut rig, begun, opening)?;
        sheet.point(
            "fleet",
            "listed",
            "s",
            &place,
            opening.elapsed().as_secs_f64(),
        );
        let watches = rig.discovery.watches();
        std::thread::sleep(SETTLE);
        rig.herd.report(&rig.discovery)?;
        measure(plan, sheet, &mut rig, &place, senders)?;
        let again = rig.discovery.watches() - watches;
        sheet.point("fleet", "watches_again", "count", &place, again as f64);
        eprintln!("{senders} sessions behind {relays} relays done");
        last = Some(senders);
    }
    if let Some(senders) = last.filter(|_| faults) {
        return super::relayed_faults::run(sheet, &mut rig, senders, plan.until);
    }
    if let Some(senders) = last.filter(|_| relays > 1) {
        kill_one(plan, sheet, &mut rig, senders)?;
    }
    Ok(())
}

/// The code that causes a quantity to grow, by role and quantity.
const TERMS: [(&str, &str, &str); 13] = [
    (
        "steward.leader",
        "cpu",
        "Throne::renew_all (crates/steward/src/reign.rs): one question to the majority for a batch, a look at each of its \
         sessions, and a walk over all works",
    ),
    (
        "steward.leader",
        "resident",
        "a session in the book, in its snapshot and among the leases",
    ),
    (
        "steward.leader",
        "descriptors",
        "a connection for each relay, whatever it carries",
    ),
    (
        "steward.leader",
        "disk",
        "nothing is written for a renewal (reign.rs)",
    ),
    (
        "steward.leader",
        "asked_by_senders",
        "Relay::next (crates/fleet/src/relay.rs): a batch in each time of gathering",
    ),
    (
        "steward.leader",
        "bytes_from_senders",
        "some 12 bytes for each session in a batch",
    ),
    (
        "steward.leader",
        "bytes_to_senders",
        "each session in the answer to its batch",
    ),
    (
        "steward.follower",
        "cpu",
        "answers the leader's question for each batch",
    ),
    (
        "steward.follower",
        "resident",
        "a session in the book and in its snapshot",
    ),
    (
        "relay",
        "cpu",
        "Relay::ask and one HTTP call for each renewal of its members",
    ),
    ("relay", "resident", "a connection for each member"),
    ("relay", "descriptors", "a connection for each member"),
    (
        "relay",
        "messages",
        "Member::keep: four renewals in a lease, asked and told",
    ),
];

/// Fits all quantities by the number of sessions.
pub fn fits(sheet: &mut Sheet, relays: usize) {
    let set = other([
        ("lease_s", json!(LEASE)),
        ("stewards", json!(3)),
        ("relays", json!(relays)),
    ]);
    for (role, quantity, term) in TERMS {
        sheet.fit(role, quantity, "sessions", &set, term);
    }
}

/// Waits until the coordination state has the given number of sessions; false if it does not in time.
fn opened(rig: &mut Rig, wanted: u64, since: Instant) -> Result<bool, Error> {
    while since.elapsed() < BEGIN {
        std::thread::sleep(Duration::from_millis(300));
        if sessions(rig) >= wanted {
            return Ok(true);
        }
    }
    Ok(false)
}

/// Waits until the given number of senders know the list, at most as long as sessions may take to open.
fn known(rig: &mut Rig, wanted: u64, since: Instant) -> Result<(), Error> {
    while since.elapsed() < BEGIN && rig.herd.ask(rig.discovery.version())?.0 < wanted {
        std::thread::sleep(Duration::from_millis(300));
    }
    Ok(())
}

/// Number of sessions in the coordination state now.
pub fn sessions(rig: &Rig) -> u64 {
    let look = rig.stewards.as_ref().and_then(super::stewards::Group::look);
    look.map_or(0, |look| look.sessions.len() as u64)
}

fn relays(rig: &Rig) -> Result<&Relays, Error> {
    rig.relays
        .as_ref()
        .ok_or_else(|| Error::Wrong("there is no relay".into()))
}

fn measure(
    plan: &Plan,
    sheet: &mut Sheet,
    rig: &mut Rig,
    place: &Place<'_>,
    senders: u64,
) -> Result<(), Error> {
    let read = |rig: &Rig| -> Result<Vec<_>, Error> {
        let relays = relays(rig)?;
        relays.running().map(|number| relays.read(number)).collect()
    };
    let leader = rig
        .stewards
        .as_ref()
        .and_then(super::stewards::Group::leader);
    let relays_before = read(rig)?;
    let (before, after, _) = rig.span(plan.span, 0.0)?;
    let relays_after = read(rig)?;
    sheet.span(place, &before, &after, senders, 0, leader);
    let span = plan.span.as_secs_f64();
    let mut all = super::meter::Passed::default();
    let bytes = relays(rig)?.counts_bytes();
    for ((cost, passed), (cost_before, passed_before)) in
        relays_after.into_iter().zip(relays_before)
    {
        let (cost, passed) = (cost - cost_before, passed - passed_before);
        all = all + passed;
        for (quantity, unit, value) in [
            ("cpu", "core", cost.cpu_s / span),
            ("resident", "bytes", cost.resident as f64),
            ("descriptors", "count", cost.descriptors as f64),
            ("messages", "messages/s", passed.messages() as f64 / span),
        ] {
            sheet.point("relay", quantity, unit, place, value);
        }
        if bytes {
            let (from, to) = (
                passed.bytes_asked as f64 / span,
                passed.bytes_told as f64 / span,
            );
            sheet.point("relay", "bytes_from_senders", "bytes/s", place, from);
            sheet.point("relay", "bytes_to_senders", "bytes/s", place, to);
        }
    }
    let each = senders as f64 * span;
    sheet.point(
        "sender",
        "session_messages",
        "messages/s",
        place,
        all.messages() as f64 / each,
    );
    if bytes {
        sheet.point(
            "sender",
            "session_bytes_out",
            "bytes/s",
            place,
            all.bytes_asked as f64 / each,
        );
        sheet.point(
            "sender",
            "session_bytes_in",
            "bytes/s",
            place,
            all.bytes_told as f64 / each,
        );
    }
    let report = rig.herd.report(&rig.discovery)?;
    for (quantity, value) in [("left", report.left), ("refused", report.refused)] {
        sheet.point("fleet", quantity, "count", place, value as f64);
    }
    Ok(())
}

/// Kills one session proxy and records the load of the others during two leases, in which each member must renew
/// through another proxy without losing its session.
fn kill_one(plan: &Plan, sheet: &mut Sheet, rig: &mut Rig, senders: u64) -> Result<(), Error> {
    let asked = |rig: &Rig| -> Result<Vec<u64>, Error> {
        let relays = relays(rig)?;
        (1..relays.addresses().len())
            .map(|number| Ok(relays.read(number)?.1.messages()))
            .collect()
    };
    let before = asked(rig)?;
    let begun = Instant::now();
    std::thread::sleep(plan.span);
    let (quiet, span) = (asked(rig)?, begun.elapsed().as_secs_f64());
    let mean = quiet
        .iter()
        .zip(&before)
        .map(|(now, before)| now - before)
        .sum::<u64>() as f64
        / span
        / quiet.len().max(1) as f64;
    if let Some(relays) = &mut rig.relays {
        relays.kill(0);
    }
    let (killed, mut peak) = (Instant::now(), 0.0_f64);
    let (mut last, mut at) = (quiet, Instant::now());
    while killed.elapsed() < Duration::from_secs(2 * LEASE) {
        std::thread::sleep(Duration::from_secs(1));
        let (next, span) = (asked(rig)?, at.elapsed().as_secs_f64());
        at = Instant::now();
        let most = next
            .iter()
            .zip(&last)
            .map(|(next, last)| next - last)
            .max()
            .unwrap_or(0);
        peak = peak.max(most as f64 / span);
        last = next;
    }
    let report = rig.herd.report(&rig.discovery)?;
    let still = sessions(rig);
    sheet.lines.push(Line::Fault(Fault {
        name: "a relay killed".to_string(),
        senders,
        p50_s: 0.0,
        p99_s: 0.0,
        worst_s: 0.0,
        peak_over_mean: BTreeMap::from([("messages at one of the others".to_string(), peak / mean)]),
        lost: report.left,
        doubled: 0,
        wrong_order: 0,
        note: format!(
            "lost: sessions that ended; {still} are open two leases later. No change is published: the list does not \
             go through relays. Messages a second at one of the others: {mean:.0} in the mean before, {peak:.0} in the \
             highest second"
        ),
    }));
    Ok(())
}
