//! Parses the endpoint list in discovery's JSON format.

use milletturn_engine::{EndpointListUpdate, ListedEndpoint};
use milletturn_policy::EndpointStatus;
use serde::Deserialize;
use serde_json::Value;

#[derive(Deserialize)]
struct ListDocument {
    rev: u64,
    all: bool,
    targets: Vec<Value>,
}

#[derive(Deserialize)]
struct TargetEntry {
    uid: String,
    endpoint: String,
    #[serde(default)]
    az: String,
    #[serde(default)]
    model: String,
    pod_group: u64,
    state: String,
    #[serde(default)]
    capacity_hint: f64,
}

/// Parses a list. Returns the update and the number of malformed entries, which are logged and left out; `None` if the
/// value as a whole does not have the form of a list.
pub(crate) fn parse_list(value: &Value) -> Option<(EndpointListUpdate, usize)> {
    let document = ListDocument::deserialize(value).ok()?;
    let parse_entry = |value: &Value| {
        let entry = TargetEntry::deserialize(value).map_err(|error| error.to_string())?;
        let status = match entry.state.as_str() {
            "up" => EndpointStatus::Serving,
            "draining" => EndpointStatus::Draining,
            "removed" => EndpointStatus::Removed,
            other => return Err(format!("unknown state '{other}'")),
        };
        let address = entry
            .endpoint
            .parse()
            .map_err(|_| format!("invalid address '{}'", entry.endpoint))?;
        Ok(ListedEndpoint {
            uid: entry.uid,
            address,
            zone: entry.az,
            kind: entry.model,
            destination: entry.pod_group,
            status,
            weight: entry.capacity_hint,
        })
    };
    let parsed = document
        .targets
        .iter()
        .filter_map(|value| match parse_entry(value) {
            Ok(listed) => Some(listed),
            Err(error) => {
                milletturn_logging::log(format_args!("discovery: entry skipped: {error}"));
                None
            }
        });
    let endpoints: Vec<ListedEndpoint> = parsed.collect();
    let malformed = document.targets.len() - endpoints.len();
    Some((
        EndpointListUpdate {
            version: document.rev,
            full: document.all,
            endpoints,
        },
        malformed,
    ))
}
