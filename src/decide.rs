//! The decisions of the router. Its interface (settings, events, actions) is in `src/api.rs`.
//!
//! Parts are placed by C2LD, client-centered load distribution (docs/DESIGN.md): the rate of a replica is the
//! cost of the last completed part divided by its latency, and a part goes to the replica with the least
//! predicted finish time. A replica that times out is parked, and probed until it answers. Each rule beyond
//! that names the failure that it guards against.
//!
//! Cost units measure work: a part without a cost hint costs 1, and others cost their hint divided by the
//! mean hint. Constants whose names end in `_AIMS` are multiples of an aim, the latency target of a query
//! class, and those that end in `_LATENCIES` are multiples of the typical latency of a part.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use serde::{Deserialize, Serialize};

use crate::api::*;
use crate::hash::{draw, hash, mix};
use crate::{asking::ListRequests, cold, decaying_mean::DecayingMean, lag::StepLag, query_index::QueryIndex};
use crate::{quota::Quotas, replica_index::ReplicaIndex, trim::lightest};

mod indexes;
mod state;

use state::{FleetMeasures, InFlight, Part, Query, ReplicaNo, ReplicaStats};

/// Length of C2LD's monitoring interval S, in shortest aims: long enough to span the latencies of several
/// parts.
const INTERVAL_OF_AIM: f64 = 0.25;
/// Monitoring intervals without a sample after which a learned value starts to decay by half per interval:
/// the rate of a replica towards the mean rate, and the query time of a class towards zero.
const DRIFT_AFTER: f64 = 6.0;
/// Share of a healthy replica's capacity that all routers together may use to test whether a replica that was
/// slow or failing has recovered.
const GUESS_SHARE: f64 = 0.1;
/// Assumed time that a replica takes for one cost unit, in aims, while no replica has been measured.
const FIRST_RATE_OF_AIM: f64 = 0.1;
/// Time between two probes of a parked replica, in shortest aims: a recovered replica is back before its
/// absence costs much.
const PROBE_OF_AIM: f64 = 2.0 / 3.0;
/// Silence after which a replica is suspected to hang: the longer of this many aims and this many typical
/// latencies. The second bound keeps a fleet that is slow as a whole from being suspected.
const SUSPECT_OF_AIM: f64 = 0.4;
const SUSPECT_OF_USUAL: f64 = 3.0;
/// Number of later parts that a replica completes first from which a part counts as lost rather than slow:
/// replicas work through their queues roughly in order.
const OVERTAKEN: u32 = 4;
/// Share of the replicas that fail at the same time above which a shared cause is assumed. Replicas that are
/// only suspected are then not parked, as that would pile up load on the rest. If so many look dead, a query
/// may have crashed them.
const SHARED_CAUSE: f64 = 0.25;
/// Weight of a new sample in exponential moving averages over parts: about the last 15 parts count.
const SMOOTH: f64 = 0.06;
/// Weight of a new sample in exponential moving averages over queries: a router completes only a few in ten
/// seconds.
const SMOOTH_QUERIES: f64 = 0.2;
/// Weight of an outcome in the failure rate of a replica: a few failures must show at once.
const TRUST_STEP: f64 = 0.4;
/// Half-life of the failure records of replicas, in shortest aims: a replica that has recovered is tried
/// again.
const FORGIVE_AIMS: f64 = 4.0;
/// Exponents of a replica's success rate in its effective rate, for parts that may be sent again and for
/// unsafe parts. Unsafe parts weigh failures more because they cannot be retried.
const TRUST_POWERS: (i32, i32) = (3, 8);
/// Longest predicted time, in aims, at which a query of average worth per work is admitted, and the bounds of
/// the factor by which a higher or lower worth raises or lowers it.
const ADMIT_AT: f64 = 0.85;
const ADMIT_RANGE: (f64, f64) = (0.7, 1.2);
/// Query time, in aims, above which the fleet counts as overloaded.
const PRESSED_AT: f64 = 0.6;
/// Mean reported utilization from which the fleet counts as busy. Below it, slow queries have other causes
/// than load.
const BUSY_AT: f64 = 0.8;
/// Weights of a sample in the fleet's best rate, for samples above it and for samples below it: the best rate
/// settles near the 97th percentile of the samples.
const BEST_STEPS: (f64, f64) = (0.2, 0.005);
/// Predicted finish times count as tied within this factor of the least one. On a replica that is already
/// sent a call with room in this step, so do those within this many aims, as no client notices the
/// difference. Ties go to such a call first, since its overhead is already paid, then to the router's own
/// zone, then to a hash order.
const TIE: f64 = 1.15;
const TIE_OF_AIM: f64 = 0.3;
/// Bounds of the factor that corrects a predicted query time for the cost in flight now, relative to the cost
/// that was in flight when the typical latency was measured.
const GROWTH: (f64, f64) = (0.5, 2.0);
/// Late worth, as a share of the worth in time, below which a query ends at its aim while the fleet is
/// overloaded.
const LATE_WORTH: f64 = 0.5;
/// Time between steps while no query is open, as a share of the time between probes.
const STEP_OF_PROBE: f64 = 0.25;
/// Time, in typical latencies, within which a send on an idle connection that was dropped on the path is
/// reset.
const DROP_OF_USUAL: f64 = 0.25;
/// Number of replicas that reset parts of a query, with no part completed, from which the query itself is the
/// likely cause.
const POISON: usize = 3;
/// Time after the failure of many replicas at once, in shortest aims, during which each query is tried on one
/// replica first. It is long because the next query that crashes replicas may come late.
const WARY_AIMS: f64 = 20.0;
/// Time without a completed part, in typical latencies, after which a replica that reset a connection counts
/// as dead rather than briefly disconnected.
const DEAD_AFTER_USUAL: f64 = 1.5;
/// Share of recent parts of all classes that a replica lost from which unsafe parts avoid it if they can.
const LOSSY: f64 = 0.05;
/// Share of recent parts of a class that a replica failed from which all parts of the class avoid it
/// if they can: a replica that fails at once looks fast and idle, above all to retries.
const FAILING: f64 = 0.5;
/// Time between steps while queries are open, in ticks. Each step sweeps over the queries that are due.
const SWEEP_TICKS: f64 = 2.0;

/// The decision state machine of one router. See [`Router::step`].
///
/// A router that is serialized and deserialized again continues exactly where it was.
#[derive(Default, Serialize, Deserialize)]
pub struct Router {
    #[serde(rename = "s")]
    settings: Settings,
    /// The shortest aim of all classes.
    min_aim: Millis,
    /// The half-life of failure records.
    forgive: Millis,
    /// The state of the random number generator.
    rng: u64,
    /// The seed of the order in which queries without a shared key try tied replicas. It differs between
    /// routers.
    own: u64,
    /// The time of the current step, or of the last one between steps.
    now: Millis,
    /// How late the steps of this router run.
    lag: StepLag,
    #[serde(rename = "servers")]
    replicas: BTreeMap<ReplicaNo, Box<ReplicaStats>>,
    /// The open queries by number.
    queries: BTreeMap<u64, Query>,
    /// The numbers of the open queries.
    numbers: HashMap<QueryId, u64>,
    /// The query number and the index of each part of an open query.
    parts: HashMap<PartId, (u64, usize)>,
    /// The attempts that were sent and have not ended, including those whose query is over.
    #[serde(rename = "flights")]
    in_flight: HashMap<(PartId, Attempt), InFlight>,
    /// The cost of all attempts in flight that are not cancelled.
    load_out: f64,
    /// The queries that arrived in this step and are not yet admitted or refused.
    fresh: Vec<u64>,
    /// The time until which each query is tried on one replica first, because many replicas died at once.
    wary: Millis,
    /// The parts to send, as query number, shard and index. The oldest query comes first, and adjacent shards
    /// of a query follow each other so that they can share calls.
    waiting: BTreeSet<(u64, Shard, usize)>,
    #[serde(rename = "m")]
    measures: FleetMeasures,
    /// When to request the list of replicas.
    asking: ListRequests,
    /// The time of the next wake that was requested.
    wake: Option<Millis>,
    /// The actions of the current step.
    #[serde(skip)]
    actions: Vec<Action>,
    /// Aggregates over all replicas. Both indexes are derived from the other fields and updated
    /// incrementally, so that a step need not visit all replicas and queries.
    #[serde(skip)]
    replica_index: ReplicaIndex,
    /// The queries by the time at which they must be checked.
    #[serde(skip)]
    query_index: QueryIndex,
    /// Whether both indexes have been built.
    #[serde(skip)]
    indexed: bool,
}

/// Returns the exponential moving average over parts after a new sample.
fn blend(old: Option<f64>, new: f64) -> f64 {
    old.map_or(new, |old| old + SMOOTH * (new - old))
}

/// Keeps only the candidates that satisfy a condition, if any of them does.
fn prefer(pool: &mut Vec<&ReplicaStats>, wish: impl Fn(&ReplicaStats) -> bool) {
    if pool.iter().any(|s| wish(s)) {
        pool.retain(|s| wish(s));
    }
}

impl Router {
    /// Creates a router that knows only its settings. `seed` is its only source of randomness.
    ///
    /// # Errors
    /// Returns a text that names the invalid settings.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, String> {
        let rng = mix(seed ^ 0x9e37_79b9_7f4a_7c15);
        let mut router = Router { rng, own: rng, ..Router::default() };
        router.apply_settings(settings)?;
        Ok(router)
    }

    /// Applies new settings, in which the classes of open queries must keep their indexes. Learned state is
    /// kept.
    ///
    /// # Errors
    /// Returns a text that names the invalid settings.
    pub fn apply_settings(&mut self, settings: Settings) -> Result<(), String> {
        settings.check()?;
        let (classes, now) = (settings.classes.len(), self.now);
        self.min_aim = settings.classes.iter().map(|c| c.aim).fold(f64::INFINITY, f64::min);
        self.forgive = self.min_aim * FORGIVE_AIMS;
        self.measures.spread.resize(classes, DecayingMean::default());
        self.measures.quota = Quotas::new(&settings.tenants, now);
        self.replicas.values_mut().for_each(|replica| replica.failed.resize(classes, DecayingMean(0.0, now)));
        self.settings = settings;
        self.index();
        Ok(())
    }

    /// Processes the events up to `now` and returns the actions to carry out.
    pub fn step(&mut self, now: Millis, events: Vec<Event>) -> Vec<Action> {
        self.lag.note(self.wake, now, self.min_aim, self.forgive);
        self.now = now;
        if !self.indexed {
            self.index();
        }
        self.replica_index.forget(now - self.forgive);
        for event in events {
            self.take(event);
        }
        self.admit();
        self.sweep();
        self.place();
        self.look_after_replicas();
        self.set_wake();
        std::mem::take(&mut self.actions)
    }

    /// Returns the parked replicas, which new parts avoid.
    pub fn parked(&self) -> impl Iterator<Item = &ReplicaId> {
        self.replicas.values().filter(|s| s.parked.is_some()).map(|s| &s.line.id)
    }

    /// Serializes the learned state as JSON, for the router of the process that takes over.
    pub fn export_learned(&self) -> String {
        serde_json::to_string(&(&self.measures, self.replicas.values().collect::<Vec<_>>()))
            .unwrap_or_default()
    }

    /// Replaces the learned state by that of another router. Must be called before the first list arrives.
    /// Returns `false`, and changes nothing, if the text can't be parsed.
    pub fn import_learned(&mut self, learned: &str) -> bool {
        let read = serde_json::from_str::<(FleetMeasures, Vec<ReplicaStats>)>(learned);
        let Ok((measures, replicas)) = read else { return false };
        let idle = |s| ReplicaStats { in_flight: 0, out: 0.0, sent: (0, 0.0), used: None, idle: None, ..s };
        (self.measures, self.replicas) =
            (measures, replicas.into_iter().map(|s| (s.number, Box::new(idle(s)))).collect());
        self.apply_settings(self.settings.clone()).is_ok()
    }

    /// Processes one event.
    fn take(&mut self, event: Event) {
        match event {
            Event::List(news) => self.take_list(news),
            Event::Query(query) => self.take_query(query),
            Event::Part(part) => self.take_part(part),
            Event::AttemptEnded(end) => self.take_outcome(end),
            Event::ProbeEnded { replica: id, ok, load } => self.take_probe(&id, ok, load),
            Event::ClientGone(id) => {
                self.numbers.get(&id).copied().into_iter().for_each(|n| self.drop_query(n))
            }
            Event::Wake => self.wake = None,
        }
    }

    /// Updates the replicas from the list, and removes those that are gone and have no parts in flight.
    fn take_list(&mut self, news: ListUpdate) {
        let (by_service, whole) =
            (!matches!(news, ListUpdate::Cached(_)), !matches!(news, ListUpdate::Changes(_)));
        let (ListUpdate::Full(lines) | ListUpdate::Cached(lines) | ListUpdate::Changes(lines)) = news else {
            let chance = draw(&mut self.rng);
            let limits = (self.settings.list_refresh_within, self.settings.routers);
            return self.asking.failed(self.now, self.min_aim, limits, chance);
        };
        self.asking.told(by_service);
        if whole {
            self.replicas.values_mut().for_each(|replica| replica.line.state = ReplicaState::Gone);
        }
        for line in lines {
            let number = hash(&line.id.0);
            let before = self.replicas.get(&number).map(|replica| replica.facts()).filter(|_| !whole);
            match self.replicas.get_mut(&number) {
                // A changed start time means a new process, to which the learned state doesn't apply.
                Some(replica) if replica.line.started == line.started => replica.line = line,
                _ => {
                    let failed = vec![DecayingMean(0.0, self.now); self.settings.classes.len()];
                    let (heard, answered) = (self.now, self.now);
                    let cold = (draw(&mut self.rng), self.now);
                    let unknown = ReplicaStats::default();
                    let replica = ReplicaStats { number, cold, line, heard, answered, failed, ..unknown };
                    self.replicas.insert(number, Box::new(replica));
                }
            }
            if !whole {
                self.replica_index
                    .change(before.as_ref(), self.replicas.get(&number).map(|s| s.facts()).as_ref());
            }
        }
        if whole {
            self.replica_index = self.counted();
        }
        for number in self.replica_index.gone() {
            if let Some(replica) = self.replicas.get(&number).filter(|s| s.in_flight == 0) {
                self.replica_index.change(Some(&replica.facts()), None);
                self.replicas.remove(&number);
            }
        }
    }

    /// Opens a query. It is admitted or refused after all events of the step.
    fn take_query(&mut self, new: NewQuery) {
        let class = new.class.0.min(self.settings.classes.len() - 1);
        self.measures.budget.note(self.settings.budget, self.now, false);
        let mut worth = self.settings.classes[class].worth;
        let tenant = new.tenant.map_or(usize::MAX, |TenantIndex(tenant)| tenant);
        if !self.measures.quota.take(tenant, &self.settings.tenants, self.settings.routers, self.now) {
            worth *= self.settings.over_share_worth;
        }
        let NewQuery { id, number, deadline, arrived, .. } = new;
        self.numbers.insert(id.clone(), number);
        let accepted = arrived.min(self.now);
        let query = Query { id, class, accepted, deadline, worth, ..Query::default() };
        self.query_index.comes(class, self.ends(number, &query));
        self.queries.insert(number, query);
        self.fresh.push(number);
    }

    /// Adds a part to its query and queues it to be sent.
    fn take_part(&mut self, new: NewPart) {
        self.measures.budget.note(self.settings.budget, self.now, false);
        let Some(query) = self.queries.get_mut(&new.query) else { return };
        let hint = new.cost_hint.filter(|hint| *hint > 0.0);
        self.measures.hint = hint.map(|hint| blend(self.measures.hint, hint)).or(self.measures.hint);
        let cost = hint.zip(self.measures.hint).map_or(1.0, |(hint, mean)| hint / mean);
        self.measures.further.earn(self.settings.routers, query.parts.len() + 1);
        // If replicas cache by key, all routers prefer replicas for a key in the same order, which keeps
        // caches warm. Otherwise each query has its own order.
        let key =
            new.key.as_deref().filter(|_| self.settings.warm_keys).map_or(mix(self.own ^ new.query), hash);
        let NewPart { id, shard, weight, .. } = new;
        self.parts.insert(id.clone(), (new.query, query.parts.len()));
        self.waiting.insert((new.query, shard, query.parts.len()));
        self.query_index.touch(new.query);
        query.parts.push(Part { id, shard, weight, cost, key, ..Part::default() });
    }

    /// Records the end of an attempt, and queues its part again if the part did not complete.
    fn take_outcome(&mut self, end: AttemptEnded) {
        let AttemptEnded { part: id, attempt, outcome, latency, load, .. } = end;
        let Some(((id, _), flight)) = self.in_flight.remove_entry(&(id, attempt)) else { return };
        if flight.cancelled.is_none() {
            self.load_out = (self.load_out - flight.cost).max(0.0);
        }
        self.record_end(&flight, outcome, latency, load);
        let Some(&(number, index)) = self.parts.get(&id) else { return };
        self.query_index.answered(flight.class, flight.sent, (number, index));
        self.query_index.unfollow(flight.replica, flight.sent, (id, attempt), (number, index));
        self.query_index.touch(number);
        let Some(query) = self.queries.get_mut(&number) else { return };
        if outcome == Outcome::Reset && query.resets.iter().all(|(replica, _)| *replica != flight.replica) {
            query.resets.push((flight.replica, flight.idle.is_none()));
            if flight.idle.is_none() {
                self.query_index.reset(number);
            }
        }
        let part = &mut query.parts[index];
        (part.out, part.reason) = (None, flight.cancelled.unwrap_or(AttemptReason::After(outcome)));
        if outcome == Outcome::Completed {
            part.done = true;
            query.share += part.weight;
            if query.share >= self.settings.classes[query.class].least_share {
                query.enough_at.get_or_insert(self.now);
            }
            self.note_enough(number);
            return;
        }
        if !outcome.never_ran() {
            part.may_have_run = Some(part.may_have_run.map_or(flight.sent, |at| at.min(flight.sent)));
        }
        self.waiting.insert((number, part.shard, index));
    }

    /// Updates the typical latency and the best rate of the fleet from a completed part.
    fn measure(&mut self, flight: &InFlight, latency: Millis) {
        let most = self.measures.usual.unwrap_or(latency) * SUSPECT_OF_USUAL;
        self.measures.usual = Some(blend(self.measures.usual, latency.min(most)));
        self.measures.load_then = Some(blend(self.measures.load_then, flight.load_then));
        let dr = flight.cost / latency.max(self.settings.tick);
        let best = self.measures.best.unwrap_or(dr);
        self.measures.best = Some(best + (dr - best) * if dr > best { BEST_STEPS.0 } else { BEST_STEPS.1 });
    }

    /// Updates the statistics of the replica and of the fleet from the end of an attempt.
    fn record_end(&mut self, flight: &InFlight, outcome: Outcome, latency: Millis, load: Option<LoadReport>) {
        let (now, forgive, forget) = (self.now, self.forgive, self.in_turn(self.forgive));
        // A connection that was dropped on the path while idle is reset at once on the next send.
        let quick = latency <= self.measures.usual.unwrap_or(latency) * DROP_OF_USUAL;
        let dropped = outcome == Outcome::Reset && flight.idle.is_some() && quick;
        let died = !dropped && matches!(outcome, Outcome::Reset | Outcome::ConnectFailed);
        if outcome == Outcome::Completed {
            self.overtake(flight);
        }
        if let (true, Some(idle)) = (dropped || outcome == Outcome::Completed, flight.idle) {
            if dropped {
                self.measures.further.free();
            }
            self.measures.idle.note(idle, dropped, now, forgive);
        }
        self.measures.traffic.worked(!outcome.never_ran());
        let known =
            self.replicas.get(&flight.replica).map_or(0.0, |replica| self.rate(replica, flight.class));
        let Some(replica) = self.replicas.get_mut(&flight.replica) else { return };
        let (before, mut measures, mut hung) = (replica.facts(), false, false);
        replica.used = replica.used.map(|_| now);
        replica.died = if died { Some(now) } else { replica.died };
        let dr = flight.cost / latency.max(self.settings.tick);
        replica.out = (replica.out - flight.cost).max(0.0);
        replica.in_flight = replica.in_flight.saturating_sub(1);
        (replica.load, replica.loaded) = load.map_or((replica.load, replica.loaded), |load| (load, now));
        let lost = !dropped && matches!(outcome, Outcome::Errored | Outcome::Reset | Outcome::TimedOut);
        if lost || outcome == Outcome::Completed {
            replica.lost.note(f64::from(u8::from(lost)), SMOOTH, now, forgive);
        }
        if matches!(outcome, Outcome::Completed | Outcome::Cancelled) {
            replica.pace.note(flight.ahead, latency.max(self.settings.tick), outcome == Outcome::Completed);
        }
        match outcome {
            Outcome::Completed => {
                // A latency that includes a stall of this router is too long. It counts only as the first
                // sample.
                replica.dr = replica.dr.filter(|_| self.lag.back == now).or(Some(dr));
                (replica.heard, replica.answered, replica.parked, replica.idle) = (now, now, None, None);
                replica.failed[flight.class].note(0.0, TRUST_STEP, now, forget);
                measures = self.lag.back < now;
            }
            // A connection that was dropped while idle says nothing about the replica.
            Outcome::Reset if dropped => replica.used = None,
            // A fast failure is no evidence of speed: it leaves the rate unchanged and counts as a failure of
            // the class.
            Outcome::Errored | Outcome::Reset | Outcome::Rejected => {
                replica.answered = now;
                // A broken connection ends many parts in one step. They have one cause and count once.
                if replica.failed[flight.class].1 < now {
                    replica.failed[flight.class].note(1.0, TRUST_STEP, now, forget);
                }
            }
            // A replica that answered other parts meanwhile is slow, not hung: this lowers its rate.
            Outcome::TimedOut if replica.answered > flight.sent => {
                replica.dr = Some(replica.dr.map_or(dr, |old| old.min(dr)));
                replica.heard = now;
            }
            Outcome::TimedOut if self.lag.back == now => {}
            Outcome::TimedOut | Outcome::ConnectFailed => hung = true,
            // A cancelled attempt took at least this long. For a slow replica that is often the only sample.
            Outcome::Cancelled if self.lag.back < now && dr < known => {
                (replica.dr, replica.heard) = (Some(dr), now);
            }
            Outcome::Cancelled | Outcome::NotSent => {}
        }
        self.replica_index.change(Some(&before), Some(&replica.facts()));
        if measures {
            self.measure(flight, latency);
        }
        if hung {
            self.park(flight.replica, outcome == Outcome::ConnectFailed);
        }
    }

    /// Restores a parked replica if its probe succeeded.
    fn take_probe(&mut self, id: &ReplicaId, ok: bool, load: Option<LoadReport>) {
        let now = self.now;
        let restored = self.change(hash(&id.0), |replica| {
            (replica.load, replica.loaded) = load.map_or((replica.load, replica.loaded), |load| (load, now));
            let restored = ok && replica.parked.take().is_some();
            replica.answered = if restored { now } else { replica.answered };
            restored
        });
        if restored == Some(true) {
            self.actions.push(Action::Log(format!("{} restored by probe", id.0)));
        }
    }

    /// Parks a replica and returns whether it is parked. A replica whose failure is not certain is not parked
    /// if too many others are, as that suggests a shared cause.
    fn park(&mut self, number: ReplicaNo, sure: bool) -> bool {
        let (fleet, parked) = self.replica_index.active_and_parked();
        let shared = !sure && (parked + 1) as f64 > (SHARED_CAUSE * fleet as f64).max(1.0);
        let Some(replica) = self.replicas.get(&number) else { return false };
        let parks = replica.parked.is_none() && replica.line.state == ReplicaState::Active && !shared;
        if parks {
            self.actions.push(Action::Log(format!("{} parked", replica.line.id.0)));
            let (now, probe_at) = (self.now, self.now + self.min_aim * PROBE_OF_AIM);
            self.change(number, |replica| (replica.parked, replica.probe_at) = (Some(now), probe_at));
        }
        parks || self.replicas.get(&number).is_some_and(|replica| replica.parked.is_some())
    }

    /// Returns the number of the current monitoring interval.
    fn interval(&self) -> i64 {
        (self.now / (self.min_aim * INTERVAL_OF_AIM)).floor() as i64
    }

    /// Returns the mean rate of the fleet, or the assumed one while no replica has been measured.
    fn mean_rate(&self, class: usize) -> f64 {
        self.measures.mean.unwrap_or(1.0 / (self.settings.classes[class].aim * FIRST_RATE_OF_AIM))
    }

    /// Returns the current rate of a replica (DR in C2LD) in cost units per millisecond. It drifts to the
    /// mean rate while there are no new samples.
    fn rate(&self, replica: &ReplicaStats, class: usize) -> f64 {
        let mean = self.mean_rate(class);
        let Some(dr) = replica.dr else { return mean };
        let after = self.in_turn(self.min_aim * INTERVAL_OF_AIM * DRIFT_AFTER);
        let stale = ((self.now - replica.heard) / after - 1.0) * DRIFT_AFTER;
        mean + (dr - mean) * 0.5f64.powf(stale.max(0.0))
    }

    /// Returns after how long a router tests a suspect replica again, given that a single router would do so
    /// after `lone`. Routers share no state: if each of many tested as often as a single one, they would
    /// together overload a slow replica with tests.
    fn in_turn(&self, lone: Millis) -> Millis {
        let rate = self.measures.best.unwrap_or(1.0 / (self.min_aim * FIRST_RATE_OF_AIM));
        lone.max(f64::from(self.settings.routers) / (rate * GUESS_SHARE))
    }

    /// Returns the cost that this router may send to a cold replica now, and the most that it can ever
    /// accumulate; `None` if the replica is warm.
    fn cold_room(&self, replica: &ReplicaStats, class: usize) -> Option<(f64, f64)> {
        let (cold, started) = (self.settings.cold?, replica.line.started?);
        let best = self.measures.best.unwrap_or(self.mean_rate(class));
        let traffic = (&self.measures.traffic, self.settings.routers);
        cold::room(&cold, (started, self.now), replica.cold, best, traffic)
    }

    /// Returns how long a replica may be silent before it is suspected to hang.
    fn patience(&self, class: usize) -> Millis {
        (self.settings.classes[class].aim * SUSPECT_OF_AIM)
            .max(self.measures.usual.unwrap_or(0.0) * SUSPECT_OF_USUAL)
    }

    /// Refuses new queries that are predicted to finish too late. The limit rises with the worth per work of
    /// a query, so that the most valuable ones are served during overload.
    fn admit(&mut self) {
        for number in std::mem::take(&mut self.fresh) {
            let Some(query) = self.queries.get(&number) else { continue };
            let per = if self.settings.worth_by_work { 1.0 } else { query.parts.len().max(1) as f64 };
            let (density, parts) = (query.worth / per, query.parts.len());
            let usual = blend(self.measures.density, density);
            self.measures.density = Some(usual);
            self.measures.traffic.asked(parts, SMOOTH_QUERIES);
            let factor = (density / usual.max(f64::MIN_POSITIVE)).sqrt().clamp(ADMIT_RANGE.0, ADMIT_RANGE.1);
            if let Some(why) = self.spare_laden(number, ADMIT_AT * factor.min(1.0)) {
                self.end_query(number, false, why);
            }
            let Some(query) = self.queries.get(&number) else { continue };
            let class = query.class;
            let cost: f64 = query.parts.iter().map(|p| p.cost).sum();
            // On average, half of a query's other parts are already in flight when one of its parts is sent.
            let load = self.load_out + cost * 0.5;
            let growth =
                (load / self.measures.load_then.unwrap_or(load).max(cost * 0.5)).clamp(GROWTH.0, GROWTH.1);
            let predicted = self.pace(class) * growth;
            // A query that is not expected to finish before its client gives up is refused even if the fleet
            // is idle.
            let spread = self.measures.spread[class].at(self.now, self.in_turn(self.forgive));
            // A router in a large fleet gets few load reports, and often has no recent one. For it, having
            // none does not rule out that the fleet is busy.
            let many = self.in_turn(self.forgive) > self.forgive;
            let vain = spread * self.measures.usual.unwrap_or(0.0) > query.deadline - self.now;
            if !vain && self.busy() == Some(false) {
                continue;
            }
            if vain || predicted > ADMIT_AT * factor {
                let within = query.worth >= self.settings.classes[class].worth;
                self.end_query(number, false, if within { Cause::PredictedLate } else { Cause::BeyondShare });
            } else if predicted > PRESSED_AT || many || self.busy().is_some() {
                let weights: Vec<_> = query.parts.iter().map(|p| p.weight).collect();
                let class = &self.settings.classes[class];
                self.leave_out(number, lightest(&weights, class, predicted > PRESSED_AT));
            }
        }
    }

    /// Excludes parts from a query's answer: they are not sent.
    fn leave_out(&mut self, number: u64, parts: Vec<usize>) {
        let Some(query) = self.queries.get_mut(&number) else { return };
        for index in parts {
            query.parts[index].left_out = true;
            self.query_index.touch(number);
            self.waiting.remove(&(number, query.parts[index].shard, index));
        }
    }

    /// Returns whether the replica is expected to need at least `share` of the aim for what this router has
    /// in flight there.
    fn laden(&self, replica: &ReplicaStats, class: usize, share: f64) -> bool {
        replica.pace.is_laden(replica.out, self.settings.classes[class].aim * share)
    }

    /// Leaves out the parts of a query that have no holder, or only backlogged ones, and returns a cause if
    /// the remaining parts are too few for an answer. `share` is lower for queries of low worth, so that the
    /// remaining capacity of such replicas goes to queries of high worth.
    fn spare_laden(&mut self, number: u64, share: f64) -> Option<Cause> {
        let query = self.queries.get(&number)?;
        // Before the first list, no part is known to lack holders.
        self.replica_index.is_listed().then_some(())?;
        let (mut why, mut lost, mut out) = (Cause::PredictedLate, 0.0, Vec::new());
        for (at, part) in query.parts.iter().enumerate() {
            let mut pool = self.holders(part.shard);
            pool.retain(|s| s.line.state == ReplicaState::Active);
            prefer(&mut pool, |s| s.parked.is_none());
            if pool.is_empty() {
                why = self.why_missing(part);
            }
            if pool.iter().all(|s| self.laden(s, query.class, share)) {
                lost += part.weight;
                out.push(at);
            }
        }
        let few = 1.0 - lost < self.settings.classes[query.class].least_share;
        self.leave_out(number, out);
        few.then_some(why)
    }

    /// Updates the query time of the class from a query that was answered (`served`) or ended too late.
    fn note_pace(&mut self, number: u64, served: bool) {
        // A query that was ended early would have taken longer, so it counts with at least its aim. It is
        // ignored if its client set a deadline before the aim.
        let meant = |q: &&Query| served || q.deadline - q.accepted >= self.settings.classes[q.class].aim;
        let Some(query) = self.queries.get(&number).filter(meant) else { return };
        let until = if served { query.enough_at.unwrap_or(self.now) } else { self.now };
        let took =
            (until - query.accepted).max(if served { 0.0 } else { self.settings.classes[query.class].aim });
        let spread = took / self.measures.usual.unwrap_or(took).max(self.settings.tick);
        let (class, known) = (query.class, self.spread(query.class));
        self.measures.spread[class] = DecayingMean(known + SMOOTH_QUERIES * (spread - known), self.now);
    }

    /// Returns the query time of a class in typical part latencies. It decays while no query ends: a class
    /// whose queries are all refused yields no samples, and would otherwise be refused forever after one
    /// overload.
    fn spread(&self, class: usize) -> f64 {
        let DecayingMean(spread, at) = self.measures.spread[class];
        let stale = (self.now - at) / (self.min_aim * INTERVAL_OF_AIM) - DRIFT_AFTER;
        spread * 0.5f64.powf(stale.max(0.0))
    }

    /// Returns how long queries of a class take at present, in aims. It is based on the latency of parts,
    /// which reflects a change sooner than that of queries.
    fn pace(&self, class: usize) -> f64 {
        self.spread(class) * self.measures.usual.unwrap_or(0.0) / self.settings.classes[class].aim
    }

    /// Returns whether the fleet is busy, by the utilization that replicas reported recently; `None` if none
    /// did.
    fn busy(&self) -> Option<bool> {
        let (busy, told) = self.replica_index.busy();
        (told > 0).then_some(busy >= BUSY_AT * told as f64)
    }

    /// Returns until when work for a query is worth doing. During overload, late work only delays other work,
    /// so a query that earns little after its aim ends there. Queries with unsafe parts run on, since these
    /// can't be retried.
    fn useful_until(&self, query: &Query) -> Millis {
        if self.ends_at_aim(query.class) {
            query.deadline.min(query.accepted + self.settings.classes[query.class].aim)
        } else {
            query.deadline
        }
    }

    /// Returns whether queries of a class end at their aim instead of their deadline.
    fn ends_at_aim(&self, class: usize) -> bool {
        let pressed = self.busy() != Some(false) && self.pace(class) > PRESSED_AT;
        let class = &self.settings.classes[class];
        pressed && class.repeat != RepeatPolicy::Unsafe && class.late_worth < LATE_WORTH
    }

    /// Returns whether the repeat policy of the class and the maximum number of attempts allow another
    /// attempt.
    fn may_send(&self, part: &Part, class: usize) -> bool {
        let spent = part.done || part.out.is_some() || part.attempts >= self.settings.max_attempts;
        !spent && self.settings.classes[class].repeat.allows(part.may_have_run, self.now)
    }

    /// Sends the waiting parts for which a replica is available.
    fn place(&mut self) {
        self.measures.mean = self.replica_index.mean_rate();
        self.measures.traffic.told(self.now, self.settings.cold, self.replica_index.reports());
        let since = self.now - self.forgive;
        let before = self.now - self.measures.usual.unwrap_or(0.0) * DEAD_AFTER_USUAL;
        let dead =
            |(number, at): &(ReplicaNo, Millis)| self.replicas.get(number).is_some_and(|s| s.heard < *at);
        let died = self.replica_index.died(since, before).filter(dead).count();
        if died as f64 > SHARED_CAUSE * self.replicas.len() as f64 {
            self.wary = self.now + self.min_aim * WARY_AIMS;
        }
        for entry @ (number, _, index) in self.waiting.clone() {
            let Some(query) = self.queries.get(&number) else { continue };
            let part = &query.parts[index];
            // A query that may crash replicas has only one part in flight at a time until one of its parts
            // completes.
            let risky = query.share == 0.0 && (self.now < self.wary || query.resets.len() >= POISON);
            let held = (risky && query.parts.iter().any(|p| p.out.is_some()))
                || (part.attempts > 0 && !self.measures.budget.allows(self.settings.budget, self.now));
            if held || !self.may_send(part, query.class) {
                continue;
            }
            if let Some((replica, choice)) = self.choose(part, query.class) {
                self.waiting.remove(&entry);
                self.send(number, index, replica, choice);
            }
        }
    }

    /// Returns the listed replicas that hold a shard.
    fn holders(&self, shard: Shard) -> Vec<&ReplicaStats> {
        let holders = self.replica_index.holders(shard);
        holders.iter().filter_map(|number| self.replicas.get(number).map(|s| &**s)).collect()
    }

    /// Returns the holder of the part's shard with the least predicted finish time; `None` if no replica may
    /// take the part now.
    fn choose(&self, part: &Part, class: usize) -> Option<(ReplicaNo, ReplicaChoice)> {
        let left = (self.interval() + 1) as f64 * self.min_aim * INTERVAL_OF_AIM - self.now;
        let forget = self.in_turn(self.forgive);
        let failed = |s: &ReplicaStats, class: usize| s.failed[class].at(self.now, forget);
        let bears = |s: &ReplicaStats| {
            self.cold_room(s, class).is_none_or(|(room, most)| room >= part.cost.min(most))
        };
        let mut pool = self.holders(part.shard);
        pool.retain(|s| s.line.state == ReplicaState::Active && bears(s));
        let choice = if pool.len() == 1 { ReplicaChoice::OnlyCandidate } else { ReplicaChoice::LeastFinish };
        let parked = pool.iter().all(|s| s.parked.is_some());
        // A retry is held back, until the time for suspecting a hang has passed since the last send, if all
        // candidates are parked. So is a retry of a rejected part if it is the last one allowed or if all
        // candidates are parked or were tried before. Otherwise retries would be used up at once on replicas
        // that are hung or full.
        let full = |s: &&ReplicaStats| s.parked.is_some() || part.tried.contains(&s.number);
        let spent = part.attempts + 1 >= self.settings.max_attempts || pool.iter().all(full);
        let wait = parked || (part.reason == AttemptReason::After(Outcome::Rejected) && spent);
        if part.attempts > 0 && wait && self.now - part.last_sent < self.patience(class) {
            return None;
        }
        if parked {
            let rated = |s: &&&ReplicaStats| self.rate(s, class) * (1.0 - failed(s, class));
            let best = pool.iter().max_by(|a, b| rated(a).total_cmp(&rated(b)));
            return best.map(|s| (s.number, ReplicaChoice::BestParked));
        }
        prefer(&mut pool, |s| s.parked.is_none());
        prefer(&mut pool, |s| failed(s, class) < FAILING);
        let owes =
            |s: &ReplicaStats| s.in_flight > 0 && self.now - s.owes.max(s.answered) > self.patience(class);
        prefer(&mut pool, |s| !self.laden(s, class, ADMIT_AT) && !owes(s));
        prefer(&mut pool, |s| !part.tried.contains(&s.number));
        // The failure rate recovers within a few parts. Unsafe parts, which can't be retried, also need the
        // loss rate, which has a longer memory.
        if self.settings.classes[class].repeat == RepeatPolicy::Unsafe {
            prefer(&mut pool, |s| s.lost.at(self.now, self.forgive) < LOSSY);
        }
        // The effective rate: the rate, weighted by the replica's success rate. For an unsafe part, which
        // can't be retried after an error, the lowest success rate of all classes counts, and more than the
        // rate does.
        let speed = |s: &ReplicaStats| {
            let trust = |class: usize| 1.0 - failed(s, class);
            let trust = match self.settings.classes[class].repeat {
                RepeatPolicy::Unsafe => {
                    (0..s.failed.len()).map(trust).fold(1.0, f64::min).powi(TRUST_POWERS.1)
                }
                RepeatPolicy::Safe | RepeatPolicy::Keyed { .. } => trust(class).powi(TRUST_POWERS.0),
            };
            self.rate(s, class) * trust.max(1e-9)
        };
        // A reported queue is assumed to shrink at the replica's rate: otherwise an old report would keep
        // parts away forever.
        let cost = |s: &ReplicaStats| {
            let told = s.load.queue.or(s.load.in_flight).unwrap_or(0.0);
            let load = (told - (self.now - s.loaded) * self.rate(s, class)).max(0.0);
            s.sent_in(self.interval()) + load + part.cost
        };
        prefer(&mut pool, |s| cost(s) <= speed(s) * left);
        let joins = |s: &ReplicaStats| {
            s.call.0 == self.now && !s.call.1.is_multiple_of(self.settings.max_parts_per_call)
        };
        let finish =
            |s: &ReplicaStats| cost(s) / speed(s) + if joins(s) { 0.0 } else { self.settings.call_overhead };
        let tied = pool.iter().map(|s| finish(s)).fold(f64::INFINITY, f64::min) * TIE;
        let soon = tied.max(self.settings.classes[class].aim * TIE_OF_AIM);
        prefer(&mut pool, |s| finish(s) <= if joins(s) { soon } else { tied });
        let order =
            |s: &&&ReplicaStats| (joins(s), s.line.zone == self.settings.zone, mix(s.number ^ part.key));
        pool.iter().max_by_key(order).map(|s| (s.number, choice))
    }

    /// Starts an attempt at a part and updates the statistics and indexes.
    fn send(&mut self, number: u64, index: usize, to: ReplicaNo, choice: ReplicaChoice) {
        let interval = self.interval();
        let Some(query) = self.queries.get(&number) else { return };
        let (until, again) = (self.useful_until(query), query.parts[index].attempts > 0);
        let room = self.replicas.get(&to).and_then(|s| self.cold_room(s, query.class));
        let Some(query) = self.queries.get_mut(&number) else { return };
        let Some(replica) = self.replicas.get_mut(&to) else { return };
        let before = replica.facts();
        let part = &mut query.parts[index];
        let attempt = Attempt(part.attempts);
        part.attempts += 1;
        part.last_sent = self.now;
        part.out = Some((attempt, to));
        part.tried.push(to);
        replica.sent = (interval, replica.sent_in(interval) + part.cost);
        replica.out += part.cost;
        if replica.in_flight == 0 {
            replica.owes = self.now;
            let most = self.settings.keep_alive.unwrap_or(0.0);
            // Connections that were idle for less than an aim are not dropped on the path: a failure there
            // has other causes.
            let fatal = |idle: &Millis| *idle > self.min_aim && *idle < most;
            replica.idle = replica.used.map(|used| self.now - used).filter(fatal);
        }
        replica.used = Some(self.now);
        replica.in_flight += 1;
        replica.call = (self.now, if replica.call.0 == self.now { replica.call.1 + 1 } else { 1 });
        replica.cold = (room.map_or(0.0, |(room, _)| room - part.cost), self.now);
        self.replica_index.change(Some(&before), Some(&replica.facts()));
        let (class, sent, cost, idle, ahead) = (query.class, self.now, part.cost, replica.idle, replica.out);
        let load_then = self.load_out;
        let flight =
            InFlight { replica: to, class, sent, cost, idle, load_then, ahead, ..InFlight::default() };
        self.load_out += cost;
        let timeout = (until - self.now).max(self.settings.tick);
        let (reason, part, replica_id) = (part.reason, part.id.clone(), replica.line.id.clone());
        self.query_index.sent(class, sent, (number, index));
        self.query_index.follow(to, sent, (part.clone(), attempt), None);
        self.in_flight.insert((part.clone(), attempt), flight);
        self.actions.push(Action::Send { part, replica: replica_id, timeout, reason, choice });
        if again {
            self.measures.further.spend(self.settings.routers);
            self.measures.budget.note(self.settings.budget, self.now, true);
        }
    }

    /// Cancels an attempt in flight, if the settings allow it.
    fn cancel(&mut self, id: &PartId, attempt: Attempt, reason: AttemptReason) {
        let out = self.in_flight.get_mut(&(id.clone(), attempt)).filter(|f| f.cancelled.is_none());
        if let (Some(flight), true) = (out, self.settings.may_cancel) {
            flight.cancelled = Some(reason);
            self.load_out = (self.load_out - flight.cost).max(0.0);
            if let Some(place) = self.parts.get(id) {
                self.query_index.unfollow(flight.replica, flight.sent, (id.clone(), attempt), *place);
            }
            self.actions.push(Action::Cancel { part: id.clone(), attempt, reason });
        }
    }

    // ---- Checks of open queries

    /// Checks the queries that are due, in order of their numbers.
    fn sweep(&mut self) {
        let step = self.settings.tick * SWEEP_TICKS;
        let mut due = self.due_now(step);
        let mut cut: Vec<bool> =
            (0..self.settings.classes.len()).map(|class| self.ends_at_aim(class)).collect();
        while let Some(number) = due.pop_first() {
            let Some(class) = self.queries.get(&number).map(|query| query.class) else { continue };
            self.look_after_query(number, step);
            // A slow query may raise the query time so much that queries of its class now end at their aims.
            if self.ends_at_aim(class) && !std::mem::replace(&mut cut[class], true) {
                due.extend(self.query_index.aims(class, self.now + step).filter(|next| *next > number));
            }
        }
    }

    /// Ends a query if it is time to do so; otherwise retries its parts that are lost or on silent replicas.
    fn look_after_query(&mut self, number: u64, step: Millis) {
        let Some(query) = self.queries.get(&number) else { return };
        let class = &self.settings.classes[query.class];
        let enough = query.share > 0.0 && query.share >= class.least_share;
        // An answer that is given exactly at the aim reaches its client late, and earns next to nothing.
        let lag = self.lag.of_an_answer(self.now, class.aim, self.forgive);
        let moment = (query.accepted + class.aim).min(query.deadline) - step * 2.0 - lag;
        let late = self.now + step >= self.useful_until(query);
        let all = query.share > 0.0 && query.parts.iter().all(|p| p.done);
        let whole =
            all || (query.second.is_none() && query.share >= class.whole_from && class.whole_from < 1.0);
        let dead = |p: &Part| !p.done && p.out.is_none() && !p.left_out && !self.may_send(p, query.class);
        let settled = query.parts.iter().all(|p| p.done || p.left_out || dead(p));
        // A poison query crashes each replica that starts a part of it, and none of its parts completes. It
        // is not sent again. After a mass failure, one reset is enough to suspect it.
        let open = query.resets.iter().filter(|(_, open)| *open).count();
        let poison = query.share == 0.0 && open >= if self.now < self.wary { 1 } else { POISON };
        let lost = query.parts.iter().find(|p| class.least_share >= class.whole_from && dead(p));
        let ran = |p: &Part| p.may_have_run.is_some() && class.repeat != RepeatPolicy::Safe;
        let spent = |p: &Part| if ran(p) { Cause::MayHaveRun } else { Cause::AttemptsSpent }(p.shard);
        let cause = if poison { Some(Cause::Poison) } else { lost.map(spent) };
        if whole || (enough && (self.now >= moment || settled)) {
            self.note_pace(number, true);
            self.answer(number, whole);
        } else if let Some(cause) = cause {
            self.end_query(number, true, cause);
        } else if late {
            let cause = self.why_late(query);
            self.note_pace(number, false);
            self.end_query(number, true, cause);
        } else {
            self.retry_silent(number);
            self.retry_lost(number);
        }
    }

    /// Returns the cause for which a late query fails: what prevents its first missing part from completing.
    fn why_late(&self, query: &Query) -> Cause {
        let missing = query.parts.iter().find(|p| !p.done && !p.left_out);
        missing.map_or(Cause::TimeUp, |part| self.why_missing(part))
    }

    /// Returns what prevents a part from completing.
    fn why_missing(&self, part: &Part) -> Cause {
        let holders = self.holders(part.shard);
        match self.replica_index.is_listed() {
            false => Cause::NoList,
            _ if holders.is_empty() => Cause::NoHolder(part.shard),
            _ if holders.iter().all(|s| s.line.state == ReplicaState::Draining) => Cause::Drained(part.shard),
            _ if holders.iter().all(|s| s.parked.is_some()) => Cause::AllParked(part.shard),
            _ => Cause::TimeUp,
        }
    }

    /// Retries the parts of a query that count as lost: a replica that goes on answering may still lose
    /// parts. Such a retry costs no retry budget. The loss counts in the replica's failure records, which
    /// keep unsafe parts away.
    fn retry_lost(&mut self, number: u64) {
        let Some(query) = self.queries.get(&number) else { return };
        let (class, now, forgive, forget) = (query.class, self.now, self.forgive, self.in_turn(self.forgive));
        let since = now - self.measures.usual.unwrap_or(0.0) * SUSPECT_OF_USUAL;
        for (index, id, (attempt, replica), sent, attempts) in query.out_since(since) {
            let lost = |f: &&mut InFlight| f.cancelled.is_none() && f.overtaken >= OVERTAKEN;
            let Some(flight) = self.in_flight.get_mut(&(id.clone(), attempt)).filter(lost) else { continue };
            // The loss counts once, even if the part stays in flight.
            flight.overtaken = 0;
            self.query_index.unfollow(replica, sent, (id.clone(), attempt), (number, index));
            self.query_index.follow(replica, sent, (id.clone(), attempt), None);
            if let Some(replica) = self.replicas.get_mut(&replica) {
                replica.failed[class].note(1.0, TRUST_STEP, now, forget);
                replica.lost.note(1.0, SMOOTH, now, forgive);
            }
            let safe = self.settings.classes[class].repeat != RepeatPolicy::Unsafe;
            if safe && attempts < self.settings.max_attempts {
                self.measures.further.free();
                self.cancel(&id, attempt, AttemptReason::Overtaken);
            }
        }
    }

    /// Handles the parts of a query whose replica has been silent since their send for so long that it is
    /// suspected to hang. The replica is parked, and the part is cancelled and retried elsewhere if there is
    /// time and retry budget.
    fn retry_silent(&mut self, number: u64) {
        let Some(query) = self.queries.get(&number) else { return };
        let class = query.class;
        let since = self.now - self.patience(class);
        // Retries add load, so there are none while the whole fleet is slow.
        let slow = self.busy() != Some(false) && self.pace(class) > PRESSED_AT;
        let none = slow || self.now + self.measures.usual.unwrap_or(0.0) > query.deadline;
        let safe = self.settings.classes[class].repeat != RepeatPolicy::Unsafe;
        for (index, id, (attempt, replica), sent, attempts) in query.out_since(since) {
            let Some(known) = self.replicas.get(&replica).filter(|s| s.answered < sent) else {
                self.query_index.answered(class, sent, (number, index));
                continue;
            };
            let Some(flight) = self.in_flight.get(&(id.clone(), attempt)) else { continue };
            // If no other replica can take the part, the silence is accepted for as long as the backlog at
            // this replica explains it.
            let other = |s: &ReplicaStats| {
                s.number != replica && s.parked.is_none() && s.line.state == ReplicaState::Active
            };
            let alone = !self.holders(self.queries[&number].parts[index].shard).into_iter().any(other);
            let usual = known.pace.takes(flight.ahead) * SUSPECT_OF_USUAL;
            if self.lag.back > since || (alone && self.now - sent < usual) {
                continue;
            }
            let again = safe && attempts < self.settings.max_attempts;
            // Silence on a connection that was idle is blamed on the path, not on the replica, only if resets
            // have shown that idle connections are dropped there.
            let idle = flight.cancelled.is_none() && flight.idle.is_some();
            let dropped = idle && self.measures.idle.drops(self.now, self.forgive);
            let parked = !dropped && self.park(replica, false);
            if again && (dropped || (parked && !none && self.measures.further.allows())) {
                let reason = if dropped { AttemptReason::Dropped } else { AttemptReason::Silent };
                self.cancel(&id, attempt, reason);
            }
            if dropped {
                self.let_go(replica);
            }
        }
    }

    /// Closes the idle connections to a replica.
    fn let_go(&mut self, number: ReplicaNo) {
        let closed = self.change(number, |replica| {
            replica.used = None;
            replica.line.id.clone()
        });
        self.actions.extend(closed.map(|id| Action::CloseIdle { replica: id }));
    }

    /// Answers the current step of a query, and closes the query unless a second step follows.
    fn answer(&mut self, number: u64, whole: bool) {
        let Some(query) = self.queries.get_mut(&number) else { return };
        self.measures.advice.note(false, self.now, self.forgive);
        let two_steps = self.settings.classes[query.class].second_step_parts > 0;
        let whole = whole && query.second.unwrap_or(true);
        self.actions.push(Action::Answer { query: query.id.clone(), whole });
        if two_steps && query.second.is_none() {
            (query.second, query.share) = (Some(whole), 0.0);
            let (class, parts) = (query.class, std::mem::take(&mut query.parts));
            self.drop_parts(number, class, parts);
            self.note_enough(number);
            self.query_index.touch(number);
        } else {
            self.drop_query(number);
        }
    }

    /// Refuses a query if no part of it can have had an effect; otherwise fails it. `late` is true if the
    /// query had been admitted.
    fn end_query(&mut self, number: u64, late: bool, cause: Cause) {
        let Some(query) = self.queries.get(&number) else { return };
        let class = &self.settings.classes[query.class];
        let ran = query.parts.iter().any(|p| p.may_have_run.is_some() || p.out.is_some() || p.done);
        let id = query.id.clone();
        self.measures.advice.note(true, self.now, self.forgive);
        let (faded, chance) = ((self.now, self.forgive), draw(&mut self.rng));
        let retry_after = self.measures.advice.wait(class.aim, self.settings.max_retry_after, faded, chance);
        let safe = class.repeat == RepeatPolicy::Safe;
        self.actions.push(if (ran && !safe) || query.second.is_some() || (late && ran) {
            // Clients are advised to retry a failed query only if that is safe.
            Action::Fail { query: id, retry_after: if safe { retry_after } else { 0.0 }, cause }
        } else {
            Action::Refuse { query: id, retry_after, cause }
        });
        self.drop_query(number);
    }

    /// Closes a query and cancels its parts in flight.
    fn drop_query(&mut self, number: u64) {
        if let Some(query) = self.queries.remove(&number) {
            self.numbers.remove(&query.id);
            self.query_index.goes(query.class, self.ends(number, &query));
            self.drop_parts(number, query.class, query.parts);
        }
    }

    /// Removes parts of a query and cancels their attempts in flight.
    fn drop_parts(&mut self, number: u64, class: usize, parts: Vec<Part>) {
        for (index, part) in parts.into_iter().enumerate() {
            self.waiting.remove(&(number, part.shard, index));
            self.parts.remove(&part.id);
            if let Some((attempt, replica)) = part.out {
                self.query_index.answered(class, part.last_sent, (number, index));
                let key = (part.id.clone(), attempt);
                self.query_index.unfollow(replica, part.last_sent, key, (number, index));
                self.cancel(&part.id, attempt, AttemptReason::Over);
            }
        }
    }

    /// Closes connections that have been idle for too long, probes parked replicas and requests the list.
    fn look_after_replicas(&mut self) {
        let now = self.now;
        if self.measures.idle.drops(self.now, self.forgive) {
            let idle = self.replica_index.idle(now, self.measures.idle.limit);
            idle.into_iter().for_each(|number| self.let_go(number));
        }
        let (next, probes) = (now + self.min_aim * PROBE_OF_AIM, self.settings.probes);
        for number in self.replica_index.to_probe(now) {
            let replica_id = self.change(number, |replica| {
                replica.probe_at = next;
                replica.parked = replica.parked.filter(|_| probes);
                replica.line.id.clone()
            });
            self.actions.extend(replica_id.filter(|_| probes).map(|id| Action::Probe { replica: id }));
        }
        if self.settings.discovery == Discovery::Asked && self.asking.is_due(now, self.min_aim) {
            self.actions.push(Action::Subscribe);
        }
    }

    /// Requests the next wake, unless an earlier one is pending.
    fn set_wake(&mut self) {
        let (idle, probe) = (self.queries.is_empty(), self.min_aim * PROBE_OF_AIM);
        let due = self.now + if idle { probe * STEP_OF_PROBE } else { self.settings.tick * SWEEP_TICKS };
        if self.wake.is_none_or(|at| at > due || at <= self.now) {
            self.wake = Some(due);
            self.actions.push(Action::WakeAt(due));
        }
    }
}
