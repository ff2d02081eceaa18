//! A transport in virtual time: calls go to a scripted client system in memory.

use crate::crash_point::CrashPoint;
use crate::effect_recorder::EffectRecorder;
use milletturn_engine::{AttemptEnd, Call, CallItem, EndCause, Input, MAX_BODY_BYTES, Transport};
use milletturn_policy::{EndpointId, Micros, Outcome};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, sleep_until};

/// What a scripted client system does with a message.
#[derive(Debug, Clone, Copy)]
pub struct ScriptedOutcome {
    /// Time until its last byte has come and it runs, if it does; a call that is given up runs all the same.
    pub executes_after: Option<Duration>,
    /// Time until the sender hears of it, and what; none: never.
    pub reported: Option<(Duration, Outcome)>,
}

/// Decides the fate of each message of each call.
pub type CallScript = Rc<RefCell<dyn FnMut(&CallItem, EndpointId) -> ScriptedOutcome>>;

/// What outlasts the simulated process: the world's clock, the client systems, their running calls.
#[derive(Clone)]
pub struct SimulatedEnvironment {
    /// When the world began; its time is counted from there.
    pub started_at: Instant,
    /// What took effect.
    pub effects: Rc<RefCell<EffectRecorder>>,
    /// What becomes of each message.
    pub script: CallScript,
    /// Calls whose last byte has come, in order: time, id.
    pub received_messages: Rc<RefCell<Vec<(Micros, String)>>>,
}

impl SimulatedEnvironment {
    /// The world's time, microseconds.
    #[must_use]
    pub fn now(&self) -> Micros {
        Micros::try_from(self.started_at.elapsed().as_micros()).unwrap_or(Micros::MAX)
    }
}

/// The transport of one simulated process. What it has started ends with it, and what has reached a client system
/// runs on there.
pub struct VirtualTransport {
    outside: SimulatedEnvironment,
    power: CrashPoint,
    inputs: mpsc::UnboundedSender<Input>,
    out: RefCell<Vec<JoinHandle<()>>>,
}

impl VirtualTransport {
    /// A transport to these client systems.
    #[must_use]
    pub fn new(
        outside: SimulatedEnvironment,
        power: CrashPoint,
        inputs: mpsc::UnboundedSender<Input>,
    ) -> Self {
        VirtualTransport {
            outside,
            power,
            inputs,
            out: RefCell::default(),
        }
    }
}

impl Drop for VirtualTransport {
    fn drop(&mut self) {
        self.out.borrow().iter().for_each(JoinHandle::abort);
    }
}

impl Transport for VirtualTransport {
    fn start(&self, call: Call, mut cancels: mpsc::UnboundedReceiver<usize>) {
        // the first byte
        if !self.power.try_step() {
            return;
        }
        let mut tells = Vec::new();
        for (position, item) in call.items.iter().enumerate() {
            let fate = (self.outside.script.borrow_mut())(item, call.endpoint);
            self.outside
                .received_messages
                .borrow_mut()
                .push((self.outside.now(), item.id.to_string()));
            if let Some(after) = fate.executes_after {
                let (outside, name) = (self.outside.clone(), item.id.to_string());
                tokio::task::spawn_local(async move {
                    sleep(after).await;
                    let now = outside.now();
                    outside.effects.borrow_mut().execute(&name, now);
                });
            }
            if let Some((after, outcome)) = fate.reported {
                tells.push((Instant::now() + after, position, outcome));
            }
        }
        tells.sort_by_key(|&(at, position, _)| (at, position));
        let (power, inputs) = (self.power.clone(), self.inputs.clone());
        let mut left: Vec<usize> = (0..call.items.len()).collect();
        let task = tokio::task::spawn_local(async move {
            let end = |item: usize, outcome: Outcome| {
                // the answer's last byte
                if power.try_step() {
                    let closed = outcome == Outcome::Success;
                    let ended = AttemptEnd {
                        call: call.number,
                        position: item,
                        outcome,
                        closed,
                        report: Vec::new(),
                        cause: EndCause::ForeignProcess,
                        ambiguous: false,
                        connection_use: None,
                    };
                    let _ = inputs.send(Input::AttemptEnded(ended));
                }
            };
            while !left.is_empty() {
                let next = tells
                    .iter()
                    .position(|&(_, item, _)| left.contains(&item))
                    .map(|at| tells[at]);
                tokio::select! {
                    biased;
                    () = sleep_until(next.map_or(call.expires, |(at, ..)| at)), if next.is_some() => {
                        if let Some((_, item, outcome)) = next {
                            left.retain(|&other| other != item);
                            end(item, outcome);
                        }
                    }
                    () = sleep_until(call.expires) => {
                        left.drain(..).for_each(|item| end(item, Outcome::TimedOut));
                    }
                    Some(item) = cancels.recv() => {
                        if left.contains(&item) {
                            left.retain(|&other| other != item);
                            end(item, Outcome::Cancelled);
                        }
                    }
                }
            }
        });
        self.out.borrow_mut().push(task);
    }

    fn add_endpoint(&self, _: EndpointId, _: SocketAddr) {}

    fn remove_endpoint(&self, _: EndpointId) {}

    fn close_idle_connections(&self, _: EndpointId) {}

    fn evict_idle(&self) {
        self.out.borrow_mut().retain(|task| !task.is_finished());
    }

    fn item_bytes(&self, item: &CallItem) -> usize {
        item.body.len()
    }

    fn max_call_bytes(&self) -> usize {
        MAX_BODY_BYTES
    }
}
