//! Measures the time, memory and disk space of the store: `cargo bench -p milletturn-dead-letter`. Each time or rate
//! is the median of five runs, followed by the minimum and the maximum.

use bytes::Bytes;
use milletturn_dead_letter::config::Config;
use milletturn_dead_letter::redrive_service::RedriveService;
use milletturn_dead_letter::store::{DeadLetterStore, StoreLimits};
use milletturn_engine::dead_letter_sink::EndedMessage;
use milletturn_engine::{AttemptRecord, EndReason, Ending, RedriveOutcome, SharedStr};
use milletturn_policy::{Effect, Micros, Outcome, SECOND};
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::time::Instant;

const NOW: Micros = 1_000_000 * SECOND;
const BODY_BYTES: usize = 2_000;
/// Messages in the large store.
const LARGE_STORE_MESSAGES: u64 = 100_000;
const RUNS: u64 = 5;

fn message(number: u64) -> EndedMessage {
    let attempt = |index: i64| AttemptRecord {
        uid: format!("s-{index}"),
        sent_at: NOW + index,
        outcome: Some(Outcome::NoConnection),
        latency: Some(1000),
        may_have_run: false,
    };
    let shared = |text: String| SharedStr::new(text.as_bytes()).expect("a short text");
    EndedMessage {
        number,
        id: shared(format!("m{number}")),
        key: Some(shared(format!("key-{number}"))),
        class: "webhook".into(),
        effect: None,
        destination: number % 50,
        body: Bytes::from(vec![b'x'; BODY_BYTES]),
        accepted_at: NOW,
        deadline: NOW + 20 * SECOND,
        ended_at: NOW + SECOND,
        ending: Ending::Failed,
        reason: EndReason::DeadlineExceeded,
        attempts: (0..3).map(attempt).collect(),
        redriven: false,
    }
}

fn config() -> Config {
    Config {
        max_bytes: 1 << 30,
        max_messages: 1 << 20,
        ..Config::default()
    }
}

fn limits() -> StoreLimits {
    RedriveService::limits(&config())
}

fn open_service(path: &Path) -> RedriveService {
    let store = DeadLetterStore::open(path, limits()).expect("opened");
    let effect = Effect::Keyed {
        window: 12 * SECOND,
        zone_only: false,
    };
    let effects = BTreeMap::from([("webhook".to_string(), effect)]);
    RedriveService::new(store, &config(), effects)
}

/// Resident memory of this process in KiB, from /proc/self/status (proc(5)); 0 if it can't be read.
fn resident_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    status
        .lines()
        .find(|entry| entry.starts_with("VmRSS:"))
        .and_then(|entry| entry.split_whitespace().nth(1))
        .and_then(|number| number.parse().ok())
        .unwrap_or(0)
}

fn print_result(name: &str, unit: &str, mut runs: Vec<f64>) {
    runs.sort_by(f64::total_cmp);
    let (min, median, max) = (runs[0], runs[runs.len() / 2], runs[runs.len() - 1]);
    println!("{name:<44} {median:>10.1} {unit:<10} ({min:.1} to {max:.1})");
}

/// Time to save a message, in microseconds, with `batch` messages in each transaction.
fn save(path: &Path, batch: u64) -> f64 {
    let mut service = open_service(path);
    let started = Instant::now();
    for first in (0..512).step_by(batch as usize) {
        let messages: Vec<EndedMessage> = (first + 1..=first + batch).map(message).collect();
        service.save(&messages, NOW).expect("saved");
    }
    started.elapsed().as_secs_f64() * 1e6 / 512.0
}

/// Number of redrives per second if they are requested one after the other, including the save of each result.
fn redrive(path: &Path) -> f64 {
    let mut service = open_service(path);
    let messages: Vec<EndedMessage> = (1..=256).map(message).collect();
    service.save(&messages, NOW).expect("saved");
    let started = Instant::now();
    for (message, number) in messages.iter().zip(1..) {
        service
            .request_redrive(number, "bench", "", NOW)
            .expect("it never ran");
        service
            .on_redrive_outcome(number, RedriveOutcome::Accepted, NOW)
            .expect("written");
        let delivered = EndedMessage {
            ending: Ending::Delivered,
            accepted_at: NOW + 1,
            redriven: true,
            ..message.clone()
        };
        service.save(&[delivered], NOW).expect("saved");
    }
    256.0 / started.elapsed().as_secs_f64()
}

/// Saves [`LARGE_STORE_MESSAGES`] messages, and prints the size of the file and the memory of this process.
fn fill(path: &Path) {
    let before = resident_kib();
    let mut service = open_service(path);
    for first in (0..LARGE_STORE_MESSAGES).step_by(64) {
        let messages: Vec<EndedMessage> = (first + 1..=(first + 64).min(LARGE_STORE_MESSAGES))
            .map(message)
            .collect();
        service.save(&messages, NOW).expect("saved");
    }
    let size = std::fs::metadata(path).expect("there").len() as f64 / 1e6;
    println!(
        "{:<44} {size:>10.1} MB",
        "file with 100,000 messages of 2 KB"
    );
    let after = resident_kib();
    println!(
        "{:<44} {:>10.1} MB",
        "memory of this process before",
        before as f64 / 1e3
    );
    println!(
        "{:<44} {:>10.1} MB",
        "memory of this process after saving them",
        after as f64 / 1e3
    );
}

/// Time to open the store, in milliseconds.
fn open(path: &Path) -> f64 {
    let started = Instant::now();
    let store = DeadLetterStore::open(path, limits()).expect("opened");
    store.last_number().expect("read");
    started.elapsed().as_secs_f64() * 1e3
}

/// Time to open and verify the store, in milliseconds.
fn verify(path: &Path) -> f64 {
    let started = Instant::now();
    open_service(path)
        .recover(&BTreeSet::new(), true, NOW)
        .expect("an intact store");
    started.elapsed().as_secs_f64() * 1e3
}

fn main() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = |name: String| folder.path().join(name);
    for batch in [1, 64] {
        let runs = (0..RUNS).map(|run| save(&path(format!("keep-{batch}-{run}.db")), batch));
        print_result(
            &format!("save a 2 KB message, {batch} per transaction"),
            "us",
            runs.collect(),
        );
    }
    let runs = (0..RUNS).map(|run| redrive(&path(format!("resend-{run}.db"))));
    print_result(
        "redrives with their results, one by one",
        "per second",
        runs.collect(),
    );
    let large_store = path("large.db".to_string());
    fill(&large_store);
    let runs = (0..RUNS).map(|_| open(&large_store));
    print_result(
        "open the store (before the sender is ready)",
        "ms",
        runs.collect(),
    );
    let runs = (0..RUNS).map(|_| verify(&large_store));
    print_result(
        "verify the store (on the store's thread)",
        "ms",
        runs.collect(),
    );
}
