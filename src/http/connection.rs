//! A client connection of the HTTP server: requests are answered one at a time, every wait has a timeout, and every
//! request that was read gets an answer.

use std::io;
use std::net::Shutdown;
use std::time::{Duration, Instant};

use async_channel::Sender;
use async_io::Timer;
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};

use super::inbox::{Inbox, ReceivedRequest};
use super::parse::MessageError;
use super::server::{Handler, RefusalReason, Server};
use super::write::Response;
use crate::log::Reason;
use crate::net::Stream;

/// How long the server waits after the last response for the client to close its side. Closing at once could send a
/// reset that makes the client discard the response.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// The most bytes that are read and discarded while waiting for the client to close. Without the limit, a client that
/// sends 60 MB would keep the single thread busy.
const MAX_LINGER_BYTES: usize = 256 * 1024;
/// Size of the read buffer in bytes.
const READ_BUFFER_SIZE: usize = 8192;

/// An accepted client connection.
pub struct Connection<'s> {
    server: &'s Server,
    stream: Stream,
    inbox: Inbox,
    requests: u64,
    /// When the connection was accepted.
    accepted_at: Instant,
    /// The earliest time at which the connection can have arrived. Bytes that are already there when it is accepted
    /// may have waited since then.
    earliest_arrival: Instant,
}

/// The outcome of waiting for the next request.
enum NextRequest {
    Request(ReceivedRequest),
    Rejected(MessageError),
    Closed(Reason),
}

/// How to treat input that the client sends after its last response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RemainingInput {
    /// Leave it unread. A request that is read but not answered would be lost, while a client retries one that was
    /// never read.
    LeaveUnread,
    /// Discard the rest of the request that was answered before it was complete, and nothing after it.
    DiscardRequest,
    /// Discard it: framing is lost, so it cannot contain requests.
    DiscardAll,
}

/// Why the client of a request in progress will not get its answer.
enum Interruption {
    ClientGone,
    /// The client sent more than the largest permitted request, so its disconnect could not be detected behind that
    /// data.
    ClientFlooding,
}

impl<'s> Connection<'s> {
    /// Creates the state of a connection that was just accepted and arrived no earlier than `earliest_arrival`.
    pub fn new(server: &'s Server, stream: Stream, earliest_arrival: Instant) -> Self {
        Connection {
            server,
            stream,
            inbox: Inbox::default(),
            requests: 0,
            accepted_at: Instant::now(),
            earliest_arrival,
        }
    }

    /// Returns the number of requests whose processing was started.
    pub fn requests(&self) -> u64 {
        self.requests
    }

    /// Returns the time since the connection was accepted.
    pub fn age(&self) -> Duration {
        self.accepted_at.elapsed()
    }

    /// Serves requests until the connection ends, and returns the reason for its end.
    ///
    /// # Errors
    /// Returns an error if the connection breaks.
    pub async fn serve(&mut self) -> io::Result<Reason> {
        self.read_early_input().await;
        loop {
            let request = match self.wait_for_request().await? {
                NextRequest::Request(request) => request,
                NextRequest::Closed(reason) => return Ok(reason),
                NextRequest::Rejected(error) => return self.reject_malformed(error).await,
            };
            self.requests += 1;
            let may_keep_open = request.message.keep_alive && self.server.limits.keep_alive;
            let include_body = request.response_has_body();
            let response = match self.answer(request).await {
                Ok(response) => response,
                Err(Interruption::ClientGone) => return Ok(Reason::ClientGone),
                Err(Interruption::ClientFlooding) => return self.reject_flood().await,
            };
            let keep_open = may_keep_open && self.keeps_connection().await;
            if !self.write(&response.bytes(keep_open, include_body)).await? {
                return Ok(Reason::TooSlow);
            }
            if !may_keep_open {
                self.refuse_pipelined().await?;
                self.linger(RemainingInput::LeaveUnread).await;
                return Ok(Reason::Done);
            }
            if !keep_open {
                self.linger(RemainingInput::LeaveUnread).await;
                return Ok(Reason::Shutdown);
            }
            // Pipelined requests that are answered immediately must not starve other connections.
            future::yield_now().await;
        }
    }

    /// Rejects a connection that exceeds the connection limit.
    pub async fn refuse(&mut self) -> Reason {
        let response = self.server.handler.refuse(RefusalReason::TooManyConnections);
        let _ = self.write(&response.bytes(false, true)).await;
        self.linger(RemainingInput::DiscardRequest).await;
        Reason::Full
    }

    /// Returns the response to a request, unless the client leaves first. The handler is notified if a pipelined request
    /// has an earlier deadline, and then answers by that time.
    async fn answer(&mut self, request: ReceivedRequest) -> Result<Response, Interruption> {
        let (deadline_sender, deadline_receiver) = async_channel::unbounded();
        let answer = self.server.handler.handle(request, deadline_receiver);
        let interrupted =
            watch_client(&*self.server.handler, &mut self.stream, &mut self.inbox, deadline_sender);
        future::or(async { Ok(answer.await) }, async { Err(interrupted.await) }).await
    }

    /// Returns whether to keep the connection open after a response. While the server accepts no clients, it is kept
    /// only if input has already arrived.
    async fn keeps_connection(&mut self) -> bool {
        if self.server.client_gate.is_open() {
            return true;
        }
        if self.server.is_reading_stopped() {
            return self.inbox.has_complete();
        }
        self.read_available().await;
        !self.inbox.is_empty()
    }

    /// Reads input that arrived before the connection was accepted, and dates it to the earliest time at which it can
    /// have arrived. That way no run store gets a timeout that exceeds the client's remaining time.
    async fn read_early_input(&mut self) {
        let mut bytes = [0; READ_BUFFER_SIZE];
        if let Some(Ok(count @ 1..)) = future::poll_once(self.stream.read(&mut bytes)).await {
            self.receive(&bytes[..count], self.earliest_arrival);
        }
    }

    /// Reads input that is already available, without waiting.
    async fn read_available(&mut self) {
        let mut bytes = [0; READ_BUFFER_SIZE];
        while !self.inbox.is_full() {
            match future::poll_once(self.stream.read(&mut bytes)).await {
                Some(Ok(count)) if count > 0 => self.receive(&bytes[..count], Instant::now()),
                _ => return,
            }
        }
    }

    /// Reads once, waiting until `deadline` at most, and returns the number of bytes read.
    async fn read_until(&mut self, deadline: Instant) -> io::Result<usize> {
        let mut bytes = [0; READ_BUFFER_SIZE];
        let count = timeout_at(deadline, self.stream.read(&mut bytes)).await.unwrap_or(Ok(0))?;
        self.receive(&bytes[..count], Instant::now());
        Ok(count)
    }

    /// Adds received bytes to the inbox. `arrived_at` is the arrival time of the last one.
    fn receive(&mut self, bytes: &[u8], arrived_at: Instant) {
        let handler = &self.server.handler;
        self.inbox.push(bytes, arrived_at, |request| handler.client_timeout(request));
    }

    /// Responds to malformed input and closes the connection, as framing is lost.
    async fn reject_malformed(&mut self, error: MessageError) -> io::Result<Reason> {
        let response = self.server.handler.error_response(error);
        self.write(&response.bytes(false, true)).await?;
        let timed_out = error == MessageError::TooSlow;
        self.linger(if timed_out { RemainingInput::DiscardRequest } else { RemainingInput::DiscardAll })
            .await;
        Ok(if timed_out { Reason::TooSlow } else { Reason::Malformed })
    }

    /// Rejects the request in progress and, for up to [`LINGER_TIMEOUT`], every request pipelined after it.
    async fn reject_flood(&mut self) -> io::Result<Reason> {
        let response = self.server.handler.error_response(MessageError::Flood);
        self.write(&response.bytes(true, true)).await?;
        let deadline = Instant::now() + LINGER_TIMEOUT;
        let mut remaining_bytes = MAX_LINGER_BYTES;
        loop {
            loop {
                match self.inbox.next_request() {
                    Ok(Some(request)) => {
                        self.write(&response.bytes(true, request.response_has_body())).await?;
                    }
                    Ok(None) => break,
                    Err(error) => return self.reject_malformed(error).await,
                }
            }
            let count = self.read_until(deadline).await?;
            remaining_bytes = remaining_bytes.saturating_sub(count);
            if count == 0 || remaining_bytes == 0 {
                break;
            }
            future::yield_now().await;
        }
        self.refuse_pipelined().await?;
        self.linger(RemainingInput::LeaveUnread).await;
        Ok(Reason::Malformed)
    }

    /// Refuses the requests that were read after the last one to be answered.
    async fn refuse_pipelined(&mut self) -> io::Result<()> {
        while let Ok(Some(request)) = self.inbox.next_request() {
            let response = self.server.handler.refuse(RefusalReason::ConnectionClosing);
            self.write(&response.bytes(false, request.response_has_body())).await?;
        }
        Ok(())
    }

    async fn wait_for_request(&mut self) -> io::Result<NextRequest> {
        let mut sent_continue = false;
        let mut bytes = [0; READ_BUFFER_SIZE];
        loop {
            match self.inbox.next_request() {
                Ok(Some(request)) => return Ok(NextRequest::Request(request)),
                Ok(None) => {}
                Err(error) => return Ok(NextRequest::Rejected(error)),
            }
            if self.inbox.expects_continue() && !sent_continue {
                sent_continue = true;
                self.write(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
            }
            let read = if let Some(began_at) = self.inbox.partial_since() {
                let began_at = if self.requests == 0 { self.accepted_at } else { began_at };
                let deadline = began_at + self.server.limits.request_timeout;
                let read = timeout_at(deadline, self.stream.read(&mut bytes)).await;
                read.map_or(Ok(Err(Reason::TooSlow)), |read| read.map(Ok))?
            } else {
                self.read_idle(&mut bytes).await?
            };
            match read {
                Err(Reason::TooSlow) => return Ok(NextRequest::Rejected(MessageError::TooSlow)),
                Ok(0) if self.inbox.has_partial() => return Ok(NextRequest::Closed(Reason::Malformed)),
                Ok(0) => return Ok(NextRequest::Closed(Reason::PeerClosed)),
                Ok(count) => self.receive(&bytes[..count], Instant::now()),
                Err(reason) => return Ok(NextRequest::Closed(reason)),
            }
        }
    }

    /// Reads while the connection is idle. The server may close an idle connection at any time.
    async fn read_idle(&mut self, bytes: &mut [u8]) -> io::Result<Result<usize, Reason>> {
        let had_requests = self.requests > 0;
        let registration = self.server.register_idle(had_requests);
        let deadline = Instant::now() + self.server.idle_timeout(had_requests);
        let read = async {
            timeout_at(deadline, self.stream.read(bytes))
                .await
                .map_or(Ok(Err(Reason::Idle)), |read| read.map(Ok))
        };
        future::or(read, async { Ok(Err(registration.closed().await)) }).await
    }

    /// Writes all bytes. Returns `false` if the client reads too slowly.
    async fn write(&mut self, bytes: &[u8]) -> io::Result<bool> {
        let deadline = Instant::now() + self.server.limits.write_timeout;
        match timeout_at(deadline, self.stream.write_all(bytes)).await {
            Some(written) => written.map(|()| true),
            None => Ok(false),
        }
    }

    /// Shuts down the write side, then waits briefly for the client to close its side.
    async fn linger(&mut self, remaining_input: RemainingInput) {
        let _ = self.stream.shutdown(Shutdown::Write);
        let ended = async {
            match remaining_input {
                RemainingInput::LeaveUnread => {}
                RemainingInput::DiscardRequest => self.discard_request().await,
                RemainingInput::DiscardAll => self.discard_input().await,
            }
            self.wait_for_close().await;
        };
        timeout_at(Instant::now() + LINGER_TIMEOUT, ended).await;
    }

    /// Discards the partially received request, or the next one, and not a byte after it.
    async fn discard_request(&mut self) {
        let mut bytes = [0; READ_BUFFER_SIZE];
        while let Ok(count @ 1..) = self.stream.peek(&mut bytes).await {
            let following = self.inbox.bytes_after_first(&bytes[..count]);
            let request_len = count - following.unwrap_or(0);
            if self.stream.read_exact(&mut bytes[..request_len]).await.is_err() || following.is_some() {
                return;
            }
        }
    }

    /// Discards input that cannot be parsed as requests.
    async fn discard_input(&mut self) {
        let mut bytes = [0; READ_BUFFER_SIZE];
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
    async fn wait_for_close(&mut self) {
        if let Ok(1..) = self.stream.peek(&mut [0]).await {
            future::pending().await
        }
    }
}

/// Runs a future until a deadline. Returns `None` if the deadline passes first.
async fn timeout_at<T>(deadline: Instant, operation: impl std::future::Future<Output = T>) -> Option<T> {
    future::or(async { Some(operation.await) }, async {
        Timer::at(deadline).await;
        None
    })
    .await
}

/// Completes when the client leaves. Input that arrives meanwhile is kept in the inbox, up to the size of one
/// request. Each time a pipelined request has an earlier deadline, that time is sent to `earlier_deadlines`.
///
/// A client that shuts down only its write side counts as gone: HTTP/1.1 has no use for a half-closed connection, and
/// a client that has closed entirely looks the same until something is written to it.
async fn watch_client(
    handler: &dyn Handler,
    stream: &mut Stream,
    inbox: &mut Inbox,
    earlier_deadlines: Sender<Instant>,
) -> Interruption {
    let mut bytes = [0; READ_BUFFER_SIZE];
    let mut last_reported = None;
    while !inbox.is_full() {
        let earliest_deadline = inbox.earliest_deadline();
        if let Some(at) = earliest_deadline.filter(|_| earliest_deadline != last_reported) {
            last_reported = earliest_deadline;
            let _ = earlier_deadlines.try_send(at);
        }
        match stream.read(&mut bytes).await {
            Ok(0) | Err(_) => return Interruption::ClientGone,
            Ok(count) => {
                inbox.push(&bytes[..count], Instant::now(), |request| handler.client_timeout(request))
            }
        }
    }
    Interruption::ClientFlooding
}
