//! When run stores started, by this process's own clock.
//!
//! Lists state starts as Unix times of the machines' wall clock. The process's clock begins at that too and then only
//! runs forward, so that the two part once the wall clock is stepped. A start that is told as news lies in the past and
//! not long ago, whatever a wall clock says; where it cannot be placed, it is taken to be now, and what the run
//! store reports meanwhile tells nothing of how others get warm.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::api::{Millis, ReplicaId};

/// The wall clock is taken to be stepped if it parts from the process's by more than this.
const STEP: Millis = 250.0;
/// Steps that are remembered, the latest ones.
const MOST_STEPS: usize = 8;

/// A start as it was stated, and as it was placed on the process's clock.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
struct Start {
    stated: Millis,
    placed: Millis,
    /// Until when it is not known how warm the run store is, as its start could not be placed.
    unsure_until: Millis,
}

/// How a start came to be known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartSource {
    /// It stands in the list that the process begins with: it may lie long ago.
    AtFirst,
    /// It is news.
    Since,
}

/// The starts of the run stores that are listed.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct StartTimes {
    known: BTreeMap<ReplicaId, Start>,
    /// How far the wall clock was ahead of the process's, at each step the last time, oldest first.
    ahead: Vec<Millis>,
    /// Whether the clock is known not to be far ahead of the run stores': no start is told before it was, so that it is
    /// ahead by no more than the time that seems to have passed since any.
    is_known: bool,
}

impl StartTimes {
    /// The wall clock is so far ahead of the process's clock now.
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

    /// Places the start that a line states. A start within `warm_within`, in which a run store gets warm, tells that the
    /// clock is right, but for less than that; while none has, news of an older one cannot be placed.
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

    /// Whether it is known at some time how warm a run store is, so that its reports tell how others get warm.
    pub fn is_sure(&self, id: &ReplicaId, now: Millis) -> bool {
        self.known.get(id).is_none_or(|start| now >= start.unsure_until)
    }

    /// The start as the list states it.
    pub fn stated(&self, id: &ReplicaId) -> Option<Millis> {
        self.known.get(id).map(|start| start.stated)
    }

    /// A run store is no longer listed.
    pub fn forget(&mut self, id: &ReplicaId) {
        self.known.remove(id);
    }

    /// A stated time on the process's clock: by the step of the wall clock under which it is latest, and not ahead.
    fn latest_before(&self, stated: Millis, now: Millis) -> Option<Millis> {
        let steps = self.ahead.iter().copied().chain([0.0]);
        steps.map(|ahead| stated - ahead).filter(|at| *at <= now).reduce(f64::max)
    }
}

#[cfg(test)]
mod tests;
