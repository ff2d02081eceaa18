//! Random legal events with a fixed seed; the actions are checked against the rules. Models no servers.

#![expect(
    clippy::too_many_lines,
    reason = "scenarios of this file have not had their turn yet"
)]

mod common;
use common::*;
use milletturn_policy::*;
use rand_pcg::Pcg32;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

struct Out {
    message: u64,
    attempt: usize,
    endpoint: u32,
    sent: Micros,
    expires: Micros,
}

#[derive(Default)]
struct Book {
    class: usize,
    destination: u64,
    key: Option<u64>,
    deadline: Micros,
    ended: bool,
    out: usize,
    attempts: usize,
    /// Endpoint and time of attempts that may have run.
    risky: BTreeMap<usize, (u32, Micros)>,
}

fn destination(endpoint: u32) -> u64 {
    u64::from(endpoint / 3)
}

fn listed(endpoint: u32) -> EndpointEntry {
    let kind = (endpoint / 3 % 3) as usize;
    EndpointEntry {
        zone: (endpoint % 2) as u16,
        kind,
        ..entry(endpoint, destination(endpoint))
    }
}

fn wait_key(endpoint: u32) -> (u64, Option<u32>) {
    let apart = listed(endpoint).kind == 1;
    (destination(endpoint), apart.then_some(endpoint))
}

fn play(seed: u64, shortcuts: bool) -> (Vec<Action>, usize) {
    let mut random = Pcg32::seed_from_u64(seed);
    let mut below = |most: u32| random.next_u32() % most;
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
        // room runs out, and worth falls to a floor that many reach
        (settings.max_pending, settings.value_decay) = (40, ValueDecay::Halving);
        for class in &mut settings.classes {
            (class.latency_objective, class.late_value_share) =
                (SECOND, [0.3, 1.0, 0.0, 0.6][seed as usize / 4 % 4]);
        }
    }
    let mut sender = Sender::new(settings.clone(), seed).expect("settings");
    if !shortcuts {
        sender = sender.without_incremental_scheduling();
    }
    let (mut now, mut next) = (T0, 0u64);
    let mut books: BTreeMap<u64, Book> = BTreeMap::new();
    let mut out: Vec<Out> = Vec::new();
    let mut stopped: BTreeMap<u32, Micros> = BTreeMap::new();
    let mut waits: BTreeMap<(u64, Option<u32>), Micros> = BTreeMap::new();
    let mut lines: BTreeMap<u64, Vec<u64>> = BTreeMap::new();
    let mut rests: BTreeMap<u64, Micros> = BTreeMap::new();
    let mut all = Vec::new();
    let mut alarms: BTreeSet<Micros> = BTreeSet::new();
    let mut events = vec![Event::EndpointList {
        kind: EndpointListKind::Cached,
        entries: (0..12).map(listed).collect(),
    }];
    let mut sends = 0;
    for turn in 0..6000u64 {
        let step = Micros::from(5_000 * (1 + below(6)));
        now += if turn % 50 == 0 { 0 } else { step };
        let arrivals = if turn < 5000 && below(3) == 0 {
            1 + below(3)
        } else {
            0
        };
        for _ in 0..arrivals {
            let class = below(4) as usize;
            let key = (class == ORDERED).then(|| u64::from(below(3)));
            let mut new = NewMessage::new(MessageId(next), class, u64::from(below(5)), 20 * SECOND);
            new.key = key;
            new.tenant = (below(2) == 0).then_some(0);
            let deadline = now + new.time_left;
            let book = Book {
                class,
                destination: new.destination,
                key,
                deadline,
                ..Book::default()
            };
            books.insert(next, book);
            if let Some(key) = key {
                lines.entry(key).or_default().push(next);
            }
            events.push(Event::Accepted(new));
            next += 1;
        }
        if below(200) == 0 {
            let endpoint = below(12);
            let mut changed = listed(endpoint);
            if stopped.remove(&endpoint).is_none() {
                changed.status = if below(2) == 0 {
                    EndpointStatus::Draining
                } else {
                    EndpointStatus::Removed
                };
                stopped.insert(endpoint, now);
            }
            events.push(Event::EndpointList {
                kind: EndpointListKind::Changes,
                entries: vec![changed],
            });
        }
        let mut index = 0;
        while index < out.len() {
            let over = now >= out[index].expires;
            let pick = below(60);
            if !over && pick > 5 {
                index += 1;
                continue;
            }
            let call = out.swap_remove(index);
            let bad = destination(call.endpoint) == turn / 1000 % 4;
            let outcome = match pick {
                _ if over => Outcome::TimedOut,
                _ if bad && below(4) != 0 => Outcome::Error,
                0 => Outcome::Error,
                1 => Outcome::Rejected {
                    retry_after: (below(2) == 0).then(|| Micros::from(below(3_000_000))),
                },
                2 if below(3) == 0 => Outcome::NoConnection,
                3 if below(3) == 0 => Outcome::Reset,
                _ => Outcome::Success,
            };
            let book = books.get_mut(&call.message).expect("known");
            book.out -= 1;
            if outcome.never_ran() {
                book.risky.remove(&call.attempt);
            }
            if let (Some(key), Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled) =
                (book.key, outcome)
            {
                rests.insert(key, now + settings.safety.ordered_key_backoff);
            }
            if let Outcome::Rejected {
                retry_after: Some(wait),
            } = outcome
            {
                let until = waits.entry(wait_key(call.endpoint)).or_default();
                *until = (*until).max(now + wait);
            }
            let closed = book.ended || outcome == Outcome::Success;
            book.ended = closed;
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
                *report = vec![f64::from(below(11)) / 10.0, f64::from(below(30))];
            }
            if below(10) == 0 {
                events.push(Event::GossipReceived {
                    from: below(5),
                    bytes: vec![7; below(300) as usize],
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
                    expires_at: expires,
                } => {
                    sends += 1;
                    let (id, endpoint) = (message.0, endpoint.0);
                    let earlier_open = |id: u64, key: u64| {
                        lines[&key]
                            .iter()
                            .take_while(|&&o| o != id)
                            .any(|o| !books[o].ended || books[o].out > 0)
                    };
                    let book = &books[&id];
                    assert!(!book.ended && now < book.deadline, "sent after its end");
                    assert_eq!(destination(endpoint), book.destination);
                    assert!(
                        !stopped.contains_key(&endpoint),
                        "sent to a drained endpoint"
                    );
                    assert!(book.attempts < settings.max_attempts);
                    let waits = waits.get(&wait_key(endpoint)).copied().unwrap_or(0);
                    assert!(now >= waits, "sent before a wait was over");
                    match settings.classes[book.class].effect {
                        Effect::Repeatable => {}
                        Effect::Unsafe => assert!(book.risky.is_empty(), "unsafe sent twice"),
                        Effect::Keyed { window, .. } => assert!(
                            book.risky
                                .values()
                                .all(|&(o, at)| o % 2 == endpoint % 2 && now < at + window),
                            "keyed left its group or window"
                        ),
                    }
                    if let Some(key) = book.key {
                        assert!(!earlier_open(id, key), "out of turn");
                        let rest = rests.get(&key).copied().unwrap_or(0);
                        assert!(book.attempts > 0 || now >= rest, "no rest");
                    }
                    let book = books.get_mut(&id).expect("known");
                    book.risky.insert(book.attempts, (endpoint, now));
                    let attempt = book.attempts;
                    book.attempts += 1;
                    book.out += 1;
                    out.push(Out {
                        message: id,
                        attempt,
                        endpoint,
                        sent: now,
                        expires: *expires,
                    });
                }
                Action::Reject { message, .. } => {
                    let book = books.get_mut(&message.0).expect("known");
                    assert!(
                        !book.ended && now <= book.deadline + settings.safety.response_grace,
                        "ended twice or late"
                    );
                    let free = settings.classes[book.class].effect == Effect::Repeatable;
                    assert!(
                        free || book.risky.is_empty(),
                        "refused although it may have run"
                    );
                    book.ended = true;
                }
                Action::Fail(message) => {
                    let book = books.get_mut(&message.0).expect("known");
                    assert!(
                        !book.ended && now <= book.deadline + settings.safety.response_grace,
                        "ended twice or late"
                    );
                    book.ended = true;
                }
                Action::Cancel { message, attempt } => {
                    let id = (message.0, *attempt);
                    if let Some(call) = out
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
        all.extend(actions);
    }
    assert!(
        books.values().all(|book| book.ended || book.deadline > now),
        "a message was lost"
    );
    (all, sends)
}

#[test]
fn random_legal_events_break_no_rule() {
    for seed in 0..6 {
        let (_, sends) = play(seed, true);
        // 300 senders are told limits of 0 to 29 calls a second: few calls are the share of one
        assert!(
            sends > [300, 150, 20][seed as usize % 3],
            "seed {seed}: {sends} sends"
        );
    }
}

#[test]
fn the_same_events_give_the_same_actions() {
    assert_eq!(play(5, true).0, play(5, true).0);
}

#[test]
fn what_a_turn_does_not_look_at_again_changes_no_action() {
    // action for action, alarms too, against a sender that makes its books anew in each turn and looks at each message
    for seed in 0..12 {
        let (lanes, walk) = (play(seed, true).0, play(seed, false).0);
        let differs = (0..lanes.len().max(walk.len())).find(|&at| lanes.get(at) != walk.get(at));
        let seen = differs.map(|at| (at, lanes.get(at - 4..at + 4), walk.get(at - 4..at + 4)));
        assert_eq!(seen, None, "seed {seed}");
    }
}
