//! A session proxy between members and coordinators. It batches the members' heartbeats and commands, so that the load
//! of the coordinators grows with the number of proxies and not with the number of members.
//!
//! - [`settings`]: reads and checks the settings file.
//! - [`service`]: runs a session proxy and handles its requests.
//! - `heartbeats` and `commands`: forward batches to the leading coordinator.
//! - `waiters`: the members' requests that wait for the response to a batch.
//!
//! The contents of a batch, and the assignment of its outcomes to the waiting requests, are decided by
//! [`HeartbeatBatcher`](milletturn_coordination::HeartbeatBatcher) and
//! [`CommandBatcher`](milletturn_coordination::CommandBatcher) in `milletturn-coordination`. A session proxy stores
//! nothing, so proxies can be started, stopped and added at any time.

pub mod service;
pub mod settings;

mod commands;
mod heartbeats;
mod waiters;
