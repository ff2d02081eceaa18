//! Posts notifications to discovery: how undelivered messages have ended.

use crate::discovery::{Network, RequestError, send_request};
use crate::discovery_backoff::{MIN_DELAY, RESPONSE_TIMEOUT};
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

/// Maximum number of notifications in one request.
const MAX_BATCH_SIZE: usize = 200;
/// The platform counts a message as lost when its notification has not been accepted this long after the message's
/// deadline.
const NOTIFICATION_DEADLINE: Duration = Duration::from_millis(300);
/// If a request has had no response for this time, the next one is sent concurrently, so that a request that hangs does
/// not delay notifications any further.
const NEXT_POST_DELAY: Duration = Duration::from_millis(100);
/// Longest delay before the next request after one has failed.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(200);
const _: () = assert!(
    2 * NEXT_POST_DELAY.as_millis() < NOTIFICATION_DEADLINE.as_millis()
        && MAX_RETRY_DELAY.as_millis() < NOTIFICATION_DEADLINE.as_millis()
);
/// Maximum number of requests in flight, each with a file descriptor. Three let the oldest run up to its time limit and
/// the newest carry new notifications, while the one between them has at least [`NEXT_POST_DELAY`] to get a
/// response.
pub(crate) const MAX_POSTS: usize = 3;

type PostResult = Result<StatusCode, RequestError>;

/// A notification that has not been accepted yet, and the number of the last request that carried it; 0 for none.
struct PendingNotification {
    notification: Notification,
    last_post: u64,
}

/// The requests in flight, the oldest first.
#[derive(Default)]
struct Posts {
    tasks: JoinSet<(Vec<u64>, PostResult)>,
    in_flight: Vec<AbortHandle>,
}

impl Posts {
    fn start(&mut self, post: impl Future<Output = (Vec<u64>, PostResult)> + 'static) {
        if self.in_flight.len() >= MAX_POSTS {
            // Abort the second one: a slow discovery service can still respond to the oldest.
            self.in_flight.remove(1).abort();
        }
        let handle = self.tasks.spawn_local(post);
        self.in_flight.push(handle);
    }

    /// Waits for the next request to end; returns the numbers of its notifications and its result.
    async fn next_ended(&mut self) -> Option<(Vec<u64>, PostResult)> {
        loop {
            let ended = self.tasks.join_next_with_id().await?;
            let id = ended.as_ref().map_or_else(JoinError::id, |(id, _)| *id);
            self.in_flight.retain(|handle| handle.id() != id);
            // an aborted request has no result
            if let Ok((_, ended)) = ended {
                return Some(ended);
            }
        }
    }
}

/// Posts each notification until a request that carries it has been answered with 204, and reports it to `inputs` then.
/// Requests go to the current value of `addresses`. Returns when `queue` is closed and every notification has been
/// accepted.
///
/// The platform ignores duplicate notifications, so notifications of a request that hangs are sent again in another
/// one.
pub async fn post_notifications(
    network: impl Network,
    mut addresses: watch::Receiver<SocketAddr>,
    mut queue: mpsc::UnboundedReceiver<Notification>,
    inputs: mpsc::UnboundedSender<Input>,
) {
    let mut pending: BTreeMap<u64, PendingNotification> = BTreeMap::new();
    let (mut posts, mut started_posts) = (Posts::default(), 0);
    let (mut next_post_at, mut delay) = (Instant::now(), MIN_DELAY);
    let (mut is_failing, mut is_queue_open) = (false, true);
    while is_queue_open || !pending.is_empty() {
        tokio::select! {
            notification = queue.recv(), if is_queue_open => {
                is_queue_open = notification.is_some();
                let mut next = notification;
                while let Some(notification) = next {
                    pending.insert(notification.number, PendingNotification { notification, last_post: 0 });
                    next = queue.try_recv().ok();
                }
            }
            Ok(()) = addresses.changed() => {
                (posts, next_post_at, delay) = (Posts::default(), Instant::now(), MIN_DELAY);
            }
            Some((batch, result)) = posts.next_ended(), if !posts.in_flight.is_empty() => match result {
                Ok(StatusCode::NO_CONTENT) => {
                    let accepted: Vec<u64> =
                        batch.into_iter().filter(|number| pending.remove(number).is_some()).collect();
                    (next_post_at, delay, is_failing) = (Instant::now(), MIN_DELAY, false);
                    if !accepted.is_empty() && inputs.send(Input::Notified(accepted)).is_err() {
                        return;
                    }
                }
                // Other requests have delivered all of these notifications in the meantime, so this failure is ignored.
                _ if !batch.iter().any(|number| pending.contains_key(number)) => {}
                other => {
                    if !std::mem::replace(&mut is_failing, true) {
                        log_failure(batch.len(), other);
                    }
                    if posts.in_flight.is_empty() {
                        next_post_at = Instant::now() + delay;
                    }
                    delay = (delay * 2).min(MAX_RETRY_DELAY);
                }
            },
            () = sleep_until(next_post_at), if !pending.is_empty() => {
                started_posts += 1;
                let (batch, text) = next_batch(&mut pending, started_posts);
                let (network, address) = (network.clone(), *addresses.borrow_and_update());
                posts.start(async move {
                    let result = timeout(RESPONSE_TIMEOUT, post(&network, address, text)).await;
                    (batch, result.unwrap_or(Err(RequestError::TimedOut)))
                });
                next_post_at = Instant::now() + NEXT_POST_DELAY.max(delay);
            }
        }
    }
}

/// Selects the notifications whose last request was longest ago, and marks them as carried by request `post`.
/// Returns their numbers and the body of the request.
fn next_batch(pending: &mut BTreeMap<u64, PendingNotification>, post: u64) -> (Vec<u64>, String) {
    let mut order: Vec<(u64, u64)> = pending
        .iter()
        .map(|(number, entry)| (entry.last_post, *number))
        .collect();
    order.sort_unstable();
    order.truncate(MAX_BATCH_SIZE);
    let (mut batch, mut text) = (Vec::new(), String::new());
    for (_, number) in order {
        if let Some(entry) = pending.get_mut(&number) {
            entry.last_post = post;
            text += &to_json_line(&entry.notification);
            batch.push(number);
        }
    }
    (batch, text)
}

async fn post(network: &impl Network, address: SocketAddr, text: String) -> PostResult {
    let request = Request::post("/v1/outcomes")
        .header(HOST, address.to_string())
        .header(CONTENT_TYPE, "application/x-ndjson")
        .body(Full::new(Bytes::from(text)))?;
    send_request(network, address, request, &Cell::new(false))
        .await
        .map(|response| response.status())
}

fn log_failure(count: usize, result: PostResult) {
    match result {
        Ok(status) => {
            milletturn_logging::log(format_args!("discovery: {count} notices answered {status}"));
        }
        Err(error) => milletturn_logging::log(format_args!(
            "discovery: {count} notifications not delivered: {error}"
        )),
    }
}

/// Encodes a notification as one line of JSON; empty for a delivered message.
fn to_json_line(notification: &Notification) -> String {
    let mut object = serde_json::json!({ "id": notification.id.as_str() });
    match notification.ending {
        // the platform expects no notification of a delivered message
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
