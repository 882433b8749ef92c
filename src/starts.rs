//! Start times of run stores on this process's own clock.
//!
//! Lists state starts as Unix times of the machines' wall clocks. The process's clock begins at the wall
//! clock's time and then only runs forward, so that the two differ once the wall clock is stepped. A start
//! that arrives as news is recent and in the past, whatever a wall clock says. Where it cannot be placed it
//! is taken to be now, and the run store's reports do not count as evidence of how fast others warm up until
//! it must be warm.

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
pub enum Told {
    /// It stands in the list that the process begins with: it may lie long ago.
    AtFirst,
    /// It is news.
    Since,
}

/// The starts of the run stores that are listed.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Starts {
    known: BTreeMap<ReplicaId, Start>,
    /// How far the wall clock was ahead of the process's, at each step the last time, oldest first.
    ahead: Vec<Millis>,
    /// Whether the clock is known not to be far ahead of the run stores' clocks: no start is reported before
    /// it happened, so that the clock is ahead by no more than the time that seems to have passed since any
    /// start.
    is_known: bool,
}

impl Starts {
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

    /// Places the start that a line of the list states. A start less than `warm_within` ago, the time in
    /// which a run store gets warm, shows that the clock is off by less than that. Until there was one, an
    /// older start that arrives as news cannot be placed.
    pub fn place(
        &mut self,
        id: &ReplicaId,
        stated: Option<Millis>,
        now: Millis,
        told: Told,
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
        let unsure = told == Told::Since && !self.is_known;
        let start = match unsure {
            true => Start { stated, placed: now, unsure_until: now + warm_within },
            false => Start { stated, placed: at, unsure_until: now },
        };
        self.known.insert(id.clone(), start);
        Some(start.placed)
    }

    /// Returns whether it is known at `now` how warm a run store is, so that its reports show how others warm
    /// up.
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

    /// Converts a stated time to the process's clock, by the step of the wall clock that gives the latest
    /// time not after `now`.
    fn latest_before(&self, stated: Millis, now: Millis) -> Option<Millis> {
        let steps = self.ahead.iter().copied().chain([0.0]);
        steps.map(|ahead| stated - ahead).filter(|at| *at <= now).reduce(f64::max)
    }
}

#[cfg(test)]
mod tests;
