//! At-most-once messages that have ended and may have run are known after compactions and restarts.

use milletturn_engine::{Accepted, EndReason, Ending, Journal, MessageEnd, RecentlyEnded};
use milletturn_journal::FileJournal;
use milletturn_policy::Effect;
use std::path::Path;
use std::time::{Duration, Instant};

/// Small enough that the messages of the first test compact the file several times.
const MAX_BYTES: u64 = 100_000;
const NOW: i64 = 1_700_000_000_000_000;
/// Far above the time in which a file of this size is read once.
const MAX_START_TIME: Duration = Duration::from_millis(500);

fn open(folder: &Path) -> FileJournal {
    FileJournal::open(folder, MAX_BYTES, 4)
        .expect("the journal opens")
        .0
}

fn accepted(id: &str, effect: Effect) -> Accepted {
    Accepted {
        id: id.to_string(),
        key: None,
        class: "order".to_string(),
        effect: Some(effect),
        subject: None,
        tenant: None,
        destination: 7,
        accepted_at: NOW,
        deadline: NOW + 20_000_000,
        body: vec![b'x'; 500].into(),
    }
}

/// Records a message with one attempt.
fn record_attempted(journal: &mut FileJournal, number: u64, id: &str, effect: Effect) {
    journal
        .record_accepted(number, accepted(id, effect))
        .expect("written");
    journal.record_attempt(number, "s-1", NOW).expect("written");
}

fn record_end(journal: &mut FileJournal, number: u64, ending: Ending) {
    let end = MessageEnd {
        ending,
        reason: EndReason::Unknown,
        at: NOW,
    };
    journal.record_end(number, end).expect("written");
}

fn ids(journal: &FileJournal) -> Vec<String> {
    let ended = journal.recently_ended();
    ended.into_iter().map(|ended| ended.id).collect()
}

/// Guards against a message that runs again because its id was lost in a compaction or a restart.
#[test]
fn the_last_messages_are_known_after_compactions_and_restarts() {
    let folder = tempfile::tempdir().expect("a temporary folder is created");
    for process in 0..3 {
        let mut journal = open(folder.path());
        for number in process * 1_000..(process + 1) * 1_000 {
            record_attempted(&mut journal, number, &format!("m{number}"), Effect::Unsafe);
            journal.record_finished(number).expect("written");
            let size = std::fs::metadata(folder.path().join("journal")).expect("a file");
            assert!(size.len() <= MAX_BYTES, "{}", size.len());
        }
    }
    let ids = ids(&open(folder.path()));
    assert!(ids.len() >= 100, "{}", ids.len());
    let first = 3_000 - ids.len();
    let expected: Vec<String> = (first..3_000).map(|number| format!("m{number}")).collect();
    assert_eq!(ids, expected);
}

#[test]
fn only_messages_that_must_not_run_again_are_known() {
    let folder = tempfile::tempdir().expect("a temporary folder is created");
    let mut journal = open(folder.path());
    record_attempted(&mut journal, 1, "repeatable", Effect::Repeatable);
    record_attempted(&mut journal, 2, "delivered", Effect::Unsafe);
    record_end(&mut journal, 2, Ending::Delivered);
    record_attempted(&mut journal, 3, "failed", Effect::Unsafe);
    record_end(&mut journal, 3, Ending::Failed);
    record_attempted(&mut journal, 4, "returned", Effect::Unsafe);
    record_end(&mut journal, 4, Ending::Returned { after_ms: None });
    record_attempted(&mut journal, 5, "never-ran", Effect::Unsafe);
    journal.record_never_ran(5, 0).expect("written");
    for number in 1..=5 {
        journal.record_finished(number).expect("written");
    }
    let expected =
        [("delivered", true), ("failed", false)].map(|(id, is_delivered)| RecentlyEnded {
            id: id.to_string(),
            is_delivered,
        });
    assert_eq!(journal.recently_ended(), expected);
    assert_eq!(open(folder.path()).recently_ended(), expected);
}

/// The record as this build stores it, which later builds must read.
#[test]
fn the_stored_record_is_read() {
    let payload = b"\x0a\x02\x02m1\x01\x02m2\x00";
    let length = (payload.len() as u32).to_le_bytes();
    let checksum = crc32fast::hash(payload).to_le_bytes();
    let file = [b"MTJ1", &length[..], &checksum, payload].concat();
    let folder = tempfile::tempdir().expect("a temporary folder is created");
    std::fs::write(folder.path().join("journal"), file).expect("written");
    let expected = [("m1", true), ("m2", false)].map(|(id, is_delivered)| RecentlyEnded {
        id: id.to_string(),
        is_delivered,
    });
    assert_eq!(open(folder.path()).recently_ended(), expected);
}

/// Guards against a slow start, in which each unreadable byte moves the rest of the file in memory.
#[test]
fn a_damaged_end_of_a_file_is_read_in_time() {
    let folder = tempfile::tempdir().expect("a temporary folder is created");
    std::fs::write(folder.path().join("journal"), vec![0; 262_000]).expect("written");
    let begin = Instant::now();
    drop(open(folder.path()));
    assert!(begin.elapsed() < MAX_START_TIME, "{:?}", begin.elapsed());
}
