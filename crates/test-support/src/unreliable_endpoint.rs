//! An endpoint whose behavior is drawn at random from a seed. It answers a request with 200, 503 or 500, closes the
//! connection, or never responds. At times that HTTP does not allow, it sends duplicates of earlier responses. It
//! records which messages it executed.

use crate::{Request, asks_to_close, read_http};
use rand_pcg::Pcg32;
use rand_pcg::rand_core::RngCore;
use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// What the endpoint did, which its responses do not always show.
#[derive(Debug, Default)]
pub struct Executions {
    /// How often each message was executed, by message ID.
    pub runs: BTreeMap<String, usize>,
    /// How often the 200 response to each message's own request was written, by message ID.
    pub success_responses: BTreeMap<String, usize>,
    /// Number of duplicates of earlier responses sent.
    pub duplicates_sent: usize,
}

/// When a duplicate is sent, relative to a request.
#[derive(Debug, Clone, Copy, PartialEq)]
enum DuplicateTiming {
    AtRequest,
    DuringService,
    BeforeResponse,
    AfterResponse,
    Never,
}

/// How the endpoint ends a request. It executes the messages of a `Delivered`, `Failed` or `Closed` request, and not
/// those of the others.
#[derive(Debug, Clone, Copy, PartialEq)]
enum RequestEnd {
    Delivered,
    Rejected,
    Failed,
    Closed,
    Unanswered,
}

/// Starts an endpoint with the faults of this seed on a free loopback port, and returns its address. It serves until
/// the test process ends.
#[must_use]
pub fn spawn_unreliable_endpoint(seed: u64, executions: &Arc<Mutex<Executions>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    let executions = executions.clone();
    thread::spawn(move || {
        for (number, stream) in listener.incoming().flatten().enumerate() {
            let connection = Connection {
                random: Pcg32::new(seed, number as u64),
                stream,
                executions: executions.clone(),
                earlier_responses: Vec::new(),
            };
            thread::spawn(move || connection.serve());
        }
    });
    address
}

/// One accepted connection.
struct Connection {
    random: Pcg32,
    stream: TcpStream,
    executions: Arc<Mutex<Executions>>,
    /// Responses sent on this connection so far.
    earlier_responses: Vec<Vec<u8>>,
}

impl Connection {
    fn serve(mut self) -> Option<()> {
        let mut requests = BufReader::new(self.stream.try_clone().ok()?);
        loop {
            let request = read_http(&mut requests)?;
            let (timing, end) = (self.draw_timing(), self.draw_end());
            if timing == DuplicateTiming::AtRequest {
                self.send_duplicate()?;
            }
            self.pause(1, 40);
            if timing == DuplicateTiming::DuringService {
                self.send_duplicate()?;
            }
            self.pause(1, 40);
            if timing == DuplicateTiming::BeforeResponse {
                self.send_duplicate()?;
            }
            self.end_request(&request, end)?;
            if timing == DuplicateTiming::AfterResponse {
                self.pause(0, 30);
                self.send_duplicate()?;
            }
            if asks_to_close(&request) && end != RequestEnd::Unanswered {
                return None;
            }
        }
    }

    fn random_below(&mut self, bound: u32) -> u32 {
        self.random.next_u32() % bound
    }

    fn pause(&mut self, min_ms: u32, max_ms: u32) {
        let time_ms = min_ms + self.random_below(max_ms - min_ms + 1);
        thread::sleep(Duration::from_millis(time_ms.into()));
    }

    fn draw_timing(&mut self) -> DuplicateTiming {
        if self.earlier_responses.is_empty() {
            return DuplicateTiming::Never;
        }
        match self.random_below(6) {
            0 => DuplicateTiming::AtRequest,
            1 => DuplicateTiming::DuringService,
            2 => DuplicateTiming::BeforeResponse,
            3 => DuplicateTiming::AfterResponse,
            _ => DuplicateTiming::Never,
        }
    }

    fn draw_end(&mut self) -> RequestEnd {
        match self.random_below(20) {
            0..=2 => RequestEnd::Rejected,
            3 => RequestEnd::Failed,
            4 => RequestEnd::Closed,
            5 => RequestEnd::Unanswered,
            _ => RequestEnd::Delivered,
        }
    }

    /// Sends a random earlier response again; with probability 1/5 only its beginning, with 1/5 with an added header.
    fn send_duplicate(&mut self) -> Option<()> {
        let index = self.random_below(self.earlier_responses.len() as u32) as usize;
        let mut duplicate = self.earlier_responses[index].clone();
        let length = match self.random_below(5) {
            0 => 1 + self.random_below(duplicate.len() as u32) as usize,
            1 => {
                let header = format!("X-Copy: {}\r\n", self.random.next_u32());
                let headers = duplicate.iter().position(|&byte| byte == b'\n')? + 1;
                duplicate.splice(headers..headers, header.into_bytes());
                duplicate.len()
            }
            _ => duplicate.len(),
        };
        self.executions
            .lock()
            .expect("not poisoned")
            .duplicates_sent += 1;
        self.stream.write_all(&duplicate[..length]).ok()
    }

    fn end_request(&mut self, request: &Request, end: RequestEnd) -> Option<()> {
        if matches!(
            end,
            RequestEnd::Delivered | RequestEnd::Failed | RequestEnd::Closed
        ) {
            self.record_execution(request);
        }
        match end {
            RequestEnd::Delivered => {
                let text = self.success_body(request);
                self.respond(request, "200 OK", &text)?;
                let mut executions = self.executions.lock().expect("not poisoned");
                for id in request.message_ids() {
                    *executions.success_responses.entry(id).or_default() += 1;
                }
                Some(())
            }
            RequestEnd::Rejected => self.respond(request, "503 Service Unavailable", ""),
            RequestEnd::Failed => self.respond(request, "500 Internal Server Error", ""),
            RequestEnd::Closed => {
                // the sender reads an orderly end of the stream
                let _ = self.stream.shutdown(Shutdown::Both);
                None
            }
            RequestEnd::Unanswered => Some(()),
        }
    }

    /// Body of a 200 response: one result line per message for a batch, random digits for a single message.
    fn success_body(&mut self, request: &Request) -> String {
        match request.start_line.starts_with("POST /inbox/bulk ") {
            true => request
                .message_ids()
                .iter()
                .map(|id| format!("{id} ok\r\n"))
                .collect(),
            false => format!("{:08x}", self.random.next_u32()),
        }
    }

    fn respond(&mut self, request: &Request, status: &str, body: &str) -> Option<()> {
        let length = body.len();
        let connection_header = match asks_to_close(request) {
            true => "Connection: close\r\n",
            false => "",
        };
        let text = format!(
            "HTTP/1.1 {status}\r\n{connection_header}Content-Length: {length}\r\n\r\n{body}"
        );
        self.earlier_responses.push(text.clone().into_bytes());
        self.stream.write_all(text.as_bytes()).ok()
    }

    fn record_execution(&mut self, request: &Request) {
        let mut executions = self.executions.lock().expect("not poisoned");
        for id in request.message_ids() {
            *executions.runs.entry(id).or_default() += 1;
        }
    }
}
