//! The connection between two processes of one aggregator. It carries lines of JSON and, once, the listening sockets.

use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::os::fd::{AsFd, OwnedFd};
use std::os::unix::net::UnixStream;

use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use rustix::net::{
    recvmsg, sendmsg, sockopt, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};

use super::Message;
use crate::net::{self, Stream};

/// The longest accepted line, in bytes: the state includes all entries of the replicated store.
const MAX_LINE_BYTES: usize = 64 * 1024 * 1024;
/// The maximum number of sockets that are passed: those for clients and for the replicated store.
const MAX_SOCKETS: usize = 2;

/// A connection to the other process.
pub struct Link {
    stream: Async<UnixStream>,
}

impl Link {
    /// Wraps a connection to a process of the same user.
    ///
    /// # Errors
    /// Returns an error if the other process belongs to another user, with whom no sockets may be exchanged.
    pub fn new(stream: Async<UnixStream>) -> io::Result<Self> {
        let peer_uid = sockopt::socket_peercred(stream.as_fd())?.uid;
        if peer_uid != rustix::process::geteuid() {
            return Err(io::Error::new(
                io::ErrorKind::PermissionDenied,
                "the other process belongs to another user",
            ));
        }
        Ok(Link { stream })
    }

    /// Sends a message.
    ///
    /// # Errors
    /// Returns an error if the other process has ended.
    pub async fn send(&self, message: &Message) -> io::Result<()> {
        let mut line = serde_json::to_vec(message)?;
        line.push(b'\n');
        Stream::from(&self.stream).write_all(&line).await
    }

    /// Sends sockets as ancillary data of one byte.
    ///
    /// # Errors
    /// Returns an error if the other process has ended.
    pub async fn send_sockets(&self, sockets: &[OwnedFd]) -> io::Result<()> {
        let borrowed: Vec<_> = sockets.iter().map(AsFd::as_fd).collect();
        let send = |stream: &UnixStream| {
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_SOCKETS))];
            let mut control = SendAncillaryBuffer::new(&mut space);
            if !borrowed.is_empty() && !control.push(SendAncillaryMessage::ScmRights(&borrowed)) {
                return Err(io::ErrorKind::InvalidInput.into());
            }
            Ok(sendmsg(stream, &[IoSlice::new(b"s")], &mut control, SendFlags::NOSIGNAL)?)
        };
        net::retry_transient(|| self.stream.write_with(send)).await.map(drop)
    }

    /// Receives sockets.
    ///
    /// # Errors
    /// Returns an error if the other process has ended.
    pub async fn receive_sockets(&self) -> io::Result<Vec<OwnedFd>> {
        let receive = |stream: &UnixStream| {
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_SOCKETS))];
            let mut control = RecvAncillaryBuffer::new(&mut space);
            let mut byte = [0];
            let flags = RecvFlags::CMSG_CLOEXEC;
            let received = recvmsg(stream, &mut [IoSliceMut::new(&mut byte)], &mut control, flags)?;
            if received.bytes == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let mut sockets = Vec::new();
            for message in control.drain() {
                if let RecvAncillaryMessage::ScmRights(received) = message {
                    sockets.extend(received);
                }
            }
            Ok(sockets)
        };
        net::retry_transient(|| self.stream.read_with(receive)).await
    }
}

/// Splits what arrives on a link into lines.
#[derive(Default)]
pub struct LineReader {
    buffer: Vec<u8>,
    /// The length of the part of the buffer that contains no line break.
    searched: usize,
}

impl LineReader {
    /// Receives the next message. Is cancel-safe: if the future is dropped, a partly received line is kept.
    ///
    /// # Errors
    /// Returns an error if the other process has ended or a line cannot be parsed.
    pub async fn next_message(&mut self, link: &Link) -> io::Result<Message> {
        let mut bytes = [0; 8192];
        loop {
            let found = self.buffer[self.searched..].iter().position(|byte| *byte == b'\n');
            if let Some(end) = found.map(|at| self.searched + at) {
                let line: Vec<u8> = self.buffer.drain(..=end).collect();
                self.searched = 0;
                return serde_json::from_slice(&line)
                    .map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error.to_string()));
            }
            self.searched = self.buffer.len();
            if self.buffer.len() > MAX_LINE_BYTES {
                return Err(io::Error::new(io::ErrorKind::InvalidData, "line too long"));
            }
            match Stream::from(&link.stream).read(&mut bytes).await? {
                0 => return Err(io::ErrorKind::UnexpectedEof.into()),
                count => self.buffer.extend_from_slice(&bytes[..count]),
            }
        }
    }
}
