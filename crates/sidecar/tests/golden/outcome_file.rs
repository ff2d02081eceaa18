//! The format of the outcome log's file: every value of the recorded files is read, and the same outcomes are written
//! as the same text.

use super::{MAX_BYTES, golden, open_copy};
use milletturn_engine::{Ending, Notification, SharedStr};
use milletturn_sidecar::outcome_log::{Outcome, OutcomeLog};

fn notification(number: u64, id: &str, ending: Ending) -> Notification {
    Notification {
        number,
        id: SharedStr::new(id.as_bytes()).expect("valid text"),
        class: 0,
        ending,
    }
}

fn outcome(cursor: u64, number: u64, id: &str, state: &str, after_ms: Option<u64>) -> Outcome {
    Outcome {
        cursor,
        number,
        id: id.to_string(),
        state: state.to_string(),
        after_ms,
    }
}

/// The notifications that were appended to write the recorded file, in order.
fn notifications() -> [Notification; 5] {
    [
        notification(11, "m-11", Ending::Delivered),
        notification(
            12,
            "m-12",
            Ending::Returned {
                after_ms: Some(1500),
            },
        ),
        notification(14, "m-14", Ending::Failed),
        notification(15, "m-15", Ending::Returned { after_ms: None }),
        notification(16, "order/16", Ending::Delivered),
    ]
}

fn pending_outcomes() -> Vec<Outcome> {
    vec![
        outcome(3, 14, "m-14", "failed", None),
        outcome(4, 15, "m-15", "returned", None),
        outcome(5, 16, "order/16", "delivered", None),
    ]
}

#[test]
fn every_value_of_the_recorded_outcome_file_is_read() {
    let (_folder, mut log) = open_copy("outcomes");
    assert_eq!(log.after(0, 100), pending_outcomes());
    assert_eq!(
        (
            log.acknowledged_cursor(),
            log.last_cursor(),
            log.first_free_number()
        ),
        (2, 5, 17)
    );
    assert_eq!(log.find_by_id("m-15").as_ref(), pending_outcomes().get(1));
    // repeated notifications are recognized, including those of acknowledged outcomes
    assert_eq!(
        log.append(&notifications()).expect("the log is written"),
        [11, 12, 14, 15, 16]
    );
    assert_eq!(log.after(0, 100), pending_outcomes());
}

#[test]
fn every_value_of_a_rewritten_outcome_file_is_read() {
    let (_folder, mut log) = open_copy("outcomes-rewritten");
    assert_eq!(
        log.after(0, 100),
        [outcome(42, 142, "m-142", "delivered", None)]
    );
    assert_eq!(
        (
            log.acknowledged_cursor(),
            log.last_cursor(),
            log.first_free_number()
        ),
        (41, 42, 143)
    );
    assert_eq!(
        log.append(&[notification(141, "m-141", Ending::Delivered)])
            .expect("the log is written"),
        [141]
    );
    assert_eq!(log.after(0, 100).len(), 1);
}

#[test]
fn outcomes_are_written_as_in_the_recorded_file() {
    let folder = tempfile::tempdir().expect("a temporary folder is created");
    let mut log = OutcomeLog::open(folder.path(), MAX_BYTES).expect("the log opens");
    let [first, second, rest @ ..] = notifications();
    assert_eq!(
        log.append(&[first, second]).expect("the log is written"),
        [11, 12]
    );
    log.acknowledge(2).expect("the log is written");
    assert_eq!(log.append(&rest).expect("the log is written"), [14, 15, 16]);
    let written =
        std::fs::read_to_string(folder.path().join("outcomes")).expect("the file is readable");
    assert_eq!(
        written,
        std::fs::read_to_string(golden("outcomes")).expect("the file is readable")
    );
}

#[test]
fn a_rewritten_outcome_file_equals_the_recorded_one() {
    let folder = tempfile::tempdir().expect("a temporary folder is created");
    // the size limit is small enough that the file is rewritten within 42 outcomes
    let mut log = OutcomeLog::open(folder.path(), 6_000).expect("the log opens");
    for number in 101..=142 {
        let one = notification(number, &format!("m-{number}"), Ending::Delivered);
        assert_eq!(log.append(&[one]).expect("the log is written"), [number]);
        if number < 142 {
            log.acknowledge(number - 100).expect("the log is written");
        }
    }
    let written =
        std::fs::read_to_string(folder.path().join("outcomes")).expect("the file is readable");
    assert_eq!(
        written,
        std::fs::read_to_string(golden("outcomes-rewritten")).expect("the file is readable")
    );
    assert!(
        written.starts_with(r#"{"acked":"#) && written.contains(r#""recent":[101,102,"#),
        "{written}"
    );
}
