//! What operators have said of run stores, laid over what any directory tells.
//!
//! One that is out by hand drains, whatever is told of it. One that is back was restarted meanwhile, as far as
//! anybody knows here: discovery is seconds behind, and may tell of it late or not at all.

use std::collections::{BTreeMap, BTreeSet, HashSet, VecDeque};

use serde::{Deserialize, Serialize};

use super::{Core, DirectoryUpdate};
use crate::api::{Millis, Replica, ReplicaId, ReplicaState};

/// Ids of run stores that were listed once which are remembered.
const MOST_GONE: usize = 4096;
/// How long one that is back and not listed is remembered.
const BACK_FOR: Millis = 600_000.0;

/// Run stores of which operators have spoken.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ManualDrains {
    out: BTreeSet<ReplicaId>,
    /// When each that is back was called back.
    back: BTreeMap<ReplicaId, Millis>,
    /// Ids that were listed once and are not.
    gone: Gone,
}

/// The latest ids that were listed once and are not, oldest first.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "VecDeque<ReplicaId>", into = "VecDeque<ReplicaId>")]
struct Gone {
    order: VecDeque<ReplicaId>,
    /// The same ids: a region may go at once, and each of its run stores is looked for here.
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
    /// A line of the list as it holds here.
    pub(super) fn over(&self, told: &Replica) -> Replica {
        let mut line = told.clone();
        if self.out.contains(&line.id) && line.state == ReplicaState::Active {
            line.state = ReplicaState::Draining;
        }
        // A start that is told and lies before the call back is the restart that the call speaks of, or older.
        let back = self.back.get(&line.id).copied();
        line.started = back.filter(|at| line.started.is_none_or(|told| told <= *at)).or(line.started);
        line
    }

    /// A run store is no longer listed.
    pub(super) fn forget(&mut self, id: &ReplicaId) {
        self.gone.push(id);
    }
}

impl Core {
    /// Takes a run store out by hand, or brings it back; `false` if no such was ever listed. Said again, it
    /// changes nothing.
    pub fn set_manual_drain(&mut self, now: Millis, id: &ReplicaId, out: bool) -> bool {
        let known = self.ledger.run_stores.contains_key(id) || self.manual_drains.gone.contains(id);
        if known {
            self.apply_manual_drain(now, id, out);
        }
        known
    }

    /// The same, as another process of this aggregator was told at some time: there it was listed.
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
            // The list as last told, under what operators say now. It is none that the directory has sent, so that
            // a watch that is being waited for is still waited for.
            self.apply_directory_update(DirectoryUpdate::Cached(self.directory()));
        }
    }
}

#[cfg(test)]
mod tests;
