//! The list changes of a run, generated from the seed alone before any process is started.

use std::collections::BTreeMap;

use ironpaddle::hash::{hash, mix};

/// The version of discovery's list before the first event.
pub const FIRST_INDEX: u64 = 1;
/// The maximum share of run stores that are removed or draining at the same time.
const MAX_AWAY_SHARE: f64 = 0.1;
const ZONES: [&str; 3] = ["a", "b", "c"];

/// A run store in the list.
///
/// The `Debug` output is part of the digest of events, so field names must not change.
#[derive(Debug, Clone, PartialEq)]
pub struct Entry {
    /// The cell of the run store.
    pub cell: u32,
    /// Whether the run store is draining.
    pub draining: bool,
    /// The start time in milliseconds after the begin of the events; `None` if it started long before.
    pub started: Option<u64>,
}

/// The listed run stores by name.
pub type Entries = BTreeMap<String, Entry>;

/// The kind of a list change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// The run store drains: it should receive no new parts.
    Drain,
    /// A new process of the run store has started and is ready.
    Restart,
    /// The run store is removed from the list.
    Remove,
    /// A run store joins the list, in the cell of a removed one.
    Add,
}

/// A change of one list entry.
///
/// The `Debug` output is part of the digest of events, so names of fields and variants must not change.
#[derive(Debug, Clone, PartialEq)]
pub struct Event {
    /// The time in milliseconds after the begin of the events.
    pub at: u64,
    /// The kind of the change.
    pub change: Change,
    /// The name of the run store.
    pub name: String,
    /// The entry after the change; for a removed run store, its last entry.
    pub entry: Entry,
}

/// Returns the list before the first event.
pub fn first_list(run_stores: usize) -> Entries {
    (0..run_stores).map(|no| (name(no), Entry { cell: no as u32, draining: false, started: None })).collect()
}

fn name(no: usize) -> String {
    format!("s-{no:08x}")
}

/// Generates the events of a run, evenly spaced.
pub fn generate(run_stores: usize, per_second: f64, seconds: f64, seed: u64) -> Vec<Event> {
    let mut random = fastrand::Rng::with_seed(mix(seed));
    let mut listed = first_list(run_stores);
    let mut names: Vec<String> = listed.keys().cloned().collect();
    let (mut draining, mut free): (Vec<String>, Vec<u32>) = Default::default();
    let max_away = ((run_stores as f64 * MAX_AWAY_SHARE) as usize).max(1);
    let mut next = run_stores;
    let mut events = Vec::new();
    for no in 0..(per_second * seconds) as u64 {
        let at = (no as f64 * 1000.0 / per_second) as u64;
        // If the maximum number is removed or draining, one of them returns instead.
        let may_leave = draining.len() + free.len() < max_away && !names.is_empty();
        let change = match random.u32(0..10) {
            0..=3 if may_leave => Change::Drain,
            4..=5 if may_leave => Change::Remove,
            6..=7 if !free.is_empty() => Change::Add,
            0..=5 if draining.is_empty() && !free.is_empty() => Change::Add,
            _ if draining.is_empty() && names.is_empty() => Change::Add,
            _ => Change::Restart,
        };
        let (name, entry) = match change {
            Change::Add => {
                let cell = free.swap_remove(random.usize(..free.len()));
                next += 1;
                (name(next - 1), Entry { cell, draining: false, started: Some(at) })
            }
            Change::Restart => {
                let from = if draining.is_empty() { &mut names } else { &mut draining };
                let name = from.swap_remove(random.usize(..from.len()));
                let cell = listed[&name].cell;
                (name, Entry { cell, draining: false, started: Some(at) })
            }
            Change::Drain | Change::Remove => {
                let name = names.swap_remove(random.usize(..names.len()));
                let entry = listed[&name].clone();
                (name, Entry { draining: change == Change::Drain, ..entry })
            }
        };
        match change {
            Change::Drain => draining.push(name.clone()),
            Change::Remove => free.push(entry.cell),
            Change::Restart | Change::Add => names.push(name.clone()),
        }
        let event = Event { at, change, name, entry };
        apply(&mut listed, &event);
        events.push(event);
    }
    events
}

/// Applies an event to the list.
pub fn apply(listed: &mut Entries, event: &Event) {
    if event.change == Change::Remove {
        listed.remove(&event.name);
    } else {
        listed.insert(event.name.clone(), event.entry.clone());
    }
}

/// Returns a digest of the events.
pub fn digest(events: &[Event]) -> u64 {
    events.iter().fold(0, |sum, event| mix(sum ^ hash(&format!("{event:?}"))))
}

/// Returns a digest of a list, whose entries are given as name, cell, draining flag and start time.
pub fn digest_list<'a>(lines: impl Iterator<Item = (&'a str, u32, bool, Option<f64>)>) -> u64 {
    lines.fold(0, |sum, line| mix(sum ^ hash(&format!("{line:?}"))))
}

/// Returns the same digest for entries whose start times count from `begin`, in Unix milliseconds.
pub fn digest_entries(listed: &Entries, begin: u64) -> u64 {
    let started = |entry: &Entry| entry.started.map(|at| (begin + at) as f64);
    digest_list(listed.iter().map(|(name, entry)| (&**name, entry.cell, entry.draining, started(entry))))
}

/// Serializes a list entry as discovery sends it.
pub fn line(name: &str, entry: &Entry, gone: bool, address: &str, begin: u64) -> String {
    let status = match (gone, entry.draining) {
        (true, _) => "gone",
        (false, true) => "draining",
        (false, false) => "ready",
    };
    let zone = ZONES[entry.cell as usize % ZONES.len()];
    let since = entry.started.map_or(0, |at| begin + at);
    format!(
        r#"{{"name":"{name}","address":"{address}","zone":"{zone}","type":"m2","group":{},"status":"{status}","weight":1.0,"since_ms":{since}}}"#,
        entry.cell
    )
}
