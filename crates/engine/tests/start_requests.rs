//! Calls whose connection took long to open: they ask the engine whether they may still start.

mod common;

use milletturn_engine::*;
use milletturn_policy::{Micros, Outcome, SECOND};
use milletturn_test_support::{
    MemoryJournal, RecordingTransport, engine_ports, new_arrival, serving_endpoint,
};
use tokio::sync::{mpsc, oneshot};
use tokio::task::{LocalSet, yield_now};
use tokio::time::Instant;

struct Inputs {
    sender: mpsc::UnboundedSender<Input>,
    receiver: mpsc::UnboundedReceiver<Input>,
}

fn engine(calls: &RecordingTransport) -> (Engine, Inputs) {
    let settings = common::keyed_settings(40, 50, 1);
    let (sender, receiver) = mpsc::unbounded_channel();
    let engine = Engine::new(engine_ports(
        settings,
        vec![serving_endpoint(1)],
        &MemoryJournal::default(),
        calls.clone(),
    ));
    (engine.expect("valid settings"), Inputs { sender, receiver })
}

fn rejection(call: u64, retry_after: Micros) -> Input {
    let (outcome, cause) = (
        Outcome::Rejected {
            retry_after: Some(retry_after),
        },
        EndCause::Response(429),
    );
    Input::AttemptEnded(AttemptEnd {
        call,
        position: 0,
        outcome,
        message_closed: false,
        report: Vec::new(),
        cause,
        ambiguous: false,
        connection_use: None,
    })
}

fn request_start(inputs: &mpsc::UnboundedSender<Input>, call: u64) -> oneshot::Receiver<Instant> {
    let (reply_sender, reply) = oneshot::channel();
    inputs
        .send(Input::RequestStart(call, reply_sender))
        .expect("the engine runs");
    reply
}

#[tokio::test(flavor = "current_thread", start_paused = true)]
async fn a_call_must_not_start_during_a_retry_after_delay() {
    LocalSet::new()
        .run_until(async {
            let calls = RecordingTransport::default();
            let (mut engine, inputs) = engine(&calls);
            let (inputs, mut received) = (inputs.sender, inputs.receiver);
            tokio::task::spawn_local(async move { engine.run(&mut received).await });
            inputs
                .send(Input::Arrived(new_arrival("m1", 0, true).0))
                .expect("the input channel is open");
            inputs
                .send(Input::Arrived(new_arrival("m2", 0, true).0))
                .expect("the input channel is open");
            while calls.0.borrow().len() < 2 {
                yield_now().await;
            }
            let (first, second) = (calls.0.borrow()[0].number, calls.0.borrow()[1].number);
            let write_by = request_start(&inputs, second)
                .await
                .expect("the call may start");
            assert!(
                write_by > Instant::now()
                    && write_by <= Instant::now() + std::time::Duration::from_secs(20)
            );
            // both inputs are handled in one turn, and the retry-after delay must already apply to the request
            inputs
                .send(rejection(first, 3 * SECOND))
                .expect("the input channel is open");
            let reply = request_start(&inputs, second);
            assert!(
                reply.await.is_err(),
                "the destination has demanded a retry-after delay"
            );
            assert!(
                request_start(&inputs, 99).await.is_err(),
                "there is no such call"
            );
        })
        .await;
}
