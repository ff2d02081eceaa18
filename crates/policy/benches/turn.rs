//! What a turn with one event costs, by messages held and by destinations: `cargo bench -p milletturn-policy --bench
//! turn`. Half of the destinations' messages wait behind destinations that are gone (sick), as in a real backlog; the
//! event is the end of a call to a healthy one and the arrival of the next message for it. Medians of several rounds, in
//! microseconds, all in one run.

#![expect(
    clippy::too_many_lines,
    reason = "scenarios of this file have not had their turn yet"
)]

use milletturn_policy::{
    Action, Class, DestinationKind, Effect, EndpointEntry, EndpointId, EndpointListKind, Event,
    MILLISECOND, MessageId, Micros, NewMessage, Outcome, SECOND, Sender, Settings,
};
use std::time::Instant;

const HELD: [usize; 4] = [10, 100, 1_000, 10_000];
const DESTINATIONS: [u64; 4] = [100, 1_000, 10_000, 50_000];
const ROUNDS: usize = 60;
/// Destinations that are gone.
const GONE: u64 = 10;

struct Host {
    sender: Sender,
    now: Micros,
    actions: Vec<Action>,
}

impl Host {
    fn tell(&mut self, events: &[Event]) -> f64 {
        self.actions.clear();
        let begun = Instant::now();
        self.sender.handle(self.now, events, &mut self.actions);
        begun.elapsed().as_secs_f64() * 1e6
    }

    /// Ends all calls of the last turn.
    fn answer(&mut self, outcome: impl Fn(u64) -> Outcome) -> Vec<Event> {
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
            outcome: outcome(u64::from(endpoint.0)),
            latency: MILLISECOND,
            message_closed: false,
            report: Vec::new(),
            ambiguous: false,
        };
        sends.map(ended).collect()
    }
}

/// The median cost of a turn.
fn cost(held: usize, destinations: u64) -> f64 {
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
    host.tell(&[Event::EndpointList {
        kind: EndpointListKind::Full,
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
    // all that goes to the first destinations fails, until they are sick
    for id in 0..6 * GONE {
        host.now += 10 * MILLISECOND;
        host.tell(&[message(id, id % GONE)]);
        let ends = host.answer(|_| Outcome::Error);
        host.now += MILLISECOND;
        host.tell(&ends);
    }
    let mut id = 1_000;
    while id < 1_000 + held as u64 {
        host.tell(&[message(id, id % GONE)]);
        id += 1;
    }
    let mut times = Vec::new();
    for round in 0..ROUNDS as u64 {
        host.now += MILLISECOND;
        host.tell(&[message(id, GONE + round % (destinations - GONE))]);
        id += 1;
        let ends = host.answer(|endpoint| {
            if endpoint < GONE {
                Outcome::Error
            } else {
                Outcome::Success
            }
        });
        host.now += MILLISECOND;
        times.push(host.tell(&ends));
    }
    times.sort_by(f64::total_cmp);
    times[times.len() / 2]
}

fn main() {
    println!("microseconds a turn; rows: messages held, columns: destinations");
    println!(
        "{:>8} {}",
        "",
        DESTINATIONS.map(|n| format!("{n:>9}")).concat()
    );
    for held in HELD {
        let row = DESTINATIONS.map(|destinations| format!("{:>9.1}", cost(held, destinations)));
        println!("{held:>8} {}", row.concat());
    }
}
