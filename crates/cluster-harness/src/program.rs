//! A build of the program that a process runs, of this version or an earlier one.

use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};

/// An executable of the program, with the command names that its version uses.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Program {
    path: PathBuf,
    names: CommandNames,
}

/// The names of commands that were renamed between versions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct CommandNames {
    coordinator: &'static str,
    session_proxy: &'static str,
}

const CURRENT_NAMES: CommandNames = CommandNames {
    coordinator: "coordinator",
    session_proxy: "session-proxy",
};

/// Command names up to version 0.1.0; later versions accept them as hidden aliases.
const FORMER_NAMES: CommandNames = CommandNames {
    coordinator: "steward",
    session_proxy: "relay",
};

impl Program {
    /// A build of the current version.
    pub fn new(path: impl Into<PathBuf>) -> Self {
        Self {
            path: path.into(),
            names: CURRENT_NAMES,
        }
    }

    /// A build of any version. Runs the build with `--help` to find out which command names it has.
    ///
    /// # Panics
    /// If the build cannot be started.
    pub fn of_any_version(path: impl Into<PathBuf>) -> Self {
        let path = path.into();
        let knows_current_names = Command::new(&path)
            .args([CURRENT_NAMES.coordinator, "--help"])
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .status()
            .expect("the program starts")
            .success();
        let names = if knows_current_names {
            CURRENT_NAMES
        } else {
            FORMER_NAMES
        };
        Self { path, names }
    }

    /// The path of the executable.
    #[must_use]
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// The name of the command that runs a coordinator.
    pub(crate) fn coordinator_command(&self) -> &'static str {
        self.names.coordinator
    }

    /// The name of the command that runs a session proxy.
    pub(crate) fn session_proxy_command(&self) -> &'static str {
        self.names.session_proxy
    }
}

impl From<&str> for Program {
    fn from(path: &str) -> Self {
        Self::new(path)
    }
}
