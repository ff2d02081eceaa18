//! The byte stream of a client's connection, as the HTTP server reads and writes it.

use super::{ConnectionState, MAX_LINGER_BYTES};
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use rustix::net::Shutdown;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Whether the client has closed its side of the connection, or the connection is broken. Bytes that the client wrote
/// before may still be unread.
pub(super) fn has_left(socket: &TcpStream) -> bool {
    let closed = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
    let mut descriptors = [PollFd::new(socket, closed)];
    let immediately = Timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    // if the state is not known, the connection counts as open, and the next read or write tells
    poll(&mut descriptors, Some(&immediately)).is_ok_and(|count| count > 0)
}

/// A client's stream. Records the request head that is being read, and shuts down without a reset.
pub(super) struct ClientStream {
    socket: Rc<TcpStream>,
    state: Rc<ConnectionState>,
    discarded_bytes: usize,
}

impl ClientStream {
    pub(super) fn new(socket: Rc<TcpStream>, state: Rc<ConnectionState>) -> Self {
        ClientStream {
            socket,
            state,
            discarded_bytes: 0,
        }
    }

    /// Reads what has arrived into a buffer.
    fn poll_read_socket(
        &self,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.socket.poll_read_ready(context))?;
            match self.socket.try_read_buf(buffer) {
                Ok(_) => return Poll::Ready(Ok(())),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }

    /// Writes by `try_write` once the socket is writable.
    fn poll_write_socket(
        &self,
        context: &mut Context<'_>,
        try_write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.socket.poll_write_ready(context))?;
            match try_write(&self.socket) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                result => return self.end_request_if_written(Poll::Ready(result)),
            }
        }
    }

    fn end_request_if_written(&self, result: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if matches!(result, Poll::Ready(Ok(1..))) {
            self.state.end_request();
        }
        result
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let result = self.poll_read_socket(context, buffer);
        self.state.record_read(&buffer.filled()[before..]);
        result
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_socket(context, |socket| socket.try_write(buffer))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_socket(context, |socket| socket.try_write_vectored(buffers))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    /// Does nothing: a socket has no buffer of its own to flush.
    fn poll_flush(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    /// Shuts down the write side, then reads and discards at most [`MAX_LINGER_BYTES`] of input.
    /// `ConnectionState::deadline` limits the time.
    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        rustix::net::shutdown(&*self.socket, Shutdown::Write)?;
        let mut scratch = [0; 8192];
        while self.discarded_bytes < MAX_LINGER_BYTES {
            let mut buffer = ReadBuf::new(&mut scratch);
            match ready!(self.poll_read_socket(context, &mut buffer)) {
                Ok(()) if !buffer.filled().is_empty() => {
                    self.discarded_bytes += buffer.filled().len();
                }
                _ => break,
            }
        }
        Poll::Ready(Ok(()))
    }
}
