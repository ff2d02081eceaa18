//! An endpoint that keeps to no rule of HTTP: by its seed it answers, rejects, fails, hangs and sends copies of earlier
//! responses, and it records what really ran.

use crate::{Request, asks_to_close, read_http};
use rand_pcg::Pcg32;
use rand_pcg::rand_core::RngCore;
use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// What the endpoint really did, whatever it answered.
#[derive(Debug, Default)]
pub struct Executions {
    /// How often each message ran.
    pub runs: BTreeMap<String, usize>,
    /// Messages whose own 200 was written, by id.
    pub success_responses: BTreeMap<String, usize>,
    /// Copies of earlier responses.
    pub duplicates_sent: usize,
}

/// When a copy goes out beside a call.
#[derive(Debug, Clone, Copy, PartialEq)]
enum CopyMoment {
    WithRequest,
    InService,
    BeforeResponse,
    Idle,
    Never,
}

/// What becomes of a call itself.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Fate {
    Delivered,
    Rejected,
    Failed,
    Closed,
    Silent,
}

/// Listens and serves until the process ends.
#[must_use]
pub fn spawn_unreliable_endpoint(seed: u64, executions: &Arc<Mutex<Executions>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    let executions = executions.clone();
    thread::spawn(move || {
        for (number, stream) in listener.incoming().flatten().enumerate() {
            let session = Session {
                random: Pcg32::new(seed, number as u64),
                stream,
                executions: executions.clone(),
                earlier: Vec::new(),
            };
            thread::spawn(move || session.serve());
        }
    });
    address
}

/// One connection.
struct Session {
    random: Pcg32,
    stream: TcpStream,
    executions: Arc<Mutex<Executions>>,
    /// The responses that it has had.
    earlier: Vec<Vec<u8>>,
}

impl Session {
    fn serve(mut self) -> Option<()> {
        let mut requests = BufReader::new(self.stream.try_clone().ok()?);
        loop {
            let request = read_http(&mut requests)?;
            let (moment, fate) = (self.draw_copy(), self.draw_fate());
            if moment == CopyMoment::WithRequest {
                self.send_copy()?;
            }
            self.pause(1, 40);
            if moment == CopyMoment::InService {
                self.send_copy()?;
            }
            self.pause(1, 40);
            if moment == CopyMoment::BeforeResponse {
                self.send_copy()?;
            }
            self.end_call(&request, fate)?;
            if moment == CopyMoment::Idle {
                self.pause(0, 30);
                self.send_copy()?;
            }
            if asks_to_close(&request) && fate != Fate::Silent {
                return None;
            }
        }
    }

    fn below(&mut self, bound: u32) -> u32 {
        self.random.next_u32() % bound
    }

    fn pause(&mut self, least_ms: u32, most_ms: u32) {
        let time = least_ms + self.below(most_ms - least_ms + 1);
        thread::sleep(Duration::from_millis(time.into()));
    }

    fn draw_copy(&mut self) -> CopyMoment {
        if self.earlier.is_empty() {
            return CopyMoment::Never;
        }
        match self.below(6) {
            0 => CopyMoment::WithRequest,
            1 => CopyMoment::InService,
            2 => CopyMoment::BeforeResponse,
            3 => CopyMoment::Idle,
            _ => CopyMoment::Never,
        }
    }

    fn draw_fate(&mut self) -> Fate {
        match self.below(20) {
            0..=2 => Fate::Rejected,
            3 => Fate::Failed,
            4 => Fate::Closed,
            5 => Fate::Silent,
            _ => Fate::Delivered,
        }
    }

    /// Sends any earlier response again, now and then only a part of it, or with another header.
    fn send_copy(&mut self) -> Option<()> {
        let which = self.below(self.earlier.len() as u32) as usize;
        let mut copy = self.earlier[which].clone();
        let length = match self.below(5) {
            0 => 1 + self.below(copy.len() as u32) as usize,
            1 => {
                let header = format!("X-Copy: {}\r\n", self.random.next_u32());
                let headers = copy.iter().position(|&byte| byte == b'\n')? + 1;
                copy.splice(headers..headers, header.into_bytes());
                copy.len()
            }
            _ => copy.len(),
        };
        self.executions
            .lock()
            .expect("not poisoned")
            .duplicates_sent += 1;
        self.stream.write_all(&copy[..length]).ok()
    }

    fn end_call(&mut self, request: &Request, fate: Fate) -> Option<()> {
        if matches!(fate, Fate::Delivered | Fate::Failed | Fate::Closed) {
            self.run(request);
        }
        match fate {
            Fate::Delivered => {
                let text = self.success(request);
                self.respond(request, "200 OK", &text)?;
                let mut executions = self.executions.lock().expect("not poisoned");
                for id in request.message_ids() {
                    *executions.success_responses.entry(id).or_default() += 1;
                }
                Some(())
            }
            Fate::Rejected => self.respond(request, "503 Service Unavailable", ""),
            Fate::Failed => self.respond(request, "500 Internal Server Error", ""),
            Fate::Closed => {
                // who reads on gets an end
                let _ = self.stream.shutdown(Shutdown::Both);
                None
            }
            Fate::Silent => Some(()),
        }
    }

    /// A body that tells each message's end in a bulk call, and is another one each time in a call of one.
    fn success(&mut self, request: &Request) -> String {
        match request.line.starts_with("POST /inbox/bulk ") {
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
        self.earlier.push(text.clone().into_bytes());
        self.stream.write_all(text.as_bytes()).ok()
    }

    fn run(&mut self, request: &Request) {
        let mut executions = self.executions.lock().expect("not poisoned");
        for id in request.message_ids() {
            *executions.runs.entry(id).or_default() += 1;
        }
    }
}
