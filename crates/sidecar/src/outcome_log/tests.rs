//! Tests of the outcome log and of its file on disk.

use super::{FILE_NAME, OutcomeLog, OutcomeLogError};
use milletturn_engine::{Ending, Notification, SharedStr};
use std::fs;

fn delivered(number: u64) -> Notification {
    let id = SharedStr::new(format!("m{number}").as_bytes()).expect("valid text");
    Notification {
        number,
        id,
        class: 0,
        ending: Ending::Delivered,
    }
}

#[test]
fn an_outcome_counts_once_across_repeated_notifications_restarts_and_acknowledgements() {
    let folder = tempfile::tempdir().expect("a temporary folder is created");
    let mut log = OutcomeLog::open(folder.path(), 1 << 20).expect("opened");
    assert_eq!(
        log.append(&[delivered(1), delivered(2)]).expect("written"),
        [1, 2]
    );
    assert_eq!(
        log.append(&[delivered(2), delivered(3)]).expect("written"),
        [2, 3]
    );
    let mut log = OutcomeLog::open(folder.path(), 1 << 20).expect("opened");
    assert_eq!(
        log.after(0, 10)
            .iter()
            .map(|one| one.number)
            .collect::<Vec<_>>(),
        [1, 2, 3]
    );
    log.acknowledge(2).expect("written");
    // the engine repeats the notification of an acknowledged outcome whose message the journal has not removed
    assert_eq!(log.append(&[delivered(1)]).expect("written"), [1]);
    let mut log = OutcomeLog::open(folder.path(), 1 << 20).expect("opened");
    assert_eq!(
        log.after(0, 10)
            .iter()
            .map(|one| one.number)
            .collect::<Vec<_>>(),
        [3]
    );
    assert_eq!(log.append(&[delivered(2)]).expect("written"), [2]);
    assert_eq!((log.after(0, 10).len(), log.first_free_number()), (1, 4));
}

#[test]
fn a_torn_last_record_is_dropped_and_a_damaged_one_is_an_error() {
    let folder = tempfile::tempdir().expect("a temporary folder is created");
    let mut log = OutcomeLog::open(folder.path(), 1 << 20).expect("opened");
    log.append(&[delivered(1), delivered(2), delivered(3)])
        .expect("written");
    let path = folder.path().join(FILE_NAME);
    let bytes = fs::read(&path).expect("read");
    for length in (0..bytes.len()).rev() {
        fs::write(&path, &bytes[..length]).expect("written");
        let log = OutcomeLog::open(folder.path(), 1 << 20).expect("a torn end is no damage");
        let complete_records = bytes[..length]
            .iter()
            .filter(|&&byte| byte == b'\n')
            .count();
        assert_eq!(log.after(0, 10).len(), complete_records);
    }
    let mut damaged = bytes.clone();
    damaged[2] = b'}';
    fs::write(&path, damaged).expect("written");
    assert!(matches!(
        OutcomeLog::open(folder.path(), 1 << 20),
        Err(OutcomeLogError::Damaged { line_number: 1, .. })
    ));
}

#[test]
fn without_a_reader_the_file_stays_bounded_and_nothing_is_lost() {
    let folder = tempfile::tempdir().expect("a temporary folder is created");
    let mut log = OutcomeLog::open(folder.path(), 20_000).expect("opened");
    let (mut stored, mut number) = (0, 0);
    for _ in 0..1000 {
        number += 1;
        stored += log.append(&[delivered(number)]).expect("written").len();
    }
    assert!((50..999).contains(&stored), "{stored}");
    assert!(
        fs::metadata(folder.path().join(FILE_NAME))
            .expect("there")
            .len()
            <= 20_000
    );
    // once the outcomes are acknowledged, the log has space again
    let cursor = log.last_cursor();
    log.acknowledge(cursor).expect("written");
    assert_eq!(
        log.append(&[delivered(number + 1)]).expect("written"),
        [number + 1]
    );
    assert_eq!(log.after(cursor, 10).len(), 1);
}

/// Guards against a limit that counts outcomes, whose ids may be long.
#[test]
fn the_memory_of_pending_outcomes_is_limited_with_their_ids() {
    let folder = tempfile::tempdir().expect("a temporary folder is created");
    let mut log = OutcomeLog::open(folder.path(), 1 << 20).expect("opened");
    log.limit_pending(10_000);
    let with_long_id = |number: u64| {
        let id = format!("{number:0200}");
        Notification {
            id: SharedStr::new(id.as_bytes()).expect("valid text"),
            ..delivered(number)
        }
    };
    let stored: usize = (1..100)
        .map(|number| log.append(&[with_long_id(number)]).expect("written").len())
        .sum();
    assert!((25..=50).contains(&stored), "{stored}");
    log.acknowledge(log.last_cursor()).expect("written");
    assert_eq!(log.append(&[with_long_id(100)]).expect("written"), [100]);
}
