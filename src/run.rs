//! The sender as the platform runs it: its configuration, its agent, reload on SIGHUP.

use crate::assemble::{
    FolderAccess, Running, SenderOptions, Signals, StoreOptions, assemble, block_on, of_clients,
};
use crate::operators;
use milletturn_admin::Metrics;
use milletturn_admin::server::MAX_DESCRIPTORS;
use milletturn_dead_letter::config::{Config as StoreConfig, RESERVED_STORE_SIZES};
use milletturn_engine::Input;
use milletturn_hot_restart::new_process::{FolderOwnership, acquire_folder};
use milletturn_logging::log;
use milletturn_platform::DiscoveryBackoff;
use milletturn_platform::config::{Config, ConfigKeys, ReloadedConfig, reload};
use milletturn_platform::discovery::{self, Tcp};
use milletturn_platform::notifications::post_notifications;
use milletturn_policy::Class;
use std::cell::RefCell;
use std::error::Error;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Mutex, mpsc, oneshot, watch};

/// Descriptors of the store: its file and rollback journal, the socket and its commands.
const STORE_DESCRIPTORS: usize = 8;
/// Part of the folder that the journal of what is owed keeps for itself at least.
const JOURNAL_PART: u64 = 2;

/// Runs until SIGTERM.
///
/// # Errors
/// Why it could not start.
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
    let options = sender_options(config, journal_max_bytes, store, folder_access)?;
    let mut running = assemble(options).await?;
    let discovery = start_discovery(discovery, watch_start, &mut running);
    if let Some(address) = management {
        operators::open(&name, address, &running).await?;
    }
    let reload = Rc::new(Reload {
        name,
        path,
        keys,
        discovery,
        metrics: running.metrics.clone(),
        inputs: running.inputs.clone(),
        classes: running.classes.clone(),
        one_at_a_time: Mutex::new(()),
    });
    running
        .run_until_terminated(signals, move || {
            tokio::task::spawn_local(reload.clone().run());
        })
        .await
}

/// Waits for the state folder; none if SIGTERM came first.
async fn acquire_access(
    config: &Config,
    has_store: bool,
    signals: &mut Signals,
) -> std::io::Result<Option<FolderAccess>> {
    // what the store is owed can't be handed on: with one, the next process begins when this one has ended
    if has_store {
        return Ok(Some(FolderAccess::Configured));
    }
    tokio::select! {
        ownership = acquire_folder(&config.state_dir) => Ok(Some(FolderAccess::Locked(ownership?))),
        // nothing has been accepted, and the process that it waits for may outlast any patience
        () = signals.until_terminated() => {
            log(format_args!("{}: SIGTERM before the folder was free, ends", config.name));
            Ok(None)
        }
    }
}

/// Descriptors of the admin listener and the store, beside those of delivery.
fn reserved_descriptors(config: &Config, has_store: bool) -> usize {
    let admin = config.management_address.map_or(0, |_| MAX_DESCRIPTORS);
    admin + if has_store { STORE_DESCRIPTORS } else { 0 }
}

/// Where the watch of the endpoint list begins.
struct WatchStart {
    /// The version of the list that is known; zero asks for the whole list.
    version: u64,
    backoff: DiscoveryBackoff,
}

impl WatchStart {
    fn new(config: &Config, folder_access: &FolderAccess) -> Self {
        // a list that another process has followed may be newer than the file's: the next one is asked for whole
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

/// The options of a sender on the platform.
fn sender_options(
    config: Config,
    journal_max_bytes: u64,
    store: Option<StoreOptions>,
    folder_access: FolderAccess,
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
        folder_access,
        first_message_number: 0,
        name: config.name,
    })
}

/// Starts to watch the endpoint list and to post notifications; the agent's address can be changed by what is returned.
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
    if let Some(ends) = running.ends.take() {
        tokio::task::spawn_local(post_notifications(
            Tcp,
            addresses,
            ends,
            running.inputs.clone(),
        ));
    }
    discovery
}

/// The bytes that the store leaves to the journal.
fn journal_max_bytes(store: &StoreConfig, disk_bytes: u64) -> Result<u64, Box<dyn Error>> {
    let max_bytes = disk_bytes.saturating_sub(RESERVED_STORE_SIZES * store.max_bytes);
    if max_bytes >= disk_bytes / JOURNAL_PART {
        return Ok(max_bytes);
    }
    let (store_mb, disk_mb) = (store.max_bytes as f64 / 1e6, disk_bytes as f64 / 1e6);
    let max_store_mb = disk_mb / (JOURNAL_PART * RESERVED_STORE_SIZES) as f64;
    let reserved = format!(
        "with a transaction and a damaged file set aside the store may take up {RESERVED_STORE_SIZES} times that"
    );
    let journal = format!("the journal needs half of the folder's {disk_mb} MB");
    Err(format!(
        "store.max_mb is {store_mb}, and {reserved}; {journal}, so store.max_mb may be {max_store_mb:.3} at most"
    )
    .into())
}

/// What SIGHUP does: all that the file says is taken over, or nothing.
struct Reload {
    name: String,
    path: PathBuf,
    keys: ConfigKeys,
    /// The address of the discovery agent.
    discovery: watch::Sender<SocketAddr>,
    metrics: Rc<Metrics>,
    inputs: mpsc::UnboundedSender<Input>,
    classes: Rc<RefCell<Vec<(usize, Class)>>>,
    /// Reloads go one at a time, in the order of their signals.
    one_at_a_time: Mutex<()>,
}

impl Reload {
    async fn run(self: Rc<Self>) {
        let _guard = self.one_at_a_time.lock().await;
        let name = &self.name;
        match self.apply().await {
            Ok((before, now)) => {
                self.metrics.config_applied.update(|count| count + 1);
                let classes: Vec<String> = self
                    .classes
                    .borrow()
                    .iter()
                    .map(|(_, class)| class.name.clone())
                    .collect();
                let classes = classes.join(", ");
                log(format_args!(
                    "{name}: SIGHUP, discovery at {now}, before at {before}; classes {classes}"
                ));
            }
            Err(error) => {
                self.metrics.config_rejected.update(|count| count + 1);
                log(format_args!("{name}: SIGHUP, nothing changed: {error}"));
            }
        }
    }

    /// The address of discovery before and now. The engine comes first: what it turns down changes nothing else.
    async fn apply(&self) -> Result<(SocketAddr, SocketAddr), Box<dyn Error>> {
        let ReloadedConfig {
            discovery_address: discovery,
            settings,
        } = reload(&self.path, &self.keys)?;
        let classes = settings.classes.clone();
        let (reply, positions) = oneshot::channel();
        self.inputs
            .send(Input::Reconfigure(Box::new(settings), reply))?;
        let positions = positions.await??;
        *self.classes.borrow_mut() = of_clients(positions.into_iter().zip(classes));
        Ok((self.discovery.send_replace(discovery), discovery))
    }
}
