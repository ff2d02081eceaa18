//! The sender on the platform: reads its configuration, connects to discovery, and reloads on SIGHUP.

use crate::assemble::{
    FolderAccess, Running, SenderOptions, Signals, StoreOptions, assemble, block_on,
};
use crate::operators;
use milletturn_admin::Metrics;
use milletturn_admin::server::MAX_DESCRIPTORS;
use milletturn_dead_letter::config::{Config as StoreConfig, RESERVED_STORE_SIZES};
use milletturn_engine::Input;
use milletturn_hot_restart::new_process::{
    FolderOwnership, acquire_folder, acquire_folder_exclusively,
};
use milletturn_logging::log;
use milletturn_platform::config::{Config, ConfigKeys, ReloadedConfig, reload};
use milletturn_platform::discovery::{self, Tcp};
use milletturn_platform::notifications::post_notifications;
use milletturn_platform::{ClientClasses, DiscoveryBackoff};
use std::error::Error;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Mutex, mpsc, oneshot, watch};

/// File descriptors reserved for the dead-letter store: its file, rollback journal, control socket and open commands.
const STORE_DESCRIPTORS: usize = 8;
/// The journal of unfinished messages gets at least 1/`JOURNAL_DIVISOR` of the state folder's bytes; the dead-letter
/// store may reserve the rest.
const JOURNAL_DIVISOR: u64 = 2;

/// Runs the platform's sender until SIGTERM.
///
/// # Errors
/// If the configuration is invalid, the sender can't start, or its engine fails.
pub(crate) fn run(store_file: Option<&Path>) -> Result<(), Box<dyn Error>> {
    block_on(run_sender(store_file))
}

async fn run_sender(store_file: Option<&Path>) -> Result<(), Box<dyn Error>> {
    let mut signals = Signals::new()?;
    let mut config = Config::from_env()?;
    let store = store_file.map(StoreConfig::read).transpose()?;
    let journal_max_bytes = match &store {
        Some(store) => journal_max_bytes(store, config.disk_bytes)?,
        None => config.disk_bytes,
    };
    config.budget = config.budget_excluding(reserved_descriptors(&config, store.is_some()));
    let store = store.map(|store| StoreOptions {
        config: store,
        max_total_bytes: config.disk_bytes - journal_max_bytes,
    });
    let Some(folder_access) = acquire_access(&config, store.is_some(), &mut signals).await? else {
        return Ok(());
    };
    let watch_start = WatchStart::new(&config, &folder_access);
    let (name, path, keys) = (
        config.name.clone(),
        config.path.clone(),
        config.keys.clone(),
    );
    let (discovery, management) = (config.discovery_address, config.management_address);
    let options = sender_options(config, journal_max_bytes, store)?;
    let has_hangup = signals.take_hangup().await;
    let mut running = assemble(options, folder_access).await?;
    let discovery = start_discovery(discovery, watch_start, &mut running);
    let reload = Rc::new(Reload {
        name: name.clone(),
        path,
        keys,
        discovery,
        metrics: running.metrics.clone(),
        inputs: running.inputs.clone(),
        classes: running.classes.clone(),
        reload_lock: Mutex::new(()),
    });
    // the file may have changed since this process read it, and no message is accepted under settings that it replaces
    if has_hangup || signals.take_hangup().await {
        reload.clone().run().await;
    }
    running.serve_clients();
    if let Some(address) = management {
        operators::start_admin_listener(&name, address, &running).await?;
    }
    running
        .run_until_sigterm(signals, move || {
            tokio::task::spawn_local(reload.clone().run());
        })
        .await
}

/// Waits until this process may use the state folder; `None` if SIGTERM is received first. Until then it reads and changes
/// nothing in the folder, because another process may be using it. A SIGHUP is kept until the process can reload.
async fn acquire_access(
    config: &Config,
    has_store: bool,
    signals: &mut Signals,
) -> std::io::Result<Option<FolderAccess>> {
    let name = &config.name;
    let log_hangup = || {
        log(format_args!(
            "{name}: SIGHUP while waiting for the state folder; the configuration is read again before clients are served"
        ));
    };
    tokio::select! {
        access = acquire_state_folder(&config.state_dir, has_store) => access.map(Some),
        // This process has not accepted any message yet, so it can exit at once. Otherwise it could wait without limit
        // for the process that holds the folder.
        () = signals.wait_for_sigterm_before_start(log_hangup) => {
            log(format_args!("{name}: SIGTERM while waiting for the state folder, exiting"));
            Ok(None)
        }
    }
}

/// Waits until this process owns the state folder.
async fn acquire_state_folder(folder: &Path, has_store: bool) -> std::io::Result<FolderAccess> {
    if !has_store {
        return acquire_folder(folder).await.map(FolderAccess::Locked);
    }
    // pending writes of a dead-letter store can't be passed to another process, so there is no hot restart with a
    // store: the next process starts after this one has ended
    let lock = acquire_folder_exclusively(folder).await?;
    // the kernel releases the lock when the process has ended, and with it the thread that writes the store
    std::mem::forget(lock);
    Ok(FolderAccess::Configured)
}

/// File descriptors of the admin listener and the dead-letter store, which are not available for delivery.
fn reserved_descriptors(config: &Config, has_store: bool) -> usize {
    let admin = config.management_address.map_or(0, |_| MAX_DESCRIPTORS);
    admin + if has_store { STORE_DESCRIPTORS } else { 0 }
}

/// Where the watch of the endpoint list starts.
struct WatchStart {
    /// The known version of the endpoint list; zero requests the full list.
    version: u64,
    backoff: DiscoveryBackoff,
}

impl WatchStart {
    fn new(config: &Config, folder_access: &FolderAccess) -> Self {
        // in a hot restart the predecessor's endpoint list may be newer than the cached file, so the full list is
        // requested
        let is_takeover = matches!(
            folder_access,
            FolderAccess::Locked(FolderOwnership::Takeover(_))
        );
        let cached = config
            .cached_endpoints
            .as_ref()
            .filter(|cached| !cached.endpoints.is_empty() && !is_takeover);
        WatchStart {
            version: cached.map_or(0, |cached| cached.version),
            backoff: DiscoveryBackoff::new(
                config.settings.senders,
                !config.settings.list_requires_subscription,
                config.seed,
            ),
        }
    }
}

/// Builds the options of the platform's sender from its configuration.
fn sender_options(
    config: Config,
    journal_max_bytes: u64,
    store: Option<StoreOptions>,
) -> Result<SenderOptions, Box<dyn Error>> {
    Ok(SenderOptions {
        state_dir: config.state_dir,
        listen_address: config.listen_address,
        seed: config.seed,
        zones: config.names.zones,
        kinds: config.names.kinds,
        report_fields: config.names.report_fields,
        budget: config.budget,
        journal_max_bytes,
        store,
        idle_timeout: Duration::from_micros(u64::try_from(
            config.settings.idle_connection_timeout,
        )?),
        connect_timeout: Duration::from_micros(u64::try_from(config.names.dial_timeout)?),
        settings: config.settings,
        cached_endpoints: config.cached_endpoints,
        notify_delivered: false,
        first_message_number: 0,
        name: config.name,
    })
}

/// Starts to watch the endpoint list and to post notifications. A new address of discovery can be sent on the returned
/// channel.
fn start_discovery(
    address: SocketAddr,
    start: WatchStart,
    running: &mut Running,
) -> watch::Sender<SocketAddr> {
    let (discovery, addresses) = watch::channel(address);
    tokio::task::spawn_local(discovery::watch_endpoints(
        Tcp,
        addresses.clone(),
        start.version,
        start.backoff,
        running.inputs.clone(),
    ));
    if let Some(final_outcomes) = running.final_outcomes.take() {
        tokio::task::spawn_local(post_notifications(
            Tcp,
            addresses,
            final_outcomes,
            running.inputs.clone(),
        ));
    }
    discovery
}

/// The bytes of the state folder that remain for the journal after the reservation for the dead-letter store.
///
/// # Errors
/// If the store's reservation leaves the journal less than its minimum share.
fn journal_max_bytes(store: &StoreConfig, disk_bytes: u64) -> Result<u64, Box<dyn Error>> {
    let max_bytes = disk_bytes.saturating_sub(RESERVED_STORE_SIZES * store.max_bytes);
    if max_bytes >= disk_bytes / JOURNAL_DIVISOR {
        return Ok(max_bytes);
    }
    let (store_mb, disk_mb) = (store.max_bytes as f64 / 1e6, disk_bytes as f64 / 1e6);
    let max_store_mb = disk_mb / (JOURNAL_DIVISOR * RESERVED_STORE_SIZES) as f64;
    let reserved = format!(
        "with a transaction and a damaged file set aside the store may take up {RESERVED_STORE_SIZES} times that"
    );
    let journal = format!("the journal needs half of the folder's {disk_mb} MB");
    Err(format!(
        "store.max_mb is {store_mb}, and {reserved}; {journal}, so store.max_mb may be {max_store_mb:.3} at most"
    )
    .into())
}

/// Reload on SIGHUP: applies everything in the configuration file that a reload can change. If any part of the file is
/// rejected, nothing changes.
struct Reload {
    name: String,
    path: PathBuf,
    keys: ConfigKeys,
    /// The address of discovery.
    discovery: watch::Sender<SocketAddr>,
    metrics: Rc<Metrics>,
    inputs: mpsc::UnboundedSender<Input>,
    /// Classes that clients may name.
    classes: ClientClasses,
    /// Serializes reloads, in the order of their signals.
    reload_lock: Mutex<()>,
}

impl Reload {
    async fn run(self: Rc<Self>) {
        let _guard = self.reload_lock.lock().await;
        let name = &self.name;
        match self.apply().await {
            Ok((previous, current)) => {
                self.metrics.config_applied.update(|count| count + 1);
                let classes = self.classes.names().join(", ");
                log(format_args!(
                    "{name}: SIGHUP, discovery at {current}, before at {previous}; classes {classes}"
                ));
            }
            Err(error) => {
                self.metrics.config_rejected.update(|count| count + 1);
                log(format_args!("{name}: SIGHUP, nothing changed: {error}"));
            }
        }
    }

    /// Applies the file and returns the previous and the new discovery address. The engine is reconfigured first, so
    /// that settings which the engine rejects change nothing else.
    async fn apply(&self) -> Result<(SocketAddr, SocketAddr), Box<dyn Error>> {
        let ReloadedConfig {
            discovery_address: discovery,
            settings,
        } = reload(&self.path, &self.keys)?;
        let classes = settings.classes.clone();
        let (reply, positions) = oneshot::channel();
        self.inputs
            .send(Input::Reconfigure(Box::new(settings), reply))?;
        // after a hot restart, this process has no engine that could use the settings
        let positions = positions
            .await
            .map_err(|_| "another process has taken over, and applies its own reloads")??;
        self.classes.replace(positions.into_iter().zip(classes));
        Ok((self.discovery.send_replace(discovery), discovery))
    }
}
