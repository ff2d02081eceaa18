//! Synchronization of the shard map: a replica polls the source or another replica for updates.
//!
//! There is one call, [`SHARD_MAP_PATH`], whose body is a [`SyncRequest`] and whose response is a list of [`Update`].
//! Nothing is pushed, so an unresponsive replica does not delay the others. Each replica polls four times within the
//! time in which a change has to arrive. A change that passes through one intermediate replica takes at most two polls,
//! and so reaches the senders within half of this time.
//!
//! Replicas find differences by comparing digests, as anti-entropy protocols do (Dynamo; `DeCandia` and others, 2007).

use crate::client::{Client, ClientError};
use crate::server::{CallError, Handler, HandlerResult, read_json, to_json};
use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use milletturn_shard_map::sync::SyncError;
use milletturn_shard_map::{ShardMapReplica, ShardMapSource, SyncRequest, Update, limits};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// Synchronizes with a source or a replica of the shard map: `POST` of a [`SyncRequest`]; the response is a list of
/// [`Update`].
pub const SHARD_MAP_PATH: &str = "/v1/catalog";

/// Largest accepted body of a request: 160 bytes for each shard, whose version takes at most 131 bytes of JSON, and 512
/// bytes for the JSON around them.
pub const MAX_SYNC_REQUEST_BYTES: usize = limits::MAX_REQUEST_SHARDS * 160 + 512;

/// Limit on the requests of one round. An empty replica asks for 65,536 shards in 128 requests. Further requests
/// compare the digests of spans of shards, and one is sent for each shard whose update leaves a gap.
const MAX_ROUND_REQUESTS: usize = 1_024;

/// A source or a replica of the shard map, from which other replicas get updates.
pub trait UpdatePublisher: 'static {
    /// Returns the updates that a request asks for.
    ///
    /// # Errors
    /// If the request assumes another number of shards, or names too many shards or one that does not exist.
    fn updates(&self, request: &SyncRequest) -> Result<Vec<Update>, SyncError>;
}

impl UpdatePublisher for ShardMapSource {
    fn updates(&self, request: &SyncRequest) -> Result<Vec<Update>, SyncError> {
        self.respond(request)
    }
}

impl UpdatePublisher for ShardMapReplica {
    fn updates(&self, request: &SyncRequest) -> Result<Vec<Update>, SyncError> {
        self.respond(request)
    }
}

/// Handles synchronization requests for a source or a replica of the shard map.
#[derive(Debug)]
pub struct ShardMapHandler<P> {
    group: String,
    publisher: Rc<RefCell<P>>,
}

impl<P> ShardMapHandler<P> {
    /// Creates a handler for this group that serves the updates of `publisher`.
    pub fn new(group: impl Into<String>, publisher: Rc<RefCell<P>>) -> Self {
        Self {
            group: group.into(),
            publisher,
        }
    }
}

impl<P: UpdatePublisher> Handler for ShardMapHandler<P> {
    fn group(&self) -> &str {
        &self.group
    }

    fn coordinator_id(&self) -> Option<u64> {
        None
    }

    async fn handle(&self, request: Request<Incoming>) -> HandlerResult {
        if request.uri().path() != SHARD_MAP_PATH {
            let message = "no such path at a catalog";
            return Err(CallError::rejected(StatusCode::NOT_FOUND, message));
        }
        if request.method() != Method::POST {
            let message = "another method";
            return Err(CallError::rejected(StatusCode::METHOD_NOT_ALLOWED, message));
        }
        let sync: SyncRequest = read_json(request, MAX_SYNC_REQUEST_BYTES).await?;
        let updates = self.publisher.borrow().updates(&sync);
        to_json(
            &updates
                .map_err(|error| CallError::rejected(StatusCode::CONFLICT, error.to_string()))?,
        )
    }
}

/// The counts of one round of synchronization.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SyncRound {
    /// Requests that got a response.
    pub requests: usize,
    /// Updates that the replica accepted, including those that only led to further requests.
    pub applied: usize,
    /// Updates that the replica ignored, because they were outdated, invalid or too large, or of a shard to which the
    /// replica is not subscribed.
    pub ignored: usize,
}

/// Why a round ended before the replica was up to date.
#[derive(Debug, thiserror::Error)]
pub enum CatchUpError {
    /// No valid response arrived.
    #[error(transparent)]
    Client(#[from] ClientError),
    /// The server rejected a request.
    #[error("{address} rejected the request: {message}")]
    Rejected {
        /// The server's address.
        address: String,
        /// The server's error message.
        message: String,
    },
    /// The time limit or the limit on requests was reached after this number of requests; the next round continues.
    #[error("synchronization unfinished after {0} requests")]
    Unfinished(usize),
}

/// Runs one round of synchronization: sends the replica's requests, and the further requests to which the updates in
/// the responses lead, until none is left. Shards that a response left out because of its size are requested in the
/// next round.
///
/// # Errors
/// If a call failed or was rejected, or requests were left when `time_limit` or the limit on their number was reached.
/// Updates applied until then are kept.
pub async fn catch_up(
    client: &mut Client,
    replica: &RefCell<ShardMapReplica>,
    time_limit: Duration,
) -> Result<SyncRound, CatchUpError> {
    let deadline = Instant::now() + time_limit;
    let mut round = SyncRound::default();
    let mut pending = replica.borrow().sync_requests();
    while let Some(request) = pending.pop() {
        if round.requests >= MAX_ROUND_REQUESTS {
            return Err(CatchUpError::Unfinished(round.requests));
        }
        let left = deadline.saturating_duration_since(Instant::now());
        let call = client.call::<Vec<Update>>(SHARD_MAP_PATH, Some(&request), left);
        let reply = timeout_at(deadline, call)
            .await
            .map_err(|_| CatchUpError::Unfinished(round.requests))??;
        let updates = reply.result.map_err(|error| CatchUpError::Rejected {
            address: client.address().to_string(),
            message: error.message,
        })?;
        round.requests += 1;
        for update in updates {
            match replica.borrow_mut().apply(update) {
                Ok(outcome) => {
                    round.applied += 1;
                    pending.extend(outcome.requests);
                }
                Err(_) => round.ignored += 1,
            }
        }
    }
    Ok(round)
}
