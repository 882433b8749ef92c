//! Run stores that speak the OpenSearch-style API: one search of one shard at a time on each connection.
//!
//! A search is given up by closing its connection, as this API's clients do. Where it has to be proved to be over, only
//! this side is ended, and the other is read on: the run store answers, or ends its side as it has noticed.

pub mod answer;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use async_channel::{Receiver, Sender};
use async_io::Timer;
use futures_lite::future;

use crate::api::{Millis, Outcome, ReplicaId};
use crate::core::drive::{Driver, RunStores};
use crate::core::{Call, CallEnd, CallNo};
use crate::http::client::{within, Client};
use crate::http::parse::Message;
use crate::http::write;
use crate::log::{self, Reason};
use crate::settings::SiteSettings;
use crate::transport::{connect_failed, span, At, Limits, NO_SOCKET_PAUSE};
use answer::Found;

/// Connections to one run store at once; more searches wait for one of these.
const MOST_AT_ONE: usize = 32;
/// The most bytes of an answer. Every part that is held may have one: all together stay within the memory.
const MOST_ANSWER: usize = 512 * 1024;

/// What a part of a search carries: parameters for its shard, and the client's body, unchanged. The parameters
/// stand over the body's own keys, as this API has it.
pub fn carry(parameters: &str, body: &[u8]) -> Vec<u8> {
    let mut text = format!("{parameters}\n").into_bytes();
    text.extend_from_slice(body);
    text
}

enum Job {
    Search(Call),
    Probe(CallNo),
}

impl Job {
    fn no(&self) -> CallNo {
        match self {
            Job::Search(call) => call.no,
            Job::Probe(no) => *no,
        }
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Stage {
    Connecting,
    Idle,
    /// It stood idle, and is being closed to make room.
    Leaving,
    /// It has this job, whose request is not wholly written.
    Begun(CallNo),
    /// It has this job, whose request is wholly written.
    Written(CallNo),
}

struct Worker {
    stage: Cell<Stage>,
    jobs: (Sender<Job>, Receiver<Job>),
    kill: (Sender<Reason>, Receiver<Reason>),
    /// Ends this side alone, while a job is out.
    end: (Sender<()>, Receiver<()>),
    ends: Cell<bool>,
}

#[derive(Default)]
struct Place {
    at: Option<At>,
    retired: bool,
    queue: VecDeque<Job>,
    workers: Vec<Rc<Worker>>,
}

/// The transport.
pub struct Searches {
    driver: Rc<Driver>,
    limits: Cell<Limits>,
    places: RefCell<BTreeMap<ReplicaId, Place>>,
    /// Run stores for whose first connection there is no room yet, in order.
    lacking: RefCell<VecDeque<ReplicaId>>,
    open: Cell<usize>,
}

impl Searches {
    /// A transport that reports to a driver.
    pub fn new(driver: Rc<Driver>, limits: Limits) -> Rc<Self> {
        Rc::new(Searches {
            driver,
            limits: Cell::new(limits),
            places: RefCell::default(),
            lacking: RefCell::default(),
            open: Cell::new(0),
        })
    }

    fn queue(self: &Rc<Self>, replica: &ReplicaId, job: Job) {
        let refused = match self.places.borrow_mut().get_mut(replica) {
            Some(place) if !place.retired && place.at.is_some() => {
                place.queue.push_back(job);
                None
            }
            _ => Some(job),
        };
        match refused {
            Some(job) => self.end(&job, Outcome::NotSent),
            None => self.pump(replica),
        }
    }

    /// Hands what is queued to connections that stand idle, and opens one more where none does.
    ///
    /// One at a time comes up: a run store that has just started is not met by a storm of connections.
    fn pump(self: &Rc<Self>, replica: &ReplicaId) {
        let mut places = self.places.borrow_mut();
        let Some(place) = places.get_mut(replica) else { return };
        while !place.queue.is_empty() {
            let stage = |stage: Stage| place.workers.iter().find(move |worker| worker.stage.get() == stage);
            if let Some(worker) = stage(Stage::Idle) {
                let Some(job) = place.queue.pop_front() else { return };
                worker.stage.set(Stage::Begun(job.no()));
                let _ = worker.jobs.0.try_send(job);
                continue;
            }
            let Some((address, _)) = place.at.filter(|_| stage(Stage::Connecting).is_none()) else { return };
            if place.workers.len() >= MOST_AT_ONE {
                return;
            }
            if self.open.get() >= self.limits.get().connections {
                // With no connection at all, nobody would ever come for the queue.
                if place.workers.is_empty() {
                    drop(places);
                    self.lack_room(replica);
                }
                return;
            }
            let worker = Rc::new(Worker {
                stage: Cell::new(Stage::Connecting),
                jobs: async_channel::bounded(1),
                kill: async_channel::bounded(1),
                end: async_channel::bounded(1),
                ends: Cell::new(false),
            });
            place.workers.push(worker.clone());
            self.open.set(self.open.get() + 1);
            self.driver.executor().spawn(self.clone().keep(replica.clone(), address, worker)).detach();
            return;
        }
    }

    /// A run store's queue waits for room, which the next connection that stands idle makes: that this aggregator holds
    /// many says nothing of the run store, which is not even asked.
    fn lack_room(self: &Rc<Self>, replica: &ReplicaId) {
        if self.lacking.borrow().contains(replica) {
            return;
        }
        self.lacking.borrow_mut().push_back(replica.clone());
        let places = self.places.borrow();
        let idle = |worker: &&Rc<Worker>| worker.stage.get() == Stage::Idle;
        if let Some(worker) = places.values().flat_map(|place| &place.workers).find(idle) {
            worker.stage.set(Stage::Leaving);
            let _ = worker.kill.0.try_send(Reason::Full);
        }
        let (searches, id, limit) = (self.clone(), replica.clone(), self.limits.get().connect);
        let given_up = async move {
            Timer::after(limit).await;
            searches.lacking.borrow_mut().retain(|lacking| *lacking != id);
            let unmet =
                searches.places.borrow_mut().get_mut(&id).filter(|place| place.workers.is_empty()).map(
                    // What came later has waited for less, and for the same in vain.
                    |place| std::mem::take(&mut place.queue),
                );
            unmet.unwrap_or_default().iter().for_each(|job| searches.end(job, Outcome::NotSent));
        };
        self.driver.executor().spawn(given_up).detach();
    }

    /// There may be room for those that lack it.
    fn pump_lacking(self: &Rc<Self>) {
        for replica in self.lacking.take() {
            self.pump(&replica);
        }
    }

    /// The life of a connection, from before it is up to its line in the log.
    async fn keep(self: Rc<Self>, replica: ReplicaId, address: SocketAddr, worker: Rc<Worker>) {
        let kill = async { worker.kill.1.recv().await.unwrap_or(Reason::Retired) };
        let reason = future::or(kill, self.talk(&replica, address, &worker)).await;
        let mut lost = Vec::new();
        if let Some(place) = self.places.borrow_mut().get_mut(&replica) {
            place.workers.retain(|known| !Rc::ptr_eq(known, &worker));
            let unborn = worker.stage.get() == Stage::Connecting;
            if unborn && place.workers.is_empty() && reason != Reason::NoSocket {
                lost.extend(place.queue.drain(..).map(|job| (job.no(), Outcome::ConnectFailed)));
            }
        }
        self.forget(&replica);
        self.open.set(self.open.get() - 1);
        match worker.stage.get() {
            Stage::Begun(no) => lost.push((no, Outcome::ConnectFailed)),
            Stage::Written(no) => lost.push((no, Outcome::Reset)),
            Stage::Connecting | Stage::Idle | Stage::Leaving => {}
        }
        log::ended(
            "run_store",
            Some(address),
            reason,
            format_args!("name={} lost={}", replica.0, lost.len()),
        );
        for (no, outcome) in lost {
            // A number is an attempt's or a probe's: the core knows which, and passes over the other.
            self.driver.call_ended(no, CallEnd::bare(outcome));
            self.driver.probe_ended(no, false, None);
        }
        if reason == Reason::NoSocket {
            // What is queued waits for one, as it waits for room.
            self.lack_room(&replica);
            Timer::after(NO_SOCKET_PAUSE).await;
        } else {
            self.pump(&replica);
        }
        self.pump_lacking();
    }

    /// Keeps nothing of a run store that is retired and has no connection left: most never come back.
    fn forget(&self, replica: &ReplicaId) {
        let mut places = self.places.borrow_mut();
        if places.get(replica).is_some_and(|place| place.retired && place.workers.is_empty()) {
            places.remove(replica);
        }
    }

    async fn talk(self: &Rc<Self>, replica: &ReplicaId, address: SocketAddr, worker: &Worker) -> Reason {
        let mut client = match Client::connect(address, self.limits.get().connect, MOST_ANSWER).await {
            Ok(client) => client,
            Err(error) => return connect_failed(&error),
        };
        loop {
            worker.stage.set(Stage::Idle);
            self.pump(replica);
            if worker.stage.get() == Stage::Idle && !self.lacking.borrow().is_empty() {
                return Reason::Full;
            }
            let job = async { worker.jobs.1.recv().await.map_err(|_| Reason::Retired) };
            let closed = async {
                client.idle().await;
                Err(Reason::PeerClosed)
            };
            let rested = async {
                Timer::after(self.limits.get().idle()).await;
                Err(Reason::Idle)
            };
            let job = match future::or(closed, future::or(job, rested)).await {
                Ok(job) => job,
                Err(reason) => {
                    // Handed over as the connection ended, and not begun: another connection takes it.
                    if let Ok(job) = worker.jobs.1.try_recv() {
                        worker.stage.set(Stage::Idle);
                        if let Some(place) = self.places.borrow_mut().get_mut(replica) {
                            place.queue.push_front(job);
                        }
                    }
                    return reason;
                }
            };
            if let Job::Search(call) = &job {
                if call.is_late(self.driver.now()) {
                    worker.stage.set(Stage::Idle);
                    self.end(&job, Outcome::NotSent);
                    continue;
                }
            }
            let answer = self.carry_out(&mut client, &job, address, worker).await;
            worker.stage.set(match worker.stage.get() {
                Stage::Written(_) if answer.is_ok() => Stage::Idle,
                stage => stage,
            });
            match answer {
                Ok(answer) => {
                    let keep = answer.keep_alive;
                    self.answered(&job, answer);
                    if worker.ends.get() || worker.end.1.try_recv().is_ok() {
                        return Reason::Asked;
                    }
                    if !keep {
                        return Reason::PeerClosed;
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::InvalidData => {
                    // It answered, in a form that is none of HTTP's: an error that may have run, and may run still.
                    if !self.limits.get().copies {
                        client.linger().await;
                    }
                    worker.stage.set(Stage::Idle);
                    self.end(&job, Outcome::Errored);
                    return Reason::Malformed;
                }
                Err(_) if worker.ends.get() => return Reason::Asked,
                Err(_) => return Reason::Reset,
            }
        }
    }

    async fn carry_out(
        &self,
        client: &mut Client,
        job: &Job,
        address: SocketAddr,
        worker: &Worker,
    ) -> io::Result<Message> {
        let host = address.to_string();
        let request = match job {
            Job::Probe(_) => write::request("GET", "/", &host, &[], &[]),
            Job::Search(call) => {
                let cut = call.payload.iter().position(|byte| *byte == b'\n').unwrap_or(0);
                let parameters = String::from_utf8_lossy(&call.payload[..cut]);
                let wait = (call.until - self.driver.now()).max(1.0) as u64;
                let target = format!(
                    "/{}/_search?preference=_shards:{}&{parameters}&timeout={wait}ms\
                     &allow_partial_search_results=false",
                    call.class, call.shard
                );
                let mut headers =
                    vec![("Content-Type", "application/json"), ("X-Opaque-Id", call.query.as_str())];
                headers.extend(call.key.as_deref().map(|key| ("Idempotency-Key", key)));
                write::request("POST", &target, &host, &headers, &call.payload[cut + 1..])
            }
        };
        let begun = self.driver.now();
        let limit = match job {
            Job::Search(call) => span(call.allowed_until - begun),
            Job::Probe(_) => self.limits.get().connect,
        };
        let written = within(limit, client.write(&request)).await;
        if let Job::Search(call) = job {
            self.driver.progress(call, begun, written.is_ok());
        }
        written?;
        worker.stage.set(Stage::Written(job.no()));
        if matches!(job, Job::Search(_)) {
            self.driver.count(|counters| counters.tries += 1);
        }
        let ends = client.ends_when(async {
            let _ = worker.end.1.recv().await;
            worker.ends.set(true);
        });
        let ends = async {
            ends.await;
            future::pending().await
        };
        future::or(client.read(), ends).await
    }

    fn answered(&self, job: &Job, answer: Message) {
        let Job::Search(call) = job else {
            self.driver.probe_ended(job.no(), answer.start.1 == "200", None);
            return;
        };
        let end = match answer.start.1.as_str() {
            "200" => match Found::read(&answer.body) {
                Ok(_) => CallEnd {
                    outcome: Outcome::Completed,
                    value: Some(answer.body.as_slice().into()),
                    load: None,
                },
                Err(why) => {
                    log::about(&call.query, &format!("search {} shard {}: {why}", call.query, call.shard));
                    CallEnd::bare(Outcome::Errored)
                }
            },
            // The only status that says that the search was not begun.
            "429" => CallEnd::bare(Outcome::Rejected),
            _ => CallEnd::bare(Outcome::Errored),
        };
        self.driver.call_ended(call.no, end);
    }

    fn end(&self, job: &Job, outcome: Outcome) {
        match job {
            Job::Search(call) => self.driver.call_ended(call.no, CallEnd::bare(outcome)),
            Job::Probe(no) => self.driver.probe_ended(*no, false, None),
        }
    }

    /// Takes a job back, or closes the connection that has it.
    fn take_back(&self, replica: &ReplicaId, no: CallNo) {
        let mut places = self.places.borrow_mut();
        let Some(place) = places.get_mut(replica) else { return };
        place.queue.retain(|job| job.no() != no);
        let has = |worker: &&Rc<Worker>| matches!(worker.stage.get(), Stage::Begun(n) | Stage::Written(n) if n == no);
        if let Some(worker) = place.workers.iter().find(has) {
            let _ = worker.kill.0.try_send(Reason::Asked);
        }
    }

    /// Gives up a search so that it ends here once it is over at its run store: what is not wholly written never ran.
    fn call_back(&self, replica: &ReplicaId, no: CallNo) {
        let mut unsent = false;
        if let Some(place) = self.places.borrow_mut().get_mut(replica) {
            let queued = place.queue.len();
            place.queue.retain(|job| job.no() != no);
            unsent = place.queue.len() < queued;
            for worker in &place.workers {
                match worker.stage.get() {
                    Stage::Begun(has) if has == no => {
                        worker.stage.set(Stage::Leaving);
                        let _ = worker.kill.0.try_send(Reason::Asked);
                        unsent = true;
                    }
                    Stage::Written(has) if has == no => {
                        let _ = worker.end.0.try_send(());
                    }
                    _ => {}
                }
            }
        }
        if unsent {
            self.driver.call_ended(no, CallEnd::bare(Outcome::NotSent));
        }
    }

    fn close(&self, replica: &ReplicaId, reason: Reason, which: impl Fn(Stage) -> bool) {
        if let Some(place) = self.places.borrow().get(replica) {
            for worker in place.workers.iter().filter(|worker| which(worker.stage.get())) {
                let _ = worker.kill.0.try_send(reason);
            }
        }
    }
}

impl RunStores for Rc<Searches> {
    fn send(&self, call: Call) {
        let replica = call.run_store.clone();
        self.queue(&replica, Job::Search(call));
    }

    fn abandon(&self, replica: &ReplicaId, no: CallNo, await_proof: bool) {
        if await_proof {
            self.call_back(replica, no);
        } else {
            self.take_back(replica, no);
        }
    }

    fn probe(&self, replica: &ReplicaId, no: CallNo) {
        self.queue(replica, Job::Probe(no));
    }

    fn probe_timed_out(&self, replica: &ReplicaId, no: CallNo) {
        self.take_back(replica, no);
    }

    fn close_idle(&self, replica: &ReplicaId) {
        self.close(replica, Reason::Asked, |stage| stage == Stage::Idle);
    }

    fn retire(&self, replica: &ReplicaId) {
        let queued = self.places.borrow_mut().get_mut(replica).map(|place| {
            place.retired = true;
            std::mem::take(&mut place.queue)
        });
        // What is not wholly written has not run, and must not be sent any more.
        self.close(replica, Reason::Retired, |stage| !matches!(stage, Stage::Written(_)));
        queued.unwrap_or_default().iter().for_each(|job| self.end(job, Outcome::NotSent));
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
        self.pump_lacking();
    }

    fn apply_settings(&self, site: &SiteSettings) {
        self.limits.set(Limits::of(site, self.limits.get().connections));
    }

    fn locate(&self, replica: &ReplicaId, address: SocketAddr, started: Option<Millis>) {
        let at = Some((address, started));
        if self.places.borrow().get(replica).is_some_and(|place| place.at != at) {
            // Connections to an earlier process of that name are dead, whether they know it or not. Where a part may
            // not be out twice, what is out on them is out until they say so.
            let waits = |stage| !self.limits.get().copies && matches!(stage, Stage::Written(_));
            self.close(replica, Reason::Retired, |stage| !waits(stage));
            if let Some(place) = self.places.borrow().get(replica) {
                for worker in place.workers.iter().filter(|worker| waits(worker.stage.get())) {
                    let _ = worker.end.0.try_send(());
                }
            }
        }
        let mut places = self.places.borrow_mut();
        let place = places.entry(replica.clone()).or_default();
        (place.at, place.retired) = (at, false);
    }
}
