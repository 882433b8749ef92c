//! The transport to run stores with an OpenSearch-style API: each connection carries one search of one shard at a
//! time.
//!
//! A search is cancelled by closing its connection, as clients of this API do. If proof is needed that the search is
//! over, only the write side is shut down and reading continues: the run store either answers or closes its side,
//! which shows that it has noticed.

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
use crate::transport::{connect_failed, duration_from_millis, At, Limits, NO_SOCKET_PAUSE};
use answer::SearchResponse;

/// Maximum number of connections to one run store. Further searches wait for one of these.
const MOST_AT_ONE: usize = 32;
/// Maximum size of a response in bytes. Every part in progress may hold one, so the limit keeps all of them together
/// within the memory of the process.
const MOST_ANSWER: usize = 512 * 1024;

/// Encodes the text of a part of a search: the parameters for its shard, and the client's body, unchanged. In this
/// API, parameters take precedence over keys of the body.
pub fn encode_part_text(parameters: &str, body: &[u8]) -> Vec<u8> {
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
    /// It was idle, and is being closed to make room.
    Leaving,
    /// It has this job, whose request is not completely written.
    Begun(CallNo),
    /// It has this job, whose request is completely written.
    Written(CallNo),
}

struct Worker {
    stage: Cell<Stage>,
    jobs: (Sender<Job>, Receiver<Job>),
    kill: (Sender<Reason>, Receiver<Reason>),
    /// Shuts down only the write side while a job is in progress.
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

/// The transport with OpenSearch-style searches.
pub struct SearchTransport {
    driver: Rc<Driver>,
    limits: Cell<Limits>,
    places: RefCell<BTreeMap<ReplicaId, Place>>,
    /// Run stores without any connection that wait until one may be opened, in order.
    lacking: RefCell<VecDeque<ReplicaId>>,
    open: Cell<usize>,
}

impl SearchTransport {
    /// Creates a transport that reports to a driver.
    pub fn new(driver: Rc<Driver>, limits: Limits) -> Rc<Self> {
        Rc::new(SearchTransport {
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

    /// Assigns queued jobs to idle connections, and opens a connection if there is no idle one.
    ///
    /// Only one connection is established at a time, so that a run store that has just started is not flooded with
    /// connections.
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
                // Without any connection, nothing would ever take jobs from the queue.
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

    /// Lets the queue of a run store wait for a connection, and closes an idle connection to make room for it. That
    /// this aggregator holds many connections says nothing about the run store, which has not even been contacted.
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
                    // Jobs that were queued later have waited for less time, but for the same reason, so they fail as
                    // well.
                    |place| std::mem::take(&mut place.queue),
                );
            unmet.unwrap_or_default().iter().for_each(|job| searches.end(job, Outcome::NotSent));
        };
        self.driver.executor().spawn(given_up).detach();
    }

    /// Retries the run stores that wait for a connection, after capacity may have become available.
    fn pump_lacking(self: &Rc<Self>) {
        for replica in self.lacking.take() {
            self.pump(&replica);
        }
    }

    /// Runs a connection, from connecting to its final log line.
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
            // The number belongs to an attempt or to a probe. The core knows which, and ignores the other call.
            self.driver.call_ended(no, CallEnd::bare(outcome));
            self.driver.probe_ended(no, false, None);
        }
        if reason == Reason::NoSocket {
            // Queued jobs wait until a connection can be made, as they do when the connection limit is reached.
            self.lack_room(&replica);
            Timer::after(NO_SOCKET_PAUSE).await;
        } else {
            self.pump(&replica);
        }
        self.pump_lacking();
    }

    /// Drops the state of a retired run store without connections. Most never come back.
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
                client.closed_while_idle().await;
                Err(Reason::PeerClosed)
            };
            let rested = async {
                Timer::after(self.limits.get().idle()).await;
                Err(Reason::Idle)
            };
            let job = match future::or(closed, future::or(job, rested)).await {
                Ok(job) => job,
                Err(reason) => {
                    // The job was assigned while the connection was ending and has not begun, so another connection
                    // takes it.
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
                    // The response is not valid HTTP. The search may have run, and may still be running.
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
                let cut = call.text.iter().position(|byte| *byte == b'\n').unwrap_or(0);
                let parameters = String::from_utf8_lossy(&call.text[..cut]);
                let wait = (call.until - self.driver.now()).max(1.0) as u64;
                let target = format!(
                    "/{}/_search?preference=_shards:{}&{parameters}&timeout={wait}ms\
                     &allow_partial_search_results=false",
                    call.class, call.shard
                );
                let mut headers =
                    vec![("Content-Type", "application/json"), ("X-Opaque-Id", call.query.as_str())];
                headers.extend(call.key.as_deref().map(|key| ("Idempotency-Key", key)));
                write::request("POST", &target, &host, &headers, &call.text[cut + 1..])
            }
        };
        let begun = self.driver.now();
        let limit = match job {
            Job::Search(call) => duration_from_millis(call.allowed_until - begun),
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
        let ends = client.shutdown_write_when(async {
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
            "200" => match SearchResponse::read(&answer.body) {
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
            // 429 is the only status that means that the search was not started.
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

    /// Removes a job from the queue, or closes the connection that carries it.
    fn take_back(&self, replica: &ReplicaId, no: CallNo) {
        let mut places = self.places.borrow_mut();
        let Some(place) = places.get_mut(replica) else { return };
        place.queue.retain(|job| job.no() != no);
        let has = |worker: &&Rc<Worker>| matches!(worker.stage.get(), Stage::Begun(n) | Stage::Written(n) if n == no);
        if let Some(worker) = place.workers.iter().find(has) {
            let _ = worker.kill.0.try_send(Reason::Asked);
        }
    }

    /// Gives up a search so that it ends here only once it is over at its run store. A search whose request is not
    /// completely written cannot have run.
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

impl RunStores for Rc<SearchTransport> {
    fn send(&self, call: Call) {
        let replica = call.replica.clone();
        self.queue(&replica, Job::Search(call));
    }

    fn give_up(&self, replica: &ReplicaId, no: CallNo, await_proof: bool) {
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
        // A request that is not completely written has not run, and must not be sent any more.
        self.close(replica, Reason::Retired, |stage| !matches!(stage, Stage::Written(_)));
        queued.unwrap_or_default().iter().for_each(|job| self.end(job, Outcome::NotSent));
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
        self.pump_lacking();
    }

    fn apply_settings(&self, site: &SiteSettings) {
        self.limits.set(Limits::from_settings(site, self.limits.get().connections));
    }

    fn locate(&self, replica: &ReplicaId, address: SocketAddr, started: Option<Millis>) {
        let at = Some((address, started));
        if self.places.borrow().get(replica).is_some_and(|place| place.at != at) {
            // Connections to an earlier process of that run store are dead, even if no error has shown it yet. Where
            // only one attempt of a part may run at once, searches on them count as running until the connections
            // show that they are over.
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
