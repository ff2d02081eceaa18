//! Fault scenarios for sessions that go through session proxies, at the largest size whose sessions all opened. The
//! endpoint list is not tested here.

use super::harness::Harness;
use super::proxied_sessions::open_session_count;
use super::results::Results;
use crate::Error;
use crate::figures::{Fault, Record};
use std::collections::BTreeMap;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Number of zones, one of which fails; the failing zone has 1/31 of all senders, or 3.2%.
const ZONES: u64 = 31;
/// How long the outage lasts; longer than the lease of 9 s, so that no sender may still rely on its session.
const OUTAGE: Duration = Duration::from_secs(12);
/// Number of waves in which a release restarts all senders, one wave a second.
const WAVES: u64 = 20;
/// Pause between two polls of the fleet.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Longest wait for the fleet to recover.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(90);

type FaultScenario = fn(&mut Harness, u64) -> Result<String, Error>;

const FAULTS: [(&str, FaultScenario); 3] = [
    ("zone killed (3.2%), sessions behind relays", kill_zone),
    (
        "all stewards and relays killed and brought back, sessions behind relays",
        restart_coordination,
    ),
    ("release of all, sessions behind relays", restart_all),
];

/// Runs all scenarios one after the other.
///
/// # Errors
/// A process does not start or ends early.
pub fn run(
    results: &mut Results,
    harness: &mut Harness,
    senders: u64,
    deadline: Instant,
) -> Result<(), Error> {
    for (name, fault) in FAULTS {
        if Instant::now() > deadline {
            eprintln!("time limit reached; skipping {name}");
            continue;
        }
        harness.fleet.take_report(&harness.discovery)?;
        let before = applied_entries(harness);
        let outcome = fault(harness, senders)?;
        let holding = harness.fleet.count_sessions_held()?;
        let report = harness.fleet.take_report(&harness.discovery)?;
        let new_entries = applied_entries(harness).saturating_sub(before);
        let note = format!(
            "lost: sessions that ended without their senders' wish. {outcome}; at the end {holding} hold a session that \
             they may believe; {} opened, refusals {:?}; {new_entries} entries of the log. No change is published: the \
             list does not go through relays",
            report.sessions_opened, report.rejections
        );
        eprintln!("{name}: {note}");
        results.records.push(Record::Fault(Fault {
            name: name.to_string(),
            senders,
            p50_s: 0.0,
            p99_s: 0.0,
            worst_s: 0.0,
            peak_over_mean: BTreeMap::new(),
            lost: report.sessions_lost,
            doubled: 0,
            wrong_order: 0,
            note,
        }));
    }
    Ok(())
}

/// Number of log entries that the leader has applied.
fn applied_entries(harness: &Harness) -> u64 {
    harness
        .coordinators
        .as_ref()
        .and_then(super::coordinators::CoordinatorGroup::applied_entries)
        .unwrap_or(0)
}

/// Waits until the condition holds; returns a text with the time taken, or one that says that the condition did not
/// hold within [`RECOVERY_TIMEOUT`].
fn wait_until(mut condition: impl FnMut() -> Result<bool, Error>) -> Result<String, Error> {
    let started = Instant::now();
    while started.elapsed() < RECOVERY_TIMEOUT {
        if condition()? {
            return Ok(format!("after {:.1} s", started.elapsed().as_secs_f64()));
        }
        sleep(POLL_INTERVAL);
    }
    Ok(format!("not within {} s", RECOVERY_TIMEOUT.as_secs()))
}

fn wait_until_all_hold_sessions(harness: &mut Harness, senders: u64) -> Result<String, Error> {
    wait_until(|| {
        Ok(harness.fleet.count_sessions_held()? >= senders
            && open_session_count(harness) >= senders)
    })
}

fn kill_zone(harness: &mut Harness, senders: u64) -> Result<String, Error> {
    let killed_senders: Vec<u64> = (0..senders).filter(|number| number % ZONES == 0).collect();
    let left = senders - killed_senders.len() as u64;
    harness.fleet.kill_senders(&killed_senders)?;
    let expired = wait_until(|| Ok(open_session_count(harness) <= left))?;
    let others_holding = harness.fleet.count_sessions_held()?;
    harness.fleet.start_senders(&killed_senders)?;
    let recovered = wait_until_all_hold_sessions(harness, senders)?;
    let count = killed_senders.len();
    Ok(format!(
        "the leases of {count} had run out {expired}, {others_holding} others held theirs; begun again, all hold {recovered}"
    ))
}

fn restart_coordination(harness: &mut Harness, senders: u64) -> Result<String, Error> {
    let indices = harness
        .coordinators
        .as_ref()
        .map(super::coordinators::CoordinatorGroup::indices)
        .unwrap_or(0..0);
    let running_proxies: Vec<usize> = harness
        .session_proxies
        .iter()
        .flat_map(super::session_proxies::SessionProxies::running)
        .collect();
    let (Some(coordinators), Some(session_proxies)) =
        (&mut harness.coordinators, &mut harness.session_proxies)
    else {
        return Err(Error::Unexpected(
            "the harness has no coordinators or no session proxies".into(),
        ));
    };
    indices.clone().for_each(|index| coordinators.kill(index));
    running_proxies
        .iter()
        .for_each(|&number| session_proxies.kill(number));
    sleep(OUTAGE);
    let still_holding = harness.fleet.count_sessions_held()?;
    let started = Instant::now();
    let (Some(coordinators), Some(session_proxies)) =
        (&mut harness.coordinators, &mut harness.session_proxies)
    else {
        return Err(Error::Unexpected(
            "the harness has no coordinators or no session proxies".into(),
        ));
    };
    indices
        .clone()
        .try_for_each(|index| coordinators.start_one(index))?;
    running_proxies
        .iter()
        .try_for_each(|&number| session_proxies.restart(number))?;
    coordinators.wait_for_leader()?;
    let leader_after_s = started.elapsed().as_secs_f64();
    let recovered = wait_until_all_hold_sessions(harness, senders)?;
    let outage_s = OUTAGE.as_secs();
    Ok(format!(
        "away for {outage_s} s, {still_holding} believed in a session then; a steward led {leader_after_s:.1} s after the start of all, \
         and all hold {recovered} behind that"
    ))
}

fn restart_all(harness: &mut Harness, senders: u64) -> Result<String, Error> {
    let all: Vec<u64> = (0..senders).collect();
    let started = Instant::now();
    for (wave, numbers) in (0..).zip(all.chunks(all.len().div_ceil(WAVES as usize).max(1))) {
        let due = started + Duration::from_secs(wave);
        sleep(due.saturating_duration_since(Instant::now()));
        harness.fleet.stop_senders(numbers)?;
        harness.fleet.start_senders(numbers)?;
    }
    let took = started.elapsed().as_secs_f64();
    let recovered = wait_until_all_hold_sessions(harness, senders)?;
    Ok(format!(
        "all left and began again in {took:.1} s, in {WAVES} parts; all hold {recovered} behind the last"
    ))
}
