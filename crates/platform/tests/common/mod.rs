//! Helpers for tests of the transport without the rest of the sender, on one thread as in the sender.

use milletturn_engine::{CallItem, Input, SharedStr, Transport};
use milletturn_platform::{ResourceBudget, http_transport::HttpTransport};
use milletturn_policy::EndpointId;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::LocalSet;

/// Much longer than any call in these tests takes.
pub(crate) const GENEROUS_TIMEOUT: Duration = Duration::from_secs(20);

/// Runs a test on a single-threaded runtime, like that of the sender.
pub(crate) fn run_local(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, test);
}

/// Creates a transport that may call endpoint 1 at this address; returns it with the receiver of the
/// inputs that it sends to the engine.
pub(crate) fn start_transport(
    endpoint: SocketAddr,
) -> (HttpTransport, mpsc::UnboundedReceiver<Input>) {
    let (inputs, received) = mpsc::unbounded_channel();
    let budget = ResourceBudget::new(256, 32_000_000, 40);
    let transport = HttpTransport::new(
        GENEROUS_TIMEOUT,
        GENEROUS_TIMEOUT,
        Vec::new(),
        &budget,
        inputs,
        Rc::default(),
    );
    transport.add_endpoint(EndpointId(1), endpoint);
    (transport, received)
}

/// A message with this name as id and key.
pub(crate) fn item(name: &str, body: Vec<u8>) -> CallItem {
    let id = SharedStr::new(name.as_bytes()).expect("a valid id");
    CallItem {
        id: id.clone(),
        key: Some(id),
        body: body.into(),
    }
}

/// The next input about a call. Inputs about closed connections are skipped, because they can come at any time.
pub(crate) async fn next_input(received: &mut mpsc::UnboundedReceiver<Input>) -> Option<Input> {
    loop {
        match received.recv().await {
            Some(Input::ConnectionClosed { .. }) => {}
            other => return other,
        }
    }
}
