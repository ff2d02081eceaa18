//! Builds the ports and inputs of an engine, for tests that run a whole engine.

use crate::MemoryJournal;
use milletturn_engine::observer::NoopObserver;
use milletturn_engine::{
    Arrival, ArrivalOutcome, Call, CallItem, Clock, EndpointListUpdate, ListedEndpoint, Ports,
    SharedStr, Transport,
};
use milletturn_policy::{EndpointId, EndpointStatus, SECOND, Settings};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::Instant;

/// Time of the engine's clock when the engine starts, microseconds.
pub const START_TIME_US: i64 = 1_000_000 * SECOND;

/// Ports of an engine for endpoints of the kind `one`. Its notifications, readiness and observer events are discarded.
pub fn engine_ports(
    settings: Settings,
    endpoints: Vec<ListedEndpoint>,
    journal: &MemoryJournal,
    transport: impl Transport + 'static,
) -> Ports {
    Ports {
        settings,
        seed: 5,
        zones: Vec::new(),
        kinds: vec!["one".into()],
        clock: Clock::new(START_TIME_US),
        cached_endpoints: Some(EndpointListUpdate {
            version: 1,
            full: true,
            endpoints,
        }),
        journal: Box::new(journal.clone()),
        dead_letters: None,
        first_message_number: 1,
        transport: Box::new(transport),
        notify_delivered: false,
        notifications: mpsc::unbounded_channel().0,
        observer: Box::new(NoopObserver),
        ready: watch::channel(false).0,
    }
}

/// A transport that records calls without making them; the test itself reports how each call ends.
#[derive(Clone, Default)]
pub struct RecordingTransport(pub Rc<RefCell<Vec<Call>>>);

impl Transport for RecordingTransport {
    fn start(&self, call: Call, _: mpsc::UnboundedReceiver<usize>) {
        self.0.borrow_mut().push(call);
    }
    fn add_endpoint(&self, _: EndpointId, _: SocketAddr) {}
    fn remove_endpoint(&self, _: EndpointId) {}
    fn close_idle_connections(&self, _: EndpointId) {}
    fn evict_idle(&self) {}
    fn item_bytes(&self, _: &CallItem) -> usize {
        1
    }
    fn max_call_bytes(&self) -> usize {
        1000
    }
}

/// A serving endpoint of the kind `one` for the destination of the same number, at an address on which nothing listens.
#[must_use]
pub fn serving_endpoint(number: u64) -> ListedEndpoint {
    ListedEndpoint {
        uid: format!("s-{number}"),
        address: "127.0.0.1:9".parse().expect("an address"),
        zone: String::new(),
        kind: "one".into(),
        destination: number,
        status: EndpointStatus::Serving,
        weight: 1.0,
    }
}

/// A submission, made now, of a message for destination 1 that expires in 20 s, and the receiver of the submission's
/// outcome. If `keyed`, the message's ID is also its idempotency key; otherwise it has none.
#[must_use]
pub fn new_arrival(
    id: &str,
    class: usize,
    keyed: bool,
) -> (Arrival, oneshot::Receiver<ArrivalOutcome>) {
    let (reply, outcome) = oneshot::channel();
    let shared_id = SharedStr::new(id.as_bytes()).expect("a valid id");
    let arrival = Arrival {
        id: shared_id.clone(),
        key: keyed.then_some(shared_id),
        class,
        subject: None,
        tenant: None,
        destination: 1,
        time_to_live: 20 * SECOND,
        submitted_at: Instant::now(),
        resubmitted: false,
        from_lost_sender: false,
        body: "x".into(),
        reply,
    };
    (arrival, outcome)
}
