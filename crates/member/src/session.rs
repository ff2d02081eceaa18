//! A member's session: opening, heartbeats, claims and closing.

use crate::coordinator_client::CoordinatorClient;
use crate::events::MemberEvent;
use crate::member::{Member, Progress};
use milletturn_coordination::{
    Command, CommandOutcome, FencingToken, Micros, Rejection, SessionId, Timestamp,
};
use milletturn_coordination_protocol::clock::now;
use milletturn_coordination_protocol::messages::{
    HEARTBEAT_PATH, HeartbeatAccepted, HeartbeatRequest, HeartbeatResponse, OPEN_SESSION_PATH,
    OpenSession,
};
use rand_pcg::Pcg64;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Number of heartbeats sent within the time for which a renewed lease is safe, so that two in a row may be lost.
const HEARTBEATS_PER_LEASE: u32 = 4;
/// Longest wait for the response to a request to open a session. After it, the failure is reported and the same request
/// is sent again.
const OPEN_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Wait before a rejected request to open a session is sent again. The usual reason for the rejection is that another
/// session has the member's name.
const REJECTED_OPEN_BACKOFF: Duration = Duration::from_millis(200);
/// Longest wait for the response to a command that releases a resource or closes the session. A release without a
/// response is repeated after the next heartbeat. If the close gets no response, the session ends when its lease
/// expires.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(500);

/// Keeps a member's session open and claims the resources that it wants.
pub(crate) struct SessionLoop<'a> {
    member: &'a Member,
    client: CoordinatorClient,
    random: Pcg64,
}

impl<'a> SessionLoop<'a> {
    pub(crate) fn new(member: &'a Member, client: CoordinatorClient, seed: u64) -> Self {
        Self {
            member,
            client,
            random: Pcg64::seed_from_u64(seed),
        }
    }

    pub(crate) async fn run(&mut self) {
        loop {
            let known = self.member.lease.borrow().known_session();
            match known {
                None => self.open_session().await,
                Some(session) => self.heartbeat(session).await,
            }
            let known = self.member.lease.borrow().known_session();
            if let Some(session) = known {
                self.report_if_expired(session);
                self.claim_wanted().await;
                sleep(self.next_heartbeat_delay()).await;
            }
        }
    }

    /// The time until the next heartbeat, randomized by plus or minus 25 %, so that members that started at the same
    /// time don't send their heartbeats at the same time.
    fn next_heartbeat_delay(&mut self) -> Duration {
        let jitter = 0.75 + 0.5 * f64::from(self.random.next_u32()) / f64::from(u32::MAX);
        self.member.heartbeat_period().mul_f64(jitter)
    }

    /// Reports a session whose lease has expired by this member's clock. Heartbeats are still sent, since the
    /// coordinators may not have ended the session.
    fn report_if_expired(&self, session: SessionId) {
        if self.member.session().is_none() {
            let reason = format!(
                "the lease of session {session} expired on this member's clock without a renewal"
            );
            self.member.report_disconnected(&reason);
        }
    }

    async fn open_session(&mut self) {
        let request = OpenSession {
            member: self.member.info.clone(),
            nonce: self.random.next_u64(),
        };
        // When the first call that may have reached a coordinator was sent. The coordinators may have started the lease
        // at that call even if a later one gets the response, so the member counts its lease from then.
        let mut first_sent = None;
        loop {
            let sent = now();
            let deadline = Instant::now() + OPEN_TIMEOUT;
            let outcome = self
                .client
                .request(OPEN_SESSION_PATH, Some(&request), deadline)
                .await;
            match outcome {
                Ok(CommandOutcome::SessionOpened { session, lease }) => {
                    let first_sent = first_sent.unwrap_or(sent);
                    return self.member.session_opened(first_sent, session, lease);
                }
                Ok(CommandOutcome::Rejected(rejection)) => {
                    self.member.report_reconnected();
                    self.member.report(MemberEvent::Rejected(rejection));
                    sleep(REJECTED_OPEN_BACKOFF).await;
                }
                Ok(_) => {
                    // an outcome that doesn't belong to this kind of request: the session may have been opened
                    first_sent.get_or_insert(sent);
                    sleep(REJECTED_OPEN_BACKOFF).await;
                }
                Err(error) => {
                    if error.may_have_happened {
                        first_sent.get_or_insert(sent);
                    }
                    self.member.report_disconnected(&error);
                }
            }
        }
    }

    async fn heartbeat(&mut self, session: SessionId) {
        let sent = now();
        let deadline = Instant::now() + 2 * self.member.heartbeat_period();
        let request = HeartbeatRequest {
            session,
            holder_expired: self.member.lease.borrow().safe_session(sent).is_none(),
        };
        let response: Result<HeartbeatResponse, _> = self
            .client
            .request(HEARTBEAT_PATH, Some(&request), deadline)
            .await;
        match response {
            Ok(Ok(HeartbeatAccepted { owned })) => {
                self.member
                    .lease
                    .borrow_mut()
                    .heartbeat_confirmed(sent, session);
                self.member.report_reconnected();
                self.reconcile(session, owned).await;
            }
            Ok(Err(rejection)) => {
                self.member.report_reconnected();
                self.member.session_ended(session, rejection);
            }
            Err(error) => self.member.report_disconnected(&error),
        }
    }

    /// Brings the member's resources in line with `owned`, the session's resources in the replicated state. Removes
    /// those that the session no longer owns, since an operator may have revoked one. Releases those that the member
    /// does not want, since a claim whose response was lost may have been executed.
    async fn reconcile(&mut self, session: SessionId, owned: Vec<(String, FencingToken)>) {
        let owned: BTreeMap<String, FencingToken> = owned.into_iter().collect();
        for (resource, token) in self.member.owned_resources() {
            if owned.get(&resource) != Some(&token) {
                self.member.resource_lost(&resource, token);
            }
        }
        for (resource, token) in owned {
            if !self.member.wanted.contains(&resource) {
                let command = Command::Release {
                    session,
                    resource,
                    token,
                };
                let deadline = Instant::now() + RELEASE_TIMEOUT;
                // without a response, the next heartbeat lists the resource again
                let _ = self.client.submit(&command, deadline).await;
            }
        }
    }

    async fn claim_wanted(&mut self) {
        for resource in &self.member.wanted {
            if !self.member.owns(resource) {
                self.member.claim(&mut self.client, resource).await;
            }
        }
    }
}

impl Member {
    pub(crate) fn heartbeat_period(&self) -> Duration {
        Duration::from_micros(self.lease_duration.get().0) / HEARTBEATS_PER_LEASE
    }

    fn session_opened(&self, sent: Timestamp, session: SessionId, lease: Micros) {
        let mut holder = self.lease.borrow_mut();
        holder.session_opened(sent, session, lease);
        let safe_until = holder.safe_until();
        drop(holder);
        self.progress.borrow_mut().clear();
        self.lease_duration
            .set(safe_until.map_or(Micros::ZERO, |until| until.since(sent)));
        self.report_reconnected();
        self.report(MemberEvent::SessionOpened(session));
    }

    pub(crate) fn session_ended(&self, session: SessionId, rejection: Rejection) {
        self.lease.borrow_mut().session_ended(session);
        self.progress.borrow_mut().clear();
        self.report(MemberEvent::Rejected(rejection));
        self.report(MemberEvent::SessionEnded(session));
    }

    /// The resources that this member owns as far as it knows, with their fencing tokens.
    fn owned_resources(&self) -> Vec<(String, FencingToken)> {
        let lease = self.lease.borrow();
        let owned = lease.resources();
        owned
            .map(|(resource, token)| (resource.to_string(), token))
            .collect()
    }

    fn owns(&self, resource: &str) -> bool {
        let lease = self.lease.borrow();
        lease.resources().any(|(owned, _)| owned == resource)
    }

    /// Claims a resource. Returns the fencing token if this member owns the resource now.
    pub(crate) async fn claim(
        &self,
        client: &mut CoordinatorClient,
        resource: &str,
    ) -> Option<FencingToken> {
        let session = self.session()?;
        let command = Command::Claim {
            session,
            resource: resource.to_string(),
        };
        let deadline = Instant::now() + self.heartbeat_period();
        match client.submit(&command, deadline).await {
            Ok(CommandOutcome::Claimed {
                token,
                writes,
                checkpoint,
            }) => {
                let progress = Progress {
                    token,
                    writes,
                    checkpoint,
                };
                self.resource_claimed(session, resource, progress);
                Some(token)
            }
            Ok(CommandOutcome::Rejected(rejection @ Rejection::SessionNotFound { .. })) => {
                self.session_ended(session, rejection);
                None
            }
            // not reported: it is normal that another member owns the resource, and a claim of a wanted resource
            // without a response is repeated after the next heartbeat
            Ok(_) | Err(_) => None,
        }
    }

    fn resource_claimed(&self, session: SessionId, resource: &str, progress: Progress) {
        let token = progress.token;
        let mut lease = self.lease.borrow_mut();
        let is_known = lease
            .resources()
            .any(|(owned, known)| owned == resource && known == token);
        lease.resource_claimed(session, resource, token);
        drop(lease);
        self.progress
            .borrow_mut()
            .insert(resource.to_string(), progress);
        if !is_known {
            self.report(MemberEvent::Acquired {
                resource: resource.to_string(),
                token,
            });
        }
    }

    /// Closes the session, so that other members can claim its resources before the lease expires.
    pub async fn close_session(&self, client: &mut CoordinatorClient) {
        let known = self.lease.borrow().known_session();
        if let Some(session) = known {
            self.lease.borrow_mut().session_ended(session);
            let deadline = Instant::now() + RELEASE_TIMEOUT;
            // without a response the lease expires
            let _ = client
                .submit(&Command::CloseSession { session }, deadline)
                .await;
        }
    }
}
