//! Whether something on the way drops idle connections unseen, and how long they may be idle then.

use serde::{Deserialize, Serialize};

use crate::api::Millis;
use crate::decaying_mean::DecayingMean;

/// Share of sends on idle connections lost from which these are closed, at this share of a fatal idleness.
const DROPS: f64 = 0.1;
const MARGIN: f64 = 0.5;
/// Weight of a send in that share.
const SMOOTH: f64 = 0.06;

/// What is known of idle connections.
#[derive(Debug, Default, Clone, Serialize, Deserialize)]
pub struct IdleDrops {
    drops: DecayingMean,
    /// The idleness to allow, where such are dropped.
    pub limit: Millis,
}

impl IdleDrops {
    /// Whether idle connections are dropped. Half of what tells so fades in `half`.
    pub fn drops(&self, now: Millis, half: Millis) -> bool {
        self.drops.at(now, half) > DROPS
    }

    /// A send on a connection idle for so long was lost, or was not.
    pub fn note(&mut self, idle: Millis, lost: bool, now: Millis, half: Millis) {
        if lost {
            let limit = if self.drops.at(now, half) < DROPS { idle } else { self.limit };
            self.limit = limit.min(idle * MARGIN);
        }
        self.drops.note(f64::from(u8::from(lost)), SMOOTH, now, half);
    }
}

#[cfg(test)]
mod tests;
