//! The endpoint list port: which endpoints there are, as a source (service discovery, a file) reports them.

use milletturn_policy::EndpointStatus;
use std::net::SocketAddr;

/// One endpoint of a list.
#[derive(Debug, Clone, PartialEq)]
pub struct ListedEndpoint {
    /// Its name, the same for as long as it exists.
    pub uid: String,
    /// Its address.
    pub address: SocketAddr,
    /// The name of its zone.
    pub zone: String,
    /// The name of its destination's kind.
    pub kind: String,
    /// Its destination.
    pub destination: u64,
    /// Whether it serves, drains or is removed; this says nothing of its health.
    pub status: EndpointStatus,
    /// Calls per second that the list assigns to its destination.
    pub weight: f64,
}

/// A complete endpoint list, or changes to one.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointListUpdate {
    /// The source's version of the list with this update.
    pub version: u64,
    /// The list is complete: endpoints that are not in it are removed.
    pub full: bool,
    /// The endpoints that are listed or have changed.
    pub endpoints: Vec<ListedEndpoint>,
}
