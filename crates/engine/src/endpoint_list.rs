//! The endpoint list port: which endpoints exist, as reported by a source such as service discovery or a file.

use milletturn_policy::EndpointStatus;
use std::net::SocketAddr;

/// One endpoint of a list.
#[derive(Debug, Clone, PartialEq)]
pub struct ListedEndpoint {
    /// The endpoint's name, which stays the same as long as the endpoint exists.
    pub uid: String,
    /// The endpoint's address.
    pub address: SocketAddr,
    /// The name of the endpoint's zone.
    pub zone: String,
    /// The name of the kind of destination that the endpoint belongs to.
    pub kind: String,
    /// The destination that the endpoint belongs to.
    pub destination: u64,
    /// Whether the endpoint is serving, draining or removed; unrelated to its health.
    pub status: EndpointStatus,
    /// Calls per second that the list allows to the destination. If the endpoints of the kind are separate routes, each
    /// with limits of its own, the calls per second that the list allows to this endpoint.
    pub weight: f64,
}

/// A complete endpoint list, or changes to one.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointListUpdate {
    /// The source's version number of the list after this update.
    pub version: u64,
    /// The update is a complete list: endpoints that it does not contain are removed.
    pub full: bool,
    /// All endpoints of a complete list, otherwise those that have changed.
    pub endpoints: Vec<ListedEndpoint>,
}
