//! A new configuration under load, later a planned restart: what was taken has to be answered before the process may be
//! killed.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc;
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::discovery;
use crate::frames::{self, Shared};
use crate::http::Client;
use crate::program::Program;
use crate::record::{quit, Record};

const RUN_STORES: usize = 6;
/// The longest deadline of the settings that are in force at the restart.
const DEADLINE_MS: u64 = 1000;
/// SIGKILL comes no sooner than the longest deadline and 0.7 s after SIGTERM.
const KILL_AFTER: Duration = Duration::from_millis(DEADLINE_MS + 700 + 20);
/// New connections keep coming for 0.2 to 0.4 s after SIGTERM.
const CONNECT_AT: Duration = Duration::from_millis(380);
/// Clients use the connections that stay open.
const ASK_AT: Duration = Duration::from_millis(800);
const LATE_CLIENTS: usize = 12;

fn class(name: &str, aim: u64, deadline: u64, repeat: &str) -> String {
    format!(
        r#"{{"name":"{name}","aim_ms":{aim}.0,"deadline_ms":{deadline}.0,"late_worth":0.1,"repeat":"{repeat}","value":1.0,"window_ms":1000.0}}"#
    )
}

fn config(listen: SocketAddr, discovery: SocketAddr, with_lookup: bool) -> String {
    let mut classes = vec![
        class("run-search", 700, DEADLINE_MS, "read_like"),
        class("shift-entry", 700, DEADLINE_MS, "non_idempotent"),
    ];
    let mut shares = vec!["1.0", "1.0"];
    if with_lookup {
        classes.push(class("run-lookup", 1500, 3000, "read_like"));
        shares.push("1.0");
    }
    let shares = shares.join(",");
    format!(
        r#"{{"name":"n1","listen":"{listen}","discovery":"{discovery}","seed":"7","limits":{{"sockets":512}},
"settings":{{"balancers":1,"discovery":"subscribe","tick_ms":5.0,"zone":"jhb-dc1",
"caps":{{"connect_timeout_ms":250.0,"keepalive_ms":30000.0,"max_attempts":3,"max_open":185,"max_retry_after_ms":2000.0,
"may_cancel":true,"parallel_tries":true,"probes":true,"streams_per_conn":100}},
"domain":{{"cells":{RUN_STORES},"width":3,"shards":12,"bundle_max":1,"least_share":[{shares}],"complete_from":[{shares}],
"partial_earns":[{shares}]}},
"request_classes":[{}],
"realms":[{{"name":"vaal-muon","quota_per_s":100.0}}],"over_share_worth":0.05,
"rules":{{"cold_from":0.3,"fall_multiple":2.0,"overload_for_ms":1000.0,"warm_within_ms":16000.0}}}}}}"#,
        classes.join(",")
    )
}

fn request(class: &str, id: &str, timeout: u64, shard: usize) -> String {
    let body = format!(r#"{{"slices":[{{"slice":{shard},"mass":1.0}}],"filter":"c41e77d0"}}"#);
    format!(
        "POST /{class} HTTP/1.1\r\nHost: origin.svc\r\nX-Request-ID: {id}\r\nX-Priority-Class: {class}\r\n\
         X-Tenant-Id: vaal-muon\r\nX-Timeout: {timeout}m\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Asks at about `rate` queries a second from several clients until told to stop.
fn load(
    classes: &'static [(&'static str, u64)],
    name: &'static str,
    address: SocketAddr,
    record: &Arc<Record>,
) -> impl FnOnce() {
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..6)
        .map(|no| {
            let (stop, record) = (stop.clone(), record.clone());
            thread::spawn(move || {
                let mut open: Option<Client> = None;
                let mut asked = no;
                while !stop.load(Ordering::SeqCst) {
                    asked += 1;
                    let (class, deadline) = classes[asked % classes.len()];
                    let id = format!("{name}{no}-{asked}");
                    let Ok(mut client) = open.take().map_or_else(|| Client::connect(address), Ok) else {
                        continue;
                    };
                    let status = client
                        .exchange(&request(class, &id, deadline, asked % 12))
                        .map(|answer| answer.status);
                    record.line(&format!("answer {id} {class} {status:?}"));
                    if status.is_ok() {
                        open = Some(client);
                    }
                    sleep(Duration::from_millis(100));
                }
            })
        })
        .collect();
    move || {
        stop.store(true, Ordering::SeqCst);
        clients.into_iter().for_each(|client| client.join().unwrap());
    }
}

pub fn run(root: &Path, record: Arc<Record>, trouble: bool) -> bool {
    let shared = Arc::new(Shared {
        record: record.clone(),
        arrived: Mutex::default(),
        odd_hang: AtomicBool::new(false),
        work: Duration::from_millis(120),
    });
    let stores: Vec<_> = (0..RUN_STORES).map(|no| frames::start(no, shared.clone())).collect();
    let discovery = discovery::start(&stores);
    let mut program = Program::start(root, |listen| config(listen, discovery, trouble));
    let address = program.address;
    if trouble {
        // The new configuration comes under load; a class vanishes whose queries are under way.
        let stop = load(&[("run-lookup", 3000), ("shift-entry", DEADLINE_MS)], "a", address, &record);
        sleep(Duration::from_secs(3));
        program.write_config(&config(address, discovery, false));
        record.line("SIGHUP, without the class run-lookup");
        program.signal("HUP");
        sleep(Duration::from_millis(500));
        stop();
        if !program.log().contains("reload: done") {
            quit("the new configuration was not taken");
        }
    }
    let stop = load(&[("shift-entry", DEADLINE_MS), ("run-search", DEADLINE_MS)], "b", address, &record);
    sleep(Duration::from_secs(6));
    stop();
    // All is answered, and only the settings that are in force remain.
    sleep(Duration::from_secs(1));

    record.line("SIGTERM; half of the run stores hang from now on");
    shared.odd_hang.store(true, Ordering::SeqCst);
    let term = Instant::now();
    program.signal("TERM");
    let (answers, answered) = mpsc::channel();
    for no in 0..LATE_CLIENTS {
        let (record, answers) = (record.clone(), answers.clone());
        thread::spawn(move || {
            let until = |at: Duration| sleep((term + at).saturating_duration_since(Instant::now()));
            until(CONNECT_AT);
            let Ok(mut client) = Client::connect(address) else { return };
            until(ASK_AT);
            let id = format!("late-{no}");
            let sent = client.send(&request("shift-entry", &id, DEADLINE_MS, no));
            record.line(&format!("ask {id} {sent:?}"));
            let status = client.read().map(|answer| answer.status);
            record.line(&format!("answer {id} {status:?}"));
            let _ = answers.send((no, status.is_ok()));
        });
    }
    let mut ended = None;
    while term.elapsed() < KILL_AFTER {
        if ended.is_none() && program.has_ended() {
            ended = Some(term.elapsed());
        }
        sleep(Duration::from_millis(2));
    }
    match ended {
        Some(after) => record.say(&format!("the process ended {} ms after SIGTERM", after.as_millis())),
        None => record.say(&format!("SIGKILL {} ms after SIGTERM", KILL_AFTER.as_millis())),
    }
    program.kill();
    sleep(Duration::from_millis(300));
    let answered: Vec<usize> = answered.try_iter().filter(|(_, whole)| *whole).map(|(no, _)| no).collect();
    // Only what was forwarded counts: it was read, and its client cannot ask again.
    let arrived = shared.arrived.lock().unwrap();
    let forwarded: Vec<usize> = (0..LATE_CLIENTS)
        .filter(|no| arrived.iter().any(|part| part.starts_with(&format!("late-{no}."))))
        .collect();
    let lost: Vec<usize> = forwarded.iter().copied().filter(|no| !answered.contains(no)).collect();
    record.say(&format!(
        "forwarded {}, of these without a final answer {}: {lost:?}",
        forwarded.len(),
        lost.len()
    ));
    if forwarded.is_empty() && answered.is_empty() {
        quit("no request was taken after SIGTERM");
    }
    lost.is_empty()
}
