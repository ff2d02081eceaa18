//! Tests of the store's file: its columns, records, redrive decisions and error texts.

use super::columns::describe_columns;
use super::store_script::write_store;
use super::{
    COMMANDS_AT, NOW, assert_matches_golden, copy_golden_store, default_limits, effects,
    golden_text, open_service,
};
use milletturn_dead_letter::config::Config;
use milletturn_dead_letter::error::StoreError;
use milletturn_dead_letter::record::{BodyMode, Filter, Record, State};
use milletturn_dead_letter::redrive_decision::RedriveDecision;
use milletturn_dead_letter::redrive_service::RedriveService;
use milletturn_dead_letter::store::DeadLetterStore;
use rusqlite::Connection;
use std::fmt::Write as _;
use std::path::Path;

fn records(service: &RedriveService) -> Vec<Record> {
    let page = service
        .list(&Filter::default(), 0, usize::MAX)
        .expect("read");
    let record = |number| {
        service
            .record(number, BodyMode::Include)
            .expect("read")
            .expect("there")
    };
    page.messages
        .into_iter()
        .map(|summary| record(summary.number))
        .collect()
}

/// The rows that hold the effects of the classes, which are all in force.
const EFFECT_ROWS: &str = "
meta
  name = text effect/licence/deduplicated all 3600000000
  value = Integer(9223372036854775807)

meta
  name = text effect/order/at_most_once
  value = Integer(9223372036854775807)

meta
  name = text effect/webhook/idempotent
  value = Integer(9223372036854775807)
";

#[test]
fn the_same_steps_write_the_same_columns() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("u.db");
    write_store(&path);
    let columns = golden_text("columns.txt");
    let (schema, messages) = columns.split_once("\nmessage\n").expect("messages");
    let with_effects = format!("{schema}{EFFECT_ROWS}\nmessage\n{messages}");
    assert_eq!(describe_columns(&path), with_effects);
    // the file of an earlier build, which has no rows of effects
    assert_matches_golden(
        "columns.txt",
        &describe_columns(&copy_golden_store(folder.path())),
    );
}

#[test]
fn a_store_of_an_earlier_build_is_read_value_by_value() {
    let folder = tempfile::tempdir().expect("a folder");
    let store =
        DeadLetterStore::open(&copy_golden_store(folder.path()), default_limits()).expect("opened");
    store.verify().expect("an intact store");
    assert_eq!(store.last_number().expect("read"), 15);
    let service = RedriveService::new(store, &Config::default(), effects());
    let records = records(&service);
    let lines: String = records
        .iter()
        .map(|record| serde_json::to_string(record).expect("text") + "\n")
        .collect();
    assert_matches_golden("records.jsonl", &lines);
    let read: Vec<Record> = golden_text("records.jsonl")
        .lines()
        .map(|line| serde_json::from_str(line).expect("a record"))
        .collect();
    assert_eq!(read, records);
    let states: Vec<State> = records.iter().map(|record| record.summary.state).collect();
    let mut wanted = [State::Unresolved; 15];
    wanted[2] = State::RedriveRequested;
    wanted[3] = State::Redriving;
    wanted[4..6].fill(State::Delivered);
    (wanted[6], wanted[13]) = (State::Resolved, State::Resolved);
    assert_eq!(states, wanted);
    let stats = service.stats(COMMANDS_AT).expect("read");
    assert_eq!(stats.by_state, [9, 1, 1, 2, 2]);
    assert_eq!(
        (stats.oldest_unresolved, stats.past_max_age, stats.full),
        (Some(NOW + 1), 0, false)
    );
    assert_eq!((stats.max_bytes, stats.max_messages), (64_000_000, 100_000));
}

#[test]
fn each_message_gets_the_same_decision() {
    let folder = tempfile::tempdir().expect("a folder");
    let service = open_service(&copy_golden_store(folder.path()), default_limits());
    let mut lines = String::new();
    for record in records(&service) {
        let decision = match service.decide(&record.summary, COMMANDS_AT) {
            Ok(RedriveDecision::AllowedUntil(until)) => format!("until {until}"),
            Ok(RedriveDecision::Allowed(_)) => "free".to_string(),
            Ok(RedriveDecision::Denied(_)) => "never".to_string(),
            Err(rejection) => rejection.to_string(),
        };
        writeln!(lines, "{}: {decision}", record.summary.number).expect("text");
    }
    assert_matches_golden("verdicts.txt", &lines);
}

#[test]
fn errors_of_the_file_have_the_same_text() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = copy_golden_store(folder.path());
    let open = || DeadLetterStore::open(&path, default_limits());
    let text = |error: StoreError| {
        let folder: &Path = folder.path();
        error
            .to_string()
            .replace(&folder.display().to_string(), "FOLDER")
    };
    let connection = Connection::open(&path).expect("opened");
    connection
        .execute_batch("UPDATE message SET resends = 9 WHERE number = 5")
        .expect("written");
    let error = open().expect("opened").verify().expect_err("damaged");
    assert_eq!(
        text(error),
        "the store FOLDER/undelivered.db is damaged: row 5: its checksum does not fit"
    );
    connection
        .execute_batch("DELETE FROM message WHERE number = 5")
        .expect("written");
    let error = open().expect("opened").verify().expect_err("damaged");
    assert_eq!(
        text(error),
        "the store FOLDER/undelivered.db is damaged: 15 messages should be there, 14 are"
    );
    connection
        .execute_batch("PRAGMA user_version = 2")
        .expect("written");
    let error = open().expect_err("a newer version");
    assert_eq!(
        text(error),
        concat!(
            "the store FOLDER/undelivered.db is not one that this version can read: ",
            "application 0x4d545544, version 2"
        )
    );
    std::fs::write(&path, "short").expect("written");
    let error = open().expect_err("a truncated file");
    assert_eq!(
        text(error),
        "the store FOLDER/undelivered.db is damaged: it was cut to 5 bytes"
    );
}
