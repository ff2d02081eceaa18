//! Batches the heartbeats that a session proxy forwards, and returns each outcome to the caller that waits for it.
//!
//! A proxy holds no sessions or leases of its own, stores nothing and grants no permission. It collects the heartbeats
//! of a short interval, sends them to the leading coordinator in one call, and returns to each member its own outcome
//! (as etcd's proxy does for leases). To the coordinators, a proxied heartbeat looks like one that the network has
//! delayed. A proxy that is paused and resumed, cut off in one direction, running twice under one name, or restarted
//! can therefore delay or lose heartbeats, but can do no other harm.
//!
//! The proxy must guarantee one thing itself: the response to a batch is only given to heartbeats that arrived *before*
//! the batch was sent. A member counts its lease from when it sent its heartbeat. If its heartbeat got the response to
//! a batch that was sent earlier, the member could count its lease from a later time than the coordinator does.

use crate::batching::{InFlightSlot, QueueFull};
use crate::bounds;
use crate::ids::{FencingToken, SessionId, WaiterId};
use crate::lease_table::Heartbeat;
use crate::time::{Micros, Timestamp};
use std::collections::{BTreeMap, VecDeque};

/// Heartbeats that go to the coordinators in one call.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HeartbeatBatch {
    /// The number of the batch within this process; the first one has number 1.
    pub number: u64,
    /// At most one heartbeat per session, the one that arrived last.
    pub heartbeats: Vec<Heartbeat>,
}

/// The coordinators' response to a batch.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BatchResponse {
    /// The shortest lease among the renewed sessions; `None` if no session was renewed.
    pub shortest_lease: Option<Micros>,
    /// Sessions whose lease was extended, with the resources that each owns.
    pub renewed: BTreeMap<SessionId, Vec<(String, FencingToken)>>,
    /// Sessions that have ended. A session that is neither here nor in `renewed` was not renewed, and may or may not
    /// have ended; the response to its next heartbeat tells which.
    pub ended: Vec<SessionId>,
}

/// The outcome of one member's heartbeat.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HeartbeatOutcome {
    /// The lease is extended, and these are the resources that the session owns.
    Renewed(Vec<(String, FencingToken)>),
    /// The session has ended.
    SessionEnded,
    /// The coordinators did not answer within the call timeout, or their response does not list this session.
    Unknown,
}

/// What the service that runs a [`HeartbeatBatcher`] has to do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NextStep {
    /// Send this batch now.
    Send(HeartbeatBatch),
    /// Call [`next_step`](HeartbeatBatcher::next_step) again at this timestamp, or earlier if a heartbeat arrives.
    WaitUntil(Timestamp),
    /// Call [`next_step`](HeartbeatBatcher::next_step) again when a heartbeat arrives, or when the batch in flight has
    /// completed or failed.
    Idle,
}

/// Batches the heartbeats that members send to a session proxy.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct HeartbeatBatcher {
    max_delay: Micros,
    /// The shortest lease in any response so far. The batching delay and the call timeout derive from it.
    shortest_lease: Option<Micros>,
    queued: BTreeMap<SessionId, QueuedHeartbeat>,
    /// The queued sessions in order of arrival, so that no session waits behind later ones.
    order: VecDeque<SessionId>,
    in_flight: InFlightSlot<BTreeMap<SessionId, Vec<WaiterId>>>,
    last_sent_at: Option<Timestamp>,
    waiting: usize,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct QueuedHeartbeat {
    heartbeat: Heartbeat,
    waiters: Vec<WaiterId>,
}

impl HeartbeatBatcher {
    /// Creates an empty batcher. It sends batches at least `max_delay` apart, or 1/64 of the shortest lease if that is
    /// less. A full batch is sent without this delay.
    #[must_use]
    pub fn new(max_delay: Micros) -> Self {
        Self {
            max_delay,
            shortest_lease: None,
            queued: BTreeMap::new(),
            order: VecDeque::new(),
            in_flight: InFlightSlot::default(),
            last_sent_at: None,
            waiting: 0,
        }
    }

    /// Queues a member's heartbeat. If the session already has a queued heartbeat, the new one replaces it, and both
    /// callers get the outcome.
    ///
    /// # Errors
    /// [`QueueFull`] if [`MAX_PROXY_WAITERS`](bounds::MAX_PROXY_WAITERS) callers wait.
    pub fn enqueue(&mut self, heartbeat: Heartbeat, waiter: WaiterId) -> Result<(), QueueFull> {
        if self.waiting >= bounds::MAX_PROXY_WAITERS {
            return Err(QueueFull);
        }
        self.waiting += 1;
        let order = &mut self.order;
        let queued = self.queued.entry(heartbeat.session).or_insert_with(|| {
            order.push_back(heartbeat.session);
            QueuedHeartbeat {
                heartbeat,
                waiters: Vec::new(),
            }
        });
        queued.heartbeat = heartbeat;
        queued.waiters.push(waiter);
        Ok(())
    }

    /// Removes a caller that no longer waits. A queued heartbeat without a waiting caller is dropped, so that it does
    /// not extend the lease of a member that may have stopped.
    pub fn abandon(&mut self, session: SessionId, waiter: WaiterId) {
        let queued = self.queued.get_mut(&session);
        let queued = queued.map(|queued| &mut queued.waiters);
        let in_flight = self.in_flight.waiters_mut();
        let in_flight = in_flight.and_then(|waiters| waiters.get_mut(&session));
        for waiters in queued.into_iter().chain(in_flight) {
            let before = waiters.len();
            waiters.retain(|other| *other != waiter);
            self.waiting -= before - waiters.len();
        }
        if (self.queued.get(&session)).is_some_and(|queued| queued.waiters.is_empty()) {
            self.queued.remove(&session);
            self.order.retain(|other| *other != session);
        }
    }

    /// Decides what to do at `now`. One batch is in flight at a time, so a coordinator that responds slowly gets fewer
    /// and larger batches.
    pub fn next_step(&mut self, now: Timestamp) -> NextStep {
        if self.in_flight.is_taken() || self.queued.is_empty() {
            return NextStep::Idle;
        }
        let due = self
            .last_sent_at
            .map_or(now, |sent| sent.after(self.delay()));
        if now < due && self.queued.len() < bounds::MAX_BATCH_LEN {
            return NextStep::WaitUntil(due);
        }
        let (mut heartbeats, mut waiters) = (Vec::new(), BTreeMap::new());
        while heartbeats.len() < bounds::MAX_BATCH_LEN
            && let Some(session) = self.order.pop_front()
        {
            if let Some(queued) = self.queued.remove(&session) {
                heartbeats.push(queued.heartbeat);
                waiters.insert(session, queued.waiters);
            }
        }
        self.last_sent_at = Some(now);
        NextStep::Send(HeartbeatBatch {
            number: self.in_flight.send(waiters),
            heartbeats,
        })
    }

    /// The minimum time between two batches that are not full. A member sends four heartbeats per lease, so a delay of
    /// 1/64 of the lease is 1/16 of its heartbeat interval, which hardly matters to the member. With the delay, the
    /// number of calls to the coordinators does not grow with the number of members.
    fn delay(&self) -> Micros {
        self.shortest_lease.map_or(self.max_delay, |lease| {
            self.max_delay.min(Micros(lease.0 / 64))
        })
    }

    /// The timeout of a call to the coordinators: a quarter of the shortest lease, and at most 2.3 s.
    ///
    /// A member sends four heartbeats per lease and waits for a response for half a lease. A quarter of the lease here
    /// leaves the member another quarter to try another proxy. 2.3 s, which also applies while no lease is known yet,
    /// is a little less than the 2.5 s that a member waits for one response.
    #[must_use]
    pub fn call_timeout(&self) -> Micros {
        let max = Micros::from_millis(2_300);
        self.shortest_lease
            .map_or(max, |lease| max.min(Micros(lease.0 / 4)))
    }

    /// Returns the outcome for each caller of a batch that the coordinators have answered. The response to an abandoned
    /// batch yields no outcomes.
    pub fn complete(
        &mut self,
        number: u64,
        response: &BatchResponse,
    ) -> Vec<(WaiterId, HeartbeatOutcome)> {
        if let Some(lease) = response.shortest_lease {
            let shortest = self.shortest_lease.unwrap_or(lease);
            self.shortest_lease = Some(shortest.min(lease));
        }
        self.finish(number, |session| match response.renewed.get(&session) {
            Some(owned) => HeartbeatOutcome::Renewed(owned.clone()),
            None if response.ended.contains(&session) => HeartbeatOutcome::SessionEnded,
            None => HeartbeatOutcome::Unknown,
        })
    }

    /// Abandons a batch that no coordinator has answered within the call timeout, and returns
    /// [`HeartbeatOutcome::Unknown`] for each of its callers.
    pub fn fail(&mut self, number: u64) -> Vec<(WaiterId, HeartbeatOutcome)> {
        self.finish(number, |_| HeartbeatOutcome::Unknown)
    }

    fn finish(
        &mut self,
        number: u64,
        outcome: impl Fn(SessionId) -> HeartbeatOutcome,
    ) -> Vec<(WaiterId, HeartbeatOutcome)> {
        let mut outcomes = Vec::new();
        for (session, waiters) in self.in_flight.finish(number).unwrap_or_default() {
            let answered = waiters.into_iter().map(|waiter| (waiter, outcome(session)));
            outcomes.extend(answered);
        }
        self.waiting -= outcomes.len();
        outcomes
    }

    /// The number of waiting callers, both of queued heartbeats and of those in flight.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// The number of batches returned by [`next_step`](Self::next_step) so far.
    #[must_use]
    pub fn batches_sent(&self) -> u64 {
        self.in_flight.batches_sent()
    }
}
