//! Idle clients occupy as many of the sender's file descriptors as they can, while the discovery service stops and starts
//! again.

mod node;

use node::*;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// File descriptors that the sender may open, by its configuration and by `ulimit -n`.
const DESCRIPTORS: usize = 64;

/// A fake discovery service that can be stopped.
#[derive(Default)]
struct Discovery {
    is_stopped: AtomicBool,
    watch_count: AtomicUsize,
    open_connections: AtomicUsize,
    notifications: Mutex<String>,
}

impl Discovery {
    /// Serves this endpoint list on a listener, on threads of its own.
    fn start(listener: TcpListener, list: String) -> Arc<Self> {
        let server = Arc::new(Discovery::default());
        let discovery = server.clone();
        listener.set_nonblocking(true).expect("set");
        thread::spawn(move || {
            while !server.is_stopped.load(Ordering::SeqCst) {
                if let Ok((stream, _)) = listener.accept() {
                    stream.set_nonblocking(false).expect("set");
                    server.open_connections.fetch_add(1, Ordering::SeqCst);
                    let (server, list) = (server.clone(), list.clone());
                    thread::spawn(move || {
                        let _ = server.serve(stream, &list);
                        server.open_connections.fetch_sub(1, Ordering::SeqCst);
                    });
                }
                thread::sleep(Duration::from_millis(2));
            }
        });
        discovery
    }

    fn serve(&self, mut stream: TcpStream, list: &str) -> std::io::Result<()> {
        let mut reader = BufReader::new(stream.try_clone()?);
        let (mut line, mut request_line, mut length) = (String::new(), String::new(), 0);
        while line != "\r\n" {
            line.clear();
            if reader.read_line(&mut line)? == 0 {
                // the sender may close a connection without a request
                return Ok(());
            }
            if request_line.is_empty() {
                request_line.clone_from(&line);
            }
            if let Some(value) = line.to_ascii_lowercase().strip_prefix("content-length:") {
                length = value.trim().parse().expect("a length");
            }
        }
        if request_line.starts_with("POST ") {
            let mut body = vec![0; length];
            reader.read_exact(&mut body)?;
            *self.notifications.lock().expect("not poisoned") +=
                std::str::from_utf8(&body).expect("text");
            return stream.write_all(b"HTTP/1.1 204 No Content\r\n\r\n");
        }
        self.watch_count.fetch_add(1, Ordering::SeqCst);
        let chunk = |event: &str| format!("{:x}\r\n{event}\n\r\n", event.len() + 1);
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        stream.write_all(format!("{head}{}", chunk(list)).as_bytes())?;
        while !self.is_stopped.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(50));
            stream.write_all(chunk("").as_bytes())?;
        }
        Ok(())
    }

    /// Stops the service and waits until its connections are closed.
    fn stop(&self) {
        self.is_stopped.store(true, Ordering::SeqCst);
        wait_until("the connections of discovery are closed", || {
            self.open_connections.load(Ordering::SeqCst) == 0
        });
    }
}

/// Keeps `count` idle clients connected until `stop` is set. A client whose connection is closed reconnects.
fn connect_idle_clients(address: SocketAddr, count: usize, stop: &Arc<AtomicBool>) {
    let stop = stop.clone();
    thread::spawn(move || {
        let mut clients: Vec<TcpStream> = Vec::new();
        while !stop.load(Ordering::SeqCst) {
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

/// Submits a message repeatedly until the sender accepts it, since a new connection may be closed without a response.
fn submit_until_accepted(node: &Node, id: &str, destination: u64, time_ms: u64) {
    wait_until("the message is accepted", || {
        let Ok(mut stream) = TcpStream::connect(node.address) else {
            return false;
        };
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("set");
        let mut status_line = [0; 12];
        stream
            .write_all(&message_request("webhook", id, destination, time_ms, b"x"))
            .is_ok()
            && stream.read_exact(&mut status_line).is_ok()
            && status_line.ends_with(b"202")
    });
}

#[test]
fn idle_clients_that_occupy_all_descriptors_block_neither_discovery_nor_calls_nor_shutdown() {
    let (old, new) = (FakeEndpoint::new(|_, _| OK), FakeEndpoint::new(|_, _| OK));
    let lists = |old_state, new_state| {
        let draining = ("d-9", old.address, "one", 9, "draining");
        list_json(&[
            ("s-1", old.address, "one", 7, old_state),
            ("s-2", new.address, "one", 7, new_state),
            draining,
        ])
    };
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    let discovery = Discovery::start(listener, lists("up", "draining"));
    let mut node = Node::with_discovery_and_descriptor_limit(address, DESCRIPTORS).ready();
    let stop = Arc::new(AtomicBool::new(false));
    connect_idle_clients(node.address, 3 * DESCRIPTORS, &stop);
    connect_idle_clients(node.admin_address.expect("an address"), DESCRIPTORS, &stop);
    submit_until_accepted(&node, "m1", 7, 20_000);
    wait_until("m1 is delivered", || old.attempt_count("m1") == 1);
    discovery.stop();
    wait_until("the sender has lost discovery", || {
        node.logged("no connection")
    });
    // the only endpoint of destination 9 drains, so m2 expires, and its notification waits for discovery
    submit_until_accepted(&node, "m2", 9, 200);
    submit_until_accepted(&node, "m3", 7, 20_000);
    wait_until("m3 is delivered", || old.attempt_count("m3") == 1);
    let listener = TcpListener::bind(address).expect("the same port");
    let restarted = Discovery::start(listener, lists("draining", "up"));
    wait_until("the sender watches the list again", || {
        restarted.watch_count.load(Ordering::SeqCst) > 0
    });
    wait_until("the notification arrives", || {
        restarted
            .notifications
            .lock()
            .expect("not poisoned")
            .contains("m2")
    });
    let mut round = 0;
    wait_until("the new endpoint list is used", || {
        round += 1;
        let id = format!("l{round}");
        submit_until_accepted(&node, &id, 7, 20_000);
        wait_until("the message is delivered", || {
            old.attempt_count(&id) + new.attempt_count(&id) > 0
        });
        new.attempt_count(&id) > 0
    });
    node.terminate();
    assert!(node.process.wait().expect("the process ends").success());
    stop.store(true, Ordering::SeqCst);
    let log = node.log.lock().expect("not poisoned").join("\n");
    assert!(
        !log.contains("os error 24") && !log.contains("no descriptor"),
        "{log}"
    );
}
