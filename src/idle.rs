//! Detects that something on the network path silently drops idle connections, and after how long an idle
//! time.

use serde::{Deserialize, Serialize};

use crate::api::Millis;
use crate::decaying_mean::DecayingMean;

/// Share of sends on idle connections that are lost from which idle connections count as dropped.
const DROPPED_SHARE: f64 = 0.1;
/// Idle connections are then closed at this share of the shortest idle time with a loss.
const LIMIT_MARGIN: f64 = 0.5;
/// Weight of one send in the share of lost sends.
const SEND_WEIGHT: f64 = 0.06;

/// Losses of sends on idle connections.
#[derive(Debug, Default, Clone, Serialize, Deserialize)]
pub struct IdleDrops {
    #[serde(rename = "drops")]
    losses: DecayingMean,
    /// The idle time after which connections are to be closed, in milliseconds, while idle connections
    /// count as dropped.
    pub limit: Millis,
}

impl IdleDrops {
    /// Returns whether idle connections count as dropped. The share of lost sends halves in every
    /// half-life.
    pub fn drops_detected(&self, now: Millis, half_life: Millis) -> bool {
        self.losses.at(now, half_life) > DROPPED_SHARE
    }

    /// Records whether a send on a connection that had been idle for this long was lost.
    pub fn record_send(&mut self, idle_time: Millis, lost: bool, now: Millis, half_life: Millis) {
        if lost {
            let limit = if self.losses.at(now, half_life) < DROPPED_SHARE { idle_time } else { self.limit };
            self.limit = limit.min(idle_time * LIMIT_MARGIN);
        }
        self.losses.record(f64::from(u8::from(lost)), SEND_WEIGHT, now, half_life);
    }
}

#[cfg(test)]
mod tests;
