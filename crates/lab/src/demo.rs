//! The demo: a run of load and troubles, shown live, and its results against the trace.

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
use crate::clients::{self, Board, End, CLASSES, GROUPS};
use crate::clock::Clock;
use crate::discovery::Discovery;
use crate::links::{Link, Weather};
use crate::model::Kind;
use crate::report::{self, Second};
use crate::scenario::{self, Act, Ends, Line};
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

/// The usual work of a part, in milliseconds.
pub const WORK_MS: f64 = 20.0;
/// How many times its capacity a run store that has just started bears.
pub const BEARS: f64 = 2.0;
/// What run stores are like.
pub const KIND: Kind = Kind {
    slots: 2,
    queue: 16,
    work_ms: WORK_MS,
    cold_from: 0.35,
    warm_ms: 7000.0,
    stall_every_ms: 7000.0,
    stall_ms: 200.0,
};

/// How a demo runs.
#[derive(Debug, Args)]
pub struct Options {
    /// How long clients ask.
    #[arg(long, default_value_t = 20.0)]
    pub seconds: f64,
    /// The source of chance.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// What clients, aggregators and run stores speak.
    #[arg(long, value_enum, default_value = "platform")]
    pub api: Api,
    /// Aggregators.
    #[arg(long, default_value_t = 2)]
    pub aggregators: usize,
    /// Run stores.
    #[arg(long, default_value_t = 12)]
    pub stores: usize,
    /// Queries a second.
    #[arg(long, default_value_t = 40.0)]
    pub rate: f64,
    /// The usual work of a part, in milliseconds.
    #[arg(long, default_value_t = WORK_MS)]
    pub work: f64,
    /// A file of troubles; without it, three run stores die together, and later one is slow and one drains.
    #[arg(long)]
    pub scenario: Option<PathBuf>,
    /// Nothing goes wrong.
    #[arg(long)]
    pub calm: bool,
    /// Record traces into this folder, and compare their summary with what clients saw.
    #[arg(long)]
    pub trace: Option<PathBuf>,
    /// Write results and live counts by class into this file.
    #[arg(long)]
    pub json: Option<PathBuf>,
    /// Write a table (results.md) and a chart (results.svg) into this folder.
    #[arg(long)]
    pub report: Option<PathBuf>,
    /// Kill the first aggregator in the middle, and start it again.
    #[arg(long)]
    pub kill_aggregator: bool,
    /// Start this program in place of the lab's own, such as an earlier version.
    #[arg(long)]
    pub program: Option<PathBuf>,
    /// Allow so much more time before a rule counts as broken, in milliseconds: for machines that are slow.
    #[arg(long, default_value_t = 0.0)]
    pub slack: f64,
    /// Lead all that aggregators speak with through links of the lab's own, which scenarios can cut.
    #[arg(long, hide = true)]
    pub links: bool,
    /// Descriptors of each aggregator.
    #[arg(long, hide = true, default_value_t = 4096)]
    pub sockets: usize,
    /// What fails for the aggregators, as the library of `crates/faults` reads it.
    #[arg(skip)]
    pub faults: Option<String>,
}

/// How a fleet is played.
#[derive(Debug, Args)]
pub struct Fleet {
    /// A file of troubles, a line each.
    #[arg(value_name = "SCENARIO")]
    played: PathBuf,
    #[command(flatten)]
    options: Options,
}

/// Plays a scenario between several aggregators, with links of the lab's own between all processes.
///
/// # Errors
/// If it cannot be run.
pub fn fleet(fleet: Fleet) -> Result<bool, String> {
    let Fleet { played, options } = fleet;
    run(&Options { scenario: Some(played), links: true, ..options })
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
        "rules": {"cold_from": 0.3, "fall_multiple": BEARS, "overload_for_ms": 1000.0, "warm_within_ms": 8000.0},
    })
}

/// All that a run has.
pub struct World {
    pub clock: Clock,
    pub stores: Vec<Arc<Store>>,
    /// What each aggregator is told, and where it is told that each run store listens; all the same without links.
    pub told: Vec<(Arc<Discovery>, Vec<SocketAddr>)>,
    /// By aggregator: its links to the run stores in order, and the last to discovery.
    pub links: Vec<Vec<Arc<Link>>>,
    /// How many times as often as usual clients ask.
    pub load: Mutex<f64>,
    pub checker: Arc<Checker>,
    pub board: Board,
    pub aggregators: Mutex<Vec<Aggregator>>,
    pub addresses: Vec<SocketAddr>,
    /// Run stores that are up.
    pub up: Mutex<Vec<bool>>,
    pub over: AtomicBool,
    /// Queries of clients beside the usual ones.
    pub guests: AtomicU64,
}

impl World {
    /// Tells all aggregators a line.
    pub fn tell(&self, store: usize, status: &str, since: f64) {
        for (discovery, addresses) in &self.told {
            discovery.tell(
                json!({"name": format!("s-{store}"), "address": addresses[store].to_string(), "zone": "lab",
                "type": "k", "group": store, "status": status, "weight": 1.0, "since_ms": since.floor()}),
            );
        }
    }

    /// The links of an aggregator that lead somewhere.
    fn links(&self, aggregator: usize, to: Ends) -> Vec<&Link> {
        let Some(links) = self.links.get(aggregator) else { return Vec::new() };
        let stores = self.stores.len();
        let range = match to {
            Ends::Stores => 0..stores,
            Ends::Store(store) => store % stores..store % stores + 1,
            Ends::Discovery => stores..stores + 1,
        };
        links[range].iter().map(|link| &**link).collect()
    }

    /// Acts on an aggregator.
    ///
    /// # Errors
    /// If that fails.
    pub fn aggregator<T: Default>(
        &self,
        no: usize,
        act: impl FnOnce(&mut Aggregator) -> std::io::Result<T>,
    ) -> Result<T, String> {
        let mut all = self.aggregators.lock().map_err(|_| "a thread failed")?;
        all.get_mut(no).map_or(Ok(T::default()), |one| act(one).map_err(|error| error.to_string()))
    }

    /// Begins a trouble between processes, or ends it, which began at some time.
    fn between(&self, act: &Act, begins: bool, began: f64) -> Result<(), String> {
        let now = self.clock.now();
        let until = if begins { f64::INFINITY } else { now };
        match act {
            Act::Load(by, _) => {
                if let Ok(mut load) = self.load.lock() {
                    *load = if begins { *by } else { 1.0 };
                }
            }
            Act::Cut(no, to, back, _) => {
                let cut = [begins && !back, begins];
                let weather = Weather { cut, ..Weather::default() };
                self.links(*no, *to).iter().for_each(|link| link.turn(weather));
                if *to == Ends::Discovery {
                    self.checker.untold(*no, if begins { None } else { Some(now) });
                }
            }
            Act::Delay(no, to, by, _) => {
                let delay_ms = if begins { *by } else { 0.0 };
                let weather = Weather { delay_ms, ..Weather::default() };
                self.links(*no, *to).iter().for_each(|link| link.turn(weather));
            }
            Act::Reset(no, to) if begins => self.links(*no, *to).iter().for_each(|link| link.reset()),
            Act::Crash(no, _) => {
                self.checker.away(*no, began, until);
                self.aggregator(*no, |one| if begins { one.kill() } else { one.start_again() })?;
                self.checker.away(*no, began, if begins { until } else { self.clock.now() });
            }
            Act::Stop(no, _) => {
                self.checker.away(*no, began, until);
                self.aggregator(*no, |one| one.stop(begins))?;
            }
            Act::Restart(no) if begins => {
                self.checker.away(*no, began, until);
                self.aggregator(*no, |one| {
                    if one.end()? {
                        one.start_again()
                    } else {
                        Err(std::io::Error::other("it did not end in good order"))
                    }
                })?;
                self.checker.away(*no, began, self.clock.now());
            }
            _ => {}
        }
        Ok(())
    }

    /// Begins a trouble, or ends it.
    ///
    /// # Errors
    /// If it cannot be carried out.
    pub fn act(&self, act: &Act, stores: &[usize], begins: bool, began: f64) -> Result<(), String> {
        self.between(act, begins, began)?;
        for &no in stores {
            let store = &self.stores[no];
            match (act, begins) {
                (Act::Kill(..), true) => store.kill(),
                (Act::Kill(..), false) => {
                    let since = store.revive();
                    self.tell(no, "ready", since);
                }
                (Act::Slow(_, by, _), true) => store.slow(*by),
                (Act::Slow(..), false) => store.slow(1.0),
                (Act::Mute(..), begins) => store.mute(begins),
                (Act::Drain(..), true) => {
                    self.checker.drains(no, Some(self.clock.now()));
                    self.tell(no, "draining", 0.0);
                }
                (Act::Drain(..), false) => {
                    self.checker.drains(no, None);
                    self.tell(no, "ready", 0.0);
                }
                _ => {}
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
            let (which, spell) = line.act.about();
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
            self.act(&lines[no].act, &chosen, begins, begin + lines[no].at)?;
        }
        Ok(())
    }

    /// Asks queries at times drawn by the seed, each by a thread of its own.
    pub fn load<'a>(self: &Arc<Self>, scope: &'a thread::Scope<'a, '_>, begin: f64, options: &'a Options) {
        let mut random = fastrand::Rng::with_seed(options.seed);
        let (mut at, shards) = (begin, options.stores as u32 * 2);
        for no in 0.. {
            let load = self.load.lock().map_or(1.0, |load| *load);
            at += -(1.0 - random.f64()).ln() / (options.rate * load) * 1000.0;
            if at > begin + options.seconds * 1000.0 {
                return;
            }
            let query = clients::draw(&mut random, no, shards, options.api);
            let (to, again) = (random.usize(..self.addresses.len()), random.f64() < 0.7);
            self.clock.sleep_until(at);
            let world = self.clone();
            scope.spawn(move || {
                let asked = world.clock.now();
                let mut end = world.ask(&query, to, options);
                // A client repeats at most once, at another aggregator: where that is said to be harmless, and where its
                // own is gone, if it asked for what may run twice.
                let gone = end == End::Lost && CLASSES[query.class].safe;
                if (again && end == End::Refused) || gone {
                    world.clock.sleep_until(world.clock.now() + if gone { 0.0 } else { 200.0 });
                    let repeat =
                        clients::Query { id: format!("{}r", query.id), retry: true, ..query.clone() };
                    end = world.ask(&repeat, (to + 1) % world.addresses.len(), options);
                }
                let in_time = world.clock.now() - asked <= CLASSES[query.class].aim;
                world.board.earned(&query, asked, in_time && matches!(end, End::Answered { .. }));
            });
        }
    }

    fn ask(&self, query: &clients::Query, to: usize, options: &Options) -> End {
        let asked = self.clock.now();
        let (end, answer) = clients::ask((to, self.addresses[to]), options.api, query, asked, &self.clock);
        if end == End::Lost && answer.unread {
            // Nothing is owed for it.
        } else if end == End::Lost {
            self.checker.lost(&answer);
        } else {
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
    finish(options, &world, begin, &seconds, (&text, &lines))
}

/// Starts all that a run has.
///
/// # Errors
/// If something does not come up.
pub fn build(options: &Options) -> std::io::Result<World> {
    let clock = Clock::new();
    let checker = Arc::new(Checker::default());
    checker.slack(options.slack);
    let kind = Kind { work_ms: options.work, ..KIND };
    let start = |no| Store::start(no, kind, options.api, options.seed, clock, checker.clone());
    let stores = (0..options.stores).map(start).collect::<Result<Vec<_>, _>>()?;
    let up = Mutex::new(vec![true; options.stores]);
    let (aggregators, board, over) = (Mutex::default(), Board::default(), AtomicBool::new(false));
    let direct: Vec<SocketAddr> = stores.iter().map(|store| store.address).collect();
    let (mut told, mut links, mut listings) = (Vec::new(), Vec::new(), Vec::new());
    for no in 0..if options.links { options.aggregators } else { 1 } {
        let (discovery, listing) = Discovery::start()?;
        let (mut addresses, mut listing, mut own) = (direct.clone(), listing, Vec::new());
        if options.links {
            for address in addresses.iter_mut().chain([&mut listing]) {
                let checker = checker.clone();
                let link = Link::start(*address, move |from| checker.route(from, no))?;
                own.push(link.0);
                *address = link.1;
            }
        }
        told.push((discovery, addresses));
        links.push(own);
        listings.push(listing);
    }
    let (load, addresses) = (Mutex::new(1.0), Vec::new());
    let mut world = World {
        clock,
        stores,
        told,
        links,
        load,
        checker,
        board,
        aggregators,
        addresses,
        up,
        over,
        guests: AtomicU64::new(0),
    };
    (0..options.stores).for_each(|no| world.tell(no, "ready", 0.0));
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
        started.push(Aggregator::start_failing(&program, &dir.join(format!("n{no}")), config, faults)?);
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
fn finish(
    options: &Options,
    world: &World,
    begin: f64,
    seconds: &[Second],
    (scenario, lines): (&str, &[Line]),
) -> Result<bool, String> {
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
    let flow = flow(world, begin, options.seconds as u64);
    let over = lines.iter().map(|line| line.at + line.act.about().1).fold(0.0, f64::max) / 1000.0;
    let recovered = recovered(&flow, over);
    let (asked_for, earned) = flow.iter().fold((0.0, 0.0), |sum, at| (sum.0 + at.worth, sum.1 + at.earned));
    let in_time = earned / f64::max(asked_for, 1.0);
    println!("worth in time: {in_time:.3} of what was asked for");
    match recovered {
        Some(after) => println!("full service {after:.0} s after the end of the last trouble"),
        None => println!("no full service again by the end of the run"),
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
            ("repeats", row(|second| second.again as f64)),
        ];
        report::chart(&dir.join("flow.svg"), "Worth and attempts by second", "worth, attempts", &rows)?;
    }
    Ok(well)
}

/// What passed in a second of a run: worth asked for first and earned in time, attempts that reached run stores.
#[derive(Debug, Clone, Copy, Default, Serialize)]
struct Flow {
    worth: f64,
    earned: f64,
    first: u64,
    again: u64,
}

fn flow(world: &World, begin: f64, seconds: u64) -> Vec<Flow> {
    let (worth, sent) = (world.board.worth(), world.checker.sent());
    let at = |no: u64| {
        let second = (begin / 1000.0) as u64 + no;
        let [worth, earned] = worth.get(&second).copied().unwrap_or_default();
        let [first, again] = sent.get(&second).copied().unwrap_or_default();
        Flow { worth, earned, first, again }
    };
    (0..seconds).map(at).collect()
}

/// How long after the last trouble was over full service came back, in seconds: from then on every second but the run's
/// last earned nine tenths of its worth in time.
fn recovered(flow: &[Flow], over: f64) -> Option<f64> {
    let poor = |second: &Flow| second.earned < FULL * second.worth;
    let last = flow.len().saturating_sub(1);
    let full = flow[..last].iter().rposition(poor).map_or(0, |at| at + 1);
    (full < last).then(|| (full as f64 - over).max(0.0))
}

/// The share of worth that counts as full service.
const FULL: f64 = 0.9;

/// Compares the traces of a run with what its clients saw: by class, and query by query.
fn compare(dir: &std::path::Path, aggregators: usize, board: &Board) -> Result<Value, String> {
    let dirs: Vec<PathBuf> = (0..aggregators).map(|no| dir.join(format!("n{no}"))).collect();
    let mut set = Set::open(&dirs).map_err(|error| error.to_string())?;
    let all = (f64::NEG_INFINITY, f64::INFINITY);
    let summary = summarise(&mut set, all, &Filter::default());
    let (mut names, mut ends) = (BTreeMap::new(), BTreeMap::new());
    set.blockwise(all, |met| {
        let Item::Entry(source, block, entry) = met else { return };
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
