//! Decides how long to wait for answers of a DNS server, and how many of its queries are for states.
//!
//! A server may answer one query after the other. A repeated query is then one more to answer and delays all
//! others, so the times follow the time that answers take.

use crate::api::Millis;

/// How long a query lasts, with all its tries.
pub const QUERY_LIFETIME: Millis = 6000.0;
/// Shortest time after which a query is repeated.
const MIN_RETRY_TIMEOUT: Millis = 500.0;
/// Longest time after which a query is repeated: the time that it lasts, so that a very slow server is sent
/// no query twice.
const MAX_RETRY_TIMEOUT: Millis = QUERY_LIFETIME;
/// Shortest time after which an answer is overdue.
const MIN_OVERDUE_TIMEOUT: Millis = 100.0;
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
/// How many times the smoothed time an answer may take, as it may wait for those to a query for names and to
/// a probe that came before it.
const MAX_QUEUE: f64 = 3.0;
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
        self.expected().clamp(MIN_RETRY_TIMEOUT, MAX_RETRY_TIMEOUT)
    }

    /// Returns how long to wait for an answer before it is overdue, so that the name may be one that the
    /// server does not answer for.
    pub fn overdue_timeout(&self) -> Millis {
        self.expected().clamp(MIN_OVERDUE_TIMEOUT, MAX_RETRY_TIMEOUT)
    }

    /// Returns the time within which nearly all answers arrive; 0 if it is unknown.
    fn expected(&self) -> Millis {
        self.0.map_or(0.0, |now| {
            let usual = now.smoothed + VARIATIONS * now.variation;
            usual.max(now.smoothed * MAX_QUEUE)
        })
    }

    /// Returns the share of the queries, from 0 to 1, that is for the states of so many instances.
    pub fn state_share(&self, instances: usize) -> f64 {
        let latency = self.0.map_or(0.0, |now| now.smoothed);
        let needed = instances as f64 * latency / STATE_ROUND;
        needed.min(MAX_STATE_SHARE).min(MAX_STATE_EXCESS / needed).max(MIN_STATE_SHARE)
    }
}

#[cfg(test)]
mod tests;
