//! One way through all that may be sent, and how the agenda follows the messages. It decides nothing: which endpoint,
//! whether at all and in which order is asked of `decide.rs`.

use crate::decide::MARGIN;
use crate::interface::Action;
use crate::interface::{DestinationId, Effect, EndpointId, MILLISECOND, MessageId, Micros};
use crate::scheduler::{Head, LATE, Lane, Pass, Place, Stand};
use crate::state::Sender;
use crate::state::{Held, Unit};
use std::collections::BTreeMap;

type Opened = BTreeMap<EndpointId, u64>;

impl Sender {
    /// Makes the agenda anew where it does not follow the messages.
    pub(crate) fn make_books(&mut self) {
        if self.agenda.built && self.shortcuts {
            return self.file_touched();
        }
        let old = std::mem::take(&mut self.agenda);
        (self.agenda.built, self.agenda.steps) = (true, old.steps);
        self.calls
            .values()
            .for_each(|call| self.agenda.call_began(call.endpoint));
        self.messages.keys().for_each(|&id| self.agenda.touch(id));
        self.file_touched();
    }

    /// Files the messages about which something has changed.
    pub(crate) fn file_touched(&mut self) {
        for id in self.agenda.touched() {
            let place = self.messages.get(&id).map(|held| self.place(id, held));
            self.agenda.file(id, place);
        }
    }

    fn place(&self, id: MessageId, held: &Held) -> Place {
        let line = held.key.and_then(|key| self.keys.get(&key));
        let turn = line.is_none_or(|line| line.turn.front() == Some(&id));
        let out = held.is_out();
        let rest = line
            .filter(|_| held.attempts.is_empty())
            .map_or(0, |line| line.rest_until);
        let at = if out {
            held.copy_at
        } else {
            held.retry_at.max(rest)
        };
        let (class, destination, later, worth) = (
            held.class,
            held.destination,
            held.later,
            held.worth.to_bits(),
        );
        let lane = || {
            let (owed, bound) = (held.owes_call(), self.bound(held));
            Lane {
                destination,
                class,
                copy: out,
                later,
                owed,
                worth,
                bound,
            }
        };
        let stand = match at {
            _ if !held.open || !turn || at == Micros::MAX => Stand::Nowhere,
            at if at > self.now => Stand::At(at),
            _ => Stand::Lane(lane()),
        };
        let ends = held.open.then(|| (held.deadline, self.spent_at(held)));
        Place {
            stand,
            born: held.born,
            ends,
            out,
            destination,
            shed: (!later, worth, held.born, id),
        }
    }

    /// The only zone to which attempts of a message may still go.
    fn bound(&self, held: &Held) -> Option<Option<u16>> {
        match self
            .settings
            .classes
            .get(held.class)
            .map(|class| class.effect)
        {
            Some(Effect::Keyed {
                zone_only: true, ..
            }) => {
                let risky = held.at_risk(usize::MAX).next()?;
                Some(self.zone_of(risky.endpoint))
            }
            _ => None,
        }
    }

    /// What is known of each endpoint's unit, of those at a destination that take calls.
    pub(crate) fn units_at(
        &self,
        destination: DestinationId,
    ) -> impl Iterator<Item = Option<&Unit>> {
        let ids = self.routes.get(&destination).into_iter().flatten();
        let serving = ids.filter(|id| self.endpoints.get(id).is_some_and(|known| known.serving));
        serving.map(|id| self.units.get(&self.unit_of(*id)))
    }

    /// Messages that one call to a destination may carry.
    pub(crate) fn call_room(&self, destination: DestinationId) -> usize {
        let first = self.routes.get(&destination).and_then(|ids| ids.first());
        let kind = first
            .and_then(|id| self.endpoints.get(id))
            .and_then(|known| self.settings.kinds.get(known.kind));
        kind.map_or(1, |kind| kind.max_batch_size.max(1))
    }

    /// Whether an endpoint is known to be in a zone.
    pub(crate) fn lies_in(&self, endpoint: EndpointId, zone: Option<u16>) -> bool {
        zone.is_some() && zone == self.zone_of(endpoint)
    }

    /// The zone of an endpoint, if it is listed.
    pub(crate) fn zone_of(&self, endpoint: EndpointId) -> Option<u16> {
        self.endpoints.get(&endpoint).map(|known| known.zone)
    }

    pub(crate) fn send_due(&mut self, actions: &mut Vec<Action>) {
        for id in self.agenda.come_due(self.now) {
            self.agenda.touch(id);
        }
        self.file_touched();
        let burdens = self
            .calls
            .values()
            .filter(|call| self.units.get(&call.unit).is_some_and(Unit::is_burden));
        self.burdens = burdens.count();
        self.agenda.steps += (self.calls.len() + self.agenda.out.len()) as u64;
        self.agenda.wake_due(self.now, !self.burden_full());
        if self.shortcuts {
            self.send_by_lanes(actions);
        } else {
            self.send_by_walk(actions);
        }
        self.file_touched();
        self.due = self.due.min(self.agenda.next(!self.slots_full()));
        if let Some(deadline) = self.agenda.first_deadline() {
            self.due = self.due.min(deadline - MARGIN);
        }
    }

    /// Sends what the lanes that are awake have, the most urgent first, and lets those sleep that are closed.
    fn send_by_lanes(&mut self, actions: &mut Vec<Action>) {
        let (mut opened, mut pass) = (Opened::new(), Pass::default());
        for lane in self.agenda.awake() {
            self.push(&mut pass, lane, None);
        }
        while let Some(head) = pass.pop() {
            let lane = head.lane;
            self.agenda.steps += 1;
            if lane.copy && self.copies_full() {
                continue;
            }
            if self.slots_full() && !opened.values().any(|&call| self.has_room(call)) {
                break;
            }
            if let Some((endpoint, joined)) = self.pick(head.id, &opened) {
                self.send(head.id, endpoint, joined, lane.copy, &mut opened, actions);
                if joined.is_none() {
                    // a call that is open may take more
                    for other in self.agenda.lanes_of(lane.destination) {
                        self.push(&mut pass, other, Some(&head));
                    }
                }
            } else if !self.joins(lane.destination, &opened) && self.closed(&lane).is_some() {
                continue;
            }
            self.push(&mut pass, lane, None);
        }
        if !self.slots_full() {
            self.file_touched();
            for lane in self.agenda.awake() {
                self.agenda.steps += 1;
                if let Some(closed) = self.closed(&lane) {
                    self.agenda.sleep(lane, closed);
                }
            }
        }
    }

    /// The same by a look at each message: what `send_by_lanes` must do, action for action.
    fn send_by_walk(&mut self, actions: &mut Vec<Action>) {
        let mut opened = Opened::new();
        let ready =
            self.messages
                .iter()
                .filter_map(|(&id, held)| match self.place(id, held).stand {
                    Stand::Lane(lane) => Some(Head {
                        urgency: self.order(held),
                        born: held.born,
                        id,
                        lane,
                    }),
                    _ => None,
                });
        let mut ready: Vec<Head> = ready.collect();
        ready.sort_by(|a, b| b.cmp(a));
        let mut left = Vec::new();
        for head in ready {
            let full = head.lane.copy && self.copies_full();
            let found = if full {
                None
            } else {
                self.pick(head.id, &opened)
            };
            match found {
                Some((endpoint, joined)) => {
                    self.send(
                        head.id,
                        endpoint,
                        joined,
                        head.lane.copy,
                        &mut opened,
                        actions,
                    );
                }
                None => left.push(head),
            }
        }
        if self.slots_full() {
            return;
        }
        for head in left {
            let until = self
                .closed(&head.lane)
                .map_or(Micros::MAX, |closed| closed.until);
            self.due = self.due.min(until.saturating_add(LATE));
        }
    }

    /// Asks for an alarm when something may be due.
    pub(crate) fn set_alarm(&mut self, actions: &mut Vec<Action>) {
        let at = self
            .due
            .min(self.list_retry.unwrap_or(Micros::MAX))
            .max(self.now + MILLISECOND);
        if at < self.alarm {
            self.alarm = at;
            actions.push(Action::SetAlarm(at));
        }
    }

    fn push(&self, pass: &mut Pass, lane: Lane, after: Option<&Head>) {
        let stage = |born| self.stage(&lane, born);
        let urgency = |id| self.messages.get(&id).map_or(0.0, |held| self.order(held));
        pass.push(&self.agenda, lane, after, stage, urgency);
    }

    /// What comes first within its kind: of those that are owed a call, the one whose time is up first.
    fn order(&self, held: &Held) -> f64 {
        if held.owes_call() {
            -(held.deadline as f64)
        } else {
            self.urgency(held)
        }
    }

    /// True if a call may take one more message.
    pub(crate) fn has_room(&self, call: u64) -> bool {
        let Some(call) = self.calls.get(&call) else {
            return false;
        };
        let kind = self
            .endpoints
            .get(&call.endpoint)
            .and_then(|known| self.settings.kinds.get(known.kind));
        call.size < kind.map_or(1, |kind| kind.max_batch_size)
    }

    fn slots_full(&self) -> bool {
        self.calls.len() >= self.settings.call_slots
    }

    /// True if a call of this turn to the destination may take more.
    fn joins(&self, destination: DestinationId, opened: &Opened) -> bool {
        let ids = self.routes.get(&destination).into_iter().flatten();
        ids.filter_map(|id| opened.get(id))
            .any(|&call| self.has_room(call))
    }
}
