//! The engine's ports: the journal, whose writes stop at the crash, the dead-letter sink, and the observer of attempts.

use milletturn_engine::dead_letter_sink::EndedMessage;
use milletturn_engine::{
    Accepted, AttemptStarted, DeadLetterSink, Ending, EngineEvent, Journal, JournalError,
    MessageEnd, Observer, Unfinished,
};
use milletturn_journal::FileJournal;
use milletturn_policy::{Micros, Outcome};
use milletturn_test_support::CrashPoint;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

/// A journal that writes nothing after the crash. It also tracks the numbers of its unfinished messages.
pub(super) struct CrashingJournal {
    pub(super) journal: FileJournal,
    pub(super) crash_point: CrashPoint,
    pub(super) unfinished: Rc<RefCell<BTreeSet<u64>>>,
}

impl CrashingJournal {
    fn write_unless_crashed(
        &mut self,
        write: impl FnOnce(&mut FileJournal) -> Result<(), JournalError>,
    ) -> Result<(), JournalError> {
        if self.crash_point.try_step() {
            write(&mut self.journal)
        } else {
            Ok(())
        }
    }
}

impl Journal for CrashingJournal {
    fn unfinished(&self) -> BTreeMap<u64, Unfinished> {
        self.journal.unfinished()
    }

    fn record_accepted(&mut self, number: u64, accepted: Accepted) -> Result<(), JournalError> {
        self.unfinished.borrow_mut().insert(number);
        self.write_unless_crashed(|journal| journal.record_accepted(number, accepted))
    }

    fn record_redrive(
        &mut self,
        number: u64,
        accepted: Accepted,
        uncertain_attempt: Option<AttemptStarted>,
    ) -> Result<(), JournalError> {
        self.unfinished.borrow_mut().insert(number);
        self.write_unless_crashed(|journal| {
            journal.record_redrive(number, accepted, uncertain_attempt)
        })
    }

    fn record_attempt(
        &mut self,
        number: u64,
        uid: &str,
        sent_at: Micros,
    ) -> Result<(), JournalError> {
        self.write_unless_crashed(|journal| journal.record_attempt(number, uid, sent_at))
    }

    fn record_never_ran(&mut self, number: u64, attempt: usize) -> Result<(), JournalError> {
        self.write_unless_crashed(|journal| journal.record_never_ran(number, attempt))
    }

    fn record_end(&mut self, number: u64, end: MessageEnd) -> Result<(), JournalError> {
        self.write_unless_crashed(|journal| journal.record_end(number, end))
    }

    fn record_finished(&mut self, number: u64) -> Result<(), JournalError> {
        self.unfinished.borrow_mut().remove(&number);
        self.write_unless_crashed(|journal| journal.record_finished(number))
    }

    fn retry(&mut self) -> Result<(), JournalError> {
        if self.crash_point.has_crashed() {
            Ok(())
        } else {
            self.journal.retry()
        }
    }
}

/// A sink that queues messages until the service saves them.
#[derive(Clone, Default)]
pub(super) struct DeadLetterQueue(pub(super) Rc<RefCell<VecDeque<EndedMessage>>>);

impl DeadLetterSink for DeadLetterQueue {
    fn should_store(&self, ending: Ending) -> bool {
        ending != Ending::Delivered
    }

    fn set_classes(&mut self, _: &[milletturn_policy::Class]) {}

    fn store(&mut self, message: Box<EndedMessage>) -> Result<(), Box<EndedMessage>> {
        // the queue is short, so that it is often full
        if self.0.borrow().len() >= 3 {
            return Err(message);
        }
        self.0.borrow_mut().push_back(*message);
        Ok(())
    }
}

/// An observer that collects the ends of attempts for the service: destinations, and whether the attempts succeeded.
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
