//! Pools of idle connections, one for each endpoint. The cost of an operation depends on the number of idle
//! connections, not on the number of endpoints: thousands of endpoints that are never called cost one map entry each
//! and no time. Performs no I/O.

#[cfg(test)]
mod tests;

use milletturn_policy::EndpointId;
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// Maximum number of idle connections for one endpoint.
pub(crate) const MAX_IDLE_PER_ENDPOINT: usize = 16;

#[derive(Debug)]
struct Pool<C> {
    address: SocketAddr,
    /// Idle connections with the time at which each became idle, the oldest first.
    idle: VecDeque<(Instant, C)>,
}

/// The idle connections of all endpoints that may be called.
#[derive(Debug)]
pub(crate) struct Pools<C> {
    /// Keyed by endpoint, not by address: a new endpoint may get the address of a removed one.
    pools: HashMap<EndpointId, Pool<C>>,
    /// For each pool that is not empty, the time at which its oldest connection became idle.
    oldest_idle: BTreeSet<(Instant, EndpointId)>,
    /// Number of idle connections of all endpoints together.
    idle_count: usize,
    /// Maximum number of idle connections of all endpoints together.
    max_idle: usize,
}

impl<C> Pools<C> {
    /// Creates an empty set of pools without endpoints.
    pub(crate) fn new(max_idle: usize) -> Self {
        Pools {
            pools: HashMap::new(),
            oldest_idle: BTreeSet::new(),
            idle_count: 0,
            max_idle,
        }
    }

    /// Keeps idle connections to the endpoint at this address from now on, and closes those to a previous address.
    pub(crate) fn add_endpoint(&mut self, endpoint: EndpointId, address: SocketAddr) {
        if self
            .pools
            .get(&endpoint)
            .is_none_or(|pool| pool.address != address)
        {
            self.remove_endpoint(endpoint);
            self.pools.insert(
                endpoint,
                Pool {
                    address,
                    idle: VecDeque::new(),
                },
            );
        }
    }

    /// Closes the idle connections to the endpoint, and keeps none from now on.
    pub(crate) fn remove_endpoint(&mut self, endpoint: EndpointId) {
        self.close_idle(endpoint);
        self.pools.remove(&endpoint);
    }

    /// Closes the idle connections to the endpoint.
    pub(crate) fn close_idle(&mut self, endpoint: EndpointId) {
        self.update(endpoint, std::collections::VecDeque::clear);
    }

    /// Adds a connection that has become idle. Closes the connection if a limit is reached, or if the endpoint has been
    /// removed or has another address now.
    pub(crate) fn release(
        &mut self,
        endpoint: EndpointId,
        address: SocketAddr,
        now: Instant,
        connection: C,
    ) {
        let is_below_max_idle = self.idle_count < self.max_idle;
        let is_acceptable =
            |pool: &Pool<C>| pool.address == address && pool.idle.len() < MAX_IDLE_PER_ENDPOINT;
        if is_below_max_idle && self.pools.get(&endpoint).is_some_and(is_acceptable) {
            self.update(endpoint, |idle| idle.push_back((now, connection)));
        }
    }

    /// Takes the most recently used of the usable connections that have been idle for at least `min_idle_time`. The
    /// others stay idle, so that surplus connections expire. Returns the connection with the time at which it became
    /// idle.
    pub(crate) fn acquire(
        &mut self,
        endpoint: EndpointId,
        address: SocketAddr,
        now: Instant,
        min_idle_time: Duration,
        is_usable: impl Fn(&C) -> bool,
    ) -> Option<(Instant, C)> {
        self.pools
            .get(&endpoint)
            .filter(|pool| pool.address == address)?;
        self.update(endpoint, |idle| {
            let position = idle.iter().rposition(|(since, connection)| {
                now - *since >= min_idle_time && is_usable(connection)
            })?;
            idle.remove(position)
        })?
    }

    /// Closes the connection that has been idle for longest.
    pub(crate) fn evict_oldest(&mut self) {
        if let Some(&(_, endpoint)) = self.oldest_idle.first() {
            self.update(endpoint, std::collections::VecDeque::pop_front);
        }
    }

    /// Closes connections that have been idle for `max_idle_time`, and those for which `is_closed` returns true.
    pub(crate) fn evict_expired(
        &mut self,
        now: Instant,
        max_idle_time: Duration,
        is_closed: impl Fn(&C) -> bool,
    ) {
        let endpoints: Vec<EndpointId> = self
            .oldest_idle
            .iter()
            .map(|(_, endpoint)| *endpoint)
            .collect();
        for endpoint in endpoints {
            self.update(endpoint, |idle| {
                idle.retain(|(since, connection)| {
                    now - *since < max_idle_time && !is_closed(connection)
                });
            });
        }
    }

    /// Applies `update` to the idle connections of an endpoint, and keeps `idle_count` and `oldest_idle` consistent.
    /// Returns `None` without calling `update` if the endpoint is unknown.
    fn update<T>(
        &mut self,
        endpoint: EndpointId,
        update: impl FnOnce(&mut VecDeque<(Instant, C)>) -> T,
    ) -> Option<T> {
        let pool = self.pools.get_mut(&endpoint)?;
        let before = (pool.idle.front().map(|(since, _)| *since), pool.idle.len());
        let value = update(&mut pool.idle);
        let after = (pool.idle.front().map(|(since, _)| *since), pool.idle.len());
        self.idle_count = self.idle_count + after.1 - before.1;
        if before.0 != after.0 {
            before
                .0
                .map(|since| self.oldest_idle.remove(&(since, endpoint)));
            after
                .0
                .map(|since| self.oldest_idle.insert((since, endpoint)));
        }
        if pool.idle.is_empty() {
            pool.idle = VecDeque::new();
        }
        Some(value)
    }
}
