//! Simulated senders: the real member, endpoint list and settings code on real sockets, thousands in one process,
//! without a data path and without a disk. The process reads requests as JSON lines from its standard input and writes
//! one response line for each.

use super::counters::{Mark, Report, SenderCounters, hash_sum_of};
use super::idle_engine;
use crate::Error;
use milletturn_coordination::MemberInfo;
use milletturn_coordination_protocol::clock::now;
use milletturn_engine::Input;
use milletturn_member::{CoordinatorClient, Member};
use milletturn_platform::DiscoveryBackoff;
use milletturn_platform::config::{Config, reload};
use milletturn_platform::discovery::{self, Tcp};
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io::{BufRead, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::task::{AbortHandle, LocalSet, spawn_local};

/// Settings shared by all simulated senders of a run.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct SimulationConfig {
    /// The senders' configuration file, in the format that a real sender reads.
    pub config: PathBuf,
    /// Name of the coordination group.
    pub group: String,
    /// Coordinator addresses by region; empty where there are no sessions.
    #[serde(rename = "stewards")]
    pub coordinators: Vec<Vec<String>>,
    /// Whether `coordinators` holds session proxy addresses; each sender then tries them in an order of its own.
    #[serde(rename = "through_relays")]
    pub via_session_proxies: bool,
    /// Address of the discovery service by region.
    pub discovery: Vec<SocketAddr>,
    /// Number of destinations in the first list.
    pub destinations: u64,
    /// Senders with numbers below this one open sessions.
    pub sessions: u64,
    /// Whether each session claims a resource of its own.
    #[serde(rename = "works")]
    pub claim_resources: bool,
    /// Whether each sender runs a real engine that receives its list.
    #[serde(rename = "engines")]
    pub run_engines: bool,
    /// Seed of all random numbers.
    pub seed: u64,
}

impl SimulationConfig {
    /// Returns a client for the coordinators of a region, or for its session proxies.
    fn coordinator_client(&self, region: usize, number: u64) -> CoordinatorClient {
        let addresses = &self.coordinators[region];
        if self.via_session_proxies {
            return CoordinatorClient::via_proxies(
                &self.group,
                addresses,
                &format!("hollow-{number}"),
            );
        }
        CoordinatorClient::new(&self.group, addresses)
    }
}

/// A request to the process, written as a JSON line.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Request {
    /// Start these senders.
    #[serde(rename = "Begin")]
    Start(Vec<u64>),
    /// Stop these senders as a crash would: their connections close without a message.
    Kill(Vec<u64>),
    /// Stop these senders as SIGTERM would: each closes its session first.
    #[serde(rename = "Leave")]
    Stop(Vec<u64>),
    /// From now on, measure when each sender receives the marked version.
    Mark(Mark),
    /// Reload the settings of all senders, one after the other.
    Reload,
    /// Check each sender's permission to act at this interval in milliseconds; 0 stops the checks.
    #[serde(rename = "Watch")]
    SamplePermissions(u64),
    /// Return all counters since the last report; lists are compared with the newest version given here.
    Report {
        /// The newest published version.
        version: u64,
        /// Number of destinations in the newest version.
        destinations: u64,
    },
    /// Count the senders that have received this version and those that may act on their resource now.
    #[serde(rename = "Ask")]
    CountReady(u64),
}

/// The response to a request.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Response {
    /// The request was carried out; holds the time taken in microseconds.
    Done(u64),
    /// Counters since the last report.
    Report(Box<Report>),
    /// Numbers of senders by state.
    Counts {
        /// Senders that have received this version or a later one.
        #[serde(rename = "know")]
        informed: u64,
        /// Senders that may act on their resource.
        #[serde(rename = "may")]
        permitted: u64,
        /// Senders whose session lease is still safe by their own clock.
        #[serde(rename = "hold")]
        with_session: u64,
    },
    /// The request failed; holds the error message.
    Failed(String),
}

struct SimulatedSender {
    number: u64,
    config: Config,
    counters: Rc<RefCell<SenderCounters>>,
    member: Option<Rc<Member>>,
    resource: String,
    tasks: Vec<AbortHandle>,
    /// Kept so that the channel stays open; the address of discovery never changes.
    _discovery_address: watch::Sender<SocketAddr>,
}

impl Drop for SimulatedSender {
    fn drop(&mut self) {
        self.tasks.iter().for_each(AbortHandle::abort);
    }
}

/// Runs the process until its standard input ends.
///
/// # Errors
/// Standard input can't be read or holds an invalid request, or standard output can't be written.
pub fn run() -> Result<(), Error> {
    let (line_sender, mut request_lines) = mpsc::unbounded_channel();
    std::thread::spawn(move || {
        for line in std::io::stdin().lock().lines().map_while(Result::ok) {
            if line_sender.send(line).is_err() {
                return;
            }
        }
    });
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(Error::io("a runtime"))?;
    LocalSet::new().block_on(&runtime, async move {
        let Some(first_line) = request_lines.recv().await else {
            return Ok(());
        };
        let simulation_config: SimulationConfig = parse(&first_line)?;
        let mut host = SenderHost {
            simulation_config,
            senders: BTreeMap::new(),
            current_mark: Rc::default(),
            sampling_task: None,
        };
        while let Some(line) = request_lines.recv().await {
            let started = now();
            let response = match host.execute(parse(&line)?).await {
                Ok(Some(response)) => response,
                Ok(None) => Response::Done(now().since(started).0),
                Err(error) => Response::Failed(error.to_string()),
            };
            let text = serde_json::to_string(&response)
                .map_err(|error| Error::Unexpected(error.to_string()))?;
            let mut out = std::io::stdout().lock();
            writeln!(out, "{text}")
                .and_then(|()| out.flush())
                .map_err(Error::io("standard output"))?;
        }
        Ok(())
    })
}

fn parse<T: serde::de::DeserializeOwned>(line: &str) -> Result<T, Error> {
    serde_json::from_str(line)
        .map_err(|error| Error::Unexpected(format!("invalid request: {error}")))
}

struct SenderHost {
    simulation_config: SimulationConfig,
    senders: BTreeMap<u64, SimulatedSender>,
    current_mark: Rc<RefCell<Option<Mark>>>,
    sampling_task: Option<AbortHandle>,
}

impl SenderHost {
    async fn execute(&mut self, request: Request) -> Result<Option<Response>, Error> {
        match request {
            Request::Start(numbers) => {
                for number in numbers {
                    let sender = self.start(number)?;
                    self.senders.insert(number, sender);
                    // let the senders that already run make progress
                    tokio::task::yield_now().await;
                }
            }
            Request::Kill(numbers) => numbers
                .iter()
                .for_each(|number| drop(self.senders.remove(number))),
            Request::Stop(numbers) => self.stop(&numbers).await,
            Request::Mark(mark) => {
                self.senders
                    .values()
                    .for_each(|sender| sender.counters.borrow_mut().reset_mark());
                *self.current_mark.borrow_mut() = Some(mark);
            }
            Request::Reload => {
                for sender in self.senders.values_mut() {
                    let reloaded = reload(&sender.config.path, &sender.config.keys);
                    sender.config.settings = reloaded
                        .map_err(|error| Error::Unexpected(error.to_string()))?
                        .settings;
                }
            }
            Request::SamplePermissions(interval_ms) => self.sample_permissions(interval_ms),
            Request::Report {
                version,
                destinations,
            } => {
                let (mut report, sum) = (Report::default(), hash_sum_of(destinations));
                for sender in self.senders.values() {
                    sender
                        .counters
                        .borrow_mut()
                        .report(version, destinations, sum, &mut report);
                }
                return Ok(Some(Response::Report(Box::new(report))));
            }
            Request::CountReady(version) => {
                let informed = self
                    .senders
                    .values()
                    .filter(|sender| sender.counters.borrow().has_version(version))
                    .count();
                let permitted = self
                    .senders
                    .values()
                    .filter(|sender| sender.is_permitted())
                    .count();
                let has_session = |sender: &&SimulatedSender| {
                    sender
                        .member
                        .as_ref()
                        .is_some_and(|member| member.session().is_some())
                };
                let with_session = self.senders.values().filter(has_session).count();
                let counts = Response::Counts {
                    informed: informed as u64,
                    permitted: permitted as u64,
                    with_session: with_session as u64,
                };
                return Ok(Some(counts));
            }
        }
        Ok(None)
    }

    async fn stop(&mut self, numbers: &[u64]) {
        let mut closing_tasks = Vec::new();
        for sender in numbers
            .iter()
            .filter_map(|number| self.senders.remove(number))
        {
            let Some(member) = sender.member.clone() else {
                continue;
            };
            let region = sender.counters.borrow().region;
            let mut coordinators = self
                .simulation_config
                .coordinator_client(region, sender.number);
            closing_tasks.push(spawn_local(async move {
                drop(sender);
                member.close_session(&mut coordinators).await;
            }));
        }
        for task in closing_tasks {
            // a sender that failed to close its session is removed all the same
            let _ = task.await;
        }
    }

    /// Checks each sender's permission to act at an interval and records changes in the sender's counters.
    fn sample_permissions(&mut self, interval_ms: u64) {
        if let Some(sampling_task) = self.sampling_task.take() {
            sampling_task.abort();
        }
        let probes: Vec<_> = self
            .senders
            .values()
            .filter_map(SimulatedSender::permission_probe)
            .collect();
        if interval_ms == 0 {
            return;
        }
        let task = spawn_local(async move {
            loop {
                for (member, resource, counters) in &probes {
                    counters
                        .borrow_mut()
                        .record_permission(now().0, member.permission(resource).is_some());
                }
                tokio::time::sleep(Duration::from_millis(interval_ms)).await;
            }
        });
        self.sampling_task = Some(task.abort_handle());
    }

    fn start(&self, number: u64) -> Result<SimulatedSender, Error> {
        let simulation_config = &self.simulation_config;
        let path = simulation_config.config.display().to_string();
        let name = format!("hollow-{number}");
        let region = (number % simulation_config.discovery.len() as u64) as usize;
        let discovery = simulation_config.discovery[region];
        let config = Config::from_variables(|variable| match variable {
            "RELAY_CONFIG" => Some(path.clone()),
            "RELAY_NAME" => Some(name.clone()),
            "RELAY_DISCOVERY" => Some(discovery.to_string()),
            // a path is required, but simulated senders write no state
            "RELAY_STATE" => Some("state".to_string()),
            _ => None,
        });
        let config = config.map_err(|error| Error::Unexpected(error.to_string()))?;
        let counters = Rc::new(RefCell::new(SenderCounters::new(
            region,
            now().0,
            simulation_config.destinations,
        )));
        let mut tasks = Vec::new();
        let (address_sender, addresses) = watch::channel(config.discovery_address);
        let (inputs, mut list_inputs) = mpsc::unbounded_channel();
        let seed = simulation_config.seed ^ number.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let backoff = DiscoveryBackoff::new(
            config.settings.senders,
            !config.settings.list_requires_subscription,
            seed,
        );
        tasks.push(
            spawn_local(discovery::watch_endpoints(
                Tcp, addresses, 0, backoff, inputs,
            ))
            .abort_handle(),
        );
        let (list_counters, current_mark) = (counters.clone(), self.current_mark.clone());
        if simulation_config.run_engines {
            tasks.extend(idle_engine::start(
                &config,
                list_inputs,
                list_counters,
                current_mark,
            )?);
        } else {
            let listening_task = spawn_local(async move {
                while let Some(input) = list_inputs.recv().await {
                    if let Input::EndpointsListed(update) = input {
                        list_counters.borrow_mut().record_update(
                            now().0,
                            &update,
                            *current_mark.borrow(),
                        );
                    }
                }
            });
            tasks.push(listening_task.abort_handle());
        }
        let resource = format!("w{number}");
        let mut member = None;
        if number < simulation_config.sessions && !simulation_config.coordinators.is_empty() {
            let version = env!("CARGO_PKG_VERSION").to_string();
            let member_info = MemberInfo {
                name,
                zone: String::new(),
                version,
                role: "operator".to_string(),
            };
            let claimed_resource = simulation_config.claim_resources.then(|| resource.clone());
            let (session_member, mut events) = Member::new(member_info, 20_000, claimed_resource);
            let (renewing_member, coordinators) = (
                session_member.clone(),
                simulation_config.coordinator_client(region, number),
            );
            tasks.push(
                spawn_local(
                    async move { renewing_member.maintain_session(coordinators, seed).await },
                )
                .abort_handle(),
            );
            let event_counters = counters.clone();
            let listening_task = spawn_local(async move {
                while let Some(event) = events.recv().await {
                    event_counters.borrow_mut().record_event(&event);
                }
            });
            tasks.push(listening_task.abort_handle());
            member = Some(session_member);
        }
        Ok(SimulatedSender {
            number,
            config,
            counters,
            member,
            resource,
            tasks,
            _discovery_address: address_sender,
        })
    }
}

/// A member whose permission is checked, the resource, and the counters that record changes.
type PermissionProbe = (Rc<Member>, String, Rc<RefCell<SenderCounters>>);

impl SimulatedSender {
    fn is_permitted(&self) -> bool {
        self.member
            .as_ref()
            .is_some_and(|member| member.permission(&self.resource).is_some())
    }

    fn permission_probe(&self) -> Option<PermissionProbe> {
        Some((
            self.member.clone()?,
            self.resource.clone(),
            self.counters.clone(),
        ))
    }
}
