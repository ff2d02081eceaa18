//! Reads `RELAY_CONFIG`. The nested settings are flattened into the reader of the simulator's wire, so that
//! their names live in one place.

use super::discovery::{ListUpdate, parse_list};
use milletturn::wire::{Names, Pairs, read_settings};
use milletturn::{Settings, SettingsError};
use serde::Deserialize;
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
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
    /// File descriptors that the process may hold.
    pub sockets: usize,
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
    disk_mb: f64,
}

impl Config {
    /// Reads the file that `RELAY_CONFIG` names; the other variables come before what stands in it.
    pub fn from_env() -> Result<Self, ConfigError> {
        let variable = |name| std::env::var(name).map_err(|_| ConfigError::Variable(name));
        let path = PathBuf::from(variable("RELAY_CONFIG")?);
        let text = std::fs::read(&path).map_err(|error| ConfigError::Read { path: path.clone(), error })?;
        let file: File = serde_json::from_slice(&text).map_err(|error| ConfigError::Json { path, error })?;
        let state = PathBuf::from(variable("RELAY_STATE")?);
        let name = variable("RELAY_NAME").unwrap_or(file.name);
        let listen = address("RELAY_LISTEN", variable("RELAY_LISTEN").unwrap_or(file.listen))?;
        let discovery = address("RELAY_DISCOVERY", variable("RELAY_DISCOVERY").unwrap_or(file.discovery))?;
        let seed = u64::from_str_radix(&file.seed, 16).map_err(|_| ConfigError::Value {
            name: "seed",
            found: file.seed.clone(),
            wanted: "a hexadecimal number",
        })?;
        let disk = file.limits.disk_mb * 1e6;
        if !(disk.is_finite() && disk >= 0.0) {
            return Err(ConfigError::Value {
                name: "limits.disk_mb",
                found: disk.to_string(),
                wanted: "a size of zero or more",
            });
        }
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
            disk: disk as u64,
            sockets: file.limits.sockets,
            known: parse_list(&file.known),
            settings,
            names,
        })
    }
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
