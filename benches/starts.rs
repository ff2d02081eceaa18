//! Many senders that start at one moment on one disk, each on a journal of its own, while discovery and every endpoint
//! hang: `cargo bench --bench starts -- [SENDERS] [MESSAGES HELD BY EACH]`. Counts from the moment in which all start
//! until each answers that it is ready, beside what the same start takes alone.

#[path = "../tests/node/mod.rs"]
mod node;

use milletturn_engine::{Accepted, Journal};
use milletturn_journal::FileJournal;
use node::{Node, list_json};
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::sync::Barrier;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

const BODY: usize = 256;
/// Room in a journal for each message, with its body and all that it may need until its end.
const EACH: u64 = 4_000;

fn owing(state: &Path, held: u64) {
    let (mut journal, _) = FileJournal::open(state, held * EACH, held).expect("a journal");
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .expect("after 1970")
        .as_micros() as i64;
    for number in 0..held {
        let taken = Accepted {
            id: format!("m{number}"),
            key: Some(format!("key-m{number}")),
            class: "order".into(),
            effect: None,
            subject: None,
            tenant: None,
            destination: number % 100,
            accepted_at: now,
            deadline: now + 600_000_000,
            body: vec![b'x'; BODY],
        };
        journal.record_accepted(number, taken).expect("room");
    }
}

/// Seconds from the moment in which all start until each is ready, sorted.
fn play(senders: usize, held: u64, hangs: SocketAddr) -> Vec<f64> {
    let together = Barrier::new(senders);
    let known = list_json(&[("s-1", hangs, "one", 7, "up")]);
    let disk_mb = (held * EACH) as f64 / 1e6;
    std::thread::scope(|scope| {
        let starts: Vec<_> = (0..senders)
            .map(|_| {
                scope.spawn(|| {
                    let mut begun = Instant::now();
                    let node = Node::prepared(hangs, disk_mb, &known, |state| {
                        owing(state, held);
                        together.wait();
                        begun = Instant::now();
                    });
                    let node = node.ready();
                    (begun.elapsed().as_secs_f64(), node)
                })
            })
            .collect();
        // all stay until the last one is ready
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
    let words = std::env::args()
        .skip(1)
        .filter(|word| !word.starts_with("--"));
    let numbers: Vec<u64> = words.filter_map(|word| word.parse().ok()).collect();
    let senders = numbers
        .first()
        .map_or(100, |&number| number as usize)
        .max(1);
    let held = numbers.get(1).copied().unwrap_or(5_000);
    // accepts by its backlog, and says nothing
    let hangs = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = hangs.local_addr().expect("bound");
    let load = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    println!("load before: {}", load.trim());
    for count in [1, senders] {
        let seconds = play(count, held, address);
        let at = |share: f64| seconds[((seconds.len() - 1) as f64 * share) as usize];
        println!(
            "{count} at once, {held} held by each: half ready after {:.2} s, nine in ten {:.2} s, all {:.2} s",
            at(0.5),
            at(0.9),
            at(1.0)
        );
    }
}
