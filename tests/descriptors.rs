//! Idle clients that take every descriptor they can get, while discovery goes and comes back.

mod node;

use node::*;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Descriptors of the sender, by its file and by the system.
const DESCRIPTORS: usize = 64;

/// Discovery until it goes.
#[derive(Default)]
struct Discovery {
    gone: AtomicBool,
    watches: AtomicUsize,
    open: AtomicUsize,
    notices: Mutex<String>,
}

impl Discovery {
    fn at(listener: TcpListener, list: String) -> Arc<Self> {
        let here = Arc::new(Discovery::default());
        let discovery = here.clone();
        listener.set_nonblocking(true).expect("set");
        thread::spawn(move || {
            while !here.gone.load(Ordering::SeqCst) {
                if let Ok((stream, _)) = listener.accept() {
                    stream.set_nonblocking(false).expect("set");
                    here.open.fetch_add(1, Ordering::SeqCst);
                    let (here, list) = (here.clone(), list.clone());
                    thread::spawn(move || {
                        let _ = here.serve(stream, &list);
                        here.open.fetch_sub(1, Ordering::SeqCst);
                    });
                }
                thread::sleep(Duration::from_millis(2));
            }
        });
        discovery
    }

    fn serve(&self, mut stream: TcpStream, list: &str) -> std::io::Result<()> {
        let mut reader = BufReader::new(stream.try_clone()?);
        let (mut line, mut first, mut length) = (String::new(), String::new(), 0);
        while line != "\r\n" {
            line.clear();
            if reader.read_line(&mut line)? == 0 {
                // a sender may leave a connection with no request
                return Ok(());
            }
            if first.is_empty() {
                first.clone_from(&line);
            }
            if let Some(value) = line.to_ascii_lowercase().strip_prefix("content-length:") {
                length = value.trim().parse().expect("a length");
            }
        }
        if first.starts_with("POST ") {
            let mut body = vec![0; length];
            reader.read_exact(&mut body)?;
            *self.notices.lock().expect("not poisoned") +=
                std::str::from_utf8(&body).expect("text");
            return stream.write_all(b"HTTP/1.1 204 No Content\r\n\r\n");
        }
        self.watches.fetch_add(1, Ordering::SeqCst);
        let chunk = |line: &str| format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        stream.write_all(format!("{head}{}", chunk(list)).as_bytes())?;
        while !self.gone.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(50));
            stream.write_all(chunk("").as_bytes())?;
        }
        Ok(())
    }

    fn goes(&self) {
        self.gone.store(true, Ordering::SeqCst);
        wait_until("its connections are closed", || {
            self.open.load(Ordering::SeqCst) == 0
        });
    }
}

/// Clients that say nothing, and come again when they are sent away.
fn crowd(address: SocketAddr, count: usize, ends: &Arc<AtomicBool>) {
    let ends = ends.clone();
    thread::spawn(move || {
        let mut clients: Vec<TcpStream> = Vec::new();
        while !ends.load(Ordering::SeqCst) {
            clients.retain_mut(|client| {
                let read = client.read(&mut [0; 16]);
                read.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock)
            });
            while clients.len() < count {
                let Ok(client) = TcpStream::connect(address) else {
                    break;
                };
                client.set_nonblocking(true).expect("set");
                clients.push(client);
            }
            thread::sleep(Duration::from_millis(5));
        }
    });
}

/// Tries until a connection gets its turn: a new one may be shut unread.
fn submit(node: &Node, id: &str, destination: u64, time_ms: u64) {
    wait_until("taken on", || {
        let Ok(mut stream) = TcpStream::connect(node.address) else {
            return false;
        };
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("set");
        let mut answer = [0; 12];
        stream
            .write_all(&message_request("webhook", id, destination, time_ms, b"x"))
            .is_ok()
            && stream.read_exact(&mut answer).is_ok()
            && answer.ends_with(b"202")
    });
}

#[test]
fn idle_clients_that_fill_the_table_keep_nobody_from_discovery_calls_and_ends() {
    let (old, new) = (FakeEndpoint::new(|_, _| OK), FakeEndpoint::new(|_, _| OK));
    let lists = |old_state, new_state| {
        let away = ("d-9", old.address, "one", 9, "draining");
        list_json(&[
            ("s-1", old.address, "one", 7, old_state),
            ("s-2", new.address, "one", 7, new_state),
            away,
        ])
    };
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    let before = Discovery::at(listener, lists("up", "draining"));
    let mut node = Node::with_discovery_and_descriptor_limit(address, DESCRIPTORS).ready();
    let ends = Arc::new(AtomicBool::new(false));
    crowd(node.address, 3 * DESCRIPTORS, &ends);
    crowd(node.admin_address.expect("an address"), DESCRIPTORS, &ends);
    submit(&node, "m1", 7, 20_000);
    wait_until("m1 is delivered", || old.attempt_count("m1") == 1);
    before.goes();
    wait_until("discovery is gone", || node.logged("no connection"));
    // no endpoint takes it, and its notice has to wait for discovery
    submit(&node, "m2", 9, 200);
    submit(&node, "m3", 7, 20_000);
    wait_until("m3 is delivered", || old.attempt_count("m3") == 1);
    let listener = TcpListener::bind(address).expect("the same port");
    let after = Discovery::at(listener, lists("draining", "up"));
    wait_until("a watch", || after.watches.load(Ordering::SeqCst) > 0);
    wait_until("the notice", || {
        after.notices.lock().expect("not poisoned").contains("m2")
    });
    let mut round = 0;
    wait_until("the list counts", || {
        round += 1;
        let id = format!("l{round}");
        submit(&node, &id, 7, 20_000);
        wait_until("delivered", || {
            old.attempt_count(&id) + new.attempt_count(&id) > 0
        });
        new.attempt_count(&id) > 0
    });
    node.terminate();
    assert!(node.process.wait().expect("it ends").success());
    ends.store(true, Ordering::SeqCst);
    let log = node.log.lock().expect("not poisoned").join("\n");
    assert!(
        !log.contains("os error 24") && !log.contains("no descriptor"),
        "{log}"
    );
}
