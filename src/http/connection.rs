//! A client's connection: one request at a time, a timer for each wait, and an answer to each request that was read.

use std::io;
use std::net::Shutdown;
use std::time::{Duration, Instant};

use async_channel::Sender;
use async_io::Timer;
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};

use super::inbox::{Arrived, Inbox};
use super::parse::Bad;
use super::server::{Handler, Refused, Server};
use super::write::Response;
use crate::log::Reason;
use crate::net::Stream;

/// After a last answer, the time in which the client may end its own side, so that a reset does not overtake the answer.
const LINGER: Duration = Duration::from_millis(500);
/// The most that is read away then: a client with 60 MB to send would keep the one thread busy.
const MOST_LINGER: usize = 256 * 1024;
/// What is read at once.
const CHUNK: usize = 8192;

/// A connection that was accepted.
pub struct Connection<'s> {
    server: &'s Server,
    stream: Stream,
    inbox: Inbox,
    requests: u64,
    /// When it was accepted.
    since: Instant,
    /// A time before which it had not come: what is there as it is accepted may have waited since then.
    came: Instant,
}

/// What a wait for a request brought.
enum Next {
    Request(Arrived),
    Bad(Bad),
    End(Reason),
}

/// What becomes of what a client still sends after its last answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Rest {
    /// It stays unread: what is read and not answered is lost, and what is not read the client sends anew.
    Unread,
    /// The request that was answered before it was whole is read away, and nothing behind it.
    OneRequest,
    /// It is no request, as framing is lost: it is read away.
    Unreadable,
}

/// How a client leaves that waits for an answer.
enum Left {
    Gone,
    /// It sends more than any request holds, so that its end could not be seen behind that.
    Flooding,
}

impl<'s> Connection<'s> {
    /// A connection of a server that was accepted just now, and had not come before some time.
    pub fn new(server: &'s Server, stream: Stream, came: Instant) -> Self {
        Connection { server, stream, inbox: Inbox::default(), requests: 0, since: Instant::now(), came }
    }

    /// How many requests were taken up on it.
    pub fn requests(&self) -> u64 {
        self.requests
    }

    /// How long it has been there.
    pub fn age(&self) -> Duration {
        self.since.elapsed()
    }

    /// Serves it to its end.
    ///
    /// # Errors
    /// If it breaks.
    pub async fn serve(&mut self) -> io::Result<Reason> {
        self.read_what_waited().await;
        loop {
            let request = match self.next().await? {
                Next::Request(request) => request,
                Next::End(reason) => return Ok(reason),
                Next::Bad(bad) => return self.turn_down(bad).await,
            };
            self.requests += 1;
            let may_go_on = request.message.keep_alive && self.server.limits.keep;
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
            // Requests that are answered at once may come in any number: others have their turn between them.
            future::yield_now().await;
        }
    }

    /// Turns a connection away of which there is one too many.
    pub async fn refuse(&mut self) -> Reason {
        let response = self.server.handler.refuse(Refused::Full);
        let _ = self.write(&response.bytes(false, true)).await;
        self.linger(Rest::OneRequest).await;
        Reason::Full
    }

    /// The answer to a request, unless its client leaves. It comes by the time at which a request behind it is due.
    async fn answer(&mut self, request: Arrived) -> Result<Response, Left> {
        let (sooner, told) = async_channel::unbounded();
        let answer = self.server.handler.handle(request, told);
        let left = watch(&*self.server.handler, &mut self.stream, &mut self.inbox, sooner);
        future::or(async { Ok(answer.await) }, async { Err(left.await) }).await
    }

    /// Whether the connection is kept after an answer. Behind a shut door that is so only for what has come by now.
    async fn goes_on(&mut self) -> bool {
        if self.server.door.is_open() {
            return true;
        }
        if self.server.is_ending() {
            return self.inbox.has_whole();
        }
        self.read_what_came().await;
        !self.inbox.is_empty()
    }

    /// Reads what came while the connection waited to be accepted. Its time counts from when it can have come first: a
    /// run store is told no more than its client has left.
    async fn read_what_waited(&mut self) {
        let mut bytes = [0; CHUNK];
        if let Some(Ok(count @ 1..)) = future::poll_once(self.stream.read(&mut bytes)).await {
            self.take_in(&bytes[..count], self.came);
        }
    }

    /// Reads what has come by now, and waits for nothing.
    async fn read_what_came(&mut self) {
        let mut bytes = [0; CHUNK];
        while !self.inbox.is_full() {
            match future::poll_once(self.stream.read(&mut bytes)).await {
                Some(Ok(count)) if count > 0 => self.take_in(&bytes[..count], Instant::now()),
                _ => return,
            }
        }
    }

    /// Reads what comes before some time; says how much.
    async fn read_before(&mut self, until: Instant) -> io::Result<usize> {
        let mut bytes = [0; CHUNK];
        let count = before(until, self.stream.read(&mut bytes)).await.unwrap_or(Ok(0))?;
        self.take_in(&bytes[..count], Instant::now());
        Ok(count)
    }

    /// Takes in bytes, of which the last came at some time.
    fn take_in(&mut self, bytes: &[u8], at: Instant) {
        let handler = &self.server.handler;
        self.inbox.push(bytes, at, |request| handler.waits(request));
    }

    /// Answers what cannot be read, and ends the connection, as framing is lost.
    async fn turn_down(&mut self, bad: Bad) -> io::Result<Reason> {
        let response = self.server.handler.bad(bad);
        self.write(&response.bytes(false, true)).await?;
        let slow = bad == Bad::TooSlow;
        self.linger(if slow { Rest::OneRequest } else { Rest::Unreadable }).await;
        Ok(if slow { Reason::TooSlow } else { Reason::Malformed })
    }

    /// Turns down the request that was being answered, and all that comes behind it for a moment.
    async fn turn_down_flood(&mut self) -> io::Result<Reason> {
        let response = self.server.handler.bad(Bad::Flood);
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

    /// Refuses the requests that were read behind the last one.
    async fn refuse_in_hand(&mut self) -> io::Result<()> {
        while let Ok(Some(request)) = self.inbox.next_request() {
            let response = self.server.handler.refuse(Refused::AfterLast);
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
                Err(bad) => return Ok(Next::Bad(bad)),
            }
            if self.inbox.expects_continue() && !continued {
                continued = true;
                self.write(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
            }
            let read = if let Some(begun) = self.inbox.begun() {
                let begun = if self.requests == 0 { self.since } else { begun };
                let limit = begun + self.server.limits.request;
                let read = before(limit, self.stream.read(&mut bytes)).await;
                read.map_or(Ok(Err(Reason::TooSlow)), |read| read.map(Ok))?
            } else {
                self.read_idle(&mut bytes).await?
            };
            match read {
                Err(Reason::TooSlow) => return Ok(Next::Bad(Bad::TooSlow)),
                Ok(0) if self.inbox.is_inside() => return Ok(Next::End(Reason::Malformed)),
                Ok(0) => return Ok(Next::End(Reason::PeerClosed)),
                Ok(count) => self.take_in(&bytes[..count], Instant::now()),
                Err(reason) => return Ok(Next::End(reason)),
            }
        }
    }

    /// Reads while the connection stands idle, when it may be closed at any time.
    async fn read_idle(&mut self, bytes: &mut [u8]) -> io::Result<Result<usize, Reason>> {
        let asked = self.requests > 0;
        let place = self.server.stand_idle(asked);
        let limit = Instant::now() + self.server.idle_limit(asked);
        let read = async {
            before(limit, self.stream.read(bytes)).await.map_or(Ok(Err(Reason::Idle)), |read| read.map(Ok))
        };
        future::or(read, async { Ok(Err(place.closed().await)) }).await
    }

    /// Writes all; `false` if the client reads too slowly.
    async fn write(&mut self, bytes: &[u8]) -> io::Result<bool> {
        let limit = Instant::now() + self.server.limits.write;
        match before(limit, self.stream.write_all(bytes)).await {
            Some(written) => written.map(|()| true),
            None => Ok(false),
        }
    }

    /// Ends this side, and waits a moment for the client to end its own.
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

    /// Reads away the request that has begun, or the next one, and not a byte behind it.
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

    /// Reads away what is no request.
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

    /// Waits until the client has closed. What it has sent instead hides that, and is not read.
    async fn client_closed(&mut self) {
        if let Ok(1..) = self.stream.peek(&mut [0]).await {
            future::pending().await
        }
    }
}

/// The outcome of something, if it comes before some time.
async fn before<T>(limit: Instant, outcome: impl std::future::Future<Output = T>) -> Option<T> {
    future::or(async { Some(outcome.await) }, async {
        Timer::at(limit).await;
        None
    })
    .await
}

/// Ends when the client leaves. What it sends meanwhile waits in the inbox, up to a whole request, and tells by when the
/// answer has to be there.
///
/// A client that ends its own side alone has left as well: the protocol has no use for half a connection, and one
/// that is gone looks the same until something is written to it.
async fn watch(
    handler: &dyn Handler,
    stream: &mut Stream,
    inbox: &mut Inbox,
    sooner: Sender<Instant>,
) -> Left {
    let mut bytes = [0; CHUNK];
    let mut told = None;
    while !inbox.is_full() {
        let due = inbox.earliest_due();
        if let Some(at) = due.filter(|_| due != told) {
            told = due;
            let _ = sooner.try_send(at);
        }
        match stream.read(&mut bytes).await {
            Ok(0) | Err(_) => return Left::Gone,
            Ok(count) => inbox.push(&bytes[..count], Instant::now(), |request| handler.waits(request)),
        }
    }
    Left::Flooding
}
