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
const LINGER: Duration = Duration::from_millis(500);
/// The most bytes that are read and discarded while waiting for the client to close. Without the limit, a client that
/// sends 60 MB would keep the single thread busy.
const MOST_LINGER: usize = 256 * 1024;
/// Size of the read buffer in bytes.
const CHUNK: usize = 8192;

/// An accepted client connection.
pub struct Connection<'s> {
    server: &'s Server,
    stream: Stream,
    inbox: Inbox,
    requests: u64,
    /// When the connection was accepted.
    since: Instant,
    /// The earliest time at which the connection can have arrived. Bytes that are already there when it is accepted
    /// may have waited since then.
    came: Instant,
}

/// The outcome of waiting for the next request.
enum Next {
    Request(ReceivedRequest),
    MessageError(MessageError),
    End(Reason),
}

/// How to treat input that the client sends after its last response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Rest {
    /// Leave it unread. A request that is read but not answered would be lost, while a client retries one that was
    /// never read.
    Unread,
    /// Discard the rest of the request that was answered before it was complete, and nothing after it.
    OneRequest,
    /// Discard it: framing is lost, so it cannot contain requests.
    Unreadable,
}

/// Why the client of a request in progress will not get its answer.
enum Left {
    Gone,
    /// The client sent more than the largest permitted request, so its disconnect could not be detected behind that
    /// data.
    Flooding,
}

impl<'s> Connection<'s> {
    /// Creates the state of a connection that was just accepted and arrived no earlier than `came`.
    pub fn new(server: &'s Server, stream: Stream, came: Instant) -> Self {
        Connection { server, stream, inbox: Inbox::default(), requests: 0, since: Instant::now(), came }
    }

    /// Returns the number of requests whose processing was started.
    pub fn requests(&self) -> u64 {
        self.requests
    }

    /// Returns the time since the connection was accepted.
    pub fn age(&self) -> Duration {
        self.since.elapsed()
    }

    /// Serves requests until the connection ends, and returns the reason for its end.
    ///
    /// # Errors
    /// Returns an error if the connection breaks.
    pub async fn serve(&mut self) -> io::Result<Reason> {
        self.read_what_waited().await;
        loop {
            let request = match self.next().await? {
                Next::Request(request) => request,
                Next::End(reason) => return Ok(reason),
                Next::MessageError(bad) => return self.turn_down(bad).await,
            };
            self.requests += 1;
            let may_go_on = request.message.keep_alive && self.server.limits.keep_alive;
            let body = request.has_body_in_answer();
            let response = match self.answer(request).await {
                Ok(response) => response,
                Err(Left::Gone) => return Ok(Reason::ClientGone),
                Err(Left::Flooding) => return self.turn_down_flood().await,
            };
            let goes_on = may_go_on && self.goes_on().await;
            if !self.write(&response.bytes(goes_on, body)).await? {
                return Ok(Reason::TooSlow);
            }
            if !may_go_on {
                self.refuse_in_hand().await?;
                self.linger(Rest::Unread).await;
                return Ok(Reason::Done);
            }
            if !goes_on {
                self.linger(Rest::Unread).await;
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
        self.linger(Rest::OneRequest).await;
        Reason::Full
    }

    /// Returns the response to a request, unless the client leaves first. The handler is told if a pipelined request
    /// has an earlier deadline, and then answers by that time.
    async fn answer(&mut self, request: ReceivedRequest) -> Result<Response, Left> {
        let (sooner, told) = async_channel::unbounded();
        let answer = self.server.handler.handle(request, told);
        let left = watch(&*self.server.handler, &mut self.stream, &mut self.inbox, sooner);
        future::or(async { Ok(answer.await) }, async { Err(left.await) }).await
    }

    /// Returns whether to keep the connection open after a response. While the server accepts no clients, it is kept
    /// only if input has already arrived.
    async fn goes_on(&mut self) -> bool {
        if self.server.client_gate.is_open() {
            return true;
        }
        if self.server.is_ending() {
            return self.inbox.has_whole();
        }
        self.read_what_came().await;
        !self.inbox.is_empty()
    }

    /// Reads input that arrived before the connection was accepted, and dates it to the earliest time at which it can
    /// have arrived. That way no run store gets a timeout that exceeds the client's remaining time.
    async fn read_what_waited(&mut self) {
        let mut bytes = [0; CHUNK];
        if let Some(Ok(count @ 1..)) = future::poll_once(self.stream.read(&mut bytes)).await {
            self.take_in(&bytes[..count], self.came);
        }
    }

    /// Reads input that is already available, without waiting.
    async fn read_what_came(&mut self) {
        let mut bytes = [0; CHUNK];
        while !self.inbox.is_full() {
            match future::poll_once(self.stream.read(&mut bytes)).await {
                Some(Ok(count)) if count > 0 => self.take_in(&bytes[..count], Instant::now()),
                _ => return,
            }
        }
    }

    /// Reads once, waiting until `until` at most, and returns the number of bytes read.
    async fn read_before(&mut self, until: Instant) -> io::Result<usize> {
        let mut bytes = [0; CHUNK];
        let count = before(until, self.stream.read(&mut bytes)).await.unwrap_or(Ok(0))?;
        self.take_in(&bytes[..count], Instant::now());
        Ok(count)
    }

    /// Adds received bytes to the inbox. `at` is the arrival time of the last one.
    fn take_in(&mut self, bytes: &[u8], at: Instant) {
        let handler = &self.server.handler;
        self.inbox.push(bytes, at, |request| handler.client_timeout(request));
    }

    /// Responds to malformed input and closes the connection, as framing is lost.
    async fn turn_down(&mut self, bad: MessageError) -> io::Result<Reason> {
        let response = self.server.handler.error_response(bad);
        self.write(&response.bytes(false, true)).await?;
        let slow = bad == MessageError::TooSlow;
        self.linger(if slow { Rest::OneRequest } else { Rest::Unreadable }).await;
        Ok(if slow { Reason::TooSlow } else { Reason::Malformed })
    }

    /// Rejects the request in progress and, for up to [`LINGER`], every request pipelined after it.
    async fn turn_down_flood(&mut self) -> io::Result<Reason> {
        let response = self.server.handler.error_response(MessageError::Flood);
        self.write(&response.bytes(true, true)).await?;
        let until = Instant::now() + LINGER;
        let mut left = MOST_LINGER;
        loop {
            loop {
                match self.inbox.next_request() {
                    Ok(Some(request)) => {
                        self.write(&response.bytes(true, request.has_body_in_answer())).await?;
                    }
                    Ok(None) => break,
                    Err(bad) => return self.turn_down(bad).await,
                }
            }
            let count = self.read_before(until).await?;
            left = left.saturating_sub(count);
            if count == 0 || left == 0 {
                break;
            }
            future::yield_now().await;
        }
        self.refuse_in_hand().await?;
        self.linger(Rest::Unread).await;
        Ok(Reason::Malformed)
    }

    /// Refuses the requests that were read after the last one to be answered.
    async fn refuse_in_hand(&mut self) -> io::Result<()> {
        while let Ok(Some(request)) = self.inbox.next_request() {
            let response = self.server.handler.refuse(RefusalReason::ConnectionClosing);
            self.write(&response.bytes(false, request.has_body_in_answer())).await?;
        }
        Ok(())
    }

    async fn next(&mut self) -> io::Result<Next> {
        let mut continued = false;
        let mut bytes = [0; CHUNK];
        loop {
            match self.inbox.next_request() {
                Ok(Some(request)) => return Ok(Next::Request(request)),
                Ok(None) => {}
                Err(bad) => return Ok(Next::MessageError(bad)),
            }
            if self.inbox.expects_continue() && !continued {
                continued = true;
                self.write(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
            }
            let read = if let Some(begun) = self.inbox.begun() {
                let begun = if self.requests == 0 { self.since } else { begun };
                let limit = begun + self.server.limits.request_timeout;
                let read = before(limit, self.stream.read(&mut bytes)).await;
                read.map_or(Ok(Err(Reason::TooSlow)), |read| read.map(Ok))?
            } else {
                self.read_idle(&mut bytes).await?
            };
            match read {
                Err(Reason::TooSlow) => return Ok(Next::MessageError(MessageError::TooSlow)),
                Ok(0) if self.inbox.is_inside() => return Ok(Next::End(Reason::Malformed)),
                Ok(0) => return Ok(Next::End(Reason::PeerClosed)),
                Ok(count) => self.take_in(&bytes[..count], Instant::now()),
                Err(reason) => return Ok(Next::End(reason)),
            }
        }
    }

    /// Reads while the connection is idle. The server may close an idle connection at any time.
    async fn read_idle(&mut self, bytes: &mut [u8]) -> io::Result<Result<usize, Reason>> {
        let asked = self.requests > 0;
        let place = self.server.stand_idle(asked);
        let limit = Instant::now() + self.server.idle_limit(asked);
        let read = async {
            before(limit, self.stream.read(bytes)).await.map_or(Ok(Err(Reason::Idle)), |read| read.map(Ok))
        };
        future::or(read, async { Ok(Err(place.closed().await)) }).await
    }

    /// Writes all bytes. Returns `false` if the client reads too slowly.
    async fn write(&mut self, bytes: &[u8]) -> io::Result<bool> {
        let limit = Instant::now() + self.server.limits.write_timeout;
        match before(limit, self.stream.write_all(bytes)).await {
            Some(written) => written.map(|()| true),
            None => Ok(false),
        }
    }

    /// Shuts down the write side, then waits briefly for the client to close its side.
    async fn linger(&mut self, rest: Rest) {
        let _ = self.stream.shutdown(Shutdown::Write);
        let ended = async {
            match rest {
                Rest::Unread => {}
                Rest::OneRequest => self.read_one_away().await,
                Rest::Unreadable => self.read_away().await,
            }
            self.client_closed().await;
        };
        before(Instant::now() + LINGER, ended).await;
    }

    /// Discards the partially received request, or the next one, and not a byte after it.
    async fn read_one_away(&mut self) {
        let mut bytes = [0; CHUNK];
        while let Ok(count @ 1..) = self.stream.peek(&mut bytes).await {
            let behind = self.inbox.bytes_behind_first(&bytes[..count]);
            let own = count - behind.unwrap_or(0);
            if self.stream.read_exact(&mut bytes[..own]).await.is_err() || behind.is_some() {
                return;
            }
        }
    }

    /// Discards input that cannot be parsed as requests.
    async fn read_away(&mut self) {
        let mut bytes = [0; CHUNK];
        let mut left = MOST_LINGER;
        while let Ok(count @ 1..) = self.stream.read(&mut bytes).await {
            left = left.saturating_sub(count);
            if left == 0 {
                return;
            }
            future::yield_now().await;
        }
    }

    /// Waits until the client closes the connection. If unread input is pending, the close cannot be detected and
    /// this waits forever.
    async fn client_closed(&mut self) {
        if let Ok(1..) = self.stream.peek(&mut [0]).await {
            future::pending().await
        }
    }
}

/// Runs a future until a deadline. Returns `None` if the deadline passes first.
async fn before<T>(limit: Instant, outcome: impl std::future::Future<Output = T>) -> Option<T> {
    future::or(async { Some(outcome.await) }, async {
        Timer::at(limit).await;
        None
    })
    .await
}

/// Completes when the client leaves. Input that arrives meanwhile is kept in the inbox, up to the size of one
/// request. Each time a pipelined request has an earlier deadline, that time is sent to `sooner`.
///
/// A client that shuts down only its write side counts as gone: HTTP/1.1 has no use for a half-closed connection, and
/// a client that has closed entirely looks the same until something is written to it.
async fn watch(
    handler: &dyn Handler,
    stream: &mut Stream,
    inbox: &mut Inbox,
    sooner: Sender<Instant>,
) -> Left {
    let mut bytes = [0; CHUNK];
    let mut told = None;
    while !inbox.is_full() {
        let due = inbox.earliest_deadline();
        if let Some(at) = due.filter(|_| due != told) {
            told = due;
            let _ = sooner.try_send(at);
        }
        match stream.read(&mut bytes).await {
            Ok(0) | Err(_) => return Left::Gone,
            Ok(count) => {
                inbox.push(&bytes[..count], Instant::now(), |request| handler.client_timeout(request))
            }
        }
    }
    Left::Flooding
}
