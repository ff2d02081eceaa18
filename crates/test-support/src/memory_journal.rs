//! An in-memory journal.

use milletturn_engine::{Accepted, AttemptStarted, Journal, JournalError, MessageEnd, Unfinished};
use milletturn_policy::Micros;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

/// A journal in memory whose content tests can inspect. Clones share the content, so that it remains after an engine
/// that used one of them has ended.
#[derive(Debug, Clone, Default)]
pub struct MemoryJournal {
    /// Unfinished messages by their number.
    pub unfinished: Rc<RefCell<BTreeMap<u64, Unfinished>>>,
}

impl MemoryJournal {
    fn update(&self, number: u64, apply: impl FnOnce(&mut Unfinished)) -> Result<(), JournalError> {
        if let Some(message) = self.unfinished.borrow_mut().get_mut(&number) {
            apply(message);
        }
        Ok(())
    }
}

impl Journal for MemoryJournal {
    fn unfinished(&self) -> BTreeMap<u64, Unfinished> {
        self.unfinished.borrow().clone()
    }

    fn record_accepted(&mut self, number: u64, accepted: Accepted) -> Result<(), JournalError> {
        let message = Unfinished {
            accepted,
            attempts: Vec::new(),
            end: None,
            redriven: false,
            prior_attempts: 0,
        };
        self.unfinished.borrow_mut().insert(number, message);
        Ok(())
    }

    fn record_redrive(
        &mut self,
        number: u64,
        accepted: Accepted,
        uncertain_attempt: Option<AttemptStarted>,
    ) -> Result<(), JournalError> {
        let attempts: Vec<AttemptStarted> = uncertain_attempt.into_iter().collect();
        let prior_attempts = attempts.len();
        self.unfinished.borrow_mut().insert(
            number,
            Unfinished {
                accepted,
                attempts,
                end: None,
                redriven: true,
                prior_attempts,
            },
        );
        Ok(())
    }

    fn record_attempt(
        &mut self,
        number: u64,
        uid: &str,
        sent_at: Micros,
    ) -> Result<(), JournalError> {
        let sent = AttemptStarted {
            uid: uid.to_string(),
            sent_at,
            never_ran: false,
        };
        self.update(number, |message| message.attempts.push(sent))
    }

    fn record_never_ran(&mut self, number: u64, attempt: usize) -> Result<(), JournalError> {
        self.update(number, |message| {
            message
                .attempts
                .get_mut(attempt)
                .into_iter()
                .for_each(|sent| sent.never_ran = true);
        })
    }

    fn record_end(&mut self, number: u64, end: MessageEnd) -> Result<(), JournalError> {
        self.update(number, |message| message.end = Some(end))
    }

    fn record_finished(&mut self, number: u64) -> Result<(), JournalError> {
        self.unfinished.borrow_mut().remove(&number);
        Ok(())
    }

    fn retry(&mut self) -> Result<(), JournalError> {
        Ok(())
    }
}
