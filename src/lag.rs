//! The lag of the router's own steps. Answers have to be sent earlier by that, to reach their clients in
//! time.

use serde::{Deserialize, Serialize};

use crate::api::Millis;
use crate::decaying_mean::DecayingMean;

/// The router itself counts as stalled if a step is late by more than this share of the shortest aim. The
/// margin for usual lag is at most this share of the aim of a class.
const STALL_OF_AIM: f64 = 0.1;
/// Lags that an answer may meet: its query waits to be read, its step is late, and its bytes wait to be
/// written.
const LAGS_PER_ANSWER: f64 = 3.0;

/// The lag of one router's steps.
#[derive(Debug, Default, Clone, Serialize, Deserialize)]
pub struct StepLag {
    /// Decaying maximum of the lag.
    #[serde(rename = "worst")]
    max_lag: DecayingMean,
    /// When the last stall of the router ended.
    #[serde(rename = "back")]
    pub stall_ended: Millis,
}

impl StepLag {
    /// Records a step. `due` is the time for which a wake-up was requested, if one is outstanding. The
    /// maximum lag halves in every half-life.
    pub fn record_step(&mut self, due: Option<Millis>, now: Millis, aim: Millis, half_life: Millis) {
        let lateness = due.map_or(0.0, |due| (now - due).max(0.0));
        // The router itself was late for its wake-up, so the gap is not a silence of the replicas.
        if lateness > aim * STALL_OF_AIM {
            self.stall_ended = now;
        }
        self.max_lag = DecayingMean(lateness.max(self.max_lag.at(now, half_life)), now);
    }

    /// Returns how much earlier than its aim an answer has to be sent.
    pub fn answer_margin(&self, now: Millis, aim: Millis, half_life: Millis) -> Millis {
        (self.max_lag.at(now, half_life) * LAGS_PER_ANSWER).min(aim * STALL_OF_AIM)
    }
}

#[cfg(test)]
mod tests;
