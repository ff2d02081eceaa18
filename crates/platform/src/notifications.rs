//! The notices that end undelivered messages, posted to the platform's agent.

use crate::discovery::{CallError, Network, call};
use crate::discovery_backoff::{ANSWER, FIRST};
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::{Request, StatusCode};
use milletturn_engine::{Ending, Input, Notification};
use std::cell::Cell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::task::{AbortHandle, JoinError, JoinSet};
use tokio::time::{Instant, sleep_until, timeout};

/// Notices in one request.
const BATCH: usize = 200;
/// A message whose notice has not been taken so long after its time is lost.
const LOST: Duration = Duration::from_millis(300);
/// A post with no answer for so long keeps no notice any longer: the next one goes beside it.
const AGAIN: Duration = Duration::from_millis(100);
/// Longest rest between posts that are not answered.
const REST_MOST: Duration = Duration::from_millis(200);
const _: () =
    assert!(2 * AGAIN.as_millis() < LOST.as_millis() && REST_MOST.as_millis() < LOST.as_millis());
/// Posts that are out at once, each with a descriptor: the oldest has all its time, the newest carries what is new,
/// and the one between them has [`AGAIN`] at least.
pub(crate) const POSTS: usize = 3;

type Answer = Result<StatusCode, CallError>;

/// A notice that has not been taken, and the number of the last post that carried it; 0 for none.
struct Owed {
    notice: Notification,
    post: u64,
}

/// The posts that are out, the oldest first.
#[derive(Default)]
struct Posts {
    tasks: JoinSet<(Vec<u64>, Answer)>,
    out: Vec<AbortHandle>,
}

impl Posts {
    fn begin(&mut self, post: impl Future<Output = (Vec<u64>, Answer)> + 'static) {
        if self.out.len() >= POSTS {
            // an agent that is only slow gets to answer the oldest
            self.out.remove(1).abort();
        }
        let handle = self.tasks.spawn_local(post);
        self.out.push(handle);
    }

    /// The notices of the next one that ends, and its answer.
    async fn ended(&mut self) -> Option<(Vec<u64>, Answer)> {
        loop {
            let ended = self.tasks.join_next_with_id().await?;
            let id = ended.as_ref().map_or_else(JoinError::id, |(id, _)| *id);
            self.out.retain(|handle| handle.id() != id);
            // one that was called off tells nothing
            if let Ok((_, ended)) = ended {
                return Some(ended);
            }
        }
    }
}

/// Posts notices until each has been answered 204, always to the agent's present address. A notice twice does no
/// harm, so a post that hangs keeps none waiting.
pub async fn post_notifications(
    network: impl Network,
    mut agents: watch::Receiver<SocketAddr>,
    mut queue: mpsc::UnboundedReceiver<Notification>,
    inputs: mpsc::UnboundedSender<Input>,
) {
    let mut owed: BTreeMap<u64, Owed> = BTreeMap::new();
    let (mut posts, mut begun) = (Posts::default(), 0);
    let (mut due, mut rest) = (Instant::now(), FIRST);
    let (mut failing, mut open) = (false, true);
    while open || !owed.is_empty() {
        tokio::select! {
            notice = queue.recv(), if open => {
                open = notice.is_some();
                let mut next = notice;
                while let Some(notice) = next {
                    owed.insert(notice.number, Owed { notice, post: 0 });
                    next = queue.try_recv().ok();
                }
            }
            Ok(()) = agents.changed() => {
                (posts, due, rest) = (Posts::default(), Instant::now(), FIRST);
            }
            Some((batch, answer)) = posts.ended(), if !posts.out.is_empty() => match answer {
                Ok(StatusCode::NO_CONTENT) => {
                    let taken: Vec<u64> =
                        batch.into_iter().filter(|number| owed.remove(number).is_some()).collect();
                    (due, rest, failing) = (Instant::now(), FIRST, false);
                    if !taken.is_empty() && inputs.send(Input::Notified(taken)).is_err() {
                        return;
                    }
                }
                // another one has carried them since
                _ if !batch.iter().any(|number| owed.contains_key(number)) => {}
                other => {
                    if !std::mem::replace(&mut failing, true) {
                        log_failure(batch.len(), other);
                    }
                    if posts.out.is_empty() {
                        due = Instant::now() + rest;
                    }
                    rest = (rest * 2).min(REST_MOST);
                }
            },
            () = sleep_until(due), if !owed.is_empty() => {
                begun += 1;
                let (batch, text) = next_batch(&mut owed, begun);
                let (network, agent) = (network.clone(), *agents.borrow_and_update());
                posts.begin(async move {
                    let answer = timeout(ANSWER, post(&network, agent, text)).await;
                    (batch, answer.unwrap_or(Err(CallError::Time)))
                });
                due = Instant::now() + AGAIN.max(rest);
            }
        }
    }
}

/// The notices whose last post is the longest ago, marked as carried by this one.
fn next_batch(owed: &mut BTreeMap<u64, Owed>, post: u64) -> (Vec<u64>, String) {
    let mut order: Vec<(u64, u64)> = owed
        .iter()
        .map(|(number, one)| (one.post, *number))
        .collect();
    order.sort_unstable();
    order.truncate(BATCH);
    let (mut batch, mut text) = (Vec::new(), String::new());
    for (_, number) in order {
        if let Some(one) = owed.get_mut(&number) {
            one.post = post;
            text += &line_of(&one.notice);
            batch.push(number);
        }
    }
    (batch, text)
}

async fn post(network: &impl Network, agent: SocketAddr, text: String) -> Answer {
    let request = Request::post("/v1/outcomes")
        .header(HOST, agent.to_string())
        .header(CONTENT_TYPE, "application/x-ndjson")
        .body(Full::new(Bytes::from(text)))?;
    call(network, agent, request, &Cell::new(false))
        .await
        .map(|response| response.status())
}

fn log_failure(count: usize, answer: Answer) {
    match answer {
        Ok(status) => {
            milletturn_logging::log(format_args!("discovery: {count} notices answered {status}"));
        }
        Err(error) => milletturn_logging::log(format_args!(
            "discovery: {count} notices not delivered: {error}"
        )),
    }
}

fn line_of(notice: &Notification) -> String {
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
