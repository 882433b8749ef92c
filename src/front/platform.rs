//! The front for the platform's own protocol, which translates between HTTP and the core's types.

use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::Receiver;
use serde::{Deserialize, Serialize};

use crate::core::drive::{millis, Driver, PendingQuery};
use crate::core::{FinalAnswer, InvalidQuery, PartRequest, QueryRequest};
use crate::handover::PeerSender;
use crate::http::client_gate::ClientGate;
use crate::http::inbox::ReceivedRequest;
use crate::http::parse::{Message, MessageError};
use crate::http::server::{Handler, LocalBoxFuture, RefusalReason};
use crate::http::write::Response;
use crate::log;
use crate::query_ids::IdHash;

/// The longest accepted id, tenant or term, in bytes.
const MAX_NAME_BYTES: usize = 128;
/// The `Retry-After` of a request that is refused before it is read, in milliseconds.
const REFUSED_RETRY_AFTER_MS: f64 = 500.0;

/// The JSON body of a query.
#[derive(Deserialize)]
struct Body {
    slices: Vec<Slice>,
    #[serde(default)]
    filter: String,
}

/// One part of a query, as the client names it.
#[derive(Deserialize)]
struct Slice {
    slice: u32,
    mass: f64,
    #[serde(default)]
    micros: Option<f64>,
    #[serde(default)]
    term: Option<String>,
}

/// The JSON body of an answer.
#[derive(Serialize)]
struct Answer<'a> {
    entire: bool,
    items: Vec<Item<'a>>,
}

/// The answer to one part.
#[derive(Serialize)]
struct Item<'a> {
    slice: u32,
    body: std::borrow::Cow<'a, str>,
}

/// The front for the platform's own protocol.
pub struct Platform {
    driver: Rc<Driver>,
    client_gate: Rc<ClientGate>,
    peer: Rc<PeerSender>,
}

impl Platform {
    /// Creates a front that passes queries to `driver`, reports the state of `client_gate` in its health check, and tells
    /// the other process of an upgrade of the ids of queries.
    pub fn new(driver: Rc<Driver>, client_gate: Rc<ClientGate>, peer: Rc<PeerSender>) -> Self {
        Platform { driver, client_gate, peer }
    }

    /// Reads a query and passes it to the core. Returns its id with it.
    fn start_query(&self, request: &ReceivedRequest, path: &str) -> Result<(String, PendingQuery), Response> {
        let class = class_of(path);
        let query = read_query(request, class, self.driver.is_keyed(class))
            .map_err(|why| self.reject(class, 400, &why))?;
        let id = query.id.clone();
        match self.driver.submit(query) {
            Ok(pending) => {
                self.peer.send_query_id(IdHash::of(&id));
                Ok((id, pending))
            }
            Err(InvalidQuery::IdInUse) => {
                Err(self.reject(class, 409, "another query has or had this X-Request-ID"))
            }
            Err(InvalidQuery::UnknownClass) => Err(self.reject(class, 404, "unknown class")),
            Err(InvalidQuery::Malformed(why)) => Err(self.reject(class, 400, &why)),
        }
    }

    /// Counts a request that cannot be used and returns the error for it.
    fn reject(&self, class: &str, status: u16, why: &str) -> Response {
        self.driver.note_invalid_request(class);
        Response::text(status, why)
    }
}

impl Handler for Platform {
    fn handle(
        &self,
        request: ReceivedRequest,
        earlier_deadline: Receiver<Instant>,
    ) -> LocalBoxFuture<Response> {
        let start = &request.message.start;
        let path = path_of(&request.message);
        let response = match (start.0.as_str(), path) {
            ("GET", "/healthz") => super::health(&self.client_gate, &self.driver),
            ("GET", "/counters") => Response::text(200, &self.driver.counters().to_string()),
            ("POST", _) => match self.start_query(&request, path) {
                Ok((id, pending)) => {
                    return Box::pin(async move {
                        let final_answer = pending.answer_before(earlier_deadline).await;
                        log::query_ended(&id, &final_answer);
                        to_response(&final_answer)
                    })
                }
                Err(response) => response,
            },
            _ => self.reject("", 405, "method not allowed: send queries with POST").with("Allow", "POST"),
        };
        Box::pin(async move { response })
    }

    fn error_response(&self, bad: MessageError) -> Response {
        self.reject("", bad.status(), &bad.to_string())
    }

    fn client_timeout(&self, request: &Message) -> Option<Duration> {
        let requested = request.headers.get("x-timeout").and_then(|text| parse_timeout(text).ok());
        self.driver.client_wait(class_of(path_of(request)), requested)
    }

    fn refuse(&self, why: RefusalReason) -> Response {
        Response::text(503, why.text()).retry_after(REFUSED_RETRY_AFTER_MS)
    }
}

/// Returns the path of a request's target, without its query string.
fn path_of(request: &Message) -> &str {
    request.start.1.split('?').next().unwrap_or("")
}

/// Returns the class of a query, which is the first segment of its path.
fn class_of(path: &str) -> &str {
    path.trim_start_matches('/').split('/').next().unwrap_or("")
}

/// Reads a query from its request.
fn read_query(arrived: &ReceivedRequest, path_class: &str, keyed: bool) -> Result<QueryRequest, String> {
    let request = &arrived.message;
    let header = |name: &str| request.headers.get(name);
    let class = header("x-priority-class").unwrap_or(path_class);
    if class != path_class {
        return Err("X-Priority-Class and the path name different classes".into());
    }
    let id = header("x-request-id").ok_or("X-Request-ID is missing")?;
    let tenant = header("x-tenant-id");
    // Ids are sent in frames, where a blank or a line break would end them.
    for (name, text) in [("X-Request-ID", id), ("X-Tenant-Id", tenant.unwrap_or("-"))] {
        if text.is_empty() || text.len() > MAX_NAME_BYTES || !text.bytes().all(|b| b.is_ascii_graphic()) {
            return Err(format!("{name} must be 1 to {MAX_NAME_BYTES} visible characters"));
        }
    }
    let timeout = header("x-timeout").map(parse_timeout).transpose()?;
    let body: Body =
        serde_json::from_slice(&request.body).map_err(|error| format!("invalid body: {error}"))?;
    let is_valid_hint = |slice: &Slice| slice.micros.is_none_or(|micros| micros.is_finite() && micros >= 0.0);
    let is_valid_term = |slice: &Slice| slice.term.as_ref().is_none_or(|term| term.len() <= MAX_NAME_BYTES);
    if !body.slices.iter().all(|slice| is_valid_hint(slice) && is_valid_term(slice)) {
        return Err(format!(
            "micros must be finite and not negative, and a term at most {MAX_NAME_BYTES} bytes long"
        ));
    }
    let part = |slice: Slice| PartRequest {
        shard: slice.slice,
        weight: slice.mass,
        work_hint: slice.micros.map(|micros| micros / 1000.0),
        key: slice.term.map(Into::into),
    };
    Ok(QueryRequest {
        id: id.to_string(),
        unique_id: true,
        class: class.to_string(),
        tenant: tenant.map(str::to_string),
        timeout,
        queued: millis(arrived.waited()),
        is_retry: header("x-retried") == Some("1"),
        accepts_partial: true,
        key: keyed.then(|| super::idempotency_key(&request.headers)).transpose()?.map(Into::into),
        parts: body.slices.into_iter().map(part).collect(),
        payload: body.filter.into_bytes().into(),
    })
}

/// Parses the value of `X-Timeout`, a number with a unit (`m` for milliseconds, `u` for microseconds), into
/// milliseconds.
fn parse_timeout(text: &str) -> Result<f64, String> {
    let (scale, digits) = match text.as_bytes().last() {
        Some(b'm') => (1.0, &text[..text.len() - 1]),
        Some(b'u') => (0.001, &text[..text.len() - 1]),
        _ => return Err("X-Timeout needs a unit: m (milliseconds) or u (microseconds)".into()),
    };
    let number = digits.parse::<f64>().ok().filter(|number| number.is_finite() && *number >= 0.0);
    number
        .map(|number| number * scale)
        .ok_or_else(|| "X-Timeout must be a number that is not negative, followed by its unit".into())
}

/// Translates a final answer into an HTTP response.
fn to_response(final_answer: &FinalAnswer) -> Response {
    match final_answer {
        FinalAnswer::Served { whole, answers, .. } => {
            let item = |answer: &'_ crate::core::PartAnswer| (answer.shard, answer.value.clone());
            let values: Vec<_> = answers.iter().map(item).collect();
            let items = values.iter();
            let items =
                items.map(|(slice, value)| Item { slice: *slice, body: String::from_utf8_lossy(value) });
            let answer = Answer { entire: *whole, items: items.collect() };
            match serde_json::to_vec(&answer) {
                Ok(body) => Response::new(200, "application/json", body),
                Err(error) => Response::text(500, &error.to_string()),
            }
        }
        FinalAnswer::Refused { retry_after, cause } => {
            let why = format!("refused, safe to retry: {cause}");
            Response::text(503, &why).retry_after(*retry_after)
        }
        FinalAnswer::Failed { retry_after, cause } => {
            Response::text(500, &format!("failed: {cause}")).retry_after(*retry_after)
        }
    }
}
