//! A fault proxy in front of an endpoint, which sends some of its responses twice.

use crate::{Request, asks_to_close, read_http};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

/// The header of a request during which the proxy sends a copy of an earlier response.
pub const DUPLICATE_SENT_HEADER: &str = "x-copy-sent";

/// When the second copy of a response is sent.
#[derive(Debug, Clone, Copy)]
pub enum DuplicateTiming {
    /// So long behind the response, whether or not the next request has come by then.
    AfterResponse(Duration),
    /// So long after the next request on the connection has come, before its own response.
    DuringNextRequest(Duration),
}

/// What a copy has in common with the response that it repeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DuplicateContent {
    /// All bytes.
    Identical,
    /// The status. Its headers are other ones, such as those of a newer load report, and suit the request that it meets.
    DifferentHeaders,
}

/// Which responses are sent twice, and how.
#[derive(Debug, Clone, Copy)]
pub struct Duplication {
    /// When a copy is sent.
    pub timing: DuplicateTiming,
    /// What it holds.
    pub content: DuplicateContent,
    /// Of each connection's responses, every so-manieth is sent twice.
    pub every_nth_response: usize,
}

/// The proxy. Each connection of the sender's is one connection here, and each of its requests one at the endpoint.
#[derive(Debug, Clone)]
pub struct DuplicatingProxy {
    /// Where it listens.
    pub address: SocketAddr,
    /// Copies that were sent so far.
    pub duplicates_sent: Arc<AtomicUsize>,
}

impl DuplicatingProxy {
    /// Listens at once.
    #[must_use]
    pub fn new(endpoint: SocketAddr, duplication: Duplication) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let proxy = DuplicatingProxy {
            address: listener.local_addr().expect("bound"),
            duplicates_sent: Arc::default(),
        };
        let copies = proxy.duplicates_sent.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let forwarding = Forwarding {
                    stream,
                    endpoint,
                    copies: copies.clone(),
                };
                thread::spawn(move || forwarding.run(duplication));
            }
        });
        proxy
    }
}

/// One connection of the sender's.
struct Forwarding {
    stream: TcpStream,
    endpoint: SocketAddr,
    copies: Arc<AtomicUsize>,
}

impl Forwarding {
    /// Runs until either side is gone, or until the response to a request that asks for the connection's end.
    fn run(mut self, duplication: Duplication) -> Option<()> {
        let mut requests = BufReader::new(self.stream.try_clone().ok()?);
        let mut last_response: Option<Request> = None;
        for number in 1.. {
            let mut request = read_http(&mut requests)?;
            let closes = asks_to_close(&request);
            let copy = last_response
                .take()
                .filter(|_| number % duplication.every_nth_response == 0);
            let delay = match (&copy, duplication.timing) {
                (Some(_), DuplicateTiming::DuringNextRequest(delay)) => Some(delay),
                _ => None,
            };
            if delay.is_some() {
                request
                    .headers
                    .insert(DUPLICATE_SENT_HEADER.into(), "1".into());
            }
            let mut upstream = TcpStream::connect(self.endpoint).ok()?;
            upstream.write_all(&bytes_of(&request)).ok()?;
            if let (Some(copy), Some(delay)) = (copy, delay) {
                thread::sleep(delay);
                self.send_copy(copy, duplication.content, closes)?;
            }
            let response = read_http(&mut BufReader::new(upstream))?;
            self.stream.write_all(&bytes_of(&response)).ok()?;
            match duplication.timing {
                DuplicateTiming::AfterResponse(delay)
                    if number % duplication.every_nth_response == 0 =>
                {
                    thread::sleep(delay);
                    self.send_copy(response, duplication.content, closes)?;
                }
                _ => last_response = Some(response),
            }
            if closes {
                return None;
            }
        }
        None
    }

    fn send_copy(
        &mut self,
        mut copy: Request,
        content: DuplicateContent,
        closes: bool,
    ) -> Option<()> {
        let number = self.copies.fetch_add(1, Ordering::SeqCst);
        if content == DuplicateContent::DifferentHeaders {
            copy.headers.insert("x-copy".into(), number.to_string());
            if closes {
                copy.headers.insert("connection".into(), "close".into());
            }
        }
        self.stream.write_all(&bytes_of(&copy)).ok()
    }
}

/// A request or response as it goes on.
fn bytes_of(message: &Request) -> Vec<u8> {
    let mut text = format!("{}\r\n", message.line);
    for (name, value) in &message.headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += "\r\n";
    [text.as_bytes(), &message.body[..]].concat()
}
