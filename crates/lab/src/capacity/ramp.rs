//! Simulates the parts that a cold run store receives from all of its senders under the program's own cold-start rule
//! (`src/cold.rs`).

use ironpaddle::api::{ColdStartRule, LoadReport};
use ironpaddle::cold::{allowance, FleetTraffic, LoadReports};
use ironpaddle::hash::draw;

/// A cold run store and one of its senders. Rates are in parts a second.
#[derive(Debug, Clone, Copy)]
pub struct Sender {
    /// The number of run stores in the sender's list.
    pub run_stores: usize,
    /// The number of aggregators that share the traffic, as each of them has it from the settings.
    pub aggregators: u32,
    /// The number of aggregators that send to the run store.
    pub senders: f64,
    /// The parts that a warm run store receives in normal operation.
    pub parts: f64,
    /// The share of its time that a run store is busy with these parts.
    pub utilization: f64,
    /// The queries of an aggregator.
    pub queries: f64,
    /// The number of parts of a query.
    pub query_parts: f64,
    /// The cold-start rule of the settings.
    pub rule: ColdStartRule,
}

/// The result: mean rates of one sender over the warm-up time of a run store, in parts a second.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Ramp {
    /// The parts that the sender has for the run store.
    pub wanted: f64,
    /// The parts that the sender is allowed to send there.
    pub sent: f64,
    /// The parts that the run store receives from all senders, as a share of its capacity in that time.
    pub used: f64,
    /// The most parts that it receives from all senders in a second, as a share of the load that overloads it; the mean
    /// over all starts.
    pub peak: f64,
}

/// The number of cold run stores that are simulated independently, to average out randomness.
const STARTS: usize = 200;
/// Seconds before the run stores start, in which the sender learns its share of the traffic.
const LEARNING_S: usize = 8;
/// The interval between two evaluations of the load reports, in milliseconds.
const REPORT_INTERVAL_MS: usize = 2000;

/// Simulates one sender in steps of a millisecond.
pub fn simulate(sender: &Sender, seed: u64) -> Ramp {
    let rule = &sender.rule;
    let mut rng = seed;
    let mut traffic = FleetTraffic::default();
    let report = LoadReport {
        utilization: Some(sender.utilization),
        throughput: Some(sender.parts),
        ..LoadReport::default()
    };
    let mut reports = LoadReports::default();
    (0..sender.run_stores).for_each(|_| reports.add(report, None));
    let (start, end) = (LEARNING_S as f64 * 1000.0, LEARNING_S as f64 * 1000.0 + rule.warm_within);
    let wanted = sender.parts / sender.senders;
    let seconds = (rule.warm_within / 1000.0).ceil() as usize;
    let mut sent = vec![0.0; seconds];
    // Draws the time between two parts for the run store from an exponential distribution.
    let gap = |rng: &mut u64| -(1.0 - draw(rng)).ln() / wanted * 1000.0;
    // For each run store: the allowance that is left, the time it was computed at, and the time of the next part.
    let mut cold: Vec<((f64, f64), f64)> =
        (0..STARTS).map(|_| ((draw(&mut rng), start), start + gap(&mut rng))).collect();
    let mut queries = 0.0;
    for now in 0..end as usize {
        if now % REPORT_INTERVAL_MS == 0 {
            traffic.update(now as f64, Some(*rule), &reports);
        }
        queries += sender.queries / 1000.0;
        while queries >= 1.0 {
            queries -= 1.0;
            traffic.record_query(sender.query_parts as usize, 0.2);
            (0..sender.query_parts as usize).for_each(|_| traffic.record_attempt_end(true));
        }
        let now = now as f64;
        if now < start {
            continue;
        }
        for (left, next) in &mut cold {
            while *next <= now {
                *next += gap(&mut rng);
                let best = sender.parts / sender.utilization / 1000.0;
                let room = allowance(rule, (start, now), *left, best, (&traffic, sender.aggregators));
                if let Some((room, _)) = room.filter(|(room, most)| *room >= most.min(1.0)) {
                    *left = (room - 1.0, now);
                    sent[((now - start) / 1000.0) as usize] += 1.0 / STARTS as f64;
                }
            }
        }
    }
    let capacity = sender.parts / sender.utilization;
    let warmth = |second: usize| {
        rule.initial_share + (1.0 - rule.initial_share) * (second as f64 + 0.5) * 1000.0 / rule.warm_within
    };
    let all: f64 = sent.iter().sum();
    let total_capacity: f64 = (0..seconds).map(|second| capacity * warmth(second)).sum();
    let peak = |(second, sent): (usize, &f64)| {
        sent * sender.senders
            / (capacity * rule.overload_multiple * warmth(second) * rule.overload_window / 1000.0)
    };
    Ramp {
        wanted,
        sent: all / seconds as f64,
        used: all * sender.senders / total_capacity,
        peak: sent.iter().enumerate().map(peak).fold(0.0, f64::max),
    }
}
