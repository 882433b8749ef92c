//! The platform's own protocol: a thin translation between HTTP requests and the core's types.

use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::Receiver;
use serde::{Deserialize, Serialize};

use crate::core::drive::{millis, Driver, Pending};
use crate::core::{FinalAnswer, InvalidQuery, PartRequest, QueryRequest};
use crate::http::door::Door;
use crate::http::inbox::Arrived;
use crate::http::parse::{Bad, Message};
use crate::http::server::{Handler, Local, Refused};
use crate::http::write::Response;
use crate::log;

/// The longest id, class or tenant that is taken in.
const MOST_NAME: usize = 128;
/// Advice to what is not taken up at all.
const REFUSED_WAIT: f64 = 500.0;

#[derive(Deserialize)]
struct Body {
    slices: Vec<Slice>,
    #[serde(default)]
    filter: String,
}

#[derive(Deserialize)]
struct Slice {
    slice: u32,
    mass: f64,
    #[serde(default)]
    micros: Option<f64>,
    #[serde(default)]
    term: Option<String>,
}

#[derive(Serialize)]
struct Answer<'a> {
    entire: bool,
    items: Vec<Item<'a>>,
}

#[derive(Serialize)]
struct Item<'a> {
    slice: u32,
    body: std::borrow::Cow<'a, str>,
}

/// The platform's front.
pub struct Platform {
    driver: Rc<Driver>,
    door: Rc<Door>,
    /// Ids of queries that are held: part ids on the wire are made from them and must not meet.
    held: Rc<RefCell<HashSet<String>>>,
}

/// An id that is held, until this is dropped.
struct Held {
    id: String,
    all: Rc<RefCell<HashSet<String>>>,
}

impl Drop for Held {
    fn drop(&mut self) {
        self.all.borrow_mut().remove(&self.id);
    }
}

impl Platform {
    /// A front before a driver, behind a door.
    pub fn new(driver: Rc<Driver>, door: Rc<Door>) -> Self {
        Platform { driver, door, held: Rc::default() }
    }

    fn query(&self, request: &Arrived, path: &str) -> Result<(Held, Pending), Response> {
        let class = class_of(path);
        let ask =
            read(request, class, self.driver.is_keyed(class)).map_err(|why| self.reject(class, 400, &why))?;
        if !self.held.borrow_mut().insert(ask.id.clone()) {
            return Err(self.reject(class, 409, "a query of this X-Request-ID is being answered"));
        }
        let held = Held { id: ask.id.clone(), all: self.held.clone() };
        match self.driver.submit(ask) {
            Ok(pending) => Ok((held, pending)),
            Err(InvalidQuery::UnknownClass) => Err(self.reject(class, 404, "no such class")),
            Err(InvalidQuery::Malformed(why)) => Err(self.reject(class, 400, &why)),
        }
    }

    fn reject(&self, class: &str, status: u16, why: &str) -> Response {
        self.driver.note_invalid_request(class);
        Response::text(status, why)
    }
}

impl Handler for Platform {
    fn handle(&self, request: Arrived, sooner: Receiver<Instant>) -> Local<Response> {
        let start = &request.message.start;
        let path = path_of(&request.message);
        let response = match (start.0.as_str(), path) {
            ("GET", "/healthz") => super::health(&self.door, &self.driver),
            ("GET", "/counters") => Response::text(200, &self.driver.counters().to_string()),
            ("POST", _) => match self.query(&request, path) {
                Ok((held, pending)) => {
                    return Box::pin(async move {
                        let verdict = pending.answer_before(sooner).await;
                        log::verdict(&held.id, &verdict);
                        let response = render(&verdict);
                        drop(held);
                        response
                    })
                }
                Err(response) => response,
            },
            _ => self.reject("", 405, "queries are POST requests").with("Allow", "POST"),
        };
        Box::pin(async move { response })
    }

    fn bad(&self, bad: Bad) -> Response {
        self.reject("", bad.status(), &bad.to_string())
    }

    fn waits(&self, request: &Message) -> Option<Duration> {
        let stated = request.headers.get("x-timeout").and_then(|text| timeout(text).ok());
        self.driver.client_wait(class_of(path_of(request)), stated)
    }

    fn refuse(&self, why: Refused) -> Response {
        Response::text(503, why.text()).retry_after(REFUSED_WAIT)
    }
}

/// The path of a request's target.
fn path_of(request: &Message) -> &str {
    request.start.1.split('?').next().unwrap_or("")
}

/// The class, which is the first part of a path.
fn class_of(path: &str) -> &str {
    path.trim_start_matches('/').split('/').next().unwrap_or("")
}

fn read(arrived: &Arrived, in_path: &str, keyed: bool) -> Result<QueryRequest, String> {
    let request = &arrived.message;
    let header = |name: &str| request.headers.get(name);
    let class = header("x-priority-class").unwrap_or(in_path);
    if class != in_path {
        return Err("X-Priority-Class and the path name different classes".into());
    }
    let id = header("x-request-id").ok_or("X-Request-ID is missing")?;
    let tenant = header("x-tenant-id");
    // Ids go into frames, where a blank or a line end would end them.
    for (name, text) in [("X-Request-ID", id), ("X-Tenant-Id", tenant.unwrap_or("-"))] {
        if text.is_empty() || text.len() > MOST_NAME || !text.bytes().all(|b| b.is_ascii_graphic()) {
            return Err(format!("{name} must be 1 to {MOST_NAME} visible characters"));
        }
    }
    let timeout = header("x-timeout").map(timeout).transpose()?;
    let body: Body = serde_json::from_slice(&request.body).map_err(|error| format!("the body: {error}"))?;
    let hint = |slice: &Slice| slice.micros.is_none_or(|micros| micros.is_finite() && micros >= 0.0);
    let term = |slice: &Slice| slice.term.as_ref().is_none_or(|term| term.len() <= MOST_NAME);
    if !body.slices.iter().all(|slice| hint(slice) && term(slice)) {
        return Err("micros must not be negative, and a term is 16 hex digits".into());
    }
    let part = |slice: Slice| PartRequest {
        shard: slice.slice,
        weight: slice.mass,
        work_hint: slice.micros.map(|micros| micros / 1000.0),
        key: slice.term.map(Into::into),
    };
    Ok(QueryRequest {
        id: id.to_string(),
        class: class.to_string(),
        tenant: tenant.map(str::to_string),
        timeout,
        queued: millis(arrived.waited()),
        is_retry: header("x-retried") == Some("1"),
        accepts_partial: true,
        key: keyed.then(|| super::key(&request.headers)).transpose()?.map(Into::into),
        parts: body.slices.into_iter().map(part).collect(),
        payload: body.filter.into_bytes().into(),
    })
}

/// A number and its unit, in milliseconds.
fn timeout(text: &str) -> Result<f64, String> {
    let (scale, digits) = match text.as_bytes().last() {
        Some(b'm') => (1.0, &text[..text.len() - 1]),
        Some(b'u') => (0.001, &text[..text.len() - 1]),
        _ => return Err("X-Timeout needs a unit, m or u".into()),
    };
    let number = digits.parse::<f64>().ok().filter(|number| number.is_finite() && *number >= 0.0);
    number.map(|number| number * scale).ok_or_else(|| "X-Timeout is not a number and a unit".into())
}

fn render(verdict: &FinalAnswer) -> Response {
    match verdict {
        FinalAnswer::Served { whole, answers, .. } => {
            let item = |answer: &'_ crate::core::PartAnswer| (answer.shard, answer.value.clone());
            let kept: Vec<_> = answers.iter().map(item).collect();
            let items = kept.iter();
            let items =
                items.map(|(slice, value)| Item { slice: *slice, body: String::from_utf8_lossy(value) });
            let answer = Answer { entire: *whole, items: items.collect() };
            match serde_json::to_vec(&answer) {
                Ok(body) => Response::new(200, "application/json", body),
                Err(error) => Response::text(500, &error.to_string()),
            }
        }
        FinalAnswer::Refused { retry_after, cause } => {
            let why = format!("refused, trying again is harmless: {cause}");
            Response::text(503, &why).retry_after(*retry_after)
        }
        FinalAnswer::Failed { retry_after, cause } => {
            Response::text(500, &format!("failed: {cause}")).retry_after(*retry_after)
        }
    }
}
