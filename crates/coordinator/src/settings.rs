//! The settings file of a coordinator.

mod file;

use crate::ReplicaId;
use file::SettingsFile;
use milletturn_coordination::LeaseTiming;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The settings of a coordinator.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// The name of the group; calls for other groups are rejected.
    pub group: String,
    /// The number of this replica, which has to be one of `replicas`.
    pub id: ReplicaId,
    /// The address on which this coordinator listens for all calls.
    pub listen_address: String,
    /// The folder of the coordinator's persistent store.
    pub state_folder: PathBuf,
    /// The duration of a member's lease, and the difference of clock rates for which the lease allows.
    pub lease_timing: LeaseTiming,
    /// Interval of the leader's calls to the other replicas. A replica that gets no call for five to ten intervals
    /// starts an election.
    pub heartbeat_interval: Duration,
    /// All replicas of the group, including this one, with the addresses at which this replica calls them.
    pub replicas: BTreeMap<ReplicaId, String>,
}

/// Why a settings file can't be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("{path}: {source}")]
    Unreadable {
        /// The settings file.
        path: PathBuf,
        /// The operating system's error.
        source: std::io::Error,
    },
    /// The file is not valid TOML, lacks a required key, or has an unknown key.
    #[error("{path}: {source}")]
    Syntax {
        /// The settings file.
        path: PathBuf,
        /// The position in the file and the reason.
        source: Box<toml::de::Error>,
    },
    /// The settings contradict each other or are out of bounds.
    #[error("{path}: {}", .problems.join("; "))]
    Invalid {
        /// The settings file.
        path: PathBuf,
        /// All problems that were found.
        problems: Vec<String>,
    },
}

impl Settings {
    /// Reads a settings file. Relative paths in the file are resolved against the file's folder.
    ///
    /// # Errors
    /// If the file can't be read or parsed, or with all problems of its values.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path).map_err(|source| SettingsError::Unreadable {
            path: path.to_path_buf(),
            source,
        })?;
        Self::parse(path, &text)
    }

    /// Parses the text of the settings file at `path`.
    ///
    /// # Errors
    /// If the text can't be parsed, or with all problems of its values.
    pub fn parse(path: &Path, text: &str) -> Result<Self, SettingsError> {
        let file: SettingsFile = toml::from_str(text).map_err(|source| SettingsError::Syntax {
            path: path.to_path_buf(),
            source: Box::new(source),
        })?;
        let folder = path.parent().unwrap_or(Path::new(""));
        file.check(folder)
            .map_err(|problems| SettingsError::Invalid {
                path: path.to_path_buf(),
                problems,
            })
    }
}
