//! The transport port: carries calls to endpoints.

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
    /// The client's id for it.
    pub id: SharedStr,
    /// Its idempotency key, by which its destination drops repeats.
    pub key: Option<SharedStr>,
    /// The body.
    pub body: Bytes,
}

/// What the transport observed at the end of an attempt. It is for people who investigate; decisions go by the
/// [`Outcome`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndCause {
    /// A complete response with this status.
    Response(u16),
    /// No connection could be opened or reused.
    NoConnection,
    /// The connection ended before the request was written completely.
    RequestIncomplete,
    /// The connection ended after that without a valid response head, or the head took too long.
    NoResponseHead,
    /// A response head with this status came, and its body did not end.
    ResponseIncomplete(u16),
    /// A response with this status came that nothing ties to the call, such as a second copy of an earlier one on its
    /// connection, or that came before the request was written completely.
    DuplicateResponse(u16),
    /// The call's time was up.
    TimedOut,
    /// The decision module cancelled it.
    Cancelled,
    /// Its connection came up too late: it was not to start any more.
    NotStarted,
    /// Another process made the call.
    ForeignProcess,
}

/// Why a response is taken for the one to its call. It is for people who investigate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Attribution {
    /// No response came before it on its connection.
    FirstCall,
    /// It names the messages of the call, which the connection had not carried before.
    NamesMessages,
    /// The endpoint was asked to close the connection behind it, and did so with nothing else on it.
    LastCall,
}

/// Where on a connection a call was made. It is for people who investigate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionUse {
    /// The connection's number, unique in this process.
    pub connection: u64,
    /// The call's place among those of the connection, from 1.
    pub call_on_connection: u64,
    /// Time from the last byte of the request to the first byte behind it; `None` if either is missing.
    pub response_after: Option<Duration>,
    /// What ties the response to the call; `None` without a response that counts.
    pub attributed_by: Option<Attribution>,
}

/// Bytes that came on a connection while no call was out. It is for people who investigate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UnsolicitedData {
    /// The status of the response that they begin with, where they do.
    pub status: Option<u16>,
    /// Time since the last byte of the request before.
    pub after_request: Duration,
}

/// Why a connection to an endpoint was closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum CloseReason {
    /// Its call was given up, or ended without a complete response; the attempt's [`EndCause`] says which.
    CallFailed,
    /// It was idle for too long, there was no room for it, or its endpoint gets no calls any more.
    Evicted,
    /// It ended or broke while it was idle.
    ClosedByPeer,
    /// Bytes came that answer no call.
    UnsolicitedData,
    /// What it has carried allows no further call on it.
    NotReusable,
}

/// The end of the attempt for one message of a call.
#[derive(Debug)]
pub struct AttemptEnd {
    /// Number of the call.
    pub call: u64,
    /// The message's position in the call.
    pub position: usize,
    /// What became of it. An attempt that may have run is never reported as one that did not.
    pub outcome: Outcome,
    /// The message needs no further attempt.
    pub closed: bool,
    /// The endpoint's load report in the order of the settings, or empty.
    pub report: Vec<f64>,
    /// What the transport observed.
    pub cause: EndCause,
    /// Nothing ties the response to the call: whatever the outcome, the attempt may have run.
    pub ambiguous: bool,
    /// Where on a connection it was made; `None` for an attempt that got no connection.
    pub connection_use: Option<ConnectionUse>,
}

/// A call to make.
#[derive(Debug)]
pub struct Call {
    /// Its number, unique in this process.
    pub number: u64,
    /// The endpoint that it goes to.
    pub endpoint: EndpointId,
    /// The endpoint's address.
    pub address: SocketAddr,
    /// The messages that it carries, one at least.
    pub items: Vec<CallItem>,
    /// One of them must never run twice: its response has to be beyond doubt.
    pub at_most_once: bool,
    /// When it times out.
    pub expires: Instant,
}

/// Makes calls to endpoints.
///
/// A call that can't start at once asks first, by [`Input::RequestStart`](crate::Input::RequestStart). A pause that
/// a response asks for is reported by [`Input::RetryAfter`](crate::Input::RetryAfter) as soon as its bytes are there,
/// whatever becomes of the call. Each message of a call ends exactly once, by an
/// [`Input::AttemptEnded`](crate::Input::AttemptEnded). The transport retries nothing by itself: a repeat that the
/// decision module does not know of would be a duplicate.
pub trait Transport {
    /// Starts a call. `cancels` receives the positions that are cancelled.
    fn start(&self, call: Call, cancels: mpsc::UnboundedReceiver<usize>);
    /// The endpoint may get calls from now on, at this address.
    fn add_endpoint(&self, endpoint: EndpointId, address: SocketAddr);
    /// The endpoint gets no calls any more.
    fn remove_endpoint(&self, endpoint: EndpointId);
    /// Closes the connections to an endpoint that are idle now.
    fn close_idle_connections(&self, endpoint: EndpointId);
    /// Closes connections that have been idle for long. Called several times a second.
    fn evict_idle(&self);
    /// The bytes that a message takes up in a call of several.
    fn item_bytes(&self, item: &CallItem) -> usize;
    /// The most bytes of a call of several messages.
    fn max_call_bytes(&self) -> usize;
}
