//! Attributes a response to the call that it belongs to. Performs no I/O and reads no clock.
//!
//! HTTP/1.1 matches responses to requests by order alone: a response need not name its request. Any other data that
//! arrives on the connection while a call is in flight, such as a duplicate of an earlier response, looks like the
//! response to that call. The status and the timing of a response do not distinguish it from such a duplicate. A
//! response is therefore attributed to a call only by one of three criteria: it is the first one on its connection; it
//! names the messages of the call; or the endpoint was asked to close the connection after the response and did so
//! without sending anything else.

#[cfg(test)]
mod tests;

use crate::call_codec::{REQUEST_ID_HEADER, results_by_id};
use hyper::StatusCode;
use hyper::header::{CONNECTION, HeaderMap};
use hyper::http::response::Parts;
use milletturn_engine::{Attribution, CallItem, SharedStr};
use milletturn_policy::EndpointId;
use std::collections::{HashMap, HashSet};
use std::time::Duration;
use tokio::time::Instant;

/// After this time, an endpoint that did not close a connection as requested may be asked to close one again.
const MAX_AGE: Duration = Duration::from_secs(30);

/// The earlier calls of a connection, as far as they matter for attributing the next response.
#[derive(Debug, Default)]
pub(crate) struct CallHistory {
    /// Ids of all messages that were sent on the connection: a response that names one of them again may be a
    /// duplicate.
    carried_ids: HashSet<SharedStr>,
    /// Whether a response on the connection left a message undelivered. A rejection or an error may name no message, so
    /// a duplicate of it looks like the next response.
    has_rejected: bool,
    /// Whether the last response to a single message repeated the message id of the request.
    repeats_request_id: bool,
}

impl CallHistory {
    /// The criterion by which the response to a call with these messages can be attributed.
    pub(crate) fn attribution(&self, items: &[CallItem]) -> Attribution {
        if self.carried_ids.is_empty() {
            return Attribution::FirstCall;
        }
        let will_name_messages = items.len() > 1 || self.repeats_request_id;
        let is_repeated = items.iter().any(|item| self.carried_ids.contains(&item.id));
        match will_name_messages && !is_repeated && !self.has_rejected {
            true => Attribution::NamesMessages,
            false => Attribution::LastCall,
        }
    }

    /// Records a call and its response.
    pub(crate) fn record(&mut self, items: &[CallItem], head: &Parts, is_all_delivered: bool) {
        self.has_rejected |= !is_all_delivered;
        if let [item] = items {
            self.repeats_request_id = repeats_id(&head.headers, item);
        }
        self.carried_ids
            .extend(items.iter().map(|item| item.id.clone()));
    }
}

/// Whether a response names the messages of its call. A 200 must name all of them. Any other status may name none, but
/// a response to a single message must not name a different one.
pub(crate) fn names_messages(items: &[CallItem], head: &Parts, body: &[u8]) -> bool {
    match (items, head.status) {
        ([item], StatusCode::OK) => repeats_id(&head.headers, item),
        ([item], _) => {
            !head.headers.contains_key(REQUEST_ID_HEADER) || repeats_id(&head.headers, item)
        }
        (_, StatusCode::OK) => {
            let results = results_by_id(body);
            items
                .iter()
                .all(|item| results.contains_key(item.id.as_str().as_bytes()))
        }
        _ => true,
    }
}

fn repeats_id(headers: &HeaderMap, item: &CallItem) -> bool {
    headers
        .get(REQUEST_ID_HEADER)
        .is_some_and(|value| value.as_bytes() == item.id.as_str().as_bytes())
}

/// Whether a response announces with `Connection: close` that the connection ends after the response. No earlier
/// response on the connection announced a close, because the connection would have ended, so a duplicate of an earlier
/// response does not announce one either.
pub(crate) fn announces_close(head: &Parts) -> bool {
    let options = head.headers.get_all(CONNECTION).iter();
    options
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .any(|option| option.trim().eq_ignore_ascii_case("close"))
}

/// What an endpoint does when a request asks for the connection to be closed after the response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CloseBehaviour {
    /// The endpoint announces the close and closes the connection, as RFC 9112 requires.
    Orderly,
    /// The endpoint does not announce the close, or leaves the connection open.
    Other,
}

/// The observed close behaviour of each endpoint. Contains at most one entry for each endpoint in the list.
#[derive(Debug, Default)]
pub(crate) struct CloseBehaviours(HashMap<EndpointId, (CloseBehaviour, Instant)>);

impl CloseBehaviours {
    /// Records the latest close behaviour of an endpoint, in place of an earlier one.
    pub(crate) fn record(&mut self, endpoint: EndpointId, behaviour: CloseBehaviour, now: Instant) {
        self.0.insert(endpoint, (behaviour, now));
    }

    /// Removes entries older than [`MAX_AGE`] of endpoints that did not close as requested: the cause may have been a
    /// single broken connection.
    pub(crate) fn evict(&mut self, now: Instant) {
        self.0.retain(|_, (behaviour, seen_at)| {
            *behaviour == CloseBehaviour::Orderly || now - *seen_at < MAX_AGE
        });
    }

    /// Removes the entry of an endpoint.
    pub(crate) fn remove(&mut self, endpoint: EndpointId) {
        self.0.remove(&endpoint);
    }

    /// Whether the behaviour of an endpoint is unknown.
    pub(crate) fn is_unknown(&self, endpoint: EndpointId) -> bool {
        !self.0.contains_key(&endpoint)
    }

    /// Whether a call whose response would be attributed by this criterion may be made on a connection to the endpoint.
    /// An endpoint that is known not to close as requested gets no [`Attribution::LastCall`]. A call that must run at
    /// most once fails if its response cannot be attributed, so such a call is not made as the last one of a connection
    /// while the close behaviour of the endpoint is unknown either.
    pub(crate) fn allows(
        &self,
        endpoint: EndpointId,
        attribution: Attribution,
        at_most_once: bool,
    ) -> bool {
        match (attribution, self.0.get(&endpoint)) {
            (Attribution::FirstCall | Attribution::NamesMessages, _) => true,
            (Attribution::LastCall, None) => !at_most_once,
            (Attribution::LastCall, Some((behaviour, _))) => *behaviour == CloseBehaviour::Orderly,
        }
    }
}
