//! Measures a fleet whose sessions go through session proxies: how the cost of each role grows with the number of
//! sessions, and what happens when a session proxy is killed at the largest size.

use super::discovery::ListLayout;
use super::harness::{Harness, HarnessOptions};
use super::results::{Conditions, Results, parameters_from};
use super::scaling::{Plan, default_group};
use super::session_proxies::SessionProxies;
use crate::Error;
use crate::figures::{Fault, Record};
use serde_json::json;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Lease duration in seconds.
const LEASE_S: u64 = 9;
/// Number of senders started together.
const SENDERS_PER_START: u64 = 1_000;
/// Longest wait until all sessions of a measured size are open; a loaded machine opens a few hundred a second.
const MAX_OPENING_TIME: Duration = Duration::from_secs(120);
/// Pause between the last opened session and the measurement, in which every session renews at least once.
const SETTLE_TIME: Duration = Duration::from_secs(LEASE_S / 2);
/// Number of resources that the coordination state holds; with more senders than this, none claims a resource.
const MAX_RESOURCES: u64 = milletturn_coordination::bounds::MAX_RESOURCES as u64;

/// Configuration of a run besides its sizes.
#[derive(Debug, Clone, Copy)]
pub struct ProxiedOptions {
    /// Number of session proxies.
    pub session_proxies: usize,
    /// Number of simulated senders in each process.
    pub senders_per_process: u64,
    /// Number of destinations in the list. The list is not part of what is measured, so it should be short: a full list
    /// of 1,000 takes 17 ms of processor time.
    pub destinations: u64,
    /// Whether to run three fault scenarios at the largest size (a zone of senders killed; all coordinators and session
    /// proxies killed and restarted; all senders restarted for a release) instead of killing one session proxy.
    pub run_faults: bool,
}

/// Opens sessions through the session proxies and measures each size; afterwards runs the fault scenarios or kills a
/// session proxy.
///
/// # Errors
/// A process does not start or ends early.
pub fn run(plan: &Plan, results: &mut Results, options: ProxiedOptions) -> Result<(), Error> {
    let ProxiedOptions {
        session_proxies,
        senders_per_process,
        destinations,
        run_faults,
    } = options;
    let Some(&max_senders) = plan.senders.iter().max() else {
        return Ok(());
    };
    let harness_options = plan.options(max_senders, max_senders, Some(default_group(3, LEASE_S)));
    let claim_resources = max_senders <= MAX_RESOURCES;
    let list_layout = ListLayout {
        destinations,
        ..harness_options.list_layout
    };
    let mut harness = Harness::start(
        &plan.programs,
        HarnessOptions {
            session_proxies,
            claim_resources,
            senders_per_process,
            list_layout,
            ..harness_options
        },
    )?;
    let (mut started, mut last) = (0, None);
    for &senders in &plan.senders {
        if Instant::now() > plan.deadline {
            eprintln!("time limit reached; skipping {senders} sessions through session proxies");
            break;
        }
        let conditions = Conditions {
            axis: "sessions",
            at: senders as f64,
            parameters: parameters_from([
                ("lease_s", json!(LEASE_S)),
                ("stewards", json!(3)),
                ("relays", json!(session_proxies)),
            ]),
        };
        let opening = Instant::now();
        while started < senders {
            let next = (started + SENDERS_PER_START).min(senders);
            let numbers: Vec<u64> = (started..next).collect();
            harness.fleet.start_senders(&numbers)?;
            started = next;
            if !wait_for_sessions(&mut harness, started, opening)? {
                let report = harness.fleet.take_report(&harness.discovery)?;
                eprintln!(
                    "{senders} sessions through session proxies did not all open; rejected {:?}",
                    report.rejections
                );
                results.add_point("fleet", "never_open", "count", &conditions, senders as f64);
                return Ok(());
            }
        }
        results.add_point(
            "fleet",
            "opening",
            "s",
            &conditions,
            opening.elapsed().as_secs_f64(),
        );
        // a sender that is still reading its first list renews late
        wait_until_listed(&mut harness, started, opening)?;
        results.add_point(
            "fleet",
            "listed",
            "s",
            &conditions,
            opening.elapsed().as_secs_f64(),
        );
        let watches = harness.discovery.watches();
        std::thread::sleep(SETTLE_TIME);
        harness.fleet.take_report(&harness.discovery)?;
        measure(plan, results, &mut harness, &conditions, senders)?;
        let reopened_watches = harness.discovery.watches() - watches;
        results.add_point(
            "fleet",
            "watches_again",
            "count",
            &conditions,
            reopened_watches as f64,
        );
        eprintln!("{senders} sessions through {session_proxies} session proxies measured");
        last = Some(senders);
    }
    if let Some(senders) = last.filter(|_| run_faults) {
        return super::proxied_faults::run(results, &mut harness, senders, plan.deadline);
    }
    if let Some(senders) = last.filter(|_| session_proxies > 1) {
        measure_killed_proxy(plan, results, &mut harness, senders)?;
    }
    Ok(())
}

/// The code that causes a quantity to grow, by role and quantity.
const TERMS: [(&str, &str, &str); 13] = [
    (
        "steward.leader",
        "cpu",
        "Leadership::serve_heartbeat_batch (crates/coordinator/src/leadership/heartbeats.rs): one request to a quorum for \
         a batch, a look-up of each of its sessions, and a pass through all resources",
    ),
    (
        "steward.leader",
        "resident",
        "a session in the coordination state, in its snapshot and in the lease table",
    ),
    (
        "steward.leader",
        "descriptors",
        "a connection for each session proxy, whatever it carries",
    ),
    (
        "steward.leader",
        "disk",
        "nothing is written for a heartbeat (heartbeats.rs)",
    ),
    (
        "steward.leader",
        "asked_by_senders",
        "HeartbeatBatcher::next_step (crates/coordination/src/heartbeat_batcher.rs): a batch in each batching delay",
    ),
    (
        "steward.leader",
        "bytes_from_senders",
        "some 12 bytes for each session in a batch",
    ),
    (
        "steward.leader",
        "bytes_to_senders",
        "each session in the response to its batch",
    ),
    (
        "steward.follower",
        "cpu",
        "responds to the leader's request for each batch",
    ),
    (
        "steward.follower",
        "resident",
        "a session in the coordination state and in its snapshot",
    ),
    (
        "relay",
        "cpu",
        "HeartbeatForwarder::forward and one HTTP call for each heartbeat of its members",
    ),
    ("relay", "resident", "a connection for each member"),
    ("relay", "descriptors", "a connection for each member"),
    (
        "relay",
        "messages",
        "Member::maintain_session: four heartbeats in a lease, each with a request and a response",
    ),
];

/// Fits a curve to each quantity as a function of the number of sessions.
pub fn add_fits(results: &mut Results, session_proxies: usize) {
    let parameters = parameters_from([
        ("lease_s", json!(LEASE_S)),
        ("stewards", json!(3)),
        ("relays", json!(session_proxies)),
    ]);
    for (role, quantity, term) in TERMS {
        results.add_fit(role, quantity, "sessions", &parameters, term);
    }
}

/// Waits until the coordination state has the given number of sessions; false if it does not within
/// [`MAX_OPENING_TIME`] of `since`.
fn wait_for_sessions(harness: &mut Harness, expected: u64, since: Instant) -> Result<bool, Error> {
    while since.elapsed() < MAX_OPENING_TIME {
        std::thread::sleep(Duration::from_millis(300));
        if open_session_count(harness) >= expected {
            return Ok(true);
        }
    }
    Ok(false)
}

/// Waits until the given number of senders have the current list, at most until [`MAX_OPENING_TIME`] after `since`.
fn wait_until_listed(harness: &mut Harness, expected: u64, since: Instant) -> Result<(), Error> {
    while since.elapsed() < MAX_OPENING_TIME
        && harness.fleet.count_ready(harness.discovery.version())?.0 < expected
    {
        std::thread::sleep(Duration::from_millis(300));
    }
    Ok(())
}

/// Number of sessions in the coordination state now.
pub fn open_session_count(harness: &Harness) -> u64 {
    let state = harness
        .coordinators
        .as_ref()
        .and_then(super::coordinators::CoordinatorGroup::read_state);
    state.map_or(0, |state| state.sessions.len() as u64)
}

fn require_session_proxies(harness: &Harness) -> Result<&SessionProxies, Error> {
    harness
        .session_proxies
        .as_ref()
        .ok_or_else(|| Error::Unexpected("the harness has no session proxies".into()))
}

fn measure(
    plan: &Plan,
    results: &mut Results,
    harness: &mut Harness,
    conditions: &Conditions<'_>,
    senders: u64,
) -> Result<(), Error> {
    let read_proxies = |harness: &Harness| -> Result<Vec<_>, Error> {
        let session_proxies = require_session_proxies(harness)?;
        session_proxies
            .running()
            .map(|number| session_proxies.read(number))
            .collect()
    };
    let leader = harness
        .coordinators
        .as_ref()
        .and_then(super::coordinators::CoordinatorGroup::leader);
    let proxies_before = read_proxies(harness)?;
    let (before, after, _) = harness.measure_span(plan.span, 0.0)?;
    let proxies_after = read_proxies(harness)?;
    results.record_span(conditions, &before, &after, senders, 0, leader);
    let span = plan.span.as_secs_f64();
    let mut total_traffic = super::meter::Traffic::default();
    let has_byte_counts = require_session_proxies(harness)?.has_byte_counts();
    for ((cost, traffic), (cost_before, traffic_before)) in
        proxies_after.into_iter().zip(proxies_before)
    {
        let (cost, traffic) = (cost - cost_before, traffic - traffic_before);
        total_traffic = total_traffic + traffic;
        for (quantity, unit, value) in [
            ("cpu", "core", cost.cpu_s / span),
            ("resident", "bytes", cost.resident as f64),
            ("descriptors", "count", cost.descriptors as f64),
            ("messages", "messages/s", traffic.messages() as f64 / span),
        ] {
            results.add_point("relay", quantity, unit, conditions, value);
        }
        if has_byte_counts {
            let (from, to) = (
                traffic.request_bytes as f64 / span,
                traffic.response_bytes as f64 / span,
            );
            results.add_point("relay", "bytes_from_senders", "bytes/s", conditions, from);
            results.add_point("relay", "bytes_to_senders", "bytes/s", conditions, to);
        }
    }
    let sender_seconds = senders as f64 * span;
    results.add_point(
        "sender",
        "session_messages",
        "messages/s",
        conditions,
        total_traffic.messages() as f64 / sender_seconds,
    );
    if has_byte_counts {
        results.add_point(
            "sender",
            "session_bytes_out",
            "bytes/s",
            conditions,
            total_traffic.request_bytes as f64 / sender_seconds,
        );
        results.add_point(
            "sender",
            "session_bytes_in",
            "bytes/s",
            conditions,
            total_traffic.response_bytes as f64 / sender_seconds,
        );
    }
    let report = harness.fleet.take_report(&harness.discovery)?;
    for (quantity, value) in [("left", report.sessions_lost), ("refused", report.rejected)] {
        results.add_point("fleet", quantity, "count", conditions, value as f64);
    }
    Ok(())
}

/// Kills one session proxy and records the load of the others during two leases, in which each member must renew
/// through another proxy without losing its session.
fn measure_killed_proxy(
    plan: &Plan,
    results: &mut Results,
    harness: &mut Harness,
    senders: u64,
) -> Result<(), Error> {
    let message_counts = |harness: &Harness| -> Result<Vec<u64>, Error> {
        let session_proxies = require_session_proxies(harness)?;
        (1..session_proxies.addresses().len())
            .map(|number| Ok(session_proxies.read(number)?.1.messages()))
            .collect()
    };
    let before = message_counts(harness)?;
    let started = Instant::now();
    std::thread::sleep(plan.span);
    let (before_kill, span) = (message_counts(harness)?, started.elapsed().as_secs_f64());
    let mean = before_kill
        .iter()
        .zip(&before)
        .map(|(now, before)| now - before)
        .sum::<u64>() as f64
        / span
        / before_kill.len().max(1) as f64;
    if let Some(session_proxies) = &mut harness.session_proxies {
        session_proxies.kill(0);
    }
    let (killed, mut peak) = (Instant::now(), 0.0_f64);
    let (mut last, mut at) = (before_kill, Instant::now());
    while killed.elapsed() < Duration::from_secs(2 * LEASE_S) {
        std::thread::sleep(Duration::from_secs(1));
        let (next, span) = (message_counts(harness)?, at.elapsed().as_secs_f64());
        at = Instant::now();
        let max_messages = next
            .iter()
            .zip(&last)
            .map(|(next, last)| next - last)
            .max()
            .unwrap_or(0);
        peak = peak.max(max_messages as f64 / span);
        last = next;
    }
    let report = harness.fleet.take_report(&harness.discovery)?;
    let open_sessions = open_session_count(harness);
    results.records.push(Record::Fault(Fault {
        name: "a relay killed".to_string(),
        senders,
        p50_s: 0.0,
        p99_s: 0.0,
        worst_s: 0.0,
        peak_over_mean: BTreeMap::from([("messages at one of the others".to_string(), peak / mean)]),
        lost: report.sessions_lost,
        doubled: 0,
        wrong_order: 0,
        note: format!(
            "lost: sessions that ended; {open_sessions} are open two leases later. No change is published: the list does not \
             go through relays. Messages a second at one of the others: {mean:.0} in the mean before, {peak:.0} in the \
             highest second"
        ),
    }));
    Ok(())
}
