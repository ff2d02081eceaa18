//! Serves heartbeats. A lease is renewed only after a quorum has confirmed that this replica still leads.

use super::{Leadership, LeadershipError};
use milletturn_coordination::{CoordinationState, FencingToken, Heartbeat, Rejection, SessionId};
use milletturn_coordination_protocol::clock::now;
use milletturn_coordination_protocol::messages::{
    HeartbeatAccepted, HeartbeatBatchResponse, HeartbeatRequest, HeartbeatResponse,
};
use std::collections::BTreeMap;

/// Sessions whose lease was renewed, with the names and fencing tokens of the resources that each owns.
type RenewedSessions = BTreeMap<SessionId, Vec<(String, FencingToken)>>;

impl Leadership {
    /// Serves a session's heartbeat. The response lists the resources that the session owns.
    ///
    /// # Errors
    /// If this replica can't confirm its leadership. The session may still be open or may have ended.
    pub async fn serve_heartbeat(
        &self,
        heartbeat: HeartbeatRequest,
    ) -> Result<HeartbeatResponse, LeadershipError> {
        let HeartbeatRequest {
            session,
            holder_expired,
        } = heartbeat;
        let HeartbeatBatchResponse {
            mut renewed, ended, ..
        } = self
            .serve_heartbeat_batch(&[(session, holder_expired)])
            .await?;
        match renewed.pop() {
            Some((_, owned)) => Ok(Ok(HeartbeatAccepted { owned })),
            None if ended.contains(&session) => Ok(Err(Rejection::SessionNotFound { session })),
            // the lease was not renewed, although the session is still in the state: the session is ending, its lease
            // is not tracked, it was opened after `track_sessions` ran, or both this heartbeat and the last confirmed
            // one say that the lease had expired by the holder's clock. The response to a later heartbeat tells the
            // caller whether the session is open
            None => Err(LeadershipError::NotLeader { leader: None }),
        }
    }

    /// Serves heartbeats with a single request to a quorum. Each entry is a session and whether the lease had already
    /// expired by the holder's own clock when the heartbeat was sent.
    ///
    /// # Errors
    /// If this replica can't confirm its leadership. Each of the sessions may still be open or may have ended.
    pub async fn serve_heartbeat_batch(
        &self,
        heartbeats: &[(SessionId, bool)],
    ) -> Result<HeartbeatBatchResponse, LeadershipError> {
        // a new leader serves no heartbeats until a quorum has confirmed its term and the leases have restarted
        if self.lease_table.borrow().leader_term().is_none() {
            return Err(self.not_leader());
        }
        self.track_sessions();
        let pending: Vec<_> = {
            let lease_table = self.lease_table.borrow();
            let begin = |&(session, holder_expired)| {
                let heartbeat = Heartbeat {
                    session,
                    holder_expired,
                };
                (session, lease_table.begin_heartbeat(heartbeat))
            };
            heartbeats.iter().map(begin).collect()
        };
        self.confirm_leadership().await?;
        let confirmed_at = now();
        let mut renewed = RenewedSessions::new();
        let mut others = Vec::new();
        for (session, pending) in pending {
            let is_renewed = pending.is_some_and(|pending| {
                self.lease_table
                    .borrow_mut()
                    .confirm_heartbeat(pending, confirmed_at)
            });
            if is_renewed {
                renewed.insert(session, Vec::new());
            } else {
                others.push(session);
            }
        }
        let response = |state: &CoordinationState| batch_response(state, renewed, others);
        Ok(self.state_machine.read(response))
    }
}

/// Builds the response: the resources that each renewed session owns, and which of the other sessions have ended.
fn batch_response(
    state: &CoordinationState,
    mut renewed: RenewedSessions,
    mut others: Vec<SessionId>,
) -> HeartbeatBatchResponse {
    for (name, resource) in state.resources() {
        if let Some(owned) = resource.owner.and_then(|owner| renewed.get_mut(&owner)) {
            owned.push((name.clone(), resource.token));
        }
    }
    let leases = renewed
        .keys()
        .filter_map(|session| Some(state.sessions().get(session)?.lease));
    others.retain(|session| !state.sessions().contains_key(session));
    HeartbeatBatchResponse {
        shortest_lease: leases.min(),
        renewed: renewed.into_iter().collect(),
        ended: others,
    }
}
