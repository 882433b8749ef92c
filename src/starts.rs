//! When run stores started, by this process's own clock.
//!
//! Lists state starts as Unix times of the machines' wall clock. The process's clock begins at that too and then only
//! runs forward, so that the two part once the wall clock is stepped. A start that is told as news lies in the past and
//! not long ago, whatever a wall clock says; where it cannot be placed, it is taken to be now: a run store is never held
//! to be warmer than it is.

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
    /// The most by which the clock may be ahead of the run stores', once that is known: no start is told before it was,
    /// so that it is ahead by no more than the least time that seems to have passed since any.
    most_ahead: Option<Millis>,
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
        self.most_ahead = None;
    }

    /// Places the start that a line states. A start within `warm_within`, in which a run store gets warm, tells how far the
    /// clock may be ahead; while none has, news of an older one cannot be placed.
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
        if now - at < warm_within {
            self.most_ahead = Some(self.most_ahead.map_or(now - at, |most| most.min(now - at)));
        }
        let placed = match told {
            Told::AtFirst => at,
            Told::Since => self.most_ahead.map_or(now, |most| (at + most).min(now)),
        };
        self.known.insert(id.clone(), Start { stated, placed });
        Some(placed)
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
