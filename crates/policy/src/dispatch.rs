//! Dispatches the messages that may be sent, and keeps the schedule up to date. Which endpoint a message goes
//! to, and whether and in which order messages are sent, is decided in `decide.rs`.

use crate::decide::DEADLINE_MARGIN;
use crate::interface::Action;
use crate::interface::{DestinationId, Effect, EndpointId, MILLISECOND, MessageId, Micros};
use crate::scheduler::{
    DispatchPass, QUEUE_WAKE_DELAY, QueueHead, QueueKey, Readiness, ScheduleEntry,
};
use crate::state::Sender;
use crate::state::{HealthScope, PendingMessage};
use std::collections::BTreeMap;

/// Calls that the current turn has opened, by endpoint.
type OpenCalls = BTreeMap<EndpointId, u64>;

impl Sender {
    /// Rebuilds the schedule from the messages if it is not current or incremental scheduling is off;
    /// otherwise only updates changed entries.
    pub(crate) fn rebuild_schedule(&mut self) {
        if self.scheduler.is_current && self.incremental_scheduling {
            return self.update_changed_entries();
        }
        let previous = std::mem::take(&mut self.scheduler);
        (self.scheduler.is_current, self.scheduler.work_steps) = (true, previous.work_steps);
        self.calls
            .values()
            .for_each(|call| self.scheduler.call_started(call.endpoint));
        self.messages
            .keys()
            .for_each(|&id| self.scheduler.mark_changed(id));
        self.update_changed_entries();
    }

    /// Updates the schedule entries of changed messages.
    pub(crate) fn update_changed_entries(&mut self) {
        for id in self.scheduler.take_changed() {
            let entry = self
                .messages
                .get(&id)
                .map(|message| self.schedule_entry(id, message));
            self.scheduler.update_entry(id, entry);
        }
    }

    /// The entry of a message in the schedule.
    fn schedule_entry(&self, id: MessageId, message: &PendingMessage) -> ScheduleEntry {
        let key_queue = message.key.and_then(|key| self.key_queues.get(&key));
        let is_next_of_key =
            key_queue.is_none_or(|key_queue| key_queue.messages.front() == Some(&id));
        let in_flight = message.has_attempt_in_flight();
        let key_blocked_until = key_queue
            .filter(|_| message.attempts.is_empty())
            .map_or(0, |key_queue| key_queue.blocked_until);
        let send_at = if in_flight {
            message.hedge_at
        } else {
            message.retry_at.max(key_blocked_until)
        };
        let (class, destination, deferred, priority_weight_bits) = (
            message.class,
            message.destination,
            message.deferred,
            message.priority_weight.to_bits(),
        );
        let queue_key = || {
            let (awaits_first_attempt, required_zone) =
                (message.awaits_first_attempt(), self.required_zone(message));
            QueueKey {
                destination,
                class,
                is_hedge: in_flight,
                deferred,
                awaits_first_attempt,
                priority_weight_bits,
                required_zone,
            }
        };
        let readiness = match send_at {
            _ if !message.open || !is_next_of_key || send_at == Micros::MAX => Readiness::Blocked,
            send_at if send_at > self.now => Readiness::NotBefore(send_at),
            _ => Readiness::Ready(queue_key()),
        };
        let expiry = message
            .open
            .then(|| (message.deadline, self.unsendable_from(message)));
        ScheduleEntry {
            readiness,
            accepted_at: message.accepted_at,
            expiry,
            in_flight,
            destination,
            shedding_order: (!deferred, priority_weight_bits, message.accepted_at, id),
        }
    }

    /// The only zone to which attempts of a message may still go; `None` if all zones are allowed. A repeat
    /// must go to endpoints that know the idempotency key of the earlier attempt. The inner `None` means that
    /// the zone of the earlier attempt is unknown, so that no endpoint is allowed.
    fn required_zone(&self, message: &PendingMessage) -> Option<Option<u16>> {
        match self
            .settings
            .classes
            .get(message.class)
            .map(|class| class.effect)
        {
            Some(Effect::Keyed {
                zone_only: true, ..
            }) => {
                let attempt = message.possibly_executed_attempts(usize::MAX).next()?;
                Some(self.zone_of(attempt.endpoint))
            }
            _ => None,
        }
    }

    /// The health scope of each serving endpoint of a destination; `None` where the scope has no full state,
    /// because it has not been used yet or is compacted.
    pub(crate) fn scopes_of(
        &self,
        destination: DestinationId,
    ) -> impl Iterator<Item = Option<&HealthScope>> {
        let ids = self
            .endpoints_by_destination
            .get(&destination)
            .into_iter()
            .flatten();
        let serving = ids.filter(|id| {
            self.endpoints
                .get(id)
                .is_some_and(|endpoint| endpoint.serving)
        });
        serving.map(|id| self.scopes.get(&self.scope_of(*id)))
    }

    /// Maximum number of messages in one call to a destination.
    pub(crate) fn batch_size_for(&self, destination: DestinationId) -> usize {
        let first = self
            .endpoints_by_destination
            .get(&destination)
            .and_then(|ids| ids.first());
        let kind = first
            .and_then(|id| self.endpoints.get(id))
            .and_then(|endpoint| self.settings.kinds.get(endpoint.kind));
        kind.map_or(1, |kind| kind.max_batch_size.max(1))
    }

    /// Whether an endpoint is in a zone; false if either zone is unknown.
    pub(crate) fn is_in_zone(&self, endpoint: EndpointId, zone: Option<u16>) -> bool {
        zone.is_some() && zone == self.zone_of(endpoint)
    }

    /// The zone of an endpoint; `None` if the sender has no state of the endpoint. An endpoint that is no
    /// longer listed keeps its state while a pending message has an attempt at it.
    pub(crate) fn zone_of(&self, endpoint: EndpointId) -> Option<u16> {
        self.endpoints
            .get(&endpoint)
            .map(|endpoint_state| endpoint_state.zone)
    }

    /// Sends the messages that are due, as far as the limits allow, and computes when the next message, check
    /// of a blocked queue or deadline is due.
    pub(crate) fn dispatch_due(&mut self, actions: &mut Vec<Action>) {
        for id in self.scheduler.due_messages(self.now) {
            self.scheduler.mark_changed(id);
        }
        self.update_changed_entries();
        let degraded_calls = self.calls.values().filter(|call| {
            self.scopes
                .get(&call.scope)
                .is_some_and(HealthScope::is_degraded)
        });
        self.degraded_calls = degraded_calls.count();
        self.scheduler.work_steps += (self.calls.len() + self.scheduler.in_flight.len()) as u64;
        self.scheduler
            .activate_due(self.now, !self.degraded_slots_full());
        if self.incremental_scheduling {
            self.dispatch_from_queues(actions);
        } else {
            self.dispatch_by_full_scan(actions);
        }
        self.update_changed_entries();
        self.next_due_at = self
            .next_due_at
            .min(self.scheduler.next_due(!self.all_slots_used()));
        if let Some(deadline) = self.scheduler.first_deadline() {
            self.next_due_at = self.next_due_at.min(deadline - DEADLINE_MARGIN);
        }
    }

    /// Sends messages of the active queues, the most urgent first, and blocks queues that no endpoint admits.
    fn dispatch_from_queues(&mut self, actions: &mut Vec<Action>) {
        let (mut open_calls, mut pass) = (OpenCalls::new(), DispatchPass::default());
        for queue in self.scheduler.active_queues() {
            self.push_head(&mut pass, queue, None);
        }
        while let Some(head) = pass.pop() {
            let queue = head.queue;
            self.scheduler.work_steps += 1;
            if queue.is_hedge && self.hedge_slots_full() {
                continue;
            }
            if self.all_slots_used() && !open_calls.values().any(|&call| self.has_batch_room(call))
            {
                break;
            }
            if let Some((endpoint, joined)) = self.select_endpoint(head.id, &open_calls) {
                self.send(
                    head.id,
                    endpoint,
                    joined,
                    queue.is_hedge,
                    &mut open_calls,
                    actions,
                );
                if joined.is_none() {
                    // The new call may take more messages, including those of queues that were skipped
                    // before.
                    for other in self.scheduler.queues_of(queue.destination) {
                        self.push_head(&mut pass, other, Some(&head));
                    }
                }
            } else if !self.can_join_open_call(queue.destination, &open_calls)
                && self.blocked_until(&queue).is_some()
            {
                continue;
            }
            self.push_head(&mut pass, queue, None);
        }
        if !self.all_slots_used() {
            self.update_changed_entries();
            for queue in self.scheduler.active_queues() {
                self.scheduler.work_steps += 1;
                if let Some(blocked) = self.blocked_until(&queue) {
                    self.scheduler.block(queue, blocked);
                }
            }
        }
    }

    /// Produces exactly the same actions as `dispatch_from_queues`, but checks every message. It is used if
    /// incremental scheduling is off.
    fn dispatch_by_full_scan(&mut self, actions: &mut Vec<Action>) {
        let mut open_calls = OpenCalls::new();
        let ready = self.messages.iter().filter_map(|(&id, message)| {
            match self.schedule_entry(id, message).readiness {
                Readiness::Ready(queue) => Some(QueueHead {
                    urgency: self.dispatch_order(message),
                    accepted_at: message.accepted_at,
                    id,
                    queue,
                }),
                _ => None,
            }
        });
        let mut ready: Vec<QueueHead> = ready.collect();
        ready.sort_by(|a, b| b.cmp(a));
        let mut unsent = Vec::new();
        for head in ready {
            let hedge_slots_full = head.queue.is_hedge && self.hedge_slots_full();
            let endpoint_and_call = if hedge_slots_full {
                None
            } else {
                self.select_endpoint(head.id, &open_calls)
            };
            match endpoint_and_call {
                Some((endpoint, joined)) => {
                    self.send(
                        head.id,
                        endpoint,
                        joined,
                        head.queue.is_hedge,
                        &mut open_calls,
                        actions,
                    );
                }
                None => unsent.push(head),
            }
        }
        if self.all_slots_used() {
            return;
        }
        for head in unsent {
            let until = self
                .blocked_until(&head.queue)
                .map_or(Micros::MAX, |blocked| blocked.until);
            self.next_due_at = self.next_due_at.min(until.saturating_add(QUEUE_WAKE_DELAY));
        }
    }

    /// Requests an alarm for `next_due_at` or the next subscription to the endpoint list, whichever is
    /// earlier, unless an alarm for that time or an earlier one is pending.
    pub(crate) fn set_alarm(&mut self, actions: &mut Vec<Action>) {
        let at = self
            .next_due_at
            .min(self.list_retry_at.unwrap_or(Micros::MAX))
            .max(self.now + MILLISECOND);
        if at < self.alarm {
            self.alarm = at;
            actions.push(Action::SetAlarm(at));
        }
    }

    /// Adds the next message of a queue to the pass; if `after` is given, only a message that comes after it.
    fn push_head(&self, pass: &mut DispatchPass, queue: QueueKey, after: Option<&QueueHead>) {
        let phase_of = |accepted_at| self.urgency_phase(&queue, accepted_at);
        let urgency = |id| {
            self.messages
                .get(&id)
                .map_or(0.0, |message| self.dispatch_order(message))
        };
        pass.push(&self.scheduler, queue, after, phase_of, urgency);
    }

    /// Sort key of messages that have the same rank in the order of [`QueueHead`]; the message with the
    /// largest key is sent first. Messages that wait for their first attempt since a restart are sorted by
    /// deadline, all others by urgency.
    fn dispatch_order(&self, message: &PendingMessage) -> f64 {
        if message.awaits_first_attempt() {
            -(message.deadline as f64)
        } else {
            self.urgency(message)
        }
    }

    /// Whether a call may carry one more message.
    pub(crate) fn has_batch_room(&self, call: u64) -> bool {
        let Some(call) = self.calls.get(&call) else {
            return false;
        };
        let kind = self
            .endpoints
            .get(&call.endpoint)
            .and_then(|endpoint| self.settings.kinds.get(endpoint.kind));
        call.batch_size < kind.map_or(1, |kind| kind.max_batch_size)
    }

    /// Whether the calls in flight use all call slots.
    fn all_slots_used(&self) -> bool {
        self.calls.len() >= self.settings.call_slots
    }

    /// Whether a call that this turn has opened to the destination may carry more messages.
    fn can_join_open_call(&self, destination: DestinationId, open_calls: &OpenCalls) -> bool {
        let ids = self
            .endpoints_by_destination
            .get(&destination)
            .into_iter()
            .flatten();
        ids.filter_map(|id| open_calls.get(id))
            .any(|&call| self.has_batch_room(call))
    }
}
