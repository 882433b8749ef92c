//! Case 8: a bad client uses the id of another client's open request, and is served with the other client's data once that
//! one has left.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::aggregator::Aggregator;
use crate::client::{ask, Query};
use crate::discovery::{line, Discovery};
use crate::http::{self, read_message};
use crate::record::Record;
use crate::store::{value, Service, Store};
use crate::{settings, Case};

/// Run stores.
const STORES: usize = 12;
/// The work of a part of `run-search`: 140 to 200 ms.
const WORK: Duration = Duration::from_millis(160);
/// How often the pair of clients is played.
const ROUNDS: usize = 5;
/// When the usual client leaves, and when the bad client begins, after the usual client's request.
const LEAVES_AFTER: Duration = Duration::from_millis(60);
const BAD_CLIENT_AFTER: Duration = Duration::from_millis(20);
/// What the parts of the two clients' queries carry.
const USUAL_FILTER: &str = "c41e77d0";
const BAD_FILTER: &str = "77aa0b1e";

pub fn play(case: &Case) -> Result<Vec<String>, String> {
    let why = |error: std::io::Error| error.to_string();
    let record = &case.record;
    let service = Service { work: WORK, answer_report: "util=0.30,qps=4", probe_report: "util=0.30,qps=4" };
    let discovery = Discovery::start().map_err(why)?;
    let mut stores = Vec::new();
    for no in 0..STORES {
        let store = Store::start(&format!("s-{no}"), service, record).map_err(why)?;
        discovery.put(&store.name, line(&store.name, store.address, "jhb-dc1", no, "ready"));
        stores.push(store);
    }
    let rest = format!("\"discovery\":\"{}\",{}", discovery.address, settings::karoo(STORES));
    let aggregator = Aggregator::start(&case.root, "n1", &rest).map_err(why)?;
    let to = aggregator.listen;
    if !http::wait_for_200(to, "/healthz", Duration::from_secs(10)) {
        return Err("the aggregator did not get ready".into());
    }
    for no in 0..6 {
        let query = query(&format!("calm{no}"), "vaal-muon", USUAL_FILTER);
        let end = ask(to, &query, Duration::from_secs(5), record);
        if !end.is_some_and(|end| matches!(end.answer, Ok((_, 200)))) {
            return Err("a query in peace was not served".into());
        }
    }
    let mut broken = Vec::new();
    for round in 0..ROUNDS {
        let id = format!("9b1f03aa5c7e2d{round:02}");
        let usual = query(&id, "vaal-muon", USUAL_FILTER);
        let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(2)).map_err(why)?;
        stream.write_all(&usual.request()).map_err(why)?;
        record.line(&format!("round {round}: the usual client of vaal-muon sent query {id}"));
        thread::sleep(BAD_CLIENT_AFTER);
        let bad_id = if case.trouble { id.clone() } else { format!("{id}-own") };
        let (bad, own_record) = (query(&bad_id, "cederberg-nu", BAD_FILTER), record.clone());
        let bad_client = thread::spawn(move || repeat_until_taken(to, &bad, &own_record));
        thread::sleep(LEAVES_AFTER - BAD_CLIENT_AFTER);
        drop(stream);
        record.line(&format!("round {round}: the usual client has left"));
        let (status, body) = bad_client.join().map_err(|_| "a client failed")??;
        if status == 200 {
            let foreign: Vec<String> = (0..STORES * 2)
                .filter(|shard| {
                    let part = format!("{bad_id}.{shard}");
                    let item = |value: String| format!("{{\"slice\":{shard},\"body\":\"{value}\"}}");
                    let is_foreign = body.contains(&item(value(&part, USUAL_FILTER.as_bytes())));
                    let is_own = body.contains(&item(value(&part, BAD_FILTER.as_bytes())));
                    is_foreign || (!is_own && body.contains(&format!("{{\"slice\":{shard},")))
                })
                .map(|shard| shard.to_string())
                .collect();
            if !foreign.is_empty() {
                broken.push(format!(
                    "round {round}: the client of cederberg-nu was served (200) with what run stores made for the query of \
                     vaal-muon in the shards {}",
                    foreign.join(", ")
                ));
            }
        }
        thread::sleep(Duration::from_millis(500));
    }
    Ok(broken)
}

fn query(id: &str, tenant: &'static str, filter: &'static str) -> Query {
    Query {
        id: id.into(),
        class: "run-search",
        tenant,
        timeout: 4000,
        shards: (0..STORES * 2).collect(),
        filter,
    }
}

/// Sends a request, and the same again as soon as it is turned away, until it gets another answer than 409.
fn repeat_until_taken(to: SocketAddr, query: &Query, record: &Arc<Record>) -> Result<(u16, String), String> {
    let end = Instant::now() + Duration::from_secs(5);
    let mut tries = 0;
    while Instant::now() < end {
        tries += 1;
        let answer = send(to, query).map_err(|error| error.to_string())?;
        if answer.0 != 409 {
            record.line(&format!(
                "the bad client's try {tries} with id {} was answered with {}: {}",
                query.id, answer.0, answer.1
            ));
            return Ok(answer);
        }
        if tries == 1 {
            record.line(&format!("the bad client's first try with id {} was turned away with 409", query.id));
        }
    }
    Ok((409, String::new()))
}

fn send(to: SocketAddr, query: &Query) -> std::io::Result<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(2))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_secs(6)))?;
    stream.write_all(&query.request())?;
    let answer = read_message(&mut stream, &mut Vec::new())?;
    Ok((answer.status(), String::from_utf8_lossy(&answer.body).into_owned()))
}
