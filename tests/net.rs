//! Calls on a connection that fail for a moment, and what the errors of calls say.

use std::collections::VecDeque;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use futures_lite::{future, AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use ironpaddle::net::{SocketErrorKind, Stream};
use rustix::io::Errno;

/// A connection whose calls end as a test says.
struct Scripted {
    ends: VecDeque<Result<usize, Errno>>,
    written: Vec<u8>,
}

impl Scripted {
    fn new(ends: &[Result<usize, Errno>]) -> Self {
        Scripted { ends: ends.iter().copied().collect(), written: Vec::new() }
    }

    fn next(&mut self) -> Poll<io::Result<usize>> {
        Poll::Ready(self.ends.pop_front().unwrap_or(Ok(0)).map_err(io::Error::from))
    }
}

impl AsyncRead for Scripted {
    fn poll_read(mut self: Pin<&mut Self>, _: &mut Context<'_>, bytes: &mut [u8]) -> Poll<io::Result<usize>> {
        bytes.fill(b'x');
        self.next()
    }
}

impl AsyncWrite for Scripted {
    fn poll_write(mut self: Pin<&mut Self>, _: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let end = self.next();
        if let Poll::Ready(Ok(count)) = &end {
            self.written.extend_from_slice(&bytes[..*count]);
        }
        end
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_close(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

#[test]
fn calls_that_were_interrupted_or_lacked_memory_are_made_again() {
    for errno in [Errno::INTR, Errno::NOBUFS, Errno::NOMEM] {
        let mut stream = Stream::from(Scripted::new(&[Err(errno), Err(errno), Ok(2)]));
        assert_eq!(future::block_on(stream.read(&mut [0; 4])).unwrap(), 2, "{errno}");
        let mut stream = Stream::from(Scripted::new(&[Err(errno), Ok(2), Err(errno), Ok(1)]));
        future::block_on(stream.write_all(b"abc")).unwrap();
    }
}

#[test]
fn a_connection_that_is_at_fault_ends() {
    for errno in [Errno::CONNRESET, Errno::PIPE, Errno::TIMEDOUT, Errno::HOSTUNREACH] {
        let mut stream = Stream::from(Scripted::new(&[Err(errno), Ok(2)]));
        assert!(future::block_on(stream.read(&mut [0; 4])).is_err(), "{errno}");
    }
}

#[test]
fn errors_of_accept_and_connect_say_whose_fault_they_are() {
    for (errnos, fault) in [
        (&[Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM][..], SocketErrorKind::ResourceLimit),
        (
            &[Errno::ADDRNOTAVAIL, Errno::NETUNREACH, Errno::NETDOWN, Errno::PERM, Errno::INTR],
            SocketErrorKind::LocalHost,
        ),
        (
            &[Errno::CONNABORTED, Errno::CONNREFUSED, Errno::HOSTUNREACH, Errno::TIMEDOUT, Errno::PROTO],
            SocketErrorKind::Connection,
        ),
    ] {
        for errno in errnos {
            assert_eq!(SocketErrorKind::of(&(*errno).into()), fault, "{errno}");
        }
    }
}
