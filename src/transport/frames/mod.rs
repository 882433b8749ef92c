//! The platform's run stores: frames on pooled connections, many parts at once on each.

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
use crate::transport::{connect_failed, span, At, Limits, NO_SOCKET_PAUSE};
use link::{Ended, Link};

/// The longest a frame may take to be written. A run store that reads nothing for so long is no use.
const WRITE_LIMIT: Duration = Duration::from_secs(2);
/// Connections to one run store at once, silent ones included: one that answers on none is not met by a storm.
const MOST_AT_ONE: usize = 4;
/// Before any answer, the usual time of answers is this share of the time in which a connection comes up.
const FIRST_USUAL: f64 = 0.4;

#[derive(Default)]
struct Place {
    at: Option<At>,
    retired: bool,
    connections: Vec<Rc<Connection>>,
}

/// Why there is no connection for a call.
enum Lack {
    /// There may be no more of them for now.
    Room,
    /// The run store takes nothing new, or it is not known where it listens.
    Place,
}

/// How a call is put on a connection.
type Push = fn(&mut Link, Call);

/// The transport.
pub struct Frames {
    driver: Rc<Driver>,
    limits: Cell<Limits>,
    places: RefCell<BTreeMap<ReplicaId, Place>>,
    /// Calls for which there is no room for a connection yet, oldest first.
    waiting: RefCell<VecDeque<(Call, Push)>>,
    open: Cell<usize>,
}

struct Connection {
    link: RefCell<Link>,
    /// Wakes the writer.
    signal: (Sender<()>, Receiver<()>),
    /// Why to close it once nothing is out.
    closing: Cell<Option<Reason>>,
    /// Ends it at once, also with something out.
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

impl Frames {
    /// A transport that reports to a driver.
    pub fn new(driver: Rc<Driver>, limits: Limits) -> Rc<Self> {
        Rc::new(Frames {
            driver,
            limits: Cell::new(limits),
            places: RefCell::default(),
            waiting: RefCell::default(),
            open: Cell::new(0),
        })
    }

    /// A connection with room, or a new one, or what is lacking for it.
    ///
    /// While one is coming up, what follows waits for it: a run store that has just started meets one new
    /// connection of this aggregator, not one for each part. A connection may fall silent by itself: what follows
    /// goes on a new one, and the router learns from answers on that one what is lost on the old.
    fn connection(self: &Rc<Self>, replica: &ReplicaId) -> Result<Rc<Connection>, Lack> {
        let mut places = self.places.borrow_mut();
        let place = places.get_mut(replica).filter(|place| !place.retired).ok_or(Lack::Place)?;
        let (address, _) = place.at.ok_or(Lack::Place)?;
        let now = Instant::now();
        let room = |c: &&Rc<Connection>| {
            let link = c.link.borrow();
            c.closing.get().is_none() && !link.is_suspect() && link.load() < self.limits.get().streams
        };
        let speaks = |c: &&Rc<Connection>| room(c) && !c.link.borrow().is_silent(now);
        if let Some(connection) = place.connections.iter().find(speaks) {
            return Ok(connection.clone());
        }
        let last = place.connections.iter().filter(room).max_by_key(|c| c.link.borrow().heard());
        let many = last.is_some() && place.connections.len() >= MOST_AT_ONE;
        if many || self.open.get() >= self.limits.get().connections {
            return last.cloned().ok_or(Lack::Room);
        }
        let usual = last.map_or(self.limits.get().connect.mul_f64(FIRST_USUAL), |c| c.link.borrow().usual());
        let mut link = Link::new(self.limits.get().bundle, now, usual);
        link.set_may_prove(self.limits.get().probes);
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

    /// The life of a connection, from before it is up to its line in the log.
    async fn keep(self: Rc<Self>, replica: ReplicaId, address: SocketAddr, connection: Rc<Connection>) {
        let reason = self.talk(address, &connection).await;
        let says_nothing = !matches!(reason, Reason::ConnectFailed | Reason::ConnectTimeout);
        // From here on nothing is put on it; only then is what it carried ended.
        if let Some(place) = self.places.borrow_mut().get_mut(&replica) {
            place.connections.retain(|known| !Rc::ptr_eq(known, &connection));
        }
        self.forget(&replica);
        self.open.set(self.open.get() - 1);
        // Run stores close connections between requests as they like. What had not begun to be written goes on
        // another connection: that this one ended is no sign that the run store cannot be reached.
        let queued = if says_nothing { connection.link.borrow_mut().take_queued() } else { Vec::new() };
        let ended = connection.link.borrow_mut().broken(reason == Reason::Protocol);
        log::ended(
            "run_store",
            Some(address),
            reason,
            format_args!("name={} lost={}", replica.0, ended.len()),
        );
        self.report(ended);
        if reason == Reason::NoSocket {
            // What is queued waits for one, as it waits for room.
            queued.into_iter().for_each(|call| self.wait_for_room((call, Link::push)));
            Timer::after(NO_SOCKET_PAUSE).await;
        } else {
            queued.into_iter().for_each(|call| self.put(call, Link::push_again));
        }
        self.put_waiting();
    }

    /// Keeps nothing of a run store that is retired and has no connection left: most never come back.
    fn forget(&self, replica: &ReplicaId) {
        let mut places = self.places.borrow_mut();
        if places.get(replica).is_some_and(|place| place.retired && place.connections.is_empty()) {
            places.remove(replica);
        }
    }

    /// Puts a call on a connection. Where there may be no more of them, one that stands idle makes room, as soon as one
    /// does: that this aggregator holds many connections says nothing of the run store, which is not even asked.
    fn put(self: &Rc<Self>, call: Call, push: Push) {
        if let Some(left) = self.try_put(call, push) {
            self.close_longest_idle();
            self.wait_for_room(left);
        }
    }

    /// A call waits until a connection may be had, as long as one may take to come up.
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

    /// Puts a call on a connection, or hands it back if there is no room for one.
    fn try_put(self: &Rc<Self>, call: Call, push: Push) -> Option<(Call, Push)> {
        match self.connection(&call.run_store) {
            Ok(connection) => {
                push(&mut connection.link.borrow_mut(), call);
                connection.wake();
            }
            Err(Lack::Place) => self.driver.call_ended(call.no, CallEnd::bare(Outcome::ConnectFailed)),
            Err(Lack::Room) => return Some((call, push)),
        }
        None
    }

    /// There may be room for what waits.
    fn put_waiting(self: &Rc<Self>) {
        for (call, push) in self.waiting.take() {
            let left = self.try_put(call, push);
            self.waiting.borrow_mut().extend(left);
        }
    }

    /// Takes calls from those that wait; says which.
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
        if let Some(connection) = all.filter(idle).min_by_key(|c| c.link.borrow().heard()) {
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
        // Reading comes first: an end that has come is seen before anything is written after it.
        let reason = future::or(future::or(read, write), cut()).await;
        let by_run_store = matches!(reason, Reason::PeerClosed | Reason::Reset);
        if !by_run_store && !self.limits.get().copies {
            self.linger(stream, connection, reason).await;
        }
        reason
    }

    /// Ends this side of a connection, and waits until the run store has ended its own or nothing is out any more: that
    /// it was closed here does not say that the run store has read so.
    async fn linger(self: &Rc<Self>, mut stream: Stream, connection: &Connection, reason: Reason) {
        connection.closing.set(Some(reason));
        let (queued, ended) = {
            let mut link = connection.link.borrow_mut();
            (link.take_queued(), link.sever())
        };
        self.report(ended);
        for call in queued {
            self.put(call, Link::push_again);
        }
        let mut readable = reason != Reason::Protocol;
        let mut bytes = vec![0; 16 * 1024];
        if stream.shutdown(Shutdown::Write).is_err() {
            return;
        }
        while connection.link.borrow().load() > 0 {
            let read = async { Some(stream.read(&mut bytes).await.unwrap_or(0)) };
            let woken = async {
                let _ = connection.signal.1.recv().await;
                None
            };
            match future::or(read, woken).await {
                Some(0) => return,
                Some(count) if readable => {
                    let (ended, came) = connection.link.borrow_mut().read(&bytes[..count], Instant::now());
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
            let begun = connection.link.borrow().inside_since();
            let read = async { stream.read(&mut bytes).await.map(Some) };
            // A frame that has begun and does not end keeps back all that is out here.
            let stuck = async {
                match begun {
                    Some(at) => Timer::at(at + self.limits.get().connect).await,
                    None => future::pending().await,
                };
                Ok(None)
            };
            let Some(count) = future::or(read, stuck).await? else {
                log::line("frames: a frame that does not end");
                return Ok(Reason::Protocol);
            };
            if count == 0 {
                return Ok(Reason::PeerClosed);
            }
            let (ended, came) = connection.link.borrow_mut().read(&bytes[..count], Instant::now());
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
                // What is late for the frame's last byte is late for the part: it counts from there on.
                let by = connection.link.borrow().writing().map(|call| call.allowed_until).reduce(f64::min);
                let by = by.map_or(WRITE_LIMIT, |by| span(by - begun).min(WRITE_LIMIT));
                let limit = async {
                    Timer::after(by).await;
                    Ok(false)
                };
                // A frame that is written in half spoils the connection.
                let written = future::or(written, limit).await;
                let all = matches!(written, Ok(true));
                connection.link.borrow().writing().for_each(|call| self.driver.progress(call, begun, all));
                if !written? {
                    return Ok(Reason::TooSlow);
                }
                let attempts = connection.link.borrow_mut().written(Instant::now());
                self.driver.count(|counters| counters.tries += attempts as u64);
                continue;
            }
            let (idle, suspect, load) = {
                let link = connection.link.borrow();
                (link.is_idle(), link.is_suspect(), link.load())
            };
            if suspect && load == 0 {
                return Ok(Reason::Silent);
            }
            let shuts = connection.link.borrow().shuts_at();
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

    fn report(&self, ended: Vec<Ended>) {
        for ended in ended {
            match ended {
                Ended::Call(no, end) => self.driver.call_ended(no, end),
                Ended::Probe(no, ok, load) => self.driver.probe_ended(no, ok, load),
            }
        }
    }

    fn each(&self, replica: &ReplicaId, act: impl FnMut(&Rc<Connection>)) {
        let connections = self.places.borrow().get(replica).map(|place| place.connections.clone());
        connections.unwrap_or_default().iter().for_each(act);
    }
}

impl RunStores for Rc<Frames> {
    fn send(&self, call: Call) {
        self.put(call, Link::push);
    }

    fn abandon(&self, replica: &ReplicaId, no: CallNo, await_proof: bool) {
        let unsent = self.take_waiting(|call| call.no == no);
        if await_proof {
            self.report(
                unsent.into_iter().map(|no| Ended::Call(no, CallEnd::bare(Outcome::NotSent))).collect(),
            );
            return self.each(replica, |connection| {
                let ended = connection.link.borrow_mut().call_back(no, Instant::now());
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
                    // The next probe finds room.
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
        for no in self.take_waiting(|call| call.run_store == *replica) {
            self.driver.call_ended(no, CallEnd::bare(Outcome::NotSent));
        }
        self.each(replica, |connection| {
            let ended = connection.link.borrow_mut().retire();
            connection.close(Reason::Retired);
            self.report(ended);
        });
        self.forget(replica);
    }

    fn tracked_run_stores(&self) -> usize {
        self.places.borrow().len()
    }

    fn connections(&self) -> usize {
        self.open.get()
    }

    fn set_max_connections(&self, connections: usize) {
        self.limits.set(Limits { connections, ..self.limits.get() });
        self.put_waiting();
    }

    fn apply_settings(&self, site: &SiteSettings) {
        self.limits.set(Limits::of(site, self.limits.get().connections));
        let places = self.places.borrow();
        let open = places.values().flat_map(|place| &place.connections).filter(|c| c.closing.get().is_none());
        open.for_each(|connection| connection.link.borrow_mut().set_may_prove(self.limits.get().probes));
    }

    fn locate(&self, replica: &ReplicaId, address: SocketAddr, started: Option<Millis>) {
        let at = Some((address, started));
        let moved = self.places.borrow().get(replica).is_some_and(|place| place.at != at);
        if moved {
            // Connections to an earlier process of that name are dead, whether they know it or not.
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
