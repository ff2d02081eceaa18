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
    /// Time from the start of the mark until its version was in force.
    pub marked: Times,
    /// Time from a sender's start until its first list was complete.
    pub begun: Times,
    /// Destinations missing at a sender when the report was made.
    pub lost: u64,
    /// Changes or lines received twice.
    pub doubled: u64,
    /// Lines received after a newer one.
    pub wrong_order: u64,
    /// Lines with a list.
    pub lines: u64,
    /// Sessions that were opened.
    pub joined: u64,
    /// Sessions that ended without the sender closing them.
    pub left: u64,
    /// Requests that coordinators rejected.
    pub refused: u64,
    /// Number of rejections by reason.
    pub refusals: BTreeMap<String, u64>,
    /// Periods in which a sender had no permission to act on its resource, while permissions were sampled.
    pub without: Times,
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
        add(&mut self.begun, other.begun);
        add(&mut self.without, other.without);
        for (what, count) in other.refusals {
            *self.refusals.entry(what).or_default() += count;
        }
        self.senders += other.senders;
        self.lost += other.lost;
        self.doubled += other.doubled;
        self.wrong_order += other.wrong_order;
        self.lines += other.lines;
        self.joined += other.joined;
        self.left += other.left;
        self.refused += other.refused;
    }
}

/// Counters of one sender.
#[derive(Debug)]
pub struct Tally {
    /// Region of the sender.
    pub region: usize,
    begun: u64,
    version: u64,
    /// Known destinations, and the sum of their hashes. The sum differs for a list of the right length that lacks one
    /// destination and holds another one twice.
    destinations: u64,
    sum: u64,
    /// Number of destinations in a complete first list.
    first: u64,
    whole: bool,
    marked: bool,
    /// Start of the present period without permission to act, if there is one.
    without: Option<u64>,
    since: Report,
}

/// Mixes a number so that sums of hashes distinguish sets.
fn hash(number: u64) -> u64 {
    let mixed = (number ^ (number >> 30))
        .wrapping_add(1)
        .wrapping_mul(0xbf58_476d_1ce4_e5b9);
    (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb)
}

/// Sum of the hashes of a list with the given number of destinations.
#[must_use]
pub fn sum_of(destinations: u64) -> u64 {
    (0..destinations).fold(0, |sum: u64, number| sum.wrapping_add(hash(number)))
}

/// Durations are rounded down to a precision of 2^8 steps per power of two, 1 part in 256.
const STEPS: u32 = 8;

fn add(times: &mut Times, micros: u64) {
    let coarse = micros.checked_ilog2().unwrap_or(0).saturating_sub(STEPS);
    *times.entry(micros >> coarse << coarse).or_default() += 1;
}

impl Tally {
    /// Counters of a sender that starts at `begun` and whose first list has `first` destinations.
    #[must_use]
    pub fn new(region: usize, begun: u64, first: u64) -> Self {
        Tally {
            region,
            begun,
            version: 0,
            destinations: 0,
            sum: 0,
            first,
            whole: false,
            marked: false,
            without: None,
            since: Report::default(),
        }
    }

    /// Records a list update that arrived at `at`.
    pub fn listed(&mut self, at: u64, update: &EndpointListUpdate, mark: Option<Mark>) {
        self.since.lines += 1;
        match update.version.cmp(&self.version) {
            _ if update.full => {}
            std::cmp::Ordering::Less => self.since.wrong_order += 1,
            std::cmp::Ordering::Equal => self.since.doubled += 1,
            std::cmp::Ordering::Greater => {}
        }
        if update.full {
            (self.destinations, self.sum) = (0, 0);
        }
        self.destinations += update.endpoints.len() as u64;
        let hashes = update
            .endpoints
            .iter()
            .map(|listed| hash(listed.destination));
        self.sum = hashes.fold(self.sum, u64::wrapping_add);
        let before = self.version;
        self.version = self.version.max(update.version);
        if !self.whole && self.destinations >= self.first {
            self.whole = true;
            add(&mut self.since.begun, at.saturating_sub(self.begun));
        }
        // pieces of the first list have small versions; the version of a change is the time of its publishing
        if update.endpoints.len() == 1 && update.version > self.begun {
            add(&mut self.since.in_force, at.saturating_sub(update.version));
        }
        if let Some(mark) = mark
            && !self.marked
            // a sender that knew the version before the mark was set is not measured
            && before < mark.version
            && self.version >= mark.version
        {
            self.marked = true;
            // for a sender started after the mark, time counts from its start
            add(
                &mut self.since.marked,
                at.saturating_sub(mark.from.max(self.begun)),
            );
        }
    }

    /// Forgets that the marked version has arrived, before a new mark is set.
    pub fn unmark(&mut self) {
        self.marked = false;
    }

    /// Records an event of the member.
    pub fn news(&mut self, news: &MemberEvent) {
        match news {
            MemberEvent::SessionOpened(_) => self.since.joined += 1,
            MemberEvent::SessionEnded(_) => self.since.left += 1,
            MemberEvent::Rejected(refusal) => {
                self.since.refused += 1;
                let what = format!("{refusal:?}");
                let kind = what
                    .split([' ', '(', '{'])
                    .next()
                    .unwrap_or_default()
                    .to_string();
                *self.since.refusals.entry(kind).or_default() += 1;
            }
            _ => {}
        }
    }

    /// Records whether the sender has permission to act on its resource at the time `at`.
    pub fn may(&mut self, at: u64, may: bool) {
        match (self.without, may) {
            (None, false) => self.without = Some(at),
            (Some(since), true) => {
                add(&mut self.since.without, at.saturating_sub(since));
                self.without = None;
            }
            _ => {}
        }
    }

    /// Returns whether the sender knows this version or a later one.
    #[must_use]
    pub fn knows(&self, version: u64) -> bool {
        self.version >= version
    }

    /// Adds the counters since the last report to `report`. The published list is at `version`, with `destinations`
    /// destinations whose hashes sum to `sum`.
    pub fn report(&mut self, version: u64, destinations: u64, sum: u64, report: &mut Report) {
        let mut since = std::mem::take(&mut self.since);
        since.senders = 1;
        since.lost = destinations.saturating_sub(self.destinations);
        since.doubled += self.destinations.saturating_sub(destinations);
        // the number of destinations is right, but they differ or the version is old
        if self.destinations == destinations && (self.sum != sum || self.version < version) {
            since.lost += 1;
        }
        report.add(since);
    }
}
