//! The interface of the router: settings at start-up, events in, actions out.
//!
//! Plain data. All times are milliseconds of the caller's clock, which only
//! has to run forward.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Milliseconds, as a point on the caller's clock or a span of it.
pub type Millis = f64;

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        pub struct $name(pub Arc<str>);

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                $name(text.into())
            }
        }
    };
}

text_id!(
    /// A query, unique over the life of a router.
    QueryId
);
text_id!(
    /// A part of a query, unique over the life of a router.
    PartId
);
text_id!(
    /// A replica; the same text names the same process place at all times.
    ReplicaId
);

/// A shard of the store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Shard(pub u32);

/// A query class, by its place in [`Settings::classes`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClassIndex(pub usize);

/// A tenant, by its place in [`Settings::tenants`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TenantIndex(pub usize);

/// The number of an attempt of one part: 0, 1, 2 in the order of the sends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Attempt(pub u32);

/// May a part be sent again?
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub enum RepeatPolicy {
    /// Running it twice does no harm.
    Safe,
    /// Replicas drop repeats for this long after the first send that may have run.
    Keyed {
        /// The time in which repeats are dropped.
        window: Millis,
    },
    /// It must not run twice.
    Unsafe,
}

impl RepeatPolicy {
    /// Whether a part may be sent now, the first send of which that may have run was at some time, if there was one.
    pub fn allows(self, may_have_run: Option<Millis>, now: Millis) -> bool {
        now <= self.allowed_until(may_have_run)
    }

    /// Until when such a part may be sent.
    pub fn allowed_until(self, may_have_run: Option<Millis>) -> Millis {
        match (self, may_have_run) {
            (RepeatPolicy::Safe, _) | (_, None) => Millis::INFINITY,
            (RepeatPolicy::Keyed { window }, Some(first)) => first + window,
            (RepeatPolicy::Unsafe, Some(_)) => Millis::NEG_INFINITY,
        }
    }
}

/// What is known of a query class.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Class {
    /// An answer within this time earns its full worth.
    pub aim: Millis,
    /// Whether its parts may be repeated.
    pub repeat: RepeatPolicy,
    /// The worth of a whole answer in time.
    pub worth: f64,
    /// The share of the worth that an answer after the aim still earns.
    pub late_worth: f64,
    /// The least share of the parts' weight that an answer may rest on.
    pub least_share: f64,
    /// The share of the first step's weight that makes an answer whole.
    pub whole_from: f64,
    /// What an answer that is not whole earns, times its share.
    #[serde(rename = "partial_earns")]
    pub partial_worth: f64,
    /// The number of parts of a second step; 0 if the class has one step.
    #[serde(rename = "second_step")]
    pub second_step_parts: u32,
}

/// A tenant and what it may ask for.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Tenant {
    /// Queries a second inside its share, over all routers together.
    pub quota_per_s: f64,
}

/// How changes to the list of replicas reach the router.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Discovery {
    /// They come unasked.
    #[default]
    Pushed,
    /// They come after a subscription or a request for the list.
    Asked,
}

/// What a cold replica can bear.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ColdStartRule {
    /// It starts at this share of its capacity or more.
    #[serde(rename = "from")]
    pub initial_share: f64,
    /// It has all of its capacity after this time at the latest.
    pub warm_within: Millis,
    /// Sent more than this many times its present capacity ...
    #[serde(rename = "multiple")]
    pub overload_multiple: f64,
    /// ... for this long, it fails.
    #[serde(rename = "window")]
    pub overload_window: Millis,
}

/// A stated limit on attempts past the first of each part.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct AttemptBudget {
    /// Attempts that are always allowed in a window.
    #[serde(rename = "free")]
    pub base_attempts: f64,
    /// Attempts allowed per query or part accepted in the window.
    pub ratio: f64,
    /// The length of the window.
    pub window: Millis,
}

/// What a router is told at its start. The default is a start for filling in and does not pass [`Settings::check`].
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Settings {
    /// The classes of query; at least one.
    pub classes: Vec<Class>,
    /// The tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Worth of a query beyond its tenant's share, as a part of its worth.
    pub over_share_worth: f64,
    /// The number of routers in front of the same replicas, this one included.
    pub routers: u32,
    /// The number of cells that the shards are laid out over; at least one.
    pub cells: u32,
    /// How many cells in a row hold a shard; at least one.
    #[serde(rename = "width")]
    pub cells_per_shard: u32,
    /// The most parts that share one call.
    #[serde(rename = "call_parts")]
    pub max_parts_per_call: u32,
    /// The work of a call beside that of its parts, as time on a replica.
    pub call_overhead: Millis,
    /// Whether replicas serve keys that they met lately with less work.
    pub warm_keys: bool,
    /// Whether worth counts by work instead of by query.
    pub worth_by_work: bool,
    /// The most attempts for one part; at least one.
    pub max_attempts: u32,
    /// Whether attempts may be cancelled.
    pub may_cancel: bool,
    /// Whether a part may have two attempts out at once.
    #[serde(rename = "parallel_tries")]
    pub parallel_attempts: bool,
    /// How long an idle connection is kept open by itself; `None` if the router is not to close any earlier.
    pub keep_alive: Option<Millis>,
    /// Whether replicas may be probed.
    pub probes: bool,
    /// The longest advice to stay away that clients heed; 0 for none.
    pub max_retry_after: Millis,
    /// How the list of replicas is learned.
    pub discovery: Discovery,
    /// Where it must be asked for: it is asked for, or watched, at least once in so long.
    #[serde(rename = "ask_within")]
    pub list_refresh_within: Millis,
    /// What cold replicas can bear, if a rule protects them.
    pub cold: Option<ColdStartRule>,
    /// The attempt budget, if one is stated.
    pub budget: Option<AttemptBudget>,
    /// Steps come at most this often.
    pub tick: Millis,
    /// The zone of this router.
    pub zone: Arc<str>,
}

impl Settings {
    /// Whether the settings make sense together.
    ///
    /// # Errors
    /// Says which setting contradicts itself.
    pub fn check(&self) -> Result<(), String> {
        let positive = |x: Millis| x.is_finite() && x > 0.0;
        let problem = if self.classes.is_empty() {
            "there are no classes"
        } else if self.cells == 0 || self.cells_per_shard == 0 || self.cells_per_shard > self.cells {
            "cells and width must be at least 1, and width at most cells"
        } else if self.routers == 0 || self.max_attempts == 0 || self.max_parts_per_call == 0 {
            "routers, attempts and parts of a call must be at least 1"
        } else if !positive(self.tick) || self.classes.iter().any(|c| !positive(c.aim)) {
            "tick and every aim must be above 0"
        } else {
            return Ok(());
        };
        Err(problem.into())
    }
}

/// The standing of a replica in the list.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReplicaState {
    /// It takes new parts.
    #[default]
    Active,
    /// It completes its work; nothing new may be sent.
    Draining,
    /// It is no longer there.
    Gone,
}

/// A line of the list of replicas.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Replica {
    /// Its name.
    pub id: ReplicaId,
    /// Where it stands.
    pub zone: Arc<str>,
    /// The cell that tells which shards it holds.
    pub cell: u32,
    /// Its state.
    pub state: ReplicaState,
    /// Its size against that of other replicas.
    pub weight: f64,
    /// When it last started; `None` if long ago.
    pub started: Option<Millis>,
}

/// News of the list of replicas.
#[derive(Debug, Clone, PartialEq)]
pub enum ListUpdate {
    /// The list as the router last had it, maybe old; comes at the start.
    Cached(Vec<Replica>),
    /// The whole list: who is not in it is gone.
    Full(Vec<Replica>),
    /// The lines that changed.
    Changes(Vec<Replica>),
    /// A request or the subscription failed; the old list stands.
    Failed,
}

/// How busy a replica said it is; each value only where the site reports it.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct LoadReport {
    /// Parts waiting.
    pub queue: Option<f64>,
    /// Parts in hand, waiting or in work.
    pub in_flight: Option<f64>,
    /// The busy share of its cores.
    pub utilization: Option<f64>,
    /// Parts served a second.
    pub throughput: Option<f64>,
}

/// How an attempt or a probe ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// Served.
    Completed,
    /// The replica returned an error; the part may have run.
    Errored,
    /// Turned away unseen.
    Rejected,
    /// No answer in time; it may have run or may still run.
    TimedOut,
    /// No connection; it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Cancelled; it may have run.
    Cancelled,
    /// Never sent.
    NotSent,
}

impl Outcome {
    /// Whether this outcome proves that the part never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent)
    }
}

/// A query that the router has taken.
#[derive(Debug, Clone, PartialEq)]
pub struct NewQuery {
    /// Its id.
    pub id: QueryId,
    /// The number that its parts carry too.
    pub number: u64,
    /// Its class.
    pub class: ClassIndex,
    /// Its tenant, if it has one.
    pub tenant: Option<TenantIndex>,
    /// What it is about, where queries carry keys.
    pub key: Option<Arc<str>>,
    /// When it came in; a step may follow some time later.
    pub arrived: Millis,
    /// When its client gives up.
    pub deadline: Millis,
    /// The number of parts of its first step.
    pub parts: u32,
    /// Whether the client marked it as a repeat.
    pub client_retry: bool,
}

/// A part of a query.
#[derive(Debug, Clone, PartialEq)]
pub struct NewPart {
    /// Its id.
    pub id: PartId,
    /// The number of its query.
    pub query: u64,
    /// The shard that it reads or writes.
    pub shard: Shard,
    /// Its share of the answer; those of a step add up to 1.
    pub weight: f64,
    /// Its expected work, where known.
    pub cost_hint: Option<Millis>,
    /// What it is about, where parts carry keys.
    pub key: Option<Arc<str>>,
}

/// The end of an attempt.
#[derive(Debug, Clone, PartialEq)]
pub struct AttemptEnded {
    /// The part.
    pub part: PartId,
    /// The attempt.
    pub attempt: Attempt,
    /// The replica that it went to.
    pub replica: ReplicaId,
    /// How it ended.
    pub outcome: Outcome,
    /// The time since it was sent.
    pub latency: Millis,
    /// The replica's load report, if one came along.
    pub load: Option<LoadReport>,
}

/// Something that happened.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// The list of replicas, or that it could not be had.
    List(ListUpdate),
    /// A query; its parts follow in the same step.
    Query(NewQuery),
    /// A part of a query held.
    Part(NewPart),
    /// An attempt ended. Every [`Action::Send`] gets exactly one.
    AttemptEnded(AttemptEnded),
    /// A probe ended.
    ProbeEnded {
        /// The replica.
        replica: ReplicaId,
        /// Whether it answered.
        ok: bool,
        /// The replica's load report, if one came along.
        load: Option<LoadReport>,
    },
    /// The client has left; nothing is owed to it.
    ClientGone(QueryId),
    /// A time asked for by [`Action::WakeAt`] has come.
    Wake,
}

/// Why a query was refused or failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Cause {
    /// No run store is listed, as none was told of yet or all are gone.
    NoList,
    /// No listed run store holds this shard.
    NoHolder(Shard),
    /// All that hold this shard drain, as told or by hand.
    Drained(Shard),
    /// All that hold this shard are parked: they fell silent.
    AllParked(Shard),
    /// The fleet is pressed and the query is beyond its tenant's share.
    BeyondShare,
    /// The fleet is pressed and the answer would come too late.
    PredictedLate,
    /// Too little had come in when its time was up.
    TimeUp,
    /// A part of this shard failed, may have run, and must not run twice.
    MayHaveRun(Shard),
    /// A part of this shard failed in as many attempts as there may be.
    AttemptsSpent(Shard),
    /// The replicas that took it died of it.
    Poison,
    /// As much is held as may be.
    MaxOpen,
    /// The client's time was up while it was still held.
    Overdue,
    /// An answer was meant that the class's least share, or the client, does not allow.
    TooLittle,
}

impl Cause {
    /// Its code, in logs, figures and traces.
    pub fn code(self) -> &'static str {
        match self {
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
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Cause::NoList => write!(f, "no run store is listed yet"),
            Cause::NoHolder(Shard(no)) => write!(f, "no listed run store holds shard {no}"),
            Cause::Drained(Shard(no)) => write!(f, "all run stores that hold shard {no} are being drained"),
            Cause::AllParked(Shard(no)) => {
                write!(f, "all run stores that hold shard {no} have fallen silent")
            }
            Cause::BeyondShare => write!(f, "the run stores are busy and the group is beyond its share"),
            Cause::PredictedLate => write!(f, "the run stores are busy and the answer would come too late"),
            Cause::TimeUp => write!(f, "too few parts had come in when its time was up"),
            Cause::MayHaveRun(Shard(no)) => {
                write!(f, "the part of shard {no} failed, may have run, and must not run twice")
            }
            Cause::AttemptsSpent(Shard(no)) => write!(f, "the part of shard {no} failed in all its attempts"),
            Cause::Poison => write!(f, "the run stores that took it broke off"),
            Cause::MaxOpen => write!(f, "the aggregator holds as many queries as it may"),
            Cause::Overdue => write!(f, "its time was up"),
            Cause::TooLittle => write!(f, "what had come in is too little for an answer"),
        }
    }
}

/// Why an attempt is made, or was called back.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum AttemptReason {
    /// It is the first of its part.
    #[default]
    First,
    /// The last one ended so.
    After(Outcome),
    /// The replica of the last one was silent for too long.
    Silent,
    /// The replica of the last one answered several later parts first, so that this one is lost.
    Overtaken,
    /// The last one went on an idle connection of those that are dropped unseen.
    Dropped,
    /// Its query is over.
    Over,
}

/// Why a part goes to a replica.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ReplicaChoice {
    /// It would finish first there.
    #[default]
    #[serde(rename = "Least")]
    LeastFinish,
    /// No other that holds its shard takes parts now.
    #[serde(rename = "Only")]
    OnlyCandidate,
    /// All that hold its shard are parked, and this one is rated best.
    BestParked,
}

/// Something to do, in the order given.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Start an attempt of a part.
    Send {
        /// The part.
        part: PartId,
        /// The replica, which holds the part's shard.
        replica: ReplicaId,
        /// How long to wait for it.
        timeout: Millis,
        /// Why it is made.
        reason: AttemptReason,
        /// Why there.
        choice: ReplicaChoice,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The part.
        part: PartId,
        /// The attempt.
        attempt: Attempt,
        /// Why.
        reason: AttemptReason,
    },
    /// Answer a query from the parts that are in.
    Answer {
        /// The query.
        query: QueryId,
        /// Whether the answer is whole.
        whole: bool,
    },
    /// Refuse a query: its client may safely try again.
    Refuse {
        /// The query.
        query: QueryId,
        /// How long the client should stay away; 0 for no advice.
        retry_after: Millis,
        /// Why.
        cause: Cause,
    },
    /// Fail a query, with no word on its effects.
    Fail {
        /// The query.
        query: QueryId,
        /// How long the client should stay away; 0 for no advice.
        retry_after: Millis,
        /// Why.
        cause: Cause,
    },
    /// Probe a replica.
    Probe {
        /// The replica.
        replica: ReplicaId,
    },
    /// Close the connections to a replica that carry nothing now.
    CloseIdle {
        /// The replica.
        replica: ReplicaId,
    },
    /// Ask for the changes to the list from now on.
    Subscribe,
    /// Step again, with [`Event::Wake`], at this time or soon after.
    WakeAt(Millis),
    /// A line for the people on call.
    Log(String),
}
