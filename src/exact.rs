//! Sums that are updated as terms are added and removed: a removed term leaves no rounding error, and the
//! order of terms makes no difference.

use std::cmp::Ordering;

use crate::api::Millis;

/// Parts of one that a term is cut to: far finer than anything is measured.
const UNIT: f64 = (1u128 << 64) as f64;
/// Terms count for no more than this, so that millions of them fit.
const MOST: f64 = (1u64 << 40) as f64;

/// A sum of figures, in whole units.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Exact(i128);

impl Exact {
    fn units(term: f64) -> i128 {
        (term.clamp(-MOST, MOST) * UNIT) as i128
    }

    /// A term comes. One that is no number counts for nothing.
    pub fn add(&mut self, term: f64) {
        self.0 += Self::units(term);
    }

    /// A term that was added goes.
    pub fn take(&mut self, term: f64) {
        self.0 -= Self::units(term);
    }

    /// The sum.
    pub fn value(self) -> f64 {
        self.0 as f64 / UNIT
    }
}

/// A time in an order of times.
#[derive(Debug, Clone, Copy)]
pub struct Time(pub Millis);

impl Ord for Time {
    fn cmp(&self, other: &Self) -> Ordering {
        self.0.total_cmp(&other.0)
    }
}

impl PartialOrd for Time {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Time {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for Time {}

#[cfg(test)]
mod tests;
