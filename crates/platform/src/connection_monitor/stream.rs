//! The socket of a connection to an endpoint, whose bytes pass through a [`ConnectionMonitor`].

use super::ConnectionMonitor;
use socket2::SockRef;
use std::io::{self, Read};
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::Instant;

/// Maximum number of bytes that are still read from the socket when the stream is dropped, for example after an aborted
/// call. Response heads are usually much smaller. Also the buffer size for reads while the sender waits for the
/// endpoint to close.
const MAX_FINAL_READ_BYTES: usize = 4096;

/// The stream of a connection to an endpoint. The monitor observes all bytes that are read and written.
#[derive(Debug)]
pub(crate) struct MonitoredStream {
    pub stream: TcpStream,
    pub monitor: Rc<ConnectionMonitor>,
    /// The permit for the file descriptor, which is released when the stream is dropped.
    pub _descriptor: OwnedSemaphorePermit,
}

impl MonitoredStream {
    /// Fails if data or the end of the stream has arrived since the last response: that data must not be taken for the
    /// response to the call that is about to be written.
    fn check_idle(&self) -> io::Result<()> {
        if !self.monitor.must_check_idle.take() {
            return Ok(());
        }
        match SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit()]) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(()),
            Err(error) => Err(error),
            Ok(bytes) => {
                if bytes > 0 {
                    self.monitor.set_unsolicited(&[]);
                }
                Err(io::Error::new(
                    io::ErrorKind::ConnectionAborted,
                    "data or end of stream on an idle connection",
                ))
            }
        }
    }

    /// Counts written bytes, and records when the current request is complete.
    fn record_written(&self, result: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(bytes)) = &result {
            let bytes_written = self.monitor.bytes_written.get() + *bytes as u64;
            self.monitor.bytes_written.set(bytes_written);
            if let Some(request) = self
                .monitor
                .request_in_progress
                .borrow_mut()
                .take_if(|request| bytes_written >= request.complete_at)
            {
                request
                    .attempts_written
                    .set(request.attempts_written.get() + request.message_count);
                self.monitor.request_written_at.set(Some(Instant::now()));
            }
        }
        result
    }
}

impl Drop for MonitoredStream {
    /// Reads once more from the socket: a response that nobody waits for may still contain a `Retry-After`, which must
    /// be respected.
    fn drop(&mut self) {
        let mut bytes = [0; MAX_FINAL_READ_BYTES];
        if let Ok(count) = (&*SockRef::from(&self.stream)).read(&mut bytes) {
            // the error would only stop further reads, and there are none
            let _ = self
                .monitor
                .process(bytes.get_mut(..count).unwrap_or_default());
        }
    }
}

impl AsyncRead for MonitoredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let capacity = buffer.remaining();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let received = buffer.filled_mut().get_mut(before..).unwrap_or_default();
        if received.is_empty() && capacity > 0 {
            self.monitor.has_end_of_stream.set(true);
        }
        Poll::Ready(self.monitor.process(received))
    }
}

impl AsyncWrite for MonitoredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.check_idle()?;
        let result = Pin::new(&mut self.stream).poll_write(context, buffer);
        self.record_written(result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.check_idle()?;
        let result = Pin::new(&mut self.stream).poll_write_vectored(context, buffers);
        self.record_written(result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        while self.monitor.awaits_end() {
            let mut bytes = [0; MAX_FINAL_READ_BYTES];
            ready!(
                self.as_mut()
                    .poll_read(context, &mut ReadBuf::new(&mut bytes))
            )?;
        }
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
