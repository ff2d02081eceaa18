//! The simulated nodes, and the network that loses, duplicates and delays the packets between them.

use crate::common::{empty_membership, empty_source, members, put, replica, shard_count};
use milletturn_shard_map::{
    Assignment, Digest, LeaderTerm, ShardId, ShardMapReplica, ShardMapSource, SyncRequest, Update,
    Version,
};
use rand_pcg::Pcg64;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap};

pub(crate) const SHARDS: u32 = 64;
pub(crate) const DESTINATIONS: u64 = 150;
pub(crate) const PROXIES: usize = 4;
pub(crate) const SENDERS: usize = 12;
/// Interval at which a node sends its requests, in virtual milliseconds.
pub(crate) const SYNC_INTERVAL_MS: u64 = 1_000;
/// Virtual time at which changes and faults end, in milliseconds.
pub(crate) const FAULTS_END_MS: u64 = 30_000;

#[derive(Debug, Clone)]
pub(crate) enum Packet {
    Request(SyncRequest),
    Update(Update),
}

#[derive(Debug, Clone)]
enum Event {
    Arrival {
        from: usize,
        to: usize,
        packet: Packet,
    },
    Sync(usize),
    Change,
    Fault,
}

/// All nodes and the network. Nodes 0 and 1 are sources, followed by the session proxies and then the senders.
pub(crate) struct SimulatedCluster {
    random: Pcg64,
    pub(crate) now_ms: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, Event>,
    last_event: u64,
    pub(crate) sources: Vec<ShardMapSource>,
    pub(crate) leader: usize,
    pub(crate) term: u64,
    pub(crate) replicas: Vec<ShardMapReplica>,
    /// Stopped nodes, with the packets that arrived since they were stopped, each with the node that sent it.
    pub(crate) stopped: BTreeMap<usize, Vec<(usize, Packet)>>,
    pub(crate) cut_links: BTreeSet<(usize, usize)>,
    /// An earlier state of all replicas, from which a session proxy may be restored.
    pub(crate) backups: Vec<ShardMapReplica>,
    pub(crate) faults_enabled: bool,
    /// The digest of each shard at each version that a source had.
    pub(crate) committed: HashMap<(ShardId, Version), Digest>,
    /// The last version of each shard at each node, as of the last check.
    pub(crate) last_seen: HashMap<(usize, ShardId), Version>,
    pub(crate) applied: usize,
    pub(crate) lost: usize,
    pub(crate) packets: u64,
}

pub(crate) fn proxy(n: usize) -> usize {
    2 + n
}

pub(crate) fn sender(n: usize) -> usize {
    2 + PROXIES + n
}

fn replicas() -> Vec<ShardMapReplica> {
    let mut replicas = vec![replica(shard_count(SHARDS)); PROXIES + SENDERS];
    let membership = empty_membership(1, 3)
        .with_members(members(SENDERS, 4), shard_count(SHARDS))
        .expect("valid");
    let assignment = Assignment::new(shard_count(SHARDS), membership);
    for replica in &mut replicas[..PROXIES] {
        replica.subscribe(shard_count(SHARDS).shards());
    }
    for n in 0..SENDERS {
        replicas[PROXIES + n].subscribe(assignment.shards_of(&format!("sender-{n}")));
    }
    replicas
}

impl SimulatedCluster {
    pub(crate) fn new(seed: u64) -> Self {
        let mut source = empty_source(shard_count(SHARDS), 1);
        let mut committed = HashMap::new();
        for n in 0..DESTINATIONS {
            let change = source.propose(put(n, &format!("u{n}"), 80)).expect("valid");
            committed.insert((change.shard, change.version), change.digest_after);
        }
        // the second source must not accept changes, since there is only one leader for each term
        let mut second = source.clone();
        second.observe_term(LeaderTerm(2));
        let replicas = replicas();
        let mut cluster = SimulatedCluster {
            random: Pcg64::seed_from_u64(seed),
            now_ms: 0,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            last_event: 0,
            sources: vec![source, second],
            leader: 0,
            term: 1,
            backups: replicas.clone(),
            replicas,
            stopped: BTreeMap::new(),
            cut_links: BTreeSet::new(),
            faults_enabled: true,
            committed,
            last_seen: HashMap::new(),
            applied: 0,
            lost: 0,
            packets: 0,
        };
        cluster.record_source(0);
        for node in 2..2 + PROXIES + SENDERS {
            let at_ms = cluster.random_below(SYNC_INTERVAL_MS);
            cluster.schedule(at_ms, Event::Sync(node));
        }
        cluster.schedule(10, Event::Change);
        cluster.schedule(500, Event::Fault);
        cluster
    }

    /// A random number from 0 to `bound - 1`.
    pub(crate) fn random_below(&mut self, bound: u64) -> u64 {
        self.random.next_u64() % bound
    }

    /// Returns `true` with a probability of this many percent.
    pub(crate) fn random_chance(&mut self, percent: u64) -> bool {
        self.random_below(100) < percent
    }

    fn schedule(&mut self, at_ms: u64, event: Event) {
        self.last_event += 1;
        self.queue.push(Reverse((at_ms, self.last_event)));
        self.events.insert(self.last_event, event);
    }

    fn send(&mut self, from: usize, to: usize, packet: &Packet) {
        self.packets += 1;
        if self.faults_enabled && (self.cut_links.contains(&(from, to)) || self.random_chance(15)) {
            self.lost += 1;
            return;
        }
        let deliveries = if self.faults_enabled && self.random_chance(15) {
            2
        } else {
            1
        };
        for _ in 0..deliveries {
            let delay_ms = if self.faults_enabled {
                self.random_below(400)
            } else {
                1
            };
            let packet = packet.clone();
            self.schedule(self.now_ms + delay_ms, Event::Arrival { from, to, packet });
        }
    }

    /// The node to which a node sends its requests: a session proxy for senders, a source for session proxies.
    ///
    /// While faults are enabled, it chooses another session proxy, or the source that is not the leader, in 20 % of
    /// cases.
    fn upstream(&mut self, node: usize) -> usize {
        if node >= 2 + PROXIES {
            let own_proxy = node % PROXIES;
            let use_next = self.faults_enabled && self.random_chance(20);
            return proxy(if use_next {
                (own_proxy + 1) % PROXIES
            } else {
                own_proxy
            });
        }
        if self.faults_enabled && self.random_chance(20) {
            1 - self.leader
        } else {
            self.leader
        }
    }

    fn send_requests(&mut self, node: usize, to: usize, requests: Vec<SyncRequest>) {
        for request in requests {
            self.send(node, to, &Packet::Request(request));
        }
    }

    /// Forwards new updates from a source to all session proxies, or from a session proxy to its senders.
    pub(crate) fn publish(&mut self, node: usize, updates: &[Update]) {
        let downstream: Vec<usize> = match node {
            0 | 1 => (0..PROXIES).map(proxy).collect(),
            node if node < 2 + PROXIES => (0..SENDERS)
                .map(sender)
                .filter(|sender| sender % PROXIES == node % PROXIES)
                .collect(),
            _ => Vec::new(),
        };
        for update in updates {
            for &to in &downstream {
                self.send(node, to, &Packet::Update(update.clone()));
            }
        }
    }

    pub(crate) fn receive(&mut self, from: usize, to: usize, packet: Packet) {
        if let Some(buffer) = self.stopped.get_mut(&to) {
            // further packets are lost, since the buffers of a socket are limited too
            if buffer.len() < 200 {
                buffer.push((from, packet));
            }
            return;
        }
        match packet {
            Packet::Request(request) => {
                let updates = match to {
                    0 | 1 => self.sources[to].respond(&request),
                    _ => self.replicas[to - 2].respond(&request),
                };
                for update in updates.expect("valid") {
                    self.send(to, from, &Packet::Update(update));
                }
            }
            Packet::Update(update) => {
                let Ok(outcome) = self.replicas[to - 2].apply(update) else {
                    return;
                };
                self.check_node(to);
                self.publish(to, &outcome.updates);
                self.send_requests(to, from, outcome.requests);
            }
        }
    }

    pub(crate) fn run(&mut self, until_ms: u64) {
        while let Some(&Reverse((at_ms, number))) = self.queue.peek() {
            if at_ms > until_ms {
                break;
            }
            self.queue.pop();
            self.now_ms = at_ms;
            let event = self.events.remove(&number).expect("an event");
            self.handle(at_ms, event);
        }
        self.now_ms = until_ms;
    }

    fn handle(&mut self, at_ms: u64, event: Event) {
        match event {
            Event::Arrival { from, to, packet } => self.receive(from, to, packet),
            Event::Sync(node) => {
                if !self.stopped.contains_key(&node) {
                    let to = self.upstream(node);
                    let requests = self.replicas[node - 2].sync_requests();
                    self.send_requests(node, to, requests);
                }
                self.schedule(at_ms + SYNC_INTERVAL_MS, Event::Sync(node));
            }
            Event::Change if self.faults_enabled => {
                self.propose_change();
                let pause_ms = 1 + self.random_below(60);
                self.schedule(at_ms + pause_ms, Event::Change);
            }
            Event::Fault if self.faults_enabled => {
                self.inject_fault();
                let pause_ms = 1 + self.random_below(800);
                self.schedule(at_ms + pause_ms, Event::Fault);
            }
            Event::Change | Event::Fault => {}
        }
    }
}
