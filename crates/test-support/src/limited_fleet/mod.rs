//! Many senders before destinations with limits that all share, in virtual time, from a seed.

mod limit;
mod play;
mod table;

pub use limit::{Limit, Limiting};
use milletturn_policy::{Effect, EndpointEntry, EndpointId, MILLISECOND, Micros, SECOND};
pub use play::play;

/// Longer than any demand lasts.
pub const HOUR: Micros = 3600 * SECOND;
/// What is asked of the fleet, and what the destination takes.
#[derive(Debug, Clone, Copy)]
pub struct Demand {
    /// Senders of the fleet.
    pub senders: usize,
    /// Messages a second over all senders, each at a random one.
    pub rate: f64,
    /// For so long.
    pub length: Micros,
    /// Calls a second that are served; refused ones use it up too, up to as much as is saved up.
    pub limit: f64,
    /// Messages that one call may hold.
    pub bundle: usize,
    /// From when on messages come five times as often, for a second.
    pub clump: Micros,
    /// How unevenly messages go to the senders: 1 evenly; at 2 a tenth of the senders get a third.
    pub skew: f64,
    /// What a message's class and its clients are like.
    pub terms: Terms,
    /// Destinations: the second and later have less of messages and limit, by the power 0.8 of their number.
    pub destinations: usize,
    /// How each limits calls, and what it tells.
    pub limiting: Limiting,
    /// Connections that each destination takes; one that finds none free is refused. None: any number.
    pub table: Option<usize>,
    /// Messages that a sender may hold.
    pub places: usize,
    /// Of arrivals and senders.
    pub seed: u64,
}

/// What a message's class and its clients are like.
#[derive(Debug, Clone, Copy)]
pub struct Terms {
    /// Whether a message may be repeated.
    pub effect: Effect,
    /// Wanted within this time, and delivered for so long at most.
    pub aim: Micros,
    /// See `aim`.
    pub time: Micros,
    /// A client hands in again what it got back after this rest, so many times at most.
    pub rest: Micros,
    /// See `rest`.
    pub tries: usize,
    /// A call takes so long.
    pub call: Micros,
    /// The destination saves up its limit for so long.
    pub saves: Micros,
}

impl Terms {
    /// Notices that may wait for seconds, with clients that come again.
    #[must_use]
    pub fn patient() -> Self {
        let effect = Effect::Keyed {
            window: 12 * SECOND,
            zone_only: false,
        };
        let (aim, time, rest, tries) = (4 * SECOND, 20 * SECOND, SECOND, 3);
        Terms {
            effect,
            aim,
            time,
            rest,
            tries,
            call: 60 * MILLISECOND,
            saves: SECOND / 2,
        }
    }

    /// Debits that are wanted within three tenths of a second, with clients that come again once.
    #[must_use]
    pub fn urgent() -> Self {
        let (aim, time, rest) = (300 * MILLISECOND, 900 * MILLISECOND, 130 * MILLISECOND);
        let (call, saves) = (40 * MILLISECOND, 350 * MILLISECOND);
        Terms {
            effect: Effect::Unsafe,
            aim,
            time,
            rest,
            tries: 1,
            call,
            saves,
        }
    }
}

impl Demand {
    /// A hundred senders for 30 s: messages a second, and calls a second that are served.
    #[must_use]
    pub fn new(rate: f64, limit: f64) -> Self {
        Demand {
            senders: 100,
            rate,
            length: 30 * SECOND,
            limit,
            bundle: 1,
            clump: Micros::MAX,
            skew: 1.0,
            terms: Terms::patient(),
            destinations: 1,
            limiting: Limiting::reported(),
            table: None,
            places: 40,
            seed: 1,
        }
    }
}

/// What came of it.
#[derive(Debug, Default)]
pub struct Served {
    /// Messages handed in.
    pub handed_in: usize,
    /// Delivered within the aim, and at all.
    pub in_time: usize,
    /// See `in_time`.
    pub delivered: usize,
    /// Calls that reached the destination, and those that were refused.
    pub calls: usize,
    /// See `calls`.
    pub refused: usize,
    /// Each second since the start.
    pub seconds: Vec<Second>,
    /// For each sender, messages that came to it first and how many of them were delivered by whichever.
    pub by_sender: Vec<(usize, usize)>,
}

/// One second of all senders and destinations together.
#[derive(Debug, Default, Clone, Copy)]
pub struct Second {
    /// Messages that came first, and those that were handed back to their clients.
    pub handed_in: usize,
    /// See `handed_in`.
    pub handed_back: usize,
    /// Calls sent, and those of them that were refused.
    pub calls: usize,
    /// See `calls`.
    pub refused: usize,
    /// Messages delivered.
    pub delivered: usize,
    /// Messages that senders hold at its end.
    pub held: usize,
    /// Calls that the limits let pass.
    pub limit: f64,
}

impl Served {
    /// Calls served over what could be, the least of limit and demand, from one second up to another.
    #[must_use]
    pub fn goodput(&self, from: usize, until: usize) -> f64 {
        let (mut served, mut demand, mut limit) = (0, 0, 0.0);
        for second in self.seconds.iter().take(until).skip(from) {
            served += second.calls - second.refused;
            demand += second.handed_in;
            limit += second.limit;
        }
        served as f64 / limit.min(demand as f64).max(1.0)
    }

    /// Refused calls over all calls, from one second up to another.
    #[must_use]
    pub fn refused_share(&self, from: usize, until: usize) -> f64 {
        let part = self.seconds.iter().take(until).skip(from);
        let (refused, calls) =
            part.fold((0, 0), |sum, one| (sum.0 + one.refused, sum.1 + one.calls));
        refused as f64 / calls.max(1) as f64
    }

    /// Jain's index over the senders of the delivered part of what came to each: 1 where all parts are alike.
    #[must_use]
    pub fn fairness(&self) -> f64 {
        let parts = self.by_sender.iter().filter(|(came, _)| *came > 0);
        let parts: Vec<f64> = parts
            .map(|&(came, done)| done as f64 / came as f64)
            .collect();
        let squares: f64 = parts.iter().map(|part| part * part).sum();
        parts.iter().sum::<f64>().powi(2) / (parts.len() as f64 * squares).max(1e-9)
    }
}

/// The first destination, and others that get no message here: the places for messages are for all of them.
#[must_use]
pub fn among_others() -> Vec<EndpointEntry> {
    destinations_among_others(1)
}

/// As [`among_others`], with so many destinations that get messages.
fn destinations_among_others(number: usize) -> Vec<EndpointEntry> {
    let used = (0..number as u64)
        .map(|at| EndpointEntry::new(EndpointId(1 + at as u32), play::DESTINATION + at));
    let others = (100..116).map(|number| EndpointEntry::new(EndpointId(number), u64::from(number)));
    used.chain(others).collect()
}

fn seconds(span: Micros) -> f64 {
    span as f64 / SECOND as f64
}
