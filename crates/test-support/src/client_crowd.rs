//! Crowds of clients that occupy a server without completing their requests.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// Interval in which each client of a crowd writes its next bytes.
const WRITE_INTERVAL: Duration = Duration::from_millis(5);
/// Bytes that a slow client writes in each interval.
const SLOW_WRITE_BYTES: usize = 64;
/// Size of the body that each client announces, in bytes: the largest that a sender takes.
const BODY_BYTES: usize = 64 * 1024;
/// Short fields in a complete head: a little less than the most that a sender takes.
const MANY_FIELDS: usize = 85;
/// Size of a head of many short fields, in bytes: a little less than the largest that a sender reads.
const LARGE_HEAD_BYTES: usize = 15 * 1024;

/// What the clients of a crowd do with their connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrowdBehavior {
    /// Writes a large request a few bytes at a time.
    WritesSlowly,
    /// Writes half of a large request, and then nothing.
    StopsHalfWay,
    /// Writes a large head that consists of very short fields and does not end.
    SendsManyFields,
    /// Writes a complete head with as many short fields as a sender takes, half of a large body, and then nothing.
    StopsBehindManyFields,
}

/// Clients that reconnect at once when their connection is closed. They stop when the value is dropped.
pub struct ClientCrowd {
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl ClientCrowd {
    /// Connects `count` clients to a sender, which name the class in their requests.
    #[must_use]
    pub fn start(
        address: SocketAddr,
        count: usize,
        behavior: CrowdBehavior,
        class: &'static str,
    ) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = stop.clone();
        let thread = thread::spawn(move || {
            let mut clients: Vec<CrowdClient> = (0..count)
                .map(|number| CrowdClient::new(address, behavior, class, number))
                .collect();
            while !stopped.load(Ordering::SeqCst) {
                clients.iter_mut().for_each(CrowdClient::step);
                thread::sleep(WRITE_INTERVAL);
            }
        });
        ClientCrowd {
            stop,
            thread: Some(thread),
        }
    }
}

impl Drop for ClientCrowd {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

struct CrowdClient {
    address: SocketAddr,
    stream: Option<TcpStream>,
    request: Vec<u8>,
    written: usize,
    /// Bytes that the client writes in each interval.
    step_bytes: usize,
}

impl CrowdClient {
    fn new(address: SocketAddr, behavior: CrowdBehavior, class: &str, number: usize) -> Self {
        let id = format!("crowd-{number}");
        let body = vec![b'x'; BODY_BYTES];
        let mut request = crate::message_request(class, &id, 7, 20_000, &body);
        match behavior {
            CrowdBehavior::WritesSlowly => {}
            CrowdBehavior::StopsHalfWay => request.truncate(request.len() - BODY_BYTES / 2),
            CrowdBehavior::StopsBehindManyFields => {
                request.truncate(request.len() - BODY_BYTES / 2);
                let first_line_end = request.iter().position(|&byte| byte == b'\n');
                let position = first_line_end.map_or(0, |end| end + 1);
                let fields: String = (0..MANY_FIELDS)
                    .map(|name| format!("f{name}:1\r\n"))
                    .collect();
                request.splice(position..position, fields.into_bytes());
            }
            CrowdBehavior::SendsManyFields => {
                request = format!("POST /{class} HTTP/1.1\r\nHost: a\r\n").into_bytes();
                while request.len() < LARGE_HEAD_BYTES {
                    request.extend_from_slice(b"a:1\r\n");
                }
            }
        }
        let step_bytes = match behavior {
            CrowdBehavior::WritesSlowly => SLOW_WRITE_BYTES,
            CrowdBehavior::StopsHalfWay
            | CrowdBehavior::SendsManyFields
            | CrowdBehavior::StopsBehindManyFields => request.len(),
        };
        CrowdClient {
            address,
            stream: None,
            request,
            written: 0,
            step_bytes,
        }
    }

    /// Writes the next bytes. Reconnects if the connection has ended.
    fn step(&mut self) {
        if self.stream.is_none() {
            self.stream = connect(self.address);
            self.written = 0;
        }
        if let Some(stream) = &mut self.stream
            && !is_open_after(stream, &self.request, &mut self.written, self.step_bytes)
        {
            self.stream = None;
        }
    }
}

fn connect(address: SocketAddr) -> Option<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_millis(100)).ok()?;
    stream.set_nonblocking(true).ok()?;
    Some(stream)
}

/// Writes at most `step_bytes` more of the request; false if the connection has ended.
fn is_open_after(
    stream: &mut TcpStream,
    request: &[u8],
    written: &mut usize,
    step_bytes: usize,
) -> bool {
    let would_block = |error: &std::io::Error| error.kind() == ErrorKind::WouldBlock;
    let next = &request[*written..request.len().min(*written + step_bytes)];
    if !next.is_empty() {
        match stream.write(next) {
            Ok(count) => *written += count,
            Err(error) if would_block(&error) => {}
            Err(_) => return false,
        }
    }
    match stream.read(&mut [0; 1024]) {
        Ok(0) => false,
        Ok(_) => true,
        Err(error) => would_block(&error),
    }
}
