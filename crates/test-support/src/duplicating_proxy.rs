//! A proxy in front of an endpoint that sends some of the endpoint's responses twice.

use crate::{Request, asks_to_close, read_http};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

/// Header that the proxy adds to a request during which it sends a duplicate of an earlier response.
pub const DUPLICATE_SENT_HEADER: &str = "x-copy-sent";

/// When the duplicate of a response is sent.
#[derive(Debug, Clone, Copy)]
pub enum DuplicateTiming {
    /// This long after the response, whether or not the next request has arrived by then.
    AfterResponse(Duration),
    /// This long after the next request on the connection has arrived, before the response to that request.
    DuringNextRequest(Duration),
}

/// How a duplicate relates to the response that it repeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DuplicateContent {
    /// Every byte is the same.
    Identical,
    /// The status is the same and some headers differ, as if the duplicate carried a newer load report. The duplicate
    /// has the header `Connection: close` if the latest request on the connection had it.
    DifferentHeaders,
}

/// Which responses are sent twice, when, and with which content.
#[derive(Debug, Clone, Copy)]
pub struct Duplication {
    /// When a duplicate is sent.
    pub timing: DuplicateTiming,
    /// How its bytes differ from the response.
    pub content: DuplicateContent,
    /// Of each connection's responses, every n-th is sent twice.
    pub every_nth_response: usize,
}

/// A proxy that forwards each request to the endpoint on a connection of its own, and sends some responses twice.
#[derive(Debug, Clone)]
pub struct DuplicatingProxy {
    /// Address on which the proxy listens.
    pub address: SocketAddr,
    /// Number of duplicates sent so far.
    pub duplicates_sent: Arc<AtomicUsize>,
}

impl DuplicatingProxy {
    /// Starts a proxy for `endpoint` on a free loopback port.
    #[must_use]
    pub fn new(endpoint: SocketAddr, duplication: Duplication) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let proxy = DuplicatingProxy {
            address: listener.local_addr().expect("bound"),
            duplicates_sent: Arc::default(),
        };
        let duplicates_sent = proxy.duplicates_sent.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let forwarding = Forwarding {
                    stream,
                    endpoint,
                    duplicates_sent: duplicates_sent.clone(),
                };
                thread::spawn(move || forwarding.run(duplication));
            }
        });
        proxy
    }
}

/// A connection that the sender has opened to the proxy.
struct Forwarding {
    stream: TcpStream,
    endpoint: SocketAddr,
    duplicates_sent: Arc<AtomicUsize>,
}

impl Forwarding {
    /// Forwards requests until either side closes its connection, or until the response to a request with
    /// `Connection: close` has been sent.
    fn run(mut self, duplication: Duplication) -> Option<()> {
        let mut requests = BufReader::new(self.stream.try_clone().ok()?);
        let mut last_response: Option<Request> = None;
        for number in 1.. {
            let mut request = read_http(&mut requests)?;
            let close_requested = asks_to_close(&request);
            let duplicate = last_response
                .take()
                .filter(|_| number % duplication.every_nth_response == 0);
            let delay = match (&duplicate, duplication.timing) {
                (Some(_), DuplicateTiming::DuringNextRequest(delay)) => Some(delay),
                _ => None,
            };
            if delay.is_some() {
                request
                    .headers
                    .insert(DUPLICATE_SENT_HEADER.into(), "1".into());
            }
            let mut upstream = TcpStream::connect(self.endpoint).ok()?;
            upstream.write_all(&encode(&request)).ok()?;
            if let (Some(duplicate), Some(delay)) = (duplicate, delay) {
                thread::sleep(delay);
                self.send_duplicate(duplicate, duplication.content, close_requested)?;
            }
            let response = read_http(&mut BufReader::new(upstream))?;
            self.stream.write_all(&encode(&response)).ok()?;
            match duplication.timing {
                DuplicateTiming::AfterResponse(delay)
                    if number % duplication.every_nth_response == 0 =>
                {
                    thread::sleep(delay);
                    self.send_duplicate(response, duplication.content, close_requested)?;
                }
                _ => last_response = Some(response),
            }
            if close_requested {
                return None;
            }
        }
        None
    }

    fn send_duplicate(
        &mut self,
        mut duplicate: Request,
        content: DuplicateContent,
        close_requested: bool,
    ) -> Option<()> {
        let number = self.duplicates_sent.fetch_add(1, Ordering::SeqCst);
        if content == DuplicateContent::DifferentHeaders {
            duplicate
                .headers
                .insert("x-copy".into(), number.to_string());
            if close_requested {
                duplicate
                    .headers
                    .insert("connection".into(), "close".into());
            }
        }
        self.stream.write_all(&encode(&duplicate)).ok()
    }
}

/// Encodes a request or response as it is sent on.
fn encode(message: &Request) -> Vec<u8> {
    let mut text = format!("{}\r\n", message.start_line);
    for (name, value) in &message.headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += "\r\n";
    [text.as_bytes(), &message.body[..]].concat()
}
