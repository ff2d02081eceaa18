//! Tests of the sender process over loopback sockets: its clients, its endpoints, its discovery service and restarts.

mod node;

use node::*;
use std::io::Write;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

fn discovery_with(endpoint: &FakeEndpoint) -> FakeDiscovery {
    FakeDiscovery::new(vec![endpoint_list(endpoint)])
}

/// A list with a serving endpoint for destination 7, and a draining one for each of the destinations 8, 9 and 99.
fn endpoint_list(endpoint: &FakeEndpoint) -> String {
    let draining = |uid, destination| (uid, endpoint.address, "one", destination, "draining");
    list_json(&[
        ("s-1", endpoint.address, "one", 7, "up"),
        draining("d-8", 8),
        draining("d-9", 9),
        draining("d-99", 99),
    ])
}

#[test]
fn a_message_is_forwarded_unchanged_and_not_sent_again_after_delivery() {
    let endpoint = FakeEndpoint::new(|_, _| OK);
    let node = Node::new(&discovery_with(&endpoint)).ready();
    let body = b"any \0 bytes\r\n\xff";
    assert_eq!(node.submit("webhook", "m1", 7, 20_000, body), 202);
    wait_until("the message is delivered", || endpoint.request_count() == 1);
    let call = endpoint.request(0);
    assert_eq!(call.start_line, "POST /inbox HTTP/1.1");
    assert_eq!(
        (call.header("x-request-id"), call.header("idempotency-key")),
        ("m1", "key-m1")
    );
    assert!(call.header("x-timeout").ends_with('m'));
    assert_eq!(call.body, body);
    // a delivered message that is submitted again gets 200 and is not sent again, not even after a restart
    wait_until("the message has ended", || {
        node.submit("webhook", "m1", 7, 20_000, body) == 200
    });
    let node = node.restart().ready();
    assert!(node.logged("0 messages owed"));
    assert_eq!(endpoint.attempt_count("m1"), 1);
}

#[test]
fn connections_are_reused_and_closed_before_the_endpoint_closes_them() {
    // guards against a handshake for each call, and against writing to a connection that is about to close
    let endpoint = FakeEndpoint::new(|request, _| respond_with_request_id(request));
    let node = Node::with_limits(discovery_with(&endpoint).address, 3.0, 1.0).ready();
    submit_three(&node, &endpoint);
    assert_eq!(endpoint.connection_count.load(Ordering::SeqCst), 1);
    std::thread::sleep(Duration::from_millis(1000)); // the configured idle time of 1 s
    assert_eq!(node.submit("webhook", "late", 7, 20_000, b"x"), 202);
    wait_until("the message is delivered", || endpoint.request_count() == 4);
    assert_eq!(endpoint.request(3).connection, 1);
}

#[test]
fn a_connection_carries_two_calls_when_responses_do_not_name_their_request() {
    let endpoint = FakeEndpoint::new(|_, _| OK);
    let node = Node::with_limits(discovery_with(&endpoint).address, 3.0, 1.0).ready();
    submit_three(&node, &endpoint);
    assert_eq!(endpoint.connection_count.load(Ordering::SeqCst), 2);
    let requests_close: Vec<bool> = (0..3)
        .map(|number| endpoint.request(number).header("connection") == "close")
        .collect();
    assert_eq!(requests_close, [false, true, false]);
}

/// A 200 response that repeats the request's id.
fn respond_with_request_id(request: &Request) -> Reply {
    let head = format!("200 OK\r\nX-Request-ID: {}", request.header("x-request-id"));
    Reply::Respond(head.leak(), String::new())
}

/// Submits three messages, each once the one before is delivered.
fn submit_three(node: &Node, endpoint: &FakeEndpoint) {
    for n in 0..3 {
        assert_eq!(
            node.submit("webhook", &format!("m{n}"), 7, 20_000, b"x"),
            202
        );
        wait_until("the message has ended", || {
            node.submit("webhook", &format!("m{n}"), 7, 0, b"x") == 200
        });
        assert_eq!(endpoint.request_count(), n + 1);
        std::thread::sleep(Duration::from_millis(20)); // the pause after a response before the connection is used again
    }
}

#[test]
fn invalid_requests_are_rejected_and_do_not_affect_valid_ones() {
    let endpoint = FakeEndpoint::new(|_, _| OK);
    let node = Node::new(&discovery_with(&endpoint)).ready();
    let valid = String::from_utf8(message_request("webhook", "m1", 7, 9000, b"x")).expect("text");
    let without_header = |name: &str| {
        let lines = valid
            .split_inclusive("\r\n")
            .filter(|line| !line.starts_with(name));
        lines.collect::<String>()
    };
    let with_extra_header =
        |header: &str| valid.replace("Host: app.svc", &format!("Host: app.svc\r\n{header}"));
    let cases = [
        (without_header("X-Request-ID"), 400),
        (without_header("X-Priority-Class"), 400),
        (without_header("X-Timeout"), 400),
        (without_header("Idempotency-Key"), 400),
        (without_header("Envelope"), 400),
        (with_extra_header("X-Request-ID: m2"), 400),
        (with_extra_header("X-Timeout: 5m"), 400),
        (with_extra_header("Envelope: dest=7"), 400),
        (with_extra_header("X-Priority-Class: webhook"), 400),
        (with_extra_header("Content-Length: 2"), 400),
        (valid.replace("Request-ID: m1", "Request-ID: m 1"), 400),
        (valid.replace("Request-ID: m1", "Request-ID: "), 400),
        (valid.replace("9000m", "9000"), 400),
        (valid.replace("9000m", "soonm"), 400),
        (valid.replace("9000m", "-5m"), 400),
        (valid.replace("9000m", "99999999999999999999m"), 400),
        (valid.replace("9000m", "é"), 400),
        (valid.replace("dest=7", "dest=x"), 400),
        (valid.replace("dest=7", "dest=-7"), 400),
        (valid.replace("dest=7", "dest=7;dest=8"), 400),
        (valid.replace("webhook", "gossip"), 400),
        (valid.replace("Class: webhook", "Class: order"), 400),
        (valid.replace("/webhook", "/elsewhere"), 404),
        (valid.replace("POST /webhook", "PUT /webhook"), 405),
        (valid.replace("POST /webhook", "POST /ready"), 405),
        (
            valid.replace("Content-Length: 1", "Content-Length: 65537"),
            413,
        ),
        (valid.replace("Content-Length: 1", "Content-Length: x"), 400),
        ("no request at all\r\n\r\n".to_string(), 400),
    ];
    for (text, expected) in cases {
        assert_eq!(node.raw(text.as_bytes()).0, expected, "{text}");
    }
    let chunks = format!("{:x}\r\n{}\r\n", 70_000, "y".repeat(70_000));
    let large = valid
        .replace("Content-Length: 1\r\n", "Transfer-Encoding: chunked\r\n")
        .replace("\r\n\r\nx", "\r\n\r\n");
    assert_eq!(node.raw((large + &chunks).as_bytes()).0, 413);
    assert_eq!(
        node.submit("webhook", "most", 7, 20_000, &[b'z'; 65_536]),
        202
    );
    wait_until("the message with the largest body is sent", || {
        endpoint.attempt_count("most") == 1
    });
    assert_eq!(endpoint.request_count(), 1);
}

#[test]
fn a_pending_message_submitted_again_with_the_same_id_is_sent_once() {
    let endpoint = FakeEndpoint::new(|_, _| Reply::NoResponse);
    let node = Node::new(&discovery_with(&endpoint)).ready();
    assert_eq!(node.submit("order", "m1", 7, 20_000, b"x"), 202);
    assert_eq!(node.submit("order", "m1", 7, 20_000, b"x"), 202);
    assert_eq!(node.submit("order", "m2", 7, 20_000, b"x"), 202);
    // each call has a connection of its own, and the endpoint may read either first
    wait_until("both are sent", || {
        endpoint.attempt_count("m1") >= 1 && endpoint.attempt_count("m2") >= 1
    });
    assert_eq!(
        (endpoint.attempt_count("m1"), endpoint.attempt_count("m2")),
        (1, 1)
    );
}

/// Submits one message with an idempotency key and one at-most-once message, and answers the first attempt of each with
/// `first`. Returns the number of attempts of each, and the notifications. An at-most-once message may be sent again
/// only if it never ran. A message with a key may be sent again until it is delivered.
fn attempts_and_notifications_after(first: Reply) -> (usize, usize, Vec<String>) {
    let already_failed: Arc<Mutex<Vec<String>>> = Arc::default();
    let endpoint = FakeEndpoint::new(move |request, _| {
        let id = request.header("x-request-id").to_string();
        let mut already_failed = already_failed.lock().expect("not poisoned");
        if already_failed.contains(&id) {
            return OK;
        }
        already_failed.push(id);
        first.clone()
    });
    let discovery = discovery_with(&endpoint);
    let node = Node::new(&discovery).ready();
    assert_eq!(node.submit("webhook", "keyed", 7, 8_000, b"x"), 202);
    wait_until("the keyed message is sent", || {
        endpoint.attempt_count("keyed") > 0
    });
    let is_retried_or_notified = |id: &str| {
        endpoint.attempt_count(id) > 1
            || discovery
                .notifications()
                .iter()
                .any(|notification| notification.contains(id))
    };
    let is_settled = |id: &str| {
        is_retried_or_notified(id) || node.raw(&message_request("webhook", id, 7, 1, b"x")).0 == 200
    };
    wait_until("the keyed message is retried or has ended", || {
        is_settled("keyed")
    });
    assert_eq!(node.submit("order", "unsafe", 7, 3_000, b"x"), 202);
    wait_until("the at-most-once message is sent", || {
        endpoint.attempt_count("unsafe") > 0
    });
    wait_until("the at-most-once message is retried or has ended", || {
        is_retried_or_notified("unsafe") || node.submit("order", "unsafe", 7, 1, b"x") == 200
    });
    (
        endpoint.attempt_count("keyed"),
        endpoint.attempt_count("unsafe"),
        discovery.notifications(),
    )
}

/// The notification of a message that failed.
fn failed(id: &str) -> String {
    format!(r#"{{"id":"{id}","state":"failed"}}"#)
}

#[test]
fn a_200_ends_a_message_without_a_retry() {
    assert_eq!(attempts_and_notifications_after(OK), (1, 1, vec![]));
    assert_eq!(
        attempts_and_notifications_after(Reply::RespondAndClose("200 OK")),
        (1, 1, vec![])
    );
}

#[test]
fn after_an_error_response_the_message_may_have_run() {
    assert_eq!(
        attempts_and_notifications_after(Reply::Respond("500 Oops", String::new())),
        (2, 1, vec![failed("unsafe")])
    );
    assert_eq!(
        attempts_and_notifications_after(Reply::Respond("418 Teapot", String::new())),
        (2, 1, vec![failed("unsafe")])
    );
}

#[test]
fn a_malformed_response_fails_that_call_only() {
    assert_eq!(
        attempts_and_notifications_after(Reply::RespondAndClose("nonsense\r\n\x01")),
        (2, 1, vec![failed("unsafe")])
    );
}

#[test]
fn after_a_closed_connection_the_message_may_have_run() {
    assert_eq!(
        attempts_and_notifications_after(Reply::Close),
        (2, 1, vec![failed("unsafe")])
    );
}

#[test]
fn without_a_response_the_message_may_have_run_and_fails_in_time() {
    let (_, attempts, notifications) = attempts_and_notifications_after(Reply::NoResponse);
    assert_eq!((attempts, notifications), (1, vec![failed("unsafe")]));
}

#[test]
fn a_rejected_message_never_ran() {
    for head in [
        "429 No\r\nRetry-After: 0.05",
        "503 Full",
        "503 Full\r\nSlots-Taken: 1",
        "504 Spent",
    ] {
        assert_eq!(
            attempts_and_notifications_after(Reply::Respond(head, String::new())),
            (2, 2, vec![]),
            "{head}"
        );
    }
}

#[test]
fn a_410_ends_a_message_without_a_retry_or_a_notification() {
    let endpoint = FakeEndpoint::new(|_, _| Reply::Respond("410 Gone", String::new()));
    let discovery = discovery_with(&endpoint);
    let node = Node::new(&discovery).ready();
    assert_eq!(node.submit("webhook", "m1", 7, 400, b"x"), 202);
    wait_until("the message is sent", || endpoint.request_count() == 1);
    // the notification of a message with a later deadline shows that none was sent for the first one
    assert_eq!(node.submit("webhook", "m2", 99, 900, b"x"), 202);
    wait_until("the later message's notification arrives", || {
        !discovery.notifications().is_empty()
    });
    assert_eq!(endpoint.request_count(), 1);
    assert!(
        discovery
            .notifications()
            .iter()
            .all(|notification| notification.contains("m2"))
    );
}

#[test]
fn a_message_whose_connections_were_refused_is_returned_as_never_run() {
    let unused = UnusedAddress::bind_on([127, 0, 0, 1]);
    let discovery = FakeDiscovery::new(vec![list_json(&[("s-1", unused.address, "one", 7, "up")])]);
    let node = Node::new(&discovery).ready();
    assert_eq!(node.submit("order", "m1", 7, 700, b"x"), 202);
    wait_until("the message's notification arrives", || {
        !discovery.notifications().is_empty()
    });
    // an at-most-once message may be returned only if none of its calls ran
    assert!(
        discovery.notifications()[0].contains("returned"),
        "{:?}",
        discovery.notifications()
    );
    assert!(
        discovery.notifications()[0].contains("after_ms"),
        "{:?}",
        discovery.notifications()
    );
}

#[test]
fn a_retry_after_delays_the_next_attempt() {
    let endpoint = FakeEndpoint::new(|_, number| match number {
        0 => Reply::Respond("429 Later\r\nRetry-After: 1.2", String::new()),
        _ => OK,
    });
    let node = Node::new(&discovery_with(&endpoint)).ready();
    assert_eq!(node.submit("webhook", "m1", 7, 20_000, b"x"), 202);
    wait_until("the message is sent", || endpoint.request_count() == 1);
    let retry_after_seen = Instant::now();
    assert_eq!(node.submit("webhook", "m2", 7, 20_000, b"x"), 202);
    wait_until("both are delivered", || endpoint.request_count() == 3);
    assert!(
        retry_after_seen.elapsed() > Duration::from_millis(1100),
        "{:?}",
        retry_after_seen.elapsed()
    );
}

#[test]
fn a_batch_response_decides_the_outcome_of_each_message() {
    // the first calls stay unanswered and fill the destination's concurrency window, so the rest is sent as a batch
    let blocked: Arc<Mutex<bool>> = Arc::new(Mutex::new(true));
    let is_blocked = blocked.clone();
    let endpoint = FakeEndpoint::new(move |request, _| {
        if request.start_line.starts_with("POST /inbox ") {
            if request.message_ids()[0].starts_with("first") {
                wait_until("released", || !*is_blocked.lock().expect("not poisoned"));
            }
            return OK;
        }
        let ids = request.message_ids();
        let outcomes = ["ok", "error", "later", "gone", "exhausted"];
        let outcome = |id: &String| {
            id.strip_prefix('b')
                .and_then(|n| n.parse().ok())
                .map_or("ok", |n: usize| outcomes[n])
        };
        Reply::Respond(
            "200 OK",
            ids.iter()
                .map(|id| format!("{id} {}\r\n", outcome(id)))
                .collect(),
        )
    });
    let discovery = FakeDiscovery::new(vec![list_json(&[(
        "s-1",
        endpoint.address,
        "bulk",
        7,
        "up",
    )])]);
    let node = Node::new(&discovery).ready();
    for n in 0..2 {
        let id = format!("first{n}");
        assert_eq!(node.submit("order", &id, 7, 20_000, b"x"), 202);
    }
    wait_until("the window is full", || endpoint.request_count() == 2);
    for n in 0..5 {
        assert_eq!(node.submit("order", &format!("b{n}"), 7, 4_000, b"x"), 202);
    }
    *blocked.lock().expect("not poisoned") = false;
    wait_until("a batch call is sent", || {
        (0..endpoint.request_count())
            .any(|n| endpoint.request(n).start_line.contains("/inbox/bulk"))
    });
    wait_until("the notification of the failed message arrives", || {
        discovery.notifications().contains(&failed("b1"))
    });
    wait_until("the messages that never ran are sent again", || {
        endpoint.attempt_count("b2") > 1 && endpoint.attempt_count("b4") > 1
    });
    for id in ["b0", "b1", "b3"] {
        assert_eq!(endpoint.attempt_count(id), 1, "{id}");
    }
    assert!(
        !discovery
            .notifications()
            .iter()
            .any(|notification| notification.contains("b0") || notification.contains("b3"))
    );
}

#[test]
fn a_restarted_sender_resumes_unfinished_messages_after_a_kill() {
    // Four messages are unfinished at the kill. One is accepted and not sent. Two are sent without an outcome, one of
    // them with an idempotency key and one at most once. One has ended, and its notification is not acknowledged.
    let endpoint = FakeEndpoint::new(|request, number| {
        if number < 2 || request.header("x-request-id") == "unsafe" {
            Reply::NoResponse
        } else {
            OK
        }
    });
    let discovery = discovery_with(&endpoint);
    let node = Node::new(&discovery).ready();
    assert_eq!(node.submit("webhook", "sent", 7, 20_000, b"body"), 202);
    assert_eq!(node.submit("order", "unsafe", 7, 20_000, b"x"), 202);
    wait_until("both are sent", || {
        endpoint.attempt_count("sent") == 1 && endpoint.attempt_count("unsafe") == 1
    });
    assert_eq!(
        node.submit("webhook", "unsent", 8, 20_000, b"unsent body"),
        202
    );
    discovery
        .remaining_faults
        .store(usize::MAX, Ordering::SeqCst);
    assert_eq!(node.submit("webhook", "owed", 9, 100, b"x"), 202);
    wait_until("the notification fails", || {
        node.logged("notices answered 500")
    });
    let mut node = node;
    node.kill();
    discovery.remaining_faults.store(0, Ordering::SeqCst);
    let other = FakeEndpoint::new(|_, _| OK);
    let full_list = list_json(&[
        ("s-1", endpoint.address, "one", 7, "up"),
        ("s-2", other.address, "one", 8, "up"),
    ]);
    *discovery.watch_events.lock().expect("not poisoned") = vec![full_list];
    let node = node.restart().ready();
    assert!(node.logged("4 messages owed"));
    wait_until("the unsent message is sent", || {
        other.attempt_count("unsent") == 1
    });
    assert_eq!(other.request(0).body, b"unsent body");
    assert_eq!(other.request(0).header("idempotency-key"), "key-unsent");
    wait_until("the keyed message is sent again", || {
        endpoint.attempt_count("sent") >= 2
    });
    wait_until("both notifications arrive", || {
        let notifications = discovery.notifications();
        notifications.contains(&failed("unsafe"))
            && notifications
                .iter()
                .any(|notification| notification.contains("owed"))
    });
    assert_eq!(endpoint.attempt_count("unsafe"), 1);
    assert_eq!(
        discovery.notifications().len(),
        2,
        "{:?}",
        discovery.notifications()
    );
}

#[test]
fn a_message_that_expired_while_the_sender_was_down_is_notified_at_start() {
    let endpoint = FakeEndpoint::new(|_, _| Reply::NoResponse);
    let discovery = discovery_with(&endpoint);
    let mut node = Node::new(&discovery).ready();
    assert_eq!(node.submit("webhook", "m1", 7, 600, b"x"), 202);
    node.kill();
    std::thread::sleep(Duration::from_millis(700)); // until its deadline has passed
    assert!(discovery.notifications().is_empty());
    let _node = node.restart();
    wait_until("the message's notification arrives", || {
        discovery
            .notifications()
            .iter()
            .any(|notification| notification.contains("m1"))
    });
}

#[test]
fn a_torn_record_is_dropped_and_records_after_a_damaged_one_are_read() {
    let endpoint = FakeEndpoint::new(|_, _| OK);
    let draining = ("s-7", endpoint.address, "one", 7, "draining");
    let discovery = FakeDiscovery::new(vec![list_json(&[
        ("s-9", endpoint.address, "one", 5, "up"),
        draining,
    ])]);
    let mut node = Node::new(&discovery).ready();
    for id in ["m1", "m2"] {
        assert_eq!(node.submit("webhook", id, 7, 20_000, b"x"), 202);
    }
    node.kill();
    let intact = std::fs::read(node.journal()).expect("the journal");
    std::fs::write(node.journal(), &intact[..intact.len() - 3]).expect("torn");
    let mut node = node.restart().ready();
    assert!(node.logged("1 messages owed") && !node.logged("damaged"));
    node.kill();
    let mut damaged = intact.clone();
    damaged[20] ^= 0xff;
    std::fs::write(node.journal(), &damaged).expect("damaged");
    *discovery.watch_events.lock().expect("not poisoned") =
        vec![list_json(&[("s-1", endpoint.address, "one", 7, "up")])];
    let node = node.restart().ready();
    assert!(node.logged("1 messages owed") && node.logged("damaged"));
    wait_until("the message of the intact record is delivered", || {
        endpoint.attempt_count("m2") == 1
    });
    assert_eq!(endpoint.attempt_count("m1"), 0);
}

#[test]
fn a_full_journal_rejects_messages_and_stays_within_its_limit() {
    let endpoint = FakeEndpoint::new(|_, _| OK);
    let discovery = discovery_with(&endpoint);
    let node = Node::with_limits(discovery.address, 0.3, 5.0).ready();
    let size = || {
        let files = std::fs::read_dir(node.folder.join("state")).expect("the folder");
        files
            .flatten()
            .map(|file| file.metadata().map_or(0, |m| m.len().next_multiple_of(512)))
            .sum::<u64>()
    };
    let mut statuses = Vec::new();
    for n in 0..10 {
        statuses.push(node.submit("webhook", &format!("m{n}"), 99, 20_000, &[b'x'; 30_000]));
        assert!(size() <= 300_000, "{}", size());
    }
    assert!(
        statuses.contains(&202) && statuses.last() == Some(&503),
        "{statuses:?}"
    );
    // together these messages exceed the limit, so the sender must remove ended ones by compaction or reject new ones
    for n in 0..400 {
        let status = node.submit("webhook", &format!("s{n}"), 7, 20_000, &[b'x'; 1_000]);
        assert!(status == 202 || status == 429 || status == 503);
        assert!(size() <= 300_000, "{}", size());
    }
    // the fault is logged once or a few times, not for each message
    let journal_records = node
        .log
        .lock()
        .expect("not poisoned")
        .iter()
        .filter(|record| record.contains("journal"))
        .count();
    assert!((1..=3).contains(&journal_records), "{journal_records}");
}

#[test]
fn messages_are_accepted_again_once_a_full_folder_has_space() {
    let endpoint = FakeEndpoint::new(|_, _| OK);
    let discovery = discovery_with(&endpoint);
    let node = Node::with_limits(discovery.address, 0.3, 5.0).ready();
    let mut is_full = false;
    for n in 0..10 {
        is_full |= node.submit("webhook", &format!("m{n}"), 99, 1_500, &[b'x'; 30_000]) == 503;
    }
    assert!(is_full);
    wait_until(
        "the first messages have ended, and a new one is accepted",
        || node.submit("webhook", "after", 7, 9_000, &[b'x'; 30_000]) == 202,
    );
    wait_until("the new message is delivered", || {
        endpoint.attempt_count("after") == 1
    });
}

#[test]
fn a_drain_after_sigterm_responds_to_every_client() {
    // guards against closing connections that carry a request, and against an exit while calls are in flight
    let endpoint = FakeEndpoint::new(|_, _| OK);
    let discovery = discovery_with(&endpoint);
    let mut node = Node::new(&discovery).ready();
    let mut client = Client::new(node.address);
    assert_eq!(
        client
            .send(&message_request("webhook", "m1", 7, 20_000, b"x"))
            .expect("answered")
            .0,
        202
    );
    let began = Instant::now();
    node.terminate();
    wait_until("the sender drains", || node.logged("draining"));
    let (status, response) = client
        .send(&message_request("webhook", "m2", 7, 20_000, b"x"))
        .expect("answered");
    assert_eq!((status, response.header("connection")), (202, "close"));
    assert_eq!(
        node.submit("webhook", "m3", 7, 20_000, b"x"),
        202,
        "new connections are accepted for a while"
    );
    assert_eq!(node.readiness_status(), 503);
    wait_until("all are delivered", || {
        ["m1", "m2", "m3"]
            .iter()
            .all(|id| endpoint.attempt_count(id) == 1)
    });
    let status = node.process.wait().expect("the process ends");
    assert!(
        status.success() && began.elapsed() < Duration::from_millis(3700),
        "{status} {:?}",
        began.elapsed()
    );
    let node = node.restart();
    assert!(node.logged("0 messages owed"));
}

#[test]
fn no_call_that_the_exit_would_interrupt_starts_near_the_end_of_a_drain() {
    let endpoint = FakeEndpoint::new(|_, _| OK);
    let discovery = discovery_with(&endpoint);
    let node = Node::new(&discovery).ready();
    node.terminate();
    wait_until("the sender drains", || node.logged("draining"));
    // waits until the last second of the drain: a call of unknown latency is assumed to need 1 s, so the exit would
    // interrupt it
    std::thread::sleep(Duration::from_millis(2450));
    assert_eq!(node.submit("order", "m1", 7, 20_000, b"x"), 202);
    let mut node = node;
    assert!(node.process.wait().expect("the process ends").success());
    assert_eq!(endpoint.request_count(), 0);
    let _node = node.restart();
    wait_until("the restarted process sends the message", || {
        endpoint.attempt_count("m1") == 1
    });
}

#[test]
fn a_draining_endpoint_gets_no_new_messages_and_malformed_events_are_skipped() {
    let (old, new) = (FakeEndpoint::new(|_, _| OK), FakeEndpoint::new(|_, _| OK));
    let discovery = FakeDiscovery::new(vec![
        list_json(&[("s-1", old.address, "one", 7, "up"), ("s-2", new.address, "one", 7, "up")]),
        "{not json".to_string(),
        r#"{"rev":8,"all":false,"targets":[{"uid":5},{"uid":"s-3","endpoint":"nowhere","pod_group":7,"state":"up"}]}"#
            .to_string(),
        list_json(&[("s-1", old.address, "one", 7, "draining")]).replace("\"all\":true", "\"all\":false"),
    ]);
    let node = Node::new(&discovery).ready();
    wait_until(
        "both the malformed event and the invalid entry are skipped",
        || node.logged("line skipped") && node.logged("entry skipped"),
    );
    for n in 0..6 {
        let id = format!("m{n}");
        assert_eq!(node.submit("webhook", &id, 7, 20_000, b"x"), 202);
        wait_until("the message is delivered", || {
            new.attempt_count(&id) + old.attempt_count(&id) > 0
        });
    }
    assert!(
        new.request_count() >= 5,
        "the change may come after the first message: {}",
        new.request_count()
    );
}

#[test]
fn an_unresponsive_watch_is_replaced_by_a_new_one() {
    let endpoint = FakeEndpoint::new(|_, _| OK);
    let discovery = FakeDiscovery::new(Vec::new());
    let node = Node::new(&discovery);
    wait_until("a watch is open", || {
        discovery.watch_count.load(Ordering::SeqCst) > 0
    });
    let began = Instant::now();
    assert_eq!(node.readiness_status(), 503, "no list is known");
    assert_eq!(node.submit("webhook", "early", 7, 20_000, b"x"), 503);
    *discovery.watch_events.lock().expect("not poisoned") =
        vec![list_json(&[("s-1", endpoint.address, "one", 7, "up")])];
    let node = node.ready();
    // less than the 6 s within which the sender must know of any change of the list
    assert!(
        began.elapsed() < Duration::from_secs(5),
        "{:?}",
        began.elapsed()
    );
    assert_eq!(node.submit("webhook", "m1", 7, 20_000, b"x"), 202);
    wait_until("the message is delivered", || {
        endpoint.attempt_count("m1") == 1
    });
}

#[test]
fn a_closed_log_pipe_does_not_end_the_sender() {
    // guards against logging by `eprintln!`, which panics when the pipe is closed
    let endpoint = FakeEndpoint::new(|_, _| Reply::Respond("418 Teapot", String::new()));
    let discovery = discovery_with(&endpoint);
    let mut node = Node::new(&discovery).ready();
    node.close_log();
    assert_eq!(node.submit("order", "m1", 7, 20_000, b"x"), 202);
    wait_until("the message's notification arrives", || {
        discovery.notifications().contains(&failed("m1"))
    });
    wait_until("the last record before the pipe is closed", || {
        node.logged("418")
    });
    node.terminate(); // the shutdown logs two more records
    assert!(node.process.wait().expect("the process ends").success());
}

#[test]
fn a_client_that_disconnects_mid_request_submits_nothing_and_affects_no_other() {
    let endpoint = FakeEndpoint::new(|_, _| OK);
    let node = Node::new(&discovery_with(&endpoint)).ready();
    let text = message_request("webhook", "m1", 7, 20_000, b"12345");
    let mut stream = std::net::TcpStream::connect(node.address).expect("accepts");
    stream.write_all(&text[..text.len() - 2]).expect("written");
    drop(stream);
    assert_eq!(node.submit("webhook", "m2", 7, 20_000, b"x"), 202);
    wait_until("the other client's message is delivered", || {
        endpoint.attempt_count("m2") == 1
    });
    assert_eq!(endpoint.attempt_count("m1"), 0);
}

#[test]
fn an_invalid_configuration_ends_the_process_with_a_one_line_error() {
    let folder = std::path::PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("bad-config");
    std::fs::create_dir_all(&folder).expect("the folder is created");
    for text in [
        "",
        "{",
        "{}",
        r#"{"name":"n","listen":"x","discovery":"127.0.0.1:1","seed":"1","limits":{"sockets":9,"disk_mb":3},"settings":{}}"#,
    ] {
        std::fs::write(folder.join("config.json"), text).expect("written");
        let output = command(&folder).output().expect("runs");
        assert!(!output.status.success());
        let error = String::from_utf8(output.stderr).expect("text");
        assert_eq!(error.lines().count(), 1, "{error}");
    }
}
