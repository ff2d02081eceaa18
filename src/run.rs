//! The sender as the platform runs it: its configuration, its agent, reload on SIGHUP.

use crate::assemble::{Parts, Signals, assemble, block_on};
use milletturn_log::log;
use milletturn_platform::agent;
use milletturn_platform::config::{Config, reload};
use milletturn_undelivered::config::{Config as StoreConfig, STORE_SIZES};
use std::error::Error;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use tokio::sync::watch;

/// Descriptors of the store: its file and rollback journal, the socket and its commands.
const STORE_DESCRIPTORS: usize = 8;
/// Part of the folder that the journal of what is owed keeps for itself at least.
const JOURNAL_PART: u64 = 2;

/// Runs until SIGTERM.
///
/// # Errors
/// Why it could not start.
pub fn run(undelivered: Option<&Path>) -> Result<(), Box<dyn Error>> {
    block_on(run_here(undelivered))
}

async fn run_here(undelivered: Option<&Path>) -> Result<(), Box<dyn Error>> {
    let signals = Signals::new()?;
    let mut config = Config::from_env()?;
    let store = undelivered.map(StoreConfig::read).transpose()?;
    let mut journal_room = config.disk;
    if let Some(store) = &store {
        config.budget = config.budget_beside(STORE_DESCRIPTORS);
        journal_room = room_beside(store, config.disk)?;
    }
    let version =
        config.known.as_ref().filter(|known| !known.targets.is_empty()).map_or(0, |known| known.version);
    let (name, path) = (config.name.clone(), config.path.clone());
    let mut running = assemble(Parts {
        state: config.state,
        listen: config.listen,
        seed: config.seed,
        zones: config.names.zones,
        kinds: config.names.kinds,
        report_fields: config.names.report_fields,
        budget: config.budget,
        journal_room,
        store: store.map(|store| (store, config.disk - journal_room)),
        idle: Duration::from_micros(u64::try_from(config.settings.connection_idle)?),
        dial: Duration::from_micros(u64::try_from(config.names.dial_timeout)?),
        settings: config.settings,
        known: config.known,
        tell_delivered: false,
        first_number: 0,
        name: config.name,
    })
    .await?;
    let (agent, agents) = watch::channel(config.discovery);
    tokio::task::spawn_local(agent::watch(agents.clone(), version, running.inputs.clone()));
    if let Some(ends) = running.ends.take() {
        tokio::task::spawn_local(agent::post_notices(agents, ends, running.inputs.clone()));
    }
    running.until_told(signals, || reload_discovery(&name, &path, &agent)).await
}

/// What is left to the journal.
fn room_beside(store: &StoreConfig, disk: u64) -> Result<u64, Box<dyn Error>> {
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
