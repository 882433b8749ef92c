//! Drives a [`Core`] in real time: clock, step spacing, a timer for each wait, and the hand-over of
//! orders to the outside world.

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
use crate::settings::SiteSettings;
use crate::trace::control::Control;

/// A transport to run stores. What it is told takes effect at once; it reports ends to the [`Driver`].
pub trait RunStores {
    /// Starts an attempt. It ends by one [`Driver::call_ended`], unless it is given up.
    fn send(&self, call: Call);
    /// Gives up an attempt. Either its end is booked and nothing more is reported of it, or it is to be proved that the
    /// attempt is over: it then ends by one [`Driver::call_ended`] once its run store has read that it was given up, has
    /// answered it, has ended its connection, or can never have had it whole. That may never be; the core then gives it
    /// up once more, with its end booked.
    fn give_up(&self, replica: &ReplicaId, no: CallNo, await_proof: bool);
    /// Starts a probe. It ends by one [`Driver::probe_ended`] or by its time.
    fn probe(&self, replica: &ReplicaId, no: CallNo);
    /// The time of a probe is over.
    fn probe_timed_out(&self, replica: &ReplicaId, no: CallNo);
    /// Closes connections that carry nothing.
    fn close_idle(&self, replica: &ReplicaId);
    /// Starts nothing new at a run store, queued attempts included.
    fn retire(&self, replica: &ReplicaId);
    /// A run store listens here; an earlier process of its name is no more.
    fn locate(&self, replica: &ReplicaId, address: std::net::SocketAddr, started: Option<Millis>);
    /// The number of run stores of which anything is kept.
    fn places(&self) -> usize;
    /// The number of connections.
    fn open(&self) -> usize;
    /// There may be so many connections from now on.
    fn room(&self, connections: usize);
    /// Takes up other settings.
    fn apply_settings(&self, site: &SiteSettings);
}

/// A directory of run stores.
pub trait Directory {
    /// Starts the watch unless it is on. News go to [`Driver::apply_directory_update`].
    fn watch(&self);
    /// The version of the list that was told last, if lists have versions here.
    fn version(&self) -> Option<u64> {
        None
    }
}

/// A core with its clock and its neighbours.
pub struct Driver {
    core: RefCell<Core>,
    executor: Rc<LocalExecutor<'static>>,
    /// The clock's origin, as Unix time and as an instant: from there on it only runs forward.
    origin: (Millis, Instant),
    signal: (Sender<()>, Receiver<()>),
    waiting: RefCell<HashMap<QueryNo, Waiting>>,
    timers: RefCell<HashMap<CallNo, Task<()>>>,
    stores: OnceCell<Rc<dyn RunStores>>,
    directory: OnceCell<Rc<dyn Directory>>,
    recording: OnceCell<Control>,
}

/// No wait is longer than this, in seconds.
const MOST_WAIT_S: f64 = 1e9;

/// Where a query's verdict goes, and the timer of its deadline.
type Waiting = (Sender<FinalAnswer>, Task<()>);

/// A query that was taken. Dropped before its verdict, it counts as left by its client.
pub struct Pending {
    driver: Rc<Driver>,
    no: QueryNo,
    verdict: Receiver<FinalAnswer>,
}

impl Driver {
    /// A driver for a core; [`Driver::connect`] completes it.
    pub fn new(core: Core, executor: Rc<LocalExecutor<'static>>) -> Rc<Self> {
        Driver::going_on_from(core, executor, wall_clock())
    }

    /// The same, with the clock of a process from which this one takes over, which shows a time just now. Times that
    /// are handed over mean the same to both, however the wall clock was stepped.
    pub fn going_on_from(core: Core, executor: Rc<LocalExecutor<'static>>, now: Millis) -> Rc<Self> {
        Rc::new(Driver {
            core: RefCell::new(core),
            executor,
            origin: (now, Instant::now()),
            signal: async_channel::bounded(1),
            waiting: RefCell::default(),
            timers: RefCell::default(),
            stores: OnceCell::new(),
            directory: OnceCell::new(),
            recording: OnceCell::new(),
        })
    }

    /// Names the neighbours. Only the first call counts.
    pub fn connect(&self, stores: Rc<dyn RunStores>, directory: Rc<dyn Directory>) {
        let _ = self.stores.set(stores);
        let _ = self.directory.set(directory);
    }

    /// The executor that everything runs on.
    pub fn executor(&self) -> &Rc<LocalExecutor<'static>> {
        &self.executor
    }

    /// The time now, in milliseconds since the Unix epoch; it only runs forward.
    pub fn now(&self) -> Millis {
        since(self.origin)
    }

    /// A point of the clock as an instant, for timers.
    pub fn instant(&self, at: Millis) -> Instant {
        self.origin.1 + Duration::from_secs_f64(((at - self.origin.0) / 1000.0).clamp(0.0, MOST_WAIT_S))
    }

    /// Changes what is counted.
    pub fn count(&self, change: impl FnOnce(&mut Counters)) {
        change(&mut self.core.borrow_mut().counters);
    }

    /// A request of a class was answered with an error before it became a query.
    pub fn not_taken(&self, class: &str) {
        let now = self.now();
        self.core.borrow_mut().not_taken(now, class);
    }

    /// The bytes of an attempt: the first was written at some time, and the last just now, if it was.
    pub fn progress(&self, call: &Call, begun: Millis, written: bool) {
        if self.recording.get().is_some() {
            let now = self.now();
            let progress =
                if written { Progress::Written(Some(Num::of(now - begun))) } else { Progress::Begun };
            self.core.borrow_mut().progress(now, call, progress);
        }
    }

    /// Puts in the switch of the recording. Only the first call counts.
    pub fn set_recording(&self, control: Control) {
        let _ = self.recording.set(control);
    }

    /// The switch of the recording, if there is one.
    pub fn recording(&self) -> Option<&Control> {
        self.recording.get()
    }

    /// Switches the recording on or off, if there is one.
    ///
    /// # Errors
    /// If it cannot be switched on.
    pub fn record(&self, on: bool) -> Result<(), String> {
        let Some(control) = self.recording.get() else { return Ok(()) };
        let (origin, now) = (self.origin, self.now());
        let mut core = self.core.borrow_mut();
        if on {
            return control.start(&mut core, move || since(origin));
        }
        control.stop(&mut core, now);
        Ok(())
    }

    /// Has the recording begin another segment.
    pub fn rotate(&self) {
        if let Some(control) = self.recording.get() {
            control.rotate(&mut self.core.borrow_mut());
        }
    }

    /// An operator has called.
    pub fn note_call(&self, call: &str) {
        let now = self.now();
        if let Some(trace_writer) = self.core.borrow_mut().trace_writer() {
            trace_writer.call(now, call);
        }
    }

    /// The counts so far.
    pub fn counters(&self) -> Counters {
        let core = self.core.borrow();
        let places = self.stores.get().map_or(0, |stores| stores.places());
        Counters { run_stores: core.run_stores(), places, ..core.counters.clone() }
    }

    /// What is so just now.
    pub fn gauges(&self) -> Gauges {
        self.core.borrow().gauges()
    }

    /// The number of queries that are owed an answer.
    pub fn open_queries(&self) -> usize {
        self.waiting.borrow().len()
    }

    /// Takes a run store out by hand, or brings it back; `false` if no such was ever listed. From the return on
    /// nothing more is begun there.
    pub fn set_manual_drain(self: &Rc<Self>, now: Millis, id: &ReplicaId, out: bool) -> bool {
        let known = self.core.borrow_mut().set_manual_drain(now, id, out);
        self.run_commands();
        known
    }

    /// The same, as another process of this aggregator was told at some time.
    pub fn apply_manual_drain(self: &Rc<Self>, at: Millis, id: &ReplicaId, out: bool) {
        self.core.borrow_mut().apply_manual_drain(at, id, out);
        self.run_commands();
    }

    /// What a process that takes over is to know.
    pub fn takeover_state(&self) -> TakeoverState {
        self.core.borrow().takeover_state()
    }

    /// Queries and parts that are held.
    pub fn held(&self) -> usize {
        self.core.borrow().held()
    }

    /// Connections to run stores.
    pub fn connections(&self) -> usize {
        self.stores.get().map_or(0, |stores| stores.open())
    }

    /// Leaves room for what another process of this aggregator holds: queries and parts, and by that only so
    /// many connections to run stores here.
    pub fn leave_room(&self, held: usize, connections: usize) {
        self.core.borrow_mut().leave_room(held);
        if let Some(stores) = self.stores.get() {
            stores.room(connections);
        }
    }

    /// The number of run stores that are listed.
    pub fn run_stores(&self) -> usize {
        self.core.borrow().run_stores()
    }

    /// The version of the list, where its directory has one.
    pub fn version(&self) -> Option<u64> {
        self.directory.get()?.version()
    }

    /// Takes up other settings, here and in the transport.
    ///
    /// # Errors
    /// Says which setting contradicts itself; then nothing is changed.
    pub fn apply_settings(&self, site: &SiteSettings) -> Result<(), String> {
        self.core.borrow_mut().apply_settings(site)?;
        if let Some(stores) = self.stores.get() {
            stores.apply_settings(site);
        }
        self.wake();
        Ok(())
    }

    /// The longest time that any query may take.
    pub fn longest_deadline(&self) -> Millis {
        self.core.borrow().longest_deadline()
    }

    /// The process ends after so long: no query, held or still to come, is waited for any longer.
    pub fn end_by(self: &Rc<Self>, left: Duration) {
        let at = Instant::now() + left;
        self.core.borrow_mut().end_by(self.now() + millis(left));
        self.wake_at(at).detach();
    }

    /// How long it has been there.
    pub fn age(&self) -> Millis {
        self.now() - self.origin.0
    }

    /// Whether queries of a class carry a key.
    pub fn is_keyed(&self, class: &str) -> bool {
        self.core.borrow().is_keyed(class)
    }

    /// How long the client of a query waits, if there is such a class.
    pub fn wait_of(&self, class: &str, stated: Option<Millis>) -> Option<Duration> {
        let wait = self.core.borrow().wait_of(class, stated)?;
        Some(Duration::from_secs_f64((wait / 1000.0).clamp(0.0, MOST_WAIT_S)))
    }

    /// A query is to end by some time, if that is sooner than its own.
    fn end_query_by(self: &Rc<Self>, no: QueryNo, at: Instant) {
        let left = at.saturating_duration_since(Instant::now());
        self.core.borrow_mut().end_query_by(no, self.now() + millis(left));
        let timer = self.wake_at(at);
        if let Some((_, last)) = self.waiting.borrow_mut().get_mut(&no) {
            *last = timer;
        }
    }

    /// A step at some time, unless the task is dropped before.
    fn wake_at(self: &Rc<Self>, at: Instant) -> Task<()> {
        let driver = self.clone();
        self.executor.spawn(async move {
            Timer::at(at).await;
            driver.wake();
        })
    }

    /// How many shards there are, if that is known.
    pub fn shards(&self) -> Option<u32> {
        self.core.borrow().shards()
    }

    /// The list of run stores as last told.
    pub fn directory(&self) -> Vec<super::ListedRunStore> {
        self.core.borrow().directory()
    }

    /// Takes a query.
    ///
    /// # Errors
    /// Says why it was not taken.
    pub fn ask(self: &Rc<Self>, ask: QueryRequest) -> Result<Pending, InvalidQuery> {
        let now = self.now();
        let wait = self.core.borrow().wait_of(&ask.class, ask.timeout).unwrap_or(0.0) - ask.waited;
        let no = self.core.borrow_mut().take_in(now, ask)?;
        let (sender, verdict) = async_channel::bounded(1);
        // The query's own timer: the step after it fails whatever is still held.
        let timer = self.wake_at(self.instant(now + wait));
        self.waiting.borrow_mut().insert(no, (sender, timer));
        self.run_commands();
        Ok(Pending { driver: self.clone(), no, verdict })
    }

    /// An attempt has ended. Only the first end counts.
    pub fn call_ended(&self, no: CallNo, end: CallEnd) {
        self.timers.borrow_mut().remove(&no);
        let now = self.now();
        self.core.borrow_mut().call_ended(now, no, end);
        self.wake();
    }

    /// A probe has ended. Only the first end counts.
    pub fn probe_ended(&self, no: CallNo, ok: bool, load: Option<LoadReport>) {
        self.timers.borrow_mut().remove(&no);
        self.core.borrow_mut().probe_ended(no, ok, load);
        self.wake();
    }

    /// News of the list of run stores.
    pub fn apply_directory_update(self: &Rc<Self>, news: DirectoryUpdate) {
        self.note_clock();
        self.core.borrow_mut().apply_directory_update(news);
        self.run_commands();
    }

    /// Steps the core whenever something happened or is due, at most once a tick.
    pub async fn run(self: Rc<Self>) {
        let mut last: Option<Instant> = None;
        loop {
            let wake = self.core.borrow().wake_at().map(|at| self.instant(at));
            let due = async {
                match wake {
                    Some(at) => Timer::at(at).await,
                    None => future::pending().await,
                };
            };
            future::or(due, async {
                let _ = self.signal.1.recv().await;
            })
            .await;
            // Events are batched a tick, as on the bench.
            let tick = Duration::from_secs_f64(self.core.borrow().tick() / 1000.0);
            if let Some(last) = last.filter(|last| last.elapsed() < tick) {
                Timer::at(last + tick).await;
            }
            last = Some(Instant::now());
            self.note_clock();
            let now = self.now();
            self.core.borrow_mut().step(now);
            self.run_commands();
            if let Some(control) = self.recording.get() {
                control.pump(&mut self.core.borrow_mut(), now);
            }
        }
    }

    fn note_clock(&self) {
        let now = self.now();
        self.core.borrow_mut().note_clock(now, wall_clock() - now);
    }

    /// Whether something that was told waits for the next step.
    pub fn has_pending_events(&self) -> bool {
        self.core.borrow().has_pending_events()
    }

    fn wake(&self) {
        let _ = self.signal.0.try_send(());
    }

    fn run_commands(self: &Rc<Self>) {
        loop {
            // The borrow ends before the order is carried out, as that may report back at once.
            let command = self.core.borrow_mut().next_command();
            let Some(command) = command else { break };
            self.run_command(command);
        }
        if self.has_pending_events() {
            self.wake();
        }
    }

    fn run_command(self: &Rc<Self>, command: Command) {
        let Some(stores) = self.stores.get() else { return };
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
                stores.send(call);
            }
            Command::Abandon { replica, no, await_proof } => {
                stores.give_up(&replica, no, await_proof);
                let timer = self.timers.borrow_mut().remove(&no);
                drop(timer);
            }
            Command::Probe { replica, no } => {
                let (driver, id) = (self.clone(), replica.clone());
                let limit = Duration::from_secs_f64(self.core.borrow().probe_timeout() / 1000.0);
                let timer = self.executor.spawn(async move {
                    Timer::after(limit).await;
                    if let Some(stores) = driver.stores.get() {
                        stores.probe_timed_out(&id, no);
                    }
                    driver.probe_ended(no, false, None);
                });
                self.timers.borrow_mut().insert(no, timer);
                stores.probe(&replica, no);
            }
            Command::CloseIdle(replica) => stores.close_idle(&replica),
            Command::Retire(replica) => stores.retire(&replica),
            Command::Locate { replica, address, started } => stores.locate(&replica, address, started),
            Command::Watch => {
                if let Some(directory) = self.directory.get() {
                    directory.watch();
                }
            }
            Command::Answer { query, answer } => {
                if let Some((sender, _timer)) = self.waiting.borrow_mut().remove(&query) {
                    let _ = sender.try_send(answer);
                }
            }
            Command::Log(text) => crate::log::line(&text),
        }
    }
}

/// A span in milliseconds.
pub fn millis(span: Duration) -> Millis {
    span.as_secs_f64() * 1000.0
}

/// The wall clock, in Unix milliseconds. It may be stepped at any time.
fn wall_clock() -> Millis {
    millis(SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default())
}

/// The time since an origin of the clock, in Unix milliseconds.
fn since(origin: (Millis, Instant)) -> Millis {
    origin.0 + millis(origin.1.elapsed())
}

impl Pending {
    /// Waits for the final answer.
    pub async fn verdict(&self) -> FinalAnswer {
        self.verdict.recv().await.unwrap_or(FinalAnswer::Failed { retry_after: 0.0, cause: Cause::Overdue })
    }
}

impl Pending {
    /// The same, by an earlier time if one is told meanwhile.
    pub async fn verdict_before(&self, sooner: Receiver<Instant>) -> FinalAnswer {
        let end_sooner = async {
            while let Ok(at) = sooner.recv().await {
                self.driver.end_query_by(self.no, at);
            }
            future::pending().await
        };
        future::or(self.verdict(), end_sooner).await
    }
}

impl Drop for Pending {
    /// A client that left before its answer: the core hears of it, and its parts are called back.
    fn drop(&mut self) {
        let held = self.driver.waiting.borrow_mut().remove(&self.no);
        if held.is_some() {
            self.driver.core.borrow_mut().client_gone(self.driver.now(), self.no);
            self.driver.wake();
        }
    }
}
