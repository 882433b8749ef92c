//! The data model of a trace: timestamped records.
//!
//! Queries are identified by number, parts by query and shard, and names by their index in the name table of the
//! block. Times and durations are in milliseconds. The timestamp of an entry comes from the clock of the recording
//! process, which counts from the Unix epoch and never runs backwards.

use std::cell::RefCell;
use std::sync::Arc;

use serde::{Deserialize, Serialize, Serializer};

use crate::num::Num;

/// The kind of thing that a name identifies. Names of different kinds are distinct even if their texts are equal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Kind {
    /// A query, by the id that its client gave it.
    Query,
    /// A query class.
    Class,
    /// A group of clients that is entitled to a share of the service.
    Group,
    /// A run store.
    RunStore,
    /// The key of a query or part, where routing uses keys.
    Key,
}

/// A name, as an index into the name table of its block.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Deserialize)]
pub struct Name(pub u32);

thread_local! {
    /// The name table used by human-readable serializers; see [`with_names`].
    static TABLE: RefCell<Vec<(Kind, Arc<str>)>> = const { RefCell::new(Vec::new()) };
}

/// Runs a closure during which human-readable serializers write names as their texts from `table`, not as indexes.
pub fn with_names<T>(table: &[(Kind, Arc<str>)], run: impl FnOnce() -> T) -> T {
    TABLE.set(table.to_vec());
    let result = run();
    TABLE.take();
    result
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

/// A record with its timestamp.
#[derive(Debug, Clone, PartialEq)]
pub struct Entry {
    /// The time of the record, in Unix milliseconds.
    pub at: f64,
    /// The recorded event.
    pub record: Record,
}

/// A single recorded event or decision.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// The full state that replay needs to start at this point.
    Checkpoint(Box<Checkpoint>),
    /// A change of settings, effective from this point.
    Settings(Box<AppliedSettings>),
    /// One step of the decision module.
    Step(Step),
    /// A query was accepted.
    Taken(Taken),
    /// A query ended.
    Verdict(Verdict),
    /// A request was answered with an error before it was accepted as a query; with its class, if known.
    NotTaken(Option<Name>),
    /// Progress in writing an attempt to its connection.
    Wire(Wire),
    /// A connection ended.
    Closed(Closed),
    /// A request to the operator interface.
    Call(String),
    /// The counters since the start of the process.
    Counts(Counts),
    /// Records that could not be stored.
    Loss(Loss),
    /// The recording was closed regularly.
    End,
}

/// The state from which replay begins.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Checkpoint {
    /// The hash of the decision module's source code. A different module may decide differently, or be unable to read
    /// the state.
    pub module: u64,
    /// The module's state, in its own serialization.
    pub state: Vec<u8>,
    /// The settings in force.
    #[serde(rename = "told")]
    pub settings: AppliedSettings,
}

/// The settings that were given to the decision module.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AppliedSettings {
    /// The settings in the module's own serialization.
    pub module: Vec<u8>,
    /// The settings object as JSON, for readers and tools.
    pub text: String,
    /// The class names, in the order of the module's class indexes.
    pub classes: Vec<Name>,
    /// The group names, in the order of the module's group indexes.
    pub groups: Vec<Name>,
}

/// The input events and the resulting actions of one step of the decision module. The `packed` module defines its
/// stored form.
#[derive(Debug, Clone, PartialEq)]
pub struct Step {
    /// The events, in order.
    pub events: Vec<Event>,
    /// The actions, in order.
    pub actions: Vec<Action>,
}

/// The kind of an update to the list of run stores.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ListKind {
    /// The last known list, from a cache.
    Cached,
    /// The complete list.
    Full,
    /// The changes since the previous update.
    Changes,
    /// The watch failed and gave no list.
    Broken,
}

/// The state of a run store in the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Standing {
    /// It accepts parts.
    Active,
    /// It accepts no new parts.
    Draining,
    /// It is no longer listed.
    Gone,
}

/// An entry of the list of run stores.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// Its name.
    pub run_store: Name,
    /// The zone that it runs in.
    pub zone: String,
    /// Its cell, which determines the shards that it holds.
    pub cell: u32,
    /// Its state.
    pub standing: Standing,
    /// Its capacity weight.
    pub weight: Num,
    /// Its start time, if it started recently.
    pub started: Option<Num>,
}

/// The reason why a query was refused or failed. It is [`Cause::Unknown`] in traces of versions without causes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Cause {
    /// The cause was not recorded.
    Unknown,
    /// No run store was listed.
    NoList,
    /// No listed run store held this shard.
    NoHolder(u32),
    /// All run stores that held this shard were draining.
    Drained(u32),
    /// All run stores that held this shard were parked.
    AllParked(u32),
    /// The run stores were busy and the group was beyond its share.
    BeyondShare,
    /// The run stores were busy and the answer was predicted to be late.
    PredictedLate,
    /// Too few parts had completed when the query's time was up.
    TimeUp,
    /// The part of this shard failed, may have run, and must not run twice.
    MayHaveRun(u32),
    /// The part of this shard failed in all permitted attempts.
    AttemptsSpent(u32),
    /// The run stores that received the query reset their connections, and none of its parts completed.
    Poison,
    /// The limit on held queries and parts was reached.
    MaxOpen,
    /// The client's deadline passed while the query was still held.
    Overdue,
    /// The completed parts were too few for the answer that the module decided on.
    TooLittle,
}

impl Cause {
    /// Returns its code, as used in logs and metrics.
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

    /// Returns a description for operators.
    pub fn description(self) -> String {
        match self {
            Cause::Unknown => "the cause was not recorded".into(),
            Cause::NoList => "no run store was listed".into(),
            Cause::NoHolder(no) => format!("no listed run store held shard {no}"),
            Cause::Drained(no) => format!("all run stores that held shard {no} were being drained"),
            Cause::AllParked(no) => format!("all run stores that held shard {no} were parked"),
            Cause::BeyondShare => "the run stores were busy and the group was beyond its share".into(),
            Cause::PredictedLate => "the run stores were busy and the answer would have come too late".into(),
            Cause::TimeUp => "too few parts had completed when its time was up".into(),
            Cause::MayHaveRun(no) => {
                format!("the part of shard {no} failed, may have run, and must not run twice")
            }
            Cause::AttemptsSpent(no) => format!("the part of shard {no} failed in all its attempts"),
            Cause::Poison => "the run stores that received it reset their connections".into(),
            Cause::MaxOpen => "the limit on held queries and parts was reached (max_open)".into(),
            Cause::Overdue => "its client's deadline had passed".into(),
            Cause::TooLittle => "too few parts had completed for the answer that was decided on".into(),
        }
    }
}

/// The reason why an attempt was made or cancelled.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Why {
    /// The reason was not recorded.
    Unknown,
    /// It was the first attempt of its part.
    First,
    /// The previous attempt ended with this outcome.
    After(Outcome),
    /// The run store of the previous attempt was silent for too long.
    Silent,
    /// The run store of the previous attempt answered several later parts first.
    Overtaken,
    /// The previous attempt used an idle connection, and idle connections were being dropped without notice.
    Dropped,
    /// The query had ended.
    Over,
}

impl Why {
    /// Returns a description for operators.
    pub fn description(self) -> String {
        match self {
            Why::Unknown => "reason not recorded".into(),
            Why::First => "the first".into(),
            Why::After(outcome) => format!("because the previous one ended {}", outcome.code()),
            Why::Silent => "because its run store was silent for too long".into(),
            Why::Overtaken => "because its run store answered several later parts first".into(),
            Why::Dropped => "because idle connections are being dropped without notice".into(),
            Why::Over => "because the query is over".into(),
        }
    }
}

/// The reason why a run store was chosen for a part.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Choice {
    /// The reason was not recorded.
    Unknown,
    /// It had the earliest predicted finish.
    Least,
    /// No other run store that held the shard accepted parts.
    Only,
    /// All run stores that held the shard were parked, and this one was rated best.
    BestParked,
}

impl Choice {
    /// Returns a description for operators.
    pub fn description(self) -> &'static str {
        match self {
            Choice::Unknown => "reason for the choice not recorded",
            Choice::Least => "earliest predicted finish",
            Choice::Only => "no other accepts parts of this shard",
            Choice::BestParked => "all of this shard are parked, this one is rated best",
        }
    }
}

/// The outcome of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// The part was served.
    Completed,
    /// The run store returned an error.
    Errored,
    /// The run store rejected the part without running it.
    Rejected,
    /// No answer arrived within the timeout.
    TimedOut,
    /// No connection could be established.
    ConnectFailed,
    /// The connection broke.
    Reset,
    /// The attempt was cancelled.
    Cancelled,
    /// The attempt was never sent.
    NotSent,
}

impl Outcome {
    /// Returns its code, as used in logs.
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

/// A load report of a run store.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// The number of queued parts.
    pub queue: Option<Num>,
    /// The number of parts being processed.
    pub in_flight: Option<Num>,
    /// The fraction of its cores that is busy.
    pub utilization: Option<Num>,
    /// The number of parts served per second.
    pub throughput: Option<Num>,
}

/// An input event of the decision module.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// An update of the list of run stores.
    List(ListKind, Vec<Line>),
    /// A new query.
    Query {
        /// Its number.
        query: u64,
        /// The index of its class.
        class: u32,
        /// The index of its group.
        group: Option<u32>,
        /// Its key.
        key: Option<Name>,
        /// Its arrival time, relative to the step's time.
        arrived: Num,
        /// Its deadline, relative to the step's time.
        deadline: Num,
        /// Its number of parts.
        parts: u32,
        /// Whether its client marked it as a retry.
        retry: bool,
    },
    /// A part of a query.
    Part {
        /// The query.
        query: u64,
        /// The shard.
        shard: u32,
        /// Its share of the answer.
        weight: Num,
        /// Its estimated work, if there is an estimate.
        hint: Option<Num>,
        /// Its key.
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
        /// The run store that it was sent to.
        run_store: Name,
        /// Its outcome.
        outcome: Outcome,
        /// The time that the attempt took.
        latency: Num,
        /// The load report that came with the answer.
        load: Option<Load>,
    },
    /// The end of a probe.
    Probe {
        /// The run store that was probed.
        run_store: Name,
        /// Whether it answered.
        ok: bool,
        /// The load report that came with the answer.
        load: Option<Load>,
    },
    /// The client of a query left, or the query's deadline passed.
    Gone(u64),
    /// The timer that the module requested expired.
    Wake,
}

/// An action of the decision module.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Action {
    /// Send a part.
    Send {
        /// The query.
        query: u64,
        /// The shard.
        shard: u32,
        /// The run store to send it to.
        run_store: Name,
        /// The timeout of the attempt.
        timeout: Num,
        /// The reason for the attempt.
        why: Why,
        /// The reason for the choice of run store.
        choice: Choice,
    },
    /// Cancel an attempt.
    Cancel {
        /// The query.
        query: u64,
        /// The shard.
        shard: u32,
        /// The attempt's number, from 0.
        attempt: u32,
        /// The reason for the cancellation.
        why: Why,
    },
    /// Answer a query.
    Answer {
        /// The query.
        query: u64,
        /// Whether the answer is whole.
        whole: bool,
    },
    /// Refuse a query.
    Refuse {
        /// The query.
        query: u64,
        /// How long the client should wait before it tries again.
        retry_after: Num,
        /// The reason.
        cause: Cause,
    },
    /// Fail a query.
    Fail {
        /// The query.
        query: u64,
        /// How long the client should wait before it tries again.
        retry_after: Num,
        /// The reason.
        cause: Cause,
    },
    /// Probe a run store.
    Probe(Name),
    /// Close a run store's idle connections.
    CloseIdle(Name),
    /// Subscribe to the directory.
    Subscribe,
    /// Run the next step at this time, relative to the step's time.
    WakeAt(Num),
    /// Write a line to the log.
    Log(String),
}

/// A query that was accepted.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Taken {
    /// Its number.
    pub query: u64,
    /// The id that its client gave it.
    pub name: Name,
    /// Its class.
    pub class: Name,
    /// Its group.
    pub group: Option<Name>,
    /// Its number of parts.
    pub parts: u32,
    /// How long its client waits for the answer.
    pub timeout: Num,
    /// Whether its client marked it as a retry.
    pub retry: bool,
}

/// The way in which a query ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum How {
    /// The client got a whole answer.
    Whole,
    /// The client got a partial answer.
    Partial,
    /// The query was refused; a retry is safe.
    Refused,
    /// The query failed.
    Failed,
    /// The client disconnected before there was an answer.
    Left,
}

/// The end of a query. Each query has exactly one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Verdict {
    /// Its number.
    pub query: u64,
    /// Its class.
    pub class: Name,
    /// Its group.
    pub group: Option<Name>,
    /// The time since it was accepted.
    pub took: Num,
    /// The way in which it ended.
    pub how: How,
    /// The reason, if it was refused or failed.
    pub cause: Option<Cause>,
    /// The number of completed parts.
    pub parts_in: u32,
    /// The number of requested parts.
    pub parts: u32,
}

/// How much of an attempt was written to its connection.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub enum Progress {
    /// Its first byte was written, or may have been, but the connection ended before its last byte was written.
    Begun,
    /// Its last byte was written, so it may run from now on. Holds the time between the first and the last byte, in
    /// milliseconds, if known.
    Written(Option<Num>),
}

/// The progress of an attempt on its connection. There is one such record per attempt.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Wire {
    /// The query.
    pub query: u64,
    /// The shard.
    pub shard: u32,
    /// The attempt's number.
    pub attempt: u32,
    /// How much of it was written.
    pub progress: Progress,
}

/// The end of a connection.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Closed {
    /// The kind of the peer.
    pub kind: String,
    /// The address of the peer.
    pub peer: String,
    /// The code of the reason.
    pub code: String,
    /// Further detail from the log.
    pub note: String,
}

/// The counters of a class.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClassCounts {
    /// The class.
    pub class: Name,
    /// The number of queries answered.
    pub ok: u64,
    /// The number of queries refused.
    pub shed: u64,
    /// The number of queries that failed or were not accepted.
    pub errors: u64,
}

/// The counters since the start of the process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// The number of queries accepted.
    pub taken: u64,
    /// The number of queries whose client disconnected before there was an answer.
    pub left: u64,
    /// The number of attempts that were written completely.
    pub tries: u64,
    /// The number of queries that are currently held.
    pub active: u64,
    /// The ends of queries by class.
    pub classes: Vec<ClassCounts>,
}

/// Records that could not be stored.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Loss {
    /// The number of lost records.
    pub records: u64,
    /// The time of the first lost record.
    pub from: Num,
}

type Visit<'a> = &'a mut dyn FnMut(Kind, &mut Name);

impl AppliedSettings {
    fn visit_names(&mut self, visit: Visit) {
        self.classes.iter_mut().for_each(|name| visit(Kind::Class, name));
        self.groups.iter_mut().for_each(|name| visit(Kind::Group, name));
    }
}

impl Record {
    /// Calls `visit` with each name in the record.
    pub fn visit_names(&mut self, visit: Visit) {
        match self {
            Record::Checkpoint(checkpoint) => checkpoint.settings.visit_names(visit),
            Record::Settings(settings) => settings.visit_names(visit),
            Record::Step(step) => {
                step.events.iter_mut().for_each(|event| event.visit_names(visit));
                step.actions.iter_mut().for_each(|action| action.visit_names(visit));
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

    /// Calls `visit` with the number of each query that the record refers to.
    pub fn visit_queries(&self, visit: &mut dyn FnMut(u64)) {
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

    /// Calls `visit` with each free-form text in the record. Such texts may contain names.
    pub fn visit_texts(&mut self, visit: &mut dyn FnMut(&mut String)) {
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
    /// Returns the number of the query that it refers to.
    pub fn query(&self) -> Option<u64> {
        match self {
            Event::Query { query, .. } | Event::Part { query, .. } | Event::Ended { query, .. } => {
                Some(*query)
            }
            Event::Gone(query) => Some(*query),
            Event::List(..) | Event::Probe { .. } | Event::Wake => None,
        }
    }

    fn visit_names(&mut self, visit: Visit) {
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
    /// Returns the number of the query that it refers to.
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

    fn visit_names(&mut self, visit: Visit) {
        match self {
            Action::Send { run_store, .. } | Action::Probe(run_store) | Action::CloseIdle(run_store) => {
                visit(Kind::RunStore, run_store);
            }
            _ => {}
        }
    }
}
