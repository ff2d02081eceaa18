//! Measures the data path of a real sender: CPU time per message, and file descriptors per destination in use.

use super::list::{endpoints_file, limits_section};
use super::program::{Sender, SidecarConfig, temp_dir};
use super::{MeasurementContext, point, probe};
use crate::Error;
use crate::figures::Point;
use milletturn_test_support::{Client, FakeEndpoint, OK, message_request};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

const CLIENTS: u64 = 8;
/// Destinations that one sender serves at the design size.
const DESTINATIONS: u64 = 106;
/// Messages per second that one sender delivers at the design size.
const MESSAGES_PER_S: u64 = 288;
/// Time for connections to be opened before the measurement begins.
const WARM_UP: Duration = Duration::from_secs(1);
/// Time for which load continues after the warm-up. [`rate`] takes its last readings 0.2 s earlier, while the load
/// still runs.
const MEASURED_TIME: Duration = Duration::from_secs(5);
const BODY: [u8; 256] = [b'x'; 256];

/// Client threads that together submit messages at an even rate for a fixed time.
struct LoadGenerator {
    threads: Vec<std::thread::JoinHandle<()>>,
    rejected: Arc<AtomicU64>,
}

impl LoadGenerator {
    fn start(http: SocketAddr, rate: u64, destinations: u64, span: Duration) -> Self {
        let rejected = Arc::new(AtomicU64::new(0));
        let threads = (0..CLIENTS)
            .map(|client| {
                let rejected = rejected.clone();
                std::thread::spawn(move || {
                    let started_at = Instant::now();
                    let mut connection = Client::new(http);
                    for round in 0u64.. {
                        let number = client + round * CLIENTS;
                        let due = Duration::from_secs_f64(number as f64 / rate as f64);
                        if due > span {
                            return;
                        }
                        std::thread::sleep(
                            (started_at + due).saturating_duration_since(Instant::now()),
                        );
                        let text = message_request(
                            "notice",
                            &format!("{number}"),
                            1 + number % destinations,
                            600_000,
                            &BODY,
                        );
                        match connection.send(&text) {
                            Some((202, _)) => {}
                            Some(_) => drop(rejected.fetch_add(1, Ordering::Relaxed)),
                            None => connection = Client::new(http),
                        }
                    }
                })
            })
            .collect();
        LoadGenerator { threads, rejected }
    }

    fn join(self) -> Result<u64, Error> {
        for thread in self.threads {
            thread
                .join()
                .map_err(|_| Error::Unexpected("a client thread panicked".into()))?;
        }
        Ok(self.rejected.load(Ordering::Relaxed))
    }
}

/// Measures the CPU time and memory of a sender to which the given number of messages per second is submitted.
pub(super) fn rate(context: &MeasurementContext) -> Result<Vec<Point>, Error> {
    let (folder, endpoint) = (temp_dir()?, FakeEndpoint::new(|_, _| OK));
    let config = SidecarConfig {
        limits: &limits_section(1_024, 10_000),
        list: &endpoints_file(DESTINATIONS, endpoint.address),
    };
    let sender = Sender::start_sidecar(&context.program, folder.path(), &config)?;
    let load = LoadGenerator::start(
        sender.http,
        context.size,
        DESTINATIONS,
        WARM_UP + MEASURED_TIME,
    );
    std::thread::sleep(WARM_UP);
    let (started_at, cpu, count) = (Instant::now(), sender.cpu()?, endpoint.request_count());
    std::thread::sleep(MEASURED_TIME - Duration::from_millis(200));
    let (seconds, cpu, count) = (
        started_at.elapsed().as_secs_f64(),
        sender.cpu()? - cpu,
        endpoint.request_count() - count,
    );
    let (resident, rejected) = (sender.memory()?.0, load.join()?);
    let delivered = count as f64 / seconds;
    let new_point = |quantity: &str, unit: &str, value: f64| {
        let mut point = point(
            "path",
            quantity,
            unit,
            "messages a second",
            context.size,
            value,
        );
        // the axis is the rate of deliveries, which can be lower than the rate of submissions
        point.at = delivered;
        point.other.insert("asked".into(), context.size.into());
        point.other.insert("refused".into(), rejected.into());
        point
    };
    Ok(vec![
        new_point("cpu", "core", cpu / seconds),
        new_point("resident", "B", resident),
    ])
}

/// Measures the file descriptors and memory of a sender that delivers to the given number of destinations.
pub(super) fn sockets(context: &MeasurementContext) -> Result<Vec<Point>, Error> {
    let (folder, endpoint) = (temp_dir()?, FakeEndpoint::new(|_, _| OK));
    let config = SidecarConfig {
        limits: &limits_section(4_096, 10_000),
        list: &endpoints_file(context.size, endpoint.address),
    };
    let sender = Sender::start_sidecar(&context.program, folder.path(), &config)?;
    let (idle, resident) = (probe::descriptors_of(sender.id())?, sender.memory()?.0);
    let load = LoadGenerator::start(
        sender.http,
        MESSAGES_PER_S,
        context.size,
        WARM_UP + MEASURED_TIME,
    );
    let (mut peak, until) = (0.0f64, Instant::now() + WARM_UP + MEASURED_TIME);
    while Instant::now() < until {
        std::thread::sleep(Duration::from_millis(100));
        peak = peak.max(probe::descriptors_of(sender.id())?);
    }
    let grown = sender.memory()?.0 - resident;
    load.join()?;
    let new_point = |quantity: &str, unit: &str, value: f64| {
        point(
            "path.sockets",
            quantity,
            unit,
            "destinations in use",
            context.size,
            value,
        )
    };
    Ok(vec![
        new_point("descriptors", "descriptors", peak - idle),
        new_point("resident", "B", grown),
    ])
}
