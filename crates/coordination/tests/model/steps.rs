//! The steps that the model may take in each state, their effects, and the properties that are checked.

use crate::cluster::{
    CLOCK_ERROR_PPM, ClusterModel, ClusterState, LEASE, Message, Mutation, Scenario, member_info,
};
use crate::{MUTUAL_EXCLUSION, NO_LOCKOUT, OWN_SESSION, SECOND_MEMBER_PERMITTED, TOKEN_ORDER};
use milletturn_coordination::heartbeat_batcher::NextStep;
use milletturn_coordination::{
    Command, Heartbeat, HeartbeatBatcher, LeaderTerm, LeaseTable, Micros, PRE_RESTORE_SESSION,
    SessionId, WaiterId,
};
use stateright::{Model, Property};

/// Maximum number of clock ticks in one run.
const MAX_TICKS: u64 = 3;
/// Maximum number of batches that one proxy process sends.
const MAX_BATCHES: u64 = 2;
/// Maximum number of heartbeat calls by the member that uses the proxy.
const MAX_HEARTBEAT_CALLS: WaiterId = WaiterId(2);
/// Maximum number of requests to open a session that both members together send to the proxy.
const MAX_OPEN_CALLS: WaiterId = WaiterId(3);

#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Step {
    Tick,
    /// A member sends a heartbeat, or a request to open a session if it has none.
    Send(usize),
    Deliver(Message),
    Elect(usize),
    /// A coordinator that believes it leads proposes the end of the sessions whose leases have expired.
    Expire(usize),
    Write(usize),
    RestartGuard,
    Backup,
    Restore,
    /// The proxy sends its queued heartbeats as one batch.
    SendHeartbeats,
    /// A member stops waiting for the response to its call. The proxy notices only if the call was to open a session.
    Abandon(usize),
    RestartProxy,
    /// The proxy sends its queued requests to open sessions as one batch.
    SendCommands,
    /// The proxy abandons the batch of requests to open sessions that is in flight.
    FailCommands,
}

impl ClusterModel {
    /// The number of elections after the first one.
    fn elections(&self) -> LeaderTerm {
        LeaderTerm(u64::from(self.scenario == Scenario::Leases))
    }

    /// Whether a member may send another request in this scenario. No new sessions are opened in `ProxiedHeartbeats`,
    /// and no heartbeats are sent in `ProxiedOpens`, since other scenarios check these.
    fn may_send(&self, state: &ClusterState, member: usize) -> bool {
        let known = state.holders[member].known_session();
        match self.scenario {
            // A member with a session sends nothing more here: other scenarios check heartbeats.
            Scenario::ProxiedOpens => {
                let mut calls = state.opens_at_proxy.values();
                known.is_none()
                    && !calls.any(|(caller, _)| *caller == member)
                    && state.last_waiter < MAX_OPEN_CALLS
            }
            Scenario::ProxiedHeartbeats => {
                known.is_some() && (member == 1 || state.last_waiter < MAX_HEARTBEAT_CALLS)
            }
            _ => true,
        }
    }

    /// Adds the steps that one member may take.
    fn member_steps(&self, state: &ClusterState, member: usize, steps: &mut Vec<Step>) {
        let is_waiting =
            |call: &crate::cluster::ProxyCall| call.is_waiting && call.member == member;
        if state.heartbeats_at_proxy.values().any(is_waiting) {
            if state.proxy_restarts + state.abandoned == 0 {
                steps.push(Step::Abandon(member));
            }
        } else if !(state.in_transit.iter()).any(|message| message.belongs_to(member))
            && self.may_send(state, member)
        {
            steps.push(Step::Send(member));
        }
        let is_write = |message: &Message| matches!(message, Message::Write { member: writer, .. } if *writer == member);
        if self.scenario == Scenario::Fencing
            && state.permitted_token(member).is_some()
            && !state.in_transit.iter().any(is_write)
        {
            steps.push(Step::Write(member));
        }
    }

    /// Adds the steps that exist only in this scenario.
    fn scenario_steps(&self, state: &ClusterState, steps: &mut Vec<Step>) {
        // A run has at most one fault: a proxy restart, or an abandoned call or batch.
        let is_faultless = state.proxy_restarts + state.abandoned == 0;
        match self.scenario {
            Scenario::Leases => {}
            Scenario::Fencing => {
                if state.guard_restarts == 0 {
                    steps.push(Step::RestartGuard);
                }
            }
            Scenario::Restore => steps.push(if state.backup.is_none() {
                Step::Backup
            } else {
                Step::Restore
            }),
            Scenario::ProxiedHeartbeats => {
                if state.heartbeat_batcher.batches_sent() < MAX_BATCHES {
                    steps.push(Step::SendHeartbeats);
                }
                if is_faultless {
                    steps.push(Step::RestartProxy);
                }
            }
            Scenario::ProxiedOpens => {
                if state.command_batcher.batches_sent() < MAX_BATCHES {
                    steps.push(Step::SendCommands);
                }
                if state.abandoned == 0 {
                    steps.push(Step::FailCommands);
                }
                if is_faultless {
                    steps.extend((0..2).map(Step::Abandon));
                }
            }
        }
    }

    fn send(&self, state: &mut ClusterState, member: usize) {
        let via_proxy = self.scenario == Scenario::ProxiedOpens;
        let mut sent = state.member_clock(member);
        if via_proxy && self.mutation != Mutation::LeaseCountedFromLastOpen {
            sent = *state.first_sent[member].get_or_insert(sent);
        }
        let holder = &state.holders[member];
        let holder_expired = holder.safe_session(sent).is_none();
        let message = match holder.known_session() {
            Some(session) => {
                let heartbeat = Heartbeat {
                    session,
                    holder_expired,
                };
                if self.scenario == Scenario::ProxiedHeartbeats && member == 0 {
                    Message::ProxiedHeartbeat {
                        member,
                        sent,
                        heartbeat,
                    }
                } else {
                    Message::Heartbeat {
                        member,
                        sent,
                        heartbeat,
                    }
                }
            }
            None if via_proxy => {
                // A member draws one nonce per session and opens only one session in this scenario.
                let is_new = self.mutation == Mutation::NewNoncePerAttempt;
                let nonce = if is_new { state.last_waiter.0 } else { 0 };
                Message::ProxiedOpen {
                    member,
                    sent,
                    nonce,
                }
            }
            None => Message::Open {
                member,
                sent,
                nonce: state.now,
            },
        };
        state.in_transit.insert(message);
    }

    fn abandon(&self, state: &mut ClusterState, member: usize) -> Option<()> {
        if self.scenario == Scenario::ProxiedOpens {
            let mut calls = state.opens_at_proxy.iter();
            let (&waiter, _) = calls.find(|(_, (caller, _))| *caller == member)?;
            state.opens_at_proxy.remove(&waiter);
            state.command_batcher.abandon(waiter);
        } else {
            for call in state.heartbeats_at_proxy.values_mut() {
                call.is_waiting &= call.member != member;
            }
        }
        state.abandoned += 1;
        Some(())
    }

    fn restore(&self, state: &mut ClusterState) -> Option<()> {
        let backup = state.backup.clone().filter(|_| !state.restored)?;
        state.restored = true;
        let mut restored = backup.restored(1, LEASE).ok()?;
        if self.mutation == Mutation::RestoreWithoutGracePeriod {
            let leader_term = LeaderTerm(0);
            let expire = Command::ExpireSession {
                session: PRE_RESTORE_SESSION,
                leader_term,
            };
            restored.apply(expire, leader_term);
        }
        state.coordination = if self.mutation == Mutation::RestoreWithoutTokenJump {
            backup
        } else {
            restored
        };
        // Messages to and from the lost coordinators are lost. Writes are sent to the receiver, so they remain.
        state
            .in_transit
            .retain(|message| matches!(message, Message::Write { .. }));
        state.tables = [LeaseTable::default(), LeaseTable::default()];
        state.elect(0, self.mutation);
        Some(())
    }
}

fn expire(state: &mut ClusterState, coordinator: usize) -> Option<()> {
    let now = state.coordinator_clock();
    let table = &mut state.tables[coordinator];
    table.track(now, state.coordination.leases());
    let expired = table.expire_sessions(now);
    let leader_term = table.leader_term()?;
    let ends = expired.into_iter().map(|session| Message::Expire {
        session,
        leader_term,
    });
    state.in_transit.extend(ends);
    Some(())
}

fn send_heartbeats(state: &mut ClusterState) -> Option<()> {
    let now = state.coordinator_clock();
    let NextStep::Send(batch) = state.heartbeat_batcher.next_step(now) else {
        return None;
    };
    let message = Message::HeartbeatBatch(state.proxy_restarts, batch);
    state.in_transit.insert(message);
    Some(())
}

fn fail_commands(state: &mut ClusterState) -> Option<()> {
    let batcher = &mut state.command_batcher;
    let unanswered = batcher.fail(batcher.batches_sent());
    if unanswered.is_empty() {
        return None;
    }
    state.abandoned += 1;
    state
        .opens_at_proxy
        .retain(|waiter, _| !unanswered.contains(waiter));
    Some(())
}

impl Model for ClusterModel {
    type State = ClusterState;
    type Action = Step;

    fn init_states(&self) -> Vec<ClusterState> {
        let mut state = ClusterState::new(if self.mutation == Mutation::ClockErrorIgnored {
            0
        } else {
            CLOCK_ERROR_PPM
        });
        state.elect(0, self.mutation);
        if self.scenario == Scenario::ProxiedOpens {
            return vec![state];
        }
        // Both members start with a session, and the first member owns the resource. Only the scenario `ProxiedOpens`
        // starts without sessions, since it checks how sessions are opened through a proxy.
        for member in 0..2 {
            let sent = state.member_clock(member);
            let session = SessionId(member as u64 + 1);
            for message in [
                Message::Open {
                    member,
                    sent,
                    nonce: 0,
                },
                Message::Opened {
                    member,
                    sent,
                    session,
                },
                Message::Heartbeat {
                    member,
                    sent,
                    heartbeat: Heartbeat {
                        session,
                        holder_expired: false,
                    },
                },
            ] {
                self.deliver(&mut state, &message);
            }
        }
        for message in std::mem::take(&mut state.in_transit) {
            if matches!(message, Message::Renewed { .. }) {
                self.deliver(&mut state, &message);
            }
        }
        vec![state]
    }

    fn actions(&self, state: &ClusterState, steps: &mut Vec<Step>) {
        if state.now < MAX_TICKS {
            steps.push(Step::Tick);
        }
        for member in 0..2 {
            self.member_steps(state, member, steps);
        }
        steps.extend(state.in_transit.iter().cloned().map(Step::Deliver));
        for coordinator in 0..2 {
            if state.leader_term <= self.elections() {
                steps.push(Step::Elect(coordinator));
            }
            if state.tables[coordinator].leader_term().is_some() {
                steps.push(Step::Expire(coordinator));
            }
        }
        self.scenario_steps(state, steps);
    }

    fn next_state(&self, before: &ClusterState, step: Step) -> Option<ClusterState> {
        let mut state = before.clone();
        match step {
            Step::Tick => state.now += 1,
            Step::Send(member) => self.send(&mut state, member),
            Step::Deliver(message) => {
                state.in_transit.remove(&message);
                self.deliver(&mut state, &message);
            }
            Step::Elect(coordinator) => state.elect(coordinator, self.mutation),
            Step::Expire(coordinator) => expire(&mut state, coordinator)?,
            Step::Write(member) => {
                let token = state.permitted_token(member)?;
                state.in_transit.insert(Message::Write { member, token });
            }
            Step::RestartGuard => {
                state.guard_restarts += 1;
                state.guard = state.saved_guard.clone();
            }
            Step::SendHeartbeats => send_heartbeats(&mut state)?,
            Step::SendCommands => {
                let batch = state.command_batcher.next_batch()?;
                state.in_transit.insert(Message::CommandBatch(batch));
            }
            Step::FailCommands => fail_commands(&mut state)?,
            Step::Abandon(member) => self.abandon(&mut state, member)?,
            Step::RestartProxy => {
                // The proxy's connections to its callers close. Batches that it had sent may still be delivered.
                state.proxy_restarts += 1;
                state.heartbeat_batcher = HeartbeatBatcher::new(Micros::ZERO);
                state.heartbeats_at_proxy.clear();
            }
            Step::Backup => state.backup = Some(state.coordination.clone()),
            Step::Restore => self.restore(&mut state)?,
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(MUTUAL_EXCLUSION, |_, state: &ClusterState| {
                state.permitted_token(0).is_none() || state.permitted_token(1).is_none()
            }),
            Property::always(TOKEN_ORDER, |_, state: &ClusterState| !state.out_of_order),
            Property::always(NO_LOCKOUT, |_, state: &ClusterState| !state.locked_out),
            Property::always(OWN_SESSION, |_, state: &ClusterState| {
                (0..2).all(|member| has_own_session(state, member))
            }),
            Property::sometimes(SECOND_MEMBER_PERMITTED, |_, state: &ClusterState| {
                state.permitted_token(1).is_some()
            }),
        ]
    }
}

fn has_own_session(state: &ClusterState, member: usize) -> bool {
    let known = state.holders[member].known_session();
    let open = known.and_then(|session| state.coordination.sessions().get(&session));
    open.is_none_or(|open| open.member == member_info(member))
}
