//! The transport alone, on one thread as it runs in the sender.

use milletturn_engine::{CallItem, Input, SharedStr, Transport};
use milletturn_platform::{ResourceBudget, http_transport::HttpTransport};
use milletturn_policy::EndpointId;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::LocalSet;

/// Far beyond what any call here takes.
pub(crate) const LONG: Duration = Duration::from_secs(20);

/// Runs a test on one thread, as the transport runs.
pub(crate) fn local(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, test);
}

/// A transport that may call endpoint 1 at this address, and what it tells.
pub(crate) fn calls(endpoint: SocketAddr) -> (HttpTransport, mpsc::UnboundedReceiver<Input>) {
    let (inputs, received) = mpsc::unbounded_channel();
    let budget = ResourceBudget::new(256, 32_000_000, 40);
    let calls = HttpTransport::new(LONG, LONG, Vec::new(), &budget, inputs, Rc::default());
    calls.add_endpoint(EndpointId(1), endpoint);
    (calls, received)
}

/// A message whose key is its name.
pub(crate) fn item(name: &str, body: Vec<u8>) -> CallItem {
    let word = SharedStr::new(name.as_bytes()).expect("a word");
    CallItem {
        id: word.clone(),
        key: Some(word),
        body: body.into(),
    }
}

/// The next input that is about a call; connections may be closed at any time and are passed over.
pub(crate) async fn next_input(received: &mut mpsc::UnboundedReceiver<Input>) -> Option<Input> {
    loop {
        match received.recv().await {
            Some(Input::ConnectionClosed { .. }) => {}
            other => return other,
        }
    }
}
