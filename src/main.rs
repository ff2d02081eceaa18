//! The real sender: starts up, wires the parts together, reloads on SIGHUP, ends on SIGTERM.

mod logger;

use clap::Parser;
use logger::Logger;
use milletturn_engine::{Clock, Engine, Input, Ledger, Ports};
use milletturn_ledger::{Journal, Recovery};
use milletturn_log::log;
use milletturn_platform::agent;
use milletturn_platform::calls::Calls;
use milletturn_platform::config::{Config, reload};
use milletturn_platform::door::{Server, serve};
use std::cell::Cell;
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{Semaphore, mpsc, watch};
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep, sleep_until};

/// Delivers webhooks: takes messages from clients over HTTP, calls their destinations' endpoints with staggered
/// copies until the first success, and tells the platform what can't be delivered.
///
/// With no argument it runs as the platform's sender, configured by RELAY_CONFIG (a JSON file), RELAY_STATE (the
/// folder that outlasts its processes) and, before what stands in the file, RELAY_NAME, RELAY_LISTEN and
/// RELAY_DISCOVERY.
#[derive(Debug, Parser)]
#[command(name = "milletturn", version)]
struct Arguments {}

/// From SIGTERM to the end of idle client connections, and to the end of the process. SIGKILL comes no
/// sooner than 3.7 s after SIGTERM.
const CLOSE_IDLE: Duration = Duration::from_millis(2500);
const END: Duration = Duration::from_millis(3300);

fn main() -> ExitCode {
    let Arguments {} = Arguments::parse();
    match start() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("milletturn: {error}");
            ExitCode::FAILURE
        }
    }
}

fn start() -> Result<(), Box<dyn std::error::Error>> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, run())
}

async fn run() -> Result<(), Box<dyn std::error::Error>> {
    // before the file is read: a SIGHUP behind that must neither kill nor be missed
    let mut terminate = signal(SignalKind::terminate())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let config = Config::from_env()?;
    let entries = config.settings.max_held.saturating_mul(2 * config.settings.max_attempts + 1) as u64;
    let (journal, recovery) = Journal::open(&config.state, config.disk, entries)?;
    log_recovery(&config.name, &journal, &recovery);
    let (inputs, received) = mpsc::unbounded_channel();
    let (notices, queue) = mpsc::unbounded_channel();
    let (ready, ready_seen) = watch::channel(false);
    let (close, closing) = watch::channel(false);
    let draining = Rc::new(Cell::new(false));
    let idle = Duration::from_micros(u64::try_from(config.settings.connection_idle)?);
    let dial = Duration::from_micros(u64::try_from(config.names.dial_timeout)?);
    let calls = Calls::new(idle, dial, config.names.report_fields.clone(), &config.budget, inputs.clone());
    let version =
        config.known.as_ref().filter(|known| !known.targets.is_empty()).map_or(0, |known| known.version);
    let server = Server {
        classes: config.settings.classes.clone(),
        inputs: inputs.clone(),
        ready: ready_seen,
        draining: draining.clone(),
        most: config.budget.clients,
        bodies: Semaphore::new(config.budget.bodies),
        closing,
    };
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros();
    let engine = Engine::new(Ports {
        settings: config.settings,
        seed: config.seed,
        zones: config.names.zones,
        kinds: config.names.kinds,
        clock: Clock::new(i64::try_from(unix)?),
        known: config.known,
        ledger: Box::new(journal),
        transport: Box::new(calls),
        notices,
        observer: Box::new(Logger::default()),
        ready,
    })?;
    let listener = TcpListener::bind(config.listen).await?;
    log(format_args!("{}: listening on {}", config.name, listener.local_addr()?));
    let (agent, agents) = watch::channel(config.discovery);
    tokio::task::spawn_local(agent::watch(agents.clone(), version, inputs.clone()));
    tokio::task::spawn_local(agent::post_notices(agents, queue, inputs.clone()));
    tokio::task::spawn_local(serve(listener, Rc::new(server)));
    let mut engine = tokio::task::spawn_local(engine.run(received));
    loop {
        tokio::select! {
            ended = &mut engine => return Ok(ended?),
            Some(()) = hangup.recv() => reload_discovery(&config.name, &config.path, &agent),
            _ = terminate.recv() => break,
        }
    }
    log(format_args!("{}: SIGTERM, draining", config.name));
    draining.set(true);
    let ends = Instant::now() + END;
    let _ = inputs.send(Input::Stopping(ends));
    let ending = async {
        sleep(CLOSE_IDLE).await;
        let _ = close.send(true);
        sleep_until(ends).await;
    };
    tokio::pin!(ending);
    loop {
        tokio::select! {
            () = &mut ending => break,
            // notices are still owed while draining
            Some(()) = hangup.recv() => reload_discovery(&config.name, &config.path, &agent),
        }
    }
    log(format_args!("{}: ends", config.name));
    Ok(())
}

/// Moves the watch and the notices to the address that the file now names; a file that can't be read changes
/// nothing.
fn reload_discovery(name: &str, path: &Path, agent: &watch::Sender<SocketAddr>) {
    match reload(path) {
        Ok(address) => {
            let before = agent.send_replace(address);
            log(format_args!("{name}: SIGHUP, discovery at {address}, before at {before}"));
        }
        Err(error) => log(format_args!("{name}: SIGHUP, nothing changed: {error}")),
    }
}

fn log_recovery(name: &str, journal: &Journal, recovery: &Recovery) {
    let Recovery { records, torn, damaged } = recovery;
    if *records + *torn + *damaged > 0 {
        let owed = journal.owed().len();
        log(format_args!(
            "{name}: journal has {records} records, {owed} messages owed, {torn} bytes torn off"
        ));
    }
    if *damaged > 0 {
        log(format_args!("{name}: journal damaged, {damaged} bytes skipped; all it holds may have run"));
    }
}
