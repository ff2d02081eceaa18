//! Identifiers of sessions, leader terms, fencing tokens and waiting callers.
//!
//! Each is a distinct type around a `u64`, so that the compiler rejects a mix-up. Each is serialized as a plain number.

use serde::{Deserialize, Serialize};
use std::fmt;

macro_rules! number_types {
    ($($(#[$doc:meta])* $name:ident;)*) => {
        $(
            $(#[$doc])*
            #[derive(
                Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
            )]
            #[serde(transparent)]
            pub struct $name(pub u64);

            impl $name {
                /// The number that follows this one.
                #[must_use]
                pub const fn next(self) -> Self {
                    Self(self.0 + 1)
                }
            }

            impl fmt::Display for $name {
                fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                    self.0.fmt(formatter)
                }
            }

            impl From<u64> for $name {
                fn from(number: u64) -> Self {
                    Self(number)
                }
            }
        )*
    };
}

number_types! {
    /// Identifies a session. The first session has id 1, and an id is never reused in the same group, not even after
    /// a restore.
    SessionId;
    /// A number that increases with each new owner of a resource and never decreases.
    ///
    /// Every write on behalf of a resource carries the owner's token. The receiver of a write rejects a token that is
    /// lower than the highest one it has seen. Chubby calls such a token a sequencer.
    FencingToken;
    /// The term of the consensus protocol, which increases with each election of a leader. It is unrelated to any
    /// [`FencingToken`].
    LeaderTerm;
    /// Identifies a caller whose request is queued or in flight at a batcher. The service that owns the batcher assigns
    /// the ids.
    WaiterId;
}

/// Stands for all sessions that existed before the state was restored from a backup. The leader tracks a single lease
/// under this id, with the duration of the longest lease that any of these sessions may still hold.
pub const PRE_RESTORE_SESSION: SessionId = SessionId(0);
