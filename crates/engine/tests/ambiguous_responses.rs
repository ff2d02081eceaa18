//! Ambiguous responses, which may be duplicates of earlier ones: what the journal records about their attempts.

mod common;

use milletturn_engine::*;
use milletturn_policy::{Class, Effect, Outcome, SECOND};
use milletturn_test_support::{
    MemoryJournal, RecordingTransport, engine_ports, new_arrival, serving_endpoint,
};
use tokio::sync::mpsc;
use tokio::task::{LocalSet, yield_now};

/// The position of the class whose messages must never be processed twice.
const AT_MOST_ONCE: usize = 1;

/// Submits a message whose attempt is rejected. Returns the attempt as the journal holds it, and whether the call was
/// marked `at_most_once`.
async fn attempt_after_rejection(class: usize, ambiguous: bool) -> (AttemptStarted, bool) {
    let (calls, journal) = (RecordingTransport::default(), MemoryJournal::default());
    let mut settings = common::keyed_settings(40, 50, 1);
    settings
        .classes
        .push(Class::new("once", Effect::Unsafe, 4 * SECOND, 20 * SECOND));
    let (inputs, mut received) = mpsc::unbounded_channel();
    let ports = engine_ports(settings, vec![serving_endpoint(1)], &journal, calls.clone());
    let mut engine = Engine::new(ports).expect("valid settings");
    tokio::task::spawn_local(async move { engine.run(&mut received).await });
    inputs
        .send(Input::Arrived(
            new_arrival("m1", class, class != AT_MOST_ONCE).0,
        ))
        .expect("the input channel is open");
    while calls.0.borrow().is_empty() {
        yield_now().await;
    }
    let (number, at_most_once) = {
        let call = &calls.0.borrow()[0];
        (call.number, call.at_most_once)
    };
    let rejection = AttemptEnd {
        call: number,
        position: 0,
        outcome: Outcome::Rejected { retry_after: None },
        message_closed: false,
        report: Vec::new(),
        cause: EndCause::Response(503),
        ambiguous,
        connection_use: None,
    };
    inputs
        .send(Input::AttemptEnded(rejection))
        .expect("the input channel is open");
    // the reply to this input shows that the engine has received the end of the attempt
    let (reply, status) = tokio::sync::oneshot::channel();
    inputs
        .send(Input::GetStatus(reply))
        .expect("the input channel is open");
    status.await.expect("the engine runs");
    yield_now().await;
    let unfinished = journal.unfinished();
    let message = unfinished.values().next().expect("the message is open");
    (message.attempts[0].clone(), at_most_once)
}

#[tokio::test(flavor = "current_thread", start_paused = true)]
async fn only_an_unambiguous_rejection_is_recorded_as_never_run() {
    LocalSet::new()
        .run_until(async {
            for (ambiguous, never_ran) in [(false, true), (true, false)] {
                let (attempt, _) = attempt_after_rejection(0, ambiguous).await;
                assert_eq!(attempt.never_ran, never_ran);
            }
        })
        .await;
}

#[tokio::test(flavor = "current_thread", start_paused = true)]
async fn a_call_is_marked_if_its_messages_must_not_run_twice() {
    LocalSet::new()
        .run_until(async {
            for (class, expected) in [(0, false), (AT_MOST_ONCE, true)] {
                let (_, at_most_once) = attempt_after_rejection(class, false).await;
                assert_eq!(at_most_once, expected);
            }
        })
        .await;
}
