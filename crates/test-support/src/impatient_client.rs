//! A client that submits small messages on new connections, and waits for each response as long as the platform's
//! clients do.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// How long a client waits for its response, according to the platform's protocol.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_millis(400);

/// What became of the requests of a client.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ResponseCounts {
    /// Responses that accept the message.
    pub accepted: usize,
    /// Responses after which submitting the message again is harmless.
    pub rejected: usize,
    /// Other responses.
    pub other: usize,
    /// Requests whose connection ended without a response.
    pub closed: usize,
    /// Requests without a response within [`RESPONSE_TIMEOUT`].
    pub late: usize,
    /// The longest time from connecting to the response.
    pub longest: Duration,
}

impl ResponseCounts {
    /// Number of requests.
    #[must_use]
    pub fn requests(&self) -> usize {
        self.accepted + self.rejected + self.other + self.closed + self.late
    }
}

/// Submits messages with the prefix in their ids, one after the other and each on a new connection, for a time.
#[must_use]
pub fn submit_on_new_connections(
    address: SocketAddr,
    class: &str,
    destination: u64,
    id_prefix: &str,
    duration: Duration,
) -> ResponseCounts {
    let mut counts = ResponseCounts::default();
    let end = Instant::now() + duration;
    for number in 0.. {
        let begin = Instant::now();
        if begin >= end {
            break;
        }
        let id = format!("{id_prefix}-{number}");
        let request = crate::message_request(class, &id, destination, 20_000, b"hello");
        match status_of(address, &request) {
            Ok(Some(200 | 202)) => counts.accepted += 1,
            Ok(Some(429 | 503)) => counts.rejected += 1,
            Ok(Some(_)) => counts.other += 1,
            Ok(None) => counts.closed += 1,
            Err(LateResponse) => counts.late += 1,
        }
        counts.longest = counts.longest.max(begin.elapsed());
        std::thread::sleep(Duration::from_millis(20));
    }
    counts
}

/// No response came in time.
struct LateResponse;

/// The status of the response; `None` if the connection ended without one.
fn status_of(address: SocketAddr, request: &[u8]) -> Result<Option<u16>, LateResponse> {
    let deadline = Instant::now() + RESPONSE_TIMEOUT;
    let Ok(mut stream) = TcpStream::connect_timeout(&address, RESPONSE_TIMEOUT) else {
        return Err(LateResponse);
    };
    // an error of the write is ignored: the response may have arrived before it
    let _ = stream.write_all(request);
    let mut response = Vec::new();
    loop {
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(LateResponse);
        }
        stream.set_read_timeout(Some(left)).expect("set");
        let mut bytes = [0; 1024];
        match stream.read(&mut bytes) {
            Ok(count @ 1..) => response.extend_from_slice(&bytes[..count]),
            Err(error) if error.kind() == ErrorKind::WouldBlock => return Err(LateResponse),
            Ok(_) | Err(_) => return Ok(None),
        }
        let text = String::from_utf8_lossy(&response);
        if text.contains("\r\n\r\n") {
            return Ok(text
                .split(' ')
                .nth(1)
                .and_then(|status| status.parse().ok()));
        }
    }
}

/// Rejections in a row after which a sender counts as full, and the time between two submissions then. Connections that
/// are being closed may cause a few.
const FULL_REJECTIONS: usize = 10;
const REJECTION_PAUSE: Duration = Duration::from_millis(100);

/// Submits messages with the largest body until the sender is full; returns how many were accepted.
#[must_use]
pub fn submit_until_full(address: SocketAddr, class: &str, destination: u64) -> usize {
    let body = vec![b'x'; 64 * 1024];
    let (mut accepted, mut rejected_in_a_row) = (0, 0);
    while rejected_in_a_row < FULL_REJECTIONS {
        let id = format!("unfinished-{accepted}");
        let request = crate::message_request(class, &id, destination, 120_000, &body);
        let response = crate::Client::new(address).send(&request);
        if response.is_some_and(|(status, _)| status == 202) {
            (accepted, rejected_in_a_row) = (accepted + 1, 0);
        } else {
            rejected_in_a_row += 1;
            std::thread::sleep(REJECTION_PAUSE);
        }
    }
    accepted
}
