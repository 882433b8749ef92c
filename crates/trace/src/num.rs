//! Numbers, exact to the bit and short where they can be.
//!
//! Replay compares floating-point results bit by bit, so nothing may be rounded. Times of the clock are Unix
//! milliseconds of about 2^41, which an `f64` holds in steps of 2^-12; what is added to or taken from them is a
//! multiple of that step too, and fits a short integer. Weights and reports come as decimals of a few digits.

use serde::{Deserialize, Serialize, Serializer};

/// Steps in a millisecond.
const STEPS: f64 = 4096.0;
/// Integers up to here are exact in an `f64`.
const EXACT: f64 = 9_007_199_254_740_992.0;
/// Decimals of up to six digits.
const DECIMAL: f64 = 1e6;

/// A number of 64 bits in the shortest of three forms. For people it is written as the number.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
pub enum Num {
    /// So many 4096ths.
    Step(i64),
    /// So many millionths.
    Decimal(i64),
    /// Any other.
    Raw(f64),
}

impl Serialize for Num {
    fn serialize<S: Serializer>(&self, out: S) -> Result<S::Ok, S::Error> {
        match self {
            num if out.is_human_readable() => out.serialize_f64(num.value()),
            Num::Step(steps) => out.serialize_newtype_variant("Num", 0, "Step", steps),
            Num::Decimal(parts) => out.serialize_newtype_variant("Num", 1, "Decimal", parts),
            Num::Raw(value) => out.serialize_newtype_variant("Num", 2, "Raw", value),
        }
    }
}

fn scaled(value: f64, scale: f64) -> Option<i64> {
    let all = (value * scale).round();
    let count = all as i64;
    // An integer has no negative zero, so that one is left to the raw form.
    let exact = all.abs() < EXACT && (count as f64 / scale).to_bits() == value.to_bits();
    exact.then_some(count)
}

impl Num {
    /// A number as it is.
    pub fn of(value: f64) -> Self {
        match (scaled(value, STEPS), scaled(value, DECIMAL)) {
            (Some(steps), _) => Num::Step(steps),
            (None, Some(parts)) => Num::Decimal(parts),
            (None, None) => Num::Raw(value),
        }
    }

    /// The number.
    pub fn value(self) -> f64 {
        match self {
            Num::Step(steps) => steps as f64 / STEPS,
            Num::Decimal(parts) => parts as f64 / DECIMAL,
            Num::Raw(value) => value,
        }
    }

    /// A point of a clock, as its distance from another one where that is exact.
    pub fn since(base: f64, value: f64) -> Self {
        match scaled(base, STEPS).zip(scaled(value, STEPS)) {
            Some((base, value)) => Num::Step(value - base),
            None => Num::Raw(value),
        }
    }

    /// The point of a clock that [`Num::since`] was made of, by the same base.
    pub fn after(self, base: f64) -> f64 {
        match (self, scaled(base, STEPS)) {
            (Num::Step(steps), Some(base)) => base.saturating_add(steps) as f64 / STEPS,
            (num, _) => num.value(),
        }
    }
}

#[cfg(test)]
mod tests;
