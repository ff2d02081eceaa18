//! The engine whose snapshot is stored, and the inputs that bring it into that state.

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
    let (notification_sender, notifications) = mpsc::unbounded_channel();
    let ports = Ports {
        zones: vec!["east".into(), "west".into()],
        kinds: vec!["one".into(), "many".into()],
        notifications: notification_sender,
        ..engine_ports(settings(), endpoints, journal, calls.clone())
    };
    (ports, notifications)
}

pub(crate) struct Fixture {
    pub(crate) engine: Engine,
    pub(crate) inputs: mpsc::UnboundedSender<Input>,
    pub(crate) received_inputs: mpsc::UnboundedReceiver<Input>,
    pub(crate) calls: RecordingTransport,
    pub(crate) _notifications: mpsc::UnboundedReceiver<Notification>,
}

impl Fixture {
    fn new(journal: &MemoryJournal) -> Self {
        let calls = RecordingTransport::default();
        let (ports, notifications) = ports_of(journal, &calls);
        let (inputs, received_inputs) = mpsc::unbounded_channel();
        let engine = Engine::new(ports).expect("valid settings");
        Fixture {
            engine,
            inputs,
            received_inputs,
            calls,
            _notifications: notifications,
        }
    }

    fn submit(
        &self,
        id: &str,
        class: usize,
        destination: u64,
        time_to_live: Micros,
        subject_and_tenant: (Option<&str>, Option<&str>),
    ) {
        let shared = |text: &str| SharedStr::new(text.as_bytes()).expect("a valid id");
        let (mut arrival, _) = new_arrival(id, class, class == 1);
        (arrival.destination, arrival.time_to_live) = (destination, time_to_live);
        (arrival.subject, arrival.tenant) = (
            subject_and_tenant.0.map(shared),
            subject_and_tenant.1.map(shared),
        );
        self.inputs
            .send(Input::Arrived(arrival))
            .expect("the input channel is open");
    }

    async fn run_for_ms(&mut self, duration_ms: u64) {
        tokio::select! {
            () = self.engine.run(&mut self.received_inputs) => unreachable!("the input channel is open"),
            () = sleep(Duration::from_millis(duration_ms)) => {}
        }
    }

    /// Ends the attempt for the message in the last call that carries the message.
    fn end_attempt(&self, id: &str, outcome: Outcome, message_closed: bool) {
        let calls = self.calls.0.borrow();
        let carries = |call: &&Call| call.items.iter().any(|item| item.id.as_str() == id);
        let call = calls
            .iter()
            .rev()
            .find(carries)
            .expect("a call carries the message");
        let position = call
            .items
            .iter()
            .position(|item| item.id.as_str() == id)
            .expect("the call carries the message");
        let call = call.number;
        let ended = AttemptEnd {
            call,
            position,
            outcome,
            message_closed,
            report: Vec::new(),
            cause: EndCause::ForeignProcess,
            ambiguous: false,
            connection_use: None,
        };
        self.inputs
            .send(Input::AttemptEnded(ended))
            .expect("the input channel is open");
    }
}

/// Builds an engine with messages in each state that a snapshot can hold.
pub(crate) async fn engine(journal: &MemoryJournal) -> Fixture {
    let mut fixture = Fixture::new(journal);
    fixture.submit("delivered", 1, 1, 20 * SECOND, (None, None));
    fixture.submit("failed", 0, 2, 20 * SECOND, (None, Some("acme")));
    fixture.submit("given-back", 1, 9, 30 * MILLISECOND, (None, None));
    fixture.run_for_ms(10).await;
    fixture.end_attempt("delivered", Outcome::Success, true);
    fixture.end_attempt("failed", Outcome::Reset, false);
    fixture.run_for_ms(40).await;
    // one message is in flight again after a rejection, one has ended while its call is in flight, two share a call,
    // two have the same subject, and one waits for an endpoint
    fixture.submit("refused-once", 1, 1, 20 * SECOND, (None, None));
    fixture.run_for_ms(5).await;
    fixture.end_attempt(
        "refused-once",
        Outcome::Rejected {
            retry_after: Some(20 * MILLISECOND),
        },
        false,
    );
    fixture.run_for_ms(600).await;
    fixture.submit("late", 1, 3, 300 * MILLISECOND, (None, None));
    fixture.run_for_ms(400).await;
    fixture.submit("together-1", 0, 3, 9 * SECOND, (None, None));
    fixture.submit("together-2", 0, 3, 8 * SECOND, (None, None));
    fixture.submit(
        "in-order-1",
        2,
        4,
        12 * SECOND,
        (Some("account-9"), Some("acme")),
    );
    fixture.submit("in-order-2", 2, 4, 12 * SECOND, (Some("account-9"), None));
    fixture.submit("no-endpoint", 1, 77, 5 * SECOND, (None, None));
    fixture.submit("no-endpoint", 1, 77, 5 * SECOND, (None, None));
    fixture.run_for_ms(7).await;
    fixture
}
