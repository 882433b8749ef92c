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

use super::roles::{Attend, Setup, Word};
use super::wire::{Count, Wire};
use super::{CLASS, DEADLINE_MS, TENANT};
use crate::clients::histogram;
use crate::stores::value;

/// The maximum size of a response body, in bytes.
const MOST_BODY: usize = 1 << 20;
/// How long a client waits after a refused or failed query.
const PAUSE: Duration = Duration::from_millis(50);

/// Counts of queries by their outcome.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub struct Ends {
    /// Queries sent.
    pub asked: u64,
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
    count: Count,
    ends: Cell<Ends>,
    latencies: RefCell<Histogram<u32>>,
    over: Cell<bool>,
}

impl Clients {
    fn change(&self, change: impl FnOnce(&mut Ends)) {
        let mut ends = self.ends.get();
        change(&mut ends);
        self.ends.set(ends);
    }

    /// Sends one query after the other to an aggregator over a persistent connection, until the run is over.
    async fn ask_on(self: Rc<Self>, to: SocketAddr, no: u64) {
        let mut random = fastrand::Rng::with_seed(mix(self.setup.seed ^ no << 32));
        let mut wire = None;
        for query in 0u64.. {
            if self.over.get() {
                return;
            }
            let id = format!("{no:x}-{query:x}-{:08x}", random.u32(..));
            let shards = random.choose_multiple(0..self.setup.asked, self.setup.queries.1);
            let asked = Instant::now();
            self.change(|ends| ends.asked += 1);
            let limit = Duration::from_secs_f64(DEADLINE_MS / 1000.0 + 1.0);
            match within(limit, self.ask(&mut wire, to, &id, &shards)).await {
                Ok((200, answer)) => {
                    let took = asked.elapsed().as_micros() as u64;
                    self.latencies.borrow_mut().saturating_record(took);
                    self.answered(&id, &answer);
                    continue;
                }
                Ok((429 | 503, _)) => self.change(|ends| ends.refused += 1),
                Ok(_) => self.change(|ends| ends.failed += 1),
                Err(_) => self.change(|ends| ends.lost += 1),
            }
            wire = None;
            Timer::after(PAUSE).await;
        }
    }

    /// Sends a query and returns the status and the body of its response.
    async fn ask(
        &self,
        wire: &mut Option<Wire>,
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
        let mut open = match wire.take() {
            Some(open) => open,
            None => Wire::new(
                TcpStream::connect(to).await?,
                MessageKind::Response(MOST_BODY),
                self.count.clone(),
            )?,
        };
        open.write(&request).await?;
        let answer = open.read().await?.ok_or(io::ErrorKind::UnexpectedEof)?;
        if answer.keep_alive {
            *wire = Some(open);
        }
        let status = answer.start.1.parse().map_err(|_| io::ErrorKind::InvalidData)?;
        Ok((status, serde_json::from_slice(&answer.body).unwrap_or(Value::Null)))
    }

    /// Checks an answer and counts it.
    fn answered(&self, id: &str, answer: &Value) {
        let items = answer["items"].as_array().map(Vec::as_slice).unwrap_or_default();
        let right = |item: &Value| {
            let part = format!("{id}.{}", item["slice"]);
            item["body"].as_str().is_some_and(|body| body == value(self.setup.seed, &part))
        };
        let whole = answer["entire"] == json!(true);
        self.change(|ends| {
            ends.whole += u64::from(whole);
            ends.partial += u64::from(!whole);
            ends.wrong +=
                u64::from(!items.iter().all(right) || (whole && items.len() != self.setup.queries.1));
            ends.parts += items.len() as u64;
        });
    }
}

/// Creates the clients. They start at the first `Begin`; each `Mark` reports their counts and resets the latencies.
pub fn start(setup: &Setup, executor: &Rc<LocalExecutor<'static>>) -> (Vec<SocketAddr>, Attend) {
    let clients = Rc::new(Clients {
        setup: setup.clone(),
        count: Count::default(),
        ends: Cell::default(),
        latencies: RefCell::new(histogram()),
        over: Cell::new(false),
    });
    let executor = executor.clone();
    let attend: Attend = Box::new(move |word| match word {
        Word::Begin(_) => {
            let mut no = 0;
            for to in &clients.setup.aggregators {
                for _ in 0..clients.setup.queries.0 {
                    no += 1;
                    executor.spawn(clients.clone().ask_on(*to, no)).detach();
                }
            }
            json!(true)
        }
        Word::Mark => {
            let latencies = clients.latencies.replace(histogram());
            let at = |quantile| latencies.value_at_quantile(quantile) as f64 / 1000.0;
            json!({"traffic": clients.count.get(), "ends": clients.ends.get(),
                "p50_ms": at(0.5), "p99_ms": at(0.99), "most_ms": latencies.max() as f64 / 1000.0})
        }
        Word::End => {
            clients.over.set(true);
            json!({"ends": clients.ends.get()})
        }
    });
    (Vec::new(), attend)
}
