//! Assembles a sender from its options: journal, dead-letter store, transport, HTTP server and engine. The platform's
//! sender and the sidecar are both started here.

mod engine;
mod listener;
mod running;
mod signals;
mod store;
mod takeover;

pub(crate) use running::Running;
pub(crate) use signals::{Signals, block_on, until_terminated};

use crate::timekeeper::module_time;
use engine::{EngineParts, start_engine};
use listener::{ConnectionLimits, http_server, into_listener};
use milletturn_dead_letter::config::Config as StoreConfig;
use milletturn_engine::ingress::is_internal_class;
use milletturn_engine::{Clock, EndpointListUpdate, Journal};
use milletturn_hot_restart::new_process::FolderOwnership;
use milletturn_hot_restart::old_process;
use milletturn_journal::{FileJournal, Recovery};
use milletturn_logging::log;
use milletturn_platform::ResourceBudget;
use milletturn_platform::http_transport::HttpTransport;
use milletturn_platform::server::serve;
use milletturn_policy::{Class, Settings};
use running::SharedHandles;
use std::error::Error;
use std::net::SocketAddr;
use std::os::fd::AsFd;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use takeover::{FolderParts, Owner, TakeoverRequests};
use tokio::sync::{mpsc, watch};

/// What a sender is assembled from.
pub(crate) struct SenderOptions {
    /// The sender's name in the log.
    pub name: String,
    /// The folder that outlasts the process.
    pub state_dir: PathBuf,
    /// Where clients connect, unless the socket is inherited.
    pub listen_address: SocketAddr,
    /// Settings of the decision module.
    pub settings: Settings,
    /// Seed of the decision module's random numbers.
    pub seed: u64,
    /// Names of the zones, in the order of their numbers.
    pub zones: Vec<String>,
    /// Names of the kinds of destination, in the order of their numbers.
    pub kinds: Vec<String>,
    /// Names of the load report's fields.
    pub report_fields: Vec<String>,
    /// Limits of connections and buffered bytes.
    pub budget: ResourceBudget,
    /// Bytes that the journal may take up.
    pub journal_max_bytes: u64,
    /// The dead-letter store, if there is one.
    pub store: Option<StoreOptions>,
    /// When endpoints close idle connections; zero where that is not known.
    pub idle_timeout: Duration,
    /// Longest wait for a connection to an endpoint.
    pub connect_timeout: Duration,
    /// The endpoint list as cached by an earlier process; it may be stale.
    pub cached_endpoints: Option<EndpointListUpdate>,
    /// Whether delivered messages get a notification too.
    pub notify_delivered: bool,
    /// Greater than any number of a message that is known outside journal and store.
    pub first_message_number: u64,
    /// How the process came to its state folder.
    pub folder_access: FolderAccess,
}

/// The dead-letter store of a sender.
pub(crate) struct StoreOptions {
    /// What is stored, and for how long.
    pub config: StoreConfig,
    /// Bytes that the store may take up with all that belongs to it.
    pub max_total_bytes: u64,
}

/// How a process came to its state folder, and where clients connect.
pub(crate) enum FolderAccess {
    /// As it was configured, without a lock.
    Configured,
    /// With the lock of the folder: another process may take over from this one, or this one has taken over from
    /// another.
    Locked(FolderOwnership),
}

/// The classes that clients may name: the sender's own are none.
pub(crate) fn of_clients(classes: impl Iterator<Item = (usize, Class)>) -> Vec<(usize, Class)> {
    classes
        .filter(|(_, class)| !is_internal_class(&class.name))
        .collect()
}

/// Reads the journal, opens the store, starts the engine, and listens.
///
/// # Errors
/// When the journal, the store, the inherited state or the address can't be used.
pub(crate) async fn assemble(mut options: SenderOptions) -> Result<Running, Box<dyn Error>> {
    let (journal, recovery) = open_journal(&options)?;
    let (inputs, received) = mpsc::unbounded_channel();
    let (notifications, endings) = mpsc::unbounded_channel();
    let (ready, ready_seen) = watch::channel(false);
    let handles = SharedHandles::new(inputs, ready_seen, &options.settings);
    tokio::task::spawn_local(handles.gate.clone().run());
    let calls = start_calls(&options, &handles);
    let limits = ConnectionLimits::new(&options.budget, &calls);
    let server = http_server(&handles, &limits, &options.budget);
    let clock = start_clock(&options)?;
    let store_worker = store::start(&options, clock, &journal, &recovery, &handles.inputs)?;
    let observer = store::observer(store_worker.as_ref(), &handles.metrics);
    store::serve_control(store_worker.as_ref(), &options.state_dir)?;
    let parts = EngineParts {
        clock,
        journal,
        store_worker,
        calls,
        notifications,
        observer,
        ready,
    };
    let ports = parts.into_ports(&mut options);
    let folder = FolderParts::from_access(options.folder_access);
    let engine = start_engine(
        &options.name,
        ports,
        options.settings,
        folder.predecessor,
        &handles,
        &limits,
    )?;
    let listener = into_listener(folder.listener, options.listen_address, folder.is_shared)?;
    let name = options.name;
    let address = listener.local_addr()?;
    log(format_args!("{name}: listening on {address}"));
    let listening_socket = listener.as_fd().try_clone_to_owned()?;
    tokio::task::spawn_local(serve(listener, Rc::new(server)));
    let owner = Owner {
        gate: handles.gate.clone(),
        lock: folder.lock,
        listening_socket,
    };
    let requests = accept_takeovers(&name, &options.state_dir, &owner);
    let engine = tokio::task::spawn_local(takeover::run_engine(engine, received, requests, owner));
    Ok(Running::new(name, handles, endings, engine))
}

/// Opens the journal and logs what was found in it.
fn open_journal(options: &SenderOptions) -> Result<(FileJournal, Recovery), Box<dyn Error>> {
    let settings = &options.settings;
    let entries = settings
        .max_pending
        .saturating_mul(2 * settings.max_attempts + 1) as u64;
    let opened = FileJournal::open(&options.state_dir, options.journal_max_bytes, entries)?;
    log_recovery(&options.name, &opened.0, &opened.1);
    Ok(opened)
}

/// Logs what the journal had, and what of it was damaged.
fn log_recovery(name: &str, journal: &FileJournal, recovery: &Recovery) {
    let Recovery {
        records,
        torn_bytes,
        damaged_bytes,
        ..
    } = recovery;
    if *records + *torn_bytes + *damaged_bytes > 0 {
        let unfinished = journal.unfinished().len();
        log(format_args!(
            "{name}: journal has {records} records, {unfinished} messages owed, {torn_bytes} bytes torn off"
        ));
    }
    if *damaged_bytes > 0 {
        log(format_args!(
            "{name}: journal damaged, {damaged_bytes} bytes skipped; all it holds may have run"
        ));
    }
}

/// The transport to the endpoints, with no connections yet.
fn start_calls(options: &SenderOptions, handles: &SharedHandles) -> HttpTransport {
    HttpTransport::new(
        options.idle_timeout,
        options.connect_timeout,
        options.report_fields.clone(),
        &options.budget,
        handles.inputs.clone(),
        handles.metrics.attempts_written.clone(),
    )
}

/// The clock of the decision module. With a store it does not go back from one process to the next.
fn start_clock(options: &SenderOptions) -> Result<Clock, Box<dyn Error>> {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let wall_us = i64::try_from(since_epoch.as_micros())?;
    Ok(Clock::new(if options.store.is_some() {
        module_time(&options.state_dir, wall_us)
    } else {
        wall_us
    }))
}

/// Listens for processes that want to take over, if this one has the folder's lock.
fn accept_takeovers(name: &str, state_dir: &Path, owner: &Owner) -> TakeoverRequests {
    let (requests, requested) = mpsc::channel(1);
    match owner.lock.is_some().then(|| old_process::listen(state_dir)) {
        Some(Ok(socket)) => {
            tokio::task::spawn_local(old_process::accept_requests(socket, requests));
        }
        // an upgrade waits until this process has ended then
        Some(Err(error)) => log(format_args!("{name}: no process can take over: {error}")),
        None => {}
    }
    requested
}
