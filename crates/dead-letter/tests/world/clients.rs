//! The clients: they hand messages in, and read their answers.

use super::World;
use super::plan::{DEADLINE, class_of};
use super::process::Process;
use super::rows;
use milletturn_engine::{Arrival, ArrivalOutcome, Input, Journal, SharedStr};
use milletturn_policy::DestinationId;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Answers that clients have got, or not, with what they had handed in.
pub(super) type Answers = Rc<RefCell<Vec<(String, DestinationId, Option<ArrivalOutcome>)>>>;

impl World {
    /// What clients make of their answers. One that was cut off from its answer hands in once more, unless the sender
    /// had accepted it: then its end is due, though nobody was notified.
    pub(super) fn read_answers(&self, answers: &Answers) {
        let mut known = None;
        for (name, destination, answer) in answers.borrow_mut().drain(..) {
            match answer {
                Some(ArrivalOutcome::Accepted | ArrivalOutcome::AlreadyDelivered) => {
                    _ = self.promised.borrow_mut().insert(name);
                }
                Some(_) => _ = self.rejected.borrow_mut().insert(name),
                None if known.get_or_insert_with(|| self.known()).contains(&name) => {
                    self.promised.borrow_mut().insert(name);
                }
                None => self
                    .arrivals
                    .borrow_mut()
                    .push_front((0, name, destination)),
            }
        }
    }

    /// Names of all that took effect, is unfinished or is in the store.
    fn known(&self) -> BTreeSet<String> {
        let (journal, _) = self.open_journal();
        let mut known: BTreeSet<String> = rows(&self.open_service())
            .into_iter()
            .map(|summary| summary.id)
            .collect();
        let unfinished = journal.unfinished().into_values();
        known.extend(unfinished.map(|message| message.accepted.id));
        known.extend(self.outside.effects.borrow().message_names());
        known
    }

    /// The next message that is due.
    fn next_arrival(&self) -> Option<(String, DestinationId)> {
        let mut arrivals = self.arrivals.borrow_mut();
        let due = arrivals
            .front()
            .is_some_and(|(at, ..)| *at <= self.outside.now());
        let (_, name, destination) = due.then(|| arrivals.pop_front()).flatten()?;
        Some((name, destination))
    }
}

impl Process<'_> {
    /// Clients hand in the messages that are due.
    pub(super) fn submit_arrivals(&self) {
        while let Some((name, destination)) = self.world.next_arrival() {
            let (reply, answer) = oneshot::channel();
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
                from_failed_sender: false,
                body: format!("body of {name}").into(),
                reply,
            };
            let _ = self.engine.send(Input::Arrived(arrival));
            let open = self.open_replies.clone();
            open.set(open.get() + 1);
            let (power, answers) = (self.power.clone(), self.answers.clone());
            tokio::task::spawn_local(async move {
                // an answer that the kill cuts off was not read
                let answer = answer.await.ok().filter(|_| power.try_step());
                open.set(open.get() - 1);
                answers.borrow_mut().push((name, destination, answer));
            });
        }
    }
}
