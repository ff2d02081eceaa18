//! Reads the response to a call: what it says, what ties it to the call, and what becomes of its connection.

use super::{Shared, give_back};
use crate::attribution::{CloseBehaviour, announces_close, names_messages};
use crate::call_result::Answer;
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

/// Longest time for the rest of a response whose first bytes have come: no response is large.
pub(super) const READ_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest wait for an endpoint to close a connection behind its response.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
/// A connection carries no more calls, so that what it remembers of each stays small.
const MAX_CALLS_PER_CONNECTION: u64 = 256;

/// Reads the response to one call.
pub(super) struct ResponseReader<'a> {
    pub(super) shared: &'a Rc<Shared>,
    pub(super) call: &'a Call,
    /// What has to tie the response to the call.
    pub(super) attribution: Attribution,
}

impl ResponseReader<'_> {
    /// Reads it to the end that it needs to count.
    pub(super) async fn read(self, connection: Connection, response: Response<Incoming>) -> Answer {
        let (head, body) = response.into_parts();
        let is_single_200 = head.status == StatusCode::OK && self.call.items.len() == 1;
        let is_first = self.attribution == Attribution::FirstCall;
        if is_single_200 && is_first && connection.wire.is_request_complete() {
            // the outcome is known; the rest of the response only frees the connection
            connection.wire.set_attribution(self.attribution);
            let answer = self.answer(&head, &[]);
            let (shared, completed) = (self.shared.clone(), self.completed(head, true));
            tokio::task::spawn_local(async move {
                if read_body(body).await.is_some() {
                    completed.keep(&shared, connection).await;
                }
            });
            return answer;
        }
        // all else counts only when the response is complete: a spoilt one may stand for a call that has run
        let Some(body) = read_body(body).await else {
            let status = head.status.as_u16();
            return Answer::all(Outcome::Reset, EndCause::ResponseIncomplete(status));
        };
        let answer = self.answer(&head, &body);
        if !self.is_own(&connection, &head, &body).await {
            return unattributed(&head, connection, answer);
        }
        connection.wire.set_attribution(self.attribution);
        let is_early = connection.wire.response_time().is_none();
        if head.status == StatusCode::GONE || is_early {
            // what is left of an early response's request must not be written: it never ran
            connection.retire();
        } else {
            let completed = self.completed(head, answer.is_all_delivered());
            let shared = self.shared.clone();
            tokio::task::spawn_local(async move { completed.keep(&shared, connection).await });
        }
        answer
    }

    fn answer(&self, head: &Parts, body: &[u8]) -> Answer {
        let Shared {
            report_fields,
            faults,
            ..
        } = &**self.shared;
        Answer::of_response(self.call, head, body, report_fields, faults)
    }

    fn completed(&self, head: Parts, is_all_delivered: bool) -> CompletedCall {
        CompletedCall {
            endpoint: self.call.endpoint,
            address: self.call.address,
            items: self.call.items.clone(),
            head,
            is_all_delivered,
        }
    }

    /// Whether a complete response can only be the one to this call.
    async fn is_own(&self, connection: &Connection, head: &Parts, body: &[u8]) -> bool {
        let wire = &connection.wire;
        let is_early = wire.response_time().is_none();
        match self.attribution {
            Attribution::FirstCall if is_early => {
                head.status != StatusCode::OK && !wire.is_request_complete()
            }
            Attribution::FirstCall => true,
            Attribution::NamesMessages => {
                let is_named = names_messages(&self.call.items, head, body);
                !is_early && is_named && !wire.has_extra_data()
            }
            Attribution::LastCall => {
                !is_early
                    && ends_connection(self.shared, self.call.endpoint, connection, head).await
            }
        }
    }
}

/// A call whose response counts.
struct CompletedCall {
    endpoint: EndpointId,
    address: SocketAddr,
    items: Vec<CallItem>,
    head: Parts,
    is_all_delivered: bool,
}

impl CompletedCall {
    /// Keeps the connection, if it may carry a further call.
    async fn keep(self, shared: &Shared, mut connection: Connection) {
        let record = &mut connection.record;
        record.record(&self.items, &self.head, self.is_all_delivered);
        if connection.wire.is_closing() && connection.wire.is_first_call() {
            ends_connection(shared, self.endpoint, &connection, &self.head).await;
        }
        let is_full = connection.wire.calls() >= MAX_CALLS_PER_CONNECTION;
        match connection.wire.is_closing() || is_full {
            true => connection.retire(),
            false => give_back(shared, self.endpoint, self.address, connection),
        }
    }
}

/// What a response means that nothing ties to the call: a 200 delivers nothing, and a rejection counts as one but the call
/// may have run.
fn unattributed(head: &Parts, connection: Connection, answer: Answer) -> Answer {
    connection.retire();
    let status = head.status.as_u16();
    match head.status {
        StatusCode::OK => Answer::all(Outcome::Reset, EndCause::DuplicateResponse(status)),
        _ => Answer {
            ambiguous: true,
            ..answer
        },
    }
}

/// Whether the endpoint closes the connection behind a response as it was asked to, with nothing else on it. What it does is
/// remembered.
async fn ends_connection(
    shared: &Shared,
    endpoint: EndpointId,
    connection: &Connection,
    head: &Parts,
) -> bool {
    let wire = &connection.wire;
    let has_ended = timeout(CLOSE_TIMEOUT, wire.ended()).await.is_ok();
    if wire.has_extra_data() {
        return false;
    }
    let behaviour = match announces_close(head) && has_ended && wire.ended_behind_answer() {
        true => CloseBehaviour::InOrder,
        false => CloseBehaviour::Other,
    };
    let mut behaviours = shared.close_behaviours.borrow_mut();
    behaviours.record(endpoint, behaviour, Instant::now());
    behaviour == CloseBehaviour::InOrder
}

/// The body, if it ends in time and is no larger than any may be.
async fn read_body(body: Incoming) -> Option<Bytes> {
    let collected = timeout(READ_TIMEOUT, Limited::new(body, MAX_BODY_BYTES).collect())
        .await
        .ok()?;
    collected.ok().map(http_body_util::Collected::to_bytes)
}
