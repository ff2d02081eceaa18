//! The platform's agent: the watch of the endpoint list.

use crate::discovery_backoff::{DiscoveryBackoff, Failure, SILENCE};
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
    #[error("silent for {SILENCE:?}")]
    Silent,
    #[error("answered {0}")]
    Status(StatusCode),
    #[error("the stream ended")]
    Ended,
    #[error("something could not be read: the whole list is asked for")]
    Lost,
    #[error(transparent)]
    Connect(#[from] CallError),
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

/// Watches the list for ever and hands each change on. A new address of the agent counts at once, and its first
/// list is asked for whole: the versions of another agent say nothing.
///
/// `asking` sets the rests between tries.
pub async fn watch_endpoints(
    network: impl Network,
    mut agents: watch::Receiver<SocketAddr>,
    version: u64,
    mut asking: DiscoveryBackoff,
    inputs: mpsc::UnboundedSender<Input>,
) {
    let mut told = String::new();
    let mut progress = Progress {
        version,
        ..Progress::default()
    };
    let mut rest = Duration::ZERO;
    loop {
        progress.took = false;
        let agent = *agents.borrow_and_update();
        let opening = Opening {
            network: network.clone(),
            agent,
            rest,
            patience: asking.max_queue_wait(),
        };
        let failed = async { watch_once(opening, &mut progress, &inputs).await.err() };
        let error = tokio::select! {
            moved = agents.changed() => {
                if moved.is_err() {
                    return;
                }
                (progress, told, rest) = (Progress::default(), String::new(), Duration::ZERO);
                asking.reset();
                continue;
            }
            failed = failed => match failed {
                Some(error) => error,
                None => return,
            },
        };
        progress.repairs = matches!(error, WatchError::Lost);
        if progress.took {
            asking.reset();
        }
        rest = asking.next_delay(error.failure());
        let error = error.to_string();
        if error != told {
            milletturn_logging::log(format_args!("discovery: watch lost: {error}"));
            told = error;
        }
        if progress.took {
            told = String::new();
        }
    }
}

/// What a watch begins with and leaves behind.
#[derive(Default)]
struct Progress {
    /// The next watch asks for what has changed since then; 0 for the whole list.
    version: u64,
    /// Something has come.
    took: bool,
    /// The watch was opened because one before it brought what can't be read: once more of that ends it no more.
    repairs: bool,
    /// A call before this one that was taken and not answered: it may stand far ahead in a long queue.
    waiting: Option<Waiting>,
}

/// A call whose answer is waited for beside a newer one: one that discovery will never answer keeps nobody from
/// asking again, and one that queues is not lost by that.
struct Waiting {
    since: Instant,
    answer: Pin<Box<dyn Future<Output = Result<Response<Incoming>, CallError>>>>,
}

/// How the next watch is opened.
struct Opening<N> {
    network: N,
    agent: SocketAddr,
    /// First of all, nothing is asked for so long.
    rest: Duration,
    /// So long is a call worth waiting for.
    patience: Duration,
}

impl<N: Network> Opening<N> {
    /// The answer to a new call, or to one before it.
    async fn open(self, progress: &mut Progress) -> Result<Response<Incoming>, WatchError> {
        let Opening {
            network,
            agent,
            rest,
            patience,
        } = self;
        let path = format!("/v1/endpoints?watch=1&from={}", progress.version);
        let request = Request::get(path)
            .header(HOST, agent.to_string())
            .body(Empty::<Bytes>::new());
        let request = request.map_err(CallError::from)?;
        let (accepted, since) = (Rc::new(Cell::new(false)), Instant::now() + rest);
        let seen = accepted.clone();
        let mut answer: Pin<Box<dyn Future<Output = _>>> = Box::pin(async move {
            sleep(rest).await;
            call(&network, agent, request, &seen).await
        });
        let response = loop {
            let before = async {
                match &mut progress.waiting {
                    Some(waiting) => waiting.answer.as_mut().await,
                    None => pending().await,
                }
            };
            tokio::select! {
                biased;
                before = before => {
                    progress.waiting = None;
                    if let Ok(response) = before && response.status() == StatusCode::OK {
                        break response;
                    }
                }
                response = &mut answer => break response?,
                () = sleep_until(since + SILENCE) => {
                    // the one that has waited longest stands furthest ahead
                    let stays = progress.waiting.as_ref().is_some_and(|one| one.since.elapsed() < patience);
                    if accepted.get() && !stays {
                        progress.waiting = Some(Waiting { since, answer });
                    }
                    return Err(CallError::Time.into());
                }
            }
        };
        if response.status() != StatusCode::OK {
            return Err(WatchError::Status(response.status()));
        }
        progress.waiting = None;
        Ok(response)
    }
}

/// Ends well only when nobody takes the changes any more.
async fn watch_once(
    opening: Opening<impl Network>,
    progress: &mut Progress,
    inputs: &mpsc::UnboundedSender<Input>,
) -> Result<(), WatchError> {
    let response = opening.open(progress).await?;
    let mut body = response.into_body();
    let (mut feed, mut heard, mut lost) = (WatchStream::default(), Instant::now(), false);
    loop {
        // only what is whole is a sign of life: bytes that trickle without end tell nothing
        let frame = timeout_at(heard + SILENCE, body.frame())
            .await
            .map_err(|_| WatchError::Silent)?;
        let frame = frame.ok_or(WatchError::Ended)??;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        for told in feed.push(&data) {
            match told {
                WatchEvent::KeepAlive => heard = Instant::now(),
                WatchEvent::Update(update, unread) => {
                    (heard, progress.took) = (Instant::now(), true);
                    lost |= unread > 0;
                    progress.version = if lost { 0 } else { update.version };
                    if inputs.send(Input::EndpointsListed(update)).is_err() {
                        return Ok(());
                    }
                }
                WatchEvent::Malformed(text) => {
                    lost = true;
                    milletturn_logging::log(format_args!("discovery: line skipped: {text}"));
                }
            }
        }
        if lost {
            // a later version would pass over what could not be read, for good
            progress.version = 0;
            if !progress.repairs {
                return Err(WatchError::Lost);
            }
        }
    }
}

/// The way to the agent.
pub trait Network: Clone + 'static {
    /// A connection.
    type Stream: AsyncRead + AsyncWrite + Unpin + 'static;

    /// Connects, however long that takes.
    fn connect(&self, agent: SocketAddr) -> impl Future<Output = io::Result<Self::Stream>>;
}

/// Sockets.
#[derive(Debug, Clone, Copy)]
pub struct Tcp;

impl Network for Tcp {
    type Stream = TcpStream;

    async fn connect(&self, agent: SocketAddr) -> io::Result<TcpStream> {
        let stream = TcpStream::connect(agent).await?;
        stream.set_nodelay(true)?;
        Ok(stream)
    }
}

#[derive(Debug, Error)]
pub(crate) enum CallError {
    #[error("no connection: {0}")]
    Io(#[from] io::Error),
    #[error("{0}")]
    Http(#[from] hyper::Error),
    #[error("bad request: {0}")]
    Request(#[from] hyper::http::Error),
    #[error("no answer in time")]
    Time,
}

/// One request on a connection of its own: the agent is near, and its connections may have gone silent. `accepted`
/// turns true when it is up. However long it takes; who drops this closes the connection.
pub(crate) async fn call<B>(
    network: &impl Network,
    agent: SocketAddr,
    request: Request<B>,
    accepted: &Cell<bool>,
) -> Result<Response<Incoming>, CallError>
where
    B: Body<Data = Bytes> + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let stream = network.connect(agent).await?;
    accepted.set(true);
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    tokio::task::spawn_local(connection);
    Ok(sender.send_request(request).await?)
}
