//! Tells the response to a call from a second copy of an earlier response. Free of I/O and clock.
//!
//! HTTP/1.1 goes by order alone: nothing ties a response to its request, and a copy that crosses the next request is read
//! as the response to it. A copy has the content of an earlier response on its connection, so one that differs from all
//! of them is no copy. Where an endpoint's responses are alike, only the time in which they come tells.

#[cfg(test)]
mod tests;

use crate::call_text::LOAD_REPORT;
use hyper::header::DATE;
use hyper::http::response::Parts;
use milletturn_policy::EndpointId;
use std::collections::hash_map::DefaultHasher;
use std::collections::{HashMap, HashSet, VecDeque};
use std::hash::{Hash, Hasher};
use std::time::Duration;
use tokio::time::Instant;

/// Responses of an endpoint that are remembered.
const MAX_RECENT_RESPONSES: usize = 8;
/// What an endpoint has not used for so long is forgotten.
const MAX_AGE: Duration = Duration::from_secs(30);
/// With fewer responses, nothing is known of how an endpoint's responses differ.
const MIN_KNOWN_RESPONSES: usize = 2;
/// A response that may be a copy counts once this many times the slowest recent response time has passed.
const QUIET_FACTOR: u32 = 2;

/// The content of a response: its status, headers and body. `Date` is left out, as it is the same for a whole second.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) struct Fingerprint(u64);

impl Fingerprint {
    pub(crate) fn new(head: &Parts, body: &[u8]) -> Self {
        let mut hasher = DefaultHasher::new();
        head.status.hash(&mut hasher);
        for (name, value) in head.headers.iter().filter(|(name, _)| *name != DATE) {
            name.hash(&mut hasher);
            value.hash(&mut hasher);
        }
        body.hash(&mut hasher);
        Fingerprint(hasher.finish())
    }
}

/// Whether a response has anything that may tell it from others: a body or a load report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Content {
    Some,
    None,
}

impl Content {
    fn of(head: &Parts, body: &[u8]) -> Self {
        match body.is_empty() && !head.headers.contains_key(LOAD_REPORT) {
            true => Content::None,
            false => Content::Some,
        }
    }
}

/// A response as far as it can be told from others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ResponseIdentity {
    pub(crate) fingerprint: Fingerprint,
    pub(crate) content: Content,
}

impl ResponseIdentity {
    pub(crate) fn of(head: &Parts, body: &[u8]) -> Self {
        ResponseIdentity {
            fingerprint: Fingerprint::new(head, body),
            content: Content::of(head, body),
        }
    }
}

/// What a response with the content of an earlier one on its connection is taken for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Repeated {
    /// The response to the call.
    Own,
    /// A second copy of the earlier response.
    Copy,
    /// Either: it is the call's own if nothing else comes until so long after the request.
    OwnIfQuietFor(Duration),
}

/// A response of an endpoint, and the time that it took.
#[derive(Debug, Clone, Copy)]
struct RecentResponse {
    identity: ResponseIdentity,
    response_time: Duration,
}

/// The last responses of one endpoint, the oldest first.
#[derive(Debug)]
struct EndpointHistory {
    recent: VecDeque<RecentResponse>,
    used_at: Instant,
}

impl EndpointHistory {
    /// Whether nearly all of the recent responses differ from each other.
    fn is_distinctive(&self) -> bool {
        let distinct: HashSet<Fingerprint> = self
            .recent
            .iter()
            .map(|response| response.identity.fingerprint)
            .collect();
        !self.is_unknown() && distinct.len() * 4 >= self.recent.len() * 3
    }

    fn is_unknown(&self) -> bool {
        self.recent.len() < MIN_KNOWN_RESPONSES
    }

    /// Whether a repeated response would be taken for a copy, and not for the call's own.
    fn tells_copies(&self) -> bool {
        let has_content = |response: &RecentResponse| response.identity.content == Content::Some;
        self.is_distinctive() || self.is_unknown() && self.recent.iter().all(has_content)
    }

    fn attribute_repeated(&self, response_time: Duration, content: Content) -> Repeated {
        if self.is_distinctive() || self.is_unknown() && content == Content::Some {
            return Repeated::Copy;
        }
        let times = || self.recent.iter().map(|response| response.response_time);
        let (Some(fastest), Some(slowest)) = (times().min(), times().max()) else {
            return Repeated::Own;
        };
        match self.is_unknown() || response_time < fastest {
            true => Repeated::OwnIfQuietFor(slowest.max(response_time) * QUIET_FACTOR),
            false => Repeated::Own,
        }
    }

    fn record(&mut self, response: RecentResponse, now: Instant) {
        if self.recent.len() == MAX_RECENT_RESPONSES {
            self.recent.pop_front();
        }
        self.recent.push_back(response);
        self.used_at = now;
    }
}

/// The recent responses of all endpoints.
#[derive(Debug, Default)]
pub(crate) struct ResponseHistory(HashMap<EndpointId, EndpointHistory>);

impl ResponseHistory {
    /// What a response is that has the content of an earlier one on its connection, and came so long after its request.
    pub(crate) fn attribute_repeated(
        &self,
        endpoint: EndpointId,
        response_time: Duration,
        content: Content,
    ) -> Repeated {
        match (self.0.get(&endpoint), content) {
            (Some(history), _) => history.attribute_repeated(response_time, content),
            (None, Content::Some) => Repeated::Copy,
            (None, Content::None) => Repeated::OwnIfQuietFor(response_time * QUIET_FACTOR),
        }
    }

    /// Whether the endpoint's responses are known to be such that a copy may be taken for a call's own.
    pub(crate) fn may_mistake_copies(&self, endpoint: EndpointId) -> bool {
        self.0
            .get(&endpoint)
            .is_some_and(|history| !history.tells_copies())
    }

    /// Remembers the response to a call.
    pub(crate) fn record(
        &mut self,
        endpoint: EndpointId,
        identity: ResponseIdentity,
        response_time: Duration,
        now: Instant,
    ) {
        let response = RecentResponse {
            identity,
            response_time,
        };
        let history = self.0.entry(endpoint).or_insert_with(|| EndpointHistory {
            recent: VecDeque::new(),
            used_at: now,
        });
        history.record(response, now);
    }

    /// Forgets an endpoint.
    pub(crate) fn forget(&mut self, endpoint: EndpointId) {
        self.0.remove(&endpoint);
    }

    /// Forgets endpoints that have not responded for [`MAX_AGE`].
    pub(crate) fn evict(&mut self, now: Instant) {
        self.0.retain(|_, history| now - history.used_at < MAX_AGE);
    }
}
