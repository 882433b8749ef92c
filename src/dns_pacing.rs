//! Decides how long to wait for answers of a DNS server, how many queries it is sent at the same time, and
//! how many of them are for states.
//!
//! A server may answer one query after the other. More queries at the same time then only delay one another,
//! and a repeated query is one more to answer. Both therefore follow the time that answers take.

use crate::api::Millis;

/// Shortest time after which a query is repeated.
const MIN_RETRY_TIMEOUT: Millis = 500.0;
/// Longest time after which a query is repeated.
const MAX_RETRY_TIMEOUT: Millis = 1500.0;
/// Queries are sent at the same time as long as answers take less than this divided by their number.
const CONCURRENCY_LATENCY: Millis = 200.0;
/// Maximum number of queries for the records of instances at the same time, other than overdue ones.
const MAX_CONCURRENCY: f64 = 4.0;
/// The time within which the states of all instances are to be queried, with a reserve to the time in which a
/// change has to take effect.
const STATE_ROUND: Millis = 5000.0;
/// The smallest share of queries for states: a state is one of three records of an instance.
const MIN_STATE_SHARE: f64 = 1.0 / 3.0;
/// The largest share of queries for states, so that moves show too.
const MAX_STATE_SHARE: f64 = 0.875;
/// With more states to query than fit into [`STATE_ROUND`] by this factor, their share falls again, as it
/// would only hide moves.
const MAX_STATE_EXCESS: f64 = 1.1;
/// The share of a new sample in the smoothed time (RFC 6298).
const SMOOTHING: f64 = 0.125;
/// The share of a new sample in the variation (RFC 6298).
const VARIATION_SMOOTHING: f64 = 0.25;
/// How many variations a late answer may be above the smoothed time (RFC 6298).
const VARIATIONS: f64 = 4.0;

/// The time that a server's answers take, estimated as for TCP (RFC 6298).
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RoundTripTime(Option<Estimate>);

#[derive(Debug, Clone, Copy, PartialEq)]
struct Estimate {
    smoothed: Millis,
    variation: Millis,
}

impl RoundTripTime {
    /// Records how long an answer took after the first try of its query.
    pub fn record(&mut self, sample: Millis) {
        self.0 = Some(match self.0 {
            None => Estimate { smoothed: sample, variation: sample / 2.0 },
            Some(last) => Estimate {
                smoothed: last.smoothed + SMOOTHING * (sample - last.smoothed),
                variation: last.variation
                    + VARIATION_SMOOTHING * ((sample - last.smoothed).abs() - last.variation),
            },
        });
    }

    /// Returns how long to wait for an answer before the query is repeated.
    pub fn retry_timeout(&self) -> Millis {
        let expected = self.0.map_or(0.0, |now| now.smoothed + VARIATIONS * now.variation);
        expected.clamp(MIN_RETRY_TIMEOUT, MAX_RETRY_TIMEOUT)
    }

    /// Returns how many queries may wait for an answer at the same time.
    pub fn concurrency(&self) -> usize {
        let fitting = self.0.map_or(1.0, |now| CONCURRENCY_LATENCY / now.smoothed.max(1.0));
        fitting.clamp(1.0, MAX_CONCURRENCY) as usize
    }

    /// Returns the share of the queries, from 0 to 1, that is for the states of so many instances.
    pub fn state_share(&self, instances: usize) -> f64 {
        let latency = self.0.map_or(0.0, |now| now.smoothed);
        let needed = instances as f64 * latency / self.concurrency() as f64 / STATE_ROUND;
        needed.min(MAX_STATE_SHARE).min(MAX_STATE_EXCESS / needed).max(MIN_STATE_SHARE)
    }
}

#[cfg(test)]
mod tests;
