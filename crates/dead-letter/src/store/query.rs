//! Lists of messages, and statistics.

use super::{DeadLetterStore, PAGE_BYTES};
use crate::error::StoreError;
use crate::record::{Filter, State, Stats, Summary};
use crate::row::{self, Row};
use milletturn_policy::Micros;
use rusqlite::{Connection, params};
use std::collections::BTreeSet;

/// Maximum number of rows that one call of [`DeadLetterStore::list`] reads if the filter has no message numbers, which
/// bounds the time of a call.
const MAX_ROWS_READ: usize = 2000;

/// A page of a list.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Page {
    /// The messages that match, in the order of their numbers.
    pub messages: Vec<Summary>,
    /// The number after which the next page begins; `None` if the end was reached.
    pub next_after: Option<u64>,
}

impl DeadLetterStore {
    /// The messages after the number `after` that match a filter, at most `limit`, in the order of their numbers. A
    /// call without numbers in the filter reads a bounded number of rows, so its page may be short or empty although
    /// more matching messages follow.
    ///
    /// # Errors
    /// When the file can't be read.
    pub fn list(&self, filter: &Filter, after: u64, limit: usize) -> Result<Page, StoreError> {
        if filter.numbers.is_empty() {
            self.scan(filter, after, limit)
        } else {
            self.list_numbers(filter, after, limit)
        }
    }

    /// A page of the messages whose numbers the filter names.
    fn list_numbers(&self, filter: &Filter, after: u64, limit: usize) -> Result<Page, StoreError> {
        let numbers: BTreeSet<u64> = filter
            .numbers
            .iter()
            .copied()
            .filter(|&number| number > after)
            .collect();
        let mut page = Page::default();
        for number in numbers {
            let found = self.row(number)?.map(|row| row.summary());
            page.messages
                .extend(found.filter(|summary| filter.matches(summary)));
            if page.messages.len() >= limit {
                page.next_after = Some(number);
                break;
            }
        }
        Ok(page)
    }

    /// A page of the messages that match, found by reading rows in the order of their numbers.
    fn scan(&self, filter: &Filter, after: u64, limit: usize) -> Result<Page, StoreError> {
        let mut statement = self.connection.prepare_cached(row::SELECT_AFTER)?;
        let after = i64::try_from(after).unwrap_or(i64::MAX);
        let mut rows = statement.query(params![after, MAX_ROWS_READ as i64])?;
        let mut page = Page::default();
        let (mut rows_read, mut last) = (0, None);
        while let Some(row) = rows.next()? {
            let summary = Row::read_summary(row)?;
            (rows_read, last) = (rows_read + 1, Some(summary.number));
            if filter.matches(&summary) {
                page.messages.push(summary);
            }
            if page.messages.len() >= limit {
                page.next_after = last;
                return Ok(page);
            }
        }
        page.next_after = last.filter(|_| rows_read == MAX_ROWS_READ);
        Ok(page)
    }

    /// The numbers of all messages in a state, in order.
    pub(super) fn numbers_in_state(&self, state: State) -> Result<Vec<u64>, StoreError> {
        let sql = "SELECT number FROM message WHERE state = ? ORDER BY number";
        let mut statement = self.connection.prepare_cached(sql)?;
        let rows = statement.query_map([state.as_str()], |row| row.get::<_, i64>(0))?;
        rows.map(|number| Ok(number?.unsigned_abs())).collect()
    }

    /// Statistics of the store at `now` (Unix time in microseconds). [`Stats::full`] is set by the redrive service and
    /// is always false here.
    ///
    /// # Errors
    /// When the file can't be read.
    pub fn stats(&self, now: Micros) -> Result<Stats, StoreError> {
        let oldest_unresolved = self.connection.query_row(
            "SELECT min(first_taken) FROM message WHERE state IN ('kept', 'ordered', 'out')",
            [],
            |row| row.get(0),
        )?;
        let oldest_allowed = now.saturating_sub(self.limits.max_age);
        let past_max_age: i64 = self.connection.query_row(
            "SELECT count(*) FROM message WHERE state IN ('kept', 'ordered', 'out') AND first_taken < ?",
            [oldest_allowed],
            |row| row.get(0),
        )?;
        Ok(Stats {
            by_state: self.count_by_state()?,
            bytes: used_bytes(&self.connection)?,
            max_bytes: self.limits.max_bytes,
            max_messages: self.limits.max_messages,
            oldest_unresolved,
            past_max_age: past_max_age.unsigned_abs(),
            full: false,
        })
    }

    /// Number of messages by state, in the order of [`State::ALL`].
    fn count_by_state(&self) -> Result<[u64; 5], StoreError> {
        let sql = "SELECT state, count(*) FROM message GROUP BY state";
        let mut statement = self.connection.prepare_cached(sql)?;
        let mut rows = statement.query([])?;
        let mut counts = [0; 5];
        while let Some(row) = rows.next()? {
            let (state, count): (String, i64) = (row.get(0)?, row.get(1)?);
            let index = State::ALL.iter().position(|known| known.as_str() == state);
            if let Some(index) = index {
                counts[index] = count.unsigned_abs();
            }
        }
        Ok(counts)
    }
}

/// Size of the file's pages that are in use, in bytes.
pub(super) fn used_bytes(connection: &Connection) -> Result<u64, StoreError> {
    let read = |name| connection.pragma_query_value(None, name, |row| row.get::<_, i64>(0));
    let (pages, free) = (read("page_count")?, read("freelist_count")?);
    Ok((pages - free).unsigned_abs() * PAGE_BYTES)
}
