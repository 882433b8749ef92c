//! Simulates deterministic subsetting: each aggregator chooses the holders of each block that it connects to by
//! rendezvous hashing. Evaluates the load on run stores, also after the loss of a zone.

use ironpaddle::hash::mix;

/// A region that holds every block.
#[derive(Debug, Clone, Copy)]
pub struct Region {
    /// The number of aggregators.
    pub aggregators: usize,
    /// The number of blocks.
    pub blocks: usize,
    /// The number of holders of each block, assigned to the region's zones in turn.
    pub holders: usize,
    /// The number of zones.
    pub zones: usize,
}

/// The way an aggregator chooses among the holders of a block.
#[derive(Debug, Clone, Copy)]
pub struct Choice {
    /// The number of holders that it connects to.
    pub chosen: usize,
    /// Whether holders in its own zone are preferred.
    pub own_zone: bool,
}

/// The result. Loads are relative to the mean load of all run stores of the region before the loss of a zone.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SubsetResult {
    /// The mean number of connections of an aggregator to run stores.
    pub connections: f64,
    /// The mean and the maximum number of connections of a run store.
    pub held: (f64, f64),
    /// The standard deviation of the loads.
    pub deviation: f64,
    /// The largest load, before and after a zone is lost with its aggregators and run stores.
    pub most: (f64, f64),
    /// The mean load of the remaining run stores after the loss.
    pub left: f64,
    /// The mean number of connections that a remaining aggregator opens after the loss.
    pub reconnected: f64,
    /// The number of connections, over all aggregators, that were dropped after the loss although their run store
    /// remains.
    pub unnecessary: usize,
}

/// The rank of a holder at an aggregator: whether its zone is preferred, its weight, its zone, and its number.
type Ranked = (bool, u64, usize, usize);

/// Ranks the holders of a block for an aggregator by descending weight. The weight is a hash of the numbers of both, so
/// it does not depend on other holders.
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

/// Simulates the choices of all aggregators of a region, before and after its first zone is lost. All blocks are
/// queried equally, and each aggregator distributes its queries evenly over its chosen holders of a block.
pub fn simulate(region: &Region, choice: Choice, seed: u64) -> SubsetResult {
    let stores = region.blocks * region.holders;
    let (mut load, mut after, mut held) = (vec![0.0; stores], vec![0.0; stores], vec![0u32; stores]);
    let (mut reconnected, mut unnecessary) = (0usize, 0usize);
    let survives = |aggregator: usize| !aggregator.is_multiple_of(region.zones);
    let surviving = (0..region.aggregators).filter(|one| survives(*one)).count();
    // The clients of lost aggregators move to the remaining ones.
    let more = region.aggregators as f64 / surviving.max(1) as f64;
    for aggregator in 0..region.aggregators {
        for block in 0..region.blocks {
            let ranked = rank(region, choice, (aggregator, block), seed);
            let chosen = choice.chosen.min(ranked.len());
            for (.., store) in &ranked[..chosen] {
                load[*store] += 1.0 / chosen as f64;
                held[*store] += 1;
            }
            if !survives(aggregator) {
                continue;
            }
            // Chooses the highest-ranked holders that remain; those that were not chosen before need a new connection.
            let surviving = || ranked.iter().enumerate().filter(|(_, (_, _, zone, _))| *zone != 0);
            let left = surviving().count().min(choice.chosen);
            for (place, (.., store)) in surviving().take(left) {
                after[*store] += more / left as f64;
                reconnected += usize::from(place >= chosen);
            }
            unnecessary += surviving().skip(left).filter(|(place, _)| *place < chosen).count();
        }
    }
    let mean = load.iter().sum::<f64>() / stores as f64;
    let most = |loads: &[f64]| loads.iter().copied().fold(0.0, f64::max) / mean;
    let variance = load.iter().map(|one| (one / mean - 1.0).powi(2)).sum::<f64>() / stores as f64;
    let loaded = after.iter().filter(|one| **one > 0.0).count();
    let connections: u32 = held.iter().sum();
    SubsetResult {
        connections: f64::from(connections) / region.aggregators as f64,
        held: (f64::from(connections) / stores as f64, f64::from(held.iter().copied().max().unwrap_or(0))),
        deviation: variance.sqrt(),
        most: (most(&load), most(&after)),
        left: after.iter().sum::<f64>() / loaded.max(1) as f64 / mean,
        reconnected: reconnected as f64 / surviving.max(1) as f64,
        unnecessary,
    }
}
