//! Forwarding in the old process after a takeover: messages from its clients and the ends of its calls in flight go to
//! the new process; outcomes and cancellations from the new process go to the clients and calls.

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

/// Interval between two checks whether a client connection, a pending reply or a call in flight is left.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Time for which the process keeps running after its last client connection and call have ended, so that clients can
/// still read responses that have been sent.
const LINGER: Duration = Duration::from_millis(300);

/// What a process that has been taken over needs to forward inputs to the new process.
pub struct ForwardingState {
    /// For each call in flight, by number, the channel that takes the positions of the messages to be cancelled in it.
    pub cancels: BTreeMap<u64, mpsc::UnboundedSender<usize>>,
    /// Inputs from clients and calls, which are forwarded to the new process.
    pub inputs: mpsc::UnboundedReceiver<Input>,
    /// Counts the client connections.
    pub gate: Rc<DrainGate>,
}

impl ForwardingState {
    /// Confirms the takeover, and then forwards until the connection to the new process ends, or until this process has
    /// had no client connection, no pending reply and no call in flight for 300 ms. The engine must be released before
    /// this call, because the new process uses the engine's state from then on.
    pub async fn forward_until_idle(mut self, request: TakeoverRequest) {
        let (reader, mut writer) = request.0.into_split();
        if let Err(error) = write_frame(&mut writer, &TakeoverConfirmed).await {
            return log(format_args!(
                "hot restart: takeover could not be confirmed: {error}"
            ));
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
                        break log(format_args!("hot restart: connection to the new process ended"));
                    };
                    self.apply(reply, &mut forwarder);
                }
                input = self.inputs.recv() => {
                    let Some(input) = input else { break };
                    if let Err(error) = forwarder.forward(input).await {
                        break log(format_args!(
                            "hot restart: forwarding to the new process failed: {error}"
                        ));
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
                // a call that has ended in the meantime needs no cancellation
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

/// Sends inputs as frames to the new process, and keeps the reply channels of clients that wait for an outcome.
struct Forwarder {
    writer: OwnedWriteHalf,
    /// The reply channels of clients that wait for an outcome, by [`ForwardedArrival::slot`].
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
        // the send fails for a client that has disconnected, which has been forwarded as an input of its own
        let _ = self.replies.remove(&slot).map(|reply| reply.send(outcome));
    }

    async fn forward(&mut self, input: Input) -> Result<(), HotRestartError> {
        match self.convert_input(input) {
            Some(frame) => write_frame(&mut self.writer, &frame).await,
            None => Ok(()),
        }
    }

    /// The frame for an input. `None` for an input that is not forwarded.
    fn convert_input(&mut self, input: Input) -> Option<ToNewProcess> {
        Some(match input {
            Input::Arrived(arrival) => ToNewProcess::Arrived(self.convert_arrival(arrival)),
            Input::ClientDisconnected(id) => ToNewProcess::ClientDisconnected(id.to_string()),
            Input::Rejected { class, destination } => ToNewProcess::Rejected { class, destination },
            Input::AttemptEnded(end) => ToNewProcess::AttemptEnded(ForwardedEnd {
                call: end.call,
                position: end.position,
                // a frame has no `ambiguous` flag: a reset is the outcome of an attempt that may have run
                outcome: match end.ambiguous {
                    true => Outcome::Reset,
                    false => end.outcome,
                },
                closed: end.message_closed,
                load_report: end.report,
            }),
            Input::RetryAfter {
                endpoint,
                retry_after,
            } => ToNewProcess::RetryAfter {
                endpoint: endpoint.0,
                wait: retry_after,
            },
            Input::GetStatus(reply) => {
                // this process has no engine any more; the send fails only if nobody waits for the status
                let _ = reply.send(EngineStatus::default());
                return None;
            }
            // The new process has its own endpoint list, notifications and settings, and gets its own SIGTERM. A call
            // that still waits for its connection is not started in this process any more: its reply channel is
            // dropped.
            Input::RequestStart(..)
            | Input::EndpointsListed(_)
            | Input::Notified(_)
            | Input::Stored(_)
            | Input::Redrive(_)
            | Input::Reconfigure(..)
            | Input::IsOpen(..)
            | Input::ConnectionClosed { .. }
            | Input::Stopping(_) => return None,
        })
    }

    fn convert_arrival(&mut self, arrival: Arrival) -> ForwardedArrival {
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
            from_lost_sender: arrival.from_lost_sender,
            body: arrival.body.to_vec(),
        }
    }
}

/// Reads frames from the new process until the connection ends or the channel is closed.
async fn read_replies(mut reader: OwnedReadHalf, replies: mpsc::UnboundedSender<ToOldProcess>) {
    while let Ok(reply) = read_frame(&mut reader, MAX_FRAME_BYTES).await {
        if replies.send(reply).is_err() {
            return;
        }
    }
}
