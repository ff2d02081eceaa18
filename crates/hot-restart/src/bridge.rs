//! The new process's connection to the old one, until the old one exits. Messages from the old process's clients and
//! the ends of its calls become inputs of the engine in the new process; outcomes and cancellations are sent back.

use crate::HotRestartError;
use crate::forwarded_classes::ForwardedClasses;
use crate::frames::{
    ForwardedArrival, ForwardedEnd, MAX_FRAME_BYTES, ToNewProcess, ToOldProcess, read_frame,
    write_frame,
};
use milletturn_engine::{
    Arrival, ArrivalOutcome, AttemptEnd, EndCause, ForeignCall, Input, SharedStr,
};
use milletturn_logging::log;
use milletturn_policy::{EndpointId, Outcome};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::net::UnixStream;
use tokio::net::unix::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinSet;
use tokio::time::Instant;

/// The connection to the process that was taken over.
pub struct Bridge {
    stream: UnixStream,
}

impl Bridge {
    pub(crate) fn new(stream: UnixStream) -> Self {
        Bridge { stream }
    }

    /// Runs until the connection to the old process ends. The calls that the old process has in flight at that time
    /// end with [`Outcome::Reset`]: they may have run.
    pub async fn run(
        self,
        calls: Vec<ForeignCall>,
        inputs: mpsc::UnboundedSender<Input>,
        classes: ForwardedClasses,
    ) {
        let (reader, writer) = self.stream.into_split();
        let (frames, to_write) = mpsc::unbounded_channel();
        let mut tasks = JoinSet::new();
        tasks.spawn_local(write_frames(writer, to_write));
        let mut in_flight = CallsInFlight::default();
        for ForeignCall {
            call,
            items,
            cancels,
        } in calls
        {
            in_flight.0.insert(call, vec![true; items]);
            tasks.spawn_local(forward_cancels(call, cancels, frames.clone()));
        }
        let mut receiver = Receiver {
            in_flight,
            inputs,
            classes,
            frames,
            tasks,
        };
        let error = receiver.receive(reader).await;
        receiver.end_pending_calls(&error);
    }
}

/// The calls of the old process that have not ended completely. For each call, by number, there is one flag per
/// message, which is true while the attempt for that message is pending.
#[derive(Default)]
struct CallsInFlight(BTreeMap<u64, Vec<bool>>);

impl CallsInFlight {
    fn remove(&mut self, call: u64, position: usize) {
        if let Some(pending) = self.0.get_mut(&call) {
            if let Some(is_pending) = pending.get_mut(position) {
                *is_pending = false;
            }
            if !pending.contains(&true) {
                self.0.remove(&call);
            }
        }
    }
}

/// Turns the frames of the old process into inputs of the engine.
struct Receiver {
    in_flight: CallsInFlight,
    inputs: mpsc::UnboundedSender<Input>,
    classes: ForwardedClasses,
    /// Frames to be sent to the old process.
    frames: mpsc::UnboundedSender<ToOldProcess>,
    /// The tasks that wait for outcomes and cancellations, and the one that writes frames. All end with the bridge.
    tasks: JoinSet<()>,
}

impl Receiver {
    /// Reads frames until one can't be read, normally because the old process has exited. Returns that error.
    async fn receive(&mut self, mut reader: OwnedReadHalf) -> HotRestartError {
        loop {
            let frame = match read_frame(&mut reader, MAX_FRAME_BYTES).await {
                Ok(frame) => frame,
                Err(error) => return error,
            };
            let input = match self.convert_frame(frame) {
                Ok(Some(input)) => input,
                Ok(None) => continue,
                Err(error) => return error,
            };
            if self.inputs.send(input).is_err() {
                return HotRestartError::Protocol("a frame after the engine of this process ended");
            }
        }
    }

    /// The input for a frame; `None` for a frame of which the engine does not need to know.
    fn convert_frame(&mut self, frame: ToNewProcess) -> Result<Option<Input>, HotRestartError> {
        Ok(Some(match frame {
            ToNewProcess::Arrived(forwarded) => {
                return Ok(self.convert_arrival(forwarded)?.map(Input::Arrived));
            }
            ToNewProcess::ClientDisconnected(id) => Input::ClientDisconnected(shared_str(&id)?),
            ToNewProcess::Rejected { class, destination } => {
                let class = self.classes.find(class);
                return Ok(class.map(|class| Input::Rejected {
                    class: class.position,
                    destination,
                }));
            }
            ToNewProcess::RetryAfter { endpoint, wait } => Input::RetryAfter {
                endpoint: EndpointId(endpoint),
                retry_after: wait,
            },
            ToNewProcess::AttemptEnded(end) => {
                self.in_flight.remove(end.call, end.position);
                Input::AttemptEnded(attempt_end(end))
            }
        }))
    }

    /// Converts a forwarded message, and spawns the task that sends the outcome of the message to the old process. A
    /// message that the current settings of its class don't allow is not accepted, and the result is `None`.
    fn convert_arrival(
        &mut self,
        forwarded: ForwardedArrival,
    ) -> Result<Option<Arrival>, HotRestartError> {
        let optional = |text: Option<String>| text.map(|text| shared_str(&text)).transpose();
        let id = shared_str(&forwarded.id)?;
        let key = optional(forwarded.key)?;
        let subject = optional(forwarded.subject)?;
        let tenant = optional(forwarded.tenant)?;
        let class = self.classes.find(forwarded.class);
        let Some(class) = class.filter(|class| key.is_some() || !class.requires_key) else {
            // the send fails only if the tasks of this bridge have ended, and the bridge with them
            let _ = self.frames.send(ToOldProcess::Outcome {
                slot: forwarded.slot,
                outcome: ArrivalOutcome::NoCapacity,
            });
            return Ok(None);
        };
        let now = Instant::now();
        let age = Duration::from_micros(forwarded.age_us);
        let (reply, outcome) = oneshot::channel();
        // remove the tasks that have forwarded their outcome, so that the set does not grow with each message
        while self.tasks.try_join_next().is_some() {}
        self.tasks.spawn_local(forward_outcome(
            forwarded.slot,
            outcome,
            self.frames.clone(),
        ));
        Ok(Some(Arrival {
            id,
            key,
            class: class.position,
            subject: subject.filter(|_| class.is_ordered),
            tenant,
            destination: forwarded.destination,
            time_to_live: forwarded.time_to_live,
            submitted_at: now.checked_sub(age).unwrap_or(now),
            resubmitted: forwarded.resubmitted,
            from_lost_sender: forwarded.from_lost_sender,
            body: forwarded.body.into(),
            reply,
        }))
    }

    /// Ends the calls that the old process had in flight when the connection was lost.
    fn end_pending_calls(self, error: &HotRestartError) {
        let calls = self.in_flight.0;
        log(format_args!(
            "hot restart: connection to the old process ended ({error}), {} calls cut off",
            calls.len()
        ));
        for (call, pending) in calls {
            for (position, _) in pending
                .into_iter()
                .enumerate()
                .filter(|(_, pending)| *pending)
            {
                let end = attempt_end(ForwardedEnd {
                    call,
                    position,
                    outcome: Outcome::Reset,
                    closed: false,
                    load_report: Vec::new(),
                });
                // the send fails only if the engine has ended, and then no input matters
                let _ = self.inputs.send(Input::AttemptEnded(end));
            }
        }
    }
}

fn attempt_end(end: ForwardedEnd) -> AttemptEnd {
    AttemptEnd {
        call: end.call,
        position: end.position,
        outcome: end.outcome,
        message_closed: end.closed,
        report: end.load_report,
        cause: EndCause::ForeignProcess,
        ambiguous: false,
        connection_use: None,
    }
}

fn shared_str(text: &str) -> Result<SharedStr, HotRestartError> {
    SharedStr::new(text.as_bytes())
        .map_err(|_| HotRestartError::Protocol("invalid id, key, subject or tenant"))
}

async fn write_frames(
    mut writer: OwnedWriteHalf,
    mut frames: mpsc::UnboundedReceiver<ToOldProcess>,
) {
    while let Some(frame) = frames.recv().await {
        if write_frame(&mut writer, &frame).await.is_err() {
            return;
        }
    }
}

async fn forward_cancels(
    call: u64,
    mut cancels: mpsc::UnboundedReceiver<usize>,
    frames: mpsc::UnboundedSender<ToOldProcess>,
) {
    while let Some(position) = cancels.recv().await {
        // the send fails once the old process has exited, and then its calls have ended as well
        let _ = frames.send(ToOldProcess::Cancel { call, position });
    }
}

async fn forward_outcome(
    slot: u64,
    outcome: oneshot::Receiver<ArrivalOutcome>,
    frames: mpsc::UnboundedSender<ToOldProcess>,
) {
    if let Ok(outcome) = outcome.await {
        let _ = frames.send(ToOldProcess::Outcome { slot, outcome });
    }
}
