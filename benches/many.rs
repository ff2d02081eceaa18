//! A real sender with many destinations, most of them idle: `cargo bench --bench many [-- --destinations 50000 --against
//! OTHER/milletturn --seconds 6]`.
//!
//! For each size: start to ready, resident memory, and messages a second that one core delivers for 50 destinations that answer
//! at once, from 16 clients back to back; then the same while ten more take calls and never answer, at 500 messages a
//! second for them. All in one run; `--against` plays an earlier program on the same script.

mod common;

use common::{Sidecar, free};
use milletturn_test_support::{Client, FakeEndpoint, OK, Reply, message_request};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

const CLIENTS: u64 = 16;
const BUSY: u64 = 50;
const SILENT: u64 = 10;
const SILENT_RATE: f64 = 500.0;

/// Destinations 1 to `count`: the first are busy, then the silent ones, and the rest share an address where nobody calls.
fn started(
    program: &Path,
    count: u64,
    well: SocketAddr,
    silent: SocketAddr,
) -> (Sidecar, Duration) {
    let (http, outcomes) = (free(), free());
    let text = format!(
        "name = 'app'\nstate = 'app.state'\n[listen]\nhttp = '{http}'\noutcomes = '{outcomes}'\n\
         [limits]\ndisk = '60MB'\n[endpoints]\nfile = 'list.toml'\n\
         [class.notice]\neffect = 'keyed'\nwindow = '30s'\ndeadline = '20s'\n"
    );
    let line = |id: u64| {
        let address = if (BUSY + 1..=BUSY + SILENT).contains(&id) {
            silent
        } else {
            well
        };
        format!("[destination.{id}]\nendpoints = ['{address}']\n")
    };
    let list: String = (1..=count).map(line).collect();
    let begun = Instant::now();
    let sidecar = Sidecar::new(
        program,
        &[("app.toml", &text), ("list.toml", &list)],
        http,
        outcomes,
    );
    (sidecar, begun.elapsed())
}

/// Messages taken on and delivered a second, as the endpoint counts them, for each whole second.
fn rate(http: SocketAddr, well: &FakeEndpoint, seconds: u64, beside: bool) -> Vec<f64> {
    let until = Instant::now() + Duration::from_secs(seconds);
    let next = Arc::new(AtomicU64::new(0));
    let mut threads: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let next = next.clone();
            std::thread::spawn(move || {
                let mut connection = Client::new(http);
                while Instant::now() < until {
                    let number = next.fetch_add(1, Ordering::Relaxed);
                    let id = format!("{beside}-{client}-{number}");
                    let bytes =
                        message_request("notice", &id, 1 + number % BUSY, 20_000, &[b'x'; 256]);
                    if connection.send(&bytes).is_none() {
                        connection = Client::new(http);
                    }
                }
            })
        })
        .collect();
    if beside {
        threads.push(std::thread::spawn(move || {
            let (mut connection, begun) = (Client::new(http), Instant::now());
            for number in 0u64.. {
                let due = begun + Duration::from_secs_f64(number as f64 / SILENT_RATE);
                std::thread::sleep(due.saturating_duration_since(Instant::now()));
                if Instant::now() >= until {
                    return;
                }
                let id = format!("silent-{number}");
                let destination = BUSY + 1 + number % SILENT;
                if connection
                    .send(&message_request("notice", &id, destination, 20_000, b"x"))
                    .is_none()
                {
                    connection = Client::new(http);
                }
            }
        }));
    }
    let mut each = Vec::new();
    let mut before = well.request_count();
    for _ in 0..seconds {
        std::thread::sleep(Duration::from_secs(1));
        let now = well.request_count();
        each.push((now - before) as f64);
        before = now;
    }
    threads
        .into_iter()
        .for_each(|thread| thread.join().expect("a client"));
    each
}

fn median(values: &[f64]) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    sorted[sorted.len() / 2]
}

fn main() {
    let words: Vec<String> = std::env::args().collect();
    let after = |name: &str| {
        words
            .iter()
            .position(|word| word == name)
            .and_then(|at| words.get(at + 1).cloned())
    };
    let number = |name: &str, default: u64| {
        after(name).map_or(default, |text| {
            text.parse()
                .unwrap_or_else(|_| panic!("{name} wants a number"))
        })
    };
    let (most, seconds) = (number("--destinations", 50_000), number("--seconds", 6));
    let programs: Vec<(&str, PathBuf)> = [("this", Some(env!("CARGO_BIN_EXE_milletturn").into()))]
        .into_iter()
        .chain([("before", after("--against").map(PathBuf::from))])
        .filter_map(|(name, program)| Some((name, program?)))
        .collect();
    println!(
        "{:<8} {:>12} {:>9} {:>7} | {:>9} {:>7} | {:>9} {:>7} {:>6} {:>7}",
        "",
        "destinations",
        "ready ms",
        "MB",
        "alone /s",
        "least",
        "beside /s",
        "least",
        "part",
        "MB"
    );
    for count in [100, 1_000, most] {
        for (name, program) in &programs {
            let well = FakeEndpoint::new(|_, _| OK);
            let silent = FakeEndpoint::new(|_, _| Reply::NoResponse);
            let (sidecar, ready) = started(program, count, well.address, silent.address);
            let memory = sidecar.memory();
            let alone = rate(sidecar.http, &well, seconds, false);
            let beside = rate(sidecar.http, &well, seconds, true);
            let least = |each: &[f64]| each.iter().copied().fold(f64::MAX, f64::min);
            println!(
                "{name:<8} {count:>12} {:>9.0} {memory:>7.1} | {:>9.0} {:>7.0} | {:>9.0} {:>7.0} {:>6.2} {:>7.1}",
                ready.as_secs_f64() * 1e3,
                median(&alone),
                least(&alone),
                median(&beside),
                least(&beside),
                median(&beside) / median(&alone),
                sidecar.memory(),
            );
            // one that has gone would be no measurement
            assert!(
                TcpStream::connect(sidecar.http).is_ok(),
                "it runs to the end"
            );
        }
    }
}
