//! An index of queries by when and why they need attention, so that a step looks at no others.
//!
//! It makes no decisions: a query that is looked at too early stays as it is. It is not part of a
//! checkpoint, as all of it can be rebuilt from the queries, parts and attempts in flight.

use std::collections::{BTreeMap, BTreeSet};

use crate::api::{Attempt, Millis, PartId};
use crate::exact::OrderedTime;

/// The location of a part: the number of its query, and its index in it.
pub type Place = (u64, usize);
/// Attempts at one replica, in the order in which they were sent.
type Sends = BTreeSet<(OrderedTime, PartId, Attempt)>;

/// Tolerance in milliseconds by which a query may be looked at too early, to cover rounding in sums of
/// times.
const SLACK: Millis = 1.0;

/// Times at which a query needs attention.
#[derive(Debug, Clone, Copy)]
pub struct QueryTimes {
    /// The number of the query.
    pub number: u64,
    /// The end of its aim or its deadline, whichever comes first.
    pub aim: Millis,
    /// When its client gives up.
    pub deadline: Millis,
}

/// The queries of one class.
#[derive(Debug, Default, Clone, PartialEq)]
struct Class {
    aims: BTreeSet<(OrderedTime, u64)>,
    deadlines: BTreeSet<(OrderedTime, u64)>,
    /// The entries of `aims` whose queries have enough parts for an answer.
    enough: BTreeSet<(OrderedTime, u64)>,
    /// Parts in flight by the time they were sent, except those whose replica is known to have answered
    /// since.
    out: BTreeSet<(OrderedTime, Place)>,
}

/// The index of all queries.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct QueryIndex {
    classes: Vec<Class>,
    /// Queries that have changed.
    touched: BTreeSet<u64>,
    /// Queries that had parts reset on connections that were not idle.
    resets: BTreeSet<u64>,
    /// Parts in flight that count as lost, as enough later parts at their replica were answered first.
    lost: BTreeSet<Place>,
    /// The other parts in flight, by replica.
    sends: BTreeMap<u64, Sends>,
}

/// Returns the numbers of the queries whose time has come.
fn until(set: &BTreeSet<(OrderedTime, u64)>, at: Millis) -> impl Iterator<Item = u64> + '_ {
    set.iter().take_while(move |(time, _)| time.0 <= at + SLACK).map(|(_, number)| *number)
}

impl QueryIndex {
    /// Creates an empty index for this number of classes.
    pub fn new(classes: usize) -> Self {
        QueryIndex { classes: vec![Class::default(); classes], ..QueryIndex::default() }
    }

    /// Adds a query.
    pub fn comes(&mut self, class: usize, ends: QueryTimes) {
        self.classes[class].aims.insert((OrderedTime(ends.aim), ends.number));
        self.classes[class].deadlines.insert((OrderedTime(ends.deadline), ends.number));
        self.touched.insert(ends.number);
    }

    /// Removes a query.
    pub fn goes(&mut self, class: usize, ends: QueryTimes) {
        self.classes[class].aims.remove(&(OrderedTime(ends.aim), ends.number));
        self.classes[class].deadlines.remove(&(OrderedTime(ends.deadline), ends.number));
        self.enough(class, ends, false);
        self.resets.remove(&ends.number);
        self.touched.remove(&ends.number);
    }

    /// Sets whether a query has enough parts for an answer.
    pub fn enough(&mut self, class: usize, ends: QueryTimes, enough: bool) {
        let key = (OrderedTime(ends.aim), ends.number);
        if enough {
            self.classes[class].enough.insert(key);
        } else {
            self.classes[class].enough.remove(&key);
        }
    }

    /// Marks a query as changed.
    pub fn touch(&mut self, number: u64) {
        self.touched.insert(number);
    }

    /// Marks a query as having lost a part to a reset on a connection that was not idle.
    pub fn reset(&mut self, number: u64) {
        self.resets.insert(number);
    }

    /// Adds a part in flight.
    pub fn sent(&mut self, class: usize, sent: Millis, place: Place) {
        self.classes[class].out.insert((OrderedTime(sent), place));
    }

    /// Removes a part that is no longer in flight, or whose replica has answered since it was sent.
    pub fn answered(&mut self, class: usize, sent: Millis, place: Place) {
        self.classes[class].out.remove(&(OrderedTime(sent), place));
    }

    /// Adds an attempt in flight, either as lost, with the location of its part, or as one that can still
    /// become lost.
    pub fn follow(
        &mut self,
        replica: u64,
        sent: Millis,
        (part, attempt): (PartId, Attempt),
        lost: Option<Place>,
    ) {
        match lost {
            Some(place) => self.lost.extend([place]),
            None => self.sends.entry(replica).or_default().extend([(OrderedTime(sent), part, attempt)]),
        }
    }

    /// Removes an attempt that has ended or was cancelled.
    pub fn unfollow(&mut self, replica: u64, sent: Millis, (part, attempt): (PartId, Attempt), place: Place) {
        self.lost.remove(&place);
        if let Some(sends) = self.sends.get_mut(&replica) {
            sends.remove(&(OrderedTime(sent), part, attempt));
            if sends.is_empty() {
                self.sends.remove(&replica);
            }
        }
    }

    /// Returns the attempts at a replica that were sent before a time and do not count as lost.
    pub fn before(&self, replica: u64, sent: Millis) -> Vec<(PartId, Attempt)> {
        let sends = self.sends.get(&replica).into_iter().flatten();
        let older = sends.take_while(|(at, ..)| at.0 < sent);
        older.map(|(_, part, attempt)| (part.clone(), *attempt)).collect()
    }

    /// Returns and clears the set of queries that have changed.
    pub fn take_touched(&mut self) -> BTreeSet<u64> {
        std::mem::take(&mut self.touched)
    }

    /// Returns the queries with parts that count as lost.
    pub fn lost(&self) -> impl Iterator<Item = u64> + '_ {
        self.lost.iter().map(|(number, _)| *number)
    }

    /// Returns the queries that had parts reset on connections that were not idle.
    pub fn resets(&self) -> impl Iterator<Item = u64> + '_ {
        self.resets.iter().copied()
    }

    /// Returns the queries of a class whose deadlines have come at a time.
    pub fn deadlines(&self, class: usize, at: Millis) -> impl Iterator<Item = u64> + '_ {
        until(&self.classes[class].deadlines, at)
    }

    /// Returns the queries of a class whose aims or deadlines have come at a time.
    pub fn aims(&self, class: usize, at: Millis) -> impl Iterator<Item = u64> + '_ {
        until(&self.classes[class].aims, at)
    }

    /// Returns those of them that have enough parts for an answer.
    pub fn answerable(&self, class: usize, at: Millis) -> impl Iterator<Item = u64> + '_ {
        until(&self.classes[class].enough, at)
    }

    /// Returns the queries of a class with parts that have been in flight since a time or longer.
    pub fn out(&self, class: usize, since: Millis) -> impl Iterator<Item = u64> + '_ {
        let sent = self.classes[class].out.iter().take_while(move |(sent, _)| sent.0 <= since + SLACK);
        sent.map(|(_, (number, _))| *number)
    }

    /// Describes a difference from a rebuilt index, if there is one. Changed queries are not compared. The
    /// parts in flight have to include those of `silent` and be included in those of `all`, as parts whose
    /// replica has answered since they were sent are removed late.
    pub fn differs(&self, all: &QueryIndex, silent: &QueryIndex) -> Option<String> {
        let bare = |due: &QueryIndex| {
            let class = |class: &Class| Class { out: BTreeSet::new(), ..class.clone() };
            QueryIndex {
                classes: due.classes.iter().map(class).collect(),
                touched: BTreeSet::new(),
                ..due.clone()
            }
        };
        let out = |due: &QueryIndex| -> BTreeSet<_> {
            due.classes.iter().flat_map(|class| class.out.clone()).collect()
        };
        let (here, most, least) = (out(self), out(all), out(silent));
        if bare(self) != bare(all) {
            Some(format!("{:?} is not {:?}", bare(self), bare(all)))
        } else if !here.is_subset(&most) || !least.is_subset(&here) {
            Some(format!("{here:?} is not between {least:?} and {most:?}"))
        } else {
            None
        }
    }
}
