//! Random changes, and random faults of nodes and links.

use crate::common::{assume_leadership, change_of, endpoint, put, remove, replica, shard_count};
use crate::world::{DESTINATIONS, PROXIES, SENDERS, SHARDS, SimulatedCluster, proxy, sender};
use milletturn_shard_map::{Operation, ShardId, Update};

impl SimulatedCluster {
    pub(crate) fn propose_change(&mut self) {
        // most changes go to the leader, and 20 % to the other source, which may be a deposed leader that still accepts
        // changes
        let source = if self.random_chance(20) {
            1 - self.leader
        } else {
            self.leader
        };
        let destination = self.random_below(DESTINATIONS);
        let port = 1 + self.random_below(60_000) as u16;
        let change = match self.random_below(10) {
            0 => {
                let uid = format!("more-{destination}-{}", self.random_below(3));
                put(destination, &uid, port)
            }
            1 => {
                let uid = format!("more-{destination}-{}", self.random_below(3));
                remove(destination, &uid)
            }
            2 => {
                let invalid = Operation::Put(endpoint(destination, "rejected", 0));
                let valid = Operation::Put(endpoint(destination, "rejected-valid", port));
                change_of(destination, vec![valid, invalid])
            }
            _ => put(destination, &format!("u{destination}"), port),
        };
        let Ok(change) = self.sources[source].propose(change) else {
            return;
        };
        // no version gets two different states: each election starts a new term, and a deposed leader keeps its earlier
        // one
        self.committed
            .insert((change.shard, change.version), change.digest_after);
        self.publish(source, &[Update::Change(change)]);
    }

    pub(crate) fn inject_fault(&mut self) {
        let node = proxy(self.random_below(PROXIES as u64) as usize);
        match self.random_below(8) {
            0 => {
                self.stopped.entry(node).or_default();
            }
            1 => self.resume(node),
            2 => {
                let to = sender(self.random_below(SENDERS as u64) as usize);
                self.cut_one_way(node, to);
            }
            3 => self.cut_one_way(node, self.leader),
            4 => self.cut_links.clear(),
            // restores the session proxy from its backup
            5 => self.replicas[node - 2] = self.backups[node - 2].clone(),
            6 => self.backups = self.replicas.clone(),
            _ => self.elect_other_source(),
        }
        if self.random_chance(10) {
            self.restart_random_sender();
        }
    }

    fn cut_one_way(&mut self, node: usize, other: usize) {
        let link = if self.random_chance(50) {
            (node, other)
        } else {
            (other, node)
        };
        self.cut_links.insert(link);
    }

    /// Makes the other source the leader, with all changes that the previous leader had committed.
    fn elect_other_source(&mut self) {
        self.term += 1;
        let next = 1 - self.leader;
        self.sources[next] = self.sources[self.leader].clone();
        assume_leadership(&mut self.sources[next], self.term);
        self.leader = next;
        self.record_source(next);
    }

    /// Restarts a random sender with the same subscriptions and no data.
    fn restart_random_sender(&mut self) {
        let index = self.random_below(SENDERS as u64) as usize;
        let subscribed: Vec<ShardId> = self.replicas[PROXIES + index].subscribed().collect();
        self.replicas[PROXIES + index] = replica(shard_count(SHARDS));
        self.replicas[PROXIES + index].subscribe(subscribed);
        self.last_seen.retain(|(node, _), _| *node != sender(index));
    }

    /// Resumes a stopped node, which then receives the packets that arrived while it was stopped.
    pub(crate) fn resume(&mut self, node: usize) {
        for (from, packet) in self.stopped.remove(&node).unwrap_or_default() {
            self.receive(from, node, packet);
        }
    }
}
