//! Delivery of a message to a member, a coordinator, the session proxy or the receiver of writes.

use crate::cluster::{
    ClusterModel, ClusterState, Message, Mutation, ProxiedOpen, ProxyCall, Scenario, open_command,
};
use milletturn_coordination::command_batcher::{CommandBatch, OnAbandon};
use milletturn_coordination::fencing::Admission;
use milletturn_coordination::heartbeat_batcher::{BatchResponse, HeartbeatBatch, HeartbeatOutcome};
use milletturn_coordination::{
    Command, CommandOutcome, FencingToken, Heartbeat, SessionId, Timestamp, WaiterId,
};

impl ClusterModel {
    pub(crate) fn deliver(&self, state: &mut ClusterState, message: &Message) {
        match *message {
            Message::ProxiedHeartbeat { .. }
            | Message::HeartbeatBatch(..)
            | Message::BatchResponse { .. }
            | Message::ProxiedOpen { .. }
            | Message::CommandBatch(..)
            | Message::CommandOutcomes { .. } => self.deliver_via_proxy(state, message),
            Message::Open {
                member,
                sent,
                nonce,
            } => handle_open(state, member, sent, nonce),
            Message::Opened {
                member,
                sent,
                session,
            } => self.session_opened(state, member, sent, session),
            Message::Claim { member, session } => handle_claim(state, member, session),
            Message::Claimed {
                member,
                session,
                token,
            } => state.holders[member].resource_claimed(session, "w", token),
            Message::Heartbeat {
                member,
                sent,
                heartbeat,
            } => handle_heartbeat(state, member, sent, heartbeat),
            Message::Renewed {
                member,
                sent,
                session,
                claimed,
            } => self.lease_renewed(state, member, sent, session, claimed),
            Message::Expire {
                session,
                leader_term,
            } => {
                let expire = Command::ExpireSession {
                    session,
                    leader_term,
                };
                state.apply(expire);
            }
            Message::Write { member, token } => self.write(state, member, token),
        }
    }

    /// Delivers a message between a member and the proxy, or between the proxy and the coordinators.
    fn deliver_via_proxy(&self, state: &mut ClusterState, message: &Message) {
        match *message {
            Message::ProxiedHeartbeat {
                member,
                sent,
                heartbeat,
            } => enqueue_heartbeat(state, member, sent, heartbeat),
            Message::HeartbeatBatch(proxy_incarnation, ref batch) => {
                handle_heartbeat_batch(state, proxy_incarnation, batch);
            }
            Message::BatchResponse {
                proxy_incarnation,
                number,
                ref response,
            } => {
                if proxy_incarnation == state.proxy_restarts {
                    self.answer_heartbeats(state, number, response);
                }
            }
            Message::ProxiedOpen {
                member,
                sent,
                nonce,
            } => enqueue_open(state, member, sent, nonce),
            Message::CommandBatch(ref batch) => apply_batch(state, batch),
            Message::CommandOutcomes {
                number,
                ref sessions,
            } => self.answer_opens(state, number, sessions),
            _ => unreachable!("not sent to or by the proxy: {message:?}"),
        }
    }

    fn session_opened(
        &self,
        state: &mut ClusterState,
        member: usize,
        sent: Timestamp,
        session: SessionId,
    ) {
        state.holders[member].session_opened(sent, session, crate::cluster::LEASE);
        if self.scenario == Scenario::ProxiedOpens {
            state.in_transit.insert(Message::Claim { member, session });
        }
    }

    fn lease_renewed(
        &self,
        state: &mut ClusterState,
        member: usize,
        sent: Timestamp,
        session: SessionId,
        claimed: Option<FencingToken>,
    ) {
        let counted_from = if self.mutation == Mutation::LeaseCountedFromResponse {
            state.member_clock(member)
        } else {
            sent
        };
        state.holders[member].heartbeat_confirmed(counted_from, session);
        if let Some(token) = claimed {
            state.holders[member].resource_claimed(session, "w", token);
        }
    }

    /// The proxy returns the outcomes of a heartbeat batch to its callers.
    fn answer_heartbeats(&self, state: &mut ClusterState, number: u64, response: &BatchResponse) {
        let mut outcomes = state.heartbeat_batcher.complete(number, response);
        if self.mutation == Mutation::ProxyAnswersLaterCallers {
            let renewed = |session| {
                let owned = response.renewed.get(&session).cloned();
                owned.map(HeartbeatOutcome::Renewed)
            };
            let is_answered = |waiter| outcomes.iter().any(|(answered, _)| *answered == waiter);
            let calls = state.heartbeats_at_proxy.iter();
            let others: Vec<(WaiterId, HeartbeatOutcome)> = calls
                .filter(|(waiter, _)| !is_answered(**waiter))
                .filter_map(|(waiter, call)| Some((*waiter, renewed(call.session)?)))
                .collect();
            outcomes.extend(others);
        }
        for (waiter, outcome) in outcomes {
            let Some(ProxyCall {
                member,
                sent,
                session,
                is_waiting: true,
            }) = state.heartbeats_at_proxy.remove(&waiter)
            else {
                continue;
            };
            match outcome {
                HeartbeatOutcome::Renewed(owned) => {
                    let claimed = owned.first().map(|(_, token)| *token);
                    state.in_transit.insert(Message::Renewed {
                        member,
                        sent,
                        session,
                        claimed,
                    });
                }
                HeartbeatOutcome::SessionEnded => state.holders[member].session_ended(session),
                HeartbeatOutcome::Unknown => {}
            }
        }
    }

    /// The proxy returns to its callers the outcomes of a batch of requests to open sessions.
    fn answer_opens(&self, state: &mut ClusterState, number: u64, sessions: &[Option<SessionId>]) {
        let batcher = &mut state.command_batcher;
        let mut outcomes = batcher.complete(number, sessions.to_vec());
        if outcomes.is_empty() && self.mutation == Mutation::ProxyAcceptsLateResponses {
            outcomes = batcher.complete(number + 1, sessions.to_vec());
        }
        if self.mutation == Mutation::ProxyIgnoresBatchPositions {
            let waiting = state.opens_at_proxy.keys().copied();
            outcomes = waiting
                .zip(sessions.iter().map(|session| Some(*session)))
                .collect();
        }
        for (waiter, outcome) in outcomes {
            let Some((member, sent)) = state.opens_at_proxy.remove(&waiter) else {
                continue;
            };
            match outcome {
                Some(Some(session)) => {
                    state.in_transit.insert(Message::Opened {
                        member,
                        sent,
                        session,
                    });
                }
                Some(None) => state.locked_out = true,
                None => {}
            }
        }
    }

    /// The receiver of writes checks the token with its guard, and records whether writes were admitted out of order.
    fn write(&self, state: &mut ClusterState, member: usize, token: FencingToken) {
        let Ok(admission) = state.guard.admit("w", token) else {
            return;
        };
        if admission == Admission::NewToken && self.mutation != Mutation::GuardNotDurable {
            state.saved_guard = state.guard.clone();
        }
        let (last, owner) = state.last_write;
        state.out_of_order |= token < last || token == last && member != owner;
        state.last_write = (token.max(last), member);
    }
}

fn handle_claim(state: &mut ClusterState, member: usize, session: SessionId) {
    if let Some(token) = state.claim(session) {
        state.in_transit.insert(Message::Claimed {
            member,
            session,
            token,
        });
    }
}

fn handle_open(state: &mut ClusterState, member: usize, sent: Timestamp, nonce: u64) {
    let outcome = state.apply(open_command(member, nonce));
    if let CommandOutcome::SessionOpened { session, .. } = outcome {
        state.track();
        state.in_transit.insert(Message::Opened {
            member,
            sent,
            session,
        });
    }
}

fn handle_heartbeat(
    state: &mut ClusterState,
    member: usize,
    sent: Timestamp,
    heartbeat: Heartbeat,
) {
    let session = heartbeat.session;
    state.track();
    if state.renew(heartbeat) {
        let claimed = state.claim(session);
        state.in_transit.insert(Message::Renewed {
            member,
            sent,
            session,
            claimed,
        });
    } else if !state.is_open(session) {
        state.holders[member].session_ended(session);
    }
}

fn enqueue_heartbeat(
    state: &mut ClusterState,
    member: usize,
    sent: Timestamp,
    heartbeat: Heartbeat,
) {
    let waiter = state.next_waiter();
    if state.heartbeat_batcher.enqueue(heartbeat, waiter).is_ok() {
        let call = ProxyCall {
            member,
            sent,
            session: heartbeat.session,
            is_waiting: true,
        };
        state.heartbeats_at_proxy.insert(waiter, call);
    }
}

fn handle_heartbeat_batch(state: &mut ClusterState, proxy_incarnation: u8, batch: &HeartbeatBatch) {
    state.track();
    let mut response = BatchResponse::default();
    for &heartbeat in &batch.heartbeats {
        let session = heartbeat.session;
        if state.renew(heartbeat) {
            let owned = state.claim(session).map(|token| ("w".to_string(), token));
            response
                .renewed
                .insert(session, owned.into_iter().collect());
        } else if !state.is_open(session) {
            response.ended.push(session);
        }
    }
    state.in_transit.insert(Message::BatchResponse {
        proxy_incarnation,
        number: batch.number,
        response,
    });
}

fn enqueue_open(state: &mut ClusterState, member: usize, sent: Timestamp, nonce: u64) {
    let waiter = state.next_waiter();
    let open = ProxiedOpen { member, nonce };
    let batcher = &mut state.command_batcher;
    if batcher.enqueue(waiter, open, 1, OnAbandon::Drop).is_ok() {
        state.opens_at_proxy.insert(waiter, (member, sent));
    }
}

fn apply_batch(state: &mut ClusterState, batch: &CommandBatch<ProxiedOpen>) {
    let open = |open: &ProxiedOpen| open_command(open.member, open.nonce);
    let commands = batch.requests.iter().map(open).collect();
    let CommandOutcome::Batch(outcomes) = state.apply(Command::Batch { commands }) else {
        return;
    };
    state.track();
    let sessions = outcomes.iter().map(|outcome| match outcome {
        CommandOutcome::SessionOpened { session, .. } => Some(*session),
        _ => None,
    });
    state.in_transit.insert(Message::CommandOutcomes {
        number: batch.number,
        sessions: sessions.collect(),
    });
}
