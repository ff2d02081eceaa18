//! The HTTP/1.1 server for operators, one request for each connection.

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

/// Connections at once. Callers are few, and some never finish a request: each is served for [`REQUEST_TIMEOUT`] at
/// most.
const MAX_CONNECTIONS: usize = 12;
/// Descriptors that the server needs at most: its connections, one being accepted, the listener.
pub const MAX_DESCRIPTORS: usize = MAX_CONNECTIONS + 2;
/// Longest time of a request, from connecting to its response. Callers wait 1 s.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1500);
/// Longest wait for another connection to end: one does within [`REQUEST_TIMEOUT`] at the latest.
const CONNECTION_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest wait for the engine's status: then the one before is shown, which is as old as the last request for it.
const STATUS_TIMEOUT: Duration = Duration::from_millis(300);
/// Limit of a request's head.
const MAX_HEAD_BYTES: usize = 8 * 1024;

/// What the requests read and change.
pub struct AdminState {
    /// The metrics to show.
    pub metrics: Rc<Metrics>,
    /// The engine, which is asked for its status.
    pub inputs: mpsc::UnboundedSender<Input>,
    /// Turns clients away during a drain.
    pub gate: Rc<DrainGate>,
    /// True once endpoints are known.
    pub ready: watch::Receiver<bool>,
    /// The engine's status when it was last known.
    pub last_status: Cell<EngineStatus>,
}

/// Serves operators without end.
pub async fn serve(listener: TcpListener, state: Rc<AdminState>) {
    let faults = RateLimitedLog::default();
    let free = std::sync::Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                faults.log(format_args!("operators: no connection accepted: {error}"));
                sleep(Duration::from_millis(50)).await;
                continue;
            }
        };
        let Ok(Ok(permit)) = timeout(CONNECTION_TIMEOUT, free.clone().acquire_owned()).await else {
            faults.log(format_args!(
                "operators: all {MAX_CONNECTIONS} places hold calls that do not end"
            ));
            continue;
        };
        let state = state.clone();
        tokio::task::spawn_local(async move {
            // a caller that is not done by then has no response coming
            let _ = timeout(REQUEST_TIMEOUT, serve_one(stream, state)).await;
            drop(permit);
        });
    }
}

async fn serve_one(stream: TcpStream, state: Rc<AdminState>) {
    // without it responses still come, only later
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let state = state.clone();
        async move { Ok::<_, Infallible>(state.respond(&request).await) }
    });
    let connection = http1::Builder::new()
        .header_read_timeout(None) // `REQUEST_TIMEOUT` covers it
        .keep_alive(false)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    // how a caller leaves is its own affair
    let _ = connection.await;
}

impl AdminState {
    async fn respond(&self, request: &Request<Incoming>) -> Response<Full<Bytes>> {
        let get = match request.uri().path() {
            "/-/ready" | "/-/metrics" => true,
            "/-/drain" | "/-/resume" => false,
            _ => return text(StatusCode::NOT_FOUND, "no such path\n"),
        };
        let (wanted, name) = if get {
            (Method::GET, "GET")
        } else {
            (Method::POST, "POST")
        };
        if request.method() != wanted {
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
