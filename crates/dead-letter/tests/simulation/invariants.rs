//! The invariants that are checked after the crash of each simulated process and at the end of a run: no message takes
//! effect twice, none is lost, and none is active in the journal and the store at the same time.

use super::plan::{REPEATABLE, class_of};
use super::{Simulation, summaries};
use milletturn_dead_letter::record::{State, Summary};
use milletturn_engine::{Journal, Unfinished};
use std::collections::BTreeMap;

/// The places where each message was found, by the message's name.
#[derive(Default)]
struct Locations {
    by_name: BTreeMap<String, Vec<String>>,
}

impl Locations {
    fn add(&mut self, name: &str, location: String) {
        self.by_name
            .entry(name.to_string())
            .or_default()
            .push(location);
    }

    fn count_rows(&self, name: &str) -> usize {
        let locations = self.by_name.get(name).into_iter().flatten();
        locations
            .filter(|location| location.starts_with("store"))
            .count()
    }
}

/// Checks a row against the journal's entry with the same number: both are of the same message, and if the message has
/// not ended in the journal, the row says that it is being redriven.
fn check_row(summary: &Summary, in_journal: Option<&Unfinished>) {
    if in_journal.is_some_and(|message| message.end.is_none()) {
        let being_redriven = matches!(summary.state, State::RedriveRequested | State::Redriving);
        assert!(
            being_redriven,
            "{summary:?} is in the store and the journal: {in_journal:?}"
        );
    }
    assert!(
        in_journal.is_none_or(|message| message.accepted.id == summary.id),
        "two messages have the same number"
    );
}

impl Simulation {
    /// Checks the invariants after the crash of one process, before the next one starts: each accepted message was
    /// delivered, or is in the journal or the store, and the store has at most one row for it.
    pub(super) fn check_between_processes(&self) {
        let (journal, _) = self.open_journal();
        let service = self.open_service();
        let unfinished = journal.unfinished();
        let mut locations = Locations::default();
        for (number, message) in &unfinished {
            let (redriven, ended) = (message.redriven, message.end.is_some());
            locations.add(
                &message.accepted.id,
                format!("journal {number} redriven {redriven} ended {ended}"),
            );
        }
        for summary in summaries(&service) {
            check_row(&summary, unfinished.get(&summary.number));
            locations.add(&summary.id, format!("store {:?}", summary.state));
        }
        for name in self.accepted_ids.borrow().iter() {
            let delivered = self.environment.effects.borrow().effect_count(name) > 0;
            let notified = self.notifications.borrow().contains_key(name);
            assert!(
                locations.by_name.contains_key(name) || delivered && !notified,
                "{name} is neither in the journal nor in the store"
            );
            assert!(
                locations.count_rows(name) <= 1,
                "{name}: {:?}",
                locations.by_name.get(name)
            );
        }
        self.check_effects();
    }

    fn check_effects(&self) {
        let effects = self.environment.effects.borrow();
        let duplicated: Vec<&str> = effects
            .duplicated()
            .into_iter()
            .filter(|name| class_of(name) != REPEATABLE)
            .collect();
        assert!(
            duplicated.is_empty(),
            "took effect twice: {duplicated:?}, seed {}",
            self.plan.seed
        );
    }

    /// Checks the invariants at the end of a run: each accepted message was delivered, or is resolved in the store and
    /// its client was notified.
    pub(super) fn check_end(&self) {
        self.check_effects();
        let (journal, _) = self.open_journal();
        assert!(journal.unfinished().is_empty());
        let states: BTreeMap<String, State> = summaries(&self.open_service())
            .into_iter()
            .map(|summary| (summary.id, summary.state))
            .collect();
        let effects = self.environment.effects.borrow();
        for name in self.accepted_ids.borrow().iter() {
            let ran = effects.effect_count(name) > 0;
            let notified = self.notifications.borrow().contains_key(name);
            let details = format!("{name}: ran {ran}, notified {notified}");
            match states.get(name) {
                None => assert!(ran && !notified, "not in the store, {details}"),
                Some(State::Delivered) => assert!(ran && notified, "{details}"),
                Some(State::Resolved) => assert!(notified, "{details}"),
                Some(other) => panic!("{name} is still {other:?}"),
            }
        }
        let responses = self.accepted_ids.borrow().len() + self.rejected_ids.borrow().len();
        assert_eq!(responses, self.plan.messages, "each message has a response");
    }
}
