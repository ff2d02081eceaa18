//! Traffic at random from a seed against scripted endpoints of one destination, in virtual time.

use super::{
    Action, FREE, MILLISECOND, Micros, Outcome, Rig, SECOND, T0, ended, entry, message, settings,
};
use rand_pcg::Pcg32;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

/// What an endpoint does with a call: given when it comes, counted from the beginning, to which endpoint, and a roll
/// between 0 and 1; the outcome and after how long, or nothing ever.
pub(crate) type Script =
    dyn FnMut(Micros, u32, &mut dyn FnMut() -> f64) -> Option<(Outcome, Micros)>;

/// How much comes, and where it goes.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Traffic {
    /// Messages a second, at random.
    pub rate: f64,
    pub length: Micros,
    /// Wasted calls count from here.
    pub from: Micros,
    pub seed: u64,
    /// Endpoints of the destination, numbered from 1.
    pub endpoints: u32,
    /// Position of the class of all messages.
    pub class: usize,
}

impl Traffic {
    pub(crate) fn new(rate: f64, length: Micros, seed: u64) -> Self {
        Traffic {
            rate,
            length,
            from: 0,
            seed,
            endpoints: 1,
            class: FREE,
        }
    }
}

#[derive(Debug, Default)]
pub(crate) struct Seen {
    pub taken: usize,
    pub delivered: usize,
    pub calls: usize,
    /// How often the destination was taken for sick, and when first, from `from` on.
    pub sick: usize,
    pub sick_at: Option<Micros>,
    /// Calls that failed since `from`, until then.
    pub wasted: usize,
}

/// Plays the traffic, and 30 s more.
pub(crate) fn play(traffic: Traffic, script: &mut Script) -> Seen {
    let mut settings = settings(40);
    settings.max_attempts = 12;
    let entries = (1..=traffic.endpoints)
        .map(|endpoint| entry(endpoint, 7))
        .collect();
    let mut rig = Rig::new(settings, entries);
    let mut random = Pcg32::seed_from_u64(traffic.seed);
    let mut roll = move || f64::from(random.next_u32()) / f64::from(u32::MAX);
    let mut ends: BTreeMap<(Micros, u64, usize), (u32, Micros, Outcome)> = BTreeMap::new();
    let mut hung: BTreeMap<(u64, usize), Micros> = BTreeMap::new();
    let mut attempts: BTreeMap<u64, usize> = BTreeMap::new();
    let (mut next, mut id) = (T0, 0);
    // a copy may succeed too
    let mut done = BTreeSet::new();
    let mut seen = Seen::default();
    loop {
        let end = ends.keys().next().map_or(Micros::MAX, |key| key.0);
        let alarm = rig.alarms.iter().copied().min().unwrap_or(Micros::MAX);
        let at = next.min(end).min(alarm);
        if at == Micros::MAX || at > T0 + traffic.length + 30 * SECOND {
            return seen;
        }
        rig.run(at);
        if end <= at {
            let ((_, message, attempt), (endpoint, sent, outcome)) =
                ends.pop_first().expect("there is one");
            hung.remove(&(message, attempt));
            let success = outcome == Outcome::Success;
            seen.delivered += usize::from(success && done.insert(message));
            rig.tell(vec![ended(message, attempt, endpoint, outcome, at - sent)]);
        } else if next <= at {
            id += 1;
            seen.taken += 1;
            rig.tell(vec![message(id, traffic.class, 7)]);
            let gap = (-roll().max(1e-12).ln() / traffic.rate * SECOND as f64) as Micros;
            next = if at - T0 > traffic.length {
                Micros::MAX
            } else {
                at + gap.max(1)
            };
        }
        for (time, action) in rig.log.drain(..) {
            match action {
                Action::Send {
                    message,
                    endpoint,
                    expires_at: expires,
                } => {
                    let attempt = attempts.entry(message.0).or_default();
                    seen.calls += 1;
                    let fate = script(time - T0, endpoint.0, &mut roll);
                    let key = (message.0, *attempt);
                    *attempt += 1;
                    let (outcome, end) =
                        fate.map_or((Outcome::TimedOut, expires), |(o, after)| (o, time + after));
                    if fate.is_none() {
                        hung.insert(key, end);
                    }
                    ends.insert((end, key.0, key.1), (endpoint.0, time, outcome));
                    let bad = outcome != Outcome::Success;
                    seen.wasted +=
                        usize::from(seen.sick_at.is_none() && bad && time - T0 >= traffic.from);
                }
                Action::Cancel { message, attempt } => {
                    // what is answered anyway is on its way; what hangs ends by being called off
                    let Some(end) = hung.remove(&(message.0, attempt)) else {
                        continue;
                    };
                    if let Some((endpoint, sent, _)) = ends.remove(&(end, message.0, attempt)) {
                        let call = (endpoint, sent, Outcome::Cancelled);
                        ends.insert((time + MILLISECOND, message.0, attempt), call);
                    }
                }
                Action::Log(line) if line.contains("sick") && time - T0 >= traffic.from => {
                    seen.sick += 1;
                    seen.sick_at = seen.sick_at.or(Some(time - T0));
                }
                _ => {}
            }
        }
    }
}

/// A steady share of such outcomes, each after 20 ms.
pub(crate) fn noisy(
    share: f64,
    bad: Outcome,
) -> impl FnMut(Micros, u32, &mut dyn FnMut() -> f64) -> Option<(Outcome, Micros)> {
    move |_, _, roll| {
        Some((
            if roll() < share {
                bad
            } else {
                Outcome::Success
            },
            20 * MILLISECOND,
        ))
    }
}
