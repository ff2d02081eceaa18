//! The play: decision modules whole, arrivals, clients that come again, and answers on their way.

use super::limit::Limit;
use super::table::{Table, destination_of};
use super::{Demand, HOUR, Second, Served, destinations_among_others, seconds};
use crate::turns::turn;
use milletturn_policy::{
    Action, Class, DestinationKind, Effect, EndpointId, EndpointListKind, Event, MILLISECOND,
    MessageId, Micros, NewMessage, Outcome, SECOND, Sender, Settings,
};
use rand_pcg::Pcg32;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

const T0: Micros = 100 * SECOND;
const CLASS: usize = 0;
const STEP: Micros = 10 * MILLISECOND;
pub(super) const DESTINATION: u64 = 7;
/// The first report comes so long after the start.
const FIRST_REPORT: Micros = 600 * MILLISECOND;
const REPORT_EVERY: Micros = 300 * MILLISECOND;
/// Idle connections close by themselves after this.
const IDLE: Micros = 5 * SECOND;
/// How unevenly messages go to several destinations.
const UNEVEN: f64 = 0.8;

/// One call on its way: its messages by number and attempt, its sender and destination.
struct Out {
    sender: usize,
    to: usize,
    sent: Micros,
    messages: Vec<(u64, usize)>,
    outcome: Outcome,
    /// It has a connection.
    connected: bool,
}

/// A message that has not been delivered.
struct Waiting {
    born: Micros,
    to: usize,
    first: usize,
    /// How often its client got it back.
    times: usize,
    /// Attempts of the sender that has it.
    attempts: usize,
}

/// Plays the demand to its end.
#[must_use]
pub fn play(demand: Demand) -> Served {
    let mut settings = Settings::new(10, demand.places);
    settings.senders = demand.senders as u32;
    settings.max_attempts = 12;
    settings.idle_connection_timeout = IDLE;
    if demand.limiting.reports {
        (settings.report_remaining_index, settings.report_limit_index) = (Some(0), Some(1));
    }
    let terms = demand.terms;
    settings.hedging_enabled = terms.effect != Effect::Unsafe;
    settings
        .classes
        .push(Class::new("one", terms.effect, terms.aim, terms.time));
    settings.kinds.push(DestinationKind {
        name: "one".into(),
        separate_routes: false,
        max_batch_size: demand.bundle,
    });
    let entries = destinations_among_others(demand.destinations);
    let listed = Event::EndpointList {
        kind: EndpointListKind::Full,
        entries,
    };
    let mut random = Pcg32::seed_from_u64(demand.seed);
    let mut roll = move || f64::from(random.next_u32()) / f64::from(u32::MAX);
    let receiver = |roll: &mut dyn FnMut() -> f64| {
        (roll().powf(demand.skew) * demand.senders as f64) as usize % demand.senders
    };
    let start = |seed| Sender::new(settings.clone(), seed).expect("settings make sense");
    let mut senders: Vec<Sender> = (0..demand.senders as u64)
        .map(|n| start(n + demand.seed * 1000))
        .collect();
    let mut alarms: Vec<BTreeSet<Micros>> = vec![BTreeSet::new(); demand.senders];
    let mut inbox: Vec<Vec<Event>> = vec![vec![listed]; demand.senders];
    let mut out: BTreeMap<Micros, Vec<Out>> = BTreeMap::new();
    let mut waiting: BTreeMap<u64, Waiting> = BTreeMap::new();
    let mut held: BTreeSet<u64> = BTreeSet::new();
    let mut served = Served {
        by_sender: vec![(0, 0); demand.senders],
        ..Served::default()
    };
    // each destination's part of messages and limit, and all up to it
    let parts: Vec<f64> = (1..=demand.destinations)
        .map(|at| (at as f64).powf(-UNEVEN))
        .collect();
    let whole: f64 = parts.iter().sum();
    let fresh = |(at, part): (usize, &f64)| {
        let rate = demand.limit * part / whole;
        Limit::new(
            demand.limiting,
            rate,
            terms.saves,
            T0,
            demand.seed * 100 + at as u64,
        )
    };
    let mut limits: Vec<Limit> = parts.iter().enumerate().map(fresh).collect();
    let mut tables: Vec<Table> = parts
        .iter()
        .map(|_| Table::new(demand.table.unwrap_or(usize::MAX), IDLE))
        .collect();
    let mut reports = vec![1.0; demand.destinations];
    let (mut now, mut next, mut id, mut reported_at) = (T0, T0, 0, T0);
    // messages that clients will hand in again
    let mut again: BTreeMap<Micros, Vec<u64>> = BTreeMap::new();
    while now < T0 + demand.length + terms.time {
        now += STEP;
        let since = now - T0;
        let at = ((since - 1) / SECOND) as usize;
        served
            .seconds
            .resize(served.seconds.len().max(at + 1), Second::default());
        for limit in &mut limits {
            limit.pass(now, since, STEP);
            served.seconds[at].limit += limit.rate(since) * seconds(STEP);
        }
        if now - reported_at >= REPORT_EVERY {
            reports
                .iter_mut()
                .zip(&limits)
                .for_each(|(report, limit)| *report = limit.left(since));
            reported_at = now;
        }
        while next <= now && now < T0 + demand.length {
            let clumped = (0..SECOND).contains(&(now - T0 - demand.clump.min(HOUR)));
            let rate = demand.rate * if clumped { 5.0 } else { 1.0 };
            next += (-roll().max(1e-9).ln() / rate * SECOND as f64) as Micros;
            let mut to = 0;
            if demand.destinations > 1 {
                let mut left = roll() * whole;
                while to + 1 < parts.len() && left >= parts[to] {
                    left -= parts[to];
                    to += 1;
                }
            }
            let first = receiver(&mut roll);
            let message =
                NewMessage::new(MessageId(id), CLASS, DESTINATION + to as u64, terms.time);
            inbox[first].push(Event::Accepted(message));
            waiting.insert(
                id,
                Waiting {
                    born: now,
                    to,
                    first,
                    times: 0,
                    attempts: 0,
                },
            );
            held.insert(id);
            served.by_sender[first].0 += 1;
            served.seconds[at].handed_in += 1;
            id += 1;
        }
        let later = again.split_off(&(now + 1));
        for message in std::mem::replace(&mut again, later).into_values().flatten() {
            let Some(known) = waiting.get_mut(&message) else {
                continue;
            };
            let left = known.born + terms.time - now;
            if left <= 0 {
                continue;
            }
            known.attempts = 0;
            let new = NewMessage::new(
                MessageId(message),
                CLASS,
                DESTINATION + known.to as u64,
                left,
            );
            let new = NewMessage {
                resubmitted: true,
                ..new
            };
            inbox[receiver(&mut roll)].push(Event::Accepted(new));
            held.insert(message);
        }
        let later = out.split_off(&(now + 1));
        for call in std::mem::replace(&mut out, later).into_values().flatten() {
            let success = call.outcome == Outcome::Success;
            if call.connected {
                tables[call.to].give_back(call.sender, now);
            }
            let tells = call.connected && demand.limiting.reports && now >= T0 + FIRST_REPORT;
            for (message, attempt) in call.messages {
                let limit = limits[call.to].rate(since);
                let report = if tells {
                    vec![reports[call.to], limit]
                } else {
                    vec![]
                };
                inbox[call.sender].push(Event::AttemptEnded {
                    message: MessageId(message),
                    attempt,
                    endpoint: EndpointId(1 + call.to as u32),
                    outcome: call.outcome,
                    latency: now - call.sent,
                    message_closed: success,
                    report,
                    ambiguous: false,
                });
                if let Some(known) = success.then(|| waiting.remove(&message)).flatten() {
                    held.remove(&message);
                    served.delivered += 1;
                    served.in_time += usize::from(now - known.born <= terms.aim);
                    served.by_sender[known.first].1 += 1;
                    served.seconds[at].delivered += 1;
                }
            }
        }
        for index in 0..demand.senders {
            let actions = turn(
                &mut senders[index],
                &mut inbox[index],
                &mut alarms[index],
                now,
            );
            let mut sent: BTreeMap<usize, Vec<(u64, usize)>> = BTreeMap::new();
            for action in actions {
                match action {
                    Action::Reject { message, .. } => {
                        held.remove(&message.0);
                        served.seconds[at].handed_back += 1;
                        let Some(known) = waiting.get_mut(&message.0) else {
                            continue;
                        };
                        known.times += 1;
                        if known.times <= terms.tries {
                            again.entry(now + terms.rest).or_default().push(message.0);
                        }
                    }
                    Action::Fail(message) => _ = held.remove(&message.0),
                    Action::Send {
                        message, endpoint, ..
                    } => {
                        let Some(known) = waiting.get_mut(&message.0) else {
                            continue;
                        };
                        sent.entry(destination_of(endpoint))
                            .or_default()
                            .push((message.0, known.attempts));
                        known.attempts += 1;
                    }
                    Action::CloseIdleConnections(endpoint) => {
                        tables
                            .get_mut(destination_of(endpoint))
                            .into_iter()
                            .for_each(|t| t.close(index));
                    }
                    _ => {}
                }
            }
            let calls = sent.into_iter().flat_map(|(to, messages)| {
                let calls: Vec<_> = messages.chunks(demand.bundle).map(<[_]>::to_vec).collect();
                calls.into_iter().map(move |messages| (to, messages))
            });
            for (to, messages) in calls {
                let connected = tables[to].take(index, now);
                let outcome = match connected {
                    true => limits[to].call(since),
                    false => Outcome::Rejected { retry_after: None },
                };
                let refused = usize::from(matches!(outcome, Outcome::Rejected { .. }));
                served.calls += 1;
                served.refused += refused;
                served.seconds[at].calls += 1;
                served.seconds[at].refused += refused;
                let call = Out {
                    sender: index,
                    to,
                    sent: now,
                    messages,
                    outcome,
                    connected,
                };
                out.entry(now + terms.call).or_default().push(call);
            }
        }
        served.seconds[at].held = held.len();
    }
    served.handed_in = id as usize;
    served
}
