//! A retry budget that is shared by a fleet: what one router of many may send again.
//!
//! Each router earns retries for the parts that it accepts, so that the budgets of all routers add up to a
//! share of the fleet's traffic, however that is spread over them. What a router may save up is divided by
//! the number of routers: if each of three hundred saved up as much as a single one may, they could send
//! all of that at once.

use serde::{Deserialize, Serialize};

/// Retries earned by each accepted part. More would add load to a fleet that is already slow.
const RETRIES_PER_PART: f64 = 0.1;
/// The most retries that one router saves up, and its largest debt by retries that could not wait.
const MAX_SAVED: f64 = 10.0;
/// The same for all routers of a fleet together: as much as four single ones.
const MAX_SAVED_BY_FLEET: f64 = 4.0 * MAX_SAVED;

/// The retries that one router may still send; negative after retries that could not wait.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct RetryBudget(f64);

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget(MAX_SAVED)
    }
}

impl RetryBudget {
    /// Earns the share of a retry for a part that was accepted. `parts` is the number of parts of its query
    /// so far: what one query earns is not lost to the bound on savings.
    pub fn earn(&mut self, routers: u32, parts: usize) {
        self.0 = (self.0 + RETRIES_PER_PART)
            .min(max_saved(routers).max(RETRIES_PER_PART * parts as f64).min(MAX_SAVED));
    }

    /// Returns whether there is a retry to spend.
    pub fn allows(self) -> bool {
        self.0 >= 1.0
    }

    /// Spends a retry. Retries that could not wait lead to a debt, which is bounded, so that a short
    /// incident does not block retries for long after it.
    pub fn spend(&mut self, routers: u32) {
        self.0 = (self.0 - 1.0).max(-max_saved(routers));
    }

    /// Gives back a retry that adds no load to the fleet, as the previous attempt never ran.
    pub fn refund(&mut self) {
        self.0 += 1.0;
    }
}

/// Returns the share of one router in what the fleet may save up: at least one, or the router could never
/// retry.
fn max_saved(routers: u32) -> f64 {
    (MAX_SAVED_BY_FLEET / f64::from(routers)).clamp(1.0, MAX_SAVED)
}

#[cfg(test)]
mod tests;
