//! Errors in the simulator's input.

use std::io;

/// The maximum number of characters of a malformed field that an error quotes.
const MAX_QUOTED_CHARS: usize = 80;

/// Why the adapter stopped before the end of its input.
#[derive(Debug, thiserror::Error)]
pub enum ProtocolError {
    /// A line of the input is malformed or missing.
    #[error("line {line}: expected {expected}, found '{found}'")]
    MalformedInput {
        /// Number of the line in the input, from 1.
        line: usize,
        /// What the adapter expected.
        expected: String,
        /// What the line contains instead; `end of input` if the input ended too early.
        found: String,
    },
    /// Reading the input or writing the output failed.
    #[error("input or output failed: {0}")]
    Io(#[from] io::Error),
}

/// A malformed field; [`LineReader`](crate::input::LineReader) adds the line's number.
pub(crate) struct Malformed {
    /// What the adapter expected.
    pub(crate) expected: String,
    /// What the field contains instead, truncated to [`MAX_QUOTED_CHARS`] characters.
    pub(crate) found: String,
}

/// Returns an error about a malformed field.
pub(crate) fn malformed<T>(expected: &str, found: &str) -> Result<T, Malformed> {
    Err(Malformed {
        expected: expected.to_string(),
        found: found.chars().take(MAX_QUOTED_CHARS).collect(),
    })
}
