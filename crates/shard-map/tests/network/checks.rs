//! The invariants of each node, checked after each applied update, and the convergence of all nodes after the faults.

use crate::common::shard_count;
use crate::world::{PROXIES, SHARDS, SimulatedCluster};
use milletturn_shard_map::{Digest, Version};

impl SimulatedCluster {
    /// Records the current state of each shard of a source as committed.
    pub(crate) fn record_source(&mut self, source: usize) {
        for id in shard_count(SHARDS).shards() {
            let shard = self.sources[source].shard(id).expect("an existing shard");
            self.committed.insert((id, shard.version()), shard.digest());
        }
    }

    /// Checks that each shard of a node has a committed state without endpoints of rejected changes, and that no shard
    /// of a sender went back to an older version.
    pub(crate) fn check_node(&mut self, node: usize) {
        let replica = &self.replicas[node - 2];
        for id in replica.subscribed() {
            let shard = replica.shard(id).expect("subscribed");
            let version = shard.version();
            if version == Version::default() {
                assert!(shard.endpoints().is_empty(), "endpoints without a version");
                continue;
            }
            let before = self
                .last_seen
                .insert((node, id), version)
                .unwrap_or_default();
            if version == before {
                continue;
            }
            let committed = self.committed.get(&(id, version));
            assert_eq!(
                committed,
                Some(&shard.digest()),
                "node {node}: {id:?} at {version:?} has a state that no source had"
            );
            let mut endpoints = shard.endpoints().iter();
            let sum = shard
                .endpoints()
                .iter()
                .fold(Digest::default(), |sum, endpoint| {
                    sum.with(endpoint.digest())
                });
            assert_eq!(sum, shard.digest(), "the endpoints match the digest");
            assert!(
                endpoints.all(|endpoint| !endpoint.uid.starts_with("rejected")),
                "an endpoint of a rejected change"
            );
            if node >= 2 + PROXIES {
                assert!(
                    version > before,
                    "node {node}: {id:?} went back from {before:?} to {version:?}"
                );
                self.applied += 1;
            }
        }
    }

    /// Whether all replicas have the endpoints and versions of the leader.
    pub(crate) fn is_converged(&self) -> bool {
        let source = &self.sources[self.leader];
        self.replicas.iter().all(|replica| {
            replica.subscribed().all(|id| {
                let local = replica.shard(id).expect("subscribed");
                let remote = source.shard(id).expect("an existing shard");
                local.endpoints() == remote.endpoints() && local.version() == remote.version()
            })
        })
    }
}
