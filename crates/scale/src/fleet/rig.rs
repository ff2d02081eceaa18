//! The harness: starts coordinators, discovery and simulated senders together, and reads what each has cost.

use super::discovery::{Discovery, Form};
use super::herd::Herd;
use super::hollow::Common;
use super::meter::Passed;
use super::process::until;
use super::real::{Endpoint, config};
use super::relays::{self, Relays};
use super::stewards::{GROUP, Group, Setup};
use super::thread::Thread;
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
pub struct Parts {
    /// Number of simulated senders; none starts by itself.
    pub senders: u64,
    /// Simulated senders in one process.
    pub each: u64,
    /// Simulated senders that open sessions; without coordinators, none does.
    pub sessions: u64,
    /// The coordinators, if there are any.
    pub stewards: Option<Setup>,
    /// Number of the product's session proxies between senders and coordinators; with 0, senders connect directly.
    pub relays: usize,
    /// Whether each session claims a resource of its own; the coordination state holds 4,096.
    pub works: bool,
    /// Number of sender groups whose network can be cut off separately.
    pub regions: usize,
    /// Form of the first list.
    pub form: Form,
    /// Whether each sender polls for the list (the setting `on_request`) instead of having it pushed.
    pub on_request: bool,
    /// Whether each simulated sender runs a real engine that receives its list.
    pub engines: bool,
    /// Seed of all random numbers.
    pub seed: u64,
}

/// A running harness.
#[derive(Debug)]
pub struct Rig {
    /// Test double of the platform's discovery service.
    pub discovery: Discovery,
    /// The coordinators, if there are any.
    pub stewards: Option<Group>,
    /// The session proxies, if there are any.
    pub relays: Option<Relays>,
    /// The simulated senders.
    pub herd: Herd,
    /// The endpoint that real senders deliver to.
    pub endpoint: Endpoint,
    /// Configuration file of all senders.
    pub config: PathBuf,
    /// Thread that runs only the discovery test double, so that its processor time is known.
    pub list: Thread,
    /// Thread that runs the network proxies, the endpoint and the clients.
    pub ways: Thread,
    parts: Parts,
    _folder: TempDir,
}

/// Accumulated cost and traffic at one moment.
#[derive(Debug, Clone, Default)]
pub struct Reading {
    /// When the values were read.
    pub at: Option<Instant>,
    /// Per coordinator: cost, traffic with senders, its requests to other coordinators, and their requests to it.
    pub stewards: Vec<(Cost, Passed, Passed, Passed)>,
    /// Cost of all simulated senders together.
    pub herd: Cost,
    /// Traffic of the endpoint list.
    pub list: Passed,
    /// Processor time of the discovery test double, in seconds.
    pub list_cpu_s: f64,
}

impl Rig {
    /// Starts all parts; no sender is running yet.
    ///
    /// # Errors
    /// A part does not start.
    pub fn start(programs: &Programs, parts: Parts) -> Result<Self, Error> {
        let folder = TempDir::new().map_err(Error::io("a folder"))?;
        let path = folder.path().join("config.json");
        let text = config(parts.senders.max(1), parts.on_request);
        std::fs::write(&path, text).map_err(Error::io(path.display().to_string()))?;
        let (list, ways) = (Thread::start("list")?, Thread::start("ways")?);
        let endpoint = Endpoint::start(ways.handle())?;
        let discovery =
            Discovery::start(list.handle(), parts.regions, parts.form, endpoint.address)?;
        // each session proxy connects to the coordinators as a region of its own
        let setup = parts.stewards.map(|setup| Setup {
            regions: parts.regions + parts.relays,
            ..setup
        });
        let stewards = setup
            .map(|setup| Group::start(&programs.sender, setup, ways.handle()))
            .transpose()?;
        let relays = match &stewards {
            Some(group) if parts.relays > 0 => {
                let counted = relays::counted(parts.senders);
                let (first, runtime) = (parts.regions, ways.handle());
                Some(Relays::start(
                    &programs.sender,
                    parts.relays,
                    group,
                    first,
                    counted,
                    runtime,
                )?)
            }
            _ => None,
        };
        let addresses = |group: &Group| {
            let of = |region| {
                relays
                    .as_ref()
                    .map_or_else(|| group.addresses(region), Relays::addresses)
            };
            (0..parts.regions).map(of).collect()
        };
        let common = Common {
            config: path.clone(),
            group: GROUP.to_string(),
            stewards: stewards.as_ref().map(addresses).unwrap_or_default(),
            discovery: discovery.addresses.clone(),
            destinations: parts.form.destinations,
            sessions: parts.sessions,
            through_relays: relays.is_some(),
            works: parts.works,
            engines: parts.engines,
            seed: parts.seed,
        };
        let herd = Herd::start(&programs.scale, &common, parts.senders, parts.each)?;
        Ok(Rig {
            discovery,
            stewards,
            relays,
            herd,
            endpoint,
            config: path,
            list,
            ways,
            parts,
            _folder: folder,
        })
    }

    /// Returns the configuration.
    #[must_use]
    pub fn parts(&self) -> &Parts {
        &self.parts
    }

    /// Starts these senders and waits until each knows the list and, if it has a session, holds its resource.
    ///
    /// # Errors
    /// They do not within the time limit.
    pub fn begin(&mut self, numbers: std::ops::Range<u64>) -> Result<(), Error> {
        let all: Vec<u64> = numbers.clone().collect();
        self.herd.begin(&all)?;
        let sessions = if self.stewards.is_some() {
            numbers.end.min(self.parts.sessions)
        } else {
            0
        };
        self.until_all(numbers.end, sessions)
    }

    /// Waits until `know` senders know the current list and `may` senders may act on their resource.
    ///
    /// # Errors
    /// They do not within the time limit.
    pub fn until_all(&mut self, know: u64, may: u64) -> Result<(), Error> {
        let mut last = (0, 0);
        let reached = until("all senders know the list and have their work", || {
            std::thread::sleep(Duration::from_millis(100));
            last = self.herd.ask(self.discovery.version())?;
            Ok(last.0 >= know && last.1 >= may)
        });
        reached.map_err(|error| Error::Wrong(format!("{error}: {last:?} of {know} and {may}")))
    }

    /// Reads the accumulated cost and traffic.
    ///
    /// # Errors
    /// A process has ended.
    pub fn read(&self) -> Result<Reading, Error> {
        let mut stewards = Vec::new();
        if let Some(group) = &self.stewards {
            for place in group.places() {
                let (asks, asked) = group.others(place);
                stewards.push((group.cost(place)?, group.members(place), asks, asked));
            }
        }
        Ok(Reading {
            at: Some(Instant::now()),
            stewards,
            herd: self.herd.cost()?,
            list: self.discovery.meter.sum(),
            list_cpu_s: self.list.cpu_s(),
        })
    }

    /// Publishes changes at `rate` per second for a span; returns the readings before and after and the number
    /// published.
    ///
    /// # Errors
    /// A process has ended.
    pub fn span(&mut self, span: Duration, rate: f64) -> Result<(Reading, Reading, u64), Error> {
        let before = self.read()?;
        let published = publish_for(&self.discovery, span, rate);
        Ok((before, self.read()?, published))
    }
}

/// Publishes changes at `rate` per second for a span; returns the number published.
#[must_use]
pub fn publish_for(discovery: &Discovery, span: Duration, rate: f64) -> u64 {
    let begun = Instant::now();
    let mut published = 0;
    loop {
        let next = if rate > 0.0 {
            // publish in the middle of each interval, so that nothing happens at either end of the span
            begun + Duration::from_secs_f64((published as f64 + 0.5) / rate)
        } else {
            begun + span
        };
        let until = next.min(begun + span);
        std::thread::sleep(until.saturating_duration_since(Instant::now()));
        if next >= begun + span {
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
        return Err(Error::Wrong(format!(
            "{} is not there; build it first",
            sender.display()
        )));
    }
    Ok(Programs { sender, scale })
}
