//! The operators: they redrive messages by hand, and resolve what no rule may redrive.

use super::process::Process;
use super::rows_after;
use milletturn_dead_letter::error::RedriveError;
use milletturn_dead_letter::record::{Filter, State, Summary};
use milletturn_dead_letter::redrive_service::Resolution;
use rand_pcg::rand_core::RngCore;

impl Process<'_> {
    /// An operator redrives something, sometimes twice, whatever it is.
    pub(super) async fn redrive_some(&mut self) {
        // few are worth it; most are rejected
        let roll = self.world.random.borrow_mut().next_u64();
        let after = roll % (self.world.plan.messages as u64 + 1);
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
            if !self.power.try_step() {
                return;
            }
            let now = self.world.unix();
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

    /// Operators look at what no rule may redrive, ask the destination, and record what they learn. True once nothing
    /// is left to be done.
    pub(super) fn operators_are_done(&mut self) -> bool {
        // nobody redrives by hand any more, so what is resolved stays so
        let found = rows_after(&self.service, self.world.resolved_to.get());
        let mut left = false;
        for summary in &found {
            if summary.state.is_resolved() {
                if !left {
                    self.world.resolved_to.set(summary.number);
                }
                continue;
            }
            left = true;
            let Some(resolution) = self.resolution_of(summary) else {
                continue;
            };
            if self.power.try_step() {
                let now = self.world.unix();
                let resolved =
                    self.service
                        .resolve(summary.number, resolution, "operator", "asked them", now);
                assert!(resolved.is_ok(), "{resolved:?}");
            }
        }
        !left
    }

    /// How an operator resolves a message; `None` if that is not needed, or not possible now.
    fn resolution_of(&self, summary: &Summary) -> Option<Resolution> {
        let ran = self
            .world
            .outside
            .effects
            .borrow()
            .effect_count(&summary.id)
            > 0;
        match self.service.decide(summary, self.world.unix()) {
            // the rules see to it, unless it has been redriven too often
            Ok(_) if summary.redrives < 5 => None,
            Ok(_) => Some(Resolution::Done),
            Err(_) if summary.state != State::Unresolved => None,
            Err(_) if ran => Some(Resolution::Done),
            Err(_) => Some(Resolution::DidNotRun),
        }
    }
}
