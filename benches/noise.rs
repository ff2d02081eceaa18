//! An endpoint with capacity to spare that fails a steady share of its calls, seen through the release program:
//!
//!     cargo bench --bench noise [-- --seconds 10 --rate 370 --against OTHER/milletturn --only 503 --seed 1]
//!
//! For each row the program, the module before (`--against`, a program built from an earlier state) and a plain client
//! that tries three times with exponential backoff and full jitter get the same load from the same seed: four clients at
//! a steady pace that hand in what is refused once more after its wait. Rows with kills end the sidecar every 1.5 s.

mod common;

use common::{Sidecar, free};
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
/// A message's time.
const DEADLINE: Duration = Duration::from_secs(20);
const KILL_EACH: Duration = Duration::from_millis(1500);

#[derive(Clone, Copy, PartialEq)]
enum Noise {
    Error,
    Refused,
    Reset,
    /// Errors in bursts: the chain of Gilbert and Elliott, five bad calls at a time in the mean.
    Bursts,
    /// Errors that take two seconds to come.
    Slow,
    /// Only the first call on a connection may fail.
    NewConnections,
}

impl Noise {
    fn name(self) -> &'static str {
        match self {
            Noise::Error => "500",
            Noise::Refused => "503",
            Noise::Reset => "reset",
            Noise::Bursts => "500 in bursts",
            Noise::Slow => "500 after 2 s",
            Noise::NewConnections => "500 on new connections",
        }
    }
}

/// An endpoint that fails a share of its calls at random, from a seed.
fn endpoint(noise: Noise, share: f64, seed: u64) -> FakeEndpoint {
    let random = Mutex::new((Pcg32::seed_from_u64(seed), false));
    let seen = Mutex::new(BTreeSet::new());
    FakeEndpoint::new(move |request, _| {
        let first = seen
            .lock()
            .expect("not poisoned")
            .insert(request.connection);
        let mut random = random.lock().expect("not poisoned");
        let roll = f64::from(random.0.next_u32()) / f64::from(u32::MAX);
        let bad = match (noise, random.1) {
            (Noise::Bursts, true) => roll >= 0.2,
            (Noise::Bursts, false) => roll < 0.2 * share / (1.0 - share),
            (Noise::NewConnections, _) => first && roll < share,
            _ => roll < share,
        };
        random.1 = bad;
        drop(random);
        if bad && noise == Noise::Slow {
            std::thread::sleep(Duration::from_secs(2));
        }
        match noise {
            _ if !bad => OK,
            Noise::Refused => Reply::Respond("503 Busy", String::new()),
            Noise::Reset => Reply::Close,
            _ => Reply::Respond("500 Oops", String::new()),
        }
    })
}

/// A sidecar with one keyed class and one destination.
fn started(program: &Path, endpoint: SocketAddr) -> Sidecar {
    let (http, outcomes) = (free(), free());
    let text = format!(
        "name = 'app'\nstate = 'app.state'\n[listen]\nhttp = '{http}'\noutcomes = '{outcomes}'\n\
         [limits]\ndisk = '60MB'\n\
         [class.notice]\neffect = 'keyed'\nwindow = '30s'\ndeadline = '20s'\n[destination.one]\nid = 7\n\
         endpoints = ['{endpoint}']\n"
    );
    Sidecar::new(program, &[("app.toml", &text)], http, outcomes)
}

#[derive(Default)]
struct Counts {
    taken: AtomicU64,
    refused: AtomicU64,
}

/// Four clients for so long; the ids that were taken.
fn load(http: SocketAddr, seconds: f64, rate: f64, counts: &Arc<Counts>) -> Vec<String> {
    let begun = Instant::now();
    let threads = (0..CLIENTS).map(|client| {
        let counts = counts.clone();
        std::thread::spawn(move || {
            let (mut taken, mut number) = (Vec::new(), 0u32);
            let mut connection: Option<Client> = None;
            while begun.elapsed().as_secs_f64() < seconds {
                let due =
                    begun + Duration::from_secs_f64(f64::from(number) * CLIENTS as f64 / rate);
                std::thread::sleep(due.saturating_duration_since(Instant::now()));
                number += 1;
                let id = format!("c{client}-{number}");
                let bytes =
                    message_request("notice", &id, 7, DEADLINE.as_millis() as u64, &[b'x'; 256]);
                // what could not be handed in was never promised
                if connection.is_none() {
                    connection = TcpStream::connect(http).is_ok().then(|| Client::new(http));
                }
                match connection.as_mut().and_then(|client| client.send(&bytes)) {
                    Some((200 | 202, _)) => {
                        counts.taken.fetch_add(1, Ordering::Relaxed);
                        taken.push(id);
                    }
                    Some(_) => _ = counts.refused.fetch_add(1, Ordering::Relaxed),
                    None => connection = None,
                }
            }
            taken
        })
    });
    let threads: Vec<_> = threads.collect();
    threads
        .into_iter()
        .flat_map(|thread| thread.join().expect("a client"))
        .collect()
}

struct Row {
    taken: usize,
    delivered: usize,
    refused: u64,
    calls: usize,
}

fn through(program: &Path, noise: Noise, share: f64, options: &Options, kills: bool) -> Row {
    let endpoint = endpoint(noise, share, options.seed);
    let mut sidecar = started(program, endpoint.address);
    let (counts, stop) = (
        Arc::new(Counts::default()),
        Arc::new(AtomicBool::new(false)),
    );
    let (http, seconds, rate, here) = (sidecar.http, options.seconds, options.rate, counts.clone());
    let ends = stop.clone();
    let loading = std::thread::spawn(move || {
        let taken = load(http, seconds, rate, &here);
        ends.store(true, Ordering::SeqCst);
        taken
    });
    while kills && !stop.load(Ordering::SeqCst) {
        std::thread::sleep(KILL_EACH);
        sidecar.kill();
    }
    let taken = loading.join().expect("the load");
    // one that was cut off from its answer may have been taken: it is answered too, and not counted
    let all = |found: &BTreeMap<String, String>| taken.iter().all(|id| found.contains_key(id));
    let answers = sidecar.answers(DEADLINE + Duration::from_secs(5), all);
    let delivered = taken
        .iter()
        .filter(|id| answers.get(*id).is_some_and(|state| state == "delivered"))
        .count();
    let refused = counts.refused.load(Ordering::Relaxed);
    Row {
        taken: taken.len(),
        delivered,
        refused,
        calls: endpoint.request_count(),
    }
}

/// Three tries with exponential backoff and full jitter, by as many clients as are needed for the rate.
fn plain(noise: Noise, share: f64, options: &Options) -> Row {
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
                        let most = 100u32 << (attempt - 1);
                        std::thread::sleep(Duration::from_millis(u64::from(random.next_u32() % most)));
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
    Row {
        taken: messages as usize,
        delivered,
        refused: 0,
        calls: endpoint.request_count(),
    }
}

struct Options {
    seconds: f64,
    rate: f64,
    seed: u64,
    against: Option<PathBuf>,
    only: Option<String>,
}

fn options() -> Options {
    let words: Vec<String> = std::env::args().collect();
    let after = |name: &str| {
        words
            .iter()
            .position(|word| word == name)
            .and_then(|at| words.get(at + 1).cloned())
    };
    let number = |name: &str, default: f64| {
        after(name).map_or(default, |text| {
            text.parse()
                .unwrap_or_else(|_| panic!("{name} wants a number"))
        })
    };
    Options {
        seconds: number("--seconds", 10.0),
        rate: number("--rate", 370.0),
        seed: number("--seed", 1.0) as u64,
        against: after("--against").map(PathBuf::from),
        only: after("--only"),
    }
}

fn main() {
    let options = options();
    let program = Path::new(env!("CARGO_BIN_EXE_milletturn"));
    println!(
        "{} s a row, {} messages a second, seed {}",
        options.seconds, options.rate, options.seed
    );
    println!(
        "{:<26} {:>28} {:>28} {:>17}",
        "", "this: taken deliv. refused", "before: taken deliv. refused", "three tries"
    );
    let mut rows = vec![(Noise::Error, 0.0, false)];
    for noise in [Noise::Error, Noise::Refused, Noise::Reset] {
        rows.extend([0.01, 0.02, 0.05, 0.1, 0.2, 0.3].map(|share| (noise, share, false)));
    }
    rows.push((Noise::Bursts, 0.05, false));
    rows.push((Noise::Slow, 0.1, false));
    rows.extend([0.3, 1.0].map(|share| (Noise::NewConnections, share, false)));
    rows.extend([Noise::Error, Noise::Refused].map(|noise| (noise, 0.1, true)));
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
        let text = |row: &Row| {
            let share = row.delivered as f64 / row.taken.max(1) as f64;
            format!(
                "{:>6} {share:>7.4} {:>7} {:>5.2}",
                row.taken,
                row.refused,
                row.calls as f64 / row.taken.max(1) as f64
            )
        };
        let this = through(program, noise, share, &options, kills);
        let before = options
            .against
            .as_ref()
            .map(|other| through(other, noise, share, &options, kills));
        let tries = plain(noise, share, &options);
        println!(
            "{name:<26} {:>28} {:>28} {:>17.4}",
            text(&this),
            before.as_ref().map(text).unwrap_or_default(),
            tries.delivered as f64 / tries.taken as f64
        );
    }
}
