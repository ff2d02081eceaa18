//! Simulated senders: the real member, endpoint list and settings code on real sockets, thousands in one process,
//! without a data path and without a disk. The process reads orders as JSON lines from its standard input and writes
//! one response line for each.

use super::bare;
use super::tally::{Mark, Report, Tally, sum_of};
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
pub struct Common {
    /// The senders' configuration file, in the format that a real sender reads.
    pub config: PathBuf,
    /// Name of the coordination group.
    pub group: String,
    /// Coordinator addresses by region; empty where there are no sessions.
    pub stewards: Vec<Vec<String>>,
    /// Whether `stewards` holds session proxy addresses; each sender then tries them in an order of its own.
    pub through_relays: bool,
    /// Address of the discovery service by region.
    pub discovery: Vec<SocketAddr>,
    /// Number of destinations in the first list.
    pub destinations: u64,
    /// Senders with numbers below this one open sessions.
    pub sessions: u64,
    /// Whether each session claims a resource of its own.
    pub works: bool,
    /// Whether each sender runs a real engine that receives its list.
    pub engines: bool,
    /// Seed of all random numbers.
    pub seed: u64,
}

impl Common {
    /// Returns a client for the coordinators of a region, or for its session proxies.
    fn way(&self, region: usize, number: u64) -> CoordinatorClient {
        let addresses = &self.stewards[region];
        if self.through_relays {
            return CoordinatorClient::via_proxies(
                &self.group,
                addresses,
                &format!("hollow-{number}"),
            );
        }
        CoordinatorClient::new(&self.group, addresses)
    }
}

/// An order to the process, written as a JSON line.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Order {
    /// Start these senders.
    Begin(Vec<u64>),
    /// Stop these senders as a crash would: their connections close without a message.
    Kill(Vec<u64>),
    /// Stop these senders as SIGTERM would: each closes its session first.
    Leave(Vec<u64>),
    /// Measure from now on when each sender receives this version.
    Mark(Mark),
    /// Reload the settings of all senders, one after the other.
    Reload,
    /// Check each sender's permission to act at this interval in milliseconds; 0 stops the checks.
    Watch(u64),
    /// Return all counters since the last report; lists are compared with the newest version given here.
    Report {
        /// The newest published version.
        version: u64,
        /// Number of destinations in the newest version.
        destinations: u64,
    },
    /// Count the senders that know this version and those that may act on their resource now.
    Ask(u64),
}

/// The response to an order.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Answer {
    /// The order was carried out; holds the time taken in microseconds.
    Done(u64),
    /// Counters since the last report.
    Report(Box<Report>),
    /// Numbers of senders by state.
    Counts {
        /// Senders that know this version or a later one.
        know: u64,
        /// Senders that may act on their resource.
        may: u64,
        /// Senders whose session lease has not expired.
        hold: u64,
    },
    /// The order failed; holds the error message.
    Failed(String),
}

struct Sender {
    number: u64,
    config: Config,
    tally: Rc<RefCell<Tally>>,
    member: Option<Rc<Member>>,
    work: String,
    tasks: Vec<AbortHandle>,
    /// Kept so that the channel stays open; the agent's address never changes.
    _agent: watch::Sender<SocketAddr>,
}

impl Drop for Sender {
    fn drop(&mut self) {
        self.tasks.iter().for_each(AbortHandle::abort);
    }
}

/// Runs the process until its standard input ends.
///
/// # Errors
/// Standard input can't be read or holds an invalid order, or standard output can't be written.
pub fn run() -> Result<(), Error> {
    let (orders, mut received) = mpsc::unbounded_channel();
    std::thread::spawn(move || {
        for line in std::io::stdin().lock().lines().map_while(Result::ok) {
            if orders.send(line).is_err() {
                return;
            }
        }
    });
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(Error::io("a runtime"))?;
    LocalSet::new().block_on(&runtime, async move {
        let Some(first) = received.recv().await else {
            return Ok(());
        };
        let common: Common = read(&first)?;
        let mut house = House {
            common,
            senders: BTreeMap::new(),
            marks: Rc::default(),
            watching: None,
        };
        while let Some(line) = received.recv().await {
            let begun = now();
            let answer = match house.obey(read(&line)?).await {
                Ok(Some(answer)) => answer,
                Ok(None) => Answer::Done(now().since(begun).0),
                Err(error) => Answer::Failed(error.to_string()),
            };
            let text =
                serde_json::to_string(&answer).map_err(|error| Error::Wrong(error.to_string()))?;
            let mut out = std::io::stdout().lock();
            writeln!(out, "{text}")
                .and_then(|()| out.flush())
                .map_err(Error::io("standard output"))?;
        }
        Ok(())
    })
}

fn read<T: serde::de::DeserializeOwned>(line: &str) -> Result<T, Error> {
    serde_json::from_str(line)
        .map_err(|error| Error::Wrong(format!("an order that can't be read: {error}")))
}

struct House {
    common: Common,
    senders: BTreeMap<u64, Sender>,
    marks: Rc<RefCell<Option<Mark>>>,
    watching: Option<AbortHandle>,
}

impl House {
    async fn obey(&mut self, order: Order) -> Result<Option<Answer>, Error> {
        match order {
            Order::Begin(numbers) => {
                for number in numbers {
                    let sender = self.begin(number)?;
                    self.senders.insert(number, sender);
                    // let the senders that already run make progress
                    tokio::task::yield_now().await;
                }
            }
            Order::Kill(numbers) => numbers
                .iter()
                .for_each(|number| drop(self.senders.remove(number))),
            Order::Leave(numbers) => self.leave(&numbers).await,
            Order::Mark(mark) => {
                self.senders
                    .values()
                    .for_each(|sender| sender.tally.borrow_mut().unmark());
                *self.marks.borrow_mut() = Some(mark);
            }
            Order::Reload => {
                for sender in self.senders.values_mut() {
                    let read = reload(&sender.config.path, &sender.config.keys);
                    sender.config.settings = read
                        .map_err(|error| Error::Wrong(error.to_string()))?
                        .settings;
                }
            }
            Order::Watch(every) => self.watch(every),
            Order::Report {
                version,
                destinations,
            } => {
                let (mut report, sum) = (Report::default(), sum_of(destinations));
                for sender in self.senders.values() {
                    sender
                        .tally
                        .borrow_mut()
                        .report(version, destinations, sum, &mut report);
                }
                return Ok(Some(Answer::Report(Box::new(report))));
            }
            Order::Ask(version) => {
                let know = self
                    .senders
                    .values()
                    .filter(|sender| sender.tally.borrow().knows(version))
                    .count();
                let may = self.senders.values().filter(|sender| sender.may()).count();
                let holds = |sender: &&Sender| {
                    sender
                        .member
                        .as_ref()
                        .is_some_and(|one| one.session().is_some())
                };
                let hold = self.senders.values().filter(holds).count();
                let counts = Answer::Counts {
                    know: know as u64,
                    may: may as u64,
                    hold: hold as u64,
                };
                return Ok(Some(counts));
            }
        }
        Ok(None)
    }

    async fn leave(&mut self, numbers: &[u64]) {
        let mut leaving = Vec::new();
        for sender in numbers
            .iter()
            .filter_map(|number| self.senders.remove(number))
        {
            let Some(member) = sender.member.clone() else {
                continue;
            };
            let region = sender.tally.borrow().region;
            let mut stewards = self.common.way(region, sender.number);
            leaving.push(spawn_local(async move {
                drop(sender);
                member.close_session(&mut stewards).await;
            }));
        }
        for one in leaving {
            // a sender that failed to close its session is removed all the same
            let _ = one.await;
        }
    }

    /// Checks each sender's permission to act at an interval and records changes in the sender's tally.
    fn watch(&mut self, every: u64) {
        if let Some(watching) = self.watching.take() {
            watching.abort();
        }
        let seen: Vec<_> = self.senders.values().filter_map(Sender::seen).collect();
        if every == 0 {
            return;
        }
        let task = spawn_local(async move {
            loop {
                for (member, work, tally) in &seen {
                    tally
                        .borrow_mut()
                        .may(now().0, member.permission(work).is_some());
                }
                tokio::time::sleep(Duration::from_millis(every)).await;
            }
        });
        self.watching = Some(task.abort_handle());
    }

    fn begin(&self, number: u64) -> Result<Sender, Error> {
        let common = &self.common;
        let path = common.config.display().to_string();
        let name = format!("hollow-{number}");
        let region = (number % common.discovery.len() as u64) as usize;
        let discovery = common.discovery[region];
        let config = Config::from_variables(|variable| match variable {
            "RELAY_CONFIG" => Some(path.clone()),
            "RELAY_NAME" => Some(name.clone()),
            "RELAY_DISCOVERY" => Some(discovery.to_string()),
            // a path is required, but simulated senders write no state
            "RELAY_STATE" => Some("state".to_string()),
            _ => None,
        });
        let config = config.map_err(|error| Error::Wrong(error.to_string()))?;
        let tally = Rc::new(RefCell::new(Tally::new(
            region,
            now().0,
            common.destinations,
        )));
        let mut tasks = Vec::new();
        let (agent, agents) = watch::channel(config.discovery_address);
        let (inputs, mut listed) = mpsc::unbounded_channel();
        let seed = common.seed ^ number.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let asking = DiscoveryBackoff::new(
            config.settings.senders,
            !config.settings.list_requires_subscription,
            seed,
        );
        tasks.push(
            spawn_local(discovery::watch_endpoints(Tcp, agents, 0, asking, inputs)).abort_handle(),
        );
        let (told, marks) = (tally.clone(), self.marks.clone());
        if common.engines {
            tasks.extend(bare::start(&config, listed, told, marks)?);
        } else {
            let hearing = spawn_local(async move {
                while let Some(input) = listed.recv().await {
                    if let Input::EndpointsListed(update) = input {
                        told.borrow_mut().listed(now().0, &update, *marks.borrow());
                    }
                }
            });
            tasks.push(hearing.abort_handle());
        }
        let work = format!("w{number}");
        let mut member = None;
        if number < common.sessions && !common.stewards.is_empty() {
            let version = env!("CARGO_PKG_VERSION").to_string();
            let about = MemberInfo {
                name,
                zone: String::new(),
                version,
                role: "operator".to_string(),
            };
            let wanted = common.works.then(|| work.clone());
            let (joins, mut news) = Member::new(about, 20_000, wanted);
            let (keeper, stewards) = (joins.clone(), common.way(region, number));
            tasks.push(
                spawn_local(async move { keeper.maintain_session(stewards, seed).await })
                    .abort_handle(),
            );
            let told = tally.clone();
            let hearing = spawn_local(async move {
                while let Some(news) = news.recv().await {
                    told.borrow_mut().news(&news);
                }
            });
            tasks.push(hearing.abort_handle());
            member = Some(joins);
        }
        Ok(Sender {
            number,
            config,
            tally,
            member,
            work,
            tasks,
            _agent: agent,
        })
    }
}

/// A member whose permission is checked, the resource, and the tally that records changes.
type Seen = (Rc<Member>, String, Rc<RefCell<Tally>>);

impl Sender {
    fn may(&self) -> bool {
        self.member
            .as_ref()
            .is_some_and(|member| member.permission(&self.work).is_some())
    }

    fn seen(&self) -> Option<Seen> {
        Some((self.member.clone()?, self.work.clone(), self.tally.clone()))
    }
}
