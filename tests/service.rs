//! What holds in service: reloads, clients that misbehave, and limits that bind.

mod node;

use milletturn_cluster_harness::{ConnectionFault, scripted_link};
use node::*;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

fn agent_with_one(endpoint: &FakeEndpoint) -> FakeDiscovery {
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
    // guards against a SIGHUP that kills, and against notifications that go on to an address that is gone
    let (first, second) = (FakeEndpoint::new(|_, _| OK), FakeEndpoint::new(|_, _| OK));
    let dead = FakeEndpoint::new(|_, _| Reply::Close);
    let lines = |live: &FakeEndpoint, uid: &str| {
        vec![list_json(&[
            (uid, live.address, "one", 7, "up"),
            ("s-0", dead.address, "one", 8, "up"),
        ])]
    };
    let (old, new) = (
        FakeDiscovery::new(lines(&first, "s-1")),
        FakeDiscovery::new(lines(&second, "s-2")),
    );
    old.remaining_faults.store(usize::MAX, Ordering::SeqCst);
    let node = Node::new(&old).ready();
    assert_eq!(node.submit("order", "owed", 8, 5_000, b"x"), 202);
    wait_until("its notification is pending", || {
        node.logged("notices answered 500")
    });
    // a file that can't be read changes nothing
    let sound =
        std::fs::read_to_string(node.folder.join("config.json")).expect("the configuration");
    node.reload(|_| "{".to_string());
    wait_until("the bad file is reported", || {
        node.logged("nothing changed")
    });
    assert_eq!(node.submit("webhook", "m1", 7, 20_000, b"x"), 202);
    wait_until("delivered as before", || first.attempt_count("m1") == 1);
    node.reload(|_| sound.replace(&old.address.to_string(), &new.address.to_string()));
    wait_until("the pending notification comes to the new address", || {
        new.notifications().iter().any(|line| line.contains("owed"))
    });
    wait_until("the new list holds", || {
        let id = format!("n{}", first.request_count());
        assert_eq!(node.submit("webhook", &id, 7, 20_000, b"x"), 202);
        wait_until("delivered", || {
            first.attempt_count(&id) + second.attempt_count(&id) > 0
        });
        second.request_count() > 0
    });
    assert!(old.notifications().is_empty());
}

#[test]
fn clients_that_send_nothing_or_never_finish_are_closed_in_time() {
    let endpoint = FakeEndpoint::new(|_, _| OK);
    let node = Node::new(&agent_with_one(&endpoint)).ready();
    let text = message_request("webhook", "m1", 7, 20_000, b"12345");
    // nothing at all, half a head, half a body
    for part in [0, 30, text.len() - 2] {
        let began = Instant::now();
        let mut client = Client::new(node.address);
        client.write(&text[..part]);
        wait_until("it is closed", || client.is_closed());
        assert!(
            began.elapsed() < Duration::from_secs(3),
            "{part} bytes: {:?}",
            began.elapsed()
        );
    }
    assert_eq!(endpoint.request_count(), 0);
}

#[test]
fn when_connection_slots_run_out_the_oldest_silent_connection_is_closed() {
    // guards against new clients that wait unaccepted behind silent ones
    let endpoint = FakeEndpoint::new(|_, _| OK);
    let node = Node::with_descriptor_limit(&agent_with_one(&endpoint), 64).ready();
    let text = message_request("webhook", "half", 7, 20_000, b"12345");
    let mut silent: Vec<Client> = (0..40).map(|_| Client::new(node.address)).collect();
    // half a request counts as silence
    silent
        .iter_mut()
        .skip(20)
        .for_each(|client| client.write(&text[..text.len() - 2]));
    let began = Instant::now();
    assert_eq!(node.submit("webhook", "m1", 7, 20_000, b"x"), 202);
    // far sooner than the silent ones' time is up
    assert!(
        began.elapsed() < Duration::from_millis(1500),
        "{:?}",
        began.elapsed()
    );
    wait_until("the oldest is closed", || silent[0].is_closed());
}

#[test]
fn a_body_of_ambiguous_length_smuggles_no_second_request() {
    // hyper shows only one of the two headers; the hidden request must not be read, in either order
    let endpoint = FakeEndpoint::new(|_, _| OK);
    let node = Node::new(&agent_with_one(&endpoint)).ready();
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
        let answer = client.send(text.as_bytes());
        assert_eq!(answer.map(|(status, _)| status), Some(400), "{text}");
        wait_until("it is closed", || client.is_closed());
    }
    // chunks alone are plain HTTP
    let text = with(chunked.to_string()).replace(&body, "1\r\nx\r\n0\r\n\r\n");
    assert_eq!(node.raw(text.as_bytes()).0, 202);
    wait_until("the plain one is delivered", || {
        endpoint.attempt_count("m1") == 1
    });
    assert_eq!(endpoint.request_count(), 1);
}

#[test]
fn a_large_upload_is_answered_before_it_has_ended() {
    // guards against a reset that takes the answer with it
    let endpoint = FakeEndpoint::new(|_, _| OK);
    let node = Node::new(&agent_with_one(&endpoint)).ready();
    let text = String::from_utf8(message_request("webhook", "m1", 7, 20_000, b"")).expect("text");
    let mut bytes = text
        .replace("Content-Length: 0", "Content-Length: 60000000")
        .into_bytes();
    bytes.resize(bytes.len() + 200_000, b'x');
    let mut client = Client::new(node.address);
    assert_eq!(client.send(&bytes).map(|(status, _)| status), Some(413));
    wait_until("it is closed", || client.is_closed());
}

/// How often a message that is not idempotent is sent whose first response is this, and the notifications about it.
fn attempts_and_notifications_after(first: &'static str) -> (usize, Vec<String>) {
    let endpoint =
        FakeEndpoint::new(move |_, number| if number == 0 { Reply::Raw(first) } else { OK });
    let agent = agent_with_one(&endpoint);
    let node = Node::new(&agent).ready();
    assert_eq!(node.submit("order", "m1", 7, 3_000, b"x"), 202);
    wait_until("it is out", || endpoint.attempt_count("m1") == 1);
    wait_until("it is over", || {
        // with no time left it would not be sent anew
        !agent.notifications().is_empty() || node.submit("order", "m1", 7, 0, b"x") == 200
    });
    // what came behind an answer must not become the next call's
    assert_eq!(node.submit("webhook", "m2", 7, 20_000, b"x"), 202);
    wait_until("the next is delivered", || {
        node.submit("webhook", "m2", 7, 20_000, b"x") == 200
    });
    assert_eq!(endpoint.attempt_count("m2"), 1, "{first}");
    (endpoint.attempt_count("m1"), agent.notifications())
}

#[test]
fn a_status_line_with_200_delivers_whatever_follows() {
    for answer in [
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
            attempts_and_notifications_after(answer),
            (1, vec![]),
            "{answer}"
        );
    }
}

#[test]
fn after_a_malformed_response_without_200_the_call_may_have_run() {
    let failed = vec![r#"{"id":"m1","state":"failed"}"#.to_string()];
    for answer in [
        "\x01\x02 noise\r\n\r\n",
        "HTTP/1.1 2000 OK\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200",
        "HTTP/1.1 429 Later\r\nContent-Length: 9\r\n\r\nshort",
        "HTTP/1.1 503 Full\r\nX-Half: a head without e",
        "HTTP/1.1 410 Gone\r\nContent-Length: 3000000000\r\n\r\nxxxx",
    ] {
        assert_eq!(
            attempts_and_notifications_after(answer),
            (1, failed.clone()),
            "{answer}"
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
    let agent = agent_with_one(&endpoint);
    let node = Node::new(&agent).ready();
    assert_eq!(node.submit("webhook", "m1", 7, 20_000, b"x"), 202);
    wait_until("delivered", || {
        node.submit("webhook", "m1", 7, 20_000, b"x") == 200
    });
    std::thread::sleep(Duration::from_millis(100)); // until the late bytes are there
    assert_eq!(node.submit("order", "m2", 7, 20_000, b"x"), 202);
    wait_until("delivered", || {
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
    let agent = agent_with_one(&endpoint);
    let node = Node::new(&agent).ready();
    assert_eq!(node.submit("webhook", "m1", 7, 20_000, b"x"), 202);
    wait_until("delivered", || endpoint.attempt_count("m1") == 1);
    let next = FakeDiscovery::new(vec![list_json(&[(
        "s-2",
        endpoint.address,
        "one",
        8,
        "up",
    )])]);
    node.reload(|text| text.replace(&agent.address.to_string(), &next.address.to_string()));
    // an unknown destination is refused, with a time to come again, until the list names it
    wait_until("it is known", || {
        node.submit("webhook", "m2", 8, 20_000, b"x") == 202
    });
    wait_until("delivered", || endpoint.attempt_count("m2") == 1);
    assert_eq!(endpoint.request(1).connection, 1);
}

#[test]
fn an_unknown_destination_is_rejected_with_a_retry_after() {
    let endpoint = FakeEndpoint::new(|_, _| OK);
    let agent = agent_with_one(&endpoint);
    let node = Node::new(&agent).ready();
    let (status, answer) = node.raw(&message_request("webhook", "m1", 4711, 20_000, b"x"));
    assert_eq!(status, 429);
    assert!(!answer.header("retry-after").is_empty());
    assert_eq!(node.submit("webhook", "m2", 7, 20_000, b"x"), 202);
    wait_until("the other is delivered", || {
        endpoint.attempt_count("m2") == 1
    });
    assert!(agent.notifications().is_empty());
}

#[test]
fn a_link_that_cuts_or_stalls_costs_an_attempt_and_no_message() {
    // the first connections break or stall in the middle of the call; the key makes another attempt harmless
    let endpoint = FakeEndpoint::new(|_, _| OK);
    let cuts = scripted_link(endpoint.address, |number| match number {
        0 => ConnectionFault::CutAfter(40),
        1 => ConnectionFault::StallAfter(40),
        2 => ConnectionFault::Delay(Duration::from_millis(20)),
        _ => ConnectionFault::None,
    });
    let agent = FakeDiscovery::new(vec![list_json(&[("s-1", cuts, "one", 7, "up")])]);
    let node = Node::new(&agent).ready();
    assert_eq!(node.submit("webhook", "m1", 7, 20_000, b"x"), 202);
    wait_until("delivered", || endpoint.attempt_count("m1") == 1);
    wait_until("its end is known", || {
        node.submit("webhook", "m1", 7, 0, b"x") == 200
    });
    assert!(agent.notifications().is_empty());
}
