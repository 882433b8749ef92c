//! A run store's answer to a search of one shard: read once it is whole, and refused unless it is sound.

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use serde_json::Value;

/// A sound answer, as far as it is used; hits stay as they came.
#[derive(Debug)]
pub struct Found {
    /// How many hits there are in all, if they were counted.
    pub total: Option<Total>,
    /// The highest score.
    pub max_score: Option<f64>,
    /// The hits, each with what orders it.
    pub hits: Vec<(Hit, Box<RawValue>)>,
}

/// What orders a hit.
#[derive(Debug, Deserialize)]
pub struct Hit {
    /// Its score.
    #[serde(rename = "_score")]
    pub score: Option<f64>,
    /// Its sort values.
    #[serde(default)]
    pub sort: Vec<Value>,
}

/// How many hits there are.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Total {
    /// The number.
    pub value: u64,
    /// `eq` for just so many, `gte` for so many at least.
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

impl Found {
    /// Reads an answer. One whose shard failed or ran out of time is none, whatever its status.
    ///
    /// # Errors
    /// Says what is wrong with it.
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
        Ok(Found { total, max_score, hits })
    }
}

#[cfg(test)]
mod tests;
