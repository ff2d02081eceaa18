//! What a hollow sender has heard, and what that says of the changes that were published.

use milletturn_engine::EndpointListUpdate;
use milletturn_member::MemberEvent;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A change that is waited for.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct Mark {
    /// Its version.
    pub version: u64,
    /// Times count from this moment, in microseconds since the machine's start.
    pub from: u64,
}

/// Times in microseconds, each with how often it was seen.
pub type Times = BTreeMap<u64, u64>;

/// What all senders of a process have heard since the last report.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Report {
    /// Senders that live.
    pub senders: u64,
    /// From the publishing of a change until it was in force, for each that came by itself: several that a busy
    /// machine brought in one line are not among them.
    pub in_force: Times,
    /// From the mark's moment until its version was in force.
    pub marked: Times,
    /// From a sender's beginning until its first list was whole.
    pub begun: Times,
    /// Destinations that a sender does not have at the report.
    pub lost: u64,
    /// Changes, or lines, that came twice.
    pub doubled: u64,
    /// Lines that came behind a newer one.
    pub wrong_order: u64,
    /// Lines with a list.
    pub lines: u64,
    /// Sessions that were opened.
    pub joined: u64,
    /// Sessions that ended without the sender's wish.
    pub left: u64,
    /// Words of refusal from the stewards.
    pub refused: u64,
    /// What was said with a refusal, and how often.
    pub refusals: BTreeMap<String, u64>,
    /// Spans in which a sender had no leave to act for its work, while that was looked at.
    pub without: Times,
}

impl Report {
    /// Adds another one to it.
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

/// What one sender has heard.
#[derive(Debug)]
pub struct Tally {
    /// Where it stands.
    pub region: usize,
    begun: u64,
    version: u64,
    /// Destinations that it knows, and the sum of their numbers' hashes: a list that lacks one and has another one
    /// twice differs by it.
    destinations: u64,
    sum: u64,
    /// Destinations of a first list that is whole.
    first: u64,
    whole: bool,
    marked: bool,
    /// Since when it has no leave to act.
    without: Option<u64>,
    since: Report,
}

/// Spreads numbers so that sums of them tell sets apart.
fn hash(number: u64) -> u64 {
    let mixed = (number ^ (number >> 30))
        .wrapping_add(1)
        .wrapping_mul(0xbf58_476d_1ce4_e5b9);
    (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb)
}

/// The sum over a list of so many destinations.
#[must_use]
pub fn sum_of(destinations: u64) -> u64 {
    (0..destinations).fold(0, |sum: u64, number| sum.wrapping_add(hash(number)))
}

/// So many entries of a time are told apart: 1 part in 256.
const STEPS: u32 = 8;

fn add(times: &mut Times, micros: u64) {
    let coarse = micros.checked_ilog2().unwrap_or(0).saturating_sub(STEPS);
    *times.entry(micros >> coarse << coarse).or_default() += 1;
}

impl Tally {
    /// Of a sender that begins now; a first list has so many destinations.
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

    /// A list has come.
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
        // pieces of the first list have small versions, changes the moment of their publishing
        if update.endpoints.len() == 1 && update.version > self.begun {
            add(&mut self.since.in_force, at.saturating_sub(update.version));
        }
        if let Some(mark) = mark
            && !self.marked
            // who knew it before the mark was set waits for nothing
            && before < mark.version
            && self.version >= mark.version
        {
            self.marked = true;
            // a sender that began later can't have heard before
            add(
                &mut self.since.marked,
                at.saturating_sub(mark.from.max(self.begun)),
            );
        }
    }

    /// A new mark counts anew.
    pub fn unmark(&mut self) {
        self.marked = false;
    }

    /// The member tells something.
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

    /// Whether it has leave to act for its work now.
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

    /// Whether it knows this version or a later one.
    #[must_use]
    pub fn knows(&self, version: u64) -> bool {
        self.version >= version
    }

    /// Adds what it heard since the last report. The list is at this version, of so many destinations with this sum
    /// of hashes.
    pub fn report(&mut self, version: u64, destinations: u64, sum: u64, report: &mut Report) {
        let mut since = std::mem::take(&mut self.since);
        since.senders = 1;
        since.lost = destinations.saturating_sub(self.destinations);
        since.doubled += self.destinations.saturating_sub(destinations);
        // as many as there should be, and not the same ones; or all, and under an old version
        if self.destinations == destinations && (self.sum != sum || self.version < version) {
            since.lost += 1;
        }
        report.add(since);
    }
}
