//! Real senders as the platform runs them, each with a second process that keeps its session; an endpoint that they
//! deliver to; and clients that submit messages.

use super::coordinators::GROUP;
use super::network_proxy::listen;
use super::process::Process;
use crate::Error;
use crate::cost::Cost;
use rustix::process::Signal;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Command;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tempfile::TempDir;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Handle;

/// Content of a sender's configuration file for a fleet of the given size; environment variables override `listen` and
/// `discovery`.
#[must_use]
pub fn sender_config(senders: u64, on_request: bool) -> String {
    let discovery = if on_request {
        r#""discovery":"on_request","#
    } else {
        ""
    };
    format!(
        r#"{{"name":"n","listen":"127.0.0.1:0","management":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"8c1f",
        "limits":{{"cores":1.0,"memory_mb":128,"sockets":1024,"disk_mb":30}},
        "known":{{"rev":0,"all":true,"targets":[]}},
        "settings":{{"az":"a","balancers":{senders},{discovery}"zones":["a"],"machineTypes":["one"],
          "caps":{{"maxOpen":50,"mostTries":12,"mayCancel":true,"secondCopies":true,"connIdle":5.0,
            "dialTimeout":0.5,"retryAfter":true,"maxRetryAfter":3.0}},
          "report":{{"how":"piggyback","fields":["x0","x1"]}},
          "classes":[{{"name":"webhook","aim":4.0,"deadline":20.0,"effect":"deduplicated","group":"all","window":12.0}}],
          "specifics":{{"callSlots":8,"bundleMax":[1],"routesApart":[false]}},
          "safety":{{"stopSendingWithin":1.0,"cold":11.0,"startCapacity":0.18,"fallMultiple":2.0,"fall":3.0}}}}}}"#
    )
}

/// An endpoint that responds with 200 to every call and records which messages arrived.
#[derive(Debug, Clone)]
pub struct Endpoint {
    /// Address of the endpoint.
    pub address: SocketAddr,
    received: Arc<Mutex<(BTreeSet<String>, u64)>>,
}

impl Endpoint {
    /// Starts the endpoint on the runtime.
    ///
    /// # Errors
    /// No port is available.
    pub fn start(runtime: &Handle) -> Result<Self, Error> {
        let _entered = runtime.enter();
        let listener = listen()?;
        let address = listener
            .local_addr()
            .map_err(Error::io("a port on loopback"))?;
        let endpoint = Endpoint {
            address,
            received: Arc::default(),
        };
        runtime.spawn(endpoint.clone().serve(listener));
        Ok(endpoint)
    }

    /// Number of distinct messages received, and number of calls beyond the first for each message.
    pub fn received(&self) -> (u64, u64) {
        let received = self.received.lock().unwrap_or_else(PoisonError::into_inner);
        (received.0.len() as u64, received.1)
    }

    async fn serve(self, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let endpoint = self.clone();
            // an error means that the sender closed the connection, which it may do at any time
            tokio::spawn(async move { endpoint.serve_one(stream).await });
        }
    }

    async fn serve_one(&self, stream: TcpStream) -> std::io::Result<()> {
        let mut stream = BufReader::new(stream);
        while let Some((_, headers)) = read_head(&mut stream).await? {
            let length = header_number(&headers, "content-length");
            tokio::io::copy(&mut (&mut stream).take(length), &mut tokio::io::sink()).await?;
            if let Some(id) = header(&headers, "x-request-id") {
                let mut received = self.received.lock().unwrap_or_else(PoisonError::into_inner);
                if !received.0.insert(id.to_string()) {
                    received.1 += 1;
                }
            }
            stream
                .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                .await?;
        }
        Ok(())
    }
}

type Headers = Vec<(String, String)>;

/// Reads the first line and the headers of a request or response; `None` at the end of the connection.
async fn read_head(
    stream: &mut BufReader<TcpStream>,
) -> std::io::Result<Option<(String, Headers)>> {
    let mut first_line = String::new();
    if stream.read_line(&mut first_line).await? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line).await? <= 2 {
            return Ok(Some((first_line, headers)));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_ascii_lowercase(), value.trim().to_string()));
        }
    }
}

fn header<'a>(headers: &'a Headers, name: &str) -> Option<&'a str> {
    headers
        .iter()
        .find(|(found, _)| found == name)
        .map(|(_, value)| value.as_str())
}

fn header_number(headers: &Headers, name: &str) -> u64 {
    header(headers, name)
        .and_then(|value| value.parse().ok())
        .unwrap_or(0)
}

/// Running processes of real senders, and counters of the messages submitted to them.
#[derive(Debug)]
pub struct RealSenders {
    senders: Vec<(Process, SocketAddr)>,
    session_processes: Vec<Process>,
    accepted: Arc<AtomicU64>,
    submitted: Arc<AtomicU64>,
    folder: TempDir,
}

impl RealSenders {
    /// Starts a sender for each number and waits until it listens. Sessions have the names and resources that simulated
    /// senders of the same numbers would have. Without `coordinators`, no sender has a session.
    ///
    /// # Errors
    /// A process does not start.
    pub fn start(
        program: &Path,
        config: &Path,
        numbers: std::ops::Range<u64>,
        discovery: SocketAddr,
        coordinators: &[String],
    ) -> Result<Self, Error> {
        let folder = TempDir::new().map_err(Error::io("a temporary directory for real senders"))?;
        let mut real_senders = RealSenders {
            senders: Vec::new(),
            session_processes: Vec::new(),
            accepted: Arc::default(),
            submitted: Arc::default(),
            folder,
        };
        let mut processes = Vec::new();
        for number in numbers {
            let state = real_senders.folder.path().join(format!("state{number}"));
            std::fs::create_dir(&state).map_err(Error::io(state.display().to_string()))?;
            let mut command = Command::new(program);
            command
                .env("RELAY_CONFIG", config)
                .env("RELAY_STATE", &state)
                .env("RELAY_NAME", format!("hollow-{number}"))
                .env("RELAY_LISTEN", "127.0.0.1:0")
                .env("RELAY_DISCOVERY", discovery.to_string());
            let log = real_senders
                .folder
                .path()
                .join(format!("sender{number}.log"));
            processes.push(Process::start(&mut command, &log)?);
            if !coordinators.is_empty() {
                let mut command = Command::new(program);
                command.args([
                    "fleet",
                    "hold",
                    &format!("w{number}"),
                    "--name",
                    &format!("hollow-{number}"),
                ]);
                // with one action an hour on its resource, the process costs little besides its session
                command.args(["--every", "3600000", "--group", GROUP, "--format", "json"]);
                for address in coordinators {
                    command.args(["--steward", address]);
                }
                let log = real_senders
                    .folder
                    .path()
                    .join(format!("session{number}.log"));
                real_senders
                    .session_processes
                    .push(Process::start(&mut command, &log)?);
            }
        }
        for mut process in processes {
            let address = process.wait_for_output("listening on ")?;
            let address = address.parse().map_err(|_| {
                Error::Unexpected(format!("expected a listen address, got: {address}"))
            })?;
            real_senders.senders.push((process, address));
        }
        for session in &mut real_senders.session_processes {
            session.wait_for_output("\"owned\"")?;
        }
        Ok(real_senders)
    }

    /// Ids of all processes.
    pub fn ids(&self) -> Vec<u32> {
        let senders = self.senders.iter().map(|(process, _)| process.id());
        senders
            .chain(self.session_processes.iter().map(Process::id))
            .collect()
    }

    /// Returns the cost so far of the senders and of the processes that keep their sessions.
    ///
    /// # Errors
    /// A process has ended.
    pub fn costs(&self) -> Result<(Cost, Cost), Error> {
        let senders = Cost::of_all(self.senders.iter().map(|(process, _)| process.id()))?;
        Ok((
            senders,
            Cost::of_all(self.session_processes.iter().map(Process::id))?,
        ))
    }

    /// Submits messages to each sender, one after the other with a pause of `pause`, to destinations below the given
    /// number, until the handles are aborted.
    #[must_use]
    pub fn submit_messages(
        &self,
        runtime: &Handle,
        pause: Duration,
        destinations: u64,
    ) -> Vec<tokio::task::AbortHandle> {
        let mut clients = Vec::new();
        for (index, (_, address)) in self.senders.iter().enumerate() {
            let (accepted, submitted, address) =
                (self.accepted.clone(), self.submitted.clone(), *address);
            let client = async move {
                let mut stream = BufReader::new(TcpStream::connect(address).await?);
                for count in 0u64.. {
                    let message =
                        message(&format!("r{index}-{count}"), count % destinations.max(1));
                    submitted.fetch_add(1, Ordering::Relaxed);
                    stream.write_all(&message).await?;
                    let Some((first_line, headers)) = read_head(&mut stream).await? else {
                        break;
                    };
                    let length = header_number(&headers, "content-length");
                    tokio::io::copy(&mut (&mut stream).take(length), &mut tokio::io::sink())
                        .await?;
                    accepted.fetch_add(u64::from(first_line.contains(" 202 ")), Ordering::Relaxed);
                    tokio::time::sleep(pause).await;
                }
                Ok::<(), std::io::Error>(())
            };
            clients.push(runtime.spawn(client).abort_handle());
        }
        clients
    }

    /// Number of messages submitted, and number of those that were accepted.
    #[must_use]
    pub fn submitted_and_accepted(&self) -> (u64, u64) {
        (
            self.submitted.load(Ordering::Relaxed),
            self.accepted.load(Ordering::Relaxed),
        )
    }

    /// Makes each sender reload its settings.
    ///
    /// # Errors
    /// A process has ended.
    pub fn reload(&self) -> Result<(), Error> {
        self.senders
            .iter()
            .try_for_each(|(process, _)| process.signal(Signal::HUP))
    }
}

/// A submission request for one message.
fn message(id: &str, destination: u64) -> Vec<u8> {
    let body = "x".repeat(200);
    let head = format!(
        "POST /webhook HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: {id}\r\nX-Priority-Class: webhook\r\n\
         X-Timeout: 20000m\r\nIdempotency-Key: key-{id}\r\nContent-Length: {}\r\nEnvelope: dest={destination}\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), body.as_bytes()].concat()
}
