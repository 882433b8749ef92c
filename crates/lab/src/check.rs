//! Checks the rules that aggregators must keep, from what run stores and clients observe.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Mutex;

/// Time for which a draining run store may still get new parts, in milliseconds: 2 s and a margin.
const DRAIN_GRACE_MS: f64 = 2050.0;
/// Maximum number of attempts for a part.
const MAX_ATTEMPTS: usize = 3;
/// Tolerated lateness of an answer, in milliseconds; it includes delays in the client's own threads.
const LATE_TOLERANCE_MS: f64 = 250.0;
/// Tolerated excess of an attempt's timeout over the time that its client still waits, in milliseconds.
const TIMEOUT_TOLERANCE_MS: f64 = 150.0;
/// Time after its client left in which an attempt may still begin, in milliseconds.
const ATTEMPT_AFTER_LEFT_MS: f64 = 100.0;
/// Time after the end of a partition from discovery until an aggregator must know of changes, in milliseconds.
const DISCOVERY_DELAY_MS: f64 = 1000.0;

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
    pub timeout_ms: f64,
}

/// An answer as a client saw it.
#[derive(Debug, Clone, PartialEq)]
pub struct Answer {
    /// Id of the query.
    pub query: String,
    /// Number of the aggregator that was asked.
    pub aggregator: usize,
    /// Time at which the query was asked.
    pub asked_at: f64,
    /// Time at which the answer was complete.
    pub answered_at: f64,
    /// Timeout of the client, in milliseconds.
    pub timeout_ms: f64,
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
    pub requested: Vec<(u32, f64)>,
    /// Answered shards with their values.
    pub values: Vec<(u32, String)>,
    /// Minimum share of weight that an answer needs.
    pub least_share: f64,
}

#[derive(Default)]
struct State {
    /// Attempts by part: time of arrival, run store, whether the part ran.
    parts: BTreeMap<String, Vec<(f64, usize, bool)>>,
    /// Draining run stores, with the time from which all aggregators can know it.
    draining: BTreeMap<usize, f64>,
    /// Parts that may run only once.
    unsafe_parts: Vec<String>,
    /// Aggregators by the source address of their connections.
    routes: BTreeMap<SocketAddr, usize>,
    /// Aggregators that are partitioned from discovery (`None`) or were until a time.
    partitioned: BTreeMap<usize, Option<f64>>,
    /// Periods in which aggregators were killed or suspended.
    unavailable: Vec<(usize, f64, f64)>,
    /// Periods in which aggregators accept no new connections because they are shutting down.
    not_accepting: Vec<(usize, f64, f64)>,
    /// Time at which the client stops waiting, by the id of the query.
    client_deadlines: BTreeMap<String, f64>,
    /// Time at which the client closed its connection, by the id of the query.
    client_left: BTreeMap<String, f64>,
    /// Latest cold start of each run store.
    cold_starts: BTreeMap<usize, ColdStart>,
    /// Arrival times of the last second, by run store.
    recent_arrivals: BTreeMap<usize, VecDeque<f64>>,
    /// First attempts and further attempts that arrived, by second.
    attempts_by_second: BTreeMap<u64, [u64; 2]>,
    /// Broken rules: how often, and a description of the first time.
    violations: BTreeMap<&'static str, (u64, String)>,
    /// Additional tolerance for slow machines, in milliseconds.
    slack_ms: f64,
    /// Lateness from which an answer counts as lost, in milliseconds; replaces [`LATE_TOLERANCE_MS`] if set.
    late_limit_ms: Option<f64>,
}

/// Collects observations during a run and checks the rules on them.
#[derive(Default)]
pub struct Checker {
    state: Mutex<State>,
}

impl State {
    fn report_violation(&mut self, rule: &'static str, what: impl FnOnce() -> String) {
        self.violations.entry(rule).or_insert_with(|| (0, what())).0 += 1;
    }

    /// Returns whether an aggregator accepted no new connections at the given time.
    fn was_not_accepting(&self, aggregator: usize, at: f64) -> bool {
        self.not_accepting.iter().any(|(no, from, to)| *no == aggregator && (*from..=*to).contains(&at))
    }

    /// Checks an attempt against the timeout of its client, and that the client has not left.
    fn check_attempt(&mut self, arrival: &Arrival) {
        let slack = self.slack_ms;
        let Some((query, _)) = arrival.part.rsplit_once('.') else { return };
        if let Some(left) = self.client_left.get(query).map(|at| arrival.at - at) {
            if left > ATTEMPT_AFTER_LEFT_MS + slack {
                self.report_violation("left", || {
                    format!("{} began {left:.0} ms after its client left", arrival.part)
                });
            }
        }
        if let Some(remaining) = self.client_deadlines.get(query).map(|at| at - arrival.at) {
            // The timeout was computed before the part arrived, so the remaining time can only have become less.
            if arrival.timeout_ms > remaining.max(0.0) + TIMEOUT_TOLERANCE_MS + slack {
                let timeout = arrival.timeout_ms;
                self.report_violation("deadline", || {
                    format!("{} has a timeout of {timeout:.0} ms with {remaining:.0} ms left", arrival.part)
                });
            }
        }
    }

    /// Checks that a run store that has just started is not overloaded.
    fn check_cold(&mut self, arrival: &Arrival) {
        let limit = self.cold_starts.get(&arrival.store).and_then(|cold| cold.overload_limit(arrival.at));
        let recent = self.recent_arrivals.entry(arrival.store).or_default();
        recent.push_back(arrival.at);
        while recent.front().is_some_and(|at| arrival.at - at > 1000.0) {
            recent.pop_front();
        }
        let count = recent.len();
        if limit.is_some_and(|limit| count as f64 > limit) {
            self.report_violation("failback", || {
                format!("s-{} got {count} parts in a second while cold", arrival.store)
            });
        }
    }

    /// Returns whether an aggregator was killed or suspended at any time of a period.
    fn was_unavailable(&self, aggregator: usize, from: f64, to: f64) -> bool {
        self.unavailable.iter().any(|(no, began, ended)| *no == aggregator && *began <= to && *ended >= from)
    }
}

/// The cold start of a run store.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdStart {
    /// Time of the start.
    pub since: f64,
    /// Parts per second that it handles when warm.
    pub capacity: f64,
    /// Share of the capacity at the start; it rises linearly to 1 within `warm_ms`.
    pub initial_share: f64,
    /// Time in which the run store becomes warm, in milliseconds.
    pub warm_ms: f64,
    /// Multiple of its present capacity that it tolerates.
    pub tolerated_multiple: f64,
}

impl ColdStart {
    /// Returns the number of parts in the second before `at` that overloads it, or `None` if it is warm. Two or three
    /// standard deviations of a Poisson count are allowed on top of the tolerated rate.
    fn overload_limit(&self, at: f64) -> Option<f64> {
        let age = (at - self.since) / self.warm_ms;
        if !(0.0..1.0).contains(&age) {
            return None;
        }
        let allowed =
            self.tolerated_multiple * self.capacity * (self.initial_share + (1.0 - self.initial_share) * age);
        let deviations = if allowed < 30.0 { 3.0 } else { 2.0 };
        Some(allowed + deviations * allowed.sqrt() + deviations)
    }
}

impl Checker {
    /// Records the cold start of a run store.
    pub fn record_cold_start(&self, store: usize, cold: ColdStart) {
        self.with_state(|state| state.cold_starts.insert(store, cold));
    }

    /// Records that the last byte of a query is about to be written, and that its client waits for `wait` milliseconds.
    pub fn record_client_deadline(&self, query: &str, at: f64, wait: f64) {
        self.with_state(|state| state.client_deadlines.insert(query.to_string(), at + wait));
    }

    /// Records that the client of a query has closed its connection.
    pub fn record_client_left(&self, query: &str, at: f64) {
        self.with_state(|state| state.client_left.insert(query.to_string(), at));
    }

    /// Records a period in which an aggregator accepts no new connections; replaces one with the same start.
    pub fn set_not_accepting(&self, aggregator: usize, from: f64, to: f64) {
        self.with_state(|state| {
            state.not_accepting.retain(|(no, began, _)| (*no, *began) != (aggregator, from));
            state.not_accepting.push((aggregator, from, to));
        });
    }

    /// Records the violation of a rule that is checked elsewhere.
    pub fn report_violation(&self, rule: &'static str, what: &str) {
        self.with_state(|state| state.report_violation(rule, || what.to_string()));
    }

    fn with_state<T>(&self, update: impl FnOnce(&mut State) -> T) -> T {
        update(&mut self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner))
    }

    /// Records the time from which all aggregators that reach discovery can know that a run store drains, or that it no
    /// longer drains (`None`).
    pub fn set_draining(&self, store: usize, since: Option<f64>) {
        self.with_state(|state| match since {
            Some(at) => drop(state.draining.insert(store, at)),
            None => drop(state.draining.remove(&store)),
        });
    }

    /// Sets an additional tolerance for slow machines, in milliseconds.
    pub fn set_slack(&self, slack: f64) {
        self.with_state(|state| state.slack_ms = slack);
    }

    /// Sets the lateness from which an answer counts as lost, in milliseconds, in place of the usual tolerance.
    pub fn set_late_limit(&self, late: f64) {
        self.with_state(|state| state.late_limit_ms = Some(late));
    }

    /// Records that connections from this address belong to an aggregator.
    pub fn add_route(&self, from: SocketAddr, aggregator: usize) {
        self.with_state(|state| state.routes.insert(from, aggregator));
    }

    /// Returns the aggregator whose connection comes from an address.
    pub fn aggregator_of(&self, from: SocketAddr) -> Option<usize> {
        self.with_state(|state| state.routes.get(&from).copied())
    }

    /// Records that an aggregator is partitioned from discovery (`None`), or when its partition ended.
    pub fn set_partitioned(&self, aggregator: usize, ended: Option<f64>) {
        self.with_state(|state| state.partitioned.insert(aggregator, ended));
    }

    /// Records that an aggregator is killed or suspended from a time on, until [`Checker::end_unavailable`].
    pub fn begin_unavailable(&self, aggregator: usize, from: f64) {
        self.set_unavailable(aggregator, from, f64::INFINITY);
    }

    /// Records that an aggregator serves again, after a period that began at `from`. A process that was started counts
    /// as unavailable until it listens.
    pub fn end_unavailable(&self, aggregator: usize, from: f64, to: f64) {
        self.set_unavailable(aggregator, from, to);
    }

    /// Sets a period in which an aggregator is unavailable; replaces one with the same start.
    fn set_unavailable(&self, aggregator: usize, from: f64, to: f64) {
        self.with_state(|state| {
            state.unavailable.retain(|(no, began, _)| (*no, *began) != (aggregator, from));
            state.unavailable.push((aggregator, from, to));
        });
    }

    /// Checks a query that got no answer, which is allowed only if its aggregator was unavailable or shutting down.
    pub fn check_unanswered(&self, answer: &Answer) {
        self.with_state(|state| {
            if !state.was_unavailable(answer.aggregator, answer.asked_at, answer.answered_at)
                && !state.was_not_accepting(answer.aggregator, answer.asked_at)
            {
                state.report_violation("lost", || {
                    format!("{} got no answer from n-{}", answer.query, answer.aggregator)
                });
            }
        });
    }

    /// Returns the first attempts and the further attempts that arrived, by second of the clock.
    pub fn attempts_by_second(&self) -> BTreeMap<u64, [u64; 2]> {
        self.with_state(|state| state.attempts_by_second.clone())
    }

    /// Checks an attempt that arrived at a run store.
    pub fn check_arrival(&self, arrival: Arrival) {
        self.with_state(|state| {
            state.check_attempt(&arrival);
            state.check_cold(&arrival);
            if let Some(since) = state.draining.get(&arrival.store).copied() {
                // An aggregator that is partitioned from discovery cannot know of the drain until the partition ends.
                let known_since = match arrival.from.and_then(|from| state.partitioned.get(&from)) {
                    None => since,
                    Some(None) => f64::INFINITY,
                    Some(Some(ended)) => since.max(ended + DISCOVERY_DELAY_MS),
                };
                if arrival.at > known_since + DRAIN_GRACE_MS + state.slack_ms {
                    let late = arrival.at - since;
                    state.report_violation("drain", || {
                        format!(
                            "s-{} got {} {late:.0} ms after its drain could be known",
                            arrival.store, arrival.part
                        )
                    });
                }
            }
            let attempts = state.parts.entry(arrival.part.clone()).or_default();
            attempts.push((arrival.at, arrival.store, arrival.ran));
            state.attempts_by_second.entry((arrival.at / 1000.0) as u64).or_default()
                [usize::from(attempts.len() > 1)] += 1;
            if attempts.len() > MAX_ATTEMPTS {
                state.report_violation("attempts", || {
                    format!("{} had more than {MAX_ATTEMPTS} attempts", arrival.part)
                });
            }
        });
    }

    /// Checks an answer; `value` computes what a run store answers for a part.
    pub fn check_answer(&self, answer: &Answer, value: impl Fn(&str) -> String) {
        self.with_state(|state| {
            let late = answer.answered_at - answer.asked_at - answer.timeout_ms;
            if late > state.late_limit_ms.unwrap_or(LATE_TOLERANCE_MS) + state.slack_ms
                && !state.was_unavailable(answer.aggregator, answer.asked_at, answer.answered_at)
            {
                state.report_violation("in time", || {
                    format!("{} was answered {late:.0} ms late", answer.query)
                });
            }
            let ran = |shard: &u32| {
                state
                    .parts
                    .get(&format!("{}.{shard}", answer.query))
                    .is_some_and(|a| a.iter().any(|(_, _, ran)| *ran))
            };
            if answer.refused && !answer.safe && answer.requested.iter().any(|(shard, _)| ran(shard)) {
                state.report_violation("refusals", || {
                    format!("{} was refused after a part had run", answer.query)
                });
            }
            if !answer.served {
                return;
            }
            let weight: f64 = answer
                .requested
                .iter()
                .filter(|(shard, _)| answer.values.iter().any(|(answered, _)| answered == shard))
                .map(|(_, weight)| weight)
                .sum();
            if weight + 0.001 < answer.least_share {
                state.report_violation("least share", || {
                    format!("{} was answered with a share of {weight:.2}", answer.query)
                });
            }
            if answer.whole && answer.values.len() < answer.requested.len() {
                state.report_violation("honest", || {
                    format!("{} is marked whole but lacks values", answer.query)
                });
            }
            for (shard, value_read) in &answer.values {
                let part = format!("{}.{shard}", answer.query);
                if *value_read != value(&part) {
                    state.report_violation("honest", || {
                        format!("{part} was answered with {value_read}, which no run store returned")
                    });
                }
            }
        });
    }

    /// Records a query and whether its parts may run twice.
    pub fn register_query(&self, query: String, shards: impl Iterator<Item = u32>, safe: bool) {
        if !safe {
            self.with_state(|state| {
                state.unsafe_parts.extend(shards.map(|shard| format!("{query}.{shard}")))
            });
        }
    }

    /// Returns the broken rules at the end of a run: how often, and a description of the first time.
    pub fn violations(&self) -> BTreeMap<String, (u64, String)> {
        self.with_state(|state| {
            for part in std::mem::take(&mut state.unsafe_parts) {
                let runs =
                    state.parts.get(&part).map_or(0, |all| all.iter().filter(|(_, _, ran)| *ran).count());
                if runs > 1 {
                    state.report_violation("duplicate", || format!("{part} ran {runs} times"));
                }
            }
        });
        self.with_state(|state| {
            state.violations.iter().map(|(rule, found)| ((*rule).to_string(), found.clone())).collect()
        })
    }
}

#[cfg(test)]
mod tests;
