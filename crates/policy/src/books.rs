//! What the module's books still hold of what is gone.

use crate::decide::Sender;
use crate::interface::{EndpointId, Micros, SECOND};
use std::collections::BTreeSet;

/// A destination is known for so long after its last endpoint has gone: longer bridges replacements of all
/// endpoints at once, shorter tells clients sooner.
const LISTED_KEPT: Micros = 60 * SECOND;

impl Sender {
    /// Forgets endpoints that no held message tried, units without calls, and idle keys, when they are gone.
    pub(crate) fn forget_gone(&mut self) {
        let attempts = self.messages.values().flat_map(|message| &message.attempts);
        let tried: BTreeSet<EndpointId> = attempts.map(|attempt| attempt.endpoint).collect();
        self.endpoints.retain(|id, known| known.serving || tried.contains(id));
        let known = &self.endpoints;
        self.routes.values_mut().for_each(|routes| routes.retain(|id| known.contains_key(id)));
        self.routes.retain(|_, routes| !routes.is_empty());
        let (now, routes) = (self.now, &self.routes);
        self.listed.iter_mut().filter(|(id, _)| routes.contains_key(id)).for_each(|(_, at)| *at = now);
        self.listed.retain(|_, at| now - *at < LISTED_KEPT);
        self.units.retain(|(destination, route), unit| {
            let listed = routes.get(destination).is_some_and(|ids| route.is_none_or(|id| ids.contains(&id)));
            listed || unit.in_flight > 0 || unit.wait_until > now
        });
        self.keys.retain(|_, line| !line.turn.is_empty() || line.rest_until > now);
    }
}
