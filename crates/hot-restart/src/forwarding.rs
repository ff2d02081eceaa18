//! What is left to the old process: it forwards what its clients and its calls in flight bring to the new process,
//! and the new process's outcomes and cancels back to them.

use crate::HotRestartError;
use crate::frames::{
    ForwardedArrival, ForwardedEnd, MAX_FRAME_BYTES, TakeoverConfirmed, ToNewProcess, ToOldProcess,
    read_frame, write_frame,
};
use crate::old_process::TakeoverRequest;
use milletturn_engine::{Arrival, ArrivalOutcome, EngineStatus, Input};
use milletturn_logging::log;
use milletturn_platform::DrainGate;
use milletturn_policy::Outcome;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::unix::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

/// How often it is checked whether anything is left to forward.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// The process stays so long after its last client and call: a client must read the response that is on its way.
const LINGER: Duration = Duration::from_millis(300);

/// What is left to a process that has been taken over.
pub struct ForwardingState {
    /// By number of each call in flight: takes the positions of the messages in it that are to be cancelled.
    pub cancels: BTreeMap<u64, mpsc::UnboundedSender<usize>>,
    /// What clients and calls bring.
    pub inputs: mpsc::UnboundedReceiver<Input>,
    /// The connections from clients.
    pub gate: Rc<DrainGate>,
}

impl ForwardingState {
    /// Confirms the takeover, then forwards until nothing is left or the new process is gone. The engine must be
    /// released before, as the new process goes on with its state.
    pub async fn forward_until_idle(mut self, request: TakeoverRequest) {
        let (reader, mut writer) = request.0.into_split();
        if let Err(error) = write_frame(&mut writer, &TakeoverConfirmed).await {
            return log(format_args!("hot restart: {error}"));
        }
        let (received, mut replies) = mpsc::unbounded_channel();
        let reading = tokio::task::spawn_local(read_replies(reader, received));
        let mut forwarder = Forwarder::new(writer);
        let mut idle_check = tokio::time::interval(IDLE_CHECK_INTERVAL);
        let mut idle_since = None;
        loop {
            tokio::select! {
                reply = replies.recv() => {
                    let Some(reply) = reply else {
                        break log(format_args!("hot restart: the new process is gone"));
                    };
                    self.apply(reply, &mut forwarder);
                }
                input = self.inputs.recv() => {
                    let Some(input) = input else { break };
                    if let Err(error) = forwarder.forward(input).await {
                        break log(format_args!("hot restart: {error}"));
                    }
                }
                _ = idle_check.tick() => {
                    let since = *idle_since.get_or_insert_with(Instant::now);
                    if self.is_busy(&forwarder) {
                        idle_since = None;
                    } else if since.elapsed() > LINGER {
                        break;
                    }
                }
            }
        }
        reading.abort();
    }

    fn apply(&self, reply: ToOldProcess, forwarder: &mut Forwarder) {
        match reply {
            ToOldProcess::Outcome { slot, outcome } => forwarder.reply(slot, outcome),
            ToOldProcess::Cancel { call, position } => {
                // a call that has just ended needs no cancel
                let _ = self
                    .cancels
                    .get(&call)
                    .map(|cancels| cancels.send(position));
            }
        }
    }

    fn is_busy(&mut self, forwarder: &Forwarder) -> bool {
        self.cancels.retain(|_, cancels| !cancels.is_closed());
        !self.cancels.is_empty()
            || !forwarder.replies.is_empty()
            || self.gate.open_connections() > 0
    }
}

/// Turns inputs into frames, and remembers which client waits for which outcome.
struct Forwarder {
    writer: OwnedWriteHalf,
    /// The clients that wait for an outcome, by slot.
    replies: BTreeMap<u64, oneshot::Sender<ArrivalOutcome>>,
    next_slot: u64,
}

impl Forwarder {
    fn new(writer: OwnedWriteHalf) -> Self {
        Forwarder {
            writer,
            replies: BTreeMap::new(),
            next_slot: 0,
        }
    }

    fn reply(&mut self, slot: u64, outcome: ArrivalOutcome) {
        // a client that is gone has been forwarded as disconnected
        let _ = self.replies.remove(&slot).map(|reply| reply.send(outcome));
    }

    async fn forward(&mut self, input: Input) -> Result<(), HotRestartError> {
        match self.frame_of(input) {
            Some(frame) => write_frame(&mut self.writer, &frame).await,
            None => Ok(()),
        }
    }

    /// The frame for an input; none for what the new process has of its own.
    fn frame_of(&mut self, input: Input) -> Option<ToNewProcess> {
        Some(match input {
            Input::Arrived(arrival) => ToNewProcess::Arrived(self.forwarded(arrival)),
            Input::ClientDisconnected(id) => ToNewProcess::ClientDisconnected(id.to_string()),
            Input::Rejected { class, destination } => ToNewProcess::Rejected { class, destination },
            Input::AttemptEnded(end) => ToNewProcess::AttemptEnded(ForwardedEnd {
                call: end.call,
                position: end.position,
                // a frame says only what an outcome says: a reset may have run
                outcome: match end.ambiguous {
                    true => Outcome::Reset,
                    false => end.outcome,
                },
                closed: end.closed,
                load_report: end.report,
            }),
            Input::RetryAfter { endpoint, wait } => ToNewProcess::RetryAfter {
                endpoint: endpoint.0,
                wait,
            },
            Input::GetStatus(reply) => {
                // there is no engine here any more; one who does not wait for the status needs none
                let _ = reply.send(EngineStatus::default());
                return None;
            }
            // the new process has its own list, notifications and settings, and ends when it is told; a call that
            // waits for its connection is not started here any more
            Input::RequestStart(..)
            | Input::EndpointsListed(_)
            | Input::Notified(_)
            | Input::Archived(_)
            | Input::Redrive(_)
            | Input::Reconfigure(..)
            | Input::IsOpen(..)
            | Input::ConnectionClosed { .. }
            | Input::Stopping(_) => return None,
        })
    }

    fn forwarded(&mut self, arrival: Arrival) -> ForwardedArrival {
        let slot = self.next_slot;
        self.next_slot += 1;
        self.replies.insert(slot, arrival.reply);
        ForwardedArrival {
            slot,
            id: arrival.id.to_string(),
            key: arrival.key.as_ref().map(ToString::to_string),
            class: arrival.class,
            subject: arrival.subject.as_ref().map(ToString::to_string),
            tenant: arrival.tenant.as_ref().map(ToString::to_string),
            destination: arrival.destination,
            time_to_live: arrival.time_to_live,
            age_us: u64::try_from(arrival.submitted_at.elapsed().as_micros()).unwrap_or(u64::MAX),
            resubmitted: arrival.resubmitted,
            from_failed_sender: arrival.from_failed_sender,
            body: arrival.body.to_vec(),
        }
    }
}

/// Reads frames of the new process until it is gone or nobody receives them.
async fn read_replies(mut reader: OwnedReadHalf, replies: mpsc::UnboundedSender<ToOldProcess>) {
    while let Ok(reply) = read_frame(&mut reader, MAX_FRAME_BYTES).await {
        if replies.send(reply).is_err() {
            return;
        }
    }
}
