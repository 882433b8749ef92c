//! Stage 1, take in: checks a [`QueryRequest`] and assigns a number to the query.

use super::{Core, InvalidQuery, QueryNo, QueryRequest};
use crate::api::Millis;
use crate::query_ids::IdHash;

/// Maximum number of parts of a query.
const MAX_PARTS: usize = 1000;
/// Tolerance for rounding in the sum of the parts' weights, which has to be 1.
const WEIGHT_TOLERANCE: f64 = 0.01;

impl Core {
    /// Accepts or rejects a query. An accepted query gets exactly one [`super::Command::Answer`], unless its
    /// client leaves first.
    ///
    /// # Errors
    /// Returns why the query was rejected. It gets no answer then.
    pub fn take_in(&mut self, now: Millis, request: QueryRequest) -> Result<QueryNo, InvalidQuery> {
        let class = self.classes.index_of(&request.class).ok_or(InvalidQuery::UnknownClass)?;
        check_request(&request).map_err(InvalidQuery::Malformed)?;
        if request.key.is_none() && self.is_keyed(&request.class) {
            return Err(InvalidQuery::Malformed("a query of this class needs a key".into()));
        }
        // A part of a shard that does not exist would be sent to run stores that do not hold it.
        if let Some(part) =
            request.parts.iter().find(|part| self.shards.is_some_and(|count| part.shard >= count))
        {
            return Err(InvalidQuery::Malformed(format!("there is no shard {}", part.shard)));
        }
        if request.unique_id && !self.query_ids.may_open(now, IdHash::of(&request.id)) {
            return Err(InvalidQuery::IdInUse);
        }
        let class_deadline = self.classes.get(class).deadline;
        // The client's timeout is capped by the deadline of the class, as a longer one would only hold
        // memory. It counts from the last byte of the request, so time spent queued in the front is deducted.
        let deadline = (now - request.queued + request.timeout.unwrap_or(class_deadline).min(class_deadline))
            .min(self.exit_time);
        let no = QueryNo(self.ledger.next_number());
        self.counters.taken += 1;
        self.admit(now, no, class, deadline, request);
        Ok(no)
    }
}

/// Checks that a request is consistent.
fn check_request(request: &QueryRequest) -> Result<(), String> {
    if request.parts.is_empty() {
        return Err("a query needs at least one part".into());
    }
    if request.parts.len() > MAX_PARTS {
        return Err(format!("a query has at most {MAX_PARTS} parts"));
    }
    let mut shards: Vec<u32> = request.parts.iter().map(|part| part.shard).collect();
    shards.sort_unstable();
    if let Some(pair) = shards.windows(2).find(|pair| pair[0] == pair[1]) {
        return Err(format!("shard {} is named twice", pair[0]));
    }
    if request.parts.iter().any(|part| !part.weight.is_finite() || part.weight < 0.0) {
        return Err("a part's weight must be a non-negative number".into());
    }
    let sum: f64 = request.parts.iter().map(|part| part.weight).sum();
    if (sum - 1.0).abs() > WEIGHT_TOLERANCE {
        return Err(format!("the parts' weights add up to {sum}, not to 1"));
    }
    Ok(())
}
