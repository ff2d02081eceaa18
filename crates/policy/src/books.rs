//! What the module's books still hold of what is gone.

use crate::decide::Sender;
use crate::interface::{EndpointId, MessageId, Micros, NewMessage, PastAttempt, SECOND};
use crate::state::{Attempt, UnitId};
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
        let listed = |(destination, route): &UnitId| {
            routes.get(destination).is_some_and(|ids| route.is_none_or(|id| ids.contains(&id)))
        };
        self.units.retain(|id, unit| listed(id) || unit.in_flight > 0 || unit.wait_until > now);
        self.dormant.retain(|id, packed| listed(id) || packed.wait_until() > now);
        self.keys.retain(|_, line| !line.turn.is_empty() || line.rest_until > now);
    }

    /// Takes a message back after a restart. Its calls ended with the old process; those with no known
    /// outcome may have run. All count as overlapped: nobody knows the order of their ends, and a window of a
    /// key must count from the first.
    pub(crate) fn resume(&mut self, message: &NewMessage, attempts: &[PastAttempt]) {
        self.accept(message);
        let Some(held) = self.messages.get_mut(&message.id) else { return };
        held.attempts.extend(attempts.iter().map(|past| Attempt {
            endpoint: past.endpoint,
            sent: past.sent,
            call: u64::MAX,
            out: false,
            may_have_run: past.may_have_run,
            overlapped: true,
            cancelled: false,
        }));
        let rest_until = self.now + self.settings.safety.key_rest;
        let unsure = attempts.iter().any(|past| past.may_have_run);
        if let Some(line) = held.key.filter(|_| unsure).and_then(|key| self.keys.get_mut(&key)) {
            line.rest_until = line.rest_until.max(rest_until);
            line.turn.front().into_iter().for_each(|&first| self.agenda.touch(first));
        }
    }

    /// Forgets a message that has ended, with all its attempts.
    pub(crate) fn forget_if_done(&mut self, id: MessageId) {
        let Some(message) = self.messages.get(&id).filter(|held| !held.open && !held.is_out()) else {
            return;
        };
        if let Some(key) = message.key
            && let Some(line) = self.keys.get_mut(&key)
        {
            line.turn.retain(|&other| other != id);
            line.turn.front().into_iter().for_each(|&first| self.agenda.touch(first));
        }
        self.messages.remove(&id);
        self.agenda.touch(id);
    }
}
