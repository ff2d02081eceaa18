//! A client that writes requests on one connection as fast as the server reads them.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// Requests that are written at once.
const REQUESTS_PER_WRITE: u64 = 64;

/// Writes requests without waiting for responses, which another thread reads and discards. Reconnects when its
/// connection ends. Stops when the value is dropped.
pub struct FloodingClient {
    stop: Arc<AtomicBool>,
    response_bytes: Arc<AtomicU64>,
    thread: Option<JoinHandle<()>>,
}

impl FloodingClient {
    /// Starts to write requests. `request` returns the bytes of the request with a number, counted from 0.
    #[must_use]
    pub fn start(address: SocketAddr, request: impl Fn(u64) -> Vec<u8> + Send + 'static) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let response_bytes = Arc::new(AtomicU64::new(0));
        let (stopped, received) = (stop.clone(), response_bytes.clone());
        let thread = thread::spawn(move || {
            let mut next = 0;
            while !stopped.load(Ordering::SeqCst) {
                let Ok(stream) = TcpStream::connect(address) else {
                    continue;
                };
                let reader = spawn_reader(&stream, received.clone());
                write_requests(stream, &request, &mut next, &stopped);
                let _ = reader.join();
            }
        });
        FloodingClient {
            stop,
            response_bytes,
            thread: Some(thread),
        }
    }

    /// Number of bytes that have been received in responses.
    #[must_use]
    pub fn response_bytes(&self) -> u64 {
        self.response_bytes.load(Ordering::SeqCst)
    }
}

impl Drop for FloodingClient {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn spawn_reader(stream: &TcpStream, received: Arc<AtomicU64>) -> JoinHandle<()> {
    let mut stream = stream.try_clone().expect("cloned");
    thread::spawn(move || {
        let mut buffer = [0; 64 * 1024];
        while let Ok(count @ 1..) = stream.read(&mut buffer) {
            received.fetch_add(count as u64, Ordering::SeqCst);
        }
    })
}

fn write_requests(
    mut stream: TcpStream,
    request: &impl Fn(u64) -> Vec<u8>,
    next: &mut u64,
    stopped: &AtomicBool,
) {
    let _ = stream.set_write_timeout(Some(Duration::from_secs(1)));
    while !stopped.load(Ordering::SeqCst) {
        let batch: Vec<u8> = (*next..*next + REQUESTS_PER_WRITE)
            .flat_map(request)
            .collect();
        *next += REQUESTS_PER_WRITE;
        if stream.write_all(&batch).is_err() {
            break;
        }
    }
    let _ = stream.shutdown(std::net::Shutdown::Both);
}
