//! A TCP link that cuts, stalls or delays each connection as the test chose when it started the link.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

/// The fault that a scripted link applies to one connection.
#[derive(Debug, Clone, Copy)]
pub enum ConnectionFault {
    /// Forwards all bytes without delay.
    None,
    /// Forwards this number of bytes to the server, then closes both connections. The client gets a reset if the link
    /// has not read all that the client sent.
    CutAfter(usize),
    /// Forwards this number of bytes to the server and none to the client, then stalls with both connections open.
    StallAfter(usize),
    /// Forwards all bytes in both directions, each read delayed by this duration.
    Delay(Duration),
}

/// Starts a link that forwards to `server`, and returns its address.
///
/// `fault_of` is called with the number of each connection, counted from 0, and returns the fault to apply.
///
/// # Panics
/// If there is no free port.
pub fn scripted_link(
    server: SocketAddr,
    fault_of: impl Fn(usize) -> ConnectionFault + Send + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("the listener has an address");
    thread::spawn(move || {
        for (number, client_stream) in listener.incoming().flatten().enumerate() {
            let Ok(server_stream) = TcpStream::connect(server) else {
                continue;
            };
            let fault = fault_of(number);
            let client_clone = client_stream.try_clone().expect("the socket can be cloned");
            let server_clone = server_stream.try_clone().expect("the socket can be cloned");
            thread::spawn(move || forward(client_stream, server_stream, fault));
            let fault_to_client = match fault {
                ConnectionFault::Delay(_) => fault,
                ConnectionFault::StallAfter(_) => ConnectionFault::StallAfter(0),
                ConnectionFault::None | ConnectionFault::CutAfter(_) => ConnectionFault::None,
            };
            thread::spawn(move || forward(server_clone, client_clone, fault_to_client));
        }
    });
    address
}

/// Copies the bytes of one direction until the connection ends or the fault is due.
fn forward(mut from: TcpStream, mut to: TcpStream, fault: ConnectionFault) {
    let mut remaining_bytes = match fault {
        ConnectionFault::CutAfter(bytes) | ConnectionFault::StallAfter(bytes) => Some(bytes),
        ConnectionFault::None | ConnectionFault::Delay(_) => None,
    };
    let mut buffer = [0; 4096];
    loop {
        let max_read = remaining_bytes.map_or(buffer.len(), |bytes| bytes.min(buffer.len()));
        if max_read == 0 {
            return apply_fault(&from, &to, fault);
        }
        match from.read(&mut buffer[..max_read]) {
            Ok(0) | Err(_) => {
                let _ = to.shutdown(Shutdown::Write);
                return;
            }
            Ok(count) => {
                if let ConnectionFault::Delay(delay) = fault {
                    thread::sleep(delay);
                }
                remaining_bytes = remaining_bytes.map(|bytes| bytes - count);
                if to.write_all(&buffer[..count]).is_err() {
                    return;
                }
            }
        }
    }
}

/// Applies a cut or a stall once the bytes that precede it have been forwarded.
fn apply_fault(from: &TcpStream, to: &TcpStream, fault: ConnectionFault) {
    if matches!(fault, ConnectionFault::StallAfter(_)) {
        loop {
            // both ends stay open for as long as the test runs
            thread::park();
        }
    }
    // ends both threads of the connection, which closes its sockets; TCP sends a reset when a socket is closed with
    // unread bytes in its receive buffer
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}
