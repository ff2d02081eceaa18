//! The clients of a cluster: members and session proxies, each with links of its own, and operators' commands.

use super::{Cluster, GROUP_NAME, UNREACHABLE_ADDRESS};
use crate::controlled_link::{LinkControl, controlled_link};
use crate::history::{
    Event, check_reported_writes, check_single_owner, check_writes_within_lease, writes_of,
};
use crate::process::{Process, wait_until};
use serde_json::Value;
use std::net::SocketAddr;
use std::process::Command;

/// The links of one client, to each replica or to each session proxy that the client uses.
#[derive(Debug)]
pub struct ClientLinks {
    /// The controls of the links, in the order of the replicas or session proxies.
    pub links: Vec<LinkControl>,
    addresses: Vec<SocketAddr>,
}

impl ClientLinks {
    fn with_capacity(count: usize) -> Self {
        Self {
            links: Vec::with_capacity(count),
            addresses: Vec::with_capacity(count),
        }
    }

    /// Adds a link, and returns its control.
    fn add(&mut self) -> LinkControl {
        let (address, control) = controlled_link();
        self.links.push(control.clone());
        self.addresses.push(address);
        control
    }
}

/// A running session proxy with its links to the replicas.
#[derive(Debug)]
pub struct SessionProxyProcess {
    /// The process, which is killed when this value is dropped.
    pub process: Process,
    /// The proxy's own links to the replicas.
    pub coordinator_links: ClientLinks,
    address: SocketAddr,
}

impl SessionProxyProcess {
    /// The address on which the proxy itself listens, which bypasses all links.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Cluster {
    /// Creates links to all replicas for one client.
    pub fn connect_client(&mut self) -> ClientLinks {
        let mut links = ClientLinks::with_capacity(self.replicas.len());
        for replica in &mut self.replicas {
            let control = links.add();
            if let Some(address) = replica.address {
                control.forward_to(address);
            }
            replica.client_links.push(control);
        }
        links
    }

    /// Creates links to these session proxies for one client.
    #[must_use]
    pub fn connect_client_via_proxies(&self, proxies: &[&SessionProxyProcess]) -> ClientLinks {
        let mut links = ClientLinks::with_capacity(proxies.len());
        for proxy in proxies {
            links.add().forward_to(proxy.address);
        }
        links
    }

    /// Starts a member that tries to acquire a resource, and writes with its fencing token every 40 ms while it is the owner.
    ///
    /// # Panics
    /// If the process cannot be started.
    #[must_use]
    pub fn start_member(&self, links: &ClientLinks, resource: &str, name: &str) -> Process {
        let mut arguments = member_arguments(resource, name);
        for address in &links.addresses {
            arguments.extend(["--steward".to_string(), address.to_string()]);
        }
        Process::start(&self.client_program, name, &arguments)
    }

    /// Like [`start_member`](Self::start_member), but the member reaches the replicas only through session proxies.
    ///
    /// # Panics
    /// If the process cannot be started.
    pub fn start_member_via_proxies(
        &self,
        links: &ClientLinks,
        resource: &str,
        name: &str,
    ) -> Process {
        let mut arguments = member_arguments(resource, name);
        arguments.extend(["--steward", UNREACHABLE_ADDRESS].map(String::from));
        for address in &links.addresses {
            arguments.extend(["--relay".to_string(), address.to_string()]);
        }
        Process::start(&self.client_program, name, &arguments)
    }

    /// Starts a session proxy with links of its own to all replicas.
    ///
    /// # Panics
    /// If the proxy does not start and report its address within [`MAX_WAIT`](crate::process::MAX_WAIT).
    pub fn start_session_proxy(&mut self, name: &str) -> SessionProxyProcess {
        let coordinator_links = self.connect_client();
        let file_name = format!("proxy-{name}-{}.toml", self.replicas[0].client_links.len());
        let file = self.folder().join(file_name);
        let quoted: Vec<String> = coordinator_links
            .addresses
            .iter()
            .map(|address| format!("\"{address}\""))
            .collect();
        let settings = format!(
            "group = \"{GROUP_NAME}\"\nname = \"{name}\"\nlisten = \"127.0.0.1:0\"\nplaces = 256\nstewards = [{}]\n",
            quoted.join(", ")
        );
        std::fs::write(&file, settings).expect("the settings file is written");
        let arguments = [
            self.client_program.session_proxy_command().to_string(),
            "--config".to_string(),
            file.display().to_string(),
        ];
        let process = Process::start(&self.client_program, name, &arguments);
        let address = process.wait_for_listen_address();
        SessionProxyProcess {
            process,
            coordinator_links,
            address,
        }
    }

    /// Runs an operator's command against these replicas, bypassing the links, and returns its exit code and the lines of its
    /// output.
    ///
    /// # Panics
    /// If the command cannot be started, prints anything but JSON lines, or is killed by a signal.
    #[must_use]
    pub fn run_fleet_command(&self, replicas: &[usize], arguments: &[&str]) -> (i32, Vec<Value>) {
        let mut command = Command::new(self.client_program.path());
        command
            .arg("fleet")
            .args(arguments)
            .args(["--format", "json", "--group", GROUP_NAME, "--wait", "5"]);
        for index in replicas {
            let address = self.replicas[*index].address;
            let address = address.map_or(UNREACHABLE_ADDRESS.to_string(), |address| {
                address.to_string()
            });
            command.args(["--steward", &address]);
        }
        let output = command.output().expect("the command starts");
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        let lines = text
            .lines()
            .map(|line| serde_json::from_str(line).expect("a line of JSON"))
            .collect();
        (
            output.status.code().expect("the command was not killed"),
            lines,
        )
    }

    /// Waits until all of these replicas report the same leader among them, and returns the leader's index.
    ///
    /// # Panics
    /// If that does not happen within [`MAX_WAIT`](crate::process::MAX_WAIT).
    #[expect(clippy::must_use_candidate, reason = "tests also call it only to wait")]
    pub fn wait_for_leader(&self, among: &[usize]) -> usize {
        let mut leader_id = None;
        wait_until("all replicas report the same leader", || {
            let (_, lines) = self.run_fleet_command(among, &["status"]);
            let statuses: Vec<&Value> = lines.iter().map(|line| &line["status"]).collect();
            let leader_status = statuses.iter().find(|status| status["role"] == "leader");
            leader_id = leader_status.and_then(|status| status["steward"].as_u64());
            leader_id.is_some()
                && statuses
                    .iter()
                    .all(|status| status["leader"].as_u64() == leader_id)
        });
        leader_id
            .map(|id| id as usize - 1)
            .expect("the leader is known")
    }

    /// The events of a resource in the history of the coordination service.
    ///
    /// # Panics
    /// If no majority of replicas returns them within [`MAX_WAIT`](crate::process::MAX_WAIT).
    #[must_use]
    pub fn events_of(&self, resource: &str) -> Vec<Event> {
        let mut events = Vec::new();
        wait_until("a majority returns the history", || {
            let (code, lines) = self.run_fleet_command(&self.replicas(), &["work", resource]);
            events = lines.iter().filter_map(Event::parse).collect();
            code == 0
        });
        events
    }

    /// Checks all invariants of the resource `w` and of the processes that write to it, and returns the events of `w`.
    ///
    /// # Panics
    /// If an invariant does not hold.
    #[expect(clippy::must_use_candidate, reason = "also called only to check")]
    pub fn check_history(&self, processes: &[&Process]) -> Vec<Event> {
        // the reports are read first: a write between the two reads is then only missing from the reports, which is
        // allowed. In the reverse order, it would be reported but missing from the history
        let reported: Vec<_> = processes
            .iter()
            .map(|process| (process.name.clone(), writes_of(process)))
            .collect();
        let events = self.events_of("w");
        let event_list = format!("{events:#?}");
        check_single_owner(&events).unwrap_or_else(|error| panic!("{error}\n{event_list}"));
        check_reported_writes(&events, &reported)
            .unwrap_or_else(|error| panic!("{error}\n{event_list}"));
        for process in processes {
            check_writes_within_lease(process).unwrap_or_else(|error| panic!("{error}"));
        }
        events
    }
}

/// The arguments of a member that prints JSON lines, without the addresses of the service.
fn member_arguments(resource: &str, name: &str) -> Vec<String> {
    let arguments = ["fleet", "hold", resource, "--name", name, "--every", "40"];
    let output_and_group = ["--format", "json", "--group", GROUP_NAME];
    arguments
        .into_iter()
        .chain(output_and_group)
        .map(String::from)
        .collect()
}
