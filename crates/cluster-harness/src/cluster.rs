//! A coordination service of several replicas, with a controlled link between each pair of them.

use crate::controlled_link::{LinkControl, controlled_link};
use crate::process::Process;
use crate::program::Program;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
use tempfile::TempDir;

mod clients;

pub use clients::{ClientLinks, SessionProxyProcess};

/// The group name in the settings of every cluster.
pub const GROUP_NAME: &str = "trial";
/// The lease duration of members, in a cluster that sets no other.
pub const DEFAULT_LEASE: &str = "2s";
/// The heartbeat interval between the replicas.
const HEARTBEAT: &str = "60ms";
/// An address on which no process listens.
const UNREACHABLE_ADDRESS: &str = "127.0.0.1:1";

/// A coordination service under test. Replicas are identified by their index, counted from 0; replica 0 has the id 1.
#[derive(Debug)]
pub struct Cluster {
    /// The program for members, session proxies and operators' commands.
    client_program: Program,
    folder: TempDir,
    lease: String,
    replicas: Vec<Replica>,
    /// The link from one replica to another, by the indexes of both.
    peer_links: BTreeMap<(usize, usize), PeerLink>,
}

/// A replica's current process, and the state that stays when the process ends.
#[derive(Debug)]
struct Replica {
    program: Program,
    process: Option<Process>,
    /// The address on which the current or most recent process listened; `None` before the first start.
    address: Option<SocketAddr>,
    /// The links from members and session proxies to the replica.
    client_links: Vec<LinkControl>,
}

#[derive(Debug)]
struct PeerLink {
    address: SocketAddr,
    control: LinkControl,
}

impl Cluster {
    /// Creates a cluster of `count` replicas that all run this program, and starts them.
    ///
    /// # Panics
    /// If the files cannot be written or a replica does not start.
    pub fn start(program: impl Into<Program>, count: usize) -> Self {
        Self::start_with_lease(program, count, DEFAULT_LEASE)
    }

    /// Like [`start`](Self::start), with a lease other than [`DEFAULT_LEASE`].
    ///
    /// # Panics
    /// If the files cannot be written or a replica does not start.
    pub fn start_with_lease(program: impl Into<Program>, count: usize, lease: &str) -> Self {
        let program = program.into();
        let mut peer_links = BTreeMap::new();
        for from in 0..count {
            for to in (0..count).filter(|to| *to != from) {
                let (address, control) = controlled_link();
                peer_links.insert((from, to), PeerLink { address, control });
            }
        }
        let replica = || Replica {
            program: program.clone(),
            process: None,
            address: None,
            client_links: Vec::new(),
        };
        let mut cluster = Self {
            replicas: (0..count).map(|_| replica()).collect(),
            client_program: program.clone(),
            folder: TempDir::new().expect("a temporary folder is created"),
            lease: lease.to_string(),
            peer_links,
        };
        for index in cluster.replicas() {
            let settings = cluster.settings_text(index);
            std::fs::write(cluster.settings_file(index), settings)
                .expect("the settings file is written");
        }
        cluster.bootstrap(&[]);
        for index in cluster.replicas() {
            cluster.start_replica(index);
        }
        cluster
    }

    /// Creates the state folder of each replica by running its coordinator command with these additional arguments.
    ///
    /// # Panics
    /// If a command fails.
    pub fn bootstrap(&self, arguments: &[&str]) {
        for index in self.replicas() {
            let program = &self.replicas[index].program;
            let mut command = Command::new(program.path());
            command
                .args([program.coordinator_command(), "--found", "--config"])
                .arg(self.settings_file(index))
                .args(arguments);
            let output = command.output().expect("the command starts");
            assert!(output.status.success(), "{output:?}");
        }
    }

    /// Sets the program that a replica runs from its next start on, with the same state folder.
    pub fn set_replica_program(&mut self, index: usize, program: &Program) {
        self.replicas[index].program = program.clone();
    }

    /// Sets the program for members, session proxies and operators' commands that are started from now on.
    pub fn set_client_program(&mut self, program: &Program) {
        self.client_program = program.clone();
    }

    /// The state folder of a replica. Tests delete it to simulate the loss of the replica's disk.
    #[must_use]
    pub fn state_folder(&self, index: usize) -> PathBuf {
        self.folder.path().join(format!("disk{index}"))
    }

    fn settings_file(&self, index: usize) -> PathBuf {
        self.folder.path().join(format!("replica{index}.toml"))
    }

    fn settings_text(&self, index: usize) -> String {
        let mut text = format!(
            "group = \"{GROUP_NAME}\"\nid = {}\nlisten = \"127.0.0.1:0\"\nstate = \"disk{index}\"\n\
             lease = \"{}\"\nheartbeat = \"{HEARTBEAT}\"\n",
            index + 1,
            self.lease
        );
        for to in self.replicas() {
            // a replica never connects to itself, so its own entry needs no link
            let address = self
                .peer_links
                .get(&(index, to))
                .map_or(UNREACHABLE_ADDRESS.to_string(), |link| {
                    link.address.to_string()
                });
            text.push_str(&format!(
                "[[steward]]\nid = {}\naddress = \"{address}\"\n",
                to + 1
            ));
        }
        text
    }

    /// Starts a replica that is not running, and makes all links to the replica forward to its new port.
    ///
    /// # Panics
    /// If the replica does not start and report its address within [`MAX_WAIT`](crate::process::MAX_WAIT).
    pub fn start_replica(&mut self, index: usize) {
        let program = &self.replicas[index].program;
        let arguments = [
            program.coordinator_command().to_string(),
            "--config".to_string(),
            self.settings_file(index).display().to_string(),
        ];
        let process = Process::start(program, &format!("replica {index}"), &arguments);
        let address = process.wait_for_listen_address();
        for ((_, to), link) in &self.peer_links {
            if *to == index {
                link.control.forward_to(address);
            }
        }
        let replica = &mut self.replicas[index];
        for link in &replica.client_links {
            link.forward_to(address);
        }
        replica.address = Some(address);
        replica.process = Some(process);
    }

    /// The running process of a replica.
    ///
    /// # Panics
    /// If the replica is not running.
    #[must_use]
    pub fn replica(&self, index: usize) -> &Process {
        self.replicas[index]
            .process
            .as_ref()
            .expect("the replica is running")
    }

    /// Kills a replica, as in a crash; its state folder stays.
    pub fn kill_replica(&mut self, index: usize) {
        self.replicas[index].process = None;
    }

    /// All links between a replica and the others, in both directions.
    pub fn links_of_replica(&self, index: usize) -> impl Iterator<Item = &LinkControl> {
        self.peer_links
            .iter()
            .filter(move |((from, to), _)| *from == index || *to == index)
            .map(|(_, link)| &link.control)
    }

    /// The addresses of the replicas themselves, which bypass all links.
    ///
    /// # Panics
    /// If a replica has never run.
    #[must_use]
    pub fn addresses(&self) -> Vec<String> {
        self.replicas
            .iter()
            .map(|replica| {
                replica
                    .address
                    .expect("the replica has been started")
                    .to_string()
            })
            .collect()
    }

    /// The indexes of all replicas.
    #[must_use]
    pub fn replicas(&self) -> Vec<usize> {
        (0..self.replicas.len()).collect()
    }

    /// The temporary folder with the settings files and state folders of the replicas.
    #[must_use]
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }
}
