//! The recorded bytes of earlier builds, and the values that are encoded in them.

use milletturn_engine::{
    Arrival, ArrivalOutcome, AttemptEnd, Call, EndCause, Engine, Input, Ports, SharedStr,
};
use milletturn_policy::{Class, DestinationKind, Effect, EndpointId, Outcome, SECOND, Settings};
use milletturn_test_support::{
    MemoryJournal, RecordingTransport, engine_ports, new_arrival, serving_endpoint,
};
use std::fs;
use std::path::PathBuf;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep};

pub(crate) const HELLO: &[u8] = b"MTH1\x07\0\0\0";
/// The offer of an old process that operators are draining, with one call in flight and two client connections.
pub(crate) const OFFER: &[u8] = include_bytes!("offer.bin");
pub(crate) const COMMIT: &[u8] = b"\x01\0\0\0\0";
pub(crate) const EXIT: &[u8] = b"\x01\0\0\0\x01";
pub(crate) const CONFIRMED: &[u8] = b"\0\0\0\0";
/// Frames of every kind from the old process to the new one. They encode the values that `inputs` returns.
pub(crate) const TO_NEW: &[u8] = include_bytes!("to-new.bin");
/// Frames from the new process to the old one: `ARRIVAL_OUTCOMES` for the arrivals in `TO_NEW`, and `CANCELS`.
pub(crate) const TO_OLD: &[u8] = include_bytes!("to-old.bin");

pub(crate) const ARRIVAL_OUTCOMES: [ArrivalOutcome; 6] = [
    ArrivalOutcome::Accepted,
    ArrivalOutcome::AlreadyDelivered,
    ArrivalOutcome::Rejected { retry_after: None },
    ArrivalOutcome::Rejected {
        retry_after: Some(2_500_000),
    },
    ArrivalOutcome::NoCapacity,
    ArrivalOutcome::Failed,
];

pub(crate) const OUTCOMES: [Outcome; 10] = [
    Outcome::Success,
    Outcome::Error,
    Outcome::Rejected { retry_after: None },
    Outcome::Rejected {
        retry_after: Some(1_500_000),
    },
    Outcome::TimedOut,
    Outcome::NoConnection,
    Outcome::Reset,
    Outcome::Cancelled,
    Outcome::Unsent { no_slot: false },
    Outcome::Unsent { no_slot: true },
];

/// Calls in flight in the old process, each with the position of the message that is cancelled.
pub(crate) const CANCELS: [(u64, usize); 2] = [(20, 1), (300, 2)];

pub(crate) fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("milletturn-{name}-{}", std::process::id()));
    // an earlier run may have left the folder behind
    let _ = fs::remove_dir_all(&folder);
    fs::create_dir_all(&folder).expect("a folder");
    folder
}

pub(crate) fn shared_str(text: &str) -> SharedStr {
    SharedStr::new(text.as_bytes()).expect("a valid text")
}

/// The message of a slot as it is submitted, and the receiver of its outcome. The message of slot 0 has all optional
/// fields.
pub(crate) fn submitted(slot: usize) -> (Arrival, oneshot::Receiver<ArrivalOutcome>) {
    let (reply, outcome) = oneshot::channel();
    let first = slot == 0;
    let arrival = Arrival {
        id: shared_str(&format!("message-{slot}")),
        key: first.then(|| shared_str("key")),
        class: slot,
        subject: first.then(|| shared_str("account-9")),
        tenant: first.then(|| shared_str("acme")),
        destination: 1000 + slot as u64,
        time_to_live: 20_000_000,
        submitted_at: Instant::now() - Duration::from_micros(1234),
        resubmitted: slot == 1,
        from_lost_sender: slot == 2,
        body: vec![b'x'; slot].into(),
        reply,
    };
    (arrival, outcome)
}

/// One of the ends of attempts in `TO_NEW`: the one with `OUTCOMES[number]`.
pub(crate) fn ended(number: usize) -> AttemptEnd {
    AttemptEnd {
        call: 300,
        position: number,
        outcome: OUTCOMES[number],
        message_closed: number == 0,
        report: if number == 0 {
            vec![0.5, 40.0]
        } else {
            Vec::new()
        },
        cause: EndCause::ForeignProcess,
        ambiguous: false,
        connection_use: None,
    }
}

/// The inputs that the old process gets from its clients and calls, and the receivers of the outcomes that the clients
/// wait for.
pub(crate) fn inputs() -> (Vec<Input>, Vec<oneshot::Receiver<ArrivalOutcome>>) {
    let (arrivals, outcomes): (Vec<_>, Vec<_>) = (0..ARRIVAL_OUTCOMES.len()).map(submitted).unzip();
    let mut inputs: Vec<Input> = arrivals.into_iter().map(Input::Arrived).collect();
    inputs.push(Input::ClientDisconnected(shared_str("message-0")));
    inputs.push(Input::Rejected {
        class: 1,
        destination: 77,
    });
    inputs.extend((0..OUTCOMES.len()).map(|number| Input::AttemptEnded(ended(number))));
    inputs.push(Input::RetryAfter {
        endpoint: EndpointId(9),
        retry_after: 3_000_000,
    });
    (inputs, outcomes)
}

/// An engine with one call in flight.
pub(crate) async fn engine() -> Engine {
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
    let calls = RecordingTransport::default();
    let ports: Ports = engine_ports(
        settings,
        vec![serving_endpoint(1)],
        &MemoryJournal::default(),
        calls.clone(),
    );
    let mut engine = Engine::new(ports).expect("settings");
    let (inputs, mut received) = mpsc::unbounded_channel();
    let (arrival, _outcome) = new_arrival("m1", 0, false);
    inputs.send(Input::Arrived(arrival)).expect("open");
    tokio::select! {
        () = engine.run(&mut received) => unreachable!("the inputs are open"),
        () = sleep(Duration::from_millis(5)) => {}
    }
    let calls: Vec<Call> = calls.0.take();
    assert_eq!((calls.len(), engine.calls_in_flight()), (1, 1));
    engine
}
