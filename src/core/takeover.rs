//! The state that a core passes to the core of the process that takes over, and the capacity that the two
//! share meanwhile.

use serde::{Deserialize, Serialize};

use super::manual_drain::ManualDrains;
use super::Core;
use crate::api::Millis;
use crate::query_ids::IdHash;
use crate::settings::SiteSettings;
use crate::starts::StartTimes;

/// The state of an aggregator that outlives a process, other than the list of run stores.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct TakeoverState {
    /// Operators' manual drains.
    #[serde(rename = "hand")]
    pub manual_drains: ManualDrains,
    /// When run stores started, on the clock that both processes share. Processes of older versions do not
    /// send it.
    #[serde(default)]
    starts: StartTimes,
    /// The ids that no new query may have. `None` from an older version, which must not be told of ids either.
    #[serde(default)]
    pub query_ids: Option<Vec<IdHash>>,
    /// The state that the router has learned, which refers to classes by index.
    learned: String,
    /// The names of the classes by index.
    classes: Vec<String>,
}

impl Core {
    /// Returns the state for the process that takes over.
    pub fn takeover_state(&self) -> TakeoverState {
        TakeoverState {
            manual_drains: self.manual_drains.clone(),
            starts: self.start_times.clone(),
            query_ids: Some(self.query_ids.in_use()),
            learned: self.router.export_learned(),
            classes: self.classes.names_by_index(),
        }
    }

    /// Restores the state of the previous process; has to be called before any list is applied. Returns
    /// whether the learned state could be read.
    ///
    /// # Errors
    /// Returns a message that names the inconsistent setting.
    pub fn restore_takeover_state(
        &mut self,
        site: &SiteSettings,
        state: TakeoverState,
    ) -> Result<bool, String> {
        self.manual_drains = state.manual_drains;
        self.start_times = state.starts;
        self.classes.restore_order(&state.classes, site);
        self.apply_settings(site)?;
        Ok(self.router.import_learned(&state.learned))
    }

    /// Remembers the ids of queries that another process of this aggregator has accepted.
    pub fn remember_query_ids(&mut self, now: Millis, ids: &[IdHash]) {
        ids.iter().for_each(|id| self.query_ids.remember(now, *id));
    }

    /// Returns the number of open queries plus their parts without an answer.
    pub fn open_work(&self) -> usize {
        self.ledger.open_work()
    }

    /// Sets the number of queries and parts that another process of this aggregator holds; the limit applies
    /// to both together.
    pub fn set_held_elsewhere(&mut self, held: usize) {
        self.held_elsewhere = held;
    }
}
