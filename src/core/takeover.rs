//! What a core leaves to the core of a process that takes over from it, and what two such cores share meanwhile.

use serde::{Deserialize, Serialize};

use super::manual_drain::ManualDrains;
use super::Core;
use crate::settings::SiteSettings;
use crate::starts::StartTimes;

/// What the rules see as one aggregator's, beside the list of run stores.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct TakeoverState {
    /// What operators have said.
    #[serde(rename = "hand")]
    pub manual_drains: ManualDrains,
    /// When run stores started, by the clock that both share; a process of an older version does not say.
    #[serde(default)]
    starts: StartTimes,
    /// What the router has learned, by the places of classes.
    learned: String,
    /// The classes by their places.
    classes: Vec<String>,
}

impl Core {
    /// What the process that takes over is to know.
    pub fn takeover_state(&self) -> TakeoverState {
        TakeoverState {
            manual_drains: self.manual_drains.clone(),
            starts: self.starts.clone(),
            learned: self.router.export_learned(),
            classes: self.classes.order(),
        }
    }

    /// Takes that over, before any list; says whether what was learned could be read.
    ///
    /// # Errors
    /// Says which setting contradicts itself.
    pub fn restore_takeover_state(
        &mut self,
        site: &SiteSettings,
        state: TakeoverState,
    ) -> Result<bool, String> {
        self.manual_drains = state.manual_drains;
        self.starts = state.starts;
        self.classes.in_order(&state.classes, site);
        self.apply_settings(site)?;
        Ok(self.router.import_learned(&state.learned))
    }

    /// Queries and parts that are held.
    pub fn held(&self) -> usize {
        self.ledger.open()
    }

    /// Leaves room for what another process of this aggregator holds, under the limit on both.
    pub fn leave_room(&mut self, held: usize) {
        self.held_elsewhere = held;
    }
}
