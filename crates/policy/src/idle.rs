//! Units that have had no call for long are packed, and unpacked before anything asks for them: one that is packed has
//! neither a call out nor an open message. How far old knowledge holds is decided in the package `idle-state`.

use crate::interface::{DestinationId, EndpointId, Micros, SECOND};
use crate::state::Sender;
use crate::state::{Flow, Health, Unit, UnitId};
use milletturn_idle_state::{CompactState, DestinationState, initial_limits};
use std::ops::Bound;

/// A unit is packed when its last call was so long ago: far beyond all spans by which single latencies and times of
/// service count. Shorter saves memory after a wave of calls, longer keeps their detail.
const IDLE: Micros = 300 * SECOND;
/// Units looked at in a turn. Two follow a list that grows by one a turn, and cost no turn a pause.
const LOOKS: usize = 2;

impl Sender {
    /// What an endpoint's health, waits and limits belong to.
    pub(crate) fn unit_of(&self, endpoint: EndpointId) -> UnitId {
        let Some(known) = self.endpoints.get(&endpoint) else {
            return (0, Some(endpoint));
        };
        let apart = self
            .settings
            .kinds
            .get(known.kind)
            .is_some_and(|kind| kind.separate_routes);
        (known.destination, apart.then_some(endpoint))
    }

    /// Packs units that have been idle for long: a few are looked at in each turn, in a circle.
    pub(crate) fn rest_idle(&mut self) {
        for _ in 0..LOOKS {
            let from = self.rested.map_or(Bound::Unbounded, Bound::Excluded);
            let Some((&id, unit)) = self.units.range((from, Bound::Unbounded)).next() else {
                self.rested = None;
                return;
            };
            self.rested = Some(id);
            let idle = unit.in_flight == 0 && self.now - unit.last_sent.max(unit.since) > IDLE;
            if idle && !self.agenda.holds(id.0) {
                self.dormant
                    .insert(id, CompactState::from(&knowledge(unit)));
                self.units.remove(&id);
            }
        }
    }

    /// Makes a unit ready for use, with what was packed or as `new`.
    pub(crate) fn rouse(&mut self, id: UnitId, new: Unit) {
        if self.units.contains_key(&id) {
            return;
        }
        let unit = match self.dormant.remove(&id) {
            Some(packed) => unpacked(&packed.expand(), self.now, self.settings.safety.slow_start),
            None => {
                // an answer may come from what the list has dropped meanwhile
                self.unused.insert(id);
                Unit {
                    since: self.first_listed(id),
                    tokens_at: self.now,
                    ..new
                }
            }
        };
        self.units.insert(id, unit);
        self.settle(id);
    }

    /// Unpacks what is known of a destination, which may be called now.
    pub(crate) fn rouse_all(&mut self, destination: DestinationId) {
        let ends = (destination, None)..=(destination, Some(EndpointId(u32::MAX)));
        let ids: Vec<UnitId> = self.dormant.range(ends).map(|(id, _)| *id).collect();
        ids.into_iter()
            .for_each(|id| self.rouse(id, Unit::fresh(1.0)));
    }

    /// The same, if it has messages.
    pub(crate) fn rouse_held(&mut self, destination: DestinationId) {
        if self.agenda.holds(destination) {
            self.rouse_all(destination);
        }
    }

    fn first_listed(&self, (destination, route): UnitId) -> Micros {
        let since = |id: &EndpointId| self.endpoints.get(id).map(|known| known.since);
        let first = match route {
            Some(id) => since(&id),
            None => self
                .routes
                .get(&destination)
                .into_iter()
                .flatten()
                .filter_map(since)
                .min(),
        };
        first.unwrap_or(self.now)
    }
}

fn knowledge(unit: &Unit) -> DestinationState {
    DestinationState {
        wait_until: unit.wait_until,
        health: unit.health,
        unhealthy_since: unit.ill_since,
        first_seen: unit.since,
        last_sent: unit.last_sent,
        sent: unit.sent,
        announced_limit: unit.told_limit,
        share: unit.share,
        rate: unit.pace,
        best_rate: unit.best_rate,
        window: unit.window,
        typical_latency: unit.usual,
        hedge_after: unit.offset,
        failures: unit.odds.observed_counts(),
        rejections: unit.refusals.observed_counts(),
        outage_evidence: unit.odds.evidence(),
    }
}

fn unpacked(known: &DestinationState, now: Micros, cold: Micros) -> Unit {
    let limits = initial_limits(known, now);
    let mut unit = Unit {
        health: known.health,
        wait_until: known.wait_until,
        // dated half a cold time before its first answer at the most
        warm_at: match known.health {
            Health::Recovering { since } => since + cold * 3 / 2,
            _ => 0,
        },
        ill_since: known.unhealthy_since,
        since: known.first_seen,
        last_sent: known.last_sent,
        sent: known.sent,
        told_limit: known.announced_limit,
        share: known.share,
        pace: limits.rate,
        // what is old is found again as fast as successes allow
        limited: limits.is_fresh && limits.rate.is_finite(),
        best_rate: known.best_rate,
        usual: known.typical_latency,
        offset: known.hedge_after,
        tokens_at: now,
        ..Unit::fresh(limits.window.max(1.0))
    };
    if limits.rate.is_finite() {
        (unit.tokens, unit.flow, unit.burst) = (1.0, Flow::even(limits.rate), 1.0);
    }
    unit.odds.restore(known.failures, known.outage_evidence);
    unit.refusals.restore(known.rejections);
    unit
}
