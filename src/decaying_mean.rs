//! An exponentially decaying mean.

use serde::{Deserialize, Serialize};

use crate::api::Millis;

/// The mean and the time of its last update, in milliseconds. It decays to 0 by itself, so that old samples
/// lose their effect.
#[derive(Debug, Default, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct DecayingMean(pub f64, pub Millis);

impl DecayingMean {
    /// Returns the mean at a time. It halves in every half-life.
    pub fn at(self, now: Millis, half_life: Millis) -> f64 {
        self.0 * 0.5f64.powf((now - self.1) / half_life)
    }

    /// Adds a sample, such as 0 or 1 for a share, with a weight from 0 to 1.
    pub fn record(&mut self, sample: f64, weight: f64, now: Millis, half_life: Millis) {
        let mean = self.at(now, half_life);
        *self = DecayingMean(mean + weight * (sample - mean), now);
    }
}
