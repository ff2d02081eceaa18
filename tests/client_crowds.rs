//! Hundreds of clients occupy the platform's sender and the sidecar of a small deployment without completing their
//! requests. The process stays within its memory limit, and other clients get a response in time.

mod node;
mod sidecar_process;

use node::Node;
use sidecar_process::*;
use std::net::SocketAddr;
use std::time::Duration;

/// Memory limit of the deployment, in megabytes.
const MEMORY_MB: u64 = 32;
/// File descriptors that the process may open.
const DESCRIPTORS: usize = 512;
/// Clients that are connected at once.
const CROWD: usize = 600;
/// Time for which each crowd is connected.
const CROWD_TIME: Duration = Duration::from_secs(5);
const ALL_BEHAVIORS: [CrowdBehavior; 3] = [
    CrowdBehavior::WritesSlowly,
    CrowdBehavior::StopsHalfWay,
    CrowdBehavior::SendsManyFields,
];
/// Memory for the pages of the program, which a test build has more of than a release build.
const PROGRAM_BYTES: u64 = 8_000_000;
/// Destination whose endpoint answers.
const HEALTHY: u64 = 8;
/// Destination whose endpoint never answers.
const SILENT: u64 = 7;

/// Submits large messages to the silent endpoint until one is rejected; returns how many were accepted.
fn fill_with_unfinished_messages(address: SocketAddr, class: &str) -> usize {
    let body = vec![b'x'; 64 * 1024];
    let mut accepted = 0;
    let mut client = Client::new(address);
    for number in 0..1_000 {
        let request = message_request(class, &format!("held-{number}"), SILENT, 120_000, &body);
        match client.send(&request) {
            Some((202, _)) => accepted += 1,
            _ => break,
        }
    }
    accepted
}

/// The largest memory that the process has had, with the pages of the program counted as a release build has them.
fn peak_memory_bytes(process_id: u32) -> u64 {
    let own_bytes = peak_resident_bytes(process_id).saturating_sub(resident_file_bytes(process_id));
    own_bytes + PROGRAM_BYTES
}

/// Lets each kind of crowd occupy the sender, and checks its memory and the responses to other clients.
fn check_crowds(address: SocketAddr, process_id: u32, class: &'static str) {
    let accepted = fill_with_unfinished_messages(address, class);
    println!(
        "{accepted} messages accepted: {}",
        peak_memory_bytes(process_id)
    );
    for behavior in ALL_BEHAVIORS {
        let crowd = ClientCrowd::start(address, CROWD, behavior, class);
        let prefix = format!("{behavior:?}");
        let counts = submit_on_new_connections(address, class, HEALTHY, &prefix, CROWD_TIME);
        drop(crowd);
        let peak_bytes = peak_memory_bytes(process_id);
        println!("{behavior:?}: {peak_bytes}, {counts:?}");
        assert!(
            peak_bytes <= MEMORY_MB * 1_000_000,
            "{behavior:?}: {peak_bytes}"
        );
        let answered = counts.accepted + counts.rejected;
        assert_eq!(answered, counts.requests(), "{behavior:?}: {counts:?}");
    }
}

fn endpoints() -> (FakeEndpoint, FakeEndpoint) {
    (
        FakeEndpoint::new(|_, _| Reply::NoResponse),
        FakeEndpoint::new(|_, _| OK),
    )
}

/// Guards against a process that passes its memory limit and is killed: messages were held in memory twice and without a
/// limit of their own, and connections were not counted.
#[test]
fn crowds_leave_the_platform_sender_within_its_memory_limit() {
    let (silent, healthy) = endpoints();
    let discovery = FakeDiscovery::new(vec![list_json(&[
        ("s-1", silent.address, "one", SILENT, "up"),
        ("s-2", healthy.address, "one", HEALTHY, "up"),
    ])]);
    let node = Node::with_config(&discovery, DESCRIPTORS, |text| {
        text.replace("\"memory_mb\":192", &format!("\"memory_mb\":{MEMORY_MB}"))
            .replace("\"disk_mb\":3", "\"disk_mb\":30")
            .replace("\"maxOpen\":50", "\"maxOpen\":400")
    })
    .ready();
    check_crowds(node.address, node.process.id(), "webhook");
}

/// Guards against a process that passes its memory limit and is killed: messages were held in memory twice and without a
/// limit of their own, and connections were not counted.
#[test]
fn crowds_leave_the_sidecar_within_its_memory_limit() {
    let (silent, healthy) = endpoints();
    let sidecar = Sidecar::new(&format!(
        "[limits]\nmemory = '{MEMORY_MB}MB'\nsockets = {DESCRIPTORS}\n\
         [destination.silent]\nid = {SILENT}\nendpoints = ['{}']\n\
         [destination.healthy]\nid = {HEALTHY}\nendpoints = ['{}']\n",
        silent.address, healthy.address
    ));
    check_crowds(sidecar.http, sidecar.process.id(), "notice");
}
