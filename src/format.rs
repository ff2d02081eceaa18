//! The output format of a command.

use clap::ValueEnum;

/// The output format that `--format` selects.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub(crate) enum Format {
    /// Tables and text for people.
    Text,
    /// JSON for programs, one object a line.
    Json,
}
