//! The clients' side: reads messages that are handed in, and answers as the driver decides.

use super::Seldom;
use super::calls::BODY_MOST;
use super::driver::{Answer, Arrival, Input};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{ALLOW, CONNECTION, HeaderMap, HeaderValue, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use milletturn::{Class, Effect, MILLISECOND, Micros};
use std::cell::Cell;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc, oneshot, watch};
use tokio::time::{Instant, sleep, timeout};

/// Longest time for the head of a request, also on a connection that stands idle.
const HEAD_TIME: Duration = Duration::from_secs(60);
/// Longest time for a body: the client gives up long before.
const BODY_TIME: Duration = Duration::from_secs(5);
/// Longest id or key.
const WORD_MOST: usize = 256;
/// A longer time to deliver is cut to this.
const TIME_MOST: u64 = 7 * 86_400_000_000;

/// What the connections share.
pub struct Server {
    pub classes: Vec<Class>,
    pub inputs: mpsc::UnboundedSender<Input>,
    pub ready: watch::Receiver<bool>,
    /// Set once the process is to end: each answer then closes its connection.
    pub draining: Rc<Cell<bool>>,
    /// Connections that may be open at once.
    pub most: usize,
    /// Turns true when idle connections are to be closed too.
    pub closing: watch::Receiver<bool>,
}

/// Why a request is not taken on, as HTTP tells it.
type Refusal = (StatusCode, &'static str);

const fn bad(what: &'static str) -> Refusal {
    (StatusCode::BAD_REQUEST, what)
}

/// Accepts clients for ever.
pub async fn serve(listener: TcpListener, server: Rc<Server>) {
    let faults = Seldom::default();
    let places = std::sync::Arc::new(Semaphore::new(server.most));
    loop {
        // clients beyond the limit wait in the kernel's queue, so that calls never lack descriptors
        let Ok(place) = places.clone().acquire_owned().await else { return };
        match listener.accept().await {
            Ok((stream, _)) => {
                let server = server.clone();
                tokio::task::spawn_local(async move {
                    serve_one(stream, server).await;
                    drop(place);
                });
            }
            Err(error) => {
                faults.log(format_args!("clients: no connection accepted: {error}"));
                sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

async fn serve_one(stream: TcpStream, server: Rc<Server>) {
    // without it answers still come, only later
    let _ = stream.set_nodelay(true);
    let mut closing = server.closing.clone();
    let service = service_fn(move |request| answer(request, server.clone()));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIME)
        .max_buf_size(32 * 1024)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    tokio::select! {
        // how a client leaves is its own affair; a message it left behind is withdrawn by its guard
        _ = &mut connection => {}
        _ = closing.wait_for(|closing| *closing) => {
            connection.as_mut().graceful_shutdown();
            let _ = connection.await;
        }
    }
}

async fn answer(request: Request<Incoming>, server: Rc<Server>) -> Result<Response<Full<Bytes>>, Infallible> {
    let close = server.draining.clone();
    let mut response = match handle(request, &server).await {
        Ok(response) => response,
        Err((status, what)) => {
            let mut response = Response::new(Full::from(format!("{what}\n")));
            *response.status_mut() = status;
            if status == StatusCode::METHOD_NOT_ALLOWED {
                let allowed = if what == ONLY_GET { "GET" } else { "POST" };
                response.headers_mut().insert(ALLOW, HeaderValue::from_static(allowed));
            }
            if status == StatusCode::PAYLOAD_TOO_LARGE || status == StatusCode::REQUEST_TIMEOUT {
                // the rest of the body is not read
                response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            response
        }
    };
    if close.get() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response)
}

const ONLY_GET: &str = "only GET";

async fn handle(request: Request<Incoming>, server: &Server) -> Result<Response<Full<Bytes>>, Refusal> {
    let began = Instant::now();
    let path = request.uri().path();
    if path == "/ready" {
        if request.method() != Method::GET {
            return Err((StatusCode::METHOD_NOT_ALLOWED, ONLY_GET));
        }
        let ready = *server.ready.borrow() && !server.draining.get();
        return if ready {
            Ok(Response::default())
        } else {
            Err((StatusCode::SERVICE_UNAVAILABLE, "not ready"))
        };
    }
    let first = path.trim_start_matches('/').split('/').next().unwrap_or("");
    let headers = request.headers();
    let named = single(headers, "x-priority-class", "X-Priority-Class")?;
    let class = server.classes.iter().position(|class| class.name == first);
    let Some(class) = class else {
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
    let id = word(single(headers, "x-request-id", "X-Request-ID")?)?.ok_or(bad("X-Request-ID is missing"))?;
    let key = word(single(headers, "idempotency-key", "Idempotency-Key")?)?;
    if key.is_none() && matches!(server.classes[class].effect, Effect::Keyed { .. }) {
        return Err(bad("Idempotency-Key is missing"));
    }
    let time = single(headers, "x-timeout", "X-Timeout")?.ok_or(bad("X-Timeout is missing"))?;
    let time = time.to_str().ok().and_then(read_time).ok_or(bad("X-Timeout can't be read"))?;
    let envelope = single(headers, "envelope", "Envelope")?.ok_or(bad("Envelope is missing"))?;
    let destination = envelope.to_str().ok().and_then(read_destination).ok_or(bad("dest can't be read"))?;
    let retried = single(headers, "x-retried", "X-Retried")?;
    let (again, orphan) = (retried.is_some(), retried.is_some_and(|value| value == "again"));
    let (id, key) = (id.clone(), key.cloned());
    if request.body().size_hint().lower() > BODY_MOST as u64 {
        return Err((StatusCode::PAYLOAD_TOO_LARGE, "the body is over 64 KiB"));
    }
    let body = match timeout(BODY_TIME, Limited::new(request.into_body(), BODY_MOST).collect()).await {
        Err(_) => return Err((StatusCode::REQUEST_TIMEOUT, "the body did not come in time")),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            return Err((StatusCode::PAYLOAD_TOO_LARGE, "the body is over 64 KiB"));
        }
        Ok(Err(_)) => return Err(bad("the body is malformed")),
        Ok(Ok(body)) => body.to_bytes(),
    };
    if !*server.ready.borrow() {
        return Err((StatusCode::SERVICE_UNAVAILABLE, "not ready"));
    }
    let (reply, answer) = oneshot::channel();
    let mut guard = Guard { left: Some(id.clone()), inputs: &server.inputs };
    let arrival = Arrival { id, key, class, destination, time, began, again, orphan, body, reply };
    if server.inputs.send(Input::Arrived(arrival)).is_err() {
        return Err((StatusCode::SERVICE_UNAVAILABLE, "ending"));
    }
    let answer = answer.await;
    guard.left = None;
    let mut response = Response::default();
    match answer {
        Ok(Answer::Taken) => *response.status_mut() = StatusCode::ACCEPTED,
        Ok(Answer::Delivered) => {}
        Ok(Answer::Refused { wait }) => {
            *response.status_mut() = StatusCode::TOO_MANY_REQUESTS;
            if let Some(wait) = wait {
                let text = format!("{:.3}", wait as f64 / 1e6);
                if let Ok(value) = HeaderValue::from_str(&text) {
                    response.headers_mut().insert(RETRY_AFTER, value);
                }
            }
        }
        Ok(Answer::NoRoom) | Err(_) => *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE,
        Ok(Answer::Failed) => *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR,
    }
    Ok(response)
}

/// A client that goes before its answer hands its message in anew elsewhere: hyper drops the request then.
struct Guard<'a> {
    left: Option<HeaderValue>,
    inputs: &'a mpsc::UnboundedSender<Input>,
}

impl Drop for Guard<'_> {
    fn drop(&mut self) {
        if let Some(id) = self.left.take() {
            // nobody listens any more only when the process ends
            let _ = self.inputs.send(Input::ClientLeft(id));
        }
    }
}

/// The header's only value; a doubled one is refused, since nobody can tell which was meant.
fn single<'a>(
    headers: &'a HeaderMap, name: &str, shown: &'static str,
) -> Result<Option<&'a HeaderValue>, Refusal> {
    let mut values = headers.get_all(name).iter();
    let value = values.next();
    if values.next().is_some() { Err(bad(shown)) } else { Ok(value) }
}

/// An id or key goes into the lines of bulk calls, so it is visible text without spaces.
fn word(value: Option<&HeaderValue>) -> Result<Option<&HeaderValue>, Refusal> {
    let Some(value) = value else { return Ok(None) };
    let visible = value.as_bytes().iter().all(u8::is_ascii_graphic);
    if visible && (1..=WORD_MOST).contains(&value.len()) {
        Ok(Some(value))
    } else {
        Err(bad("an id or key can't be read"))
    }
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
    let mut values = text.split([';', ',']).filter_map(|part| part.trim().strip_prefix("dest="));
    let value = values.next()?;
    if values.next().is_some() || !value.bytes().all(|byte| byte.is_ascii_digit()) {
        return None;
    }
    value.parse().ok()
}
