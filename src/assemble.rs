//! Assembles a sender from its options: journal, dead-letter store, transport, HTTP server and engine. Both the
//! platform's sender and the sidecar start through [`assemble()`].

mod engine;
mod listener;
mod running;
mod signals;
mod store;
mod takeover;

pub(crate) use running::Running;
pub(crate) use signals::{Signals, block_on, run_until_sigterm};

use crate::persistent_clock::start_time_us;
use engine::{EngineParts, start_engine};
use listener::{ConnectionLimits, http_server, into_shared_listener, listen};
use milletturn_dead_letter::config::Config as StoreConfig;
use milletturn_engine::{Clock, EndpointListUpdate, Journal};
use milletturn_hot_restart::new_process::FolderOwnership;
use milletturn_hot_restart::old_process;
use milletturn_journal::{FileJournal, Recovery, UnfinishedLimit};
use milletturn_logging::log;
use milletturn_platform::http_transport::HttpTransport;
use milletturn_platform::{MESSAGE_BYTES, ResourceBudget};
use milletturn_policy::Settings;
use running::{ClientServer, SharedHandles};
use std::error::Error;
use std::net::SocketAddr;
use std::os::fd::AsFd;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use takeover::{HotRestartParts, InheritedParts, TakeoverRequests};
use tokio::sync::{mpsc, watch};

/// The options from which [`assemble()`] starts a sender.
pub(crate) struct SenderOptions {
    /// The sender's name in the log.
    pub name: String,
    /// The state folder, whose content must survive restarts.
    pub state_dir: PathBuf,
    /// The address where clients connect; unused if the listening socket is inherited in a hot restart.
    pub listen_address: SocketAddr,
    /// Settings of the decision module.
    pub settings: Settings,
    /// Seed of the decision module's random numbers.
    pub seed: u64,
    /// Names of the zones. The index of a name is the zone's number in the decision module.
    pub zones: Vec<String>,
    /// Names of the kinds of destination. The index of a name is the kind's number in the decision module.
    pub kinds: Vec<String>,
    /// Names of the fields in the load reports that endpoints send with their responses.
    pub report_fields: Vec<String>,
    /// Limits of connections and buffered bytes.
    pub budget: ResourceBudget,
    /// Maximum size of the journal in bytes.
    pub journal_max_bytes: u64,
    /// The dead-letter store, if there is one.
    pub store: Option<StoreOptions>,
    /// Time after which endpoints close idle connections; zero if unknown.
    pub idle_timeout: Duration,
    /// Maximum time to establish a connection to an endpoint.
    pub connect_timeout: Duration,
    /// The endpoint list as cached by an earlier process; it may be stale.
    pub cached_endpoints: Option<EndpointListUpdate>,
    /// Whether a notification is also sent for each message that an endpoint's response ended, which includes delivered
    /// messages.
    pub notify_delivered: bool,
    /// Lower bound for the numbers of new messages: greater than any message number recorded outside the journal and
    /// the dead-letter store, such as in the sidecar's outcome log.
    pub first_message_number: u64,
}

/// The options of a sender's dead-letter store.
pub(crate) struct StoreOptions {
    /// Settings of the store, such as what it keeps and for how long.
    pub config: StoreConfig,
    /// Maximum size in bytes of the store with its auxiliary files.
    pub max_total_bytes: u64,
}

/// How a process got access to its state folder and its listening socket.
pub(crate) enum FolderAccess {
    /// The folder and the address are used as configured, without hot restart. The process has locked the folder by other
    /// means, and no other process uses it.
    Configured,
    /// The process holds the folder's lock. It may have taken over from another process, and another one may take over
    /// from it in a hot restart.
    Locked(FolderOwnership),
}

/// Reads the journal, opens the dead-letter store, starts the engine and listens for clients, which are served from
/// [`Running::serve_clients`] on.
///
/// # Errors
/// If the journal, the store, the state inherited from the predecessor or the address can't be used.
pub(crate) async fn assemble(
    mut options: SenderOptions,
    folder_access: FolderAccess,
) -> Result<Running, Box<dyn Error>> {
    let inherited = InheritedParts::from_access(folder_access);
    // an address that no other process may share is bound first: a start that is refused because another process has it
    // changes nothing in the state folder
    let exclusive_listener = match inherited.is_shared {
        true => None,
        false => Some(listen(options.listen_address, false)?),
    };
    let (journal, recovery) = open_journal(&options)?;
    let (inputs, received) = mpsc::unbounded_channel();
    let (notifications, final_outcomes) = mpsc::unbounded_channel();
    let (ready, ready_receiver) = watch::channel(false);
    let handles = SharedHandles::new(inputs, ready_receiver, &options.settings);
    tokio::task::spawn_local(handles.gate.clone().run());
    let transport = create_transport(&options, &handles);
    let limits = ConnectionLimits::new(&options.budget, &transport);
    let server = http_server(&handles, &limits, &options.budget);
    let clock = create_clock(&options)?;
    let store_worker = store::start(&options, clock, &journal, &recovery, &handles.inputs)?;
    let observer = store::observer(store_worker.as_ref(), &handles.metrics);
    store::serve_control(store_worker.as_ref(), &options.state_dir)?;
    let parts = EngineParts {
        clock,
        journal,
        store_worker,
        transport,
        notifications,
        observer,
        ready,
    };
    let ports = parts.into_ports(&mut options);
    let engine = start_engine(
        &options.name,
        ports,
        options.settings,
        inherited.predecessor,
        &handles,
        &limits,
    )?;
    let listener = match exclusive_listener {
        Some(listener) => listener,
        None => into_shared_listener(inherited.listener, options.listen_address)?,
    };
    let name = options.name;
    let address = listener.local_addr()?;
    log(format_args!("{name}: listening on {address}"));
    let listening_socket = listener.as_fd().try_clone_to_owned()?;
    let hot_restart = HotRestartParts {
        gate: handles.gate.clone(),
        lock: inherited.lock,
        listening_socket,
    };
    let requests = accept_takeovers(&name, &options.state_dir, &hot_restart);
    let engine = tokio::task::spawn_local(takeover::run_engine(
        engine,
        received,
        requests,
        hot_restart,
    ));
    let server = ClientServer { listener, server };
    Ok(Running::new(name, handles, final_outcomes, server, engine))
}

/// Opens the journal and logs what its recovery found.
fn open_journal(options: &SenderOptions) -> Result<(FileJournal, Recovery), Box<dyn Error>> {
    let settings = &options.settings;
    // after its acceptance, a message needs at most two records for each attempt, its start and its outcome, and one
    // for its end
    let entries = settings
        .max_pending
        .saturating_mul(2 * settings.max_attempts + 1) as u64;
    let (mut journal, recovery) =
        FileJournal::open(&options.state_dir, options.journal_max_bytes, entries)?;
    journal.limit_unfinished(UnfinishedLimit {
        bytes: options.budget.max_unfinished_bytes,
        bytes_per_message: MESSAGE_BYTES,
    });
    log_recovery(&options.name, &journal, &recovery);
    Ok((journal, recovery))
}

/// Logs how many records and unfinished messages the journal had, and how many bytes were truncated at its end or
/// skipped as damaged.
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
            "{name}: journal damaged, {damaged_bytes} bytes skipped; every message in it may have run"
        ));
    }
}

/// Creates the HTTP transport to the endpoints; connections are opened on demand.
fn create_transport(options: &SenderOptions, handles: &SharedHandles) -> HttpTransport {
    HttpTransport::new(
        options.idle_timeout,
        options.connect_timeout,
        options.report_fields.clone(),
        &options.budget,
        handles.inputs.clone(),
        handles.metrics.attempts_written.clone(),
    )
}

/// Creates the engine's clock. With a dead-letter store, its time does not go back from one process to the next.
fn create_clock(options: &SenderOptions) -> Result<Clock, Box<dyn Error>> {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let wall_us = i64::try_from(since_epoch.as_micros())?;
    Ok(Clock::new(if options.store.is_some() {
        start_time_us(&options.state_dir, wall_us)
    } else {
        wall_us
    }))
}

/// Listens for processes that request a takeover, if this one holds the folder's lock.
fn accept_takeovers(
    name: &str,
    state_dir: &Path,
    hot_restart: &HotRestartParts,
) -> TakeoverRequests {
    let (requests, requested) = mpsc::channel(1);
    match hot_restart
        .lock
        .is_some()
        .then(|| old_process::listen(state_dir))
    {
        Some(Ok(socket)) => {
            tokio::task::spawn_local(old_process::accept_requests(socket, requests));
        }
        // without the socket, a new process waits for the folder's lock until this one has ended
        Some(Err(error)) => log(format_args!(
            "{name}: hot restart is not available, listening for takeovers failed: {error}"
        )),
        None => {}
    }
    requested
}
