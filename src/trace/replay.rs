//! Replays a recording: feeds the recorded events to the decision module again and compares each action.
//!
//! Replay begins at a checkpoint and stops at a gap (unless it runs under other settings), at an unusable checkpoint,
//! or at the end. After a stop, it resumes at the next usable checkpoint. The module reads no clock, and its random
//! numbers come from its state, so under the recorded settings the actions have to be identical to the bit.

use std::collections::BTreeMap;
use std::fmt;

use ironpaddle_trace::block::{Batch, Block};
use ironpaddle_trace::record::{self, AppliedSettings, Entry, Record, Step};

use super::{convert, is_replayable, MODULE, REWORDING};
use crate::api::{Action, Settings};
use crate::settings::SiteSettings;
use crate::Router;

/// The first difference between the recorded and the replayed actions.
#[derive(Debug, Clone, PartialEq, serde::Serialize)]
pub struct Difference {
    /// The time of the step, in Unix milliseconds.
    pub at: f64,
    /// The query that the action concerns, if any.
    pub query: Option<u64>,
    /// The recorded action; `None` if the recorded step has fewer actions.
    pub recorded: Option<String>,
    /// The replayed action; `None` if the replayed step has fewer actions.
    pub now: Option<String>,
}

/// The result of a replay.
#[derive(Debug, Clone, Default, PartialEq, serde::Serialize)]
pub struct Report {
    /// The number of checkpoints from which replay began.
    pub checkpoints: u64,
    /// The number of steps replayed.
    pub steps: u64,
    /// The number of events fed to the module.
    pub events: u64,
    /// The number of actions compared.
    pub actions: u64,
    /// The number of steps that could not be replayed, because no usable checkpoint lies between them and the start,
    /// the last gap, or the last unusable checkpoint.
    pub skipped: u64,
    /// The reasons for which checkpoints could not be used, each once.
    pub unusable: Vec<String>,
    /// The first difference, if there is any.
    pub difference: Option<Difference>,
    /// The number of steps that differed.
    pub differing: u64,
    /// With other settings: the number of queries by recorded and replayed end, as `RECORDED -> REPLAYED`.
    pub verdicts: BTreeMap<String, u64>,
}

/// Replays the entries of one process, which have to be fed in their order.
pub struct Replay {
    router: Option<Router>,
    /// The settings that replace the recorded ones, if any.
    other: Option<SiteSettings>,
    /// With other settings: the recorded and the replayed end of each query.
    ends: BTreeMap<u64, (Option<String>, Option<String>)>,
    report: Report,
}

impl Replay {
    /// Creates a replay under the recorded settings, or under `other` settings.
    pub fn new(other: Option<SiteSettings>) -> Self {
        Replay { router: None, other, ends: BTreeMap::new(), report: Report::default() }
    }

    /// Replays the next entry.
    pub fn take(&mut self, block: &Block, entry: &Entry) {
        match &entry.record {
            Record::Checkpoint(checkpoint) => {
                let state = if is_replayable(checkpoint.module, *MODULE, REWORDING) {
                    postcard::from_bytes::<Router>(&checkpoint.state)
                        .map_err(|_| "a state that cannot be read")
                } else {
                    Err("recorded by a decision module of another text; replay needs the program that recorded it")
                };
                match state {
                    // With other settings only the first checkpoint is used: later ones hold the recorded state.
                    Ok(_) if self.other.is_some() && self.router.is_some() => {}
                    Ok(router) => {
                        self.router = Some(router);
                        self.report.checkpoints += 1;
                        // The state holds the recorded settings, so the other ones are applied to it.
                        if self.other.is_some() {
                            self.apply_settings(block, &checkpoint.settings);
                        }
                    }
                    Err(reason) => {
                        self.router = None;
                        if !self.report.unusable.iter().any(|known| known == reason) {
                            self.report.unusable.push(reason.to_string());
                        }
                    }
                }
            }
            Record::Settings(applied) => self.apply_settings(block, applied),
            Record::Step(step) => self.step(block, entry.at, step),
            _ => {}
        }
    }

    /// Notes that entries are missing here. Replay resumes at the next checkpoint, or at once with other settings.
    pub fn gap(&mut self) {
        if self.other.is_none() {
            self.router = None;
        }
    }

    fn apply_settings(&mut self, block: &Block, applied: &AppliedSettings) {
        let Some(router) = &mut self.router else { return };
        let Ok(mut settings) = postcard::from_bytes::<Settings>(&applied.module) else { return };
        if let Some(other) = &self.other {
            settings = in_recorded_order(block, applied, &settings, other);
        }
        // Other settings were checked when they were read, and recorded ones before they came into force. If the module
        // rejects recorded settings all the same, the replayed actions differ, and that is reported.
        let _ = router.apply_settings(settings);
    }

    fn step(&mut self, block: &Block, at: f64, step: &Step) {
        let Some(router) = &mut self.router else {
            self.report.skipped += 1;
            return;
        };
        let events: Vec<_> =
            step.events.iter().map(|event| convert::event_from_record(block, at, event)).collect();
        self.report.steps += 1;
        self.report.events += events.len() as u64;
        let actions = router.step(at, events);
        if self.other.is_some() {
            self.compare_ends(step, &actions);
            return;
        }
        self.report.actions += actions.len() as u64;
        // Names are compared as text, since the new name table gives them other indexes.
        let mut table = Batch::default();
        let replayed: Vec<_> =
            actions.iter().map(|action| convert::action_to_record(&mut table, at, action)).collect();
        let run_store_name = |action: &record::Action| match action {
            record::Action::Send { run_store, .. } => Some(block.text(*run_store)),
            record::Action::Probe(name) | record::Action::CloseIdle(name) => Some(block.text(*name)),
            _ => None,
        };
        let same = |recorded: &record::Action, (replayed, action): (&record::Action, &Action)| {
            let run_store = match action {
                Action::Send { replica, .. } | Action::Probe { replica } | Action::CloseIdle { replica } => {
                    Some(&*replica.0)
                }
                _ => None,
            };
            run_store_name(recorded) == run_store && without_name(recorded) == without_name(replayed)
        };
        let mut pairs = step.actions.iter().zip(replayed.iter().zip(&actions));
        let first_differing = pairs.position(|(recorded, pair)| !same(recorded, pair));
        let first_unpaired =
            (step.actions.len() != actions.len()).then(|| step.actions.len().min(actions.len()));
        if let Some(index) = first_differing.or(first_unpaired) {
            self.report.differing += 1;
            let recorded = step.actions.get(index);
            let query = recorded.or(replayed.get(index)).and_then(record::Action::query);
            let show = |action: &record::Action| {
                let text = format!("{:?}", without_name(action));
                run_store_name(action).map_or(text.clone(), |name| format!("{text} at {name}"))
            };
            let now = actions.get(index).map(|action| format!("{:?}", InTraceTerms(action)));
            let difference = Difference { at, query, recorded: recorded.map(show), now };
            self.report.difference.get_or_insert(difference);
        }
    }

    fn compare_ends(&mut self, step: &Step, actions: &[Action]) {
        for action in &step.actions {
            if let Some((query, end)) = end_of(action) {
                self.ends.entry(query).or_default().0 = Some(end);
            }
        }
        let mut table = Batch::default();
        for action in actions {
            if let Some((query, end)) = end_of(&convert::action_to_record(&mut table, 0.0, action)) {
                self.ends.entry(query).or_default().1 = Some(end);
            }
        }
    }

    /// Returns the result.
    pub fn report(mut self) -> Report {
        for (recorded, now) in self.ends.values() {
            let none = || "no end".to_string();
            let (recorded, now) = (recorded.clone().unwrap_or_else(none), now.clone().unwrap_or_else(none));
            *self.report.verdicts.entry(format!("{recorded} -> {now}")).or_default() += 1;
        }
        self.report
    }
}

/// Returns the action with the index of its name set to 0.
fn without_name(action: &record::Action) -> record::Action {
    let mut action = action.clone();
    match &mut action {
        record::Action::Send { run_store: name, .. }
        | record::Action::Probe(name)
        | record::Action::CloseIdle(name) => *name = record::Name(0),
        _ => {}
    }
    action
}

/// Formats an action with the trace format's names for reasons and choices, and the module's names for all else.
struct InTraceTerms<'a>(&'a Action);

impl fmt::Debug for InTraceTerms<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Action::Send { part, replica, timeout, reason, choice } => f
                .debug_struct("Send")
                .field("part", part)
                .field("replica", replica)
                .field("timeout", timeout)
                .field("why", &convert::reason_to_record(*reason))
                .field("choice", &convert::choice_to_record(*choice))
                .finish(),
            Action::Cancel { part, attempt, reason } => f
                .debug_struct("Cancel")
                .field("part", part)
                .field("attempt", attempt)
                .field("why", &convert::reason_to_record(*reason))
                .finish(),
            other => fmt::Debug::fmt(other, f),
        }
    }
}

/// Returns the query that an action ends, and how it ends it.
fn end_of(action: &record::Action) -> Option<(u64, String)> {
    match action {
        record::Action::Answer { query, whole: true } => Some((*query, "whole".into())),
        record::Action::Answer { query, whole: false } => Some((*query, "partial".into())),
        record::Action::Refuse { query, .. } => Some((*query, "refused".into())),
        record::Action::Fail { query, .. } => Some((*query, "failed".into())),
        _ => None,
    }
}

/// Returns the other settings with classes and groups in the order of the recording. Those that the other settings do
/// not name keep their recorded settings.
fn in_recorded_order(
    block: &Block,
    applied: &AppliedSettings,
    recorded: &Settings,
    other: &SiteSettings,
) -> Settings {
    let (mut settings, names) = (other.router_settings(), other.names());
    let index_in = |table: &BTreeMap<String, usize>, name| table.get(block.text(name)).copied();
    let class = |(recorded_index, name): (usize, &record::Name)| {
        let other = index_in(&names.classes, *name).and_then(|index| settings.classes.get(index));
        other.or(recorded.classes.get(recorded_index)).cloned()
    };
    let group = |(recorded_index, name): (usize, &record::Name)| {
        let other = index_in(&names.tenants, *name).and_then(|index| settings.tenants.get(index));
        other.or(recorded.tenants.get(recorded_index)).cloned()
    };
    let classes: Vec<_> = applied.classes.iter().enumerate().filter_map(class).collect();
    let tenants: Vec<_> = applied.groups.iter().enumerate().filter_map(group).collect();
    (settings.classes, settings.tenants) = (classes, tenants);
    settings
}
