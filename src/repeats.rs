//! One budget of repeats for a whole fleet: what one router of many may send again.
//!
//! Each router earns by the parts that it takes, so that the parts of all add up to a share of the fleet's traffic, however
//! that is spread over them. What a router may save up is divided by their number: three hundred that each had
//! saved for a lone one's bad moment would be a storm together.

use serde::{Deserialize, Serialize};

/// Repeats earned by each part taken: more would be load on a slow fleet.
const RATIO: f64 = 0.1;
/// The most that one router saves up, and the most that all of a fleet do, as four would: also the most that they may be
/// behind after repeats that could not wait.
const SAVED: f64 = 10.0;
const SAVED_BY_ALL: f64 = 4.0 * SAVED;

/// What one router may still send again; less than none where it had to.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct RetryBudget(f64);

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget(SAVED)
    }
}

impl RetryBudget {
    /// A part was taken, by one of so many routers, of a query that has so many by now. What a query earns is not lost to
    /// the bound on what is saved up.
    pub fn earn(&mut self, routers: u32, parts: usize) {
        self.0 = (self.0 + RATIO).min(most(routers).max(RATIO * parts as f64).min(SAVED));
    }

    /// Whether there is one to spend.
    pub fn allows(self) -> bool {
        self.0 >= 1.0
    }

    /// A part is sent again by one of so many routers. What had to be goes to a bounded debt: a bad moment is not paid
    /// for to the end of the day.
    pub fn spend(&mut self, routers: u32) {
        self.0 = (self.0 - 1.0).max(-most(routers));
    }

    /// A repeat that costs the fleet nothing, as the last attempt never came to work there.
    pub fn free(&mut self) {
        self.0 += 1.0;
    }
}

/// A router's part in what the fleet may save up; one at least, or it could never repeat anything.
fn most(routers: u32) -> f64 {
    (SAVED_BY_ALL / f64::from(routers)).clamp(1.0, SAVED)
}

#[cfg(test)]
mod tests;
