//! How fast a replica works off what one router has out there, and when more would only wait in vain.
//!
//! An overloaded replica keeps a full queue, in which everything that is sent to it waits longer than its
//! client does: the replica works, but its answers come too late to be of use. A router that sends it no more
//! than it works off in time gets that much useful work from it.

use serde::{Deserialize, Serialize};

use crate::api::Millis;

/// Weights of a sample that shows a higher pace, and of one that shows a lower pace: one sample in a quiet
/// moment shows how fast a replica can be, and it takes several to show that it no longer is.
const STEPS: (f64, f64) = (0.2, 0.06);

/// The pace of one replica, in cost units a millisecond; none before any sample.
#[derive(Debug, Default, Clone, Copy, Serialize, Deserialize)]
pub struct Pace(Option<f64>);

impl Pace {
    /// Records that a part was completed, or cancelled, after `took`, with `ahead` out at its start, itself
    /// included. By Little's law the replica worked at a rate of `ahead` over `took`. A cancelled part can
    /// only show that the replica was no faster.
    pub fn note(&mut self, ahead: f64, took: Millis, completed: bool) {
        let rate = ahead / took;
        let known = self.0.unwrap_or(rate);
        if rate > known && completed {
            self.0 = Some(known + (rate - known) * STEPS.0);
        } else if rate <= known {
            self.0 = Some(known + (rate - known) * STEPS.1);
        }
    }

    /// How long so much takes there; no time before any sample.
    pub fn takes(self, out: f64) -> Millis {
        self.0.map_or(0.0, |pace| out / pace)
    }

    /// Whether what is out takes longer than a limit, as far as is known; one part may always be out.
    pub fn is_laden(self, out: f64, limit: Millis) -> bool {
        self.0.is_some_and(|pace| out >= (pace * limit).max(1.0))
    }
}

#[cfg(test)]
mod tests;
