//! The product's session proxies as processes. Each connects to the coordinators through network proxies of its own;
//! where this process has enough descriptors, a metered network proxy also stands in front of each session proxy.

use super::coordinators::{CoordinatorGroup, GROUP};
use super::meter::{Meter, Traffic};
use super::network_proxy::NetworkProxy;
use super::process::Process;
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
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);
/// Descriptors that this process needs besides those for senders: coordinators, session proxies, processes of simulated
/// senders, and the network proxies between them.
const RESERVED_DESCRIPTORS: u64 = 2_000;

/// The session proxies of a run.
#[derive(Debug)]
pub struct SessionProxies {
    processes: Vec<Option<Process>>,
    listen_addresses: Vec<SocketAddr>,
    /// A metered network proxy in front of each session proxy; empty where members connect directly.
    front_proxies: Vec<NetworkProxy>,
    runtime: Handle,
    program: PathBuf,
    folder: TempDir,
}

/// Returns whether this process has enough descriptors to meter the traffic between the given number of senders and the
/// session proxies. A network proxy takes two descriptors for each sender, and the sender's watch of the list takes
/// one.
#[must_use]
pub fn can_meter(senders: u64) -> bool {
    let max_descriptors = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
    max_descriptors
        .is_none_or(|max_descriptors| 3 * senders + RESERVED_DESCRIPTORS <= max_descriptors)
}

fn config_path(folder: &TempDir, number: usize) -> PathBuf {
    folder.path().join(format!("relay{number}.toml"))
}

fn start_one(
    program: &Path,
    folder: &TempDir,
    number: usize,
    text: &str,
) -> Result<(Process, SocketAddr), Error> {
    let config_path = config_path(folder, number);
    std::fs::write(&config_path, text).map_err(Error::io(config_path.display().to_string()))?;
    let mut command = Command::new(program);
    command.args(["relay", "--config"]).arg(&config_path);
    let mut process = Process::start(
        &mut command,
        &folder.path().join(format!("relay{number}.log")),
    )?;
    let address_text = process.wait_for_output("listens on ")?;
    let address = address_text.parse().map_err(|_| {
        Error::Unexpected(format!("expected a listen address, got: {address_text}"))
    })?;
    Ok((process, address))
}

impl SessionProxies {
    /// Starts the given number of session proxies. They reach the coordinators through the regions of `group` from
    /// `first_region` on, one region each.
    ///
    /// # Errors
    /// A session proxy does not start.
    pub fn start(
        program: &Path,
        count: usize,
        group: &CoordinatorGroup,
        first_region: usize,
        metered: bool,
        runtime: &Handle,
    ) -> Result<Self, Error> {
        let folder =
            TempDir::new().map_err(Error::io("a temporary directory for the session proxies"))?;
        let (mut processes, mut listen_addresses, mut front_proxies) =
            (Vec::new(), Vec::new(), Vec::new());
        for number in 0..count {
            let coordinators: Vec<String> = group
                .addresses(first_region + number)
                .iter()
                .map(|address| format!("\"{address}\""))
                .collect();
            let text = format!(
                "group = \"{GROUP}\"\nname = \"relay-{number}\"\nlisten = \"127.0.0.1:0\"\nplaces = {}\n\
                 stewards = [{}]\n",
                bounds::MAX_PROXY_WAITERS,
                coordinators.join(", ")
            );
            let (process, address) = start_one(program, &folder, number, &text)?;
            // members know the proxy by this address, which it must keep after a restart
            let text = text.replace("127.0.0.1:0", &address.to_string());
            let config_path = config_path(&folder, number);
            std::fs::write(&config_path, text)
                .map_err(Error::io(config_path.display().to_string()))?;
            processes.push(Some(process));
            listen_addresses.push(address);
            if metered {
                let proxy = NetworkProxy::start(runtime, Meter::default())?;
                proxy.set_upstream(Some(address));
                front_proxies.push(proxy);
            }
        }
        Ok(Self {
            processes,
            listen_addresses,
            front_proxies,
            runtime: runtime.clone(),
            program: program.to_path_buf(),
            folder,
        })
    }

    /// Addresses at which members reach the session proxies.
    pub fn addresses(&self) -> Vec<String> {
        if self.front_proxies.is_empty() {
            return self
                .listen_addresses
                .iter()
                .map(SocketAddr::to_string)
                .collect();
        }
        self.front_proxies
            .iter()
            .map(|proxy| proxy.address.to_string())
            .collect()
    }

    /// Returns whether the members' bytes are counted, and not only their requests.
    #[must_use]
    pub fn has_byte_counts(&self) -> bool {
        !self.front_proxies.is_empty()
    }

    /// Stops a session proxy as a crash would.
    pub fn kill(&mut self, number: usize) {
        self.front_proxies
            .get(number)
            .iter()
            .for_each(|proxy| proxy.set_upstream(None));
        self.processes[number] = None;
    }

    /// Starts a killed session proxy again at its address.
    ///
    /// # Errors
    /// The session proxy does not start.
    pub fn restart(&mut self, number: usize) -> Result<(), Error> {
        let config_path = config_path(&self.folder, number);
        let text = std::fs::read_to_string(&config_path)
            .map_err(Error::io(config_path.display().to_string()))?;
        let (process, address) = start_one(&self.program, &self.folder, number, &text)?;
        self.processes[number] = Some(process);
        self.front_proxies
            .get(number)
            .iter()
            .for_each(|proxy| proxy.set_upstream(Some(address)));
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
    pub fn read(&self, number: usize) -> Result<(Cost, Traffic), Error> {
        let process = self.processes[number].as_ref();
        let process = process
            .ok_or_else(|| Error::Unexpected(format!("session proxy {number} is not running")))?;
        let cost = Cost::of(process.id())?;
        if let Some(proxy) = self.front_proxies.get(number) {
            return Ok((cost, proxy.meter.sum()));
        }
        let status = self.status(number)?;
        let requests = status.heartbeats + status.commands;
        Ok((
            cost,
            Traffic {
                requests,
                responses: requests,
                ..Traffic::default()
            },
        ))
    }

    /// Reads the counters that a session proxy reports about itself.
    ///
    /// # Errors
    /// The session proxy does not respond.
    pub fn status(&self, number: usize) -> Result<SessionProxyStatus, Error> {
        let mut client = Client::new(self.listen_addresses[number].to_string(), GROUP);
        // the calling thread blocks here while the network proxies' runtime makes the call
        let (result_sender, result_receiver) = std::sync::mpsc::channel();
        self.runtime.spawn(async move {
            let _ = result_sender.send(
                client
                    .call::<SessionProxyStatus>(
                        SESSION_PROXY_STATUS_PATH,
                        None::<&()>,
                        RESPONSE_TIMEOUT,
                    )
                    .await,
            );
        });
        let no_response =
            || Error::Unexpected(format!("session proxy {number} did not report its status"));
        let reply = result_receiver
            .recv()
            .map_err(|_| no_response())?
            .map_err(|error| Error::Unexpected(error.to_string()))?;
        reply.result.map_err(|_| no_response())
    }
}
