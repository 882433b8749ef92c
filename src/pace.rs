//! Estimates how fast a replica processes the parts of one router, and detects when more parts would only
//! time out in its queue.
//!
//! A replica that gets more than it can process has a full queue, in which every part waits longer than its
//! client does: the replica works, but none of its answers is of use. A router that sends it no more than
//! it processes in time gets that much from it.

use serde::{Deserialize, Serialize};

use crate::api::Millis;

/// Weight of a sample above the estimate, and of one below. A single sample in a quiet moment shows how
/// fast a replica can be, while it takes several to show that it has become slower.
const SAMPLE_WEIGHTS: (f64, f64) = (0.2, 0.06);

/// Service rate of one replica, in cost units per millisecond; `None` before the first sample.
#[derive(Debug, Default, Clone, Copy, Serialize, Deserialize)]
pub struct ServiceRate(Option<f64>);

impl ServiceRate {
    /// Adds a sample: a part that was completed or cancelled after a time in milliseconds. `in_flight` is
    /// the work that was in flight when it was sent, itself included. By Little's law the service rate is
    /// that work divided by the time. A cancelled part was not completed in this time, so it can only lower
    /// the estimate.
    pub fn record(&mut self, in_flight: f64, latency: Millis, completed: bool) {
        let rate = in_flight / latency;
        let estimate = self.0.unwrap_or(rate);
        if rate > estimate && completed {
            self.0 = Some(estimate + (rate - estimate) * SAMPLE_WEIGHTS.0);
        } else if rate <= estimate {
            self.0 = Some(estimate + (rate - estimate) * SAMPLE_WEIGHTS.1);
        }
    }

    /// Returns how long this much work takes, in milliseconds; 0 before the first sample.
    pub fn time_for(self, work: f64) -> Millis {
        self.0.map_or(0.0, |rate| work / rate)
    }

    /// Returns whether the work in flight is expected to take longer than a limit in milliseconds. One part
    /// may always be in flight, and without a sample nothing is known.
    pub fn is_saturated(self, in_flight: f64, limit: Millis) -> bool {
        self.0.is_some_and(|rate| in_flight >= (rate * limit).max(1.0))
    }
}

#[cfg(test)]
mod tests;
