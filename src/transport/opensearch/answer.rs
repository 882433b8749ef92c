//! Parses a run store's response to a search of one shard. An incomplete or failed response is rejected.

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use serde_json::Value;

/// A valid response, reduced to the parts in use. Hits are kept as raw JSON.
#[derive(Debug)]
pub struct SearchResponse {
    /// The total number of hits, if they were counted.
    pub total: Option<Total>,
    /// The highest score.
    pub max_score: Option<f64>,
    /// The hits, each with the values that order it and its raw JSON.
    pub hits: Vec<(Hit, Box<RawValue>)>,
}

/// The values by which hits are ordered.
#[derive(Debug, Deserialize)]
pub struct Hit {
    /// The score.
    #[serde(rename = "_score")]
    pub score: Option<f64>,
    /// The sort values.
    #[serde(default)]
    pub sort: Vec<Value>,
}

/// The total number of hits.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Total {
    /// The number.
    pub value: u64,
    /// `eq` if the number is exact, `gte` if it is a lower bound.
    pub relation: String,
}

#[derive(Deserialize)]
struct Answer {
    timed_out: bool,
    _shards: Shards,
    hits: Hits,
}

#[derive(Deserialize)]
struct Shards {
    successful: u64,
    failed: u64,
}

#[derive(Deserialize)]
struct Hits {
    total: Option<Total>,
    max_score: Option<f64>,
    hits: Vec<Box<RawValue>>,
}

impl SearchResponse {
    /// Parses a response body. A response whose shard failed or timed out is an error, regardless of its HTTP status.
    ///
    /// # Errors
    /// Returns why the response is invalid.
    pub fn read(body: &[u8]) -> Result<Self, String> {
        let answer: Answer = serde_json::from_slice(body).map_err(|error| error.to_string())?;
        if answer.timed_out {
            return Err("the search timed out".into());
        }
        if answer._shards.failed > 0 || answer._shards.successful == 0 {
            return Err(format!("{} shards failed", answer._shards.failed));
        }
        let Hits { total, max_score, hits } = answer.hits;
        let read = |raw: Box<RawValue>| serde_json::from_str(raw.get()).map(|hit: Hit| (hit, raw));
        let hits = hits.into_iter().map(read).collect::<Result<_, _>>().map_err(|error| error.to_string())?;
        Ok(SearchResponse { total, max_score, hits })
    }
}

#[cfg(test)]
mod tests;
