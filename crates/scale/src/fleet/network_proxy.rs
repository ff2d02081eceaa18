//! A TCP proxy in this process, in front of a coordinator or session proxy. It counts the traffic, can simulate a
//! network partition or an ended process, and follows the upstream process to its new port after a restart.

use super::meter::{Meter, Traffic};
use crate::Error;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::runtime::Handle;
use tokio::sync::watch;

/// Length of the accept queue; a whole fleet connects at once.
const BACKLOG: u32 = 4096;

/// How a proxy or listener treats connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum LinkState {
    /// Forwards all bytes.
    #[default]
    Open,
    /// Forwards nothing and keeps connections open, as in a network partition.
    Partitioned,
    /// Resets every connection, as if the process had ended.
    Resetting,
}

/// A metered TCP proxy to one upstream address.
#[derive(Debug, Clone)]
pub struct NetworkProxy {
    /// Address that clients connect to.
    pub address: SocketAddr,
    /// Counts the traffic.
    pub meter: Meter,
    upstream: Arc<watch::Sender<Option<SocketAddr>>>,
    link_state: Arc<watch::Sender<LinkState>>,
}

/// Listens on a loopback port chosen by the system.
///
/// # Errors
/// No port is available.
pub fn listen() -> Result<TcpListener, Error> {
    let try_listen = || {
        let socket = TcpSocket::new_v4()?;
        socket.bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        socket.listen(BACKLOG)
    };
    try_listen().map_err(Error::io("a port on loopback"))
}

/// Closes a connection with a TCP reset.
pub fn reset(stream: &TcpStream) {
    // if this fails, the connection closes with FIN instead
    let _ = socket2::SockRef::from(stream).set_linger(Some(std::time::Duration::ZERO));
}

impl NetworkProxy {
    /// Starts a proxy on the runtime, without an upstream address.
    ///
    /// # Errors
    /// No port is available.
    pub fn start(runtime: &Handle, meter: Meter) -> Result<Self, Error> {
        let _entered = runtime.enter();
        let listener = listen()?;
        let proxy = NetworkProxy {
            address: listener
                .local_addr()
                .map_err(Error::io("a port on loopback"))?,
            meter,
            upstream: Arc::new(watch::Sender::new(None)),
            link_state: Arc::new(watch::Sender::new(LinkState::Open)),
        };
        runtime.spawn(proxy.clone().serve(listener));
        Ok(proxy)
    }

    /// Sets the upstream address for new connections; with none, they are reset.
    pub fn set_upstream(&self, address: Option<SocketAddr>) {
        self.upstream.send_replace(address);
    }

    /// Sets how connections are treated from now on, including those already open.
    pub fn set_link_state(&self, link_state: LinkState) {
        self.link_state.send_replace(link_state);
    }

    async fn serve(self, listener: TcpListener) {
        loop {
            let Ok((client, _)) = listener.accept().await else {
                tokio::time::sleep(std::time::Duration::from_millis(50)).await;
                continue;
            };
            tokio::spawn(self.clone().forward(client));
        }
    }

    async fn forward(self, client: TcpStream) {
        let mut link_state = self.link_state.subscribe();
        let to = *self.upstream.borrow();
        let (LinkState::Open, Some(to)) = (*link_state.borrow_and_update(), to) else {
            // A connection made during a partition gets no response, and is reset when the partition ends. Without an
            // upstream address, or while the link resets connections, it is reset at once.
            let _ = link_state
                .wait_for(|link_state| *link_state != LinkState::Partitioned)
                .await;
            return reset(&client);
        };
        let Ok(server) = TcpStream::connect(to).await else {
            return reset(&client);
        };
        for stream in [&client, &server] {
            // without TCP_NODELAY bytes still pass, only later
            let _ = stream.set_nodelay(true);
        }
        self.meter.count(Traffic {
            opened: 1,
            ..Traffic::default()
        });
        let ((from_client, to_client), (from_server, to_server)) =
            (client.into_split(), server.into_split());
        let outbound = forward_bytes(from_client, to_server, link_state.clone(), |bytes| {
            let requests = u64::from(bytes.starts_with(b"POST /") || bytes.starts_with(b"GET /"));
            self.meter.count(Traffic {
                requests,
                request_bytes: bytes.len() as u64,
                ..Traffic::default()
            });
        });
        let inbound = forward_bytes(from_server, to_client, link_state.clone(), |bytes| {
            let responses = u64::from(bytes.starts_with(b"HTTP/1.1 "));
            self.meter.count(Traffic {
                responses,
                response_bytes: bytes.len() as u64,
                ..Traffic::default()
            });
        });
        // the end of one direction is forwarded; a change of the link state ends both directions
        tokio::join!(outbound, inbound);
    }
}

/// Forwards one direction until it ends or the link state changes. After a change no byte is forwarded, and the
/// connection is reset as soon as the link is no longer partitioned.
async fn forward_bytes(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut link_state: watch::Receiver<LinkState>,
    count: impl Fn(&[u8]),
) {
    let mut buffer = vec![0; 16 * 1024];
    loop {
        let read = tokio::select! {
            read = from.read(&mut buffer) => Some(read.unwrap_or(0)),
            changed = link_state.wait_for(|link_state| *link_state != LinkState::Open) => {
                drop(changed);
                None
            }
        };
        let Some(read) = read else {
            let _ = link_state
                .wait_for(|link_state| *link_state != LinkState::Partitioned)
                .await;
            reset(from.as_ref());
            return reset(to.as_ref());
        };
        let bytes = &buffer[..read];
        if read == 0 || to.write_all(bytes).await.is_err() {
            let _ = to.shutdown().await;
            return;
        }
        count(bytes);
    }
}
