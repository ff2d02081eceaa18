//! The platform's HTTP/1.1, as its protocol and deployment pages have it: the door for clients, the calls to
//! endpoints, the agent that tells the list and takes notices, and the configuration.

#![expect(
    clippy::too_many_lines,
    reason = "names and shape of this package have not had their turn yet"
)]

mod attribution;
mod call_codec;
mod call_result;
pub mod config;
mod connection;
mod connection_monitor;
pub mod discovery;
mod discovery_backoff;
mod drain_gate;
mod endpoint_list;
pub mod http_transport;
pub mod notifications;
mod pools;
mod resource_budget;
pub mod server;
pub mod watch_stream;

pub use discovery_backoff::{DiscoveryBackoff, Failure};
pub use drain_gate::DrainGate;
pub use resource_budget::ResourceBudget;
