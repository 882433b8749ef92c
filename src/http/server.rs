//! A listening server: connections are accepted within the limit on descriptors, and idle ones make room for others.
//! What happens on each is in [`super::connection`].

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::Timer;
use async_net::{TcpListener, TcpStream};
use futures_lite::future;

use super::connection::Connection;
use super::door::Door;
use super::inbox::Arrived;
use super::parse::{Bad, Message};
use super::write::Response;
use crate::log::{self, Reason};
use crate::net::{Fault, Stream};

/// A future on the one thread.
pub type Local<T> = Pin<Box<dyn Future<Output = T>>>;

/// What answers requests. Its future is dropped if the client leaves.
pub trait Handler {
    /// Answers a request, by an earlier time if one is told meanwhile: then a request behind it is due.
    fn handle(&self, request: Arrived, sooner: Receiver<Instant>) -> Local<Response>;
    /// How long the client of a request waits from its last byte on, if that is known.
    fn waits(&self, request: &Message) -> Option<Duration>;
    /// The answer to what cannot be read.
    fn bad(&self, bad: Bad) -> Response;
    /// The answer to what is not taken up at all, for some reason: trying again is harmless.
    fn refuse(&self, why: Refused) -> Response;
}

/// Why a request is not taken up at all.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refused {
    /// Its connection is one too many.
    Full,
    /// It came behind one that was to be the last on its connection.
    AfterLast,
}

impl Refused {
    /// The reason in words.
    pub fn text(self) -> &'static str {
        match self {
            Refused::Full => "too many connections",
            Refused::AfterLast => "the request before was to be the last on this connection",
        }
    }
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
/// The time in which the first byte of a client that means to ask has come.
const FIRST_BYTE: Duration = Duration::from_millis(500);
/// Connections kept without a request may take one in so many of the room.
const KEPT_SHARE: usize = 4;
/// The first place in the order of idle connections of one that has asked.
const ASKED: (bool, u64) = (true, 0);
/// The wait after an accept that failed, for want of descriptors for example. All that wait behind it wait as well.
const ACCEPT_PAUSE: Duration = Duration::from_millis(5);
/// The log tells of such failures once in so long.
const SAY_FAILED: Duration = Duration::from_secs(1);

/// A listening server.
pub struct Server {
    /// Whose connections these are, for the log.
    kind: &'static str,
    executor: Rc<LocalExecutor<'static>>,
    pub(super) handler: Box<dyn Handler>,
    pub(super) limits: Limits,
    /// Connections that are served at once, which may be fewer for a while than the limits say.
    room: Cell<usize>,
    open: Cell<usize>,
    last: Cell<u64>,
    /// Whether nothing more is read, as the process is about to end.
    ending: Cell<bool>,
    /// When the listener's queue was seen empty last: what waits there has come since.
    queue_empty: Cell<Instant>,
    /// When the log told last of an accept that failed.
    said_failed: Cell<Option<Instant>>,
    pub(super) door: Rc<Door>,
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
            ending: Cell::new(false),
            queue_empty: Cell::new(Instant::now()),
            said_failed: Cell::new(None),
            door,
            idle: RefCell::default(),
            ended: async_channel::bounded(1),
        })
    }

    /// The number of open connections.
    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// Nothing more is read behind the requests that are in hand: the process ends once these are answered.
    pub fn stop_reading(&self) {
        self.ending.set(true);
    }

    /// Whether nothing more is read.
    pub(super) fn is_ending(&self) -> bool {
        self.ending.get()
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
            let came = match future::poll_once(listener.accept()).await {
                Some(came) => came,
                None => {
                    let came = listener.accept().await;
                    self.queue_empty.set(Instant::now());
                    came
                }
            };
            self.take(came).await;
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
            Err(error) => {
                self.say_failed(&error);
                match Fault::of(&error) {
                    // No descriptor is left: connections wait in the queue until one is.
                    Fault::Room => {
                        self.close_longest_idle(FIRST_BYTE);
                        Timer::after(ACCEPT_PAUSE).await;
                    }
                    Fault::Machine => {
                        Timer::after(ACCEPT_PAUSE).await;
                    }
                    // That connection came to nothing, and the next one may be there.
                    Fault::Connection => future::yield_now().await,
                }
            }
        }
    }

    fn say_failed(&self, error: &io::Error) {
        if self.said_failed.get().is_none_or(|said| said.elapsed() >= SAY_FAILED) {
            self.said_failed.set(Some(Instant::now()));
            log::line(&format!("accept failed: {error}"));
        }
    }

    /// Makes room; says whether a connection stood idle. One that never asked has to have stood for some time, unless
    /// such are many.
    ///
    /// Silent connections by the hundred must not push out those of clients who ask, so that one which has long
    /// said nothing goes first, or any once they hold half of the room. But a new one is silent until its first
    /// request has come: where clients keep theirs, the longest kept makes room for it.
    fn close_longest_idle(&self, stood_for: Duration) -> bool {
        let mut idle = self.idle.borrow_mut();
        let silent = idle.range(..ASKED).next().map(|(key, (since, _))| (*key, since.elapsed()));
        let many = idle.range(..ASKED).count() > self.room.get() / 2;
        let kept = idle.range(ASKED..).next().map(|(key, _)| *key);
        let longest = match silent {
            Some((key, stood)) if many || stood >= FIRST_BYTE => Some(key),
            Some((key, stood)) if kept.is_none() && stood >= stood_for => Some(key),
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
        let stream = Stream::from(stream);
        let _ = stream.set_nodelay();
        let refused = self.open.get() >= self.room.get() && !self.close_longest_idle(Duration::ZERO);
        self.open.set(self.open.get() + 1);
        let came = self.queue_empty.get();
        let server = self.clone();
        let task = async move {
            let mut connection = Connection::new(&server, stream, came);
            let reason = match refused {
                true => connection.refuse().await,
                false => connection.serve().await.unwrap_or(Reason::Reset),
            };
            let (requests, lasted) = (connection.requests(), connection.age().as_millis());
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

/// A connection's place among those that stand idle, until this is dropped.
pub(super) struct IdlePlace<'s> {
    server: &'s Server,
    key: (bool, u64),
    closed: Receiver<Reason>,
}

impl IdlePlace<'_> {
    /// Waits until the server closes the connection.
    pub(super) async fn closed(&self) -> Reason {
        self.closed.recv().await.unwrap_or(Reason::Shutdown)
    }
}

impl Drop for IdlePlace<'_> {
    fn drop(&mut self) {
        self.server.idle.borrow_mut().remove(&self.key);
    }
}

impl Server {
    /// A connection stands idle from now on, and may be closed at any time.
    pub(super) fn stand_idle(&self, asked: bool) -> IdlePlace<'_> {
        let (close, closed) = async_channel::bounded(1);
        self.last.set(self.last.get() + 1);
        let key = (asked, self.last.get());
        self.idle.borrow_mut().insert(key, (Instant::now(), close));
        self.close_kept();
        IdlePlace { server: self, key, closed }
    }

    /// How long a connection may stand idle.
    pub(super) fn idle_limit(&self, asked: bool) -> Duration {
        match asked {
            _ if !self.door.is_open() => KEEP_IDLE,
            true => self.limits.idle,
            false => self.limits.request,
        }
    }
}
