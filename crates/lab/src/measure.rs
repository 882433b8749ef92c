//! Measures the resource usage of one real aggregator at given sizes and loads, as series for
//! `docs/measurements/slopes.toml`.

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

/// The series to measure.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Quantity {
    /// CPU time by parts a second.
    Parts,
    /// CPU time of a query by its number of parts.
    Query,
    /// Memory and CPU time without load, by run stores in the list.
    Stores,
    /// Memory by parts in flight.
    Flights,
    /// Descriptors and memory by connections to run stores.
    Connections,
}

/// The options of the `measure` command.
#[derive(Debug, Args)]
pub struct Options {
    /// The series to measure.
    #[arg(value_enum)]
    what: Quantity,
    /// The values of x to measure.
    #[arg(long, value_delimiter = ',', required = true, value_parser = clap::value_parser!(u32).range(1..=1_000_000))]
    at: Vec<u32>,
    /// The duration of the measurement at each value, in seconds.
    #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u64).range(1..=60))]
    seconds: u64,
    /// The commit that is measured, recorded in the series.
    #[arg(long)]
    build: String,
}

/// The number of run stores in the series that do not vary it.
const RUN_STORES: usize = 60;
/// The number of parts of a query in the `Parts` series.
const PARTS_PER_QUERY: u32 = 8;
/// The number of parts a second in the `Query` series.
const PARTS_PER_SECOND: f64 = 2000.0;
/// The number of parts of a query that is held open, and the maximum in the `Connections` series.
const HELD_PARTS_PER_QUERY: u32 = 140;
/// The work time of a part at a run store, in milliseconds.
const WORK_MS: f64 = 20.0;
/// The work time of a part of a query that is held open, and the timeout of every query, in milliseconds.
const HELD_WORK_MS: f64 = 60_000.0;
/// The aim as a multiple of the work time of a part.
const AIM_MULTIPLE: f64 = 50.0;
/// The warm-up time of each load before it is measured.
const WARM_UP: Duration = Duration::from_secs(2);
/// The minimum share of queries that must be answered for a figure to be valid.
const MIN_ANSWERED_SHARE: f64 = 0.99;

/// Measures the series and prints them as TOML.
///
/// # Errors
/// If a measurement fails, or too many of its queries were not answered.
pub fn run(options: &Options) -> Result<(), String> {
    let failed = |error: io::Error| error.to_string();
    let (mut first, mut second) = (Vec::new(), Vec::new());
    let mut bed = None;
    for &x in &options.at {
        // `Parts` and `Query` use one process for all points, so that its learned state and open connections are kept.
        // The other series, which measure memory, start a new process for each point.
        let (existing, listed, work) = match options.what {
            Quantity::Parts | Quantity::Query => (RUN_STORES, RUN_STORES, WORK_MS),
            Quantity::Flights => (RUN_STORES, RUN_STORES, HELD_WORK_MS),
            Quantity::Stores => (0, x as usize, WORK_MS),
            Quantity::Connections => (x as usize, x as usize, WORK_MS),
        };
        let new_process = bed.is_none() || !matches!(options.what, Quantity::Parts | Quantity::Query);
        let bed = match &mut bed {
            Some(bed) if !new_process => bed,
            place => {
                *place = None;
                place.insert(TestBed::new(existing, listed, work).map_err(failed)?)
            }
        };
        let seconds = Duration::from_secs(options.seconds);
        match options.what {
            Quantity::Parts => {
                let (attempts, cpu, _) =
                    bed.cost(f64::from(x) / f64::from(PARTS_PER_QUERY), PARTS_PER_QUERY, seconds)?;
                first.push([attempts, cpu]);
            }
            Quantity::Query => {
                let (attempts, cpu, queries) = bed.cost(PARTS_PER_SECOND / f64::from(x), x, seconds)?;
                first.push([attempts / queries, cpu / queries]);
            }
            Quantity::Stores => {
                thread::sleep(WARM_UP);
                let (began, before) = (Instant::now(), bed.cpu()?);
                thread::sleep(seconds);
                first.push([f64::from(x), bed.memory()?]);
                second.push([f64::from(x), (bed.cpu()? - before) / began.elapsed().as_secs_f64()]);
            }
            Quantity::Flights => {
                bed.hold_queries(x.div_ceil(HELD_PARTS_PER_QUERY))?;
                first.push([bed.parts_in_flight()?, bed.memory()?]);
            }
            Quantity::Connections => {
                // The queries only open connections, so their outcome does not matter.
                bed.load(20.0, x.min(HELD_PARTS_PER_QUERY), seconds)?;
                // Gives the aggregator time to notice that the clients have closed their connections.
                thread::sleep(WARM_UP);
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
    let conditions = format!("one aggregator, {RUN_STORES} run stores on loopback, {WORK_MS} ms a part");
    let series: &[(&str, &str, &str, String)] = &match options.what {
        Quantity::Parts => {
            vec![(
                "part-cpu",
                "parts a second",
                "us a second",
                format!("{conditions}, {PARTS_PER_QUERY} parts a query"),
            )]
        }
        Quantity::Query => {
            vec![(
                "query-cpu",
                "parts of a query",
                "us",
                format!("{conditions}, {PARTS_PER_SECOND} parts a second"),
            )]
        }
        Quantity::Stores => vec![
            (
                "memory-by-stores",
                "run stores in the list",
                "MB",
                "resident, no queries, the list as known at the start".into(),
            ),
            ("idle-cpu-by-stores", "run stores in the list", "us a second", "no queries".into()),
        ],
        Quantity::Flights => vec![(
            "memory-by-flights",
            "parts in flight",
            "MB",
            format!(
                "resident, {RUN_STORES} run stores that don't answer, {HELD_PARTS_PER_QUERY} parts a query"
            ),
        )],
        Quantity::Connections => vec![
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
    for ((name, x, unit, fixed), points) in series.iter().zip([first, second]) {
        println!(
            "[[series]]\nname = \"{name}\"\nx = \"{x}\"\nunit = \"{unit}\"\ncommand = \"{command}\"\nfixed = \"{fixed}\"\n\
             build = \"{}\"\npoints = {points:.2?}\n",
            options.build
        );
    }
    Ok(())
}

/// Attempts sent, CPU time in microseconds, and queries answered, in this order and each per second. The series take
/// the attempts as the number of parts, so a retried part counts more than once.
type Cost = (f64, f64, f64);

/// A test bed: an aggregator with its run stores and discovery.
struct TestBed {
    aggregator: Arc<Aggregator>,
    stores: Vec<Arc<RunStore>>,
    listed: usize,
    /// Client connections whose queries are held open.
    held: Vec<TcpStream>,
    /// The number of the next query of `load`; it is the request id and the seed of the shards.
    asked: Arc<AtomicU64>,
    _discovery: Arc<Discovery>,
}

impl TestBed {
    /// Starts `existing` run stores, discovery, and an aggregator whose list has `listed` run stores. Those beyond
    /// `existing` have an address where nothing listens.
    fn new(existing: usize, listed: usize, work_ms: f64) -> io::Result<Self> {
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
        let stores = (0..existing).map(start).collect::<Result<Vec<_>, _>>()?;
        let (discovery, address) = Discovery::start()?;
        let line = |no: usize| {
            let address = stores.get(no).map_or("127.0.0.1:9".into(), |store| store.address.to_string());
            json!({"name": format!("s-{no:08x}"), "address": address, "zone": "lab", "type": "k", "group": no,
                "status": "ready", "weight": 1.0, "since_ms": 0})
        };
        let lines: Vec<Value> = (0..listed).map(line).collect();
        let config = json!({"name": "measured", "seed": "1", "discovery": address.to_string(),
            "limits": {"sockets": 16_384}, "settings": settings(listed, work_ms * AIM_MULTIPLE),
            "known": {"index": 0, "snapshot": true, "endpoints": lines}});
        let dir = std::env::temp_dir().join(format!("ironpaddle-measure-{}", std::process::id()));
        let aggregator = Arc::new(Aggregator::start(&std::env::current_exe()?, &dir, config)?);
        let (held, asked) = (Vec::new(), Arc::default());
        Ok(TestBed { aggregator, stores, listed, held, asked, _discovery: discovery })
    }

    /// Measures the cost at a rate of queries. Queries that are not answered cost less than answered ones, so the
    /// figure would be too low: too many of them are an error.
    fn cost(&self, rate: f64, parts: u32, seconds: Duration) -> Result<Cost, String> {
        let (cost, answered_queries, other_queries) = self.load(rate, parts, seconds)?;
        if answered_queries < MIN_ANSWERED_SHARE * (answered_queries + other_queries) {
            return Err(format!(
                "of {} queries at {rate} a second, {other_queries} were not answered",
                answered_queries + other_queries
            ));
        }
        Ok(cost)
    }

    /// Runs a load and returns its cost, the number of answered queries and the number of others.
    fn load(&self, rate: f64, parts: u32, seconds: Duration) -> Result<(Cost, f64, f64), String> {
        let clients = (rate * 0.5).clamp(4.0, 400.0) as usize;
        let (stopped, answered, others) = (AtomicBool::new(false), AtomicU64::new(0), AtomicU64::new(0));
        let shards = self.listed as u32 * 2;
        thread::scope(|scope| {
            for no in 0..clients {
                let (stopped, answered, others) = (&stopped, &answered, &others);
                scope.spawn(move || {
                    let mut client = Client::new(self.aggregator.address);
                    let gap = Duration::from_secs_f64(clients as f64 / rate);
                    let mut next = Instant::now() + gap.mul_f64(no as f64 / clients as f64);
                    while !stopped.load(Ordering::Acquire) {
                        thread::sleep(next.saturating_duration_since(Instant::now()));
                        next += gap;
                        let query = self.asked.fetch_add(1, Ordering::Relaxed);
                        let asked = client.ask(&request(query, parts, shards));
                        if matches!(asked, Ok(200)) { answered } else { others }
                            .fetch_add(1, Ordering::Relaxed);
                    }
                });
            }
            thread::sleep(WARM_UP);
            let figures = || -> Result<(f64, f64, f64), String> {
                Ok((
                    self.attempts()?,
                    self.aggregator.cpu_ms() * 1000.0,
                    answered.load(Ordering::Relaxed) as f64,
                ))
            };
            let (began, before) = (Instant::now(), figures());
            let others_before = others.load(Ordering::Relaxed);
            thread::sleep(seconds);
            let (after, took) = (figures(), began.elapsed().as_secs_f64());
            stopped.store(true, Ordering::Release);
            let ((attempts, cpu, queries), (attempts_before, cpu_before, queries_before)) = (after?, before?);
            // Queries during the warm-up, while connections are still being opened, do not count.
            let (answered_queries, other_queries) =
                (queries - queries_before, (others.load(Ordering::Relaxed) - others_before) as f64);
            let cost = (
                (attempts - attempts_before) / took,
                (cpu - cpu_before) / took,
                (queries - queries_before) / took,
            );
            Ok((cost, answered_queries, other_queries))
        })
    }

    /// Sends queries whose parts are held open.
    fn hold_queries(&mut self, queries: u32) -> Result<(), String> {
        for no in 0..queries {
            let asked = TcpStream::connect(self.aggregator.address).and_then(|mut stream| {
                stream.write_all(
                    request(u64::from(no), HELD_PARTS_PER_QUERY, self.listed as u32 * 4).as_bytes(),
                )?;
                Ok(stream)
            });
            self.held.push(asked.map_err(|error| error.to_string())?);
        }
        thread::sleep(WARM_UP * 2);
        Ok(())
    }

    /// Returns the number of attempts sent so far.
    fn attempts(&self) -> Result<f64, String> {
        let (_, stats) = self.aggregator.call("GET", "/stats").map_err(|error| error.to_string())?;
        let attempts =
            stats.lines().find_map(|line| line.strip_prefix("aggregator.tries:")?.strip_suffix("|c"));
        attempts
            .and_then(|attempts| attempts.parse().ok())
            .ok_or_else(|| "/stats has no aggregator.tries counter".into())
    }

    /// Returns the number of attempts sent so far. It equals the number of parts in flight while no part has ended or
    /// been retried, as intended when all queries are held open.
    fn parts_in_flight(&self) -> Result<f64, String> {
        self.attempts()
    }

    /// Returns the `/proc` directory of the aggregator.
    fn process(&self) -> Result<String, String> {
        self.aggregator
            .id()
            .map(|id| format!("/proc/{id}"))
            .ok_or_else(|| "the aggregator is not running".into())
    }

    /// Returns the CPU time of all threads of the aggregator so far, in microseconds.
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

    /// Returns the resident memory of the aggregator, in MB.
    fn memory(&self) -> Result<f64, String> {
        let status =
            std::fs::read_to_string(self.process()? + "/status").map_err(|error| error.to_string())?;
        let resident =
            status.lines().find_map(|line| line.strip_prefix("VmRSS:")?.trim().strip_suffix(" kB"));
        let kib: Option<f64> = resident.and_then(|resident| resident.trim().parse().ok());
        kib.map(|kib| kib * 1024.0 / 1e6).ok_or_else(|| "/proc has no VmRSS for the aggregator".into())
    }

    /// Returns the number of connections to run stores and of open descriptors.
    fn descriptors(&self) -> Result<(f64, f64), String> {
        let failed = |error: io::Error| error.to_string();
        let process = self.process()?;
        let open = std::fs::read_dir(format!("{process}/fd")).map_err(failed)?.count();
        let connections: usize = self.stores.iter().map(|store| store.connections()).sum();
        Ok((connections as f64, open as f64))
    }
}

/// Returns the settings of the aggregator.
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

/// Returns a query request with `parts` random shards; the query number is the seed.
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
         X-Timeout: {HELD_WORK_MS}m\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// An HTTP client with a persistent connection.
struct Client {
    to: SocketAddr,
    kept: Option<BufReader<TcpStream>>,
}

impl Client {
    fn new(to: SocketAddr) -> Self {
        Client { to, kept: None }
    }

    /// Sends a request and returns the response status.
    fn ask(&mut self, request: &str) -> io::Result<u16> {
        // The kept connection may have been closed; in that case a new one is opened.
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
