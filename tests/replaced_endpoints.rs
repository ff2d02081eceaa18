//! A new process comes up at the address of an endpoint that has gone, while a call to that endpoint waits for its
//! connection. The call does not go to the new process.

mod node;
mod sidecar_process;

use node::Node;
use sidecar_process::*;
use std::net::SocketAddr;
use std::path::Path;
use std::thread;
use std::time::Duration;

/// Destination of the message.
const WANTED: u64 = 7;
/// Destination of the new process.
const OTHER: u64 = 8;
/// Longer than the kernel waits before it repeats the request for a connection.
const CONNECT_TIME: Duration = Duration::from_millis(2_500);
/// Time for which the call waits for its connection before the list changes.
const STALLED_TIME: Duration = Duration::from_millis(300);

/// An entry of an endpoint list: uid, address and destination.
type Entry<'a> = (&'a str, SocketAddr, u64);

fn discovery_of(entries: &[Entry]) -> FakeDiscovery {
    let serving: Vec<_> = entries
        .iter()
        .map(|&(uid, address, destination)| (uid, address, "one", destination, "up"))
        .collect();
    FakeDiscovery::new(vec![list_json(&serving)])
}

/// Starts a platform's sender that calls a stalled endpoint named `s-1`, and then gets another list. Returns the number
/// of runs of the message in the new process at the stalled address, and those at another address.
fn runs_after_list_change(
    new_list: impl Fn(SocketAddr, SocketAddr) -> Vec<Entry<'static>>,
) -> (usize, usize) {
    let stalled = StalledAddress::new();
    let moved = FakeEndpoint::new(|_, _| OK);
    let old_discovery = discovery_of(&[("s-1", stalled.address, WANTED)]);
    let node = Node::with_config(&old_discovery, 1024, |text| {
        text.replace("\"dialTimeout\":0.5", "\"dialTimeout\":4.0")
    })
    .ready();
    assert_eq!(node.submit("order", "m1", WANTED, 10_000, b"x"), 202);
    thread::sleep(STALLED_TIME);
    let new_discovery = discovery_of(&new_list(stalled.address, moved.address));
    let (old_address, new_address) = (old_discovery.address, new_discovery.address);
    node.reload(|text| text.replace(&old_address.to_string(), &new_address.to_string()));
    wait_until("the new list is requested", || {
        new_discovery
            .watch_count
            .load(std::sync::atomic::Ordering::SeqCst)
            > 0
    });
    let replacement = stalled.serve(|_, _| OK);
    thread::sleep(CONNECT_TIME);
    assert!(
        replacement
            .connection_count
            .load(std::sync::atomic::Ordering::SeqCst)
            > 0,
        "the connections at the stalled address are established"
    );
    wait_until("the message is delivered", || {
        node.metric("responses.order.ok") == 1
    });
    (replacement.attempt_count("m1"), moved.attempt_count("m1"))
}

/// Guards against a message that goes to a process of another destination, because its endpoint has moved and that
/// process has the former address.
#[test]
fn a_call_does_not_go_to_the_former_address_of_an_endpoint_that_has_moved() {
    let runs = runs_after_list_change(|former, current| {
        vec![("s-1", current, WANTED), ("s-9", former, OTHER)]
    });
    assert_eq!(runs, (0, 1));
}

/// Guards against a message that goes to an endpoint which serves another destination by now.
#[test]
fn a_call_does_not_go_to_an_endpoint_that_serves_another_destination_now() {
    let runs = runs_after_list_change(|former, current| {
        vec![("s-2", current, WANTED), ("s-1", former, OTHER)]
    });
    assert_eq!(runs, (0, 1));
}

/// Guards against a message that goes to the process that has the address of a removed endpoint.
#[test]
fn a_call_does_not_go_to_the_address_of_an_endpoint_that_was_removed() {
    let runs = runs_after_list_change(|former, current| {
        vec![("s-2", current, WANTED), ("s-9", former, OTHER)]
    });
    assert_eq!(runs, (0, 1));
}

fn write_endpoints(file: &Path, entries: &[(u64, SocketAddr)]) {
    let tables = entries.iter().map(|(destination, address)| {
        format!("[destination.{destination}]\nendpoints = ['{address}']\n")
    });
    let new = file.with_extension("new");
    std::fs::write(&new, tables.collect::<String>()).expect("written");
    std::fs::rename(&new, file).expect("replaced");
}

/// Guards against the same in the sidecar, whose endpoints file changes.
#[test]
fn a_call_of_the_sidecar_does_not_go_to_the_address_of_an_endpoint_that_was_removed() {
    let stalled = StalledAddress::new();
    let moved = FakeEndpoint::new(|_, _| OK);
    let folder = new_folder();
    let file = folder.join("endpoints.toml");
    write_endpoints(&file, &[(WANTED, stalled.address), (OTHER, moved.address)]);
    let sidecar = Sidecar::start(
        folder,
        unused_address(),
        unused_address(),
        &format!(
            "[connections]\ndial = '1500ms'\n[endpoints]\nfile = 'endpoints.toml'\n\
             [destination.wanted]\nid = {WANTED}\n[destination.other]\nid = {OTHER}\n"
        ),
    );
    assert_eq!(
        sidecar.status(&message_request("notice", "m1", WANTED, 10_000, b"x")),
        202
    );
    thread::sleep(STALLED_TIME);
    write_endpoints(&file, &[(WANTED, moved.address), (OTHER, stalled.address)]);
    wait_until("the new list is read", || {
        let log = sidecar.log.lock().expect("not poisoned");
        log.iter()
            .filter(|record| record.contains("endpoints: "))
            .count()
            > 1
    });
    let replacement = stalled.serve(|_, _| OK);
    thread::sleep(CONNECT_TIME);
    wait_until("the message is delivered", || {
        sidecar.get("/v1/messages/m1").1.contains("delivered")
    });
    assert_eq!(
        (replacement.attempt_count("m1"), moved.attempt_count("m1")),
        (0, 1)
    );
}
