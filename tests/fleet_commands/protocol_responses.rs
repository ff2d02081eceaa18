//! Responses of a coordinator and a session proxy to valid and invalid calls, compared with golden files.

use crate::PROGRAM;
use crate::golden::{assert_matches_golden, masked};
use milletturn_cluster_harness::Cluster;
use milletturn_cluster_harness::process::wait_until;
use std::io::{Read, Write};
use std::net::TcpStream;

/// Sends a call; returns a transcript of the call, with 300 bytes of its body at most, and of the response, without its
/// `date` header.
fn transcript(
    address: &str,
    method: &str,
    path: &str,
    group: &str,
    version: &str,
    body: &str,
) -> String {
    let mut stream = TcpStream::connect(address).expect("connected");
    let length = body.len();
    let call = format!(
        "{method} {path} HTTP/1.1\r\nhost: x\r\nmilletturn-group: {group}\r\nmilletturn-wire: {version}\r\n\
         content-length: {length}\r\nconnection: close\r\n\r\n{body}"
    );
    // a rejection may come before all bytes are written
    let _ = stream.write_all(call.as_bytes());
    let mut response = Vec::new();
    let _ = stream.read_to_end(&mut response);
    let response = String::from_utf8_lossy(&response).replace("\r\n", "\n");
    let response: String = response
        .split_inclusive('\n')
        .filter(|line| !line.starts_with("date: "))
        .collect();
    format!(
        "> {method} {path} {group} {version} {}\n{response}\n----\n",
        &body[..body.len().min(300)]
    )
}

/// The member's description in a call that opens a session.
const MEMBER_INFO: &str = r#"{"name":"NAME","zone":"east","version":"0.1.0","serves":"sender"}"#;

/// The body of a call that opens a session.
fn open_body(name: &str, nonce: u64) -> String {
    format!(
        r#"{{"about":{},"nonce":{nonce}}}"#,
        MEMBER_INFO.replace("NAME", name)
    )
}

/// The body of a write.
fn write_body(session: u64, term: u64, number: u64) -> String {
    format!(
        r#"{{"act":{{"session":{session},"work":"list","term":{term},"number":{number},"cursor":"row {number}"}}}}"#
    )
}

/// The body of a call that claims the resource `list`.
fn claim_body(session: u64) -> String {
    format!("{{\"claim\":{{\"session\":{session},\"work\":\"list\"}}}}")
}

/// The body of a batch with this number of commands.
fn batch_body(count: usize) -> String {
    let commands = vec!["{\"order\":{\"close\":{\"session\":99}}}"; count];
    format!("{{\"wishes\":[{}]}}", commands.join(","))
}

/// A body that is longer than the limit.
fn too_long_body() -> String {
    format!("{}{}", open_body("long", 1), " ".repeat(17_000))
}

/// Well-formed calls to a coordinator. If they are sent in this order, each one gets the same response in every run: it
/// succeeds, or it is rejected.
fn valid_calls() -> Vec<(&'static str, String)> {
    let batch = format!(
        "{{\"wishes\":[{{\"open\":{}}},{{\"order\":{}}}]}}",
        open_body("d", 4),
        write_body(1, 1, 3)
    );
    vec![
        ("/v1/open", open_body("a", 1)),
        ("/v1/open", open_body("a", 1)),
        ("/v1/open", open_body("a", 2)),
        ("/v1/open", open_body("", 1)),
        ("/v1/open", open_body("b", 2)),
        ("/v1/order", claim_body(1)),
        ("/v1/order", claim_body(2)),
        ("/v1/order", claim_body(77)),
        ("/v1/order", write_body(1, 1, 1)),
        ("/v1/order", write_body(1, 1, 9)),
        ("/v1/order", write_body(2, 1, 1)),
        ("/v1/order", write_body(1, 1, 2)),
        ("/v1/write-all", batch),
        ("/v1/renew", r#"{"session":1,"run_out":false}"#.to_string()),
        ("/v1/renew", r#"{"session":77,"run_out":false}"#.to_string()),
        (
            "/v1/renew-all",
            r#"{"renewals":[[1,false],[2,true],[77,false]]}"#.to_string(),
        ),
        (
            "/v1/order",
            r#"{"release":{"session":1,"work":"list","term":1}}"#.to_string(),
        ),
        ("/v1/order", claim_body(2)),
        (
            "/v1/order",
            r#"{"free":{"work":"list","term":2}}"#.to_string(),
        ),
        ("/v1/order", r#"{"close":{"session":3}}"#.to_string()),
    ]
}

/// Invalid calls to a coordinator, and calls that clients may not make.
fn rejected_calls() -> Vec<(&'static str, String)> {
    let renewals = format!("{{\"renewals\":[{}]}}", vec!["[99,false]"; 513].join(","));
    vec![
        (
            "/v1/order",
            r#"{"expire":{"session":1,"reign":1}}"#.to_string(),
        ),
        ("/v1/order", r#"{"all":{"entries":[]}}"#.to_string()),
        (
            "/v1/write-all",
            r#"{"wishes":[{"order":{"expire":{"session":1,"reign":1}}}]}"#.to_string(),
        ),
        ("/v1/write-all", batch_body(0)),
        ("/v1/write-all", batch_body(513)),
        ("/v1/write-all", r#"{"wishes":[{"lend":1}]}"#.to_string()),
        ("/v1/renew-all", renewals),
        ("/v1/open", too_long_body()),
        ("/v1/open", "{\"about\":".to_string()),
        ("/v1/relay", "{}".to_string()),
        ("/v1/status", "{}".to_string()),
    ]
}

/// Valid and invalid calls to a session proxy.
fn session_proxy_calls() -> Vec<(&'static str, String)> {
    vec![
        ("/v1/open", open_body("p", 1)),
        ("/v1/open", open_body("p", 2)),
        ("/v1/order", claim_body(4)),
        ("/v1/renew", r#"{"session":4,"run_out":false}"#.to_string()),
        ("/v1/renew", r#"{"session":77,"run_out":true}"#.to_string()),
        ("/v1/order", r#"{"close":{"session":4}}"#.to_string()),
        (
            "/v1/order",
            r#"{"expire":{"session":1,"reign":1}}"#.to_string(),
        ),
        ("/v1/renew-all", r#"{"renewals":[]}"#.to_string()),
        ("/v1/write-all", batch_body(1)),
        ("/v1/relay", "{}".to_string()),
        ("/v1/open", too_long_body()),
        ("/v1/open", "{\"about\":".to_string()),
    ]
}

#[test]
fn responses_of_a_coordinator_and_a_session_proxy_match_the_golden_files() {
    let mut group = Cluster::start_with_lease(PROGRAM, 1, "60s");
    group.wait_for_leader(&[0]);
    let coordinator = group.addresses()[0].clone();
    let proxy = group.start_session_proxy("r1");
    let mut text = String::new();
    let address = coordinator.as_str();
    for (path, body) in valid_calls().into_iter().chain(rejected_calls()) {
        text += &transcript(address, "POST", path, "trial", "1", &body);
    }
    for path in ["/v1/book", "/v1/backup", "/v1/open", "/v1/other"] {
        text += &transcript(address, "GET", path, "trial", "1", "");
    }
    text += &masked(
        &transcript(address, "GET", "/v1/status", "trial", "1", ""),
        &["\"reign\":", "\"applied\":", "heard\":", "length: "],
    );
    text += &transcript(address, "POST", "/v1/renew", "south", "1", "{}");
    text += &transcript(address, "POST", "/v1/renew", "trial", "2", "{}");
    text += &transcript(address, "POST", "/consensus/vote", "trial", "1", "{}");
    assert_matches_golden("coordinator.txt", &text);

    let mut text = String::new();
    let proxy = proxy.address().to_string();
    text += &transcript(&proxy, "GET", "/v1/relay", "trial", "1", "");
    for (path, body) in session_proxy_calls() {
        text += &transcript(&proxy, "POST", path, "trial", "1", &body);
    }
    text += &transcript(&proxy, "GET", "/v1/open", "trial", "1", "");
    text += &transcript(&proxy, "GET", "/v1/book", "trial", "1", "");
    text += &transcript(&proxy, "POST", "/v1/renew", "south", "1", "{}");
    text += &transcript(&proxy, "POST", "/v1/renew", "trial", "2", "{}");
    assert_matches_golden("session_proxy.txt", &text);
}

#[test]
fn responses_of_a_follower_and_of_a_group_without_majority_match_the_golden_file() {
    let mut group = Cluster::start_with_lease(PROGRAM, 3, "60s");
    let leader = group.wait_for_leader(&group.replicas());
    let addresses = group.addresses();
    let close = r#"{"close":{"session":99}}"#;
    let follower = &addresses[(leader + 1) % 3];
    let mut text = transcript(follower, "POST", "/v1/order", "trial", "1", close);
    text += &transcript(follower, "GET", "/v1/book", "trial", "1", "");
    text = masked(&text, &["milletturn-steward: ", "\"leader\":"]);
    for replica in group
        .replicas()
        .into_iter()
        .filter(|replica| *replica != leader)
    {
        group.kill_replica(replica);
    }
    for (method, path, body) in [("POST", "/v1/order", close), ("GET", "/v1/book", "")] {
        let mut response = String::new();
        wait_until("the former leader has no majority", || {
            response = transcript(&addresses[leader], method, path, "trial", "1", body);
            response.contains("HTTP/1.1 503")
        });
        text += &masked(&response, &["milletturn-steward: "]);
    }
    let proxy = group.start_session_proxy("r1");
    let renewal = r#"{"session":99,"run_out":false}"#;
    for (path, body) in [("/v1/order", close), ("/v1/renew", renewal)] {
        text += &transcript(
            &proxy.address().to_string(),
            "POST",
            path,
            "trial",
            "1",
            body,
        );
    }
    assert_matches_golden("nobody_leads.txt", &text);
}
