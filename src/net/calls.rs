//! Calls to endpoints: connections, time-outs, and what each answer means.
//!
//! Nothing here sends a call again by itself: a repeat that the decision module doesn't know of would be a
//! duplicate. When it is unsure whether a call may have run, the outcome says that it may. What hyper does not
//! tell, such as the first line of an answer whose head it rejects, is seen by [`Wired`] on the raw bytes.

use super::Seldom;
use super::config::Budget;
use super::driver::Input;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{HOST, HeaderMap, HeaderValue, RETRY_AFTER};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use milletturn::{EndpointId, MILLISECOND, Micros, Outcome};
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore, mpsc};
use tokio::time::{Instant, sleep_until, timeout};

/// Bodies hold at most this.
pub const BODY_MOST: usize = 64 * 1024;
/// Idle connections kept for one endpoint.
const IDLE_EACH: usize = 16;
/// Longest time for the rest of an answer whose first bytes have come: no answer is large.
const DRAIN: Duration = Duration::from_secs(1);
/// Longest wait for the rest of the head behind a first line that says 200: the message is delivered, and only
/// the load report would be missed.
const HEAD_OF_200: Duration = Duration::from_millis(200);
/// A connection rests so long after an answer: what comes right behind that must not meet the next call.
const REST: Duration = Duration::from_millis(5);
/// Longest wait for the descriptor of an idle connection that gives way to a new one.
const PLACE: Duration = Duration::from_millis(200);
/// A longer told wait is absurd: no message lives nearly as long.
const WAIT_MOST_S: f64 = 3600.0;

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
    pub endpoint: EndpointId,
    pub address: SocketAddr,
    pub items: Vec<Item>,
    pub expires: Instant,
}

struct Idle {
    connection: Connection,
    since: Instant,
}

struct Connection {
    sender: SendRequest<Full<Bytes>>,
    wire: Rc<Wire>,
}

/// The idle connections of an endpoint that may get calls.
struct Pool {
    address: SocketAddr,
    idle: Vec<Idle>,
}

/// The connections to the endpoints and what calls have in common.
#[derive(Clone)]
pub struct Calls(Rc<Shared>);

struct Shared {
    /// By endpoint, not by address: another endpoint may come to stand at the address of one that has gone.
    pools: RefCell<HashMap<EndpointId, Pool>>,
    idle_all: usize,
    /// Descriptors for connections.
    places: std::sync::Arc<Semaphore>,
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
        let closed = outcome == Outcome::Success;
        Answer { ends: Ends::All(outcome, closed), report: Vec::new(), wait: None }
    }
}

impl Calls {
    /// No connections yet. `idle` is when endpoints close idle ones, zero where that is not known.
    pub fn new(
        idle: Duration, dial_timeout: Duration, report_fields: Vec<String>, budget: &Budget,
        inputs: mpsc::UnboundedSender<Input>,
    ) -> Self {
        let idle = if idle.is_zero() { Duration::from_secs(5) } else { idle };
        let idle_most = (idle * 9 / 10).min(idle.saturating_sub(Duration::from_millis(300)));
        Calls(Rc::new(Shared {
            pools: RefCell::default(),
            idle_all: budget.idle,
            places: std::sync::Arc::new(Semaphore::new(budget.endpoints)),
            idle_most,
            dial_timeout,
            report_fields,
            faults: Seldom::default(),
            inputs,
        }))
    }

    /// Starts a call; its messages' ends come as inputs. `cancels` has the positions that are called off.
    pub fn start(&self, call: Call, cancels: mpsc::UnboundedReceiver<usize>) {
        let shared = self.0.clone();
        tokio::task::spawn_local(async move { run(shared, call, cancels).await });
    }

    /// Connections to the endpoint may be kept from now on; those to another address of it go.
    pub fn admit(&self, endpoint: EndpointId, address: SocketAddr) {
        let mut pools = self.0.pools.borrow_mut();
        if pools.get(&endpoint).is_none_or(|pool| pool.address != address) {
            pools.insert(endpoint, Pool { address, idle: Vec::new() });
        }
    }

    /// The endpoint gets no calls any more: its connections go, also those that a call still holds.
    pub fn forget(&self, endpoint: EndpointId) {
        self.0.pools.borrow_mut().remove(&endpoint);
    }

    /// Gives back the connections to an endpoint that carry nothing now.
    pub fn disconnect(&self, endpoint: EndpointId) {
        if let Some(pool) = self.0.pools.borrow_mut().get_mut(&endpoint) {
            pool.idle.clear();
        }
    }

    /// Closes connections that would soon be closed from the other side.
    pub fn sweep(&self) {
        let now = Instant::now();
        for pool in self.0.pools.borrow_mut().values_mut() {
            pool.idle
                .retain(|idle| now - idle.since < self.0.idle_most && !idle.connection.sender.is_closed());
        }
    }
}

async fn run(shared: Rc<Shared>, call: Call, mut cancels: mpsc::UnboundedReceiver<usize>) {
    let mut left: Vec<bool> = vec![true; call.items.len()];
    let tell = |item: usize, outcome, closed, report, wait| {
        let end = Ended { call: call.number, item, outcome, closed, report, wait };
        // nobody listens any more only when the process ends
        let _ = shared.inputs.send(Input::Ended(end));
    };
    let wire = RefCell::new(None);
    let answer = {
        let exchange = exchange(&shared, &call, &wire);
        tokio::pin!(exchange);
        loop {
            tokio::select! {
                // an answer that is there counts more than a cancel
                biased;
                answer = &mut exchange => break answer,
                () = sleep_until(call.expires) => break unanswered(&wire, call.items.len(), Outcome::TimedOut),
                Some(item) = cancels.recv() => {
                    if delivered(&wire, call.items.len()) {
                        break Outcome::Success.into();
                    }
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

type WireNow = RefCell<Option<Rc<Wire>>>;

/// True if the call's only message is delivered, whatever becomes of the rest of its answer.
fn delivered(wire: &WireNow, messages: usize) -> bool {
    messages == 1 && wire.borrow().as_ref().is_some_and(|wire| wire.says_200())
}

/// What became of a call with no answer that can be read.
fn unanswered(wire: &WireNow, messages: usize, outcome: Outcome) -> Answer {
    if delivered(wire, messages) { Outcome::Success.into() } else { outcome.into() }
}

/// Makes the call on one connection and reads its answer. Dropping this closes the connection.
async fn exchange(shared: &Rc<Shared>, call: &Call, wire: &WireNow) -> Answer {
    loop {
        let (mut connection, reused) = match take_idle(shared, call.endpoint, call.address).await {
            Some(connection) => (connection, true),
            None => {
                let Some(place) = place(shared).await else {
                    shared.faults.log(format_args!("calls: no descriptor left for a connection"));
                    return Outcome::Unsent { no_slot: false }.into();
                };
                match timeout(shared.dial_timeout, connect(call.address, place)).await {
                    Ok(Ok(connection)) => (connection, false),
                    Ok(Err(_)) | Err(_) => return Outcome::NoConnection.into(),
                }
            }
        };
        let Some((request, least)) = request_of(call.address, &call.items, call.expires) else {
            return Outcome::Unsent { no_slot: false }.into();
        };
        connection.wire.begin(reused);
        *wire.borrow_mut() = Some(connection.wire.clone());
        let before = connection.wire.written.get();
        let response = {
            let response = connection.sender.try_send_request(request);
            tokio::pin!(response);
            tokio::select! {
                biased;
                response = &mut response => Some(response),
                () = connection.wire.first_line() => {
                    let time = if delivered(wire, call.items.len()) { HEAD_OF_200 } else { DRAIN };
                    timeout(time, response).await.ok()
                }
            }
        };
        return match response {
            Some(Ok(response)) => read(shared, call, connection, response).await,
            Some(Err(_)) => {
                let written = connection.wire.written.get() - before;
                // an idle connection that had closed before a byte was written carried no call at all
                if reused && written == 0 {
                    continue;
                }
                // `least` is what the call takes up on the wire at the very least
                let outcome = if written < least { Outcome::NoConnection } else { Outcome::Reset };
                unanswered(wire, call.items.len(), outcome)
            }
            // a head without end
            None => unanswered(wire, call.items.len(), Outcome::Reset),
        };
    }
}

async fn read(
    shared: &Rc<Shared>, call: &Call, connection: Connection, response: Response<Incoming>,
) -> Answer {
    let (head, body) = response.into_parts();
    let report = report_of(&head.headers, &shared.report_fields);
    let wait = wait_of(&head.headers);
    let (endpoint, address, single) = (call.endpoint, call.address, call.items.len() == 1);
    if head.status == StatusCode::OK && single {
        // the outcome is known; the rest of the answer only frees the connection
        let shared = shared.clone();
        tokio::task::spawn_local(async move {
            if whole(body).await.is_some() {
                give_back(&shared, endpoint, address, connection);
            }
        });
        return Answer { ends: Ends::All(Outcome::Success, true), report, wait };
    }
    // all else counts only when the answer is whole: a spoilt one may stand for a call that has run
    let Some(text) = whole(body).await else {
        return Answer { ends: Ends::All(Outcome::Reset, false), report: Vec::new(), wait };
    };
    give_back(shared, endpoint, address, connection);
    let refused = Outcome::Refused { wait };
    let (outcome, closed) = match head.status {
        // tells each message's end
        StatusCode::OK => {
            return Answer { ends: Ends::Each(ends_of(&text, &call.items, wait)), report, wait };
        }
        StatusCode::TOO_MANY_REQUESTS => (refused, false),
        StatusCode::SERVICE_UNAVAILABLE => {
            let no_slot = head.headers.get("slots-taken").is_some_and(|value| value == "1");
            (if no_slot { Outcome::Unsent { no_slot } } else { refused }, false)
        }
        StatusCode::GATEWAY_TIMEOUT => (Outcome::Unsent { no_slot: false }, false),
        StatusCode::GONE => (Outcome::Unsent { no_slot: false }, true),
        StatusCode::BAD_REQUEST | StatusCode::PAYLOAD_TOO_LARGE if !single => {
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
    Answer { ends: Ends::All(outcome, closed), report, wait }
}

/// The body, if it ends in time and is no larger than any may be.
async fn whole(body: Incoming) -> Option<Bytes> {
    let collected = timeout(DRAIN, Limited::new(body, BODY_MOST).collect()).await.ok()?;
    collected.ok().map(|text| text.to_bytes())
}

/// A descriptor for a new connection; the oldest idle one gives way if there is no other.
async fn place(shared: &Shared) -> Option<OwnedSemaphorePermit> {
    if shared.places.available_permits() == 0 {
        let mut pools = shared.pools.borrow_mut();
        let oldest = |pool: &&mut Pool| pool.idle.first().map(|idle| idle.since);
        if let Some(pool) = pools.values_mut().filter(|pool| !pool.idle.is_empty()).min_by_key(oldest) {
            pool.idle.remove(0);
        }
    }
    timeout(PLACE, shared.places.clone().acquire_owned()).await.ok()?.ok()
}

async fn connect(
    address: SocketAddr, place: OwnedSemaphorePermit,
) -> Result<Connection, Box<dyn std::error::Error>> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let wire = Rc::new(Wire::default());
    let wired = Wired { stream, wire: wire.clone(), _place: place };
    let (sender, connection) =
        http1::Builder::new().max_buf_size(BODY_MOST).handshake(TokioIo::new(wired)).await?;
    tokio::task::spawn_local(connection);
    Ok(Connection { sender, wire })
}

async fn take_idle(shared: &Shared, endpoint: EndpointId, address: SocketAddr) -> Option<Connection> {
    loop {
        let idle = {
            let mut pools = shared.pools.borrow_mut();
            let pool = pools.get_mut(&endpoint).filter(|pool| pool.address == address)?;
            // the last one used is taken, so that those beyond need grow old
            let rested = pool.idle.iter().rposition(|idle| idle.since.elapsed() >= REST)?;
            pool.idle.remove(rested)
        };
        let mut connection = idle.connection;
        if idle.since.elapsed() < shared.idle_most && connection.sender.ready().await.is_ok() {
            return Some(connection);
        }
    }
}

fn give_back(shared: &Shared, endpoint: EndpointId, address: SocketAddr, connection: Connection) {
    if connection.sender.is_closed() {
        return;
    }
    let mut pools = shared.pools.borrow_mut();
    let all: usize = pools.values().map(|pool| pool.idle.len()).sum();
    let pool = pools.get_mut(&endpoint).filter(|pool| pool.address == address);
    if let Some(pool) = pool.filter(|pool| pool.idle.len() < IDLE_EACH && all < shared.idle_all) {
        pool.idle.push(Idle { connection, since: Instant::now() });
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

/// The wait of a `Retry-After` in seconds, with or without decimals; none where it can't be read or is absurd.
fn wait_of(headers: &HeaderMap) -> Option<Micros> {
    let seconds: f64 = headers.get(RETRY_AFTER)?.to_str().ok()?.trim().parse().ok()?;
    (seconds > 0.0 && seconds <= WAIT_MOST_S).then(|| (seconds * 1e3).ceil() as Micros * MILLISECOND)
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

/// What the raw bytes of a connection tell.
#[derive(Default)]
struct Wire {
    /// A call whose last byte was not written can't have run.
    written: Cell<u64>,
    /// Nothing may stand unread when the next call begins.
    look: Cell<bool>,
    answer: Cell<FirstLine>,
    /// Bytes of 1xx answers ahead of the present call's answer.
    ahead: Cell<usize>,
    seen: Notify,
}

/// How far the first line of the answer that counts has come. 1xx answers ahead of it are passed over.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
enum FirstLine {
    /// So many bytes of `HTTP/1.x NNN` have come, and its number so far.
    Status(usize, u16),
    /// The line of a final answer, up to its end.
    Rest(u16),
    /// A 1xx answer; true at the start of a line.
    Ahead(bool),
    Whole(u16),
    /// No call is out, or this is no answer.
    #[default]
    Nothing,
}

impl FirstLine {
    /// One byte further. 101 becomes 100 for hyper, which would take it for the end of HTTP here; no call asks
    /// for that.
    fn pass(self, byte: &mut u8) -> Self {
        const START: &[u8] = b"HTTP/1.";
        match (self, *byte) {
            (FirstLine::Status(0, _), b'\r' | b'\n') => self,
            (FirstLine::Status(at, _), found) if at < START.len() && START.get(at) == Some(&found) => {
                FirstLine::Status(at + 1, 0)
            }
            (FirstLine::Status(7, _), b'0' | b'1') => FirstLine::Status(8, 0),
            (FirstLine::Status(8, _), b' ') => FirstLine::Status(9, 0),
            (FirstLine::Status(at @ 9..=11, code), b'0'..=b'9') => {
                let code = code * 10 + u16::from(*byte - b'0');
                if at == 11 && code == 101 {
                    *byte = b'0';
                }
                FirstLine::Status(at + 1, code)
            }
            (FirstLine::Status(12, 100..200), b' ' | b'\r' | b'\n') => FirstLine::Ahead(*byte == b'\n'),
            (FirstLine::Status(12, code), b'\n') | (FirstLine::Rest(code), b'\n') => FirstLine::Whole(code),
            (FirstLine::Status(12, code), b' ' | b'\r') | (FirstLine::Rest(code), _) => FirstLine::Rest(code),
            (FirstLine::Ahead(true), b'\n') => FirstLine::Status(0, 0),
            (FirstLine::Ahead(start), b'\r') => FirstLine::Ahead(start),
            (FirstLine::Ahead(_), b'\n') => FirstLine::Ahead(true),
            (FirstLine::Ahead(_), _) => FirstLine::Ahead(false),
            (FirstLine::Whole(code), _) => FirstLine::Whole(code),
            (FirstLine::Status(..) | FirstLine::Nothing, _) => FirstLine::Nothing,
        }
    }
}

impl Wire {
    /// A call is about to be written.
    fn begin(&self, reused: bool) {
        self.look.set(reused);
        self.ahead.set(0);
        self.answer.set(FirstLine::Status(0, 0));
    }

    fn says_200(&self) -> bool {
        self.answer.get() == FirstLine::Whole(200)
    }

    /// Ends once the first line of an answer has come, or what can be none.
    async fn first_line(&self) {
        while !matches!(self.answer.get(), FirstLine::Whole(_) | FirstLine::Nothing) {
            self.seen.notified().await;
        }
    }

    fn pass(&self, bytes: &mut [u8]) -> io::Result<()> {
        let mut line = self.answer.get();
        let mut ahead = self.ahead.get();
        for byte in bytes {
            if matches!(line, FirstLine::Whole(_) | FirstLine::Nothing) {
                break;
            }
            line = line.pass(byte);
            ahead += 1;
        }
        self.ahead.set(ahead);
        self.answer.set(line);
        if matches!(line, FirstLine::Whole(_) | FirstLine::Nothing) {
            self.seen.notify_one();
        } else if ahead > BODY_MOST {
            return Err(io::Error::new(io::ErrorKind::InvalidData, "no answer behind those ahead"));
        }
        Ok(())
    }
}

/// An endpoint's stream, with an eye on the raw bytes.
struct Wired {
    stream: TcpStream,
    wire: Rc<Wire>,
    /// Its descriptor; free again when this is dropped.
    _place: OwnedSemaphorePermit,
}

impl Wired {
    /// An error if something came behind the last answer, or the end: it must not be taken for the answer to
    /// the call that is about to be written.
    fn look(&self) -> io::Result<()> {
        if !self.wire.look.take() {
            return Ok(());
        }
        match SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit()]) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(()),
            Err(error) => Err(error),
            Ok(_) => Err(io::Error::new(io::ErrorKind::ConnectionAborted, "not idle")),
        }
    }

    fn count(&self, result: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(bytes)) = &result {
            self.wire.written.set(self.wire.written.get() + *bytes as u64);
        }
        result
    }
}

impl AsyncRead for Wired {
    fn poll_read(
        mut self: Pin<&mut Self>, context: &mut Context<'_>, buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let new = buffer.filled_mut().get_mut(before..).unwrap_or_default();
        Poll::Ready(self.wire.pass(new))
    }
}

impl AsyncWrite for Wired {
    fn poll_write(
        mut self: Pin<&mut Self>, context: &mut Context<'_>, buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.look()?;
        let result = Pin::new(&mut self.stream).poll_write(context, buffer);
        self.count(result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>, context: &mut Context<'_>, buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.look()?;
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

#[cfg(test)]
mod tests {
    use super::{FirstLine, Wire};

    /// The first line after these bytes, however they are cut into reads, and what hyper gets to see of them.
    fn seen(text: &str) -> (FirstLine, String) {
        let mut found = Vec::new();
        for size in [1, 2, 5, 13, text.len().max(1)] {
            let (wire, mut bytes) = (Wire::default(), text.as_bytes().to_vec());
            wire.begin(false);
            bytes.chunks_mut(size).for_each(|chunk| wire.pass(chunk).expect("short enough"));
            found.push((wire.answer.get(), String::from_utf8(bytes).expect("text")));
        }
        let first = found.swap_remove(0);
        assert!(found.iter().all(|other| *other == first), "{text}: {first:?} {found:?}");
        first
    }

    #[test]
    fn the_first_line_that_counts_is_found_wherever_reads_end() {
        for (text, expected) in [
            ("HTTP/1.1 200 OK\r\n", FirstLine::Whole(200)),
            ("\r\nHTTP/1.0 200\n", FirstLine::Whole(200)),
            ("HTTP/1.1 200 O", FirstLine::Rest(200)),
            ("HTTP/1.1 2000 OK\r\n", FirstLine::Nothing),
            ("HTTP/1.1 20 OK\r\n", FirstLine::Nothing),
            ("HTTP/2.0 200 OK\r\n", FirstLine::Nothing),
            ("noise HTTP/1.1 200 OK\r\n", FirstLine::Nothing),
            ("HTTP/1.1 500 HTTP/1.1 200 OK\r\n", FirstLine::Whole(500)),
            ("HTTP/1.1 103 Hint\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\n", FirstLine::Whole(200)),
            ("HTTP/1.1 100\r\n\r\nHTTP/1.1 102 x\n\nHTTP/1.1 503 No\r\n", FirstLine::Whole(503)),
            // a 200 inside the head of an answer ahead is none
            ("HTTP/1.1 103 Hint\r\nHTTP/1.1 200 OK\r\n", FirstLine::Ahead(true)),
        ] {
            assert_eq!(seen(text), (expected, text.to_string()), "{text}");
        }
        let (line, shown) = seen("HTTP/1.1 101 Other\r\n\r\nHTTP/1.1 200 OK\r\n");
        assert_eq!(line, FirstLine::Whole(200));
        assert!(shown.starts_with("HTTP/1.1 100 Other"), "hyper ends its work at a 101: {shown}");
    }

    #[test]
    fn answers_ahead_without_end_are_an_error() {
        let wire = Wire::default();
        wire.begin(false);
        let ends = (0..10_000).any(|_| wire.pass(&mut b"HTTP/1.1 102 Processing\r\n\r\n".to_vec()).is_err());
        assert!(ends);
    }
}
