//! Response times of a sender that fails 500 messages per second, with and without a dead-letter store in alternating
//! rounds: `cargo bench --bench failing`.
//!
//! The times are those of responses to clients. The endpoint fails every call, so the destination is soon unhealthy, and
//! most messages fail at their deadline of 80 ms.

#[path = "../tests/node/mod.rs"]
mod node;

use milletturn_test_support::{
    Client, FakeDiscovery, FakeEndpoint, Reply, list_json, message_request,
};
use node::Node;
use std::time::{Duration, Instant};

/// Messages per second from all clients together.
const RATE_PER_S: u32 = 500;
const ROUND_SECONDS: u32 = 4;
const ROUNDS: usize = 5;
const CLIENTS: u32 = 4;

/// Runs the load once and returns the sorted response times in microseconds. `store` is the text of the store's settings;
/// none runs the sender without a store.
fn measure_response_times(store: Option<&str>) -> Vec<u64> {
    let endpoint = FakeEndpoint::new(|_, _| Reply::Respond("500 Oops", String::new()));
    let discovery = FakeDiscovery::new(vec![list_json(&[(
        "s-1",
        endpoint.address,
        "one",
        7,
        "up",
    )])]);
    let node = match store {
        Some(settings) => Node::with_store(&discovery, settings),
        None => Node::new(&discovery),
    };
    let node = node.ready();
    let address = node.address;
    let clients = (0..CLIENTS).map(|client| {
        std::thread::spawn(move || {
            let mut connection = Client::new(address);
            let (started_at, mut times) = (Instant::now(), Vec::new());
            for number in 0..RATE_PER_S * ROUND_SECONDS / CLIENTS {
                let due = Duration::from_secs(1) * number * CLIENTS / RATE_PER_S;
                std::thread::sleep(due.saturating_sub(started_at.elapsed()));
                let request =
                    message_request("order", &format!("c{client}-{number}"), 7, 80, &[b'x'; 500]);
                let sent_at = Instant::now();
                connection.send(&request).expect("a response");
                times.push(sent_at.elapsed().as_micros() as u64);
            }
            times
        })
    });
    let clients: Vec<_> = clients.collect();
    let mut times: Vec<u64> = clients
        .into_iter()
        .flat_map(|client| client.join().expect("ended"))
        .collect();
    times.sort_unstable();
    if store.is_some() {
        let (_, stats) = node.undelivered(&["stats"]);
        println!(
            "stored: {} of {} submitted",
            stats[0]["by_state"][0],
            RATE_PER_S * ROUND_SECONDS
        );
    }
    times
}

fn main() {
    println!(
        "{:<10} {:>10} {:>10} {:>10}",
        "store", "p50 us", "p99 us", "max us"
    );
    let (mut on, mut off) = (Vec::new(), Vec::new());
    for _ in 0..ROUNDS {
        for (name, store, percentiles) in [
            ("off", None, &mut off),
            (
                "on",
                Some("[store]\nmax_mb = 5\nkeep_returned = true"),
                &mut on,
            ),
        ] {
            let times = measure_response_times(store);
            let percentile =
                |percent: usize| times[(times.len() * percent / 100).min(times.len() - 1)];
            println!(
                "{name:<10} {:>10} {:>10} {:>10}",
                percentile(50),
                percentile(99),
                percentile(100)
            );
            percentiles.push((percentile(50) as f64, percentile(99) as f64));
        }
    }
    let ratio = |select: fn(&(f64, f64)) -> f64| {
        let median = |all: &[(f64, f64)]| {
            let mut values: Vec<f64> = all.iter().map(select).collect();
            values.sort_by(f64::total_cmp);
            values[values.len() / 2]
        };
        median(&on) / median(&off)
    };
    println!(
        "on / off, medians: p50 {:.2}, p99 {:.2}",
        ratio(|percentiles| percentiles.0),
        ratio(|percentiles| percentiles.1)
    );
}
