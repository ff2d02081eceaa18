//! Shares the outcome log between its users in one process: the task that records message endings, the HTTP readers and
//! the callback.

use crate::outcome_log::{Outcome, OutcomeLog};
use milletturn_engine::{Input, Notification};
use milletturn_logging::{RateLimitedLog, log};
use std::cell::{Ref, RefCell, RefMut};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::sleep;

/// Delay before the sidecar tries again to record message endings that did not fit into the log or could not be
/// written.
const RECORD_RETRY_DELAY: Duration = Duration::from_millis(250);

/// An outcome log that several tasks of one thread use, with a signal for each change.
#[derive(Clone)]
pub struct SharedOutcomeLog {
    log: Rc<RefCell<OutcomeLog>>,
    changes: watch::Sender<u64>,
    inputs: mpsc::UnboundedSender<Input>,
}

impl SharedOutcomeLog {
    /// Shares an open log. `inputs` is the engine's input channel.
    #[must_use]
    pub fn new(log: OutcomeLog, inputs: mpsc::UnboundedSender<Input>) -> Self {
        let changes = watch::channel(log.last_cursor()).0;
        SharedOutcomeLog {
            log: Rc::new(RefCell::new(log)),
            changes,
            inputs,
        }
    }

    /// A receiver that is notified after each batch of message endings has been processed, even if no outcome was
    /// appended.
    #[must_use]
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// The pending outcomes after a cursor, at most `max_count`.
    #[must_use]
    pub fn after(&self, cursor: u64, max_count: usize) -> Vec<Outcome> {
        self.log.borrow().after(cursor, max_count)
    }

    /// The outcome at a cursor, if it is still pending.
    #[must_use]
    pub fn at(&self, cursor: u64) -> Option<Outcome> {
        self.after(cursor.saturating_sub(1), 1)
            .pop()
            .filter(|outcome| outcome.cursor == cursor)
    }

    /// The cursor up to which all outcomes have been acknowledged.
    #[must_use]
    pub fn acknowledged(&self) -> u64 {
        self.log.borrow().acknowledged_cursor()
    }

    /// Acknowledges all outcomes up to a cursor. If the acknowledgement can't be written, the error is logged, and the
    /// outcomes are sent once more after a restart.
    pub fn acknowledge(&self, cursor: u64) {
        if let Err(error) = self.log.borrow_mut().acknowledge(cursor) {
            log(format_args!("outcomes: {error}"));
        }
    }

    /// The engine's input channel.
    #[must_use]
    pub fn inputs(&self) -> &mpsc::UnboundedSender<Input> {
        &self.inputs
    }

    /// Borrows the log for reading.
    pub(crate) fn borrow(&self) -> Ref<'_, OutcomeLog> {
        self.log.borrow()
    }

    /// Borrows the log for writing.
    pub(crate) fn borrow_mut(&self) -> RefMut<'_, OutcomeLog> {
        self.log.borrow_mut()
    }

    /// Records the message endings that the engine reports in notifications, until the engine stops. Endings that can't
    /// be recorded, for example because the log is full, are retried; until then their messages stay in the journal.
    ///
    /// `callback` is the class of the messages that carry outcomes to the application, and the channel to which their
    /// endings are sent. These endings are not recorded as outcomes.
    pub async fn record_endings(
        self,
        mut endings: mpsc::UnboundedReceiver<Notification>,
        callback: Option<(usize, mpsc::UnboundedSender<Notification>)>,
    ) {
        let faults = RateLimitedLog::default();
        let mut unrecorded: BTreeMap<u64, Notification> = BTreeMap::new();
        loop {
            if unrecorded.is_empty() {
                match endings.recv().await {
                    Some(ending) => _ = unrecorded.insert(ending.number, ending),
                    None => return,
                }
            }
            while let Ok(ending) = endings.try_recv() {
                unrecorded.insert(ending.number, ending);
            }
            let recorded = self.record_batch(&unrecorded, callback.as_ref(), &faults);
            for number in &recorded {
                unrecorded.remove(number);
            }
            if !unrecorded.is_empty() {
                faults.log(format_args!(
                    "outcomes: {} message endings are not recorded yet and stay in the journal; a full log has space \
                     again once outcomes are acknowledged",
                    unrecorded.len()
                ));
            }
            let last_cursor = self.log.borrow().last_cursor();
            self.changes.send_replace(last_cursor);
            if !recorded.is_empty() && self.inputs.send(Input::Notified(recorded)).is_err() {
                return;
            }
            if !unrecorded.is_empty() {
                sleep(RECORD_RETRY_DELAY).await;
            }
        }
    }

    /// Appends outcomes to the log, forwards the endings of callback messages to the callback's task, and returns the
    /// numbers of all messages that the journal may remove.
    fn record_batch(
        &self,
        unrecorded: &BTreeMap<u64, Notification>,
        callback: Option<&(usize, mpsc::UnboundedSender<Notification>)>,
        faults: &RateLimitedLog,
    ) -> Vec<u64> {
        let class = callback.map(|(class, _)| *class);
        let (callback_endings, outcomes): (Vec<Notification>, Vec<Notification>) = unrecorded
            .values()
            .cloned()
            .partition(|ending| is_callback_message(ending, class));
        let appended = self.log.borrow_mut().append(&outcomes);
        let mut recorded = appended.unwrap_or_else(|error| {
            faults.log(format_args!("outcomes: {error}"));
            Vec::new()
        });
        for ending in callback_endings {
            recorded.push(ending.number);
            // sending fails only after the callback task has stopped and no longer needs the ending
            let _ = callback.map(|(_, sender)| sender.send(ending));
        }
        recorded
    }
}

/// Whether a message carried an outcome to the callback. Such a message is recognized by its class, or by its id if the
/// settings no longer have a callback.
fn is_callback_message(ending: &Notification, class: Option<usize>) -> bool {
    match class {
        Some(class) => ending.class == class,
        None => ending.class == usize::MAX && ending.id.to_string().starts_with("outcome:"),
    }
}
