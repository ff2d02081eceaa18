//! The data path: what a message costs a real sender, and the descriptors of destinations in use.

use super::list::{file_of, limits};
use super::program::{Sender, Sidecar, folder};
use super::{Scene, point, probe};
use crate::Error;
use crate::figures::Point;
use milletturn_test_support::{Client, FakeEndpoint, OK, message_request};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

const CLIENTS: u64 = 8;
/// Destinations and events a second of one sender at the size designed for.
const SERVED: u64 = 106;
const EVENTS: u64 = 288;
/// A second until connections are up, then so long.
const WARM: Duration = Duration::from_secs(1);
const SPAN: Duration = Duration::from_secs(5);
const BODY: [u8; 256] = [b'x'; 256];

/// Clients that hand in so many messages a second together, each with its turns evenly spread, until a time.
struct Load {
    threads: Vec<std::thread::JoinHandle<()>>,
    refused: Arc<AtomicU64>,
}

impl Load {
    fn start(http: SocketAddr, rate: u64, destinations: u64, span: Duration) -> Self {
        let refused = Arc::new(AtomicU64::new(0));
        let threads = (0..CLIENTS)
            .map(|client| {
                let refused = refused.clone();
                std::thread::spawn(move || {
                    let begun = Instant::now();
                    let mut connection = Client::new(http);
                    for turn in 0u64.. {
                        let number = client + turn * CLIENTS;
                        let due = Duration::from_secs_f64(number as f64 / rate as f64);
                        if due > span {
                            return;
                        }
                        std::thread::sleep((begun + due).saturating_duration_since(Instant::now()));
                        let text = message_request(
                            "notice",
                            &format!("{number}"),
                            1 + number % destinations,
                            600_000,
                            &BODY,
                        );
                        match connection.send(&text) {
                            Some((202, _)) => {}
                            Some(_) => drop(refused.fetch_add(1, Ordering::Relaxed)),
                            None => connection = Client::new(http),
                        }
                    }
                })
            })
            .collect();
        Load { threads, refused }
    }

    fn ended(self) -> Result<u64, Error> {
        for thread in self.threads {
            thread
                .join()
                .map_err(|_| Error::Wrong("a client failed".into()))?;
        }
        Ok(self.refused.load(Ordering::Relaxed))
    }
}

/// Processor time of a sender that is handed so many messages a second.
pub(super) fn rate(scene: &Scene) -> Result<Vec<Point>, Error> {
    let (folder, endpoint) = (folder()?, FakeEndpoint::new(|_, _| OK));
    let told = Sidecar {
        limits: &limits(1_024, 10_000),
        list: &file_of(SERVED, endpoint.address),
    };
    let sender = Sender::sidecar(&scene.program, folder.path(), &told)?;
    let load = Load::start(sender.http, scene.at, SERVED, WARM + SPAN);
    std::thread::sleep(WARM);
    let (begun, cpu, count) = (Instant::now(), sender.cpu()?, endpoint.request_count());
    std::thread::sleep(SPAN - Duration::from_millis(200));
    let (seconds, cpu, count) = (
        begun.elapsed().as_secs_f64(),
        sender.cpu()? - cpu,
        endpoint.request_count() - count,
    );
    let (resident, refused) = (sender.memory()?.0, load.ended()?);
    let delivered = count as f64 / seconds;
    let here = |quantity: &str, unit: &str, value: f64| {
        let mut point = point("path", quantity, unit, "messages a second", scene.at, value);
        // what was delivered counts, not what was asked for
        point.at = delivered;
        point.other.insert("asked".into(), scene.at.into());
        point.other.insert("refused".into(), refused.into());
        point
    };
    Ok(vec![
        here("cpu", "core", cpu / seconds),
        here("resident", "B", resident),
    ])
}

/// Descriptors and memory of a sender that delivers its share of events to so many destinations.
pub(super) fn sockets(scene: &Scene) -> Result<Vec<Point>, Error> {
    let (folder, endpoint) = (folder()?, FakeEndpoint::new(|_, _| OK));
    let told = Sidecar {
        limits: &limits(4_096, 10_000),
        list: &file_of(scene.at, endpoint.address),
    };
    let sender = Sender::sidecar(&scene.program, folder.path(), &told)?;
    let (idle, resident) = (probe::descriptors_of(sender.id())?, sender.memory()?.0);
    let load = Load::start(sender.http, EVENTS, scene.at, WARM + SPAN);
    let (mut most, until) = (0.0f64, Instant::now() + WARM + SPAN);
    while Instant::now() < until {
        std::thread::sleep(Duration::from_millis(100));
        most = most.max(probe::descriptors_of(sender.id())?);
    }
    let grown = sender.memory()?.0 - resident;
    load.ended()?;
    let here = |quantity: &str, unit: &str, value: f64| {
        point(
            "path.sockets",
            quantity,
            unit,
            "destinations in use",
            scene.at,
            value,
        )
    };
    Ok(vec![
        here("descriptors", "descriptors", most - idle),
        here("resident", "B", grown),
    ])
}
