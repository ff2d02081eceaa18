//! A group of real coordinator processes, with a metered network proxy between each two and from each region to each.

use super::meter::{Meter, Passed};
use super::process::{Process, until};
use super::relay::{Relay, Way};
use crate::Error;
use crate::cost::Cost;
use milletturn_coordination_protocol::Client;
use milletturn_coordination_protocol::messages::{
    CoordinatorStatus, STATE_PATH, STATUS_PATH, StateView,
};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::Duration;
use tempfile::TempDir;
use tokio::runtime::Handle;

/// Name of the coordination group.
pub const GROUP: &str = "scale";
/// Longest wait for a coordinator's response.
const WORD: Duration = Duration::from_secs(3);

/// Configuration of the group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Setup {
    /// Number of coordinators: three, five or seven.
    pub count: usize,
    /// Lease duration in seconds.
    pub lease_s: u64,
    /// Interval between two heartbeats of the leader, in milliseconds.
    pub heartbeat_ms: u64,
    /// Number of sender groups whose network can be cut off separately.
    pub regions: usize,
}

/// The running group.
#[derive(Debug)]
pub struct Group {
    setup: Setup,
    program: PathBuf,
    folder: TempDir,
    processes: Vec<Option<Process>>,
    listens: Vec<Option<SocketAddr>>,
    /// Proxies between coordinators, by the index of the caller and the callee.
    between: BTreeMap<(usize, usize), Relay>,
    /// Proxies from each region to each coordinator.
    regions: Vec<Vec<Relay>>,
    runtime: Handle,
}

impl Group {
    /// Creates the coordinators' state directories and starts all of them.
    ///
    /// # Errors
    /// A coordinator can't be started, or none leads.
    pub fn start(program: &Path, setup: Setup, runtime: &Handle) -> Result<Self, Error> {
        let relay = |meter: &Meter| Relay::start(runtime, meter.clone());
        let mut between = BTreeMap::new();
        for from in 0..setup.count {
            for to in (0..setup.count).filter(|to| *to != from) {
                between.insert((from, to), relay(&Meter::default())?);
            }
        }
        let mut regions = Vec::new();
        for _ in 0..setup.regions {
            let ways: Result<Vec<Relay>, Error> =
                (0..setup.count).map(|_| relay(&Meter::default())).collect();
            regions.push(ways?);
        }
        let mut group = Group {
            setup,
            program: program.to_path_buf(),
            folder: TempDir::new().map_err(Error::io("a folder for the stewards"))?,
            processes: (0..setup.count).map(|_| None).collect(),
            listens: vec![None; setup.count],
            between,
            regions,
            runtime: runtime.clone(),
        };
        for place in 0..setup.count {
            let file = group.file(place);
            std::fs::write(&file, group.settings(place))
                .map_err(Error::io(file.display().to_string()))?;
            let founded = Command::new(program)
                .args(["steward", "--found", "--config"])
                .arg(&file)
                .output();
            let founded = founded.map_err(Error::io(program.display().to_string()))?;
            if !founded.status.success() {
                return Err(Error::Wrong(
                    String::from_utf8_lossy(&founded.stderr).into_owned(),
                ));
            }
        }
        (0..setup.count).try_for_each(|place| group.start_one(place))?;
        group.until_led()?;
        Ok(group)
    }

    fn file(&self, place: usize) -> PathBuf {
        self.folder.path().join(format!("steward{place}.toml"))
    }

    fn settings(&self, place: usize) -> String {
        let Setup {
            lease_s,
            heartbeat_ms,
            ..
        } = self.setup;
        let mut text = format!(
            "group = \"{GROUP}\"\nid = {}\nlisten = \"127.0.0.1:0\"\nstate = \"disk{place}\"\n\
             lease = \"{lease_s}s\"\nheartbeat = \"{heartbeat_ms}ms\"\n",
            place + 1
        );
        for to in 0..self.setup.count {
            // a coordinator never calls itself
            let address = self
                .between
                .get(&(place, to))
                .map_or("127.0.0.1:1".to_string(), |way| way.address.to_string());
            text.push_str(&format!(
                "[[steward]]\nid = {}\naddress = \"{address}\"\n",
                to + 1
            ));
        }
        text
    }

    /// Starts a coordinator that is not running and points all proxies at its new port.
    ///
    /// # Errors
    /// The coordinator does not start.
    pub fn start_one(&mut self, place: usize) -> Result<(), Error> {
        let mut command = Command::new(&self.program);
        command.args(["steward", "--config"]).arg(self.file(place));
        let log = self.folder.path().join(format!("steward{place}.log"));
        let mut process = Process::start(&mut command, &log)?;
        let address = process.until_said("listens on ")?;
        let address = address
            .parse()
            .map_err(|_| Error::Wrong(format!("no address: {address}")))?;
        self.listens[place] = Some(address);
        self.towards(place)
            .for_each(|way| way.lead_to(Some(address)));
        self.processes[place] = Some(process);
        Ok(())
    }

    /// All proxies that lead to a coordinator.
    fn towards(&self, place: usize) -> impl Iterator<Item = &Relay> {
        let between = self
            .between
            .iter()
            .filter(move |((_, to), _)| *to == place)
            .map(|(_, way)| way);
        between.chain(self.regions.iter().map(move |ways| &ways[place]))
    }

    /// Stops a coordinator as a crash would; its state directory stays.
    pub fn kill(&mut self, place: usize) {
        self.processes[place] = None;
        self.listens[place] = None;
        self.towards(place).for_each(|way| way.lead_to(None));
    }

    /// Returns the running process of a coordinator.
    ///
    /// # Errors
    /// The coordinator is not running.
    pub fn process(&self, place: usize) -> Result<&Process, Error> {
        let process = self.processes.get(place).and_then(Option::as_ref);
        process.ok_or_else(|| Error::Wrong(format!("steward {place} is not running")))
    }

    /// Process ids of the running coordinators.
    pub fn ids(&self) -> Vec<u32> {
        self.processes.iter().flatten().map(Process::id).collect()
    }

    /// Returns what a coordinator process has cost so far.
    ///
    /// # Errors
    /// The coordinator is not running.
    pub fn cost(&self, place: usize) -> Result<Cost, Error> {
        Cost::of(self.process(place)?.id())
    }

    /// Indices of all coordinators.
    #[must_use]
    pub fn places(&self) -> std::ops::Range<usize> {
        0..self.setup.count
    }

    /// Addresses at which the senders of a region reach the coordinators.
    #[must_use]
    pub fn addresses(&self, region: usize) -> Vec<String> {
        self.regions[region]
            .iter()
            .map(|way| way.address.to_string())
            .collect()
    }

    /// Sets how a region's connections to the coordinators behave, such as cut off or passing.
    pub fn set(&self, region: usize, way: Way) {
        self.regions[region].iter().for_each(|relay| relay.set(way));
    }

    /// Traffic between senders and a coordinator.
    #[must_use]
    pub fn members(&self, place: usize) -> Passed {
        let ways = self.regions.iter().map(|ways| ways[place].meter.sum());
        ways.fold(Passed::default(), |sum, next| sum + next)
    }

    /// Traffic among coordinators: this one's requests to the others, and their requests to this one.
    #[must_use]
    pub fn others(&self, place: usize) -> (Passed, Passed) {
        let sum = |such: &dyn Fn(&(usize, usize)) -> bool| {
            let ways = self.between.iter().filter(|(ends, _)| such(ends));
            ways.fold(Passed::default(), |sum, (_, way)| sum + way.meter.sum())
        };
        (sum(&|ends| ends.0 == place), sum(&|ends| ends.1 == place))
    }

    /// Highest traffic within one second after `from`, as messages and bytes. The peaks of separate proxies are added,
    /// which can overstate but never understate the true peak.
    #[must_use]
    pub fn peak(&self, from: u64) -> (u64, u64) {
        let ways = self
            .regions
            .iter()
            .flatten()
            .map(|way| way.meter.peak(from));
        ways.fold((0, 0), |sum, next| (sum.0 + next.0, sum.1 + next.1))
    }

    /// Index of the leader that a majority of coordinators names at present, if there is one.
    #[must_use]
    pub fn leader(&self) -> Option<usize> {
        let running = self.places().filter(|place| self.listens[*place].is_some());
        let said: Vec<CoordinatorStatus> = running.filter_map(|place| self.status(place)).collect();
        let leads = said.iter().find(|status| status.role == "leader")?;
        let known = said
            .iter()
            .filter(|status| status.leader == Some(leads.coordinator))
            .count();
        (known > self.setup.count / 2).then_some(usize::try_from(leads.coordinator).ok()? - 1)
    }

    /// Waits until a coordinator leads and returns its index.
    ///
    /// # Errors
    /// None leads within the time limit.
    pub fn until_led(&self) -> Result<usize, Error> {
        let mut leader = None;
        until("a steward leads", || {
            leader = self.leader();
            Ok(leader.is_some())
        })?;
        leader.ok_or_else(|| Error::Wrong("no steward leads".into()))
    }

    fn status(&self, place: usize) -> Option<CoordinatorStatus> {
        self.ask(place, STATUS_PATH)
    }

    /// Number of log entries that the leader has applied.
    #[must_use]
    pub fn applied(&self) -> Option<u64> {
        Some(self.status(self.leader()?)?.last_applied)
    }

    /// The coordination state as the leader reports it, if it responds now.
    #[must_use]
    pub fn look(&self) -> Option<StateView> {
        self.ask(self.leader()?, STATE_PATH)
    }

    fn ask<A: serde::de::DeserializeOwned>(&self, place: usize, path: &str) -> Option<A> {
        let mut line = Client::new(self.listens[place]?.to_string(), GROUP);
        let path = path.to_string();
        // the calling thread blocks here while the proxies' runtime makes the call
        let (answer, answered) = std::sync::mpsc::channel();
        self.runtime.spawn(async move {
            let reply = line
                .call::<serde_json::Value>(&path, None::<&()>, WORD)
                .await;
            let _ = answer.send(reply.ok().and_then(|reply| reply.result.ok()));
        });
        serde_json::from_value(answered.recv().ok()??).ok()
    }

    /// Lines that a coordinator has printed.
    pub fn said(&self, place: usize) -> Vec<String> {
        self.processes[place]
            .as_ref()
            .map(Process::lines)
            .unwrap_or_default()
    }
}
