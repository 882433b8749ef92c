//! What a seed draws: the fleet, its troubles and when they come, its clients and what fails for the program.

use std::fmt;

use crate::discovery::Mode;
use crate::scenario::{Act, Which};

/// One life in so many is one of a large fleet.
const LARGE_FLEET: u64 = 12;
/// System calls that fail, and wall clocks that are wrong.
const FAULTS: [&str; 7] = [
    "recv=EINTR@10 send=EINTR@10",
    "recv=ENOMEM@5 send=ENOBUFS@5",
    "accept=ECONNABORTED@30",
    "accept=EINTR@30",
    "accept=ENFILE@10",
    "wall_ms=3600000",
    "wall_ms=-3600000",
];
/// Signals that end an aggregator, in a row.
const ENDINGS: [&[&str]; 5] =
    [&["TERM"], &["TERM", "TERM"], &["TERM", "HUP"], &["HUP", "TERM"], &["HUP", "HUP", "HUP", "TERM"]];
/// So much of a life passes before its troubles.
const QUIET: f64 = 0.1;
/// The last share of a life in which troubles begin.
const TROUBLED: f64 = 0.5;

/// Something that goes wrong.
#[derive(Debug, Clone, PartialEq)]
pub enum Trouble {
    /// With run stores.
    Stores(Act),
    /// An aggregator is told to end by these signals, is killed as early as it may be, and is started again.
    End(usize, &'static [&'static str]),
    /// An aggregator reads its configuration again, so many times in a row.
    Reload(usize, u32),
    /// A new process takes over from an aggregator, which is then told to end.
    Upgrade(usize),
    /// Discovery answers like this for so many milliseconds.
    Discovery(Mode, f64),
}

/// How some clients behave.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Guest {
    /// One request after the other on a connection that it keeps.
    Keeps,
    /// Several requests in one write.
    Pipelines,
    /// A request byte by byte.
    Dribbles,
    /// Half a request, and then nothing.
    Stops,
    /// It leaves before, while or just after its request is read.
    Leaves,
    /// A hundred requests at once.
    Floods,
    /// Many connections, and not a byte on them.
    Crowds,
    /// Very little time left.
    Hurries,
    /// It reads its answer a byte at a time.
    ReadsSlowly,
}

const GUESTS: [Guest; 9] = [
    Guest::Keeps,
    Guest::Pipelines,
    Guest::Dribbles,
    Guest::Stops,
    Guest::Leaves,
    Guest::Floods,
    Guest::Crowds,
    Guest::Hurries,
    Guest::ReadsSlowly,
];

/// A life.
#[derive(Debug, Clone, PartialEq)]
pub struct Draw {
    /// What it was drawn from.
    pub seed: u64,
    /// Aggregators.
    pub aggregators: usize,
    /// Run stores.
    pub stores: usize,
    /// Queries a second of usual clients.
    pub rate: f64,
    /// Descriptors of each aggregator.
    pub sockets: usize,
    /// Other clients.
    pub guests: Vec<Guest>,
    /// What fails for the program.
    pub faults: Option<String>,
    /// Troubles, and the milliseconds from the life's beginning at which they come, in order.
    pub troubles: Vec<(f64, Trouble)>,
}

impl Draw {
    /// What a seed draws for a life of so many seconds.
    pub fn of(seed: u64, seconds: f64) -> Self {
        let mut random = fastrand::Rng::with_seed(seed ^ 0x50a4);
        let large = random.u64(..LARGE_FLEET) == 0;
        let aggregators = if large { random.usize(20..=30) } else { random.usize(1..=6) };
        let stores = random.usize(4..=8);
        let mut guests = GUESTS.to_vec();
        random.shuffle(&mut guests);
        guests.truncate(random.usize(3..=6));
        let crowded = guests.contains(&Guest::Crowds);
        let failing = random.bool().then(|| *random.choice(FAULTS.iter()).unwrap_or(&FAULTS[0]));
        let window = (seconds * 1000.0 * QUIET, seconds * 1000.0 * TROUBLED);
        let count = random.usize(2..=5);
        let mut troubles: Vec<_> = (0..count)
            .map(|_| {
                let at = (window.0 + random.f64() * (window.1 - window.0)).floor();
                (at, trouble(&mut random, aggregators, seconds * 1000.0))
            })
            .collect();
        troubles.sort_by(|a, b| a.0.total_cmp(&b.0));
        Draw {
            seed,
            aggregators,
            stores,
            rate: 10.0 + 30.0 * random.f64(),
            sockets: if crowded && random.bool() { 256 } else { 1024 },
            guests,
            faults: failing.map(|faults| format!("seed={seed} {faults}")),
            troubles,
        }
    }
}

/// Draws a trouble of a life of so many milliseconds.
fn trouble(random: &mut fastrand::Rng, aggregators: usize, life_ms: f64) -> Trouble {
    let aggregator = random.usize(..aggregators);
    let some = Which::Some(random.usize(1..=2));
    let spell = f64::from(random.u32(500..3500));
    match random.u32(..10) {
        0 | 1 => Trouble::End(aggregator, ENDINGS[random.usize(..ENDINGS.len())]),
        2 => Trouble::Reload(aggregator, random.u32(1..=4)),
        3 => Trouble::Upgrade(aggregator),
        4 => Trouble::Stores(Act::Kill(some, spell)),
        // Through the whole of a shutdown.
        5 => Trouble::Stores(Act::Mute(some, spell + 2000.0)),
        6 => Trouble::Stores(Act::Slow(some, f64::from(random.u32(2..9)), spell)),
        // Up to the end, so that it can be judged.
        7 => Trouble::Stores(Act::Drain(Which::Some(1), life_ms)),
        _ => {
            let modes = [Mode::Silent, Mode::Busy, Mode::Slow(random.u64(100..1500)), Mode::Whole];
            Trouble::Discovery(modes[random.usize(..modes.len())], spell)
        }
    }
}

impl fmt::Display for Draw {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} aggregators, {} run stores, {:.0} queries a second, {} descriptors, {:?}, faults {}",
            self.aggregators,
            self.stores,
            self.rate,
            self.sockets,
            self.guests,
            self.faults.as_deref().unwrap_or("none")
        )?;
        self.troubles.iter().try_for_each(|(at, trouble)| write!(f, "; at {at:.0} ms {trouble:?}"))
    }
}

#[cfg(test)]
mod tests;
