//! The real sender: starts up, wires the parts together, reloads on SIGHUP, ends on SIGTERM.

mod net;

use milletturn::Sender;
use net::calls::Calls;
use net::config::{Config, reload};
use net::driver::{Driver, Input};
use net::journal::Journal;
use net::server::{Server, serve};
use net::{discovery, journal};
use std::cell::Cell;
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{Semaphore, mpsc, watch};
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep, sleep_until};

/// From SIGTERM to the end of idle client connections, and to the end of the process. SIGKILL comes no
/// sooner than 3.7 s after SIGTERM.
const CLOSE_IDLE: Duration = Duration::from_millis(2500);
const END: Duration = Duration::from_millis(3300);

fn main() -> ExitCode {
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
    let sender = Sender::new(config.settings.clone(), config.seed)?;
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
    let driver =
        Driver::new(sender, &config.settings, config.names, config.known, journal, calls, notices, ready);
    let listener = TcpListener::bind(config.listen).await?;
    net::log(format_args!("{}: listening on {}", config.name, listener.local_addr()?));
    let (agent, agents) = watch::channel(config.discovery);
    tokio::task::spawn_local(discovery::watch(agents.clone(), version, inputs.clone()));
    tokio::task::spawn_local(discovery::post_notices(agents, queue, inputs.clone()));
    tokio::task::spawn_local(serve(listener, Rc::new(server)));
    let mut driver = tokio::task::spawn_local(driver.run(received));
    loop {
        tokio::select! {
            ended = &mut driver => return Ok(ended?),
            Some(()) = hangup.recv() => reload_discovery(&config.name, &config.path, &agent),
            _ = terminate.recv() => break,
        }
    }
    net::log(format_args!("{}: SIGTERM, draining", config.name));
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
    net::log(format_args!("{}: ends", config.name));
    Ok(())
}

/// Moves the watch and the notices to the address that the file now names; a file that can't be read changes
/// nothing.
fn reload_discovery(name: &str, path: &Path, agent: &watch::Sender<SocketAddr>) {
    match reload(path) {
        Ok(address) => {
            let before = agent.send_replace(address);
            net::log(format_args!("{name}: SIGHUP, discovery at {address}, before at {before}"));
        }
        Err(error) => net::log(format_args!("{name}: SIGHUP, nothing changed: {error}")),
    }
}

fn log_recovery(name: &str, journal: &Journal, recovery: &journal::Recovery) {
    let journal::Recovery { records, torn, damaged } = recovery;
    if *records + *torn + *damaged > 0 {
        let owed = journal.owed().len();
        net::log(format_args!(
            "{name}: journal has {records} records, {owed} messages owed, {torn} bytes torn off"
        ));
    }
    if *damaged > 0 {
        net::log(format_args!("{name}: journal damaged, {damaged} bytes skipped; all it holds may have run"));
    }
}
