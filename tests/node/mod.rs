//! Runs the sender as a separate process against the fake endpoints and the fake discovery service.
#![allow(dead_code)]

pub(crate) use milletturn_test_support::*;
use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

/// The endpoint list of a configuration that names no endpoints.
pub(crate) const EMPTY_ENDPOINT_LIST: &str = r#"{"rev":0,"all":true,"targets":[]}"#;

const PROGRAM: &str = env!("CARGO_BIN_EXE_milletturn");

static FOLDERS: AtomicUsize = AtomicUsize::new(0);

/// A sender process, with the folder and settings that a restarted process uses again.
pub(crate) struct Node {
    pub folder: PathBuf,
    setup: Setup,
    pub process: Child,
    pub address: SocketAddr,
    /// Address of the admin listener.
    pub admin_address: Option<SocketAddr>,
    pub log: Arc<Mutex<Vec<String>>>,
    reads_log: Arc<AtomicBool>,
}

/// The settings with which each process of a sender is started, other than its folder.
#[derive(Debug, Clone)]
struct Setup {
    program: PathBuf,
    discovery: SocketAddr,
    disk_mb: f64,
    idle_s: f64,
    /// Limit on open file descriptors, set by `ulimit -n` and in the configuration.
    sockets: usize,
    /// Settings of the dead-letter store; `None`: the sender has no store.
    store: Option<String>,
}

impl Setup {
    fn new(discovery: SocketAddr) -> Self {
        Self {
            program: PathBuf::from(PROGRAM),
            discovery,
            disk_mb: 3.0,
            idle_s: 5.0,
            sockets: 1024,
            store: None,
        }
    }
}

/// Creates a folder for a sender, with an empty state folder in it.
fn new_folder() -> PathBuf {
    let number = FOLDERS.fetch_add(1, Ordering::SeqCst);
    let name = format!("node-{}-{number}", std::process::id());
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::create_dir_all(folder.join("state")).expect("the folder is created");
    folder
}

impl Node {
    pub(crate) fn new(discovery: &FakeDiscovery) -> Self {
        Node::start(new_folder(), Setup::new(discovery.address))
    }

    /// Starts a sender that runs another build of the program.
    pub(crate) fn with_program(program: &Path, discovery: &FakeDiscovery) -> Self {
        let program = program.to_path_buf();
        let setup = Setup {
            program,
            ..Setup::new(discovery.address)
        };
        Node::start(new_folder(), setup)
    }

    pub(crate) fn with_limits(discovery: SocketAddr, disk_mb: f64, idle_s: f64) -> Self {
        let setup = Setup {
            disk_mb,
            idle_s,
            ..Setup::new(discovery)
        };
        Node::start(new_folder(), setup)
    }

    /// Starts a sender with a dead-letter store that has these settings.
    pub(crate) fn with_store(discovery: &FakeDiscovery, settings: &str) -> Self {
        let node = Node::new(discovery);
        let folder = node.folder.clone();
        drop(node);
        let setup = Setup {
            disk_mb: 30.0,
            store: Some(settings.to_string()),
            ..Setup::new(discovery.address)
        };
        Node::start(folder, setup)
    }

    /// Runs `milletturn undelivered` with these arguments; returns its exit code and the JSON objects that it printed.
    pub(crate) fn undelivered(&self, arguments: &[&str]) -> (i32, Vec<serde_json::Value>) {
        let output = Command::new(PROGRAM)
            .args(["undelivered", "--format", "json", "--folder"])
            .arg(self.folder.join("state"))
            .args(arguments)
            .output()
            .expect("the command runs");
        let text = String::from_utf8(output.stdout).expect("text");
        let objects = text
            .lines()
            .map(|object| serde_json::from_str(object).expect("JSON"))
            .collect();
        (
            output.status.code().expect("no signal ended the command"),
            objects,
        )
    }

    /// Starts a sender that writes access log records, which `milletturn access-log` evaluates.
    pub(crate) fn with_trace(discovery: &FakeDiscovery) -> Self {
        let node = Node::new(discovery);
        std::fs::write(node.folder.join("trace"), "").expect("written");
        node.restart()
    }

    /// Starts a sender whose state folder `prepare` has filled and whose configuration has this endpoint list.
    pub(crate) fn prepared(
        discovery: SocketAddr,
        disk_mb: f64,
        cached_list: &str,
        prepare: impl FnOnce(&Path),
    ) -> Self {
        let folder = new_folder();
        prepare(&folder.join("state"));
        let setup = Setup {
            disk_mb,
            ..Setup::new(discovery)
        };
        Node::write_config(&folder, discovery, disk_mb, setup.idle_s, setup.sockets);
        let file = folder.join("config.json");
        let text = std::fs::read_to_string(&file).expect("the configuration");
        std::fs::write(&file, text.replace(EMPTY_ENDPOINT_LIST, cached_list)).expect("written");
        Node::launch(folder, setup)
    }

    /// Starts a sender that may open this number of file descriptors, with a configuration that `change` adapts.
    pub(crate) fn with_config(
        discovery: &FakeDiscovery,
        sockets: usize,
        change: impl FnOnce(String) -> String,
    ) -> Self {
        let setup = Setup {
            sockets,
            ..Setup::new(discovery.address)
        };
        let folder = new_folder();
        Node::write_config(
            &folder,
            discovery.address,
            setup.disk_mb,
            setup.idle_s,
            sockets,
        );
        let file = folder.join("config.json");
        let text = std::fs::read_to_string(&file).expect("the configuration");
        std::fs::write(&file, change(text)).expect("written");
        Node::launch(folder, setup)
    }

    /// Starts a sender that may open no more than this number of file descriptors.
    pub(crate) fn with_descriptor_limit(discovery: &FakeDiscovery, sockets: usize) -> Self {
        Node::with_discovery_and_descriptor_limit(discovery.address, sockets)
    }

    pub(crate) fn with_discovery_and_descriptor_limit(
        discovery: SocketAddr,
        sockets: usize,
    ) -> Self {
        let node = Node::with_limits(discovery, 3.0, 5.0);
        let (folder, setup) = (node.folder.clone(), node.setup.clone());
        drop(node);
        Node::start(folder, Setup { sockets, ..setup })
    }

    fn start(folder: PathBuf, setup: Setup) -> Self {
        let Setup {
            discovery,
            disk_mb,
            idle_s,
            sockets,
            ..
        } = setup;
        Node::write_config(&folder, discovery, disk_mb, idle_s, sockets);
        Node::launch(folder, setup)
    }

    /// Writes the sender's configuration file to a folder.
    pub(crate) fn write_config(
        folder: &Path,
        discovery: SocketAddr,
        disk_mb: f64,
        idle_s: f64,
        sockets: usize,
    ) {
        let config = format!(
            r#"{{"name":"n1","listen":"127.0.0.1:0","management":"127.0.0.1:0","discovery":"{discovery}","seed":"8c1f",
            "limits":{{"cores":1.0,"memory_mb":192,"sockets":{sockets},"disk_mb":{disk_mb}}},
            "known":{EMPTY_ENDPOINT_LIST},
            "settings":{{"az":"a","balancers":1,"zones":["a"],"machineTypes":["one","bulk"],
              "caps":{{"maxOpen":50,"mostTries":12,"mayCancel":true,"secondCopies":true,"connIdle":{idle_s},
                "dialTimeout":0.5,"retryAfter":true,"maxRetryAfter":3.0}},
              "report":{{"how":"piggyback","fields":["x0","x1"]}},
              "classes":[
                {{"name":"webhook","aim":4.0,"deadline":20.0,"effect":"deduplicated","group":"all","window":12.0}},
                {{"name":"order","aim":4.0,"deadline":20.0,"effect":"at_most_once"}},
                {{"name":"posting","aim":4.0,"deadline":20.0,"effect":"deduplicated","group":"all","window":12.0,
                  "oneAtATime":true}}],
              "specifics":{{"callSlots":8,"bundleMax":[1,5],"routesApart":[false,false]}},
              "safety":{{"stopSendingWithin":1.0,"cold":11.0,"startCapacity":0.18,"fallMultiple":2.0,"fall":3.0}}}}}}"#
        );
        std::fs::write(folder.join("config.json"), config).expect("written");
    }

    /// Starts another process with the same folder and configuration, which takes over from this one if it is running.
    pub(crate) fn hot_restart(&self) -> Self {
        Node::launch(self.folder.clone(), self.setup.clone())
    }

    /// Does the same as [`hot_restart`](Self::hot_restart), with another build of the program.
    pub(crate) fn hot_restart_with(&self, program: &Path) -> Self {
        let program = program.to_path_buf();
        let setup = Setup {
            program,
            ..self.setup.clone()
        };
        Node::launch(self.folder.clone(), setup)
    }

    /// Starts another process with the same folder and configuration, without waiting until it listens.
    pub(crate) fn start_second_process(&self) -> StartingNode {
        StartingNode::spawn(self.folder.clone(), self.setup.clone())
    }

    fn launch(folder: PathBuf, setup: Setup) -> Self {
        StartingNode::spawn(folder, setup).listening()
    }

    /// Waits until the sender answers `GET /ready` with 200.
    pub(crate) fn ready(self) -> Self {
        wait_until("the sender is ready", || self.readiness_status() == 200);
        self
    }

    pub(crate) fn readiness_status(&self) -> u16 {
        self.raw("GET /ready HTTP/1.1\r\nHost: a\r\n\r\n".as_bytes())
            .0
    }

    /// Sends a request to the admin listener; returns the status, 0 if no response comes.
    pub(crate) fn admin_status(&self, method: &str, path: &str) -> u16 {
        self.admin_request(method, path).0
    }

    fn admin_request(&self, method: &str, path: &str) -> (u16, Request) {
        let mut client = Client::new(self.admin_address.expect("an address"));
        let text = format!("{method} {path} HTTP/1.1\r\nHost: a\r\n\r\n");
        client.send(text.as_bytes()).unwrap_or_default()
    }

    /// The value of a metric; `u64::MAX` if the sender does not report the metric.
    pub(crate) fn metric(&self, name: &str) -> u64 {
        let (status, response) = self.admin_request("GET", "/-/metrics");
        assert_eq!(status, 200);
        let text = String::from_utf8(response.body).expect("text");
        let value = |sample: &str| {
            let (found, rest) = sample.strip_prefix("relay.")?.split_once(':')?;
            rest.split_once('|')
                .filter(|_| found == name)?
                .0
                .parse()
                .ok()
        };
        text.lines().find_map(value).unwrap_or(u64::MAX)
    }

    /// Sends the bytes on a new connection; returns the status and the response, status 0 if no response comes.
    pub(crate) fn raw(&self, bytes: &[u8]) -> (u16, Request) {
        let mut client = Client::new(self.address);
        client.send(bytes).unwrap_or_default()
    }

    /// Submits a message to the sender; returns the status.
    pub(crate) fn submit(
        &self,
        class: &str,
        id: &str,
        dest: u64,
        time_ms: u64,
        body: &[u8],
    ) -> u16 {
        self.raw(&message_request(class, id, dest, time_ms, body)).0
    }

    /// The records of the sender's log that name a message, as lines of text.
    pub(crate) fn log_records_of(&self, id: &str) -> String {
        let log = self.log.lock().expect("not poisoned");
        let quoted = format!("\"{id}\"");
        let of_message = log.iter().filter(|record| record.contains(&quoted));
        of_message.cloned().collect::<Vec<_>>().join("\n")
    }

    /// Kills the process with SIGKILL and waits until it has ended.
    pub(crate) fn kill(&mut self) {
        let _ = self.process.kill();
        self.process.wait().expect("ended");
    }

    pub(crate) fn terminate(&self) {
        self.signal("-TERM");
    }

    fn signal(&self, name: &str) {
        send_signal(&self.process, name);
    }

    /// Replaces the configuration with what `change` returns for it, and sends SIGHUP.
    pub(crate) fn reload(&self, change: impl FnOnce(String) -> String) {
        self.replace_config(change);
        self.signal("-HUP");
    }

    /// Replaces the configuration with what `change` returns for it.
    pub(crate) fn replace_config(&self, change: impl FnOnce(String) -> String) {
        let (file, new) = (
            self.folder.join("config.json"),
            self.folder.join("config.new"),
        );
        let text = std::fs::read_to_string(&file).expect("the configuration");
        std::fs::write(&new, change(text)).expect("written");
        std::fs::rename(&new, &file).expect("replaced");
    }

    /// Kills the process if it runs, and starts a new one with the same folder and a newly written configuration.
    pub(crate) fn restart(mut self) -> Self {
        self.kill();
        Node::start(self.folder.clone(), self.setup.clone())
    }

    /// Kills the process, and starts a new one that uses another discovery service.
    pub(crate) fn restart_with_discovery(self, discovery: SocketAddr) -> Self {
        Node::write_config(
            &self.folder,
            discovery,
            self.setup.disk_mb,
            self.setup.idle_s,
            self.setup.sockets,
        );
        self.restart_keeping_config()
    }

    /// Kills the process, and starts a new one with the configuration file as the last reload left it.
    pub(crate) fn restart_keeping_config(mut self) -> Self {
        self.kill();
        self.hot_restart()
    }

    /// Kills the process, and starts one with the same configuration file and a dead-letter store that has these settings.
    pub(crate) fn restart_with_store(mut self, settings: &str) -> Self {
        self.kill();
        let setup = Setup {
            store: Some(settings.to_string()),
            ..self.setup.clone()
        };
        Node::launch(self.folder.clone(), setup)
    }

    pub(crate) fn journal(&self) -> PathBuf {
        self.folder.join("state/journal")
    }

    /// Makes the log reader close its pipe after the next record.
    pub(crate) fn close_log(&mut self) {
        self.reads_log.store(false, Ordering::SeqCst);
    }

    /// True if a record of the sender's log contains the text.
    pub(crate) fn logged(&self, text: &str) -> bool {
        self.log
            .lock()
            .expect("not poisoned")
            .iter()
            .any(|record| record.contains(text))
    }
}

/// A sender process that may not listen yet, for example because it waits for its state folder.
pub(crate) struct StartingNode {
    folder: PathBuf,
    setup: Setup,
    process: Child,
    log: Arc<Mutex<Vec<String>>>,
    reads_log: Arc<AtomicBool>,
}

impl StartingNode {
    fn spawn(folder: PathBuf, setup: Setup) -> Self {
        let mut command =
            with_descriptor_ulimit(&program_command(&setup.program, &folder), setup.sockets);
        if let Some(settings) = &setup.store {
            let file = folder.join("undelivered.toml");
            std::fs::write(&file, settings).expect("written");
            command.env("MILLETTURN_UNDELIVERED", file);
        }
        if folder.join("trace").exists() {
            command.env("MILLETTURN_TRACE", "1");
        }
        let mut process = command.spawn().expect("the sender starts");
        let log: Arc<Mutex<Vec<String>>> = Arc::default();
        let reads_log = Arc::new(AtomicBool::new(true));
        let errors = process.stderr.take().expect("piped");
        spawn_log_reader(errors, log.clone(), reads_log.clone());
        StartingNode {
            folder,
            setup,
            process,
            log,
            reads_log,
        }
    }

    /// Waits until the process listens for clients and for operators.
    pub(crate) fn listening(self) -> Node {
        let (mut address, mut admin_address) = (None, None);
        wait_until("the sender listens", || {
            (address, admin_address) = (
                self.logged_value("listening on "),
                self.logged_value("operators on "),
            );
            address.is_some() && admin_address.is_some()
        });
        Node {
            folder: self.folder,
            setup: self.setup,
            process: self.process,
            address: address.expect("found"),
            admin_address,
            log: self.log,
            reads_log: self.reads_log,
        }
    }

    /// Sends SIGHUP.
    pub(crate) fn hang_up(&self) {
        send_signal(&self.process, "-HUP");
    }

    /// True if a record of the log contains the text.
    pub(crate) fn logged(&self, text: &str) -> bool {
        let log = self.log.lock().expect("not poisoned");
        log.iter().any(|record| record.contains(text))
    }

    /// The address behind a label in the log.
    fn logged_value(&self, label: &str) -> Option<SocketAddr> {
        let log = self.log.lock().expect("not poisoned");
        log.iter()
            .find_map(|record| record.split_once(label)?.1.parse().ok())
    }
}

/// Sends a signal, such as `-HUP`, to a running process.
fn send_signal(process: &Child, name: &str) {
    let id = process.id().to_string();
    assert!(
        Command::new("kill")
            .args([name, &id])
            .status()
            .expect("kill runs")
            .success()
    );
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// Starts a thread that appends each line of a process' standard error to a log. Once `is_active` is false, the thread
/// ends after the next line, which closes the pipe.
fn spawn_log_reader(
    errors: impl Read + Send + 'static,
    log: Arc<Mutex<Vec<String>>>,
    is_active: Arc<AtomicBool>,
) {
    thread::spawn(move || {
        for line in BufReader::new(errors).lines().map_while(Result::ok) {
            log.lock().expect("not poisoned").push(line);
            if !is_active.load(Ordering::SeqCst) {
                return;
            }
        }
    });
}

/// Wraps a command in a shell that sets the limit on open file descriptors first.
fn with_descriptor_ulimit(command: &Command, descriptors: usize) -> Command {
    let mut limited = Command::new("sh");
    limited.args([
        "-c",
        &format!("ulimit -n {descriptors} && exec \"$0\" \"$@\""),
    ]);
    limited.arg(command.get_program()).args(command.get_args());
    for (name, value) in command.get_envs() {
        limited.env(name, value.unwrap_or_default());
    }
    limited
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::piped());
    limited
}

/// A command that runs the program with the environment variables that name its configuration and state folder.
pub(crate) fn command(folder: &Path) -> Command {
    program_command(Path::new(PROGRAM), folder)
}

fn program_command(program: &Path, folder: &Path) -> Command {
    let mut command = Command::new(program);
    command
        .env("RELAY_CONFIG", folder.join("config.json"))
        .env("RELAY_STATE", folder.join("state"))
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::piped());
    command
}
