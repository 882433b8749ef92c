//! What a run may take of its machine, checked before anything is started.

use rustix::process::{getrlimit, Resource};

use super::{Options, HOLDERS};

/// The most processes that a run may start.
const MOST_PROCESSES: usize = 300;
/// The stand-ins: run stores, discovery, hollow aggregators, clients.
const STAND_INS: usize = 4;
/// Descriptors of a process that are no connection's.
const OTHER_DESCRIPTORS: usize = 64;
/// Bytes of a hollow aggregator, and for each line that it knows; measured, rounded up.
const HOLLOW: usize = 96 * 1024;
const HOLLOW_LINE: usize = 1500;
/// The same of a real one, and for each part that is out.
const REAL: usize = 16 << 20;
const REAL_LINE: usize = 2500;
const REAL_PART: usize = 16 * 1024;
/// Bytes of a stand-in, and for each line of the list.
const STAND_IN: usize = 16 << 20;
const STAND_IN_LINE: usize = 1200;
/// Bytes that two stand-ins and the kernel take for a connection.
const CONNECTION: usize = 64 * 1024;
/// Descriptors of which the program gives a fifth to run stores; so many beside are for clients.
const SHARE_OF_STORES: usize = 5;
const FOR_CLIENTS: usize = 512;

/// Descriptors that a real aggregator is configured to use: enough for a connection to each run store that is asked.
pub fn sockets(options: &Options) -> usize {
    (stores_asked(options) * SHARE_OF_STORES + FOR_CLIENTS).max(options.queries().0 * 2 + FOR_CLIENTS)
}

fn stores_asked(options: &Options) -> usize {
    (options.asked() + HOLDERS).min(options.run_stores)
}

/// Says what is wrong with the options, or what the machine lacks for them.
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
        return Err(format!("{processes} processes are wanted, and a run may start {MOST_PROCESSES}"));
    }
    descriptors(options)?;
    let total = total_memory().ok_or("the memory of the machine cannot be read from /proc/meminfo")?;
    let wanted = memory(options);
    if wanted > total / 2 {
        let gib = |bytes: usize| bytes as f64 / f64::from(1 << 30);
        return Err(format!(
            "about {:.1} GiB of memory are wanted, and a run may take half of the machine's {:.1} GiB",
            gib(wanted),
            gib(total)
        ));
    }
    Ok(())
}

/// The descriptors of each process against the limit that it will run under.
fn descriptors(options: &Options) -> Result<(), String> {
    let limit = getrlimit(Resource::Nofile).current.map_or(usize::MAX, |limit| limit as usize);
    let queries = options.queries().0;
    let told = options.hollow.div_ceil(options.relays.max(1));
    // Run stores have up to four connections where one falls silent, which none does here.
    let wanted = [
        ("the run stores", options.real * stores_asked(options)),
        ("who tells the list", told + 2 * options.real + 1),
        ("discovery", options.relays + options.real + 1),
        ("the hollow aggregators", options.hollow),
        ("the clients", options.real * queries),
        ("a real aggregator", sockets(options)),
    ];
    for (who, connections) in wanted {
        let wanted = connections + OTHER_DESCRIPTORS;
        if wanted > limit {
            return Err(format!("{who} would want {wanted} descriptors, and a process may have {limit}"));
        }
    }
    Ok(())
}

/// The memory that a run takes, in bytes.
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

fn total_memory() -> Option<usize> {
    let text = std::fs::read_to_string("/proc/meminfo").ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix("MemTotal:"))?;
    Some(line.split_whitespace().next()?.parse::<usize>().ok()? * 1024)
}
