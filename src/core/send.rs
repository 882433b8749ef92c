//! Stage 4, send: an attempt gets its record and goes to the transport, or ends at once.

use super::ledger::Out;
use super::{Call, CallEnd, CallNo, Core, Order};
use crate::api::{Attempt, Millis, Outcome, PartId, ReplicaId, ReplicaState};

impl Core {
    pub(super) fn send(&mut self, now: Millis, part: PartId, replica: ReplicaId, timeout: Millis) {
        // The router numbers a part's attempts by its sends; the ledger keeps the same count.
        let Some(record) = self.ledger.parts.get_mut(&part) else { return };
        let attempt = Attempt(record.attempts);
        record.attempts += 1;
        record.out += 1;
        let (of, shard, ran) = (record.query, record.shard, record.may_have_run);
        let no = CallNo(self.ledger.number());
        let out = Out { part: part.clone(), attempt, replica: replica.clone(), sent: now };
        self.ledger.out.insert(no, out);
        self.ledger.calls.insert((part, attempt), no);
        let active = |id| self.ledger.places.get(id).is_some_and(|p| p.replica.state == ReplicaState::Active);
        let Some(query) = self.ledger.queries.get(&of).filter(|_| active(&replica)) else {
            self.call_ended(now, no, CallEnd::bare(Outcome::NotSent));
            return;
        };
        self.counters.sent += 1;
        let until = (now + timeout).min(query.deadline);
        let repeat = self.classes.at(query.class).class.repeat;
        self.orders.push_back(Order::Send(Call {
            no,
            replica,
            part: format!("{}.{shard}", query.client_id),
            query: query.client_id.clone(),
            class: self.classes.at(query.class).name.clone(),
            of: (of, attempt.0),
            key: query.key.clone(),
            shard,
            until,
            allowed_until: repeat.allowed_until(ran),
            text: query.text.clone(),
        }));
    }

    pub(super) fn cancel(&mut self, now: Millis, part: &PartId, attempt: Attempt) {
        if let Some(&no) = self.ledger.calls.get(&(part.clone(), attempt)) {
            self.give_up(now, no, Outcome::Cancelled);
        }
    }

    /// The core stops waiting for an attempt: its end is booked first, so that whatever the transport
    /// still reports of it is no second one.
    pub(super) fn give_up(&mut self, now: Millis, no: CallNo, outcome: Outcome) {
        if let Some(out) = self.ledger.out.get(&no) {
            self.orders.push_back(Order::GiveUp { replica: out.replica.clone(), no });
            self.call_ended(now, no, CallEnd::bare(outcome));
        }
    }

    /// The time of an attempt is over.
    pub fn call_timed_out(&mut self, now: Millis, no: CallNo) {
        self.give_up(now, no, Outcome::TimedOut);
    }
}
