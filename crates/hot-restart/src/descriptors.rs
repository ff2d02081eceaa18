//! The hello of eight bytes that opens the connection, and the file descriptors that are sent with the old process's
//! hello as ancillary data (`SCM_RIGHTS`, see unix(7)).

use crate::{FORMAT_VERSION, HotRestartError};
use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags, recvmsg, sendmsg,
};
use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::os::fd::{BorrowedFd, OwnedFd};
use tokio::io::Interest;
use tokio::net::UnixStream;

const MAGIC: [u8; 4] = *b"MTH1";

/// The first bytes that either process sends: a magic number and the format version in little-endian byte order.
pub(crate) fn hello() -> [u8; 8] {
    let mut bytes = [0; 8];
    bytes[..4].copy_from_slice(&MAGIC);
    bytes[4..].copy_from_slice(&FORMAT_VERSION.to_le_bytes());
    bytes
}

/// The format version in a hello. `None` if the bytes are not a hello.
pub(crate) fn format_version_of(hello: [u8; 8]) -> Option<u32> {
    let (magic, version) = hello.split_at(4);
    (magic == MAGIC).then(|| version.try_into().map(u32::from_le_bytes).unwrap_or(0))
}

/// Sends a hello with two file descriptors.
///
/// # Errors
/// When the socket fails.
pub(crate) async fn send_descriptors(
    stream: &UnixStream,
    descriptors: [BorrowedFd<'_>; 2],
) -> Result<(), HotRestartError> {
    let hello = hello();
    loop {
        stream.writable().await?;
        let sent = stream.try_io(Interest::WRITABLE, || {
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(2))];
            let mut ancillary = SendAncillaryBuffer::new(&mut space);
            if !ancillary.push(SendAncillaryMessage::ScmRights(&descriptors)) {
                return Err(io::ErrorKind::OutOfMemory.into());
            }
            Ok(sendmsg(
                stream,
                &[IoSlice::new(&hello)],
                &mut ancillary,
                SendFlags::NOSIGNAL,
            )?)
        });
        match sent {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            // no partial write needs handling: the send buffer is empty, so all eight bytes fit
            other => return other.map(drop).map_err(HotRestartError::from),
        }
    }
}

/// Receives a hello with two file descriptors. Returns the format version and the descriptors.
///
/// # Errors
/// When the socket fails, or when the received bytes are not a hello with exactly two descriptors.
pub(crate) async fn receive_descriptors(
    stream: &UnixStream,
) -> Result<(u32, [OwnedFd; 2]), HotRestartError> {
    loop {
        stream.readable().await?;
        let mut bytes = [0; 8];
        let received = stream.try_io(Interest::READABLE, || receive_once(stream, &mut bytes));
        match received {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(error) => return Err(error.into()),
            Ok((length, descriptors)) => {
                let version = format_version_of(bytes).filter(|_| length == bytes.len());
                let version = version.ok_or(HotRestartError::Protocol("not a valid hello"))?;
                let descriptors = descriptors
                    .try_into()
                    .map_err(|_| HotRestartError::Protocol("not exactly two descriptors"))?;
                return Ok((version, descriptors));
            }
        }
    }
}

/// Receives one message. Returns the number of bytes, and the descriptors that came with them.
fn receive_once(stream: &UnixStream, bytes: &mut [u8]) -> io::Result<(usize, Vec<OwnedFd>)> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(2))];
    let mut ancillary = RecvAncillaryBuffer::new(&mut space);
    let mut parts = [IoSliceMut::new(bytes)];
    let message = recvmsg(stream, &mut parts, &mut ancillary, RecvFlags::CMSG_CLOEXEC)?;
    let descriptors: Vec<OwnedFd> = ancillary
        .drain()
        .filter_map(|message| match message {
            RecvAncillaryMessage::ScmRights(descriptors) => Some(descriptors),
            _ => None,
        })
        .flatten()
        .collect();
    Ok((message.bytes, descriptors))
}
