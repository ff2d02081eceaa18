//! Reads `RELAY_CONFIG`. The nested settings are flattened into the reader of the simulator's wire, so that
//! their names live in one place.

use super::calls::BODY_MOST;
use super::discovery::{ListUpdate, parse_list};
use milletturn::wire::{Names, Pairs, read_settings};
use milletturn::{Settings, SettingsError};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Why the sender cannot start.
#[derive(Debug, Error)]
pub enum ConfigError {
    #[error("the variable {0} is not set")]
    Variable(&'static str),
    #[error("{path}: {error}", path = path.display())]
    Read { path: PathBuf, error: std::io::Error },
    #[error("{path}: {error}", path = path.display())]
    Json { path: PathBuf, error: serde_json::Error },
    #[error("{name} is '{found}', not {wanted}")]
    Value { name: &'static str, found: String, wanted: &'static str },
    #[error(transparent)]
    Settings(#[from] SettingsError),
}

/// How the limits are shared out. Every descriptor and every byte of a body that is being read comes from here,
/// so that no part can starve another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Budget {
    /// Connections from clients. They hold a third of all descriptors for requests at most.
    pub clients: usize,
    /// Connections to endpoints, those of calls, of answers being read to their end, and idle ones.
    pub endpoints: usize,
    /// Idle ones among these.
    pub idle: usize,
    /// Bytes of clients' bodies that are being read.
    pub bodies: usize,
}

impl Budget {
    /// Standard streams, the poll and its waker, signals, listener, journal (two files while it is compacted),
    /// configuration, the watch and a notice, each with one that is being replaced.
    const REST: usize = 20;

    fn new(sockets: usize, memory: u64, slots: usize) -> Self {
        let room = sockets.saturating_sub(Self::REST);
        // a tenth stays free: a closed socket counts until its task has run, an accepted one before it has a place
        let clients = (room * 2 / 5).max(1);
        let endpoints = (room - room / 10).saturating_sub(clients).max(1);
        // calls come first; a quarter of the connections may be idle even where slots are many
        let idle = endpoints.saturating_sub(slots).max(endpoints / 4);
        let bodies = usize::try_from(memory / 8).unwrap_or(usize::MAX);
        Budget { clients, endpoints, idle, bodies: bodies.clamp(2 * BODY_MOST, 64 << 20) }
    }
}

/// All that the sender is told at its start.
#[derive(Debug)]
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub state: PathBuf,
    pub seed: u64,
    /// Bytes that the lasting folder may hold.
    pub disk: u64,
    pub budget: Budget,
    /// The file that all this comes from; a reload reads it again.
    pub path: PathBuf,
    pub known: Option<ListUpdate>,
    pub settings: Settings,
    pub names: Names,
}

#[derive(Deserialize)]
struct File {
    name: String,
    listen: String,
    discovery: String,
    #[serde(default)]
    seed: String,
    limits: Limits,
    #[serde(default)]
    known: Value,
    settings: Value,
}

#[derive(Deserialize)]
struct Limits {
    sockets: usize,
    #[serde(default = "unknown_memory")]
    memory_mb: f64,
    disk_mb: f64,
}

/// What a body takes up at most is small beside any machine's memory; this stands in where the file tells none.
fn unknown_memory() -> f64 {
    64.0
}

/// What a reload can change. The rest of the file binds from the next start on.
#[derive(Deserialize)]
struct Reloaded {
    discovery: String,
}

/// Reads the file again: the address of discovery in it. `RELAY_DISCOVERY` does not count here, since it still
/// says what held at the start of the process.
pub fn reload(path: &Path) -> Result<SocketAddr, ConfigError> {
    let reloaded: Reloaded = read(path)?;
    address("discovery", reloaded.discovery)
}

fn read<T: DeserializeOwned>(path: &Path) -> Result<T, ConfigError> {
    let text = std::fs::read(path).map_err(|error| ConfigError::Read { path: path.to_path_buf(), error })?;
    serde_json::from_slice(&text).map_err(|error| ConfigError::Json { path: path.to_path_buf(), error })
}

impl Config {
    /// Reads the file that `RELAY_CONFIG` names; the other variables come before what stands in it.
    pub fn from_env() -> Result<Self, ConfigError> {
        let variable = |name| std::env::var(name).map_err(|_| ConfigError::Variable(name));
        let path = PathBuf::from(variable("RELAY_CONFIG")?);
        let file: File = read(&path)?;
        let state = PathBuf::from(variable("RELAY_STATE")?);
        let name = variable("RELAY_NAME").unwrap_or(file.name);
        let listen = address("RELAY_LISTEN", variable("RELAY_LISTEN").unwrap_or(file.listen))?;
        let told = variable("RELAY_DISCOVERY").unwrap_or_else(|_| file.discovery.clone());
        if told != file.discovery {
            super::log(format_args!("{name}: RELAY_DISCOVERY is {told}, the file says {}", file.discovery));
        }
        let discovery = address("RELAY_DISCOVERY", told)?;
        let seed = u64::from_str_radix(&file.seed, 16).map_err(|_| ConfigError::Value {
            name: "seed",
            found: file.seed.clone(),
            wanted: "a hexadecimal number",
        })?;
        let disk = bytes_of("limits.disk_mb", file.limits.disk_mb)?;
        let memory = bytes_of("limits.memory_mb", file.limits.memory_mb)?;
        let mut flat = BTreeMap::new();
        flatten("", &file.settings, &mut flat);
        let pairs = flat.iter().map(|(path, text)| (path.as_str(), text.as_str())).collect();
        let (settings, names) = read_settings(&Pairs(pairs))?;
        settings.validate()?;
        Ok(Config {
            name,
            listen,
            discovery,
            state,
            seed,
            disk,
            budget: Budget::new(file.limits.sockets, memory, settings.call_slots),
            path,
            known: parse_list(&file.known),
            settings,
            names,
        })
    }
}

fn bytes_of(name: &'static str, megabytes: f64) -> Result<u64, ConfigError> {
    if megabytes.is_finite() && megabytes >= 0.0 {
        return Ok((megabytes * 1e6) as u64);
    }
    Err(ConfigError::Value { name, found: megabytes.to_string(), wanted: "a size of zero or more" })
}

fn address(name: &'static str, text: String) -> Result<SocketAddr, ConfigError> {
    text.parse().map_err(|_| ConfigError::Value { name, found: text, wanted: "an address with a port" })
}

/// Nested JSON to paths with text, as the wire's `setup` has them: a list of plain values is joined with
/// commas, a list of objects has its length under `.count` and its items under their numbers.
fn flatten(path: &str, value: &Value, flat: &mut BTreeMap<String, String>) {
    let below = |name: &str| if path.is_empty() { name.to_string() } else { format!("{path}.{name}") };
    match value {
        Value::Object(fields) => fields.iter().for_each(|(name, value)| flatten(&below(name), value, flat)),
        Value::Array(items) if items.iter().any(Value::is_object) => {
            flat.insert(below("count"), items.len().to_string());
            for (index, item) in items.iter().enumerate() {
                flatten(&below(&index.to_string()), item, flat);
            }
        }
        Value::Array(items) if items.is_empty() => {
            flat.insert(below("count"), "0".to_string());
            flat.insert(path.to_string(), String::new());
        }
        Value::Array(items) => {
            flat.insert(path.to_string(), items.iter().map(plain).collect::<Vec<_>>().join(","));
        }
        Value::Null => {}
        other => {
            flat.insert(path.to_string(), plain(other));
        }
    }
}

fn plain(value: &Value) -> String {
    match value {
        Value::String(text) => text.replace([' ', ','], "_"),
        other => other.to_string(),
    }
}

#[cfg(test)]
mod tests {
    use super::Budget;

    #[test]
    fn the_parts_never_exceed_the_descriptors() {
        // guards against shares that are each sound and together too much: 256 once had to bear 128 clients,
        // 200 idle connections and the calls
        for sockets in [64, 256, 384, 1024, 65_536] {
            for slots in [3, 40, 120, 2000] {
                let budget = Budget::new(sockets, 32_000_000, slots);
                assert!(budget.clients + budget.endpoints + Budget::REST < sockets, "{sockets}: {budget:?}");
                assert!(budget.idle > 0 && budget.idle <= budget.endpoints, "{sockets}: {budget:?}");
            }
            // clients may hold a third of the descriptors for requests
            let clients = Budget::new(sockets, 32_000_000, 40).clients;
            assert!(sockets < 256 || clients > sockets / 3, "{sockets}: {clients}");
        }
        assert_eq!(Budget::new(256, 32_000_000, 40).bodies, 4_000_000);
    }
}
