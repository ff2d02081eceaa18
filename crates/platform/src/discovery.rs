//! The discovery client: watches the endpoint list over HTTP.

use crate::discovery_backoff::{DiscoveryBackoff, Failure, WATCH_INACTIVITY_TIMEOUT};
use crate::watch_stream::{WatchEvent, WatchStream};
use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1;
use hyper::header::HOST;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use milletturn_engine::Input;
use std::cell::Cell;
use std::error::Error;
use std::future::pending;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

#[derive(Debug, Error)]
enum WatchError {
    #[error("silent for {WATCH_INACTIVITY_TIMEOUT:?}")]
    Unresponsive,
    #[error("discovery responded with status {0}")]
    Status(StatusCode),
    #[error("discovery ended the stream")]
    Ended,
    #[error("part of the stream could not be parsed; requesting the full list")]
    Incomplete,
    #[error(transparent)]
    Connect(#[from] RequestError),
    #[error(transparent)]
    Http(#[from] hyper::Error),
}

impl WatchError {
    fn failure(&self) -> Failure {
        match self {
            WatchError::Status(_) => Failure::Rejected,
            _ => Failure::Unreachable,
        }
    }
}

/// Watches the endpoint list and sends each update to `inputs`; returns when `inputs` or `addresses` is closed.
///
/// `addresses` holds discovery's current address. When it changes, the running watch is dropped at once and the full
/// list is requested from the new address, because versions of one discovery process mean nothing to another.
/// `version` is the version of the list that is already known, or 0 to request the full list. `backoff` sets the delay
/// before each retry.
pub async fn watch_endpoints(
    network: impl Network,
    mut addresses: watch::Receiver<SocketAddr>,
    version: u64,
    mut backoff: DiscoveryBackoff,
    inputs: mpsc::UnboundedSender<Input>,
) {
    let mut last_logged = String::new();
    let mut progress = Progress {
        version,
        ..Progress::default()
    };
    let mut delay = Duration::ZERO;
    loop {
        progress.has_received_update = false;
        let address = *addresses.borrow_and_update();
        let request = WatchRequest {
            network: network.clone(),
            address,
            delay,
            max_queue_wait: backoff.max_queue_wait(),
        };
        let failed = async { watch_once(request, &mut progress, &inputs).await.err() };
        let error = tokio::select! {
            changed = addresses.changed() => {
                if changed.is_err() {
                    return;
                }
                (progress, last_logged, delay) = (Progress::default(), String::new(), Duration::ZERO);
                backoff.reset();
                continue;
            }
            failed = failed => match failed {
                Some(error) => error,
                None => return,
            },
        };
        progress.is_refetch = matches!(error, WatchError::Incomplete);
        if progress.has_received_update {
            backoff.reset();
        }
        delay = backoff.next_delay(error.failure());
        let error = error.to_string();
        if error != last_logged {
            milletturn_logging::log(format_args!("discovery: watch lost: {error}"));
            last_logged = error;
        }
        if progress.has_received_update {
            last_logged = String::new();
        }
    }
}

/// State that is kept from one watch request to the next.
#[derive(Default)]
struct Progress {
    /// The next watch requests the changes since this version; 0 requests the full list.
    version: u64,
    /// Whether the current watch has received a list update.
    has_received_update: bool,
    /// Whether the current watch was opened because part of the previous one could not be parsed. A further parse
    /// error does not end such a watch, so that a permanently malformed entry causes only one refetch.
    is_refetch: bool,
    /// An earlier request whose connection discovery has accepted, without a response so far: its position in a long
    /// queue may be far ahead of a newer request's.
    queued: Option<QueuedRequest>,
}

/// An earlier request whose response is awaited beside the newest one. Waiting for both means that a request that
/// discovery never answers does not block further requests, and that one that is only queued does not lose its
/// position.
struct QueuedRequest {
    since: Instant,
    response: Pin<Box<dyn Future<Output = Result<Response<Incoming>, RequestError>>>>,
}

/// How the next watch is opened.
struct WatchRequest<N> {
    network: N,
    address: SocketAddr,
    /// Time to wait before the request is sent.
    delay: Duration,
    /// How long an unanswered request is kept waiting.
    max_queue_wait: Duration,
}

impl<N: Network> WatchRequest<N> {
    /// Sends the request and returns the first response, either to this request or to the queued earlier one.
    async fn open(self, progress: &mut Progress) -> Result<Response<Incoming>, WatchError> {
        let WatchRequest {
            network,
            address,
            delay,
            max_queue_wait,
        } = self;
        let path = format!("/v1/endpoints?watch=1&from={}", progress.version);
        let request = Request::get(path)
            .header(HOST, address.to_string())
            .body(Empty::<Bytes>::new());
        let request = request.map_err(RequestError::from)?;
        let (connected, since) = (Rc::new(Cell::new(false)), Instant::now() + delay);
        let connected_flag = connected.clone();
        let mut newest: Pin<Box<dyn Future<Output = _>>> = Box::pin(async move {
            sleep(delay).await;
            send_request(&network, address, request, &connected_flag).await
        });
        let response = loop {
            let earlier = async {
                match &mut progress.queued {
                    Some(queued) => queued.response.as_mut().await,
                    None => pending().await,
                }
            };
            tokio::select! {
                biased;
                earlier = earlier => {
                    progress.queued = None;
                    if let Ok(response) = earlier && response.status() == StatusCode::OK {
                        break response;
                    }
                }
                response = &mut newest => break response?,
                () = sleep_until(since + WATCH_INACTIVITY_TIMEOUT) => {
                    // Keep the request that has waited longest, because it is furthest ahead in discovery's queue.
                    let retains_queued_request =
                        progress.queued.as_ref().is_some_and(|queued| queued.since.elapsed() < max_queue_wait);
                    if connected.get() && !retains_queued_request {
                        progress.queued = Some(QueuedRequest { since, response: newest });
                    }
                    return Err(RequestError::TimedOut.into());
                }
            }
        };
        if response.status() != StatusCode::OK {
            return Err(WatchError::Status(response.status()));
        }
        progress.queued = None;
        Ok(response)
    }
}

/// Runs one watch until it fails. Returns `Ok` only when the receiver of the updates is closed.
async fn watch_once(
    request: WatchRequest<impl Network>,
    progress: &mut Progress,
    inputs: &mpsc::UnboundedSender<Input>,
) -> Result<(), WatchError> {
    let response = request.open(progress).await?;
    let mut body = response.into_body();
    let (mut stream, mut last_event_at, mut is_incomplete) =
        (WatchStream::default(), Instant::now(), false);
    loop {
        // Only complete events extend the time limit: single bytes that keep coming do not show that discovery works.
        let frame = timeout_at(last_event_at + WATCH_INACTIVITY_TIMEOUT, body.frame())
            .await
            .map_err(|_| WatchError::Unresponsive)?;
        let frame = frame.ok_or(WatchError::Ended)??;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        for event in stream.push(&data) {
            match event {
                WatchEvent::KeepAlive => last_event_at = Instant::now(),
                WatchEvent::Update(update, malformed) => {
                    (last_event_at, progress.has_received_update) = (Instant::now(), true);
                    is_incomplete |= malformed > 0;
                    progress.version = if is_incomplete { 0 } else { update.version };
                    if inputs.send(Input::EndpointsListed(update)).is_err() {
                        return Ok(());
                    }
                }
                WatchEvent::Malformed(text) => {
                    is_incomplete = true;
                    milletturn_logging::log(format_args!("discovery: line skipped: {text}"));
                }
            }
        }
        if is_incomplete {
            // Resuming from a later version would lose the changes that could not be parsed.
            progress.version = 0;
            if !progress.is_refetch {
                return Err(WatchError::Incomplete);
            }
        }
    }
}

/// Opens connections to discovery. Tests replace the sockets with an implementation of their own.
pub trait Network: Clone + 'static {
    /// The byte stream of one connection.
    type Stream: AsyncRead + AsyncWrite + Unpin + 'static;

    /// Connects to an address, without a time limit: callers set one.
    fn connect(&self, address: SocketAddr) -> impl Future<Output = io::Result<Self::Stream>>;
}

/// Connects over TCP.
#[derive(Debug, Clone, Copy)]
pub struct Tcp;

impl Network for Tcp {
    type Stream = TcpStream;

    async fn connect(&self, address: SocketAddr) -> io::Result<TcpStream> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        Ok(stream)
    }
}

#[derive(Debug, Error)]
pub(crate) enum RequestError {
    #[error("no connection: {0}")]
    Io(#[from] io::Error),
    #[error("{0}")]
    Http(#[from] hyper::Error),
    #[error("invalid request: {0}")]
    Request(#[from] hyper::http::Error),
    #[error("no answer in time")]
    TimedOut,
}

/// Sends one request on a new connection. Connections are not reused: discovery listens on the same machine, so a
/// connection is cheap, and an idle one may have become unresponsive unnoticed.
///
/// Sets `connected` once the connection is established. There is no time limit; dropping the future closes the
/// connection.
pub(crate) async fn send_request<B>(
    network: &impl Network,
    address: SocketAddr,
    request: Request<B>,
    connected: &Cell<bool>,
) -> Result<Response<Incoming>, RequestError>
where
    B: Body<Data = Bytes> + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let stream = network.connect(address).await?;
    connected.set(true);
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    tokio::task::spawn_local(connection);
    Ok(sender.send_request(request).await?)
}
