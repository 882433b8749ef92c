//! Parses times with units, and maps routing values to shards.

use crate::api::Millis;

/// Parses a time with its unit, such as `500ms` or `2s`.
pub fn parse_time(text: &str) -> Option<Millis> {
    let unit_start = text.find(|c: char| c.is_ascii_alphabetic())?;
    let scale = match &text[unit_start..] {
        "nanos" => 1e-6,
        "micros" => 1e-3,
        "ms" => 1.0,
        "s" => 1e3,
        "m" => 60e3,
        "h" => 3_600e3,
        "d" => 86_400e3,
        _ => return None,
    };
    let number =
        text[..unit_start].parse::<f64>().ok().filter(|number| number.is_finite() && *number >= 0.0)?;
    Some(number * scale)
}

/// Returns the shard for a routing value: Murmur3 over its UTF-16 code units, modulo the number of shards.
pub fn shard_for_routing(routing: &str, shards: u32) -> u32 {
    let bytes: Vec<u8> = routing.encode_utf16().flat_map(u16::to_le_bytes).collect();
    (murmur3(&bytes) as i32).rem_euclid(shards.max(1) as i32) as u32
}

fn murmur3(bytes: &[u8]) -> u32 {
    let scramble = |k: u32| k.wrapping_mul(0xcc9e_2d51).rotate_left(15).wrapping_mul(0x1b87_3593);
    let mut hash = 0u32;
    let mut blocks = bytes.chunks_exact(4);
    for block in &mut blocks {
        let k = u32::from_le_bytes([block[0], block[1], block[2], block[3]]);
        hash = (hash ^ scramble(k)).rotate_left(13).wrapping_mul(5).wrapping_add(0xe654_6b64);
    }
    let tail = blocks.remainder().iter().rev().fold(0u32, |k, byte| (k << 8) | u32::from(*byte));
    hash ^= scramble(tail);
    hash ^= bytes.len() as u32;
    hash = (hash ^ (hash >> 16)).wrapping_mul(0x85eb_ca6b);
    hash = (hash ^ (hash >> 13)).wrapping_mul(0xc2b2_ae35);
    hash ^ (hash >> 16)
}

#[cfg(test)]
mod tests;
