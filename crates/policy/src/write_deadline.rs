//! Whether a call may still start once its connection is open.

use crate::decide::DEADLINE_MARGIN;
use crate::interface::{MessageId, Micros};
use crate::state::Sender;

impl Sender {
    /// The time by which the last byte of an attempt must be written; `None` if the attempt must not be
    /// written at all. The host asks for this time before it writes the first byte. The result takes into
    /// account what has happened since the decision to send, for example while the connection was opened: a
    /// retry-after delay, a drain, another destination of the endpoint, or the end of the deduplication window.
    #[must_use]
    pub fn write_deadline(&self, now: Micros, id: MessageId, index: usize) -> Option<Micros> {
        let message = self.messages.get(&id).filter(|message| message.open)?;
        let attempt = message
            .attempts
            .get(index)
            .filter(|attempt| attempt.in_flight && !attempt.cancelled)?;
        let target = self
            .endpoints
            .get(&attempt.endpoint)
            .filter(|endpoint_state| endpoint_state.serving)
            .filter(|endpoint_state| endpoint_state.destination == message.destination)?;
        let until = self
            .repeatable_until(message, index, Some(target.zone))
            .min(message.deadline - DEADLINE_MARGIN);
        let retry_after_until = self
            .scopes
            .get(&self.scope_of(attempt.endpoint))
            .map_or(0, |scope| scope.retry_after_until);
        (now >= retry_after_until && now < until).then_some(until)
    }
}
