//! Runs coordinators and members as processes with network faults, kills and suspensions. A resource must have one owner at
//! a time, and a former owner that resumes late must not write.

use milletturn_cluster_harness::history::{
    Event, check_single_owner, check_writes_within_lease, highest_token, is_join, is_write,
    join_count, writes_above, writes_of,
};
use milletturn_cluster_harness::process::wait_until;
use milletturn_cluster_harness::{ClientLinks, Cluster, LinkMode, Process};
use milletturn_coordination::state::EventKind;
use milletturn_coordination_protocol::messages::{COMMAND_PATH, HEARTBEAT_PATH};

const PROGRAM: &str = env!("CARGO_BIN_EXE_milletturn");
/// Maximum number of attempts at a check that needs the same leader from start to end. The test fails if another leader
/// is elected in each attempt.
const MAX_ELECTIONS: usize = 5;

/// The number of writes that the process performed with this fencing token.
fn write_count_under(process: &Process, token: u64) -> usize {
    writes_of(process)
        .iter()
        .filter(|write| write.token == token)
        .count()
}

/// Buffers the requests of a member until the buffers hold a write to the leader and a heartbeat. A write to another replica
/// is let through: its response would only name the leader, which a suspended member can't follow. Returns the leader.
fn buffer_outgoing(cluster: &Cluster, links: &ClientLinks) -> usize {
    let set_outgoing = |mode| {
        let links = links.links.iter();
        links.for_each(|link| link.set_directions(mode, LinkMode::Pass));
    };
    let is_buffered = |path| links.links.iter().any(|link| link.buffers_request(path));
    let mut leader = 0;
    wait_until("a write to the leader and a heartbeat are buffered", || {
        set_outgoing(LinkMode::Buffer);
        if !is_buffered(COMMAND_PATH) || !is_buffered(HEARTBEAT_PATH) {
            return false;
        }
        leader = cluster.wait_for_leader(&cluster.replicas());
        let is_to_leader = links.links[leader].buffers_request(COMMAND_PATH);
        if !is_to_leader {
            set_outgoing(LinkMode::Pass);
        }
        is_to_leader
    });
    leader
}

/// Starts three coordinators, an owner that writes, and a second member that waits for the resource. Returns the cluster,
/// the owner's links, the owner and the second member.
fn start_owner_and_second_member() -> (Cluster, ClientLinks, Process, Process) {
    let mut cluster = Cluster::start(PROGRAM, 3);
    let (links_a, links_b) = (cluster.connect_client(), cluster.connect_client());
    let a = cluster.start_member(&links_a, "w", "a");
    a.wait_for_lines(3, is_write);
    let b = cluster.start_member(&links_b, "w", "b");
    b.wait_for_lines(1, is_join);
    (cluster, links_a, a, b)
}

#[test]
fn a_suspended_owner_writes_nothing_once_another_member_owns_the_resource() {
    let (cluster, _links, a, b) = start_owner_and_second_member();
    // the owner is suspended, loses the resource to the other member, and is resumed
    for _ in 0..3 {
        let (owner, next) = if highest_token(&a) > highest_token(&b) {
            (&a, &b)
        } else {
            (&b, &a)
        };
        wait_until("the owner writes with its token", || {
            write_count_under(owner, highest_token(owner)) >= 3
        });
        owner.suspend();
        let (token, joined) = (highest_token(owner), join_count(owner));
        let writes_before = write_count_under(owner, token);
        wait_until("the other member writes", || writes_above(next, token) >= 3);
        owner.resume();
        wait_until("the former owner rejoins", || join_count(owner) > joined);
        // One write may have been in flight when the owner was suspended. It was performed at that time, and the owner
        // reports it only now.
        let late = write_count_under(owner, token) - writes_before;
        assert!(
            late <= 1,
            "{late} writes with token {token} after the loss of the resource"
        );
        cluster.check_history(&[&a, &b]);
    }
}

#[test]
fn a_write_that_arrives_late_is_rejected_by_its_fencing_token() {
    let is_checked = (0..MAX_ELECTIONS).any(|_| check_late_write());
    assert!(is_checked, "another leader was elected in each attempt");
}

/// Delays a write until another member owns the resource, and checks that it is rejected. Returns `false` if another leader
/// was elected in the meantime: the write would arrive at the former leader, which no longer performs writes.
fn check_late_write() -> bool {
    let (cluster, links_a, a, b) = start_owner_and_second_member();
    // the write has passed the member's own lease check and has been sent; the link buffers it and a heartbeat
    let leader = buffer_outgoing(&cluster, &links_a);
    a.suspend();
    let (token, joined) = (highest_token(&a), join_count(&a));
    wait_until("the other member writes", || writes_above(&b, token) >= 3);
    if cluster.wait_for_leader(&cluster.replicas()) != leader {
        return false;
    }
    links_a
        .links
        .iter()
        .for_each(|link| link.set_both(LinkMode::Pass));
    let is_rejected = |event: &Event| event.kind == EventKind::Fenced && event.token == token;
    wait_until("the late write is rejected", || {
        cluster.events_of("w").iter().any(is_rejected)
    });
    a.resume();
    wait_until("the former owner rejoins", || join_count(&a) > joined);
    let events = cluster.check_history(&[&a, &b]);
    assert!(
        events.iter().all(|event| event.member != "a"
            || event.token == 1
            || event.kind != EventKind::Acquired)
    );
    true
}

#[test]
fn an_owner_that_gets_no_responses_stops_writing_by_itself() {
    let (cluster, links_a, a, b) = start_owner_and_second_member();
    // the owner's heartbeats and writes reach only the leader, and no response comes back
    let leader = cluster.wait_for_leader(&cluster.replicas());
    for (replica, link) in links_a.links.iter().enumerate() {
        if replica == leader {
            link.set_directions(LinkMode::Pass, LinkMode::Buffer);
        } else {
            link.cut();
        }
    }
    a.wait_for_lines(1, |event| event.contains("\"alone\""));
    let (token, joined) = (highest_token(&a), join_count(&a));
    wait_until("the other member writes", || writes_above(&b, token) >= 3);
    links_a
        .links
        .iter()
        .for_each(|link| link.set_both(LinkMode::Pass));
    wait_until("the former owner rejoins", || join_count(&a) > joined);
    cluster.check_history(&[&a, &b]);
}

#[test]
fn a_partitioned_leader_serves_no_stale_state_and_its_clients_switch_to_the_next() {
    let mut cluster = Cluster::start(PROGRAM, 3);
    let all = cluster.replicas();
    let links = cluster.connect_client();
    let a = cluster.start_member(&links, "w", "a");
    a.wait_for_lines(3, is_write);
    let old = cluster.wait_for_leader(&all);
    let others: Vec<usize> = all
        .iter()
        .copied()
        .filter(|replica| *replica != old)
        .collect();
    cluster
        .links_of_replica(old)
        .for_each(milletturn_cluster_harness::LinkControl::cut);
    let new = cluster.wait_for_leader(&others);
    assert_ne!(old, new);
    // requests to the partitioned leader get an error and none of its state
    let (code, objects) = cluster.run_fleet_command(&[old], &["work"]);
    assert_eq!((code, objects), (3, Vec::new()));
    let (code, objects) = cluster.run_fleet_command(&[old], &["status"]);
    assert_eq!(
        (code, objects[0]["status"]["role"].as_str()),
        (3, Some("cut off"))
    );
    let (code, objects) = cluster.run_fleet_command(&[old], &["release-work", "w"]);
    assert_eq!((code, objects), (3, Vec::new()));
    let writes_before = writes_of(&a).len();
    wait_until("the owner continues to write", || {
        writes_of(&a).len() >= writes_before + 3
    });
    cluster
        .links_of_replica(old)
        .for_each(|link| link.set_both(LinkMode::Pass));
    cluster.wait_for_leader(&all);
    cluster.check_history(&[&a]);
}

#[test]
fn coordinators_killed_at_once_recover_in_any_order_with_all_acknowledged_writes() {
    let mut cluster = Cluster::start(PROGRAM, 3);
    let links = cluster.connect_client();
    let a = cluster.start_member(&links, "w", "a");
    a.wait_for_lines(3, is_write);
    let is_alone_event = |event: &str| event.contains("\"alone\"");
    let alone_event_count = || {
        a.lines()
            .iter()
            .filter(|event| is_alone_event(event))
            .count()
    };
    for order in [[2, 0, 1], [1, 2, 0]] {
        let before = alone_event_count();
        cluster
            .replicas()
            .into_iter()
            .for_each(|replica| cluster.kill_replica(replica));
        a.wait_for_lines(before + 1, is_alone_event);
        let writes_before = writes_of(&a).len();
        // one replica is no majority, so the command must fail
        cluster.start_replica(order[0]);
        assert_eq!(cluster.run_fleet_command(&order[..1], &["work"]).0, 3);
        assert_eq!(
            alone_event_count(),
            before + 1,
            "the event is reported once"
        );
        cluster.start_replica(order[1]);
        cluster.start_replica(order[2]);
        wait_until("the owner continues to write", || {
            writes_of(&a).len() >= writes_before + 3
        });
        cluster.check_history(&[&a]);
    }
}

#[test]
fn a_group_restored_from_a_backup_rejects_writes_of_the_lost_group() {
    let mut cluster = Cluster::start(PROGRAM, 3);
    let (links_a, links_b) = (cluster.connect_client(), cluster.connect_client());
    let a = cluster.start_member(&links_a, "w", "a");
    a.wait_for_lines(3, is_write);
    let backup = cluster.folder().join("backup.json");
    let (code, _) = cluster.run_fleet_command(
        &cluster.replicas(),
        &["backup", backup.to_str().expect("text")],
    );
    assert_eq!(code, 0);
    // each release makes the member claim the resource again and get a new token, which the backup does not contain and
    // which is lost with the disks
    for _ in 0..3 {
        let token = highest_token(&a);
        assert_eq!(
            cluster
                .run_fleet_command(&cluster.replicas(), &["release-work", "w"])
                .0,
            0
        );
        wait_until("the member owns again", || writes_above(&a, token) >= 3);
    }
    // buffer a write of the owner that is still undelivered when the coordinators lose their disks
    buffer_outgoing(&cluster, &links_a);
    a.suspend();
    let (lost_token, joined) = (highest_token(&a), join_count(&a));
    for replica in cluster.replicas() {
        cluster.kill_replica(replica);
        std::fs::remove_dir_all(cluster.state_folder(replica)).expect("a lost disk");
    }
    cluster.bootstrap(&[
        "--restore",
        backup.to_str().expect("text"),
        "--generation",
        "1",
    ]);
    cluster
        .replicas()
        .into_iter()
        .for_each(|replica| cluster.start_replica(replica));
    let b = cluster.start_member(&links_b, "w", "b");
    b.wait_for_lines(3, is_write);
    let token = writes_of(&b).first().expect("a write").token;
    assert!(
        token > 1 << 40,
        "above every token that the lost group can have granted: {token}"
    );
    // the connections to the lost coordinators are closed, so the former owner connects to the new ones
    links_a
        .links
        .iter()
        .for_each(|link| link.set_both(LinkMode::Pass));
    a.resume();
    wait_until("the former owner rejoins", || join_count(&a) > joined);
    let events = cluster.events_of("w");
    let text = format!("{events:#?}");
    check_single_owner(&events).unwrap_or_else(|why| panic!("{why}\n{text}"));
    check_writes_within_lease(&a).unwrap_or_else(|why| panic!("{why}"));
    assert!(
        events
            .iter()
            .all(|event| event.token != lost_token || event.kind == EventKind::Fenced),
        "{text}"
    );
}
