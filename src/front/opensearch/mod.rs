//! The OpenSearch-style front: `/{index}/_search` and `/{index}/_count`, where an index is a query class.
//!
//! Answers carry `took`, `timed_out`, `_shards` and `hits`; errors carry `error.type`, `error.reason`,
//! `error.root_cause` and `status`. The error for an unsupported parameter or body key names it.

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
use crate::http::client_gate::ClientGate;
use crate::http::inbox::ReceivedRequest;
use crate::http::parse::{Message, MessageError};
use crate::http::server::{Handler, LocalBoxFuture, RefusalReason};
use crate::http::write::Response;
use crate::log;
use crate::transport::opensearch::encode_part_text;
use search::{Operation, RequestError, Search};

/// The longest accepted opaque id or tenant, in bytes.
const MAX_NAME_BYTES: usize = 128;
/// The `Retry-After` of a request that is refused before it is read, in milliseconds.
const REFUSED_RETRY_AFTER_MS: f64 = 500.0;

/// The OpenSearch-style front.
pub struct OpenSearch {
    driver: Rc<Driver>,
    client_gate: Rc<ClientGate>,
    /// The number of the last query, from which an id is made for queries without `X-Opaque-Id`.
    last_query_no: Cell<u64>,
}

impl OpenSearch {
    /// Creates a front that passes queries to `driver` and reports the state of `client_gate` in its health check.
    pub fn new(driver: Rc<Driver>, client_gate: Rc<ClientGate>) -> Self {
        OpenSearch { driver, client_gate, last_query_no: Cell::new(0) }
    }

    /// Returns the total number of shards.
    fn shards(&self) -> u32 {
        self.driver.shards().unwrap_or(1)
    }

    /// Counts a request that cannot be used and returns the error for it.
    fn reject(&self, index: &str, RequestError(status, error_type, reason): RequestError) -> Response {
        self.driver.note_invalid_request(index);
        error(status, error_type, &reason)
    }

    /// Builds the query for the core from a search and its request.
    fn build_query(&self, search: &Search, arrived: &ReceivedRequest) -> Result<QueryRequest, RequestError> {
        let request = &arrived.message;
        let shards = search.shards.clone().unwrap_or_else(|| (0..self.shards()).collect());
        let weight = 1.0 / shards.len().max(1) as f64;
        self.last_query_no.set(self.last_query_no.get() + 1);
        let tenant = request.headers.get("x-tenant-id");
        for (name, text) in [("X-Opaque-Id", request.headers.get("x-opaque-id")), ("X-Tenant-Id", tenant)] {
            let is_valid =
                |text: &str| text.len() <= MAX_NAME_BYTES && text.bytes().all(|b| b.is_ascii_graphic());
            if !text.is_none_or(is_valid) {
                let reason = format!("{name} must be at most {MAX_NAME_BYTES} visible characters");
                return Err(RequestError(400, "illegal_argument_exception", reason));
            }
        }
        let keyed = self.driver.is_keyed(&search.index);
        let key = keyed.then(|| super::idempotency_key(&request.headers)).transpose();
        let key =
            key.map_err(|reason| RequestError(400, "illegal_argument_exception", reason))?.map(Into::into);
        Ok(QueryRequest {
            id: request
                .headers
                .get("x-opaque-id")
                .map_or_else(|| format!("s{}", self.last_query_no.get()), str::to_string),
            // Run stores match answers to searches by their connections.
            unique_id: false,
            class: search.index.clone(),
            tenant: tenant.map(str::to_string),
            timeout: search.timeout,
            queued: millis(arrived.waited()),
            is_retry: false,
            accepts_partial: search.allow_partial,
            key,
            parts: shards
                .into_iter()
                .map(|shard| PartRequest { shard, weight, work_hint: None, key: None })
                .collect(),
            payload: encode_part_text(&search.shard_parameters(), &request.body).into(),
        })
    }
}

impl Handler for OpenSearch {
    fn handle(
        &self,
        arrived: ReceivedRequest,
        earlier_deadline: Receiver<Instant>,
    ) -> LocalBoxFuture<Response> {
        let request = &arrived.message;
        let opaque_id = request.headers.get("x-opaque-id").map(str::to_string);
        let response = match (request.start.0.as_str(), request.start.1.as_str()) {
            ("GET", "/healthz") => crate::front::health(&self.client_gate, &self.driver),
            ("GET", "/counters") => Response::text(200, &self.driver.counters().to_string()),
            ("GET" | "POST", path) => {
                let index = path.trim_start_matches('/').split(['/', '?']).next().unwrap_or("");
                let parsed = Search::parse(request, self.shards());
                let query = parsed
                    .and_then(|search| self.build_query(&search, &arrived).map(|query| (search, query)));
                match query.map(|(search, query)| (search, self.driver.submit(query))) {
                    Ok((search, Ok(pending))) => {
                        let arrived_at = arrived.received_at;
                        let shards = search.shards.clone().unwrap_or_else(|| (0..self.shards()).collect());
                        return Box::pin(async move {
                            let final_answer = pending.answer_before(earlier_deadline).await;
                            log::query_ended(opaque_id.as_deref().unwrap_or("-"), &final_answer);
                            let took = arrived_at.elapsed().as_millis() as u64;
                            with_opaque_id(to_response(&final_answer, &search, &shards, took), opaque_id)
                        });
                    }
                    Ok((search, Err(InvalidQuery::UnknownClass))) => {
                        let reason = format!("no such index [{}]", search.index);
                        self.reject(index, RequestError(404, "index_not_found_exception", reason))
                    }
                    Ok((_, Err(InvalidQuery::IdInUse))) => {
                        let reason = "another search has or had this id".to_string();
                        self.reject(index, RequestError(409, "version_conflict_engine_exception", reason))
                    }
                    Ok((_, Err(InvalidQuery::Malformed(reason)))) => {
                        self.reject(index, RequestError(400, "illegal_argument_exception", reason))
                    }
                    Err(refusal) => self.reject(index, refusal),
                }
            }
            (method, _) => {
                let reason = format!("method [{method}] is not allowed; supported are GET and POST");
                self.reject("", RequestError(405, "illegal_argument_exception", reason))
                    .with("Allow", "GET, POST")
            }
        };
        Box::pin(async move { with_opaque_id(response, opaque_id) })
    }

    fn error_response(&self, bad: MessageError) -> Response {
        self.reject("", RequestError(bad.status(), "parsing_exception", bad.to_string()))
    }

    fn client_timeout(&self, request: &Message) -> Option<Duration> {
        let search = Search::parse(request, self.shards()).ok()?;
        self.driver.client_wait(&search.index, search.timeout)
    }

    fn refuse(&self, reason: RefusalReason) -> Response {
        with_retry_after(error(503, "rejected_execution_exception", reason.text()), REFUSED_RETRY_AFTER_MS)
    }
}

/// Returns the client's `X-Opaque-Id` to it.
fn with_opaque_id(response: Response, opaque_id: Option<String>) -> Response {
    match opaque_id {
        Some(id) => response.with("X-Opaque-Id", id),
        None => response,
    }
}

/// Adds `Retry-After`, rounded up to whole seconds, as clients of this API expect.
fn with_retry_after(response: Response, millis: f64) -> Response {
    response.retry_after((millis / 1000.0).ceil() * 1000.0)
}

/// Builds an error response in the format of OpenSearch.
fn error(status: u16, error_type: &str, reason: &str) -> Response {
    let cause = json!({"type": error_type, "reason": reason});
    let body =
        json!({"error": {"root_cause": [cause], "type": error_type, "reason": reason}, "status": status});
    Response::new(status, "application/json; charset=UTF-8", body.to_string())
}

/// Translates a final answer into an HTTP response.
fn to_response(final_answer: &FinalAnswer, search: &Search, shards: &[u32], took: u64) -> Response {
    let (whole, answers) = match final_answer {
        FinalAnswer::Served { whole, answers, .. } => (*whole, answers),
        FinalAnswer::Refused { retry_after, cause } => {
            let reason = format!("{cause}; safe to retry");
            return with_retry_after(error(429, "rejected_execution_exception", &reason), *retry_after);
        }
        FinalAnswer::Failed { retry_after, cause } => {
            let reason = cause.to_string();
            return with_retry_after(error(500, "search_phase_execution_exception", &reason), *retry_after);
        }
    };
    let values = answers.iter().map(|answer| &answer.value[..]);
    let merged = match merge::merge(values, &search.order, search.from, search.size) {
        Ok(merged) => merged,
        Err(reason) => return error(500, "search_phase_execution_exception", &reason),
    };
    let missing = shards.iter().filter(|shard| answers.iter().all(|answer| answer.shard != **shard));
    let failures: Vec<_> = missing
        .map(|shard| {
            let reason = json!({"type": "timeout_exception", "reason": "the shard did not answer in time"});
            json!({"shard": shard, "index": search.index, "reason": reason})
        })
        .collect();
    let mut counts = json!({
        "total": shards.len(), "successful": answers.len(), "skipped": 0, "failed": failures.len(),
    });
    if !failures.is_empty() {
        counts["failures"] = failures.into();
    }
    if search.operation == Operation::Count {
        let body = json!({"count": merged.count(), "_shards": counts});
        return Response::new(200, "application/json; charset=UTF-8", body.to_string());
    }
    #[derive(serde::Serialize)]
    struct Answer {
        took: u64,
        timed_out: bool,
        _shards: serde_json::Value,
        hits: merge::MergedHits,
    }
    match serde_json::to_vec(&Answer { took, timed_out: !whole, _shards: counts, hits: merged }) {
        Ok(body) => Response::new(200, "application/json; charset=UTF-8", body),
        Err(reason) => error(500, "search_phase_execution_exception", &reason.to_string()),
    }
}
