//! Calls to endpoints: connections, time-outs, and what each answer means.
//!
//! Nothing here sends a call again by itself: a repeat that the decision module doesn't know of would be a
//! duplicate. When it is unsure whether a call may have run, the outcome says that it may.

use super::Seldom;
use super::driver::Input;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{HOST, HeaderMap, HeaderValue, RETRY_AFTER};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use milletturn::{MILLISECOND, Micros, Outcome};
use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until, timeout};

/// Bodies hold at most this.
pub const BODY_MOST: usize = 64 * 1024;
/// Idle connections kept for one endpoint, and for all together.
const IDLE_EACH: usize = 16;
const IDLE_ALL: usize = 200;
/// Longest time for the rest of an answer whose first line has come.
const DRAIN: Duration = Duration::from_secs(1);

/// One message in a call.
#[derive(Debug, Clone)]
pub struct Item {
    pub id: HeaderValue,
    pub key: Option<HeaderValue>,
    pub body: Bytes,
}

/// How one message of a call ended.
#[derive(Debug)]
pub struct Ended {
    pub call: u64,
    /// Its position in the call.
    pub item: usize,
    pub outcome: Outcome,
    /// Nothing more is owed for it.
    pub closed: bool,
    pub report: Vec<f64>,
    /// A wait that the answer told and that no outcome carries.
    pub wait: Option<Micros>,
}

/// A call to make.
#[derive(Debug)]
pub struct Call {
    pub number: u64,
    pub address: SocketAddr,
    pub items: Vec<Item>,
    pub expires: Instant,
    /// Positions that are called off.
    pub cancels: mpsc::UnboundedReceiver<usize>,
}

struct Idle {
    connection: Connection,
    since: Instant,
}

struct Connection {
    sender: SendRequest<Full<Bytes>>,
    written: Arc<AtomicU64>,
}

/// The connections to the endpoints and what calls have in common.
#[derive(Clone)]
pub struct Calls(Rc<Shared>);

struct Shared {
    idle: RefCell<HashMap<SocketAddr, Vec<Idle>>>,
    /// Connections are given up somewhat before the endpoint would close them.
    idle_most: Duration,
    dial_timeout: Duration,
    report_fields: Vec<String>,
    faults: Seldom,
    inputs: mpsc::UnboundedSender<Input>,
}

/// What came of the whole call.
struct Answer {
    ends: Ends,
    report: Vec<f64>,
    wait: Option<Micros>,
}

enum Ends {
    All(Outcome, bool),
    Each(Vec<(Outcome, bool)>),
}

impl From<Outcome> for Answer {
    fn from(outcome: Outcome) -> Self {
        Answer { ends: Ends::All(outcome, false), report: Vec::new(), wait: None }
    }
}

impl Calls {
    /// No connections yet. `idle` is when endpoints close idle ones, zero where that is not known.
    pub fn new(
        idle: Duration, dial_timeout: Duration, report_fields: Vec<String>,
        inputs: mpsc::UnboundedSender<Input>,
    ) -> Self {
        let idle = if idle.is_zero() { Duration::from_secs(5) } else { idle };
        let idle_most = (idle * 9 / 10).min(idle.saturating_sub(Duration::from_millis(300)));
        Calls(Rc::new(Shared {
            idle: RefCell::default(),
            idle_most,
            dial_timeout,
            report_fields,
            faults: Seldom::default(),
            inputs,
        }))
    }

    /// Starts a call; its messages' ends come as inputs.
    pub fn start(&self, call: Call) {
        let shared = self.0.clone();
        tokio::task::spawn_local(async move { run(shared, call).await });
    }

    /// Gives back the connections to an endpoint that carry nothing now.
    pub fn disconnect(&self, address: SocketAddr) {
        self.0.idle.borrow_mut().remove(&address);
    }

    /// Closes connections that would soon be closed from the other side.
    pub fn sweep(&self) {
        let now = Instant::now();
        self.0.idle.borrow_mut().retain(|_, list| {
            list.retain(|idle| now - idle.since < self.0.idle_most && !idle.connection.sender.is_closed());
            !list.is_empty()
        });
    }
}

async fn run(shared: Rc<Shared>, mut call: Call) {
    let mut left: Vec<bool> = vec![true; call.items.len()];
    let tell = |item: usize, outcome, closed, report, wait| {
        let end = Ended { call: call.number, item, outcome, closed, report, wait };
        // nobody listens any more only when the process ends
        let _ = shared.inputs.send(Input::Ended(end));
    };
    let answer = {
        let exchange = exchange(&shared, call.address, &call.items, call.expires);
        tokio::pin!(exchange);
        loop {
            tokio::select! {
                // an answer that is there counts more than a cancel
                biased;
                answer = &mut exchange => break answer,
                () = sleep_until(call.expires) => break Outcome::TimedOut.into(),
                Some(item) = call.cancels.recv() => {
                    if left.get_mut(item).is_some_and(std::mem::take) {
                        tell(item, Outcome::Cancelled, false, Vec::new(), None);
                    }
                    if !left.contains(&true) {
                        return;
                    }
                }
            }
        }
    };
    let mut wait = answer.wait;
    for (item, _) in left.iter().enumerate().filter(|(_, left)| **left) {
        let (outcome, closed) = match &answer.ends {
            Ends::All(outcome, closed) => (*outcome, *closed),
            Ends::Each(ends) => ends.get(item).copied().unwrap_or((Outcome::Error, false)),
        };
        let carried = matches!(outcome, Outcome::Refused { wait: Some(_) });
        tell(item, outcome, closed, answer.report.clone(), wait.take_if(|_| !carried));
    }
}

/// Makes the call on one connection and reads its answer. Dropping this closes the connection.
async fn exchange(shared: &Rc<Shared>, address: SocketAddr, items: &[Item], expires: Instant) -> Answer {
    loop {
        let (mut connection, reused) = match take_idle(shared, address).await {
            Some(connection) => (connection, true),
            None => match timeout(shared.dial_timeout, connect(address)).await {
                Ok(Ok(connection)) => (connection, false),
                Ok(Err(_)) | Err(_) => return Outcome::NoConnection.into(),
            },
        };
        let Some((request, least)) = request_of(address, items, expires) else {
            return Outcome::Unsent { no_slot: false }.into();
        };
        let before = connection.written.load(Ordering::Relaxed);
        let response = match connection.sender.try_send_request(request).await {
            Ok(response) => response,
            Err(_) => {
                let written = connection.written.load(Ordering::Relaxed) - before;
                // an idle connection that had closed before a byte was written carried no call at all
                if reused && written == 0 {
                    continue;
                }
                // `least` is what the call takes up on the wire at the very least
                let outcome = if written < least { Outcome::NoConnection } else { Outcome::Reset };
                return outcome.into();
            }
        };
        return read(shared, address, items, connection, response).await;
    }
}

async fn read(
    shared: &Rc<Shared>, address: SocketAddr, items: &[Item], connection: Connection,
    response: Response<Incoming>,
) -> Answer {
    let (head, body) = response.into_parts();
    let report = report_of(&head.headers, &shared.report_fields);
    let wait = wait_of(&head.headers);
    let refused = Outcome::Refused { wait };
    let (outcome, closed) = match head.status {
        StatusCode::OK if items.len() > 1 => {
            // the whole answer tells each message's end
            let ends = match Limited::new(body, BODY_MOST).collect().await {
                Ok(text) => ends_of(&text.to_bytes(), items, wait),
                Err(_) => return Answer { ends: Ends::All(Outcome::Reset, false), report, wait },
            };
            give_back(shared, address, connection);
            return Answer { ends: Ends::Each(ends), report, wait };
        }
        StatusCode::OK => (Outcome::Success, true),
        StatusCode::TOO_MANY_REQUESTS => (refused, false),
        StatusCode::SERVICE_UNAVAILABLE => {
            let no_slot = head.headers.get("slots-taken").is_some_and(|value| value == "1");
            (if no_slot { Outcome::Unsent { no_slot } } else { refused }, false)
        }
        StatusCode::GATEWAY_TIMEOUT => (Outcome::Unsent { no_slot: false }, false),
        StatusCode::GONE => (Outcome::Unsent { no_slot: false }, true),
        StatusCode::BAD_REQUEST | StatusCode::PAYLOAD_TOO_LARGE if items.len() > 1 => {
            shared.faults.log(format_args!("calls: {address} answered a bulk call with {}", head.status));
            (Outcome::Unsent { no_slot: false }, false)
        }
        status => {
            if status != StatusCode::INTERNAL_SERVER_ERROR {
                shared.faults.log(format_args!("calls: {address} answered {status}"));
            }
            (Outcome::Error, false)
        }
    };
    // the outcome is known; the rest of the answer only frees the connection
    let shared = shared.clone();
    tokio::task::spawn_local(async move {
        if let Ok(Ok(_)) = timeout(DRAIN, Limited::new(body, BODY_MOST).collect()).await {
            give_back(&shared, address, connection);
        }
    });
    Answer { ends: Ends::All(outcome, closed), report, wait }
}

async fn connect(address: SocketAddr) -> Result<Connection, Box<dyn std::error::Error>> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let written = Arc::new(AtomicU64::new(0));
    let counted = Counted { stream, written: written.clone() };
    let (sender, connection) =
        http1::Builder::new().max_buf_size(BODY_MOST).handshake(TokioIo::new(counted)).await?;
    tokio::spawn(connection);
    Ok(Connection { sender, written })
}

async fn take_idle(shared: &Shared, address: SocketAddr) -> Option<Connection> {
    loop {
        // the last one used is taken, so that those beyond need grow old
        let idle = shared.idle.borrow_mut().get_mut(&address)?.pop()?;
        let mut connection = idle.connection;
        if idle.since.elapsed() < shared.idle_most && connection.sender.ready().await.is_ok() {
            return Some(connection);
        }
    }
}

fn give_back(shared: &Shared, address: SocketAddr, connection: Connection) {
    if connection.sender.is_closed() {
        return;
    }
    let mut idle = shared.idle.borrow_mut();
    let all: usize = idle.values().map(Vec::len).sum();
    let list = idle.entry(address).or_default();
    if list.len() < IDLE_EACH && all < IDLE_ALL {
        list.push(Idle { connection, since: Instant::now() });
    }
}

/// The request, and the fewest bytes that it takes on the wire.
fn request_of(address: SocketAddr, items: &[Item], expires: Instant) -> Option<(Request<Full<Bytes>>, u64)> {
    let (path, body) = match items {
        [item] => ("/inbox", item.body.clone()),
        _ => ("/inbox/bulk", bulk_of(items)),
    };
    let left = expires.saturating_duration_since(Instant::now()).as_millis().max(1);
    let size = body.len() as u64;
    let mut request = Request::post(path)
        .header(HOST, address.to_string())
        .header("x-timeout", format!("{left}m"))
        .header("content-length", size);
    if let [item] = items {
        request = request.header("x-request-id", item.id.clone());
        if let Some(key) = &item.key {
            request = request.header("idempotency-key", key.clone());
        }
    }
    let request = request.body(Full::new(body)).ok()?;
    let line = "POST  HTTP/1.1\r\n\r\n".len() + path.len();
    let headers: usize =
        request.headers().iter().map(|(name, value)| name.as_str().len() + value.len() + 4).sum();
    Some((request, (line + headers) as u64 + size))
}

/// Bytes that a message takes in the body of a bulk call.
pub fn bulk_size(item: &Item) -> usize {
    item.id.len() + item.key.as_ref().map_or(1, HeaderValue::len) + item.body.len() + 16
}

fn bulk_of(items: &[Item]) -> Bytes {
    let mut body = Vec::new();
    for item in items {
        let key = item.key.as_ref().map_or(&b"-"[..], |key| key.as_bytes());
        body.extend_from_slice(item.id.as_bytes());
        body.push(b' ');
        body.extend_from_slice(key);
        body.extend_from_slice(format!(" {}\r\n", item.body.len()).as_bytes());
        body.extend_from_slice(&item.body);
        body.extend_from_slice(b"\r\n");
    }
    body.into()
}

/// Each message's end; one that the answer doesn't name, or names in no known word, may have run.
fn ends_of(text: &[u8], items: &[Item], wait: Option<Micros>) -> Vec<(Outcome, bool)> {
    let lines: HashMap<&[u8], &[u8]> = text
        .split(|&byte| byte == b'\n')
        .filter_map(|line| {
            let at = line.iter().position(|&byte| byte == b' ')?;
            Some((&line[..at], line[at + 1..].trim_ascii()))
        })
        .collect();
    let end = |item: &Item| match lines.get(item.id.as_bytes()).copied() {
        Some(b"ok") => (Outcome::Success, true),
        Some(b"later") => (Outcome::Refused { wait }, false),
        Some(b"gone") => (Outcome::Unsent { no_slot: false }, true),
        Some(b"exhausted") => (Outcome::Unsent { no_slot: false }, false),
        _ => (Outcome::Error, false),
    };
    items.iter().map(end).collect()
}

/// The wait of a `Retry-After` in seconds, with or without decimals; none where it can't be read.
fn wait_of(headers: &HeaderMap) -> Option<Micros> {
    let seconds: f64 = headers.get(RETRY_AFTER)?.to_str().ok()?.trim().parse().ok()?;
    (seconds.is_finite() && seconds > 0.0)
        .then(|| ((seconds * 1e3).ceil() as Micros).min(86_400_000) * MILLISECOND)
}

/// The load report in the order of the settings; none unless it is whole and sound.
fn report_of(headers: &HeaderMap, fields: &[String]) -> Vec<f64> {
    let Some(text) = headers.get("x-server-load").and_then(|value| value.to_str().ok()) else {
        return Vec::new();
    };
    let pairs: HashMap<&str, f64> = text
        .split(',')
        .filter_map(|pair| pair.trim().split_once('='))
        .filter_map(|(name, value)| Some((name, value.parse().ok().filter(|v: &f64| v.is_finite())?)))
        .collect();
    fields.iter().map(|field| pairs.get(field.as_str()).copied()).collect::<Option<_>>().unwrap_or_default()
}

/// Counts what has been written: a call whose last byte was not can't have run.
struct Counted {
    stream: TcpStream,
    written: Arc<AtomicU64>,
}

impl Counted {
    fn count(&self, result: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(bytes)) = &result {
            self.written.fetch_add(*bytes as u64, Ordering::Relaxed);
        }
        result
    }
}

impl AsyncRead for Counted {
    fn poll_read(
        mut self: Pin<&mut Self>, context: &mut Context<'_>, buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for Counted {
    fn poll_write(
        mut self: Pin<&mut Self>, context: &mut Context<'_>, buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(context, buffer);
        self.count(result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>, context: &mut Context<'_>, buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(context, buffers);
        self.count(result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
