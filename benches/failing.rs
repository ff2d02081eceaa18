//! A sender that fails 500 messages a second, with the store of undelivered messages and without it, side by side in
//! turns: `cargo bench --bench failing`. Times are those of answers to clients. The endpoint fails every call, so the
//! destination is soon sick, and most messages end by their time of 80 ms.

#[path = "../tests/node/mod.rs"]
mod node;

use milletturn_test_support::{
    Client, FakeDiscovery, FakeEndpoint, Reply, list_json, message_request,
};
use node::Node;
use std::time::{Duration, Instant};

const RATE: u32 = 500;
const SECONDS: u32 = 4;
const ROUNDS: usize = 5;
const CLIENTS: u32 = 4;

/// Times of answers, microseconds, sorted.
fn play(store: Option<&str>) -> Vec<u64> {
    let endpoint = FakeEndpoint::new(|_, _| Reply::Respond("500 Oops", String::new()));
    let agent = FakeDiscovery::new(vec![list_json(&[(
        "s-1",
        endpoint.address,
        "one",
        7,
        "up",
    )])]);
    let node = match store {
        Some(settings) => Node::with_store(&agent, settings),
        None => Node::new(&agent),
    };
    let node = node.ready();
    let address = node.address;
    let clients = (0..CLIENTS).map(|client| {
        std::thread::spawn(move || {
            let mut connection = Client::new(address);
            let (begun, mut times) = (Instant::now(), Vec::new());
            for number in 0..RATE * SECONDS / CLIENTS {
                let due = Duration::from_secs(1) * number * CLIENTS / RATE;
                std::thread::sleep(due.saturating_sub(begun.elapsed()));
                let text =
                    message_request("order", &format!("c{client}-{number}"), 7, 80, &[b'x'; 500]);
                let sent = Instant::now();
                connection.send(&text).expect("an answer");
                times.push(sent.elapsed().as_micros() as u64);
            }
            times
        })
    });
    let clients: Vec<_> = clients.collect();
    let mut times: Vec<u64> = clients
        .into_iter()
        .flat_map(|one| one.join().expect("ended"))
        .collect();
    times.sort_unstable();
    if store.is_some() {
        let (_, stats) = node.undelivered(&["stats"]);
        println!(
            "kept: {} of {} handed in",
            stats[0]["by_state"][0],
            RATE * SECONDS
        );
    }
    times
}

fn main() {
    println!(
        "{:<10} {:>10} {:>10} {:>10}",
        "store", "p50 us", "p99 us", "most us"
    );
    let (mut on, mut off) = (Vec::new(), Vec::new());
    for _ in 0..ROUNDS {
        for (name, store, all) in [
            ("off", None, &mut off),
            (
                "on",
                Some("[store]\nmax_mb = 5\nkeep_returned = true"),
                &mut on,
            ),
        ] {
            let times = play(store);
            let rank = |part: usize| times[(times.len() * part / 100).min(times.len() - 1)];
            println!(
                "{name:<10} {:>10} {:>10} {:>10}",
                rank(50),
                rank(99),
                rank(100)
            );
            all.push((rank(50) as f64, rank(99) as f64));
        }
    }
    let ratio = |pick: fn(&(f64, f64)) -> f64| {
        let median = |all: &[(f64, f64)]| {
            let mut values: Vec<f64> = all.iter().map(pick).collect();
            values.sort_by(f64::total_cmp);
            values[values.len() / 2]
        };
        median(&on) / median(&off)
    };
    println!(
        "on / off, medians: p50 {:.2}, p99 {:.2}",
        ratio(|one| one.0),
        ratio(|one| one.1)
    );
}
