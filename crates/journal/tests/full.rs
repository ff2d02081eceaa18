//! A journal that is full, damaged or larger than its limit still opens, keeps its intact records, and has space for
//! new messages again once old ones are finished.

use milletturn_engine::{Accepted, Journal};
use milletturn_journal::{FileJournal, Recovery, UnfinishedLimit};
use std::fs;
use std::path::{Path, PathBuf};

const LIMIT: u64 = 64 * 1024;
const MAGIC: &[u8] = b"MTJ1";

fn folder(name: &str) -> PathBuf {
    let folder =
        PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{}", std::process::id()));
    // an earlier run may have left the folder behind
    let _ = fs::remove_dir_all(&folder);
    folder
}

fn open(folder: &Path, limit: u64) -> (FileJournal, Recovery) {
    let (journal, recovery) = FileJournal::open(folder, limit, 1).expect("the journal opens");
    if limit != LIMIT {
        return (journal, recovery);
    }
    let files = fs::read_dir(folder).expect("the folder").flatten();
    let used: u64 = files
        .map(|file| file.metadata().expect("a file").len())
        .sum();
    assert!(used <= LIMIT, "{used}");
    (journal, recovery)
}

fn accepted(number: u64) -> Accepted {
    Accepted {
        id: format!("m{number}"),
        key: None,
        class: "order".into(),
        effect: None,
        subject: None,
        tenant: None,
        destination: 7,
        accepted_at: 1_700_000_000_000_000,
        deadline: 1_700_000_020_000_000,
        body: vec![b'x'; 40].into(),
    }
}

/// Accepts messages until the journal is full. Returns how many were accepted.
fn fill(journal: &mut FileJournal) -> u64 {
    (0..)
        .find(|&number| journal.record_accepted(number, accepted(number)).is_err())
        .expect("the journal becomes full")
}

/// Edits the bytes of the journal file.
fn edit_file(folder: &Path, edit: impl FnOnce(&mut Vec<u8>)) {
    let file = folder.join("journal");
    let mut bytes = fs::read(&file).expect("the journal");
    edit(&mut bytes);
    fs::write(file, bytes).expect("written");
}

#[test]
fn a_full_journal_with_damage_opens() {
    let folder = folder("full-and-damaged");
    let count = fill(&mut open(&folder, LIMIT).0);
    edit_file(&folder, |bytes| bytes[20] ^= 0xff);
    let (mut journal, recovery) = open(&folder, LIMIT);
    assert!(recovery.damaged_bytes > 0);
    let unfinished = journal.unfinished();
    assert_eq!(unfinished.len() as u64, count - 1);
    // the lost record may have described an attempt of any of the messages
    assert!(
        unfinished
            .values()
            .all(|message| message.attempts.len() == 1 && !message.attempts[0].never_ran)
    );
    // a message is attempted again, and this attempt never runs: the journal must record that for this attempt (index
    // 1), not for the one that was presumed because of the damage (index 0)
    let next = (2..count).find(|&next| {
        // the record of an attempt fits again once enough messages are finished
        let _ = journal.record_finished(next - 1);
        journal
            .record_attempt(next, "s-1", 1_700_000_001_000_000)
            .is_ok()
    });
    let next = next.expect("the record fits after enough messages are finished");
    journal.record_never_ran(next, 1).expect("the record fits");
    journal.retry().expect("the record fits");
    for _ in 0..2 {
        let (journal, recovery) = open(&folder, LIMIT);
        assert_eq!(recovery.damaged_bytes, 0, "reported once");
        let unfinished = journal.unfinished();
        assert_eq!(unfinished.len() as u64, count - next);
        assert_eq!(unfinished[&(next + 1)].attempts.len(), 1, "presumed once");
        let never_ran: Vec<bool> = unfinished[&next]
            .attempts
            .iter()
            .map(|attempt| attempt.never_ran)
            .collect();
        assert_eq!(never_ran, [false, true]);
    }
}

/// Leaves a file in which all messages but the last are finished, and then damages the records of type `Finished`. The
/// next start reads all these messages as unfinished, and they are too large for a compacted file: it would exceed the
/// limit together with the old file. Returns the number of the last message.
fn fill_and_lose_finished(folder: &Path) -> u64 {
    let (mut journal, _) = open(folder, LIMIT);
    let mut number = 0;
    while fs::metadata(folder.join("journal"))
        .expect("the journal")
        .len()
        < LIMIT * 4 / 5
    {
        journal
            .record_accepted(number, accepted(number))
            .expect("the record fits");
        journal.record_finished(number).expect("the record fits");
        number += 1;
    }
    journal
        .record_accepted(number, accepted(number))
        .expect("the record fits");
    drop(journal);
    edit_file(folder, |bytes| {
        let record_starts: Vec<usize> = (0..bytes.len())
            .filter(|&at| bytes[at..].starts_with(MAGIC))
            .collect();
        // every second record is of type `Finished`
        record_starts
            .iter()
            .skip(1)
            .step_by(2)
            .for_each(|&at| bytes[at + 8] ^= 0xff);
    });
    number
}

#[test]
fn a_journal_that_lost_its_finished_records_opens_and_frees_space_as_messages_finish_again() {
    let folder = folder("finished-lost");
    let number = fill_and_lose_finished(&folder);
    let (_, recovery) = open(&folder, LIMIT);
    assert!(recovery.damaged_bytes > 0);
    // the file could not be compacted, so the next start reads the same messages
    let (mut journal, recovery) = open(&folder, LIMIT);
    assert_eq!(
        (recovery.damaged_bytes, journal.unfinished().len() as u64),
        (0, number + 1)
    );
    assert!(
        journal
            .unfinished()
            .values()
            .all(|message| message.attempts.len() == 1)
    );
    assert!(
        journal.record_accepted(number + 1, accepted(0)).is_err(),
        "the journal is full"
    );
    let failed = (0..=number)
        .filter(|&number| journal.record_finished(number).is_err())
        .count();
    assert!(failed > 0, "the first of these records do not fit either");
    journal.retry().expect("the record fits");
    journal
        .record_accepted(number + 1, accepted(0))
        .expect("the record fits again");
    drop(journal);
    let (journal, _) = open(&folder, LIMIT);
    assert_eq!(
        journal.unfinished().into_keys().collect::<Vec<_>>(),
        [number + 1]
    );
}

#[test]
fn a_journal_larger_than_its_limit_opens() {
    // the limit may have been lowered in the settings since the file was written
    let folder = folder("larger");
    let (mut journal, _) = open(&folder, 2 << 20);
    let count = fill(&mut journal);
    drop(journal);
    let (mut journal, recovery) = open(&folder, 512 * 1024);
    assert_eq!(
        (recovery.damaged_bytes, journal.unfinished().len() as u64),
        (0, count)
    );
    // finished messages free space, even if their `Finished` records do not fit
    assert!(
        (0..count)
            .filter(|&number| journal.record_finished(number).is_err())
            .count()
            > 0
    );
    journal.retry().expect("the record fits");
    journal
        .record_accepted(count, accepted(count))
        .expect("the record fits again");
    drop(journal);
    assert_eq!(open(&folder, 512 * 1024).0.unfinished().len(), 1);
}

/// Guards against messages whose bodies and whose other memory each stay within the limit, but together take twice of it.
#[test]
fn the_memory_of_unfinished_messages_is_limited_with_all_that_each_needs() {
    let folder = tempfile::tempdir().expect("a temporary folder is created");
    let (mut journal, _) = FileJournal::open(folder.path(), 1 << 20, 1).expect("opened");
    let limit = UnfinishedLimit {
        bytes: 50_000,
        bytes_per_message: 4_000,
    };
    journal.limit_unfinished(limit);
    let accepted_count = (0..100)
        .take_while(|&number| journal.record_accepted(number, accepted(number)).is_ok())
        .count();
    assert!((10..=13).contains(&accepted_count), "{accepted_count}");
    journal.record_finished(0).expect("written");
    journal
        .record_accepted(100, accepted(100))
        .expect("there is room again");
}
