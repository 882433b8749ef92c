//! An HTTP server: accepts connections up to a limit and closes idle ones to make room for others.
//! [`super::connection`] handles each connection.

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

use super::client_gate::ClientGate;
use super::connection::Connection;
use super::inbox::ReceivedRequest;
use super::input::READ_BUFFER_SIZE;
use super::memory::MemoryPool;
use super::parse::{Message, MessageError};
use super::write::Response;
use crate::log::{self, Reason};
use crate::memory::RequestMemory;
use crate::net::{SocketErrorKind, Stream};

/// A boxed future that runs on the single thread.
pub type LocalBoxFuture<T> = Pin<Box<dyn Future<Output = T>>>;

/// Answers requests. The future of a request is dropped if its client leaves.
pub trait Handler {
    /// Answers a request. `earlier_deadlines` delivers earlier times by which to answer, because a pipelined request
    /// has an earlier deadline.
    fn handle(
        &self,
        request: ReceivedRequest,
        earlier_deadlines: Receiver<Instant>,
    ) -> LocalBoxFuture<Response>;
    /// Returns how long the client waits for the response after the last byte of its request, if that is known.
    fn client_timeout(&self, request: &Message) -> Option<Duration>;
    /// Returns the response to input that was rejected.
    fn error_response(&self, error: MessageError) -> Response;
    /// Returns the response to a request that is not processed at all, so that the client can safely retry it.
    fn refuse(&self, reason: RefusalReason) -> Response;
}

/// Why a request is not processed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalReason {
    /// The connection exceeds the connection limit.
    TooManyConnections,
    /// It was pipelined after the last request to be answered on its connection.
    ConnectionClosing,
    /// There is no memory for the rest of it.
    NoMemory,
}

impl RefusalReason {
    /// Returns the reason as text for the response.
    pub fn text(self) -> &'static str {
        match self {
            RefusalReason::TooManyConnections => "too many connections",
            RefusalReason::ConnectionClosing => "the connection closes after the previous request",
            RefusalReason::NoMemory => "no memory for the request",
        }
    }
}

/// Timeouts and limits of a server.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Maximum number of connections that are served at once. An eighth more are accepted, only to be refused.
    pub max_connections: usize,
    /// How long a connection may be idle between requests.
    pub idle_timeout: Duration,
    /// Time from the first byte of a request to its last. For the first request, it counts from the accept.
    pub request_timeout: Duration,
    /// Time for writing a response.
    pub write_timeout: Duration,
    /// Whether a connection may carry more than one request.
    pub keep_alive: bool,
}

impl Limits {
    /// Returns the default timeouts with a limit on connections. A client that sends no valid request gets an error
    /// or a close within 3 s of connecting; one that has made a request may keep its connection for longer.
    pub fn for_connections(max_connections: usize) -> Self {
        let millis = Duration::from_millis;
        Limits {
            max_connections,
            idle_timeout: millis(2000),
            request_timeout: millis(2200),
            write_timeout: millis(3000),
            keep_alive: true,
        }
    }
}

/// After the gate closes, clients are still routed here for a while, and connected ones use the connections they
/// have. A connection that was idle for this long is unlikely to be used again.
pub const IDLE_GRACE: Duration = Duration::from_millis(500);
/// Time in which the first byte of a client that intends to make a request is expected.
const FIRST_BYTE_TIMEOUT: Duration = Duration::from_millis(500);
/// Connections that are idle after a request may occupy at most one part in this many of the connection limit.
const KEPT_IDLE_DIVISOR: usize = 4;
/// The smallest key of a connection that has made a request, in the order of idle connections.
const FIRST_WITH_REQUESTS: (bool, u64) = (true, 0);
/// Delay after a failed accept, for example when no descriptor was left. The other connections in the queue wait as
/// well.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(5);
/// Minimum interval between log lines about failed accepts.
const ACCEPT_ERROR_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// An HTTP server.
pub struct Server {
    /// The kind of its connections, for the log.
    kind: &'static str,
    executor: Rc<LocalExecutor<'static>>,
    pub(super) handler: Box<dyn Handler>,
    pub(super) limits: Limits,
    /// Maximum number of connections served at once. It may be lower for a while than the configured limit.
    max_connections: Cell<usize>,
    open_connections: Cell<usize>,
    last_idle_sequence: Cell<u64>,
    /// Whether to read nothing more because the process is about to end.
    reading_stopped: Cell<bool>,
    /// When the accept queue was last seen empty. The connections in it have arrived since then.
    accept_queue_empty_at: Cell<Instant>,
    /// When a failed accept was last logged.
    accept_error_logged_at: Cell<Option<Instant>>,
    pub(super) client_gate: Rc<ClientGate>,
    pub(super) request_memory: MemoryPool,
    /// Receives the bytes of one read of any connection, which are parsed before the next read.
    pub(super) read_buffer: RefCell<Box<[u8]>>,
    /// Idle connections: first those without any request, then the others, each group from the longest idle.
    idle: RefCell<BTreeMap<(bool, u64), IdleConnection>>,
    /// Signals that a connection has ended.
    connection_ended: (Sender<()>, Receiver<()>),
}

impl Server {
    /// Creates a server that answers requests with `handler`.
    pub fn new(
        kind: &'static str,
        executor: Rc<LocalExecutor<'static>>,
        handler: Box<dyn Handler>,
        limits: Limits,
        request_memory: RequestMemory,
        client_gate: Rc<ClientGate>,
    ) -> Rc<Self> {
        Rc::new(Server {
            kind,
            executor,
            handler,
            limits,
            max_connections: Cell::new(limits.max_connections),
            open_connections: Cell::new(0),
            last_idle_sequence: Cell::new(0),
            reading_stopped: Cell::new(false),
            accept_queue_empty_at: Cell::new(Instant::now()),
            accept_error_logged_at: Cell::new(None),
            client_gate,
            request_memory: MemoryPool::new(request_memory),
            read_buffer: RefCell::new(vec![0; READ_BUFFER_SIZE].into()),
            idle: RefCell::default(),
            connection_ended: async_channel::bounded(1),
        })
    }

    /// Returns the number of open connections.
    pub fn open_connections(&self) -> usize {
        self.open_connections.get()
    }

    /// Reads nothing after the requests that were already received. The process ends once these are answered.
    pub fn stop_reading(&self) {
        self.reading_stopped.set(true);
    }

    /// Returns whether reading has stopped.
    pub(super) fn is_reading_stopped(&self) -> bool {
        self.reading_stopped.get()
    }

    /// Drains idle connections, whether the gate was closed by an operator or for shutdown: after the gate closes,
    /// idle connections can still be used for a moment and are then closed. Connections that arrive later get the
    /// same time each.
    pub async fn drain(self: Rc<Self>) {
        loop {
            self.client_gate.closed().await;
            Timer::after(IDLE_GRACE).await;
            if !self.client_gate.is_open() {
                self.close_idle(IDLE_GRACE);
            }
        }
    }

    /// Closes the connections that have been idle for at least `min_idle`.
    fn close_idle(&self, min_idle: Duration) {
        self.idle.borrow_mut().retain(|_, (since, close)| {
            let keep = since.elapsed() < min_idle;
            if !keep {
                let _ = close.try_send(Reason::Shutdown);
            }
            keep
        });
    }

    /// Sets the maximum number of connections served at once.
    pub fn set_max_connections(&self, max_connections: usize) {
        self.max_connections.set(max_connections);
        // Wake the accept loop, which may be waiting for capacity.
        let _ = self.connection_ended.0.try_send(());
    }

    /// Accepts connections forever.
    pub async fn accept(self: Rc<Self>, listener: TcpListener) {
        loop {
            self.wait_for_capacity().await;
            let accepted = match future::poll_once(listener.accept()).await {
                Some(accepted) => accepted,
                None => {
                    let accepted = listener.accept().await;
                    self.accept_queue_empty_at.set(Instant::now());
                    accepted
                }
            };
            self.handle_accepted(accepted).await;
        }
    }

    /// Accepts the connections that are already in the accept queue; closing the listener would reset them.
    pub async fn accept_queued(self: &Rc<Self>, listener: &TcpListener) {
        loop {
            self.wait_for_capacity().await;
            match future::poll_once(listener.accept()).await {
                Some(accepted) => self.handle_accepted(accepted).await,
                None => return,
            }
        }
    }

    /// Waits until another connection may be accepted. Dropping an accepted connection without an answer would lose a
    /// query, so connections above the limit wait in the accept queue instead. Refusals are brief, so capacity is
    /// soon available.
    async fn wait_for_capacity(&self) {
        while self.open_connections.get() >= self.max_connections.get() + self.max_connections.get() / 8 {
            let _ = self.connection_ended.1.recv().await;
        }
    }

    async fn handle_accepted(self: &Rc<Self>, accepted: io::Result<(TcpStream, SocketAddr)>) {
        match accepted {
            Ok((stream, peer)) => {
                self.spawn_connection(stream, peer);
                // Let the new connection read its first bytes before the next accept may evict it.
                future::yield_now().await;
            }
            Err(error) => {
                self.log_accept_error(&error);
                match SocketErrorKind::of(&error) {
                    // No descriptor is left: connections wait in the accept queue until one is free.
                    SocketErrorKind::ResourceLimit => {
                        self.close_longest_idle(FIRST_BYTE_TIMEOUT);
                        Timer::after(ACCEPT_RETRY_DELAY).await;
                    }
                    SocketErrorKind::LocalHost => {
                        Timer::after(ACCEPT_RETRY_DELAY).await;
                    }
                    // Only this connection failed, and the next one may be waiting.
                    SocketErrorKind::Connection => future::yield_now().await,
                }
            }
        }
    }

    fn log_accept_error(&self, error: &io::Error) {
        if self
            .accept_error_logged_at
            .get()
            .is_none_or(|logged_at| logged_at.elapsed() >= ACCEPT_ERROR_LOG_INTERVAL)
        {
            self.accept_error_logged_at.set(Some(Instant::now()));
            log::line(&format!("accept failed: {error}"));
        }
    }

    /// Closes one idle connection to make room. Returns whether there was one to close. A connection is silent if it
    /// is idle and has made no request yet. The first case that applies decides:
    ///
    /// 1. The longest idle silent connection is closed if it has been idle for [`FIRST_BYTE_TIMEOUT`], or if silent
    ///    connections occupy more than half of the limit. Hundreds of them must not evict clients that make requests.
    /// 2. The longest idle silent connection is closed if it has been idle for `min_idle` and there are no idle
    ///    connections with earlier requests.
    /// 3. The longest idle connection with earlier requests is closed, if there is one. A silent connection is spared
    ///    here, as every new connection is silent until its first request has arrived.
    fn close_longest_idle(&self, min_idle: Duration) -> bool {
        let mut idle = self.idle.borrow_mut();
        let silent =
            idle.range(..FIRST_WITH_REQUESTS).next().map(|(key, (since, _))| (*key, since.elapsed()));
        let many_silent = idle.range(..FIRST_WITH_REQUESTS).count() > self.max_connections.get() / 2;
        let kept = idle.range(FIRST_WITH_REQUESTS..).next().map(|(key, _)| *key);
        let longest = match silent {
            Some((key, idle_time)) if many_silent || idle_time >= FIRST_BYTE_TIMEOUT => Some(key),
            Some((key, idle_time)) if kept.is_none() && idle_time >= min_idle => Some(key),
            _ => kept,
        };
        let close = longest.and_then(|key| idle.remove(&key));
        close.is_some_and(|(_, close)| close.try_send(Reason::Full).is_ok())
    }

    /// Closes the connection that has been idle longest after a request, if too many connections are idle after a
    /// request. Clients that make one request and stay connected would otherwise take the capacity that others need.
    fn close_excess_kept(&self) {
        let mut idle = self.idle.borrow_mut();
        if idle.range(FIRST_WITH_REQUESTS..).count() > self.max_connections.get() / KEPT_IDLE_DIVISOR {
            let longest = idle.range(FIRST_WITH_REQUESTS..).next().map(|(key, _)| *key);
            if let Some((_, close)) = longest.and_then(|key| idle.remove(&key)) {
                let _ = close.try_send(Reason::Full);
            }
        }
    }

    fn spawn_connection(self: &Rc<Self>, stream: TcpStream, peer: SocketAddr) {
        // Disable Nagle's algorithm before the first write: bytes that it holds back are lost if the connection is
        // reset.
        let stream = Stream::from(stream);
        let _ = stream.set_nodelay();
        let refused = self.open_connections.get() >= self.max_connections.get()
            && !self.close_longest_idle(Duration::ZERO);
        self.open_connections.set(self.open_connections.get() + 1);
        let earliest_arrival = self.accept_queue_empty_at.get();
        let server = self.clone();
        let task = async move {
            let mut connection = Connection::new(&server, stream, earliest_arrival);
            let reason = match refused {
                true => connection.refuse(RefusalReason::TooManyConnections).await,
                false => connection.serve().await.unwrap_or(Reason::Reset),
            };
            let (requests, duration_ms) = (connection.requests(), connection.age().as_millis());
            drop(connection);
            server.open_connections.set(server.open_connections.get() - 1);
            let _ = server.connection_ended.0.try_send(());
            log::ended(server.kind, Some(peer), reason, format_args!("requests={requests} ms={duration_ms}"));
        };
        self.executor.spawn(task).detach();
    }
}

/// When a connection became idle, and the channel that closes it.
type IdleConnection = (Instant, Sender<Reason>);

/// The registration of an idle connection, removed when this is dropped.
pub(super) struct IdleRegistration<'s> {
    server: &'s Server,
    key: (bool, u64),
    closed: Receiver<Reason>,
}

impl IdleRegistration<'_> {
    /// Waits until the server closes the connection, and returns the reason.
    pub(super) async fn closed(&self) -> Reason {
        self.closed.recv().await.unwrap_or(Reason::Shutdown)
    }
}

impl Drop for IdleRegistration<'_> {
    fn drop(&mut self) {
        self.server.idle.borrow_mut().remove(&self.key);
    }
}

impl Server {
    /// Registers a connection as idle. From now on the server may close it at any time.
    pub(super) fn register_idle(&self, had_requests: bool) -> IdleRegistration<'_> {
        let (close, closed) = async_channel::bounded(1);
        self.last_idle_sequence.set(self.last_idle_sequence.get() + 1);
        let key = (had_requests, self.last_idle_sequence.get());
        self.idle.borrow_mut().insert(key, (Instant::now(), close));
        self.close_excess_kept();
        IdleRegistration { server: self, key, closed }
    }

    /// Returns how long a connection may be idle.
    pub(super) fn idle_timeout(&self, had_requests: bool) -> Duration {
        match had_requests {
            _ if !self.client_gate.is_open() => IDLE_GRACE,
            true => self.limits.idle_timeout,
            false => self.limits.request_timeout,
        }
    }
}
