//! The plan of a sidecar: what the engine and its ports run with, worked out from a checked configuration file.

mod dead_letters;
mod decision_settings;
mod destinations;

use crate::callback::Callback;
use destinations::Destinations;
use milletturn_config::check::SOCKETS_OPERATORS;
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

/// Descriptors of the outcome log, its readers, the endpoints file, and the dead-letter store with its commands.
const OTHER_DESCRIPTORS: usize = 20;
/// Disk space for the outcome log as a multiple of its size: while it is rewritten there are two files.
const OUTCOME_LOG_FILES: u64 = 2;

/// What a sidecar runs with.
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
    /// Address for operators' commands, if there is one.
    pub operators_address: Option<SocketAddr>,
    /// The decision module's settings.
    pub settings: Settings,
    /// Kinds of destination, named by the messages that one call may carry.
    pub kinds: Vec<String>,
    /// How file descriptors and memory are divided.
    pub budget: ResourceBudget,
    /// Disk space of the journal, in bytes.
    pub journal_max_bytes: u64,
    /// Disk space of the dead-letter store with its reserve, in bytes; 0 without a store.
    pub store_reserved_bytes: u64,
    /// Size limit of the outcome log's file, in bytes.
    pub outcome_log_max_bytes: u64,
    /// How long endpoints leave an idle connection open.
    pub idle_timeout: Duration,
    /// How long a connection may take to be established.
    pub connect_timeout: Duration,
    /// The dead-letter store's settings, if there is a store.
    pub dead_letter_store: Option<StoreConfig>,
    /// Where outcomes are sent, if the application has a callback.
    pub callback: Option<Callback>,
    /// Endpoints that the configuration itself names, with the callback's.
    pub fixed_endpoints: Vec<ListedEndpoint>,
    /// A watched file of further endpoints.
    pub endpoints_file: Option<PathBuf>,
}

/// Why an address of a sound configuration can't be used.
#[derive(Debug, Error)]
pub enum PlanError {
    /// The text is not of the form `host:port`.
    #[error("{name} can't be resolved: it is no host and port")]
    Malformed {
        /// The text.
        name: String,
    },
    /// The system's resolver reports an error.
    #[error("{name} can't be resolved: {source}")]
    Resolver {
        /// Host and port.
        name: String,
        /// What the resolver says.
        source: io::Error,
    },
    /// The resolver knows the name, but no address for it.
    #[error("{name} can't be resolved: it has no address")]
    NoAddress {
        /// Host and port.
        name: String,
    },
}

/// Returns the first address of a `host:port`; the system's resolver looks names up.
///
/// # Errors
/// When the text has another form, or there is no address.
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
    /// Works the plan out from a document without findings.
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
        let dead_letter_store = dead_letters::store_from(document);
        let store_reserved_bytes = dead_letter_store
            .as_ref()
            .map_or(0, |store| RESERVED_STORE_SIZES * store.max_bytes);
        let operators_address = document
            .text_of(&["listen", "operators"])
            .map(|address| resolve(&address))
            .transpose()?;
        Ok(Plan {
            name: text(&["name"]),
            state_folder: document.path_of(&["state"]).unwrap_or_default(),
            ingress_address: resolve(&text(&["listen", "http"]))?,
            outcomes_address: resolve(&text(&["listen", "outcomes"]))?,
            operators_address,
            budget: budget_from(document, operators_address.is_some()),
            journal_max_bytes: document
                .size(&["limits", "disk"])
                .saturating_sub(store_reserved_bytes)
                .saturating_sub(OUTCOME_LOG_FILES * outcome_log_max_bytes),
            store_reserved_bytes,
            outcome_log_max_bytes,
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

/// Divides descriptors and memory; what the sidecar itself has open is subtracted first.
fn budget_from(document: &Document, has_operators: bool) -> ResourceBudget {
    let operators_descriptors = if has_operators {
        SOCKETS_OPERATORS as usize
    } else {
        0
    };
    let reserved = OTHER_DESCRIPTORS + operators_descriptors;
    ResourceBudget::new(
        count_as_usize(document, &["limits", "sockets"]).saturating_sub(reserved),
        document.size(&["limits", "memory"]),
        count_as_usize(document, &["limits", "calls"]),
    )
}

fn count_as_usize(document: &Document, path: &[&str]) -> usize {
    usize::try_from(document.count(path)).unwrap_or(usize::MAX)
}

fn to_duration(micros: Micros) -> Duration {
    Duration::from_micros(micros.unsigned_abs())
}
