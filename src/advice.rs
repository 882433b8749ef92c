//! How long a refused client is advised to wait before it tries again.
//!
//! If the load stays the same, the same share of the returning clients is refused again: with a share `s`
//! refused, a client gets through after `1 / (1 - s)` tries on average. Each wait is longer by that factor,
//! so that retries of refused queries do not exceed what the fleet can take. Waits are jittered, so that
//! clients refused together do not return together.

use serde::{Deserialize, Serialize};

use crate::api::Millis;
use crate::faded::Faded;

/// The wait while little is refused, of the aim.
const OF_AIM: f64 = 0.25;
/// Waits lie within this part of their middle, to both sides.
const SCATTER: f64 = 0.5;
/// Weight of a query in the share that is refused, and the most that share counts for.
const STEP: f64 = 0.06;
const MOST_REFUSED: f64 = 0.9;

/// The share of queries that were refused lately.
#[derive(Debug, Default, Clone, Copy, Serialize, Deserialize)]
pub struct Advice(Faded);

impl Advice {
    /// A query was taken up, or refused; half of what is known fades in some time.
    pub fn note(&mut self, refused: bool, now: Millis, half: Millis) {
        self.0.note(f64::from(u8::from(refused)), STEP, now, half);
    }

    /// Returns how long a client of a class with this aim should wait, where clients observe no waits longer
    /// than `most`; `chance` is from 0 to 1.
    pub fn wait(self, aim: Millis, most: Millis, (now, half): (Millis, Millis), chance: f64) -> Millis {
        let refused = self.0.at(now, half).min(MOST_REFUSED);
        let wait = aim * OF_AIM / (1.0 - refused);
        wait.min(most / (1.0 + SCATTER)) * (1.0 - SCATTER + 2.0 * SCATTER * chance)
    }
}

#[cfg(test)]
mod tests;
