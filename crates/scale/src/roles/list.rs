//! What a list of destinations costs: in the engine with its real transport, in a sidecar with a file of endpoints, at a
//! sender that watches discovery; and up to which size each takes one at all.

use super::program::{Sender, Sidecar, folder, free, write};
use super::{Scene, point, probe};
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

/// Entries of one piece of a list, so that what is read leaves little behind.
const PIECE: u64 = 1_000;
/// Changes whose cost is averaged.
const CHANGES: u64 = 200;
/// Descriptors and slots of the engine that is measured.
const SOCKETS: usize = 4_096;
const SLOTS: usize = 200;
/// Requests for figures whose cost is averaged.
const SCRAPES: u64 = 50;

pub(super) fn listed(number: u64, address: SocketAddr, weight: f64) -> ListedEndpoint {
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

/// An engine over real calls, with one class that may be repeated by key.
pub(super) fn engine_of(
    ledger: Box<dyn Journal>,
    known: Option<EndpointListUpdate>,
    held: usize,
) -> Result<
    (
        Engine,
        mpsc::UnboundedSender<Input>,
        mpsc::UnboundedReceiver<Input>,
    ),
    Error,
> {
    let mut settings = Settings::new(SLOTS, held);
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
    let budget = ResourceBudget::new(SOCKETS, 128_000_000, SLOTS);
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
        cached_endpoints: known,
        journal: ledger,
        archive: None,
        first_message_number: 1,
        transport: Box::new(calls),
        notify_delivered: false,
        notifications: mpsc::unbounded_channel().0,
        observer: Box::new(NoopObserver),
        ready: watch::channel(false).0,
    };
    let engine = Engine::new(ports).map_err(|error| Error::Wrong(error.to_string()))?;
    Ok((engine, inputs, received))
}

/// Waits until all inputs so far have had their turn.
pub(super) async fn settled(inputs: &mpsc::UnboundedSender<Input>) -> Result<EngineStatus, Error> {
    let (reply, answer) = oneshot::channel();
    let gone = || Error::Wrong("the engine has ended".into());
    inputs.send(Input::GetStatus(reply)).map_err(|_| gone())?;
    answer.await.map_err(|_| gone())
}

/// The same, without the look: it costs what is listed.
async fn heard(inputs: &mpsc::UnboundedSender<Input>) -> Result<(), Error> {
    let (reply, answer) = oneshot::channel();
    let gone = || Error::Wrong("the engine has ended".into());
    let nobody = SharedStr::new(b"nobody").map_err(|error| Error::Wrong(error.to_string()))?;
    inputs
        .send(Input::IsOpen(nobody, reply))
        .map_err(|_| gone())?;
    answer.await.map(drop).map_err(|_| gone())
}

/// Runs what needs an engine on a thread of its own loop.
pub(super) fn alone<T>(future: impl Future<Output = Result<T, Error>>) -> Result<T, Error> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    LocalSet::new().block_on(&runtime.map_err(Error::io("a runtime"))?, future)
}

/// Memory of a listed destination, and what the first list, a change, a whole list and a look cost.
pub(super) fn engine(scene: &Scene) -> Result<Vec<Point>, Error> {
    let count = scene.at;
    let here = |quantity: &str, unit: &str, value: f64| {
        point("list.engine", quantity, unit, "destinations", count, value)
    };
    let address = free();
    alone(async move {
        let (mut engine, inputs, mut received) =
            engine_of(Box::new(MemoryJournal::default()), None, 400)?;
        tokio::task::spawn_local(async move { engine.run(&mut received).await });
        heard(&inputs).await?;
        let (resident, begun, mut version) = (probe::resident()?, probe::cpu(), 0);
        let mut tell = |full: bool, endpoints: Vec<ListedEndpoint>| {
            version += 1;
            let update = EndpointListUpdate {
                version,
                full,
                endpoints,
            };
            inputs
                .send(Input::EndpointsListed(update))
                .map_err(|_| Error::Wrong("the engine has ended".into()))
        };
        for from in (0..count).step_by(PIECE as usize) {
            let piece = (from..count.min(from + PIECE)).map(|number| listed(number, address, 1.0));
            tell(from == 0, piece.collect())?;
            heard(&inputs).await?;
        }
        let mut points = vec![
            here("cpu", "s", probe::cpu() - begun),
            here("resident", "B", probe::resident()? - resident),
        ];
        let begun = probe::cpu();
        for change in 0..CHANGES {
            tell(false, vec![listed(change * 7_919 % count, address, 2.0)])?;
            heard(&inputs).await?;
        }
        points.push(here(
            "change.cpu",
            "s",
            (probe::cpu() - begun) / CHANGES as f64,
        ));
        let begun = probe::cpu();
        for _ in 0..SCRAPES {
            settled(&inputs).await?;
        }
        points.push(here(
            "look.cpu",
            "s",
            (probe::cpu() - begun) / SCRAPES as f64,
        ));
        let whole = (0..count)
            .map(|number| listed(number, address, 3.0))
            .collect();
        let begun = probe::cpu();
        tell(true, whole)?;
        heard(&inputs).await?;
        points.push(here("whole.cpu", "s", probe::cpu() - begun));
        Ok(points)
    })
}

pub(super) fn limits(sockets: usize, held: u64) -> String {
    format!(
        "held = {held}\ncalls = 100\nsockets = {sockets}\ndisk = '60GB'\nmemory = '16GB'\n[load]\nbody = '256B'"
    )
}

pub(super) fn file_of(count: u64, address: SocketAddr) -> String {
    (1..=count)
        .map(|number| format!("[destination.{number}]\nendpoints = ['{address}']\n"))
        .collect()
}

/// A sidecar whose destinations stand in a file.
pub(super) fn file(scene: &Scene) -> Result<Vec<Point>, Error> {
    let here = |quantity: &str, unit: &str, value: f64| {
        point("list.file", quantity, unit, "destinations", scene.at, value)
    };
    let (folder, text) = (folder()?, file_of(scene.at, free()));
    let told = Sidecar {
        limits: &limits(1_024, 1_000),
        list: &text,
    };
    let sender = Sender::sidecar(&scene.program, folder.path(), &told)?;
    let (cpu, (now, most)) = (sender.cpu()?, sender.memory()?);
    let mut points = vec![
        here("wire", "B", text.len() as f64),
        here("ready", "s", sender.ready),
        here("cpu", "s", cpu),
        here("resident", "B", now),
        here("peak", "B", most),
    ];
    // one destination more: the file is read whole, and the list taken in whole
    let longer = format!(
        "{text}[destination.{}]\nendpoints = ['127.0.0.1:9']\n",
        scene.at + 1
    );
    write(&folder.path().join("list.toml"), &longer)?;
    let mut last = sender.cpu()?;
    let until = std::time::Instant::now() + Duration::from_secs(20);
    let before = last;
    // it looks every 250 ms: done when a whole second cost next to nothing
    loop {
        std::thread::sleep(Duration::from_secs(1));
        let now = sender.cpu()?;
        if (now - last < 0.005 && now - before > 0.0005) || std::time::Instant::now() > until {
            points.push(here("change.cpu", "s", now - before));
            return Ok(points);
        }
        last = now;
    }
}

fn line_of(count: u64, address: SocketAddr) -> String {
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

/// The platform's sender with a watch that tells one list.
fn watching(
    program: &Path,
    folder: &Path,
    line: String,
    patience: Duration,
) -> Result<Sender, Error> {
    let agent = FakeDiscovery::new(vec![line]);
    let listen = free();
    let config = serde_json::json!({
        "name": "n1", "listen": listen.to_string(), "discovery": agent.address.to_string(), "seed": "8c1f",
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
    Sender::start(command, listen, patience)
}

/// A watch that tells the whole list.
pub(super) fn watch(scene: &Scene) -> Result<Vec<Point>, Error> {
    let here = |quantity: &str, unit: &str, value: f64| {
        point(
            "list.watch",
            quantity,
            unit,
            "destinations",
            scene.at,
            value,
        )
    };
    let (folder, line) = (folder()?, line_of(scene.at, free()));
    let bytes = line.len() as f64;
    let sender = watching(&scene.program, folder.path(), line, Duration::from_secs(60))?;
    let (cpu, memory) = (sender.cpu()?, sender.memory()?);
    Ok(vec![
        here("wire", "B", bytes),
        here("ready", "s", sender.ready),
        here("cpu", "s", cpu),
        here("resident", "B", memory.0),
    ])
}

/// The largest size that is taken, to such a part of it; `least` is, `most` is not.
fn largest(
    mut least: u64,
    mut most: u64,
    part: u64,
    taken: impl Fn(u64) -> Result<bool, Error>,
) -> Result<u64, Error> {
    if taken(most)? {
        return Err(Error::Wrong(format!("{most} is taken")));
    }
    while most - least > (least / part).max(1) {
        let middle = least.midpoint(most);
        if taken(middle)? {
            least = middle;
        } else {
            most = middle;
        }
    }
    Ok(least)
}

/// Up to which size each takes a list at all, and how many messages a sidecar may be told to hold.
pub(super) fn bounds(scene: &Scene) -> Result<Vec<Point>, Error> {
    let address = free();
    let folder = folder()?;
    let watch = largest(1_000, 20_000, 100, |count| {
        let place = tempfile::tempdir_in(folder.path()).map_err(Error::io("a folder"))?;
        let patience = Duration::from_secs(8);
        Ok(watching(
            &scene.program,
            place.path(),
            line_of(count, address),
            patience,
        )
        .is_ok())
    })?;
    let sound = |limits: &str, list: &str| -> Result<bool, Error> {
        let text = format!(
            "name = 'app'\nstate = 'app.state'\n[listen]\nhttp = '{}'\noutcomes = '{}'\n[limits]\n{limits}\n\
             [endpoints]\nfile = 'list.toml'\n[class.notice]\neffect = 'repeatable'\ndeadline = '1h'\n",
            free(),
            free()
        );
        write(&folder.path().join("app.toml"), &text)?;
        write(&folder.path().join("list.toml"), list)?;
        let mut command = Command::new(&scene.program);
        command
            .args(["config", "check"])
            .arg(folder.path().join("app.toml"));
        let status = command.stdout(Stdio::null()).stderr(Stdio::null()).status();
        Ok(status.map_err(Error::io("config check"))?.success())
    };
    let short = file_of(10, address);
    if !sound(&limits(1_024, 1_000), &short)? {
        return Err(Error::Wrong("a sound file is refused".into()));
    }
    // the check of a configuration reads no file of endpoints: a start does
    let file = largest(200_000, 600_000, 100, |count| {
        let place = tempfile::tempdir_in(folder.path()).map_err(Error::io("a folder"))?;
        let told = Sidecar {
            limits: &limits(1_024, 1_000),
            list: &file_of(count, address),
        };
        Ok(Sender::sidecar(&scene.program, place.path(), &told).is_ok())
    })?;
    let held = largest(1_000, 1_500_000, u64::MAX, |held| {
        sound(&limits(1_024, held), &short)
    })?;
    let most =
        |role: &str, unit: &str, value: u64| point(role, "most", unit, "bound", 0, value as f64);
    Ok(vec![
        most("list.watch", "destinations", watch),
        most("list.file", "destinations", file),
        most("limits.held", "messages", held),
    ])
}

/// What a scrape of the real sender's figures costs beside so many destinations.
pub(super) fn figures(scene: &Scene) -> Result<Vec<Point>, Error> {
    let here = |quantity: &str, unit: &str, value: f64| {
        point("figures", quantity, unit, "destinations", scene.at, value)
    };
    let (folder, operators) = (folder()?, free());
    let told = Sidecar {
        limits: &limits(1_024, 1_000),
        list: &file_of(scene.at, free()),
    };
    let sender = Sender::sidecar_with(&scene.program, folder.path(), &told, Some(operators))?;
    std::thread::sleep(Duration::from_secs(1));
    let (begun, mut bytes) = (sender.cpu()?, 0);
    for _ in 0..SCRAPES {
        let mut stream = TcpStream::connect(operators).map_err(Error::io("the operators' door"))?;
        let asked =
            stream.write_all(b"GET /-/metrics HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
        asked.map_err(Error::io("the operators' door"))?;
        let mut answer = Vec::new();
        stream
            .read_to_end(&mut answer)
            .map_err(Error::io("the operators' door"))?;
        if !answer.starts_with(b"HTTP/1.1 200") {
            return Err(Error::Wrong("no figures".into()));
        }
        bytes = answer.len();
    }
    let cpu = (sender.cpu()? - begun) / SCRAPES as f64;
    Ok(vec![
        here("scrape", "B", bytes as f64),
        here("cpu", "s", cpu),
    ])
}
