//! Keeps the indexes of [`Router`] consistent with the state that they are derived from. Takes no decisions.

use super::*;
use crate::query_index::{PartLocation, QueryTimes};
use crate::replica_index::ReplicaFacts;

impl Router {
    /// Rebuilds both indexes from the rest of the state.
    pub(super) fn rebuild_indexes(&mut self) {
        self.replica_index = self.build_replica_index();
        self.query_index = self.build_query_index(|_| true);
        self.queries.keys().for_each(|number| self.query_index.mark_changed(*number));
        self.indexed = true;
    }

    /// Builds the index of all replicas.
    pub(super) fn build_replica_index(&self) -> ReplicaIndex {
        let warm_within = self.settings.cold.map(|rule| rule.warm_within);
        let all = self.replicas.values().map(|replica| replica.facts());
        ReplicaIndex::build(
            (self.settings.cells, self.settings.cells_per_shard),
            warm_within,
            self.now - self.record_half_life,
            all,
        )
    }

    /// Builds the index of all queries, with those parts in flight that satisfy a condition.
    fn build_query_index(&self, include: impl Fn(&Part) -> bool) -> QueryIndex {
        let mut index = QueryIndex::new(self.settings.classes.len());
        for (number, query) in &self.queries {
            index.insert_query(query.class, self.check_times(*number, query));
            index.set_answerable(query.class, self.check_times(*number, query), self.has_enough(query));
            if query.resets.iter().any(|(_, open)| *open) {
                index.mark_reset(*number);
            }
            for (part_index, part) in
                query.parts.iter().enumerate().filter(|(_, part)| part.current_attempt.is_some())
            {
                if include(part) {
                    index.insert_in_flight(query.class, part.last_sent, (*number, part_index));
                }
            }
        }
        for (key, flight) in &self.in_flight {
            if let Some(place) = self.part_places.get(&key.0).filter(|_| flight.cancelled.is_none()) {
                index.track_attempt(flight.replica, flight.sent, key.clone(), flight.lost_at(*place));
            }
        }
        index
    }

    /// Checks that the indexes equal rebuilt ones, which holds between any two steps. For tests.
    ///
    /// # Errors
    /// Returns a text that shows the difference.
    pub fn verify_indexes(&self) -> Result<(), String> {
        let is_silent = |part: &Part| {
            let replica = part.current_attempt.and_then(|(_, replica)| self.replicas.get(&replica));
            replica.is_some_and(|replica| replica.last_response < part.last_sent)
        };
        let (replica_index, difference) = (
            self.build_replica_index(),
            self.query_index
                .difference(&self.build_query_index(|_| true), &self.build_query_index(is_silent)),
        );
        match difference {
            _ if !self.indexed => Ok(()),
            _ if self.replica_index != replica_index => {
                Err(format!("{:?} is not {replica_index:?}", self.replica_index))
            }
            Some(difference) => Err(difference),
            None => Ok(()),
        }
    }

    /// Modifies a replica and updates the replica index; returns the result of `modify`.
    pub(super) fn update_replica<T>(
        &mut self,
        number: ReplicaNo,
        modify: impl FnOnce(&mut ReplicaStats) -> T,
    ) -> Option<T> {
        let replica = self.replicas.get_mut(&number)?;
        let before = replica.facts();
        let result = modify(replica);
        self.replica_index.update(Some(&before), Some(&replica.facts()));
        Some(result)
    }

    /// Returns the times at which a query must be checked: its aim or, if that is earlier, its deadline; and
    /// its deadline.
    pub(super) fn check_times(&self, number: u64, query: &Query) -> QueryTimes {
        let aim = (query.accepted + self.settings.classes[query.class].aim).min(query.deadline);
        QueryTimes { number, answer_by: aim, deadline: query.deadline }
    }

    /// Returns whether enough parts of a query have completed for an answer.
    pub(super) fn has_enough(&self, query: &Query) -> bool {
        query.completed_share > 0.0 && query.completed_share >= self.settings.classes[query.class].least_share
    }

    /// Updates the query index after the completed share of a query has changed.
    pub(super) fn update_enough(&mut self, number: u64) {
        if let Some(query) = self.queries.get(&number) {
            self.query_index.set_answerable(
                query.class,
                self.check_times(number, query),
                self.has_enough(query),
            );
        }
    }

    /// Counts, for each attempt sent to the same replica before the completed one, that it was overtaken.
    pub(super) fn count_overtaken(&mut self, completed: &InFlight) {
        let replica = completed.replica;
        for key in self.query_index.attempts_before(replica, completed.sent) {
            let Some(flight) = self.in_flight.get_mut(&key) else { continue };
            flight.overtaken_by += 1;
            if let Some(place) =
                self.part_places.get(&key.0).filter(|place| flight.lost_at(**place).is_some())
            {
                self.query_index.untrack_attempt(replica, flight.sent, key.clone(), *place);
                self.query_index.track_attempt(replica, flight.sent, key, Some(*place));
            }
        }
    }

    /// Returns the queries that must be checked now, given the time between two checks: those that have
    /// changed and those for which a time has come. Queries with waiting parts are included, because such a
    /// part may no longer be allowed to be sent.
    pub(super) fn due_queries(&mut self, step: Millis) -> BTreeSet<u64> {
        let mut due = self.query_index.take_changed();
        due.extend(self.waiting.iter().map(|(number, ..)| *number));
        due.extend(self.query_index.with_lost_parts());
        if self.now < self.cautious_until {
            due.extend(self.query_index.with_resets());
        }
        for class in 0..self.settings.classes.len() {
            let lag =
                self.lag.answer_margin(self.now, self.settings.classes[class].aim, self.record_half_life);
            due.extend(self.query_index.answerable_past_aim(class, self.now + step * 2.0 + lag));
            due.extend(self.query_index.past_deadline(class, self.now + step));
            if self.ends_at_aim(class) {
                due.extend(self.query_index.past_aim(class, self.now + step));
            }
            due.extend(self.query_index.in_flight_since(class, self.now - self.hang_timeout(class)));
        }
        due
    }
}

impl InFlight {
    /// Returns the given place of its part if the attempt counts as lost.
    fn lost_at(&self, place: PartLocation) -> Option<PartLocation> {
        (self.overtaken_by >= LOST_WHEN_OVERTAKEN_BY).then_some(place)
    }
}

impl ReplicaStats {
    /// Returns the facts that the replica index is built from.
    pub(super) fn facts(&self) -> ReplicaFacts {
        ReplicaFacts {
            number: self.number,
            cell: self.entry.cell,
            state: self.entry.state,
            started: self.entry.started,
            rate: self.last_rate,
            load: self.load_report,
            load_at: self.load_reported_at,
            died: self.connection_failed_at,
            probe_at: self.parked_at.map(|_| self.probe_at),
            idle_since: self.connection_used_at.filter(|_| self.attempts_in_flight == 0),
        }
    }
}
