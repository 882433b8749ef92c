//! Which queries are due to be looked at, in order of time, kept as they change: a step looks at no others.
//!
//! The index decides nothing: a query that is examined too soon stays as it is. It is not serialized, as all
//! of it can be recomputed from queries, parts and flights.

use std::collections::{BTreeMap, BTreeSet};

use crate::api::{Attempt, Millis, PartId};
use crate::exact::Time;

/// A query's number, and the place of a part in it.
pub type Place = (u64, usize);
/// Attempts at one replica, in order of their sends.
type Sends = BTreeSet<(Time, PartId, Attempt)>;

/// How much sooner than due a query may be looked at, for what sums of times lose.
const SLACK: Millis = 1.0;

/// The times at which a query is due: the earlier of the end of its aim and its client's deadline, and that
/// deadline.
#[derive(Debug, Clone, Copy)]
pub struct Ends {
    /// The query.
    pub number: u64,
    /// The first of both.
    pub aim: Millis,
    /// When its client gives up.
    pub deadline: Millis,
}

/// The queries of one class.
#[derive(Debug, Default, Clone, PartialEq)]
struct Class {
    aims: BTreeSet<(Time, u64)>,
    deadlines: BTreeSet<(Time, u64)>,
    /// Those of `aims` that have enough for an answer.
    enough: BTreeSet<(Time, u64)>,
    /// Parts out, by when they were sent, but for those whose replica is known to have answered since.
    out: BTreeSet<(Time, Place)>,
}

/// All queries.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct Due {
    classes: Vec<Class>,
    /// Those of which something has changed.
    touched: BTreeSet<u64>,
    /// Those with resets on connections surely open.
    resets: BTreeSet<u64>,
    /// Parts out that are lost, as enough later ones were answered first.
    lost: BTreeSet<Place>,
    /// The other parts out, by replica.
    sends: BTreeMap<u64, Sends>,
}

/// Numbers of queries up to some time.
fn until(set: &BTreeSet<(Time, u64)>, at: Millis) -> impl Iterator<Item = u64> + '_ {
    set.iter().take_while(move |(time, _)| time.0 <= at + SLACK).map(|(_, number)| *number)
}

impl Due {
    /// None yet, of so many classes.
    pub fn new(classes: usize) -> Self {
        Due { classes: vec![Class::default(); classes], ..Due::default() }
    }

    /// A query has come.
    pub fn comes(&mut self, class: usize, ends: Ends) {
        self.classes[class].aims.insert((Time(ends.aim), ends.number));
        self.classes[class].deadlines.insert((Time(ends.deadline), ends.number));
        self.touched.insert(ends.number);
    }

    /// A query is over.
    pub fn goes(&mut self, class: usize, ends: Ends) {
        self.classes[class].aims.remove(&(Time(ends.aim), ends.number));
        self.classes[class].deadlines.remove(&(Time(ends.deadline), ends.number));
        self.enough(class, ends, false);
        self.resets.remove(&ends.number);
        self.touched.remove(&ends.number);
    }

    /// Whether it has enough for an answer.
    pub fn enough(&mut self, class: usize, ends: Ends, enough: bool) {
        let key = (Time(ends.aim), ends.number);
        if enough {
            self.classes[class].enough.insert(key);
        } else {
            self.classes[class].enough.remove(&key);
        }
    }

    /// Something of a query has changed.
    pub fn touch(&mut self, number: u64) {
        self.touched.insert(number);
    }

    /// A part of it was lost to a reset on a connection surely open.
    pub fn reset(&mut self, number: u64) {
        self.resets.insert(number);
    }

    /// A part is out.
    pub fn sent(&mut self, class: usize, sent: Millis, place: Place) {
        self.classes[class].out.insert((Time(sent), place));
    }

    /// A part is no longer out, or its replica has answered since it was sent.
    pub fn answered(&mut self, class: usize, sent: Millis, place: Place) {
        self.classes[class].out.remove(&(Time(sent), place));
    }

    /// Whether an attempt that is out counts as lost, or may be yet.
    pub fn follow(
        &mut self,
        server: u64,
        sent: Millis,
        (part, attempt): (PartId, Attempt),
        lost: Option<Place>,
    ) {
        match lost {
            Some(place) => self.lost.extend([place]),
            None => self.sends.entry(server).or_default().extend([(Time(sent), part, attempt)]),
        }
    }

    /// An attempt has ended, or was called back.
    pub fn unfollow(&mut self, server: u64, sent: Millis, (part, attempt): (PartId, Attempt), place: Place) {
        self.lost.remove(&place);
        if let Some(sends) = self.sends.get_mut(&server) {
            sends.remove(&(Time(sent), part, attempt));
            if sends.is_empty() {
                self.sends.remove(&server);
            }
        }
    }

    /// Attempts at a replica that were sent before some time and are not yet lost.
    pub fn before(&self, server: u64, sent: Millis) -> Vec<(PartId, Attempt)> {
        let sends = self.sends.get(&server).into_iter().flatten();
        let older = sends.take_while(|(at, ..)| at.0 < sent);
        older.map(|(_, part, attempt)| (part.clone(), *attempt)).collect()
    }

    /// Those of which something has changed since this was asked last.
    pub fn take_touched(&mut self) -> BTreeSet<u64> {
        std::mem::take(&mut self.touched)
    }

    /// Those that have parts which count as lost.
    pub fn lost(&self) -> impl Iterator<Item = u64> + '_ {
        self.lost.iter().map(|(number, _)| *number)
    }

    /// Those with resets on connections surely open.
    pub fn resets(&self) -> impl Iterator<Item = u64> + '_ {
        self.resets.iter().copied()
    }

    /// Those of a class whose deadlines come by some time.
    pub fn deadlines(&self, class: usize, at: Millis) -> impl Iterator<Item = u64> + '_ {
        until(&self.classes[class].deadlines, at)
    }

    /// Those whose aims, or deadlines, come by some time.
    pub fn aims(&self, class: usize, at: Millis) -> impl Iterator<Item = u64> + '_ {
        until(&self.classes[class].aims, at)
    }

    /// Those of them that have enough for an answer.
    pub fn answerable(&self, class: usize, at: Millis) -> impl Iterator<Item = u64> + '_ {
        until(&self.classes[class].enough, at)
    }

    /// Those with parts out since some time.
    pub fn out(&self, class: usize, since: Millis) -> impl Iterator<Item = u64> + '_ {
        let sent = self.classes[class].out.iter().take_while(move |(sent, _)| sent.0 <= since + SLACK);
        sent.map(|(_, (number, _))| *number)
    }

    /// Returns what differs from a recount. Touched queries are left out, and so are parts out whose replica
    /// has answered since: `all` holds these, `silent` does not.
    pub fn differs(&self, all: &Due, silent: &Due) -> Option<String> {
        let bare = |due: &Due| {
            let class = |class: &Class| Class { out: BTreeSet::new(), ..class.clone() };
            Due { classes: due.classes.iter().map(class).collect(), touched: BTreeSet::new(), ..due.clone() }
        };
        let out =
            |due: &Due| -> BTreeSet<_> { due.classes.iter().flat_map(|class| class.out.clone()).collect() };
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
