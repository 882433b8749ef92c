//! A client connection of the HTTP server: requests are answered one at a time, every wait has a timeout, and every
//! request that was read gets an answer.

use std::io;
use std::net::Shutdown;
use std::time::{Duration, Instant};

use async_io::Timer;
use futures_lite::{future, AsyncWriteExt};

use super::inbox::ReceivedRequest;
use super::input::{Input, Interruption, MAX_LINGER_BYTES};
use super::parse::MessageError;
use super::server::{RefusalReason, Server};
use super::write::Response;
use crate::log::Reason;
use crate::net::Stream;

/// How long the server waits after the last response for the client to close its side. Closing at once could send a
/// reset that makes the client discard the response.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a request that is not complete waits for memory before it is refused.
const MEMORY_TIMEOUT: Duration = Duration::from_millis(250);

/// An accepted client connection.
pub struct Connection<'s> {
    server: &'s Server,
    input: Input<'s>,
    requests: u64,
    /// When the connection was accepted.
    accepted_at: Instant,
    /// When the last response was written, or when the connection was accepted.
    idle_since: Instant,
    /// The earliest time at which the connection can have arrived. Bytes that are already there when it is accepted
    /// may have waited since then.
    earliest_arrival: Instant,
}

/// The outcome of waiting for the next request.
enum NextRequest {
    Request(ReceivedRequest),
    Rejected(MessageError),
    /// There is no memory for the rest of a request.
    NoMemory,
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

impl<'s> Connection<'s> {
    /// Creates the state of a connection that was just accepted and arrived no earlier than `earliest_arrival`.
    pub fn new(server: &'s Server, stream: Stream, earliest_arrival: Instant) -> Self {
        let accepted_at = Instant::now();
        Connection {
            server,
            input: Input::new(server, stream),
            requests: 0,
            accepted_at,
            idle_since: accepted_at,
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
        self.input.read_early(self.earliest_arrival).await;
        loop {
            let request = match self.wait_for_request().await? {
                NextRequest::Request(request) => request,
                NextRequest::Closed(reason) => return Ok(reason),
                NextRequest::Rejected(error) => return self.reject_malformed(error).await,
                NextRequest::NoMemory => return Ok(self.refuse(RefusalReason::NoMemory).await),
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
            self.input.finish_request();
            self.idle_since = Instant::now();
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

    /// Refuses the request that is being received, or the next one, and closes the connection.
    pub async fn refuse(&mut self, refusal: RefusalReason) -> Reason {
        self.input.discard_received();
        let response = self.server.handler.refuse(refusal);
        let _ = self.write(&response.bytes(false, true)).await;
        self.linger(RemainingInput::DiscardRequest).await;
        match refusal {
            RefusalReason::TooManyConnections => Reason::Full,
            RefusalReason::NoMemory => Reason::NoMemory,
            RefusalReason::ConnectionClosing => Reason::Done,
        }
    }

    /// Returns the response to a request, unless the client leaves first. The handler is notified if a pipelined request
    /// has an earlier deadline, and then answers by that time.
    async fn answer(&mut self, request: ReceivedRequest) -> Result<Response, Interruption> {
        // The client may have left long ago, and its close stands behind input that is not read yet.
        if self.input.stream.is_hung_up() {
            return Err(Interruption::ClientGone);
        }
        let (deadline_sender, deadline_receiver) = async_channel::unbounded();
        let answer = self.server.handler.handle(request, deadline_receiver);
        let interrupted = self.input.watch_client(deadline_sender);
        future::or(async { Ok(answer.await) }, async { Err(interrupted.await) }).await
    }

    /// Returns whether to keep the connection open after a response. While the server accepts no clients, it is kept
    /// only if input has already arrived.
    async fn keeps_connection(&mut self) -> bool {
        if self.server.client_gate.is_open() {
            return true;
        }
        if self.server.is_reading_stopped() {
            return self.input.inbox().has_complete();
        }
        self.input.read_available().await;
        !self.input.inbox().is_empty()
    }

    /// Responds to a request that is malformed, so that framing is lost, or that arrives too slowly, and closes the
    /// connection.
    async fn reject_malformed(&mut self, error: MessageError) -> io::Result<Reason> {
        self.input.discard_received();
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
                match self.input.next_request() {
                    Ok(Some(request)) => {
                        if !self.write(&response.bytes(true, request.response_has_body())).await? {
                            return Ok(Reason::TooSlow);
                        }
                        future::yield_now().await;
                    }
                    Ok(None) => break,
                    Err(error) => return self.reject_malformed(error).await,
                }
            }
            if !self.input.has_memory() {
                break;
            }
            let count = timeout_at(deadline, self.input.read()).await.unwrap_or(Ok(0))?;
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
        while let Ok(Some(request)) = self.input.next_request() {
            let response = self.server.handler.refuse(RefusalReason::ConnectionClosing);
            if !self.write(&response.bytes(false, request.response_has_body())).await? {
                return Ok(());
            }
            future::yield_now().await;
        }
        Ok(())
    }

    async fn wait_for_request(&mut self) -> io::Result<NextRequest> {
        let mut sent_continue = false;
        loop {
            match self.input.next_request() {
                Ok(Some(request)) => return Ok(NextRequest::Request(request)),
                Ok(None) => {}
                Err(error) => return Ok(NextRequest::Rejected(error)),
            }
            if self.input.inbox().expects_continue() && !sent_continue {
                sent_continue = true;
                self.write(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
            }
            let read = match self.input.inbox().partial_since() {
                Some(began_at) => {
                    let began_at = if self.requests == 0 { self.accepted_at } else { began_at };
                    let deadline = began_at + self.server.limits.request_timeout;
                    if !self.wait_for_memory(deadline).await {
                        return Ok(NextRequest::NoMemory);
                    }
                    let read = timeout_at(deadline, self.input.read()).await;
                    read.map_or(Ok(Err(Reason::TooSlow)), |read| read.map(Ok))?
                }
                None => self.read_idle().await?,
            };
            match read {
                Err(Reason::TooSlow) => return Ok(NextRequest::Rejected(MessageError::TooSlow)),
                Ok(0) if self.input.inbox().has_partial() => {
                    return Ok(NextRequest::Closed(Reason::Malformed))
                }
                Ok(0) => return Ok(NextRequest::Closed(Reason::PeerClosed)),
                // Only a read that waits can time out, so a client that sends empty lines all the time is closed here.
                Ok(_) if self.input.inbox().is_empty() && Instant::now() >= self.idle_deadline() => {
                    return Ok(NextRequest::Closed(Reason::Idle))
                }
                Ok(_) => {}
                Err(reason) => return Ok(NextRequest::Closed(reason)),
            }
            // A client that sends faster than its input is parsed must not starve other connections.
            future::yield_now().await;
        }
    }

    /// Waits until there is memory for more of a request. Returns `false` if there is none in time.
    async fn wait_for_memory(&self, deadline: Instant) -> bool {
        let deadline = deadline.min(Instant::now() + MEMORY_TIMEOUT);
        self.input.has_memory() || timeout_at(deadline, self.input.wait_for_memory()).await.is_some()
    }

    /// Reads while the connection is idle. The server may close an idle connection at any time.
    async fn read_idle(&mut self) -> io::Result<Result<usize, Reason>> {
        let registration = self.server.register_idle(self.requests > 0);
        let deadline = self.idle_deadline();
        let read = async {
            timeout_at(deadline, self.input.read()).await.map_or(Ok(Err(Reason::Idle)), |read| read.map(Ok))
        };
        future::or(read, async { Ok(Err(registration.closed().await)) }).await
    }

    /// Returns when to close the connection if no request arrives. Empty lines do not extend the time.
    fn idle_deadline(&self) -> Instant {
        self.idle_since + self.server.idle_timeout(self.requests > 0)
    }

    /// Writes all bytes. Returns `false` if the client reads too slowly.
    async fn write(&mut self, bytes: &[u8]) -> io::Result<bool> {
        let deadline = Instant::now() + self.server.limits.write_timeout;
        match timeout_at(deadline, self.input.stream.write_all(bytes)).await {
            Some(written) => written.map(|()| true),
            None => Ok(false),
        }
    }

    /// Shuts down the write side, then waits briefly for the client to close its side.
    async fn linger(&mut self, remaining_input: RemainingInput) {
        let _ = self.input.stream.shutdown(Shutdown::Write);
        let ended = async {
            match remaining_input {
                RemainingInput::LeaveUnread => {}
                RemainingInput::DiscardRequest => self.input.discard_request().await,
                RemainingInput::DiscardAll => self.input.discard_all().await,
            }
            self.input.wait_for_close().await;
        };
        timeout_at(Instant::now() + LINGER_TIMEOUT, ended).await;
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
