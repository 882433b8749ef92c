//! Retry-after advice for clients whose queries are refused.
//!
//! With a share `s` of queries refused, a client needs `1 / (1 - s)` attempts on average until one is
//! accepted. The wait grows by the same factor, so that the repeats do not add up to more than the fleet
//! can take. It is jittered, so that clients that were refused together do not return together.

use serde::{Deserialize, Serialize};

use crate::api::Millis;
use crate::decaying_mean::DecayingMean;

/// The wait while few queries are refused, as a share of the class's aim.
const OF_AIM: f64 = 0.25;
/// Jitter: a wait lies within this share of its mean, to both sides.
const SCATTER: f64 = 0.5;
/// Weight of one query in the share of refused queries, and the upper bound of that share: at 1 the wait
/// would be infinite.
const STEP: f64 = 0.06;
const MOST_REFUSED: f64 = 0.9;

/// Moving average of the share of queries that were refused.
#[derive(Debug, Default, Clone, Copy, Serialize, Deserialize)]
pub struct RetryAdvice(DecayingMean);

impl RetryAdvice {
    /// Records a query, with whether it was refused.
    pub fn note(&mut self, refused: bool, now: Millis, half: Millis) {
        self.0.note(f64::from(u8::from(refused)), STEP, now, half);
    }

    /// Returns how long a refused client should stay away: the wait for a class with this aim, at most the
    /// longest wait that clients heed. `random` is uniform from 0 to 1.
    pub fn wait(self, aim: Millis, most: Millis, (now, half): (Millis, Millis), chance: f64) -> Millis {
        let refused = self.0.at(now, half).min(MOST_REFUSED);
        let wait = aim * OF_AIM / (1.0 - refused);
        wait.min(most / (1.0 + SCATTER)) * (1.0 - SCATTER + 2.0 * SCATTER * chance)
    }
}

#[cfg(test)]
mod tests;
