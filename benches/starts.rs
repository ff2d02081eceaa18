//! Time to ready of many senders that start together:
//! `cargo bench --bench starts -- [SENDERS] [PENDING MESSAGES OF EACH]`.
//!
//! All senders share one disk; each has a journal of its own with pending messages. Discovery and every endpoint are
//! unresponsive. The time runs from the common start until each sender reports ready, and is compared with the start of
//! a single sender.

#[path = "../tests/node/mod.rs"]
mod node;

use milletturn_engine::{Accepted, Journal};
use milletturn_journal::FileJournal;
use node::{Node, list_json};
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::sync::Barrier;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

const BODY_BYTES: usize = 256;
/// Journal capacity in bytes for each message: its body and all records that it may need until its final outcome.
const JOURNAL_BYTES_PER_MESSAGE: u64 = 4_000;

/// Writes a journal with the given number of pending messages into the state folder.
fn write_journal(state: &Path, pending: u64) {
    let (mut journal, _) =
        FileJournal::open(state, pending * JOURNAL_BYTES_PER_MESSAGE, pending).expect("a journal");
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .expect("after 1970")
        .as_micros() as i64;
    for number in 0..pending {
        let message = Accepted {
            id: format!("m{number}"),
            key: Some(format!("key-m{number}")),
            class: "order".into(),
            effect: None,
            subject: None,
            tenant: None,
            destination: number % 100,
            accepted_at: now,
            deadline: now + 600_000_000,
            body: vec![b'x'; BODY_BYTES].into(),
        };
        journal
            .record_accepted(number, message)
            .expect("journal has capacity");
    }
}

/// Starts all senders at the same time, and returns the sorted seconds until each is ready. `unresponsive` is the
/// address of discovery and of the only endpoint.
fn measure_starts(senders: usize, pending: u64, unresponsive: SocketAddr) -> Vec<f64> {
    let start_barrier = Barrier::new(senders);
    let cached_list = list_json(&[("s-1", unresponsive, "one", 7, "up")]);
    let disk_mb = (pending * JOURNAL_BYTES_PER_MESSAGE) as f64 / 1e6;
    std::thread::scope(|scope| {
        let starts: Vec<_> = (0..senders)
            .map(|_| {
                scope.spawn(|| {
                    let mut started_at = Instant::now();
                    let node = Node::prepared(unresponsive, disk_mb, &cached_list, |state| {
                        write_journal(state, pending);
                        start_barrier.wait();
                        started_at = Instant::now();
                    });
                    let node = node.ready();
                    (started_at.elapsed().as_secs_f64(), node)
                })
            })
            .collect();
        // all senders keep running until the last one is ready
        let nodes: Vec<_> = starts
            .into_iter()
            .map(|start| start.join().expect("ready"))
            .collect();
        let mut seconds: Vec<f64> = nodes.iter().map(|(seconds, _)| *seconds).collect();
        seconds.sort_by(f64::total_cmp);
        seconds
    })
}

fn main() {
    let arguments = std::env::args()
        .skip(1)
        .filter(|argument| !argument.starts_with("--"));
    let numbers: Vec<u64> = arguments
        .filter_map(|argument| argument.parse().ok())
        .collect();
    let senders = numbers
        .first()
        .map_or(100, |&number| number as usize)
        .max(1);
    let pending = numbers.get(1).copied().unwrap_or(5_000);
    // never calls accept(), so connections are established by its backlog but get no response
    let unresponsive = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = unresponsive.local_addr().expect("bound");
    let load = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    println!("load before: {}", load.trim());
    for count in [1, senders] {
        let seconds = measure_starts(count, pending, address);
        let quantile = |share: f64| seconds[((seconds.len() - 1) as f64 * share) as usize];
        println!(
            "{count} at once, {pending} held by each: half ready after {:.2} s, nine in ten {:.2} s, all {:.2} s",
            quantile(0.5),
            quantile(0.9),
            quantile(1.0)
        );
    }
}
