//! Non-blocking TCP streams that retry transient errors, and the classification of socket errors.
//!
//! A call that was interrupted, or for which the kernel had no memory, does not mean that the connection is broken,
//! so it is retried. Closing the connection instead would lose requests that were already read from it and still need
//! an answer.

use std::future::Future;
use std::io;
use std::net::{Shutdown, SocketAddr};
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use std::time::Duration;

use async_io::Timer;
use async_net::TcpStream;
use futures_lite::{AsyncRead, AsyncWrite};
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use rustix::io::Errno;

/// Delay before retrying a call that failed because the kernel was out of memory.
const OUT_OF_MEMORY_RETRY_DELAY: Duration = Duration::from_millis(5);

/// Classifies an error from connecting or accepting a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SocketErrorKind {
    /// This process or machine has no file descriptor or memory for another connection.
    ResourceLimit,
    /// This machine cannot make connections at the moment, regardless of the peer.
    LocalHost,
    /// The error concerns only this connection or its peer.
    Connection,
}

impl SocketErrorKind {
    /// Classifies an error according to socket(2), connect(2) and accept(2).
    pub fn of(error: &io::Error) -> SocketErrorKind {
        match Errno::from_io_error(error) {
            Some(Errno::MFILE | Errno::NFILE | Errno::NOBUFS | Errno::NOMEM) => {
                SocketErrorKind::ResourceLimit
            }
            Some(
                Errno::ADDRNOTAVAIL
                | Errno::ADDRINUSE
                | Errno::AGAIN
                | Errno::INTR
                | Errno::NETDOWN
                | Errno::NETUNREACH
                | Errno::PERM
                | Errno::ACCESS,
            ) => SocketErrorKind::LocalHost,
            _ => SocketErrorKind::Connection,
        }
    }
}

/// Returns whether a call on an open connection failed because the kernel was out of memory.
fn is_out_of_memory(error: &io::Error) -> bool {
    matches!(Errno::from_io_error(error), Some(Errno::NOBUFS | Errno::NOMEM))
}

/// Repeats a call until it succeeds or fails with an error that is not transient.
///
/// # Errors
/// Returns the call's error, unless the call was interrupted or the kernel was out of memory.
pub async fn retry_transient<T, F: Future<Output = io::Result<T>>>(
    mut call: impl FnMut() -> F,
) -> io::Result<T> {
    loop {
        match call().await {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) if is_out_of_memory(&error) => {
                Timer::after(OUT_OF_MEMORY_RETRY_DELAY).await;
            }
            outcome => return outcome,
        }
    }
}

/// A stream that retries transient errors. Clones share the same connection.
#[derive(Debug)]
pub struct Stream<S = TcpStream> {
    inner: S,
    read_delay: RetryDelay,
    write_delay: RetryDelay,
}

/// The delay before a failed call is retried, while one is running.
#[derive(Debug, Default)]
struct RetryDelay(Option<Timer>);

impl RetryDelay {
    /// Polls a call until it succeeds, would block, or fails with an error that is not transient.
    fn poll_with_retry<S: Unpin, T>(
        &mut self,
        inner: &mut S,
        context: &mut Context<'_>,
        mut call: impl FnMut(Pin<&mut S>, &mut Context<'_>) -> Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        loop {
            if let Some(timer) = &mut self.0 {
                ready!(Pin::new(timer).poll(context));
                self.0 = None;
            }
            match ready!(call(Pin::new(inner), context)) {
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) if is_out_of_memory(&error) => {
                    self.0 = Some(Timer::after(OUT_OF_MEMORY_RETRY_DELAY))
                }
                outcome => return Poll::Ready(outcome),
            }
        }
    }
}

impl<S> From<S> for Stream<S> {
    fn from(inner: S) -> Self {
        Stream { inner, read_delay: RetryDelay::default(), write_delay: RetryDelay::default() }
    }
}

impl Clone for Stream {
    fn clone(&self) -> Self {
        self.inner.clone().into()
    }
}

impl Stream {
    /// Connects to an address and disables Nagle's algorithm.
    ///
    /// # Errors
    /// Returns the connection error; [`SocketErrorKind::of`] classifies it.
    pub async fn connect(to: SocketAddr) -> io::Result<Self> {
        let inner = TcpStream::connect(to).await?;
        // Bytes that Nagle's algorithm holds back are lost if the connection is reset.
        inner.set_nodelay(true)?;
        Ok(inner.into())
    }

    /// Disables Nagle's algorithm, so that written data is sent at once.
    ///
    /// # Errors
    /// Returns an error if the connection is closed.
    pub fn set_nodelay(&self) -> io::Result<()> {
        self.inner.set_nodelay(true)
    }

    /// Reads the next bytes without consuming them.
    ///
    /// # Errors
    /// Returns an error if the connection is broken.
    pub async fn peek(&self, bytes: &mut [u8]) -> io::Result<usize> {
        loop {
            match self.inner.peek(bytes).await {
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) if is_out_of_memory(&error) => {
                    Timer::after(OUT_OF_MEMORY_RETRY_DELAY).await;
                }
                outcome => return outcome,
            }
        }
    }

    /// Returns whether the peer has closed its side, even if input that arrived before is still unread.
    pub fn is_hung_up(&self) -> bool {
        let closed = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
        let mut polled = [PollFd::new(&self.inner, PollFlags::RDHUP)];
        // A failed call says nothing about the peer.
        poll(&mut polled, Some(&Timespec::default())).is_ok() && polled[0].revents().intersects(closed)
    }

    /// Shuts down one or both directions of the connection.
    ///
    /// # Errors
    /// Returns an error if the connection is closed.
    pub fn shutdown(&self, side: Shutdown) -> io::Result<()> {
        self.inner.shutdown(side)
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Stream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let Stream { inner, read_delay, .. } = &mut *self;
        read_delay.poll_with_retry(inner, context, |inner, context| inner.poll_read(context, bytes))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Stream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let Stream { inner, write_delay, .. } = &mut *self;
        write_delay.poll_with_retry(inner, context, |inner, context| inner.poll_write(context, bytes))
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let Stream { inner, write_delay, .. } = &mut *self;
        write_delay.poll_with_retry(inner, context, |inner, context| inner.poll_flush(context))
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_close(context)
    }
}
