//! The demo: a run of load and troubles, shown live, and its results against the trace.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

use clap::Args;
use ironpaddle_trace::record::{How, Record};
use ironpaddle_trace::set::{Met, Set};
use ironpaddle_trace::summary::{summarise, Only};
use serde_json::{json, Value};

use crate::aggregators::Aggregator;
use crate::check::Checker;
use crate::clients::{self, Board, End, CLASSES, GROUPS};
use crate::clock::Clock;
use crate::discovery::Discovery;
use crate::model::Kind;
use crate::report::{self, Second};
use crate::scenario::{self, Act, Line};
use crate::stores::{self, Store};
use crate::Api;

/// What happens where no scenario is named: a third of the run in, three run stores die together; later one is slow and
/// one drains.
fn usual(seconds: f64) -> String {
    let at = |part: f64| format!("{:.0}s", (seconds * part).max(1.0));
    let (spell, short) = (at(0.15), at(0.1));
    format!(
        "at {} kill 3 for {spell}\nat {} slow 1 by 5 for {short}\nat {} drain 1 for {spell}\n",
        at(0.3),
        at(0.6),
        at(0.7)
    )
}

/// How a demo runs.
#[derive(Debug, Args)]
pub struct Options {
    /// How long clients ask.
    #[arg(long, default_value_t = 20.0)]
    seconds: f64,
    /// The source of chance.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// What clients, aggregators and run stores speak.
    #[arg(long, value_enum, default_value = "platform")]
    api: Api,
    /// Aggregators.
    #[arg(long, default_value_t = 2)]
    aggregators: usize,
    /// Run stores.
    #[arg(long, default_value_t = 12)]
    stores: usize,
    /// Queries a second.
    #[arg(long, default_value_t = 40.0)]
    rate: f64,
    /// The usual work of a part, in milliseconds.
    #[arg(long, default_value_t = 20.0)]
    work: f64,
    /// A file of troubles; without it, three run stores die together, and later one is slow and one drains.
    #[arg(long)]
    scenario: Option<PathBuf>,
    /// Nothing goes wrong.
    #[arg(long)]
    calm: bool,
    /// Record traces into this folder, and compare their summary with what clients saw.
    #[arg(long)]
    trace: Option<PathBuf>,
    /// Write results and live counts by class into this file.
    #[arg(long)]
    json: Option<PathBuf>,
    /// Write a table (results.md) and a chart (results.svg) into this folder.
    #[arg(long)]
    report: Option<PathBuf>,
    /// Kill the first aggregator in the middle, and start it again.
    #[arg(long)]
    kill_aggregator: bool,
    /// Start this program in place of the lab's own, such as an earlier version.
    #[arg(long)]
    program: Option<PathBuf>,
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
        "rules": {"cold_from": 0.3, "fall_multiple": 2.0, "overload_for_ms": 1000.0, "warm_within_ms": 8000.0},
    })
}

/// All that a run has.
struct World {
    clock: Clock,
    stores: Vec<Arc<Store>>,
    discovery: Arc<Discovery>,
    checker: Arc<Checker>,
    board: Board,
    aggregators: Mutex<Vec<Aggregator>>,
    addresses: Vec<SocketAddr>,
    /// Run stores that are up.
    up: Mutex<Vec<bool>>,
    over: AtomicBool,
}

impl World {
    fn line(&self, store: usize, status: &str, since: f64) -> Value {
        let at = &self.stores[store];
        json!({"name": format!("s-{store}"), "address": at.address.to_string(), "zone": "lab", "type": "k",
            "group": store, "status": status, "weight": 1.0, "since_ms": since.floor()})
    }

    /// Begins a trouble, or ends it.
    fn act(&self, act: &Act, stores: &[usize], begins: bool) -> Result<(), String> {
        for &no in stores {
            let store = &self.stores[no];
            match (act, begins) {
                (Act::Kill(..), true) => store.kill(),
                (Act::Kill(..), false) => {
                    let since = store.revive();
                    self.discovery.tell(self.line(no, "ready", since));
                }
                (Act::Slow(_, by, _), true) => store.slow(*by),
                (Act::Slow(..), false) => store.slow(1.0),
                (Act::Mute(..), begins) => store.mute(begins),
                (Act::Drain(..), true) => {
                    self.checker.drains(no, Some(self.clock.now()));
                    self.discovery.tell(self.line(no, "draining", 0.0));
                }
                (Act::Drain(..), false) => {
                    self.checker.drains(no, None);
                    self.discovery.tell(self.line(no, "ready", 0.0));
                }
                (Act::KillAggregator, _) => {}
            }
            if let (Act::Kill(..), Ok(mut up)) = (act, self.up.lock()) {
                up[no] = !begins;
            }
        }
        if let (Act::KillAggregator, true, Ok(mut all)) = (act, begins, self.aggregators.lock()) {
            if let Some(first) = all.first_mut() {
                first.kill_and_start().map_err(|error| error.to_string())?;
            }
        }
        Ok(())
    }

    /// Carries out the troubles of a run that begins at some time.
    fn troubles(&self, begin: f64, lines: &[Line], seed: u64) -> Result<(), String> {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut all: Vec<(f64, usize, bool, Vec<usize>)> = Vec::new();
        for (no, line) in lines.iter().enumerate() {
            let (which, spell) = match &line.act {
                Act::Kill(which, spell) | Act::Drain(which, spell) | Act::Mute(which, spell) => {
                    (Some(which), *spell)
                }
                Act::Slow(which, _, spell) => (Some(which), *spell),
                Act::KillAggregator => (None, 0.0),
            };
            let chosen =
                which.map_or(Vec::new(), |which| scenario::pick(which, self.stores.len(), &mut random));
            all.push((line.at, no, true, chosen.clone()));
            all.push((line.at + spell, no, false, chosen));
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
                lines[no].act,
                names.join(" ")
            );
            self.act(&lines[no].act, &chosen, begins)?;
        }
        Ok(())
    }

    /// Asks queries at times drawn by the seed, each by a thread of its own.
    fn load<'a>(self: &Arc<Self>, scope: &'a thread::Scope<'a, '_>, begin: f64, options: &'a Options) {
        let mut random = fastrand::Rng::with_seed(options.seed);
        let (mut at, shards) = (begin, options.stores as u32 * 2);
        for no in 0.. {
            at += -(1.0 - random.f64()).ln() / options.rate * 1000.0;
            if at > begin + options.seconds * 1000.0 {
                return;
            }
            let query = clients::draw(&mut random, no, shards, options.api);
            let (to, again) = (random.usize(..self.addresses.len()), random.f64() < 0.7);
            self.clock.sleep_until(at);
            let world = self.clone();
            scope.spawn(move || {
                let end = world.ask(&query, to, options);
                // A client repeats at most once, at another aggregator, where that is said to be harmless.
                if again && end == End::Refused {
                    world.clock.sleep_until(world.clock.now() + 200.0);
                    let repeat = clients::Query { id: format!("{}r", query.id), retry: true, ..query };
                    world.ask(&repeat, (to + 1) % world.addresses.len(), options);
                }
            });
        }
    }

    fn ask(&self, query: &clients::Query, to: usize, options: &Options) -> End {
        let asked = self.clock.now();
        let (end, answer) = clients::ask(self.addresses[to], options.api, query, asked, &self.clock);
        if end != End::Lost {
            self.checker.answered(&answer, |part| stores::value(options.seed, part));
        }
        self.board.note(query, end, answer.at - asked);
        self.checker.asked(
            query.id.clone(),
            query.parts.iter().map(|(shard, _)| *shard),
            CLASSES[query.class].safe,
        );
        end
    }
}

/// Runs a demo; says whether all was well.
///
/// # Errors
/// If it cannot be run.
pub fn run(options: &Options) -> Result<bool, String> {
    let text = match &options.scenario {
        Some(path) => {
            std::fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?
        }
        None if options.calm => String::new(),
        None => usual(options.seconds),
    };
    let mut lines = scenario::read(&text)?;
    if options.kill_aggregator {
        lines.push(Line { at: options.seconds * 500.0, act: Act::KillAggregator });
    }
    let world = Arc::new(build(options).map_err(|error| error.to_string())?);
    println!(
        "{} aggregators, {} run stores, {} queries a second for {} s, seed {}",
        options.aggregators, options.stores, options.rate, options.seconds, options.seed
    );
    let begin = world.clock.now();
    let failed = Mutex::new(None);
    let mut seconds = Vec::new();
    thread::scope(|scope| {
        let (troubled, lines, fault) = (world.clone(), &lines, &failed);
        scope.spawn(move || {
            if let (Err(why), Ok(mut fault)) =
                (troubled.troubles(begin, lines, options.seed ^ 0x7e), fault.lock())
            {
                *fault = Some(why);
            }
        });
        let shown = world.clone();
        let showing = scope.spawn(move || show(&shown, begin));
        thread::scope(|clients| world.load(clients, begin, options));
        world.over.store(true, Ordering::Release);
        seconds = showing.join().unwrap_or_default();
    });
    if let Ok(Some(why)) = failed.lock().map(|fault| fault.clone()) {
        return Err(why);
    }
    finish(options, &world, &seconds, &text)
}

fn build(options: &Options) -> std::io::Result<World> {
    let clock = Clock::new();
    let checker = Arc::new(Checker::default());
    let (discovery, listing) = Discovery::start()?;
    let kind = Kind {
        slots: 2,
        queue: 16,
        work_ms: options.work,
        cold_from: 0.35,
        warm_ms: 7000.0,
        stall_every_ms: 7000.0,
        stall_ms: 200.0,
    };
    let start = |no| Store::start(no, kind, options.api, options.seed, clock, checker.clone());
    let stores = (0..options.stores).map(start).collect::<Result<Vec<_>, _>>()?;
    let up = Mutex::new(vec![true; options.stores]);
    let (aggregators, board, over) = (Mutex::default(), Board::default(), AtomicBool::new(false));
    let mut world =
        World { clock, stores, discovery, checker, board, aggregators, addresses: Vec::new(), up, over };
    (0..options.stores).for_each(|no| world.discovery.tell(world.line(no, "ready", 0.0)));
    let program = options.program.clone().map_or_else(std::env::current_exe, Ok)?;
    let dir = std::env::temp_dir().join(format!("ironpaddle-lab-{}", std::process::id()));
    let mut started = Vec::new();
    for no in 0..options.aggregators {
        let mut config = json!({"name": format!("n{no}"), "seed": format!("{:x}", options.seed + no as u64),
            "discovery": listing.to_string(), "limits": {"sockets": 4096}, "settings": settings(options),
            "api": match options.api { Api::Platform => "platform", Api::Opensearch => "opensearch" }});
        if let Some(trace) = &options.trace {
            config["trace"] = json!({"dir": trace.join(format!("n{no}"))});
        }
        started.push(Aggregator::start(&program, &dir.join(format!("n{no}")), config)?);
    }
    world.addresses = started.iter().map(|aggregator| aggregator.address).collect();
    world.aggregators = Mutex::new(started);
    Ok(world)
}

/// Prints a line a second until the run is over; gives back what happened in each.
fn show(world: &World, begin: f64) -> Vec<Second> {
    let mut seconds = Vec::new();
    let mut last = [0; 4];
    while !world.over.load(Ordering::Acquire) {
        world.clock.sleep_until(begin + (seconds.len() + 1) as f64 * 1000.0);
        let (classes, _) = world.board.counts();
        let sum = |of: fn(&clients::Ends) -> u64| classes.values().map(of).sum::<u64>();
        let all = [sum(|e| e.answered), sum(|e| e.refused), sum(|e| e.failed), sum(|e| e.lost)];
        let ends = [0, 1, 2, 3].map(|at| all[at] - last[at]);
        last = all;
        let up = world.up.lock().map_or(0, |up| up.iter().filter(|up| **up).count() as u64);
        seconds.push(Second { ends, up });
        let [answered, refused, failed, lost] = ends;
        let row = |(name, ends): (&&str, &clients::Ends)| format!("{name} {}/{}", ends.answered, ends.asked);
        let rows: Vec<String> = classes.iter().map(row).collect();
        println!(
            "{:>4} s  answered {answered:>4}  refused {refused:>3}  failed {failed:>3}  lost {lost:>3}  up {up:>2}   {}",
            seconds.len(),
            rows.join("  ")
        );
    }
    seconds
}

/// Ends all, compares with the traces, writes results; says whether all was well.
fn finish(options: &Options, world: &World, seconds: &[Second], scenario: &str) -> Result<bool, String> {
    let (classes, groups) = world.board.counts();
    let mut cpu_ms = 0.0;
    let mut orderly = true;
    let mut figures = Vec::new();
    for aggregator in world.aggregators.lock().map_err(|_| "a thread failed")?.iter_mut() {
        figures
            .push(aggregator.call("GET", "/stats").map_or_else(|error| error.to_string(), |(_, body)| body));
        orderly &= aggregator.end().map_err(|error| error.to_string())?;
        cpu_ms += aggregator.cpu_ms();
    }
    let asked: u64 = classes.values().map(|ends| ends.asked).sum();
    // Only now can nothing arrive any more.
    let broken = world.checker.broken();
    let mut well = orderly && broken.is_empty();
    let head =
        ["class", "asked", "answered", "whole", "in time", "refused", "failed", "lost", "p50 ms", "p99 ms"];
    let row = |(name, ends): (&&str, &clients::Ends)| {
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
    println!("CPU of the aggregators: {:.3} ms a query", cpu_ms / asked.max(1) as f64);
    for (rule, (count, first)) in &broken {
        println!("rule broken: {rule}, {count} times, first: {first}");
    }
    if broken.is_empty() {
        println!("no rule was broken");
    }
    let compared =
        options.trace.as_ref().map(|dir| compare(dir, options.aggregators, &world.board)).transpose()?;
    if let Some(compared) = &compared {
        let lost = compared["lost"].as_u64().unwrap_or(0);
        // What was answered in the last moments of a process that was killed may be missing, and nothing else.
        let killed = options.kill_aggregator || scenario.contains("aggregator kill");
        let equal = compared["different"] == 0 && (lost == 0 || killed) && compared["equal"] == (lost == 0);
        well &= equal;
        println!("the trace against what clients saw: {compared}");
    }
    let result = json!({"classes": classes, "groups": groups, "seconds": seconds, "cpu_ms_per_query": cpu_ms / asked.max(1) as f64,
        "broken": broken, "trace": compared, "ended_in_order": orderly, "stats": figures, "seed": options.seed,
        "scenario": scenario, "rate": options.rate, "stores": options.stores, "aggregators": options.aggregators});
    if let Some(path) = &options.json {
        std::fs::write(path, format!("{result:#}\n"))
            .map_err(|error| format!("{}: {error}", path.display()))?;
    }
    if let Some(dir) = &options.report {
        std::fs::create_dir_all(dir).map_err(|error| error.to_string())?;
        std::fs::write(dir.join("results.md"), &table).map_err(|error| error.to_string())?;
        report::chart(&dir.join("results.svg"), "Ends of queries by second", seconds)?;
    }
    Ok(well)
}

/// Compares the traces of a run with what its clients saw: by class, and query by query.
fn compare(dir: &std::path::Path, aggregators: usize, board: &Board) -> Result<Value, String> {
    let dirs: Vec<PathBuf> = (0..aggregators).map(|no| dir.join(format!("n{no}"))).collect();
    let mut set = Set::open(&dirs).map_err(|error| error.to_string())?;
    let all = (f64::NEG_INFINITY, f64::INFINITY);
    let summary = summarise(&mut set, all, &Only::default());
    let (mut names, mut ends) = (BTreeMap::new(), BTreeMap::new());
    set.blockwise(all, |met| {
        let Met::Entry(source, block, entry) = met else { return };
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
    for (query, end) in board.ends() {
        match (end, ends.get(&query)) {
            // There was no answer that could be told by a trace.
            (End::Lost, _) => {}
            (_, None) => lost += 1,
            (End::Answered { whole: true }, Some(How::Whole))
            | (End::Answered { whole: false }, Some(How::Partial))
            | (End::Refused, Some(How::Refused))
            | (End::Failed, Some(How::Failed)) => same += 1,
            _ => different += 1,
        }
    }
    let (live, _) = board.counts();
    let mut rows = BTreeMap::new();
    for (class, ends) in &live {
        let told = summary.classes.get(*class).cloned().unwrap_or_default();
        let both = [[ends.answered, told.answered], [ends.refused, told.refused], [ends.failed, told.failed]];
        rows.insert(*class, both);
    }
    let equal = rows.values().all(|both| both.iter().all(|[live, told]| live == told));
    Ok(
        json!({"equal": equal, "same": same, "lost": lost, "different": different, "answered_refused_failed": rows}),
    )
}
