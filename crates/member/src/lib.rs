//! A group member: its session with the coordinators, the resources that it owns, and its fenced writes.
//!
//! - [`coordinator_client`]: calls to the leading coordinator, directly or through session proxies, with retries.
//! - [`member`]: the member, its current permissions, and the task that keeps its session open.
//! - [`events`]: the events that a member reports to its program, and the outcomes of its fenced writes.
//!
//! [`LeaseHolder`](milletturn_coordination::LeaseHolder) in `milletturn-coordination` decides which writes the member's
//! lease permits, and until when.

pub mod coordinator_client;
pub mod events;
pub mod member;

mod session;
mod writes;

pub use coordinator_client::{CoordinatorClient, RequestError};
pub use events::{MemberEvent, WriteOutcome, WriteStarted};
pub use member::Member;
