//! Deterministic subsetting, played: which holders of each block an aggregator connects to, by rendezvous hashing, what
//! that makes of the load on run stores, and what the loss of a zone makes of it.

use ironpaddle::hash::mix;

/// A region, in which every block is held.
#[derive(Debug, Clone, Copy)]
pub struct Region {
    /// Aggregators.
    pub aggregators: usize,
    /// Blocks.
    pub blocks: usize,
    /// Holders of each block, one after the other in the region's zones.
    pub holders: usize,
    /// Zones.
    pub zones: usize,
}

/// How an aggregator chooses among the holders of a block.
#[derive(Debug, Clone, Copy)]
pub struct Choice {
    /// How many of them it connects to.
    pub chosen: usize,
    /// Whether those of its own zone come first.
    pub own_zone: bool,
}

/// What came of it. Loads are in means of all run stores of the region while all is well.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Spread {
    /// Connections of an aggregator to run stores.
    pub connections: f64,
    /// Connections that a run store holds, in the mean and at most.
    pub held: (f64, f64),
    /// The standard deviation of loads.
    pub deviation: f64,
    /// The largest load, while all is well and after a zone is lost with its aggregators and run stores.
    pub most: (f64, f64),
    /// The mean load of the run stores that are left then.
    pub left: f64,
    /// Connections that an aggregator makes anew then.
    pub anew: f64,
    /// Connections that were moved then though their run store still stands, all aggregators together.
    pub needless: usize,
}

/// A holder of a block as an aggregator ranks it: whether it comes first by its zone, its weight, its zone, itself.
type Ranked = (bool, u64, usize, usize);

/// The holders of a block, ranked by an aggregator: the highest weight first, which is drawn from both names alone.
fn rank(region: &Region, choice: Choice, (aggregator, block): (usize, usize), seed: u64) -> Vec<Ranked> {
    let own = aggregator % region.zones;
    let own_seed = mix(seed ^ (aggregator as u64) << 32);
    let holder = |holder: usize| {
        let zone = (block + holder) % region.zones;
        let store = block * region.holders + holder;
        (choice.own_zone && zone == own, mix(own_seed ^ store as u64), zone, store)
    };
    let mut ranked: Vec<Ranked> = (0..region.holders).map(holder).collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked
}

/// Plays the choices of all aggregators of a region, before and after its first zone is lost. Each block is asked for
/// alike, and each aggregator asks its chosen holders of a block in equal parts.
pub fn play(region: &Region, choice: Choice, seed: u64) -> Spread {
    let stores = region.blocks * region.holders;
    let (mut load, mut after, mut held) = (vec![0.0; stores], vec![0.0; stores], vec![0u32; stores]);
    let (mut anew, mut needless) = (0usize, 0usize);
    let stands = |aggregator: usize| !aggregator.is_multiple_of(region.zones);
    let standing = (0..region.aggregators).filter(|one| stands(*one)).count();
    // The clients of aggregators that are lost come to those that are left.
    let more = region.aggregators as f64 / standing.max(1) as f64;
    for aggregator in 0..region.aggregators {
        for block in 0..region.blocks {
            let ranked = rank(region, choice, (aggregator, block), seed);
            let chosen = choice.chosen.min(ranked.len());
            for (.., store) in &ranked[..chosen] {
                load[*store] += 1.0 / chosen as f64;
                held[*store] += 1;
            }
            if !stands(aggregator) {
                continue;
            }
            // Of those that still stand, the highest again; what was not among the chosen before is new.
            let standing = || ranked.iter().enumerate().filter(|(_, (_, _, zone, _))| *zone != 0);
            let left = standing().count().min(choice.chosen);
            for (place, (.., store)) in standing().take(left) {
                after[*store] += more / left as f64;
                anew += usize::from(place >= chosen);
            }
            needless += standing().skip(left).filter(|(place, _)| *place < chosen).count();
        }
    }
    let mean = load.iter().sum::<f64>() / stores as f64;
    let most = |loads: &[f64]| loads.iter().copied().fold(0.0, f64::max) / mean;
    let variance = load.iter().map(|one| (one / mean - 1.0).powi(2)).sum::<f64>() / stores as f64;
    let there = after.iter().filter(|one| **one > 0.0).count();
    let connections: u32 = held.iter().sum();
    Spread {
        connections: f64::from(connections) / region.aggregators as f64,
        held: (f64::from(connections) / stores as f64, f64::from(held.iter().copied().max().unwrap_or(0))),
        deviation: variance.sqrt(),
        most: (most(&load), most(&after)),
        left: after.iter().sum::<f64>() / there.max(1) as f64 / mean,
        anew: anew as f64 / standing.max(1) as f64,
        needless,
    }
}
