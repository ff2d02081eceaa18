//! Sends outcomes to the application's callback address. Each outcome is carried by a separate message of an idempotent
//! class, which passes through the engine and the decision module like any other message. An outcome counts as
//! acknowledged once the callback has responded with 200 to it and to all outcomes before it in cursor order.

#[cfg(test)]
mod tests;

use crate::outcome_log::Outcome;
use crate::shared_outcome_log::SharedOutcomeLog;
use bytes::Bytes;
use milletturn_engine::{Arrival, ArrivalOutcome, Ending, Input, Notification, SharedStr};
use milletturn_logging::{RateLimitedLog, log};
use milletturn_policy::Micros;
use std::collections::BTreeSet;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep};

/// Name of the class of callback messages. The colon makes the class internal to the sender
/// ([`milletturn_engine::ingress::is_internal_class`]), so clients can't use it.
pub const CLASS: &str = "outcome:callback";
/// Maximum number of outcomes in flight. Several are sent in parallel so that a slow one does not delay the others; the
/// limit keeps them a small share of the messages that the sender may have pending.
const MAX_IN_FLIGHT: usize = 16;
/// Delay before an outcome that was not accepted or not delivered is resubmitted.
const RESUBMIT_DELAY: Duration = Duration::from_secs(1);

/// The class and the destination of the messages that carry outcomes to the application's callback.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Callback {
    /// Index of the callback messages' class in the settings.
    pub class: usize,
    /// The destination whose endpoint is the callback's address.
    pub destination: u64,
    /// How long a single callback message may be attempted, in microseconds. The outcome itself stays in the log until
    /// it is acknowledged, and is resubmitted in a new message.
    pub time_to_live: Micros,
}

impl Callback {
    /// Sends outcomes until the engine stops. `incarnation` differs for each process; `endings` delivers the endings of
    /// the messages that carry outcomes.
    pub async fn run(
        self,
        shared: SharedOutcomeLog,
        incarnation: u64,
        mut endings: mpsc::UnboundedReceiver<Notification>,
    ) {
        let mut changes = shared.changes();
        let mut window = DeliveryWindow {
            submitted_cursor: shared.acknowledged(),
            ..DeliveryWindow::default()
        };
        let sender = CallbackSender {
            callback: self,
            shared,
            incarnation,
            faults: RateLimitedLog::default(),
        };
        loop {
            changes.borrow_and_update();
            sender.fill(&mut window);
            tokio::select! {
                change = changes.changed() => if change.is_err() { return },
                ending = endings.recv() => {
                    let Some(ending) = ending else { return };
                    sender.on_ending(&mut window, &ending);
                }
            }
        }
    }
}

/// Submits outcomes to the engine.
struct CallbackSender {
    callback: Callback,
    shared: SharedOutcomeLog,
    incarnation: u64,
    faults: RateLimitedLog,
}

impl CallbackSender {
    /// Submits further outcomes, up to [`MAX_IN_FLIGHT`] in flight.
    fn fill(&self, window: &mut DeliveryWindow) {
        let capacity = MAX_IN_FLIGHT.saturating_sub(window.in_flight.len());
        for outcome in self.shared.after(window.submitted_cursor, capacity) {
            window.submitted_cursor = outcome.cursor;
            window.in_flight.insert(outcome.cursor);
            tokio::task::spawn_local(submit_until_accepted(
                self.callback,
                self.shared.clone(),
                self.incarnation,
                outcome,
            ));
        }
    }

    /// Acknowledges the outcome that a delivered message carried; resubmits the outcome after any other ending.
    fn on_ending(&self, window: &mut DeliveryWindow, ending: &Notification) {
        let Some(cursor) = cursor_of(&ending.id) else {
            return;
        };
        if ending.ending == Ending::Delivered {
            if let Some(acknowledged) = window.mark_delivered(cursor) {
                self.shared.acknowledge(acknowledged);
            }
        } else if window.in_flight.contains(&cursor) {
            let Some(outcome) = self.shared.at(cursor) else {
                // an HTTP reader has acknowledged the outcome in the meantime
                window.mark_delivered(cursor);
                return;
            };
            self.faults.log(format_args!(
                "callback: outcome {cursor} was not delivered; resubmitting it"
            ));
            let (callback, shared, incarnation) =
                (self.callback, self.shared.clone(), self.incarnation);
            tokio::task::spawn_local(async move {
                sleep(RESUBMIT_DELAY).await;
                submit_until_accepted(callback, shared, incarnation, outcome).await;
            });
        }
    }
}

/// Tracks the outcomes in flight, to determine the cursor up to which all outcomes have been delivered.
#[derive(Debug, Default)]
struct DeliveryWindow {
    /// Cursor of the last outcome submitted.
    submitted_cursor: u64,
    /// Cursors of the outcomes that were submitted and are not delivered yet.
    in_flight: BTreeSet<u64>,
    /// Greatest cursor of a delivered outcome; earlier outcomes may still be in flight.
    last_delivered: u64,
}

impl DeliveryWindow {
    /// Marks an outcome as delivered. Returns the cursor up to which all outcomes are delivered, if it has advanced.
    fn mark_delivered(&mut self, cursor: u64) -> Option<u64> {
        let first = self.in_flight.first().copied();
        if !self.in_flight.remove(&cursor) {
            return None;
        }
        self.last_delivered = self.last_delivered.max(cursor);
        let acknowledged = self
            .in_flight
            .first()
            .map_or(self.last_delivered, |undelivered| undelivered - 1);
        (first == Some(cursor)).then_some(acknowledged)
    }
}

/// The id of the message that carries an outcome. The id differs for each incarnation of the process, so that no client
/// can have submitted a message with the same id. The callback recognizes an outcome that it has received before by the
/// cursor in the body.
fn message_id(incarnation: u64, cursor: u64) -> String {
    format!("outcome:{incarnation:016x}:{cursor}")
}

/// The cursor in the id of a callback message; `None` if the text after the last colon is not a number.
fn cursor_of(id: &SharedStr) -> Option<u64> {
    id.to_string().rsplit(':').next()?.parse().ok()
}

/// Submits one outcome until the engine accepts it.
async fn submit_until_accepted(
    callback: Callback,
    shared: SharedOutcomeLog,
    incarnation: u64,
    outcome: Outcome,
) {
    let Ok(id) = SharedStr::new(message_id(incarnation, outcome.cursor).as_bytes()) else {
        return;
    };
    let body = Bytes::from(outcome.to_json_line());
    loop {
        let (reply, arrival_outcome) = oneshot::channel();
        let arrival = Arrival {
            id: id.clone(),
            key: None,
            class: callback.class,
            subject: None,
            tenant: None,
            destination: callback.destination,
            time_to_live: callback.time_to_live,
            submitted_at: Instant::now(),
            resubmitted: false,
            from_lost_sender: false,
            body: body.clone(),
            reply,
        };
        if shared.inputs().send(Input::Arrived(arrival)).is_err() {
            return;
        }
        match arrival_outcome.await {
            Ok(ArrivalOutcome::Accepted | ArrivalOutcome::AlreadyDelivered) => return,
            Ok(
                ArrivalOutcome::Rejected { .. }
                | ArrivalOutcome::NoCapacity
                | ArrivalOutcome::Failed,
            ) => sleep(RESUBMIT_DELAY).await,
            Err(_) => {
                log(format_args!("callback: the engine has stopped"));
                return;
            }
        }
    }
}
