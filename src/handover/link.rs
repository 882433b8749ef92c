//! A connection between two processes of one aggregator: lines of JSON, and once the listening sockets.

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

use super::Word;
use crate::net::{self, Stream};

/// The longest line: entries of the replicated store may be long.
const MOST_LINE: usize = 64 * 1024 * 1024;
/// The most sockets that are passed: clients' and the store's.
const MOST_SOCKETS: usize = 2;

/// The connection.
pub struct Link {
    stream: Async<UnixStream>,
}

impl Link {
    /// A connection to a process of the same user.
    ///
    /// # Errors
    /// If it is another user's: that one must neither be given the sockets nor give any.
    pub fn new(stream: Async<UnixStream>) -> io::Result<Self> {
        let other = sockopt::socket_peercred(stream.as_fd())?.uid;
        if other != rustix::process::geteuid() {
            return Err(io::Error::new(io::ErrorKind::PermissionDenied, "a process of another user"));
        }
        Ok(Link { stream })
    }

    /// Says a word.
    ///
    /// # Errors
    /// If the other process is gone.
    pub async fn say(&self, word: &Word) -> io::Result<()> {
        let mut line = serde_json::to_vec(word)?;
        line.push(b'\n');
        Stream::from(&self.stream).write_all(&line).await
    }

    /// Passes sockets along, with one byte that carries them.
    ///
    /// # Errors
    /// If the other process is gone.
    pub async fn pass(&self, sockets: &[OwnedFd]) -> io::Result<()> {
        let borrowed: Vec<_> = sockets.iter().map(AsFd::as_fd).collect();
        let send = |stream: &UnixStream| {
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MOST_SOCKETS))];
            let mut control = SendAncillaryBuffer::new(&mut space);
            if !borrowed.is_empty() && !control.push(SendAncillaryMessage::ScmRights(&borrowed)) {
                return Err(io::ErrorKind::InvalidInput.into());
            }
            Ok(sendmsg(stream, &[IoSlice::new(b"s")], &mut control, SendFlags::NOSIGNAL)?)
        };
        net::retry_transient(|| self.stream.write_with(send)).await.map(drop)
    }

    /// Takes the sockets that are passed along.
    ///
    /// # Errors
    /// If the other process is gone.
    pub async fn take(&self) -> io::Result<Vec<OwnedFd>> {
        let receive = |stream: &UnixStream| {
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MOST_SOCKETS))];
            let mut control = RecvAncillaryBuffer::new(&mut space);
            let mut byte = [0];
            let flags = RecvFlags::CMSG_CLOEXEC;
            let came = recvmsg(stream, &mut [IoSliceMut::new(&mut byte)], &mut control, flags)?;
            if came.bytes == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let mut sockets = Vec::new();
            for message in control.drain() {
                if let RecvAncillaryMessage::ScmRights(passed) = message {
                    sockets.extend(passed);
                }
            }
            Ok(sockets)
        };
        net::retry_transient(|| self.stream.read_with(receive)).await
    }
}

/// The lines that come on a link.
#[derive(Default)]
pub struct Lines {
    buffer: Vec<u8>,
    /// How far the buffer was searched for a line's end.
    searched: usize,
}

impl Lines {
    /// The next word. What was begun is kept if this is dropped.
    ///
    /// # Errors
    /// If the other process is gone, or says what cannot be read.
    pub async fn next(&mut self, link: &Link) -> io::Result<Word> {
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
            if self.buffer.len() > MOST_LINE {
                return Err(io::Error::new(io::ErrorKind::InvalidData, "a line that does not end"));
            }
            match Stream::from(&link.stream).read(&mut bytes).await? {
                0 => return Err(io::ErrorKind::UnexpectedEof.into()),
                count => self.buffer.extend_from_slice(&bytes[..count]),
            }
        }
    }
}
