//! Places the start times of run stores on this process's own clock.
//!
//! Lists give start times as Unix times of the machines' wall clock. The process's clock is set to the wall
//! clock once and then only runs forward, so the two diverge when the wall clock is stepped. A start in an
//! update of the list is recent and not in the future, regardless of the wall clock. A start that cannot be
//! placed is taken to be now; until the run store is warm in any case, its load reports are not used to
//! estimate how fast others get warm.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::api::{Millis, ReplicaId};

/// The wall clock counts as stepped if its offset from the process's clock changes by more than this, in
/// milliseconds.
const MIN_CLOCK_STEP: Millis = 250.0;
/// The number of offsets that are kept, the latest ones.
const MAX_OFFSETS: usize = 8;

/// A start time as stated, and as placed on the process's clock.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
struct Start {
    stated: Millis,
    placed: Millis,
    /// If the start could not be placed, the time from which the run store is warm in any case, else the
    /// time of placing.
    #[serde(rename = "unsure_until")]
    warmth_known_from: Millis,
}

/// Where a start time comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartSource {
    /// The list that the process starts with: the run store may have started long ago.
    InitialList,
    /// A later update.
    Update,
}

/// The start times of the listed run stores.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct StartTimes {
    #[serde(rename = "known")]
    starts: BTreeMap<ReplicaId, Start>,
    /// Offsets of the wall clock from the process's clock, in milliseconds, oldest first and the present
    /// one last.
    #[serde(rename = "ahead")]
    clock_offsets: Vec<Millis>,
    /// Whether the clock is known not to be far ahead of the clocks of the run stores. No start is listed
    /// before it happens, so the clock is ahead by at most the age that any start seems to have.
    #[serde(rename = "is_known")]
    is_clock_verified: bool,
}

impl StartTimes {
    /// Records the present offset of the wall clock from the process's clock.
    pub fn record_wall_clock(&mut self, offset: Millis) {
        if self.clock_offsets.iter().any(|known| (known - offset).abs() <= MIN_CLOCK_STEP) {
            return;
        }
        if self.clock_offsets.len() == MAX_OFFSETS {
            self.clock_offsets.remove(0);
        }
        self.clock_offsets.push(offset);
        self.is_clock_verified = false;
    }

    /// Places a stated start on the process's clock and returns it. A start that seems to be younger than
    /// `warm_within`, the longest warm-up time, shows that the clock is ahead by less than that. Until
    /// there was one, an older start in an update cannot be placed.
    pub fn place(
        &mut self,
        id: &ReplicaId,
        stated: Option<Millis>,
        now: Millis,
        source: StartSource,
        warm_within: Millis,
    ) -> Option<Millis> {
        let Some(stated) = stated else {
            self.starts.remove(id);
            return None;
        };
        if let Some(start) = self.starts.get(id).filter(|start| start.stated == stated) {
            return Some(start.placed);
        }
        let at = self.to_process_clock(stated, now).unwrap_or(now);
        self.is_clock_verified |= now - at < warm_within;
        let unplaceable = source == StartSource::Update && !self.is_clock_verified;
        let start = match unplaceable {
            true => Start { stated, placed: now, warmth_known_from: now + warm_within },
            false => Start { stated, placed: at, warmth_known_from: now },
        };
        self.starts.insert(id.clone(), start);
        Some(start.placed)
    }

    /// Returns whether it is known how warm a run store is, so that its load reports show how fast others
    /// get warm.
    pub fn is_warmth_known(&self, id: &ReplicaId, now: Millis) -> bool {
        self.starts.get(id).is_none_or(|start| now >= start.warmth_known_from)
    }

    /// Returns the start as stated in the list.
    pub fn stated(&self, id: &ReplicaId) -> Option<Millis> {
        self.starts.get(id).map(|start| start.stated)
    }

    /// Removes a run store that is no longer listed.
    pub fn forget(&mut self, id: &ReplicaId) {
        self.starts.remove(id);
    }

    /// Converts a stated time to the process's clock, by the offset that gives the latest time that is not
    /// in the future.
    fn to_process_clock(&self, stated: Millis, now: Millis) -> Option<Millis> {
        let offsets = self.clock_offsets.iter().copied().chain([0.0]);
        offsets.map(|offset| stated - offset).filter(|at| *at <= now).reduce(f64::max)
    }
}

#[cfg(test)]
mod tests;
