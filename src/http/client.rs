//! An HTTP/1.1 client that sends one request at a time on a persistent connection.

use std::io;
use std::net::{Shutdown, SocketAddr};
use std::time::Duration;

use async_io::Timer;
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};

use super::parse::{Message, MessageKind, Parser};
use crate::net::Stream;

/// Whether a response belongs to the request that waits for one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseMatch {
    /// It belongs to that request.
    Own,
    /// It repeats the response to an earlier request.
    Surplus,
    /// It belongs to no request that is known.
    Unknown,
}

/// A client connection to a server.
pub struct Client {
    stream: Stream,
    max_body_len: usize,
}

/// Runs a future with a timeout.
///
/// # Errors
/// Returns the future's own error, or an error of kind `TimedOut` if the timeout expires first.
pub async fn within<T>(
    timeout: Duration,
    wait: impl std::future::Future<Output = io::Result<T>>,
) -> io::Result<T> {
    future::or(wait, async {
        Timer::after(timeout).await;
        Err(io::ErrorKind::TimedOut.into())
    })
    .await
}

impl Client {
    /// Connects within `timeout`. Responses may have bodies of at most `max_body_len` bytes.
    ///
    /// # Errors
    /// Returns an error if the connection is refused or not established in time.
    pub async fn connect(to: SocketAddr, timeout: Duration, max_body_len: usize) -> io::Result<Self> {
        let stream = within(timeout, Stream::connect(to)).await?;
        Ok(Client { stream, max_body_len })
    }

    /// Writes a request. Until this returns `Ok`, the server cannot have received the whole request.
    ///
    /// # Errors
    /// Returns an error if the connection breaks before the last byte is written.
    pub async fn write(&mut self, request: &[u8]) -> io::Result<()> {
        self.stream.write_all(request).await
    }

    /// Reads the response, which is the next one on the connection.
    ///
    /// # Errors
    /// Returns an error if the connection breaks or ends early, or if the response is malformed.
    pub async fn read(&mut self) -> io::Result<Message> {
        self.read_matching(|_| ResponseMatch::Own).await
    }

    /// Reads the response that belongs to the request, and discards surplus ones before it.
    ///
    /// # Errors
    /// Returns an error if the connection breaks or ends early, or if a response is malformed or belongs to no known
    /// request.
    pub async fn read_matching(
        &mut self,
        match_response: impl Fn(&Message) -> ResponseMatch,
    ) -> io::Result<Message> {
        let mut parser = Parser::new(MessageKind::Response(self.max_body_len));
        let mut bytes = [0; 8192];
        let invalid = |why: String| io::Error::new(io::ErrorKind::InvalidData, why);
        loop {
            let message = match parser.next_message().map_err(|error| invalid(error.to_string()))? {
                Some(message) => message,
                None => match self.stream.read(&mut bytes).await? {
                    0 => parser.finish().ok_or(io::ErrorKind::UnexpectedEof)?,
                    count => {
                        parser.push(&bytes[..count]);
                        continue;
                    }
                },
            };
            // Informational (1xx) responses precede the response.
            if message.start.1.starts_with('1') {
                continue;
            }
            match match_response(&message) {
                ResponseMatch::Own => {
                    // Bytes after the response belong to no request and must not be read as the next response.
                    let keep_alive = message.keep_alive && parser.buffered() == 0;
                    return Ok(Message { keep_alive, ..message });
                }
                ResponseMatch::Surplus => {}
                ResponseMatch::Unknown => {
                    return Err(invalid("the response belongs to no request on its connection".into()))
                }
            }
        }
    }

    /// Returns a future that shuts down the write side once `signal` completes. The read side stays open.
    pub fn shutdown_write_when(
        &self,
        signal: impl std::future::Future<Output = ()>,
    ) -> impl std::future::Future<Output = ()> {
        let stream = self.stream.clone();
        async move {
            signal.await;
            let _ = stream.shutdown(Shutdown::Write);
        }
    }

    /// Shuts down the write side, then discards input until the server closes its side.
    pub async fn linger(&mut self) {
        let mut bytes = [0; 8192];
        if self.stream.shutdown(Shutdown::Write).is_ok() {
            while self.stream.read(&mut bytes).await.is_ok_and(|count| count > 0) {}
        }
    }

    /// Completes when the server closes the idle connection or sends unsolicited data.
    pub async fn closed_while_idle(&mut self) {
        let _ = self.stream.read(&mut [0]).await;
    }
}
