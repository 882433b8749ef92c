//! Checks the rules that aggregators must keep, from what run stores and clients observe.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Mutex;

/// Time for which a draining run store may still get new parts, in milliseconds: 2 s and a margin.
const DRAIN_MS: f64 = 2050.0;
/// Maximum number of attempts for a part.
const MOST_ATTEMPTS: usize = 3;
/// Tolerated lateness of an answer, in milliseconds; it includes delays in the client's own threads.
const SLACK_MS: f64 = 250.0;
/// Tolerated excess of an attempt's timeout over the time that its client still waits, in milliseconds.
const TOLD_LEFT_MS: f64 = 150.0;
/// Time after its client left in which an attempt may still begin, in milliseconds.
const LEFT_MS: f64 = 100.0;
/// Time after the end of a partition from discovery until an aggregator must know of changes, in milliseconds.
const TOLD_MS: f64 = 1000.0;

/// A part that arrived at a run store.
#[derive(Debug, Clone, PartialEq)]
pub struct Arrival {
    /// Time of arrival.
    pub at: f64,
    /// Number of the run store.
    pub store: usize,
    /// Id of the part: the query's id, a dot, the shard.
    pub part: String,
    /// Shard of the part.
    pub shard: u32,
    /// Whether the part ran.
    pub ran: bool,
    /// Aggregator that sent it, known only if the run has links.
    pub from: Option<usize>,
    /// Timeout that the attempt carries, in milliseconds.
    pub told_ms: f64,
}

/// An answer as a client saw it.
#[derive(Debug, Clone, PartialEq)]
pub struct Answer {
    /// Id of the query.
    pub query: String,
    /// Number of the aggregator that was asked.
    pub aggregator: usize,
    /// Time at which the query was asked.
    pub asked: f64,
    /// Time at which the answer was complete.
    pub at: f64,
    /// Timeout of the client, in milliseconds.
    pub wait: f64,
    /// Whether the parts may run twice.
    pub safe: bool,
    /// Whether the query was refused.
    pub refused: bool,
    /// Whether the answer was marked whole.
    pub whole: bool,
    /// Whether the query was answered.
    pub served: bool,
    /// Whether the connection was reset before the request was read, so that there is no answer and a retry is safe.
    pub unread: bool,
    /// Requested shards with their weights.
    pub asked_for: Vec<(u32, f64)>,
    /// Answered shards with their values.
    pub values: Vec<(u32, String)>,
    /// Minimum share of weight that an answer needs.
    pub least_share: f64,
}

#[derive(Default)]
struct Seen {
    /// Attempts by part: time of arrival, run store, whether the part ran.
    parts: BTreeMap<String, Vec<(f64, usize, bool)>>,
    /// Draining run stores, with the time from which all aggregators can know it.
    drains: BTreeMap<usize, f64>,
    /// Parts that may run only once.
    once: Vec<String>,
    /// Aggregators by the source address of their connections.
    routes: BTreeMap<SocketAddr, usize>,
    /// Aggregators that are partitioned from discovery (`None`) or were until a time.
    untold: BTreeMap<usize, Option<f64>>,
    /// Periods in which aggregators were killed or suspended.
    away: Vec<(usize, f64, f64)>,
    /// Periods in which aggregators accept no new connections because they are shutting down.
    closed: Vec<(usize, f64, f64)>,
    /// Time at which the client stops waiting, by the id of the query.
    ends: BTreeMap<String, f64>,
    /// Time at which the client closed its connection, by the id of the query.
    left: BTreeMap<String, f64>,
    /// Latest cold start of each run store.
    cold: BTreeMap<usize, Cold>,
    /// Arrival times of the last second, by run store.
    recent: BTreeMap<usize, VecDeque<f64>>,
    /// First attempts and further attempts that arrived, by second.
    sent: BTreeMap<u64, [u64; 2]>,
    /// Broken rules: how often, and a description of the first time.
    broken: BTreeMap<&'static str, (u64, String)>,
    /// Additional tolerance for slow machines, in milliseconds.
    slack: f64,
    /// Lateness from which an answer counts as lost, in milliseconds; replaces `SLACK_MS` if set.
    lost_after: Option<f64>,
}

/// Collects observations during a run and checks the rules on them.
#[derive(Default)]
pub struct Checker {
    seen: Mutex<Seen>,
}

impl Seen {
    fn breaks(&mut self, rule: &'static str, what: impl FnOnce() -> String) {
        self.broken.entry(rule).or_insert_with(|| (0, what())).0 += 1;
    }

    /// Returns whether an aggregator accepted no new connections at the given time.
    fn was_closed(&self, aggregator: usize, at: f64) -> bool {
        self.closed.iter().any(|(no, from, to)| *no == aggregator && (*from..=*to).contains(&at))
    }

    /// Checks an attempt against the timeout of its client, and that the client has not left.
    fn check_attempt(&mut self, arrival: &Arrival) {
        let slack = self.slack;
        let Some((query, _)) = arrival.part.rsplit_once('.') else { return };
        if let Some(left) = self.left.get(query).map(|at| arrival.at - at) {
            if left > LEFT_MS + slack {
                self.breaks("left", || format!("{} began {left:.0} ms after its client left", arrival.part));
            }
        }
        if let Some(has) = self.ends.get(query).map(|at| at - arrival.at) {
            // The timeout was computed before the part arrived, so the remaining time can only have become less.
            if arrival.told_ms > has.max(0.0) + TOLD_LEFT_MS + slack {
                let told = arrival.told_ms;
                self.breaks("deadline", || {
                    format!("{} has a timeout of {told:.0} ms with {has:.0} ms left", arrival.part)
                });
            }
        }
    }

    /// Checks that a run store that has just started is not overloaded.
    fn check_cold(&mut self, arrival: &Arrival) {
        let falls = self.cold.get(&arrival.store).and_then(|cold| cold.falls_at(arrival.at));
        let recent = self.recent.entry(arrival.store).or_default();
        recent.push_back(arrival.at);
        while recent.front().is_some_and(|at| arrival.at - at > 1000.0) {
            recent.pop_front();
        }
        let count = recent.len();
        if falls.is_some_and(|falls| count as f64 > falls) {
            self.breaks("failback", || {
                format!("s-{} got {count} parts in a second while cold", arrival.store)
            });
        }
    }

    /// Returns whether an aggregator was killed or suspended at any time of a period.
    fn was_away(&self, aggregator: usize, from: f64, to: f64) -> bool {
        self.away.iter().any(|(no, began, ended)| *no == aggregator && *began <= to && *ended >= from)
    }
}

/// The cold start of a run store.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Cold {
    /// Time of the start.
    pub since: f64,
    /// Parts per second that it handles when warm.
    pub capacity: f64,
    /// Share of the capacity at the start; it rises linearly to 1 within `warm_ms`.
    pub from: f64,
    /// Time in which the run store becomes warm, in milliseconds.
    pub warm_ms: f64,
    /// Multiple of its present capacity that it tolerates.
    pub multiple: f64,
}

impl Cold {
    /// Returns the number of parts in the second before `at` that overloads it, or `None` if it is warm. Two or three
    /// standard deviations of a Poisson count are allowed on top of the tolerated rate.
    fn falls_at(&self, at: f64) -> Option<f64> {
        let age = (at - self.since) / self.warm_ms;
        if !(0.0..1.0).contains(&age) {
            return None;
        }
        let allowed = self.multiple * self.capacity * (self.from + (1.0 - self.from) * age);
        let roots = if allowed < 30.0 { 3.0 } else { 2.0 };
        Some(allowed + roots * allowed.sqrt() + roots)
    }
}

impl Checker {
    /// Records the cold start of a run store.
    pub fn started(&self, store: usize, cold: Cold) {
        self.with(|seen| seen.cold.insert(store, cold));
    }

    /// Records that the last byte of a query is about to be written, and that its client waits for `wait` milliseconds.
    pub fn wrote(&self, query: &str, at: f64, wait: f64) {
        self.with(|seen| seen.ends.insert(query.to_string(), at + wait));
    }

    /// Records that the client of a query has closed its connection.
    pub fn left(&self, query: &str, at: f64) {
        self.with(|seen| seen.left.insert(query.to_string(), at));
    }

    /// Records a period in which an aggregator accepts no new connections; replaces one with the same start.
    pub fn closed(&self, aggregator: usize, from: f64, to: f64) {
        self.with(|seen| {
            seen.closed.retain(|(no, began, _)| (*no, *began) != (aggregator, from));
            seen.closed.push((aggregator, from, to));
        });
    }

    /// Records the violation of a rule that is checked elsewhere.
    pub fn breaks(&self, rule: &'static str, what: &str) {
        self.with(|seen| seen.breaks(rule, || what.to_string()));
    }

    fn with<T>(&self, act: impl FnOnce(&mut Seen) -> T) -> T {
        act(&mut self.seen.lock().unwrap_or_else(std::sync::PoisonError::into_inner))
    }

    /// Records that all aggregators can know since a time that a run store drains, or that it no longer drains.
    pub fn drains(&self, store: usize, since: Option<f64>) {
        self.with(|seen| match since {
            Some(at) => drop(seen.drains.insert(store, at)),
            None => drop(seen.drains.remove(&store)),
        });
    }

    /// Sets an additional tolerance for slow machines, in milliseconds.
    pub fn slack(&self, slack: f64) {
        self.with(|seen| seen.slack = slack);
    }

    /// Sets the lateness from which an answer counts as lost, in milliseconds, in place of the usual tolerance.
    pub fn lost_after(&self, late: f64) {
        self.with(|seen| seen.lost_after = Some(late));
    }

    /// Records that connections from this address belong to an aggregator.
    pub fn route(&self, from: SocketAddr, aggregator: usize) {
        self.with(|seen| seen.routes.insert(from, aggregator));
    }

    /// Returns the aggregator whose connection comes from an address.
    pub fn whose(&self, from: SocketAddr) -> Option<usize> {
        self.with(|seen| seen.routes.get(&from).copied())
    }

    /// Records that an aggregator is partitioned from discovery, or since when it is no longer.
    pub fn untold(&self, aggregator: usize, whole: Option<f64>) {
        self.with(|seen| seen.untold.insert(aggregator, whole));
    }

    /// Records a period in which an aggregator is killed or suspended; replaces one with the same start.
    pub fn away(&self, aggregator: usize, from: f64, to: f64) {
        self.with(|seen| {
            seen.away.retain(|(no, began, _)| (*no, *began) != (aggregator, from));
            seen.away.push((aggregator, from, to));
        });
    }

    /// Checks a query that got no answer, which is allowed only if its aggregator was unavailable or shutting down.
    pub fn lost(&self, answer: &Answer) {
        self.with(|seen| {
            if !seen.was_away(answer.aggregator, answer.asked, answer.at)
                && !seen.was_closed(answer.aggregator, answer.asked)
            {
                seen.breaks("lost", || {
                    format!("{} got no answer from n-{}", answer.query, answer.aggregator)
                });
            }
        });
    }

    /// Returns the first attempts and the further attempts that arrived, by second of the clock.
    pub fn sent(&self) -> BTreeMap<u64, [u64; 2]> {
        self.with(|seen| seen.sent.clone())
    }

    /// Checks an attempt that arrived at a run store.
    pub fn arrived(&self, arrival: Arrival) {
        self.with(|seen| {
            seen.check_attempt(&arrival);
            seen.check_cold(&arrival);
            if let Some(since) = seen.drains.get(&arrival.store).copied() {
                // An aggregator that is partitioned from discovery cannot know of the drain until the partition ends.
                let told = match arrival.from.and_then(|from| seen.untold.get(&from)) {
                    None => since,
                    Some(None) => f64::INFINITY,
                    Some(Some(whole)) => since.max(whole + TOLD_MS),
                };
                if arrival.at > told + DRAIN_MS + seen.slack {
                    let late = arrival.at - since;
                    seen.breaks("drain", || {
                        format!("s-{} got {} {late:.0} ms after its drain began", arrival.store, arrival.part)
                    });
                }
            }
            let attempts = seen.parts.entry(arrival.part.clone()).or_default();
            attempts.push((arrival.at, arrival.store, arrival.ran));
            seen.sent.entry((arrival.at / 1000.0) as u64).or_default()[usize::from(attempts.len() > 1)] += 1;
            if attempts.len() > MOST_ATTEMPTS {
                seen.breaks("attempts", || {
                    format!("{} had more than {MOST_ATTEMPTS} attempts", arrival.part)
                });
            }
        });
    }

    /// Checks an answer; `value` computes what a run store answers for a part.
    pub fn answered(&self, answer: &Answer, value: impl Fn(&str) -> String) {
        self.with(|seen| {
            let late = answer.at - answer.asked - answer.wait;
            if late > seen.lost_after.unwrap_or(SLACK_MS) + seen.slack
                && !seen.was_away(answer.aggregator, answer.asked, answer.at)
            {
                seen.breaks("in time", || format!("{} was answered {late:.0} ms late", answer.query));
            }
            let ran = |shard: &u32| {
                seen.parts
                    .get(&format!("{}.{shard}", answer.query))
                    .is_some_and(|a| a.iter().any(|(_, _, ran)| *ran))
            };
            if answer.refused && !answer.safe && answer.asked_for.iter().any(|(shard, _)| ran(shard)) {
                seen.breaks("refusals", || format!("{} was refused after a part had run", answer.query));
            }
            if !answer.served {
                return;
            }
            let weight: f64 = answer
                .asked_for
                .iter()
                .filter(|(shard, _)| answer.values.iter().any(|(had, _)| had == shard))
                .map(|(_, weight)| weight)
                .sum();
            if weight + 0.001 < answer.least_share {
                seen.breaks("least share", || {
                    format!("{} was answered with a share of {weight:.2}", answer.query)
                });
            }
            if answer.whole && answer.values.len() < answer.asked_for.len() {
                seen.breaks("honest", || format!("{} is marked whole but lacks values", answer.query));
            }
            for (shard, had) in &answer.values {
                let part = format!("{}.{shard}", answer.query);
                if *had != value(&part) {
                    seen.breaks("honest", || {
                        format!("{part} was answered with {had}, which no run store returned")
                    });
                }
            }
        });
    }

    /// Records a query and whether its parts may run twice.
    pub fn asked(&self, query: String, shards: impl Iterator<Item = u32>, safe: bool) {
        if !safe {
            self.with(|seen| seen.once.extend(shards.map(|shard| format!("{query}.{shard}"))));
        }
    }

    /// Returns the broken rules at the end of a run: how often, and a description of the first time.
    pub fn broken(&self) -> BTreeMap<String, (u64, String)> {
        self.with(|seen| {
            for part in std::mem::take(&mut seen.once) {
                let runs =
                    seen.parts.get(&part).map_or(0, |all| all.iter().filter(|(_, _, ran)| *ran).count());
                if runs > 1 {
                    seen.breaks("duplicate", || format!("{part} ran {runs} times"));
                }
            }
        });
        self.with(|seen| {
            seen.broken.iter().map(|(rule, found)| ((*rule).to_string(), found.clone())).collect()
        })
    }
}

#[cfg(test)]
mod tests;
