//! The engine's interface to the dead-letter store: the sink that accepts messages, and the observer of attempts.
//!
//! Both send to the store's thread through bounded channels, and never block the engine.

use crate::job::Job;
use milletturn_engine::dead_letter_sink::EndedMessage;
use milletturn_engine::{DeadLetterSink, Ending, EngineEvent, Observer};
use milletturn_policy::{Class, Effect, Outcome};
use std::collections::BTreeMap;
use std::sync::mpsc::{SyncSender, TrySendError};
use std::sync::{Arc, Mutex, PoisonError};

/// Sends messages that ended undelivered to the store's thread.
#[derive(Debug)]
pub struct StoreWorkerSink {
    pub(crate) messages: SyncSender<Box<EndedMessage>>,
    pub(crate) jobs: SyncSender<Job>,
    pub(crate) store_returned: bool,
    pub(crate) effects: PendingEffects,
}

/// The effects of the classes that the engine has told and the store's thread has not applied yet. No queue could be used:
/// one that is full would lose them.
#[derive(Debug, Clone, Default)]
pub(crate) struct PendingEffects(Arc<Mutex<Option<BTreeMap<String, Effect>>>>);

impl PendingEffects {
    fn set(&self, effects: BTreeMap<String, Effect>) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = Some(effects);
    }

    /// Removes and returns the effects, if there are any.
    pub(crate) fn take(&self) -> Option<BTreeMap<String, Effect>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).take()
    }
}

impl DeadLetterSink for StoreWorkerSink {
    fn should_store(&self, ending: Ending) -> bool {
        match ending {
            Ending::Failed => true,
            Ending::Returned { .. } => self.store_returned,
            Ending::Delivered => false,
        }
    }

    fn set_classes(&mut self, classes: &[Class]) {
        let effects = classes
            .iter()
            .map(|class| (class.name.clone(), class.effect));
        self.effects.set(effects.collect());
        // a full queue needs no wake-up: the thread applies the effects before each job
        let _ = self.jobs.try_send(Job::Wake);
    }

    fn store(&mut self, message: Box<EndedMessage>) -> Result<(), Box<EndedMessage>> {
        self.messages
            .try_send(message)
            .map_err(|error| match error {
                TrySendError::Full(message) | TrySendError::Disconnected(message) => message,
            })?;
        // a full queue needs no wake-up: the thread has jobs to do, and checks the queue of messages after them
        let _ = self.jobs.try_send(Job::Wake);
        Ok(())
    }
}

/// An observer that reports the ends of attempts to the store's thread, and forwards each event to the next observer.
#[derive(Debug)]
pub struct AttemptObserver<O> {
    pub(crate) jobs: SyncSender<Job>,
    pub(crate) next: O,
}

impl<O: Observer> Observer for AttemptObserver<O> {
    fn observe(&mut self, event: &EngineEvent<'_>) {
        if let EngineEvent::AttemptEnded {
            destination,
            outcome,
            ..
        } = event
            && !matches!(outcome, Outcome::Cancelled | Outcome::Unsent { .. })
        {
            // an event is dropped if the queue is full; the destination's next attempt reports its health again
            let _ = self.jobs.try_send(Job::AttemptEnded {
                destination: *destination,
                succeeded: *outcome == Outcome::Success,
            });
        }
        self.next.observe(event);
    }
}
