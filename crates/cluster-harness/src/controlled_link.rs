//! A TCP link that a test cuts, blocks and restores while connections use it.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;

/// What a controlled link does with the bytes of one direction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkMode {
    /// Forwards all bytes, including those buffered so far.
    Pass,
    /// Forwards no bytes but keeps connections open, and accepts new ones.
    Buffer,
}

/// Controls the faults of a link while connections use it; clones control the same link.
#[derive(Debug, Clone)]
pub struct LinkControl {
    shared: Arc<SharedLink>,
}

#[derive(Debug)]
struct SharedLink {
    state: Mutex<LinkState>,
    changed: Condvar,
}

#[derive(Debug)]
struct LinkState {
    server: Option<SocketAddr>,
    to_server: LinkMode,
    to_client: LinkMode,
    is_cut: bool,
    connections: BTreeMap<usize, Connection>,
    /// The bytes buffered on their way to the server, by the number of their connection.
    buffered_to_server: BTreeMap<usize, Vec<u8>>,
}

impl LinkState {
    fn buffers(&self, direction: Direction) -> bool {
        let mode = match direction {
            Direction::ToServer => self.to_server,
            Direction::ToClient => self.to_client,
        };
        !self.is_cut && mode == LinkMode::Buffer
    }
}

/// An open connection through the link.
#[derive(Debug)]
struct Connection {
    /// The sockets to the client and to the server.
    ends: [TcpStream; 2],
    /// The number of directions, 0 to 2, that have ended.
    ended_directions: u8,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    ToServer,
    ToClient,
}

/// Starts a link on a free port, and returns its address and its control.
///
/// The server is set later by [`LinkControl::forward_to`] and may change, since a restarted process has a different
/// port.
///
/// # Panics
/// If there is no free port.
#[must_use]
pub fn controlled_link() -> (SocketAddr, LinkControl) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("the listener has an address");
    let state = LinkState {
        server: None,
        to_server: LinkMode::Pass,
        to_client: LinkMode::Pass,
        is_cut: false,
        connections: BTreeMap::new(),
        buffered_to_server: BTreeMap::new(),
    };
    let control = LinkControl {
        shared: Arc::new(SharedLink {
            state: Mutex::new(state),
            changed: Condvar::new(),
        }),
    };
    let accepting_control = control.clone();
    thread::spawn(move || {
        for (number, client_stream) in listener.incoming().flatten().enumerate() {
            accepting_control.open(number, client_stream);
        }
    });
    (address, control)
}

impl LinkControl {
    /// Sets the server to which new connections are forwarded; existing connections stay.
    pub fn forward_to(&self, server: SocketAddr) {
        self.change(|state| state.server = Some(server));
    }

    /// Sets the mode of both directions, and restores the link after a cut.
    pub fn set_both(&self, mode: LinkMode) {
        self.set_directions(mode, mode);
    }

    /// Sets the mode of each direction, and restores the link after a cut. The client is the side that opens connections.
    pub fn set_directions(&self, to_server: LinkMode, to_client: LinkMode) {
        self.change(|state| {
            state.to_server = to_server;
            state.to_client = to_client;
            state.is_cut = false;
        });
    }

    /// Closes all connections and discards their buffered bytes. New connections are closed at once, until a mode is
    /// set.
    pub fn cut(&self) {
        self.change(|state| {
            state.is_cut = true;
            for connection in std::mem::take(&mut state.connections).into_values() {
                for end in connection.ends {
                    let _ = end.shutdown(Shutdown::Both);
                }
            }
        });
    }

    /// Whether the buffered bytes of a connection to the server begin with a POST request for this path.
    #[must_use]
    pub fn buffers_request(&self, path: &str) -> bool {
        let start = format!("POST {path} ");
        self.state()
            .buffered_to_server
            .values()
            .any(|bytes| bytes.starts_with(start.as_bytes()))
    }

    fn change(&self, change: impl FnOnce(&mut LinkState)) {
        change(&mut self.state());
        self.shared.changed.notify_all();
    }

    fn state(&self) -> MutexGuard<'_, LinkState> {
        self.shared
            .state
            .lock()
            .expect("no thread panics with the lock")
    }

    /// Connects a new client to the server. Closes the client's connection if no server is set, the link is cut, or the
    /// server can't be reached.
    fn open(&self, number: usize, client_stream: TcpStream) {
        let mut state = self.state();
        let Some(server) = state.server.filter(|_| !state.is_cut) else {
            return;
        };
        let Ok(server_stream) = TcpStream::connect(server) else {
            return;
        };
        for stream in [&client_stream, &server_stream] {
            let _ = stream.set_nodelay(true);
        }
        let clone = |stream: &TcpStream| stream.try_clone().expect("the socket can be cloned");
        let connection = Connection {
            ends: [clone(&client_stream), clone(&server_stream)],
            ended_directions: 0,
        };
        state.connections.insert(number, connection);
        drop(state);
        let (client_clone, server_clone) = (clone(&client_stream), clone(&server_stream));
        let (to_server, to_client) = (self.clone(), self.clone());
        thread::spawn(move || {
            to_server.pump(number, client_stream, server_stream, Direction::ToServer);
        });
        thread::spawn(move || {
            to_client.pump(number, server_clone, client_clone, Direction::ToClient);
        });
    }

    /// Records that one direction has ended, and closes the connection's sockets when both have.
    fn end_direction(&self, number: usize) {
        let mut state = self.state();
        if let Some(connection) = state.connections.get_mut(&number) {
            connection.ended_directions += 1;
            if connection.ended_directions == 2 {
                state.connections.remove(&number);
            }
        }
    }

    /// Copies the bytes of one direction until the connection ends.
    fn pump(&self, number: usize, mut from: TcpStream, mut to: TcpStream, direction: Direction) {
        let mut buffer = [0; 16 * 1024];
        loop {
            let count = from.read(&mut buffer).unwrap_or(0);
            let is_cut = self.wait_while_buffering(number, direction, &buffer[..count]);
            if count == 0 || is_cut || to.write_all(&buffer[..count]).is_err() {
                // the end of one direction is forwarded as a half-close; a cut closes both directions
                let _ = to.shutdown(if is_cut {
                    Shutdown::Both
                } else {
                    Shutdown::Write
                });
                return self.end_direction(number);
            }
        }
    }

    /// Waits while the direction is in buffering mode, and returns whether the link is cut afterwards.
    fn wait_while_buffering(&self, number: usize, direction: Direction, bytes: &[u8]) -> bool {
        let mut state = self.state();
        if direction == Direction::ToServer && !bytes.is_empty() && state.buffers(direction) {
            state.buffered_to_server.insert(number, bytes.to_vec());
        }
        state = self
            .shared
            .changed
            .wait_while(state, |state| state.buffers(direction))
            .expect("no thread panics with the lock");
        if direction == Direction::ToServer {
            state.buffered_to_server.remove(&number);
        }
        state.is_cut
    }
}
