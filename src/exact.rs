//! Exact sums whose terms can be added and removed in any order, and a total order of times.
//!
//! Floating-point sums would accumulate rounding errors that depend on the order of updates. An
//! [`ExactSum`] always equals the sum of its present terms.

use std::cmp::Ordering;

use crate::api::Millis;

/// Units per 1: terms are truncated to 2^-64, far finer than any measurement.
const UNITS_PER_ONE: f64 = (1u128 << 64) as f64;
/// Terms are clamped to this magnitude, so that millions of them fit into an `i128`.
const MAX_TERM: f64 = (1u64 << 40) as f64;

/// A sum of fixed-point numbers.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct ExactSum(i128);

impl ExactSum {
    fn units(term: f64) -> i128 {
        (term.clamp(-MAX_TERM, MAX_TERM) * UNITS_PER_ONE) as i128
    }

    /// Adds a term. NaN counts as 0.
    pub fn add(&mut self, term: f64) {
        self.0 += Self::units(term);
    }

    /// Removes a term that was added.
    pub fn remove(&mut self, term: f64) {
        self.0 -= Self::units(term);
    }

    /// Returns the sum.
    pub fn value(self) -> f64 {
        self.0 as f64 / UNITS_PER_ONE
    }
}

/// A time with a total order, for use as a key.
#[derive(Debug, Clone, Copy)]
pub struct OrderedTime(pub Millis);

impl Ord for OrderedTime {
    fn cmp(&self, other: &Self) -> Ordering {
        self.0.total_cmp(&other.0)
    }
}

impl PartialOrd for OrderedTime {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for OrderedTime {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for OrderedTime {}

#[cfg(test)]
mod tests;
