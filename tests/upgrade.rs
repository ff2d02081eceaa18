//! Hot restarts: a new process takes over from the old one under load, and faults during the takeover.

mod node;

use node::*;
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::os::unix::net::UnixStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

fn discovery_with(endpoint: &FakeEndpoint) -> FakeDiscovery {
    FakeDiscovery::new(vec![list_json(&[
        ("s-1", endpoint.address, "one", 7, "up"),
        ("s-2", endpoint.address, "one", 8, "up"),
    ])])
}

/// An endpoint that answers messages whose id begins with `blocked` only once it is released.
fn blocked_until(release: &Arc<AtomicBool>) -> FakeEndpoint {
    let release = release.clone();
    FakeEndpoint::new(move |request, _| {
        let blocked = request.header("x-request-id").starts_with("blocked");
        while blocked && !release.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(3));
        }
        OK
    })
}

/// Clients that submit messages one after the other until they are stopped.
struct Load {
    stop: Arc<AtomicBool>,
    accepted: Arc<AtomicUsize>,
    clients: Vec<thread::JoinHandle<Vec<String>>>,
}

impl Load {
    fn start(address: SocketAddr) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let accepted = Arc::new(AtomicUsize::new(0));
        let clients = (0..4)
            .map(|number| {
                let (stop, accepted) = (stop.clone(), accepted.clone());
                thread::spawn(move || submit_until_stopped(number, address, &stop, &accepted))
            })
            .collect();
        Load {
            stop,
            accepted,
            clients,
        }
    }

    fn wait_for_more(&self, count: usize) {
        let before = self.accepted.load(Ordering::SeqCst);
        wait_until("the load continues", || {
            self.accepted.load(Ordering::SeqCst) >= before + count
        });
    }

    /// Stops the clients; returns the ids of the messages that the sender accepted.
    fn stop(self) -> Vec<String> {
        self.stop.store(true, Ordering::SeqCst);
        self.clients
            .into_iter()
            .flat_map(|client| client.join().expect("no client failed"))
            .collect()
    }
}

fn submit_until_stopped(
    number: usize,
    address: SocketAddr,
    stop: &AtomicBool,
    count: &AtomicUsize,
) -> Vec<String> {
    let (mut client, mut accepted) = (Client::new(address), Vec::new());
    for next in 0.. {
        if stop.load(Ordering::SeqCst) {
            return accepted;
        }
        let id = format!("m{number}-{next}");
        // no connection is refused, reset or left without a response
        let (status, head) = client
            .send(&message_request("webhook", &id, 7, 20_000, b"x"))
            .expect("a response");
        match status {
            202 => accepted.push(id),
            // 50 messages are in flight already, as happens on a busy machine; a rejected message must not be sent
            429 => thread::sleep(Duration::from_millis(20)),
            other => panic!("{id} is answered {other}"),
        }
        count.fetch_add(usize::from(status == 202), Ordering::SeqCst);
        if head.header("connection") == "close" {
            client = Client::new(address);
        }
        thread::sleep(Duration::from_millis(2));
    }
    unreachable!()
}

#[test]
fn a_hot_restart_under_load_loses_no_message_repeats_none_and_disconnects_no_client() {
    let release = Arc::new(AtomicBool::new(false));
    let endpoint = blocked_until(&release);
    let old = Node::new(&discovery_with(&endpoint)).ready();
    // an at-most-once call is in flight in the old process during the hot restart, and must not be sent twice
    assert_eq!(old.submit("order", "blocked-order", 7, 20_000, b"x"), 202);
    wait_until("the message is sent", || {
        endpoint.attempt_count("blocked-order") == 1
    });
    let load = Load::start(old.address);
    load.wait_for_more(50);
    let new = old.hot_restart().ready();
    assert_eq!(new.address, old.address);
    assert!(new.logged("takes over"));
    load.wait_for_more(50);
    // the call that is in flight in the old process ends in the new one
    assert_eq!(new.submit("order", "blocked-order", 7, 20_000, b"x"), 202);
    release.store(true, Ordering::SeqCst);
    wait_until("the message has ended", || {
        new.submit("order", "blocked-order", 7, 0, b"x") == 200
    });
    let mut old = old;
    wait_until("the old process exits", || {
        old.process.try_wait().expect("a child process").is_some()
    });
    assert!(old.process.wait().expect("ended").success());
    load.wait_for_more(50);
    let accepted = load.stop();
    wait_until("all messages are delivered", || {
        endpoint.request_count() > accepted.len() && new.metric("active") == 0
    });
    assert_eq!(endpoint.attempt_count("blocked-order"), 1);
    // one call for each accepted message and one for the blocked message, none for a rejected one
    assert!(accepted.iter().all(|id| endpoint.attempt_count(id) == 1));
    assert_eq!(endpoint.request_count(), accepted.len() + 1);
}

#[test]
fn a_retry_after_sent_to_the_old_process_applies_to_the_new_one() {
    let endpoint = FakeEndpoint::new(|request, _| match request.header("x-request-id") {
        "first" => Reply::Respond("429 No\r\nRetry-After: 600", String::new()),
        _ => OK,
    });
    let old = Node::new(&discovery_with(&endpoint)).ready();
    assert_eq!(old.submit("webhook", "first", 7, 20_000, b"x"), 202);
    wait_until("the Retry-After response is sent", || {
        endpoint.attempt_count("first") == 1 && old.metric("active") <= 1
    });
    thread::sleep(Duration::from_millis(100)); // until the response has arrived
    let new = old.hot_restart().ready();
    let _ = new.submit("webhook", "second", 7, 20_000, b"x");
    // a call for the second message would have arrived before this later one for another destination
    assert_eq!(new.submit("webhook", "other", 8, 20_000, b"x"), 202);
    wait_until("the message to another destination is sent", || {
        endpoint.attempt_count("other") == 1
    });
    assert_eq!(
        (
            endpoint.attempt_count("first"),
            endpoint.attempt_count("second")
        ),
        (1, 0)
    );
}

#[test]
fn calls_of_a_killed_old_process_count_as_possibly_run() {
    let release = Arc::new(AtomicBool::new(false));
    let endpoint = blocked_until(&release);
    let discovery = discovery_with(&endpoint);
    let mut old = Node::new(&discovery).ready();
    for (class, id) in [("order", "blocked-order"), ("webhook", "blocked-webhook")] {
        assert_eq!(old.submit(class, id, 7, 20_000, b"x"), 202);
        wait_until("the message is sent", || endpoint.attempt_count(id) >= 1);
    }
    let new = old.hot_restart().ready();
    old.kill();
    wait_until("the old calls are logged as cut off", || {
        new.logged("calls cut off")
    });
    release.store(true, Ordering::SeqCst);
    // the at-most-once message fails, since it may have run, and the keyed one is sent again
    wait_until("the at-most-once message has failed", || {
        discovery.notifications().iter().any(|notification| {
            notification.contains("blocked-order") && notification.contains("failed")
        })
    });
    wait_until("the message is delivered", || {
        new.submit("webhook", "blocked-webhook", 7, 0, b"x") == 200
    });
    assert_eq!(endpoint.attempt_count("blocked-order"), 1);
    assert!(endpoint.attempt_count("blocked-webhook") >= 2);
}

#[test]
fn invalid_callers_at_the_hot_restart_socket_change_nothing() {
    let endpoint = FakeEndpoint::new(|_, _| OK);
    let node = Node::new(&discovery_with(&endpoint)).ready();
    let socket = node.folder.join("state/handover");
    let hello = b"MTH1\x01\0\0\0";
    // Each caller sends `first`. If there is a `then`, it waits for a response and sends `then`. Finally it closes the
    // connection. `first` is invalid, empty, part of a hello or a whole hello; `then` is always invalid.
    for (first, then) in [
        (&b"GET / HTTP/1.1\r\n\r\n"[..], None),
        (b"", None),
        (b"MTH", None),
        (hello, None),
        (hello, Some(&b"\x01\0\0\0\x63"[..])),
        (hello, Some(b"\xff\xff\xff\xff")),
    ] {
        let mut caller = UnixStream::connect(&socket).expect("the socket listens");
        caller.write_all(first).expect("written");
        if let Some(then) = then {
            let _ = caller.read(&mut [0; 8]);
            let _ = caller.write_all(then);
        }
        drop(caller);
        wait_until("the sender still works", || {
            node.submit("webhook", "m1", 7, 20_000, b"x") == 200
        });
    }
    // a new process that uses the hot restart protocol correctly can still take over
    let new = node.hot_restart().ready();
    assert_eq!(new.submit("webhook", "m1", 7, 20_000, b"x"), 200);
}

#[test]
fn a_restart_after_an_unreadable_hot_restart_offer_resumes_from_the_journal() {
    let release = Arc::new(AtomicBool::new(false));
    let endpoint = blocked_until(&release);
    let mut old = Node::new(&discovery_with(&endpoint)).ready();
    assert_eq!(old.submit("webhook", "blocked-1", 7, 20_000, b"x"), 202);
    wait_until("the message is sent", || {
        endpoint.attempt_count("blocked-1") == 1
    });
    let mut caller =
        UnixStream::connect(old.folder.join("state/handover")).expect("the socket listens");
    caller.write_all(b"MTH1\x01\0\0\0").expect("written");
    let _ = caller.read(&mut [0; 8]).expect("a hello");
    // the decision `Exit`, which a new process sends when it can't read the offer
    caller.write_all(b"\x01\0\0\0\x01").expect("written");
    wait_until("the old process exits at once", || {
        old.process.try_wait().expect("a child process").is_some()
    });
    let new = old.restart();
    assert!(new.logged("1 messages owed"));
    release.store(true, Ordering::SeqCst);
    let new = new.ready();
    wait_until("the message is delivered", || {
        new.submit("webhook", "blocked-1", 7, 0, b"x") == 200
    });
}

#[test]
fn a_drained_sender_stays_drained_after_a_hot_restart() {
    let endpoint = FakeEndpoint::new(|_, _| OK);
    let old = Node::new(&discovery_with(&endpoint)).ready();
    assert_eq!(old.admin_status("POST", "/-/drain"), 200);
    let new = old.hot_restart();
    wait_until("the new process has taken over", || {
        new.logged("takes over")
    });
    assert_eq!(
        (new.readiness_status(), new.admin_status("GET", "/-/ready")),
        (503, 503)
    );
    assert_eq!(new.admin_status("POST", "/-/resume"), 200);
    assert_eq!(new.readiness_status(), 200);
    let _ = new.ready();
}

/// A client connection to a sender that has carried one message, with this id, so that it stays open in a hot restart.
fn used_connection(node: &Node, id: &str) -> Client {
    let mut client = Client::new(node.address);
    let request = message_request("order", id, 8, 20_000, b"x");
    let (status, _) = client.send(&request).expect("a response");
    assert_eq!(status, 202);
    client
}

/// An endpoint of destination 7 that answers 500, which leaves open whether a message ran, and one of destination 8 that
/// answers 200.
fn failing_and_healthy_endpoint() -> (FakeEndpoint, FakeEndpoint, FakeDiscovery) {
    let failing = FakeEndpoint::new(|_, _| Reply::Respond("500 Oops", String::new()));
    let healthy = FakeEndpoint::new(|_, _| OK);
    let discovery = FakeDiscovery::new(vec![list_json(&[
        ("s-1", failing.address, "one", 7, "up"),
        ("s-2", healthy.address, "one", 8, "up"),
    ])]);
    (failing, healthy, discovery)
}

/// Guards against an at-most-once message that runs twice, because the process that was taken over passed it on under the
/// settings of before a reload.
#[test]
fn a_reload_after_a_hot_restart_applies_to_messages_on_connections_to_the_old_process() {
    let (failing, _healthy, discovery) = failing_and_healthy_endpoint();
    let old = Node::new(&discovery).ready();
    let mut client = used_connection(&old, "before-1");
    let new = old.hot_restart().ready();
    // the second reload adds a class, which could get the position that the first one has freed
    let keyed = r#""webhook","aim":4.0,"deadline":20.0,"effect":"deduplicated""#;
    let at_most_once = r#""webhook","aim":4.0,"deadline":20.0,"effect":"at_most_once""#;
    new.reload(|text| text.replace(keyed, at_most_once));
    wait_until("the first reload is applied", || {
        new.metric("config_applied") == 1
    });
    let added =
        r#"{"name":"licence","aim":4.0,"deadline":20.0,"effect":"idempotent"},{"name":"order""#;
    new.reload(|text| text.replace(r#"{"name":"order""#, added));
    wait_until("the second reload is applied", || {
        new.metric("config_applied") == 2
    });
    let request = message_request("webhook", "after", 7, 3_000, b"x");
    let (status, _) = client.send(&request).expect("a response");
    assert_eq!(status, 202);
    wait_until("the message has ended", || {
        discovery
            .notifications()
            .iter()
            .any(|notification| notification.contains("after"))
    });
    assert_eq!(failing.attempt_count("after"), 1);
}

/// Guards against a definite rejection by the process that was taken over, which does not know the classes of a later
/// reload.
#[test]
fn an_old_process_asks_clients_to_submit_again_what_it_can_not_judge() {
    let (_failing, healthy, discovery) = failing_and_healthy_endpoint();
    let old = Node::new(&discovery).ready();
    let mut client = used_connection(&old, "before-1");
    let mut second_client = used_connection(&old, "before-2");
    let mut third_client = used_connection(&old, "before-3");
    let new = old.hot_restart().ready();
    let keyed = r#""deduplicated","group":"all","window":12.0"#;
    new.reload(|text| {
        text.replace(r#""webhook""#, r#""licence""#)
            .replace(r#""at_most_once""#, keyed)
    });
    wait_until("the reload is applied", || {
        new.metric("config_applied") == 1
    });
    // a class that the reload has added
    let request = message_request("licence", "added", 8, 20_000, b"x");
    let (status, head) = client.send(&request).expect("a response");
    assert_eq!((status, head.header("connection")), (503, "close"));
    // a class that the reload has removed
    let removed = message_request("webhook", "removed", 8, 20_000, b"x");
    let (status, head) = second_client.send(&removed).expect("a response");
    assert_eq!((status, head.header("connection")), (503, "close"));
    // a message without the key that its class requires since the reload
    let text =
        String::from_utf8(message_request("order", "no-key", 8, 20_000, b"x")).expect("text");
    let without_key = text.replace("Idempotency-Key: key-no-key\r\n", "");
    let (status, head) = third_client
        .send(without_key.as_bytes())
        .expect("a response");
    assert_eq!((status, head.header("connection")), (503, "close"));
    // the new process decides
    assert_eq!(new.raw(without_key.as_bytes()).0, 400);
    assert_eq!(new.raw(&request).0, 202);
    assert_eq!(new.raw(&removed).0, 400);
    wait_until("the message is delivered", || {
        healthy.attempt_count("added") == 1
    });
    assert_eq!(healthy.attempt_count("removed"), 0);
}

/// Guards against messages of one subject that are sent side by side, or one behind the other without need, because the
/// process that was taken over judges by its own settings whether their class is ordered.
#[test]
fn the_order_of_a_subject_follows_the_settings_of_the_new_process() {
    let release = Arc::new(AtomicBool::new(false));
    let endpoint = blocked_until(&release);
    let discovery = discovery_with(&endpoint);
    let old = Node::new(&discovery).ready();
    let mut clients: Vec<Client> = (0..4)
        .map(|number| used_connection(&old, &format!("before-{number}")))
        .collect();
    let new = old.hot_restart().ready();
    // webhooks are ordered from now on, and postings are not
    new.reload(|text| {
        text.replace(",\n                  \"oneAtATime\":true", "")
            .replace(
                r#"{"name":"webhook","#,
                r#"{"name":"webhook","oneAtATime":true,"#,
            )
    });
    wait_until("the reload is applied", || {
        new.metric("config_applied") == 1
    });
    let mut submit = |class: &str, id: &str| {
        let request = message_request(class, id, 7, 20_000, b"x");
        let text = String::from_utf8(request).expect("text");
        let text = text.replace(
            &format!("POST /{class}"),
            &format!("POST /{class}?subject=a"),
        );
        let mut client = clients.pop().expect("a connection for each message");
        client.send(text.as_bytes()).expect("a response").0
    };
    assert_eq!(submit("webhook", "blocked-webhook"), 202);
    wait_until("the first webhook is sent", || {
        endpoint.attempt_count("blocked-webhook") >= 1
    });
    assert_eq!(submit("webhook", "second-webhook"), 202);
    assert_eq!(submit("posting", "blocked-posting"), 202);
    wait_until("the first posting is sent", || {
        endpoint.attempt_count("blocked-posting") >= 1
    });
    assert_eq!(submit("posting", "second-posting"), 202);
    wait_until("the second posting does not wait", || {
        endpoint.attempt_count("second-posting") == 1
    });
    assert_eq!(endpoint.attempt_count("second-webhook"), 0, "it waits");
    release.store(true, Ordering::SeqCst);
    wait_until("the second webhook is sent", || {
        endpoint.attempt_count("second-webhook") == 1
    });
}
