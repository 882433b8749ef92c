//! Parses a search request into the few values that the aggregator uses.
//!
//! Features whose results cannot be merged from independently queried shards are refused with an error that names
//! them, as their answers would be wrong.

use serde::de::IgnoredAny;
use serde::Deserialize;
use serde_json::Value;
use std::collections::BTreeMap;

use super::merge::SortOrder;
use super::target::{parse_time, shard_for_routing};
use crate::api::Millis;
use crate::http::parse::Message;
use crate::http::target::Target;

/// The number of hits that a search returns by default.
const DEFAULT_SIZE: usize = 10;
/// The largest allowed `from + size`.
const MAX_HITS: usize = 10_000;
/// Body keys that every shard can apply by itself, so that they are forwarded unchanged.
const FORWARDED_KEYS: &[&str] = &[
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
pub enum Operation {
    /// `_search`: return hits.
    Search,
    /// `_count`: return only the number of hits.
    Count,
}

/// A parsed search or count request.
#[derive(Debug, Clone, PartialEq)]
pub struct Search {
    /// The operation.
    pub operation: Operation,
    /// The index, which is the name of the query class.
    pub index: String,
    /// The shards to query; `None` for all.
    pub shards: Option<Vec<u32>>,
    /// The timeout that the client requests.
    pub timeout: Option<Millis>,
    /// Whether a partial answer is acceptable.
    pub allow_partial: bool,
    /// The position of the first hit to return.
    pub from: usize,
    /// The number of hits to return.
    pub size: usize,
    /// The order of hits.
    pub order: SortOrder,
}

/// The error for a request that is malformed or not supported: HTTP status, `error.type` and `error.reason`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestError(pub u16, pub &'static str, pub String);

fn illegal_argument(reason: impl Into<String>) -> RequestError {
    RequestError(400, "illegal_argument_exception", reason.into())
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
    pub fn parse(request: &Message, shards: u32) -> Result<Self, RequestError> {
        let target =
            Target::read(&request.start.1).ok_or_else(|| illegal_argument("the target is malformed"))?;
        let (index, operation) = match target.path.as_slice() {
            [index, operation] if operation == "_search" => (index.clone(), Operation::Search),
            [index, operation] if operation == "_count" => (index.clone(), Operation::Count),
            _ => {
                let reason = format!(
                    "no handler found for uri [{}]; supported are /{{index}}/_search and /{{index}}/_count",
                    request.start.1
                );
                return Err(RequestError(404, "illegal_argument_exception", reason));
            }
        };
        if index.contains([',', '*']) || index.starts_with('_') {
            return Err(illegal_argument(
                "exactly one index must be named; lists and patterns of indices are not supported",
            ));
        }
        let mut search = Search {
            operation,
            index,
            shards: None,
            timeout: None,
            allow_partial: true,
            from: 0,
            size: DEFAULT_SIZE,
            order: SortOrder::default(),
        };
        search.apply_body(&request.body)?;
        for (name, value) in &target.parameters {
            search.apply_parameter(name, value, shards)?;
        }
        if search.from.saturating_add(search.size) > MAX_HITS {
            return Err(illegal_argument(format!("from + size must be at most {MAX_HITS}")));
        }
        Ok(search)
    }

    fn apply_body(&mut self, bytes: &[u8]) -> Result<(), RequestError> {
        if bytes.iter().all(u8::is_ascii_whitespace) {
            return Ok(());
        }
        let parsing_error = |reason: String| RequestError(400, "parsing_exception", reason);
        let body: Body = serde_json::from_slice(bytes).map_err(|error| parsing_error(error.to_string()))?;
        if let Some(key) = body.others.keys().find(|key| !FORWARDED_KEYS.contains(&key.as_str())) {
            return Err(parsing_error(format!(
                "key [{key}] is not supported, as shards are queried independently of each other"
            )));
        }
        let paged =
            body.size.is_some() || body.from.is_some() || body.timeout.is_some() || body.sort.is_some();
        if self.operation == Operation::Count && (paged || body.others.keys().any(|key| key != "query")) {
            return Err(parsing_error("the only key supported for a count is [query]".into()));
        }
        self.size = body.size.unwrap_or(self.size);
        self.from = body.from.unwrap_or(self.from);
        if let Some(text) = body.timeout {
            self.timeout = Some(
                parse_time(&text).ok_or_else(|| illegal_argument("[timeout] needs a number and a unit"))?,
            );
        }
        if let Some(sort) = body.sort {
            self.order =
                SortOrder::parse(&sort).ok_or_else(|| parsing_error("[sort] is malformed".into()))?;
        }
        Ok(())
    }

    fn apply_parameter(&mut self, name: &str, value: &str, shards: u32) -> Result<(), RequestError> {
        let number =
            || value.parse().map_err(|_| illegal_argument(format!("[{name}] must be a whole number")));
        match name {
            "size" | "from" | "timeout" | "allow_partial_search_results"
                if self.operation == Operation::Count =>
            {
                return Err(illegal_argument(format!("parameter [{name}] is not supported for a count")));
            }
            "size" => self.size = number()?,
            "from" => self.from = number()?,
            "timeout" => {
                self.timeout = Some(
                    parse_time(value)
                        .ok_or_else(|| illegal_argument("[timeout] needs a number and a unit"))?,
                );
            }
            "allow_partial_search_results" => {
                self.allow_partial =
                    value.parse().map_err(|_| illegal_argument(format!("[{name}] must be true or false")))?;
            }
            "routing" => {
                self.restrict_shards(value.split(',').map(|routing| shard_for_routing(routing, shards)))
            }
            "preference" => {
                let list = value.strip_prefix("_shards:");
                let list =
                    list.ok_or_else(|| illegal_argument("the only supported [preference] is _shards:N,N"))?;
                let list: Vec<u32> = list
                    .split(',')
                    .map(|shard| shard.parse().ok().filter(|shard| *shard < shards))
                    .collect::<Option<_>>()
                    .ok_or_else(|| {
                        illegal_argument(format!("[preference] may name shards 0 to {}", shards - 1))
                    })?;
                self.restrict_shards(list.into_iter());
            }
            "pretty" | "human" => {}
            _ => return Err(illegal_argument(format!("parameter [{name}] is not supported"))),
        }
        Ok(())
    }

    /// Returns the URL parameters of the request to each shard.
    pub fn shard_parameters(&self) -> String {
        match self.operation {
            // All hits of the page, and all hits before it, may be on one shard, so each must return them all.
            Operation::Search => format!("from=0&size={}", self.from + self.size),
            Operation::Count => "size=0&track_total_hits=true".into(),
        }
    }

    /// Restricts the shards to query. Routing and preference both do so, and only shards in both sets remain.
    fn restrict_shards(&mut self, to: impl Iterator<Item = u32>) {
        let mut to: Vec<u32> = to.collect();
        to.sort_unstable();
        to.dedup();
        if let Some(known) = &self.shards {
            to.retain(|shard| known.contains(shard));
        }
        self.shards = Some(to);
    }
}
