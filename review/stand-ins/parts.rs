//! Stand-ins for clients, endpoints, discovery and the platform, and the control of the sender's process.
//!
//! Standard library only, one thread for each connection. All addresses are loopback addresses with free ports.

#![allow(dead_code)] // each case uses a part of it

use std::collections::HashMap;
use std::fs::File;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Writes `record.txt`: one line for each thing that was sent, answered or run, with the milliseconds since the start.
#[derive(Clone)]
pub struct Record(Arc<(Mutex<File>, Instant)>);

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Record(Arc::new((Mutex::new(File::create(path)?), Instant::now()))))
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.0.1.elapsed().as_millis();
        let mut file = self.0.0.lock().unwrap();
        let _ = writeln!(file, "{at:>7} ms  {}", text.as_ref());
        let _ = file.flush();
    }

    pub fn ms(&self) -> u128 {
        self.0.1.elapsed().as_millis()
    }
}

pub fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// Waits until the condition holds; false if it does not within the time.
pub fn wait_for(ms: u64, mut condition: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + Duration::from_millis(ms);
    loop {
        if condition() {
            return true;
        }
        if Instant::now() >= end {
            return false;
        }
        sleep_ms(5);
    }
}

/// A free loopback address, never the same one twice. The ports lie below those that the kernel gives to outgoing
/// connections, so none of these takes the port before its listener is there.
pub fn free_address() -> SocketAddr {
    static USED: Mutex<Vec<u16>> = Mutex::new(Vec::new());
    let mut used = USED.lock().unwrap();
    let mut seed = u64::from(std::process::id()) * 2_654_435_761
        + SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().subsec_nanos() as u64;
    loop {
        seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        let port = 12_000 + (seed >> 33) as u16 % 18_000;
        if !used.contains(&port) && TcpListener::bind(("127.0.0.1", port)).is_ok() {
            used.push(port);
            return SocketAddr::from(([127, 0, 0, 1], port));
        }
    }
}

// ---- HTTP ---------------------------------------------------------------------------------------

/// The head of a request or response, and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        let status = self.first_line.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn closes(&self) -> bool {
        self.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }
}

/// Reads one message; `buffer` keeps what follows it. `None` at the end of the stream or on an error.
pub fn read_message(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Message> {
    let mut chunk = [0; 16384];
    let head_end = loop {
        if let Some(at) = buffer.windows(4).position(|four| four == b"\r\n\r\n") {
            break at;
        }
        let count = stream.read(&mut chunk).ok().filter(|&count| count > 0)?;
        buffer.extend_from_slice(&chunk[..count]);
    };
    let head = String::from_utf8_lossy(&buffer[..head_end]).into_owned();
    let mut lines = head.split("\r\n");
    let first_line = lines.next()?.to_string();
    let headers: Vec<(String, String)> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_string(), value.trim().to_string()))
        .collect();
    let mut message = Message { first_line, headers, body: Vec::new() };
    let length: usize = message.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    while buffer.len() < head_end + 4 + length {
        let count = stream.read(&mut chunk).ok().filter(|&count| count > 0)?;
        buffer.extend_from_slice(&chunk[..count]);
    }
    message.body = buffer[head_end + 4..head_end + 4 + length].to_vec();
    buffer.drain(..head_end + 4 + length);
    Some(message)
}

// ---- Discovery and the platform's notices -------------------------------------------------------

#[derive(Clone, Debug)]
pub struct Target {
    pub uid: String,
    pub address: SocketAddr,
    pub kind: String,
    pub destination: u64,
    pub state: &'static str,
}

impl Target {
    fn json(&self) -> String {
        format!(
            r#"{{"uid":"{}","endpoint":"{}","az":"a","model":"{}","pod_group":{},"state":"{}","capacity_hint":1.0,"boot_ms":0}}"#,
            self.uid, self.address, self.kind, self.destination, self.state
        )
    }
}

/// A notice that the sender posted.
#[derive(Clone, Debug)]
pub struct Notice {
    pub at: Instant,
    pub id: String,
    pub state: String,
    pub after_ms: Option<u64>,
}

struct DiscoveryState {
    revision: u64,
    targets: Vec<Target>,
    changes: Vec<(u64, Target)>,
    notices: Vec<Notice>,
}

#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<(Mutex<DiscoveryState>, Condvar)>,
    record: Record,
}

impl Discovery {
    pub fn start(record: &Record, targets: Vec<Target>) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let state = DiscoveryState { revision: 1, targets, changes: Vec::new(), notices: Vec::new() };
        let discovery = Discovery {
            address: listener.local_addr()?,
            state: Arc::new((Mutex::new(state), Condvar::new())),
            record: record.clone(),
        };
        let accepting = discovery.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = accepting.clone();
                std::thread::spawn(move || serving.serve(stream));
            }
        });
        Ok(discovery)
    }

    /// Changes entries of the list; watches are told at once.
    pub fn change(&self, targets: Vec<Target>) {
        let mut state = self.state.0.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        for target in targets {
            self.record.line(format!("discovery: {} of destination {} is {}", target.uid, target.destination, target.state));
            state.targets.retain(|known| known.uid != target.uid);
            if target.state != "removed" {
                state.targets.push(target.clone());
            }
            state.changes.push((revision, target));
        }
        self.state.1.notify_all();
    }

    pub fn notices(&self) -> Vec<Notice> {
        self.state.0.lock().unwrap().notices.clone()
    }

    pub fn notices_of(&self, id: &str) -> Vec<Notice> {
        self.notices().into_iter().filter(|notice| notice.id == id).collect()
    }

    fn serve(&self, mut stream: TcpStream) {
        let mut buffer = Vec::new();
        let _ = stream.set_nodelay(true);
        while let Some(request) = read_message(&mut stream, &mut buffer) {
            let path = request.first_line.split(' ').nth(1).unwrap_or("").to_string();
            if path == "/v1/outcomes" {
                self.take_notices(&request.body);
                let _ = stream.write_all(b"HTTP/1.1 204 No Content\r\n\r\n");
            } else if let Some((_, from)) = path.split_once("watch=1&from=") {
                self.watch(&mut stream, from.parse().unwrap_or(0));
                return;
            } else {
                let (text, _) = self.whole_list();
                let _ = write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}", text.len());
            }
        }
    }

    fn take_notices(&self, body: &[u8]) {
        let text = String::from_utf8_lossy(body);
        for line in text.lines().filter(|line| !line.trim().is_empty()) {
            let field = |name: &str| {
                let rest = line.split_once(&format!("\"{name}\":"))?.1.trim_start();
                Some(match rest.strip_prefix('"') {
                    Some(quoted) => quoted.split('"').next().unwrap_or("").to_string(),
                    None => rest.split([',', '}']).next().unwrap_or("").trim().to_string(),
                })
            };
            let notice = Notice {
                at: Instant::now(),
                id: field("id").unwrap_or_default(),
                state: field("state").unwrap_or_default(),
                after_ms: field("after_ms").and_then(|text| text.parse().ok()),
            };
            self.record.line(format!("platform: notice {line}"));
            self.state.0.lock().unwrap().notices.push(notice);
        }
    }

    fn whole_list(&self) -> (String, u64) {
        let state = self.state.0.lock().unwrap();
        let targets: Vec<String> = state.targets.iter().map(Target::json).collect();
        (format!(r#"{{"rev":{},"all":true,"targets":[{}]}}"#, state.revision, targets.join(",")), state.revision)
    }

    fn watch(&self, stream: &mut TcpStream, from: u64) {
        let mut known = from;
        let mut first = true;
        let mut head_sent = false;
        loop {
            let (text, revision) = {
                let mut state = self.state.0.lock().unwrap();
                if !first && state.revision == known {
                    state = self.state.1.wait_timeout(state, Duration::from_secs(2)).unwrap().0;
                }
                let changed: Vec<String> =
                    state.changes.iter().filter(|(at, _)| *at > known).map(|(_, target)| target.json()).collect();
                let revision = state.revision;
                if first && (known == 0 || known > revision) {
                    drop(state);
                    self.whole_list()
                } else if changed.is_empty() && !first {
                    (String::new(), known)
                } else {
                    (format!(r#"{{"rev":{revision},"all":false,"targets":[{}]}}"#, changed.join(",")), revision)
                }
            };
            first = false;
            known = revision;
            if !head_sent {
                head_sent = true;
                let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
                let line = format!("{text}\n");
                if write!(stream, "{head}{:x}\r\n{line}\r\n", line.len()).is_err() {
                    return;
                }
                continue;
            }
            let line = format!("{text}\n");
            if write!(stream, "{:x}\r\n{line}\r\n", line.len()).is_err() {
                return;
            }
        }
    }
}

// ---- Endpoints ----------------------------------------------------------------------------------

/// A message in a call, as the endpoint got it.
#[derive(Clone, Debug)]
pub struct Got {
    pub at: Instant,
    pub endpoint: String,
    pub id: String,
    pub key: Option<String>,
    pub body: Vec<u8>,
    /// How many calls with this message had come to the endpoint before.
    pub earlier: usize,
    pub reply: String,
}

/// What an endpoint does with a call.
#[derive(Clone, Debug)]
pub enum Reply {
    /// Answers with this status and these header lines after a time.
    Status(u16, Vec<String>, u64),
    /// Takes the call, runs it and closes the connection with no answer after a time.
    Break(u64),
    /// Takes the call and answers nothing.
    Hang,
}

pub type Behaviour = Arc<dyn Fn(&Got) -> Reply + Send + Sync>;

#[derive(Clone)]
pub struct Endpoint {
    pub uid: String,
    pub address: SocketAddr,
    pub destination: u64,
    calls: Arc<Mutex<Vec<Got>>>,
    behaviour: Arc<Mutex<Behaviour>>,
    record: Record,
}

impl Endpoint {
    pub fn start(record: &Record, uid: &str, destination: u64, behaviour: Behaviour) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let endpoint = Endpoint {
            uid: uid.to_string(),
            address: listener.local_addr()?,
            destination,
            calls: Arc::default(),
            behaviour: Arc::new(Mutex::new(behaviour)),
            record: record.clone(),
        };
        let accepting = endpoint.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = accepting.clone();
                std::thread::spawn(move || serving.serve(stream));
            }
        });
        Ok(endpoint)
    }

    pub fn target(&self, state: &'static str) -> Target {
        Target {
            uid: self.uid.clone(),
            address: self.address,
            kind: "one".to_string(),
            destination: self.destination,
            state,
        }
    }

    pub fn set_behaviour(&self, behaviour: Behaviour) {
        *self.behaviour.lock().unwrap() = behaviour;
    }

    pub fn calls(&self) -> Vec<Got> {
        self.calls.lock().unwrap().clone()
    }

    pub fn calls_of(&self, id: &str) -> Vec<Got> {
        self.calls().into_iter().filter(|got| got.id == id).collect()
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut buffer = Vec::new();
        while let Some(request) = read_message(&mut stream, &mut buffer) {
            let id = request.header("x-request-id").unwrap_or("").to_string();
            let mut got = Got {
                at: Instant::now(),
                endpoint: self.uid.clone(),
                key: request.header("idempotency-key").map(str::to_string),
                body: request.body.clone(),
                earlier: self.calls.lock().unwrap().iter().filter(|got| got.id == id).count(),
                id: id.clone(),
                reply: String::new(),
            };
            let behaviour = self.behaviour.lock().unwrap().clone();
            let reply = behaviour(&got);
            got.reply = format!("{reply:?}");
            self.record.line(format!("{}: call {} of message {id}, {reply:?}", self.uid, got.earlier + 1));
            self.calls.lock().unwrap().push(got);
            match reply {
                Reply::Status(status, headers, after_ms) => {
                    sleep_ms(after_ms);
                    let mut text = format!("HTTP/1.1 {status} Answer\r\nContent-Length: 0\r\n");
                    for header in headers {
                        text += &format!("{header}\r\n");
                    }
                    if request.closes() {
                        text += "Connection: close\r\n";
                    }
                    text += "\r\n";
                    if stream.write_all(text.as_bytes()).is_err() || request.closes() {
                        return;
                    }
                }
                Reply::Break(after_ms) => {
                    sleep_ms(after_ms);
                    return;
                }
                Reply::Hang => {
                    // holds the connection until the sender leaves it
                    let mut scratch = [0; 1024];
                    while stream.read(&mut scratch).is_ok_and(|count| count > 0) {}
                    return;
                }
            }
        }
    }
}

// ---- Clients ------------------------------------------------------------------------------------

/// A request of a client.
#[derive(Clone, Debug)]
pub struct Submission {
    pub class: String,
    pub id: String,
    pub key: Option<String>,
    pub destination: u64,
    pub timeout_ms: u64,
    pub body: Vec<u8>,
    pub headers: Vec<String>,
}

impl Submission {
    pub fn new(class: &str, id: &str, destination: u64, timeout_ms: u64) -> Self {
        Submission {
            class: class.to_string(),
            id: id.to_string(),
            key: None,
            destination,
            timeout_ms,
            body: format!("body of {id}").into_bytes(),
            headers: Vec::new(),
        }
    }

    pub fn key(mut self, key: &str) -> Self {
        self.key = Some(key.to_string());
        self
    }

    pub fn head(&self) -> String {
        let mut head = format!(
            "POST /{0} HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: {1}\r\nX-Priority-Class: {0}\r\nX-Timeout: {2}m\r\n",
            self.class, self.id, self.timeout_ms
        );
        if let Some(key) = &self.key {
            head += &format!("Idempotency-Key: {key}\r\n");
        }
        for header in &self.headers {
            head += &format!("{header}\r\n");
        }
        head + &format!("Content-Length: {}\r\nEnvelope: dest={}\r\n\r\n", self.body.len(), self.destination)
    }
}

/// A client's connection to the sender.
pub struct Client {
    stream: TcpStream,
    buffer: Vec<u8>,
    record: Record,
}

impl Client {
    pub fn connect(record: &Record, address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        Ok(Client { stream, buffer: Vec::new(), record: record.clone() })
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Reads the answer; `None` if none comes in the time.
    pub fn answer(&mut self, what: &str, ms: u64) -> Option<Message> {
        let _ = self.stream.set_read_timeout(Some(Duration::from_millis(ms)));
        let answer = read_message(&mut self.stream, &mut self.buffer);
        let text = answer.as_ref().map_or("no answer".to_string(), |answer| answer.first_line.clone());
        self.record.line(format!("client: {what} answered: {text}"));
        answer
    }

    /// Hands a message in and waits 400 ms for the answer, as the protocol page has it.
    pub fn submit(&mut self, submission: &Submission) -> Option<u16> {
        let mut request = submission.head().into_bytes();
        request.extend_from_slice(&submission.body);
        self.write(&request).ok()?;
        self.answer(&format!("{} {}", submission.class, submission.id), 400).map(|answer| answer.status())
    }
}

/// Hands a message in on a connection of its own.
pub fn submit(record: &Record, address: SocketAddr, submission: &Submission) -> Option<u16> {
    Client::connect(record, address).ok()?.submit(submission)
}

/// The status of a GET without a body; 0 if there is none.
pub fn get_status(address: SocketAddr, path: &str) -> u16 {
    let call = || {
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_millis(300)).ok()?;
        stream.set_read_timeout(Some(Duration::from_millis(1000))).ok()?;
        write!(stream, "GET {path} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n").ok()?;
        read_message(&mut stream, &mut Vec::new()).map(|answer| answer.status())
    };
    call().unwrap_or(0)
}

// ---- The sender ---------------------------------------------------------------------------------

/// A class of the settings, as JSON.
pub fn class(name: &str, effect: &str, aim: f64, deadline: f64, window: f64) -> String {
    let window = match effect {
        "deduplicated" => format!(r#","group":"all","window":{window:?}"#),
        _ => String::new(),
    };
    format!(r#"{{"name":"{name}","aim":{aim:?},"deadline":{deadline:?},"lateShare":0.3,"worth":1.0,"effect":"{effect}"{window}}}"#)
}

/// Settings of a small deployment.
#[derive(Clone, Debug)]
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub management: Option<SocketAddr>,
    pub discovery: SocketAddr,
    pub classes: Vec<String>,
    pub most_tries: u32,
    pub second_copies: bool,
    pub slots: u32,
    pub max_open: u32,
    pub balancers: u32,
    pub drain_grace: f64,
    pub dial_timeout: f64,
    pub bundle: u32,
    pub known: String,
}

impl Config {
    pub fn new(discovery: &Discovery, classes: Vec<String>) -> Self {
        Config {
            name: "n1".to_string(),
            listen: free_address(),
            management: None,
            discovery: discovery.address,
            classes,
            most_tries: 12,
            second_copies: true,
            slots: 20,
            max_open: 241,
            balancers: 2,
            drain_grace: 1.0,
            dial_timeout: 1.5,
            bundle: 5,
            known: r#"{"rev":0,"all":true,"targets":[]}"#.to_string(),
        }
    }

    pub fn json(&self) -> String {
        let management = self.management.map_or(String::new(), |address| format!(r#""management":"{address}","#));
        format!(
            r#"{{"name":"{}","listen":"{}",{management}"discovery":"{}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024,"disk_mb":3}},
"known":{},
"settings":{{"az":"a","balancers":{},"zones":["a"],"machineTypes":["bulk","one"],"discovery":"pushed","tier":0,
"caps":{{"maxOpen":{},"mostTries":{},"mayCancel":true,"secondCopies":{},"connIdle":5.0,"dialTimeout":{:?},"retryAfter":true,
"maxRetryAfter":3.0,"mayProbe":false,"peers":false}},
"report":{{"how":"piggyback","fields":["x0","x1"]}},
"classes":[{}],
"specifics":{{"callSlots":{},"bundleMax":[{},1],"routesApart":[false,false],"fades":"by_half"}},
"safety":{{"stopSendingWithin":{:?},"cold":11.0,"startCapacity":0.18,"fallMultiple":2.0,"fall":3.0,"graceToAnswer":0.02,"askEvery":10.0}}}}}}"#,
            self.name,
            self.listen,
            self.discovery,
            self.known,
            self.balancers,
            self.max_open,
            self.most_tries,
            self.second_copies,
            self.dial_timeout,
            self.classes.join(","),
            self.slots,
            self.bundle,
            self.drain_grace,
        )
    }
}

/// Where a case keeps its files: a temporary folder that is removed at the end.
pub struct Workplace {
    pub folder: PathBuf,
    /// The root of the repository, where the commands of the deploy file run.
    pub root: PathBuf,
    pub record: Record,
    processes: Mutex<HashMap<u32, Child>>,
}

impl Workplace {
    pub fn new(record: Record) -> io::Result<Self> {
        let root = std::env::current_dir()?;
        // a short name: the path of a Unix socket in the state folder is limited to about a hundred bytes
        let folder = std::env::temp_dir().join(format!("rv{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(folder.join("state"))?;
        Ok(Workplace { folder, root, record, processes: Mutex::default() })
    }

    pub fn write_config(&self, config: &Config) {
        let new = self.folder.join("config.new");
        std::fs::write(&new, config.json()).unwrap();
        std::fs::rename(&new, self.folder.join("config.json")).unwrap();
    }

    /// The command `run` of the deploy file.
    pub fn run_command(&self) -> String {
        let text = std::fs::read_to_string(self.root.join("deploy/balancer.toml")).expect("the deploy file");
        let line = text.lines().find(|line| line.starts_with("run = ")).expect("run");
        line["run = ".len()..].trim().trim_matches('"').to_string()
    }

    /// Starts a sender with the command of the deploy file; returns its process id.
    pub fn start_sender(&self, variables: &[(&str, String)]) -> u32 {
        self.start(&self.run_command(), variables)
    }

    pub fn start(&self, command: &str, variables: &[(&str, String)]) -> u32 {
        let log = std::fs::OpenOptions::new().create(true).append(true).open(self.folder.join("log")).unwrap();
        let child = Command::new("/bin/sh")
            .arg("-c")
            .arg(command)
            .current_dir(&self.root)
            .env("RELAY_CONFIG", self.folder.join("config.json"))
            .env("RELAY_STATE", self.folder.join("state"))
            .envs(variables.iter().map(|(name, value)| (*name, value.as_str())))
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .expect("the process starts");
        let id = child.id();
        self.record.line(format!("process {id} started: {command}"));
        self.processes.lock().unwrap().insert(id, child);
        id
    }

    /// Sends a signal to a process that this case started.
    pub fn signal(&self, process: u32, name: &str) {
        self.record.line(format!("process {process} gets SIG{name}"));
        let _ = Command::new("/bin/sh").arg("-c").arg(format!("kill -s {name} {process}")).status();
    }

    /// Whether the process has ended, and how.
    pub fn ended(&self, process: u32) -> Option<String> {
        let mut processes = self.processes.lock().unwrap();
        let ended = processes.get_mut(&process)?.try_wait().ok()??;
        Some(ended.to_string())
    }

    /// Kills a process and waits for its end.
    pub fn kill(&self, process: u32) {
        self.record.line(format!("process {process} gets SIGKILL"));
        if let Some(child) = self.processes.lock().unwrap().get_mut(&process) {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }

    pub fn wait_ready(&self, address: SocketAddr) -> bool {
        let ready = wait_for(10_000, || get_status(address, "/ready") == 200);
        self.record.line(format!("GET /ready: {}", if ready { "200" } else { "not 200 within 10 s" }));
        ready
    }

    /// Ends all processes and removes the folder; the log goes into the record.
    pub fn close(&self) {
        for child in self.processes.lock().unwrap().values_mut() {
            // a stopped process is ended by SIGKILL too
            let _ = child.kill();
            let _ = child.wait();
        }
        for line in self.log().lines() {
            self.record.line(format!("log: {line}"));
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Drop for Workplace {
    /// Ends what a case that panicked has left running.
    fn drop(&mut self) {
        if let Ok(mut processes) = self.processes.lock() {
            for child in processes.values_mut() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// What a case found.
pub enum Verdict {
    Held,
    Broken(String),
    CouldNotRun(String),
}
