//! Fault scenarios with a whole fleet: how long a change published during a fault takes to reach all senders.

use super::discovery::Form;
use super::process::LOOK;
use super::real::Reals;
use super::relay::Way;
use super::rig::{Parts, Reading, Rig};
use super::sheet::Sheet;
use super::slopes::{Plan, RATE, stewards};
use super::stage::{Mean, Stage};
use super::tally::Mark;
use crate::Error;
use crate::figures::{Line, write};
use milletturn_coordination_protocol::clock::now;
use rustix::process::Signal;
use std::path::Path;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Numbers of senders in a fault scenario.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    /// Simulated senders.
    pub senders: u64,
    /// Simulated senders that open sessions.
    pub sessions: u64,
    /// Real senders, which deliver messages.
    pub real: u64,
    /// Simulated senders in one process.
    pub each: u64,
}

/// One sender in this many belongs to the zone that fails, 3.2% of all senders.
const ZONE: u64 = 31;
/// Number of senders that restart one after the other.
const RESTARTS: u64 = 1_000;
/// Restarts per second: 100 times the rate at which each of 16,000 senders restarts every eight hours.
const RESTART_RATE: f64 = 100.0 * 16_000.0 / (8.0 * 3_600.0);
/// Number of waves in which a release restarts all senders, one wave a second.
const WAVES: u64 = 20;
/// How long an outage lasts; longer than the lease of 9 s.
const AWAY: Duration = Duration::from_secs(12);
/// Changes that a region cut off for an hour misses, at 48,000 changes a day.
const MISSED: u64 = 2_000;
/// Number of steps in which the missed changes are published, spread over `AWAY` instead of an hour.
const STEPS: u64 = 40;

type Fault = fn(&mut Stage) -> Result<(), Error>;

const FAULTS: [(&str, Fault); 8] = [
    ("zone killed (3.2%)", zone_killed),
    ("1,000 restarts in a row at 100 times the rate", restarts),
    ("release of all", release),
    ("leading steward killed", leader_killed),
    ("all control killed and brought back", all_killed),
    (
        "region cut off for an hour, 2,000 changes missed",
        region_cut,
    ),
    ("leading steward stalled and woken", stalled),
    ("rolling restart of all stewards", rolling),
];

/// Runs the fault scenarios one after the other against one fleet, and writes each result as it is known.
///
/// # Errors
/// A process does not start or ends early.
pub fn run(
    plan: &Plan,
    sheet: &mut Sheet,
    size: Size,
    only: &[String],
    out: &Path,
) -> Result<(), Error> {
    let chosen =
        |name: &str| only.is_empty() || only.iter().any(|word| name.contains(word.as_str()));
    if FAULTS.iter().any(|(name, _)| chosen(name)) {
        let parts = plan.parts(size.senders, size.sessions, Some(stewards(3, 9)));
        let mut rig = Rig::start(
            &plan.programs,
            Parts {
                each: size.each,
                ..parts
            },
        )?;
        rig.begin(0..size.senders)?;
        let group = rig
            .stewards
            .as_ref()
            .ok_or_else(|| Error::Wrong("no stewards".into()))?;
        let (discovery, addresses) = (rig.discovery.addresses[0], group.addresses(0));
        let numbers = size.senders..size.senders + size.real;
        // with every session slot taken by simulated senders, real senders run without sessions
        let room = milletturn_coordination::bounds::MAX_SESSIONS as u64 - size.sessions.min(1024)
            >= size.real;
        let addresses = if room { addresses } else { Vec::new() };
        let reals = Reals::start(
            &plan.programs.sender,
            &rig.config,
            numbers,
            discovery,
            &addresses,
        )?;
        let clients = reals.hand_in(
            rig.ways.handle(),
            Duration::from_millis(50),
            super::slopes::DESTINATIONS,
        );
        rig.herd.watch(50)?;
        let (before, after, _) = rig.span(Duration::from_secs(9), RATE)?;
        rig.until_all(size.senders, size.sessions)?;
        rig.herd.report(&rig.discovery)?;
        let mut stage = Stage::new(rig, size, mean(&before, &after));
        for (name, fault) in FAULTS.into_iter().filter(|(name, _)| chosen(name)) {
            if Instant::now() > plan.until {
                eprintln!("time is up: left out: {name}");
                continue;
            }
            eprintln!("{name} ...");
            stage.begin(name)?;
            fault(&mut stage)?;
            let line = stage.end()?;
            eprintln!("{}", serde_json::to_string(&line).unwrap_or_default());
            sheet.lines.push(Line::Fault(line));
            write(out, &sheet.lines)?;
        }
        clients.iter().for_each(tokio::task::AbortHandle::abort);
        // a message expires after 20 s, and its notification may have to wait for discovery
        sleep(Duration::from_secs(22));
        let noticed = stage.rig.discovery.notices();
        let ((handed, taken), (seen, again)) = (reals.handed(), stage.rig.endpoint.seen());
        eprintln!(
            "real senders: {handed} handed in, {taken} taken on, {seen} delivered, {noticed} notices, {again} calls beyond"
        );
        let place = super::sheet::Place {
            axis: "senders",
            at: size.real as f64,
            other: Default::default(),
        };
        for (quantity, value) in [
            ("handed", handed),
            ("taken", taken),
            ("delivered", seen),
            ("called_again", again),
            ("noticed", noticed),
        ] {
            sheet.point("sender.real", quantity, "count", &place, value as f64);
        }
        write(out, &sheet.lines)?;
    }
    let name = "discovery away for 10 s, list on request";
    if chosen(name) && Instant::now() < plan.until {
        on_request(plan, sheet, name, 250)?;
        write(out, &sheet.lines)?;
    }
    Ok(())
}

fn mean(before: &Reading, after: &Reading) -> Mean {
    let span = before
        .at
        .zip(after.at)
        .map_or(1.0, |(from, to)| to.duration_since(from).as_secs_f64());
    let list = after.list - before.list;
    let mut mean = Mean {
        list_messages: list.messages() as f64 / span,
        list_bytes: list.bytes() as f64 / span,
        ..Mean::default()
    };
    for (after, before) in after.stewards.iter().zip(&before.stewards) {
        let passed = after.1 - before.1;
        mean.steward_messages += passed.messages() as f64 / span;
        mean.steward_bytes += passed.bytes() as f64 / span;
        mean.steward_cpu += (after.0 - before.0).cpu_s / span;
    }
    mean
}

fn zone_killed(stage: &mut Stage) -> Result<(), Error> {
    let victims: Vec<u64> = (0..stage.size.senders)
        .filter(|number| number % ZONE == 0)
        .collect();
    let owners = victims
        .iter()
        .filter(|number| **number < stage.size.sessions)
        .count() as u64;
    stage.rig.herd.kill(&victims)?;
    stage.publish_marked()?;
    stage.until_known(stage.size.senders - victims.len() as u64)?;
    // the leases of the killed senders expire while the others receive the change
    let begun = Instant::now();
    let left = stage.size.sessions - owners;
    let group = stage.group()?;
    let hollow = |look: &milletturn_coordination_protocol::messages::StateView| {
        look.sessions
            .values()
            .filter(|session| session.member.name.starts_with("hollow-"))
            .count() as u64
    };
    let real = group
        .look()
        .map_or(0, |look| hollow(&look))
        .saturating_sub(stage.size.sessions);
    super::process::until("the leases of the killed have run out", || {
        sleep(10 * LOOK);
        Ok(group
            .look()
            .is_some_and(|look| hollow(&look) <= left + real))
    })?;
    stage.note(format!(
        "{owners} leases had run out after {:.1} s",
        begun.elapsed().as_secs_f64()
    ));
    stage.collect(stage.size.senders - victims.len() as u64)?;
    stage.rig.herd.begin(&victims)?;
    stage.until_well()
}

fn restarts(stage: &mut Stage) -> Result<(), Error> {
    let count = RESTARTS.min(stage.size.senders);
    let begun = Instant::now();
    let mut next = 0;
    while next < count {
        // restart senders one by one if the machine keeps up, otherwise all that are due by now together
        let due = ((begun.elapsed().as_secs_f64() * RESTART_RATE) as u64 + 1).min(count);
        let numbers: Vec<u64> = (next..due).collect();
        if numbers.is_empty() {
            sleep(LOOK);
            continue;
        }
        stage.rig.herd.leave(&numbers)?;
        stage.rig.herd.begin(&numbers)?;
        if numbers.contains(&(count / 2)) {
            stage.publish_marked()?;
        }
        stage.look()?;
        next = due;
    }
    stage.note(format!(
        "{count} restarts in {:.1} s, each leaves its session first",
        begun.elapsed().as_secs_f64()
    ));
    stage.until_well()
}

fn release(stage: &mut Stage) -> Result<(), Error> {
    let all: Vec<u64> = (0..stage.size.senders).collect();
    let begun = Instant::now();
    for (wave, numbers) in all.chunks(all.len().div_ceil(WAVES as usize)).enumerate() {
        let due = begun + Duration::from_secs(wave as u64);
        sleep(due.saturating_duration_since(Instant::now()));
        stage.rig.herd.leave(numbers)?;
        stage.rig.herd.begin(numbers)?;
        if wave as u64 == WAVES / 2 {
            stage.publish_marked()?;
        }
        stage.look()?;
    }
    stage.note(format!(
        "all restarted in {:.1} s, in {WAVES} parts",
        begun.elapsed().as_secs_f64()
    ));
    stage.until_well()
}

fn leader_killed(stage: &mut Stage) -> Result<(), Error> {
    let leader = stage.until_led()?;
    stage.group_mut()?.kill(leader);
    let begun = Instant::now();
    stage.publish_marked()?;
    let next = stage.until_led()?;
    stage.note(format!(
        "steward {} led {:.2} s later",
        next + 1,
        begun.elapsed().as_secs_f64()
    ));
    stage.until_well()?;
    // let all senders renew once under the new leader; a lease lasts 9 s
    stage.pass(Duration::from_secs(4))?;
    stage.group_mut()?.start_one(leader)
}

fn all_killed(stage: &mut Stage) -> Result<(), Error> {
    let places = stage.group()?.places();
    stage.all_regions(Way::Down);
    places
        .clone()
        .for_each(|place| drop(stage.group_mut().map(|group| group.kill(place))));
    sleep(AWAY);
    // publish changes while no sender is connected
    for _ in 0..3 {
        stage.rig.discovery.publish();
    }
    places
        .clone()
        .try_for_each(|place| stage.group_mut()?.start_one(place))?;
    let begun = Instant::now();
    stage.all_regions(Way::Pass);
    stage.publish_marked()?;
    stage.until_well()?;
    let well = begun.elapsed().as_secs_f64();
    stage.note(format!(
        "away for {} s; all lists and sessions are back {well:.1} s later",
        AWAY.as_secs()
    ));
    Ok(())
}

fn region_cut(stage: &mut Stage) -> Result<(), Error> {
    let begun = Instant::now();
    stage.rig.discovery.set(0, Way::Silent);
    stage.group()?.set(0, Way::Silent);
    for step in 0..STEPS {
        let due = begun + AWAY.mul_f64(step as f64 / STEPS as f64);
        sleep(due.saturating_duration_since(Instant::now()));
        for _ in 0..MISSED / STEPS {
            stage.rig.discovery.publish();
        }
    }
    let version = stage.rig.discovery.version();
    stage.mark(Mark {
        version,
        from: now().0,
    })?;
    stage.rig.discovery.set(0, Way::Pass);
    stage.group()?.set(0, Way::Pass);
    stage.until_well()?;
    stage.note(format!(
        "the hour is scripted: {MISSED} changes within {} s; times are those of the region",
        AWAY.as_secs()
    ));
    Ok(())
}

fn stalled(stage: &mut Stage) -> Result<(), Error> {
    let leader = stage.until_led()?;
    stage.group()?.process(leader)?.signal(Signal::STOP)?;
    stage.publish_marked()?;
    stage.pass(AWAY)?;
    stage.group()?.process(leader)?.signal(Signal::CONT)?;
    stage.pass(Duration::from_secs(4))?;
    stage.note(format!("SIGSTOP for {} s", AWAY.as_secs()));
    stage.until_well()
}

fn rolling(stage: &mut Stage) -> Result<(), Error> {
    for place in stage.group()?.places() {
        stage.group_mut()?.kill(place);
        if place == 0 {
            stage.publish_marked()?;
        }
        stage.pass(Duration::from_secs(1))?;
        stage.group_mut()?.start_one(place)?;
        stage.until_led()?;
        stage.pass(Duration::from_secs(2))?;
    }
    stage.note(
        "each steward killed and started again on its disk; an empty disk has no way in"
            .to_string(),
    );
    stage.until_well()
}

/// Measures how long 10 s without discovery delay the list when each sender polls for it.
fn on_request(plan: &Plan, sheet: &mut Sheet, name: &str, senders: u64) -> Result<(), Error> {
    let form = Form {
        destinations: 1_000,
        piece: 1_000,
    };
    let parts = Parts {
        on_request: true,
        form,
        ..plan.parts(senders, 0, None)
    };
    let mut rig = Rig::start(&plan.programs, parts)?;
    rig.begin(0..senders)?;
    let (before, after, _) = rig.span(Duration::from_secs(5), RATE)?;
    rig.until_all(senders, 0)?;
    rig.herd.report(&rig.discovery)?;
    let mut stage = Stage::new(
        rig,
        Size {
            senders,
            sessions: 0,
            real: 0,
            each: senders,
        },
        mean(&before, &after),
    );
    stage.begin(name)?;
    stage.all_regions(Way::Down);
    sleep(Duration::from_secs(10));
    stage.all_regions(Way::Pass);
    stage.publish_marked()?;
    let known = stage.until_known_within(senders, Duration::from_secs(90))?;
    stage.note(format!(
        "{known} of {senders} knew it within 90 s; rests grow by 80 ms for each sender (asking.rs)"
    ));
    let line = stage.end()?;
    eprintln!("{}", serde_json::to_string(&line).unwrap_or_default());
    sheet.lines.push(Line::Fault(line));
    Ok(())
}
