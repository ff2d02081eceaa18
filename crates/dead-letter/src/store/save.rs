//! Saves messages that ended undelivered, and the results of their redrives.

use super::prune::{add_to_count, free_space};
use super::{DeadLetterStore, PAGE_BYTES, StoreLimits, read_row};
use crate::error::StoreError;
use crate::record::{Attempt, Round, State, ending_text, outcome_text, reason_text};
use crate::row::Row;
use milletturn_engine::Ending;
use milletturn_engine::dead_letter_sink::EndedMessage;
use milletturn_policy::{Micros, Outcome};
use rusqlite::{ErrorCode, Transaction};

/// Maximum number of rounds, and of audit entries, in a row: the first one and the most recent ones are kept.
const MAX_HISTORY: usize = 24;

/// Whether a message could be saved.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SaveOutcome {
    /// The store holds the message.
    Saved,
    /// The store is full: there were not enough resolved messages to drop, or SQLite reported that the file has reached
    /// its maximum size.
    Full,
}

impl DeadLetterStore {
    /// Saves messages in one transaction; returns the outcomes in the order of the messages.
    ///
    /// # Errors
    /// When the file can't be written; then no message is saved.
    pub fn save(
        &mut self,
        messages: &[EndedMessage],
        now: Micros,
    ) -> Result<Vec<SaveOutcome>, StoreError> {
        let limits = self.limits;
        let transaction = self.connection.transaction()?;
        let mut outcomes = Vec::with_capacity(messages.len());
        for message in messages {
            transaction.execute_batch("SAVEPOINT one")?;
            let outcome = match save_one(&transaction, message, now, limits) {
                Err(StoreError::Database(error))
                    if error.sqlite_error_code() == Some(ErrorCode::DiskFull) =>
                {
                    SaveOutcome::Full
                }
                other => other?,
            };
            transaction.execute_batch(match outcome {
                SaveOutcome::Saved => "RELEASE one",
                SaveOutcome::Full => "ROLLBACK TO one; RELEASE one",
            })?;
            outcomes.push(outcome);
        }
        transaction.commit()?;
        Ok(outcomes)
    }
}

fn save_one(
    transaction: &Transaction<'_>,
    message: &EndedMessage,
    now: Micros,
    limits: StoreLimits,
) -> Result<SaveOutcome, StoreError> {
    match read_row(transaction, message.number)? {
        Some(mut row) if message.redriven => {
            record_round(&mut row, message);
            trim_history(&mut row);
            row.update(transaction)?;
        }
        // already saved: after a restart the engine offers a message again if it had not learned of the save
        Some(_) => {}
        None => {
            let needed = message.body.len() as u64 + 2 * PAGE_BYTES;
            if !free_space(transaction, needed, limits)? {
                return Ok(SaveOutcome::Full);
            }
            let mut row = Row::new(message);
            if message.redriven {
                // the store that was set aside held the row, and with it the time of the first uncertain attempt; 0
                // means that any deduplication window has ended
                row.first_uncertain_at = Some(0);
                row.audit(
                    now,
                    "history lost",
                    "restart",
                    "the store that held it was set aside",
                );
            }
            record_round(&mut row, message);
            row.insert(transaction)?;
            add_to_count(transaction, 1)?;
        }
    }
    Ok(SaveOutcome::Saved)
}

/// Records the end of a round in the row; a round that is recorded already is replaced.
fn record_round(row: &mut Row, message: &EndedMessage) {
    // the client got its one final response when the first round ended, so a redrive can't be returned to the
    // client: it counts as failed
    let ending = match message.ending {
        Ending::Returned { .. } if message.redriven => Ending::Failed,
        other => other,
    };
    let round = build_round(message, ending);
    match row
        .history
        .rounds
        .last_mut()
        .filter(|last| last.accepted_at == message.accepted_at)
    {
        Some(last) => *last = round,
        None => {
            row.redrives += u32::from(message.redriven);
            row.history.rounds.push(round);
        }
    }
    let uncertain = message
        .attempts
        .iter()
        .filter(|attempt| attempt.may_have_run)
        .map(|attempt| attempt.sent_at)
        .min();
    if let Some(sent_at) = uncertain {
        row.first_uncertain_at = Some(
            row.first_uncertain_at
                .map_or(sent_at, |first| first.min(sent_at)),
        );
        row.confirmed_not_run = false;
    }
    (row.ending, row.reason, row.ended_at) = (ending, message.reason, message.ended_at);
    let delivered = ending == Ending::Delivered
        || message
            .attempts
            .iter()
            .any(|attempt| attempt.outcome == Some(Outcome::Success));
    row.state = if delivered {
        State::Delivered
    } else {
        State::Unresolved
    };
}

fn build_round(message: &EndedMessage, ending: Ending) -> Round {
    let attempts = message.attempts.iter().map(|attempt| Attempt {
        endpoint: attempt.uid.clone(),
        sent_at: attempt.sent_at,
        outcome: attempt
            .outcome
            .map(|outcome| outcome_text(outcome).to_string()),
        latency: attempt.latency,
        may_have_run: attempt.may_have_run,
    });
    Round {
        accepted_at: message.accepted_at,
        ended_at: message.ended_at,
        ending: ending_text(ending).to_string(),
        reason: reason_text(message.reason).to_string(),
        attempts: attempts.collect(),
    }
}

/// Drops rounds and audit entries beyond [`MAX_HISTORY`]: the oldest ones, except for the first.
pub(super) fn trim_history(row: &mut Row) {
    trim(&mut row.history.rounds);
    trim(&mut row.history.audit_log);
}

fn trim<T>(items: &mut Vec<T>) {
    if items.len() > MAX_HISTORY {
        items.drain(1..=items.len() - MAX_HISTORY);
    }
}
