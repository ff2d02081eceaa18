//! The HTTP server for clients: reads submitted messages, and responds as the engine decides.

mod client_stream;

use self::client_stream::{ClientStream, has_left};
use crate::client_classes::{ClassTerms, ClientClasses};
use crate::drain_gate::DrainGate;
use crate::message_head::{HeadError, MessageHead, Rejection, bad_request, single_value};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::{ALLOW, CONNECTION, HeaderValue, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use milletturn_engine::{Arrival, ArrivalOutcome, Input, MAX_BODY_BYTES, SharedStr};
use milletturn_logging::RateLimitedLog;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore, mpsc, oneshot, watch};
use tokio::task::yield_now;
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};

/// Time limit for the head of the first request, from the accept of the connection. Closes connections that stay silent
/// or send a head without end.
const FIRST_HEAD_TIMEOUT: Duration = Duration::from_millis(2000);
/// Time limit for the body, from the accept of the connection for the first request and from the end of the head for
/// later ones.
const BODY_TIMEOUT: Duration = Duration::from_millis(2400);
/// Time limit for the next head, from the last response. Larger values keep more unused connections open.
const IDLE_TIMEOUT: Duration = Duration::from_millis(2500);
/// How long input is still read and discarded after a response that closes the connection. Closing at once would reset
/// the connection before the client has read the response.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of bytes that are read and discarded after a response that closes the connection.
const MAX_LINGER_BYTES: usize = 256 * 1024;
/// Longest time that a new connection waits for the slot of an idle one that is asked to close. After that the new one
/// is rejected. Its client waits four times as long, so it still has time to connect to another sender.
const SLOT_TIMEOUT: Duration = Duration::from_millis(100);
/// Response to a connection that gets no slot, and to an incomplete request whose connection is closed. No message was
/// accepted in either case.
const REJECTION_RESPONSE: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
/// Maximum size of a request head in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// The end of a request head: the line end of its last line, and an empty line.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// The configuration and state that all connections share.
pub struct Server {
    /// Message classes that clients may name. The first segment of a request path is the name of a class.
    pub classes: ClientClasses,
    /// Inputs of the engine.
    pub inputs: mpsc::UnboundedSender<Input>,
    /// True once endpoints are known.
    pub ready: watch::Receiver<bool>,
    /// Whether clients are admitted, and whether each response closes its connection.
    pub drain_gate: Rc<DrainGate>,
    /// Maximum number of open connections.
    pub max_connections: usize,
    /// Free connection slots: a permit for each connection of `max_connections` that is not in use.
    pub connection_slots: Arc<Semaphore>,
    /// Permits for new connections that wait for a slot, in addition to `max_connections`.
    pub waiting_slots: Arc<Semaphore>,
    /// Permits for closing connections whose remaining input is being read, in addition to `max_connections`.
    pub lingering_slots: Arc<Semaphore>,
    /// A permit for each byte of a request body that may be in memory while it is being read.
    pub body_bytes: Semaphore,
}

/// The text of the rejection of a request whose class has other settings now, so that it must be submitted again.
const CLASS_CHANGED: &str = "the class has changed";

impl Server {
    /// The response to a request whose head is rejected. A process that has been replaced in a hot restart does not know
    /// the current settings, so it rejects nothing because of its own: the client is to submit the message again, on a
    /// connection to the other process.
    fn rejection(&self, error: HeadError) -> Rejection {
        match error {
            HeadError::ClassSettings(_) if self.drain_gate.is_replaced() => {
                (StatusCode::SERVICE_UNAVAILABLE, CLASS_CHANGED)
            }
            HeadError::ClassSettings(rejection) | HeadError::Malformed(rejection) => rejection,
        }
    }

    /// Rejects a message before the engine receives it, and tells the engine, which counts it. Submitting the message
    /// again is harmless.
    fn reject_message(&self, head: &MessageHead, message: &'static str) -> Rejection {
        if let Some(class) = self.classes.find(&head.class_name) {
            // sending fails only when the process ends
            let _ = self.inputs.send(Input::Rejected {
                class: class.position,
                destination: head.destination,
            });
        }
        (StatusCode::SERVICE_UNAVAILABLE, message)
    }

    /// The subject with which a message is submitted. The settings of a process that has taken over may require the subject
    /// where those of this process don't.
    fn subject(
        &self,
        head: &MessageHead,
        class: ClassTerms,
    ) -> Result<Option<SharedStr>, Rejection> {
        if self.drain_gate.is_replaced() {
            head.subject()
        } else {
            head.subject_for(class)
        }
    }

    /// The response to `GET /ready`.
    fn readiness(&self, method: &Method) -> Result<Response<Full<Bytes>>, Rejection> {
        if method != Method::GET {
            return Err((StatusCode::METHOD_NOT_ALLOWED, ONLY_GET));
        }
        if *self.ready.borrow() && self.drain_gate.is_ready() {
            Ok(Response::default())
        } else {
            Err((StatusCode::SERVICE_UNAVAILABLE, "not ready"))
        }
    }
}

/// State of one client connection, shared between the task that serves it and the tasks that need its slot.
struct ConnectionState {
    /// Time of the last response, or of the accept.
    idle_since: Cell<Instant>,
    /// The connection is closed at this time unless a request is open then.
    deadline: Cell<Instant>,
    /// When the body of the first request must be complete; `None` once its head has been read.
    first_body_deadline: Cell<Option<Instant>>,
    /// Whether a complete request has been passed to the engine and its response is still due.
    has_open_request: Cell<bool>,
    /// Wakes the task that serves the connection when another client needs the slot.
    close_requested: Notify,
    is_close_requested: Cell<bool>,
    /// Raw bytes of the request head that is being read. Empty between a response and the next request, and again once
    /// the head has been verified.
    head: RefCell<Vec<u8>>,
    /// Whether the head that is being read is complete.
    is_head_complete: Cell<bool>,
    /// Whether bytes have been read since the last response.
    has_partial_request: Cell<bool>,
    bytes_read: Cell<u64>,
}

impl ConnectionState {
    fn new() -> Self {
        let now = Instant::now();
        ConnectionState {
            idle_since: Cell::new(now),
            deadline: Cell::new(now + FIRST_HEAD_TIMEOUT),
            first_body_deadline: Cell::new(Some(now + BODY_TIMEOUT)),
            has_open_request: Cell::new(false),
            close_requested: Notify::new(),
            is_close_requested: Cell::new(false),
            head: RefCell::default(),
            is_head_complete: Cell::new(false),
            has_partial_request: Cell::new(false),
            bytes_read: Cell::new(0),
        }
    }

    /// Records bytes that have been read. Bytes of the body that arrive together with the end of the head are stored
    /// with it, which does no harm.
    fn record_read(&self, new: &[u8]) {
        self.bytes_read.update(|count| count + new.len() as u64);
        self.has_partial_request
            .set(self.has_partial_request.get() || !new.is_empty());
        let mut head = self.head.borrow_mut();
        if self.is_head_complete.get() || head.len() >= MAX_HEAD_BYTES {
            return;
        }
        // the end of the head may be split between two reads
        let unchecked = head.len().saturating_sub(HEAD_END.len() - 1);
        head.extend_from_slice(&new[..new.len().min(MAX_HEAD_BYTES)]);
        let has_end = head[unchecked..]
            .windows(HEAD_END.len())
            .any(|window| window == HEAD_END);
        self.is_head_complete.set(has_end);
    }

    /// Frees the raw head, which is not needed while the body is read.
    fn release_head(&self) {
        self.head.take();
    }

    /// Records that bytes of a response have been written: the next bytes belong to another request.
    fn end_request(&self) {
        self.head.take();
        self.is_head_complete.set(false);
        self.has_partial_request.set(false);
    }

    /// Records that a request head has been read; returns the deadline of the body. The deadline of the connection is
    /// [`SLOT_TIMEOUT`] later, which leaves time for the response to a request whose body is late. Until the body is
    /// complete, the connection may still be asked to close, so that an incomplete request cannot occupy a slot that
    /// others need.
    fn begin_request(&self) -> Instant {
        let deadline = self
            .first_body_deadline
            .take()
            .unwrap_or_else(|| Instant::now() + BODY_TIMEOUT);
        self.deadline.set(deadline + SLOT_TIMEOUT);
        deadline
    }

    /// Records that the message has been passed to the engine, so that the connection stays open until the response.
    fn mark_submitted(&self) {
        self.has_open_request.set(true);
    }

    fn finish_response(&self, is_closing: bool) {
        let now = Instant::now();
        self.has_open_request.set(false);
        self.idle_since.set(now);
        self.deadline.set(
            now + if is_closing {
                LINGER_TIMEOUT
            } else {
                IDLE_TIMEOUT
            },
        );
    }

    /// Whether the request head may contain a `Content-Length`; false only if the raw head shows that it has none.
    /// hyper removes that header if there is a `Transfer-Encoding` too, but both together can hide a second request in
    /// the body (request smuggling).
    fn may_have_content_length(&self) -> bool {
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

/// The open connections in the order of their accept, and how many new ones wait for a slot.
#[derive(Default)]
struct OpenConnections {
    open: RefCell<BTreeMap<u64, Rc<ConnectionState>>>,
    waiting_clients: Cell<usize>,
}

impl OpenConnections {
    /// Asks the connection that has been idle for longest to close, unless as many connections as there are waiting
    /// clients have been asked already. Must be called whenever a client begins to wait, a connection stays open
    /// although it was asked to close, or a connection has sent its response.
    fn request_close_of_longest_idle(&self) {
        if self.waiting_clients.get() == 0 {
            return;
        }
        let states = self.open.borrow();
        if states
            .values()
            .filter(|state| state.is_close_requested.get())
            .count()
            >= self.waiting_clients.get()
        {
            return;
        }
        let candidates = states
            .values()
            .filter(|state| !state.has_open_request.get() && !state.is_close_requested.get());
        if let Some(longest_idle) = candidates.min_by_key(|state| state.idle_since.get()) {
            longest_idle.is_close_requested.set(true);
            longest_idle.close_requested.notify_one();
        }
    }

    /// Waits for a slot, which another connection may have to free; `None` if there is none within [`SLOT_TIMEOUT`].
    async fn acquire_slot(&self, slots: &Arc<Semaphore>) -> Option<OwnedSemaphorePermit> {
        self.waiting_clients.update(|count| count + 1);
        self.request_close_of_longest_idle();
        let slot = timeout(SLOT_TIMEOUT, slots.clone().acquire_owned()).await;
        self.waiting_clients.update(|count| count - 1);
        slot.ok()?.ok()
    }
}

/// Accepts and serves client connections until another process has taken over the listening socket.
///
/// When all slots are in use, the connection that has been idle for longest is closed, so that silent clients do not
/// block new ones. New connections wait for a slot concurrently, so that they do not block each other either.
pub async fn serve(listener: TcpListener, server: Rc<Server>) {
    let fault_log = Rc::new(RateLimitedLog::default());
    let connections = Rc::new(OpenConnections::default());
    for number in 0u64.. {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            // the connections still in the listen queue belong to the other process
            () = server.drain_gate.wait_for_takeover() => return,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(error) => {
                fault_log.log(format_args!(
                    "clients: accepting a connection failed: {error}"
                ));
                sleep(Duration::from_millis(50)).await;
                continue;
            }
        };
        // if this fails, responses are only slower
        let _ = stream.set_nodelay(true);
        let connection_guard = server.drain_gate.track_connection();
        let (slot, waiting_slot) = match server.connection_slots.clone().try_acquire_owned() {
            Ok(slot) => (Some(slot), None),
            // bounded: each connection that waits for a slot does so for at most `SLOT_TIMEOUT`
            Err(_) => (
                None,
                server.waiting_slots.clone().acquire_owned().await.ok(),
            ),
        };
        let (server, connections, fault_log) =
            (server.clone(), connections.clone(), fault_log.clone());
        tokio::task::spawn_local(async move {
            let slot = match slot {
                Some(slot) => Some(slot),
                None => connections.acquire_slot(&server.connection_slots).await,
            };
            // From here until its close, each connection holds a permit for its file descriptor: a connection slot, a
            // waiting slot or a lingering slot.
            let (closing, slot) = match slot {
                Some(slot) => {
                    drop(waiting_slot);
                    let state = Rc::new(ConnectionState::new());
                    connections.open.borrow_mut().insert(number, state.clone());
                    let closing = serve_connection(stream, &server, &connections, state).await;
                    connections.open.borrow_mut().remove(&number);
                    (closing, Some(slot))
                }
                None => {
                    fault_log.log(format_args!(
                        "clients: all {} connections have an open request",
                        server.max_connections
                    ));
                    // Best effort: a client whose socket has no room for these few bytes is not reading.
                    let _ = stream.try_write(REJECTION_RESPONSE);
                    (Some(stream), waiting_slot)
                }
            };
            if let Some(stream) = closing {
                close_gracefully(stream, slot, &server.lingering_slots).await;
            }
            drop(connection_guard);
        });
    }
}

/// Serves a connection until the connection ends. Returns the stream if the server still has to close it.
async fn serve_connection(
    stream: TcpStream,
    server: &Rc<Server>,
    connections: &Rc<OpenConnections>,
    state: Rc<ConnectionState>,
) -> Option<TcpStream> {
    let (mut closing_idle, mut closing_all) = (
        server.drain_gate.closing_idle(),
        server.drain_gate.closing_all(),
    );
    let (service_server, service_state, service_connections) =
        (server.clone(), state.clone(), connections.clone());
    let socket = Rc::new(stream);
    let stream = ClientStream::new(socket.clone(), state.clone());
    let service_socket = socket.clone();
    let service = service_fn(move |request| {
        respond(
            request,
            service_server.clone(),
            service_connections.clone(),
            service_state.clone(),
            service_socket.clone(),
        )
    });
    let mut connection = http1::Builder::new()
        .header_read_timeout(None) // replaced by `ConnectionState::deadline`
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    // A connection that is accepted after the idle ones were closed is not shut down here; it gets one response.
    let mut is_keep_alive = !*closing_idle.borrow_and_update();
    let mut is_closing_all = false;
    loop {
        let deadline = state.deadline.get();
        tokio::select! {
            // a request that has arrived takes precedence over the deadline
            biased;
            // Errors of the connection are ignored. `DisconnectGuard` reports a client that has disconnected.
            _ = &mut connection => return None,
            _ = closing_idle.wait_for(|closing| *closing), if is_keep_alive => {
                is_keep_alive = false;
                Pin::new(&mut connection).graceful_shutdown();
                continue;
            }
            _ = closing_all.wait_for(|closing| *closing), if !is_closing_all => is_closing_all = true,
            () = state.close_requested.notified() => {}
            () = sleep_until(deadline) => {}
        }
        if read_available(&mut connection, &state).await {
            return None;
        }
        let must_close = is_closing_all
            || state.is_close_requested.get()
            || state.deadline.get() <= Instant::now();
        if must_close && !state.has_open_request.get() {
            break;
        }
        if state.deadline.get() <= Instant::now() {
            // The open request ends by its own time limit, well before this new deadline.
            state.deadline.set(Instant::now() + IDLE_TIMEOUT);
        }
        if state.is_close_requested.replace(false) {
            connections.request_close_of_longest_idle();
        }
    }
    drop(connection);
    if state.has_partial_request.get() {
        // Best effort: a client whose socket has no room for these few bytes is not reading.
        let _ = socket.try_write(REJECTION_RESPONSE);
    }
    // the connection held the other references
    Rc::into_inner(socket)
}

/// Processes all input that the kernel has received so far. The runtime learns of new bytes only the next time it polls
/// the kernel, and a connection must not be closed when the last byte of its request has already arrived. Returns true
/// if the connection has ended.
async fn read_available<C: Future + Unpin>(connection: &mut C, state: &ConnectionState) -> bool {
    loop {
        let before = state.bytes_read.get();
        tokio::select! {
            biased;
            _ = &mut *connection => return true,
            // returns after the runtime has polled the kernel
            () = yield_now() => {}
        }
        if state.has_open_request.get() || state.bytes_read.get() == before {
            return false;
        }
    }
}

/// Closes a connection without a reset, which would discard a response that the client has not read yet: shuts down
/// the write side, then reads remaining input for a limited time. If a lingering slot is available, `slot` is released
/// before that input is read. Otherwise only input that has already arrived is read, and `slot` is released when the
/// connection is closed.
async fn close_gracefully(
    mut stream: TcpStream,
    slot: Option<OwnedSemaphorePermit>,
    lingering_slots: &Arc<Semaphore>,
) {
    // the client may have closed the connection already
    let _ = stream.shutdown().await;
    let discarded = match lingering_slots.clone().try_acquire_owned() {
        Ok(_lingering_slot) => {
            drop(slot);
            timeout(LINGER_TIMEOUT, discard_input(&mut stream)).await
        }
        // Too many connections linger: read only the input that has already arrived.
        Err(_) => {
            let read = timeout(Duration::ZERO, discard_input(&mut stream)).await;
            drop((stream, slot));
            read
        }
    };
    // If the client has not closed its side in time, whatever it still writes is answered with a reset.
    drop(discarded);
}

async fn discard_input(stream: &mut TcpStream) {
    let (mut scratch, mut discarded_bytes) = ([0; 8192], 0);
    while discarded_bytes < MAX_LINGER_BYTES {
        match stream.read(&mut scratch).await {
            Ok(count @ 1..) => discarded_bytes += count,
            _ => return,
        }
    }
}

async fn respond(
    request: Request<Incoming>,
    server: Rc<Server>,
    connections: Rc<OpenConnections>,
    state: Rc<ConnectionState>,
    socket: Rc<TcpStream>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let body_deadline = state.begin_request();
    let handled = handle_request(request, &server, &state, &socket, body_deadline).await;
    let (response, close) = match handled {
        Ok(response) => (response, false),
        Err((status, message)) => {
            let mut response = Response::new(Full::from(format!("{message}\n")));
            *response.status_mut() = status;
            if status == StatusCode::METHOD_NOT_ALLOWED {
                let allowed = if message == ONLY_GET { "GET" } else { "POST" };
                response
                    .headers_mut()
                    .insert(ALLOW, HeaderValue::from_static(allowed));
            }
            // The input after a malformed request is not read, because it is unclear where that request ends.
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
    // hyper writes the response before any other task runs, so no task can ask the connection to close in between.
    state.finish_response(close);
    // This connection is idle now, so a client that waits while all connections are busy can have its slot.
    connections.request_close_of_longest_idle();
    Ok(response)
}

const ONLY_GET: &str = "only GET";

async fn handle_request(
    request: Request<Incoming>,
    server: &Server,
    state: &ConnectionState,
    socket: &TcpStream,
    body_deadline: Instant,
) -> Result<Response<Full<Bytes>>, Rejection> {
    let received_at = Instant::now();
    verify_body_length(&request, state)?;
    state.release_head();
    if request.uri().path() == "/ready" {
        return server.readiness(request.method());
    }
    let head =
        MessageHead::read(&request, &server.classes).map_err(|error| server.rejection(error))?;
    let Ok(body_permit) = server
        .body_bytes
        .try_acquire_many(head.max_body_bytes as u32)
    else {
        return Err(server.reject_message(&head, "too many bodies at once"));
    };
    let body = timeout_at(
        body_deadline,
        read_body(request.into_body(), head.max_body_bytes),
    )
    .await
    .map_err(|_| (StatusCode::REQUEST_TIMEOUT, "the body did not come in time"))??;
    drop(body_permit);
    if !*server.ready.borrow() {
        return Err(server.reject_message(&head, "not ready"));
    }
    if !server.drain_gate.accepts_messages() {
        return Err(server.reject_message(&head, "draining"));
    }
    // The class is looked up again: a reload while the body came in may have changed it, and given its position in the
    // engine's class table to another class.
    let class = server
        .classes
        .find(&head.class_name)
        .filter(|class| head.key.is_some() || !class.requires_key)
        .ok_or_else(|| server.reject_message(&head, CLASS_CHANGED))?;
    let subject = server
        .subject(&head, class)
        .map_err(|error| server.rejection(HeadError::ClassSettings(error)))?;
    // a client that leaves before its request is read submits the message again, maybe to another sender
    if has_left(socket) {
        return Err(server.reject_message(&head, "the client has closed the connection"));
    }
    let (reply, outcome) = oneshot::channel();
    let id = head.id.clone();
    let arrival = Arrival {
        id: head.id,
        key: head.key,
        class: class.position,
        subject,
        tenant: head.tenant,
        destination: head.destination,
        time_to_live: head.time_to_live,
        submitted_at: received_at,
        resubmitted: head.is_resubmitted,
        from_lost_sender: head.is_from_lost_sender,
        body,
        reply,
    };
    state.mark_submitted();
    let mut guard = DisconnectGuard {
        pending_id: Some(id),
        inputs: &server.inputs,
    };
    if server.inputs.send(Input::Arrived(arrival)).is_err() {
        return Err((StatusCode::SERVICE_UNAVAILABLE, "ending"));
    }
    let outcome = outcome.await;
    guard.pending_id = None;
    // an engine that drops the reply is ending
    Ok(response_to(outcome.unwrap_or(ArrivalOutcome::NoCapacity)))
}

/// Rejects a request whose body could end at two places.
fn verify_body_length(
    request: &Request<Incoming>,
    state: &ConnectionState,
) -> Result<(), Rejection> {
    let transfer_encoding =
        single_value(request.headers(), "transfer-encoding", "Transfer-Encoding")?;
    let is_ambiguous = transfer_encoding.is_some_and(|transfer_encoding| {
        !transfer_encoding
            .as_bytes()
            .eq_ignore_ascii_case(b"chunked")
            || state.may_have_content_length()
    });
    if is_ambiguous {
        return Err(bad_request("the length of the body is not clear"));
    }
    Ok(())
}

/// The response that tells a client the outcome of its message.
fn response_to(outcome: ArrivalOutcome) -> Response<Full<Bytes>> {
    let mut response = Response::default();
    *response.status_mut() = match outcome {
        ArrivalOutcome::Accepted => StatusCode::ACCEPTED,
        ArrivalOutcome::AlreadyDelivered => StatusCode::OK,
        ArrivalOutcome::Rejected { .. } => StatusCode::TOO_MANY_REQUESTS,
        ArrivalOutcome::NoCapacity => StatusCode::SERVICE_UNAVAILABLE,
        ArrivalOutcome::Failed => StatusCode::INTERNAL_SERVER_ERROR,
    };
    if let ArrivalOutcome::Rejected {
        retry_after: Some(delay),
    } = outcome
    {
        let text = format!("{:.3}", delay as f64 / 1e6);
        if let Ok(value) = HeaderValue::from_str(&text) {
            response.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    response
}

/// Reads the body, of at most `max_bytes`, into a buffer of its own. A slice would keep the connection's whole read
/// buffer in memory.
async fn read_body(mut body: Incoming, max_bytes: usize) -> Result<Bytes, Rejection> {
    let mut bytes = Vec::with_capacity(max_bytes);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| bad_request("the body is malformed"))?;
        let data = frame.into_data().unwrap_or_default();
        if bytes.len() + data.len() > MAX_BODY_BYTES {
            return Err((StatusCode::PAYLOAD_TOO_LARGE, "the body is over 64 KiB"));
        }
        bytes.extend_from_slice(&data);
    }
    bytes.shrink_to_fit();
    Ok(bytes.into())
}

/// Tells the engine of a client that disconnects before the response to its message: hyper drops the request future
/// then. The engine withdraws the message unless it may have run.
struct DisconnectGuard<'a> {
    pending_id: Option<SharedStr>,
    inputs: &'a mpsc::UnboundedSender<Input>,
}

impl Drop for DisconnectGuard<'_> {
    fn drop(&mut self) {
        if let Some(id) = self.pending_id.take() {
            // sending fails only when the process ends
            let _ = self.inputs.send(Input::ClientDisconnected(id));
        }
    }
}
