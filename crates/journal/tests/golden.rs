//! Journal files written by earlier builds: the present code reads each value back, and writes the same bytes.

use milletturn_engine::{
    Accepted, AttemptStarted, EndReason, Ending, Journal, MessageEnd, Unfinished,
};
use milletturn_journal::{FileJournal, Recovery};
use milletturn_policy::Effect;
use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};

const MAX_BYTES: u64 = 1 << 20;
const START: i64 = 1_700_000_000_000_000;

/// A file with every kind of record that is still written, except those of a compacted or a damaged file.
const JOURNAL: &[u8] = include_bytes!("golden/journal.bin");
/// The file that is left when `JOURNAL` is opened with a damaged first record.
const AFTER_DAMAGE: &[u8] = include_bytes!("golden/journal-after-damage.bin");
/// A file with records that only older builds wrote: ends of messages that contain neither reason nor time.
const OLDER: &[u8] = include_bytes!("golden/journal-older.bin");

fn folder(name: &str) -> PathBuf {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"))
        .join(format!("golden-{name}-{}", std::process::id()));
    // an earlier run may have left the folder behind
    let _ = fs::remove_dir_all(&folder);
    fs::create_dir_all(&folder).expect("a folder");
    folder
}

fn open(folder: &Path) -> (FileJournal, Recovery) {
    FileJournal::open(folder, MAX_BYTES, 16).expect("the journal opens")
}

fn open_with(name: &str, bytes: &[u8]) -> (PathBuf, FileJournal, Recovery) {
    let folder = folder(name);
    fs::write(folder.join("journal"), bytes).expect("written");
    let (journal, recovery) = open(&folder);
    (folder, journal, recovery)
}

fn written(folder: &Path) -> Vec<u8> {
    fs::read(folder.join("journal")).expect("the journal")
}

fn accepted(number: u64) -> Accepted {
    Accepted {
        id: format!("message-{number}"),
        key: (number % 2 == 1).then(|| format!("key-{number}")),
        class: ["order", "webhook", "mail"][number as usize % 3].into(),
        effect: None,
        subject: None,
        tenant: None,
        destination: 1000 + number,
        accepted_at: START + number as i64,
        deadline: START + 20_000_000 + number as i64,
        body: vec![b'a' + number as u8; 3 + number as usize].into(),
    }
}

/// The message with the given number. Messages 2 to 8 differ in effect, subject and tenant; the others have none.
fn message(number: u64) -> Accepted {
    let text = |text: &str| Some(text.to_string());
    let (effect, subject, tenant) = match number {
        2 => (Some(Effect::Repeatable), None, None),
        3 => (
            Some(Effect::Keyed {
                window: 3_600_000_000,
                zone_only: true,
            }),
            None,
            None,
        ),
        4 => (
            Some(Effect::Keyed {
                window: 60_000_000,
                zone_only: false,
            }),
            None,
            None,
        ),
        5 => (Some(Effect::Unsafe), None, None),
        6 => (Some(Effect::Unsafe), text("account-9"), text("acme")),
        7 => (None, text("account-10"), None),
        8 => (Some(Effect::Repeatable), None, text("globex")),
        _ => (None, None, None),
    };
    Accepted {
        effect,
        subject,
        tenant,
        ..accepted(number)
    }
}

const REASONS: [EndReason; 6] = [
    EndReason::Unknown,
    EndReason::DeadlineExceeded,
    EndReason::NotRetryable,
    EndReason::AttemptsExhausted,
    EndReason::Rejected,
    EndReason::Delivered,
];

/// The end of the message with the given number, from 9 to 14.
fn end(number: u64) -> MessageEnd {
    let ending = match number {
        10 => Ending::Returned { after_ms: None },
        11 => Ending::Returned {
            after_ms: Some(2500),
        },
        14 => Ending::Delivered,
        _ => Ending::Failed,
    };
    MessageEnd {
        ending,
        reason: REASONS[number as usize - 9],
        at: START + 1_000_000 + number as i64,
    }
}

fn sent(uid: &str, after: i64, never_ran: bool) -> AttemptStarted {
    AttemptStarted {
        uid: uid.into(),
        sent_at: START + after,
        never_ran,
    }
}

/// Writes the records of `JOURNAL`.
fn write_all(journal: &mut FileJournal) {
    for number in 1..=14 {
        journal
            .record_accepted(number, message(number))
            .expect("the record fits");
    }
    // message 2 has one attempt; message 3 has two, of which the first is known to have never run
    journal
        .record_attempt(2, "s-1", START + 100)
        .expect("the record fits");
    journal
        .record_attempt(3, "s-1", START + 200)
        .expect("the record fits");
    journal
        .record_attempt(3, "s-2", START + 300)
        .expect("the record fits");
    journal.record_never_ran(3, 0).expect("the record fits");
    // messages 9 to 14 have ended, but their notifications are still due
    journal
        .record_attempt(9, "s-3", START + 400)
        .expect("the record fits");
    for number in 9..=14 {
        journal
            .record_end(number, end(number))
            .expect("the record fits");
    }
    // messages 15 to 17 are redriven: 15 has no earlier attempt, 16 and 17 have one each, and 16 is attempted again
    // after its redrive
    journal
        .record_redrive(15, message(15), None)
        .expect("the record fits");
    journal
        .record_redrive(16, message(16), Some(sent("s-4", 500, false)))
        .expect("the record fits");
    journal
        .record_redrive(17, message(17), Some(sent("s-5", 600, true)))
        .expect("the record fits");
    journal
        .record_attempt(16, "s-6", START + 700)
        .expect("the record fits");
    // messages 18 and 4 are finished
    journal
        .record_accepted(18, message(18))
        .expect("the record fits");
    journal.record_finished(18).expect("the record fits");
    journal.record_finished(4).expect("the record fits");
}

/// The messages that are unfinished after `write_all`.
fn unfinished() -> BTreeMap<u64, Unfinished> {
    let numbers = (1..=17).filter(|&number| number != 4);
    numbers
        .map(|number| {
            let attempts = match number {
                2 => vec![sent("s-1", 100, false)],
                3 => vec![sent("s-1", 200, true), sent("s-2", 300, false)],
                9 => vec![sent("s-3", 400, false)],
                16 => vec![sent("s-4", 500, false), sent("s-6", 700, false)],
                17 => vec![sent("s-5", 600, true)],
                _ => Vec::new(),
            };
            let end = (9..=14).contains(&number).then(|| end(number));
            let prior_attempts = usize::from(number > 15);
            (
                number,
                Unfinished {
                    accepted: message(number),
                    attempts,
                    end,
                    redriven: number > 14,
                    prior_attempts,
                },
            )
        })
        .collect()
}

fn intact(records: usize) -> Recovery {
    Recovery {
        created: false,
        records,
        torn_bytes: 0,
        damaged_bytes: 0,
    }
}

#[test]
fn each_record_is_read_and_written_as_before() {
    let (_, journal, recovery) = open_with("read", JOURNAL);
    assert_eq!(recovery, intact(32));
    assert_eq!(journal.unfinished(), unfinished());
    let folder = folder("write");
    let (mut journal, recovery) = open(&folder);
    assert_eq!(
        recovery,
        Recovery {
            created: true,
            records: 0,
            torn_bytes: 0,
            damaged_bytes: 0
        }
    );
    write_all(&mut journal);
    assert_eq!(written(&folder), JOURNAL);
    assert_eq!(journal.unfinished(), unfinished());
}

#[test]
fn a_torn_tail_of_any_length_is_truncated() {
    let last = JOURNAL.len() - 14;
    assert!(
        JOURNAL[last..].starts_with(b"MTJ1"),
        "the last record finishes message 4"
    );
    let mut left = unfinished();
    left.insert(
        4,
        Unfinished {
            accepted: message(4),
            attempts: Vec::new(),
            end: None,
            redriven: false,
            prior_attempts: 0,
        },
    );
    for torn in 1..14 {
        let (folder, journal, recovery) = open_with("torn", &JOURNAL[..last + torn]);
        assert_eq!(
            recovery,
            Recovery {
                created: false,
                records: 31,
                torn_bytes: torn,
                damaged_bytes: 0
            }
        );
        assert_eq!(journal.unfinished(), left);
        assert_eq!(written(&folder), JOURNAL[..last], "{torn}");
    }
}

#[test]
fn damage_leaves_the_same_compacted_file_as_before() {
    let mut damaged = JOURNAL.to_vec();
    damaged[20] ^= 0xff;
    let second = (1..)
        .find(|&at| damaged[at..].starts_with(b"MTJ1"))
        .expect("a second record");
    let (folder, journal, recovery) = open_with("damaged", &damaged);
    assert_eq!(
        recovery,
        Recovery {
            created: false,
            records: 31,
            torn_bytes: 0,
            damaged_bytes: second
        }
    );
    assert_eq!(written(&folder), AFTER_DAMAGE);
    // the lost record may have described an attempt of any of the messages
    let presumed = |(number, mut unfinished): (u64, Unfinished)| {
        let attempt = AttemptStarted {
            uid: String::new(),
            sent_at: unfinished.accepted.accepted_at,
            never_ran: false,
        };
        unfinished
            .attempts
            .insert(unfinished.prior_attempts, attempt);
        (number, unfinished)
    };
    let left: BTreeMap<u64, Unfinished> = unfinished().into_iter().skip(1).map(presumed).collect();
    assert_eq!(journal.unfinished(), left);
    drop(journal);
    // the next start does not report the damage again
    let (journal, recovery) = open(&folder);
    assert_eq!(recovery.damaged_bytes, 0);
    assert_eq!(written(&folder), AFTER_DAMAGE);
    assert_eq!(journal.unfinished().len(), left.len());
}

#[test]
fn ends_of_older_builds_are_read() {
    let (folder, journal, recovery) = open_with("older", OLDER);
    assert_eq!(recovery, intact(6));
    let found: Vec<(u64, Option<MessageEnd>)> = journal
        .unfinished()
        .into_iter()
        .map(|(number, unfinished)| (number, unfinished.end))
        .collect();
    let end = |number, ending| {
        (
            number,
            Some(MessageEnd {
                ending,
                reason: EndReason::Unknown,
                at: accepted(number).deadline,
            }),
        )
    };
    let expected = [
        end(1, Ending::Failed),
        end(
            2,
            Ending::Returned {
                after_ms: Some(1500),
            },
        ),
        end(3, Ending::Returned { after_ms: None }),
    ];
    assert_eq!(found, expected);
    assert!(
        journal
            .unfinished()
            .iter()
            .all(|(&number, unfinished)| unfinished.accepted == accepted(number))
    );
    assert_eq!(written(&folder), OLDER, "reading leaves the file unchanged");
}
