//! What ties a response to its call. Free of I/O and clock.
//!
//! HTTP/1.1 goes by order alone: nothing in a response names its request, and whatever else comes on a connection while a
//! call is out reads like the response to it, such as a second copy of an earlier response. Neither the content of a response
//! nor the time that it takes tells it from such a copy. Three things do: no response came before it on its connection; it
//! names the call's messages; or the endpoint was asked to close the connection behind it, and did so with nothing else on
//! it.

#[cfg(test)]
mod tests;

use crate::call_codec::{REQUEST_ID, words_by_id};
use hyper::StatusCode;
use hyper::header::{CONNECTION, HeaderMap};
use hyper::http::response::Parts;
use milletturn_engine::{Attribution, CallItem, SharedStr};
use milletturn_policy::EndpointId;
use std::collections::{HashMap, HashSet};
use std::time::Duration;
use tokio::time::Instant;

/// An endpoint that did not close a connection in order is asked again after this time.
const MAX_AGE: Duration = Duration::from_secs(30);

/// What earlier calls of one connection say about the next one's response.
#[derive(Debug, Default)]
pub(crate) struct ConnectionRecord {
    /// Ids of the messages that it has carried: a response that names one of them again may be a copy.
    carried: HashSet<SharedStr>,
    /// It has brought a rejection or an error, which name no message: a copy of it reads like the next one.
    has_rejected: bool,
    /// Its responses to single messages repeat the request's id.
    repeats_request_id: bool,
}

impl ConnectionRecord {
    /// How the response to a call of these messages can be tied to it.
    pub(crate) fn attribution(&self, items: &[CallItem]) -> Attribution {
        if self.carried.is_empty() {
            return Attribution::FirstCall;
        }
        let is_named = items.len() > 1 || self.repeats_request_id;
        let is_repeated = items.iter().any(|item| self.carried.contains(&item.id));
        match is_named && !is_repeated && !self.has_rejected {
            true => Attribution::NamesMessages,
            false => Attribution::LastCall,
        }
    }

    /// Remembers a call and its response.
    pub(crate) fn record(&mut self, items: &[CallItem], head: &Parts, is_all_delivered: bool) {
        self.has_rejected |= !is_all_delivered;
        if let [item] = items {
            self.repeats_request_id = repeats_id(&head.headers, item);
        }
        self.carried
            .extend(items.iter().map(|item| item.id.clone()));
    }
}

/// Whether a response names the messages of its call: a 200 all of them, any other no other one.
pub(crate) fn names_messages(items: &[CallItem], head: &Parts, body: &[u8]) -> bool {
    match (items, head.status) {
        ([item], StatusCode::OK) => repeats_id(&head.headers, item),
        ([item], _) => !head.headers.contains_key(REQUEST_ID) || repeats_id(&head.headers, item),
        (_, StatusCode::OK) => {
            let words = words_by_id(body);
            items
                .iter()
                .all(|item| words.contains_key(item.id.as_str().as_bytes()))
        }
        _ => true,
    }
}

fn repeats_id(headers: &HeaderMap, item: &CallItem) -> bool {
    headers
        .get(REQUEST_ID)
        .is_some_and(|value| value.as_bytes() == item.id.as_str().as_bytes())
}

/// Whether a response announces that the connection ends behind it. Earlier responses of the connection did not.
pub(crate) fn announces_close(head: &Parts) -> bool {
    let options = head.headers.get_all(CONNECTION).iter();
    options
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .any(|option| option.trim().eq_ignore_ascii_case("close"))
}

/// What an endpoint does when a request asks it to close the connection behind the response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CloseBehaviour {
    /// It announces the end and closes, as RFC 9112 has it.
    InOrder,
    /// It does not announce the end, or leaves the connection open.
    Other,
}

/// What endpoints were seen to do. Its size is that of the list of endpoints.
#[derive(Debug, Default)]
pub(crate) struct CloseBehaviours(HashMap<EndpointId, (CloseBehaviour, Instant)>);

impl CloseBehaviours {
    /// Remembers what an endpoint did.
    pub(crate) fn record(&mut self, endpoint: EndpointId, behaviour: CloseBehaviour, now: Instant) {
        self.0.insert(endpoint, (behaviour, now));
    }

    /// Forgets which endpoints did not close, once that is [`MAX_AGE`] ago: a broken connection may have been all.
    pub(crate) fn evict(&mut self, now: Instant) {
        self.0.retain(|_, (behaviour, seen_at)| {
            *behaviour == CloseBehaviour::InOrder || now - *seen_at < MAX_AGE
        });
    }

    /// Forgets an endpoint.
    pub(crate) fn forget(&mut self, endpoint: EndpointId) {
        self.0.remove(&endpoint);
    }

    /// Whether nothing is known of an endpoint.
    pub(crate) fn is_unknown(&self, endpoint: EndpointId) -> bool {
        !self.0.contains_key(&endpoint)
    }

    /// Whether a response can be tied to its call. What must run once ends as failed where it can't: it does not try at
    /// an endpoint of which nothing is known.
    pub(crate) fn allow(
        &self,
        endpoint: EndpointId,
        attribution: Attribution,
        at_most_once: bool,
    ) -> bool {
        match (attribution, self.0.get(&endpoint)) {
            (Attribution::FirstCall | Attribution::NamesMessages, _) => true,
            (Attribution::LastCall, None) => !at_most_once,
            (Attribution::LastCall, Some((behaviour, _))) => *behaviour == CloseBehaviour::InOrder,
        }
    }
}
