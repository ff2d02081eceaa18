//! What the module's books still hold of what is gone.

use crate::interface::{Action, Effect, MessageId, Micros, NewMessage, PastAttempt};
use crate::state::Attempt;
use crate::state::Sender;

impl Sender {
    /// Forgets keys that no message has and that need no rest.
    pub(crate) fn forget_keys(&mut self) {
        let now = self.now;
        self.keys
            .retain(|_, line| !line.turn.is_empty() || line.rest_until > now);
    }

    /// Takes a message back after a restart. Its calls ended with the old process; those with no known
    /// outcome may have run. All count as overlapped: nobody knows the order of their ends, and a window of a
    /// key must count from the first.
    pub(crate) fn resume(&mut self, message: &NewMessage, attempts: &[PastAttempt]) {
        // what may go again only while its key is known has no longer to rest than that
        let window = match self
            .settings
            .classes
            .get(message.class)
            .map(|class| class.effect)
        {
            Some(Effect::Keyed { window, .. }) => window,
            _ => Micros::MAX / 2,
        };
        let first = attempts
            .iter()
            .filter(|past| past.may_have_run)
            .map(|past| past.sent)
            .min();
        let left = first
            .map_or(Micros::MAX, |sent| sent + window - self.now)
            .min(message.time_left);
        if left > 0 {
            self.begin_apart(message.class, message.destination, left);
        }
        self.accept(message);
        let Some(held) = self.messages.get_mut(&message.id) else {
            return;
        };
        held.owed = !message.deferred && attempts.is_empty();
        held.attempts.extend(attempts.iter().map(|past| Attempt {
            endpoint: past.endpoint,
            sent: past.sent,
            call: u64::MAX,
            out: false,
            may_have_run: past.may_have_run,
            overlapped: true,
            cancelled: false,
        }));
        let rest_until = self.now + self.settings.safety.ordered_key_backoff;
        let unsure = attempts.iter().any(|past| past.may_have_run);
        if let Some(line) = held
            .key
            .filter(|_| unsure)
            .and_then(|key| self.keys.get_mut(&key))
        {
            line.rest_until = line.rest_until.max(rest_until);
            line.turn
                .front()
                .into_iter()
                .for_each(|&first| self.agenda.touch(first));
        }
    }

    /// Forgets a message that has ended, with all its attempts.
    pub(crate) fn forget_if_done(&mut self, id: MessageId) {
        let Some(message) = self
            .messages
            .get(&id)
            .filter(|held| !held.open && !held.is_out())
        else {
            return;
        };
        let key = message.key;
        self.messages.remove(&id);
        self.agenda.touch(id);
        key.into_iter().for_each(|key| self.leave_line(key, id));
    }

    /// Ends a message by the module's own word. Where a notice tells that, whoever watches the order knows of it only
    /// once the notice has been taken: until then the message keeps its place.
    pub(crate) fn end(&mut self, id: MessageId, actions: &mut Vec<Action>) {
        let key = self
            .messages
            .get(&id)
            .and_then(|message| message.key)
            .filter(|_| self.settings.notifications_enabled);
        if let Some(line) = key.and_then(|key| self.keys.get_mut(&key)) {
            line.untold.insert(id);
        }
        self.close(id, actions);
        self.forget_if_done(id);
    }

    pub(crate) fn learn_notice(&mut self, id: MessageId, key: u64, taken: bool) {
        let line = self.keys.entry(key).or_default();
        if !taken {
            line.turn.push_back(id);
            line.untold.insert(id);
        } else if line.untold.remove(&id) {
            self.leave_line(key, id);
        }
    }

    /// The message's place is the next one's, unless an attempt of it is still out or its notice not taken.
    fn leave_line(&mut self, key: u64, id: MessageId) {
        let Some(line) = self
            .keys
            .get_mut(&key)
            .filter(|line| !line.untold.contains(&id))
        else {
            return;
        };
        if !self.messages.contains_key(&id) {
            line.turn.retain(|&other| other != id);
            line.turn
                .front()
                .into_iter()
                .for_each(|&first| self.agenda.touch(first));
        }
    }
}
