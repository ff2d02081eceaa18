//! What the platform's sender and the sidecar have in common: the engine with its ledger, store, transport and door,
//! and the way from SIGTERM to the end.

use crate::logger::Logger;
use crate::timekeeper::module_time;
use milletturn_engine::door::is_own_class;
use milletturn_engine::{Archive, Clock, Engine, Input, Ledger, ListUpdate, Notice, Observer, Ports};
use milletturn_ledger::{Journal, Recovery};
use milletturn_log::log;
use milletturn_management::{Counting, Figures};
use milletturn_platform::calls::Calls;
use milletturn_platform::door::{Server, serve};
use milletturn_platform::{Budget, Gate};
use milletturn_policy::{Class, Settings};
use milletturn_undelivered::config::Config as StoreConfig;
use milletturn_undelivered::control;
use milletturn_undelivered::keeper::{Keeper, Start};
use std::cell::RefCell;
use std::error::Error;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{Semaphore, mpsc, watch};
use tokio::task::{JoinHandle, LocalSet};
use tokio::time::{Instant, sleep_until};

/// From SIGTERM to the end of the process. SIGKILL comes no sooner than 3.7 s after SIGTERM.
const END: Duration = Duration::from_millis(3300);

/// SIGTERM and SIGHUP, from before any file is read: a SIGHUP behind that must neither kill nor be missed.
pub struct Signals {
    terminate: Signal,
    hangup: Signal,
}

impl Signals {
    pub fn new() -> std::io::Result<Self> {
        Ok(Signals { terminate: signal(SignalKind::terminate())?, hangup: signal(SignalKind::hangup())? })
    }
}

/// What a sender is put together from.
pub struct Parts {
    pub name: String,
    pub state: PathBuf,
    pub listen: SocketAddr,
    pub settings: Settings,
    pub seed: u64,
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
    pub report_fields: Vec<String>,
    pub budget: Budget,
    pub journal_room: u64,
    /// The store of undelivered messages, and the bytes that it may take up with all that belongs to it.
    pub store: Option<(StoreConfig, u64)>,
    pub idle: Duration,
    pub dial: Duration,
    pub known: Option<ListUpdate>,
    pub tell_delivered: bool,
    /// Greater than any number of a message that is known outside ledger and store.
    pub first_number: u64,
}

/// A sender that runs.
pub struct Running {
    pub inputs: mpsc::UnboundedSender<Input>,
    /// The ends that are owed to clients.
    pub ends: Option<mpsc::UnboundedReceiver<Notice>>,
    /// What is counted.
    pub figures: Rc<Figures>,
    /// Whether clients are let in.
    pub gate: Rc<Gate>,
    /// True once endpoints are known.
    pub ready: watch::Receiver<bool>,
    /// Classes that clients may name, with their positions.
    pub classes: Rc<RefCell<Vec<(usize, Class)>>>,
    name: String,
    engine: JoinHandle<()>,
}

/// Runs a future on a runtime of one thread.
pub fn block_on<T>(future: impl Future<Output = Result<T, Box<dyn Error>>>) -> Result<T, Box<dyn Error>> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, future)
}

/// The classes that clients may name: the sender's own are none.
pub fn of_clients(classes: impl Iterator<Item = (usize, Class)>) -> Vec<(usize, Class)> {
    classes.filter(|(_, class)| !is_own_class(&class.name)).collect()
}

/// Reads the ledger, opens the store, listens, and starts the engine.
pub async fn assemble(parts: Parts) -> Result<Running, Box<dyn Error>> {
    let Parts { name, state, settings, budget, .. } = parts;
    let entries = settings.max_held.saturating_mul(2 * settings.max_attempts + 1) as u64;
    let (journal, recovery) = Journal::open(&state, parts.journal_room, entries)?;
    log_recovery(&name, &journal, &recovery);
    let (inputs, received) = mpsc::unbounded_channel();
    let (notices, ends) = mpsc::unbounded_channel();
    let (ready, ready_seen) = watch::channel(false);
    let (gate, figures) = (Rc::new(Gate::new()), Rc::new(Figures::default()));
    tokio::task::spawn_local(gate.clone().run());
    let tries = figures.tries.clone();
    let calls = Calls::new(parts.idle, parts.dial, parts.report_fields, &budget, inputs.clone(), tries);
    let classes = Rc::new(RefCell::new(of_clients(settings.classes.iter().cloned().enumerate())));
    let server = Server {
        classes: classes.clone(),
        inputs: inputs.clone(),
        ready: ready_seen.clone(),
        gate: gate.clone(),
        most: budget.clients,
        bodies: Semaphore::new(budget.bodies),
    };
    let wall = i64::try_from(SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros())?;
    let clock = Clock::new(if parts.store.is_some() { module_time(&state, wall) } else { wall });
    let keeper = match parts.store {
        Some((config, room)) => Some(Keeper::start(Start {
            folder: state.clone(),
            config,
            effects: settings.classes.iter().map(|class| (class.name.clone(), class.effect)).collect(),
            out: journal
                .owed()
                .into_iter()
                .filter(|(_, owed)| owed.resend)
                .map(|(number, _)| number)
                .collect(),
            sound: recovery.damaged == 0 && !recovery.fresh,
            clock,
            inputs: inputs.clone(),
            room,
        })?),
        None => None,
    };
    let next: Box<dyn Observer> = match &keeper {
        Some(keeper) => Box::new(keeper.listener(Logger::default())),
        None => Box::new(Logger::default()),
    };
    let observer = Box::new(Counting { figures: figures.clone(), next });
    if let Some(keeper) = &keeper {
        tokio::task::spawn_local(control::serve(control::listen(&state)?, keeper.jobs.clone()));
    }
    let engine = Engine::new(Ports {
        settings,
        seed: parts.seed,
        zones: parts.zones,
        kinds: parts.kinds,
        clock,
        known: parts.known,
        ledger: Box::new(journal),
        archive: keeper.as_ref().map(|keeper| Box::new(keeper.shelf()) as Box<dyn Archive>),
        first_number: keeper.as_ref().map_or(0, |keeper| keeper.first_number).max(parts.first_number),
        transport: Box::new(calls),
        tell_delivered: parts.tell_delivered,
        notices,
        observer,
        ready,
    })?;
    let listener = TcpListener::bind(parts.listen).await?;
    log(format_args!("{name}: listening on {}", listener.local_addr()?));
    tokio::task::spawn_local(serve(listener, Rc::new(server)));
    let engine = tokio::task::spawn_local(engine.run(received));
    Ok(Running { inputs, ends: Some(ends), figures, gate, ready: ready_seen, classes, name, engine })
}

impl Running {
    /// Runs until SIGTERM, and then to the end. `hangup` is called at each SIGHUP.
    pub async fn until_told(
        self, mut signals: Signals, mut hangup: impl FnMut(),
    ) -> Result<(), Box<dyn Error>> {
        let Running { inputs, name, gate, mut engine, .. } = self;
        loop {
            tokio::select! {
                ended = &mut engine => return Ok(ended?),
                Some(()) = signals.hangup.recv() => hangup(),
                _ = signals.terminate.recv() => break,
            }
        }
        log(format_args!("{name}: SIGTERM, draining"));
        gate.end();
        let ends = Instant::now() + END;
        let _ = inputs.send(Input::Stopping(ends));
        let ending = sleep_until(ends);
        tokio::pin!(ending);
        loop {
            tokio::select! {
                () = &mut ending => break,
                // notices are still owed while draining
                Some(()) = signals.hangup.recv() => hangup(),
            }
        }
        log(format_args!("{name}: ends"));
        Ok(())
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
