//! Addresses on which nothing listens.

use socket2::{Domain, Socket, Type};
use std::net::{IpAddr, SocketAddr};

/// An address on which nothing listens, as long as this lives.
pub struct UnusedAddress {
    /// The address.
    pub address: SocketAddr,
    _bound: Socket,
}

impl UnusedAddress {
    /// Takes a port of this machine. It is bound and nothing listens on it, not even for a moment: a process that
    /// another thread starts in that moment holds a copy of the descriptor until its `exec`, and would go on
    /// accepting in its name.
    ///
    /// # Panics
    ///
    /// When the system has no port.
    pub fn bind_on(address: impl Into<IpAddr>) -> Self {
        let address = SocketAddr::new(address.into(), 0);
        let socket =
            Socket::new(Domain::for_address(address), Type::STREAM, None).expect("a socket");
        // the one that is to listen there binds beside what is left of this one
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
