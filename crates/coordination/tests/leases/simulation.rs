//! A simulation of coordinators and members with clocks of their own, and of messages between them that are delayed,
//! lost or reordered.

use milletturn_coordination::{
    Command, CommandOutcome, CoordinationState, FencingToken, Heartbeat, LeaderTerm, LeaseHolder,
    LeaseTable, MemberInfo, Micros, SessionId, Timestamp,
};

/// The rates of any two clocks differ by at most 2 %, the default of the `clock_error` setting.
const CLOCK_ERROR_PPM: u32 = 20_000;
const LEASE: Micros = Micros::from_millis(1_000);
pub(crate) const MEMBERS: usize = 3;
pub(crate) const COORDINATORS: usize = 3;

#[derive(Debug, Clone)]
pub(crate) enum Step {
    /// True time advances by this many microseconds.
    AdvanceClocks(u64),
    /// A member sends a request to a coordinator: to open a session if it has none, otherwise a heartbeat that also
    /// claims the resource.
    Send { member: usize, coordinator: usize },
    /// One of the messages in transit is delivered, selected by this index modulo their number.
    Deliver(usize),
    /// One of the messages in transit is lost, selected by this index modulo their number.
    Drop(usize),
    /// A coordinator is elected. The previous leader does not notice and still believes that it leads.
    Elect(usize),
    /// A coordinator that believes it leads proposes the end of the sessions whose leases have expired.
    Expire(usize),
}

#[derive(Debug, Clone, Copy)]
pub(crate) enum Message {
    Open {
        member: usize,
        coordinator: usize,
        sent: Timestamp,
        nonce: u64,
    },
    Heartbeat {
        member: usize,
        coordinator: usize,
        sent: Timestamp,
        heartbeat: Heartbeat,
    },
    Opened {
        member: usize,
        sent: Timestamp,
        session: SessionId,
    },
    Renewed {
        member: usize,
        sent: Timestamp,
        session: SessionId,
        claimed: Option<FencingToken>,
    },
    /// A proposed end of a session, not yet applied to the state.
    Expire {
        session: SessionId,
        leader_term: LeaderTerm,
    },
}

/// Coordinators, members and the messages between them. Clock rates are in parts per million above or below true time.
pub(crate) struct Simulation {
    now: u64,
    member_rates: [i64; MEMBERS],
    coordinator_rates: [i64; COORDINATORS],
    pub(crate) holders: Vec<LeaseHolder>,
    tables: Vec<LeaseTable>,
    pub(crate) leader: usize,
    leader_term: LeaderTerm,
    pub(crate) state: CoordinationState,
    pub(crate) in_transit: Vec<Message>,
    nonce: u64,
}

/// What a clock with this rate shows at the true time `now`, in microseconds.
fn clock(now: u64, rate: i64) -> Timestamp {
    Timestamp((now as i128 * (1_000_000 + rate as i128) / 1_000_000) as u64)
}

impl Simulation {
    /// Creates a simulation with these clock rates: first those of the members, then those of the coordinators.
    pub(crate) fn new(rates: &[i64]) -> Self {
        let mut simulation = Simulation {
            now: 5_000_000,
            member_rates: [rates[0], rates[1], rates[2]],
            coordinator_rates: [rates[3], rates[4], rates[5]],
            holders: vec![LeaseHolder::new(CLOCK_ERROR_PPM); MEMBERS],
            tables: vec![LeaseTable::default(); COORDINATORS],
            leader: 0,
            leader_term: LeaderTerm(0),
            state: CoordinationState::default(),
            in_transit: Vec::new(),
            nonce: 0,
        };
        simulation.elect(0);
        simulation
    }

    pub(crate) fn member_clock(&self, member: usize) -> Timestamp {
        clock(self.now, self.member_rates[member])
    }

    fn coordinator_clock(&self, coordinator: usize) -> Timestamp {
        clock(self.now, self.coordinator_rates[coordinator])
    }

    fn elect(&mut self, coordinator: usize) {
        self.leader = coordinator;
        self.leader_term = self.leader_term.next();
        let now = self.coordinator_clock(coordinator);
        self.tables[coordinator].become_leader(self.leader_term, now, self.state.leases());
    }

    /// Brings a coordinator's lease table up to date with the state. In production, a deposed leader sees no state newer
    /// than when it lost the leadership. Here it sees the current leader's state, so it may also propose to end sessions
    /// that were opened later.
    fn track(&mut self, coordinator: usize) {
        let now = self.coordinator_clock(coordinator);
        self.tables[coordinator].track(now, self.state.leases());
    }

    pub(crate) fn step(&mut self, step: &Step) {
        match *step {
            Step::AdvanceClocks(micros) => self.now += micros,
            Step::Send {
                member,
                coordinator,
            } => self.send(member, coordinator),
            Step::Deliver(index) if !self.in_transit.is_empty() => {
                let message = self.in_transit.remove(index % self.in_transit.len());
                self.deliver(message);
            }
            Step::Drop(index) if !self.in_transit.is_empty() => {
                self.in_transit.remove(index % self.in_transit.len());
            }
            Step::Deliver(_) | Step::Drop(_) => {}
            Step::Elect(coordinator) => self.elect(coordinator),
            Step::Expire(coordinator) => {
                self.track(coordinator);
                let now = self.coordinator_clock(coordinator);
                for session in self.tables[coordinator].expire_sessions(now) {
                    if let Some(leader_term) = self.tables[coordinator].leader_term() {
                        self.in_transit.push(Message::Expire {
                            session,
                            leader_term,
                        });
                    }
                }
            }
        }
    }

    fn send(&mut self, member: usize, coordinator: usize) {
        let sent = self.member_clock(member);
        let holder = &self.holders[member];
        let message = match holder.known_session() {
            Some(session) => Message::Heartbeat {
                member,
                coordinator,
                sent,
                heartbeat: Heartbeat {
                    session,
                    holder_expired: holder.safe_session(sent).is_none(),
                },
            },
            None => {
                self.nonce += 1;
                Message::Open {
                    member,
                    coordinator,
                    sent,
                    nonce: self.nonce,
                }
            }
        };
        self.in_transit.push(message);
    }

    pub(crate) fn deliver(&mut self, message: Message) {
        match message {
            Message::Open {
                member,
                coordinator,
                sent,
                nonce,
            } => {
                if coordinator == self.leader {
                    self.handle_open(member, sent, nonce);
                }
            }
            Message::Heartbeat {
                member,
                coordinator,
                sent,
                heartbeat,
            } => self.handle_heartbeat(member, coordinator, sent, heartbeat),
            Message::Opened {
                member,
                sent,
                session,
            } => self.session_opened(member, sent, session),
            Message::Renewed {
                member,
                sent,
                session,
                claimed,
            } => {
                self.holders[member].heartbeat_confirmed(sent, session);
                if let Some(token) = claimed {
                    self.holders[member].resource_claimed(session, "w", token);
                }
            }
            // The end is applied in the current leader term. The state rejects an end determined in an earlier term.
            Message::Expire {
                session,
                leader_term,
            } => {
                let expire = Command::ExpireSession {
                    session,
                    leader_term,
                };
                self.state.apply(expire, self.leader_term);
            }
        }
    }

    fn handle_open(&mut self, member: usize, sent: Timestamp, nonce: u64) {
        let open = Command::OpenSession {
            member: MemberInfo {
                name: format!("n{member}"),
                zone: String::new(),
                version: String::new(),
                role: String::new(),
            },
            nonce,
            lease: LEASE,
        };
        match self.state.apply(open, self.leader_term) {
            CommandOutcome::SessionOpened { session, .. } => {
                self.track(self.leader);
                self.in_transit.push(Message::Opened {
                    member,
                    sent,
                    session,
                });
            }
            CommandOutcome::Rejected(_) => {}
            other => panic!("{other:?}"),
        }
    }

    /// Gives the member its session, unless it has one already or the session has ended in the meantime.
    fn session_opened(&mut self, member: usize, sent: Timestamp, session: SessionId) {
        let holder = &mut self.holders[member];
        if holder.known_session().is_none() && self.state.sessions().contains_key(&session) {
            holder.session_opened(sent, session, LEASE);
        }
    }

    fn handle_heartbeat(
        &mut self,
        member: usize,
        coordinator: usize,
        sent: Timestamp,
        heartbeat: Heartbeat,
    ) {
        let session = heartbeat.session;
        let Some(pending) = self.tables[coordinator].begin_heartbeat(heartbeat) else {
            if coordinator == self.leader && !self.state.sessions().contains_key(&session) {
                self.holders[member].session_ended(session);
            }
            return;
        };
        let now = self.coordinator_clock(coordinator);
        // A quorum confirms only the real leader, not a coordinator that merely believes it leads.
        if coordinator != self.leader || !self.tables[coordinator].confirm_heartbeat(pending, now) {
            return;
        }
        let claim = Command::Claim {
            session,
            resource: "w".into(),
        };
        let claimed = match self.state.apply(claim, self.leader_term) {
            CommandOutcome::Claimed { token, .. } => Some(token),
            _ => None,
        };
        self.in_transit.push(Message::Renewed {
            member,
            sent,
            session,
            claimed,
        });
    }

    /// Whether a member has permission to write now.
    pub(crate) fn has_permission(&self, member: usize) -> bool {
        let now = self.member_clock(member);
        self.holders[member].permission("w", now).is_some()
    }

    /// The number of members that have permission to write now.
    pub(crate) fn permitted_count(&self) -> usize {
        (0..MEMBERS)
            .filter(|member| self.has_permission(*member))
            .count()
    }
}
