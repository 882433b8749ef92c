//! Drives a [`Core`] in real time: provides its clock, spaces its steps, runs its timers, and passes its
//! commands to transports, directories and fronts.

use std::cell::{OnceCell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use async_channel::{Receiver, Sender};
use async_executor::{LocalExecutor, Task};
use async_io::Timer;
use futures_lite::future;
use ironpaddle_trace::num::Num;
use ironpaddle_trace::record::Progress;

use super::takeover::TakeoverState;
use super::{
    Call, CallEnd, CallNo, Command, Core, DirectoryUpdate, FinalAnswer, InvalidQuery, QueryNo, QueryRequest,
};
use crate::api::{Cause, LoadReport, Millis, ReplicaId};
use crate::counters::{Counters, Gauges};
use crate::query_ids::IdHash;
use crate::settings::SiteSettings;
use crate::trace::control::Control;

/// A transport to run stores. Its methods take effect at once; ends of calls and probes are reported to the
/// [`Driver`].
pub trait RunStores {
    /// Starts an attempt. The transport reports its end by one [`Driver::call_ended`], unless it is
    /// abandoned.
    fn send(&self, call: Call);
    /// Abandons an attempt. Without `await_proof` its end is already recorded, and the transport reports
    /// nothing more of it. With `await_proof` the transport reports its end by one [`Driver::call_ended`] as
    /// soon as it is proved to be over: the run store has read the cancellation, has answered the attempt,
    /// has closed the connection, or can never have received the whole request. That may never happen; the core
    /// then abandons the attempt once more, without `await_proof`.
    fn abandon(&self, run_store: &ReplicaId, no: CallNo, await_proof: bool);
    /// Starts a probe. It ends by one [`Driver::probe_ended`] or by its timeout.
    fn probe(&self, run_store: &ReplicaId, no: CallNo);
    /// Informs the transport that a probe has timed out.
    fn probe_timed_out(&self, run_store: &ReplicaId, no: CallNo);
    /// Closes the idle connections to a run store.
    fn close_idle(&self, run_store: &ReplicaId);
    /// Stops sending to a run store, including queued attempts.
    fn retire(&self, run_store: &ReplicaId);
    /// Sets the address of a run store; an earlier process of the same name no longer exists.
    fn locate(&self, run_store: &ReplicaId, address: std::net::SocketAddr, started: Option<Millis>);
    /// Returns the number of run stores that the transport keeps any state of.
    fn tracked_run_stores(&self) -> usize;
    /// Returns the number of open connections.
    fn connections(&self) -> usize;
    /// Sets the maximum number of connections.
    fn set_max_connections(&self, max: usize);
    /// Applies new settings.
    fn apply_settings(&self, site: &SiteSettings);
}

/// A directory of run stores.
pub trait Directory {
    /// Starts the watch unless it is running. Updates are passed to [`Driver::apply_directory_update`].
    fn watch(&self);
    /// Returns the version of the latest list, if lists of this directory have versions.
    fn version(&self) -> Option<u64> {
        None
    }
}

/// A core with its clock, timers, transport and directory.
pub struct Driver {
    core: RefCell<Core>,
    executor: Rc<LocalExecutor<'static>>,
    /// The clock's origin, as Unix time and as an instant; from there on the clock is monotonic.
    origin: (Millis, Instant),
    /// Wakes the loop in [`Driver::run`].
    step_signal: (Sender<()>, Receiver<()>),
    /// Accepted queries that wait for their final answer.
    answer_senders: RefCell<HashMap<QueryNo, AnswerSender>>,
    /// The timeouts of attempts and probes.
    timers: RefCell<HashMap<CallNo, Task<()>>>,
    transport: OnceCell<Rc<dyn RunStores>>,
    directory: OnceCell<Rc<dyn Directory>>,
    /// Switches trace recording; unset if tracing is not configured.
    trace_control: OnceCell<Control>,
}

/// Longest wait in seconds; longer ones are capped.
const MAX_WAIT_S: f64 = 1e9;

/// The channel for a query's final answer, and the timer of its deadline.
type AnswerSender = (Sender<FinalAnswer>, Task<()>);

/// An accepted query. If it is dropped before its final answer, its client counts as gone.
pub struct PendingQuery {
    driver: Rc<Driver>,
    no: QueryNo,
    answer: Receiver<FinalAnswer>,
}

impl Driver {
    /// Returns a driver for a core; [`Driver::connect`] completes it.
    pub fn new(core: Core, executor: Rc<LocalExecutor<'static>>) -> Rc<Self> {
        Driver::with_clock_at(core, executor, wall_clock())
    }

    /// Returns a driver whose clock continues that of the process that it takes over from, which shows `now`.
    /// Times in the handover thus mean the same to both processes, even if the wall clock is stepped.
    pub fn with_clock_at(core: Core, executor: Rc<LocalExecutor<'static>>, now: Millis) -> Rc<Self> {
        Rc::new(Driver {
            core: RefCell::new(core),
            executor,
            origin: (now, Instant::now()),
            step_signal: async_channel::bounded(1),
            answer_senders: RefCell::default(),
            timers: RefCell::default(),
            transport: OnceCell::new(),
            directory: OnceCell::new(),
            trace_control: OnceCell::new(),
        })
    }

    /// Sets the transport and the directory. Only the first call has an effect.
    pub fn connect(&self, transport: Rc<dyn RunStores>, directory: Rc<dyn Directory>) {
        let _ = self.transport.set(transport);
        let _ = self.directory.set(directory);
    }

    /// Returns the executor that all tasks run on.
    pub fn executor(&self) -> &Rc<LocalExecutor<'static>> {
        &self.executor
    }

    /// Returns the current time in milliseconds since the Unix epoch; it is monotonic.
    pub fn now(&self) -> Millis {
        time_since(self.origin)
    }

    /// Converts a time of this clock to an instant, for timers.
    pub fn instant(&self, at: Millis) -> Instant {
        self.origin.1 + Duration::from_secs_f64(((at - self.origin.0) / 1000.0).clamp(0.0, MAX_WAIT_S))
    }

    /// Updates the counters.
    pub fn count(&self, change: impl FnOnce(&mut Counters)) {
        change(&mut self.core.borrow_mut().counters);
    }

    /// Records a request that was answered with an error before it became a query.
    pub fn note_invalid_request(&self, class: &str) {
        let now = self.now();
        self.core.borrow_mut().note_invalid_request(now, class);
    }

    /// Records in the trace how writing an attempt ended, which began at `begun`: its last byte has just been
    /// written or, without `written`, its connection ends before that.
    pub fn progress(&self, call: &Call, begun: Millis, written: bool) {
        if self.trace_control.get().is_some() {
            let now = self.now();
            let progress =
                if written { Progress::Written(Some(Num::of(now - begun))) } else { Progress::Begun };
            self.core.borrow_mut().trace_progress(now, call, progress);
        }
    }

    /// Sets the control of trace recording. Only the first call has an effect.
    pub fn set_trace_control(&self, control: Control) {
        let _ = self.trace_control.set(control);
    }

    /// Returns the control of trace recording, if tracing is configured.
    pub fn trace_control(&self) -> Option<&Control> {
        self.trace_control.get()
    }

    /// Switches trace recording on or off, if tracing is configured.
    ///
    /// # Errors
    /// Returns a message if recording cannot be started.
    pub fn switch_recording(&self, on: bool) -> Result<(), String> {
        let Some(control) = self.trace_control.get() else { return Ok(()) };
        let (origin, now) = (self.origin, self.now());
        let mut core = self.core.borrow_mut();
        if on {
            return control.start(&mut core, move || time_since(origin));
        }
        control.stop(&mut core, now);
        Ok(())
    }

    /// Begins a new segment of the trace.
    pub fn rotate(&self) {
        if let Some(control) = self.trace_control.get() {
            control.rotate(&mut self.core.borrow_mut());
        }
    }

    /// Records an operator's call in the trace.
    pub fn note_call(&self, call: &str) {
        let now = self.now();
        if let Some(trace_writer) = self.core.borrow_mut().trace_writer() {
            trace_writer.call(now, call);
        }
    }

    /// Returns the counters.
    pub fn counters(&self) -> Counters {
        let core = self.core.borrow();
        let transport_run_stores = self.transport.get().map_or(0, |transport| transport.tracked_run_stores());
        Counters { run_stores: core.run_stores(), transport_run_stores, ..core.counters.clone() }
    }

    /// Returns the gauges.
    pub fn gauges(&self) -> Gauges {
        self.core.borrow().gauges()
    }

    /// Returns the number of queries that wait for their final answer.
    pub fn open_queries(&self) -> usize {
        self.answer_senders.borrow().len()
    }

    /// Drains a run store manually (`out`), or restores it. Returns `false` if it is unknown: neither listed
    /// nor among those that were delisted last. Once this returns, no call is started at a drained run store.
    pub fn set_manual_drain(self: &Rc<Self>, now: Millis, id: &ReplicaId, out: bool) -> bool {
        let known = self.core.borrow_mut().set_manual_drain(now, id, out);
        self.run_commands();
        known
    }

    /// Applies a manual drain (`out`) or restore that another process of this aggregator accepted at `at`.
    pub fn apply_manual_drain(self: &Rc<Self>, at: Millis, id: &ReplicaId, out: bool) {
        self.core.borrow_mut().apply_manual_drain(at, id, out);
        self.run_commands();
    }

    /// Returns the state for the process that takes over.
    pub fn takeover_state(&self) -> TakeoverState {
        self.core.borrow().takeover_state()
    }

    /// Remembers the ids of queries that another process of this aggregator has accepted.
    pub fn remember_query_ids(&self, ids: &[IdHash]) {
        self.core.borrow_mut().remember_query_ids(self.now(), ids);
    }

    /// Returns the number of open queries plus their parts without an answer.
    pub fn open_work(&self) -> usize {
        self.core.borrow().open_work()
    }

    /// Returns the number of connections to run stores.
    pub fn connections(&self) -> usize {
        self.transport.get().map_or(0, |transport| transport.connections())
    }

    /// Sets the number of queries and parts that another process of this aggregator holds, and the number of
    /// run-store connections that remain for this process.
    pub fn share_limits(&self, held: usize, connections: usize) {
        self.core.borrow_mut().set_held_elsewhere(held);
        if let Some(transport) = self.transport.get() {
            transport.set_max_connections(connections);
        }
    }

    /// Returns the number of listed run stores.
    pub fn run_stores(&self) -> usize {
        self.core.borrow().run_stores()
    }

    /// Returns the version of the list, if the directory has versions.
    pub fn version(&self) -> Option<u64> {
        self.directory.get()?.version()
    }

    /// Applies new settings to the core and the transport.
    ///
    /// # Errors
    /// Returns a message that names the inconsistent setting; nothing is changed then.
    pub fn apply_settings(&self, site: &SiteSettings) -> Result<(), String> {
        self.core.borrow_mut().apply_settings(site)?;
        if let Some(transport) = self.transport.get() {
            transport.apply_settings(site);
        }
        self.wake();
        Ok(())
    }

    /// Returns the longest deadline of the classes in the current settings.
    pub fn longest_deadline(&self) -> Millis {
        self.core.borrow().longest_deadline()
    }

    /// Sets the time left until the process exits. The deadlines of all open and later queries end by then.
    pub fn exit_within(self: &Rc<Self>, time_left: Duration) {
        let at = Instant::now() + time_left;
        self.core.borrow_mut().set_exit_time(self.now() + millis(time_left));
        self.wake_at(at).detach();
    }

    /// Returns the time since this driver was created.
    pub fn age(&self) -> Millis {
        self.now() - self.origin.0
    }

    /// Returns whether queries of a class need an idempotency key.
    pub fn is_keyed(&self, class: &str) -> bool {
        self.core.borrow().is_keyed(class)
    }

    /// Returns how long the client of a query waits, or `None` if there is no such class.
    pub fn client_wait(&self, class: &str, stated: Option<Millis>) -> Option<Duration> {
        let wait = self.core.borrow().client_wait(class, stated)?;
        Some(Duration::from_secs_f64((wait / 1000.0).clamp(0.0, MAX_WAIT_S)))
    }

    /// Shortens the deadline of a query to `at`, if that is earlier.
    fn cap_deadline(self: &Rc<Self>, no: QueryNo, at: Instant) {
        let left = at.saturating_duration_since(Instant::now());
        self.core.borrow_mut().cap_deadline(no, self.now() + millis(left));
        let timer = self.wake_at(at);
        if let Some((_, last)) = self.answer_senders.borrow_mut().get_mut(&no) {
            *last = timer;
        }
    }

    /// Wakes the driver for a step at `at`, unless the task is dropped before.
    fn wake_at(self: &Rc<Self>, at: Instant) -> Task<()> {
        let driver = self.clone();
        self.executor.spawn(async move {
            Timer::at(at).await;
            driver.wake();
        })
    }

    /// Returns the number of shards, if known.
    pub fn shards(&self) -> Option<u32> {
        self.core.borrow().shards()
    }

    /// Returns the latest list of run stores.
    pub fn directory(&self) -> Vec<super::ListedRunStore> {
        self.core.borrow().directory()
    }

    /// Submits a query.
    ///
    /// # Errors
    /// Returns why the query was rejected.
    pub fn submit(self: &Rc<Self>, request: QueryRequest) -> Result<PendingQuery, InvalidQuery> {
        let now = self.now();
        let wait =
            self.core.borrow().client_wait(&request.class, request.timeout).unwrap_or(0.0) - request.queued;
        let no = self.core.borrow_mut().take_in(now, request)?;
        let (sender, answer) = async_channel::bounded(1);
        // The timer of the query's deadline: the step after it ends the query if it is still open.
        let timer = self.wake_at(self.instant(now + wait));
        self.answer_senders.borrow_mut().insert(no, (sender, timer));
        self.run_commands();
        Ok(PendingQuery { driver: self.clone(), no, answer })
    }

    /// Records the end of an attempt. Only the first end counts.
    pub fn call_ended(&self, no: CallNo, end: CallEnd) {
        self.timers.borrow_mut().remove(&no);
        let now = self.now();
        self.core.borrow_mut().call_ended(now, no, end);
        self.wake();
    }

    /// Records the end of a probe. Only the first end counts.
    pub fn probe_ended(&self, no: CallNo, ok: bool, load: Option<LoadReport>) {
        self.timers.borrow_mut().remove(&no);
        self.core.borrow_mut().probe_ended(no, ok, load);
        self.wake();
    }

    /// Applies an update of the list of run stores.
    pub fn apply_directory_update(self: &Rc<Self>, update: DirectoryUpdate) {
        self.note_clock();
        self.core.borrow_mut().apply_directory_update(update);
        self.run_commands();
    }

    /// Steps the core whenever an event or a timer requires it, at most once per tick.
    pub async fn run(self: Rc<Self>) {
        let mut last: Option<Instant> = None;
        loop {
            let wake = self.core.borrow().wake_at().map(|at| self.instant(at));
            let timer = async {
                match wake {
                    Some(at) => Timer::at(at).await,
                    None => future::pending().await,
                };
            };
            future::or(timer, async {
                let _ = self.step_signal.1.recv().await;
            })
            .await;
            // Events are batched per tick, as in the simulator.
            let tick = Duration::from_secs_f64(self.core.borrow().tick() / 1000.0);
            if let Some(last) = last.filter(|last| last.elapsed() < tick) {
                Timer::at(last + tick).await;
            }
            last = Some(Instant::now());
            self.note_clock();
            let now = self.now();
            self.core.borrow_mut().step(now);
            self.run_commands();
            if let Some(control) = self.trace_control.get() {
                control.pump(&mut self.core.borrow_mut(), now);
            }
        }
    }

    fn note_clock(&self) {
        let now = self.now();
        self.core.borrow_mut().note_clock(now, wall_clock() - now);
    }

    /// Returns whether a step is needed now: events wait for it, or the watch is broken and has to be
    /// scheduled again.
    pub fn needs_step(&self) -> bool {
        self.core.borrow().needs_step()
    }

    /// Requests a step.
    fn wake(&self) {
        let _ = self.step_signal.0.try_send(());
    }

    /// Runs all pending commands of the core.
    fn run_commands(self: &Rc<Self>) {
        loop {
            // The borrow has to end before the command runs, as the command may call back into the core at
            // once.
            let command = self.core.borrow_mut().next_command();
            let Some(command) = command else { break };
            self.run_command(command);
        }
        if self.needs_step() {
            self.wake();
        }
    }

    fn run_command(self: &Rc<Self>, command: Command) {
        let Some(transport) = self.transport.get() else { return };
        match command {
            Command::Send(call) => {
                let (driver, no, until) = (self.clone(), call.no, self.instant(call.until));
                let timer = self.executor.spawn(async move {
                    Timer::at(until).await;
                    let now = driver.now();
                    driver.core.borrow_mut().call_timed_out(now, no);
                    driver.run_commands();
                });
                self.timers.borrow_mut().insert(no, timer);
                transport.send(call);
            }
            Command::Abandon { run_store, no, await_proof } => {
                transport.abandon(&run_store, no, await_proof);
                let timer = self.timers.borrow_mut().remove(&no);
                drop(timer);
            }
            Command::Probe { run_store, no } => {
                let (driver, id) = (self.clone(), run_store.clone());
                let limit = Duration::from_secs_f64(self.core.borrow().probe_timeout() / 1000.0);
                let timer = self.executor.spawn(async move {
                    Timer::after(limit).await;
                    if let Some(transport) = driver.transport.get() {
                        transport.probe_timed_out(&id, no);
                    }
                    driver.probe_ended(no, false, None);
                });
                self.timers.borrow_mut().insert(no, timer);
                transport.probe(&run_store, no);
            }
            Command::CloseIdle(run_store) => transport.close_idle(&run_store),
            Command::Retire(run_store) => transport.retire(&run_store),
            Command::Locate { run_store, address, started } => transport.locate(&run_store, address, started),
            Command::Watch => {
                if let Some(directory) = self.directory.get() {
                    directory.watch();
                }
            }
            Command::Answer { query, answer } => {
                if let Some((sender, _timer)) = self.answer_senders.borrow_mut().remove(&query) {
                    let _ = sender.try_send(answer);
                }
            }
            Command::Log(text) => crate::log::line(&text),
        }
    }
}

/// Converts a duration to milliseconds.
pub fn millis(span: Duration) -> Millis {
    span.as_secs_f64() * 1000.0
}

/// Returns the wall-clock time in Unix milliseconds. The wall clock may be stepped at any time.
fn wall_clock() -> Millis {
    millis(SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default())
}

/// Returns the present time of a clock with this origin, in Unix milliseconds.
fn time_since(origin: (Millis, Instant)) -> Millis {
    origin.0 + millis(origin.1.elapsed())
}

impl PendingQuery {
    /// Waits for the final answer.
    pub async fn answer(&self) -> FinalAnswer {
        self.answer.recv().await.unwrap_or(FinalAnswer::Failed { retry_after: 0.0, cause: Cause::Overdue })
    }
}

impl PendingQuery {
    /// Waits for the final answer. Shortens the deadline to each instant that `sooner` delivers.
    pub async fn answer_before(&self, sooner: Receiver<Instant>) -> FinalAnswer {
        let end_sooner = async {
            while let Ok(at) = sooner.recv().await {
                self.driver.cap_deadline(self.no, at);
            }
            future::pending().await
        };
        future::or(self.answer(), end_sooner).await
    }
}

impl Drop for PendingQuery {
    /// Reports a client that left before its answer to the core, which cancels the attempts of its query.
    fn drop(&mut self) {
        let was_open = self.driver.answer_senders.borrow_mut().remove(&self.no);
        if was_open.is_some() {
            self.driver.core.borrow_mut().client_gone(self.driver.now(), self.no);
            self.driver.wake();
        }
    }
}
