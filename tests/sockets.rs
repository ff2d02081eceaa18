//! The real sender over loopback sockets: what its clients, its endpoints and a restart may do to it.

mod node;

use node::*;
use std::io::Write;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

fn discovery_with(endpoint: &FakeEndpoint) -> FakeDiscovery {
    FakeDiscovery::new(vec![only(endpoint)])
}

/// One endpoint, and destinations that are known but have none that takes anything.
fn only(endpoint: &FakeEndpoint) -> String {
    let away = |uid, destination| (uid, endpoint.address, "one", destination, "draining");
    list_json(&[
        ("s-1", endpoint.address, "one", 7, "up"),
        away("d-8", 8),
        away("d-9", 9),
        away("d-99", 99),
    ])
}

#[test]
fn a_message_goes_on_unchanged_and_is_over() {
    let endpoint = FakeEndpoint::new(|_, _| OK);
    let node = Node::new(&discovery_with(&endpoint)).ready();
    let body = b"any \0 bytes\r\n\xff";
    assert_eq!(node.submit("webhook", "m1", 7, 20_000, body), 202);
    wait_until("delivered", || endpoint.request_count() == 1);
    let call = endpoint.request(0);
    assert_eq!(call.line, "POST /inbox HTTP/1.1");
    assert_eq!(
        (call.header("x-request-id"), call.header("idempotency-key")),
        ("m1", "key-m1")
    );
    assert!(call.header("x-timeout").ends_with('m'));
    assert_eq!(call.body, body);
    // delivered: answered as such if it comes again, and not sent again, not even after a restart
    wait_until("its end is known", || {
        node.submit("webhook", "m1", 7, 20_000, body) == 200
    });
    let node = node.restart().ready();
    assert!(node.logged("0 messages owed"));
    assert_eq!(endpoint.attempt_count("m1"), 1);
}

#[test]
fn connections_are_kept_and_left_before_the_endpoint_closes_them() {
    // guards against a handshake for each call, and against writing to a connection about to close
    let endpoint = FakeEndpoint::new(|request, _| repeating_id(request));
    let node = Node::with_limits(discovery_with(&endpoint).address, 3.0, 1.0).ready();
    hand_in_three(&node, &endpoint);
    assert_eq!(endpoint.connection_count.load(Ordering::SeqCst), 1);
    std::thread::sleep(Duration::from_millis(1000)); // the idle time itself
    assert_eq!(node.submit("webhook", "late", 7, 20_000, b"x"), 202);
    wait_until("delivered", || endpoint.request_count() == 4);
    assert_eq!(endpoint.request(3).connection, 1);
}

#[test]
fn a_connection_carries_two_calls_where_responses_name_no_request() {
    let endpoint = FakeEndpoint::new(|_, _| OK);
    let node = Node::with_limits(discovery_with(&endpoint).address, 3.0, 1.0).ready();
    hand_in_three(&node, &endpoint);
    assert_eq!(endpoint.connection_count.load(Ordering::SeqCst), 2);
    let asked: Vec<bool> = (0..3)
        .map(|number| endpoint.request(number).header("connection") == "close")
        .collect();
    assert_eq!(asked, [false, true, false]);
}

/// Delivered, and the response repeats the request's id.
fn repeating_id(request: &Request) -> Reply {
    let head = format!("200 OK\r\nX-Request-ID: {}", request.header("x-request-id"));
    Reply::Respond(head.leak(), String::new())
}

/// Hands in three messages, each once the one before is delivered.
fn hand_in_three(node: &Node, endpoint: &FakeEndpoint) {
    for n in 0..3 {
        assert_eq!(
            node.submit("webhook", &format!("m{n}"), 7, 20_000, b"x"),
            202
        );
        wait_until("its end is known", || {
            node.submit("webhook", &format!("m{n}"), 7, 0, b"x") == 200
        });
        assert_eq!(endpoint.request_count(), n + 1);
        std::thread::sleep(Duration::from_millis(20)); // the rest that a connection gets behind an answer
    }
}

#[test]
fn bad_input_is_answered_and_harms_nobody() {
    let endpoint = FakeEndpoint::new(|_, _| OK);
    let node = Node::new(&discovery_with(&endpoint)).ready();
    let good = String::from_utf8(message_request("webhook", "m1", 7, 9000, b"x")).expect("text");
    let without = |name: &str| {
        let lines = good
            .split_inclusive("\r\n")
            .filter(|line| !line.starts_with(name));
        lines.collect::<String>()
    };
    let doubled = |line: &str| good.replace("Host: app.svc", &format!("Host: app.svc\r\n{line}"));
    let cases = [
        (without("X-Request-ID"), 400),
        (without("X-Priority-Class"), 400),
        (without("X-Timeout"), 400),
        (without("Idempotency-Key"), 400),
        (without("Envelope"), 400),
        (doubled("X-Request-ID: m2"), 400),
        (doubled("X-Timeout: 5m"), 400),
        (doubled("Envelope: dest=7"), 400),
        (doubled("X-Priority-Class: webhook"), 400),
        (doubled("Content-Length: 2"), 400),
        (good.replace("Request-ID: m1", "Request-ID: m 1"), 400),
        (good.replace("Request-ID: m1", "Request-ID: "), 400),
        (good.replace("9000m", "9000"), 400),
        (good.replace("9000m", "soonm"), 400),
        (good.replace("9000m", "-5m"), 400),
        (good.replace("9000m", "99999999999999999999m"), 400),
        (good.replace("9000m", "é"), 400),
        (good.replace("dest=7", "dest=x"), 400),
        (good.replace("dest=7", "dest=-7"), 400),
        (good.replace("dest=7", "dest=7;dest=8"), 400),
        (good.replace("webhook", "gossip"), 400),
        (good.replace("Class: webhook", "Class: order"), 400),
        (good.replace("/webhook", "/elsewhere"), 404),
        (good.replace("POST /webhook", "PUT /webhook"), 405),
        (good.replace("POST /webhook", "POST /ready"), 405),
        (
            good.replace("Content-Length: 1", "Content-Length: 65537"),
            413,
        ),
        (good.replace("Content-Length: 1", "Content-Length: x"), 400),
        ("no request at all\r\n\r\n".to_string(), 400),
    ];
    for (text, expected) in cases {
        assert_eq!(node.raw(text.as_bytes()).0, expected, "{text}");
    }
    let chunks = format!("{:x}\r\n{}\r\n", 70_000, "y".repeat(70_000));
    let large = good
        .replace("Content-Length: 1\r\n", "Transfer-Encoding: chunked\r\n")
        .replace("\r\n\r\nx", "\r\n\r\n");
    assert_eq!(node.raw((large + &chunks).as_bytes()).0, 413);
    assert_eq!(
        node.submit("webhook", "most", 7, 20_000, &[b'z'; 65_536]),
        202
    );
    wait_until("the largest body goes out", || {
        endpoint.attempt_count("most") == 1
    });
    assert_eq!(endpoint.request_count(), 1);
}

#[test]
fn the_same_id_while_held_is_one_message() {
    let endpoint = FakeEndpoint::new(|_, _| Reply::NoResponse);
    let node = Node::new(&discovery_with(&endpoint)).ready();
    assert_eq!(node.submit("order", "m1", 7, 20_000, b"x"), 202);
    assert_eq!(node.submit("order", "m1", 7, 20_000, b"x"), 202);
    assert_eq!(node.submit("order", "m2", 7, 20_000, b"x"), 202);
    // each has a connection of its own, and the endpoint may read either first
    wait_until("both are out", || {
        endpoint.attempt_count("m1") >= 1 && endpoint.attempt_count("m2") >= 1
    });
    assert_eq!(
        (endpoint.attempt_count("m1"), endpoint.attempt_count("m2")),
        (1, 1)
    );
}

/// One keyed and one unsafe message whose first call fares as given: how often each comes in all. An unsafe
/// one is sent again only if it never ran; a keyed one in any case that leaves it undelivered.
fn fares(first: Reply) -> (usize, usize, Vec<String>) {
    let failed: Arc<Mutex<Vec<String>>> = Arc::default();
    let endpoint = FakeEndpoint::new(move |request, _| {
        let id = request.header("x-request-id").to_string();
        let mut failed = failed.lock().expect("not poisoned");
        if failed.contains(&id) {
            return OK;
        }
        failed.push(id);
        first.clone()
    });
    let agent = discovery_with(&endpoint);
    let node = Node::new(&agent).ready();
    assert_eq!(node.submit("webhook", "keyed", 7, 8_000, b"x"), 202);
    wait_until("keyed is out", || endpoint.attempt_count("keyed") > 0);
    let settled = |id: &str| {
        endpoint.attempt_count(id) > 1 || agent.notifications().iter().any(|line| line.contains(id))
    };
    let over =
        |id: &str| settled(id) || node.raw(&message_request("webhook", id, 7, 1, b"x")).0 == 200;
    wait_until("keyed is settled", || over("keyed"));
    assert_eq!(node.submit("order", "unsafe", 7, 3_000, b"x"), 202);
    wait_until("unsafe is out", || endpoint.attempt_count("unsafe") > 0);
    wait_until("unsafe is settled", || {
        settled("unsafe") || node.submit("order", "unsafe", 7, 1, b"x") == 200
    });
    (
        endpoint.attempt_count("keyed"),
        endpoint.attempt_count("unsafe"),
        agent.notifications(),
    )
}

fn failed(id: &str) -> String {
    format!(r#"{{"id":"{id}","state":"failed"}}"#)
}

#[test]
fn success_ends_a_message() {
    assert_eq!(fares(OK), (1, 1, vec![]));
    assert_eq!(fares(Reply::RespondAndClose("200 OK")), (1, 1, vec![]));
}

#[test]
fn an_error_may_have_run() {
    assert_eq!(
        fares(Reply::Respond("500 Oops", String::new())),
        (2, 1, vec![failed("unsafe")])
    );
    assert_eq!(
        fares(Reply::Respond("418 Teapot", String::new())),
        (2, 1, vec![failed("unsafe")])
    );
}

#[test]
fn a_malformed_answer_fails_that_call_only() {
    assert_eq!(
        fares(Reply::RespondAndClose("nonsense\r\n\x01")),
        (2, 1, vec![failed("unsafe")])
    );
}

#[test]
fn a_reset_may_have_run() {
    assert_eq!(fares(Reply::Close), (2, 1, vec![failed("unsafe")]));
}

#[test]
fn silence_may_have_run_and_ends_in_time() {
    let (_, times, notices) = fares(Reply::NoResponse);
    assert_eq!((times, notices), (1, vec![failed("unsafe")]));
}

#[test]
fn what_was_turned_away_never_ran() {
    for head in [
        "429 No\r\nRetry-After: 0.05",
        "503 Full",
        "503 Full\r\nSlots-Taken: 1",
        "504 Spent",
    ] {
        assert_eq!(
            fares(Reply::Respond(head, String::new())),
            (2, 2, vec![]),
            "{head}"
        );
    }
}

#[test]
fn a_message_that_is_gone_is_over_without_a_notice() {
    let endpoint = FakeEndpoint::new(|_, _| Reply::Respond("410 Gone", String::new()));
    let agent = discovery_with(&endpoint);
    let node = Node::new(&agent).ready();
    assert_eq!(node.submit("webhook", "m1", 7, 400, b"x"), 202);
    wait_until("it is out", || endpoint.request_count() == 1);
    // a later message's notice shows that none came for the first, whose time was up before
    assert_eq!(node.submit("webhook", "m2", 99, 900, b"x"), 202);
    wait_until("the later one's notice", || {
        !agent.notifications().is_empty()
    });
    assert_eq!(endpoint.request_count(), 1);
    assert!(agent.notifications().iter().all(|line| line.contains("m2")));
}

#[test]
fn a_refused_connection_never_ran() {
    let refusing = UnusedAddress::bind_on([127, 0, 0, 1]);
    let agent = FakeDiscovery::new(vec![list_json(&[(
        "s-1",
        refusing.address,
        "one",
        7,
        "up",
    )])]);
    let node = Node::new(&agent).ready();
    assert_eq!(node.submit("order", "m1", 7, 700, b"x"), 202);
    wait_until("its notice", || !agent.notifications().is_empty());
    // an unsafe message may be returned only if none of its calls ran
    assert!(
        agent.notifications()[0].contains("returned"),
        "{:?}",
        agent.notifications()
    );
    assert!(
        agent.notifications()[0].contains("after_ms"),
        "{:?}",
        agent.notifications()
    );
}

#[test]
fn a_told_wait_is_heeded() {
    let endpoint = FakeEndpoint::new(|_, number| match number {
        0 => Reply::Respond("429 Later\r\nRetry-After: 1.2", String::new()),
        _ => OK,
    });
    let node = Node::new(&discovery_with(&endpoint)).ready();
    assert_eq!(node.submit("webhook", "m1", 7, 20_000, b"x"), 202);
    wait_until("it is out", || endpoint.request_count() == 1);
    let told = Instant::now();
    assert_eq!(node.submit("webhook", "m2", 7, 20_000, b"x"), 202);
    wait_until("both are delivered", || endpoint.request_count() == 3);
    assert!(
        told.elapsed() > Duration::from_millis(1100),
        "{:?}",
        told.elapsed()
    );
}

#[test]
fn a_bulk_answer_tells_each_messages_end() {
    // the first call holds the destination's window, so that the rest gathers and travels together
    let held: Arc<Mutex<bool>> = Arc::new(Mutex::new(true));
    let gate = held.clone();
    let endpoint = FakeEndpoint::new(move |request, _| {
        if request.line.starts_with("POST /inbox ") {
            if request.message_ids()[0].starts_with("first") {
                wait_until("the gate opens", || !*gate.lock().expect("not poisoned"));
            }
            return OK;
        }
        let ids = request.message_ids();
        let ends = ["ok", "error", "later", "gone", "exhausted"];
        let word = |id: &String| {
            id.strip_prefix('b')
                .and_then(|n| n.parse().ok())
                .map_or("ok", |n: usize| ends[n])
        };
        Reply::Respond(
            "200 OK",
            ids.iter()
                .map(|id| format!("{id} {}\r\n", word(id)))
                .collect(),
        )
    });
    let agent = FakeDiscovery::new(vec![list_json(&[(
        "s-1",
        endpoint.address,
        "bulk",
        7,
        "up",
    )])]);
    let node = Node::new(&agent).ready();
    for n in 0..2 {
        assert_eq!(
            node.submit("order", &format!("first{n}"), 7, 20_000, b"x"),
            202
        );
    }
    wait_until("the window is full", || endpoint.request_count() == 2);
    for n in 0..5 {
        assert_eq!(node.submit("order", &format!("b{n}"), 7, 4_000, b"x"), 202);
    }
    *held.lock().expect("not poisoned") = false;
    wait_until("a bulk call", || {
        (0..endpoint.request_count()).any(|n| endpoint.request(n).line.contains("/inbox/bulk"))
    });
    wait_until("the error's notice", || {
        agent.notifications().contains(&failed("b1"))
    });
    wait_until("what never ran goes again", || {
        endpoint.attempt_count("b2") > 1 && endpoint.attempt_count("b4") > 1
    });
    for id in ["b0", "b1", "b3"] {
        assert_eq!(endpoint.attempt_count(id), 1, "{id}");
    }
    assert!(
        !agent
            .notifications()
            .iter()
            .any(|line| line.contains("b0") || line.contains("b3"))
    );
}

#[test]
fn a_killed_sender_resumes_what_it_owes() {
    // each step: taken on and not sent; sent with no outcome, keyed and unsafe; its notice owed
    let endpoint = FakeEndpoint::new(|request, number| {
        if number < 2 || request.header("x-request-id") == "unsafe" {
            Reply::NoResponse
        } else {
            OK
        }
    });
    let agent = discovery_with(&endpoint);
    let node = Node::new(&agent).ready();
    assert_eq!(node.submit("webhook", "sent", 7, 20_000, b"body"), 202);
    assert_eq!(node.submit("order", "unsafe", 7, 20_000, b"x"), 202);
    wait_until("both are out", || {
        endpoint.attempt_count("sent") == 1 && endpoint.attempt_count("unsafe") == 1
    });
    assert_eq!(
        node.submit("webhook", "unsent", 8, 20_000, b"unsent body"),
        202
    );
    agent.remaining_faults.store(usize::MAX, Ordering::SeqCst);
    assert_eq!(node.submit("webhook", "owed", 9, 100, b"x"), 202);
    wait_until("its notice fails", || node.logged("notices answered 500"));
    let mut node = node;
    node.kill();
    agent.remaining_faults.store(0, Ordering::SeqCst);
    let other = FakeEndpoint::new(|_, _| OK);
    let lines = list_json(&[
        ("s-1", endpoint.address, "one", 7, "up"),
        ("s-2", other.address, "one", 8, "up"),
    ]);
    *agent.watch_lines.lock().expect("not poisoned") = vec![lines];
    let node = node.restart().ready();
    assert!(node.logged("4 messages owed"));
    wait_until("the unsent one goes out", || {
        other.attempt_count("unsent") == 1
    });
    assert_eq!(other.request(0).body, b"unsent body");
    assert_eq!(other.request(0).header("idempotency-key"), "key-unsent");
    wait_until("the keyed one goes out again", || {
        endpoint.attempt_count("sent") >= 2
    });
    wait_until("the unsafe one's and the owed one's notices", || {
        let notices = agent.notifications();
        notices.contains(&failed("unsafe")) && notices.iter().any(|line| line.contains("owed"))
    });
    assert_eq!(endpoint.attempt_count("unsafe"), 1);
    assert_eq!(
        agent.notifications().len(),
        2,
        "{:?}",
        agent.notifications()
    );
}

#[test]
fn a_deadline_that_passed_while_down_ends_by_a_notice_at_once() {
    let endpoint = FakeEndpoint::new(|_, _| Reply::NoResponse);
    let agent = discovery_with(&endpoint);
    let mut node = Node::new(&agent).ready();
    assert_eq!(node.submit("webhook", "m1", 7, 600, b"x"), 202);
    node.kill();
    std::thread::sleep(Duration::from_millis(700)); // until its time is up
    assert!(agent.notifications().is_empty());
    let _node = node.restart();
    wait_until("its notice", || {
        agent.notifications().iter().any(|line| line.contains("m1"))
    });
}

#[test]
fn a_torn_record_is_dropped_and_damage_keeps_what_is_sound() {
    let endpoint = FakeEndpoint::new(|_, _| OK);
    let away = ("s-7", endpoint.address, "one", 7, "draining");
    let agent = FakeDiscovery::new(vec![list_json(&[
        ("s-9", endpoint.address, "one", 5, "up"),
        away,
    ])]);
    let mut node = Node::new(&agent).ready();
    for id in ["m1", "m2"] {
        assert_eq!(node.submit("webhook", id, 7, 20_000, b"x"), 202);
    }
    node.kill();
    let sound = std::fs::read(node.journal()).expect("the journal");
    std::fs::write(node.journal(), &sound[..sound.len() - 3]).expect("torn");
    let mut node = node.restart().ready();
    assert!(node.logged("1 messages owed") && !node.logged("damaged"));
    node.kill();
    let mut damaged = sound.clone();
    damaged[20] ^= 0xff;
    std::fs::write(node.journal(), &damaged).expect("damaged");
    *agent.watch_lines.lock().expect("not poisoned") =
        vec![list_json(&[("s-1", endpoint.address, "one", 7, "up")])];
    let node = node.restart().ready();
    assert!(node.logged("1 messages owed") && node.logged("damaged"));
    wait_until("the sound one is delivered", || {
        endpoint.attempt_count("m2") == 1
    });
    assert_eq!(endpoint.attempt_count("m1"), 0);
}

#[test]
fn a_full_journal_refuses_and_stays_within_its_limit() {
    let endpoint = FakeEndpoint::new(|_, _| OK);
    let agent = discovery_with(&endpoint);
    let node = Node::with_limits(agent.address, 0.3, 5.0).ready();
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
    // small ones that come and go are compacted away, so that the room is never used up by the past
    for n in 0..400 {
        let status = node.submit("webhook", &format!("s{n}"), 7, 20_000, &[b'x'; 1_000]);
        assert!(status == 202 || status == 429 || status == 503);
        assert!(size() <= 300_000, "{}", size());
    }
    // once for the fault, not once for each message
    let lines = node
        .log
        .lock()
        .expect("not poisoned")
        .iter()
        .filter(|line| line.contains("journal"))
        .count();
    assert!((1..=3).contains(&lines), "{lines}");
}

#[test]
fn a_folder_that_fills_up_and_empties_takes_messages_again() {
    let endpoint = FakeEndpoint::new(|_, _| OK);
    let agent = discovery_with(&endpoint);
    let node = Node::with_limits(agent.address, 0.3, 5.0).ready();
    let mut full = false;
    for n in 0..10 {
        full |= node.submit("webhook", &format!("m{n}"), 99, 1_500, &[b'x'; 30_000]) == 503;
    }
    assert!(full);
    wait_until("they have ended", || {
        node.submit("webhook", "after", 7, 9_000, &[b'x'; 30_000]) == 202
    });
    wait_until("the new one is delivered", || {
        endpoint.attempt_count("after") == 1
    });
}

#[test]
fn sigterm_drains_with_an_answer_for_every_client() {
    // guards against connections that end with a request on them, and against an exit with calls out
    let endpoint = FakeEndpoint::new(|_, _| OK);
    let agent = discovery_with(&endpoint);
    let mut node = Node::new(&agent).ready();
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
    wait_until("draining", || node.logged("draining"));
    let (status, answer) = client
        .send(&message_request("webhook", "m2", 7, 20_000, b"x"))
        .expect("answered");
    assert_eq!((status, answer.header("connection")), (202, "close"));
    assert_eq!(
        node.submit("webhook", "m3", 7, 20_000, b"x"),
        202,
        "connections come for a while"
    );
    assert_eq!(node.readiness_status(), 503);
    wait_until("all are delivered", || {
        ["m1", "m2", "m3"]
            .iter()
            .all(|id| endpoint.attempt_count(id) == 1)
    });
    let status = node.process.wait().expect("it ends");
    assert!(
        status.success() && began.elapsed() < Duration::from_millis(3700),
        "{status} {:?}",
        began.elapsed()
    );
    let node = node.restart();
    assert!(node.logged("0 messages owed"));
}

#[test]
fn near_the_end_of_a_drain_no_call_starts_that_would_be_cut_off() {
    let endpoint = FakeEndpoint::new(|_, _| OK);
    let agent = discovery_with(&endpoint);
    let node = Node::new(&agent).ready();
    node.terminate();
    wait_until("draining", || node.logged("draining"));
    std::thread::sleep(Duration::from_millis(2450)); // into the last second, which an unknown latency needs
    assert_eq!(node.submit("order", "m1", 7, 20_000, b"x"), 202);
    let mut node = node;
    assert!(node.process.wait().expect("it ends").success());
    assert_eq!(endpoint.request_count(), 0);
    let _node = node.restart();
    wait_until("the next life sends it", || {
        endpoint.attempt_count("m1") == 1
    });
}

#[test]
fn a_draining_endpoint_gets_nothing_new_and_bad_lines_are_skipped() {
    let (old, new) = (FakeEndpoint::new(|_, _| OK), FakeEndpoint::new(|_, _| OK));
    let agent = FakeDiscovery::new(vec![
        list_json(&[("s-1", old.address, "one", 7, "up"), ("s-2", new.address, "one", 7, "up")]),
        "{not json".to_string(),
        r#"{"rev":8,"all":false,"targets":[{"uid":5},{"uid":"s-3","endpoint":"nowhere","pod_group":7,"state":"up"}]}"#
            .to_string(),
        list_json(&[("s-1", old.address, "one", 7, "draining")]).replace("\"all\":true", "\"all\":false"),
    ]);
    let node = Node::new(&agent).ready();
    wait_until("both lines are skipped", || {
        node.logged("line skipped") && node.logged("entry skipped")
    });
    for n in 0..6 {
        let id = format!("m{n}");
        assert_eq!(node.submit("webhook", &id, 7, 20_000, b"x"), 202);
        wait_until("delivered", || {
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
fn a_silent_watch_is_left_for_a_new_one() {
    let endpoint = FakeEndpoint::new(|_, _| OK);
    let agent = FakeDiscovery::new(Vec::new());
    let node = Node::new(&agent);
    wait_until("a watch", || agent.watch_count.load(Ordering::SeqCst) > 0);
    let began = Instant::now();
    assert_eq!(node.readiness_status(), 503, "no list is known");
    assert_eq!(node.submit("webhook", "early", 7, 20_000, b"x"), 503);
    *agent.watch_lines.lock().expect("not poisoned") =
        vec![list_json(&[("s-1", endpoint.address, "one", 7, "up")])];
    let node = node.ready();
    // what was missed counts as told after 6 s
    assert!(
        began.elapsed() < Duration::from_secs(5),
        "{:?}",
        began.elapsed()
    );
    assert_eq!(node.submit("webhook", "m1", 7, 20_000, b"x"), 202);
    wait_until("delivered", || endpoint.attempt_count("m1") == 1);
}

#[test]
fn a_log_that_nobody_reads_does_not_end_the_sender() {
    // guards against eprintln, which panics when its pipe is gone
    let endpoint = FakeEndpoint::new(|_, _| Reply::Respond("418 Teapot", String::new()));
    let agent = discovery_with(&endpoint);
    let mut node = Node::new(&agent).ready();
    node.close_log();
    assert_eq!(node.submit("order", "m1", 7, 20_000, b"x"), 202);
    wait_until("its notice", || {
        agent.notifications().contains(&failed("m1"))
    });
    wait_until("the last line that is read", || node.logged("418"));
    node.terminate(); // which logs two lines more
    assert!(node.process.wait().expect("it ends").success());
}

#[test]
fn a_client_that_leaves_before_its_answer_is_no_client() {
    let endpoint = FakeEndpoint::new(|_, _| OK);
    let node = Node::new(&discovery_with(&endpoint)).ready();
    let text = message_request("webhook", "m1", 7, 20_000, b"12345");
    let mut stream = std::net::TcpStream::connect(node.address).expect("accepts");
    stream.write_all(&text[..text.len() - 2]).expect("written");
    drop(stream);
    assert_eq!(node.submit("webhook", "m2", 7, 20_000, b"x"), 202);
    wait_until("the other is delivered", || {
        endpoint.attempt_count("m2") == 1
    });
    assert_eq!(endpoint.attempt_count("m1"), 0);
}

#[test]
fn a_bad_configuration_is_one_line_and_no_success() {
    let folder = std::path::PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("bad-config");
    std::fs::create_dir_all(&folder).expect("a folder");
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
