//! Ends the sender process at each step of its start and of a message's delivery. Checks that it becomes ready, ends
//! cleanly and loses no message. An at-most-once message whose first attempt may have run must not be sent again.

mod node;

use milletturn_engine::{Accepted, EndReason, Ending, Journal, MessageEnd};
use milletturn_journal::FileJournal;
use node::*;
use std::fs::{File, create_dir_all};
use std::net::TcpListener;
use std::path::Path;
use std::process::Child;
use std::sync::atomic::Ordering;
use std::time::{SystemTime, UNIX_EPOCH};

const MAX_JOURNAL_BYTES: u64 = 3_000_000;
/// The bytes with which each record of a journal begins.
const MAGIC: &[u8] = b"MTJ1";

fn discovery_with(endpoint: &FakeEndpoint) -> FakeDiscovery {
    FakeDiscovery::new(vec![list_json(&[(
        "s-1",
        endpoint.address,
        "one",
        7,
        "up",
    )])])
}

/// A message as the journal records it on acceptance, with a deadline 120 s from now.
fn accepted(id: &str, class: &str, body_bytes: usize) -> Accepted {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .expect("after 1970")
        .as_micros() as i64;
    Accepted {
        id: id.into(),
        key: Some(format!("key-{id}")),
        class: class.into(),
        effect: None,
        subject: None,
        tenant: None,
        destination: 7,
        accepted_at: now,
        deadline: now + 120_000_000,
        body: vec![b'x'; body_bytes].into(),
    }
}

/// Writes a journal with this number of at-most-once messages that have not been attempted.
fn write_unfinished(state: &Path, count: u64) {
    let (mut journal, _) = FileJournal::open(state, MAX_JOURNAL_BYTES, 1000).expect("a journal");
    for number in 0..count {
        journal
            .record_accepted(number, accepted(&format!("m{number}"), "order", 1000))
            .expect("room");
    }
}

/// A listener that lets clients connect and never responds.
fn unresponsive_listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a port")
}

fn send_signal(process: &Child, signal: &str) {
    let id = process.id().to_string();
    assert!(
        std::process::Command::new("kill")
            .args([signal, &id])
            .status()
            .expect("kill runs")
            .success()
    );
}

#[test]
fn hung_peers_do_not_delay_readiness() {
    // one listener stands for discovery and for both endpoints: clients can connect to it, and it never responds
    let hanging = unresponsive_listener();
    let address = hanging.local_addr().expect("bound");
    let known = list_json(&[
        ("s-1", address, "one", 7, "up"),
        ("s-2", address, "bulk", 8, "up"),
    ]);
    let node = Node::prepared(address, 3.0, &known, |state| {
        let (mut journal, _) =
            FileJournal::open(state, MAX_JOURNAL_BYTES, 1000).expect("a journal");
        // Fill the journal. A third of the messages has no attempt, a third has one, and a third has failed with a
        // notification still to be sent.
        for number in 0.. {
            let class = ["order", "webhook"][number as usize % 2];
            if journal
                .record_accepted(number, accepted(&format!("m{number}"), class, 200))
                .is_err()
            {
                break;
            }
            if number % 3 == 1 {
                journal.record_attempt(number, "s-1", 1).expect("room");
            }
            if number % 3 == 2 {
                journal
                    .record_end(
                        number,
                        MessageEnd {
                            ending: Ending::Failed,
                            reason: EndReason::DeadlineExceeded,
                            at: 1,
                        },
                    )
                    .expect("room");
            }
        }
        assert!(journal.unfinished().len() > 1000);
        // a partly written new journal, as a kill during compaction leaves it
        std::fs::write(state.join("journal.new"), [0; 100_000]).expect("written");
    });
    let node = node.ready();
    assert!(matches!(
        node.submit("webhook", "new", 8, 20_000, b"x"),
        202 | 429
    ));
}

#[test]
fn senders_started_at_the_same_time_on_one_disk_all_become_ready() {
    const STARTS: usize = 30;
    let hanging = unresponsive_listener();
    let address = hanging.local_addr().expect("bound");
    let known = list_json(&[("s-1", address, "one", 7, "up")]);
    let start_barrier = std::sync::Barrier::new(STARTS);
    std::thread::scope(|scope| {
        for _ in 0..STARTS {
            scope.spawn(|| {
                let node = Node::prepared(address, 3.0, &known, |state| {
                    write_unfinished(state, 1000);
                    start_barrier.wait();
                });
                let node = node.ready();
                assert!(node.logged("1000 messages owed"));
                start_barrier.wait();
            });
        }
    });
}

#[test]
fn a_damaged_and_full_journal_does_not_prevent_readiness() {
    let endpoint = FakeEndpoint::new(|_, _| OK);
    let node = Node::prepared(
        discovery_with(&endpoint).address,
        0.3,
        EMPTY_ENDPOINT_LIST,
        |state| {
            // After damage the journal presumes an attempt for each message. With small messages, the records of these
            // attempts take up much of the space.
            let (mut journal, _) = FileJournal::open(state, 300_000, 1).expect("a journal");
            let first_rejected = (0..).find(|&n| {
                journal
                    .record_accepted(n, accepted(&format!("m{n}"), "order", 1))
                    .is_err()
            });
            assert!(first_rejected.expect("the journal fills up") > 500);
            let mut bytes = std::fs::read(state.join("journal")).expect("the journal");
            bytes[20] ^= 0xff;
            std::fs::write(state.join("journal"), bytes).expect("damaged");
        },
    );
    let node = node.ready();
    assert!(node.logged("damaged"));
    // After the damage each old message is presumed to have been attempted. All of them are at-most-once messages, so
    // none must be sent.
    wait_until("a new message is accepted as the old ones end", || {
        node.submit("webhook", "new", 7, 20_000, b"x") == 202
    });
    wait_until("the new message is delivered", || {
        endpoint.attempt_count("new") >= 1
    });
    assert_eq!(endpoint.request_count(), endpoint.attempt_count("new"));
}

#[test]
fn sigterm_before_readiness_ends_the_process_and_loses_no_message() {
    let hanging = unresponsive_listener();
    let address = hanging.local_addr().expect("bound");
    let mut node = Node::prepared(address, 3.0, EMPTY_ENDPOINT_LIST, |state| {
        write_unfinished(state, 300);
    });
    assert_eq!(node.readiness_status(), 503);
    node.terminate();
    assert!(node.process.wait().expect("the process ends").success());
    // a kill during the start loses no message either, whatever the length of a partly written new journal file
    for byte_count in [0, 1000, 400_000] {
        std::fs::write(
            node.folder.join("state/journal.new"),
            vec![b'M'; byte_count],
        )
        .expect("written");
        node = node.restart();
        assert!(node.logged("300 messages owed"));
        node.kill();
    }
    let endpoint = FakeEndpoint::new(|_, _| OK);
    let discovery = discovery_with(&endpoint);
    let node = node.restart_with_discovery(discovery.address).ready();
    assert!(node.logged("300 messages owed"));
    wait_until("all are delivered", || endpoint.request_count() >= 300);
    let ids: Vec<String> = (0..300).map(|number| format!("m{number}")).collect();
    assert!(
        ids.iter().all(|id| endpoint.attempt_count(id) == 1),
        "each message was attempted exactly once"
    );
    assert!(discovery.notifications().is_empty());
}

#[test]
fn a_process_that_waits_for_the_lock_of_its_folder_ends_at_sigterm() {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR"))
        .join(format!("folder-of-another-{}", std::process::id()));
    create_dir_all(folder.join("state")).expect("the folder is created");
    let discovery = UnusedAddress::bind_on([127, 0, 0, 1]);
    Node::write_config(&folder, discovery.address, 3.0, 5.0, 1024);
    let lock = File::create(folder.join("state/lock")).expect("a file");
    lock.lock().expect("the lock is free");
    let mut process = command(&folder).spawn().expect("the process starts");
    let mut log = std::io::BufReader::new(process.stderr.take().expect("piped"));
    let mut log_line = String::new();
    std::io::BufRead::read_line(&mut log, &mut log_line).expect("a line");
    assert!(log_line.contains("another process owns"), "{log_line}");
    send_signal(&process, "-TERM");
    let mut status = None;
    wait_until("the process ends", || {
        status = process.try_wait().expect("known");
        status.is_some()
    });
    assert!(status.expect("ended").success());
}

/// Splits a journal's bytes into its records.
fn records(journal: &[u8]) -> Vec<&[u8]> {
    let starts: Vec<usize> = (0..journal.len())
        .filter(|&at| journal[at..].starts_with(MAGIC))
        .collect();
    let ends = starts.iter().skip(1).copied().chain([journal.len()]);
    starts
        .iter()
        .zip(ends)
        .map(|(&start, end)| &journal[start..end])
        .collect()
}

/// Starts a process on a journal with the first `complete` records and the first `torn` bytes of the next one. The
/// process must send a message that has no recorded attempt or that may be repeated. It must notify the platform that
/// an at-most-once message with a recorded attempt has failed. It must not send a message that has ended.
fn check_start_after_kill(class: &str, records: &[&[u8]], complete: usize, torn: usize) {
    let next = records
        .get(complete)
        .map_or(&[][..], |record| &record[..torn]);
    let journal = [records[..complete].concat(), next.to_vec()].concat();
    let endpoint = FakeEndpoint::new(|_, _| OK);
    let discovery = discovery_with(&endpoint);
    let node = Node::prepared(discovery.address, 3.0, EMPTY_ENDPOINT_LIST, |state| {
        std::fs::write(state.join("journal"), journal).expect("written");
    });
    let node = node.ready();
    let case = format!("{class}, {complete} records and {torn} bytes");
    let expected_attempts = match (class, complete) {
        (_, 1) | ("webhook", 2) => {
            wait_until(&case, || endpoint.attempt_count("m1") == 1);
            1
        }
        ("order", 2) => {
            wait_until(&case, || {
                discovery
                    .notifications()
                    .iter()
                    .any(|notification| notification.contains(r#""m1","state":"failed""#))
            });
            0
        }
        _ => 0,
    };
    assert_eq!(node.submit("webhook", "m2", 7, 120_000, b"x"), 202);
    wait_until("another message is delivered", || {
        node.submit("webhook", "m2", 7, 120_000, b"x") == 200
    });
    assert_eq!(endpoint.attempt_count("m1"), expected_attempts, "{case}");
    assert_eq!(
        discovery.notifications().len(),
        usize::from(class == "order" && complete == 2),
        "{case}"
    );
}

#[test]
fn a_kill_between_any_two_steps_of_a_message_resumes_from_the_journal() {
    // The journal of a delivered message has three records. The sender answers 202 only after it has written the first,
    // sends the first byte of the call only after the second, and writes the third once the call has ended. So a kill
    // between two steps is simulated by a journal that ends after one of the records or within the next one.
    for class in ["order", "webhook"] {
        let endpoint = FakeEndpoint::new(|_, _| OK);
        let discovery = discovery_with(&endpoint);
        let mut node = Node::new(&discovery).ready();
        assert_eq!(node.submit(class, "m1", 7, 120_000, b"x"), 202);
        wait_until("the message has ended", || {
            node.submit(class, "m1", 7, 120_000, b"x") == 200
        });
        node.kill();
        let journal = std::fs::read(node.journal()).expect("the journal");
        let records = records(&journal);
        assert_eq!(records.len(), 3, "accepted, attempted, ended");
        for complete in 0..=3 {
            // with and without the first 5 bytes of the next record
            for torn in [0, 5].into_iter().filter(|torn| complete < 3 || *torn == 0) {
                check_start_after_kill(class, &records, complete, torn);
            }
        }
    }
}

#[test]
fn the_access_log_report_counts_expired_messages_without_an_attempt_by_reason() {
    let endpoint = FakeEndpoint::new(|_, _| Reply::Respond("418 Teapot", String::new()));
    let draining = |uid, destination| (uid, endpoint.address, "one", destination, "draining");
    let discovery = FakeDiscovery::new(vec![list_json(&[
        ("s-1", endpoint.address, "one", 7, "up"),
        draining("d-9", 9),
    ])]);
    let node = Node::with_trace(&discovery).ready();
    // one message has an attempt that may have run; two have none, since their only endpoint drains
    assert_eq!(node.submit("order", "tried", 7, 20_000, b"x"), 202);
    assert_eq!(node.submit("webhook", "untried", 9, 300, b"x"), 202);
    assert_eq!(node.submit("order", "untried-too", 9, 300, b"x"), 202);
    wait_until("all three notifications arrive", || {
        discovery.notifications().len() == 3
    });
    wait_until("all three are in the access log", || {
        let log = node.log.lock().expect("not poisoned");
        log.iter()
            .filter(|record| record.contains(r#""what":"given_up""#))
            .count()
            == 3
    });
    let file = node.folder.join("trace.log");
    std::fs::write(&file, node.log.lock().expect("not poisoned").join("\n")).expect("written");
    let account = |format: &str| {
        let output = std::process::Command::new(env!("CARGO_BIN_EXE_milletturn"))
            .args(["account", "--span", "1000000", "--format", format])
            .arg(&file)
            .output()
            .expect("the command runs");
        String::from_utf8(output.stdout).expect("text")
    };
    let rows: Vec<serde_json::Value> = account("json")
        .lines()
        .map(|row| serde_json::from_str(row).expect("JSON"))
        .collect();
    let abandoned = |to: u64| {
        let row = rows.iter().find(|row| row["to"] == to).expect("a row");
        (row["given_up"].as_u64(), row["untried"].to_string())
    };
    assert_eq!(abandoned(7), (Some(1), "{}".into()), "{rows:?}");
    assert_eq!(
        abandoned(9),
        (Some(2), r#"{"time_up":2}"#.into()),
        "{rows:?}"
    );
    assert!(account("text").contains("untried"), "{}", account("text"));
    assert!(discovery.watch_count.load(Ordering::SeqCst) > 0);
}
