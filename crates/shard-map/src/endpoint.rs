//! An endpoint of the replicated list.

use crate::change::ChangeError;
use crate::digest::Digest;
use crate::limits;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// An entry of the endpoint list: one address at which a destination receives messages.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Endpoint {
    /// The name of the endpoint, unique in the whole list and unchanged for as long as the endpoint exists.
    pub uid: Box<str>,
    /// The destination to which the endpoint belongs.
    pub destination: u64,
    /// The address on which the endpoint listens.
    pub address: SocketAddr,
    /// The name of the zone in which the endpoint runs.
    pub zone: Box<str>,
    /// The name of the destination's kind; all destinations of a kind have the same rules for routes and batches.
    pub kind: Box<str>,
    /// Whether the endpoint is draining and must get no new messages.
    #[serde(default)]
    pub draining: bool,
    /// The rate configured for the destination, in thousandths of a call per second. An integer, so that all processes read
    /// exactly the same value.
    #[serde(default)]
    pub weight: u64,
}

impl Endpoint {
    /// The digest of all fields. Each string is preceded by its length, so that different endpoints never have the same
    /// bytes.
    #[must_use]
    pub fn digest(&self) -> Digest {
        let mut bytes = Vec::with_capacity(64 + self.uid.len() + self.zone.len() + self.kind.len());
        for text in [&self.uid, &self.zone, &self.kind] {
            bytes.extend_from_slice(&(text.len() as u64).to_le_bytes());
            bytes.extend_from_slice(text.as_bytes());
        }
        bytes.extend_from_slice(&self.destination.to_le_bytes());
        bytes.extend_from_slice(&self.weight.to_le_bytes());
        bytes.push(u8::from(self.draining));
        bytes.extend_from_slice(self.address.to_string().as_bytes());
        Digest::of(&bytes)
    }

    /// An upper bound on the size of the endpoint's JSON text, in bytes.
    ///
    /// Names have no control characters, so JSON escapes each byte to at most two. The field names, two numbers of 20
    /// digits and an address of 47 bytes take at most 192 bytes.
    #[must_use]
    pub fn size_bytes(&self) -> usize {
        192 + 2 * (self.uid.len() + self.zone.len() + self.kind.len())
    }

    /// Checks that the names are valid, and that an endpoint can listen on the address.
    pub(crate) fn validate(&self) -> Result<(), ChangeError> {
        validate_uid(&self.uid)?;
        validate_name(&self.zone)?;
        validate_name(&self.kind)?;
        let (ip, port) = (self.address.ip(), self.address.port());
        if port == 0 || ip.is_unspecified() || ip.is_multicast() {
            return Err(ChangeError::InvalidAddress(self.address));
        }
        Ok(())
    }
}

/// Checks the unique name of an endpoint, which must not be empty.
pub(crate) fn validate_uid(uid: &str) -> Result<(), ChangeError> {
    if uid.is_empty() {
        return Err(ChangeError::InvalidName);
    }
    validate_name(uid)
}

fn validate_name(name: &str) -> Result<(), ChangeError> {
    if name.len() > limits::MAX_NAME_BYTES || name.chars().any(char::is_control) {
        return Err(ChangeError::InvalidName);
    }
    Ok(())
}
