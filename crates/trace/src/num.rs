//! Floating-point numbers with a lossless, compact encoding.
//!
//! Replay compares floating-point results bit by bit, so the encoding must not round. Timestamps are Unix milliseconds
//! of about 2^41, where the spacing of `f64` values is 2^-12; differences of timestamps are multiples of that step too,
//! and fit in a short integer. Weights and load reports are decimals with few digits.

use serde::{Deserialize, Serialize, Serializer};

/// Steps per millisecond.
const STEPS_PER_MS: f64 = 4096.0;
/// All integers up to this magnitude (2^53) are exactly representable as `f64`.
const MAX_EXACT_INTEGER: f64 = 9_007_199_254_740_992.0;
/// The scale of decimals with up to six fractional digits.
const DECIMAL_SCALE: f64 = 1e6;

/// An `f64` in one of three encodings. Human-readable serializers write it as a plain number.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
pub enum Num {
    /// A multiple of 1/4096.
    Step(i64),
    /// A multiple of one millionth.
    Decimal(i64),
    /// Any other value.
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

/// Returns the integer `value * scale` if it converts back to `value` bit by bit.
fn scaled(value: f64, scale: f64) -> Option<i64> {
    let rounded = (value * scale).round();
    let integer = rounded as i64;
    // Integers have no negative zero; the bit comparison leaves -0.0 to the raw encoding.
    let exact = rounded.abs() < MAX_EXACT_INTEGER && (integer as f64 / scale).to_bits() == value.to_bits();
    exact.then_some(integer)
}

impl Num {
    /// Encodes a number.
    pub fn of(value: f64) -> Self {
        match (scaled(value, STEPS_PER_MS), scaled(value, DECIMAL_SCALE)) {
            (Some(steps), _) => Num::Step(steps),
            (None, Some(parts)) => Num::Decimal(parts),
            (None, None) => Num::Raw(value),
        }
    }

    /// Returns the number.
    pub fn value(self) -> f64 {
        match self {
            Num::Step(steps) => steps as f64 / STEPS_PER_MS,
            Num::Decimal(parts) => parts as f64 / DECIMAL_SCALE,
            Num::Raw(value) => value,
        }
    }

    /// Encodes a timestamp as its distance from `base` if that is exact, and otherwise as it is.
    pub fn since(base: f64, value: f64) -> Self {
        match scaled(base, STEPS_PER_MS).zip(scaled(value, STEPS_PER_MS)) {
            Some((base, value)) => Num::Step(value - base),
            None => Num::Raw(value),
        }
    }

    /// Decodes a timestamp that was encoded by [`Num::since`] with the same base.
    pub fn after(self, base: f64) -> f64 {
        match (self, scaled(base, STEPS_PER_MS)) {
            (Num::Step(steps), Some(base)) => base.saturating_add(steps) as f64 / STEPS_PER_MS,
            (num, _) => num.value(),
        }
    }
}

#[cfg(test)]
mod tests;
