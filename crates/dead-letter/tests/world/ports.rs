//! The engine's ports: the journal behind the switch, the archive, and the observer of attempts.

use milletturn_engine::archive::ArchivedMessage;
use milletturn_engine::{
    Accepted, Archive, AttemptStarted, Ending, EngineEvent, Journal, JournalError, MessageEnd,
    Observer, Unfinished,
};
use milletturn_journal::FileJournal;
use milletturn_policy::{Micros, Outcome};
use milletturn_test_support::CrashPoint;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

/// The journal behind the switch; it also knows which messages it has.
pub(super) struct SwitchedJournal {
    pub(super) journal: FileJournal,
    pub(super) power: CrashPoint,
    pub(super) unfinished: Rc<RefCell<BTreeSet<u64>>>,
}

impl SwitchedJournal {
    fn step(
        &mut self,
        write: impl FnOnce(&mut FileJournal) -> Result<(), JournalError>,
    ) -> Result<(), JournalError> {
        if self.power.try_step() {
            write(&mut self.journal)
        } else {
            Ok(())
        }
    }
}

impl Journal for SwitchedJournal {
    fn unfinished(&self) -> BTreeMap<u64, Unfinished> {
        self.journal.unfinished()
    }

    fn record_accepted(&mut self, number: u64, accepted: Accepted) -> Result<(), JournalError> {
        self.unfinished.borrow_mut().insert(number);
        self.step(|journal| journal.record_accepted(number, accepted))
    }

    fn record_redrive(
        &mut self,
        number: u64,
        accepted: Accepted,
        uncertain_attempt: Option<AttemptStarted>,
    ) -> Result<(), JournalError> {
        self.unfinished.borrow_mut().insert(number);
        self.step(|journal| journal.record_redrive(number, accepted, uncertain_attempt))
    }

    fn record_attempt(
        &mut self,
        number: u64,
        uid: &str,
        sent_at: Micros,
    ) -> Result<(), JournalError> {
        self.step(|journal| journal.record_attempt(number, uid, sent_at))
    }

    fn record_never_ran(&mut self, number: u64, attempt: usize) -> Result<(), JournalError> {
        self.step(|journal| journal.record_never_ran(number, attempt))
    }

    fn record_end(&mut self, number: u64, end: MessageEnd) -> Result<(), JournalError> {
        self.step(|journal| journal.record_end(number, end))
    }

    fn record_finished(&mut self, number: u64) -> Result<(), JournalError> {
        self.unfinished.borrow_mut().remove(&number);
        self.step(|journal| journal.record_finished(number))
    }

    fn retry(&mut self) -> Result<(), JournalError> {
        if self.power.has_crashed() {
            Ok(())
        } else {
            self.journal.retry()
        }
    }
}

/// The messages that wait to be saved.
#[derive(Clone, Default)]
pub(super) struct ArchiveQueue(pub(super) Rc<RefCell<VecDeque<ArchivedMessage>>>);

impl Archive for ArchiveQueue {
    fn wants(&self, ending: Ending) -> bool {
        ending != Ending::Delivered
    }

    fn store(&mut self, message: Box<ArchivedMessage>) -> Result<(), Box<ArchivedMessage>> {
        // so short that it is often full
        if self.0.borrow().len() >= 3 {
            return Err(message);
        }
        self.0.borrow_mut().push_back(*message);
        Ok(())
    }
}

/// The ends of attempts that the service does not know yet: destinations, and whether they succeeded.
#[derive(Clone, Default)]
pub(super) struct AttemptEnds(pub(super) Rc<RefCell<Vec<(u64, bool)>>>);

impl Observer for AttemptEnds {
    fn observe(&mut self, event: &EngineEvent<'_>) {
        if let EngineEvent::AttemptEnded {
            destination,
            outcome,
            ..
        } = event
            && *outcome != Outcome::Cancelled
        {
            self.0
                .borrow_mut()
                .push((*destination, *outcome == Outcome::Success));
        }
    }
}
