//! A TCP link in front of an endpoint that cuts, stalls or delays by script.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

/// What a link does with one connection.
#[derive(Debug, Clone, Copy)]
pub enum Line {
    /// Passes all on.
    Pass,
    /// Passes so many bytes on towards the endpoint, then resets the connection to the sender.
    CutAfter(usize),
    /// Passes so many bytes on, then nothing more in either direction, with both connections open.
    StallAfter(usize),
    /// Passes all on, each read so much later.
    Delay(Duration),
}

/// Listens on an address of its own; the script says what becomes of each connection, by its number.
pub fn link(to: SocketAddr, script: impl Fn(usize) -> Line + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    thread::spawn(move || {
        for (number, near) in listener.incoming().flatten().enumerate() {
            let Ok(far) = TcpStream::connect(to) else { continue };
            let line = script(number);
            let (near_too, far_too) = (near.try_clone().expect("cloned"), far.try_clone().expect("cloned"));
            thread::spawn(move || pass(near, far, line));
            let back = match line {
                Line::Delay(_) => line,
                Line::StallAfter(_) => Line::StallAfter(0),
                _ => Line::Pass,
            };
            thread::spawn(move || pass(far_too, near_too, back));
        }
    });
    address
}

fn pass(mut from: TcpStream, mut to: TcpStream, line: Line) {
    let mut left = match line {
        Line::CutAfter(bytes) | Line::StallAfter(bytes) => bytes,
        _ => usize::MAX,
    };
    let mut buffer = [0; 4096];
    loop {
        let most = left.min(buffer.len());
        if most == 0 {
            match line {
                Line::StallAfter(_) => loop {
                    // both ends stay open for as long as the test runs
                    thread::park();
                },
                _ => {
                    // what stands unread makes the close a reset
                    let _ = from.shutdown(Shutdown::Both);
                    let _ = to.shutdown(Shutdown::Both);
                    return;
                }
            }
        }
        match from.read(&mut buffer[..most]) {
            Ok(0) | Err(_) => {
                let _ = to.shutdown(Shutdown::Write);
                return;
            }
            Ok(count) => {
                if let Line::Delay(time) = line {
                    thread::sleep(time);
                }
                left -= if left == usize::MAX { 0 } else { count };
                if to.write_all(&buffer[..count]).is_err() {
                    return;
                }
            }
        }
    }
}
