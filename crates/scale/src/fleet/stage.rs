//! Runs one fault scenario against a fleet and collects the measurements that all scenarios share.

use super::faults::Size;
use super::process::PATIENCE;
use super::relay::Way;
use super::rig::Rig;
use super::slopes::RATE;
use super::stewards::Group;
use super::tally::{Mark, Report};
use super::times::Spread;
use crate::Error;
use crate::cost::Cost;
use crate::figures::Fault;
use milletturn_coordination_protocol::clock::now;
use std::collections::BTreeMap;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Pause between two polls of the fleet.
const LOOK: Duration = Duration::from_millis(250);

/// Cost per second while nothing fails.
#[derive(Debug, Clone, Copy, Default)]
pub struct Mean {
    /// Endpoint list messages.
    pub list_messages: f64,
    /// Endpoint list bytes.
    pub list_bytes: f64,
    /// Messages between senders and coordinators.
    pub steward_messages: f64,
    /// Bytes between senders and coordinators.
    pub steward_bytes: f64,
    /// Processor cores used by all coordinators together.
    pub steward_cpu: f64,
}

/// A running fleet and the fault scenario under way.
#[derive(Debug)]
pub struct Stage {
    /// The harness with all running parts.
    pub rig: Rig,
    /// Numbers of senders.
    pub size: Size,
    mean: Mean,
    name: String,
    begun: u64,
    notes: Vec<String>,
    collected: Report,
    /// Time and processor seconds of the coordinators at the last sample.
    cpu: Option<(Instant, f64)>,
    cpu_peak: f64,
    /// Time and processor seconds of the simulated senders when the fault began.
    herd: (Instant, f64),
    /// When the next change at the usual rate is due.
    next: Instant,
}

impl Stage {
    /// Wraps a healthy fleet.
    #[must_use]
    pub fn new(rig: Rig, size: Size, mean: Mean) -> Self {
        Stage {
            rig,
            size,
            mean,
            name: String::new(),
            begun: 0,
            notes: Vec::new(),
            collected: Report::default(),
            cpu: None,
            cpu_peak: 0.0,
            herd: (Instant::now(), 0.0),
            next: Instant::now(),
        }
    }

    /// Resets the measurements before a fault scenario.
    ///
    /// # Errors
    /// A process has ended.
    pub fn begin(&mut self, name: &str) -> Result<(), Error> {
        self.rig.herd.report(&self.rig.discovery)?;
        (self.name, self.begun, self.notes) = (name.to_string(), now().0, Vec::new());
        (self.collected, self.cpu, self.cpu_peak) = (Report::default(), None, 0.0);
        self.rig.ways.late_s();
        self.herd = (Instant::now(), self.rig.herd.cost()?.cpu_s);
        self.next = Instant::now();
        self.look()
    }

    /// Returns the coordinators.
    ///
    /// # Errors
    /// The fleet has no coordinators.
    pub fn group(&self) -> Result<&Group, Error> {
        self.rig
            .stewards
            .as_ref()
            .ok_or_else(|| Error::Wrong("no stewards".into()))
    }

    /// Returns the coordinators for changes.
    ///
    /// # Errors
    /// The fleet has no coordinators.
    pub fn group_mut(&mut self) -> Result<&mut Group, Error> {
        self.rig
            .stewards
            .as_mut()
            .ok_or_else(|| Error::Wrong("no stewards".into()))
    }

    /// Adds a remark to the result of the scenario.
    pub fn note(&mut self, text: String) {
        self.notes.push(text);
    }

    /// Sets how the network treats every region's connections to discovery and to the coordinators.
    pub fn all_regions(&self, way: Way) {
        for region in 0..self.rig.parts().regions {
            self.rig.discovery.set(region, way);
            if let Some(group) = &self.rig.stewards {
                group.set(region, way);
            }
        }
    }

    /// Measures from now on when each sender receives the version.
    ///
    /// # Errors
    /// A process has ended.
    pub fn mark(&mut self, mark: Mark) -> Result<(), Error> {
        self.rig.herd.mark(mark)
    }

    /// Publishes a change and measures when each sender receives it.
    ///
    /// # Errors
    /// A process has ended.
    pub fn publish_marked(&mut self) -> Result<(), Error> {
        // versions are publishing times, so that every later change counts as this one and no earlier one does
        let from = now().0;
        self.mark(Mark {
            version: from,
            from,
        })?;
        self.rig.discovery.publish();
        Ok(())
    }

    /// Publishes the changes due at the usual rate and samples the coordinators' processor time.
    ///
    /// # Errors
    /// Never returned at present.
    pub fn look(&mut self) -> Result<(), Error> {
        while self.next < Instant::now() {
            self.rig.discovery.publish();
            self.next += Duration::from_secs_f64(1.0 / RATE);
        }
        let Some(group) = &self.rig.stewards else {
            return Ok(());
        };
        // a coordinator may be stopped at this moment
        let cpu: f64 = group
            .ids()
            .into_iter()
            .filter_map(|id| Cost::of(id).ok())
            .map(|cost| cost.cpu_s)
            .sum();
        let now = Instant::now();
        match self.cpu {
            Some((at, before)) if now.duration_since(at) >= Duration::from_secs(1) => {
                let second = (cpu - before) / now.duration_since(at).as_secs_f64();
                self.cpu_peak = self.cpu_peak.max(second);
                self.cpu = Some((now, cpu));
            }
            Some((_, before)) if cpu < before => self.cpu = Some((now, cpu)),
            Some(_) => {}
            None => self.cpu = Some((now, cpu)),
        }
        Ok(())
    }

    /// Keeps publishing and sampling for the given time.
    ///
    /// # Errors
    /// As [`look`](Self::look).
    pub fn pass(&mut self, time: Duration) -> Result<(), Error> {
        let begun = Instant::now();
        while begun.elapsed() < time {
            sleep(LOOK.min(time.saturating_sub(begun.elapsed())));
            self.look()?;
        }
        Ok(())
    }

    /// Waits until a coordinator leads and returns its index.
    ///
    /// # Errors
    /// No coordinator leads within the time limit.
    pub fn until_led(&mut self) -> Result<usize, Error> {
        let begun = Instant::now();
        while begun.elapsed() < PATIENCE {
            if let Some(leader) = self.group()?.leader() {
                return Ok(leader);
            }
            self.pass(LOOK / 5)?;
        }
        Err(Error::Wrong("no steward leads".into()))
    }

    /// Waits until the given number of senders know the current list.
    ///
    /// # Errors
    /// They do not within the time limit.
    pub fn until_known(&mut self, senders: u64) -> Result<(), Error> {
        let known = self.until_known_within(senders, PATIENCE)?;
        if known < senders {
            Err(Error::Wrong(format!("{known} of {senders} know the list")))
        } else {
            Ok(())
        }
    }

    /// Waits until the given number of senders know the current list or the time is over; returns how many do.
    ///
    /// # Errors
    /// A process has ended.
    pub fn until_known_within(&mut self, senders: u64, time: Duration) -> Result<u64, Error> {
        let (begun, version) = (Instant::now(), self.rig.discovery.version());
        loop {
            let (known, _) = self.rig.herd.ask(version)?;
            if known >= senders || begun.elapsed() > time {
                return Ok(known);
            }
            self.pass(LOOK)?;
        }
    }

    /// Waits until all senders know the list and hold their resources; on timeout, a note is added to the result.
    ///
    /// # Errors
    /// A process has ended.
    pub fn until_well(&mut self) -> Result<(), Error> {
        let (begun, version) = (Instant::now(), self.rig.discovery.version());
        loop {
            let counts = self.rig.herd.ask(version)?;
            if counts.0 >= self.size.senders && counts.1 >= self.size.sessions {
                return Ok(());
            }
            if begun.elapsed() > PATIENCE {
                let (senders, sessions) = (self.size.senders, self.size.sessions);
                let text = format!(
                    "not well after {} s: {counts:?} of {senders}, {sessions}",
                    PATIENCE.as_secs()
                );
                self.note(text);
                return Ok(());
            }
            self.pass(LOOK)?;
        }
    }

    /// Waits until the living senders know the current list, then adds their counters to the result.
    ///
    /// # Errors
    /// A process has ended.
    pub fn collect(&mut self, senders: u64) -> Result<(), Error> {
        let (begun, version) = (Instant::now(), self.rig.discovery.version());
        while self.rig.herd.ask(version)?.0 < senders && begun.elapsed() < PATIENCE {
            sleep(LOOK);
        }
        let report = self.rig.herd.report(&self.rig.discovery)?;
        self.collected.add(report);
        Ok(())
    }

    /// Ends the scenario and returns its result.
    ///
    /// # Errors
    /// A process has ended.
    pub fn end(&mut self) -> Result<Fault, Error> {
        self.pass(Duration::from_secs(1))?;
        self.collect(self.size.senders)?;
        // senders started during this fault are not sampled yet; begin sampling with the present set
        self.rig
            .herd
            .watch(if self.size.sessions > 0 { 50 } else { 0 })?;
        let report = std::mem::take(&mut self.collected);
        let (marked, without) = (Spread::of(&report.marked), Spread::of(&report.without));
        let list = self.rig.discovery.meter.peak(self.begun);
        let mut peaks = vec![
            ("list_messages", list.0 as f64, self.mean.list_messages),
            ("list_bytes", list.1 as f64, self.mean.list_bytes),
        ];
        if let Some(group) = &self.rig.stewards {
            let stewards = group.peak(self.begun);
            peaks.push((
                "steward_messages",
                stewards.0 as f64,
                self.mean.steward_messages,
            ));
            peaks.push(("steward_bytes", stewards.1 as f64, self.mean.steward_bytes));
            peaks.push(("steward_cpu", self.cpu_peak, self.mean.steward_cpu));
        }
        let over: BTreeMap<String, f64> = peaks
            .into_iter()
            .filter(|(_, _, mean)| *mean > 0.0)
            .map(|(name, peak, mean)| (name.to_string(), peak / mean))
            .collect();
        let mut notes = std::mem::take(&mut self.notes);
        let (from, before) = self.herd;
        let (cpu, processes) = (
            self.rig.herd.cost()?.cpu_s - before,
            self.rig.herd.ids().len(),
        );
        let load = cpu / processes.max(1) as f64 / from.elapsed().as_secs_f64();
        notes.push(format!(
            "{processes} processes of hollow senders, {load:.2} core each"
        ));
        notes.push(format!(
            "this machine was late by up to {:.2} s",
            self.rig.ways.late_s()
        ));
        notes.push(format!("{} senders heard the marked change", marked.count));
        if self.size.sessions > 0 {
            notes.push(format!(
                "sessions: {} opened, {} over without the sender's wish, refusals {:?}",
                report.joined, report.left, report.refusals
            ));
            if without.count > 0 {
                notes.push(format!(
                    "without leave to act: {} times, p50 {:.2} s, p99 {:.2} s, worst {:.2} s",
                    without.count, without.p50_s, without.p99_s, without.worst_s
                ));
            }
        }
        // a percentile of no samples is not finite; it is recorded as -1
        let known = |seconds: f64| if seconds.is_finite() { seconds } else { -1.0 };
        Ok(Fault {
            name: self.name.clone(),
            senders: self.size.senders,
            p50_s: known(marked.p50_s),
            p99_s: known(marked.p99_s),
            worst_s: known(marked.worst_s),
            peak_over_mean: over,
            lost: report.lost,
            doubled: report.doubled,
            wrong_order: report.wrong_order,
            note: notes.join("; "),
        })
    }
}
