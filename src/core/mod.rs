//! The core: it drives the router and knows no wire.
//!
//! Fronts, run-store transports and directories meet it through the small types
//! of this file. [`Core`] itself does no input or output and reads no clock: it
//! is told what happened and when, and hands out [`Command`]s. [`drive::Driver`]
//! gives it a clock, timers and the outside world.
//!
//! A request passes the stages [`take_in`], [`admit`], [`route`], [`send`],
//! [`relay`] and [`book`]; each is a unit that works on the ledger.

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
use crate::settings::SiteSettings;
use crate::starts::StartTimes;
use crate::trace::writer::{ActiveSettings, TraceWriter};
use crate::Router;
use classes::Classes;
use ledger::{Ledger, RunStoreEntry};
use manual_drain::ManualDrains;

/// A query as a front took it from its client.
#[derive(Debug, Clone, PartialEq)]
pub struct QueryRequest {
    /// The client's id of the query; part ids on the wires are made from it.
    pub id: String,
    /// The name of its class.
    pub class: String,
    /// The name of its tenant, if it has one.
    pub tenant: Option<String>,
    /// How long the client waits; `None` for the class's give-up time.
    pub timeout: Option<Millis>,
    /// How much of that is over, as it waited for its turn.
    pub waited: Millis,
    /// Whether the client marked it as a repeat.
    pub retried: bool,
    /// Whether an answer that is not whole is welcome.
    pub partial: bool,
    /// The key by which run stores know its repeats, in a keyed class; see [`Core::is_keyed`].
    pub key: Option<Arc<str>>,
    /// Its parts.
    pub parts: Vec<PartRequest>,
    /// What each part has to carry to its run store.
    pub text: Rc<[u8]>,
}

/// A part of an [`QueryRequest`].
#[derive(Debug, Clone, PartialEq)]
pub struct PartRequest {
    /// Its shard.
    pub shard: u32,
    /// Its share of the answer.
    pub weight: f64,
    /// A guess at its work.
    pub hint: Option<Millis>,
    /// What it is about, where parts carry keys.
    pub key: Option<Arc<str>>,
}

/// Why an [`QueryRequest`] was not taken. Nothing is owed for it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum InvalidQuery {
    /// Its class is not in the settings.
    UnknownClass,
    /// It contradicts itself; the text says how.
    Malformed(String),
}

/// The number of a query that was taken, unique over the life of a core.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueryNo(pub u64);

/// The number of an attempt or a probe, unique over the life of a core.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallNo(pub u64);

/// The one final answer to a query.
#[derive(Debug, Clone, PartialEq)]
pub enum FinalAnswer {
    /// Served from the parts that are in.
    Served {
        /// Whether the answer is whole.
        whole: bool,
        /// The parts that are in.
        answers: Vec<PartAnswer>,
        /// The number of parts that were asked for.
        parts: usize,
    },
    /// Refused: trying again is harmless.
    Refused {
        /// How long the client should stay away; 0 for no advice.
        retry_after: Millis,
        /// Why.
        cause: Cause,
    },
    /// Failed, with no word on its effects.
    Failed {
        /// How long the client should stay away; 0 for no advice.
        retry_after: Millis,
        /// Why.
        cause: Cause,
    },
}

impl FinalAnswer {
    /// Why it is no answer, if it is none.
    pub fn cause(&self) -> Option<Cause> {
        match self {
            FinalAnswer::Served { .. } => None,
            FinalAnswer::Refused { cause, .. } | FinalAnswer::Failed { cause, .. } => Some(*cause),
        }
    }
}

/// A part's answer, as a run store gave it.
#[derive(Debug, Clone, PartialEq)]
pub struct PartAnswer {
    /// The part's shard.
    pub shard: u32,
    /// The value, unchanged.
    pub value: Rc<[u8]>,
}

/// An attempt of a part, for a transport to carry out.
#[derive(Debug, Clone, PartialEq)]
pub struct Call {
    /// Its number, under which it ends.
    pub no: CallNo,
    /// The run store.
    pub replica: ReplicaId,
    /// The part's id on the wire: the query's id, a dot and the shard.
    pub part: String,
    /// The client's id of the query.
    pub query: String,
    /// The class's name.
    pub class: Arc<str>,
    /// The number of its query, and its own among the part's attempts.
    pub of: (QueryNo, u32),
    /// The query's key, in a keyed class.
    pub key: Option<Arc<str>>,
    /// The shard.
    pub shard: u32,
    /// The time at which the core stops waiting.
    pub until: Millis,
    /// The end of the time in which its class may be repeated, if this is a repeat: it may wait for a connection after
    /// it was decided on, and its last byte has to be out by then.
    pub allowed_until: Millis,
    /// What the part carries.
    pub text: Rc<[u8]>,
}

impl Call {
    /// Whether it may be begun no more, as its time is over or its class may not be repeated any longer.
    pub fn is_late(&self, now: Millis) -> bool {
        now > self.until.min(self.allowed_until)
    }
}

/// What a transport reports of a call's end.
#[derive(Debug, Clone, PartialEq)]
pub struct CallEnd {
    /// How it ended.
    pub outcome: Outcome,
    /// The part's answer, where it was served.
    pub value: Option<Rc<[u8]>>,
    /// The run store's load report, if one came along.
    pub load: Option<crate::api::LoadReport>,
}

impl CallEnd {
    /// An end that brought nothing along.
    pub fn bare(outcome: Outcome) -> Self {
        CallEnd { outcome, value: None, load: None }
    }
}

/// A line of a directory: the router's view of a run store, and where it listens.
#[derive(Debug, Clone, PartialEq)]
pub struct ListedRunStore {
    /// The router's view.
    pub replica: crate::api::Replica,
    /// The address it listens on; `None` on a line that only says it is gone.
    pub address: Option<std::net::SocketAddr>,
}

/// News from a directory.
#[derive(Debug, Clone, PartialEq)]
pub enum DirectoryUpdate {
    /// The list as it was last known, maybe old.
    Cached(Vec<ListedRunStore>),
    /// The whole list.
    Full(Vec<ListedRunStore>),
    /// The lines that changed.
    Changes(Vec<ListedRunStore>),
    /// The directory could not be asked; the old list stands.
    Failed,
    /// A watch on the directory has fallen silent: it is broken, and what it missed is not known.
    Silent,
}

/// Something for the outside world to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Command {
    /// Carry out an attempt.
    Send(Call),
    /// Give up an attempt.
    Abandon {
        /// The run store.
        replica: ReplicaId,
        /// The attempt.
        no: CallNo,
        /// Whether it is waited for until it is proved to be over there. Else its end is already booked.
        await_proof: bool,
    },
    /// Probe a run store.
    Probe {
        /// The run store.
        replica: ReplicaId,
        /// The probe's number.
        no: CallNo,
    },
    /// Close idle connections to a run store.
    CloseIdle(ReplicaId),
    /// Send nothing new to a run store, what is queued for it included.
    Retire(ReplicaId),
    /// A run store listens at this address, as a process started at that time.
    Locate {
        /// The run store.
        replica: ReplicaId,
        /// Where it listens.
        address: std::net::SocketAddr,
        /// When its process started.
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
    /// A line for the people on call.
    Log(String),
}

/// The state of one aggregator, without input or output.
pub struct Core {
    router: Router,
    classes: Classes,
    /// The places of tenants by their names.
    tenants: BTreeMap<Arc<str>, usize>,
    settings: Settings,
    site: SiteSettings,
    /// When the log last told of each cause.
    said: BTreeMap<&'static str, Millis>,
    /// The recording, if one is on.
    trace_writer: Option<Box<TraceWriter>>,
    max_open: usize,
    /// Queries and parts that another process of this aggregator holds.
    held_elsewhere: usize,
    /// How many shards there are, if that is known.
    shards: Option<u32>,
    /// When the process is to end.
    ends: Millis,
    probe_timeout: Millis,
    ledger: Ledger,
    manual_drains: ManualDrains,
    /// When run stores started, and the time now by the clock that they are placed on, once it was told.
    starts: StartTimes,
    clock: Option<Millis>,
    /// When it was told for the first time.
    began: Option<Millis>,
    /// Whether the directory has told a list.
    listed: bool,
    /// The watch on the agent, where lists are pushed, and on the service, should that fall silent.
    agent: WatchSchedule,
    service: WatchSchedule,
    chance: u64,
    /// How much this core has refused by itself.
    advice: RetryAdvice,
    /// Events that wait for the next step.
    inbox: Vec<Event>,
    commands: VecDeque<Command>,
    wake: Option<Millis>,
    /// What was counted.
    pub counters: Counters,
}

impl Core {
    /// A core with nothing known but its settings.
    ///
    /// # Errors
    /// Says which setting contradicts itself.
    pub fn new(site: &SiteSettings, seed: u64) -> Result<Self, String> {
        let mut core = Core {
            router: Router::new(site.router_settings(), seed)?,
            classes: Classes::default(),
            tenants: BTreeMap::new(),
            settings: Settings::default(),
            site: site.clone(),
            trace_writer: None,
            said: BTreeMap::new(),
            max_open: 0,
            held_elsewhere: 0,
            shards: None,
            ends: Millis::INFINITY,
            probe_timeout: 0.0,
            ledger: Ledger::default(),
            manual_drains: ManualDrains::default(),
            starts: StartTimes::default(),
            clock: None,
            began: None,
            listed: false,
            agent: WatchSchedule::for_agent(),
            service: WatchSchedule::for_service(),
            chance: mix(seed),
            advice: RetryAdvice::default(),
            inbox: Vec::new(),
            commands: VecDeque::new(),
            wake: None,
            counters: Counters::default(),
        };
        core.apply_settings(site)?;
        Ok(core)
    }

    /// Takes up other settings. Queries under way keep their class; new ones of a class that is gone are not taken.
    ///
    /// # Errors
    /// Says which setting contradicts itself; then nothing is changed.
    pub fn apply_settings(&mut self, site: &SiteSettings) -> Result<(), String> {
        let mut settings = site.router_settings();
        settings.check()?;
        let queries = &self.ledger.queries;
        self.classes.take(site, |place| queries.values().any(|query| query.class == place));
        settings.classes = self.classes.for_router();
        self.router.apply_settings(settings.clone())?;
        for name in self.classes.names() {
            self.counters.classes.entry(name.clone()).or_default();
        }
        if self.settings.parallel_attempts && !settings.parallel_attempts {
            self.ledger.forbid_copies();
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

    /// The longest time that any query may take.
    pub fn longest_deadline(&self) -> Millis {
        self.classes.longest_deadline()
    }

    /// The process ends at some time, and no query outlives it.
    pub fn end_by(&mut self, at: Millis) {
        self.ends = at;
        self.ledger.end_by(at);
    }

    /// The time now, and how far the wall clock is ahead of it. Until it is told, starts are taken as lists state them.
    pub fn note_clock(&mut self, now: Millis, wall_ahead: Millis) {
        self.began.get_or_insert(now);
        self.clock = Some(now);
        self.starts.record_wall_clock(wall_ahead);
    }

    /// How long the client of a query waits: as it states, and no longer than its class is given up for.
    pub fn wait_of(&self, class: &str, stated: Option<Millis>) -> Option<Millis> {
        let most = self.classes.at(self.classes.named(class)?).deadline;
        Some(stated.unwrap_or(most).min(most))
    }

    /// A query is to end by some time, if that is sooner than its own.
    pub fn end_query_by(&mut self, no: QueryNo, at: Millis) {
        self.ledger.end_query_by(no, at);
    }

    /// Whether queries of a class carry a key, without which no part of theirs may reach a run store.
    pub fn is_keyed(&self, class: &str) -> bool {
        let at = self.classes.named(class);
        at.is_some_and(|at| matches!(self.classes.at(at).class.repeat, RepeatPolicy::Keyed { .. }))
    }

    /// How many shards there are, if that is known.
    pub fn shards(&self) -> Option<u32> {
        self.shards
    }

    /// The least time between two steps.
    pub fn tick(&self) -> Millis {
        self.settings.tick
    }

    /// How long a probe may take.
    pub fn probe_timeout(&self) -> Millis {
        self.probe_timeout
    }

    /// Whether something waits for a step.
    pub fn has_pending_events(&self) -> bool {
        !self.inbox.is_empty() || self.watching().is_broken()
    }

    /// When the next step is due, if nothing happens before.
    pub fn wake_at(&self) -> Option<Millis> {
        self.wake.into_iter().chain(self.watching().due_at()).reduce(f64::min)
    }

    fn watching(&self) -> &WatchSchedule {
        if self.is_pushed() {
            &self.agent
        } else {
            &self.service
        }
    }

    /// Whether lists come to an agent of this aggregator's own. The router never asks for such.
    fn is_pushed(&self) -> bool {
        self.settings.discovery == Discovery::Pushed
    }

    /// The number of run stores of which anything is kept.
    pub fn run_stores(&self) -> usize {
        self.ledger.run_stores.len()
    }

    /// What is so just now, for the figures.
    pub fn gauges(&self) -> Gauges {
        let parked: HashSet<_> = self.router.parked().collect();
        let places = self.ledger.run_stores.iter();
        let ejected = |(id, place): &(&ReplicaId, &RunStoreEntry)| {
            place.replica.state != ReplicaState::Active || parked.contains(id)
        };
        Gauges {
            active: self.ledger.queries.len(),
            pool_size: self.ledger.run_stores.len(),
            pool_ejected: places.filter(ejected).count(),
        }
    }

    /// Takes the next order, in the order of their making.
    pub fn next_command(&mut self) -> Option<Command> {
        self.commands.pop_front()
    }
}
