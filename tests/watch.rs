//! Tests the watch of the endpoint list when discovery sends malformed events or an indented list, trickles single
//! bytes, or does not respond.

mod node;

use node::*;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// What the fake discovery service sends on one watch.
#[derive(Clone)]
enum Script {
    /// Sends this text, and then nothing more.
    Text(String),
    /// Sends the first text at once, and then the second one again and again, one byte every 200 ms.
    Trickle(String, &'static str),
    /// Does not respond at all.
    Hang,
}

/// A fake discovery service with a script for each watch; the last script serves all further watches.
struct ScriptedDiscovery {
    address: SocketAddr,
    watch_count: Arc<AtomicUsize>,
    request_lines: Arc<Mutex<Vec<String>>>,
}

fn start_discovery(scripts: Vec<Script>) -> ScriptedDiscovery {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let discovery = ScriptedDiscovery {
        address: listener.local_addr().expect("bound"),
        watch_count: Arc::default(),
        request_lines: Arc::default(),
    };
    let (watch_count, request_lines) = (
        discovery.watch_count.clone(),
        discovery.request_lines.clone(),
    );
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (watch_count, request_lines, scripts) =
                (watch_count.clone(), request_lines.clone(), scripts.clone());
            thread::spawn(move || {
                let mut request_line = String::new();
                let read = BufReader::new(stream.try_clone().expect("cloned"))
                    .read_line(&mut request_line);
                if read.is_err() || !request_line.starts_with("GET /v1/endpoints?watch=1") {
                    return;
                }
                request_lines
                    .lock()
                    .expect("not poisoned")
                    .push(request_line);
                let number = watch_count.fetch_add(1, Ordering::SeqCst);
                serve(stream, &scripts[number.min(scripts.len() - 1)]);
            });
        }
    });
    discovery
}

fn serve(mut stream: TcpStream, script: &Script) {
    let (text, trickled) = match script {
        Script::Text(text) => (text.as_str(), ""),
        Script::Trickle(text, trickled) => (text.as_str(), *trickled),
        Script::Hang => return thread::sleep(WAIT_TIMEOUT),
    };
    let chunk = |text: &str| format!("{:x}\r\n{text}\r\n", text.len());
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let _ = stream.write_all(format!("{head}{}", chunk(text)).as_bytes());
    for byte in trickled.split("").filter(|byte| !byte.is_empty()).cycle() {
        thread::sleep(Duration::from_millis(200));
        if stream.write_all(chunk(byte).as_bytes()).is_err() {
            return;
        }
    }
    thread::sleep(WAIT_TIMEOUT);
}

/// Two endpoints of one destination.
struct EndpointPair {
    old: FakeEndpoint,
    new: FakeEndpoint,
}

impl EndpointPair {
    fn new() -> Self {
        EndpointPair {
            old: FakeEndpoint::new(|_, _| OK),
            new: FakeEndpoint::new(|_, _| OK),
        }
    }

    /// An endpoint list with the old endpoint in this state and the new one up.
    fn list(&self, state: &str) -> String {
        let old = ("s-1", self.old.address, "one", 7, state);
        format!(
            "{}\n",
            list_json(&[old, ("s-2", self.new.address, "one", 7, "up")])
        )
    }

    /// Waits until 24 messages in a row all go to the new endpoint: while both are up, the old one gets some of them.
    fn wait_until_only_new_is_called(&self, node: &Node) {
        let mut round = 0;
        wait_until("only the new endpoint is called", || {
            round += 1;
            let before = self.old.request_count();
            for number in 0..24 {
                let id = format!("m-{round}-{number}");
                assert_eq!(node.submit("webhook", &id, 7, 20_000, b"x"), 202);
                wait_until("the message is delivered", || {
                    self.new.attempt_count(&id) + self.old.attempt_count(&id) > 0
                });
            }
            self.old.request_count() == before
        });
    }
}

fn start_sender(discovery: &ScriptedDiscovery) -> Node {
    Node::with_limits(discovery.address, 3.0, 5.0).ready()
}

#[test]
fn a_malformed_watch_event_makes_the_sender_request_the_full_list() {
    let pair = EndpointPair::new();
    for malformed in [
        "{not json\n",
        "{\"rev\":8,\"all\":false,\"targets\":[{\"uid\":\"s-1\"}]}\n",
    ] {
        // the update that the malformed event should have contained is only in the full list of the second watch
        let discovery = start_discovery(vec![
            Script::Text(format!("{}{malformed}", pair.list("up"))),
            Script::Text(pair.list("draining")),
        ]);
        let node = start_sender(&discovery);
        wait_until("the list is requested again", || {
            discovery.watch_count.load(Ordering::SeqCst) == 2
        });
        assert!(
            discovery.request_lines.lock().expect("not poisoned")[1].contains("from=0 "),
            "the full list is requested"
        );
        pair.wait_until_only_new_is_called(&node);
    }
}

#[test]
fn a_list_may_be_indented() {
    let pair = EndpointPair::new();
    let value: serde_json::Value = serde_json::from_str(&pair.list("draining")).expect("JSON");
    let text = serde_json::to_string_pretty(&value).expect("JSON");
    let discovery = start_discovery(vec![Script::Text(format!("{text}\n"))]);
    let node = start_sender(&discovery);
    pair.wait_until_only_new_is_called(&node);
}

#[test]
fn a_watch_that_trickles_or_gets_no_response_is_replaced_by_a_new_one() {
    let pair = EndpointPair::new();
    let discovery = start_discovery(vec![
        Script::Trickle(pair.list("up"), "{\"rev\": "),
        Script::Hang,
        Script::Text(pair.list("draining")),
    ]);
    let node = start_sender(&discovery);
    wait_until("a third watch is opened", || {
        discovery.watch_count.load(Ordering::SeqCst) >= 3
    });
    assert!(node.logged("silent") && node.logged("no answer in time"));
    pair.wait_until_only_new_is_called(&node);
}
