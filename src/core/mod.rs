//! The core: drives the router, independently of any wire protocol.
//!
//! Fronts, run-store transports and directories use it through the small types of this file. [`Core`] itself
//! does no input or output and reads no clock: it is given events and their times, and returns [`Command`]s.
//! [`drive::Driver`] adds a clock, timers, transports and directories.
//!
//! A query passes the stages [`take_in`], [`admit`], [`route`], [`send`], [`relay`] and [`book`]. Each stage
//! is a module that works on the [`ledger`].

pub mod admit;
pub mod book;
pub mod classes;
pub mod drive;
pub mod ledger;
pub mod manual_drain;
pub mod relay;
pub mod route;
pub mod send;
pub mod take_in;
pub mod takeover;
pub mod trace_events;

use std::collections::{BTreeMap, HashSet, VecDeque};
use std::rc::Rc;
use std::sync::Arc;

use crate::advice::RetryAdvice;
use crate::api::{Cause, Discovery, Event, Millis, Outcome, RepeatPolicy, ReplicaId, ReplicaState, Settings};
use crate::asking::WatchSchedule;
use crate::counters::{Counters, Gauges};
use crate::hash::mix;
use crate::query_ids::QueryIds;
use crate::settings::SiteSettings;
use crate::starts::StartTimes;
use crate::trace::writer::{ActiveSettings, TraceWriter};
use crate::Router;
use classes::Classes;
use ledger::{Ledger, RunStoreEntry};
use manual_drain::ManualDrains;

/// A query as a front received it from its client.
#[derive(Debug, Clone, PartialEq)]
pub struct QueryRequest {
    /// The client's id of the query. The ids of the parts on the wire are derived from it.
    pub id: String,
    /// Whether run stores know the parts by that id, so that no other query may have it.
    pub unique_id: bool,
    /// The name of the query's class.
    pub class: String,
    /// The name of the query's tenant, if it has one.
    pub tenant: Option<String>,
    /// How long the client waits; `None` for the deadline of the class.
    pub timeout: Option<Millis>,
    /// How much of that time has passed while the query was queued in the front.
    pub queued: Millis,
    /// Whether the client marked the query as a retry.
    pub is_retry: bool,
    /// Whether the client accepts a partial answer.
    pub accepts_partial: bool,
    /// The idempotency key by which run stores recognize repeats, in a keyed class; see [`Core::is_keyed`].
    pub key: Option<Arc<str>>,
    /// The parts of the query.
    pub parts: Vec<PartRequest>,
    /// The payload that each part carries to its run store.
    pub payload: Rc<[u8]>,
}

/// A part of a [`QueryRequest`].
#[derive(Debug, Clone, PartialEq)]
pub struct PartRequest {
    /// The shard that the part reads or writes.
    pub shard: u32,
    /// The part's share of the answer; the shares of a query add up to 1.
    pub weight: f64,
    /// An estimate of the part's work, if there is one.
    pub work_hint: Option<Millis>,
    /// The key that the part reads or writes, where parts carry keys.
    pub key: Option<Arc<str>>,
}

/// Why a [`QueryRequest`] was not accepted. It gets no [`FinalAnswer`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum InvalidQuery {
    /// The class is not in the settings.
    UnknownClass,
    /// Another query has the id, or had it, and a part could run twice.
    IdInUse,
    /// The request is inconsistent; the text says how.
    Malformed(String),
}

/// The number of an accepted query, unique over the life of a core.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueryNo(pub u64);

/// The number of an attempt or a probe, unique over the life of a core.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallNo(pub u64);

/// The final answer to a query. Each query gets exactly one, unless its client leaves first.
#[derive(Debug, Clone, PartialEq)]
pub enum FinalAnswer {
    /// Served from the parts that have been answered.
    Served {
        /// Whether the answer is whole.
        whole: bool,
        /// The answers of the parts.
        answers: Vec<PartAnswer>,
        /// The number of parts of the query.
        parts: usize,
    },
    /// Refused: a retry is safe.
    Refused {
        /// How long the client should wait before a retry; 0 for no advice.
        retry_after: Millis,
        /// The cause.
        cause: Cause,
    },
    /// Failed: parts of the query may have run.
    Failed {
        /// How long the client should wait before a retry; 0 for no advice.
        retry_after: Millis,
        /// The cause.
        cause: Cause,
    },
}

impl FinalAnswer {
    /// Returns why the query was refused or failed, or `None` if it was served.
    pub fn cause(&self) -> Option<Cause> {
        match self {
            FinalAnswer::Served { .. } => None,
            FinalAnswer::Refused { cause, .. } | FinalAnswer::Failed { cause, .. } => Some(*cause),
        }
    }
}

/// The answer to a part, as a run store gave it.
#[derive(Debug, Clone, PartialEq)]
pub struct PartAnswer {
    /// The shard of the part.
    pub shard: u32,
    /// The value that the run store returned, unchanged.
    pub value: Rc<[u8]>,
}

/// An attempt of a part, for a transport to carry out.
#[derive(Debug, Clone, PartialEq)]
pub struct Call {
    /// The number under which the transport reports the end of the attempt.
    pub no: CallNo,
    /// The run store.
    pub run_store: ReplicaId,
    /// The part's id on the wire: the query's id, a dot and the shard.
    pub part: String,
    /// The client's id of the query.
    pub query: String,
    /// The class's name.
    pub class: Arc<str>,
    /// The number of the query, and the number of the attempt among those of its part.
    pub query_attempt: (QueryNo, u32),
    /// The query's idempotency key, in a keyed class.
    pub key: Option<Arc<str>>,
    /// The shard.
    pub shard: u32,
    /// When the core stops waiting for the attempt.
    pub until: Millis,
    /// The end of the window in which the part may be repeated. It is infinite if no earlier attempt may have
    /// run, or if the class may always be repeated. The attempt may wait for a connection after the decision
    /// to send it, and its last byte has to be written by this time.
    pub allowed_until: Millis,
    /// Whether repeats of the part are restricted, so that an answer to an earlier attempt of it must never be
    /// taken for the answer to this one.
    pub repeats_restricted: bool,
    /// The payload of the part.
    pub payload: Rc<[u8]>,
}

impl Call {
    /// Returns whether it is too late to start the attempt, as it has timed out or the window for repeating
    /// its part is over.
    pub fn is_late(&self, now: Millis) -> bool {
        now > self.until.min(self.allowed_until)
    }
}

/// The end of a call as its transport reports it.
#[derive(Debug, Clone, PartialEq)]
pub struct CallEnd {
    /// The outcome.
    pub outcome: Outcome,
    /// The part's answer, if it was served.
    pub value: Option<Rc<[u8]>>,
    /// The run store's load report, if the response carried one.
    pub load: Option<crate::api::LoadReport>,
}

impl CallEnd {
    /// Returns an end that carries neither an answer nor a load report.
    pub fn bare(outcome: Outcome) -> Self {
        CallEnd { outcome, value: None, load: None }
    }
}

/// A line of a directory: a run store and its address.
#[derive(Debug, Clone, PartialEq)]
pub struct ListedRunStore {
    /// The run store as the directory lists it, without manual drains.
    pub replica: crate::api::Replica,
    /// The address it listens on; `None` on a line that only reports the run store as gone.
    pub address: Option<std::net::SocketAddr>,
}

/// An update from a directory.
#[derive(Debug, Clone, PartialEq)]
pub enum DirectoryUpdate {
    /// The last known list, which may be out of date.
    Cached(Vec<ListedRunStore>),
    /// The whole list.
    Full(Vec<ListedRunStore>),
    /// The lines that changed.
    Changes(Vec<ListedRunStore>),
    /// The directory could not be reached; the previous list stays in force.
    Failed,
    /// A watch on the directory has stopped responding. It counts as broken, and the updates that it missed
    /// are unknown.
    Silent,
}

/// A command from the core to its transports, directory, fronts or log.
#[derive(Debug, Clone, PartialEq)]
pub enum Command {
    /// Start an attempt.
    Send(Call),
    /// Abandon an attempt.
    Abandon {
        /// The run store.
        run_store: ReplicaId,
        /// The attempt.
        no: CallNo,
        /// Whether the core waits for proof that the attempt has ended at the run store. Otherwise its end is
        /// already recorded.
        await_proof: bool,
    },
    /// Probe a run store.
    Probe {
        /// The run store.
        run_store: ReplicaId,
        /// The number of the probe.
        no: CallNo,
    },
    /// Close idle connections to a run store.
    CloseIdle(ReplicaId),
    /// Start nothing new at a run store, including calls that are queued for it.
    Retire(ReplicaId),
    /// Use this address for a run store, whose process started at the given time.
    Locate {
        /// The run store.
        run_store: ReplicaId,
        /// The address that it listens on.
        address: std::net::SocketAddr,
        /// When its process started, if known.
        started: Option<Millis>,
    },
    /// Watch the directory.
    Watch,
    /// Give a query its final answer.
    Answer {
        /// The query.
        query: QueryNo,
        /// The answer.
        answer: FinalAnswer,
    },
    /// Write a line to the log for operators.
    Log(String),
}

/// The state of one aggregator. It does no input or output.
pub struct Core {
    router: Router,
    classes: Classes,
    /// The indexes of tenants by name.
    tenants: BTreeMap<Arc<str>, usize>,
    settings: Settings,
    site: SiteSettings,
    /// When each cause was last logged, by its code.
    cause_logged_at: BTreeMap<&'static str, Millis>,
    /// The trace writer, while a trace is recorded.
    trace_writer: Option<Box<TraceWriter>>,
    max_open: usize,
    /// Queries and parts that another process of this aggregator holds during a handover.
    held_elsewhere: usize,
    /// The number of shards, if known.
    shards: Option<u32>,
    /// When the process will exit; no deadline is later.
    exit_time: Millis,
    probe_timeout: Millis,
    ledger: Ledger,
    query_ids: QueryIds,
    manual_drains: ManualDrains,
    /// The start times of run stores, and the present time of the clock that they are expressed in, once it
    /// is known.
    start_times: StartTimes,
    clock: Option<Millis>,
    /// When [`Core::note_clock`] was first called.
    clock_started: Option<Millis>,
    /// Whether the directory has sent a list.
    list_received: bool,
    /// The watch on the agent, where lists are pushed, and the watch on the discovery service, in case it
    /// stops responding.
    agent_watch: WatchSchedule,
    service_watch: WatchSchedule,
    random_state: u64,
    /// The rate at which this core itself refuses queries, from which it derives retry advice.
    advice: RetryAdvice,
    /// Events for the next step.
    pending_events: Vec<Event>,
    commands: VecDeque<Command>,
    wake_time: Option<Millis>,
    /// The counters.
    pub counters: Counters,
}

impl Core {
    /// Returns a core that knows only its settings.
    ///
    /// # Errors
    /// Returns a message that names the inconsistent setting.
    pub fn new(site: &SiteSettings, seed: u64) -> Result<Self, String> {
        let mut core = Core {
            router: Router::new(site.router_settings(), seed)?,
            classes: Classes::default(),
            tenants: BTreeMap::new(),
            settings: Settings::default(),
            site: site.clone(),
            trace_writer: None,
            cause_logged_at: BTreeMap::new(),
            max_open: 0,
            held_elsewhere: 0,
            shards: None,
            exit_time: Millis::INFINITY,
            probe_timeout: 0.0,
            ledger: Ledger::default(),
            query_ids: QueryIds::default(),
            manual_drains: ManualDrains::default(),
            start_times: StartTimes::default(),
            clock: None,
            clock_started: None,
            list_received: false,
            agent_watch: WatchSchedule::for_agent(),
            service_watch: WatchSchedule::for_service(),
            random_state: mix(seed),
            advice: RetryAdvice::default(),
            pending_events: Vec::new(),
            commands: VecDeque::new(),
            wake_time: None,
            counters: Counters::default(),
        };
        core.apply_settings(site)?;
        Ok(core)
    }

    /// Applies new settings. Open queries keep their class; new queries of a removed class are rejected.
    ///
    /// # Errors
    /// Returns a message that names the inconsistent setting; nothing is changed then.
    pub fn apply_settings(&mut self, site: &SiteSettings) -> Result<(), String> {
        let mut settings = site.router_settings();
        settings.check()?;
        self.classes.apply_settings(site, |index| self.ledger.has_query_of(index));
        settings.classes = self.classes.router_classes();
        self.router.apply_settings(settings.clone())?;
        for name in self.classes.names() {
            self.counters.classes.entry(name.clone()).or_default();
        }
        if self.settings.parallel_attempts && !settings.parallel_attempts {
            self.ledger.forbid_parallel_attempts();
        }
        self.tenants = site.names().tenants.into_iter().map(|(name, at)| (name.into(), at)).collect();
        self.settings = settings;
        self.site = site.clone();
        self.max_open = site.caps.max_open() as usize;
        self.shards = site.domain.shards;
        self.probe_timeout = site.caps.connect_timeout_ms();
        self.trace_settings();
        Ok(())
    }

    /// Removes the classes from the router that earlier settings had and whose last query has ended.
    fn release_removed_classes(&mut self) {
        if !self.classes.release_unused(|index| self.ledger.has_query_of(index)) {
            return;
        }
        self.settings.classes = self.classes.router_classes();
        // These settings were checked when they were applied, and now hold fewer different classes.
        let _ = self.router.apply_settings(self.settings.clone());
        self.trace_settings();
    }

    /// Returns the longest deadline of the classes in the current settings.
    pub fn longest_deadline(&self) -> Millis {
        self.classes.longest_deadline()
    }

    /// Sets the time at which the process exits, and caps the deadline of every query to it.
    pub fn set_exit_time(&mut self, at: Millis) {
        self.exit_time = at;
        self.ledger.cap_deadlines(at);
    }

    /// Sets the current time and the lead of the wall clock over it. Before the first call, start times are
    /// taken as lists state them.
    pub fn note_clock(&mut self, now: Millis, wall_ahead: Millis) {
        self.clock_started.get_or_insert(now);
        self.clock = Some(now);
        self.start_times.record_wall_clock(wall_ahead);
    }

    /// Returns how long the client of a query waits: the stated time, capped by the deadline of its class;
    /// `None` if there is no such class.
    pub fn client_wait(&self, class: &str, stated: Option<Millis>) -> Option<Millis> {
        let class_deadline = self.classes.get(self.classes.index_of(class)?).deadline;
        Some(stated.unwrap_or(class_deadline).min(class_deadline))
    }

    /// Shortens the deadline of a query to `at`, if that is earlier.
    pub fn cap_deadline(&mut self, no: QueryNo, at: Millis) {
        self.ledger.cap_deadline(no, at);
    }

    /// Returns whether queries of a class need an idempotency key, without which none of their parts may be
    /// sent.
    pub fn is_keyed(&self, class: &str) -> bool {
        let index = self.classes.index_of(class);
        index.is_some_and(|index| matches!(self.classes.get(index).class.repeat, RepeatPolicy::Keyed { .. }))
    }

    /// Returns the number of shards, if known.
    pub fn shards(&self) -> Option<u32> {
        self.shards
    }

    /// Returns the minimum time between two steps.
    pub fn tick(&self) -> Millis {
        self.settings.tick
    }

    /// Returns the timeout of a probe.
    pub fn probe_timeout(&self) -> Millis {
        self.probe_timeout
    }

    /// Returns whether a step is needed now: events wait for it, or the watch is broken and has to be
    /// scheduled again.
    pub fn needs_step(&self) -> bool {
        !self.pending_events.is_empty() || self.active_watch().is_broken()
    }

    /// Returns when the next step is needed if nothing happens before.
    pub fn wake_at(&self) -> Option<Millis> {
        self.wake_time.into_iter().chain(self.active_watch().due_at()).reduce(f64::min)
    }

    /// Returns the watch that is in use for this way of discovery.
    fn active_watch(&self) -> &WatchSchedule {
        if self.lists_are_pushed() {
            &self.agent_watch
        } else {
            &self.service_watch
        }
    }

    /// Returns whether lists are pushed to this aggregator's local agent. The router never requests a list
    /// then.
    fn lists_are_pushed(&self) -> bool {
        self.settings.discovery == Discovery::Pushed
    }

    /// Returns whether the directory has sent a list and it names no run store. Before the first list, queries wait for
    /// it.
    fn is_list_empty(&self) -> bool {
        self.list_received && self.ledger.run_stores.is_empty()
    }

    /// Returns the number of run stores that the core keeps an entry for.
    pub fn run_stores(&self) -> usize {
        self.ledger.run_stores.len()
    }

    /// Returns the gauges for the metrics.
    pub fn gauges(&self) -> Gauges {
        let parked: HashSet<_> = self.router.parked().collect();
        let entries = self.ledger.run_stores.iter();
        let ejected = |(id, entry): &(&ReplicaId, &RunStoreEntry)| {
            entry.effective.state != ReplicaState::Active || parked.contains(id)
        };
        Gauges {
            active: self.ledger.queries.len(),
            pool_size: self.ledger.run_stores.len(),
            pool_ejected: entries.filter(ejected).count(),
        }
    }

    /// Removes and returns the oldest pending command.
    pub fn next_command(&mut self) -> Option<Command> {
        self.commands.pop_front()
    }
}
