//! Compatibility of two versions, in both directions: a rolling replacement of replicas, clients of the other version, a
//! backup restored by the other version, and a hot restart from one version to the other.
//!
//! `MILLETTURN_OTHER_VERSION` names the other version's executable file. Without it the same scenarios run with this
//! version on both sides.

mod node;

use milletturn_cluster_harness::history::{
    check_single_owner, check_writes_within_lease, highest_token, is_join, is_write, writes_above,
    writes_of,
};
use milletturn_cluster_harness::process::wait_until as wait_for;
use milletturn_cluster_harness::{Cluster, Process, Program};
use node::*;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

const PROGRAM: &str = env!("CARGO_BIN_EXE_milletturn");
/// A lease that is longer than the elections of a rolling replacement, also on a slow machine.
const LONG_LEASE: &str = "12s";

fn this_version() -> Program {
    Program::new(PROGRAM)
}

/// The other version, or this one if none is named.
fn other_version() -> Program {
    match std::env::var_os("MILLETTURN_OTHER_VERSION") {
        Some(path) => Program::of_any_version(path),
        None => this_version(),
    }
}

/// Waits until a member has performed three more writes.
fn wait_for_progress(condition: &str, process: &Process) {
    let done = writes_of(process).len();
    wait_for(condition, || writes_of(process).len() >= done + 3);
}

/// Replaces the replicas of a cluster one by one, while a member of each version writes.
fn replace_replicas(from: &Program, to: &Program) {
    let mut cluster = Cluster::start_with_lease(from.clone(), 3, LONG_LEASE);
    let all = cluster.replicas();
    let links = [cluster.connect_client(), cluster.connect_client()];
    let former_member = cluster.start_member(&links[0], "w", "former");
    former_member.wait_for_lines(3, is_write);
    cluster.set_client_program(to);
    let new_member = cluster.start_member(&links[1], "v", "new");
    new_member.wait_for_lines(3, is_write);
    let tokens = [highest_token(&former_member), highest_token(&new_member)];
    for index in all.iter().copied() {
        cluster.kill_replica(index);
        cluster.set_replica_program(index, to);
        // both members write while the replica is down, and after its return
        wait_for_progress("the former member writes", &former_member);
        wait_for_progress("the new member writes", &new_member);
        cluster.start_replica(index);
        cluster.wait_for_leader(&all);
        wait_for_progress("the former member writes", &former_member);
        wait_for_progress("the new member writes", &new_member);
    }
    let last_tokens = [highest_token(&former_member), highest_token(&new_member)];
    assert_eq!(last_tokens, tokens, "both kept their leases throughout");
    let events = cluster.check_history(&[&former_member]);
    assert!(events.iter().all(|event| event.member == "former"));
    check_single_owner(&cluster.events_of("v")).expect("one owner at a time");
    check_writes_within_lease(&new_member).expect("no write after the lease");
}

#[test]
fn writes_continue_while_replicas_of_the_other_version_are_replaced_by_this_one() {
    replace_replicas(&other_version(), &this_version());
}

#[test]
fn writes_continue_while_replicas_of_this_version_are_replaced_by_the_other_one() {
    replace_replicas(&this_version(), &other_version());
}

/// Runs two members and a session proxy of one version against replicas of another. The owner is connected through the
/// proxy; when it is suspended, the directly connected member takes over.
fn run_clients(replicas: &Program, clients: &Program) {
    let mut cluster = Cluster::start(replicas.clone(), 3);
    cluster.set_client_program(clients);
    let proxy = cluster.start_session_proxy("p");
    let direct = cluster.connect_client();
    let through_proxy = cluster.connect_client_via_proxies(&[&proxy]);
    let owner = cluster.start_member_via_proxies(&through_proxy, "w", "a");
    owner.wait_for_lines(3, is_write);
    let next = cluster.start_member(&direct, "w", "b");
    next.wait_for_lines(1, is_join);
    owner.suspend();
    let token = highest_token(&owner);
    wait_for("the second member writes", || {
        writes_above(&next, token) >= 3
    });
    owner.resume();
    owner.wait_for_lines(2, is_join);
    let (code, members) = cluster.run_fleet_command(&cluster.replicas(), &["members"]);
    assert_eq!((code, members.len()), (0, 2), "{members:?}");
    cluster.check_history(&[&owner, &next]);
}

#[test]
fn members_and_a_session_proxy_of_the_other_version_work_with_replicas_of_this_one() {
    run_clients(&this_version(), &other_version());
}

#[test]
fn members_and_a_session_proxy_of_this_version_work_with_replicas_of_the_other_one() {
    run_clients(&other_version(), &this_version());
}

/// Takes a backup of a cluster of one version and restores it with another version.
fn restore_backup(from: &Program, to: &Program) {
    let mut cluster = Cluster::start(from.clone(), 3);
    let links = cluster.connect_client();
    let member = cluster.start_member(&links, "w", "a");
    member.wait_for_lines(3, is_write);
    let backup = cluster.folder().join("backup.json");
    let backup = backup.to_str().expect("text");
    let (code, _) = cluster.run_fleet_command(&cluster.replicas(), &["backup", backup]);
    assert_eq!(code, 0);
    for index in cluster.replicas() {
        cluster.kill_replica(index);
        std::fs::remove_dir_all(cluster.state_folder(index)).expect("a lost disk");
        cluster.set_replica_program(index, to);
    }
    cluster.bootstrap(&["--restore", backup, "--generation", "1"]);
    for index in cluster.replicas() {
        cluster.start_replica(index);
    }
    wait_for("the member has a token of the restored group", || {
        highest_token(&member) > 1 << 40
    });
    check_single_owner(&cluster.events_of("w")).expect("one owner at a time");
    check_writes_within_lease(&member).expect("no write after the lease");
}

#[test]
fn a_backup_of_the_other_version_is_restored_by_this_one() {
    restore_backup(&other_version(), &this_version());
}

#[test]
fn a_backup_of_this_version_is_restored_by_the_other_one() {
    restore_backup(&this_version(), &other_version());
}

/// Starts a sender of one version, and one of another version that takes over its sockets and messages.
fn hot_restart(from: &Program, to: &Program) {
    let release = Arc::new(AtomicBool::new(false));
    let is_released = release.clone();
    let endpoint = FakeEndpoint::new(move |request, _| {
        let is_blocked = request.header("x-request-id").starts_with("waiting");
        while is_blocked && !is_released.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(3));
        }
        OK
    });
    let discovery = FakeDiscovery::new(vec![list_json(&[(
        "s-1",
        endpoint.address,
        "one",
        7,
        "up",
    )])]);
    let mut old = Node::with_program(from.path(), &discovery).ready();
    // two calls are in flight while the process is replaced; the at-most-once message must not be sent twice
    for (class, id) in [("order", "waiting-order"), ("webhook", "waiting-webhook")] {
        assert_eq!(old.submit(class, id, 7, 20_000, b"x"), 202);
        wait_until("the message is sent", || endpoint.attempt_count(id) >= 1);
    }
    let mut client = Client::new(old.address);
    let new = old.hot_restart_with(to.path()).ready();
    assert_eq!(
        new.address, old.address,
        "the new process has the same socket"
    );
    // messages accepted from now on belong to the new process, whichever process the client was connected to
    let accepted = client.send(&message_request("webhook", "after", 7, 20_000, b"x"));
    assert!(matches!(accepted, Some((202, _)) | None), "{accepted:?}");
    assert_eq!(new.submit("webhook", "after-too", 7, 20_000, b"x"), 202);
    wait_until("the message is delivered", || {
        endpoint.attempt_count("after-too") == 1
    });
    release.store(true, Ordering::SeqCst);
    for (class, id) in [("order", "waiting-order"), ("webhook", "waiting-webhook")] {
        wait_until("the new process knows of the message's end", || {
            new.submit(class, id, 7, 0, b"x") == 200
        });
    }
    wait_until("the old process exits", || {
        old.process.try_wait().expect("a child process").is_some()
    });
    assert_eq!(endpoint.attempt_count("waiting-order"), 1, "not sent twice");
    assert!(discovery.notifications().is_empty(), "nothing failed");
}

#[test]
fn a_hot_restart_replaces_the_other_version_by_this_one() {
    hot_restart(&other_version(), &this_version());
}

#[test]
fn a_hot_restart_replaces_this_version_by_the_other_one() {
    hot_restart(&this_version(), &other_version());
}
