//! The server's side of connections: accepting within the descriptor limit, one request at a time on
//! each, a timer for each wait, and one log line when it ends.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::io;
use std::net::{Shutdown, SocketAddr};
use std::pin::Pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::Timer;
use async_net::{TcpListener, TcpStream};
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};

use super::door::Door;
use super::parse::{Bad, Kind, Message, Parser, MOST_BODY};
use super::write::Response;
use crate::log::{self, Reason};

/// A future on the one thread.
pub type Local<T> = Pin<Box<dyn Future<Output = T>>>;

/// What answers requests. Its future is dropped if the client leaves.
pub trait Handler {
    /// Answers a request.
    fn handle(&self, request: Message) -> Local<Response>;
    /// The answer to what cannot be read.
    fn bad(&self, bad: Bad) -> Response;
    /// The answer to a connection too many.
    fn full(&self) -> Response;
}

/// How long things may take, and how many there may be.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Connections that are served at once. An eighth more is borne, to be told that there is no room.
    pub connections: usize,
    /// Idle time between requests.
    pub idle: Duration,
    /// From a request's first byte to its last; for the first request, from its connection on.
    pub request: Duration,
    /// Writing an answer.
    pub write: Duration,
    /// Whether a connection may carry another request.
    pub keep: bool,
}

impl Limits {
    /// The usual times, for so many connections. A client that sends nothing of use is owed an error or a close
    /// within 3 s of its connecting, and one that has asked may keep its connection for longer.
    pub fn for_connections(connections: usize) -> Self {
        let millis = Duration::from_millis;
        Limits { connections, idle: millis(2000), request: millis(2200), write: millis(3000), keep: true }
    }
}

/// Once the door is shut, the front still sends new connections for a while, and clients use those they have:
/// one that has stood idle for so long is not about to be used.
pub const KEEP_IDLE: Duration = Duration::from_millis(500);
/// After a last answer, the time in which what the client still sends is read away, so that a reset does
/// not overtake the answer.
const LINGER: Duration = Duration::from_millis(500);
/// The most that is read away then: a client with 60 MB to send would keep the one thread busy.
const MOST_LINGER: usize = 256 * 1024;
/// The time in which the first byte of a client that means to ask has come.
const FIRST_BYTE: Duration = Duration::from_millis(500);
/// Connections kept without a request may take one in so many of the room.
const KEPT_SHARE: usize = 4;
/// The first place in the order of idle connections of one that has asked.
const ASKED: (bool, u64) = (true, 0);
/// The wait after an accept that failed, for want of descriptors for example.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// A listening server.
pub struct Server {
    /// Whose connections these are, for the log.
    kind: &'static str,
    executor: Rc<LocalExecutor<'static>>,
    handler: Box<dyn Handler>,
    limits: Limits,
    /// Connections that are served at once, which may be fewer for a while than the limits say.
    room: Cell<usize>,
    open: Cell<usize>,
    last: Cell<u64>,
    door: Rc<Door>,
    /// Connections that stand idle, those that never asked first and then longest first.
    idle: RefCell<BTreeMap<(bool, u64), Idle>>,
    /// Signalled when a connection has ended.
    ended: (Sender<()>, Receiver<()>),
}

impl Server {
    /// A server that answers by a handler.
    pub fn new(
        kind: &'static str,
        executor: Rc<LocalExecutor<'static>>,
        handler: Box<dyn Handler>,
        limits: Limits,
        door: Rc<Door>,
    ) -> Rc<Self> {
        Rc::new(Server {
            kind,
            executor,
            handler,
            limits,
            room: Cell::new(limits.connections),
            open: Cell::new(0),
            last: Cell::new(0),
            door,
            idle: RefCell::default(),
            ended: async_channel::bounded(1),
        })
    }

    /// The number of open connections.
    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// The one drain, by hand or before the end: whenever the door is shut, connections that stand idle get a
    /// moment in which they are still used, and are closed. Those that come later have the same moment each.
    pub async fn drain(self: Rc<Self>) {
        loop {
            self.door.shut().await;
            Timer::after(KEEP_IDLE).await;
            if !self.door.is_open() {
                self.close_idle(KEEP_IDLE);
            }
        }
    }

    /// Closes the connections that have stood idle for some time.
    fn close_idle(&self, stood: Duration) {
        self.idle.borrow_mut().retain(|_, (since, close)| {
            let keep = since.elapsed() < stood;
            if !keep {
                let _ = close.try_send(Reason::Shutdown);
            }
            keep
        });
    }

    /// Serves so many connections at once from now on.
    pub fn set_room(&self, connections: usize) {
        self.room.set(connections);
        // Whoever waits for room looks again.
        let _ = self.ended.0.try_send(());
    }

    /// Accepts connections for good.
    pub async fn accept(self: Rc<Self>, listener: TcpListener) {
        loop {
            self.has_room().await;
            self.take(listener.accept().await).await;
        }
    }

    /// Accepts what has come by now: what waits in the listener's queue would be reset with it.
    pub async fn accept_rest(self: &Rc<Self>, listener: &TcpListener) {
        loop {
            self.has_room().await;
            match future::poll_once(listener.accept()).await {
                Some(came) => self.take(came).await,
                None => return,
            }
        }
    }

    /// An accepted connection that is dropped unanswered would be a lost query. What is over the limit waits in
    /// the listener's queue instead; refusals are brief, so room comes soon.
    async fn has_room(&self) {
        while self.open.get() >= self.room.get() + self.room.get() / 8 {
            let _ = self.ended.1.recv().await;
        }
    }

    async fn take(self: &Rc<Self>, came: io::Result<(TcpStream, SocketAddr)>) {
        match came {
            Ok((stream, peer)) => {
                self.welcome(stream, peer);
                // Its first bytes are looked at before the next connection may push it out.
                future::yield_now().await;
            }
            // No descriptor is left: connections wait in the queue until one is.
            Err(error) => {
                log::line(&format!("accept failed: {error}"));
                self.close_longest_idle();
                Timer::after(ACCEPT_PAUSE).await;
            }
        }
    }

    /// Makes room; says whether a connection stood idle.
    ///
    /// Silent connections by the hundred must not push out those of clients who ask, so that one which has long
    /// said nothing goes first, or any once they hold half of the room. But a new one is silent until its first
    /// request has come: where clients keep theirs, the longest kept makes room for it.
    fn close_longest_idle(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let silent = idle.range(..ASKED).next().map(|(key, (since, _))| (*key, since.elapsed()));
        let many = idle.range(..ASKED).count() > self.room.get() / 2;
        let kept = idle.range(ASKED..).next().map(|(key, _)| *key);
        let longest = match silent {
            Some((key, stood)) if many || stood >= FIRST_BYTE || kept.is_none() => Some(key),
            _ => kept,
        };
        let close = longest.and_then(|key| idle.remove(&key));
        close.is_some_and(|(_, close)| close.try_send(Reason::Full).is_ok())
    }

    /// Closes the connection kept longest where clients keep too many: those who ask once and stay would hold the
    /// room that others need for their requests.
    fn close_kept(&self) {
        let mut idle = self.idle.borrow_mut();
        if idle.range(ASKED..).count() > self.room.get() / KEPT_SHARE {
            let longest = idle.range(ASKED..).next().map(|(key, _)| *key);
            if let Some((_, close)) = longest.and_then(|key| idle.remove(&key)) {
                let _ = close.try_send(Reason::Full);
            }
        }
    }

    fn welcome(self: &Rc<Self>, stream: TcpStream, peer: SocketAddr) {
        // From its first write on: what the system holds back goes with a connection that is reset.
        let _ = stream.set_nodelay(true);
        let refused = self.open.get() >= self.room.get() && !self.close_longest_idle();
        self.open.set(self.open.get() + 1);
        let server = self.clone();
        let task = async move {
            let mut connection = Connection { server: &server, stream, requests: 0, since: Instant::now() };
            let reason = match refused {
                true => connection.refuse().await,
                false => connection.serve().await.unwrap_or(Reason::Reset),
            };
            let (requests, lasted) = (connection.requests, connection.since.elapsed().as_millis());
            drop(connection);
            server.open.set(server.open.get() - 1);
            let _ = server.ended.0.try_send(());
            log::ended(server.kind, Some(peer), reason, format_args!("requests={requests} ms={lasted}"));
        };
        self.executor.spawn(task).detach();
    }
}

/// Since when a connection stands idle, and how to close it.
type Idle = (Instant, Sender<Reason>);

struct Connection<'s> {
    server: &'s Server,
    stream: TcpStream,
    requests: u64,
    /// When it was accepted.
    since: Instant,
}

/// What a wait for a request brought.
enum Next {
    Request(Message),
    Bad(Bad),
    End(Reason),
}

impl Connection<'_> {
    async fn serve(&mut self) -> io::Result<Reason> {
        let mut parser = Parser::new(Kind::Request);
        loop {
            let request = match self.next(&mut parser).await? {
                Next::Request(request) => request,
                Next::End(reason) => return Ok(reason),
                Next::Bad(bad) => return self.turn_down(bad).await,
            };
            self.requests += 1;
            let (keep_alive, body) = (request.keep_alive, request.start.0 != "HEAD");
            let answer = self.server.handler.handle(request);
            let left = watch(&mut self.stream, &mut parser);
            let answer = future::or(async { Ok(answer.await) }, async { Err(left.await) }).await;
            let response = match answer {
                Ok(response) => response,
                Err(Left::Gone) => return Ok(Reason::ClientGone),
                Err(Left::Flooding) => return self.turn_down(Bad::Flood).await,
            };
            let open = self.server.door.is_open();
            let keep_alive = keep_alive && open && self.server.limits.keep;
            if !self.write(&response.bytes(keep_alive, body)).await? {
                return Ok(Reason::TooSlow);
            }
            if !keep_alive {
                self.linger().await;
                return Ok(if open { Reason::Done } else { Reason::Shutdown });
            }
            // Requests that are answered at once may come in any number: others have their turn between them.
            future::yield_now().await;
        }
    }

    /// Answers what cannot be read, and ends the connection, as framing is lost.
    async fn turn_down(&mut self, bad: Bad) -> io::Result<Reason> {
        let response = self.server.handler.bad(bad);
        self.write(&response.bytes(false, true)).await?;
        self.linger().await;
        Ok(if bad == Bad::TooSlow { Reason::TooSlow } else { Reason::Malformed })
    }

    async fn refuse(&mut self) -> Reason {
        let response = self.server.handler.full();
        let _ = self.write(&response.bytes(false, true)).await;
        self.linger().await;
        Reason::Full
    }

    async fn next(&mut self, parser: &mut Parser) -> io::Result<Next> {
        let mut begun: Option<Instant> = None;
        let mut continued = false;
        let mut bytes = [0; 8192];
        loop {
            match parser.next_message() {
                Ok(Some(request)) => return Ok(Next::Request(request)),
                Ok(None) => {}
                Err(bad) => return Ok(Next::Bad(bad)),
            }
            if parser.expects_continue() && !continued {
                continued = true;
                self.write(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
            }
            let read = if parser.is_inside() {
                let first = self.requests == 0;
                let begun = *begun.get_or_insert_with(|| if first { self.since } else { Instant::now() });
                let limit = begun + self.server.limits.request;
                let read = async { self.stream.read(&mut bytes).await.map(Ok) };
                future::or(read, async {
                    Timer::at(limit).await;
                    Ok(Err(Reason::TooSlow))
                })
                .await?
            } else {
                self.read_idle(&mut bytes).await?
            };
            match read {
                Err(Reason::TooSlow) => return Ok(Next::Bad(Bad::TooSlow)),
                Ok(0) if parser.is_inside() => return Ok(Next::End(Reason::Malformed)),
                Ok(0) => return Ok(Next::End(Reason::PeerClosed)),
                Ok(count) => parser.push(&bytes[..count]),
                Err(reason) => return Ok(Next::End(reason)),
            }
        }
    }

    /// Reads while the connection stands idle, when it may be closed at any time.
    async fn read_idle(&mut self, bytes: &mut [u8]) -> io::Result<Result<usize, Reason>> {
        let (close, closed): (Sender<Reason>, Receiver<Reason>) = async_channel::bounded(1);
        self.server.last.set(self.server.last.get() + 1);
        let asked = self.requests > 0;
        let key = (asked, self.server.last.get());
        self.server.idle.borrow_mut().insert(key, (Instant::now(), close));
        self.server.close_kept();
        let limit = match asked {
            _ if !self.server.door.is_open() => KEEP_IDLE,
            true => self.server.limits.idle,
            false => self.server.limits.request,
        };
        let read = async { self.stream.read(bytes).await.map(Ok) };
        let idle = async {
            Timer::after(limit).await;
            Ok(Err(Reason::Idle))
        };
        let closed = async { Ok(Err(closed.recv().await.unwrap_or(Reason::Shutdown))) };
        let read = future::or(read, future::or(idle, closed)).await;
        self.server.idle.borrow_mut().remove(&key);
        read
    }

    /// Writes all; `false` if the client reads too slowly.
    async fn write(&mut self, bytes: &[u8]) -> io::Result<bool> {
        let limit = self.server.limits.write;
        let write = async { self.stream.write_all(bytes).await.map(|()| true) };
        future::or(write, async {
            Timer::after(limit).await;
            Ok(false)
        })
        .await
    }

    async fn linger(&mut self) {
        let _ = self.stream.shutdown(Shutdown::Write);
        let mut bytes = [0; 4096];
        let drain = async {
            let mut left = MOST_LINGER;
            while let Ok(count) = self.stream.read(&mut bytes).await {
                left = left.saturating_sub(count);
                if count == 0 || left == 0 {
                    break;
                }
                future::yield_now().await;
            }
        };
        future::or(drain, async {
            Timer::after(LINGER).await;
        })
        .await;
    }
}

/// How a client leaves that waits for an answer.
enum Left {
    Gone,
    /// It sends more than any request holds, so that its end could not be seen behind that.
    Flooding,
}

/// Ends when the client leaves. What it sends meanwhile waits in the parser, up to a whole request.
///
/// A client that ends its own side alone has left as well: the protocol has no use for half a connection, and one
/// that is gone looks the same until something is written to it.
async fn watch(stream: &mut TcpStream, parser: &mut Parser) -> Left {
    let mut bytes = [0; 4096];
    while parser.buffered() <= MOST_BODY {
        match stream.read(&mut bytes).await {
            Ok(0) | Err(_) => return Left::Gone,
            Ok(count) => parser.push(&bytes[..count]),
        }
    }
    Left::Flooding
}
