//! Runs one fault scenario against a fleet and collects the measurements that all scenarios share.

use super::coordinators::CoordinatorGroup;
use super::counters::{Mark, Report};
use super::faults::FleetSize;
use super::harness::Harness;
use super::network_proxy::LinkState;
use super::percentiles::Percentiles;
use super::process::WAIT_TIMEOUT;
use super::scaling::CHANGES_PER_S;
use crate::Error;
use crate::cost::Cost;
use crate::figures::Fault;
use milletturn_coordination_protocol::clock::now;
use std::collections::BTreeMap;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Pause between two polls of the fleet.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Cost per second while nothing fails.
#[derive(Debug, Clone, Copy, Default)]
pub struct BaselineCost {
    /// Messages of the endpoint list's watches, in both directions.
    pub list_messages: f64,
    /// Bytes of the endpoint list's watches, in both directions.
    pub list_bytes: f64,
    /// Messages between senders and coordinators.
    pub coordinator_messages: f64,
    /// Bytes between senders and coordinators.
    pub coordinator_bytes: f64,
    /// Processor cores used by all coordinators together.
    pub coordinator_cpu: f64,
}

/// A running fleet and the fault scenario under way.
#[derive(Debug)]
pub struct Scenario {
    /// The harness with all running parts.
    pub harness: Harness,
    /// Numbers of senders.
    pub size: FleetSize,
    baseline: BaselineCost,
    name: String,
    /// When the scenario began, in microseconds since the machine's start.
    started: u64,
    notes: Vec<String>,
    collected_counters: Report,
    /// Time and processor seconds of the coordinators at the last sample.
    last_cpu_sample: Option<(Instant, f64)>,
    peak_cores: f64,
    /// Time and processor seconds of the simulated senders when the fault began.
    fleet_cpu_at_start: (Instant, f64),
    /// When the next change is due, at [`CHANGES_PER_S`].
    next_change: Instant,
}

impl Scenario {
    /// Takes over a running fleet in which nothing has failed; [`Scenario::begin_fault`] starts a fault scenario.
    #[must_use]
    pub fn new(harness: Harness, size: FleetSize, baseline: BaselineCost) -> Self {
        Scenario {
            harness,
            size,
            baseline,
            name: String::new(),
            started: 0,
            notes: Vec::new(),
            collected_counters: Report::default(),
            last_cpu_sample: None,
            peak_cores: 0.0,
            fleet_cpu_at_start: (Instant::now(), 0.0),
            next_change: Instant::now(),
        }
    }

    /// Resets the measurements before a fault scenario.
    ///
    /// # Errors
    /// A process has ended.
    pub fn begin_fault(&mut self, name: &str) -> Result<(), Error> {
        self.harness.fleet.take_report(&self.harness.discovery)?;
        (self.name, self.started, self.notes) = (name.to_string(), now().0, Vec::new());
        (
            self.collected_counters,
            self.last_cpu_sample,
            self.peak_cores,
        ) = (Report::default(), None, 0.0);
        self.harness.proxy_thread.take_max_delay_s();
        self.fleet_cpu_at_start = (Instant::now(), self.harness.fleet.cost()?.cpu_s);
        self.next_change = Instant::now();
        self.publish_and_sample()
    }

    /// Returns the coordinators.
    ///
    /// # Errors
    /// The fleet has no coordinators.
    pub fn group(&self) -> Result<&CoordinatorGroup, Error> {
        self.harness
            .coordinators
            .as_ref()
            .ok_or_else(|| Error::Unexpected("the harness has no coordinators".into()))
    }

    /// Returns the coordinators mutably.
    ///
    /// # Errors
    /// The fleet has no coordinators.
    pub fn group_mut(&mut self) -> Result<&mut CoordinatorGroup, Error> {
        self.harness
            .coordinators
            .as_mut()
            .ok_or_else(|| Error::Unexpected("the harness has no coordinators".into()))
    }

    /// Adds a remark to the result of the scenario.
    pub fn add_note(&mut self, text: String) {
        self.notes.push(text);
    }

    /// Sets how the network treats every region's connections to discovery and to the coordinators.
    pub fn set_all_link_states(&self, link_state: LinkState) {
        for region in 0..self.harness.options().regions {
            self.harness.discovery.set_link_state(region, link_state);
            if let Some(group) = &self.harness.coordinators {
                group.set_link_state(region, link_state);
            }
        }
    }

    /// From now on, measures when each sender receives the marked version.
    ///
    /// # Errors
    /// A process has ended.
    pub fn set_mark(&mut self, mark: Mark) -> Result<(), Error> {
        self.harness.fleet.set_mark(mark)
    }

    /// Publishes a change and measures when each sender receives it.
    ///
    /// # Errors
    /// A process has ended.
    pub fn publish_marked(&mut self) -> Result<(), Error> {
        // a version is the time of its publishing, so the mark is reached by this change or a later one, and by none
        // that was published before
        let from = now().0;
        self.set_mark(Mark {
            version: from,
            from,
        })?;
        self.harness.discovery.publish();
        Ok(())
    }

    /// Publishes the changes that are due at [`CHANGES_PER_S`], and samples the coordinators' processor time.
    ///
    /// # Errors
    /// Currently none.
    pub fn publish_and_sample(&mut self) -> Result<(), Error> {
        while self.next_change < Instant::now() {
            self.harness.discovery.publish();
            self.next_change += Duration::from_secs_f64(1.0 / CHANGES_PER_S);
        }
        let Some(group) = &self.harness.coordinators else {
            return Ok(());
        };
        // the cost of a coordinator whose process has ended can't be read, and is left out
        let cpu: f64 = group
            .ids()
            .into_iter()
            .filter_map(|id| Cost::of(id).ok())
            .map(|cost| cost.cpu_s)
            .sum();
        let now = Instant::now();
        match self.last_cpu_sample {
            Some((at, before)) if now.duration_since(at) >= Duration::from_secs(1) => {
                let cores = (cpu - before) / now.duration_since(at).as_secs_f64();
                self.peak_cores = self.peak_cores.max(cores);
                self.last_cpu_sample = Some((now, cpu));
            }
            Some((_, before)) if cpu < before => self.last_cpu_sample = Some((now, cpu)),
            Some(_) => {}
            None => self.last_cpu_sample = Some((now, cpu)),
        }
        Ok(())
    }

    /// Keeps publishing and sampling for the given time.
    ///
    /// # Errors
    /// As for [`publish_and_sample`](Self::publish_and_sample).
    pub fn run_for(&mut self, time: Duration) -> Result<(), Error> {
        let started = Instant::now();
        while started.elapsed() < time {
            sleep(POLL_INTERVAL.min(time.saturating_sub(started.elapsed())));
            self.publish_and_sample()?;
        }
        Ok(())
    }

    /// Waits until a coordinator leads and returns its index.
    ///
    /// # Errors
    /// No coordinator leads within [`WAIT_TIMEOUT`].
    pub fn wait_for_leader(&mut self) -> Result<usize, Error> {
        let started = Instant::now();
        while started.elapsed() < WAIT_TIMEOUT {
            if let Some(leader) = self.group()?.leader() {
                return Ok(leader);
            }
            self.run_for(POLL_INTERVAL / 5)?;
        }
        Err(Error::Unexpected("no coordinator leads".into()))
    }

    /// Waits until the given number of senders have the current list.
    ///
    /// # Errors
    /// Fewer senders have the current list after [`WAIT_TIMEOUT`], or a process has ended.
    pub fn wait_until_informed(&mut self, senders: u64) -> Result<(), Error> {
        let informed = self.count_informed_within(senders, WAIT_TIMEOUT)?;
        if informed < senders {
            Err(Error::Unexpected(format!(
                "{informed} of {senders} senders have the current list"
            )))
        } else {
            Ok(())
        }
    }

    /// Waits until the given number of senders have the list version that is current at the call, or the time is over;
    /// returns how many have it.
    ///
    /// # Errors
    /// A process has ended.
    pub fn count_informed_within(&mut self, senders: u64, time: Duration) -> Result<u64, Error> {
        let (started, version) = (Instant::now(), self.harness.discovery.version());
        loop {
            let (informed, _) = self.harness.fleet.count_ready(version)?;
            if informed >= senders || started.elapsed() > time {
                return Ok(informed);
            }
            self.run_for(POLL_INTERVAL)?;
        }
    }

    /// Waits until all senders have the current list and hold their resources; on timeout, a note is added to the
    /// result.
    ///
    /// # Errors
    /// A process has ended.
    pub fn wait_until_healthy(&mut self) -> Result<(), Error> {
        let (started, version) = (Instant::now(), self.harness.discovery.version());
        loop {
            let counts = self.harness.fleet.count_ready(version)?;
            if counts.0 >= self.size.senders && counts.1 >= self.size.sessions {
                return Ok(());
            }
            if started.elapsed() > WAIT_TIMEOUT {
                let (senders, sessions) = (self.size.senders, self.size.sessions);
                let text = format!(
                    "not well after {} s: {counts:?} of {senders}, {sessions}",
                    WAIT_TIMEOUT.as_secs()
                );
                self.add_note(text);
                return Ok(());
            }
            self.run_for(POLL_INTERVAL)?;
        }
    }

    /// Waits until the given number of senders have the current list or the time limit is reached, then adds the
    /// counters of all senders to the result.
    ///
    /// # Errors
    /// A process has ended.
    pub fn collect_counters(&mut self, senders: u64) -> Result<(), Error> {
        let (started, version) = (Instant::now(), self.harness.discovery.version());
        while self.harness.fleet.count_ready(version)?.0 < senders
            && started.elapsed() < WAIT_TIMEOUT
        {
            sleep(POLL_INTERVAL);
        }
        let report = self.harness.fleet.take_report(&self.harness.discovery)?;
        self.collected_counters.add(report);
        Ok(())
    }

    /// Ends the scenario and returns its result.
    ///
    /// # Errors
    /// A process has ended.
    pub fn end_fault(&mut self) -> Result<Fault, Error> {
        self.run_for(Duration::from_secs(1))?;
        self.collect_counters(self.size.senders)?;
        // restart the sampling of permissions to include the senders that were started during this fault
        self.harness
            .fleet
            .sample_permissions(if self.size.sessions > 0 { 50 } else { 0 })?;
        let report = std::mem::take(&mut self.collected_counters);
        let (marked, without_permission) = (
            Percentiles::of(&report.marked),
            Percentiles::of(&report.without_permission),
        );
        let list = self.harness.discovery.meter.peak(self.started);
        let mut peaks = vec![
            ("list_messages", list.0 as f64, self.baseline.list_messages),
            ("list_bytes", list.1 as f64, self.baseline.list_bytes),
        ];
        if let Some(group) = &self.harness.coordinators {
            let coordinators = group.peak(self.started);
            peaks.push((
                "steward_messages",
                coordinators.0 as f64,
                self.baseline.coordinator_messages,
            ));
            peaks.push((
                "steward_bytes",
                coordinators.1 as f64,
                self.baseline.coordinator_bytes,
            ));
            peaks.push((
                "steward_cpu",
                self.peak_cores,
                self.baseline.coordinator_cpu,
            ));
        }
        let peak_over_mean: BTreeMap<String, f64> = peaks
            .into_iter()
            .filter(|(_, _, baseline)| *baseline > 0.0)
            .map(|(name, peak, baseline)| (name.to_string(), peak / baseline))
            .collect();
        let mut notes = std::mem::take(&mut self.notes);
        let (from, before) = self.fleet_cpu_at_start;
        let (cpu, processes) = (
            self.harness.fleet.cost()?.cpu_s - before,
            self.harness.fleet.ids().len(),
        );
        let load = cpu / processes.max(1) as f64 / from.elapsed().as_secs_f64();
        notes.push(format!(
            "{processes} processes of hollow senders, {load:.2} core each"
        ));
        notes.push(format!(
            "this machine was late by up to {:.2} s",
            self.harness.proxy_thread.take_max_delay_s()
        ));
        notes.push(format!("{} senders heard the marked change", marked.count));
        if self.size.sessions > 0 {
            notes.push(format!(
                "sessions: {} opened, {} over without the sender's wish, refusals {:?}",
                report.sessions_opened, report.sessions_lost, report.rejections
            ));
            if without_permission.count > 0 {
                notes.push(format!(
                    "without leave to act: {} times, p50 {:.2} s, p99 {:.2} s, worst {:.2} s",
                    without_permission.count,
                    without_permission.p50_s,
                    without_permission.p99_s,
                    without_permission.worst_s
                ));
            }
        }
        // a percentile of no samples is not finite; it is recorded as -1
        let or_unknown = |seconds: f64| if seconds.is_finite() { seconds } else { -1.0 };
        Ok(Fault {
            name: self.name.clone(),
            senders: self.size.senders,
            p50_s: or_unknown(marked.p50_s),
            p99_s: or_unknown(marked.p99_s),
            worst_s: or_unknown(marked.worst_s),
            peak_over_mean,
            lost: report.lost,
            doubled: report.doubled,
            wrong_order: report.wrong_order,
            note: notes.join("; "),
        })
    }
}
