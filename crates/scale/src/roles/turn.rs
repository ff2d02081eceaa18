//! Measures a turn, which is one call of the decision module, with many calls in flight and with many pending messages;
//! the memory of a destination that was called; and the size of a metrics scrape with a given number of classes.

use super::{MeasurementContext, point, probe};
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

/// Number of turns whose median cost is reported.
const MEASURED_TURNS: u64 = 200;
/// Destinations to which every call fails.
const FAILING_DESTINATIONS: u64 = 10;
/// Destinations to which every call succeeds.
const HEALTHY_DESTINATIONS: u64 = 100;

/// Drives the decision module on a simulated clock.
struct PolicyHarness {
    sender: Sender,
    now: Micros,
    actions: Vec<Action>,
}

impl PolicyHarness {
    fn new(slots: usize, max_pending: usize, destinations: u64) -> Result<Self, Error> {
        let mut settings = Settings::new(slots, max_pending);
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
        let sender =
            Sender::new(settings, 3).map_err(|error| Error::Unexpected(error.to_string()))?;
        let mut harness = PolicyHarness {
            sender,
            now: 100 * SECOND,
            actions: Vec::new(),
        };
        let entries = (0..destinations)
            .map(|n| EndpointEntry::new(EndpointId(n as u32), n))
            .collect();
        harness.handle(&[Event::EndpointList {
            list_kind: EndpointListKind::Full,
            entries,
        }]);
        Ok(harness)
    }

    /// Passes events to the decision module and returns the CPU time of the turn, in seconds.
    fn handle(&mut self, events: &[Event]) -> f64 {
        self.actions.clear();
        let (cpu, ()) = probe::cpu_in(|| self.sender.handle(self.now, events, &mut self.actions));
        cpu
    }

    fn submit(&mut self, id: u64, destination: u64) -> f64 {
        let message = NewMessage::new(MessageId(id), 0, destination, 3_600 * SECOND);
        self.handle(&[Event::Accepted(message)])
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

    /// Returns the events that end all calls that the last turn sent, with the given outcome.
    fn attempt_ends(&self, outcome: Outcome) -> Vec<Event> {
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

    /// Returns the median CPU time of a turn in which a call to one of the healthy destinations ends. Their numbers
    /// begin at `first`.
    fn median_turn_cpu(&mut self, first: u64, healthy: u64) -> Result<f64, Error> {
        let mut times = Vec::new();
        for round in 0..MEASURED_TURNS {
            self.now += MILLISECOND;
            self.submit(1_000_000_000 + round, first + round % healthy);
            let ends = self.attempt_ends(Outcome::Success);
            if ends.is_empty() {
                return Err(Error::Unexpected(format!(
                    "no call was sent in round {round}"
                )));
            }
            self.now += MILLISECOND;
            times.push(self.handle(&ends));
        }
        times.sort_by(f64::total_cmp);
        Ok(times[times.len() / 2])
    }
}

/// Measures a turn while the given number of calls is in flight without a response.
pub(super) fn calls(context: &MeasurementContext) -> Result<Vec<Point>, Error> {
    let (in_flight, slots) = (context.size, context.size as usize + 100);
    let mut harness = PolicyHarness::new(slots, 2 * slots, in_flight + HEALTHY_DESTINATIONS)?;
    let mut sent = 0;
    for number in 0..in_flight {
        harness.submit(number, number);
        sent += harness.sends().len() as u64;
    }
    if sent < in_flight {
        return Err(Error::Unexpected(format!(
            "only {sent} of {in_flight} calls were sent"
        )));
    }
    let cpu = harness.median_turn_cpu(in_flight, HEALTHY_DESTINATIONS)?;
    Ok(vec![point(
        "turn",
        "cpu",
        "s",
        "calls out",
        context.size,
        cpu,
    )])
}

/// Measures a turn, and the memory, while the given number of messages is pending for failing destinations.
pub(super) fn pending_messages(context: &MeasurementContext) -> Result<Vec<Point>, Error> {
    let mut harness = PolicyHarness::new(
        200,
        context.size as usize + 1_000,
        FAILING_DESTINATIONS + HEALTHY_DESTINATIONS,
    )?;
    for id in 0..6 * FAILING_DESTINATIONS {
        harness.now += 10 * MILLISECOND;
        harness.submit(id, id % FAILING_DESTINATIONS);
        let ends = harness.attempt_ends(Outcome::Error);
        harness.now += MILLISECOND;
        harness.handle(&ends);
    }
    let resident = probe::resident()?;
    for id in 0..context.size {
        harness.submit(1_000 + id, id % FAILING_DESTINATIONS);
    }
    let added_bytes = probe::resident()? - resident;
    let cpu = harness.median_turn_cpu(FAILING_DESTINATIONS, HEALTHY_DESTINATIONS)?;
    let new_point = |quantity: &str, unit: &str, value: f64| {
        point("turn", quantity, unit, "messages held", context.size, value)
    };
    Ok(vec![
        new_point("cpu", "s", cpu),
        new_point("resident", "B", added_bytes),
    ])
}

/// Measures the memory that destinations take when each was called once, in addition to that of their list entries.
pub(super) fn called_destinations(context: &MeasurementContext) -> Result<Vec<Point>, Error> {
    let mut harness = PolicyHarness::new(200, 1_000, context.size)?;
    let resident = probe::resident()?;
    for number in 0..context.size {
        harness.now += MILLISECOND / 10;
        harness.submit(number, number);
        let ends = harness.attempt_ends(Outcome::Success);
        harness.now += MILLISECOND / 10;
        harness.handle(&ends);
    }
    let added_bytes = probe::resident()? - resident;
    Ok(vec![point(
        "destination.used",
        "resident",
        "B",
        "destinations in use",
        context.size,
        added_bytes,
    )])
}

/// Measures the bytes of a metrics scrape with the given number of classes.
pub(super) fn metrics_by_class(context: &MeasurementContext) -> Result<Vec<Point>, Error> {
    let metrics = Rc::new(Metrics::default());
    let names: Vec<String> = (0..context.size).map(|n| format!("class{n:03}")).collect();
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
        context.size,
        bytes as f64,
    )])
}
