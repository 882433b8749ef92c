//! Draws a soak run from a seed: the fleet, its faults and their times, its clients, and failing system calls.

use std::fmt;

use crate::discovery::Mode;
use crate::scenario::{Act, Which};

/// One run in this many has a large fleet.
const LARGE_FLEET: u64 = 12;
/// Failing system calls, and wrong wall clocks.
const FAULTS: [&str; 7] = [
    "recv=EINTR@10 send=EINTR@10",
    "recv=ENOMEM@5 send=ENOBUFS@5",
    "accept=ECONNABORTED@30",
    "accept=EINTR@30",
    "accept=ENFILE@10",
    "wall_ms=3600000",
    "wall_ms=-3600000",
];
/// Sequences of signals that end an aggregator.
const ENDINGS: [&[&str]; 5] =
    [&["TERM"], &["TERM", "TERM"], &["TERM", "HUP"], &["HUP", "TERM"], &["HUP", "HUP", "HUP", "TERM"]];
/// Share of a run that passes before the first fault.
const QUIET: f64 = 0.1;
/// Share of a run after which no fault begins.
const TROUBLED: f64 = 0.5;

/// A fault of a soak run.
#[derive(Debug, Clone, PartialEq)]
pub enum Trouble {
    /// A fault of run stores.
    Stores(Act),
    /// An aggregator gets these signals, is killed as early as the platform may do so, and is restarted.
    End(usize, &'static [&'static str]),
    /// An aggregator reloads its configuration this many times in a row.
    Reload(usize, u32),
    /// A new process takes over from an aggregator, which then gets a signal to end.
    Upgrade(usize),
    /// Discovery answers in this mode for a time in milliseconds.
    Discovery(Mode, f64),
}

/// Behaviour of a special client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Guest {
    /// Sends one request after the other on a kept connection.
    Keeps,
    /// Sends several requests in one write.
    Pipelines,
    /// Sends a request byte by byte.
    Dribbles,
    /// Sends a part of a request, and then nothing.
    Stops,
    /// Closes the connection before, while or just after its request is read.
    Leaves,
    /// Sends a hundred requests at once.
    Floods,
    /// Opens many connections and sends nothing on them.
    Crowds,
    /// Sends requests with very short timeouts.
    Hurries,
    /// Reads its answer a byte at a time.
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

/// Parameters of a soak run.
#[derive(Debug, Clone, PartialEq)]
pub struct Draw {
    /// Seed from which the run was drawn.
    pub seed: u64,
    /// Number of aggregators.
    pub aggregators: usize,
    /// Number of run stores.
    pub stores: usize,
    /// Queries per second of the usual clients.
    pub rate: f64,
    /// File descriptors that each aggregator may use.
    pub sockets: usize,
    /// Special clients.
    pub guests: Vec<Guest>,
    /// Faults injected into the aggregators, in the syntax of the library of `crates/faults`.
    pub faults: Option<String>,
    /// Faults in order of time, with their times in milliseconds from the start of the run.
    pub troubles: Vec<(f64, Trouble)>,
}

impl Draw {
    /// Draws a run of the given length from a seed.
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

/// Draws a fault for a run of the given length in milliseconds.
fn trouble(random: &mut fastrand::Rng, aggregators: usize, life_ms: f64) -> Trouble {
    let aggregator = random.usize(..aggregators);
    let some = Which::Some(random.usize(1..=2));
    let spell = f64::from(random.u32(500..3500));
    match random.u32(..10) {
        0 | 1 => Trouble::End(aggregator, ENDINGS[random.usize(..ENDINGS.len())]),
        2 => Trouble::Reload(aggregator, random.u32(1..=4)),
        3 => Trouble::Upgrade(aggregator),
        4 => Trouble::Stores(Act::Kill(some, spell)),
        // Longer than a shutdown takes.
        5 => Trouble::Stores(Act::Mute(some, spell + 2000.0)),
        6 => Trouble::Stores(Act::Slow(some, f64::from(random.u32(2..9)), spell)),
        // Until the end of the run, so that the drain rule can be checked.
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
