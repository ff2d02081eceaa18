//! An address at which connections are not established until a server starts there.

use crate::{FakeEndpoint, Reply, Request};
use socket2::{Domain, Socket, Type};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// More connections than a listener with the shortest queue takes.
const FILLING_CONNECTIONS: usize = 8;
/// Time after which a connection counts as not established.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(50);

/// A listening socket whose queue is full, so that the kernel drops requests for further connections. Their clients
/// repeat these requests, so the connections are established once the queue has room.
pub struct StalledAddress {
    /// The address.
    pub address: SocketAddr,
    listener: TcpListener,
    _filling: Vec<TcpStream>,
}

impl StalledAddress {
    /// Listens on a free loopback port, and fills the queue.
    #[must_use]
    pub fn new() -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        socket.bind(&any_port.into()).expect("a port");
        socket.listen(0).expect("listening");
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().expect("bound");
        let connect = |_| TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).ok();
        let filling: Vec<TcpStream> = (0..FILLING_CONNECTIONS).filter_map(connect).collect();
        assert!(filling.len() < FILLING_CONNECTIONS, "the queue is full");
        StalledAddress {
            address,
            listener,
            _filling: filling,
        }
    }

    /// Starts a server at the address.
    #[must_use]
    pub fn serve(
        self,
        script: impl Fn(&Request, usize) -> Reply + Send + Sync + 'static,
    ) -> FakeEndpoint {
        FakeEndpoint::on_listener(self.listener, script)
    }
}

impl Default for StalledAddress {
    fn default() -> Self {
        Self::new()
    }
}
