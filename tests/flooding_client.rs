//! One client writes small or invalid requests on one connection at full speed, also with names that were never used
//! before. Other clients get their responses in time, and the memory of the process does not grow.

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
/// Time for which each kind of request is written.
const FLOOD_TIME: Duration = Duration::from_millis(1_500);
/// Time for which messages are submitted whose outcomes nobody reads.
const UNREAD_TIME: Duration = Duration::from_secs(25);
/// Memory for the pages of the program, which a test build has more of than a release build.
const PROGRAM_BYTES: u64 = 8_000_000;
/// Large messages that fill at least an eighth of the memory.
const MIN_UNFINISHED: usize = 60;
/// Destination of the flooding client's messages.
const FLOODED: u64 = 7;
/// Destination of the other client's messages.
const OTHER: u64 = 8;
/// Destination whose endpoint never answers.
const SILENT: u64 = 9;

/// A kind of request, by its number.
type RequestKind = (&'static str, fn(u64, &str) -> Vec<u8>);

const REQUEST_KINDS: [RequestKind; 11] = [
    ("same id", |_, class| {
        message_request(class, "same", 7, 20_000, b"x")
    }),
    ("small chunks", |number, class| {
        let head = format!(
            "POST /{class} HTTP/1.1\r\nHost: a\r\nX-Request-ID: k{number}\r\nX-Priority-Class: {class}\r\n\
             X-Timeout: 20000m\r\nIdempotency-Key: k{number}\r\nTransfer-Encoding: chunked\r\nEnvelope: dest=7\r\n\r\n"
        );
        let chunks = "1\r\nx\r\n".repeat(60_000);
        format!("{head}{chunks}0\r\n\r\n").into_bytes()
    }),
    ("readiness", |_, _| {
        b"GET /ready HTTP/1.1\r\nHost: a\r\n\r\n".to_vec()
    }),
    ("valid", |number, class| {
        message_request(class, &format!("v{number}"), 7, 20_000, b"x")
    }),
    ("expired", |number, class| {
        message_request(class, &format!("e{number}"), 7, 0, b"x")
    }),
    ("new destinations", |number, class| {
        message_request(class, &format!("d{number}"), 1000 + number, 20_000, b"x")
    }),
    ("new classes", |number, _| {
        message_request(
            &format!("c{number}"),
            &format!("c{number}"),
            7,
            20_000,
            b"x",
        )
    }),
    ("new paths", |number, _| {
        format!("GET /p{number} HTTP/1.1\r\nHost: a\r\n\r\n").into_bytes()
    }),
    ("new subjects", |number, class| {
        let request = message_request(class, &format!("s{number}"), 7, 20_000, b"x");
        let text = String::from_utf8(request).expect("text");
        let path = format!("/{class}?subject=s{number} ");
        text.replacen(&format!("/{class} "), &path, 1).into_bytes()
    }),
    ("new fields", |number, class| {
        let request = message_request(class, &format!("f{number}"), 7, 20_000, b"x");
        let text = String::from_utf8(request).expect("text");
        let fields = format!("X-Field-{number}: 1\r\nX-Tenant-Id: t{number}\r\nHost");
        text.replacen("Host", &fields, 1).into_bytes()
    }),
    ("unreadable", |_, _| b"\0\r\n\r\n".to_vec()),
];

/// Submits messages on new connections beside a flood, and checks that each gets a response in time.
fn check_other_client(
    name: &str,
    address: SocketAddr,
    class: &str,
    flood: FloodingClient,
    duration: Duration,
) {
    let prefix = format!("other-{}", name.replace(' ', "-"));
    let counts = submit_on_new_connections(address, class, OTHER, &prefix, duration);
    println!(
        "{name}: {} response bytes, {counts:?}",
        flood.response_bytes()
    );
    drop(flood);
    let answered = counts.accepted + counts.rejected;
    assert_eq!(answered, counts.requests(), "{name}: {counts:?}");
}

fn check_memory(process_id: u32) {
    let own_bytes = peak_resident_bytes(process_id).saturating_sub(resident_file_bytes(process_id));
    println!("peak {own_bytes}");
    assert!(
        own_bytes + PROGRAM_BYTES <= MEMORY_MB * 1_000_000,
        "{own_bytes}"
    );
}

fn check_floods(address: SocketAddr, process_id: u32, class: &'static str) {
    for (name, request) in REQUEST_KINDS {
        let flood = FloodingClient::start(address, move |number| request(number, class));
        check_other_client(name, address, class, flood, FLOOD_TIME);
        check_memory(process_id);
    }
}

/// Does the same beside as many unfinished messages as the sender accepts.
fn check_floods_when_full(address: SocketAddr, process_id: u32, class: &'static str) {
    let accepted = submit_until_full(address, class, SILENT);
    println!("{accepted} unfinished messages");
    assert!(accepted >= MIN_UNFINISHED, "{accepted}");
    check_floods(address, process_id, class);
}

/// A sidecar with two destinations and these limits, beside its memory and descriptors.
fn start_sidecar(limits: &str) -> Sidecar {
    let (flooded, other) = (FakeEndpoint::new(|_, _| OK), FakeEndpoint::new(|_, _| OK));
    let silent = FakeEndpoint::new(|_, _| Reply::NoResponse);
    Sidecar::new(&format!(
        "[limits]\nmemory = '{MEMORY_MB}MB'\nsockets = {DESCRIPTORS}\n{limits}\
         [destination.flooded]\nid = {FLOODED}\nendpoints = ['{}']\n\
         [destination.other]\nid = {OTHER}\nendpoints = ['{}']\n\
         [destination.silent]\nid = {SILENT}\nendpoints = ['{}']\n",
        flooded.address, other.address, silent.address
    ))
}

/// Guards against a client whose requests delay those of others, or make the memory grow.
#[test]
fn a_flooding_client_delays_no_other_client_of_the_platform_sender() {
    let endpoint = FakeEndpoint::new(|_, _| OK);
    let silent = FakeEndpoint::new(|_, _| Reply::NoResponse);
    let discovery = FakeDiscovery::new(vec![list_json(&[
        ("s-1", endpoint.address, "one", FLOODED, "up"),
        ("s-2", endpoint.address, "one", OTHER, "up"),
        ("s-3", silent.address, "one", SILENT, "up"),
    ])]);
    let node = Node::with_config(&discovery, DESCRIPTORS, |text| {
        text.replace("\"memory_mb\":192", &format!("\"memory_mb\":{MEMORY_MB}"))
            .replace("\"disk_mb\":3", "\"disk_mb\":30")
            .replace("\"maxOpen\":50", "\"maxOpen\":400")
    })
    .ready();
    check_floods(node.address, node.process.id(), "posting");
    check_floods_when_full(node.address, node.process.id(), "posting");
}

/// Guards against a client whose requests delay those of others, or make the memory grow.
#[test]
fn a_flooding_client_delays_no_other_client_of_the_sidecar() {
    let sidecar = start_sidecar("");
    let lookups = FloodingClient::start(sidecar.outcomes, |number| {
        format!("GET /v1/messages/m{number} HTTP/1.1\r\nHost: a\r\n\r\n").into_bytes()
    });
    check_other_client("lookups", sidecar.http, "notice", lookups, FLOOD_TIME);
    check_floods(sidecar.http, sidecar.process.id(), "notice");
    check_floods_when_full(sidecar.http, sidecar.process.id(), "notice");
}

/// Guards against outcomes without a reader that take several times the memory that the limits assume.
#[test]
fn unread_outcomes_leave_the_sidecar_within_its_memory_limit() {
    let sidecar = start_sidecar("disk = '60MB'\n[outcomes]\nsize = '16MB'\n");
    let flood = FloodingClient::start(sidecar.http, |number| {
        message_request("notice", &format!("m{number}"), FLOODED, 20_000, b"x")
    });
    check_other_client("outcomes", sidecar.http, "notice", flood, UNREAD_TIME);
    check_memory(sidecar.process.id());
}
