//! Senders before one destination that fails for a while and comes back cold, in virtual time, from a seed: how many
//! calls of all together come beyond what the settings let it take then.

use crate::turns::turn;
use milletturn_policy::{
    Action, Class, DestinationKind, Effect, EndpointEntry, EndpointId, EndpointListKind, Event,
    MILLISECOND, MessageId, Micros, NewMessage, Outcome, PastAttempt, SECOND, Sender, Settings,
};
use rand_pcg::Pcg32;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

const T0: Micros = 100 * SECOND;
const STEP: Micros = 10 * MILLISECOND;
const TIME: Micros = 20 * SECOND;
const DESTINATION: u64 = 7;
const CALL: Micros = 60 * MILLISECOND;
/// It fails for so long.
const AWAY: Micros = 10 * SECOND;

/// One return.
#[derive(Debug, Clone, Copy)]
pub struct Return {
    /// Senders of the fleet.
    pub senders: usize,
    /// Calls a second that the destination does when it is warm.
    pub capacity: f64,
    /// Messages a second over all senders, as a part of that.
    pub load: f64,
    /// How unevenly they go to the senders: 1 evenly; at 2 a tenth of the senders get a third.
    pub skew: f64,
    /// Answers tell the limit and that half of it is left.
    pub told: bool,
    /// How long it is well before it fails.
    pub well: Micros,
    /// All senders start anew in the second of the return, with what they hold.
    pub restart: bool,
    /// Of arrivals and senders.
    pub seed: u64,
}

/// What came of it.
#[derive(Debug, Clone, Copy, Default)]
pub struct Overrun {
    /// The most calls in a span beyond the settings' N, in units of the root of N.
    pub roots: f64,
    /// When that was, counted from the return.
    pub at: Micros,
    /// Whether a span had more than N + 2 x root of N + 2: it falls over.
    pub fell: bool,
    /// Calls until it is warm, as a part of the settings' N over that time.
    pub used: f64,
}

/// One call on its way: its sender in which of its lives, its message and attempt, when it was sent, how it ends.
struct Out {
    sender: usize,
    life: usize,
    message: u64,
    attempt: usize,
    sent: Micros,
    outcome: Outcome,
}

/// Plays one return.
#[must_use]
pub fn play(case: Return) -> Overrun {
    let mut settings = Settings::new(10, 40);
    (settings.senders, settings.max_attempts) = (case.senders as u32, 12);
    settings.idle_connection_timeout = 5 * SECOND;
    if case.told {
        (settings.report_remaining_index, settings.report_limit_index) = (Some(0), Some(1));
    }
    let keyed = Effect::Keyed {
        window: 12 * SECOND,
        zone_only: false,
    };
    settings
        .classes
        .push(Class::new("one", keyed, 4 * SECOND, TIME));
    settings.kinds.push(DestinationKind {
        name: "one".into(),
        separate_routes: false,
        max_batch_size: 1,
    });
    let safety = settings.safety.clone();
    let entries = vec![EndpointEntry::new(EndpointId(1), DESTINATION)];
    let listed = Event::EndpointList {
        kind: EndpointListKind::Full,
        entries,
    };
    let start = |seed| Sender::new(settings.clone(), seed).expect("settings make sense");
    let mut random = Pcg32::seed_from_u64(case.seed);
    let mut roll = move || f64::from(random.next_u32()) / f64::from(u32::MAX);
    let first = case.seed * 1000;
    let mut senders: Vec<Sender> = (0..case.senders as u64).map(|n| start(first + n)).collect();
    let mut alarms: Vec<BTreeSet<Micros>> = vec![BTreeSet::new(); case.senders];
    let mut inbox: Vec<Vec<Event>> = vec![vec![listed.clone()]; case.senders];
    // calls on their way by when they end
    let mut out: BTreeMap<Micros, Vec<Out>> = BTreeMap::new();
    let mut attempts: BTreeMap<u64, Vec<PastAttempt>> = BTreeMap::new();
    let mut held: BTreeMap<u64, (usize, Micros)> = BTreeMap::new();
    let (mut now, mut next, mut id, mut life) = (T0, T0, 0u64, 0);
    let back = T0 + case.well + AWAY;
    let (cold, span) = (safety.slow_start, safety.overload_window);
    let level = |at: Micros| {
        let warm = (at - back) as f64 / cold as f64;
        safety.initial_capacity + (1.0 - safety.initial_capacity) * warm.clamp(0.0, 1.0)
    };
    let allows = |at: Micros| case.capacity * level(at) * safety.overload_multiple * seconds(span);
    let mut lately: VecDeque<Micros> = VecDeque::new();
    let (mut seen, mut calls, mut whole) = (
        Overrun {
            roots: f64::MIN,
            ..Overrun::default()
        },
        0.0,
        0.0,
    );
    while now < back + cold {
        now += STEP;
        while next <= now {
            let rate = case.load * case.capacity;
            next += (-roll().max(1e-9).ln() / rate * SECOND as f64) as Micros;
            let to = (roll().powf(case.skew) * case.senders as f64) as usize % case.senders;
            inbox[to].push(Event::Accepted(NewMessage::new(
                MessageId(id),
                0,
                DESTINATION,
                TIME,
            )));
            held.insert(id, (to, now));
            id += 1;
        }
        let later = out.split_off(&(now + 1));
        for call in std::mem::replace(&mut out, later).into_values().flatten() {
            let Out {
                sender,
                message,
                attempt,
                sent,
                outcome,
                ..
            } = call;
            if outcome == Outcome::Success {
                held.remove(&message);
            }
            if let Some(past) = attempts
                .get_mut(&message)
                .and_then(|all| all.get_mut(attempt))
            {
                past.may_have_run = !outcome.never_ran();
            }
            if call.life == life {
                let report = match case.told && outcome == Outcome::Success {
                    true => vec![0.5, case.capacity],
                    false => vec![],
                };
                inbox[sender].push(Event::AttemptEnded {
                    message: MessageId(message),
                    attempt,
                    endpoint: EndpointId(1),
                    outcome,
                    latency: now - sent,
                    message_closed: outcome == Outcome::Success,
                    report,
                    ambiguous: false,
                });
            }
        }
        if case.restart && life == 0 && now >= back {
            life = 1;
            for index in 0..case.senders {
                senders[index] = start(first + 500 + index as u64);
                alarms[index].clear();
                inbox[index] = vec![listed.clone()];
            }
            for (&message, &(to, born)) in held.iter().filter(|(_, (_, born))| born + TIME > now) {
                let message =
                    NewMessage::new(MessageId(message), 0, DESTINATION, born + TIME - now);
                let attempts = attempts.get(&message.id.0).cloned().unwrap_or_default();
                inbox[to].push(Event::Resumed { message, attempts });
            }
        }
        for index in 0..case.senders {
            let actions = turn(
                &mut senders[index],
                &mut inbox[index],
                &mut alarms[index],
                now,
            );
            for action in actions {
                match action {
                    Action::Reject { message, .. } | Action::Fail(message) => {
                        held.remove(&message.0);
                    }
                    Action::Send {
                        message, endpoint, ..
                    } => {
                        let past = attempts.entry(message.0).or_default();
                        past.push(PastAttempt {
                            endpoint,
                            sent: now,
                            may_have_run: true,
                        });
                        let away = (T0 + case.well..back).contains(&now);
                        let outcome = if away {
                            Outcome::NoConnection
                        } else {
                            Outcome::Success
                        };
                        let (message, attempt) = (message.0, past.len() - 1);
                        let call = Out {
                            sender: index,
                            life,
                            message,
                            attempt,
                            sent: now,
                            outcome,
                        };
                        out.entry(now + CALL).or_default().push(call);
                        if now >= back {
                            lately.push_back(now);
                            calls += 1.0;
                        }
                    }
                    _ => {}
                }
            }
        }
        if now >= back {
            while lately.front().is_some_and(|&at| at <= now - span) {
                lately.pop_front();
            }
            let (n, came) = (allows(now), lately.len() as f64);
            let roots = (came - n) / n.sqrt();
            if roots > seen.roots {
                (seen.roots, seen.at) = (roots, now - back);
            }
            seen.fell |= came > n + 2.0 * n.sqrt() + 2.0;
            whole += case.capacity * level(now) * safety.overload_multiple * seconds(STEP);
        }
    }
    seen.used = calls / whole;
    seen
}

fn seconds(span: Micros) -> f64 {
    span as f64 / SECOND as f64
}
