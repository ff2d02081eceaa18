//! Measures how the cost of each role grows with its size, on one machine over loopback.
//!
//! - [`figures`]: the records of a results file.
//! - [`cost`], [`fit`], [`plot`]: the cost of a process, curve fits, and plots.
//! - [`fleet`]: the coordination service and discovery with thousands of simulated senders, and fault scenarios.
//! - [`roles`]: the cost of a single sender's own parts.
//! - [`page`]: the tables of docs/CAPACITY.md.
//!
//! Published results come from release builds of a committed state:
//!
//! ```text
//! cargo build --release -p milletturn -p milletturn-scale
//! target/release/milletturn-scale fleet --out docs/capacity/fleet.jsonl --plots docs/capacity --time 10m
//! target/release/milletturn-scale faults --out docs/capacity/faults.jsonl --senders 2000 --sessions 900 --time 10m
//! ```

#![expect(
    clippy::items_after_statements,
    clippy::match_same_arms,
    clippy::needless_pass_by_value,
    clippy::too_many_lines,
    reason = "long measurement functions with local helper items are accepted in this tool"
)]

pub mod cost;
pub mod figures;
pub mod fit;
pub mod fleet;
pub mod page;
pub mod plot;
pub mod roles;

/// Why a run failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// An operation on a file, a socket or a process failed.
    #[error("{0}: {1}")]
    Io(String, #[source] std::io::Error),
    /// A process, response or file is not as expected.
    #[error("{0}")]
    Unexpected(String),
}

impl Error {
    /// Returns a function that adds the file, socket or process to a system error.
    pub fn io(subject: impl Into<String>) -> impl FnOnce(std::io::Error) -> Error {
        move |error| Error::Io(subject.into(), error)
    }
}
