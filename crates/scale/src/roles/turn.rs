//! A turn of the decision module with many calls out, and with many messages held; what a destination costs that was called.

use super::{Scene, point, probe};
use crate::Error;
use crate::figures::Point;
use milletturn_admin::{Metrics, MetricsObserver};
use milletturn_engine::observer::NoopObserver;
use milletturn_engine::{EngineEvent, EngineStatus, Observer};
use milletturn_policy::{
    Action, Class, DestinationKind, Effect, EndpointEntry, EndpointId, EndpointListKind, Event,
    MILLISECOND, MessageId, Micros, NewMessage, Outcome, SECOND, Sender, Settings,
};
use std::rc::Rc;

const ROUNDS: u64 = 200;
/// Destinations that are gone.
const GONE: u64 = 10;
/// Destinations that answer.
const WELL: u64 = 100;

struct Host {
    sender: Sender,
    now: Micros,
    actions: Vec<Action>,
}

impl Host {
    fn new(slots: usize, held: usize, destinations: u64) -> Result<Self, Error> {
        let mut settings = Settings::new(slots, held);
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
        let sender = Sender::new(settings, 3).map_err(|error| Error::Wrong(error.to_string()))?;
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
        Ok(host)
    }

    /// Processor time of a turn, seconds.
    fn tell(&mut self, events: &[Event]) -> f64 {
        self.actions.clear();
        let (cpu, ()) = probe::cpu_in(|| self.sender.handle(self.now, events, &mut self.actions));
        cpu
    }

    fn hand_in(&mut self, id: u64, destination: u64) -> f64 {
        let message = NewMessage::new(MessageId(id), 0, destination, 3_600 * SECOND);
        self.tell(&[Event::Accepted(message)])
    }

    fn sends(&self) -> Vec<(MessageId, EndpointId)> {
        let sends = self.actions.iter().filter_map(|action| match action {
            Action::Send {
                message, endpoint, ..
            } => Some((*message, *endpoint)),
            _ => None,
        });
        sends.collect()
    }

    /// The ends of all calls of the last turn.
    fn ends(&self, outcome: Outcome) -> Vec<Event> {
        let ended = |(message, endpoint)| Event::AttemptEnded {
            message,
            attempt: 0,
            endpoint,
            outcome,
            latency: MILLISECOND,
            message_closed: false,
            report: Vec::new(),
            ambiguous: false,
        };
        self.sends().into_iter().map(ended).collect()
    }

    /// The median cost of a turn in which a call to one of the well destinations ends.
    fn cost(&mut self, first: u64, well: u64) -> Result<f64, Error> {
        let mut times = Vec::new();
        for round in 0..ROUNDS {
            self.now += MILLISECOND;
            self.hand_in(1_000_000_000 + round, first + round % well);
            let ends = self.ends(Outcome::Success);
            if ends.is_empty() {
                return Err(Error::Wrong(format!("round {round} sent nothing")));
            }
            self.now += MILLISECOND;
            times.push(self.tell(&ends));
        }
        times.sort_by(f64::total_cmp);
        Ok(times[times.len() / 2])
    }
}

/// A turn beside so many calls that nobody answers.
pub(super) fn calls(scene: &Scene) -> Result<Vec<Point>, Error> {
    let (out, most) = (scene.at, scene.at as usize + 100);
    let mut host = Host::new(most, 2 * most, out + WELL)?;
    let mut sent = 0;
    for number in 0..out {
        host.hand_in(number, number);
        sent += host.sends().len() as u64;
    }
    if sent < out {
        return Err(Error::Wrong(format!("{sent} calls out of {out}")));
    }
    let cpu = host.cost(out, WELL)?;
    Ok(vec![point("turn", "cpu", "s", "calls out", scene.at, cpu)])
}

/// A turn beside so many messages held behind destinations that are gone.
pub(super) fn held(scene: &Scene) -> Result<Vec<Point>, Error> {
    let mut host = Host::new(200, scene.at as usize + 1_000, GONE + WELL)?;
    for id in 0..6 * GONE {
        host.now += 10 * MILLISECOND;
        host.hand_in(id, id % GONE);
        let ends = host.ends(Outcome::Error);
        host.now += MILLISECOND;
        host.tell(&ends);
    }
    let resident = probe::resident()?;
    for id in 0..scene.at {
        host.hand_in(1_000 + id, id % GONE);
    }
    let grown = probe::resident()? - resident;
    let cpu = host.cost(GONE, WELL)?;
    let here = |quantity: &str, unit: &str, value: f64| {
        point("turn", quantity, unit, "messages held", scene.at, value)
    };
    Ok(vec![here("cpu", "s", cpu), here("resident", "B", grown)])
}

/// Memory of so many destinations that were called once, beside being listed.
pub(super) fn used(scene: &Scene) -> Result<Vec<Point>, Error> {
    let mut host = Host::new(200, 1_000, scene.at)?;
    let resident = probe::resident()?;
    for number in 0..scene.at {
        host.now += MILLISECOND / 10;
        host.hand_in(number, number);
        let ends = host.ends(Outcome::Success);
        host.now += MILLISECOND / 10;
        host.tell(&ends);
    }
    let grown = probe::resident()? - resident;
    Ok(vec![point(
        "destination.used",
        "resident",
        "B",
        "destinations in use",
        scene.at,
        grown,
    )])
}

/// Bytes of a scrape with so many classes.
pub(super) fn figures(scene: &Scene) -> Result<Vec<Point>, Error> {
    let metrics = Rc::new(Metrics::default());
    let names: Vec<String> = (0..scene.at).map(|n| format!("class{n:03}")).collect();
    let mut observer = MetricsObserver {
        metrics: metrics.clone(),
        next: Box::new(NoopObserver),
    };
    observer.observe(&EngineEvent::Classes(&names));
    let bytes = metrics
        .render(EngineStatus {
            open_messages: 1_500_000,
            listed_endpoints: 106,
            ejected_endpoints: 5,
        })
        .len();
    Ok(vec![point(
        "figures",
        "scrape",
        "B",
        "classes",
        scene.at,
        bytes as f64,
    )])
}
