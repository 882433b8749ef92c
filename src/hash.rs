//! Non-cryptographic hashing and pseudorandom numbers.

/// Mixes the bits of a number (the finalizer of SplitMix64: Steele, Lea and Flood, "Fast Splittable
/// Pseudorandom Number Generators", 2014).
pub fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Returns a uniform pseudorandom number from 0 to 1 (1 excluded) and advances the state (SplitMix64, as
/// above).
pub fn draw(state: &mut u64) -> f64 {
    *state = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
    (mix(*state) >> 11) as f64 / (1u64 << 53) as f64
}

/// Hashes a text: FNV-1a, then [`mix`].
pub fn hash(text: &str) -> u64 {
    mix(text.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3)))
}
