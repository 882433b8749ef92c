//! A run store sends a second copy of an answer; no client may get it as the answer to its own search.

use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Client;
use crate::program::Program;
use crate::record::{quit, Record};
use crate::searches::{self, Conduct, Runs};
use crate::{delay, discovery};

const RUN_STORES: usize = 12;
const SHARDS: usize = 24;
/// Screens that ask once a second, all at the same time.
const CLIENTS: usize = 16;
const EVERY: Duration = Duration::from_secs(1);
/// Ids of searches of the class shift-entry, whose parts must not run twice, begin with this.
const ENTRY: &str = "e";
const RUN_FOR: Duration = Duration::from_secs(30);
/// One way between the aggregator and a run store.
const ONE_WAY: Duration = Duration::from_micros(1400);

fn config(listen: std::net::SocketAddr, discovery: std::net::SocketAddr) -> String {
    format!(
        r#"{{"name":"n1","listen":"{listen}","api":"opensearch","discovery":"{discovery}","seed":"7",
"limits":{{"sockets":256}},
"settings":{{"balancers":1,"discovery":"subscribe","tick_ms":5.0,"zone":"jhb-dc1",
"caps":{{"connect_timeout_ms":250.0,"keepalive_ms":30000.0,"max_attempts":3,"max_open":185,"max_retry_after_ms":2000.0,
"may_cancel":true,"parallel_tries":true,"probes":true,"streams_per_conn":100}},
"domain":{{"cells":{RUN_STORES},"width":3,"shards":{SHARDS},"bundle_max":1,"least_share":[1.0,1.0],"complete_from":[1.0,1.0],
"partial_earns":[0.9,0.9]}},
"request_classes":[{{"name":"shift-entry","aim_ms":1500.0,"deadline_ms":5000.0,"late_worth":0.3,"repeat":"non_idempotent",
"value":2.0}},{{"name":"run-lookup","aim_ms":2000.0,"deadline_ms":6000.0,"late_worth":0.1,"repeat":"read_like",
"value":1.0}}],
"realms":[{{"name":"vaal-muon","quota_per_s":100.0}}],"over_share_worth":0.05,
"rules":{{"cold_from":0.3,"fall_multiple":2.0,"overload_for_ms":1000.0,"warm_within_ms":16000.0}}}}}}"#
    )
}

#[derive(Default)]
struct Counts {
    asked: AtomicU64,
    served: AtomicU64,
    foreign: AtomicU64,
}

pub fn run(root: &Path, record: Arc<Record>, trouble: bool) -> bool {
    let conduct = Conduct {
        work: Duration::from_millis(50),
        turn_away_every: 6,
        copy_every: if trouble { 5 } else { 0 },
        copy_after: Duration::from_micros(500),
    };
    let runs = Arc::new(Runs::default());
    let stores: Vec<_> = (0..RUN_STORES)
        .map(|no| delay::start(searches::start(no, conduct, record.clone(), runs.clone()), ONE_WAY))
        .collect();
    let discovery = discovery::start(&stores);
    let mut program = Program::start(root, |listen| config(listen, discovery));
    let counts = Arc::new(Counts::default());
    let until = Instant::now() + RUN_FOR;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|no| {
            let (address, counts, record) = (program.address, counts.clone(), record.clone());
            thread::spawn(move || ask_until(until, no, address, &counts, &record))
        })
        .collect();
    clients.into_iter().for_each(|client| client.join().unwrap());
    let ended = program.has_ended();
    program.kill();
    if ended {
        record.say("the program ended by itself");
        return false;
    }
    let count = |number: &AtomicU64| number.load(Ordering::Relaxed);
    let (asked, served, foreign) = (count(&counts.asked), count(&counts.served), count(&counts.foreign));
    record.say(&format!("searches {asked}, served {served}, served with hits of another search: {foreign}"));
    let twice = runs.ran_twice(ENTRY);
    record.say(&format!("parts of shift-entry that ran more than once: {} {}", twice.len(), twice.join(" ")));
    if served * 2 < asked {
        quit("fewer than half of the searches were served");
    }
    foreign == 0 && twice.is_empty()
}

fn ask_until(until: Instant, no: usize, address: std::net::SocketAddr, counts: &Counts, record: &Record) {
    let mut open: Option<Client> = None;
    // A generator of its own for each client, so that a run is like the one before.
    let mut chance = no as u64 * 7919 + 1;
    let mut draw = |below: u64| {
        chance = chance.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        (chance >> 33) % below
    };
    let mut asked = 0;
    let mut next = until - RUN_FOR + EVERY;
    while next < until {
        thread::sleep(next.saturating_duration_since(Instant::now()));
        next += EVERY;
        asked += 1;
        // Every other screen asks for shift-entry, of which each needs one run block.
        let (class, letter, parts) =
            if no % 2 == 0 { ("shift-entry", ENTRY, 1) } else { ("run-lookup", "l", 5) };
        let id = format!("{letter}{no}-{asked}");
        let first = draw(SHARDS as u64) as usize;
        let shards: Vec<usize> = (0..parts).map(|at| (first + at * 5) % SHARDS).collect();
        let names: Vec<String> = shards.iter().map(usize::to_string).collect();
        let body = r#"{"query":{"match_all":{}},"size":20}"#;
        let request = format!(
            "POST /{class}/_search?preference=_shards:{} HTTP/1.1\r\nHost: desk\r\nX-Opaque-Id: {id}\r\n\
             X-Tenant-Id: vaal-muon\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            names.join(","),
            body.len()
        );
        let Ok(mut client) = open.take().map_or_else(|| Client::connect(address), Ok) else { continue };
        record.line(&format!("ask {id} shards {}", names.join(",")));
        counts.asked.fetch_add(1, Ordering::Relaxed);
        let Ok(answer) = client.exchange(&request) else {
            record.line(&format!("no answer {id}"));
            continue;
        };
        let hits: Vec<&str> =
            answer.body.split("\"_id\":\"").skip(1).filter_map(|rest| rest.split('"').next()).collect();
        record.line(&format!("answer {id} {} {}", answer.status, hits.join(" ")));
        if answer.status == 200 {
            counts.served.fetch_add(1, Ordering::Relaxed);
            let own = |hit: &&str| hit.strip_prefix(&id).is_some_and(|rest| rest.starts_with('.'));
            if let Some(hit) = hits.iter().find(|hit| !own(hit)) {
                counts.foreign.fetch_add(1, Ordering::Relaxed);
                record.line(&format!("BROKEN {id} got the hit {hit}"));
            }
        }
        if !answer.closes {
            open = Some(client);
        }
    }
}
