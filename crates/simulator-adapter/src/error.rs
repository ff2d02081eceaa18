//! What can be wrong with the simulator's text.

use std::io;

/// Longest part of a wrong text that an error repeats, in characters.
const MAX_QUOTED_CHARS: usize = 80;

/// Why the adapter stopped.
#[derive(Debug, thiserror::Error)]
pub enum ProtocolError {
    /// A line that is not as it should be.
    #[error("line {number}: expected {expected}, found '{found}'")]
    MalformedLine {
        /// Its number, from 1.
        number: usize,
        /// What should have stood there.
        expected: String,
        /// What did.
        found: String,
    },
    /// Reading or writing failed.
    #[error("input or output failed: {0}")]
    Io(#[from] io::Error),
}

/// A field that is not as it should be; the line's number is added where lines are counted.
pub(crate) struct Malformed {
    /// What should have stood there.
    pub(crate) expected: String,
    /// What did, at most [`MAX_QUOTED_CHARS`] of it.
    pub(crate) found: String,
}

/// The error of a field.
pub(crate) fn malformed<T>(expected: &str, found: &str) -> Result<T, Malformed> {
    Err(Malformed {
        expected: expected.to_string(),
        found: found.chars().take(MAX_QUOTED_CHARS).collect(),
    })
}
