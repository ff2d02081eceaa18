//! The sender as the platform runs it: starts up, wires the parts together, reloads on SIGHUP, ends on SIGTERM.

use crate::logger::Logger;
use crate::timekeeper::module_time;
use milletturn_engine::{Archive, Clock, Engine, Input, Ledger, Observer, Ports};
use milletturn_ledger::{Journal, Recovery};
use milletturn_log::log;
use milletturn_platform::agent;
use milletturn_platform::calls::Calls;
use milletturn_platform::config::{Config, reload};
use milletturn_platform::door::{Server, serve};
use milletturn_undelivered::config::Config as StoreConfig;
use milletturn_undelivered::control;
use milletturn_undelivered::keeper::{Keeper, Start};
use std::cell::Cell;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{Semaphore, mpsc, watch};
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep, sleep_until};

/// From SIGTERM to the end of idle client connections, and to the end of the process. SIGKILL comes no
/// sooner than 3.7 s after SIGTERM.
const CLOSE_IDLE: Duration = Duration::from_millis(2500);
const END: Duration = Duration::from_millis(3300);

/// Runs until SIGTERM.
///
/// # Errors
/// Why it could not start.
pub fn run(undelivered: Option<&Path>) -> Result<(), Box<dyn std::error::Error>> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, serve_until_told(undelivered))
}

async fn serve_until_told(undelivered: Option<&Path>) -> Result<(), Box<dyn std::error::Error>> {
    // before the file is read: a SIGHUP behind that must neither kill nor be missed
    let mut terminate = signal(SignalKind::terminate())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let mut config = Config::from_env()?;
    let store = undelivered.map(StoreConfig::read).transpose()?;
    let journal_room = match &store {
        Some(store) => {
            config.budget = config.budget_beside(STORE_DESCRIPTORS);
            journal_room(store, config.disk)?
        }
        None => config.disk,
    };
    let entries = config.settings.max_held.saturating_mul(2 * config.settings.max_attempts + 1) as u64;
    let (journal, recovery) = Journal::open(&config.state, journal_room, entries)?;
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
    let wall = i64::try_from(SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros())?;
    let clock = Clock::new(if store.is_some() { module_time(&config.state, wall) } else { wall });
    let keeper = match store {
        Some(store) => Some(Keeper::start(Start {
            folder: config.state.clone(),
            config: store,
            effects: config.settings.classes.iter().map(|class| (class.name.clone(), class.effect)).collect(),
            out: journal
                .owed()
                .into_iter()
                .filter(|(_, owed)| owed.resend)
                .map(|(number, _)| number)
                .collect(),
            sound: recovery.damaged == 0 && !recovery.fresh,
            clock,
            inputs: inputs.clone(),
            room: config.disk - journal_room,
        })?),
        None => None,
    };
    let observer: Box<dyn Observer> = match &keeper {
        Some(keeper) => Box::new(keeper.listener(Logger::default())),
        None => Box::new(Logger::default()),
    };
    if let Some(keeper) = &keeper {
        tokio::task::spawn_local(control::serve(control::listen(&config.state)?, keeper.jobs.clone()));
    }
    let engine = Engine::new(Ports {
        settings: config.settings,
        seed: config.seed,
        zones: config.names.zones,
        kinds: config.names.kinds,
        clock,
        known: config.known,
        ledger: Box::new(journal),
        archive: keeper.as_ref().map(|keeper| Box::new(keeper.shelf()) as Box<dyn Archive>),
        first_number: keeper.as_ref().map_or(0, |keeper| keeper.first_number),
        transport: Box::new(calls),
        notices,
        observer,
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

/// Descriptors of the store: its file and rollback journal, the socket and its commands.
const STORE_DESCRIPTORS: usize = 8;
/// Part of the folder that the journal of what is owed keeps for itself at least.
const JOURNAL_PART: u64 = 2;

/// What the store may take up, in its own sizes: itself, the pages that a transaction copies, one set aside.
const STORE_SIZES: u64 = 3;

/// What is left to the journal.
fn journal_room(store: &StoreConfig, disk: u64) -> Result<u64, Box<dyn std::error::Error>> {
    let room = disk.saturating_sub(STORE_SIZES * store.bytes_most);
    if room < disk / JOURNAL_PART {
        let (most, disk) = (store.bytes_most as f64 / 1e6, disk as f64 / 1e6);
        return Err(format!(
            "store.max_mb is {most}, and with a transaction and a damaged file set aside the store may take up \
             {STORE_SIZES} times that; the journal needs half of the folder's {disk} MB, so store.max_mb may be \
             {:.3} at most",
            disk / (JOURNAL_PART * STORE_SIZES) as f64
        )
        .into());
    }
    Ok(room)
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
    let Recovery { records, torn, damaged, .. } = recovery;
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
