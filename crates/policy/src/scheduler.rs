//! Schedule of the pending messages, so that a turn handles only messages that have an event or are due. What
//! may be sent, and in which order, is decided in `decide.rs`.
//!
//! A message that may be sent now waits in a *queue* with other messages that pass the same checks; one that
//! may be sent later joins its queue at that time. If a check of a queue finds no endpoint that admits a
//! call, the queue is blocked. It is checked again when the state of its destination changes, or at the time
//! that the check has determined.

use crate::interface::{DestinationId, EndpointId, MILLISECOND, MessageId, Micros};
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

/// Delay between the time at which a blocked queue may be unblocked and the check of the queue, so that one
/// turn uses several tokens that become available close together.
pub(crate) const QUEUE_WAKE_DELAY: Micros = MILLISECOND;

/// Identifies a queue: its messages pass the same checks, and only their age sets the order among them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueueKey {
    pub destination: DestinationId,
    pub class: usize,
    /// The messages have an attempt in flight, so the next one is a hedged request.
    pub is_hedge: bool,
    /// The messages are sent after all messages that are not deferred.
    pub deferred: bool,
    /// The messages were accepted before a restart and have never been attempted; they are sent before all
    /// others.
    pub awaits_first_attempt: bool,
    /// Bits of the priority weight. The weight is zero or more, so the bits have the same order as the
    /// numbers.
    pub priority_weight_bits: u64,
    /// The only zone to which an attempt may go; `None` if all zones are allowed. The inner `None` stands for
    /// the unknown zone of a removed endpoint.
    pub required_zone: Option<Option<u16>>,
}

/// When a message may be sent.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Readiness {
    /// Not before the entry is updated: the message has ended, waits for an earlier message of its ordering
    /// key, or has an attempt in flight and may not be hedged.
    Blocked,
    /// From this time on.
    NotBefore(Micros),
    /// Now; the message waits in this queue.
    Ready(QueueKey),
}

/// Everything that the schedule records about one message.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ScheduleEntry {
    pub readiness: Readiness,
    pub accepted_at: Micros,
    /// For an open message: its deadline, and the time from which it cannot be sent any more.
    pub expiry: Option<(Micros, Micros)>,
    /// An attempt is in flight.
    pub in_flight: bool,
    pub destination: DestinationId,
    /// Position of the message in the order of shedding.
    pub shedding_order: SheddingOrder,
}

/// Sort key for shedding: whether a message is not deferred, the bits of its priority weight, its time of
/// acceptance, and its id. The message with the smallest key is shed first.
pub(crate) type SheddingOrder = (bool, u64, Micros, MessageId);

/// Phase of a message's urgency by its age; sets the order within a queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum UrgencyPhase {
    /// Up to `OLDEST_FIRST_SHARE` of the latency objective: the oldest message comes first.
    WithinObjective,
    /// Above `OLDEST_FIRST_SHARE`, but still within the latency objective, so that the delivery has its full
    /// value: the oldest message comes first.
    FullValue,
    /// The value decays: the youngest message comes first.
    Decaying,
    /// The value is at its minimum: the oldest message comes first.
    MinimumValue,
}

/// When a blocked queue must be checked again at the latest (`Micros::MAX` if only a change at its
/// destination can unblock it), and whether it must be checked as soon as fewer calls are in flight at slow
/// or ejected scopes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct BlockedUntil {
    pub until: Micros,
    pub by_degraded_load: bool,
}

/// The schedule of all pending messages.
#[derive(Debug, Default)]
pub(crate) struct SendScheduler {
    /// All entries are up to date, except those of the messages in `changed`.
    pub is_current: bool,
    /// Messages whose entry must be updated.
    changed: BTreeSet<MessageId>,
    /// The entry of each message, by which the message is found in the other indexes.
    entries: BTreeMap<MessageId, ScheduleEntry>,
    /// Number of open messages.
    pub open_count: usize,
    /// Deadlines of open messages.
    deadlines: BTreeSet<(Micros, MessageId)>,
    /// Times from which open messages cannot be sent any more.
    unsendable_times: BTreeSet<(Micros, MessageId)>,
    /// Messages that may be sent later, by time.
    delayed: BTreeSet<(Micros, MessageId)>,
    /// Messages with an attempt in flight.
    pub in_flight: BTreeSet<MessageId>,
    /// Open messages of each destination in the order of shedding.
    shedding: BTreeMap<DestinationId, BTreeSet<SheddingOrder>>,
    /// Messages that may be sent now, by time of acceptance.
    queues: BTreeMap<QueueKey, BTreeSet<(Micros, MessageId)>>,
    /// Queues whose messages the next dispatch pass tries to send; all others are in `blocked_queues`.
    active_queues: BTreeSet<QueueKey>,
    /// Queues that no endpoint admits at present.
    blocked_queues: BTreeMap<QueueKey, BlockedUntil>,
    /// Times at which blocked queues must be checked again.
    wake_times: BTreeSet<(Micros, QueueKey)>,
    /// Blocked queues that must be checked when fewer calls are in flight at slow and ejected scopes.
    blocked_by_degraded_load: BTreeSet<QueueKey>,
    /// Work done so far, in messages, queues and calls handled: a measure of cost that needs no clock.
    pub work_steps: u64,
    /// Calls in flight at each endpoint that has any.
    pub calls_by_endpoint: BTreeMap<EndpointId, usize>,
}

impl SendScheduler {
    /// Marks a message whose entry must be updated.
    pub(crate) fn mark_changed(&mut self, id: MessageId) {
        self.changed.insert(id);
    }

    /// Returns the messages whose entry must be updated, and resets the set.
    pub(crate) fn take_changed(&mut self) -> BTreeSet<MessageId> {
        std::mem::take(&mut self.changed)
    }

    /// Messages that are due to be sent.
    pub(crate) fn due_messages(&mut self, now: Micros) -> Vec<MessageId> {
        self.delayed
            .iter()
            .take_while(|(at, _)| *at <= now)
            .map(|(_, id)| *id)
            .collect()
    }

    /// The next time at which a message is due or, if `include_wake_times`, a blocked queue is checked again.
    pub(crate) fn next_due(&self, include_wake_times: bool) -> Micros {
        let next_delayed = self.delayed.first().map_or(Micros::MAX, |(at, _)| *at);
        let next_wake = self
            .wake_times
            .first()
            .map_or(Micros::MAX, |(at, _)| *at + QUEUE_WAKE_DELAY);
        if include_wake_times {
            next_delayed.min(next_wake)
        } else {
            next_delayed
        }
    }

    /// The earliest deadline of an open message.
    pub(crate) fn first_deadline(&self) -> Option<Micros> {
        self.deadlines.first().map(|(at, _)| *at)
    }

    /// Open messages whose deadline is not after `deadline`, and those that cannot be sent any more at `now`.
    pub(crate) fn undeliverable(
        &self,
        deadline: Micros,
        now: Micros,
    ) -> impl Iterator<Item = MessageId> {
        let until = |set: &BTreeSet<(Micros, MessageId)>, max_time| {
            set.iter()
                .take_while(move |(at, _)| *at <= max_time)
                .map(|(_, id)| *id)
                .collect::<Vec<_>>()
        };
        until(&self.deadlines, deadline)
            .into_iter()
            .chain(until(&self.unsendable_times, now))
    }

    /// Whether the destination has open messages.
    pub(crate) fn has_messages_for(&self, destination: DestinationId) -> bool {
        self.shedding.contains_key(&destination)
    }

    /// Number of open messages for the destination.
    pub(crate) fn pending_count(&self, destination: DestinationId) -> usize {
        self.shedding.get(&destination).map_or(0, BTreeSet::len)
    }

    /// Destinations with open messages, and their messages in the order of shedding.
    pub(crate) fn shedding_candidates(
        &self,
    ) -> impl Iterator<Item = (&DestinationId, &BTreeSet<SheddingOrder>)> {
        self.shedding.iter()
    }

    /// Replaces the entry of a message, or removes it.
    pub(crate) fn update_entry(&mut self, id: MessageId, entry: Option<ScheduleEntry>) {
        self.work_steps += 1;
        if let Some(old) = self.entries.remove(&id) {
            self.remove_entry(id, &old);
        }
        let Some(new) = entry else { return };
        match new.readiness {
            Readiness::Blocked => {}
            Readiness::NotBefore(at) => _ = self.delayed.insert((at, id)),
            Readiness::Ready(queue) => {
                self.queues
                    .entry(queue)
                    .or_default()
                    .insert((new.accepted_at, id));
                if !self.blocked_queues.contains_key(&queue) {
                    self.active_queues.insert(queue);
                }
            }
        }
        if let Some((deadline, unsendable_from)) = new.expiry {
            self.open_count += 1;
            self.deadlines.insert((deadline, id));
            self.shedding
                .entry(new.destination)
                .or_default()
                .insert(new.shedding_order);
            if unsendable_from < Micros::MAX {
                self.unsendable_times.insert((unsendable_from, id));
            }
        }
        if new.in_flight {
            self.in_flight.insert(id);
        }
        self.entries.insert(id, new);
    }

    /// Removes a message from all indexes.
    fn remove_entry(&mut self, id: MessageId, old: &ScheduleEntry) {
        match old.readiness {
            Readiness::Blocked => {}
            Readiness::NotBefore(at) => _ = self.delayed.remove(&(at, id)),
            Readiness::Ready(queue) => {
                if let Some(members) = self.queues.get_mut(&queue) {
                    members.remove(&(old.accepted_at, id));
                    if members.is_empty() {
                        self.queues.remove(&queue);
                        self.activate(&queue);
                        self.active_queues.remove(&queue);
                    }
                }
            }
        }
        if let Some((deadline, unsendable_from)) = old.expiry {
            self.open_count -= 1;
            self.deadlines.remove(&(deadline, id));
            self.unsendable_times.remove(&(unsendable_from, id));
            if let Some(candidates) = self.shedding.get_mut(&old.destination) {
                candidates.remove(&old.shedding_order);
                if candidates.is_empty() {
                    self.shedding.remove(&old.destination);
                }
            }
        }
        self.in_flight.remove(&id);
    }

    /// Marks a queue to be checked.
    fn activate(&mut self, queue: &QueueKey) {
        if let Some(blocked) = self.blocked_queues.remove(queue) {
            self.wake_times.remove(&(blocked.until, *queue));
            self.blocked_by_degraded_load.remove(queue);
        }
        self.active_queues.insert(*queue);
    }

    /// Marks all queues of a destination to be checked, because the state of the destination has changed.
    pub(crate) fn activate_destination(&mut self, destination: DestinationId) {
        for queue in self.queues_of(destination) {
            self.activate(&queue);
        }
    }

    /// All queues of a destination.
    pub(crate) fn queues_of(&self, destination: DestinationId) -> Vec<QueueKey> {
        let first = QueueKey {
            destination,
            class: 0,
            is_hedge: false,
            deferred: false,
            awaits_first_attempt: false,
            priority_weight_bits: 0,
            required_zone: None,
        };
        let belongs_to_destination = |queue: &&QueueKey| queue.destination == destination;
        self.queues
            .range(first..)
            .map(|(queue, _)| queue)
            .take_while(belongs_to_destination)
            .copied()
            .collect()
    }

    /// Marks to be checked: the blocked queues whose wake time has come and, if `degraded_slots_free`, the
    /// queues that were blocked because slow and ejected scopes used all the slots that they may use.
    pub(crate) fn activate_due(&mut self, now: Micros, degraded_slots_free: bool) {
        let mut due_queues: Vec<QueueKey> = self
            .wake_times
            .iter()
            .take_while(|(at, _)| *at <= now)
            .map(|(_, queue)| *queue)
            .collect();
        if degraded_slots_free {
            due_queues.extend(&self.blocked_by_degraded_load);
        }
        due_queues.iter().for_each(|queue| self.activate(queue));
    }

    /// The active queues: those that are not known to be blocked.
    pub(crate) fn active_queues(&self) -> Vec<QueueKey> {
        self.active_queues.iter().copied().collect()
    }

    /// Blocks a queue that no endpoint admits at present.
    pub(crate) fn block(&mut self, queue: QueueKey, blocked: BlockedUntil) {
        self.active_queues.remove(&queue);
        self.blocked_queues.insert(queue, blocked);
        if blocked.until < Micros::MAX {
            self.wake_times.insert((blocked.until, queue));
        }
        if blocked.by_degraded_load {
            self.blocked_by_degraded_load.insert(queue);
        }
    }

    pub(crate) fn call_started(&mut self, endpoint: EndpointId) {
        *self.calls_by_endpoint.entry(endpoint).or_default() += 1;
    }

    pub(crate) fn call_ended(&mut self, endpoint: EndpointId) {
        if let Some(calls) = self.calls_by_endpoint.get_mut(&endpoint) {
            *calls -= 1;
            if *calls == 0 {
                self.calls_by_endpoint.remove(&endpoint);
            }
        }
    }

    /// Calls in flight at an endpoint.
    pub(crate) fn calls_to(&self, endpoint: EndpointId) -> usize {
        self.calls_by_endpoint.get(&endpoint).copied().unwrap_or(0)
    }
}

/// A message that may be sent now, with the values that set its place in the order of sending. A
/// [`DispatchPass`] holds at most one per queue: the most urgent message that the pass has not returned yet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct QueueHead {
    pub urgency: f64,
    pub accepted_at: Micros,
    pub id: MessageId,
    pub queue: QueueKey,
}

impl Eq for QueueHead {}

impl Ord for QueueHead {
    /// The message to be sent first is the greatest.
    fn cmp(&self, other: &Self) -> Ordering {
        let rank = |head: &QueueHead| (head.queue.awaits_first_attempt, !head.queue.deferred);
        rank(self)
            .cmp(&rank(other))
            .then(self.urgency.total_cmp(&other.urgency))
            .then((other.accepted_at, other.id).cmp(&(self.accepted_at, self.id)))
    }
}

impl PartialOrd for QueueHead {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

/// Iterates over a queue in the order of urgency: phase by phase, in the order of [`UrgencyPhase`].
#[derive(Debug, Clone, Copy)]
struct QueueCursor {
    phase: UrgencyPhase,
    last_returned: Option<(Micros, MessageId)>,
    /// Messages accepted from this time on are in the phase [`UrgencyPhase::WithinObjective`].
    within_objective_from: Micros,
    /// Messages accepted from this time on have their full value.
    full_value_from: Micros,
    /// Messages accepted up to this time are at their minimum value.
    minimum_value_until: Micros,
}

impl QueueCursor {
    fn new(
        members: &BTreeSet<(Micros, MessageId)>,
        phase_of: impl Fn(Micros) -> UrgencyPhase,
    ) -> Self {
        let (oldest, newest) = (
            members.first().map_or(0, |message| message.0),
            members.last().map_or(0, |message| message.0),
        );
        let within_objective_from = first_accepted_where(oldest, newest + 1, |accepted_at| {
            phase_of(accepted_at) == UrgencyPhase::WithinObjective
        });
        let full_value_from = first_accepted_where(oldest, within_objective_from, |accepted_at| {
            phase_of(accepted_at) <= UrgencyPhase::FullValue
        });
        let minimum_value_until = first_accepted_where(oldest, newest + 1, |accepted_at| {
            phase_of(accepted_at) != UrgencyPhase::MinimumValue
        }) - 1;
        QueueCursor {
            phase: UrgencyPhase::WithinObjective,
            last_returned: None,
            within_objective_from,
            full_value_from,
            minimum_value_until,
        }
    }

    fn next(&mut self, members: &BTreeSet<(Micros, MessageId)>) -> Option<(Micros, MessageId)> {
        const MIN_ID: MessageId = MessageId(0);
        const MAX_ID: MessageId = MessageId(u64::MAX);
        let after = |entry: (Micros, MessageId)| {
            (
                std::ops::Bound::Excluded(entry),
                std::ops::Bound::<(Micros, MessageId)>::Unbounded,
            )
        };
        let next = match (self.phase, self.last_returned) {
            (UrgencyPhase::WithinObjective, None) => {
                members.range((self.within_objective_from, MIN_ID)..).next()
            }
            (UrgencyPhase::WithinObjective, Some(previous)) => {
                members.range(after(previous)).next()
            }
            (UrgencyPhase::FullValue, None) => {
                members.range((self.full_value_from, MIN_ID)..).next()
            }
            (UrgencyPhase::FullValue, Some(previous)) => members.range(after(previous)).next(),
            (UrgencyPhase::Decaying, previous) => {
                let same_time = previous.and_then(|previous| {
                    members
                        .range(after(previous))
                        .next()
                        .filter(|message| message.0 == previous.0)
                });
                let end = previous.map_or(self.full_value_from, |previous| previous.0);
                let earlier = || {
                    let accepted_at = members.range(..(end, MIN_ID)).next_back()?.0;
                    members
                        .range((accepted_at, MIN_ID)..)
                        .next()
                        .filter(|message| message.0 > self.minimum_value_until)
                };
                same_time.or_else(earlier)
            }
            (UrgencyPhase::MinimumValue, None) => members.first(),
            (UrgencyPhase::MinimumValue, Some(previous)) => members.range(after(previous)).next(),
        };
        let end = match self.phase {
            UrgencyPhase::WithinObjective | UrgencyPhase::Decaying => (Micros::MAX, MAX_ID),
            UrgencyPhase::FullValue => (self.within_objective_from - 1, MAX_ID),
            UrgencyPhase::MinimumValue => (self.minimum_value_until, MAX_ID),
        };
        let next = next.copied().filter(|message| *message <= end);
        if next.is_some() {
            self.last_returned = next;
            return next;
        }
        self.phase = match self.phase {
            UrgencyPhase::WithinObjective => UrgencyPhase::FullValue,
            UrgencyPhase::FullValue => UrgencyPhase::Decaying,
            UrgencyPhase::Decaying => UrgencyPhase::MinimumValue,
            UrgencyPhase::MinimumValue => return None,
        };
        self.last_returned = None;
        self.next(members)
    }
}

/// Binary search for the earliest time from `low` on at which `holds` is true; `high` if there is none before
/// it. If `holds` is true for one time, it must be true for all later times.
fn first_accepted_where(
    mut low: Micros,
    mut high: Micros,
    holds: impl Fn(Micros) -> bool,
) -> Micros {
    while low < high {
        let middle = low + (high - low) / 2;
        if holds(middle) {
            high = middle;
        } else {
            low = middle + 1;
        }
    }
    low
}

/// Iterates over the messages of the active queues, the most urgent message first, to find those that can be
/// sent now.
#[derive(Debug, Default)]
pub(crate) struct DispatchPass {
    heads: BinaryHeap<QueueHead>,
    /// Queues that have a message in `heads`.
    queues_with_head: BTreeSet<QueueKey>,
    cursors: BTreeMap<QueueKey, QueueCursor>,
}

impl DispatchPass {
    /// Removes and returns the most urgent message.
    pub(crate) fn pop(&mut self) -> Option<QueueHead> {
        let head = self.heads.pop()?;
        self.queues_with_head.remove(&head.queue);
        Some(head)
    }

    /// Adds the next message of a queue, unless the pass already contains a message of this queue. If `after`
    /// is given, messages that come before it in the order of sending are skipped.
    pub(crate) fn push(
        &mut self,
        scheduler: &SendScheduler,
        queue: QueueKey,
        after: Option<&QueueHead>,
        phase_of: impl Fn(Micros) -> UrgencyPhase,
        urgency: impl Fn(MessageId) -> f64,
    ) {
        let Some(members) = scheduler
            .queues
            .get(&queue)
            .filter(|_| !self.queues_with_head.contains(&queue))
        else {
            return;
        };
        let cursor = self
            .cursors
            .entry(queue)
            .or_insert_with(|| QueueCursor::new(members, phase_of));
        while let Some((accepted_at, id)) = cursor.next(members) {
            let head = QueueHead {
                urgency: urgency(id),
                accepted_at,
                id,
                queue,
            };
            if after.is_none_or(|after| head < *after) {
                self.heads.push(head);
                self.queues_with_head.insert(queue);
                return;
            }
        }
    }
}
