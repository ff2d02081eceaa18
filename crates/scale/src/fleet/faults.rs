//! Fault scenarios with a whole fleet: how long a change published during a fault takes to reach all senders.

use super::counters::Mark;
use super::discovery::ListLayout;
use super::harness::{Harness, HarnessOptions, Reading};
use super::network_proxy::LinkState;
use super::process::POLL_INTERVAL;
use super::real_senders::RealSenders;
use super::results::Results;
use super::scaling::{CHANGES_PER_S, Plan, default_group};
use super::scenario::{BaselineCost, Scenario};
use crate::Error;
use crate::figures::{Record, write};
use milletturn_coordination_protocol::clock::now;
use rustix::process::Signal;
use std::path::Path;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Numbers of senders in a fault scenario.
#[derive(Debug, Clone, Copy)]
pub struct FleetSize {
    /// Number of simulated senders.
    pub senders: u64,
    /// Number of simulated senders that open sessions.
    pub sessions: u64,
    /// Number of real senders, which deliver messages.
    pub real: u64,
    /// Number of simulated senders in each process.
    pub senders_per_process: u64,
}

/// Number of zones, one of which fails; the failing zone has 1/31 of all senders, or 3.2%.
const ZONES: u64 = 31;
/// Number of senders that restart one after the other.
const RESTARTS: u64 = 1_000;
/// Restarts per second: 100 times the rate at which each of 16,000 senders restarts every eight hours.
const RESTARTS_PER_S: f64 = 100.0 * 16_000.0 / (8.0 * 3_600.0);
/// Number of waves in which a release restarts all senders, one wave a second.
const WAVES: u64 = 20;
/// How long an outage lasts; longer than the lease of 9 s.
const OUTAGE: Duration = Duration::from_secs(12);
/// Number of changes in one hour at 48,000 changes a day; a region that is cut off for an hour misses as many.
const MISSED_CHANGES: u64 = 2_000;
/// Number of steps in which the missed changes are published, spread over [`OUTAGE`] instead of an hour.
const MISSED_CHANGE_STEPS: u64 = 40;

type FaultScenario = fn(&mut Scenario) -> Result<(), Error>;

const FAULTS: [(&str, FaultScenario); 8] = [
    ("zone killed (3.2%)", zone_killed),
    ("1,000 restarts in a row at 100 times the rate", restarts),
    ("release of all", release),
    ("leading steward killed", leader_killed),
    ("all control killed and brought back", all_killed),
    (
        "region cut off for an hour, 2,000 changes missed",
        region_cut,
    ),
    ("leading steward stalled and woken", leader_stalled),
    ("rolling restart of all stewards", rolling_restart),
];

/// Runs the fault scenarios one after the other against one fleet, and writes each result as it is known.
///
/// # Errors
/// A process does not start or ends early.
pub fn run(
    plan: &Plan,
    results: &mut Results,
    size: FleetSize,
    only: &[String],
    out: &Path,
) -> Result<(), Error> {
    let is_selected =
        |name: &str| only.is_empty() || only.iter().any(|word| name.contains(word.as_str()));
    if FAULTS.iter().any(|(name, _)| is_selected(name)) {
        let options = plan.options(size.senders, size.sessions, Some(default_group(3, 9)));
        let mut harness = Harness::start(
            &plan.programs,
            HarnessOptions {
                senders_per_process: size.senders_per_process,
                ..options
            },
        )?;
        harness.start_senders(0..size.senders)?;
        let group = harness
            .coordinators
            .as_ref()
            .ok_or_else(|| Error::Unexpected("the harness has no coordinators".into()))?;
        let (discovery, addresses) = (harness.discovery.addresses[0], group.addresses(0));
        let numbers = size.senders..size.senders + size.real;
        // with every session slot taken by simulated senders, real senders run without sessions
        let has_free_sessions = milletturn_coordination::bounds::MAX_SESSIONS as u64
            - size.sessions.min(1024)
            >= size.real;
        let addresses = if has_free_sessions {
            addresses
        } else {
            Vec::new()
        };
        let real_senders = RealSenders::start(
            &plan.programs.sender,
            &harness.config,
            numbers,
            discovery,
            &addresses,
        )?;
        let clients = real_senders.submit_messages(
            harness.proxy_thread.handle(),
            Duration::from_millis(50),
            super::scaling::DESTINATIONS,
        );
        harness.fleet.sample_permissions(50)?;
        let (before, after, _) = harness.measure_span(Duration::from_secs(9), CHANGES_PER_S)?;
        harness.wait_until_ready(size.senders, size.sessions)?;
        harness.fleet.take_report(&harness.discovery)?;
        let mut scenario = Scenario::new(harness, size, baseline_cost(&before, &after));
        for (name, fault) in FAULTS.into_iter().filter(|(name, _)| is_selected(name)) {
            if Instant::now() > plan.deadline {
                eprintln!("time limit reached; skipping {name}");
                continue;
            }
            eprintln!("{name} ...");
            scenario.begin_fault(name)?;
            fault(&mut scenario)?;
            let result = scenario.end_fault()?;
            eprintln!("{}", serde_json::to_string(&result).unwrap_or_default());
            results.records.push(Record::Fault(result));
            write(out, &results.records)?;
        }
        clients.iter().for_each(tokio::task::AbortHandle::abort);
        // a message expires after 20 s, and its notification may have to wait for discovery
        sleep(Duration::from_secs(22));
        let notifications = scenario.harness.discovery.notifications();
        let ((submitted, accepted), (delivered, repeated_calls)) = (
            real_senders.submitted_and_accepted(),
            scenario.harness.endpoint.received(),
        );
        eprintln!(
            "real senders: {submitted} messages submitted, {accepted} accepted, {delivered} delivered, {notifications} notifications, {repeated_calls} repeated calls"
        );
        let conditions = super::results::Conditions {
            axis: "senders",
            at: size.real as f64,
            parameters: Default::default(),
        };
        for (quantity, value) in [
            ("handed", submitted),
            ("taken", accepted),
            ("delivered", delivered),
            ("called_again", repeated_calls),
            ("noticed", notifications),
        ] {
            results.add_point("sender.real", quantity, "count", &conditions, value as f64);
        }
        write(out, &results.records)?;
    }
    let name = "discovery away for 10 s, list on request";
    if is_selected(name) && Instant::now() < plan.deadline {
        measure_subscription_recovery(plan, results, name, 250)?;
        write(out, &results.records)?;
    }
    Ok(())
}

fn baseline_cost(before: &Reading, after: &Reading) -> BaselineCost {
    let span = before
        .at
        .zip(after.at)
        .map_or(1.0, |(from, to)| to.duration_since(from).as_secs_f64());
    let list = after.list - before.list;
    let mut baseline = BaselineCost {
        list_messages: list.messages() as f64 / span,
        list_bytes: list.bytes() as f64 / span,
        ..BaselineCost::default()
    };
    for (after, before) in after.coordinators.iter().zip(&before.coordinators) {
        let traffic = after.1 - before.1;
        baseline.coordinator_messages += traffic.messages() as f64 / span;
        baseline.coordinator_bytes += traffic.bytes() as f64 / span;
        baseline.coordinator_cpu += (after.0 - before.0).cpu_s / span;
    }
    baseline
}

fn zone_killed(scenario: &mut Scenario) -> Result<(), Error> {
    let killed_senders: Vec<u64> = (0..scenario.size.senders)
        .filter(|number| number % ZONES == 0)
        .collect();
    let owners = killed_senders
        .iter()
        .filter(|number| **number < scenario.size.sessions)
        .count() as u64;
    scenario.harness.fleet.kill_senders(&killed_senders)?;
    scenario.publish_marked()?;
    scenario.wait_until_informed(scenario.size.senders - killed_senders.len() as u64)?;
    // the time until the leases of the killed senders expire is counted from here, not from the kill
    let started = Instant::now();
    let remaining = scenario.size.sessions - owners;
    let group = scenario.group()?;
    let simulated_sessions = |state: &milletturn_coordination_protocol::messages::StateView| {
        state
            .sessions
            .values()
            .filter(|session| session.member.name.starts_with("hollow-"))
            .count() as u64
    };
    let real = group
        .read_state()
        .map_or(0, |state| simulated_sessions(&state))
        .saturating_sub(scenario.size.sessions);
    super::process::wait_until("the leases of the killed senders have expired", || {
        sleep(10 * POLL_INTERVAL);
        Ok(group
            .read_state()
            .is_some_and(|state| simulated_sessions(&state) <= remaining + real))
    })?;
    scenario.add_note(format!(
        "{owners} leases had run out after {:.1} s",
        started.elapsed().as_secs_f64()
    ));
    scenario.collect_counters(scenario.size.senders - killed_senders.len() as u64)?;
    scenario.harness.fleet.start_senders(&killed_senders)?;
    scenario.wait_until_healthy()
}

fn restarts(scenario: &mut Scenario) -> Result<(), Error> {
    let count = RESTARTS.min(scenario.size.senders);
    let started = Instant::now();
    let mut next = 0;
    while next < count {
        // restart senders one by one if the machine keeps up, otherwise all that are due by now together
        let due = ((started.elapsed().as_secs_f64() * RESTARTS_PER_S) as u64 + 1).min(count);
        let numbers: Vec<u64> = (next..due).collect();
        if numbers.is_empty() {
            sleep(POLL_INTERVAL);
            continue;
        }
        scenario.harness.fleet.stop_senders(&numbers)?;
        scenario.harness.fleet.start_senders(&numbers)?;
        if numbers.contains(&(count / 2)) {
            scenario.publish_marked()?;
        }
        scenario.publish_and_sample()?;
        next = due;
    }
    scenario.add_note(format!(
        "{count} restarts in {:.1} s, each leaves its session first",
        started.elapsed().as_secs_f64()
    ));
    scenario.wait_until_healthy()
}

fn release(scenario: &mut Scenario) -> Result<(), Error> {
    let all: Vec<u64> = (0..scenario.size.senders).collect();
    let started = Instant::now();
    for (wave, numbers) in all.chunks(all.len().div_ceil(WAVES as usize)).enumerate() {
        let due = started + Duration::from_secs(wave as u64);
        sleep(due.saturating_duration_since(Instant::now()));
        scenario.harness.fleet.stop_senders(numbers)?;
        scenario.harness.fleet.start_senders(numbers)?;
        if wave as u64 == WAVES / 2 {
            scenario.publish_marked()?;
        }
        scenario.publish_and_sample()?;
    }
    scenario.add_note(format!(
        "all restarted in {:.1} s, in {WAVES} parts",
        started.elapsed().as_secs_f64()
    ));
    scenario.wait_until_healthy()
}

fn leader_killed(scenario: &mut Scenario) -> Result<(), Error> {
    let leader = scenario.wait_for_leader()?;
    scenario.group_mut()?.kill(leader);
    let started = Instant::now();
    scenario.publish_marked()?;
    let next = scenario.wait_for_leader()?;
    scenario.add_note(format!(
        "steward {} led {:.2} s later",
        next + 1,
        started.elapsed().as_secs_f64()
    ));
    scenario.wait_until_healthy()?;
    // long enough for every session to renew under the new leader; sessions renew four times in a lease of 9 s
    scenario.run_for(Duration::from_secs(4))?;
    scenario.group_mut()?.start_one(leader)
}

fn all_killed(scenario: &mut Scenario) -> Result<(), Error> {
    let indices = scenario.group()?.indices();
    scenario.set_all_link_states(LinkState::Resetting);
    indices
        .clone()
        .for_each(|index| drop(scenario.group_mut().map(|group| group.kill(index))));
    sleep(OUTAGE);
    // publish changes while no sender is connected
    for _ in 0..3 {
        scenario.harness.discovery.publish();
    }
    indices
        .clone()
        .try_for_each(|index| scenario.group_mut()?.start_one(index))?;
    let started = Instant::now();
    scenario.set_all_link_states(LinkState::Open);
    scenario.publish_marked()?;
    scenario.wait_until_healthy()?;
    let recovered_after_s = started.elapsed().as_secs_f64();
    scenario.add_note(format!(
        "away for {} s; all lists and sessions are back {recovered_after_s:.1} s later",
        OUTAGE.as_secs()
    ));
    Ok(())
}

fn region_cut(scenario: &mut Scenario) -> Result<(), Error> {
    let started = Instant::now();
    scenario
        .harness
        .discovery
        .set_link_state(0, LinkState::Partitioned);
    scenario.group()?.set_link_state(0, LinkState::Partitioned);
    for step in 0..MISSED_CHANGE_STEPS {
        let due = started + OUTAGE.mul_f64(step as f64 / MISSED_CHANGE_STEPS as f64);
        sleep(due.saturating_duration_since(Instant::now()));
        for _ in 0..MISSED_CHANGES / MISSED_CHANGE_STEPS {
            scenario.harness.discovery.publish();
        }
    }
    let version = scenario.harness.discovery.version();
    scenario.set_mark(Mark {
        version,
        from: now().0,
    })?;
    scenario
        .harness
        .discovery
        .set_link_state(0, LinkState::Open);
    scenario.group()?.set_link_state(0, LinkState::Open);
    scenario.wait_until_healthy()?;
    scenario.add_note(format!(
        "the hour is scripted: {MISSED_CHANGES} changes within {} s; times are those of the region",
        OUTAGE.as_secs()
    ));
    Ok(())
}

fn leader_stalled(scenario: &mut Scenario) -> Result<(), Error> {
    let leader = scenario.wait_for_leader()?;
    scenario.group()?.process(leader)?.signal(Signal::STOP)?;
    scenario.publish_marked()?;
    scenario.run_for(OUTAGE)?;
    scenario.group()?.process(leader)?.signal(Signal::CONT)?;
    scenario.run_for(Duration::from_secs(4))?;
    scenario.add_note(format!("SIGSTOP for {} s", OUTAGE.as_secs()));
    scenario.wait_until_healthy()
}

fn rolling_restart(scenario: &mut Scenario) -> Result<(), Error> {
    for index in scenario.group()?.indices() {
        scenario.group_mut()?.kill(index);
        if index == 0 {
            scenario.publish_marked()?;
        }
        scenario.run_for(Duration::from_secs(1))?;
        scenario.group_mut()?.start_one(index)?;
        scenario.wait_for_leader()?;
        scenario.run_for(Duration::from_secs(2))?;
    }
    scenario.add_note(
        "each steward killed and started again on its disk; an empty disk has no way in"
            .to_string(),
    );
    scenario.wait_until_healthy()
}

/// Measures how long senders that subscribe to the list take to receive a change after 10 s without discovery.
fn measure_subscription_recovery(
    plan: &Plan,
    results: &mut Results,
    name: &str,
    senders: u64,
) -> Result<(), Error> {
    let list_layout = ListLayout {
        destinations: 1_000,
        entries_per_line: 1_000,
    };
    let options = HarnessOptions {
        on_request: true,
        list_layout,
        ..plan.options(senders, 0, None)
    };
    let mut harness = Harness::start(&plan.programs, options)?;
    harness.start_senders(0..senders)?;
    let (before, after, _) = harness.measure_span(Duration::from_secs(5), CHANGES_PER_S)?;
    harness.wait_until_ready(senders, 0)?;
    harness.fleet.take_report(&harness.discovery)?;
    let mut scenario = Scenario::new(
        harness,
        FleetSize {
            senders,
            sessions: 0,
            real: 0,
            senders_per_process: senders,
        },
        baseline_cost(&before, &after),
    );
    scenario.begin_fault(name)?;
    scenario.set_all_link_states(LinkState::Resetting);
    sleep(Duration::from_secs(10));
    scenario.set_all_link_states(LinkState::Open);
    scenario.publish_marked()?;
    let known = scenario.count_informed_within(senders, Duration::from_secs(90))?;
    scenario.add_note(format!(
        "{known} of {senders} knew it within 90 s; retry delays grow by 80 ms for each sender (discovery_backoff.rs)"
    ));
    let result = scenario.end_fault()?;
    eprintln!("{}", serde_json::to_string(&result).unwrap_or_default());
    results.records.push(Record::Fault(result));
    Ok(())
}
