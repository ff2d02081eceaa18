//! The settings of the dead-letter store, which are read from a TOML file.

use crate::record::parse_reason;
use crate::redrive_schedule::RedriveRule;
use milletturn_engine::EndReason;
use milletturn_policy::{Micros, SECOND};
use serde::Deserialize;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// The largest value of a setting that may be a fraction: about a century for a time in seconds, 3.2 petabytes for a
/// size in megabytes. A time in days is converted to seconds before the check.
const MAX_VALUE: f64 = 3.2e9;
/// The smallest size limit of the store, in megabytes: in a smaller file SQLite's own pages leave almost no space for
/// messages.
const MIN_SIZE_MB: f64 = 0.25;
/// The lowest rate of a rule, in redrives per second.
const MIN_PER_SECOND: f64 = 0.001;

/// Disk space to reserve in the state folder, in multiples of the store's maximum size: for the store itself, for the
/// pages that a transaction copies to the rollback journal, and for one damaged file that is set aside.
pub const RESERVED_STORE_SIZES: u64 = 3;

/// Why the settings can't be read or are invalid.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The file can't be read.
    #[error("{path}: {source}", path = path.display())]
    Read {
        /// The settings file.
        path: PathBuf,
        /// The file system's error.
        source: std::io::Error,
    },
    /// The file is not valid TOML, has unknown or missing keys, or has a value of the wrong type.
    #[error("{path}: {source}", path = path.display())]
    Toml {
        /// The settings file.
        path: PathBuf,
        /// The parser's error, with line and column.
        source: Box<toml::de::Error>,
    },
    /// A value is out of range or not one of the allowed words.
    #[error("{path}: {name} is {found}, and must be {wanted}", path = path.display())]
    Value {
        /// The settings file.
        path: PathBuf,
        /// Name of the setting.
        name: String,
        /// The value in the file.
        found: String,
        /// Which values are allowed.
        wanted: &'static str,
    },
}

/// The store's limits, which messages it stores, and the rules by which it redrives messages.
#[derive(Debug, Clone, PartialEq)]
pub struct Config {
    /// Name of the store's file in the state folder.
    pub file: String,
    /// Maximum size of the file, in bytes, without its rollback journal.
    pub max_bytes: u64,
    /// Maximum number of messages.
    pub max_messages: u64,
    /// Delivered and resolved messages are pruned this many microseconds after their last round of attempts ended, or
    /// earlier if the store is full.
    pub max_age: Micros,
    /// Whether messages that were returned to their clients are stored too.
    pub store_returned: bool,
    /// Whether clients may resubmit messages that were returned to them. If so, a returned message is redriven only
    /// after an operator has confirmed that its client does not resubmit it.
    pub clients_retry: bool,
    /// The redrive rules, in the order in which they are tried. A message is redriven by the first rule that covers it,
    /// whose minimum time without failures has passed at the destination, and whose rate limit allows it.
    pub rules: Vec<RedriveRule>,
}

impl Default for Config {
    fn default() -> Self {
        Config {
            file: "undelivered.db".to_string(),
            max_bytes: 64_000_000,
            max_messages: 100_000,
            max_age: 30 * 86_400 * SECOND,
            store_returned: false,
            clients_retry: true,
            rules: Vec::new(),
        }
    }
}

/// The file's top level, as it is written in TOML.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawConfig {
    #[serde(default)]
    store: RawStore,
    #[serde(default, rename = "rule")]
    rules: Vec<RawRule>,
}

#[derive(Deserialize, Default)]
#[serde(deny_unknown_fields)]
struct RawStore {
    file: Option<String>,
    max_mb: Option<f64>,
    max_messages: Option<u64>,
    max_age_days: Option<f64>,
    #[serde(rename = "keep_returned")]
    store_returned: Option<bool>,
    clients_retry: Option<bool>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawRule {
    name: String,
    #[serde(default)]
    classes: Vec<String>,
    #[serde(default)]
    destinations: Vec<u64>,
    #[serde(default)]
    reasons: Vec<String>,
    #[serde(default = "default_min_healthy_s", rename = "well_for_s")]
    min_healthy_s: f64,
    #[serde(default = "default_max_redrives", rename = "most_resends")]
    max_redrives: u32,
    #[serde(default = "default_max_age_s", rename = "not_older_than_s")]
    max_age_s: f64,
    #[serde(default = "default_per_second")]
    per_second: f64,
}

fn default_min_healthy_s() -> f64 {
    60.0
}

fn default_max_redrives() -> u32 {
    3
}

fn default_max_age_s() -> f64 {
    86_400.0
}

fn default_per_second() -> f64 {
    1.0
}

impl Config {
    /// Reads the file.
    ///
    /// # Errors
    /// When the file can't be read, is not valid TOML or has unknown keys, or when a value is not allowed.
    pub fn read(path: &Path) -> Result<Self, ConfigError> {
        let text = std::fs::read_to_string(path).map_err(|source| ConfigError::Read {
            path: path.to_path_buf(),
            source,
        })?;
        Config::parse(path, &text)
    }

    /// Parses the text of a settings file; `path` is only used in errors.
    ///
    /// # Errors
    /// When the text is not valid TOML or has unknown keys, or when a value is not allowed.
    pub fn parse(path: &Path, text: &str) -> Result<Self, ConfigError> {
        let file: RawConfig = toml::from_str(text).map_err(|source| ConfigError::Toml {
            path: path.to_path_buf(),
            source: Box::new(source),
        })?;
        let checks = Checks { path };
        let mut config = Config::default();
        file.store.apply(&mut config, &checks)?;
        for rule in file.rules {
            config.rules.push(rule.into_rule(&checks)?);
        }
        Ok(config)
    }
}

impl RawStore {
    fn apply(self, config: &mut Config, checks: &Checks<'_>) -> Result<(), ConfigError> {
        if let Some(name) = self.file {
            let reserved = name == "journal" || name.starts_with('.');
            if name.is_empty() || name.contains('/') || reserved {
                return Err(checks.error(
                    "store.file",
                    format!("{name:?}"),
                    "a file name other than journal, without '/' and without a leading '.'",
                ));
            }
            config.file = name;
        }
        if let Some(megabytes) = self.max_mb {
            let megabytes = checks.number("store.max_mb", megabytes, MIN_SIZE_MB)?;
            config.max_bytes = (megabytes * 1e6) as u64;
        }
        if let Some(days) = self.max_age_days {
            config.max_age = checks.seconds("store.max_age_days", days * 86_400.0)?;
        }
        if let Some(count) = self.max_messages {
            if count == 0 {
                return Err(checks.error("store.max_messages", "0".into(), "one or more"));
            }
            config.max_messages = count;
        }
        config.store_returned = self.store_returned.unwrap_or(false);
        config.clients_retry = self.clients_retry.unwrap_or(true);
        Ok(())
    }
}

impl RawRule {
    fn into_rule(self, checks: &Checks<'_>) -> Result<RedriveRule, ConfigError> {
        let setting = |field: &str| format!("rule {:?}: {field}", self.name);
        let reason = |text: &String| -> Result<EndReason, ConfigError> {
            parse_reason(text).ok_or_else(|| {
                checks.error(
                    &setting("reasons"),
                    format!("{text:?}"),
                    "time-up, no-repeat, attempts-used or turned-away",
                )
            })
        };
        if self.max_redrives == 0 {
            return Err(checks.error(&setting("most_resends"), "0".into(), "one or more"));
        }
        let reasons = self.reasons.iter().map(reason).collect::<Result<_, _>>()?;
        let min_healthy = checks.seconds(&setting("well_for_s"), self.min_healthy_s)?;
        let max_age = checks.seconds(&setting("not_older_than_s"), self.max_age_s)?;
        let per_second = checks.number(&setting("per_second"), self.per_second, MIN_PER_SECOND)?;
        Ok(RedriveRule {
            name: self.name,
            classes: self.classes,
            destinations: self.destinations,
            reasons,
            min_healthy,
            max_redrives: self.max_redrives,
            max_age,
            per_second,
        })
    }
}

/// Checks single values; the errors name the file and the setting.
struct Checks<'a> {
    path: &'a Path,
}

impl Checks<'_> {
    fn error(&self, name: &str, found: String, wanted: &'static str) -> ConfigError {
        ConfigError::Value {
            path: self.path.to_path_buf(),
            name: name.to_string(),
            found,
            wanted,
        }
    }

    fn number(&self, name: &str, value: f64, min: f64) -> Result<f64, ConfigError> {
        if value.is_finite() && value >= min && value <= MAX_VALUE {
            Ok(value)
        } else {
            Err(self.error(
                name,
                value.to_string(),
                "a positive number within the allowed range",
            ))
        }
    }

    /// Checks a number of seconds and converts it to microseconds.
    fn seconds(&self, name: &str, value: f64) -> Result<Micros, ConfigError> {
        Ok((self.number(name, value, 0.0)? * SECOND as f64) as Micros)
    }
}

#[cfg(test)]
mod tests;
