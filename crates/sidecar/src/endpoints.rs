//! The endpoints file, which lists the endpoints of a sidecar's destinations: its reader, its check and its watcher.

mod check;
mod watcher;

pub use check::check_list;
pub use watcher::watch;

use crate::plan::{PlanError, resolve};
use milletturn_engine::ListedEndpoint;
use milletturn_policy::EndpointStatus;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Largest endpoints file that is read, in bytes; 100,000 endpoints take about 3 MB.
const MAX_FILE_BYTES: u64 = 16 << 20;

/// Why an endpoints file can't be used.
#[derive(Debug, Error)]
pub enum EndpointsError {
    /// The file can't be read.
    #[error("{path}: {source}", path = path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// The operating system's error.
        source: io::Error,
    },
    /// The file is larger than 16 MiB.
    #[error("{path}: larger than 16 MiB", path = path.display())]
    TooLarge {
        /// The file.
        path: PathBuf,
    },
    /// The file isn't TOML of the expected form.
    #[error("{path}: {source}", path = path.display())]
    Syntax {
        /// The file.
        path: PathBuf,
        /// The parser's error, with line and column.
        source: Box<toml::de::Error>,
    },
    /// A destination of the file is invalid.
    #[error("{path}: destination {name}: {source}", path = path.display())]
    Destination {
        /// The file.
        path: PathBuf,
        /// The name of the destination's table.
        name: String,
        /// Why the destination is invalid.
        source: DestinationError,
    },
}

/// Why a destination of an endpoints file is invalid.
#[derive(Debug, Error)]
pub enum DestinationError {
    /// The table's name isn't a number.
    #[error("the table's name is not a destination number")]
    NameNotANumber,
    /// The limit is negative or not finite.
    #[error("limit is {0}, not a finite number of 0 or more")]
    InvalidLimit(f64),
    /// An endpoint's address can't be resolved.
    #[error(transparent)]
    Address(#[from] PlanError),
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct File")]
struct EndpointsFile {
    #[serde(default, rename = "destination")]
    destinations: BTreeMap<String, DestinationTable>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Destination")]
struct DestinationTable {
    endpoints: Vec<String>,
    #[serde(default)]
    draining: Vec<String>,
    #[serde(default)]
    limit: f64,
}

/// Reads an endpoints file: tables `[destination.NUMBER]` with `endpoints`, and optionally `draining` and `limit`.
///
/// # Errors
/// When the file can't be read or any part of it is invalid; no endpoint of the file is used then.
pub fn read(path: &Path) -> Result<Vec<ListedEndpoint>, EndpointsError> {
    let read_error = |source| EndpointsError::Read {
        path: path.to_path_buf(),
        source,
    };
    if std::fs::metadata(path).map_err(read_error)?.len() > MAX_FILE_BYTES {
        return Err(EndpointsError::TooLarge {
            path: path.to_path_buf(),
        });
    }
    let text = std::fs::read_to_string(path).map_err(read_error)?;
    let file: EndpointsFile = toml::from_str(&text).map_err(|error| EndpointsError::Syntax {
        path: path.to_path_buf(),
        source: Box::new(error),
    })?;
    let mut listed = Vec::new();
    for (name, table) in file.destinations {
        let endpoints =
            table
                .into_endpoints(&name)
                .map_err(|source| EndpointsError::Destination {
                    path: path.to_path_buf(),
                    name,
                    source,
                })?;
        listed.extend(endpoints);
    }
    Ok(listed)
}

impl DestinationTable {
    /// Converts the table, whose name is the destination's number, to endpoints: the serving ones, then the draining
    /// ones.
    fn into_endpoints(self, name: &str) -> Result<Vec<ListedEndpoint>, DestinationError> {
        let destination: u64 = name.parse().map_err(|_| DestinationError::NameNotANumber)?;
        if !self.limit.is_finite() || self.limit < 0.0 {
            return Err(DestinationError::InvalidLimit(self.limit));
        }
        let serving = self
            .endpoints
            .iter()
            .map(|text| (text, EndpointStatus::Serving));
        let draining = self
            .draining
            .iter()
            .map(|text| (text, EndpointStatus::Draining));
        serving
            .chain(draining)
            .map(|(address, status)| {
                Ok(ListedEndpoint {
                    uid: format!("{destination}/{address}"),
                    address: resolve(address)?,
                    zone: String::new(),
                    kind: "1".to_string(),
                    destination,
                    status,
                    weight: self.limit,
                })
            })
            .collect()
    }
}

/// Whether a text is an endpoints file rather than a sidecar's configuration: an endpoints file has only tables
/// `[destination.NUMBER]`, and none of them has an `id`, which a configuration's destination must have.
#[must_use]
pub fn is_list(text: &str) -> bool {
    let Ok(table) = text.parse::<toml::Table>() else {
        return false;
    };
    let Some(toml::Value::Table(destinations)) = table.get("destination") else {
        return false;
    };
    table.len() == 1
        && destinations.iter().all(|(name, inner)| {
            name.parse::<u64>().is_ok()
                && inner
                    .as_table()
                    .is_some_and(|inner| !inner.contains_key("id"))
        })
}
