//! Demo: runs load and faults, shows live counts, and compares the results with the trace.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

use clap::Args;
use ironpaddle_trace::record::{How, Record};
use ironpaddle_trace::set::{Item, Set};
use ironpaddle_trace::summary::{summarise, Filter};
use serde::Serialize;
use serde_json::{json, Value};

use crate::aggregators::Aggregator;
use crate::check::Checker;
use crate::clients::{self, End, LiveCounts, CLASSES, GROUPS};
use crate::clock::Clock;
use crate::discovery::Discovery;
use crate::links::{Conditions, Link};
use crate::model::Profile;
use crate::report::{self, Second};
use crate::scenario::{self, Fault, Line, LinkTarget};
use crate::stores::{self, RunStore};
use crate::Api;

/// Returns the default scenario: after three tenths of the run, three run stores die together; later one is slow and
/// one drains.
fn default_scenario(seconds: f64) -> String {
    let at = |part: f64| format!("{:.0}s", (seconds * part).max(1.0));
    let (duration, short) = (at(0.15), at(0.1));
    format!(
        "at {} kill 3 for {duration}\nat {} slow 1 by 5 for {short}\nat {} drain 1 for {duration}\n",
        at(0.3),
        at(0.6),
        at(0.7)
    )
}

/// Typical work of a part, in milliseconds.
pub const WORK_MS: f64 = 20.0;
/// Multiple of its capacity that a run store tolerates just after a start.
pub const COLD_TOLERATED_MULTIPLE: f64 = 2.0;
/// Parameters of the simulated run stores.
pub const PROFILE: Profile = Profile {
    slots: 2,
    queue: 16,
    work_ms: WORK_MS,
    cold_from: 0.35,
    warm_ms: 7000.0,
    stall_every_ms: 7000.0,
    stall_ms: 200.0,
};

/// Options of a demo.
#[derive(Debug, Args)]
pub struct Options {
    /// Seconds for which clients send queries.
    #[arg(long, default_value_t = 20.0)]
    pub seconds: f64,
    /// Seed of all random draws.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// API between clients and aggregators, with the matching protocol of run stores.
    #[arg(long, value_enum, default_value = "platform")]
    pub api: Api,
    /// Number of aggregators.
    #[arg(long, default_value_t = 2)]
    pub aggregators: usize,
    /// Number of run stores.
    #[arg(long, default_value_t = 12)]
    pub stores: usize,
    /// Queries per second.
    #[arg(long, default_value_t = 40.0)]
    pub rate: f64,
    /// Typical work of a part, in milliseconds.
    #[arg(long, default_value_t = WORK_MS)]
    pub work: f64,
    /// Scenario file; by default, three run stores die together, and later one is slow and one drains.
    #[arg(long)]
    pub scenario: Option<PathBuf>,
    /// Inject no faults.
    #[arg(long)]
    pub calm: bool,
    /// Record traces into this folder, and compare their summary with what clients saw.
    #[arg(long)]
    pub trace: Option<PathBuf>,
    /// Write results and live counts by class to this file.
    #[arg(long)]
    pub json: Option<PathBuf>,
    /// Write a table (results.md) and a chart (results.svg) into this folder.
    #[arg(long)]
    pub report: Option<PathBuf>,
    /// Kill the first aggregator in the middle of the run, and restart it.
    #[arg(long)]
    pub kill_aggregator: bool,
    /// Run aggregators with this program, such as an earlier version, in place of the lab itself.
    #[arg(long)]
    pub program: Option<PathBuf>,
    /// Additional time before a rule counts as broken, in milliseconds, for slow machines.
    #[arg(long, default_value_t = 0.0)]
    pub slack: f64,
    /// Connect aggregators to run stores and discovery through links that scenarios can cut.
    #[arg(long, hide = true)]
    pub links: bool,
    /// File descriptors that each aggregator may use.
    #[arg(long, hide = true, default_value_t = 4096)]
    pub sockets: usize,
    /// Faults injected into the aggregators, in the syntax of the library of `crates/faults`.
    #[arg(skip)]
    pub faults: Option<String>,
}

/// Options of a fleet run.
#[derive(Debug, Args)]
pub struct Fleet {
    /// Scenario file, with one fault on a line.
    #[arg(value_name = "SCENARIO", id = "played")]
    scenario_file: PathBuf,
    #[command(flatten)]
    options: Options,
}

/// Plays a scenario with several aggregators, over links between all processes.
///
/// # Errors
/// If the run cannot be set up or carried out.
pub fn fleet(fleet: Fleet) -> Result<bool, String> {
    let Fleet { scenario_file, options } = fleet;
    run(&Options { scenario: Some(scenario_file), links: true, ..options })
}

fn settings(options: &Options) -> Value {
    let class = |class: &clients::Class| {
        json!({"name": class.name, "aim_ms": class.aim, "deadline_ms": class.deadline, "late_worth": 0.1,
            "repeat": if class.safe { "read_like" } else { "non_idempotent" }, "value": class.worth})
    };
    let quota = options.rate * 1.2;
    json!({
        "balancers": options.aggregators, "discovery": "subscribe", "tick_ms": 5.0, "zone": "lab",
        "caps": {"connect_timeout_ms": 250.0, "keepalive_ms": 30000.0, "max_attempts": 3, "max_open": 4000,
            "max_retry_after_ms": 2000.0, "may_cancel": true, "probes": true, "streams_per_conn": 100},
        "domain": {"cells": options.stores, "width": 3.min(options.stores), "shards": options.stores * 2, "bundle_max": 1,
            "least_share": CLASSES.map(|class| class.least_share), "complete_from": [1.0, 1.0, 1.0],
            "partial_earns": [0.9, 0.9, 0.9]},
        "request_classes": CLASSES.iter().map(class).collect::<Vec<_>>(),
        "realms": GROUPS.map(|(name, share)| json!({"name": name, "quota_per_s": quota * share})),
        "over_share_worth": 0.05,
        "rules": {"cold_from": 0.3, "fall_multiple": COLD_TOLERATED_MULTIPLE, "overload_for_ms": 1000.0, "warm_within_ms": 8000.0},
    })
}

/// The run stores, aggregators, network and shared state of a run.
pub struct World {
    pub clock: Clock,
    pub stores: Vec<Arc<RunStore>>,
    /// Discovery services, with the listed address of each run store: one for each aggregator, or a shared one without
    /// links.
    pub discoveries: Vec<(Arc<Discovery>, Vec<SocketAddr>)>,
    /// Links by aggregator: one to each run store in order, and the last to discovery.
    pub links: Vec<Vec<Arc<Link>>>,
    /// Factor on the query rate of clients.
    pub load_factor: Mutex<f64>,
    pub checker: Arc<Checker>,
    pub counts: LiveCounts,
    pub aggregators: Mutex<Vec<Aggregator>>,
    pub addresses: Vec<SocketAddr>,
    /// Whether each run store is up.
    pub up: Mutex<Vec<bool>>,
    pub over: AtomicBool,
    /// Number of queries sent by the special clients of soak runs.
    pub special_queries: AtomicU64,
}

impl World {
    /// Lists a run store with a status in every discovery service.
    pub fn list_run_store(&self, store: usize, status: &str, since: f64) {
        for (discovery, addresses) in &self.discoveries {
            discovery.publish(
                json!({"name": format!("s-{store}"), "address": addresses[store].to_string(), "zone": "lab",
                "type": "k", "group": store, "status": status, "weight": 1.0, "since_ms": since.floor()}),
            );
        }
    }

    /// Returns the links of an aggregator to the given targets.
    fn links(&self, aggregator: usize, to: LinkTarget) -> Vec<&Link> {
        let Some(links) = self.links.get(aggregator) else { return Vec::new() };
        let stores = self.stores.len();
        let range = match to {
            LinkTarget::Stores => 0..stores,
            LinkTarget::Store(store) => store % stores..store % stores + 1,
            LinkTarget::Discovery => stores..stores + 1,
        };
        links[range].iter().map(|link| &**link).collect()
    }

    /// Runs an action on an aggregator.
    ///
    /// # Errors
    /// If the action fails.
    pub fn aggregator<T: Default>(
        &self,
        no: usize,
        act: impl FnOnce(&mut Aggregator) -> std::io::Result<T>,
    ) -> Result<T, String> {
        let mut all = self.aggregators.lock().map_err(|_| "a thread failed")?;
        all.get_mut(no).map_or(Ok(T::default()), |one| act(one).map_err(|error| error.to_string()))
    }

    /// Starts or ends a fault of the load, of links or of aggregators; `began` is the time of its start.
    fn apply_process_fault(&self, fault: &Fault, begins: bool, began: f64) -> Result<(), String> {
        let now = self.clock.now();
        match fault {
            Fault::Load(by, _) => {
                if let Ok(mut factor) = self.load_factor.lock() {
                    *factor = if begins { *by } else { 1.0 };
                }
            }
            Fault::Cut(no, to, back, _) => {
                let cut = [begins && !back, begins];
                let conditions = Conditions { cut, ..Conditions::default() };
                self.links(*no, *to).iter().for_each(|link| link.set_conditions(conditions));
                if *to == LinkTarget::Discovery {
                    self.checker.set_partitioned(*no, if begins { None } else { Some(now) });
                }
            }
            Fault::Delay(no, to, by, _) => {
                let delay_ms = if begins { *by } else { 0.0 };
                let conditions = Conditions { delay_ms, ..Conditions::default() };
                self.links(*no, *to).iter().for_each(|link| link.set_conditions(conditions));
            }
            Fault::Reset(no, to) if begins => self.links(*no, *to).iter().for_each(|link| link.reset()),
            Fault::Crash(no, _) => {
                self.checker.begin_unavailable(*no, began);
                self.aggregator(*no, |one| if begins { one.kill() } else { one.start_again() })?;
                if !begins {
                    self.checker.end_unavailable(*no, began, self.clock.now());
                }
            }
            Fault::Stop(no, _) => {
                self.checker.begin_unavailable(*no, began);
                self.aggregator(*no, |one| one.set_suspended(begins))?;
                if !begins {
                    self.checker.end_unavailable(*no, began, self.clock.now());
                }
            }
            Fault::Restart(no) if begins => {
                self.checker.begin_unavailable(*no, began);
                self.aggregator(*no, |one| {
                    if one.shut_down()? {
                        one.start_again()
                    } else {
                        Err(std::io::Error::other("the aggregator did not shut down cleanly"))
                    }
                })?;
                self.checker.end_unavailable(*no, began, self.clock.now());
            }
            _ => {}
        }
        Ok(())
    }

    /// Starts or ends a fault; `began` is the time of its start.
    ///
    /// # Errors
    /// If the fault cannot be injected.
    pub fn apply_fault(
        &self,
        fault: &Fault,
        stores: &[usize],
        begins: bool,
        began: f64,
    ) -> Result<(), String> {
        self.apply_process_fault(fault, begins, began)?;
        for &no in stores {
            let store = &self.stores[no];
            match (fault, begins) {
                (Fault::Kill(..), true) => store.kill(),
                (Fault::Kill(..), false) => {
                    let since = store.restart();
                    self.list_run_store(no, "ready", since);
                }
                (Fault::Slow(_, by, _), true) => store.set_slowdown(*by),
                (Fault::Slow(..), false) => store.set_slowdown(1.0),
                (Fault::Mute(..), begins) => store.set_muted(begins),
                (Fault::Drain(..), true) => {
                    self.checker.set_draining(no, Some(self.clock.now()));
                    self.list_run_store(no, "draining", 0.0);
                }
                (Fault::Drain(..), false) => {
                    self.checker.set_draining(no, None);
                    self.list_run_store(no, "ready", 0.0);
                }
                _ => {}
            }
            if let (Fault::Kill(..), Ok(mut up)) = (fault, self.up.lock()) {
                up[no] = !begins;
            }
        }
        if let (Fault::KillAggregator, true, Ok(mut all)) = (fault, begins, self.aggregators.lock()) {
            if let Some(first) = all.first_mut() {
                first.kill_and_start().map_err(|error| error.to_string())?;
            }
        }
        Ok(())
    }

    /// Injects the faults of a scenario at their times, counted from `begin`.
    fn inject_faults(&self, begin: f64, lines: &[Line], seed: u64) -> Result<(), String> {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut all: Vec<(f64, usize, bool, Vec<usize>)> = Vec::new();
        for (no, line) in lines.iter().enumerate() {
            let (selection, duration) = line.fault.targets_and_duration();
            let chosen = selection
                .map_or(Vec::new(), |selection| scenario::select(selection, self.stores.len(), &mut random));
            all.push((line.at, no, true, chosen.clone()));
            all.push((line.at + duration, no, false, chosen));
        }
        all.sort_by(|a, b| a.0.total_cmp(&b.0));
        for (at, no, begins, chosen) in all {
            while self.clock.now() < begin + at {
                if self.over.load(Ordering::Acquire) {
                    return Ok(());
                }
                self.clock.sleep_until((begin + at).min(self.clock.now() + 50.0));
            }
            let names: Vec<_> = chosen.iter().map(|store| format!("s-{store}")).collect();
            println!(
                "     {} {:?} {}",
                if begins { "begins:" } else { "ends:  " },
                lines[no].fault,
                names.join(" ")
            );
            self.apply_fault(&lines[no].fault, &chosen, begins, begin + lines[no].at)?;
        }
        Ok(())
    }

    /// Sends queries at times drawn from the seed, each in a thread of its own.
    pub fn send_queries<'a>(
        self: &Arc<Self>,
        scope: &'a thread::Scope<'a, '_>,
        begin: f64,
        options: &'a Options,
    ) {
        let mut random = fastrand::Rng::with_seed(options.seed);
        let (mut at, shards) = (begin, options.stores as u32 * 2);
        for no in 0.. {
            let factor = self.load_factor.lock().map_or(1.0, |factor| *factor);
            at += -(1.0 - random.f64()).ln() / (options.rate * factor) * 1000.0;
            if at > begin + options.seconds * 1000.0 {
                return;
            }
            let query = clients::draw_query(&mut random, no, shards, options.api);
            let (to, again) = (random.usize(..self.addresses.len()), random.f64() < 0.7);
            self.clock.sleep_until(at);
            let world = self.clone();
            scope.spawn(move || {
                let asked = world.clock.now();
                let mut end = world.ask(&query, to, options);
                // A client retries at most once, at another aggregator: after a refusal, which says that a retry is
                // safe, or, if the parts may run twice, when its aggregator did not answer.
                let gone = end == End::Lost && CLASSES[query.class].safe;
                if (again && end == End::Refused) || gone {
                    world.clock.sleep_until(world.clock.now() + if gone { 0.0 } else { 200.0 });
                    let repeat =
                        clients::Query { id: format!("{}r", query.id), retry: true, ..query.clone() };
                    end = world.ask(&repeat, (to + 1) % world.addresses.len(), options);
                }
                let in_time = world.clock.now() - asked <= CLASSES[query.class].aim;
                world.counts.record_worth(&query, asked, in_time && matches!(end, End::Answered { .. }));
            });
        }
    }

    fn ask(&self, query: &clients::Query, to: usize, options: &Options) -> End {
        let asked = self.clock.now();
        let (end, answer) = clients::ask((to, self.addresses[to]), options.api, query, asked, &self.clock);
        if end == End::Lost && answer.unread {
            // The request was not read, so the aggregator did not have to answer it.
        } else if end == End::Lost {
            self.checker.check_unanswered(&answer);
        } else {
            self.checker.check_answer(&answer, |part| stores::value(options.seed, part));
        }
        self.counts.record_end(query, end, answer.answered_at - asked);
        self.checker.register_query(
            query.id.clone(),
            query.parts.iter().map(|(shard, _)| *shard),
            CLASSES[query.class].safe,
        );
        end
    }
}

/// Runs a demo and returns whether all checks passed.
///
/// # Errors
/// If the run cannot be set up or carried out.
pub fn run(options: &Options) -> Result<bool, String> {
    let text = match &options.scenario {
        Some(path) => {
            std::fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?
        }
        None if options.calm => String::new(),
        None => default_scenario(options.seconds),
    };
    let mut lines = scenario::parse(&text)?;
    if options.kill_aggregator {
        lines.push(Line { at: options.seconds * 500.0, fault: Fault::KillAggregator });
    }
    let world = Arc::new(build(options).map_err(|error| error.to_string())?);
    println!(
        "{} aggregators, {} run stores, {} queries per second for {} s, seed {}",
        options.aggregators, options.stores, options.rate, options.seconds, options.seed
    );
    let begin = world.clock.now();
    let failed = Mutex::new(None);
    let mut seconds = Vec::new();
    thread::scope(|scope| {
        let (injecting, lines, fault) = (world.clone(), &lines, &failed);
        scope.spawn(move || {
            if let (Err(error), Ok(mut fault)) =
                (injecting.inject_faults(begin, lines, options.seed ^ 0x7e), fault.lock())
            {
                *fault = Some(error);
            }
        });
        let shown = world.clone();
        let showing = scope.spawn(move || show_progress(&shown, begin));
        thread::scope(|clients| world.send_queries(clients, begin, options));
        world.over.store(true, Ordering::Release);
        seconds = showing.join().unwrap_or_default();
    });
    if let Ok(Some(error)) = failed.lock().map(|fault| fault.clone()) {
        return Err(error);
    }
    finish(options, &world, begin, &seconds, (&text, &lines))
}

/// Starts run stores, discovery, links and aggregators.
///
/// # Errors
/// If one of them cannot be started.
pub fn build(options: &Options) -> std::io::Result<World> {
    let clock = Clock::new();
    let checker = Arc::new(Checker::default());
    checker.set_slack(options.slack);
    let profile = Profile { work_ms: options.work, ..PROFILE };
    let start = |no| RunStore::start(no, profile, options.api, options.seed, clock, checker.clone());
    let stores = (0..options.stores).map(start).collect::<Result<Vec<_>, _>>()?;
    let up = Mutex::new(vec![true; options.stores]);
    let (aggregators, counts, over) = (Mutex::default(), LiveCounts::default(), AtomicBool::new(false));
    let direct: Vec<SocketAddr> = stores.iter().map(|store| store.address).collect();
    let (mut discoveries, mut links, mut listings) = (Vec::new(), Vec::new(), Vec::new());
    for no in 0..if options.links { options.aggregators } else { 1 } {
        let (discovery, listing) = Discovery::start()?;
        let (mut addresses, mut listing, mut own) = (direct.clone(), listing, Vec::new());
        if options.links {
            for address in addresses.iter_mut().chain([&mut listing]) {
                let checker = checker.clone();
                let link = Link::start(*address, move |from| checker.add_route(from, no))?;
                own.push(link.0);
                *address = link.1;
            }
        }
        discoveries.push((discovery, addresses));
        links.push(own);
        listings.push(listing);
    }
    let (load_factor, addresses) = (Mutex::new(1.0), Vec::new());
    let mut world = World {
        clock,
        stores,
        discoveries,
        links,
        load_factor,
        checker,
        counts,
        aggregators,
        addresses,
        up,
        over,
        special_queries: AtomicU64::new(0),
    };
    (0..options.stores).for_each(|no| world.list_run_store(no, "ready", 0.0));
    let program = options.program.clone().map_or_else(std::env::current_exe, Ok)?;
    let dir = std::env::temp_dir().join(format!("ironpaddle-lab-{}", std::process::id()));
    let mut started = Vec::new();
    for no in 0..options.aggregators {
        let mut config = json!({"name": format!("n{no}"), "seed": format!("{:x}", options.seed + no as u64),
            "discovery": listings[no % listings.len()].to_string(), "limits": {"sockets": options.sockets}, "settings": settings(options),
            "api": match options.api { Api::Platform => "platform", Api::Opensearch => "opensearch" }});
        if let Some(trace) = &options.trace {
            config["trace"] = json!({"dir": trace.join(format!("n{no}"))});
        }
        let faults = options.faults.as_deref();
        started.push(Aggregator::start_with_faults(&program, &dir.join(format!("n{no}")), config, faults)?);
    }
    world.addresses = started.iter().map(|aggregator| aggregator.address).collect();
    world.aggregators = Mutex::new(started);
    Ok(world)
}

/// Prints a line each second until the run is over, and returns the counts of each second.
fn show_progress(world: &World, begin: f64) -> Vec<Second> {
    let mut seconds = Vec::new();
    let mut last = [0; 4];
    while !world.over.load(Ordering::Acquire) {
        world.clock.sleep_until(begin + (seconds.len() + 1) as f64 * 1000.0);
        let (classes, _) = world.counts.totals();
        let sum = |of: fn(&clients::EndCounts) -> u64| classes.values().map(of).sum::<u64>();
        let all = [sum(|e| e.answered), sum(|e| e.refused), sum(|e| e.failed), sum(|e| e.lost)];
        let ends = [0, 1, 2, 3].map(|at| all[at] - last[at]);
        last = all;
        let up = world.up.lock().map_or(0, |up| up.iter().filter(|up| **up).count() as u64);
        seconds.push(Second { ends, up });
        let [answered, refused, failed, lost] = ends;
        let row =
            |(name, ends): (&&str, &clients::EndCounts)| format!("{name} {}/{}", ends.answered, ends.asked);
        let rows: Vec<String> = classes.iter().map(row).collect();
        println!(
            "{:>4} s  answered {answered:>4}  refused {refused:>3}  failed {failed:>3}  lost {lost:>3}  up {up:>2}   {}",
            seconds.len(),
            rows.join("  ")
        );
    }
    seconds
}

/// Shuts the aggregators down, compares the results with the traces, and writes the results. Returns whether all checks
/// passed.
fn finish(
    options: &Options,
    world: &World,
    begin: f64,
    seconds: &[Second],
    (scenario, lines): (&str, &[Line]),
) -> Result<bool, String> {
    let (classes, groups) = world.counts.totals();
    let mut cpu_ms = 0.0;
    let mut orderly = true;
    let mut figures = Vec::new();
    for aggregator in world.aggregators.lock().map_err(|_| "a thread failed")?.iter_mut() {
        figures
            .push(aggregator.call("GET", "/stats").map_or_else(|error| error.to_string(), |(_, body)| body));
        orderly &= aggregator.shut_down().map_err(|error| error.to_string())?;
        cpu_ms += aggregator.cpu_ms();
    }
    let asked: u64 = classes.values().map(|ends| ends.asked).sum();
    // No part can arrive after all aggregators have ended.
    let broken = world.checker.violations();
    let mut well = orderly && broken.is_empty();
    let head =
        ["class", "asked", "answered", "whole", "in time", "refused", "failed", "lost", "p50 ms", "p99 ms"];
    let row = |(name, ends): (&&str, &clients::EndCounts)| {
        let counts =
            [ends.asked, ends.answered, ends.whole, ends.in_time, ends.refused, ends.failed, ends.lost];
        let time =
            |name| ends.latency_ms.get(name).map_or("-".to_string(), |value: &f64| format!("{value:.1}"));
        let mut row = vec![(*name).to_string()];
        row.extend(counts.map(|count| count.to_string()));
        row.extend([time("p50"), time("p99")]);
        row
    };
    let mut rows: Vec<_> = classes.iter().map(row).collect();
    rows.extend(groups.iter().map(row));
    let table = report::table(&head, &rows);
    println!("\n{table}");
    println!("CPU of the aggregators: {:.3} ms per query", cpu_ms / asked.max(1) as f64);
    for (rule, (count, first)) in &broken {
        println!("rule broken: {rule}, {count} times, first: {first}");
    }
    if broken.is_empty() {
        println!("no rule was broken");
    }
    let compared =
        options.trace.as_ref().map(|dir| compare(dir, options.aggregators, &world.counts)).transpose()?;
    if let Some(compared) = &compared {
        let lost = compared["lost"].as_u64().unwrap_or(0);
        // Only the last answers of a killed process may be missing in the trace.
        let killed = options.kill_aggregator || scenario.contains("aggregator kill");
        let equal = compared["different"] == 0 && (lost == 0 || killed) && compared["equal"] == (lost == 0);
        well &= equal;
        println!("trace compared with the results of clients: {compared}");
    }
    let flow = flow(world, begin, options.seconds as u64);
    let last_fault_end_s =
        lines.iter().map(|line| line.at + line.fault.targets_and_duration().1).fold(0.0, f64::max) / 1000.0;
    let recovered = recovery_seconds(&flow, last_fault_end_s);
    let (asked_for, earned) = flow.iter().fold((0.0, 0.0), |sum, at| (sum.0 + at.worth, sum.1 + at.earned));
    let in_time = earned / f64::max(asked_for, 1.0);
    println!("worth earned in time: {in_time:.3} of the worth asked for");
    match recovered {
        Some(after) => println!("full service {after:.0} s after the end of the last fault"),
        None => println!("full service was not restored by the end of the run"),
    }
    let result = json!({"classes": classes, "flow": flow, "recovered_s": recovered, "in_time": in_time, "groups": groups, "seconds": seconds, "cpu_ms_per_query": cpu_ms / asked.max(1) as f64,
        "broken": broken, "trace": compared, "ended_in_order": orderly, "stats": figures, "seed": options.seed,
        "scenario": scenario, "rate": options.rate, "stores": options.stores, "aggregators": options.aggregators});
    if let Some(path) = &options.json {
        std::fs::write(path, format!("{result:#}\n"))
            .map_err(|error| format!("{}: {error}", path.display()))?;
    }
    if let Some(dir) = &options.report {
        std::fs::create_dir_all(dir).map_err(|error| error.to_string())?;
        std::fs::write(dir.join("results.md"), &table).map_err(|error| error.to_string())?;
        let ends = |place: usize| seconds.iter().map(|second| second.ends[place] as f64).collect();
        let rows = ["answered", "refused", "failed", "lost"].into_iter().enumerate();
        let rows: Vec<(&str, Vec<f64>)> = rows.map(|(place, name)| (name, ends(place))).collect();
        report::chart(&dir.join("results.svg"), "Ends of queries by second", "queries", &rows)?;
        let row = |of: fn(&Flow) -> f64| flow.iter().map(of).collect::<Vec<_>>();
        let rows = [
            ("worth asked for", row(|second| second.worth)),
            ("earned in time", row(|second| second.earned)),
            ("first attempts", row(|second| second.first as f64)),
            ("repeats", row(|second| second.repeats as f64)),
        ];
        report::chart(&dir.join("flow.svg"), "Worth and attempts by second", "worth, attempts", &rows)?;
    }
    Ok(well)
}

/// Worth and attempts of one second of a run: worth of new queries, worth earned in time, first and further attempts
/// that reached run stores.
#[derive(Debug, Clone, Copy, Default, Serialize)]
struct Flow {
    worth: f64,
    earned: f64,
    first: u64,
    #[serde(rename = "again")]
    repeats: u64,
}

fn flow(world: &World, begin: f64, seconds: u64) -> Vec<Flow> {
    let (worth, sent) = (world.counts.worth_by_second(), world.checker.attempts_by_second());
    let at = |no: u64| {
        let second = (begin / 1000.0) as u64 + no;
        let [worth, earned] = worth.get(&second).copied().unwrap_or_default();
        let [first, repeats] = sent.get(&second).copied().unwrap_or_default();
        Flow { worth, earned, first, repeats }
    };
    (0..seconds).map(at).collect()
}

/// Returns the seconds from the end of the last fault until full service, or `None` if it was not reached. Full service
/// begins after the last second, not counting the final one, that earned less than nine tenths of its worth in time.
fn recovery_seconds(flow: &[Flow], last_fault_end_s: f64) -> Option<f64> {
    let poor = |second: &Flow| second.earned < FULL_SERVICE_SHARE * second.worth;
    let last = flow.len().saturating_sub(1);
    let full = flow[..last].iter().rposition(poor).map_or(0, |at| at + 1);
    (full < last).then(|| (full as f64 - last_fault_end_s).max(0.0))
}

/// Share of worth earned in time that counts as full service.
const FULL_SERVICE_SHARE: f64 = 0.9;

/// Compares the traces of a run with the results of its clients, by class and query by query.
fn compare(dir: &std::path::Path, aggregators: usize, counts: &LiveCounts) -> Result<Value, String> {
    let dirs: Vec<PathBuf> = (0..aggregators).map(|no| dir.join(format!("n{no}"))).collect();
    let mut set = Set::open(&dirs).map_err(|error| error.to_string())?;
    let all = (f64::NEG_INFINITY, f64::INFINITY);
    let summary = summarise(&mut set, all, &Filter::default());
    let (mut names, mut ends) = (BTreeMap::new(), BTreeMap::new());
    set.blockwise(all, |item| {
        let Item::Entry(source, block, entry) = item else { return };
        match &entry.record {
            Record::Taken(taken) => {
                names.insert((source, taken.query), block.text(taken.name).to_string());
            }
            Record::Verdict(verdict) => {
                if let Some(name) = names.get(&(source, verdict.query)) {
                    ends.insert(name.clone(), verdict.how);
                }
            }
            _ => {}
        }
    });
    let (mut same, mut lost, mut different) = (0, 0, 0);
    for (query, end) in counts.ends_by_query() {
        match (end, ends.get(&query)) {
            // The client got no answer to compare.
            (End::Lost, _) => {}
            (_, None) => lost += 1,
            (End::Answered { whole: true }, Some(How::Whole))
            | (End::Answered { whole: false }, Some(How::Partial))
            | (End::Refused, Some(How::Refused))
            | (End::Failed, Some(How::Failed)) => same += 1,
            _ => different += 1,
        }
    }
    let (live, _) = counts.totals();
    let mut rows = BTreeMap::new();
    for (class, ends) in &live {
        let traced = summary.classes.get(*class).cloned().unwrap_or_default();
        let both =
            [[ends.answered, traced.answered], [ends.refused, traced.refused], [ends.failed, traced.failed]];
        rows.insert(*class, both);
    }
    let equal = rows.values().all(|both| both.iter().all(|[live, traced]| live == traced));
    Ok(
        json!({"equal": equal, "same": same, "lost": lost, "different": different, "answered_refused_failed": rows}),
    )
}
