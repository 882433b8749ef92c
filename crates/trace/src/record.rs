//! What a trace is made of: entries, each with its time.
//!
//! Queries go by their numbers, parts by query and shard, all names by their place in the table of their block.
//! Times and spans are milliseconds; an entry's own time is that of the recording process's clock, which counts
//! from the Unix epoch and only runs forward.

use std::cell::RefCell;
use std::sync::Arc;

use serde::{Deserialize, Serialize, Serializer};

use crate::num::Num;

/// What a name names. Names of different kinds never meet, however alike they read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Kind {
    /// A query, as its client calls it.
    Query,
    /// A query class.
    Class,
    /// A group, which shares the service with others.
    Group,
    /// A run store.
    RunStore,
    /// What a query is about, where they carry keys and routing goes by them.
    Key,
}

/// A name, by its place in the table of its block.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Deserialize)]
pub struct Name(pub u32);

thread_local! {
    /// The table by which names are written for people; see [`with_names`].
    static TABLE: RefCell<Vec<(Kind, Arc<str>)>> = const { RefCell::new(Vec::new()) };
}

/// Has names written by their texts, in forms that are for people, while something runs.
pub fn with_names<T>(table: &[(Kind, Arc<str>)], run: impl FnOnce() -> T) -> T {
    TABLE.set(table.to_vec());
    let made = run();
    TABLE.take();
    made
}

impl Serialize for Name {
    fn serialize<S: Serializer>(&self, out: S) -> Result<S::Ok, S::Error> {
        if !out.is_human_readable() {
            return out.serialize_newtype_struct("Name", &self.0);
        }
        TABLE.with_borrow(|table| match table.get(self.0 as usize) {
            Some((_, text)) => out.serialize_str(text),
            None => out.serialize_u32(self.0),
        })
    }
}

/// A record and its time.
#[derive(Debug, Clone, PartialEq)]
pub struct Entry {
    /// When it was made.
    pub at: f64,
    /// The record.
    pub record: Record,
}

/// One thing seen or decided.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// All that replay needs to begin here.
    Checkpoint(Box<Checkpoint>),
    /// Other settings from here on.
    Settings(Box<Told>),
    /// A step of the decision module.
    Step(Step),
    /// A query was taken.
    Taken(Taken),
    /// A query had its end.
    Verdict(Verdict),
    /// A request was answered with an error before it became a query.
    NotTaken(Option<Name>),
    /// An attempt on its way.
    Wire(Wire),
    /// A connection ended.
    Closed(Closed),
    /// An operator called.
    Call(String),
    /// What was counted since the start of the process.
    Counts(Counts),
    /// What was recorded and could not be kept.
    Loss(Loss),
    /// The recording ended here in good order.
    End,
}

/// The state from which replay begins.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Checkpoint {
    /// The decision module's text, hashed: another one may decide otherwise, or not read the state.
    pub module: u64,
    /// The module's state, as itself writes it.
    pub state: Vec<u8>,
    /// The settings in force.
    pub told: Told,
}

/// Settings as they were told.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Told {
    /// For the module, as itself reads them.
    pub module: Vec<u8>,
    /// For people: the settings object, as JSON.
    pub text: String,
    /// The classes, by the places that the module knows them by.
    pub classes: Vec<Name>,
    /// The groups, by their places.
    pub groups: Vec<Name>,
}

/// What the decision module was told, and what it said. Its stored form is `packed`.
#[derive(Debug, Clone, PartialEq)]
pub struct Step {
    /// The events, in order.
    pub events: Vec<Event>,
    /// The actions, in order.
    pub actions: Vec<Action>,
}

/// How a list of run stores came.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ListKind {
    /// As it was last known.
    Cached,
    /// Whole.
    Full,
    /// What changed.
    Changes,
    /// Not at all.
    Broken,
}

/// The standing of a run store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Standing {
    /// It takes parts.
    Active,
    /// It takes nothing new.
    Draining,
    /// It is not there any more.
    Gone,
}

/// A run store in a list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// Its name.
    pub run_store: Name,
    /// Where it stands.
    pub zone: String,
    /// The cell that says which shards it holds.
    pub cell: u32,
    /// Its standing.
    pub standing: Standing,
    /// Its size.
    pub weight: Num,
    /// When it started, if not long ago.
    pub started: Option<Num>,
}

/// Why a query was refused or failed. What a version before this one did not know is [`Cause::Unknown`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Cause {
    /// It was not recorded.
    Unknown,
    /// No run store was listed.
    NoList,
    /// No listed run store held this shard.
    NoHolder(u32),
    /// All that held this shard were draining.
    Drained(u32),
    /// All that held this shard had fallen silent.
    AllParked(u32),
    /// The run stores were busy and the group beyond its share.
    BeyondShare,
    /// The run stores were busy and the answer would have come too late.
    PredictedLate,
    /// Too few parts had come in when its time was up.
    TimeUp,
    /// The part of this shard failed, may have run, and must not run twice.
    MayHaveRun(u32),
    /// The part of this shard failed in all its attempts.
    AttemptsSpent(u32),
    /// The run stores that took it broke off.
    Poison,
    /// As much was held as may be.
    MaxOpen,
    /// Its client's time was up.
    Overdue,
    /// What had come in was too little for the answer that was meant.
    TooLittle,
}

impl Cause {
    /// Its code, as logs and figures have it.
    pub fn code(self) -> &'static str {
        match self {
            Cause::Unknown => "unknown",
            Cause::NoList => "no_list",
            Cause::NoHolder(_) => "no_holder",
            Cause::Drained(_) => "drained",
            Cause::AllParked(_) => "all_parked",
            Cause::BeyondShare => "beyond_share",
            Cause::PredictedLate => "predicted_late",
            Cause::TimeUp => "time_up",
            Cause::MayHaveRun(_) => "may_have_run",
            Cause::AttemptsSpent(_) => "attempts_spent",
            Cause::Poison => "poison",
            Cause::MaxOpen => "max_open",
            Cause::Overdue => "overdue",
            Cause::TooLittle => "too_little",
        }
    }

    /// In words.
    pub fn words(self) -> String {
        match self {
            Cause::Unknown => "the cause was not recorded".into(),
            Cause::NoList => "no run store was listed".into(),
            Cause::NoHolder(no) => format!("no listed run store held shard {no}"),
            Cause::Drained(no) => format!("all run stores that held shard {no} were being drained"),
            Cause::AllParked(no) => format!("all run stores that held shard {no} had fallen silent"),
            Cause::BeyondShare => "the run stores were busy and the group was beyond its share".into(),
            Cause::PredictedLate => "the run stores were busy and the answer would have come too late".into(),
            Cause::TimeUp => "too few parts had come in when its time was up".into(),
            Cause::MayHaveRun(no) => {
                format!("the part of shard {no} failed, may have run, and must not run twice")
            }
            Cause::AttemptsSpent(no) => format!("the part of shard {no} failed in all its attempts"),
            Cause::Poison => "the run stores that took it broke off".into(),
            Cause::MaxOpen => "as much was held as may be (max_open)".into(),
            Cause::Overdue => "its client's time was up".into(),
            Cause::TooLittle => "what had come in was too little for the answer that was meant".into(),
        }
    }
}

/// Why an attempt was made, or called back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Why {
    /// It was not recorded.
    Unknown,
    /// It was the first of its part.
    First,
    /// The last one had ended so.
    After(Outcome),
    /// The last one's run store had been silent for too long.
    Silent,
    /// The last one's run store had answered several later parts first.
    Overtaken,
    /// The last one went on an idle connection of those that are dropped unseen.
    Dropped,
    /// Its query was over.
    Over,
}

impl Why {
    /// In words.
    pub fn words(self) -> String {
        match self {
            Why::Unknown => "why was not recorded".into(),
            Why::First => "the first".into(),
            Why::After(outcome) => format!("as the last one ended {}", outcome.code()),
            Why::Silent => "as its run store was silent for too long".into(),
            Why::Overtaken => "as its run store answered several later parts first".into(),
            Why::Dropped => "as idle connections are being dropped unseen".into(),
            Why::Over => "as the query is over".into(),
        }
    }
}

/// Why a part went to a run store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Choice {
    /// It was not recorded.
    Unknown,
    /// It would finish first there.
    Least,
    /// No other that held its shard took parts.
    Only,
    /// All that held its shard had fallen silent, and this one was rated best.
    BestParked,
}

impl Choice {
    /// In words.
    pub fn words(self) -> &'static str {
        match self {
            Choice::Unknown => "why there was not recorded",
            Choice::Least => "least finish there",
            Choice::Only => "no other takes parts of this shard",
            Choice::BestParked => "all of this shard are parked, this one is rated best",
        }
    }
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// Served.
    Completed,
    /// The run store returned an error.
    Errored,
    /// Turned away unseen.
    Rejected,
    /// No answer in time.
    TimedOut,
    /// No connection.
    ConnectFailed,
    /// The connection broke.
    Reset,
    /// Called back.
    Cancelled,
    /// Never sent.
    NotSent,
}

impl Outcome {
    /// Its code.
    pub fn code(self) -> &'static str {
        match self {
            Outcome::Completed => "completed",
            Outcome::Errored => "errored",
            Outcome::Rejected => "rejected",
            Outcome::TimedOut => "timed_out",
            Outcome::ConnectFailed => "connect_failed",
            Outcome::Reset => "reset",
            Outcome::Cancelled => "cancelled",
            Outcome::NotSent => "not_sent",
        }
    }
}

/// A run store's word on its load.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Parts waiting.
    pub queue: Option<Num>,
    /// Parts in hand.
    pub in_flight: Option<Num>,
    /// The busy share of its cores.
    pub utilization: Option<Num>,
    /// Parts served a second.
    pub throughput: Option<Num>,
}

/// Something that the module was told.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// The list of run stores.
    List(ListKind, Vec<Line>),
    /// A query.
    Query {
        /// Its number.
        query: u64,
        /// The place of its class.
        class: u32,
        /// The place of its group.
        group: Option<u32>,
        /// What it is about.
        key: Option<Name>,
        /// When it came, against the step's time.
        arrived: Num,
        /// When its client gives up, against the step's time.
        deadline: Num,
        /// Its number of parts.
        parts: u32,
        /// Whether its client said that it is a repeat.
        retry: bool,
    },
    /// A part of a query.
    Part {
        /// Its query.
        query: u64,
        /// Its shard.
        shard: u32,
        /// Its share of the answer.
        weight: Num,
        /// Its work, where that is guessed.
        hint: Option<Num>,
        /// What it is about.
        key: Option<Name>,
    },
    /// The end of an attempt.
    Ended {
        /// The query.
        query: u64,
        /// The shard.
        shard: u32,
        /// The attempt's number, from 0.
        attempt: u32,
        /// Where it went.
        run_store: Name,
        /// How it ended.
        outcome: Outcome,
        /// How long it was out.
        latency: Num,
        /// What the run store said of its load.
        load: Option<Load>,
    },
    /// The end of a probe.
    Probe {
        /// Where it went.
        run_store: Name,
        /// Whether there was an answer.
        ok: bool,
        /// What the run store said of its load.
        load: Option<Load>,
    },
    /// A query's client has left, or its time is up.
    Gone(u64),
    /// The time that the module asked for.
    Wake,
}

/// Something that the module said.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Action {
    /// Send a part.
    Send {
        /// Its query.
        query: u64,
        /// Its shard.
        shard: u32,
        /// Where to.
        run_store: Name,
        /// How long to wait.
        timeout: Num,
        /// Why.
        why: Why,
        /// Why there.
        choice: Choice,
    },
    /// Call an attempt back.
    Cancel {
        /// Its query.
        query: u64,
        /// Its shard.
        shard: u32,
        /// Its number.
        attempt: u32,
        /// Why.
        why: Why,
    },
    /// Answer a query.
    Answer {
        /// The query.
        query: u64,
        /// Whether that is whole.
        whole: bool,
    },
    /// Refuse a query.
    Refuse {
        /// The query.
        query: u64,
        /// How long its client should stay away.
        retry_after: Num,
        /// Why.
        cause: Cause,
    },
    /// Fail a query.
    Fail {
        /// The query.
        query: u64,
        /// How long its client should stay away.
        retry_after: Num,
        /// Why.
        cause: Cause,
    },
    /// Probe a run store.
    Probe(Name),
    /// Close a run store's idle connections.
    CloseIdle(Name),
    /// Watch the directory.
    Subscribe,
    /// Step again then, against the step's time.
    WakeAt(Num),
    /// A line for people.
    Log(String),
}

/// A query, as it was taken.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Taken {
    /// Its number.
    pub query: u64,
    /// What its client calls it.
    pub name: Name,
    /// Its class.
    pub class: Name,
    /// Its group.
    pub group: Option<Name>,
    /// Its number of parts.
    pub parts: u32,
    /// How long its client waits.
    pub timeout: Num,
    /// Whether its client said that it is a repeat.
    pub retry: bool,
}

/// How a query ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum How {
    /// Answered whole.
    Whole,
    /// Answered from some parts.
    Partial,
    /// Refused: trying again is harmless.
    Refused,
    /// Failed.
    Failed,
    /// Its client left first.
    Left,
}

/// The one end of a query.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Verdict {
    /// Its number.
    pub query: u64,
    /// Its class.
    pub class: Name,
    /// Its group.
    pub group: Option<Name>,
    /// The time since it was taken.
    pub took: Num,
    /// How it ended.
    pub how: How,
    /// Why it was refused or failed, if it was.
    pub cause: Option<Cause>,
    /// Parts that were in.
    pub parts_in: u32,
    /// Parts that were asked for.
    pub parts: u32,
}

/// How far an attempt got on its connection.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub enum Progress {
    /// Its first byte was written, or may have been; its last one was not, as the connection ended.
    Begun,
    /// Its last byte is written: from here on it may run. The first one was so much earlier, in milliseconds, if that
    /// is known.
    Written(Option<Num>),
}

/// An attempt on its way: one record for its bytes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Wire {
    /// The query.
    pub query: u64,
    /// The shard.
    pub shard: u32,
    /// The attempt's number.
    pub attempt: u32,
    /// How far it got.
    pub progress: Progress,
}

/// The end of a connection.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Closed {
    /// What it connected to.
    pub kind: String,
    /// The other side's address.
    pub peer: String,
    /// The reason's code.
    pub code: String,
    /// What else the log says of it.
    pub note: String,
}

/// Counts of a class.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClassCounts {
    /// The class.
    pub class: Name,
    /// Answered.
    pub ok: u64,
    /// Refused.
    pub shed: u64,
    /// Failed, or not taken.
    pub errors: u64,
}

/// Counts since the start of the process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Queries taken.
    pub taken: u64,
    /// Queries whose clients left first.
    pub left: u64,
    /// Attempts written whole.
    pub tries: u64,
    /// Queries that are held.
    pub active: u64,
    /// Ends by class.
    pub classes: Vec<ClassCounts>,
}

/// What could not be kept.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Loss {
    /// Records lost.
    pub records: u64,
    /// The time of the first of them.
    pub from: Num,
}

type Visit<'a> = &'a mut dyn FnMut(Kind, &mut Name);

impl Told {
    fn names(&mut self, visit: Visit) {
        self.classes.iter_mut().for_each(|name| visit(Kind::Class, name));
        self.groups.iter_mut().for_each(|name| visit(Kind::Group, name));
    }
}

impl Record {
    /// Visits all names of the record.
    pub fn names(&mut self, visit: Visit) {
        match self {
            Record::Checkpoint(checkpoint) => checkpoint.told.names(visit),
            Record::Settings(told) => told.names(visit),
            Record::Step(step) => {
                step.events.iter_mut().for_each(|event| event.names(visit));
                step.actions.iter_mut().for_each(|action| action.names(visit));
            }
            Record::Taken(taken) => {
                visit(Kind::Query, &mut taken.name);
                visit(Kind::Class, &mut taken.class);
                taken.group.iter_mut().for_each(|name| visit(Kind::Group, name));
            }
            Record::Verdict(verdict) => {
                visit(Kind::Class, &mut verdict.class);
                verdict.group.iter_mut().for_each(|name| visit(Kind::Group, name));
            }
            Record::NotTaken(class) => class.iter_mut().for_each(|name| visit(Kind::Class, name)),
            Record::Counts(counts) => {
                counts.classes.iter_mut().for_each(|counts| visit(Kind::Class, &mut counts.class));
            }
            Record::Wire(_) | Record::Closed(_) | Record::Call(_) | Record::Loss(_) | Record::End => {}
        }
    }

    /// Visits the numbers of the queries that the record is about.
    pub fn queries(&self, visit: &mut dyn FnMut(u64)) {
        match self {
            Record::Step(step) => {
                step.events.iter().filter_map(Event::query).for_each(&mut *visit);
                step.actions.iter().filter_map(Action::query).for_each(visit);
            }
            Record::Taken(taken) => visit(taken.query),
            Record::Verdict(verdict) => visit(verdict.query),
            Record::Wire(wire) => visit(wire.query),
            _ => {}
        }
    }

    /// The free text of the record, in which names may stand too.
    pub fn texts(&mut self, visit: &mut dyn FnMut(&mut String)) {
        match self {
            Record::Step(step) => {
                for action in &mut step.actions {
                    if let Action::Log(text) = action {
                        visit(text);
                    }
                }
            }
            Record::Closed(closed) => visit(&mut closed.note),
            Record::Call(text) => visit(text),
            _ => {}
        }
    }
}

impl Event {
    /// The query that it is about.
    pub fn query(&self) -> Option<u64> {
        match self {
            Event::Query { query, .. } | Event::Part { query, .. } | Event::Ended { query, .. } => {
                Some(*query)
            }
            Event::Gone(query) => Some(*query),
            Event::List(..) | Event::Probe { .. } | Event::Wake => None,
        }
    }

    fn names(&mut self, visit: Visit) {
        match self {
            Event::List(_, lines) => {
                lines.iter_mut().for_each(|line| visit(Kind::RunStore, &mut line.run_store));
            }
            Event::Query { key, .. } | Event::Part { key, .. } => {
                key.iter_mut().for_each(|name| visit(Kind::Key, name));
            }
            Event::Ended { run_store, .. } | Event::Probe { run_store, .. } => {
                visit(Kind::RunStore, run_store)
            }
            Event::Gone(_) | Event::Wake => {}
        }
    }
}

impl Action {
    /// The query that it is about.
    pub fn query(&self) -> Option<u64> {
        match self {
            Action::Send { query, .. }
            | Action::Cancel { query, .. }
            | Action::Answer { query, .. }
            | Action::Refuse { query, .. }
            | Action::Fail { query, .. } => Some(*query),
            _ => None,
        }
    }

    fn names(&mut self, visit: Visit) {
        match self {
            Action::Send { run_store, .. } | Action::Probe(run_store) | Action::CloseIdle(run_store) => {
                visit(Kind::RunStore, run_store);
            }
            _ => {}
        }
    }
}
