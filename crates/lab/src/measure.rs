//! Series for `docs/measurements/slopes.toml`: what one real aggregator costs, by what it is asked for.

use std::collections::BTreeMap;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use clap::{Args, ValueEnum};
use serde_json::{json, Value};

use crate::aggregators::Aggregator;
use crate::check::Checker;
use crate::clock::Clock;
use crate::discovery::Discovery;
use crate::model::Profile;
use crate::stores::{read_message, RunStore};
use crate::Api;

/// What is measured.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum What {
    /// Processor time by parts a second.
    Parts,
    /// Processor time of a query by its parts.
    Query,
    /// Memory and processor time without load, by run stores in the list.
    Stores,
    /// Memory by parts in flight.
    Flights,
    /// Descriptors and memory by connections to run stores.
    Connections,
}

/// How it is measured.
#[derive(Debug, Args)]
pub struct Options {
    /// What is measured.
    #[arg(value_enum)]
    what: What,
    /// The values of x that are measured.
    #[arg(long, value_delimiter = ',', required = true, value_parser = clap::value_parser!(u32).range(1..=1_000_000))]
    at: Vec<u32>,
    /// Seconds of each.
    #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u64).range(1..=60))]
    seconds: u64,
    /// The commit that is measured, as the series names it.
    #[arg(long)]
    build: String,
}

/// Run stores that are up where their number is not what is measured.
const STORES: usize = 60;
/// Parts of a query, and parts a second, where these are not what is measured.
const PARTS: u32 = 8;
const RATE: f64 = 2000.0;
/// Parts of a query that stays out.
const HELD_PARTS: u32 = 140;
/// The usual work of a part, and of one that stays out, in milliseconds.
const WORK: f64 = 20.0;
const HELD: f64 = 60_000.0;
/// The wanted time, in usual works of a part.
const AIM: f64 = 50.0;
/// How long each load runs before it is measured.
const BEFORE: Duration = Duration::from_secs(2);
/// The share of queries that has to be answered for a figure to count.
const ANSWERED: f64 = 0.99;

/// Measures, and prints the series.
///
/// # Errors
/// If it cannot be measured, or not all that was asked for was served.
pub fn run(options: &Options) -> Result<(), String> {
    let failed = |error: io::Error| error.to_string();
    let (mut first, mut second) = (Vec::new(), Vec::new());
    let mut bed = None;
    for &x in &options.at {
        // Where the list is what is measured, each point has a process of its own; else what is learned and open stays.
        let (up, listed, work) = match options.what {
            What::Parts | What::Query => (STORES, STORES, WORK),
            What::Flights => (STORES, STORES, HELD),
            What::Stores => (0, x as usize, WORK),
            What::Connections => (x as usize, x as usize, WORK),
        };
        let fresh = bed.is_none() || !matches!(options.what, What::Parts | What::Query);
        let bed = match &mut bed {
            Some(bed) if !fresh => bed,
            place => {
                *place = None;
                place.insert(Bed::new(up, listed, work).map_err(failed)?)
            }
        };
        let seconds = Duration::from_secs(options.seconds);
        match options.what {
            What::Parts => {
                let (parts, cpu, _) = bed.cost(f64::from(x) / f64::from(PARTS), PARTS, seconds)?;
                first.push([parts, cpu]);
            }
            What::Query => {
                let (parts, cpu, queries) = bed.cost(RATE / f64::from(x), x, seconds)?;
                first.push([parts / queries, cpu / queries]);
            }
            What::Stores => {
                thread::sleep(BEFORE);
                let (begun, before) = (Instant::now(), bed.cpu()?);
                thread::sleep(seconds);
                first.push([f64::from(x), bed.memory()?]);
                second.push([f64::from(x), (bed.cpu()? - before) / begun.elapsed().as_secs_f64()]);
            }
            What::Flights => {
                bed.hold(x.div_ceil(HELD_PARTS))?;
                first.push([bed.out()?, bed.memory()?]);
            }
            What::Connections => {
                // What is counted are connections: how their queries end does not matter.
                bed.load(20.0, x.min(HELD_PARTS), seconds)?;
                // The ends of clients' connections are seen meanwhile.
                thread::sleep(BEFORE);
                let (connections, descriptors) = bed.descriptors()?;
                first.push([connections, descriptors]);
                second.push([connections, bed.memory()?]);
            }
        }
    }
    let at = options.at.iter().map(u32::to_string).collect::<Vec<_>>().join(",");
    let what = options.what.to_possible_value().map(|name| name.get_name().to_string()).unwrap_or_default();
    let command = format!(
        "cargo run --release -p ironpaddle-lab -- measure {what} --at {at} --seconds {} --build COMMIT",
        options.seconds
    );
    let held = format!("one aggregator, {STORES} run stores on loopback, {WORK} ms a part");
    let kinds: &[(&str, &str, &str, String)] = &match options.what {
        What::Parts => {
            vec![("part-cpu", "parts a second", "us a second", format!("{held}, {PARTS} parts a query"))]
        }
        What::Query => {
            vec![("query-cpu", "parts of a query", "us", format!("{held}, {RATE} parts a second"))]
        }
        What::Stores => vec![
            (
                "memory-by-stores",
                "run stores in the list",
                "MB",
                "resident, no queries, the list as known at the start".into(),
            ),
            ("idle-cpu-by-stores", "run stores in the list", "us a second", "no queries".into()),
        ],
        What::Flights => vec![(
            "memory-by-flights",
            "parts in flight",
            "MB",
            format!("resident, {STORES} run stores that don't answer, {HELD_PARTS} parts a query"),
        )],
        What::Connections => vec![
            (
                "descriptors-by-connections",
                "connections to run stores",
                "descriptors",
                "20 queries a second".into(),
            ),
            (
                "memory-by-connections",
                "connections to run stores",
                "MB",
                "resident, a run store for each, 20 queries a second".into(),
            ),
        ],
    };
    for ((name, x, unit, fixed), points) in kinds.iter().zip([first, second]) {
        println!(
            "[[series]]\nname = \"{name}\"\nx = \"{x}\"\nunit = \"{unit}\"\ncommand = \"{command}\"\nfixed = \"{fixed}\"\n\
             build = \"{}\"\npoints = {points:.2?}\n",
            options.build
        );
    }
    Ok(())
}

/// Parts sent, processor time in microseconds and queries, a second each.
type Cost = (f64, f64, f64);

/// An aggregator with what it meets.
struct Bed {
    aggregator: Arc<Aggregator>,
    stores: Vec<Arc<RunStore>>,
    listed: usize,
    /// Connections whose queries stay out.
    held: Vec<TcpStream>,
    /// Queries asked, for their names.
    asked: Arc<AtomicU64>,
    _discovery: Arc<Discovery>,
}

impl Bed {
    fn new(up: usize, listed: usize, work_ms: f64) -> io::Result<Self> {
        let (clock, checker) = (Clock::new(), Arc::new(Checker::default()));
        let kind = Profile {
            slots: 100_000,
            queue: 100_000,
            work_ms,
            cold_from: 1.0,
            warm_ms: 1.0,
            stall_every_ms: 0.0,
            stall_ms: 0.0,
        };
        let start = |no| RunStore::start(no, kind, Api::Platform, 1, clock, checker.clone());
        let stores = (0..up).map(start).collect::<Result<Vec<_>, _>>()?;
        let (discovery, address) = Discovery::start()?;
        let line = |no: usize| {
            let address = stores.get(no).map_or("127.0.0.1:9".into(), |store| store.address.to_string());
            json!({"name": format!("s-{no:08x}"), "address": address, "zone": "lab", "type": "k", "group": no,
                "status": "ready", "weight": 1.0, "since_ms": 0})
        };
        let lines: Vec<Value> = (0..listed).map(line).collect();
        let config = json!({"name": "measured", "seed": "1", "discovery": address.to_string(),
            "limits": {"sockets": 16_384}, "settings": settings(listed, work_ms * AIM),
            "known": {"index": 0, "snapshot": true, "endpoints": lines}});
        let dir = std::env::temp_dir().join(format!("ironpaddle-measure-{}", std::process::id()));
        let aggregator = Arc::new(Aggregator::start(&std::env::current_exe()?, &dir, config)?);
        let (held, asked) = (Vec::new(), Arc::default());
        Ok(Bed { aggregator, stores, listed, held, asked, _discovery: discovery })
    }

    /// What so many queries a second of so many parts cost. What was not served has cost less than an answer: then there is no figure.
    fn cost(&self, rate: f64, parts: u32, seconds: Duration) -> Result<Cost, String> {
        let (cost, good, bad) = self.load(rate, parts, seconds)?;
        if good < ANSWERED * (good + bad) {
            return Err(format!("of {} queries at {rate} a second, {bad} were not served", good + bad));
        }
        Ok(cost)
    }

    /// The same, with the queries that were served and those that were not.
    fn load(&self, rate: f64, parts: u32, seconds: Duration) -> Result<(Cost, f64, f64), String> {
        let clients = (rate * 0.5).clamp(4.0, 400.0) as usize;
        let (over, answered, others) = (AtomicBool::new(false), AtomicU64::new(0), AtomicU64::new(0));
        let shards = self.listed as u32 * 2;
        thread::scope(|scope| {
            for no in 0..clients {
                let (over, answered, others) = (&over, &answered, &others);
                scope.spawn(move || {
                    let mut client = Client::new(self.aggregator.address);
                    let gap = Duration::from_secs_f64(clients as f64 / rate);
                    let mut next = Instant::now() + gap.mul_f64(no as f64 / clients as f64);
                    while !over.load(Ordering::Acquire) {
                        thread::sleep(next.saturating_duration_since(Instant::now()));
                        next += gap;
                        let query = self.asked.fetch_add(1, Ordering::Relaxed);
                        let asked = client.ask(&request(query, parts, shards));
                        if matches!(asked, Ok(200)) { answered } else { others }
                            .fetch_add(1, Ordering::Relaxed);
                    }
                });
            }
            thread::sleep(BEFORE);
            let figures = || -> Result<(f64, f64, f64), String> {
                Ok((
                    self.tries()?,
                    self.aggregator.cpu_ms() * 1000.0,
                    answered.load(Ordering::Relaxed) as f64,
                ))
            };
            let (begun, before) = (Instant::now(), figures());
            let others_before = others.load(Ordering::Relaxed);
            thread::sleep(seconds);
            let (after, took) = (figures(), begun.elapsed().as_secs_f64());
            over.store(true, Ordering::Release);
            let ((tries, cpu, queries), (tries_then, cpu_then, queries_then)) = (after?, before?);
            // What came while the connections were still coming up is not measured, and not judged.
            let (good, bad) =
                (queries - queries_then, (others.load(Ordering::Relaxed) - others_before) as f64);
            let cost =
                ((tries - tries_then) / took, (cpu - cpu_then) / took, (queries - queries_then) / took);
            Ok((cost, good, bad))
        })
    }

    /// Asks so many queries, whose parts stay out.
    fn hold(&mut self, queries: u32) -> Result<(), String> {
        for no in 0..queries {
            let asked = TcpStream::connect(self.aggregator.address).and_then(|mut stream| {
                stream.write_all(request(u64::from(no), HELD_PARTS, self.listed as u32 * 4).as_bytes())?;
                Ok(stream)
            });
            self.held.push(asked.map_err(|error| error.to_string())?);
        }
        thread::sleep(BEFORE * 2);
        Ok(())
    }

    /// Attempts written so far.
    fn tries(&self) -> Result<f64, String> {
        let (_, stats) = self.aggregator.call("GET", "/stats").map_err(|error| error.to_string())?;
        let tries = stats.lines().find_map(|line| line.strip_prefix("aggregator.tries:")?.strip_suffix("|c"));
        tries.and_then(|tries| tries.parse().ok()).ok_or_else(|| "/stats tells no tries".into())
    }

    /// Parts out, of queries that stay out.
    fn out(&self) -> Result<f64, String> {
        self.tries()
    }

    fn process(&self) -> Result<String, String> {
        self.aggregator.id().map(|id| format!("/proc/{id}")).ok_or_else(|| "it does not run".into())
    }

    /// Processor time of all its threads so far, in microseconds.
    fn cpu(&self) -> Result<f64, String> {
        let failed = |error: io::Error| error.to_string();
        let mut nanos = 0.0;
        for thread in std::fs::read_dir(self.process()? + "/task").map_err(failed)? {
            let path = thread.map_err(failed)?.path().join("schedstat");
            let text = std::fs::read_to_string(path).map_err(failed)?;
            nanos += text.split(' ').next().and_then(|first| first.parse::<f64>().ok()).unwrap_or(0.0);
        }
        Ok(nanos / 1000.0)
    }

    /// Resident memory in MB.
    fn memory(&self) -> Result<f64, String> {
        let status =
            std::fs::read_to_string(self.process()? + "/status").map_err(|error| error.to_string())?;
        let pages = status.lines().find_map(|line| line.strip_prefix("VmRSS:")?.trim().strip_suffix(" kB"));
        let kib: Option<f64> = pages.and_then(|pages| pages.trim().parse().ok());
        kib.map(|kib| kib * 1024.0 / 1e6).ok_or_else(|| "the kernel tells no memory".into())
    }

    /// Connections to run stores, and descriptors.
    fn descriptors(&self) -> Result<(f64, f64), String> {
        let failed = |error: io::Error| error.to_string();
        let process = self.process()?;
        let open = std::fs::read_dir(format!("{process}/fd")).map_err(failed)?.count();
        let connections: usize = self.stores.iter().map(|store| store.connections()).sum();
        Ok((connections as f64, open as f64))
    }
}

fn settings(stores: usize, aim: f64) -> Value {
    json!({
        "balancers": 1, "discovery": "subscribe", "tick_ms": 5.0, "zone": "lab",
        "caps": {"connect_timeout_ms": 1000.0, "keepalive_ms": 60000.0, "max_attempts": 3, "max_open": 100_000,
            "max_retry_after_ms": 2000.0, "may_cancel": true, "probes": true, "streams_per_conn": 100_000},
        "domain": {"cells": stores, "width": 3.min(stores), "shards": stores * 4, "bundle_max": 1,
            "least_share": [1.0], "complete_from": [1.0], "partial_earns": [0.9]},
        "request_classes": [{"name": "measured", "aim_ms": aim, "deadline_ms": 2.0 * aim, "late_worth": 0.1,
            "repeat": "read_like", "value": 1.0}],
        "realms": [], "over_share_worth": 1.0, "rules": {},
    })
}

/// A query of so many parts, at shards that its number draws.
fn request(query: u64, parts: u32, shards: u32) -> String {
    let mut random = fastrand::Rng::with_seed(query);
    let mut drawn = BTreeMap::new();
    while drawn.len() < parts.min(shards) as usize {
        drawn.insert(random.u32(..shards), ());
    }
    let mass = 1.0 / drawn.len() as f64;
    let slices: Vec<Value> = drawn.keys().map(|shard| json!({"slice": shard, "mass": mass})).collect();
    let body = json!({"slices": slices, "filter": "c41e77d0"}).to_string();
    format!(
        "POST /measured HTTP/1.1\r\nHost: lab\r\nX-Request-ID: {query:016x}\r\nX-Priority-Class: measured\r\n\
         X-Timeout: {HELD}m\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// A client that keeps its connection.
struct Client {
    to: SocketAddr,
    kept: Option<BufReader<TcpStream>>,
}

impl Client {
    fn new(to: SocketAddr) -> Self {
        Client { to, kept: None }
    }

    fn ask(&mut self, request: &str) -> io::Result<u16> {
        // One that was kept may have been closed meanwhile.
        if let Some(status) = self.kept.take().and_then(|kept| self.call(kept, request).ok()) {
            return Ok(status);
        }
        let stream = TcpStream::connect(self.to)?;
        stream.set_nodelay(true)?;
        self.call(BufReader::new(stream), request)
    }

    fn call(&mut self, mut on: BufReader<TcpStream>, request: &str) -> io::Result<u16> {
        on.get_mut().write_all(request.as_bytes())?;
        let (first, _, _) = read_message(&mut on)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        self.kept = Some(on);
        first
            .split(' ')
            .nth(1)
            .and_then(|status| status.parse().ok())
            .ok_or(io::ErrorKind::InvalidData.into())
    }
}
