//! The metrics of the sender, and their text.
//!
//! The text has the lines of the StatsD protocol (`name:value|type`): `c` is a counter since the start of the process,
//! `g` a gauge. The names are read by operators' scripts and stay as they are.

#[cfg(test)]
mod tests;

use milletturn_engine::{ArrivalOutcome, CloseReason, Ending, EngineEvent, EngineStatus, Observer};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::rc::Rc;

/// Classes that are counted by name: configurations have a handful, and each reload may bring new names. Beyond
/// these all are counted together as [`OTHER_CLASSES`].
const MAX_CLASSES: usize = 256;
/// Name under which classes beyond [`MAX_CLASSES`] are counted; no class can have it.
const OTHER_CLASSES: &str = "other:classes";

/// Messages of one class by how they ended.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
struct EndCounts {
    ok: u64,
    /// Rejected or returned: submitting them again is harmless.
    shed: u64,
    errors: u64,
}

/// The counters of this process.
#[derive(Debug, Default)]
pub struct Metrics {
    /// Names of the classes, by the positions that events carry.
    class_names: RefCell<Vec<String>>,
    ends: RefCell<BTreeMap<String, EndCounts>>,
    /// Connections to endpoints by why they were closed.
    closed_connections: RefCell<BTreeMap<CloseReason, u64>>,
    /// Messages that were completely written to endpoints; the transport counts them.
    pub attempts_written: Rc<Cell<u64>>,
    /// Configuration files that a reload applied.
    pub config_applied: Cell<u64>,
    /// Configuration files that a reload rejected.
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
                // a class is shown from the start, not from its first message on
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

    /// The text of all metrics, with the gauges of this status.
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

/// A close reason's part of its counter's name.
fn close_name(reason: CloseReason) -> &'static str {
    match reason {
        CloseReason::CallFailed => "call_failed",
        CloseReason::Evicted => "evicted",
        CloseReason::ClosedByPeer => "by_peer",
        CloseReason::UnsolicitedData => "unsolicited_data",
        CloseReason::NotReusable => "not_reusable",
    }
}

/// An observer that counts each event, and passes it on.
pub struct MetricsObserver {
    /// Where it counts.
    pub metrics: Rc<Metrics>,
    /// Gets the same events.
    pub next: Box<dyn Observer>,
}

impl Observer for MetricsObserver {
    fn observe(&mut self, event: &EngineEvent<'_>) {
        self.metrics.count_event(event);
        self.next.observe(event);
    }
}
