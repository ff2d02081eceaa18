//! Helpers that send and receive bytes and file descriptors on a Unix socket.

use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags, recvmsg, sendmsg,
};
use std::io::{IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::net::TcpListener;
use std::os::fd::{AsFd, OwnedFd};
use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest};
use tokio::net::UnixStream;

pub(crate) async fn read_exact(stream: &mut UnixStream, length: usize) -> Vec<u8> {
    let mut bytes = vec![0; length];
    stream
        .read_exact(&mut bytes)
        .await
        .expect("the given number of bytes");
    bytes
}

pub(crate) async fn write(stream: &mut UnixStream, bytes: &[u8]) {
    stream.write_all(bytes).await.expect("written");
}

/// Receives up to eight bytes, and the descriptors sent with them.
pub(crate) async fn receive(stream: &UnixStream) -> (Vec<u8>, Vec<OwnedFd>) {
    stream.readable().await.expect("readable");
    stream
        .try_io(Interest::READABLE, || {
            let mut bytes = [0; 8];
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(2))];
            let mut ancillary = RecvAncillaryBuffer::new(&mut space);
            let mut parts = [IoSliceMut::new(&mut bytes)];
            let length =
                recvmsg(stream, &mut parts, &mut ancillary, RecvFlags::CMSG_CLOEXEC)?.bytes;
            let descriptors = ancillary.drain().flat_map(|message| match message {
                RecvAncillaryMessage::ScmRights(descriptors) => descriptors.collect::<Vec<_>>(),
                _ => Vec::new(),
            });
            let descriptors = descriptors.collect();
            Ok((bytes[..length].to_vec(), descriptors))
        })
        .expect("received")
}

pub(crate) async fn send(stream: &UnixStream, hello: &[u8], descriptors: [&dyn AsFd; 2]) {
    stream.writable().await.expect("writable");
    stream
        .try_io(Interest::WRITABLE, || {
            let descriptors = descriptors.map(|descriptor| descriptor.as_fd());
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(2))];
            let mut ancillary = SendAncillaryBuffer::new(&mut space);
            assert!(ancillary.push(SendAncillaryMessage::ScmRights(&descriptors)));
            Ok(sendmsg(
                stream,
                &[IoSlice::new(hello)],
                &mut ancillary,
                SendFlags::NOSIGNAL,
            )?)
        })
        .expect("sent");
}

pub(crate) fn assert_same_address(one: &TcpListener, other: &TcpListener) {
    assert_eq!(
        one.local_addr().expect("bound"),
        other.local_addr().expect("bound")
    );
}
