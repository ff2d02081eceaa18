//! The protocol of the coordination service: JSON over HTTP/1.1, one call at a time on a connection.
//!
//! Members, session proxies, coordinators and operators use the protocol. Each call names its group and the version of
//! the protocol, and a server rejects a call for another group or of another version. The check protects
//! only against mixing up two groups by mistake: there is no authentication, so the addresses have to be private.
//!
//! - [`messages`]: requests, responses, paths, headers and bounds.
//! - [`client`]: the client, with one connection to one server.
//! - [`server`]: the HTTP server, its limits and its errors.
//! - [`shard_map`]: synchronization of the shard map by versioned changes and digests.
//! - [`clock`]: the clock by which members and coordinators measure leases.

pub mod client;
pub mod clock;
pub mod messages;
pub mod server;
pub mod shard_map;

pub use client::{CallFailure, Client, ClientError, Reply};
