//! Simulates sources, session proxies and senders in virtual time, over a network that loses, duplicates, delays and
//! reorders packets, and has partitions.
//!
//! Each state that a sender reaches is checked against the versions that the sources assigned. A sender must never go
//! back to an older version, never have a state that no source had, and never have an endpoint of a rejected change.
//! Once the faults end, all nodes must be equal within two rounds of requests.

#[path = "../common/mod.rs"]
mod common;

mod checks;
mod faults;
mod world;

use world::{FAULTS_END_MS, PROXIES, SENDERS, SHARDS, SYNC_INTERVAL_MS, SimulatedCluster, proxy};

#[test]
fn nodes_have_only_committed_states_and_converge_after_faults() {
    let (mut applied, mut lost, mut terms) = (0, 0, 0);
    for seed in 1..=30 {
        let mut cluster = SimulatedCluster::new(seed);
        cluster.run(FAULTS_END_MS);
        cluster.faults_enabled = false;
        cluster.cut_links.clear();
        for n in 0..PROXIES {
            cluster.resume(proxy(n));
        }
        let before = cluster.packets;
        // time for the packets in transit, then for one round of requests by each session proxy and one by each sender
        cluster.run(FAULTS_END_MS + 400 + 2 * SYNC_INTERVAL_MS);
        assert!(
            cluster.is_converged(),
            "seed {seed}: nodes have not converged"
        );
        let sent = cluster.packets - before;
        // upper bound for three rounds, in which each node sends a request and gets a response for the whole span, for
        // each of its 16 parts and for each shard, and each update is forwarded to all senders
        let bound =
            3 * (PROXIES + SENDERS) as u64 * 2 * u64::from(SHARDS + 17 + SHARDS * SENDERS as u32);
        assert!(sent < bound, "seed {seed}: {sent} packets to converge");
        cluster.run(cluster.now_ms + 2 * SYNC_INTERVAL_MS);
        let before = cluster.packets;
        cluster.run(cluster.now_ms + SYNC_INTERVAL_MS);
        // after convergence a round is one request by each node, and one response to each session proxy
        assert!(
            cluster.packets - before <= (2 * PROXIES + SENDERS) as u64 + 2,
            "seed {seed}: packets other than one round of requests after convergence"
        );
        applied += cluster.applied;
        lost += cluster.lost;
        terms += cluster.term;
    }
    println!("{applied} states at senders, {lost} packets lost, {terms} terms");
    assert!(
        applied > 10_000 && lost > 10_000 && terms > 60,
        "too few states, lost packets or terms to cover the faults: {applied} {lost} {terms}"
    );
}
