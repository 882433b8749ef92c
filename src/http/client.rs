//! The client's side: one call at a time on a connection that is kept.

use std::io;
use std::net::{Shutdown, SocketAddr};
use std::time::Duration;

use async_io::Timer;
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};

use super::parse::{Kind, Message, Parser};
use crate::net::Stream;

/// A connection to a server.
pub struct Client {
    stream: Stream,
    most_body: usize,
}

/// Ends a wait after its time, as an error of kind `TimedOut`.
///
/// # Errors
/// The wait's own, or `TimedOut`.
pub async fn within<T>(
    limit: Duration,
    wait: impl std::future::Future<Output = io::Result<T>>,
) -> io::Result<T> {
    future::or(wait, async {
        Timer::after(limit).await;
        Err(io::ErrorKind::TimedOut.into())
    })
    .await
}

impl Client {
    /// Connects within a time; responses may have bodies of so many bytes.
    ///
    /// # Errors
    /// If it is refused or not up in time.
    pub async fn connect(to: SocketAddr, limit: Duration, most_body: usize) -> io::Result<Self> {
        let stream = within(limit, Stream::connect(to)).await?;
        Ok(Client { stream, most_body })
    }

    /// Writes a request. Until this has returned, the server has not had all of it.
    ///
    /// # Errors
    /// If the connection breaks before the last byte is written.
    pub async fn write(&mut self, request: &[u8]) -> io::Result<()> {
        self.stream.write_all(request).await
    }

    /// Reads the response.
    ///
    /// # Errors
    /// If the connection breaks or ends too early, or the response cannot be read.
    pub async fn read(&mut self) -> io::Result<Message> {
        let mut parser = Parser::new(Kind::Response(self.most_body));
        let mut bytes = [0; 8192];
        loop {
            match parser.next_message() {
                // A provisional response is not the answer.
                Ok(Some(message)) if message.start.1.starts_with('1') => continue,
                Ok(Some(mut message)) => {
                    // What comes after an answer belongs to nothing: the next answer must not be read from it.
                    message.keep_alive &= parser.buffered() == 0;
                    return Ok(message);
                }
                Ok(None) => {}
                Err(bad) => return Err(io::Error::new(io::ErrorKind::InvalidData, bad.to_string())),
            }
            match self.stream.read(&mut bytes).await? {
                0 => return parser.finish().ok_or_else(|| io::ErrorKind::UnexpectedEof.into()),
                count => parser.push(&bytes[..count]),
            }
        }
    }

    /// Ends this side of the connection once something says so, while the other side is still read.
    pub fn ends_when(
        &self,
        told: impl std::future::Future<Output = ()>,
    ) -> impl std::future::Future<Output = ()> {
        let stream = self.stream.clone();
        async move {
            told.await;
            let _ = stream.shutdown(Shutdown::Write);
        }
    }

    /// Ends this side of the connection, and waits until the server has ended its own.
    pub async fn linger(&mut self) {
        let mut bytes = [0; 8192];
        if self.stream.shutdown(Shutdown::Write).is_ok() {
            while self.stream.read(&mut bytes).await.is_ok_and(|count| count > 0) {}
        }
    }

    /// Ends when the server closes the idle connection, or sends what nobody asked for.
    pub async fn idle(&mut self) {
        let _ = self.stream.read(&mut [0]).await;
    }
}
