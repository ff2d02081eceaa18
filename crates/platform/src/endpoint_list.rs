//! The list of endpoints in discovery's form.

use milletturn_engine::{EndpointListUpdate, ListedEndpoint};
use milletturn_policy::EndpointStatus;
use serde::Deserialize;
use serde_json::Value;

#[derive(Deserialize)]
struct Line {
    rev: u64,
    all: bool,
    targets: Vec<Value>,
}

#[derive(Deserialize)]
struct Target {
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

/// Reads a list, with the number of entries that can't be read: these are logged and left out. None if it has not the
/// form of a list.
pub(crate) fn parse_list(value: &Value) -> Option<(EndpointListUpdate, usize)> {
    let line = Line::deserialize(value).ok()?;
    let read = |value: &Value| {
        let target = Target::deserialize(value).map_err(|error| error.to_string())?;
        let status = match target.state.as_str() {
            "up" => EndpointStatus::Serving,
            "draining" => EndpointStatus::Draining,
            "removed" => EndpointStatus::Removed,
            other => return Err(format!("unknown state '{other}'")),
        };
        let address = target
            .endpoint
            .parse()
            .map_err(|_| format!("bad address '{}'", target.endpoint))?;
        Ok(ListedEndpoint {
            uid: target.uid,
            address,
            zone: target.az,
            kind: target.model,
            destination: target.pod_group,
            status,
            weight: target.capacity_hint,
        })
    };
    let endpoints = line.targets.iter().filter_map(|value| match read(value) {
        Ok(listed) => Some(listed),
        Err(error) => {
            milletturn_logging::log(format_args!("discovery: entry skipped: {error}"));
            None
        }
    });
    let endpoints: Vec<ListedEndpoint> = endpoints.collect();
    let unread = line.targets.len() - endpoints.len();
    Some((
        EndpointListUpdate {
            version: line.rev,
            full: line.all,
            endpoints,
        },
        unread,
    ))
}
