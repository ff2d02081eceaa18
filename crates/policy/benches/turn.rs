//! Cost of a turn of the decision module by number of pending messages and of destinations: `cargo bench -p
//! milletturn-policy --bench turn`.
//!
//! The pending messages are for failing, ejected destinations, as in a real backlog. Each measured turn handles the end
//! of a call to a healthy destination. Prints the medians of [`ROUNDS`] turns in microseconds.

#![expect(
    clippy::too_many_lines,
    reason = "the measured scenario is one function"
)]

use milletturn_policy::{
    Action, Class, DestinationKind, Effect, EndpointEntry, EndpointId, EndpointListKind, Event,
    MILLISECOND, MessageId, Micros, NewMessage, Outcome, SECOND, Sender, Settings,
};
use std::time::Instant;

/// Numbers of pending messages for which turns are measured.
const PENDING: [usize; 4] = [10, 100, 1_000, 10_000];
/// Numbers of destinations for which turns are measured.
const DESTINATIONS: [u64; 4] = [100, 1_000, 10_000, 50_000];
/// Measured turns for each combination of [`PENDING`] and [`DESTINATIONS`].
const ROUNDS: usize = 60;
/// Number of failing destinations, which are those with the lowest ids.
const FAILING: u64 = 10;

/// A decision module with a virtual clock and the actions of its last turn.
struct Host {
    sender: Sender,
    now: Micros,
    actions: Vec<Action>,
}

impl Host {
    /// Runs a turn with these events and returns its duration in microseconds.
    fn timed_turn(&mut self, events: &[Event]) -> f64 {
        self.actions.clear();
        let started = Instant::now();
        self.sender.handle(self.now, events, &mut self.actions);
        started.elapsed().as_secs_f64() * 1e6
    }

    /// Events that end all calls of the last turn, with the outcome that `outcome_of` gives for an endpoint.
    fn end_calls(&mut self, outcome_of: impl Fn(u64) -> Outcome) -> Vec<Event> {
        let sends = self.actions.iter().filter_map(|action| match action {
            Action::Send {
                message, endpoint, ..
            } => Some((*message, *endpoint)),
            _ => None,
        });
        let ended = |(message, endpoint): (MessageId, EndpointId)| Event::AttemptEnded {
            message,
            attempt: 0,
            endpoint,
            outcome: outcome_of(u64::from(endpoint.0)),
            latency: MILLISECOND,
            message_closed: false,
            report: Vec::new(),
            ambiguous: false,
        };
        sends.map(ended).collect()
    }
}

/// Median duration of a turn in microseconds, with `pending` pending messages and `destinations` listed destinations.
fn median_turn_us(pending: usize, destinations: u64) -> f64 {
    let mut settings = Settings::new(200, 20_000);
    settings.classes.push(Class::new(
        "notice",
        Effect::Repeatable,
        4 * SECOND,
        3_600 * SECOND,
    ));
    settings.kinds.push(DestinationKind {
        name: "one".into(),
        separate_routes: false,
        max_batch_size: 1,
    });
    let sender = Sender::new(settings, 3).expect("settings");
    let mut host = Host {
        sender,
        now: 100 * SECOND,
        actions: Vec::new(),
    };
    let entries = (0..destinations)
        .map(|n| EndpointEntry::new(EndpointId(n as u32), n))
        .collect();
    host.timed_turn(&[Event::EndpointList {
        list_kind: EndpointListKind::Full,
        entries,
    }]);
    let message = |id, destination| {
        Event::Accepted(NewMessage::new(
            MessageId(id),
            0,
            destination,
            3_600 * SECOND,
        ))
    };
    // calls to the first destinations fail until these are ejected
    for id in 0..6 * FAILING {
        host.now += 10 * MILLISECOND;
        host.timed_turn(&[message(id, id % FAILING)]);
        let ends = host.end_calls(|_| Outcome::Error);
        host.now += MILLISECOND;
        host.timed_turn(&ends);
    }
    let mut id = 1_000;
    while id < 1_000 + pending as u64 {
        host.timed_turn(&[message(id, id % FAILING)]);
        id += 1;
    }
    let mut times = Vec::new();
    for round in 0..ROUNDS as u64 {
        host.now += MILLISECOND;
        host.timed_turn(&[message(id, FAILING + round % (destinations - FAILING))]);
        id += 1;
        let ends = host.end_calls(|endpoint| {
            if endpoint < FAILING {
                Outcome::Error
            } else {
                Outcome::Success
            }
        });
        host.now += MILLISECOND;
        times.push(host.timed_turn(&ends));
    }
    times.sort_by(f64::total_cmp);
    times[times.len() / 2]
}

fn main() {
    println!("microseconds per turn; rows: pending messages, columns: destinations");
    println!(
        "{:>8} {}",
        "",
        DESTINATIONS.map(|n| format!("{n:>9}")).concat()
    );
    for pending in PENDING {
        let row = DESTINATIONS
            .map(|destinations| format!("{:>9.1}", median_turn_us(pending, destinations)));
        println!("{pending:>8} {}", row.concat());
    }
}
