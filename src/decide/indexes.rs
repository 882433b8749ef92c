//! What keeps the indexes of [`Router`] equal to what they are made of. It decides nothing.

use super::*;
use crate::due::{Ends, Place};
use crate::pool::Facts;

impl Router {
    /// Makes all indexes anew.
    pub(super) fn index(&mut self) {
        self.pool = self.counted();
        self.due = self.all_due(|_| true);
        self.queries.keys().for_each(|number| self.due.touch(*number));
        self.indexed = true;
    }

    /// All replicas, counted anew.
    pub(super) fn counted(&self) -> Pool {
        let warm_within = self.s.cold.map(|rule| rule.warm_within);
        let all = self.servers.values().map(|server| server.facts());
        Pool::of((self.s.cells, self.s.width), warm_within, self.now - self.forgive, all)
    }

    /// What is due of all queries, with those parts out whose replicas are as wished.
    fn all_due(&self, wish: impl Fn(&Part) -> bool) -> Due {
        let mut due = Due::new(self.s.classes.len());
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
        for (key, flight) in &self.flights {
            if let Some(place) = self.parts.get(&key.0).filter(|_| flight.cancelled.is_none()) {
                due.follow(flight.server, flight.sent, key.clone(), flight.lost_at(*place));
            }
        }
        due
    }

    /// Checks, for tests, that all indexes equal a recount from the state, as they do between any two steps.
    ///
    /// # Errors
    /// Says what differs.
    pub fn recount(&self) -> Result<(), String> {
        let silent = |part: &Part| {
            let server = part.out.and_then(|(_, server)| self.servers.get(&server));
            server.is_some_and(|server| server.answered < part.last_sent)
        };
        let (pool, differs) =
            (self.counted(), self.due.differs(&self.all_due(|_| true), &self.all_due(silent)));
        match differs {
            _ if !self.indexed => Ok(()),
            _ if self.pool != pool => Err(format!("{:?} is not {pool:?}", self.pool)),
            Some(differs) => Err(differs),
            None => Ok(()),
        }
    }

    /// Changes a replica.
    pub(super) fn change<T>(&mut self, number: ServerNo, how: impl FnOnce(&mut Server) -> T) -> Option<T> {
        let server = self.servers.get_mut(&number)?;
        let before = server.facts();
        let done = how(server);
        self.pool.change(Some(&before), Some(&server.facts()));
        Some(done)
    }

    pub(super) fn ends(&self, number: u64, query: &Query) -> Ends {
        let aim = (query.accepted + self.s.classes[query.class].aim).min(query.deadline);
        Ends { number, aim, deadline: query.deadline }
    }

    pub(super) fn has_enough(&self, query: &Query) -> bool {
        query.share > 0.0 && query.share >= self.s.classes[query.class].least_share
    }

    /// What has come in of a query, or no longer counts, has changed.
    pub(super) fn note_enough(&mut self, number: u64) {
        if let Some(query) = self.queries.get(&number) {
            self.due.enough(query.class, self.ends(number, query), self.has_enough(query));
        }
    }

    /// Counts the parts that one which was completed has overtaken at its replica.
    pub(super) fn overtake(&mut self, completed: &Flight) {
        let server = completed.server;
        for key in self.due.before(server, completed.sent) {
            let Some(flight) = self.flights.get_mut(&key) else { continue };
            flight.overtaken += 1;
            if let Some(place) = self.parts.get(&key.0).filter(|place| flight.lost_at(**place).is_some()) {
                self.due.unfollow(server, flight.sent, key.clone(), *place);
                self.due.follow(server, flight.sent, key, Some(*place));
            }
        }
    }

    /// Returns the queries that may need a decision now, where times are examined in steps of `step`: those
    /// affected by an event, and those for which the passing of time alone makes something due. Queries with
    /// waiting parts are among them, as these parts may no longer be allowed to go out.
    pub(super) fn due_now(&mut self, step: Millis) -> BTreeSet<u64> {
        let mut due = self.due.take_touched();
        due.extend(self.waiting.iter().map(|(number, ..)| *number));
        due.extend(self.due.lost());
        if self.now < self.wary {
            due.extend(self.due.resets());
        }
        for class in 0..self.s.classes.len() {
            let lag = self.lag.of_an_answer(self.now, self.s.classes[class].aim, self.forgive);
            due.extend(self.due.answerable(class, self.now + step * 2.0 + lag));
            due.extend(self.due.deadlines(class, self.now + step));
            if self.ends_at_aim(class) {
                due.extend(self.due.aims(class, self.now + step));
            }
            due.extend(self.due.out(class, self.now - self.patience(class)));
        }
        due
    }
}

impl Flight {
    /// Its place, if it counts as lost.
    fn lost_at(&self, place: Place) -> Option<Place> {
        (self.overtaken >= OVERTAKEN).then_some(place)
    }
}

impl Server {
    pub(super) fn facts(&self) -> Facts {
        Facts {
            number: self.number,
            cell: self.line.cell,
            state: self.line.state,
            started: self.line.started,
            rate: self.dr,
            load: self.load,
            loaded: self.loaded,
            died: self.died,
            probe_at: self.parked.map(|_| self.probe_at),
            idle_since: self.used.filter(|_| self.flights == 0),
        }
    }
}
