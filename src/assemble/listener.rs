//! The listening socket for clients, and the limits on open connections.

use super::running::SharedHandles;
use milletturn_platform::ResourceBudget;
use milletturn_platform::http_transport::HttpTransport;
use milletturn_platform::server::Server;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::Semaphore;

/// Connections that the kernel queues until they are accepted. Covers a burst in which all clients of a large
/// installation connect at once; the kernel may apply a lower limit of its own.
const BACKLOG: u32 = 1024;

/// The limits of open connections; each permit stands for one file descriptor.
#[derive(Clone)]
pub(super) struct ConnectionLimits {
    /// Connections from clients.
    pub(super) clients: Arc<Semaphore>,
    /// Connections to endpoints.
    pub(super) calls: Arc<Semaphore>,
}

impl ConnectionLimits {
    pub(super) fn new(budget: &ResourceBudget, transport: &HttpTransport) -> Self {
        ConnectionLimits {
            clients: Arc::new(Semaphore::new(budget.client_connections)),
            calls: transport.descriptors(),
        }
    }
}

/// Creates the HTTP server for clients.
pub(super) fn http_server(
    handles: &SharedHandles,
    limits: &ConnectionLimits,
    budget: &ResourceBudget,
) -> Server {
    Server {
        connection_slots: limits.clients.clone(),
        classes: handles.classes.clone(),
        inputs: handles.inputs.clone(),
        ready: handles.ready.clone(),
        drain_gate: handles.gate.clone(),
        max_connections: budget.client_connections,
        waiting_slots: Arc::new(Semaphore::new(budget.extra_connections)),
        lingering_slots: Arc::new(Semaphore::new(budget.extra_connections)),
        body_bytes: Semaphore::new(budget.body_bytes),
    }
}

/// Returns the inherited listening socket, or binds a new one to the address, which other processes may share.
pub(super) fn into_shared_listener(
    inherited: Option<std::net::TcpListener>,
    address: SocketAddr,
) -> std::io::Result<TcpListener> {
    match inherited {
        Some(listener) => {
            listener.set_nonblocking(true)?;
            TcpListener::from_std(listener)
        }
        None => listen(address, true),
    }
}

/// Listens on the address. With `is_shared`, another process may listen on the same address (`SO_REUSEPORT`).
pub(super) fn listen(address: SocketAddr, is_shared: bool) -> std::io::Result<TcpListener> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_reuseaddr(true)?;
    socket.set_reuseport(is_shared)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
