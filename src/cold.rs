//! What one router of a fleet may send to a replica that has just started.
//!
//! A cold replica bears so much from all routers together, and they share nothing. An even share each leaves most of
//! it unused: a router that seldom has a part for the replica saves up no more than one, and a busy one has used up its
//! share. So each takes the share that it has of the fleet's traffic, as far as replicas report what they serve: then
//! all shares still add up to one, and each router can use its own.

use serde::{Deserialize, Serialize};

use crate::api::{ColdStartRule, LoadReport, Millis};
use crate::exact::ExactSum;

/// Utilization under which a report tells too little of what its replica could do.
const TELLING: f64 = 0.2;
/// Standard deviations by which a count may lie above what is to be expected.
const CHANCE: f64 = 2.0;
/// Share of the most that a cold replica bears which is aimed at: the rest is for chance.
const AIMED: f64 = 0.5;

/// The most times sooner that any report can tell: one of a replica that has hardly begun tells next to nothing.
const MOST_PACE: f64 = 1000.0;
/// Queries of a router for which it keeps a call that it may send to a cold replica.
const KEPT_FOR: f64 = 2.0;

/// A router's own part in what the fleet serves, counted over about the time in which a replica gets warm.
#[derive(Debug, Default, Clone, Serialize, Deserialize)]
#[serde(default)]
pub struct FleetTraffic {
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

impl FleetTraffic {
    /// Takes in what replicas reported last. Counts fade over the time in which a replica gets warm at the latest.
    pub fn told(&mut self, now: Millis, rule: Option<ColdStartRule>, reports: &LoadReports) {
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
        let LoadReports { all, tell, served, warm, cold } = reports;
        self.rate = if *tell > 0 { served.value() / 1000.0 * *all as f64 / *tell as f64 } else { 0.0 };
        let busy = warm.busy.value();
        self.capacity = if busy > 0.0 { Some(warm.served.value() / 1000.0 / busy) } else { self.capacity };
        self.pace = self.capacity.map_or(1.0, |capacity| cold.pace(rule.initial_share, capacity));
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

    /// The share of this router, of so many, in the fleet's traffic. That each has an even one counts for as much
    /// as a query of each: one query tells little.
    fn share(&self, routers: f64) -> f64 {
        let guess = self.clump.unwrap_or(1.0).max(1.0);
        ((self.own + guess) / (self.fleet + guess * routers)).min(1.0)
    }
}

/// What all replicas reported last, in sums that are kept as it changes.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct LoadReports {
    all: usize,
    /// Of those that tell what they serve: how many, and parts a second.
    tell: usize,
    served: ExactSum,
    /// Of these, those that are warm and busy enough to tell what they could do, and those that are cold.
    warm: Sums,
    cold: Sums,
}

/// Sums over reports of some replicas.
#[derive(Debug, Default, Clone, PartialEq)]
struct Sums {
    /// Parts a second, busy shares, and busy shares times the way to be warm that was behind.
    served: ExactSum,
    busy: ExactSum,
    grown: ExactSum,
}

impl LoadReports {
    /// A replica's report, with how much of the time in which it gets warm at the latest had passed then, if it ever
    /// started.
    pub fn add(&mut self, load: LoadReport, age: Option<f64>) {
        self.all += 1;
        self.count(load, age, ExactSum::add, |tell| tell + 1);
    }

    /// A report that was added holds no longer.
    pub fn take(&mut self, load: LoadReport, age: Option<f64>) {
        self.all -= 1;
        self.count(load, age, ExactSum::take, |tell| tell - 1);
    }

    fn count(
        &mut self,
        load: LoadReport,
        age: Option<f64>,
        sum: fn(&mut ExactSum, f64),
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
    /// How many times sooner than at the latest these get warm, at least. A busy share of one that is cold serves that
    /// share of its capacity, which begins at `from`, so that together they serve as much as their shares times
    /// `from + (1 - from) * pace * age`. What they serve in a second is a count, of which chance may have made some.
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

/// Room for work at a replica that started at some time, and the most there can be; `None` if it is warm. `left` is
/// what there was at some time, and `best` what a sound replica does with one part, in cost units a millisecond.
///
/// The share comes in evenly, from a start drawn by chance: few of many routers send at once, and none waits long. What
/// is not used is lost after a while: all routers' shares of so much time, and what they do meanwhile, are no more
/// than the replica bears in its window, however suddenly all have work for it. Only where queries are so seldom that
/// most would be lost is that time the one in which two come.
pub fn room(
    rule: &ColdStartRule,
    (started, now): (Millis, Millis),
    left: (f64, Millis),
    best: f64,
    (traffic, routers): (&FleetTraffic, u32),
) -> Option<(f64, f64)> {
    let age = (now - started) / rule.warm_within.max(1.0);
    if age >= 1.0 {
        return None;
    }
    let pace = traffic.pace.max(1.0);
    let warmth = rule.initial_share + (1.0 - rule.initial_share) * (age.max(0.0) * pace).min(1.0);
    // Where reports tell what a replica can do, more than that would only wait there. Else the best one-part rate
    // stands for it: it holds call overhead and one core only.
    let multiple = rule.overload_multiple;
    let (bears, falls) = traffic.capacity.map_or((multiple * best, multiple * best), |capacity| {
        (capacity * (multiple * AIMED).min(1.0), capacity * multiple)
    });
    let share = traffic.share(f64::from(routers));
    let since = now - left.1;
    let saved = left.0 + share * bears * warmth * since;
    // All that came in since counts as much as it would have now, so that more comes in than a share while it warms.
    let growth =
        if age * pace < 1.0 { (1.0 - rule.initial_share) * pace / rule.warm_within.max(1.0) } else { 0.0 };
    let coming = bears * (warmth + growth * since) * rule.overload_window;
    // What all may have saved up: the budget of a window less what comes in during one, and two calls of what is put
    // down to chance. The rest of that, twice the budget's root, is left for chance itself, but for one root where a
    // guess at what one core does leaves nothing else. A router that has a query seldom keeps its call for as long as
    // it takes for two to come, or most would be lost: what such have out together is bounded by that.
    let budget = falls * warmth * rule.overload_window;
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
