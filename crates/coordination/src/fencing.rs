//! Fencing at the receiver of a write. The receiver keeps the highest token seen for each resource and rejects lower
//! ones.
//!
//! A lease alone does not protect a resource, since any amount of time may pass between the holder's check of its lease
//! and the arrival of its write. A receiver therefore calls [`FencingGuard::admit`] before it executes a write. A
//! receiver whose writes outlive its process also stores the guard before it executes a write under a new token.
//! Chubby's sequencers work the same way (M. Burrows, OSDI 2006).

use crate::bounds;
use crate::command::{Rejection, limit_reached};
use crate::ids::FencingToken;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The highest fencing token seen for each resource.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct FencingGuard {
    highest: BTreeMap<String, FencingToken>,
}

/// The result of admitting a write, which tells the receiver whether it must store the guard before the write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The token equals the highest one seen; the guard is unchanged.
    KnownToken,
    /// The token is higher than any seen: the guard must be stored before the write is executed.
    NewToken,
}

impl FencingGuard {
    /// Decides whether a write under this token may be executed, and records the token.
    ///
    /// # Errors
    /// [`Rejection::Fenced`] if a higher token has been seen for the resource. [`Rejection::LimitReached`] if the guard
    /// already holds the tokens of [`MAX_RESOURCES`](bounds::MAX_RESOURCES) other resources: without a record of
    /// this token it could not reject a lower one later.
    pub fn admit(&mut self, resource: &str, token: FencingToken) -> Result<Admission, Rejection> {
        let is_full = self.highest.len() >= bounds::MAX_RESOURCES;
        match self.highest.get_mut(resource) {
            Some(current) if token < *current => Err(Rejection::Fenced {
                resource: resource.to_string(),
                token,
                current: *current,
            }),
            Some(current) if token == *current => Ok(Admission::KnownToken),
            Some(current) => {
                *current = token;
                Ok(Admission::NewToken)
            }
            None if is_full => Err(limit_reached(
                "fenced pieces of work",
                bounds::MAX_RESOURCES,
            )),
            None => {
                self.highest.insert(resource.to_string(), token);
                Ok(Admission::NewToken)
            }
        }
    }

    /// The highest token seen for a resource; 0 if none has been seen.
    #[must_use]
    pub fn highest_token(&self, resource: &str) -> FencingToken {
        self.highest.get(resource).copied().unwrap_or_default()
    }
}
