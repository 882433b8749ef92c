//! Limits what one router of a fleet may send to a replica that has just started.
//!
//! A cold replica can take a limited load from all routers together, and the routers share no state. Equal
//! shares would leave most of the limit unused: a router that seldom has a part for the replica saves up no
//! more than one, while a busy router has used up its share. So each router takes its share of the fleet's
//! traffic, as far as replicas report what they serve: all shares still add up to one, and each router can
//! use its own.

use serde::{Deserialize, Serialize};

use crate::api::{ColdRule, LoadReport, Millis};
use crate::exact::Exact;

/// Utilization under which a report tells too little of what its replica could do.
const TELLING: f64 = 0.2;
/// Standard deviations by which a count may lie above what is to be expected.
const CHANCE: f64 = 2.0;
/// Share of the most that a cold replica bears which is aimed at: the rest is for chance.
const AIMED: f64 = 0.5;

/// Upper bound of the pace that reports can show: a replica that has hardly begun shows next to nothing.
const MOST_PACE: f64 = 1000.0;
/// Queries of a router for which it keeps a call that it may send to a cold replica.
const KEPT_FOR: f64 = 2.0;

/// A router's own part in what the fleet serves, counted over about the time in which a replica gets warm.
#[derive(Debug, Default, Clone, Serialize, Deserialize)]
#[serde(default)]
pub struct Traffic {
    /// Parts of this router and of the whole fleet that were worked on, both faded alike, and until when.
    own: f64,
    fleet: f64,
    at: Millis,
    /// What all replicas together serve by their reports, in parts a millisecond; 0 where they don't tell.
    rate: f64,
    /// What a warm replica can serve, in parts a millisecond, where reports tell.
    capacity: Option<f64>,
    /// How many times sooner than at the latest replicas get warm, as those that are cold now report.
    pace: f64,
    /// Parts of a query, smoothed.
    clump: Option<f64>,
    /// Queries of this router, and the time in which they came, both faded alike.
    queries: f64,
    seen: Millis,
}

impl Traffic {
    /// Takes in the last reports of the replicas. Counts decay over the longest time that a replica takes to
    /// warm up.
    pub fn told(&mut self, now: Millis, rule: Option<ColdRule>, reports: &Reports) {
        let Some(rule) = rule else { return };
        let span = rule.warm_within.max(1.0);
        let keep = (-(now - self.at) / span).exp();
        self.queries *= keep;
        self.seen = if self.at > 0.0 { self.seen * keep + (now - self.at) } else { 0.0 };
        if self.rate > 0.0 {
            self.own *= keep;
            self.fleet = self.fleet * keep + self.rate * span * (1.0 - keep);
        }
        self.at = now;
        let Reports { all, tell, served, warm, cold } = reports;
        self.rate = if *tell > 0 { served.value() / 1000.0 * *all as f64 / *tell as f64 } else { 0.0 };
        let busy = warm.busy.value();
        self.capacity = if busy > 0.0 { Some(warm.served.value() / 1000.0 / busy) } else { self.capacity };
        self.pace = self.capacity.map_or(1.0, |capacity| cold.pace(rule.from, capacity));
    }

    /// A query of so many parts came in; each new one counts for one in so many of the mean.
    pub fn asked(&mut self, parts: usize, smooth: f64) {
        let clump = self.clump.unwrap_or(parts as f64);
        self.clump = Some(clump + smooth * (parts as f64 - clump));
        self.queries += 1.0;
    }

    /// An attempt of this router has ended, and may have been worked on.
    pub fn worked(&mut self, may_have: bool) {
        if may_have && self.rate > 0.0 {
            self.own += 1.0;
        }
    }

    /// The time between two queries of this router; none before any is known.
    fn between(&self) -> Millis {
        if self.queries >= 1.0 {
            self.seen / self.queries
        } else {
            0.0
        }
    }

    /// Returns this router's share of the fleet's traffic, of `routers` routers. The assumption of equal
    /// shares weighs as much as one query of each router, as a single query says little.
    fn share(&self, routers: f64) -> f64 {
        let guess = self.clump.unwrap_or(1.0).max(1.0);
        ((self.own + guess) / (self.fleet + guess * routers)).min(1.0)
    }
}

/// What all replicas reported last, in sums that are kept as it changes.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct Reports {
    all: usize,
    /// Of those that tell what they serve: how many, and parts a second.
    tell: usize,
    served: Exact,
    /// Of these, those that are warm and busy enough to tell what they could do, and those that are cold.
    warm: Sums,
    cold: Sums,
}

/// Sums over reports of some replicas.
#[derive(Debug, Default, Clone, PartialEq)]
struct Sums {
    /// Parts a second, busy shares, and busy shares times the way to be warm that was behind.
    served: Exact,
    busy: Exact,
    grown: Exact,
}

impl Reports {
    /// Adds a replica's report. `age` is the time since the replica's start as a fraction of the longest
    /// warm-up time, if a start is known.
    pub fn add(&mut self, load: LoadReport, age: Option<f64>) {
        self.all += 1;
        self.count(load, age, Exact::add, |tell| tell + 1);
    }

    /// A report that was added holds no longer.
    pub fn take(&mut self, load: LoadReport, age: Option<f64>) {
        self.all -= 1;
        self.count(load, age, Exact::take, |tell| tell - 1);
    }

    fn count(
        &mut self,
        load: LoadReport,
        age: Option<f64>,
        sum: fn(&mut Exact, f64),
        tell: fn(usize) -> usize,
    ) {
        let Some(served) = load.throughput else { return };
        self.tell = tell(self.tell);
        sum(&mut self.served, served);
        let (sums, busy, age) = match (load.utilization, age) {
            (Some(busy), Some(age)) if age < 1.0 => (&mut self.cold, busy, age),
            (Some(busy), _) if busy >= TELLING => (&mut self.warm, busy, 1.0),
            _ => return,
        };
        sum(&mut sums.served, served);
        sum(&mut sums.busy, busy);
        sum(&mut sums.grown, busy * age);
    }
}

impl Sums {
    /// Returns a lower bound of how many times faster than the longest warm-up time these replicas get warm.
    ///
    /// A cold replica that is busy for a share of its time serves that share of its present capacity, which
    /// begins at `from`. So together they serve their busy shares times `from + (1 - from) * pace * age`.
    /// What they serve in a second is a count, which may be too high by chance.
    fn pace(&self, from: f64, capacity: f64) -> f64 {
        let served = self.served.value();
        let sure = served / 1000.0 * (1.0 - CHANCE / served.max(1.0).sqrt());
        let pace = (sure / capacity - from * self.busy.value())
            / ((1.0 - from) * self.grown.value()).max(f64::MIN_POSITIVE);
        // Where nothing is served it is no number, and tells nothing.
        if pace.is_nan() {
            1.0
        } else {
            pace.clamp(1.0, MOST_PACE)
        }
    }
}

/// Returns the room for work at a replica that started at `started`, and its upper bound; `None` if the
/// replica is warm. `left` is the room that there was and when, and `best` the rate of a healthy replica at
/// one part, in cost units a millisecond.
///
/// The router's share accrues evenly, from a start drawn at random, so that few of many routers send at once
/// and none waits long. Unused room is lost after a time: the shares that all routers save up in it, and what
/// they send meanwhile, are no more than the replica can take in its window, however suddenly all have work
/// for it. Only where queries are so rare that most room would be lost, that time is the one in which two
/// queries come.
pub fn room(
    rule: &ColdRule,
    (started, now): (Millis, Millis),
    left: (f64, Millis),
    best: f64,
    (traffic, routers): (&Traffic, u32),
) -> Option<(f64, f64)> {
    let age = (now - started) / rule.warm_within.max(1.0);
    if age >= 1.0 {
        return None;
    }
    let pace = traffic.pace.max(1.0);
    let warmth = rule.from + (1.0 - rule.from) * (age.max(0.0) * pace).min(1.0);
    // Where reports show a replica's capacity, work beyond it would only wait there. Otherwise the best
    // one-part rate is used for it, which includes call overhead and covers one core only.
    let multiple = rule.multiple;
    let (bears, falls) = traffic.capacity.map_or((multiple * best, multiple * best), |capacity| {
        (capacity * (multiple * AIMED).min(1.0), capacity * multiple)
    });
    let share = traffic.share(f64::from(routers));
    let since = now - left.1;
    let saved = left.0 + share * bears * warmth * since;
    // Room that accrued since counts at the present warmth, so that more than a share accrues during warm-up.
    let growth = if age * pace < 1.0 { (1.0 - rule.from) * pace / rule.warm_within.max(1.0) } else { 0.0 };
    let coming = bears * (warmth + growth * since) * rule.window;
    // The most that all routers may have saved up: the budget of a window less what accrues during one, plus
    // two calls out of the margin for chance, which is twice the square root of the budget. The rest of the
    // margin is left for chance, but for one square root where the estimate from one core leaves nothing
    // else. A router with rare queries keeps its call for the time in which two of them come, or most calls
    // would be lost; this also bounds what these routers have out together.
    let budget = falls * warmth * rule.window;
    let saved_by_all = (budget - coming).max(budget.sqrt()) + 2.0;
    let most = share * saved_by_all.max(bears * warmth * traffic.between() * KEPT_FOR);
    if most >= 1.0 || saved < 1.0 {
        return Some((saved.min(most.max(1.0)), most.max(1.0)));
    }
    // One call at a time, for as long as the next one takes to come in up to that share.
    let next = saved.fract();
    Some((if next <= most { 1.0 + next } else { next }, 1.0))
}

#[cfg(test)]
mod tests;
