//! Closed-loop clients of the scale run: each sends its next query once the last one is answered, which keeps the
//! number of parts in flight constant.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use async_io::Timer;
use async_net::TcpStream;
use hdrhistogram::Histogram;
use ironpaddle::hash::mix;
use ironpaddle::http::client::within;
use ironpaddle::http::parse::MessageKind;
use ironpaddle::http::write;
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};

use super::roles::{RoleCommand, RoleHandler, Setup};
use super::wire::{Connection, TrafficCounter};
use super::{CLASS, DEADLINE_MS, TENANT};
use crate::clients::histogram;
use crate::stores::value;

/// The maximum size of a response body, in bytes.
const MAX_BODY: usize = 1 << 20;
/// How long a client waits after a refused or failed query.
const PAUSE: Duration = Duration::from_millis(50);

/// Counts of queries by their outcome.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub struct QueryCounts {
    /// Queries sent.
    #[serde(rename = "asked")]
    pub sent: u64,
    /// Whole answers.
    pub whole: u64,
    /// Partial answers.
    pub partial: u64,
    /// Queries refused with status 429 or 503.
    pub refused: u64,
    /// Queries that ended with any other error status.
    pub failed: u64,
    /// Queries that received no response.
    pub lost: u64,
    /// Answers with a value that no run store returned, or whole answers that lack a part.
    pub wrong: u64,
    /// Parts contained in answers.
    pub parts: u64,
}

struct Clients {
    setup: Setup,
    traffic: TrafficCounter,
    counts: Cell<QueryCounts>,
    latencies: RefCell<Histogram<u32>>,
    stopped: Cell<bool>,
}

impl Clients {
    fn update(&self, change: impl FnOnce(&mut QueryCounts)) {
        let mut counts = self.counts.get();
        change(&mut counts);
        self.counts.set(counts);
    }

    /// Sends one query after the other to an aggregator over a persistent connection, until the run is over.
    async fn run_client(self: Rc<Self>, to: SocketAddr, no: u64) {
        let mut random = fastrand::Rng::with_seed(mix(self.setup.seed ^ no << 32));
        let mut connection = None;
        for query in 0u64.. {
            if self.stopped.get() {
                return;
            }
            let id = format!("{no:x}-{query:x}-{:08x}", random.u32(..));
            let shards = random.choose_multiple(0..self.setup.queried, self.setup.queries.1);
            let sent_at = Instant::now();
            self.update(|counts| counts.sent += 1);
            let limit = Duration::from_secs_f64(DEADLINE_MS / 1000.0 + 1.0);
            match within(limit, self.send_query(&mut connection, to, &id, &shards)).await {
                Ok((200, answer)) => {
                    let took = sent_at.elapsed().as_micros() as u64;
                    self.latencies.borrow_mut().saturating_record(took);
                    self.record_answer(&id, &answer);
                    continue;
                }
                Ok((429 | 503, _)) => self.update(|counts| counts.refused += 1),
                Ok(_) => self.update(|counts| counts.failed += 1),
                Err(_) => self.update(|counts| counts.lost += 1),
            }
            connection = None;
            Timer::after(PAUSE).await;
        }
    }

    /// Sends a query and returns the status and the body of its response.
    async fn send_query(
        &self,
        connection: &mut Option<Connection>,
        to: SocketAddr,
        id: &str,
        shards: &[usize],
    ) -> io::Result<(u16, Value)> {
        let share = 1.0 / shards.len() as f64;
        let parts: Vec<_> = shards.iter().map(|shard| json!({"slice": shard, "mass": share})).collect();
        let body = json!({"slices": parts, "filter": "c41e77d0"}).to_string();
        let wait = format!("{DEADLINE_MS}m");
        let headers = [
            ("X-Request-ID", id),
            ("X-Priority-Class", CLASS),
            ("X-Tenant-Id", TENANT),
            ("X-Timeout", &wait),
        ];
        let request =
            write::request("POST", &format!("/{CLASS}"), &to.to_string(), &headers, body.as_bytes());
        let mut open = match connection.take() {
            Some(open) => open,
            None => Connection::new(
                TcpStream::connect(to).await?,
                MessageKind::Response(MAX_BODY),
                self.traffic.clone(),
            )?,
        };
        open.write(&request).await?;
        let answer = open.read().await?.ok_or(io::ErrorKind::UnexpectedEof)?;
        if answer.keep_alive {
            *connection = Some(open);
        }
        let status = answer.start.1.parse().map_err(|_| io::ErrorKind::InvalidData)?;
        Ok((status, serde_json::from_slice(&answer.body).unwrap_or(Value::Null)))
    }

    /// Checks an answer and counts it.
    fn record_answer(&self, id: &str, answer: &Value) {
        let items = answer["items"].as_array().map(Vec::as_slice).unwrap_or_default();
        let is_correct = |item: &Value| {
            let part = format!("{id}.{}", item["slice"]);
            item["body"].as_str().is_some_and(|body| body == value(self.setup.seed, &part))
        };
        let whole = answer["entire"] == json!(true);
        self.update(|counts| {
            counts.whole += u64::from(whole);
            counts.partial += u64::from(!whole);
            counts.wrong +=
                u64::from(!items.iter().all(is_correct) || (whole && items.len() != self.setup.queries.1));
            counts.parts += items.len() as u64;
        });
    }
}

/// Creates the clients. They start at the first `Begin`; each `Report` returns their counts and resets the latencies.
pub fn start(setup: &Setup, executor: &Rc<LocalExecutor<'static>>) -> (Vec<SocketAddr>, RoleHandler) {
    let clients = Rc::new(Clients {
        setup: setup.clone(),
        traffic: TrafficCounter::default(),
        counts: Cell::default(),
        latencies: RefCell::new(histogram()),
        stopped: Cell::new(false),
    });
    let executor = executor.clone();
    let handler: RoleHandler = Box::new(move |command| match command {
        RoleCommand::Begin(_) => {
            let mut no = 0;
            for to in &clients.setup.aggregators {
                for _ in 0..clients.setup.queries.0 {
                    no += 1;
                    executor.spawn(clients.clone().run_client(*to, no)).detach();
                }
            }
            json!(true)
        }
        RoleCommand::Report => {
            let latencies = clients.latencies.replace(histogram());
            let at = |quantile| latencies.value_at_quantile(quantile) as f64 / 1000.0;
            json!({"traffic": clients.traffic.get(), "ends": clients.counts.get(),
                "p50_ms": at(0.5), "p99_ms": at(0.99), "most_ms": latencies.max() as f64 / 1000.0})
        }
        RoleCommand::End => {
            clients.stopped.set(true);
            json!({"ends": clients.counts.get()})
        }
    });
    (Vec::new(), handler)
}
