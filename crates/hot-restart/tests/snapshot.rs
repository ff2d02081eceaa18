//! An engine that is restored in another process from its snapshot, in virtual time; and the format version of the
//! snapshot.

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

/// Format version and hash of the snapshot that this test takes. The hash changes with each change to a type in the
/// snapshot: then raise `FORMAT_VERSION` and set the new value here, since a process of the other version must recover
/// from the journal instead. If the hash changes only because the engine decides differently in this test, set the new
/// value and keep the version.
const FINGERPRINT: (u32, u64) = (7, 6_957_180_694_112_498_467);

/// The engine's ports in one process, and the other ends of their channels.
struct Process {
    ports: Ports,
    inputs: mpsc::UnboundedSender<Input>,
    received: mpsc::UnboundedReceiver<Input>,
    notifications: mpsc::UnboundedReceiver<Notification>,
}

/// A process whose calls go to an endpoint that never responds.
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
    let environment = SimulatedEnvironment {
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
    let transport = VirtualTransport::new(environment, CrashPoint::new(u64::MAX), inputs.clone());
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
        .expect("the inputs are open");
    outcome
}

/// Runs the engine until it has handled all inputs, and then cancels `run`. The clock is paused, so the 5 ms pass only
/// when every task is idle.
async fn run_until_idle(engine: &mut Engine, received: &mut mpsc::UnboundedReceiver<Input>) {
    tokio::select! {
        () = engine.run(received) => unreachable!("the inputs are open"),
        () = sleep(Duration::from_millis(5)) => {}
    }
}

/// The snapshot of an engine that has accepted `m1` and `m2` and has both in flight. The engine is then dropped.
async fn snapshot_with_two_calls(journal: &MemoryJournal) -> Vec<u8> {
    let Process {
        ports,
        inputs,
        mut received,
        ..
    } = process(journal);
    let mut old = Engine::new(ports).expect("settings");
    let outcomes = [submit(&inputs, "m1"), submit(&inputs, "m2")];
    run_until_idle(&mut old, &mut received).await;
    for outcome in outcomes {
        assert_eq!(outcome.await, Ok(ArrivalOutcome::Accepted));
    }
    assert_eq!(old.calls_in_flight(), 2);
    let bytes = old.snapshot().expect("encoded");
    assert_eq!(old.into_cancel_senders().len(), 2);
    bytes
}

/// The end of an attempt that the old process made.
fn attempt_ended(call: u64, outcome: Outcome) -> Input {
    Input::AttemptEnded(AttemptEnd {
        call,
        position: 0,
        outcome,
        message_closed: outcome == Outcome::Success,
        report: Vec::new(),
        cause: EndCause::ForeignProcess,
        ambiguous: false,
        connection_use: None,
    })
}

#[tokio::test(start_paused = true)]
async fn calls_of_the_old_process_end_in_the_new_one_and_the_snapshot_format_is_unchanged() {
    LocalSet::new()
        .run_until(async {
            let journal = MemoryJournal::default();
            let bytes = snapshot_with_two_calls(&journal).await;
            assert_eq!(
                (FORMAT_VERSION, stable_hash(&bytes)),
                FINGERPRINT,
                "the format has changed: raise FORMAT_VERSION, and set the new hash in FINGERPRINT"
            );
            // the old engine has been dropped; its calls are still in flight
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
            // a message submitted again under the same id is recognized in the new process
            let resubmitted = submit(&inputs, "m1");
            run_until_idle(&mut engine, &mut received).await;
            yield_now().await;
            assert_eq!(resubmitted.await, Ok(ArrivalOutcome::AlreadyDelivered));
            let failed = notifications
                .try_recv()
                .expect("a notification of m2, which is unsafe and may have run");
            assert_eq!((failed.id.as_str(), failed.ending), ("m2", Ending::Failed));
            assert!(
                notifications.try_recv().is_err(),
                "only m2 has a notification"
            );
        })
        .await;
}

#[test]
fn a_truncated_or_changed_snapshot_is_an_error() {
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
        run_until_idle(&mut engine, &mut received).await;
        let bytes = engine.snapshot().expect("encoded");
        for cut in 0..bytes.len() {
            assert!(Snapshot::decode(&bytes[..cut]).is_err(), "{cut}");
        }
        for at in 0..bytes.len() {
            let mut changed = bytes.clone();
            changed[at] ^= 0x55;
            assert!(
                Snapshot::decode(&changed).is_err(),
                "the checksum does not match, byte {at} changed"
            );
        }
    });
}
