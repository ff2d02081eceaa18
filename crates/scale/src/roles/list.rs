//! Measures the cost of an endpoint list: in the engine with its real transport, in a sidecar with an endpoints file,
//! and in a sender that watches discovery; and finds the largest list that each of the latter two accepts.

use super::program::{Sender, SidecarConfig, temp_dir, unused_address, write};
use super::{MeasurementContext, point, probe};
use crate::Error;
use crate::figures::Point;
use milletturn_engine::observer::NoopObserver;
use milletturn_engine::{
    Clock, EndpointListUpdate, Engine, EngineStatus, Input, Journal, ListedEndpoint, Ports,
    SharedStr,
};
use milletturn_platform::ResourceBudget;
use milletturn_platform::http_transport::HttpTransport;
use milletturn_policy::{Class, DestinationKind, Effect, EndpointStatus, SECOND, Settings};
use milletturn_test_support::{FakeDiscovery, MemoryJournal};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::{Command, Stdio};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::LocalSet;

/// Number of endpoints in each update of the first list. Small updates keep the memory of the updates themselves out of
/// the measured memory.
const ENDPOINTS_PER_UPDATE: u64 = 1_000;
/// Number of changes over which the cost of a change is averaged.
const MEASURED_CHANGES: u64 = 200;
/// Maximum number of sockets that the measured engine may open.
const MAX_SOCKETS: usize = 4_096;
/// Maximum number of concurrent calls of the measured engine.
const CALL_SLOTS: usize = 200;
/// Number of status requests or scrapes over which the cost is averaged.
const MEASURED_SCRAPES: u64 = 50;

pub(super) fn endpoint(number: u64, address: SocketAddr, weight: f64) -> ListedEndpoint {
    ListedEndpoint {
        uid: format!("t-{number:07}"),
        address,
        zone: "a".into(),
        kind: "one".into(),
        destination: number,
        status: EndpointStatus::Serving,
        weight,
    }
}

/// Creates an engine with the real HTTP transport and one class whose messages carry an idempotency key.
pub(super) fn new_engine(
    journal: Box<dyn Journal>,
    cached_endpoints: Option<EndpointListUpdate>,
    max_pending: usize,
) -> Result<
    (
        Engine,
        mpsc::UnboundedSender<Input>,
        mpsc::UnboundedReceiver<Input>,
    ),
    Error,
> {
    let mut settings = Settings::new(CALL_SLOTS, max_pending);
    let keyed = Effect::Keyed {
        window: 3_600 * SECOND,
        zone_only: false,
    };
    settings
        .classes
        .push(Class::new("notice", keyed, 4 * SECOND, 7 * 86_400 * SECOND));
    settings.kinds.push(DestinationKind {
        name: "one".into(),
        separate_routes: false,
        max_batch_size: 1,
    });
    let (inputs, received) = mpsc::unbounded_channel();
    let budget = ResourceBudget::new(MAX_SOCKETS, 128_000_000, CALL_SLOTS);
    let (idle, dial) = (Duration::from_secs(5), Duration::from_millis(500));
    let calls = HttpTransport::new(
        idle,
        dial,
        Vec::new(),
        &budget,
        inputs.clone(),
        Rc::default(),
    );
    let wall = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_micros();
    let ports = Ports {
        settings,
        seed: 1,
        zones: vec!["a".into()],
        kinds: vec!["one".into()],
        clock: Clock::new(i64::try_from(wall).unwrap_or(0)),
        cached_endpoints,
        journal,
        dead_letters: None,
        first_message_number: 1,
        transport: Box::new(calls),
        notify_delivered: false,
        notifications: mpsc::unbounded_channel().0,
        observer: Box::new(NoopObserver),
        ready: watch::channel(false).0,
    };
    let engine = Engine::new(ports).map_err(|error| Error::Unexpected(error.to_string()))?;
    Ok((engine, inputs, received))
}

/// Waits until the engine has processed all inputs sent so far, and returns its status. The status request itself takes
/// time that grows with the number of listed endpoints.
pub(super) async fn engine_status(
    inputs: &mpsc::UnboundedSender<Input>,
) -> Result<EngineStatus, Error> {
    let (reply, response) = oneshot::channel();
    let engine_ended = || Error::Unexpected("the engine has ended".into());
    inputs
        .send(Input::GetStatus(reply))
        .map_err(|_| engine_ended())?;
    response.await.map_err(|_| engine_ended())
}

/// Waits until the engine has processed all inputs sent so far, without requesting its status, whose cost grows with
/// the number of listed endpoints.
async fn inputs_processed(inputs: &mpsc::UnboundedSender<Input>) -> Result<(), Error> {
    let (reply, response) = oneshot::channel();
    let engine_ended = || Error::Unexpected("the engine has ended".into());
    let unknown_id =
        SharedStr::new(b"nobody").map_err(|error| Error::Unexpected(error.to_string()))?;
    inputs
        .send(Input::IsOpen(unknown_id, reply))
        .map_err(|_| engine_ended())?;
    response.await.map(drop).map_err(|_| engine_ended())
}

/// Runs a future, which may spawn local tasks, to completion on a new single-threaded runtime.
pub(super) fn run_local<T>(future: impl Future<Output = Result<T, Error>>) -> Result<T, Error> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    LocalSet::new().block_on(&runtime.map_err(Error::io("a runtime"))?, future)
}

/// Measures the memory of a listed destination, and the CPU time of the first list, a change, a full list and a status
/// request.
pub(super) fn engine(context: &MeasurementContext) -> Result<Vec<Point>, Error> {
    let count = context.size;
    let new_point = |quantity: &str, unit: &str, value: f64| {
        point("list.engine", quantity, unit, "destinations", count, value)
    };
    let address = unused_address();
    run_local(async move {
        let (mut engine, inputs, mut received) =
            new_engine(Box::new(MemoryJournal::default()), None, 400)?;
        tokio::task::spawn_local(async move { engine.run(&mut received).await });
        inputs_processed(&inputs).await?;
        let (resident, cpu_before, mut version) = (probe::resident()?, probe::cpu(), 0);
        let mut send_update = |full: bool, endpoints: Vec<ListedEndpoint>| {
            version += 1;
            let update = EndpointListUpdate {
                version,
                full,
                endpoints,
            };
            inputs
                .send(Input::EndpointsListed(update))
                .map_err(|_| Error::Unexpected("the engine has ended".into()))
        };
        for from in (0..count).step_by(ENDPOINTS_PER_UPDATE as usize) {
            let part = (from..count.min(from + ENDPOINTS_PER_UPDATE))
                .map(|number| endpoint(number, address, 1.0));
            send_update(from == 0, part.collect())?;
            inputs_processed(&inputs).await?;
        }
        let mut points = vec![
            new_point("cpu", "s", probe::cpu() - cpu_before),
            new_point("resident", "B", probe::resident()? - resident),
        ];
        let cpu_before = probe::cpu();
        for change in 0..MEASURED_CHANGES {
            send_update(false, vec![endpoint(change * 7_919 % count, address, 2.0)])?;
            inputs_processed(&inputs).await?;
        }
        points.push(new_point(
            "change.cpu",
            "s",
            (probe::cpu() - cpu_before) / MEASURED_CHANGES as f64,
        ));
        let cpu_before = probe::cpu();
        for _ in 0..MEASURED_SCRAPES {
            engine_status(&inputs).await?;
        }
        points.push(new_point(
            "look.cpu",
            "s",
            (probe::cpu() - cpu_before) / MEASURED_SCRAPES as f64,
        ));
        let whole = (0..count)
            .map(|number| endpoint(number, address, 3.0))
            .collect();
        let cpu_before = probe::cpu();
        send_update(true, whole)?;
        inputs_processed(&inputs).await?;
        points.push(new_point("whole.cpu", "s", probe::cpu() - cpu_before));
        Ok(points)
    })
}

pub(super) fn limits_section(sockets: usize, held: u64) -> String {
    format!(
        "held = {held}\ncalls = 100\nsockets = {sockets}\ndisk = '60GB'\nmemory = '16GB'\n[load]\nbody = '256B'"
    )
}

pub(super) fn endpoints_file(count: u64, address: SocketAddr) -> String {
    (1..=count)
        .map(|number| format!("[destination.{number}]\nendpoints = ['{address}']\n"))
        .collect()
}

/// Measures a sidecar that reads its destinations from a file.
pub(super) fn file(context: &MeasurementContext) -> Result<Vec<Point>, Error> {
    let new_point = |quantity: &str, unit: &str, value: f64| {
        point(
            "list.file",
            quantity,
            unit,
            "destinations",
            context.size,
            value,
        )
    };
    let (folder, text) = (temp_dir()?, endpoints_file(context.size, unused_address()));
    let config = SidecarConfig {
        limits: &limits_section(1_024, 1_000),
        list: &text,
    };
    let sender = Sender::start_sidecar(&context.program, folder.path(), &config)?;
    let (cpu, (resident, peak)) = (sender.cpu()?, sender.memory()?);
    let mut points = vec![
        new_point("wire", "B", text.len() as f64),
        new_point("ready", "s", sender.ready),
        new_point("cpu", "s", cpu),
        new_point("resident", "B", resident),
        new_point("peak", "B", peak),
    ];
    // after adding one destination, the sidecar reads the whole file again and applies the list as a full update
    let extended = format!(
        "{text}[destination.{}]\nendpoints = ['127.0.0.1:9']\n",
        context.size + 1
    );
    write(&folder.path().join("list.toml"), &extended)?;
    let mut last = sender.cpu()?;
    let until = std::time::Instant::now() + Duration::from_secs(20);
    let before = last;
    // the sidecar checks the file every 250 ms; the change has been applied once a whole second takes almost no CPU
    // time
    loop {
        std::thread::sleep(Duration::from_secs(1));
        let now = sender.cpu()?;
        if (now - last < 0.005 && now - before > 0.0005) || std::time::Instant::now() > until {
            points.push(new_point("change.cpu", "s", now - before));
            return Ok(points);
        }
        last = now;
    }
}

fn watch_line(count: u64, address: SocketAddr) -> String {
    let target = |number: u64| {
        format!(
            "{{\"uid\":\"t-{number:07}\",\"endpoint\":\"{address}\",\"az\":\"a\",\"model\":\"one\",\
             \"pod_group\":{number},\"state\":\"up\",\"capacity_hint\":1.0,\"boot_ms\":0}}"
        )
    };
    let targets: Vec<String> = (0..count).map(target).collect();
    format!(
        "{{\"rev\":7,\"all\":true,\"targets\":[{}]}}",
        targets.join(",")
    )
}

/// Starts the sender with a discovery watch that sends one list.
fn start_watching_sender(
    program: &Path,
    folder: &Path,
    line: String,
    timeout: Duration,
) -> Result<Sender, Error> {
    let discovery = FakeDiscovery::new(vec![line]);
    let listen = unused_address();
    let config = serde_json::json!({
        "name": "n1", "listen": listen.to_string(), "discovery": discovery.address.to_string(), "seed": "8c1f",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 30.0},
        "known": {"rev": 0, "all": true, "targets": []},
        "settings": {
            "az": "a", "balancers": 1, "zones": ["a"], "machineTypes": ["one"],
            "caps": {"maxOpen": 50, "mostTries": 12, "mayCancel": true, "secondCopies": true, "connIdle": 5.0,
                     "dialTimeout": 0.5, "retryAfter": true, "maxRetryAfter": 3.0},
            "report": {"how": "piggyback", "fields": ["x0", "x1"]},
            "classes": [{"name": "notice", "aim": 4.0, "deadline": 20.0, "effect": "idempotent"}],
            "specifics": {"callSlots": 8, "bundleMax": [1], "routesApart": [false]},
            "safety": {"stopSendingWithin": 1.0, "cold": 11.0, "startCapacity": 0.18, "fallMultiple": 2.0,
                       "fall": 3.0}
        }
    });
    write(&folder.join("config.json"), &config.to_string())?;
    let mut command = Command::new(program);
    command
        .env("RELAY_CONFIG", folder.join("config.json"))
        .env("RELAY_STATE", folder.join("state"));
    Sender::start(command, listen, timeout)
}

/// Measures a sender that receives the whole list from a discovery watch.
pub(super) fn watch(context: &MeasurementContext) -> Result<Vec<Point>, Error> {
    let new_point = |quantity: &str, unit: &str, value: f64| {
        point(
            "list.watch",
            quantity,
            unit,
            "destinations",
            context.size,
            value,
        )
    };
    let (folder, line) = (temp_dir()?, watch_line(context.size, unused_address()));
    let bytes = line.len() as f64;
    let sender = start_watching_sender(
        &context.program,
        folder.path(),
        line,
        Duration::from_secs(60),
    )?;
    let (cpu, memory) = (sender.cpu()?, sender.memory()?);
    Ok(vec![
        new_point("wire", "B", bytes),
        new_point("ready", "s", sender.ready),
        new_point("cpu", "s", cpu),
        new_point("resident", "B", memory.0),
    ])
}

/// Finds the largest accepted size by bisection, to within 1/`part` of that size. The initial `accepted` must be an
/// accepted size, which is not checked; a `rejected` that turns out to be accepted is an error.
fn largest_accepted(
    mut accepted: u64,
    mut rejected: u64,
    part: u64,
    is_accepted: impl Fn(u64) -> Result<bool, Error>,
) -> Result<u64, Error> {
    if is_accepted(rejected)? {
        return Err(Error::Unexpected(format!(
            "size {rejected} was accepted; the search needs a rejected size"
        )));
    }
    while rejected - accepted > (accepted / part).max(1) {
        let middle = accepted.midpoint(rejected);
        if is_accepted(middle)? {
            accepted = middle;
        } else {
            rejected = middle;
        }
    }
    Ok(accepted)
}

/// Finds the largest list that a watch and an endpoints file accept, and the largest limit of pending messages that a
/// sidecar's configuration accepts.
pub(super) fn bounds(context: &MeasurementContext) -> Result<Vec<Point>, Error> {
    let address = unused_address();
    let folder = temp_dir()?;
    let watch = largest_accepted(1_000, 20_000, 100, |count| {
        let dir = tempfile::tempdir_in(folder.path()).map_err(Error::io("a folder"))?;
        let timeout = Duration::from_secs(8);
        Ok(start_watching_sender(
            &context.program,
            dir.path(),
            watch_line(count, address),
            timeout,
        )
        .is_ok())
    })?;
    let is_valid_config = |limits: &str, list: &str| -> Result<bool, Error> {
        let text = format!(
            "name = 'app'\nstate = 'app.state'\n[listen]\nhttp = '{}'\noutcomes = '{}'\n[limits]\n{limits}\n\
             [endpoints]\nfile = 'list.toml'\n[class.notice]\neffect = 'repeatable'\ndeadline = '1h'\n",
            unused_address(),
            unused_address()
        );
        write(&folder.path().join("app.toml"), &text)?;
        write(&folder.path().join("list.toml"), list)?;
        let mut command = Command::new(&context.program);
        command
            .args(["config", "check"])
            .arg(folder.path().join("app.toml"));
        let status = command.stdout(Stdio::null()).stderr(Stdio::null()).status();
        Ok(status.map_err(Error::io("config check"))?.success())
    };
    let short = endpoints_file(10, address);
    if !is_valid_config(&limits_section(1_024, 1_000), &short)? {
        return Err(Error::Unexpected(
            "a valid configuration was rejected".into(),
        ));
    }
    // without `--here`, `config check` does not read the endpoints file that a configuration names, so a sidecar has
    // to be started
    let file = largest_accepted(200_000, 600_000, 100, |count| {
        let dir = tempfile::tempdir_in(folder.path()).map_err(Error::io("a folder"))?;
        let config = SidecarConfig {
            limits: &limits_section(1_024, 1_000),
            list: &endpoints_file(count, address),
        };
        Ok(Sender::start_sidecar(&context.program, dir.path(), &config).is_ok())
    })?;
    let held = largest_accepted(1_000, 1_500_000, u64::MAX, |held| {
        is_valid_config(&limits_section(1_024, held), &short)
    })?;
    let max_point =
        |role: &str, unit: &str, value: u64| point(role, "most", unit, "bound", 0, value as f64);
    Ok(vec![
        max_point("list.watch", "destinations", watch),
        max_point("list.file", "destinations", file),
        max_point("limits.held", "messages", held),
    ])
}

/// Measures the bytes and CPU time of a metrics scrape of a real sender with the given number of destinations.
pub(super) fn metrics_by_destination(context: &MeasurementContext) -> Result<Vec<Point>, Error> {
    let new_point = |quantity: &str, unit: &str, value: f64| {
        point(
            "figures",
            quantity,
            unit,
            "destinations",
            context.size,
            value,
        )
    };
    let (folder, admin_address) = (temp_dir()?, unused_address());
    let config = SidecarConfig {
        limits: &limits_section(1_024, 1_000),
        list: &endpoints_file(context.size, unused_address()),
    };
    let sender = Sender::start_sidecar_with_admin(
        &context.program,
        folder.path(),
        &config,
        Some(admin_address),
    )?;
    std::thread::sleep(Duration::from_secs(1));
    let (cpu_before, mut bytes) = (sender.cpu()?, 0);
    for _ in 0..MEASURED_SCRAPES {
        let mut stream =
            TcpStream::connect(admin_address).map_err(Error::io("the admin listener"))?;
        let written =
            stream.write_all(b"GET /-/metrics HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
        written.map_err(Error::io("the admin listener"))?;
        let mut response = Vec::new();
        stream
            .read_to_end(&mut response)
            .map_err(Error::io("the admin listener"))?;
        if !response.starts_with(b"HTTP/1.1 200") {
            return Err(Error::Unexpected(
                "metrics request did not return status 200".into(),
            ));
        }
        bytes = response.len();
    }
    let cpu = (sender.cpu()? - cpu_before) / MEASURED_SCRAPES as f64;
    Ok(vec![
        new_point("scrape", "B", bytes as f64),
        new_point("cpu", "s", cpu),
    ])
}
