//! The scale run: measures what each role uses while simulated and real aggregators run on loopback under list changes
//! and query load.
//!
//! A simulated aggregator runs the control state and the discovery watch of the program alone, so that thousands fit
//! into one process. On the command line and in the results it is called `hollow`.

mod bounds;
mod clients;
mod discovery;
mod events;
mod hollow;
mod outcome;
pub mod roles;
mod stores;
mod sweep;
mod wire;

use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use async_signal::{Signal, Signals};
use clap::Args;
use futures_lite::StreamExt;
use serde_json::{json, Value};

use self::outcome::{ChangeTimes, Outcome};
use self::roles::{usage, Process, Role, RoleCommand, Setup, Usage};
use crate::aggregators::Aggregator;
use crate::clock::Clock;

/// The request class of all queries.
const CLASS: &str = "scale";
/// The tenant of all queries.
const TENANT: &str = "all";
/// The aim (target latency) of queries, in milliseconds.
const AIM_MS: f64 = 300.0;
/// The deadline of queries, in milliseconds.
const DEADLINE_MS: f64 = 3000.0;
/// The number of run stores that hold a shard.
const HOLDERS: usize = 3;
/// The maximum number of parts of a query.
const MAX_QUERY_PARTS: usize = 140;
/// How long clients send queries before the measurement begins.
const WARM_UP: Duration = Duration::from_millis(1500);
/// The time limit for all aggregators to receive their first list.
const FIRST_LIST_TIMEOUT: Duration = Duration::from_secs(90);
/// The time limit, after the measurement, for the last changes to be in force at all aggregators.
const LAST_CHANGE_TIMEOUT: Duration = Duration::from_secs(30);
/// The interval at which waits poll their condition and the end signal.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The options of a scale run.
#[derive(Debug, Clone, Args)]
pub struct Options {
    /// Entries of the run store list. One process answers for all run stores that are queried.
    #[arg(long, default_value_t = 600)]
    run_stores: usize,
    /// Simulated aggregators: control state and discovery watch without clients, all in one process.
    #[arg(id = "hollow", long = "hollow", value_name = "HOLLOW", default_value_t = 100)]
    simulated: usize,
    /// Real aggregators: a process of the program each, under query load.
    #[arg(long, default_value_t = 1)]
    real: usize,
    /// Relays between discovery and the aggregators, which are divided among them; with 0, aggregators call discovery.
    #[arg(long, default_value_t = 0)]
    relays: usize,
    /// Parts in flight at each real aggregator.
    #[arg(long, default_value_t = 100)]
    in_flight: usize,
    /// Run stores that receive queries, the first of the list; the others are only listed.
    #[arg(id = "asked", long = "asked", value_name = "ASKED", default_value_t = 600)]
    queried: usize,
    /// The time that a run store takes for a part, in milliseconds.
    #[arg(long, allow_negative_numbers = true, default_value_t = 20.0)]
    work: f64,
    /// List changes per second: run stores that drain, restart, leave and join.
    #[arg(long, allow_negative_numbers = true, default_value_t = 1.0)]
    changes: f64,
    /// How long the list changes and the run is measured, in seconds.
    #[arg(long, allow_negative_numbers = true, default_value_t = 10.0)]
    seconds: f64,
    /// The seed of the random events and queries.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Write the results into this file.
    #[arg(long)]
    json: Option<PathBuf>,
    /// Draw a chart into this SVG file.
    #[arg(long)]
    chart: Option<PathBuf>,
    /// Repeat the run with one size growing and the others as given, one size after the other, and derive slopes.
    #[arg(long, value_enum, num_args = 0..=1, default_missing_value = "all")]
    sweep: Option<sweep::Axis>,
    /// Write the slopes of a sweep into this TOML file, which keeps those of other sweeps; without it, print them.
    #[arg(long, requires = "sweep")]
    slopes: Option<PathBuf>,
    /// The build that is measured, recorded with the slopes.
    #[arg(long, default_value = concat!("ironpaddle-lab ", env!("CARGO_PKG_VERSION")), requires = "sweep")]
    build: String,
}

impl Options {
    /// Returns the number of run stores that receive queries.
    fn queried(&self) -> usize {
        self.queried.min(self.run_stores)
    }

    /// Returns the number of concurrent queries at a real aggregator and the number of parts of each.
    fn queries(&self) -> (usize, usize) {
        let queries = self.in_flight.div_ceil(MAX_QUERY_PARTS.min(self.queried())).max(1);
        (queries, (self.in_flight / queries).max(1))
    }

    fn settings(&self) -> Value {
        json!({
            "balancers": self.simulated + self.real, "discovery": "subscribe", "tick_ms": 5.0, "zone": "a",
            "caps": {"connect_timeout_ms": 250.0, "keepalive_ms": 30000.0, "max_attempts": 3,
                "max_open": 1000 + 2 * self.in_flight, "max_retry_after_ms": 2000.0, "may_cancel": true, "probes": true,
                "streams_per_conn": 100},
            "domain": {"cells": self.run_stores, "width": HOLDERS.min(self.run_stores), "shards": self.run_stores,
                "bundle_max": 1, "least_share": [1.0], "complete_from": [1.0], "partial_earns": [1.0]},
            "request_classes": [{"name": CLASS, "aim_ms": AIM_MS, "deadline_ms": DEADLINE_MS, "late_worth": 0.1,
                "repeat": "read_like", "value": 1.0}],
            "realms": [{"name": TENANT, "quota_per_s": 1e9}],
            "over_share_worth": 0.05,
            "rules": {"cold_from": 0.3, "fall_multiple": 2.0, "overload_for_ms": 1000.0, "warm_within_ms": 8000.0},
        })
    }

    fn setup(&self) -> Setup {
        Setup {
            run_stores: self.run_stores,
            simulated: self.simulated,
            real: self.real,
            changes: self.changes,
            seconds: self.seconds,
            seed: self.seed,
            queries: self.queries(),
            queried: self.queried(),
            work_ms: self.work,
            settings: self.settings(),
            ..Setup::default()
        }
    }

    /// Returns the command line that repeats this run.
    fn command(&self) -> String {
        format!(
            "ironpaddle-lab scale --run-stores {} --hollow {} --real {} --relays {} --in-flight {} --asked {} --work {} \
             --changes {} --seconds {} --seed {}",
            self.run_stores,
            self.simulated,
            self.real,
            self.relays,
            self.in_flight,
            self.queried,
            self.work,
            self.changes,
            self.seconds,
            self.seed
        )
    }
}

/// Runs the command and returns whether all checks of the run passed.
///
/// # Errors
/// If the run cannot be carried out or its results cannot be written.
pub fn run(options: &Options) -> Result<bool, String> {
    if let Err(why) = bounds::check(options) {
        clap::Error::raw(clap::error::ErrorKind::ValueValidation, format!("{why}\n")).exit();
    }
    let stop_requested = watch_stop_signals()?;
    if let Some(axis) = options.sweep {
        return sweep::run(options, axis, &stop_requested);
    }
    let outcome = run_once(options, &stop_requested)?;
    print!("{}", outcome.tables());
    if let Some(path) = &options.json {
        let text = serde_json::to_string_pretty(&outcome).map_err(|error| error.to_string())? + "\n";
        std::fs::write(path, text).map_err(|error| format!("{}: {error}", path.display()))?;
    }
    if let Some(path) = &options.chart {
        outcome.chart(path)?;
    }
    Ok(outcome.passed())
}

/// Returns a flag that the first termination signal sets. From then on no such signal kills this process directly, so
/// that it can stop the processes that it started.
fn watch_stop_signals() -> Result<Arc<AtomicBool>, String> {
    let mut signals =
        Signals::new([Signal::Term, Signal::Int, Signal::Hup]).map_err(|error| error.to_string())?;
    let stop_requested = Arc::new(AtomicBool::new(false));
    let setter = stop_requested.clone();
    thread::spawn(move || {
        async_io::block_on(async {
            while signals.next().await.is_some() {
                setter.store(true, Ordering::Release);
            }
        });
    });
    Ok(stop_requested)
}

/// The processes of a run. Fields are dropped in declaration order: callers stop before the processes that they call,
/// so run stores and discovery stop last.
struct Fleet<'a> {
    stop_requested: &'a AtomicBool,
    clients: Option<Process>,
    aggregators: Vec<Aggregator>,
    simulated: Process,
    relays: Vec<Process>,
    discovery: Process,
    stores: Process,
}

/// Resource usage and traffic counters of all processes at one moment.
#[derive(Default)]
struct Sample {
    at: f64,
    stores: (Usage, Value),
    discovery: (Usage, Value),
    simulated: Usage,
    relays: Vec<(Usage, Value)>,
    clients: (Usage, Value),
    real: Vec<Usage>,
}

impl<'a> Fleet<'a> {
    fn start(options: &Options, stop_requested: &'a AtomicBool) -> Result<Self, String> {
        let mut setup = options.setup();
        let stores = Process::start(Role::Stores, &setup)?;
        setup.run_store_address = stores.addresses.first().copied();
        let discovery = Process::start(Role::Discovery, &setup)?;
        let upstream = discovery.addresses.first().copied();
        let relay_setup = Setup { upstream, ..setup.clone() };
        let relays = (0..options.relays).map(|_| Process::start(Role::Discovery, &relay_setup));
        let relays = relays.collect::<Result<Vec<_>, _>>()?;
        let list_sources: Vec<_> = if relays.is_empty() { vec![&discovery] } else { relays.iter().collect() };
        let list_addresses: Vec<_> = list_sources.iter().map(|process| process.addresses.clone()).collect();
        setup.discovery = list_addresses.iter().filter_map(|addresses| addresses.first().copied()).collect();
        let simulated = Process::start(Role::Hollow, &setup)?;
        let (clients, aggregators) = (None, Vec::new());
        let mut fleet = Fleet { stop_requested, clients, aggregators, simulated, relays, discovery, stores };
        let program = std::env::current_exe().map_err(|error| error.to_string())?;
        for no in 0..options.real {
            fleet.check_not_stopped()?;
            let listing = list_addresses[no % list_addresses.len()][no + 1];
            let config = json!({"name": format!("scale-{}-{no}", std::process::id()),
                "seed": format!("{:x}", options.seed + no as u64), "discovery": listing.to_string(),
                "limits": {"sockets": bounds::sockets(options)}, "settings": setup.settings, "api": "platform"});
            let started = Aggregator::start(&program, &run_dir().join(format!("n{no}")), config);
            fleet.aggregators.push(started.map_err(|error| error.to_string())?);
        }
        setup.aggregators = fleet.aggregators.iter().map(|aggregator| aggregator.address).collect();
        fleet.clients = Some(Process::start(Role::Clients, &setup)?);
        Ok(fleet)
    }

    /// Returns an error once a signal has asked the run to end.
    fn check_not_stopped(&self) -> Result<(), String> {
        if self.stop_requested.load(Ordering::Acquire) {
            return Err("interrupted by a signal".to_string());
        }
        Ok(())
    }

    /// Returns the processes that serve the list to aggregators: the relays, or discovery if there are none.
    fn list_sources(&mut self) -> &mut [Process] {
        if self.relays.is_empty() {
            std::slice::from_mut(&mut self.discovery)
        } else {
            &mut self.relays
        }
    }

    /// Collects when each change was published and when real aggregators had applied it.
    fn change_times(&mut self) -> Result<ChangeTimes, String> {
        let mut change_times: ChangeTimes = read(self.discovery.send(RoleCommand::End)?)?;
        for relay in &mut self.relays {
            let reported: ChangeTimes = read(relay.send(RoleCommand::End)?)?;
            // Each real aggregator calls only one relay, so at most one has its times.
            for (known, times) in change_times.applied.iter_mut().zip(reported.applied) {
                if !times.is_empty() {
                    *known = times;
                }
            }
        }
        Ok(change_times)
    }

    /// Sleeps for a time, and stops early with an error if a signal asks the run to end.
    fn sleep(&self, span: Duration) -> Result<(), String> {
        let until = Instant::now() + span;
        while Instant::now() < until {
            self.check_not_stopped()?;
            thread::sleep(POLL_INTERVAL.min(until - Instant::now().min(until)));
        }
        Ok(())
    }

    /// Waits until a version of the list is in force at all aggregators, at most for `limit`; returns whether it is.
    fn wait_for_version(&mut self, options: &Options, version: u64, limit: Duration) -> Result<bool, String> {
        let began = Instant::now();
        loop {
            let status: hollow::SimulatedStatus = read(self.simulated.send(RoleCommand::Report)?)?;
            let mut applied = vec![0; options.real];
            for process in self.list_sources() {
                let reported: Vec<u64> = read(process.send(RoleCommand::Report)?["taken"].clone())?;
                applied.iter_mut().zip(reported).for_each(|(known, version)| *known = version.max(*known));
            }
            let place = (version - events::FIRST_INDEX) as usize;
            let simulated = status.in_force.get(place).map_or(0, |(count, _)| *count);
            if simulated == options.simulated && applied.iter().all(|applied| *applied >= version) {
                return Ok(true);
            }
            if began.elapsed() > limit {
                return Ok(false);
            }
            self.sleep(POLL_INTERVAL)?;
        }
    }

    /// Samples usage and traffic counters of all processes.
    fn sample(&mut self, clock: Clock) -> Result<Sample, String> {
        let failed = |error: std::io::Error| error.to_string();
        let usage_of = |process: &Process| usage(process.id()).map_err(failed);
        let mut sample = Sample {
            at: clock.now(),
            simulated: usage_of(&self.simulated)?,
            discovery: (usage_of(&self.discovery)?, Value::Null),
            stores: (usage_of(&self.stores)?, Value::Null),
            ..Sample::default()
        };
        for aggregator in &self.aggregators {
            let id = aggregator.id().ok_or("a real aggregator has exited")?;
            sample.real.push(usage(id).map_err(failed)?);
        }
        if let Some(clients) = &mut self.clients {
            sample.clients = (usage_of(clients)?, clients.send(RoleCommand::Report)?);
        }
        for relay in &mut self.relays {
            sample.relays.push((usage_of(relay)?, relay.send(RoleCommand::Report)?));
        }
        sample.discovery.1 = self.discovery.send(RoleCommand::Report)?;
        sample.stores.1 = self.stores.send(RoleCommand::Report)?;
        Ok(sample)
    }
}

fn read<T: serde::de::DeserializeOwned>(value: Value) -> Result<T, String> {
    serde_json::from_value(value).map_err(|error| error.to_string())
}

/// Returns the directory for the configurations and logs of the real aggregators of this run.
fn run_dir() -> PathBuf {
    std::env::temp_dir().join(format!("ironpaddle-scale-{}", std::process::id()))
}

/// Carries out one run. The aggregators' logs are kept if it failed or a check did not pass.
fn run_once(options: &Options, stop_requested: &AtomicBool) -> Result<Outcome, String> {
    let outcome = execute(options, stop_requested);
    if stop_requested.load(Ordering::Acquire) || outcome.as_ref().is_ok_and(Outcome::passed) {
        let _ = std::fs::remove_dir_all(run_dir());
    }
    outcome
}

/// Starts all processes, measures, stops them, and evaluates the run.
fn execute(options: &Options, stop_requested: &AtomicBool) -> Result<Outcome, String> {
    let clock = Clock::new();
    let generated = events::generate(options.run_stores, options.changes, options.seconds, options.seed);
    let began = clock.now();
    let mut fleet = Fleet::start(options, stop_requested)?;
    if !fleet.wait_for_version(options, events::FIRST_INDEX, FIRST_LIST_TIMEOUT)? {
        let status: hollow::SimulatedStatus = read(fleet.simulated.send(RoleCommand::Report)?)?;
        return Err(format!(
            "not all aggregators received their first list within {} s: {} of {} simulated ones did",
            FIRST_LIST_TIMEOUT.as_secs(),
            status.listed,
            options.simulated
        ));
    }
    let start_s = (clock.now() - began) / 1000.0;
    if let Some(clients) = &mut fleet.clients {
        clients.send(RoleCommand::Begin(0))?;
    }
    if options.real > 0 {
        fleet.sleep(WARM_UP)?;
    }
    let before = fleet.sample(clock)?;
    let begin = clock.now() as u64 + 1;
    fleet.discovery.send(RoleCommand::Begin(begin))?;
    fleet.sleep(Duration::from_secs_f64(options.seconds))?;
    let after = fleet.sample(clock)?;
    let last = events::FIRST_INDEX + generated.len() as u64;
    let everywhere = fleet.wait_for_version(options, last, LAST_CHANGE_TIMEOUT)?;
    let status: hollow::SimulatedStatus = read(fleet.simulated.send(RoleCommand::End)?)?;
    let change_times = fleet.change_times()?;
    let mut listed = events::first_list(options.run_stores);
    generated.iter().for_each(|event| events::apply(&mut listed, event));
    let expected = events::digest_entries(&listed, begin);
    let equal_lists = status.lists.get(&expected).copied().unwrap_or(0);
    let mut counts = None;
    if let Some(clients) = &mut fleet.clients {
        clients.send(RoleCommand::End)?;
        // Lets the queries in flight be answered.
        fleet.sleep(Duration::from_secs_f64(AIM_MS / 1000.0))?;
    }
    if let Some(clients) = &mut fleet.clients {
        counts = Some(read(clients.send(RoleCommand::End)?["ends"].clone())?);
    }
    let mut clean_shutdown = true;
    drop(fleet.clients.take());
    for aggregator in &mut fleet.aggregators {
        clean_shutdown &= aggregator.shut_down().map_err(|error| error.to_string())?;
    }
    drop(fleet);
    Outcome::new(
        options,
        &generated,
        [&before, &after],
        outcome::FinalState {
            start_s,
            everywhere,
            equal_lists,
            status,
            change_times,
            counts: counts.unwrap_or_default(),
            clean_shutdown,
        },
    )
}
