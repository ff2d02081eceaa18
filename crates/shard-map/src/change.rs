//! Atomic changes to the endpoints of one destination, and the reasons for rejecting one.

use crate::endpoint::{Endpoint, validate_uid};
use crate::limits;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// One step of a change: puts or removes one endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Operation {
    /// Adds the endpoint, or replaces the endpoint of the same name.
    Put(Endpoint),
    /// Removes the endpoint of this name from the change's destination.
    Remove(Box<str>),
}

impl Operation {
    /// The unique name of the endpoint that is put or removed.
    #[must_use]
    pub fn uid(&self) -> &str {
        match self {
            Operation::Put(endpoint) => &endpoint.uid,
            Operation::Remove(uid) => uid,
        }
    }

    /// An upper bound on the size of the endpoint to put as JSON text, or of the escaped name to remove, in bytes; see
    /// [`Endpoint::size_bytes`].
    #[must_use]
    pub fn size_bytes(&self) -> usize {
        match self {
            Operation::Put(endpoint) => endpoint.size_bytes(),
            Operation::Remove(uid) => 2 * uid.len(),
        }
    }
}

/// An atomic change: either all of its operations are applied or none.
///
/// All operations concern one destination and therefore one shard, so that a replica of some of the shards never has
/// only part of a change.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Change {
    /// The destination whose endpoints change.
    pub destination: u64,
    /// The operations, in the order in which they are applied; at most [`limits::MAX_CHANGE_OPERATIONS`].
    #[serde(rename = "steps")]
    pub operations: Vec<Operation>,
}

impl Change {
    /// Checks everything that does not depend on the endpoints to which the change is applied.
    ///
    /// # Errors
    /// The first violation found: no operations or too many, an invalid name or address, an endpoint of another destination,
    /// or an endpoint that is named twice.
    pub fn validate(&self) -> Result<(), ChangeError> {
        if self.operations.is_empty() {
            return Err(ChangeError::Empty);
        }
        if self.operations.len() > limits::MAX_CHANGE_OPERATIONS {
            return Err(ChangeError::TooManyOperations(self.operations.len()));
        }
        let mut seen: Vec<&str> = Vec::with_capacity(self.operations.len());
        for operation in &self.operations {
            match operation {
                Operation::Put(endpoint) => {
                    endpoint.validate()?;
                    if endpoint.destination != self.destination {
                        return Err(ChangeError::DestinationMismatch(endpoint.destination));
                    }
                }
                Operation::Remove(uid) => validate_uid(uid)?,
            }
            let uid = operation.uid();
            if seen.contains(&uid) {
                return Err(ChangeError::DuplicateEndpoint(uid.into()));
            }
            seen.push(uid);
        }
        Ok(())
    }
}

/// The reason for rejecting a change. A rejected change has no effect and gets no version.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ChangeError {
    /// The change has no operations.
    #[error("change has no operations")]
    Empty,
    /// The change has more than [`limits::MAX_CHANGE_OPERATIONS`] operations.
    #[error("change has {0} operations, more than the maximum of {max}", max = limits::MAX_CHANGE_OPERATIONS)]
    TooManyOperations(usize),
    /// The name of an endpoint is empty, or a name of an endpoint, a zone or a kind is longer than
    /// [`limits::MAX_NAME_BYTES`] or has control characters.
    #[error(
        "name is empty, longer than {} bytes, or has control characters",
        limits::MAX_NAME_BYTES
    )]
    InvalidName,
    /// No endpoint can listen on this address: port 0, or an unspecified or multicast IP address.
    #[error("no endpoint can listen on address {0}")]
    InvalidAddress(SocketAddr),
    /// The change contains an endpoint of this destination, which is not the destination of the change.
    #[error("change of another destination contains an endpoint of destination {0}")]
    DestinationMismatch(u64),
    /// The change names this endpoint twice.
    #[error("change names endpoint {0} twice")]
    DuplicateEndpoint(Box<str>),
    /// The endpoint belongs to another destination, from which it must be removed first.
    #[error("endpoint {uid} belongs to destination {destination}")]
    OwnedByOtherDestination {
        /// The name of the endpoint.
        uid: Box<str>,
        /// The destination to which the endpoint belongs.
        destination: u64,
    },
    /// The destination has no endpoint of this name.
    #[error("the destination has no endpoint {0}")]
    UnknownEndpoint(Box<str>),
    /// The shard would become too large to be sent within the time allowed for its snapshot.
    #[error("the shard would have {required_bytes} bytes, more than the maximum of {max_bytes}")]
    ShardTooLarge {
        /// The size of the shard with the change applied.
        required_bytes: usize,
        /// The maximum size of a shard, [`Limits::shard_bytes`](crate::Limits::shard_bytes).
        max_bytes: usize,
    },
    /// The endpoint list would exceed the total size limit of the source.
    #[error(
        "the endpoint list would have {required_bytes} bytes, more than the maximum of {max_bytes}"
    )]
    ListTooLarge {
        /// The size of the list with the change applied.
        required_bytes: usize,
        /// The maximum size of the list, [`Limits::total_bytes`](crate::Limits::total_bytes).
        max_bytes: usize,
    },
    /// This source is not the leader, or has learnt of a later leader's term.
    #[error("this source is not the leader")]
    NotLeader,
}
