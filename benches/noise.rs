//! Share of messages delivered to an endpoint that has spare capacity but fails a steady share of its calls:
//!
//!     cargo bench --bench noise [-- --seconds 10 --rate 370 --against OTHER/milletturn --only 503 --seed 1]
//!
//! Each row applies the same load, from the same seed, to a sidecar of this build, to a sidecar of another program
//! (`--against`, such as an earlier build) and to a plain client with three attempts, exponential backoff and full jitter.
//! Four clients submit messages to the sidecar at a steady rate; a rejected message is counted. In rows with kills the
//! sidecar is killed and restarted every 1.5 s.

mod common;

use common::{Sidecar, unused_address};
use milletturn_test_support::{Client, FakeEndpoint, OK, Reply, message_request};
use rand_pcg::Pcg32;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const CLIENTS: usize = 4;
/// Time from the acceptance of a message to its deadline.
const DEADLINE: Duration = Duration::from_secs(20);
const KILL_INTERVAL: Duration = Duration::from_millis(1500);

/// How the endpoint fails a call.
#[derive(Clone, Copy, PartialEq)]
enum Noise {
    /// Responds 500.
    Error,
    /// Responds 503.
    Rejected,
    /// Closes the connection without a response.
    Reset,
    /// Responds 500 in bursts of five failed calls on average (Gilbert-Elliott model).
    Bursts,
    /// Responds 500 after two seconds.
    Slow,
    /// Responds 500; only the first call on a connection may fail.
    NewConnections,
}

impl Noise {
    fn name(self) -> &'static str {
        match self {
            Noise::Error => "500",
            Noise::Rejected => "503",
            Noise::Reset => "reset",
            Noise::Bursts => "500 in bursts",
            Noise::Slow => "500 after 2 s",
            Noise::NewConnections => "500 on new connections",
        }
    }
}

/// An endpoint that fails a share of its calls at random. The random numbers depend only on the seed.
fn endpoint(noise: Noise, share: f64, seed: u64) -> FakeEndpoint {
    // the random number generator, and whether the previous call failed
    let random = Mutex::new((Pcg32::seed_from_u64(seed), false));
    let seen_connections = Mutex::new(BTreeSet::new());
    FakeEndpoint::new(move |request, _| {
        let is_first_call = seen_connections
            .lock()
            .expect("not poisoned")
            .insert(request.connection);
        let mut random = random.lock().expect("not poisoned");
        let random_fraction = f64::from(random.0.next_u32()) / f64::from(u32::MAX);
        let fails = match (noise, random.1) {
            (Noise::Bursts, true) => random_fraction >= 0.2,
            (Noise::Bursts, false) => random_fraction < 0.2 * share / (1.0 - share),
            (Noise::NewConnections, _) => is_first_call && random_fraction < share,
            _ => random_fraction < share,
        };
        random.1 = fails;
        drop(random);
        if fails && noise == Noise::Slow {
            std::thread::sleep(Duration::from_secs(2));
        }
        match noise {
            _ if !fails => OK,
            Noise::Rejected => Reply::Respond("503 Busy", String::new()),
            Noise::Reset => Reply::Close,
            _ => Reply::Respond("500 Oops", String::new()),
        }
    })
}

/// Starts a sidecar with one class that uses idempotency keys and one destination.
fn start_sidecar(program: &Path, endpoint: SocketAddr) -> Sidecar {
    let (http, outcomes) = (unused_address(), unused_address());
    let text = format!(
        "name = 'app'\nstate = 'app.state'\n[listen]\nhttp = '{http}'\noutcomes = '{outcomes}'\n\
         [limits]\ndisk = '60MB'\n\
         [class.notice]\neffect = 'keyed'\nwindow = '30s'\ndeadline = '20s'\n[destination.one]\nid = 7\n\
         endpoints = ['{endpoint}']\n"
    );
    Sidecar::new(program, &[("app.toml", &text)], http, outcomes)
}

/// Responses of the sidecar to its clients.
#[derive(Default)]
struct ResponseCounts {
    accepted: AtomicU64,
    rejected: AtomicU64,
}

/// Submits messages from four clients for the given time, at the given total rate. Returns the ids of the accepted
/// messages.
fn submit_load(
    http: SocketAddr,
    seconds: f64,
    rate: f64,
    counts: &Arc<ResponseCounts>,
) -> Vec<String> {
    let started_at = Instant::now();
    let threads = (0..CLIENTS).map(|client| {
        let counts = counts.clone();
        std::thread::spawn(move || {
            let (mut accepted, mut number) = (Vec::new(), 0u32);
            let mut connection: Option<Client> = None;
            while started_at.elapsed().as_secs_f64() < seconds {
                let due =
                    started_at + Duration::from_secs_f64(f64::from(number) * CLIENTS as f64 / rate);
                std::thread::sleep(due.saturating_duration_since(Instant::now()));
                number += 1;
                let id = format!("c{client}-{number}");
                let bytes =
                    message_request("notice", &id, 7, DEADLINE.as_millis() as u64, &[b'x'; 256]);
                // a message without a response is not counted, whether or not the sidecar accepted it
                if connection.is_none() {
                    connection = TcpStream::connect(http).is_ok().then(|| Client::new(http));
                }
                match connection.as_mut().and_then(|client| client.send(&bytes)) {
                    Some((200 | 202, _)) => {
                        counts.accepted.fetch_add(1, Ordering::Relaxed);
                        accepted.push(id);
                    }
                    Some(_) => _ = counts.rejected.fetch_add(1, Ordering::Relaxed),
                    None => connection = None,
                }
            }
            accepted
        })
    });
    let threads: Vec<_> = threads.collect();
    threads
        .into_iter()
        .flat_map(|thread| thread.join().expect("a client"))
        .collect()
}

/// The results of one program in one row of the table.
struct RowResult {
    accepted: usize,
    delivered: usize,
    rejected: u64,
    calls: usize,
}

/// Sends the load through a sidecar and waits for the outcomes.
fn measure_sidecar(
    program: &Path,
    noise: Noise,
    share: f64,
    options: &Options,
    kills: bool,
) -> RowResult {
    let endpoint = endpoint(noise, share, options.seed);
    let mut sidecar = start_sidecar(program, endpoint.address);
    let (counts, stop) = (
        Arc::new(ResponseCounts::default()),
        Arc::new(AtomicBool::new(false)),
    );
    let (http, seconds, rate, load_counts) =
        (sidecar.http, options.seconds, options.rate, counts.clone());
    let load_ended = stop.clone();
    let load = std::thread::spawn(move || {
        let accepted = submit_load(http, seconds, rate, &load_counts);
        load_ended.store(true, Ordering::SeqCst);
        accepted
    });
    while kills && !stop.load(Ordering::SeqCst) {
        std::thread::sleep(KILL_INTERVAL);
        sidecar.kill_and_restart();
    }
    let accepted = load.join().expect("the load");
    // a message whose response was lost may have been accepted: it gets an outcome too, but is not counted
    let is_complete =
        |outcomes: &BTreeMap<String, String>| accepted.iter().all(|id| outcomes.contains_key(id));
    let outcomes = sidecar.read_outcomes(DEADLINE + Duration::from_secs(5), is_complete);
    let delivered = accepted
        .iter()
        .filter(|id| outcomes.get(*id).is_some_and(|state| state == "delivered"))
        .count();
    let rejected = counts.rejected.load(Ordering::Relaxed);
    RowResult {
        accepted: accepted.len(),
        delivered,
        rejected,
        calls: endpoint.request_count(),
    }
}

/// Calls the endpoint directly, with three attempts for each message, exponential backoff and full jitter. 32
/// clients, enough to reach the rate, each send one message after the other, with no pause between messages.
fn measure_plain_client(noise: Noise, share: f64, options: &Options) -> RowResult {
    let endpoint = endpoint(noise, share, options.seed);
    let messages = (options.rate * options.seconds) as u64;
    let (next, delivered) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let threads = (0..32u64).map(|thread| {
        let (next, delivered, address) = (next.clone(), delivered.clone(), endpoint.address);
        let mut random = Pcg32::seed_from_u64(options.seed ^ thread << 32);
        std::thread::spawn(move || {
            let mut client = Client::new(address);
            while next.fetch_add(1, Ordering::SeqCst) < messages {
                for attempt in 0..3u32 {
                    if attempt > 0 {
                        let max_backoff_ms = 100u32 << (attempt - 1);
                        std::thread::sleep(Duration::from_millis(u64::from(random.next_u32() % max_backoff_ms)));
                    }
                    let bytes =
                        b"POST /inbox HTTP/1.1\r\nHost: a\r\nX-Request-ID: p\r\nContent-Length: 1\r\n\r\nx";
                    match client.send(bytes) {
                        Some((200, _)) => {
                            delivered.fetch_add(1, Ordering::SeqCst);
                            break;
                        }
                        Some(_) => {}
                        None => client = Client::new(address),
                    }
                }
            }
        })
    });
    let threads: Vec<_> = threads.collect();
    threads
        .into_iter()
        .for_each(|thread| thread.join().expect("a client"));
    let delivered = delivered.load(Ordering::SeqCst) as usize;
    RowResult {
        accepted: messages as usize,
        delivered,
        rejected: 0,
        calls: endpoint.request_count(),
    }
}

/// The options of the command line.
struct Options {
    seconds: f64,
    rate: f64,
    seed: u64,
    against: Option<PathBuf>,
    only: Option<String>,
}

fn parse_options() -> Options {
    let arguments: Vec<String> = std::env::args().collect();
    let value_after = |name: &str| {
        arguments
            .iter()
            .position(|argument| argument == name)
            .and_then(|at| arguments.get(at + 1).cloned())
    };
    let number = |name: &str, default: f64| {
        value_after(name).map_or(default, |text| {
            text.parse()
                .unwrap_or_else(|_| panic!("{name} requires a number"))
        })
    };
    Options {
        seconds: number("--seconds", 10.0),
        rate: number("--rate", 370.0),
        seed: number("--seed", 1.0) as u64,
        against: value_after("--against").map(PathBuf::from),
        only: value_after("--only"),
    }
}

fn main() {
    let options = parse_options();
    let program = Path::new(env!("CARGO_BIN_EXE_milletturn"));
    println!(
        "{} s a row, {} messages a second, seed {}",
        options.seconds, options.rate, options.seed
    );
    println!(
        "{:<26} {:>28} {:>28} {:>17}",
        "", "this: acc. deliv. rejected", "before: acc. deliv. rejected", "three tries"
    );
    let mut rows = vec![(Noise::Error, 0.0, false)];
    for noise in [Noise::Error, Noise::Rejected, Noise::Reset] {
        rows.extend([0.01, 0.02, 0.05, 0.1, 0.2, 0.3].map(|share| (noise, share, false)));
    }
    rows.push((Noise::Bursts, 0.05, false));
    rows.push((Noise::Slow, 0.1, false));
    rows.extend([0.3, 1.0].map(|share| (Noise::NewConnections, share, false)));
    rows.extend([Noise::Error, Noise::Rejected].map(|noise| (noise, 0.1, true)));
    for (noise, share, kills) in rows {
        let name = format!(
            "{:.0}% {}{}",
            share * 100.0,
            noise.name(),
            if kills { ", kills" } else { "" }
        );
        if options
            .only
            .as_deref()
            .is_some_and(|only| !name.contains(only))
        {
            continue;
        }
        let result_text = |row: &RowResult| {
            let share = row.delivered as f64 / row.accepted.max(1) as f64;
            format!(
                "{:>6} {share:>7.4} {:>7} {:>5.2}",
                row.accepted,
                row.rejected,
                row.calls as f64 / row.accepted.max(1) as f64
            )
        };
        let this = measure_sidecar(program, noise, share, &options, kills);
        let before = options
            .against
            .as_ref()
            .map(|other| measure_sidecar(other, noise, share, &options, kills));
        let plain_client = measure_plain_client(noise, share, &options);
        println!(
            "{name:<26} {:>28} {:>28} {:>17.4}",
            result_text(&this),
            before.as_ref().map(result_text).unwrap_or_default(),
            plain_client.delivered as f64 / plain_client.accepted as f64
        );
    }
}
