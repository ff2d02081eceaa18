//! Measures how the cost of coordination and of the endpoint list grows with the number of senders, the rate of changes
//! and the number of destinations.

use super::coordinators::GroupConfig;
use super::discovery::ListLayout;
use super::harness::{Harness, HarnessOptions, Programs};
use super::results::{Conditions, Parameters, Results, parameters_from};
use super::simulated_fleet::SENDERS_PER_PROCESS;
use crate::Error;
use serde_json::json;
use std::time::{Duration, Instant};

/// Planned rate of configuration changes per second, 48,000 a day.
pub const CHANGES_PER_S: f64 = 48_000.0 / 86_400.0;
/// Number of sender groups whose network can be cut off separately.
const REGIONS: usize = 5;
/// Entries in one line of the first list. At about 150 bytes each they make a line of 600 KB, below the 1 MiB that a
/// sender accepts.
const ENTRIES_PER_LINE: u64 = 4_000;
/// Number of destinations in measurements that vary another quantity.
pub const DESTINATIONS: u64 = 1_000;
/// Pause after senders start, before a measurement begins.
const SETTLE_TIME: Duration = Duration::from_millis(2_500);

/// Sizes and limits of a run.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Paths of the programs.
    pub programs: Programs,
    /// Numbers of senders with a session; each is measured.
    pub sessions: Vec<u64>,
    /// Numbers of senders that watch the list; each is measured.
    pub senders: Vec<u64>,
    /// Rates of changes, as multiples of [`CHANGES_PER_S`]; each is measured.
    pub rates: Vec<f64>,
    /// Numbers of destinations in the list; each is measured.
    pub destinations: Vec<u64>,
    /// Length of one measurement.
    pub span: Duration,
    /// No measurement starts after this moment; the skipped ones are named on standard error.
    pub deadline: Instant,
    /// Seed of all random numbers.
    pub seed: u64,
}

/// Configuration of a coordinator group with five regions and a heartbeat of 200 ms, or 60 ms for a lease below 3 s.
#[must_use]
pub fn default_group(count: usize, lease_s: u64) -> GroupConfig {
    // the lease must be at least 15 times the heartbeat
    GroupConfig {
        count,
        lease_s,
        heartbeat_ms: if lease_s < 3 { 60 } else { 200 },
        regions: REGIONS,
    }
}

/// The `kind` recorded with measurements of a fleet without sessions whose list does not change.
pub const LIST_UNCHANGED: &str = "list alone, no change";
/// The `kind` recorded with measurements of a fleet without sessions whose list changes at ten times [`CHANGES_PER_S`].
pub const LIST_CHANGING: &str = "list alone, 10 times the changes";

/// Parameters recorded with measurements of this group. They include a `kind` unless the group has three coordinators
/// and a lease of 9 s.
#[must_use]
pub fn group_parameters(group_config: GroupConfig) -> Parameters {
    let mut parameters = parameters_from([
        ("lease_s", json!(group_config.lease_s)),
        ("stewards", json!(group_config.count)),
    ]);
    let usual_config = default_group(3, 9);
    if (group_config.count, group_config.lease_s) != (usual_config.count, usual_config.lease_s) {
        let kind = format!(
            "{} stewards, lease {} s",
            group_config.count, group_config.lease_s
        );
        parameters.insert("kind".to_string(), json!(kind));
    }
    parameters
}

impl Plan {
    /// Configuration of a harness with the given number of senders and a list of [`DESTINATIONS`] destinations.
    #[must_use]
    pub fn options(
        &self,
        senders: u64,
        sessions: u64,
        coordinators: Option<GroupConfig>,
    ) -> HarnessOptions {
        HarnessOptions {
            senders,
            senders_per_process: SENDERS_PER_PROCESS,
            sessions,
            coordinators,
            session_proxies: 0,
            claim_resources: true,
            regions: REGIONS,
            list_layout: ListLayout {
                destinations: DESTINATIONS,
                entries_per_line: ENTRIES_PER_LINE,
            },
            on_request: false,
            run_engines: false,
            seed: self.seed,
        }
    }

    /// Returns whether the time for new measurements is over; if so, prints what is left out.
    fn is_time_over(&self, skipped: &str) -> bool {
        let is_over = Instant::now() > self.deadline;
        if is_over {
            eprintln!("time limit reached; skipping {skipped}");
        }
        is_over
    }

    /// Measures each number of sessions with this group of coordinators.
    ///
    /// # Errors
    /// A process does not start or ends early.
    pub fn measure_sessions(
        &self,
        results: &mut Results,
        group_config: GroupConfig,
    ) -> Result<(), Error> {
        let Some(&max_sessions) = self.sessions.iter().max() else {
            return Ok(());
        };
        if self.is_time_over(&format!("sessions with {group_config:?}")) {
            return Ok(());
        }
        let mut harness = Harness::start(
            &self.programs,
            self.options(max_sessions, max_sessions, Some(group_config)),
        )?;
        let parameters = group_parameters(group_config);
        let mut started = 0;
        for &senders in [&0].into_iter().chain(&self.sessions) {
            if senders > started {
                if let Err(error) = harness.start_senders(started..senders) {
                    // a fleet in which some senders never got a session is a result too, and is recorded
                    let (informed, permitted) =
                        harness.fleet.count_ready(harness.discovery.version())?;
                    let report = harness.fleet.take_report(&harness.discovery)?;
                    eprintln!(
                        "{senders} sessions, {group_config:?}: {error}; rejected {:?}",
                        report.rejections
                    );
                    let conditions = Conditions {
                        axis: "senders",
                        at: senders as f64,
                        parameters,
                    };
                    for (quantity, value) in [
                        ("never_well_know", informed),
                        ("never_well_may_act", permitted),
                        ("never_well_joined", report.sessions_opened),
                        ("never_well_left", report.sessions_lost),
                        ("never_well_refused", report.rejected),
                    ] {
                        results.add_point("fleet", quantity, "count", &conditions, value as f64);
                    }
                    return Ok(());
                }
                started = senders;
            }
            std::thread::sleep(SETTLE_TIME);
            let leader = harness
                .coordinators
                .as_ref()
                .and_then(super::coordinators::CoordinatorGroup::leader);
            let (before, after, _) = harness.measure_span(self.span, CHANGES_PER_S)?;
            let conditions = Conditions {
                axis: "senders",
                at: senders as f64,
                parameters: parameters.clone(),
            };
            results.record_span(&conditions, &before, &after, senders, senders, leader);
            eprintln!(
                "sessions {senders}, {group_config:?}: leader {:.3} core",
                leader_cpu(results, senders, &parameters)
            );
        }
        let report = harness.fleet.take_report(&harness.discovery)?;
        let conditions = Conditions {
            axis: "senders",
            at: max_sessions as f64,
            parameters,
        };
        for (quantity, value) in [
            ("joined", report.sessions_opened),
            ("left", report.sessions_lost),
            ("refused", report.rejected),
            ("lost", report.lost),
        ] {
            results.add_point("fleet", quantity, "count", &conditions, value as f64);
        }
        Ok(())
    }

    /// Measures a fleet that wants more sessions than the coordination state holds.
    ///
    /// # Errors
    /// A process does not start or ends early.
    pub fn measure_beyond_limit(&self, results: &mut Results, senders: u64) -> Result<(), Error> {
        if self.is_time_over("more sessions than the coordination state holds") {
            return Ok(());
        }
        let group_config = default_group(3, 9);
        let mut harness = Harness::start(
            &self.programs,
            self.options(senders, senders, Some(group_config)),
        )?;
        let all: Vec<u64> = (0..senders).collect();
        harness.fleet.start_senders(&all)?;
        std::thread::sleep(self.span);
        let leader = harness
            .coordinators
            .as_ref()
            .and_then(super::coordinators::CoordinatorGroup::leader);
        let (before, after, _) = harness.measure_span(self.span, CHANGES_PER_S)?;
        let parameters = parameters_from([
            ("lease_s", json!(9)),
            ("stewards", json!(3)),
            ("beyond_the_bound", json!(true)),
        ]);
        let conditions = Conditions {
            axis: "wanted sessions",
            at: senders as f64,
            parameters,
        };
        let (_, permitted) = harness.fleet.count_ready(0)?;
        results.record_span(&conditions, &before, &after, senders, permitted, leader);
        let report = harness.fleet.take_report(&harness.discovery)?;
        for (quantity, value) in [
            ("joined", report.sessions_opened),
            ("left", report.sessions_lost),
            ("refused", report.rejected),
            ("may_act", permitted),
        ] {
            results.add_point("fleet", quantity, "count", &conditions, value as f64);
        }
        let rejection_lines = (harness.coordinators.iter())
            .flat_map(|group| group.indices().flat_map(|index| group.output(index)));
        let rejection_lines = rejection_lines
            .filter(|line| line.contains("turned away"))
            .count();
        results.add_point(
            "fleet",
            "logged_turned_away",
            "count",
            &conditions,
            rejection_lines as f64,
        );
        eprintln!(
            "{senders} requested sessions: {permitted} may act, rejected {:?}",
            report.rejections
        );
        Ok(())
    }

    /// Measures how the cost of the list's watches grows with the number of senders, without sessions.
    ///
    /// # Errors
    /// A process does not start or ends early.
    pub fn measure_watches(&self, results: &mut Results) -> Result<(), Error> {
        for &senders in &self.senders {
            if self.is_time_over(&format!("{senders} watches")) {
                continue;
            }
            // 16,000 first lists of 1,000 destinations would take 270 s of processor time, which is not what is
            // measured here
            let list_layout = ListLayout {
                destinations: DESTINATIONS / 10,
                entries_per_line: ENTRIES_PER_LINE,
            };
            let mut harness = Harness::start(
                &self.programs,
                HarnessOptions {
                    list_layout,
                    ..self.options(senders, 0, None)
                },
            )?;
            harness.start_senders(0..senders)?;
            std::thread::sleep(SETTLE_TIME);
            harness.fleet.take_report(&harness.discovery)?;
            for multiple in [0.0, 10.0] {
                let (before, after, published) =
                    harness.measure_span(self.span, multiple * CHANGES_PER_S)?;
                let kind = if multiple > 0.0 {
                    LIST_CHANGING
                } else {
                    LIST_UNCHANGED
                };
                let changes = published as f64 / self.span.as_secs_f64();
                let parameters =
                    parameters_from([("kind", json!(kind)), ("changes_per_s", json!(changes))]);
                let conditions = Conditions {
                    axis: "senders",
                    at: senders as f64,
                    parameters,
                };
                results.record_span(&conditions, &before, &after, senders, 0, None);
                harness.wait_until_ready(senders, 0)?;
                let report = harness.fleet.take_report(&harness.discovery)?;
                record_delays(results, &conditions, &report, published);
            }
            eprintln!("{senders} watches measured");
        }
        Ok(())
    }

    /// Measures how the cost of the list's watches grows with the rate of changes.
    ///
    /// # Errors
    /// A process does not start or ends early.
    pub fn measure_change_rates(&self, results: &mut Results, senders: u64) -> Result<(), Error> {
        if self.rates.is_empty() || self.is_time_over("rates of changes") {
            return Ok(());
        }
        let mut harness = Harness::start(&self.programs, self.options(senders, 0, None))?;
        harness.start_senders(0..senders)?;
        std::thread::sleep(SETTLE_TIME);
        harness.fleet.take_report(&harness.discovery)?;
        for &multiple in &self.rates {
            // measure long enough for at least one change
            let span = self
                .span
                .max(Duration::from_secs_f64(1.0 / (multiple * CHANGES_PER_S)));
            let (before, after, published) =
                harness.measure_span(span, multiple * CHANGES_PER_S)?;
            let conditions = Conditions {
                axis: "changes/s",
                at: published as f64 / span.as_secs_f64(),
                parameters: parameters_from([
                    ("senders", json!(senders)),
                    ("rate", json!(multiple)),
                ]),
            };
            results.record_span(&conditions, &before, &after, senders, 0, None);
            harness.wait_until_ready(senders, 0)?;
            let report = harness.fleet.take_report(&harness.discovery)?;
            record_delays(results, &conditions, &report, published);
        }
        Ok(())
    }

    /// Measures how the cost of a sender's first list grows with the number of destinations, both in pieces and in one
    /// line as the protocol page describes it.
    ///
    /// # Errors
    /// A process does not start or ends early.
    pub fn measure_first_list(&self, results: &mut Results) -> Result<(), Error> {
        const SENDERS: u64 = 2;
        for &destinations in &self.destinations {
            for one_line in [false, true] {
                if self.is_time_over(&format!(
                    "a list of {destinations} destinations, in one line: {one_line}"
                )) {
                    continue;
                }
                let list_layout = ListLayout {
                    destinations,
                    entries_per_line: if one_line {
                        destinations
                    } else {
                        ENTRIES_PER_LINE
                    },
                };
                let mut harness = Harness::start(
                    &self.programs,
                    HarnessOptions {
                        list_layout,
                        ..self.options(SENDERS, 0, None)
                    },
                )?;
                let before = harness.read()?;
                let all: Vec<u64> = (0..SENDERS).collect();
                harness.fleet.start_senders(&all)?;
                let parameters =
                    parameters_from([("senders", json!(SENDERS)), ("one_line", json!(one_line))]);
                let conditions = Conditions {
                    axis: "destinations",
                    at: destinations as f64,
                    parameters,
                };
                // a sender drops a line that is too long, so the number of senders that received the list is recorded
                let received = if one_line {
                    std::thread::sleep(
                        Duration::from_secs(3) + Duration::from_micros(destinations * 4),
                    );
                    harness.fleet.count_ready(harness.discovery.version())?.0
                } else {
                    harness.wait_until_ready(SENDERS, 0)?;
                    SENDERS
                };
                let after = harness.read()?;
                let (cost, list) = (after.fleet - before.fleet, after.list - before.list);
                let report = harness.fleet.take_report(&harness.discovery)?;
                for (quantity, unit, value) in [
                    ("list_heard", "count", received as f64 / SENDERS as f64),
                    ("list_cpu", "core s", cost.cpu_s / SENDERS as f64),
                    (
                        "list_bytes",
                        "bytes",
                        list.response_bytes as f64 / SENDERS as f64,
                    ),
                    ("list_time", "s", longest_s(&report.time_to_first_list)),
                    (
                        "watches",
                        "count",
                        harness.discovery.watches() as f64 / SENDERS as f64,
                    ),
                ] {
                    results.add_point("sender", quantity, unit, &conditions, value);
                }
                eprintln!(
                    "{destinations} destinations, in one line: {one_line}: received by {received} of {SENDERS}"
                );
            }
        }
        Ok(())
    }

    /// Measures a reload of the settings by all senders of a process.
    ///
    /// # Errors
    /// A process does not start or ends early.
    pub fn measure_reloads(&self, results: &mut Results, senders: u64) -> Result<(), Error> {
        if self.is_time_over("reloads") {
            return Ok(());
        }
        let mut harness = Harness::start(&self.programs, self.options(senders, 0, None))?;
        harness.start_senders(0..senders)?;
        std::thread::sleep(SETTLE_TIME);
        let before = harness.read()?;
        harness.fleet.reload_settings()?;
        let cost = harness.read()?.fleet - before.fleet;
        let conditions = Conditions {
            axis: "senders",
            at: senders as f64,
            parameters: Parameters::new(),
        };
        results.add_point(
            "sender",
            "reload_cpu",
            "core s",
            &conditions,
            cost.cpu_s / senders as f64,
        );
        Ok(())
    }
}

fn leader_cpu(results: &Results, sessions: u64, parameters: &Parameters) -> f64 {
    let points = results.points("steward.leader", "cpu", "senders", parameters);
    points
        .into_iter()
        .find(|point| point.0 == sessions as f64)
        .map_or(f64::NAN, |point| point.1)
}

/// Longest duration in seconds; NaN if there are no samples.
fn longest_s(times: &super::counters::Times) -> f64 {
    times
        .keys()
        .last()
        .map_or(f64::NAN, |micros| *micros as f64 / 1e6)
}

/// Records how long changes took until they were in force, and how many were lost, duplicated or reordered.
fn record_delays(
    results: &mut Results,
    conditions: &Conditions<'_>,
    report: &super::counters::Report,
    published: u64,
) {
    let times = super::percentiles::Percentiles::of(&report.in_force);
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
            results.add_point("fleet", quantity, unit, conditions, value);
        }
    }
}
