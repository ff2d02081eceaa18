//! A hundred senders before one destination with a limit that all share, in virtual time, from a seed.

use milletturn_policy::*;
use rand_pcg::Pcg32;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

/// Longer than any demand lasts.
pub const HOUR: Micros = 3600 * SECOND;
const T0: Micros = 100 * SECOND;
const CLASS: usize = 0;
const STEP: Micros = 10 * MILLISECOND;
const DESTINATION: u64 = 7;
/// The first report comes so long after the start.
const FIRST_REPORT: Micros = 600 * MILLISECOND;
const REPORT_EVERY: Micros = 300 * MILLISECOND;

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
    pub fn patient() -> Self {
        let effect = Effect::Keyed { window: 12 * SECOND, zone_only: false };
        let (aim, time, rest, tries) = (4 * SECOND, 20 * SECOND, SECOND, 3);
        Terms { effect, aim, time, rest, tries, call: 60 * MILLISECOND, saves: SECOND / 2 }
    }

    /// Debits that are wanted within three tenths of a second, with clients that come again once.
    pub fn urgent() -> Self {
        let (aim, time, rest) = (300 * MILLISECOND, 900 * MILLISECOND, 130 * MILLISECOND);
        let (call, saves) = (40 * MILLISECOND, 350 * MILLISECOND);
        Terms { effect: Effect::Unsafe, aim, time, rest, tries: 1, call, saves }
    }
}

impl Demand {
    /// A hundred senders for 30 s: messages a second, and calls a second that are served.
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
    /// Calls in each second since the start.
    pub each_second: Vec<usize>,
}

/// One call on its way: its messages by number and attempt, and its sender and endpoint.
struct Out {
    sender: usize,
    endpoint: u32,
    sent: Micros,
    messages: Vec<(u64, usize)>,
    outcome: Outcome,
}

/// The destination, and others that get no message here: the places for messages are for all of them.
pub fn among_others() -> Vec<Entry> {
    let others = (100..116).map(|number| Entry::new(EndpointId(number), u64::from(number)));
    std::iter::once(Entry::new(EndpointId(1), DESTINATION)).chain(others).collect()
}

/// Plays the demand to its end.
pub fn play(demand: Demand) -> Served {
    let mut settings = Settings::new(10, 40);
    settings.senders = demand.senders as u32;
    settings.max_attempts = 12;
    settings.connection_idle = 5 * SECOND;
    (settings.report_left, settings.report_limit) = (Some(0), Some(1));
    let terms = demand.terms;
    settings.second_copies = terms.effect != Effect::Unsafe;
    settings.classes.push(Class::new("one", terms.effect, terms.aim, terms.time));
    settings.kinds.push(Kind { name: "one".into(), separate_routes: false, bundle_max: demand.bundle });
    let listed = Event::Listed { listing: Listing::Full, entries: among_others() };
    let mut random = Pcg32::seed_from_u64(demand.seed);
    let mut roll = move || f64::from(random.next_u32()) / f64::from(u32::MAX);
    let receiver = |roll: &mut dyn FnMut() -> f64| {
        (roll().powf(demand.skew) * demand.senders as f64) as usize % demand.senders
    };
    let start = |seed| Sender::new(settings.clone(), seed).expect("settings make sense");
    let mut senders: Vec<Sender> =
        (0..demand.senders as u64).map(|n| start(n + demand.seed * 1000)).collect();
    let mut alarms: Vec<BTreeSet<Micros>> = vec![BTreeSet::new(); demand.senders];
    let mut inbox: Vec<Vec<Event>> = vec![vec![listed]; demand.senders];
    let mut out: BTreeMap<Micros, Vec<Out>> = BTreeMap::new();
    let mut attempts: BTreeMap<u64, usize> = BTreeMap::new();
    let mut born: BTreeMap<u64, Micros> = BTreeMap::new();
    let mut served = Served::default();
    let depth = (demand.limit * seconds(terms.saves)).max(1.0);
    let (mut tokens, mut report, mut reported_at) = (depth, 1.0, T0);
    let (mut now, mut next, mut id) = (T0, T0, 0);
    // messages that clients will hand in again, with how often they have
    let mut again: BTreeMap<Micros, Vec<u64>> = BTreeMap::new();
    let mut turned_away: BTreeMap<u64, usize> = BTreeMap::new();
    while now < T0 + demand.length + terms.time {
        now += STEP;
        tokens = (tokens + demand.limit * seconds(STEP)).min(depth);
        if now - reported_at >= REPORT_EVERY {
            (report, reported_at) = (tokens / depth, now);
        }
        while next <= now && now < T0 + demand.length {
            let clumped = (0..SECOND).contains(&(now - T0 - demand.clump.min(HOUR)));
            let rate = demand.rate * if clumped { 5.0 } else { 1.0 };
            next += (-roll().max(1e-9).ln() / rate * SECOND as f64) as Micros;
            let message = NewMessage::new(MessageId(id), CLASS, DESTINATION, terms.time);
            inbox[receiver(&mut roll)].push(Event::Accepted(message));
            born.insert(id, now);
            id += 1;
        }
        let later = again.split_off(&(now + 1));
        for message in std::mem::replace(&mut again, later).into_values().flatten() {
            let Some(left) = born.get(&message).map(|at| at + terms.time - now).filter(|left| *left > 0)
            else {
                continue;
            };
            attempts.remove(&message);
            let new = NewMessage::new(MessageId(message), CLASS, DESTINATION, left);
            let new = NewMessage { again: true, ..new };
            inbox[receiver(&mut roll)].push(Event::Accepted(new));
        }
        let later = out.split_off(&(now + 1));
        for call in std::mem::replace(&mut out, later).into_values().flatten() {
            for (message, attempt) in call.messages {
                let told = if now < T0 + FIRST_REPORT { vec![] } else { vec![report, demand.limit] };
                inbox[call.sender].push(Event::Ended {
                    message: MessageId(message),
                    attempt,
                    endpoint: EndpointId(call.endpoint),
                    outcome: call.outcome,
                    latency: now - call.sent,
                    closed: call.outcome == Outcome::Success,
                    report: told,
                });
                let success = call.outcome == Outcome::Success;
                if let Some(at) = success.then(|| born.remove(&message)).flatten() {
                    served.delivered += 1;
                    served.in_time += usize::from(now - at <= terms.aim);
                }
            }
        }
        for index in 0..demand.senders {
            let events = std::mem::take(&mut inbox[index]);
            let rings = alarms[index].first().is_some_and(|&at| at <= now);
            if events.is_empty() && !rings {
                continue;
            }
            alarms[index] = alarms[index].split_off(&(now + 1));
            let mut actions = Vec::new();
            senders[index].handle(now, &events, &mut actions);
            let mut sent: BTreeMap<u32, Vec<(u64, usize)>> = BTreeMap::new();
            for action in actions {
                match action {
                    Action::SetAlarm(at) => drop(alarms[index].insert(at)),
                    Action::Refuse { message, .. } => {
                        let times = turned_away.entry(message.0).or_default();
                        *times += 1;
                        if *times <= terms.tries {
                            again.entry(now + terms.rest).or_default().push(message.0);
                        }
                    }
                    Action::Send { message, endpoint, .. } => {
                        let attempt = attempts.entry(message.0).or_default();
                        sent.entry(endpoint.0).or_default().push((message.0, *attempt));
                        *attempt += 1;
                    }
                    _ => {}
                }
            }
            for (endpoint, messages) in sent {
                let second = ((now - T0) / SECOND) as usize;
                served.each_second.resize(served.each_second.len().max(second + 1), 0);
                served.each_second[second] += 1;
                served.calls += 1;
                let outcome = match tokens >= 1.0 {
                    true => Outcome::Success,
                    false => Outcome::Refused { wait: None },
                };
                served.refused += usize::from(matches!(outcome, Outcome::Refused { .. }));
                tokens = (tokens - 1.0).max(-depth);
                let call = Out { sender: index, endpoint, sent: now, messages, outcome };
                out.entry(now + terms.call).or_default().push(call);
            }
        }
    }
    served.handed_in = id as usize;
    served
}

fn seconds(span: Micros) -> f64 {
    span as f64 / SECOND as f64
}
