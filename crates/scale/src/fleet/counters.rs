//! Counters of what a simulated sender received, compared with the changes that were published.

use milletturn_engine::EndpointListUpdate;
use milletturn_member::MemberEvent;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A version whose arrival at each sender is measured.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct Mark {
    /// The version.
    pub version: u64,
    /// Start of the measurement, in microseconds since the machine's start.
    pub from: u64,
}

/// Histogram of durations: microseconds to number of samples.
pub type Times = BTreeMap<u64, u64>;

/// Counters of all senders of a process since the last report.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Report {
    /// Senders that are running.
    pub senders: u64,
    /// Time from the publishing of a change until it was in force. Counts only changes that arrived in a line of their
    /// own, not several that a busy machine merged into one line.
    pub in_force: Times,
    /// Time from [`Mark::from`], or from the sender's start if that was later, until the marked version or a later one
    /// was in force.
    pub marked: Times,
    /// Time from a sender's start until its first list was complete.
    #[serde(rename = "begun")]
    pub time_to_first_list: Times,
    /// Destinations missing at a sender when the report was made, summed over the senders. A list of the right length
    /// with other destinations or an old version counts as one.
    pub lost: u64,
    /// Changes or lines received twice, and destinations beyond those published.
    pub doubled: u64,
    /// Lines received after a line with a newer version.
    pub wrong_order: u64,
    /// Lines received that carry endpoints, either a list or a change.
    pub lines: u64,
    /// Sessions that were opened.
    #[serde(rename = "joined")]
    pub sessions_opened: u64,
    /// Sessions that ended without the sender closing them.
    #[serde(rename = "left")]
    pub sessions_lost: u64,
    /// Requests that coordinators rejected.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Number of rejections by reason.
    #[serde(rename = "refusals")]
    pub rejections: BTreeMap<String, u64>,
    /// Periods in which a sender had no permission to act on its resource, while permissions were sampled.
    #[serde(rename = "without")]
    pub without_permission: Times,
}

impl Report {
    /// Adds the counters of another report.
    pub fn add(&mut self, other: Report) {
        let add = |to: &mut Times, from: Times| {
            from.into_iter()
                .for_each(|(time, count)| *to.entry(time).or_default() += count);
        };
        add(&mut self.in_force, other.in_force);
        add(&mut self.marked, other.marked);
        add(&mut self.time_to_first_list, other.time_to_first_list);
        add(&mut self.without_permission, other.without_permission);
        for (reason, count) in other.rejections {
            *self.rejections.entry(reason).or_default() += count;
        }
        self.senders += other.senders;
        self.lost += other.lost;
        self.doubled += other.doubled;
        self.wrong_order += other.wrong_order;
        self.lines += other.lines;
        self.sessions_opened += other.sessions_opened;
        self.sessions_lost += other.sessions_lost;
        self.rejected += other.rejected;
    }
}

/// Counters of one sender.
#[derive(Debug)]
pub struct SenderCounters {
    /// Region of the sender.
    pub region: usize,
    started: u64,
    version: u64,
    /// Known destinations, and the sum of their hashes. The sum differs for a list of the right length that lacks one
    /// destination and holds another one twice.
    destinations: u64,
    hash_sum: u64,
    /// Number of destinations in a complete first list.
    first_list_size: u64,
    has_first_list: bool,
    reached_mark: bool,
    /// Start of the current period without permission to act, if there is one.
    unpermitted_since: Option<u64>,
    unreported: Report,
}

/// Hashes a number, so that different sets of numbers have different sums of hashes, except for rare collisions.
fn mix(number: u64) -> u64 {
    let mixed = (number ^ (number >> 30))
        .wrapping_add(1)
        .wrapping_mul(0xbf58_476d_1ce4_e5b9);
    (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb)
}

/// Sum of the hashes of a list with the given number of destinations.
#[must_use]
pub fn hash_sum_of(destinations: u64) -> u64 {
    (0..destinations).fold(0, |sum: u64, number| sum.wrapping_add(mix(number)))
}

/// Durations are rounded down to a precision of 2^8 steps per power of two, 1 part in 256.
const PRECISION_BITS: u32 = 8;

fn add(times: &mut Times, micros: u64) {
    let dropped_bits = micros
        .checked_ilog2()
        .unwrap_or(0)
        .saturating_sub(PRECISION_BITS);
    *times
        .entry(micros >> dropped_bits << dropped_bits)
        .or_default() += 1;
}

impl SenderCounters {
    /// Counters of a sender that starts at `started`, in microseconds since the machine's start, and whose first list
    /// has `first_list_size` destinations.
    #[must_use]
    pub fn new(region: usize, started: u64, first_list_size: u64) -> Self {
        SenderCounters {
            region,
            started,
            version: 0,
            destinations: 0,
            hash_sum: 0,
            first_list_size,
            has_first_list: false,
            reached_mark: false,
            unpermitted_since: None,
            unreported: Report::default(),
        }
    }

    /// Records a list update that arrived at `at`, in microseconds since the machine's start.
    pub fn record_update(&mut self, at: u64, update: &EndpointListUpdate, mark: Option<Mark>) {
        self.unreported.lines += 1;
        match update.version.cmp(&self.version) {
            _ if update.full => {}
            std::cmp::Ordering::Less => self.unreported.wrong_order += 1,
            std::cmp::Ordering::Equal => self.unreported.doubled += 1,
            std::cmp::Ordering::Greater => {}
        }
        if update.full {
            (self.destinations, self.hash_sum) = (0, 0);
        }
        self.destinations += update.endpoints.len() as u64;
        let hashes = update
            .endpoints
            .iter()
            .map(|listed| mix(listed.destination));
        self.hash_sum = hashes.fold(self.hash_sum, u64::wrapping_add);
        let before = self.version;
        self.version = self.version.max(update.version);
        if !self.has_first_list && self.destinations >= self.first_list_size {
            self.has_first_list = true;
            add(
                &mut self.unreported.time_to_first_list,
                at.saturating_sub(self.started),
            );
        }
        // pieces of the first list have small versions; the version of a change is the time of its publishing
        if update.endpoints.len() == 1 && update.version > self.started {
            add(
                &mut self.unreported.in_force,
                at.saturating_sub(update.version),
            );
        }
        if let Some(mark) = mark
            && !self.reached_mark
            // a sender that had received the version before the mark was set is not measured
            && before < mark.version
            && self.version >= mark.version
        {
            self.reached_mark = true;
            // for a sender started after the mark, time counts from its start
            add(
                &mut self.unreported.marked,
                at.saturating_sub(mark.from.max(self.started)),
            );
        }
    }

    /// Forgets whether the marked version has arrived; called before a new mark is set.
    pub fn reset_mark(&mut self) {
        self.reached_mark = false;
    }

    /// Records an event of the member.
    pub fn record_event(&mut self, event: &MemberEvent) {
        match event {
            MemberEvent::SessionOpened(_) => self.unreported.sessions_opened += 1,
            MemberEvent::SessionEnded(_) => self.unreported.sessions_lost += 1,
            MemberEvent::Rejected(rejection) => {
                self.unreported.rejected += 1;
                let text = format!("{rejection:?}");
                let reason = text
                    .split([' ', '(', '{'])
                    .next()
                    .unwrap_or_default()
                    .to_string();
                *self.unreported.rejections.entry(reason).or_default() += 1;
            }
            _ => {}
        }
    }

    /// Records whether the sender has permission to act on its resource at the time `at`.
    pub fn record_permission(&mut self, at: u64, permitted: bool) {
        match (self.unpermitted_since, permitted) {
            (None, false) => self.unpermitted_since = Some(at),
            (Some(since), true) => {
                add(
                    &mut self.unreported.without_permission,
                    at.saturating_sub(since),
                );
                self.unpermitted_since = None;
            }
            _ => {}
        }
    }

    /// Returns whether the sender has received this version or a later one.
    #[must_use]
    pub fn has_version(&self, version: u64) -> bool {
        self.version >= version
    }

    /// Adds the counters since the last report to `report`. The published list is at `version`, with `destinations`
    /// destinations whose hashes sum to `hash_sum`.
    pub fn report(&mut self, version: u64, destinations: u64, hash_sum: u64, report: &mut Report) {
        let mut counted = std::mem::take(&mut self.unreported);
        counted.senders = 1;
        counted.lost = destinations.saturating_sub(self.destinations);
        counted.doubled += self.destinations.saturating_sub(destinations);
        // if the number of destinations is right, but they differ or the version is old, one destination counts as lost
        if self.destinations == destinations
            && (self.hash_sum != hash_sum || self.version < version)
        {
            counted.lost += 1;
        }
        report.add(counted);
    }
}
