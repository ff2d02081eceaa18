//! An engine that goes on in another process, in virtual time; and the format version of the snapshot that it
//! travels in.

use milletturn_engine::{
    ArrivalOutcome, AttemptEnd, CallItem, EndCause, Ending, Engine, Input, Notification, Ports,
    RestoredEngine, Snapshot, stable_hash,
};
use milletturn_hot_restart::FORMAT_VERSION;
use milletturn_policy::{Class, DestinationKind, Effect, Outcome, SECOND, Settings};
use milletturn_test_support::{
    CrashPoint, EffectRecorder, MemoryJournal, ScriptedOutcome, SimulatedEnvironment,
    VirtualTransport, engine_ports, new_arrival, serving_endpoint,
};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::task::{LocalSet, yield_now};
use tokio::time::{Instant, sleep};

/// Changes with each change of any type in a snapshot. When it does, raise `FORMAT_VERSION` and take the new value
/// over: a process of the other version must go on from the journal. A change of decisions that this small run makes
/// changes the value too; then the version stays.
const FINGERPRINT: (u32, u64) = (7, 6_957_180_694_112_498_467);

/// The parts of one process.
struct Process {
    ports: Ports,
    inputs: mpsc::UnboundedSender<Input>,
    received: mpsc::UnboundedReceiver<Input>,
    notifications: mpsc::UnboundedReceiver<Notification>,
}

/// A process whose calls go to a client system that never answers.
fn process(journal: &MemoryJournal) -> Process {
    let mut settings = Settings::new(8, 50);
    settings.classes.push(Class::new(
        "unsafe",
        Effect::Unsafe,
        4 * SECOND,
        20 * SECOND,
    ));
    settings.kinds.push(DestinationKind {
        name: "one".into(),
        separate_routes: false,
        max_batch_size: 1,
    });
    let outside = SimulatedEnvironment {
        started_at: Instant::now(),
        effects: Rc::new(RefCell::new(EffectRecorder::new(|_| 0))),
        script: Rc::new(RefCell::new(|_: &CallItem, _| ScriptedOutcome {
            executes_after: None,
            reported: None,
        })),
        received_messages: Rc::default(),
    };
    let (inputs, received) = mpsc::unbounded_channel();
    let (notifications, notified) = mpsc::unbounded_channel();
    let transport = VirtualTransport::new(outside, CrashPoint::new(u64::MAX), inputs.clone());
    let ports = Ports {
        notifications,
        ..engine_ports(settings, vec![serving_endpoint(1)], journal, transport)
    };
    Process {
        ports,
        inputs,
        received,
        notifications: notified,
    }
}

fn submit(inputs: &mpsc::UnboundedSender<Input>, id: &str) -> oneshot::Receiver<ArrivalOutcome> {
    let (arrival, outcome) = new_arrival(id, 0, false);
    inputs
        .send(Input::Arrived(arrival))
        .expect("somebody listens");
    outcome
}

/// Runs the engine until all that has been sent is done, and stops it between two turns.
async fn settle(engine: &mut Engine, received: &mut mpsc::UnboundedReceiver<Input>) {
    tokio::select! {
        () = engine.run(received) => unreachable!("its inputs are open"),
        () = sleep(Duration::from_millis(5)) => {}
    }
}

/// The snapshot of an engine that has accepted `m1` and `m2` and has both in flight. The engine is gone.
async fn snapshot_with_two_calls(journal: &MemoryJournal) -> Vec<u8> {
    let Process {
        ports,
        inputs,
        mut received,
        ..
    } = process(journal);
    let mut old = Engine::new(ports).expect("settings");
    let outcomes = [submit(&inputs, "m1"), submit(&inputs, "m2")];
    settle(&mut old, &mut received).await;
    for outcome in outcomes {
        assert_eq!(outcome.await, Ok(ArrivalOutcome::Accepted));
    }
    assert_eq!(old.calls_in_flight(), 2);
    let bytes = old.snapshot().expect("encoded");
    assert_eq!(old.into_cancel_senders().len(), 2);
    bytes
}

/// The end of a call of the old process.
fn attempt_ended(call: u64, outcome: Outcome) -> Input {
    Input::AttemptEnded(AttemptEnd {
        call,
        position: 0,
        outcome,
        closed: outcome == Outcome::Success,
        report: Vec::new(),
        cause: EndCause::ForeignProcess,
        ambiguous: false,
        connection_use: None,
    })
}

#[tokio::test(start_paused = true)]
async fn calls_of_the_old_process_end_in_the_new_one_and_the_format_version_is_known() {
    LocalSet::new()
        .run_until(async {
            let journal = MemoryJournal::default();
            let bytes = snapshot_with_two_calls(&journal).await;
            assert_eq!(
                (FORMAT_VERSION, stable_hash(&bytes)),
                FINGERPRINT,
                "the format has changed: raise FORMAT_VERSION, and note the new value here"
            );
            // the old engine is gone; its calls go on
            let Process {
                ports,
                inputs,
                mut received,
                mut notifications,
            } = process(&journal);
            let snapshot = Snapshot::decode(&bytes).expect("read");
            let RestoredEngine {
                mut engine,
                foreign_calls,
            } = Engine::restore(snapshot, ports).expect("settings");
            let calls: Vec<u64> = foreign_calls.iter().map(|foreign| foreign.call).collect();
            assert_eq!(calls.len(), 2);
            let ends = [(calls[0], Outcome::Success), (calls[1], Outcome::Reset)];
            for (call, outcome) in ends {
                inputs.send(attempt_ended(call, outcome)).expect("open");
            }
            // the same id is the same message in either process
            let resubmitted = submit(&inputs, "m1");
            settle(&mut engine, &mut received).await;
            yield_now().await;
            assert_eq!(resubmitted.await, Ok(ArrivalOutcome::AlreadyDelivered));
            let failed = notifications
                .try_recv()
                .expect("the other one is unsafe and may have run");
            assert_eq!((failed.id.as_str(), failed.ending), ("m2", Ending::Failed));
            assert!(notifications.try_recv().is_err(), "one end each");
        })
        .await;
}

#[test]
fn a_snapshot_that_is_cut_or_changed_is_an_error_or_another_snapshot_never_a_panic() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build();
    LocalSet::new().block_on(&runtime.expect("built"), async {
        let journal = MemoryJournal::default();
        let Process {
            ports,
            inputs,
            mut received,
            ..
        } = process(&journal);
        let mut engine = Engine::new(ports).expect("settings");
        let _outcome = submit(&inputs, "m1");
        settle(&mut engine, &mut received).await;
        let bytes = engine.snapshot().expect("encoded");
        for cut in 0..bytes.len() {
            assert!(Snapshot::decode(&bytes[..cut]).is_err(), "{cut}");
        }
        for at in 0..bytes.len() {
            let mut changed = bytes.clone();
            changed[at] ^= 0x55;
            assert!(
                Snapshot::decode(&changed).is_err(),
                "its sum no longer fits, {at}"
            );
        }
    });
}
