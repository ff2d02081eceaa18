//! A group of real coordinator processes. A metered network proxy stands in front of each coordinator for each other
//! coordinator and for each region.

use super::meter::{Meter, Traffic};
use super::network_proxy::{LinkState, NetworkProxy};
use super::process::{Process, wait_until};
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
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);

/// Configuration of the group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GroupConfig {
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
pub struct CoordinatorGroup {
    config: GroupConfig,
    program: PathBuf,
    folder: TempDir,
    processes: Vec<Option<Process>>,
    listen_addresses: Vec<Option<SocketAddr>>,
    /// Proxies between coordinators, by the index of the caller and the callee.
    peer_proxies: BTreeMap<(usize, usize), NetworkProxy>,
    /// Proxies from each region to each coordinator.
    regions: Vec<Vec<NetworkProxy>>,
    runtime: Handle,
}

impl CoordinatorGroup {
    /// Creates the coordinators' state directories, starts all coordinators and waits until one leads.
    ///
    /// # Errors
    /// A coordinator can't be started, or none leads.
    pub fn start(program: &Path, config: GroupConfig, runtime: &Handle) -> Result<Self, Error> {
        let start_proxy = |meter: &Meter| NetworkProxy::start(runtime, meter.clone());
        let mut peer_proxies = BTreeMap::new();
        for from in 0..config.count {
            for to in (0..config.count).filter(|to| *to != from) {
                peer_proxies.insert((from, to), start_proxy(&Meter::default())?);
            }
        }
        let mut regions = Vec::new();
        for _ in 0..config.regions {
            let proxies: Result<Vec<NetworkProxy>, Error> = (0..config.count)
                .map(|_| start_proxy(&Meter::default()))
                .collect();
            regions.push(proxies?);
        }
        let mut group = CoordinatorGroup {
            config,
            program: program.to_path_buf(),
            folder: TempDir::new()
                .map_err(Error::io("a temporary directory for the coordinators"))?,
            processes: (0..config.count).map(|_| None).collect(),
            listen_addresses: vec![None; config.count],
            peer_proxies,
            regions,
            runtime: runtime.clone(),
        };
        for index in 0..config.count {
            let config_path = group.config_path(index);
            std::fs::write(&config_path, group.config_text(index))
                .map_err(Error::io(config_path.display().to_string()))?;
            let bootstrap = Command::new(program)
                .args(["steward", "--found", "--config"])
                .arg(&config_path)
                .output();
            let bootstrap = bootstrap.map_err(Error::io(program.display().to_string()))?;
            if !bootstrap.status.success() {
                return Err(Error::Unexpected(
                    String::from_utf8_lossy(&bootstrap.stderr).into_owned(),
                ));
            }
        }
        (0..config.count).try_for_each(|index| group.start_one(index))?;
        group.wait_for_leader()?;
        Ok(group)
    }

    fn config_path(&self, index: usize) -> PathBuf {
        self.folder.path().join(format!("steward{index}.toml"))
    }

    fn config_text(&self, index: usize) -> String {
        let GroupConfig {
            lease_s,
            heartbeat_ms,
            ..
        } = self.config;
        let mut text = format!(
            "group = \"{GROUP}\"\nid = {}\nlisten = \"127.0.0.1:0\"\nstate = \"disk{index}\"\n\
             lease = \"{lease_s}s\"\nheartbeat = \"{heartbeat_ms}ms\"\n",
            index + 1
        );
        for to in 0..self.config.count {
            // a coordinator never calls itself
            let address = self
                .peer_proxies
                .get(&(index, to))
                .map_or("127.0.0.1:1".to_string(), |proxy| proxy.address.to_string());
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
    pub fn start_one(&mut self, index: usize) -> Result<(), Error> {
        let mut command = Command::new(&self.program);
        command
            .args(["steward", "--config"])
            .arg(self.config_path(index));
        let log = self.folder.path().join(format!("steward{index}.log"));
        let mut process = Process::start(&mut command, &log)?;
        let address = process.wait_for_output("listens on ")?;
        let address = address
            .parse()
            .map_err(|_| Error::Unexpected(format!("expected a listen address, got: {address}")))?;
        self.listen_addresses[index] = Some(address);
        self.proxies_to(index)
            .for_each(|proxy| proxy.set_upstream(Some(address)));
        self.processes[index] = Some(process);
        Ok(())
    }

    /// All proxies that lead to a coordinator.
    fn proxies_to(&self, index: usize) -> impl Iterator<Item = &NetworkProxy> {
        let peer_proxies = self
            .peer_proxies
            .iter()
            .filter(move |((_, to), _)| *to == index)
            .map(|(_, proxy)| proxy);
        peer_proxies.chain(self.regions.iter().map(move |proxies| &proxies[index]))
    }

    /// Stops a coordinator as a crash would; its state directory stays.
    pub fn kill(&mut self, index: usize) {
        self.processes[index] = None;
        self.listen_addresses[index] = None;
        self.proxies_to(index)
            .for_each(|proxy| proxy.set_upstream(None));
    }

    /// Returns the running process of a coordinator.
    ///
    /// # Errors
    /// The coordinator is not running.
    pub fn process(&self, index: usize) -> Result<&Process, Error> {
        let process = self.processes.get(index).and_then(Option::as_ref);
        process.ok_or_else(|| Error::Unexpected(format!("coordinator {index} is not running")))
    }

    /// Process ids of the running coordinators.
    pub fn ids(&self) -> Vec<u32> {
        self.processes.iter().flatten().map(Process::id).collect()
    }

    /// Returns what a coordinator process has cost so far.
    ///
    /// # Errors
    /// The coordinator is not running.
    pub fn cost(&self, index: usize) -> Result<Cost, Error> {
        Cost::of(self.process(index)?.id())
    }

    /// Indices of all coordinators.
    #[must_use]
    pub fn indices(&self) -> std::ops::Range<usize> {
        0..self.config.count
    }

    /// Addresses at which the senders of a region reach the coordinators.
    #[must_use]
    pub fn addresses(&self, region: usize) -> Vec<String> {
        self.regions[region]
            .iter()
            .map(|proxy| proxy.address.to_string())
            .collect()
    }

    /// Sets how a region's connections to the coordinators are treated from now on, including those already open.
    pub fn set_link_state(&self, region: usize, state: LinkState) {
        self.regions[region]
            .iter()
            .for_each(|proxy| proxy.set_link_state(state));
    }

    /// Traffic of a coordinator with senders or, where they are used, with session proxies.
    #[must_use]
    pub fn member_traffic(&self, index: usize) -> Traffic {
        let proxies = self
            .regions
            .iter()
            .map(|proxies| proxies[index].meter.sum());
        proxies.fold(Traffic::default(), |sum, next| sum + next)
    }

    /// Traffic among coordinators: this one's requests to the others, and their requests to this one.
    #[must_use]
    pub fn peer_traffic(&self, index: usize) -> (Traffic, Traffic) {
        let sum = |matches: &dyn Fn(&(usize, usize)) -> bool| {
            let proxies = self.peer_proxies.iter().filter(|(ends, _)| matches(ends));
            proxies.fold(Traffic::default(), |sum, (_, proxy)| {
                sum + proxy.meter.sum()
            })
        };
        (sum(&|ends| ends.0 == index), sum(&|ends| ends.1 == index))
    }

    /// Highest traffic between regions and coordinators in any second since `from` (microseconds since the machine's
    /// start), as messages and bytes. The peaks of separate proxies are added, which can overstate but never understate
    /// the true peak.
    #[must_use]
    pub fn peak(&self, from: u64) -> (u64, u64) {
        let proxies = self
            .regions
            .iter()
            .flatten()
            .map(|proxy| proxy.meter.peak(from));
        proxies.fold((0, 0), |sum, next| (sum.0 + next.0, sum.1 + next.1))
    }

    /// Index of the coordinator that a majority of coordinators currently reports as leader, if there is one.
    #[must_use]
    pub fn leader(&self) -> Option<usize> {
        let running = self
            .indices()
            .filter(|index| self.listen_addresses[*index].is_some());
        let statuses: Vec<CoordinatorStatus> =
            running.filter_map(|index| self.status(index)).collect();
        let leader_status = statuses.iter().find(|status| status.role == "leader")?;
        let supporters = statuses
            .iter()
            .filter(|status| status.leader == Some(leader_status.coordinator))
            .count();
        (supporters > self.config.count / 2)
            .then_some(usize::try_from(leader_status.coordinator).ok()? - 1)
    }

    /// Waits until a coordinator leads and returns its index.
    ///
    /// # Errors
    /// No coordinator leads within [`WAIT_TIMEOUT`](super::process::WAIT_TIMEOUT).
    pub fn wait_for_leader(&self) -> Result<usize, Error> {
        let mut leader = None;
        wait_until("a coordinator leads", || {
            leader = self.leader();
            Ok(leader.is_some())
        })?;
        leader.ok_or_else(|| Error::Unexpected("no coordinator leads".into()))
    }

    fn status(&self, index: usize) -> Option<CoordinatorStatus> {
        self.request(index, STATUS_PATH)
    }

    /// Number of log entries that the leader has applied; `None` if no coordinator leads or the leader does not
    /// respond.
    #[must_use]
    pub fn applied_entries(&self) -> Option<u64> {
        Some(self.status(self.leader()?)?.last_applied)
    }

    /// The coordination state as the leader reports it, if it responds now.
    #[must_use]
    pub fn read_state(&self) -> Option<StateView> {
        self.request(self.leader()?, STATE_PATH)
    }

    fn request<A: serde::de::DeserializeOwned>(&self, index: usize, path: &str) -> Option<A> {
        let mut client = Client::new(self.listen_addresses[index]?.to_string(), GROUP);
        let path = path.to_string();
        // the calling thread blocks here while the proxies' runtime makes the call
        let (result_sender, result_receiver) = std::sync::mpsc::channel();
        self.runtime.spawn(async move {
            let reply = client
                .call::<serde_json::Value>(&path, None::<&()>, RESPONSE_TIMEOUT)
                .await;
            let _ = result_sender.send(reply.ok().and_then(|reply| reply.result.ok()));
        });
        serde_json::from_value(result_receiver.recv().ok()??).ok()
    }

    /// Lines that a coordinator has printed.
    pub fn output(&self, index: usize) -> Vec<String> {
        self.processes[index]
            .as_ref()
            .map(Process::lines)
            .unwrap_or_default()
    }
}
