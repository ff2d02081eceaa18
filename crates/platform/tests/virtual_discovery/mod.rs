//! A fake discovery service in virtual time, without sockets.

use milletturn_platform::discovery::Network;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream, duplex};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep, sleep_until};

/// Runs a test on one thread, with a clock that advances when all tasks are idle.
pub(crate) fn virtual_time(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), test);
}

/// How the service treats connections and requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum State {
    /// Responds to each request: a watch receives the list and keep-alives, and notifications are accepted.
    Healthy,
    /// Refuses connections, and closes those that were open.
    ConnectionRefused,
    /// Connection attempts never complete.
    Unreachable,
    /// Accepts requests and never responds.
    Unresponsive,
    /// Sends the beginning of a response, and closes the connection.
    TruncatedResponse,
    /// Sends the beginning of a response, and nothing more.
    StalledResponse,
    /// Responds to this many requests with 503, and to later ones like a healthy service.
    Rejecting(u32),
    /// Serves requests one after the other, each taking this time, even if the caller has disconnected.
    Queue(Duration),
}

struct DiscoveryState {
    started_at: Instant,
    /// For each address of the service, its states with the times at which they begin.
    schedules: BTreeMap<SocketAddr, Vec<(Duration, State)>>,
    response_delay: Duration,
    rejected_requests: u32,
    queue_ends_at: Instant,
    accepted_at: BTreeMap<String, Instant>,
    posted_notification_count: usize,
    open_connections: usize,
    max_open_connections: usize,
}

impl DiscoveryState {
    /// The version of the list and the current state. The version is the position of that state in the schedule,
    /// counted from 1. Of two entries with the same time, the later one applies.
    fn current_state(&self, address: SocketAddr) -> (u64, State) {
        let schedule = self
            .schedules
            .get(&address)
            .or(self.schedules.values().next())
            .expect("a schedule");
        let elapsed = Instant::now() - self.started_at;
        let position = schedule
            .iter()
            .rposition(|(from, _)| *from <= elapsed)
            .expect("a state at time zero");
        (position as u64 + 1, schedule[position].1)
    }
}

/// A fake discovery service, and the network over which it is reached.
#[derive(Clone)]
pub(crate) struct VirtualDiscovery(Rc<RefCell<DiscoveryState>>);

impl VirtualDiscovery {
    /// Creates a service that enters each scheduled state at its time, and responds after `response_delay`. The version
    /// of the list is the number of the current state in the schedule, from 1.
    pub(crate) fn new(schedule: Vec<(Duration, State)>, response_delay: Duration) -> Self {
        VirtualDiscovery(Rc::new(RefCell::new(DiscoveryState {
            started_at: Instant::now(),
            schedules: BTreeMap::from([(SocketAddr::from(([127, 0, 0, 1], 1)), schedule)]),
            response_delay,
            rejected_requests: 0,
            queue_ends_at: Instant::now(),
            accepted_at: BTreeMap::new(),
            posted_notification_count: 0,
            open_connections: 0,
            max_open_connections: 0,
        })))
    }

    /// Makes the service reachable at another address too, where it follows this schedule.
    pub(crate) fn add_address(&self, address: SocketAddr, schedule: Vec<(Duration, State)>) {
        self.0.borrow_mut().schedules.insert(address, schedule);
    }

    pub(crate) fn started_at(&self) -> Instant {
        self.0.borrow().started_at
    }

    /// When the notification of a message was first accepted.
    pub(crate) fn accepted_at(&self, id: &str) -> Instant {
        self.0.borrow().accepted_at[id]
    }

    /// Number of notifications received, including those that the sender sent again.
    pub(crate) fn posted_notification_count(&self) -> usize {
        self.0.borrow().posted_notification_count
    }

    /// Largest number of connections that were open at once.
    pub(crate) fn max_open_connections(&self) -> usize {
        self.0.borrow().max_open_connections
    }

    async fn serve(self, address: SocketAddr, mut stream: DuplexStream) {
        self.0.borrow_mut().open_connections += 1;
        let open = self.0.borrow().open_connections;
        let max_open = self.0.borrow().max_open_connections.max(open);
        self.0.borrow_mut().max_open_connections = max_open;
        let stays_open = self.respond(address, &mut stream).await;
        if stays_open.is_some() {
            // send nothing more, until the client closes the connection
            let _ = stream.read_to_end(&mut Vec::new()).await;
        }
        self.0.borrow_mut().open_connections -= 1;
    }

    /// Responds to one request; `None` if the connection must be closed, otherwise it stays open without further data.
    async fn respond(&self, address: SocketAddr, stream: &mut DuplexStream) -> Option<()> {
        let request = read_request(stream).await?;
        let is_post = request.starts_with("POST /v1/outcomes ");
        let (position, mut state) = self.0.borrow().current_state(address);
        let response_delay = self.0.borrow().response_delay;
        if let State::Rejecting(limit) = state {
            if self.0.borrow().rejected_requests < limit {
                self.0.borrow_mut().rejected_requests += 1;
                wait_until(stream, Instant::now() + response_delay).await?;
                stream
                    .write_all(b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")
                    .await
                    .ok()?;
                return None;
            }
            state = State::Healthy;
        }
        match state {
            State::Unresponsive | State::Unreachable => return Some(()),
            State::ConnectionRefused => return None,
            State::TruncatedResponse | State::StalledResponse => {
                stream
                    .write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                    .await
                    .ok()?;
                return (state == State::StalledResponse).then_some(());
            }
            State::Queue(service_time) => {
                let done_at = self.0.borrow().queue_ends_at.max(Instant::now()) + service_time;
                self.0.borrow_mut().queue_ends_at = done_at;
                wait_until(stream, done_at).await?;
            }
            State::Healthy | State::Rejecting(_) => {
                wait_until(stream, Instant::now() + response_delay).await?;
            }
        }
        if is_post {
            for json_line in request.split('\n').filter(|text| text.starts_with('{')) {
                let notification: serde_json::Value =
                    serde_json::from_str(json_line).expect("JSON");
                let id = notification["id"].as_str().expect("an id").to_string();
                self.0.borrow_mut().posted_notification_count += 1;
                self.0
                    .borrow_mut()
                    .accepted_at
                    .entry(id)
                    .or_insert_with(Instant::now);
            }
            stream
                .write_all(b"HTTP/1.1 204 No Content\r\n\r\n")
                .await
                .ok()?;
            return None;
        }
        stream
            .write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            .await
            .ok()?;
        let mut line = format!("{{\"rev\":{position},\"all\":true,\"targets\":[]}}");
        loop {
            let chunk = format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
            stream.write_all(chunk.as_bytes()).await.ok()?;
            line = String::new();
            sleep(Duration::from_secs(2)).await;
            match self.0.borrow().current_state(address) {
                (current, _) if current == position => {}
                // a watch that was opened in an earlier state receives no more data: it is closed, or stays open
                (_, State::ConnectionRefused | State::TruncatedResponse) => return None,
                _ => return Some(()),
            }
        }
    }
}

/// Waits until a time; `None` if the client closes the connection or sends a byte before that.
async fn wait_until(stream: &mut DuplexStream, until: Instant) -> Option<()> {
    tokio::select! {
        _ = stream.read_u8() => None,
        () = sleep_until(until) => Some(()),
    }
}

/// Reads a request with its body; `None` if the client closes the connection first.
async fn read_request(stream: &mut DuplexStream) -> Option<String> {
    let mut text = Vec::new();
    loop {
        let mut buffer = [0; 4096];
        let read = stream
            .read(&mut buffer)
            .await
            .ok()
            .filter(|read| *read > 0)?;
        text.extend_from_slice(&buffer[..read]);
        let received = String::from_utf8(text.clone()).expect("text");
        let Some((head, body)) = received.split_once("\r\n\r\n") else {
            continue;
        };
        let length = head
            .lines()
            .find_map(|line| line.strip_prefix("content-length: ")?.parse().ok());
        if body.len() >= length.unwrap_or(0) {
            return Some(received);
        }
    }
}

impl Network for VirtualDiscovery {
    type Stream = DuplexStream;

    async fn connect(&self, address: SocketAddr) -> io::Result<DuplexStream> {
        let state = self.0.borrow().current_state(address).1;
        match state {
            State::ConnectionRefused => return Err(io::ErrorKind::ConnectionRefused.into()),
            State::Unreachable => std::future::pending().await,
            _ => {}
        }
        let (local, remote) = duplex(1 << 16);
        spawn_local(self.clone().serve(address, remote));
        Ok(local)
    }
}
