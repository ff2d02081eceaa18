//! Compacts health scopes that have had no call for a long time, and expands them again before they are
//! used. A compacted scope has no call in flight, and its destination has no open message. How long old
//! observations remain valid is decided in the package `idle-state`.

use crate::interface::{DestinationId, EndpointId, Micros, SECOND};
use crate::state::Sender;
use crate::state::{Health, HealthScope, HealthScopeId, RefillRate};
use milletturn_idle_state::{CompactState, DestinationState, initial_limits};
use std::ops::Bound;

/// A scope is compacted this long after its last call: far beyond all spans for which individual latencies
/// and successes matter. Shorter values save memory after a burst of calls, longer ones keep individual
/// latencies and successes for longer.
const IDLE_AFTER: Micros = 300 * SECOND;
/// Scopes checked per turn. Two keep up with a list that grows by one endpoint per turn, and cost little in
/// each turn.
const SCOPES_CHECKED_PER_TURN: usize = 2;

impl Sender {
    /// The health scope of an endpoint.
    pub(crate) fn scope_of(&self, endpoint: EndpointId) -> HealthScopeId {
        let Some(endpoint_state) = self.endpoints.get(&endpoint) else {
            return (0, Some(endpoint));
        };
        let has_separate_routes = self
            .settings
            .kinds
            .get(endpoint_state.kind)
            .is_some_and(|kind| kind.separate_routes);
        (
            endpoint_state.destination,
            has_separate_routes.then_some(endpoint),
        )
    }

    /// Compacts idle scopes. Each turn checks the next few scopes, in a cycle.
    pub(crate) fn compact_idle_scopes(&mut self) {
        for _ in 0..SCOPES_CHECKED_PER_TURN {
            let after = self
                .idle_scan_position
                .map_or(Bound::Unbounded, Bound::Excluded);
            let Some((&id, scope)) = self.scopes.range((after, Bound::Unbounded)).next() else {
                self.idle_scan_position = None;
                return;
            };
            self.idle_scan_position = Some(id);
            let is_idle = scope.in_flight == 0
                && self.now - scope.last_sent_at.max(scope.first_seen_at) > IDLE_AFTER;
            if is_idle && !self.scheduler.has_messages_for(id.0) {
                self.idle_scopes
                    .insert(id, CompactState::from(&to_destination_state(scope)));
                self.scopes.remove(&id);
            }
        }
    }

    /// Expands a compacted scope, or adds `new` if nothing is known of the scope.
    pub(crate) fn expand_scope(&mut self, id: HealthScopeId, new: HealthScope) {
        if self.scopes.contains_key(&id) {
            return;
        }
        let scope = match self.idle_scopes.remove(&id) {
            Some(compact) => {
                from_destination_state(&compact.expand(), self.now, self.settings.safety.slow_start)
            }
            None => {
                // A response may come from an endpoint that the list no longer names.
                self.removable_scopes.insert(id);
                HealthScope {
                    first_seen_at: self.first_listed_at(id),
                    tokens_updated_at: self.now,
                    ..new
                }
            }
        };
        self.scopes.insert(id, scope);
        self.settle_scope_tokens(id);
    }

    /// Expands the compacted scopes of a destination before it is called.
    pub(crate) fn expand_scopes_of(&mut self, destination: DestinationId) {
        let scope_range = (destination, None)..=(destination, Some(EndpointId(u32::MAX)));
        let ids: Vec<HealthScopeId> = self
            .idle_scopes
            .range(scope_range)
            .map(|(id, _)| *id)
            .collect();
        ids.into_iter()
            .for_each(|id| self.expand_scope(id, HealthScope::new(1.0)));
    }

    /// Expands the compacted scopes of a destination that has open messages.
    pub(crate) fn expand_scopes_if_pending(&mut self, destination: DestinationId) {
        if self.scheduler.has_messages_for(destination) {
            self.expand_scopes_of(destination);
        }
    }

    /// When the list first named an endpoint of a scope.
    fn first_listed_at(&self, (destination, route): HealthScopeId) -> Micros {
        let since = |id: &EndpointId| {
            self.endpoints
                .get(id)
                .map(|endpoint_state| endpoint_state.first_listed_at)
        };
        let first = match route {
            Some(id) => since(&id),
            None => self
                .endpoints_by_destination
                .get(&destination)
                .into_iter()
                .flatten()
                .filter_map(since)
                .min(),
        };
        first.unwrap_or(self.now)
    }
}

/// The part of a scope's state that is kept while the scope is idle.
fn to_destination_state(scope: &HealthScope) -> DestinationState {
    DestinationState {
        retry_after_until: scope.retry_after_until,
        health: scope.health,
        unhealthy_since: scope.unhealthy_since,
        first_seen_at: scope.first_seen_at,
        last_sent_at: scope.last_sent_at,
        calls_sent: scope.calls_sent,
        announced_limit: scope.announced_limit,
        fair_share: scope.fair_share,
        rate_limit: scope.rate_limit,
        best_rate: scope.best_rate,
        concurrency_window: scope.concurrency_window,
        typical_latency: scope.typical_latency,
        hedge_delay: scope.hedge_delay,
        failures: scope.outage_evidence.observed_counts(),
        rejections: scope.rejections.observed_counts(),
        outage_evidence: scope.outage_evidence.evidence(),
    }
}

/// Rebuilds a scope from the state that was kept while it was idle.
fn from_destination_state(
    state: &DestinationState,
    now: Micros,
    slow_start: Micros,
) -> HealthScope {
    let limits = initial_limits(state, now);
    let mut scope = HealthScope {
        health: state.health,
        retry_after_until: state.retry_after_until,
        // At most half a slow start lies between the assumed start of the recovery and its first success.
        slow_start_ends_at: match state.health {
            Health::Recovering { since } => since + slow_start * 3 / 2,
            _ => 0,
        },
        unhealthy_since: state.unhealthy_since,
        first_seen_at: state.first_seen_at,
        last_sent_at: state.last_sent_at,
        calls_sent: state.calls_sent,
        announced_limit: state.announced_limit,
        fair_share: state.fair_share,
        rate_limit: limits.rate_limit,
        // An outdated rate limit may rise as fast as calls succeed.
        limited_by_rejection: limits.is_fresh && limits.rate_limit.is_finite(),
        best_rate: state.best_rate,
        typical_latency: state.typical_latency,
        hedge_delay: state.hedge_delay,
        tokens_updated_at: now,
        ..HealthScope::new(limits.concurrency_window.max(1.0))
    };
    if limits.rate_limit.is_finite() {
        (scope.tokens, scope.refill, scope.burst) =
            (1.0, RefillRate::constant(limits.rate_limit), 1.0);
    }
    scope
        .outage_evidence
        .restore(state.failures, state.outage_evidence);
    scope.rejections.restore(state.rejections);
    scope
}
