//! The ingress port: accepts messages from clients, and returns their outcomes.
//!
//! A server sends [`Input::Arrived`](crate::Input::Arrived) for each message and waits for its one
//! [`ArrivalOutcome`]. If its client disconnects before that, the server sends
//! [`Input::ClientDisconnected`](crate::Input::ClientDisconnected). If the client received
//! [`ArrivalOutcome::Accepted`] and the message ends undelivered, the engine sends one [`Notification`]. Its receiver
//! acknowledges it by [`Input::Notified`](crate::Input::Notified). After a restart, the engine may send the same
//! notification again.

use crate::{Ending, SharedStr};
use bytes::Bytes;
use milletturn_policy::Micros;
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Whether a class is internal to the sender.
///
/// Clients may not use an internal class, and its failed messages do not go to the dead-letter store. The name of an
/// internal class contains a colon, which a name in a configuration may not.
#[must_use]
pub fn is_internal_class(name: &str) -> bool {
    name.contains(':')
}

/// The largest body of a message in bytes, for every server that accepts messages. The platform's protocol sets this
/// limit.
pub const MAX_BODY_BYTES: usize = 64 * 1024;

/// A message that a client submits.
#[derive(Debug)]
pub struct Arrival {
    /// The id that the client gave the message, unique among all messages.
    pub id: SharedStr,
    /// The idempotency key, by which the destination drops duplicates; only messages of a keyed class have one.
    pub key: Option<SharedStr>,
    /// Position of the message's class in the engine's class table: at the start, its position in the settings; after a
    /// reload, the one in the reply to [`Input::Reconfigure`](crate::Input::Reconfigure).
    pub class: usize,
    /// The message's subject: messages with the same subject are delivered one at a time if their class keeps order.
    pub subject: Option<SharedStr>,
    /// The name of the message's tenant; a name that the settings don't contain counts as no tenant.
    pub tenant: Option<SharedStr>,
    /// The message's destination.
    pub destination: u64,
    /// How long delivery may take, in microseconds from `submitted_at`.
    pub time_to_live: Micros,
    /// When the client submitted the message.
    pub submitted_at: Instant,
    /// The client has submitted the message before.
    pub resubmitted: bool,
    /// The client has submitted the message before, to a sender that is no longer running.
    pub from_lost_sender: bool,
    /// The message's body, at most [`MAX_BODY_BYTES`] bytes.
    pub body: Bytes,
    /// Receives exactly one outcome.
    pub reply: oneshot::Sender<ArrivalOutcome>,
}

/// The reply to the client that submitted a message.
///
/// In a hot restart, another process decodes the reply by the index of its variant, so the order of the variants is
/// fixed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ArrivalOutcome {
    /// The message is in the journal: it will be delivered, or its client will be notified.
    Accepted,
    /// The message was already delivered.
    AlreadyDelivered,
    /// The message was not accepted; resubmitting it is harmless, preferably after the retry-after delay.
    Rejected {
        /// The retry-after delay that the client is advised to observe, in microseconds; `None` if none is advised.
        retry_after: Option<Micros>,
    },
    /// The message could not be written to the journal; resubmitting it is harmless.
    NoCapacity,
    /// The message has ended undelivered; resubmitting it may deliver it twice.
    Failed,
}

/// The final outcome of an accepted message, to be passed to its client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Notification {
    /// The message's number in the journal.
    pub number: u64,
    /// The id that the client gave the message.
    pub id: SharedStr,
    /// Position of the message's class in the engine's class table. If the settings no longer have the class, none of
    /// their classes has this position.
    pub class: usize,
    /// How the message ended.
    pub ending: Ending,
}
