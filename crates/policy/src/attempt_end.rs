//! The end of an attempt: what it teaches, and what becomes of its message.

use crate::interface::{Action, Event, MessageId, Outcome};
use crate::state::Sender;

impl Sender {
    /// An attempt ended; other events are ignored.
    pub(crate) fn on_attempt_ended(&mut self, event: &Event, actions: &mut Vec<Action>) {
        let Event::AttemptEnded {
            message,
            attempt,
            outcome,
            latency,
            message_closed: closed,
            report,
            ambiguous,
            ..
        } = event
        else {
            return;
        };
        self.learn_outcome(*message, *attempt, *outcome, *latency, report, actions);
        if *ambiguous {
            self.mark_may_have_run(*message, *attempt);
        }
        self.agenda.touch(*message);
        if *outcome == Outcome::Success || *closed {
            self.close(*message, actions);
        }
        self.forget_if_done(*message);
    }

    /// Nothing proves that an attempt never ran, whatever its outcome says.
    fn mark_may_have_run(&mut self, id: MessageId, attempt_index: usize) {
        let message = self.messages.get_mut(&id);
        if let Some(attempt) = message.and_then(|message| message.attempts.get_mut(attempt_index)) {
            attempt.may_have_run = true;
        }
    }
}
