//! The list of endpoints, and what is forgotten when it drops some. It decides nothing.

use crate::decide::LIST_FIRST;
use crate::interface::{
    DestinationId, EndpointEntry, EndpointId, EndpointListKind, EndpointStatus, Micros, SECOND,
};
use crate::state::Sender;
use crate::state::{Endpoint, Unit};
use std::collections::BTreeSet;

/// A destination is known for so long after its last endpoint has gone: longer bridges replacements of all
/// endpoints at once, shorter tells clients sooner.
const LISTED_KEPT: Micros = 60 * SECOND;

impl Sender {
    /// Takes news of the list in. It costs what they name, a whole list what it holds.
    pub(crate) fn learn_list(&mut self, listing: EndpointListKind, entries: &[EndpointEntry]) {
        if listing != EndpointListKind::Cached {
            self.list_rest = LIST_FIRST;
        }
        if listing != EndpointListKind::Changes {
            self.agenda.built = false;
            self.endpoints
                .values_mut()
                .for_each(|known| known.serving = false);
            self.leaving.extend(self.endpoints.keys());
        }
        for entry in entries {
            let (destination, zone, kind) = (entry.destination, entry.zone, entry.kind);
            let new = || Endpoint {
                destination,
                zone,
                kind,
                since: self.now,
                ..Endpoint::default()
            };
            let known = self.endpoints.entry(entry.endpoint).or_insert_with(new);
            let moved = (known.destination, known.kind) != (entry.destination, entry.kind);
            let old = known.destination;
            // what keyed messages are bound to may have changed
            self.agenda.built &= known.zone == entry.zone;
            self.agenda.stir(entry.destination);
            (known.destination, known.zone, known.kind) = (destination, zone, kind);
            known.serving = entry.status == EndpointStatus::Serving;
            if !known.serving {
                self.leaving.insert(entry.endpoint);
            }
            if moved {
                self.leave(old, entry.endpoint);
            }
            self.routes
                .entry(entry.destination)
                .or_default()
                .insert(entry.endpoint);
            self.listed.insert(entry.destination, self.now);
            let id = self.unit_of(entry.endpoint);
            let told = self.settings.weight_trust * entry.weight / f64::from(self.settings.senders);
            self.rouse_held(destination);
            // of one that is never called there is nothing to know
            if told > 0.0 || self.units.contains_key(&id) {
                let unit = self.unit(id);
                (unit.share, unit.best_rate) = (told, unit.best_rate.max(told));
                self.settle(id);
            }
        }
        self.forget_gone();
        self.make_books();
    }

    /// An endpoint is no way to the destination any more.
    fn leave(&mut self, destination: DestinationId, id: EndpointId) {
        let routes = self.routes.get_mut(&destination);
        if routes.is_some_and(|routes| routes.remove(&id) && routes.is_empty()) {
            self.routes.remove(&destination);
            self.listed.insert(destination, self.now);
            self.unlisted.insert((self.now, destination));
        }
        self.unused
            .extend([(destination, Some(id)), (destination, None)]);
        self.agenda.stir(destination);
    }

    /// Forgets endpoints that are gone and that no held message tried, then destinations and units that have none left. It
    /// costs what has gone, not what is listed.
    pub(crate) fn forget_gone(&mut self) {
        let (now, leaving) = (self.now, std::mem::take(&mut self.leaving));
        let tried: BTreeSet<EndpointId> = match leaving.is_empty() {
            true => BTreeSet::new(),
            false => {
                let attempts = self.messages.values().flat_map(|message| &message.attempts);
                attempts.map(|attempt| attempt.endpoint).collect()
            }
        };
        for id in leaving {
            let Some(known) = self.endpoints.get(&id).filter(|known| !known.serving) else {
                continue;
            };
            if tried.contains(&id) {
                self.leaving.insert(id);
                continue;
            }
            let destination = known.destination;
            self.endpoints.remove(&id);
            self.leave(destination, id);
        }
        while let Some((at, destination)) = self.unlisted.first().copied() {
            if now - at < LISTED_KEPT {
                break;
            }
            self.unlisted.pop_first();
            if !self.routes.contains_key(&destination) && self.listed.get(&destination) == Some(&at)
            {
                self.listed.remove(&destination);
            }
        }
        for id in std::mem::take(&mut self.unused) {
            let routes = self.routes.get(&id.0);
            if routes.is_some_and(|ids| id.1.is_none_or(|endpoint| ids.contains(&endpoint))) {
                continue;
            }
            let bound = |unit: &Unit| unit.in_flight > 0 || unit.wait_until > now;
            if self.units.get(&id).is_some_and(bound)
                || self
                    .dormant
                    .get(&id)
                    .is_some_and(|packed| packed.wait_until() > now)
            {
                self.unused.insert(id);
            } else {
                self.units.remove(&id);
                self.dormant.remove(&id);
            }
        }
    }
}
