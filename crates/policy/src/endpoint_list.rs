//! Applies updates of the endpoint list, and removes the state of endpoints, destinations and health scopes
//! that are no longer listed.

use crate::decide::INITIAL_LIST_BACKOFF;
use crate::interface::{
    DestinationId, EndpointEntry, EndpointId, EndpointListKind, EndpointStatus, Micros, SECOND,
};
use crate::state::Sender;
use crate::state::{Endpoint, HealthScope};
use std::collections::BTreeSet;

/// How long a destination stays known after its last endpoint was removed. Longer values allow more time for
/// a replacement of all endpoints, shorter ones reject messages for removed destinations sooner.
const DESTINATION_RETENTION: Micros = 60 * SECOND;

impl Sender {
    /// Applies an update of the endpoint list. The cost depends on the number of entries; a full list also
    /// costs a pass over the known endpoints.
    pub(crate) fn on_endpoint_list(
        &mut self,
        update_kind: EndpointListKind,
        entries: &[EndpointEntry],
    ) {
        if update_kind != EndpointListKind::Cached {
            self.list_retry_backoff = INITIAL_LIST_BACKOFF;
        }
        if update_kind != EndpointListKind::Changes {
            self.scheduler.is_current = false;
            self.endpoints
                .values_mut()
                .for_each(|endpoint_state| endpoint_state.serving = false);
            self.removable_endpoints.extend(self.endpoints.keys());
        }
        for entry in entries {
            let (destination, zone, kind) = (entry.destination, entry.zone, entry.kind);
            let new = || Endpoint {
                destination,
                zone,
                kind,
                first_listed_at: self.now,
                ..Endpoint::default()
            };
            let endpoint_state = self.endpoints.entry(entry.endpoint).or_insert_with(new);
            let moved = (endpoint_state.destination, endpoint_state.kind)
                != (entry.destination, entry.kind);
            let old_destination = endpoint_state.destination;
            // If the zone has changed, the schedule is rebuilt: it contains the zones to which keyed messages
            // are bound.
            self.scheduler.is_current &= endpoint_state.zone == entry.zone;
            self.scheduler.activate_destination(entry.destination);
            (
                endpoint_state.destination,
                endpoint_state.zone,
                endpoint_state.kind,
            ) = (destination, zone, kind);
            endpoint_state.serving = entry.status == EndpointStatus::Serving;
            if !endpoint_state.serving {
                self.removable_endpoints.insert(entry.endpoint);
            }
            if moved {
                self.remove_route(old_destination, entry.endpoint);
            }
            self.endpoints_by_destination
                .entry(entry.destination)
                .or_default()
                .insert(entry.endpoint);
            self.last_listed_at.insert(entry.destination, self.now);
            let scope_id = self.scope_of(entry.endpoint);
            let announced_rate =
                self.settings.weight_trust * entry.weight / f64::from(self.settings.senders);
            self.expand_scopes_if_pending(destination);
            // A scope that has no announced rate needs no state before its first call.
            if announced_rate > 0.0 || self.scopes.contains_key(&scope_id) {
                let scope = self.scope_mut(scope_id);
                (scope.fair_share, scope.best_rate) =
                    (announced_rate, scope.best_rate.max(announced_rate));
                self.settle_scope_tokens(scope_id);
            }
        }
        self.remove_stale_state();
        self.rebuild_schedule();
    }

    /// Removes an endpoint from the endpoints of a destination.
    fn remove_route(&mut self, destination: DestinationId, id: EndpointId) {
        let endpoints = self.endpoints_by_destination.get_mut(&destination);
        if endpoints.is_some_and(|endpoints| endpoints.remove(&id) && endpoints.is_empty()) {
            self.endpoints_by_destination.remove(&destination);
            self.last_listed_at.insert(destination, self.now);
            self.unlisted_destinations.insert((self.now, destination));
        }
        self.removable_scopes
            .extend([(destination, Some(id)), (destination, None)]);
        self.scheduler.activate_destination(destination);
    }

    /// Removes endpoints that are not serving and that no pending message has tried, then destinations and
    /// health scopes without endpoints. The cost depends on what has been removed, not on what is listed.
    pub(crate) fn remove_stale_state(&mut self) {
        let (now, candidates) = (self.now, std::mem::take(&mut self.removable_endpoints));
        let attempted: BTreeSet<EndpointId> = match candidates.is_empty() {
            true => BTreeSet::new(),
            false => {
                let attempts = self.messages.values().flat_map(|message| &message.attempts);
                attempts.map(|attempt| attempt.endpoint).collect()
            }
        };
        for id in candidates {
            let Some(endpoint_state) = self
                .endpoints
                .get(&id)
                .filter(|endpoint_state| !endpoint_state.serving)
            else {
                continue;
            };
            if attempted.contains(&id) {
                self.removable_endpoints.insert(id);
                continue;
            }
            let destination = endpoint_state.destination;
            self.endpoints.remove(&id);
            self.remove_route(destination, id);
        }
        while let Some((since, destination)) = self.unlisted_destinations.first().copied() {
            if now - since < DESTINATION_RETENTION {
                break;
            }
            self.unlisted_destinations.pop_first();
            if !self.endpoints_by_destination.contains_key(&destination)
                && self.last_listed_at.get(&destination) == Some(&since)
            {
                self.last_listed_at.remove(&destination);
            }
        }
        for id in std::mem::take(&mut self.removable_scopes) {
            let listed = self.endpoints_by_destination.get(&id.0);
            if listed.is_some_and(|ids| id.1.is_none_or(|endpoint| ids.contains(&endpoint))) {
                continue;
            }
            let is_in_use =
                |scope: &HealthScope| scope.in_flight > 0 || scope.retry_after_until > now;
            if self.scopes.get(&id).is_some_and(is_in_use)
                || self
                    .idle_scopes
                    .get(&id)
                    .is_some_and(|compact| compact.retry_after_until() > now)
            {
                self.removable_scopes.insert(id);
            } else {
                self.scopes.remove(&id);
                self.idle_scopes.remove(&id);
            }
        }
    }
}
