//! The new process's connection to the old one, while that lives: what its clients and calls bring becomes inputs of
//! the engine here, and the engine's outcomes and cancels go back.

use crate::HotRestartError;
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

/// The connection to the process that has been taken over.
pub struct Bridge {
    stream: UnixStream,
}

impl Bridge {
    pub(crate) fn new(stream: UnixStream) -> Self {
        Bridge { stream }
    }

    /// Runs until the old process is gone. Its calls in flight then end as cut off: they may have run.
    pub async fn run(self, calls: Vec<ForeignCall>, inputs: mpsc::UnboundedSender<Input>) {
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
            frames,
            tasks,
        };
        let error = receiver.receive(reader).await;
        receiver.cut_off(&error);
    }
}

/// The messages of the old process's calls whose ends are yet to come: by call, true at their positions.
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

/// Turns the old process's frames into inputs.
struct Receiver {
    in_flight: CallsInFlight,
    inputs: mpsc::UnboundedSender<Input>,
    /// To the old process.
    frames: mpsc::UnboundedSender<ToOldProcess>,
    /// Write frames and wait for what is to be written; they end with the bridge.
    tasks: JoinSet<()>,
}

impl Receiver {
    /// Reads until that fails, at the end of the old process above all; why.
    async fn receive(&mut self, mut reader: OwnedReadHalf) -> HotRestartError {
        loop {
            let frame = match read_frame(&mut reader, MAX_FRAME_BYTES).await {
                Ok(frame) => frame,
                Err(error) => return error,
            };
            let input = match self.input_of(frame) {
                Ok(input) => input,
                Err(error) => return error,
            };
            if self.inputs.send(input).is_err() {
                return HotRestartError::Protocol("after the end of this process");
            }
        }
    }

    fn input_of(&mut self, frame: ToNewProcess) -> Result<Input, HotRestartError> {
        Ok(match frame {
            ToNewProcess::Arrived(forwarded) => Input::Arrived(self.arrival_of(forwarded)?),
            ToNewProcess::ClientDisconnected(id) => Input::ClientDisconnected(shared(&id)?),
            ToNewProcess::Rejected { class, destination } => Input::Rejected { class, destination },
            ToNewProcess::RetryAfter { endpoint, wait } => Input::RetryAfter {
                endpoint: EndpointId(endpoint),
                wait,
            },
            ToNewProcess::AttemptEnded(end) => {
                self.in_flight.remove(end.call, end.position);
                Input::AttemptEnded(attempt_end(end))
            }
        })
    }

    /// The arrival, whose outcome goes back to the old process by a task of its own.
    fn arrival_of(&mut self, forwarded: ForwardedArrival) -> Result<Arrival, HotRestartError> {
        let optional = |text: Option<String>| text.map(|text| shared(&text)).transpose();
        let id = shared(&forwarded.id)?;
        let key = optional(forwarded.key)?;
        let subject = optional(forwarded.subject)?;
        let tenant = optional(forwarded.tenant)?;
        let now = Instant::now();
        let age = Duration::from_micros(forwarded.age_us);
        let (reply, outcome) = oneshot::channel();
        // those that have ended are dropped now and then, so that there are no more than messages in flight
        while self.tasks.try_join_next().is_some() {}
        self.tasks.spawn_local(forward_outcome(
            forwarded.slot,
            outcome,
            self.frames.clone(),
        ));
        Ok(Arrival {
            id,
            key,
            class: forwarded.class,
            subject,
            tenant,
            destination: forwarded.destination,
            time_to_live: forwarded.time_to_live,
            submitted_at: now.checked_sub(age).unwrap_or(now),
            resubmitted: forwarded.resubmitted,
            from_failed_sender: forwarded.from_failed_sender,
            body: forwarded.body.into(),
            reply,
        })
    }

    /// Ends the calls that the old process had in flight when it went.
    fn cut_off(self, error: &HotRestartError) {
        let calls = self.in_flight.0;
        log(format_args!(
            "hot restart: the old process is gone ({error}), {} calls cut off",
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
                // nobody listens any more only when the process ends
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
        closed: end.closed,
        report: end.load_report,
        cause: EndCause::ForeignProcess,
        ambiguous: false,
        connection_use: None,
    }
}

fn shared(text: &str) -> Result<SharedStr, HotRestartError> {
    SharedStr::new(text.as_bytes()).map_err(|_| HotRestartError::Protocol("an id"))
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
        // nobody listens any more once the old process is gone
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
