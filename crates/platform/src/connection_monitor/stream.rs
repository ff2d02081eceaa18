//! An endpoint's socket, whose bytes are looked at on their way.

use super::Wire;
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

/// Bytes of an answer that are still looked at once nobody waits for it: more than a head has.
const LAST_LOOK: usize = 4096;

/// An endpoint's stream, with an eye on the raw bytes.
#[derive(Debug)]
pub(crate) struct MonitoredStream {
    /// The socket.
    pub stream: TcpStream,
    /// What its bytes tell.
    pub wire: Rc<Wire>,
    /// Its descriptor; free again when this is dropped.
    pub _place: OwnedSemaphorePermit,
}

impl MonitoredStream {
    /// An error if something came behind the last answer, or the end: it must not be taken for the answer to
    /// the call that is about to be written.
    fn look(&self) -> io::Result<()> {
        if !self.wire.look.take() {
            return Ok(());
        }
        match SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit()]) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(()),
            Err(error) => Err(error),
            Ok(bytes) => {
                if bytes > 0 {
                    self.wire.set_unsolicited(&[]);
                }
                Err(io::Error::new(io::ErrorKind::ConnectionAborted, "not idle"))
            }
        }
    }

    fn count(&self, result: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(bytes)) = &result {
            let written = self.wire.written.get() + *bytes as u64;
            self.wire.written.set(written);
            if let Some(whole) = self
                .wire
                .whole
                .borrow_mut()
                .take_if(|whole| written >= whole.at)
            {
                whole.tries.set(whole.tries.get() + whole.messages);
                self.wire.written_at.set(Some(Instant::now()));
            }
        }
        result
    }
}

impl Drop for MonitoredStream {
    /// Nobody waits for the answer any more, but what has come of it may tell a wait, and that binds.
    fn drop(&mut self) {
        let mut bytes = [0; LAST_LOOK];
        if let Ok(count) = (&*SockRef::from(&self.stream)).read(&mut bytes) {
            // an error is for who reads on
            let _ = self.wire.pass(bytes.get_mut(..count).unwrap_or_default());
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
        let room = buffer.remaining();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let new = buffer.filled_mut().get_mut(before..).unwrap_or_default();
        if new.is_empty() && room > 0 {
            self.wire.end_of_stream.set(true);
        }
        Poll::Ready(self.wire.pass(new))
    }
}

impl AsyncWrite for MonitoredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.look()?;
        let result = Pin::new(&mut self.stream).poll_write(context, buffer);
        self.count(result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.look()?;
        let result = Pin::new(&mut self.stream).poll_write_vectored(context, buffers);
        self.count(result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        while self.wire.awaits_end() {
            let mut bytes = [0; LAST_LOOK];
            ready!(
                self.as_mut()
                    .poll_read(context, &mut ReadBuf::new(&mut bytes))
            )?;
        }
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
