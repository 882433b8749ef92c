//! Limits on what a run may use of its machine, checked before any process is started.

use rustix::process::{getrlimit, Resource};

use super::{Options, HOLDERS};

/// The maximum number of processes that a run may start.
const MOST_PROCESSES: usize = 300;
/// The number of stand-in processes: run stores, discovery, simulated aggregators, clients.
const STAND_INS: usize = 4;
/// Descriptors that a process needs besides its connections.
const OTHER_DESCRIPTORS: usize = 64;
/// Memory of a simulated aggregator without list entries, in bytes (rounded up from measurements).
const HOLLOW: usize = 96 * 1024;
/// Memory of a simulated aggregator for each list entry, in bytes (rounded up from measurements).
const HOLLOW_LINE: usize = 1500;
/// Memory of a real aggregator without list entries or load, in bytes (rounded up from measurements).
const REAL: usize = 16 << 20;
/// Memory of a real aggregator for each list entry, in bytes (rounded up from measurements).
const REAL_LINE: usize = 2500;
/// Memory of a real aggregator for each part in flight, in bytes (rounded up from measurements).
const REAL_PART: usize = 16 * 1024;
/// Memory of a stand-in without list entries, in bytes.
const STAND_IN: usize = 16 << 20;
/// Memory of a stand-in for each list entry, in bytes.
const STAND_IN_LINE: usize = 1200;
/// Memory that the processes at both ends and the kernel use for a connection, in bytes.
const CONNECTION: usize = 64 * 1024;
/// The program gives one in this many of its descriptors to run store connections.
const SHARE_OF_STORES: usize = 5;
/// Descriptors of a real aggregator that are added for client connections.
const FOR_CLIENTS: usize = 512;

/// Returns the number of descriptors that a real aggregator is configured to use: enough for a connection to each run
/// store that is queried.
pub fn sockets(options: &Options) -> usize {
    (stores_asked(options) * SHARE_OF_STORES + FOR_CLIENTS).max(options.queries().0 * 2 + FOR_CLIENTS)
}

/// Returns the number of run stores that a real aggregator may connect to: those that are queried and the other holders
/// of their shards.
fn stores_asked(options: &Options) -> usize {
    (options.asked() + HOLDERS).min(options.run_stores)
}

/// Checks the options against their ranges and the limits of the machine.
///
/// # Errors
/// Names the invalid option, or the limit of processes, descriptors or memory that the run would exceed.
pub fn check(options: &Options) -> Result<(), String> {
    let wrong = [
        (options.run_stores == 0, "--run-stores must be at least 1"),
        (options.hollow + options.real == 0, "--hollow and --real together must be at least 1"),
        (options.in_flight == 0, "--in-flight must be at least 1"),
        (options.asked == 0, "--asked must be at least 1"),
        (!(options.work >= 0.0 && options.work < super::AIM_MS), "--work must be from 0 up to the aim, 300"),
        (!(0.0..=1000.0).contains(&options.changes), "--changes must be from 0 to 1000 a second"),
        (!(options.seconds > 0.0 && options.seconds <= 3600.0), "--seconds must be above 0 and at most 3600"),
    ];
    if let Some((_, why)) = wrong.iter().find(|(wrong, _)| *wrong) {
        return Err((*why).to_string());
    }
    let processes = options.real + options.relays + STAND_INS;
    if processes > MOST_PROCESSES {
        return Err(format!("the run needs {processes} processes, and may start {MOST_PROCESSES}"));
    }
    descriptors(options)?;
    let total = total_memory().ok_or("the memory of the machine cannot be read from /proc/meminfo")?;
    let wanted = memory(options);
    if wanted > total / 2 {
        let gib = |bytes: usize| bytes as f64 / f64::from(1 << 30);
        return Err(format!(
            "the run needs about {:.1} GiB of memory, and may use half of the machine's {:.1} GiB",
            gib(wanted),
            gib(total)
        ));
    }
    Ok(())
}

/// Checks the descriptors that each process needs against the process limit, which child processes inherit.
fn descriptors(options: &Options) -> Result<(), String> {
    let limit = getrlimit(Resource::Nofile).current.map_or(usize::MAX, |limit| limit as usize);
    let queries = options.queries().0;
    let told = options.hollow.div_ceil(options.relays.max(1));
    // One connection for each run store suffices: aggregators open up to four only to a run store that stops answering,
    // which does not happen here.
    let wanted = [
        ("the run stores", options.real * stores_asked(options)),
        ("the process that serves the list", told + 2 * options.real + 1),
        ("discovery", options.relays + options.real + 1),
        ("the simulated aggregators", options.hollow),
        ("the clients", options.real * queries),
        ("a real aggregator", sockets(options)),
    ];
    for (who, connections) in wanted {
        let wanted = connections + OTHER_DESCRIPTORS;
        if wanted > limit {
            return Err(format!("{who} would need {wanted} descriptors, and a process may have {limit}"));
        }
    }
    Ok(())
}

/// Estimates the memory that a run uses, in bytes.
fn memory(options: &Options) -> usize {
    let lines = options.run_stores;
    let hollow = options.hollow * (HOLLOW + HOLLOW_LINE * lines);
    let real = options.real * (REAL + REAL_LINE * lines + REAL_PART * options.in_flight);
    let connections = options.hollow + options.real * (stores_asked(options) + options.queries().0);
    hollow
        + real
        + (STAND_INS + options.relays) * (STAND_IN + STAND_IN_LINE * lines)
        + connections * CONNECTION
}

/// Reads the memory of the machine, in bytes; `None` if `/proc/meminfo` cannot be read.
fn total_memory() -> Option<usize> {
    let text = std::fs::read_to_string("/proc/meminfo").ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix("MemTotal:"))?;
    Some(line.split_whitespace().next()?.parse::<usize>().ok()? * 1024)
}
