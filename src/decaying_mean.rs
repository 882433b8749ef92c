//! A share of what happened lately, in which old cases fade.

use serde::{Deserialize, Serialize};

use crate::api::Millis;

/// The share, and when it was last told: an exponentially weighted mean that decays to nothing by itself.
#[derive(Debug, Default, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct DecayingMean(pub f64, pub Millis);

impl DecayingMean {
    /// The share now, of which half fades in some time.
    pub fn at(self, now: Millis, half: Millis) -> f64 {
        self.0 * 0.5f64.powf((now - self.1) / half)
    }

    /// A further case, 0 or 1, of a weight.
    pub fn note(&mut self, told: f64, weight: f64, now: Millis, half: Millis) {
        let known = self.at(now, half);
        *self = DecayingMean(known + weight * (told - known), now);
    }
}
