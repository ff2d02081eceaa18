//! Serves outcomes to the application over HTTP/1.1: `GET /v1/outcomes?from=CURSOR` is a stream of JSON lines that
//! stays open, and `GET /v1/messages/ID` returns the state of one message.

use crate::shared_outcome_log::SharedOutcomeLog;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};
use hyper::body::{Body, Frame, Incoming};
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use milletturn_engine::{Input, SharedStr};
use milletturn_logging::log;
use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc, oneshot};
use tokio::time::{sleep, timeout};

/// Maximum number of concurrent connections; each takes a file descriptor, and memory for one page of outcomes.
const MAX_CONNECTIONS: usize = 8;
/// An idle stream is sent an empty line at this interval, so that each side notices when the other has
/// disconnected.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
/// A reader that accepts no data for this long is disconnected.
const SEND_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum number of outcomes in one chunk of a stream.
const OUTCOMES_PER_PAGE: usize = 100;
/// Delay before the next accept after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Time limit for a request's head.
const HEADER_READ_TIMEOUT: Duration = Duration::from_secs(5);
/// Size of a connection's read buffer, which also limits the head of a request.
const MAX_HEAD_BYTES: usize = 16 * 1024;

type HttpResponse = Response<UnsyncBoxBody<Bytes, Infallible>>;

impl SharedOutcomeLog {
    /// Accepts connections of the log's readers and serves them; runs until the task is cancelled.
    pub async fn serve(self, listener: TcpListener) {
        let connection_slots = Arc::new(Semaphore::new(MAX_CONNECTIONS));
        loop {
            let Ok(slot) = connection_slots.clone().acquire_owned().await else {
                return;
            };
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(error) => {
                    log(format_args!(
                        "outcomes: could not accept a reader's connection: {error}"
                    ));
                    sleep(ACCEPT_RETRY_DELAY).await;
                    continue;
                }
            };
            let shared = self.clone();
            tokio::task::spawn_local(async move {
                shared.serve_connection(stream).await;
                drop(slot);
            });
        }
    }

    async fn serve_connection(self, stream: TcpStream) {
        let service = service_fn(move |request| {
            let shared = self.clone();
            async move { Ok::<_, Infallible>(shared.respond(request).await) }
        });
        // a broken connection needs no handling: the reader reconnects and passes its cursor
        let _ = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEADER_READ_TIMEOUT)
            .max_buf_size(MAX_HEAD_BYTES)
            .serve_connection(TokioIo::new(stream), service)
            .await;
    }

    async fn respond(&self, request: Request<Incoming>) -> HttpResponse {
        if request.method() != Method::GET {
            return text_response(StatusCode::METHOD_NOT_ALLOWED, "only GET\n".into());
        }
        let path = request.uri().path().to_string();
        match path.as_str() {
            "/v1/outcomes" => match parse_cursor(request.uri().query().unwrap_or("")) {
                Some(cursor) => self.stream_response(cursor),
                None => text_response(
                    StatusCode::BAD_REQUEST,
                    "from is a cursor, a whole number\n".into(),
                ),
            },
            _ => match path.strip_prefix("/v1/messages/") {
                Some(id) => self.message_response(id).await,
                None => text_response(StatusCode::NOT_FOUND, "no such path\n".into()),
            },
        }
    }

    /// Acknowledges all outcomes up to the cursor, then streams those after it.
    fn stream_response(&self, cursor: u64) -> HttpResponse {
        if cursor > self.borrow().last_cursor() {
            let reason = "that cursor was never given; the state folder may be another one\n";
            return text_response(StatusCode::CONFLICT, reason.into());
        }
        if let Err(error) = self.borrow_mut().acknowledge(cursor) {
            return text_response(StatusCode::SERVICE_UNAVAILABLE, format!("{error}\n"));
        }
        // at most one chunk is in flight; later outcomes stay in the log
        let (sender, receiver) = mpsc::channel(1);
        tokio::task::spawn_local(self.clone().send_outcomes(cursor, sender));
        let mut response = Response::new(ChunkedBody(receiver).boxed_unsync());
        response.headers_mut().insert(
            CONTENT_TYPE,
            HeaderValue::from_static("application/x-ndjson"),
        );
        response
    }

    /// Sends the outcomes after a cursor, then further ones as they are recorded, until the reader disconnects.
    async fn send_outcomes(self, mut cursor: u64, sender: mpsc::Sender<Bytes>) {
        let mut changes = self.changes();
        loop {
            changes.borrow_and_update();
            let page = self.after(cursor, OUTCOMES_PER_PAGE);
            let mut text = String::new();
            for outcome in &page {
                cursor = outcome.cursor;
                text.push_str(&outcome.to_json_line());
            }
            if page.is_empty() {
                match timeout(HEARTBEAT_INTERVAL, changes.changed()).await {
                    Ok(Ok(())) => continue,
                    Ok(Err(_)) => return,
                    Err(_) => text.push('\n'),
                }
            }
            if !matches!(
                timeout(SEND_TIMEOUT, sender.send(text.into())).await,
                Ok(Ok(()))
            ) {
                return;
            }
        }
    }

    /// Responds with the state of one message: its pending outcome, or `open` while the engine is still delivering it.
    async fn message_response(&self, id: &str) -> HttpResponse {
        let Ok(message_id) = SharedStr::new(id.as_bytes()) else {
            return text_response(
                StatusCode::BAD_REQUEST,
                "an id holds visible characters only\n".into(),
            );
        };
        if let Some(outcome) = self.borrow().find_by_id(id) {
            return json_response(outcome.to_json_line());
        }
        let (reply, is_open) = oneshot::channel();
        let is_sent = self.inputs().send(Input::IsOpen(message_id, reply)).is_ok();
        if is_sent && is_open.await == Ok(true) {
            return json_response(format!(
                "{}\n",
                serde_json::json!({ "id": id, "state": "open" })
            ));
        }
        text_response(
            StatusCode::NOT_FOUND,
            "not known, or its final answer has been acknowledged\n".into(),
        )
    }
}

/// The cursor in a query: 0 without `from`, `None` if the value isn't a number or `from` is given twice.
fn parse_cursor(query: &str) -> Option<u64> {
    let mut values = query
        .split('&')
        .filter_map(|pair| pair.strip_prefix("from="));
    match (values.next(), values.next()) {
        (None, _) => Some(0),
        (Some(text), None) => text.parse().ok(),
        _ => None,
    }
}

fn text_response(status: StatusCode, text: String) -> HttpResponse {
    let mut response = Response::new(Full::from(text).boxed_unsync());
    *response.status_mut() = status;
    response
}

fn json_response(text: String) -> HttpResponse {
    let mut response = Response::new(Full::from(text).boxed_unsync());
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// A response body of chunks from a channel; it ends when the channel closes.
struct ChunkedBody(mpsc::Receiver<Bytes>);

impl Body for ChunkedBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        self.0
            .poll_recv(context)
            .map(|chunk| chunk.map(|bytes| Ok(Frame::data(bytes))))
    }
}
