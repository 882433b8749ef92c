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
const MAX_DELISTED: usize = 4096;
/// Milliseconds for which a restored run store that is not listed is remembered.
const RESTORED_KEPT_FOR: Millis = 600_000.0;

/// Run stores that operators have drained or restored.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ManualDrains {
    #[serde(rename = "out")]
    drained: BTreeSet<ReplicaId>,
    /// When each restored run store was restored.
    #[serde(rename = "back")]
    restored_at: BTreeMap<ReplicaId, Millis>,
    /// Ids that were listed before and are not now.
    #[serde(rename = "gone")]
    delisted: DelistedIds,
}

/// The most recently removed ids, oldest first.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "VecDeque<ReplicaId>", into = "VecDeque<ReplicaId>")]
struct DelistedIds {
    order: VecDeque<ReplicaId>,
    /// The same ids as a set: a whole region may be removed at once, and each of its run stores is looked up
    /// here.
    known: HashSet<ReplicaId>,
}

impl From<VecDeque<ReplicaId>> for DelistedIds {
    fn from(order: VecDeque<ReplicaId>) -> Self {
        DelistedIds { known: order.iter().cloned().collect(), order }
    }
}

impl From<DelistedIds> for VecDeque<ReplicaId> {
    fn from(delisted: DelistedIds) -> Self {
        delisted.order
    }
}

impl DelistedIds {
    fn contains(&self, id: &ReplicaId) -> bool {
        self.known.contains(id)
    }

    fn push(&mut self, id: &ReplicaId) {
        if !self.known.insert(id.clone()) {
            return;
        }
        if self.order.len() == MAX_DELISTED {
            if let Some(oldest) = self.order.pop_front() {
                self.known.remove(&oldest);
            }
        }
        self.order.push_back(id.clone());
    }
}

impl ManualDrains {
    /// Returns a line of the list with manual drains and restores applied.
    pub(super) fn apply_to(&self, listed: &Replica) -> Replica {
        let mut line = listed.clone();
        if self.drained.contains(&line.id) && line.state == ReplicaState::Active {
            line.state = ReplicaState::Draining;
        }
        // A listed start time before the restore is that of the restart for which the run store was drained,
        // or older.
        let restored_at = self.restored_at.get(&line.id).copied();
        line.started =
            restored_at.filter(|at| line.started.is_none_or(|started| started <= *at)).or(line.started);
        line
    }

    /// Records that a run store is no longer listed.
    pub(super) fn note_delisted(&mut self, id: &ReplicaId) {
        self.delisted.push(id);
    }
}

impl Core {
    /// Drains a run store manually, or restores it. Returns `false` if it was never listed. Repeating the
    /// call has no effect.
    pub fn set_manual_drain(&mut self, now: Millis, id: &ReplicaId, out: bool) -> bool {
        let known = self.ledger.run_stores.contains_key(id) || self.manual_drains.delisted.contains(id);
        if known {
            self.apply_manual_drain(now, id, out);
        }
        known
    }

    /// Applies a manual drain or restore that another process of this aggregator accepted at `at`; that
    /// process had the run store in its list.
    pub fn apply_manual_drain(&mut self, at: Millis, id: &ReplicaId, out: bool) {
        let changed = match out {
            true => self.manual_drains.drained.insert(id.clone()),
            false => self.manual_drains.drained.remove(id),
        };
        if changed {
            let entries = &self.ledger.run_stores;
            self.manual_drains
                .restored_at
                .retain(|id, restored| entries.contains_key(id) || at - *restored < RESTORED_KEPT_FOR);
            if !out {
                self.manual_drains.restored_at.insert(id.clone(), at);
            }
            // Reapplies the latest list with the changed manual drains. It is passed as `Cached`, as the
            // directory has not sent it: a pending request to the directory stays pending.
            self.apply_directory_update(DirectoryUpdate::Cached(self.directory()));
        }
    }
}

#[cfg(test)]
mod tests;
