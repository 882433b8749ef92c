//! What keeps the indexes of [`Router`] equal to what they are made of. It decides nothing.

use super::*;
use crate::query_index::{PartLocation, QueryTimes};
use crate::replica_index::ReplicaFacts;

impl Router {
    /// Makes all indexes anew.
    pub(super) fn index(&mut self) {
        self.replica_index = self.counted();
        self.query_index = self.all_due(|_| true);
        self.queries.keys().for_each(|number| self.query_index.mark_changed(*number));
        self.indexed = true;
    }

    /// All replicas, counted anew.
    pub(super) fn counted(&self) -> ReplicaIndex {
        let warm_within = self.settings.cold.map(|rule| rule.warm_within);
        let all = self.replicas.values().map(|replica| replica.facts());
        ReplicaIndex::build(
            (self.settings.cells, self.settings.cells_per_shard),
            warm_within,
            self.now - self.forgive,
            all,
        )
    }

    /// What is due of all queries, with those parts out whose replicas are as wished.
    fn all_due(&self, wish: impl Fn(&Part) -> bool) -> QueryIndex {
        let mut due = QueryIndex::new(self.settings.classes.len());
        for (number, query) in &self.queries {
            due.insert_query(query.class, self.ends(*number, query));
            due.set_answerable(query.class, self.ends(*number, query), self.has_enough(query));
            if query.resets.iter().any(|(_, open)| *open) {
                due.mark_reset(*number);
            }
            for (index, part) in query.parts.iter().enumerate().filter(|(_, part)| part.out.is_some()) {
                if wish(part) {
                    due.insert_in_flight(query.class, part.last_sent, (*number, index));
                }
            }
        }
        for (key, flight) in &self.in_flight {
            if let Some(place) = self.parts.get(&key.0).filter(|_| flight.cancelled.is_none()) {
                due.track_attempt(flight.replica, flight.sent, key.clone(), flight.lost_at(*place));
            }
        }
        due
    }

    /// Whether all indexes equal a recount of what they are made of, as they do between any two steps; for tests.
    ///
    /// # Errors
    /// Says what differs.
    pub fn verify_indexes(&self) -> Result<(), String> {
        let silent = |part: &Part| {
            let replica = part.out.and_then(|(_, replica)| self.replicas.get(&replica));
            replica.is_some_and(|replica| replica.answered < part.last_sent)
        };
        let (pool, differs) =
            (self.counted(), self.query_index.difference(&self.all_due(|_| true), &self.all_due(silent)));
        match differs {
            _ if !self.indexed => Ok(()),
            _ if self.replica_index != pool => Err(format!("{:?} is not {pool:?}", self.replica_index)),
            Some(differs) => Err(differs),
            None => Ok(()),
        }
    }

    /// Changes a replica.
    pub(super) fn change<T>(
        &mut self,
        number: ReplicaNo,
        how: impl FnOnce(&mut ReplicaStats) -> T,
    ) -> Option<T> {
        let replica = self.replicas.get_mut(&number)?;
        let before = replica.facts();
        let done = how(replica);
        self.replica_index.update(Some(&before), Some(&replica.facts()));
        Some(done)
    }

    pub(super) fn ends(&self, number: u64, query: &Query) -> QueryTimes {
        let aim = (query.accepted + self.settings.classes[query.class].aim).min(query.deadline);
        QueryTimes { number, answer_by: aim, deadline: query.deadline }
    }

    pub(super) fn has_enough(&self, query: &Query) -> bool {
        query.share > 0.0 && query.share >= self.settings.classes[query.class].least_share
    }

    /// What has come in of a query, or no longer counts, has changed.
    pub(super) fn note_enough(&mut self, number: u64) {
        if let Some(query) = self.queries.get(&number) {
            self.query_index.set_answerable(query.class, self.ends(number, query), self.has_enough(query));
        }
    }

    /// Counts the parts that one which was completed has overtaken at its replica.
    pub(super) fn overtake(&mut self, completed: &InFlight) {
        let replica = completed.replica;
        for key in self.query_index.attempts_before(replica, completed.sent) {
            let Some(flight) = self.in_flight.get_mut(&key) else { continue };
            flight.overtaken += 1;
            if let Some(place) = self.parts.get(&key.0).filter(|place| flight.lost_at(**place).is_some()) {
                self.query_index.untrack_attempt(replica, flight.sent, key.clone(), *place);
                self.query_index.track_attempt(replica, flight.sent, key, Some(*place));
            }
        }
    }

    /// The queries that anything may be due of now, for what is looked at in steps of some time: those that something has
    /// happened to, and those of which time alone makes something due. Parts that wait may no longer be sent by now.
    pub(super) fn due_now(&mut self, step: Millis) -> BTreeSet<u64> {
        let mut due = self.query_index.take_changed();
        due.extend(self.waiting.iter().map(|(number, ..)| *number));
        due.extend(self.query_index.with_lost_parts());
        if self.now < self.wary {
            due.extend(self.query_index.with_resets());
        }
        for class in 0..self.settings.classes.len() {
            let lag = self.lag.answer_margin(self.now, self.settings.classes[class].aim, self.forgive);
            due.extend(self.query_index.answerable_past_aim(class, self.now + step * 2.0 + lag));
            due.extend(self.query_index.past_deadline(class, self.now + step));
            if self.ends_at_aim(class) {
                due.extend(self.query_index.past_aim(class, self.now + step));
            }
            due.extend(self.query_index.in_flight_since(class, self.now - self.patience(class)));
        }
        due
    }
}

impl InFlight {
    /// Its place, if it counts as lost.
    fn lost_at(&self, place: PartLocation) -> Option<PartLocation> {
        (self.overtaken >= OVERTAKEN).then_some(place)
    }
}

impl ReplicaStats {
    pub(super) fn facts(&self) -> ReplicaFacts {
        ReplicaFacts {
            number: self.number,
            cell: self.line.cell,
            state: self.line.state,
            started: self.line.started,
            rate: self.dr,
            load: self.load,
            load_at: self.loaded,
            died: self.died,
            probe_at: self.parked.map(|_| self.probe_at),
            idle_since: self.used.filter(|_| self.in_flight == 0),
        }
    }
}
