//! Replay: the recorded events go to the decision module again, and each action is compared.
//!
//! Replay begins at a checkpoint and ends at a loss, a gap, or the end; a later checkpoint begins it anew. As the
//! module reads no clock and draws chance from its state, it has to say the same to the bit.

use std::collections::BTreeMap;

use ironpaddle_trace::block::{Batch, Block};
use ironpaddle_trace::record::{self, Entry, Record, Step, Told};

use super::{convert, is_replayable, MODULE, REWORDING};
use crate::api::{Action, Settings};
use crate::settings::Info;
use crate::Router;

/// What differed first.
#[derive(Debug, Clone, PartialEq, serde::Serialize)]
pub struct Difference {
    /// When, in Unix milliseconds.
    pub at: f64,
    /// The query that it is about, if one is.
    pub query: Option<u64>,
    /// What was recorded; `None` where nothing more was.
    pub recorded: Option<String>,
    /// What the module says now; `None` where it says nothing more.
    pub now: Option<String>,
}

/// What replay has shown.
#[derive(Debug, Clone, Default, PartialEq, serde::Serialize)]
pub struct Report {
    /// Checkpoints from which replay began.
    pub checkpoints: u64,
    /// Steps played.
    pub steps: u64,
    /// Events fed to the module.
    pub events: u64,
    /// Actions compared.
    pub actions: u64,
    /// Steps that could not be played, as there was no checkpoint that could be read before them.
    pub skipped: u64,
    /// Why checkpoints could not be used, each reason once.
    pub unusable: Vec<String>,
    /// The first difference.
    pub difference: Option<Difference>,
    /// Steps that differed.
    pub differing: u64,
    /// With other settings: ends of queries as recorded and as they would be, and how many.
    pub verdicts: BTreeMap<String, u64>,
}

/// A replay of one process's entries, which have to come in their order.
pub struct Replay {
    router: Option<Router>,
    other: Option<Info>,
    /// With other settings: the ends of queries that were recorded, and those that the module gave.
    ends: BTreeMap<u64, (Option<String>, Option<String>)>,
    report: Report,
}

impl Replay {
    /// A replay under the recorded settings, or under others.
    pub fn new(other: Option<Info>) -> Self {
        Replay { router: None, other, ends: BTreeMap::new(), report: Report::default() }
    }

    /// The next entry.
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
                    // With other settings the first checkpoint alone counts: later states are those of reality.
                    Ok(_) if self.other.is_some() && self.router.is_some() => {}
                    Ok(router) => {
                        self.router = Some(router);
                        self.report.checkpoints += 1;
                        // The state holds its settings, and what they have been used up by.
                        if self.other.is_some() {
                            self.retune(block, &checkpoint.told);
                        }
                    }
                    Err(why) => {
                        self.router = None;
                        if !self.report.unusable.iter().any(|known| known == why) {
                            self.report.unusable.push(why.to_string());
                        }
                    }
                }
            }
            Record::Settings(told) => self.retune(block, told),
            Record::Step(step) => self.step(block, entry.at, step),
            _ => {}
        }
    }

    /// Entries are missing here: only a checkpoint begins anew.
    pub fn gap(&mut self) {
        if self.other.is_none() {
            self.router = None;
        }
    }

    fn retune(&mut self, block: &Block, told: &Told) {
        let Some(router) = &mut self.router else { return };
        let Ok(mut settings) = postcard::from_bytes::<Settings>(&told.module) else { return };
        if let Some(other) = &self.other {
            settings = in_places(block, told, &settings, other);
        }
        // What was in force when it was recorded had been checked; what is not is told by the differences.
        let _ = router.retune(settings);
    }

    fn step(&mut self, block: &Block, at: f64, step: &Step) {
        let Some(router) = &mut self.router else {
            self.report.skipped += 1;
            return;
        };
        let events: Vec<_> = step.events.iter().map(|event| convert::event_in(block, at, event)).collect();
        self.report.steps += 1;
        self.report.events += events.len() as u64;
        let actions = router.step(at, events);
        if self.other.is_some() {
            self.compare_ends(step, &actions);
            return;
        }
        self.report.actions += actions.len() as u64;
        // Names are compared as texts: a table made anew knows them by other places.
        let mut table = Batch::default();
        let again: Vec<_> =
            actions.iter().map(|action| convert::action_out(&mut table, at, action)).collect();
        let text = |action: &record::Action| match action {
            record::Action::Send { run_store, .. } => Some(block.text(*run_store)),
            record::Action::Probe(name) | record::Action::CloseIdle(name) => Some(block.text(*name)),
            _ => None,
        };
        let same = |recorded: &record::Action, (again, action): (&record::Action, &Action)| {
            let run_store = match action {
                Action::Send { replica, .. } | Action::Probe { replica } | Action::CloseIdle { replica } => {
                    Some(&*replica.0)
                }
                _ => None,
            };
            text(recorded) == run_store && bare(recorded) == bare(again)
        };
        let mut pairs = step.actions.iter().zip(again.iter().zip(&actions));
        let differs = pairs.position(|(recorded, pair)| !same(recorded, pair));
        let at_end = (step.actions.len() != actions.len()).then(|| step.actions.len().min(actions.len()));
        if let Some(place) = differs.or(at_end) {
            self.report.differing += 1;
            let recorded = step.actions.get(place);
            let query = recorded.or(again.get(place)).and_then(record::Action::query);
            let show = |action: &record::Action| {
                let words = format!("{:?}", bare(action));
                text(action).map_or(words.clone(), |name| format!("{words} at {name}"))
            };
            let now = actions.get(place).map(|action| format!("{action:?}"));
            let found = Difference { at, query, recorded: recorded.map(show), now };
            self.report.difference.get_or_insert(found);
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
            if let Some((query, end)) = end_of(&convert::action_out(&mut table, 0.0, action)) {
                self.ends.entry(query).or_default().1 = Some(end);
            }
        }
    }

    /// What it has shown.
    pub fn report(mut self) -> Report {
        for (recorded, now) in self.ends.values() {
            let none = || "no end".to_string();
            let (recorded, now) = (recorded.clone().unwrap_or_else(none), now.clone().unwrap_or_else(none));
            *self.report.verdicts.entry(format!("{recorded} -> {now}")).or_default() += 1;
        }
        self.report
    }
}

/// An action without the place of its name.
fn bare(action: &record::Action) -> record::Action {
    let mut action = action.clone();
    match &mut action {
        record::Action::Send { run_store: name, .. }
        | record::Action::Probe(name)
        | record::Action::CloseIdle(name) => *name = record::Name(0),
        _ => {}
    }
    action
}

/// The end that an action gives a query.
fn end_of(action: &record::Action) -> Option<(u64, String)> {
    match action {
        record::Action::Answer { query, whole: true } => Some((*query, "whole".into())),
        record::Action::Answer { query, whole: false } => Some((*query, "partial".into())),
        record::Action::Refuse { query, .. } => Some((*query, "refused".into())),
        record::Action::Fail { query, .. } => Some((*query, "failed".into())),
        _ => None,
    }
}

/// Other settings, with classes and groups at the places that the recording knows them by. One that the other
/// settings do not name stays as it was.
fn in_places(block: &Block, told: &Told, recorded: &Settings, other: &Info) -> Settings {
    let (mut settings, names) = (other.settings(), other.names());
    let place = |table: &BTreeMap<String, usize>, name| table.get(block.text(name)).copied();
    let class = |(at, name): (usize, &record::Name)| {
        let own = place(&names.classes, *name).and_then(|place| settings.classes.get(place));
        own.or(recorded.classes.get(at)).cloned()
    };
    let group = |(at, name): (usize, &record::Name)| {
        let own = place(&names.tenants, *name).and_then(|place| settings.tenants.get(place));
        own.or(recorded.tenants.get(at)).cloned()
    };
    let classes: Vec<_> = told.classes.iter().enumerate().filter_map(class).collect();
    let tenants: Vec<_> = told.groups.iter().enumerate().filter_map(group).collect();
    (settings.classes, settings.tenants) = (classes, tenants);
    settings
}
