//! Fits and plots of the results, and the run of a small fleet whose counters a test checks.

use super::discovery::ListLayout;
use super::harness::{Harness, HarnessOptions};
use super::real_senders::RealSenders;
use super::results::{Parameters, Results, parameters_from};
use super::scaling::{
    DESTINATIONS, LIST_CHANGING, LIST_UNCHANGED, Plan, default_group, group_parameters,
};
use crate::Error;
use serde_json::json;
use std::path::Path;
use std::time::Duration;

/// The code that causes a quantity to grow, by role and quantity.
const TERMS: [(&str, &str, &str); 17] = [
    (
        "steward.leader",
        "cpu",
        "Leadership::serve_heartbeat (crates/coordinator/src/leadership/heartbeats.rs): each heartbeat asks a quorum once \
         and goes through all resources: four heartbeats a lease for each of n sessions, over n resources",
    ),
    (
        "steward.leader",
        "resident",
        "a connection and a tracked lease for each session (coordination-protocol/src/server.rs, lease_table.rs)",
    ),
    (
        "steward.leader",
        "descriptors",
        "a connection for each session (request_handler.rs, MAX_CONNECTIONS)",
    ),
    (
        "steward.leader",
        "disk",
        "nothing is written for a heartbeat (heartbeats.rs)",
    ),
    (
        "steward.leader",
        "asked_by_senders",
        "SessionLoop::run: HEARTBEATS_PER_LEASE (crates/member/src/session.rs)",
    ),
    (
        "steward.leader",
        "bytes_from_senders",
        "one heartbeat of some 260 bytes, four in a lease (coordination-protocol/src/client.rs)",
    ),
    (
        "steward.leader",
        "bytes_to_senders",
        "one response for each heartbeat, with the resources that the session owns (heartbeats.rs)",
    ),
    (
        "steward.leader",
        "asked_between_stewards",
        "Leadership::confirm_leadership: each heartbeat asks every other coordinator (leadership.rs)",
    ),
    (
        "steward.leader",
        "bytes_to_stewards",
        "Leadership::confirm_leadership: each heartbeat asks every other coordinator (leadership.rs)",
    ),
    (
        "steward.leader",
        "bytes_from_stewards",
        "Leadership::confirm_leadership: each heartbeat asks every other coordinator (leadership.rs)",
    ),
    (
        "steward.follower",
        "cpu",
        "responds to the leader's request for each heartbeat (Leadership::confirm_leadership)",
    ),
    (
        "steward.follower",
        "resident",
        "the coordination state (state_machine.rs)",
    ),
    (
        "steward.follower",
        "descriptors",
        "connections of the other coordinators, and of senders that called this one first",
    ),
    (
        "sender",
        "cpu",
        "watch_endpoints and Member::maintain_session: one watch and one session, however many senders there are",
    ),
    (
        "sender",
        "resident",
        "one watch and one session; a simulated sender does not keep the list itself",
    ),
    (
        "stand-in.discovery",
        "cpu",
        "each change is written to each watch; cost of the test double, not of the product",
    ),
    (
        "stand-in.discovery",
        "messages",
        "each change and each keep-alive goes to each watch",
    ),
];

/// Fits a curve to each quantity as a function of the size that was varied.
pub fn add_fits(results: &mut Results) {
    let group_configs = [
        default_group(3, 9),
        default_group(3, 2),
        default_group(5, 9),
    ]
    .map(group_parameters);
    let kinds =
        [LIST_UNCHANGED, LIST_CHANGING].map(|kind| parameters_from([("kind", json!(kind))]));
    for (role, quantity, term) in TERMS {
        for parameters in group_configs.iter().chain(&kinds) {
            results.add_fit(role, quantity, "senders", parameters, term);
        }
        results.add_fit(role, quantity, "changes/s", &Parameters::new(), term);
    }
    for (quantity, term) in [
        (
            "list_messages",
            "watch_endpoints: a line for each change, a keep-alive every 2 s",
        ),
        (
            "list_bytes_in",
            "watch_endpoints: some 190 bytes for each change of one endpoint",
        ),
        (
            "cpu",
            "WatchStream::push and parse_list for each change (crates/platform/src/watch_stream.rs, endpoint_list.rs)",
        ),
    ] {
        results.add_fit("sender", quantity, "changes/s", &Parameters::new(), term);
    }
    for (quantity, term) in [
        (
            "list_bytes",
            "discovery's form: some 150 bytes for each endpoint",
        ),
        (
            "list_cpu",
            "WatchStream::push and parse_list: each entry is read as a JSON value, then as a target",
        ),
        (
            "list_time",
            "WatchStream::push and parse_list; on a shared machine, wall time",
        ),
    ] {
        results.add_fit(
            "sender",
            quantity,
            "destinations",
            &parameters_from([("one_line", json!(false))]),
            term,
        );
    }
}

/// Draws the plots.
///
/// # Errors
/// A file can't be written.
pub fn draw_plots(results: &Results, folder: &Path) -> Result<(), Error> {
    std::fs::create_dir_all(folder).map_err(Error::io(folder.display().to_string()))?;
    let [lease_9_s, lease_2_s, five_coordinators] = [
        default_group(3, 9),
        default_group(3, 2),
        default_group(5, 9),
    ]
    .map(group_parameters);
    let [unchanged, changing] =
        [LIST_UNCHANGED, LIST_CHANGING].map(|kind| parameters_from([("kind", json!(kind))]));
    let in_pieces = parameters_from([("one_line", json!(false))]);
    let no_parameters = Parameters::new();
    results.plot(
        &folder.join("fleet-sessions-cpu.svg"),
        "Stewards: processor time by senders with a session",
        "senders",
        "core",
        &[
            ("leader, lease 9 s", "steward.leader", "cpu", &lease_9_s),
            ("follower, lease 9 s", "steward.follower", "cpu", &lease_9_s),
            ("leader, lease 2 s", "steward.leader", "cpu", &lease_2_s),
            (
                "leader of five, lease 9 s",
                "steward.leader",
                "cpu",
                &five_coordinators,
            ),
        ],
    )?;
    results.plot(
        &folder.join("fleet-sessions-bytes.svg"),
        "Stewards: bytes by senders with a session, lease 9 s",
        "senders",
        "bytes/s",
        &[
            (
                "leader, from senders",
                "steward.leader",
                "bytes_from_senders",
                &lease_9_s,
            ),
            (
                "leader, to senders",
                "steward.leader",
                "bytes_to_senders",
                &lease_9_s,
            ),
            (
                "leader, to stewards",
                "steward.leader",
                "bytes_to_stewards",
                &lease_9_s,
            ),
            (
                "leader, from stewards",
                "steward.leader",
                "bytes_from_stewards",
                &lease_9_s,
            ),
        ],
    )?;
    results.plot(
        &folder.join("fleet-senders-cpu.svg"),
        "One sender: processor time for the list's watch by senders",
        "senders",
        "core",
        &[
            ("no change", "sender", "cpu", &unchanged),
            ("5.6 changes a second", "sender", "cpu", &changing),
        ],
    )?;
    results.plot(
        &folder.join("fleet-rates-bytes.svg"),
        "One sender: the list's bytes by changes",
        "changes/s",
        "bytes/s",
        &[("bytes in", "sender", "list_bytes_in", &no_parameters)],
    )?;
    results.plot(
        &folder.join("fleet-destinations.svg"),
        "One sender: its first list by destinations",
        "destinations",
        "core s",
        &[("processor time", "sender", "list_cpu", &in_pieces)],
    )
}

/// Counters of a small fleet, which [`run_small`] returns.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SmallRun {
    /// Simulated senders still running at the end.
    pub senders: u64,
    /// Changes that were published.
    pub published: u64,
    /// Changes that simulated senders received in a line of their own, summed over the senders. Changes that a busy
    /// machine merged into one line are not counted.
    pub received: u64,
    /// Destinations missing at a sender at the end, summed over the senders.
    pub lost: u64,
    /// Changes or lines received twice, and destinations beyond those published.
    pub doubled: u64,
    /// Lines received after a line with a newer version.
    pub wrong_order: u64,
    /// Sessions that simulated senders opened.
    pub sessions_opened: u64,
    /// Sessions that ended without the sender closing them.
    pub sessions_lost: u64,
    /// Sessions in the coordination state, of simulated and real senders.
    pub sessions_in_state: u64,
    /// Watches that were opened, by simulated and real senders.
    pub watches: u64,
    /// Messages that real senders accepted.
    pub accepted: u64,
    /// Messages that the endpoint received.
    pub delivered: u64,
    /// Session requests that coordinators received.
    pub requests: u64,
}

/// Runs `simulated` simulated senders with sessions, `real` real senders and three coordinators, publishes `rate`
/// changes per second over the plan's span, and returns the counters.
///
/// # Errors
/// A process does not start or ends early.
pub fn run_small(plan: &Plan, simulated: u64, real: u64, rate: f64) -> Result<SmallRun, Error> {
    let group_config = default_group(3, 9);
    let list_layout = ListLayout {
        destinations: DESTINATIONS,
        entries_per_line: DESTINATIONS,
    };
    let mut harness = Harness::start(
        &plan.programs,
        HarnessOptions {
            list_layout,
            ..plan.options(simulated, simulated, Some(group_config))
        },
    )?;
    harness.start_senders(0..simulated)?;
    let group = harness
        .coordinators
        .as_ref()
        .ok_or_else(|| Error::Unexpected("the harness has no coordinators".into()))?;
    let (discovery, addresses) = (harness.discovery.addresses[0], group.addresses(0));
    let numbers = simulated..simulated + real;
    let real_senders = RealSenders::start(
        &plan.programs.sender,
        &harness.config,
        numbers,
        discovery,
        &addresses,
    )?;
    let clients = real_senders.submit_messages(
        harness.proxy_thread.handle(),
        Duration::from_millis(20),
        DESTINATIONS,
    );
    let sessions_opened = harness
        .fleet
        .take_report(&harness.discovery)?
        .sessions_opened;
    let (before, _, published) = harness.measure_span(plan.span, rate)?;
    harness.wait_until_ready(simulated, simulated)?;
    let after = harness.read()?;
    clients.iter().for_each(tokio::task::AbortHandle::abort);
    // the last message of a client may still be accepted after the client ended; only messages counted as accepted are
    // awaited
    super::process::wait_until("all accepted messages are delivered", || {
        Ok(harness.endpoint.received().0 >= real_senders.submitted_and_accepted().1)
    })?;
    let report = harness.fleet.take_report(&harness.discovery)?;
    let group = harness
        .coordinators
        .as_ref()
        .ok_or_else(|| Error::Unexpected("the harness has no coordinators".into()))?;
    let mut sessions_in_state = 0;
    super::process::wait_until("the coordination state lists sessions", || {
        sessions_in_state = group
            .read_state()
            .map_or(0, |state| state.sessions.len() as u64);
        Ok(sessions_in_state > 0)
    })?;
    let session_traffic = (after.coordinators.iter().zip(&before.coordinators))
        .fold(super::meter::Traffic::default(), |sum, (after, before)| {
            sum + (after.1 - before.1)
        });
    Ok(SmallRun {
        senders: report.senders,
        published,
        received: report.in_force.values().sum(),
        lost: report.lost,
        doubled: report.doubled,
        wrong_order: report.wrong_order,
        sessions_opened: sessions_opened + report.sessions_opened,
        sessions_lost: report.sessions_lost,
        sessions_in_state,
        watches: harness.discovery.watches(),
        accepted: real_senders.submitted_and_accepted().1,
        delivered: harness.endpoint.received().0,
        requests: session_traffic.requests,
    })
}
