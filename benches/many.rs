//! Costs of a sidecar with many destinations, most of them idle:
//!
//!     cargo bench --bench many [-- --destinations 50000 --against OTHER/milletturn --seconds 6]
//!
//! For each number of destinations, measures the time from start to ready, resident memory, and the number of messages
//! per second that one core delivers to 50 destinations that respond immediately, while 16 clients submit messages
//! without pauses. Then measures the same while ten more destinations accept calls but never respond, with 500 messages
//! per second for them. `--against` also measures another program, such as an earlier build, in the same run.

mod common;

use common::{Sidecar, unused_address};
use milletturn_test_support::{Client, FakeEndpoint, OK, Reply, message_request};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

const CLIENTS: u64 = 16;
/// Number of destinations that get calls and respond immediately.
const BUSY_DESTINATIONS: u64 = 50;
/// Number of destinations that accept calls and never respond.
const UNRESPONSIVE_DESTINATIONS: u64 = 10;
/// Messages per second for all unresponsive destinations together.
const UNRESPONSIVE_RATE_PER_S: f64 = 500.0;

/// Starts a sidecar with destinations 1 to `count`, and returns the time until it was ready.
///
/// The busy destinations come first, then the unresponsive ones. The rest are idle and share the busy ones' address.
fn start_sidecar(
    program: &Path,
    count: u64,
    healthy: SocketAddr,
    unresponsive: SocketAddr,
) -> (Sidecar, Duration) {
    let (http, outcomes) = (unused_address(), unused_address());
    let text = format!(
        "name = 'app'\nstate = 'app.state'\n[listen]\nhttp = '{http}'\noutcomes = '{outcomes}'\n\
         [limits]\ndisk = '60MB'\n[endpoints]\nfile = 'list.toml'\n\
         [class.notice]\neffect = 'keyed'\nwindow = '30s'\ndeadline = '20s'\n"
    );
    let entry = |id: u64| {
        let address = if (BUSY_DESTINATIONS + 1..=BUSY_DESTINATIONS + UNRESPONSIVE_DESTINATIONS)
            .contains(&id)
        {
            unresponsive
        } else {
            healthy
        };
        format!("[destination.{id}]\nendpoints = ['{address}']\n")
    };
    let list: String = (1..=count).map(entry).collect();
    let started_at = Instant::now();
    let sidecar = Sidecar::new(
        program,
        &[("app.toml", &text), ("list.toml", &list)],
        http,
        outcomes,
    );
    (sidecar, started_at.elapsed())
}

/// Messages delivered in each whole second, as the healthy endpoint counts them. With `with_unresponsive`, the
/// unresponsive destinations get messages at the same time.
fn delivery_rates(
    http: SocketAddr,
    healthy: &FakeEndpoint,
    seconds: u64,
    with_unresponsive: bool,
) -> Vec<f64> {
    let deadline = Instant::now() + Duration::from_secs(seconds);
    let next = Arc::new(AtomicU64::new(0));
    let mut threads: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let next = next.clone();
            std::thread::spawn(move || {
                let mut connection = Client::new(http);
                while Instant::now() < deadline {
                    let number = next.fetch_add(1, Ordering::Relaxed);
                    let id = format!("{with_unresponsive}-{client}-{number}");
                    let bytes = message_request(
                        "notice",
                        &id,
                        1 + number % BUSY_DESTINATIONS,
                        20_000,
                        &[b'x'; 256],
                    );
                    if connection.send(&bytes).is_none() {
                        connection = Client::new(http);
                    }
                }
            })
        })
        .collect();
    if with_unresponsive {
        threads.push(std::thread::spawn(move || {
            let (mut connection, started_at) = (Client::new(http), Instant::now());
            for number in 0u64.. {
                let due =
                    started_at + Duration::from_secs_f64(number as f64 / UNRESPONSIVE_RATE_PER_S);
                std::thread::sleep(due.saturating_duration_since(Instant::now()));
                if Instant::now() >= deadline {
                    return;
                }
                let id = format!("silent-{number}");
                let destination = BUSY_DESTINATIONS + 1 + number % UNRESPONSIVE_DESTINATIONS;
                if connection
                    .send(&message_request("notice", &id, destination, 20_000, b"x"))
                    .is_none()
                {
                    connection = Client::new(http);
                }
            }
        }));
    }
    let mut rates = Vec::new();
    let mut before = healthy.request_count();
    for _ in 0..seconds {
        std::thread::sleep(Duration::from_secs(1));
        let now = healthy.request_count();
        rates.push((now - before) as f64);
        before = now;
    }
    threads
        .into_iter()
        .for_each(|thread| thread.join().expect("a client"));
    rates
}

fn median(values: &[f64]) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    sorted[sorted.len() / 2]
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let value_after = |name: &str| {
        arguments
            .iter()
            .position(|argument| argument == name)
            .and_then(|at| arguments.get(at + 1).cloned())
    };
    let number = |name: &str, default: u64| {
        value_after(name).map_or(default, |text| {
            text.parse()
                .unwrap_or_else(|_| panic!("{name} requires a number"))
        })
    };
    let (max_destinations, seconds) = (number("--destinations", 50_000), number("--seconds", 6));
    let programs: Vec<(&str, PathBuf)> = [("this", Some(env!("CARGO_BIN_EXE_milletturn").into()))]
        .into_iter()
        .chain([("before", value_after("--against").map(PathBuf::from))])
        .filter_map(|(name, program)| Some((name, program?)))
        .collect();
    println!(
        "{:<8} {:>12} {:>9} {:>7} | {:>9} {:>7} | {:>9} {:>7} {:>6} {:>7}",
        "", "destinations", "ready ms", "MB", "healthy/s", "min", "mixed/s", "min", "ratio", "MB"
    );
    for count in [100, 1_000, max_destinations] {
        for (name, program) in &programs {
            let healthy = FakeEndpoint::new(|_, _| OK);
            let unresponsive = FakeEndpoint::new(|_, _| Reply::NoResponse);
            let (sidecar, time_to_ready) =
                start_sidecar(program, count, healthy.address, unresponsive.address);
            let memory_mb = sidecar.memory_mb();
            let healthy_only = delivery_rates(sidecar.http, &healthy, seconds, false);
            let mixed = delivery_rates(sidecar.http, &healthy, seconds, true);
            let min = |rates: &[f64]| rates.iter().copied().fold(f64::MAX, f64::min);
            println!(
                "{name:<8} {count:>12} {:>9.0} {memory_mb:>7.1} | {:>9.0} {:>7.0} | {:>9.0} {:>7.0} {:>6.2} {:>7.1}",
                time_to_ready.as_secs_f64() * 1e3,
                median(&healthy_only),
                min(&healthy_only),
                median(&mixed),
                min(&mixed),
                median(&mixed) / median(&healthy_only),
                sidecar.memory_mb(),
            );
            // the figures are invalid if the sidecar has exited
            assert!(
                TcpStream::connect(sidecar.http).is_ok(),
                "the sidecar runs to the end"
            );
        }
    }
}
