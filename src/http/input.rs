//! The receiving side of a client connection: reads requests into the inbox, as far as the memory for requests allows.

use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use std::time::{Duration, Instant};

use async_channel::Sender;
use async_io::Timer;
use futures_lite::{future, AsyncRead, AsyncReadExt};

use super::inbox::{Inbox, ReceivedRequest};
use super::memory::MemoryShare;
use super::parse::{MessageError, MAX_REQUEST_BODY_LEN};
use super::server::Server;
use crate::net::Stream;

/// Maximum number of bytes that are read at once.
pub const READ_BUFFER_SIZE: usize = 8192;
/// What may be read even if the memory was used up after the read began. A read of no bytes would look like the end of
/// the input.
const MIN_READ: usize = 512;
/// The most bytes that are read and discarded while waiting for the client to close. Without the limit, a client that
/// sends 60 MB would keep the single thread busy.
pub const MAX_LINGER_BYTES: usize = 256 * 1024;
/// Interval at which to check whether the client has left, while nothing may be read from it.
const HANGUP_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Why the client of a request in progress will not get its answer.
pub enum Interruption {
    /// It left.
    ClientGone,
    /// It sent more than the largest permitted request, so its disconnect could not be detected behind that data.
    ClientFlooding,
}

/// The receiving side of a connection.
pub struct Input<'s> {
    server: &'s Server,
    /// The connection.
    pub stream: Stream,
    inbox: Inbox,
    /// The memory of the request that is being answered, in bytes.
    in_progress: usize,
    memory: MemoryShare<'s>,
}

impl<'s> Input<'s> {
    /// Creates the receiving side of a new connection.
    pub fn new(server: &'s Server, stream: Stream) -> Self {
        let memory = MemoryShare::new(&server.request_memory);
        Input { server, stream, inbox: Inbox::default(), in_progress: 0, memory }
    }

    /// Returns what was received.
    pub fn inbox(&self) -> &Inbox {
        &self.inbox
    }

    /// Takes the next complete request. Its memory counts as used until [`Input::finish_request`] is called.
    ///
    /// # Errors
    /// Returns the parse error once all requests before it have been taken.
    pub fn next_request(&mut self) -> Result<Option<ReceivedRequest>, MessageError> {
        let handler = &self.server.handler;
        let request = self.inbox.next_request(|request| handler.client_timeout(request));
        if let Ok(Some(request)) = &request {
            self.in_progress = request.message.memory();
        }
        self.record_memory();
        request
    }

    /// Records that the request taken last was answered.
    pub fn finish_request(&mut self) {
        self.in_progress = 0;
        self.record_memory();
    }

    fn record_memory(&mut self) {
        self.memory.set_used(self.inbox.memory() + self.in_progress);
    }

    /// Returns whether there is memory to read anything.
    pub fn has_memory(&self) -> bool {
        self.memory.readable() > 0
    }

    /// Waits until there is memory to read something.
    pub async fn wait_for_memory(&self) {
        self.memory.wait_until_readable().await;
    }

    /// Waits for input and adds it to the inbox. Returns the number of bytes, which is 0 at the end of the input. Must be
    /// called only while there is memory.
    ///
    /// # Errors
    /// Returns an error if the connection is broken.
    pub async fn read(&mut self) -> io::Result<usize> {
        poll_fn(|context| self.poll_read(context, None)).await
    }

    /// Reads input that arrived before the connection was accepted, and dates it to `arrived_at`.
    pub async fn read_early(&mut self, arrived_at: Instant) {
        future::poll_once(poll_fn(|context| self.poll_read(context, Some(arrived_at)))).await;
    }

    /// Reads input that is already available, without waiting.
    pub async fn read_available(&mut self) {
        let mut remaining_bytes = MAX_REQUEST_BODY_LEN;
        while remaining_bytes > 0 && !self.inbox.is_full() && self.has_memory() {
            match future::poll_once(self.read()).await {
                Some(Ok(count @ 1..)) => remaining_bytes = remaining_bytes.saturating_sub(count),
                _ => return,
            }
            future::yield_now().await;
        }
    }

    fn poll_read(
        &mut self,
        context: &mut Context<'_>,
        arrived_at: Option<Instant>,
    ) -> Poll<io::Result<usize>> {
        let mut buffer = self.server.read_buffer.borrow_mut();
        let max = self.memory.readable().clamp(MIN_READ, buffer.len());
        let count = ready!(Pin::new(&mut self.stream).poll_read(context, &mut buffer[..max]))?;
        let handler = &self.server.handler;
        self.inbox.push(&buffer[..count], arrived_at.unwrap_or_else(Instant::now), |request| {
            handler.client_timeout(request)
        });
        drop(buffer);
        self.record_memory();
        Poll::Ready(Ok(count))
    }

    /// Completes when the client leaves or sends too much. Input that arrives meanwhile is kept in the inbox, up to the
    /// size of one request. Each time a pipelined request has an earlier deadline, that time is sent to
    /// `earlier_deadlines`.
    ///
    /// A client that shuts down only its write side counts as gone: HTTP/1.1 has no use for a half-closed connection,
    /// and a client that has closed entirely looks the same until something is written to it.
    pub async fn watch_client(&mut self, earlier_deadlines: Sender<Instant>) -> Interruption {
        let mut last_reported = None;
        while !self.inbox.is_full() {
            let earliest_deadline = self.inbox.earliest_deadline();
            if let Some(at) = earliest_deadline.filter(|_| earliest_deadline != last_reported) {
                last_reported = earliest_deadline;
                let _ = earlier_deadlines.try_send(at);
            }
            if self.has_memory() {
                if let Ok(0) | Err(_) = self.read().await {
                    return Interruption::ClientGone;
                }
                future::yield_now().await;
            } else {
                Timer::after(HANGUP_CHECK_INTERVAL).await;
                if self.stream.is_hung_up() {
                    return Interruption::ClientGone;
                }
            }
        }
        Interruption::ClientFlooding
    }

    /// Drops what was received, except where the incomplete request ends.
    pub fn discard_received(&mut self) {
        self.inbox.discard();
        self.finish_request();
    }

    /// Discards the rest of the partially received request, or the next one, and not a byte after it.
    pub async fn discard_request(&mut self) {
        let mut bytes = vec![0; READ_BUFFER_SIZE];
        while let Ok(count @ 1..) = self.stream.peek(&mut bytes).await {
            let following = self.inbox.bytes_after_first(&bytes[..count]);
            let request_len = count - following.unwrap_or(0);
            if self.stream.read_exact(&mut bytes[..request_len]).await.is_err() || following.is_some() {
                return;
            }
            future::yield_now().await;
        }
    }

    /// Discards input that cannot be parsed as requests.
    pub async fn discard_all(&mut self) {
        let mut bytes = vec![0; READ_BUFFER_SIZE];
        let mut remaining_bytes = MAX_LINGER_BYTES;
        while let Ok(count @ 1..) = self.stream.read(&mut bytes).await {
            remaining_bytes = remaining_bytes.saturating_sub(count);
            if remaining_bytes == 0 {
                return;
            }
            future::yield_now().await;
        }
    }

    /// Waits until the client closes the connection. If unread input is pending, the close cannot be detected and
    /// this waits forever.
    pub async fn wait_for_close(&mut self) {
        if let Ok(1..) = self.stream.peek(&mut [0]).await {
            future::pending().await
        }
    }
}
