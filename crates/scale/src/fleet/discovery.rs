//! Test double of the platform's discovery service: the watch of the endpoint list as the platform's protocol page
//! describes it, and the notification endpoint. It is not a process of the product, and its cost is recorded
//! separately.
//!
//! A version of the list is the time of its publishing in microseconds since the machine's start, so that a sender's
//! delay follows from the version alone. The first list is sent in pieces with the versions 1, 2 and so on, because a
//! sender drops a line longer than 1 MiB.

use super::meter::{Meter, Traffic};
use super::network_proxy::{LinkState, listen, reset};
use crate::Error;
use bytes::Bytes;
use milletturn_coordination_protocol::clock::now;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Handle;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// Interval of empty keep-alive lines while nothing changes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// Longest request that is read, in bytes.
const MAX_REQUEST_BYTES: usize = 1 << 20;

/// How the first list is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListLayout {
    /// Number of destinations in the first list.
    pub destinations: u64,
    /// Number of entries in one line of the first list; each takes about 150 bytes.
    pub entries_per_line: u64,
}

/// Entries that were published together as one version, without the line's JSON around them.
#[derive(Debug, Clone)]
struct Entries {
    version: u64,
    text: Bytes,
}

#[derive(Debug)]
struct State {
    entries: Vec<Entries>,
    /// Number of destinations so far.
    destinations: u64,
    notifications: u64,
    watches: u64,
}

/// The running test double; clones share its state.
#[derive(Debug, Clone)]
pub struct Discovery {
    /// Address for each region.
    pub addresses: Vec<SocketAddr>,
    /// Counts the list's traffic.
    pub meter: Meter,
    state: Arc<Mutex<State>>,
    published_count: Arc<watch::Sender<usize>>,
    link_states: Vec<Arc<watch::Sender<LinkState>>>,
    endpoint: SocketAddr,
}

impl Discovery {
    /// Starts serving the given number of regions on the runtime; all endpoints of the list have the address
    /// `endpoint`.
    ///
    /// # Errors
    /// No port is available.
    pub fn start(
        runtime: &Handle,
        regions: usize,
        list_layout: ListLayout,
        endpoint: SocketAddr,
    ) -> Result<Self, Error> {
        let _entered = runtime.enter();
        let mut entries = Vec::new();
        let mut index = 0;
        while index < list_layout.destinations {
            let to = (index + list_layout.entries_per_line).min(list_layout.destinations);
            let version = entries.len() as u64 + 1;
            entries.push(Entries {
                version,
                text: endpoint_entries(index..to, endpoint),
            });
            index = to;
        }
        let published_count = Arc::new(watch::Sender::new(entries.len()));
        let state = State {
            entries,
            destinations: list_layout.destinations,
            notifications: 0,
            watches: 0,
        };
        let mut discovery = Discovery {
            addresses: Vec::new(),
            meter: Meter::default(),
            state: Arc::new(Mutex::new(state)),
            published_count,
            link_states: Vec::new(),
            endpoint,
        };
        let mut listeners = Vec::new();
        for _ in 0..regions {
            let listener = listen()?;
            discovery.addresses.push(
                listener
                    .local_addr()
                    .map_err(Error::io("a port on loopback"))?,
            );
            discovery
                .link_states
                .push(Arc::new(watch::Sender::new(LinkState::Open)));
            listeners.push(listener);
        }
        for (region, listener) in listeners.into_iter().enumerate() {
            runtime.spawn(discovery.clone().serve(listener, region));
        }
        Ok(discovery)
    }

    /// Publishes a change, one new destination with one endpoint, and returns its version.
    #[expect(clippy::must_use_candidate, reason = "some callers only want a change")]
    pub fn publish(&self) -> u64 {
        let mut state = self.state();
        let last = state.entries.last().map_or(0, |entries| entries.version);
        let version = now().0.max(last + 1);
        let number = state.destinations;
        state.destinations += 1;
        state.entries.push(Entries {
            version,
            text: endpoint_entries(number..number + 1, self.endpoint),
        });
        let count = state.entries.len();
        drop(state);
        self.published_count.send_replace(count);
        version
    }

    /// Newest version of the list.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.state()
            .entries
            .last()
            .map_or(0, |entries| entries.version)
    }

    /// Number of destinations in the newest version.
    #[must_use]
    pub fn destinations(&self) -> u64 {
        self.state().destinations
    }

    /// Number of notification lines received so far.
    #[must_use]
    pub fn notifications(&self) -> u64 {
        self.state().notifications
    }

    /// Number of watches opened so far.
    #[must_use]
    pub fn watches(&self) -> u64 {
        self.state().watches
    }

    /// Sets how connections of a region are treated from now on.
    pub fn set_link_state(&self, region: usize, link_state: LinkState) {
        self.link_states[region].send_replace(link_state);
    }

    fn state(&self) -> MutexGuard<'_, State> {
        // no change leaves the state half-updated, so the data behind a poisoned lock is usable
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn serve(self, listener: TcpListener, region: usize) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                sleep(Duration::from_millis(50)).await;
                continue;
            };
            self.meter.count(Traffic {
                opened: 1,
                ..Traffic::default()
            });
            let (server, mut link_state) = (self.clone(), self.link_states[region].subscribe());
            tokio::spawn(async move {
                let mut stream = stream;
                let _ = stream.set_nodelay(true);
                if *link_state.borrow() == LinkState::Open {
                    tokio::select! {
                        // an error means that the sender closed its watch
                        _ = server.serve_one(&mut stream) => return,
                        _ = link_state.wait_for(|link_state| *link_state != LinkState::Open) => {}
                    }
                }
                let _ = link_state
                    .wait_for(|link_state| *link_state != LinkState::Partitioned)
                    .await;
                reset(&stream);
            });
        }
    }

    async fn serve_one(&self, stream: &mut TcpStream) -> std::io::Result<()> {
        let mut request = Vec::new();
        let end = loop {
            if stream.read_buf(&mut request).await? == 0 || request.len() > MAX_REQUEST_BYTES {
                return Ok(());
            }
            if let Some(position) = request.windows(4).position(|four| four == b"\r\n\r\n") {
                break position + 4;
            }
        };
        let head = String::from_utf8_lossy(&request[..end]).into_owned();
        if head.starts_with("POST /v1/outcomes ") {
            return self
                .receive_notifications(stream, &head, request, end)
                .await;
        }
        self.meter.count(Traffic {
            requests: 1,
            request_bytes: request.len() as u64,
            ..Traffic::default()
        });
        let from = head
            .split_once("from=")
            .and_then(|(_, rest)| rest.split(' ').next()?.parse().ok());
        self.state().watches += 1;
        let response = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";
        self.send(stream, 1, response.as_bytes()).await?;
        let mut published_count = self.published_count.subscribe();
        let from = from.unwrap_or(0);
        let mut index = self
            .state()
            .entries
            .partition_point(|entries| entries.version <= from);
        // a watch gets a first line at once, even if nothing has changed
        let mut keepalive_due = true;
        loop {
            let _ = published_count.borrow_and_update();
            while let Some((line, next)) = self.line(index) {
                self.send(stream, 1, &chunk(&line)).await?;
                (index, keepalive_due) = (next, false);
            }
            if std::mem::take(&mut keepalive_due) {
                self.send(stream, 1, &chunk(b"\n")).await?;
            }
            keepalive_due = timeout(KEEPALIVE_INTERVAL, published_count.changed())
                .await
                .is_err();
        }
    }

    /// Returns the line that starts with the entries at `index`, and the index after them. A piece of the first list
    /// has a line of its own; all changes that a watch has missed share one line.
    fn line(&self, index: usize) -> Option<(Vec<u8>, usize)> {
        let state = self.state();
        let first = state.entries.get(index)?;
        let is_first_list_piece = |entries: &Entries| entries.version <= state.entries.len() as u64;
        let to = if is_first_list_piece(first) {
            index + 1
        } else {
            state.entries.len()
        };
        let texts = &state.entries[index..to];
        let version = texts.last().map_or(first.version, |last| last.version);
        let mut line =
            format!("{{\"rev\":{version},\"all\":{},\"targets\":[", index == 0).into_bytes();
        for (number, entries) in texts.iter().enumerate() {
            if number > 0 {
                line.push(b',');
            }
            line.extend_from_slice(&entries.text);
        }
        line.extend_from_slice(b"]}\n");
        Some((line, to))
    }

    async fn send(&self, stream: &mut TcpStream, lines: u64, bytes: &[u8]) -> std::io::Result<()> {
        stream.write_all(bytes).await?;
        self.meter.count(Traffic {
            responses: lines,
            response_bytes: bytes.len() as u64,
            ..Traffic::default()
        });
        Ok(())
    }

    async fn receive_notifications(
        &self,
        stream: &mut TcpStream,
        head: &str,
        mut request: Vec<u8>,
        end: usize,
    ) -> std::io::Result<()> {
        let length = head.lines().find_map(|line| {
            let (name, value) = line.split_once(':')?;
            name.eq_ignore_ascii_case("content-length")
                .then(|| value.trim().parse::<usize>().ok())?
        });
        let length = length.unwrap_or(0).min(MAX_REQUEST_BYTES);
        while request.len() < end + length {
            if stream.read_buf(&mut request).await? == 0 {
                return Ok(());
            }
        }
        let lines = request[end..].iter().filter(|byte| **byte == b'\n').count() as u64;
        self.state().notifications += lines;
        stream
            .write_all(b"HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n")
            .await
    }
}

fn chunk(line: &[u8]) -> Vec<u8> {
    let mut bytes = format!("{:x}\r\n", line.len()).into_bytes();
    bytes.extend_from_slice(line);
    bytes.extend_from_slice(b"\r\n");
    bytes
}

/// JSON entries of these destinations, each with one endpoint.
fn endpoint_entries(numbers: std::ops::Range<u64>, endpoint: SocketAddr) -> Bytes {
    let entries: Vec<String> = numbers
        .map(|number| {
            format!(
                r#"{{"uid":"s-{number:08x}","endpoint":"{endpoint}","az":"a","model":"one","pod_group":{number},"state":"up","capacity_hint":1.0,"boot_ms":0}}"#
            )
        })
        .collect();
    Bytes::from(entries.join(","))
}
