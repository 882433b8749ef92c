//! Limits what one router of a fleet sends to a replica that has just started.
//!
//! A cold replica can take a limited load from all routers together, and routers share no state. If each
//! took an even share, most of the load would go unused: a router that rarely has a part for the replica
//! cannot save up its share, and a busy router exhausts its own. Each router therefore takes the share that
//! it has of the fleet's traffic, where replicas report what they serve. These shares still add up to one.

use serde::{Deserialize, Serialize};

use crate::api::{ColdStartRule, LoadReport, Millis};
use crate::exact::ExactSum;

/// Lowest utilization at which the report of a warm replica is used to estimate the capacity of a replica.
const MIN_WARM_UTILIZATION: f64 = 0.2;
/// Standard deviations by which a count may exceed its expected value.
const DEVIATIONS: f64 = 2.0;
/// Share of the overload limit of a cold replica that is aimed at. The rest is the margin for random
/// variation.
const TARGET_OF_OVERLOAD: f64 = 0.5;

/// Upper bound of the estimated warm-up speed. Without it the estimate diverges, as the report of a replica
/// that has just started carries almost no information.
const MAX_WARM_UP_SPEED: f64 = 1000.0;
/// A router with rare queries may keep one call for a cold replica for as long as this many of its queries
/// take to arrive.
const KEPT_QUERIES: f64 = 2.0;

/// One router's share of the fleet's traffic, in counts that decay with the longest warm-up time as their
/// time constant.
#[derive(Debug, Default, Clone, Serialize, Deserialize)]
#[serde(default)]
pub struct FleetTraffic {
    /// Parts of this router and of the whole fleet that ran, both with the same decay, and the time of the
    /// last update.
    #[serde(rename = "own")]
    own_parts: f64,
    #[serde(rename = "fleet")]
    fleet_parts: f64,
    #[serde(rename = "at")]
    updated: Millis,
    /// Estimated throughput of all replicas, in parts per millisecond; 0 if no replica reports its
    /// throughput.
    #[serde(rename = "rate")]
    fleet_throughput: f64,
    /// Estimated capacity of a warm replica, in parts per millisecond, once reports allow an estimate.
    capacity: Option<f64>,
    /// How many times faster than the longest warm-up time replicas get warm, by the reports of those that
    /// are cold now.
    #[serde(rename = "pace")]
    warm_up_speed: f64,
    /// Moving average of the parts of a query.
    #[serde(rename = "clump")]
    parts_per_query: Option<f64>,
    /// Queries of this router, and the time in which they came in, in milliseconds, both with the same
    /// decay.
    queries: f64,
    #[serde(rename = "seen")]
    observed: Millis,
}

impl FleetTraffic {
    /// Updates the counts and estimates with the load reports that replicas sent last.
    pub fn update(&mut self, now: Millis, rule: Option<ColdStartRule>, reports: &LoadReports) {
        let Some(rule) = rule else { return };
        let span = rule.warm_within.max(1.0);
        let keep = (-(now - self.updated) / span).exp();
        self.queries *= keep;
        self.observed = if self.updated > 0.0 { self.observed * keep + (now - self.updated) } else { 0.0 };
        if self.fleet_throughput > 0.0 {
            self.own_parts *= keep;
            self.fleet_parts = self.fleet_parts * keep + self.fleet_throughput * span * (1.0 - keep);
        }
        self.updated = now;
        let LoadReports { replicas, reporting, throughput, warm, cold } = reports;
        self.fleet_throughput = if *reporting > 0 {
            throughput.value() / 1000.0 * *replicas as f64 / *reporting as f64
        } else {
            0.0
        };
        let utilization = warm.utilization.value();
        self.capacity = if utilization > 0.0 {
            Some(warm.throughput.value() / 1000.0 / utilization)
        } else {
            self.capacity
        };
        self.warm_up_speed =
            self.capacity.map_or(1.0, |capacity| cold.warm_up_speed(rule.initial_share, capacity));
    }

    /// Records a query with its number of parts. `weight` is the weight of one query in the moving average
    /// of parts.
    pub fn record_query(&mut self, parts: usize, weight: f64) {
        let mean = self.parts_per_query.unwrap_or(parts as f64);
        self.parts_per_query = Some(mean + weight * (parts as f64 - mean));
        self.queries += 1.0;
    }

    /// Records the end of one of this router's attempts.
    pub fn record_attempt_end(&mut self, may_have_run: bool) {
        if may_have_run && self.fleet_throughput > 0.0 {
            self.own_parts += 1.0;
        }
    }

    /// Returns the mean time between two queries of this router, or 0 before the first.
    fn query_interval(&self) -> Millis {
        if self.queries >= 1.0 {
            self.observed / self.queries
        } else {
            0.0
        }
    }

    /// Returns this router's share of the fleet's traffic. An even share is the prior, with the weight of
    /// one query per router, as a single query says little.
    fn share(&self, routers: f64) -> f64 {
        let prior = self.parts_per_query.unwrap_or(1.0).max(1.0);
        ((self.own_parts + prior) / (self.fleet_parts + prior * routers)).min(1.0)
    }
}

/// The last load reports of all replicas, as sums that are updated incrementally.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct LoadReports {
    replicas: usize,
    /// Replicas that report their throughput, and the sum of it in parts per second.
    reporting: usize,
    throughput: ExactSum,
    /// Of these, warm replicas that are busy enough for an estimate of the capacity, and cold ones.
    warm: LoadSums,
    cold: LoadSums,
}

/// Sums over the reports of some replicas.
#[derive(Debug, Default, Clone, PartialEq)]
struct LoadSums {
    /// Throughput in parts per second, utilization, and utilization times age, where the age is in longest
    /// warm-up times.
    throughput: ExactSum,
    utilization: ExactSum,
    utilization_times_age: ExactSum,
}

impl LoadReports {
    /// Adds the report of a replica. `age` is the age of the replica at the report, in longest warm-up
    /// times, if its start is known.
    pub fn add(&mut self, load: LoadReport, age: Option<f64>) {
        self.replicas += 1;
        self.apply(load, age, ExactSum::add, |count| count + 1);
    }

    /// Removes a report that was added.
    pub fn remove(&mut self, load: LoadReport, age: Option<f64>) {
        self.replicas -= 1;
        self.apply(load, age, ExactSum::remove, |count| count - 1);
    }

    fn apply(
        &mut self,
        load: LoadReport,
        age: Option<f64>,
        sum: fn(&mut ExactSum, f64),
        count: fn(usize) -> usize,
    ) {
        let Some(throughput) = load.throughput else { return };
        self.reporting = count(self.reporting);
        sum(&mut self.throughput, throughput);
        let (sums, utilization, age) = match (load.utilization, age) {
            (Some(utilization), Some(age)) if age < 1.0 => (&mut self.cold, utilization, age),
            (Some(utilization), _) if utilization >= MIN_WARM_UTILIZATION => {
                (&mut self.warm, utilization, 1.0)
            }
            _ => return,
        };
        sum(&mut sums.throughput, throughput);
        sum(&mut sums.utilization, utilization);
        sum(&mut sums.utilization_times_age, utilization * age);
    }
}

impl LoadSums {
    /// Returns a lower bound of the warm-up speed: how many times faster than the longest warm-up time
    /// these cold replicas get warm. A cold replica's capacity begins at the share `initial_share` and
    /// grows linearly, and its throughput is its utilization times that capacity. Summed over the replicas,
    /// throughput / capacity is `initial_share * utilization + (1 - initial_share) * speed * utilization *
    /// age`, which is solved for the speed. The throughput is a count, so its statistical error is deducted
    /// first.
    fn warm_up_speed(&self, initial_share: f64, capacity: f64) -> f64 {
        let throughput = self.throughput.value();
        let proven = throughput / 1000.0 * (1.0 - DEVIATIONS / throughput.max(1.0).sqrt());
        let speed = (proven / capacity - initial_share * self.utilization.value())
            / ((1.0 - initial_share) * self.utilization_times_age.value()).max(f64::MIN_POSITIVE);
        // It is NaN if nothing is served, which allows no estimate.
        if speed.is_nan() {
            1.0
        } else {
            speed.clamp(1.0, MAX_WARM_UP_SPEED)
        }
    }
}

/// Returns the work that a router may send now to a replica that is still cold, and the upper bound of what
/// it can save up, both in cost units; `None` if the replica is warm. `previous` is the remaining allowance
/// and the time at which it was computed. `best_rate` is the rate at which a healthy replica processes a
/// single part, in cost units per millisecond.
///
/// The allowance grows evenly from a random start, so that only a few of many routers send at the same time
/// and none waits long. What is not used is lost beyond an upper bound: the saved allowances of all routers
/// plus what they gain meanwhile do not exceed what the replica can take in its overload window, even if
/// all routers get work for it at the same moment. If queries are so rare that most of the allowance would
/// be lost, the bound is what the router gains while two queries arrive.
pub fn allowance(
    rule: &ColdStartRule,
    (started, now): (Millis, Millis),
    previous: (f64, Millis),
    best_rate: f64,
    (traffic, routers): (&FleetTraffic, u32),
) -> Option<(f64, f64)> {
    let age = (now - started) / rule.warm_within.max(1.0);
    if age >= 1.0 {
        return None;
    }
    let speed = traffic.warm_up_speed.max(1.0);
    let warmth = rule.initial_share + (1.0 - rule.initial_share) * (age.max(0.0) * speed).min(1.0);
    // With reports the aim is at most the capacity of the replica: more would only queue there. Without
    // them the best rate of a single part stands in for it, which includes the call overhead and uses only
    // one core.
    let multiple = rule.overload_multiple;
    let (target_rate, overload_rate) =
        traffic.capacity.map_or((multiple * best_rate, multiple * best_rate), |capacity| {
            (capacity * (multiple * TARGET_OF_OVERLOAD).min(1.0), capacity * multiple)
        });
    let share = traffic.share(f64::from(routers));
    let elapsed = now - previous.1;
    let saved = previous.0 + share * target_rate * warmth * elapsed;
    // All time since then counts with the present warmth, so while the replica warms up more is gained than
    // the share. The growth term accounts for that.
    let growth =
        if age * speed < 1.0 { (1.0 - rule.initial_share) * speed / rule.warm_within.max(1.0) } else { 0.0 };
    let gained_per_window = target_rate * (warmth + growth * elapsed) * rule.overload_window;
    // The bound on what all routers have saved up: the budget of one overload window, less what is gained
    // during one, plus two calls as random variation. The random variation that the overload rule tolerates
    // beyond that (twice the square root of the budget) stays as a margin, except for one root where the
    // estimate by one core would leave nothing to save. A router with rare queries keeps its call until two
    // queries have arrived, as most of its allowance would be lost otherwise; this bounds the calls that
    // such routers have out at the same time.
    let budget = overload_rate * warmth * rule.overload_window;
    let saved_by_all = (budget - gained_per_window).max(budget.sqrt()) + 2.0;
    let max = share * saved_by_all.max(target_rate * warmth * traffic.query_interval() * KEPT_QUERIES);
    if max >= 1.0 || saved < 1.0 {
        return Some((saved.min(max.max(1.0)), max.max(1.0)));
    }
    // A bound below one call: one call is kept until the gain towards the next one exceeds the bound.
    let next = saved.fract();
    Some((if next <= max { 1.0 + next } else { next }, 1.0))
}

#[cfg(test)]
mod tests;
