//! The history of a single query: its events in chronological order, with the decisions on each part and their reasons.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::block::Block;
use crate::record::{Action, Entry, Event, How, Progress, Record};
use crate::set::Set;
use crate::Error;

/// An event in the history of a query.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Moment {
    /// The time of the event, in Unix milliseconds.
    pub at: f64,
    /// The time since the first event, in milliseconds.
    pub since_ms: f64,
    /// The shard, if the event concerns a part.
    pub shard: Option<u32>,
    /// A description of the event.
    pub what: String,
}

/// The history of a query.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Story {
    /// The name of the aggregator.
    pub aggregator: String,
    /// The start time of the aggregator's process, in Unix milliseconds.
    pub process: u64,
    /// The number of the query within its process.
    pub query: u64,
    /// The id that its client gave it.
    pub name: Option<String>,
    /// Its class.
    pub class: Option<String>,
    /// Its group.
    pub group: Option<String>,
    /// The way in which it ended.
    pub end: Option<String>,
    /// Its events, in chronological order.
    pub moments: Vec<Moment>,
}

/// Returns a description of the way in which a query ended.
pub fn describe_end(how: How) -> &'static str {
    match how {
        How::Whole => "answered whole",
        How::Partial => "answered partially",
        How::Refused => "refused",
        How::Failed => "failed",
        How::Left => "left by its client",
    }
}

/// Collects the history of a query, given by source index and number.
///
/// # Errors
/// If a reader fails.
pub fn collect(set: &mut Set, source: usize, query: u64) -> Result<Story, Error> {
    let process = &set.sources[source];
    let mut story = Story {
        aggregator: process.aggregator.clone(),
        process: process.started,
        query,
        name: None,
        class: None,
        group: None,
        end: None,
        moments: Vec::new(),
    };
    // The attempts of each part so far: the run store and the time of each.
    let mut sent: BTreeMap<u32, Vec<(String, f64)>> = BTreeMap::new();
    set.visit_query(source, query, |block, entry| story.add_entry(&mut sent, block, entry))?;
    let first = story.moments.first().map_or(0.0, |moment| moment.at);
    story.moments.iter_mut().for_each(|moment| moment.since_ms = moment.at - first);
    Ok(story)
}

impl Story {
    fn push(&mut self, at: f64, shard: Option<u32>, what: String) {
        self.moments.push(Moment { at, since_ms: 0.0, shard, what });
    }

    fn add_entry(&mut self, sent: &mut BTreeMap<u32, Vec<(String, f64)>>, block: &Block, entry: &Entry) {
        let (at, query) = (entry.at, self.query);
        match &entry.record {
            Record::Taken(taken) if taken.query == query => {
                self.name = Some(block.text(taken.name).into());
                self.class = Some(block.text(taken.class).into());
                self.group = taken.group.map(|group| block.text(group).into());
                let again = if taken.retry { ", a retry by its client" } else { "" };
                let wait = taken.timeout.value();
                self.push(
                    at,
                    None,
                    format!("taken: {} parts, its client waits {wait:.0} ms{again}", taken.parts),
                );
            }
            Record::Verdict(verdict) if verdict.query == query => {
                self.class.get_or_insert_with(|| block.text(verdict.class).into());
                self.end = Some(describe_end(verdict.how).into());
                let (took, parts_in, parts) = (verdict.took.value(), verdict.parts_in, verdict.parts);
                let cause = verdict.cause.map_or(String::new(), |cause| format!(": {}", cause.description()));
                let end = describe_end(verdict.how);
                self.push(
                    at,
                    None,
                    format!("{end} after {took:.1} ms, {parts_in} of {parts} parts completed{cause}"),
                );
            }
            Record::Wire(wire) if wire.query == query => {
                let what = match wire.progress {
                    Progress::Begun => "its last byte was not written: it never ran".to_string(),
                    Progress::Written(None) => {
                        "its last byte is written: it may run from here on".to_string()
                    }
                    Progress::Written(Some(took)) => {
                        let took = took.value();
                        format!(
                            "its last byte is written, {took:.2} ms after its first: it may run from here on"
                        )
                    }
                };
                self.push(at, Some(wire.shard), format!("attempt {}: {what}", wire.attempt));
            }
            Record::Step(step) => {
                step.events.iter().filter(|event| event.query() == Some(query)).for_each(|event| {
                    self.add_event(sent, block, at, event);
                });
                step.actions.iter().filter(|action| action.query() == Some(query)).for_each(|action| {
                    self.add_action(sent, block, at, action);
                });
            }
            _ => {}
        }
    }

    fn add_event(&mut self, sent: &BTreeMap<u32, Vec<(String, f64)>>, block: &Block, at: f64, event: &Event) {
        match event {
            Event::Part { shard, weight, .. } => {
                self.push(at, Some(*shard), format!("a part of weight {:.3}", weight.value()));
            }
            Event::Ended { shard, attempt, run_store, outcome: how, latency, load, .. } => {
                let load = load.and_then(|load| load.utilization).map(|utilization| utilization.value());
                let load = load.map_or(String::new(), |utilization| {
                    format!(", which reports utilization {utilization:.2}")
                });
                let (name, latency) = (block.text(*run_store), latency.value());
                let known = sent.get(shard).is_some_and(|sent| sent.len() > *attempt as usize);
                let from = if known { "" } else { ", sent before this trace begins" };
                let what =
                    format!("attempt {attempt} {} at {name} after {latency:.1} ms{load}{from}", how.code());
                self.push(at, Some(*shard), what);
            }
            Event::Gone(_) => self.push(
                at,
                None,
                "the module is notified that its client left or its deadline passed".into(),
            ),
            _ => {}
        }
    }

    fn add_action(
        &mut self,
        sent: &mut BTreeMap<u32, Vec<(String, f64)>>,
        block: &Block,
        at: f64,
        action: &Action,
    ) {
        match action {
            Action::Send { shard, run_store, timeout, why, choice, .. } => {
                let attempts = sent.entry(*shard).or_default();
                let (no, name) = (attempts.len(), block.text(*run_store).to_string());
                let what = format!(
                    "attempt {no} ({}) goes to {name} ({}), timeout {:.0} ms",
                    why.description(),
                    choice.description(),
                    timeout.value()
                );
                attempts.push((name, at));
                self.push(at, Some(*shard), what);
            }
            Action::Cancel { shard, attempt, why, .. } => {
                self.push(at, Some(*shard), format!("attempt {attempt} is cancelled {}", why.description()));
            }
            Action::Answer { whole, .. } => {
                self.push(at, None, format!("decided: answer, {}", if *whole { "whole" } else { "partial" }));
            }
            Action::Refuse { retry_after, cause, .. } => {
                let wait = retry_after.value();
                let what = format!("decided: refuse, retry after {wait:.0} ms: {}", cause.description());
                self.push(at, None, what);
            }
            Action::Fail { cause, .. } => {
                self.push(at, None, format!("decided: fail: {}", cause.description()))
            }
            _ => {}
        }
    }
}
