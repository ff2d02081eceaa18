//! Simulates a fleet of senders with one destination that fails for a while and recovers into its slow start, in
//! virtual time and from a seed. Measures by how much the calls of all senders together exceed the capacity that the
//! settings assume during the slow start.

use crate::turns::run_turn;
use milletturn_policy::{
    Action, Class, DestinationKind, Effect, EndpointEntry, EndpointId, EndpointListKind, Event,
    MILLISECOND, MessageId, Micros, NewMessage, Outcome, PastAttempt, SECOND, Sender, Settings,
};
use rand_pcg::Pcg32;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

const START: Micros = 100 * SECOND;
const STEP: Micros = 10 * MILLISECOND;
const TIME_TO_LIVE: Micros = 20 * SECOND;
const DESTINATION: u64 = 7;
const CALL_DURATION: Micros = 60 * MILLISECOND;
/// How long the destination fails.
const OUTAGE: Micros = 10 * SECOND;

/// One outage and recovery of the destination.
#[derive(Debug, Clone, Copy)]
pub struct RecoveryScenario {
    /// Number of senders in the fleet.
    pub sender_count: usize,
    /// Calls per second that the destination can process at full capacity.
    pub capacity_per_s: f64,
    /// Message rate of all senders together, as a fraction of `capacity_per_s`.
    pub load_ratio: f64,
    /// How unevenly messages are spread over the senders: 1 is even, and with 2 a tenth of the senders gets a third of
    /// the messages.
    pub skew: f64,
    /// Whether responses report the rate limit, and that half of it is left.
    pub reports_limit: bool,
    /// How long the destination is healthy before it fails.
    pub healthy_time: Micros,
    /// Whether all senders restart when the destination recovers, and resume their pending messages.
    pub restarts_on_recovery: bool,
    /// Seed of the arrivals and of the senders.
    pub seed: u64,
}

/// Load on the destination during its slow start.
#[derive(Debug, Clone, Copy, Default)]
pub struct RecoveryResult {
    /// Largest excess of the calls in one overload window over the number N that the settings allow in it, in units of
    /// the square root of N.
    pub max_normalized_excess: f64,
    /// When the largest excess occurred, counted from the recovery.
    pub max_excess_at: Micros,
    /// Whether an overload window had more than N + 2 x sqrt(N) + 2 calls, at which the destination collapses. N is the
    /// number of calls that the settings allow in the window.
    pub collapsed: bool,
    /// Calls during the slow start, as a fraction of those that the settings allow in that time.
    pub capacity_used: f64,
}

/// A call in flight.
struct CallInFlight {
    sender: usize,
    /// Process incarnation of the sender that made the call, counted from 0.
    incarnation: usize,
    message: u64,
    attempt: usize,
    sent: Micros,
    outcome: Outcome,
}

/// Simulates one outage and recovery.
#[must_use]
pub fn simulate(scenario: RecoveryScenario) -> RecoveryResult {
    let mut settings = Settings::new(10, 40);
    (settings.senders, settings.max_attempts) = (scenario.sender_count as u32, 12);
    settings.idle_connection_timeout = 5 * SECOND;
    if scenario.reports_limit {
        (settings.report_remaining_index, settings.report_limit_index) = (Some(0), Some(1));
    }
    let keyed = Effect::Keyed {
        window: 12 * SECOND,
        zone_only: false,
    };
    settings
        .classes
        .push(Class::new("one", keyed, 4 * SECOND, TIME_TO_LIVE));
    settings.kinds.push(DestinationKind {
        name: "one".into(),
        separate_routes: false,
        max_batch_size: 1,
    });
    let safety = settings.safety.clone();
    let entries = vec![EndpointEntry::new(EndpointId(1), DESTINATION)];
    let endpoint_list = Event::EndpointList {
        list_kind: EndpointListKind::Full,
        entries,
    };
    let start = |seed| Sender::new(settings.clone(), seed).expect("valid settings");
    let mut random = Pcg32::seed_from_u64(scenario.seed);
    let mut random_fraction = move || f64::from(random.next_u32()) / f64::from(u32::MAX);
    let first_seed = scenario.seed * 1000;
    let mut senders: Vec<Sender> = (0..scenario.sender_count as u64)
        .map(|n| start(first_seed + n))
        .collect();
    let mut alarms: Vec<BTreeSet<Micros>> = vec![BTreeSet::new(); scenario.sender_count];
    let mut inboxes: Vec<Vec<Event>> = vec![vec![endpoint_list.clone()]; scenario.sender_count];
    // calls in flight by the time at which they end
    let mut calls_in_flight: BTreeMap<Micros, Vec<CallInFlight>> = BTreeMap::new();
    let mut attempts: BTreeMap<u64, Vec<PastAttempt>> = BTreeMap::new();
    let mut pending: BTreeMap<u64, (usize, Micros)> = BTreeMap::new();
    let (mut now, mut next_arrival, mut next_id, mut incarnation) = (START, START, 0u64, 0);
    let recovery = START + scenario.healthy_time + OUTAGE;
    let (slow_start_time, span) = (safety.slow_start, safety.overload_window);
    let capacity_level = |at: Micros| {
        let elapsed_fraction = (at - recovery) as f64 / slow_start_time as f64;
        safety.initial_capacity + (1.0 - safety.initial_capacity) * elapsed_fraction.clamp(0.0, 1.0)
    };
    let calls_allowed = |at: Micros| {
        scenario.capacity_per_s * capacity_level(at) * safety.overload_multiple * seconds(span)
    };
    let mut recent_calls: VecDeque<Micros> = VecDeque::new();
    let (mut result, mut calls, mut allowed_calls) = (
        RecoveryResult {
            max_normalized_excess: f64::MIN,
            ..RecoveryResult::default()
        },
        0.0,
        0.0,
    );
    while now < recovery + slow_start_time {
        now += STEP;
        while next_arrival <= now {
            let rate = scenario.load_ratio * scenario.capacity_per_s;
            next_arrival += (-random_fraction().max(1e-9).ln() / rate * SECOND as f64) as Micros;
            let receiver = (random_fraction().powf(scenario.skew) * scenario.sender_count as f64)
                as usize
                % scenario.sender_count;
            inboxes[receiver].push(Event::Accepted(NewMessage::new(
                MessageId(next_id),
                0,
                DESTINATION,
                TIME_TO_LIVE,
            )));
            pending.insert(next_id, (receiver, now));
            next_id += 1;
        }
        let still_in_flight = calls_in_flight.split_off(&(now + 1));
        for call in std::mem::replace(&mut calls_in_flight, still_in_flight)
            .into_values()
            .flatten()
        {
            let CallInFlight {
                sender,
                message,
                attempt,
                sent,
                outcome,
                ..
            } = call;
            if outcome == Outcome::Success {
                pending.remove(&message);
            }
            if let Some(past_attempt) = attempts
                .get_mut(&message)
                .and_then(|all| all.get_mut(attempt))
            {
                past_attempt.may_have_run = !outcome.never_ran();
            }
            if call.incarnation == incarnation {
                let report = match scenario.reports_limit && outcome == Outcome::Success {
                    true => vec![0.5, scenario.capacity_per_s],
                    false => vec![],
                };
                inboxes[sender].push(Event::AttemptEnded {
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
        if scenario.restarts_on_recovery && incarnation == 0 && now >= recovery {
            incarnation = 1;
            for index in 0..scenario.sender_count {
                senders[index] = start(first_seed + 500 + index as u64);
                alarms[index].clear();
                inboxes[index] = vec![endpoint_list.clone()];
            }
            for (&message, &(receiver, accepted_at)) in pending
                .iter()
                .filter(|(_, (_, accepted_at))| accepted_at + TIME_TO_LIVE > now)
            {
                let message = NewMessage::new(
                    MessageId(message),
                    0,
                    DESTINATION,
                    accepted_at + TIME_TO_LIVE - now,
                );
                let attempts = attempts.get(&message.id.0).cloned().unwrap_or_default();
                inboxes[receiver].push(Event::Resumed { message, attempts });
            }
        }
        for index in 0..scenario.sender_count {
            let actions = run_turn(
                &mut senders[index],
                &mut inboxes[index],
                &mut alarms[index],
                now,
            );
            for action in actions {
                match action {
                    Action::Reject { message, .. } | Action::Fail(message) => {
                        pending.remove(&message.0);
                    }
                    Action::Send {
                        message, endpoint, ..
                    } => {
                        let past_attempts = attempts.entry(message.0).or_default();
                        past_attempts.push(PastAttempt {
                            endpoint,
                            sent_at: now,
                            may_have_run: true,
                        });
                        let is_down = (START + scenario.healthy_time..recovery).contains(&now);
                        let outcome = if is_down {
                            Outcome::NoConnection
                        } else {
                            Outcome::Success
                        };
                        let (message, attempt) = (message.0, past_attempts.len() - 1);
                        let call = CallInFlight {
                            sender: index,
                            incarnation,
                            message,
                            attempt,
                            sent: now,
                            outcome,
                        };
                        calls_in_flight
                            .entry(now + CALL_DURATION)
                            .or_default()
                            .push(call);
                        if now >= recovery {
                            recent_calls.push_back(now);
                            calls += 1.0;
                        }
                    }
                    _ => {}
                }
            }
        }
        if now >= recovery {
            while recent_calls.front().is_some_and(|&at| at <= now - span) {
                recent_calls.pop_front();
            }
            let (allowed, call_count) = (calls_allowed(now), recent_calls.len() as f64);
            let normalized_excess = (call_count - allowed) / allowed.sqrt();
            if normalized_excess > result.max_normalized_excess {
                (result.max_normalized_excess, result.max_excess_at) =
                    (normalized_excess, now - recovery);
            }
            result.collapsed |= call_count > allowed + 2.0 * allowed.sqrt() + 2.0;
            allowed_calls += scenario.capacity_per_s
                * capacity_level(now)
                * safety.overload_multiple
                * seconds(STEP);
        }
    }
    result.capacity_used = calls / allowed_calls;
    result
}

fn seconds(span: Micros) -> f64 {
    span as f64 / SECOND as f64
}
