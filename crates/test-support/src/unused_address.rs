//! Reserves addresses on which nothing listens.

use socket2::{Domain, Socket, Type};
use std::net::{IpAddr, SocketAddr};

/// A local address with a port that stays reserved, with nothing listening on it, until this value is dropped.
pub struct UnusedAddress {
    /// The reserved address.
    pub address: SocketAddr,
    _bound: Socket,
}

impl UnusedAddress {
    /// Reserves a free port of the given local IP address.
    ///
    /// The port is bound, and nothing listens on it even briefly. Otherwise a child process that another thread starts
    /// while the port listens would hold a copy of the listening descriptor until its `exec`, and the port would accept
    /// connections until then.
    ///
    /// # Panics
    ///
    /// If the system has no free port.
    pub fn bind_on(address: impl Into<IpAddr>) -> Self {
        let address = SocketAddr::new(address.into(), 0);
        let socket =
            Socket::new(Domain::for_address(address), Type::STREAM, None).expect("a socket");
        // lets a process listen on the port while this socket, or a child process's copy of it, is still open
        socket.set_reuse_address(true).expect("set");
        socket.bind(&address.into()).expect("a port");
        let address = socket
            .local_addr()
            .ok()
            .and_then(|bound| bound.as_socket())
            .expect("bound");
        UnusedAddress {
            address,
            _bound: socket,
        }
    }
}
