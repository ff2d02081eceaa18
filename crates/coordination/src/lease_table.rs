//! The leader's record of when each session's lease expires.
//!
//! Only the leading coordinator tracks leases, on its own clock and in memory: heartbeats are not written to the log
//! (leases as in C. Gray, D. Cheriton, SOSP 1989, granted to sessions as in Chubby).
//!
//! A lease never expires at the leader while its holder relies on it. The holder counts the lease from before it sent
//! the heartbeat, and the leader from when it *confirmed* the heartbeat, which is later. A new leader does not know
//! which heartbeats the previous one confirmed, so it counts every lease in full from when it became the leader. It
//! therefore ends no session before a lease confirmed by an earlier leader would have expired.
//!
//! A holder whose requests arrive but whose responses are all lost cannot write, and must not keep its resources
//! forever. A heartbeat therefore says whether the lease has expired by the holder's clock. The leader confirms one
//! heartbeat that says so and rejects further ones, until the holder has received a response and its heartbeats
//! report that the lease has not expired.

use crate::ids::{LeaderTerm, PRE_RESTORE_SESSION, SessionId};
use crate::time::{Micros, Timestamp};
use std::collections::BTreeMap;

/// The leases of all sessions while this coordinator leads; empty while another one does.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct LeaseTable {
    /// `None` while this coordinator does not lead.
    leases: Option<BTreeMap<SessionId, TrackedLease>>,
    leader_term: LeaderTerm,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct TrackedLease {
    confirmed_at: Timestamp,
    duration: Micros,
    /// Whether the last confirmed heartbeat said that the lease had expired by the holder's clock.
    holder_expired: bool,
    /// Whether the end of the session has been proposed. If so, no heartbeat is confirmed, even if the proposal failed.
    is_ending: bool,
}

impl TrackedLease {
    /// Whether a heartbeat may extend this lease.
    fn accepts(&self, heartbeat: Heartbeat) -> bool {
        !(self.is_ending || heartbeat.holder_expired && self.holder_expired)
    }
}

/// A member's request to extend its session's lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Heartbeat {
    /// The member's session.
    pub session: SessionId,
    /// Whether the lease had expired by the holder's clock when the holder sent the heartbeat. If so, the holder
    /// has received no confirmation of a request that it sent within the preceding lease duration.
    pub holder_expired: bool,
}

/// A heartbeat that waits until a quorum has confirmed that this coordinator still leads in the given term.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PendingHeartbeat {
    heartbeat: Heartbeat,
    leader_term: LeaderTerm,
}

impl LeaseTable {
    /// Starts to track the leases of these sessions, each with its duration, because this coordinator has become the
    /// leader. The sessions must come from a state that has applied every entry that earlier leaders committed.
    pub fn become_leader(
        &mut self,
        leader_term: LeaderTerm,
        now: Timestamp,
        sessions: impl IntoIterator<Item = (SessionId, Micros)>,
    ) {
        self.leader_term = leader_term;
        self.leases = Some(BTreeMap::new());
        self.track(now, sessions);
    }

    /// Stops tracking leases, because this coordinator no longer leads.
    pub fn step_down(&mut self) {
        self.leases = None;
    }

    /// The term in which this coordinator leads; `None` if it does not lead.
    #[must_use]
    pub fn leader_term(&self) -> Option<LeaderTerm> {
        self.leases.as_ref().map(|_| self.leader_term)
    }

    /// Brings the table up to date with the sessions of the state, each with the duration of its lease.
    ///
    /// The lease of a new session is counted from `now`, which is after the session was opened. Sessions that are no
    /// longer in the state are removed.
    pub fn track(
        &mut self,
        now: Timestamp,
        sessions: impl IntoIterator<Item = (SessionId, Micros)>,
    ) {
        let Some(leases) = &mut self.leases else {
            return;
        };
        let mut known = std::mem::take(leases);
        for (session, duration) in sessions {
            let lease = known.remove(&session).unwrap_or(TrackedLease {
                confirmed_at: now,
                duration,
                holder_expired: false,
                is_ending: false,
            });
            leases.insert(session, lease);
        }
    }

    /// Starts to process a heartbeat that has arrived.
    ///
    /// Returns `None` if the session has ended or is ending, this coordinator does not lead, or the heartbeat may not
    /// extend the lease. Otherwise the caller must have a quorum confirm, after this call, that this coordinator
    /// still leads, and then call [`confirm_heartbeat`](Self::confirm_heartbeat).
    #[must_use]
    pub fn begin_heartbeat(&self, heartbeat: Heartbeat) -> Option<PendingHeartbeat> {
        let leases = self.leases.as_ref()?;
        let lease = leases
            .get(&heartbeat.session)
            .filter(|_| heartbeat.session != PRE_RESTORE_SESSION)?;
        lease.accepts(heartbeat).then_some(PendingHeartbeat {
            heartbeat,
            leader_term: self.leader_term,
        })
    }

    /// Extends the lease. Call this after a quorum has confirmed that this coordinator leads, in a round that began
    /// after [`begin_heartbeat`](Self::begin_heartbeat).
    ///
    /// Returns whether the lease is extended; only then may the response to the member confirm the heartbeat.
    pub fn confirm_heartbeat(&mut self, pending: PendingHeartbeat, now: Timestamp) -> bool {
        let PendingHeartbeat {
            heartbeat,
            leader_term,
        } = pending;
        if leader_term != self.leader_term {
            return false;
        }
        let leases = self.leases.as_mut();
        match leases.and_then(|leases| leases.get_mut(&heartbeat.session)) {
            Some(lease) if lease.accepts(heartbeat) => {
                lease.holder_expired = heartbeat.holder_expired;
                lease.confirmed_at = lease.confirmed_at.max(now);
                true
            }
            _ => false,
        }
    }

    /// Marks the sessions whose leases have expired as ending, and returns them so that the caller proposes their end.
    ///
    /// A session is returned again by each call until it has ended, in case an earlier proposal failed.
    pub fn expire_sessions(&mut self, now: Timestamp) -> Vec<SessionId> {
        let Some(leases) = &mut self.leases else {
            return Vec::new();
        };
        let has_expired = |lease: &TrackedLease| {
            lease.is_ending || now.since(lease.confirmed_at) > lease.duration
        };
        (leases.iter_mut())
            .filter(|(_, lease)| has_expired(lease))
            .map(|(&session, lease)| {
                lease.is_ending = true;
                session
            })
            .collect()
    }
}
