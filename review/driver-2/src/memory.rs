//! Case 7: clients that stop in the middle of long requests make the aggregator use more memory than its limit.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::aggregator::Aggregator;
use crate::client::{ask, Query};
use crate::discovery::{line, Discovery};
use crate::record::Record;
use crate::store::{Service, Store};
use crate::{http, settings, Case};

/// Run stores.
const STORES: usize = 12;
/// Descriptors and memory of the aggregator, inside the ranges of the pages: 256 to 1,024, and 32 to 192 MB.
const SOCKETS: usize = 1024;
const MEMORY_MB: u64 = 40;
/// Clients that send most of a long request and stay.
const HALF_REQUESTS: usize = 600;
const BETWEEN_HALF_REQUESTS: Duration = Duration::from_micros(300);
/// The stated length of their bodies, the most that the pages allow, and how much of it they send.
const BODY: usize = 64 * 1024;
const SENT: usize = 65_000;
/// How long the usual clients ask, and the time between two queries.
const ASK_FOR: Duration = Duration::from_secs(6);
const BETWEEN_QUERIES: Duration = Duration::from_millis(50);

pub fn play(case: &Case) -> Result<Vec<String>, String> {
    let why = |error: std::io::Error| error.to_string();
    let record = &case.record;
    let service = Service {
        work: Duration::from_millis(60),
        answer_report: "-",
        probe_report: "inflight=1,latency_ms=60",
    };
    let agent = Discovery::start().map_err(why)?;
    let mut stores = Vec::new();
    for no in 0..STORES {
        let store = Store::start(&format!("s-{no}"), service, record).map_err(why)?;
        agent.put(&store.name, line(&store.name, store.address, "sofia-mladost", no, "ready"));
        stores.push(store);
    }
    let rest = format!("\"discovery\":\"{}\",{}", agent.address, settings::sofia(STORES, MEMORY_MB, SOCKETS));
    let aggregator = Aggregator::start(&case.root, "n1", &rest).map_err(why)?;
    let listen = aggregator.listen;
    if !http::wait_for_200(listen, "/healthz", Duration::from_secs(10)) {
        return Err("the aggregator did not get ready".into());
    }
    thread::sleep(Duration::from_millis(500));
    // The platform: it kills the aggregator once it is over its memory.
    let (over, killed_at, most) =
        (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(None)), Arc::new(AtomicU64::new(0)));
    let aggregator = Arc::new(Mutex::new(aggregator));
    let platform = {
        let (record, aggregator) = (record.clone(), aggregator.clone());
        let (over, killed_at, most) = (over.clone(), killed_at.clone(), most.clone());
        thread::spawn(move || {
            while !over.load(Ordering::Acquire) {
                if let Ok(mut aggregator) = aggregator.lock() {
                    let used = aggregator.resident_kb().unwrap_or(0);
                    most.fetch_max(used, Ordering::AcqRel);
                    if used > MEMORY_MB * 1024 {
                        let _ = aggregator.child.kill();
                        record.tell(&format!(
                            "the aggregator uses {} MB of {MEMORY_MB} and is killed",
                            used / 1024
                        ));
                        if let Ok(mut killed_at) = killed_at.lock() {
                            *killed_at = Some((record.now(), used));
                        }
                        return;
                    }
                }
                thread::sleep(Duration::from_millis(5));
            }
        })
    };
    let mut clients = Vec::new();
    let begin = Instant::now();
    let mut no = 0;
    let mut bad_clients = None;
    while begin.elapsed() < ASK_FOR {
        let (own_record, query) = (record.clone(), query(no));
        clients.push(thread::spawn(move || {
            (query.id.clone(), ask(listen, &query, Duration::from_secs(4), &own_record))
        }));
        no += 1;
        if no == 20 && case.trouble {
            let (record, killed_at) = (record.clone(), killed_at.clone());
            bad_clients = Some(thread::spawn(move || send_half_requests(listen, &record, &killed_at)));
        }
        thread::sleep(BETWEEN_QUERIES);
    }
    if let Some(bad_clients) = bad_clients {
        bad_clients.join().map_err(|_| "the clients with half a request failed")??;
    }
    over.store(true, Ordering::Release);
    platform.join().map_err(|_| "the platform failed")?;
    let mut unanswered = Vec::new();
    for client in clients {
        let (id, end) = client.join().map_err(|_| "a client failed")?;
        if end.is_some_and(|end| end.answer.is_err()) {
            unanswered.push(id);
        }
    }
    let most = most.load(Ordering::Acquire) / 1024;
    record.tell(&format!("{no} usual queries; at most {most} MB of memory were used"));
    let killed_at = killed_at.lock().map_err(|_| "a lock failed")?;
    Ok(killed_at.map_or(Vec::new(), |(at, used)| {
        vec![format!(
            "at {at:.0} ms the aggregator used {} MB, over its limit of {MEMORY_MB} MB, and was killed; without an answer: {}",
            used / 1024,
            unanswered.join(" ")
        )]
    }))
}

/// Has the clients send their half requests, and returns their connections.
fn send_half_requests<T>(
    to: SocketAddr,
    record: &Record,
    killed_at: &Mutex<Option<T>>,
) -> Result<Vec<TcpStream>, String> {
    let mut held = Vec::new();
    for no in 0..HALF_REQUESTS {
        // Not all at once, so that the listen queue has room for each of them.
        thread::sleep(BETWEEN_HALF_REQUESTS);
        match half_request(to, no) {
            Ok(stream) => held.push(stream),
            // Once the aggregator has been killed, no further connection comes up.
            Err(error) if killed(killed_at) => {
                record.line(&format!("client {no} with half a request: {error}"));
                break;
            }
            Err(error) => return Err(format!("client {no} with half a request: {error}")),
        }
    }
    record.tell(&format!("{} clients have sent {SENT} of {BODY} bytes and stay", held.len()));
    Ok(held)
}

fn killed<T>(killed_at: &Mutex<Option<T>>) -> bool {
    // The platform looks every few milliseconds.
    thread::sleep(Duration::from_millis(50));
    killed_at.lock().is_ok_and(|killed_at| killed_at.is_some())
}

fn query(no: usize) -> Query {
    let shard = no * 5 % (STORES * 2);
    let shards = (0..3).map(|next| (shard + next) % (STORES * 2)).collect();
    Query {
        id: format!("usual{no:03}"),
        class: "statement-view",
        tenant: "obedinen",
        timeout: 2000,
        shards,
        filter: "c41e77d0",
    }
}

/// Connects, sends all but the end of a long request and returns the connection.
fn half_request(to: SocketAddr, no: usize) -> std::io::Result<TcpStream> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(5))?;
    let head = format!(
        "POST /statement-view HTTP/1.1\r\nHost: origin.svc\r\nX-Request-ID: half{no:03}\r\n\
         X-Priority-Class: statement-view\r\nX-Tenant-Id: obedinen\r\nX-Timeout: 2000m\r\nContent-Length: {BODY}\r\n\r\n\
         {{\"slices\":[{{\"slice\":0,\"mass\":1}}],\"filter\":\""
    );
    let body_begun = head.len() - head.find("\r\n\r\n").map_or(0, |at| at + 4);
    let mut bytes = head.into_bytes();
    bytes.resize(bytes.len() + SENT - body_begun, b'a');
    stream.set_write_timeout(Some(Duration::from_secs(5)))?;
    stream.write_all(&bytes)?;
    // Reads what has come, without waiting.
    stream.set_nonblocking(true)?;
    match stream.read(&mut [0; 4096]) {
        Err(error) if error.kind() != ErrorKind::WouldBlock => Err(error),
        _ => Ok(stream),
    }
}
