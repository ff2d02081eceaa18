//! The clients, who submit messages and read the responses.

use super::Simulation;
use super::plan::{DEADLINE, class_of};
use super::process::Process;
use super::summaries;
use milletturn_engine::{Arrival, ArrivalOutcome, Input, Journal, SharedStr};
use milletturn_policy::DestinationId;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// The responses to submitted messages: name, destination, and the response, or `None` if the crash cut it off.
pub(super) type Responses = Rc<RefCell<Vec<(String, DestinationId, Option<ArrivalOutcome>)>>>;

impl Simulation {
    /// Records from the responses which messages the sender accepted or rejected. A client without a response submits
    /// its message again, unless the sender had accepted it: then the message must be delivered or resolved like any
    /// accepted one.
    pub(super) fn read_responses(&self, responses: &Responses) {
        let mut known_ids = None;
        for (name, destination, response) in responses.borrow_mut().drain(..) {
            match response {
                Some(ArrivalOutcome::Accepted | ArrivalOutcome::AlreadyDelivered) => {
                    _ = self.accepted_ids.borrow_mut().insert(name);
                }
                Some(_) => _ = self.rejected_ids.borrow_mut().insert(name),
                None if known_ids
                    .get_or_insert_with(|| self.known_ids())
                    .contains(&name) =>
                {
                    self.accepted_ids.borrow_mut().insert(name);
                }
                None => self
                    .arrivals
                    .borrow_mut()
                    .push_front((0, name, destination)),
            }
        }
    }

    /// Ids of all messages that took effect, are unfinished in the journal, or are in the store.
    fn known_ids(&self) -> BTreeSet<String> {
        let (journal, _) = self.open_journal();
        let mut known: BTreeSet<String> = summaries(&self.open_service())
            .into_iter()
            .map(|summary| summary.id)
            .collect();
        let unfinished = journal.unfinished().into_values();
        known.extend(unfinished.map(|message| message.accepted.id));
        known.extend(self.environment.effects.borrow().message_names());
        known
    }

    /// Removes and returns the next message whose submission is due, if there is one.
    fn next_arrival(&self) -> Option<(String, DestinationId)> {
        let mut arrivals = self.arrivals.borrow_mut();
        let due = arrivals
            .front()
            .is_some_and(|(at, ..)| *at <= self.environment.now());
        let (_, name, destination) = due.then(|| arrivals.pop_front()).flatten()?;
        Some((name, destination))
    }
}

impl Process<'_> {
    /// Submits the clients' messages that are due.
    pub(super) fn submit_arrivals(&self) {
        while let Some((name, destination)) = self.simulation.next_arrival() {
            let (reply, reply_receiver) = oneshot::channel();
            let id = SharedStr::new(name.as_bytes()).expect("a short text");
            let arrival = Arrival {
                id: id.clone(),
                key: Some(id),
                class: class_of(&name),
                subject: None,
                tenant: None,
                destination,
                time_to_live: DEADLINE,
                submitted_at: Instant::now(),
                resubmitted: false,
                from_lost_sender: false,
                body: format!("body of {name}").into(),
                reply,
            };
            let _ = self.engine.send(Input::Arrived(arrival));
            let open = self.open_replies.clone();
            open.set(open.get() + 1);
            let (crash_point, responses) = (self.crash_point.clone(), self.responses.clone());
            tokio::task::spawn_local(async move {
                // a response after the crash does not reach the client
                let response = reply_receiver.await.ok().filter(|_| crash_point.try_step());
                open.set(open.get() - 1);
                responses.borrow_mut().push((name, destination, response));
            });
        }
    }
}
