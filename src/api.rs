//! The interface of the router: its settings, the events that it takes in and the actions that it returns.
//!
//! All types are plain data. All times are milliseconds on the caller's clock, which must be monotonic.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// A point in time on the caller's clock or a duration, in milliseconds.
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
    /// Identifies a query. It is unique over the lifetime of a router.
    QueryId
);
text_id!(
    /// Identifies a part of a query. It is unique over the lifetime of a router.
    PartId
);
text_id!(
    /// Identifies a replica. It stays the same when the replica restarts.
    ReplicaId
);

/// The number of a shard.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Shard(pub u32);

/// A query class, as an index into [`Settings::classes`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClassIndex(pub usize);

/// A tenant, as an index into [`Settings::tenants`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TenantIndex(pub usize);

/// The number of an attempt at a part, counted from 0 in the order of the sends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Attempt(pub u32);

/// Says whether a part may be sent again after an attempt that may have run.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub enum RepeatPolicy {
    /// The part is idempotent and may always be sent again.
    Safe,
    /// Replicas drop duplicates by an idempotency key, so the part may be sent again within a window that
    /// starts when the first attempt that may have run was sent.
    Keyed {
        /// The time for which replicas drop duplicates.
        window: Millis,
    },
    /// The part is not idempotent and must not run twice.
    Unsafe,
}

impl RepeatPolicy {
    /// Returns whether a part may be sent at `now`, given when its first attempt that may have run was sent.
    pub fn allows(self, may_have_run_since: Option<Millis>, now: Millis) -> bool {
        now <= self.allowed_until(may_have_run_since)
    }

    /// Returns the latest time at which a part may be sent, given when its first attempt that may have run
    /// was sent.
    pub fn allowed_until(self, may_have_run_since: Option<Millis>) -> Millis {
        match (self, may_have_run_since) {
            (RepeatPolicy::Safe, _) | (_, None) => Millis::INFINITY,
            (RepeatPolicy::Keyed { window }, Some(first)) => first + window,
            (RepeatPolicy::Unsafe, Some(_)) => Millis::NEG_INFINITY,
        }
    }
}

/// The properties of a query class.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Class {
    /// The latency target: an answer within this time earns the full worth.
    pub aim: Millis,
    /// Whether its parts may be sent again.
    pub repeat: RepeatPolicy,
    /// The worth of a whole answer within the aim.
    pub worth: f64,
    /// The share of the worth that an answer still earns after the aim.
    pub late_worth: f64,
    /// The minimum share of the parts' total weight that an answer may be built from.
    pub least_share: f64,
    /// The share of the first step's weight from which an answer counts as whole.
    pub whole_from: f64,
    /// The worth of a partial answer, to be multiplied by the share of the weight that it covers.
    #[serde(rename = "partial_earns")]
    pub partial_worth: f64,
    /// The number of parts in a query's second step; 0 if the class has only one step.
    #[serde(rename = "second_step")]
    pub second_step_parts: u32,
}

/// The limits of a tenant.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Tenant {
    /// The tenant's quota in queries per second, summed over all routers.
    pub quota_per_s: f64,
}

/// How the list of replicas reaches the router.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Discovery {
    /// Updates arrive without a request.
    #[default]
    Pushed,
    /// Updates arrive only after a request for the list or a subscription to it.
    Asked,
}

/// The capacity of a replica while it warms up after its start.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ColdStartRule {
    /// The minimum share of its full capacity that a replica has when it starts.
    #[serde(rename = "from")]
    pub initial_share: f64,
    /// The maximum time from its start until it has its full capacity.
    pub warm_within: Millis,
    /// The load, as a multiple of its current capacity, above which it fails if the load lasts.
    #[serde(rename = "multiple")]
    pub overload_multiple: f64,
    /// How long a load above `overload_multiple` must last for the replica to fail.
    #[serde(rename = "window")]
    pub overload_window: Millis,
}

/// A configured limit on retries, which are attempts after the first of a part.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct AttemptBudget {
    /// The number of retries allowed in every window.
    #[serde(rename = "free")]
    pub base_attempts: f64,
    /// The number of further retries allowed for each query or part accepted in the window.
    pub ratio: f64,
    /// The length of the sliding window.
    pub window: Millis,
}

/// The settings of a router.
///
/// The default value is only a base for struct update syntax: it does not pass [`Settings::check`].
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Settings {
    /// The query classes; at least one.
    pub classes: Vec<Class>,
    /// The tenants. May be empty.
    pub tenants: Vec<Tenant>,
    /// The factor applied to the worth of a query that exceeds its tenant's quota.
    pub over_share_worth: f64,
    /// The number of routers that share the same replicas, including this one.
    pub routers: u32,
    /// The number of cells that the shards are distributed over; at least one.
    pub cells: u32,
    /// The number of consecutive cells that hold each shard; at least one.
    #[serde(rename = "width")]
    pub cells_per_shard: u32,
    /// The maximum number of parts in one call.
    #[serde(rename = "call_parts")]
    pub max_parts_per_call: u32,
    /// The replica time that a call costs in addition to the work of its parts.
    pub call_overhead: Millis,
    /// Whether a replica serves recently used keys with less work, because it caches them.
    pub warm_keys: bool,
    /// Whether worth is given per unit of work instead of per query.
    pub worth_by_work: bool,
    /// The maximum number of attempts per part; at least one.
    pub max_attempts: u32,
    /// Whether attempts in flight may be cancelled.
    pub may_cancel: bool,
    /// Whether a part may be sent again before an earlier attempt of it has provably ended. The core and the
    /// transports enforce this.
    #[serde(rename = "parallel_tries")]
    pub parallel_attempts: bool,
    /// How long idle connections are kept open. With `None`, the router does not detect idle connections that
    /// are dropped on the path, and closes none early.
    pub keep_alive: Option<Millis>,
    /// Whether parked replicas are probed.
    pub probes: bool,
    /// The longest retry-after advice that clients respect; 0 if they respect none.
    pub max_retry_after: Millis,
    /// How the list of replicas reaches the router.
    pub discovery: Discovery,
    /// With [`Discovery::Asked`], an upper bound of the backoff after a failed request for the list.
    #[serde(rename = "ask_within")]
    pub list_refresh_within: Millis,
    /// The capacity of replicas that warm up, if their load is to be limited.
    pub cold: Option<ColdStartRule>,
    /// The limit on retries, if one is configured.
    pub budget: Option<AttemptBudget>,
    /// The minimum time between two steps.
    pub tick: Millis,
    /// The zone of this router, whose replicas it prefers.
    pub zone: Arc<str>,
}

impl Settings {
    /// Checks that the settings are consistent.
    ///
    /// # Errors
    /// Returns a text that names the invalid settings.
    pub fn check(&self) -> Result<(), String> {
        let positive = |x: Millis| x.is_finite() && x > 0.0;
        let problem = if self.classes.is_empty() {
            "no classes are defined"
        } else if self.cells == 0 || self.cells_per_shard == 0 || self.cells_per_shard > self.cells {
            "cells and width must be at least 1, and width at most cells"
        } else if self.routers == 0 || self.max_attempts == 0 || self.max_parts_per_call == 0 {
            "the numbers of routers, attempts and parts per call must be at least 1"
        } else if !positive(self.tick) || self.classes.iter().any(|c| !positive(c.aim)) {
            "tick and every aim must be greater than 0"
        } else {
            return Ok(());
        };
        Err(problem.into())
    }
}

/// The state of a replica in the list.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReplicaState {
    /// The replica accepts new parts.
    #[default]
    Active,
    /// The replica completes the parts that it has and must not be sent new ones.
    Draining,
    /// The replica has been removed from the list.
    Gone,
}

/// An entry of the list of replicas.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Replica {
    /// Its identifier.
    pub id: ReplicaId,
    /// Its zone.
    pub zone: Arc<str>,
    /// Its cell, which determines the shards that it holds.
    pub cell: u32,
    /// Its state.
    pub state: ReplicaState,
    /// Its size relative to the other replicas.
    pub weight: f64,
    /// When it last started; `None` if that is long ago.
    pub started: Option<Millis>,
}

/// An update to the list of replicas.
#[derive(Debug, Clone, PartialEq)]
pub enum ListUpdate {
    /// The last known list, possibly out of date. It is delivered when the router starts.
    Cached(Vec<Replica>),
    /// The complete list: replicas that are not in it are gone.
    Full(Vec<Replica>),
    /// The entries that changed.
    Changes(Vec<Replica>),
    /// A request for the list or the subscription failed; the previous list remains valid.
    Failed,
}

/// The load that a replica reported. A value is `None` if the replicas don't report it.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct LoadReport {
    /// The number of queued parts.
    pub queue: Option<f64>,
    /// The number of parts in flight, whether queued or running.
    pub in_flight: Option<f64>,
    /// The utilization of its cores, from 0 to 1.
    pub utilization: Option<f64>,
    /// The throughput in parts per second.
    pub throughput: Option<f64>,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// The replica answered.
    Completed,
    /// The replica returned an error; the part may have run.
    Errored,
    /// The replica rejected the part without running it.
    Rejected,
    /// No answer arrived within the timeout; the part may have run or may still run.
    TimedOut,
    /// No connection could be established, so the part did not run.
    ConnectFailed,
    /// The connection broke; the part may have run.
    Reset,
    /// The router cancelled the attempt; the part may have run.
    Cancelled,
    /// The attempt was never sent.
    NotSent,
}

impl Outcome {
    /// Returns whether this outcome proves that the part did not run.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent)
    }
}

/// A query that arrived.
#[derive(Debug, Clone, PartialEq)]
pub struct NewQuery {
    /// Its identifier.
    pub id: QueryId,
    /// Its number, which its parts carry in [`NewPart::query`].
    pub number: u64,
    /// Its class.
    pub class: ClassIndex,
    /// Its tenant, if it has one.
    pub tenant: Option<TenantIndex>,
    /// The key of the data that it concerns, if queries carry keys.
    pub key: Option<Arc<str>>,
    /// When it arrived, which may be earlier than the step that takes it in.
    pub arrived: Millis,
    /// When its client stops waiting.
    pub deadline: Millis,
    /// The number of parts in its first step.
    pub parts: u32,
    /// Whether the client marked it as a retry.
    pub client_retry: bool,
}

/// A part of a query.
#[derive(Debug, Clone, PartialEq)]
pub struct NewPart {
    /// Its identifier.
    pub id: PartId,
    /// The number of its query.
    pub query: u64,
    /// The shard that it reads or writes.
    pub shard: Shard,
    /// Its share of the answer; the weights of a step's parts add up to 1.
    pub weight: f64,
    /// Its expected work, if known.
    pub cost_hint: Option<Millis>,
    /// The key of the data that it concerns, if parts carry keys.
    pub key: Option<Arc<str>>,
}

/// Reports that an attempt ended.
#[derive(Debug, Clone, PartialEq)]
pub struct AttemptEnded {
    /// The part.
    pub part: PartId,
    /// The attempt.
    pub attempt: Attempt,
    /// The replica that it was sent to.
    pub replica: ReplicaId,
    /// How it ended.
    pub outcome: Outcome,
    /// The time from its send to its end.
    pub latency: Millis,
    /// The replica's load report, if the response carried one.
    pub load: Option<LoadReport>,
}

/// An event that the router takes in.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// The list of replicas changed, or could not be fetched.
    List(ListUpdate),
    /// A query arrived. The parts of its first step follow in the same call of the router's `step`.
    Query(NewQuery),
    /// A part of an open query arrived.
    Part(NewPart),
    /// An attempt ended. Every [`Action::Send`] is followed by exactly one such event.
    AttemptEnded(AttemptEnded),
    /// A probe ended.
    ProbeEnded {
        /// The replica.
        replica: ReplicaId,
        /// Whether the replica answered.
        ok: bool,
        /// The replica's load report, if the response carried one.
        load: Option<LoadReport>,
    },
    /// The client disconnected, or the time of the query ran out and the core ended it.
    ClientGone(QueryId),
    /// The time requested by [`Action::WakeAt`] has come.
    Wake,
}

/// Why a query was refused or failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Cause {
    /// No replica is listed, because no list has arrived yet or all replicas are gone.
    NoList,
    /// No listed replica holds this shard.
    NoHolder(Shard),
    /// All replicas that hold this shard are draining, by discovery or by an operator.
    Drained(Shard),
    /// All replicas that hold this shard are parked because they stopped answering.
    AllParked(Shard),
    /// The replicas are overloaded and the query exceeds its tenant's quota.
    BeyondShare,
    /// The replicas are overloaded and the answer is predicted to be too late.
    PredictedLate,
    /// Too few parts had completed when the query's time ran out.
    TimeUp,
    /// The part of this shard failed, may have run, and must not run twice.
    MayHaveRun(Shard),
    /// The part of this shard failed in all its attempts.
    AttemptsSpent(Shard),
    /// The replicas that received its parts reset their connections, so the query probably crashed them.
    Poison,
    /// The aggregator holds as many open queries and unanswered parts as it may.
    MaxOpen,
    /// The client's deadline passed while the query was still open.
    Overdue,
    /// The answer would cover less than the class's minimum share, or less than the client accepts.
    TooLittle,
}

impl Cause {
    /// Returns the code of the cause in logs, metrics and traces.
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
                write!(f, "all run stores that hold shard {no} have stopped answering")
            }
            Cause::BeyondShare => write!(f, "the run stores are busy and the group is beyond its share"),
            Cause::PredictedLate => write!(f, "the run stores are busy and the answer would come too late"),
            Cause::TimeUp => write!(f, "too few parts had completed when its time ran out"),
            Cause::MayHaveRun(Shard(no)) => {
                write!(f, "the part of shard {no} failed, may have run, and must not run twice")
            }
            Cause::AttemptsSpent(Shard(no)) => write!(f, "the part of shard {no} failed in all its attempts"),
            Cause::Poison => write!(f, "the run stores that it was sent to broke their connections"),
            Cause::MaxOpen => write!(f, "the aggregator holds the maximum number of open queries"),
            Cause::Overdue => write!(f, "its deadline passed"),
            Cause::TooLittle => write!(f, "the completed parts are too few for an answer"),
        }
    }
}

/// Why an attempt is made, or why one was cancelled. In the descriptions, the replaced attempt is the
/// previous one of the part or, for a cancellation, the cancelled one itself.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum AttemptReason {
    /// It is the first attempt of its part.
    #[default]
    First,
    /// The previous attempt ended with this outcome.
    After(Outcome),
    /// The replica of the replaced attempt answered nothing for too long.
    Silent,
    /// The replica of the replaced attempt answered several later parts first, so that attempt counts as
    /// lost.
    Overtaken,
    /// The replaced attempt used an idle connection that was probably dropped on the path without notice.
    Dropped,
    /// Its query has ended, or the step of the query that it belongs to was answered.
    Over,
}

/// Why a part goes to a replica.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ReplicaChoice {
    /// The part is predicted to finish there first.
    #[default]
    #[serde(rename = "Least")]
    LeastFinish,
    /// No other holder of its shard accepts parts now.
    #[serde(rename = "Only")]
    OnlyCandidate,
    /// All holders of its shard are parked, and this one has the best rating.
    BestParked,
}

/// Something that the caller must do. Actions are carried out in the order in which they are returned.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Start an attempt at a part.
    Send {
        /// The part.
        part: PartId,
        /// The replica, which holds the part's shard.
        replica: ReplicaId,
        /// How long to wait for the answer.
        timeout: Millis,
        /// Why the attempt is made.
        reason: AttemptReason,
        /// Why this replica was chosen.
        choice: ReplicaChoice,
    },
    /// Cancel an attempt.
    Cancel {
        /// The part.
        part: PartId,
        /// The attempt.
        attempt: Attempt,
        /// Why it is cancelled.
        reason: AttemptReason,
    },
    /// Answer a query from the parts that have completed.
    Answer {
        /// The query.
        query: QueryId,
        /// Whether the answer is whole.
        whole: bool,
    },
    /// Refuse a query. It had no effect, so its client may safely retry it.
    Refuse {
        /// The query.
        query: QueryId,
        /// How long the client should wait before it retries; 0 for no advice.
        retry_after: Millis,
        /// Why the query ends this way.
        cause: Cause,
    },
    /// Fail a query. It may have had effects.
    Fail {
        /// The query.
        query: QueryId,
        /// How long the client should wait before it retries; 0 for no advice.
        retry_after: Millis,
        /// Why the query ends this way.
        cause: Cause,
    },
    /// Probe a parked replica.
    Probe {
        /// The replica.
        replica: ReplicaId,
    },
    /// Close the connections to a replica that are idle.
    CloseIdle {
        /// The replica.
        replica: ReplicaId,
    },
    /// Request the list of replicas and subscribe to its changes.
    Subscribe,
    /// Step again with [`Event::Wake`] at this time or soon after.
    WakeAt(Millis),
    /// Log a line for the operators.
    Log(String),
}
