//! A TCP proxy in this process, in front of a coordinator or session proxy. It counts the traffic, can simulate a
//! network partition or a dead host, and follows the upstream process to its new port after a restart.

use super::meter::{Meter, Passed};
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
pub enum Way {
    /// Forwards all bytes.
    #[default]
    Pass,
    /// Forwards nothing and keeps connections open, as in a network partition.
    Silent,
    /// Resets every connection, as where the process has ended.
    Down,
}

/// A metered TCP proxy to one upstream address.
#[derive(Debug, Clone)]
pub struct Relay {
    /// Address that clients connect to.
    pub address: SocketAddr,
    /// Counts the traffic.
    pub meter: Meter,
    to: Arc<watch::Sender<Option<SocketAddr>>>,
    way: Arc<watch::Sender<Way>>,
}

/// Listens on a loopback port chosen by the system.
///
/// # Errors
/// No port is available.
pub fn listen() -> Result<TcpListener, Error> {
    let bound = || {
        let socket = TcpSocket::new_v4()?;
        socket.bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        socket.listen(BACKLOG)
    };
    bound().map_err(Error::io("a port on loopback"))
}

/// Closes a connection with a TCP reset.
pub fn reset(stream: &TcpStream) {
    // if this fails, the connection closes with FIN instead
    let _ = socket2::SockRef::from(stream).set_linger(Some(std::time::Duration::ZERO));
}

impl Relay {
    /// Starts a proxy on the runtime, without an upstream address.
    ///
    /// # Errors
    /// No port is available.
    pub fn start(runtime: &Handle, meter: Meter) -> Result<Self, Error> {
        let _entered = runtime.enter();
        let listener = listen()?;
        let relay = Relay {
            address: listener
                .local_addr()
                .map_err(Error::io("a port on loopback"))?,
            meter,
            to: Arc::new(watch::Sender::new(None)),
            way: Arc::new(watch::Sender::new(Way::Pass)),
        };
        runtime.spawn(relay.clone().serve(listener));
        Ok(relay)
    }

    /// Sets the upstream address for new connections; with none, they are reset.
    pub fn lead_to(&self, address: Option<SocketAddr>) {
        self.to.send_replace(address);
    }

    /// Sets how connections are treated from now on, those already open included.
    pub fn set(&self, way: Way) {
        self.way.send_replace(way);
    }

    async fn serve(self, listener: TcpListener) {
        loop {
            let Ok((near, _)) = listener.accept().await else {
                tokio::time::sleep(std::time::Duration::from_millis(50)).await;
                continue;
            };
            tokio::spawn(self.clone().pass(near));
        }
    }

    async fn pass(self, near: TcpStream) {
        let mut way = self.way.subscribe();
        let to = *self.to.borrow();
        let (Way::Pass, Some(to)) = (*way.borrow_and_update(), to) else {
            // a connection made during the partition gets no response, and is reset when the partition ends
            let _ = way.wait_for(|way| *way != Way::Silent).await;
            return reset(&near);
        };
        let Ok(far) = TcpStream::connect(to).await else {
            return reset(&near);
        };
        for stream in [&near, &far] {
            // without TCP_NODELAY bytes still pass, only later
            let _ = stream.set_nodelay(true);
        }
        self.meter.count(Passed {
            opened: 1,
            ..Passed::default()
        });
        let ((from_near, to_near), (from_far, to_far)) = (near.into_split(), far.into_split());
        let there = pump(from_near, to_far, way.clone(), |bytes| {
            let asked = u64::from(bytes.starts_with(b"POST /") || bytes.starts_with(b"GET /"));
            self.meter.count(Passed {
                asked,
                bytes_asked: bytes.len() as u64,
                ..Passed::default()
            });
        });
        let back = pump(from_far, to_near, way.clone(), |bytes| {
            let told = u64::from(bytes.starts_with(b"HTTP/1.1 "));
            self.meter.count(Passed {
                told,
                bytes_told: bytes.len() as u64,
                ..Passed::default()
            });
        });
        // the end of one direction is forwarded; a change of the link state ends both directions
        tokio::join!(there, back);
    }
}

/// Forwards one direction until it ends or the link state changes. After a change no byte is forwarded, and the
/// connection is reset as soon as the link is not silent.
async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut way: watch::Receiver<Way>,
    count: impl Fn(&[u8]),
) {
    let mut buffer = vec![0; 16 * 1024];
    loop {
        let read = tokio::select! {
            read = from.read(&mut buffer) => Some(read.unwrap_or(0)),
            changed = way.wait_for(|way| *way != Way::Pass) => {
                drop(changed);
                None
            }
        };
        let Some(read) = read else {
            let _ = way.wait_for(|way| *way != Way::Silent).await;
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
