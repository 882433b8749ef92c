//! What a trace says of the service, by class and group.

use std::collections::{BTreeMap, BTreeSet};

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::block::Block;
use crate::record::{Entry, Event, How, Progress, Record};
use crate::set::{Met, Set};

/// Latencies are kept in microseconds, to three digits, up to ten minutes.
const MOST_US: u64 = 600_000_000;

/// How the queries of a class or group ended.
#[derive(Debug, Clone, Serialize)]
pub struct Service {
    /// Queries taken whose taking is in the trace.
    pub taken: u64,
    /// Answered, whole or from some parts.
    pub answered: u64,
    /// Of these, whole.
    pub whole: u64,
    /// Of these, from some parts.
    pub partial: u64,
    /// Refused.
    pub refused: u64,
    /// Failed.
    pub failed: u64,
    /// Left by their clients.
    pub left: u64,
    /// Answered with an error before they became queries.
    pub not_taken: u64,
    /// The time from taking to the answer, of those answered: percentiles in milliseconds.
    pub latency_ms: BTreeMap<&'static str, f64>,
    #[serde(skip)]
    latencies: Histogram<u32>,
}

impl Default for Service {
    fn default() -> Self {
        // These bounds are sound ones, so that there is always a histogram.
        let latencies = Histogram::new_with_max(MOST_US, 3).unwrap_or_else(|_| unreachable!("sound bounds"));
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
    fn end(&mut self, how: How, took_ms: f64) {
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

    /// The queries that ended.
    pub fn ended(&self) -> u64 {
        self.answered + self.refused + self.failed + self.left
    }
}

/// What a run store did.
#[derive(Debug, Clone, Default, Serialize)]
pub struct RunStore {
    /// Attempts that ended, by outcome.
    pub ends: BTreeMap<String, u64>,
    /// Probes answered, and not.
    pub probes_ok: u64,
    /// See `probes_ok`.
    pub probes_failed: u64,
}

/// The last counts of a process, and what the trace holds less than they say.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Process {
    /// The aggregator.
    pub aggregator: String,
    /// When it started, in Unix milliseconds.
    pub started: u64,
    /// The first and the last time in the trace.
    pub from: f64,
    /// See `from`.
    pub to: f64,
    /// Whether its recording ended in good order.
    pub ended: bool,
    /// Records that it says were lost.
    pub lost: u64,
    /// Gaps by blocks that could not be read.
    pub gaps: u64,
    /// Attempts written whole.
    pub tries: u64,
    /// Ends that the last counts before the end of the trace tell and the trace lacks: what was before the recording
    /// began, or was lost. By class: answered, refused, failed or not taken.
    pub missing: BTreeMap<String, [i64; 3]>,
}

/// The summary.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Summary {
    /// By class.
    pub classes: BTreeMap<String, Service>,
    /// By group.
    pub groups: BTreeMap<String, Service>,
    /// By class and cause: why queries were refused or failed.
    pub causes: BTreeMap<String, BTreeMap<String, u64>>,
    /// By run store.
    pub run_stores: BTreeMap<String, RunStore>,
    /// By process.
    pub processes: Vec<Process>,
    /// Of the queries taken, those without an end in the trace.
    pub open: u64,
    /// Entries read.
    pub entries: u64,
    /// What could not be read.
    pub troubles: Vec<String>,
}

/// Which entries count.
#[derive(Debug, Clone, Default)]
pub struct Only {
    /// Of a class.
    pub class: Option<String>,
    /// Of a group.
    pub group: Option<String>,
}

impl Only {
    /// Whether a query of a class and group counts.
    pub fn has(&self, class: &str, group: Option<&str>) -> bool {
        let class_fits = self.class.as_deref().is_none_or(|only| only == class);
        class_fits && self.group.as_deref().is_none_or(|only| Some(only) == group)
    }
}

#[derive(Default)]
struct Tally {
    /// By process: its last counts by class, and the same ends as counted here, before those counts.
    told: BTreeMap<usize, BTreeMap<String, [u64; 3]>>,
    counted: BTreeMap<usize, BTreeMap<String, [u64; 3]>>,
    at_counts: BTreeMap<usize, BTreeMap<String, [u64; 3]>>,
    open: BTreeSet<(usize, u64)>,
}

/// Summarises the entries of a span.
pub fn summarise(set: &mut Set, span: (f64, f64), only: &Only) -> Summary {
    let mut summary = Summary::default();
    let process = |source: &crate::file::Source| Process {
        aggregator: source.aggregator.clone(),
        started: source.started,
        ..Process::default()
    };
    summary.processes = set.sources.iter().map(process).collect();
    let mut tally = Tally::default();
    set.blockwise(span, |met| match met {
        Met::Gap(source) => summary.processes[source].gaps += 1,
        Met::Entry(source, block, entry) if (span.0..=span.1).contains(&entry.at) => {
            summary.take(&mut tally, source, block, entry, only);
        }
        Met::Entry(..) => {}
    });
    summary.classes.values_mut().chain(summary.groups.values_mut()).for_each(Service::finish);
    summary.open = tally.open.len() as u64;
    for (source, told) in &tally.told {
        let counted = tally.at_counts.get(source).cloned().unwrap_or_default();
        for (class, told) in told {
            let counted = counted.get(class).copied().unwrap_or_default();
            let less = [0, 1, 2].map(|at| told[at] as i64 - counted[at] as i64);
            if less != [0; 3] {
                summary.processes[*source].missing.insert(class.clone(), less);
            }
        }
    }
    summary.troubles = set.troubles.iter().map(|(path, why)| format!("{}: {why}", path.display())).collect();
    summary
}

impl Summary {
    fn take(&mut self, tally: &mut Tally, source: usize, block: &Block, entry: &Entry, only: &Only) {
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
                if only.has(class, group) {
                    tally.open.insert((source, taken.query));
                    self.of(class, group, |service| service.taken += 1);
                }
            }
            Record::Verdict(verdict) => {
                let class = block.text(verdict.class);
                let group = verdict.group.map(|group| block.text(group));
                tally.open.remove(&(source, verdict.query));
                count(
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
                if only.has(class, group) {
                    if let Some(cause) = verdict.cause {
                        let causes = self.causes.entry(class.into()).or_default();
                        *causes.entry(cause.code().into()).or_default() += 1;
                    }
                    self.of(class, group, |service| service.end(verdict.how, verdict.took.value()));
                }
            }
            Record::NotTaken(Some(class)) => {
                let class = block.text(*class);
                count(tally, source, class, Some(2));
                if only.has(class, None) {
                    self.classes.entry(class.into()).or_default().not_taken += 1;
                }
            }
            Record::Counts(counts) => {
                let row = |counts: &crate::record::ClassCounts| {
                    (block.text(counts.class).to_string(), [counts.ok, counts.shed, counts.errors])
                };
                tally.told.insert(source, counts.classes.iter().map(row).collect());
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

    fn of(&mut self, class: &str, group: Option<&str>, change: impl Fn(&mut Service)) {
        change(self.classes.entry(class.into()).or_default());
        change(self.groups.entry(group.unwrap_or("-").into()).or_default());
    }
}

fn count(tally: &mut Tally, source: usize, class: &str, place: Option<usize>) {
    if let Some(place) = place {
        tally.counted.entry(source).or_default().entry(class.into()).or_default()[place] += 1;
    }
}
