//! Simulates, in virtual time and from a seed, messages that arrive at random times for one destination with scripted
//! endpoints.

use super::{
    Action, Harness, MILLISECOND, Micros, Outcome, REPEATABLE, SECOND, START, ended, entry,
    message, settings,
};
use rand_pcg::Pcg32;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

/// Decides how a call ends. Its arguments are the call's start, counted from the start of the simulation, the endpoint,
/// and a source of random numbers between 0 and 1. Returns the outcome and the time until it is known, or `None` if the
/// endpoint never responds.
pub(crate) type Script =
    dyn FnMut(Micros, u32, &mut dyn FnMut() -> f64) -> Option<(Outcome, Micros)>;

/// Rate, duration and destination of the messages.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Traffic {
    /// Mean arrival rate of messages, which arrive at random times.
    pub messages_per_s: f64,
    /// Time during which messages arrive.
    pub duration: Micros,
    /// Time after the start at which the counts of wasted calls and ejections begin.
    pub measured_from: Micros,
    pub seed: u64,
    /// Number of endpoints of the destination. Their ids are 1 to this number.
    pub endpoint_count: u32,
    /// Position of the class to which all messages belong.
    pub class: usize,
}

impl Traffic {
    pub(crate) fn new(messages_per_s: f64, duration: Micros, seed: u64) -> Self {
        Traffic {
            messages_per_s,
            duration,
            measured_from: 0,
            seed,
            endpoint_count: 1,
            class: REPEATABLE,
        }
    }
}

#[derive(Debug, Default)]
pub(crate) struct TrafficResult {
    pub accepted: usize,
    pub delivered: usize,
    pub calls: usize,
    /// How often the destination was ejected since `Traffic::measured_from`.
    pub ejections: usize,
    /// Time of the first ejection since `Traffic::measured_from`, counted from the start of the simulation.
    pub first_ejected_at: Option<Micros>,
    /// Failing calls that were sent between `Traffic::measured_from` and the first ejection.
    pub wasted_calls: usize,
}

/// Simulates the traffic and the 30 s after it.
pub(crate) fn simulate_traffic(traffic: Traffic, script: &mut Script) -> TrafficResult {
    let mut settings = settings(40);
    settings.max_attempts = 12;
    let entries = (1..=traffic.endpoint_count)
        .map(|endpoint| entry(endpoint, 7))
        .collect();
    let mut harness = Harness::new(settings, entries);
    let mut random = Pcg32::seed_from_u64(traffic.seed);
    let mut random_fraction = move || f64::from(random.next_u32()) / f64::from(u32::MAX);
    let mut pending_ends: BTreeMap<(Micros, u64, usize), (u32, Micros, Outcome)> = BTreeMap::new();
    let mut unresponsive: BTreeMap<(u64, usize), Micros> = BTreeMap::new();
    let mut attempts: BTreeMap<u64, usize> = BTreeMap::new();
    let (mut next_arrival, mut last_id) = (START, 0);
    // a message that is delivered by its first call and by a hedged request counts once
    let mut delivered = BTreeSet::new();
    let mut result = TrafficResult::default();
    loop {
        let end = pending_ends.keys().next().map_or(Micros::MAX, |key| key.0);
        let alarm = harness.alarms.iter().copied().min().unwrap_or(Micros::MAX);
        let at = next_arrival.min(end).min(alarm);
        if at == Micros::MAX || at > START + traffic.duration + 30 * SECOND {
            return result;
        }
        harness.run_until(at);
        if end <= at {
            let ((_, message, attempt), (endpoint, sent, outcome)) =
                pending_ends.pop_first().expect("there is one");
            unresponsive.remove(&(message, attempt));
            let success = outcome == Outcome::Success;
            result.delivered += usize::from(success && delivered.insert(message));
            harness.handle(vec![ended(message, attempt, endpoint, outcome, at - sent)]);
        } else if next_arrival <= at {
            last_id += 1;
            result.accepted += 1;
            harness.handle(vec![message(last_id, traffic.class, 7)]);
            let gap = (-random_fraction().max(1e-12).ln() / traffic.messages_per_s * SECOND as f64)
                as Micros;
            next_arrival = if at - START > traffic.duration {
                Micros::MAX
            } else {
                at + gap.max(1)
            };
        }
        for (time, action) in harness.action_log.drain(..) {
            match action {
                Action::Send {
                    message,
                    endpoint,
                    expires_at,
                } => {
                    let attempt = attempts.entry(message.0).or_default();
                    result.calls += 1;
                    let scripted_end = script(time - START, endpoint.0, &mut random_fraction);
                    let key = (message.0, *attempt);
                    *attempt += 1;
                    let (outcome, end) = scripted_end
                        .map_or((Outcome::TimedOut, expires_at), |(o, after)| {
                            (o, time + after)
                        });
                    if scripted_end.is_none() {
                        unresponsive.insert(key, end);
                    }
                    pending_ends.insert((end, key.0, key.1), (endpoint.0, time, outcome));
                    let is_failure = outcome != Outcome::Success;
                    result.wasted_calls += usize::from(
                        result.first_ejected_at.is_none()
                            && is_failure
                            && time - START >= traffic.measured_from,
                    );
                }
                Action::Cancel { message, attempt } => {
                    // a cancelled call ends with its scripted response, if it has one, and otherwise as cancelled
                    let Some(end) = unresponsive.remove(&(message.0, attempt)) else {
                        continue;
                    };
                    if let Some((endpoint, sent, _)) =
                        pending_ends.remove(&(end, message.0, attempt))
                    {
                        let call = (endpoint, sent, Outcome::Cancelled);
                        pending_ends.insert((time + MILLISECOND, message.0, attempt), call);
                    }
                }
                Action::Log(text)
                    if text.contains("sick") && time - START >= traffic.measured_from =>
                {
                    result.ejections += 1;
                    result.first_ejected_at = result.first_ejected_at.or(Some(time - START));
                }
                _ => {}
            }
        }
    }
}

/// Endpoints at which a constant share of the calls fails with this outcome. Each call ends after 20 ms.
pub(crate) fn random_failures(
    share: f64,
    failure: Outcome,
) -> impl FnMut(Micros, u32, &mut dyn FnMut() -> f64) -> Option<(Outcome, Micros)> {
    move |_, _, random_fraction| {
        Some((
            if random_fraction() < share {
                failure
            } else {
                Outcome::Success
            },
            20 * MILLISECOND,
        ))
    }
}
