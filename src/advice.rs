//! Retry-after advice for clients whose queries are refused.
//!
//! With a share `s` of queries refused, a client needs `1 / (1 - s)` attempts on average until one is
//! accepted. The wait grows by the same factor, so that the repeats do not add up to more than the fleet
//! can take. It is jittered, so that clients that were refused together do not return together.

use serde::{Deserialize, Serialize};

use crate::api::Millis;
use crate::decaying_mean::DecayingMean;

/// The wait while few queries are refused, as a share of the class's aim.
const BASE_WAIT_OF_AIM: f64 = 0.25;
/// Jitter: a wait lies within this share of its mean, to both sides.
const JITTER: f64 = 0.5;
/// Weight of one query in the share of refused queries.
const QUERY_WEIGHT: f64 = 0.06;
/// Upper bound of the share of refused queries: at 1 the wait would be infinite.
const MAX_REFUSED_SHARE: f64 = 0.9;

/// Moving average of the share of queries that were refused.
#[derive(Debug, Default, Clone, Copy, Serialize, Deserialize)]
pub struct RetryAdvice(DecayingMean);

impl RetryAdvice {
    /// Records a query, with whether it was refused.
    pub fn record(&mut self, refused: bool, now: Millis, half_life: Millis) {
        self.0.record(f64::from(u8::from(refused)), QUERY_WEIGHT, now, half_life);
    }

    /// Returns how long a refused client should stay away: the wait for a class with this aim, at most the
    /// longest wait that clients heed. `random` is uniform from 0 to 1.
    pub fn retry_after(
        self,
        aim: Millis,
        max_wait: Millis,
        (now, half_life): (Millis, Millis),
        random: f64,
    ) -> Millis {
        let refused = self.0.at(now, half_life).min(MAX_REFUSED_SHARE);
        let wait = aim * BASE_WAIT_OF_AIM / (1.0 - refused);
        wait.min(max_wait / (1.0 + JITTER)) * (1.0 - JITTER + 2.0 * JITTER * random)
    }
}

#[cfg(test)]
mod tests;
