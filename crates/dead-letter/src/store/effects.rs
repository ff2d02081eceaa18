//! The effects of the classes, as rows of the store's table of numbers: the name holds class and effect, the number is the
//! time until which the effect was in force.

use super::DeadLetterStore;
use crate::effect_history::{EffectHistory, EffectPeriod};
use crate::error::StoreError;
use milletturn_policy::{Effect, Micros};
use rusqlite::{OptionalExtension, params};

/// Beginning of the name of a row that holds an effect; class and effect follow, separated by `/`.
const PREFIX: &str = "effect/";
/// Name of the row with the time until which accepted messages count as messages that must never run twice.
const UNSAFE_UNTIL: &str = "effects unsafe until";

const SELECT_EFFECTS: &str = "SELECT name, value FROM meta WHERE substr(name, 1, 7) = 'effect/'";
const DELETE_EFFECTS: &str = "DELETE FROM meta WHERE substr(name, 1, 7) = 'effect/'";

impl DeadLetterStore {
    /// Reads the effects of the classes that [`DeadLetterStore::save_effects`] has written.
    ///
    /// # Errors
    /// When the file can't be read. A row that this version can't read is skipped.
    pub(crate) fn effects(&self) -> Result<EffectHistory, StoreError> {
        let mut statement = self.connection.prepare_cached(SELECT_EFFECTS)?;
        let periods = statement
            .query_map([], |row| {
                let (name, until): (String, Micros) = (row.get(0)?, row.get(1)?);
                Ok(parse_period(&name, until))
            })?
            .filter_map(Result::transpose)
            .collect::<Result<_, _>>()?;
        let unsafe_until = self
            .connection
            .prepare_cached("SELECT value FROM meta WHERE name = ?")?
            .query_row([UNSAFE_UNTIL], |row| row.get(0))
            .optional()?;
        Ok(EffectHistory::restore(
            periods,
            unsafe_until.unwrap_or_default(),
        ))
    }

    /// Writes the effects of the classes in one transaction.
    ///
    /// # Errors
    /// When the file can't be written; then nothing has changed.
    pub(crate) fn save_effects(&mut self, history: &EffectHistory) -> Result<(), StoreError> {
        let transaction = self.connection.transaction()?;
        transaction.execute(DELETE_EFFECTS, [])?;
        {
            let mut insert = transaction.prepare_cached("REPLACE INTO meta VALUES (?, ?)")?;
            for period in history.periods() {
                insert.execute(params![row_name(&period), period.until])?;
            }
            if history.unsafe_until() > 0 {
                insert.execute(params![UNSAFE_UNTIL, history.unsafe_until()])?;
            }
        }
        transaction.commit()?;
        Ok(())
    }

    /// When the oldest message in the store was accepted; `None` if there is no message.
    ///
    /// # Errors
    /// When the file can't be read.
    pub(crate) fn oldest_accepted_at(&self) -> Result<Option<Micros>, StoreError> {
        let mut statement = self
            .connection
            .prepare_cached("SELECT min(first_taken) FROM message")?;
        Ok(statement.query_row([], |row| row.get(0))?)
    }
}

fn row_name(period: &EffectPeriod) -> String {
    let class = &period.class;
    match period.effect {
        Effect::Unsafe => format!("{PREFIX}{class}/at_most_once"),
        Effect::Repeatable => format!("{PREFIX}{class}/idempotent"),
        Effect::Keyed { window, zone_only } => {
            let scope = if zone_only { "zone" } else { "all" };
            format!("{PREFIX}{class}/deduplicated {scope} {window}")
        }
    }
}

fn parse_period(name: &str, until: Micros) -> Option<EffectPeriod> {
    let (class, text) = name.strip_prefix(PREFIX)?.rsplit_once('/')?;
    let effect = match text.split(' ').collect::<Vec<_>>()[..] {
        ["at_most_once"] => Effect::Unsafe,
        ["idempotent"] => Effect::Repeatable,
        ["deduplicated", scope, window] => Effect::Keyed {
            window: window.parse().ok()?,
            zone_only: scope == "zone",
        },
        _ => return None,
    };
    Some(EffectPeriod {
        class: class.to_string(),
        effect,
        until,
    })
}
