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
const CROWD_TIME: Duration = Duration::from_millis(3_500);
const ALL_BEHAVIORS: [CrowdBehavior; 4] = [
    CrowdBehavior::WritesSlowly,
    CrowdBehavior::StopsHalfWay,
    CrowdBehavior::SendsManyFields,
    CrowdBehavior::StopsBehindManyFields,
];
/// Memory for the pages of the program, which a test build has more of than a release build.
const PROGRAM_BYTES: u64 = 8_000_000;
/// Large messages that fill at least an eighth of the memory.
const MIN_UNFINISHED: usize = 60;
/// Destination whose endpoint answers.
const HEALTHY: u64 = 8;
/// Destination whose endpoint never answers.
const SILENT: u64 = 7;

/// The largest memory that the process has had, with the pages of the program counted as a release build has them.
fn peak_memory_bytes(process_id: u32) -> u64 {
    let own_bytes = peak_resident_bytes(process_id).saturating_sub(resident_file_bytes(process_id));
    own_bytes + PROGRAM_BYTES
}

/// Lets each kind of crowd occupy the sender, first alone and then beside as many unfinished messages as it accepts.
fn check_crowds(address: SocketAddr, process_id: u32, class: &'static str) {
    for behavior in ALL_BEHAVIORS {
        check_crowd(address, process_id, class, behavior, "alone");
    }
    let accepted = submit_until_full(address, class, SILENT);
    println!("{accepted} messages: {}", peak_memory_bytes(process_id));
    assert!(accepted >= MIN_UNFINISHED, "{accepted}");
    for behavior in ALL_BEHAVIORS {
        check_crowd(address, process_id, class, behavior, "full");
    }
}

/// Lets a crowd occupy the sender, and checks its memory and the responses to other clients.
fn check_crowd(
    address: SocketAddr,
    process_id: u32,
    class: &'static str,
    behavior: CrowdBehavior,
    phase: &str,
) {
    let crowd = ClientCrowd::start(address, CROWD, behavior, class);
    let prefix = format!("{phase}-{behavior:?}");
    let counts = submit_on_new_connections(address, class, HEALTHY, &prefix, CROWD_TIME);
    drop(crowd);
    let peak_bytes = peak_memory_bytes(process_id);
    println!("{prefix}: {peak_bytes}, {counts:?}");
    assert!(
        peak_bytes <= MEMORY_MB * 1_000_000,
        "{prefix}: {peak_bytes}"
    );
    let answered = counts.accepted + counts.rejected;
    assert_eq!(answered, counts.requests(), "{prefix}: {counts:?}");
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
