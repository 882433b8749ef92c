//! TCP connections whose calls fail only where the connection is at fault, and what the errors of calls say.
//!
//! An interrupted call, or one for which the system has no memory just now, says nothing of the connection: it is made
//! again. Ended by it, a connection would take along what was read from it and is owed an answer.

use std::future::Future;
use std::io;
use std::net::{Shutdown, SocketAddr};
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use std::time::Duration;

use async_io::Timer;
use async_net::TcpStream;
use futures_lite::{AsyncRead, AsyncWrite};
use rustix::io::Errno;

/// The wait after a call for which the system had no memory.
const LACK_PAUSE: Duration = Duration::from_millis(5);

/// What the error of a call that makes or accepts a connection says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// This process or machine has no descriptor or memory for one more connection.
    Room,
    /// This machine cannot make connections just now, whoever the peer is.
    Machine,
    /// It is the fault of that one connection, or of its peer.
    Connection,
}

impl Fault {
    /// What an error says, by socket(2), connect(2) and accept(2).
    pub fn of(error: &io::Error) -> Fault {
        match Errno::from_io_error(error) {
            Some(Errno::MFILE | Errno::NFILE | Errno::NOBUFS | Errno::NOMEM) => Fault::Room,
            Some(
                Errno::ADDRNOTAVAIL
                | Errno::ADDRINUSE
                | Errno::AGAIN
                | Errno::INTR
                | Errno::NETDOWN
                | Errno::NETUNREACH
                | Errno::PERM
                | Errno::ACCESS,
            ) => Fault::Machine,
            _ => Fault::Connection,
        }
    }
}

/// Whether the system had no memory for a call on an open connection.
fn is_lack_of_memory(error: &io::Error) -> bool {
    matches!(Errno::from_io_error(error), Some(Errno::NOBUFS | Errno::NOMEM))
}

/// Makes a call until it succeeds or fails for good.
///
/// # Errors
/// The call's own, if it is neither an interruption nor want of memory.
pub async fn again<T, F: Future<Output = io::Result<T>>>(mut call: impl FnMut() -> F) -> io::Result<T> {
    loop {
        match call().await {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) if is_lack_of_memory(&error) => {
                Timer::after(LACK_PAUSE).await;
            }
            outcome => return outcome,
        }
    }
}

/// A connection. Clones are the same connection.
#[derive(Debug)]
pub struct Stream<S = TcpStream> {
    inner: S,
    reading: Pause,
    writing: Pause,
}

/// The wait before a call is made again.
#[derive(Debug, Default)]
struct Pause(Option<Timer>);

impl Pause {
    /// Makes a call until it succeeds, would block, or fails for good.
    fn call<S: Unpin, T>(
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
                Err(error) if is_lack_of_memory(&error) => self.0 = Some(Timer::after(LACK_PAUSE)),
                outcome => return Poll::Ready(outcome),
            }
        }
    }
}

impl<S> From<S> for Stream<S> {
    fn from(inner: S) -> Self {
        Stream { inner, reading: Pause::default(), writing: Pause::default() }
    }
}

impl Clone for Stream {
    fn clone(&self) -> Self {
        self.inner.clone().into()
    }
}

impl Stream {
    /// Connects.
    ///
    /// # Errors
    /// If that fails; see [`Fault::of`].
    pub async fn connect(to: SocketAddr) -> io::Result<Self> {
        let inner = TcpStream::connect(to).await?;
        // What the system holds back goes with a connection that is reset.
        inner.set_nodelay(true)?;
        Ok(inner.into())
    }

    /// Has what is written sent at once.
    ///
    /// # Errors
    /// If the connection is gone.
    pub fn set_nodelay(&self) -> io::Result<()> {
        self.inner.set_nodelay(true)
    }

    /// Looks at what would be read next, and leaves it unread.
    ///
    /// # Errors
    /// If the connection has broken.
    pub async fn peek(&self, bytes: &mut [u8]) -> io::Result<usize> {
        loop {
            match self.inner.peek(bytes).await {
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) if is_lack_of_memory(&error) => {
                    Timer::after(LACK_PAUSE).await;
                }
                outcome => return outcome,
            }
        }
    }

    /// Ends this side, or both.
    ///
    /// # Errors
    /// If the connection is gone.
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
        let Stream { inner, reading, .. } = &mut *self;
        reading.call(inner, context, |inner, context| inner.poll_read(context, bytes))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Stream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let Stream { inner, writing, .. } = &mut *self;
        writing.call(inner, context, |inner, context| inner.poll_write(context, bytes))
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let Stream { inner, writing, .. } = &mut *self;
        writing.call(inner, context, |inner, context| inner.poll_flush(context))
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_close(context)
    }
}
