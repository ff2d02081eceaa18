//! Passes random valid events, generated from a seed, to the decision module and checks that its actions follow the
//! rules. Outcomes are drawn at random; no endpoint is simulated.

#![expect(
    clippy::too_many_lines,
    reason = "each test spells out its whole scenario"
)]

mod common;
use common::*;
use milletturn_policy::*;
use rand_pcg::Pcg32;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

/// A call in flight.
struct CallInFlight {
    message: u64,
    attempt: usize,
    endpoint: u32,
    sent: Micros,
    expires: Micros,
}

/// Expected state of a message after the events and actions so far.
#[derive(Default)]
struct MessageState {
    class: usize,
    destination: u64,
    key: Option<u64>,
    deadline: Micros,
    ended: bool,
    /// Number of calls in flight.
    calls_in_flight: usize,
    attempts: usize,
    /// Endpoint and time of the attempts that may have been executed, by attempt number.
    maybe_executed: BTreeMap<usize, (u32, Micros)>,
}

fn destination_of(endpoint: u32) -> u64 {
    u64::from(endpoint / 3)
}

fn listed_entry(endpoint: u32) -> EndpointEntry {
    let kind = (endpoint / 3 % 3) as usize;
    EndpointEntry {
        zone: (endpoint % 2) as u16,
        kind,
        ..entry(endpoint, destination_of(endpoint))
    }
}

/// The scope of a retry-after delay: the destination, and the endpoint too if each endpoint is a separate route.
fn retry_after_scope(endpoint: u32) -> (u64, Option<u32>) {
    let is_separate_route = listed_entry(endpoint).kind == 1;
    (
        destination_of(endpoint),
        is_separate_route.then_some(endpoint),
    )
}

/// Runs 6000 turns and returns all actions and the number of sends. Without incremental scheduling the module rebuilds
/// its tables in each turn and inspects every message.
fn run_random_events(seed: u64, is_incremental: bool) -> (Vec<Action>, usize) {
    let mut random = Pcg32::seed_from_u64(seed);
    let mut random_below = |bound: u32| random.next_u32() % bound;
    let mut settings = settings([10, 3, 2][seed as usize % 3]);
    settings.max_attempts = 5;
    settings.senders = [1, 3, 300][seed as usize % 3];
    (settings.gossip_enabled, settings.list_requires_subscription) = (true, seed.is_multiple_of(2));
    (settings.report_remaining_index, settings.report_limit_index) = (Some(0), Some(1));
    settings.tenants = vec![Tenant {
        name: "first".into(),
        allowance: 5.0,
    }];
    settings.idle_connection_timeout = 5 * SECOND;
    settings.over_share_weight = 0.5;
    if seed % 4 > 1 {
        // few messages may be pending, and the value of late messages decreases to a minimum that many of them reach
        (settings.max_pending, settings.value_decay) = (40, ValueDecay::Halving);
        for class in &mut settings.classes {
            (class.latency_objective, class.late_value_share) =
                (SECOND, [0.3, 1.0, 0.0, 0.6][seed as usize / 4 % 4]);
        }
    }
    let mut sender = Sender::new(settings.clone(), seed).expect("settings");
    if !is_incremental {
        sender = sender.without_incremental_scheduling();
    }
    let (mut now, mut next_id) = (START, 0u64);
    let mut message_states: BTreeMap<u64, MessageState> = BTreeMap::new();
    let mut calls_in_flight: Vec<CallInFlight> = Vec::new();
    let mut stopped_endpoints: BTreeMap<u32, Micros> = BTreeMap::new();
    let mut retry_after_until: BTreeMap<(u64, Option<u32>), Micros> = BTreeMap::new();
    let mut messages_by_key: BTreeMap<u64, Vec<u64>> = BTreeMap::new();
    let mut key_backoff_until: BTreeMap<u64, Micros> = BTreeMap::new();
    let mut all_actions = Vec::new();
    let mut alarms: BTreeSet<Micros> = BTreeSet::new();
    let mut events = vec![Event::EndpointList {
        list_kind: EndpointListKind::Cached,
        entries: (0..12).map(listed_entry).collect(),
    }];
    let mut sends = 0;
    for turn in 0..6000u64 {
        let step = Micros::from(5_000 * (1 + random_below(6)));
        now += if turn % 50 == 0 { 0 } else { step };
        let arrivals = if turn < 5000 && random_below(3) == 0 {
            1 + random_below(3)
        } else {
            0
        };
        for _ in 0..arrivals {
            let class = random_below(4) as usize;
            let key = (class == ORDERED).then(|| u64::from(random_below(3)));
            let mut new = NewMessage::new(
                MessageId(next_id),
                class,
                u64::from(random_below(5)),
                20 * SECOND,
            );
            new.key = key;
            new.tenant = (random_below(2) == 0).then_some(0);
            let deadline = now + new.time_left;
            let message_state = MessageState {
                class,
                destination: new.destination,
                key,
                deadline,
                ..MessageState::default()
            };
            message_states.insert(next_id, message_state);
            if let Some(key) = key {
                messages_by_key.entry(key).or_default().push(next_id);
            }
            events.push(Event::Accepted(new));
            next_id += 1;
        }
        if random_below(200) == 0 {
            let endpoint = random_below(12);
            let mut changed = listed_entry(endpoint);
            if stopped_endpoints.remove(&endpoint).is_none() {
                changed.status = if random_below(2) == 0 {
                    EndpointStatus::Draining
                } else {
                    EndpointStatus::Removed
                };
                stopped_endpoints.insert(endpoint, now);
            }
            events.push(Event::EndpointList {
                list_kind: EndpointListKind::Changes,
                entries: vec![changed],
            });
        }
        let mut index = 0;
        while index < calls_in_flight.len() {
            let is_expired = now >= calls_in_flight[index].expires;
            let draw = random_below(60);
            if !is_expired && draw > 5 {
                index += 1;
                continue;
            }
            let call = calls_in_flight.swap_remove(index);
            let is_failing = destination_of(call.endpoint) == turn / 1000 % 4;
            let outcome = match draw {
                _ if is_expired => Outcome::TimedOut,
                _ if is_failing && random_below(4) != 0 => Outcome::Error,
                0 => Outcome::Error,
                1 => Outcome::Rejected {
                    retry_after: (random_below(2) == 0)
                        .then(|| Micros::from(random_below(3_000_000))),
                },
                2 if random_below(3) == 0 => Outcome::NoConnection,
                3 if random_below(3) == 0 => Outcome::Reset,
                _ => Outcome::Success,
            };
            let message_state = message_states.get_mut(&call.message).expect("known");
            message_state.calls_in_flight -= 1;
            if outcome.never_ran() {
                message_state.maybe_executed.remove(&call.attempt);
            }
            if let (Some(key), Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled) =
                (message_state.key, outcome)
            {
                key_backoff_until.insert(key, now + settings.safety.ordered_key_backoff);
            }
            if let Outcome::Rejected {
                retry_after: Some(delay),
            } = outcome
            {
                let until = retry_after_until
                    .entry(retry_after_scope(call.endpoint))
                    .or_default();
                *until = (*until).max(now + delay);
            }
            let closed = message_state.ended || outcome == Outcome::Success;
            message_state.ended = closed;
            let mut event = ended(
                call.message,
                call.attempt,
                call.endpoint,
                outcome,
                now - call.sent,
            );
            if let Event::AttemptEnded {
                message_closed: flag,
                report,
                ..
            } = &mut event
            {
                *flag = closed;
                *report = vec![
                    f64::from(random_below(11)) / 10.0,
                    f64::from(random_below(30)),
                ];
            }
            if random_below(10) == 0 {
                events.push(Event::GossipReceived {
                    from: random_below(5),
                    bytes: vec![7; random_below(300) as usize],
                });
            }
            events.push(event);
        }
        while alarms.first().is_some_and(|&at| at <= now) {
            alarms.pop_first();
            events.push(Event::Alarm);
        }
        let mut actions = Vec::new();
        sender.handle(now, &events, &mut actions);
        events.clear();
        for action in &actions {
            match action {
                Action::Send {
                    message,
                    endpoint,
                    expires_at,
                } => {
                    sends += 1;
                    let (id, endpoint) = (message.0, endpoint.0);
                    let earlier_open = |id: u64, key: u64| {
                        messages_by_key[&key]
                            .iter()
                            .take_while(|&&o| o != id)
                            .any(|o| {
                                !message_states[o].ended || message_states[o].calls_in_flight > 0
                            })
                    };
                    let message_state = &message_states[&id];
                    assert!(
                        !message_state.ended && now < message_state.deadline,
                        "sent after its end"
                    );
                    assert_eq!(destination_of(endpoint), message_state.destination);
                    assert!(
                        !stopped_endpoints.contains_key(&endpoint),
                        "sent to a drained endpoint"
                    );
                    assert!(message_state.attempts < settings.max_attempts);
                    let earliest_send = retry_after_until
                        .get(&retry_after_scope(endpoint))
                        .copied()
                        .unwrap_or(0);
                    assert!(now >= earliest_send, "sent during a retry-after delay");
                    match settings.classes[message_state.class].effect {
                        Effect::Repeatable => {}
                        Effect::Unsafe => assert!(
                            message_state.maybe_executed.is_empty(),
                            "unsafe message sent twice"
                        ),
                        Effect::Keyed { window, .. } => assert!(
                            message_state
                                .maybe_executed
                                .values()
                                .all(|&(o, at)| o % 2 == endpoint % 2 && now < at + window),
                            "keyed message sent outside of its zone or window"
                        ),
                    }
                    if let Some(key) = message_state.key {
                        assert!(!earlier_open(id, key), "sent out of order");
                        let key_earliest_send = key_backoff_until.get(&key).copied().unwrap_or(0);
                        assert!(
                            message_state.attempts > 0 || now >= key_earliest_send,
                            "sent during the key's backoff"
                        );
                    }
                    let message_state = message_states.get_mut(&id).expect("known");
                    message_state
                        .maybe_executed
                        .insert(message_state.attempts, (endpoint, now));
                    let attempt = message_state.attempts;
                    message_state.attempts += 1;
                    message_state.calls_in_flight += 1;
                    calls_in_flight.push(CallInFlight {
                        message: id,
                        attempt,
                        endpoint,
                        sent: now,
                        expires: *expires_at,
                    });
                }
                Action::Reject { message, .. } => {
                    let message_state = message_states.get_mut(&message.0).expect("known");
                    assert!(
                        !message_state.ended
                            && now <= message_state.deadline + settings.safety.response_grace,
                        "ended twice or late"
                    );
                    let is_repeatable =
                        settings.classes[message_state.class].effect == Effect::Repeatable;
                    assert!(
                        is_repeatable || message_state.maybe_executed.is_empty(),
                        "rejected although it may have been executed"
                    );
                    message_state.ended = true;
                }
                Action::Fail(message) => {
                    let message_state = message_states.get_mut(&message.0).expect("known");
                    assert!(
                        !message_state.ended
                            && now <= message_state.deadline + settings.safety.response_grace,
                        "ended twice or late"
                    );
                    message_state.ended = true;
                }
                Action::Cancel { message, attempt } => {
                    let id = (message.0, *attempt);
                    if let Some(call) = calls_in_flight
                        .iter_mut()
                        .find(|call| (call.message, call.attempt) == id)
                    {
                        call.expires = now + 20 * MILLISECOND;
                    }
                }
                Action::SetAlarm(at) => {
                    assert!(*at > now);
                    alarms.insert(*at);
                }
                _ => {}
            }
        }
        all_actions.extend(actions);
    }
    assert!(
        message_states
            .values()
            .all(|message_state| message_state.ended || message_state.deadline > now),
        "a message was lost"
    );
    (all_actions, sends)
}

#[test]
fn actions_after_random_valid_events_follow_the_rules() {
    for seed in 0..6 {
        let (_, sends) = run_random_events(seed, true);
        // with 300 senders and reported limits of 0 to 29 calls per second, each sender may make only a few calls
        assert!(
            sends > [300, 150, 20][seed as usize % 3],
            "seed {seed}: {sends} sends"
        );
    }
}

#[test]
fn the_same_events_give_the_same_actions() {
    assert_eq!(run_random_events(5, true).0, run_random_events(5, true).0);
}

#[test]
fn incremental_scheduling_changes_no_action() {
    // compares all actions, alarms included, with those of a sender that rebuilds its tables in each turn and inspects
    // every message
    for seed in 0..12 {
        let (incremental, full) = (
            run_random_events(seed, true).0,
            run_random_events(seed, false).0,
        );
        let first_difference =
            (0..incremental.len().max(full.len())).find(|&at| incremental.get(at) != full.get(at));
        let context = first_difference.map(|at| {
            (
                at,
                incremental.get(at - 4..at + 4),
                full.get(at - 4..at + 4),
            )
        });
        assert_eq!(context, None, "seed {seed}");
    }
}
