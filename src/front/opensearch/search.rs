//! Parses a search request into the few values that the aggregator uses.
//!
//! Features whose results cannot be merged from independently queried shards are refused with an error that names
//! them, as their answers would be wrong.

use serde::de::IgnoredAny;
use serde::Deserialize;
use serde_json::Value;
use std::collections::BTreeMap;

use super::merge::Order;
use super::target::{routed, time};
use crate::api::Millis;
use crate::http::parse::Message;
use crate::http::target::Target;

/// The number of hits that a search returns by default.
const USUAL_SIZE: usize = 10;
/// The largest allowed `from + size`.
const MOST_HITS: usize = 10_000;
/// Body keys that every shard can apply by itself, so that they are forwarded unchanged.
const PASSED_ON: &[&str] = &[
    "query",
    "_source",
    "track_total_hits",
    "track_scores",
    "stored_fields",
    "docvalue_fields",
    "fields",
    "min_score",
    "search_after",
    "explain",
    "version",
    "seq_no_primary_term",
    "highlight",
    "post_filter",
];

/// The operation that a request asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verb {
    /// `_search`: return hits.
    Search,
    /// `_count`: return only the number of hits.
    Count,
}

/// A parsed search or count request.
#[derive(Debug, Clone, PartialEq)]
pub struct Search {
    /// The operation.
    pub verb: Verb,
    /// The index, which is the name of the query class.
    pub index: String,
    /// The shards to query; `None` for all.
    pub shards: Option<Vec<u32>>,
    /// The time-out that the client requests.
    pub timeout: Option<Millis>,
    /// Whether a partial answer is acceptable.
    pub partial: bool,
    /// The position of the first hit to return.
    pub from: usize,
    /// The number of hits to return.
    pub size: usize,
    /// The order of hits.
    pub order: Order,
}

/// The error for a request that is malformed or not supported: HTTP status, `error.type` and `error.reason`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal(pub u16, pub &'static str, pub String);

fn illegal(why: impl Into<String>) -> Refusal {
    Refusal(400, "illegal_argument_exception", why.into())
}

#[derive(Deserialize)]
struct Body {
    size: Option<usize>,
    from: Option<usize>,
    timeout: Option<String>,
    sort: Option<Value>,
    /// All other keys, which are forwarded unchanged or refused.
    #[serde(flatten)]
    others: BTreeMap<String, IgnoredAny>,
}

impl Search {
    /// Parses a request; `shards` is the total number of shards.
    ///
    /// # Errors
    /// Returns an error that names what is malformed or not supported.
    pub fn read(request: &Message, shards: u32) -> Result<Self, Refusal> {
        let target = Target::read(&request.start.1).ok_or_else(|| illegal("the target is malformed"))?;
        let (index, verb) = match target.path.as_slice() {
            [index, verb] if verb == "_search" => (index.clone(), Verb::Search),
            [index, verb] if verb == "_count" => (index.clone(), Verb::Count),
            _ => {
                let why = format!(
                    "no handler found for uri [{}]; supported are /{{index}}/_search and /{{index}}/_count",
                    request.start.1
                );
                return Err(Refusal(404, "illegal_argument_exception", why));
            }
        };
        if index.contains([',', '*']) || index.starts_with('_') {
            return Err(illegal(
                "exactly one index must be named; lists and patterns of indices are not supported",
            ));
        }
        let mut search = Search {
            verb,
            index,
            shards: None,
            timeout: None,
            partial: true,
            from: 0,
            size: USUAL_SIZE,
            order: Order::default(),
        };
        search.body(&request.body)?;
        for (name, value) in &target.parameters {
            search.parameter(name, value, shards)?;
        }
        if search.from.saturating_add(search.size) > MOST_HITS {
            return Err(illegal(format!("from + size must be at most {MOST_HITS}")));
        }
        Ok(search)
    }

    fn body(&mut self, bytes: &[u8]) -> Result<(), Refusal> {
        if bytes.iter().all(u8::is_ascii_whitespace) {
            return Ok(());
        }
        let parsing = |why: String| Refusal(400, "parsing_exception", why);
        let body: Body = serde_json::from_slice(bytes).map_err(|error| parsing(error.to_string()))?;
        if let Some(key) = body.others.keys().find(|key| !PASSED_ON.contains(&key.as_str())) {
            return Err(parsing(format!("key [{key}] is not supported, as shards are queried one by one")));
        }
        let paged =
            body.size.is_some() || body.from.is_some() || body.timeout.is_some() || body.sort.is_some();
        if self.verb == Verb::Count && (paged || body.others.keys().any(|key| key != "query")) {
            return Err(parsing("the only key supported for a count is [query]".into()));
        }
        self.size = body.size.unwrap_or(self.size);
        self.from = body.from.unwrap_or(self.from);
        if let Some(text) = body.timeout {
            self.timeout = Some(time(&text).ok_or_else(|| illegal("[timeout] needs a number and a unit"))?);
        }
        if let Some(sort) = body.sort {
            self.order = Order::read(&sort).ok_or_else(|| parsing("[sort] is malformed".into()))?;
        }
        Ok(())
    }

    fn parameter(&mut self, name: &str, value: &str, shards: u32) -> Result<(), Refusal> {
        let number = || value.parse().map_err(|_| illegal(format!("[{name}] must be a whole number")));
        match name {
            "size" | "from" | "timeout" | "allow_partial_search_results" if self.verb == Verb::Count => {
                return Err(illegal(format!("parameter [{name}] is not supported for a count")));
            }
            "size" => self.size = number()?,
            "from" => self.from = number()?,
            "timeout" => {
                self.timeout =
                    Some(time(value).ok_or_else(|| illegal("[timeout] needs a number and a unit"))?);
            }
            "allow_partial_search_results" => {
                self.partial =
                    value.parse().map_err(|_| illegal(format!("[{name}] must be true or false")))?;
            }
            "routing" => self.narrow(value.split(',').map(|routing| routed(routing, shards))),
            "preference" => {
                let list = value.strip_prefix("_shards:");
                let list = list.ok_or_else(|| illegal("the only supported [preference] is _shards:N,N"))?;
                let list: Vec<u32> = list
                    .split(',')
                    .map(|shard| shard.parse().ok().filter(|shard| *shard < shards))
                    .collect::<Option<_>>()
                    .ok_or_else(|| illegal(format!("[preference] may name shards 0 to {}", shards - 1)))?;
                self.narrow(list.into_iter());
            }
            "pretty" | "human" => {}
            _ => return Err(illegal(format!("parameter [{name}] is not supported"))),
        }
        Ok(())
    }

    /// Returns the URL parameters of the request to each shard.
    pub fn for_shards(&self) -> String {
        match self.verb {
            // All hits of the page, and all hits before it, may be on one shard, so each must return them all.
            Verb::Search => format!("from=0&size={}", self.from + self.size),
            Verb::Count => "size=0&track_total_hits=true".into(),
        }
    }

    /// Restricts the shards to query. Routing and preference both do so, and only shards in both sets remain.
    fn narrow(&mut self, to: impl Iterator<Item = u32>) {
        let mut to: Vec<u32> = to.collect();
        to.sort_unstable();
        to.dedup();
        if let Some(known) = &self.shards {
            to.retain(|shard| known.contains(shard));
        }
        self.shards = Some(to);
    }
}
