//! Tests of a running sender: configuration reloads, misbehaving clients and endpoints, and limits that are reached.

mod node;

use milletturn_cluster_harness::{ConnectionFault, scripted_link};
use node::*;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

fn discovery_with(endpoint: &FakeEndpoint) -> FakeDiscovery {
    FakeDiscovery::new(vec![list_json(&[(
        "s-1",
        endpoint.address,
        "one",
        7,
        "up",
    )])])
}

#[test]
fn a_reload_moves_the_watch_and_pending_notifications_to_the_new_address() {
    // guards against a SIGHUP that ends the process, and against notifications that still go to the old address
    let (first, second) = (FakeEndpoint::new(|_, _| OK), FakeEndpoint::new(|_, _| OK));
    let dead = FakeEndpoint::new(|_, _| Reply::Close);
    let watch_events = |live: &FakeEndpoint, uid: &str| {
        vec![list_json(&[
            (uid, live.address, "one", 7, "up"),
            ("s-0", dead.address, "one", 8, "up"),
        ])]
    };
    let (old, new) = (
        FakeDiscovery::new(watch_events(&first, "s-1")),
        FakeDiscovery::new(watch_events(&second, "s-2")),
    );
    old.remaining_faults.store(usize::MAX, Ordering::SeqCst);
    let node = Node::new(&old).ready();
    assert_eq!(node.submit("order", "owed", 8, 5_000, b"x"), 202);
    wait_until("the message's notification is pending", || {
        node.logged("notices answered 500")
    });
    // a configuration file that can't be parsed changes nothing
    let valid =
        std::fs::read_to_string(node.folder.join("config.json")).expect("the configuration");
    node.reload(|_| "{".to_string());
    wait_until("the invalid file is reported", || {
        node.logged("nothing changed")
    });
    assert_eq!(node.submit("webhook", "m1", 7, 20_000, b"x"), 202);
    wait_until("delivered as before", || first.attempt_count("m1") == 1);
    node.reload(|_| valid.replace(&old.address.to_string(), &new.address.to_string()));
    wait_until("the pending notification comes to the new address", || {
        new.notifications()
            .iter()
            .any(|notification| notification.contains("owed"))
    });
    wait_until("the new endpoint list is used", || {
        let id = format!("n{}", first.request_count());
        assert_eq!(node.submit("webhook", &id, 7, 20_000, b"x"), 202);
        wait_until("the message is delivered", || {
            first.attempt_count(&id) + second.attempt_count(&id) > 0
        });
        second.request_count() > 0
    });
    assert!(old.notifications().is_empty());
}

#[test]
fn connections_without_a_complete_request_are_closed_in_time() {
    let endpoint = FakeEndpoint::new(|_, _| OK);
    let node = Node::new(&discovery_with(&endpoint)).ready();
    let text = message_request("webhook", "m1", 7, 20_000, b"12345");
    // the client sends nothing, part of the head, or the head and part of the body
    for part in [0, 30, text.len() - 2] {
        let began = Instant::now();
        let mut client = Client::new(node.address);
        client.write(&text[..part]);
        wait_until("the connection is closed", || client.is_closed());
        assert!(
            began.elapsed() < Duration::from_secs(3),
            "{part} bytes: {:?}",
            began.elapsed()
        );
    }
    assert_eq!(endpoint.request_count(), 0);
}

#[test]
fn when_connection_slots_run_out_the_oldest_idle_connection_is_closed() {
    // guards against rejecting new clients because idle connections occupy all slots
    let endpoint = FakeEndpoint::new(|_, _| OK);
    let node = Node::with_descriptor_limit(&discovery_with(&endpoint), 64).ready();
    let text = message_request("webhook", "half", 7, 20_000, b"12345");
    let mut idle: Vec<Client> = (0..40).map(|_| Client::new(node.address)).collect();
    // a connection with an incomplete request counts as idle
    idle.iter_mut()
        .skip(20)
        .for_each(|client| client.write(&text[..text.len() - 2]));
    let began = Instant::now();
    assert_eq!(node.submit("webhook", "m1", 7, 20_000, b"x"), 202);
    // long before the idle connections time out
    assert!(
        began.elapsed() < Duration::from_millis(1500),
        "{:?}",
        began.elapsed()
    );
    wait_until("the oldest connection is closed", || idle[0].is_closed());
}

#[test]
fn a_body_of_ambiguous_length_smuggles_no_second_request() {
    // If a request has both `Content-Length` and `Transfer-Encoding`, hyper reports only one of them. In either order
    // of the two headers, the request hidden in the body must not be read.
    let endpoint = FakeEndpoint::new(|_, _| OK);
    let node = Node::new(&discovery_with(&endpoint)).ready();
    let hidden =
        String::from_utf8(message_request("webhook", "hidden", 7, 20_000, b"x")).expect("text");
    let plain = String::from_utf8(message_request("webhook", "m1", 7, 20_000, b"")).expect("text");
    let body = format!("0\r\n\r\n{hidden}");
    let length = format!("Content-Length: {}\r\n", body.len());
    let chunked = "Transfer-Encoding: chunked\r\n";
    let with = |headers: String| plain.replace("Content-Length: 0\r\n", &headers) + &body;
    for text in [
        with(format!("{length}{chunked}")),
        with(format!("{chunked}{length}")),
        with(format!(
            "transfer-encoding: Chunked\r\ncontent-LENGTH: {}\r\n",
            body.len()
        )),
        with("Transfer-Encoding: gzip, chunked\r\n".to_string()),
        with("Content-Length: 5\r\nContent-Length: 6\r\n".to_string()),
        with("Content-Length: -5\r\n".to_string()),
        with("Content-Length: 99999999999999999999999\r\n".to_string()),
    ] {
        let mut client = Client::new(node.address);
        let response = client.send(text.as_bytes());
        assert_eq!(response.map(|(status, _)| status), Some(400), "{text}");
        wait_until("the connection is closed", || client.is_closed());
    }
    // a chunked body without a content length is valid HTTP
    let text = with(chunked.to_string()).replace(&body, "1\r\nx\r\n0\r\n\r\n");
    assert_eq!(node.raw(text.as_bytes()).0, 202);
    wait_until("the valid request is delivered", || {
        endpoint.attempt_count("m1") == 1
    });
    assert_eq!(endpoint.request_count(), 1);
}

#[test]
fn a_too_large_upload_is_rejected_before_it_has_ended() {
    // guards against a connection reset that discards the response
    let endpoint = FakeEndpoint::new(|_, _| OK);
    let node = Node::new(&discovery_with(&endpoint)).ready();
    let text = String::from_utf8(message_request("webhook", "m1", 7, 20_000, b"")).expect("text");
    let mut bytes = text
        .replace("Content-Length: 0", "Content-Length: 60000000")
        .into_bytes();
    bytes.resize(bytes.len() + 200_000, b'x');
    let mut client = Client::new(node.address);
    assert_eq!(client.send(&bytes).map(|(status, _)| status), Some(413));
    wait_until("the connection is closed", || client.is_closed());
}

/// The number of attempts and the notifications for an at-most-once message whose first attempt gets this response.
fn attempts_and_notifications_after(first: &'static str) -> (usize, Vec<String>) {
    let endpoint =
        FakeEndpoint::new(move |_, number| if number == 0 { Reply::Raw(first) } else { OK });
    let discovery = discovery_with(&endpoint);
    let node = Node::new(&discovery).ready();
    assert_eq!(node.submit("order", "m1", 7, 3_000, b"x"), 202);
    wait_until("the message is sent", || endpoint.attempt_count("m1") == 1);
    wait_until("the message has ended", || {
        // with a timeout of 0 a resubmission is never sent
        !discovery.notifications().is_empty() || node.submit("order", "m1", 7, 0, b"x") == 200
    });
    // bytes after the first response must not be read as the next call's response
    assert_eq!(node.submit("webhook", "m2", 7, 20_000, b"x"), 202);
    wait_until("the next message is delivered", || {
        node.submit("webhook", "m2", 7, 20_000, b"x") == 200
    });
    assert_eq!(endpoint.attempt_count("m2"), 1, "{first}");
    (endpoint.attempt_count("m1"), discovery.notifications())
}

#[test]
fn a_200_status_line_counts_as_delivered_even_if_the_rest_is_malformed() {
    for response in [
        "HTTP/1.1 200 OK\r\nX-Half: a head without e",
        "HTTP/1.1 200 OK\r\nno header\x01\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: many\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nxxxx",
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Server-Load: x0=9e99,x1=-4\r\nRetry-After: -1\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nHTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n\x01\x02 noise",
        "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
    ] {
        assert_eq!(
            attempts_and_notifications_after(response),
            (1, vec![]),
            "{response}"
        );
    }
}

#[test]
fn a_malformed_response_without_200_fails_an_at_most_once_message() {
    let failed = vec![r#"{"id":"m1","state":"failed"}"#.to_string()];
    for response in [
        "\x01\x02 noise\r\n\r\n",
        "HTTP/1.1 2000 OK\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200",
        "HTTP/1.1 429 Later\r\nContent-Length: 9\r\n\r\nshort",
        "HTTP/1.1 503 Full\r\nX-Half: a head without e",
        "HTTP/1.1 410 Gone\r\nContent-Length: 3000000000\r\n\r\nxxxx",
    ] {
        assert_eq!(
            attempts_and_notifications_after(response),
            (1, failed.clone()),
            "{response}"
        );
    }
}

#[test]
fn a_connection_with_bytes_after_the_response_is_not_reused() {
    const LATE: &str = "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n";
    let endpoint = FakeEndpoint::new(|_, number| match number {
        0 => Reply::RawInTwoParts("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", LATE),
        _ => OK,
    });
    let discovery = discovery_with(&endpoint);
    let node = Node::new(&discovery).ready();
    assert_eq!(node.submit("webhook", "m1", 7, 20_000, b"x"), 202);
    wait_until("the message is delivered", || {
        node.submit("webhook", "m1", 7, 20_000, b"x") == 200
    });
    std::thread::sleep(Duration::from_millis(100)); // until the late bytes have arrived
    assert_eq!(node.submit("order", "m2", 7, 20_000, b"x"), 202);
    wait_until("the message is delivered", || {
        node.submit("order", "m2", 7, 20_000, b"x") == 200
    });
    assert_eq!(
        (
            endpoint.attempt_count("m2"),
            endpoint.connection_count.load(Ordering::SeqCst)
        ),
        (1, 2)
    );
}

#[test]
fn a_new_endpoint_at_an_old_address_gets_a_connection_of_its_own() {
    let endpoint = FakeEndpoint::new(|_, _| OK);
    let discovery = discovery_with(&endpoint);
    let node = Node::new(&discovery).ready();
    assert_eq!(node.submit("webhook", "m1", 7, 20_000, b"x"), 202);
    wait_until("the message is delivered", || {
        endpoint.attempt_count("m1") == 1
    });
    let next = FakeDiscovery::new(vec![list_json(&[(
        "s-2",
        endpoint.address,
        "one",
        8,
        "up",
    )])]);
    node.reload(|text| text.replace(&discovery.address.to_string(), &next.address.to_string()));
    // an unknown destination is rejected with a Retry-After until the endpoint list contains it
    wait_until("the destination is known", || {
        node.submit("webhook", "m2", 8, 20_000, b"x") == 202
    });
    wait_until("the message is delivered", || {
        endpoint.attempt_count("m2") == 1
    });
    assert_eq!(endpoint.request(1).connection, 1);
}

#[test]
fn an_unknown_destination_is_rejected_with_a_retry_after() {
    let endpoint = FakeEndpoint::new(|_, _| OK);
    let discovery = discovery_with(&endpoint);
    let node = Node::new(&discovery).ready();
    let (status, response) = node.raw(&message_request("webhook", "m1", 4711, 20_000, b"x"));
    assert_eq!(status, 429);
    assert!(!response.header("retry-after").is_empty());
    assert_eq!(node.submit("webhook", "m2", 7, 20_000, b"x"), 202);
    wait_until("the message to a known destination is delivered", || {
        endpoint.attempt_count("m2") == 1
    });
    assert!(discovery.notifications().is_empty());
}

#[test]
fn a_link_that_cuts_or_stalls_costs_an_attempt_and_no_message() {
    // the first connections break or stall during the call; the idempotency key makes another attempt safe
    let endpoint = FakeEndpoint::new(|_, _| OK);
    let faulty_address = scripted_link(endpoint.address, |number| match number {
        0 => ConnectionFault::CutAfter(40),
        1 => ConnectionFault::StallAfter(40),
        2 => ConnectionFault::Delay(Duration::from_millis(20)),
        _ => ConnectionFault::None,
    });
    let discovery = FakeDiscovery::new(vec![list_json(&[("s-1", faulty_address, "one", 7, "up")])]);
    let node = Node::new(&discovery).ready();
    assert_eq!(node.submit("webhook", "m1", 7, 20_000, b"x"), 202);
    wait_until("the message is delivered", || {
        endpoint.attempt_count("m1") == 1
    });
    wait_until("the message has ended", || {
        node.submit("webhook", "m1", 7, 0, b"x") == 200
    });
    assert!(discovery.notifications().is_empty());
}
