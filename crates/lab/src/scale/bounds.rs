//! Limits on what a run may use of its machine, checked before any process is started.

use rustix::process::{getrlimit, Resource};

use super::{Options, HOLDERS};

/// The maximum number of processes that a run may start.
const MAX_PROCESSES: usize = 300;
/// The number of stand-in processes: run stores, discovery, simulated aggregators, clients.
const STAND_INS: usize = 4;
/// Descriptors that a process needs besides its connections.
const OTHER_DESCRIPTORS: usize = 64;
/// Memory of a simulated aggregator without list entries, in bytes (rounded up from measurements).
const SIMULATED_BYTES: usize = 96 * 1024;
/// Memory of a simulated aggregator for each list entry, in bytes (rounded up from measurements).
const SIMULATED_ENTRY_BYTES: usize = 1500;
/// Memory of a real aggregator without list entries or load, in bytes (rounded up from measurements).
const REAL_BYTES: usize = 16 << 20;
/// Memory of a real aggregator for each list entry, in bytes (rounded up from measurements).
const REAL_ENTRY_BYTES: usize = 2500;
/// Memory of a real aggregator for each part in flight, in bytes (rounded up from measurements).
const REAL_PART_BYTES: usize = 16 * 1024;
/// Memory of a stand-in without list entries, in bytes.
const STAND_IN_BYTES: usize = 16 << 20;
/// Memory of a stand-in for each list entry, in bytes.
const STAND_IN_ENTRY_BYTES: usize = 1200;
/// Memory that the processes at both ends and the kernel use for a connection, in bytes.
const CONNECTION_BYTES: usize = 64 * 1024;
/// The program gives one in this many of its descriptors to run store connections.
const RUN_STORE_SHARE_DIVISOR: usize = 5;
/// Descriptors of a real aggregator that are added for client connections.
const CLIENT_DESCRIPTORS: usize = 512;

/// Returns the number of descriptors that a real aggregator is configured to use: enough for a connection to each run
/// store that is queried.
pub fn sockets(options: &Options) -> usize {
    (connected_run_stores(options) * RUN_STORE_SHARE_DIVISOR + CLIENT_DESCRIPTORS)
        .max(options.queries().0 * 2 + CLIENT_DESCRIPTORS)
}

/// Returns the number of run stores that a real aggregator may connect to: those that are queried and the other holders
/// of their shards.
fn connected_run_stores(options: &Options) -> usize {
    (options.queried() + HOLDERS).min(options.run_stores)
}

/// Checks the options against their ranges and the limits of the machine.
///
/// # Errors
/// Names the invalid option, or the limit of processes, descriptors or memory that the run would exceed.
pub fn check(options: &Options) -> Result<(), String> {
    let invalid = [
        (options.run_stores == 0, "--run-stores must be at least 1"),
        (options.simulated + options.real == 0, "--hollow and --real together must be at least 1"),
        (options.in_flight == 0, "--in-flight must be at least 1"),
        (options.queried == 0, "--asked must be at least 1"),
        (!(options.work >= 0.0 && options.work < super::AIM_MS), "--work must be from 0 up to the aim, 300"),
        (!(0.0..=1000.0).contains(&options.changes), "--changes must be from 0 to 1000 a second"),
        (!(options.seconds > 0.0 && options.seconds <= 3600.0), "--seconds must be above 0 and at most 3600"),
    ];
    if let Some((_, why)) = invalid.iter().find(|(invalid, _)| *invalid) {
        return Err((*why).to_string());
    }
    let processes = options.real + options.relays + STAND_INS;
    if processes > MAX_PROCESSES {
        return Err(format!("the run needs {processes} processes, and may start {MAX_PROCESSES}"));
    }
    check_descriptors(options)?;
    let total = total_memory().ok_or("the memory of the machine cannot be read from /proc/meminfo")?;
    let needed = memory(options);
    if needed > total / 2 {
        let gib = |bytes: usize| bytes as f64 / f64::from(1 << 30);
        return Err(format!(
            "the run needs about {:.1} GiB of memory, and may use half of the machine's {:.1} GiB",
            gib(needed),
            gib(total)
        ));
    }
    Ok(())
}

/// Checks the descriptors that each process needs against the process limit, which child processes inherit.
fn check_descriptors(options: &Options) -> Result<(), String> {
    let limit = getrlimit(Resource::Nofile).current.map_or(usize::MAX, |limit| limit as usize);
    let queries = options.queries().0;
    let watchers = options.simulated.div_ceil(options.relays.max(1));
    // One connection for each run store suffices: aggregators open up to four only to a run store that stops answering,
    // which does not happen here.
    let needed = [
        ("the run stores", options.real * connected_run_stores(options)),
        ("the process that serves the list", watchers + 2 * options.real + 1),
        ("discovery", options.relays + options.real + 1),
        ("the simulated aggregators", options.simulated),
        ("the clients", options.real * queries),
        ("a real aggregator", sockets(options)),
    ];
    for (process, connections) in needed {
        let needed = connections + OTHER_DESCRIPTORS;
        if needed > limit {
            return Err(format!("{process} would need {needed} descriptors, and a process may have {limit}"));
        }
    }
    Ok(())
}

/// Estimates the memory that a run uses, in bytes.
fn memory(options: &Options) -> usize {
    let entries = options.run_stores;
    let simulated = options.simulated * (SIMULATED_BYTES + SIMULATED_ENTRY_BYTES * entries);
    let real = options.real * (REAL_BYTES + REAL_ENTRY_BYTES * entries + REAL_PART_BYTES * options.in_flight);
    let connections =
        options.simulated + options.real * (connected_run_stores(options) + options.queries().0);
    simulated
        + real
        + (STAND_INS + options.relays) * (STAND_IN_BYTES + STAND_IN_ENTRY_BYTES * entries)
        + connections * CONNECTION_BYTES
}

/// Reads the memory of the machine, in bytes; `None` if `/proc/meminfo` cannot be read.
fn total_memory() -> Option<usize> {
    let text = std::fs::read_to_string("/proc/meminfo").ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix("MemTotal:"))?;
    Some(line.split_whitespace().next()?.parse::<usize>().ok()? * 1024)
}
