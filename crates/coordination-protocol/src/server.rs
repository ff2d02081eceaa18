//! The HTTP server of coordinators, session proxies and shard maps. It limits the number of connections and the size of
//! bodies, checks the headers that every call needs, and sends errors as JSON.

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

/// A connection without a call for this time is closed. Members call several times within a lease, so only unused
/// connections reach the limit.
const IDLE_TIMEOUT: Duration = Duration::from_secs(300);
/// Time limit for receiving the body of a call.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Wait after a failure to accept a connection, for example because file descriptors have run out.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);
/// The bytes beyond a body's size limit are read and discarded, up to this multiple of the limit. Closing a connection
/// with unread bytes would reset it, and the client might not receive the error response.
const MAX_DISCARDED_MULTIPLE: usize = 16;

/// The JSON body of a successful response, or the error response.
pub type HandlerResult = Result<Vec<u8>, CallError>;

/// An error response with its status.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{status}: {}", .body.message)]
pub struct CallError {
    /// The HTTP status, a client or server error.
    pub status: StatusCode,
    /// The reason, sent as the JSON body.
    pub body: ErrorResponse,
}

impl CallError {
    /// Creates the error for a call that was rejected and not executed. It names no leader, so the caller is not
    /// referred to another coordinator.
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

/// Handles the calls whose headers a [`Server`] has checked.
pub trait Handler: 'static {
    /// The name of the group; calls for other groups are rejected before they reach [`Handler::handle`].
    fn group(&self) -> &str;

    /// The number of this coordinator, which each response carries; `None` for a session proxy or a shard map.
    fn coordinator_id(&self) -> Option<u64>;

    /// Handles a call of this group and of this version of the protocol.
    fn handle(&self, request: Request<Incoming>) -> impl Future<Output = HandlerResult>;
}

/// Limits the number of open connections of a server, and counts open and rejected ones.
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
    /// The limit on open connections.
    pub max: usize,
    /// Connections since the start that were closed on arrival because `max` connections were open.
    pub rejected: u64,
}

impl ConnectionLimit {
    /// Creates a limit of `max` open connections.
    #[must_use]
    pub fn new(max: usize) -> Rc<Self> {
        Rc::new(Self {
            max,
            open: Cell::new(0),
            rejected: Cell::new(0),
        })
    }

    /// The current counts.
    #[must_use]
    pub fn counts(&self) -> ConnectionCounts {
        ConnectionCounts {
            open: self.open.get(),
            max: self.max,
            rejected: self.rejected.get(),
        }
    }

    /// Takes a slot for one more connection. If the limit is reached, counts a rejected connection and returns `None`.
    fn try_acquire(self: &Rc<Self>) -> Option<ConnectionSlot> {
        if self.open.get() >= self.max {
            self.rejected.update(|count| count + 1);
            return None;
        }
        self.open.update(|open| open + 1);
        Some(ConnectionSlot(self.clone()))
    }
}

/// The slot of one open connection, which is released on drop.
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
    /// Creates a server for this handler; `name` is the prefix of each log line.
    pub fn new(name: impl Into<String>, limit: Rc<ConnectionLimit>, handler: Rc<H>) -> Self {
        Self {
            name: name.into(),
            limit,
            handler,
        }
    }

    /// Serves connections until the future is dropped, which closes them. A connection beyond the limit is closed on
    /// arrival, so that the client can try another server. Has to run on a `LocalSet`.
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
                    faults.log(format_args!(
                        "{name}: accepting a connection failed: {error}"
                    ));
                    sleep(ACCEPT_BACKOFF).await;
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
    // best effort: without TCP_NODELAY, responses are only slower
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let handler = handler.clone();
        async move { Ok::<_, Infallible>(respond(request, handler.as_ref()).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(IDLE_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service);
    // errors are ignored: a client may close its connection in any way
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

/// The value of a request's header; `None` if the header is missing or its value is not visible ASCII.
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

/// Serializes a response as JSON.
///
/// # Errors
/// With status 500 if the response can't be serialized.
pub fn to_json(response: &impl Serialize) -> HandlerResult {
    serde_json::to_vec(response)
        .map_err(|error| CallError::rejected(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()))
}

/// Reads and parses the JSON body of a call, of at most `max_bytes` bytes, within 10 s.
///
/// # Errors
/// With status 413 if the body is too long, 408 if it does not arrive within 10 s, and 400 if it is incomplete or not
/// the expected JSON.
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
    let (mut bytes, mut discarded) = (Vec::new(), 0);
    while let Some(frame) = body.frame().await {
        let frame = frame
            .map_err(|error| CallError::rejected(StatusCode::BAD_REQUEST, error.to_string()))?;
        let data = frame.into_data().unwrap_or_default();
        if discarded > 0 || bytes.len() + data.len() > max_bytes {
            discarded += data.len();
        } else {
            bytes.extend_from_slice(&data);
        }
        if discarded > MAX_DISCARDED_MULTIPLE * max_bytes {
            break;
        }
    }
    if discarded > 0 {
        let message = format!("the call's body is longer than {max_bytes} bytes");
        return Err(CallError::rejected(StatusCode::PAYLOAD_TOO_LARGE, message));
    }
    Ok(bytes)
}
