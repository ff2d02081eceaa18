//! Hollow senders: the real member, list and settings code on real sockets, thousands in a process, with no data
//! path and no disk. This process takes orders as JSON lines on its standard input and answers each with one.

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

/// What all hollow senders of a run have in common.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Common {
    /// The file of their settings, as a real sender has it.
    pub config: PathBuf,
    /// The stewards' group.
    pub group: String,
    /// The stewards' addresses, by region; empty where there are no sessions.
    pub stewards: Vec<Vec<String>>,
    /// These are relays' addresses, and each sender has its own order of them.
    pub through_relays: bool,
    /// Where the list is watched, by region.
    pub discovery: Vec<SocketAddr>,
    /// Destinations of the first list.
    pub destinations: u64,
    /// Senders with lower numbers open sessions.
    pub sessions: u64,
    /// Each session wants a piece of work of its own.
    pub works: bool,
    /// Each has a real engine behind its list.
    pub engines: bool,
    /// Of all that is drawn at random.
    pub seed: u64,
}

impl Common {
    /// A sender's way to the stewards.
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

/// An order to the process.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Order {
    /// Begin these senders.
    Begin(Vec<u64>),
    /// End these as a crash would: their connections close and they say nothing.
    Kill(Vec<u64>),
    /// End these as SIGTERM would: each gives its session back first.
    Leave(Vec<u64>),
    /// Count who hears of this version from now on.
    Mark(Mark),
    /// Read the settings anew, all senders, one after the other.
    Reload,
    /// Look at leave to act every so many milliseconds; 0 for no more.
    Watch(u64),
    /// Tell all figures since the last report. The list has so many destinations now, the last of this version.
    Report {
        /// The newest version.
        version: u64,
        /// Destinations in it.
        destinations: u64,
    },
    /// How many know this version, and how many may act for their work now.
    Ask(u64),
}

/// An answer.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Answer {
    /// It is done; how long it took in microseconds.
    Done(u64),
    /// The figures.
    Report(Box<Report>),
    /// So many know the version, so many may act.
    Counts {
        /// Senders that know this version or a later one.
        know: u64,
        /// Senders that have leave to act for their work.
        may: u64,
        /// Senders that hold a session whose last safe moment is ahead.
        hold: u64,
    },
    /// It could not be done.
    Failed(String),
}

struct Sender {
    number: u64,
    config: Config,
    tally: Rc<RefCell<Tally>>,
    member: Option<Rc<Member>>,
    work: String,
    tasks: Vec<AbortHandle>,
    /// Held for as long as the sender lives: its agent does not move.
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
/// Its input can't be read.
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
                    // those that run go on meanwhile
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
            // a sender that could not leave is gone all the same
            let _ = one.await;
        }
    }

    /// Looks at each sender's leave to act; what changes goes into its tally.
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
            // nothing is written there
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

/// Whose leave is looked at, for which work, and where it is told.
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
