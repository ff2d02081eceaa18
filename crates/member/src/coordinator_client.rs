//! Calls to the leading coordinator, directly or through a session proxy, with retries until a deadline.

use milletturn_coordination::{Command, CommandOutcome};
use milletturn_coordination_protocol::messages::COMMAND_PATH;
use milletturn_coordination_protocol::{Client, ClientError};
use rand_pcg::Pcg32;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::hash::{BuildHasher, DefaultHasher, Hash, Hasher, RandomState};
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Default time limit for one server's response. After this time the server is assumed to be stopped or cut off, and
/// the next one is called. The limit is longer than a coordinator's wait for its quorum, so that a coordinator without
/// a quorum can still respond with its own error.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Backoff after the first failed attempt. The backoff doubles with each consecutive failure, up to the limit set by
/// [`MAX_BACKOFF_DIVISOR`]. All members lose a failed coordinator at the same moment; without a growing backoff their
/// retries could overload the coordinators and delay the recovery.
const MIN_BACKOFF: Duration = Duration::from_millis(10);
/// The longest backoff is the time left until the request's deadline, divided by this number.
const MAX_BACKOFF_DIVISOR: u32 = 4;
/// Time until a member tries its preferred session proxy again after it had to use another one, randomized by plus or
/// minus 50 %. Each member thus tries a failed proxy about once a minute, and the members return to a recovered proxy
/// at times that are spread over a minute.
const PREFERRED_RETRY_INTERVAL: Duration = Duration::from_secs(60);

/// A client of all coordinators or session proxies of a group. It sends each request to the leading coordinator, or to
/// a session proxy that responds.
#[derive(Debug)]
pub struct CoordinatorClient {
    servers: Vec<Server>,
    attempt_timeout: Duration,
    /// Index in `servers` of the server that is called next.
    current: usize,
    consecutive_failures: u32,
    random: Pcg32,
    /// When the preferred session proxy, which is the first server, is tried again. `None` for a client of
    /// coordinators, of which none is preferred.
    return_at: Option<Instant>,
}

/// A coordinator or a session proxy.
#[derive(Debug)]
struct Server {
    client: Client,
    /// The coordinator's number, known after its first response; always `None` for a session proxy.
    coordinator: Option<u64>,
}

/// No server answered a request with a result before its deadline.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("no steward answered: {message}{}", uncertainty_note(*.may_have_happened))]
pub struct RequestError {
    /// The error of the last server that was called, or why it was not reached.
    pub message: String,
    /// Whether the request may have been executed although no response arrived.
    pub may_have_happened: bool,
}

fn uncertainty_note(may_have_happened: bool) -> &'static str {
    if may_have_happened {
        " (what was asked may have been done)"
    } else {
        ""
    }
}

/// The error of one attempt at one server.
struct FailedAttempt {
    message: String,
    may_have_happened: bool,
    /// The number of the leading coordinator, if the server's error response names one.
    leader: Option<u64>,
}

impl CoordinatorClient {
    /// Creates a client of the coordinators of this group at these addresses.
    #[must_use]
    pub fn new(group: &str, addresses: &[String]) -> Self {
        // a random seed, so that each process has its own backoff times
        let seed = RandomState::new().hash_one(group);
        let server = |address: &String| Server {
            client: Client::new(address, group),
            coordinator: None,
        };
        Self {
            servers: addresses.iter().map(server).collect(),
            attempt_timeout: ATTEMPT_TIMEOUT,
            current: 0,
            consecutive_failures: 0,
            random: Pcg32::seed_from_u64(seed),
            return_at: None,
        }
    }

    /// Creates a client of the session proxies at these addresses. The member's order of preference follows from its
    /// name by rendezvous hashing (highest random weight; Thaler and Ravishankar, 1998): the members are spread over
    /// all proxies, and those of a failed proxy are spread over all others. A member that had to leave its preferred
    /// proxy returns when that proxy responds again.
    #[must_use]
    pub fn via_proxies(group: &str, proxies: &[String], member: &str) -> Self {
        let weight = |address: &String| {
            let mut hasher = DefaultHasher::new();
            (member, address).hash(&mut hasher);
            hasher.finish()
        };
        let mut ranked = proxies.to_vec();
        ranked.sort_by_key(|address| std::cmp::Reverse(weight(address)));
        Self {
            return_at: Some(Instant::now()),
            ..Self::new(group, &ranked)
        }
    }

    /// Sets the time limit for one server's response in later requests; after the limit the next server is called.
    pub fn set_attempt_timeout(&mut self, attempt_timeout: Duration) {
        self.attempt_timeout = attempt_timeout;
    }

    /// Sends a request to one server after the other until one responds with a result, not an error, or the deadline
    /// has passed. The request has to be idempotent, since it may be sent several times.
    ///
    /// # Errors
    /// If no server responds with a result before the deadline, or if the client has no servers.
    pub async fn request<A: DeserializeOwned>(
        &mut self,
        path: &str,
        body: Option<&impl Serialize>,
        deadline: Instant,
    ) -> Result<A, RequestError> {
        let mut error = RequestError {
            message: "the deadline passed before the first attempt".to_string(),
            may_have_happened: false,
        };
        let mut attempts = 0;
        self.return_to_preferred();
        while self.current < self.servers.len() {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(error);
            }
            let failed = match self.attempt(path, body, left).await {
                Ok(answer) => {
                    self.consecutive_failures = 0;
                    return Ok(answer);
                }
                Err(failed) => failed,
            };
            error.message = failed.message;
            error.may_have_happened |= failed.may_have_happened;
            attempts += 1;
            self.switch_server(failed.leader);
            // if the first server that is called names the leader, the leader is called without a backoff. Each later
            // attempt is preceded by a backoff, so that two coordinators that name each other cause no busy loop
            if failed.leader.is_none() || attempts > 1 {
                let left = deadline.saturating_duration_since(Instant::now());
                sleep(self.backoff(left)).await;
            }
        }
        Err(error)
    }

    /// Submits a command to the replicated log, and returns its outcome.
    ///
    /// # Errors
    /// If no server responds with a result before the deadline. [`RequestError::may_have_happened`] tells whether the
    /// command may have been executed.
    pub async fn submit(
        &mut self,
        command: &Command,
        deadline: Instant,
    ) -> Result<CommandOutcome, RequestError> {
        self.request(COMMAND_PATH, Some(command), deadline).await
    }

    async fn attempt<A: DeserializeOwned>(
        &mut self,
        path: &str,
        body: Option<&impl Serialize>,
        left: Duration,
    ) -> Result<A, FailedAttempt> {
        // all session proxies are equivalent, so half of the remaining time is left for the next one
        let time_limit = if self.return_at.is_some() {
            left / 2
        } else {
            left
        };
        let time_limit = time_limit.min(self.attempt_timeout);
        let server = &mut self.servers[self.current];
        match server.client.call(path, body, time_limit).await {
            Ok(reply) => {
                server.coordinator = reply.coordinator.or(server.coordinator);
                reply.result.map_err(|error| FailedAttempt {
                    message: format!("{}: {}", server.client.address(), error.message),
                    may_have_happened: error.may_have_happened,
                    leader: error.leader,
                })
            }
            Err(error) => Err(FailedAttempt {
                message: error.to_string(),
                may_have_happened: matches!(error, ClientError::OutcomeUnknown { .. }),
                leader: None,
            }),
        }
    }

    /// The next backoff, which doubles with each consecutive failure, with equal jitter: a random value between half of
    /// the backoff and the whole.
    fn backoff(&mut self, left: Duration) -> Duration {
        let longest = MIN_BACKOFF
            .saturating_mul(1 << self.consecutive_failures.min(16))
            .min(left / MAX_BACKOFF_DIVISOR);
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        longest.mul_f64(0.5 + 0.5 * self.random_fraction())
    }

    /// A random number from 0 to 1.
    fn random_fraction(&mut self) -> f64 {
        f64::from(self.random.next_u32()) / f64::from(u32::MAX)
    }

    /// Switches to the preferred session proxy if its retry time has come.
    fn return_to_preferred(&mut self) {
        let Some(return_at) = self.return_at else {
            return;
        };
        if self.current != 0 && return_at <= Instant::now() {
            self.current = 0;
        }
        if self.current == 0 {
            self.return_at = Some(
                Instant::now() + PREFERRED_RETRY_INTERVAL.mul_f64(0.5 + self.random_fraction()),
            );
        }
    }

    /// Switches to the server that has responded as coordinator `leader`. If there is none, or if it is the current
    /// server, switches to the next one in the list.
    fn switch_server(&mut self, leader: Option<u64>) {
        let known = leader.and_then(|leader| {
            self.servers
                .iter()
                .position(|server| server.coordinator == Some(leader))
        });
        self.current = match known {
            Some(known) if known != self.current => known,
            _ => (self.current + 1) % self.servers.len(),
        };
    }
}
