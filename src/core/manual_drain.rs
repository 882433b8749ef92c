//! Manual drains: operators' drain and restore calls for run stores, which override the directory's list.
//!
//! A manually drained run store counts as draining, even if the list says that it is active. A restored one
//! counts as restarted since, as its restart is the usual reason for the drain, and discovery lags by seconds
//! and may report the restart late or never.

use std::collections::{BTreeMap, BTreeSet, HashSet, VecDeque};

use serde::{Deserialize, Serialize};

use super::{Core, DirectoryUpdate};
use crate::api::{Millis, Replica, ReplicaId, ReplicaState};

/// Number of ids of formerly listed run stores that are remembered.
const MOST_GONE: usize = 4096;
/// Milliseconds for which a restored run store that is not listed is remembered.
const BACK_FOR: Millis = 600_000.0;

/// Run stores that operators have drained or restored.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ManualDrains {
    out: BTreeSet<ReplicaId>,
    /// When each restored run store was restored.
    back: BTreeMap<ReplicaId, Millis>,
    /// Ids that were listed before and are not now.
    gone: Gone,
}

/// The most recently removed ids, oldest first.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "VecDeque<ReplicaId>", into = "VecDeque<ReplicaId>")]
struct Gone {
    order: VecDeque<ReplicaId>,
    /// The same ids as a set: a whole region may be removed at once, and each of its run stores is looked up
    /// here.
    known: HashSet<ReplicaId>,
}

impl From<VecDeque<ReplicaId>> for Gone {
    fn from(order: VecDeque<ReplicaId>) -> Self {
        Gone { known: order.iter().cloned().collect(), order }
    }
}

impl From<Gone> for VecDeque<ReplicaId> {
    fn from(gone: Gone) -> Self {
        gone.order
    }
}

impl Gone {
    fn contains(&self, id: &ReplicaId) -> bool {
        self.known.contains(id)
    }

    fn push(&mut self, id: &ReplicaId) {
        if !self.known.insert(id.clone()) {
            return;
        }
        if self.order.len() == MOST_GONE {
            if let Some(oldest) = self.order.pop_front() {
                self.known.remove(&oldest);
            }
        }
        self.order.push_back(id.clone());
    }
}

impl ManualDrains {
    /// Returns a line of the list with manual drains and restores applied.
    pub(super) fn over(&self, told: &Replica) -> Replica {
        let mut line = told.clone();
        if self.out.contains(&line.id) && line.state == ReplicaState::Active {
            line.state = ReplicaState::Draining;
        }
        // A listed start time before the restore is that of the restart for which the run store was drained,
        // or older.
        let back = self.back.get(&line.id).copied();
        line.started = back.filter(|at| line.started.is_none_or(|told| told <= *at)).or(line.started);
        line
    }

    /// Records that a run store is no longer listed.
    pub(super) fn forget(&mut self, id: &ReplicaId) {
        self.gone.push(id);
    }
}

impl Core {
    /// Drains a run store manually, or restores it. Returns `false` if it was never listed. Repeating the
    /// call has no effect.
    pub fn set_manual_drain(&mut self, now: Millis, id: &ReplicaId, out: bool) -> bool {
        let known = self.ledger.run_stores.contains_key(id) || self.manual_drains.gone.contains(id);
        if known {
            self.apply_manual_drain(now, id, out);
        }
        known
    }

    /// Applies a manual drain or restore that another process of this aggregator accepted at `at`; that
    /// process had the run store in its list.
    pub fn apply_manual_drain(&mut self, at: Millis, id: &ReplicaId, out: bool) {
        let changed = match out {
            true => self.manual_drains.out.insert(id.clone()),
            false => self.manual_drains.out.remove(id),
        };
        if changed {
            let places = &self.ledger.run_stores;
            self.manual_drains.back.retain(|id, since| places.contains_key(id) || at - *since < BACK_FOR);
            if !out {
                self.manual_drains.back.insert(id.clone(), at);
            }
            // Reapplies the latest list with the changed manual drains. It is passed as `Cached`, as the
            // directory has not sent it: a pending request to the directory stays pending.
            self.apply_directory_update(DirectoryUpdate::Cached(self.directory()));
        }
    }
}

#[cfg(test)]
mod tests;
