//! What a cold run store gets from all of its senders together, by the program's own rule (`src/cold.rs`).

use ironpaddle::api::{ColdStartRule, LoadReport};
use ironpaddle::cold::{allowance, FleetTraffic, LoadReports};
use ironpaddle::hash::draw;

/// A cold run store and one of its senders. Rates are in parts a second.
#[derive(Debug, Clone, Copy)]
pub struct Sender {
    /// Run stores that the sender's list names.
    pub stores: usize,
    /// Aggregators that share their traffic, as the settings tell each of them.
    pub routers: u32,
    /// Aggregators that send to the run store.
    pub senders: f64,
    /// Parts that a run store gets while all is well, and the busy share of its time that they take.
    pub parts: f64,
    /// See `parts`.
    pub busy: f64,
    /// Queries of an aggregator, and parts of each.
    pub queries: f64,
    /// See `queries`.
    pub query_parts: f64,
    /// What the settings say of cold run stores.
    pub rule: ColdStartRule,
}

/// What came of it, of one sender in the mean over the time in which a run store gets warm; parts a second.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Ramp {
    /// Parts that it has for the run store.
    pub wanted: f64,
    /// Parts that it may send there.
    pub sent: f64,
    /// What the run store gets from all, as a share of what it bears in that time.
    pub used: f64,
    /// The most in a second that it gets from all, as a share of that from which it falls, in the mean over starts.
    pub peak: f64,
}

/// Cold run stores that are played at once, each for itself, so that chance does not show.
const STARTS: usize = 200;
/// Seconds before their start, in which the sender learns its share of the traffic.
const BEFORE: usize = 8;
/// Milliseconds between two looks at what run stores report.
const LOOK: usize = 2000;

/// Plays one sender, millisecond by millisecond.
pub fn play(sender: &Sender, seed: u64) -> Ramp {
    let rule = &sender.rule;
    let mut chance = seed;
    let mut traffic = FleetTraffic::default();
    let report = LoadReport {
        utilization: Some(sender.busy),
        throughput: Some(sender.parts),
        ..LoadReport::default()
    };
    let mut reports = LoadReports::default();
    (0..sender.stores).for_each(|_| reports.add(report, None));
    let (start, end) = (BEFORE as f64 * 1000.0, BEFORE as f64 * 1000.0 + rule.warm_within);
    let wanted = sender.parts / sender.senders;
    let seconds = (rule.warm_within / 1000.0).ceil() as usize;
    let mut sent = vec![0.0; seconds];
    // The time between two parts for the run store, as chance has it.
    let gap = |chance: &mut u64| -(1.0 - draw(chance)).ln() / wanted * 1000.0;
    // What is left of its room, since when, and when the next part for it comes.
    let mut cold: Vec<((f64, f64), f64)> =
        (0..STARTS).map(|_| ((draw(&mut chance), start), start + gap(&mut chance))).collect();
    let mut queries = 0.0;
    for now in 0..end as usize {
        if now % LOOK == 0 {
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
                *next += gap(&mut chance);
                let best = sender.parts / sender.busy / 1000.0;
                let room = allowance(rule, (start, now), *left, best, (&traffic, sender.routers));
                if let Some((room, _)) = room.filter(|(room, most)| *room >= most.min(1.0)) {
                    *left = (room - 1.0, now);
                    sent[((now - start) / 1000.0) as usize] += 1.0 / STARTS as f64;
                }
            }
        }
    }
    let capacity = sender.parts / sender.busy;
    let warmth = |second: usize| {
        rule.initial_share + (1.0 - rule.initial_share) * (second as f64 + 0.5) * 1000.0 / rule.warm_within
    };
    let all: f64 = sent.iter().sum();
    let bears: f64 = (0..seconds).map(|second| capacity * warmth(second)).sum();
    let peak = |(second, sent): (usize, &f64)| {
        sent * sender.senders
            / (capacity * rule.overload_multiple * warmth(second) * rule.overload_window / 1000.0)
    };
    Ramp {
        wanted,
        sent: all / seconds as f64,
        used: all * sender.senders / bears,
        peak: sent.iter().enumerate().map(peak).fold(0.0, f64::max),
    }
}
