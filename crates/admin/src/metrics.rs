//! The metrics of the sender, and their text format.
//!
//! The text has one line per metric in the format of the StatsD protocol, `name:value|type`: `c` is a counter since the
//! start of the process, `g` a gauge. Operators' scripts depend on the names, so they must not change.

#[cfg(test)]
mod tests;

use milletturn_engine::{ArrivalOutcome, CloseReason, Ending, EngineEvent, EngineStatus, Observer};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::rc::Rc;

/// Maximum number of message classes that are counted by name. A configuration has a handful of classes, but each
/// reload may bring new names. Further classes are counted together as [`OTHER_CLASSES`].
const MAX_CLASSES: usize = 256;
/// Name under which classes beyond [`MAX_CLASSES`] are counted. Not a valid class name, so it can't collide with one.
const OTHER_CLASSES: &str = "other:classes";

/// Number of messages of one class, by how they ended.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
struct EndCounts {
    /// Delivered messages.
    ok: u64,
    /// Messages that were rejected or returned, and that can be submitted again without risk.
    shed: u64,
    /// Messages that failed.
    errors: u64,
}

/// The metrics of this process.
#[derive(Debug, Default)]
pub struct Metrics {
    /// Names of the classes. Engine events refer to a class by its position in this list.
    class_names: RefCell<Vec<String>>,
    ends: RefCell<BTreeMap<String, EndCounts>>,
    /// Number of closed connections to endpoints, by reason.
    closed_connections: RefCell<BTreeMap<CloseReason, u64>>,
    /// Number of attempts whose message was completely written to an endpoint. Counted by the transport.
    pub attempts_written: Rc<Cell<u64>>,
    /// Number of reloads that applied the configuration file.
    pub config_applied: Cell<u64>,
    /// Number of reloads that rejected the configuration file.
    pub config_rejected: Cell<u64>,
}

impl Metrics {
    fn class_name(&self, class: usize) -> String {
        self.class_names
            .borrow()
            .get(class)
            .cloned()
            .unwrap_or_else(|| OTHER_CLASSES.to_string())
    }

    fn count(&self, class: usize, add: impl FnOnce(&mut EndCounts)) {
        let mut name = self.class_name(class);
        let mut ends = self.ends.borrow_mut();
        if ends.len() >= MAX_CLASSES && !ends.contains_key(&name) {
            name = OTHER_CLASSES.to_string();
        }
        add(ends.entry(name).or_default());
    }

    fn count_event(&self, event: &EngineEvent<'_>) {
        match event {
            EngineEvent::Classes(names) => {
                *self.class_names.borrow_mut() = names.to_vec();
                // add all classes with zero counts, so that each is shown before its first message
                for class in 0..names.len() {
                    self.count(class, |_| {});
                }
            }
            EngineEvent::Delivered { class, .. } => self.count(*class, |ends| ends.ok += 1),
            EngineEvent::Rejected {
                class,
                outcome: ArrivalOutcome::Failed,
                ..
            } => {
                self.count(*class, |ends| ends.errors += 1);
            }
            EngineEvent::Rejected { class, .. } => self.count(*class, |ends| ends.shed += 1),
            EngineEvent::Abandoned {
                class,
                ending: Ending::Returned { .. },
                ..
            } => {
                self.count(*class, |ends| ends.shed += 1);
            }
            EngineEvent::Abandoned { class, .. } => self.count(*class, |ends| ends.errors += 1),
            EngineEvent::ConnectionClosed { reason, .. } => {
                *self
                    .closed_connections
                    .borrow_mut()
                    .entry(*reason)
                    .or_default() += 1;
            }
            _ => {}
        }
    }

    /// Renders all metrics as text, with the gauges taken from `status`.
    pub fn render(&self, status: EngineStatus) -> String {
        let mut text = String::new();
        // writing to a string can't fail
        let mut push = |name: &str, value: u64, kind: &str| {
            let _ = writeln!(text, "relay.{name}:{value}|{kind}");
        };
        for (name, ends) in self.ends.borrow().iter() {
            push(&format!("responses.{name}.ok"), ends.ok, "c");
            push(&format!("responses.{name}.shed"), ends.shed, "c");
            push(&format!("responses.{name}.errors"), ends.errors, "c");
        }
        push("tries", self.attempts_written.get(), "c");
        push("active", status.open_messages as u64, "g");
        push("pool_size", status.listed_endpoints as u64, "g");
        push("pool_ejected", status.ejected_endpoints as u64, "g");
        push("config_applied", self.config_applied.get(), "c");
        push("config_rejected", self.config_rejected.get(), "c");
        for (&reason, &closed) in self.closed_connections.borrow().iter() {
            push(
                &format!("connections_closed.{}", close_name(reason)),
                closed,
                "c",
            );
        }
        text
    }
}

/// The last part of the name of the counter for a close reason.
fn close_name(reason: CloseReason) -> &'static str {
    match reason {
        CloseReason::CallFailed => "call_failed",
        CloseReason::Evicted => "evicted",
        CloseReason::ClosedByPeer => "by_peer",
        CloseReason::UnsolicitedData => "unsolicited_data",
        CloseReason::NotReusable => "not_reusable",
    }
}

/// An observer that counts each event in the metrics, and passes the event on to the next observer.
pub struct MetricsObserver {
    /// The metrics in which events are counted.
    pub metrics: Rc<Metrics>,
    /// The observer to which each event is passed on.
    pub next: Box<dyn Observer>,
}

impl Observer for MetricsObserver {
    fn observe(&mut self, event: &EngineEvent<'_>) {
        self.metrics.count_event(event);
        self.next.observe(event);
    }
}
