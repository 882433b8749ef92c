//! Stage 1, take in: checks a [`QueryRequest`] and assigns a number to the query.

use super::{Core, InvalidQuery, QueryNo, QueryRequest};
use crate::api::Millis;

/// Maximum number of parts of a query.
const MOST_PARTS: usize = 1000;
/// Tolerance for rounding in the sum of the parts' weights, which has to be 1.
const WEIGHT_SLACK: f64 = 0.01;

impl Core {
    /// Accepts or rejects a query. An accepted query gets exactly one [`super::Command::Answer`], unless its
    /// client leaves first.
    ///
    /// # Errors
    /// Returns why the query was rejected. It gets no answer then.
    pub fn take_in(&mut self, now: Millis, ask: QueryRequest) -> Result<QueryNo, InvalidQuery> {
        let class = self.classes.named(&ask.class).ok_or(InvalidQuery::UnknownClass)?;
        check(&ask).map_err(InvalidQuery::Malformed)?;
        if ask.key.is_none() && self.is_keyed(&ask.class) {
            return Err(InvalidQuery::Malformed("a query of this class needs a key".into()));
        }
        // A part of a shard that does not exist would be sent to run stores that do not hold it.
        if let Some(part) = ask.parts.iter().find(|part| self.shards.is_some_and(|most| part.shard >= most)) {
            return Err(InvalidQuery::Malformed(format!("there is no shard {}", part.shard)));
        }
        let most = self.classes.at(class).deadline;
        // The client's timeout is capped by the deadline of the class, as a longer one would only hold
        // memory. It counts from the last byte of the request, so time spent queued in the front is deducted.
        let deadline = (now - ask.waited + ask.timeout.unwrap_or(most).min(most)).min(self.ends);
        let no = QueryNo(self.ledger.number());
        self.counters.taken += 1;
        self.admit(now, no, class, deadline, ask);
        Ok(no)
    }
}

fn check(ask: &QueryRequest) -> Result<(), String> {
    if ask.parts.is_empty() {
        return Err("a query needs at least one part".into());
    }
    if ask.parts.len() > MOST_PARTS {
        return Err(format!("a query has at most {MOST_PARTS} parts"));
    }
    let mut shards: Vec<u32> = ask.parts.iter().map(|part| part.shard).collect();
    shards.sort_unstable();
    if let Some(pair) = shards.windows(2).find(|pair| pair[0] == pair[1]) {
        return Err(format!("shard {} is named twice", pair[0]));
    }
    if ask.parts.iter().any(|part| !part.weight.is_finite() || part.weight < 0.0) {
        return Err("a part's weight must be a non-negative number".into());
    }
    let sum: f64 = ask.parts.iter().map(|part| part.weight).sum();
    if (sum - 1.0).abs() > WEIGHT_SLACK {
        return Err(format!("the parts' weights add up to {sum}, not to 1"));
    }
    Ok(())
}
