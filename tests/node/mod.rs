//! The sender as a process of its own, beside the stand-ins.
#![allow(dead_code)]

pub(crate) use milletturn_test_support::*;
use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

/// The list in a configuration that names none.
pub(crate) const NOTHING_KNOWN: &str = r#"{"rev":0,"all":true,"targets":[]}"#;

const PROGRAM: &str = env!("CARGO_BIN_EXE_milletturn");

static FOLDERS: AtomicUsize = AtomicUsize::new(0);

/// The sender and what outlasts its processes.
pub(crate) struct Node {
    pub folder: PathBuf,
    setup: Setup,
    pub process: Child,
    pub address: SocketAddr,
    /// Where its operators connect.
    pub operators: Option<SocketAddr>,
    pub log: Arc<Mutex<Vec<String>>>,
    reading: Arc<AtomicBool>,
}

/// What each process of a sender is started with, beside its folder.
#[derive(Debug, Clone)]
struct Setup {
    program: PathBuf,
    discovery: SocketAddr,
    disk_mb: f64,
    idle_s: f64,
    /// The number of descriptors that the system gives it.
    sockets: usize,
    /// The settings of its dead-letter store, if it has one.
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

/// A new folder for a sender, with room for its state.
fn new_folder() -> PathBuf {
    let number = FOLDERS.fetch_add(1, Ordering::SeqCst);
    let name = format!("node-{}-{number}", std::process::id());
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::create_dir_all(folder.join("state")).expect("a folder");
    folder
}

impl Node {
    pub(crate) fn new(agent: &FakeDiscovery) -> Self {
        Node::start(new_folder(), Setup::new(agent.address))
    }

    /// One that runs another build of the program.
    pub(crate) fn of_program(program: &Path, agent: &FakeDiscovery) -> Self {
        let program = program.to_path_buf();
        let setup = Setup {
            program,
            ..Setup::new(agent.address)
        };
        Node::start(new_folder(), setup)
    }

    pub(crate) fn with(discovery: SocketAddr, disk_mb: f64, idle_s: f64) -> Self {
        let setup = Setup {
            disk_mb,
            idle_s,
            ..Setup::new(discovery)
        };
        Node::start(new_folder(), setup)
    }

    /// One that keeps the undelivered as these settings say.
    pub(crate) fn with_store(agent: &FakeDiscovery, settings: &str) -> Self {
        let node = Node::new(agent);
        let folder = node.folder.clone();
        drop(node);
        let setup = Setup {
            disk_mb: 30.0,
            store: Some(settings.to_string()),
            ..Setup::new(agent.address)
        };
        Node::start(folder, setup)
    }

    /// Runs a command about what is undelivered; its exit code and the lines that it printed.
    pub(crate) fn undelivered(&self, words: &[&str]) -> (i32, Vec<serde_json::Value>) {
        let output = Command::new(PROGRAM)
            .args(["undelivered", "--format", "json", "--folder"])
            .arg(self.folder.join("state"))
            .args(words)
            .output()
            .expect("the command runs");
        let text = String::from_utf8(output.stdout).expect("text");
        let lines = text
            .lines()
            .map(|line| serde_json::from_str(line).expect("JSON"))
            .collect();
        (output.status.code().expect("it ended by itself"), lines)
    }

    /// One that writes the lines for the account of all senders.
    pub(crate) fn traced(agent: &FakeDiscovery) -> Self {
        let node = Node::new(agent);
        std::fs::write(node.folder.join("trace"), "").expect("written");
        node.restart()
    }

    /// One whose folder has been prepared, or that knows this list at its start.
    pub(crate) fn prepared(
        discovery: SocketAddr,
        disk_mb: f64,
        known: &str,
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
        std::fs::write(&file, text.replace(NOTHING_KNOWN, known)).expect("written");
        Node::launch(folder, setup)
    }

    /// One that may hold so few descriptors: the system gives it no more.
    pub(crate) fn narrow(agent: &FakeDiscovery, sockets: usize) -> Self {
        Node::narrow_at(agent.address, sockets)
    }

    pub(crate) fn narrow_at(discovery: SocketAddr, sockets: usize) -> Self {
        let node = Node::with(discovery, 3.0, 5.0);
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

    /// Writes a configuration.
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
            "known":{NOTHING_KNOWN},
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

    /// Another process with the same folder and configuration; if this one runs, it takes over.
    pub(crate) fn upgrade(&self) -> Self {
        Node::launch(self.folder.clone(), self.setup.clone())
    }

    /// As [`upgrade`](Self::upgrade), by another build of the program.
    pub(crate) fn upgrade_to(&self, program: &Path) -> Self {
        let program = program.to_path_buf();
        let setup = Setup {
            program,
            ..self.setup.clone()
        };
        Node::launch(self.folder.clone(), setup)
    }

    fn launch(folder: PathBuf, setup: Setup) -> Self {
        let mut command = bounded(&command_of(&setup.program, &folder), setup.sockets);
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
        let reading = Arc::new(AtomicBool::new(true));
        let errors = process.stderr.take().expect("piped");
        collect_lines(errors, log.clone(), reading.clone());
        let logged_value = |label: &str| {
            let log = log.lock().expect("not poisoned");
            log.iter()
                .find_map(|line| line.split_once(label)?.1.parse().ok())
        };
        let (mut address, mut operators) = (None, None);
        wait_until("the sender listens", || {
            (address, operators) = (logged_value("listening on "), logged_value("operators on "));
            address.is_some() && operators.is_some()
        });
        let address = address.expect("found");
        Node {
            folder,
            setup,
            process,
            address,
            operators,
            log,
            reading,
        }
    }

    /// Waits until it is ready.
    pub(crate) fn ready(self) -> Self {
        wait_until("ready", || self.get_ready() == 200);
        self
    }

    pub(crate) fn get_ready(&self) -> u16 {
        self.raw("GET /ready HTTP/1.1\r\nHost: a\r\n\r\n".as_bytes())
            .0
    }

    /// A call by an operator; its status.
    pub(crate) fn operate(&self, method: &str, path: &str) -> u16 {
        self.operators_call(method, path).0
    }

    fn operators_call(&self, method: &str, path: &str) -> (u16, Request) {
        let mut client = Client::new(self.operators.expect("an address"));
        let text = format!("{method} {path} HTTP/1.1\r\nHost: a\r\n\r\n");
        client.send(text.as_bytes()).unwrap_or_default()
    }

    /// A figure; `u64::MAX` where it is not told.
    pub(crate) fn figure(&self, name: &str) -> u64 {
        let (status, answer) = self.operators_call("GET", "/-/metrics");
        assert_eq!(status, 200);
        let text = String::from_utf8(answer.body).expect("text");
        let value = |line: &str| {
            let (found, rest) = line.strip_prefix("relay.")?.split_once(':')?;
            rest.split_once('|')
                .filter(|_| found == name)?
                .0
                .parse()
                .ok()
        };
        text.lines().find_map(value).unwrap_or(u64::MAX)
    }

    /// Sends the bytes on a connection of their own; the status and head of the answer, 0 if none comes.
    pub(crate) fn raw(&self, bytes: &[u8]) -> (u16, Request) {
        let mut client = Client::new(self.address);
        client.send(bytes).unwrap_or_default()
    }

    /// Hands a message in.
    pub(crate) fn hand_in(
        &self,
        class: &str,
        id: &str,
        dest: u64,
        time_ms: u64,
        body: &[u8],
    ) -> u16 {
        self.raw(&message_request(class, id, dest, time_ms, body)).0
    }

    /// The lines of its log that name a message.
    pub(crate) fn records_of(&self, id: &str) -> String {
        let log = self.log.lock().expect("not poisoned");
        let quoted = format!("\"{id}\"");
        let of_message = log.iter().filter(|line| line.contains(&quoted));
        of_message.cloned().collect::<Vec<_>>().join("\n")
    }

    /// Ends the process with no warning.
    pub(crate) fn kill(&mut self) {
        let _ = self.process.kill();
        self.process.wait().expect("ended");
    }

    pub(crate) fn terminate(&self) {
        self.signal("-TERM");
    }

    fn signal(&self, name: &str) {
        let id = self.process.id().to_string();
        assert!(
            Command::new("kill")
                .args([name, &id])
                .status()
                .expect("kill runs")
                .success()
        );
    }

    /// Replaces the configuration by what `change` makes of it, and sends SIGHUP.
    pub(crate) fn reload(&self, change: impl FnOnce(String) -> String) {
        let (file, new) = (
            self.folder.join("config.json"),
            self.folder.join("config.new"),
        );
        let text = std::fs::read_to_string(&file).expect("the configuration");
        std::fs::write(&new, change(text)).expect("written");
        std::fs::rename(&new, &file).expect("replaced");
        self.signal("-HUP");
    }

    /// Kills it if it runs, and starts it again with the same folder.
    pub(crate) fn restart(mut self) -> Self {
        self.kill();
        Node::start(self.folder.clone(), self.setup.clone())
    }

    /// The same, with another discovery.
    pub(crate) fn moved_to(self, discovery: SocketAddr) -> Self {
        Node::write_config(
            &self.folder,
            discovery,
            self.setup.disk_mb,
            self.setup.idle_s,
            self.setup.sockets,
        );
        self.restart_as_it_is()
    }

    /// The same, with its configuration as a reload has left it.
    pub(crate) fn restart_as_it_is(mut self) -> Self {
        self.kill();
        self.upgrade()
    }

    pub(crate) fn journal(&self) -> PathBuf {
        self.folder.join("state/journal")
    }

    /// The log is read up to its next line, then its pipe is closed.
    pub(crate) fn log_closes(&mut self) {
        self.reading.store(false, Ordering::SeqCst);
    }

    pub(crate) fn logged(&self, text: &str) -> bool {
        self.log
            .lock()
            .expect("not poisoned")
            .iter()
            .any(|line| line.contains(text))
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// Reads a process' lines into its log, until one comes after `reading` was set to false.
fn collect_lines(
    errors: impl Read + Send + 'static,
    log: Arc<Mutex<Vec<String>>>,
    reading: Arc<AtomicBool>,
) {
    thread::spawn(move || {
        for line in BufReader::new(errors).lines().map_while(Result::ok) {
            log.lock().expect("not poisoned").push(line);
            if !reading.load(Ordering::SeqCst) {
                return;
            }
        }
    });
}

/// The same command in a process to which the system gives no more descriptors.
fn bounded(command: &Command, descriptors: usize) -> Command {
    let mut bounded = Command::new("sh");
    bounded.args([
        "-c",
        &format!("ulimit -n {descriptors} && exec \"$0\" \"$@\""),
    ]);
    bounded.arg(command.get_program()).args(command.get_args());
    for (name, value) in command.get_envs() {
        bounded.env(name, value.unwrap_or_default());
    }
    bounded
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::piped());
    bounded
}

/// The program with the variables that name its configuration and its lasting folder.
pub(crate) fn command(folder: &Path) -> Command {
    command_of(Path::new(PROGRAM), folder)
}

fn command_of(program: &Path, folder: &Path) -> Command {
    let mut command = Command::new(program);
    command
        .env("RELAY_CONFIG", folder.join("config.json"))
        .env("RELAY_STATE", folder.join("state"))
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::piped());
    command
}
