//! The watch of the endpoint list, when what comes on it can't be read, comes in pieces, or never ends.

mod node;

use node::*;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// What one watch brings.
#[derive(Clone)]
enum Script {
    /// This text, and then nothing.
    Text(String),
    /// This text, and then the other one, a byte now and then without end.
    Trickle(String, &'static str),
    /// No answer at all.
    Hang,
}

/// An agent with a script for each watch; the last one serves for all that follow.
struct Agent {
    address: SocketAddr,
    watches: Arc<AtomicUsize>,
    asked: Arc<Mutex<Vec<String>>>,
}

fn agent(scripts: Vec<Script>) -> Agent {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let agent = Agent {
        address: listener.local_addr().expect("bound"),
        watches: Arc::default(),
        asked: Arc::default(),
    };
    let (watches, asked) = (agent.watches.clone(), agent.asked.clone());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (watches, asked, scripts) = (watches.clone(), asked.clone(), scripts.clone());
            thread::spawn(move || {
                let mut line = String::new();
                let read = BufReader::new(stream.try_clone().expect("cloned")).read_line(&mut line);
                if read.is_err() || !line.starts_with("GET /v1/endpoints?watch=1") {
                    return;
                }
                asked.lock().expect("not poisoned").push(line);
                let number = watches.fetch_add(1, Ordering::SeqCst);
                serve(stream, &scripts[number.min(scripts.len() - 1)]);
            });
        }
    });
    agent
}

fn serve(mut stream: TcpStream, script: &Script) {
    let (text, rest) = match script {
        Script::Text(text) => (text.as_str(), ""),
        Script::Trickle(text, rest) => (text.as_str(), *rest),
        Script::Hang => return thread::sleep(WAIT_TIMEOUT),
    };
    let chunk = |text: &str| format!("{:x}\r\n{text}\r\n", text.len());
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let _ = stream.write_all(format!("{head}{}", chunk(text)).as_bytes());
    for byte in rest.split("").filter(|byte| !byte.is_empty()).cycle() {
        thread::sleep(Duration::from_millis(200));
        if stream.write_all(chunk(byte).as_bytes()).is_err() {
            return;
        }
    }
    thread::sleep(WAIT_TIMEOUT);
}

/// Two endpoints of one destination: the old one, in this state, and the new one.
struct Two {
    old: FakeEndpoint,
    new: FakeEndpoint,
}

impl Two {
    fn new() -> Self {
        Two {
            old: FakeEndpoint::new(|_, _| OK),
            new: FakeEndpoint::new(|_, _| OK),
        }
    }

    fn list(&self, state: &str) -> String {
        let old = ("s-1", self.old.address, "one", 7, state);
        format!(
            "{}\n",
            list_json(&[old, ("s-2", self.new.address, "one", 7, "up")])
        )
    }

    /// From some moment on all goes to the new one: of so many messages in a row the old one gets some otherwise.
    fn only_the_new_one_is_called(&self, node: &Node) {
        let mut round = 0;
        wait_until("the old one is left alone", || {
            round += 1;
            let before = self.old.request_count();
            for n in 0..24 {
                let id = format!("m-{round}-{n}");
                assert_eq!(node.submit("webhook", &id, 7, 20_000, b"x"), 202);
                wait_until("delivered", || {
                    self.new.attempt_count(&id) + self.old.attempt_count(&id) > 0
                });
            }
            self.old.request_count() == before
        });
    }
}

fn started(agent: &Agent) -> Node {
    Node::with_limits(agent.address, 3.0, 5.0).ready()
}

#[test]
fn what_can_not_be_read_is_not_passed_over() {
    let two = Two::new();
    for bad in [
        "{not json\n",
        "{\"rev\":8,\"all\":false,\"targets\":[{\"uid\":\"s-1\"}]}\n",
    ] {
        // what the bad line said stands in the whole list only
        let agent = agent(vec![
            Script::Text(format!("{}{bad}", two.list("up"))),
            Script::Text(two.list("draining")),
        ]);
        let node = started(&agent);
        wait_until("the list is asked for anew", || {
            agent.watches.load(Ordering::SeqCst) == 2
        });
        assert!(
            agent.asked.lock().expect("not poisoned")[1].contains("from=0 "),
            "the whole of it"
        );
        two.only_the_new_one_is_called(&node);
    }
}

#[test]
fn a_list_may_be_indented() {
    let two = Two::new();
    let value: serde_json::Value = serde_json::from_str(&two.list("draining")).expect("JSON");
    let text = serde_json::to_string_pretty(&value).expect("JSON");
    let agent = agent(vec![Script::Text(format!("{text}\n"))]);
    let node = started(&agent);
    two.only_the_new_one_is_called(&node);
}

#[test]
fn a_watch_that_trickles_and_one_that_is_not_answered_are_left() {
    let two = Two::new();
    let agent = agent(vec![
        Script::Trickle(two.list("up"), "{\"rev\": "),
        Script::Hang,
        Script::Text(two.list("draining")),
    ]);
    let node = started(&agent);
    wait_until("a third watch", || {
        agent.watches.load(Ordering::SeqCst) >= 3
    });
    assert!(node.logged("silent") && node.logged("no answer in time"));
    two.only_the_new_one_is_called(&node);
}
