//! Case 9: all records of run stores are removed from DNS-SD; the aggregator goes on sending searches to them.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use crate::aggregator::Aggregator;
use crate::dns::{Dns, SERVICE};
use crate::http::{self, read_message};
use crate::search_store::SearchStore;
use crate::{settings, Case};

/// Run stores.
const STORES: usize = 3;
/// The time with all records, and the time after they were removed.
const LISTED_FOR: Duration = Duration::from_secs(4);
const REMOVED_FOR: Duration = Duration::from_secs(10);
const BETWEEN_QUERIES: Duration = Duration::from_millis(100);
/// Nothing new may come later than 2 s after the aggregator was told; 50 ms more on sockets.
const STOPPED_AFTER_MS: f64 = 2000.0 + 50.0;

pub fn play(case: &Case) -> Result<Vec<String>, String> {
    let why = |error: std::io::Error| error.to_string();
    let record = &case.record;
    let mut stores = Vec::new();
    for no in 0..STORES {
        stores.push(SearchStore::start(&format!("s-{no}"), Duration::from_millis(30), record).map_err(why)?);
    }
    let instances =
        stores.iter().enumerate().map(|(no, store)| (store.name.clone(), store.address.port(), no)).collect();
    let dns = Dns::start(instances, record).map_err(why)?;
    let rest = format!(
        "\"api\":\"opensearch\",\"dns_sd\":{{\"server\":\"{}\",\"service\":\"{SERVICE}\",\"refresh_ms\":2000}},{}",
        dns.address,
        settings::operator(STORES)
    );
    let aggregator = Aggregator::start(&case.root, "desk-1", &rest).map_err(why)?;
    if !http::wait_for_200(aggregator.listen, "/healthz", Duration::from_secs(10)) {
        return Err("the aggregator did not get ready".into());
    }
    let begin = Instant::now();
    let mut removed = false;
    let mut clients = Vec::new();
    let mut no = 0;
    while begin.elapsed() < LISTED_FOR + REMOVED_FOR {
        if !removed && begin.elapsed() >= LISTED_FOR {
            removed = true;
            if case.trouble {
                dns.remove_all();
                record.tell("all records of the service are removed");
            }
        }
        let (to, record) = (aggregator.listen, record.clone());
        clients.push(thread::spawn(move || match search(to, no) {
            Ok(status) => record.line(&format!("search q{no} answered with {status}")),
            Err(error) => record.line(&format!("search q{no}: {error}")),
        }));
        no += 1;
        thread::sleep(BETWEEN_QUERIES);
    }
    for client in clients {
        client.join().map_err(|_| "a client failed")?;
    }
    let told = dns.told_empty();
    if case.trouble && told.is_none() {
        return Err("the aggregator never asked for the records after their removal".into());
    }
    let mut broken = Vec::new();
    for store in &stores {
        let searches = store.searches();
        if searches.is_empty() {
            return Err(format!("{} never got a search", store.name));
        }
        let Some(told) = told else { continue };
        let late: Vec<f64> = searches.iter().copied().filter(|at| *at > told + STOPPED_AFTER_MS).collect();
        if let Some(last) = late.last() {
            broken.push(format!(
                "{} got {} new searches later than 2 s after the aggregator was told that it is gone, the last after {:.0} ms",
                store.name,
                late.len(),
                last - told
            ));
        }
    }
    Ok(broken)
}

/// Searches one shard and returns the status of the answer.
fn search(to: SocketAddr, no: usize) -> std::io::Result<u16> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(2))?;
    stream.set_read_timeout(Some(Duration::from_secs(8)))?;
    let body = "{\"query\":{\"match_all\":{}}}";
    let text = format!(
        "POST /run-lookup/_search?preference=_shards:{} HTTP/1.1\r\nHost: origin.svc\r\nX-Opaque-Id: q{no}\r\n\
         X-Tenant-Id: vaal-muon\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        no % (STORES * 2),
        body.len()
    );
    stream.write_all(text.as_bytes())?;
    Ok(read_message(&mut stream, &mut Vec::new())?.status())
}
