//! Measures what coordination and the endpoint list cost by the number of senders, the rate of changes and the number
//! of destinations.

use super::discovery::Form;
use super::herd::EACH;
use super::rig::{Parts, Programs, Rig};
use super::sheet::{Other, Place, Sheet, other};
use super::stewards::Setup;
use crate::Error;
use serde_json::json;
use std::time::{Duration, Instant};

/// Usual rate of configuration changes per second, 48,000 a day.
pub const RATE: f64 = 48_000.0 / 86_400.0;
/// Number of sender groups whose network can be cut off separately.
const REGIONS: usize = 5;
/// Entries in one line of the first list, which keeps the line far below the 1 MiB that a sender reads.
const PIECE: u64 = 4_000;
/// Number of destinations where something else is varied.
pub const DESTINATIONS: u64 = 1_000;
/// Pause after senders start, before a measurement begins.
const SETTLE: Duration = Duration::from_millis(2_500);

/// Sizes and limits of a run.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Paths of the programs.
    pub programs: Programs,
    /// Numbers of senders with a session to measure.
    pub sessions: Vec<u64>,
    /// Numbers of senders that watch the list to measure.
    pub senders: Vec<u64>,
    /// Rates of changes to measure, as multiples of [`RATE`].
    pub rates: Vec<f64>,
    /// Numbers of destinations to measure.
    pub destinations: Vec<u64>,
    /// Length of one measurement.
    pub span: Duration,
    /// No measurement starts after this moment; the ones left out are printed.
    pub until: Instant,
    /// Seed of all random numbers.
    pub seed: u64,
}

/// Configuration of a coordinator group with the default heartbeat for its lease.
#[must_use]
pub fn stewards(count: usize, lease_s: u64) -> Setup {
    // the lease must be at least 15 times the heartbeat
    Setup {
        count,
        lease_s,
        heartbeat_ms: if lease_s < 3 { 60 } else { 200 },
        regions: REGIONS,
    }
}

/// Kind of fleet without sessions whose list does not change.
pub const LIST_STILL: &str = "list alone, no change";
/// Kind of fleet without sessions whose list changes at ten times the usual rate.
pub const LIST_BUSY: &str = "list alone, 10 times the changes";

/// Parameters recorded with measurements of this group; a group other than the usual one also gets a `kind`.
#[must_use]
pub fn set_of(setup: Setup) -> Other {
    let mut set = other([
        ("lease_s", json!(setup.lease_s)),
        ("stewards", json!(setup.count)),
    ]);
    let usual = stewards(3, 9);
    if (setup.count, setup.lease_s) != (usual.count, usual.lease_s) {
        let kind = format!("{} stewards, lease {} s", setup.count, setup.lease_s);
        set.insert("kind".to_string(), json!(kind));
    }
    set
}

impl Plan {
    /// Configuration of a harness with the given number of senders and the usual list.
    #[must_use]
    pub fn parts(&self, senders: u64, sessions: u64, stewards: Option<Setup>) -> Parts {
        Parts {
            senders,
            each: EACH,
            sessions,
            stewards,
            relays: 0,
            works: true,
            regions: REGIONS,
            form: Form {
                destinations: DESTINATIONS,
                piece: PIECE,
            },
            on_request: false,
            engines: false,
            seed: self.seed,
        }
    }

    /// Returns whether the time for new measurements is over; if so, prints what is left out.
    fn is_over(&self, what: &str) -> bool {
        let over = Instant::now() > self.until;
        if over {
            eprintln!("time is up: left out: {what}");
        }
        over
    }

    /// Measures each number of sessions with this group of coordinators.
    ///
    /// # Errors
    /// A process does not start or ends early.
    pub fn by_sessions(&self, sheet: &mut Sheet, setup: Setup) -> Result<(), Error> {
        let Some(&most) = self.sessions.iter().max() else {
            return Ok(());
        };
        if self.is_over(&format!("sessions with {setup:?}")) {
            return Ok(());
        }
        let mut rig = Rig::start(&self.programs, self.parts(most, most, Some(setup)))?;
        let set = set_of(setup);
        let mut begun = 0;
        for &senders in [&0].into_iter().chain(&self.sessions) {
            if senders > begun {
                if let Err(error) = rig.begin(begun..senders) {
                    // that the senders never got their sessions is a result too
                    let (know, may) = rig.herd.ask(rig.discovery.version())?;
                    let report = rig.herd.report(&rig.discovery)?;
                    eprintln!(
                        "{senders} sessions, {setup:?}: {error}; refused {:?}",
                        report.refusals
                    );
                    let place = Place {
                        axis: "senders",
                        at: senders as f64,
                        other: set,
                    };
                    for (quantity, value) in [
                        ("never_well_know", know),
                        ("never_well_may_act", may),
                        ("never_well_joined", report.joined),
                        ("never_well_left", report.left),
                        ("never_well_refused", report.refused),
                    ] {
                        sheet.point("fleet", quantity, "count", &place, value as f64);
                    }
                    return Ok(());
                }
                begun = senders;
            }
            std::thread::sleep(SETTLE);
            let leader = rig
                .stewards
                .as_ref()
                .and_then(super::stewards::Group::leader);
            let (before, after, _) = rig.span(self.span, RATE)?;
            let place = Place {
                axis: "senders",
                at: senders as f64,
                other: set.clone(),
            };
            sheet.span(&place, &before, &after, senders, senders, leader);
            eprintln!(
                "sessions {senders}, {setup:?}: leader {:.3} core",
                cpu_of(sheet, senders, &set)
            );
        }
        let report = rig.herd.report(&rig.discovery)?;
        let place = Place {
            axis: "senders",
            at: most as f64,
            other: set,
        };
        for (quantity, value) in [
            ("joined", report.joined),
            ("left", report.left),
            ("refused", report.refused),
            ("lost", report.lost),
        ] {
            sheet.point("fleet", quantity, "count", &place, value as f64);
        }
        Ok(())
    }

    /// Measures a fleet that wants more sessions than the coordination state holds.
    ///
    /// # Errors
    /// A process does not start or ends early.
    pub fn beyond(&self, sheet: &mut Sheet, senders: u64) -> Result<(), Error> {
        if self.is_over("more sessions than the book takes") {
            return Ok(());
        }
        let setup = stewards(3, 9);
        let mut rig = Rig::start(&self.programs, self.parts(senders, senders, Some(setup)))?;
        let all: Vec<u64> = (0..senders).collect();
        rig.herd.begin(&all)?;
        std::thread::sleep(self.span);
        let leader = rig
            .stewards
            .as_ref()
            .and_then(super::stewards::Group::leader);
        let (before, after, _) = rig.span(self.span, RATE)?;
        let set = other([
            ("lease_s", json!(9)),
            ("stewards", json!(3)),
            ("beyond_the_bound", json!(true)),
        ]);
        let place = Place {
            axis: "wanted sessions",
            at: senders as f64,
            other: set,
        };
        let (_, may) = rig.herd.ask(0)?;
        sheet.span(&place, &before, &after, senders, may, leader);
        let report = rig.herd.report(&rig.discovery)?;
        for (quantity, value) in [
            ("joined", report.joined),
            ("left", report.left),
            ("refused", report.refused),
            ("may_act", may),
        ] {
            sheet.point("fleet", quantity, "count", &place, value as f64);
        }
        let turned = (rig.stewards.iter())
            .flat_map(|group| group.places().flat_map(|place| group.said(place)));
        let turned = turned.filter(|line| line.contains("turned away")).count();
        sheet.point(
            "fleet",
            "logged_turned_away",
            "count",
            &place,
            turned as f64,
        );
        eprintln!(
            "{senders} wanted sessions: {may} may act, refused {:?}",
            report.refusals
        );
        Ok(())
    }

    /// Measures the watch of the list by the number of senders, without sessions.
    ///
    /// # Errors
    /// A process does not start or ends early.
    pub fn by_senders(&self, sheet: &mut Sheet) -> Result<(), Error> {
        for &senders in &self.senders {
            if self.is_over(&format!("{senders} watches")) {
                continue;
            }
            // 16,000 first lists of 1,000 destinations would take 270 s of processor time, which is not what is
            // measured here
            let form = Form {
                destinations: DESTINATIONS / 10,
                piece: PIECE,
            };
            let mut rig = Rig::start(
                &self.programs,
                Parts {
                    form,
                    ..self.parts(senders, 0, None)
                },
            )?;
            rig.begin(0..senders)?;
            std::thread::sleep(SETTLE);
            rig.herd.report(&rig.discovery)?;
            for multiple in [0.0, 10.0] {
                let (before, after, published) = rig.span(self.span, multiple * RATE)?;
                let kind = if multiple > 0.0 {
                    LIST_BUSY
                } else {
                    LIST_STILL
                };
                let changes = published as f64 / self.span.as_secs_f64();
                let set = other([("kind", json!(kind)), ("changes_per_s", json!(changes))]);
                let place = Place {
                    axis: "senders",
                    at: senders as f64,
                    other: set,
                };
                sheet.span(&place, &before, &after, senders, 0, None);
                rig.until_all(senders, 0)?;
                let report = rig.herd.report(&rig.discovery)?;
                in_force(sheet, &place, &report, published);
            }
            eprintln!("{senders} watches done");
        }
        Ok(())
    }

    /// Measures the watch of the list by the rate of changes.
    ///
    /// # Errors
    /// A process does not start or ends early.
    pub fn by_rate(&self, sheet: &mut Sheet, senders: u64) -> Result<(), Error> {
        if self.rates.is_empty() || self.is_over("rates of changes") {
            return Ok(());
        }
        let mut rig = Rig::start(&self.programs, self.parts(senders, 0, None))?;
        rig.begin(0..senders)?;
        std::thread::sleep(SETTLE);
        rig.herd.report(&rig.discovery)?;
        for &multiple in &self.rates {
            // measure long enough for at least one change
            let span = self
                .span
                .max(Duration::from_secs_f64(1.0 / (multiple * RATE)));
            let (before, after, published) = rig.span(span, multiple * RATE)?;
            let place = Place {
                axis: "changes/s",
                at: published as f64 / span.as_secs_f64(),
                other: other([("senders", json!(senders)), ("rate", json!(multiple))]),
            };
            sheet.span(&place, &before, &after, senders, 0, None);
            rig.until_all(senders, 0)?;
            let report = rig.herd.report(&rig.discovery)?;
            in_force(sheet, &place, &report, published);
        }
        Ok(())
    }

    /// Measures a sender's first list by the number of destinations, both in pieces and in one line as the protocol
    /// page describes it.
    ///
    /// # Errors
    /// A process does not start or ends early.
    pub fn by_destinations(&self, sheet: &mut Sheet) -> Result<(), Error> {
        const SENDERS: u64 = 2;
        for &destinations in &self.destinations {
            for whole in [false, true] {
                if self.is_over(&format!(
                    "a list of {destinations} destinations, in one line: {whole}"
                )) {
                    continue;
                }
                let form = Form {
                    destinations,
                    piece: if whole { destinations } else { PIECE },
                };
                let mut rig = Rig::start(
                    &self.programs,
                    Parts {
                        form,
                        ..self.parts(SENDERS, 0, None)
                    },
                )?;
                let before = rig.read()?;
                let all: Vec<u64> = (0..SENDERS).collect();
                rig.herd.begin(&all)?;
                let set = other([("senders", json!(SENDERS)), ("one_line", json!(whole))]);
                let place = Place {
                    axis: "destinations",
                    at: destinations as f64,
                    other: set,
                };
                // a sender drops a line that is too long, so the number of senders that received the list is recorded
                let heard = if whole {
                    std::thread::sleep(
                        Duration::from_secs(3) + Duration::from_micros(destinations * 4),
                    );
                    rig.herd.ask(rig.discovery.version())?.0
                } else {
                    rig.until_all(SENDERS, 0)?;
                    SENDERS
                };
                let after = rig.read()?;
                let (cost, list) = (after.herd - before.herd, after.list - before.list);
                let report = rig.herd.report(&rig.discovery)?;
                for (quantity, unit, value) in [
                    ("list_heard", "count", heard as f64 / SENDERS as f64),
                    ("list_cpu", "core s", cost.cpu_s / SENDERS as f64),
                    (
                        "list_bytes",
                        "bytes",
                        list.bytes_told as f64 / SENDERS as f64,
                    ),
                    ("list_time", "s", worst(&report.begun)),
                    (
                        "watches",
                        "count",
                        rig.discovery.watches() as f64 / SENDERS as f64,
                    ),
                ] {
                    sheet.point("sender", quantity, unit, &place, value);
                }
                eprintln!(
                    "{destinations} destinations, in one line: {whole}: heard by {heard} of {SENDERS}"
                );
            }
        }
        Ok(())
    }

    /// Measures a reload of the settings by all senders of a process.
    ///
    /// # Errors
    /// A process does not start or ends early.
    pub fn reloads(&self, sheet: &mut Sheet, senders: u64) -> Result<(), Error> {
        if self.is_over("reloads") {
            return Ok(());
        }
        let mut rig = Rig::start(&self.programs, self.parts(senders, 0, None))?;
        rig.begin(0..senders)?;
        std::thread::sleep(SETTLE);
        let before = rig.read()?;
        rig.herd.reload()?;
        let cost = rig.read()?.herd - before.herd;
        let place = Place {
            axis: "senders",
            at: senders as f64,
            other: Other::new(),
        };
        sheet.point(
            "sender",
            "reload_cpu",
            "core s",
            &place,
            cost.cpu_s / senders as f64,
        );
        Ok(())
    }
}

fn cpu_of(sheet: &Sheet, sessions: u64, set: &Other) -> f64 {
    let points = sheet.points("steward.leader", "cpu", "senders", set);
    points
        .into_iter()
        .find(|point| point.0 == sessions as f64)
        .map_or(f64::NAN, |point| point.1)
}

/// Longest duration in seconds; not a number without any sample.
fn worst(times: &super::tally::Times) -> f64 {
    times
        .keys()
        .last()
        .map_or(f64::NAN, |micros| *micros as f64 / 1e6)
}

/// Records how long changes took until they were in force, and how many were lost, duplicated or reordered.
fn in_force(sheet: &mut Sheet, place: &Place<'_>, report: &super::tally::Report, published: u64) {
    let times = super::times::Spread::of(&report.in_force);
    for (quantity, unit, value) in [
        ("published", "count", published as f64),
        ("heard", "count", times.count as f64),
        ("lost", "count", report.lost as f64),
        ("doubled", "count", report.doubled as f64),
        ("wrong_order", "count", report.wrong_order as f64),
        ("in_force_p50", "s", times.p50_s),
        ("in_force_p99", "s", times.p99_s),
        ("in_force_worst", "s", times.worst_s),
    ] {
        if value.is_finite() {
            sheet.point("fleet", quantity, unit, place, value);
        }
    }
}
