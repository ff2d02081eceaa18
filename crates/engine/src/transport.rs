//! The transport port: makes calls to endpoints and reports how they end.

use crate::SharedStr;
use bytes::Bytes;
use milletturn_policy::{EndpointId, Outcome};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// One message in a call.
#[derive(Debug, Clone)]
pub struct CallItem {
    /// The id that the client gave the message.
    pub id: SharedStr,
    /// The idempotency key, by which the destination drops duplicates.
    pub key: Option<SharedStr>,
    /// The message's body.
    pub body: Bytes,
}

/// What the transport observed at the end of an attempt.
///
/// The cause is for diagnosis only; decisions are based on the [`Outcome`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndCause {
    /// A complete response with this status arrived.
    Response(u16),
    /// No connection could be opened or reused.
    NoConnection,
    /// The connection ended before the request was written completely.
    RequestIncomplete,
    /// The request was written completely, but the connection ended without a valid response head, or the head took
    /// too long.
    NoResponseHead,
    /// A response head with this status arrived, but the response body was incomplete.
    ResponseIncomplete(u16),
    /// A response with this status arrived that can't be attributed to the call, such as a duplicate of an earlier
    /// response on the connection, or one that arrived before the request was written completely.
    DuplicateResponse(u16),
    /// The call expired.
    TimedOut,
    /// The decision module cancelled the attempt.
    Cancelled,
    /// The connection took so long to open that the call was no longer allowed to start.
    NotStarted,
    /// Another process made the call, so the cause is not known here.
    ForeignProcess,
}

/// Why a response is attributed to its call. For diagnosis only.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Attribution {
    /// The response is the first one on its connection.
    FirstCall,
    /// The response repeats the ids of the call's messages, and none of these had been sent on the connection before.
    NamesMessages,
    /// The endpoint was asked to close the connection after the response, and did so without sending anything else.
    LastCall,
}

/// The connection that carried a call, and the call's place on the connection. For diagnosis only.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionUse {
    /// The connection's number, unique in this process.
    pub connection: u64,
    /// The call's position among the calls on the connection, from 1.
    pub call_on_connection: u64,
    /// Time from the last byte of the request to the first byte received after it; `None` if the request was not
    /// written completely or nothing was received.
    pub response_after: Option<Duration>,
    /// Why the response is attributed to the call; `None` if no response is.
    pub attributed_by: Option<Attribution>,
}

/// Data that arrived on a connection while no call was in flight. For diagnosis only.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UnsolicitedData {
    /// The status of the response with which the data begins; `None` if the data does not begin with a response head.
    pub status: Option<u16>,
    /// Time since the last byte of the previous request on the connection.
    pub after_request: Duration,
}

/// Why a connection to an endpoint was closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum CloseReason {
    /// The connection's call was aborted, or ended without a complete response; the attempt's [`EndCause`] says
    /// which.
    CallFailed,
    /// The connection was idle for too long, exceeded the connection limit, or its endpoint no longer receives calls.
    Evicted,
    /// The peer closed the connection, or it failed, while it was idle.
    ClosedByPeer,
    /// Data arrived that is not the response to any call.
    UnsolicitedData,
    /// The connection may not carry another call, because of the calls that it has carried or of their responses.
    NotReusable,
}

/// The end of the attempt for one message of a call.
#[derive(Debug)]
pub struct AttemptEnd {
    /// The number of the call.
    pub call: u64,
    /// The message's position in the call.
    pub position: usize,
    /// How the attempt ended. An outcome which means that the attempt never ran, such as a rejection, is reported only
    /// if that is certain, or together with `ambiguous`.
    pub outcome: Outcome,
    /// The message has ended, for example because it was delivered, and needs no further attempt.
    pub message_closed: bool,
    /// The load report in the endpoint's response, with its fields in the order of the settings; empty if there is
    /// none.
    pub report: Vec<f64>,
    /// What the transport observed.
    pub cause: EndCause,
    /// The response can't be attributed to the call: whatever the outcome, the attempt may have run.
    pub ambiguous: bool,
    /// The connection that carried the attempt; `None` for an attempt that got no connection.
    pub connection_use: Option<ConnectionUse>,
}

/// A call to make.
#[derive(Debug)]
pub struct Call {
    /// The call's number, unique in this process.
    pub number: u64,
    /// The endpoint that the call goes to.
    pub endpoint: EndpointId,
    /// The endpoint's address.
    pub address: SocketAddr,
    /// The messages that the call carries, at least one.
    pub items: Vec<CallItem>,
    /// At least one of the messages must never be processed twice, so the response must be attributed to the call with
    /// certainty.
    pub at_most_once: bool,
    /// When the call times out.
    pub expires: Instant,
}

/// Makes calls to endpoints.
///
/// If a call could not start at once, the transport asks by [`Input::RequestStart`](crate::Input::RequestStart), before
/// it starts the call, whether the call may still start. If a response has a `Retry-After`, the transport reports
/// [`Input::RetryAfter`](crate::Input::RetryAfter) as soon as the response's bytes arrive, however the call ends. For
/// each message of a call, the transport reports exactly one [`Input::AttemptEnded`](crate::Input::AttemptEnded). The
/// transport never retries by itself: a retry that the decision module does not know of could deliver a message
/// twice.
pub trait Transport {
    /// Starts a call. `cancels` receives the positions in the call whose attempts are cancelled.
    fn start(&self, call: Call, cancels: mpsc::UnboundedReceiver<usize>);
    /// Announces that calls may go to the endpoint, at this address, from now on.
    fn add_endpoint(&self, endpoint: EndpointId, address: SocketAddr);
    /// Announces that no further calls go to the endpoint.
    fn remove_endpoint(&self, endpoint: EndpointId);
    /// Closes the currently idle connections to an endpoint.
    fn close_idle_connections(&self, endpoint: EndpointId);
    /// Closes connections that have been idle for too long. Called several times a second.
    fn evict_idle(&self);
    /// The size in bytes that a message takes up in a call that carries several messages.
    fn item_bytes(&self, item: &CallItem) -> usize;
    /// The maximum size in bytes of a call that carries several messages.
    fn max_call_bytes(&self) -> usize;
}
