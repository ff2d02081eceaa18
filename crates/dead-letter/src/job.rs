//! The jobs of the store's thread, with their requests and replies.

use crate::error::{RedriveError, StoreError};
use crate::record::{BodyMode, Filter, Record, Stats};
use crate::redrive_service::Resolution;
use crate::store::Page;
use milletturn_policy::Micros;
use tokio::sync::oneshot;

/// A unit of work for the store's thread.
#[derive(Debug)]
pub enum Job {
    /// Wakes the thread to save messages, which wait in a queue of their own.
    Wake,
    /// Records that an attempt at a destination ended.
    AttemptEnded {
        /// Number of the destination.
        destination: u64,
        /// True if the attempt delivered its message.
        succeeded: bool,
    },
    /// Reads a page of a list.
    List(WithReply<ListRequest, Page>),
    /// Reads everything that the store holds about a message.
    Get(WithReply<GetRequest, Option<Record>>),
    /// Reads the store's statistics.
    Stats(WithReply<(), Stats>),
    /// Redrives a message, or only decides whether a redrive is allowed.
    Redrive(WithReply<RedriveJob, Redriven, RedriveError>),
    /// Resolves a message.
    Resolve(WithReply<ResolveJob, (), RedriveError>),
}

/// A request to the store's thread, with the channel for its reply.
#[derive(Debug)]
pub struct WithReply<Q, R, E = StoreError> {
    /// The parameters of the request.
    pub request: Q,
    /// The channel for the only reply. Sending fails if the command's connection ended and dropped the receiver, which
    /// is ignored.
    pub reply: oneshot::Sender<Result<R, E>>,
}

impl<Q, R, E> WithReply<Q, R, E> {
    /// Runs `handle` on the request and sends the result as the reply.
    pub(crate) fn respond(self, handle: impl FnOnce(Q) -> Result<R, E>) {
        let _ = self.reply.send(handle(self.request));
    }
}

/// A request for a page of a list.
#[derive(Debug, Clone)]
pub struct ListRequest {
    /// Selects the messages.
    pub filter: Filter,
    /// The page begins after this message number; 0 for the first page.
    pub after: u64,
    /// Maximum number of messages on the page.
    pub limit: usize,
}

/// A request for everything that the store holds about a message.
#[derive(Debug, Clone, Copy)]
pub struct GetRequest {
    /// Number of the message.
    pub number: u64,
    /// Whether the record includes the message's body.
    pub body: BodyMode,
}

/// A request to redrive a message.
#[derive(Debug, Clone)]
pub struct RedriveJob {
    /// Number of the message.
    pub number: u64,
    /// Name of the operator who requests the redrive, for the audit log.
    pub actor: String,
    /// Why the redrive is requested, for the audit log.
    pub reason: String,
    /// If true, nothing is sent or changed: the reply only tells whether the redrive is allowed.
    pub dry_run: bool,
}

/// The result of a redrive that the engine accepted, or of a dry run that found the redrive allowed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Redriven {
    /// The redrive must start before this Unix time in microseconds, because the deduplication window of the message's
    /// idempotency key ends 100 ms after it; `None` if there is no time limit.
    pub until: Option<Micros>,
}

/// A request to resolve a message.
#[derive(Debug, Clone)]
pub struct ResolveJob {
    /// Number of the message.
    pub number: u64,
    /// How the message is resolved.
    pub resolution: Resolution,
    /// Name of the operator who resolves the message, for the audit log.
    pub actor: String,
    /// Why the message is resolved, for the audit log.
    pub reason: String,
}
