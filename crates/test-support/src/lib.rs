//! Test doubles: a fake discovery service, fake endpoints and a plain HTTP client on loopback sockets, and a simulated
//! transport, journal and fleets of senders in virtual time.
//!
//! Each fake server runs on a thread of its own and listens on a port that the operating system picks.

#![expect(
    clippy::missing_panics_doc,
    clippy::too_many_lines,
    reason = "test doubles panic to fail the test, and each simulation is one long function"
)]

mod client_crowd;
pub mod cold_fleet;
mod config_variants;
mod crash_point;
mod duplicating_proxy;
mod effect_recorder;
mod engine_ports;
mod flooding_client;
mod impatient_client;
pub mod limited_fleet;
mod memory_journal;
mod process_memory;
mod stalled_address;
mod turns;
mod unreliable_endpoint;
mod unused_address;
mod virtual_transport;

pub use client_crowd::{ClientCrowd, CrowdBehavior};
pub use config_variants::config_variants;
pub use crash_point::CrashPoint;
pub use duplicating_proxy::{
    DUPLICATE_SENT_HEADER, DuplicateContent, DuplicateTiming, DuplicatingProxy, Duplication,
};
pub use effect_recorder::EffectRecorder;
pub use engine_ports::{
    RecordingTransport, START_TIME_US, engine_ports, new_arrival, serving_endpoint,
};
pub use flooding_client::FloodingClient;
pub use impatient_client::{
    RESPONSE_TIMEOUT, ResponseCounts, submit_on_new_connections, submit_until_full,
};
pub use memory_journal::MemoryJournal;
pub use process_memory::{peak_resident_bytes, resident_file_bytes};
pub use stalled_address::StalledAddress;
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

/// Maximum time that a test waits for a condition; far longer than any condition should take to become true.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Waits until `is_met` returns true, and panics with `condition` if that takes longer than [`WAIT_TIMEOUT`].
pub fn wait_until(condition: &str, mut is_met: impl FnMut() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !is_met() {
        assert!(
            Instant::now() < deadline,
            "timed out waiting for: {condition}"
        );
        thread::sleep(Duration::from_millis(3));
    }
}

/// An HTTP request or response.
#[derive(Debug, Clone, Default)]
pub struct Request {
    /// Request line or status line, without the line end.
    pub start_line: String,
    /// Headers by name, in lower case.
    pub headers: BTreeMap<String, String>,
    /// Body, of the length that `Content-Length` gives; empty without that header.
    pub body: Vec<u8>,
    /// Number of the connection on which the endpoint received the request, counted from 0.
    pub connection: usize,
}

impl Request {
    /// Value of a header, empty if the message has no such header.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// IDs of the messages in a request to an endpoint: one message, or a batch of them in the bulk form.
    #[must_use]
    pub fn message_ids(&self) -> Vec<String> {
        if self.start_line.starts_with("POST /inbox ") {
            return vec![self.header("x-request-id").to_string()];
        }
        let (mut ids, mut unparsed) = (Vec::new(), &self.body[..]);
        while let Some(line_end) = unparsed.windows(2).position(|pair| pair == b"\r\n") {
            let item_head =
                String::from_utf8(unparsed[..line_end].to_vec()).expect("a line of text");
            let fields: Vec<&str> = item_head.split(' ').collect();
            assert_eq!(fields.len(), 3, "{item_head}");
            ids.push(fields[0].to_string());
            let length: usize = fields[2].parse().expect("a length");
            assert_eq!(
                &unparsed[line_end + 2 + length..line_end + 4 + length],
                b"\r\n"
            );
            unparsed = &unparsed[line_end + 4 + length..];
        }
        ids
    }
}

/// Reads one request or response; `None` if the connection ends before the request or response is complete.
fn read_http(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut request = Request::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end().to_string();
        if request.start_line.is_empty() {
            request.start_line = line;
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

/// Whether the request has `Connection: close`, so that the connection is closed after the response.
fn asks_to_close(request: &Request) -> bool {
    request.header("connection").eq_ignore_ascii_case("close")
}

/// What a [`FakeEndpoint`] does with a request.
#[derive(Debug, Clone)]
pub enum Reply {
    /// Responds with this status and these headers (separated by CRLF, without a trailing CRLF) and this body.
    Respond(&'static str, String),
    /// Sends nothing and keeps the connection open.
    NoResponse,
    /// Closes the connection without a response.
    Close,
    /// Responds with this status and these headers and an empty body, then closes the connection.
    RespondAndClose(&'static str),
    /// Writes these bytes as they are and keeps the connection open.
    Raw(&'static str),
    /// Writes the first text as it is and the second 50 ms later, and keeps the connection open.
    RawInTwoParts(&'static str, &'static str),
}

/// The response that reports a message as delivered: 200 with an empty body.
pub const OK: Reply = Reply::Respond("200 OK", String::new());

type Script = Arc<dyn Fn(&Request, usize) -> Reply + Send + Sync>;

/// An HTTP server that passes each request and its number, counted from 0, to a script and does what the script
/// returns.
#[derive(Clone)]
pub struct FakeEndpoint {
    /// Address on which the endpoint listens.
    pub address: SocketAddr,
    /// All requests received so far.
    pub requests: Arc<Mutex<Vec<Request>>>,
    /// Number of connections accepted so far.
    pub connection_count: Arc<AtomicUsize>,
}

impl FakeEndpoint {
    /// Starts a server on a free loopback port; the port accepts connections when this returns.
    pub fn new(script: impl Fn(&Request, usize) -> Reply + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        FakeEndpoint::on_listener(listener, script)
    }

    /// Starts a server on a listener.
    pub fn on_listener(
        listener: TcpListener,
        script: impl Fn(&Request, usize) -> Reply + Send + Sync + 'static,
    ) -> Self {
        let endpoint = FakeEndpoint {
            address: listener.local_addr().expect("bound"),
            requests: Arc::default(),
            connection_count: Arc::default(),
        };
        let (server, script): (_, Script) = (endpoint.clone(), Arc::new(script));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (server, script) = (server.clone(), script.clone());
                let connection = server.connection_count.fetch_add(1, Ordering::SeqCst);
                thread::spawn(move || server.serve(stream, connection, &script));
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
                let mut requests = self.requests.lock().expect("not poisoned");
                requests.push(request.clone());
                requests.len() - 1
            };
            let (head, body, closes_after_response) = match script(&request, number) {
                Reply::Respond(head, body) => (head, body, false),
                Reply::RespondAndClose(head) => (head, String::new(), true),
                Reply::NoResponse => continue,
                Reply::Raw(text) => {
                    let _ = stream.write_all(text.as_bytes());
                    continue;
                }
                Reply::RawInTwoParts(first, second) => {
                    let _ = stream.write_all(first.as_bytes());
                    thread::sleep(Duration::from_millis(50));
                    let _ = stream.write_all(second.as_bytes());
                    continue;
                }
                Reply::Close => return,
            };
            let close_requested = asks_to_close(&request);
            let connection_header = if close_requested {
                "Connection: close\r\n"
            } else {
                ""
            };
            let text = format!(
                "HTTP/1.1 {head}\r\n{connection_header}Content-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if stream.write_all(text.as_bytes()).is_err()
                || closes_after_response
                || close_requested
            {
                return;
            }
        }
    }

    /// Number of requests received so far.
    #[must_use]
    pub fn request_count(&self) -> usize {
        self.requests.lock().expect("not poisoned").len()
    }

    /// The request with this number, counted from 0.
    #[must_use]
    pub fn request(&self, number: usize) -> Request {
        self.requests.lock().expect("not poisoned")[number].clone()
    }

    /// Number of requests so far that carried the message with this ID.
    pub fn attempt_count(&self, id: &str) -> usize {
        let requests = self.requests.lock().expect("not poisoned");
        requests
            .iter()
            .flat_map(Request::message_ids)
            .filter(|other| other == id)
            .count()
    }
}

/// A fake discovery service: sends `watch_events` on each watch of the endpoint list, and receives notifications.
pub struct FakeDiscovery {
    /// Address on which the service listens.
    pub address: SocketAddr,
    /// All acknowledged notifications as received, one JSON line each, repeats included.
    pub notifications: Arc<Mutex<Vec<String>>>,
    /// Events sent on each watch, one JSON line each. A change applies only to watches that are opened after it. If
    /// there are none, the watch stays open without data, which simulates an outage of discovery.
    pub watch_events: Arc<Mutex<Vec<String>>>,
    /// Number of watches opened so far.
    pub watch_count: Arc<AtomicUsize>,
    /// Number of further notification requests that are answered with 500.
    pub remaining_faults: Arc<AtomicUsize>,
}

impl FakeDiscovery {
    /// Starts the service on a free loopback port; it sends `events` on each watch.
    #[must_use]
    pub fn new(events: Vec<String>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let discovery = FakeDiscovery {
            address: listener.local_addr().expect("bound"),
            notifications: Arc::default(),
            watch_events: Arc::new(Mutex::new(events)),
            watch_count: Arc::default(),
            remaining_faults: Arc::default(),
        };
        let (notifications, events) = (
            discovery.notifications.clone(),
            discovery.watch_events.clone(),
        );
        let (watch_count, faults) = (
            discovery.watch_count.clone(),
            discovery.remaining_faults.clone(),
        );
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (notifications, events) = (notifications.clone(), events.clone());
                let (watch_count, faults) = (watch_count.clone(), faults.clone());
                thread::spawn(move || {
                    serve_discovery(stream, &notifications, &events, &watch_count, &faults);
                });
            }
        });
        discovery
    }

    /// All acknowledged notifications, without repeats: a sender sends a notification again if its acknowledgement is
    /// slow.
    #[must_use]
    pub fn notifications(&self) -> Vec<String> {
        let mut distinct: Vec<String> = Vec::new();
        for notification in self.notifications.lock().expect("not poisoned").iter() {
            if !distinct.contains(notification) {
                distinct.push(notification.clone());
            }
        }
        distinct
    }
}

fn serve_discovery(
    mut stream: TcpStream,
    notifications: &Mutex<Vec<String>>,
    events: &Mutex<Vec<String>>,
    watch_count: &AtomicUsize,
    remaining_faults: &AtomicUsize,
) {
    let mut reader = BufReader::new(stream.try_clone().expect("cloned"));
    let Some(request) = read_http(&mut reader) else {
        return;
    };
    if request.start_line.starts_with("POST /v1/outcomes ") {
        let faulty = remaining_faults
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |remaining| {
                remaining.checked_sub(1)
            })
            .is_ok();
        let status = if faulty { "500 Oops" } else { "204 No Content" };
        if !faulty {
            let text = String::from_utf8(request.body).expect("text");
            notifications
                .lock()
                .expect("not poisoned")
                .extend(text.lines().map(str::to_string));
        }
        let _ =
            stream.write_all(format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n").as_bytes());
        return;
    }
    assert!(
        request
            .start_line
            .starts_with("GET /v1/endpoints?watch=1&from="),
        "{}",
        request.start_line
    );
    watch_count.fetch_add(1, Ordering::SeqCst);
    let mut unsent = events.lock().expect("not poisoned").clone();
    if stream
        .write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        .is_err()
    {
        return;
    }
    let has_no_events = unsent.is_empty();
    loop {
        for event in unsent.drain(..) {
            let chunk = format!("{:x}\r\n{event}\n\r\n", event.len() + 1);
            if stream.write_all(chunk.as_bytes()).is_err() {
                return;
            }
        }
        thread::sleep(Duration::from_millis(500));
        if !has_no_events {
            unsent.push(String::new());
        }
    }
}

/// A full endpoint list as an event of a discovery watch, from each endpoint's uid, address, kind, destination and
/// state.
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

/// The HTTP request with which an application submits a message; `time_ms` is the message's time to live.
#[must_use]
pub fn message_request(class: &str, id: &str, dest: u64, time_ms: u64, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "POST /{class} HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: {id}\r\nX-Priority-Class: {class}\r\n\
         X-Timeout: {time_ms}m\r\nIdempotency-Key: key-{id}\r\nContent-Length: {}\r\nEnvelope: dest={dest}\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), body].concat()
}

/// A client's keep-alive connection to the sender.
pub struct Client(BufReader<TcpStream>);

impl Client {
    /// Connects to the sender; reads time out after [`WAIT_TIMEOUT`].
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).expect("the sender accepts");
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("set");
        Client(BufReader::new(stream))
    }

    /// Whether the sender has closed the connection. Waits for the close until no data has arrived for 20 ms, and
    /// discards all data received.
    pub fn is_closed(&mut self) -> bool {
        let mut discarded = Vec::new();
        self.0
            .get_mut()
            .set_read_timeout(Some(Duration::from_millis(20)))
            .expect("set");
        match self.0.read_to_end(&mut discarded) {
            Ok(_) => true,
            Err(error) => error.kind() == std::io::ErrorKind::ConnectionReset,
        }
    }

    /// Writes these bytes without waiting for a response; a write error is ignored.
    pub fn write(&mut self, bytes: &[u8]) {
        let _ = self.0.get_mut().write_all(bytes);
    }

    /// Writes these bytes and reads one response: its status code, and the whole response. `None` if the connection
    /// ends first.
    pub fn send(&mut self, bytes: &[u8]) -> Option<(u16, Request)> {
        self.0.get_mut().write_all(bytes).ok()?;
        let response = read_http(&mut self.0)?;
        let status = response.start_line.split(' ').nth(1)?.parse().ok()?;
        Some((status, response))
    }
}
