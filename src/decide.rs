//! Every decision of the router. Its interface (settings, events, actions) is `src/api.rs`.
//!
//! The ordinary path is C2LD's (docs/DESIGN.md). What stands beside it says which trouble it guards against.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use serde::{Deserialize, Serialize};

use crate::api::*;
use crate::hash::{draw, hash, mix};
use crate::{asking::ListRequests, cold, decaying_mean::DecayingMean, lag::StepLag, query_index::QueryIndex};
use crate::{quota::Quotas, replica_index::ReplicaIndex, trim::parts_to_leave_out};

mod indexes;
mod state;

use state::{FleetMeasures, InFlight, Part, Query, ReplicaNo, ReplicaStats};

/// Monitoring interval S, of the shortest aim: long enough to hold several parts' latencies.
const INTERVAL_OF_AIM: f64 = 0.25;
/// Intervals without a sample before a rate drifts, by half each, to the mean, and a class's spread to none.
const DRIFT_AFTER: f64 = 6.0;
/// Share of a sound replica's time that all routers together may take to find out whether it is slow still.
const GUESS_SHARE: f64 = 0.1;
/// A replica never heard, with none heard, does one cost unit in this part of the aim.
const FIRST_RATE_OF_AIM: f64 = 0.1;
/// Time between probes of a parked replica, of the shortest aim: it is missed for no longer than matters.
const PROBE_OF_AIM: f64 = 2.0 / 3.0;
/// Silence for this share of the aim, and for so many usual latencies (all may be slow), looks like a hang.
const SUSPECT_OF_AIM: f64 = 0.4;
const SUSPECT_OF_USUAL: f64 = 3.0;
/// Later parts that a replica answered first, from which one is lost and not slow: queues go about in order.
const OVERTAKEN: u32 = 4;
/// Parked and suspect replicas beyond this share mean a shared cause: parking would only pile up load.
const SHARED_CAUSE: f64 = 0.25;
/// Weight of a new part in smoothed figures (some 15 count), of a query in its class's spread (a router ends
/// few in ten seconds), and of an outcome in a replica's record (a few failures must show at once).
const SMOOTH: f64 = 0.06;
const SMOOTH_QUERIES: f64 = 0.2;
const TRUST_STEP: f64 = 0.4;
/// Time, in aims, in which half of a bad record is forgiven, so that a healed replica is tried again.
const FORGIVE_AIMS: f64 = 4.0;
/// The record's power in a rate, for repeatable parts and for unsafe ones: these can't go again.
const TRUST_POWERS: (i32, i32) = (3, 8);
/// Share of the aim that a query may be predicted to take, and the bounds of what worth for work makes of it.
const ADMIT_AT: f64 = 0.85;
const ADMIT_RANGE: (f64, f64) = (0.7, 1.2);
/// Share of the aim that queries take from which the fleet counts as pressed.
const PRESSED_AT: f64 = 0.6;
/// Mean reported utilization under which queries are slow for other reasons than a fleet with too much to do.
const BUSY_AT: f64 = 0.8;
/// How fast the fleet's best rate follows samples above it, and those below: near its 97th percentile.
const BEST_STEPS: (f64, f64) = (0.2, 0.005);
/// Finishes within this factor are a tie, and so are those within this share of the aim on a replica called
/// in this step: no client can tell. Ties go to the call (its overhead is paid), the own zone, then an order.
const TIE: f64 = 1.15;
const TIE_OF_AIM: f64 = 0.3;
/// Bounds of what the work out now, against that behind the usual latency, makes of a prediction.
const GROWTH: (f64, f64) = (0.5, 2.0);
/// Late worth under this share is not worth late work while the fleet is pressed.
const LATE_WORTH: f64 = 0.5;
/// Time between steps while nothing is held, of the time between probes.
const STEP_OF_PROBE: f64 = 0.25;
/// Share of the usual latency within which what drops idle connections answers the next send.
const DROP_OF_USUAL: f64 = 0.25;
/// Replicas that reset parts of a query, with none completed, from which the query is the likely cause.
const POISON: usize = 3;
/// Aims after a mass death in which each query risks one replica first: the next such query may come late.
const WARY_AIMS: f64 = 20.0;
/// Usual latencies without a part completed after which a replica that reset parts is dead, not just cut off.
const DEAD_AFTER_USUAL: f64 = 1.5;
/// Shares of its last parts that a replica lost, from which unsafe parts go elsewhere if they can, and that
/// it failed of a class, from which all do: what fails at once looks fast and idle, to repeats above all.
const LOSSY: f64 = 0.05;
const FAILING: f64 = 0.5;
/// Ticks between sweeps while queries are held.
const SWEEP_TICKS: f64 = 2.0;

/// The decisions of one router. See [`Router::step`]. Written down and read again, it goes on as it was.
#[derive(Default, Serialize, Deserialize)]
pub struct Router {
    #[serde(rename = "s")]
    settings: Settings,
    min_aim: Millis,
    /// Time in which half of a bad record is forgiven.
    forgive: Millis,
    rng: u64,
    own: u64,
    now: Millis,
    lag: StepLag,
    #[serde(rename = "servers")]
    replicas: BTreeMap<ReplicaNo, Box<ReplicaStats>>,
    queries: BTreeMap<u64, Query>,
    numbers: HashMap<QueryId, u64>,
    parts: HashMap<PartId, (u64, usize)>,
    #[serde(rename = "flights")]
    in_flight: HashMap<(PartId, Attempt), InFlight>,
    load_out: f64,
    fresh: Vec<u64>,
    /// Until when queries are suspect, as many replicas died at once.
    wary: Millis,
    /// Parts to send, oldest query first, then by shard: neighbours of one query join the same calls.
    waiting: BTreeSet<(u64, Shard, usize)>,
    #[serde(rename = "m")]
    measures: FleetMeasures,
    asking: ListRequests,
    wake: Option<Millis>,
    #[serde(skip)]
    actions: Vec<Action>,
    /// What can be reckoned from the rest, kept so that no step looks at all there is; none until needed.
    #[serde(skip)]
    replica_index: ReplicaIndex,
    #[serde(skip)]
    query_index: QueryIndex,
    #[serde(skip)]
    indexed: bool,
}

fn blend(old: Option<f64>, new: f64) -> f64 {
    old.map_or(new, |old| old + SMOOTH * (new - old))
}

/// Leaves those in the pool that hold to a wish, if any do.
fn prefer(pool: &mut Vec<&ReplicaStats>, wish: impl Fn(&ReplicaStats) -> bool) {
    if pool.iter().any(|s| wish(s)) {
        pool.retain(|s| wish(s));
    }
}

impl Router {
    /// A router with nothing known but its settings; `seed` is its only source of chance.
    ///
    /// # Errors
    /// Says which setting contradicts itself.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, String> {
        let rng = mix(seed ^ 0x9e37_79b9_7f4a_7c15);
        let mut router = Router { rng, own: rng, ..Router::default() };
        router.apply_settings(settings)?;
        Ok(router)
    }

    /// Takes up other settings, in which classes that are held keep their places. What was learned stays.
    ///
    /// # Errors
    /// Says which setting contradicts itself.
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

    /// Takes in all that happened by `now` and says what to do.
    pub fn step(&mut self, now: Millis, events: Vec<Event>) -> Vec<Action> {
        self.lag.record_step(self.wake, now, self.min_aim, self.forgive);
        self.now = now;
        if !self.indexed {
            self.index();
        }
        self.replica_index.expire_utilizations(now - self.forgive);
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

    /// The replicas that new parts avoid.
    pub fn parked(&self) -> impl Iterator<Item = &ReplicaId> {
        self.replicas.values().filter(|s| s.parked.is_some()).map(|s| &s.line.id)
    }

    /// What was learned, as text for the router of the process that takes over.
    pub fn export_learned(&self) -> String {
        serde_json::to_string(&(&self.measures, self.replicas.values().collect::<Vec<_>>()))
            .unwrap_or_default()
    }

    /// Takes over what another router learned, before any list; `false` and no change if it can't be read.
    pub fn import_learned(&mut self, learned: &str) -> bool {
        let read = serde_json::from_str::<(FleetMeasures, Vec<ReplicaStats>)>(learned);
        let Ok((measures, replicas)) = read else { return false };
        let idle = |s| ReplicaStats { in_flight: 0, out: 0.0, sent: (0, 0.0), used: None, idle: None, ..s };
        (self.measures, self.replicas) =
            (measures, replicas.into_iter().map(|s| (s.number, Box::new(idle(s)))).collect());
        self.apply_settings(self.settings.clone()).is_ok()
    }

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

    fn take_list(&mut self, news: ListUpdate) {
        let (by_service, whole) =
            (!matches!(news, ListUpdate::Cached(_)), !matches!(news, ListUpdate::Changes(_)));
        let (ListUpdate::Full(lines) | ListUpdate::Cached(lines) | ListUpdate::Changes(lines)) = news else {
            let chance = draw(&mut self.rng);
            let limits = (self.settings.list_refresh_within, self.settings.routers);
            return self.asking.record_failure(self.now, self.min_aim, limits, chance);
        };
        self.asking.record_list(by_service);
        if whole {
            self.replicas.values_mut().for_each(|replica| replica.line.state = ReplicaState::Gone);
        }
        for line in lines {
            let number = hash(&line.id.0);
            let before = self.replicas.get(&number).map(|replica| replica.facts()).filter(|_| !whole);
            match self.replicas.get_mut(&number) {
                // A new start time is a new process: nothing learned of the old one holds.
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
                    .update(before.as_ref(), self.replicas.get(&number).map(|s| s.facts()).as_ref());
            }
        }
        if whole {
            self.replica_index = self.counted();
        }
        for number in self.replica_index.gone() {
            if let Some(replica) = self.replicas.get(&number).filter(|s| s.in_flight == 0) {
                self.replica_index.update(Some(&replica.facts()), None);
                self.replicas.remove(&number);
            }
        }
    }

    fn take_query(&mut self, new: NewQuery) {
        let class = new.class.0.min(self.settings.classes.len() - 1);
        self.measures.budget.record(self.settings.budget, self.now, false);
        let mut worth = self.settings.classes[class].worth;
        let tenant = new.tenant.map_or(usize::MAX, |TenantIndex(tenant)| tenant);
        if !self.measures.quota.charge(tenant, &self.settings.tenants, self.settings.routers, self.now) {
            worth *= self.settings.over_share_worth;
        }
        let NewQuery { id, number, deadline, arrived, .. } = new;
        self.numbers.insert(id.clone(), number);
        let accepted = arrived.min(self.now);
        let query = Query { id, class, accepted, deadline, worth, ..Query::default() };
        self.query_index.insert_query(class, self.ends(number, &query));
        self.queries.insert(number, query);
        self.fresh.push(number);
    }

    fn take_part(&mut self, new: NewPart) {
        self.measures.budget.record(self.settings.budget, self.now, false);
        let Some(query) = self.queries.get_mut(&new.query) else { return };
        let hint = new.cost_hint.filter(|hint| *hint > 0.0);
        self.measures.hint = hint.map(|hint| blend(self.measures.hint, hint)).or(self.measures.hint);
        let cost = hint.zip(self.measures.hint).map_or(1.0, |(hint, mean)| hint / mean);
        self.measures.further.earn(self.settings.routers, query.parts.len() + 1);
        // One key has one order at all routers where that keeps caches warm; else each query has its own.
        let key =
            new.key.as_deref().filter(|_| self.settings.warm_keys).map_or(mix(self.own ^ new.query), hash);
        let NewPart { id, shard, weight, .. } = new;
        self.parts.insert(id.clone(), (new.query, query.parts.len()));
        self.waiting.insert((new.query, shard, query.parts.len()));
        self.query_index.mark_changed(new.query);
        query.parts.push(Part { id, shard, weight, cost, key, ..Part::default() });
    }

    fn take_outcome(&mut self, end: AttemptEnded) {
        let AttemptEnded { part: id, attempt, outcome, latency, load, .. } = end;
        let Some(((id, _), flight)) = self.in_flight.remove_entry(&(id, attempt)) else { return };
        if flight.cancelled.is_none() {
            self.load_out = (self.load_out - flight.cost).max(0.0);
        }
        self.record_end(&flight, outcome, latency, load);
        let Some(&(number, index)) = self.parts.get(&id) else { return };
        self.query_index.remove_in_flight(flight.class, flight.sent, (number, index));
        self.query_index.untrack_attempt(flight.replica, flight.sent, (id, attempt), (number, index));
        self.query_index.mark_changed(number);
        let Some(query) = self.queries.get_mut(&number) else { return };
        if outcome == Outcome::Reset && query.resets.iter().all(|(replica, _)| *replica != flight.replica) {
            query.resets.push((flight.replica, flight.idle.is_none()));
            if flight.idle.is_none() {
                self.query_index.mark_reset(number);
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

    fn measure(&mut self, flight: &InFlight, latency: Millis) {
        let most = self.measures.usual.unwrap_or(latency) * SUSPECT_OF_USUAL;
        self.measures.usual = Some(blend(self.measures.usual, latency.min(most)));
        self.measures.load_then = Some(blend(self.measures.load_then, flight.load_then));
        let dr = flight.cost / latency.max(self.settings.tick);
        let best = self.measures.best.unwrap_or(dr);
        self.measures.best = Some(best + (dr - best) * if dr > best { BEST_STEPS.0 } else { BEST_STEPS.1 });
    }

    fn record_end(&mut self, flight: &InFlight, outcome: Outcome, latency: Millis, load: Option<LoadReport>) {
        let (now, forgive, forget) = (self.now, self.forgive, self.in_turn(self.forgive));
        // What drops idle connections unseen answers the next send at once.
        let quick = latency <= self.measures.usual.unwrap_or(latency) * DROP_OF_USUAL;
        let dropped = outcome == Outcome::Reset && flight.idle.is_some() && quick;
        let died = !dropped && matches!(outcome, Outcome::Reset | Outcome::ConnectFailed);
        if outcome == Outcome::Completed {
            self.overtake(flight);
        }
        if let (true, Some(idle)) = (dropped || outcome == Outcome::Completed, flight.idle) {
            if dropped {
                self.measures.further.refund();
            }
            self.measures.idle.record_send(idle, dropped, now, forgive);
        }
        self.measures.traffic.record_attempt_end(!outcome.never_ran());
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
            replica.lost.record(f64::from(u8::from(lost)), SMOOTH, now, forgive);
        }
        if matches!(outcome, Outcome::Completed | Outcome::Cancelled) {
            replica.pace.record(flight.ahead, latency.max(self.settings.tick), outcome == Outcome::Completed);
        }
        match outcome {
            Outcome::Completed => {
                replica.dr = replica.dr.filter(|_| self.lag.stall_ended == now).or(Some(dr));
                (replica.heard, replica.answered, replica.parked, replica.idle) = (now, now, None, None);
                replica.failed[flight.class].record(0.0, TRUST_STEP, now, forget);
                measures = self.lag.stall_ended < now;
            }
            // A connection dropped while idle says nothing of its replica.
            Outcome::Reset if dropped => replica.used = None,
            // Quick failures are no speed: they leave the rate and lower the record with the class.
            Outcome::Errored | Outcome::Reset | Outcome::Rejected => {
                replica.answered = now;
                // A connection that breaks ends many parts in one step, by one cause: it counts once.
                if replica.failed[flight.class].1 < now {
                    replica.failed[flight.class].record(1.0, TRUST_STEP, now, forget);
                }
            }
            // A replica that answered others meanwhile is slow, not gone: its rate says so.
            Outcome::TimedOut if replica.answered > flight.sent => {
                replica.dr = Some(replica.dr.map_or(dr, |old| old.min(dr)));
                replica.heard = now;
            }
            Outcome::TimedOut if self.lag.stall_ended == now => {}
            Outcome::TimedOut | Outcome::ConnectFailed => hung = true,
            // What was called back took at least so long: of a slow replica often the only sample.
            Outcome::Cancelled if self.lag.stall_ended < now && dr < known => {
                (replica.dr, replica.heard) = (Some(dr), now);
            }
            Outcome::Cancelled | Outcome::NotSent => {}
        }
        self.replica_index.update(Some(&before), Some(&replica.facts()));
        if measures {
            self.measure(flight, latency);
        }
        if hung {
            self.park(flight.replica, outcome == Outcome::ConnectFailed);
        }
    }

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

    /// Parks a replica, unless too many are and it is not sure to be gone; says whether it is parked.
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

    fn interval(&self) -> i64 {
        (self.now / (self.min_aim * INTERVAL_OF_AIM)).floor() as i64
    }

    fn mean_rate(&self, class: usize) -> f64 {
        self.measures.mean.unwrap_or(1.0 / (self.settings.classes[class].aim * FIRST_RATE_OF_AIM))
    }

    /// DR now, in cost units a millisecond.
    fn rate(&self, replica: &ReplicaStats, class: usize) -> f64 {
        let mean = self.mean_rate(class);
        let Some(dr) = replica.dr else { return mean };
        let after = self.in_turn(self.min_aim * INTERVAL_OF_AIM * DRIFT_AFTER);
        let stale = ((self.now - replica.heard) / after - 1.0) * DRIFT_AFTER;
        mean + (dr - mean) * 0.5f64.powf(stale.max(0.0))
    }

    /// When one of many routers guesses anew at a replica, if a lone one does after so long. Each meets it
    /// seldom: at the pace of a lone one all together would bury a slow one in guesses.
    fn in_turn(&self, lone: Millis) -> Millis {
        let rate = self.measures.best.unwrap_or(1.0 / (self.min_aim * FIRST_RATE_OF_AIM));
        lone.max(f64::from(self.settings.routers) / (rate * GUESS_SHARE))
    }

    /// Room at a cold replica, and the most there can be; `None` if it is warm.
    fn cold_room(&self, replica: &ReplicaStats, class: usize) -> Option<(f64, f64)> {
        let (cold, started) = (self.settings.cold?, replica.line.started?);
        let best = self.measures.best.unwrap_or(self.mean_rate(class));
        let traffic = (&self.measures.traffic, self.settings.routers);
        cold::allowance(&cold, (started, self.now), replica.cold, best, traffic)
    }

    /// How long a replica may be silent before a hang is the likely cause.
    fn patience(&self, class: usize) -> Millis {
        (self.settings.classes[class].aim * SUSPECT_OF_AIM)
            .max(self.measures.usual.unwrap_or(0.0) * SUSPECT_OF_USUAL)
    }

    /// Refuses what would only finish late, by worth for work: the dear survive overload.
    fn admit(&mut self) {
        for number in std::mem::take(&mut self.fresh) {
            let Some(query) = self.queries.get(&number) else { continue };
            let per = if self.settings.worth_by_work { 1.0 } else { query.parts.len().max(1) as f64 };
            let (density, parts) = (query.worth / per, query.parts.len());
            let usual = blend(self.measures.density, density);
            self.measures.density = Some(usual);
            self.measures.traffic.record_query(parts, SMOOTH_QUERIES);
            let factor = (density / usual.max(f64::MIN_POSITIVE)).sqrt().clamp(ADMIT_RANGE.0, ADMIT_RANGE.1);
            if let Some(why) = self.spare_laden(number, ADMIT_AT * factor.min(1.0)) {
                self.end_query(number, false, why);
            }
            let Some(query) = self.queries.get(&number) else { continue };
            let class = query.class;
            let cost: f64 = query.parts.iter().map(|p| p.cost).sum();
            // Parts of a query see half of their fellows out on average.
            let load = self.load_out + cost * 0.5;
            let growth =
                (load / self.measures.load_then.unwrap_or(load).max(cost * 0.5)).clamp(GROWTH.0, GROWTH.1);
            let predicted = self.pace(class) * growth;
            // What its client will not wait for is work for nobody, however idle the fleet.
            let spread = self.measures.spread[class].at(self.now, self.in_turn(self.forgive));
            // One of many routers has few reports, and soon none: for it no report is a sign as well.
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
                self.leave_out(number, parts_to_leave_out(&weights, class, predicted > PRESSED_AT));
            }
        }
    }

    fn leave_out(&mut self, number: u64, parts: Vec<usize>) {
        let Some(query) = self.queries.get_mut(&number) else { return };
        for index in parts {
            query.parts[index].left_out = true;
            self.query_index.mark_changed(number);
            self.waiting.remove(&(number, query.parts[index].shard, index));
        }
    }

    /// Whether what this router has out at a replica takes a share of the aim, as far as it knows.
    fn laden(&self, replica: &ReplicaStats, class: usize, share: f64) -> bool {
        replica.pace.is_saturated(replica.out, self.settings.classes[class].aim * share)
    }

    /// Leaves out parts that none could take, or only laden replicas; says why if too few remain for an
    /// answer. The cheap may predict less time there than the dear: what it can still do goes to these.
    fn spare_laden(&mut self, number: u64, share: f64) -> Option<Cause> {
        let query = self.queries.get(&number)?;
        // Before any list nothing is known to be missing.
        self.replica_index.any_listed().then_some(())?;
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

    fn note_pace(&mut self, number: u64, served: bool) {
        // One cut short would have taken longer: its aim stands for that, if its client meant to wait for it.
        let meant = |q: &&Query| served || q.deadline - q.accepted >= self.settings.classes[q.class].aim;
        let Some(query) = self.queries.get(&number).filter(meant) else { return };
        let until = if served { query.enough_at.unwrap_or(self.now) } else { self.now };
        let took =
            (until - query.accepted).max(if served { 0.0 } else { self.settings.classes[query.class].aim });
        let spread = took / self.measures.usual.unwrap_or(took).max(self.settings.tick);
        let (class, known) = (query.class, self.spread(query.class));
        self.measures.spread[class] = DecayingMean(known + SMOOTH_QUERIES * (spread - known), self.now);
    }

    /// A class of which all is refused tells nothing more: what is known of it goes stale, as a rate does, or
    /// one bad moment would turn the class away for good.
    fn spread(&self, class: usize) -> f64 {
        let DecayingMean(spread, at) = self.measures.spread[class];
        let stale = (self.now - at) / (self.min_aim * INTERVAL_OF_AIM) - DRIFT_AFTER;
        spread * 0.5f64.powf(stale.max(0.0))
    }

    /// How long queries of a class take just now, in aims. Parts tell of a change sooner than queries do.
    fn pace(&self, class: usize) -> f64 {
        self.spread(class) * self.measures.usual.unwrap_or(0.0) / self.settings.classes[class].aim
    }

    /// Whether the fleet has little room, by what replicas reported lately; `None` if none did: it may have.
    fn busy(&self) -> Option<bool> {
        let (busy, told) = self.replica_index.utilization();
        (told > 0).then_some(busy >= BUSY_AT * told as f64)
    }

    /// Until when work for a query is worth doing. Under pressure late work only makes more work late, so
    /// what earns little after the aim ends there; unsafe parts run on, since nothing can replace them.
    fn useful_until(&self, query: &Query) -> Millis {
        if self.ends_at_aim(query.class) {
            query.deadline.min(query.accepted + self.settings.classes[query.class].aim)
        } else {
            query.deadline
        }
    }

    fn ends_at_aim(&self, class: usize) -> bool {
        let pressed = self.busy() != Some(false) && self.pace(class) > PRESSED_AT;
        let class = &self.settings.classes[class];
        pressed && class.repeat != RepeatPolicy::Unsafe && class.late_worth < LATE_WORTH
    }

    /// Whether the rules of its class and the count of attempts allow the part one more.
    fn may_send(&self, part: &Part, class: usize) -> bool {
        let spent = part.done || part.out.is_some() || part.attempts >= self.settings.max_attempts;
        !spent && self.settings.classes[class].repeat.allows(part.may_have_run, self.now)
    }

    fn place(&mut self) {
        self.measures.mean = self.replica_index.mean_rate();
        self.measures.traffic.update(self.now, self.settings.cold, self.replica_index.load_reports());
        let since = self.now - self.forgive;
        let before = self.now - self.measures.usual.unwrap_or(0.0) * DEAD_AFTER_USUAL;
        let dead =
            |(number, at): &(ReplicaNo, Millis)| self.replicas.get(number).is_some_and(|s| s.heard < *at);
        let died = self.replica_index.died_between(since, before).filter(dead).count();
        if died as f64 > SHARED_CAUSE * self.replicas.len() as f64 {
            self.wary = self.now + self.min_aim * WARY_AIMS;
        }
        for entry @ (number, _, index) in self.waiting.clone() {
            let Some(query) = self.queries.get(&number) else { continue };
            let part = &query.parts[index];
            // A query that may kill what takes it risks one replica until a part of it has completed.
            let risky = query.share == 0.0 && (self.now < self.wary || query.resets.len() >= POISON);
            let held = (risky && query.parts.iter().any(|p| p.out.is_some()))
                || (part.attempts > 0 && !self.measures.budget.allows_retry(self.settings.budget, self.now));
            if held || !self.may_send(part, query.class) {
                continue;
            }
            if let Some((replica, choice)) = self.choose(part, query.class) {
                self.waiting.remove(&entry);
                self.send(number, index, replica, choice);
            }
        }
    }

    /// The listed replicas that hold a shard.
    fn holders(&self, shard: Shard) -> Vec<&ReplicaStats> {
        let holders = self.replica_index.holders(shard);
        holders.iter().filter_map(|number| self.replicas.get(number).map(|s| &**s)).collect()
    }

    /// The replica of the part's shard with the least finish; `None` if none may take it now.
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
        // Where all are parked or full, tries are not thrown at them at once, nor is the last.
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
        // A record recovers with a few parts. What can't go again needs a longer memory.
        if self.settings.classes[class].repeat == RepeatPolicy::Unsafe {
            prefer(&mut pool, |s| s.lost.at(self.now, self.forgive) < LOSSY);
        }
        // DR weighed by what the replica completes. An unsafe part can't go again after an error: there
        // its replica's worst record counts, and before speed.
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
        // A reported queue is worked off at DR: an old report must not keep parts away for good.
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
            // Nothing drops connections idle for less than an aim: what fails there has other causes.
            let fatal = |idle: &Millis| *idle > self.min_aim && *idle < most;
            replica.idle = replica.used.map(|used| self.now - used).filter(fatal);
        }
        replica.used = Some(self.now);
        replica.in_flight += 1;
        replica.call = (self.now, if replica.call.0 == self.now { replica.call.1 + 1 } else { 1 });
        replica.cold = (room.map_or(0.0, |(room, _)| room - part.cost), self.now);
        self.replica_index.update(Some(&before), Some(&replica.facts()));
        let (class, sent, cost, idle, ahead) = (query.class, self.now, part.cost, replica.idle, replica.out);
        let load_then = self.load_out;
        let flight =
            InFlight { replica: to, class, sent, cost, idle, load_then, ahead, ..InFlight::default() };
        self.load_out += cost;
        let timeout = (until - self.now).max(self.settings.tick);
        let (reason, part, replica_id) = (part.reason, part.id.clone(), replica.line.id.clone());
        self.query_index.insert_in_flight(class, sent, (number, index));
        self.query_index.track_attempt(to, sent, (part.clone(), attempt), None);
        self.in_flight.insert((part.clone(), attempt), flight);
        self.actions.push(Action::Send { part, replica: replica_id, timeout, reason, choice });
        if again {
            self.measures.further.spend(self.settings.routers);
            self.measures.budget.record(self.settings.budget, self.now, true);
        }
    }

    fn cancel(&mut self, id: &PartId, attempt: Attempt, reason: AttemptReason) {
        let out = self.in_flight.get_mut(&(id.clone(), attempt)).filter(|f| f.cancelled.is_none());
        if let (Some(flight), true) = (out, self.settings.may_cancel) {
            flight.cancelled = Some(reason);
            self.load_out = (self.load_out - flight.cost).max(0.0);
            if let Some(place) = self.parts.get(id) {
                self.query_index.untrack_attempt(flight.replica, flight.sent, (id.clone(), attempt), *place);
            }
            self.actions.push(Action::Cancel { part: id.clone(), attempt, reason });
        }
    }

    // ---- looking after what is out

    /// Looks at the queries that are due, in their order.
    fn sweep(&mut self) {
        let step = self.settings.tick * SWEEP_TICKS;
        let mut due = self.due_now(step);
        let mut cut: Vec<bool> =
            (0..self.settings.classes.len()).map(|class| self.ends_at_aim(class)).collect();
        while let Some(number) = due.pop_first() {
            let Some(class) = self.queries.get(&number).map(|query| query.class) else { continue };
            self.look_after_query(number, step);
            // One that is slow may be the sign by which the next ones end at their aims.
            if self.ends_at_aim(class) && !std::mem::replace(&mut cut[class], true) {
                due.extend(self.query_index.past_aim(class, self.now + step).filter(|next| *next > number));
            }
        }
    }

    /// Ends a query at the right moment, and sends again what fell silent.
    fn look_after_query(&mut self, number: u64, step: Millis) {
        let Some(query) = self.queries.get(&number) else { return };
        let class = &self.settings.classes[query.class];
        let enough = query.share > 0.0 && query.share >= class.least_share;
        // What is given at the aim itself reaches its client late, and earns next to nothing.
        let lag = self.lag.answer_margin(self.now, class.aim, self.forgive);
        let moment = (query.accepted + class.aim).min(query.deadline) - step * 2.0 - lag;
        let late = self.now + step >= self.useful_until(query);
        let all = query.share > 0.0 && query.parts.iter().all(|p| p.done);
        let whole =
            all || (query.second.is_none() && query.share >= class.whole_from && class.whole_from < 1.0);
        let dead = |p: &Part| !p.done && p.out.is_none() && !p.left_out && !self.may_send(p, query.class);
        let settled = query.parts.iter().all(|p| p.done || p.left_out || dead(p));
        // Poison: whatever begins a part of it dies, and nothing of it completes. It is not sent again.
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

    /// What keeps the first part that is missing from coming in.
    fn why_late(&self, query: &Query) -> Cause {
        let missing = query.parts.iter().find(|p| !p.done && !p.left_out);
        missing.map_or(Cause::TimeUp, |part| self.why_missing(part))
    }

    fn why_missing(&self, part: &Part) -> Cause {
        let holders = self.holders(part.shard);
        match self.replica_index.any_listed() {
            false => Cause::NoList,
            _ if holders.is_empty() => Cause::NoHolder(part.shard),
            _ if holders.iter().all(|s| s.line.state == ReplicaState::Draining) => Cause::Drained(part.shard),
            _ if holders.iter().all(|s| s.parked.is_some()) => Cause::AllParked(part.shard),
            _ => Cause::TimeUp,
        }
    }

    /// A replica that goes on answering may still lose parts. Such a part goes elsewhere at once if it may,
    /// at no budget's cost, and counts in the replica's record, which keeps unsafe parts away from it.
    fn retry_lost(&mut self, number: u64) {
        let Some(query) = self.queries.get(&number) else { return };
        let (class, now, forgive, forget) = (query.class, self.now, self.forgive, self.in_turn(self.forgive));
        let since = now - self.measures.usual.unwrap_or(0.0) * SUSPECT_OF_USUAL;
        for (index, id, (attempt, replica), sent, attempts) in query.out_since(since) {
            let lost = |f: &&mut InFlight| f.cancelled.is_none() && f.overtaken >= OVERTAKEN;
            let Some(flight) = self.in_flight.get_mut(&(id.clone(), attempt)).filter(lost) else { continue };
            // It counts once, also where it stays out.
            flight.overtaken = 0;
            self.query_index.untrack_attempt(replica, sent, (id.clone(), attempt), (number, index));
            self.query_index.track_attempt(replica, sent, (id.clone(), attempt), None);
            if let Some(replica) = self.replicas.get_mut(&replica) {
                replica.failed[class].record(1.0, TRUST_STEP, now, forget);
                replica.lost.record(1.0, SMOOTH, now, forgive);
            }
            let safe = self.settings.classes[class].repeat != RepeatPolicy::Unsafe;
            if safe && attempts < self.settings.max_attempts {
                self.measures.further.refund();
                self.cancel(&id, attempt, AttemptReason::Overtaken);
            }
        }
    }

    /// A part out for longer than patience on a replica silent since: the replica looks hung. It is
    /// parked, and the part is called back, to go elsewhere if that is in time and within the share for such.
    fn retry_silent(&mut self, number: u64) {
        let Some(query) = self.queries.get(&number) else { return };
        let class = query.class;
        let since = self.now - self.patience(class);
        // Repeats are load: none when all are slow, as then they only make it worse.
        let slow = self.busy() != Some(false) && self.pace(class) > PRESSED_AT;
        let none = slow || self.now + self.measures.usual.unwrap_or(0.0) > query.deadline;
        let safe = self.settings.classes[class].repeat != RepeatPolicy::Unsafe;
        for (index, id, (attempt, replica), sent, attempts) in query.out_since(since) {
            let Some(known) = self.replicas.get(&replica).filter(|s| s.answered < sent) else {
                self.query_index.remove_in_flight(class, sent, (number, index));
                continue;
            };
            let Some(flight) = self.in_flight.get(&(id.clone(), attempt)) else { continue };
            // One that no other could take the part from is waited for as long as its own rate explains.
            let other = |s: &ReplicaStats| {
                s.number != replica && s.parked.is_none() && s.line.state == ReplicaState::Active
            };
            let alone = !self.holders(self.queries[&number].parts[index].shard).into_iter().any(other);
            let usual = known.pace.time_for(flight.ahead) * SUSPECT_OF_USUAL;
            if self.lag.stall_ended > since || (alone && self.now - sent < usual) {
                continue;
            }
            let again = safe && attempts < self.settings.max_attempts;
            // Silence on an idle connection is not the replica's only where resets say that such are dropped.
            let idle = flight.cancelled.is_none() && flight.idle.is_some();
            let dropped = idle && self.measures.idle.drops_detected(self.now, self.forgive);
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

    fn let_go(&mut self, number: ReplicaNo) {
        let closed = self.change(number, |replica| {
            replica.used = None;
            replica.line.id.clone()
        });
        self.actions.extend(closed.map(|id| Action::CloseIdle { replica: id }));
    }

    fn answer(&mut self, number: u64, whole: bool) {
        let Some(query) = self.queries.get_mut(&number) else { return };
        self.measures.advice.record(false, self.now, self.forgive);
        let two_steps = self.settings.classes[query.class].second_step_parts > 0;
        let whole = whole && query.second.unwrap_or(true);
        self.actions.push(Action::Answer { query: query.id.clone(), whole });
        if two_steps && query.second.is_none() {
            (query.second, query.share) = (Some(whole), 0.0);
            let (class, parts) = (query.class, std::mem::take(&mut query.parts));
            self.drop_parts(number, class, parts);
            self.note_enough(number);
            self.query_index.mark_changed(number);
        } else {
            self.drop_query(number);
        }
    }

    /// Refuses a query if no part of it may have had an effect, else fails it.
    fn end_query(&mut self, number: u64, late: bool, cause: Cause) {
        let Some(query) = self.queries.get(&number) else { return };
        let class = &self.settings.classes[query.class];
        let ran = query.parts.iter().any(|p| p.may_have_run.is_some() || p.out.is_some() || p.done);
        let id = query.id.clone();
        self.measures.advice.record(true, self.now, self.forgive);
        let (faded, chance) = ((self.now, self.forgive), draw(&mut self.rng));
        let retry_after =
            self.measures.advice.retry_after(class.aim, self.settings.max_retry_after, faded, chance);
        let safe = class.repeat == RepeatPolicy::Safe;
        self.actions.push(if (ran && !safe) || query.second.is_some() || (late && ran) {
            // Only what is safe to repeat is asked back.
            Action::Fail { query: id, retry_after: if safe { retry_after } else { 0.0 }, cause }
        } else {
            Action::Refuse { query: id, retry_after, cause }
        });
        self.drop_query(number);
    }

    fn drop_query(&mut self, number: u64) {
        if let Some(query) = self.queries.remove(&number) {
            self.numbers.remove(&query.id);
            self.query_index.remove_query(query.class, self.ends(number, &query));
            self.drop_parts(number, query.class, query.parts);
        }
    }

    fn drop_parts(&mut self, number: u64, class: usize, parts: Vec<Part>) {
        for (index, part) in parts.into_iter().enumerate() {
            self.waiting.remove(&(number, part.shard, index));
            self.parts.remove(&part.id);
            if let Some((attempt, replica)) = part.out {
                self.query_index.remove_in_flight(class, part.last_sent, (number, index));
                let key = (part.id.clone(), attempt);
                self.query_index.untrack_attempt(replica, part.last_sent, key, (number, index));
                self.cancel(&part.id, attempt, AttemptReason::Over);
            }
        }
    }

    fn look_after_replicas(&mut self) {
        let now = self.now;
        if self.measures.idle.drops_detected(self.now, self.forgive) {
            let idle = self.replica_index.idle_longer_than(now, self.measures.idle.limit);
            idle.into_iter().for_each(|number| self.let_go(number));
        }
        let (next, probes) = (now + self.min_aim * PROBE_OF_AIM, self.settings.probes);
        for number in self.replica_index.probes_due(now) {
            let replica_id = self.change(number, |replica| {
                replica.probe_at = next;
                replica.parked = replica.parked.filter(|_| probes);
                replica.line.id.clone()
            });
            self.actions.extend(replica_id.filter(|_| probes).map(|id| Action::Probe { replica: id }));
        }
        if self.settings.discovery == Discovery::Asked && self.asking.start_if_due(now, self.min_aim) {
            self.actions.push(Action::Subscribe);
        }
    }

    fn set_wake(&mut self) {
        let (idle, probe) = (self.queries.is_empty(), self.min_aim * PROBE_OF_AIM);
        let due = self.now + if idle { probe * STEP_OF_PROBE } else { self.settings.tick * SWEEP_TICKS };
        if self.wake.is_none_or(|at| at > due || at <= self.now) {
            self.wake = Some(due);
            self.actions.push(Action::WakeAt(due));
        }
    }
}
