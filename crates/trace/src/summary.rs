//! Summary statistics of a trace, by class, group, run store and process.

use std::collections::{BTreeMap, BTreeSet};

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::block::Block;
use crate::record::{Entry, Event, How, Progress, Record};
use crate::set::{Item, Set};

/// The maximum latency of the histograms, in microseconds (ten minutes). They keep three significant digits.
const MAX_LATENCY_US: u64 = 600_000_000;

/// The ends and latencies of the queries of a class or group.
#[derive(Debug, Clone, Serialize)]
pub struct Service {
    /// The number of queries whose acceptance is in the trace.
    pub taken: u64,
    /// The number of answered queries, whole or partial.
    pub answered: u64,
    /// The number of whole answers.
    pub whole: u64,
    /// The number of partial answers.
    pub partial: u64,
    /// The number of refused queries.
    pub refused: u64,
    /// The number of failed queries.
    pub failed: u64,
    /// The number of queries whose client disconnected before there was an answer.
    pub left: u64,
    /// The number of requests that were answered with an error before they were accepted as queries.
    pub not_taken: u64,
    /// Percentiles of the time from acceptance to answer, of the answered queries, in milliseconds.
    pub latency_ms: BTreeMap<&'static str, f64>,
    #[serde(skip)]
    latencies: Histogram<u32>,
}

impl Default for Service {
    fn default() -> Self {
        // Creating a histogram fails only if its bounds are invalid, and these are valid.
        let latencies =
            Histogram::new_with_max(MAX_LATENCY_US, 3).unwrap_or_else(|_| unreachable!("valid bounds"));
        Service {
            taken: 0,
            answered: 0,
            whole: 0,
            partial: 0,
            refused: 0,
            failed: 0,
            left: 0,
            not_taken: 0,
            latency_ms: BTreeMap::new(),
            latencies,
        }
    }
}

impl Service {
    fn add_end(&mut self, how: How, took_ms: f64) {
        match how {
            How::Whole => (self.answered, self.whole) = (self.answered + 1, self.whole + 1),
            How::Partial => (self.answered, self.partial) = (self.answered + 1, self.partial + 1),
            How::Refused => self.refused += 1,
            How::Failed => self.failed += 1,
            How::Left => self.left += 1,
        }
        if matches!(how, How::Whole | How::Partial) {
            self.latencies.saturating_record((took_ms * 1000.0).max(0.0) as u64);
        }
    }

    fn finish(&mut self) {
        if self.latencies.is_empty() {
            return;
        }
        for (name, quantile) in [("p50", 0.5), ("p90", 0.9), ("p99", 0.99), ("max", 1.0)] {
            self.latency_ms.insert(name, self.latencies.value_at_quantile(quantile) as f64 / 1000.0);
        }
    }

    /// Returns the number of queries that ended.
    pub fn ended(&self) -> u64 {
        self.answered + self.refused + self.failed + self.left
    }
}

/// The attempts and probes of a run store.
#[derive(Debug, Clone, Default, Serialize)]
pub struct RunStore {
    /// The number of ended attempts, by outcome.
    pub ends: BTreeMap<String, u64>,
    /// The number of answered probes.
    pub probes_ok: u64,
    /// The number of unanswered probes.
    pub probes_failed: u64,
}

/// The recording of a process, and the ends that its counters include but the trace lacks.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Process {
    /// The name of the aggregator.
    pub aggregator: String,
    /// The start time of the process, in Unix milliseconds.
    pub started: u64,
    /// The time of the first entry, in Unix milliseconds.
    pub from: f64,
    /// The time of the last entry, in Unix milliseconds.
    pub to: f64,
    /// Whether the recording was closed regularly.
    pub ended: bool,
    /// The number of records that the process reported as lost.
    pub lost: u64,
    /// The number of blocks that could not be read.
    pub gaps: u64,
    /// The number of attempts that were written completely.
    pub tries: u64,
    /// The ends of queries that the last recorded counters include but the trace lacks, because they happened before
    /// the recording began or their records were lost. By class: answered, refused, and failed or not accepted.
    pub missing: BTreeMap<String, [i64; 3]>,
}

/// The summary of a trace.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Summary {
    /// The queries of each class.
    pub classes: BTreeMap<String, Service>,
    /// The queries of each group.
    pub groups: BTreeMap<String, Service>,
    /// The number of refused and failed queries, by class and cause.
    pub causes: BTreeMap<String, BTreeMap<String, u64>>,
    /// The attempts and probes of each run store.
    pub run_stores: BTreeMap<String, RunStore>,
    /// The recording of each process.
    pub processes: Vec<Process>,
    /// The number of accepted queries without an end in the trace.
    pub open: u64,
    /// The number of entries read.
    pub entries: u64,
    /// Problems met in reading the trace.
    pub troubles: Vec<String>,
}

/// A filter by class and group. A condition that is not set accepts every query.
#[derive(Debug, Clone, Default)]
pub struct Filter {
    /// The required class.
    pub class: Option<String>,
    /// The required group.
    pub group: Option<String>,
}

impl Filter {
    /// Returns whether a query of this class and group passes the filter.
    pub fn accepts(&self, class: &str, group: Option<&str>) -> bool {
        let class_fits = self.class.as_deref().is_none_or(|only| only == class);
        class_fits && self.group.as_deref().is_none_or(|only| Some(only) == group)
    }
}

/// Intermediate counts, by process and class: answered, refused, and failed or not accepted.
#[derive(Default)]
struct Tally {
    /// The last counters that the process recorded.
    recorded: BTreeMap<usize, BTreeMap<String, [u64; 3]>>,
    /// The ends counted in the trace so far.
    counted: BTreeMap<usize, BTreeMap<String, [u64; 3]>>,
    /// The value of `counted` at the last recorded counters.
    at_counts: BTreeMap<usize, BTreeMap<String, [u64; 3]>>,
    /// The queries that were accepted and have not ended, by process and number.
    open: BTreeSet<(usize, u64)>,
}

/// Summarises the entries of a time span.
pub fn summarise(set: &mut Set, span: (f64, f64), filter: &Filter) -> Summary {
    let mut summary = Summary::default();
    let process = |source: &crate::file::Source| Process {
        aggregator: source.aggregator.clone(),
        started: source.started,
        ..Process::default()
    };
    summary.processes = set.sources.iter().map(process).collect();
    let mut tally = Tally::default();
    set.blockwise(span, |item| match item {
        Item::Gap(source) => summary.processes[source].gaps += 1,
        Item::Entry(source, block, entry) if (span.0..=span.1).contains(&entry.at) => {
            summary.add_entry(&mut tally, source, block, entry, filter);
        }
        Item::Entry(..) => {}
    });
    summary.classes.values_mut().chain(summary.groups.values_mut()).for_each(Service::finish);
    summary.open = tally.open.len() as u64;
    for (source, recorded) in &tally.recorded {
        let counted = tally.at_counts.get(source).cloned().unwrap_or_default();
        for (class, recorded) in recorded {
            let counted = counted.get(class).copied().unwrap_or_default();
            let missing = [0, 1, 2].map(|at| recorded[at] as i64 - counted[at] as i64);
            if missing != [0; 3] {
                summary.processes[*source].missing.insert(class.clone(), missing);
            }
        }
    }
    summary.troubles = set.troubles.iter().map(|(path, why)| format!("{}: {why}", path.display())).collect();
    summary
}

impl Summary {
    fn add_entry(&mut self, tally: &mut Tally, source: usize, block: &Block, entry: &Entry, filter: &Filter) {
        self.entries += 1;
        let process = &mut self.processes[source];
        if process.from == 0.0 {
            process.from = entry.at;
        }
        process.to = process.to.max(entry.at);
        process.ended = matches!(entry.record, Record::End);
        match &entry.record {
            Record::Taken(taken) => {
                let class = block.text(taken.class);
                let group = taken.group.map(|group| block.text(group));
                if filter.accepts(class, group) {
                    tally.open.insert((source, taken.query));
                    self.update(class, group, |service| service.taken += 1);
                }
            }
            Record::Verdict(verdict) => {
                let class = block.text(verdict.class);
                let group = verdict.group.map(|group| block.text(group));
                tally.open.remove(&(source, verdict.query));
                count_end(
                    tally,
                    source,
                    class,
                    match verdict.how {
                        How::Whole | How::Partial => Some(0),
                        How::Refused => Some(1),
                        How::Failed => Some(2),
                        How::Left => None,
                    },
                );
                if filter.accepts(class, group) {
                    if let Some(cause) = verdict.cause {
                        let causes = self.causes.entry(class.into()).or_default();
                        *causes.entry(cause.code().into()).or_default() += 1;
                    }
                    self.update(class, group, |service| service.add_end(verdict.how, verdict.took.value()));
                }
            }
            Record::NotTaken(Some(class)) => {
                let class = block.text(*class);
                count_end(tally, source, class, Some(2));
                if filter.accepts(class, None) {
                    self.classes.entry(class.into()).or_default().not_taken += 1;
                }
            }
            Record::Counts(counts) => {
                let row = |counts: &crate::record::ClassCounts| {
                    (block.text(counts.class).to_string(), [counts.ok, counts.shed, counts.errors])
                };
                tally.recorded.insert(source, counts.classes.iter().map(row).collect());
                tally.at_counts.insert(source, tally.counted.get(&source).cloned().unwrap_or_default());
            }
            Record::Loss(loss) => process.lost += loss.records,
            Record::Wire(wire) if matches!(wire.progress, Progress::Written(_)) => process.tries += 1,
            Record::Step(step) => {
                for event in &step.events {
                    match event {
                        Event::Ended { run_store, outcome, .. } => {
                            let store = self.run_stores.entry(block.text(*run_store).into()).or_default();
                            *store.ends.entry(outcome.code().into()).or_default() += 1;
                        }
                        Event::Probe { run_store, ok, .. } => {
                            let store = self.run_stores.entry(block.text(*run_store).into()).or_default();
                            *if *ok { &mut store.probes_ok } else { &mut store.probes_failed } += 1;
                        }
                        _ => {}
                    }
                }
            }
            _ => {}
        }
    }

    fn update(&mut self, class: &str, group: Option<&str>, change: impl Fn(&mut Service)) {
        change(self.classes.entry(class.into()).or_default());
        change(self.groups.entry(group.unwrap_or("-").into()).or_default());
    }
}

fn count_end(tally: &mut Tally, source: usize, class: &str, place: Option<usize>) {
    if let Some(place) = place {
        tally.counted.entry(source).or_default().entry(class.into()).or_default()[place] += 1;
    }
}
