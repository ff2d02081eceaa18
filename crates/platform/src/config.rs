//! Reads the configuration file that `RELAY_CONFIG` names. The nested settings are flattened into the form that the
//! simulator's protocol uses, so that one parser and one set of names serve both.

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

/// Why the configuration cannot be used.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// A required environment variable is not set.
    #[error("the variable {0} is not set")]
    MissingVariable(&'static str),
    /// The file cannot be read.
    #[error("{path}: {error}", path = path.display())]
    Read {
        /// The path of the file.
        path: PathBuf,
        /// The error of the operating system.
        error: std::io::Error,
    },
    /// The file is not valid JSON, or a key is missing or has a wrong type.
    #[error("{path}: {error}", path = path.display())]
    Json {
        /// The path of the file.
        path: PathBuf,
        /// The parse error, with line and column where they are known.
        error: serde_json::Error,
    },
    /// A reloaded file lacks a key that the file had before.
    #[error("{0} is missing; it stood in the file before")]
    MissingKey(String),
    /// A value has the wrong form.
    #[error("{name} is '{found}', not {wanted}")]
    Value {
        /// The key or environment variable.
        name: &'static str,
        /// The value that was found.
        found: String,
        /// A description of valid values.
        wanted: &'static str,
    },
    /// A setting is missing or invalid, or settings contradict each other.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}

/// The configuration of a sender, from its file and the environment.
#[derive(Debug)]
pub struct Config {
    /// Name of the sender. It must stay the same after a restart.
    pub name: String,
    /// Address on which clients connect.
    pub listen_address: SocketAddr,
    /// Address of the admin listener, if there is one.
    pub management_address: Option<SocketAddr>,
    /// Address of discovery.
    pub discovery_address: SocketAddr,
    /// Folder for files that must survive a restart.
    pub state_dir: PathBuf,
    /// Seed of the random number generators.
    pub seed: u64,
    /// Disk limit of the state folder, in bytes.
    pub disk_bytes: u64,
    /// Maximum number of open file descriptors of the process.
    pub max_descriptors: usize,
    /// Memory limit of the process, in bytes.
    pub memory_bytes: u64,
    /// How file descriptors and memory are divided.
    pub budget: ResourceBudget,
    /// The configuration file, which a reload reads again.
    pub path: PathBuf,
    /// The keys that the file contains.
    pub keys: ConfigKeys,
    /// The endpoint list in the file, which may be outdated; `None` if the file has no valid one. Used until discovery
    /// has sent a list.
    pub cached_endpoints: Option<EndpointListUpdate>,
    /// Settings of the decision module.
    pub settings: Settings,
    /// Names of zones, classes, kinds of destination, tenants and load report fields, and the time limit for opening a
    /// connection.
    pub names: SettingNames,
}

#[derive(Deserialize)]
struct ConfigFile {
    name: String,
    listen: String,
    discovery: String,
    #[serde(default)]
    management: Option<String>,
    #[serde(default)]
    seed: String,
    limits: LimitsSection,
    #[serde(default)]
    known: Value,
    settings: Value,
}

#[derive(Deserialize)]
struct LimitsSection {
    sockets: usize,
    #[serde(default = "default_memory_mb")]
    memory_mb: f64,
    disk_mb: f64,
}

/// How much later than the sender an endpoint may notice that a call has been aborted: 50 ms ("each time limit is 50
/// ms longer" on sockets, according to the platform's protocol specification). The next message with the same key waits
/// for this time, because it could otherwise reach the endpoint while the aborted call is still in progress there.
pub const SOCKET_SLACK: Micros = 50 * MILLISECOND;

/// Memory limit in megabytes if the file has none. The limit determines only the share for request bodies, which is
/// small compared to the memory of any machine.
fn default_memory_mb() -> f64 {
    64.0
}

/// The parts of the configuration that a reload can change. All others take effect at the next start.
#[derive(Debug)]
pub struct ReloadedConfig {
    /// Address of discovery.
    pub discovery_address: SocketAddr,
    /// Settings of the decision module.
    pub settings: Settings,
}

/// Reads the file again. `RELAY_DISCOVERY` is ignored here, because the variable still has its value from the start of
/// the process. `keys` are the keys of the previous file: if one of them is missing, the new file is taken to be
/// incomplete.
///
/// # Errors
/// Returns an error if the file cannot be read, lacks a key, or contains an invalid value; nothing of the file is used
/// then.
pub fn reload(path: &Path, keys: &ConfigKeys) -> Result<ReloadedConfig, ConfigError> {
    let value: Value = read(path)?;
    if let Some(key) = keys.first_missing(&value) {
        return Err(ConfigError::MissingKey(key));
    }
    let file = ConfigFile::deserialize(&value).map_err(|error| ConfigError::Json {
        path: path.to_path_buf(),
        error,
    })?;
    parse_megabytes("limits.disk_mb", file.limits.disk_mb)?;
    parse_megabytes("limits.memory_mb", file.limits.memory_mb)?;
    let (settings, _) = settings_of(&file.settings)?;
    Ok(ReloadedConfig {
        discovery_address: parse_address("discovery", file.discovery)?,
        settings,
    })
}

/// The keys of a configuration file, as paths. A list counts as one key, because its items may change.
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
                self.add(&join_path(path, name), value);
            }
        }
    }

    /// The first of the keys that the value lacks.
    fn first_missing(&self, value: &Value) -> Option<String> {
        let found = ConfigKeys::of(value);
        self.0.difference(&found.0).next().cloned()
    }
}

/// Converts the platform's settings to those of the decision module, from seconds to microseconds, and extracts the
/// names that the platform's settings define. Also enables notifications and adds [`SOCKET_SLACK`] to the backoff of
/// ordered keys. `caps.mostTries` and the `deadline` of each class must be JSON numbers; a string that looks like a
/// number is rejected there.
///
/// # Errors
/// Names the first setting that is missing or invalid.
pub fn settings_of(value: &Value) -> Result<(Settings, SettingNames), ConfigError> {
    let require_number = |name: &'static str, value: &Value| match value {
        Value::Number(_) => Ok(()),
        other => Err(ConfigError::Value {
            name,
            found: other.to_string(),
            wanted: "a number",
        }),
    };
    require_number("settings.caps.mostTries", &value["caps"]["mostTries"])?;
    for class in value["classes"].as_array().into_iter().flatten() {
        require_number("settings.classes.deadline", &class["deadline"])?;
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
    /// Divides file descriptors and memory, with the given number of descriptors reserved for other parts of the
    /// process.
    #[must_use]
    pub fn budget_excluding(&self, descriptors: usize) -> ResourceBudget {
        ResourceBudget::new(
            self.max_descriptors.saturating_sub(descriptors),
            self.memory_bytes,
            self.settings.call_slots,
        )
    }

    /// Reads the configuration that the environment of this process names, see
    /// [`from_variables`](Self::from_variables).
    ///
    /// # Errors
    /// Returns an error if a variable is missing, the file cannot be read, or a value is invalid.
    pub fn from_env() -> Result<Self, ConfigError> {
        Self::from_variables(|name| std::env::var(name).ok())
    }

    /// Reads the file that the variable `RELAY_CONFIG` names. The other variables take precedence over the values in
    /// the file. `variable` looks a variable up, so that several senders in one process can have different ones.
    ///
    /// # Errors
    /// Returns an error if a variable is missing, the file cannot be read, or a value is invalid.
    pub fn from_variables(
        variable: impl Fn(&'static str) -> Option<String>,
    ) -> Result<Self, ConfigError> {
        let variable = |name| variable(name).ok_or(ConfigError::MissingVariable(name));
        let path = PathBuf::from(variable("RELAY_CONFIG")?);
        let value: Value = read(&path)?;
        let keys = ConfigKeys::of(&value);
        let file = ConfigFile::deserialize(value).map_err(|error| ConfigError::Json {
            path: path.clone(),
            error,
        })?;
        let state_dir = PathBuf::from(variable("RELAY_STATE")?);
        let name = variable("RELAY_NAME").unwrap_or(file.name);
        let listen_address = parse_address(
            "RELAY_LISTEN",
            variable("RELAY_LISTEN").unwrap_or(file.listen),
        )?;
        let discovery_text = variable("RELAY_DISCOVERY").unwrap_or_else(|_| file.discovery.clone());
        if discovery_text != file.discovery {
            log(format_args!(
                "{name}: RELAY_DISCOVERY is {discovery_text}, which overrides {} from the file",
                file.discovery
            ));
        }
        let discovery_address = parse_address("RELAY_DISCOVERY", discovery_text)?;
        let management_address = variable("RELAY_MANAGEMENT").ok().or(file.management);
        let management_address = management_address
            .map(|text| parse_address("RELAY_MANAGEMENT", text))
            .transpose()?;
        let seed = u64::from_str_radix(&file.seed, 16).map_err(|_| ConfigError::Value {
            name: "seed",
            found: file.seed.clone(),
            wanted: "a hexadecimal number",
        })?;
        let disk_bytes = parse_megabytes("limits.disk_mb", file.limits.disk_mb)?;
        let memory_bytes = parse_megabytes("limits.memory_mb", file.limits.memory_mb)?;
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
            // if an entry is malformed, version 0 makes the watch request the full list
            cached_endpoints: parse_list(&file.known).map(|(list, malformed)| EndpointListUpdate {
                version: if malformed > 0 { 0 } else { list.version },
                ..list
            }),
            settings,
            names,
        })
    }
}

fn parse_megabytes(name: &'static str, megabytes: f64) -> Result<u64, ConfigError> {
    if megabytes.is_finite() && megabytes >= 0.0 {
        return Ok((megabytes * 1e6) as u64);
    }
    Err(ConfigError::Value {
        name,
        found: megabytes.to_string(),
        wanted: "a size of zero or more",
    })
}

fn parse_address(name: &'static str, text: String) -> Result<SocketAddr, ConfigError> {
    text.parse().map_err(|_| ConfigError::Value {
        name,
        found: text,
        wanted: "an address with a port",
    })
}

/// Flattens nested JSON to paths with text values, in the form of the `setup` message of the simulator's protocol. A
/// list of plain values is joined with commas; a list of objects has its length under `.count` and its items under
/// their numbers. Null values are left out, and spaces and commas in texts become underscores.
fn flatten(path: &str, value: &Value, flat: &mut BTreeMap<String, String>) {
    match value {
        Value::Object(fields) => {
            fields
                .iter()
                .for_each(|(name, value)| flatten(&join_path(path, name), value, flat));
        }
        Value::Array(items) if items.iter().any(Value::is_object) => {
            flat.insert(join_path(path, "count"), items.len().to_string());
            for (index, item) in items.iter().enumerate() {
                flatten(&join_path(path, &index.to_string()), item, flat);
            }
        }
        Value::Array(items) if items.is_empty() => {
            flat.insert(join_path(path, "count"), "0".to_string());
            flat.insert(path.to_string(), String::new());
        }
        Value::Array(items) => {
            flat.insert(
                path.to_string(),
                items.iter().map(plain_text).collect::<Vec<_>>().join(","),
            );
        }
        Value::Null => {}
        other => {
            flat.insert(path.to_string(), plain_text(other));
        }
    }
}

fn join_path(path: &str, name: &str) -> String {
    if path.is_empty() {
        name.to_string()
    } else {
        format!("{path}.{name}")
    }
}

fn plain_text(value: &Value) -> String {
    match value {
        Value::String(text) => text.replace([' ', ','], "_"),
        other => other.to_string(),
    }
}
