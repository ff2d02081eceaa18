//! The product's session proxies as processes. Each connects to the coordinators through network proxies of its own;
//! where this process has enough descriptors, a metered network proxy also stands in front of each session proxy.

use super::meter::{Meter, Passed};
use super::process::Process;
use super::relay::Relay as Passage;
use super::stewards::{GROUP, Group};
use crate::Error;
use crate::cost::Cost;
use milletturn_coordination::bounds;
use milletturn_coordination_protocol::Client;
use milletturn_coordination_protocol::messages::{SESSION_PROXY_STATUS_PATH, SessionProxyStatus};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::Duration;
use tempfile::TempDir;
use tokio::runtime::Handle;

/// Longest wait for the status of a session proxy.
const WORD: Duration = Duration::from_secs(5);
/// Descriptors that this process needs besides those for senders: coordinators, session proxies, processes of simulated
/// senders, and the network proxies between them.
const OTHERS: u64 = 2_000;

/// The session proxies of a run.
#[derive(Debug)]
pub struct Relays {
    processes: Vec<Option<Process>>,
    listens: Vec<SocketAddr>,
    /// A metered network proxy in front of each session proxy; empty where members connect directly.
    front: Vec<Passage>,
    runtime: Handle,
    program: PathBuf,
    folder: TempDir,
}

/// Returns whether this process has the descriptors to meter the traffic between the given number of senders and the
/// session proxies. A network proxy takes two descriptors for each sender, and the sender's watch of the list takes
/// one.
#[must_use]
pub fn counted(senders: u64) -> bool {
    let most = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
    most.is_none_or(|most| 3 * senders + OTHERS <= most)
}

fn file(folder: &TempDir, number: usize) -> PathBuf {
    folder.path().join(format!("relay{number}.toml"))
}

fn start_one(
    program: &Path,
    folder: &TempDir,
    number: usize,
    text: &str,
) -> Result<(Process, SocketAddr), Error> {
    let file = file(folder, number);
    std::fs::write(&file, text).map_err(Error::io(file.display().to_string()))?;
    let mut command = Command::new(program);
    command.args(["relay", "--config"]).arg(&file);
    let mut process = Process::start(
        &mut command,
        &folder.path().join(format!("relay{number}.log")),
    )?;
    let said = process.until_said("listens on ")?;
    let address = said
        .parse()
        .map_err(|_| Error::Wrong(format!("no address: {said}")))?;
    Ok((process, address))
}

impl Relays {
    /// Starts the given number of session proxies. They reach the coordinators through the regions of `group` from
    /// `first` on, one region each.
    ///
    /// # Errors
    /// A session proxy does not start.
    pub fn start(
        program: &Path,
        count: usize,
        group: &Group,
        first: usize,
        counted: bool,
        runtime: &Handle,
    ) -> Result<Self, Error> {
        let folder = TempDir::new().map_err(Error::io("a folder for the relays"))?;
        let (mut processes, mut listens, mut front) = (Vec::new(), Vec::new(), Vec::new());
        for number in 0..count {
            let stewards: Vec<String> = group
                .addresses(first + number)
                .iter()
                .map(|address| format!("\"{address}\""))
                .collect();
            let text = format!(
                "group = \"{GROUP}\"\nname = \"relay-{number}\"\nlisten = \"127.0.0.1:0\"\nplaces = {}\n\
                 stewards = [{}]\n",
                bounds::MAX_PROXY_WAITERS,
                stewards.join(", ")
            );
            let (process, address) = start_one(program, &folder, number, &text)?;
            // members know the proxy by this address, which it must keep after a restart
            let text = text.replace("127.0.0.1:0", &address.to_string());
            let file = file(&folder, number);
            std::fs::write(&file, text).map_err(Error::io(file.display().to_string()))?;
            processes.push(Some(process));
            listens.push(address);
            if counted {
                let passage = Passage::start(runtime, Meter::default())?;
                passage.lead_to(Some(address));
                front.push(passage);
            }
        }
        Ok(Self {
            processes,
            listens,
            front,
            runtime: runtime.clone(),
            program: program.to_path_buf(),
            folder,
        })
    }

    /// Addresses at which members reach the session proxies.
    pub fn addresses(&self) -> Vec<String> {
        if self.front.is_empty() {
            return self.listens.iter().map(SocketAddr::to_string).collect();
        }
        self.front
            .iter()
            .map(|passage| passage.address.to_string())
            .collect()
    }

    /// Returns whether the members' bytes are counted, and not only their requests.
    #[must_use]
    pub fn counts_bytes(&self) -> bool {
        !self.front.is_empty()
    }

    /// Stops a session proxy as a crash would.
    pub fn kill(&mut self, number: usize) {
        self.front
            .get(number)
            .iter()
            .for_each(|passage| passage.lead_to(None));
        self.processes[number] = None;
    }

    /// Starts a killed session proxy again at its address.
    ///
    /// # Errors
    /// The session proxy does not start.
    pub fn start_again(&mut self, number: usize) -> Result<(), Error> {
        let file = file(&self.folder, number);
        let text = std::fs::read_to_string(&file).map_err(Error::io(file.display().to_string()))?;
        let (process, address) = start_one(&self.program, &self.folder, number, &text)?;
        self.processes[number] = Some(process);
        self.front
            .get(number)
            .iter()
            .for_each(|passage| passage.lead_to(Some(address)));
        Ok(())
    }

    /// Numbers of the running session proxies.
    pub fn running(&self) -> impl Iterator<Item = usize> {
        self.processes
            .iter()
            .enumerate()
            .filter(|(_, process)| process.is_some())
            .map(|(number, _)| number)
    }

    /// Returns what a session proxy has cost so far, and its traffic with its members. Without a network proxy in front
    /// there are no byte counts, and each request that the session proxy counted is taken to have had a response.
    ///
    /// # Errors
    /// The session proxy is not running or does not respond.
    pub fn read(&self, number: usize) -> Result<(Cost, Passed), Error> {
        let process = self.processes[number].as_ref();
        let process =
            process.ok_or_else(|| Error::Wrong(format!("relay {number} is not running")))?;
        let cost = Cost::of(process.id())?;
        if let Some(passage) = self.front.get(number) {
            return Ok((cost, passage.meter.sum()));
        }
        let status = self.status(number)?;
        let asked = status.heartbeats + status.commands;
        Ok((
            cost,
            Passed {
                asked,
                told: asked,
                ..Passed::default()
            },
        ))
    }

    /// Reads the counters that a session proxy reports about itself.
    ///
    /// # Errors
    /// The session proxy does not respond.
    pub fn status(&self, number: usize) -> Result<SessionProxyStatus, Error> {
        let mut line = Client::new(self.listens[number].to_string(), GROUP);
        // the calling thread blocks here while the network proxies' runtime makes the call
        let (answer, answered) = std::sync::mpsc::channel();
        self.runtime.spawn(async move {
            let _ = answer.send(
                line.call::<SessionProxyStatus>(SESSION_PROXY_STATUS_PATH, None::<&()>, WORD)
                    .await,
            );
        });
        let silent = || Error::Wrong(format!("relay {number} does not tell its figures"));
        let reply = answered
            .recv()
            .map_err(|_| silent())?
            .map_err(|error| Error::Wrong(error.to_string()))?;
        reply.result.map_err(|_| silent())
    }
}
