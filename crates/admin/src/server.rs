//! The admin HTTP/1.1 server for operators. Each connection serves one request.

use crate::metrics::Metrics;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{ALLOW, CONTENT_TYPE, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use milletturn_engine::{EngineStatus, Input};
use milletturn_logging::RateLimitedLog;
use milletturn_platform::DrainGate;
use std::cell::Cell;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc, oneshot, watch};
use tokio::time::{sleep, timeout};

/// Maximum number of connections served at the same time. There are few clients, but some never finish a request; such
/// a connection is closed after [`REQUEST_TIMEOUT`].
const MAX_CONNECTIONS: usize = 12;
/// Maximum number of file descriptors that the server uses: its connections, one more that is being accepted, and the
/// listener.
pub const MAX_DESCRIPTORS: usize = MAX_CONNECTIONS + 2;
/// Maximum time from accepting a connection to the end of its response. Clients wait 1 s for a response.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1500);
/// Maximum wait of a new connection for a free connection slot. A slot becomes free within [`REQUEST_TIMEOUT`].
const SLOT_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum wait for the engine's status. After this time the status of the last successful request is used.
const STATUS_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum size of a request head in bytes.
const MAX_HEAD_BYTES: usize = 8 * 1024;

/// The state that admin requests read and change.
pub struct AdminState {
    /// The metrics that are returned.
    pub metrics: Rc<Metrics>,
    /// The inputs of the engine, used to request its status.
    pub inputs: mpsc::UnboundedSender<Input>,
    /// Records whether the sender is drained; drain and resume requests change this.
    pub gate: Rc<DrainGate>,
    /// True once the sender knows its endpoints.
    pub ready: watch::Receiver<bool>,
    /// The last status received from the engine; used when the engine does not reply in time.
    pub last_status: Cell<EngineStatus>,
}

/// Accepts and serves connections of operators; never returns.
pub async fn serve(listener: TcpListener, state: Rc<AdminState>) {
    let fault_log = RateLimitedLog::default();
    let free_slots = std::sync::Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                fault_log.log(format_args!(
                    "admin listener: accepting a connection failed: {error}"
                ));
                sleep(Duration::from_millis(50)).await;
                continue;
            }
        };
        let Ok(Ok(permit)) = timeout(SLOT_TIMEOUT, free_slots.clone().acquire_owned()).await else {
            fault_log.log(format_args!(
                "admin listener: connection rejected, all {MAX_CONNECTIONS} connection slots are in use"
            ));
            continue;
        };
        let state = state.clone();
        tokio::task::spawn_local(async move {
            // after the timeout the connection is closed, with or without a response
            let _ = timeout(REQUEST_TIMEOUT, serve_request(stream, state)).await;
            drop(permit);
        });
    }
}

async fn serve_request(stream: TcpStream, state: Rc<AdminState>) {
    // an error is ignored: without TCP_NODELAY responses are only delayed
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let state = state.clone();
        async move { Ok::<_, Infallible>(state.respond(&request).await) }
    });
    let connection = http1::Builder::new()
        .header_read_timeout(None) // the head is included in `REQUEST_TIMEOUT`
        .keep_alive(false)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    // an error, such as a client that disconnects early, needs no handling
    let _ = connection.await;
}

impl AdminState {
    async fn respond(&self, request: &Request<Incoming>) -> Response<Full<Bytes>> {
        let is_get = match request.uri().path() {
            "/-/ready" | "/-/metrics" => true,
            "/-/drain" | "/-/resume" => false,
            _ => return text(StatusCode::NOT_FOUND, "no such path\n"),
        };
        let (allowed_method, name) = if is_get {
            (Method::GET, "GET")
        } else {
            (Method::POST, "POST")
        };
        if request.method() != allowed_method {
            let mut response = text(StatusCode::METHOD_NOT_ALLOWED, "another method\n");
            response
                .headers_mut()
                .insert(ALLOW, HeaderValue::from_static(name));
            return response;
        }
        match request.uri().path() {
            "/-/ready" if *self.ready.borrow() && self.gate.is_ready() => {
                text(StatusCode::OK, "ready\n")
            }
            "/-/ready" => text(StatusCode::SERVICE_UNAVAILABLE, "takes no clients now\n"),
            "/-/metrics" => text(StatusCode::OK, self.metrics.render(self.status().await)),
            "/-/drain" => match self.gate.drain() {
                true => text(StatusCode::OK, "draining\n"),
                false => text(StatusCode::CONFLICT, "the process is ending\n"),
            },
            _ => match self.gate.resume() {
                true => text(StatusCode::OK, "open\n"),
                false => text(StatusCode::CONFLICT, "the process is ending\n"),
            },
        }
    }

    async fn status(&self) -> EngineStatus {
        let (reply, status) = oneshot::channel();
        if self.inputs.send(Input::GetStatus(reply)).is_ok()
            && let Ok(Ok(status)) = timeout(STATUS_TIMEOUT, status).await
        {
            self.last_status.set(status);
        }
        self.last_status.get()
    }
}

fn text(status: StatusCode, body: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    response.headers_mut().insert(
        CONTENT_TYPE,
        HeaderValue::from_static("text/plain; charset=utf-8"),
    );
    response
}
