//! The OpenSearch-style front: `POST /{index}/_search` and `_count`, where an index is a class.
//!
//! Answers carry `took`, `timed_out`, `_shards` and `hits`; errors carry `error.type`, `reason`, `root_cause` and
//! `status`. What is not spoken is refused by name.

pub mod merge;
pub mod search;
pub mod target;

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::Receiver;
use serde_json::json;

use crate::core::drive::{millis, Driver};
use crate::core::{FinalAnswer, InvalidQuery, PartRequest, QueryRequest};
use crate::http::door::Door;
use crate::http::inbox::Arrived;
use crate::http::parse::{Bad, Message};
use crate::http::server::{Handler, Local, Refused};
use crate::http::write::Response;
use crate::log;
use crate::transport::opensearch::carry;
use search::{Refusal, Search, Verb};

/// The longest opaque id or tenant that is taken in.
const MOST_NAME: usize = 128;
/// Advice to what is not taken up at all.
const REFUSED_WAIT: f64 = 500.0;

/// The front.
pub struct OpenSearch {
    driver: Rc<Driver>,
    door: Rc<Door>,
    last: Cell<u64>,
}

impl OpenSearch {
    /// A front before a driver, behind a door.
    pub fn new(driver: Rc<Driver>, door: Rc<Door>) -> Self {
        OpenSearch { driver, door, last: Cell::new(0) }
    }

    fn shards(&self) -> u32 {
        self.driver.shards().unwrap_or(1)
    }

    fn reject(&self, index: &str, Refusal(status, kind, why): Refusal) -> Response {
        self.driver.note_invalid_request(index);
        error(status, kind, &why)
    }

    fn ask(&self, search: &Search, arrived: &Arrived) -> Result<QueryRequest, Refusal> {
        let request = &arrived.message;
        let shards = search.shards.clone().unwrap_or_else(|| (0..self.shards()).collect());
        let weight = 1.0 / shards.len().max(1) as f64;
        self.last.set(self.last.get() + 1);
        let tenant = request.headers.get("x-tenant-id");
        for (name, text) in [("X-Opaque-Id", request.headers.get("x-opaque-id")), ("X-Tenant-Id", tenant)] {
            let sound = |text: &str| text.len() <= MOST_NAME && text.bytes().all(|b| b.is_ascii_graphic());
            if !text.is_none_or(sound) {
                let why = format!("{name} must be at most {MOST_NAME} visible characters");
                return Err(Refusal(400, "illegal_argument_exception", why));
            }
        }
        let keyed = self.driver.is_keyed(&search.index);
        let key = keyed.then(|| super::key(&request.headers)).transpose();
        let key = key.map_err(|why| Refusal(400, "illegal_argument_exception", why))?.map(Into::into);
        Ok(QueryRequest {
            id: request
                .headers
                .get("x-opaque-id")
                .map_or_else(|| format!("s{}", self.last.get()), str::to_string),
            class: search.index.clone(),
            tenant: tenant.map(str::to_string),
            timeout: search.timeout,
            queued: millis(arrived.waited()),
            is_retry: false,
            accepts_partial: search.partial,
            key,
            parts: shards
                .into_iter()
                .map(|shard| PartRequest { shard, weight, work_hint: None, key: None })
                .collect(),
            payload: carry(&search.for_shards(), &request.body).into(),
        })
    }
}

impl Handler for OpenSearch {
    fn handle(&self, arrived: Arrived, sooner: Receiver<Instant>) -> Local<Response> {
        let request = &arrived.message;
        let opaque = request.headers.get("x-opaque-id").map(str::to_string);
        let response = match (request.start.0.as_str(), request.start.1.as_str()) {
            ("GET", "/healthz") => crate::front::health(&self.door, &self.driver),
            ("GET", "/counters") => Response::text(200, &self.driver.counters().to_string()),
            ("GET" | "POST", path) => {
                let index = path.trim_start_matches('/').split(['/', '?']).next().unwrap_or("");
                let read = Search::read(request, self.shards());
                let asked = read.and_then(|search| self.ask(&search, &arrived).map(|ask| (search, ask)));
                match asked.map(|(search, ask)| (search, self.driver.submit(ask))) {
                    Ok((search, Ok(pending))) => {
                        let since = arrived.at;
                        let shards = search.shards.clone().unwrap_or_else(|| (0..self.shards()).collect());
                        return Box::pin(async move {
                            let verdict = pending.answer_before(sooner).await;
                            log::verdict(opaque.as_deref().unwrap_or("-"), &verdict);
                            let took = since.elapsed().as_millis() as u64;
                            echo(render(&verdict, &search, &shards, took), opaque)
                        });
                    }
                    Ok((search, Err(InvalidQuery::UnknownClass))) => {
                        let why = format!("no such index [{}]", search.index);
                        self.reject(index, Refusal(404, "index_not_found_exception", why))
                    }
                    Ok((_, Err(InvalidQuery::Malformed(why)))) => {
                        self.reject(index, Refusal(400, "illegal_argument_exception", why))
                    }
                    Err(refusal) => self.reject(index, refusal),
                }
            }
            (method, _) => {
                let why = format!("method [{method}] is not allowed; spoken are GET and POST");
                self.reject("", Refusal(405, "illegal_argument_exception", why)).with("Allow", "GET, POST")
            }
        };
        Box::pin(async move { echo(response, opaque) })
    }

    fn bad(&self, bad: Bad) -> Response {
        self.reject("", Refusal(bad.status(), "parsing_exception", bad.to_string()))
    }

    fn waits(&self, request: &Message) -> Option<Duration> {
        let search = Search::read(request, self.shards()).ok()?;
        self.driver.client_wait(&search.index, search.timeout)
    }

    fn refuse(&self, why: Refused) -> Response {
        back_off(error(503, "rejected_execution_exception", why.text()), REFUSED_WAIT)
    }
}

fn echo(response: Response, opaque: Option<String>) -> Response {
    match opaque {
        Some(id) => response.with("X-Opaque-Id", id),
        None => response,
    }
}

/// Advice in whole seconds, as this API's clients read it.
fn back_off(response: Response, millis: f64) -> Response {
    response.retry_after((millis / 1000.0).ceil() * 1000.0)
}

fn error(status: u16, kind: &str, why: &str) -> Response {
    let cause = json!({"type": kind, "reason": why});
    let body = json!({"error": {"root_cause": [cause], "type": kind, "reason": why}, "status": status});
    Response::new(status, "application/json; charset=UTF-8", body.to_string())
}

fn render(verdict: &FinalAnswer, search: &Search, shards: &[u32], took: u64) -> Response {
    let (whole, answers) = match verdict {
        FinalAnswer::Served { whole, answers, .. } => (*whole, answers),
        FinalAnswer::Refused { retry_after, cause } => {
            let why = format!("{cause}; asking again is harmless");
            return back_off(error(429, "rejected_execution_exception", &why), *retry_after);
        }
        FinalAnswer::Failed { retry_after, cause } => {
            let why = cause.to_string();
            return back_off(error(500, "search_phase_execution_exception", &why), *retry_after);
        }
    };
    let values = answers.iter().map(|answer| &answer.value[..]);
    let merged = match merge::merge(values, &search.order, search.from, search.size) {
        Ok(merged) => merged,
        Err(why) => return error(500, "search_phase_execution_exception", &why),
    };
    let missing = shards.iter().filter(|shard| answers.iter().all(|answer| answer.shard != **shard));
    let failures: Vec<_> = missing
        .map(|shard| {
            let reason =
                json!({"type": "timeout_exception", "reason": "its answer was not waited for any longer"});
            json!({"shard": shard, "index": search.index, "reason": reason})
        })
        .collect();
    let mut counts = json!({
        "total": shards.len(), "successful": answers.len(), "skipped": 0, "failed": failures.len(),
    });
    if !failures.is_empty() {
        counts["failures"] = failures.into();
    }
    if search.verb == Verb::Count {
        let body = json!({"count": merged.count(), "_shards": counts});
        return Response::new(200, "application/json; charset=UTF-8", body.to_string());
    }
    #[derive(serde::Serialize)]
    struct Answer {
        took: u64,
        timed_out: bool,
        _shards: serde_json::Value,
        hits: merge::Merged,
    }
    match serde_json::to_vec(&Answer { took, timed_out: !whole, _shards: counts, hits: merged }) {
        Ok(body) => Response::new(200, "application/json; charset=UTF-8", body),
        Err(why) => error(500, "search_phase_execution_exception", &why.to_string()),
    }
}
