//! The platform's HTTP/1.1, as its protocol and deployment pages have it: the door for clients, the calls to
//! endpoints, the agent that tells the list and takes notices, and the configuration.

#![expect(
    clippy::too_many_lines,
    reason = "names and shape of this package have not had their turn yet"
)]

pub mod agent;
mod answer;
mod asking;
mod attribution;
mod budget;
mod call_text;
pub mod calls;
pub mod config;
mod connection;
pub mod door;
pub mod feed;
mod gate;
mod list;
pub mod notices;
mod pools;
mod wire;

pub use asking::{Asking, Failure};
pub use budget::Budget;
pub use gate::Gate;
