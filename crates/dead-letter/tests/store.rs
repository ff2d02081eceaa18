//! Tests of the store's file: limits and pruning, a flipped bit at every seventh byte, truncated files, the rounds of a
//! redriven message, and messages whose redrive the journal lost.

use bytes::Bytes;
use milletturn_dead_letter::config::Config;
use milletturn_dead_letter::error::{RedriveError, Rejection, StoreError};
use milletturn_dead_letter::record::{BodyMode, Filter, Record, State};
use milletturn_dead_letter::redrive_service::{RedriveService, Resolution, SaveReport};
use milletturn_dead_letter::store::{DeadLetterStore, StoreLimits};
use milletturn_engine::dead_letter_sink::EndedMessage;
use milletturn_engine::{AttemptRecord, EndReason, Ending, RedriveOutcome, SharedStr};
use milletturn_policy::{Effect, Micros, Outcome, SECOND};
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

const NOW: Micros = 1_000_000 * SECOND;

fn message(number: u64, body_bytes: usize, outcome: Outcome) -> EndedMessage {
    EndedMessage {
        number,
        id: SharedStr::new(format!("m{number}").as_bytes()).expect("a short text"),
        key: None,
        class: "order".into(),
        effect: None,
        destination: number % 3,
        body: Bytes::from(vec![b'x'; body_bytes]),
        accepted_at: NOW,
        deadline: NOW + 20 * SECOND,
        ended_at: NOW + SECOND,
        ending: Ending::Failed,
        reason: EndReason::NotRetryable,
        attempts: vec![AttemptRecord {
            uid: "s-1".into(),
            sent_at: NOW,
            outcome: Some(outcome),
            latency: Some(5),
            may_have_run: !outcome.never_ran(),
        }],
        redriven: false,
    }
}

fn open_without_recovery(path: &Path, config: &Config) -> RedriveService {
    let store = DeadLetterStore::open(path, RedriveService::limits(config)).expect("opened");
    let effects = BTreeMap::from([("order".to_string(), Effect::Unsafe)]);
    RedriveService::new(store, config, effects)
}

fn open_service(path: &Path, config: &Config) -> RedriveService {
    let mut service = open_without_recovery(path, config);
    service
        .recover(&BTreeSet::new(), true, NOW)
        .expect("an intact store");
    service
}

fn all_records(service: &RedriveService) -> Vec<Record> {
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

/// Saves a message of 5 KB; returns true if the store had space for it.
fn try_save(service: &mut RedriveService, number: u64) -> bool {
    let message = message(number, 5_000, Outcome::Error);
    let report = service.save(&[message], NOW).expect("written");
    assert_eq!(report.saved.len() + report.unsaved, 1);
    report.unsaved == 0
}

/// Saves messages from `number` on until the store is full; returns the number of the first message that was not saved.
fn fill(service: &mut RedriveService, mut number: u64) -> u64 {
    while try_save(service, number) {
        number += 1;
    }
    number
}

fn rejection<T>(result: Result<T, RedriveError>) -> Option<Rejection> {
    match result {
        Ok(_) => None,
        Err(RedriveError::Rejected(rejection)) => Some(rejection),
        Err(RedriveError::Store(error)) => panic!("{error}"),
    }
}

fn resolve_as_done(service: &mut RedriveService, number: u64) -> Option<Rejection> {
    rejection(service.resolve(number, Resolution::Done, "me", "", NOW))
}

#[test]
fn a_full_store_drops_only_resolved_messages() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("u.db");
    let config = Config {
        max_bytes: 300_000,
        ..Config::default()
    };
    let mut service = open_service(&path, &config);
    let number = fill(&mut service, 1);
    assert!(number > 20, "{number}");
    assert!(service.stats(NOW).expect("read").full);
    assert_eq!(
        all_records(&service).len() as u64,
        number - 1,
        "unresolved messages are not dropped"
    );
    // the bodies of resolved messages are dropped first; their rows stay
    for resolved in 1..=5 {
        assert_eq!(resolve_as_done(&mut service, resolved), None);
    }
    assert!(try_save(&mut service, number));
    let records = all_records(&service);
    assert_eq!(records.len() as u64, number);
    assert!(
        records[..5]
            .iter()
            .all(|record| record.body_base64.is_none())
    );
    assert!(
        records[5..]
            .iter()
            .all(|record| record.body_base64.is_some())
    );
    // when no bodies are left to drop, the resolved rows are dropped
    let number = fill(&mut service, number + 1);
    let records = all_records(&service);
    assert!(
        records
            .iter()
            .all(|record| record.summary.state == State::Unresolved)
    );
    resolve_and_prune_all(&mut service, &records, &path, config.max_age);
    assert!(all_records(&service).is_empty());
    assert!(try_save(&mut service, number));
    assert!(!service.stats(NOW).expect("read").full);
}

/// Resolves all messages and prunes them after the maximum age, until the file has shrunk to 64 KiB.
fn resolve_and_prune_all(
    service: &mut RedriveService,
    records: &[Record],
    path: &Path,
    max_age: Micros,
) {
    for record in records {
        assert_eq!(resolve_as_done(service, record.summary.number), None);
    }
    let expired = NOW + max_age + 10 * SECOND;
    while service.prune(expired).expect("written") > 0 {}
    while std::fs::metadata(path).expect("there").len() > 65_536 {
        service.prune(expired).expect("written");
    }
}

#[test]
fn the_number_of_messages_is_bounded() {
    let folder = tempfile::tempdir().expect("a folder");
    let config = Config {
        max_messages: 3,
        ..Config::default()
    };
    let mut service = open_service(&folder.path().join("u.db"), &config);
    let batch: Vec<EndedMessage> = (1..=5)
        .map(|number| message(number, 10, Outcome::Error))
        .collect();
    let report = |saved, unsaved| SaveReport { saved, unsaved };
    assert_eq!(
        service.save(&batch, NOW).expect("written"),
        report(vec![1, 2, 3], 2)
    );
    service
        .resolve(2, Resolution::Done, "me", "", NOW)
        .expect("done");
    assert_eq!(
        service.save(&batch[3..], NOW).expect("written"),
        report(vec![4], 1)
    );
    assert_eq!(
        all_records(&service)
            .iter()
            .map(|record| record.summary.number)
            .collect::<Vec<_>>(),
        [1, 3, 4]
    );
}

/// Writes six messages, one of them confirmed not to have run; returns their records.
fn write_six_messages(path: &Path, config: &Config) -> Vec<Record> {
    let mut service = open_service(path, config);
    let batch: Vec<EndedMessage> = (1..=6)
        .map(|number| message(number, 700, Outcome::Error))
        .collect();
    service.save(&batch, NOW).expect("written");
    service
        .resolve(3, Resolution::DidNotRun, "me", "asked", NOW)
        .expect("done");
    all_records(&service)
}

/// Writes bytes as a store's file, verifies the file and reads all records.
fn read_store(path: &Path, bytes: &[u8], limits: StoreLimits) -> Result<Vec<Record>, StoreError> {
    std::fs::write(path, bytes).expect("written");
    let store = DeadLetterStore::open(path, limits)?;
    store.last_number()?;
    store.verify()?;
    let page = store.list(&Filter::default(), 0, usize::MAX)?;
    page.messages
        .iter()
        .map(|summary| {
            Ok(store
                .record(summary.number, BodyMode::Include)?
                .expect("listed"))
        })
        .collect()
}

#[test]
fn damage_at_any_position_is_found_or_harmless() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("u.db");
    let config = Config {
        max_bytes: 1 << 20,
        ..Config::default()
    };
    let intact_records = write_six_messages(&path, &config);
    let bytes = std::fs::read(&path).expect("read");
    let limits = StoreLimits {
        max_bytes: 1 << 20,
        max_messages: 100,
        max_age: Micros::MAX,
    };
    let damaged_path = folder.path().join("damaged.db");
    let open = |bytes: &[u8]| read_store(&damaged_path, bytes, limits);
    assert_eq!(open(&bytes).expect("an intact store"), intact_records);
    let (mut found, mut harmless) = (0, 0);
    for at in (0..bytes.len()).step_by(7) {
        let mut damaged = bytes.clone();
        damaged[at] ^= 1 << (at % 8);
        match open(&damaged) {
            Err(_) => found += 1,
            Ok(records) => {
                assert_eq!(
                    records, intact_records,
                    "a flipped bit at byte {at} changed a record without an error"
                );
                harmless += 1;
            }
        }
    }
    // the flipped bits without an effect are in bytes that SQLite does not use
    assert!(found > 500, "{found} found, {harmless} harmless");
    for length in (0..bytes.len()).step_by(97) {
        assert!(open(&bytes[..length]).is_err(), "cut to {length} bytes");
    }
}

/// Redrives message 1, and checks that other requests for the message are rejected meanwhile.
fn redrive_first_message(service: &mut RedriveService, now: Micros) {
    let order = service
        .request_redrive(1, "me", "once more", now)
        .expect("it never ran");
    assert_eq!((order.number, order.uncertain_attempt.clone()), (1, None));
    // a rule and an operator may request a redrive of the same message
    let second = service.request_redrive(1, "rule", "", now);
    assert_eq!(rejection(second), Some(Rejection::InProgress));
    service
        .on_redrive_outcome(1, RedriveOutcome::Accepted, now)
        .expect("written");
    let second = service.request_redrive(1, "me", "", now);
    assert_eq!(rejection(second), Some(Rejection::InProgress));
    let resolved = service.resolve(1, Resolution::Done, "me", "", now);
    assert_eq!(
        rejection(resolved),
        Some(Rejection::InProgress),
        "a message can't be resolved while a redrive may deliver it"
    );
}

#[test]
fn a_failed_redrive_adds_a_round_to_the_same_message() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut service = open_service(&folder.path().join("u.db"), &Config::default());
    let first = message(1, 10, Outcome::NoConnection);
    service
        .save(std::slice::from_ref(&first), NOW)
        .expect("written");
    for round in 1..=40 {
        let now = NOW + round * 100 * SECOND;
        redrive_first_message(&mut service, now);
        let redriven = EndedMessage {
            accepted_at: now,
            ended_at: now + SECOND,
            redriven: true,
            ..first.clone()
        };
        service
            .save(std::slice::from_ref(&redriven), now)
            .expect("written");
        // the engine offers the message again after a restart: the round is not added twice
        service
            .save(std::slice::from_ref(&redriven), now)
            .expect("written");
        let records = all_records(&service);
        assert_eq!(
            (records.len(), records[0].summary.redrives),
            (1, round as u32)
        );
        assert!(
            records[0].rounds.len() <= 24 && records[0].audit_log.len() <= 24,
            "the history of a message is bounded"
        );
    }
    assert_eq!(
        all_records(&service)[0].rounds[0].accepted_at,
        NOW,
        "the first round is never dropped"
    );
}

#[test]
fn a_message_whose_redrive_the_journal_lost_may_have_run() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("u.db");
    let config = Config::default();
    {
        let mut service = open_service(&path, &config);
        let batch: Vec<EndedMessage> = (1..=3)
            .map(|number| message(number, 10, Outcome::NoConnection))
            .collect();
        service.save(&batch, NOW).expect("written");
        for number in 1..=3 {
            service
                .request_redrive(number, "me", "", NOW + SECOND)
                .expect("it never ran");
        }
        for number in [1, 3] {
            service
                .on_redrive_outcome(number, RedriveOutcome::Accepted, NOW + SECOND)
                .expect("written");
        }
    }
    // the journal only has message 3: it had accepted message 1 and lost it, and never received message 2
    let mut service = open_without_recovery(&path, &config);
    service
        .recover(&BTreeSet::from([3]), true, NOW)
        .expect("an intact store");
    let uncertain: Vec<_> = all_records(&service)
        .iter()
        .map(|record| (record.summary.state, record.summary.first_uncertain_at))
        .collect();
    let requested_at = Some(NOW + SECOND);
    assert_eq!(
        uncertain,
        [
            (State::Unresolved, requested_at),
            (State::Unresolved, None),
            (State::Redriving, None)
        ]
    );
    assert!(
        rejection(service.request_redrive(1, "me", "", NOW)).is_some(),
        "an unsafe message that may have run is not redriven"
    );
    assert!(service.request_redrive(2, "me", "", NOW).is_ok());
}

#[test]
fn a_short_file_that_is_not_a_database_is_reported_as_damaged() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("u.db");
    std::fs::write(
        &path,
        b"this is no database, but somebody's only copy of something",
    )
    .expect("written");
    let limits = RedriveService::limits(&Config::default());
    assert!(matches!(
        DeadLetterStore::open(&path, limits),
        Err(StoreError::Damaged { .. })
    ));
}
