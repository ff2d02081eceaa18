//! Fault scenarios for sessions that go through session proxies, at the largest size that opened. The endpoint list is
//! not tested here.

use super::relayed::sessions;
use super::rig::Rig;
use super::sheet::Sheet;
use crate::Error;
use crate::figures::{Fault, Line};
use std::collections::BTreeMap;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// One sender in this many belongs to the zone that fails, 3.2% of all senders.
const ZONE: u64 = 31;
/// How long the outage lasts; longer than the lease of 9 s, so that no sender may still rely on its session.
const AWAY: Duration = Duration::from_secs(12);
/// Number of waves in which a release restarts all senders, one wave a second.
const WAVES: u64 = 20;
/// Pause between two polls of the fleet.
const LOOK: Duration = Duration::from_millis(250);
/// Longest wait for the fleet to recover.
const WHOLE: Duration = Duration::from_secs(90);

type Run = fn(&mut Rig, u64) -> Result<String, Error>;

const FAULTS: [(&str, Run); 3] = [
    ("zone killed (3.2%), sessions behind relays", zone),
    (
        "all stewards and relays killed and brought back, sessions behind relays",
        control,
    ),
    ("release of all, sessions behind relays", release),
];

/// Runs all scenarios one after the other.
///
/// # Errors
/// A process does not start or ends early.
pub fn run(sheet: &mut Sheet, rig: &mut Rig, senders: u64, until: Instant) -> Result<(), Error> {
    for (name, fault) in FAULTS {
        if Instant::now() > until {
            eprintln!("time is up: left out: {name}");
            continue;
        }
        rig.herd.report(&rig.discovery)?;
        let before = written(rig);
        let told = fault(rig, senders)?;
        let holding = rig.herd.holding()?;
        let report = rig.herd.report(&rig.discovery)?;
        let entries = written(rig).saturating_sub(before);
        let note = format!(
            "lost: sessions that ended without their senders' wish. {told}; at the end {holding} hold a session that \
             they may believe; {} opened, refusals {:?}; {entries} entries of the log. No change is published: the \
             list does not go through relays",
            report.joined, report.refusals
        );
        eprintln!("{name}: {note}");
        sheet.lines.push(Line::Fault(Fault {
            name: name.to_string(),
            senders,
            p50_s: 0.0,
            p99_s: 0.0,
            worst_s: 0.0,
            peak_over_mean: BTreeMap::new(),
            lost: report.left,
            doubled: 0,
            wrong_order: 0,
            note,
        }));
    }
    Ok(())
}

/// Number of log entries that the leader has applied.
fn written(rig: &Rig) -> u64 {
    rig.stewards
        .as_ref()
        .and_then(super::stewards::Group::applied)
        .unwrap_or(0)
}

/// Waits until the condition holds; returns a text with the time taken, or that it did not hold in time.
fn until(mut so: impl FnMut() -> Result<bool, Error>) -> Result<String, Error> {
    let begun = Instant::now();
    while begun.elapsed() < WHOLE {
        if so()? {
            return Ok(format!("after {:.1} s", begun.elapsed().as_secs_f64()));
        }
        sleep(LOOK);
    }
    Ok(format!("not within {} s", WHOLE.as_secs()))
}

fn all_hold(rig: &mut Rig, senders: u64) -> Result<String, Error> {
    until(|| Ok(rig.herd.holding()? >= senders && sessions(rig) >= senders))
}

fn zone(rig: &mut Rig, senders: u64) -> Result<String, Error> {
    let victims: Vec<u64> = (0..senders).filter(|number| number % ZONE == 0).collect();
    let left = senders - victims.len() as u64;
    rig.herd.kill(&victims)?;
    let over = until(|| Ok(sessions(rig) <= left))?;
    let others = rig.herd.holding()?;
    rig.herd.begin(&victims)?;
    let back = all_hold(rig, senders)?;
    let count = victims.len();
    Ok(format!(
        "the leases of {count} had run out {over}, {others} others held theirs; begun again, all hold {back}"
    ))
}

fn control(rig: &mut Rig, senders: u64) -> Result<String, Error> {
    let places = rig
        .stewards
        .as_ref()
        .map(super::stewards::Group::places)
        .unwrap_or(0..0);
    let relays: Vec<usize> = rig
        .relays
        .iter()
        .flat_map(super::relays::Relays::running)
        .collect();
    let (Some(stewards), Some(between)) = (&mut rig.stewards, &mut rig.relays) else {
        return Err(Error::Wrong("no control".into()));
    };
    places.clone().for_each(|place| stewards.kill(place));
    relays.iter().for_each(|&number| between.kill(number));
    sleep(AWAY);
    let believed = rig.herd.holding()?;
    let begun = Instant::now();
    let (Some(stewards), Some(between)) = (&mut rig.stewards, &mut rig.relays) else {
        return Err(Error::Wrong("no control".into()));
    };
    places
        .clone()
        .try_for_each(|place| stewards.start_one(place))?;
    relays
        .iter()
        .try_for_each(|&number| between.start_again(number))?;
    stewards.until_led()?;
    let led = begun.elapsed().as_secs_f64();
    let back = all_hold(rig, senders)?;
    let away = AWAY.as_secs();
    Ok(format!(
        "away for {away} s, {believed} believed in a session then; a steward led {led:.1} s after the start of all, \
         and all hold {back} behind that"
    ))
}

fn release(rig: &mut Rig, senders: u64) -> Result<String, Error> {
    let all: Vec<u64> = (0..senders).collect();
    let begun = Instant::now();
    for (wave, numbers) in (0..).zip(all.chunks(all.len().div_ceil(WAVES as usize).max(1))) {
        let due = begun + Duration::from_secs(wave);
        sleep(due.saturating_duration_since(Instant::now()));
        rig.herd.leave(numbers)?;
        rig.herd.begin(numbers)?;
    }
    let took = begun.elapsed().as_secs_f64();
    let back = all_hold(rig, senders)?;
    Ok(format!(
        "all left and began again in {took:.1} s, in {WAVES} parts; all hold {back} behind the last"
    ))
}
