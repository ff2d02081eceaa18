//! The table of listed endpoints. Sources of endpoint lists identify endpoints by name, the decision module by
//! number.

use crate::endpoint_list::ListedEndpoint;
use milletturn_policy::EndpointId;
use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;

/// How to reach an endpoint.
#[derive(Clone)]
pub(crate) struct Route {
    /// The endpoint's name.
    pub uid: Arc<str>,
    /// The endpoint's address.
    pub address: SocketAddr,
    /// The maximum number of messages in one call to the endpoint.
    pub max_batch_size: usize,
    /// The endpoint's destination; `None` until a list names it, if the table comes from an earlier process.
    pub destination: Option<u64>,
}

/// The listed endpoints.
///
/// Removed endpoints leave no entry, so the table is as large as the list. An endpoint that is listed again after its
/// removal gets a new number.
#[derive(Default)]
pub(crate) struct EndpointTable {
    routes: BTreeMap<EndpointId, Route>,
    by_uid: BTreeMap<Arc<str>, EndpointId>,
    last_number: u32,
}

impl EndpointTable {
    /// Rebuilds the table of an earlier process, with the same numbers.
    pub(crate) fn restore(
        routes: impl Iterator<Item = (EndpointId, Route)>,
        last_number: u32,
    ) -> Self {
        let routes: BTreeMap<EndpointId, Route> = routes.collect();
        let by_uid = routes
            .iter()
            .map(|(&endpoint, route)| (route.uid.clone(), endpoint))
            .collect();
        EndpointTable {
            routes,
            by_uid,
            last_number,
        }
    }

    /// All endpoints with their numbers, in ascending order of the numbers.
    pub(crate) fn all(&self) -> impl Iterator<Item = (EndpointId, &Route)> {
        self.routes
            .iter()
            .map(|(&endpoint, route)| (endpoint, route))
    }

    /// The highest number that any endpoint has been given.
    pub(crate) fn last_number(&self) -> u32 {
        self.last_number
    }

    /// How many endpoints are listed.
    pub(crate) fn count(&self) -> usize {
        self.routes.len()
    }

    /// How to reach an endpoint; `None` for an endpoint that is not listed.
    pub(crate) fn route(&self, endpoint: EndpointId) -> Option<&Route> {
        self.routes.get(&endpoint)
    }

    /// The number of the listed endpoint with this name.
    pub(crate) fn by_uid(&self, uid: &str) -> Option<EndpointId> {
        self.by_uid.get(uid).copied()
    }

    /// Whether the listed endpoint served another destination before.
    pub(crate) fn has_changed_destination(&self, listed: &ListedEndpoint) -> bool {
        let route = self
            .by_uid(&listed.uid)
            .and_then(|endpoint| self.route(endpoint));
        route
            .and_then(|route| route.destination)
            .is_some_and(|destination| destination != listed.destination)
    }

    /// Adds an endpoint, or updates the one with the same name.
    pub(crate) fn upsert(&mut self, listed: &ListedEndpoint, max_batch_size: usize) -> EndpointId {
        let uid: Arc<str> = listed.uid.as_str().into();
        let endpoint = *self.by_uid.entry(uid.clone()).or_insert_with(|| {
            self.last_number += 1;
            EndpointId(self.last_number)
        });
        self.routes.insert(
            endpoint,
            Route {
                uid,
                address: listed.address,
                max_batch_size,
                destination: Some(listed.destination),
            },
        );
        endpoint
    }

    /// Removes an endpoint, and returns the endpoint's number; `None` if it was not listed.
    pub(crate) fn remove(&mut self, uid: &str) -> Option<EndpointId> {
        let endpoint = self.by_uid.remove(uid)?;
        self.routes.remove(&endpoint);
        Some(endpoint)
    }

    /// Removes all endpoints that are missing from a complete list, and returns their numbers.
    pub(crate) fn remove_unlisted(&mut self, listed: &[ListedEndpoint]) -> Vec<EndpointId> {
        let names: HashSet<&str> = listed.iter().map(|listed| listed.uid.as_str()).collect();
        let unlisted: Vec<Arc<str>> = self
            .by_uid
            .keys()
            .filter(|uid| !names.contains(uid.as_ref()))
            .cloned()
            .collect();
        unlisted.iter().filter_map(|uid| self.remove(uid)).collect()
    }
}
