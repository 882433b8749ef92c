//! The ledger of queries, parts and attempts: plain records, kept in step by the stages.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::rc::Rc;
use std::sync::Arc;

use super::{CallNo, PartAnswer, QueryNo};
use crate::api::{Attempt, Millis, Outcome, PartId, QueryId, Replica, ReplicaId};
use crate::exact::OrderedTime;

/// A query that is owed a final answer.
#[derive(Debug)]
pub struct Query {
    /// The client's id.
    pub client_id: String,
    /// Its class, by its place.
    pub class: usize,
    /// Its group, if the settings name it.
    pub group: Option<Arc<str>>,
    /// When it was taken.
    pub taken: Millis,
    /// When its time is over.
    pub deadline: Millis,
    /// Whether an answer that is not whole is welcome.
    pub partial: bool,
    /// Its key, in a keyed class.
    pub key: Option<Arc<str>>,
    /// What each part carries.
    pub text: Rc<[u8]>,
    /// Its parts, by the router's ids.
    pub parts: Vec<PartId>,
}

/// A part of such a query.
#[derive(Debug)]
pub struct Part {
    /// Its query.
    pub query: QueryNo,
    /// Its shard.
    pub shard: u32,
    /// Its share of the answer.
    pub weight: f64,
    /// Attempts made so far.
    pub attempts: u32,
    /// Attempts that are still out.
    pub out: u32,
    /// Whether an attempt of it may be out of which nothing more is heard: it was made while a part might be out twice.
    pub unproved: bool,
    /// When the first attempt was sent that has ended and may have run.
    pub may_have_run: Option<Millis>,
    /// Its answer, once it is in.
    pub value: Option<Rc<[u8]>>,
}

/// An attempt that has not ended.
#[derive(Debug, Clone)]
pub struct Out {
    /// The part, which may be over by now.
    pub part: PartId,
    /// Its number among the part's attempts.
    pub attempt: Attempt,
    /// Where it went.
    pub replica: ReplicaId,
    /// When it was sent.
    pub sent: Millis,
    /// How it is to end for the router, once it is given up and waits for the proof that it is over.
    pub given_up: Option<Outcome>,
}

/// What is known of a run store's place.
#[derive(Debug, Clone, PartialEq)]
pub struct RunStoreEntry {
    /// Its line in the list as last told.
    pub listed: Replica,
    /// The line as it holds here, under what operators say.
    pub replica: Replica,
    /// Where it listens, and since when its process runs.
    pub at: Option<(std::net::SocketAddr, Option<Millis>)>,
}

/// All records of a core.
#[derive(Debug, Default)]
pub struct Ledger {
    pub(super) queries: BTreeMap<QueryNo, Query>,
    pub(super) numbers: HashMap<QueryId, QueryNo>,
    pub(super) parts: HashMap<PartId, Part>,
    pub(super) out: HashMap<CallNo, Out>,
    pub(super) calls: HashMap<(PartId, Attempt), CallNo>,
    pub(super) probes: Probes,
    pub(super) run_stores: BTreeMap<ReplicaId, RunStoreEntry>,
    /// The deadline of each query, so that a step looks only at those that are over.
    pub(super) deadlines: Deadlines,
    /// Parts that are not in.
    pub(super) open_parts: usize,
    last: u64,
}

/// Probes that are out, and the run stores that they went to.
#[derive(Debug, Default)]
pub(super) struct Probes {
    out: HashMap<CallNo, ReplicaId>,
    probed: HashSet<ReplicaId>,
}

impl Probes {
    /// Whether one to a run store is out.
    pub(super) fn is_out(&self, replica: &ReplicaId) -> bool {
        self.probed.contains(replica)
    }

    /// One goes out to a run store to which none is out.
    pub(super) fn insert(&mut self, no: CallNo, replica: ReplicaId) {
        self.probed.insert(replica.clone());
        self.out.insert(no, replica);
    }

    /// One has ended: where it went, unless it had ended before.
    pub(super) fn remove(&mut self, no: &CallNo) -> Option<ReplicaId> {
        let replica = self.out.remove(no)?;
        self.probed.remove(&replica);
        Some(replica)
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

    /// The queries whose deadline has come, in the order in which they were taken.
    pub(super) fn overdue(&self, now: Millis) -> Vec<QueryNo> {
        let mut over: Vec<_> =
            self.0.iter().take_while(|(deadline, _)| deadline.0 <= now).map(|(_, no)| *no).collect();
        over.sort_unstable();
        over
    }
}

impl Ledger {
    /// The next number, of queries, calls and probes alike.
    pub(super) fn number(&mut self) -> u64 {
        self.last += 1;
        self.last
    }

    /// Queries held, and parts of theirs that are not in.
    pub fn open(&self) -> usize {
        self.queries.len() + self.open_parts
    }

    /// No query's deadline is later than this from now on.
    pub(super) fn end_by(&mut self, at: Millis) {
        self.queries.values_mut().for_each(|query| query.deadline = query.deadline.min(at));
        let deadlines = self.queries.iter().map(|(no, query)| (OrderedTime(query.deadline), *no));
        self.deadlines = Deadlines(deadlines.collect());
    }

    /// Parts may be out twice no longer: those that have been sent may be out already, as far as can be proved.
    pub(super) fn forbid_copies(&mut self) {
        self.parts.values_mut().for_each(|part| part.unproved |= part.attempts > 0);
    }

    /// A query's deadline is no later than this from now on.
    pub(super) fn end_query_by(&mut self, no: QueryNo, at: Millis) {
        if let Some(query) = self.queries.get_mut(&no).filter(|query| at < query.deadline) {
            self.deadlines.remove(no, query.deadline);
            query.deadline = at;
            self.deadlines.insert(no, at);
        }
    }

    /// The answers that are in, and their weight.
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

    /// Whether any part of a query may have run or is out.
    pub(super) fn may_have_run(&self, query: &Query) -> bool {
        let ran = |part: &Part| part.may_have_run.is_some() || part.out > 0 || part.value.is_some();
        query.parts.iter().filter_map(|id| self.parts.get(id)).any(ran)
    }

    /// The router's id of a query.
    pub(super) fn query_id(no: QueryNo) -> QueryId {
        QueryId(Arc::from(format!("q{}", no.0)))
    }
}

#[cfg(test)]
mod tests;
