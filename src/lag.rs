//! How late a router runs by work of its own: what it owes to others it has to send earlier by that.

use serde::{Deserialize, Serialize};

use crate::api::Millis;
use crate::decaying_mean::DecayingMean;

/// Lateness of a wake, of the shortest aim, from which this router itself has stood still: no usual lag.
const STALL_OF_AIM: f64 = 0.1;
/// Lags that an answer may meet: its query lies unread, its step comes late, its bytes wait to be written.
const OF_AN_ANSWER: f64 = 3.0;

/// The lag of one router.
#[derive(Debug, Default, Clone, Serialize, Deserialize)]
pub struct StepLag {
    /// How late its wakes have lately been at most.
    worst: DecayingMean,
    /// When it last came back from a stall of its own.
    pub back: Millis,
}

impl StepLag {
    /// A step is made, with a wake due at some time, if one is out. Half of a lag fades in `half`.
    pub fn note(&mut self, due: Option<Millis>, now: Millis, aim: Millis, half: Millis) {
        let late = due.map_or(0.0, |due| (now - due).max(0.0));
        // A gap where a wake was due is this router's silence, not the replicas'.
        if late > aim * STALL_OF_AIM {
            self.back = now;
        }
        self.worst = DecayingMean(late.max(self.worst.at(now, half)), now);
    }

    /// How much earlier than its aim an answer is to be given.
    pub fn of_an_answer(&self, now: Millis, aim: Millis, half: Millis) -> Millis {
        (self.worst.at(now, half) * OF_AN_ANSWER).min(aim * STALL_OF_AIM)
    }
}

#[cfg(test)]
mod tests;
