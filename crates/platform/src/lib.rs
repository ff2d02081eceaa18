//! The sender's side of the platform's HTTP/1.1 interfaces, as the platform's protocol and deployment specifications
//! define them: the server for clients, the transport to endpoints, the discovery client (endpoint list and
//! notifications), and the configuration.

#![expect(
    clippy::too_many_lines,
    reason = "long functions of this package have not been split yet"
)]

mod attribution;
mod call_codec;
mod call_result;
mod client_classes;
pub mod config;
mod connection;
mod connection_monitor;
pub mod discovery;
mod discovery_backoff;
mod drain_gate;
mod endpoint_list;
pub mod http_transport;
mod message_head;
pub mod notifications;
mod pools;
mod resource_budget;
pub mod server;
pub mod watch_stream;

pub use client_classes::{ClassTerms, ClientClasses};
pub use discovery_backoff::{DiscoveryBackoff, Failure};
pub use drain_gate::DrainGate;
pub use resource_budget::{MESSAGE_BYTES, ResourceBudget};
