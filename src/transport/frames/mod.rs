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
use crate::transport::{connect_failed, duration_from_millis, At, Limits, NO_SOCKET_PAUSE};
use link::{ConnectionState, EndEvent};

/// Timeout for writing a frame. A run store that reads nothing for this long is unusable.
const WRITE_LIMIT: Duration = Duration::from_secs(2);
/// Maximum number of connections to one run store, unresponsive ones included, so that a run store that answers on
/// none of them is not flooded with connections.
const MOST_AT_ONE: usize = 4;
/// Before the first answer, the average response time is assumed to be this share of the connect timeout.
const FIRST_USUAL: f64 = 0.4;

#[derive(Default)]
struct Place {
    at: Option<At>,
    retired: bool,
    connections: Vec<Rc<Connection>>,
}

/// Why there is no connection for a call.
enum Lack {
    /// The connection limit is reached.
    Room,
    /// The run store accepts nothing new, or its address is unknown.
    Place,
}

/// How to queue a call on a connection.
type Push = fn(&mut ConnectionState, Call);

/// The transport with binary frames.
pub struct FrameTransport {
    driver: Rc<Driver>,
    limits: Cell<Limits>,
    places: RefCell<BTreeMap<ReplicaId, Place>>,
    /// Calls that wait until a connection may be opened, oldest first.
    waiting: RefCell<VecDeque<(Call, Push)>>,
    open: Cell<usize>,
}

struct Connection {
    link: RefCell<ConnectionState>,
    /// Wakes the writer.
    signal: (Sender<()>, Receiver<()>),
    /// The reason to close the connection once it is idle.
    closing: Cell<Option<Reason>>,
    /// Ends the connection at once, even with calls outstanding.
    cut: (Sender<Reason>, Receiver<Reason>),
}

impl Connection {
    fn wake(&self) {
        let _ = self.signal.0.try_send(());
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
            places: RefCell::default(),
            waiting: RefCell::default(),
            open: Cell::new(0),
        })
    }

    /// Returns a connection with free capacity, opens a new one, or returns why neither is possible.
    ///
    /// While a connection is being established, further calls wait for it, so that a run store that has just started
    /// gets one new connection from this aggregator rather than one for each part. A single connection may become
    /// unresponsive: further calls then use a new one, and the answers there show the router which calls on the old
    /// one are lost.
    fn connection(self: &Rc<Self>, replica: &ReplicaId) -> Result<Rc<Connection>, Lack> {
        let mut places = self.places.borrow_mut();
        let place = places.get_mut(replica).filter(|place| !place.retired).ok_or(Lack::Place)?;
        let (address, _) = place.at.ok_or(Lack::Place)?;
        let now = Instant::now();
        let room = |c: &&Rc<Connection>| {
            let link = c.link.borrow();
            c.closing.get().is_none()
                && !link.is_presumed_dead()
                && link.pending_calls() < self.limits.get().streams
        };
        let speaks = |c: &&Rc<Connection>| room(c) && !c.link.borrow().is_unresponsive(now);
        if let Some(connection) = place.connections.iter().find(speaks) {
            return Ok(connection.clone());
        }
        let last = place.connections.iter().filter(room).max_by_key(|c| c.link.borrow().last_input());
        let many = last.is_some() && place.connections.len() >= MOST_AT_ONE;
        if many || self.open.get() >= self.limits.get().connections {
            return last.cloned().ok_or(Lack::Room);
        }
        let usual = last.map_or(self.limits.get().connect.mul_f64(FIRST_USUAL), |c| {
            c.link.borrow().average_response_time()
        });
        let mut link = ConnectionState::new(self.limits.get().bundle, now, usual);
        link.allow_proof_probes(self.limits.get().probes);
        let connection = Rc::new(Connection {
            link: RefCell::new(link),
            signal: async_channel::bounded(1),
            closing: Cell::new(None),
            cut: async_channel::bounded(1),
        });
        place.connections.push(connection.clone());
        self.open.set(self.open.get() + 1);
        let task = self.clone().keep(replica.clone(), address, connection.clone());
        self.driver.executor().spawn(task).detach();
        Ok(connection)
    }

    /// Runs a connection, from connecting to its final log line.
    async fn keep(self: Rc<Self>, replica: ReplicaId, address: SocketAddr, connection: Rc<Connection>) {
        let reason = self.talk(address, &connection).await;
        let says_nothing = !matches!(reason, Reason::ConnectFailed | Reason::ConnectTimeout);
        // No call can be put on the connection after this, so the calls on it can be ended.
        if let Some(place) = self.places.borrow_mut().get_mut(&replica) {
            place.connections.retain(|known| !Rc::ptr_eq(known, &connection));
        }
        self.forget(&replica);
        self.open.set(self.open.get() - 1);
        // Run stores may close connections between requests at any time. Calls that are still queued move to another
        // connection, as the end of this one does not mean that the run store is unreachable.
        let queued = if says_nothing { connection.link.borrow_mut().take_queued() } else { Vec::new() };
        let ended = connection.link.borrow_mut().end_all(reason == Reason::Protocol);
        log::ended(
            "run_store",
            Some(address),
            reason,
            format_args!("name={} lost={}", replica.0, ended.len()),
        );
        self.report(ended);
        if reason == Reason::NoSocket {
            // Queued calls wait until a connection can be made, as they do when the connection limit is reached.
            queued.into_iter().for_each(|call| self.wait_for_room((call, ConnectionState::push)));
            Timer::after(NO_SOCKET_PAUSE).await;
        } else {
            queued.into_iter().for_each(|call| self.put(call, ConnectionState::push_moved));
        }
        self.put_waiting();
    }

    /// Drops the state of a retired run store without connections. Most never come back.
    fn forget(&self, replica: &ReplicaId) {
        let mut places = self.places.borrow_mut();
        if places.get(replica).is_some_and(|place| place.retired && place.connections.is_empty()) {
            places.remove(replica);
        }
    }

    /// Queues a call on a connection. If the connection limit is reached, an idle connection is closed to make room,
    /// as soon as there is one. That this aggregator holds many connections says nothing about the run store, which
    /// has not even been contacted.
    fn put(self: &Rc<Self>, call: Call, push: Push) {
        if let Some(left) = self.try_put(call, push) {
            self.close_longest_idle();
            self.wait_for_room(left);
        }
    }

    /// Lets a call wait for a connection, for at most the connect timeout.
    fn wait_for_room(self: &Rc<Self>, (call, push): (Call, Push)) {
        let no = call.no;
        self.waiting.borrow_mut().push_back((call, push));
        let (frames, limit) = (self.clone(), self.limits.get().connect);
        let given_up = async move {
            Timer::after(limit).await;
            for no in frames.take_waiting(|call| call.no == no) {
                frames.driver.call_ended(no, CallEnd::bare(Outcome::NotSent));
            }
        };
        self.driver.executor().spawn(given_up).detach();
    }

    /// Queues a call on a connection, or returns it if the connection limit is reached.
    fn try_put(self: &Rc<Self>, call: Call, push: Push) -> Option<(Call, Push)> {
        match self.connection(&call.replica) {
            Ok(connection) => {
                push(&mut connection.link.borrow_mut(), call);
                connection.wake();
            }
            Err(Lack::Place) => self.driver.call_ended(call.no, CallEnd::bare(Outcome::ConnectFailed)),
            Err(Lack::Room) => return Some((call, push)),
        }
        None
    }

    /// Retries the waiting calls after capacity may have become available.
    fn put_waiting(self: &Rc<Self>) {
        for (call, push) in self.waiting.take() {
            let left = self.try_put(call, push);
            self.waiting.borrow_mut().extend(left);
        }
    }

    /// Removes the waiting calls that match, and returns their numbers.
    fn take_waiting(&self, which: impl Fn(&Call) -> bool) -> Vec<CallNo> {
        let mut waiting = self.waiting.borrow_mut();
        let taken = waiting.iter().filter(|(call, _)| which(call)).map(|(call, _)| call.no).collect();
        waiting.retain(|(call, _)| !which(call));
        taken
    }

    fn close_longest_idle(&self) {
        let places = self.places.borrow();
        let idle = |c: &&Rc<Connection>| c.closing.get().is_none() && c.link.borrow().is_idle();
        let all = places.values().flat_map(|place| &place.connections);
        if let Some(connection) = all.filter(idle).min_by_key(|c| c.link.borrow().last_input()) {
            connection.close(Reason::Full);
        }
    }

    async fn talk(self: &Rc<Self>, address: SocketAddr, connection: &Connection) -> Reason {
        let cut = || async { connection.cut.1.recv().await.unwrap_or(Reason::Retired) };
        let connect = within(self.limits.get().connect, Stream::connect(address));
        let connect = async { connect.await.map_err(|error| connect_failed(&error)) };
        let retired = async { Err(cut().await) };
        let stream = match future::or(connect, retired).await {
            Ok(stream) => stream,
            Err(reason) => return reason,
        };
        let read = async { self.read(stream.clone(), connection).await.unwrap_or(Reason::Reset) };
        let write = async { self.write(stream.clone(), connection).await.unwrap_or(Reason::Reset) };
        // Poll the reader first, so that the end of the connection is noticed before anything more is written.
        let reason = future::or(future::or(read, write), cut()).await;
        let by_run_store = matches!(reason, Reason::PeerClosed | Reason::Reset);
        if !by_run_store && !self.limits.get().copies {
            self.linger(stream, connection, reason).await;
        }
        reason
    }

    /// Shuts down the write side, then waits until the run store closes its side or nothing is outstanding. Closing
    /// the connection alone would not show that the run store has noticed.
    async fn linger(self: &Rc<Self>, mut stream: Stream, connection: &Connection, reason: Reason) {
        connection.closing.set(Some(reason));
        let (queued, ended) = {
            let mut link = connection.link.borrow_mut();
            (link.take_queued(), link.stop_writing())
        };
        self.report(ended);
        for call in queued {
            self.put(call, ConnectionState::push_moved);
        }
        let mut readable = reason != Reason::Protocol;
        let mut bytes = vec![0; 16 * 1024];
        if stream.shutdown(Shutdown::Write).is_err() {
            return;
        }
        while connection.link.borrow().pending_calls() > 0 {
            let read = async { Some(stream.read(&mut bytes).await.unwrap_or(0)) };
            let woken = async {
                let _ = connection.signal.1.recv().await;
                None
            };
            match future::or(read, woken).await {
                Some(0) => return,
                Some(count) if readable => {
                    let (ended, came) = connection.link.borrow_mut().receive(&bytes[..count], Instant::now());
                    self.report(ended);
                    readable = came.is_ok();
                }
                _ => {}
            }
        }
    }

    async fn read(&self, mut stream: Stream, connection: &Connection) -> io::Result<Reason> {
        let mut bytes = vec![0; 16 * 1024];
        loop {
            let begun = connection.link.borrow().partial_frame_since();
            let read = async { stream.read(&mut bytes).await.map(Some) };
            // An incomplete frame that never ends blocks the answers to all outstanding calls.
            let stuck = async {
                match begun {
                    Some(at) => Timer::at(at + self.limits.get().connect).await,
                    None => future::pending().await,
                };
                Ok(None)
            };
            let Some(count) = future::or(read, stuck).await? else {
                log::line("frames: timed out waiting for the rest of a frame");
                return Ok(Reason::Protocol);
            };
            if count == 0 {
                return Ok(Reason::PeerClosed);
            }
            let (ended, came) = connection.link.borrow_mut().receive(&bytes[..count], Instant::now());
            self.report(ended);
            if let Err(why) = came {
                log::line(&format!("frames: {why}"));
                return Ok(Reason::Protocol);
            }
            connection.wake();
        }
    }

    async fn write(&self, mut stream: Stream, connection: &Connection) -> io::Result<Reason> {
        let wait = |call: &Call| (call.until - self.driver.now()).max(1.0) as u64;
        loop {
            let begun = self.driver.now();
            let expired = connection.link.borrow_mut().expire(begun);
            self.report(expired);
            let frame = connection.link.borrow_mut().next_frame(wait);
            if let Some(frame) = frame {
                let written = async { stream.write_all(&frame).await.map(|()| true) };
                // A part may run only from the last byte of its frame on, so that byte must be written before the
                // earliest time limit of the parts.
                let by = connection.link.borrow().writing().map(|call| call.allowed_until).reduce(f64::min);
                let by = by.map_or(WRITE_LIMIT, |by| duration_from_millis(by - begun).min(WRITE_LIMIT));
                let limit = async {
                    Timer::after(by).await;
                    Ok(false)
                };
                // A partially written frame makes the connection unusable.
                let written = future::or(written, limit).await;
                let all = matches!(written, Ok(true));
                connection.link.borrow().writing().for_each(|call| self.driver.progress(call, begun, all));
                if !written? {
                    return Ok(Reason::TooSlow);
                }
                let attempts = connection.link.borrow_mut().mark_written(Instant::now());
                self.driver.count(|counters| counters.tries += attempts as u64);
                continue;
            }
            let (idle, suspect, load) = {
                let link = connection.link.borrow();
                (link.is_idle(), link.is_presumed_dead(), link.pending_calls())
            };
            if suspect && load == 0 {
                return Ok(Reason::Silent);
            }
            let shuts = connection.link.borrow().write_shutdown_at();
            if shuts.is_some_and(|at| at <= Instant::now()) {
                return Ok(connection.closing.get().unwrap_or(Reason::Asked));
            }
            let wanted = (!self.waiting.borrow().is_empty()).then_some(Reason::Full);
            if let Some(reason) = connection.closing.get().or(wanted).filter(|_| idle) {
                return Ok(reason);
            }
            let woken = async {
                let _ = connection.signal.1.recv().await;
                false
            };
            let rested = async {
                if idle {
                    Timer::after(self.limits.get().idle()).await;
                    return true;
                }
                match shuts {
                    Some(at) => Timer::at(at).await,
                    None => future::pending().await,
                };
                false
            };
            if future::or(woken, rested).await {
                return Ok(Reason::Idle);
            }
        }
    }

    fn report(&self, ended: Vec<EndEvent>) {
        for ended in ended {
            match ended {
                EndEvent::Call(no, end) => self.driver.call_ended(no, end),
                EndEvent::Probe(no, ok, load) => self.driver.probe_ended(no, ok, load),
            }
        }
    }

    fn each(&self, replica: &ReplicaId, act: impl FnMut(&Rc<Connection>)) {
        let connections = self.places.borrow().get(replica).map(|place| place.connections.clone());
        connections.unwrap_or_default().iter().for_each(act);
    }
}

impl RunStores for Rc<FrameTransport> {
    fn send(&self, call: Call) {
        self.put(call, ConnectionState::push);
    }

    fn give_up(&self, replica: &ReplicaId, no: CallNo, await_proof: bool) {
        let unsent = self.take_waiting(|call| call.no == no);
        if await_proof {
            self.report(
                unsent.into_iter().map(|no| EndEvent::Call(no, CallEnd::bare(Outcome::NotSent))).collect(),
            );
            return self.each(replica, |connection| {
                let ended = connection.link.borrow_mut().give_up_with_proof(no, Instant::now());
                self.report(ended.into_iter().collect());
                connection.wake();
            });
        }
        self.each(replica, |connection| {
            if connection.link.borrow_mut().give_up(no, Instant::now()) {
                connection.wake();
            }
        });
    }

    fn probe(&self, replica: &ReplicaId, no: CallNo) {
        match self.connection(replica) {
            Ok(connection) => {
                connection.link.borrow_mut().push_probe(no);
                connection.wake();
            }
            Err(lack) => {
                if matches!(lack, Lack::Room) {
                    // The next probe will find a free connection.
                    self.close_longest_idle();
                }
                self.driver.probe_ended(no, false, None);
            }
        }
    }

    fn probe_timed_out(&self, replica: &ReplicaId, no: CallNo) {
        self.each(replica, |connection| {
            if connection.link.borrow_mut().give_up_probe(no) {
                connection.wake();
            }
        });
    }

    fn close_idle(&self, replica: &ReplicaId) {
        self.each(replica, |connection| {
            if connection.link.borrow().is_idle() {
                connection.close(Reason::Asked);
            }
        });
    }

    fn retire(&self, replica: &ReplicaId) {
        if let Some(place) = self.places.borrow_mut().get_mut(replica) {
            place.retired = true;
        }
        for no in self.take_waiting(|call| call.replica == *replica) {
            self.driver.call_ended(no, CallEnd::bare(Outcome::NotSent));
        }
        self.each(replica, |connection| {
            let ended = connection.link.borrow_mut().retire();
            connection.close(Reason::Retired);
            self.report(ended);
        });
        self.forget(replica);
    }

    fn places(&self) -> usize {
        self.places.borrow().len()
    }

    fn open(&self) -> usize {
        self.open.get()
    }

    fn room(&self, connections: usize) {
        self.limits.set(Limits { connections, ..self.limits.get() });
        self.put_waiting();
    }

    fn apply_settings(&self, site: &SiteSettings) {
        self.limits.set(Limits::from_settings(site, self.limits.get().connections));
        let places = self.places.borrow();
        let open = places.values().flat_map(|place| &place.connections).filter(|c| c.closing.get().is_none());
        open.for_each(|connection| connection.link.borrow_mut().allow_proof_probes(self.limits.get().probes));
    }

    fn locate(&self, replica: &ReplicaId, address: SocketAddr, started: Option<Millis>) {
        let at = Some((address, started));
        let moved = self.places.borrow().get(replica).is_some_and(|place| place.at != at);
        if moved {
            // Connections to an earlier process of that run store are dead, even if no error has shown it yet.
            self.each(replica, |connection| {
                let _ = connection.cut.0.try_send(Reason::Retired);
                connection.close(Reason::Retired);
            });
        }
        let mut places = self.places.borrow_mut();
        let place = places.entry(replica.clone()).or_default();
        (place.at, place.retired) = (at, false);
    }
}
