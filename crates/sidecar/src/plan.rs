//! The plan of a sidecar: all values that the engine and the other parts run with, derived from a checked configuration
//! file.

mod dead_letters;
mod decision_settings;
mod destinations;

use crate::callback::Callback;
use destinations::Destinations;
use milletturn_config::check::ADMIN_DESCRIPTORS;
use milletturn_config::document::{Document, host_and_port};
use milletturn_dead_letter::config::{Config as StoreConfig, RESERVED_STORE_SIZES};
use milletturn_engine::ListedEndpoint;
use milletturn_platform::ResourceBudget;
use milletturn_policy::{Micros, Settings};
use std::io;
use std::net::{SocketAddr, ToSocketAddrs};
use std::path::PathBuf;
use std::time::Duration;
use thiserror::Error;

/// File descriptors reserved for the outcome log, its readers, the endpoints file, and the dead-letter store with its
/// commands.
const OTHER_DESCRIPTORS: usize = 20;
/// Disk space of the outcome log as a multiple of its size limit: while the log is rewritten, the old and the new file
/// both exist.
const OUTCOME_LOG_FILES: u64 = 2;
/// Pending outcomes may take up the memory limit divided by this number.
const OUTCOME_MEMORY_DIVISOR: u64 = 4;
/// Memory of pending outcomes at most, as a multiple of the size of the log's file.
const OUTCOME_MEMORY_FACTOR: u64 = 4;

/// The values that a sidecar runs with.
#[derive(Debug, Clone)]
pub struct Plan {
    /// The application's name.
    pub name: String,
    /// The folder for all files that must survive a restart.
    pub state_folder: PathBuf,
    /// Address where the application submits messages.
    pub ingress_address: SocketAddr,
    /// Address where the application reads outcomes.
    pub outcomes_address: SocketAddr,
    /// Address of the admin listener, if one is configured.
    pub admin_address: Option<SocketAddr>,
    /// The decision module's settings.
    pub settings: Settings,
    /// Kinds of destination. A kind's name is the number of messages that one call may carry, such as `"5"`.
    pub kinds: Vec<String>,
    /// How file descriptors and memory are divided between connections.
    pub budget: ResourceBudget,
    /// Disk space that the journal may take up, in bytes.
    pub journal_max_bytes: u64,
    /// Disk space reserved for the dead-letter store, a multiple of the store's size limit, in bytes; 0 without a
    /// store.
    pub store_reserved_bytes: u64,
    /// Size limit of the outcome log's file, in bytes.
    pub outcome_log_max_bytes: u64,
    /// Maximum memory of the outcomes that are not acknowledged, in bytes.
    pub max_pending_outcome_bytes: u64,
    /// How long endpoints leave an idle connection open.
    pub idle_timeout: Duration,
    /// How long a connection may take to be established.
    pub connect_timeout: Duration,
    /// The dead-letter store's settings, if there is a store.
    pub dead_letter_store: Option<StoreConfig>,
    /// Class and destination of callback messages, if the application has a callback.
    pub callback: Option<Callback>,
    /// Endpoints that the configuration itself names, and the callback's.
    pub fixed_endpoints: Vec<ListedEndpoint>,
    /// A file of further endpoints that is watched for changes.
    pub endpoints_file: Option<PathBuf>,
}

/// Why an address in a valid configuration can't be resolved.
#[derive(Debug, Error)]
pub enum PlanError {
    /// The text is not of the form `host:port`.
    #[error("{name} can't be resolved: not of the form host:port")]
    Malformed {
        /// The text.
        name: String,
    },
    /// The system's resolver reports an error.
    #[error("{name} can't be resolved: {source}")]
    Resolver {
        /// Host and port.
        name: String,
        /// The resolver's error.
        source: io::Error,
    },
    /// The resolver returns no address for the name.
    #[error("{name} can't be resolved: the name has no address")]
    NoAddress {
        /// Host and port.
        name: String,
    },
}

/// Resolves a `host:port` to its first address; host names are looked up with the system's resolver.
///
/// # Errors
/// When the text is not of the form `host:port`, the resolver fails, or it returns no address.
pub fn resolve(name: &str) -> Result<SocketAddr, PlanError> {
    let Some((host, port)) = host_and_port(name) else {
        return Err(PlanError::Malformed {
            name: name.to_string(),
        });
    };
    let mut addresses = (host, port)
        .to_socket_addrs()
        .map_err(|source| PlanError::Resolver {
            name: name.to_string(),
            source,
        })?;
    addresses.next().ok_or_else(|| PlanError::NoAddress {
        name: name.to_string(),
    })
}

impl Plan {
    /// Derives the plan from a document without findings.
    ///
    /// # Errors
    /// When an address can't be resolved.
    pub fn from_document(document: &Document) -> Result<Self, PlanError> {
        let text = |path: &[&str]| document.text_of(path).unwrap_or_default();
        let mut settings = decision_settings::from_document(document);
        let mut destinations = Destinations::from_document(document)?;
        let callback = document
            .text_of(&["outcomes", "callback"])
            .map(|address| destinations.add_callback(&address, &mut settings))
            .transpose()?;
        settings.kinds.extend(destinations.kind_settings());
        let outcome_log_max_bytes = document.size(&["outcomes", "size"]);
        let memory_share = document.size(&["limits", "memory"]) / OUTCOME_MEMORY_DIVISOR;
        let max_pending_outcome_bytes =
            memory_share.min(outcome_log_max_bytes.saturating_mul(OUTCOME_MEMORY_FACTOR));
        let dead_letter_store = dead_letters::store_from(document);
        let store_reserved_bytes = dead_letter_store
            .as_ref()
            .map_or(0, |store| RESERVED_STORE_SIZES * store.max_bytes);
        let admin_address = document
            .text_of(&["listen", "operators"])
            .map(|address| resolve(&address))
            .transpose()?;
        Ok(Plan {
            name: text(&["name"]),
            state_folder: document.path_of(&["state"]).unwrap_or_default(),
            ingress_address: resolve(&text(&["listen", "http"]))?,
            outcomes_address: resolve(&text(&["listen", "outcomes"]))?,
            admin_address,
            budget: budget_from(document, admin_address.is_some(), max_pending_outcome_bytes),
            journal_max_bytes: document
                .size(&["limits", "disk"])
                .saturating_sub(store_reserved_bytes)
                .saturating_sub(OUTCOME_LOG_FILES * outcome_log_max_bytes),
            store_reserved_bytes,
            outcome_log_max_bytes,
            max_pending_outcome_bytes,
            idle_timeout: to_duration(settings.idle_connection_timeout),
            connect_timeout: to_duration(document.time(&["connections", "dial"])),
            settings,
            kinds: destinations.kinds,
            dead_letter_store,
            callback,
            fixed_endpoints: destinations.endpoints,
            endpoints_file: document.path_of(&["endpoints", "file"]),
        })
    }
}

/// Divides descriptors and memory between connections and messages. The descriptors that the sidecar itself needs, and
/// the memory of its pending outcomes, are subtracted first.
fn budget_from(
    document: &Document,
    has_admin_listener: bool,
    max_pending_outcome_bytes: u64,
) -> ResourceBudget {
    let admin_descriptors = if has_admin_listener {
        ADMIN_DESCRIPTORS as usize
    } else {
        0
    };
    let reserved = OTHER_DESCRIPTORS + admin_descriptors;
    ResourceBudget::new(
        count_as_usize(document, &["limits", "sockets"]).saturating_sub(reserved),
        document.size(&["limits", "memory"]) - max_pending_outcome_bytes,
        count_as_usize(document, &["limits", "calls"]),
    )
}

fn count_as_usize(document: &Document, path: &[&str]) -> usize {
    usize::try_from(document.count(path)).unwrap_or(usize::MAX)
}

fn to_duration(micros: Micros) -> Duration {
    Duration::from_micros(micros.unsigned_abs())
}
