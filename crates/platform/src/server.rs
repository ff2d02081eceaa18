//! The clients' side: reads messages that are handed in, and answers as the driver decides.

use crate::drain_gate::DrainGate;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::header::{ALLOW, CONNECTION, HeaderMap, HeaderValue, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use milletturn_engine::{Arrival, ArrivalOutcome, Input, MAX_BODY_BYTES, SharedStr};
use milletturn_logging::RateLimitedLog;
use milletturn_policy::{Class, Effect, MILLISECOND, Micros};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore, mpsc, oneshot, watch};
use tokio::task::yield_now;
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};

/// From connecting to the end of the first request's head: a silent or endless one is closed in good time.
const FIRST_HEAD: Duration = Duration::from_millis(2000);
/// From connecting, or from the head of a later request, to the end of the body.
const BODY_TIME: Duration = Duration::from_millis(2400);
/// From an answer to the end of the next head. Longer keeps more connections that nobody uses.
const IDLE: Duration = Duration::from_millis(2500);
/// After an answer that closes: what is still coming is read and dropped for so long and so far, or its sender
/// would be reset before it has read the answer.
const LINGER: Duration = Duration::from_millis(500);
const LINGER_MOST: usize = 256 * 1024;
/// Longest wait of a new connection for the place of one that is asked to go. Beyond it is turned away while its client,
/// which waits four times as long, still has time to go elsewhere.
const PLACE_TIME: Duration = Duration::from_millis(100);
/// What a request gets that has not come whole when its connection is closed: it was not taken on.
const TURNED_AWAY: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
/// Longest head.
const HEAD_MOST: usize = 16 * 1024;
/// A longer time to deliver is cut to this.
const TIME_MOST: u64 = 7 * 86_400_000_000;

/// What the connections share.
pub struct Server {
    /// Classes of message, which are the first parts of paths, with their positions.
    pub classes: Rc<RefCell<Vec<(usize, Class)>>>,
    /// The engine.
    pub inputs: mpsc::UnboundedSender<Input>,
    /// True once endpoints are known.
    pub ready: watch::Receiver<bool>,
    /// Whether clients are let in, and whether each answer closes its connection.
    pub drain_gate: Rc<DrainGate>,
    /// Connections that may be open at once.
    pub max_connections: usize,
    /// Those of them that are not.
    pub connection_slots: Arc<Semaphore>,
    /// Beside these, new connections that may wait for a place at once.
    pub waiting_slots: Arc<Semaphore>,
    /// Beside these, closed connections that may be read to their end at once.
    pub lingering_slots: Arc<Semaphore>,
    /// Bytes of bodies that may be in reading at once.
    pub body_bytes: Semaphore,
}

/// Why a request is not taken on, as HTTP tells it.
type Refusal = (StatusCode, &'static str);

const fn bad(what: &'static str) -> Refusal {
    (StatusCode::BAD_REQUEST, what)
}

/// One connection, as it is seen from outside.
struct Place {
    /// Connected, or answered last.
    since: Cell<Instant>,
    /// With no request open then, it is closed.
    until: Cell<Instant>,
    /// When the body of the request that comes next must have ended, if that request is the first.
    first: Cell<Option<Instant>>,
    /// A request has been read, and its answer is owed.
    open: Cell<bool>,
    /// Its place is wanted.
    leave: Notify,
    leaving: Cell<bool>,
    /// The head that is being read, as it came; empty between an answer and the next request.
    head: RefCell<Vec<u8>>,
    /// Bytes that have been read.
    read: Cell<u64>,
}

impl Place {
    fn new() -> Self {
        let now = Instant::now();
        Place {
            since: Cell::new(now),
            until: Cell::new(now + FIRST_HEAD),
            first: Cell::new(Some(now + BODY_TIME)),
            open: Cell::new(false),
            leave: Notify::new(),
            leaving: Cell::new(false),
            head: RefCell::default(),
            read: Cell::new(0),
        }
    }

    /// A head has been read; the end of the time for its body. Until that has come whole, the place may still
    /// be asked for: half a request must not hold it against others.
    fn begin(&self) -> Instant {
        let ends = self
            .first
            .take()
            .unwrap_or_else(|| Instant::now() + BODY_TIME);
        self.until.set(ends + PLACE_TIME);
        ends
    }

    /// The driver gets the message: its answer is owed.
    fn hand_on(&self) {
        self.open.set(true);
    }

    fn answered(&self, closes: bool) {
        let now = Instant::now();
        self.open.set(false);
        self.since.set(now);
        self.until.set(now + if closes { LINGER } else { IDLE });
    }

    /// True unless the head as it came is known to have no `Content-Length`. hyper drops that header beside a
    /// `Transfer-Encoding`, though the two together may hide a second request in the body.
    fn may_have_length(&self) -> bool {
        let head = self.head.borrow();
        let mut headers = [httparse::EMPTY_HEADER; 100];
        let mut request = httparse::Request::new(&mut headers);
        match request.parse(&head) {
            Ok(httparse::Status::Complete(_)) => request
                .headers
                .iter()
                .any(|header| header.name.eq_ignore_ascii_case("content-length")),
            _ => true,
        }
    }
}

/// The open connections, in the order of their coming, and how many new ones wait for their places.
#[derive(Default)]
struct Places {
    open: RefCell<BTreeMap<u64, Rc<Place>>>,
    waiting: Cell<usize>,
}

impl Places {
    /// Asks the connection to go that has been without an open request for longest, if more wait than go. To be
    /// called whenever one more waits, one that was asked stays, or one has become free to go.
    fn ask_oldest(&self) {
        if self.waiting.get() == 0 {
            return;
        }
        let places = self.open.borrow();
        if places.values().filter(|place| place.leaving.get()).count() >= self.waiting.get() {
            return;
        }
        let free = places
            .values()
            .filter(|place| !place.open.get() && !place.leaving.get());
        if let Some(oldest) = free.min_by_key(|place| place.since.get()) {
            oldest.leaving.set(true);
            oldest.leave.notify_one();
        }
    }

    /// A place, that of another connection if need be; none if no other can go in time.
    async fn get(&self, free: &Arc<Semaphore>) -> Option<OwnedSemaphorePermit> {
        self.waiting.update(|count| count + 1);
        self.ask_oldest();
        let permit = timeout(PLACE_TIME, free.clone().acquire_owned()).await;
        self.waiting.update(|count| count - 1);
        permit.ok()?.ok()
    }
}

/// Accepts clients for ever. Nobody waits long behind those who say nothing: when places run short, the
/// oldest connection with no open request goes. Nor behind those who wait: these do so beside each other.
pub async fn serve(listener: TcpListener, server: Rc<Server>) {
    let faults = Rc::new(RateLimitedLog::default());
    let places = Rc::new(Places::default());
    for number in 0u64.. {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            // what stands in the queue is the other process's
            () = server.drain_gate.until_handed_over() => return,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(error) => {
                faults.log(format_args!("clients: no connection accepted: {error}"));
                sleep(Duration::from_millis(50)).await;
                continue;
            }
        };
        // without it answers still come, only later
        let _ = stream.set_nodelay(true);
        let inside = server.drain_gate.track_connection();
        let (permit, waits) = match server.connection_slots.clone().try_acquire_owned() {
            Ok(permit) => (Some(permit), None),
            // each of those that wait is done within `PLACE_TIME`
            Err(_) => (
                None,
                server.waiting_slots.clone().acquire_owned().await.ok(),
            ),
        };
        let (server, places, faults) = (server.clone(), places.clone(), faults.clone());
        tokio::task::spawn_local(async move {
            let permit = match permit {
                Some(permit) => Some(permit),
                None => places.get(&server.connection_slots).await,
            };
            // its descriptor has one share of the budget from its accept to its end
            let (left, share) = match permit {
                Some(permit) => {
                    drop(waits);
                    let place = Rc::new(Place::new());
                    places.open.borrow_mut().insert(number, place.clone());
                    let left = serve_one(stream, &server, &places, place).await;
                    places.open.borrow_mut().remove(&number);
                    (left, Some(permit))
                }
                None => {
                    faults.log(format_args!(
                        "clients: all {} places have an open request",
                        server.max_connections
                    ));
                    // one that does not take these few bytes has no use for them
                    let _ = stream.try_write(TURNED_AWAY);
                    (Some(stream), waits)
                }
            };
            if let Some(stream) = left {
                close(stream, share, &server.lingering_slots).await;
            }
            drop(inside);
        });
    }
}

/// Serves a connection until it ends; gives the stream of one that is still to be closed.
async fn serve_one(
    stream: TcpStream,
    server: &Rc<Server>,
    places: &Rc<Places>,
    place: Rc<Place>,
) -> Option<TcpStream> {
    let (mut closing, mut last) = (
        server.drain_gate.closing_idle(),
        server.drain_gate.closing_all(),
    );
    let (shared, seen, others) = (server.clone(), place.clone(), places.clone());
    let stream = Watched {
        stream,
        place: place.clone(),
        dropped: 0,
    };
    let service =
        service_fn(move |request| answer(request, shared.clone(), others.clone(), seen.clone()));
    let mut connection = http1::Builder::new()
        .header_read_timeout(None) // `Place::until` covers it
        .max_buf_size(HEAD_MOST)
        .serve_connection(TokioIo::new(stream), service);
    // one that comes after the idle ones have been closed is answered once
    let mut stays = !*closing.borrow_and_update();
    let mut ending = false;
    loop {
        let until = place.until.get();
        tokio::select! {
            // a request that has come counts more than the end of its time
            biased;
            // how a client leaves is its own affair; a message it left behind is withdrawn by its guard
            _ = &mut connection => return None,
            _ = closing.wait_for(|closing| *closing), if stays => {
                stays = false;
                Pin::new(&mut connection).graceful_shutdown();
                continue;
            }
            _ = last.wait_for(|last| *last), if !ending => ending = true,
            () = place.leave.notified() => {}
            () = sleep_until(until) => {}
        }
        if read_all(&mut connection, &place).await {
            return None;
        }
        let over = ending || place.leaving.get() || place.until.get() <= Instant::now();
        if over && !place.open.get() {
            break;
        }
        if place.until.get() <= Instant::now() {
            // its handler ends by itself: looked at again when that is long over
            place.until.set(Instant::now() + IDLE);
        }
        if place.leaving.replace(false) {
            places.ask_oldest();
        }
    }
    let stream = connection.into_parts().io.into_inner().stream;
    if !place.head.borrow().is_empty() {
        // one that does not take these few bytes has no use for them
        let _ = stream.try_write(TURNED_AWAY);
    }
    Some(stream)
}

/// Reads all that has come by now: the runtime hears of bytes only when it next asks the system, and a request
/// whose last byte is here must not meet the close of its connection. True if the connection has ended.
async fn read_all<C: Future + Unpin>(connection: &mut C, place: &Place) -> bool {
    loop {
        let before = place.read.get();
        tokio::select! {
            biased;
            _ = &mut *connection => return true,
            // comes back when the runtime has asked
            () = yield_now() => {}
        }
        if place.open.get() || place.read.get() == before {
            return false;
        }
    }
}

/// Closes a connection with no reset, which would take an answer with it that the client has not read: ends the
/// sending, and reads what still comes for a while. Its share is given back when there is another for that while, or
/// when it is closed.
async fn close(
    mut stream: TcpStream,
    share: Option<OwnedSemaphorePermit>,
    closed: &Arc<Semaphore>,
) {
    // one that is gone needs no end
    let _ = stream.shutdown().await;
    let time = match closed.clone().try_acquire_owned() {
        Ok(_beside) => {
            drop(share);
            timeout(LINGER, read_off(&mut stream)).await
        }
        // no descriptor may rest any longer: only what is here already
        Err(_) => {
            let read = timeout(Duration::ZERO, read_off(&mut stream)).await;
            drop((stream, share));
            read
        }
    };
    // its client has not ended in time: what more it writes is reset
    drop(time);
}

async fn read_off(stream: &mut TcpStream) {
    let (mut scratch, mut dropped) = ([0; 8192], 0);
    while dropped < LINGER_MOST {
        match stream.read(&mut scratch).await {
            Ok(count @ 1..) => dropped += count,
            _ => return,
        }
    }
}

/// The client's stream: keeps the head that is being read, and closes without a reset.
struct Watched {
    stream: TcpStream,
    place: Rc<Place>,
    dropped: usize,
}

impl Watched {
    fn wrote(&self, result: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if matches!(result, Poll::Ready(Ok(1..))) {
            self.place.head.borrow_mut().clear();
        }
        result
    }
}

impl AsyncRead for Watched {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        let read = (buffer.filled().len() - before) as u64;
        self.place.read.update(|count| count + read);
        let mut head = self.place.head.borrow_mut();
        // bodies behind the head are cut off at a read's end: only the head matters, and that has a bound
        let ended = head.windows(4).any(|four| four == b"\r\n\r\n");
        if !ended && head.len() < HEAD_MOST {
            let new = &buffer.filled()[before..];
            head.extend_from_slice(&new[..new.len().min(HEAD_MOST)]);
        }
        result
    }
}

impl AsyncWrite for Watched {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(context, buffer);
        self.wrote(result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(context, buffers);
        self.wrote(result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    /// Ends the sending and drops what still comes. The time for that is bounded by `Place::until`.
    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_shutdown(context))?;
        let mut scratch = [0; 8192];
        while self.dropped < LINGER_MOST {
            let mut buffer = ReadBuf::new(&mut scratch);
            match ready!(Pin::new(&mut self.stream).poll_read(context, &mut buffer)) {
                Ok(()) if !buffer.filled().is_empty() => self.dropped += buffer.filled().len(),
                _ => break,
            }
        }
        Poll::Ready(Ok(()))
    }
}

async fn answer(
    request: Request<Incoming>,
    server: Rc<Server>,
    places: Rc<Places>,
    place: Rc<Place>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let ends = place.begin();
    let (response, close) = match handle(request, &server, &place, ends).await {
        Ok(response) => (response, false),
        Err((status, what)) => {
            let mut response = Response::new(Full::from(format!("{what}\n")));
            *response.status_mut() = status;
            if status == StatusCode::METHOD_NOT_ALLOWED {
                let allowed = if what == ONLY_GET { "GET" } else { "POST" };
                response
                    .headers_mut()
                    .insert(ALLOW, HeaderValue::from_static(allowed));
            }
            // what stands behind a bad request is not read: nobody knows where that one ends
            (response, status.is_client_error())
        }
    };
    let mut response = response;
    let close = close || server.drain_gate.closes_connections();
    if close {
        response
            .headers_mut()
            .insert(CONNECTION, HeaderValue::from_static("close"));
    }
    // hyper writes the answer in the same breath, before anybody can ask for the place
    place.answered(close);
    // for those who found all others busy
    places.ask_oldest();
    Ok(response)
}

const ONLY_GET: &str = "only GET";

async fn handle(
    request: Request<Incoming>,
    server: &Server,
    place: &Place,
    ends: Instant,
) -> Result<Response<Full<Bytes>>, Refusal> {
    let began = Instant::now();
    let coding = single(request.headers(), "transfer-encoding", "Transfer-Encoding")?;
    if coding.is_some_and(|coding| {
        !coding.as_bytes().eq_ignore_ascii_case(b"chunked") || place.may_have_length()
    }) {
        return Err(bad("the length of the body is not clear"));
    }
    let path = request.uri().path();
    if path == "/ready" {
        if request.method() != Method::GET {
            return Err((StatusCode::METHOD_NOT_ALLOWED, ONLY_GET));
        }
        let ready = *server.ready.borrow() && server.drain_gate.is_ready();
        return if ready {
            Ok(Response::default())
        } else {
            Err((StatusCode::SERVICE_UNAVAILABLE, "not ready"))
        };
    }
    let first = path.trim_start_matches('/').split('/').next().unwrap_or("");
    let headers = request.headers();
    let named = single(headers, "x-priority-class", "X-Priority-Class")?;
    let known = server
        .classes
        .borrow()
        .iter()
        .find(|(_, class)| class.name == first)
        .cloned();
    let Some((
        class,
        Class {
            effect, ordered, ..
        },
    )) = known
    else {
        // a class that nobody knows, or a path that is none
        return Err(if named.is_some_and(|name| name == first) {
            bad("unknown class")
        } else {
            (StatusCode::NOT_FOUND, "no such path")
        });
    };
    if request.method() != Method::POST {
        return Err((StatusCode::METHOD_NOT_ALLOWED, "only POST"));
    }
    if named.is_none_or(|name| name != first) {
        return Err(bad("X-Priority-Class is missing or not the path's"));
    }
    // a doubled one is refused, since nobody can tell which was meant; no other class heeds it
    let subject = if ordered {
        subject_of(request.uri().query().unwrap_or(""))?
    } else {
        None
    };
    let tenant = word(single(headers, "x-tenant-id", "X-Tenant-Id")?)?;
    let id = word(single(headers, "x-request-id", "X-Request-ID")?)?
        .ok_or(bad("X-Request-ID is missing"))?;
    let key = word(single(headers, "idempotency-key", "Idempotency-Key")?)?;
    if key.is_none() && matches!(effect, Effect::Keyed { .. }) {
        return Err(bad("Idempotency-Key is missing"));
    }
    let time = single(headers, "x-timeout", "X-Timeout")?.ok_or(bad("X-Timeout is missing"))?;
    let time = time
        .to_str()
        .ok()
        .and_then(read_time)
        .ok_or(bad("X-Timeout can't be read"))?;
    let envelope = single(headers, "envelope", "Envelope")?.ok_or(bad("Envelope is missing"))?;
    let destination = envelope
        .to_str()
        .ok()
        .and_then(read_destination)
        .ok_or(bad("dest can't be read"))?;
    let retried = single(headers, "x-retried", "X-Retried")?;
    let (again, orphan) = (
        retried.is_some(),
        retried.is_some_and(|value| value == "again"),
    );
    if request.body().size_hint().lower() > MAX_BODY_BYTES as u64 {
        return Err((StatusCode::PAYLOAD_TOO_LARGE, "the body is over 64 KiB"));
    }
    let most = request
        .body()
        .size_hint()
        .upper()
        .map_or(MAX_BODY_BYTES, |most| {
            most.min(MAX_BODY_BYTES as u64) as usize
        });
    // a message that the door itself refuses is counted as turned away all the same
    let refuse = |what| {
        // nobody listens any more only when the process ends
        let _ = server.inputs.send(Input::Rejected { class, destination });
        Err((StatusCode::SERVICE_UNAVAILABLE, what))
    };
    let Ok(room) = server.body_bytes.try_acquire_many(most as u32) else {
        return refuse("too many bodies at once");
    };
    let body = timeout_at(ends, read_body(request.into_body()))
        .await
        .map_err(|_| (StatusCode::REQUEST_TIMEOUT, "the body did not come in time"))??;
    drop(room);
    if !*server.ready.borrow() {
        return refuse("not ready");
    }
    if !server.drain_gate.accepts_messages() {
        return refuse("draining");
    }
    let (reply, answer) = oneshot::channel();
    place.hand_on();
    let mut guard = Guard {
        left: Some(id.clone()),
        inputs: &server.inputs,
    };
    let arrival = Arrival {
        id,
        key,
        class,
        subject,
        tenant,
        destination,
        time_to_live: time,
        submitted_at: began,
        resubmitted: again,
        from_failed_sender: orphan,
        body,
        reply,
    };
    if server.inputs.send(Input::Arrived(arrival)).is_err() {
        return Err((StatusCode::SERVICE_UNAVAILABLE, "ending"));
    }
    let answer = answer.await;
    guard.left = None;
    let mut response = Response::default();
    match answer {
        Ok(ArrivalOutcome::Accepted) => *response.status_mut() = StatusCode::ACCEPTED,
        Ok(ArrivalOutcome::AlreadyDelivered) => {}
        Ok(ArrivalOutcome::Rejected { wait }) => {
            *response.status_mut() = StatusCode::TOO_MANY_REQUESTS;
            if let Some(wait) = wait {
                let text = format!("{:.3}", wait as f64 / 1e6);
                if let Ok(value) = HeaderValue::from_str(&text) {
                    response.headers_mut().insert(RETRY_AFTER, value);
                }
            }
        }
        Ok(ArrivalOutcome::NoCapacity) | Err(_) => {
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        }
        Ok(ArrivalOutcome::Failed) => *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR,
    }
    Ok(response)
}

/// The body in memory of its own: a slice would hold the connection's whole read buffer.
async fn read_body(mut body: Incoming) -> Result<Bytes, Refusal> {
    let mut bytes = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| bad("the body is malformed"))?;
        let data = frame.into_data().unwrap_or_default();
        if bytes.len() + data.len() > MAX_BODY_BYTES {
            return Err((StatusCode::PAYLOAD_TOO_LARGE, "the body is over 64 KiB"));
        }
        bytes.extend_from_slice(&data);
    }
    bytes.shrink_to_fit();
    Ok(bytes.into())
}

/// A client that goes before its answer hands its message in anew elsewhere: hyper drops the request then.
struct Guard<'a> {
    left: Option<SharedStr>,
    inputs: &'a mpsc::UnboundedSender<Input>,
}

impl Drop for Guard<'_> {
    fn drop(&mut self) {
        if let Some(id) = self.left.take() {
            // nobody listens any more only when the process ends
            let _ = self.inputs.send(Input::ClientDisconnected(id));
        }
    }
}

/// The header's only value; a doubled one is refused, since nobody can tell which was meant.
fn single<'a>(
    headers: &'a HeaderMap,
    name: &str,
    shown: &'static str,
) -> Result<Option<&'a HeaderValue>, Refusal> {
    let mut values = headers.get_all(name).iter();
    let value = values.next();
    if values.next().is_some() {
        Err(bad(shown))
    } else {
        Ok(value)
    }
}

/// An id or key, copied: a slice would hold the connection's whole read buffer.
fn word(value: Option<&HeaderValue>) -> Result<Option<SharedStr>, Refusal> {
    let read = |value: &HeaderValue| {
        SharedStr::new(value.as_bytes()).map_err(|_| bad("an id or key can't be read"))
    };
    value.map(read).transpose()
}

/// What a message is about: `subject` in the query. Messages with none are in nobody's way.
fn subject_of(query: &str) -> Result<Option<SharedStr>, Refusal> {
    let mut values = query
        .split('&')
        .filter_map(|part| part.strip_prefix("subject="));
    let (value, more) = (values.next(), values.next());
    let word = value
        .map(|value| SharedStr::new(value.as_bytes()))
        .transpose();
    word.ok()
        .filter(|_| more.is_none())
        .ok_or(bad("subject can't be read"))
}

/// A number and a unit: `m` milliseconds or `u` microseconds.
fn read_time(text: &str) -> Option<Micros> {
    let (digits, unit) = text.split_at_checked(text.len().checked_sub(1)?)?;
    let unit = match unit {
        "m" => MILLISECOND as u64,
        "u" => 1,
        _ => return None,
    };
    if digits.is_empty() || !digits.bytes().all(|byte| byte.is_ascii_digit()) {
        return None;
    }
    let value: u64 = digits.parse().ok()?;
    Micros::try_from(value.saturating_mul(unit).min(TIME_MOST)).ok()
}

fn read_destination(text: &str) -> Option<u64> {
    let mut values = text
        .split([';', ','])
        .filter_map(|part| part.trim().strip_prefix("dest="));
    let value = values.next()?;
    if values.next().is_some() || !value.bytes().all(|byte| byte.is_ascii_digit()) {
        return None;
    }
    value.parse().ok()
}
