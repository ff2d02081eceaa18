//! Parts of the review's cases: processes, a record, a client, endpoints, and the platform's discovery. Only the standard
//! library is used. All addresses are loopback addresses.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

/// A case that runs longer than this is ended, and counts as one that couldn't run.
const TIME_LIMIT: Duration = Duration::from_secs(110);

static START: OnceLock<Instant> = OnceLock::new();
static RECORD: OnceLock<Mutex<File>> = OnceLock::new();
static PROCESSES: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// The environment of a case: its temporary folder, the repository's root, and whether the disruption happens.
pub struct Case {
    pub folder: PathBuf,
    pub root: PathBuf,
    pub trouble: bool,
}

/// Seconds since the start of the case.
pub fn seconds() -> f64 {
    START.get_or_init(Instant::now).elapsed().as_secs_f64()
}

/// Writes a line to the record, with the time since the start.
pub fn record(text: impl AsRef<str>) {
    let line = format!("{:9.3} {}\n", seconds(), text.as_ref());
    if let Some(file) = RECORD.get() {
        let _ = file.lock().unwrap().write_all(line.as_bytes());
    }
}

/// Starts a case: reads the environment that `run.sh` sets, and limits the time. A panic counts as a case that couldn't
/// run.
pub fn begin() -> Case {
    seconds();
    let variable = |name: &str| PathBuf::from(std::env::var(name).expect(name));
    let case = Case {
        folder: variable("CASE_FOLDER"),
        root: variable("CASE_ROOT"),
        trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
    };
    let file = File::create(variable("CASE_RECORD")).expect("the record");
    let _ = RECORD.set(Mutex::new(file));
    let default_hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        default_hook(info);
        cannot_run(&format!("{info}"));
    }));
    thread::spawn(|| {
        thread::sleep(TIME_LIMIT);
        cannot_run("the time limit of the case is over");
    });
    record(format!("begin, trouble: {}", case.trouble));
    case
}

fn end_processes() {
    let processes = std::mem::take(&mut *PROCESSES.lock().unwrap());
    for id in processes {
        signal_id(id, "KILL");
    }
}

/// Ends the case as one that couldn't run.
pub fn cannot_run(why: &str) -> ! {
    record(format!("COULD NOT RUN: {why}"));
    eprintln!("could not run: {why}");
    end_processes();
    std::process::exit(2);
}

/// Ends the case with its verdict.
pub fn finish(broken: Option<String>) -> ! {
    end_processes();
    match broken {
        Some(why) => {
            record(format!("BROKEN: {why}"));
            println!("broken: {why}");
            std::process::exit(1);
        }
        None => {
            record("HELD");
            println!("held");
            std::process::exit(0);
        }
    }
}

/// Waits until `is_met` returns true; false if that takes longer than `limit`.
pub fn wait_for(limit: Duration, mut is_met: impl FnMut() -> bool) -> bool {
    let deadline = Instant::now() + limit;
    while !is_met() {
        if Instant::now() >= deadline {
            return false;
        }
        thread::sleep(Duration::from_millis(2));
    }
    true
}

/// Waits until `is_met` returns true. A case in which that takes longer than 20 s couldn't run.
pub fn require(what: &str, is_met: impl FnMut() -> bool) {
    if !wait_for(Duration::from_secs(20), is_met) {
        cannot_run(&format!("waited in vain for: {what}"));
    }
}

pub fn sleep_ms(milliseconds: u64) {
    thread::sleep(Duration::from_millis(milliseconds));
}

/// A free port below the range from which the kernel takes ports of outgoing connections.
pub fn free_port() -> u16 {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    for _ in 0..2000 {
        let step = NEXT.fetch_add(1, Ordering::SeqCst);
        let port = 12_000 + ((u64::from(std::process::id()) * 37 + step * 13) % 18_000) as u16;
        if TcpListener::bind(("127.0.0.1", port)).is_ok() {
            return port;
        }
    }
    cannot_run("no free port");
}

// ---- processes ----------------------------------------------------------------------------------------------------

fn signal_id(id: u32, name: &str) {
    let _ = Command::new("kill")
        .args([&format!("-{name}"), &id.to_string()])
        .stderr(Stdio::null())
        .status();
}

/// A process of the project, and the lines of its log.
pub struct Process {
    pub name: String,
    child: Child,
    pub log: Arc<Mutex<Vec<String>>>,
}

impl Process {
    /// Starts a command line by `/bin/sh -c` from the repository's root, as the deploy file has it.
    pub fn start(case: &Case, name: &str, command: &str, variables: &[(&str, String)]) -> Self {
        let mut child = Command::new("/bin/sh")
            .args(["-c", command])
            .current_dir(&case.root)
            .envs(variables.iter().map(|(name, value)| (*name, value.as_str())))
            .env("TMPDIR", &case.folder)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap_or_else(|error| cannot_run(&format!("{command}: {error}")));
        PROCESSES.lock().unwrap().push(child.id());
        record(format!("{name}: started as process {}", child.id()));
        let log: Arc<Mutex<Vec<String>>> = Arc::default();
        let outputs: [Box<dyn Read + Send>; 2] = [
            Box::new(child.stdout.take().unwrap()),
            Box::new(child.stderr.take().unwrap()),
        ];
        for output in outputs {
            let (log, name) = (log.clone(), name.to_string());
            thread::spawn(move || {
                for line in BufReader::new(output).lines().map_while(Result::ok) {
                    record(format!("{name} | {line}"));
                    log.lock().unwrap().push(line);
                }
            });
        }
        Process {
            name: name.to_string(),
            child,
            log,
        }
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, name: &str) {
        record(format!("{}: SIG{name}", self.name));
        signal_id(self.child.id(), name);
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        self.signal("KILL");
        self.wait();
    }

    /// Waits for the end of the process.
    pub fn wait(&mut self) {
        let _ = self.child.wait();
        self.forget();
    }

    fn forget(&self) {
        PROCESSES
            .lock()
            .unwrap()
            .retain(|id| *id != self.child.id());
    }

    pub fn has_ended(&mut self) -> bool {
        let ended = matches!(self.child.try_wait(), Ok(Some(_)));
        if ended {
            self.forget();
        }
        ended
    }

    /// The largest memory that the process has had, as the kernel tells it; for the record only.
    pub fn largest_memory(&self) -> String {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        line.unwrap_or("unknown").trim().to_string()
    }

    pub fn logged(&self, text: &str) -> bool {
        self.log.lock().unwrap().iter().any(|line| line.contains(text))
    }

    pub fn log_count(&self, text: &str) -> usize {
        let log = self.log.lock().unwrap();
        log.iter().filter(|line| line.contains(text)).count()
    }
}

/// Runs a command of the program to its end; returns its exit code and its standard output.
pub fn run_command(
    case: &Case,
    arguments: &[&str],
    variables: &[(&str, String)],
) -> (i32, String) {
    let output = Command::new(case.root.join("target/release/milletturn"))
        .args(arguments)
        .current_dir(&case.root)
        .envs(variables.iter().map(|(name, value)| (*name, value.as_str())))
        .stdin(Stdio::null())
        .output()
        .unwrap_or_else(|error| cannot_run(&format!("{arguments:?}: {error}")));
    let text = String::from_utf8_lossy(&output.stdout).to_string();
    let code = output.status.code().unwrap_or(-1);
    record(format!("command {arguments:?}: exit code {code}, {}", text.trim()));
    (code, text)
}

// ---- HTTP ---------------------------------------------------------------------------------------------------------

/// A request or a response.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub start_line: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// The status of a response; 0 if the message is no response.
    pub fn status(&self) -> u16 {
        let mut words = self.start_line.split(' ');
        words.nth(1).and_then(|word| word.parse().ok()).unwrap_or(0)
    }
}

/// Reads a head and a body of the length that the head names; `None` if the connection ends before.
pub fn read_message(reader: &mut impl BufRead) -> Option<Message> {
    let mut message = read_head(reader)?;
    let length: usize = message.header("content-length").parse().unwrap_or(0);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body).ok()?;
    Some(message)
}

pub fn read_head(reader: &mut impl BufRead) -> Option<Message> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if message.start_line.is_empty() {
            message.start_line = line.to_string();
        } else if line.is_empty() {
            return Some(message);
        } else if let Some((name, value)) = line.split_once(':') {
            let name = name.trim().to_ascii_lowercase();
            message.headers.insert(name, value.trim().to_string());
        }
    }
}

/// Sends one request on a connection of its own; `None` if no response comes within `limit`.
pub fn call(
    address: SocketAddr,
    head: &str,
    body: &[u8],
    limit: Duration,
) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&address, limit).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    let mut bytes = head.as_bytes().to_vec();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).ok()?;
    read_message(&mut BufReader::new(stream))
}

/// A message that a client hands in.
pub struct Submission<'a> {
    pub class: &'a str,
    pub id: &'a str,
    pub key: Option<&'a str>,
    pub destination: u64,
    pub timeout_ms: u64,
    pub body: &'a [u8],
    pub subject: Option<&'a str>,
}

impl Submission<'_> {
    /// Hands the message in as the protocol page has it, and waits 400 ms for the answer; 0 if none comes.
    pub fn submit(&self, sender: SocketAddr) -> u16 {
        let key = self
            .key
            .map(|key| format!("Idempotency-Key: {key}\r\n"))
            .unwrap_or_default();
        let query = self
            .subject
            .map(|subject| format!("?subject={subject}"))
            .unwrap_or_default();
        let head = format!(
            "POST /{class}{query} HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: {id}\r\nX-Priority-Class: {class}\r\n\
             X-Timeout: {timeout}m\r\n{key}Content-Length: {length}\r\nEnvelope: dest={dest}\r\n\r\n",
            class = self.class,
            id = self.id,
            timeout = self.timeout_ms,
            length = self.body.len(),
            dest = self.destination,
        );
        let answer = call(sender, &head, self.body, Duration::from_millis(400));
        answer.map_or(0, |answer| answer.status())
    }
}

/// Waits until the sender answers `GET /ready` with 200.
pub fn require_ready(address: SocketAddr) {
    require("the sender is ready", || is_ready(address));
}

pub fn is_ready(address: SocketAddr) -> bool {
    let head = "GET /ready HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n";
    call(address, head, &[], Duration::from_millis(500)).is_some_and(|answer| answer.status() == 200)
}

// ---- endpoints ----------------------------------------------------------------------------------------------------

/// What an endpoint does with a call.
pub struct Reply {
    /// The status line's code and text, such as `200 OK`; empty if the connection ends with no answer.
    pub status: String,
    /// Further header lines, each with its line end.
    pub headers: String,
    pub body: String,
    /// The time from the request's last byte to the response.
    pub delay: Duration,
}

pub fn reply(status: &str, delay_ms: u64) -> Reply {
    Reply {
        status: status.to_string(),
        headers: String::new(),
        body: String::new(),
        delay: Duration::from_millis(delay_ms),
    }
}

type Respond = dyn Fn(&Message) -> Reply + Send + Sync;

/// An endpoint: answers each call as a function says, closes a connection when the request asks for it, and repeats the
/// request's id in each response.
pub struct Endpoint {
    pub address: SocketAddr,
}

impl Endpoint {
    pub fn start(respond: impl Fn(&Message) -> Reply + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", free_port())).expect("an endpoint's address");
        let address = listener.local_addr().unwrap();
        let respond: Arc<Respond> = Arc::new(respond);
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let respond = respond.clone();
                thread::spawn(move || serve_calls(stream, &respond));
            }
        });
        Endpoint { address }
    }
}

fn serve_calls(stream: TcpStream, respond: &Arc<Respond>) {
    let _ = stream.set_nodelay(true);
    let mut writer = stream.try_clone().expect("a second handle");
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_message(&mut reader) {
        let answer = respond(&request);
        thread::sleep(answer.delay);
        if answer.status.is_empty() {
            return;
        }
        let closes = request.header("connection").eq_ignore_ascii_case("close");
        let close = if closes { "Connection: close\r\n" } else { "" };
        let id = match request.header("x-request-id") {
            "" => String::new(),
            id => format!("X-Request-ID: {id}\r\n"),
        };
        let text = format!(
            "HTTP/1.1 {}\r\n{id}{}{close}Content-Length: {}\r\n\r\n{}",
            answer.status,
            answer.headers,
            answer.body.len(),
            answer.body
        );
        if writer.write_all(text.as_bytes()).is_err() || closes {
            let _ = writer.shutdown(Shutdown::Write);
            return;
        }
    }
}

// ---- the platform -------------------------------------------------------------------------------------------------

/// A notice that a sender has posted.
#[derive(Debug, Clone)]
pub struct Notice {
    pub id: String,
    pub state: String,
    pub at: Instant,
}

/// Discovery: tells one list of endpoints, and takes notices.
pub struct Discovery {
    pub address: SocketAddr,
    pub notices: Arc<Mutex<Vec<Notice>>>,
}

/// One line of the list.
pub fn target(uid: &str, address: SocketAddr, kind: &str, destination: u64) -> String {
    format!(
        r#"{{"uid":"{uid}","endpoint":"{address}","az":"a","model":"{kind}","pod_group":{destination},"state":"up","capacity_hint":1.0,"boot_ms":0}}"#
    )
}

pub fn list_json(targets: &[String]) -> String {
    format!(r#"{{"rev":1,"all":true,"targets":[{}]}}"#, targets.join(","))
}

impl Discovery {
    pub fn start(targets: &[String]) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", free_port())).expect("discovery's address");
        let address = listener.local_addr().unwrap();
        let notices: Arc<Mutex<Vec<Notice>>> = Arc::default();
        let (list, taken) = (list_json(targets), notices.clone());
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (list, taken) = (list.clone(), taken.clone());
                thread::spawn(move || serve_discovery(stream, &list, &taken));
            }
        });
        Discovery { address, notices }
    }

    /// The notices of a message.
    pub fn notices_of(&self, id: &str) -> Vec<Notice> {
        let notices = self.notices.lock().unwrap();
        notices.iter().filter(|notice| notice.id == id).cloned().collect()
    }
}

fn serve_discovery(stream: TcpStream, list: &str, notices: &Mutex<Vec<Notice>>) {
    let _ = stream.set_nodelay(true);
    let mut writer = stream.try_clone().expect("a second handle");
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_message(&mut reader) {
        let path = request.start_line.split(' ').nth(1).unwrap_or("");
        if path == "/v1/outcomes" {
            let at = Instant::now();
            for line in String::from_utf8_lossy(&request.body).lines() {
                let id = text_field(line, "id");
                let state = text_field(line, "state");
                record(format!("discovery: notice {id} {state}"));
                notices.lock().unwrap().push(Notice { id, state, at });
            }
            let _ = writer.write_all(b"HTTP/1.1 204 No Content\r\n\r\n");
        } else if path.contains("watch=1") {
            let _ = writer.write_all(
                b"HTTP/1.1 200 OK\r\nContent-Type: application/x-ndjson\r\nTransfer-Encoding: chunked\r\n\r\n",
            );
            let first = match path.contains("from=1") {
                true => "\n".to_string(),
                false => format!("{list}\n"),
            };
            let mut line = first;
            loop {
                let chunk = format!("{:x}\r\n{line}\r\n", line.len());
                if writer.write_all(chunk.as_bytes()).is_err() {
                    return;
                }
                thread::sleep(Duration::from_secs(2));
                line = "\n".to_string();
            }
        } else {
            let text = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{list}",
                list.len()
            );
            let _ = writer.write_all(text.as_bytes());
        }
    }
}

/// The value of a text field of a JSON object in which no text has an escape.
pub fn text_field(json: &str, name: &str) -> String {
    let marker = format!("\"{name}\":");
    let Some(at) = json.find(&marker) else {
        return String::new();
    };
    let rest = json[at + marker.len()..].trim_start();
    rest.strip_prefix('"')
        .and_then(|rest| rest.split('"').next())
        .unwrap_or("")
        .to_string()
}

/// The value of a whole number's field of a JSON object.
pub fn number_field(json: &str, name: &str) -> Option<u64> {
    let marker = format!("\"{name}\":");
    let rest = json[json.find(&marker)? + marker.len()..].trim_start();
    let end = rest
        .find(|letter: char| !letter.is_ascii_digit())
        .unwrap_or(rest.len());
    rest[..end].parse().ok()
}

// ---- the sender ---------------------------------------------------------------------------------------------------

/// The platform's sender: its folder, configuration and addresses, which outlast its processes.
pub struct Sender {
    pub address: SocketAddr,
    pub folder: PathBuf,
    pub variables: Vec<(&'static str, String)>,
    next_process: AtomicU64,
}

/// The parts of a configuration that cases set.
pub struct Setup<'a> {
    pub discovery: SocketAddr,
    pub known: &'a [String],
    /// The items of `settings.classes`.
    pub classes: &'a str,
    pub disk_mb: f64,
    pub max_open: usize,
    pub call_slots: usize,
    /// The settings of the store of dead letters; `None` for a sender without one.
    pub store: Option<&'a str>,
}

impl Sender {
    pub fn new(case: &Case, setup: &Setup) -> Self {
        let folder = case.folder.join("sender");
        std::fs::create_dir_all(folder.join("state")).expect("a folder");
        let address = SocketAddr::from(([127, 0, 0, 1], free_port()));
        let config = format!(
            r#"{{"name":"n1","listen":"{address}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":2048,"sockets":1024,"disk_mb":{disk}}},
"known":{known},
"settings":{{"az":"a","balancers":1,"zones":["a"],"machineTypes":["one"],
"caps":{{"maxOpen":{max_open},"mostTries":12,"mayCancel":true,"secondCopies":true,"connIdle":5.0,"dialTimeout":1.5,"retryAfter":false,"maxRetryAfter":3.0}},
"report":{{"how":"piggyback","fields":["x0","x1"]}},
"classes":[{classes}],
"specifics":{{"callSlots":{slots},"bundleMax":[1],"routesApart":[false]}},
"safety":{{"stopSendingWithin":1.0,"cold":11.0,"startCapacity":0.18,"fallMultiple":2.0,"fall":3.0}}}}}}"#,
            discovery = setup.discovery,
            disk = setup.disk_mb,
            known = list_json(setup.known),
            max_open = setup.max_open,
            classes = setup.classes,
            slots = setup.call_slots,
        );
        std::fs::write(folder.join("config.json"), config).expect("the configuration");
        let path = |name: &str| folder.join(name).to_string_lossy().to_string();
        let mut variables = vec![
            ("RELAY_CONFIG", path("config.json")),
            ("RELAY_STATE", path("state")),
        ];
        if let Some(store) = setup.store {
            std::fs::write(folder.join("undelivered.toml"), store).expect("the store's settings");
            variables.push(("MILLETTURN_UNDELIVERED", path("undelivered.toml")));
        }
        Sender {
            address,
            folder,
            variables,
            next_process: AtomicU64::new(1),
        }
    }

    /// Starts a process of the sender with the `run` command of the deploy file.
    pub fn start(&self, case: &Case) -> Process {
        let number = self.next_process.fetch_add(1, Ordering::SeqCst);
        Process::start(
            case,
            &format!("sender process {number}"),
            &deploy_command(&case.root, "run"),
            &self.variables,
        )
    }

    /// Replaces a text of the configuration file.
    pub fn change_config(&self, from: &str, to: &str) {
        let file = self.folder.join("config.json");
        let text = std::fs::read_to_string(&file).expect("the configuration");
        assert!(text.contains(from), "the configuration has no {from}");
        let new = self.folder.join("config.new");
        std::fs::write(&new, text.replace(from, to)).expect("written");
        std::fs::rename(&new, &file).expect("replaced");
        record(format!("configuration: {from} replaced by {to}"));
    }
}

/// A command of the deploy file.
pub fn deploy_command(root: &Path, name: &str) -> String {
    let text = std::fs::read_to_string(root.join("deploy/balancer.toml")).expect("the deploy file");
    let marker = format!("{name} = \"");
    let line = text.lines().find_map(|line| line.strip_prefix(&marker));
    let command = line.and_then(|rest| rest.split('"').next());
    command
        .unwrap_or_else(|| cannot_run("the deploy file has no such command"))
        .to_string()
}

/// A flag that several threads share.
pub fn flag(value: bool) -> Arc<AtomicBool> {
    Arc::new(AtomicBool::new(value))
}
