//! Counts messages and bytes per second.

use milletturn_coordination_protocol::clock::now;
use std::collections::BTreeMap;
use std::ops::{Add, Sub};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Amount of traffic; bytes are those of the application, without the headers of TCP and IP.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Passed {
    /// Connections that were opened.
    pub opened: u64,
    /// Requests, by senders, coordinators or session proxies.
    pub asked: u64,
    /// Responses, and lines pushed to a watch.
    pub told: u64,
    /// Bytes of the requests.
    pub bytes_asked: u64,
    /// Bytes of the responses and pushed lines.
    pub bytes_told: u64,
}

impl Passed {
    /// Messages in both directions.
    #[must_use]
    pub fn messages(&self) -> u64 {
        self.asked + self.told
    }

    /// Bytes in both directions.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        self.bytes_asked + self.bytes_told
    }
}

impl Add for Passed {
    type Output = Passed;

    fn add(self, other: Passed) -> Passed {
        Passed {
            opened: self.opened + other.opened,
            asked: self.asked + other.asked,
            told: self.told + other.told,
            bytes_asked: self.bytes_asked + other.bytes_asked,
            bytes_told: self.bytes_told + other.bytes_told,
        }
    }
}

impl Sub for Passed {
    type Output = Passed;

    fn sub(self, before: Passed) -> Passed {
        Passed {
            opened: self.opened - before.opened,
            asked: self.asked - before.asked,
            told: self.told - before.told,
            bytes_asked: self.bytes_asked - before.bytes_asked,
            bytes_told: self.bytes_told - before.bytes_told,
        }
    }
}

/// Traffic counters by second since the machine's start; clones share the counters.
#[derive(Debug, Clone, Default)]
pub struct Meter(Arc<Mutex<BTreeMap<u64, Passed>>>);

impl Meter {
    /// Adds traffic to the present second.
    pub fn count(&self, passed: Passed) {
        let mut seconds = self.seconds();
        let second = seconds.entry(now().0 / 1_000_000).or_default();
        *second = *second + passed;
    }

    /// Total so far.
    #[must_use]
    pub fn sum(&self) -> Passed {
        self.seconds()
            .values()
            .fold(Passed::default(), |sum, second| sum + *second)
    }

    /// Highest number of messages and highest number of bytes in one second; seconds before `from` (microseconds since
    /// the machine's start) are ignored.
    pub fn peak(&self, from: u64) -> (u64, u64) {
        let seconds = self.seconds();
        let late = || seconds.range(from / 1_000_000..).map(|(_, second)| second);
        let messages = late().map(Passed::messages).max().unwrap_or(0);
        (messages, late().map(Passed::bytes).max().unwrap_or(0))
    }

    fn seconds(&self) -> MutexGuard<'_, BTreeMap<u64, Passed>> {
        // a counter is updated with one assignment, so that a poisoned lock holds usable data
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
