//! A run store is removed from the DNS-SD records while the DNS server is slow; it may get nothing new for long.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{self, sleep};
use std::time::Duration;

use crate::dns::{Dns, SERVICE};
use crate::http::Client;
use crate::program::Program;
use crate::record::{quit, Record};
use crate::searches::{self, Conduct};

const RUN_STORES: usize = 12;
const SHARDS: usize = 24;
const CLIENTS: usize = 10;
/// The run store that is removed.
const REMOVED: usize = 0;
/// How long each answer of the DNS server takes while it is slow: half of the time that the program waits for one.
const SLOW: Duration = Duration::from_millis(250);
/// Whatever discovery has to tell counts as told this long after at the latest.
const TOLD_MS: f64 = 6000.0;
/// The grace of the rule on drains, and the 50 ms by which limits are longer on sockets.
const GRACE_MS: f64 = 2050.0;
/// How long the run store is watched after that.
const WATCH_FOR: Duration = Duration::from_secs(25);

fn config(listen: SocketAddr, dns: SocketAddr) -> String {
    format!(
        r#"{{"name":"n1","listen":"{listen}","api":"opensearch","seed":"7",
"dns_sd":{{"server":"{dns}","service":"{SERVICE}","refresh_ms":2000}},"limits":{{"sockets":512}},
"settings":{{"balancers":1,"discovery":"subscribe","tick_ms":5.0,"zone":"jhb-dc1",
"caps":{{"connect_timeout_ms":250.0,"keepalive_ms":30000.0,"max_attempts":3,"max_open":185,"max_retry_after_ms":2000.0,
"may_cancel":true,"parallel_tries":true,"probes":true,"streams_per_conn":100}},
"domain":{{"cells":{RUN_STORES},"width":3,"shards":{SHARDS},"bundle_max":1,"least_share":[1.0],"complete_from":[1.0],
"partial_earns":[0.9]}},
"request_classes":[{{"name":"run-lookup","aim_ms":2000.0,"deadline_ms":6000.0,"late_worth":0.1,"repeat":"read_like",
"value":1.0}}],
"realms":[{{"name":"vaal-muon","quota_per_s":100.0}}],"over_share_worth":0.05,
"rules":{{"cold_from":0.3,"fall_multiple":2.0,"overload_for_ms":1000.0,"warm_within_ms":16000.0}}}}}}"#
    )
}

pub fn run(root: &Path, record: Arc<Record>, trouble: bool) -> bool {
    let conduct = Conduct {
        work: Duration::from_millis(60),
        turn_away_every: 0,
        copy_every: 0,
        copy_after: Duration::ZERO,
    };
    let runs = Arc::new(searches::Runs::default());
    let stores: BTreeMap<usize, SocketAddr> =
        (0..RUN_STORES).map(|no| (no, searches::start(no, conduct, record.clone(), runs.clone()))).collect();
    let dns = Dns::start(stores, record.clone());
    let mut program = Program::start(root, |listen| config(listen, dns.address));
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|no| {
            let (stop, record, address) = (stop.clone(), record.clone(), program.address);
            thread::spawn(move || ask_until(&stop, no, address, &record))
        })
        .collect();
    sleep(Duration::from_secs(5));
    if trouble {
        record.line("the DNS server is slow from now on");
        *dns.delay.lock().unwrap() = SLOW;
    }
    sleep(Duration::from_secs(4));
    let removed_at = record.now();
    dns.listed.lock().unwrap().remove(&REMOVED);
    record.line(&format!("s-{REMOVED} is removed from the records; it goes on serving"));
    sleep(WATCH_FOR);
    stop.store(true, Ordering::SeqCst);
    let served: usize = clients.into_iter().map(|client| client.join().unwrap()).sum();
    let ended = program.has_ended();
    program.kill();
    if ended {
        record.say("the program ended by itself");
        return false;
    }
    let after: Vec<f64> =
        runs.of(REMOVED).into_iter().map(|at| at - removed_at).filter(|after| *after > 0.0).collect();
    let last = after.iter().copied().fold(0.0, f64::max);
    let late = after.iter().filter(|after| **after > TOLD_MS + GRACE_MS).count();
    record.say(&format!(
        "served {served}; s-{REMOVED} got {} searches after its removal, the last {last:.0} ms after it; \
         {late} later than {:.0} ms",
        after.len(),
        TOLD_MS + GRACE_MS
    ));
    if served < 100 || runs.of(REMOVED).is_empty() {
        quit("too few searches were served");
    }
    late == 0
}

fn ask_until(stop: &AtomicBool, no: usize, address: SocketAddr, record: &Record) -> usize {
    let (mut open, mut asked, mut served): (Option<Client>, usize, usize) = (None, 0, 0);
    while !stop.load(Ordering::SeqCst) {
        sleep(Duration::from_millis(400));
        asked += 1;
        let first = (no * 5 + asked * 7) % SHARDS;
        let shards: Vec<String> = (0..4).map(|at| ((first + at * 6) % SHARDS).to_string()).collect();
        let body = r#"{"query":{"match_all":{}},"size":20}"#;
        let request = format!(
            "POST /run-lookup/_search?preference=_shards:{} HTTP/1.1\r\nHost: desk\r\nX-Opaque-Id: c{no}-{asked}\r\n\
             X-Tenant-Id: vaal-muon\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            shards.join(","),
            body.len()
        );
        let Ok(mut client) = open.take().map_or_else(|| Client::connect(address), Ok) else { continue };
        let Ok(answer) = client.exchange(&request) else { continue };
        record.line(&format!("answer c{no}-{asked} {}", answer.status));
        served += usize::from(answer.status == 200);
        if !answer.closes {
            open = Some(client);
        }
    }
    served
}
