//! The events that a member reports to its program, and the outcomes of fenced writes.

use crate::coordinator_client::RequestError;
use milletturn_coordination::{FencingToken, Rejection, SessionId, Timestamp};

/// A change of a member's session, of its resources or of its connection to the coordinators, a rejected request, or
/// the start of a fenced write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MemberEvent {
    /// The member has opened a session, in which it owns no resource yet.
    SessionOpened(SessionId),
    /// The session has ended, and the member no longer owns any resource.
    SessionEnded(SessionId),
    /// The member has become the owner of a resource.
    Acquired {
        /// The resource's name.
        resource: String,
        /// The fencing token that the member's writes to the resource carry.
        token: FencingToken,
    },
    /// The member no longer owns a resource, although its session is still open.
    Lost {
        /// The resource's name.
        resource: String,
        /// The fencing token under which the member owned the resource.
        token: FencingToken,
    },
    /// A fenced write is about to be sent.
    WriteStarted(WriteStarted),
    /// The coordinators rejected a request to open or to renew a session, or a claim for an ended session.
    Rejected(Rejection),
    /// No coordinator responds, or the lease has expired by this member's clock. The text is the reason. Not reported
    /// again before [`MemberEvent::Reconnected`] has been reported.
    Disconnected(String),
    /// A coordinator responds again.
    Reconnected,
}

/// A fenced write that is about to be sent. The lease was safe when it was checked if `checked_at` is before
/// `safe_until`, which a reader of the events can verify.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WriteStarted {
    /// The fencing token that the write carries.
    pub token: FencingToken,
    /// The write's number under that token, from 1 on.
    pub number: u64,
    /// When the lease was checked, immediately before the write was sent.
    pub checked_at: Timestamp,
    /// The time until which the lease was safe according to that check.
    pub safe_until: Timestamp,
}

/// The outcome of a fenced write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write was executed exactly once.
    Done {
        /// The fencing token that the write carried.
        token: FencingToken,
        /// The write's number under that token, from 1 on.
        number: u64,
    },
    /// The write was not sent because the member does not safely own the resource.
    NotOwner,
    /// The coordinators rejected the write, and it was not executed.
    Rejected(Rejection),
    /// No response arrived, so the write may or may not have been executed. The next write first claims the resource
    /// again, and the response to the claim tells whether the write was executed.
    Unknown(RequestError),
}
