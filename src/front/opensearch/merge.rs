//! Merges the answers of single shards into one. Hits are copied as the run stores sent them.

use std::cmp::Ordering;

use serde::Serialize;
use serde_json::value::RawValue;
use serde_json::Value;

use crate::transport::opensearch::answer::{Hit, SearchResponse, Total};

/// The order of hits: for each sort key of the search, whether it is descending. Without sort keys, hits are ordered
/// by descending score.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SortOrder(Vec<bool>);

impl SortOrder {
    /// Parses the value of `sort`; `None` if it is malformed.
    pub fn parse(sort: &Value) -> Option<Self> {
        let one = std::slice::from_ref(sort);
        let keys = sort.as_array().map_or(one, Vec::as_slice);
        keys.iter().map(descending).collect::<Option<_>>().map(SortOrder)
    }

    fn compare(&self, one: &Hit, other: &Hit) -> Ordering {
        if self.0.is_empty() {
            return score(other).total_cmp(&score(one));
        }
        for (at, descending) in self.0.iter().enumerate() {
            let order = match (one.sort.get(at), other.sort.get(at)) {
                (Some(a), Some(b)) => compare(a, b, *descending),
                _ => Ordering::Equal,
            };
            if order.is_ne() {
                return order;
            }
        }
        Ordering::Equal
    }
}

/// Returns whether a sort key is descending, which is the default for `_score` only; `None` if it is malformed.
fn descending(key: &Value) -> Option<bool> {
    let (field, order) = match key {
        Value::String(field) => (field.as_str(), None),
        Value::Object(keys) if keys.len() == 1 => {
            let (field, options) = keys.iter().next()?;
            let order = match options {
                Value::String(order) => Some(order.as_str()),
                Value::Object(options) => options.get("order").map(Value::as_str).unwrap_or(None),
                _ => return None,
            };
            (field.as_str(), order)
        }
        _ => return None,
    };
    match order {
        Some("desc") => Some(true),
        Some("asc") => Some(false),
        Some(_) => None,
        None => Some(field == "_score"),
    }
}

/// Compares two values of one sort key. Missing values come last in either direction.
fn compare(one: &Value, other: &Value, descending: bool) -> Ordering {
    let order = match (one, other) {
        (Value::Null, Value::Null) => return Ordering::Equal,
        (Value::Null, _) => return Ordering::Greater,
        (_, Value::Null) => return Ordering::Less,
        (Value::String(a), Value::String(b)) => a.cmp(b),
        (a, b) => match (a.as_i64(), b.as_i64()) {
            (Some(a), Some(b)) => a.cmp(&b),
            _ => a.as_f64().unwrap_or(0.0).total_cmp(&b.as_f64().unwrap_or(0.0)),
        },
    };
    if descending {
        order.reverse()
    } else {
        order
    }
}

fn score(hit: &Hit) -> f64 {
    hit.score.unwrap_or(f64::NEG_INFINITY)
}

/// The merged `hits` object of an answer.
#[derive(Serialize)]
#[serde(rename = "Merged")]
pub struct MergedHits {
    #[serde(skip_serializing_if = "Option::is_none")]
    total: Option<Total>,
    max_score: Option<f64>,
    hits: Vec<Box<RawValue>>,
}

impl MergedHits {
    /// Returns the total number of hits.
    pub fn count(&self) -> u64 {
        self.total.as_ref().map_or(0, |total| total.value)
    }
}

/// Merges the answers of shards and keeps `size` hits, beginning with the one at position `from`.
///
/// # Errors
/// Returns an error if an answer does not have the form that the transport has already checked.
pub fn merge<'a>(
    answers: impl Iterator<Item = &'a [u8]>,
    order: &SortOrder,
    from: usize,
    size: usize,
) -> Result<MergedHits, String> {
    let mut all_hits: Vec<(Hit, Box<RawValue>)> = Vec::new();
    let mut merged = MergedHits { total: None, max_score: None, hits: Vec::new() };
    for answer in answers {
        let found = SearchResponse::read(answer)?;
        if let Some(more) = found.total {
            merged.total = Some(match merged.total.take() {
                None => more,
                // If one shard stopped counting, the sum is only a lower bound.
                Some(sum) => Total {
                    value: sum.value.saturating_add(more.value),
                    relation: if sum.relation == "eq" { more.relation } else { sum.relation },
                },
            });
        }
        merged.max_score = match (merged.max_score, found.max_score) {
            (Some(a), Some(b)) => Some(a.max(b)),
            (a, b) => a.or(b),
        };
        all_hits.extend(found.hits);
    }
    // The sort is stable: equal hits stay in the order of the shards.
    all_hits.sort_by(|(one, _), (other, _)| order.compare(one, other));
    merged.hits = all_hits.into_iter().skip(from).take(size).map(|(_, raw)| raw).collect();
    Ok(merged)
}

#[cfg(test)]
mod tests;
