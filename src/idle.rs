//! Detects that something on the network path silently drops idle connections, and after how long an idle
//! time.

use serde::{Deserialize, Serialize};

use crate::api::Millis;
use crate::decaying_mean::DecayingMean;

/// Share of sends on idle connections that are lost from which idle connections count as dropped, and the
/// share of the shortest idle time with a loss at which they are closed instead.
const DROPS: f64 = 0.1;
const MARGIN: f64 = 0.5;
/// Weight of one send in the share of lost sends.
const SMOOTH: f64 = 0.06;

/// Losses of sends on idle connections.
#[derive(Debug, Default, Clone, Serialize, Deserialize)]
pub struct IdleDrops {
    drops: DecayingMean,
    /// The idle time after which connections are to be closed, in milliseconds, while idle connections
    /// count as dropped.
    pub limit: Millis,
}

impl IdleDrops {
    /// Returns whether idle connections count as dropped. The share of lost sends halves in every
    /// half-life.
    pub fn drops(&self, now: Millis, half: Millis) -> bool {
        self.drops.at(now, half) > DROPS
    }

    /// Records whether a send on a connection that had been idle for this long was lost.
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
