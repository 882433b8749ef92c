//! The ledger: records of open queries, parts, attempts, probes and run stores, which the stages keep
//! consistent.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::rc::Rc;
use std::sync::Arc;

use super::{CallNo, PartAnswer, QueryNo};
use crate::api::{Attempt, Millis, Outcome, PartId, QueryId, Replica, ReplicaId};
use crate::exact::OrderedTime;
use crate::query_ids::IdHash;

/// A query that has not had its final answer.
#[derive(Debug)]
pub struct Query {
    /// The client's id.
    pub client_id: String,
    /// The hash of that id, if no other query may have it.
    pub unique_id: Option<IdHash>,
    /// The index of its class.
    pub class: usize,
    /// The name of its tenant group, if the settings contain it.
    pub group: Option<Arc<str>>,
    /// When it was accepted.
    pub accepted: Millis,
    /// When the client stops waiting.
    pub deadline: Millis,
    /// Whether the client accepts a partial answer.
    pub accepts_partial: bool,
    /// Its idempotency key, in a keyed class.
    pub key: Option<Arc<str>>,
    /// The payload that each part carries.
    pub payload: Rc<[u8]>,
    /// The router's ids of its parts.
    pub parts: Vec<PartId>,
}

/// A part of an open query.
#[derive(Debug)]
pub struct Part {
    /// The number of its query.
    pub query: QueryNo,
    /// Its shard.
    pub shard: u32,
    /// Its share of the answer.
    pub weight: f64,
    /// The number of attempts made so far.
    pub attempts: u32,
    /// The number of outstanding attempts.
    pub outstanding: u32,
    /// Whether an attempt that the core no longer tracks may still be running at a run store, as it may have
    /// been abandoned without proof of its end while parallel attempts were allowed.
    pub maybe_outstanding: bool,
    /// When the first of the attempts that have ended and may have run was sent.
    pub may_have_run: Option<Millis>,
    /// Its answer, once received.
    pub value: Option<Rc<[u8]>>,
}

/// An attempt that has not ended.
#[derive(Debug, Clone)]
pub struct OutstandingAttempt {
    /// The part, which may no longer be held.
    pub part: PartId,
    /// Its number among the part's attempts.
    pub attempt: Attempt,
    /// The run store that it was sent to.
    pub run_store: ReplicaId,
    /// When it was sent.
    pub sent: Millis,
    /// The outcome to report to the router once the attempt is proved to have ended; set when it is
    /// abandoned.
    pub abandoned: Option<Outcome>,
}

/// Holds what the core knows of a listed run store.
#[derive(Debug, Clone, PartialEq)]
pub struct RunStoreEntry {
    /// Its line in the latest list.
    pub listed: Replica,
    /// The same line after operators' manual drains are applied.
    pub effective: Replica,
    /// The address that it listens on and the start time of its process.
    pub location: Option<(std::net::SocketAddr, Option<Millis>)>,
}

/// All records of a core.
#[derive(Debug, Default)]
pub struct Ledger {
    pub(super) queries: BTreeMap<QueryNo, Query>,
    /// The numbers of open queries by the ids that the router knows them by.
    pub(super) query_numbers: HashMap<QueryId, QueryNo>,
    pub(super) parts: HashMap<PartId, Part>,
    pub(super) outstanding: HashMap<CallNo, OutstandingAttempt>,
    /// The numbers of outstanding attempts by part and attempt.
    pub(super) call_numbers: HashMap<(PartId, Attempt), CallNo>,
    pub(super) probes: Probes,
    pub(super) run_stores: BTreeMap<ReplicaId, RunStoreEntry>,
    /// The deadlines of open queries in order, so that a step visits only the overdue ones.
    pub(super) deadlines: Deadlines,
    /// The number of parts without an answer.
    pub(super) open_parts: usize,
    last_number: u64,
}

/// Outstanding probes, and the run stores that they were sent to.
#[derive(Debug, Default)]
pub(super) struct Probes {
    outstanding: HashMap<CallNo, ReplicaId>,
    run_stores: HashSet<ReplicaId>,
}

impl Probes {
    /// Returns whether a probe of a run store is outstanding.
    pub(super) fn is_outstanding(&self, run_store: &ReplicaId) -> bool {
        self.run_stores.contains(run_store)
    }

    /// Adds a probe of a run store that has no outstanding one.
    pub(super) fn insert(&mut self, no: CallNo, run_store: ReplicaId) {
        self.run_stores.insert(run_store.clone());
        self.outstanding.insert(no, run_store);
    }

    /// Removes a probe and returns its run store; `None` if the probe had already ended.
    pub(super) fn remove(&mut self, no: &CallNo) -> Option<ReplicaId> {
        let run_store = self.outstanding.remove(no)?;
        self.run_stores.remove(&run_store);
        Some(run_store)
    }
}

/// Queries in the order of their deadlines.
#[derive(Debug, Default)]
pub(super) struct Deadlines(BTreeSet<(OrderedTime, QueryNo)>);

impl Deadlines {
    pub(super) fn insert(&mut self, no: QueryNo, deadline: Millis) {
        self.0.insert((OrderedTime(deadline), no));
    }

    pub(super) fn remove(&mut self, no: QueryNo, deadline: Millis) {
        self.0.remove(&(OrderedTime(deadline), no));
    }

    /// Returns the queries whose deadline has passed, in the order in which they were accepted.
    pub(super) fn overdue(&self, now: Millis) -> Vec<QueryNo> {
        let mut overdue: Vec<_> =
            self.0.iter().take_while(|(deadline, _)| deadline.0 <= now).map(|(_, no)| *no).collect();
        overdue.sort_unstable();
        overdue
    }
}

impl Ledger {
    /// Returns the next number; queries, calls and probes share one sequence.
    pub(super) fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// Returns the number of open queries plus their parts without an answer.
    pub fn open_work(&self) -> usize {
        self.queries.len() + self.open_parts
    }

    /// Returns whether a query of the class at an index is open.
    pub(super) fn has_query_of(&self, class: usize) -> bool {
        self.queries.values().any(|query| query.class == class)
    }

    /// Caps the deadlines of all open queries.
    pub(super) fn cap_deadlines(&mut self, at: Millis) {
        self.queries.values_mut().for_each(|query| query.deadline = query.deadline.min(at));
        let deadlines = self.queries.iter().map(|(no, query)| (OrderedTime(query.deadline), *no));
        self.deadlines = Deadlines(deadlines.collect());
    }

    /// Stops parallel attempts. Parts that have been sent are marked, as earlier attempts of theirs may still
    /// be running.
    pub(super) fn forbid_parallel_attempts(&mut self) {
        self.parts.values_mut().for_each(|part| part.maybe_outstanding |= part.attempts > 0);
    }

    /// Caps the deadline of a query.
    pub(super) fn cap_deadline(&mut self, no: QueryNo, at: Millis) {
        if let Some(query) = self.queries.get_mut(&no).filter(|query| at < query.deadline) {
            self.deadlines.remove(no, query.deadline);
            query.deadline = at;
            self.deadlines.insert(no, at);
        }
    }

    /// Returns the answers received for a query, and the sum of their weights.
    pub(super) fn answers(&self, query: &Query) -> (Vec<PartAnswer>, f64) {
        let mut weight = 0.0;
        let mut answers = Vec::with_capacity(query.parts.len());
        for part in query.parts.iter().filter_map(|id| self.parts.get(id)) {
            if let Some(value) = &part.value {
                weight += part.weight;
                answers.push(PartAnswer { shard: part.shard, value: value.clone() });
            }
        }
        (answers, weight)
    }

    /// Returns whether any part of a query may have run or has an outstanding attempt.
    pub(super) fn may_have_run(&self, query: &Query) -> bool {
        let ran = |part: &Part| part.may_have_run.is_some() || part.outstanding > 0 || part.value.is_some();
        query.parts.iter().filter_map(|id| self.parts.get(id)).any(ran)
    }

    /// Returns the router's id of a query.
    pub(super) fn query_id(no: QueryNo) -> QueryId {
        QueryId(Arc::from(format!("q{}", no.0)))
    }
}

#[cfg(test)]
mod tests;
