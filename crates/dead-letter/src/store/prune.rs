//! Frees space: drops resolved messages when they exceed the maximum age, or when the store is full. In this module, a
//! resolved message is one that was delivered or that an operator resolved.

use super::query::used_bytes;
use super::{DeadLetterStore, StoreLimits, read_row};
use crate::error::StoreError;
use milletturn_policy::Micros;
use rusqlite::{Transaction, params};

/// New messages leave 1/10 of the maximum size free, so that rows of stored messages can still be changed and grow.
const RESERVE_DIVISOR: u64 = 10;
/// Maximum number of resolved rows, or of their bodies, that are dropped in one step.
const PRUNE_BATCH: usize = 64;

/// The resolved messages whose bodies are dropped next.
const SELECT_BODIES_TO_DROP: &str = "SELECT number FROM message
    WHERE state IN ('delivered', 'settled') AND body IS NOT NULL ORDER BY ended_at LIMIT ?";
/// Drops the resolved messages that ended first, at most as many as the parameter says.
const DELETE_OLDEST_RESOLVED: &str = "DELETE FROM message WHERE number IN
    (SELECT number FROM message WHERE state IN ('delivered', 'settled') ORDER BY ended_at LIMIT ?)";
/// Drops resolved messages that ended before the time in the first parameter, at most as many as the second says.
const DELETE_EXPIRED: &str = "DELETE FROM message WHERE number IN (SELECT number FROM message
    WHERE state IN ('delivered', 'settled') AND ended_at < ? ORDER BY ended_at LIMIT ?)";

impl DeadLetterStore {
    /// Drops resolved messages that are older than the limits allow, a bounded number in one call; returns how many.
    ///
    /// # Errors
    /// When the file can't be written.
    pub fn prune(&mut self, now: Micros) -> Result<usize, StoreError> {
        let before = now.saturating_sub(self.limits.max_age);
        let transaction = self.connection.transaction()?;
        let deleted = transaction.execute(DELETE_EXPIRED, params![before, PRUNE_BATCH as i64])?;
        add_to_count(&transaction, -(deleted as i64))?;
        transaction.commit()?;
        // returns free pages to the file system a few at a time, at most 64 in one step
        self.connection
            .execute_batch("PRAGMA incremental_vacuum(64)")?;
        Ok(deleted)
    }
}

/// Makes space for one more message of `needed` bytes; returns false if there are not enough resolved messages
/// to drop.
///
/// If the file is too large, first the bodies of resolved messages are dropped, and then whole resolved messages; if
/// there are too many messages, whole resolved messages are dropped. In each step the messages that ended first are
/// dropped first. Messages that are neither delivered nor resolved are never dropped.
pub(super) fn free_space(
    transaction: &Transaction<'_>,
    needed: u64,
    limits: StoreLimits,
) -> Result<bool, StoreError> {
    let max_bytes = limits.max_bytes - limits.max_bytes / RESERVE_DIVISOR;
    loop {
        let count: i64 = transaction
            .prepare_cached("SELECT value FROM meta WHERE name = 'count'")?
            .query_row([], |row| row.get(0))?;
        let too_many = count.unsigned_abs() >= limits.max_messages;
        let too_large = used_bytes(transaction)? + needed > max_bytes;
        if !too_many && !too_large {
            return Ok(true);
        }
        if too_large && !too_many && drop_bodies(transaction)? {
            continue;
        }
        let deleted = transaction
            .prepare_cached(DELETE_OLDEST_RESOLVED)?
            .execute([PRUNE_BATCH as i64])?;
        if deleted == 0 {
            return Ok(false);
        }
        add_to_count(transaction, -(deleted as i64))?;
    }
}

/// Drops bodies of resolved messages; returns false if there are none.
fn drop_bodies(transaction: &Transaction<'_>) -> Result<bool, StoreError> {
    let numbers: Vec<i64> = transaction
        .prepare_cached(SELECT_BODIES_TO_DROP)?
        .query_map([PRUNE_BATCH as i64], |row| row.get(0))?
        .collect::<Result<_, _>>()?;
    for &number in &numbers {
        if let Some(mut row) = read_row(transaction, number.unsigned_abs())? {
            row.body = None;
            row.update(transaction)?;
        }
    }
    Ok(!numbers.is_empty())
}

/// Adds to the stored count of messages, which [`DeadLetterStore::verify`] compares with the number of rows.
pub(super) fn add_to_count(transaction: &Transaction<'_>, change: i64) -> Result<(), StoreError> {
    transaction
        .prepare_cached("UPDATE meta SET value = value + ? WHERE name = 'count'")?
        .execute([change])?;
    Ok(())
}
