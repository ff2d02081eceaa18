//! For tests only: a scripted agent, scripted endpoints and plain clients on loopback sockets, each on a thread
//! of its own and with a port that the system gives.

#![expect(
    clippy::missing_panics_doc,
    clippy::too_many_lines,
    reason = "names and shape of this package have not had their turn yet"
)]

pub mod cold_fleet;
mod config_variants;
mod crash_point;
mod duplicating_proxy;
mod effect_recorder;
mod engine_ports;
pub mod limited_fleet;
mod memory_journal;
mod turns;
mod unreliable_endpoint;
mod unused_address;
mod virtual_transport;

pub use config_variants::config_variants;
pub use crash_point::CrashPoint;
pub use duplicating_proxy::{
    DUPLICATE_SENT_HEADER, DuplicateContent, DuplicateTiming, DuplicatingProxy, Duplication,
};
pub use effect_recorder::EffectRecorder;
pub use engine_ports::{
    RecordingTransport, START_TIME_US, engine_ports, new_arrival, serving_endpoint,
};
pub use memory_journal::MemoryJournal;
pub use unreliable_endpoint::{Executions, spawn_unreliable_endpoint};
pub use unused_address::UnusedAddress;
pub use virtual_transport::{CallScript, ScriptedOutcome, SimulatedEnvironment, VirtualTransport};

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Longest wait for a condition: far beyond what any takes.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Waits for a condition, and fails by its name when it never comes.
pub fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let until = Instant::now() + WAIT_TIMEOUT;
    while !holds() {
        assert!(Instant::now() < until, "never came: {what}");
        thread::sleep(Duration::from_millis(3));
    }
}

/// A request, or an answer with its first line in `line`.
#[derive(Debug, Clone, Default)]
pub struct Request {
    /// First line.
    pub line: String,
    /// Headers, names in lower case.
    pub headers: BTreeMap<String, String>,
    /// Body.
    pub body: Vec<u8>,
    /// Number of the connection that it came on.
    pub connection: usize,
}

impl Request {
    /// A header's value, empty where it is missing.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// Ids of the messages in a call, single or bulk.
    #[must_use]
    pub fn message_ids(&self) -> Vec<String> {
        if self.line.starts_with("POST /inbox ") {
            return vec![self.header("x-request-id").to_string()];
        }
        let (mut ids, mut rest) = (Vec::new(), &self.body[..]);
        while let Some(end) = rest.windows(2).position(|two| two == b"\r\n") {
            let line = String::from_utf8(rest[..end].to_vec()).expect("a line of text");
            let words: Vec<&str> = line.split(' ').collect();
            assert_eq!(words.len(), 3, "{line}");
            ids.push(words[0].to_string());
            let length: usize = words[2].parse().expect("a length");
            assert_eq!(&rest[end + 2 + length..end + 4 + length], b"\r\n");
            rest = &rest[end + 4 + length..];
        }
        ids
    }
}

/// Reads one request or answer; none at the end of the connection.
fn read_http(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut request = Request::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end().to_string();
        if request.line.is_empty() {
            request.line = line;
        } else if line.is_empty() {
            break;
        } else if let Some((name, value)) = line.split_once(':') {
            request
                .headers
                .insert(name.to_ascii_lowercase(), value.trim().to_string());
        }
    }
    let length = request.header("content-length").parse().unwrap_or(0);
    request.body = vec![0; length];
    reader.read_exact(&mut request.body).ok()?;
    Some(request)
}

/// Whether the connection is to be closed behind the response.
fn asks_to_close(request: &Request) -> bool {
    request.header("connection").eq_ignore_ascii_case("close")
}

/// What an endpoint does with a call.
#[derive(Debug, Clone)]
pub enum Reply {
    /// Status line and headers, without the last empty line, and the body.
    Respond(&'static str, String),
    /// Nothing, while the connection stays open.
    NoResponse,
    /// The connection ends.
    Close,
    /// An answer, and then the connection ends.
    RespondAndClose(&'static str),
    /// These bytes, while the connection stays open.
    Raw(&'static str),
    /// These bytes, and the others a moment later.
    RawInTwoParts(&'static str, &'static str),
}

/// Delivered.
pub const OK: Reply = Reply::Respond("200 OK", String::new());

type Script = Arc<dyn Fn(&Request, usize) -> Reply + Send + Sync>;

/// A server whose script gets each request and its number.
#[derive(Clone)]
pub struct FakeEndpoint {
    /// Where it listens.
    pub address: SocketAddr,
    /// All requests so far.
    pub requests: Arc<Mutex<Vec<Request>>>,
    /// Connections accepted so far.
    pub connection_count: Arc<AtomicUsize>,
}

impl FakeEndpoint {
    /// Listens at once.
    pub fn new(script: impl Fn(&Request, usize) -> Reply + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let endpoint = FakeEndpoint {
            address: listener.local_addr().expect("bound"),
            requests: Arc::default(),
            connection_count: Arc::default(),
        };
        let (here, script): (_, Script) = (endpoint.clone(), Arc::new(script));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (here, script) = (here.clone(), script.clone());
                let connection = here.connection_count.fetch_add(1, Ordering::SeqCst);
                thread::spawn(move || here.serve(stream, connection, &script));
            }
        });
        endpoint
    }

    fn serve(&self, mut stream: TcpStream, connection: usize, script: &Script) {
        let mut reader = BufReader::new(stream.try_clone().expect("cloned"));
        while let Some(request) = read_http(&mut reader) {
            let request = Request {
                connection,
                ..request
            };
            let number = {
                let mut seen = self.requests.lock().expect("not poisoned");
                seen.push(request.clone());
                seen.len() - 1
            };
            let (head, body, last) = match script(&request, number) {
                Reply::Respond(head, body) => (head, body, false),
                Reply::RespondAndClose(head) => (head, String::new(), true),
                Reply::NoResponse => continue,
                Reply::Raw(text) => {
                    let _ = stream.write_all(text.as_bytes());
                    continue;
                }
                Reply::RawInTwoParts(text, late) => {
                    let _ = stream.write_all(text.as_bytes());
                    thread::sleep(Duration::from_millis(50));
                    let _ = stream.write_all(late.as_bytes());
                    continue;
                }
                Reply::Close => return,
            };
            let closes = asks_to_close(&request);
            let connection_header = if closes { "Connection: close\r\n" } else { "" };
            let text = format!(
                "HTTP/1.1 {head}\r\n{connection_header}Content-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if stream.write_all(text.as_bytes()).is_err() || last || closes {
                return;
            }
        }
    }

    /// Requests so far.
    #[must_use]
    pub fn request_count(&self) -> usize {
        self.requests.lock().expect("not poisoned").len()
    }

    /// One of the requests.
    #[must_use]
    pub fn request(&self, number: usize) -> Request {
        self.requests.lock().expect("not poisoned")[number].clone()
    }

    /// How often a message came.
    pub fn attempt_count(&self, id: &str) -> usize {
        let seen = self.requests.lock().expect("not poisoned");
        seen.iter()
            .flat_map(Request::message_ids)
            .filter(|other| other == id)
            .count()
    }
}

/// Discovery: tells one list to each watch, and takes notices.
pub struct FakeDiscovery {
    /// Where it listens.
    pub address: SocketAddr,
    /// Lines of notices that were taken.
    pub notifications: Arc<Mutex<Vec<String>>>,
    /// Lines for the next watch; empty: a silent one, as while discovery is down.
    pub watch_lines: Arc<Mutex<Vec<String>>>,
    /// Watches so far.
    pub watch_count: Arc<AtomicUsize>,
    /// So many requests with notices are answered 500 first.
    pub remaining_faults: Arc<AtomicUsize>,
}

impl FakeDiscovery {
    /// Listens at once; these lines go to each watch.
    #[must_use]
    pub fn new(lines: Vec<String>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let agent = FakeDiscovery {
            address: listener.local_addr().expect("bound"),
            notifications: Arc::default(),
            watch_lines: Arc::new(Mutex::new(lines)),
            watch_count: Arc::default(),
            remaining_faults: Arc::default(),
        };
        let (notices, lines) = (agent.notifications.clone(), agent.watch_lines.clone());
        let (watches, faults) = (agent.watch_count.clone(), agent.remaining_faults.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (notices, lines) = (notices.clone(), lines.clone());
                let (watches, faults) = (watches.clone(), faults.clone());
                thread::spawn(move || serve_agent(stream, &notices, &lines, &watches, &faults));
            }
        });
        agent
    }

    /// Lines of notices so far, each once: an agent that is slow to answer gets one again, and that says nothing new.
    #[must_use]
    pub fn notifications(&self) -> Vec<String> {
        let mut lines: Vec<String> = Vec::new();
        for line in self.notifications.lock().expect("not poisoned").iter() {
            if !lines.contains(line) {
                lines.push(line.clone());
            }
        }
        lines
    }
}

fn serve_agent(
    mut stream: TcpStream,
    notices: &Mutex<Vec<String>>,
    lines: &Mutex<Vec<String>>,
    watches: &AtomicUsize,
    faults: &AtomicUsize,
) {
    let mut reader = BufReader::new(stream.try_clone().expect("cloned"));
    let Some(request) = read_http(&mut reader) else {
        return;
    };
    if request.line.starts_with("POST /v1/outcomes ") {
        let faulty = faults
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |left| {
                left.checked_sub(1)
            })
            .is_ok();
        let status = if faulty { "500 Oops" } else { "204 No Content" };
        if !faulty {
            let text = String::from_utf8(request.body).expect("text");
            notices
                .lock()
                .expect("not poisoned")
                .extend(text.lines().map(str::to_string));
        }
        let _ =
            stream.write_all(format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n").as_bytes());
        return;
    }
    assert!(
        request.line.starts_with("GET /v1/endpoints?watch=1&from="),
        "{}",
        request.line
    );
    watches.fetch_add(1, Ordering::SeqCst);
    let mut told = lines.lock().expect("not poisoned").clone();
    if stream
        .write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        .is_err()
    {
        return;
    }
    let silent = told.is_empty();
    loop {
        for line in told.drain(..) {
            let chunk = format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
            if stream.write_all(chunk.as_bytes()).is_err() {
                return;
            }
        }
        thread::sleep(Duration::from_millis(500));
        if !silent {
            told.push(String::new());
        }
    }
}

/// A list for discovery's form: each endpoint's uid, address, kind, destination and state.
#[must_use]
pub fn list_json(entries: &[(&str, SocketAddr, &str, u64, &str)]) -> String {
    let targets: Vec<String> = entries
        .iter()
        .map(|(uid, address, kind, destination, state)| {
            format!(
                r#"{{"uid":"{uid}","endpoint":"{address}","az":"a","model":"{kind}","pod_group":{destination},"state":"{state}","capacity_hint":1.0,"boot_ms":0}}"#
            )
        })
        .collect();
    format!(
        r#"{{"rev":7,"all":true,"targets":[{}]}}"#,
        targets.join(",")
    )
}

/// A message as a client hands it in.
#[must_use]
pub fn message_request(class: &str, id: &str, dest: u64, time_ms: u64, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "POST /{class} HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: {id}\r\nX-Priority-Class: {class}\r\n\
         X-Timeout: {time_ms}m\r\nIdempotency-Key: key-{id}\r\nContent-Length: {}\r\nEnvelope: dest={dest}\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), body].concat()
}

/// A connection of a client.
pub struct Client(BufReader<TcpStream>);

impl Client {
    /// Connects.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).expect("the sender accepts");
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("set");
        Client(BufReader::new(stream))
    }

    /// True once the sender has closed the connection, with whatever answer before that.
    pub fn is_closed(&mut self) -> bool {
        let mut rest = Vec::new();
        self.0
            .get_mut()
            .set_read_timeout(Some(Duration::from_millis(20)))
            .expect("set");
        match self.0.read_to_end(&mut rest) {
            Ok(_) => true,
            Err(error) => error.kind() == std::io::ErrorKind::ConnectionReset,
        }
    }

    /// Writes and waits for nothing.
    pub fn write(&mut self, bytes: &[u8]) {
        let _ = self.0.get_mut().write_all(bytes);
    }

    /// The answer's status and head; none if the connection ends first.
    pub fn send(&mut self, bytes: &[u8]) -> Option<(u16, Request)> {
        self.0.get_mut().write_all(bytes).ok()?;
        let answer = read_http(&mut self.0)?;
        let status = answer.line.split(' ').nth(1)?.parse().ok()?;
        Some((status, answer))
    }
}
