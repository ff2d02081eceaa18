//! The server's side of a call, for coordinators, session proxies and shard maps: connections up to a limit, the checks
//! that every call has to pass, bodies up to a bound, and errors as JSON.

use crate::messages::{
    CALL_HEADER, COORDINATOR_HEADER, ErrorResponse, GROUP_HEADER, PROTOCOL_VERSION, VERSION_HEADER,
};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use milletturn_logging::RateLimitedLog;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::cell::Cell;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

/// A connection on which no call comes for so long is closed; members call several times within a lease.
const IDLE_TIMEOUT: Duration = Duration::from_secs(300);
/// Longest time in which a call's body has to come.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// What is over a body's bound is read and dropped, up to so many times as much: a close over unread bytes would reset
/// the connection, and the error response with it.
const MAX_DROPPED_BODIES: usize = 16;

/// The JSON of a response, or why the call was not done.
pub type HandlerResult = Result<Vec<u8>, CallError>;

/// An error response with its status.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{status}: {}", .body.message)]
pub struct CallError {
    /// The status of the response.
    pub status: StatusCode,
    /// The body of the response.
    pub body: ErrorResponse,
}

impl CallError {
    /// A call that was not done, for a reason that calling another server doesn't change.
    pub fn rejected(status: StatusCode, message: impl Into<String>) -> Self {
        Self {
            status,
            body: ErrorResponse {
                message: message.into(),
                leader: None,
                may_have_happened: false,
            },
        }
    }
}

/// Answers the calls that a server has checked.
pub trait Handler: 'static {
    /// The group whose calls are answered.
    fn group(&self) -> &str;

    /// The number of the coordinator that answers; none for a session proxy or a shard map.
    fn coordinator_id(&self) -> Option<u64>;

    /// Answers a call of this group and this version of the protocol.
    fn handle(&self, request: Request<Incoming>) -> impl Future<Output = HandlerResult>;
}

/// Bounds the connections of a server, and counts them.
#[derive(Debug)]
pub struct ConnectionLimit {
    max: usize,
    open: Cell<usize>,
    rejected: Cell<u64>,
}

/// The connections of a server at one moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionCounts {
    /// Connections that are open.
    pub open: usize,
    /// The most that may be open at once.
    pub max: usize,
    /// Connections that were closed at once since the start, because that many were open.
    pub rejected: u64,
}

impl ConnectionLimit {
    /// At most so many connections at once.
    #[must_use]
    pub fn new(max: usize) -> Rc<Self> {
        Rc::new(Self {
            max,
            open: Cell::new(0),
            rejected: Cell::new(0),
        })
    }

    /// The connections of this moment.
    #[must_use]
    pub fn counts(&self) -> ConnectionCounts {
        ConnectionCounts {
            open: self.open.get(),
            max: self.max,
            rejected: self.rejected.get(),
        }
    }

    /// A slot for one more connection; none if the limit is reached, which is counted.
    fn try_acquire(self: &Rc<Self>) -> Option<ConnectionSlot> {
        if self.open.get() >= self.max {
            self.rejected.update(|count| count + 1);
            return None;
        }
        self.open.update(|open| open + 1);
        Some(ConnectionSlot(self.clone()))
    }
}

/// One admitted connection; its place is free again when this is dropped.
struct ConnectionSlot(Rc<ConnectionLimit>);

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.0.open.update(|open| open - 1);
    }
}

/// An HTTP/1.1 server of the protocol.
#[derive(Debug)]
pub struct Server<H> {
    name: String,
    limit: Rc<ConnectionLimit>,
    handler: Rc<H>,
}

impl<H: Handler> Server<H> {
    /// A server that answers by this handler; the name stands in its log lines.
    pub fn new(name: impl Into<String>, limit: Rc<ConnectionLimit>, handler: Rc<H>) -> Self {
        Self {
            name: name.into(),
            limit,
            handler,
        }
    }

    /// Serves until it is dropped, and its connections with it. A connection beyond the limit is closed at once, so that
    /// its member goes to another server. Has to run on a `LocalSet`.
    pub async fn serve(self, listener: TcpListener) {
        let Self {
            name,
            limit,
            handler,
        } = self;
        let faults = RateLimitedLog::default();
        let mut connections = JoinSet::new();
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                Some(_) = connections.join_next() => continue,
            };
            let stream = match accepted {
                Ok((stream, _)) => stream,
                Err(error) => {
                    faults.log(format_args!("{name}: no connection accepted: {error}"));
                    sleep(ACCEPT_PAUSE).await;
                    continue;
                }
            };
            let Some(slot) = limit.try_acquire() else {
                let max = limit.max;
                faults.log(format_args!(
                    "{name}: all {max} connections are taken, one more is turned away"
                ));
                continue;
            };
            let handler = handler.clone();
            connections.spawn_local(async move {
                serve_connection(stream, handler).await;
                drop(slot);
            });
        }
    }
}

async fn serve_connection<H: Handler>(stream: TcpStream, handler: Rc<H>) {
    // without it responses still come, only later
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let handler = handler.clone();
        async move { Ok::<_, Infallible>(respond(request, handler.as_ref()).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(IDLE_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service);
    // how a client leaves is its own affair
    let _ = connection.await;
}

async fn respond<H: Handler>(request: Request<Incoming>, handler: &H) -> Response<Full<Bytes>> {
    let call = request.headers().get(CALL_HEADER).cloned();
    let result = match check_headers(&request, handler.group()) {
        Ok(()) => handler.handle(request).await,
        Err(error) => Err(error),
    };
    let (status, body) = match result {
        Ok(body) => (StatusCode::OK, body),
        Err(error) => (
            error.status,
            serde_json::to_vec(&error.body).unwrap_or_default(),
        ),
    };
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(call) = call {
        headers.insert(CALL_HEADER, call);
    }
    if let Some(id) = handler.coordinator_id() {
        headers.insert(COORDINATOR_HEADER, HeaderValue::from(id));
    }
    response
}

/// The value of a request's header, if it is there and is text.
#[must_use]
pub fn header<'a>(request: &'a Request<Incoming>, name: &str) -> Option<&'a str> {
    let value = request.headers().get(name)?;
    value.to_str().ok()
}

fn check_headers(request: &Request<Incoming>, group: &str) -> Result<(), CallError> {
    if header(request, GROUP_HEADER) != Some(group) {
        let message = format!("this is group {group:?}: the call is for another one");
        return Err(CallError::rejected(StatusCode::CONFLICT, message));
    }
    if header(request, VERSION_HEADER) != Some(PROTOCOL_VERSION) {
        let message =
            format!("version {PROTOCOL_VERSION} of the wire is spoken here, the call's is another");
        return Err(CallError::rejected(StatusCode::CONFLICT, message));
    }
    Ok(())
}

/// Writes a response as JSON.
///
/// # Errors
/// With status 500 if it can't be written as JSON.
pub fn to_json(response: &impl Serialize) -> HandlerResult {
    serde_json::to_vec(response)
        .map_err(|error| CallError::rejected(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()))
}

/// Reads the JSON in a call's body, of so many bytes at most, within 10 s.
///
/// # Errors
/// With status 413 if it is longer, 408 if it is late, 400 if it breaks off or is no such JSON.
pub async fn read_json<T: DeserializeOwned>(
    request: Request<Incoming>,
    max_bytes: usize,
) -> Result<T, CallError> {
    let body = timeout(BODY_TIMEOUT, read_body(request.into_body(), max_bytes))
        .await
        .map_err(|_| {
            let message = "the call's body did not come";
            CallError::rejected(StatusCode::REQUEST_TIMEOUT, message)
        })??;
    serde_json::from_slice(&body)
        .map_err(|error| CallError::rejected(StatusCode::BAD_REQUEST, error.to_string()))
}

async fn read_body(mut body: Incoming, max_bytes: usize) -> Result<Vec<u8>, CallError> {
    let (mut bytes, mut dropped) = (Vec::new(), 0);
    while let Some(frame) = body.frame().await {
        let frame = frame
            .map_err(|error| CallError::rejected(StatusCode::BAD_REQUEST, error.to_string()))?;
        let data = frame.into_data().unwrap_or_default();
        if dropped > 0 || bytes.len() + data.len() > max_bytes {
            dropped += data.len();
        } else {
            bytes.extend_from_slice(&data);
        }
        if dropped > MAX_DROPPED_BODIES * max_bytes {
            break;
        }
    }
    if dropped > 0 {
        let message = format!("the call's body is longer than {max_bytes} bytes");
        return Err(CallError::rejected(StatusCode::PAYLOAD_TOO_LARGE, message));
    }
    Ok(bytes)
}
