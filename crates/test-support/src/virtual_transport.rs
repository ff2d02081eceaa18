//! A transport in virtual time whose calls go to a scripted destination in memory.

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

/// What the scripted destination does with one message of a call.
#[derive(Debug, Clone, Copy)]
pub struct ScriptedOutcome {
    /// Time until the message's last byte has arrived and the destination executes it; `None` if it never does. The
    /// destination executes the message even if the call has been cancelled or has timed out by then.
    pub executes_after: Option<Duration>,
    /// Time until the sender receives a result, and the result; `None` if it receives none and the call times out.
    pub reported: Option<(Duration, Outcome)>,
}

/// Decides what the destination does with each message of each call.
pub type CallScript = Rc<RefCell<dyn FnMut(&CallItem, EndpointId) -> ScriptedOutcome>>;

/// What outlives a simulated sender process: the clock, the destination systems and the calls that run there.
#[derive(Clone)]
pub struct SimulatedEnvironment {
    /// When the simulation started; [`SimulatedEnvironment::now`] counts from there.
    pub started_at: Instant,
    /// Which messages took effect.
    pub effects: Rc<RefCell<EffectRecorder>>,
    /// Decides what the destination does with each message.
    pub script: CallScript,
    /// Messages that reached the destination, in order: time in microseconds, message ID.
    pub received_messages: Rc<RefCell<Vec<(Micros, String)>>>,
}

impl SimulatedEnvironment {
    /// Time since the simulation started, microseconds.
    #[must_use]
    pub fn now(&self) -> Micros {
        Micros::try_from(self.started_at.elapsed().as_micros()).unwrap_or(Micros::MAX)
    }
}

/// The transport of one simulated process. Dropping the transport ends its calls for the sender, while messages that
/// reached the destination are still executed there.
pub struct VirtualTransport {
    environment: SimulatedEnvironment,
    crash_point: CrashPoint,
    inputs: mpsc::UnboundedSender<Input>,
    running_calls: RefCell<Vec<JoinHandle<()>>>,
}

impl VirtualTransport {
    /// A transport to the destination of `environment`. It has no effect after the crash at `crash_point`, and reports
    /// the ends of calls on `inputs`.
    #[must_use]
    pub fn new(
        environment: SimulatedEnvironment,
        crash_point: CrashPoint,
        inputs: mpsc::UnboundedSender<Input>,
    ) -> Self {
        VirtualTransport {
            environment,
            crash_point,
            inputs,
            running_calls: RefCell::default(),
        }
    }
}

impl Drop for VirtualTransport {
    fn drop(&mut self) {
        self.running_calls
            .borrow()
            .iter()
            .for_each(JoinHandle::abort);
    }
}

impl Transport for VirtualTransport {
    fn start(&self, call: Call, mut cancels: mpsc::UnboundedReceiver<usize>) {
        // sending the call's first byte is an externally visible step
        if !self.crash_point.try_step() {
            return;
        }
        let mut reported = Vec::new();
        for (position, item) in call.items.iter().enumerate() {
            let scripted = (self.environment.script.borrow_mut())(item, call.endpoint);
            self.environment
                .received_messages
                .borrow_mut()
                .push((self.environment.now(), item.id.to_string()));
            if let Some(after) = scripted.executes_after {
                let (environment, id) = (self.environment.clone(), item.id.to_string());
                tokio::task::spawn_local(async move {
                    sleep(after).await;
                    let now = environment.now();
                    environment.effects.borrow_mut().execute(&id, now);
                });
            }
            if let Some((after, outcome)) = scripted.reported {
                reported.push((Instant::now() + after, position, outcome));
            }
        }
        reported.sort_by_key(|&(at, position, _)| (at, position));
        let (crash_point, inputs) = (self.crash_point.clone(), self.inputs.clone());
        let mut unfinished: Vec<usize> = (0..call.items.len()).collect();
        let task = tokio::task::spawn_local(async move {
            let end = |item: usize, outcome: Outcome| {
                // each end of an attempt counts as a step: a response, a timeout or a cancellation
                if crash_point.try_step() {
                    let message_closed = outcome == Outcome::Success;
                    let ended = AttemptEnd {
                        call: call.number,
                        position: item,
                        outcome,
                        message_closed,
                        report: Vec::new(),
                        cause: EndCause::ForeignProcess,
                        ambiguous: false,
                        connection_use: None,
                    };
                    let _ = inputs.send(Input::AttemptEnded(ended));
                }
            };
            while !unfinished.is_empty() {
                let next = reported
                    .iter()
                    .position(|&(_, item, _)| unfinished.contains(&item))
                    .map(|index| reported[index]);
                tokio::select! {
                    biased;
                    () = sleep_until(next.map_or(call.expires, |(at, ..)| at)), if next.is_some() => {
                        if let Some((_, item, outcome)) = next {
                            unfinished.retain(|&other| other != item);
                            end(item, outcome);
                        }
                    }
                    () = sleep_until(call.expires) => {
                        unfinished.drain(..).for_each(|item| end(item, Outcome::TimedOut));
                    }
                    Some(item) = cancels.recv() => {
                        if unfinished.contains(&item) {
                            unfinished.retain(|&other| other != item);
                            end(item, Outcome::Cancelled);
                        }
                    }
                }
            }
        });
        self.running_calls.borrow_mut().push(task);
    }

    fn add_endpoint(&self, _: EndpointId, _: SocketAddr) {}

    fn remove_endpoint(&self, _: EndpointId) {}

    fn close_idle_connections(&self, _: EndpointId) {}

    fn evict_idle(&self) {
        self.running_calls
            .borrow_mut()
            .retain(|task| !task.is_finished());
    }

    fn item_bytes(&self, item: &CallItem) -> usize {
        item.body.len()
    }

    fn max_call_bytes(&self) -> usize {
        MAX_BODY_BYTES
    }
}
