//! Reads the response to a call, checks that the response belongs to the call, and decides whether the connection may
//! be reused.

use super::{Shared, return_connection};
use crate::attribution::{CloseBehaviour, announces_close, names_messages};
use crate::call_result::CallResult;
use crate::connection::Connection;
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::http::response::Parts;
use hyper::{Response, StatusCode};
use milletturn_engine::{Attribution, Call, CallItem, EndCause, MAX_BODY_BYTES};
use milletturn_policy::{EndpointId, Outcome};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, timeout};

/// Time limit for the rest of a response after its status line. A short time is enough because all responses are small.
pub(super) const READ_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest wait for an endpoint to close a connection after its response.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of calls on one connection. The limit bounds the memory for the message ids that each connection
/// keeps.
const MAX_CALLS_PER_CONNECTION: u64 = 256;

/// Reads the response to one call.
pub(super) struct ResponseReader<'a> {
    pub(super) shared: &'a Rc<Shared>,
    pub(super) call: &'a Call,
    /// The criterion by which the response is attributed to the call.
    pub(super) attribution: Attribution,
}

impl ResponseReader<'_> {
    /// Reads as much of the response as its evaluation needs. A separate task reads the rest, and then returns the
    /// connection to the pool or, if it may not carry another call, closes it.
    pub(super) async fn read(
        self,
        connection: Connection,
        response: Response<Incoming>,
    ) -> CallResult {
        let (head, body) = response.into_parts();
        let is_single_200 = head.status == StatusCode::OK && self.call.items.len() == 1;
        let is_first = self.attribution == Attribution::FirstCall;
        if is_single_200 && is_first && connection.monitor.is_request_complete() {
            // The outcome is known. The rest of the response is read only to reuse the connection.
            connection.monitor.set_attribution(self.attribution);
            let result = self.result(&head, &[]);
            let (shared, completed) = (self.shared.clone(), self.completed_call(head, true));
            tokio::task::spawn_local(async move {
                if read_body(body).await.is_some() {
                    completed.finish(&shared, connection).await;
                }
            });
            return result;
        }
        // Any other response must be complete to be evaluated: the call may have run although its response is damaged.
        let Some(body) = read_body(body).await else {
            let status = head.status.as_u16();
            return CallResult::uniform(Outcome::Reset, EndCause::ResponseIncomplete(status));
        };
        let result = self.result(&head, &body);
        if !self.is_attributable(&connection, &head, &body).await {
            return unattributed_result(&head, connection, result);
        }
        connection.monitor.set_attribution(self.attribution);
        let is_early = connection.monitor.response_time().is_none();
        if head.status == StatusCode::GONE || is_early {
            // If the response began before the request was complete, the rest of the request must not be written,
            // because the call counts as not run.
            connection.retire();
        } else {
            let completed = self.completed_call(head, result.is_all_delivered());
            let shared = self.shared.clone();
            tokio::task::spawn_local(async move { completed.finish(&shared, connection).await });
        }
        result
    }

    fn result(&self, head: &Parts, body: &[u8]) -> CallResult {
        let Shared {
            report_fields,
            fault_log,
            ..
        } = &**self.shared;
        CallResult::from_response(self.call, head, body, report_fields, fault_log)
    }

    fn completed_call(&self, head: Parts, is_all_delivered: bool) -> CompletedCall {
        CompletedCall {
            endpoint: self.call.endpoint,
            address: self.call.address,
            items: self.call.items.clone(),
            head,
            is_all_delivered,
        }
    }

    /// Whether a complete response can only belong to this call.
    async fn is_attributable(&self, connection: &Connection, head: &Parts, body: &[u8]) -> bool {
        let monitor = &connection.monitor;
        let is_early = monitor.response_time().is_none();
        match self.attribution {
            Attribution::FirstCall if is_early => {
                head.status != StatusCode::OK && !monitor.is_request_complete()
            }
            Attribution::FirstCall => true,
            Attribution::NamesMessages => {
                let is_named = names_messages(&self.call.items, head, body);
                !is_early && is_named && !monitor.has_extra_data()
            }
            Attribution::LastCall => {
                !is_early
                    && await_orderly_close(self.shared, self.call.endpoint, connection, head).await
            }
        }
    }
}

/// A call with a complete response that belongs to the call.
struct CompletedCall {
    endpoint: EndpointId,
    address: SocketAddr,
    items: Vec<CallItem>,
    head: Parts,
    is_all_delivered: bool,
}

impl CompletedCall {
    /// Returns the connection to the pool if it may carry another call, and closes it otherwise.
    async fn finish(self, shared: &Shared, mut connection: Connection) {
        let history = &mut connection.history;
        history.record(&self.items, &self.head, self.is_all_delivered);
        if connection.monitor.is_close_requested() && connection.monitor.is_first_call() {
            await_orderly_close(shared, self.endpoint, &connection, &self.head).await;
        }
        let is_full = connection.monitor.call_count() >= MAX_CALLS_PER_CONNECTION;
        match connection.monitor.is_close_requested() || is_full {
            true => connection.retire(),
            false => return_connection(shared, self.endpoint, self.address, connection),
        }
    }
}

/// The result of a call whose response cannot be attributed to the call. A 200 does not count as a delivery. Any other
/// status has its usual result, but the call may have run.
fn unattributed_result(head: &Parts, connection: Connection, result: CallResult) -> CallResult {
    connection.retire();
    let status = head.status.as_u16();
    match head.status {
        StatusCode::OK => CallResult::uniform(Outcome::Reset, EndCause::DuplicateResponse(status)),
        _ => CallResult {
            may_be_duplicate: true,
            ..result
        },
    }
}

/// Whether the endpoint closes the connection after the response as requested, with no further data. Records the close
/// behaviour of the endpoint, unless further data was received.
async fn await_orderly_close(
    shared: &Shared,
    endpoint: EndpointId,
    connection: &Connection,
    head: &Parts,
) -> bool {
    let monitor = &connection.monitor;
    let has_ended = timeout(CLOSE_TIMEOUT, monitor.wait_for_end()).await.is_ok();
    if monitor.has_extra_data() {
        return false;
    }
    let behaviour = match announces_close(head) && has_ended && monitor.ended_after_response() {
        true => CloseBehaviour::Orderly,
        false => CloseBehaviour::Other,
    };
    let mut behaviours = shared.close_behaviours.borrow_mut();
    behaviours.record(endpoint, behaviour, Instant::now());
    behaviour == CloseBehaviour::Orderly
}

/// Reads the body; `None` if it is incomplete, exceeds the size limit, or takes longer than [`READ_TIMEOUT`].
async fn read_body(body: Incoming) -> Option<Bytes> {
    let collected = timeout(READ_TIMEOUT, Limited::new(body, MAX_BODY_BYTES).collect())
        .await
        .ok()?;
    collected.ok().map(http_body_util::Collected::to_bytes)
}
