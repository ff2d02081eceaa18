//! Message ids, idempotency keys, subjects and tenant names, in a form that every server and transport can carry.

use std::fmt;
use std::sync::Arc;
use thiserror::Error;

/// An id, key, subject or tenant name: 1 to [`SharedStr::MAX_BYTES`] visible ASCII characters without spaces, so that
/// the text fits in a header and in one line of a call that carries several messages. Clones share the same allocation.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct SharedStr(Arc<str>);

/// The text is not a valid id or key: empty, too long, or not only visible ASCII characters.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("an id or key holds 1 to {max} visible ASCII characters", max = SharedStr::MAX_BYTES)]
pub struct SharedStrError;

impl SharedStr {
    /// The maximum length of an id or key in bytes: far more than a UUID or a hash needs, and small compared with a
    /// body.
    pub const MAX_BYTES: usize = 256;

    /// Validates the bytes and copies them.
    ///
    /// # Errors
    /// When the bytes are empty, too many, or not all visible ASCII.
    pub fn new(bytes: &[u8]) -> Result<Self, SharedStrError> {
        let visible =
            bytes.iter().all(u8::is_ascii_graphic) && (1..=Self::MAX_BYTES).contains(&bytes.len());
        let text = std::str::from_utf8(bytes)
            .ok()
            .filter(|_| visible)
            .ok_or(SharedStrError)?;
        Ok(SharedStr(text.into()))
    }

    /// The validated text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// A hash of bytes that is the same in every process (FNV-1a, RFC 9923, 64 bits).
///
/// Ordering keys are hashes of subjects. A collision is harmless: messages of the two subjects only wait for each
/// other.
#[must_use]
pub fn stable_hash(bytes: &[u8]) -> u64 {
    let mix = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, mix)
}

impl fmt::Display for SharedStr {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

#[cfg(test)]
mod tests;
