//! Draws a soak run from a seed: the fleet, its faults and their times, its clients, and failing system calls.

use std::fmt;

use crate::discovery::Mode;
use crate::scenario::{Fault, Selection};

/// One run in this many has a large fleet.
const RUNS_PER_LARGE_FLEET: u64 = 12;
/// Failing system calls, and wrong wall clocks.
const SYSCALL_FAULTS: [&str; 7] = [
    "recv=EINTR@10 send=EINTR@10",
    "recv=ENOMEM@5 send=ENOBUFS@5",
    "accept=ECONNABORTED@30",
    "accept=EINTR@30",
    "accept=ENFILE@10",
    "wall_ms=3600000",
    "wall_ms=-3600000",
];
/// Sequences of signals that end an aggregator.
const SIGNAL_SEQUENCES: [&[&str]; 5] =
    [&["TERM"], &["TERM", "TERM"], &["TERM", "HUP"], &["HUP", "TERM"], &["HUP", "HUP", "HUP", "TERM"]];
/// Share of a run that passes before the first fault.
const QUIET_SHARE: f64 = 0.1;
/// Share of a run after which no fault begins.
const LAST_FAULT_SHARE: f64 = 0.5;

/// A fault of a soak run.
#[derive(Debug, Clone, PartialEq)]
pub enum SoakFault {
    /// A fault of run stores.
    Stores(Fault),
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
pub enum ClientKind {
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

const CLIENT_KINDS: [ClientKind; 9] = [
    ClientKind::Keeps,
    ClientKind::Pipelines,
    ClientKind::Dribbles,
    ClientKind::Stops,
    ClientKind::Leaves,
    ClientKind::Floods,
    ClientKind::Crowds,
    ClientKind::Hurries,
    ClientKind::ReadsSlowly,
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
    pub client_kinds: Vec<ClientKind>,
    /// Faults injected into the aggregators, in the syntax of the library of `crates/faults`.
    pub faults: Option<String>,
    /// Faults in order of time, with their times in milliseconds from the start of the run.
    pub soak_faults: Vec<(f64, SoakFault)>,
}

impl Draw {
    /// Draws a run of the given length from a seed.
    pub fn of(seed: u64, seconds: f64) -> Self {
        let mut random = fastrand::Rng::with_seed(seed ^ 0x50a4);
        let large = random.u64(..RUNS_PER_LARGE_FLEET) == 0;
        let aggregators = if large { random.usize(20..=30) } else { random.usize(1..=6) };
        let stores = random.usize(4..=8);
        let mut client_kinds = CLIENT_KINDS.to_vec();
        random.shuffle(&mut client_kinds);
        client_kinds.truncate(random.usize(3..=6));
        let crowded = client_kinds.contains(&ClientKind::Crowds);
        let failing =
            random.bool().then(|| *random.choice(SYSCALL_FAULTS.iter()).unwrap_or(&SYSCALL_FAULTS[0]));
        let window = (seconds * 1000.0 * QUIET_SHARE, seconds * 1000.0 * LAST_FAULT_SHARE);
        let count = random.usize(2..=5);
        let mut soak_faults: Vec<_> = (0..count)
            .map(|_| {
                let at = (window.0 + random.f64() * (window.1 - window.0)).floor();
                (at, draw_fault(&mut random, aggregators, seconds * 1000.0))
            })
            .collect();
        soak_faults.sort_by(|a, b| a.0.total_cmp(&b.0));
        Draw {
            seed,
            aggregators,
            stores,
            rate: 10.0 + 30.0 * random.f64(),
            sockets: if crowded && random.bool() { 256 } else { 1024 },
            client_kinds,
            faults: failing.map(|faults| format!("seed={seed} {faults}")),
            soak_faults,
        }
    }
}

/// Draws a fault for a run of the given length in milliseconds.
fn draw_fault(random: &mut fastrand::Rng, aggregators: usize, run_ms: f64) -> SoakFault {
    let aggregator = random.usize(..aggregators);
    let selection = Selection::Some(random.usize(1..=2));
    let duration = f64::from(random.u32(500..3500));
    match random.u32(..10) {
        0 | 1 => SoakFault::End(aggregator, SIGNAL_SEQUENCES[random.usize(..SIGNAL_SEQUENCES.len())]),
        2 => SoakFault::Reload(aggregator, random.u32(1..=4)),
        3 => SoakFault::Upgrade(aggregator),
        4 => SoakFault::Stores(Fault::Kill(selection, duration)),
        // Longer than a shutdown takes.
        5 => SoakFault::Stores(Fault::Mute(selection, duration + 2000.0)),
        6 => SoakFault::Stores(Fault::Slow(selection, f64::from(random.u32(2..9)), duration)),
        // Until the end of the run, so that the drain rule can be checked.
        7 => SoakFault::Stores(Fault::Drain(Selection::Some(1), run_ms)),
        _ => {
            let modes = [Mode::Silent, Mode::Busy, Mode::Slow(random.u64(100..1500)), Mode::Whole];
            SoakFault::Discovery(modes[random.usize(..modes.len())], duration)
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
            self.client_kinds,
            self.faults.as_deref().unwrap_or("none")
        )?;
        self.soak_faults.iter().try_for_each(|(at, soak_fault)| write!(f, "; at {at:.0} ms {soak_fault:?}"))
    }
}

#[cfg(test)]
mod tests;
