//! Keeps the indexes of [`Router`] consistent with the state that they are derived from. Takes no decisions.

use super::*;
use crate::query_index::{Place, QueryTimes};
use crate::replica_index::ReplicaFacts;

impl Router {
    /// Rebuilds both indexes from the rest of the state.
    pub(super) fn index(&mut self) {
        self.replica_index = self.counted();
        self.query_index = self.all_due(|_| true);
        self.queries.keys().for_each(|number| self.query_index.touch(*number));
        self.indexed = true;
    }

    /// Builds the index of all replicas.
    pub(super) fn counted(&self) -> ReplicaIndex {
        let warm_within = self.settings.cold.map(|rule| rule.warm_within);
        let all = self.replicas.values().map(|replica| replica.facts());
        ReplicaIndex::of(
            (self.settings.cells, self.settings.cells_per_shard),
            warm_within,
            self.now - self.forgive,
            all,
        )
    }

    /// Builds the index of all queries, with those parts in flight that satisfy a condition.
    fn all_due(&self, wish: impl Fn(&Part) -> bool) -> QueryIndex {
        let mut due = QueryIndex::new(self.settings.classes.len());
        for (number, query) in &self.queries {
            due.comes(query.class, self.ends(*number, query));
            due.enough(query.class, self.ends(*number, query), self.has_enough(query));
            if query.resets.iter().any(|(_, open)| *open) {
                due.reset(*number);
            }
            for (index, part) in query.parts.iter().enumerate().filter(|(_, part)| part.out.is_some()) {
                if wish(part) {
                    due.sent(query.class, part.last_sent, (*number, index));
                }
            }
        }
        for (key, flight) in &self.in_flight {
            if let Some(place) = self.parts.get(&key.0).filter(|_| flight.cancelled.is_none()) {
                due.follow(flight.replica, flight.sent, key.clone(), flight.lost_at(*place));
            }
        }
        due
    }

    /// Checks that the indexes equal rebuilt ones, which holds between any two steps. For tests.
    ///
    /// # Errors
    /// Returns a text that shows the difference.
    pub fn verify_indexes(&self) -> Result<(), String> {
        let silent = |part: &Part| {
            let replica = part.out.and_then(|(_, replica)| self.replicas.get(&replica));
            replica.is_some_and(|replica| replica.answered < part.last_sent)
        };
        let (pool, differs) =
            (self.counted(), self.query_index.differs(&self.all_due(|_| true), &self.all_due(silent)));
        match differs {
            _ if !self.indexed => Ok(()),
            _ if self.replica_index != pool => Err(format!("{:?} is not {pool:?}", self.replica_index)),
            Some(differs) => Err(differs),
            None => Ok(()),
        }
    }

    /// Modifies a replica and updates the replica index; returns the result of `how`.
    pub(super) fn change<T>(
        &mut self,
        number: ReplicaNo,
        how: impl FnOnce(&mut ReplicaStats) -> T,
    ) -> Option<T> {
        let replica = self.replicas.get_mut(&number)?;
        let before = replica.facts();
        let done = how(replica);
        self.replica_index.change(Some(&before), Some(&replica.facts()));
        Some(done)
    }

    /// Returns the times at which a query must be checked: its aim or, if that is earlier, its deadline; and
    /// its deadline.
    pub(super) fn ends(&self, number: u64, query: &Query) -> QueryTimes {
        let aim = (query.accepted + self.settings.classes[query.class].aim).min(query.deadline);
        QueryTimes { number, aim, deadline: query.deadline }
    }

    /// Returns whether enough parts of a query have completed for an answer.
    pub(super) fn has_enough(&self, query: &Query) -> bool {
        query.share > 0.0 && query.share >= self.settings.classes[query.class].least_share
    }

    /// Updates the query index after the completed share of a query has changed.
    pub(super) fn note_enough(&mut self, number: u64) {
        if let Some(query) = self.queries.get(&number) {
            self.query_index.enough(query.class, self.ends(number, query), self.has_enough(query));
        }
    }

    /// Counts, for each attempt sent to the same replica before the completed one, that it was overtaken.
    pub(super) fn overtake(&mut self, completed: &InFlight) {
        let replica = completed.replica;
        for key in self.query_index.before(replica, completed.sent) {
            let Some(flight) = self.in_flight.get_mut(&key) else { continue };
            flight.overtaken += 1;
            if let Some(place) = self.parts.get(&key.0).filter(|place| flight.lost_at(**place).is_some()) {
                self.query_index.unfollow(replica, flight.sent, key.clone(), *place);
                self.query_index.follow(replica, flight.sent, key, Some(*place));
            }
        }
    }

    /// Returns the queries that must be checked now, given the time between two checks: those that have
    /// changed and those for which a time has come. Queries with waiting parts are included, because such a
    /// part may no longer be allowed to be sent.
    pub(super) fn due_now(&mut self, step: Millis) -> BTreeSet<u64> {
        let mut due = self.query_index.take_touched();
        due.extend(self.waiting.iter().map(|(number, ..)| *number));
        due.extend(self.query_index.lost());
        if self.now < self.wary {
            due.extend(self.query_index.resets());
        }
        for class in 0..self.settings.classes.len() {
            let lag = self.lag.of_an_answer(self.now, self.settings.classes[class].aim, self.forgive);
            due.extend(self.query_index.answerable(class, self.now + step * 2.0 + lag));
            due.extend(self.query_index.deadlines(class, self.now + step));
            if self.ends_at_aim(class) {
                due.extend(self.query_index.aims(class, self.now + step));
            }
            due.extend(self.query_index.out(class, self.now - self.patience(class)));
        }
        due
    }
}

impl InFlight {
    /// Returns the given place of its part if the attempt counts as lost.
    fn lost_at(&self, place: Place) -> Option<Place> {
        (self.overtaken >= OVERTAKEN).then_some(place)
    }
}

impl ReplicaStats {
    /// Returns the facts that the replica index is built from.
    pub(super) fn facts(&self) -> ReplicaFacts {
        ReplicaFacts {
            number: self.number,
            cell: self.line.cell,
            state: self.line.state,
            started: self.line.started,
            rate: self.dr,
            load: self.load,
            loaded: self.loaded,
            died: self.died,
            probe_at: self.parked.map(|_| self.probe_at),
            idle_since: self.used.filter(|_| self.in_flight == 0),
        }
    }
}
