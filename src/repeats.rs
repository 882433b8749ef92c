//! One retry budget for a whole fleet: how many retries one router of many may send.
//!
//! Each router earns retries by the parts that it takes, so that all routers' retries add up to a share of
//! the fleet's traffic, however it is spread over the routers. What a router may save up is divided by the
//! number of routers: three hundred that had each saved up what one router needs in a bad moment would cause
//! a retry storm.

use serde::{Deserialize, Serialize};

/// Repeats earned by each part taken: more would be load on a slow fleet.
const RATIO: f64 = 0.1;
/// The most that one router saves up, and the most that all routers of a fleet save up together, which is as
/// much as four do. It is also the largest debt after retries that could not wait.
const SAVED: f64 = 10.0;
const SAVED_BY_ALL: f64 = 4.0 * SAVED;

/// What one router may still send again; less than none where it had to.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Repeats(f64);

impl Default for Repeats {
    fn default() -> Self {
        Repeats(SAVED)
    }
}

impl Repeats {
    /// Records that one of `routers` routers took a part of a query that has `parts` parts by now. What the
    /// query has earned is kept even if it exceeds the router's part of the fleet's savings.
    pub fn earn(&mut self, routers: u32, parts: usize) {
        self.0 = (self.0 + RATIO).min(most(routers).max(RATIO * parts as f64).min(SAVED));
    }

    /// Whether there is one to spend.
    pub fn allows(self) -> bool {
        self.0 >= 1.0
    }

    /// Records a retry by one of `routers` routers. Retries that could not wait lead to a bounded debt, so
    /// that a bad moment does not restrict retries for the rest of the day.
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
