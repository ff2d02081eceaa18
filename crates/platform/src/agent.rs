//! The platform's agent: the watch of the endpoint list, and the notices that end undelivered messages.

use crate::asking::{Asking, FIRST, MOST, SOON};
use crate::feed::{Feed, Told};
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Full};
use hyper::body::Body;
use hyper::client::conn::http1;
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use milletturn_engine::{Ending, Input, Notice};
use std::collections::BTreeMap;
use std::error::Error;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, timeout, timeout_at};

/// An empty line is due every 2 s; a watch that is silent for longer has lost its connection. What is missed
/// meanwhile counts as told after 6 s, so the next watch must have answered by then.
const SILENCE: Duration = Duration::from_millis(3000);
/// The agent is on this machine and answers at once.
const ANSWER: Duration = Duration::from_secs(1);
/// What a watch has missed counts as told so long after it fell silent: an agent that is well has answered the next one
/// by then. One behind a discovery short of room is given longer, or nobody would ever be served.
const TOLD: Duration = Duration::from_secs(6);
const _: () = assert!(SILENCE.as_millis() + SOON.as_millis() + ANSWER.as_millis() <= TOLD.as_millis());
/// Notices in one request.
const BATCH: usize = 200;

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

#[derive(Debug, Error)]
enum CallError {
    #[error("no connection: {0}")]
    Io(#[from] std::io::Error),
    #[error("{0}")]
    Http(#[from] hyper::Error),
    #[error("bad request: {0}")]
    Request(#[from] hyper::http::Error),
    #[error("no answer in time")]
    Time,
}

/// Watches the list for ever and hands each change on. A new address of the agent counts at once, and its first
/// list is asked for whole: the versions of another agent say nothing.
///
/// `asking` sets the rests between tries.
pub async fn watch(
    mut agents: watch::Receiver<SocketAddr>, version: u64, mut asking: Asking,
    inputs: mpsc::UnboundedSender<Input>,
) {
    let mut told = String::new();
    let mut progress = Progress { version, ..Progress::default() };
    loop {
        progress.took = false;
        let agent = *agents.borrow_and_update();
        let failed = async { watch_once(agent, &mut progress, &inputs).await.err() };
        let error = tokio::select! {
            moved = agents.changed() => {
                if moved.is_err() {
                    return;
                }
                (progress, told) = (Progress::default(), String::new());
                asking.answered();
                continue;
            }
            failed = failed => match failed {
                Some(error) => error,
                None => return,
            },
        };
        progress.repairs = matches!(error, WatchError::Lost);
        let error = error.to_string();
        if error != told {
            milletturn_log::log(format_args!("discovery: watch lost: {error}"));
            told = error;
        }
        if progress.took {
            asking.answered();
            told = String::new();
        }
        // the change itself is seen at the head of the loop
        if matches!(timeout(asking.rest(), agents.changed()).await, Ok(Ok(()))) {
            asking.answered();
            progress = Progress::default();
        }
    }
}

/// What a watch begins with and leaves behind.
#[derive(Debug, Default)]
struct Progress {
    /// The next watch asks for what has changed since then; 0 for the whole list.
    version: u64,
    /// Something has come.
    took: bool,
    /// The watch was opened because one before it brought what can't be read: once more of that ends it no more.
    repairs: bool,
}

/// Ends well only when nobody takes the changes any more.
async fn watch_once(
    agent: SocketAddr, progress: &mut Progress, inputs: &mpsc::UnboundedSender<Input>,
) -> Result<(), WatchError> {
    let path = format!("/v1/endpoints?watch=1&from={}", progress.version);
    let request = Request::get(path).header(HOST, agent.to_string()).body(Empty::<Bytes>::new());
    let response = call(agent, request.map_err(CallError::from)?, SILENCE).await?;
    if response.status() != StatusCode::OK {
        return Err(WatchError::Status(response.status()));
    }
    let mut body = response.into_body();
    let (mut feed, mut heard, mut lost) = (Feed::default(), Instant::now(), false);
    loop {
        // only what is whole is a sign of life: bytes that trickle without end tell nothing
        let frame = timeout_at(heard + SILENCE, body.frame()).await.map_err(|_| WatchError::Silent)?;
        let frame = frame.ok_or(WatchError::Ended)??;
        let Ok(data) = frame.into_data() else { continue };
        for told in feed.take(&data) {
            match told {
                Told::Alive => heard = Instant::now(),
                Told::List(update, unread) => {
                    (heard, progress.took) = (Instant::now(), true);
                    lost |= unread > 0;
                    progress.version = if lost { 0 } else { update.version };
                    if inputs.send(Input::Listed(update)).is_err() {
                        return Ok(());
                    }
                }
                Told::Unread(text) => {
                    lost = true;
                    milletturn_log::log(format_args!("discovery: line skipped: {text}"));
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

/// Posts notices until each has been answered 204, always to the agent's present address.
pub async fn post_notices(
    mut agents: watch::Receiver<SocketAddr>, mut queue: mpsc::UnboundedReceiver<Notice>,
    inputs: mpsc::UnboundedSender<Input>,
) {
    let mut owed: BTreeMap<u64, Notice> = BTreeMap::new();
    let mut rest = FIRST;
    let mut failing = false;
    loop {
        if owed.is_empty() {
            match queue.recv().await {
                Some(notice) => owed.insert(notice.number, notice),
                None => return,
            };
        }
        while let Ok(notice) = queue.try_recv() {
            owed.insert(notice.number, notice);
        }
        let batch: Vec<u64> = owed.keys().copied().take(BATCH).collect();
        let text: String = batch.iter().filter_map(|number| owed.get(number)).map(line_of).collect();
        let agent = *agents.borrow_and_update();
        let request = Request::post("/v1/outcomes")
            .header(HOST, agent.to_string())
            .header(CONTENT_TYPE, "application/x-ndjson")
            .body(Full::new(Bytes::from(text)));
        let answer = match request {
            Ok(request) => tokio::select! {
                answer = call(agent, request, ANSWER) => answer.map(|response| response.status()),
                // a notice twice does no harm
                Ok(()) = agents.changed() => {
                    rest = FIRST;
                    continue;
                }
            },
            Err(error) => Err(CallError::from(error)),
        };
        match answer {
            Ok(StatusCode::NO_CONTENT) => {
                owed.retain(|number, _| !batch.contains(number));
                (rest, failing) = (FIRST, false);
                if inputs.send(Input::Noticed(batch)).is_err() {
                    return;
                }
            }
            other => {
                if !std::mem::replace(&mut failing, true) {
                    let count = batch.len();
                    match other {
                        Ok(status) => {
                            milletturn_log::log(format_args!("discovery: {count} notices answered {status}"))
                        }
                        Err(error) => milletturn_log::log(format_args!(
                            "discovery: {count} notices not delivered: {error}"
                        )),
                    }
                }
                let moved = matches!(timeout(rest, agents.changed()).await, Ok(Ok(())));
                rest = if moved { FIRST } else { (rest * 2).min(MOST) };
            }
        }
    }
}

fn line_of(notice: &Notice) -> String {
    let mut object = serde_json::json!({ "id": notice.id.as_str() });
    match notice.ending {
        // nothing is owed for what was delivered
        Ending::Delivered => return String::new(),
        Ending::Failed => object["state"] = "failed".into(),
        Ending::Returned { after_ms } => {
            object["state"] = "returned".into();
            if let Some(after) = after_ms {
                object["after_ms"] = after.into();
            }
        }
    }
    format!("{object}\n")
}

/// One request on a connection of its own: the agent is near, and its connections may have gone silent.
async fn call<B>(
    agent: SocketAddr, request: Request<B>, within: Duration,
) -> Result<Response<hyper::body::Incoming>, CallError>
where
    B: Body<Data = Bytes> + Send + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let exchange = async {
        let stream = TcpStream::connect(agent).await?;
        stream.set_nodelay(true)?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        tokio::spawn(connection);
        Ok(sender.send_request(request).await?)
    };
    timeout(within, exchange).await.map_err(|_| CallError::Time)?
}
