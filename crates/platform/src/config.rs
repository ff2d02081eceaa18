//! Reads `RELAY_CONFIG`. The nested settings are flattened into the reader of the simulator's wire, so that
//! their names live in one place.

use crate::endpoint_list::parse_list;
use crate::resource_budget::ResourceBudget;
use milletturn_engine::EndpointListUpdate;
use milletturn_logging::log;
use milletturn_platform_settings::{RawSettings, SettingNames, read_settings};
use milletturn_policy::{MILLISECOND, Micros, Settings, SettingsError};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Why the sender cannot start.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// A variable that must be set is not.
    #[error("the variable {0} is not set")]
    Variable(&'static str),
    /// The file can't be read.
    #[error("{path}: {error}", path = path.display())]
    Read {
        /// Which file.
        path: PathBuf,
        /// Why.
        error: std::io::Error,
    },
    /// The file is not JSON of the right form.
    #[error("{path}: {error}", path = path.display())]
    Json {
        /// Which file.
        path: PathBuf,
        /// Why, with line and column.
        error: serde_json::Error,
    },
    /// A key that stood in the file before.
    #[error("{0} is missing; it stood in the file before")]
    Missing(String),
    /// A value that is none.
    #[error("{name} is '{found}', not {wanted}")]
    Value {
        /// Its name.
        name: &'static str,
        /// What stands there.
        found: String,
        /// What should.
        wanted: &'static str,
    },
    /// Settings that make no sense together.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}

/// All that the sender is told at its start.
#[derive(Debug)]
pub struct Config {
    /// The sender's name, the same after a restart.
    pub name: String,
    /// Where clients connect.
    pub listen_address: SocketAddr,
    /// Where operators connect, if they may.
    pub management_address: Option<SocketAddr>,
    /// The agent.
    pub discovery_address: SocketAddr,
    /// The folder that outlasts the process.
    pub state_dir: PathBuf,
    /// For random numbers.
    pub seed: u64,
    /// Bytes that the lasting folder may hold.
    pub disk_bytes: u64,
    /// Descriptors that the process may hold.
    pub max_descriptors: usize,
    /// Bytes of memory that it may use.
    pub memory_bytes: u64,
    /// How descriptors and memory are shared out.
    pub budget: ResourceBudget,
    /// The file that all this comes from; a reload reads it again.
    pub path: PathBuf,
    /// The keys that it has.
    pub keys: ConfigKeys,
    /// The list as last known, maybe old.
    pub cached_endpoints: Option<EndpointListUpdate>,
    /// What the decision module is told.
    pub settings: Settings,
    /// What the rest is told.
    pub names: SettingNames,
}

#[derive(Deserialize)]
struct File {
    name: String,
    listen: String,
    discovery: String,
    #[serde(default)]
    management: Option<String>,
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

/// How much later than here the far side may see that a call has been left: "each time limit is 50 ms longer" on
/// sockets, as the protocol page has it. Until then the next message of its key would meet a call that is still out.
pub const SOCKET_SLACK: Micros = 50 * MILLISECOND;

/// What a body takes up at most is small beside any machine's memory; this stands in where the file tells none.
fn unknown_memory() -> f64 {
    64.0
}

/// What a reload can change. The rest of the file binds from the next start on.
#[derive(Debug)]
pub struct ReloadedConfig {
    /// The agent.
    pub discovery_address: SocketAddr,
    /// What the decision module is told.
    pub settings: Settings,
}

/// Reads the file again, whole or not at all: `RELAY_DISCOVERY` does not count here, since it still says what held
/// at the start of the process. `shape` has the keys of the file that held before: one that is missing now shows a
/// file that is not complete.
///
/// # Errors
/// When the file can't be read, lacks a key, or has a value that makes no sense.
pub fn reload(path: &Path, keys: &ConfigKeys) -> Result<ReloadedConfig, ConfigError> {
    let value: Value = read(path)?;
    if let Some(key) = keys.missing(&value) {
        return Err(ConfigError::Missing(key));
    }
    let file = File::deserialize(&value).map_err(|error| ConfigError::Json {
        path: path.to_path_buf(),
        error,
    })?;
    bytes_of("limits.disk_mb", file.limits.disk_mb)?;
    bytes_of("limits.memory_mb", file.limits.memory_mb)?;
    let (settings, _) = settings_of(&file.settings)?;
    Ok(ReloadedConfig {
        discovery_address: address("discovery", file.discovery)?,
        settings,
    })
}

/// Which keys a file has, by path. Lists count as one key: classes come and go.
#[derive(Debug, Clone, Default)]
pub struct ConfigKeys(BTreeSet<String>);

impl ConfigKeys {
    fn of(value: &Value) -> Self {
        let mut keys = ConfigKeys::default();
        keys.add("", value);
        keys
    }

    fn add(&mut self, path: &str, value: &Value) {
        if !path.is_empty() {
            self.0.insert(path.to_string());
        }
        if let Value::Object(fields) = value {
            for (name, value) in fields {
                self.add(&below(path, name), value);
            }
        }
    }

    /// The first key that the value lacks.
    fn missing(&self, value: &Value) -> Option<String> {
        let found = ConfigKeys::of(value);
        self.0.difference(&found.0).next().cloned()
    }
}

/// The settings of the decisions, in microseconds where the platform's are seconds, and the platform's names. Figures must
/// stand as numbers: text that looks like one is a mistake.
///
/// # Errors
/// The first figure that is missing or makes no sense, by its name.
pub fn settings_of(value: &Value) -> Result<(Settings, SettingNames), ConfigError> {
    let number = |name: &'static str, value: &Value| match value {
        Value::Number(_) => Ok(()),
        other => Err(ConfigError::Value {
            name,
            found: other.to_string(),
            wanted: "a number",
        }),
    };
    number("settings.caps.mostTries", &value["caps"]["mostTries"])?;
    for class in value["classes"].as_array().into_iter().flatten() {
        number("settings.classes.deadline", &class["deadline"])?;
    }
    let mut flat = BTreeMap::new();
    flatten("", value, &mut flat);
    let pairs = flat
        .iter()
        .map(|(path, text)| (path.as_str(), text.as_str()))
        .collect();
    let (mut settings, names) = read_settings(&RawSettings(pairs))?;
    settings.notifications_enabled = true;
    settings.safety.ordered_key_backoff += SOCKET_SLACK;
    settings.validate()?;
    Ok((settings, names))
}

fn read<T: DeserializeOwned>(path: &Path) -> Result<T, ConfigError> {
    let text = std::fs::read(path).map_err(|error| ConfigError::Read {
        path: path.to_path_buf(),
        error,
    })?;
    serde_json::from_slice(&text).map_err(|error| ConfigError::Json {
        path: path.to_path_buf(),
        error,
    })
}

impl Config {
    /// The budget of descriptors and memory where so many descriptors more are used by other parts.
    #[must_use]
    pub fn budget_excluding(&self, descriptors: usize) -> ResourceBudget {
        ResourceBudget::new(
            self.max_descriptors.saturating_sub(descriptors),
            self.memory_bytes,
            self.settings.call_slots,
        )
    }

    /// As the environment of this process has it, see [`from_variables`](Self::from_variables).
    ///
    /// # Errors
    /// When a variable is missing, the file can't be read or a value makes no sense.
    pub fn from_env() -> Result<Self, ConfigError> {
        Self::from_variables(|name| std::env::var(name).ok())
    }

    /// Reads the file that the variable `RELAY_CONFIG` names; the other variables come before what stands in it.
    /// Several senders of one process have variables of their own.
    ///
    /// # Errors
    /// When a variable is missing, the file can't be read or a value makes no sense.
    pub fn from_variables(
        variable: impl Fn(&'static str) -> Option<String>,
    ) -> Result<Self, ConfigError> {
        let variable = |name| variable(name).ok_or(ConfigError::Variable(name));
        let path = PathBuf::from(variable("RELAY_CONFIG")?);
        let value: Value = read(&path)?;
        let keys = ConfigKeys::of(&value);
        let file = File::deserialize(value).map_err(|error| ConfigError::Json {
            path: path.clone(),
            error,
        })?;
        let state_dir = PathBuf::from(variable("RELAY_STATE")?);
        let name = variable("RELAY_NAME").unwrap_or(file.name);
        let listen_address = address(
            "RELAY_LISTEN",
            variable("RELAY_LISTEN").unwrap_or(file.listen),
        )?;
        let told = variable("RELAY_DISCOVERY").unwrap_or_else(|_| file.discovery.clone());
        if told != file.discovery {
            log(format_args!(
                "{name}: RELAY_DISCOVERY is {told}, the file says {}",
                file.discovery
            ));
        }
        let discovery_address = address("RELAY_DISCOVERY", told)?;
        let management_address = variable("RELAY_MANAGEMENT").ok().or(file.management);
        let management_address = management_address
            .map(|text| address("RELAY_MANAGEMENT", text))
            .transpose()?;
        let seed = u64::from_str_radix(&file.seed, 16).map_err(|_| ConfigError::Value {
            name: "seed",
            found: file.seed.clone(),
            wanted: "a hexadecimal number",
        })?;
        let disk_bytes = bytes_of("limits.disk_mb", file.limits.disk_mb)?;
        let memory_bytes = bytes_of("limits.memory_mb", file.limits.memory_mb)?;
        let (settings, names) = settings_of(&file.settings)?;
        Ok(Config {
            name,
            listen_address,
            management_address,
            discovery_address,
            state_dir,
            seed,
            disk_bytes,
            max_descriptors: file.limits.sockets,
            memory_bytes,
            budget: ResourceBudget::new(file.limits.sockets, memory_bytes, settings.call_slots),
            path,
            keys,
            // what of it can not be read is asked for with the whole list
            cached_endpoints: parse_list(&file.known).map(|(list, unread)| EndpointListUpdate {
                version: if unread > 0 { 0 } else { list.version },
                ..list
            }),
            settings,
            names,
        })
    }
}

fn bytes_of(name: &'static str, megabytes: f64) -> Result<u64, ConfigError> {
    if megabytes.is_finite() && megabytes >= 0.0 {
        return Ok((megabytes * 1e6) as u64);
    }
    Err(ConfigError::Value {
        name,
        found: megabytes.to_string(),
        wanted: "a size of zero or more",
    })
}

fn address(name: &'static str, text: String) -> Result<SocketAddr, ConfigError> {
    text.parse().map_err(|_| ConfigError::Value {
        name,
        found: text,
        wanted: "an address with a port",
    })
}

/// Nested JSON to paths with text, as the wire's `setup` has them: a list of plain values is joined with
/// commas, a list of objects has its length under `.count` and its items under their numbers.
fn flatten(path: &str, value: &Value, flat: &mut BTreeMap<String, String>) {
    match value {
        Value::Object(fields) => {
            fields
                .iter()
                .for_each(|(name, value)| flatten(&below(path, name), value, flat));
        }
        Value::Array(items) if items.iter().any(Value::is_object) => {
            flat.insert(below(path, "count"), items.len().to_string());
            for (index, item) in items.iter().enumerate() {
                flatten(&below(path, &index.to_string()), item, flat);
            }
        }
        Value::Array(items) if items.is_empty() => {
            flat.insert(below(path, "count"), "0".to_string());
            flat.insert(path.to_string(), String::new());
        }
        Value::Array(items) => {
            flat.insert(
                path.to_string(),
                items.iter().map(plain).collect::<Vec<_>>().join(","),
            );
        }
        Value::Null => {}
        other => {
            flat.insert(path.to_string(), plain(other));
        }
    }
}

fn below(path: &str, name: &str) -> String {
    if path.is_empty() {
        name.to_string()
    } else {
        format!("{path}.{name}")
    }
}

fn plain(value: &Value) -> String {
    match value {
        Value::String(text) => text.replace([' ', ','], "_"),
        other => other.to_string(),
    }
}
