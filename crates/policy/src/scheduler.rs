//! Where each held message stands, so that a turn touches only what has an event or is due. Books only: what may
//! go and in which order is decided in `decide.rs`.
//!
//! A message that may be sent now stands in a *lane* with others like it; one that may later stands at its time. A lane
//! whose gate was found closed sleeps until something happens at its destination, or until the time that the gate named.

use crate::interface::{DestinationId, EndpointId, MILLISECOND, MessageId, Micros};
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

/// A lane is looked at so long after its gate may open: several tokens that come close together are then taken in one turn.
pub(crate) const LATE: Micros = MILLISECOND;

/// Messages that meet the same gate, and among which age alone sets the order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Lane {
    pub destination: DestinationId,
    pub class: usize,
    /// An attempt is out: this would be a copy.
    pub copy: bool,
    /// All others come first.
    pub later: bool,
    /// A call is owed since before a restart: it comes before all that is not.
    pub owed: bool,
    /// Worth, zero or more, as bits: those of such numbers have their order.
    pub worth: u64,
    /// The only zone where an attempt may go; the inner none is that of an endpoint which is gone.
    pub bound: Option<Option<u16>>,
}

/// When a message may be sent.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Stand {
    /// Not before something happens.
    Nowhere,
    At(Micros),
    Lane(Lane),
}

/// Where a message stands in all books.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Place {
    pub stand: Stand,
    pub born: Micros,
    /// While it is open: when its time is up, and from when on no send can be legal.
    pub ends: Option<(Micros, Micros)>,
    /// An attempt is out.
    pub out: bool,
    pub destination: DestinationId,
    /// Its place among those that are refused first: not resent late, then by worth and age.
    pub shed: Shed,
}

pub(crate) type Shed = (bool, u64, Micros, MessageId);

/// Which part of a lane an age lies in, and how the order goes there.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Stage {
    /// The oldest comes first.
    Young,
    /// All are alike, just before their aim: the oldest comes first.
    Full,
    /// The youngest comes first.
    Late,
    /// All are alike: the oldest comes first.
    Floor,
}

/// A gate that was found closed: until when at the longest, and whether it opens when fewer calls are out at units that
/// fare badly.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Closed {
    pub until: Micros,
    pub burden: bool,
}

#[derive(Debug, Default)]
pub(crate) struct Agenda {
    /// All books are as the messages are, but for those touched.
    pub built: bool,
    touched: BTreeSet<MessageId>,
    places: BTreeMap<MessageId, Place>,
    pub open: usize,
    deadlines: BTreeSet<(Micros, MessageId)>,
    spent: BTreeSet<(Micros, MessageId)>,
    timed: BTreeSet<(Micros, MessageId)>,
    pub out: BTreeSet<MessageId>,
    shed: BTreeMap<DestinationId, BTreeSet<Shed>>,
    lanes: BTreeMap<Lane, BTreeSet<(Micros, MessageId)>>,
    awake: BTreeSet<Lane>,
    asleep: BTreeMap<Lane, Closed>,
    wakes: BTreeSet<(Micros, Lane)>,
    burdened: BTreeSet<Lane>,
    /// Looks taken so far, at messages, lanes and calls: what turns cost, told by no clock.
    pub steps: u64,
    /// Calls in flight at each endpoint that has any.
    pub loads: BTreeMap<EndpointId, usize>,
}

impl Agenda {
    /// Something about the message has changed.
    pub(crate) fn touch(&mut self, id: MessageId) {
        self.touched.insert(id);
    }

    pub(crate) fn touched(&mut self) -> BTreeSet<MessageId> {
        std::mem::take(&mut self.touched)
    }

    /// Messages whose time to be sent has come.
    pub(crate) fn come_due(&mut self, now: Micros) -> Vec<MessageId> {
        self.timed
            .iter()
            .take_while(|(at, _)| *at <= now)
            .map(|(_, id)| *id)
            .collect()
    }

    /// The next time at which a message comes due or, `with_wakes`, a lane wakes.
    pub(crate) fn next(&self, with_wakes: bool) -> Micros {
        let timed = self.timed.first().map_or(Micros::MAX, |(at, _)| *at);
        let wakes = self.wakes.first().map_or(Micros::MAX, |(at, _)| *at + LATE);
        if with_wakes { timed.min(wakes) } else { timed }
    }

    /// The first deadline of an open message.
    pub(crate) fn first_deadline(&self) -> Option<Micros> {
        self.deadlines.first().map(|(at, _)| *at)
    }

    /// Open messages whose deadline is `deadline` or before, or that are spent by `now`.
    pub(crate) fn over(&self, deadline: Micros, now: Micros) -> impl Iterator<Item = MessageId> {
        let until = |set: &BTreeSet<(Micros, MessageId)>, most| {
            set.iter()
                .take_while(move |(at, _)| *at <= most)
                .map(|(_, id)| *id)
                .collect::<Vec<_>>()
        };
        until(&self.deadlines, deadline)
            .into_iter()
            .chain(until(&self.spent, now))
    }

    /// True while an open message is for the destination.
    pub(crate) fn holds(&self, destination: DestinationId) -> bool {
        self.shed.contains_key(&destination)
    }

    /// Open messages for the destination.
    pub(crate) fn held_for(&self, destination: DestinationId) -> usize {
        self.shed.get(&destination).map_or(0, BTreeSet::len)
    }

    /// Destinations with open messages, and these in the order in which they are refused.
    pub(crate) fn shed(&self) -> impl Iterator<Item = (&DestinationId, &BTreeSet<Shed>)> {
        self.shed.iter()
    }

    /// Moves a message from where it stood to where it stands, or out of the books.
    pub(crate) fn file(&mut self, id: MessageId, place: Option<Place>) {
        self.steps += 1;
        if let Some(old) = self.places.remove(&id) {
            self.unfile(id, &old);
        }
        let Some(new) = place else { return };
        match new.stand {
            Stand::Nowhere => {}
            Stand::At(at) => _ = self.timed.insert((at, id)),
            Stand::Lane(lane) => {
                self.lanes.entry(lane).or_default().insert((new.born, id));
                if !self.asleep.contains_key(&lane) {
                    self.awake.insert(lane);
                }
            }
        }
        if let Some((deadline, spent)) = new.ends {
            self.open += 1;
            self.deadlines.insert((deadline, id));
            self.shed
                .entry(new.destination)
                .or_default()
                .insert(new.shed);
            if spent < Micros::MAX {
                self.spent.insert((spent, id));
            }
        }
        if new.out {
            self.out.insert(id);
        }
        self.places.insert(id, new);
    }

    fn unfile(&mut self, id: MessageId, old: &Place) {
        match old.stand {
            Stand::Nowhere => {}
            Stand::At(at) => _ = self.timed.remove(&(at, id)),
            Stand::Lane(lane) => {
                if let Some(members) = self.lanes.get_mut(&lane) {
                    members.remove(&(old.born, id));
                    if members.is_empty() {
                        self.lanes.remove(&lane);
                        self.wake(&lane);
                        self.awake.remove(&lane);
                    }
                }
            }
        }
        if let Some((deadline, spent)) = old.ends {
            self.open -= 1;
            self.deadlines.remove(&(deadline, id));
            self.spent.remove(&(spent, id));
            if let Some(here) = self.shed.get_mut(&old.destination) {
                here.remove(&old.shed);
                if here.is_empty() {
                    self.shed.remove(&old.destination);
                }
            }
        }
        self.out.remove(&id);
    }

    fn wake(&mut self, lane: &Lane) {
        if let Some(closed) = self.asleep.remove(lane) {
            self.wakes.remove(&(closed.until, *lane));
            self.burdened.remove(lane);
        }
        self.awake.insert(*lane);
    }

    /// Something has happened at a destination: its lanes are looked at again.
    pub(crate) fn stir(&mut self, destination: DestinationId) {
        for lane in self.lanes_of(destination) {
            self.wake(&lane);
        }
    }

    /// All lanes of a destination.
    pub(crate) fn lanes_of(&self, destination: DestinationId) -> Vec<Lane> {
        let first = Lane {
            destination,
            class: 0,
            copy: false,
            later: false,
            owed: false,
            worth: 0,
            bound: None,
        };
        let of = |lane: &&Lane| lane.destination == destination;
        self.lanes
            .range(first..)
            .map(|(lane, _)| lane)
            .take_while(of)
            .copied()
            .collect()
    }

    /// Wakes the lanes whose time has come, and with `relieved` those that wait for fewer burdens.
    pub(crate) fn wake_due(&mut self, now: Micros, relieved: bool) {
        let mut due: Vec<Lane> = self
            .wakes
            .iter()
            .take_while(|(at, _)| *at <= now)
            .map(|(_, lane)| *lane)
            .collect();
        if relieved {
            due.extend(&self.burdened);
        }
        due.iter().for_each(|lane| self.wake(lane));
    }

    /// The lanes that are to be looked at.
    pub(crate) fn awake(&self) -> Vec<Lane> {
        self.awake.iter().copied().collect()
    }

    /// A lane's gate was found closed.
    pub(crate) fn sleep(&mut self, lane: Lane, closed: Closed) {
        self.awake.remove(&lane);
        self.asleep.insert(lane, closed);
        if closed.until < Micros::MAX {
            self.wakes.insert((closed.until, lane));
        }
        if closed.burden {
            self.burdened.insert(lane);
        }
    }

    pub(crate) fn call_began(&mut self, endpoint: EndpointId) {
        *self.loads.entry(endpoint).or_default() += 1;
    }

    pub(crate) fn call_ended(&mut self, endpoint: EndpointId) {
        if let Some(load) = self.loads.get_mut(&endpoint) {
            *load -= 1;
            if *load == 0 {
                self.loads.remove(&endpoint);
            }
        }
    }

    /// Calls in flight at an endpoint.
    pub(crate) fn load(&self, endpoint: EndpointId) -> usize {
        self.loads.get(&endpoint).copied().unwrap_or(0)
    }
}

/// The most urgent message of a lane that a pass has not given yet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Head {
    pub urgency: f64,
    pub born: Micros,
    pub id: MessageId,
    pub lane: Lane,
}

impl Eq for Head {}

impl Ord for Head {
    /// The one that comes first is the greatest.
    fn cmp(&self, other: &Self) -> Ordering {
        let rank = |head: &Head| (head.lane.owed, !head.lane.later);
        rank(self)
            .cmp(&rank(other))
            .then(self.urgency.total_cmp(&other.urgency))
            .then((other.born, other.id).cmp(&(self.born, self.id)))
    }
}

impl PartialOrd for Head {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

/// A way through a lane in the order of urgency: the young, those past their aim, those worth no less for waiting.
#[derive(Debug, Clone, Copy)]
struct Cursor {
    stage: Stage,
    last: Option<(Micros, MessageId)>,
    /// Born from here on they are young; before that at their full worth; born up to here they are at the floor.
    young_from: Micros,
    full_from: Micros,
    floor_to: Micros,
}

impl Cursor {
    fn new(members: &BTreeSet<(Micros, MessageId)>, stage: impl Fn(Micros) -> Stage) -> Self {
        let (first, last) = (
            members.first().map_or(0, |m| m.0),
            members.last().map_or(0, |m| m.0),
        );
        let young_from = turning(first, last + 1, |born| stage(born) == Stage::Young);
        let full_from = turning(first, young_from, |born| stage(born) <= Stage::Full);
        let floor_to = turning(first, last + 1, |born| stage(born) != Stage::Floor) - 1;
        Cursor {
            stage: Stage::Young,
            last: None,
            young_from,
            full_from,
            floor_to,
        }
    }

    fn next(&mut self, members: &BTreeSet<(Micros, MessageId)>) -> Option<(Micros, MessageId)> {
        const LEAST: MessageId = MessageId(0);
        const MOST: MessageId = MessageId(u64::MAX);
        let after = |from: (Micros, MessageId)| {
            (
                std::ops::Bound::Excluded(from),
                std::ops::Bound::<(Micros, MessageId)>::Unbounded,
            )
        };
        let found = match (self.stage, self.last) {
            (Stage::Young, None) => members.range((self.young_from, LEAST)..).next(),
            (Stage::Young, Some(last)) => members.range(after(last)).next(),
            (Stage::Full, None) => members.range((self.full_from, LEAST)..).next(),
            (Stage::Full, Some(last)) => members.range(after(last)).next(),
            (Stage::Late, last) => {
                let same = last
                    .and_then(|last| members.range(after(last)).next().filter(|m| m.0 == last.0));
                let end = last.map_or(self.full_from, |last| last.0);
                let earlier = || {
                    let born = members.range(..(end, LEAST)).next_back()?.0;
                    members
                        .range((born, LEAST)..)
                        .next()
                        .filter(|m| m.0 > self.floor_to)
                };
                same.or_else(earlier)
            }
            (Stage::Floor, None) => members.first(),
            (Stage::Floor, Some(last)) => members.range(after(last)).next(),
        };
        let end = match self.stage {
            Stage::Young | Stage::Late => (Micros::MAX, MOST),
            Stage::Full => (self.young_from - 1, MOST),
            Stage::Floor => (self.floor_to, MOST),
        };
        let found = found.copied().filter(|m| *m <= end);
        if found.is_some() {
            self.last = found;
            return found;
        }
        self.stage = match self.stage {
            Stage::Young => Stage::Full,
            Stage::Full => Stage::Late,
            Stage::Late => Stage::Floor,
            Stage::Floor => return None,
        };
        self.last = None;
        self.next(members)
    }
}

/// The first point from `low` on at which `holds` is true, as it is from there on; `high` where it is nowhere.
fn turning(mut low: Micros, mut high: Micros, holds: impl Fn(Micros) -> bool) -> Micros {
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

/// One pass over the lanes that are awake, the most urgent message first.
#[derive(Debug, Default)]
pub(crate) struct Pass {
    heads: BinaryHeap<Head>,
    /// Lanes with a head.
    waiting: BTreeSet<Lane>,
    cursors: BTreeMap<Lane, Cursor>,
}

impl Pass {
    /// The next message.
    pub(crate) fn pop(&mut self) -> Option<Head> {
        let head = self.heads.pop()?;
        self.waiting.remove(&head.lane);
        Some(head)
    }

    /// Puts a lane's next message among the heads, as far as it comes behind `after`.
    pub(crate) fn push(
        &mut self,
        agenda: &Agenda,
        lane: Lane,
        after: Option<&Head>,
        stage: impl Fn(Micros) -> Stage,
        urgency: impl Fn(MessageId) -> f64,
    ) {
        let Some(members) = agenda
            .lanes
            .get(&lane)
            .filter(|_| !self.waiting.contains(&lane))
        else {
            return;
        };
        let cursor = self
            .cursors
            .entry(lane)
            .or_insert_with(|| Cursor::new(members, stage));
        while let Some((born, id)) = cursor.next(members) {
            let head = Head {
                urgency: urgency(id),
                born,
                id,
                lane,
            };
            if after.is_none_or(|after| head < *after) {
                self.heads.push(head);
                self.waiting.insert(lane);
                return;
            }
        }
    }
}
