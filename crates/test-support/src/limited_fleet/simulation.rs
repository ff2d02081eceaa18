//! Runs a scenario with complete decision modules, arriving messages, clients that resubmit, and calls in flight.

use super::connection_table::{ConnectionTable, destination_index};
use super::rate_limit::RateLimit;
use super::{HOUR, Scenario, ScenarioResult, SecondFigures, among_idle_destinations, seconds};
use crate::turns::run_turn;
use milletturn_policy::{
    Action, Class, DestinationKind, Effect, EndpointId, EndpointListKind, Event, MILLISECOND,
    MessageId, Micros, NewMessage, Outcome, SECOND, Sender, Settings,
};
use rand_pcg::Pcg32;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

const START: Micros = 100 * SECOND;
const CLASS: usize = 0;
const STEP: Micros = 10 * MILLISECOND;
pub(super) const DESTINATION: u64 = 7;
/// Responses begin to carry load reports this long after the start.
const FIRST_REPORT_AFTER: Micros = 600 * MILLISECOND;
/// Interval at which the remaining share in load reports is updated.
const REPORT_INTERVAL: Micros = 300 * MILLISECOND;
/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Micros = 5 * SECOND;
/// The n-th destination has a share of the messages and of the limit proportional to n to the power of minus this.
const DESTINATION_SKEW: f64 = 0.8;

/// A call in flight.
struct CallInFlight {
    sender: usize,
    destination: usize,
    sent: Micros,
    /// Each message's number and attempt.
    messages: Vec<(u64, usize)>,
    outcome: Outcome,
    /// Whether the destination accepted a connection for the call.
    is_connected: bool,
}

/// A message that was submitted and has not been delivered, whether it is pending, was returned or has failed.
struct UndeliveredMessage {
    accepted_at: Micros,
    destination: usize,
    /// Index of the sender to which the message was first submitted.
    first_sender: usize,
    /// How often the message was returned to its client.
    return_count: usize,
    /// Attempts by the sender to which the message was last submitted.
    attempts: usize,
}

/// Runs the scenario until every message has been delivered or has expired.
#[must_use]
pub fn simulate(scenario: Scenario) -> ScenarioResult {
    let mut settings = Settings::new(10, scenario.max_pending);
    settings.senders = scenario.sender_count as u32;
    settings.max_attempts = 12;
    settings.idle_connection_timeout = IDLE_TIMEOUT;
    if scenario.limit_policy.reports_limit {
        (settings.report_remaining_index, settings.report_limit_index) = (Some(0), Some(1));
    }
    let profile = scenario.profile;
    settings.hedging_enabled = profile.effect != Effect::Unsafe;
    settings.classes.push(Class::new(
        "one",
        profile.effect,
        profile.latency_objective,
        profile.time_to_live,
    ));
    settings.kinds.push(DestinationKind {
        name: "one".into(),
        separate_routes: false,
        max_batch_size: scenario.max_batch_size,
    });
    let entries = among_idle_destinations(scenario.destination_count);
    let endpoint_list = Event::EndpointList {
        list_kind: EndpointListKind::Full,
        entries,
    };
    let mut random = Pcg32::seed_from_u64(scenario.seed);
    let mut random_fraction = move || f64::from(random.next_u32()) / f64::from(u32::MAX);
    let draw_sender = |random_fraction: &mut dyn FnMut() -> f64| {
        (random_fraction().powf(scenario.skew) * scenario.sender_count as f64) as usize
            % scenario.sender_count
    };
    let start = |seed| Sender::new(settings.clone(), seed).expect("valid settings");
    let mut senders: Vec<Sender> = (0..scenario.sender_count as u64)
        .map(|n| start(n + scenario.seed * 1000))
        .collect();
    let mut alarms: Vec<BTreeSet<Micros>> = vec![BTreeSet::new(); scenario.sender_count];
    let mut inboxes: Vec<Vec<Event>> = vec![vec![endpoint_list]; scenario.sender_count];
    let mut calls_in_flight: BTreeMap<Micros, Vec<CallInFlight>> = BTreeMap::new();
    let mut undelivered: BTreeMap<u64, UndeliveredMessage> = BTreeMap::new();
    let mut pending: BTreeSet<u64> = BTreeSet::new();
    let mut result = ScenarioResult {
        by_sender: vec![(0, 0); scenario.sender_count],
        ..ScenarioResult::default()
    };
    // each destination's share of the messages and of the limit, as a weight
    let weights: Vec<f64> = (1..=scenario.destination_count)
        .map(|at| (at as f64).powf(-DESTINATION_SKEW))
        .collect();
    let total_weight: f64 = weights.iter().sum();
    let new_limit = |(index, weight): (usize, &f64)| {
        let calls_per_s = scenario.calls_per_s * weight / total_weight;
        RateLimit::new(
            scenario.limit_policy,
            calls_per_s,
            profile.fill_time,
            START,
            scenario.seed * 100 + index as u64,
        )
    };
    let mut limits: Vec<RateLimit> = weights.iter().enumerate().map(new_limit).collect();
    let mut connection_tables: Vec<ConnectionTable> = weights
        .iter()
        .map(|_| ConnectionTable::new(scenario.max_connections.unwrap_or(usize::MAX), IDLE_TIMEOUT))
        .collect();
    let mut reported_shares = vec![1.0; scenario.destination_count];
    let (mut now, mut next_arrival, mut next_id, mut reported_at) = (START, START, 0, START);
    // messages that clients will submit again, by the time of the resubmission
    let mut resubmissions: BTreeMap<Micros, Vec<u64>> = BTreeMap::new();
    while now < START + scenario.duration + profile.time_to_live {
        now += STEP;
        let elapsed = now - START;
        let second = ((elapsed - 1) / SECOND) as usize;
        result.seconds.resize(
            result.seconds.len().max(second + 1),
            SecondFigures::default(),
        );
        for limit in &mut limits {
            limit.advance(now, elapsed, STEP);
            result.seconds[second].allowed_calls += limit.rate_at(elapsed) * seconds(STEP);
        }
        if now - reported_at >= REPORT_INTERVAL {
            reported_shares
                .iter_mut()
                .zip(&limits)
                .for_each(|(share, limit)| *share = limit.remaining_share(elapsed));
            reported_at = now;
        }
        while next_arrival <= now && now < START + scenario.duration {
            let is_burst = (0..SECOND).contains(&(now - START - scenario.burst_at.min(HOUR)));
            let rate = scenario.messages_per_s * if is_burst { 5.0 } else { 1.0 };
            next_arrival += (-random_fraction().max(1e-9).ln() / rate * SECOND as f64) as Micros;
            let mut destination = 0;
            if scenario.destination_count > 1 {
                let mut remaining_weight = random_fraction() * total_weight;
                while destination + 1 < weights.len() && remaining_weight >= weights[destination] {
                    remaining_weight -= weights[destination];
                    destination += 1;
                }
            }
            let first_sender = draw_sender(&mut random_fraction);
            let message = NewMessage::new(
                MessageId(next_id),
                CLASS,
                DESTINATION + destination as u64,
                profile.time_to_live,
            );
            inboxes[first_sender].push(Event::Accepted(message));
            undelivered.insert(
                next_id,
                UndeliveredMessage {
                    accepted_at: now,
                    destination,
                    first_sender,
                    return_count: 0,
                    attempts: 0,
                },
            );
            pending.insert(next_id);
            result.by_sender[first_sender].0 += 1;
            result.seconds[second].submitted += 1;
            next_id += 1;
        }
        let not_due = resubmissions.split_off(&(now + 1));
        for message in std::mem::replace(&mut resubmissions, not_due)
            .into_values()
            .flatten()
        {
            let Some(undelivered_message) = undelivered.get_mut(&message) else {
                continue;
            };
            let remaining_time = undelivered_message.accepted_at + profile.time_to_live - now;
            if remaining_time <= 0 {
                continue;
            }
            undelivered_message.attempts = 0;
            let new = NewMessage::new(
                MessageId(message),
                CLASS,
                DESTINATION + undelivered_message.destination as u64,
                remaining_time,
            );
            let new = NewMessage {
                resubmitted: true,
                ..new
            };
            inboxes[draw_sender(&mut random_fraction)].push(Event::Accepted(new));
            pending.insert(message);
        }
        let still_in_flight = calls_in_flight.split_off(&(now + 1));
        for call in std::mem::replace(&mut calls_in_flight, still_in_flight)
            .into_values()
            .flatten()
        {
            let success = call.outcome == Outcome::Success;
            if call.is_connected {
                connection_tables[call.destination].release(call.sender, now);
            }
            let carries_report = call.is_connected
                && scenario.limit_policy.reports_limit
                && now >= START + FIRST_REPORT_AFTER;
            for (message, attempt) in call.messages {
                let limit = limits[call.destination].rate_at(elapsed);
                let report = if carries_report {
                    vec![reported_shares[call.destination], limit]
                } else {
                    vec![]
                };
                inboxes[call.sender].push(Event::AttemptEnded {
                    message: MessageId(message),
                    attempt,
                    endpoint: EndpointId(1 + call.destination as u32),
                    outcome: call.outcome,
                    latency: now - call.sent,
                    message_closed: success,
                    report,
                    ambiguous: false,
                });
                if let Some(undelivered_message) =
                    success.then(|| undelivered.remove(&message)).flatten()
                {
                    pending.remove(&message);
                    result.delivered += 1;
                    result.delivered_in_time += usize::from(
                        now - undelivered_message.accepted_at <= profile.latency_objective,
                    );
                    result.by_sender[undelivered_message.first_sender].1 += 1;
                    result.seconds[second].delivered += 1;
                }
            }
        }
        for index in 0..scenario.sender_count {
            let actions = run_turn(
                &mut senders[index],
                &mut inboxes[index],
                &mut alarms[index],
                now,
            );
            let mut sent: BTreeMap<usize, Vec<(u64, usize)>> = BTreeMap::new();
            for action in actions {
                match action {
                    Action::Reject { message, .. } => {
                        pending.remove(&message.0);
                        result.seconds[second].returned += 1;
                        let Some(undelivered_message) = undelivered.get_mut(&message.0) else {
                            continue;
                        };
                        undelivered_message.return_count += 1;
                        if undelivered_message.return_count <= profile.max_resubmits {
                            resubmissions
                                .entry(now + profile.resubmit_delay)
                                .or_default()
                                .push(message.0);
                        }
                    }
                    Action::Fail(message) => _ = pending.remove(&message.0),
                    Action::Send {
                        message, endpoint, ..
                    } => {
                        let Some(undelivered_message) = undelivered.get_mut(&message.0) else {
                            continue;
                        };
                        sent.entry(destination_index(endpoint))
                            .or_default()
                            .push((message.0, undelivered_message.attempts));
                        undelivered_message.attempts += 1;
                    }
                    Action::CloseIdleConnections(endpoint) => {
                        connection_tables
                            .get_mut(destination_index(endpoint))
                            .into_iter()
                            .for_each(|table| table.close_idle(index));
                    }
                    _ => {}
                }
            }
            let calls = sent.into_iter().flat_map(|(destination, messages)| {
                let calls: Vec<_> = messages
                    .chunks(scenario.max_batch_size)
                    .map(<[_]>::to_vec)
                    .collect();
                calls
                    .into_iter()
                    .map(move |messages| (destination, messages))
            });
            for (destination, messages) in calls {
                let is_connected = connection_tables[destination].try_acquire(index, now);
                let outcome = match is_connected {
                    true => limits[destination].handle_call(elapsed),
                    false => Outcome::Rejected { retry_after: None },
                };
                let rejected = usize::from(matches!(outcome, Outcome::Rejected { .. }));
                result.calls += 1;
                result.rejected += rejected;
                result.seconds[second].calls += 1;
                result.seconds[second].rejected += rejected;
                let call = CallInFlight {
                    sender: index,
                    destination,
                    sent: now,
                    messages,
                    outcome,
                    is_connected,
                };
                calls_in_flight
                    .entry(now + profile.call_duration)
                    .or_default()
                    .push(call);
            }
        }
        result.seconds[second].pending = pending.len();
    }
    result.submitted = next_id as usize;
    result
}
