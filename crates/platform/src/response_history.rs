//! Tells the response to a call from a second copy of an earlier response. Free of I/O and clock.
//!
//! HTTP/1.1 goes by order alone: nothing ties a response to its request, and a copy that crosses the next request is read
//! as the response to it. A copy has the content of an earlier response on its connection, so one that differs from all
//! of them is no copy. Where an endpoint's responses are alike, only the time in which they come tells.

#[cfg(test)]
mod tests;

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

/// What a response with the content of an earlier one on its connection is taken for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Attribution {
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
    fingerprint: Fingerprint,
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
            .map(|response| response.fingerprint)
            .collect();
        self.recent.len() >= 2 && distinct.len() * 4 >= self.recent.len() * 3
    }

    fn attribute_repeated(&self, response_time: Duration) -> Attribution {
        if self.is_distinctive() {
            return Attribution::Copy;
        }
        let times = || self.recent.iter().map(|response| response.response_time);
        let (Some(fastest), Some(slowest)) = (times().min(), times().max()) else {
            return Attribution::Own;
        };
        match response_time < fastest {
            true => Attribution::OwnIfQuietFor(slowest * QUIET_FACTOR),
            false => Attribution::Own,
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
    ) -> Attribution {
        self.0.get(&endpoint).map_or(Attribution::Own, |history| {
            history.attribute_repeated(response_time)
        })
    }

    /// Remembers the response to a call.
    pub(crate) fn record(
        &mut self,
        endpoint: EndpointId,
        fingerprint: Fingerprint,
        response_time: Duration,
        now: Instant,
    ) {
        let response = RecentResponse {
            fingerprint,
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

    /// Forgets endpoints that have not responded for so long: none of their connections is still open.
    pub(crate) fn evict(&mut self, now: Instant, max_age: Duration) {
        self.0.retain(|_, history| now - history.used_at < max_age);
    }
}
