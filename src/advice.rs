//! How long a client that is refused is told to stay away.
//!
//! Of those that come back, as many are refused again as now, if nothing has changed meanwhile: with a share `s` refused,
//! one gets through after `1 / (1 - s)` tries on average. Each wait is made so much longer, so that repeats
//! of refused queries are no more than the fleet can take, and it is scattered, so that those refused together do not come
//! back together.

use serde::{Deserialize, Serialize};

use crate::api::Millis;
use crate::decaying_mean::DecayingMean;

/// The wait while little is refused, of the aim.
const OF_AIM: f64 = 0.25;
/// Waits lie within this part of their middle, to both sides.
const SCATTER: f64 = 0.5;
/// Weight of a query in the share that is refused, and the most that share counts for.
const STEP: f64 = 0.06;
const MOST_REFUSED: f64 = 0.9;

/// The share of queries that were refused lately.
#[derive(Debug, Default, Clone, Copy, Serialize, Deserialize)]
pub struct RetryAdvice(DecayingMean);

impl RetryAdvice {
    /// A query was taken up, or refused; half of what is known fades in some time.
    pub fn note(&mut self, refused: bool, now: Millis, half: Millis) {
        self.0.note(f64::from(u8::from(refused)), STEP, now, half);
    }

    /// How long to stay away, for a class of some aim, where clients heed no longer waits than `most`; chance is from 0
    /// to 1.
    pub fn wait(self, aim: Millis, most: Millis, (now, half): (Millis, Millis), chance: f64) -> Millis {
        let refused = self.0.at(now, half).min(MOST_REFUSED);
        let wait = aim * OF_AIM / (1.0 - refused);
        wait.min(most / (1.0 + SCATTER)) * (1.0 - SCATTER + 2.0 * SCATTER * chance)
    }
}

#[cfg(test)]
mod tests;
