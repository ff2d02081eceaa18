//! The operators, who redrive messages, and resolve messages that no rule may redrive.

use super::process::Process;
use super::summaries_after;
use milletturn_dead_letter::error::RedriveError;
use milletturn_dead_letter::record::{Filter, State, Summary};
use milletturn_dead_letter::redrive_service::Resolution;
use rand_pcg::rand_core::RngCore;

impl Process<'_> {
    /// An operator tries to redrive a random message twice, whatever its state.
    pub(super) async fn redrive_random_message(&mut self) {
        // most requests are rejected, since few messages may be redriven at the time
        let random_number = self.simulation.random.borrow_mut().next_u64();
        let after = random_number % (self.simulation.plan.messages as u64 + 1);
        let page = self.service.list(&Filter::default(), after, 1);
        let Some(number) = page
            .expect("the store")
            .messages
            .first()
            .map(|summary| summary.number)
        else {
            return;
        };
        for _ in 0..2 {
            if !self.crash_point.try_step() {
                return;
            }
            let now = self.simulation.unix_now();
            match self
                .service
                .request_redrive(number, "operator", "asked for", now)
            {
                Ok(order) => self.redrive(order).await,
                Err(RedriveError::Rejected(_)) => {}
                Err(RedriveError::Store(error)) => panic!("the store: {error}"),
            }
        }
    }

    /// Operators resolve the messages that no rule may redrive, according to whether the destination executed them.
    /// Returns true if it found all messages in the store resolved.
    pub(super) fn resolve_and_check_done(&mut self) -> bool {
        // skips the messages that an earlier call found resolved; operators redrive messages only until 10 s after the
        // repair
        let found = summaries_after(&self.service, self.simulation.resolved_up_to.get());
        let mut has_unresolved = false;
        for summary in &found {
            if summary.state.is_resolved() {
                if !has_unresolved {
                    self.simulation.resolved_up_to.set(summary.number);
                }
                continue;
            }
            has_unresolved = true;
            let Some(resolution) = self.choose_resolution(summary) else {
                continue;
            };
            if self.crash_point.try_step() {
                let now = self.simulation.unix_now();
                let resolved =
                    self.service
                        .resolve(summary.number, resolution, "operator", "asked them", now);
                assert!(resolved.is_ok(), "{resolved:?}");
            }
        }
        !has_unresolved
    }

    /// How an operator resolves a message; `None` if a rule will redrive the message, or a redrive is in progress.
    fn choose_resolution(&self, summary: &Summary) -> Option<Resolution> {
        let ran = self
            .simulation
            .environment
            .effects
            .borrow()
            .effect_count(&summary.id)
            > 0;
        match self.service.decide(summary, self.simulation.unix_now()) {
            // the plan's rule redrives a message at most five times; until then, operators leave it to the rule
            Ok(_) if summary.redrives < 5 => None,
            Ok(_) => Some(Resolution::Done),
            Err(_) if summary.state != State::Unresolved => None,
            Err(_) if ran => Some(Resolution::Done),
            Err(_) => Some(Resolution::DidNotRun),
        }
    }
}
