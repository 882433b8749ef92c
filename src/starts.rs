//! Places the start times of run stores on this process's own clock.
//!
//! Lists give start times as Unix times of the machines' wall clock. The process's clock is set to the wall
//! clock once and then only runs forward, so the two diverge when the wall clock is stepped. A start in an
//! update of the list is recent and not in the future, whatever the wall clock says. A start that cannot be
//! placed is taken to be now; until the run store is warm in any case, its load reports are not used to
//! estimate how fast others get warm.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::api::{Millis, ReplicaId};

/// The wall clock counts as stepped if its offset from the process's clock changes by more than this, in
/// milliseconds.
const STEP: Millis = 250.0;
/// The number of offsets that are kept, the latest ones.
const MOST_STEPS: usize = 8;

/// A start time as stated, and as placed on the process's clock.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
struct Start {
    stated: Millis,
    placed: Millis,
    /// Until when the run store may be warm or cold, as its start could not be placed.
    unsure_until: Millis,
}

/// Where a start time comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartSource {
    /// The list that the process starts with: the run store may have started long ago.
    AtFirst,
    /// A later update.
    Since,
}

/// The start times of the listed run stores.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct StartTimes {
    known: BTreeMap<ReplicaId, Start>,
    /// Offsets of the wall clock from the process's clock, in milliseconds, oldest first and the present
    /// one last.
    ahead: Vec<Millis>,
    /// Whether the clock is known not to be far ahead of the clocks of the run stores. No start is listed
    /// before it happens, so the clock is ahead by at most the age that any start seems to have.
    is_known: bool,
}

impl StartTimes {
    /// Records the present offset of the wall clock from the process's clock.
    pub fn note_wall_clock(&mut self, ahead: Millis) {
        if self.ahead.iter().any(|known| (known - ahead).abs() <= STEP) {
            return;
        }
        if self.ahead.len() == MOST_STEPS {
            self.ahead.remove(0);
        }
        self.ahead.push(ahead);
        self.is_known = false;
    }

    /// Places a stated start on the process's clock and returns it. A start that seems to be younger than
    /// `warm_within`, the longest warm-up time, shows that the clock is ahead by less than that. Until
    /// there was one, an older start in an update cannot be placed.
    pub fn place(
        &mut self,
        id: &ReplicaId,
        stated: Option<Millis>,
        now: Millis,
        told: StartSource,
        warm_within: Millis,
    ) -> Option<Millis> {
        let Some(stated) = stated else {
            self.known.remove(id);
            return None;
        };
        if let Some(start) = self.known.get(id).filter(|start| start.stated == stated) {
            return Some(start.placed);
        }
        let at = self.latest_before(stated, now).unwrap_or(now);
        self.is_known |= now - at < warm_within;
        let unsure = told == StartSource::Since && !self.is_known;
        let start = match unsure {
            true => Start { stated, placed: now, unsure_until: now + warm_within },
            false => Start { stated, placed: at, unsure_until: now },
        };
        self.known.insert(id.clone(), start);
        Some(start.placed)
    }

    /// Returns whether it is known how warm a run store is, so that its load reports show how fast others
    /// get warm.
    pub fn is_sure(&self, id: &ReplicaId, now: Millis) -> bool {
        self.known.get(id).is_none_or(|start| now >= start.unsure_until)
    }

    /// Returns the start as stated in the list.
    pub fn stated(&self, id: &ReplicaId) -> Option<Millis> {
        self.known.get(id).map(|start| start.stated)
    }

    /// Removes a run store that is no longer listed.
    pub fn forget(&mut self, id: &ReplicaId) {
        self.known.remove(id);
    }

    /// Converts a stated time to the process's clock, by the offset that gives the latest time that is not
    /// in the future.
    fn latest_before(&self, stated: Millis, now: Millis) -> Option<Millis> {
        let steps = self.ahead.iter().copied().chain([0.0]);
        steps.map(|ahead| stated - ahead).filter(|at| *at <= now).reduce(f64::max)
    }
}

#[cfg(test)]
mod tests;
