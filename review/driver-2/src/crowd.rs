//! Case 6: clients that stop in the middle of a request take all connections; a usual client's request waits in the
//! listen queue until long after its time.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::aggregator::Aggregator;
use crate::client::{ask, Query};
use crate::discovery::{line, Discovery};
use crate::store::{Service, Store};
use crate::{http, settings, Case};

/// Run stores.
const STORES: usize = 12;
/// Descriptors of the aggregator, the least that the pages give.
const SOCKETS: usize = 256;
/// Clients that send half a request and stay.
const HALF_REQUESTS: usize = 230;
const BETWEEN_HALF_REQUESTS: Duration = Duration::from_micros(300);
/// When the usual clients begin, from the first of these on.
const USUAL_AFTER: Duration = Duration::from_millis(250);
/// The usual clients' queries: their number and the time between two.
const QUERIES: usize = 20;
const BETWEEN_QUERIES: Duration = Duration::from_millis(50);
/// A try of `statement-view` is given up after 60% of 2.5 s at the soonest.
const TIMEOUT_MS: u64 = 1500;
/// A final answer earns nothing up to half a second after its time, and is lost later; 50 ms more on sockets.
const LOST_AFTER_MS: f64 = 500.0 + 50.0;

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
    let rest = format!("\"discovery\":\"{}\",{}", agent.address, settings::sofia(STORES, 192, SOCKETS));
    let mut aggregator = Aggregator::start(&case.root, "n1", &rest).map_err(why)?;
    if !http::wait_for_200(aggregator.listen, "/healthz", Duration::from_secs(10)) {
        return Err("the aggregator did not get ready".into());
    }
    thread::sleep(Duration::from_millis(500));
    // A few queries in peace, which also warm up the connections to run stores.
    for no in 0..10 {
        let end = ask(aggregator.listen, &query(&format!("calm{no:02}"), no), Duration::from_secs(5), record);
        if !end.is_some_and(|end| matches!(end.answer, Ok((_, 200)))) {
            return Err("a query in peace was not served".into());
        }
    }
    let held = Arc::new(Mutex::new(Vec::new()));
    if case.trouble {
        let (to, held, record) = (aggregator.listen, held.clone(), record.clone());
        read_answers(held.clone());
        thread::spawn(move || {
            for no in 0..HALF_REQUESTS {
                match half_request(to, no) {
                    Ok(stream) => held.lock().map(|mut held| held.push(stream)).unwrap_or_default(),
                    Err(error) => record.line(&format!("client {no} with half a request: {error}")),
                }
                // Not all at once, so that the listen queue has room for each of them.
                thread::sleep(BETWEEN_HALF_REQUESTS);
            }
            record.tell(&format!("{HALF_REQUESTS} clients have sent half a request and stay"));
        });
        thread::sleep(USUAL_AFTER);
    }
    let mut asked = Vec::new();
    for no in 0..QUERIES {
        let (to, record) = (aggregator.listen, record.clone());
        asked.push(thread::spawn(move || {
            let query = query(&format!("usual{no:02}"), no);
            (query.id.clone(), ask(to, &query, Duration::from_secs(8), &record))
        }));
        thread::sleep(BETWEEN_QUERIES);
    }
    let mut broken = Vec::new();
    let (mut taken, mut latest) = (0, 0.0_f64);
    for asked in asked {
        let (id, end) = asked.join().map_err(|_| "a client failed")?;
        // Without a connection or with a reset over the unread request, the client asks again: nothing was taken.
        let Some(end) = end else { continue };
        taken += 1;
        let limit = end.sent + TIMEOUT_MS as f64 + LOST_AFTER_MS;
        match end.answer {
            Ok((at, status)) => {
                latest = latest.max(at - end.sent);
                if at > limit {
                    broken.push(format!(
                        "query {id}, whose client waits {TIMEOUT_MS} ms, got its final answer ({status}) after {:.0} ms",
                        at - end.sent
                    ));
                }
            }
            Err((at, why)) if why == "no answer" && at > limit => {
                broken.push(format!("query {id} got no final answer within {:.0} ms", at - end.sent));
            }
            Err(_) => {}
        }
    }
    record.tell(&format!(
        "{taken} of {QUERIES} usual queries were taken; the latest answer came after {latest:.0} ms"
    ));
    if let Some(status) = aggregator.ended() {
        broken.push(format!("the aggregator has ended: {status}"));
    }
    Ok(broken)
}

fn query(id: &str, no: usize) -> Query {
    let shard = no * 5 % (STORES * 2);
    let shards = (0..3).map(|next| (shard + next) % (STORES * 2)).collect();
    Query {
        id: id.into(),
        class: "statement-view",
        tenant: "obedinen",
        timeout: TIMEOUT_MS,
        shards,
        filter: "c41e77d0",
    }
}

/// Connects, sends the first half of a request and returns the connection.
fn half_request(to: SocketAddr, no: usize) -> std::io::Result<TcpStream> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(5))?;
    let bytes = query(&format!("half{no:03}"), no).request();
    stream.write_all(&bytes[..bytes.len() / 2])?;
    stream.set_nonblocking(true)?;
    Ok(stream)
}

/// Reads whatever the clients with half a request are sent. They leave their connections open for 10 s.
fn read_answers(held: Arc<Mutex<Vec<TcpStream>>>) {
    thread::spawn(move || {
        let end = Instant::now() + Duration::from_secs(10);
        let mut bytes = [0; 4096];
        while Instant::now() < end {
            if let Ok(mut streams) = held.lock() {
                for stream in streams.iter_mut() {
                    while matches!(stream.read(&mut bytes), Ok(1..)) {}
                }
            }
            thread::sleep(Duration::from_millis(20));
        }
    });
}
