//! Clients that close their connection before they have the response, and submit the same message again.

mod node;
mod sidecar_process;

use node::Node;
use sidecar_process::*;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::process::Command;
use std::thread;
use std::time::Duration;

const DESTINATION: u64 = 7;
/// Clients that submit messages at the same time.
const CLIENTS: usize = 8;
/// Messages that each client submits.
const ROUNDS: usize = 400;
/// Longest time from the last byte of a request to the close of its connection, and the number of different times.
const MAX_DELAY: Duration = Duration::from_micros(500);
const DELAYS: usize = 40;
/// Clients that are connected to a process when it is taken over.
const UPGRADE_CLIENTS: usize = 200;
/// Requests on a connection that is closed before the sender has read any.
const UNREAD_REQUESTS: usize = 200;

/// An endpoint that responds after a while, so that a client can leave while a call is in flight.
fn slow_endpoint() -> FakeEndpoint {
    FakeEndpoint::new(|_, _| {
        thread::sleep(Duration::from_millis(2));
        OK
    })
}

fn discovery_with(endpoint: &FakeEndpoint) -> FakeDiscovery {
    FakeDiscovery::new(vec![list_json(&[(
        "s-1",
        endpoint.address,
        "one",
        DESTINATION,
        "up",
    )])])
}

fn order(id: &str) -> Vec<u8> {
    message_request("order", id, DESTINATION, 5_000, b"x")
}

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("the sender accepts");
    stream.set_nodelay(true).expect("set");
    stream
}

/// Submits a message, and closes the connection after the delay without reading the response.
fn submit_and_leave(mut stream: TcpStream, id: &str, delay: Duration) {
    stream.write_all(&order(id)).expect("written");
    let left_at = std::time::Instant::now() + delay;
    while std::time::Instant::now() < left_at {
        std::hint::spin_loop();
    }
}

/// Submits messages, leaves, and submits each again until the sender does not reject it. Returns the ids that ran more
/// than once.
fn repeated_runs(address: SocketAddr, endpoint: &FakeEndpoint) -> Vec<String> {
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            thread::spawn(move || {
                let submit = |round| {
                    let id = format!("m-{client}-{round}");
                    submit_twice(connect(address), address, id, round)
                };
                (0..ROUNDS).map(submit).collect::<Vec<String>>()
            })
        })
        .collect();
    let ids = clients
        .into_iter()
        .flat_map(|client| client.join().expect("no client failed"));
    run_repeatedly(ids, endpoint)
}

/// The ids of messages that ran more than once, after all calls have ended.
fn run_repeatedly(ids: impl Iterator<Item = String>, endpoint: &FakeEndpoint) -> Vec<String> {
    let ids: Vec<String> = ids.collect();
    thread::sleep(Duration::from_millis(500));
    ids.into_iter()
        .filter(|id| endpoint.attempt_count(id) > 1)
        .collect()
}

/// Submits a message on a connection, leaves before the response, and submits the message again on a new connection to
/// the address until it is not rejected. Returns the id.
fn submit_twice(stream: TcpStream, address: SocketAddr, id: String, round: usize) -> String {
    let delay = MAX_DELAY * (round % DELAYS) as u32 / DELAYS as u32;
    submit_and_leave(stream, &id, delay);
    submit_until_not_rejected(address, &id);
    id
}

/// Submits a message until it is not rejected; returns the status.
fn submit_until_not_rejected(address: SocketAddr, id: &str) -> u16 {
    let mut status = 0;
    wait_until("the message is not rejected", || {
        status = Client::new(address)
            .send(&order(id))
            .map_or(0, |(status, _)| status);
        !matches!(status, 0 | 429 | 503)
    });
    status
}

/// Number of messages that are sent on although their client has closed its connection before the process, which is
/// stopped meanwhile, could read them.
fn runs_of_unread_requests(process_id: u32, address: SocketAddr, endpoint: &FakeEndpoint) -> usize {
    signal(process_id, "-STOP");
    let mut stream = TcpStream::connect(address).expect("the kernel accepts");
    for number in 0..UNREAD_REQUESTS {
        stream
            .write_all(&order(&format!("unread-{number}")))
            .expect("written");
    }
    drop(stream);
    signal(process_id, "-CONT");
    thread::sleep(Duration::from_millis(1_000));
    (0..UNREAD_REQUESTS)
        .map(|number| endpoint.attempt_count(&format!("unread-{number}")))
        .sum()
}

fn signal(process_id: u32, name: &str) {
    let status = Command::new("kill")
        .args([name, &process_id.to_string()])
        .status();
    assert!(status.expect("kill runs").success());
}

fn start_sidecar(endpoint: &FakeEndpoint) -> Sidecar {
    Sidecar::new(&format!(
        "[destination.one]\nid = {DESTINATION}\nendpoints = ['{}']\n",
        endpoint.address
    ))
}

/// Guards against a message that runs twice because it was withdrawn, and forgotten, while its call was in flight.
#[test]
fn a_message_whose_client_left_and_came_again_runs_once_on_the_platform_sender() {
    let endpoint = slow_endpoint();
    let node = Node::new(&discovery_with(&endpoint)).ready();
    let repeated = repeated_runs(node.address, &endpoint);
    assert!(repeated.is_empty(), "{} {repeated:?}", repeated.len());
}

/// Guards against the same in the sidecar.
#[test]
fn a_message_whose_client_left_and_came_again_runs_once_on_the_sidecar() {
    let endpoint = slow_endpoint();
    let sidecar = start_sidecar(&endpoint);
    let repeated = repeated_runs(sidecar.http, &endpoint);
    assert!(repeated.is_empty(), "{} {repeated:?}", repeated.len());
}

/// Guards against a message that runs twice because its client left a process that has been taken over, and came again to
/// the new one.
#[test]
fn a_message_whose_client_left_the_old_process_runs_once_in_the_new_one() {
    let endpoint = slow_endpoint();
    let old = Node::new(&discovery_with(&endpoint)).ready();
    let connections: Vec<TcpStream> = (0..UPGRADE_CLIENTS).map(|_| connect(old.address)).collect();
    let new = old.hot_restart().ready();
    let submit = |(round, stream)| submit_twice(stream, new.address, format!("u-{round}"), round);
    let ids: Vec<String> = connections.into_iter().enumerate().map(submit).collect();
    let repeated = run_repeatedly(ids.into_iter(), &endpoint);
    assert!(repeated.is_empty(), "{} {repeated:?}", repeated.len());
}

/// Guards against an at-most-once message that runs again because a restart forgot it when its client had no response.
#[test]
fn a_message_that_was_delivered_before_a_kill_runs_once_on_the_platform_sender() {
    let endpoint = slow_endpoint();
    let node = Node::new(&discovery_with(&endpoint)).ready();
    assert_eq!(submit_until_not_rejected(node.address, "m1"), 202);
    wait_until("the message is delivered", || {
        node.metric("responses.order.ok") == 1
    });
    let node = node.restart().ready();
    assert_eq!(submit_until_not_rejected(node.address, "m1"), 500);
    assert_eq!(endpoint.attempt_count("m1"), 1);
}

/// Guards against the same in the sidecar.
#[test]
fn a_message_that_was_delivered_before_a_kill_runs_once_on_the_sidecar() {
    let endpoint = slow_endpoint();
    let sidecar = start_sidecar(&endpoint);
    assert_eq!(submit_until_not_rejected(sidecar.http, "m1"), 202);
    wait_until("the message is delivered", || {
        sidecar.get("/v1/messages/m1").1.contains("delivered")
    });
    let sidecar = sidecar.restart();
    assert_eq!(submit_until_not_rejected(sidecar.http, "m1"), 200);
    assert_eq!(endpoint.attempt_count("m1"), 1);
}

/// Guards against an at-most-once message that runs again when it comes again after an end that was uncertain.
#[test]
fn a_message_that_failed_and_may_have_run_does_not_run_again() {
    let endpoint = FakeEndpoint::new(|_, _| Reply::Close);
    let discovery = discovery_with(&endpoint);
    let node = Node::new(&discovery).ready();
    assert_eq!(submit_until_not_rejected(node.address, "m1"), 202);
    wait_until("the message has failed", || {
        !discovery.notifications().is_empty()
    });
    assert_eq!(submit_until_not_rejected(node.address, "m1"), 500);
    let node = node.restart().ready();
    assert_eq!(submit_until_not_rejected(node.address, "m1"), 500);
    assert_eq!(endpoint.attempt_count("m1"), 1);
}

/// Guards against requests of a client that has left, which it submits again elsewhere.
#[test]
fn requests_that_are_unread_when_their_client_leaves_are_not_sent_on_by_the_platform_sender() {
    let endpoint = slow_endpoint();
    let node = Node::new(&discovery_with(&endpoint)).ready();
    let runs = runs_of_unread_requests(node.process.id(), node.address, &endpoint);
    assert_eq!(runs, 0);
}

/// Guards against the same in the sidecar.
#[test]
fn requests_that_are_unread_when_their_client_leaves_are_not_sent_on_by_the_sidecar() {
    let endpoint = slow_endpoint();
    let sidecar = start_sidecar(&endpoint);
    let runs = runs_of_unread_requests(sidecar.process.id(), sidecar.http, &endpoint);
    assert_eq!(runs, 0);
}
