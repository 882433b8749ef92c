//! The transport to the platform's run stores: binary frames on pooled connections, each of which carries many parts
//! at once.

pub mod codec;
pub mod link;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::{Shutdown, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_io::Timer;
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};

use crate::api::{Millis, Outcome, ReplicaId};
use crate::core::drive::{Driver, RunStores};
use crate::core::{Call, CallEnd, CallNo};
use crate::http::client::within;
use crate::log::{self, Reason};
use crate::net::Stream;
use crate::settings::SiteSettings;
use crate::transport::{
    connect_failure_reason, duration_from_millis, Endpoint, Limits, NO_SOCKET_RETRY_DELAY,
};
use link::{ConnectionState, EndEvent};

/// Timeout for writing a frame. A run store that reads nothing for this long is unusable.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of connections to one run store, unresponsive ones included, so that a run store that answers on
/// none of them is not flooded with connections.
const MAX_CONNECTIONS_PER_RUN_STORE: usize = 4;
/// Before the first answer, the average response time is assumed to be this share of the connect timeout.
const INITIAL_RESPONSE_TIME_SHARE: f64 = 0.4;

#[derive(Default)]
struct RunStoreEntry {
    endpoint: Option<Endpoint>,
    retired: bool,
    connections: Vec<Rc<Connection>>,
}

/// Why there is no connection for a call.
enum NoConnection {
    /// The connection limit is reached.
    LimitReached,
    /// The run store accepts nothing new, or its address is unknown.
    Unavailable,
    /// On each connection that the run store may have, an answer to an earlier query with the same id may arrive.
    Confusable,
}

/// How to queue a call on a connection.
type EnqueueFn = fn(&mut ConnectionState, Call);

/// The transport with binary frames.
pub struct FrameTransport {
    driver: Rc<Driver>,
    limits: Cell<Limits>,
    run_stores: RefCell<BTreeMap<ReplicaId, RunStoreEntry>>,
    /// Calls that wait until a connection may be opened, oldest first.
    waiting: RefCell<VecDeque<(Call, EnqueueFn)>>,
    open_connections: Cell<usize>,
}

struct Connection {
    state: RefCell<ConnectionState>,
    /// Wakes the writer.
    wakeup: (Sender<()>, Receiver<()>),
    /// The reason to close the connection once it is idle.
    closing: Cell<Option<Reason>>,
    /// Ends the connection at once, even with calls outstanding.
    abort: (Sender<Reason>, Receiver<Reason>),
}

impl Connection {
    fn wake(&self) {
        let _ = self.wakeup.0.try_send(());
    }

    fn close(&self, reason: Reason) {
        self.closing.set(Some(reason));
        self.wake();
    }
}

impl FrameTransport {
    /// Creates a transport that reports to a driver.
    pub fn new(driver: Rc<Driver>, limits: Limits) -> Rc<Self> {
        Rc::new(FrameTransport {
            driver,
            limits: Cell::new(limits),
            run_stores: RefCell::default(),
            waiting: RefCell::default(),
            open_connections: Cell::new(0),
        })
    }

    /// Returns a connection with free capacity for a call or a probe, opens a new one, or returns why neither is
    /// possible.
    ///
    /// While a connection is being established, further calls wait for it, so that a run store that has just started
    /// gets one new connection from this aggregator rather than one for each part. A single connection may become
    /// unresponsive: further calls then use a new one, and the answers there show the router which calls on the old
    /// one are lost.
    fn connection(
        self: &Rc<Self>,
        run_store: &ReplicaId,
        call: Option<&Call>,
    ) -> Result<Rc<Connection>, NoConnection> {
        let mut run_stores = self.run_stores.borrow_mut();
        let entry =
            run_stores.get_mut(run_store).filter(|entry| !entry.retired).ok_or(NoConnection::Unavailable)?;
        let (address, _) = entry.endpoint.ok_or(NoConnection::Unavailable)?;
        let now = Instant::now();
        let has_capacity = |c: &&Rc<Connection>| {
            let state = c.state.borrow();
            c.closing.get().is_none()
                && !state.is_presumed_dead()
                && state.pending_calls() < self.limits.get().max_calls_per_connection
                && !call.is_some_and(|call| state.confuses(call))
        };
        let is_usable = |c: &&Rc<Connection>| has_capacity(c) && !c.state.borrow().is_unresponsive(now);
        if let Some(connection) = entry.connections.iter().find(is_usable) {
            return Ok(connection.clone());
        }
        let last_active =
            entry.connections.iter().filter(has_capacity).max_by_key(|c| c.state.borrow().last_input());
        // A client that uses an id again and again must not take the connections that others need.
        let confuses_queries =
            |c: &Rc<Connection>| call.is_some_and(|call| c.state.borrow().confuses_queries(call));
        if last_active.is_none()
            && entry.connections.len() >= MAX_CONNECTIONS_PER_RUN_STORE
            && entry.connections.iter().any(confuses_queries)
        {
            return Err(NoConnection::Confusable);
        }
        let at_limit = last_active.is_some() && entry.connections.len() >= MAX_CONNECTIONS_PER_RUN_STORE;
        if at_limit || self.open_connections.get() >= self.limits.get().max_connections {
            return last_active.cloned().ok_or(NoConnection::LimitReached);
        }
        let response_time = last_active
            .map_or(self.limits.get().connect_timeout.mul_f64(INITIAL_RESPONSE_TIME_SHARE), |c| {
                c.state.borrow().average_response_time()
            });
        let mut state = ConnectionState::new(self.limits.get().max_parts_per_call, now, response_time);
        state.allow_proof_probes(self.limits.get().probes_allowed);
        let connection = Rc::new(Connection {
            state: RefCell::new(state),
            wakeup: async_channel::bounded(1),
            closing: Cell::new(None),
            abort: async_channel::bounded(1),
        });
        entry.connections.push(connection.clone());
        self.open_connections.set(self.open_connections.get() + 1);
        let task = self.clone().run_connection(run_store.clone(), address, connection.clone());
        self.driver.executor().spawn(task).detach();
        Ok(connection)
    }

    /// Runs a connection, from connecting to its final log line.
    async fn run_connection(
        self: Rc<Self>,
        run_store: ReplicaId,
        address: SocketAddr,
        connection: Rc<Connection>,
    ) {
        let reason = self.connect_and_serve(address, &connection).await;
        let was_established = !matches!(reason, Reason::ConnectFailed | Reason::ConnectTimeout);
        // No call can be put on the connection after this, so the calls on it can be ended.
        if let Some(entry) = self.run_stores.borrow_mut().get_mut(&run_store) {
            entry.connections.retain(|known| !Rc::ptr_eq(known, &connection));
        }
        self.remove_unused(&run_store);
        self.open_connections.set(self.open_connections.get() - 1);
        // Run stores may close connections between requests at any time. Calls that are still queued move to another
        // connection, as the end of this one does not mean that the run store is unreachable.
        let queued = if was_established { connection.state.borrow_mut().take_queued() } else { Vec::new() };
        let ended = connection.state.borrow_mut().end_all(reason == Reason::Protocol);
        log::ended(
            "run_store",
            Some(address),
            reason,
            format_args!("name={} lost={}", run_store.0, ended.len()),
        );
        self.report(ended);
        if reason == Reason::NoSocket {
            // Queued calls wait until a connection can be made, as they do when the connection limit is reached.
            queued.into_iter().for_each(|call| self.wait_for_capacity((call, ConnectionState::push)));
            Timer::after(NO_SOCKET_RETRY_DELAY).await;
        } else {
            queued.into_iter().for_each(|call| self.submit(call, ConnectionState::push_moved));
        }
        self.submit_waiting();
    }

    /// Drops the state of a retired run store without connections. Most never come back.
    fn remove_unused(&self, run_store: &ReplicaId) {
        let mut run_stores = self.run_stores.borrow_mut();
        if run_stores.get(run_store).is_some_and(|entry| entry.retired && entry.connections.is_empty()) {
            run_stores.remove(run_store);
        }
    }

    /// Queues a call on a connection. If the connection limit is reached, an idle connection is closed to make room,
    /// as soon as there is one. That this aggregator holds many connections says nothing about the run store, which
    /// has not even been contacted.
    fn submit(self: &Rc<Self>, call: Call, enqueue: EnqueueFn) {
        if let Some(unsent) = self.try_submit(call, enqueue) {
            self.close_longest_idle();
            self.wait_for_capacity(unsent);
        }
    }

    /// Lets a call wait for a connection, for at most the connect timeout.
    fn wait_for_capacity(self: &Rc<Self>, (call, enqueue): (Call, EnqueueFn)) {
        let no = call.no;
        self.waiting.borrow_mut().push_back((call, enqueue));
        let (transport, limit) = (self.clone(), self.limits.get().connect_timeout);
        let expire = async move {
            Timer::after(limit).await;
            for no in transport.take_waiting(|call| call.no == no) {
                transport.driver.call_ended(no, CallEnd::bare(Outcome::NotSent));
            }
        };
        self.driver.executor().spawn(expire).detach();
    }

    /// Queues a call on a connection, or returns it if the connection limit is reached.
    fn try_submit(self: &Rc<Self>, call: Call, enqueue: EnqueueFn) -> Option<(Call, EnqueueFn)> {
        match self.connection(&call.run_store, Some(&call)) {
            Ok(connection) => {
                enqueue(&mut connection.state.borrow_mut(), call);
                connection.wake();
            }
            Err(NoConnection::Unavailable) => {
                self.driver.call_ended(call.no, CallEnd::bare(Outcome::ConnectFailed))
            }
            Err(NoConnection::Confusable) => self.driver.call_ended(call.no, CallEnd::bare(Outcome::NotSent)),
            Err(NoConnection::LimitReached) => return Some((call, enqueue)),
        }
        None
    }

    /// Retries the waiting calls after capacity may have become available.
    fn submit_waiting(self: &Rc<Self>) {
        for (call, enqueue) in self.waiting.take() {
            let unsent = self.try_submit(call, enqueue);
            self.waiting.borrow_mut().extend(unsent);
        }
    }

    /// Removes the waiting calls that match, and returns their numbers.
    fn take_waiting(&self, matches_call: impl Fn(&Call) -> bool) -> Vec<CallNo> {
        let mut waiting = self.waiting.borrow_mut();
        let taken = waiting.iter().filter(|(call, _)| matches_call(call)).map(|(call, _)| call.no).collect();
        waiting.retain(|(call, _)| !matches_call(call));
        taken
    }

    fn close_longest_idle(&self) {
        let run_stores = self.run_stores.borrow();
        let idle = |c: &&Rc<Connection>| c.closing.get().is_none() && c.state.borrow().is_idle();
        let all = run_stores.values().flat_map(|entry| &entry.connections);
        if let Some(connection) = all.filter(idle).min_by_key(|c| c.state.borrow().last_input()) {
            connection.close(Reason::Full);
        }
    }

    async fn connect_and_serve(self: &Rc<Self>, address: SocketAddr, connection: &Connection) -> Reason {
        let abort = || async { connection.abort.1.recv().await.unwrap_or(Reason::Retired) };
        let connect = within(self.limits.get().connect_timeout, Stream::connect(address));
        let connect = async { connect.await.map_err(|error| connect_failure_reason(&error)) };
        let retired = async { Err(abort().await) };
        let stream = match future::or(connect, retired).await {
            Ok(stream) => stream,
            Err(reason) => return reason,
        };
        let read = async { self.read(stream.clone(), connection).await.unwrap_or(Reason::Reset) };
        let write = async { self.write(stream.clone(), connection).await.unwrap_or(Reason::Reset) };
        // Poll the reader first, so that the end of the connection is noticed before anything more is written.
        let reason = future::or(future::or(read, write), abort()).await;
        let ended_by_run_store = matches!(reason, Reason::PeerClosed | Reason::Reset);
        if !ended_by_run_store && !self.limits.get().parallel_attempts {
            self.linger(stream, connection, reason).await;
        }
        reason
    }

    /// Shuts down the write side, then waits until the run store closes its side or nothing is outstanding. Closing
    /// the connection alone would not show that the run store has noticed.
    async fn linger(self: &Rc<Self>, mut stream: Stream, connection: &Connection, reason: Reason) {
        connection.closing.set(Some(reason));
        let (queued, ended) = {
            let mut state = connection.state.borrow_mut();
            (state.take_queued(), state.stop_writing())
        };
        self.report(ended);
        for call in queued {
            self.submit(call, ConnectionState::push_moved);
        }
        let mut readable = reason != Reason::Protocol;
        let mut bytes = vec![0; 16 * 1024];
        if stream.shutdown(Shutdown::Write).is_err() {
            return;
        }
        while connection.state.borrow().pending_calls() > 0 {
            let read = async { Some(stream.read(&mut bytes).await.unwrap_or(0)) };
            let woken = async {
                let _ = connection.wakeup.1.recv().await;
                None
            };
            match future::or(read, woken).await {
                Some(0) => return,
                Some(count) if readable => {
                    let (ended, result) =
                        connection.state.borrow_mut().receive(&bytes[..count], Instant::now());
                    self.report(ended);
                    readable = result.is_ok();
                }
                _ => {}
            }
        }
    }

    async fn read(&self, mut stream: Stream, connection: &Connection) -> io::Result<Reason> {
        let mut bytes = vec![0; 16 * 1024];
        loop {
            let started = connection.state.borrow().partial_frame_since();
            let read = async { stream.read(&mut bytes).await.map(Some) };
            // An incomplete frame that never ends blocks the answers to all outstanding calls.
            let frame_timeout = async {
                match started {
                    Some(at) => Timer::at(at + self.limits.get().connect_timeout).await,
                    None => future::pending().await,
                };
                Ok(None)
            };
            let Some(count) = future::or(read, frame_timeout).await? else {
                log::line("frames: timed out waiting for the rest of a frame");
                return Ok(Reason::Protocol);
            };
            if count == 0 {
                return Ok(Reason::PeerClosed);
            }
            let (ended, result) = connection.state.borrow_mut().receive(&bytes[..count], Instant::now());
            self.report(ended);
            if let Err(reason) = result {
                log::line(&format!("frames: {reason}"));
                return Ok(Reason::Protocol);
            }
            connection.wake();
        }
    }

    async fn write(&self, mut stream: Stream, connection: &Connection) -> io::Result<Reason> {
        let timeout_ms = |call: &Call| (call.until - self.driver.now()).max(1.0) as u64;
        loop {
            let started = self.driver.now();
            let expired = connection.state.borrow_mut().expire(started);
            self.report(expired);
            let frame = connection.state.borrow_mut().next_frame(timeout_ms);
            if let Some(frame) = frame {
                let written = async { stream.write_all(&frame).await.map(|()| true) };
                // A part may run only from the last byte of its frame on, so that byte must be written before the
                // earliest time limit of the parts.
                let time_limit =
                    connection.state.borrow().writing().map(|call| call.allowed_until).reduce(f64::min);
                let write_timeout = time_limit
                    .map_or(WRITE_TIMEOUT, |until| duration_from_millis(until - started).min(WRITE_TIMEOUT));
                let limit = async {
                    Timer::after(write_timeout).await;
                    Ok(false)
                };
                // A partially written frame makes the connection unusable.
                let written = future::or(written, limit).await;
                let all = matches!(written, Ok(true));
                connection.state.borrow().writing().for_each(|call| self.driver.progress(call, started, all));
                if !written? {
                    return Ok(Reason::TooSlow);
                }
                let attempts = connection.state.borrow_mut().mark_written(Instant::now());
                self.driver.count(|counters| counters.tries += attempts as u64);
                continue;
            }
            let (idle, suspect, load) = {
                let state = connection.state.borrow();
                (state.is_idle(), state.is_presumed_dead(), state.pending_calls())
            };
            if suspect && load == 0 {
                return Ok(Reason::Silent);
            }
            let shutdown_at = connection.state.borrow().write_shutdown_at();
            if shutdown_at.is_some_and(|at| at <= Instant::now()) {
                return Ok(connection.closing.get().unwrap_or(Reason::Asked));
            }
            let needed_elsewhere = (!self.waiting.borrow().is_empty()).then_some(Reason::Full);
            if let Some(reason) = connection.closing.get().or(needed_elsewhere).filter(|_| idle) {
                return Ok(reason);
            }
            let woken = async {
                let _ = connection.wakeup.1.recv().await;
                false
            };
            let timed_out = async {
                if idle {
                    Timer::after(self.limits.get().idle_timeout()).await;
                    return true;
                }
                match shutdown_at {
                    Some(at) => Timer::at(at).await,
                    None => future::pending().await,
                };
                false
            };
            if future::or(woken, timed_out).await {
                return Ok(Reason::Idle);
            }
        }
    }

    fn report(&self, ended: Vec<EndEvent>) {
        for ended in ended {
            match ended {
                EndEvent::Call(no, end) => self.driver.call_ended(no, end),
                EndEvent::LoadProbe(no, ok, load) => self.driver.probe_ended(no, ok, load),
            }
        }
    }

    fn for_each_connection(&self, run_store: &ReplicaId, act: impl FnMut(&Rc<Connection>)) {
        let connections = self.run_stores.borrow().get(run_store).map(|entry| entry.connections.clone());
        connections.unwrap_or_default().iter().for_each(act);
    }
}

impl RunStores for Rc<FrameTransport> {
    fn send(&self, call: Call) {
        self.submit(call, ConnectionState::push);
    }

    fn abandon(&self, run_store: &ReplicaId, no: CallNo, await_proof: bool) {
        let unsent = self.take_waiting(|call| call.no == no);
        if await_proof {
            self.report(
                unsent.into_iter().map(|no| EndEvent::Call(no, CallEnd::bare(Outcome::NotSent))).collect(),
            );
            return self.for_each_connection(run_store, |connection| {
                let ended = connection.state.borrow_mut().give_up_with_proof(no, Instant::now());
                self.report(ended.into_iter().collect());
                connection.wake();
            });
        }
        self.for_each_connection(run_store, |connection| {
            if connection.state.borrow_mut().give_up(no, Instant::now()) {
                connection.wake();
            }
        });
    }

    fn probe(&self, run_store: &ReplicaId, no: CallNo) {
        match self.connection(run_store, None) {
            Ok(connection) => {
                connection.state.borrow_mut().push_load_probe(no);
                connection.wake();
            }
            Err(error) => {
                if matches!(error, NoConnection::LimitReached) {
                    // The next probe will find a free connection.
                    self.close_longest_idle();
                }
                self.driver.probe_ended(no, false, None);
            }
        }
    }

    fn probe_timed_out(&self, run_store: &ReplicaId, no: CallNo) {
        self.for_each_connection(run_store, |connection| {
            if connection.state.borrow_mut().give_up_load_probe(no) {
                connection.wake();
            }
        });
    }

    fn close_idle(&self, run_store: &ReplicaId) {
        self.for_each_connection(run_store, |connection| {
            if connection.state.borrow().is_idle() {
                connection.close(Reason::Asked);
            }
        });
    }

    fn retire(&self, run_store: &ReplicaId) {
        if let Some(entry) = self.run_stores.borrow_mut().get_mut(run_store) {
            entry.retired = true;
        }
        for no in self.take_waiting(|call| call.run_store == *run_store) {
            self.driver.call_ended(no, CallEnd::bare(Outcome::NotSent));
        }
        self.for_each_connection(run_store, |connection| {
            let ended = connection.state.borrow_mut().retire();
            connection.close(Reason::Retired);
            self.report(ended);
        });
        self.remove_unused(run_store);
    }

    fn tracked_run_stores(&self) -> usize {
        self.run_stores.borrow().len()
    }

    fn connections(&self) -> usize {
        self.open_connections.get()
    }

    fn set_max_connections(&self, connections: usize) {
        self.limits.set(Limits { max_connections: connections, ..self.limits.get() });
        self.submit_waiting();
    }

    fn apply_settings(&self, site: &SiteSettings) {
        self.limits.set(Limits::from_settings(site, self.limits.get().max_connections));
        let run_stores = self.run_stores.borrow();
        let open_connections =
            run_stores.values().flat_map(|entry| &entry.connections).filter(|c| c.closing.get().is_none());
        open_connections.for_each(|connection| {
            connection.state.borrow_mut().allow_proof_probes(self.limits.get().probes_allowed)
        });
    }

    fn locate(&self, run_store: &ReplicaId, address: SocketAddr, started: Option<Millis>) {
        let endpoint = Some((address, started));
        let process_changed =
            self.run_stores.borrow().get(run_store).is_some_and(|entry| entry.endpoint != endpoint);
        if process_changed {
            // Connections to an earlier process of that run store are dead, even if no error has shown it yet.
            self.for_each_connection(run_store, |connection| {
                let _ = connection.abort.0.try_send(Reason::Retired);
                connection.close(Reason::Retired);
            });
        }
        let mut run_stores = self.run_stores.borrow_mut();
        let entry = run_stores.entry(run_store.clone()).or_default();
        (entry.endpoint, entry.retired) = (endpoint, false);
    }
}
