//! Counts messages and bytes per second.

use milletturn_coordination_protocol::clock::now;
use std::collections::BTreeMap;
use std::ops::{Add, Sub};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Amount of traffic; bytes are those of the application, without the headers of TCP and IP.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Connections that were opened.
    pub opened: u64,
    /// Requests, by senders, coordinators or session proxies.
    pub requests: u64,
    /// Responses, and lines pushed to a watch.
    pub responses: u64,
    /// Bytes of the requests.
    pub request_bytes: u64,
    /// Bytes of the responses and pushed lines.
    pub response_bytes: u64,
}

impl Traffic {
    /// Messages in both directions.
    #[must_use]
    pub fn messages(&self) -> u64 {
        self.requests + self.responses
    }

    /// Bytes in both directions.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        self.request_bytes + self.response_bytes
    }
}

impl Add for Traffic {
    type Output = Traffic;

    fn add(self, other: Traffic) -> Traffic {
        Traffic {
            opened: self.opened + other.opened,
            requests: self.requests + other.requests,
            responses: self.responses + other.responses,
            request_bytes: self.request_bytes + other.request_bytes,
            response_bytes: self.response_bytes + other.response_bytes,
        }
    }
}

impl Sub for Traffic {
    type Output = Traffic;

    fn sub(self, before: Traffic) -> Traffic {
        Traffic {
            opened: self.opened - before.opened,
            requests: self.requests - before.requests,
            responses: self.responses - before.responses,
            request_bytes: self.request_bytes - before.request_bytes,
            response_bytes: self.response_bytes - before.response_bytes,
        }
    }
}

/// Traffic counters by second since the machine's start; clones share the counters.
#[derive(Debug, Clone, Default)]
pub struct Meter(Arc<Mutex<BTreeMap<u64, Traffic>>>);

impl Meter {
    /// Adds traffic to the current second.
    pub fn count(&self, traffic: Traffic) {
        let mut seconds = self.seconds();
        let second = seconds.entry(now().0 / 1_000_000).or_default();
        *second = *second + traffic;
    }

    /// Total so far.
    #[must_use]
    pub fn sum(&self) -> Traffic {
        self.seconds()
            .values()
            .fold(Traffic::default(), |sum, second| sum + *second)
    }

    /// Highest number of messages and highest number of bytes in one second; seconds before `from` (microseconds since
    /// the machine's start) are ignored.
    pub fn peak(&self, from: u64) -> (u64, u64) {
        let seconds = self.seconds();
        let seconds_from = || seconds.range(from / 1_000_000..).map(|(_, second)| second);
        let messages = seconds_from().map(Traffic::messages).max().unwrap_or(0);
        (
            messages,
            seconds_from().map(Traffic::bytes).max().unwrap_or(0),
        )
    }

    fn seconds(&self) -> MutexGuard<'_, BTreeMap<u64, Traffic>> {
        // a counter is updated with one assignment, so the data behind a poisoned lock is usable
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
