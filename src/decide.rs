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
use crate::{quota::Quotas, replica_index::ReplicaIndex, trim::parts_to_leave_out};

mod indexes;
mod state;

use state::{FleetMeasures, InFlight, Part, Query, ReplicaNo, ReplicaStats};

/// Length of C2LD's monitoring interval S, in shortest aims: long enough to span the latencies of several
/// parts.
const MONITORING_INTERVAL_AIMS: f64 = 0.25;
/// Monitoring intervals without a sample after which a learned value starts to decay by half per interval:
/// the rate of a replica towards the mean rate, and the query time of a class towards zero.
const DECAY_AFTER_INTERVALS: f64 = 6.0;
/// Share of a healthy replica's capacity that all routers together may use to test whether a replica that was
/// slow or failing has recovered.
const RETEST_CAPACITY_SHARE: f64 = 0.1;
/// Assumed time that a replica takes for one cost unit, in aims, while no replica has been measured.
const ASSUMED_COST_UNIT_AIMS: f64 = 0.1;
/// Time between two probes of a parked replica, in shortest aims: a recovered replica is back before its
/// absence costs much.
const PROBE_INTERVAL_AIMS: f64 = 2.0 / 3.0;
/// Silence, in aims, after which a replica is suspected to hang, unless [`SUSPECT_AFTER_LATENCIES`] is
/// longer.
const SUSPECT_AFTER_AIMS: f64 = 0.4;
/// Minimum silence, in typical latencies, after which a replica is suspected to hang. It keeps replicas from
/// being suspected while all of them are slow.
const SUSPECT_AFTER_LATENCIES: f64 = 3.0;
/// Number of later parts that a replica completes first from which a part counts as lost rather than slow:
/// replicas work through their queues roughly in order.
const LOST_WHEN_OVERTAKEN_BY: u32 = 4;
/// Share of the replicas that fail at the same time above which a shared cause is assumed. Replicas that are
/// only suspected are then not parked, as that would pile up load on the rest. If more than this share look
/// dead, a query may have crashed them.
const SHARED_CAUSE_SHARE: f64 = 0.25;
/// Weight of a new sample in exponential moving averages over parts: about the last 15 parts count.
const PART_SAMPLE_WEIGHT: f64 = 0.06;
/// Weight of a new sample in exponential moving averages over queries: a router completes only a few in ten
/// seconds.
const QUERY_SAMPLE_WEIGHT: f64 = 0.2;
/// Weight of an outcome in the failure rate of a replica: a few failures must show at once.
const FAILURE_SAMPLE_WEIGHT: f64 = 0.4;
/// Half-life of the failure records of replicas, in shortest aims: a replica that has recovered is tried
/// again.
const RECORD_HALF_LIFE_AIMS: f64 = 4.0;
/// Exponents of a replica's success rate in its effective rate, for parts that may be sent again and for
/// unsafe parts. Unsafe parts weigh failures more because they cannot be retried.
const SUCCESS_RATE_EXPONENTS: (i32, i32) = (3, 8);
/// Longest predicted time, in aims, at which a query of average worth per work is admitted.
const ADMISSION_LIMIT_AIMS: f64 = 0.85;
/// Bounds of the factor by which a query's worth per work, relative to the average, changes that limit.
const ADMISSION_FACTOR_RANGE: (f64, f64) = (0.7, 1.2);
/// Query time, in aims, above which the fleet counts as overloaded.
const OVERLOADED_AIMS: f64 = 0.6;
/// Mean reported utilization from which the fleet counts as busy. Below it, slow queries have other causes
/// than load.
const BUSY_UTILIZATION: f64 = 0.8;
/// Weights of a sample in the fleet's best rate, for samples above it and for samples below it: the best rate
/// settles near the 97th percentile of the samples.
const BEST_RATE_WEIGHTS: (f64, f64) = (0.2, 0.005);
/// Predicted finish times within this factor of the least one count as tied. Ties go first to a replica that
/// is sent a call with room for the part in this step anyway, since the overhead of that call is already
/// paid, then to a replica in the router's own zone, then to the first in a hash order.
const TIE_FACTOR: f64 = 1.15;
/// Predicted finish times, in aims, that also count as tied on a replica that is sent a call with room for
/// the part in this step: no client notices the difference.
const CALL_TIE_AIMS: f64 = 0.3;
/// Bounds of the factor that corrects a predicted query time for the cost in flight now, relative to the cost
/// that was in flight when the typical latency was measured.
const LOAD_FACTOR_RANGE: (f64, f64) = (0.5, 2.0);
/// Late worth, as a share of the worth in time, below which a query ends at its aim while the fleet is
/// overloaded.
const MIN_LATE_WORTH: f64 = 0.5;
/// Time between steps while no query is open, as a share of the time between probes.
const IDLE_STEP_OF_PROBE_INTERVAL: f64 = 0.25;
/// Time, in typical latencies, within which a send on an idle connection that was dropped on the path is
/// reset.
const DROPPED_WITHIN_LATENCIES: f64 = 0.25;
/// Number of replicas that reset parts of a query, with no part completed, from which the query itself is the
/// likely cause.
const POISON_RESETS: usize = 3;
/// Time after the failure of many replicas at once, in shortest aims, during which each query is tried on one
/// replica first. It is long because the next query that crashes replicas may come late.
const MASS_FAILURE_CAUTION_AIMS: f64 = 20.0;
/// Time without a completed part, in typical latencies, after which a replica that reset a connection counts
/// as dead rather than briefly disconnected.
const DEAD_AFTER_LATENCIES: f64 = 1.5;
/// Share of recent parts of all classes that a replica lost from which unsafe parts avoid it if they can.
const LOSSY_SHARE: f64 = 0.05;
/// Share of recent parts of a class that a replica failed from which all parts of the class avoid it
/// if they can: a replica that fails at once looks fast and idle, above all to retries.
const FAILING_SHARE: f64 = 0.5;
/// Time between steps while queries are open, in ticks. Each step sweeps over the queries that are due.
const SWEEP_INTERVAL_TICKS: f64 = 2.0;

/// The decision state machine of one router. See [`Router::step`].
///
/// A router that is serialized and deserialized again continues exactly where it was.
#[derive(Default, Serialize, Deserialize)]
pub struct Router {
    #[serde(rename = "s")]
    settings: Settings,
    /// The shortest aim of all classes.
    min_aim: Millis,
    /// The half-life of failure records, which is also the time for which load reports and connection
    /// failures count as recent.
    #[serde(rename = "forgive")]
    record_half_life: Millis,
    /// The state of the random number generator.
    rng: u64,
    /// The seed of the order in which queries without a shared key try tied replicas. It differs between
    /// routers.
    #[serde(rename = "own")]
    order_seed: u64,
    /// The time of the current or last step.
    now: Millis,
    /// How late the steps of this router run.
    lag: StepLag,
    /// The replicas of the list, and those that are gone but have attempts in flight.
    #[serde(rename = "servers")]
    replicas: BTreeMap<ReplicaNo, Box<ReplicaStats>>,
    /// The open queries by number.
    queries: BTreeMap<u64, Query>,
    /// The numbers of the open queries.
    #[serde(rename = "numbers")]
    query_numbers: HashMap<QueryId, u64>,
    /// The query number and the index of each part of an open query.
    #[serde(rename = "parts")]
    part_places: HashMap<PartId, (u64, usize)>,
    /// The attempts that were sent and have not ended, including those whose query is over.
    #[serde(rename = "flights")]
    in_flight: HashMap<(PartId, Attempt), InFlight>,
    /// The cost of all attempts in flight that are not cancelled.
    #[serde(rename = "load_out")]
    cost_in_flight: f64,
    /// The queries that arrived in this step and are not yet admitted or refused.
    #[serde(rename = "fresh")]
    new_queries: Vec<u64>,
    /// The time until which each query is tried on one replica first, because many replicas died at once.
    #[serde(rename = "wary")]
    cautious_until: Millis,
    /// The parts to send, as query number, shard and index. The oldest query comes first, and adjacent shards
    /// of a query follow each other so that they can share calls.
    waiting: BTreeSet<(u64, Shard, usize)>,
    /// What was learned about the fleet as a whole.
    #[serde(rename = "m")]
    measures: FleetMeasures,
    /// When to request the list of replicas.
    #[serde(rename = "asking")]
    list_requests: ListRequests,
    /// The time of the next wake that was requested.
    #[serde(rename = "wake")]
    next_wake: Option<Millis>,
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
fn moving_average(old: Option<f64>, new: f64) -> f64 {
    old.map_or(new, |old| old + PART_SAMPLE_WEIGHT * (new - old))
}

/// Keeps only the candidates that satisfy a condition, if any of them does.
fn retain_if_any(candidates: &mut Vec<&ReplicaStats>, condition: impl Fn(&ReplicaStats) -> bool) {
    if candidates.iter().any(|replica| condition(replica)) {
        candidates.retain(|replica| condition(replica));
    }
}

impl Router {
    /// Creates a router that knows only its settings. `seed` is its only source of randomness.
    ///
    /// # Errors
    /// Returns a text that names the invalid settings.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, String> {
        let rng = mix(seed ^ 0x9e37_79b9_7f4a_7c15);
        let mut router = Router { rng, order_seed: rng, ..Router::default() };
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
        self.min_aim = settings.classes.iter().map(|class| class.aim).fold(f64::INFINITY, f64::min);
        self.record_half_life = self.min_aim * RECORD_HALF_LIFE_AIMS;
        self.measures.relative_query_times.resize(classes, DecayingMean::default());
        self.measures.quotas = Quotas::new(&settings.tenants, now);
        self.replicas
            .values_mut()
            .for_each(|replica| replica.failure_rates.resize(classes, DecayingMean(0.0, now)));
        self.settings = settings;
        self.rebuild_indexes();
        Ok(())
    }

    /// Processes the events up to `now` and returns the actions to carry out.
    pub fn step(&mut self, now: Millis, events: Vec<Event>) -> Vec<Action> {
        self.lag.record_step(self.next_wake, now, self.min_aim, self.record_half_life);
        self.now = now;
        if !self.indexed {
            self.rebuild_indexes();
        }
        self.replica_index.expire_utilizations(now - self.record_half_life);
        for event in events {
            self.handle_event(event);
        }
        self.admit_new_queries();
        self.check_due_queries();
        self.send_waiting();
        self.maintain_replicas();
        self.request_wake();
        std::mem::take(&mut self.actions)
    }

    /// Returns the parked replicas, which new parts avoid.
    pub fn parked(&self) -> impl Iterator<Item = &ReplicaId> {
        self.replicas.values().filter(|replica| replica.parked_at.is_some()).map(|replica| &replica.entry.id)
    }

    /// Serializes the learned state as JSON, for the router of the process that takes over.
    pub fn export_learned(&self) -> String {
        serde_json::to_string(&(&self.measures, self.replicas.values().collect::<Vec<_>>()))
            .unwrap_or_default()
    }

    /// Replaces the learned state by that of another router. Must be called before the first list arrives.
    /// Returns `false`, and changes nothing, if the text can't be parsed.
    pub fn import_learned(&mut self, learned: &str) -> bool {
        let parsed = serde_json::from_str::<(FleetMeasures, Vec<ReplicaStats>)>(learned);
        let Ok((measures, replicas)) = parsed else { return false };
        let without_traffic = |stats| ReplicaStats {
            attempts_in_flight: 0,
            cost_in_flight: 0.0,
            interval_cost: (0, 0.0),
            connection_used_at: None,
            connection_idle: None,
            ..stats
        };
        (self.measures, self.replicas) = (
            measures,
            replicas.into_iter().map(|stats| (stats.number, Box::new(without_traffic(stats)))).collect(),
        );
        self.apply_settings(self.settings.clone()).is_ok()
    }

    /// Processes one event.
    fn handle_event(&mut self, event: Event) {
        match event {
            Event::List(update) => self.handle_list(update),
            Event::Query(query) => self.handle_query(query),
            Event::Part(part) => self.handle_part(part),
            Event::AttemptEnded(end) => self.handle_attempt_end(end),
            Event::ProbeEnded { replica: id, ok, load } => self.handle_probe_end(&id, ok, load),
            Event::ClientGone(id) => {
                self.query_numbers.get(&id).copied().into_iter().for_each(|number| self.drop_query(number))
            }
            Event::Wake => self.next_wake = None,
        }
    }

    /// Updates the replicas from the list, and removes those that are gone and have no parts in flight.
    fn handle_list(&mut self, update: ListUpdate) {
        let (from_service, is_complete) =
            (!matches!(update, ListUpdate::Cached(_)), !matches!(update, ListUpdate::Changes(_)));
        let (ListUpdate::Full(entries) | ListUpdate::Cached(entries) | ListUpdate::Changes(entries)) = update
        else {
            let chance = draw(&mut self.rng);
            let limits = (self.settings.list_refresh_within, self.settings.routers);
            return self.list_requests.record_failure(self.now, self.min_aim, limits, chance);
        };
        self.list_requests.record_list(from_service);
        if is_complete {
            self.replicas.values_mut().for_each(|replica| replica.entry.state = ReplicaState::Gone);
        }
        for entry in entries {
            let number = hash(&entry.id.0);
            let before = self.replicas.get(&number).map(|replica| replica.facts()).filter(|_| !is_complete);
            match self.replicas.get_mut(&number) {
                // A changed start time means a new process, to which the learned state doesn't apply.
                Some(replica) if replica.entry.started == entry.started => replica.entry = entry,
                _ => {
                    let failure_rates = vec![DecayingMean(0.0, self.now); self.settings.classes.len()];
                    let (rate_sampled_at, last_response) = (self.now, self.now);
                    let cold_budget = (draw(&mut self.rng), self.now);
                    let replica = ReplicaStats {
                        number,
                        cold_budget,
                        entry,
                        rate_sampled_at,
                        last_response,
                        failure_rates,
                        ..ReplicaStats::default()
                    };
                    self.replicas.insert(number, Box::new(replica));
                }
            }
            if !is_complete {
                self.replica_index.update(
                    before.as_ref(),
                    self.replicas.get(&number).map(|replica| replica.facts()).as_ref(),
                );
            }
        }
        if is_complete {
            self.replica_index = self.build_replica_index();
        }
        for number in self.replica_index.gone() {
            if let Some(replica) =
                self.replicas.get(&number).filter(|replica| replica.attempts_in_flight == 0)
            {
                self.replica_index.update(Some(&replica.facts()), None);
                self.replicas.remove(&number);
            }
        }
    }

    /// Opens a query. It is admitted or refused after all events of the step.
    fn handle_query(&mut self, new: NewQuery) {
        let class = new.class.0.min(self.settings.classes.len() - 1);
        self.measures.attempt_budget.record(self.settings.budget, self.now, false);
        let mut worth = self.settings.classes[class].worth;
        let tenant = new.tenant.map_or(usize::MAX, |TenantIndex(tenant)| tenant);
        if !self.measures.quotas.charge(tenant, &self.settings.tenants, self.settings.routers, self.now) {
            worth *= self.settings.over_share_worth;
        }
        let NewQuery { id, number, deadline, arrived, .. } = new;
        self.query_numbers.insert(id.clone(), number);
        let accepted = arrived.min(self.now);
        let query = Query { id, class, accepted, deadline, worth, ..Query::default() };
        self.query_index.insert_query(class, self.check_times(number, &query));
        self.queries.insert(number, query);
        self.new_queries.push(number);
    }

    /// Adds a part to its query and queues it to be sent.
    fn handle_part(&mut self, new: NewPart) {
        self.measures.attempt_budget.record(self.settings.budget, self.now, false);
        let Some(query) = self.queries.get_mut(&new.query) else { return };
        let hint = new.cost_hint.filter(|hint| *hint > 0.0);
        self.measures.mean_cost_hint = hint
            .map(|hint| moving_average(self.measures.mean_cost_hint, hint))
            .or(self.measures.mean_cost_hint);
        let cost = hint.zip(self.measures.mean_cost_hint).map_or(1.0, |(hint, mean_hint)| hint / mean_hint);
        self.measures.retry_budget.earn(self.settings.routers, query.parts.len() + 1);
        // If replicas cache by key, all routers prefer replicas for a key in the same order, which keeps
        // caches warm. Otherwise each query has its own order.
        let order_key = new
            .key
            .as_deref()
            .filter(|_| self.settings.warm_keys)
            .map_or(mix(self.order_seed ^ new.query), hash);
        let NewPart { id, shard, weight, .. } = new;
        self.part_places.insert(id.clone(), (new.query, query.parts.len()));
        self.waiting.insert((new.query, shard, query.parts.len()));
        self.query_index.mark_changed(new.query);
        query.parts.push(Part { id, shard, weight, cost, order_key, ..Part::default() });
    }

    /// Records the end of an attempt, and queues its part again if the part did not complete.
    fn handle_attempt_end(&mut self, end: AttemptEnded) {
        let AttemptEnded { part: id, attempt, outcome, latency, load, .. } = end;
        let Some(((id, _), flight)) = self.in_flight.remove_entry(&(id, attempt)) else { return };
        if flight.cancelled.is_none() {
            self.cost_in_flight = (self.cost_in_flight - flight.cost).max(0.0);
        }
        self.record_outcome(&flight, outcome, latency, load);
        let Some(&(number, index)) = self.part_places.get(&id) else { return };
        self.query_index.remove_in_flight(flight.class, flight.sent, (number, index));
        self.query_index.untrack_attempt(flight.replica, flight.sent, (id, attempt), (number, index));
        self.query_index.mark_changed(number);
        let Some(query) = self.queries.get_mut(&number) else { return };
        if outcome == Outcome::Reset && query.resets.iter().all(|(replica, _)| *replica != flight.replica) {
            query.resets.push((flight.replica, flight.connection_idle.is_none()));
            if flight.connection_idle.is_none() {
                self.query_index.mark_reset(number);
            }
        }
        let part = &mut query.parts[index];
        (part.current_attempt, part.reason) =
            (None, flight.cancelled.unwrap_or(AttemptReason::After(outcome)));
        if outcome == Outcome::Completed {
            part.completed = true;
            query.completed_share += part.weight;
            if query.completed_share >= self.settings.classes[query.class].least_share {
                query.enough_at.get_or_insert(self.now);
            }
            self.update_enough(number);
            return;
        }
        if !outcome.never_ran() {
            part.may_have_run = Some(part.may_have_run.map_or(flight.sent, |at| at.min(flight.sent)));
        }
        self.waiting.insert((number, part.shard, index));
    }

    /// Updates the typical latency and the best rate of the fleet from a completed part.
    fn record_latency(&mut self, flight: &InFlight, latency: Millis) {
        let cap = self.measures.typical_latency.unwrap_or(latency) * SUSPECT_AFTER_LATENCIES;
        self.measures.typical_latency = Some(moving_average(self.measures.typical_latency, latency.min(cap)));
        self.measures.typical_cost_in_flight =
            Some(moving_average(self.measures.typical_cost_in_flight, flight.router_cost_in_flight));
        let rate = flight.cost / latency.max(self.settings.tick);
        let best_rate = self.measures.best_rate.unwrap_or(rate);
        self.measures.best_rate = Some(
            best_rate
                + (rate - best_rate)
                    * if rate > best_rate { BEST_RATE_WEIGHTS.0 } else { BEST_RATE_WEIGHTS.1 },
        );
    }

    /// Updates the statistics of the replica and of the fleet from the end of an attempt.
    fn record_outcome(
        &mut self,
        flight: &InFlight,
        outcome: Outcome,
        latency: Millis,
        load: Option<LoadReport>,
    ) {
        let (now, half_life, failure_half_life) =
            (self.now, self.record_half_life, self.scaled_to_fleet(self.record_half_life));
        // A connection that was dropped on the path while idle is reset at once on the next send.
        let at_once = latency <= self.measures.typical_latency.unwrap_or(latency) * DROPPED_WITHIN_LATENCIES;
        let dropped = outcome == Outcome::Reset && flight.connection_idle.is_some() && at_once;
        let connection_failed = !dropped && matches!(outcome, Outcome::Reset | Outcome::ConnectFailed);
        if outcome == Outcome::Completed {
            self.count_overtaken(flight);
        }
        if let (true, Some(idle)) = (dropped || outcome == Outcome::Completed, flight.connection_idle) {
            if dropped {
                self.measures.retry_budget.refund();
            }
            self.measures.idle_drops.record_send(idle, dropped, now, half_life);
        }
        self.measures.traffic.record_attempt_end(!outcome.never_ran());
        let known_rate =
            self.replicas.get(&flight.replica).map_or(0.0, |replica| self.rate(replica, flight.class));
        let Some(replica) = self.replicas.get_mut(&flight.replica) else { return };
        let (before, mut sample_latency, mut unresponsive) = (replica.facts(), false, false);
        replica.connection_used_at = replica.connection_used_at.map(|_| now);
        replica.connection_failed_at =
            if connection_failed { Some(now) } else { replica.connection_failed_at };
        let rate = flight.cost / latency.max(self.settings.tick);
        replica.cost_in_flight = (replica.cost_in_flight - flight.cost).max(0.0);
        replica.attempts_in_flight = replica.attempts_in_flight.saturating_sub(1);
        (replica.load_report, replica.load_reported_at) =
            load.map_or((replica.load_report, replica.load_reported_at), |load| (load, now));
        let lost = !dropped && matches!(outcome, Outcome::Errored | Outcome::Reset | Outcome::TimedOut);
        if lost || outcome == Outcome::Completed {
            replica.loss_rate.record(f64::from(u8::from(lost)), PART_SAMPLE_WEIGHT, now, half_life);
        }
        if matches!(outcome, Outcome::Completed | Outcome::Cancelled) {
            replica.service_rate.record(
                flight.replica_cost_in_flight,
                latency.max(self.settings.tick),
                outcome == Outcome::Completed,
            );
        }
        match outcome {
            Outcome::Completed => {
                // A latency that includes a stall of this router is too long. It counts only as the first
                // sample.
                replica.last_rate = replica.last_rate.filter(|_| self.lag.stall_ended == now).or(Some(rate));
                (
                    replica.rate_sampled_at,
                    replica.last_response,
                    replica.parked_at,
                    replica.connection_idle,
                ) = (now, now, None, None);
                replica.failure_rates[flight.class].record(
                    0.0,
                    FAILURE_SAMPLE_WEIGHT,
                    now,
                    failure_half_life,
                );
                sample_latency = self.lag.stall_ended < now;
            }
            // A connection that was dropped while idle says nothing about the replica.
            Outcome::Reset if dropped => replica.connection_used_at = None,
            // A fast failure is no evidence of speed: it leaves the rate unchanged and counts as a failure of
            // the class.
            Outcome::Errored | Outcome::Reset | Outcome::Rejected => {
                replica.last_response = now;
                // A broken connection ends many parts in one step. They have one cause and count once.
                if replica.failure_rates[flight.class].1 < now {
                    replica.failure_rates[flight.class].record(
                        1.0,
                        FAILURE_SAMPLE_WEIGHT,
                        now,
                        failure_half_life,
                    );
                }
            }
            // A replica that answered other parts meanwhile is slow, not hung: this lowers its rate.
            Outcome::TimedOut if replica.last_response > flight.sent => {
                replica.last_rate = Some(replica.last_rate.map_or(rate, |old| old.min(rate)));
                replica.rate_sampled_at = now;
            }
            // After a stall of this router, a timeout says nothing about the replica.
            Outcome::TimedOut if self.lag.stall_ended == now => {}
            Outcome::TimedOut | Outcome::ConnectFailed => unresponsive = true,
            // A cancelled attempt took at least this long. For a slow replica that is often the only sample.
            Outcome::Cancelled if self.lag.stall_ended < now && rate < known_rate => {
                (replica.last_rate, replica.rate_sampled_at) = (Some(rate), now);
            }
            Outcome::Cancelled | Outcome::NotSent => {}
        }
        self.replica_index.update(Some(&before), Some(&replica.facts()));
        if sample_latency {
            self.record_latency(flight, latency);
        }
        if unresponsive {
            self.park(flight.replica, outcome == Outcome::ConnectFailed);
        }
    }

    /// Restores a parked replica if its probe succeeded.
    fn handle_probe_end(&mut self, id: &ReplicaId, ok: bool, load: Option<LoadReport>) {
        let now = self.now;
        let restored = self.update_replica(hash(&id.0), |replica| {
            (replica.load_report, replica.load_reported_at) =
                load.map_or((replica.load_report, replica.load_reported_at), |load| (load, now));
            let restored = ok && replica.parked_at.take().is_some();
            replica.last_response = if restored { now } else { replica.last_response };
            restored
        });
        if restored == Some(true) {
            self.actions.push(Action::Log(format!("{} restored by probe", id.0)));
        }
    }

    /// Parks a replica and returns whether it is parked. A replica whose failure is not certain is not parked
    /// if too many others are, as that suggests a shared cause.
    fn park(&mut self, number: ReplicaNo, certain: bool) -> bool {
        let (active, parked) = self.replica_index.active_and_parked();
        let shared_cause = !certain && (parked + 1) as f64 > (SHARED_CAUSE_SHARE * active as f64).max(1.0);
        let Some(replica) = self.replicas.get(&number) else { return false };
        let park_now =
            replica.parked_at.is_none() && replica.entry.state == ReplicaState::Active && !shared_cause;
        if park_now {
            self.actions.push(Action::Log(format!("{} parked", replica.entry.id.0)));
            let (now, probe_at) = (self.now, self.now + self.min_aim * PROBE_INTERVAL_AIMS);
            self.update_replica(number, |replica| {
                (replica.parked_at, replica.probe_at) = (Some(now), probe_at)
            });
        }
        park_now || self.replicas.get(&number).is_some_and(|replica| replica.parked_at.is_some())
    }

    /// Returns the number of the current monitoring interval.
    fn monitoring_interval(&self) -> i64 {
        (self.now / (self.min_aim * MONITORING_INTERVAL_AIMS)).floor() as i64
    }

    /// Returns the mean rate of the fleet, or the assumed one while no replica has been measured.
    fn mean_rate(&self, class: usize) -> f64 {
        self.measures.mean_rate.unwrap_or(1.0 / (self.settings.classes[class].aim * ASSUMED_COST_UNIT_AIMS))
    }

    /// Returns the current rate of a replica (DR in C2LD) in cost units per millisecond. It drifts to the
    /// mean rate while there are no new samples.
    fn rate(&self, replica: &ReplicaStats, class: usize) -> f64 {
        let mean = self.mean_rate(class);
        let Some(rate) = replica.last_rate else { return mean };
        let decay_after =
            self.scaled_to_fleet(self.min_aim * MONITORING_INTERVAL_AIMS * DECAY_AFTER_INTERVALS);
        let decay_intervals =
            ((self.now - replica.rate_sampled_at) / decay_after - 1.0) * DECAY_AFTER_INTERVALS;
        mean + (rate - mean) * 0.5f64.powf(decay_intervals.max(0.0))
    }

    /// Returns after how long this router tests a suspect replica again, if it would do so after
    /// `single_router` when it was the only one. Routers share no state: if each of many tested as often as a
    /// single one, they would together overload a slow replica with tests.
    fn scaled_to_fleet(&self, single_router: Millis) -> Millis {
        let best_rate = self.measures.best_rate.unwrap_or(1.0 / (self.min_aim * ASSUMED_COST_UNIT_AIMS));
        single_router.max(f64::from(self.settings.routers) / (best_rate * RETEST_CAPACITY_SHARE))
    }

    /// Returns the cost that this router may send to a cold replica now, and the most that it can ever
    /// accumulate; `None` if the replica is warm.
    fn cold_allowance(&self, replica: &ReplicaStats, class: usize) -> Option<(f64, f64)> {
        let (rule, started) = (self.settings.cold?, replica.entry.started?);
        let best_rate = self.measures.best_rate.unwrap_or(self.mean_rate(class));
        let traffic = (&self.measures.traffic, self.settings.routers);
        cold::allowance(&rule, (started, self.now), replica.cold_budget, best_rate, traffic)
    }

    /// Returns how long a replica may be silent before it is suspected to hang.
    fn hang_timeout(&self, class: usize) -> Millis {
        (self.settings.classes[class].aim * SUSPECT_AFTER_AIMS)
            .max(self.measures.typical_latency.unwrap_or(0.0) * SUSPECT_AFTER_LATENCIES)
    }

    /// Refuses new queries that are predicted to finish too late. The limit rises with the worth per work of
    /// a query, so that the most valuable ones are served during overload.
    fn admit_new_queries(&mut self) {
        for number in std::mem::take(&mut self.new_queries) {
            let Some(query) = self.queries.get(&number) else { continue };
            let work = if self.settings.worth_by_work { 1.0 } else { query.parts.len().max(1) as f64 };
            let (worth_per_work, parts) = (query.worth / work, query.parts.len());
            let mean_worth_per_work = moving_average(self.measures.mean_worth_per_work, worth_per_work);
            self.measures.mean_worth_per_work = Some(mean_worth_per_work);
            self.measures.traffic.record_query(parts, QUERY_SAMPLE_WEIGHT);
            let worth_factor = (worth_per_work / mean_worth_per_work.max(f64::MIN_POSITIVE))
                .sqrt()
                .clamp(ADMISSION_FACTOR_RANGE.0, ADMISSION_FACTOR_RANGE.1);
            if let Some(cause) =
                self.leave_out_backlogged(number, ADMISSION_LIMIT_AIMS * worth_factor.min(1.0))
            {
                self.end_query(number, false, cause);
            }
            let Some(query) = self.queries.get(&number) else { continue };
            let class = query.class;
            let cost: f64 = query.parts.iter().map(|part| part.cost).sum();
            // On average, half of a query's other parts are already in flight when one of its parts is sent.
            let cost_in_flight = self.cost_in_flight + cost * 0.5;
            let load_factor = (cost_in_flight
                / self.measures.typical_cost_in_flight.unwrap_or(cost_in_flight).max(cost * 0.5))
            .clamp(LOAD_FACTOR_RANGE.0, LOAD_FACTOR_RANGE.1);
            let predicted_aims = self.query_time_in_aims(class) * load_factor;
            // A query that is not expected to finish before its client gives up is refused even if the fleet
            // is idle.
            let relative_time = self.measures.relative_query_times[class]
                .at(self.now, self.scaled_to_fleet(self.record_half_life));
            // A router in a large fleet gets few load reports, and often has no recent one. For it, having
            // none does not rule out that the fleet is busy.
            let large_fleet = self.scaled_to_fleet(self.record_half_life) > self.record_half_life;
            let misses_deadline =
                relative_time * self.measures.typical_latency.unwrap_or(0.0) > query.deadline - self.now;
            if !misses_deadline && self.is_fleet_busy() == Some(false) {
                continue;
            }
            if misses_deadline || predicted_aims > ADMISSION_LIMIT_AIMS * worth_factor {
                let within_quota = query.worth >= self.settings.classes[class].worth;
                self.end_query(
                    number,
                    false,
                    if within_quota { Cause::PredictedLate } else { Cause::BeyondShare },
                );
            } else if predicted_aims > OVERLOADED_AIMS || large_fleet || self.is_fleet_busy().is_some() {
                let weights: Vec<_> = query.parts.iter().map(|part| part.weight).collect();
                let class = &self.settings.classes[class];
                self.leave_out(number, parts_to_leave_out(&weights, class, predicted_aims > OVERLOADED_AIMS));
            }
        }
    }

    /// Excludes parts from a query's answer: they are not sent.
    fn leave_out(&mut self, number: u64, parts: Vec<usize>) {
        let Some(query) = self.queries.get_mut(&number) else { return };
        for index in parts {
            query.parts[index].left_out = true;
            self.query_index.mark_changed(number);
            self.waiting.remove(&(number, query.parts[index].shard, index));
        }
    }

    /// Returns whether the replica is expected to need at least `share` of the aim for what this router has
    /// in flight there.
    fn is_backlogged(&self, replica: &ReplicaStats, class: usize, share: f64) -> bool {
        replica.service_rate.is_saturated(replica.cost_in_flight, self.settings.classes[class].aim * share)
    }

    /// Leaves out the parts of a query that have no holder, or only backlogged ones, and returns a cause if
    /// the remaining parts are too few for an answer. `share` is lower for queries of low worth, so that the
    /// remaining capacity of such replicas goes to queries of high worth.
    fn leave_out_backlogged(&mut self, number: u64, share: f64) -> Option<Cause> {
        let query = self.queries.get(&number)?;
        // Before the first list, no part is known to lack holders.
        self.replica_index.any_listed().then_some(())?;
        let (mut cause, mut weight_left_out, mut left_out) = (Cause::PredictedLate, 0.0, Vec::new());
        for (index, part) in query.parts.iter().enumerate() {
            let mut candidates = self.holders(part.shard);
            candidates.retain(|replica| replica.entry.state == ReplicaState::Active);
            retain_if_any(&mut candidates, |replica| replica.parked_at.is_none());
            if candidates.is_empty() {
                cause = self.missing_part_cause(part);
            }
            if candidates.iter().all(|replica| self.is_backlogged(replica, query.class, share)) {
                weight_left_out += part.weight;
                left_out.push(index);
            }
        }
        let too_few = 1.0 - weight_left_out < self.settings.classes[query.class].least_share;
        self.leave_out(number, left_out);
        too_few.then_some(cause)
    }

    /// Updates the query time of the class from a query that was answered (`served`) or ended too late.
    fn record_query_time(&mut self, number: u64, served: bool) {
        // A query that was ended early would have taken longer, so it counts with at least its aim. It is
        // ignored if its client set a deadline before the aim.
        let is_representative = |query: &&Query| {
            served || query.deadline - query.accepted >= self.settings.classes[query.class].aim
        };
        let Some(query) = self.queries.get(&number).filter(is_representative) else { return };
        let end = if served { query.enough_at.unwrap_or(self.now) } else { self.now };
        let time =
            (end - query.accepted).max(if served { 0.0 } else { self.settings.classes[query.class].aim });
        let sample = time / self.measures.typical_latency.unwrap_or(time).max(self.settings.tick);
        let (class, known) = (query.class, self.relative_query_time(query.class));
        self.measures.relative_query_times[class] =
            DecayingMean(known + QUERY_SAMPLE_WEIGHT * (sample - known), self.now);
    }

    /// Returns the query time of a class in typical part latencies. It decays while no query ends: a class
    /// whose queries are all refused yields no samples, and would otherwise be refused forever after one
    /// overload.
    fn relative_query_time(&self, class: usize) -> f64 {
        let DecayingMean(mean, sampled_at) = self.measures.relative_query_times[class];
        let decay_intervals =
            (self.now - sampled_at) / (self.min_aim * MONITORING_INTERVAL_AIMS) - DECAY_AFTER_INTERVALS;
        mean * 0.5f64.powf(decay_intervals.max(0.0))
    }

    /// Returns how long queries of a class take at present, in aims. It is based on the latency of parts,
    /// which reflects a change sooner than that of queries.
    fn query_time_in_aims(&self, class: usize) -> f64 {
        self.relative_query_time(class) * self.measures.typical_latency.unwrap_or(0.0)
            / self.settings.classes[class].aim
    }

    /// Returns whether the fleet is busy, by the utilization that replicas reported recently; `None` if none
    /// did.
    fn is_fleet_busy(&self) -> Option<bool> {
        let (utilization_sum, reports) = self.replica_index.utilization();
        (reports > 0).then_some(utilization_sum >= BUSY_UTILIZATION * reports as f64)
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
        let overloaded =
            self.is_fleet_busy() != Some(false) && self.query_time_in_aims(class) > OVERLOADED_AIMS;
        let class = &self.settings.classes[class];
        overloaded && class.repeat != RepeatPolicy::Unsafe && class.late_worth < MIN_LATE_WORTH
    }

    /// Returns whether the repeat policy of the class and the maximum number of attempts allow another
    /// attempt.
    fn may_send(&self, part: &Part, class: usize) -> bool {
        let excluded =
            part.completed || part.current_attempt.is_some() || part.attempts >= self.settings.max_attempts;
        !excluded && self.settings.classes[class].repeat.allows(part.may_have_run, self.now)
    }

    /// Sends the waiting parts for which a replica is available.
    fn send_waiting(&mut self) {
        self.measures.mean_rate = self.replica_index.mean_rate();
        self.measures.traffic.update(self.now, self.settings.cold, self.replica_index.load_reports());
        let since = self.now - self.record_half_life;
        let until = self.now - self.measures.typical_latency.unwrap_or(0.0) * DEAD_AFTER_LATENCIES;
        // A replica counts as dead if a connection to it failed and its rate has not been sampled since.
        let no_sample_since = |(number, failed_at): &(ReplicaNo, Millis)| {
            self.replicas.get(number).is_some_and(|replica| replica.rate_sampled_at < *failed_at)
        };
        let dead_replicas = self.replica_index.died_between(since, until).filter(no_sample_since).count();
        if dead_replicas as f64 > SHARED_CAUSE_SHARE * self.replicas.len() as f64 {
            self.cautious_until = self.now + self.min_aim * MASS_FAILURE_CAUTION_AIMS;
        }
        for waiting_part @ (number, _, index) in self.waiting.clone() {
            let Some(query) = self.queries.get(&number) else { continue };
            let part = &query.parts[index];
            // A query that may crash replicas has only one part in flight at a time until one of its parts
            // completes.
            let may_crash_replicas = query.completed_share == 0.0
                && (self.now < self.cautious_until || query.resets.len() >= POISON_RESETS);
            let held_back = (may_crash_replicas
                && query.parts.iter().any(|part| part.current_attempt.is_some()))
                || (part.attempts > 0
                    && !self.measures.attempt_budget.allows_retry(self.settings.budget, self.now));
            if held_back || !self.may_send(part, query.class) {
                continue;
            }
            if let Some((replica, choice)) = self.choose_replica(part, query.class) {
                self.waiting.remove(&waiting_part);
                self.send(number, index, replica, choice);
            }
        }
    }

    /// Returns the listed replicas that hold a shard.
    fn holders(&self, shard: Shard) -> Vec<&ReplicaStats> {
        let numbers = self.replica_index.holders(shard);
        numbers.iter().filter_map(|number| self.replicas.get(number).map(|replica| &**replica)).collect()
    }

    /// Returns the holder of the part's shard with the least predicted finish time; `None` if no replica may
    /// take the part now.
    fn choose_replica(&self, part: &Part, class: usize) -> Option<(ReplicaNo, ReplicaChoice)> {
        let interval_left =
            (self.monitoring_interval() + 1) as f64 * self.min_aim * MONITORING_INTERVAL_AIMS - self.now;
        let failure_half_life = self.scaled_to_fleet(self.record_half_life);
        let failure_rate = |replica: &ReplicaStats, class: usize| {
            replica.failure_rates[class].at(self.now, failure_half_life)
        };
        let has_room = |replica: &ReplicaStats| {
            self.cold_allowance(replica, class)
                .is_none_or(|(allowance, max_allowance)| allowance >= part.cost.min(max_allowance))
        };
        let mut candidates = self.holders(part.shard);
        candidates.retain(|replica| replica.entry.state == ReplicaState::Active && has_room(replica));
        let choice =
            if candidates.len() == 1 { ReplicaChoice::OnlyCandidate } else { ReplicaChoice::LeastFinish };
        let all_parked = candidates.iter().all(|replica| replica.parked_at.is_some());
        // A retry is held back, until the time for suspecting a hang has passed since the last send, if all
        // candidates are parked. So is a retry of a rejected part if it is the last one allowed or if all
        // candidates are parked or were tried before. Otherwise retries would be used up at once on replicas
        // that are hung or full.
        let unavailable = |replica: &&ReplicaStats| {
            replica.parked_at.is_some() || part.tried_replicas.contains(&replica.number)
        };
        let nearly_exhausted =
            part.attempts + 1 >= self.settings.max_attempts || candidates.iter().all(unavailable);
        let hold_back =
            all_parked || (part.reason == AttemptReason::After(Outcome::Rejected) && nearly_exhausted);
        if part.attempts > 0 && hold_back && self.now - part.last_sent < self.hang_timeout(class) {
            return None;
        }
        if all_parked {
            let rating =
                |replica: &&&ReplicaStats| self.rate(replica, class) * (1.0 - failure_rate(replica, class));
            let best = candidates.iter().max_by(|a, b| rating(a).total_cmp(&rating(b)));
            return best.map(|replica| (replica.number, ReplicaChoice::BestParked));
        }
        retain_if_any(&mut candidates, |replica| replica.parked_at.is_none());
        retain_if_any(&mut candidates, |replica| failure_rate(replica, class) < FAILING_SHARE);
        let is_silent = |replica: &ReplicaStats| {
            replica.attempts_in_flight > 0
                && self.now - replica.in_flight_since.max(replica.last_response) > self.hang_timeout(class)
        };
        retain_if_any(&mut candidates, |replica| {
            !self.is_backlogged(replica, class, ADMISSION_LIMIT_AIMS) && !is_silent(replica)
        });
        retain_if_any(&mut candidates, |replica| !part.tried_replicas.contains(&replica.number));
        // The failure rate recovers within a few parts. Unsafe parts, which can't be retried, also need the
        // loss rate, which has a longer memory.
        if self.settings.classes[class].repeat == RepeatPolicy::Unsafe {
            retain_if_any(&mut candidates, |replica| {
                replica.loss_rate.at(self.now, self.record_half_life) < LOSSY_SHARE
            });
        }
        // The effective rate: the rate, weighted by the replica's success rate. For an unsafe part, which
        // can't be retried after an error, the lowest success rate of all classes counts, and more than the
        // rate does.
        let effective_rate = |replica: &ReplicaStats| {
            let success_rate = |class: usize| 1.0 - failure_rate(replica, class);
            let success_rate = match self.settings.classes[class].repeat {
                RepeatPolicy::Unsafe => (0..replica.failure_rates.len())
                    .map(success_rate)
                    .fold(1.0, f64::min)
                    .powi(SUCCESS_RATE_EXPONENTS.1),
                RepeatPolicy::Safe | RepeatPolicy::Keyed { .. } => {
                    success_rate(class).powi(SUCCESS_RATE_EXPONENTS.0)
                }
            };
            self.rate(replica, class) * success_rate.max(1e-9)
        };
        // A reported queue is assumed to shrink at the replica's rate: otherwise an old report would keep
        // parts away forever.
        let cost_ahead = |replica: &ReplicaStats| {
            let reported = replica.load_report.queue.or(replica.load_report.in_flight).unwrap_or(0.0);
            let queue =
                (reported - (self.now - replica.load_reported_at) * self.rate(replica, class)).max(0.0);
            replica.sent_in(self.monitoring_interval()) + queue + part.cost
        };
        // C2LD prefers the replicas that can finish within the current monitoring interval.
        retain_if_any(&mut candidates, |replica| {
            cost_ahead(replica) <= effective_rate(replica) * interval_left
        });
        let joins_call = |replica: &ReplicaStats| {
            replica.last_call.0 == self.now
                && !replica.last_call.1.is_multiple_of(self.settings.max_parts_per_call)
        };
        let finish_time = |replica: &ReplicaStats| {
            cost_ahead(replica) / effective_rate(replica)
                + if joins_call(replica) { 0.0 } else { self.settings.call_overhead }
        };
        let tie_limit =
            candidates.iter().map(|replica| finish_time(replica)).fold(f64::INFINITY, f64::min) * TIE_FACTOR;
        let call_tie_limit = tie_limit.max(self.settings.classes[class].aim * CALL_TIE_AIMS);
        retain_if_any(&mut candidates, |replica| {
            finish_time(replica) <= if joins_call(replica) { call_tie_limit } else { tie_limit }
        });
        let preference = |replica: &&&ReplicaStats| {
            (
                joins_call(replica),
                replica.entry.zone == self.settings.zone,
                mix(replica.number ^ part.order_key),
            )
        };
        candidates.iter().max_by_key(preference).map(|replica| (replica.number, choice))
    }

    /// Starts an attempt at a part and updates the statistics and indexes.
    fn send(&mut self, number: u64, index: usize, replica_no: ReplicaNo, choice: ReplicaChoice) {
        let interval = self.monitoring_interval();
        let Some(query) = self.queries.get(&number) else { return };
        let (useful_until, is_retry) = (self.useful_until(query), query.parts[index].attempts > 0);
        let allowance =
            self.replicas.get(&replica_no).and_then(|replica| self.cold_allowance(replica, query.class));
        let Some(query) = self.queries.get_mut(&number) else { return };
        let Some(replica) = self.replicas.get_mut(&replica_no) else { return };
        let before = replica.facts();
        let part = &mut query.parts[index];
        let attempt = Attempt(part.attempts);
        part.attempts += 1;
        part.last_sent = self.now;
        part.current_attempt = Some((attempt, replica_no));
        part.tried_replicas.push(replica_no);
        replica.interval_cost = (interval, replica.sent_in(interval) + part.cost);
        replica.cost_in_flight += part.cost;
        if replica.attempts_in_flight == 0 {
            replica.in_flight_since = self.now;
            let keep_alive = self.settings.keep_alive.unwrap_or(0.0);
            // Connections that were idle for less than an aim are not dropped on the path: a failure there
            // has other causes.
            let may_be_dropped = |idle: &Millis| *idle > self.min_aim && *idle < keep_alive;
            replica.connection_idle =
                replica.connection_used_at.map(|used| self.now - used).filter(may_be_dropped);
        }
        replica.connection_used_at = Some(self.now);
        replica.attempts_in_flight += 1;
        replica.last_call =
            (self.now, if replica.last_call.0 == self.now { replica.last_call.1 + 1 } else { 1 });
        replica.cold_budget = (allowance.map_or(0.0, |(allowance, _)| allowance - part.cost), self.now);
        self.replica_index.update(Some(&before), Some(&replica.facts()));
        let (class, sent, cost, connection_idle, replica_cost_in_flight) =
            (query.class, self.now, part.cost, replica.connection_idle, replica.cost_in_flight);
        let router_cost_in_flight = self.cost_in_flight;
        let flight = InFlight {
            replica: replica_no,
            class,
            sent,
            cost,
            connection_idle,
            router_cost_in_flight,
            replica_cost_in_flight,
            ..InFlight::default()
        };
        self.cost_in_flight += cost;
        let timeout = (useful_until - self.now).max(self.settings.tick);
        let (reason, part, replica_id) = (part.reason, part.id.clone(), replica.entry.id.clone());
        self.query_index.insert_in_flight(class, sent, (number, index));
        self.query_index.track_attempt(replica_no, sent, (part.clone(), attempt), None);
        self.in_flight.insert((part.clone(), attempt), flight);
        self.actions.push(Action::Send { part, replica: replica_id, timeout, reason, choice });
        if is_retry {
            self.measures.retry_budget.spend(self.settings.routers);
            self.measures.attempt_budget.record(self.settings.budget, self.now, true);
        }
    }

    /// Cancels an attempt in flight, if the settings allow it.
    fn cancel(&mut self, id: &PartId, attempt: Attempt, reason: AttemptReason) {
        let in_flight =
            self.in_flight.get_mut(&(id.clone(), attempt)).filter(|flight| flight.cancelled.is_none());
        if let (Some(flight), true) = (in_flight, self.settings.may_cancel) {
            flight.cancelled = Some(reason);
            self.cost_in_flight = (self.cost_in_flight - flight.cost).max(0.0);
            if let Some(place) = self.part_places.get(id) {
                self.query_index.untrack_attempt(flight.replica, flight.sent, (id.clone(), attempt), *place);
            }
            self.actions.push(Action::Cancel { part: id.clone(), attempt, reason });
        }
    }

    // ---- Checks of open queries

    /// Checks the queries that are due, in order of their numbers.
    fn check_due_queries(&mut self) {
        let step = self.settings.tick * SWEEP_INTERVAL_TICKS;
        let mut due = self.due_queries(step);
        let mut already_ending: Vec<bool> =
            (0..self.settings.classes.len()).map(|class| self.ends_at_aim(class)).collect();
        while let Some(number) = due.pop_first() {
            let Some(class) = self.queries.get(&number).map(|query| query.class) else { continue };
            self.check_query(number, step);
            // A slow query may raise the query time so much that queries of its class now end at their aims.
            if self.ends_at_aim(class) && !std::mem::replace(&mut already_ending[class], true) {
                due.extend(self.query_index.past_aim(class, self.now + step).filter(|next| *next > number));
            }
        }
    }

    /// Ends a query if it is time to do so; otherwise retries its parts that are lost or on silent replicas.
    fn check_query(&mut self, number: u64, step: Millis) {
        let Some(query) = self.queries.get(&number) else { return };
        let class = &self.settings.classes[query.class];
        let enough = query.completed_share > 0.0 && query.completed_share >= class.least_share;
        // An answer that is given exactly at the aim reaches its client late, and earns next to nothing.
        let lag = self.lag.answer_margin(self.now, class.aim, self.record_half_life);
        let answer_by = (query.accepted + class.aim).min(query.deadline) - step * 2.0 - lag;
        let out_of_time = self.now + step >= self.useful_until(query);
        let all_completed = query.completed_share > 0.0 && query.parts.iter().all(|part| part.completed);
        let whole = all_completed
            || (query.first_step_whole.is_none()
                && query.completed_share >= class.whole_from
                && class.whole_from < 1.0);
        let cannot_complete = |part: &Part| {
            !part.completed
                && part.current_attempt.is_none()
                && !part.left_out
                && !self.may_send(part, query.class)
        };
        let nothing_pending =
            query.parts.iter().all(|part| part.completed || part.left_out || cannot_complete(part));
        // A poison query crashes each replica that starts a part of it, and none of its parts completes. It
        // is not sent again. After a mass failure, one reset is enough to suspect it.
        let open_resets = query.resets.iter().filter(|(_, open)| *open).count();
        let poison = query.completed_share == 0.0
            && open_resets >= if self.now < self.cautious_until { 1 } else { POISON_RESETS };
        let failed_part =
            query.parts.iter().find(|part| class.least_share >= class.whole_from && cannot_complete(part));
        let may_have_had_effect =
            |part: &Part| part.may_have_run.is_some() && class.repeat != RepeatPolicy::Safe;
        let failure_cause = |part: &Part| {
            let cause = if may_have_had_effect(part) { Cause::MayHaveRun } else { Cause::AttemptsSpent };
            cause(part.shard)
        };
        let cause = if poison { Some(Cause::Poison) } else { failed_part.map(failure_cause) };
        if whole || (enough && (self.now >= answer_by || nothing_pending)) {
            self.record_query_time(number, true);
            self.answer(number, whole);
        } else if let Some(cause) = cause {
            self.end_query(number, true, cause);
        } else if out_of_time {
            let cause = self.late_cause(query);
            self.record_query_time(number, false);
            self.end_query(number, true, cause);
        } else {
            self.retry_silent(number);
            self.retry_lost(number);
        }
    }

    /// Returns the cause for which a late query fails: what prevents its first missing part from completing.
    fn late_cause(&self, query: &Query) -> Cause {
        let missing = query.parts.iter().find(|part| !part.completed && !part.left_out);
        missing.map_or(Cause::TimeUp, |part| self.missing_part_cause(part))
    }

    /// Returns what prevents a part from completing.
    fn missing_part_cause(&self, part: &Part) -> Cause {
        let holders = self.holders(part.shard);
        match self.replica_index.any_listed() {
            false => Cause::NoList,
            _ if holders.is_empty() => Cause::NoHolder(part.shard),
            _ if holders.iter().all(|replica| replica.entry.state == ReplicaState::Draining) => {
                Cause::Drained(part.shard)
            }
            _ if holders.iter().all(|replica| replica.parked_at.is_some()) => Cause::AllParked(part.shard),
            _ => Cause::TimeUp,
        }
    }

    /// Retries the parts of a query that count as lost: a replica that goes on answering may still lose
    /// parts. Such a retry costs no retry budget. The loss counts in the replica's failure records, which
    /// keep unsafe parts away.
    fn retry_lost(&mut self, number: u64) {
        let Some(query) = self.queries.get(&number) else { return };
        let (class, now, half_life, failure_half_life) =
            (query.class, self.now, self.record_half_life, self.scaled_to_fleet(self.record_half_life));
        let since = now - self.measures.typical_latency.unwrap_or(0.0) * SUSPECT_AFTER_LATENCIES;
        for (index, id, (attempt, replica_no), sent, attempts) in query.parts_in_flight_since(since) {
            let is_lost = |flight: &&mut InFlight| {
                flight.cancelled.is_none() && flight.overtaken_by >= LOST_WHEN_OVERTAKEN_BY
            };
            let Some(flight) = self.in_flight.get_mut(&(id.clone(), attempt)).filter(is_lost) else {
                continue;
            };
            // The loss counts once, even if the part stays in flight.
            flight.overtaken_by = 0;
            self.query_index.untrack_attempt(replica_no, sent, (id.clone(), attempt), (number, index));
            self.query_index.track_attempt(replica_no, sent, (id.clone(), attempt), None);
            if let Some(replica) = self.replicas.get_mut(&replica_no) {
                replica.failure_rates[class].record(1.0, FAILURE_SAMPLE_WEIGHT, now, failure_half_life);
                replica.loss_rate.record(1.0, PART_SAMPLE_WEIGHT, now, half_life);
            }
            let repeatable = self.settings.classes[class].repeat != RepeatPolicy::Unsafe;
            if repeatable && attempts < self.settings.max_attempts {
                self.measures.retry_budget.refund();
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
        let since = self.now - self.hang_timeout(class);
        // Retries add load, so there are none while the whole fleet is slow.
        let fleet_slow =
            self.is_fleet_busy() != Some(false) && self.query_time_in_aims(class) > OVERLOADED_AIMS;
        let no_retries =
            fleet_slow || self.now + self.measures.typical_latency.unwrap_or(0.0) > query.deadline;
        let repeatable = self.settings.classes[class].repeat != RepeatPolicy::Unsafe;
        for (index, id, (attempt, replica_no), sent, attempts) in query.parts_in_flight_since(since) {
            let Some(stats) = self.replicas.get(&replica_no).filter(|stats| stats.last_response < sent)
            else {
                self.query_index.remove_in_flight(class, sent, (number, index));
                continue;
            };
            let Some(flight) = self.in_flight.get(&(id.clone(), attempt)) else { continue };
            // If no other replica can take the part, the silence is accepted for as long as the backlog at
            // this replica explains it.
            let can_replace = |stats: &ReplicaStats| {
                stats.number != replica_no
                    && stats.parked_at.is_none()
                    && stats.entry.state == ReplicaState::Active
            };
            let no_replacement =
                !self.holders(self.queries[&number].parts[index].shard).into_iter().any(can_replace);
            let explained_for =
                stats.service_rate.time_for(flight.replica_cost_in_flight) * SUSPECT_AFTER_LATENCIES;
            if self.lag.stall_ended > since || (no_replacement && self.now - sent < explained_for) {
                continue;
            }
            let may_retry = repeatable && attempts < self.settings.max_attempts;
            // Silence on a connection that was idle is blamed on the path, not on the replica, only if resets
            // have shown that idle connections are dropped there.
            let was_idle = flight.cancelled.is_none() && flight.connection_idle.is_some();
            let dropped =
                was_idle && self.measures.idle_drops.drops_detected(self.now, self.record_half_life);
            let is_parked = !dropped && self.park(replica_no, false);
            if may_retry && (dropped || (is_parked && !no_retries && self.measures.retry_budget.allows())) {
                let reason = if dropped { AttemptReason::Dropped } else { AttemptReason::Silent };
                self.cancel(&id, attempt, reason);
            }
            if dropped {
                self.close_idle(replica_no);
            }
        }
    }

    /// Closes the idle connections to a replica.
    fn close_idle(&mut self, number: ReplicaNo) {
        let replica_id = self.update_replica(number, |replica| {
            replica.connection_used_at = None;
            replica.entry.id.clone()
        });
        self.actions.extend(replica_id.map(|id| Action::CloseIdle { replica: id }));
    }

    /// Answers the current step of a query, and closes the query unless a second step follows.
    fn answer(&mut self, number: u64, whole: bool) {
        let Some(query) = self.queries.get_mut(&number) else { return };
        self.measures.retry_advice.record(false, self.now, self.record_half_life);
        let two_steps = self.settings.classes[query.class].second_step_parts > 0;
        let whole = whole && query.first_step_whole.unwrap_or(true);
        self.actions.push(Action::Answer { query: query.id.clone(), whole });
        if two_steps && query.first_step_whole.is_none() {
            (query.first_step_whole, query.completed_share) = (Some(whole), 0.0);
            let (class, parts) = (query.class, std::mem::take(&mut query.parts));
            self.drop_parts(number, class, parts);
            self.update_enough(number);
            self.query_index.mark_changed(number);
        } else {
            self.drop_query(number);
        }
    }

    /// Refuses a query if no part of it can have had an effect; otherwise fails it. `admitted` is false for
    /// a new query that is turned away.
    fn end_query(&mut self, number: u64, admitted: bool, cause: Cause) {
        let Some(query) = self.queries.get(&number) else { return };
        let class = &self.settings.classes[query.class];
        let may_have_run = query
            .parts
            .iter()
            .any(|part| part.may_have_run.is_some() || part.current_attempt.is_some() || part.completed);
        let id = query.id.clone();
        self.measures.retry_advice.record(true, self.now, self.record_half_life);
        let (decay, chance) = ((self.now, self.record_half_life), draw(&mut self.rng));
        let retry_after =
            self.measures.retry_advice.retry_after(class.aim, self.settings.max_retry_after, decay, chance);
        let idempotent = class.repeat == RepeatPolicy::Safe;
        self.actions.push(
            if (may_have_run && !idempotent) || query.first_step_whole.is_some() || (admitted && may_have_run)
            {
                // Clients are advised to retry a failed query only if that is safe.
                Action::Fail { query: id, retry_after: if idempotent { retry_after } else { 0.0 }, cause }
            } else {
                Action::Refuse { query: id, retry_after, cause }
            },
        );
        self.drop_query(number);
    }

    /// Closes a query and cancels its parts in flight.
    fn drop_query(&mut self, number: u64) {
        if let Some(query) = self.queries.remove(&number) {
            self.query_numbers.remove(&query.id);
            self.query_index.remove_query(query.class, self.check_times(number, &query));
            self.drop_parts(number, query.class, query.parts);
        }
    }

    /// Removes parts of a query and cancels their attempts in flight.
    fn drop_parts(&mut self, number: u64, class: usize, parts: Vec<Part>) {
        for (index, part) in parts.into_iter().enumerate() {
            self.waiting.remove(&(number, part.shard, index));
            self.part_places.remove(&part.id);
            if let Some((attempt, replica)) = part.current_attempt {
                self.query_index.remove_in_flight(class, part.last_sent, (number, index));
                let key = (part.id.clone(), attempt);
                self.query_index.untrack_attempt(replica, part.last_sent, key, (number, index));
                self.cancel(&part.id, attempt, AttemptReason::Over);
            }
        }
    }

    /// Closes connections that have been idle for too long, probes parked replicas and requests the list.
    fn maintain_replicas(&mut self) {
        let now = self.now;
        if self.measures.idle_drops.drops_detected(self.now, self.record_half_life) {
            let idle_replicas = self.replica_index.idle_longer_than(now, self.measures.idle_drops.limit);
            idle_replicas.into_iter().for_each(|number| self.close_idle(number));
        }
        let (next_probe, probes) = (now + self.min_aim * PROBE_INTERVAL_AIMS, self.settings.probes);
        for number in self.replica_index.probes_due(now) {
            let replica_id = self.update_replica(number, |replica| {
                replica.probe_at = next_probe;
                // Where probes are not allowed, the replica gets parts again instead.
                replica.parked_at = replica.parked_at.filter(|_| probes);
                replica.entry.id.clone()
            });
            self.actions.extend(replica_id.filter(|_| probes).map(|id| Action::Probe { replica: id }));
        }
        if self.settings.discovery == Discovery::Asked && self.list_requests.start_if_due(now, self.min_aim) {
            self.actions.push(Action::Subscribe);
        }
    }

    /// Requests the next wake, unless an earlier one is pending.
    fn request_wake(&mut self) {
        let (no_queries, probe_interval) = (self.queries.is_empty(), self.min_aim * PROBE_INTERVAL_AIMS);
        let wake_at = self.now
            + if no_queries {
                probe_interval * IDLE_STEP_OF_PROBE_INTERVAL
            } else {
                self.settings.tick * SWEEP_INTERVAL_TICKS
            };
        if self.next_wake.is_none_or(|at| at > wake_at || at <= self.now) {
            self.next_wake = Some(wake_at);
            self.actions.push(Action::WakeAt(wake_at));
        }
    }
}
