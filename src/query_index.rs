//! An index of queries by when and why they need attention, so that a step looks at no others.
//!
//! It makes no decisions: a query that is looked at too early stays as it is. It is not part of a
//! checkpoint, as all of it can be rebuilt from the queries, parts and attempts in flight.

use std::collections::{BTreeMap, BTreeSet};

use crate::api::{Attempt, Millis, PartId};
use crate::exact::OrderedTime;

/// The location of a part: the number of its query, and its index in it.
pub type PartLocation = (u64, usize);
/// Attempts at one replica, in the order in which they were sent.
type Sends = BTreeSet<(OrderedTime, PartId, Attempt)>;

/// Tolerance in milliseconds by which a query may be looked at too early, to cover rounding in sums of
/// times.
const TOLERANCE: Millis = 1.0;

/// Times at which a query needs attention.
#[derive(Debug, Clone, Copy)]
pub struct QueryTimes {
    /// The number of the query.
    pub number: u64,
    /// The end of its aim or its deadline, whichever comes first.
    pub answer_by: Millis,
    /// When its client gives up.
    pub deadline: Millis,
}

/// The queries of one class.
#[derive(Debug, Default, Clone, PartialEq)]
struct Class {
    answer_by: BTreeSet<(OrderedTime, u64)>,
    deadlines: BTreeSet<(OrderedTime, u64)>,
    /// The entries of `answer_by` whose queries have enough parts for an answer.
    answerable: BTreeSet<(OrderedTime, u64)>,
    /// Parts in flight by the time they were sent, except those whose replica is known to have answered
    /// since.
    in_flight: BTreeSet<(OrderedTime, PartLocation)>,
}

/// The index of all queries.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct QueryIndex {
    classes: Vec<Class>,
    /// Queries that have changed.
    changed: BTreeSet<u64>,
    /// Queries that had parts reset on connections that were not idle.
    resets: BTreeSet<u64>,
    /// Parts in flight that count as lost, as enough later parts at their replica were answered first.
    lost: BTreeSet<PartLocation>,
    /// The other parts in flight, by replica.
    sends: BTreeMap<u64, Sends>,
}

/// Returns the numbers of the queries whose time has come.
fn reached(set: &BTreeSet<(OrderedTime, u64)>, at: Millis) -> impl Iterator<Item = u64> + '_ {
    set.iter().take_while(move |(time, _)| time.0 <= at + TOLERANCE).map(|(_, number)| *number)
}

impl QueryIndex {
    /// Creates an empty index for this number of classes.
    pub fn new(classes: usize) -> Self {
        QueryIndex { classes: vec![Class::default(); classes], ..QueryIndex::default() }
    }

    /// Adds a query.
    pub fn insert_query(&mut self, class: usize, times: QueryTimes) {
        self.classes[class].answer_by.insert((OrderedTime(times.answer_by), times.number));
        self.classes[class].deadlines.insert((OrderedTime(times.deadline), times.number));
        self.changed.insert(times.number);
    }

    /// Removes a query.
    pub fn remove_query(&mut self, class: usize, times: QueryTimes) {
        self.classes[class].answer_by.remove(&(OrderedTime(times.answer_by), times.number));
        self.classes[class].deadlines.remove(&(OrderedTime(times.deadline), times.number));
        self.set_answerable(class, times, false);
        self.resets.remove(&times.number);
        self.changed.remove(&times.number);
    }

    /// Sets whether a query has enough parts for an answer.
    pub fn set_answerable(&mut self, class: usize, times: QueryTimes, answerable: bool) {
        let key = (OrderedTime(times.answer_by), times.number);
        if answerable {
            self.classes[class].answerable.insert(key);
        } else {
            self.classes[class].answerable.remove(&key);
        }
    }

    /// Marks a query as changed.
    pub fn mark_changed(&mut self, number: u64) {
        self.changed.insert(number);
    }

    /// Marks a query as having lost a part to a reset on a connection that was not idle.
    pub fn mark_reset(&mut self, number: u64) {
        self.resets.insert(number);
    }

    /// Adds a part in flight.
    pub fn insert_in_flight(&mut self, class: usize, sent: Millis, location: PartLocation) {
        self.classes[class].in_flight.insert((OrderedTime(sent), location));
    }

    /// Removes a part that is no longer in flight, or whose replica has answered since it was sent.
    pub fn remove_in_flight(&mut self, class: usize, sent: Millis, location: PartLocation) {
        self.classes[class].in_flight.remove(&(OrderedTime(sent), location));
    }

    /// Adds an attempt in flight, either as lost, with the location of its part, or as one that can still
    /// become lost.
    pub fn track_attempt(
        &mut self,
        replica: u64,
        sent: Millis,
        (part, attempt): (PartId, Attempt),
        lost: Option<PartLocation>,
    ) {
        match lost {
            Some(location) => self.lost.extend([location]),
            None => self.sends.entry(replica).or_default().extend([(OrderedTime(sent), part, attempt)]),
        }
    }

    /// Removes an attempt that has ended or was cancelled.
    pub fn untrack_attempt(
        &mut self,
        replica: u64,
        sent: Millis,
        (part, attempt): (PartId, Attempt),
        location: PartLocation,
    ) {
        self.lost.remove(&location);
        if let Some(sends) = self.sends.get_mut(&replica) {
            sends.remove(&(OrderedTime(sent), part, attempt));
            if sends.is_empty() {
                self.sends.remove(&replica);
            }
        }
    }

    /// Returns the attempts at a replica that were sent before a time and do not count as lost.
    pub fn attempts_before(&self, replica: u64, sent: Millis) -> Vec<(PartId, Attempt)> {
        let sends = self.sends.get(&replica).into_iter().flatten();
        let older = sends.take_while(|(at, ..)| at.0 < sent);
        older.map(|(_, part, attempt)| (part.clone(), *attempt)).collect()
    }

    /// Returns and clears the set of queries that have changed.
    pub fn take_changed(&mut self) -> BTreeSet<u64> {
        std::mem::take(&mut self.changed)
    }

    /// Returns the queries with parts that count as lost.
    pub fn with_lost_parts(&self) -> impl Iterator<Item = u64> + '_ {
        self.lost.iter().map(|(number, _)| *number)
    }

    /// Returns the queries that had parts reset on connections that were not idle.
    pub fn with_resets(&self) -> impl Iterator<Item = u64> + '_ {
        self.resets.iter().copied()
    }

    /// Returns the queries of a class whose deadlines have come at a time.
    pub fn past_deadline(&self, class: usize, at: Millis) -> impl Iterator<Item = u64> + '_ {
        reached(&self.classes[class].deadlines, at)
    }

    /// Returns the queries of a class whose aims or deadlines have come at a time.
    pub fn past_aim(&self, class: usize, at: Millis) -> impl Iterator<Item = u64> + '_ {
        reached(&self.classes[class].answer_by, at)
    }

    /// Returns those of them that have enough parts for an answer.
    pub fn answerable_past_aim(&self, class: usize, at: Millis) -> impl Iterator<Item = u64> + '_ {
        reached(&self.classes[class].answerable, at)
    }

    /// Returns the queries of a class with parts that have been in flight since a time or longer.
    pub fn in_flight_since(&self, class: usize, since: Millis) -> impl Iterator<Item = u64> + '_ {
        let sent =
            self.classes[class].in_flight.iter().take_while(move |(sent, _)| sent.0 <= since + TOLERANCE);
        sent.map(|(_, (number, _))| *number)
    }

    /// Describes a difference from a rebuilt index, if there is one. Changed queries are not compared. The
    /// parts in flight have to include those of `silent` and be included in those of `all`, as parts whose
    /// replica has answered since they were sent are removed late.
    pub fn difference(&self, all: &QueryIndex, silent: &QueryIndex) -> Option<String> {
        let comparable = |index: &QueryIndex| {
            let class = |class: &Class| Class { in_flight: BTreeSet::new(), ..class.clone() };
            QueryIndex {
                classes: index.classes.iter().map(class).collect(),
                changed: BTreeSet::new(),
                ..index.clone()
            }
        };
        let in_flight = |index: &QueryIndex| -> BTreeSet<_> {
            index.classes.iter().flat_map(|class| class.in_flight.clone()).collect()
        };
        let (here, most, least) = (in_flight(self), in_flight(all), in_flight(silent));
        if comparable(self) != comparable(all) {
            Some(format!("{:?} is not {:?}", comparable(self), comparable(all)))
        } else if !here.is_subset(&most) || !least.is_subset(&here) {
            Some(format!("{here:?} is not between {least:?} and {most:?}"))
        } else {
            None
        }
    }
}
