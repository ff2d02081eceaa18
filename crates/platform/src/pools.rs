//! Idle connections by endpoint. What a step costs follows from the connections that are idle, not from the list of
//! endpoints: thousands that are never called cost an entry each and no step. Free of I/O.

use milletturn_policy::EndpointId;
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// Idle connections kept for one endpoint.
pub(crate) const IDLE_EACH: usize = 16;

#[derive(Debug)]
struct Pool<C> {
    address: SocketAddr,
    /// Since when, the oldest first.
    idle: VecDeque<(Instant, C)>,
}

/// Idle connections of the endpoints that may get calls.
#[derive(Debug)]
pub(crate) struct Pools<C> {
    /// By endpoint, not by address: another endpoint may come to stand at the address of one that has gone.
    pools: HashMap<EndpointId, Pool<C>>,
    /// Of each pool that has any, since when its oldest is idle.
    oldest: BTreeSet<(Instant, EndpointId)>,
    count: usize,
    /// Idle connections at most, those of all endpoints together.
    most: usize,
}

impl<C> Pools<C> {
    /// No endpoint may get calls yet.
    pub(crate) fn new(most: usize) -> Self {
        Pools {
            pools: HashMap::new(),
            oldest: BTreeSet::new(),
            count: 0,
            most,
        }
    }

    /// Connections to the endpoint may be kept from now on; those to another address of it go.
    pub(crate) fn admit(&mut self, endpoint: EndpointId, address: SocketAddr) {
        if self
            .pools
            .get(&endpoint)
            .is_none_or(|pool| pool.address != address)
        {
            self.forget(endpoint);
            self.pools.insert(
                endpoint,
                Pool {
                    address,
                    idle: VecDeque::new(),
                },
            );
        }
    }

    /// The endpoint gets no calls any more.
    pub(crate) fn forget(&mut self, endpoint: EndpointId) {
        self.clear(endpoint);
        self.pools.remove(&endpoint);
    }

    /// Gives up its idle connections.
    pub(crate) fn clear(&mut self, endpoint: EndpointId) {
        self.change(endpoint, std::collections::VecDeque::clear);
    }

    /// Keeps a connection that has become idle, where there is room; gives it up otherwise.
    pub(crate) fn put(
        &mut self,
        endpoint: EndpointId,
        address: SocketAddr,
        now: Instant,
        connection: C,
    ) {
        let room = self.count < self.most;
        let here = |pool: &Pool<C>| pool.address == address && pool.idle.len() < IDLE_EACH;
        if room && self.pools.get(&endpoint).is_some_and(here) {
            self.change(endpoint, |idle| idle.push_back((now, connection)));
        }
    }

    /// The last used of the usable ones that have rested for so long, so that those beyond need grow old.
    pub(crate) fn take(
        &mut self,
        endpoint: EndpointId,
        address: SocketAddr,
        now: Instant,
        rest: Duration,
        is_usable: impl Fn(&C) -> bool,
    ) -> Option<(Instant, C)> {
        self.pools
            .get(&endpoint)
            .filter(|pool| pool.address == address)?;
        self.change(endpoint, |idle| {
            let rested = idle
                .iter()
                .rposition(|(since, c)| now - *since >= rest && is_usable(c))?;
            idle.remove(rested)
        })?
    }

    /// Gives up the one that has been idle longest.
    pub(crate) fn give_way(&mut self) {
        if let Some(&(_, endpoint)) = self.oldest.first() {
            self.change(endpoint, std::collections::VecDeque::pop_front);
        }
    }

    /// Gives up those that have been idle for `most`, or of which `is_over` says that they are.
    pub(crate) fn sweep(&mut self, now: Instant, most: Duration, is_over: impl Fn(&C) -> bool) {
        let used: Vec<EndpointId> = self.oldest.iter().map(|(_, endpoint)| *endpoint).collect();
        for endpoint in used {
            self.change(endpoint, |idle| {
                idle.retain(|(since, c)| now - *since < most && !is_over(c));
            });
        }
    }

    fn change<T>(
        &mut self,
        endpoint: EndpointId,
        change: impl FnOnce(&mut VecDeque<(Instant, C)>) -> T,
    ) -> Option<T> {
        let pool = self.pools.get_mut(&endpoint)?;
        let before = (pool.idle.front().map(|(since, _)| *since), pool.idle.len());
        let value = change(&mut pool.idle);
        let after = (pool.idle.front().map(|(since, _)| *since), pool.idle.len());
        self.count = self.count + after.1 - before.1;
        if before.0 != after.0 {
            before.0.map(|since| self.oldest.remove(&(since, endpoint)));
            after.0.map(|since| self.oldest.insert((since, endpoint)));
        }
        if pool.idle.is_empty() {
            pool.idle = VecDeque::new();
        }
        Some(value)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const ONE: EndpointId = EndpointId(1);
    const TWO: EndpointId = EndpointId(2);

    #[test]
    fn books_agree_with_what_is_idle() {
        let (here, there) = (
            "127.0.0.1:1".parse().expect("one"),
            "127.0.0.1:2".parse().expect("one"),
        );
        let (begin, rest) = (Instant::now(), Duration::from_millis(5));
        let at = |ms| begin + Duration::from_millis(ms);
        let mut pools = Pools::new(3);
        pools.admit(ONE, here);
        pools.admit(TWO, there);
        for (number, endpoint, address) in [
            (1, ONE, here),
            (2, TWO, there),
            (3, ONE, here),
            (4, ONE, here),
            (5, TWO, here),
        ] {
            pools.put(endpoint, address, at(number), number);
        }
        assert_eq!(
            pools.count, 3,
            "no more than there is room for, none to another address"
        );
        assert_eq!(
            pools
                .take(ONE, here, at(7), rest, |_| true)
                .map(|found| found.1),
            Some(1),
            "3 has not rested"
        );
        assert_eq!(
            pools
                .take(ONE, here, at(9), rest, |_| true)
                .map(|found| found.1),
            Some(3)
        );
        assert!(pools.take(ONE, here, at(99), rest, |_| true).is_none());
        pools.put(ONE, here, at(10), 6);
        pools.give_way();
        assert!(
            pools.take(TWO, there, at(99), rest, |_| true).is_none(),
            "2 had been idle longest"
        );
        pools.put(TWO, there, at(20), 7);
        pools.sweep(at(25), Duration::from_millis(10), |_| false);
        assert_eq!((pools.count, pools.oldest.len()), (1, 1), "6 was too old");
        pools.admit(TWO, here);
        assert_eq!(
            (pools.count, pools.oldest.len()),
            (0, 0),
            "its address has changed"
        );
        pools.forget(ONE);
        pools.put(ONE, here, at(30), 8);
        assert_eq!(pools.count, 0);
    }
}
