//! The harness: starts coordinators, discovery and simulated senders together, and reads the cost of each.

use super::coordinators::{CoordinatorGroup, GROUP, GroupConfig};
use super::discovery::{Discovery, ListLayout};
use super::meter::Traffic;
use super::process::wait_until;
use super::real_senders::{Endpoint, sender_config};
use super::runtime_thread::RuntimeThread;
use super::session_proxies::{self, SessionProxies};
use super::simulated_fleet::SimulatedFleet;
use super::simulated_senders::SimulationConfig;
use crate::Error;
use crate::cost::Cost;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use tempfile::TempDir;

/// Paths of the programs that a run starts.
#[derive(Debug, Clone)]
pub struct Programs {
    /// The product's program.
    pub sender: PathBuf,
    /// The program of this crate; its command `hollow` runs a process of simulated senders.
    pub scale: PathBuf,
}

/// Configuration of a harness.
#[derive(Debug, Clone)]
pub struct HarnessOptions {
    /// Number of simulated senders; they run only after [`Harness::start_senders`].
    pub senders: u64,
    /// Number of simulated senders in each process.
    pub senders_per_process: u64,
    /// Number of simulated senders that open sessions; has no effect without coordinators.
    pub sessions: u64,
    /// The coordinators, if there are any.
    pub coordinators: Option<GroupConfig>,
    /// Number of the product's session proxies between senders and coordinators; with 0, senders connect directly.
    pub session_proxies: usize,
    /// Whether each session claims a resource of its own; the coordination state holds at most 4,096 resources.
    pub claim_resources: bool,
    /// Number of sender groups whose network can be cut off separately.
    pub regions: usize,
    /// How the first list is sent.
    pub list_layout: ListLayout,
    /// Whether each sender subscribes to the list itself (the setting `on_request`) instead of having it pushed.
    pub on_request: bool,
    /// Whether each simulated sender runs a real engine that receives its list.
    pub run_engines: bool,
    /// Seed of all random numbers.
    pub seed: u64,
}

/// A running harness.
#[derive(Debug)]
pub struct Harness {
    /// Test double of the platform's discovery service.
    pub discovery: Discovery,
    /// The coordinators, if there are any.
    pub coordinators: Option<CoordinatorGroup>,
    /// The session proxies, if there are any.
    pub session_proxies: Option<SessionProxies>,
    /// The simulated senders.
    pub fleet: SimulatedFleet,
    /// The endpoint that real senders deliver to.
    pub endpoint: Endpoint,
    /// Configuration file of all senders.
    pub config: PathBuf,
    /// Thread that runs only the discovery test double, so that its processor time is known.
    pub discovery_thread: RuntimeThread,
    /// Thread that runs the network proxies, the endpoint and the clients.
    pub proxy_thread: RuntimeThread,
    options: HarnessOptions,
    _folder: TempDir,
}

/// Cost and traffic accumulated since the start of the processes, up to one moment.
#[derive(Debug, Clone, Default)]
pub struct Reading {
    /// When the values were read.
    pub at: Option<Instant>,
    /// Per coordinator: cost, traffic with senders, its requests to other coordinators, and their requests to it.
    pub coordinators: Vec<(Cost, Traffic, Traffic, Traffic)>,
    /// Cost of all simulated senders together.
    pub fleet: Cost,
    /// Traffic of the endpoint list.
    pub list: Traffic,
    /// Processor time of the discovery test double, in seconds.
    pub list_cpu_s: f64,
}

impl Harness {
    /// Starts all parts; no sender is running yet.
    ///
    /// # Errors
    /// A part does not start.
    pub fn start(programs: &Programs, options: HarnessOptions) -> Result<Self, Error> {
        let folder = TempDir::new().map_err(Error::io("a temporary directory"))?;
        let path = folder.path().join("config.json");
        let text = sender_config(options.senders.max(1), options.on_request);
        std::fs::write(&path, text).map_err(Error::io(path.display().to_string()))?;
        let (discovery_thread, proxy_thread) =
            (RuntimeThread::start("list")?, RuntimeThread::start("ways")?);
        let endpoint = Endpoint::start(proxy_thread.handle())?;
        let discovery = Discovery::start(
            discovery_thread.handle(),
            options.regions,
            options.list_layout,
            endpoint.address,
        )?;
        // each session proxy connects to the coordinators as a region of its own
        let group_config = options.coordinators.map(|group_config| GroupConfig {
            regions: options.regions + options.session_proxies,
            ..group_config
        });
        let coordinators = group_config
            .map(|group_config| {
                CoordinatorGroup::start(&programs.sender, group_config, proxy_thread.handle())
            })
            .transpose()?;
        let session_proxies = match &coordinators {
            Some(group) if options.session_proxies > 0 => {
                let metered = session_proxies::can_meter(options.senders);
                let (first_region, runtime) = (options.regions, proxy_thread.handle());
                Some(SessionProxies::start(
                    &programs.sender,
                    options.session_proxies,
                    group,
                    first_region,
                    metered,
                    runtime,
                )?)
            }
            _ => None,
        };
        let addresses = |group: &CoordinatorGroup| {
            let addresses_of = |region| {
                session_proxies
                    .as_ref()
                    .map_or_else(|| group.addresses(region), SessionProxies::addresses)
            };
            (0..options.regions).map(addresses_of).collect()
        };
        let simulation_config = SimulationConfig {
            config: path.clone(),
            group: GROUP.to_string(),
            coordinators: coordinators.as_ref().map(addresses).unwrap_or_default(),
            discovery: discovery.addresses.clone(),
            destinations: options.list_layout.destinations,
            sessions: options.sessions,
            via_session_proxies: session_proxies.is_some(),
            claim_resources: options.claim_resources,
            run_engines: options.run_engines,
            seed: options.seed,
        };
        let fleet = SimulatedFleet::start(
            &programs.scale,
            &simulation_config,
            options.senders,
            options.senders_per_process,
        )?;
        Ok(Harness {
            discovery,
            coordinators,
            session_proxies,
            fleet,
            endpoint,
            config: path,
            discovery_thread,
            proxy_thread,
            options,
            _folder: folder,
        })
    }

    /// Returns the configuration.
    #[must_use]
    pub fn options(&self) -> &HarnessOptions {
        &self.options
    }

    /// Starts these senders and waits until all senders below the end of the range have the current list and, if they
    /// have a session, hold their resource. Senders below the start of the range must be running already.
    ///
    /// # Errors
    /// The senders are not ready within [`WAIT_TIMEOUT`](super::process::WAIT_TIMEOUT), or a process has ended.
    pub fn start_senders(&mut self, numbers: std::ops::Range<u64>) -> Result<(), Error> {
        let all: Vec<u64> = numbers.clone().collect();
        self.fleet.start_senders(&all)?;
        let sessions = if self.coordinators.is_some() {
            numbers.end.min(self.options.sessions)
        } else {
            0
        };
        self.wait_until_ready(numbers.end, sessions)
    }

    /// Waits until `informed` senders have the current list and `permitted` senders may act on their resource.
    ///
    /// # Errors
    /// The senders are not ready within [`WAIT_TIMEOUT`](super::process::WAIT_TIMEOUT), or a process has ended.
    pub fn wait_until_ready(&mut self, informed: u64, permitted: u64) -> Result<(), Error> {
        let mut last = (0, 0);
        let reached = wait_until(
            "all senders have the current list and hold their resources",
            || {
                std::thread::sleep(Duration::from_millis(100));
                last = self.fleet.count_ready(self.discovery.version())?;
                Ok(last.0 >= informed && last.1 >= permitted)
            },
        );
        reached.map_err(|error| {
            Error::Unexpected(format!("{error}: {last:?} of {informed} and {permitted}"))
        })
    }

    /// Reads the accumulated cost and traffic.
    ///
    /// # Errors
    /// A process has ended.
    pub fn read(&self) -> Result<Reading, Error> {
        let mut coordinators = Vec::new();
        if let Some(group) = &self.coordinators {
            for index in group.indices() {
                let (sent_to_peers, received_from_peers) = group.peer_traffic(index);
                coordinators.push((
                    group.cost(index)?,
                    group.member_traffic(index),
                    sent_to_peers,
                    received_from_peers,
                ));
            }
        }
        Ok(Reading {
            at: Some(Instant::now()),
            coordinators,
            fleet: self.fleet.cost()?,
            list: self.discovery.meter.sum(),
            list_cpu_s: self.discovery_thread.cpu_s(),
        })
    }

    /// Publishes changes at `rate` per second for a span; returns the readings before and after and the number
    /// published.
    ///
    /// # Errors
    /// A process has ended.
    pub fn measure_span(
        &mut self,
        span: Duration,
        rate: f64,
    ) -> Result<(Reading, Reading, u64), Error> {
        let before = self.read()?;
        let published = publish_for(&self.discovery, span, rate);
        Ok((before, self.read()?, published))
    }
}

/// Publishes changes at `rate` per second for a span; returns the number published.
#[must_use]
pub fn publish_for(discovery: &Discovery, span: Duration, rate: f64) -> u64 {
    let started = Instant::now();
    let mut published = 0;
    loop {
        let next = if rate > 0.0 {
            // publish in the middle of each interval, so that nothing happens at either end of the span
            started + Duration::from_secs_f64((published as f64 + 0.5) / rate)
        } else {
            started + span
        };
        let until = next.min(started + span);
        std::thread::sleep(until.saturating_duration_since(Instant::now()));
        if next >= started + span {
            return published;
        }
        discovery.publish();
        published += 1;
    }
}

/// Locates the product's program and this one.
///
/// # Errors
/// The product's program does not exist; `cargo build --release -p milletturn` builds it.
pub fn programs(sender: Option<&Path>) -> Result<Programs, Error> {
    let scale = std::env::current_exe().map_err(Error::io("this program"))?;
    let sender = sender.map_or_else(|| scale.with_file_name("milletturn"), Path::to_path_buf);
    if !sender.is_file() {
        return Err(Error::Unexpected(format!(
            "program {} not found; build it first",
            sender.display()
        )));
    }
    Ok(Programs { sender, scale })
}
