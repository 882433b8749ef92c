//! Clients: draws queries, sends them and counts their results. Queries are sent at times drawn from the seed (open
//! loop), independent of the results of earlier ones.

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Mutex;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;
use serde_json::{json, Value};

use crate::check::Answer;
use crate::stores::read_message;
use crate::Api;

/// A request class, as in the settings.
pub struct Class {
    /// Name of the class.
    pub name: &'static str,
    /// Share of queries in this class.
    pub share: f64,
    /// Latency target, in milliseconds.
    pub aim: f64,
    /// Timeout of the client, in milliseconds.
    pub deadline: f64,
    /// Whether parts may run twice.
    pub safe: bool,
    /// Minimum share of weight of an answer.
    pub least_share: f64,
    /// Worth of an answer.
    pub worth: f64,
}

/// The request classes.
pub const CLASSES: [Class; 3] = [
    Class {
        name: "run-search",
        share: 0.22,
        aim: 2000.0,
        deadline: 4000.0,
        safe: true,
        least_share: 0.4,
        worth: 3.0,
    },
    Class {
        name: "run-lookup",
        share: 0.56,
        aim: 2000.0,
        deadline: 6000.0,
        safe: true,
        least_share: 1.0,
        worth: 1.0,
    },
    Class {
        name: "shift-entry",
        share: 0.22,
        aim: 1500.0,
        deadline: 5000.0,
        safe: false,
        least_share: 1.0,
        worth: 2.0,
    },
];

/// The groups and their shares of queries.
pub const GROUPS: [(&str, f64); 3] = [("vaal-muon", 0.49), ("cederberg-nu", 0.36), ("sutherland-cal", 0.15)];

/// A query to send.
#[derive(Debug, Clone)]
pub struct Query {
    /// Id of the query.
    pub id: String,
    /// Index of its class in [`CLASSES`].
    pub class: usize,
    /// Group of the query.
    pub group: &'static str,
    /// Shards and their weights.
    pub parts: Vec<(u32, f64)>,
    /// Whether the query is a retry.
    pub retry: bool,
}

/// Draws a random query.
pub fn draw_query(random: &mut fastrand::Rng, no: u64, shards: u32, api: Api) -> Query {
    let at = |shares: &[f64], point: f64| {
        let mut sum = 0.0;
        shares.iter().position(|share| {
            sum += share;
            point < sum
        })
    };
    let class = at(&CLASSES.map(|class| class.share), random.f64()).unwrap_or(0);
    let group = at(&GROUPS.map(|(_, share)| share), random.f64()).unwrap_or(0);
    let count = match class {
        0 => shards,
        1 => random.u32(3..=5.min(shards)),
        _ => 1,
    };
    let mut all: Vec<u32> = (0..shards).collect();
    random.shuffle(&mut all);
    all.truncate(count as usize);
    // A few parts of a run-search weigh much more than the rest; the OpenSearch-style API has no weights.
    let skew = if class == 0 && api == Api::Platform { 0.9 } else { 0.0 };
    let weights: Vec<f64> = (1..=count).map(|rank| 1.0 / f64::from(rank).powf(skew)).collect();
    let sum: f64 = weights.iter().sum();
    // Weights are cut to six digits; the last part gets the remainder.
    let mut parts: Vec<(u32, f64)> = all
        .into_iter()
        .zip(&weights)
        .map(|(shard, weight)| (shard, (weight / sum * 1e6).floor() / 1e6))
        .collect();
    let rest = 1.0 - parts.iter().map(|(_, weight)| weight).sum::<f64>();
    if let Some((_, last)) = parts.last_mut() {
        *last += rest;
    }
    Query {
        id: format!("c{no:x}-{:08x}", random.u32(..)),
        class,
        group: GROUPS[group].0,
        parts,
        retry: false,
    }
}

/// How a query ended for its client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// Answered.
    Answered {
        /// Whether the answer is whole.
        whole: bool,
    },
    /// Refused with status 429 or 503.
    Refused,
    /// Failed with any other status.
    Failed,
    /// No answer: the connection was refused, broke or timed out.
    Lost,
}

/// Sends a query and waits for the answer.
pub fn ask(
    (aggregator, to): (usize, SocketAddr),
    api: Api,
    query: &Query,
    asked: f64,
    clock: &crate::clock::Clock,
) -> (End, Answer) {
    let wait = CLASSES[query.class].deadline;
    let (end, mut answer) = classify((aggregator, api), query, (asked, wait), send(to, api, query));
    answer.answered_at = clock.now();
    (end, answer)
}

/// Classifies the result of a query that was asked at `asked` with a timeout of `wait` milliseconds.
pub fn classify(
    (aggregator, api): (usize, Api),
    query: &Query,
    (asked, wait): (f64, f64),
    result: io::Result<(u16, Value)>,
) -> (End, Answer) {
    let class = &CLASSES[query.class];
    let mut answer = Answer {
        query: query.id.clone(),
        aggregator,
        asked_at: asked,
        answered_at: asked,
        timeout_ms: wait,
        safe: class.safe,
        refused: false,
        whole: false,
        served: false,
        unread: matches!(&result, Err(error) if error.kind() == io::ErrorKind::ConnectionReset),
        requested: query.parts.clone(),
        values: Vec::new(),
        least_share: class.least_share,
    };
    let end = match result {
        Ok((200, body)) => {
            answer.served = true;
            read_values(api, &body, &mut answer);
            End::Answered { whole: answer.whole }
        }
        Ok((429 | 503, _)) => End::Refused,
        Ok(_) => End::Failed,
        Err(_) => End::Lost,
    };
    answer.refused = end == End::Refused;
    (end, answer)
}

/// Returns the HTTP request of a query with a timeout of `wait` milliseconds and additional header lines.
pub fn request(api: Api, query: &Query, wait: f64, lines: &str) -> String {
    let name = CLASSES[query.class].name;
    let (target, body) = match api {
        Api::Platform => {
            let parts: Vec<_> =
                query.parts.iter().map(|(shard, weight)| json!({"slice": shard, "mass": weight})).collect();
            (format!("/{name}"), json!({"slices": parts, "filter": "c41e77d0"}))
        }
        Api::Opensearch => {
            let list: Vec<_> = query.parts.iter().map(|(shard, _)| shard.to_string()).collect();
            let target =
                format!("/{name}/_search?preference=_shards:{}&timeout={wait}ms&size=100", list.join(","));
            (target, json!({"query": {"match_all": {}}}))
        }
    };
    let body = body.to_string();
    let retried = if query.retry { "X-Retried: 1\r\n" } else { "" };
    format!(
        "POST {target} HTTP/1.1\r\nHost: lab\r\nX-Request-ID: {id}\r\nX-Opaque-Id: {id}\r\nX-Priority-Class: {name}\r\n\
         X-Tenant-Id: {group}\r\nX-Timeout: {wait}m\r\n{retried}{lines}Content-Type: application/json\r\n\
         Content-Length: {length}\r\n\r\n{body}",
        id = query.id,
        group = query.group,
        length = body.len(),
    )
}

fn send(to: SocketAddr, api: Api, query: &Query) -> io::Result<(u16, Value)> {
    let wait = CLASSES[query.class].deadline;
    let head = request(api, query, wait, "Connection: close\r\n");
    let mut stream = TcpStream::connect(to)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_secs_f64(wait / 1000.0 + 2.0)))?;
    stream.write_all(head.as_bytes())?;
    read_answer(&mut BufReader::new(stream))
}

/// Reads an answer and returns its status and its JSON body, or `Null` if the body is not JSON.
///
/// # Errors
/// If the connection ends or breaks before the answer is complete.
pub fn read_answer(read: &mut impl BufRead) -> io::Result<(u16, Value)> {
    let (first, _, body) = read_message(read)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let status =
        first.split(' ').nth(1).and_then(|status| status.parse().ok()).ok_or(io::ErrorKind::InvalidData)?;
    Ok((status, serde_json::from_slice(&body).unwrap_or(Value::Null)))
}

fn read_values(api: Api, body: &Value, answer: &mut Answer) {
    match api {
        Api::Platform => {
            answer.whole = body["entire"] == json!(true);
            for item in body["items"].as_array().into_iter().flatten() {
                let shard = item["slice"].as_u64().unwrap_or(u64::MAX) as u32;
                answer.values.push((shard, item["body"].as_str().unwrap_or("").to_string()));
            }
        }
        Api::Opensearch => {
            answer.whole = body["timed_out"] == json!(false);
            for hit in body["hits"]["hits"].as_array().into_iter().flatten() {
                if let Some((shard, value)) = hit["_id"].as_str().and_then(|id| id.split_once(':')) {
                    answer.values.push((shard.parse().unwrap_or(u32::MAX), value.to_string()));
                }
            }
        }
    }
}

/// Counts of the ends of queries of a class or group.
#[derive(Debug, Clone, Default, Serialize)]
pub struct EndCounts {
    /// Queries asked, retries included.
    pub asked: u64,
    /// Queries answered.
    pub answered: u64,
    /// Queries with a whole answer.
    pub whole: u64,
    /// Queries answered within the latency target.
    pub in_time: u64,
    /// Queries refused.
    pub refused: u64,
    /// Queries failed.
    pub failed: u64,
    /// Queries without an answer.
    pub lost: u64,
    /// Percentiles of the latency of answered queries, in milliseconds.
    pub latency_ms: BTreeMap<&'static str, f64>,
}

/// Creates a histogram of microseconds, up to ten minutes, with three significant digits.
pub fn histogram() -> Histogram<u32> {
    Histogram::new_with_max(600_000_000, 3).unwrap_or_else(|_| unreachable!("the bounds are valid"))
}

/// Shared counts of a run in progress.
#[derive(Default)]
pub struct LiveCounts {
    inner: Mutex<Inner>,
}

#[derive(Default)]
struct Inner {
    classes: BTreeMap<&'static str, (EndCounts, Option<Histogram<u32>>)>,
    groups: BTreeMap<&'static str, EndCounts>,
    ends: BTreeMap<String, End>,
    /// By second of the clock in which a query was first asked: the worth of all queries, and of those answered in
    /// time, by the first request or its retry.
    worth: BTreeMap<u64, [f64; 2]>,
}

impl LiveCounts {
    fn with_state<T>(&self, update: impl FnOnce(&mut Inner) -> T) -> T {
        update(&mut self.inner.lock().unwrap_or_else(std::sync::PoisonError::into_inner))
    }

    /// Counts the end of a query after `took` milliseconds.
    pub fn record_end(&self, query: &Query, end: End, took: f64) {
        let class = &CLASSES[query.class];
        self.with_state(|inner| {
            inner.ends.insert(query.id.clone(), end);
            let (of_class, latencies) = inner.classes.entry(class.name).or_default();
            if let End::Answered { .. } = end {
                let latencies = latencies.get_or_insert_with(histogram);
                latencies.saturating_record((took * 1000.0) as u64);
            }
            for ends in [of_class, inner.groups.entry(query.group).or_default()] {
                ends.asked += 1;
                match end {
                    End::Answered { whole } => {
                        ends.answered += 1;
                        ends.whole += u64::from(whole);
                        ends.in_time += u64::from(took <= class.aim);
                    }
                    End::Refused => ends.refused += 1,
                    End::Failed => ends.failed += 1,
                    End::Lost => ends.lost += 1,
                }
            }
        });
    }

    /// Adds the worth of a query, first asked at `asked`, and whether it was answered in time, retry included.
    pub fn record_worth(&self, query: &Query, asked: f64, in_time: bool) {
        let worth = CLASSES[query.class].worth;
        self.with_state(|inner| {
            let second = inner.worth.entry((asked / 1000.0) as u64).or_default();
            second[0] += worth;
            second[1] += if in_time { worth } else { 0.0 };
        });
    }

    /// Returns the worth asked for and the worth earned, by second of the clock.
    pub fn worth_by_second(&self) -> BTreeMap<u64, [f64; 2]> {
        self.with_state(|inner| inner.worth.clone())
    }

    /// Returns the counts by class and by group.
    pub fn totals(&self) -> (BTreeMap<&'static str, EndCounts>, BTreeMap<&'static str, EndCounts>) {
        self.with_state(|inner| {
            let class = |(name, (ends, latencies)): (&&'static str, &(EndCounts, Option<Histogram<u32>>))| {
                let mut ends = ends.clone();
                for (title, quantile) in [("p50", 0.5), ("p90", 0.9), ("p99", 0.99)] {
                    if let Some(latencies) = latencies {
                        ends.latency_ms.insert(title, latencies.value_at_quantile(quantile) as f64 / 1000.0);
                    }
                }
                (*name, ends)
            };
            (inner.classes.iter().map(class).collect(), inner.groups.clone())
        })
    }

    /// Returns the end of each query by its id.
    pub fn ends_by_query(&self) -> BTreeMap<String, End> {
        self.with_state(|inner| inner.ends.clone())
    }
}
