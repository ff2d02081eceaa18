//! Additive 128-bit digests for anti-entropy between replicas.

use serde::{Deserialize, Serialize};
use std::fmt;
use xxhash_rust::xxh3::xxh3_128;

/// A 128-bit digest: the sum, modulo 2^128, of the XXH3 hashes of the items that it covers.
///
/// Adding or removing an endpoint costs one hash, and the digest of several shards is the sum of their digests. A digest
/// detects lost or mixed-up data, as Merkle trees do in Dynamo's anti-entropy. It does not detect endpoints that are
/// constructed to collide. No such protection is needed, since all endpoints come from the trusted source.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(try_from = "String", into = "String")]
pub struct Digest(pub u128);

impl Digest {
    /// The digest of one item, given as bytes.
    #[must_use]
    pub fn of(bytes: &[u8]) -> Self {
        Digest(xxh3_128(bytes))
    }

    /// The digest that covers the items of both digests.
    #[must_use]
    pub fn with(self, other: Self) -> Self {
        Digest(self.0.wrapping_add(other.0))
    }

    /// The digest that remains when the items of `other`, all of them covered by this digest, are removed.
    #[must_use]
    pub fn without(self, other: Self) -> Self {
        Digest(self.0.wrapping_sub(other.0))
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:032x}", self.0)
    }
}

impl From<Digest> for String {
    fn from(digest: Digest) -> String {
        digest.to_string()
    }
}

/// Error for a string that is not a digest. The message is part of the protocol's error responses.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("a digest has 32 hexadecimal digits")]
pub struct InvalidDigest;

impl TryFrom<String> for Digest {
    type Error = InvalidDigest;

    fn try_from(text: String) -> Result<Self, InvalidDigest> {
        let is_valid = text.len() == 32 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        let value = is_valid
            .then(|| u128::from_str_radix(&text, 16).ok())
            .flatten();
        value.map(Digest).ok_or(InvalidDigest)
    }
}
