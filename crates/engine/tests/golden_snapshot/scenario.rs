//! The engine whose snapshot is stored, and the steps that bring it there.

use super::layout::MILLISECOND;
use milletturn_engine::{
    AttemptEnd, Call, EndCause, Engine, Input, ListedEndpoint, Notification, Ports, SharedStr,
};
use milletturn_policy::{
    Class, DestinationKind, Effect, EndpointStatus, Micros, Outcome, SECOND, Settings, Tenant,
};
use milletturn_test_support::{
    MemoryJournal, RecordingTransport, engine_ports, new_arrival, serving_endpoint,
};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::sleep;

pub(crate) fn settings() -> Settings {
    let mut settings = Settings::new(40, 50);
    settings.notifications_enabled = true;
    let keyed = Effect::Keyed {
        window: 12 * SECOND,
        zone_only: true,
    };
    let mut ordered = Class::new("ordered", Effect::Repeatable, 2 * SECOND, 15 * SECOND);
    (
        ordered.ordered,
        ordered.priority_weight,
        ordered.late_value_share,
    ) = (true, 3.5, 0.25);
    settings.classes = vec![
        Class::new("unsafe", Effect::Unsafe, 4 * SECOND, 20 * SECOND),
        Class::new("keyed", keyed, 4 * SECOND, 20 * SECOND),
        ordered,
    ];
    settings.kinds = vec![
        DestinationKind {
            name: "one".into(),
            separate_routes: false,
            max_batch_size: 1,
        },
        DestinationKind {
            name: "many".into(),
            separate_routes: true,
            max_batch_size: 5,
        },
    ];
    settings.tenants = vec![Tenant {
        name: "acme".into(),
        allowance: 20.0,
    }];
    settings
}

pub(crate) fn ports_of(
    journal: &MemoryJournal,
    calls: &RecordingTransport,
) -> (Ports, mpsc::UnboundedReceiver<Notification>) {
    let endpoints = vec![
        serving_endpoint(1),
        serving_endpoint(2),
        ListedEndpoint {
            kind: "many".into(),
            zone: "west".into(),
            destination: 3,
            ..serving_endpoint(31)
        },
        ListedEndpoint {
            kind: "many".into(),
            zone: "east".into(),
            destination: 3,
            ..serving_endpoint(32)
        },
        serving_endpoint(4),
        ListedEndpoint {
            status: EndpointStatus::Draining,
            ..serving_endpoint(77)
        },
    ];
    let (notice, notices) = mpsc::unbounded_channel();
    let ports = Ports {
        zones: vec!["east".into(), "west".into()],
        kinds: vec!["one".into(), "many".into()],
        notifications: notice,
        ..engine_ports(settings(), endpoints, journal, calls.clone())
    };
    (ports, notices)
}

pub(crate) struct World {
    pub(crate) engine: Engine,
    pub(crate) inputs: mpsc::UnboundedSender<Input>,
    pub(crate) received: mpsc::UnboundedReceiver<Input>,
    pub(crate) calls: RecordingTransport,
    pub(crate) _notices: mpsc::UnboundedReceiver<Notification>,
}

impl World {
    fn new(journal: &MemoryJournal) -> Self {
        let calls = RecordingTransport::default();
        let (ports, notices) = ports_of(journal, &calls);
        let (inputs, received) = mpsc::unbounded_channel();
        let engine = Engine::new(ports).expect("settings");
        World {
            engine,
            inputs,
            received,
            calls,
            _notices: notices,
        }
    }

    fn hand_in(
        &self,
        id: &str,
        class: usize,
        destination: u64,
        time: Micros,
        of: (Option<&str>, Option<&str>),
    ) {
        let shared = |text: &str| SharedStr::new(text.as_bytes()).expect("a valid id");
        let (mut arrival, _) = new_arrival(id, class, class == 1);
        (arrival.destination, arrival.time_to_live) = (destination, time);
        (arrival.subject, arrival.tenant) = (of.0.map(shared), of.1.map(shared));
        self.inputs.send(Input::Arrived(arrival)).expect("open");
    }

    async fn run_for(&mut self, milliseconds: u64) {
        tokio::select! {
            () = self.engine.run(&mut self.received) => unreachable!("its inputs are open"),
            () = sleep(Duration::from_millis(milliseconds)) => {}
        }
    }

    /// Ends the last call that carries the message.
    fn end(&self, id: &str, outcome: Outcome, closed: bool) {
        let calls = self.calls.0.borrow();
        let carries = |call: &&Call| call.items.iter().any(|item| item.id.as_str() == id);
        let call = calls.iter().rev().find(carries).expect("a call");
        let item = call
            .items
            .iter()
            .position(|item| item.id.as_str() == id)
            .expect("in it");
        let call = call.number;
        let ended = AttemptEnd {
            call,
            position: item,
            outcome,
            closed,
            report: Vec::new(),
            cause: EndCause::ForeignProcess,
            ambiguous: false,
            connection_use: None,
        };
        self.inputs.send(Input::AttemptEnded(ended)).expect("open");
    }
}

/// An engine with messages in each state that a snapshot can hold.
pub(crate) async fn engine(journal: &MemoryJournal) -> World {
    let mut world = World::new(journal);
    world.hand_in("delivered", 1, 1, 20 * SECOND, (None, None));
    world.hand_in("failed", 0, 2, 20 * SECOND, (None, Some("acme")));
    world.hand_in("given-back", 1, 9, 30 * MILLISECOND, (None, None));
    world.run_for(10).await;
    world.end("delivered", Outcome::Success, true);
    world.end("failed", Outcome::Reset, false);
    world.run_for(40).await;
    // one is out after a refusal, one has ended with its call still out, two travel together, two are of one subject, one waits for an endpoint
    world.hand_in("refused-once", 1, 1, 20 * SECOND, (None, None));
    world.run_for(5).await;
    world.end(
        "refused-once",
        Outcome::Rejected {
            retry_after: Some(20 * MILLISECOND),
        },
        false,
    );
    world.run_for(600).await;
    world.hand_in("late", 1, 3, 300 * MILLISECOND, (None, None));
    world.run_for(400).await;
    world.hand_in("together-1", 0, 3, 9 * SECOND, (None, None));
    world.hand_in("together-2", 0, 3, 8 * SECOND, (None, None));
    world.hand_in(
        "in-order-1",
        2,
        4,
        12 * SECOND,
        (Some("account-9"), Some("acme")),
    );
    world.hand_in("in-order-2", 2, 4, 12 * SECOND, (Some("account-9"), None));
    world.hand_in("no-endpoint", 1, 77, 5 * SECOND, (None, None));
    world.hand_in("no-endpoint", 1, 77, 5 * SECOND, (None, None));
    world.run_for(7).await;
    world
}
