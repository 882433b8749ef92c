//! The transport to run stores with an OpenSearch-style API: each connection carries one search of one shard at a
//! time.
//!
//! A search is cancelled by closing its connection, as clients of this API do. If proof is needed that the search is
//! over, only the write side is shut down and reading continues: the run store either answers or closes its side,
//! which shows that it has noticed.

pub mod answer;
mod pool;
mod request_ids;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use async_io::Timer;
use futures_lite::future;

use crate::api::{Millis, Outcome, ReplicaId};
use crate::core::drive::{Driver, RunStores};
use crate::core::{Call, CallEnd, CallNo};
use crate::http::client::{within, Client, ResponseMatch};
use crate::http::parse::Message;
use crate::http::write;
use crate::log::{self, Reason};
use crate::settings::SiteSettings;
use crate::transport::{connect_failure_reason, duration_from_millis, Limits, NO_SOCKET_RETRY_DELAY};
use answer::SearchResponse;
use pool::{Connection, Job, RunStoreEntry, Stage};
use request_ids::returned_id;

/// Maximum number of connections to one run store. Further searches wait for one of these.
const MAX_CONNECTIONS_PER_RUN_STORE: usize = 32;
/// Maximum size of a response in bytes. Every part in progress may hold one, so the limit keeps all of them together
/// within the memory of the process.
const MAX_RESPONSE_LEN: usize = 512 * 1024;

/// Encodes the text of a part of a search: the parameters for its shard, and the client's body, unchanged. In this
/// API, parameters take precedence over keys of the body.
pub fn encode_part_text(parameters: &str, body: &[u8]) -> Vec<u8> {
    let mut text = format!("{parameters}\n").into_bytes();
    text.extend_from_slice(body);
    text
}

/// The transport with OpenSearch-style searches.
pub struct SearchTransport {
    driver: Rc<Driver>,
    limits: Cell<Limits>,
    run_stores: RefCell<BTreeMap<ReplicaId, RunStoreEntry>>,
    /// Run stores without any connection that wait until one may be opened, in order.
    awaiting_capacity: RefCell<VecDeque<ReplicaId>>,
    open_connections: Cell<usize>,
}

impl SearchTransport {
    /// Creates a transport that reports to a driver.
    pub fn new(driver: Rc<Driver>, limits: Limits) -> Rc<Self> {
        Rc::new(SearchTransport {
            driver,
            limits: Cell::new(limits),
            run_stores: RefCell::default(),
            awaiting_capacity: RefCell::default(),
            open_connections: Cell::new(0),
        })
    }

    fn enqueue(self: &Rc<Self>, run_store: &ReplicaId, job: Job) {
        let refused = match self.run_stores.borrow_mut().get_mut(run_store) {
            Some(entry) if !entry.retired && entry.endpoint.is_some() => {
                entry.queue.push_back(job);
                None
            }
            _ => Some(job),
        };
        match refused {
            Some(job) => self.end_job(&job, Outcome::NotSent),
            None => self.dispatch(run_store),
        }
    }

    /// Assigns queued jobs to idle connections, and opens a connection if a job is left that no idle one may carry.
    ///
    /// Only one connection is established at a time, so that a run store that has just started is not flooded with
    /// connections.
    fn dispatch(self: &Rc<Self>, run_store: &ReplicaId) {
        let mut run_stores = self.run_stores.borrow_mut();
        let Some(entry) = run_stores.get_mut(run_store) else { return };
        while let Some((job, connection)) = entry.take_assignable() {
            connection.stage.set(Stage::Sending(job.no()));
            let _ = connection.jobs.0.try_send(job);
        }
        if entry.queue.is_empty() || entry.connection_in(Stage::Connecting).is_some() {
            return;
        }
        let Some((address, _)) = entry.endpoint else { return };
        let limit_reached = self.open_connections.get() >= self.limits.get().max_connections;
        if limit_reached || entry.connections.len() >= MAX_CONNECTIONS_PER_RUN_STORE {
            if let Some(connection) = entry.connection_in(Stage::Idle) {
                // It may carry none of the queued jobs. Its end makes room for a connection that may.
                connection.close_idle(Reason::Renewed);
            } else if entry.connections.is_empty() {
                // Without any connection, nothing would ever take jobs from the queue.
                drop(run_stores);
                self.wait_for_capacity(run_store);
            }
            return;
        }
        let connection = Rc::new(Connection::new());
        entry.connections.push(connection.clone());
        self.open_connections.set(self.open_connections.get() + 1);
        let task = self.clone().run_connection(run_store.clone(), address, connection);
        self.driver.executor().spawn(task).detach();
    }

    /// Lets the queue of a run store wait for a connection, and closes an idle connection to make room for it. That
    /// this aggregator holds many connections says nothing about the run store, which has not even been contacted.
    fn wait_for_capacity(self: &Rc<Self>, run_store: &ReplicaId) {
        if self.awaiting_capacity.borrow().contains(run_store) {
            return;
        }
        self.awaiting_capacity.borrow_mut().push_back(run_store.clone());
        let run_stores = self.run_stores.borrow();
        let idle = |connection: &&Rc<Connection>| connection.stage.get() == Stage::Idle;
        if let Some(connection) = run_stores.values().flat_map(|entry| &entry.connections).find(idle) {
            connection.close_idle(Reason::Full);
        }
        let (transport, id, limit) = (self.clone(), run_store.clone(), self.limits.get().connect_timeout);
        let expire = async move {
            Timer::after(limit).await;
            transport.awaiting_capacity.borrow_mut().retain(|waiting| *waiting != id);
            let without_connection = transport
                .run_stores
                .borrow_mut()
                .get_mut(&id)
                .filter(|entry| entry.connections.is_empty())
                .map(
                    // Jobs that were queued later have waited for less time, but for the same reason, so they fail as
                    // well.
                    |entry| std::mem::take(&mut entry.queue),
                );
            without_connection
                .unwrap_or_default()
                .iter()
                .for_each(|job| transport.end_job(job, Outcome::NotSent));
        };
        self.driver.executor().spawn(expire).detach();
    }

    /// Retries the run stores that wait for a connection, after capacity may have become available.
    fn dispatch_waiting(self: &Rc<Self>) {
        for run_store in self.awaiting_capacity.take() {
            self.dispatch(&run_store);
        }
    }

    /// Runs a connection, from connecting to its final log line.
    async fn run_connection(
        self: Rc<Self>,
        run_store: ReplicaId,
        address: SocketAddr,
        connection: Rc<Connection>,
    ) {
        let abort = async { connection.abort.1.recv().await.unwrap_or(Reason::Retired) };
        let reason = future::or(abort, self.connect_and_serve(&run_store, address, &connection)).await;
        let mut lost = Vec::new();
        if let Some(entry) = self.run_stores.borrow_mut().get_mut(&run_store) {
            entry.connections.retain(|known| !Rc::ptr_eq(known, &connection));
            let never_connected = connection.stage.get() == Stage::Connecting;
            if never_connected && entry.connections.is_empty() && reason != Reason::NoSocket {
                lost.extend(entry.queue.drain(..).map(|job| (job.no(), Outcome::ConnectFailed)));
            }
        }
        self.remove_unused(&run_store);
        self.open_connections.set(self.open_connections.get() - 1);
        match connection.stage.get() {
            Stage::Sending(no) => lost.push((no, Outcome::ConnectFailed)),
            Stage::Sent(no) => lost.push((no, Outcome::Reset)),
            Stage::Connecting | Stage::Idle | Stage::Closing => {}
        }
        log::ended(
            "run_store",
            Some(address),
            reason,
            format_args!("name={} lost={}", run_store.0, lost.len()),
        );
        for (no, outcome) in lost {
            // The number belongs to an attempt or to a probe. The core knows which, and ignores the other call.
            self.driver.call_ended(no, CallEnd::bare(outcome));
            self.driver.probe_ended(no, false, None);
        }
        if reason == Reason::NoSocket {
            // Queued jobs wait until a connection can be made, as they do when the connection limit is reached.
            self.wait_for_capacity(&run_store);
            Timer::after(NO_SOCKET_RETRY_DELAY).await;
        } else {
            self.dispatch(&run_store);
        }
        self.dispatch_waiting();
    }

    /// Drops the state of a retired run store without connections. Most never come back.
    fn remove_unused(&self, run_store: &ReplicaId) {
        let mut run_stores = self.run_stores.borrow_mut();
        if run_stores.get(run_store).is_some_and(|entry| entry.retired && entry.connections.is_empty()) {
            run_stores.remove(run_store);
        }
    }

    async fn connect_and_serve(
        self: &Rc<Self>,
        run_store: &ReplicaId,
        address: SocketAddr,
        connection: &Connection,
    ) -> Reason {
        let mut client =
            match Client::connect(address, self.limits.get().connect_timeout, MAX_RESPONSE_LEN).await {
                Ok(client) => client,
                Err(error) => return connect_failure_reason(&error),
            };
        loop {
            connection.stage.set(Stage::Idle);
            self.dispatch(run_store);
            if connection.stage.get() == Stage::Idle && !self.awaiting_capacity.borrow().is_empty() {
                return Reason::Full;
            }
            let job = async { connection.jobs.1.recv().await.map_err(|_| Reason::Retired) };
            let closed = async {
                client.closed_while_idle().await;
                Err(Reason::PeerClosed)
            };
            let idle_timeout = async {
                Timer::after(self.limits.get().idle_timeout()).await;
                Err(Reason::Idle)
            };
            let job = match future::or(closed, future::or(job, idle_timeout)).await {
                Ok(job) => job,
                Err(reason) => {
                    // The job was assigned while the connection was ending and has not begun, so another connection
                    // takes it.
                    if let Ok(job) = connection.jobs.1.try_recv() {
                        connection.stage.set(Stage::Idle);
                        if let Some(entry) = self.run_stores.borrow_mut().get_mut(run_store) {
                            entry.queue.push_front(job);
                        }
                    }
                    return reason;
                }
            };
            if let Job::Search(call) = &job {
                if call.is_late(self.driver.now()) {
                    connection.stage.set(Stage::Idle);
                    self.end_job(&job, Outcome::NotSent);
                    continue;
                }
            }
            let response = self.execute(&mut client, &job, address, connection).await;
            connection.stage.set(match connection.stage.get() {
                Stage::Sent(_) if response.is_ok() => Stage::Idle,
                stage => stage,
            });
            match response {
                Ok(response) => {
                    let keep_alive = response.keep_alive;
                    let identified = returned_id(&response).is_some();
                    self.report_response(&job, response);
                    if connection.write_shut_down.get() || connection.shutdown_write.1.try_recv().is_ok() {
                        return Reason::Asked;
                    }
                    if !keep_alive {
                        return Reason::PeerClosed;
                    }
                    if !identified || connection.request_ids.borrow().is_exhausted() {
                        return Reason::Renewed;
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::InvalidData => {
                    // The response is not valid HTTP or belongs to another request. The search may have run, and may
                    // still be running.
                    if !self.limits.get().parallel_attempts {
                        client.linger().await;
                    }
                    connection.stage.set(Stage::Idle);
                    self.end_job(&job, Outcome::Errored);
                    return Reason::Malformed;
                }
                Err(_) if connection.write_shut_down.get() => return Reason::Asked,
                Err(_) => return Reason::Reset,
            }
        }
    }

    async fn execute(
        &self,
        client: &mut Client,
        job: &Job,
        address: SocketAddr,
        connection: &Connection,
    ) -> io::Result<Message> {
        let (host, id) = (address.to_string(), job.request_id());
        let request = match job {
            Job::Probe(_) => write::request("GET", "/", &host, &[("X-Opaque-Id", &id)], &[]),
            Job::Search(call) => {
                let line_end = call.payload.iter().position(|byte| *byte == b'\n').unwrap_or(0);
                let parameters = String::from_utf8_lossy(&call.payload[..line_end]);
                let wait = (call.until - self.driver.now()).max(1.0) as u64;
                let target = format!(
                    "/{}/_search?preference=_shards:{}&{parameters}&timeout={wait}ms\
                     &allow_partial_search_results=false",
                    call.class, call.shard
                );
                let mut headers = vec![("Content-Type", "application/json"), ("X-Opaque-Id", &*id)];
                headers.extend(call.key.as_deref().map(|key| ("Idempotency-Key", key)));
                write::request("POST", &target, &host, &headers, &call.payload[line_end + 1..])
            }
        };
        let started = self.driver.now();
        let limit = match job {
            Job::Search(call) => duration_from_millis(call.allowed_until - started),
            Job::Probe(_) => self.limits.get().connect_timeout,
        };
        connection.request_ids.borrow_mut().add(&id);
        let written = within(limit, client.write(&request)).await;
        if let Job::Search(call) = job {
            self.driver.progress(call, started, written.is_ok());
        }
        written?;
        connection.stage.set(Stage::Sent(job.no()));
        if matches!(job, Job::Search(_)) {
            self.driver.count(|counters| counters.tries += 1);
        }
        let shutdown_when_asked = client.shutdown_write_when(async {
            let _ = connection.shutdown_write.1.recv().await;
            connection.write_shut_down.set(true);
        });
        let shutdown_when_asked = async {
            shutdown_when_asked.await;
            future::pending().await
        };
        let match_response = |response: &Message| match job {
            // Some run stores return the id with searches alone, and a surplus response to one carries its id.
            Job::Probe(_) if returned_id(response).is_none() => ResponseMatch::Own,
            _ => connection.request_ids.borrow().match_response(response, &id),
        };
        let response = client.read_matching(match_response);
        future::or(response, shutdown_when_asked).await
    }

    fn report_response(&self, job: &Job, response: Message) {
        let Job::Search(call) = job else {
            self.driver.probe_ended(job.no(), response.start.1 == "200", None);
            return;
        };
        let end = match response.start.1.as_str() {
            "200" => match SearchResponse::read(&response.body) {
                Ok(_) => CallEnd {
                    outcome: Outcome::Completed,
                    value: Some(response.body.as_slice().into()),
                    load: None,
                },
                Err(reason) => {
                    log::query(&call.query, &format!("search {} shard {}: {reason}", call.query, call.shard));
                    CallEnd::bare(Outcome::Errored)
                }
            },
            // 429 is the only status that means that the search was not started.
            "429" => CallEnd::bare(Outcome::Rejected),
            _ => CallEnd::bare(Outcome::Errored),
        };
        self.driver.call_ended(call.no, end);
    }

    fn end_job(&self, job: &Job, outcome: Outcome) {
        match job {
            Job::Search(call) => self.driver.call_ended(call.no, CallEnd::bare(outcome)),
            Job::Probe(no) => self.driver.probe_ended(*no, false, None),
        }
    }

    /// Removes a job from the queue, or closes the connection that carries it.
    fn cancel(&self, run_store: &ReplicaId, no: CallNo) {
        let mut run_stores = self.run_stores.borrow_mut();
        let Some(entry) = run_stores.get_mut(run_store) else { return };
        entry.queue.retain(|job| job.no() != no);
        let has_job =
            |c: &&Rc<Connection>| matches!(c.stage.get(), Stage::Sending(n) | Stage::Sent(n) if n == no);
        if let Some(connection) = entry.connections.iter().find(has_job) {
            let _ = connection.abort.0.try_send(Reason::Asked);
        }
    }

    /// Gives up a search so that it ends here only once it is over at its run store. A search whose request is not
    /// completely written cannot have run.
    fn cancel_with_proof(&self, run_store: &ReplicaId, no: CallNo) {
        let mut never_sent = false;
        if let Some(entry) = self.run_stores.borrow_mut().get_mut(run_store) {
            let queued = entry.queue.len();
            entry.queue.retain(|job| job.no() != no);
            never_sent = entry.queue.len() < queued;
            for connection in &entry.connections {
                match connection.stage.get() {
                    Stage::Sending(job) if job == no => {
                        connection.stage.set(Stage::Closing);
                        let _ = connection.abort.0.try_send(Reason::Asked);
                        never_sent = true;
                    }
                    Stage::Sent(job) if job == no => {
                        let _ = connection.shutdown_write.0.try_send(());
                    }
                    _ => {}
                }
            }
        }
        if never_sent {
            self.driver.call_ended(no, CallEnd::bare(Outcome::NotSent));
        }
    }

    fn close(&self, run_store: &ReplicaId, reason: Reason, matches_stage: impl Fn(Stage) -> bool) {
        if let Some(entry) = self.run_stores.borrow().get(run_store) {
            for connection in
                entry.connections.iter().filter(|connection| matches_stage(connection.stage.get()))
            {
                let _ = connection.abort.0.try_send(reason);
            }
        }
    }
}

impl RunStores for Rc<SearchTransport> {
    fn send(&self, call: Call) {
        let run_store = call.run_store.clone();
        self.enqueue(&run_store, Job::Search(call));
    }

    fn abandon(&self, run_store: &ReplicaId, no: CallNo, await_proof: bool) {
        if await_proof {
            self.cancel_with_proof(run_store, no);
        } else {
            self.cancel(run_store, no);
        }
    }

    fn probe(&self, run_store: &ReplicaId, no: CallNo) {
        self.enqueue(run_store, Job::Probe(no));
    }

    fn probe_timed_out(&self, run_store: &ReplicaId, no: CallNo) {
        self.cancel(run_store, no);
    }

    fn close_idle(&self, run_store: &ReplicaId) {
        self.close(run_store, Reason::Asked, |stage| stage == Stage::Idle);
    }

    fn retire(&self, run_store: &ReplicaId) {
        let queued = self.run_stores.borrow_mut().get_mut(run_store).map(|entry| {
            entry.retired = true;
            std::mem::take(&mut entry.queue)
        });
        // A request that is not completely written has not run, and must not be sent any more.
        self.close(run_store, Reason::Retired, |stage| !matches!(stage, Stage::Sent(_)));
        queued.unwrap_or_default().iter().for_each(|job| self.end_job(job, Outcome::NotSent));
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
        self.dispatch_waiting();
    }

    fn apply_settings(&self, site: &SiteSettings) {
        self.limits.set(Limits::from_settings(site, self.limits.get().max_connections));
    }

    fn locate(&self, run_store: &ReplicaId, address: SocketAddr, started: Option<Millis>) {
        let endpoint = Some((address, started));
        if self.run_stores.borrow().get(run_store).is_some_and(|entry| entry.endpoint != endpoint) {
            // Connections to an earlier process of that run store are dead, even if no error has shown it yet. Where
            // only one attempt of a part may run at once, searches on them count as running until the connections
            // show that they are over.
            let keeps_reading =
                |stage| !self.limits.get().parallel_attempts && matches!(stage, Stage::Sent(_));
            self.close(run_store, Reason::Retired, |stage| !keeps_reading(stage));
            if let Some(entry) = self.run_stores.borrow().get(run_store) {
                for connection in
                    entry.connections.iter().filter(|connection| keeps_reading(connection.stage.get()))
                {
                    let _ = connection.shutdown_write.0.try_send(());
                }
            }
        }
        let mut run_stores = self.run_stores.borrow_mut();
        let entry = run_stores.entry(run_store.clone()).or_default();
        (entry.endpoint, entry.retired) = (endpoint, false);
    }
}
