//! A row of the store's table of messages: its columns and checksum, and how it is read and written.

use crate::error::StoreError;
use crate::record::{
    AuditEntry, BodyMode, Record, Round, State, Summary, ending_text, parse_ending, parse_reason,
    reason_text,
};
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use milletturn_engine::dead_letter_sink::EndedMessage;
use milletturn_engine::{EndReason, Ending};
use milletturn_policy::Micros;
use rusqlite::types::ValueRef;
use rusqlite::{Connection, params};
use serde::{Deserialize, Serialize};

/// The statements that create the table and its index.
///
/// The columns are in the order of the fields of [`Row`]. Some columns are not named like their field: `first_taken` is
/// `accepted_at`, `resends` is `redrives`, `first_risk` is `first_uncertain_at`, `stated` is `confirmed_not_run`,
/// `ordered_at` is `redrive_requested_at`, `story` is `history` and `sum` is `checksum`.
///
/// Times are Unix time in microseconds; `story` is the [`AttemptHistory`] as JSON, so that it can be read in the
/// sqlite3 shell. SQLite integers are signed, so a destination of 2^63 or more is stored as a negative number.
pub const TABLE: &str = "CREATE TABLE message (
        number INTEGER PRIMARY KEY,
        id TEXT NOT NULL, key TEXT, class TEXT NOT NULL, destination INTEGER NOT NULL,
        state TEXT NOT NULL, ending TEXT NOT NULL, reason TEXT NOT NULL,
        first_taken INTEGER NOT NULL, deadline INTEGER NOT NULL, ended_at INTEGER NOT NULL,
        resends INTEGER NOT NULL, first_risk INTEGER, stated INTEGER NOT NULL, ordered_at INTEGER NOT NULL,
        story TEXT NOT NULL, body BLOB, sum INTEGER NOT NULL);
    CREATE INDEX message_by_state ON message (state, ended_at);";

/// Number of columns of the table.
const COLUMNS: usize = 18;
/// Selects all rows, with the columns that [`Row::read`] expects.
pub const SELECT_ALL: &str = "SELECT * FROM message";
/// Selects one row by its number, with the columns that [`Row::read`] expects.
pub const SELECT_ONE: &str = "SELECT * FROM message WHERE number = ?";
/// Selects the rows with numbers above the first parameter, at most as many as the second, with the columns that
/// [`Row::read_summary`] expects: without the history, and with the body's length in place of the body.
pub const SELECT_AFTER: &str =
    "SELECT number, id, key, class, destination, state, ending, reason, first_taken,
    deadline, ended_at, resends, first_risk, stated, ordered_at, length(body) FROM message
    WHERE number > ? ORDER BY number LIMIT ?";
const INSERT: &str =
    "INSERT INTO message VALUES (?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?)";
const REPLACE: &str =
    "REPLACE INTO message VALUES (?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?)";

/// What happened to a message: its rounds of attempts, and the actions on it in the store.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptHistory {
    /// Rounds of attempts, oldest first.
    pub rounds: Vec<Round>,
    /// Actions on the message in the store, oldest first.
    #[serde(rename = "notes")]
    pub audit_log: Vec<AuditEntry>,
}

/// A message with all columns of its row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// The message's number, the primary key.
    pub number: u64,
    /// The id that the client gave to the message.
    pub id: String,
    /// Idempotency key by which the destination recognizes repeated requests; `None` if the message has no key.
    pub key: Option<String>,
    /// Name of the message's class.
    pub class: String,
    /// Number of the message's destination.
    pub destination: u64,
    /// State of the message in the store.
    pub state: State,
    /// How the last round ended; the retry-after delay of a returned message is not stored.
    pub ending: Ending,
    /// Why the last round ended.
    pub reason: EndReason,
    /// When the engine first accepted the message.
    pub accepted_at: Micros,
    /// Deadline of the first round of attempts.
    pub deadline: Micros,
    /// When the last round ended.
    pub ended_at: Micros,
    /// Number of redrives so far.
    pub redrives: u32,
    /// When the first attempt that the destination may have processed was sent; `None` if there is none. Attempts that
    /// an operator has confirmed not to have run don't count. 0 if the time is unknown because it was recorded in a
    /// damaged file that was set aside.
    pub first_uncertain_at: Option<Micros>,
    /// True if an operator has confirmed that the message did not run, or that its client does not resubmit it.
    pub confirmed_not_run: bool,
    /// When the last redrive was requested; 0 if none was.
    pub redrive_requested_at: Micros,
    /// Rounds of attempts and audit log.
    pub history: AttemptHistory,
    /// The message's body; `None` once it was dropped to free space.
    pub body: Option<Vec<u8>>,
    /// The checksum that was read from the file; 0 in a new row.
    checksum: i64,
}

impl Row {
    /// A row for a message that has just ended. Its history is empty: the caller adds the round of attempts that ended.
    #[must_use]
    pub fn new(ended: &EndedMessage) -> Self {
        Row {
            number: ended.number,
            id: ended.id.to_string(),
            key: ended.key.as_ref().map(ToString::to_string),
            class: ended.class.clone(),
            destination: ended.destination,
            state: State::Unresolved,
            ending: ended.ending,
            reason: ended.reason,
            accepted_at: ended.accepted_at,
            deadline: ended.deadline,
            ended_at: ended.ended_at,
            redrives: 0,
            first_uncertain_at: None,
            confirmed_not_run: false,
            redrive_requested_at: 0,
            history: AttemptHistory::default(),
            body: Some(ended.body.to_vec()),
            checksum: 0,
        }
    }

    /// Appends an entry to the message's audit log.
    pub fn audit(&mut self, at: Micros, action: &str, actor: &str, reason: &str) {
        self.history.audit_log.push(AuditEntry {
            at,
            action: action.into(),
            actor: actor.into(),
            reason: reason.into(),
        });
    }

    /// Reads a row that [`SELECT_ONE`] or [`SELECT_ALL`] found. Its checksum is not verified: see [`Row::verify`].
    ///
    /// # Errors
    /// When a column has a value or type that this program never writes.
    pub fn read(sql_row: &rusqlite::Row<'_>) -> Result<Self, StoreError> {
        let number = read_number(sql_row)?;
        if sql_row.as_ref().column_count() != COLUMNS {
            return Err(invalid(number, "it does not have the expected columns"));
        }
        let history: String = column(sql_row, number, 15)?;
        let summary = read_shared_columns(sql_row, number)?;
        let body = match sql_row.get_ref(16) {
            Ok(ValueRef::Blob(bytes)) => Some(bytes.to_vec()),
            Ok(ValueRef::Null) => None,
            _ => return Err(invalid(number, "its body is not a BLOB")),
        };
        Ok(Row {
            number,
            key: summary.key,
            destination: summary.destination,
            state: summary.state,
            ending: parse_ending(&summary.ending)
                .ok_or_else(|| invalid(number, "unknown ending"))?,
            reason: parse_reason(&summary.reason)
                .ok_or_else(|| invalid(number, "unknown reason"))?,
            id: summary.id,
            class: summary.class,
            accepted_at: summary.accepted_at,
            deadline: summary.deadline,
            ended_at: summary.ended_at,
            redrives: summary.redrives,
            first_uncertain_at: summary.first_uncertain_at,
            confirmed_not_run: summary.confirmed_not_run,
            redrive_requested_at: column(sql_row, number, 14)?,
            history: serde_json::from_str(&history)
                .map_err(|error| invalid(number, &error.to_string()))?,
            body,
            checksum: column(sql_row, number, 17)?,
        })
    }

    /// Reads the summary of a row that [`SELECT_AFTER`] found.
    ///
    /// # Errors
    /// When a column has a value or type that this program never writes.
    pub fn read_summary(sql_row: &rusqlite::Row<'_>) -> Result<Summary, StoreError> {
        let number = read_number(sql_row)?;
        let length: Option<i64> = column(sql_row, number, 15)?;
        Ok(Summary {
            body_bytes: length.map(i64::unsigned_abs),
            ..read_shared_columns(sql_row, number)?
        })
    }

    /// Verifies that the columns match the checksum that was read with them.
    ///
    /// # Errors
    /// [`StoreError::InvalidRow`] when it does not match.
    pub fn verify(&self) -> Result<(), StoreError> {
        let history = serde_json::to_string(&self.history).unwrap_or_default();
        if self.checksum == self.compute_checksum(&history) {
            Ok(())
        } else {
            Err(invalid(self.number, "its checksum does not fit"))
        }
    }

    /// The CRC-32 of all columns, each preceded by its length, so that bytes that move
    /// from one column to the next change the checksum.
    fn compute_checksum(&self, history: &str) -> i64 {
        let mut hasher = crc32fast::Hasher::new();
        let mut add = |bytes: Option<&[u8]>| {
            let length = bytes.map_or(u64::MAX, |bytes| bytes.len() as u64);
            hasher.update(&length.to_le_bytes());
            hasher.update(bytes.unwrap_or_default());
        };
        for text in [
            &self.id,
            &self.class,
            self.state.as_str(),
            ending_text(self.ending),
            reason_text(self.reason),
        ] {
            add(Some(text.as_bytes()));
        }
        add(self.key.as_ref().map(String::as_bytes));
        add(Some(history.as_bytes()));
        add(self.body.as_deref());
        add(self
            .first_uncertain_at
            .map(i64::to_le_bytes)
            .as_ref()
            .map(|bytes| &bytes[..]));
        for number in [
            self.number,
            self.destination,
            self.accepted_at as u64,
            self.deadline as u64,
            self.ended_at as u64,
            u64::from(self.redrives),
            u64::from(self.confirmed_not_run),
            self.redrive_requested_at as u64,
        ] {
            add(Some(&number.to_le_bytes()));
        }
        i64::from(hasher.finalize())
    }

    /// Inserts a new row.
    ///
    /// # Errors
    /// When the database fails.
    pub fn insert(&self, connection: &Connection) -> Result<(), StoreError> {
        self.write(connection, INSERT)
    }

    /// Replaces the row that has the same number.
    ///
    /// # Errors
    /// When the database fails.
    pub fn update(&self, connection: &Connection) -> Result<(), StoreError> {
        self.write(connection, REPLACE)
    }

    fn write(&self, connection: &Connection, statement: &str) -> Result<(), StoreError> {
        let history = serde_json::to_string(&self.history)
            .map_err(|error| invalid(self.number, &error.to_string()))?;
        connection.prepare_cached(statement)?.execute(params![
            self.number as i64,
            self.id,
            self.key,
            self.class,
            self.destination as i64,
            self.state.as_str(),
            ending_text(self.ending),
            reason_text(self.reason),
            self.accepted_at,
            self.deadline,
            self.ended_at,
            self.redrives,
            self.first_uncertain_at,
            self.confirmed_not_run,
            self.redrive_requested_at,
            history,
            self.body,
            self.compute_checksum(&history),
        ])?;
        Ok(())
    }

    /// The message without history and body.
    #[must_use]
    pub fn summary(&self) -> Summary {
        Summary {
            number: self.number,
            id: self.id.clone(),
            key: self.key.clone(),
            class: self.class.clone(),
            destination: self.destination,
            state: self.state,
            reason: reason_text(self.reason).to_string(),
            ending: ending_text(self.ending).to_string(),
            accepted_at: self.accepted_at,
            ended_at: self.ended_at,
            deadline: self.deadline,
            redrives: self.redrives,
            first_uncertain_at: self.first_uncertain_at,
            confirmed_not_run: self.confirmed_not_run,
            body_bytes: self.body.as_ref().map(|body| body.len() as u64),
        }
    }

    /// The complete record, with or without the body.
    #[must_use]
    pub fn into_record(self, body: BodyMode) -> Record {
        Record {
            summary: self.summary(),
            rounds: self.history.rounds,
            audit_log: self.history.audit_log,
            body_base64: self
                .body
                .filter(|_| body == BodyMode::Include)
                .map(|body| STANDARD.encode(body)),
        }
    }
}

/// Reads the columns that [`SELECT_AFTER`] and [`SELECT_ONE`] have at the same positions.
fn read_shared_columns(sql_row: &rusqlite::Row<'_>, number: u64) -> Result<Summary, StoreError> {
    let state: String = column(sql_row, number, 5)?;
    Ok(Summary {
        number,
        id: column(sql_row, number, 1)?,
        key: column(sql_row, number, 2)?,
        class: column(sql_row, number, 3)?,
        destination: column::<i64>(sql_row, number, 4)? as u64,
        state: State::parse(&state).ok_or_else(|| invalid(number, "unknown state"))?,
        ending: column(sql_row, number, 6)?,
        reason: column(sql_row, number, 7)?,
        accepted_at: column(sql_row, number, 8)?,
        deadline: column(sql_row, number, 9)?,
        ended_at: column(sql_row, number, 10)?,
        redrives: column(sql_row, number, 11)?,
        first_uncertain_at: column(sql_row, number, 12)?,
        confirmed_not_run: column(sql_row, number, 13)?,
        body_bytes: None,
    })
}

fn read_number(sql_row: &rusqlite::Row<'_>) -> Result<u64, StoreError> {
    let number: i64 = sql_row.get(0)?;
    u64::try_from(number)
        .map_err(|_| invalid(0, &format!("message number {number} is out of range")))
}

fn column<T: rusqlite::types::FromSql>(
    sql_row: &rusqlite::Row<'_>,
    number: u64,
    index: usize,
) -> Result<T, StoreError> {
    sql_row
        .get(index)
        .map_err(|error| invalid(number, &error.to_string()))
}

fn invalid(number: u64, problem: &str) -> StoreError {
    StoreError::InvalidRow {
        number,
        problem: problem.to_string(),
    }
}
