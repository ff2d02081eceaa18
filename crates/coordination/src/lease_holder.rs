//! The member's own view of its lease and of the time until which it may write, checked right before each write.
//!
//! A lease is called *safe* until [`LeaseTiming::holder_duration`] has passed since the member sent the last confirmed
//! request. Within this time the lease does not expire at the leader, even if the clock rates differ by the full clock
//! error.

use crate::ids::{FencingToken, SessionId};
use crate::time::{LeaseTiming, Micros, Timestamp};
use std::collections::BTreeMap;

/// A member's session and owned resources, and the time until which its lease is safe by its own clock.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct LeaseHolder {
    clock_error_ppm: u32,
    session: Option<SessionLease>,
    resources: BTreeMap<String, FencingToken>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct SessionLease {
    session: SessionId,
    duration: Micros,
    safe_until: Timestamp,
}

/// Permission to write now on behalf of a resource.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Permission {
    /// The session that owns the resource.
    pub session: SessionId,
    /// The token that the write must carry.
    pub token: FencingToken,
    /// When the permission ends, by this member's clock.
    pub safe_until: Timestamp,
}

impl LeaseHolder {
    /// Creates a holder without a session. `clock_error_ppm` says by how many parts per million one machine's clock may
    /// run faster than another's.
    #[must_use]
    pub fn new(clock_error_ppm: u32) -> Self {
        Self {
            clock_error_ppm,
            session: None,
            resources: BTreeMap::new(),
        }
    }

    /// Records that a session was opened by a request that was sent at `sent` or later. The resources of an earlier
    /// session are dropped.
    pub fn session_opened(&mut self, sent: Timestamp, session: SessionId, lease: Micros) {
        let timing = LeaseTiming {
            lease,
            clock_error_ppm: self.clock_error_ppm,
        };
        let duration = timing.holder_duration();
        self.resources.clear();
        self.session = Some(SessionLease {
            session,
            duration,
            safe_until: sent.after(duration),
        });
    }

    /// Records the response to a heartbeat that was sent at `sent` or later. Responses may arrive in any order.
    pub fn heartbeat_confirmed(&mut self, sent: Timestamp, session: SessionId) {
        if let Some(lease) = (self.session.as_mut()).filter(|lease| lease.session == session) {
            lease.safe_until = lease.safe_until.max(sent.after(lease.duration));
        }
    }

    /// Records that a claim was granted. The session owns the resource until it ends or the resource is lost.
    pub fn resource_claimed(&mut self, session: SessionId, resource: &str, token: FencingToken) {
        if self.session.is_some_and(|lease| lease.session == session) {
            let current = self.resources.entry(resource.to_string()).or_insert(token);
            // A response that arrives late must not bring back an older token.
            *current = (*current).max(token);
        }
    }

    /// Records that the resource is no longer owned under this token or a lower one: it was released or revoked, or a
    /// write was rejected by a fencing guard.
    pub fn resource_lost(&mut self, resource: &str, token: FencingToken) {
        if (self.resources.get(resource)).is_some_and(|current| *current <= token) {
            self.resources.remove(resource);
        }
    }

    /// Records that the coordinators have ended this session.
    pub fn session_ended(&mut self, session: SessionId) {
        if self.session.is_some_and(|lease| lease.session == session) {
            self.session = None;
            self.resources.clear();
        }
    }

    /// The session, if its lease is safe at `now`.
    #[must_use]
    pub fn safe_session(&self, now: Timestamp) -> Option<SessionId> {
        self.session
            .filter(|lease| now < lease.safe_until)
            .map(|lease| lease.session)
    }

    /// The session for which heartbeats are sent, whether its lease is safe or not.
    #[must_use]
    pub fn known_session(&self) -> Option<SessionId> {
        self.session.map(|lease| lease.session)
    }

    /// The end of the time in which the session's lease is safe; `None` without a session.
    #[must_use]
    pub fn safe_until(&self) -> Option<Timestamp> {
        self.session.map(|lease| lease.safe_until)
    }

    /// Permission to write on behalf of a resource at `now`; `None` if the lease is no longer safe or the resource is
    /// not owned.
    ///
    /// Call this right before each write, with a timestamp read from the clock right before the call.
    #[must_use]
    pub fn permission(&self, resource: &str, now: Timestamp) -> Option<Permission> {
        let lease = self.session.filter(|lease| now < lease.safe_until)?;
        let token = *self.resources.get(resource)?;
        Some(Permission {
            session: lease.session,
            token,
            safe_until: lease.safe_until,
        })
    }

    /// All owned resources with their tokens, whether the session's lease is safe or not.
    pub fn resources(&self) -> impl Iterator<Item = (&str, FencingToken)> {
        self.resources
            .iter()
            .map(|(resource, token)| (resource.as_str(), *token))
    }
}
