//! Removes messages and ordering keys that are no longer needed, and restores messages after a restart.

use crate::interface::{Action, Effect, MessageId, Micros, NewMessage, PastAttempt};
use crate::state::Attempt;
use crate::state::Sender;

impl Sender {
    /// Removes ordering keys that have no message and are not blocked.
    pub(crate) fn remove_idle_key_queues(&mut self) {
        let now = self.now;
        self.key_queues
            .retain(|_, key_queue| !key_queue.messages.is_empty() || key_queue.blocked_until > now);
    }

    /// Restores a message after a restart. Its calls ended with the old process, and those without a known
    /// outcome may have run. All its attempts count as overlapped: the order in which they ended is unknown,
    /// and the deduplication window must count from the first.
    pub(crate) fn on_resumed(&mut self, message: &NewMessage, attempts: &[PastAttempt]) {
        // A keyed message may be repeated only within its deduplication window, so the stagger must not delay
        // it beyond that window.
        let window = match self
            .settings
            .classes
            .get(message.class)
            .map(|class| class.effect)
        {
            Some(Effect::Keyed { window, .. }) => window,
            _ => Micros::MAX / 2,
        };
        let first_sent = attempts
            .iter()
            .filter(|past| past.may_have_run)
            .map(|past| past.sent_at)
            .min();
        let time_left = first_sent
            .map_or(Micros::MAX, |sent| sent + window - self.now)
            .min(message.time_left);
        if time_left > 0 {
            self.stagger_after_restart(message.class, message.destination, time_left);
        }
        self.on_accepted(message);
        let Some(pending) = self.messages.get_mut(&message.id) else {
            return;
        };
        pending.unattempted_before_restart = !message.deferred && attempts.is_empty();
        pending.attempts.extend(attempts.iter().map(|past| Attempt {
            endpoint: past.endpoint,
            sent_at: past.sent_at,
            call_id: u64::MAX,
            in_flight: false,
            may_have_run: past.may_have_run,
            overlapped: true,
            cancelled: false,
        }));
        let blocked_until = self.now + self.settings.safety.ordered_key_backoff;
        let any_may_have_run = attempts.iter().any(|past| past.may_have_run);
        if let Some(key_queue) = pending
            .key
            .filter(|_| any_may_have_run)
            .and_then(|key| self.key_queues.get_mut(&key))
        {
            key_queue.blocked_until = key_queue.blocked_until.max(blocked_until);
            key_queue
                .messages
                .front()
                .into_iter()
                .for_each(|&head| self.scheduler.mark_changed(head));
        }
    }

    /// Removes a message that has ended, once none of its attempts is in flight.
    pub(crate) fn remove_if_finished(&mut self, id: MessageId) {
        let Some(message) = self
            .messages
            .get(&id)
            .filter(|message| !message.open && !message.has_attempt_in_flight())
        else {
            return;
        };
        let key = message.key;
        self.messages.remove(&id);
        self.scheduler.mark_changed(id);
        key.into_iter()
            .for_each(|key| self.leave_key_queue(key, id));
    }

    /// Ends a message that the sender decided to reject or to fail. If the host reports such ends by
    /// notifications, the client learns of the end only from the notification. So that the client sees the
    /// messages of a key in order, the message keeps its position in the queue of the key until the
    /// notification is acknowledged.
    pub(crate) fn end_message(&mut self, id: MessageId, actions: &mut Vec<Action>) {
        let key = self
            .messages
            .get(&id)
            .and_then(|message| message.key)
            .filter(|_| self.settings.notifications_enabled);
        if let Some(key_queue) = key.and_then(|key| self.key_queues.get_mut(&key)) {
            key_queue.pending_notifications.insert(id);
        }
        self.close_message(id, actions);
        self.remove_if_finished(id);
    }

    /// Records a pending notification from before a restart, or the acknowledgement of one.
    pub(crate) fn on_notification(&mut self, id: MessageId, key: u64, acknowledged: bool) {
        let key_queue = self.key_queues.entry(key).or_default();
        if !acknowledged {
            key_queue.messages.push_back(id);
            key_queue.pending_notifications.insert(id);
        } else if key_queue.pending_notifications.remove(&id) {
            self.leave_key_queue(key, id);
        }
    }

    /// Removes a message from the queue of its ordering key, unless one of its attempts is in flight or its
    /// notification is not acknowledged.
    fn leave_key_queue(&mut self, key: u64, id: MessageId) {
        let Some(key_queue) = self
            .key_queues
            .get_mut(&key)
            .filter(|key_queue| !key_queue.pending_notifications.contains(&id))
        else {
            return;
        };
        if !self.messages.contains_key(&id) {
            key_queue.messages.retain(|&other| other != id);
            key_queue
                .messages
                .front()
                .into_iter()
                .for_each(|&head| self.scheduler.mark_changed(head));
        }
    }
}
