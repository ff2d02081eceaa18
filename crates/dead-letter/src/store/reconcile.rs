//! Brings the states in the store into agreement with the journal after a restart.

use super::DeadLetterStore;
use crate::error::StoreError;
use crate::record::State;
use crate::row::Row;
use milletturn_policy::Micros;
use std::collections::BTreeSet;

impl DeadLetterStore {
    /// After a restart, sets the state of each message whose redrive an earlier process requested, according to the
    /// journal.
    ///
    /// `redriving` are the numbers of the messages that the journal holds as unfinished redrives; `journal_intact` is
    /// true if the journal lost no entries. If the journal does not hold the redrive of a message:
    ///
    /// - a message whose redrive was only requested becomes unresolved again, if the journal is intact;
    /// - any other message becomes unresolved and is marked as one that may have run.
    ///
    /// # Errors
    /// When the file can't be written.
    pub fn reconcile(
        &mut self,
        redriving: &BTreeSet<u64>,
        journal_intact: bool,
        now: Micros,
    ) -> Result<(), StoreError> {
        let mut to_check: BTreeSet<u64> = redriving.clone();
        for state in [State::RedriveRequested, State::Redriving] {
            to_check.extend(self.numbers_in_state(state)?);
        }
        for number in to_check {
            let in_journal = redriving.contains(&number);
            self.change(number, |row| {
                let before = row.state;
                if in_journal {
                    row.state = State::Redriving;
                } else if before == State::RedriveRequested && journal_intact {
                    row.state = State::Unresolved;
                    row.audit(
                        now,
                        "order dropped",
                        "restart",
                        "the sender ended before it was taken",
                    );
                } else {
                    mark_uncertain(row, now);
                }
                (row.state != before).then_some(())
            })?;
        }
        Ok(())
    }
}

/// Marks a message that the journal lost during a redrive: the destination may have processed an attempt sent after
/// the redrive was requested.
fn mark_uncertain(row: &mut Row, now: Micros) {
    row.state = State::Unresolved;
    let requested_at = row.redrive_requested_at;
    row.first_uncertain_at = Some(
        row.first_uncertain_at
            .map_or(requested_at, |first| first.min(requested_at)),
    );
    row.confirmed_not_run = false;
    row.audit(
        now,
        "may have run",
        "restart",
        "the ledger lost it while it was being sent again",
    );
}
