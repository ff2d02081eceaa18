//! Handles the end of an attempt.

use crate::interface::{Action, Event, MessageId, Outcome};
use crate::state::Sender;

impl Sender {
    /// Applies the outcome of an attempt to health scopes and to its message. Ignores other events.
    pub(crate) fn on_attempt_ended(&mut self, event: &Event, actions: &mut Vec<Action>) {
        let Event::AttemptEnded {
            message,
            attempt,
            outcome,
            latency,
            message_closed,
            report,
            ambiguous,
            ..
        } = event
        else {
            return;
        };
        self.on_outcome(*message, *attempt, *outcome, *latency, report, actions);
        if *ambiguous {
            self.mark_may_have_run(*message, *attempt);
        }
        self.scheduler.mark_changed(*message);
        if *outcome == Outcome::Success || *message_closed {
            self.close_message(*message, actions);
        }
        self.remove_if_finished(*message);
    }

    /// Records that an attempt may have run, whatever its outcome says.
    fn mark_may_have_run(&mut self, id: MessageId, attempt_index: usize) {
        let message = self.messages.get_mut(&id);
        if let Some(attempt) = message.and_then(|message| message.attempts.get_mut(attempt_index)) {
            attempt.may_have_run = true;
        }
    }
}
