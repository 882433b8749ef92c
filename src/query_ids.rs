//! Decides whether the id of a new query may be used.
//!
//! Run stores know parts by the id that the client gave its query. An id must not be in use by two queries at
//! once, and not again soon after a query whose parts may have run and must not run twice.

use std::collections::{HashSet, VecDeque};

use serde::{Deserialize, Serialize};

use crate::api::Millis;
use crate::hash::hash;

/// How long the id of an ended query is remembered.
const REMEMBERED_FOR: Millis = 60_000.0;
/// The most ids of ended queries that are remembered, which bounds their memory.
const MAX_REMEMBERED: usize = 65_536;

/// The hash of an id. It is the same in all processes. Ids with the same hash count as the same id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct IdHash(u64);

impl IdHash {
    /// Returns the hash of an id.
    pub fn of(id: &str) -> Self {
        IdHash(hash(id))
    }
}

/// The ids of open queries, and of ended ones that are remembered.
#[derive(Debug, Default)]
pub struct QueryIds {
    open: HashSet<IdHash>,
    remembered: HashSet<IdHash>,
    /// The remembered ids and when they were added, oldest first.
    in_order: VecDeque<(Millis, IdHash)>,
}

impl QueryIds {
    /// Returns whether a new query may have an id.
    pub fn may_open(&mut self, now: Millis, id: IdHash) -> bool {
        self.forget_old(now);
        !self.open.contains(&id) && !self.remembered.contains(&id)
    }

    /// Adds the id of a query that was accepted.
    pub fn open(&mut self, id: IdHash) {
        self.open.insert(id);
    }

    /// Removes the id of a query that has ended, and remembers it if the query's parts must not run again.
    pub fn close(&mut self, now: Millis, id: IdHash, remember: bool) {
        self.open.remove(&id);
        if remember {
            self.remember(now, id);
        }
    }

    /// Remembers an id.
    pub fn remember(&mut self, now: Millis, id: IdHash) {
        self.forget_old(now);
        if self.remembered.insert(id) {
            self.in_order.push_back((now, id));
        }
        while self.in_order.len() > MAX_REMEMBERED {
            self.forget_oldest();
        }
    }

    /// Returns all ids that no other query may have now.
    pub fn in_use(&self) -> Vec<IdHash> {
        self.open.union(&self.remembered).copied().collect()
    }

    fn forget_old(&mut self, now: Millis) {
        while self.in_order.front().is_some_and(|(added, _)| now - added > REMEMBERED_FOR) {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        if let Some((_, id)) = self.in_order.pop_front() {
            self.remembered.remove(&id);
        }
    }
}

#[cfg(test)]
mod tests;
